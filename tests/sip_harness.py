"""Test doubles for SIP callers, SIP hubs and Consul; the program reaches them only by their protocols."""

import json
import re
import select
import socket
import threading
import time
import tomllib
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from tempfile import TemporaryDirectory
from urllib.parse import parse_qs, urlsplit

from .platform_harness import ROOT, WAIT_TIMEOUT_S, Program, listening_socket, wait_until

SDP = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\n"
ANSWER = b"v=0\r\no=- 2 2 IN IP4 127.0.0.1\r\ns=hub\r\n"


class SipMessage:
    """A received message; `code` is 0 for a request."""

    def __init__(self, data):
        self.data = data
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.start_line, *lines = head.decode().split("\r\n")
        self.headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
        self.code = int(self.start_line.split()[1]) if self.start_line.startswith("SIP/") else 0
        self.method = self.get("CSeq").split()[1] if self.code else self.start_line.split()[0]

    def values(self, name):
        return [value for key, value in self.headers if key.lower() == name.lower()]

    def get(self, name, default=""):
        return (self.values(name) or [default])[0]

    def __repr__(self):
        return f"<{self.start_line}>"


def contact_uri(message):
    """The URI of the message's Contact: the target of requests in its dialog; None without a Contact."""
    return message.get("Contact").partition("<")[2].partition(">")[0] or None


