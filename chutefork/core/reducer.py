"""The single state machine: `reduce` applies one event to the state and returns the effects to carry out.

Routing and admission are decided by `call_controller.CallController`. This module enforces invariants that
hold whatever the controller asks for: exactly one final answer per call, at most one open attempt per call,
no set-up during the release wait, no new set-up to a draining hub, and at most `max_attempts` attempts.

Times are whole microseconds on the monotonic clock; names ending in `_us` or `_s` are durations.
"""

from __future__ import annotations

import heapq

from .. import interface as api
from . import messages
from .state import US_PER_SECOND, Call, HubEntry, State

# Subtracted from the time the caller waits: transit in both directions, and delay in a busy event loop.
ANSWER_MARGIN_US = 60_000
# Added to the release wait: a release may take longer to reach its hub than the next set-up takes to reach
# another one.
RELEASE_MARGIN_US = 50_000
# How long a hub gets no further attempt of a call after it has ended one: a second copy of its message, which
# may come some milliseconds late, would be taken for the end of the next attempt.
SAME_HUB_PAUSE_US = 100_000
UNCERTAIN_OUTCOMES = (api.Outcome.TIMEOUT, api.Outcome.CUT, api.Outcome.CANCELLED)


def reduce(state: State, event: messages.Event, now: int) -> list[messages.Effect]:
    """Applies `event` to `state` in place and returns the effects, in the order in which to carry them out.

    `now` is the current time. Also removes expired ids of finished calls, and requests a wake-up with
    `WakeAt` if the earliest timer is due at another time than the latest request said.
    """
    effects: list[messages.Effect] = []
    _HANDLERS[type(event)](state, event, now, effects)
    state.forget_expired(now)
    if state.timers and state.timers[0][0] != state.wake_at:
        state.wake_at = state.timers[0][0]
        effects.append(messages.WakeAt(state.wake_at))
    return effects


def _run_controller(state: State, event: api.Event, now: int, effects: list[messages.Effect]) -> None:
    """Passes an event to the controller and carries out the actions that it returns."""
    for action in state.controller.handle(now / US_PER_SECOND, event):
        if isinstance(action, api.SetUp):
            _start_attempt(state, action, now, effects)
        elif isinstance(action, api.Refuse):
            _finish_with_failure(
                state, action.call, now, effects, refused=True, retry_after_s=action.hold_off_s
            )
        elif isinstance(action, api.Fail):
            _finish_with_failure(state, action.call, now, effects, refused=False)
        elif isinstance(action, api.SetTimer):
            state.add_timer(now + round(action.delay_s * US_PER_SECOND), "controller", action.token)
        elif isinstance(action, api.LogMessage):
            effects.append(messages.LogMessage(action.text))
        # Probe, SendPeerMessage and Subscribe are ignored: this deployment allows neither probes nor messages
        # between controllers (limits `probes` and `peers`), and hub lists arrive without a request.


def _start_attempt(state: State, action: api.SetUp, now: int, effects: list[messages.Effect]) -> None:
    """Carries out the controller's request for a set-up.

    Sends it to the hub with an attempt timeout, defers it to the end of the release wait, or ends the attempt
    at once as NOT_SENT. Ignored if the call has its final answer or has an open attempt.
    """
    call = state.calls.get(action.call)
    hub_name = state.hub_by_switch.get(action.switch)
    entry = state.hubs.get(hub_name) if hub_name is not None else None
    if call is None or call.pending_hub is not None:
        return
    earliest = call.release_wait_until
    if hub_name == call.last_hub:
        earliest = max(earliest, call.last_hub_until)
    if now < earliest:  # the waits hold whatever the controller asks for
        call.deferred_setup = action
        state.add_timer(earliest, "deferred_setup", action.call)
        return
    timeout_us = min(round(action.abandon_at_s * US_PER_SECOND) or call.answer_by, call.answer_by) - now
    accepts_setups = entry is not None and entry.hub.state is api.SwitchState.READY
    if not accepts_setups or call.attempts >= state.settings.max_attempts or timeout_us <= 0:
        # Prevents a set-up to a hub that is draining or has gone since the controller decided, an attempt
        # beyond max_attempts, and a set-up with no time left.
        call.attempts += 1
        _end_attempt(
            state, action.call, call, action.switch, api.Outcome.NOT_SENT, api.Reason.NONE, None, now, effects
        )
        return
    call.attempts += 1
    call.pending_hub = call.last_hub = hub_name
    call.sent_at, call.deferred_setup = now, None
    state.add_timer(now + timeout_us, "attempt_timeout", action.call, call.attempts)
    effects.append(messages.SetUp(action.call, hub_name, timeout_us))


