"""Routing and admission decisions of one exchange's call controller.

Settings, events and actions are the dataclasses of `chutefork/interface.py`. The module is pure: the time
comes with each event, random numbers come from a generator seeded in the settings; it reads no clock and does
no I/O. Times are seconds on the host's clock, names that end in `_s` are durations in seconds.

Overload control is method B of the paper "Overload Control Mechanisms for the OSA Gateway (Open Service
Access)" with static rejection, applied to each remote exchange: each reading compares the number of
unanswered set-ups that this exchange has sent there with a threshold, five readings in a row on the same side
of it move a load level (0 to 2), and the level sets the chance that a set-up is refused.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from . import interface as api

HOLD_OFF_SHARE = 0.25  # share of the shortest aim that a refused caller waits: a redial can still be in time
MAX_REMEMBERED = 1000  # called numbers, and calls averaged in the mean worth: bounds the memory
READINGS_PER_STEP = 5  # consecutive readings that move a level (from the paper)
REFUSAL_CHANCE = (0.0, 0.5, 1.0)  # chance of refusal by level (the paper's static method)
MIN_THRESHOLD_SETUPS = 4.0  # below this a single call would decide
# Share of the mean aim that may be spent waiting for one processor: a call crosses two or three.
WAIT_LIMIT_SHARE = 0.5
SLOW_ANSWER_SHARE = 0.5  # share of the wait limit from which a direct answer counts against using tandems
LEVEL_2_THRESHOLD_RATIO = 45 / 40  # ratio of level 2's threshold to level 1's (from the paper)
MAX_CONSECUTIVE_ERRORS = 20  # an exchange that has answered with nothing else gets one attempt per call
OVERTAKING_SETUPS = 3  # later set-ups established, after which an earlier one no longer waits in the queue
# Share used of the load that a cold processor can carry: the rest is for random peaks, repeated set-ups and
# callers' redials.
COLD_BUDGET_SHARE = 0.5


@dataclass(slots=True, eq=False)
class ExchangeState:
    """State kept for one remote exchange: its processor, and the trunk group towards it.

    With `switch` -1 it holds the load level and answer rate of this exchange's own processor, or the load
    level that limits calls by tandem and in transit.
    """

    switch: int
    number: int
    state: api.SwitchState = api.SwitchState.READY
    started_at: float = 0.0  # 0: long ago
    free_circuits: float | None = None  # None: not reported yet
    group_circuits: float = 0.0  # size of the trunk group
    answer_rate_per_s: float = 0.0  # smoothed
    rate_updated_at: float = 0.0
    first_sent_at: float = -math.inf  # when the first set-up was sent: the rate covers the time since then
    level: int = 0  # index in REFUSAL_CHANCE
    consecutive_over: int = 0  # readings above the threshold
    consecutive_under: int = 0  # readings below the threshold
    unanswered: dict[int, float] = field(default_factory=dict)  # set-ups: call -> when sent
    established_sent_at: list[float] = field(default_factory=list)  # latest established set-ups: when sent
    # Until then each reading counts as over: the queue behind a failure cannot have drained yet.
    overloaded_until: float = -math.inf
    logged_at: float = -math.inf  # when its overload was last logged
    consecutive_errors: int = 0  # signalling errors
    sequence: int = 0  # sequence number of the latest message from its controller
    cold_sent_at: deque[float] = field(default_factory=deque)  # when set-ups were sent during its warm-up

    def preference(self) -> tuple[bool, float, int]:
        """Sort key of switches with the same number; the greatest serves it: a READY one, then the newest."""
        return self.state is api.SwitchState.READY, self.started_at, self.switch

    def decayed_rate_per_s(self, now: float, smoothing_s: float) -> float:
        """The smoothed answer rate, decayed exponentially from the last answer to `now`."""
        return self.answer_rate_per_s * math.exp((self.rate_updated_at - now) / smoothing_s)

    def record_answer(self, now: float, smoothing_s: float) -> None:
        self.answer_rate_per_s, self.rate_updated_at = (
            self.decayed_rate_per_s(now, smoothing_s) + 1 / smoothing_s,
            now,
        )

    def corrected_rate_per_s(self, now: float, smoothing_s: float) -> float:
        """The smoothed answer rate, corrected for the short time observed since the first set-up.

        The uncorrected rate rises from zero, so a controller that has just started would use the least
        threshold for its first seconds, and refuse set-ups that would be answered at once.
        """
        observed_share = 1 - math.exp((self.first_sent_at - now) / smoothing_s)
        return self.decayed_rate_per_s(now, smoothing_s) / observed_share if observed_share > 0 else 0.0

    def record_established(self, sent_at: float) -> None:
        self.established_sent_at = sorted((*self.established_sent_at, sent_at))[-OVERTAKING_SETUPS:]

    def overtaken(self, sent_at: float) -> bool:
        """Whether OVERTAKING_SETUPS set-ups sent after this time have been established.

        A processor serves one queue in order, so a set-up that several later ones have overtaken no longer
        waits there: its answer is lost. Without this check, the lost answer would count as waiting until the
        caller gives up, at a processor that answers all others at once. Side effect: the load of a processor
        that serves some senders first is underestimated.
        """
        return len(self.established_sent_at) == OVERTAKING_SETUPS and sent_at < self.established_sent_at[0]

    def queued_count(self) -> int:
        """Number of unanswered set-ups that still wait for the processor."""
        overtaken_count = 0
        for sent_at in self.unanswered.values():  # in the order in which they were sent
            if not self.overtaken(sent_at):
                break
            overtaken_count += 1
        return len(self.unanswered) - overtaken_count

    def take_reading(
        self, now: float, smoothing_s: float, wait_limit_s: float, failed: bool = False, wait_s: float = 0.0
    ) -> int:
        """Compares the queued set-ups with the thresholds and returns the change of level: -1, 0 or 1.

        A count equal to the threshold, or between the two of level 1, is neither over nor under. `failed`: an
        attempt has failed for overload, so this and all readings of the next `wait_s` are over.
        """
        # The level of a full or silent processor must not fall because failures have emptied the count of
        # unanswered set-ups. Side effect: set-ups are also refused after a short stall.
        if failed:
            self.overloaded_until = max(self.overloaded_until, now + wait_s)
        threshold = max(MIN_THRESHOLD_SETUPS, self.corrected_rate_per_s(now, smoothing_s) * wait_limit_s)
        thresholds = threshold, threshold, threshold * LEVEL_2_THRESHOLD_RATIO
        count = self.queued_count()
        over = failed or now < self.overloaded_until or count > thresholds[min(self.level + 1, 2)]
        return self.count_reading(over, not over and count < thresholds[max(self.level, 1)])

    def count_reading(self, over: bool, under: bool) -> int:
        """Counts one reading and returns the change of level: -1, 0 or 1.

        READINGS_PER_STEP consecutive readings over or under move the level; one that is neither ends both
        runs.
        """
        self.consecutive_over = self.consecutive_over + 1 if over else 0
        self.consecutive_under = self.consecutive_under + 1 if under else 0
        step = int(self.consecutive_over >= READINGS_PER_STEP and self.level < 2) - int(
            self.consecutive_under >= READINGS_PER_STEP and self.level > 0
        )
        if self.consecutive_over >= READINGS_PER_STEP or self.consecutive_under >= READINGS_PER_STEP:
            self.consecutive_over = self.consecutive_under = 0
        self.level += step
        return step


@dataclass(slots=True, eq=False)
class Call:
    """A call that has no final answer yet."""

    arrival: api.Arrival
    arrived_at: float
    answer_by: float  # the latest time at which an answer still reaches the caller
    attempts: int = 0
    pending_exchange: ExchangeState | None = None  # where an attempt is open; None: nowhere
    # An attempt has ended otherwise than by a signalling error or a lost connection: no more direct attempts.
    direct_barred: bool = False
    late: bool = False  # already past its aim on arrival, because of the caller's earlier calls
    worth: float = 0.0


class CallController:
    """Decides for each call by which switch it is sent, or that it is refused.

    Each arrival gets exactly one final answer unless it is withdrawn, and a call never has more than one open
    attempt.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        # Share of the interval between its set-ups to a cold processor that this controller waits before the
        # first one.
        self.cold_start_phase = self.rng.random()
        self.exchanges: dict[int, ExchangeState] = {}  # by switch
        self.exchange_by_number: dict[int, ExchangeState] = {}  # the switch that serves a number now
        self.exchange_numbers: list[int] = []  # the keys of `exchange_by_number`, sorted
        self.calls: dict[int, Call] = {}  # without a final answer
        self.tandem_by_destination: dict[int, int] = {}  # destination number -> switch of the chosen tandem
        # (destination number, tandem's switch) -> when that tandem may be used for it again
        self.tandem_blocked_until: dict[tuple[int, int], float] = {}
        # called number -> when the first and the latest call of a run of calls came
        self.redial_runs: dict[int, tuple[float, float]] = {}
        self.timers: dict[int, int] = {}  # token -> call to route again; -1: request the list of switches
        self.last_token = 0
        # The longest time that a caller waits: the time constant of the answer rates.
        self.smoothing_s = max(call_class.deadline_s for call_class in settings.classes)
        self.shortest_aim_s = min(call_class.aim_s for call_class in settings.classes)
        self.wait_limit_s = (
            WAIT_LIMIT_SHARE
            * sum(call_class.aim_s for call_class in settings.classes)
            / len(settings.classes)
        )
        self.own_processor = ExchangeState(-1, settings.own_number)
        self.unanswered_total = 0  # unanswered set-ups at all remote exchanges
        # Latest direct attempts: when ended, exchange number, answer time in seconds (infinite if failed).
        self.direct_answers: deque[tuple[float, int, float]] = deque()
        # Its level limits calls by tandem and in transit.
        self.tandem_load = ExchangeState(-1, settings.own_number)
        self.arrivals, self.mean_worth = 0, 0.0
        # The last message sent to the peers (level, sequence number), and when it was sent.
        self.last_peer_message, self.last_peer_message_at = bytes(2), -math.inf
        self.subscribed = False
        self.actions: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Processes one event and returns the actions to carry out, in this order.

        `now` is in seconds on the host's clock. Events of unknown calls and timers are ignored.
        """
        self.actions = []
        handler = {
            api.Arrival: self.on_arrival,
            api.CallEstablished: self.on_established,
            api.AttemptEnded: self.on_attempt_ended,
            api.LoadReport: self.on_load,
            api.Withdrawn: self.on_withdrawn,
            api.SwitchList: self.on_list,
            api.TimerDue: self.on_timer,
            api.PeerMessage: self.on_peer_message,
        }.get(type(event))
        if handler is not None:
            handler(now, event)
        return self.actions

    def on_list(self, now: float, event: api.SwitchList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.subscribed = False
            if self.settings.list_on_request:
                self.set_timer(self.settings.ask_within_s / 2, -1)
            return
        listed = set()
        for entry in event.entries:
            listed.add(entry.switch)
            remote = self.exchanges.get(entry.switch)
            if remote is None or entry.started_at_s > remote.started_at > 0:
                fresh = ExchangeState(entry.switch, entry.number)
                if remote is not None:
                    fresh.free_circuits, fresh.group_circuits, fresh.unanswered = (
                        remote.free_circuits,
                        remote.group_circuits,
                        remote.unanswered,
                    )
                self.exchanges[entry.switch] = remote = fresh
            remote.number, remote.state, remote.started_at = entry.number, entry.state, entry.started_at_s
        if event.kind is not api.ListKind.CHANGES:
            for switch, remote in self.exchanges.items():
                if switch not in listed:
                    remote.state = api.SwitchState.GONE
        self.tandem_blocked_until = {
            pair: until for pair, until in self.tandem_blocked_until.items() if until > now
        }
        gone = api.SwitchState.GONE  # removed once no set-up there is unanswered
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
        # A requested share to hold back is a reading over or under if the refusal chance of the next higher
        # or lower level is nearer to it than that of the present level.
        if load.hold_back_share is not None:
            below, at, above = (-1.0, *REFUSAL_CHANCE, math.inf)[exchange.level : exchange.level + 3]
            share = load.hold_back_share
            self.log_overload(
                now, exchange, exchange.count_reading(share > (at + above) / 2, share < (below + at) / 2)
            )
        wait_s = load.wait_s
        if wait_s is None and load.waiting is not None and load.capacity_per_s:
            wait_s = load.waiting / load.capacity_per_s
        # A long wait is a reading over; a short one is no reading, since the report may be outdated.
        if wait_s is not None and wait_s > self.wait_limit_s:
            self.log_overload(
                now, exchange, exchange.take_reading(now, self.smoothing_s, self.wait_limit_s, failed=True)
            )

    def on_arrival(self, now: float, arrival: api.Arrival) -> None:
        answer_by = now + arrival.time_left_s - self.settings.tick_s
        call = self.calls[arrival.call] = Call(arrival, now, answer_by)
        call_class = self.settings.classes[arrival.class_index]
        call.worth = call_class.worth
        if not arrival.in_transit:
            call.late = (
                now > self.first_call_at(now, arrival.number_called, call_class.deadline_s) + call_class.aim_s
            )
            call.worth *= call_class.late_worth_share if call.late else 1.0
            self.arrivals += 1
            self.mean_worth += (call.worth - self.mean_worth) / min(self.arrivals, MAX_REMEMBERED)
        self.route(now, arrival.call, call)

    def first_call_at(self, now: float, number: int, patience_s: float) -> float:
        """When the current run of calls to a number began; minus infinity if it has to count as late.

        A run ends with a pause of `patience_s`, as long as a caller waits. A call that comes sooner than a
        refusal asks callers to wait makes the run late. This keeps back late redials, which earn little,
        callers who redial at once whatever a refusal asks, and mass calls to one number, most of which would
        find all lines busy. Side effect: a second caller of the same number within seconds counts as a
        redial.
        """
        if not number:
            return now
        first_at, last_at = self.redial_runs.pop(number, (now, -math.inf))
        if now < last_at + HOLD_OFF_SHARE * self.shortest_aim_s:
            first_at = -math.inf
        elif now > last_at + patience_s:
            first_at = now
        self.redial_runs[number] = first_at, now
        if len(self.redial_runs) > MAX_REMEMBERED:
            del self.redial_runs[next(iter(self.redial_runs))]
        return first_at

    def route(self, now: float, call_id: int, call: Call) -> None:
        """Sends the call directly, else by the tandem last chosen, else by another one; else refuses it.

        A call in transit is sent directly or refused. A call is also refused, without trying a tandem, if its
        destination has no usable switch or the load there rules it out; in the pools form such a call goes on
        to another pool.
        """
        arrival = call.arrival
        dest = self.exchange_by_number.get(arrival.destination)
        unavailable = dest is None or not self.usable(dest)
        if arrival.in_transit:
            if (
                unavailable
                or self.refused_by_chance(self.tandem_load, call)
                or self.own_processor_refuses(now, call)
                or self.exchange_refuses(now, dest, call)
                or not self.has_room(dest, arrival, self.reserved_circuits(dest))
            ):
                self.refuse(call_id)
            else:
                self.send(now, call_id, call, dest)
        elif not unavailable and self.own_processor_refuses(now, call):
            self.refuse(call_id)
        elif unavailable or self.exchange_refuses(now, dest, call):
            if self.settings.pools_form:
                self.overflow(now, call_id, call)
            else:
                self.refuse(call_id)
        elif (
            self.has_room(dest, arrival, self.reserved_circuits(dest) if call.late else 0.0)
            and not call.direct_barred
        ):
            self.send(now, call_id, call, dest)
        else:
            self.overflow(now, call_id, call)

    def overflow(self, now: float, call_id: int, call: Call) -> None:
        """Sends the call by a tandem (in the pools form by another pool), or refuses it."""
        overflow_barred = (
            call.late
            or call.attempts >= self.settings.max_attempts
            or not self.settings.pools_form
            and self.refused_by_chance(self.tandem_load, call)
        )
        tandem = (
            None
            if overflow_barred
            else self.exchanges.get(self.tandem_by_destination.get(call.arrival.destination, -1))
        )
        if not overflow_barred and (tandem is None or self.tandem_unavailable(now, tandem, call)):
            tandem = self.choose_tandem(now, call)
        if tandem is None:
            self.refuse(call_id)
        else:
            self.send(now, call_id, call, tandem)

    def choose_tandem(self, now: float, call: Call) -> ExchangeState | None:
        """The advised tandem if available, else the first available of a random sample, else None.

        The sample has `max_attempts` tandems, so that the work per call does not grow with the network. Each
        tandem that is otherwise available counts one reading.
        """
        dest = call.arrival.destination
        self.tandem_by_destination.pop(dest, None)
        sample_size = min(len(self.exchange_numbers), self.settings.max_attempts)
        for number in (call.arrival.advice, *self.rng.sample(self.exchange_numbers, sample_size)):
            tandem = self.exchange_by_number.get(number)
            if tandem is not None and number != dest and not self.tandem_unavailable(now, tandem, call):
                self.tandem_by_destination[dest] = tandem.switch
                return tandem
        return None

    def tandem_unavailable(self, now: float, tandem: ExchangeState, call: Call) -> bool:
        """Whether this tandem cannot take the call now; counts a reading where only its load decides."""
        arrival = call.arrival
        pools = self.settings.classes[arrival.class_index].pools
        if self.settings.pools_form and tandem.number not in pools:
            return True  # chosen for calls of another class; it may lack the skill for this one
        return (
            not self.usable(tandem)
            or now < self.tandem_blocked_until.get((arrival.destination, tandem.switch), now)
            or not self.has_room(tandem, arrival, self.reserved_circuits(tandem))
            or self.exchange_refuses(now, tandem, call)
        )

    def usable(self, exchange: ExchangeState) -> bool:
        """Whether set-ups may be sent: it is READY, and the switch that serves its number.

        A drain stops set-ups as soon as it is listed, well within `drain_grace_s`.
        """
        return (
            exchange.state is api.SwitchState.READY
            and self.exchange_by_number.get(exchange.number) is exchange
        )

    def has_room(self, exchange: ExchangeState, arrival: api.Arrival, reserve: float) -> bool:
        """Whether the group has `reserve` circuits beyond those the call needs; True if not reported yet."""
        return exchange.free_circuits is None or exchange.free_circuits - reserve >= arrival.width_circuits

    def reserved_circuits(self, exchange: ExchangeState) -> float:
        """Trunk reservation: circuits of the group that are kept free for direct calls.

        They are half the spread, taken as the square root, of the number of calls that the group holds.
        """
        return 0.0 if self.settings.pools_form else math.sqrt(exchange.group_circuits) / 2

    def exchange_refuses(self, now: float, exchange: ExchangeState, call: Call) -> bool:
        """Whether the exchange's load rules the call out, by the static chance or by the budget while cold.

        Each call towards the exchange counts as a reading, whether refused or not.
        """
        self.log_overload(now, exchange, exchange.take_reading(now, self.smoothing_s, self.wait_limit_s))
        return self.refused_by_chance(exchange, call) or self.cold_budget_spent(now, exchange)

    def refused_by_chance(self, exchange: ExchangeState, call: Call) -> bool:
        """Draws by the level's refusal chance, weighted by worth: unchanged for a call of mean worth."""
        share = call.worth / self.mean_worth if self.mean_worth else 1.0
        # The level is compared too because 0 ** 0 is 1.
        return self.rng.random() < REFUSAL_CHANCE[exchange.level] ** share and exchange.level > 0

    def own_processor_refuses(self, now: float, call: Call) -> bool:
        """Whether this exchange's own processor rules the call out; sends the peers a changed level.

        Each call counts as a reading, then the level's refusal chance decides. Every set-up crosses the own
        processor first: where even the quickest direct answer of the last `wait_limit_s` was slow or failed,
        at more than one exchange, the wait is here. A reading is under only after a quick answer or with no
        set-up unanswered: otherwise redials would lower a level that refuses all calls before any answer has
        come. Side effect: the level stays while all answers are neither quick nor slow.
        """
        while self.direct_answers and self.direct_answers[0][0] <= now - self.wait_limit_s:
            self.direct_answers.popleft()
        quickest_s = min((answer_time_s for _, _, answer_time_s in self.direct_answers), default=math.inf)
        slow = quickest_s > self.wait_limit_s and len({number for _, number, _ in self.direct_answers}) > 1
        self.log_overload(
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
        """Takes over the load level that a peer reports of its own processor.

        The payload is two bytes: the level and a sequence number modulo 256. A peer sends it when its level
        has changed, at most once per `wait_limit_s`: it sees its processor in every call that it makes, this
        controller in one of many. Readings go on from the reported level, so a lost message costs no more
        than one never sent.
        """
        peer, data = self.exchange_by_number.get(event.sender), event.payload
        if (
            peer is None
            or len(data) != 2
            or data[0] >= len(REFUSAL_CHANCE)
            or (data[1] - peer.sequence) % 256 > 127
        ):
            return  # unknown sender, malformed or outdated
        peer.level, peer.sequence, peer.consecutive_over, peer.consecutive_under = data[0], data[1], 0, 0

    def cold_budget_spent(self, now: float, exchange: ExchangeState) -> bool:
        """Whether this controller has used its part of the load that a processor can carry in its warm-up.

        The capacity of a warm processor is estimated by the answer rate of the local one: as many calls end
        at an exchange as begin there, hence the factor 2. A part below one set-up per window of `fall_s` is
        spread over several windows, from a phase drawn from the seed: otherwise all controllers of a large
        network would send one each at once. Side effect: a pair of exchanges with more traffic than the mean
        waits for its turn.
        """
        settings = self.settings
        if not self.is_cold(now, exchange):
            return False
        last_sent_at = exchange.cold_sent_at[-1] if exchange.cold_sent_at else exchange.started_at
        # Taken half-way between the last set-up and now, which gives the mean of the linear warm-up.
        warm_up_progress = ((last_sent_at + now) / 2 - exchange.started_at) / settings.warm_up_s
        # The least share of its capacity that the processor has by then.
        capacity_share = settings.cold_share + (1 - settings.cold_share) * warm_up_progress
        warm_per_s = 2 * self.own_processor.decayed_rate_per_s(now, self.smoothing_s)
        budget_per_s = (
            COLD_BUDGET_SHARE * settings.tip_multiple * capacity_share * warm_per_s / settings.controllers
        )
        if budget_per_s * settings.fall_s < 1:
            return (now - last_sent_at) * budget_per_s < (
                1 if exchange.cold_sent_at else self.cold_start_phase
            )
        while exchange.cold_sent_at and exchange.cold_sent_at[0] <= now - settings.fall_s:
            exchange.cold_sent_at.popleft()
        return len(exchange.cold_sent_at) + 1 > budget_per_s * settings.fall_s

    def is_cold(self, now: float, exchange: ExchangeState) -> bool:
        """Whether the processor is in its warm-up; never so with an unknown start (0)."""
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
        """Refuses the call with a short hold-off: a redial answered within the aim still earns full worth."""
        del self.calls[call_id]
        hold_off_s = HOLD_OFF_SHARE * self.shortest_aim_s if self.settings.hold_off_allowed else 0.0
        self.actions.append(api.Refuse(call_id, hold_off_s))

    def on_established(self, now: float, event: api.CallEstablished) -> None:
        call = self.calls.pop(event.call, None)  # answered; its end, or a cut, comes with `call_over` set
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
        """Whether an attempt without an answer has waited longer than the wait limit for one processor.

        Attempts of callers that leave no time, or cancel at once, say nothing about the exchange and must
        not count against it.
        """
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
        # How long a failure keeps readings over: the wait asked for less the mean aim, or the wait limit.
        wait_s = (
            self.wait_limit_s
            if event.retry_after_s is None
            else event.retry_after_s - self.wait_limit_s / WAIT_LIMIT_SHARE
        )
        self.finish_attempt(now, event.call, call, event.switch, failed, answered, wait_s)
        if (
            event.reason is api.Reason.DESTINATION_PROCESSOR_FULL
            and call.arrival.destination in self.exchange_by_number
        ):
            dest = self.exchange_by_number[call.arrival.destination]
            self.log_overload(
                now, dest, dest.take_reading(now, self.smoothing_s, self.wait_limit_s, failed=True)
            )
        if event.call_over:
            del self.calls[event.call]
            return
        exchange = self.exchanges.get(event.switch, call.pending_exchange)
        call.pending_exchange = None
        signalling_error = event.outcome is api.Outcome.ERROR and event.reason is api.Reason.NONE
        exchange.consecutive_errors = (
            exchange.consecutive_errors + 1
            if signalling_error
            else 0
            if answered
            else exchange.consecutive_errors
        )
        call.direct_barred |= not signalling_error and event.outcome is not api.Outcome.CUT
        if exchange.number != call.arrival.destination:
            length_s = self.settings.classes[call.arrival.class_index].length_s
            # The tandem is not used for this destination while about 2 * sqrt(circuits) calls of its group
            # end: the spread (square root) of their number either way. This avoids overflow that only costs
            # work, and tandems cut off from the destination. Side effect: one busy moment keeps a good tandem
            # out of use.
            block_s = 2 * length_s / math.sqrt(max(exchange.group_circuits, 1))
            self.tandem_blocked_until[call.arrival.destination, event.switch] = now + block_s
            if event.switch == self.tandem_by_destination.get(call.arrival.destination):
                del self.tandem_by_destination[call.arrival.destination]
        if event.outcome in (api.Outcome.TIMEOUT, api.Outcome.CUT, api.Outcome.CANCELLED):
            # A lost connection (CUT) says nothing about the route: the direct one is tried first again. After
            # the other two the call goes on by tandem, since its direct route is barred.
            self.retry_after_release(now, event.call, call)
        elif (
            signalling_error
            and call.attempts < self.settings.max_attempts
            and now < call.answer_by
            and exchange.consecutive_errors < MAX_CONSECUTIVE_ERRORS
        ):
            # An exchange may fail some set-ups as soon as they come: the next attempt may succeed, whereas a
            # redial by the caller would miss the aim. Side effect: each attempt is work for the exchange, so
            # there is none where all fail.
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
        """Removes the attempt from the unanswered ones; its answer, or its failure, counts as a reading.

        `failed`: a failure that shows overload, after which readings stay over for `wait_s`. Neither `failed`
        nor `answered`: the attempt says nothing about the exchange.
        """
        exchange = self.exchanges.get(switch)
        if call is None or exchange is None:
            return
        sent_at = exchange.unanswered.pop(call_id, None)
        if sent_at is None:
            return
        self.unanswered_total -= 1
        failed = failed and not exchange.overtaken(sent_at)
        if (answered or failed) and exchange.number == call.arrival.destination:
            answer_time_s = math.inf if failed else now - sent_at
            self.direct_answers.append((now, exchange.number, answer_time_s))
            # A call by tandem takes a third processor: where most direct answers are slow, calls by tandem
            # and in transit are refused first, by the static chance. This prevents overflow that feeds on
            # itself when processors are short everywhere. Side effect: pairs of exchanges without a trunk
            # group have no other route.
            slow_s = SLOW_ANSWER_SHARE * self.wait_limit_s
            self.tandem_load.count_reading(answer_time_s > slow_s, answer_time_s < slow_s)
        if answered:
            exchange.record_answer(now, self.smoothing_s)
            self.own_processor.record_answer(now, self.smoothing_s)
        if answered or failed:
            self.log_overload(
                now, exchange, exchange.take_reading(now, self.smoothing_s, self.wait_limit_s, failed, wait_s)
            )

    def log_overload(self, now: float, exchange: ExchangeState, step: int) -> None:
        """Logs a rise (`step` 1) to level 2, at most once per `smoothing_s` for each exchange."""
        if step > 0 and exchange.level == 2 and now >= exchange.logged_at + self.smoothing_s:
            exchange.logged_at = now
            self.actions.append(
                api.LogMessage(
                    f"exchange {exchange.number}: load level 2, {len(exchange.unanswered)} unanswered"
                )
            )

    def retry_after_release(self, now: float, call_id: int, call: Call) -> None:
        """Routes the call again after the release wait of its last attempt, or refuses it.

        No call may be sent again before the wait is over. It is refused if its aim or the caller
        leaves no time for the wait, if it is in transit, or if it has no attempts left.
        """
        retry_at = now + self.settings.release_s + self.settings.tick_s
        aim_s = self.settings.classes[call.arrival.class_index].aim_s
        if (
            call.arrival.in_transit
            or call.attempts >= self.settings.max_attempts
            or retry_at > min(call.answer_by, call.arrived_at + aim_s)
        ):
            self.refuse(call_id)
        else:
            self.set_timer(retry_at - now, call_id)

    def set_timer(self, delay_s: float, call_id: int) -> None:
        """Routes the call again after `delay_s`; call -1 requests the list of switches."""
        self.last_token += 1
        self.timers[self.last_token] = call_id
        self.actions.append(api.SetTimer(delay_s, self.last_token))

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
