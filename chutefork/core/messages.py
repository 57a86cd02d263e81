"""What the fronts and legs tell the reducer, and the effects that it asks them for.

Times are whole microseconds on the monotonic clock; names ending in `_us` are lengths of time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..interface import ListKind, Outcome, Reason, SwitchState


class Why(Enum):
    """Why a call ended with no answer, for the front to put into its own wire's words."""

    BUSY = "the controller gave it up: trying again is harmless"
    LINES_BUSY = "all lines of the number are busy"
    NO_ANSWER = "no hub answered in time"
    DEADLINE = "the caller's time was over before anything was tried"
    UNKNOWN_DESTINATION = "no hub serves that number"
    FAULT = "a fault on the way"


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
    width: float
    left_us: int
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
class Stands:
    call: int
    hub: str
    description: str


@dataclass(frozen=True, slots=True)
class Stray:
    """An answer to no set-up that is open at the hub: late, a second copy, or never asked for."""

    call: int
    hub: str


@dataclass(frozen=True, slots=True)
class Ended:
    call: int
    hub: str
    outcome: Outcome
    reason: Reason = Reason.NONE
    told_wait_us: int | None = None


@dataclass(frozen=True, slots=True)
class HubsListed:
    kind: ListKind
    hubs: tuple[Hub, ...]


@dataclass(frozen=True, slots=True)
class GroupTold:
    hub: str
    free: float
    size: float


@dataclass(frozen=True, slots=True)
class HubLost:
    """Proof that the hub's process is gone: what stood there is cut."""

    hub: str


@dataclass(frozen=True, slots=True)
class Due:
    """The time asked for with `WakeAt` has come."""


@dataclass(frozen=True, slots=True)
class Leave:
    """The program is about to end: whatever is still owed an answer gets it now."""


Event = Arrival | Withdrawn | Stands | Stray | Ended | HubsListed | GroupTold | HubLost | Due | Leave

# ---- effects


@dataclass(frozen=True, slots=True)
class SetUp:
    call: int
    hub: str
    wait_us: int


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
    wait_us: int  # 0: no indication
    why: Why


@dataclass(frozen=True, slots=True)
class Fail:
    call: int
    why: Why


@dataclass(frozen=True, slots=True)
class Over:
    """A call that stood has ended: `cut` if not by its own end."""

    call: int
    cut: bool


@dataclass(frozen=True, slots=True)
class Reach:
    """Keep a connection to the hub (`wanted`), or let go of it; queued sends to a hub let go are dropped."""

    hub: Hub
    wanted: bool
    sends: bool


@dataclass(frozen=True, slots=True)
class WakeAt:
    at: int


@dataclass(frozen=True, slots=True)
class Note:
    text: str


Effect = SetUp | Release | Answer | Refuse | Fail | Over | Reach | WakeAt | Note
