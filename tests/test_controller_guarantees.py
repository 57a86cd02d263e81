"""The five rules of the call controller, each tested on one controller alone.

A call is answered in time, and once; a draining exchange gets no set-up; a processor that has just started
gets no more than its budget; no call is sent again before the release of its last attempt.
"""

import pytest

from .controller_harness import (
    ControllerHarness,
    ListKind,
    Outcome,
    Reason,
    SetTimer,
    SetUp,
    SwitchState,
    actions_of_type,
    final_answers,
    sent_to,
)


def only_action(actions, kind):
    (action,) = actions_of_type(actions, kind)
    return action


@pytest.mark.parametrize("in_transit", [False, True])
def test_an_attempt_is_abandoned_and_its_call_answered_before_the_caller_gives_up(in_transit):
    harness = ControllerHarness()
    set_up = only_action(harness.call(time_left_s=3.0, in_transit=in_transit), SetUp)
    assert harness.now < set_up.abandon_at_s < harness.now + 3.0
    harness.now = set_up.abandon_at_s
    assert len(final_answers(harness.ended(1, 101, Outcome.TIMEOUT))) == 1


def test_a_call_is_answered_once_and_later_outcomes_are_ignored():
    harness = ControllerHarness()
    harness.call()
    assert len(final_answers(harness.ended(1, 101, Outcome.REJECTED, Reason.PROCESSOR_FULL))) == 1
    assert harness.ended(1, 101, Outcome.TIMEOUT) == []
    assert harness.established(1, 101) == []
    assert harness.withdrawn(1) == []


def test_a_withdrawn_call_gets_no_answer_and_is_not_counted_as_unanswered():
    harness = ControllerHarness()
    harness.call()
    assert final_answers(harness.withdrawn(1)) == [] and not harness.exchange(1).unanswered
    assert harness.ended(1, 101, Outcome.TIMEOUT) == []


def test_a_call_reported_as_over_is_not_answered_again():
    harness = ControllerHarness()
    harness.call()
    assert (
        final_answers(harness.ended(1, 101, Outcome.TIMEOUT, call_over=True)) == []
        and not harness.controller.calls
    )


def test_a_call_has_at_most_one_open_attempt():
    harness = ControllerHarness()
    harness.call(time_left_s=9.0)
    timer = only_action(harness.advance(0.3).ended(1, 101, Outcome.CUT), SetTimer)
    retry_actions = harness.advance(timer.delay_s).expire_timer(timer.token)
    assert len(sent_to(retry_actions)) == 1
    assert harness.expire_timer(timer.token) == [] and harness.expire_timer(999) == []


def test_no_set_up_is_sent_to_a_draining_gone_or_unlisted_exchange():
    harness = ControllerHarness()
    harness.update_list((101, 1, SwitchState.DRAINING, 0.0))
    assert sent_to(harness.call(dest=1)) == [] and sent_to(harness.call(dest=1, in_transit=True)) == []
    harness.update_list((101, 1, SwitchState.GONE, 0.0))
    assert sent_to(harness.call(dest=1)) == []
    assert sent_to(harness.call(dest=9)) == []
    harness.update_list(
        (100, 0, SwitchState.READY, 0.0), (102, 2, SwitchState.READY, 0.0), kind=ListKind.COMPLETE
    )
    harness.report_circuits(2, 0.0)
    assert sent_to(harness.call(dest=3)) == [] and sent_to(harness.call(dest=2)) == []


def test_a_draining_tandem_is_not_used():
    harness = ControllerHarness(exchanges=2)
    harness.report_circuits(1, 0.0)
    assert sent_to(harness.call(dest=1)) == [102]
    harness.update_list((102, 2, SwitchState.DRAINING, 0.0))
    assert sent_to(harness.call(dest=1)) == []


def test_the_successor_of_a_draining_switch_is_used():
    harness = ControllerHarness()
    harness.update_list((101, 1, SwitchState.DRAINING, 0.0), (201, 1, SwitchState.READY, 50.0))
    assert sent_to(harness.call(dest=1)) == [201]


def cold_set_up_times(harness, duration_s=4.0, interval_s=0.05):
    """When set-ups were sent to a processor that has just started, while calls to it keep arriving."""
    harness.update_list((101, 1, SwitchState.READY, harness.now))
    times = []
    start = harness.now
    while harness.now < start + duration_s:
        for switch in sent_to(harness.advance(interval_s).call(dest=1)):
            if switch == 101:
                times.append(harness.now)
                harness.established(harness.last_call, 101, elapsed_s=0.0)
    return times


def test_a_cold_switch_is_sent_only_the_controllers_part_of_its_budget():
    harness = ControllerHarness(circuits=500.0)
    for _ in range(200):  # the rate of calls that this exchange handles while all processors are warm
        harness.advance(0.1).call(dest=2)
        harness.established(harness.last_call, 102)
    times = cold_set_up_times(harness)
    most_per_s = max(sum(1 for sent_at in times if start <= sent_at < start + 1.0) for start in times)
    warm_per_s = 10.0  # calls per second before the restart
    assert times and most_per_s <= 3.0 * (0.3 + 0.7 * 5 / 12.0) * warm_per_s / 5 + 1
    assert len(times) < 80  # of 80 calls offered


