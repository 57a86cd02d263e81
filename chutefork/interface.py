"""Settings, events and actions of a call controller.

The host passes events to `CallController.handle` and carries out the actions that it returns. Names that end
in `_at_s` are points in time, in seconds on the host's clock; other names in `_s` are durations in seconds,
names in `_per_s` are rates per second. `None` means that the value was not reported.

A *switch* is one process that serves an exchange (or a pool); its *number* is the exchange's (or the pool's),
which a successor process takes over.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How one attempt, or the established call that it led to, ended."""

    OK = "the established call ended normally"
    ERROR = "all lines of the number busy, or a signalling error"
    REJECTED = "rejected by a tandem, or a processor or pool was full"
    TIMEOUT = "no answer in time"
    UNREACHABLE = "no connection to the switch"
    CUT = "the connection was lost during the set-up or the established call"
    CANCELLED = "cancelled"
    NOT_SENT = "never left this exchange"


class Reason(Enum):
    """Why an attempt ended, as given by the switch."""

    NONE = "none given"
    NO_CIRCUIT = "no free circuit or agent"
    REJECTED_BY_TANDEM = "rejected by the tandem"
    DESTINATION_PROCESSOR_FULL = "rejected by the tandem because the destination's processor was full"
    PROCESSOR_FULL = "the switch's processor was full"
    LINES_BUSY = "all lines of the number are busy"
    DECLINED = "the switch asks for no further attempt of this call"


class SwitchState(Enum):
    """Whether a switch may be sent new set-ups; only a READY one may."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a switch list relates to the previous one."""

    CHANGES = "changed entries only"
    COMPLETE = "the complete list"
    REMEMBERED = "a stored copy of the list, possibly outdated"
    FAILED = "the list could not be obtained"


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls, and what an answered call of it is worth."""

    aim_s: float  # a call answered within this time earns its full worth
    deadline_s: float  # how long a caller waits for the answer
    worth: float  # of a call answered within `aim_s`
    late_worth_share: float  # share of the worth that an answer after `aim_s` earns
    width_circuits: int  # circuits that a call occupies
    length_s: float  # mean duration of an established call
    pools: tuple[int, ...]  # pools form only: numbers of the pools that can serve the class


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose calls are counted against a quota."""

    quota_per_s: float  # calls per second within its share, over all call controllers together


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a call controller. There are no defaults: the operator sets every value.

    Raises ValueError, with the name of the field at the start of the text, for a value that cannot be used.
    """

    seed: int  # of the random number generator
    own_number: int  # number of this exchange; -1 in the pools form
    controllers: int  # number of call controllers in the network
    pools_form: bool  # True: pools of agents; False: exchanges joined by trunk groups
    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float  # worth of a call beyond its tenant's quota
    release_s: float  # time that the release of an abandoned attempt takes
    resend_s: float  # 0: an unanswered set-up is not retransmitted automatically
    max_attempts: int  # per call
    probes_allowed: bool  # `Probe` may be used
    messages_allowed: bool  # `SendPeerMessage` may be used
    hold_off_allowed: bool  # `Refuse` may ask the caller to wait before a redial
    max_hold_off_s: float
    list_on_request: bool  # the list of switches comes only on `Subscribe`
    # Only with `list_on_request`: a controller without a subscription that has not requested the list for
    # this long counts as informed of what was listed that long ago.
    ask_within_s: float
    # After the drain or removal of a switch has been announced to this controller, its set-ups to that switch
    # have to stop within this time.
    drain_grace_s: float
    cold_share: float  # share of its capacity that a switch has directly after its start, in (0, 1]
    warm_up_s: float  # from a switch's start until it has its full capacity
    # A switch that has just started fails for good if it gets more than `tip_multiple` times what it can
    # process at that moment, kept up for `fall_s`. Set-ups that it refuses count too.
    tip_multiple: float
    fall_s: float
    tick_s: float  # time resolution of the host

    def __post_init__(self) -> None:
        for name in (
            "seed",
            "release_s",
            "resend_s",
            "over_share_worth",
            "max_hold_off_s",
            "ask_within_s",
            "drain_grace_s",
            "warm_up_s",
            "fall_s",
            "tick_s",
        ):
            _require_number(name, getattr(self, name), 0)
        for name in ("controllers", "max_attempts"):
            _require_number(name, getattr(self, name), 1)
        _require_number("own_number", self.own_number, -1)
        _require_number("cold_share", self.cold_share, 0)
        if not 0 < self.cold_share <= 1:
            raise ValueError(f"cold_share: must lie above 0 and at most 1, is {self.cold_share!r}")
        _require_number("tip_multiple", self.tip_multiple, 0)
        if self.tip_multiple * self.cold_share <= 0:
            raise ValueError(f"tip_multiple: must be above 0, is {self.tip_multiple!r}")
        if not self.classes:
            raise ValueError("classes: at least one call class is needed")
        if not self.pools_form and self.own_number < 0:
            raise ValueError("own_number: a network of trunk groups needs this exchange's number")
        for index, call_class in enumerate(self.classes):
            prefix = f"classes[{index}]."
            for name in ("worth", "late_worth_share", "length_s"):
                _require_number(prefix + name, getattr(call_class, name), 0)
            _require_number(prefix + "width_circuits", call_class.width_circuits, 1)
            for name in ("aim_s", "deadline_s"):
                if _require_number(prefix + name, getattr(call_class, name), 0) == 0:
                    raise ValueError(f"{prefix}{name}: must be above 0")
            if call_class.aim_s > call_class.deadline_s:
                raise ValueError(
                    f"{prefix}aim_s: {call_class.aim_s} exceeds the deadline of {call_class.deadline_s}"
                )
            if self.pools_form and not call_class.pools:
                raise ValueError(f"{prefix}pools: the pools form needs at least one pool for every class")
        for index, tenant in enumerate(self.tenants):
            _require_number(f"tenants[{index}].quota_per_s", tenant.quota_per_s, 0)


def _require_number(name: str, value: object, minimum: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise ValueError(f"{name}: missing or not a number, is {value!r}")
    if value < minimum:
        raise ValueError(f"{name}: must be at least {minimum}, is {value!r}")
    return value


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a switch and of the trunk group towards it; None: not reported."""

    free_circuits: float | None = None  # of the trunk group
    group_circuits: float | None = None  # size of the trunk group
    active: float | None = None  # calls in progress
    waiting: float | None = None  # set-ups that wait for the processor
    busy_share: float | None = None  # utilisation of the processor, 0 to 1
    wait_s: float | None = None  # mean wait of a set-up for the processor
    capacity_per_s: float | None = None  # set-ups that the processor can handle per second
    hold_back_share: float | None = None  # share of set-ups, 0 to 1, that senders are asked to hold back


