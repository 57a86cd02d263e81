"""A caller fills the receive buffer of the program's UDP port; what the hubs send must still arrive."""

import os
import signal
import socket

from .sip_harness import SipTestCase

DATAGRAMS = 5000  # more than the receive buffer of a socket holds


class FullReceiveBufferTests(SipTestCase):
    """With so few descriptors all senders share one socket, unless one has a socket of its own."""

    config_changes = {"sockets = 1024": "sockets = 64"}

    def test_response_of_a_hub_arrives_although_a_caller_has_filled_the_receive_buffer(self):
        # Guards against calls refused since the answer of their hub was dropped with a flood of datagrams.
        self.caller.send_invite()
        invite = self.hub1.expect("INVITE")
        os.kill(self.program.process.pid, signal.SIGSTOP)
        self.addCleanup(os.kill, self.program.process.pid, signal.SIGCONT)
        with socket.socket(type=socket.SOCK_DGRAM) as flooder:
            for _ in range(DATAGRAMS):
                flooder.sendto(b"x" * 500, self.address)
            self.hub1.reply(invite, 486)  # once; a hub need not send it again before its T1
            os.kill(self.program.process.pid, signal.SIGCONT)
            self.hub1.expect("ACK")
            self.expect_error(486)
        self.hub2.expect_silence()

    def test_hub_that_is_listed_again_at_another_address_is_heard_there(self):
        # Guards against a socket that stays connected to the address that a hub had before.
        first = self.hub1
        self.hub1 = self.endpoint(type(first))
        self.consul.set_service("hub-1", 1, self.hub1)
        self.consul.wait_for_queries(self.consul.index)
        self.test_response_of_a_hub_arrives_although_a_caller_has_filled_the_receive_buffer()
        first.expect_silence()
