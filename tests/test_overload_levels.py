"""The load level, step by step, and the routes that hang on it."""

from dataclasses import replace

from chutefork import CallController, Load, LoadReport, LogMessage, PeerMessage, SendPeerMessage

from .controller_harness import (
    CLASS,
    ControllerHarness,
    ListKind,
    Outcome,
    Reason,
    SwitchState,
    answers,
    of,
    sends,
)


def read(harness, number=1, failed=False):
    exchange = harness.exchange(number)
    return exchange.take_reading(
        harness.now, harness.controller.smoothing_s, harness.controller.wait_limit_s, failed
    )


def hold(harness, count, number=1):
    harness.exchange(number).unanswered = {1000 + n: harness.now for n in range(count)}


def test_five_over_in_a_row_raise_a_level_and_four_do_not():
    harness = ControllerHarness()
    hold(harness, 6)
    assert [read(harness) for _ in range(5)] == [0, 0, 0, 0, 1]
    assert [read(harness) for _ in range(5)] == [0, 0, 0, 0, 1]
    assert [read(harness) for _ in range(10)] == [0] * 10 and harness.exchange(1).level == 2


def test_one_reading_under_ends_a_run_over():
    harness = ControllerHarness()
    for _ in range(3):
        hold(harness, 6)
        assert [read(harness) for _ in range(4)] == [0] * 4
        hold(harness, 0)
        assert read(harness) == 0
    assert harness.exchange(1).level == 0


def test_five_under_in_a_row_lower_a_level():
    harness = ControllerHarness()
    harness.exchange(1).level = 2
    assert [read(harness) for _ in range(10)] == [0, 0, 0, 0, -1, 0, 0, 0, 0, -1]


def test_a_reading_equal_to_the_mark_is_neither():
    harness = ControllerHarness()
    hold(harness, 2)  # the floor
    harness.exchange(1).consecutive_over = harness.exchange(1).consecutive_under = 4
    assert (
        read(harness) == 0
        and harness.exchange(1).consecutive_over == harness.exchange(1).consecutive_under == 0
    )


def test_between_the_two_marks_level_one_stays():
    harness = ControllerHarness()
    exchange = harness.exchange(1)
    exchange.answer_rate_per_s, exchange.rate_updated_at, exchange.level = 100.0, harness.now, 1
    low = 100 * harness.controller.wait_limit_s
    for count, steps in ((low - 1, [-1]), (low + 1, []), (low * 45 / 40 - 1, []), (low * 45 / 40 + 1, [1])):
        exchange.level, exchange.consecutive_over, exchange.consecutive_under = 1, 0, 0
        hold(harness, int(count))
        assert [step for step in (read(harness) for _ in range(5)) if step] == steps


def test_a_pressed_destination_refuses_by_the_static_chances():
    harness = ControllerHarness(circuits=10000.0)
    for level, low, high in ((0, 400, 400), (1, 150, 250), (2, 0, 0)):
        sent = 0
        for _ in range(400):
            (
                harness.exchange(1).level,
                harness.exchange(1).consecutive_over,
                harness.exchange(1).consecutive_under,
            ) = level, 0, 0
            sent += len(sends(harness.call(dest=1)))
            harness.stands(harness.next_call, 101, elapsed=0.0)
        assert low <= sent <= high


def test_refused_calls_are_readings():
    harness = ControllerHarness()
    harness.exchange(1).level = 2
    for _ in range(5):
        harness.call(dest=1)
    assert harness.exchange(1).level == 1


def test_processor_full_reads_over_and_stays_over_for_its_wait():
    harness = ControllerHarness()
    harness.call(dest=1)
    harness.ended(1, 101, Outcome.REJECTED, Reason.PROCESSOR_FULL)
    assert harness.exchange(1).consecutive_over == 1
    read(harness)
    assert harness.exchange(1).consecutive_over == 2  # without the memory an empty count would read under
    harness.at(10.0)
    read(harness)
    assert harness.exchange(1).consecutive_over == 0 and harness.exchange(1).consecutive_under == 1


def test_a_reported_long_wait_reads_over_and_absent_fields_are_no_reading():
    cases = (
        (Load(wait_s=5.0), 1),
        (Load(waiting=50.0, capacity_per_s=10.0), 1),
        (Load(wait_s=0.01), 0),
        (Load(waiting=50.0), 0),
        (Load(capacity_per_s=10.0), 0),
        (None, 0),
    )
    for load, over in cases:
        harness = ControllerHarness()
        harness.tell(LoadReport(101, True, 0.1, True, load))
        assert harness.exchange(1).consecutive_over == over and harness.exchange(1).consecutive_under == 0


