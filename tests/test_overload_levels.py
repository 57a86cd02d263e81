"""Load levels, which readings move them, and the routes chosen by them."""

from dataclasses import replace

from chutefork import CallController, Load, LoadReport, LogMessage, PeerMessage, SendPeerMessage

from .controller_harness import (
    CLASS,
    ControllerHarness,
    ListKind,
    Outcome,
    Reason,
    SwitchState,
    actions_of_type,
    final_answers,
    sent_to,
)


def take_reading(harness, number=1, failed=False):
    exchange = harness.exchange(number)
    return exchange.take_reading(
        harness.now, harness.controller.smoothing_s, harness.controller.wait_limit_s, failed
    )


def set_unanswered(harness, count, number=1):
    harness.exchange(number).unanswered = {1000 + n: harness.now for n in range(count)}


def test_five_consecutive_readings_over_raise_the_level_and_four_do_not():
    harness = ControllerHarness()
    set_unanswered(harness, 6)
    assert [take_reading(harness) for _ in range(5)] == [0, 0, 0, 0, 1]
    assert [take_reading(harness) for _ in range(5)] == [0, 0, 0, 0, 1]
    assert [take_reading(harness) for _ in range(10)] == [0] * 10 and harness.exchange(1).level == 2


def test_a_reading_under_ends_a_run_of_readings_over():
    harness = ControllerHarness()
    for _ in range(3):
        set_unanswered(harness, 6)
        assert [take_reading(harness) for _ in range(4)] == [0] * 4
        set_unanswered(harness, 0)
        assert take_reading(harness) == 0
    assert harness.exchange(1).level == 0


def test_five_consecutive_readings_under_lower_the_level():
    harness = ControllerHarness()
    harness.exchange(1).level = 2
    assert [take_reading(harness) for _ in range(10)] == [0, 0, 0, 0, -1, 0, 0, 0, 0, -1]


def test_a_reading_equal_to_the_threshold_is_neither_over_nor_under():
    harness = ControllerHarness()
    set_unanswered(harness, 2)  # at most MIN_THRESHOLD_SETUPS
    harness.exchange(1).consecutive_over = harness.exchange(1).consecutive_under = 4
    assert (
        take_reading(harness) == 0
        and harness.exchange(1).consecutive_over == harness.exchange(1).consecutive_under == 0
    )


def test_level_1_stays_between_its_two_thresholds():
    harness = ControllerHarness()
    exchange = harness.exchange(1)
    exchange.answer_rate_per_s, exchange.rate_updated_at, exchange.level = 100.0, harness.now, 1
    threshold = 100 * harness.controller.wait_limit_s
    for count, steps in (
        (threshold - 1, [-1]),
        (threshold + 1, []),
        (threshold * 45 / 40 - 1, []),
        (threshold * 45 / 40 + 1, [1]),
    ):
        exchange.level, exchange.consecutive_over, exchange.consecutive_under = 1, 0, 0
        set_unanswered(harness, int(count))
        assert [step for step in (take_reading(harness) for _ in range(5)) if step] == steps


def test_calls_to_an_overloaded_destination_are_refused_by_the_static_chances():
    harness = ControllerHarness(circuits=10000.0)
    for level, low, high in ((0, 400, 400), (1, 150, 250), (2, 0, 0)):
        sent = 0
        for _ in range(400):
            (
                harness.exchange(1).level,
                harness.exchange(1).consecutive_over,
                harness.exchange(1).consecutive_under,
            ) = level, 0, 0
            sent += len(sent_to(harness.call(dest=1)))
            harness.established(harness.last_call, 101, elapsed_s=0.0)
        assert low <= sent <= high


def test_refused_calls_count_as_readings():
    harness = ControllerHarness()
    harness.exchange(1).level = 2
    for _ in range(5):
        harness.call(dest=1)
    assert harness.exchange(1).level == 1


def test_processor_full_is_a_reading_over_and_keeps_readings_over_for_a_time():
    harness = ControllerHarness()
    harness.call(dest=1)
    harness.ended(1, 101, Outcome.REJECTED, Reason.PROCESSOR_FULL)
    assert harness.exchange(1).consecutive_over == 1
    take_reading(harness)
    assert harness.exchange(1).consecutive_over == 2  # by the count alone (0) it would be under
    harness.advance(10.0)
    take_reading(harness)
    assert harness.exchange(1).consecutive_over == 0 and harness.exchange(1).consecutive_under == 1


def test_a_long_reported_wait_is_a_reading_over_and_absent_fields_are_no_reading():
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
        harness.handle(LoadReport(101, True, 0.1, True, load))
        assert harness.exchange(1).consecutive_over == over and harness.exchange(1).consecutive_under == 0


