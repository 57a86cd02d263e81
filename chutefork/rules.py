"""Every routing and admission decision of one exchange's call controller.

Settings, events and actions are the dataclasses of `chutefork/interface.py`. The module is pure: time comes
with each event, chance from a generator seeded in the settings; it reads no clock and does no I/O.

Method B of the OSA gateway paper with static rejection, kept per far exchange: own unanswered set-ups are
read against a mark, five readings in a row move a level, the level sets the chance of refusing a set-up.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from . import interface as api

HINT_SHARE = 0.25  # share of the shortest aim a refused caller waits: its redial can still stand in time
KEPT_NUMBERS = 1000  # numbers, and calls in the mean worth, remembered: bounds the memory
RUN = 5  # readings in a row that move a level (the paper's)
CHANCE = (0.0, 0.5, 1.0)  # chance of refusal by level (the paper's static method)
MARK_FLOOR = 4.0  # least mark, in set-ups: below it a single call would decide
BOUND_SHARE = 0.5  # share of the mean aim that one processor's wait may take: a call crosses two or three
AROUND_SHARE = 0.5  # share of that bound from which a direct answer speaks against a third processor
LEVEL_2_RATIO = 45 / 40  # level 2's mark over level 1's (the paper's ratio)
FAULTS = 20  # signalling faults in a row: an exchange that answers nothing else gets one try a call
PASSED = 3  # later set-ups answered: one that they passed by does not wait in that processor's line
COLD_MARGIN = 0.5  # share of the tipping budget used: the rest is for chance, repeats and callers' redials


@dataclass(slots=True, eq=False)
class Far:
    """What this exchange knows of one far processor and of the trunk group towards it."""

    switch: int
    number: int
    state: api.SwitchState = api.SwitchState.READY
    started_at: float = 0.0
    free: float | None = None  # free circuits; None until told
    size: float = 0.0
    rate: float = 0.0  # smoothed answers per second, and when last smoothed
    rate_at: float = 0.0
    begun_at: float = -math.inf  # the first set-up: what came before is not in the rate
    level: int = 0
    over: int = 0  # readings in a row
    under: int = 0
    out: dict[int, float] = field(default_factory=dict)  # unanswered set-ups: call -> when sent
    stood: list[float] = field(default_factory=list)  # when the latest of those that stand were sent
    over_until: float = -math.inf  # readings are over until then: a failure's wait cannot have drained yet
    noted_at: float = -math.inf  # when the log last told of it
    faults: int = 0  # signalling faults in a row
    told: int = 0  # count in the latest message of its controller
    sent_cold: deque[float] = field(default_factory=deque)  # send times while it is cold

    def rank(self) -> tuple[bool, float, int]:
        """Of two switches with one number, the one that serves it: running before not, then the newest."""
        return self.state is api.SwitchState.READY, self.started_at, self.switch

    def carried(self, now: float, smooth_s: float) -> float:
        return self.rate * math.exp((self.rate_at - now) / smooth_s)

    def answered(self, now: float, smooth_s: float) -> None:
        self.rate, self.rate_at = self.carried(now, smooth_s) + 1 / smooth_s, now

    def per_s(self, now: float, smooth_s: float) -> float:
        """The rate over the time seen, in place of one that rises from nothing: a controller that has just
        started would else meet its first seconds with the least mark, and refuse what is answered at once."""
        seen = 1 - math.exp((self.begun_at - now) / smooth_s)
        return self.carried(now, smooth_s) / seen if seen > 0 else 0.0

    def stands(self, sent_at: float) -> None:
        self.stood = sorted((*self.stood, sent_at))[-PASSED:]

    def passed_by(self, sent_at: float) -> bool:
        """A processor has one line: whom several later ones have overtaken does not wait there, its answer is
        lost. Guards a processor that answers all others at once against readings that last as long as a
        caller's patience. Harm: one that serves some senders first is read lower than it is."""
        return len(self.stood) == PASSED and sent_at < self.stood[0]

    def in_line(self) -> int:
        passed = 0
        for sent_at in self.out.values():  # in the order of their sending
            if not self.passed_by(sent_at):
                break
            passed += 1
        return len(self.out) - passed

    def read(
        self, now: float, smooth_s: float, bound_s: float, failed: bool = False, wait_s: float = 0.0
    ) -> int:
        """One reading; the change of level. Equal to the mark, or between the two, it is neither."""
        if failed:  # an emptied count must not reopen a full or silent processor; harm: after a short stall
            self.over_until = max(self.over_until, now + wait_s)
        mark = max(MARK_FLOOR, self.per_s(now, smooth_s) * bound_s)
        marks = mark, mark, mark * LEVEL_2_RATIO
        count = self.in_line()
        over = failed or now < self.over_until or count > marks[min(self.level + 1, 2)]
        return self.step(over, not over and count < marks[max(self.level, 1)])

    def step(self, over: bool, under: bool) -> int:
        """A run of readings moves the level; a reading that is neither ends both runs."""
        self.over = self.over + 1 if over else 0
        self.under = self.under + 1 if under else 0
        step = int(self.over >= RUN and self.level < 2) - int(self.under >= RUN and self.level > 0)
        if self.over >= RUN or self.under >= RUN:
            self.over = self.under = 0
        self.level += step
        return step


