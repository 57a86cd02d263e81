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
    """Drives the controller with events at a simulated time and returns the actions of each event.

    The switch that serves exchange n is numbered 100 + n. Calls are numbered from 1;
    `last_call` is the number of the latest one.
    """

    def __init__(self, exchanges=4, circuits=20.0, **changes):
        """`exchanges`: number of remote ones; `circuits`: free ones of each trunk group; `changes`: fields of
        SETTINGS to replace."""
        self.settings = replace(SETTINGS, **changes)
        self.controller = CallController(self.settings)
        self.now = 100.0
        self.last_call = 0
        self.update_list(
            *[(100 + n, n, SwitchState.READY, 0.0) for n in range(exchanges + 1)], kind=ListKind.REMEMBERED
        )
        for n in range(1, exchanges + 1):
            self.report_circuits(n, circuits)

    def advance(self, seconds):
        """Advances the time and returns the harness, so that an event can be chained."""
        self.now += seconds
        return self

    def handle(self, event):
        return self.controller.handle(self.now, event)

    def update_list(self, *entries, kind=ListKind.CHANGES):
        """Each entry is a tuple of the fields of `Entry`."""
        return self.handle(SwitchList(kind, tuple(Entry(*entry) for entry in entries)))

    def report_circuits(self, number, free, size=20.0):
        load = Load(free_circuits=free, group_circuits=size)
        return self.handle(LoadReport(100 + number, True, 0.0, False, load))

    def call(
        self,
        dest=1,
        time_left_s=3.0,
        in_transit=False,
        advice=-1,
        number_called=0,
        width_circuits=1,
        tenant=0,
        class_index=0,
    ):
        self.last_call += 1
        return self.handle(
            Arrival(
                self.last_call,
                class_index,
                width_circuits,
                time_left_s,
                tenant,
                number_called,
                dest,
                in_transit,
                False,
                False,
                advice,
            )
        )

    def established(self, call, switch, attempt=0, elapsed_s=0.1):
        return self.handle(CallEstablished(call, attempt, switch, elapsed_s))

    def ended(
        self,
        call,
        switch,
        outcome,
        reason=Reason.NONE,
        attempt=0,
        call_over=False,
        retry_after_s=None,
        load=None,
    ):
        return self.handle(
            AttemptEnded(call, attempt, switch, outcome, 0.1, call_over, reason, retry_after_s, load)
        )

    def withdrawn(self, call):
        return self.handle(Withdrawn(call))

    def expire_timer(self, token):
        return self.handle(TimerDue(token))

    def exchange(self, number):
        """The controller's state of a remote exchange."""
        return self.controller.exchanges[100 + number]


def actions_of_type(actions, kind):
    """Those of the actions that are instances of the class, in their order."""
    return [action for action in actions if isinstance(action, kind)]


def sent_to(actions):
    """The switches to which the actions send set-ups."""
    return [action.switch for action in actions_of_type(actions, SetUp)]


def final_answers(actions):
    """The refusals and failures among the actions."""
    return actions_of_type(actions, Refuse) + actions_of_type(actions, Fail)


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
    "actions_of_type",
    "final_answers",
    "sent_to",
]
