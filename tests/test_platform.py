"""Tests of the real program over the platform's protocols: callers, exchanges and the command channel."""

import json
import select
import signal
import struct
import time
import unittest
from pathlib import Path

from .platform_harness import SETTINGS, Channel, PlatformCase, listening_socket, socket_address, wait_until

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"


class Calls(PlatformCase):
    def test_call_is_forwarded_answered_and_ended(self):
        caller = self.caller()
        caller.launch(A, body="v=0\r\nm=audio é")
        kind, uid, parameters = self.exchange1.read()
        self.assertEqual((kind, uid), (1, A))
        self.assertEqual((parameters[16], parameters[28]), (b"rate-quote", b"7f3a"))
        self.assertEqual(parameters[61].decode(), "v=0\r\nm=audio é")
        self.assertTrue(1000 < int(parameters[19]) < 1500)
        self.exchange1.send(6, A)
        self.exchange1.answer(A, "réponse\r\n".encode())
        answer = caller.read()
        self.assertEqual((answer["kind"], answer["uid"], answer["body"]), ("running", A, "réponse\r\n"))
        self.exchange1.release(A, 16)
        released = caller.read()
        self.assertEqual((released["kind"], released["uid"], released["reason"]), ("stop", A, 16))

    def test_refusal_is_immediate_and_final_and_says_when_to_retry(self):
        caller = self.caller()
        began = time.monotonic()
        caller.launch(A, left=9000)
        self.exchange1.read()
        self.exchange1.release(A, 34, (37, b"acc"), (40, b"1800"))
        refused = caller.read()
        self.assertIn(refused["reason"], (34, 42, 102))
        self.assertTrue(0 < int(refused["meta"]["wait"]) <= 2000)
        self.assertLess(time.monotonic() - began, 2.0)
        self.assertTrue(caller.receives_nothing(0.1))

    def test_unanswered_set_up_is_refused_before_its_deadline_and_a_late_answer_is_released(self):
        caller = self.caller()
        began = time.monotonic()
        caller.launch(A, left=400)
        self.exchange1.read()
        refused = caller.read()
        self.assertLess(time.monotonic() - began, 0.4)
        self.assertIn(refused["reason"], (34, 42, 102))
        self.assertEqual(self.exchange1.read()[:2], (12, A))
        self.exchange1.answer(A)
        self.assertEqual(self.exchange1.read()[:2], (12, A))
        self.assertTrue(caller.receives_nothing(0.1))

    def test_cut_attempt_is_retried_only_after_the_release_time(self):
        caller = self.caller()
        caller.launch(A, left=1500)
        self.exchange1.read()
        self.exchange1.release(A, 41)
        ended = time.monotonic()
        self.assertEqual(self.exchange1.read()[:2], (1, A))
        self.assertGreaterEqual(time.monotonic() - ended, 0.3)
        self.exchange1.answer(A)
        self.assertEqual(caller.read()["kind"], "running")

    def test_blocked_call_is_retried_via_the_other_exchange_one_attempt_at_a_time(self):
        caller = self.caller()
        caller.launch(A)
        self.exchange1.read()
        self.assertFalse(select.select([self.exchange2.connections[0]], [], [], 0.1)[0])
        self.exchange1.release(A, 102, (37, b"atb"))
        self.assertEqual(self.exchange2.read()[:2], (1, A))
        self.exchange2.answer(A)
        self.assertEqual(caller.read()["kind"], "running")

    def test_call_in_transit_is_sent_only_to_its_destination(self):
        caller = self.caller()
        caller.launch(A, extras="width:1;via:2;transit:1")
        self.exchange1.read()
        self.exchange1.release(A, 102, (37, b"atb"))
        self.assertIn(caller.read()["reason"], (34, 42, 102))

    def test_lost_exchange_connection_ends_set_ups_and_established_calls_once_each(self):
        caller = self.caller()
        self.establish_call(caller)
        caller.launch(B, left=1000)
        self.exchange1.read()
        self.exchange1.close()
        ended = {record["uid"]: record for record in (caller.read(), caller.read())}
        self.assertEqual({uid: record["kind"] for uid, record in ended.items()}, {A: "stop", B: "stop"})
        self.assertNotEqual(ended[A]["reason"], 16)
        self.assertTrue(caller.receives_nothing(0.2))

    def test_end_of_a_call_is_sent_on_another_connection_when_its_own_is_closed(self):
        first = self.caller()
        self.establish_call(first)
        first.close()
        self.program.wait_log("end role=caller", "code=peer-closed")
        self.exchange1.release(A, 16)
        unused = self.caller()  # a connection that has carried no call may not be a caller's
        self.assertTrue(unused.receives_nothing(0.2))
        second = self.caller()
        second.launch(B)
        self.assertEqual((second.read() or {}).get("uid"), A)

    def test_withdrawn_set_up_is_released_and_gets_no_answer(self):
        caller = self.caller()
        caller.launch(A)
        self.exchange1.read()
        caller.send(kind="stop", uid=A, meta={}, reason=16)
        kind, uid, parameters = self.exchange1.read()
        self.assertEqual((kind, uid, parameters[58]), (12, A, b"\x10"))
        self.assertTrue(caller.receives_nothing(0.1))

    def test_established_call_can_be_hung_up_from_another_connection(self):
        self.establish_call(self.caller())
        self.caller().send(kind="stop", uid=A, meta={}, reason=16)
        self.assertEqual(self.exchange1.read()[:2], (12, A))

    def test_release_of_a_call_from_before_a_restart_reaches_a_caller(self):
        caller = self.caller()
        self.establish_call(caller, B)
        self.exchange1.release(C, 16)  # unknown here, as a call set up before a restart is
        released = caller.read()
        self.assertEqual((released["kind"], released["uid"]), ("stop", C))

    def test_duplicate_set_up_gives_one_attempt_and_one_answer(self):
        caller = self.caller()
        caller.launch(A)
        caller.launch(A)
        self.exchange1.read()
        self.exchange1.answer(A)
        self.assertEqual(caller.read()["kind"], "running")
        self.assertTrue(caller.receives_nothing(0.1))