@dataclass(slots=True, eq=False)
class Call:
    """A call this exchange owes an answer."""

    arrival: api.Arrival
    arrived_at: float
    answer_by: float
    attempts: int = 0
    out: Far | None = None  # the far exchange whose answer is awaited
    blocked: bool = False  # an attempt came back for want of room or by a fault, not cut on its way
    late: bool = False  # past its aim on arrival, by the caller's earlier tries
    worth: float = 0.0


class CallController:
    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.chance = random.Random(settings.seed)
        self.phase = self.chance.random()  # where in its turn this controller begins towards a cold processor
        self.far: dict[int, Far] = {}  # by switch
        self.by_number: dict[int, Far] = {}  # the switch that serves an exchange number now
        self.numbers: list[int] = []  # those numbers
        self.calls: dict[int, Call] = {}
        self.tandems: dict[int, int] = {}  # remembered tandem, by destination number
        self.gapped: dict[tuple[int, int], float] = {}  # (destination, tandem) -> not tried before
        self.called: dict[int, tuple[float, float]] = {}  # number -> first and latest call of a run
        self.timers: dict[int, int] = {}  # token -> call to send again
        self.tokens = 0
        self.smooth_s = max(item.deadline_s for item in settings.classes)  # a caller's whole patience
        self.aim_s = min(item.aim_s for item in settings.classes)
        self.bound_s = BOUND_SHARE * sum(item.aim_s for item in settings.classes) / len(settings.classes)
        self.own = Far(-1, settings.own_number)  # the own processor, read by the same ladder
        self.waiting = 0  # own set-ups unanswered, to all far exchanges
        self.heard: deque[tuple[float, int, float]] = deque()  # direct outcomes: when, number, time taken
        self.around = Far(-1, settings.own_number)  # all processors as a way round, by the same ladder
        self.arrivals, self.mean_worth = 0, 0.0
        self.told, self.told_at = bytes(2), -math.inf  # the last message to the peers, and when it went
        self.subscribed = False
        self.actions: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        take = {
            api.Arrival: self.on_arrival,
            api.Stands: self.on_stands,
            api.AttemptEnded: self.on_ended,
            api.Report: self.on_load,
            api.Withdrawn: self.on_withdrawn,
            api.SwitchList: self.on_list,
            api.TimerDue: self.on_timer,
            api.PeerMessage: self.on_peer,
        }.get(type(event))
        if take is not None:
            take(now, event)
        return self.actions

    def on_list(self, now: float, event: api.SwitchList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.subscribed = False
            if self.settings.list_on_request:
                self.set_timer(self.settings.ask_within_s / 2, -1)
            return
        named = set()
        for entry in event.entries:
            named.add(entry.switch)
            far = self.far.get(entry.switch)
            if far is None or entry.started_at_s > far.started_at > 0:
                fresh = Far(entry.switch, entry.number)
                if far is not None:
                    fresh.free, fresh.size, fresh.out = far.free, far.size, far.out
                self.far[entry.switch] = far = fresh
            far.number, far.state, far.started_at = entry.number, entry.state, entry.started_at_s
        if event.kind is not api.ListKind.CHANGES:
            for switch, far in self.far.items():
                if switch not in named:
                    far.state = api.SwitchState.GONE
        self.gapped = {pair: until for pair, until in self.gapped.items() if until > now}
        gone = api.SwitchState.GONE  # forgotten once nothing is owed there
        self.far = {switch: far for switch, far in self.far.items() if far.out or far.state is not gone}
        self.by_number = {}
        for far in self.far.values():
            other = self.by_number.get(far.number)
            if far.number != self.settings.own_number and (other is None or far.rank() > other.rank()):
                self.by_number[far.number] = far
        self.numbers = sorted(self.by_number)
        if self.settings.list_on_request and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe())

    def on_load(self, now: float, event: api.Report | api.AttemptEnded) -> None:
        far, load = self.far.get(event.switch), event.load
        if far is None or load is None:
            return
        far.free = far.free if load.free_circuits is None else load.free_circuits
        far.size = far.size if load.group_circuits is None else load.group_circuits
        if load.hold_back_share is not None:  # a level is read against the chances half-way to its neighbours
            below, at, above = (-1.0, *CHANCE, math.inf)[far.level : far.level + 3]
            asked = load.hold_back_share
            self.note_step(now, far, far.step(asked > (at + above) / 2, asked < (below + at) / 2))
        wait_s = load.wait_s
        if wait_s is None and load.waiting is not None and load.capacity_per_s:
            wait_s = load.waiting / load.capacity_per_s
        if wait_s is not None and wait_s > self.bound_s:  # long waits read over; a short one may be old
            self.note_step(now, far, far.read(now, self.smooth_s, self.bound_s, failed=True))

    def on_arrival(self, now: float, arrival: api.Arrival) -> None:
        answer_by = now + arrival.time_left_s - self.settings.tick_s
        call = self.calls[arrival.call] = Call(arrival, now, answer_by)
        item = self.settings.classes[arrival.class_index]
        call.worth = item.worth
        if not arrival.in_transit:
            call.late = now > self.first_tried(now, arrival.number_called, item.deadline_s) + item.aim_s
            call.worth *= item.late_worth_share if call.late else 1.0
            self.arrivals += 1
            self.mean_worth += (call.worth - self.mean_worth) / min(self.arrivals, KEPT_NUMBERS)
        self.route(now, arrival.call, call)

    def first_tried(self, now: float, number: int, patience_s: float) -> float:
        """When calls to a number began that have not paused for a caller's patience since; one sooner than
        the asked wait makes them late. Guards against late redials, which earn little, callers who redial at
        once whatever a refusal asks, and mass calls to one number, most of which would meet busy lines.
        Harm: a second caller of a number within seconds is taken for a redial."""
        if not number:
            return now
        first_at, last_at = self.called.pop(number, (now, -math.inf))
        if now < last_at + HINT_SHARE * self.aim_s:
            first_at = -math.inf
        elif now > last_at + patience_s:
            first_at = now
        self.called[number] = first_at, now
        if len(self.called) > KEPT_NUMBERS:
            del self.called[next(iter(self.called))]
        return first_at

    def route(self, now: float, call_id: int, call: Call) -> None:
        """Direct first, else the remembered tandem, else a redrawn one, else refused."""
        arrival = call.arrival
        dest = self.by_number.get(arrival.destination)
        shut = dest is None or not self.usable(dest)
        if arrival.in_transit:
            if (
                shut
                or self.drawn(self.around, call)
                or self.own_pressed(now, call)
                or self.pressed(now, dest, call)
                or not self.has_room(dest, arrival, self.reserve(dest))
            ):
                self.refuse(call_id)
            else:
                self.send(now, call_id, call, dest)
        elif not shut and self.own_pressed(now, call):
            self.refuse(call_id)
        elif shut or self.pressed(now, dest, call):
            if self.settings.pools_form:
                self.overflow(now, call_id, call)
            else:
                self.refuse(call_id)
        elif self.has_room(dest, arrival, self.reserve(dest) if call.late else 0.0) and not call.blocked:
            self.send(now, call_id, call, dest)
        else:
            self.overflow(now, call_id, call)

    def overflow(self, now: float, call_id: int, call: Call) -> None:
        barred = (
            call.late
            or call.attempts >= self.settings.max_attempts
            or not self.settings.pools_form
            and self.drawn(self.around, call)
        )
        tandem = None if barred else self.far.get(self.tandems.get(call.arrival.destination, -1))
        if not barred and (tandem is None or self.tandem_blocks(now, tandem, call)):
            tandem = self.redraw(now, call)
        if tandem is None:
            self.refuse(call_id)
        else:
            self.send(now, call_id, call, tandem)

    def redraw(self, now: float, call: Call) -> Far | None:
        """The advised tandem, else the first not blocked of as many at random as a call may have attempts:
        the work of a call does not grow with the fleet. Each tandem looked at is read."""
        dest = call.arrival.destination
        self.tandems.pop(dest, None)
        looks = min(len(self.numbers), self.settings.max_attempts)
        for number in (call.arrival.advice, *self.chance.sample(self.numbers, looks)):
            tandem = self.by_number.get(number)
            if tandem is not None and number != dest and not self.tandem_blocks(now, tandem, call):
                self.tandems[dest] = tandem.switch
                return tandem
        return None

    def tandem_blocks(self, now: float, tandem: Far, call: Call) -> bool:
        arrival = call.arrival
        pools = self.settings.classes[arrival.class_index].pools
        if self.settings.pools_form and tandem.number not in pools:
            return True  # remembered for another class, whose skill this one's pool may lack
        return (
            not self.usable(tandem)
            or now < self.gapped.get((arrival.destination, tandem.switch), now)
            or not self.has_room(tandem, arrival, self.reserve(tandem))
            or self.pressed(now, tandem, call)
        )

    def usable(self, far: Far) -> bool:
        """Listed and running: nothing is sent from the moment a drain is told, well within its grace."""
        return far.state is api.SwitchState.READY and self.by_number.get(far.number) is far

    def has_room(self, far: Far, arrival: api.Arrival, reserve: float) -> bool:
        return far.free is None or far.free - reserve >= arrival.width_circuits

    def reserve(self, far: Far) -> float:
        """Circuits kept for the direct calls of a group: half the spread of the calls that it holds."""
        return 0.0 if self.settings.pools_form else math.sqrt(far.size) / 2

    def pressed(self, now: float, far: Far, call: Call) -> bool:
        """A call towards `far` is a reading, refused or not; then the static chance decides."""
        self.note_step(now, far, far.read(now, self.smooth_s, self.bound_s))
        return self.drawn(far, call) or self.cold_budget_spent(now, far)

    def drawn(self, far: Far, call: Call) -> bool:
        """The static chance, shared out by worth: a call of mean worth meets it as it stands."""
        share = call.worth / self.mean_worth if self.mean_worth else 1.0
        return self.chance.random() < CHANCE[far.level] ** share and far.level > 0  # 0 ** 0 is 1

    def own_pressed(self, now: float, call: Call) -> bool:
        """Every set-up crosses the own processor first: where even the quickest direct answer of one bound
        was slow or failed, the wait is here, and the own level's chance decides. It reads under only on a
        quick answer, or with nothing in wait: redials would else reopen a level that refuses all before
        anything is known. Harm: while all answers are middling the level stands."""
        while self.heard and self.heard[0][0] <= now - self.bound_s:
            self.heard.popleft()
        quickest_s = min((took_s for _, _, took_s in self.heard), default=math.inf)
        slow = quickest_s > self.bound_s and len({number for _, number, _ in self.heard}) > 1
        self.note_step(now, self.own, self.own.step(slow, not self.waiting or quickest_s < self.bound_s / 2))
        if (
            self.settings.messages_allowed
            and self.own.level != self.told[0]
            and now >= self.told_at + self.bound_s
        ):
            self.told, self.told_at = bytes((self.own.level, (self.told[1] + 1) % 256)), now
            self.actions.append(api.Tell(None, self.told))
        return self.drawn(self.own, call)

    def on_peer(self, now: float, event: api.PeerMessage) -> None:
        """A peer tells its own level when that has moved, once a bound at most, and how often it told: it
        sees its processor in every call it makes, we in one of many. The level is moved here too, and our own
        readings go on from there: a lost message costs no more than never having been told."""
        far, told = self.by_number.get(event.sender), event.payload
        if far is None or len(told) != 2 or told[0] >= len(CHANCE) or (told[1] - far.told) % 256 > 127:
            return  # foreign, malformed or old
        far.level, far.told, far.over, far.under = told[0], told[1], 0, 0

    def cold_budget_spent(self, now: float, far: Far) -> bool:
        """A fresh processor gets this controller's part of the work it can stand, and no more. What a warm
        one can do is judged by the own one: as many calls end at an exchange as begin there. A part below one
        set-up in a fall window is spaced over several, from a seeded phase: guards against a large fleet
        sending one each at once. Harm: a pair busier than the mean waits for its turn."""
        settings = self.settings
        if not self.cold(now, far):
            return False
        last = far.sent_cold[-1] if far.sent_cold else far.started_at
        warm = ((last + now) / 2 - far.started_at) / settings.warm_up_s  # at mid-turn: the ramp's mean
        present = settings.cold_share + (1 - settings.cold_share) * warm  # least share of capacity by then
        warm_per_s = 2 * self.own.carried(now, self.smooth_s)
        per_s = COLD_MARGIN * settings.tip_multiple * present * warm_per_s / settings.controllers
        if per_s * settings.fall_s < 1:
            return (now - last) * per_s < (1 if far.sent_cold else self.phase)
        while far.sent_cold and far.sent_cold[0] <= now - settings.fall_s:
            far.sent_cold.popleft()
        return len(far.sent_cold) + 1 > per_s * settings.fall_s

    def cold(self, now: float, far: Far) -> bool:
        return 0 < far.started_at and now - far.started_at < self.settings.warm_up_s

    def send(self, now: float, call_id: int, call: Call, far: Far) -> None:
        call.attempts += 1
        call.out = far
        far.out[call_id] = now
        if far.begun_at < 0:
            far.begun_at = now
        self.waiting += 1
        if far.free is not None:
            far.free -= call.arrival.width_circuits
        if self.cold(now, far):
            far.sent_cold.append(now)
        self.actions.append(api.SetUp(call_id, far.switch, call.answer_by))

    def refuse(self, call_id: int) -> None:
        """Turned away with a short hint: a redial within the aim still earns full worth."""
        del self.calls[call_id]
        hint_s = HINT_SHARE * self.aim_s if self.settings.hold_off_allowed else 0.0
        self.actions.append(api.Refuse(call_id, hint_s))

    def on_stands(self, now: float, event: api.Stands) -> None:
        call = self.calls.pop(event.call, None)  # nothing more is owed: its end, or a cut, comes closed
        far = self.far.get(event.switch)
        if far is not None:
            far.faults = 0
            far.stands(far.out.get(event.call, -math.inf))
        self.settle(now, event.call, call, event.switch, failed=False, answered=True)

    def on_withdrawn(self, now: float, event: api.Withdrawn) -> None:
        call = self.calls.pop(event.call, None)
        if call is not None and call.out is not None:
            failed = self.waited(now, event.call, call)
            self.settle(now, event.call, call, call.out.switch, failed, answered=False)

    def waited(self, now: float, call_id: int, call: Call) -> bool:
        """Whether an attempt that ended with no answer has waited longer than a processor may take. Guards
        sound exchanges against callers that leave no time, or take back at once: nothing was learnt there."""
        return now - call.out.out.get(call_id, now) > self.bound_s

    def on_ended(self, now: float, event: api.AttemptEnded) -> None:
        self.on_load(now, event)
        call = self.calls.get(event.call)
        if call is None or call.out is None:
            return
        failed = (
            event.outcome is api.Outcome.NOT_REACHED
            or event.outcome is api.Outcome.TIMEOUT
            and self.waited(now, event.call, call)
            or event.outcome is api.Outcome.NOT_SET_UP
            and event.reason is api.Reason.PROCESSOR_FULL
        )
        answered = event.outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.NOT_SET_UP)
        wait_s = self.bound_s if event.told_wait_s is None else event.told_wait_s - self.bound_s / BOUND_SHARE
        self.settle(now, event.call, call, event.switch, failed, answered, wait_s)
        if event.reason is api.Reason.BEYOND_FULL and call.arrival.destination in self.by_number:
            dest = self.by_number[call.arrival.destination]
            self.note_step(now, dest, dest.read(now, self.smooth_s, self.bound_s, failed=True))
        if event.call_over:
            del self.calls[event.call]
            return
        far = self.far.get(event.switch, call.out)
        call.out = None
        fault = event.outcome is api.Outcome.ERROR and event.reason is api.Reason.NONE
        far.faults = far.faults + 1 if fault else 0 if answered else far.faults
        call.blocked |= not fault and event.outcome is not api.Outcome.CUT
        if far.number != call.arrival.destination:
            length_s = self.settings.classes[call.arrival.class_index].length_s
            # No way round by the same tandem while two roots of its circuits clear, the spread either way:
            # guards against overflow that only burns work, and tandems cut off from the destination. Harm:
            # one busy moment keeps a good tandem away.
            clear_s = 2 * length_s / math.sqrt(max(far.size, 1))
            self.gapped[call.arrival.destination, event.switch] = now + clear_s
            if event.switch == self.tandems.get(call.arrival.destination):
                del self.tandems[call.arrival.destination]
        if event.outcome in (api.Outcome.TIMEOUT, api.Outcome.CUT, api.Outcome.CANCELLED):
            # a connection that broke says nothing of the route: direct first once more
            self.wait_release(now, event.call, call)
        elif (
            fault
            and call.attempts < self.settings.max_attempts
            and now < call.answer_by
            and far.faults < FAULTS
        ):
            # Guards against an exchange that fails some set-ups as soon as they come: the next may pass, and
            # a redial of the caller costs it the aim. Harm: each try is work there, so none where all fail.
            self.route(now, event.call, call)
        elif (
            event.outcome in (api.Outcome.NOT_SENT, api.Outcome.NOT_SET_UP, api.Outcome.NOT_REACHED)
            and event.reason in (api.Reason.NO_CIRCUIT, api.Reason.NONE)
            and not call.arrival.in_transit
            and now < call.answer_by
        ):
            self.overflow(now, event.call, call)
        else:
            self.refuse(event.call)

    def settle(
        self,
        now: float,
        call_id: int,
        call: Call | None,
        switch: int,
        failed: bool,
        answered: bool,
        wait_s: float = 0.0,
    ) -> None:
        """The attempt no longer counts as unanswered; its answer, or its failure, is a reading."""
        far = self.far.get(switch)
        if call is None or far is None:
            return
        sent_at = far.out.pop(call_id, None)
        if sent_at is None:
            return
        self.waiting -= 1
        failed = failed and not far.passed_by(sent_at)
        if (answered or failed) and far.number == call.arrival.destination:
            took_s = math.inf if failed else now - sent_at
            self.heard.append((now, far.number, took_s))
            # A way round takes a third processor: where most direct answers are slow, the static chance
            # refuses calls by tandem and in transit first. Guards against overflow that feeds on itself when
            # processors are short everywhere; harm: pairs without a group have no other way.
            mark_s = AROUND_SHARE * self.bound_s
            self.around.step(took_s > mark_s, took_s < mark_s)
        if answered:
            far.answered(now, self.smooth_s)
            self.own.answered(now, self.smooth_s)
        if answered or failed:
            self.note_step(now, far, far.read(now, self.smooth_s, self.bound_s, failed, wait_s))

    def note_step(self, now: float, far: Far, step: int) -> None:
        if step > 0 and far.level == 2 and now >= far.noted_at + self.smooth_s:
            far.noted_at = now
            self.actions.append(api.Note(f"exchange {far.number}: load level 2, {len(far.out)} unanswered"))

    def wait_release(self, now: float, call_id: int, call: Call) -> None:
        """Fifth rule: not sent again until the release is over; no time left for that, given up."""
        again_at = now + self.settings.release_s + self.settings.tick_s
        aim = self.settings.classes[call.arrival.class_index].aim_s
        if (
            call.arrival.in_transit
            or call.attempts >= self.settings.max_attempts
            or again_at > min(call.answer_by, call.arrived_at + aim)
        ):
            self.refuse(call_id)
        else:
            self.set_timer(again_at - now, call_id)

    def set_timer(self, in_s: float, call_id: int) -> None:
        self.tokens += 1
        self.timers[self.tokens] = call_id
        self.actions.append(api.SetTimer(in_s, self.tokens))

    def on_timer(self, now: float, event: api.TimerDue) -> None:
        call_id = self.timers.pop(event.token, None)
        if call_id == -1 and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe())
            return
        call = self.calls.get(call_id) if call_id is not None else None
        if call is None or call.out is not None:
            return
        self.route(now, call_id, call)
