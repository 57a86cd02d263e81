"""The five rules, each by the controller alone."""

import pytest

from .controller_harness import (
    ControllerHarness,
    ListKind,
    Outcome,
    Reason,
    SetTimer,
    SetUp,
    SwitchState,
    answers,
    of,
    sends,
)


def only_action(actions, kind):
    (action,) = of(actions, kind)
    return action


@pytest.mark.parametrize("transit", [False, True])
def test_an_attempt_is_abandoned_before_the_caller_gives_up_and_then_answered(transit):
    harness = ControllerHarness()
    send = only_action(harness.call(left=3.0, transit=transit), SetUp)
    assert harness.now < send.abandon_at_s < harness.now + 3.0
    harness.now = send.abandon_at_s
    assert len(answers(harness.ended(1, 101, Outcome.TIMEOUT))) == 1


def test_a_call_is_answered_once_and_late_outcomes_are_passed_over():
    harness = ControllerHarness()
    harness.call()
    assert len(answers(harness.ended(1, 101, Outcome.REJECTED, Reason.PROCESSOR_FULL))) == 1
    assert harness.ended(1, 101, Outcome.TIMEOUT) == []
    assert harness.stands(1, 101) == []
    assert harness.withdrawn(1) == []


def test_a_withdrawn_call_is_owed_nothing_and_no_longer_counts():
    harness = ControllerHarness()
    harness.call()
    assert answers(harness.withdrawn(1)) == [] and not harness.exchange(1).unanswered
    assert harness.ended(1, 101, Outcome.TIMEOUT) == []


def test_an_end_told_by_the_outcome_is_not_answered_again():
    harness = ControllerHarness()
    harness.call()
    assert answers(harness.ended(1, 101, Outcome.TIMEOUT, over=True)) == [] and not harness.controller.calls


def test_never_two_attempts_out():
    harness = ControllerHarness()
    harness.call(left=9.0)
    first = only_action(harness.at(0.3).ended(1, 101, Outcome.CUT), SetTimer)
    again = harness.at(first.delay_s).due(first.token)
    assert len(sends(again)) == 1
    assert harness.due(first.token) == [] and harness.due(999) == []


def test_nothing_new_to_a_draining_gone_or_unlisted_exchange():
    harness = ControllerHarness()
    harness.list((101, 1, SwitchState.DRAINING, 0.0))
    assert sends(harness.call(dest=1)) == [] and sends(harness.call(dest=1, transit=True)) == []
    harness.list((101, 1, SwitchState.GONE, 0.0))
    assert sends(harness.call(dest=1)) == []
    assert sends(harness.call(dest=9)) == []
    harness.list((100, 0, SwitchState.READY, 0.0), (102, 2, SwitchState.READY, 0.0), kind=ListKind.COMPLETE)
    harness.circuits(2, 0.0)
    assert sends(harness.call(dest=3)) == [] and sends(harness.call(dest=2)) == []


def test_a_draining_tandem_is_not_used():
    harness = ControllerHarness(exchanges=2)
    harness.circuits(1, 0.0)
    assert sends(harness.call(dest=1)) == [102]
    harness.list((102, 2, SwitchState.DRAINING, 0.0))
    assert sends(harness.call(dest=1)) == []


def test_the_switch_that_takes_the_place_of_a_draining_one_is_used():
    harness = ControllerHarness()
    harness.list((101, 1, SwitchState.DRAINING, 0.0), (201, 1, SwitchState.READY, 50.0))
    assert sends(harness.call(dest=1)) == [201]


def cold_sends(harness, seconds=4.0, each=0.05):
    """Calls to a processor that has just started; when each set-up was sent."""
    harness.list((101, 1, SwitchState.READY, harness.now))
    times = []
    start = harness.now
    while harness.now < start + seconds:
        for switch in sends(harness.at(each).call(dest=1)):
            if switch == 101:
                times.append(harness.now)
                harness.stands(harness.next_call, 101, elapsed=0.0)
    return times


def test_a_cold_switch_gets_only_this_controllers_part_of_its_budget():
    harness = ControllerHarness(circuits=500.0)
    for _ in range(200):  # what this exchange carries while all are warm
        harness.at(0.1).call(dest=2)
        harness.stands(harness.next_call, 102)
    times = cold_sends(harness)
    busiest = max(sum(1 for at in times if start <= at < start + 1.0) for start in times)
    carried = 10.0  # calls a second before
    assert times and busiest <= 3.0 * (0.3 + 0.7 * 5 / 12.0) * carried / 5 + 1
    assert len(times) < 80  # of 80 calls offered