def test_the_direct_route_comes_first_then_the_tandem_last_chosen():
    harness = ControllerHarness()
    assert sent_to(harness.call(dest=1)) == [101]
    harness.report_circuits(1, 0.0)
    first = sent_to(harness.call(dest=1))
    for _ in range(5):
        harness.established(harness.last_call, first[0])
        assert sent_to(harness.call(dest=1)) == first


def test_a_tandem_that_rejected_a_call_is_replaced_and_not_chosen_again_for_a_time():
    harness = ControllerHarness(circuits=100.0)
    harness.report_circuits(1, 0.0)
    (first,) = sent_to(harness.call(dest=1))
    harness.ended(1, first, Outcome.REJECTED, Reason.REJECTED_BY_TANDEM)
    chosen = set()
    for _ in range(20):
        (tandem,) = sent_to(harness.call(dest=1))
        harness.established(harness.last_call, tandem)
        chosen.add(tandem)
    assert first not in chosen and len(chosen) == 1


def test_an_overloaded_tandem_is_not_used():
    harness = ControllerHarness(exchanges=2)
    harness.report_circuits(1, 0.0)
    harness.exchange(2).level = 2
    actions = harness.call(dest=1)
    assert sent_to(actions) == [] and len(final_answers(actions)) == 1


def test_a_new_choice_of_a_tandem_begins_with_the_advised_one():
    for tandem in (2, 3, 4):
        harness = ControllerHarness()
        harness.report_circuits(1, 0.0)
        assert sent_to(harness.call(dest=1, advice=tandem)) == [100 + tandem]


def test_trunk_reservation_refuses_calls_in_transit():
    harness = ControllerHarness()
    harness.report_circuits(1, 3.0, size=25.0)
    assert sent_to(harness.call(dest=1, in_transit=True)) == []
    assert sent_to(harness.call(dest=1)) == [101]
    harness.report_circuits(1, 20.0, size=25.0)
    assert sent_to(harness.call(dest=1, in_transit=True)) == [101]


def test_a_slow_own_processor_refuses_own_calls():
    """If all remote exchanges are slow, the wait is at the own processor; one quick answer rules that out."""

    def own_level_after(answer_times):
        harness = ControllerHarness(circuits=1000.0)
        for _ in range(20):
            for number, elapsed_s in answer_times.items():
                for switch in sent_to(harness.call(dest=number)):
                    call = harness.last_call
                    harness.controller.exchanges[switch].unanswered[call] = harness.now - elapsed_s
                    harness.established(call, switch, elapsed_s=elapsed_s)
            harness.advance(0.05)
        return harness.controller.own_processor.level

    assert own_level_after({1: 1.9, 2: 1.9, 3: 1.9}) > 0
    assert own_level_after({1: 1.9, 2: 1.9, 3: 0.1}) == 0


def test_the_level_of_the_own_processor_refuses_own_calls_and_calls_in_transit():
    harness = ControllerHarness()
    harness.controller.own_processor.level = 2
    assert sent_to(harness.call(dest=1)) == [] and sent_to(harness.call(dest=2, in_transit=True)) == []


def test_mass_calls_to_one_number_leave_the_reserved_circuits_to_others():
    harness = ControllerHarness()

    def call(number):
        harness.report_circuits(1, 3.0, size=25.0)
        sent = sent_to(harness.call(dest=1, number_called=number))
        harness.established(harness.last_call, 101)
        return len(sent)

    sent = [call(555) for _ in range(60) if harness.advance(0.6)]
    assert sum(sent[:4]) > 0 and sum(sent[5:]) == 0  # no pause as long as a caller waits: the run stays late
    assert call(556) == 1


def test_the_static_chance_is_weighted_by_worth():
    classes = (CLASS, replace(CLASS, worth=5.0))
    harness = ControllerHarness(circuits=10000.0, classes=classes)
    sent = [0, 0]
    for n in range(600):
        (
            harness.exchange(1).level,
            harness.exchange(1).consecutive_over,
            harness.exchange(1).consecutive_under,
        ) = 1, 0, 0
        class_index = n % 3 == 0
        sent[class_index] += len(sent_to(harness.call(dest=1, class_index=int(class_index))))
        harness.established(harness.last_call, 101, elapsed_s=0.0)
    assert sent[0] / 400 < 0.5 < sent[1] / 200


def test_a_hold_off_is_asked_for_only_where_it_is_allowed():
    for allowed in (True, False):
        harness = ControllerHarness(hold_off_allowed=allowed)
        (refusal,) = final_answers(harness.call(dest=9))
        assert (refusal.hold_off_s > 0) == allowed and refusal.hold_off_s < CLASS.aim_s


