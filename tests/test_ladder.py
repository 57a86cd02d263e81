"""The load level, step by step, and the routes that hang on it."""

from dataclasses import replace

from chutefork import CallController, Load, Note, PeerMessage, Report, Tell

from .desk import CLASS, Desk, ListKind, Outcome, Reason, SwitchState, answers, of, sends


def read(desk, number=1, failed=False):
    far = desk.far(number)
    return far.read(desk.now, desk.controller.smooth_s, desk.controller.bound_s, failed)


def hold(desk, count, number=1):
    desk.far(number).out = {1000 + n: desk.now for n in range(count)}


def test_five_over_in_a_row_raise_a_level_and_four_do_not():
    desk = Desk()
    hold(desk, 6)
    assert [read(desk) for _ in range(5)] == [0, 0, 0, 0, 1]
    assert [read(desk) for _ in range(5)] == [0, 0, 0, 0, 1]
    assert [read(desk) for _ in range(10)] == [0] * 10 and desk.far(1).level == 2


def test_one_reading_under_ends_a_run_over():
    desk = Desk()
    for _ in range(3):
        hold(desk, 6)
        assert [read(desk) for _ in range(4)] == [0] * 4
        hold(desk, 0)
        assert read(desk) == 0
    assert desk.far(1).level == 0


def test_five_under_in_a_row_lower_a_level():
    desk = Desk()
    desk.far(1).level = 2
    assert [read(desk) for _ in range(10)] == [0, 0, 0, 0, -1, 0, 0, 0, 0, -1]


def test_a_reading_equal_to_the_mark_is_neither():
    desk = Desk()
    hold(desk, 2)  # the floor
    desk.far(1).over = desk.far(1).under = 4
    assert read(desk) == 0 and desk.far(1).over == desk.far(1).under == 0


def test_between_the_two_marks_level_one_stays():
    desk = Desk()
    far = desk.far(1)
    far.rate, far.rate_at, far.level = 100.0, desk.now, 1
    low = 100 * desk.controller.bound_s
    for count, steps in ((low - 1, [-1]), (low + 1, []), (low * 45 / 40 - 1, []), (low * 45 / 40 + 1, [1])):
        far.level, far.over, far.under = 1, 0, 0
        hold(desk, int(count))
        assert [step for step in (read(desk) for _ in range(5)) if step] == steps


def test_a_pressed_destination_refuses_by_the_static_chances():
    desk = Desk(circuits=10000.0)
    for level, low, high in ((0, 400, 400), (1, 150, 250), (2, 0, 0)):
        sent = 0
        for _ in range(400):
            desk.far(1).level, desk.far(1).over, desk.far(1).under = level, 0, 0
            sent += len(sends(desk.call(dest=1)))
            desk.stands(desk.next_call, 101, elapsed=0.0)
        assert low <= sent <= high


def test_refused_calls_are_readings():
    desk = Desk()
    desk.far(1).level = 2
    for _ in range(5):
        desk.call(dest=1)
    assert desk.far(1).level == 1


def test_processor_full_reads_over_and_stays_over_for_its_wait():
    desk = Desk()
    desk.call(dest=1)
    desk.ended(1, 101, Outcome.NOT_SET_UP, Reason.PROCESSOR_FULL)
    assert desk.far(1).over == 1
    read(desk)
    assert desk.far(1).over == 2  # without the memory an empty count would read under
    desk.at(10.0)
    read(desk)
    assert desk.far(1).over == 0 and desk.far(1).under == 1


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
        desk = Desk()
        desk.tell(Report(101, True, 0.1, True, load))
        assert desk.far(1).over == over and desk.far(1).under == 0


def test_direct_first_then_the_remembered_tandem():
    desk = Desk()
    assert sends(desk.call(dest=1)) == [101]
    desk.circuits(1, 0.0)
    first = sends(desk.call(dest=1))
    for _ in range(5):
        desk.stands(desk.next_call, first[0])
        assert sends(desk.call(dest=1)) == first


