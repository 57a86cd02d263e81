"""The command channel: long polls over HTTP/1.1 for changes of the list of exchanges."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from .connection import log
from .http import HttpStream, connect

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConnector, IDelayedCall

    from .clock import CachedClockReactor

# Changes take effect two seconds after their publication. A poll is short, and a reconnect immediate, so that
# a broken connection is noticed and replaced well before that.
POLL_MS = 1000
POLL_TIMEOUT_S = POLL_MS / 1000 + 0.6  # without a response by then the connection is considered broken
RETRY_DELAYS_S = (0.0, 0.05, 0.2, 0.5)  # after the first, second, ... failure in a row


class Channel:
    """Polls for commands after `cursor`, and reconnects after every failure, until `shut_down` is called.

    `on_commands` gets the commands of each response that are later than the cursor, which may be none.
    """

    role = "channel"

    def __init__(
        self, address: str, cursor: int, on_commands: Callable[[list], None], clock: CachedClockReactor
    ) -> None:
        self.address = address
        self.cursor = cursor
        self.on_commands = on_commands
        self.clock = clock
        self.failures = 0  # in a row
        self.stopped = False
        self.stream: HttpStream | None = None
        self.connector: IConnector | None = None  # of the connection that is open or being made
        self.retry_timer: IDelayedCall | None = None

    def connect(self) -> None:
        self.retry_timer = None
        if not self.stopped:
            self.connector = connect(self, self.clock)

    def on_connected(self, stream: HttpStream) -> None:
        self.stream = stream
        self.poll()

    def move(self, address: str) -> None:
        """Reconnects to another address and goes on from the present cursor.

        Commands that the old address has not delivered come from the new one.
        """
        self.address, self.failures = address, 0
        if self.stream is not None:
            self.stream.close("moved", at_once=True)
        elif self.retry_timer is not None:
            self.retry_timer.reset(0)
        elif self.connector is not None:
            self.connector.stopConnecting()

    def poll(self) -> None:
        self.stream.request("GET", f"/cmd/next?resume={self.cursor}&block={POLL_MS}", POLL_TIMEOUT_S)

    def on_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        if status != 200:
            raise ValueError(f"status {status}")
        answer = json.loads(body)
        cursor, commands = int(answer["cursor"]), answer["cmds"]
        if not isinstance(commands, list):
            raise TypeError("cmds must be a list")
        self.failures = 0
        self.accept(cursor, commands)
        self.poll()

    def accept(self, cursor: int, commands: list) -> None:
        """Passes on each command once, by its cursor; a repeated one is dropped."""
        new_commands = []
        for command in commands:
            try:
                if int(command.get("cursor", cursor)) > self.cursor:
                    new_commands.append(command)
            except (ValueError, TypeError, AttributeError, OverflowError) as exc:
                # One unreadable command must not block the others of the response: an error for the whole
                # response would have it requested again indefinitely.
                log(f"bad-event detail={f'{type(exc).__name__}: {exc}'[:160]!r}")
        self.cursor = max(self.cursor, cursor)
        self.on_commands(new_commands)

    def shut_down(self) -> None:
        """Stops polling for good and closes the connection."""
        self.stopped = True
        if self.stream is not None:
            self.stream.close("leaving")
        elif self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def on_disconnected(self) -> None:
        self.stream = self.connector = None
        if self.stopped:
            return
        delay_s = RETRY_DELAYS_S[min(self.failures, len(RETRY_DELAYS_S) - 1)]
        self.failures += 1
        self.retry_timer = self.clock.callLater(delay_s, self.connect)
