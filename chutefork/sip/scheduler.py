"""The order in which messages are processed: one at a time from each source that has some waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..net.clock import CachedClockReactor

MAX_MESSAGES_PER_ITERATION = 4
MAX_TURNS_PER_ITERATION = 32  # of sources, also of those that turn out to have no complete message
KNOWN_TURNS_IN_A_ROW = 3  # of known sources, while others wait


class Source(Protocol):
    """A sender of messages: a TCP connection, or an address that datagrams come from."""

    def process_next(self) -> bool:
        """Processes one waiting message; returns whether the source stays in the queue."""


class FairScheduler:
    """Round-robin over the sources with waiting messages.

    A source that sends faster than the program works waits behind itself; others wait for one of its messages
    at most. Known sources have most of the turns, so that strangers, however many they are, delay them
    little. Each event-loop iteration processes a limited number, so that timers and sockets are served.
    """

    def __init__(self, clock: CachedClockReactor) -> None:
        self.clock = clock
        self.known: dict[Source, None] = {}  # the next first, as in `strangers`
        self.strangers: dict[Source, None] = {}
        self.known_turns = 0  # since the last turn of a stranger
        self.counted_at_us = 0  # the iteration that `processed` is about
        self.processed = 0
        self.run_scheduled = False

    def is_busy(self) -> bool:
        """Whether a source should wait: others do, or this iteration has processed its share."""
        self._start_count_if_new_iteration()
        return bool(self.known or self.strangers) or self.processed >= MAX_MESSAGES_PER_ITERATION

    def count_message(self) -> None:
        """Counts a message that is processed now."""
        self._start_count_if_new_iteration()
        self.processed += 1

    def add(self, source: Source, is_known: bool) -> None:
        """Queues a source that is not in the queue."""
        (self.known if is_known else self.strangers).setdefault(source)
        if not self.run_scheduled:
            self.run_scheduled = True
            self.clock.callLater(0, self._run)

    def discard(self, source: Source) -> None:
        """Takes a source that has ended out of the queue."""
        self.known.pop(source, None)
        self.strangers.pop(source, None)

    def _start_count_if_new_iteration(self) -> None:
        if self.counted_at_us != self.clock.now_us():
            self.counted_at_us = self.clock.now_us()
            self.processed = 0

    def _next_queue(self) -> dict[Source, None]:
        if self.strangers and (not self.known or self.known_turns >= KNOWN_TURNS_IN_A_ROW):
            self.known_turns = 0
            return self.strangers
        self.known_turns += 1
        return self.known

    def _run(self) -> None:
        self._start_count_if_new_iteration()
        turns_left = MAX_TURNS_PER_ITERATION
        while (self.known or self.strangers) and turns_left and self.processed < MAX_MESSAGES_PER_ITERATION:
            turns_left -= 1
            queue = self._next_queue()
            source = next(iter(queue))
            del queue[source]
            if source.process_next():
                queue[source] = None
        self.run_scheduled = bool(self.known or self.strangers)
        if self.run_scheduled:
            self.clock.callLater(0, self._run)