class SipEndpoint:
    """A SIP endpoint on one UDP socket, or on any number of TCP connections that it opens or accepts.

    Messages are sent to `remote`, from which the last message came.
    """

    def __init__(self, transport, port=0):
        self.transport = transport
        self.seen, self.retransmissions, self.buffers = set(), [], {}
        self.server = None
        if transport == "UDP":
            self.sock = socket.socket(type=socket.SOCK_DGRAM)
            self.sock.bind(("127.0.0.1", port))
            self.address = self.sock.getsockname()
        else:
            self.server = listening_socket(("127.0.0.1", port))
            self.address = self.server.getsockname()
        self.streams = []
        self.remote = None  # an address for UDP, a connection for TCP
        self.tags = 0

    def listen_tcp_too(self):
        """Makes a UDP endpoint accept TCP connections on the same port as well."""
        self.server = listening_socket(self.address)

    def connect(self, address):
        if self.transport == "UDP":
            self.remote = address
        else:
            self.remote = socket.create_connection(address, timeout=WAIT_TIMEOUT_S)
            self.streams.append(self.remote)
        return self

    def send(self, data):
        if isinstance(self.remote, tuple):
            self.sock.sendto(data, self.remote)
        else:
            self.remote.sendall(data)

    def _receive_raw(self, seconds):
        end = time.monotonic() + seconds
        while True:
            for stream, data in self.buffers.items():
                head, blank, rest = data.partition(b"\r\n\r\n")
                size = int(re.search(rb"(?i)content-length: *(\d+)", head)[1]) if blank else 0
                if blank and len(rest) >= size:
                    self.buffers[stream] = rest[size:]
                    self.remote = stream
                    return head + blank + rest[:size]
            watched = [sock for sock in (getattr(self, "sock", None), self.server, *self.streams) if sock]
            ready = select.select(watched, [], [], max(end - time.monotonic(), 0))[0]
            if not ready:
                return None
            for sock in ready:
                if sock is self.server:
                    self.streams.append(sock.accept()[0])
                elif sock in self.streams:
                    try:
                        data = sock.recv(65536)
                    except ConnectionResetError:
                        data = b""
                    if not data:
                        self.streams.remove(sock)
                        self.buffers.pop(sock, None)
                    else:
                        self.buffers[sock] = self.buffers.get(sock, b"") + data
                else:
                    data, self.remote = sock.recvfrom(65536)
                    return data

    def receive(self, seconds=WAIT_TIMEOUT_S):
        """The next message that is not a retransmission; None if there is none in time."""
        end = time.monotonic() + seconds
        while True:
            data = self._receive_raw(max(end - time.monotonic(), 0))
            if data is None:
                return None
            if data not in self.seen:
                self.seen.add(data)
                return SipMessage(data)
            self.retransmissions.append(SipMessage(data))

    def expect(self, expected):
        """The next message, which must be of this method or code; a 100 is skipped unless expected."""
        while True:
            message = self.receive()
            if message is None or message.code != 100 or expected == 100:
                break
        if message is None or (message.code or message.method) != expected:
            raise AssertionError(f"{expected} was expected, received {message}")
        return message

    def expect_retransmission(self, expected):
        """Waits for a retransmission of a message received before, and consumes it."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end:
            for message in self.retransmissions:
                if (message.code or message.method) == expected:
                    self.retransmissions.remove(message)
                    return message
            new = self.receive(0.02)
            if new is not None and new.code != 100:
                raise AssertionError(f"expected a retransmission of {expected}, received {new}")
        raise AssertionError(f"no retransmission of {expected}")

    def send_bye(self, invite, ack, uri=None):
        """Ends the call of a received INVITE, in the dialog of its ACK; by default to its Contact."""
        self.send(
            (
                f"BYE {uri or contact_uri(invite)} SIP/2.0\r\nVia: SIP/2.0/{self.transport} 127.0.0.1:"
                f"{self.address[1]};branch=z9hG4bKhub{time.monotonic_ns()};rport\r\nFrom: {ack.get('To')}\r\n"
                f"To: {ack.get('From')}\r\nCall-ID: {ack.get('Call-ID')}\r\nCSeq: 1 BYE\r\n"
                "Max-Forwards: 70\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        )

    def expect_silence(self, seconds=0.2):
        """Fails if a message comes in time that is not a retransmission."""
        message = self.receive(seconds)
        if message is not None:
            raise AssertionError(f"expected no message, received {message}")

    def reply(self, request, code, body=b"", extra=(), tag=None):
        """Sends a response; its To tag is `hub` unless one is given."""
        lines = [f"SIP/2.0 {code} X"]
        for name in ("Via", "Record-Route", "From", "Call-ID", "CSeq"):
            lines += [f"{name}: {value}" for value in request.values(name)]
        to = request.get("To")
        lines.append(f"To: {to}" + ("" if "tag=" in to or code == 100 else f";tag={tag or 'hub'}"))
        lines += [
            f"Contact: <sip:%s:%d;transport={self.transport.lower()}>" % self.address,
            *extra,
            f"Content-Length: {len(body)}",
        ]
        if body:
            lines.insert(-1, "Content-Type: application/sdp")
        self.send("\r\n".join(lines + ["", ""]).encode() + body)

    def close(self):
        for sock in (getattr(self, "sock", None), self.server, *self.streams):
            if sock is not None:
                sock.close()


class CallerAgent(SipEndpoint):
    """A caller's user agent."""

    call_count = 0

    def send_request(
        self,
        method,
        number="100",
        cseq=1,
        to_tag="",
        branch=None,
        body=b"",
        extra=(),
        call_id=None,
        max_forwards=70,
        uri=None,
    ):
        if call_id is None:
            CallerAgent.call_count += 1
            call_id = f"call-{CallerAgent.call_count}-{time.monotonic_ns()}"
        self.call_id, self.branch = call_id, branch or f"z9hG4bK-{method}+{cseq}-{call_id}"
        host, port = self.address
        lines = [
            f"{method} {uri or f'sip:{number}@127.0.0.1'} SIP/2.0",
            f"Via: SIP/2.0/{self.transport} 127.0.0.1:{port};branch={self.branch};rport",
            f"Max-Forwards: {max_forwards}",
            f'From: "Counter" <sip:counter@{host}>;tag=me',
            f"To: <sip:{number}@127.0.0.1>" + (f";tag={to_tag}" if to_tag else ""),
            f"Call-ID: {call_id}",
            f"CSeq: {cseq} {method}",
            f"Contact: <sip:me@{host}:{port};transport={self.transport.lower()}>",
            *extra,
            f"Content-Length: {len(body)}",
        ]
        if body:
            lines.insert(-1, "Content-Type: application/sdp")
        data = "\r\n".join(lines + ["", ""]).encode() + body
        self.send(data)
        return data

    def send_invite(self, number="100", body=SDP, **options):
        data = self.send_request("INVITE", number, body=body, **options)
        self.invite_branch = self.branch
        return data

    def send_cancel(self, number="100"):
        self.send_request("CANCEL", number, branch=self.invite_branch, call_id=self.call_id)

    def send_in_dialog(self, method, response, cseq=2, body=b""):
        """Sends a request in the dialog of a response; an ACK has the CSeq number of the INVITE, 1."""
        tag = response.get("To").partition("tag=")[2]
        self.send_request(
            method,
            cseq=1 if method == "ACK" else cseq,
            to_tag=tag,
            call_id=response.get("Call-ID"),
            branch=f"z9hG4bK-{method}-{time.monotonic_ns()}",
            body=body,
            uri=contact_uri(response),
        )

    def ack_error(self, response):
        """Sends the ACK for a 3xx to 6xx response."""
        tag = response.get("To").partition("tag=")[2]
        self.send_request("ACK", to_tag=tag, call_id=response.get("Call-ID"), branch=self.invite_branch)