def test_pools_overflow_only_to_pools_of_the_class():
    pool_class = replace(CLASS, pools=(1, 3))
    harness = ControllerHarness(pools_form=True, own_number=-1, classes=(pool_class,))
    assert sent_to(harness.call(dest=1)) == [101]
    harness.report_circuits(1, 0.0)
    for _ in range(10):
        assert sent_to(harness.call(dest=1)) == [103]
        harness.established(harness.last_call, 103)
    harness.update_list((103, 3, SwitchState.GONE, 0.0))
    assert sent_to(harness.call(dest=1)) == []


def test_a_pool_chosen_for_one_class_is_not_used_for_a_class_that_it_cannot_serve():
    classes = (replace(CLASS, pools=(1, 3)), replace(CLASS, pools=(1, 4)))
    harness = ControllerHarness(pools_form=True, own_number=-1, classes=classes)
    harness.report_circuits(1, 0.0)
    assert sent_to(harness.call(dest=1, class_index=0)) == [103]
    assert sent_to(harness.call(dest=1, class_index=1)) == [104]


def test_the_same_events_give_the_same_actions():
    def run():
        harness = ControllerHarness()
        harness.report_circuits(1, 0.0)
        return [harness.advance(0.1).call(dest=1 + n % 4, advice=n % 5) for n in range(60)]

    assert run() == run()
    assert not hasattr(CallController, "shared")


