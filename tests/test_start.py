"""Tests of the real program's start, until the command channel has confirmed the list of exchanges."""

import time

from .platform_harness import PlatformCase

A, B = "00000000000000a1", "00000000000000b2"
CAUSES_REFUSED = (34, 42, 102)
NOT_CONFIRMED = "note list of exchanges not confirmed"


class StartWithALateChannel(PlatformCase):
    def restart(self):
        """Starts a new program whose configuration has only the list's first event."""
        self.program.close()
        self.program = self.start(known_events=1)

    def test_drain_announced_before_the_start_holds_for_the_first_set_ups(self):
        # Guards against set-ups by the list in the configuration before the channel has answered once.
        self.channel.publish(self.exchange1.entry("Terminating"))
        self.channel.delay_s = 0.3
        self.restart()
        self.exchange1.accept()
        caller = self.caller()
        caller.launch(A)
        self.assertIn(caller.read()["reason"], CAUSES_REFUSED)
        caller.send(kind="check", uid="", meta={}, reason=0)
        self.assertEqual(caller.read()["reason"], 1)
        caller.launch(B)
        self.assertIn(caller.read()["reason"], CAUSES_REFUSED)
        self.program.close()
        self.assertIsNone(self.exchange1.read())  # the end of its connection, with no frame before
        self.assertEqual(self.program.log_lines(NOT_CONFIRMED), [])


class StartWithASilentChannel(PlatformCase):
    def setUp(self):
        super().setUp()
        self.program.close()
        self.channel.delay_s = 60.0
        self.program = self.start()
        self.exchange1.accept()

    def test_set_ups_wait_one_second_at_most_and_have_only_the_rest_of_their_time(self):
        # Guards against calls that are never answered while the channel is down, and against late answers.
        began = time.monotonic()
        caller = self.caller()
        caller.launch(A, left=2000)
        kind, uid, parameters = self.exchange1.read()
        waited_s = time.monotonic() - began
        self.assertEqual((kind, uid), (1, A))
        self.assertTrue(0.2 < waited_s < 1.5, waited_s)
        self.assertLess(int(parameters[19]), 2000 - 200)
        self.exchange1.answer(A)
        self.assertEqual(caller.read()["kind"], "running")
        self.program.wait_log(NOT_CONFIRMED)

    def test_set_up_with_less_time_than_the_wait_is_refused_at_once(self):
        # Guards against an answer that comes after the caller has given up.
        caller = self.caller()
        for uid, left_ms in ((A, 500), (B, 1000)):
            began = time.monotonic()
            caller.launch(uid, left=left_ms)
            self.assertIn(caller.read()["reason"], CAUSES_REFUSED)
            self.assertLess(time.monotonic() - began, 0.4)

    def test_set_up_withdrawn_during_the_wait_is_never_sent(self):
        # Guards against a set-up that is passed on after its caller has given it up.
        caller = self.caller()
        caller.launch(A)
        caller.send(kind="stop", uid=A, meta={}, reason=16)
        self.program.wait_log(NOT_CONFIRMED)
        caller.launch(B)
        self.assertEqual(self.exchange1.read()[:2], (1, B))