class ConnectionFailures(PlatformCase):
    def test_silent_connection_is_closed_and_its_pending_set_up_retried(self):
        caller = self.caller()
        for _ in range(60):
            self.exchange1.send(43, A, (43, b"idle:5;circuits:9"))
        caller.launch(A, left=2400)
        self.exchange1.read()
        began = time.monotonic()
        self.exchange1.accept()
        self.assertLess(time.monotonic() - began, 0.6)
        # The call may be established there with its answer lost, so it is released before the retry.
        self.assertEqual(self.exchange1.read()[:2], (12, A))
        self.assertEqual(self.exchange1.read()[:2], (1, A))
        self.exchange1.answer(A)
        self.assertEqual(caller.read()["kind"], "running")
        self.assertEqual(len(self.program.wait_log("end role=exchange", "code=silent")), 1)

    def test_release_that_a_silent_connection_may_have_lost_is_sent_again_on_the_next_one(self):
        # Guards against calls that stay up at an exchange that was cut off when their callers hung up.
        caller = self.caller()
        for uid in (A, B, C):
            self.establish_call(caller, uid)
        for uid in (A, B):
            caller.send(kind="stop", uid=uid, meta={}, reason=16)
            self.assertEqual(self.exchange1.read()[:2], (12, uid))
        self.exchange1.send(16, B)  # heard: it need not be sent again
        self.exchange1.accept()  # C stands there, so the silence is noticed
        self.assertEqual(self.exchange1.read()[:2], (12, A))
        caller.launch(B[:-1] + "9")
        self.assertEqual(self.exchange1.read()[0], 1)

    def test_release_of_an_earlier_attempt_is_not_sent_again_once_its_call_is_established_there(self):
        # Guards against a release, repeated on the next connection, that ends the call that stands by then.
        caller = self.caller()
        for _ in range(60):  # frames so close that silence is found soon
            self.exchange1.send(43, A, (43, b"idle:5;circuits:9"))
        caller.launch(A, left=2400)
        self.exchange1.read()
        self.exchange1.accept()  # the first connection was silent
        self.assertEqual(self.exchange1.read()[:2], (12, A))
        self.assertEqual(self.exchange1.read()[:2], (1, A))
        self.exchange1.answer(A)
        self.assertEqual(caller.read()["kind"], "running")
        self.exchange1.accept()  # the second one is silent as well
        caller.launch(B)
        self.assertEqual(self.exchange1.read()[:2], (1, B))

    def test_quiet_connection_with_an_established_call_is_renewed_at_least_every_five_seconds(self):
        # Guards against an exchange that vanishes after a quiet time, whose calls are released too late.
        self.establish_call(self.caller())
        renewed_at = [time.monotonic()]
        for _ in range(3):
            self.exchange1.accept()
            renewed_at.append(time.monotonic())
        gaps = [later - earlier for earlier, later in zip(renewed_at, renewed_at[1:], strict=False)]
        self.assertLess(max(gaps), 5.5, gaps)

    def test_silence_is_detected_sooner_after_fast_answers_and_not_from_one_lost_answer(self):
        caller = self.caller()
        for number in range(6):
            self.establish_call(caller, f"{number + 1:016x}")
        caller.launch(A, left=2400)
        self.exchange1.read()
        self.establish_call(caller, B)  # the connection still works: only the first answer is lost
        for number in range(7):
            self.exchange1.release(f"{number + 1:016x}" if number < 6 else B, 16)
            caller.read()
        self.assertFalse(select.select([self.exchange1.sock], [], [], 0.6)[0])
        caller.launch(C, left=2400)
        self.exchange1.read()
        began = time.monotonic()
        self.exchange1.accept()
        self.assertLess(time.monotonic() - began, 0.6)
        self.program.wait_log("end role=exchange", "code=silent", "2 set-ups open")

    def test_corrupted_answer_closes_its_connection_and_pending_set_ups_are_released_and_retried(self):
        for number, (length, kind, rest) in enumerate(
            (
                (20, 123, b"\x3d\x00\x0812345678"),
                (20, 9, b"\x3d\x00\x08\xcc\xfe345678"),
                (20, 9, b"\x3d\x00\x08\x001234567"),
                (9, 9, b""),
                (65523, 9, b"\x3d"),
            )
        ):
            caller, first, second = self.caller(), f"{number + 1:015x}a", f"{number + 1:015x}b"
            for uid in (first, second):
                caller.launch(uid, left=1400, key=uid)
                self.exchange1.read()
            corrupted = struct.pack("!HBQ", length, kind, int(first, 16)) + rest
            began = time.monotonic()
            self.exchange1.connections[-1].sendall(corrupted)
            self.exchange1.accept()
            self.assertEqual(
                [self.exchange1.read()[:2], self.exchange1.read()[:2]], [(12, first), (12, second)]
            )
            retried = [self.exchange1.read()[:2], self.exchange1.read()[:2]]
            self.assertTrue(0.3 <= time.monotonic() - began < 0.6)
            self.assertEqual(retried, [(1, first), (1, second)])
            for uid in (first, second):
                self.exchange1.answer(uid)
            self.assertEqual([caller.read()["body"], caller.read()["body"]], ["answer", "answer"])
            for uid in (first, second):
                self.exchange1.release(uid, 16)
                caller.read()

    def test_unmatched_answers_are_dropped_and_close_no_connection_whatever_they_contain(self):
        caller, garbage = self.caller(), b"\x9a\x0e\xc4\x05\x00"
        caller.launch(A)
        self.exchange1.read()
        for content in (b"not for anybody", garbage, b""):
            self.exchange1.answer(C, content)
        self.exchange1.answer(A)
        for copy in (b"second copy", garbage):
            self.exchange1.answer(A, copy)
        self.assertEqual(caller.read()["body"], "answer")
        caller.launch(B)
        self.assertEqual(self.exchange1.read()[:2], (1, B))
        caller.send(kind="stop", uid=B, meta={}, reason=16)
        self.assertEqual(self.exchange1.read()[:2], (12, B))
        self.exchange1.answer(B, garbage)  # late: without a release the call would stay up at the exchange
        self.assertEqual(self.exchange1.read()[:2], (12, B))
        self.assertTrue(caller.receives_nothing(0.2))
        self.exchange1.release(A, 16)
        self.assertEqual(caller.read()["uid"], A)
        self.assertFalse(select.select([self.exchange1.connections[-1], self.exchange1.sock], [], [], 0.1)[0])

    def test_connection_that_the_exchange_may_soon_close_is_renewed_before_a_set_up(self):
        program = self.start(settings={**SETTINGS, "limits": {**SETTINGS["limits"], "idle_close_s": 0.5}})
        old = self.exchange1.accept()
        self.exchange2.accept()
        began = time.monotonic()
        wait_until(lambda: time.monotonic() - began > 0.5, "an idle half second")
        caller = self.caller()
        caller.launch(A)
        new = self.exchange1.accept()
        self.assertEqual(self.exchange1.read(new)[:2], (1, A))
        self.assertIsNone(self.exchange1.read(old))
        program.wait_log("end role=exchange", "s-1", "code=renewed")

    def test_reading_pauses_while_a_caller_does_not_read_and_nothing_is_lost(self):
        caller = self.caller()
        check_line = b'{"kind":"check","uid":"%s","meta":{},"reason":0}\n' % A.encode()
        caller.sock.setblocking(False)
        sent, rest = 0, b""
        while select.select([], [caller.sock], [], 1.0)[1]:
            rest = rest or check_line * 500
            rest = rest[caller.sock.send(rest) :]
            sent += 0 if rest else 500
        caller.sock.setblocking(True)
        answers = 0
        while answers < sent:
            self.assertEqual(caller.read()["kind"], "checked")
            answers += 1
        self.assertGreater(sent, 10_000)

    def test_releases_to_a_caller_that_does_not_read_close_its_connection_and_use_another(self):
        caller, calls = self.caller(), [f"{number:016x}" for number in range(1, 3801)]
        self.exchange1.send_states()
        for uid in calls:
            caller.launch(uid)
            self.exchange1.read()
            self.exchange1.answer(uid)
            caller.read()
        check_line = b'{"kind":"check","uid":"%s","meta":{},"reason":0}\n' % A.encode()
        caller.sock.setblocking(False)
        while select.select([], [caller.sock], [], 1.0)[1]:
            caller.sock.send(check_line * 200)
        other = self.caller()
        self.establish_call(other, "f" * 16)
        for uid in calls:
            self.exchange1.release(uid, 16)
        self.program.wait_log("end role=caller", "code=out-overflow")
        ended = set()
        while len(ended) < len(calls):
            ended.add(other.read()["uid"])