@pytest.mark.parametrize("controllers", [28, 66, 300])
def test_any_number_of_controllers_together_keep_the_budget_of_a_cold_switch(controllers):
    """Each exchange offers calls all the time; the set-ups of all are summed over windows of `fall_s`, as the
    processor receives them.

    The controllers of a large network would exceed the budget if each sent one set-up at the same time.
    """
    warm_per_s, times, budget_shares = 10.0, [], []
    for seed in range(controllers):
        harness = ControllerHarness(circuits=500.0, seed=seed, controllers=controllers)
        start = harness.now
        harness.update_list((101, 1, SwitchState.READY, start))
        while harness.now < start + 6.0:
            # The answer rate that its other calls would give.
            (
                harness.controller.own_processor.answer_rate_per_s,
                harness.controller.own_processor.rate_updated_at,
            ) = warm_per_s, harness.now
            for switch in sent_to(harness.advance(0.25).call(dest=1)):
                if switch == 101:
                    times.append(harness.now - start)
                    harness.established(harness.last_call, 101, elapsed_s=0.0)
    for n in range(20):
        window_start = n * 0.25
        capacity_share = 0.3 + 0.7 * window_start / 12.0
        sent = sum(1 for sent_at in times if window_start < sent_at <= window_start + 1.0)
        budget_shares.append(sent / (3.0 * capacity_share * 2 * warm_per_s * 1.0))
    # One set-up per controller and window would be 28 / 18 of the budget, or more.
    assert 0.2 < max(budget_shares) < 1.0


def test_a_call_is_not_sent_again_before_the_release_of_its_last_attempt():
    for outcome in (Outcome.TIMEOUT, Outcome.CUT, Outcome.CANCELLED):
        harness = ControllerHarness()
        harness.call(time_left_s=9.0)
        actions = harness.advance(0.3).ended(1, 101, outcome)
        assert sent_to(actions) == [] and only_action(actions, SetTimer).delay_s >= 0.4


def test_a_call_without_time_for_the_release_is_answered_at_once():
    harness = ControllerHarness()
    harness.call(time_left_s=0.6)
    assert len(final_answers(harness.advance(0.3).ended(1, 101, Outcome.TIMEOUT))) == 1


def test_a_call_in_transit_is_sent_only_to_its_destination():
    harness = ControllerHarness()
    harness.report_circuits(1, 0.0)
    actions = harness.call(dest=1, in_transit=True, advice=2)
    assert sent_to(actions) == [] and len(final_answers(actions)) == 1
    # No call is sent to exchange 0, the controller's own.
    assert sent_to(harness.call(dest=0)) == [] and sent_to(harness.call(dest=0, in_transit=True)) == []


def test_events_of_unknown_calls_are_ignored():
    harness = ControllerHarness()
    assert (
        harness.established(77, 101) == []
        and harness.ended(77, 999, Outcome.OK) == []
        and harness.withdrawn(77) == []
    )


def test_a_switch_list_sent_only_on_request_is_requested_again_in_time_after_a_failure():
    harness = ControllerHarness(list_on_request=True)
    actions = harness.update_list(kind=ListKind.FAILED)
    timer = only_action(actions, SetTimer)
    assert timer.delay_s < harness.settings.ask_within_s
    assert [type(action).__name__ for action in harness.advance(timer.delay_s).expire_timer(timer.token)] == [
        "Subscribe"
    ]


def test_after_a_lost_connection_the_direct_route_is_tried_again():
    harness = ControllerHarness()
    harness.call(time_left_s=9.0)
    timer = only_action(harness.advance(0.1).ended(1, 101, Outcome.CUT), SetTimer)
    assert sent_to(harness.advance(timer.delay_s).expire_timer(timer.token)) == [101]


def test_calls_withdrawn_at_once_do_not_raise_the_load_level():
    harness = ControllerHarness(circuits=500.0)
    for _ in range(50):
        harness.advance(0.01).call()
        harness.withdrawn(harness.last_call)
    assert harness.exchange(1).level == 0 and sent_to(harness.call()) == [101]


def test_a_signalling_error_is_retried_unless_the_exchange_answers_with_nothing_else():
    harness = ControllerHarness(circuits=500.0)
    assert sent_to(harness.call(time_left_s=9.0)) == [101]
    attempts = 1
    while sent_to(harness.advance(0.01).ended(1, 101, Outcome.ERROR)) == [101]:
        attempts += 1
    assert attempts == harness.settings.max_attempts and not harness.controller.calls
    harness.call()
    assert len(final_answers(harness.ended(2, 101, Outcome.ERROR, Reason.LINES_BUSY))) == 1
    for _ in range(5):  # the exchange answers with signalling errors only
        harness.advance(0.1).call(time_left_s=9.0)
        while not final_answers(harness.advance(0.01).ended(harness.last_call, 101, Outcome.ERROR)):
            pass
    harness.advance(0.1).call()
    assert len(final_answers(harness.ended(harness.last_call, 101, Outcome.ERROR))) == 1
    harness.advance(0.1).call()
    harness.established(harness.last_call, 101)
    harness.advance(0.1).call()
    assert sent_to(harness.ended(harness.last_call, 101, Outcome.ERROR)) == [101]
