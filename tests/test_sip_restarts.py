"""The SIP side of the real program after its restart: calls from before end on either side."""

from .sip_harness import ANSWER, SDP, SipEndpoint, SipTestCase, contact_uri


class RestartTests:
    """Tests that run over UDP and over TCP."""

    def restart(self):
        """Kills the program and starts it again at its address."""
        self.program.close()
        self.program = self.start_program(self.address[1])
        self.consul.wait_for_queries(self.consul.index, times=4)
        self.caller.connect(self.address)
        self.hub1.connect(self.address)

    def test_bye_from_caller_ends_a_call_from_before_a_restart_at_its_hub(self):
        # Guards against a call that stands on at its hub although its caller has ended it.
        self.establish_call()
        self.restart()
        self.caller.send_in_dialog("BYE", self.answer)
        self.assertEqual(self.caller.expect(200).method, "BYE")
        bye = self.hub1.expect("BYE")
        for name in ("Call-ID", "From", "To"):
            self.assertEqual(bye.get(name), self.ack.get(name))
        self.assertEqual(bye.get("CSeq"), "2 BYE")
        self.hub1.reply(bye, 200)
        self.hub1.expect_silence()

    def test_bye_from_hub_ends_a_call_from_before_a_restart_at_its_caller(self):
        # Guards against a caller that is never told of the end of its call.
        self.establish_call()
        self.restart()
        self.hub1.send_bye(self.invite, self.ack)
        self.assertEqual(self.hub1.expect(200).method, "BYE")
        bye = self.caller.expect("BYE")
        self.assertEqual(bye.get("Call-ID"), self.answer.get("Call-ID"))
        self.assertEqual((bye.get("From"), bye.get("To")), (self.answer.get("To"), self.answer.get("From")))
        self.caller.reply(bye, 200)
        self.caller.expect_silence()

    def test_call_that_a_hub_answers_after_a_restart_is_ended_there(self):
        # Guards against a call left standing at a hub that hung while the process before gave its call up.
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.restart()
        self.hub1.reply(invite, 200, ANSWER)
        self.hub1.expect("ACK")
        bye = self.hub1.expect("BYE")
        self.assertEqual(bye.get("Call-ID"), invite.get("Call-ID"))
        self.assertEqual(bye.get("To"), f"{invite.get('To')};tag=hub")
        self.hub1.reply(bye, 200)
        self.hub1.expect_silence()

    def test_answer_of_a_stranger_is_dropped(self):
        # Guards against a program that sends ACKs and BYEs wherever a stranger wants.
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        self.restart()
        stranger = self.endpoint(SipEndpoint).connect(self.address)
        self.consul.remove_service("hub-1")
        self.consul.remove_service("hub-2")
        self.consul.wait_for_queries(self.consul.index)
        stranger.reply(invite, 200, ANSWER)
        stranger.expect_silence()
        self.hub1.expect_silence()

    def test_bye_for_a_dialog_of_this_process_that_is_over_is_passed_on_to_nobody(self):
        # Guards against a second BYE after both sides have hung up.
        self.establish_call()
        self.caller.send_in_dialog("BYE", self.answer)
        self.caller.expect(200)
        self.hub1.reply(self.hub1.expect("BYE"), 200)
        self.caller.send_in_dialog("BYE", self.answer, cseq=3)
        self.caller.expect(481)
        self.hub1.expect_silence()

    def test_byes_that_name_no_listed_hub_or_are_damaged_are_passed_on_to_nobody(self):
        # Guards against a program that sends BYEs wherever a stranger wants.
        self.establish_call()
        self.consul.remove_service("hub-1")
        self.hub1.reply(self.hub1.expect("BYE"), 200)
        self.caller.reply(self.caller.expect("BYE"), 200)
        self.restart()
        user, _, rest = contact_uri(self.answer).partition("@")
        for uri in (f"{user}@{rest}", f"{user[:-9]}@{rest}", f"sip:dialog.@{rest}", f"sip:dialog.eJx@{rest}"):
            self.caller.send_request(
                "BYE", to_tag="gone", branch=f"z9hG4bK-{hash(uri)}", call_id="over", uri=uri
            )
            self.caller.expect(481)
        self.hub1.expect_silence()


class UdpRestartTests(RestartTests, SipTestCase):
    transport = "UDP"

    def test_reference_never_makes_a_request_too_large_for_a_datagram(self):
        # Guards against an INVITE that goes over TCP only because of what a restart would need.
        self.caller.send_invite(body=SDP + b"a" * 680)
        invite = self.hub1.expect("INVITE")
        self.assertTrue(1110 < len(invite.data) <= 1300, len(invite.data))
        self.assertNotIn("dialog.", invite.get("Contact"))


class TcpRestartTests(RestartTests, SipTestCase):
    transport = "TCP"
