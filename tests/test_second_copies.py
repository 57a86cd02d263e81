"""Tests of the real program with exchanges that send a message a second time."""

import time

from .platform_harness import PlatformCase

A = "00000000000000a1"
SET_UP = 1
CAUSE_ERROR = 17
COPY_AFTER_S = 0.01  # a second answer may come some milliseconds late


class SecondCopyTests(PlatformCase):
    def test_copy_of_a_release_after_an_error_does_not_end_the_next_attempt(self):
        # Guards against two attempts of a call that are out at once at the exchange.
        caller = self.caller()
        caller.launch(A, left=2400)
        self.assertEqual(self.exchange1.read()[:2], (SET_UP, A))
        self.exchange1.release(A, CAUSE_ERROR)
        time.sleep(COPY_AFTER_S)
        self.exchange1.release(A, CAUSE_ERROR)
        self.assertEqual(self.exchange1.read()[:2], (SET_UP, A))
        self.exchange1.connections[-1].settimeout(0.5)
        with self.assertRaises(TimeoutError):  # neither a third set-up nor a release
            self.exchange1.read()
        self.exchange1.answer(A)
        self.assertEqual(caller.read()["kind"], "running")
