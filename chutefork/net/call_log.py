"""Counters of what happens to calls, and log lines for what is not the ordinary course of a call."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..core import messages
from ..core.guard import Rule
from ..interface import Outcome
from .connection import log
from .token_bucket import TokenBucket

if TYPE_CHECKING:
    from .clock import CachedClockReactor

MAX_LINES_PER_S = 20
MAX_BURST_LINES = 200
COUNTS_INTERVAL_S = 10.0


class CallLog:
    """Counts the events and effects of one driver; logs refusals, failures, failed attempts and cut calls.

    Of these lines no more than MAX_LINES_PER_S are written on average; the others are counted as `unlogged`.
    `name` tells the drivers of one program apart.
    """

    def __init__(self, name: str, clock: CachedClockReactor) -> None:
        self.name = name
        self.clock = clock
        self.counts: Counter[str] = Counter()
        self.logged_counts: Counter[str] = Counter()
        self.lines = TokenBucket(MAX_LINES_PER_S, MAX_BURST_LINES)

    def start(self) -> None:
        """Logs the counters now and whenever they have changed, every COUNTS_INTERVAL_S."""
        if self.counts != self.logged_counts:
            self.log_counts()
        self.clock.callLater(COUNTS_INTERVAL_S, self.start)

    def log_counts(self) -> None:
        """Logs all counters; those that are not named are 0."""
        self.logged_counts = self.counts.copy()
        fields = " ".join(f"{key}={count}" for key, count in sorted(self.counts.items()))
        violations = sum(count for key, count in self.counts.items() if key.startswith("violation."))
        log(f"counts of={self.name} violations={violations} {fields}".rstrip())

    def event(self, event: messages.Event) -> None:
        """Counts an event, and logs the end of an attempt or a call unless it is the ordinary one."""
        if isinstance(event, messages.AttemptEnded):
            self.counts[f"ended.{event.outcome.name.lower()}"] += 1
            if event.outcome is not Outcome.OK:
                self._line(
                    f"attempt-ended call={event.call:016x} hub={event.hub}"
                    f" outcome={event.outcome.name.lower()} reason={event.reason.name.lower()}"
                )
        elif not isinstance(event, messages.WakeUpDue | messages.GroupStateReported):
            self.counts[type(event).__name__.lower()] += 1
            if isinstance(event, messages.HubDown):
                self._line(f"hub-down hub={event.hub}")

    def effect(self, effect: messages.Effect) -> None:
        """Counts an effect that is carried out, and logs a refusal, a failure and the end of a cut call."""
        if isinstance(effect, messages.Refuse | messages.Fail):
            kind = type(effect).__name__.lower()
            cause = effect.cause.name.lower()
            self.counts[f"{kind}.{cause}"] += 1
            self._line(f"{kind} call={effect.call:016x} cause={cause}")
        elif isinstance(effect, messages.CallEnded):
            self.counts["callended.cut" if effect.cut else "callended.ok"] += 1
            if effect.cut:
                self._line(f"cut call={effect.call:016x}")
        elif isinstance(effect, messages.SetUp | messages.Release | messages.Answer):
            self.counts[type(effect).__name__.lower()] += 1

    def violation(self, rule: Rule, effect: messages.Effect) -> None:
        """Counts and always logs an effect that was held back."""
        self.counts[f"violation.{rule.value}"] += 1
        log(f"violation rule={rule.value} effect={type(effect).__name__} call={effect.call:016x}")

    def _line(self, text: str) -> None:
        if self.lines.try_take(self.clock.seconds()):
            log(text)
        else:
            self.counts["unlogged"] += 1
