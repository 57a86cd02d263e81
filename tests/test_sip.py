"""The SIP side of the real program: every call gets exactly one final response, over UDP and over TCP."""

import contextlib
import signal
import socket
import tempfile
import time
import unittest

from .platform_harness import ROOT, WAIT_TIMEOUT_S, PlatformCase, Program, wait_until
from .sip_harness import ANSWER, SDP, CallerAgent, FakeConsul, SipEndpoint, SipTestCase


class CallTests:
    """Tests that run over UDP and over TCP."""

    def test_complete_call_from_invite_to_bye(self):
        self.caller.send_invite()
        self.assertEqual(self.caller.expect(100).get("To"), "<sip:100@127.0.0.1>")
        invite = self.hub1.expect("INVITE")
        self.assertEqual((invite.body, invite.get("Max-Forwards")), (SDP, "69"))
        self.assertIn("sip:100@", invite.start_line)
        self.assertIn("Counter", invite.get("From"))
        self.hub1.reply(invite, 180)
        ringing = self.caller.expect(180)
        self.hub1.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.assertEqual((answer.body, answer.get("To")), (ANSWER, ringing.get("To")))
        self.caller.send_in_dialog("ACK", answer)
        ack = self.hub1.expect("ACK")
        self.assertEqual(ack.get("CSeq"), "1 ACK")
        self.caller.send_in_dialog("BYE", answer)
        self.assertEqual(self.caller.expect(200).method, "BYE")
        bye = self.hub1.expect("BYE")
        self.assertEqual((bye.get("CSeq"), bye.get("Call-ID")), ("2 BYE", invite.get("Call-ID")))
        self.hub1.reply(bye, 200)
        self.caller.expect_silence()

    def test_bye_from_hub_ends_callers_dialog(self):
        self.establish_call()
        self.hub1.send_bye(self.invite, self.ack)
        self.assertEqual(self.hub1.expect(200).method, "BYE")
        bye = self.caller.expect("BYE")
        self.assertEqual(bye.get("To"), self.answer.get("From"))
        self.caller.reply(bye, 200)

    def test_retransmitted_invite_makes_one_attempt(self):
        data = self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.caller.send(data)
        self.caller.send(data)
        self.hub1.expect_silence()
        self.assertEqual(
            {message.get("Call-ID") for message in self.hub1.retransmissions} - {invite.get("Call-ID")}, set()
        )
        self.hub2.expect_silence(0.01)
        self.hub1.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.caller.send_in_dialog("ACK", answer)
        self.hub1.expect("ACK")
        self.caller.expect_silence()

    def test_lost_200_and_lost_ack_to_hub_are_retransmitted(self):
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.caller.expect_retransmission(200)
        self.caller.expect_retransmission(200)
        self.caller.send_in_dialog("ACK", answer)
        self.hub1.expect("ACK")
        self.hub1.reply(invite, 200, ANSWER)
        self.hub1.expect_retransmission("ACK")
        self.hub2.expect_silence(0.01)

    def test_missing_ack_ends_both_dialogs(self):
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 200, ANSWER)
        self.caller.expect(200)
        self.hub1.expect("ACK")
        self.hub1.reply(self.hub1.expect("BYE"), 200)
        self.caller.reply(self.caller.expect("BYE"), 200)

    def test_cancel_before_the_answer(self):
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 100)
        self.hub1.reply(invite, 180)
        self.caller.expect(180)
        self.caller.send_cancel()
        first, second = self.caller.receive(), self.caller.receive()
        self.assertEqual(
            {(message.method, message.code) for message in (first, second)},
            {("CANCEL", 200), ("INVITE", 487)},
        )
        self.caller.ack_error(first if first.code == 487 else second)
        cancel = self.hub1.expect("CANCEL")
        self.assertEqual(cancel.get("Via"), invite.get("Via"))
        self.hub1.reply(cancel, 200)
        self.hub1.reply(invite, 487)
        ack = self.hub1.expect("ACK")
        self.assertEqual(ack.get("Via"), invite.get("Via"))
        self.caller.expect_silence()

    def test_cancel_crossing_200_from_hub_is_followed_by_ack_and_bye(self):
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 180)
        self.caller.expect(180)
        self.caller.send_cancel()
        self.hub1.expect("CANCEL")
        self.hub1.reply(invite, 200, ANSWER)
        self.hub1.expect("ACK")
        self.hub1.reply(self.hub1.expect("BYE"), 200)
        responses = [self.caller.receive(), self.caller.receive()]
        self.assertEqual(
            {(message.method, message.code) for message in responses}, {("CANCEL", 200), ("INVITE", 487)}
        )
        self.caller.ack_error(next(message for message in responses if message.code == 487))
        self.caller.expect_silence()

    def test_cancel_crossing_200_to_caller_keeps_call_until_bye(self):
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.caller.send_cancel()
        self.assertEqual(self.caller.expect(200).method, "CANCEL")
        self.caller.send_in_dialog("ACK", answer)
        self.hub1.expect("ACK")
        self.caller.send_in_dialog("BYE", answer)
        self.assertEqual(self.caller.expect(200).method, "BYE")
        self.hub1.expect("BYE")

    def test_cancel_crossing_error_response_has_no_effect(self):
        self.caller.send_invite()
        self.hub1.reply(self.hub1.expect("INVITE"), 486)
        self.hub1.expect("ACK")
        error_response = self.caller.expect(486)
        self.caller.send_cancel()
        self.assertEqual(self.caller.expect(200).method, "CANCEL")
        self.caller.ack_error(error_response)
        self.caller.expect_silence()
        self.hub2.expect_silence(0.01)

    def test_silent_hub_is_replaced_after_release_time_and_its_late_200_gets_bye(self):
        self.caller.send_invite(extra=("Expires: 5",))
        silent = self.hub1.expect("INVITE")
        started = time.monotonic()
        invite = self.hub2.expect("INVITE")
        self.assertGreaterEqual(time.monotonic() - started, 0.3 + 0.3)  # trying_ms, then release_s
        self.assertEqual(invite.get("X-Transit"), "0")
        self.hub2.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.caller.send_in_dialog("ACK", answer)
        self.hub2.expect("ACK")
        self.hub1.reply(silent, 200, b"late")
        self.hub1.expect("ACK")
        self.hub1.reply(self.hub1.expect("BYE"), 200)
        self.caller.expect_silence()
        self.hub2.expect_silence(0.01)

    def test_no_answer_gives_504_before_caller_gives_up(self):
        started = time.monotonic()
        self.caller.send_invite(extra=("Expires: 1",))
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 100)
        self.expect_error(504)
        self.assertLess(time.monotonic() - started, 1.5)
        cancel = self.hub1.expect("CANCEL")
        self.hub1.reply(cancel, 200)
        self.hub1.reply(invite, 487)
        self.hub1.expect("ACK")

    def test_error_responses_of_hub_are_mapped(self):
        for code, extra, expected in (
            (486, (), 486),
            (600, (), 486),
            (488, (), 500),
            (603, (), 500),
            (503, ("Retry-After: 7",), 503),
        ):
            started = time.monotonic()
            self.caller.send_invite()
            self.hub1.reply(self.hub1.expect("INVITE"), code, extra=extra)
            self.hub1.expect("ACK")
            answer = self.expect_error(expected)
            self.assertLess(time.monotonic() - started, 1.0)
            if expected == 503:
                self.assertTrue(1 <= int(answer.get("Retry-After")) <= 2)

    def test_hub_error_is_followed_by_another_attempt_at_once(self):
        self.caller.send_invite()
        self.hub1.reply(self.hub1.expect("INVITE"), 500)
        self.hub1.expect("ACK")
        self.hub1.reply(self.hub1.expect("INVITE"), 200, ANSWER)
        self.caller.send_in_dialog("ACK", self.caller.expect(200))

    def test_hub_without_circuit_is_bypassed_via_tandem_at_once(self):
        self.caller.send_invite()
        self.hub1.reply(self.hub1.expect("INVITE"), 503, extra=('Reason: Q.850;cause=34;text="none"',))
        self.hub1.expect("ACK")
        self.hub2.reply(self.hub2.expect("INVITE"), 503, extra=("Reason: Q.850;cause=34",))
        self.hub2.expect("ACK")
        self.expect_error(503)

    def test_delayed_offer_is_answered_in_ack(self):
        self.caller.send_invite(body=b"")
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.assertEqual(answer.body, ANSWER)
        self.caller.send_in_dialog("ACK", answer, body=SDP)
        self.assertEqual(self.hub1.expect("ACK").body, SDP)

    def test_contact_that_cannot_be_reached_affects_no_other_call_and_not_the_exit(self):
        # Guards against an exception in one call's BYE that leaves the other calls without theirs.
        for address in (("127.0.0.1", 70000), ("no-such-host.invalid", 5060)):
            other = self.endpoint(CallerAgent).connect(self.address)
            other.address = address
            other.send_invite()
            invite = self.hub1.expect("INVITE")
            self.hub1.reply(invite, 200, ANSWER)
            other.send_in_dialog("ACK", other.expect(200))
            self.hub1.expect("ACK")
        self.establish_call()
        self.consul.remove_service("hub-1")
        self.caller.reply(self.caller.expect("BYE"), 200)
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_number_with_a_digit_that_is_not_decimal_is_served_like_any_other(self):
        # Guards against an exception that leaves the call unanswered, and its place taken for good.
        self.caller.send_invite(number="1%c2%b2")
        self.hub1.reply(self.hub1.expect("INVITE"), 486)
        self.expect_error(486)

    def test_rejected_requests_and_options_get_matching_status_codes(self):
        for method, code, options in (
            ("INVITE", 404, {"number": "999"}),
            ("INVITE", 420, {"extra": ("Require: 100rel",)}),
            ("INVITE", 483, {"max_forwards": 0}),
            ("INVITE", 400, {"max_forwards": "many"}),
            ("INVITE", 415, {"extra": ("Content-Type: text/plain",), "body": b"x"}),
            ("INVITE", 481, {"to_tag": "nobody"}),
            ("BYE", 481, {}),
            ("BYE", 481, {"to_tag": "nobody"}),
            ("CANCEL", 481, {}),
            ("MESSAGE", 405, {}),
            ("REGISTER", 405, {}),
            ("OPTIONS", 200, {}),
        ):
            self.caller.send_request(method, **options)
            if method == "INVITE":
                self.caller.invite_branch = self.caller.branch
                answer = self.expect_error(code)
            else:
                answer = self.caller.expect(code)
            if code in (405, 200):
                self.assertIn("INVITE", answer.get("Allow"))
            if code == 420:
                self.assertEqual(answer.get("Unsupported"), "100rel")
            self.assertIn(f";branch={self.caller.branch}", answer.get("Via"))
            self.assertIn("received=127.0.0.1", answer.get("Via"))
        self.hub1.expect_silence(0.01)

    def test_route_sets_and_sequence_numbers_of_both_dialogs(self):
        tail = f";lr;transport={self.transport.lower()}"
        routes = [
            f"<sip:127.0.0.1:{peer.address[1]}{tail}{part}>"
            for peer, part in ((self.caller, ""), (self.hub1, ";p=1"), (self.hub1, ";p=2"))
        ]
        self.caller.send_invite(extra=(f"Record-Route: {routes[0]}",))
        invite = self.hub1.expect("INVITE")
        self.assertEqual(invite.values("Record-Route"), [])
        self.hub1.reply(invite, 200, ANSWER, extra=(f"Record-Route: {routes[1]}, {routes[2]}",))
        answer = self.caller.expect(200)
        self.assertEqual(answer.values("Record-Route"), [routes[0]])
        self.caller.send_in_dialog("ACK", answer)
        ack = self.hub1.expect("ACK")
        self.assertEqual(ack.values("Route"), [routes[2], routes[1]])
        self.assertIn(f"sip:127.0.0.1:{self.hub1.address[1]}", ack.start_line)
        self.caller.send_in_dialog("OPTIONS", answer, cseq=7)
        self.caller.expect(200)
        self.caller.send_in_dialog("OPTIONS", answer, cseq=6)
        self.caller.expect(500)
        self.consul.remove_service("hub-1")
        bye = self.caller.expect("BYE")
        self.assertEqual((bye.values("Route"), bye.get("CSeq")), ([routes[0]], "1 BYE"))
        self.assertEqual(self.hub1.expect("BYE").values("Route"), [routes[2], routes[1]])

    def test_re_invite_is_rejected_and_bye_in_early_dialog_ends_call(self):
        self.establish_call()
        self.caller.send_in_dialog("INVITE", self.answer)
        self.caller.invite_branch = self.caller.branch
        self.expect_error(488)
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.hub1.reply(invite, 180)
        ringing = self.caller.expect(180)
        self.caller.send_in_dialog("BYE", ringing)
        codes = {(message.method, message.code) for message in (self.caller.receive(), self.caller.receive())}
        self.assertEqual(codes, {("BYE", 200), ("INVITE", 487)})
        self.hub1.expect("CANCEL")

    def test_shutdown_ends_established_calls_on_both_sides(self):
        self.establish_call()
        self.program.process.send_signal(signal.SIGTERM)
        self.caller.reply(self.caller.expect("BYE"), 200)
        self.hub1.reply(self.hub1.expect("BYE"), 200)
        self.assertEqual(self.program.wait_for_exit(), 0)

    def test_hub_draining_in_consul_gets_no_new_calls_and_its_calls_end_when_it_is_removed(self):
        self.establish_call()
        self.consul.set_service("hub-1", status="warning")
        self.consul.wait_for_queries(self.consul.index)
        self.caller.send_invite()
        self.assertTrue(self.expect_error(503).get("Retry-After"))
        self.hub1.expect_silence(0.01)
        self.consul.remove_service("hub-1")
        self.caller.reply(self.caller.expect("BYE"), 200)
        self.hub1.expect("BYE")


