"""A caller's connection is reset under the message that tells it that its call is over."""

import signal
import socket
import struct
import threading
import time

from .platform_harness import WAIT_TIMEOUT_S, Caller, PlatformCase, listening_socket, wait_until
from .sip_harness import CallerAgent, SipTestCase

A = "00000000000000a1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResettingProxy:
    """Passes one connection on, and resets it in place of a message from the server that contains a text."""

    def __init__(self, target, text):
        self.target, self.text = target, text
        self.reset = False
        self.sock = listening_socket()
        self.address = self.sock.getsockname()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        near = self.sock.accept()[0]
        far = socket.create_connection(self.target, WAIT_TIMEOUT_S)
        threading.Thread(target=self._pass, args=(near, far, None), daemon=True).start()
        self._pass(far, near, self.text)

    def _pass(self, source, sink, text):
        try:
            while data := source.recv(65536):
                if text is not None and text in data:
                    for sock in (source, sink):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                        sock.close()
                    self.reset = True
                    return
                sink.sendall(data)
        except OSError:
            pass

    def close(self):
        self.sock.close()


class PlatformTests(PlatformCase):
    def test_release_is_sent_again_on_another_connection_of_a_caller(self):
        # Guards against a call that stands on at its caller because its only release was lost.
        proxy = ResettingProxy(self.address, b'"stop"')
        self.addCleanup(proxy.close)
        caller = Caller(proxy.address)
        self.addCleanup(caller.close)
        self.establish_call(caller)
        self.exchange1.release(A, 16)
        wait_until(lambda: proxy.reset, "the reset")
        again = self.caller()
        again.launch("00000000000000b2")
        record = again.read()
        self.assertEqual((record["kind"], record["uid"], record["reason"]), ("stop", A, 16))

    def test_release_is_not_sent_on_a_connection_that_its_caller_has_just_closed(self):
        # Guards against the same when the close has arrived, but is read after the exchange's release.
        caller, other = self.caller(), self.caller()
        self.establish_call(caller)
        other.launch("00000000000000b2", left=200)
        self.assertEqual(self.exchange1.read()[1], "00000000000000b2")
        self.exchange1.release("00000000000000b2", 34)
        self.assertEqual(other.read()["kind"], "stop")
        self.program.process.send_signal(signal.SIGSTOP)
        self.exchange1.release(A, 16)
        time.sleep(0.1)
        caller.close()
        time.sleep(0.1)
        self.program.process.send_signal(signal.SIGCONT)
        record = other.read()
        self.assertEqual((record["kind"], record["uid"], record["reason"]), ("stop", A, 16))


class SipTests(SipTestCase):
    transport = "TCP"

    def test_bye_is_sent_again_on_a_new_connection(self):
        # Guards against the same over SIP.
        proxy = ResettingProxy(self.address, b"BYE ")
        self.addCleanup(proxy.close)
        self.caller = self.endpoint(CallerAgent).connect(proxy.address)
        self.establish_call()
        self.hub1.send_bye(self.invite, self.ack)
        self.hub1.expect(200)
        wait_until(lambda: proxy.reset, "the reset")
        bye = self.caller.expect("BYE")
        self.caller.reply(bye, 200)
        self.caller.expect_silence()
