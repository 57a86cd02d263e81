"""Carries events to the reducer in their order and its effects to the front and the legs."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from twisted.logger import Logger

from ..core import messages
from ..core.reducer import State, reduce
from .clock import TurnReactor
from .connection import log

fault = Logger()


class Front(Protocol):
    def answer(self, effect: messages.Answer) -> None: ...
    def refuse(self, effect: messages.Refuse) -> None: ...
    def fail(self, effect: messages.Fail) -> None: ...
    def over(self, effect: messages.CallEnded) -> None: ...


class Legs(Protocol):
    def set_up(self, effect: messages.SetUp) -> None: ...
    def release(self, effect: messages.Release) -> None: ...
    def reach(self, effect: messages.UpdateHubConnection) -> None: ...


class Driver:
    def __init__(self, state: State, clock: TurnReactor) -> None:
        self.state = state
        self.clock = clock
        self.waiting: deque[messages.Event] = deque()
        self.busy = False
        self.wake = None

    def attach(self, front: Front, legs: Legs) -> None:
        self.doers = {
            messages.Answer: front.answer,
            messages.Refuse: front.refuse,
            messages.Fail: front.fail,
            messages.CallEnded: front.over,
            messages.SetUp: legs.set_up,
            messages.Release: legs.release,
            messages.UpdateHubConnection: legs.reach,
            messages.WakeAt: self.wake_at,
            messages.LogMessage: lambda effect: log(f"note {effect.text}"),
        }

    def later(self, event: messages.Event) -> None:
        """An event found while an effect is carried out: it follows when all of these are done."""
        self.waiting.append(event)
        if not self.busy:
            self.run()

    tell = later

    def run(self) -> None:
        self.busy = True
        try:
            while self.waiting:
                event = self.waiting.popleft()
                try:
                    for effect in reduce(self.state, event, self.clock.now_us()):
                        self.doers[type(effect)](effect)
                except Exception:
                    # Guards the calls of everybody else against a fault met in one: its own answer still
                    # comes, by the timer that was set when it was taken.
                    fault.failure("event {event!r}", event=type(event).__name__)
        finally:
            self.busy = False

    def wake_at(self, effect: messages.WakeAt) -> None:
        delay_s = max(effect.at - self.clock.now_us(), 0) / 1e6
        if self.wake is not None and self.wake.active():
            self.wake.reset(delay_s)
        else:
            self.wake = self.clock.callLater(delay_s, self.due)

    def due(self) -> None:
        self.wake = None
        self.tell(messages.WakeUpDue())
