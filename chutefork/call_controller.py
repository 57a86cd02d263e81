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
class ExchangeState:
    """What this exchange knows of one far processor and of the trunk group towards it."""

    switch: int
    number: int
    state: api.SwitchState = api.SwitchState.READY
    started_at: float = 0.0
    free_circuits: float | None = None  # free circuits; None until told
    group_circuits: float = 0.0
    answer_rate_per_s: float = 0.0  # smoothed answers per second, and when last smoothed
    rate_updated_at: float = 0.0
    first_sent_at: float = -math.inf  # the first set-up: what came before is not in the rate
    level: int = 0
    consecutive_over: int = 0  # readings in a row
    consecutive_under: int = 0
    unanswered: dict[int, float] = field(default_factory=dict)  # unanswered set-ups: call -> when sent
    established_sent_at: list[float] = field(
        default_factory=list
    )  # when the latest of those that stand were sent
    overloaded_until: float = (
        -math.inf
    )  # readings are over until then: a failure's wait cannot have drained yet
    logged_at: float = -math.inf  # when the log last told of it
    consecutive_errors: int = 0  # signalling faults in a row
    peer_sequence: int = 0  # count in the latest message of its controller
    cold_sent_at: deque[float] = field(default_factory=deque)  # send times while it is cold

    def preference(self) -> tuple[bool, float, int]:
        """Of two switches with one number, the one that serves it: running before not, then the newest."""
        return self.state is api.SwitchState.READY, self.started_at, self.switch

    def decayed_rate_per_s(self, now: float, smoothing_s: float) -> float:
        return self.answer_rate_per_s * math.exp((self.rate_updated_at - now) / smoothing_s)

    def record_answer(self, now: float, smoothing_s: float) -> None:
        self.answer_rate_per_s, self.rate_updated_at = (
            self.decayed_rate_per_s(now, smoothing_s) + 1 / smoothing_s,
            now,
        )

    def corrected_rate_per_s(self, now: float, smoothing_s: float) -> float:
        """The rate over the time seen, in place of one that rises from nothing: a controller that has just
        started would else meet its first seconds with the least mark, and refuse what is answered at once."""
        seen = 1 - math.exp((self.first_sent_at - now) / smoothing_s)
        return self.decayed_rate_per_s(now, smoothing_s) / seen if seen > 0 else 0.0

    def record_established(self, sent_at: float) -> None:
        self.established_sent_at = sorted((*self.established_sent_at, sent_at))[-PASSED:]

    def overtaken(self, sent_at: float) -> bool:
        """A processor has one line: whom several later ones have overtaken does not wait there, its answer is
        lost. Guards a processor that answers all others at once against readings that last as long as a
        caller's patience. Harm: one that serves some senders first is read lower than it is."""
        return len(self.established_sent_at) == PASSED and sent_at < self.established_sent_at[0]

    def queued_count(self) -> int:
        passed = 0
        for sent_at in self.unanswered.values():  # in the order of their sending
            if not self.overtaken(sent_at):
                break
            passed += 1
        return len(self.unanswered) - passed

    def take_reading(
        self, now: float, smoothing_s: float, wait_limit_s: float, failed: bool = False, wait_s: float = 0.0
    ) -> int:
        """One reading; the change of level. Equal to the mark, or between the two, it is neither."""
        if failed:  # an emptied count must not reopen a full or silent processor; harm: after a short stall
            self.overloaded_until = max(self.overloaded_until, now + wait_s)
        mark = max(MARK_FLOOR, self.corrected_rate_per_s(now, smoothing_s) * wait_limit_s)
        marks = mark, mark, mark * LEVEL_2_RATIO
        count = self.queued_count()
        over = failed or now < self.overloaded_until or count > marks[min(self.level + 1, 2)]
        return self.count_reading(over, not over and count < marks[max(self.level, 1)])

    def count_reading(self, over: bool, under: bool) -> int:
        """A run of readings moves the level; a reading that is neither ends both runs."""
        self.consecutive_over = self.consecutive_over + 1 if over else 0
        self.consecutive_under = self.consecutive_under + 1 if under else 0
        step = int(self.consecutive_over >= RUN and self.level < 2) - int(
            self.consecutive_under >= RUN and self.level > 0
        )
        if self.consecutive_over >= RUN or self.consecutive_under >= RUN:
            self.consecutive_over = self.consecutive_under = 0
        self.level += step
        return step


