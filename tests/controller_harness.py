"""Test harness: one call controller of exchange 0, with exchanges 1 to 4 as its destinations."""

from dataclasses import replace

from chutefork import (
    Arrival,
    AttemptEnded,
    CallClass,
    CallController,
    CallEstablished,
    Entry,
    Fail,
    ListKind,
    Load,
    LoadReport,
    Outcome,
    Reason,
    Refuse,
    SetTimer,
    Settings,
    SetUp,
    SwitchList,
    SwitchState,
    TimerDue,
    Withdrawn,
)

CLASS = CallClass(
    aim_s=2.0, deadline_s=9.0, worth=1.0, late_worth_share=0.2, width_circuits=1, length_s=10.0, pools=()
)
SETTINGS = Settings(
    seed=7,
    own_number=0,
    controllers=5,
    pools_form=False,
    classes=(CLASS,),
    tenants=(),
    over_share_worth=0.1,
    release_s=0.4,
    resend_s=0.0,
    max_attempts=5,
    probes_allowed=False,
    messages_allowed=False,
    hold_off_allowed=True,
    max_hold_off_s=2.0,
    list_on_request=False,
    ask_within_s=10.0,
    drain_grace_s=0.5,
    cold_share=0.3,
    warm_up_s=12.0,
    tip_multiple=3.0,
    fall_s=1.0,
    tick_s=0.005,
)


class ControllerHarness:
    def __init__(self, exchanges=4, circuits=20.0, **changes):
        self.settings = replace(SETTINGS, **changes)
        self.controller = CallController(self.settings)
        self.now = 100.0
        self.next_call = 0
        self.list(
            *[(100 + n, n, SwitchState.READY, 0.0) for n in range(exchanges + 1)], kind=ListKind.REMEMBERED
        )
        for n in range(1, exchanges + 1):
            self.circuits(n, circuits)

    def at(self, seconds):
        self.now += seconds
        return self

    def tell(self, event):
        return self.controller.handle(self.now, event)

    def list(self, *entries, kind=ListKind.CHANGES):
        return self.tell(SwitchList(kind, tuple(Entry(*entry) for entry in entries)))

    def circuits(self, number, free, size=20.0):
        load = Load(free_circuits=free, group_circuits=size)
        return self.tell(LoadReport(100 + number, True, 0.0, False, load))

    def call(self, dest=1, left=3.0, transit=False, advice=-1, called=0, width=1, tenant=0, cls=0):
        self.next_call += 1
        return self.tell(
            Arrival(self.next_call, cls, width, left, tenant, called, dest, transit, False, False, advice)
        )

    def stands(self, call, switch, attempt=0, elapsed=0.1):
        return self.tell(CallEstablished(call, attempt, switch, elapsed))

    def ended(self, call, switch, outcome, reason=Reason.NONE, attempt=0, over=False, wait=None, load=None):
        return self.tell(AttemptEnded(call, attempt, switch, outcome, 0.1, over, reason, wait, load))

    def withdrawn(self, call):
        return self.tell(Withdrawn(call))

    def due(self, token):
        return self.tell(TimerDue(token))

    def exchange(self, number):
        return self.controller.exchanges[100 + number]


def of(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def sends(actions):
    return [action.switch for action in of(actions, SetUp)]


def answers(actions):
    return of(actions, Refuse) + of(actions, Fail)


__all__ = [
    "CLASS",
    "SETTINGS",
    "ControllerHarness",
    "Entry",
    "Fail",
    "ListKind",
    "Load",
    "Outcome",
    "Reason",
    "Refuse",
    "SetTimer",
    "SetUp",
    "SwitchState",
    "answers",
    "of",
    "sends",
]