def _finish_with_failure(
    state: State,
    call_id: int,
    now: int,
    effects: list[messages.Effect],
    refused: bool,
    retry_after_s: float = 0.0,
) -> None:
    """Gives a call that was not established its final answer and releases its open attempt, if any.

    The answer is `Refuse` with the given retry-after time, at most `max_hold_off_s`, if `refused` is true,
    else `Fail`. Its cause follows from the latest attempt, the deadline and the listed hubs. Does nothing
    if the call has its final answer already.
    """
    call = state.calls.pop(call_id, None)
    if call is None:
        return
    state.finish(call_id, call, now)
    if call.pending_hub is not None:
        effects.append(messages.Release(call_id, call.pending_hub))
    outcome, reason = call.last_result or (api.Outcome.NOT_SENT, api.Reason.NONE)
    cause = messages.FailureCause.UNAVAILABLE
    if call.last_result is None and now >= call.answer_by:
        cause = messages.FailureCause.DEADLINE_EXPIRED
    elif reason is api.Reason.LINES_BUSY:
        cause = messages.FailureCause.LINES_BUSY
    elif outcome is api.Outcome.TIMEOUT:
        cause = messages.FailureCause.NO_ANSWER
    elif outcome in (api.Outcome.ERROR, api.Outcome.CUT):
        cause = messages.FailureCause.NETWORK_ERROR
    elif not any(entry.hub.number == call.arrival.destination for entry in state.hubs.values()):
        cause = messages.FailureCause.UNKNOWN_DESTINATION
    if refused:
        max_retry_after_us = round(state.settings.max_hold_off_s * US_PER_SECOND)
        effects.append(
            messages.Refuse(call_id, min(round(retry_after_s * US_PER_SECOND), max_retry_after_us), cause)
        )
    else:
        effects.append(messages.Fail(call_id, cause))


def _end_attempt(
    state: State,
    call_id: int,
    call: Call,
    switch: int,
    outcome: api.Outcome,
    reason: api.Reason,
    retry_after_us: int | None,
    now: int,
    effects: list[messages.Effect],
) -> None:
    """Ends the attempt of a call that is not established, and lets the controller decide how to go on.

    `switch` is the controller's number of the hub. Outcomes that leave a release under way (TIMEOUT, CUT and
    CANCELLED) start the release wait; all start the pause for the same hub. `retry_after_us` is what the hub
    asked for; None: nothing.
    """
    elapsed_s = (now - call.sent_at) / US_PER_SECOND if call.pending_hub is not None else 0.0
    if call.pending_hub is not None:
        call.last_hub_until = now + SAME_HUB_PAUSE_US
    call.pending_hub = None
    call.last_result = outcome, reason
    if outcome in UNCERTAIN_OUTCOMES:
        call.may_run = True
        call.release_wait_until = now + round(state.settings.release_s * US_PER_SECOND) + RELEASE_MARGIN_US
    retry_after_s = None if retry_after_us is None else retry_after_us / US_PER_SECOND
    _run_controller(
        state,
        api.AttemptEnded(
            call_id, call.attempts - 1, switch, outcome, elapsed_s, False, reason, retry_after_s, None
        ),
        now,
        effects,
    )


