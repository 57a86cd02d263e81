"""Tests of the real program with callers that close their connection while their requests are unread."""

import signal
import time

from .platform_harness import PlatformCase
from .sip_harness import CallerAgent, SipTestCase

SETUP = 1  # message type of the exchanges' frames
REQUESTS = 40
A = "00000000000000a1"


class Suspended:
    """Suspends the program, so that what is sent meanwhile is unread when the sender closes."""

    def __init__(self, program):
        self.process = program.process

    def __enter__(self):
        self.process.send_signal(signal.SIGSTOP)

    def __exit__(self, *exc):
        time.sleep(0.05)  # for the data and the close to arrive
        self.process.send_signal(signal.SIGCONT)


class PlatformTests(PlatformCase):
    def test_set_ups_unread_at_the_close_are_not_sent_and_an_id_that_comes_again_runs_once(self):
        # Guards against calls that are set up for nobody, and stand until the exchange ends them.
        departed, uids = self.caller(), [f"{number:016x}" for number in range(1, REQUESTS + 1)]
        with Suspended(self.program):
            for uid in uids:
                departed.launch(uid)
            departed.close()
        self.program.wait_log("end role=caller")
        caller = self.caller()
        caller.launch(uids[0])
        self.assertEqual(self.exchange1.read()[:2], (SETUP, uids[0]))
        self.exchange1.answer(uids[0])
        self.assertEqual(caller.read()["kind"], "running")
        caller.launch(A)
        self.assertEqual(self.exchange1.read()[:2], (SETUP, A))

    def test_release_unread_at_the_close_still_ends_its_call(self):
        # Guards against a call that stands on because its caller closed right after the release.
        departed = self.caller()
        self.establish_call(departed, A)
        with Suspended(self.program):
            departed.send(kind="stop", uid=A, meta={}, reason=16)
            departed.close()
        self.assertEqual(self.exchange1.read()[:2], (12, A))

    def test_call_that_is_answered_after_its_caller_has_closed_is_released(self):
        # Guards against a call that stands although its caller gave it up: answer and close wait together.
        departed = self.caller()
        departed.launch(A)
        self.assertEqual(self.exchange1.read()[:2], (SETUP, A))
        with Suspended(self.program):
            self.exchange1.answer(A)
            time.sleep(0.05)
            departed.close()
        self.assertEqual(self.exchange1.read()[:2], (12, A))


class TcpTests(SipTestCase):
    transport = "TCP"

    def test_invites_unread_at_the_close_are_not_sent_and_are_refused_at_the_address_of_their_via(self):
        # Guards against calls that are set up for nobody, and hold their circuits until a timeout.
        departed = CallerAgent("TCP").connect(self.address)
        self.addCleanup(departed.close)
        with Suspended(self.program):
            for _ in range(REQUESTS):
                departed.send_invite()
            departed.streams.clear()
            departed.remote.close()
        for _ in range(REQUESTS):
            departed.expect(503)
        self.hub1.expect_silence()
        self.establish_call()
