"""Tests of the real program: hub membership while Consul is slow, or after it has lost its state."""

from .sip_harness import SipTestCase

# Above the wait of the tests' queries (2 s and 1/16 of it) with the shortest time limit for the answer (5 s).
LATE_ANSWER_S = 7.5
LEARNED_WITHIN_S = 30.0


class SlowConsul(SipTestCase):
    def test_hub_that_drains_is_learned_from_a_consul_that_answers_late(self):
        # Guards against a time limit that every answer of a slow Consul exceeds, however often it is asked.
        self.consul.delay_s = LATE_ANSWER_S
        self.consul.set_service("hub-1", status="warning")
        self.consul.wait_for_queries(self.consul.index, timeout_s=LEARNED_WITHIN_S)
        self.caller.send_invite()
        self.caller.ack_error(self.caller.expect(503))


class ConsulRestarts(SipTestCase):
    config_changes = {"wait_s = 2": "wait_s = 20"}

    def setUp(self):
        super().setUp()
        self.consul.wait_s = 20.0

    def test_drain_after_a_restart_of_consul_with_a_lower_index_is_learned_at_once(self):
        # Guards against a query from the old index, which blocks for its whole wait at the new Consul.
        self.consul = self.consul.restarted(index=3)
        self.consul.wait_for_queries(3)
        self.consul.set_service("hub-1", status="warning")
        self.consul.wait_for_queries(4)
        self.caller.send_invite()
        self.caller.ack_error(self.caller.expect(503))
