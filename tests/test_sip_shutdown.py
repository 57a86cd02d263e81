"""The SIP side of the real program from SIGTERM to its end."""

import signal
import time

from .sip_harness import CallerAgent, SipTestCase
from .test_departed_callers import Suspended

ACCEPT_S = 0.75  # after SIGTERM, how long calls are accepted
UNREAD_OPTIONS, UNREAD_INVITES = 20, 40
KILL_AFTER_S = 3.7  # SIGKILL comes no sooner: 3 s, the most that counts of the longest deadline, and 0.7 s


class ShutdownTests:
    """Tests that run over UDP and over TCP."""

    def terminate(self):
        self.terminated_at = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)

    def assert_exited_before_the_kill(self):
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assertLess(time.monotonic() - self.terminated_at, KILL_AFTER_S)

    def test_calls_that_ring_at_a_hub_that_hangs_are_answered_before_the_kill(self):
        # Guards against INVITEs without a final response when SIGKILL comes.
        callers = [self.endpoint(CallerAgent).connect(self.address) for _ in range(4)]
        for caller in callers[:2]:
            caller.send_invite()
            self.hub1.reply(self.hub1.expect("INVITE"), 180)
            caller.expect(180)
        self.terminate()
        for caller in callers[2:]:
            caller.send_invite()
            self.hub1.reply(self.hub1.expect("INVITE"), 180)
            caller.expect(180)
        for caller in callers:
            answer = caller.receive(self.terminated_at + KILL_AFTER_S - time.monotonic())
            self.assertIsNotNone(answer)
            self.assertGreaterEqual(answer.code, 400)
            caller.ack_error(answer)
        self.assert_exited_before_the_kill()

    def test_invites_that_have_arrived_unread_when_the_program_could_end_get_a_final_response(self):
        # Guards against INVITEs without a final response because the last look at the sockets came too early.
        caller = self.endpoint(CallerAgent).connect(self.address)
        self.terminate()
        time.sleep(ACCEPT_S - 0.1)
        with Suspended(self.program):
            for _ in range(UNREAD_OPTIONS):  # are read first, and leave nothing open
                caller.send_request("OPTIONS")
            for _ in range(UNREAD_INVITES):
                caller.send_invite()
            time.sleep(0.2)
        call_ids = set()
        while len(call_ids) < UNREAD_INVITES:
            answer = caller.receive()
            self.assertIsNotNone(answer)
            if answer.code == 100 or answer.method == "OPTIONS":
                continue
            self.assertGreaterEqual(answer.code, 400)
            call_ids.add(answer.get("Call-ID"))
            caller.call_id = answer.get("Call-ID")
            caller.ack_error(answer)
        self.assert_exited_before_the_kill()


class UdpShutdownTests(ShutdownTests, SipTestCase):
    transport = "UDP"

    def test_a_lost_final_response_is_sent_again_before_the_program_ends(self):
        # Guards against a caller without an answer because the only datagram with it was lost.
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 180)
        self.caller.expect(180)
        self.terminate()
        time.sleep(1.5)
        self.hub1.reply(invite, 486)
        answer = self.caller.expect(486)  # counts as lost: no ACK is sent
        self.caller.expect_retransmission(486)
        self.caller.ack_error(answer)
        self.assert_exited_before_the_kill()

    def test_the_last_refusals_are_repeated_although_their_retransmission_timer_is_longer(self):
        # Guards against a lost datagram among those sent just before the program ends.
        self.caller.send_invite()
        self.hub1.reply(self.hub1.expect("INVITE"), 180)
        self.caller.expect(180)
        self.terminate()
        answer = self.caller.receive(KILL_AFTER_S)
        self.assertGreaterEqual(answer.code, 400)
        self.caller.expect_retransmission(answer.code)
        self.assert_exited_before_the_kill()


class SlowRetransmissionShutdownTests(UdpShutdownTests):
    config_changes = {"t1_ms = 40": "t1_ms = 500"}


class TcpShutdownTests(ShutdownTests, SipTestCase):
    transport = "TCP"