class UdpCallTests(CallTests, SipTestCase):
    transport = "UDP"

    def test_invite_of_an_attempt_that_was_given_up_is_not_retransmitted(self):
        # Guards against two attempts of one call at once: a hub that returns would take the INVITE as new.
        self.caller.send_invite()
        self.hub1.expect("INVITE")
        self.hub2.expect("INVITE")
        self.hub1.expect_silence(0.02)
        self.hub1.retransmissions.clear()
        self.hub1.expect_silence(1.0)
        self.assertEqual(self.hub1.retransmissions, [])

    def test_retransmissions_to_draining_hub_stop(self):
        self.caller.send_invite(extra=("Expires: 1",))
        self.hub1.expect("INVITE")
        self.consul.set_service("hub-1", status="passing", check="_service_maintenance:hub-1")
        self.consul.wait_for_queries(self.consul.index)
        self.hub1.expect_silence(0.02)
        self.hub1.retransmissions.clear()
        self.hub1.expect_silence(0.25)
        self.assertEqual(self.hub1.retransmissions, [])

    def test_messages_are_retransmitted_only_until_answered(self):
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.hub1.expect_retransmission("INVITE")
        self.hub1.expect_retransmission("INVITE")
        self.hub1.reply(invite, 486)
        self.hub1.expect("ACK")
        self.hub1.reply(invite, 486)
        self.hub1.expect_retransmission("ACK")
        error_response = self.caller.expect(486)
        self.caller.expect_retransmission(486)
        self.caller.ack_error(error_response)
        self.caller.expect_silence(0.05)
        self.caller.retransmissions.clear()
        self.caller.expect_silence(0.4)
        self.assertEqual(self.caller.retransmissions, [])
        self.establish_call()
        self.caller.send_in_dialog("BYE", self.answer)
        bye = self.hub1.expect("BYE")
        self.hub1.expect_retransmission("BYE")
        self.hub1.reply(bye, 200)
        self.hub1.expect_silence(0.05)
        self.hub1.retransmissions.clear()
        self.hub1.expect_silence(0.4)
        self.assertEqual(self.hub1.retransmissions, [])

    def test_request_too_large_for_datagram_uses_tcp(self):
        self.hub1.listen_tcp_too()
        body = SDP + b"a=x:" + b"y" * 1400 + b"\r\n"
        self.caller.send_invite(body=body)
        invite = self.hub1.expect("INVITE")
        self.assertEqual(invite.body, body)
        self.assertIn("SIP/2.0/TCP", invite.get("Via"))
        self.hub1.reply(invite, 200, ANSWER)
        self.caller.send_in_dialog("ACK", self.caller.expect(200))

    def test_merged_request_gets_482(self):
        data = self.caller.send_invite()
        self.hub1.expect("INVITE")
        self.caller.send(data.replace(self.caller.branch.encode(), b"z9hG4bK-other"))
        self.assertIn("z9hG4bK-other", self.caller.expect(482).get("Via"))

    def test_malformed_messages_are_dropped_and_counted(self):
        for data in (b"\xff" * 50, b"INVITE", b"SIP/2.0 200 OK\r\n\r\n", b"\r\n\r\n"):
            self.caller.send(data)
        self.program.wait_log("sip-drop ")
        self.caller.send_request("OPTIONS")
        self.caller.expect(200)