def test_a_tandem_that_blocked_is_redrawn_and_gapped():
    desk = Desk(circuits=100.0)
    desk.circuits(1, 0.0)
    (first,) = sends(desk.call(dest=1))
    desk.ended(1, first, Outcome.NOT_SET_UP, Reason.TURNED_BACK)
    drawn = set()
    for _ in range(20):
        (tandem,) = sends(desk.call(dest=1))
        desk.stands(desk.next_call, tandem)
        drawn.add(tandem)
    assert first not in drawn and len(drawn) == 1


def test_a_pressed_tandem_is_a_block():
    desk = Desk(far=2)
    desk.circuits(1, 0.0)
    desk.far(2).level = 2
    actions = desk.call(dest=1)
    assert sends(actions) == [] and len(answers(actions)) == 1


def test_the_centres_advice_is_taken_at_a_redraw():
    for tandem in (2, 3, 4):
        desk = Desk()
        desk.circuits(1, 0.0)
        assert sends(desk.call(dest=1, advice=tandem)) == [100 + tandem]


def test_trunk_reservation_turns_transit_back():
    desk = Desk()
    desk.circuits(1, 3.0, size=25.0)
    assert sends(desk.call(dest=1, transit=True)) == []
    assert sends(desk.call(dest=1)) == [101]
    desk.circuits(1, 20.0, size=25.0)
    assert sends(desk.call(dest=1, transit=True)) == [101]


def test_a_slow_own_processor_refuses_own_calls():
    """All far exchanges slow at once: the wait is at home. One quick answer says it is not."""

    def after(answer_times):
        desk = Desk(circuits=1000.0)
        for _ in range(20):
            for number, elapsed in answer_times.items():
                for switch in sends(desk.call(dest=number)):
                    call = desk.next_call
                    desk.controller.far[switch].out[call] = desk.now - elapsed
                    desk.stands(call, switch, elapsed=elapsed)
            desk.at(0.05)
        return desk.controller.own.level

    assert after({1: 1.9, 2: 1.9, 3: 1.9}) > 0
    assert after({1: 1.9, 2: 1.9, 3: 0.1}) == 0


def test_the_own_level_refuses_own_and_transit_calls():
    desk = Desk()
    desk.controller.own.level = 2
    assert sends(desk.call(dest=1)) == [] and sends(desk.call(dest=2, transit=True)) == []


def test_mass_calls_to_one_number_leave_the_reserve_to_others():
    desk = Desk()

    def call(number):
        desk.circuits(1, 3.0, size=25.0)
        sent = sends(desk.call(dest=1, called=number))
        desk.stands(desk.next_call, 101)
        return len(sent)

    sent = [call(555) for _ in range(60) if desk.at(0.6)]
    assert sum(sent[:4]) > 0 and sum(sent[5:]) == 0  # no pause of a caller's patience: the run stays late
    assert call(556) == 1


def test_worth_shares_out_the_static_chance():
    classes = (CLASS, replace(CLASS, worth=5.0))
    desk = Desk(circuits=10000.0, classes=classes)
    sent = [0, 0]
    for n in range(600):
        desk.far(1).level, desk.far(1).over, desk.far(1).under = 1, 0, 0
        cls = n % 3 == 0
        sent[cls] += len(sends(desk.call(dest=1, cls=int(cls))))
        desk.stands(desk.next_call, 101, elapsed=0.0)
    assert sent[0] / 400 < 0.5 < sent[1] / 200


def test_refused_callers_are_asked_for_a_wait_only_where_that_is_allowed():
    for allowed in (True, False):
        desk = Desk(hold_off_allowed=allowed)
        (refusal,) = answers(desk.call(dest=9))
        assert (refusal.hold_off_s > 0) == allowed and refusal.hold_off_s < CLASS.aim_s


