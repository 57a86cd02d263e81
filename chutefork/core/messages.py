"""Events that the protocol frontends and backends pass to the reducer, and effects that it returns to them.

A frontend serves callers, a backend connects to hubs. Points in time are whole microseconds on the monotonic
clock; names that end in `_us` are durations in microseconds. `call` is the frontend's number of a call; a
`hub` that is a `str` is the name of a `Hub`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..interface import ListKind, Outcome, Reason, SwitchState


class FailureCause(Enum):
    """Why a call was not established; each frontend translates it into a cause or code of its protocol."""

    UNAVAILABLE = "refused by the controller; a redial is harmless"
    LINES_BUSY = "all lines of the number are busy"
    NO_ANSWER = "no hub answered in time"
    DEADLINE_EXPIRED = "the caller's time ran out before the first attempt"
    UNKNOWN_DESTINATION = "no hub serves that number"
    NETWORK_ERROR = "signalling error or lost connection"


@dataclass(frozen=True, slots=True)
class Hub:
    """A telephone exchange that calls can be sent to, as the membership list describes it."""

    name: str  # unique; a restarted process may keep it
    number: int  # of the exchange
    state: SwitchState
    address: str  # host:port; for SIP over TCP with `;tcp` appended
    started_at: int  # 0: long ago


# ---- events


@dataclass(frozen=True, slots=True)
class Arrival:
    """Event: a caller has sent a set-up; it needs one final answer."""

    call: int
    class_index: int  # in the settings' classes
    width_circuits: float  # circuits that the call occupies
    time_left_us: int  # how much longer the caller waits
    tenant: int  # index in the settings' tenants
    number_called: int  # 0: none
    destination: int  # number of the exchange
    in_transit: bool = False  # sent here by another exchange, with this one as its tandem
    was_cut: bool = False  # set up again after it was cut
    dialled_again: bool = False  # a redial by the caller
    advice: int = -1  # number of the advised tandem; in transit the originating exchange's; -1: none


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Event: the caller has cancelled its set-up, or hung up an established call."""

    call: int


@dataclass(frozen=True, slots=True)
class UnknownCallReleased:
    """Event: a caller has released a call that its frontend does not know."""

    call: int


@dataclass(frozen=True, slots=True)
class CallEstablished:
    """Event: the hub has accepted the call."""

    call: int
    hub: str
    description: str  # the hub's session description, for the caller


@dataclass(frozen=True, slots=True)
class UnmatchedAnswer:
    """Event: an answer that matches no open set-up at the hub: late, duplicated, or to an unknown call."""

    call: int
    hub: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: the attempt, or the established call, at the hub has ended."""

    call: int
    hub: str
    outcome: Outcome
    reason: Reason = Reason.NONE
    retry_after_us: int | None = None  # wait that the hub asked for; None: none given


@dataclass(frozen=True, slots=True)
class HubsListed:
    """Event: a membership list, or with `CHANGES` its changed entries, has arrived."""

    kind: ListKind
    hubs: tuple[Hub, ...]


@dataclass(frozen=True, slots=True)
class GroupStateReported:
    """Event: the hub has reported the state of the trunk group towards it."""

    hub: str
    free_circuits: float
    group_circuits: float  # size of the group


@dataclass(frozen=True, slots=True)
class HubDown:
    """Event: the hub's process is considered gone, so that its established calls are cut."""

    hub: str


@dataclass(frozen=True, slots=True)
class WakeUpDue:
    """Event: the time requested with `WakeAt` has come."""


@dataclass(frozen=True, slots=True)
class Shutdown:
    """Event: the program is about to exit; every call without a final answer is refused now."""


Event = (
    Arrival
    | Withdrawn
    | UnknownCallReleased
    | CallEstablished
    | UnmatchedAnswer
    | AttemptEnded
    | HubsListed
    | GroupStateReported
    | HubDown
    | WakeUpDue
    | Shutdown
)

# ---- effects


@dataclass(frozen=True, slots=True)
class SetUp:
    """Effect: send a set-up of the call to the hub."""

    call: int
    hub: str
    timeout_us: int  # the attempt is released if it has no answer within this time


@dataclass(frozen=True, slots=True)
class Release:
    """Effect: abandon the attempt, or end the established call, at the hub."""

    call: int
    hub: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Effect, a final answer: report to the caller that the call is established."""

    call: int
    description: str  # the hub's session description


@dataclass(frozen=True, slots=True)
class Refuse:
    """Effect, a final answer: refuse the call."""

    call: int
    retry_after_us: int  # wait before a redial that the caller is asked for; 0: not indicated
    cause: FailureCause


@dataclass(frozen=True, slots=True)
class Fail:
    """Effect, a final answer: report to the caller that the call has failed."""

    call: int
    cause: FailureCause


@dataclass(frozen=True, slots=True)
class CallEnded:
    """Effect: report to the caller that its established call has ended."""

    call: int
    cut: bool  # False: ended normally by the hub's side


@dataclass(frozen=True, slots=True)
class UpdateHubConnection:
    """Effect: keep a connection to the hub, or close it; set-ups queued for a closed one are dropped."""

    hub: Hub
    keep_connection: bool
    accepts_setups: bool  # False while the hub drains or is gone: queued set-ups are not sent


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Effect: pass a `WakeUpDue` event at this time, in place of the one requested before."""

    at: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Effect: write a `note` line to the log."""

    text: str


Effect = SetUp | Release | Answer | Refuse | Fail | CallEnded | UpdateHubConnection | WakeAt | LogMessage