class Membership(PlatformCase):
    def test_draining_exchange_gets_no_set_ups_and_the_ends_of_its_calls_are_processed(self):
        caller = self.caller()
        caller.launch(A)
        self.exchange1.read()
        self.exchange1.answer(A)
        caller.read()
        self.channel.publish(self.exchange1.entry("Terminating"))
        cursor = len(self.channel.events)
        polls = self.channel.polls
        wait_until(lambda: self.channel.polls > polls and len(self.channel.events) == cursor, "the next poll")
        caller.launch(B)
        self.assertIn(caller.read()["reason"], (34, 42, 102))
        self.exchange1.release(A, 16)
        self.assertEqual(caller.read()["uid"], A)
        self.channel.publish(self.exchange1.entry("Gone"))
        self.assertIsNone(self.exchange1.read())
        self.program.wait_log("end role=exchange", "s-1", "code=let-go")

    def test_draining_exchange_may_be_silent_and_keeps_its_connection(self):
        self.exchange1.send_states(0.005)
        wait_until(lambda: self.exchange1.states_sent > 60, "enough frames to learn the gaps between them")
        self.establish_call(self.caller())
        self.channel.publish(self.exchange1.entry("Terminating"))
        polls = self.channel.polls
        wait_until(lambda: self.channel.polls > polls, "the next poll")
        self.exchange1.stop_states = True
        self.assertFalse(select.select([self.exchange1.connections[0], self.exchange1.sock], [], [], 1.0)[0])

    def test_calls_at_an_exchange_that_is_gone_are_released(self):
        caller = self.caller()
        caller.launch(A)
        self.exchange1.read()
        self.exchange1.answer(A)
        caller.read()
        self.channel.publish(self.exchange1.entry("Gone"))
        self.assertEqual(caller.read()["kind"], "stop")

    def test_new_exchange_may_have_the_address_of_one_that_is_gone(self):
        address = self.exchange1.sock.getsockname()
        self.channel.publish(self.exchange1.entry("Gone"))
        self.assertIsNone(self.exchange1.read())
        self.exchange1.close()
        new = self.exchange("s-9", 1, address)
        self.channel.publish(new.entry(since=1), self.exchange2.entry())
        new.accept()
        caller = self.caller()
        caller.launch(A)
        self.assertEqual(new.read()[:2], (1, A))

    def test_check_is_answered_only_once_the_list_of_exchanges_is_known(self):
        self.channel.events.clear()
        program = self.start(known_events=0)
        caller = self.caller()
        caller.send(kind="check", uid="", meta={}, reason=0)
        self.assertTrue(caller.receives_nothing(0.3))
        self.channel.publish(self.exchange1.entry(), self.exchange2.entry())
        self.assertEqual((caller.read() or {}).get("reason"), 1)
        self.assertEqual(program.log_lines("fault "), [])

    def test_invalid_list_entry_is_skipped_and_logged(self):
        self.channel.publish(
            {"name": "s-7", "status": "Ready"}, {"address": 5}, self.exchange2.entry("Terminating")
        )
        self.program.wait_log("bad-endpoint")
        caller = self.caller()
        caller.launch(A)
        self.assertEqual(self.exchange1.read()[:2], (1, A))


