"""SIP's UDP port: several sockets, and a bounded queue of datagrams for each address that sends some.

Each hub has a connected socket on the same port, to which the kernel gives what the hub sends: a caller that
fills the receive buffer of another socket cannot displace a hub's responses.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Set
from typing import TYPE_CHECKING

from twisted.internet.abstract import isIPAddress
from twisted.internet.protocol import DatagramProtocol

from ..net.connection import log
from .greylist import Greylist
from .scheduler import FairScheduler

if TYPE_CHECKING:
    from twisted.internet import udp

    from ..net.clock import CachedClockReactor

Address = tuple[str, int]

# The kernel spreads the senders over the sockets. When one sender fills the receive buffer of its socket,
# only the senders on the same socket lose datagrams.
MAX_SOCKETS = 16
DESCRIPTORS_PER_SOCKET = 64  # of those that SIP may use
DESCRIPTORS_PER_CONNECTED_SOCKET = 16  # of those that SIP may use
MAX_DATAGRAM_BYTES = 65536
READ_BYTES_PER_ITERATION = 512 * 1024  # from one socket
RECEIVE_BUFFER_BYTES = 512 * 1024  # of one socket; the system may allow less
MAX_QUEUED_DATAGRAMS = 256  # of one address
MAX_QUEUED_BYTES = 256 * 1024  # of one address
MAX_KNOWN_ADDRESSES = 10_000
MAX_STRANGERS_WAITING = 1000  # datagrams of addresses that are not known
MAX_QUEUED_BYTES_IN_ALL = 4 * 1024 * 1024


class _DatagramSource:
    """The datagrams of one address that wait to be processed."""

    def __init__(self, port: DatagramPort, address: Address, is_known: bool) -> None:
        self.port = port
        self.is_known = is_known
        self.address = address
        self.datagrams: deque[bytes] = deque()
        self.queued_bytes = 0

    def process_next(self) -> bool:
        datagram = self.datagrams.popleft()
        self.port.strangers_waiting -= not self.is_known
        self.queued_bytes -= len(datagram)
        self.port.queued_bytes -= len(datagram)
        if not self.datagrams:
            del self.port.sources[self.address]
        self.port.process(datagram, self.address)
        return bool(self.datagrams)


class _DatagramSocket(DatagramProtocol):
    noisy = False

    def __init__(self, port: DatagramPort) -> None:
        self.port = port

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:  # noqa: N802
        if datagram.strip(b"\r\n\0"):  # otherwise a keepalive
            self.port.datagram_received(datagram, addr)


class DatagramPort:
    """All sockets of the UDP port.

    `on_datagram` is called with each datagram and its source, `on_drop` with the source and a reason for each
    that is dropped.
    """

    def __init__(
        self,
        clock: CachedClockReactor,
        scheduler: FairScheduler,
        on_datagram: Callable[[bytes, Address], None],
        on_drop: Callable[[str, str], None],
    ) -> None:
        self.clock = clock
        self.scheduler = scheduler
        self.on_datagram = on_datagram
        self.on_drop = on_drop
        self.sources: dict[Address, _DatagramSource] = {}  # those with datagrams waiting
        self.queued_bytes = 0
        self.known: dict[Address, None] = {}  # the longest unused first
        self.strangers_waiting = 0  # datagrams
        self.greylist = Greylist()
        self.connected: dict[Address, udp.Port] = {}  # by the address of the hub

    def listen(self, host: str, port: int, descriptors: int) -> None:
        """Opens the sockets; raises OSError if the port is in use."""
        self.address = host, port
        self.max_connected = max(descriptors // DESCRIPTORS_PER_CONNECTED_SOCKET, 1)
        count = min(max(descriptors // DESCRIPTORS_PER_SOCKET, 1), MAX_SOCKETS)
        sockets = []
        try:
            for _ in range(count):
                sockets.append(_bound_socket(self.address))
            self.transports = [self._adopt(sock) for sock in sockets]
        finally:
            for sock in sockets:
                sock.close()  # the reactor has a duplicate

    def connect_sockets(self, hubs: Set[Address]) -> None:
        """Has one connected socket for each of these hubs, and for no others.

        Hubs beyond the limit, and those that none can be opened for, share the other sockets with callers.
        """
        for address in self.connected.keys() - hubs:
            self.clock.callLater(0, self._close_connected, self.connected.pop(address))
        for address in hubs - self.connected.keys():
            if len(self.connected) < self.max_connected and isIPAddress(address[0]):
                self._open_connected(address)

    def _open_connected(self, hub: Address) -> None:
        try:
            with _bound_socket(self.address) as sock:
                sock.connect(hub)
                self.connected[hub] = self._adopt(sock)
        except (OSError, OverflowError) as exc:  # OverflowError: the port is out of range
            log(f"note hub {hub[0]}:{hub[1]}: no socket of its own: {exc}")

    def _close_connected(self, transport: udp.Port) -> None:
        """Closes a socket once what it has received is read."""
        transport.doRead()
        transport.stopListening()

    def _adopt(self, sock: socket.socket) -> udp.Port:
        transport = self.clock.adoptDatagramPort(
            sock.fileno(), socket.AF_INET, _DatagramSocket(self), MAX_DATAGRAM_BYTES
        )
        transport.maxThroughput = READ_BYTES_PER_ITERATION
        return transport

    def write(self, data: bytes, address: Address) -> None:
        """Sends a datagram; raises what Twisted's `write` does."""
        self.transports[0].write(data, address)

    def mark_known(self, address: Address) -> None:
        """Gives the datagrams of an address precedence over those of strangers."""
        self.known.pop(address, None)
        self.known[address] = None
        if len(self.known) > MAX_KNOWN_ADDRESSES:
            del self.known[next(iter(self.known))]

    def datagram_received(self, datagram: bytes, address: Address) -> None:
        """Processes a datagram at once, or queues it behind others."""
        source = self.sources.get(address)
        if source is None and not self.scheduler.is_busy():
            self.process(datagram, address)
            return
        is_known = address in self.known
        if not is_known and self.strangers_waiting >= MAX_STRANGERS_WAITING:
            if not self.greylist.is_repeated(datagram, address):
                self.on_drop(f"{address[0]}:{address[1]}", "overload, first copy from a new address")
                return
            is_known = True
        queued_bytes = source.queued_bytes if source is not None else 0
        if (
            (source is not None and len(source.datagrams) >= MAX_QUEUED_DATAGRAMS)
            or queued_bytes + len(datagram) > MAX_QUEUED_BYTES
            or self.queued_bytes + len(datagram) > MAX_QUEUED_BYTES_IN_ALL
        ):
            self.on_drop(f"{address[0]}:{address[1]}", "more datagrams than can be processed")
            return
        if source is None:
            source = self.sources[address] = _DatagramSource(self, address, is_known)
            self.scheduler.add(source, is_known)
        source.datagrams.append(datagram)
        self.strangers_waiting += not source.is_known
        source.queued_bytes += len(datagram)
        self.queued_bytes += len(datagram)

    def process(self, datagram: bytes, address: Address) -> None:
        """Passes a datagram on."""
        self.scheduler.count_message()
        self.on_datagram(datagram, address)


def _bound_socket(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
