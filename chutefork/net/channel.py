"""The command channel: long polls over HTTP/1.1 that bring the changes of the list of exchanges."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from .connection import log
from .http import HttpStream, connect

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConnector, IDelayedCall

    from .clock import TurnReactor

BLOCK_MS = 1000  # short, so that a connection that fell silent is noticed well before its news binds
SILENT_S = BLOCK_MS / 1000 + 0.6  # no answer by then: the channel is away, whatever the connection says
RETRY_S = (0.0, 0.05, 0.2, 0.5)  # at once after a break: what is there to tell binds two seconds later


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
        self.connector: IConnector | None = None  # of the connection that is there or being made
        self.retry: IDelayedCall | None = None

    def connect(self) -> None:
        self.retry = None
        if not self.stopped:
            self.connector = connect(self, self.clock)

    def made(self, stream: HttpStream) -> None:
        self.stream = stream
        self.ask()

    def move(self, address: str) -> None:
        """To another address, from the last number on: the new one tells what the old one has not told."""
        self.address, self.tries = address, 0
        if self.stream is not None:
            self.stream.end("moved", at_once=True)
        elif self.retry is not None:
            self.retry.reset(0)
        elif self.connector is not None:
            self.connector.stopConnecting()

    def ask(self) -> None:
        self.stream.ask("GET", f"/cmd/next?resume={self.cursor}&block={BLOCK_MS}", SILENT_S)

    def answered(self, status: int, headers: dict[str, str], body: bytes) -> None:
        if status != 200:
            raise ValueError(f"status {status}")
        answer = json.loads(body)
        cursor, commands = int(answer["cursor"]), answer["cmds"]
        if not isinstance(commands, list):
            raise TypeError("cmds must be a list")
        self.tries = 0
        self.take(cursor, commands)
        self.ask()

    def take(self, cursor: int, commands: list) -> None:
        """Events by their numbers, each once, whichever way they came."""
        news = []
        for item in commands:
            try:
                if int(item.get("cursor", cursor)) > self.cursor:
                    news.append(item)
            except (ValueError, TypeError, AttributeError, OverflowError) as fault:
                # guards the events beside it: the whole answer would else be asked for for ever
                log(f"bad-event detail={f'{type(fault).__name__}: {fault}'[:160]!r}")
        self.cursor = max(self.cursor, cursor)
        self.told(news)

    def leave(self) -> None:
        self.stopped = True
        if self.stream is not None:
            self.stream.end("leaving")
        elif self.retry is not None:
            self.retry.cancel()
            self.retry = None

    def lost(self) -> None:
        self.stream = self.connector = None
        if self.stopped:
            return
        gap_s = RETRY_S[min(self.tries, len(RETRY_S) - 1)]
        self.tries += 1
        self.retry = self.clock.callLater(gap_s, self.connect)
