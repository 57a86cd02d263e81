"""Tests of the guard that holds back effects which break a rule."""

import unittest

from chutefork.core import messages
from chutefork.core.guard import EffectGuard, Rule
from chutefork.interface import ListKind, Outcome, SwitchState

from .controller_harness import SETTINGS

CALL = 7
RELEASE_US = round(SETTINGS.release_s * 1_000_000)
REFUSAL = messages.Refuse(CALL, 0, messages.FailureCause.UNAVAILABLE)
SET_UP = messages.SetUp(CALL, "hub", 1_000_000)


def hub(state, name="hub"):
    return messages.Hub(name, 1, state, "127.0.0.1:1", 0)


class GuardTests(unittest.TestCase):
    def setUp(self):
        self.guard = EffectGuard(SETTINGS)
        self.now = 1_000_000
        self.list_hub(SwitchState.READY)
        self.observe(messages.Arrival(CALL, 0, 1.0, 1_000_000, 0, 0, 1))

    def observe(self, event):
        self.guard.observe(event, self.now)

    def list_hub(self, state):
        self.observe(messages.HubsListed(ListKind.CHANGES, (hub(state),)))

    def end_attempt(self, outcome):
        self.observe(messages.AttemptEnded(CALL, "hub", outcome))

    def assert_allowed(self, effect):
        self.assertIsNone(self.guard.check(effect, self.now))

    def assert_held_back(self, effect, rule):
        before = self.guard.violations[rule]
        self.assertIs(self.guard.check(effect, self.now), rule)
        self.assertEqual(self.guard.violations[rule], before + 1)

    def test_second_final_answer_and_end_of_a_refused_call(self):
        self.assert_allowed(REFUSAL)
        self.assert_held_back(messages.Answer(CALL, "sdp"), Rule.SINGLE_ANSWER)
        self.assert_held_back(messages.CallEnded(CALL, False), Rule.SINGLE_ANSWER)
        self.assert_held_back(REFUSAL, Rule.SINGLE_ANSWER)

    def test_answer_and_end_of_an_established_call_and_of_one_from_before_a_restart(self):
        self.assert_allowed(SET_UP)
        self.assert_allowed(messages.Answer(CALL, "sdp"))
        self.assert_allowed(messages.CallEnded(CALL, False))
        self.assert_allowed(messages.CallEnded(CALL + 1, False))

    def test_second_attempt_while_one_is_out(self):
        self.assert_allowed(SET_UP)
        self.assert_held_back(SET_UP, Rule.SINGLE_ATTEMPT)
        self.end_attempt(Outcome.REJECTED)
        self.assert_allowed(SET_UP)

    def test_attempt_before_the_release_wait_is_over(self):
        self.assert_allowed(SET_UP)
        self.end_attempt(Outcome.CUT)
        self.now += RELEASE_US - 1
        self.assert_held_back(SET_UP, Rule.RELEASE_FIRST)
        self.now += 1
        self.assert_allowed(SET_UP)
        self.assert_allowed(messages.Release(CALL, "hub"))
        self.assert_held_back(SET_UP, Rule.RELEASE_FIRST)

    def test_attempt_at_a_hub_that_drains_or_is_not_listed(self):
        self.list_hub(SwitchState.DRAINING)
        self.assert_held_back(SET_UP, Rule.SAFE_DRAIN)
        self.list_hub(SwitchState.READY)
        other = (hub(SwitchState.READY, "other"),)
        self.observe(messages.HubsListed(ListKind.COMPLETE, other))
        self.assert_held_back(SET_UP, Rule.SAFE_DRAIN)

    def test_attempt_after_the_answer_after_a_withdrawal_and_in_a_shutdown(self):
        self.observe(messages.Shutdown())
        self.assert_held_back(SET_UP, Rule.SHUTDOWN)
        self.assert_allowed(REFUSAL)
        self.assert_held_back(SET_UP, Rule.OPEN_CALL)
        self.observe(messages.Arrival(CALL, 0, 1.0, 1_000_000, 0, 0, 1))
        self.observe(messages.Withdrawn(CALL))
        self.assert_held_back(SET_UP, Rule.OPEN_CALL)
        self.assert_held_back(REFUSAL, Rule.SINGLE_ANSWER)
