"""Set-ups that have arrived, but are not read, when the program ends its connections."""

import time

from .platform_harness import PlatformCase, wait_until

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
ACCEPT_S = 0.75  # after SIGTERM, how long set-ups are accepted


class UnreadSetUpTests(PlatformCase):
    def test_set_up_that_waits_unread_at_the_end_of_a_shutdown_is_refused(self):
        # Guards against set-ups that are lost since reading pauses after an unusable one.
        caller = self.caller()
        self.terminate()
        began = time.monotonic()
        time.sleep(ACCEPT_S - 0.15)
        caller.launch(A, left="x")
        time.sleep(0.05)
        caller.launch(B)
        caller.launch(C)
        self.assertLess(time.monotonic() - began, ACCEPT_S)
        records = list(iter(caller.read, None))
        self.assertEqual({record["uid"] for record in records}, {A, B, C})
        self.assertEqual({record["kind"] for record in records}, {"stop"})
        wait_until(lambda: self.program.process.poll() == 0, "the end of the process")
