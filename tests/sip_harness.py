"""Stand-ins for SIP callers, SIP hubs and Consul, each met only through its published protocol."""

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

from .platform_harness import PATIENCE_S, ROOT, Program, listener, until

SDP = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\n"


class Msg:
    def __init__(self, data):
        self.data = data
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.start, *lines = head.decode().split("\r\n")
        self.headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
        self.code = int(self.start.split()[1]) if self.start.startswith("SIP/") else 0
        self.method = self.get("CSeq").split()[1] if self.code else self.start.split()[0]

    def all(self, name):
        return [value for key, value in self.headers if key.lower() == name.lower()]

    def get(self, name, default=""):
        return (self.all(name) or [default])[0]

    def __repr__(self):
        return f"<{self.start}>"


class Peer:
    """A SIP endpoint on one socket, or for TCP on whatever connections it makes and takes."""

    def __init__(self, transport, port=0):
        self.transport = transport
        self.seen, self.repeats, self.buffers = set(), [], {}
        self.server = None
        if transport == "UDP":
            self.sock = socket.socket(type=socket.SOCK_DGRAM)
            self.sock.bind(("127.0.0.1", port))
            self.address = self.sock.getsockname()
        else:
            self.server = listener(("127.0.0.1", port))
            self.address = self.server.getsockname()
        self.streams = []
        self.route = None  # where the last message came from
        self.tags = 0

    def listen_too(self):
        """A UDP endpoint that takes TCP connections on the same port as well."""
        self.server = listener(self.address)

    def connect(self, address):
        if self.transport == "UDP":
            self.route = address
        else:
            self.route = socket.create_connection(address, timeout=PATIENCE_S)
            self.streams.append(self.route)
        return self

    def send(self, data):
        if isinstance(self.route, tuple):
            self.sock.sendto(data, self.route)
        else:
            self.route.sendall(data)

    def _raw(self, seconds):
        end = time.monotonic() + seconds
        while True:
            for stream, data in self.buffers.items():
                head, blank, rest = data.partition(b"\r\n\r\n")
                size = int(re.search(rb"(?i)content-length: *(\d+)", head)[1]) if blank else 0
                if blank and len(rest) >= size:
                    self.buffers[stream] = rest[size:]
                    self.route = stream
                    return head + blank + rest[:size]
            watched = [item for item in (getattr(self, "sock", None), self.server, *self.streams) if item]
            ready = select.select(watched, [], [], max(end - time.monotonic(), 0))[0]
            if not ready:
                return None
            for item in ready:
                if item is self.server:
                    self.streams.append(item.accept()[0])
                elif item in self.streams:
                    data = item.recv(65536)
                    if not data:
                        self.streams.remove(item)
                        self.buffers.pop(item, None)
                    else:
                        self.buffers[item] = self.buffers.get(item, b"") + data
                else:
                    data, self.route = item.recvfrom(65536)
                    return data

    def recv(self, seconds=PATIENCE_S):
        """The next message that is no repeat of one already had."""
        end = time.monotonic() + seconds
        while True:
            data = self._raw(max(end - time.monotonic(), 0))
            if data is None:
                return None
            if data not in self.seen:
                self.seen.add(data)
                return Msg(data)
            self.repeats.append(Msg(data))

    def expect(self, what):
        """The next message, which must be of this method or code; 100 is passed over."""
        while True:
            got = self.recv()
            if got is None or got.code != 100 or what == 100:
                break
        if got is None or (got.code or got.method) != what:
            raise AssertionError(f"{what} was awaited, came {got}")
        return got

    def again(self, what):
        """Waits for a repeat of a message already had."""
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            for item in self.repeats:
                if (item.code or item.method) == what:
                    self.repeats.remove(item)
                    return item
            fresh = self.recv(0.02)
            if fresh is not None and fresh.code != 100:
                raise AssertionError(f"a repeat of {what} was awaited, came {fresh}")
        raise AssertionError(f"no repeat of {what}")

    def quiet(self, seconds=0.2):
        got = self.recv(seconds)
        if got is not None:
            raise AssertionError(f"silence was awaited, came {got}")

    def reply(self, request, code, body=b"", extra=(), tag=None):
        """A hub's response; its tag is one a request unless given."""
        lines = [f"SIP/2.0 {code} X"]
        for name in ("Via", "Record-Route", "From", "Call-ID", "CSeq"):
            lines += [f"{name}: {value}" for value in request.all(name)]
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
        for item in (getattr(self, "sock", None), self.server, *self.streams):
            if item is not None:
                item.close()


