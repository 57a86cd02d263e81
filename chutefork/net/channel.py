"""The command channel: long polls over HTTP/1.1 that bring the changes of the list of exchanges."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from .http import HttpStream, connect

if TYPE_CHECKING:
    from .clock import TurnReactor

BLOCK_MS = 1000  # short, so that a connection that fell silent is noticed well before its news binds
SILENT_S = 2.5  # no answer by then: the channel is away, whatever the connection says
RETRY_S = (0.05, 0.2, 0.5, 1.0)


class Channel:
    """Keeps asking, from the last number on, for as long as the program runs."""

    role = "channel"

    def __init__(self, address: str, cursor: int, told: Callable[[list], None], clock: TurnReactor) -> None:
        self.address = address
        self.cursor = cursor
        self.told = told
        self.clock = clock
        self.tries = 0
        self.stopped = False
        self.stream: HttpStream | None = None

    def connect(self) -> None:
        if not self.stopped:
            connect(self, self.clock)

    def made(self, stream: HttpStream) -> None:
        self.stream = stream
        self.ask()

    def ask(self) -> None:
        self.stream.ask("GET", f"/cmd/next?resume={self.cursor}&block={BLOCK_MS}", SILENT_S)

    def answered(self, status: int, headers: dict[str, str], body: bytes) -> None:
        if status != 200:
            raise ValueError(f"status {status}")
        answer = json.loads(body)
        cursor, commands = int(answer["cursor"]), answer["cmds"]
        if not isinstance(commands, list):
            raise TypeError("cmds must be a list")
        news = [item for item in commands if int(item.get("cursor", cursor)) > self.cursor]
        self.cursor = max(self.cursor, cursor)
        self.tries = 0
        self.told(news)
        self.ask()

    def leave(self) -> None:
        self.stopped = True
        if self.stream is not None:
            self.stream.end("leaving")

    def lost(self) -> None:
        self.stream = None
        if self.stopped:
            return
        gap_s = RETRY_S[min(self.tries, len(RETRY_S) - 1)]
        self.tries += 1
        self.clock.callLater(gap_s, self.connect)