class TcpCallTests(CallTests, SipTestCase):
    transport = "TCP"

    def test_messages_are_framed_by_content_length(self):
        sent, self.caller.remote = [], self.caller.remote
        send, self.caller.send = self.caller.send, sent.append
        self.caller.send_request("OPTIONS", body=b"12345")
        self.caller.send_request("OPTIONS")
        data = b"\r\n\r\n" + b"".join(sent)
        for part in (data[:40], data[40:-9], data[-9:]):
            send(part)
            time.sleep(0.01)
        self.assertEqual((self.caller.expect(200).code, self.caller.expect(200).code), (200, 200))

    def test_message_without_content_length_closes_connection(self):
        self.caller.send(
            b"OPTIONS sip:x@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/TCP 127.0.0.1;branch=z9hG4bKx\r\n"
            b"From: <sip:a@b>;tag=1\r\nTo: <sip:x@127.0.0.1>\r\nCall-ID: c\r\n"
            b"CSeq: 1 OPTIONS\r\n\r\n"
        )
        self.assertEqual(self.caller.receive().code, 400)
        self.program.wait_log("end role=sip", "code=bad-framing")

    def test_refused_connection_is_one_failed_attempt(self):
        self.hub1.close()
        self.caller.send_invite()
        answer = self.caller.receive()
        while answer.code == 100:
            answer = self.caller.receive()
        self.assertGreaterEqual(answer.code, 500)
        self.program.wait_log("end role=sip", "code=refused")


