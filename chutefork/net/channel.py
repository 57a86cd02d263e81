"""The command channel: long polls for changes of the list of exchanges."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from .connection import log
from .polling import PollConnection, Poller

if TYPE_CHECKING:
    from .clock import CachedClockReactor

# Changes take effect two seconds after their publication. A poll is short, and a reconnect immediate, so that
# a broken connection is noticed and replaced well before that.
POLL_MS = 1000
FIRST_POLL_MS = 1  # of the polls until the first answer: it confirms the list, on which set-ups wait
OVERDUE_AFTER_S = POLL_MS / 1000 + 0.6  # without any answer for so long, one more connection polls


class Channel(Poller):
    """Polls for commands after `cursor`.

    `on_commands` gets the commands of each answer that are later than the cursor, which may be none. After
    `move` it goes on from the present cursor: commands that the old address has not delivered come from the
    new one.
    """

    role = "channel"

    def __init__(
        self, address: str, cursor: int, on_commands: Callable[[list], None], clock: CachedClockReactor
    ) -> None:
        super().__init__(address, clock)
        self.cursor = cursor
        self.on_commands = on_commands
        self.has_answered = False  # at least once

    def next_request(self, poll: PollConnection) -> tuple[str, float]:
        wait_ms = POLL_MS if self.has_answered else FIRST_POLL_MS
        return f"/cmd/next?resume={self.cursor}&block={wait_ms}", OVERDUE_AFTER_S

    def handle_answer(self, poll: PollConnection, headers: dict[str, str], body: bytes) -> None:
        answer = json.loads(body)
        cursor, commands = int(answer["cursor"]), answer["cmds"]
        if not isinstance(commands, list):
            raise TypeError("cmds must be a list")
        self.has_answered = True
        self.accept(cursor, commands)

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