class Reload(PlatformCase):
    def test_sighup_moves_the_command_channel_and_keeps_calls_and_connections(self):
        caller = self.caller()
        caller.launch(A, left=3000)
        self.exchange1.read()
        new = Channel()
        self.addCleanup(new.close)
        new.events.extend(self.channel.events)
        self.reload(json.dumps({**self.config, "channel": socket_address(new.sock)}))
        self.program.wait_log("end role=channel", "code=moved")
        wait_until(lambda: new.polls, "a poll at the new address")
        new.publish(self.exchange2.entry("Gone"))
        self.assertIsNone(self.exchange2.read())
        self.exchange1.answer(A)
        self.assertEqual((caller.read()["kind"], len(self.exchange1.connections)), ("running", 1))

    def test_invalid_file_keeps_the_running_configuration(self):
        for text in ("{", "\ud800", json.dumps({**self.config, "channel": 5})):
            self.program.lines.clear()
            self.reload(text.encode("utf-8", "surrogatepass").decode("latin-1"))
            self.program.wait_log("reload kept=running")
        self.channel.publish(self.exchange2.entry("Gone"))
        self.assertIsNone(self.exchange2.read())
        self.reload("{")
        self.terminate()
        self.reload("{")
        self.assertEqual(self.program.wait_for_exit(), 0)