@dataclass(frozen=True, slots=True)
class Entry:
    """One switch of a switch list."""

    switch: int  # identifies the process; a restarted one may keep it, with a later `started_at_s`
    number: int  # of the exchange, or of the pool, that it serves
    state: SwitchState
    started_at_s: float  # 0: long ago


@dataclass(frozen=True, slots=True)
class SwitchList:
    """Event: the list of switches, or with `CHANGES` its changed entries, has arrived."""

    kind: ListKind
    entries: tuple[Entry, ...]  # empty for `FAILED`


@dataclass(frozen=True, slots=True)
class Arrival:
    """Event: a call has arrived and needs exactly one final answer."""

    call: int
    class_index: int  # in `Settings.classes`
    width_circuits: float  # circuits that the call occupies
    time_left_s: float  # how much longer the caller waits
    tenant: int  # index in `Settings.tenants`
    number_called: int  # 0: none
    destination: int  # number of the exchange or pool
    in_transit: bool  # sent here by another exchange, with this one as its tandem
    was_cut: bool  # set up again after it was cut
    dialled_again: bool  # a redial by the caller
    advice: int  # number of the advised tandem or pool; in transit the originating exchange's; -1: none


@dataclass(frozen=True, slots=True)
class CallEstablished:
    """Event: the switch has accepted an attempt; the call is established and has its final answer."""

    call: int
    attempt: int  # of this call, counted from 0
    switch: int
    elapsed_s: float  # from the set-up to its answer


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt has ended without an established call, or an established call has ended."""

    call: int
    attempt: int  # of this call, counted from 0
    switch: int
    outcome: Outcome
    elapsed_s: float  # from the set-up to the end of the attempt
    call_over: bool  # True: no further answer is needed
    reason: Reason
    retry_after_s: float | None  # wait that the switch asked for; None: none given
    load: Load | None  # sent along by the switch; None: none


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Event: the caller has given the call up; it needs no answer any more."""

    call: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Event: a switch has reported its load, or a probe has had no answer."""

    switch: int
    answered: bool  # False: the probe failed
    elapsed_s: float  # from the probe to its answer; 0 for an unsolicited report
    solicited: bool  # the result of a `Probe`
    load: Load | None  # None: not reported


@dataclass(frozen=True, slots=True)
class TimerDue:
    """Event: the timer that `SetTimer` set with this token has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: a message from another call controller."""

    sender: int  # number of its exchange
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetUp:
    """Action: send a set-up of the call to the switch."""

    call: int
    switch: int
    abandon_at_s: float  # an attempt that has no answer by then ends with `TIMEOUT`; 0: no limit of its own


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action, a final answer: refuse the call."""

    call: int
    hold_off_s: float  # how long the caller is asked to wait before a redial; 0: not indicated


@dataclass(frozen=True, slots=True)
class Fail:
    """Action, a final answer: the call has failed, without an indication of when to redial."""

    call: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: report `TimerDue` with this token after the delay."""

    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Action: request the list of switches, and its changes from now on."""

    pass


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: ask a switch for its load; the result comes as a `LoadReport`."""

    switch: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Action: send a message to another call controller."""

    peer: int | None  # number of its exchange; None: every other call controller
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Action: write one line to the operators' log."""

    text: str


Event = (
    SwitchList | Arrival | CallEstablished | AttemptEnded | Withdrawn | LoadReport | TimerDue | PeerMessage
)
Action = SetUp | Refuse | Fail | SetTimer | Subscribe | Probe | SendPeerMessage | LogMessage
