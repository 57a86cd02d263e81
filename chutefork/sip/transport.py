"""SIP over UDP and TCP: one port for both, message framing, and connections to peers (RFC 3261 section 18).

Points in time are microseconds on the monotonic clock.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet import error
from twisted.internet.protocol import ClientFactory, Factory
from twisted.protocols.basic import LineReceiver

from ..net.connection import Connection, log
from . import message as sip
from .datagrams import DatagramPort
from .scheduler import FairScheduler

if TYPE_CHECKING:
    from ..net.clock import CachedClockReactor

MAX_BODY_BYTES = 64 * 1024
MAX_UDP_REQUEST_BYTES = 1300  # a larger request is sent over TCP (RFC 3261 18.1.1)
MAX_QUEUED_MESSAGES = 1000  # for one peer whose connection is being opened or is blocked
IDLE_TIMEOUT_US = 120_000_000
FIRST_MESSAGE_TIMEOUT_US = 5_000_000  # an inbound connection without a message by then is closed
INBOUND_SHARE = 3 / 4  # of the file descriptors, for inbound connections
IDLE_CHECK_INTERVAL_S = 1.0
DROP_LOG_INTERVAL_US = 1_000_000  # dropped messages are logged in one line per interval
CONTENT_LENGTH = re.compile(rb"(?:content-length|l)[ \t]*:[ \t]*(\d{1,9})[ \t]*\Z", re.I)


class Target(NamedTuple):
    """Where a message goes to or came from."""

    transport: str  # UDP or TCP
    host: str
    port: int
    stream: SipStream | None = None  # the connection that the request was received on


class SipStream(Connection, LineReceiver):
    """A TCP connection: messages are framed by Content-Length, which is mandatory here (RFC 3261 18.3)."""

    role = "sip"
    delimiter = b"\r\n"
    MAX_LENGTH = sip.MAX_HEAD_BYTES

    def __init__(self, sip_transport: SipTransport, address: tuple[str, int] | None = None) -> None:
        self.sip_transport = sip_transport
        self.clock = sip_transport.clock
        self.outbound_address = address  # the peer that we connected to; None: inbound
        self.last_message_at = 0  # when the latest was received; at first when the connection was opened
        self.open_requests = 0  # without a final response
        self.has_brought_call = False
        # the message being received
        self.header_lines: list[bytes] = []
        self.header_bytes = 0
        self.body = bytearray()
        self.body_bytes_missing = 0

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.last_message_at = self.opened_at
        peer = self.transport.getPeer()
        self.remote_address = peer.host, peer.port
        self.sip_transport.streams[self] = None
        if self.outbound_address is None:
            self.sip_transport.limit_inbound()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if line:
            self.header_lines.append(line)
            self.header_bytes += len(line) + 2
            if self.header_bytes > sip.MAX_HEAD_BYTES:
                self.close("long-head", f"over {sip.MAX_HEAD_BYTES} bytes")
            elif len(self.header_lines) > sip.MAX_HEADER_FIELDS:
                self.close("long-head", f"over {sip.MAX_HEADER_FIELDS} header fields")
            return
        if not self.header_lines:  # an empty line between messages is a keepalive
            return
        length_match = next(
            (match for match in map(CONTENT_LENGTH.match, self.header_lines[1:]) if match), None
        )
        length = int(length_match[1]) if length_match else -1
        if not 0 <= length <= MAX_BODY_BYTES:
            self.sip_transport.reject_malformed(
                self.take_message(),
                Target("TCP", *self.remote_address, self),
                sip.BadMessage("Content-Length is missing or too large"),
            )
            self.close("bad-framing", "Content-Length is missing or too large")
        elif length:
            self.body_bytes_missing = length
            self.setRawMode()
        else:
            self.message_complete(bool(self._buffer))

    def message_complete(self, more_received: bool) -> None:
        """Passes on the message that was gathered; further input waits for its turn while others do.

        Not on a connection to a hub: its responses must not wait behind callers' requests.
        """
        scheduler = self.sip_transport.scheduler
        scheduler.count_message()
        self.last_message_at = self.clock.now_us()
        self.sip_transport.message_received(self.take_message(), Target("TCP", *self.remote_address, self))
        has_more = more_received or len(self.input_buffer) > 0
        if not has_more or self.outbound_address is not None or self.paused or self.end_code:
            return
        if scheduler.is_busy():
            self.paused = True
            self.transport.pauseProducing()
            scheduler.add(self, is_known=True)

    def process_next(self) -> bool:
        """Goes on reading. A message that is found then puts the connection into the queue again."""
        self.resume_reading()
        return False

    def importance(self) -> tuple[bool, bool, bool, int]:
        """Sort key: the connection to be closed first, if there are too many, has the lowest."""
        return (
            self.messages_received > 0,
            self.has_brought_call,
            self.has_unread_input(),
            self.last_used_at,
        )

    def has_unread_input(self) -> bool:
        return self.paused or super().has_unread_input()

    def take_message(self) -> bytes:
        """The complete message that was gathered; starts the next one."""
        data = b"\r\n".join(self.header_lines) + b"\r\n\r\n" + bytes(self.body)
        self.header_lines, self.header_bytes, self.body = [], 0, bytearray()
        self.messages_received += 1
        return data

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        part, rest = data[: self.body_bytes_missing], data[self.body_bytes_missing :]
        self.body += part
        self.body_bytes_missing -= len(part)
        if not self.body_bytes_missing:
            self.message_complete(bool(rest))
            if not self.end_code:
                self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.close("long-head", f"over {sip.MAX_HEAD_BYTES} bytes")

    def discard_partial_message(self) -> None:
        self.clearLineBuffer()
        self.header_lines.clear()
        self.body = bytearray()

    def on_closed(self) -> None:
        self.sip_transport.streams.pop(self, None)
        self.sip_transport.scheduler.discard(self)
        if (
            self.outbound_address is not None
            and self.sip_transport.outbound.get(self.outbound_address) is self
        ):
            del self.sip_transport.outbound[self.outbound_address]
        self.sip_transport.on_stream_lost(self)


class _OutboundFactory(ClientFactory):
    noisy = False

    def __init__(self, sip_transport: SipTransport, address: tuple[str, int]) -> None:
        self.sip_transport = sip_transport
        self.address = address

    def buildProtocol(self, addr: object) -> SipStream:  # noqa: N802
        return OutboundStream(self.sip_transport, self.address)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        refused = reason.check(error.ConnectionRefusedError) is not None
        log(
            f"end role=sip peer={self.address[0]}:{self.address[1]}"
            f" code={'refused' if refused else 'unreached'}"
            " age_ms=0 in=0 out=0"
        )
        self.sip_transport.fail_queued(self.address)


class OutboundStream(SipStream):
    """A connection to a peer, opened to send what is queued for it."""

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.sip_transport.outbound[self.outbound_address] = self
        self.send_queued()

    def resumeProducing(self) -> None:  # noqa: N802
        super().resumeProducing()
        self.send_queued()

    def send_queued(self) -> None:
        for data, _ in self.sip_transport.queued.pop(self.outbound_address, []):
            self.send(data)

    def on_closed(self) -> None:
        # What is queued for the connection that has taken this one's place must not fail with this one.
        is_current = self.sip_transport.outbound.get(self.outbound_address) is self
        super().on_closed()
        if is_current:
            self.sip_transport.fail_queued(self.outbound_address)


class SipTransport:
    """The UDP and TCP ports, and all connections.

    `on_message` is called with each valid message and its source, `on_stream_lost` with each connection that
    has ended; `dropped` counts the messages dropped since the last log line about them.
    `sockets` is the number of file descriptors that may be used.
    """

    def __init__(
        self, clock: CachedClockReactor, listen: tuple[str, int], connect_timeout_s: float, sockets: int
    ) -> None:
        self.clock = clock
        self.sockets = sockets
        self.eviction_scheduled_at = 0  # event-loop iteration that scheduled the pending eviction; 0: none
        self.max_inbound = max(round(sockets * INBOUND_SHARE), 1)
        self.host, self.port = listen
        self.connect_timeout_s = connect_timeout_s
        self.streams: dict[SipStream, None] = {}
        self.outbound: dict[tuple[str, int], SipStream] = {}
        self.queued: dict[tuple[str, int], list[tuple[bytes, Callable[[], None] | None]]] = {}
        self.on_message: Callable[[sip.Request | sip.Response, Target], None] = lambda message, source: None
        self.on_stream_lost: Callable[[SipStream], None] = lambda stream: None
        self.scheduler = FairScheduler(clock)
        self.datagrams = DatagramPort(clock, self.scheduler, self.datagram_received, self.drop)
        self.dropped, self.drop_logged_at = 0, -DROP_LOG_INTERVAL_US

    def start(self) -> None:
        factory = Factory.forProtocol(lambda: SipStream(self))
        factory.noisy = False
        # With port 0, the port that the system chose for TCP may be in use for UDP: four ports are tried.
        for last_try in (False, False, False, True):
            listening = self.clock.listenTCP(self.port, factory, interface=self.host)
            try:
                self.datagrams.listen(self.host, listening.getHost().port, self.sockets)
            except OSError:
                listening.stopListening()
                if last_try or self.port:
                    raise
                continue
            self.tcp, self.port = listening, listening.getHost().port
            break
        self.close_idle_connections()

    def stop_accepting(self) -> None:
        self.tcp.stopListening()

    def close_idle_connections(self) -> None:
        """Closes idle connections, and inbound ones that never sent a message.

        Otherwise peers that vanish without closing would hold descriptors indefinitely.
        """
        now = self.clock.now_us()
        for stream in list(self.streams):
            if now - stream.last_used_at > IDLE_TIMEOUT_US:
                stream.close("idle")
            elif (
                stream.outbound_address is None
                and not stream.messages_received
                and now - stream.opened_at > FIRST_MESSAGE_TIMEOUT_US
            ):
                stream.close("unused")
        self.clock.callLater(IDLE_CHECK_INTERVAL_S, self.close_idle_connections)

    def limit_inbound(self) -> None:
        """Schedules an eviction if there are too many inbound connections.

        There is one for all that were accepted in an event-loop iteration: each looks at every connection.
        """
        if not self.eviction_scheduled_at and len(self.open_inbound()) > self.max_inbound:
            self.eviction_scheduled_at = self.clock.now_us()
            self.clock.callLater(0, self.evict_inbound)

    def open_inbound(self) -> list[SipStream]:
        return [stream for stream in self.streams if stream.outbound_address is None and not stream.end_code]

    def evict_inbound(self) -> None:
        """Closes inbound connections over the limit, so that hundreds cannot use all descriptors.

        Those that have sent no complete message come first, then those that have brought no call, then idle
        ones; in each case those without unread input first, and the longest idle of them. One with an
        unanswered request is kept. Connections accepted when the eviction was scheduled may bring a request
        at once: they come last, the newest first. A dialog outlives its connection.
        """
        accepted_at, self.eviction_scheduled_at = self.eviction_scheduled_at, 0
        inbound = self.open_inbound()
        idle = [stream for stream in inbound if not stream.open_requests and stream.opened_at != accepted_at]
        idle.sort(key=SipStream.importance)
        newest = [stream for stream in reversed(inbound) if stream.opened_at == accepted_at]
        for stream in (*idle, *newest)[: max(len(inbound) - self.max_inbound, 0)]:
            stream.close("crowded", at_once=True)

    def datagram_received(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.message_received(datagram, Target("UDP", *address))

    def message_received(self, data: bytes, source: Target) -> None:
        try:
            message = sip.parse(data)
        except sip.BadMessage as exc:
            self.reject_malformed(data, source, exc)
            return
        if isinstance(message, sip.Request):
            sip.add_received_and_rport(message, source.host, source.port)
        self.on_message(message, source)

    def reject_malformed(self, data: bytes, source: Target, exc: sip.BadMessage) -> None:
        """Drops and counts a malformed message; a request gets an error response where that is possible."""
        self.drop(f"{source.host}:{source.port}", str(exc))
        response = sip.response_to_malformed(data, exc.code)
        if response is not None:
            sip.add_received_and_rport(response, source.host, source.port)
            self.send(bytes(response), source)

    def drop(self, peer: str, detail: str) -> None:
        """Counts a dropped message; logs the count with this one's peer and detail once per interval."""
        self.dropped += 1
        if self.clock.now_us() - self.drop_logged_at >= DROP_LOG_INTERVAL_US:
            log(f"sip-drop peer={peer} count={self.dropped} detail={detail[:120]!r}")
            self.dropped, self.drop_logged_at = 0, self.clock.now_us()

    def send(self, data: bytes, target: Target, on_failure: Callable[[], None] | None = None) -> None:
        """Sends a message; over TCP on the target's connection, else on one to its address, opened if needed.

        `on_failure` is called later if the message cannot be sent. A message handed to an open connection may
        be lost without a call.
        """
        if target.transport == "UDP":
            try:
                self.datagrams.write(data, (target.host, target.port))
            except (OSError, ValueError, OverflowError, error.MessageLengthError) as exc:
                # ValueError: the host is not an IPv4 address; OverflowError: the port is out of range
                self.fail_later(target, f"not sent: {type(exc).__name__}: {exc}", on_failure)
            return
        stream = target.stream
        if stream in self.streams and not stream.end_code and not stream.peer_has_closed():
            stream.last_used_at = self.clock.now_us()
            if stream.send(data):
                return
        address = target.host, target.port
        stream = self.outbound.get(address)
        usable = stream is not None and not stream.end_code
        if usable and not stream.write_blocked:
            stream.last_used_at = self.clock.now_us()
            if stream.send(data):
                return
        queue = self.queued.setdefault(address, [])
        if len(queue) >= MAX_QUEUED_MESSAGES:
            self.fail_later(target, "not sent: too many messages wait for its connection", on_failure)
            return
        if not 0 < target.port < 65536:
            self.fail_later(target, "not sent: port out of range", on_failure)
            return
        queue.append((data, on_failure))
        if len(queue) == 1 and not usable:  # a blocked connection sends its queue later
            self.clock.connectTCP(*address, _OutboundFactory(self, address), timeout=self.connect_timeout_s)

    def drop_outbound(self, address: tuple[str, int], started_at: int) -> None:
        """Closes a connection on which the process that has started at the address has sent no message."""
        stream = self.outbound.get(address)
        if stream is not None and stream.last_message_at < started_at:
            del self.outbound[address]
            stream.close("replaced")

    def fail_later(self, target: Target, detail: str, on_failure: Callable[[], None] | None) -> None:
        """Logs that a message could not be sent, and has `on_failure` called once its sender is done."""
        self.drop(f"{target.host}:{target.port}", detail)
        if on_failure is not None:
            self.clock.callLater(0, on_failure)

    def fail_queued(self, address: tuple[str, int]) -> None:
        """Reports the failure of all messages queued for an address whose connection failed or ended."""
        for _, on_failure in self.queued.pop(address, []):
            if on_failure is not None:
                on_failure()

    def remove_queued(self, data: bytes, target: Target) -> bool:
        """Discards a message that is still queued for its connection; False if it is not queued."""
        queue = self.queued.get((target.host, target.port), [])
        for index, (queued, _) in enumerate(queue):
            if queued is data:
                del queue[index]
                return True
        return False

    def response_target(self, request: sip.Request, source: Target) -> Target:
        """Where a response goes: to the connection, else by the topmost Via (RFC 3261 18.2.2, RFC 3581)."""
        via = request.via[0]
        if source.transport == "TCP":
            return Target("TCP", source.host, via.port or 5060, source.stream)
        if "rport" in via.parameters:
            return Target("UDP", source.host, source.port)
        return Target("UDP", source.host, via.port or 5060)
