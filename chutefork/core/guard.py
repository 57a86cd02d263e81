"""The last check of the reducer's effects: one that breaks a rule is not carried out, and is counted.

The guard follows the calls by their events and effects alone, and shares no state with the reducer, so that
an error there does not hide itself. Times are whole microseconds on the monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from ..interface import ListKind, Outcome, Settings, SwitchState
from . import messages

US_PER_SECOND = 1_000_000
REFUSED_RETENTION_US = 30 * US_PER_SECOND  # how long the id of a refused call is kept


class Rule(Enum):
    """What an effect must not break; the values are the names in the log."""

    SINGLE_ANSWER = "single-answer"  # one final answer for each set-up, and no end of a call that was refused
    SINGLE_ATTEMPT = "single-attempt"  # one attempt of a call is out at a time
    RELEASE_FIRST = "release-first"  # no attempt before the release wait of the one before is over
    SAFE_DRAIN = "safe-drain"  # no attempt at a hub that drains or is gone
    OPEN_CALL = "open-call"  # no attempt for a call that has its answer
    SHUTDOWN = "shutdown"  # no attempt once all calls have been ended


@dataclass(slots=True)
class WaitingCall:
    """A call without a final answer."""

    attempt_at: str | None = None  # hub at which an attempt is out
    next_attempt_at: int = 0  # end of the release wait


class EffectGuard:
    """Follows all calls; `violations` counts the effects that were held back, by rule."""

    def __init__(self, settings: Settings) -> None:
        self.release_us = round(settings.release_s * US_PER_SECOND)
        self.violations: Counter[Rule] = Counter()
        self.waiting: dict[int, WaitingCall] = {}
        self.established: set[int] = set()
        self.refused_at: dict[int, int] = {}  # oldest first
        self.ready_hubs: set[str] = set()
        self.shut_down = False

    def observe(self, event: messages.Event, now: int) -> None:
        """Follows an event; to be called before the reducer handles it."""
        if isinstance(event, messages.Arrival):
            if event.call not in self.waiting and event.call not in self.established:
                self.refused_at.pop(event.call, None)
                self.waiting[event.call] = WaitingCall()
        elif isinstance(event, messages.Withdrawn | messages.UnknownCallReleased):
            self.waiting.pop(event.call, None)
            self.established.discard(event.call)
        elif isinstance(event, messages.AttemptEnded):
            self._attempt_ended(event, now)
        elif isinstance(event, messages.HubsListed):
            self._hubs_listed(event)
        elif isinstance(event, messages.Shutdown):
            self.shut_down = True
        while self.refused_at:
            call = next(iter(self.refused_at))
            if self.refused_at[call] > now - REFUSED_RETENTION_US:
                break
            del self.refused_at[call]

    def _attempt_ended(self, event: messages.AttemptEnded, now: int) -> None:
        call = self.waiting.get(event.call)
        if call is None or call.attempt_at != event.hub:
            return
        call.attempt_at = None
        if event.outcome in (Outcome.TIMEOUT, Outcome.CUT, Outcome.CANCELLED):
            call.next_attempt_at = now + self.release_us

    def _hubs_listed(self, event: messages.HubsListed) -> None:
        if event.kind is not ListKind.CHANGES:
            self.ready_hubs.clear()
        for hub in event.hubs:
            if hub.state is SwitchState.READY:
                self.ready_hubs.add(hub.name)
            else:
                self.ready_hubs.discard(hub.name)

    def check(self, effect: messages.Effect, now: int) -> Rule | None:
        """Follows an effect and returns None, or counts and returns the rule for which it is held back."""
        rule = None
        if isinstance(effect, messages.SetUp):
            rule = self._check_set_up(effect, now)
        elif isinstance(effect, messages.Release):
            self._released(effect, now)
        elif isinstance(effect, messages.Answer):
            if self.waiting.pop(effect.call, None) is None:
                rule = Rule.SINGLE_ANSWER
            else:
                self.established.add(effect.call)
        elif isinstance(effect, messages.Refuse | messages.Fail):
            if self.waiting.pop(effect.call, None) is None:
                rule = Rule.SINGLE_ANSWER
            else:
                self.refused_at[effect.call] = now
        elif isinstance(effect, messages.CallEnded):
            if effect.call in self.refused_at or effect.call in self.waiting:
                rule = Rule.SINGLE_ANSWER
            self.established.discard(effect.call)
        if rule is not None:
            self.violations[rule] += 1
        return rule

    def _check_set_up(self, effect: messages.SetUp, now: int) -> Rule | None:
        call = self.waiting.get(effect.call)
        if call is None:
            return Rule.OPEN_CALL
        if self.shut_down:
            return Rule.SHUTDOWN
        if call.attempt_at is not None:
            return Rule.SINGLE_ATTEMPT
        if now < call.next_attempt_at:
            return Rule.RELEASE_FIRST
        if effect.hub not in self.ready_hubs:
            return Rule.SAFE_DRAIN
        call.attempt_at = effect.hub
        return None

    def _released(self, effect: messages.Release, now: int) -> None:
        call = self.waiting.get(effect.call)
        if call is not None and call.attempt_at == effect.hub:
            call.attempt_at = None
            call.next_attempt_at = now + self.release_us
