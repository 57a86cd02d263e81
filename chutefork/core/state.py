"""The state of one call controller: its open, established and finished calls, its hubs and its timers.

Times are whole microseconds on the monotonic clock.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from .. import interface as api
from ..call_controller import CallController
from . import messages

US_PER_SECOND = 1_000_000
# How long the id of a finished call is kept, so that late answers and releases for it are recognized.
FINISHED_CALL_RETENTION_US = 30 * US_PER_SECOND
# The same for a call that may still run at a hub which its release has not reached: an outage may last.
UNCERTAIN_CALL_RETENTION_US = 900 * US_PER_SECOND
# How long a release of an unknown call also goes to hubs that are new here: a list may come 7 s late.
UNKNOWN_RELEASE_RETENTION_US = 8 * US_PER_SECOND
MAX_UNCERTAIN_CALLS = 20_000  # beyond it the oldest is forgotten


@dataclass(slots=True)
class Call:
    """A call that has not had its final answer yet."""

    arrival: messages.Arrival
    answer_by: int  # when the final answer is due: the caller's time limit less ANSWER_MARGIN_US
    attempts: int = 0  # attempts so far, including those that ended before a set-up was sent
    pending_hub: str | None = None  # name of the hub that the open attempt was sent to; None: none open
    sent_at: int = 0  # when the latest set-up was sent; 0: none sent
    release_wait_until: int = 0  # end of the release wait, before which no set-up may be sent
    last_hub: str | None = None  # that the latest attempt was sent to
    last_hub_until: int = 0  # before this no set-up may be sent to `last_hub`
    deferred_setup: api.SetUp | None = None  # set-up to be sent at the end of these waits
    may_run: bool = False  # an attempt has ended without proof that it does not run at its hub
    last_result: tuple[api.Outcome, api.Reason] | None = None  # of the latest attempt; None: none has ended


@dataclass(slots=True)
class HubEntry:
    """A listed hub and the calls established there."""

    hub: messages.Hub  # as last listed
    switch: int  # the number by which the controller identifies the hub
    established_calls: dict[int, int] = field(default_factory=dict)  # call id -> when its answer came


@dataclass(slots=True)
class State:
    """The whole state of one call controller, changed only by `reduce`.

    A call id is in at most one of `calls`, `established` and `finished_at`.
    """

    settings: api.Settings
    controller: CallController
    calls: dict[int, Call] = field(default_factory=dict)  # call id -> call without a final answer
    established: dict[int, str] = field(default_factory=dict)  # call id -> name of the hub that it is up at
    finished_at: dict[int, int] = field(default_factory=dict)  # call id -> when it finished, oldest first
    # Those of the finished calls that may still run at a hub: call id -> when it finished, oldest first.
    uncertain_at: dict[int, int] = field(default_factory=dict)
    # Calls released by their callers that were not known here: call id -> when, oldest first.
    unknown_released_at: dict[int, int] = field(default_factory=dict)
    hubs: dict[str, HubEntry] = field(default_factory=dict)  # by hub name
    hub_by_switch: dict[int, str] = field(default_factory=dict)  # the controller's switch number -> hub name
    switch_by_hub: dict[str, int] = field(default_factory=dict)  # the inverse of `hub_by_switch`
    # Heap of (due time, sequence number, kind, key, attempt). The kinds, and what they hold as key:
    # "controller": token of a timer set by the controller; "deferred_setup": id of a call whose release wait
    # ends; "attempt_timeout": id of a call whose attempt number `attempt` expires; "answer_deadline": id of a
    # call whose final answer is due.
    timers: list[tuple[int, int, str, int, int]] = field(default_factory=list)
    timer_sequence: int = 0  # latest sequence number: timers due at the same time fire in the order set
    last_switch_number: int = 0  # latest switch number assigned; numbers of removed hubs are not reused
    wake_at: int = 0  # the time in the latest `WakeAt` effect; 0: none outstanding

    @classmethod
    def initial(cls, settings: api.Settings) -> State:
        """Returns the state at program start: no calls, no hubs, and a new controller with these settings."""
        return cls(settings, CallController(settings))

    def add_timer(self, at: int, kind: str, key: int, attempt: int = 0) -> None:
        """Adds a timer that fires at the time `at`; see `timers` for the other parameters."""
        self.timer_sequence += 1
        heapq.heappush(self.timers, (at, self.timer_sequence, kind, key, attempt))

    def finish(self, call_id: int, call: Call, now: int) -> None:
        """Keeps the id of a call that has ended without being established."""
        self.finished_at[call_id] = now
        if call.may_run or call.pending_hub is not None:
            self.uncertain_at[call_id] = now
            if len(self.uncertain_at) > MAX_UNCERTAIN_CALLS:
                del self.uncertain_at[next(iter(self.uncertain_at))]

    def is_finished(self, call_id: int) -> bool:
        """Whether the call is known to have ended here."""
        return call_id in self.finished_at or call_id in self.uncertain_at

    def forget_expired(self, now: int) -> None:
        """Removes the ids of calls that have been kept for long enough."""
        _forget_until(self.finished_at, now - FINISHED_CALL_RETENTION_US)
        _forget_until(self.uncertain_at, now - UNCERTAIN_CALL_RETENTION_US)
        _forget_until(self.unknown_released_at, now - UNKNOWN_RELEASE_RETENTION_US)


def _forget_until(times: dict[int, int], until: int) -> None:
    """Removes the calls whose time is not after `until`; the dict is ordered by time."""
    while times:
        call_id = next(iter(times))
        if times[call_id] > until:
            break
        del times[call_id]
