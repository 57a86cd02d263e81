"""Tests of the real program after its restart: calls from before, unknown to it, end on either side."""

import time

from .platform_harness import PlatformCase, wait_until

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


class EndsFromTheCaller(PlatformCase):
    """A caller releases a call that was set up before the restart."""

    def test_release_cuts_the_call_at_its_exchange_and_other_calls_stay(self):
        # Guards against a call that stands on at its exchange although its caller has ended it.
        self.establish_call(self.caller(), B)
        caller = self.caller()
        caller.send(kind="stop", uid=A, meta={}, reason=CAUSE_NORMAL)
        self.assertEqual(self.exchange1.read()[:2], (RELEASE, A))
        self.assertEqual(self.exchange2.read()[:2], (RELEASE, A))
        caller.send(kind="stop", uid=A, meta={}, reason=CAUSE_NORMAL)  # a second copy has no effect
        caller.send(kind="stop", uid=C, meta={}, reason=CAUSE_NORMAL)
        self.assertEqual(self.exchange1.read()[:2], (RELEASE, C))

    def test_release_reaches_an_exchange_that_is_connected_only_later(self):
        # Guards against a release that is lost while the connection to the call's exchange is away.
        self.exchange1.connections[-1].close()
        self.program.wait_log("end role=exchange", "peer=s-1")
        caller = self.caller()
        caller.send(kind="stop", uid=A, meta={}, reason=CAUSE_NORMAL)
        self.exchange1.accept()
        self.assertEqual(self.exchange1.read()[:2], (RELEASE, A))

    def test_release_reaches_an_exchange_that_is_listed_only_later(self):
        # Guards against a call that stands on at an exchange of which another controller was told before.
        other = self.exchange("s-3", 3)
        caller = self.caller()
        caller.send(kind="stop", uid=A, meta={}, reason=CAUSE_NORMAL)
        self.assertEqual(self.exchange1.read()[:2], (RELEASE, A))
        self.channel.publish(other.entry())
        other.accept()
        self.assertEqual(other.read()[:2], (RELEASE, A))
        self.channel.publish(other.entry())  # a list that says nothing new
        caller.send(kind="stop", uid=C, meta={}, reason=CAUSE_NORMAL)
        self.assertEqual(other.read()[:2], (RELEASE, C))

    def test_release_reaches_a_draining_exchange(self):
        # Guards against a call that stands on where no new calls are sent.
        self.channel.publish(self.exchange1.entry("Terminating"))
        wait_until(lambda: self.channel.polls >= 3, "the third poll")
        self.caller().send(kind="stop", uid=A, meta={}, reason=CAUSE_NORMAL)
        self.assertEqual(self.exchange1.read()[:2], (RELEASE, A))

    def test_flood_of_releases_of_unknown_calls_is_slowed_and_delays_no_other_caller(self):
        # Guards against one caller that makes the program flood all exchanges.
        flooder, caller = self.caller(), self.caller()
        lines = b"".join(
            b'{"kind":"stop","uid":"%016x","meta":{},"reason":16}\n' % number
            for number in range(2**32, 2**32 + 6000)
        )
        flooder.sock.setblocking(False)
        sent, began = 0, time.monotonic()
        while time.monotonic() < began + 1.0:
            try:
                sent += flooder.sock.send(lines[sent : sent + 4096])
            except BlockingIOError:
                time.sleep(0.01)
        asked = time.monotonic()
        caller.send(kind="check", uid="", meta={}, reason=0)
        self.assertEqual(caller.read()["kind"], "checked")
        self.assertLess(time.monotonic() - asked, 0.5)
        elapsed_s = time.monotonic() - began
        self.exchange2.connections[-1].setblocking(False)
        received = len(self.exchange2.connections[-1].recv(2**20)) // 15  # bytes of a release
        self.assertGreater(received, 100)
        self.assertLess(received, 1000 * (elapsed_s + 1) + 100)
