"""HTTP/1.1 client on one connection: one request at a time; bodies with a length or in chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from twisted.internet import error
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver

from .connection import MAX_MESSAGE_BYTES, Connection, log

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConnector
    from twisted.python.failure import Failure

    from .clock import CachedClockReactor

MAX_BODY_BYTES = 4 * 1024 * 1024


class Requester(Protocol):
    """The user of a connection to `address`, which is `host:port`.

    `on_connected` is called when the connection is open, `on_response` for each response, `on_disconnected`
    when it has closed or could not be opened.

    `on_response` may raise ValueError, KeyError, TypeError, AttributeError, OverflowError or RecursionError
    where the response is not usable; the connection is then closed with the code `bad-answer`.
    """

    address: str
    role: str

    def on_connected(self, stream: HttpStream) -> None: ...
    def on_response(self, status: int, headers: dict[str, str], body: bytes) -> None: ...
    def on_disconnected(self) -> None: ...


class HttpStream(Connection, LineReceiver):
    """One client connection. Responses go to the requester, with header names in lower case."""

    delimiter = b"\r\n"
    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, requester: Requester, clock: CachedClockReactor) -> None:
        self.requester = requester
        self.clock = clock
        self.role = requester.role
        self.response_timer = None
        self.requested = False
        self.state = "idle"

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.requester.on_connected(self)

    def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Sends a request; the previous one must have been answered.

        Without a complete response within the timeout the connection is aborted with the code `silent`.
        """
        self.state, self.length, self.chunked, self.headers = "status", -1, False, {}
        self.body_parts: list[bytes] = []
        self.part_remaining = self.body_size = 0
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.requester.address}",
            "Accept: application/json",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.response_timer = self.clock.callLater(timeout_s, self.close, "silent", at_once=True)
        self.send("\r\n".join([*lines, "", ""]).encode() + body)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if self.state == "status":
            fields = line.split(b" ")
            if len(fields) < 2 or not fields[0].startswith(b"HTTP/1.") or not fields[1].isdigit():
                self.close("bad-answer", repr(line[:80]))
                return
            self.status, self.state = int(fields[1]), "headers"
        elif self.state == "headers" and line:
            name, _, value = line.decode("latin-1").partition(":")
            self.headers[name.strip().lower()] = value.strip()
        elif self.state == "headers":
            self.headers_complete()
        elif self.state == "chunk-size":
            try:
                self.start_part(int(line.split(b";")[0], 16))
            except ValueError:
                self.close("bad-answer", "invalid chunk size")
        elif self.state == "chunk-end":
            self.state = "chunk-size"
        elif self.state == "trailer" and not line:
            self.response_complete()
        elif self.state == "idle":
            self.close("bad-answer", "data without a request")

    def headers_complete(self) -> None:
        length = self.headers.get("content-length", "")
        if self.status // 100 == 1:
            self.state = "status"
        elif self.headers.get("transfer-encoding", "").lower() == "chunked":
            self.chunked, self.state = True, "chunk-size"
        elif length.isdecimal() and int(length):
            self.start_part(int(length))
        elif length == "0" or self.status in (204, 304):
            self.response_complete()
        else:
            self.close("bad-answer", "response without a length")

    def start_part(self, size: int) -> None:
        """Begins a chunk, or the whole of a body with a length; size 0 is the last chunk."""
        self.body_size += size
        if size < 0 or self.body_size > MAX_BODY_BYTES:
            self.close("bad-answer", "body too large")
        elif size:
            self.part_remaining = size
            self.setRawMode()
        else:
            self.state = "trailer"

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        part, rest = data[: self.part_remaining], data[self.part_remaining :]
        self.body_parts.append(part)
        self.part_remaining -= len(part)
        if self.part_remaining:
            return
        if self.chunked:
            self.state = "chunk-end"
        else:
            self.response_complete()
        if not self.end_code:
            self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.close("long-line", f"over {MAX_MESSAGE_BYTES} bytes")

    def response_complete(self) -> None:
        self.messages_received += 1
        self.cancel_response_timer()
        self.state = "idle"
        closing = self.headers.get("connection", "").lower() == "close"
        try:
            self.requester.on_response(self.status, self.headers, b"".join(self.body_parts))
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as exc:
            self.close("bad-answer", f"{type(exc).__name__}: {exc}")
            return
        if closing and not self.end_code:
            self.close("asked-to-close")

    def cancel_response_timer(self) -> None:
        if self.response_timer is not None and self.response_timer.active():
            self.response_timer.cancel()
        self.response_timer = None

    def on_closed(self) -> None:
        self.cancel_response_timer()
        self.requester.on_disconnected()


class _StreamFactory(ClientFactory):
    noisy = False

    def __init__(self, requester: Requester, clock: CachedClockReactor) -> None:
        self.requester = requester
        self.clock = clock

    def buildProtocol(self, addr: object) -> HttpStream:  # noqa: N802
        return HttpStream(self.requester, self.clock)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: N802
        # UserError: the attempt was stopped because the requester's address has changed.
        peer, code = connector.getDestination(), "moved" if reason.check(error.UserError) else "unreached"
        log(f"end role={self.requester.role} peer={peer.host}:{peer.port} code={code} age_ms=0 in=0 out=0")
        self.requester.on_disconnected()


def connect(requester: Requester, clock: CachedClockReactor, timeout_s: float = 1.0) -> IConnector:
    """Opens a connection to the requester's address; `on_connected` or `on_disconnected` is called later."""
    host, _, port = requester.address.rpartition(":")
    return clock.connectTCP(host, int(port), _StreamFactory(requester, clock), timeout=timeout_s)
