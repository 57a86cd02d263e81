"""A process in shutdown whose callers have all closed: it can tell nobody of the end of a call."""

import socket
import time

from .platform_harness import PlatformCase, wait_until

A, B = "00000000000000a1", "00000000000000b2"
SET_UP, RELEASE = 1, 12  # message types of the exchanges' frames
CAUSE_NORMAL = 16
ACCEPT_S = 0.75  # after SIGTERM, how long connections are accepted
MARGIN_S = 0.4


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

    def test_end_of_a_call_is_left_to_the_next_process_although_its_exchange_was_quiet_since_a_release(self):
        # Guards against the end of a call that a quiet exchange sends to a process without callers.
        caller = self.caller()
        self.establish_call(caller, A)
        caller.launch(B)
        self.assertEqual(self.exchange1.read()[:2], (SET_UP, B))
        self.terminate_without_callers(caller)
        self.assertEqual(self.exchange1.read()[:2], (RELEASE, B))
        self.assertIsNone(self.exchange1.read())
        self.assertLess(time.monotonic() - self.began, ACCEPT_S + MARGIN_S)
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_release_that_waits_for_a_connection_is_still_sent(self):
        # Guards against a call that stands on at an exchange which could not be reached for a moment.
        caller = self.caller()
        self.establish_call(caller, A)
        self.establish_call(caller, B)
        self.exchange1.sock.listen(0)
        waiting = [
            self.open_connection(self.exchange1.sock.getsockname()) for _ in range(3)
        ]  # fill its queue
        self.exchange1.connections[-1].close()
        self.program.wait_log("end role=exchange", "s-1@", "code=peer-closed")
        caller.send(kind="stop", uid=A, meta={}, reason=CAUSE_NORMAL)
        self.terminate_without_callers(caller)
        self.assertIsNone(self.exchange2.read())  # the other one is left
        for sock in waiting:
            sock.close()
        self.exchange1.sock.listen(16)
        while (frame := self.exchange1.read(self.exchange1.accept())) is None:
            pass  # one of those that filled the queue
        self.assertEqual(frame[:2], (RELEASE, A))
        self.assertEqual(self.program.wait_for_exit(), 0)

    def open_connection(self, address):
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.connect_ex(address)
        return sock

    def test_call_that_stands_is_ended_to_a_caller_that_is_still_connected(self):
        # Guards against a process that leaves although it can still pass the ends of calls on.
        caller = self.caller()
        self.establish_call(caller, A)
        self.terminate()
        time.sleep(ACCEPT_S + MARGIN_S)
        self.exchange1.release(A, CAUSE_NORMAL)
        self.assertEqual(caller.read()["uid"], A)
        wait_until(lambda: self.program.process.poll() == 0, "the end of the process")