def test_pools_overflow_only_to_pools_of_the_class():
    pools = replace(CLASS, pools=(1, 3))
    desk = Desk(pools_form=True, own_number=-1, classes=(pools,))
    assert sends(desk.call(dest=1)) == [101]
    desk.circuits(1, 0.0)
    for _ in range(10):
        assert sends(desk.call(dest=1)) == [103]
        desk.stands(desk.next_call, 103)
    desk.list((103, 3, SwitchState.GONE, 0.0))
    assert sends(desk.call(dest=1)) == []


def test_a_pool_remembered_for_one_class_is_not_used_by_another_that_it_cannot_serve():
    classes = (replace(CLASS, pools=(1, 3)), replace(CLASS, pools=(1, 4)))
    desk = Desk(pools_form=True, own_number=-1, classes=classes)
    desk.circuits(1, 0.0)
    assert sends(desk.call(dest=1, cls=0)) == [103]
    assert sends(desk.call(dest=1, cls=1)) == [104]


def test_the_same_events_give_the_same_actions():
    def run():
        desk = Desk()
        desk.circuits(1, 0.0)
        return [desk.at(0.1).call(dest=1 + n % 4, advice=n % 5) for n in range(60)]

    assert run() == run()
    assert not hasattr(CallController, "shared")


def test_log_lines_are_sparing():
    desk = Desk()
    notes = []
    for n in range(400):
        hold(desk, 8 if n // 20 % 2 else 0)
        notes += of(desk.at(0.05).call(dest=1), Note)
    assert 1 <= len(notes) <= 10
    assert all("load level 2" in note.text for note in notes)


def test_a_redial_past_the_aim_takes_no_tandem_and_leaves_the_reserve():
    desk = Desk()
    desk.circuits(1, 3.0, size=25.0)
    assert sends(desk.call(dest=9, called=42)) == []
    assert sends(desk.at(0.5).call(dest=1, called=42)) == [101]  # still in time
    desk.stands(desk.next_call, 101)
    assert sends(desk.at(2.0).call(dest=1, called=42)) == []  # in the reserve, and too late for a tandem
    assert sends(desk.at(0.1).call(dest=1, called=43)) == [101]  # another caller
    assert sends(desk.at(20.0).call(dest=1, called=42)) == [101]  # the caller's next call, not a redial


def test_slow_direct_answers_from_most_stop_the_way_round_and_one_slow_exchange_does_not():
    def after(answer_times):
        desk = Desk(circuits=1000.0)
        for _ in range(12):
            for number, elapsed in answer_times.items():
                for switch in sends(desk.at(0.05).call(dest=number)):
                    call = desk.next_call
                    desk.controller.far[switch].out[call] = desk.now - elapsed
                    desk.stands(call, switch, elapsed=elapsed)
        desk.circuits(1, 0.0)
        round_ = sends(desk.call(dest=1))
        return desk.controller.around.level, round_, sends(desk.call(dest=2, transit=True))

    assert after({2: 0.6, 3: 0.6, 4: 0.6}) == (2, [], [])
    level, round_, transit = after({2: 0.1, 3: 0.9, 4: 0.1})
    assert level == 0 and len(round_) == 1 and transit == [102]


def test_redials_do_not_reopen_the_own_level_while_set_ups_wait():
    desk = Desk()
    desk.call(dest=1)
    desk.controller.own.level = 2
    for _ in range(20):
        assert sends(desk.call(dest=2)) == []
    assert desk.controller.own.level == 2  # nothing heard yet: no reading
    desk.at(0.1).stands(1, 101)
    for _ in range(10):
        desk.call(dest=2)
    assert desk.controller.own.level == 0


def test_an_asked_hold_back_share_is_read_against_the_chances():
    desk = Desk()
    for share, level in ((0.4, 1), (0.6, 1), (0.9, 2), (0.8, 2), (0.5, 1), (0.0, 0), (0.2, 0)):
        for _ in range(5):
            desk.tell(Report(101, True, 0.1, True, Load(hold_back_share=share)))
        assert desk.far(1).level == level


def tells(actions):
    return [action.payload for action in of(actions, Tell)]


def test_the_own_level_is_told_to_peers_when_it_moves_and_sparingly():
    desk = Desk(messages_allowed=True)
    desk.controller.own.level = 2
    desk.call(dest=1)
    assert tells(desk.call(dest=1)) == []  # told by the call before
    desk.controller.own.level = 1
    assert tells(desk.call(dest=1)) == []  # within the bound
    assert tells(desk.at(1.1).call(dest=1)) == [bytes((1, 2))]
    quiet = Desk()
    quiet.controller.own.level = 2
    assert tells(quiet.call(dest=1)) == []


def test_a_peers_level_counts_here_and_own_readings_go_on():
    desk = Desk()
    desk.tell(PeerMessage(1, bytes((2, 1))))
    assert desk.far(1).level == 2 and sends(desk.call(dest=1)) == []
    for _ in range(12):  # the message that it is over was lost
        desk.call(dest=1)
        desk.stands(desk.next_call, 101)
    assert desk.far(1).level == 0 and len(sends(desk.call(dest=1))) == 1


def test_malformed_foreign_and_old_messages_are_passed_over():
    desk = Desk()
    desk.tell(PeerMessage(1, bytes((1, 5))))
    for sender, payload in (
        (1, b""),
        (1, b"x"),
        (1, bytes((3, 6))),
        (1, bytes((2, 6, 0))),
        (1, bytes((0, 4))),
        (0, bytes((2, 6))),
        (77, bytes((2, 6))),
    ):
        assert desk.tell(PeerMessage(sender, payload)) == []
    assert [desk.far(n).level for n in range(1, 5)] == [1, 0, 0, 0]


def test_switches_long_gone_and_old_gaps_are_forgotten():
    desk = Desk()
    desk.circuits(1, 0.0)
    (tandem,) = sends(desk.call(dest=1))
    desk.ended(desk.next_call, tandem, Outcome.NOT_SET_UP, Reason.TURNED_BACK)
    desk.call(dest=2)
    for n in range(50):
        desk.list((102 + n * 100, 2, SwitchState.GONE, 0.0), (202 + n * 100, 2, SwitchState.READY, desk.now))
        desk.at(10.0)
    assert len(desk.controller.far) <= 7 and not desk.controller.gapped
    assert len(answers(desk.ended(desk.next_call, 102, Outcome.NOT_REACHED))) == 1  # of a switch that is gone


def test_a_list_that_shrinks_to_nothing_or_doubles_leaves_answers():
    desk = Desk()
    desk.list(kind=ListKind.COMPLETE)
    assert len(answers(desk.call(dest=1))) == 1 and desk.controller.by_number == {}
    desk.list(*[(100 + n, n, SwitchState.READY, 0.0) for n in range(200)], kind=ListKind.COMPLETE)
    assert sends(desk.call(dest=150)) == [250]


def test_a_redraw_looks_at_no_more_tandems_than_a_call_may_have_attempts():
    desk = Desk(far=300, circuits=0.0)
    looked = []
    blocks = desk.controller.tandem_blocks
    desk.controller.tandem_blocks = lambda *what: looked.append(what) or blocks(*what)
    desk.call(dest=1, advice=9)
    assert 0 < len(looked) <= desk.settings.max_attempts + 1


def test_a_redial_sooner_than_the_asked_wait_counts_as_late():
    """One member's callers redial at once whatever a refusal asks: they leave the reserve and the tandems."""
    desk = Desk()
    desk.circuits(1, 0.0)
    assert sends(desk.call(dest=9, called=42)) == []
    assert sends(desk.at(0.1).call(dest=1, called=42)) == []
    assert sends(desk.at(0.1).call(dest=1, called=43)) != []
    desk.stands(desk.next_call, desk.controller.tandems[1])
    assert sends(desk.at(20.0).call(dest=1, called=42)) != []  # their next call


def test_a_call_worth_nothing_is_not_refused_at_level_0():
    desk = Desk(classes=(CLASS, replace(CLASS, worth=0.0)))
    desk.call(dest=2)
    assert sends(desk.call(dest=1, cls=1)) == [101]
