"""The SIP front on the real program: each call gets exactly one final answer, over UDP and over TCP."""

import contextlib
import signal
import socket
import tempfile
import time
import unittest

from .platform_harness import PATIENCE_S, ROOT, PlatformCase, Program, until
from .sip_harness import SDP, Agent, Consul, Peer, SipCase

ANSWER = b"v=0\r\no=- 2 2 IN IP4 127.0.0.1\r\ns=hub\r\n"


class Calls:
    """The cases for both transports."""

    def stand(self, hub=None):
        hub = hub or self.one
        self.caller.invite()
        self.invite = hub.expect("INVITE")
        hub.reply(self.invite, 200, ANSWER)
        self.answer = self.caller.expect(200)
        self.caller.within("ACK", self.answer)
        self.ack = hub.expect("ACK")

    def refused(self, code):
        answer = self.caller.expect(code)
        self.caller.ack_refusal(answer)
        self.caller.quiet()
        return answer

    def test_the_whole_path_from_invite_to_bye(self):
        self.caller.invite()
        self.assertEqual(self.caller.expect(100).get("To"), "<sip:100@127.0.0.1>")
        invite = self.one.expect("INVITE")
        self.assertEqual((invite.body, invite.get("Max-Forwards")), (SDP, "69"))
        self.assertIn("sip:100@", invite.start)
        self.assertIn("Counter", invite.get("From"))
        self.one.reply(invite, 180)
        ringing = self.caller.expect(180)
        self.one.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.assertEqual((answer.body, answer.get("To")), (ANSWER, ringing.get("To")))
        self.caller.within("ACK", answer)
        ack = self.one.expect("ACK")
        self.assertEqual(ack.get("CSeq"), "1 ACK")
        self.caller.within("BYE", answer)
        self.assertEqual(self.caller.expect(200).method, "BYE")
        bye = self.one.expect("BYE")
        self.assertEqual((bye.get("CSeq"), bye.get("Call-ID")), ("2 BYE", invite.get("Call-ID")))
        self.one.reply(bye, 200)
        self.caller.quiet()

    def test_a_bye_of_the_hub_ends_the_callers_side(self):
        self.stand()
        host, port = self.address
        self.one.send(
            (
                f"BYE sip:{host}:{port} SIP/2.0\r\nVia: SIP/2.0/{self.transport} 127.0.0.1:"
                f"{self.one.address[1]};branch=z9hG4bKhub;rport\r\nFrom: {self.ack.get('To')}\r\n"
                f"To: {self.ack.get('From')}\r\nCall-ID: {self.ack.get('Call-ID')}\r\nCSeq: 1 BYE\r\n"
                "Max-Forwards: 70\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        )
        self.assertEqual(self.one.expect(200).method, "BYE")
        bye = self.caller.expect("BYE")
        self.assertEqual(bye.get("To"), self.answer.get("From"))
        self.caller.reply(bye, 200)

    def test_a_repeated_invite_is_one_attempt(self):
        data = self.caller.invite()
        invite = self.one.expect("INVITE")
        self.caller.send(data)
        self.caller.send(data)
        self.one.quiet()
        self.assertEqual({item.get("Call-ID") for item in self.one.repeats} - {invite.get("Call-ID")}, set())
        self.two.quiet(0.01)
        self.one.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.caller.within("ACK", answer)
        self.one.expect("ACK")
        self.caller.quiet()

    def test_a_lost_200_comes_again_and_a_lost_ack_towards_the_hub_too(self):
        self.caller.invite()
        invite = self.one.expect("INVITE")
        self.one.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.caller.again(200)
        self.caller.again(200)
        self.caller.within("ACK", answer)
        self.one.expect("ACK")
        self.one.reply(invite, 200, ANSWER)
        self.one.again("ACK")
        self.two.quiet(0.01)

    def test_an_ack_that_never_comes_ends_both_sides(self):
        self.caller.invite()
        invite = self.one.expect("INVITE")
        self.one.reply(invite, 200, ANSWER)
        self.caller.expect(200)
        self.one.expect("ACK")
        self.one.reply(self.one.expect("BYE"), 200)
        self.caller.reply(self.caller.expect("BYE"), 200)

    def test_cancel_before_the_answer(self):
        self.caller.invite()
        invite = self.one.expect("INVITE")
        self.one.reply(invite, 100)
        self.one.reply(invite, 180)
        self.caller.expect(180)
        self.caller.cancel()
        first, second = self.caller.recv(), self.caller.recv()
        self.assertEqual(
            {(item.method, item.code) for item in (first, second)}, {("CANCEL", 200), ("INVITE", 487)}
        )
        self.caller.ack_refusal(first if first.code == 487 else second)
        cancel = self.one.expect("CANCEL")
        self.assertEqual(cancel.get("Via"), invite.get("Via"))
        self.one.reply(cancel, 200)
        self.one.reply(invite, 487)
        ack = self.one.expect("ACK")
        self.assertEqual(ack.get("Via"), invite.get("Via"))
        self.caller.quiet()

    def test_cancel_that_crosses_the_hubs_200_is_followed_by_ack_and_bye(self):
        self.caller.invite()
        invite = self.one.expect("INVITE")
        self.one.reply(invite, 180)
        self.caller.expect(180)
        self.caller.cancel()
        self.one.expect("CANCEL")
        self.one.reply(invite, 200, ANSWER)
        self.one.expect("ACK")
        self.one.reply(self.one.expect("BYE"), 200)
        codes = [self.caller.recv(), self.caller.recv()]
        self.assertEqual({(item.method, item.code) for item in codes}, {("CANCEL", 200), ("INVITE", 487)})
        self.caller.ack_refusal(next(item for item in codes if item.code == 487))
        self.caller.quiet()

    def test_cancel_that_crosses_our_200_leaves_the_call_standing_until_its_bye(self):
        self.caller.invite()
        invite = self.one.expect("INVITE")
        self.one.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.caller.cancel()
        self.assertEqual(self.caller.expect(200).method, "CANCEL")
        self.caller.within("ACK", answer)
        self.one.expect("ACK")
        self.caller.within("BYE", answer)
        self.assertEqual(self.caller.expect(200).method, "BYE")
        self.one.expect("BYE")

    def test_cancel_that_crosses_a_refusal_changes_nothing(self):
        self.caller.invite()
        self.one.reply(self.one.expect("INVITE"), 486)
        self.one.expect("ACK")
        refusal = self.caller.expect(486)
        self.caller.cancel()
        self.assertEqual(self.caller.expect(200).method, "CANCEL")
        self.caller.ack_refusal(refusal)
        self.caller.quiet()
        self.two.quiet(0.01)

    def test_a_silent_hub_is_followed_by_another_after_the_release_wait_and_its_late_200_by_a_bye(self):
        self.caller.invite(extra=("Expires: 5",))
        silent = self.one.expect("INVITE")
        began = time.monotonic()
        invite = self.two.expect("INVITE")
        self.assertGreaterEqual(time.monotonic() - began, 0.3 + 0.3)
        self.assertEqual(invite.get("X-Transit"), "0")
        self.two.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.caller.within("ACK", answer)
        self.two.expect("ACK")
        self.one.reply(silent, 200, b"late")
        self.one.expect("ACK")
        self.one.reply(self.one.expect("BYE"), 200)
        self.caller.quiet()
        self.two.quiet(0.01)

    def test_no_answer_in_time_is_504_before_the_caller_leaves(self):
        began = time.monotonic()
        self.caller.invite(extra=("Expires: 1",))
        invite = self.one.expect("INVITE")
        self.one.reply(invite, 100)
        self.refused(504)
        self.assertLess(time.monotonic() - began, 1.5)
        cancel = self.one.expect("CANCEL")
        self.one.reply(cancel, 200)
        self.one.reply(invite, 487)
        self.one.expect("ACK")

    def test_refusals_of_a_hub_keep_their_meaning(self):
        for code, extra, wanted in (
            (486, (), 486),
            (600, (), 486),
            (488, (), 500),
            (603, (), 500),
            (503, ("Retry-After: 7",), 503),
        ):
            began = time.monotonic()
            self.caller.invite()
            self.one.reply(self.one.expect("INVITE"), code, extra=extra)
            self.one.expect("ACK")
            answer = self.refused(wanted)
            self.assertLess(time.monotonic() - began, 1.0)
            if wanted == 503:
                self.assertTrue(1 <= int(answer.get("Retry-After")) <= 2)

    def test_a_fault_of_the_hub_is_followed_by_another_try_at_once(self):
        self.caller.invite()
        self.one.reply(self.one.expect("INVITE"), 500)
        self.one.expect("ACK")
        self.one.reply(self.one.expect("INVITE"), 200, ANSWER)
        self.caller.within("ACK", self.caller.expect(200))

    def test_a_hub_without_a_circuit_is_followed_by_a_way_round_at_once(self):
        self.caller.invite()
        self.one.reply(self.one.expect("INVITE"), 503, extra=('Reason: Q.850;cause=34;text="none"',))
        self.one.expect("ACK")
        self.two.reply(self.two.expect("INVITE"), 503, extra=("Reason: Q.850;cause=34",))
        self.two.expect("ACK")
        self.refused(503)

    def test_an_offer_of_the_hub_is_answered_in_the_ack(self):
        self.caller.invite(body=b"")
        invite = self.one.expect("INVITE")
        self.one.reply(invite, 200, ANSWER)
        answer = self.caller.expect(200)
        self.assertEqual(answer.body, ANSWER)
        self.caller.within("ACK", answer, body=SDP)
        self.assertEqual(self.one.expect("ACK").body, SDP)

    def test_requests_that_cannot_be_served_say_why(self):
        for method, code, more in (
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
            self.caller.request(method, **more)
            if method == "INVITE":
                self.caller.invite_branch = self.caller.branch
                answer = self.refused(code)
            else:
                answer = self.caller.expect(code)
            if code in (405, 200):
                self.assertIn("INVITE", answer.get("Allow"))
            if code == 420:
                self.assertEqual(answer.get("Unsupported"), "100rel")
            self.assertIn(f";branch={self.caller.branch}", answer.get("Via"))
            self.assertIn("received=127.0.0.1", answer.get("Via"))
        self.one.quiet(0.01)

    def test_route_sets_and_sequence_numbers_of_both_dialogs(self):
        tail = f";lr;transport={self.transport.lower()}"
        routes = [
            f"<sip:127.0.0.1:{peer.address[1]}{tail}{part}>"
            for peer, part in ((self.caller, ""), (self.one, ";p=1"), (self.one, ";p=2"))
        ]
        self.caller.invite(extra=(f"Record-Route: {routes[0]}",))
        invite = self.one.expect("INVITE")
        self.assertEqual(invite.all("Record-Route"), [])
        self.one.reply(invite, 200, ANSWER, extra=(f"Record-Route: {routes[1]}, {routes[2]}",))
        answer = self.caller.expect(200)
        self.assertEqual(answer.all("Record-Route"), [routes[0]])
        self.caller.within("ACK", answer)
        ack = self.one.expect("ACK")
        self.assertEqual(ack.all("Route"), [routes[2], routes[1]])
        self.assertIn(f"sip:127.0.0.1:{self.one.address[1]}", ack.start)
        self.caller.within("OPTIONS", answer, cseq=7)
        self.caller.expect(200)
        self.caller.within("OPTIONS", answer, cseq=6)
        self.caller.expect(500)
        self.consul.drop("hub-1")
        bye = self.caller.expect("BYE")
        self.assertEqual((bye.all("Route"), bye.get("CSeq")), ([routes[0]], "1 BYE"))
        self.assertEqual(self.one.expect("BYE").all("Route"), [routes[2], routes[1]])

    def test_a_re_invite_leaves_the_session_and_a_bye_of_before_the_answer_ends_the_call(self):
        self.stand()
        self.caller.within("INVITE", self.answer)
        self.caller.invite_branch = self.caller.branch
        self.refused(488)
        self.caller.invite()
        invite = self.one.expect("INVITE")
        self.one.reply(invite, 180)
        ringing = self.caller.expect(180)
        self.caller.within("BYE", ringing)
        codes = {(item.method, item.code) for item in (self.caller.recv(), self.caller.recv())}
        self.assertEqual(codes, {("BYE", 200), ("INVITE", 487)})
        self.one.expect("CANCEL")

    def test_what_stands_is_ended_on_both_sides_when_the_program_leaves(self):
        self.stand()
        self.program.process.send_signal(signal.SIGTERM)
        self.caller.reply(self.caller.expect("BYE"), 200)
        self.one.reply(self.one.expect("BYE"), 200)
        self.assertEqual(self.program.finish(), 0)

    def test_a_drain_told_by_consul(self):
        self.stand()
        self.consul.put("hub-1", status="warning")
        self.consul.asked(self.consul.index)
        self.caller.invite()
        self.assertTrue(self.refused(503).get("Retry-After"))
        self.one.quiet(0.01)
        self.consul.drop("hub-1")
        self.caller.reply(self.caller.expect("BYE"), 200)
        self.one.expect("BYE")


class OverUdp(Calls, SipCase):
    transport = "UDP"

    def test_a_repeat_stops_for_a_hub_that_drains(self):
        self.caller.invite(extra=("Expires: 1",))
        self.one.expect("INVITE")
        self.consul.put("hub-1", status="passing", check="_service_maintenance:hub-1")
        self.consul.asked(self.consul.index)
        self.one.quiet(0.02)
        self.one.repeats.clear()
        self.one.quiet(0.25)
        self.assertEqual(self.one.repeats, [])

    def test_what_is_lost_is_repeated_until_its_answer_and_no_longer(self):
        self.caller.invite()
        invite = self.one.expect("INVITE")
        self.one.again("INVITE")
        self.one.again("INVITE")
        self.one.reply(invite, 486)
        self.one.expect("ACK")
        self.one.reply(invite, 486)
        self.one.again("ACK")
        refusal = self.caller.expect(486)
        self.caller.again(486)
        self.caller.ack_refusal(refusal)
        self.caller.quiet(0.05)
        self.caller.repeats.clear()
        self.caller.quiet(0.4)
        self.assertEqual(self.caller.repeats, [])
        self.stand()
        self.caller.within("BYE", self.answer)
        bye = self.one.expect("BYE")
        self.one.again("BYE")
        self.one.reply(bye, 200)
        self.one.quiet(0.05)
        self.one.repeats.clear()
        self.one.quiet(0.4)
        self.assertEqual(self.one.repeats, [])

    def test_a_request_too_large_for_a_datagram_goes_by_tcp(self):
        self.one.listen_too()
        body = SDP + b"a=x:" + b"y" * 1400 + b"\r\n"
        self.caller.invite(body=body)
        invite = self.one.expect("INVITE")
        self.assertEqual(invite.body, body)
        self.assertIn("SIP/2.0/TCP", invite.get("Via"))
        self.one.reply(invite, 200, ANSWER)
        self.caller.within("ACK", self.caller.expect(200))

    def test_the_same_try_by_two_ways_is_a_loop(self):
        data = self.caller.invite()
        self.one.expect("INVITE")
        self.caller.send(data.replace(self.caller.branch.encode(), b"z9hG4bK-other"))
        self.assertIn("z9hG4bK-other", self.caller.expect(482).get("Via"))

    def test_garbage_is_dropped_and_counted(self):
        for data in (b"\xff" * 50, b"INVITE", b"SIP/2.0 200 OK\r\n\r\n", b"\r\n\r\n"):
            self.caller.send(data)
        self.program.wait_log("sip-drop ")
        self.caller.request("OPTIONS")
        self.caller.expect(200)


class OverTcp(Calls, SipCase):
    transport = "TCP"

    def test_messages_are_framed_by_their_length(self):
        sent, self.caller.route = [], self.caller.route
        keep, self.caller.send = self.caller.send, sent.append
        self.caller.request("OPTIONS", body=b"12345")
        self.caller.request("OPTIONS")
        whole = b"\r\n\r\n" + b"".join(sent)
        for part in (whole[:40], whole[40:-9], whole[-9:]):
            keep(part)
            time.sleep(0.01)
        self.assertEqual((self.caller.expect(200).code, self.caller.expect(200).code), (200, 200))

    def test_a_message_without_its_length_ends_the_connection(self):
        self.caller.send(
            b"OPTIONS sip:x@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/TCP 127.0.0.1;branch=z9hG4bKx\r\n"
            b"From: <sip:a@b>;tag=1\r\nTo: <sip:x@127.0.0.1>\r\nCall-ID: c\r\n"
            b"CSeq: 1 OPTIONS\r\n\r\n"
        )
        self.assertEqual(self.caller.recv().code, 400)
        self.program.wait_log("end role=sip", "code=bad-framing")

    def test_a_hub_that_refuses_connections_is_one_failed_attempt(self):
        self.one.close()
        self.caller.invite()
        answer = self.caller.recv()
        while answer.code == 100:
            answer = self.caller.recv()
        self.assertGreaterEqual(answer.code, 500)
        self.program.wait_log("end role=sip", "code=refused")


class Transit(SipCase):
    changes = {"peers = []": 'peers = ["127.0.0.1"]'}

    def test_a_call_in_transit_from_a_peer_goes_to_its_destination_or_back(self):
        self.caller.invite(extra=("X-Transit: 2",))
        self.one.reply(self.one.expect("INVITE"), 503, extra=("Reason: Q.850;cause=34",))
        self.one.expect("ACK")
        self.caller.ack_refusal(self.caller.expect(503))
        self.two.quiet()


class BothFronts(PlatformCase):
    def test_one_process_serves_both(self):
        consul = Consul()
        self.addCleanup(consul.close)
        hub, caller = Peer("UDP"), Agent("UDP")
        self.addCleanup(hub.close)
        self.addCleanup(caller.close)
        consul.put("hub-1", 1, hub)
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
        self.one.accept()
        consul.asked(consul.index)
        port = program.wait_log("serving-sip ")[0].rpartition(":")[2]
        caller.connect(("127.0.0.1", int(port))).invite()
        hub.reply(hub.expect("INVITE"), 200, ANSWER)
        caller.within("ACK", caller.expect(200))
        lines = self.caller()
        lines.launch("00000000000000a1")
        self.assertEqual(self.one.read()[:2], (1, "00000000000000a1"))
        self.one.answer("00000000000000a1")
        self.assertEqual(lines.read()["kind"], "running")
        program.process.send_signal(signal.SIGTERM)
        caller.reply(caller.expect("BYE"), 200)
        self.assertEqual(program.finish(), 0)


class Crowd(SipCase):
    transport = "TCP"
    changes = {"sockets = 1024": "sockets = 40"}

    def test_silent_connections_make_room_and_are_closed(self):
        self.caller.request("OPTIONS")
        self.caller.expect(200)
        silent = [socket.create_connection(self.address, PATIENCE_S) for _ in range(60)]
        self.program.wait_log("end role=sip", "code=crowded")
        self.caller.request("OPTIONS")
        self.caller.expect(200)
        for sock in silent:
            self.addCleanup(sock.close)
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(sock.recv(1), b"")
        self.program.wait_log("end role=sip", "code=unused")


class Consuls(SipCase):
    def test_it_registers_itself_keeps_its_check_passing_and_leaves(self):
        until(lambda: any("/check/pass/" in path for path, _ in self.consul.puts), "a pass")
        path, entry = self.consul.puts[0]
        self.assertEqual(path, "/v1/agent/service/register")
        self.assertEqual((entry["Name"], entry["Port"]), ("chutefork-sip", self.address[1]))
        self.assertEqual(entry["Check"]["TTL"], "1s")
        passes = len(self.consul.puts)
        until(lambda: len(self.consul.puts) > passes + 1, "further passes")
        self.consul.agent_status = 404
        until(lambda: sum("/register" in path for path, _ in self.consul.puts) > 1, "registered again")
        self.assertLess(len(self.consul.puts), passes + 20)  # it does not ask without pause
        self.consul.agent_status = 200
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.program.finish(), 0)
        self.assertIn("/deregister/", self.consul.puts[-1][0])

    def test_an_index_that_goes_back_is_asked_for_from_the_start(self):
        self.consul.put("hub-1", status="passing", index=3)
        until(lambda: ("/v1/health/service/sip-hub", 0) in self.consul.queries[2:], "a query from 0")
        self.consul.asked(3)

    def test_the_last_list_holds_while_consul_is_away_and_news_come_when_it_is_back(self):
        port = self.consul.port
        self.consul.close()
        services = self.consul.services
        self.program.wait_log("end role=consul", "code=unreached")
        self.caller.invite()
        self.one.reply(self.one.expect("INVITE"), 486)
        self.caller.ack_refusal(self.caller.expect(486))
        self.consul = Consul(port)
        self.consul.services = services
        self.consul.put("hub-1", status="critical")
        self.consul.asked(self.consul.index)
        self.caller.invite()
        self.caller.ack_refusal(self.caller.expect(404))

    def test_a_new_hub_is_met_once_consul_lists_it(self):
        three = self.peer(Peer)
        self.consul.drop("hub-1")
        self.consul.asked(self.consul.index)
        self.consul.put("hub-3", 1, three)
        self.consul.asked(self.consul.index)
        self.caller.invite()
        three.expect("INVITE")


class Files(unittest.TestCase):
    def test_a_bad_file_names_its_key(self):
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
                self.assertEqual(program.finish(), 2)
                self.assertIn(key, "\n".join(program.lines))
                program.close()


if __name__ == "__main__":
    unittest.main()
