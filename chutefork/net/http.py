"""A client's side of HTTP/1.1 on one connection: one question at a time, answers by length or in chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from twisted.internet import error
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver

from .connection import LONGEST, Connection, log

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConnector
    from twisted.python.failure import Failure

    from .clock import TurnReactor

LARGEST = 4 * 1024 * 1024


class Asker(Protocol):
    """Who asks on a connection. `answered` may raise ValueError and the like: the answer was not usable."""

    address: str
    role: str

    def made(self, stream: HttpStream) -> None: ...
    def answered(self, status: int, headers: dict[str, str], body: bytes) -> None: ...
    def lost(self) -> None: ...


class HttpStream(Connection, LineReceiver):
    delimiter = b"\r\n"
    MAX_LENGTH = LONGEST

    def __init__(self, asker: Asker, clock: TurnReactor) -> None:
        self.asker = asker
        self.clock = clock
        self.role = asker.role
        self.silence = None
        self.asked = False
        self.state = "idle"

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.asker.made(self)

    def ask(
        self,
        method: str,
        path: str,
        within_s: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.state, self.length, self.chunked, self.headers = "status", -1, False, {}
        self.parts: list[bytes] = []
        self.missing = self.size = 0
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.asker.address}",
            "Accept: application/json",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.silence = self.clock.callLater(within_s, self.end, "silent", at_once=True)
        self.push("\r\n".join([*lines, "", ""]).encode() + body)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if self.state == "status":
            words = line.split(b" ")
            if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
                self.end("bad-answer", repr(line[:80]))
                return
            self.status, self.state = int(words[1]), "headers"
        elif self.state == "headers" and line:
            name, _, value = line.decode("latin-1").partition(":")
            self.headers[name.strip().lower()] = value.strip()
        elif self.state == "headers":
            self.body_begins()
        elif self.state == "chunk-size":
            try:
                self.begin_part(int(line.split(b";")[0], 16))
            except ValueError:
                self.end("bad-answer", "chunk size")
        elif self.state == "chunk-end":
            self.state = "chunk-size"
        elif self.state == "trailer" and not line:
            self.whole()
        elif self.state == "idle":
            self.end("bad-answer", "unasked")

    def body_begins(self) -> None:
        length = self.headers.get("content-length", "")
        if self.status // 100 == 1:
            self.state = "status"
        elif self.headers.get("transfer-encoding", "").lower() == "chunked":
            self.chunked, self.state = True, "chunk-size"
        elif length.isdigit() and int(length):
            self.begin_part(int(length))
        elif length == "0" or self.status in (204, 304):
            self.whole()
        else:
            self.end("bad-answer", "no length")

    def begin_part(self, size: int) -> None:
        self.size += size
        if size < 0 or self.size > LARGEST:
            self.end("bad-answer", "too large")
        elif size:
            self.missing = size
            self.setRawMode()
        else:
            self.state = "trailer"

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        part, rest = data[: self.missing], data[self.missing :]
        self.parts.append(part)
        self.missing -= len(part)
        if self.missing:
            return
        if self.chunked:
            self.state = "chunk-end"
        else:
            self.whole()
        if not self.code:
            self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.end("long-line", f"over {LONGEST} bytes")

    def whole(self) -> None:
        self.taken += 1
        self.calm()
        self.state = "idle"
        closing = self.headers.get("connection", "").lower() == "close"
        try:
            self.asker.answered(self.status, self.headers, b"".join(self.parts))
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as fault:
            self.end("bad-answer", f"{type(fault).__name__}: {fault}")
            return
        if closing and not self.code:
            self.end("asked-to-close")

    def calm(self) -> None:
        if self.silence is not None and self.silence.active():
            self.silence.cancel()
        self.silence = None

    def lost(self) -> None:
        self.calm()
        self.asker.lost()


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, asker: Asker, clock: TurnReactor) -> None:
        self.asker = asker
        self.clock = clock

    def buildProtocol(self, addr: object) -> HttpStream:  # noqa: N802
        return HttpStream(self.asker, self.clock)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: N802
        place, code = connector.getDestination(), "moved" if reason.check(error.UserError) else "unreached"
        log(f"end role={self.asker.role} peer={place.host}:{place.port} code={code} age_ms=0 in=0 out=0")
        self.asker.lost()


def connect(asker: Asker, clock: TurnReactor, timeout_s: float = 1.0) -> IConnector:
    host, _, port = asker.address.rpartition(":")
    return clock.connectTCP(host, int(port), _Connector(asker, clock), timeout=timeout_s)
