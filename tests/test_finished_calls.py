"""Tests of the reducer: ends of calls that come long after the call was refused."""

import unittest

from chutefork.core import messages
from chutefork.core.reducer import reduce
from chutefork.core.state import State
from chutefork.interface import ListKind, Outcome, SwitchState

from .controller_harness import SETTINGS

US_PER_SECOND = 1_000_000
CALL = 7
HUB = "s-1"
LONG_OUTAGE_S = 300


class EndsAfterALongOutage(unittest.TestCase):
    """An exchange is cut off while it sets a call up, and tells the end of the call once it is back."""

    def setUp(self):
        self.state = State.initial(SETTINGS)
        self.now = US_PER_SECOND
        hub = messages.Hub(HUB, 1, SwitchState.READY, "127.0.0.1:1", 0)
        self.reduce(messages.HubsListed(ListKind.COMPLETE, (hub,)))

    def reduce(self, event):
        return reduce(self.state, event, self.now)

    def kinds(self, effects):
        return [type(effect) for effect in effects]

    def refuse_a_call(self, outcome):
        """A call whose only attempt ends like this, so that it is refused."""
        effects = self.reduce(messages.Arrival(CALL, 0, 1.0, 2 * US_PER_SECOND, 0, 0, 1))
        self.assertIn(messages.SetUp, self.kinds(effects))
        self.reduce(messages.AttemptEnded(CALL, HUB, outcome))
        self.now += 3 * US_PER_SECOND
        self.reduce(messages.WakeUpDue())
        self.assertNotIn(CALL, self.state.calls)

    def end_after(self, seconds):
        """What the end of the call causes, the first time and when the exchange repeats it."""
        self.now += seconds * US_PER_SECOND
        self.reduce(messages.WakeUpDue())
        first = self.kinds(self.reduce(messages.AttemptEnded(CALL, HUB, Outcome.OK)))
        self.assertEqual(self.kinds(self.reduce(messages.AttemptEnded(CALL, HUB, Outcome.OK))), [])
        return first

    def test_end_of_a_refused_call_is_not_told_to_its_caller_after_a_long_outage(self):
        # Guards against a second `stop` for a call that was refused long ago.
        self.refuse_a_call(Outcome.CUT)
        self.assertEqual(self.end_after(LONG_OUTAGE_S), [])

    def test_end_of_a_call_from_before_the_start_is_told(self):
        self.assertEqual(self.end_after(LONG_OUTAGE_S), [messages.CallEnded])

    def test_calls_whose_attempts_never_ran_are_not_kept_for_long(self):
        # Guards against memory that grows with ordinary refusals.
        self.refuse_a_call(Outcome.REJECTED)
        self.now += LONG_OUTAGE_S * US_PER_SECOND
        self.reduce(messages.WakeUpDue())
        self.assertEqual(len(self.state.finished_at) + len(self.state.uncertain_at), 0)
