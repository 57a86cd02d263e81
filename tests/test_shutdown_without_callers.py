"""A process in shutdown whose callers have all closed: it can tell nobody of the end of a call."""

import socket
import struct
import time

from .platform_harness import PlatformCase, wait_until

A, B = "00000000000000a1", "00000000000000b2"
RELEASE = 12  # message type of the exchanges' frames
CAUSE_NORMAL = 16
ACCEPT_S = 0.75  # after SIGTERM, how long connections are accepted
MARGIN_S = 0.4
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ShutdownTests(PlatformCase):
    def terminate_without_callers(self, caller):
        self.began = time.monotonic()
        self.terminate()
        caller.close()

    def test_end_of_a_call_that_stands_is_left_to_the_next_process(self):
        # Guards against the end of a call that is sent to a process which can pass it on to nobody.
        caller = self.caller()
        self.establish_call(caller, A)
        self.terminate_without_callers(caller)
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assertLess(time.monotonic() - self.began, ACCEPT_S + MARGIN_S)
        self.start()
        caller = self.caller()
        caller.send(kind="check", uid="", meta={}, reason=0)
        self.exchange1.accept()
        self.exchange1.release(A, CAUSE_NORMAL)
        self.exchange2.accept()
        records = [caller.read(), caller.read()]
        self.assertEqual({record["kind"] for record in records}, {"checked", "stop"})

    def test_exchange_that_has_shown_nothing_since_a_release_is_still_served(self):
        # Guards against a call that stands on since its release was on a connection that was then reset.
        caller = self.caller()
        self.establish_call(caller, A)
        caller.launch(B)
        self.assertEqual(self.exchange1.read()[:2], (1, B))
        self.terminate_without_callers(caller)
        self.assertIsNone(self.exchange2.read())  # the other one is left
        reset = self.exchange1.connections[-1]
        reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        reset.close()
        self.exchange1.accept()
        self.assertEqual(self.exchange1.read()[:2], (RELEASE, B))
        self.exchange1.send(43, "0" * 16, (43, b"idle:9000;circuits:9000"))
        self.assertIsNone(self.exchange1.read())  # nothing is left to be sent
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_call_that_stands_is_ended_to_a_caller_that_is_still_connected(self):
        # Guards against a process that leaves although it can still pass the ends of calls on.
        caller = self.caller()
        self.establish_call(caller, A)
        self.terminate()
        time.sleep(ACCEPT_S + MARGIN_S)
        self.exchange1.release(A, CAUSE_NORMAL)
        self.assertEqual(caller.read()["uid"], A)
        wait_until(lambda: self.program.process.poll() == 0, "the end of the process")
