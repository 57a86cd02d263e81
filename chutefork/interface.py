"""What a call controller is told and what it may ask for: settings, events and actions.

Times are seconds on the host's clock, lengths of time carry `_s`, rates `_per_s`; `None` is "not told".
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How one attempt finished."""

    OK = "the call has ended"
    ERROR = "all lines of the number busy, or a signalling fault"
    REJECTED = "turned back, or a processor or pool was full"
    TIMEOUT = "no answer in time"
    UNREACHABLE = "no connection to the switch"
    CUT = "the set-up or the standing call was cut"
    CANCELLED = "called off"
    NOT_SENT = "never left the own exchange"


class Reason(Enum):
    """Why an attempt finished, where the switch says so."""

    NONE = "none given"
    NO_CIRCUIT = "no circuit or agent free"
    REJECTED_BY_TANDEM = "the tandem turned it back"
    DESTINATION_PROCESSOR_FULL = "the tandem turned it back: the destination's processor was full"
    PROCESSOR_FULL = "processor full"
    LINES_BUSY = "every line of the number is busy"
    DECLINED = "the switch wants no further try of this call"


class SwitchState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changed entries only"
    COMPLETE = "the complete list"
    REMEMBERED = "the list as last held, possibly outdated"
    FAILED = "the list could not be had"


@dataclass(frozen=True, slots=True)
class CallClass:
    aim_s: float
    deadline_s: float
    worth: float
    late_worth_share: float
    width_circuits: int
    length_s: float
    pools: tuple[int, ...]  # pools form only: numbers of the pools that can serve the class


@dataclass(frozen=True, slots=True)
class Tenant:
    quota_per_s: float  # calls a second, over all call controllers, that are within its share


@dataclass(frozen=True, slots=True)
class Settings:
    """What a call controller is given at its start. There are no defaults: every figure is the operator's."""

    seed: int
    own_number: int  # -1 in the pools form
    controllers: int
    pools_form: bool
    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    release_s: float
    resend_s: float  # 0: a waiting set-up is not sent again by itself
    max_attempts: int
    probes_allowed: bool
    messages_allowed: bool
    hold_off_allowed: bool
    max_hold_off_s: float
    list_on_request: bool
    ask_within_s: float
    drain_grace_s: float
    cold_share: float
    warm_up_s: float
    tip_multiple: float
    fall_s: float
    tick_s: float

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
            _need(name, getattr(self, name), 0)
        for name in ("controllers", "max_attempts"):
            _need(name, getattr(self, name), 1)
        _need("own_number", self.own_number, -1)
        _need("cold_share", self.cold_share, 0)
        if not 0 < self.cold_share <= 1:
            raise ValueError(f"cold_share: must lie above 0 and at most 1, is {self.cold_share!r}")
        _need("tip_multiple", self.tip_multiple, 0)
        if self.tip_multiple * self.cold_share <= 0:
            raise ValueError(f"tip_multiple: must be above 0, is {self.tip_multiple!r}")
        if not self.classes:
            raise ValueError("classes: at least one call class is needed")
        if not self.pools_form and self.own_number < 0:
            raise ValueError("own_number: a network of trunk groups needs the own exchange's number")
        for place, item in enumerate(self.classes):
            where = f"classes[{place}]."
            for name in ("worth", "late_worth_share", "length_s"):
                _need(where + name, getattr(item, name), 0)
            _need(where + "width_circuits", item.width_circuits, 1)
            for name in ("aim_s", "deadline_s"):
                if _need(where + name, getattr(item, name), 0) == 0:
                    raise ValueError(f"{where}{name}: must be above 0")
            if item.aim_s > item.deadline_s:
                raise ValueError(f"{where}aim_s: {item.aim_s} lies past the deadline of {item.deadline_s}")
            if self.pools_form and not item.pools:
                raise ValueError(f"{where}pools: the pools form needs the pools of every class")
        for place, tenant in enumerate(self.tenants):
            _need(f"tenants[{place}].quota_per_s", tenant.quota_per_s, 0)


def _need(name: str, value: object, least: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise ValueError(f"{name}: missing or not a number, is {value!r}")
    if value < least:
        raise ValueError(f"{name}: must be at least {least}, is {value!r}")
    return value


@dataclass(frozen=True, slots=True)
class Load:
    """What a report says of a switch; None: not told."""

    free_circuits: float | None = None
    group_circuits: float | None = None
    active: float | None = None
    waiting: float | None = None
    busy_share: float | None = None
    wait_s: float | None = None
    capacity_per_s: float | None = None
    hold_back_share: float | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    switch: int
    number: int
    state: SwitchState
    started_at_s: float  # 0: long ago


@dataclass(frozen=True, slots=True)
class SwitchList:
    kind: ListKind
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Arrival:
    call: int
    class_index: int
    width_circuits: float
    time_left_s: float
    tenant: int
    number_called: int  # 0: none
    destination: int
    in_transit: bool
    was_cut: bool
    dialled_again: bool
    advice: int  # number of a tandem or pool; in transit the originating exchange; -1: none


@dataclass(frozen=True, slots=True)
class CallEstablished:
    call: int
    attempt: int
    switch: int
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    call: int
    attempt: int
    switch: int
    outcome: Outcome
    elapsed_s: float
    call_over: bool
    reason: Reason
    retry_after_s: float | None
    load: Load | None


@dataclass(frozen=True, slots=True)
class Withdrawn:
    call: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    switch: int
    answered: bool
    elapsed_s: float
    solicited: bool
    load: Load | None


@dataclass(frozen=True, slots=True)
class TimerDue:
    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetUp:
    call: int
    switch: int
    abandon_at_s: float


@dataclass(frozen=True, slots=True)
class Refuse:
    call: int
    hold_off_s: float  # 0: no indication to the caller


@dataclass(frozen=True, slots=True)
class Fail:
    call: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    pass


@dataclass(frozen=True, slots=True)
class Probe:
    switch: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    peer: int | None  # None: every other call controller
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str  # one line for the operators' log


Event = (
    SwitchList | Arrival | CallEstablished | AttemptEnded | Withdrawn | LoadReport | TimerDue | PeerMessage
)
Action = SetUp | Refuse | Fail | SetTimer | Subscribe | Probe | SendPeerMessage | LogMessage
