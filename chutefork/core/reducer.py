"""The one place where state changes: (state, event, now) gives the effects to carry out.

The decisions are those of `call_controller.CallController`; what is guarded here holds whatever it asks
for: one final answer a call, one attempt out, the release wait, nothing fresh to a hub that drains, the
attempt cap.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from .. import interface as api
from ..call_controller import CallController
from . import messages

SECOND = 1_000_000
ANSWER_MARGIN_US = 60_000  # before the caller stops waiting: the way here and back, and a busy loop
RELEASE_MARGIN_US = 50_000  # a release may take longer to its hub than the next set-up to another one
KEPT_US = 30 * SECOND  # how long a finished call's id is known: its late answers and releases are no news


@dataclass(slots=True)
class Call:
    """A call that is owed its final answer."""

    arrival: messages.Arrival
    answer_by: int
    attempts: int = 0
    hub: str | None = None  # where its one attempt is out
    sent_at: int = 0
    clear_at: int = 0  # release wait: no set-up before then
    held: api.SetUp | None = None  # a set-up that waits for that
    last: tuple[api.Outcome, api.Reason] | None = None


@dataclass(slots=True)
class HubEntry:
    hub: messages.Hub
    switch: int
    standing: set[int] = field(default_factory=set)


@dataclass(slots=True)
class State:
    settings: api.Settings
    controller: CallController
    calls: dict[int, Call] = field(default_factory=dict)
    standing: dict[int, str] = field(default_factory=dict)  # call -> hub
    finished: dict[int, int] = field(default_factory=dict)  # call -> when, oldest first
    hubs: dict[str, HubEntry] = field(default_factory=dict)
    names: dict[int, str] = field(default_factory=dict)  # the module's switch -> hub
    switches: dict[str, int] = field(default_factory=dict)
    timers: list[tuple[int, int, str, int, int]] = field(default_factory=list)
    sequence: int = 0
    last_switch: int = 0  # numbers of hubs that are gone are not given again
    wake_at: int = 0

    @classmethod
    def fresh(cls, settings: api.Settings) -> State:
        return cls(settings, CallController(settings))


def reduce(state: State, event: messages.Event, now: int) -> list[messages.Effect]:
    effects: list[messages.Effect] = []
    _HANDLERS[type(event)](state, event, now, effects)
    while state.finished:
        call = next(iter(state.finished))
        if state.finished[call] > now - KEPT_US:
            break
        del state.finished[call]
    if state.timers and state.timers[0][0] != state.wake_at:
        state.wake_at = state.timers[0][0]
        effects.append(messages.WakeAt(state.wake_at))
    return effects


def _timer(state: State, at: int, kind: str, key: int, serial: int = 0) -> None:
    state.sequence += 1
    heapq.heappush(state.timers, (at, state.sequence, kind, key, serial))


def _decide(state: State, event: api.Event, now: int, effects: list[messages.Effect]) -> None:
    for action in state.controller.handle(now / SECOND, event):
        if isinstance(action, api.SetUp):
            _set_up(state, action, now, effects)
        elif isinstance(action, api.Refuse):
            _finish(state, action.call, now, effects, refused=True, wait_s=action.hold_off_s)
        elif isinstance(action, api.Fail):
            _finish(state, action.call, now, effects, refused=False)
        elif isinstance(action, api.SetTimer):
            _timer(state, now + round(action.delay_s * SECOND), "token", action.token)
        elif isinstance(action, api.LogMessage):
            effects.append(messages.LogMessage(action.text))
        # Probe, Tell and Subscribe: this deployment allows none of them, its list comes by itself


def _set_up(state: State, action: api.SetUp, now: int, effects: list[messages.Effect]) -> None:
    call = state.calls.get(action.call)
    name = state.names.get(action.switch)
    entry = state.hubs.get(name) if name is not None else None
    if call is None or call.hub is not None:
        return
    if now < call.clear_at:  # guards the release wait, whatever the module asks for
        call.held = action
        _timer(state, call.clear_at, "held", action.call)
        return
    wait_us = min(round(action.abandon_at_s * SECOND) or call.answer_by, call.answer_by) - now
    sendable = entry is not None and entry.hub.state is api.SwitchState.READY
    if not sendable or call.attempts >= state.settings.max_attempts or wait_us <= 0:
        # guards against a set-up to a hub that drains or has gone since, and a seventh attempt
        call.attempts += 1
        _end_attempt(
            state, action.call, call, action.switch, api.Outcome.NOT_SENT, api.Reason.NONE, None, now, effects
        )
        return
    call.attempts += 1
    call.hub, call.sent_at, call.held = name, now, None
    _timer(state, now + wait_us, "attempt", action.call, call.attempts)
    effects.append(messages.SetUp(action.call, name, wait_us))


def _finish(
    state: State, call_id: int, now: int, effects: list[messages.Effect], refused: bool, wait_s: float = 0.0
) -> None:
    """The one final answer of a call that does not stand."""
    call = state.calls.pop(call_id, None)
    if call is None:
        return
    state.finished[call_id] = now
    if call.hub is not None:
        effects.append(messages.Release(call_id, call.hub))
    outcome, reason = call.last or (api.Outcome.NOT_SENT, api.Reason.NONE)
    why = messages.FailureCause.UNAVAILABLE
    if call.last is None and now >= call.answer_by:
        why = messages.FailureCause.DEADLINE_EXPIRED
    elif reason is api.Reason.LINES_BUSY:
        why = messages.FailureCause.LINES_BUSY
    elif outcome is api.Outcome.TIMEOUT:
        why = messages.FailureCause.NO_ANSWER
    elif outcome in (api.Outcome.ERROR, api.Outcome.CUT):
        why = messages.FailureCause.NETWORK_ERROR
    elif not any(entry.hub.number == call.arrival.destination for entry in state.hubs.values()):
        why = messages.FailureCause.UNKNOWN_DESTINATION
    if refused:
        cap_us = round(state.settings.max_hold_off_s * SECOND)
        effects.append(messages.Refuse(call_id, min(round(wait_s * SECOND), cap_us), why))
    else:
        effects.append(messages.Fail(call_id, why))


def _end_attempt(
    state: State,
    call_id: int,
    call: Call,
    switch: int,
    outcome: api.Outcome,
    reason: api.Reason,
    told_wait_us: int | None,
    now: int,
    effects: list[messages.Effect],
) -> None:
    elapsed_s = (now - call.sent_at) / SECOND if call.hub is not None else 0.0
    call.hub = None
    call.last = outcome, reason
    if outcome in (api.Outcome.TIMEOUT, api.Outcome.CUT, api.Outcome.CANCELLED):
        call.clear_at = now + round(state.settings.release_s * SECOND) + RELEASE_MARGIN_US
    told_wait_s = None if told_wait_us is None else told_wait_us / SECOND
    _decide(
        state,
        api.AttemptEnded(
            call_id, call.attempts - 1, switch, outcome, elapsed_s, False, reason, told_wait_s, None
        ),
        now,
        effects,
    )


def _on_arrival(state: State, event: messages.Arrival, now: int, effects: list[messages.Effect]) -> None:
    if event.call in state.calls or event.call in state.standing:
        effects.append(
            messages.LogMessage(f"call {event.call:016x}: set up twice, the second is passed over")
        )
        return
    if event.call in state.finished:
        # guards against late answers to the first of that id, taken for answers to this one
        effects.append(messages.Refuse(event.call, 0, messages.FailureCause.UNAVAILABLE))
        return
    left_us = max(event.time_left_us - ANSWER_MARGIN_US, 0)
    state.calls[event.call] = Call(event, now + left_us)
    _timer(state, now + left_us, "answer", event.call)
    _decide(
        state,
        api.Arrival(
            event.call,
            event.class_index,
            event.width_circuits,
            left_us / SECOND,
            event.tenant,
            event.number_called,
            event.destination,
            event.in_transit,
            event.was_cut,
            event.dialled_again,
            event.advice,
        ),
        now,
        effects,
    )


def _on_withdrawn(state: State, event: messages.Withdrawn, now: int, effects: list[messages.Effect]) -> None:
    call = state.calls.pop(event.call, None)
    if call is not None:
        state.finished[event.call] = now
        if call.hub is not None:
            effects.append(messages.Release(event.call, call.hub))
        _decide(state, api.Withdrawn(event.call), now, effects)
        return
    hub = state.standing.get(event.call)
    if hub is not None:
        _unstand(state, event.call, hub, now)
        effects.append(messages.Release(event.call, hub))
        _decide(
            state,
            api.AttemptEnded(
                event.call, 0, state.switches[hub], api.Outcome.OK, 0.0, True, api.Reason.NONE, None, None
            ),
            now,
            effects,
        )


def _unstand(state: State, call: int, hub: str, now: int) -> None:
    state.standing.pop(call, None)
    state.finished[call] = now
    entry = state.hubs.get(hub)
    if entry is not None:
        entry.standing.discard(call)


def _on_stands(
    state: State, event: messages.CallEstablished, now: int, effects: list[messages.Effect]
) -> None:
    call = state.calls.get(event.call)
    if call is None or call.hub != event.hub:
        _on_stray(state, messages.UnmatchedAnswer(event.call, event.hub), now, effects)
        return
    del state.calls[event.call]
    state.standing[event.call] = event.hub
    state.hubs[event.hub].standing.add(event.call)
    effects.append(messages.Answer(event.call, event.description))
    _decide(
        state,
        api.CallEstablished(
            event.call, call.attempts - 1, state.switches[event.hub], (now - call.sent_at) / SECOND
        ),
        now,
        effects,
    )


def _on_stray(
    state: State, event: messages.UnmatchedAnswer, now: int, effects: list[messages.Effect]
) -> None:
    call = state.calls.get(event.call)
    if call is not None and call.hub == event.hub or state.standing.get(event.call) == event.hub:
        return  # a second copy, or the call is on its way there anew: a release would end that
    if call is not None or event.call in state.finished or event.call in state.standing:
        # guards against an answer that crossed our giving up: left alone, that call would stand unowned
        effects.append(messages.Release(event.call, event.hub))


def _on_ended(state: State, event: messages.AttemptEnded, now: int, effects: list[messages.Effect]) -> None:
    call = state.calls.get(event.call)
    if call is not None:
        if call.hub == event.hub:
            _end_attempt(
                state,
                event.call,
                call,
                state.switches[event.hub],
                event.outcome,
                event.reason,
                event.retry_after_us,
                now,
                effects,
            )
        return
    if state.standing.get(event.call) == event.hub:
        _unstand(state, event.call, event.hub, now)
        effects.append(messages.CallEnded(event.call, event.outcome is not api.Outcome.OK))
        _decide(
            state,
            api.AttemptEnded(
                event.call, 0, state.switches[event.hub], event.outcome, 0.0, True, event.reason, None, None
            ),
            now,
            effects,
        )
    elif event.call not in state.finished and event.call not in state.standing:
        # A call that stood before this program's restart is over: only its caller still knows of it.
        state.finished[event.call] = now
        effects.append(messages.CallEnded(event.call, event.outcome is not api.Outcome.OK))


def _on_hubs(state: State, event: messages.HubsListed, now: int, effects: list[messages.Effect]) -> None:
    named = set()
    for hub in event.hubs:
        named.add(hub.name)
        switch = state.switches.get(hub.name)
        if switch is None:
            state.last_switch += 1
            switch = state.switches[hub.name] = state.last_switch
            state.names[switch] = hub.name
        entry = state.hubs.get(hub.name)
        if entry is None:
            entry = state.hubs[hub.name] = HubEntry(hub, switch)
        elif hub.started_at > entry.hub.started_at > 0 and entry.standing:
            _cut_all(state, entry, now, effects)  # a later life of the process: what stood there is gone
        entry.hub = hub
    if event.kind is not api.ListKind.CHANGES:
        for name, entry in state.hubs.items():
            if name not in named:
                old = entry.hub
                entry.hub = messages.Hub(
                    old.name, old.number, api.SwitchState.GONE, old.address, old.started_at
                )
    entries = tuple(
        api.Entry(state.switches[hub.name], hub.number, hub.state, hub.started_at / SECOND)
        for hub in event.hubs
    )
    _decide(state, api.SwitchList(event.kind, entries), now, effects)
    for name, entry in list(state.hubs.items()):
        if entry.hub.state is api.SwitchState.GONE:
            _cut_all(state, entry, now, effects)
        if entry.hub.number != state.settings.own_number:
            ready = entry.hub.state is api.SwitchState.READY
            effects.append(
                messages.UpdateHubConnection(entry.hub, entry.hub.state is not api.SwitchState.GONE, ready)
            )
        if entry.hub.state is api.SwitchState.GONE:
            for call_id, call in list(state.calls.items()):
                if call.hub == name:
                    _end_attempt(
                        state,
                        call_id,
                        call,
                        entry.switch,
                        api.Outcome.CUT,
                        api.Reason.NONE,
                        None,
                        now,
                        effects,
                    )
            # hubs come and go all day under ever new names; what is not listed is not remembered
            del state.hubs[name], state.switches[name], state.names[entry.switch]


def _cut_all(state: State, entry: HubEntry, now: int, effects: list[messages.Effect]) -> None:
    for call in sorted(entry.standing):
        _on_ended(state, messages.AttemptEnded(call, entry.hub.name, api.Outcome.CUT), now, effects)


def _on_group(
    state: State, event: messages.GroupStateReported, now: int, effects: list[messages.Effect]
) -> None:
    switch = state.switches.get(event.hub)
    if switch is not None:
        load = api.Load(free_circuits=event.free_circuits, group_circuits=event.group_circuits)
        _decide(state, api.LoadReport(switch, True, 0.0, False, load), now, effects)


def _on_lost(state: State, event: messages.HubDown, now: int, effects: list[messages.Effect]) -> None:
    entry = state.hubs.get(event.hub)
    if entry is not None:
        # released there too: were it a full listener and no dead process, the calls would stand unowned
        effects.extend(messages.Release(call, event.hub) for call in sorted(entry.standing))
        _cut_all(state, entry, now, effects)


def _on_due(state: State, event: messages.WakeUpDue, now: int, effects: list[messages.Effect]) -> None:
    state.wake_at = 0
    while state.timers and state.timers[0][0] <= now:
        _, _, kind, key, serial = heapq.heappop(state.timers)
        if kind == "token":
            _decide(state, api.TimerDue(key), now, effects)
            continue
        call = state.calls.get(key)
        if call is None:
            continue
        if kind == "held" and call.held is not None and call.hub is None:
            action, call.held = call.held, None
            _set_up(state, action, now, effects)
        elif kind == "attempt" and call.hub is not None and call.attempts == serial:
            hub = call.hub
            effects.append(messages.Release(key, hub))
            _end_attempt(
                state,
                key,
                call,
                state.switches[hub],
                api.Outcome.TIMEOUT,
                api.Reason.NONE,
                None,
                now,
                effects,
            )
        elif kind == "answer":
            # guards against a call that the module lets lie: its caller is owed an answer before it leaves
            _finish(state, key, now, effects, refused=True)
            _decide(state, api.Withdrawn(key), now, effects)


def _on_leave(state: State, event: messages.Shutdown, now: int, effects: list[messages.Effect]) -> None:
    for call in list(state.calls):
        _finish(state, call, now, effects, refused=True, wait_s=state.settings.max_hold_off_s)
        _decide(state, api.Withdrawn(call), now, effects)


_HANDLERS = {
    messages.Arrival: _on_arrival,
    messages.Withdrawn: _on_withdrawn,
    messages.CallEstablished: _on_stands,
    messages.UnmatchedAnswer: _on_stray,
    messages.AttemptEnded: _on_ended,
    messages.HubsListed: _on_hubs,
    messages.GroupStateReported: _on_group,
    messages.HubDown: _on_lost,
    messages.WakeUpDue: _on_due,
    messages.Shutdown: _on_leave,
}