@dataclass(slots=True, eq=False)
class Call:
    """A call this exchange owes an answer."""

    arrival: api.Arrival
    arrived_at: float
    answer_by: float
    attempts: int = 0
    pending_exchange: ExchangeState | None = None  # the far exchange whose answer is awaited
    direct_failed: bool = False  # an attempt came back for want of room or by a fault, not cut on its way
    late: bool = False  # past its aim on arrival, by the caller's earlier tries
    worth: float = 0.0


class CallController:
    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.cold_start_phase = (
            self.rng.random()
        )  # where in its turn this controller begins towards a cold processor
        self.exchanges: dict[int, ExchangeState] = {}  # by switch
        self.exchange_by_number: dict[
            int, ExchangeState
        ] = {}  # the switch that serves an exchange number now
        self.exchange_numbers: list[int] = []  # those numbers
        self.calls: dict[int, Call] = {}
        self.tandem_by_destination: dict[int, int] = {}  # remembered tandem, by destination number
        self.tandem_blocked_until: dict[
            tuple[int, int], float
        ] = {}  # (destination, tandem) -> not tried before
        self.redial_runs: dict[int, tuple[float, float]] = {}  # number -> first and latest call of a run
        self.timers: dict[int, int] = {}  # token -> call to send again
        self.last_token = 0
        self.smoothing_s = max(item.deadline_s for item in settings.classes)  # a caller's whole patience
        self.shortest_aim_s = min(item.aim_s for item in settings.classes)
        self.wait_limit_s = BOUND_SHARE * sum(item.aim_s for item in settings.classes) / len(settings.classes)
        self.own_processor = ExchangeState(
            -1, settings.own_number
        )  # the own processor, read by the same ladder
        self.unanswered_total = 0  # own set-ups unanswered, to all far exchanges
        self.direct_answers: deque[tuple[float, int, float]] = (
            deque()
        )  # direct outcomes: when, number, time taken
        self.tandem_load = ExchangeState(
            -1, settings.own_number
        )  # all processors as a way round, by the same ladder
        self.arrivals, self.mean_worth = 0, 0.0
        self.last_peer_message, self.last_peer_message_at = (
            bytes(2),
            -math.inf,
        )  # the last message to the peers, and when it went
        self.subscribed = False
        self.actions: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        take = {
            api.Arrival: self.on_arrival,
            api.CallEstablished: self.on_established,
            api.AttemptEnded: self.on_attempt_ended,
            api.LoadReport: self.on_load,
            api.Withdrawn: self.on_withdrawn,
            api.SwitchList: self.on_list,
            api.TimerDue: self.on_timer,
            api.PeerMessage: self.on_peer_message,
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
            exchange = self.exchanges.get(entry.switch)
            if exchange is None or entry.started_at_s > exchange.started_at > 0:
                fresh = ExchangeState(entry.switch, entry.number)
                if exchange is not None:
                    fresh.free_circuits, fresh.group_circuits, fresh.unanswered = (
                        exchange.free_circuits,
                        exchange.group_circuits,
                        exchange.unanswered,
                    )
                self.exchanges[entry.switch] = exchange = fresh
            exchange.number, exchange.state, exchange.started_at = (
                entry.number,
                entry.state,
                entry.started_at_s,
            )
        if event.kind is not api.ListKind.CHANGES:
            for switch, exchange in self.exchanges.items():
                if switch not in named:
                    exchange.state = api.SwitchState.GONE
        self.tandem_blocked_until = {
            pair: until for pair, until in self.tandem_blocked_until.items() if until > now
        }
        gone = api.SwitchState.GONE  # forgotten once nothing is owed there
        self.exchanges = {
            switch: exchange
            for switch, exchange in self.exchanges.items()
            if exchange.unanswered or exchange.state is not gone
        }
        self.exchange_by_number = {}
        for exchange in self.exchanges.values():
            other = self.exchange_by_number.get(exchange.number)
            if exchange.number != self.settings.own_number and (
                other is None or exchange.preference() > other.preference()
            ):
                self.exchange_by_number[exchange.number] = exchange
        self.exchange_numbers = sorted(self.exchange_by_number)
        if self.settings.list_on_request and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe())

    def on_load(self, now: float, event: api.LoadReport | api.AttemptEnded) -> None:
        exchange, load = self.exchanges.get(event.switch), event.load
        if exchange is None or load is None:
            return
        exchange.free_circuits = exchange.free_circuits if load.free_circuits is None else load.free_circuits
        exchange.group_circuits = (
            exchange.group_circuits if load.group_circuits is None else load.group_circuits
        )
        if load.hold_back_share is not None:  # a level is read against the chances half-way to its neighbours
            below, at, above = (-1.0, *CHANCE, math.inf)[exchange.level : exchange.level + 3]
            asked = load.hold_back_share
            self.log_level_change(
                now, exchange, exchange.count_reading(asked > (at + above) / 2, asked < (below + at) / 2)
            )
        wait_s = load.wait_s
        if wait_s is None and load.waiting is not None and load.capacity_per_s:
            wait_s = load.waiting / load.capacity_per_s
        if wait_s is not None and wait_s > self.wait_limit_s:  # long waits read over; a short one may be old
            self.log_level_change(
                now, exchange, exchange.take_reading(now, self.smoothing_s, self.wait_limit_s, failed=True)
            )

    def on_arrival(self, now: float, arrival: api.Arrival) -> None:
        answer_by = now + arrival.time_left_s - self.settings.tick_s
        call = self.calls[arrival.call] = Call(arrival, now, answer_by)
        item = self.settings.classes[arrival.class_index]
        call.worth = item.worth
        if not arrival.in_transit:
            call.late = now > self.first_call_at(now, arrival.number_called, item.deadline_s) + item.aim_s
            call.worth *= item.late_worth_share if call.late else 1.0
            self.arrivals += 1
            self.mean_worth += (call.worth - self.mean_worth) / min(self.arrivals, KEPT_NUMBERS)
        self.route(now, arrival.call, call)

    def first_call_at(self, now: float, number: int, patience_s: float) -> float:
        """When calls to a number began that have not paused for a caller's patience since; one sooner than
        the asked wait makes them late. Guards against late redials, which earn little, callers who redial at
        once whatever a refusal asks, and mass calls to one number, most of which would meet busy lines.
        Harm: a second caller of a number within seconds is taken for a redial."""
        if not number:
            return now
        first_at, last_at = self.redial_runs.pop(number, (now, -math.inf))
        if now < last_at + HINT_SHARE * self.shortest_aim_s:
            first_at = -math.inf
        elif now > last_at + patience_s:
            first_at = now
        self.redial_runs[number] = first_at, now
        if len(self.redial_runs) > KEPT_NUMBERS:
            del self.redial_runs[next(iter(self.redial_runs))]
        return first_at

    def route(self, now: float, call_id: int, call: Call) -> None:
        """Direct first, else the remembered tandem, else a redrawn one, else refused."""
        arrival = call.arrival
        dest = self.exchange_by_number.get(arrival.destination)
        shut = dest is None or not self.usable(dest)
        if arrival.in_transit:
            if (
                shut
                or self.refused_by_chance(self.tandem_load, call)
                or self.own_processor_refuses(now, call)
                or self.exchange_refuses(now, dest, call)
                or not self.has_room(dest, arrival, self.reserved_circuits(dest))
            ):
                self.refuse(call_id)
            else:
                self.send(now, call_id, call, dest)
        elif not shut and self.own_processor_refuses(now, call):
            self.refuse(call_id)
        elif shut or self.exchange_refuses(now, dest, call):
            if self.settings.pools_form:
                self.overflow(now, call_id, call)
            else:
                self.refuse(call_id)
        elif (
            self.has_room(dest, arrival, self.reserved_circuits(dest) if call.late else 0.0)
            and not call.direct_failed
        ):
            self.send(now, call_id, call, dest)
        else:
            self.overflow(now, call_id, call)

    def overflow(self, now: float, call_id: int, call: Call) -> None:
        barred = (
            call.late
            or call.attempts >= self.settings.max_attempts
            or not self.settings.pools_form
            and self.refused_by_chance(self.tandem_load, call)
        )
        tandem = (
            None
            if barred
            else self.exchanges.get(self.tandem_by_destination.get(call.arrival.destination, -1))
        )
        if not barred and (tandem is None or self.tandem_unavailable(now, tandem, call)):
            tandem = self.choose_tandem(now, call)
        if tandem is None:
            self.refuse(call_id)
        else:
            self.send(now, call_id, call, tandem)

    def choose_tandem(self, now: float, call: Call) -> ExchangeState | None:
        """The advised tandem, else the first not blocked of as many at random as a call may have attempts:
        the work of a call does not grow with the fleet. Each tandem looked at is read."""
        dest = call.arrival.destination
        self.tandem_by_destination.pop(dest, None)
        looks = min(len(self.exchange_numbers), self.settings.max_attempts)
        for number in (call.arrival.advice, *self.rng.sample(self.exchange_numbers, looks)):
            tandem = self.exchange_by_number.get(number)
            if tandem is not None and number != dest and not self.tandem_unavailable(now, tandem, call):
                self.tandem_by_destination[dest] = tandem.switch
                return tandem
        return None

    def tandem_unavailable(self, now: float, tandem: ExchangeState, call: Call) -> bool:
        arrival = call.arrival
        pools = self.settings.classes[arrival.class_index].pools
        if self.settings.pools_form and tandem.number not in pools:
            return True  # remembered for another class, whose skill this one's pool may lack
        return (
            not self.usable(tandem)
            or now < self.tandem_blocked_until.get((arrival.destination, tandem.switch), now)
            or not self.has_room(tandem, arrival, self.reserved_circuits(tandem))
            or self.exchange_refuses(now, tandem, call)
        )

    def usable(self, exchange: ExchangeState) -> bool:
        """Listed and running: nothing is sent from the moment a drain is told, well within its grace."""
        return (
            exchange.state is api.SwitchState.READY
            and self.exchange_by_number.get(exchange.number) is exchange
        )

    def has_room(self, exchange: ExchangeState, arrival: api.Arrival, reserve: float) -> bool:
        return exchange.free_circuits is None or exchange.free_circuits - reserve >= arrival.width_circuits

    def reserved_circuits(self, exchange: ExchangeState) -> float:
        """Circuits kept for the direct calls of a group: half the spread of the calls that it holds."""
        return 0.0 if self.settings.pools_form else math.sqrt(exchange.group_circuits) / 2

    def exchange_refuses(self, now: float, exchange: ExchangeState, call: Call) -> bool:
        """A call towards `far` is a reading, refused or not; then the static chance decides."""
        self.log_level_change(now, exchange, exchange.take_reading(now, self.smoothing_s, self.wait_limit_s))
        return self.refused_by_chance(exchange, call) or self.cold_budget_spent(now, exchange)

    def refused_by_chance(self, exchange: ExchangeState, call: Call) -> bool:
        """The static chance, shared out by worth: a call of mean worth meets it as it stands."""
        share = call.worth / self.mean_worth if self.mean_worth else 1.0
        return self.rng.random() < CHANCE[exchange.level] ** share and exchange.level > 0  # 0 ** 0 is 1

    def own_processor_refuses(self, now: float, call: Call) -> bool:
        """Every set-up crosses the own processor first: where even the quickest direct answer of one bound
        was slow or failed, the wait is here, and the own level's chance decides. It reads under only on a
        quick answer, or with nothing in wait: redials would else reopen a level that refuses all before
        anything is known. Harm: while all answers are middling the level stands."""
        while self.direct_answers and self.direct_answers[0][0] <= now - self.wait_limit_s:
            self.direct_answers.popleft()
        quickest_s = min((took_s for _, _, took_s in self.direct_answers), default=math.inf)
        slow = quickest_s > self.wait_limit_s and len({number for _, number, _ in self.direct_answers}) > 1
        self.log_level_change(
            now,
            self.own_processor,
            self.own_processor.count_reading(
                slow, not self.unanswered_total or quickest_s < self.wait_limit_s / 2
            ),
        )
        if (
            self.settings.messages_allowed
            and self.own_processor.level != self.last_peer_message[0]
            and now >= self.last_peer_message_at + self.wait_limit_s
        ):
            self.last_peer_message, self.last_peer_message_at = (
                bytes((self.own_processor.level, (self.last_peer_message[1] + 1) % 256)),
                now,
            )
            self.actions.append(api.SendPeerMessage(None, self.last_peer_message))
        return self.refused_by_chance(self.own_processor, call)

    def on_peer_message(self, now: float, event: api.PeerMessage) -> None:
        """A peer tells its own level when that has moved, once a bound at most, and how often it told: it
        sees its processor in every call it makes, we in one of many. The level is moved here too, and our own
        readings go on from there: a lost message costs no more than never having been told."""
        exchange, told = self.exchange_by_number.get(event.sender), event.payload
        if (
            exchange is None
            or len(told) != 2
            or told[0] >= len(CHANCE)
            or (told[1] - exchange.peer_sequence) % 256 > 127
        ):
            return  # foreign, malformed or old
        exchange.level, exchange.peer_sequence, exchange.consecutive_over, exchange.consecutive_under = (
            told[0],
            told[1],
            0,
            0,
        )

    def cold_budget_spent(self, now: float, exchange: ExchangeState) -> bool:
        """A fresh processor gets this controller's part of the work it can stand, and no more. What a warm
        one can do is judged by the own one: as many calls end at an exchange as begin there. A part below one
        set-up in a fall window is spaced over several, from a seeded phase: guards against a large fleet
        sending one each at once. Harm: a pair busier than the mean waits for its turn."""
        settings = self.settings
        if not self.is_cold(now, exchange):
            return False
        last = exchange.cold_sent_at[-1] if exchange.cold_sent_at else exchange.started_at
        warm = ((last + now) / 2 - exchange.started_at) / settings.warm_up_s  # at mid-turn: the ramp's mean
        present = settings.cold_share + (1 - settings.cold_share) * warm  # least share of capacity by then
        warm_per_s = 2 * self.own_processor.decayed_rate_per_s(now, self.smoothing_s)
        per_s = COLD_MARGIN * settings.tip_multiple * present * warm_per_s / settings.controllers
        if per_s * settings.fall_s < 1:
            return (now - last) * per_s < (1 if exchange.cold_sent_at else self.cold_start_phase)
        while exchange.cold_sent_at and exchange.cold_sent_at[0] <= now - settings.fall_s:
            exchange.cold_sent_at.popleft()
        return len(exchange.cold_sent_at) + 1 > per_s * settings.fall_s

    def is_cold(self, now: float, exchange: ExchangeState) -> bool:
        return 0 < exchange.started_at and now - exchange.started_at < self.settings.warm_up_s

    def send(self, now: float, call_id: int, call: Call, exchange: ExchangeState) -> None:
        call.attempts += 1
        call.pending_exchange = exchange
        exchange.unanswered[call_id] = now
        if exchange.first_sent_at < 0:
            exchange.first_sent_at = now
        self.unanswered_total += 1
        if exchange.free_circuits is not None:
            exchange.free_circuits -= call.arrival.width_circuits
        if self.is_cold(now, exchange):
            exchange.cold_sent_at.append(now)
        self.actions.append(api.SetUp(call_id, exchange.switch, call.answer_by))

    def refuse(self, call_id: int) -> None:
        """Turned away with a short hint: a redial within the aim still earns full worth."""
        del self.calls[call_id]
        hint_s = HINT_SHARE * self.shortest_aim_s if self.settings.hold_off_allowed else 0.0
        self.actions.append(api.Refuse(call_id, hint_s))

    def on_established(self, now: float, event: api.CallEstablished) -> None:
        call = self.calls.pop(event.call, None)  # nothing more is owed: its end, or a cut, comes closed
        exchange = self.exchanges.get(event.switch)
        if exchange is not None:
            exchange.consecutive_errors = 0
            exchange.record_established(exchange.unanswered.get(event.call, -math.inf))
        self.finish_attempt(now, event.call, call, event.switch, failed=False, answered=True)

    def on_withdrawn(self, now: float, event: api.Withdrawn) -> None:
        call = self.calls.pop(event.call, None)
        if call is not None and call.pending_exchange is not None:
            failed = self.waited_too_long(now, event.call, call)
            self.finish_attempt(now, event.call, call, call.pending_exchange.switch, failed, answered=False)

    def waited_too_long(self, now: float, call_id: int, call: Call) -> bool:
        """Whether an attempt that ended with no answer has waited longer than a processor may take. Guards
        sound exchanges against callers that leave no time, or take back at once: nothing was learnt there."""
        return now - call.pending_exchange.unanswered.get(call_id, now) > self.wait_limit_s

    def on_attempt_ended(self, now: float, event: api.AttemptEnded) -> None:
        self.on_load(now, event)
        call = self.calls.get(event.call)
        if call is None or call.pending_exchange is None:
            return
        failed = (
            event.outcome is api.Outcome.UNREACHABLE
            or event.outcome is api.Outcome.TIMEOUT
            and self.waited_too_long(now, event.call, call)
            or event.outcome is api.Outcome.REJECTED
            and event.reason is api.Reason.PROCESSOR_FULL
        )
        answered = event.outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.REJECTED)
        wait_s = (
            self.wait_limit_s
            if event.retry_after_s is None
            else event.retry_after_s - self.wait_limit_s / BOUND_SHARE
        )
        self.finish_attempt(now, event.call, call, event.switch, failed, answered, wait_s)
        if (
            event.reason is api.Reason.DESTINATION_PROCESSOR_FULL
            and call.arrival.destination in self.exchange_by_number
        ):
            dest = self.exchange_by_number[call.arrival.destination]
            self.log_level_change(
                now, dest, dest.take_reading(now, self.smoothing_s, self.wait_limit_s, failed=True)
            )
        if event.call_over:
            del self.calls[event.call]
            return
        exchange = self.exchanges.get(event.switch, call.pending_exchange)
        call.pending_exchange = None
        fault = event.outcome is api.Outcome.ERROR and event.reason is api.Reason.NONE
        exchange.consecutive_errors = (
            exchange.consecutive_errors + 1 if fault else 0 if answered else exchange.consecutive_errors
        )
        call.direct_failed |= not fault and event.outcome is not api.Outcome.CUT
        if exchange.number != call.arrival.destination:
            length_s = self.settings.classes[call.arrival.class_index].length_s
            # No way round by the same tandem while two roots of its circuits clear, the spread either way:
            # guards against overflow that only burns work, and tandems cut off from the destination. Harm:
            # one busy moment keeps a good tandem away.
            clear_s = 2 * length_s / math.sqrt(max(exchange.group_circuits, 1))
            self.tandem_blocked_until[call.arrival.destination, event.switch] = now + clear_s
            if event.switch == self.tandem_by_destination.get(call.arrival.destination):
                del self.tandem_by_destination[call.arrival.destination]
        if event.outcome in (api.Outcome.TIMEOUT, api.Outcome.CUT, api.Outcome.CANCELLED):
            # a connection that broke says nothing of the route: direct first once more
            self.retry_after_release(now, event.call, call)
        elif (
            fault
            and call.attempts < self.settings.max_attempts
            and now < call.answer_by
            and exchange.consecutive_errors < FAULTS
        ):
            # Guards against an exchange that fails some set-ups as soon as they come: the next may pass, and
            # a redial of the caller costs it the aim. Harm: each try is work there, so none where all fail.
            self.route(now, event.call, call)
        elif (
            event.outcome in (api.Outcome.NOT_SENT, api.Outcome.REJECTED, api.Outcome.UNREACHABLE)
            and event.reason in (api.Reason.NO_CIRCUIT, api.Reason.NONE)
            and not call.arrival.in_transit
            and now < call.answer_by
        ):
            self.overflow(now, event.call, call)
        else:
            self.refuse(event.call)

    def finish_attempt(
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
        exchange = self.exchanges.get(switch)
        if call is None or exchange is None:
            return
        sent_at = exchange.unanswered.pop(call_id, None)
        if sent_at is None:
            return
        self.unanswered_total -= 1
        failed = failed and not exchange.overtaken(sent_at)
        if (answered or failed) and exchange.number == call.arrival.destination:
            took_s = math.inf if failed else now - sent_at
            self.direct_answers.append((now, exchange.number, took_s))
            # A way round takes a third processor: where most direct answers are slow, the static chance
            # refuses calls by tandem and in transit first. Guards against overflow that feeds on itself when
            # processors are short everywhere; harm: pairs without a group have no other way.
            mark_s = AROUND_SHARE * self.wait_limit_s
            self.tandem_load.count_reading(took_s > mark_s, took_s < mark_s)
        if answered:
            exchange.record_answer(now, self.smoothing_s)
            self.own_processor.record_answer(now, self.smoothing_s)
        if answered or failed:
            self.log_level_change(
                now, exchange, exchange.take_reading(now, self.smoothing_s, self.wait_limit_s, failed, wait_s)
            )

    def log_level_change(self, now: float, exchange: ExchangeState, step: int) -> None:
        if step > 0 and exchange.level == 2 and now >= exchange.logged_at + self.smoothing_s:
            exchange.logged_at = now
            self.actions.append(
                api.LogMessage(
                    f"exchange {exchange.number}: load level 2, {len(exchange.unanswered)} unanswered"
                )
            )

    def retry_after_release(self, now: float, call_id: int, call: Call) -> None:
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
        self.last_token += 1
        self.timers[self.last_token] = call_id
        self.actions.append(api.SetTimer(in_s, self.last_token))

    def on_timer(self, now: float, event: api.TimerDue) -> None:
        call_id = self.timers.pop(event.token, None)
        if call_id == -1 and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.Subscribe())
            return
        call = self.calls.get(call_id) if call_id is not None else None
        if call is None or call.pending_exchange is not None:
            return
        self.route(now, call_id, call)
