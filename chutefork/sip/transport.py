"""SIP over UDP and TCP: framing, where messages go, and one port for both."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet import error
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory
from twisted.protocols.basic import LineReceiver

from ..net.connection import Connection, log
from . import message as sip

if TYPE_CHECKING:
    from ..net.clock import TurnReactor

HEAD_MOST = 32 * 1024
BODY_MOST = 64 * 1024
UDP_MOST = 1300  # a larger request goes by TCP (RFC 3261 18.1.1)
MOST_WAITING = 1000  # messages for a connection that is being made, or takes nothing
IDLE_US = 120_000_000
UNUSED_US = 5_000_000  # who connected and brought no message by then is let go
STREAMS_SHARE = 3 / 4  # of the descriptors, for connections that others made
SWEEP_S = 1.0
DROP_LOG_US = 1_000_000  # what is dropped is logged at most so often
LENGTH = re.compile(rb"(?:content-length|l)[ \t]*:[ \t]*(\d{1,9})[ \t]*\Z", re.I)


class Target(NamedTuple):
    transport: str  # UDP or TCP
    host: str
    port: int
    stream: SipStream | None = None  # the connection that a request came on


class SipStream(Connection, LineReceiver):
    role = "sip"
    delimiter = b"\r\n"
    MAX_LENGTH = HEAD_MOST

    def __init__(self, hub: SipTransport, key: tuple[str, int] | None = None) -> None:
        self.hub = hub
        self.clock = hub.clock
        self.key = key  # for a connection of our own making
        self.head: list[bytes] = []
        self.head_size = 0
        self.body: list[bytes] = []
        self.missing = 0

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        peer = self.transport.getPeer()
        self.remote = peer.host, peer.port
        self.hub.streams[self] = None
        if self.key is None:
            self.hub.make_room(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if line:
            self.head.append(line)
            self.head_size += len(line) + 2
            if self.head_size > HEAD_MOST:
                self.end("long-head", f"over {HEAD_MOST} bytes")
            return
        if not self.head:  # an empty line between messages keeps the connection alive
            return
        found = next((match for match in map(LENGTH.match, self.head[1:]) if match), None)
        length = int(found[1]) if found else -1
        if not 0 <= length <= BODY_MOST:
            self.hub.unreadable(self.whole(), Target("TCP", *self.remote, self), sip.BadMessage("no length"))
            self.end("bad-framing", "Content-Length is missing or too large")
        elif length:
            self.missing = length
            self.setRawMode()
        else:
            self.hub.take(self.whole(), Target("TCP", *self.remote, self))

    def whole(self) -> bytes:
        data = b"\r\n".join(self.head) + b"\r\n\r\n" + b"".join(self.body)
        self.head, self.head_size, self.body = [], 0, []
        self.taken += 1
        return data

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        part, rest = data[: self.missing], data[self.missing :]
        self.body.append(part)
        self.missing -= len(part)
        if not self.missing:
            self.hub.take(self.whole(), Target("TCP", *self.remote, self))
            if not self.code:
                self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.end("long-head", f"over {HEAD_MOST} bytes")

    def lost(self) -> None:
        self.hub.streams.pop(self, None)
        if self.key is not None and self.hub.outbound.get(self.key) is self:
            del self.hub.outbound[self.key]


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, hub: SipTransport, key: tuple[str, int]) -> None:
        self.hub = hub
        self.key = key

    def buildProtocol(self, addr: object) -> SipStream:  # noqa: N802
        return _Outbound(self.hub, self.key)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        refused = reason.check(error.ConnectionRefusedError) is not None
        log(
            f"end role=sip peer={self.key[0]}:{self.key[1]} code={'refused' if refused else 'unreached'}"
            " age_ms=0 in=0 out=0"
        )
        self.hub.unsent(self.key)


class _Outbound(SipStream):
    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.hub.outbound[self.key] = self
        self.flush()

    def resumeProducing(self) -> None:  # noqa: N802
        super().resumeProducing()
        self.flush()

    def flush(self) -> None:
        for data, _ in self.hub.waiting.pop(self.key, []):
            self.push(data)

    def lost(self) -> None:
        super().lost()
        self.hub.unsent(self.key)


class _Datagrams(DatagramProtocol):
    noisy = False

    def __init__(self, hub: SipTransport) -> None:
        self.hub = hub

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        if datagram.strip(b"\r\n\0"):
            self.hub.take(datagram, Target("UDP", addr[0], addr[1]))


class SipTransport:
    def __init__(
        self, clock: TurnReactor, listen: tuple[str, int], connect_timeout_s: float, sockets: int
    ) -> None:
        self.clock = clock
        self.most = max(round(sockets * STREAMS_SHARE), 1)
        self.host, self.port = listen
        self.connect_timeout_s = connect_timeout_s
        self.streams: dict[SipStream, None] = {}
        self.outbound: dict[tuple[str, int], SipStream] = {}
        self.waiting: dict[tuple[str, int], list[tuple[bytes, Callable[[], None] | None]]] = {}
        self.receive: Callable[[sip.Request | sip.Response, Target], None] = lambda message, source: None
        self.dropped, self.drop_logged_at = 0, -DROP_LOG_US

    def start(self) -> None:
        factory = Factory.forProtocol(lambda: SipStream(self))
        factory.noisy = False
        datagrams = _Datagrams(self)
        for last in (False, False, False, True):  # with port 0 the one found for TCP may be taken for UDP
            listening = self.clock.listenTCP(self.port, factory, interface=self.host)
            try:
                self.udp = self.clock.listenUDP(
                    listening.getHost().port, datagrams, interface=self.host, maxPacketSize=65536
                )
            except error.CannotListenError:
                listening.stopListening()
                if last or self.port:
                    raise
                continue
            self.tcp, self.port = listening, listening.getHost().port
            break
        self.sweep()

    def stop_accepting(self) -> None:
        self.tcp.stopListening()

    def sweep(self) -> None:
        """Guards against peers that vanish without a word: their descriptors would be held for ever."""
        now = self.clock.now_us()
        for stream in list(self.streams):
            if now - stream.used_at > IDLE_US:
                stream.end("idle")
            elif stream.key is None and not stream.taken and now - stream.made_at > UNUSED_US:
                stream.end("unused")
        self.clock.callLater(SWEEP_S, self.sweep)

    def make_room(self, newest: SipStream) -> None:
        """Guards the descriptors against connections by the hundred: the one without a message goes first,
        then the longest idle, none with something unread. A dialog outlives its connection."""
        others = [item for item in self.streams if item.key is None and not item.code]
        if len(others) > self.most:
            idle = (item for item in others if item.made_at != self.clock.now_us() and not item.unread())
            least = min(idle, key=lambda item: (item.taken > 0, item.used_at), default=newest)
            least.end("crowded", at_once=True)

    def take(self, data: bytes, source: Target) -> None:
        try:
            message = sip.parse(data)
        except sip.BadMessage as fault:
            self.unreadable(data, source, fault)
            return
        if isinstance(message, sip.Request):
            sip.mark_via(message, source.host, source.port)
        self.receive(message, source)

    def unreadable(self, data: bytes, source: Target, fault: sip.BadMessage) -> None:
        """Guards against garbage: what asks for an answer gets one, the rest is dropped and counted."""
        self.drop(f"{source.host}:{source.port}", str(fault))
        response = sip.answer_to_unreadable(data, fault.code)
        if response is not None:
            sip.mark_via(response, source.host, source.port)
            self.send(bytes(response), source)

    def drop(self, peer: str, why: str) -> None:
        self.dropped += 1
        if self.clock.now_us() - self.drop_logged_at >= DROP_LOG_US:
            log(f"sip-drop peer={peer} count={self.dropped} detail={why[:120]!r}")
            self.dropped, self.drop_logged_at = 0, self.clock.now_us()

    def send(self, data: bytes, target: Target, failed: Callable[[], None] | None = None) -> None:
        if target.transport == "UDP":
            try:
                self.udp.protocol.transport.write(data, (target.host, target.port))
            except (OSError, error.MessageLengthError):
                if failed is not None:
                    self.clock.callLater(0, failed)
            return
        stream = target.stream
        if stream is not None and stream in self.streams and not stream.code:
            stream.used_at = self.clock.now_us()
            if stream.push(data):
                return
        key = target.host, target.port
        stream = self.outbound.get(key)
        usable = stream is not None and not stream.code
        if usable and not stream.held:
            stream.used_at = self.clock.now_us()
            if stream.push(data):
                return
        waiting = self.waiting.setdefault(key, [])
        if len(waiting) >= MOST_WAITING:
            if failed is not None:
                self.clock.callLater(0, failed)
            return
        waiting.append((data, failed))
        if len(waiting) == 1 and not usable:  # a connection that takes nothing just now flushes later
            self.clock.connectTCP(*key, _Connector(self, key), timeout=self.connect_timeout_s)

    def unsent(self, key: tuple[str, int]) -> None:
        for _, failed in self.waiting.pop(key, []):
            if failed is not None:
                failed()

    def take_back(self, data: bytes, target: Target) -> bool:
        """Whether a message was still waiting for its connection; if so it is not sent."""
        waiting = self.waiting.get((target.host, target.port), [])
        for place, (queued, _) in enumerate(waiting):
            if queued is data:
                del waiting[place]
                return True
        return False

    def response_target(self, request: sip.Request, source: Target) -> Target:
        """RFC 3261 18.2.2 and RFC 3581: the connection it came on, else what the topmost Via says."""
        via = request.via[0]
        if source.transport == "TCP":
            return Target("TCP", source.host, via.port or 5060, source.stream)
        if "rport" in via.parameters:
            return Target("UDP", source.host, source.port)
        return Target("UDP", source.host, via.port or 5060)
