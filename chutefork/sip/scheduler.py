"""The order in which messages are processed: one at a time from each source that has some waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..net.clock import CachedClockReactor

MAX_MESSAGES_PER_ITERATION = 4
MAX_TURNS_PER_ITERATION = 32  # of sources, also of those that turn out to have no complete message


class Source(Protocol):
    """A sender of messages: a TCP connection, or an address that datagrams come from."""

    def process_next(self) -> bool:
        """Processes one waiting message; returns whether the source stays in the queue."""


class FairScheduler:
    """Round-robin over the sources with waiting messages.

    A source that sends faster than the program works waits behind itself; others wait for one of its messages
    at most. Each event-loop iteration processes a limited number, so that timers and sockets are served.
    """

    def __init__(self, clock: CachedClockReactor) -> None:
        self.clock = clock
        self.waiting: dict[Source, None] = {}  # the next first
        self.counted_at_us = 0  # the iteration that `processed` is about
        self.processed = 0
        self.run_scheduled = False

    def is_busy(self) -> bool:
        """Whether a source should wait: others do, or this iteration has processed its share."""
        self._start_count_if_new_iteration()
        return bool(self.waiting) or self.processed >= MAX_MESSAGES_PER_ITERATION

    def count_message(self) -> None:
        """Counts a message that is processed now."""
        self._start_count_if_new_iteration()
        self.processed += 1

    def add(self, source: Source) -> None:
        """Queues a source, unless it is in the queue."""
        self.waiting.setdefault(source)
        if not self.run_scheduled:
            self.run_scheduled = True
            self.clock.callLater(0, self._run)

    def discard(self, source: Source) -> None:
        """Takes a source that has ended out of the queue."""
        self.waiting.pop(source, None)

    def _start_count_if_new_iteration(self) -> None:
        if self.counted_at_us != self.clock.now_us():
            self.counted_at_us = self.clock.now_us()
            self.processed = 0

    def _run(self) -> None:
        self._start_count_if_new_iteration()
        # A source may have nothing to process; turns are counted too, so that the loop ends.
        turns_left = MAX_TURNS_PER_ITERATION
        while self.waiting and turns_left and self.processed < MAX_MESSAGES_PER_ITERATION:
            turns_left -= 1
            source = next(iter(self.waiting))
            del self.waiting[source]
            if source.process_next():
                self.waiting[source] = None
        self.run_scheduled = bool(self.waiting)
        if self.run_scheduled:
            self.clock.callLater(0, self._run)
