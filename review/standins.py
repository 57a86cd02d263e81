"""Stand-ins for callers, exchanges, command channel, SIP callers, SIP hubs and Consul, and the program's start.

Standard library only. Everything runs in one asyncio loop; the program itself is a separate process, started
with `run` of `deploy/balancer.toml`. Each stand-in writes what it sends and receives to the record.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

# A case that ends with an exception could not run: its exit code must not be that of a broken rule.
sys.excepthook = lambda kind, value, trace: (sys.__excepthook__(kind, value, trace), os._exit(2))

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case did not get as far as the disruption or the check."""


class Record:
    """`record.txt`: one line for each thing sent, answered or run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} {who:<12} {text}\n")
        self.file.flush()


def free_port():
    """A port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((HOST, port))
            except OSError:
                continue
            return port


class Program:
    """The call controller, started with the deploy file's `run`. Its log goes to the record."""

    def __init__(self, record, environment, who="program"):
        self.record, self.environment, self.who = record, environment, who
        self.lines = []
        self.process = None

    async def start(self, ready_word):
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        clean = {key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "CHUTEFORK_"))}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env={**clean, **self.environment},
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )
        self.record(self.who, f"started pid={self.process.pid}")
        self.reader = asyncio.create_task(self.read_log())
        await until(lambda: any(line.startswith(ready_word) for line in self.lines), 15, f"log line {ready_word}")

    async def read_log(self):
        async for line in self.process.stdout:
            text = line.decode(errors="replace").rstrip()
            self.lines.append(text)
            self.record(self.who, f"log: {text}")

    async def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.record("test", f"signal {number} to pid={self.process.pid}")
            self.process.send_signal(number)
            await self.process.wait()

    async def close(self):
        await self.kill()
        if self.process is not None:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.reader, 2)


async def until(condition, seconds, what):
    """Polls until the condition is true; CouldNotRun after so many seconds."""
    end = time.monotonic() + seconds
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > end:
            raise CouldNotRun(f"timed out waiting for {what}")
        await asyncio.sleep(0.005)


# ---- the platform's protocol

SETUP, ANSWER, RELEASE, RELEASE_HEARD, STATE, TEST, TEST_PASSED = 1, 9, 12, 16, 43, 52, 53
P_CLASS, P_LEFT, P_NUMBER, P_NOTE, P_GROUP, P_CAUSE, P_DESCRIPTION = 16, 19, 28, 37, 43, 58, 61


def settings(controllers=5):
    """The settings of a small deployment: figures of the site file remessa-sul-core."""
    return {
        "balancers": controllers,
        "tick_s": 0.005,
        "over_share_worth": 0.2,
        "family_info": {
            "self_no": 0, "network_form": "network", "widths": [1, 1], "call_length_s": [10.0, 12.0],
            "release_s": 0.3, "retransmit_s": 0.0,
        },
        "limits": {
            "max_attempts": 6, "probes": False, "peers": False, "retry_after": True, "max_retry_after_s": 2.0,
            "connect_timeout_s": 0.5, "idle_close_s": 600.0,
        },
        "rules": {
            "ask_within_s": 10.0, "stop_sending_within_s": 0.25, "cold_share": 0.29, "warm_up_s": 14.0,
            "tip_multiple": 3.0, "fall_s": 2.0,
        },
        "services": [
            {"name": "rate-quote", "target_s": 1.5, "deadline_s": 9.0, "worth": 1.0, "late_worth": 0.1},
            {"name": "transfer-status", "target_s": 1.5, "deadline_s": 9.0, "worth": 2.0, "late_worth": 0.25},
        ],
        "accounts": [{"name": "gaucha-envios", "quota_per_s": 17.0}],
    }


def write_config(folder, channel, listen_port):
    """Writes the configuration as it is at this moment; returns the program's environment."""
    path = Path(folder) / "config.json"
    path.write_text(json.dumps({
        "name": "n0",
        "listen": f"{HOST}:{listen_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "channel": f"{HOST}:{channel.port}",
        "known": {"cursor": len(channel.events), "cmds": channel.events},
        "settings": settings(),
    }))
    return {"EDGE_NAME": "n0", "EDGE_LISTEN": f"{HOST}:{listen_port}", "EDGE_CONFIG": str(path)}


