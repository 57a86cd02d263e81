"""The command channel: long polls over HTTP/1.1 for changes of the list of exchanges.

Usually one connection polls. While answers are late, further connections poll in parallel and the earlier
polls stay open, so that a connection that has stopped is replaced soon and a late answer still arrives.
"""

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
FIRST_POLL_MS = 1  # of the polls until the first answer: it confirms the list, on which set-ups wait
OVERDUE_AFTER_S = POLL_MS / 1000 + 0.6  # without any answer for so long, one more connection polls
MAX_OPEN_POLLS = 6  # beyond it the latest poll is replaced: the earlier ones wait for answers that are late
ANSWER_TIMEOUT_S = 30.0  # without an answer by then the connection of a poll is closed
RETRY_DELAYS_S = (0.0, 0.05, 0.2, 0.5)  # after the first, second, ... failure in a row


class PollConnection:
    """One connection to the command channel, with one poll at a time.

    `HttpStream` calls `on_connected`, `on_response` and `on_disconnected`.
    """

    role = "channel"

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.address = channel.address
        self.asked_at = 0  # when the present poll was sent
        self.abandoned = False  # closed, or to be closed once connected: its end is of no interest
        self.stream: HttpStream | None = None
        self.connector: IConnector = connect(self, channel.clock)

    def on_connected(self, stream: HttpStream) -> None:
        self.stream = stream
        if self.abandoned:
            stream.close("silent", at_once=True)
        else:
            self.poll()

    def poll(self) -> None:
        self.asked_at = self.channel.clock.now_us()
        wait_ms = POLL_MS if self.channel.has_answered else FIRST_POLL_MS
        path = f"/cmd/next?resume={self.channel.cursor}&block={wait_ms}"
        self.stream.request("GET", path, ANSWER_TIMEOUT_S)

    def on_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Passes the answer on and polls again.

        Raises ValueError, KeyError, TypeError or OverflowError for an unusable answer, which ends the
        connection.
        """
        if status != 200:
            raise ValueError(f"status {status}")
        answer = json.loads(body)
        cursor, commands = int(answer["cursor"]), answer["cmds"]
        if not isinstance(commands, list):
            raise TypeError("cmds must be a list")
        late_us = self.channel.clock.now_us() - self.asked_at - round(OVERDUE_AFTER_S * 1e6)
        self.channel.on_answer(self, cursor, commands, late_us)
        self.poll()

    def on_disconnected(self) -> None:
        self.stream = None
        if not self.abandoned:
            self.channel.on_poll_lost(self)

    def abandon(self, code: str, at_once: bool = True) -> None:
        """Closes the connection, as `Connection.close` does; if it is still being made, once it is open."""
        self.abandoned = True
        if self.stream is not None:
            self.stream.close(code, at_once=at_once)

    def move(self) -> None:
        """Closes the connection, or stops making it, since the channel has another address."""
        self.abandon("moved")
        if self.stream is None:
            self.connector.stopConnecting()


class Channel:
    """Polls for commands after `cursor`, and reconnects after every failure, until `shut_down` is called.

    `on_commands` gets the commands of each answer that are later than the cursor, which may be none.
    """

    def __init__(
        self, address: str, cursor: int, on_commands: Callable[[list], None], clock: CachedClockReactor
    ) -> None:
        self.address = address
        self.cursor = cursor
        self.on_commands = on_commands
        self.clock = clock
        self.failures = 0  # in a row
        self.has_answered = False  # at least once
        self.answers_are_late = False  # whether the latest one was
        self.polls: list[PollConnection] = []  # in the order in which they were opened
        self.next_poll_timer: IDelayedCall | None = None  # opens one more connection when it is due

    def connect(self) -> None:
        """Opens one more connection, in place of the latest one if there are MAX_OPEN_POLLS."""
        if len(self.polls) == MAX_OPEN_POLLS:
            self.polls.pop().abandon("silent")
        if len(self.polls) == 1:
            log("note channel: a poll has no answer yet, another connection polls as well")
        self.polls.append(PollConnection(self))
        self.set_next_poll(OVERDUE_AFTER_S)

    def set_next_poll(self, delay_s: float) -> None:
        """Has one more connection opened after the delay, in place of the time set before."""
        if self.next_poll_timer is not None and self.next_poll_timer.active():
            self.next_poll_timer.reset(delay_s)
        else:
            self.next_poll_timer = self.clock.callLater(delay_s, self.connect)

    def move(self, address: str) -> None:
        """Reconnects to another address and goes on from the present cursor.

        Commands that the old address has not delivered come from the new one.
        """
        self.address, self.failures = address, 0
        for poll in self.polls:
            poll.move()
        self.polls = []
        self.set_next_poll(0)

    def on_answer(self, poll: PollConnection, cursor: int, commands: list, late_us: int) -> None:
        """Handles the answer to a poll; `late_us` is above 0 if another connection has polled meanwhile.

        An answer in time shows that this connection works as it should: no other is needed.
        """
        self.failures, self.has_answered = 0, True
        if late_us <= 0:
            self.keep_only(poll)
        if (late_us > 0) != self.answers_are_late:
            self.answers_are_late = late_us > 0
            log(f"note channel: answers come {'late' if self.answers_are_late else 'in time again'}")
        self.set_next_poll(OVERDUE_AFTER_S)
        self.accept(cursor, commands)

    def keep_only(self, poll: PollConnection) -> None:
        for other in self.polls:
            if other is not poll:
                other.abandon("silent")
        self.polls = [poll]

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

    def on_poll_lost(self, poll: PollConnection) -> None:
        """Reconnects soon if it was the latest connection; otherwise the latest one goes on polling."""
        was_latest = poll is self.polls[-1]
        self.polls.remove(poll)
        if was_latest:
            self.set_next_poll(RETRY_DELAYS_S[min(self.failures, len(RETRY_DELAYS_S) - 1)])
            self.failures += 1

    def shut_down(self) -> None:
        """Stops polling for good and closes all connections."""
        if self.next_poll_timer is not None and self.next_poll_timer.active():
            self.next_poll_timer.cancel()
        for poll in self.polls:
            poll.abandon("leaving", at_once=False)
        self.polls = []
