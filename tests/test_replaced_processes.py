"""Tests of the real program: a process vanishes without a word, and another one comes up at its address."""

import select
import time

from chutefork.sip.transport import OutboundStream, SipTransport

from .platform_harness import SETTINGS, PlatformCase, wait_until
from .sip_harness import SipEndpoint, SipTestCase

A, B = "00000000000000a1", "00000000000000b2"
WARM_UP_S = 0.1  # of an exchange that has just started, which gets few calls until then
CLEAR_GAP_S = 0.02  # so that the order of events is certain in whole milliseconds
ANSWER_AIM_S = 1.5  # target_s of the call classes
SETUP, RELEASE = 1, 12  # message types of the exchanges' frames


class PlatformTests(PlatformCase):
    def replace_exchange1(self, name):
        """A new exchange at the address of the first one, whose connection stays open and silent."""
        address = self.exchange1.sock.getsockname()
        self.exchange1.sock.close()
        time.sleep(CLEAR_GAP_S)
        return self.exchange(name, 1, address)

    def started_now(self, exchange):
        return exchange.entry(since=int(time.time() * 1000))

    def check_set_up_reaches(self, new, caller):
        time.sleep(WARM_UP_S)
        caller.launch(B)
        self.assertEqual(new.read()[:2], (SETUP, B))
        new.answer(B)
        self.assertEqual(caller.read()["kind"], "running")
        frames = iter(lambda: self.exchange1.read(self.exchange1.connections[0]), None)
        self.assertNotIn(SETUP, [kind for kind, _, _ in frames])  # until the end of the old connection

    def test_set_up_after_a_restart_goes_to_the_new_process_and_the_calls_of_the_old_one_end(self):
        # Guards against set-ups on a connection that leads to a process that is gone.
        caller = self.caller()
        self.establish_call(caller, A)
        new = self.replace_exchange1("s-1")
        self.channel.publish(self.started_now(new))
        self.assertEqual(caller.read()["uid"], A)
        new.accept()
        self.assertEqual(new.read()[:2], (RELEASE, A))
        self.check_set_up_reaches(new, caller)

    def test_set_up_after_a_replacement_under_another_name_goes_to_the_new_process(self):
        # Guards against work for a new exchange that is sent to the one before it at the same address.
        caller = self.caller()
        self.establish_call(caller, A)
        new = self.replace_exchange1("s-9")
        gone = {**self.exchange1_entry, "status": "Gone"}
        self.channel.publish(self.started_now(new), gone)
        self.assertEqual(caller.read()["uid"], A)
        new.accept()
        self.check_set_up_reaches(new, caller)

    def test_start_by_a_clock_ahead_that_is_listed_again_closes_no_connection(self):
        # Guards against connections that are renewed at each change of the list.
        entry = self.exchange1.entry(since=int(time.time() * 1000) + 60_000)
        self.channel.publish(entry)
        self.exchange1.accept()
        polls = self.channel.polls
        self.channel.publish(entry)
        wait_until(lambda: self.channel.polls > polls, "the next poll")
        self.assertEqual(select.select([self.exchange1.connections[-1]], [], [], 0.3)[0], [])

    def setUp(self):
        super().setUp()
        self.exchange1_entry = self.exchange1.entry()

    def start(self, *args, **options):
        rules = {**SETTINGS["rules"], "warm_up_s": WARM_UP_S}
        return super().start(*args, settings={**SETTINGS, "rules": rules}, **options)


class ReplacedHubTests:
    """Tests that run over UDP and over TCP."""

    config_changes = {"warm_up_s = 14.0": f"warm_up_s = {WARM_UP_S}"}

    def test_invite_after_a_replacement_goes_to_the_new_hub(self):
        # Guards against INVITEs for a new hub on the connection to the one before it at the same address.
        self.establish_call()
        port = self.hub1.address[1]
        (self.hub1.server or self.hub1.sock).close()
        new = SipEndpoint(self.transport, port)
        self.addCleanup(new.close)
        with self.consul.condition:
            self.consul.services["hub-9"] = 1, port, self.transport.lower(), ("service:x", "passing")
        self.consul.remove_service("hub-1")
        self.caller.reply(self.caller.expect("BYE"), 200)
        self.consul.wait_for_queries(self.consul.index)  # one query removes a hub, both are needed to add one
        self.caller.send_invite()
        while (message := new.receive()).method != "INVITE":
            pass  # the BYE of the call at the hub before, which may not have known of its removal
        new.reply(message, 486)
        self.expect_error(486)

    def test_call_that_rings_at_a_hub_that_restarts_is_sent_to_the_new_process(self):
        # Guards against a call that waits for a process that is gone until its time is over.
        self.caller.send_invite()
        self.hub1.reply(self.hub1.expect("INVITE"), 180)
        self.caller.expect(180)
        port = self.hub1.address[1]
        (self.hub1.server or self.hub1.sock).close()
        time.sleep(CLEAR_GAP_S)
        new = SipEndpoint(self.transport, port)
        self.addCleanup(new.close)
        self.consul.started_ms["hub-1"] = int(time.time() * 1000)
        time.sleep(CLEAR_GAP_S)
        self.consul.set_service("hub-1", 1, new)
        listed_at = time.monotonic()
        while (message := new.receive()).method != "INVITE":
            pass  # what ends the attempt at the process before
        self.assertLess(time.monotonic() - listed_at, ANSWER_AIM_S)
        new.reply(message, 486)
        self.expect_error(486)


class UdpReplacedHubTests(ReplacedHubTests, SipTestCase):
    transport = "UDP"

    def test_invite_of_a_restarted_caller_that_counts_its_branches_anew_is_a_new_call(self):
        # Guards against a new caller's INVITE that is taken for a retransmission of the one before it.
        branch = "z9hG4bK-1"
        for _ in range(2):
            self.caller.send_invite(branch=branch)
            self.hub1.reply(self.hub1.expect("INVITE"), 486)
            self.hub1.expect("ACK")
            self.expect_error(486)


class TcpReplacedHubTests(ReplacedHubTests, SipTestCase):
    transport = "TCP"


def test_late_end_of_a_replaced_connection_fails_nothing_that_is_queued_for_the_new_one():
    # Guards against an INVITE that is given up although the connection for it is being opened.
    address, failures = ("127.0.0.1", 5060), []
    transport = SipTransport(None, ("127.0.0.1", 0), connect_timeout_s=1.0, sockets=64)
    replaced, current = OutboundStream(transport, address), OutboundStream(transport, address)
    transport.queued[address] = [(b"INVITE", lambda: failures.append("failed"))]
    replaced.on_closed()  # while the new connection is being opened
    transport.outbound[address] = current
    replaced.on_closed()
    assert not failures
    current.on_closed()
    assert failures == ["failed"]
