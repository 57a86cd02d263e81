"""Tests of the real program: hub membership while Consul is slow, or after it has lost its state."""

import time
import unittest

from twisted.internet.task import Clock

from chutefork.consul_membership import RETENTION_S, ConsulMembership
from chutefork.net.clock import UnixClock
from chutefork.sip.settings import ConsulConfig

from .sip_harness import FakeConsul, SipTestCase

# Above the wait of the tests' queries (2 s and 1/16 of it) with the shortest time limit for the answer (5 s).
LATE_ANSWER_S = 7.5
LEARNED_WITHIN_S = 30.0
TOLD_AFTER_S = 7.0  # a change counts as told so long after Consul has it, whether it has arrived or not
OUTAGE_S = 12.0
TOLD_AFTER_OUTAGE_S = 6.0  # from when Consul can be reached again


class SlowConsul(SipTestCase):
    def test_hub_that_drains_is_learned_from_a_consul_that_answers_late(self):
        # Guards against a time limit that every answer of a slow Consul exceeds, however often it is asked.
        self.consul.delay_s = LATE_ANSWER_S
        self.consul.set_service("hub-1", status="warning")
        self.consul.wait_for_queries(self.consul.index, timeout_s=LEARNED_WITHIN_S)
        self.caller.send_invite()
        self.expect_error(503)


class SilentConsul(SipTestCase):
    config_changes = {"wait_s = 2": "wait_s = 30"}

    def setUp(self):
        super().setUp()
        self.consul.wait_s = 30.0

    def test_drain_is_learned_although_the_open_queries_have_fallen_silent(self):
        # Guards against a silent watch that is only given up after its wait of half a minute.
        self.consul.wait_for_queries(self.consul.index)
        self.consul.silence_open_connections()
        drained_at = time.monotonic()
        self.consul.set_service("hub-1", status="warning")
        self.consul.wait_for_queries(self.consul.index)
        self.assertLess(time.monotonic() - drained_at, TOLD_AFTER_S)
        self.caller.send_invite()
        self.expect_error(503)

    def test_consul_is_asked_again_soon_after_an_outage(self):
        # Guards against a pause between attempts that has grown with the length of the outage.
        services, port = self.consul.services, self.consul.port
        self.consul.close()
        time.sleep(OUTAGE_S)
        self.consul = FakeConsul(port)
        self.consul.services, self.consul.index = services, 20
        returned_at = time.monotonic()
        self.consul.set_service("hub-1", status="warning")
        self.consul.wait_for_queries(self.consul.index)
        self.assertLess(time.monotonic() - returned_at, TOLD_AFTER_OUTAGE_S)
        self.caller.send_invite()
        self.expect_error(503)


class ConsulRestarts(SipTestCase):
    config_changes = {"wait_s = 2": "wait_s = 20"}

    def setUp(self):
        super().setUp()
        self.consul.wait_s = 20.0

    def restart_consul(self, services):
        self.consul = self.consul.restarted(3, services)
        self.consul.wait_for_queries(3)

    def test_drain_after_a_restart_of_consul_with_a_lower_index_is_learned_at_once(self):
        # Guards against a query from the old index, which blocks for its whole wait at the new Consul.
        self.restart_consul(self.consul.services)
        self.consul.set_service("hub-1", status="warning")
        self.consul.wait_for_queries(4)
        self.caller.send_invite()
        self.expect_error(503)

    def test_restart_of_consul_with_an_empty_catalogue_ends_no_call_and_removes_no_hub(self):
        # Guards against emptied routes and a BYE for every call while the hubs have not registered again.
        self.establish_call()
        before = dict(self.consul.services)
        self.restart_consul({})
        self.caller.expect_silence(0.3)
        self.caller.send_invite()
        self.hub1.reply(self.hub1.expect("INVITE"), 486)
        self.expect_error(486)
        self.consul.register(before)
        self.consul.wait_for_queries(self.consul.index)
        self.consul.set_service("hub-1", status="critical")
        self.consul.wait_for_queries(self.consul.index)
        self.caller.send_invite()
        self.caller.expect("BYE")
        self.expect_error(404)

    def test_restart_of_consul_with_an_empty_catalogue_and_a_higher_index_removes_no_hub(self):
        # Guards against emptied routes when other services have registered before the hubs.
        self.establish_call()
        before = dict(self.consul.services)
        self.consul = self.consul.restarted(self.consul.index + 20, {})
        self.consul.wait_for_queries(self.consul.index)
        self.caller.expect_silence(0.3)
        self.caller.send_invite()
        self.hub1.reply(self.hub1.expect("INVITE"), 486)
        self.expect_error(486)
        self.consul.register(before)
        self.consul.wait_for_queries(self.consul.index)
        self.consul.set_service("hub-1", status="critical")
        self.consul.wait_for_queries(self.consul.index)
        self.caller.send_invite()
        self.caller.expect("BYE")
        self.expect_error(404)

    def test_hub_that_drained_before_consul_lost_its_state_gets_no_new_calls(self):
        # Guards against a hub that is kept from before the restart in another state than its last one.
        self.consul.set_service("hub-1", status="warning")
        self.consul.wait_for_queries(self.consul.index)
        self.restart_consul({})
        self.caller.send_invite()
        self.expect_error(503)


class RetentionOfHubs(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.lists = []
        self.membership = ConsulMembership(
            ConsulConfig("127.0.0.1:8500", "sip-hub", "", 10.0, 30.0, ""),
            self.clock,
            UnixClock(),
            lambda event: self.lists.append([hub.name for hub in event.hubs]),
        )

    def answer(self, *names):
        self.membership.on_catalogue(
            [
                {
                    "ServiceID": name,
                    "Address": "127.0.0.1",
                    "ServicePort": 5060,
                    "ServiceMeta": {"number": "1"},
                }
                for name in names
            ]
        )
        self.membership.on_health([{"Service": {"ID": name}, "Checks": []} for name in names])

    def test_hub_that_does_not_register_again_is_removed_once_others_have_had_time_to(self):
        # Guards against a hub that is kept for good although it has left while Consul was away.
        self.answer("hub-1", "hub-2")
        self.membership.on_index_reset()
        self.answer()
        self.clock.advance(
            2 * RETENTION_S
        )  # an empty catalogue does not empty the routes, however long it lasts
        self.answer("hub-1")
        self.clock.advance(RETENTION_S - 1)
        self.assertEqual(self.lists, [["hub-1", "hub-2"]])
        self.clock.advance(1)
        self.assertEqual(self.lists, [["hub-1", "hub-2"], ["hub-1"]])
