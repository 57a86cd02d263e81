"""The five rules, each by the controller alone."""

import pytest

from .desk import Desk, ListKind, Outcome, Reason, SetTimer, SetUp, SwitchState, answers, of, sends


def only_action(actions, kind):
    (action,) = of(actions, kind)
    return action


@pytest.mark.parametrize("transit", [False, True])
def test_an_attempt_is_abandoned_before_the_caller_gives_up_and_then_answered(transit):
    desk = Desk()
    send = only_action(desk.call(left=3.0, transit=transit), SetUp)
    assert desk.now < send.abandon_at_s < desk.now + 3.0
    desk.now = send.abandon_at_s
    assert len(answers(desk.ended(1, 101, Outcome.TIMEOUT))) == 1


def test_a_call_is_answered_once_and_late_outcomes_are_passed_over():
    desk = Desk()
    desk.call()
    assert len(answers(desk.ended(1, 101, Outcome.NOT_SET_UP, Reason.PROCESSOR_FULL))) == 1
    assert desk.ended(1, 101, Outcome.TIMEOUT) == []
    assert desk.stands(1, 101) == []
    assert desk.withdrawn(1) == []


def test_a_withdrawn_call_is_owed_nothing_and_no_longer_counts():
    desk = Desk()
    desk.call()
    assert answers(desk.withdrawn(1)) == [] and not desk.far(1).out
    assert desk.ended(1, 101, Outcome.TIMEOUT) == []


def test_an_end_told_by_the_outcome_is_not_answered_again():
    desk = Desk()
    desk.call()
    assert answers(desk.ended(1, 101, Outcome.TIMEOUT, over=True)) == [] and not desk.controller.calls


def test_never_two_attempts_out():
    desk = Desk()
    desk.call(left=9.0)
    first = only_action(desk.at(0.3).ended(1, 101, Outcome.CUT), SetTimer)
    again = desk.at(first.in_s).due(first.token)
    assert len(sends(again)) == 1
    assert desk.due(first.token) == [] and desk.due(999) == []


def test_nothing_new_to_a_draining_gone_or_unlisted_exchange():
    desk = Desk()
    desk.list((101, 1, SwitchState.DRAINING, 0.0))
    assert sends(desk.call(dest=1)) == [] and sends(desk.call(dest=1, transit=True)) == []
    desk.list((101, 1, SwitchState.GONE, 0.0))
    assert sends(desk.call(dest=1)) == []
    assert sends(desk.call(dest=9)) == []
    desk.list((100, 0, SwitchState.READY, 0.0), (102, 2, SwitchState.READY, 0.0), kind=ListKind.COMPLETE)
    desk.circuits(2, 0.0)
    assert sends(desk.call(dest=3)) == [] and sends(desk.call(dest=2)) == []


def test_a_draining_tandem_is_not_used():
    desk = Desk(far=2)
    desk.circuits(1, 0.0)
    assert sends(desk.call(dest=1)) == [102]
    desk.list((102, 2, SwitchState.DRAINING, 0.0))
    assert sends(desk.call(dest=1)) == []


def test_the_switch_that_takes_the_place_of_a_draining_one_is_used():
    desk = Desk()
    desk.list((101, 1, SwitchState.DRAINING, 0.0), (201, 1, SwitchState.READY, 50.0))
    assert sends(desk.call(dest=1)) == [201]


def cold_sends(desk, seconds=4.0, each=0.05):
    """Calls to a processor that has just started; when each set-up was sent."""
    desk.list((101, 1, SwitchState.READY, desk.now))
    times = []
    start = desk.now
    while desk.now < start + seconds:
        for switch in sends(desk.at(each).call(dest=1)):
            if switch == 101:
                times.append(desk.now)
                desk.stands(desk.next_call, 101, elapsed=0.0)
    return times


def test_a_cold_switch_gets_only_this_controllers_part_of_its_budget():
    desk = Desk(circuits=500.0)
    for _ in range(200):  # what this exchange carries while all are warm
        desk.at(0.1).call(dest=2)
        desk.stands(desk.next_call, 102)
    times = cold_sends(desk)
    busiest = max(sum(1 for at in times if start <= at < start + 1.0) for start in times)
    carried = 10.0  # calls a second before
    assert times and busiest <= 3.0 * (0.3 + 0.7 * 5 / 12.0) * carried / 5 + 1
    assert len(times) < 80  # of 80 calls offered