def _on_arrival(state: State, event: messages.Arrival, now: int, effects: list[messages.Effect]) -> None:
    """Handles a new call: starts its answer deadline and passes it to the controller.

    A second set-up with the id of a call in progress or established is logged and ignored; one with the id of
    a call that finished recently is refused.
    """
    if event.call in state.calls or event.call in state.established:
        effects.append(
            messages.LogMessage(f"call {event.call:016x}: set up twice, the second set-up is ignored")
        )
        return
    if event.call in state.finished_at:
        # If it were sent on, a late answer to the first call with this id could be mistaken for its answer.
        effects.append(messages.Refuse(event.call, 0, messages.FailureCause.UNAVAILABLE))
        return
    remaining_us = max(event.time_left_us - ANSWER_MARGIN_US, 0)
    state.calls[event.call] = Call(event, now + remaining_us)
    state.add_timer(now + remaining_us, "answer_deadline", event.call)
    _run_controller(
        state,
        api.Arrival(
            event.call,
            event.class_index,
            event.width_circuits,
            remaining_us / US_PER_SECOND,
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
    """Handles a caller that withdraws its set-up or hangs up an established call.

    Releases the call at its hub, if it has one, and informs the controller. Ignored for a call that is
    neither in progress nor established.
    """
    call = state.calls.pop(event.call, None)
    if call is not None:
        state.finish(event.call, call, now)
        if call.pending_hub is not None:
            effects.append(messages.Release(event.call, call.pending_hub))
        _run_controller(state, api.Withdrawn(event.call), now, effects)
        return
    hub = state.established.get(event.call)
    if hub is not None:
        _remove_established(state, event.call, hub, now)
        effects.append(messages.Release(event.call, hub))
        _run_controller(
            state,
            api.AttemptEnded(
                event.call,
                0,
                state.switch_by_hub[hub],
                api.Outcome.OK,
                0.0,
                True,
                api.Reason.NONE,
                None,
                None,
            ),
            now,
            effects,
        )


def _on_unknown_call_released(
    state: State, event: messages.UnknownCallReleased, now: int, effects: list[messages.Effect]
) -> None:
    """Handles a caller that releases a call which its frontend does not know.

    The call may stand since before this program's restart, or have been set up by another controller: only
    its hub knows it. It is released at every hub, also at those listed soon after, since a release of a call
    that does not stand has no effect. Ignored for a call that is known here after all or finished recently.
    """
    if event.call in state.finished_at:
        return
    if event.call in state.calls or event.call in state.established:
        _on_withdrawn(state, messages.Withdrawn(event.call), now, effects)
        return
    state.finished_at[event.call] = state.unknown_released_at[event.call] = now
    effects.extend(messages.Release(event.call, name) for name in sorted(state.hubs))


def _remove_established(state: State, call_id: int, hub: str, now: int) -> None:
    """Marks an established call as finished and removes it from its hub."""
    state.established.pop(call_id, None)
    state.finished_at[call_id] = now
    entry = state.hubs.get(hub)
    if entry is not None:
        entry.established_calls.pop(call_id, None)


def _on_established(
    state: State, event: messages.CallEstablished, now: int, effects: list[messages.Effect]
) -> None:
    """Handles a hub's answer that establishes a call: sends the caller `Answer` and informs the controller.

    An answer from a hub with which the call has no open attempt is handled as an unmatched one.
    """
    call = state.calls.get(event.call)
    if call is None or call.pending_hub != event.hub:
        _on_unmatched_answer(state, messages.UnmatchedAnswer(event.call, event.hub), now, effects)
        return
    del state.calls[event.call]
    state.established[event.call] = event.hub
    state.hubs[event.hub].established_calls[event.call] = now
    effects.append(messages.Answer(event.call, event.description))
    _run_controller(
        state,
        api.CallEstablished(
            event.call,
            call.attempts - 1,
            state.switch_by_hub[event.hub],
            (now - call.sent_at) / US_PER_SECOND,
        ),
        now,
        effects,
    )


def _on_unmatched_answer(
    state: State, event: messages.UnmatchedAnswer, now: int, effects: list[messages.Effect]
) -> None:
    """Handles an answer that matches no open attempt.

    Releases the call at that hub if it is finished, or in progress or established without that hub. An answer
    with an unknown id is ignored.
    """
    call = state.calls.get(event.call)
    if call is not None and call.pending_hub == event.hub or state.established.get(event.call) == event.hub:
        return  # a duplicate, or the call is being set up there again: a release would end it
    if call is not None or state.is_finished(event.call) or event.call in state.established:
        # The answer crossed the release of its attempt. Without another release the call would stay up at the
        # hub without a caller.
        effects.append(messages.Release(event.call, event.hub))


def _on_attempt_ended(
    state: State, event: messages.AttemptEnded, now: int, effects: list[messages.Effect]
) -> None:
    """Handles the end of an attempt or of an established call at a hub.

    The end of an attempt goes to the controller, which decides how to go on. The end of an established call
    goes to its caller as `CallEnded` and to the controller. The event is ignored if the call is known but not
    at that hub; if its id is unknown, the caller gets `CallEnded`.
    """
    call = state.calls.get(event.call)
    if call is not None:
        if call.pending_hub == event.hub:
            _end_attempt(
                state,
                event.call,
                call,
                state.switch_by_hub[event.hub],
                event.outcome,
                event.reason,
                event.retry_after_us,
                now,
                effects,
            )
        return
    if state.established.get(event.call) == event.hub:
        _remove_established(state, event.call, event.hub, now)
        effects.append(messages.CallEnded(event.call, event.outcome is not api.Outcome.OK))
        _run_controller(
            state,
            api.AttemptEnded(
                event.call,
                0,
                state.switch_by_hub[event.hub],
                event.outcome,
                0.0,
                True,
                event.reason,
                None,
                None,
            ),
            now,
            effects,
        )
    elif event.call not in state.established and not state.is_finished(event.call):
        # A call established before this program restarted has ended: only its caller still knows the call.
        state.finished_at[event.call] = now
        effects.append(messages.CallEnded(event.call, event.outcome is not api.Outcome.OK))


def _on_hubs_listed(
    state: State, event: messages.HubsListed, now: int, effects: list[messages.Effect]
) -> None:
    """Handles a hub list: adds, updates and removes hubs, and passes the list to the controller.

    With any kind but CHANGES, hubs that are not listed are gone. The calls established at a hub that is gone
    are cut, at one that has restarted those from before its start; attempts open at a hub that is gone end
    with CUT. Every hub but those of this exchange's own number gets an `UpdateHubConnection` effect. Calls
    that are not known here and were released a moment ago are released at new hubs too.
    """
    listed_names = set()
    new_names = [hub.name for hub in event.hubs if hub.name not in state.hubs]
    for hub in event.hubs:
        listed_names.add(hub.name)
        switch = state.switch_by_hub.get(hub.name)
        if switch is None:
            state.last_switch_number += 1
            switch = state.switch_by_hub[hub.name] = state.last_switch_number
            state.hub_by_switch[switch] = hub.name
        entry = state.hubs.get(hub.name)
        if entry is None:
            entry = state.hubs[hub.name] = HubEntry(hub, switch)
        elif hub.started_at > entry.hub.started_at:
            _on_hub_restarted(state, entry, hub.started_at, now, effects)
        entry.hub = hub
    if event.kind is not api.ListKind.CHANGES:
        for name, entry in state.hubs.items():
            if name not in listed_names:
                previous = entry.hub
                entry.hub = messages.Hub(
                    previous.name,
                    previous.number,
                    api.SwitchState.GONE,
                    previous.address,
                    previous.started_at,
                )
    entries = tuple(
        api.Entry(state.switch_by_hub[hub.name], hub.number, hub.state, hub.started_at / US_PER_SECOND)
        for hub in event.hubs
    )
    _run_controller(state, api.SwitchList(event.kind, entries), now, effects)
    for name, entry in list(state.hubs.items()):
        if entry.hub.state is api.SwitchState.GONE:
            _cut_calls(state, name, list(entry.established_calls), now, effects)
        if entry.hub.number != state.settings.own_number:
            ready = entry.hub.state is api.SwitchState.READY
            effects.append(
                messages.UpdateHubConnection(entry.hub, entry.hub.state is not api.SwitchState.GONE, ready)
            )
        if entry.hub.state is api.SwitchState.GONE:
            for call_id, call in list(state.calls.items()):
                if call.pending_hub == name:
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
            # Hubs keep appearing under new names all day. Removing those that are gone keeps the state from
            # growing without limit.
            del state.hubs[name], state.switch_by_hub[name], state.hub_by_switch[entry.switch]
    effects.extend(
        messages.Release(call_id, name)
        for name in new_names
        if name in state.hubs
        for call_id in state.unknown_released_at
    )


def _on_hub_restarted(
    state: State, entry: HubEntry, started_at: int, now: int, effects: list[messages.Effect]
) -> None:
    """Cuts the calls that were established at the hub's previous process, before `started_at`.

    The list tells of a restart late: calls established since then are up at the new process and stay.
    """
    lost_calls = [
        call_id for call_id, established_at in entry.established_calls.items() if established_at < started_at
    ]
    kept_count = len(entry.established_calls) - len(lost_calls)
    effects.append(
        messages.LogMessage(
            f"hub {entry.hub.name} restarted: {len(lost_calls)} calls from before are ended,"
            f" {kept_count} since then are kept"
        )
    )
    _release_and_cut_calls(state, entry.hub.name, lost_calls, now, effects)


def _release_and_cut_calls(
    state: State, hub_name: str, call_ids: list[int], now: int, effects: list[messages.Effect]
) -> None:
    """Cuts the calls and releases them at the hub too: if its process is alive, they would stay up there."""
    effects.extend(messages.Release(call_id, hub_name) for call_id in sorted(call_ids))
    _cut_calls(state, hub_name, call_ids, now, effects)


def _cut_calls(
    state: State, hub_name: str, call_ids: list[int], now: int, effects: list[messages.Effect]
) -> None:
    """Ends the calls, which are established at the hub, with outcome CUT, in the order of their ids."""
    for call_id in sorted(call_ids):
        _on_attempt_ended(state, messages.AttemptEnded(call_id, hub_name, api.Outcome.CUT), now, effects)


def _on_group_state(
    state: State, event: messages.GroupStateReported, now: int, effects: list[messages.Effect]
) -> None:
    """Handles a report of the circuits in the trunk group to a hub.

    Passes it to the controller as an unsolicited load report. Ignored for a hub that is not listed.
    """
    switch = state.switch_by_hub.get(event.hub)
    if switch is not None:
        load = api.Load(free_circuits=event.free_circuits, group_circuits=event.group_circuits)
        _run_controller(state, api.LoadReport(switch, True, 0.0, False, load), now, effects)


def _on_hub_down(state: State, event: messages.HubDown, now: int, effects: list[messages.Effect]) -> None:
    """Handles a hub that was found to be down: cuts the calls established there.

    Open attempts are left alone: they end by their own `AttemptEnded` events or timeouts.
    """
    entry = state.hubs.get(event.hub)
    if entry is not None:
        _release_and_cut_calls(state, event.hub, list(entry.established_calls), now, effects)


def _on_wake_up_due(
    state: State, event: messages.WakeUpDue, now: int, effects: list[messages.Effect]
) -> None:
    """Handles the wake-up requested with `WakeAt`: fires the timers that are due, in the order of due time.

    Sends deferred set-ups, releases attempts that timed out, refuses calls whose final answer is due, and
    passes the controller's own timers to it. Timers of calls or attempts that are over do nothing.
    """
    state.wake_at = 0
    while state.timers and state.timers[0][0] <= now:
        _, _, kind, key, attempt = heapq.heappop(state.timers)
        if kind == "controller":
            _run_controller(state, api.TimerDue(key), now, effects)
            continue
        call = state.calls.get(key)
        if call is None:
            continue
        if kind == "deferred_setup" and call.deferred_setup is not None and call.pending_hub is None:
            setup, call.deferred_setup = call.deferred_setup, None
            _start_attempt(state, setup, now, effects)
        elif kind == "attempt_timeout" and call.pending_hub is not None and call.attempts == attempt:
            hub = call.pending_hub
            effects.append(messages.Release(key, hub))
            _end_attempt(
                state,
                key,
                call,
                state.switch_by_hub[hub],
                api.Outcome.TIMEOUT,
                api.Reason.NONE,
                None,
                now,
                effects,
            )
        elif kind == "answer_deadline":
            # The controller may have left the call undecided: its caller must get an answer before it stops
            # waiting.
            _finish_with_failure(state, key, now, effects, refused=True)
            _run_controller(state, api.Withdrawn(key), now, effects)


def _on_shutdown(state: State, event: messages.Shutdown, now: int, effects: list[messages.Effect]) -> None:
    """Handles the end of the program: refuses every call without a final answer.

    The retry-after time is the longest allowed, `max_hold_off_s`. Established calls are left up.
    """
    for call_id in list(state.calls):
        _finish_with_failure(
            state, call_id, now, effects, refused=True, retry_after_s=state.settings.max_hold_off_s
        )
        _run_controller(state, api.Withdrawn(call_id), now, effects)


_HANDLERS = {
    messages.Arrival: _on_arrival,
    messages.Withdrawn: _on_withdrawn,
    messages.UnknownCallReleased: _on_unknown_call_released,
    messages.CallEstablished: _on_established,
    messages.UnmatchedAnswer: _on_unmatched_answer,
    messages.AttemptEnded: _on_attempt_ended,
    messages.HubsListed: _on_hubs_listed,
    messages.GroupStateReported: _on_group_state,
    messages.HubDown: _on_hub_down,
    messages.WakeUpDue: _on_wake_up_due,
    messages.Shutdown: _on_shutdown,
}
