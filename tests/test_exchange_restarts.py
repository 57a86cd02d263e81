"""Tests of the real program: calls at an exchange whose process restarts, as the list tells it afterwards."""

import time

from .platform_harness import PlatformCase

A, B = "00000000000000a1", "00000000000000b2"
RELEASE = 12  # message type of the exchanges' frames
CAUSE_NORMAL, CAUSE_CUT = 16, 41
# Between a call's answer and the start of a process, so that their order is certain in whole milliseconds.
CLEAR_GAP_S = 0.02


def unix_ms():
    return int(time.time() * 1000)


class ExchangeRestartCase(PlatformCase):
    """Base of the cases: an exchange restarts between two calls, and the list tells it after both."""

    def read_release(self, caller):
        """The call and the cause of the release that the caller gets next."""
        record = caller.read()
        self.assertEqual(record["kind"], "stop")
        return record["uid"], record["reason"]

    def check_restart_between_two_calls(self):
        caller = self.caller()
        self.establish_call(caller, A)
        time.sleep(CLEAR_GAP_S)
        started_ms = unix_ms()
        time.sleep(CLEAR_GAP_S)
        self.establish_call(caller, B)
        self.channel.publish(self.exchange1.entry(since=started_ms))
        self.assertEqual(self.read_release(caller), (A, CAUSE_CUT))
        self.exchange1.release(B, CAUSE_NORMAL)
        self.assertEqual(self.read_release(caller), (B, CAUSE_NORMAL))
        self.program.wait_log("note hub s-1 restarted: 1 calls from before are ended, 1 since then are kept")
        # A is released at the exchange too: it would stay up there if its process still lived.
        self.assertEqual(self.exchange1.read()[:2], (RELEASE, A))


class FirstRestart(ExchangeRestartCase):
    def test_first_restart_of_an_exchange_that_has_run_since_long_ago_ends_its_calls(self):
        # Guards against calls that are never released to their callers: a start of 0 was not compared.
        self.check_restart_between_two_calls()


class LaterRestart(ExchangeRestartCase):
    exchange1_start_ms = unix_ms() - 60_000

    def test_restart_told_late_ends_only_the_calls_of_the_previous_process(self):
        # Guards against a cut of calls that were set up at the new process before the list told its start.
        self.check_restart_between_two_calls()