@pytest.mark.parametrize("controllers", [28, 66, 300])
def test_together_any_number_of_controllers_keep_a_cold_switchs_budget(controllers):
    """Callers press on from every exchange; summed in any fall window, as the processor would see it."""
    carried, times, limits = 10.0, [], []
    for seed in range(controllers):
        desk = Desk(circuits=500.0, seed=seed, controllers=controllers)
        start = desk.now
        desk.list((101, 1, SwitchState.READY, start))
        while desk.now < start + 6.0:
            desk.controller.own.rate, desk.controller.own.rate_at = carried, desk.now  # its other calls
            for switch in sends(desk.at(0.25).call(dest=1)):
                if switch == 101:
                    times.append(desk.now - start)
                    desk.stands(desk.next_call, 101, elapsed=0.0)
    for n in range(20):
        at = n * 0.25
        present = 0.3 + 0.7 * at / 12.0
        sent = sum(1 for moment in times if at < moment <= at + 1.0)
        limits.append(sent / (3.0 * present * 2 * carried * 1.0))
    assert 0.2 < max(limits) < 1.0  # one each a window would be 28 / 18 and more


def test_not_sent_again_before_the_release():
    for outcome in (Outcome.TIMEOUT, Outcome.CUT, Outcome.CANCELLED):
        desk = Desk()
        desk.call(left=9.0)
        actions = desk.at(0.3).ended(1, 101, outcome)
        assert sends(actions) == [] and only_action(actions, SetTimer).in_s >= 0.4


def test_no_time_left_for_the_release_is_answered_at_once():
    desk = Desk()
    desk.call(left=0.6)
    assert len(answers(desk.at(0.3).ended(1, 101, Outcome.TIMEOUT))) == 1


def test_a_call_in_transit_is_never_sent_anywhere_but_to_its_destination():
    desk = Desk()
    desk.circuits(1, 0.0)
    actions = desk.call(dest=1, transit=True, advice=2)
    assert sends(actions) == [] and len(answers(actions)) == 1
    assert sends(desk.call(dest=0)) == [] and sends(desk.call(dest=0, transit=True)) == []


def test_events_of_calls_never_held_are_passed_over():
    desk = Desk()
    assert desk.stands(77, 101) == [] and desk.ended(77, 999, Outcome.OK) == [] and desk.withdrawn(77) == []


def test_the_list_is_asked_for_where_it_is_not_pushed():
    desk = Desk(list_on_request=True)
    failed = desk.list(kind=ListKind.FAILED)
    timer = only_action(failed, SetTimer)
    assert timer.in_s < desk.settings.ask_within_s
    assert [type(action).__name__ for action in desk.at(timer.in_s).due(timer.token)] == ["Subscribe"]


def test_a_connection_that_broke_says_nothing_of_the_route():
    desk = Desk()
    desk.call(left=9.0)
    wait = only_action(desk.at(0.1).ended(1, 101, Outcome.CUT), SetTimer)
    assert sends(desk.at(wait.in_s).due(wait.token)) == [101]


def test_calls_taken_back_at_once_do_not_press_their_destination():
    desk = Desk(circuits=500.0)
    for _ in range(50):
        desk.at(0.01).call()
        desk.withdrawn(desk.next_call)
    assert desk.far(1).level == 0 and sends(desk.call()) == [101]


def test_a_signalling_fault_is_followed_by_another_try_until_nothing_else_comes():
    desk = Desk(circuits=500.0)
    assert sends(desk.call(left=9.0)) == [101]
    tries = 1
    while sends(desk.at(0.01).ended(1, 101, Outcome.ERROR)) == [101]:
        tries += 1
    assert tries == desk.settings.max_attempts and not desk.controller.calls
    desk.call()
    assert len(answers(desk.ended(2, 101, Outcome.ERROR, Reason.LINES_BUSY))) == 1
    for _ in range(5):  # nothing but faults
        desk.at(0.1).call(left=9.0)
        while not answers(desk.at(0.01).ended(desk.next_call, 101, Outcome.ERROR)):
            pass
    desk.at(0.1).call()
    assert len(answers(desk.ended(desk.next_call, 101, Outcome.ERROR))) == 1
    desk.at(0.1).call()
    desk.stands(desk.next_call, 101)
    desk.at(0.1).call()
    assert sends(desk.ended(desk.next_call, 101, Outcome.ERROR)) == [101]
