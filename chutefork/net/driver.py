"""Carries events to the reducer in their order and its effects to the front and the legs."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from twisted.logger import Logger

from ..core import messages as m
from ..core.reducer import State, reduce
from .clock import TurnReactor
from .connection import log

fault = Logger()


class Front(Protocol):
    def answer(self, effect: m.Answer) -> None: ...
    def refuse(self, effect: m.Refuse) -> None: ...
    def fail(self, effect: m.Fail) -> None: ...
    def over(self, effect: m.Over) -> None: ...


class Legs(Protocol):
    def set_up(self, effect: m.SetUp) -> None: ...
    def release(self, effect: m.Release) -> None: ...
    def reach(self, effect: m.Reach) -> None: ...


class Driver:
    def __init__(self, state: State, clock: TurnReactor) -> None:
        self.state = state
        self.clock = clock
        self.waiting: deque[m.Event] = deque()
        self.busy = False
        self.wake = None

    def attach(self, front: Front, legs: Legs) -> None:
        self.doers = {
            m.Answer: front.answer,
            m.Refuse: front.refuse,
            m.Fail: front.fail,
            m.Over: front.over,
            m.SetUp: legs.set_up,
            m.Release: legs.release,
            m.Reach: legs.reach,
            m.WakeAt: self.wake_at,
            m.Note: lambda effect: log(f"note {effect.text}"),
        }

    def later(self, event: m.Event) -> None:
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

    def wake_at(self, effect: m.WakeAt) -> None:
        delay_s = max(effect.at - self.clock.now_us(), 0) / 1e6
        if self.wake is not None and self.wake.active():
            self.wake.reset(delay_s)
        else:
            self.wake = self.clock.callLater(delay_s, self.due)

    def due(self) -> None:
        self.wake = None
        self.tell(m.Due())