class Channel:
    """The command channel. `delay_s` is how long each answer takes beyond the wait that was asked for."""

    def __init__(self, record):
        self.record = record
        self.events = []
        self.delay_s = 0.0
        self.changed = asyncio.Condition()
        self.port = free_port()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def publish(self, *entries):
        self.events.append({
            "cursor": len(self.events) + 1,
            "nodes": {"index": len(self.events) + 1, "snapshot": False, "endpoints": list(entries)},
        })
        self.record("channel", f"event {json.dumps(self.events[-1])}")
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(part.split("=") for part in head.split(" ")[1].partition("?")[2].split("&"))
                after, wait_s = int(query["resume"]), min(int(query["block"]), 5000) / 1000
                asked_at = self.record.now()
                async with self.changed:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(
                            self.changed.wait_for(lambda after=after: len(self.events) > after), wait_s)
                body = json.dumps({"cursor": len(self.events), "cmds": self.events[after:]}).encode()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if reader.at_eof():
                    self.record("channel", f"asked at {asked_at:.3f} after {after}: the program has closed the connection")
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                if len(self.events) > after or self.delay_s:
                    self.record("channel", f"asked at {asked_at:.3f} after {after}, answered up to {len(self.events)}")
        writer.close()


class Exchange:
    """An exchange: answers each set-up after `answer_s`, ends each call after `hold_s`.

    It sends the state of the trunk group when a connection opens and when the state changes.
    """

    def __init__(self, record, name, number, answer_s=0.02, hold_s=12.0, circuits=60):
        self.record, self.name, self.number = record, name, number
        self.answer_s, self.hold_s, self.circuits = answer_s, hold_s, circuits
        self.port = free_port()
        self.calls = {}  # standing here: call -> writer of its set-up
        self.open_setups = {}
        self.writers = []
        self.setups = []  # (time, call)
        self.released = []  # (time, call): releases received
        self.ends = {}  # call -> time at which its release was sent
        self.tasks = set()
        self.server = None
        self.silent = False

    def entry(self, status="Ready", since_ms=0):
        return {"name": self.name, "address": f"{HOST}:{self.port}", "zone": "curitiba", "type": "std-1core",
                "group": self.number, "status": status, "weight": 1, "since_ms": since_ms}

    async def start(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, self.port))
        self.server = await asyncio.start_server(self.serve, sock=self.sock, backlog=64)

    def task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def frame(self, writer, kind, call, *parameters):
        if self.silent or writer.is_closing():
            return
        body = b"".join(struct.pack("!BH", code, len(value)) + value for code, value in parameters)
        writer.write(struct.pack("!HBQ", 9 + len(body), kind, call) + body)

    def send_state(self):
        free = self.circuits - len(self.calls) - len(self.open_setups)
        for writer in self.writers[-1:]:
            self.frame(writer, STATE, 0, (P_GROUP, b"idle:%d;circuits:%d" % (free, self.circuits)))

    async def serve(self, reader, writer):
        self.writers.append(writer)
        self.record(self.name, "connection opened")
        self.send_state()
        try:
            while True:
                size = struct.unpack("!H", await reader.readexactly(2))[0]
                data = await reader.readexactly(size)
                if self.silent:
                    continue
                kind, call = struct.unpack_from("!BQ", data)
                values, offset = {}, 9
                while offset < size:
                    code, length = struct.unpack_from("!BH", data, offset)
                    values[code] = data[offset + 3 : offset + 3 + length]
                    offset += 3 + length
                self.received(writer, kind, call, values)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
                self.record(self.name, "connection closed by the program")
            for call in [call for call, at in self.open_setups.items() if at is writer]:
                del self.open_setups[call]
            writer.close()

    def received(self, writer, kind, call, values):
        if kind == SETUP:
            self.record(self.name, f"set-up received call={call:016x} left={values[P_LEFT].decode()}")
            self.setups.append((self.record.now(), call))
            self.open_setups[call] = writer
            self.send_state()
            self.task(self.run(call, writer))
        elif kind == RELEASE:
            self.record(self.name, f"release received call={call:016x}")
            self.released.append((self.record.now(), call))
            self.open_setups.pop(call, None)
            self.calls.pop(call, None)
            self.frame(writer, RELEASE_HEARD, call)
            self.send_state()
        elif kind == TEST:
            self.frame(writer, TEST_PASSED, call, (P_CAUSE, b"\x01"))

    async def run(self, call, writer):
        await asyncio.sleep(self.answer_s)
        if self.open_setups.pop(call, None) is None:
            return
        self.calls[call] = writer
        self.record(self.name, f"answer sent call={call:016x}")
        self.frame(writer, ANSWER, call, (P_DESCRIPTION, b"answer of %s to %016x" % (self.name.encode(), call)))
        if self.hold_s is not None:
            await asyncio.sleep(self.hold_s)
            self.end(call)

    def end(self, call):
        """The call ends here: its release goes on the connection of its set-up, otherwise on any open one."""
        writer = self.calls.pop(call, None)
        if writer is None or self.silent:
            return
        if writer not in self.writers:
            writer = self.writers[-1] if self.writers else None
        self.record(self.name, f"release sent call={call:016x} cause=16")
        self.ends[call] = self.record.now()
        if writer is not None:
            self.frame(writer, RELEASE, call, (P_CAUSE, bytes([16])))
            self.send_state()

    # -- disruptions

    def stop(self):
        """The process ends: its connections are reset, its calls are cut, new connections are refused."""
        self.record(self.name, f"process ends, cut: {[f'{call:016x}' for call in self.calls]}")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.calls.clear()
        self.open_setups.clear()
        for task in list(self.tasks):
            task.cancel()

    async def vanish(self):
        """The machine vanishes: open connections stay open and silent, new ones never come up."""
        self.record(self.name, f"machine vanishes, standing: {[f'{call:016x}' for call in self.calls]}")
        self.silent = True
        self.server.close()
        # A listening socket with a full queue: the kernel drops further connection requests.
        self.full = socket.socket()
        self.full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.full.bind((HOST, self.port))
        self.full.listen(0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((HOST, self.port))
            self.fillers.append(filler)
        return list(self.calls)

    async def come_back(self):
        """The machine is back with a new process, which knows nothing of the calls before."""
        for filler in self.fillers:
            filler.close()
        self.full.close()
        for writer in self.writers:  # what is left of the old machine's connections is reset
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.writers.clear()
        self.calls.clear()
        self.open_setups.clear()
        for task in list(self.tasks):
            task.cancel()
        self.silent = False
        await self.start()
        self.record(self.name, "machine is back, a new process listens")


class Caller:
    """A caller with one connection; `events` holds what came: (time, kind, uid, whole record)."""

    def __init__(self, record, port, name="caller"):
        self.record, self.port, self.name = record, port, name
        self.events = []

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.closed = False
        self.record(self.name, "connected")
        self.task = asyncio.create_task(self.read())

    async def read(self):
        with contextlib.suppress(OSError):
            while line := await self.reader.readline():
                answer = json.loads(line)
                self.events.append((self.record.now(), answer["kind"], answer["uid"], answer))
                self.record(self.name, f"received {line.decode().strip()}")
        self.closed = True
        self.record(self.name, "connection closed by the program")

    def send(self, **record):
        line = json.dumps(record)
        self.record(self.name, f"sent {line}")
        self.writer.write(line.encode() + b"\n")

    def launch(self, call, dest, left_ms=9000, class_name="rate-quote"):
        if self.closed:
            raise CouldNotRun("the caller's connection is closed")
        uid = f"{call:016x}"
        self.send(kind="launch", uid=uid, body=f"question {uid}", meta={
            "class": class_name, "left": str(left_ms), "tenant": "gaucha-envios", "key": f"{call:x}",
            "extras": f"dest:{dest};width:1;via:-1"})
        return uid

    def got(self, kind, uid):
        return [event for event in self.events if event[1] == kind and event[2] == uid]

    async def check(self):
        """The front's test of a call controller that has started."""
        self.send(kind="check", uid="00000000000000ff", meta={}, reason=0)
        await until(lambda: any(event[1] == "checked" for event in self.events), 10, "the answer to the test")

    async def close(self):
        self.task.cancel()
        self.writer.close()


# ---- SIP and Consul

SDP = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 31000 RTP/AVP 0\r\n"


class SipMessage:
    """A message; `code` is 0 for a request."""

    def __init__(self, data):
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.start_line, *lines = head.decode().split("\r\n")
        self.headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
        self.code = int(self.start_line.split()[1]) if self.start_line.startswith("SIP/") else 0
        self.method = self.get("CSeq").split()[1] if self.code else self.start_line.split()[0]
        self.call_id = self.get("Call-ID")
        user = re.match(r"\w+ sip:([^@;]*)@", self.start_line)
        self.number = user[1] if user else ""

    def values(self, name):
        return [value for key, value in self.headers if key.lower() == name.lower()]

    def get(self, name):
        return (self.values(name) or [""])[0]

    def tag(self, name):
        found = re.search(r";tag=([^;>]+)", self.get(name))
        return found[1] if found else ""

    def contact(self):
        found = re.search(r"sip:(?:[^@>]*@)?([\d.]+):(\d+)", self.get("Contact"))
        return (found[1], int(found[2])) if found else None


def response(request, code, phrase, address, tag, body=b""):
    lines = [f"SIP/2.0 {code} {phrase}"]
    for name in ("Via", "Record-Route", "From", "Call-ID", "CSeq"):
        lines += [f"{name}: {value}" for value in request.values(name)]
    to = request.get("To")
    lines.append(f"To: {to}" + ("" if code == 100 or "tag=" in to else f";tag={tag}"))
    lines.append(f"Contact: <sip:{address[0]}:{address[1]}>")
    if body:
        lines.append("Content-Type: application/sdp")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class SipEndpoint(asyncio.DatagramProtocol):
    """A SIP user agent on one UDP socket."""

    def __init__(self, record, name, port=0):
        self.record, self.name, self.port = record, name, port or free_port()
        self.address = HOST, self.port
        self.tasks = set()
        self.transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def close(self):
        for task in list(self.tasks):
            task.cancel()
        if self.transport is not None:
            self.transport.close()

    def task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def send(self, data, address, text):
        self.record(self.name, f"sent {text}")
        self.transport.sendto(data, address)

    def datagram_received(self, data, address):
        if data.strip():
            self.received(SipMessage(data), address)

    def received(self, message, address):
        raise NotImplementedError


class SipHub(SipEndpoint):
    """A hub: 180 after 0.15 s, in place of 100, and 200 after `answer_s`, or 200 alone if that is sooner.

    A call stands until a BYE, or for `hold_s`.
    """

    def __init__(self, record, name, port=0, answer_s=0.1, hold_s=None):
        super().__init__(record, name, port)
        self.answer_s, self.hold_s = answer_s, hold_s
        self.attempts = {}  # Call-ID -> dict(request, address, last response, state)

    def received(self, message, address):
        attempt = self.attempts.get(message.call_id)
        if message.code:
            return
        if message.method == "INVITE":
            if attempt is not None:  # a retransmission
                self.record(self.name, f"received INVITE again number={message.number} call={message.call_id}")
                if attempt["last"]:
                    self.transport.sendto(attempt["last"], address)
                return
            transit = " X-Transit" if message.get("X-Transit") else ""
            self.record(self.name, f"received INVITE{transit} number={message.number} call={message.call_id}")
            attempt = {"request": message, "address": address, "last": b"", "state": "open", "acked": False,
                       "number": message.number, "transit": bool(transit), "from": self.record.now(), "to": None}
            self.attempts[message.call_id] = attempt
            self.task(self.run(attempt))
        elif message.method == "ACK":
            self.record(self.name, f"received ACK call={message.call_id}")
            if attempt is not None:
                attempt["acked"] = True
        elif message.method == "CANCEL":
            self.record(self.name, f"received CANCEL call={message.call_id}")
            code = 200 if attempt is not None else 481
            self.send(response(message, code, "X", self.address, self.name), address, f"{code} to CANCEL")
            if attempt is not None and attempt["state"] == "open":
                self.end(attempt, "cancelled")
                self.reply(attempt, 487, "Request Terminated")
        elif message.method == "BYE":
            self.record(self.name, f"received BYE call={message.call_id}")
            code = 200 if attempt is not None and attempt["state"] == "stands" else 481
            self.send(response(message, code, "X", self.address, self.name), address, f"{code} to BYE")
            if code == 200:
                self.end(attempt, "ended by the program")

    def end(self, attempt, state):
        attempt["state"], attempt["to"] = state, self.record.now()

    def reply(self, attempt, code, phrase, body=b""):
        request = attempt["request"]
        data = response(request, code, phrase, self.address, self.name, body)
        attempt["last"] = data
        self.send(data, attempt["address"], f"{code} to INVITE number={request.number} call={request.call_id}")

    async def run(self, attempt):
        if self.answer_s > 0.15:
            await asyncio.sleep(0.15)
            if attempt["state"] == "open":
                self.reply(attempt, 180, "Ringing")
        await asyncio.sleep(self.answer_s if self.answer_s <= 0.15 else self.answer_s - 0.15)
        if attempt["state"] != "open":
            return
        attempt["state"] = "stands"
        attempt["answered"] = self.record.now()
        self.reply(attempt, 200, "OK", SDP)
        interval = 0.5
        while not attempt["acked"] and interval < 16:
            await asyncio.sleep(interval)
            if not attempt["acked"] and attempt["state"] == "stands":
                self.transport.sendto(attempt["last"], attempt["address"])
            interval = min(interval * 2, 4)
        if self.hold_s is not None:
            await asyncio.sleep(self.hold_s)
            if attempt["state"] == "stands":
                self.bye(attempt)

    def bye(self, attempt):
        request = attempt["request"]
        host, port = request.contact()
        self.end(attempt, "ended by the hub")
        self.send("\r\n".join([
            f"BYE sip:{host}:{port} SIP/2.0",
            f"Via: SIP/2.0/UDP {HOST}:{self.port};branch=z9hG4bK{os.urandom(6).hex()};rport",
            "Max-Forwards: 70", f"From: {request.get('To')};tag={self.name}", f"To: {request.get('From')}",
            f"Call-ID: {request.call_id}", "CSeq: 1 BYE", "Content-Length: 0", "", "",
        ]).encode(), (host, port), f"BYE call={request.call_id}")


class SipCaller(SipEndpoint):
    """A counter's user agent; `calls` holds for each Call-ID what came."""

    def __init__(self, record, name, program_port):
        super().__init__(record, name)
        self.program = HOST, program_port
        self.calls = {}

    def invite(self, number):
        call_id = f"{number}-{os.urandom(4).hex()}@{HOST}"
        branch = f"z9hG4bK{os.urandom(6).hex()}"
        data = "\r\n".join([
            f"INVITE sip:{number}@{HOST}:{self.program[1]} SIP/2.0",
            f"Via: SIP/2.0/UDP {HOST}:{self.port};branch={branch};rport",
            "Max-Forwards: 70", f"From: <sip:counter@{HOST}>;tag=c{number}",
            f"To: <sip:{number}@{HOST}:{self.program[1]}>", f"Call-ID: {call_id}", "CSeq: 1 INVITE",
            f"Contact: <sip:counter@{HOST}:{self.port}>", "Content-Type: application/sdp",
            f"Content-Length: {len(SDP)}", "", "",
        ]).encode() + SDP
        call = self.calls[call_id] = {
            "number": number, "sent": self.record.now(), "branch": branch, "final": None, "finals": set(),
            "answered": None, "bye": None, "to": "", "provisional": False}
        self.send(data, self.program, f"INVITE number={number} call={call_id}")
        self.task(self.retransmit(call, data))
        return call

    async def retransmit(self, call, data):
        interval = 0.5
        while not call["provisional"] and call["final"] is None and interval < 32:
            await asyncio.sleep(interval)
            if not call["provisional"] and call["final"] is None:
                self.transport.sendto(data, self.program)
            interval *= 2

    def in_dialog(self, method, call_id, sequence, branch=None):
        call = self.calls[call_id]
        data = "\r\n".join([
            f"{method} sip:{HOST}:{self.program[1]} SIP/2.0",
            f"Via: SIP/2.0/UDP {HOST}:{self.port};branch={branch or 'z9hG4bK' + os.urandom(6).hex()};rport",
            "Max-Forwards: 70", f"From: <sip:counter@{HOST}>;tag=c{call['number']}", f"To: {call['to']}",
            f"Call-ID: {call_id}", f"CSeq: {sequence} {method}", "Content-Length: 0", "", "",
        ]).encode()
        self.send(data, self.program, f"{method} call={call_id}")

    def received(self, message, address):
        call = self.calls.get(message.call_id)
        self.record(self.name, f"received {message.start_line} call={message.call_id}")
        if message.code and message.method == "INVITE" and call is not None:
            if message.code > 100:
                call["to"] = message.get("To")
            if message.code < 200:
                call["provisional"] = True
                return
            call["finals"].add(message.code)
            if call["final"] is None:
                call["final"] = message.code
                call["final_at"] = self.record.now()
            self.in_dialog("ACK", message.call_id, 1, None if message.code < 300 else call["branch"])
        elif message.method == "BYE" and not message.code:
            self.send(response(message, 200, "OK", self.address, ""), address, f"200 to BYE call={message.call_id}")
            if call is not None and call["bye"] is None:
                call["bye"] = self.record.now()


def write_sip_config(folder, consul, listen_port, changes=(), name="sip"):
    """deploy/sip.toml with SIP enabled, free ports and this Consul; returns the program's environment.

    `changes` are further replacements in its text.
    """
    text = (ROOT / "deploy" / "sip.toml").read_text()
    for old, new in (("enabled = false", "enabled = true"), ("127.0.0.1:5060", f"{HOST}:{listen_port}"),
                     ("127.0.0.1:8500", f"{HOST}:{consul.port}"), *dict(changes).items()):
        if old not in text:
            raise CouldNotRun(f"deploy/sip.toml has no {old}")
        text = text.replace(old, new)
    path = Path(folder) / f"{name}.toml"
    path.write_text(text)
    return {"CHUTEFORK_SIP": str(path)}


class Consul:
    """Catalogue, health and agent of Consul: a blocking query is answered once the index has passed the
    given one, or when its wait is up."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.index, self.services = 40, {}
        self.writers = set()
        self.answers = []  # (path, index given, index answered)

    async def start(self):
        self.changed = asyncio.Condition()
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def set(self, name, number=None, port=None, status="passing"):
        if number is None:
            number, port, _ = self.services[name]
        self.services[name] = number, port, status
        self.index += 1
        self.record("consul", f"{name} {status}, index {self.index}")
        async with self.changed:
            self.changed.notify_all()

    async def restart_empty(self, down_s):
        """The agent is killed and started again with an empty catalogue; its index starts anew."""
        self.record("consul", "agent killed")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.services, self.index = {}, 5
        await self.start()
        self.record("consul", "agent started with an empty catalogue, index 5")

    def value(self, path):
        if path.startswith("/v1/catalog/"):
            return [{"ServiceID": name, "Address": HOST, "ServiceAddress": HOST, "ServicePort": port,
                     "ServiceMeta": {"number": str(number), "transport": "udp"}}
                    for name, (number, port, _) in self.services.items()]
        return [{"Service": {"ID": name}, "Checks": [{"CheckID": f"service:{name}", "Status": status}]}
                for name, (_, _, status) in self.services.items()]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target = head.split(" ")[:2]
                path, _, query = target.partition("?")
                size = re.search(r"(?i)content-length: *(\d+)", head)
                if size:
                    await reader.readexactly(int(size[1]))
                if method == "GET":
                    values = dict(part.split("=") for part in query.split("&"))
                    after, wait_s = int(values["index"]), float(values["wait"].rstrip("s"))
                    if after:
                        async with self.changed:
                            with contextlib.suppress(asyncio.TimeoutError):
                                await asyncio.wait_for(
                                    self.changed.wait_for(lambda after=after: self.index > after), wait_s)
                    body = json.dumps(self.value(path)).encode()
                    index = self.index
                    self.answers.append((path, after, index))
                    self.record("consul", f"GET {path} index={after} answered index={index} {body.decode()[:160]}")
                else:
                    body, index = b"null", self.index
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: %d\r\n"
                             b"Content-Length: %d\r\n\r\n" % (index, len(body)) + body)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


def main(folder, case):
    """Runs `case(record, temporary folder, trouble, cleanup)`, which returns True if the rule held, and exits.

    Everything that the case started is closed first, also on a signal or when its time is up.
    """
    folder = Path(folder).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record("test", f"TROUBLE={int(trouble)}")
    cleanup = contextlib.AsyncExitStack()

    async def run():
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        async with cleanup:
            with tempfile.TemporaryDirectory() as temporary:
                return await asyncio.wait_for(case(record, temporary, trouble, cleanup), 112)

    try:
        held = asyncio.run(run())
    except (CouldNotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record("test", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(COULD_NOT_RUN)
    record("test", "rule held" if held else "RULE BROKEN")
    print("rule held" if held else "RULE BROKEN")
    sys.exit(HELD if held else BROKEN)