def test_direct_first_then_the_remembered_tandem():
    harness = ControllerHarness()
    assert sends(harness.call(dest=1)) == [101]
    harness.circuits(1, 0.0)
    first = sends(harness.call(dest=1))
    for _ in range(5):
        harness.stands(harness.next_call, first[0])
        assert sends(harness.call(dest=1)) == first


def test_a_tandem_that_blocked_is_redrawn_and_gapped():
    harness = ControllerHarness(circuits=100.0)
    harness.circuits(1, 0.0)
    (first,) = sends(harness.call(dest=1))
    harness.ended(1, first, Outcome.REJECTED, Reason.REJECTED_BY_TANDEM)
    drawn = set()
    for _ in range(20):
        (tandem,) = sends(harness.call(dest=1))
        harness.stands(harness.next_call, tandem)
        drawn.add(tandem)
    assert first not in drawn and len(drawn) == 1


def test_a_pressed_tandem_is_a_block():
    harness = ControllerHarness(exchanges=2)
    harness.circuits(1, 0.0)
    harness.exchange(2).level = 2
    actions = harness.call(dest=1)
    assert sends(actions) == [] and len(answers(actions)) == 1


def test_the_centres_advice_is_taken_at_a_redraw():
    for tandem in (2, 3, 4):
        harness = ControllerHarness()
        harness.circuits(1, 0.0)
        assert sends(harness.call(dest=1, advice=tandem)) == [100 + tandem]


def test_trunk_reservation_turns_transit_back():
    harness = ControllerHarness()
    harness.circuits(1, 3.0, size=25.0)
    assert sends(harness.call(dest=1, transit=True)) == []
    assert sends(harness.call(dest=1)) == [101]
    harness.circuits(1, 20.0, size=25.0)
    assert sends(harness.call(dest=1, transit=True)) == [101]


def test_a_slow_own_processor_refuses_own_calls():
    """All far exchanges slow at once: the wait is at home. One quick answer says it is not."""

    def after(answer_times):
        harness = ControllerHarness(circuits=1000.0)
        for _ in range(20):
            for number, elapsed in answer_times.items():
                for switch in sends(harness.call(dest=number)):
                    call = harness.next_call
                    harness.controller.exchanges[switch].unanswered[call] = harness.now - elapsed
                    harness.stands(call, switch, elapsed=elapsed)
            harness.at(0.05)
        return harness.controller.own_processor.level

    assert after({1: 1.9, 2: 1.9, 3: 1.9}) > 0
    assert after({1: 1.9, 2: 1.9, 3: 0.1}) == 0


def test_the_own_level_refuses_own_and_transit_calls():
    harness = ControllerHarness()
    harness.controller.own_processor.level = 2
    assert sends(harness.call(dest=1)) == [] and sends(harness.call(dest=2, transit=True)) == []


def test_mass_calls_to_one_number_leave_the_reserve_to_others():
    harness = ControllerHarness()

    def call(number):
        harness.circuits(1, 3.0, size=25.0)
        sent = sends(harness.call(dest=1, called=number))
        harness.stands(harness.next_call, 101)
        return len(sent)

    sent = [call(555) for _ in range(60) if harness.at(0.6)]
    assert sum(sent[:4]) > 0 and sum(sent[5:]) == 0  # no pause of a caller's patience: the run stays late
    assert call(556) == 1


def test_worth_shares_out_the_static_chance():
    classes = (CLASS, replace(CLASS, worth=5.0))
    harness = ControllerHarness(circuits=10000.0, classes=classes)
    sent = [0, 0]
    for n in range(600):
        (
            harness.exchange(1).level,
            harness.exchange(1).consecutive_over,
            harness.exchange(1).consecutive_under,
        ) = 1, 0, 0
        cls = n % 3 == 0
        sent[cls] += len(sends(harness.call(dest=1, cls=int(cls))))
        harness.stands(harness.next_call, 101, elapsed=0.0)
    assert sent[0] / 400 < 0.5 < sent[1] / 200


