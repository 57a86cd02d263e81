"""Passes events to the reducer in order, and its effects to the caller side and the hub side."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from twisted.logger import Logger

from ..core import messages
from ..core.guard import EffectGuard
from ..core.reducer import reduce
from ..core.state import State
from ..interface import Outcome
from .call_log import CallLog
from .clock import CachedClockReactor
from .connection import log

logger = Logger()


class Frontend(Protocol):
    """The side of the callers: sends them the results of their set-ups and the ends of their calls."""

    def answer(self, effect: messages.Answer) -> None: ...
    def refuse(self, effect: messages.Refuse) -> None: ...
    def fail(self, effect: messages.Fail) -> None: ...
    def call_ended(self, effect: messages.CallEnded) -> None: ...


class Backend(Protocol):
    """The side of the hubs: keeps the connections to them and sends set-ups and releases there."""

    def set_up(self, effect: messages.SetUp) -> None: ...
    def release(self, effect: messages.Release) -> None: ...
    def update_hub_connection(self, effect: messages.UpdateHubConnection) -> None: ...


class Driver:
    """Runs the reducer: one event at a time, each event's effects carried out before the next event."""

    def __init__(self, state: State, clock: CachedClockReactor, name: str) -> None:
        self.state = state
        self.clock = clock
        self.guard = EffectGuard(state.settings)
        self.call_log = CallLog(name, clock)
        self.pending_events: deque[messages.Event] = deque()
        self.running = False
        self.wake_up_timer = None

    def attach(self, frontend: Frontend, backend: Backend) -> None:
        """Sets who carries out the effects; must be called before the first event."""
        self.handlers = {
            messages.Answer: frontend.answer,
            messages.Refuse: frontend.refuse,
            messages.Fail: frontend.fail,
            messages.CallEnded: frontend.call_ended,
            messages.SetUp: backend.set_up,
            messages.Release: backend.release,
            messages.UpdateHubConnection: backend.update_hub_connection,
            messages.WakeAt: self.wake_at,
            messages.LogMessage: lambda effect: log(f"note {effect.text}"),
        }

    def post_later(self, event: messages.Event) -> None:
        """Processes an event, at once unless effects are being carried out.

        While effects are being carried out, the event is queued until all effects of the present event are
        done. `post_later` and `post` are the same function: the name `post_later` marks calls made while
        effects are being carried out, whose event is therefore processed after them.
        """
        self.pending_events.append(event)
        if not self.running:
            self.run()

    post = post_later  # the name for all other calls

    def run(self) -> None:
        self.running = True
        try:
            while self.pending_events:
                self.process(self.pending_events.popleft())
        finally:
            self.running = False

    def process(self, event: messages.Event) -> None:
        """Applies one event and carries out its effects.

        An exception in one call must not affect the others: it is logged, and the other effects are still
        carried out. A call that it leaves without a final answer gets one from the timer that was set when
        it was accepted.
        """
        now = self.clock.now_us()
        self.call_log.event(event)
        try:
            self.guard.observe(event, now)
            effects = reduce(self.state, event, now)
        except Exception:
            logger.failure("event {event!r}", event=type(event).__name__)
            return
        for effect in effects:
            try:
                self.carry_out(effect, now)
            except Exception:
                logger.failure("effect {effect!r}", effect=type(effect).__name__)

    def carry_out(self, effect: messages.Effect, now: int) -> None:
        """Has an effect handled unless it breaks a rule; the core learns that a set-up was not sent."""
        rule = self.guard.check(effect, now)
        if rule is None:
            self.call_log.effect(effect)
            self.handlers[type(effect)](effect)
            return
        self.call_log.violation(rule, effect)
        if isinstance(effect, messages.SetUp):
            self.post_later(messages.AttemptEnded(effect.call, effect.hub, Outcome.NOT_SENT))

    def wake_at(self, effect: messages.WakeAt) -> None:
        """Sets the one wake-up timer, replacing the time set before; the reducer gets WakeUpDue then."""
        delay_s = max(effect.at - self.clock.now_us(), 0) / 1e6
        if self.wake_up_timer is not None and self.wake_up_timer.active():
            self.wake_up_timer.reset(delay_s)
        else:
            self.wake_up_timer = self.clock.callLater(delay_s, self.wake_up)

    def wake_up(self) -> None:
        self.wake_up_timer = None
        self.post(messages.WakeUpDue())