class FakeConsul:
    """The catalog, health and agent APIs that the program uses, with blocking queries.

    A query from an index is answered once the index is above it, or after the wait it asks for, at most
    `wait_s`; each answer comes `delay_s` later than that.
    """

    def __init__(self, port=0):
        self.wait_s, self.delay_s = 2.0, 0.0
        self.index, self.services = 10, {}
        self.started_ms = {}  # by name of the service; the metadata of those that are not here have none
        self.puts, self.queries = [], []
        self.agent_status = 200
        self.connections, self.silenced = [], set()  # silenced: those that get no answer any more
        self.condition = threading.Condition()
        consul = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def setup(self):
                super().setup()
                consul.connections.append(self.connection)

            def reply(self, code, value, **headers):
                body = json.dumps(value).encode()
                self.send_response(code)
                for name, text in headers.items():
                    self.send_header(name.replace("_", "-"), text)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):  # noqa: N802
                split = urlsplit(self.path)
                query = parse_qs(split.query)
                with consul.condition:
                    after = int(query["index"][0])
                    consul.queries.append((split.path, after))
                    consul.condition.notify_all()
                    if after:
                        wait_s = min(consul.wait_s, float(query["wait"][0].removesuffix("s")))
                        consul.condition.wait_for(lambda: consul.index > after, wait_s)
                    index, value = consul.index, consul.response_for(split.path)
                time.sleep(consul.delay_s)
                if self.connection in consul.silenced:
                    return
                try:
                    self.reply(200, value, X_Consul_Index=str(index))
                except OSError:
                    pass

            def do_PUT(self):  # noqa: N802
                body = self.rfile.read(int(self.headers["Content-Length"]))
                with consul.condition:
                    consul.puts.append((self.path, json.loads(body) if body else None))
                    status = consul.agent_status if "/check/" in self.path else 200
                self.reply(status, None)

        self.server = ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def response_for(self, path):
        if "/catalog/" in path:
            return [
                {
                    "ServiceID": name,
                    "Address": "127.0.0.1",
                    "ServiceAddress": "127.0.0.1",
                    "ServicePort": port,
                    "ServiceMeta": {
                        "number": str(number),
                        "transport": transport,
                        "started_ms": str(self.started_ms.get(name, 0)),
                    },
                }
                for name, (number, port, transport, _) in self.services.items()
            ]
        return [
            {"Service": {"ID": name}, "Checks": [{"CheckID": check, "Status": status}]}
            for name, (_, _, _, (check, status)) in self.services.items()
        ]

    def set_service(self, name, number=None, endpoint=None, status="passing", check="service:x", index=None):
        with self.condition:
            if number is None:
                number, port, transport, _ = self.services[name]
            else:
                port, transport = endpoint.address[1], endpoint.transport.lower()
            self.services[name] = number, port, transport, (check, status)
            self.index = index or self.index + 1
            self.condition.notify_all()

    def restarted(self, index, services):
        """Ends this Consul; returns a new one at its address, with this index and these services."""
        self.close()
        new = FakeConsul(self.port)
        new.wait_s, new.services, new.index = self.wait_s, dict(services), index
        return new

    def register(self, services):
        with self.condition:
            self.services.update(services)
            self.index += 1
            self.condition.notify_all()

    def silence_open_connections(self):
        """Never answers again on the connections that are open now; they stay open."""
        with self.condition:
            self.silenced.update(self.connections)

    def remove_service(self, name):
        with self.condition:
            del self.services[name]
            self.index += 1
            self.condition.notify_all()

    def wait_for_queries(self, index, times=2, timeout_s=WAIT_TIMEOUT_S):
        """Waits until the program has processed an index: both its queries then ask for changes after it."""
        wait_until(
            lambda: sum(query[1] == index for query in list(self.queries)) >= times,
            f"queries from {index}",
            timeout_s,
        )

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class SipTestCase(unittest.TestCase):
    """The program with SIP enabled, two hubs that Consul lists, and one caller."""

    transport = "UDP"
    config_changes = {}

    def setUp(self):
        self.folder = TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.consul = FakeConsul()
        self.addCleanup(lambda: self.consul.close())
        self.hub1, self.hub2 = self.endpoint(SipEndpoint), self.endpoint(SipEndpoint)
        self.consul.set_service("hub-1", 1, self.hub1)
        self.consul.set_service("hub-2", 2, self.hub2)
        self.program = self.start_program()
        self.consul.wait_for_queries(self.consul.index)
        self.caller = self.endpoint(CallerAgent).connect(self.address)

    def endpoint(self, endpoint_class):
        endpoint = endpoint_class(self.transport)
        self.addCleanup(endpoint.close)
        return endpoint

    def start_program(self, port=0):
        text = (ROOT / "deploy" / "sip.toml").read_text()
        for old, new in (
            ("enabled = false", "enabled = true"),
            ("127.0.0.1:5060", f"127.0.0.1:{port}"),
            ("127.0.0.1:8500", f"127.0.0.1:{self.consul.port}"),
            ("t1_ms = 500", "t1_ms = 40"),
            ("trying_ms = 800", "trying_ms = 300"),
            ("ttl_s = 10", "ttl_s = 1"),
            ("wait_s = 30", "wait_s = 2"),
            ('prefix = "2"', 'prefix = "200"'),
            *self.config_changes.items(),
        ):
            assert old in text, old
            text = text.replace(old, new)
        tomllib.loads(text)
        path = f"{self.folder.name}/sip.toml"
        with open(path, "w") as file:
            file.write(text)
        program = Program({"CHUTEFORK_SIP": path})
        self.addCleanup(program.close)
        line = program.wait_log("serving-sip ")[0]
        host, _, port = line.rpartition("listen=")[2].partition(":")
        self.address = host, int(port)
        return program

    def establish_call(self, hub=None):
        hub = hub or self.hub1
        self.caller.send_invite()
        self.invite = hub.expect("INVITE")
        hub.reply(self.invite, 200, ANSWER)
        self.answer = self.caller.expect(200)
        self.caller.send_in_dialog("ACK", self.answer)
        self.ack = hub.expect("ACK")

    def expect_error(self, code):
        answer = self.caller.expect(code)
        self.caller.ack_error(answer)
        self.caller.expect_silence()
        return answer

    def tearDown(self):
        self.assertEqual(self.program.log_lines("fault "), [])
