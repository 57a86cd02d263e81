"""A short run of the fault soak on each front; the long one is started by hand (docs/testing.md)."""

import asyncio
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from .platform_harness import ROOT
from .soak.events import EventLog, read_events
from .soak.platform_oracle import check_platform
from .soak.processes import Ports, StandIn
from .soak.timed_reader import TimedReader

SEEDS = "1-3"
JOBS = 3
TIMEOUT_S = 240.0
CALL = "00000000000000a1"


class SoakTests(unittest.TestCase):
    def play(self, front):
        command = [
            sys.executable,
            "-m",
            "tests.soak",
            "--front",
            front,
            "--seeds",
            SEEDS,
            "--jobs",
            str(JOBS),
        ]
        result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr[-2000:])

    def test_platform_front(self):
        self.play("platform")

    def test_sip_front(self):
        self.play("sip")


class TimedReaderTests(unittest.IsolatedAsyncioTestCase):
    async def test_line_that_is_read_late_has_the_time_of_its_arrival(self):
        # Guards against violations that are the caller's own delay.
        reader = TimedReader()
        reader.feed_data(b"one\ntwo\nth")
        first_arrival = time.monotonic()
        await asyncio.sleep(0.2)
        reader.feed_data(b"ree\n")
        reader.feed_eof()
        lines = [await reader.read_timed_line() for _ in range(4)]
        self.assertEqual([line for line, _ in lines], [b"one\n", b"two\n", b"three\n", b""])
        for _, arrived_at in lines[:2]:
            self.assertLessEqual(arrived_at, first_arrival)
        self.assertGreaterEqual(lines[2][1], first_arrival + 0.2)


class PortsTests(unittest.TestCase):
    def test_port_of_a_run_is_given_to_no_other_run_until_it_ends(self):
        # Guards against a node that cannot start since another run has taken its port.
        first, second = Ports(), Ports()
        self.addCleanup(first.close)
        self.addCleanup(second.close)
        port = first.free_port()
        self.assertFalse(second.reserve(port))
        first.close()
        self.assertTrue(second.reserve(port))


class StandInTests(unittest.TestCase):
    def test_stand_in_that_ends_by_itself_is_told_from_one_that_was_closed(self):
        # Guards against violations, or their absence, in a run whose stand-ins are gone.
        for ends_by_itself in (True, False):
            stand_in = StandIn("proxy_process", {"port": 0, "target": 9})
            self.addCleanup(stand_in.close)
            self.assertIsNone(stand_in.own_exit_code())
            if ends_by_itself:
                stand_in.process.stdin.close()  # it ends with its standard input
                stand_in.process.wait()
                self.assertEqual(stand_in.own_exit_code(), 0)
            else:
                stand_in.close()
                self.assertIsNone(stand_in.own_exit_code())


class OracleTests(unittest.TestCase):
    """The oracle finds what it is there for, in records that are written by hand."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.log = EventLog(str(self.folder / "all.events"), "s-1")

    def launch(self):
        self.log.write("launch", call=CALL, left_s=0.0, port=1)

    def establish(self):
        """Writes a call that stands at the first exchange."""
        self.launch()
        self.log.write("set-up", call=CALL, second=False)
        self.log.write("answered", call=CALL)
        self.log.write("running", call=CALL, body=f"v=0 {CALL}")

    def violations(self):
        """The violations in the record, seen long after its last event."""
        events = read_events(self.folder)
        end = {"time": events[-1]["time"] + 60.0, "source": "harness", "event": "end"}
        return check_platform([*events, end])

    def assert_found(self, text):
        self.assertIn(text, "\n".join(self.violations()))

    def test_sound_call(self):
        self.establish()
        self.log.write("hung-up", call=CALL)
        self.log.write("released", call=CALL, state="standing")
        self.assertEqual(self.violations(), [])

    def test_set_up_without_an_answer(self):
        self.launch()
        self.assert_found("lost")

    def test_second_answer_after_a_refusal(self):
        self.launch()
        for reason in (42, 16):
            self.log.write("stop", call=CALL, reason=reason)
        self.assert_found("second answer")

    def test_call_left_standing(self):
        self.establish()
        self.log.write("hung-up", call=CALL)
        self.assert_found("left standing")

    def test_end_that_its_caller_is_never_told(self):
        self.establish()
        self.log.write("ended", call=CALL, sent=True, on_own_connection=False)
        self.assert_found("release")

    def end_told_after(self, seconds, **ended):
        """Writes a call whose end its caller is told so long after the exchange has sent it."""
        self.establish()
        now = time.monotonic()
        self.log.write("ended", at=now, call=CALL, sent=True, **ended)
        self.log.write("stop", at=now + seconds, call=CALL, reason=16)

    def test_end_that_its_caller_is_told_late(self):
        self.end_told_after(1.2, on_own_connection=True)
        self.assert_found("release")

    def test_end_that_was_sent_to_any_node_and_is_told_once_that_has_a_caller(self):
        self.end_told_after(7.9, on_own_connection=False)
        self.assertEqual(self.violations(), [])

    def test_end_that_was_sent_to_any_node_and_is_told_late(self):
        self.end_told_after(8.2, on_own_connection=False)
        self.assert_found("release")

    def end_in_a_cut(self, *kinds):
        """Writes an end during a cut that its caller is never told, with more faults at the exchange."""
        self.establish()
        self.log.write("fault", kind="restart", node=1)
        self.log.write("fault", kind="cut", name="s-1")
        self.log.write("ended", call=CALL, sent=True, on_own_connection=True)
        for kind in kinds:
            self.log.write("fault", kind=kind, name="s-1")
            self.log.write("fault-over", kind=kind, name="s-1")
        self.log.write("fault-over", kind="cut", name="s-1")

    def test_end_thrown_away_by_a_reset_in_a_cut(self):
        self.end_in_a_cut("reset")
        self.assertEqual(self.violations(), [])

    def test_end_in_a_cut_without_a_reset(self):
        self.end_in_a_cut()
        self.assert_found("release")

    def test_two_attempts_at_a_time(self):
        self.launch()
        self.log.write("set-up", call=CALL, second=False)
        EventLog(str(self.folder / "other.events"), "s-2").write("set-up", call=CALL, second=False)
        self.log.write("stop", call=CALL, reason=42)
        self.assert_found("two attempts")

    def send_again_after_kill(self, port):
        """Writes a set-up that is sent to port 1, and to port 2 after the node at `port` was killed."""
        self.launch()
        self.log.write("set-up", call=CALL, second=False)
        self.log.write("node-killed", port=port)
        self.log.write("launch", call=CALL, left_s=0.0, port=2)
        EventLog(str(self.folder / "other.events"), "s-2").write("set-up", call=CALL, second=False)
        self.log.write("stop", call=CALL, reason=42)

    def test_set_up_sent_again_after_the_kill_of_its_node(self):
        self.send_again_after_kill(port=1)
        self.assertEqual(self.violations(), [])

    def test_set_up_sent_again_after_the_kill_of_another_node(self):
        self.send_again_after_kill(port=3)
        self.assert_found("two attempts")

    def test_set_up_after_a_drain(self):
        self.log.write("publish", name="s-1", status="Terminating", cursor=1)
        self.log.write("told", cursor=1)
        events = read_events(self.folder)
        late = {
            "time": events[0]["time"] + 0.4,
            "source": "s-1",
            "event": "set-up",
            "call": CALL,
            "second": False,
        }
        self.assertIn("drain", "\n".join(check_platform([*events, late])))
