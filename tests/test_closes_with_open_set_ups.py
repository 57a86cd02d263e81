"""The program closes a connection while set-ups are open on it: each gets its answer first."""

from .platform_harness import PlatformCase

A, B = "00000000000000a1", "00000000000000b2"
SET_UP, RELEASE = 1, 12  # message types of the exchanges' frames
CAUSE_FAILED = 41


class ClosedConnectionTests(PlatformCase):
    def assert_failed_and_closed(self, caller, *uids):
        """Each of the set-ups, and nothing else, gets a failure before the end of the connection."""
        records = list(iter(caller.read, None))
        self.assertEqual({record["uid"] for record in records}, set(uids))
        self.assertEqual(
            [(record["kind"], record["reason"]) for record in records], [("stop", CAUSE_FAILED)] * len(uids)
        )

    def test_call_that_stands_stays_when_its_id_is_used_again(self):
        # Guards against a call that is cut because its caller then made a mistake.
        caller = self.caller()
        self.establish_call(caller, A)
        caller.launch(A, body="another")
        self.assertIsNone(caller.read())
        with self.assertRaises(TimeoutError):
            self.exchange1.connections[-1].settimeout(0.3)
            self.exchange1.read()

    def caller_with_open_set_ups(self):
        caller = self.caller()
        for uid in (A, B):
            caller.launch(uid)
            self.assertEqual(self.exchange1.read()[:2], (SET_UP, uid))
        return caller

    def test_open_set_ups_are_failed_before_their_connection_is_closed_for_a_bad_line(self):
        # Guards against set-ups that are lost because the same caller then sent something unreadable.
        caller = self.caller_with_open_set_ups()
        caller.sock.sendall(b"[]\n")
        self.assert_failed_and_closed(caller, A, B)
        self.assertEqual({self.exchange1.read()[:2], self.exchange1.read()[:2]}, {(RELEASE, A), (RELEASE, B)})

    def test_open_set_ups_are_failed_before_their_connection_is_closed_for_a_long_line(self):
        # Guards against set-ups that are lost because the same caller then sent an endless line.
        caller = self.caller_with_open_set_ups()
        caller.sock.sendall(b"x" * 20_000)
        self.assert_failed_and_closed(caller, A, B)

    def test_other_set_ups_are_failed_before_their_connection_is_closed_for_an_id_used_twice(self):
        # Guards against set-ups that are lost with another one, whose answer nobody could tell apart.
        caller = self.caller_with_open_set_ups()
        caller.launch(B, body="another")
        self.assert_failed_and_closed(caller, A)