class TransitTests(SipTestCase):
    config_changes = {"peers = []": 'peers = ["127.0.0.1"]'}

    def test_call_in_transit_from_peer_goes_to_destination_or_is_rejected(self):
        self.caller.send_invite(extra=("X-Transit: 2",))
        self.hub1.reply(self.hub1.expect("INVITE"), 503, extra=("Reason: Q.850;cause=34",))
        self.hub1.expect("ACK")
        self.caller.ack_error(self.caller.expect(503))
        self.hub2.expect_silence()


class CombinedProcessTests(PlatformCase):
    def test_one_process_serves_sip_and_platform_protocol(self):
        consul = FakeConsul()
        self.addCleanup(consul.close)
        hub, caller = SipEndpoint("UDP"), CallerAgent("UDP")
        self.addCleanup(hub.close)
        self.addCleanup(caller.close)
        consul.set_service("hub-1", 1, hub)
        path = f"{self.folder.name}/sip.toml"
        with open(path, "w") as file:
            file.write(
                (ROOT / "deploy" / "sip.toml")
                .read_text()
                .replace("enabled = false", "enabled = true")
                .replace("127.0.0.1:5060", "127.0.0.1:0")
                .replace(":8500", f":{consul.port}")
            )
        program = self.start(env={"CHUTEFORK_SIP": path})
        self.exchange1.accept()
        consul.wait_for_queries(consul.index)
        port = program.wait_log("serving-sip ")[0].rpartition(":")[2]
        caller.connect(("127.0.0.1", int(port))).send_invite()
        hub.reply(hub.expect("INVITE"), 200, ANSWER)
        caller.send_in_dialog("ACK", caller.expect(200))
        lines = self.caller()
        lines.launch("00000000000000a1")
        self.assertEqual(self.exchange1.read()[:2], (1, "00000000000000a1"))
        self.exchange1.answer("00000000000000a1")
        self.assertEqual(lines.read()["kind"], "running")
        program.process.send_signal(signal.SIGTERM)
        caller.reply(caller.expect("BYE"), 200)
        self.assertEqual(program.wait_for_exit(), 0)


