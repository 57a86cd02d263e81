"""Tests of the real program beside clients that misbehave: its memory, and the answers of another caller."""

import threading
import time

from .hostile_clients import HostileClient
from .platform_harness import PlatformCase
from .sip_harness import CallerAgent, SipMessage, SipTestCase

MEMORY_LIMIT_MB = 192  # the page's: the most that scored days give
ANSWER_AIM_S = 1.5  # target_s of the call classes
T1_S = 0.5  # retransmission interval of the other caller's INVITEs over UDP
FLOOD_S = 5.0
DEPARTURES_S = 15.0
CAUSE_NO_CIRCUIT = 34
MAX_WAIT_S = 2.0  # max_retry_after_s of the settings: no refusal asks a caller to stay away for longer
TRANSACTION_LIFETIME_S = 64 * T1_S  # timers H, J and L of RFC 3261


def peak_memory_mb(program):
    """The most memory that the process has used so far."""
    with open(f"/proc/{program.process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


class HostileClientTest:
    """One hostile client beside a caller that makes one call after the other; subclasses make the calls."""

    def check_other_caller_beside(self, kind, seconds=FLOOD_S):
        self.client = client = HostileClient(kind, self.address, seconds)
        self.addCleanup(client.close)
        end = time.monotonic() + seconds
        answer_times_s = []
        while time.monotonic() < end:
            began = time.monotonic()
            self.make_call()
            answer_times_s.append(time.monotonic() - began)
            time.sleep(0.05)
        self.assertLess(max(answer_times_s), ANSWER_AIM_S)
        self.assertGreater(len(answer_times_s), seconds)
        self.assertLess(peak_memory_mb(self.program), MEMORY_LIMIT_MB)


class PlatformTests(HostileClientTest, PlatformCase):
    overload_allowed = False

    def setUp(self):
        super().setUp()
        self.other = self.caller()
        self.calls = 0
        for exchange in (self.exchange1, self.exchange2):
            exchange.send_states()  # as real ones do; otherwise a quiet connection is renewed
            threading.Thread(target=self.answer_set_ups, args=(exchange,), daemon=True).start()

    def answer_set_ups(self, exchange):
        connection = exchange.connections[-1]
        connection.settimeout(None)
        try:
            while (frame := exchange.read(connection)) is not None:
                if frame[0] == 1:
                    exchange.answer(frame[1])
        except OSError:
            pass

    def make_call(self):
        self.calls += 1
        uid = f"{0xCA11_0000 + self.calls:016x}"
        self.other.launch(uid, left=9000)
        record = self.other.read()
        if self.overload_allowed and record["kind"] == "stop":
            self.check_overload_refusal(record)
            return
        self.assertEqual(record["kind"], "running")
        self.other.send(kind="stop", uid=uid, meta={}, reason=16)

    def check_overload_refusal(self, record):
        """A refusal by the load level of the exchange, with the time that the caller is to stay away."""
        self.assertEqual(record["reason"], CAUSE_NO_CIRCUIT)
        self.assertGreater(int(record["meta"]["wait"]), 0)
        self.program.wait_log("note exchange 1: load level")

    def test_flood_of_checks(self):
        # Guards against a client that keeps the program from serving others.
        self.check_other_caller_beside("platform-check")

    def test_flood_of_set_ups_under_new_ids(self):
        # Guards against a client that keeps the program from answering others; calls may be refused for load.
        self.overload_allowed = True
        self.check_other_caller_beside("platform-launch")
        self.overload_allowed = False
        self.client.wait()
        time.sleep(MAX_WAIT_S)
        self.make_call()

    def test_flood_of_unsound_set_ups(self):
        # Guards against a client that keeps the program from serving others.
        self.check_other_caller_beside("platform-unsound")

    def test_connections_closed_with_half_a_line_while_their_calls_stand(self):
        # Guards against what calls keep of the connections that they came on.
        self.check_other_caller_beside("platform-answered-then-half-line", DEPARTURES_S)

    def test_stalled_connections_with_half_a_line(self):
        # Guards against memory that grows with clients that stop half way through a request.
        self.check_other_caller_beside("platform-half-line")


class SipTests(HostileClientTest):
    """Each call ends with the hub's 486, so that it needs every part of the program."""

    caller_per_call = False
    overload_allowed = False
    config_changes = {"t1_ms = 40": f"t1_ms = {T1_S * 1000:.0f}", "trying_ms = 300": "trying_ms = 800"}

    def setUp(self):
        super().setUp()
        self.stopping = False
        self.hub_thread = threading.Thread(target=self.answer_invites, daemon=True)
        self.hub_thread.start()
        self.addCleanup(self.stop_hub)

    def stop_hub(self):
        self.stopping = True
        self.hub_thread.join()

    def answer_invites(self):
        """Answers INVITEs to the first hub, of any caller, with 486."""
        while not self.stopping:
            message = self.hub1.receive(0.1)
            if message is not None and message.method == "INVITE" and not message.code:
                self.hub1.reply(message, 486)

    def make_call(self):
        if self.caller_per_call:
            self.caller = self.endpoint(CallerAgent).connect(self.address)
        data = self.caller.send_invite()
        call_id, began, repeated = self.caller.call_id, time.monotonic(), 0
        while time.monotonic() < began + 10:
            message = self.receive_raw(T1_S)
            if message is None and self.transport == "UDP" and repeated < 6:
                repeated += 1
                self.caller.remote = self.address
                self.caller.send(data)
            if message is not None and message.get("Call-ID") == call_id and message.code >= 200:
                if self.overload_allowed and message.code == 503:
                    self.check_overload_refusal(message)
                else:
                    self.assertEqual(message.code, 486)
                self.caller.call_id = call_id
                self.caller.ack_error(message)
                return
        self.fail("no final response")

    def check_overload_refusal(self, response):
        """A refusal by the load level of the hub, with the time that the caller is to stay away."""
        self.assertGreater(int(response.get("Retry-After", "0")), 0)
        self.program.wait_log("note exchange 1: load level")

    def receive_raw(self, seconds):
        data = self.caller._receive_raw(seconds)
        return None if data is None else SipMessage(data)

    def test_flood_of_options(self):
        # Guards against a client that keeps the program from serving others.
        self.check_other_caller_beside(f"sip-options/{self.transport}")

    def test_flood_of_invites(self):
        # Guards against a client that keeps the program from answering others; calls may be refused for load.
        self.overload_allowed = True
        self.check_other_caller_beside(f"sip-invite/{self.transport}")
        self.overload_allowed = False
        self.client.wait()
        time.sleep(MAX_WAIT_S)
        self.make_call()

    def test_flood_of_malformed_requests(self):
        # Guards against a client that keeps the program from serving others.
        self.check_other_caller_beside(f"sip-malformed/{self.transport}")

    def test_flood_of_unsound_requests_as_long_as_transactions_are_kept(self):
        # Guards against memory that grows with each new branch.
        self.check_other_caller_beside(f"sip-mixed/{self.transport}", TRANSACTION_LIFETIME_S)


class UdpSipTests(SipTests, SipTestCase):
    transport = "UDP"

    def test_flood_of_options_from_ever_new_addresses(self):
        # Guards against a client that keeps the program from serving others.
        self.check_other_caller_beside("sip-options/UDP-new-ports")

    def test_flood_of_options_from_ever_new_addresses_and_callers_that_are_new_themselves(self):
        # Guards against a greylist that lets only those callers through that were there before the flood.
        self.caller_per_call = True
        self.check_other_caller_beside("sip-options/UDP-new-ports")


class TcpSipTests(SipTests, SipTestCase):
    transport = "TCP"

    def test_stalled_connections_with_heads_of_many_short_fields(self):
        # Guards against heads that take many times their size in memory and long to parse.
        self.check_other_caller_beside("sip-short-fields")

    def test_stalled_connections_with_half_a_body(self):
        # Guards against memory that grows with clients that stop half way through a body.
        self.check_other_caller_beside("sip-half-body")

    def test_connections_closed_with_half_a_body_while_their_transactions_are_kept(self):
        # Guards against what transactions keep of the connections that they came on.
        self.check_other_caller_beside("sip-answered-then-half-body/TCP", DEPARTURES_S)

    def test_stalled_connections_that_have_sent_a_valid_request_before(self):
        # Guards against a caller's connection that is closed to make room for those of stalled clients.
        self.check_other_caller_beside("sip-options-half-body")

    def test_request_with_too_many_fields_ends_only_its_connection(self):
        # Guards against a head that is accepted field by field without end.
        stranger = CallerAgent("TCP").connect(self.address)
        self.addCleanup(stranger.close)
        stranger.send(b"OPTIONS sip:100@127.0.0.1 SIP/2.0\r\n" + b"a:1\r\n" * 300)
        self.program.wait_log("end role=sip", "code=long-head", "fields")
        stranger.receive(0.2)
        self.assertEqual(stranger.streams, [])  # it has been closed
        self.make_call()