def test_overload_is_logged_rarely():
    harness = ControllerHarness()
    messages = []
    for n in range(400):
        set_unanswered(harness, 8 if n // 20 % 2 else 0)
        messages += actions_of_type(harness.advance(0.05).call(dest=1), LogMessage)
    assert 1 <= len(messages) <= 10
    assert all("load level 2" in message.text for message in messages)


def test_a_redial_past_the_aim_uses_no_tandem_and_no_reserved_circuit():
    harness = ControllerHarness()
    harness.report_circuits(1, 3.0, size=25.0)
    assert sent_to(harness.call(dest=9, number_called=42)) == []
    assert sent_to(harness.advance(0.5).call(dest=1, number_called=42)) == [101]  # still in time
    harness.established(harness.last_call, 101)
    # Only reserved circuits are free, and it is too late for a tandem.
    assert sent_to(harness.advance(2.0).call(dest=1, number_called=42)) == []
    assert sent_to(harness.advance(0.1).call(dest=1, number_called=43)) == [101]  # another caller
    # The caller's next call, not a redial.
    assert sent_to(harness.advance(20.0).call(dest=1, number_called=42)) == [101]


def test_overflow_stops_when_most_direct_answers_are_slow_but_not_for_one_slow_exchange():
    def level_and_routes_after(answer_times):
        harness = ControllerHarness(circuits=1000.0)
        for _ in range(12):
            for number, elapsed_s in answer_times.items():
                for switch in sent_to(harness.advance(0.05).call(dest=number)):
                    call = harness.last_call
                    harness.controller.exchanges[switch].unanswered[call] = harness.now - elapsed_s
                    harness.established(call, switch, elapsed_s=elapsed_s)
        harness.report_circuits(1, 0.0)
        overflow = sent_to(harness.call(dest=1))
        return harness.controller.tandem_load.level, overflow, sent_to(harness.call(dest=2, in_transit=True))

    assert level_and_routes_after({2: 0.6, 3: 0.6, 4: 0.6}) == (2, [], [])
    level, overflow, transit = level_and_routes_after({2: 0.1, 3: 0.9, 4: 0.1})
    assert level == 0 and len(overflow) == 1 and transit == [102]


def test_redials_do_not_lower_the_level_of_the_own_processor_while_set_ups_wait():
    harness = ControllerHarness()
    harness.call(dest=1)
    harness.controller.own_processor.level = 2
    for _ in range(20):
        assert sent_to(harness.call(dest=2)) == []
    assert harness.controller.own_processor.level == 2  # no answer yet: no reading under
    harness.advance(0.1).established(1, 101)
    for _ in range(10):
        harness.call(dest=2)
    assert harness.controller.own_processor.level == 0


def test_a_reported_hold_back_share_is_compared_with_the_refusal_chances():
    harness = ControllerHarness()
    for share, level in ((0.4, 1), (0.6, 1), (0.9, 2), (0.8, 2), (0.5, 1), (0.0, 0), (0.2, 0)):
        for _ in range(5):
            harness.handle(LoadReport(101, True, 0.1, True, Load(hold_back_share=share)))
        assert harness.exchange(1).level == level


def peer_payloads(actions):
    return [action.payload for action in actions_of_type(actions, SendPeerMessage)]


def test_a_changed_level_of_the_own_processor_is_sent_to_the_peers_at_a_limited_rate():
    harness = ControllerHarness(messages_allowed=True)
    harness.controller.own_processor.level = 2
    harness.call(dest=1)
    assert peer_payloads(harness.call(dest=1)) == []  # already sent with the call before
    harness.controller.own_processor.level = 1
    assert peer_payloads(harness.call(dest=1)) == []  # too soon after the last message
    assert peer_payloads(harness.advance(1.1).call(dest=1)) == [bytes((1, 2))]
    without_messages = ControllerHarness()
    without_messages.controller.own_processor.level = 2
    assert peer_payloads(without_messages.call(dest=1)) == []


def test_a_level_reported_by_a_peer_is_adopted_and_own_readings_go_on():
    harness = ControllerHarness()
    harness.handle(PeerMessage(1, bytes((2, 1))))
    assert harness.exchange(1).level == 2 and sent_to(harness.call(dest=1)) == []
    for _ in range(12):  # the message of the end of the overload was lost
        harness.call(dest=1)
        harness.established(harness.last_call, 101)
    assert harness.exchange(1).level == 0 and len(sent_to(harness.call(dest=1))) == 1


def test_malformed_and_outdated_messages_and_those_of_unknown_senders_are_ignored():
    harness = ControllerHarness()
    harness.handle(PeerMessage(1, bytes((1, 5))))
    for sender, payload in (
        (1, b""),
        (1, b"x"),
        (1, bytes((3, 6))),
        (1, bytes((2, 6, 0))),
        (1, bytes((0, 4))),
        (0, bytes((2, 6))),
        (77, bytes((2, 6))),
    ):
        assert harness.handle(PeerMessage(sender, payload)) == []
    assert [harness.exchange(n).level for n in range(1, 5)] == [1, 0, 0, 0]


def test_switches_that_are_gone_and_expired_tandem_blocks_are_removed():
    harness = ControllerHarness()
    harness.report_circuits(1, 0.0)
    (tandem,) = sent_to(harness.call(dest=1))
    harness.ended(harness.last_call, tandem, Outcome.REJECTED, Reason.REJECTED_BY_TANDEM)
    harness.call(dest=2)
    for n in range(50):
        harness.update_list(
            (102 + n * 100, 2, SwitchState.GONE, 0.0), (202 + n * 100, 2, SwitchState.READY, harness.now)
        )
        harness.advance(10.0)
    assert len(harness.controller.exchanges) <= 7 and not harness.controller.tandem_blocked_until
    # The end of an attempt at a switch that is gone.
    assert len(final_answers(harness.ended(harness.last_call, 102, Outcome.UNREACHABLE))) == 1


def test_calls_are_answered_after_the_list_becomes_empty_or_grows():
    harness = ControllerHarness()
    harness.update_list(kind=ListKind.COMPLETE)
    assert len(final_answers(harness.call(dest=1))) == 1 and harness.controller.exchange_by_number == {}
    harness.update_list(*[(100 + n, n, SwitchState.READY, 0.0) for n in range(200)], kind=ListKind.COMPLETE)
    assert sent_to(harness.call(dest=150)) == [250]


def test_the_choice_of_a_tandem_checks_the_advised_one_and_at_most_max_attempts_others():
    harness = ControllerHarness(exchanges=300, circuits=0.0)
    checked = []
    tandem_unavailable = harness.controller.tandem_unavailable
    harness.controller.tandem_unavailable = lambda *args: checked.append(args) or tandem_unavailable(*args)
    harness.call(dest=1, advice=9)
    assert 0 < len(checked) <= harness.settings.max_attempts + 1


def test_a_redial_sooner_than_the_hold_off_counts_as_late():
    """Callers who redial at once, whatever a refusal asks, get neither reserved circuits nor tandems."""
    harness = ControllerHarness()
    harness.report_circuits(1, 0.0)
    assert sent_to(harness.call(dest=9, number_called=42)) == []
    assert sent_to(harness.advance(0.1).call(dest=1, number_called=42)) == []
    assert sent_to(harness.advance(0.1).call(dest=1, number_called=43)) != []
    harness.established(harness.last_call, harness.controller.tandem_by_destination[1])
    assert sent_to(harness.advance(20.0).call(dest=1, number_called=42)) != []  # the caller's next call


def test_a_call_of_no_worth_is_not_refused_at_level_0():
    """Its chance of refusal, weighted by its worth, would be 0 ** 0, which is 1."""
    harness = ControllerHarness(classes=(CLASS, replace(CLASS, worth=0.0)))
    harness.call(dest=2)
    assert sent_to(harness.call(dest=1, class_index=1)) == [101]