class ConnectionLimitTests(SipTestCase):
    transport = "TCP"
    config_changes = {"sockets = 1024": "sockets = 40"}

    def test_silent_connections_are_evicted_and_closed(self):
        self.caller.send_request("OPTIONS")
        self.caller.expect(200)
        silent = [socket.create_connection(self.address, WAIT_TIMEOUT_S) for _ in range(60)]
        self.program.wait_log("end role=sip", "code=crowded")
        self.caller.send_request("OPTIONS")
        self.caller.expect(200)
        for sock in silent:
            self.addCleanup(sock.close)
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(sock.recv(1), b"")
        self.program.wait_log("end role=sip", "code=unused")


class ConsulTests(SipTestCase):
    def test_service_is_registered_kept_passing_and_deregistered(self):
        wait_until(lambda: any("/check/pass/" in path for path, _ in self.consul.puts), "a pass")
        path, entry = self.consul.puts[0]
        self.assertEqual(path, "/v1/agent/service/register")
        self.assertEqual((entry["Name"], entry["Port"]), ("chutefork-sip", self.address[1]))
        self.assertEqual(entry["Check"]["TTL"], "1s")
        passes = len(self.consul.puts)
        wait_until(lambda: len(self.consul.puts) > passes + 1, "further passes")
        self.consul.agent_status = 404
        wait_until(lambda: sum("/register" in path for path, _ in self.consul.puts) > 1, "registered again")
        self.assertLess(len(self.consul.puts), passes + 20)  # it waits between requests
        self.consul.agent_status = 200
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assertIn("/deregister/", self.consul.puts[-1][0])

    def test_index_going_backwards_restarts_query_from_zero(self):
        self.consul.set_service("hub-1", status="passing", index=3)
        wait_until(lambda: ("/v1/health/service/sip-hub", 0) in self.consul.queries[2:], "a query from 0")
        self.consul.wait_for_queries(3)

    def test_last_list_is_kept_while_consul_is_down_and_updated_afterwards(self):
        port = self.consul.port
        self.consul.close()
        services = self.consul.services
        self.program.wait_log("end role=consul", "code=unreached")
        self.caller.send_invite()
        self.hub1.reply(self.hub1.expect("INVITE"), 486)
        self.caller.ack_error(self.caller.expect(486))
        self.consul = FakeConsul(port)
        self.consul.services = services
        self.consul.set_service("hub-1", status="critical")
        self.consul.wait_for_queries(self.consul.index)
        self.caller.send_invite()
        self.caller.ack_error(self.caller.expect(404))

    def test_new_hub_gets_calls_once_consul_lists_it(self):
        hub3 = self.endpoint(SipEndpoint)
        self.consul.remove_service("hub-1")
        self.consul.wait_for_queries(self.consul.index)
        self.consul.set_service("hub-3", 1, hub3)
        self.consul.wait_for_queries(self.consul.index)
        self.caller.send_invite()
        hub3.expect("INVITE")


class ConfigurationTests(unittest.TestCase):
    def test_invalid_file_ends_the_program_and_names_the_key(self):
        text = (ROOT / "deploy" / "sip.toml").read_text().replace("enabled = false", "enabled = true")
        with tempfile.TemporaryDirectory() as folder:
            for old, new, key in (
                ("t1_ms = 500", "t1_ms = 0", "t1_ms"),
                ("ttl_s = 10", 'ttl_s = "x"', "ttl_s"),
                ('class = "rate-quote"', 'class = "other"', "routes[0].class"),
                ("cold_share = 0.29", "cold_share = 2", "cold_share"),
            ):
                path = f"{folder}/sip.toml"
                with open(path, "w") as file:
                    file.write(text.replace(old, new))
                program = Program({"CHUTEFORK_SIP": path})
                self.assertEqual(program.wait_for_exit(), 2)
                self.assertIn(key, "\n".join(program.lines))
                program.close()


if __name__ == "__main__":
    unittest.main()