@pytest.mark.parametrize("controllers", [28, 66, 300])
def test_together_any_number_of_controllers_keep_a_cold_switchs_budget(controllers):
    """Callers press on from every exchange; summed in any fall window, as the processor would see it."""
    carried, times, limits = 10.0, [], []
    for seed in range(controllers):
        harness = ControllerHarness(circuits=500.0, seed=seed, controllers=controllers)
        start = harness.now
        harness.list((101, 1, SwitchState.READY, start))
        while harness.now < start + 6.0:
            (
                harness.controller.own_processor.answer_rate_per_s,
                harness.controller.own_processor.rate_updated_at,
            ) = carried, harness.now  # its other calls
            for switch in sends(harness.at(0.25).call(dest=1)):
                if switch == 101:
                    times.append(harness.now - start)
                    harness.stands(harness.next_call, 101, elapsed=0.0)
    for n in range(20):
        at = n * 0.25
        present = 0.3 + 0.7 * at / 12.0
        sent = sum(1 for moment in times if at < moment <= at + 1.0)
        limits.append(sent / (3.0 * present * 2 * carried * 1.0))
    assert 0.2 < max(limits) < 1.0  # one each a window would be 28 / 18 and more


def test_not_sent_again_before_the_release():
    for outcome in (Outcome.TIMEOUT, Outcome.CUT, Outcome.CANCELLED):
        harness = ControllerHarness()
        harness.call(left=9.0)
        actions = harness.at(0.3).ended(1, 101, outcome)
        assert sends(actions) == [] and only_action(actions, SetTimer).delay_s >= 0.4


def test_no_time_left_for_the_release_is_answered_at_once():
    harness = ControllerHarness()
    harness.call(left=0.6)
    assert len(answers(harness.at(0.3).ended(1, 101, Outcome.TIMEOUT))) == 1


def test_a_call_in_transit_is_never_sent_anywhere_but_to_its_destination():
    harness = ControllerHarness()
    harness.circuits(1, 0.0)
    actions = harness.call(dest=1, transit=True, advice=2)
    assert sends(actions) == [] and len(answers(actions)) == 1
    assert sends(harness.call(dest=0)) == [] and sends(harness.call(dest=0, transit=True)) == []


def test_events_of_calls_never_held_are_passed_over():
    harness = ControllerHarness()
    assert (
        harness.stands(77, 101) == []
        and harness.ended(77, 999, Outcome.OK) == []
        and harness.withdrawn(77) == []
    )


def test_the_list_is_asked_for_where_it_is_not_pushed():
    harness = ControllerHarness(list_on_request=True)
    failed = harness.list(kind=ListKind.FAILED)
    timer = only_action(failed, SetTimer)
    assert timer.delay_s < harness.settings.ask_within_s
    assert [type(action).__name__ for action in harness.at(timer.delay_s).due(timer.token)] == ["Subscribe"]


def test_a_connection_that_broke_says_nothing_of_the_route():
    harness = ControllerHarness()
    harness.call(left=9.0)
    wait = only_action(harness.at(0.1).ended(1, 101, Outcome.CUT), SetTimer)
    assert sends(harness.at(wait.delay_s).due(wait.token)) == [101]


def test_calls_taken_back_at_once_do_not_press_their_destination():
    harness = ControllerHarness(circuits=500.0)
    for _ in range(50):
        harness.at(0.01).call()
        harness.withdrawn(harness.next_call)
    assert harness.exchange(1).level == 0 and sends(harness.call()) == [101]


def test_a_signalling_fault_is_followed_by_another_try_until_nothing_else_comes():
    harness = ControllerHarness(circuits=500.0)
    assert sends(harness.call(left=9.0)) == [101]
    tries = 1
    while sends(harness.at(0.01).ended(1, 101, Outcome.ERROR)) == [101]:
        tries += 1
    assert tries == harness.settings.max_attempts and not harness.controller.calls
    harness.call()
    assert len(answers(harness.ended(2, 101, Outcome.ERROR, Reason.LINES_BUSY))) == 1
    for _ in range(5):  # nothing but faults
        harness.at(0.1).call(left=9.0)
        while not answers(harness.at(0.01).ended(harness.next_call, 101, Outcome.ERROR)):
            pass
    harness.at(0.1).call()
    assert len(answers(harness.ended(harness.next_call, 101, Outcome.ERROR))) == 1
    harness.at(0.1).call()
    harness.stands(harness.next_call, 101)
    harness.at(0.1).call()
    assert sends(harness.ended(harness.next_call, 101, Outcome.ERROR)) == [101]