class CommandChannel(PlatformCase):
    def serve_raw_responses(self, *answers):
        """A command channel that sends the given bytes and closes its connection after each; for None it
        sends nothing and stays open. Returns the paths requested."""
        sock = listening_socket()
        self.addCleanup(sock.close)
        self.reload(json.dumps({**self.config, "channel": socket_address(sock)}))
        paths = []
        for answer in answers:
            connection = sock.accept()[0]
            self.addCleanup(connection.close)
            paths.append(connection.recv(4096).split(b" ")[1].decode())
            if answer is not None:
                connection.sendall(answer)
                connection.close()
        return paths

    def test_truncated_response_is_not_applied_and_a_silent_channel_is_polled_again_soon(self):
        body = json.dumps(
            {
                "cursor": 2,
                "cmds": [
                    {
                        "cursor": 2,
                        "nodes": {
                            "index": 2,
                            "endpoints": [self.exchange1.entry("Gone"), self.exchange2.entry("Gone")],
                        },
                    }
                ],
            }
        ).encode()
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        began = time.monotonic()
        paths = self.serve_raw_responses(response[:-60], None, b"", response)
        self.assertLess(time.monotonic() - began, 2.5)
        self.assertEqual([path.split("?")[1].split("&")[0] for path in paths], ["resume=1"] * 4)
        self.assertIsNone(self.exchange1.read())
        self.assertIsNone(self.exchange2.read())


