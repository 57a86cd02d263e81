"""What the fronts and legs tell the reducer, and the effects that it asks them for.

Times are whole microseconds on the monotonic clock; names ending in `_us` are lengths of time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..interface import ListKind, Outcome, Reason, SwitchState


class FailureCause(Enum):
    """Why a call ended with no answer, for the front to put into its own wire's words."""

    UNAVAILABLE = "the controller gave it up: trying again is harmless"
    LINES_BUSY = "all lines of the number are busy"
    NO_ANSWER = "no hub answered in time"
    DEADLINE_EXPIRED = "the caller's time was over before anything was tried"
    UNKNOWN_DESTINATION = "no hub serves that number"
    NETWORK_ERROR = "a fault on the way"


@dataclass(frozen=True, slots=True)
class Hub:
    name: str
    number: int
    state: SwitchState
    address: str
    started_at: int  # 0: long ago


# ---- events


@dataclass(frozen=True, slots=True)
class Arrival:
    call: int
    class_index: int
    width_circuits: float
    time_left_us: int
    tenant: int
    number_called: int
    destination: int
    in_transit: bool = False
    was_cut: bool = False
    dialled_again: bool = False
    advice: int = -1


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The caller gave its set-up up, or hung up a call that stands."""

    call: int


@dataclass(frozen=True, slots=True)
class CallEstablished:
    call: int
    hub: str
    description: str


@dataclass(frozen=True, slots=True)
class UnmatchedAnswer:
    """An answer to no set-up that is open at the hub: late, a second copy, or never asked for."""

    call: int
    hub: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    call: int
    hub: str
    outcome: Outcome
    reason: Reason = Reason.NONE
    retry_after_us: int | None = None


@dataclass(frozen=True, slots=True)
class HubsListed:
    kind: ListKind
    hubs: tuple[Hub, ...]


@dataclass(frozen=True, slots=True)
class GroupStateReported:
    hub: str
    free_circuits: float
    group_circuits: float


@dataclass(frozen=True, slots=True)
class HubDown:
    """Proof that the hub's process is gone: what stood there is cut."""

    hub: str


@dataclass(frozen=True, slots=True)
class WakeUpDue:
    """The time asked for with `WakeAt` has come."""


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The program is about to end: whatever is still owed an answer gets it now."""


Event = (
    Arrival
    | Withdrawn
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
    call: int
    hub: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Release:
    """Give an attempt up, or end a call that stands, towards the hub."""

    call: int
    hub: str


@dataclass(frozen=True, slots=True)
class Answer:
    call: int
    description: str


@dataclass(frozen=True, slots=True)
class Refuse:
    call: int
    retry_after_us: int  # 0: no indication
    cause: FailureCause


@dataclass(frozen=True, slots=True)
class Fail:
    call: int
    cause: FailureCause


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call that stood has ended: `cut` if not by its own end."""

    call: int
    cut: bool


@dataclass(frozen=True, slots=True)
class UpdateHubConnection:
    """Keep a connection to the hub (`wanted`), or let go of it; queued sends to a hub let go are dropped."""

    hub: Hub
    keep_connection: bool
    accepts_setups: bool


@dataclass(frozen=True, slots=True)
class WakeAt:
    at: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str


Effect = SetUp | Release | Answer | Refuse | Fail | CallEnded | UpdateHubConnection | WakeAt | LogMessage
