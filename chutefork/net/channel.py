"""The command channel: long polls over HTTP/1.1 that bring the changes of the list of exchanges."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver

from .connection import LONGEST, Connection, log

if TYPE_CHECKING:
    from .clock import TurnReactor

BLOCK_MS = 1000  # short, so that a connection that fell silent is noticed well before its news binds
SILENT_S = 2.5  # no answer by then: the channel is away, whatever the connection says
RETRY_S = (0.05, 0.2, 0.5, 1.0)
LARGEST = 4 * 1024 * 1024


class ChannelProtocol(Connection, LineReceiver):
    role = "channel"
    delimiter = b"\r\n"
    MAX_LENGTH = LONGEST

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.clock = channel.clock
        self.status = ""
        self.length: int | None = None
        self.chunked = False
        self.trailer = False
        self.parts: list[bytes] = []
        self.missing = 0
        self.silence = None

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.channel.made(self)
        self.ask()

    def ask(self) -> None:
        self.status, self.length, self.chunked, self.trailer, self.parts = "", None, False, False, []
        path = f"/cmd/next?resume={self.channel.cursor}&block={BLOCK_MS}"
        self.push(f"GET {path} HTTP/1.1\r\nHost: {self.channel.address}\r\n"
                  f"Accept: application/json\r\n\r\n".encode())
        self.silence = self.clock.callLater(SILENT_S, self.end, "silent", at_once=True)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if not self.status:
            if not line:
                return
            self.status = line.decode("latin-1")
            if not self.status.startswith("HTTP/1."):
                self.end("bad-answer", self.status[:80])
        elif self.chunked and self.parts is not None and self.length == -1:
            self.chunk_line(line)
        elif line:
            name, _, value = line.partition(b":")
            name, value = name.strip().lower(), value.strip()
            if name == b"content-length":
                if not value.isdigit() or int(value) > LARGEST:
                    self.end("bad-answer", "content-length")
                    return
                self.length = int(value)
            elif name == b"transfer-encoding" and value.lower() == b"chunked":
                self.chunked = True
        elif self.chunked:
            self.length = -1
        elif self.length:
            self.missing = self.length
            self.setRawMode()
        else:
            self.whole()

    def chunk_line(self, line: bytes) -> None:
        if self.trailer:
            if not line:
                self.whole()
            return
        if not line:
            return
        try:
            size = int(line.split(b";")[0], 16)
        except ValueError:
            self.end("bad-answer", "chunk size")
            return
        if size < 0 or size + sum(map(len, self.parts)) > LARGEST:
            self.end("bad-answer", "too large")
        elif size:
            self.missing = size
            self.setRawMode()
        else:
            self.trailer = True

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        part, rest = data[:self.missing], data[self.missing:]
        self.parts.append(part)
        self.missing -= len(part)
        if self.missing:
            return
        if not self.chunked:
            self.whole()
            if self.code:
                return
        self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.end("long-line", f"over {LONGEST} bytes")

    def whole(self) -> None:
        self.taken += 1
        self.calm()
        code = self.status.split(" ")[1] if " " in self.status else ""
        if code != "200":
            self.end("bad-answer", self.status[:80])
            return
        try:
            self.channel.tell(json.loads(b"".join(self.parts)))
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as fault:
            self.end("bad-answer", f"{type(fault).__name__}: {fault}")
            return
        self.channel.tries = 0
        self.ask()

    def calm(self) -> None:
        if self.silence is not None and self.silence.active():
            self.silence.cancel()
        self.silence = None

    def lost(self) -> None:
        self.calm()
        self.channel.lost()


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, channel: Channel) -> None:
        self.channel = channel

    def buildProtocol(self, addr: object) -> ChannelProtocol:  # noqa: N802
        return ChannelProtocol(self.channel)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        if not self.channel.tries:
            log(f"end role=channel peer={self.channel.address} code=unreached age_ms=0 in=0 out=0")
        self.channel.lost()


class Channel:
    """Keeps asking, from the last number on, for as long as the program runs."""

    def __init__(self, address: str, cursor: int, told: Callable[[list], None], clock: TurnReactor) -> None:
        self.address = address
        self.cursor = cursor
        self.told = told
        self.clock = clock
        self.tries = 0
        self.connection: ChannelProtocol | None = None

    def connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.clock.connectTCP(host, int(port), _Connector(self), timeout=1.0)

    def made(self, connection: ChannelProtocol) -> None:
        self.connection = connection

    def lost(self) -> None:
        self.connection = None
        gap_s = RETRY_S[min(self.tries, len(RETRY_S) - 1)]
        self.tries += 1
        self.clock.callLater(gap_s, self.connect)

    def tell(self, answer: dict) -> None:
        cursor, commands = int(answer["cursor"]), answer["cmds"]
        if not isinstance(commands, list):
            raise TypeError("cmds must be a list")
        self.told([item for item in commands if int(item.get("cursor", cursor)) > self.cursor])
        self.cursor = max(self.cursor, cursor)