def test_refused_callers_are_asked_for_a_wait_only_where_that_is_allowed():
    for allowed in (True, False):
        harness = ControllerHarness(hold_off_allowed=allowed)
        (refusal,) = answers(harness.call(dest=9))
        assert (refusal.hold_off_s > 0) == allowed and refusal.hold_off_s < CLASS.aim_s


def test_pools_overflow_only_to_pools_of_the_class():
    pools = replace(CLASS, pools=(1, 3))
    harness = ControllerHarness(pools_form=True, own_number=-1, classes=(pools,))
    assert sends(harness.call(dest=1)) == [101]
    harness.circuits(1, 0.0)
    for _ in range(10):
        assert sends(harness.call(dest=1)) == [103]
        harness.stands(harness.next_call, 103)
    harness.list((103, 3, SwitchState.GONE, 0.0))
    assert sends(harness.call(dest=1)) == []


def test_a_pool_remembered_for_one_class_is_not_used_by_another_that_it_cannot_serve():
    classes = (replace(CLASS, pools=(1, 3)), replace(CLASS, pools=(1, 4)))
    harness = ControllerHarness(pools_form=True, own_number=-1, classes=classes)
    harness.circuits(1, 0.0)
    assert sends(harness.call(dest=1, cls=0)) == [103]
    assert sends(harness.call(dest=1, cls=1)) == [104]


def test_the_same_events_give_the_same_actions():
    def run():
        harness = ControllerHarness()
        harness.circuits(1, 0.0)
        return [harness.at(0.1).call(dest=1 + n % 4, advice=n % 5) for n in range(60)]

    assert run() == run()
    assert not hasattr(CallController, "shared")