class AdmissionControl(PlatformCase):
    def establish_calls(self, caller, uids):
        """Sets up calls at once and answers them in order; returns how many were established."""
        for uid in uids:
            caller.launch(uid, left=9000)
        for _ in uids:
            if not select.select([self.exchange1.connections[-1]], [], [], 0.2)[0]:
                break
            self.exchange1.answer(self.exchange1.read()[1])
        return [caller.read()["kind"] for _ in uids].count("running")

    def test_lost_set_ups_do_not_block_an_exchange_that_answers_later_ones_at_once(self):
        caller = self.caller()
        for number in range(8):
            caller.launch(f"{number + 1:016x}", left=9000)
            self.exchange1.read()
        uids = [f"{number + 100:016x}" for number in range(40)]
        self.assertEqual([uid for uid in uids if not self.establish_calls(caller, [uid])], uids[:0])

    def test_set_ups_with_too_little_time_left_do_not_block_an_exchange(self):
        caller = self.caller()
        for number in range(12):
            caller.launch(f"{number + 1:016x}", left=100)
            self.assertEqual(self.exchange1.read()[0], 1)
            self.assertEqual(self.exchange1.read()[0], 12)
            self.assertEqual(caller.read()["kind"], "stop")
        self.assertEqual(self.establish_calls(caller, [f"{number + 100:016x}" for number in range(4)]), 4)

    def test_new_controller_admits_as_many_calls_at_once_as_are_answered_at_once(self):
        caller = self.caller()
        for batch in range(12):
            count = 12 if batch else 5
            self.assertEqual(
                self.establish_calls(caller, [f"{batch * 16 + n + 1:016x}" for n in range(count)]), count
            )