class Agent(Peer):
    """A caller's user agent."""

    calls = 0

    def request(
        self,
        method,
        number="100",
        cseq=1,
        to_tag="",
        branch=None,
        body=b"",
        extra=(),
        call=None,
        max_forwards=70,
    ):
        if call is None:
            Agent.calls += 1
            call = f"call-{Agent.calls}-{time.monotonic_ns()}"
        self.call, self.branch = call, branch or f"z9hG4bK-{method}+{cseq}-{call}"
        host, port = self.address
        lines = [
            f"{method} sip:{number}@127.0.0.1 SIP/2.0",
            f"Via: SIP/2.0/{self.transport} 127.0.0.1:{port};branch={self.branch};rport",
            f"Max-Forwards: {max_forwards}",
            f'From: "Counter" <sip:counter@{host}>;tag=me',
            f"To: <sip:{number}@127.0.0.1>" + (f";tag={to_tag}" if to_tag else ""),
            f"Call-ID: {call}",
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

    def invite(self, number="100", body=SDP, **more):
        data = self.request("INVITE", number, body=body, **more)
        self.invite_branch = self.branch
        return data

    def cancel(self, number="100"):
        self.request("CANCEL", number, branch=self.invite_branch, call=self.call)

    def within(self, method, answer, cseq=2, body=b""):
        """A request in the dialog of an answer: ACK keeps the INVITE's number."""
        tag = answer.get("To").partition("tag=")[2]
        self.request(
            method,
            cseq=1 if method == "ACK" else cseq,
            to_tag=tag,
            call=answer.get("Call-ID"),
            branch=f"z9hG4bK-{method}-{time.monotonic_ns()}",
            body=body,
        )

    def ack_refusal(self, answer):
        tag = answer.get("To").partition("tag=")[2]
        self.request("ACK", to_tag=tag, call=answer.get("Call-ID"), branch=self.invite_branch)


class Consul:
    """The catalogue, health and agent API that the program uses, with blocking queries."""

    def __init__(self, port=0):
        self.index, self.services = 10, {}
        self.puts, self.queries = [], []
        self.agent_status = 200
        self.sockets = []
        self.changed = threading.Condition()
        stand = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def setup(self):
                super().setup()
                stand.sockets.append(self.connection)

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
                with stand.changed:
                    after = int(query["index"][0])
                    stand.queries.append((split.path, after))
                    stand.changed.notify_all()
                    if after:
                        stand.changed.wait_for(lambda: stand.index != after, 2.0)
                    index, value = stand.index, stand.view(split.path)
                try:
                    self.reply(200, value, X_Consul_Index=str(index))
                except OSError:
                    pass

            def do_PUT(self):  # noqa: N802
                body = self.rfile.read(int(self.headers["Content-Length"]))
                with stand.changed:
                    stand.puts.append((self.path, json.loads(body) if body else None))
                    status = stand.agent_status if "/check/" in self.path else 200
                self.reply(status, None)

        self.server = ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def view(self, path):
        if "/catalog/" in path:
            return [
                {
                    "ServiceID": name,
                    "Address": "127.0.0.1",
                    "ServiceAddress": "127.0.0.1",
                    "ServicePort": port,
                    "ServiceMeta": {"number": str(number), "transport": transport},
                }
                for name, (number, port, transport, _) in self.services.items()
            ]
        return [
            {"Service": {"ID": name}, "Checks": [{"CheckID": check, "Status": status}]}
            for name, (_, _, _, (check, status)) in self.services.items()
        ]

    def put(self, name, number=None, peer=None, status="passing", check="service:x", index=None):
        with self.changed:
            if number is None:
                number, port, transport, _ = self.services[name]
            else:
                port, transport = peer.address[1], peer.transport.lower()
            self.services[name] = number, port, transport, (check, status)
            self.index = index or self.index + 1
            self.changed.notify_all()

    def drop(self, name):
        with self.changed:
            del self.services[name]
            self.index += 1
            self.changed.notify_all()

    def asked(self, index, times=2):
        """Until the program has taken in an index: it asks both questions from there on."""
        until(
            lambda: sum(query[1] == index for query in list(self.queries)) >= times, f"queries from {index}"
        )

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        for sock in self.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class SipCase(unittest.TestCase):
    """The program with its SIP front on, two hubs that Consul lists, and one caller."""

    transport = "UDP"
    changes = {}

    def setUp(self):
        self.folder = TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.consul = Consul()
        self.addCleanup(lambda: self.consul.close())
        self.one, self.two = self.peer(Peer), self.peer(Peer)
        self.consul.put("hub-1", 1, self.one)
        self.consul.put("hub-2", 2, self.two)
        self.program = self.start()
        self.consul.asked(self.consul.index)
        self.caller = self.peer(Agent).connect(self.address)

    def peer(self, kind):
        made = kind(self.transport)
        self.addCleanup(made.close)
        return made

    def start(self):
        text = (ROOT / "deploy" / "sip.toml").read_text()
        for old, new in (
            ("enabled = false", "enabled = true"),
            ("127.0.0.1:5060", "127.0.0.1:0"),
            ("127.0.0.1:8500", f"127.0.0.1:{self.consul.port}"),
            ("t1_ms = 500", "t1_ms = 40"),
            ("trying_ms = 800", "trying_ms = 300"),
            ("ttl_s = 10", "ttl_s = 1"),
            ("wait_s = 30", "wait_s = 2"),
            ('prefix = "2"', 'prefix = "200"'),
            *self.changes.items(),
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

    def tearDown(self):
        self.assertEqual(self.program.logged("fault "), [])
