"""Long polls over HTTP/1.1 that hold out against slow and silent servers.

Usually one connection polls. While answers are overdue, further connections poll in parallel and the earlier
polls stay open, so that a connection that has stopped is replaced soon and a late answer still arrives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .connection import log
from .http import HttpStream, connect

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConnector, IDelayedCall

    from .clock import CachedClockReactor

MAX_OPEN_POLLS = 6  # beyond it the latest poll is replaced: the earlier ones wait for answers that are late
ANSWER_TIMEOUT_S = 30.0  # without an answer by then the connection of a poll is closed
RETRY_DELAYS_S = (0.0, 0.05, 0.2, 0.5)  # after the first, second, ... failure in a row


class PollConnection:
    """One connection of a poller, with one poll at a time.

    `HttpStream` calls `on_connected`, `on_response` and `on_disconnected`.
    """

    def __init__(self, poller: Poller) -> None:
        self.poller = poller
        self.address = poller.address
        self.role = poller.role
        self.asked_at = 0  # when the present poll was sent
        self.overdue_after_s = 0.0  # of the present poll
        self.answers = 0  # on this connection
        self.abandoned = False  # closed, or to be closed once connected: its end is of no interest
        self.stream: HttpStream | None = None
        self.connector: IConnector = connect(self, poller.clock)

    def on_connected(self, stream: HttpStream) -> None:
        self.stream = stream
        if self.abandoned:
            stream.close("silent", at_once=True)
        else:
            self.poll()

    def poll(self) -> None:
        """Sends the next poll."""
        self.asked_at = self.poller.clock.now_us()
        path, self.overdue_after_s = self.poller.next_request(self)
        self.poller.set_next_poll(self.overdue_after_s)
        self.stream.request("GET", path, ANSWER_TIMEOUT_S, headers=self.poller.headers)

    def on_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Passes the answer on and polls again.

        Raises ValueError, KeyError, TypeError or OverflowError for an unusable answer, which ends the
        connection.
        """
        if status != 200:
            raise ValueError(f"status {status}")
        late_us = self.poller.clock.now_us() - self.asked_at - round(self.overdue_after_s * 1e6)
        self.poller.handle_answer(self, headers, body)
        self.answers += 1
        self.poller.answered(self, late_us)
        if self.stream is not None and not self.stream.end_code:
            self.poll()

    def on_disconnected(self) -> None:
        self.stream = None
        if not self.abandoned:
            self.poller.poll_lost(self)

    def abandon(self, code: str, at_once: bool = True) -> None:
        """Closes the connection, as `Connection.close` does; if it is still being made, once it is open."""
        self.abandoned = True
        if self.stream is not None:
            self.stream.close(code, at_once=at_once)

    def move(self) -> None:
        """Closes the connection, or stops making it, since the server has another address."""
        self.abandon("moved")
        if self.stream is None:
            self.connector.stopConnecting()


class Poller:
    """Polls one server, and reconnects after every failure, until `shut_down` is called.

    Subclasses implement `next_request` and `handle_answer`.
    """

    role = "poller"
    connect_overdue_after_s = 1.6  # a connection without any poll by then is taken for overdue

    def __init__(
        self, address: str, clock: CachedClockReactor, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        self.address = address
        self.clock = clock
        self.headers = headers
        self.failures = 0  # in a row
        self.answers_are_late = False  # whether the latest one was
        self.polls: list[PollConnection] = []  # in the order in which they were opened
        self.next_poll_timer: IDelayedCall | None = None  # opens one more connection when it is due

    def next_request(self, poll: PollConnection) -> tuple[str, float]:
        """The path of the next request, and after how many seconds its answer is overdue."""
        raise NotImplementedError

    def handle_answer(self, poll: PollConnection, headers: dict[str, str], body: bytes) -> None:
        """Handles an answer with status 200; raises as `PollConnection.on_response` for an unusable one."""
        raise NotImplementedError

    def connect(self) -> None:
        """Opens one more connection, in place of the latest one if there are MAX_OPEN_POLLS."""
        if len(self.polls) == MAX_OPEN_POLLS:
            self.polls.pop().abandon("silent")
        if len(self.polls) == 1:
            log(f"note {self.role}: a poll has no answer yet, another connection polls as well")
        self.set_next_poll(self.connect_overdue_after_s)
        self.polls.append(PollConnection(self))

    def set_next_poll(self, delay_s: float) -> None:
        """Has one more connection opened after the delay, in place of the time set before."""
        if self.next_poll_timer is not None and self.next_poll_timer.active():
            self.next_poll_timer.reset(delay_s)
        else:
            self.next_poll_timer = self.clock.callLater(delay_s, self.connect)

    def move(self, address: str) -> None:
        """Reconnects to another address."""
        self.address, self.failures = address, 0
        for poll in self.polls:
            poll.move()
        self.polls = []
        self.set_next_poll(0)

    def answered(self, poll: PollConnection, late_us: int) -> None:
        """Notes an answer; `late_us` is above 0 if another connection has polled meanwhile.

        An answer in time shows that this connection works as it should: no other is needed.
        """
        self.failures = 0
        if late_us <= 0 and poll in self.polls:
            for other in self.polls:
                if other is not poll:
                    other.abandon("silent")
            self.polls = [poll]
        if (late_us > 0) != self.answers_are_late:
            self.answers_are_late = late_us > 0
            log(f"note {self.role}: answers come {'late' if self.answers_are_late else 'in time again'}")

    def poll_lost(self, poll: PollConnection) -> None:
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
