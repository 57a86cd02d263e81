"""Routing and admission decisions for the call controllers of a private voice network."""

from .interface import (
    Arrival,
    AttemptEnded,
    CallClass,
    Entry,
    Fail,
    ListKind,
    Load,
    Note,
    Outcome,
    PeerMessage,
    Probe,
    Reason,
    Refuse,
    Report,
    SetTimer,
    Settings,
    SetUp,
    Stands,
    Subscribe,
    SwitchList,
    SwitchState,
    Tell,
    Tenant,
    TimerDue,
    Withdrawn,
)
from .rules import CallController

__all__ = [
    "Arrival", "AttemptEnded", "CallClass", "CallController", "Entry", "Fail", "ListKind", "Load", "Note",
    "Outcome", "PeerMessage", "Probe", "Reason", "Refuse", "Report", "SetTimer", "Settings", "SetUp",
    "Stands", "Subscribe", "SwitchList", "SwitchState", "Tell", "Tenant", "TimerDue", "Withdrawn",
]
