"""Tests of the real program after its restart: calls from before, unknown to it, end on either side."""

import time

from .platform_harness import PlatformCase

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
RELEASE = 12  # message type of the exchanges' frames
CAUSE_NORMAL = 16


class EndsFromTheExchange(PlatformCase):
    """The exchange releases a call that was set up before the restart."""

    def checked_caller(self):
        caller = self.caller()
        caller.send(kind="check", uid="", meta={}, reason=0)
        self.assertEqual(caller.read()["kind"], "checked")
        return caller

    def read_release(self, caller):
        record = caller.read()
        self.assertEqual((record["kind"], record["reason"]), ("stop", CAUSE_NORMAL))
        return record["uid"]

    def test_release_reaches_a_caller_that_has_only_passed_a_check(self):
        # Guards against a release that waits for the next set-up while a caller is connected.
        caller = self.checked_caller()
        began = time.monotonic()
        self.exchange1.release(A, CAUSE_NORMAL)
        self.assertEqual(self.read_release(caller), A)
        self.assertLess(time.monotonic() - began, 1.05)

    def test_release_without_any_connection_goes_out_after_the_next_check(self):
        # Guards against a release that waits for a set-up although a caller is back.
        self.exchange1.release(A, CAUSE_NORMAL)
        time.sleep(0.2)
        self.assertEqual(self.read_release(self.checked_caller()), A)

    def test_release_sent_to_a_peer_that_only_checks_is_repeated_to_the_first_that_sets_up(self):
        # Guards against a release that only a monitoring probe, which is no caller, has received.
        probe = self.checked_caller()
        self.exchange1.release(A, CAUSE_NORMAL)
        self.exchange1.release(B, CAUSE_NORMAL)
        self.assertEqual({self.read_release(probe), self.read_release(probe)}, {A, B})
        probe.send(kind="stopped", uid=B, meta={})
        time.sleep(0.2)
        caller = self.caller()
        caller.launch(C)
        self.assertEqual(self.read_release(caller), A)  # B was acknowledged
        self.assertEqual(self.exchange1.read()[:2], (1, C))
        self.exchange1.answer(C)
        self.assertEqual(caller.read()["kind"], "running")