class ConnectionLimits(PlatformCase):
    LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 64}

    def setUp(self):
        super().setUp()
        self.program = self.start(limits=self.LIMITS)
        self.exchange1.accept()
        self.exchange2.accept()

    def test_callers_with_calls_are_served_despite_more_unused_connections_than_the_limit(self):
        carrier = self.caller()
        self.establish_call(carrier)
        unused = [self.caller() for _ in range(self.LIMITS["sockets"] * 2)]
        late = self.caller()
        self.establish_call(late, B)
        descriptors = len(list(Path(f"/proc/{self.program.process.pid}/fd").iterdir()))
        self.assertLessEqual(descriptors, self.LIMITS["sockets"])
        self.exchange1.release(A, 16)
        self.assertEqual(carrier.read()["uid"], A)
        self.assertEqual(self.program.log_lines("end role=caller", "code=crowded", f"{carrier.port()} "), [])
        for caller in unused:
            self.assertIsNone(caller.read())

    def test_connections_with_only_checks_are_closed_before_those_that_have_carried_calls(self):
        carrier = self.caller()
        self.establish_call(carrier)
        self.exchange1.release(A, 16)
        carrier.read()
        for _ in range(self.LIMITS["sockets"]):
            checker = self.caller()
            checker.send(kind="check", uid=A, meta={}, reason=0)
            self.assertEqual(checker.read()["kind"], "checked")
        self.program.wait_log("end role=caller", "code=crowded")
        self.establish_call(carrier, B)
        self.assertEqual(self.program.log_lines("end role=caller", f":{carrier.port()} "), [])

    def test_connection_with_an_unread_set_up_is_kept_in_a_flood(self):
        callers = [self.caller() for _ in range(self.LIMITS["sockets"] * 3 // 4)]
        for checker in callers:
            checker.send(kind="check", uid=A, meta={}, reason=0)
            self.assertEqual(checker.read()["kind"], "checked")
        self.program.process.send_signal(signal.SIGSTOP)
        for _ in range(16):
            self.caller()
        callers[0].launch(A)
        self.program.process.send_signal(signal.SIGCONT)
        self.assertEqual(self.exchange1.read()[:2], (1, A))
        self.exchange1.answer(A)
        self.assertEqual(callers[0].read()["kind"], "running")
        self.program.wait_log("end role=caller", "code=crowded")

    def test_connection_without_a_usable_message_is_closed_within_three_seconds(self):
        began, partial = time.monotonic(), self.caller()
        partial.sock.sendall(b'{"kind":"launch","uid":')
        for caller in (partial, self.caller()):
            self.assertIsNone(caller.read())
        self.assertLess(time.monotonic() - began, 3)
        self.program.wait_log("end role=caller", "code=unused")

    def test_flood_of_bad_set_ups_is_answered_slowed_and_closed_and_delays_no_other_caller(self):
        bad, good = self.caller(), self.caller()
        line = json.dumps({"kind": "launch", "uid": C, "meta": {"class": "x"}, "body": "b"}).encode() + b"\n"
        bad.sock.sendall(line * 3000)
        self.assertEqual(bad.read()["reason"], 41)
        self.establish_call(good)
        answers = 1
        while bad.read():
            answers += 1
        self.assertLessEqual(answers, 8)

    def test_open_id_reused_with_another_description_is_never_served(self):
        first, other = self.caller(), self.caller()
        first.launch(A)
        self.exchange1.read()
        other.launch(A, body="another")
        self.assertEqual(other.read()["reason"], 41)
        self.exchange1.answer(A)
        self.assertEqual(first.read()["kind"], "running")
        first.launch(B)
        self.exchange1.read()
        first.launch(B, body="another")
        self.assertIsNone(first.read())
        self.assertEqual(self.exchange1.read()[:2], (12, B))

    def test_id_reused_after_its_end_is_refused(self):
        caller = self.caller()
        self.establish_call(caller)
        self.exchange1.release(A, 16)
        caller.read()
        caller.launch(A)
        self.assertIn(caller.read()["reason"], (34, 42, 102))

    def test_set_ups_withdrawn_in_the_same_write_are_never_sent(self):
        caller, lines = self.caller(), []
        for number in range(6):
            uid = f"{number + 1:016x}"
            lines += [
                {
                    "kind": "launch",
                    "uid": uid,
                    "body": "b",
                    "meta": {
                        "class": "rate-quote",
                        "left": "1400",
                        "tenant": "gaucha-envios",
                        "key": "7f",
                        "extras": "dest:1;width:1",
                    },
                },
                {"kind": "stop", "uid": uid, "meta": {}, "reason": 16},
            ]
        caller.sock.sendall(b"".join(json.dumps(line).encode() + b"\n" for line in lines))
        caller.launch(A)
        self.assertEqual(self.exchange1.read()[:2], (1, A))


class BadInput(PlatformCase):
    def assert_closed_with(self, data, code):
        caller = self.caller()
        caller.sock.sendall(data)
        self.assertIsNone(caller.read())
        self.program.wait_log("end role=caller", f"code={code}")

    def test_invalid_lines_close_their_connection_with_a_code(self):
        for data in (
            b"\xff\xfe\n",
            b"[]\n",
            b"{}\n",
            b'{"kind":5}\n',
            b'{"kind":"launch","uid":"zz"}\n',
            b"[" * 9000 + b"\n",
            b'{"kind":"stop","uid":"00"}\n',
        ):
            self.program.lines.clear()
            self.assert_closed_with(data, "bad-line")
        self.assert_closed_with(b"x" * 20000, "long-line")
        self.assertEqual(self.program.log_lines("fault "), [])

    def test_set_ups_with_bad_fields_are_failed_and_only_the_eighth_closes_their_connection(self):
        caller = self.caller()
        for meta in (
            {},
            {"class": "nobody", "left": "1500"},
            {"class": "rate-quote", "left": "nan"},
            {"class": "rate-quote", "left": "1e999", "extras": "dest:1"},
            {"class": "rate-quote", "left": "1500", "extras": "dest:inf"},
            {"class": "rate-quote", "left": "1500", "extras": "dest:1;width:-3"},
            7,
            None,
        ):
            caller.send(kind="launch", uid=A, meta=meta, body="")
            failed = caller.read()
            self.assertEqual((failed["kind"], failed["uid"], failed["reason"]), ("stop", A, 41))
        self.assertIsNone(caller.read())
        self.program.wait_log("end role=caller", "code=bad-setups")
        caller = self.caller()
        for more in (
            {"extras": "dest:1;width:9"},
            {"tenant": "nobody"},
            {"left": 90000},
            {"key": "x"},
            {"body": "a\0b"},
            {"body": "\ud800"},
            {"body": ""},
        ):
            caller.launch(A, **more)
            self.assertEqual(caller.read()["reason"], 41)
        caller.send(kind="novelty", uid=A, meta={})
        caller.launch(B, novelty="yes")
        self.assertEqual(self.exchange1.read()[:2], (1, B))

    def test_invalid_frames_close_the_connection_and_a_new_one_is_opened(self):
        for data in (
            b"\x00\x03abc",
            b"\x00\x0c\x09" + b"\x00" * 7 + b"\xa1\x3d\x00\x05",
            b"\xff\xff",
            b"\x00\x09\x0c" + b"\x00" * 8,
        ):
            self.exchange1.connections[-1].sendall(data)
            self.assertIsNone(self.exchange1.read())
            self.exchange1.accept()
        for kind, values in ((43, ((43, b"idle:nan;circuits:5"),)), (12, ((58, b"\x22"), (40, b"inf")))):
            self.exchange1.send(kind, A, *values)
            self.assertIsNone(self.exchange1.read())
            self.exchange1.accept()
        self.assertTrue(self.program.wait_log("end role=exchange", "code=bad-frame"))
        self.program.wait_log("end role=exchange", "code=long-frame")
        caller = self.caller()
        caller.launch(A)
        self.assertEqual(self.exchange1.read()[:2], (1, A))


class Shutdown(PlatformCase):
    def test_after_sigterm_set_ups_are_still_accepted_and_answered_and_the_exit_code_is_zero(self):
        caller = self.caller()
        caller.launch(A, left=2500)
        self.exchange1.read()
        self.terminate()
        self.program.wait_log("leaving ")
        late = self.caller()
        late.launch(B, left=2500)
        self.exchange1.read()
        self.exchange1.answer(A)
        self.exchange1.answer(B)
        self.assertEqual((caller.read()["uid"], late.read()["uid"]), (A, B))
        self.exchange1.release(A, 16)
        self.exchange1.release(B, 16)
        self.assertEqual((caller.read()["uid"], late.read()["uid"]), (A, B))
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assertEqual(len(self.program.log_lines("end role=caller", "code=leaving")), 2)

    def test_unanswered_set_ups_are_refused_shortly_before_sigkill(self):
        caller = self.caller()
        caller.launch(A, left=9000)
        self.exchange1.read()
        began = time.monotonic()
        self.terminate()
        self.assertIn(caller.read()["reason"], (34, 42, 102))
        self.assertLess(time.monotonic() - began, 3.7)
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_release_by_a_caller_that_crosses_the_end_of_its_connection_reaches_the_exchange(self):
        # Guards against a call left standing because its release came just as the program closed.
        caller = self.caller()
        self.establish_call(caller)
        self.exchange1.send_states()  # otherwise its quiet connection is renewed
        self.terminate()
        self.program.wait_log("left unanswered=0 standing=1")
        caller.send(kind="stop", uid=A, meta={}, reason=16)
        caller.launch(B)  # crosses it too: the caller sends it again elsewhere
        self.assertEqual(self.exchange1.read()[:2], (12, A))
        self.assertIsNone(caller.read())
        self.assertIsNone(self.exchange1.read())
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_each_connection_logs_one_line_at_its_end(self):
        for _ in range(3):
            self.caller().close()
        wait_until(lambda: len(self.program.log_lines("end role=caller", "peer-closed")) == 3, "three lines")
        self.terminate()
        self.assertEqual(self.program.wait_for_exit(), 0)
        for role, lines in (("exchange", 2), ("channel", 1)):
            self.assertEqual(len(self.program.log_lines(f"end role={role}", "code=leaving")), lines)
            self.assertEqual(len(self.program.log_lines(f"end role={role}")), lines)

    def test_invalid_configuration_ends_the_program_and_names_the_key(self):
        from .platform_harness import Program

        invalid_settings = json.loads(json.dumps(SETTINGS))
        del invalid_settings["rules"]["cold_share"]
        path = f"{self.folder.name}/bad.json"
        for text, key in (
            ("{", "configuration"),
            ("{}", "seed"),
            (
                json.dumps(
                    {
                        "name": "n0",
                        "listen": "127.0.0.1:0",
                        "seed": "1",
                        "channel": "127.0.0.1:1",
                        "known": {"cursor": 0, "cmds": []},
                        "settings": invalid_settings,
                    }
                ),
                "settings.rules.cold_share",
            ),
        ):
            with open(path, "w") as file:
                file.write(text)
            program = Program({"EDGE_CONFIG": path})
            self.addCleanup(program.close)
            self.assertEqual(program.wait_for_exit(), 2)
            self.assertIn(key, "\n".join(program.lines))


if __name__ == "__main__":
    unittest.main()