def test_log_lines_are_sparing():
    harness = ControllerHarness()
    notes = []
    for n in range(400):
        hold(harness, 8 if n // 20 % 2 else 0)
        notes += of(harness.at(0.05).call(dest=1), LogMessage)
    assert 1 <= len(notes) <= 10
    assert all("load level 2" in note.text for note in notes)


def test_a_redial_past_the_aim_takes_no_tandem_and_leaves_the_reserve():
    harness = ControllerHarness()
    harness.circuits(1, 3.0, size=25.0)
    assert sends(harness.call(dest=9, called=42)) == []
    assert sends(harness.at(0.5).call(dest=1, called=42)) == [101]  # still in time
    harness.stands(harness.next_call, 101)
    assert sends(harness.at(2.0).call(dest=1, called=42)) == []  # in the reserve, and too late for a tandem
    assert sends(harness.at(0.1).call(dest=1, called=43)) == [101]  # another caller
    assert sends(harness.at(20.0).call(dest=1, called=42)) == [101]  # the caller's next call, not a redial


def test_slow_direct_answers_from_most_stop_the_way_round_and_one_slow_exchange_does_not():
    def after(answer_times):
        harness = ControllerHarness(circuits=1000.0)
        for _ in range(12):
            for number, elapsed in answer_times.items():
                for switch in sends(harness.at(0.05).call(dest=number)):
                    call = harness.next_call
                    harness.controller.exchanges[switch].unanswered[call] = harness.now - elapsed
                    harness.stands(call, switch, elapsed=elapsed)
        harness.circuits(1, 0.0)
        round_ = sends(harness.call(dest=1))
        return harness.controller.tandem_load.level, round_, sends(harness.call(dest=2, transit=True))

    assert after({2: 0.6, 3: 0.6, 4: 0.6}) == (2, [], [])
    level, round_, transit = after({2: 0.1, 3: 0.9, 4: 0.1})
    assert level == 0 and len(round_) == 1 and transit == [102]


def test_redials_do_not_reopen_the_own_level_while_set_ups_wait():
    harness = ControllerHarness()
    harness.call(dest=1)
    harness.controller.own_processor.level = 2
    for _ in range(20):
        assert sends(harness.call(dest=2)) == []
    assert harness.controller.own_processor.level == 2  # nothing heard yet: no reading
    harness.at(0.1).stands(1, 101)
    for _ in range(10):
        harness.call(dest=2)
    assert harness.controller.own_processor.level == 0


def test_an_asked_hold_back_share_is_read_against_the_chances():
    harness = ControllerHarness()
    for share, level in ((0.4, 1), (0.6, 1), (0.9, 2), (0.8, 2), (0.5, 1), (0.0, 0), (0.2, 0)):
        for _ in range(5):
            harness.tell(LoadReport(101, True, 0.1, True, Load(hold_back_share=share)))
        assert harness.exchange(1).level == level


def tells(actions):
    return [action.payload for action in of(actions, SendPeerMessage)]


def test_the_own_level_is_told_to_peers_when_it_moves_and_sparingly():
    harness = ControllerHarness(messages_allowed=True)
    harness.controller.own_processor.level = 2
    harness.call(dest=1)
    assert tells(harness.call(dest=1)) == []  # told by the call before
    harness.controller.own_processor.level = 1
    assert tells(harness.call(dest=1)) == []  # within the bound
    assert tells(harness.at(1.1).call(dest=1)) == [bytes((1, 2))]
    quiet = ControllerHarness()
    quiet.controller.own_processor.level = 2
    assert tells(quiet.call(dest=1)) == []


def test_a_peers_level_counts_here_and_own_readings_go_on():
    harness = ControllerHarness()
    harness.tell(PeerMessage(1, bytes((2, 1))))
    assert harness.exchange(1).level == 2 and sends(harness.call(dest=1)) == []
    for _ in range(12):  # the message that it is over was lost
        harness.call(dest=1)
        harness.stands(harness.next_call, 101)
    assert harness.exchange(1).level == 0 and len(sends(harness.call(dest=1))) == 1


def test_malformed_foreign_and_old_messages_are_passed_over():
    harness = ControllerHarness()
    harness.tell(PeerMessage(1, bytes((1, 5))))
    for sender, payload in (
        (1, b""),
        (1, b"x"),
        (1, bytes((3, 6))),
        (1, bytes((2, 6, 0))),
        (1, bytes((0, 4))),
        (0, bytes((2, 6))),
        (77, bytes((2, 6))),
    ):
        assert harness.tell(PeerMessage(sender, payload)) == []
    assert [harness.exchange(n).level for n in range(1, 5)] == [1, 0, 0, 0]


def test_switches_long_gone_and_old_gaps_are_forgotten():
    harness = ControllerHarness()
    harness.circuits(1, 0.0)
    (tandem,) = sends(harness.call(dest=1))
    harness.ended(harness.next_call, tandem, Outcome.REJECTED, Reason.REJECTED_BY_TANDEM)
    harness.call(dest=2)
    for n in range(50):
        harness.list(
            (102 + n * 100, 2, SwitchState.GONE, 0.0), (202 + n * 100, 2, SwitchState.READY, harness.now)
        )
        harness.at(10.0)
    assert len(harness.controller.exchanges) <= 7 and not harness.controller.tandem_blocked_until
    assert (
        len(answers(harness.ended(harness.next_call, 102, Outcome.UNREACHABLE))) == 1
    )  # of a switch that is gone


def test_a_list_that_shrinks_to_nothing_or_doubles_leaves_answers():
    harness = ControllerHarness()
    harness.list(kind=ListKind.COMPLETE)
    assert len(answers(harness.call(dest=1))) == 1 and harness.controller.exchange_by_number == {}
    harness.list(*[(100 + n, n, SwitchState.READY, 0.0) for n in range(200)], kind=ListKind.COMPLETE)
    assert sends(harness.call(dest=150)) == [250]


def test_a_redraw_looks_at_no_more_tandems_than_a_call_may_have_attempts():
    harness = ControllerHarness(exchanges=300, circuits=0.0)
    looked = []
    blocks = harness.controller.tandem_unavailable
    harness.controller.tandem_unavailable = lambda *what: looked.append(what) or blocks(*what)
    harness.call(dest=1, advice=9)
    assert 0 < len(looked) <= harness.settings.max_attempts + 1


def test_a_redial_sooner_than_the_asked_wait_counts_as_late():
    """One member's callers redial at once whatever a refusal asks: they leave the reserve and the tandems."""
    harness = ControllerHarness()
    harness.circuits(1, 0.0)
    assert sends(harness.call(dest=9, called=42)) == []
    assert sends(harness.at(0.1).call(dest=1, called=42)) == []
    assert sends(harness.at(0.1).call(dest=1, called=43)) != []
    harness.stands(harness.next_call, harness.controller.tandem_by_destination[1])
    assert sends(harness.at(20.0).call(dest=1, called=42)) != []  # their next call


def test_a_call_worth_nothing_is_not_refused_at_level_0():
    harness = ControllerHarness(classes=(CLASS, replace(CLASS, worth=0.0)))
    harness.call(dest=2)
    assert sends(harness.call(dest=1, cls=1)) == [101]
