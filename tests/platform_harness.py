"""Runs the real program as a process, with test doubles of its callers, exchanges and command channel."""

import contextlib
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WAIT_TIMEOUT_S = 10.0  # timeout of every wait; only a failing test waits that long

SETTINGS = {
    "balancers": 3,
    "tick_s": 0.005,
    "over_share_worth": 0.2,
    "family_info": {
        "self_no": 0,
        "network_form": "network",
        "widths": [1, 1],
        "call_length_s": [9.5, 11.5],
        "release_s": 0.3,
        "retransmit_s": 0.0,
    },
    "limits": {
        "max_attempts": 6,
        "probes": False,
        "peers": False,
        "retry_after": True,
        "max_retry_after_s": 2.0,
        "connect_timeout_s": 0.5,
        "idle_close_s": 600.0,
    },
    "rules": {
        "ask_within_s": 10.0,
        "stop_sending_within_s": 0.25,
        "cold_share": 0.29,
        "warm_up_s": 14.0,
        "tip_multiple": 3.0,
        "fall_s": 2.0,
    },
    "services": [
        {"name": "rate-quote", "target_s": 1.5, "deadline_s": 9.0, "worth": 1.0, "late_worth": 0.1},
        {"name": "transfer-status", "target_s": 1.5, "deadline_s": 9.0, "worth": 2.0, "late_worth": 0.25},
    ],
    "accounts": [{"name": "gaucha-envios", "quota_per_s": 17.0}],
}


def listening_socket(address=("127.0.0.1", 0)):
    """A TCP socket that listens, by default on a free port; `accept` fails after WAIT_TIMEOUT_S."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(16)
    sock.settimeout(WAIT_TIMEOUT_S)
    return sock


def socket_address(sock):
    """The address of a bound socket as `host:port`."""
    return "%s:%d" % sock.getsockname()[:2]


def wait_until(condition, what, timeout_s=WAIT_TIMEOUT_S):
    """Polls until the condition is true and returns its value; AssertionError after `timeout_s`."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.005)
    raise AssertionError(f"timed out waiting for {what}")


class Caller:
    """A caller with one connection; sends and reads JSON lines."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, timeout=WAIT_TIMEOUT_S)
        self.file = self.sock.makefile("rb")

    def send(self, **record):
        self.sock.sendall(json.dumps(record).encode() + b"\n")

    def launch(self, uid, dest=1, left=1500, body="sdp", extras="width:1;via:-1", **fields):
        meta = {
            "class": "rate-quote",
            "left": str(left),
            "tenant": "gaucha-envios",
            "key": "7f3a",
            "extras": f"dest:{dest};{extras}",
            **fields,
        }
        self.send(kind="launch", uid=uid, meta=meta, body=body)

    def read(self):
        """The next line as an object; None when the connection has ended."""
        try:
            line = self.file.readline()
        except ConnectionResetError:
            line = b""
        return json.loads(line) if line else None

    def port(self):
        return self.sock.getsockname()[1]

    def receives_nothing(self, seconds):
        """Whether neither data nor the end of the connection arrives for so long."""
        return not select.select([self.sock], [], [], seconds)[0]

    def close(self):
        self.file.close()
        self.sock.close()


def decode_parameters(data):
    """Parameters by code, of a frame without its length."""
    offset, values = 9, {}
    while offset < len(data):
        code, size = struct.unpack_from("!BH", data, offset)
        values[code] = data[offset + 3 : offset + 3 + size]
        offset += 3 + size
    return values


class Exchange:
    """An exchange that sends and reads single frames as the test asks. Frames use the newest connection
    unless another one is given."""

    def __init__(self, name, number, address=("127.0.0.1", 0)):
        self.name, self.number = name, number
        self.sock = listening_socket(address)
        self.connections = []
        self.stop_states, self.states_sent = False, 0  # of send_states
        self.sending = threading.Lock()

    def accept(self):
        connection = self.sock.accept()[0]
        connection.settimeout(WAIT_TIMEOUT_S)
        self.connections.append(connection)
        return connection

    def entry(self, status="Ready", since=0):
        return {
            "name": self.name,
            "address": socket_address(self.sock),
            "zone": "z",
            "type": "std",
            "group": self.number,
            "status": status,
            "weight": 1,
            "since_ms": since,
        }

    def read(self, connection=None):
        """The next frame: type, call and parameters; None when the connection has ended."""
        connection = connection or self.connections[-1]
        length = self._recv_exactly(connection, 2)
        if length is None:
            return None
        data = self._recv_exactly(connection, struct.unpack("!H", length)[0])
        kind, call = struct.unpack_from("!BQ", data)
        return kind, f"{call:016x}", decode_parameters(data)

    @staticmethod
    def _recv_exactly(connection, size):
        data = b""
        while len(data) < size:
            part = connection.recv(size - len(data))
            if not part:
                return None
            data += part
        return data

    def send(self, kind, uid, *values, connection=None):
        body = b"".join(struct.pack("!BH", code, len(value)) + value for code, value in values)
        with self.sending:
            (connection or self.connections[-1]).sendall(
                struct.pack("!HBQ", 9 + len(body), kind, int(uid, 16)) + body
            )

    def send_states(self, gap_s=0.05):
        """Sends the state of the trunk group every `gap_s`, as a real exchange does, until `stop_states`."""

        def send_repeatedly(connection=self.connections[-1]):
            with contextlib.suppress(OSError):
                while not self.stop_states:
                    self.send(43, "0" * 16, (43, b"idle:9000;circuits:9000"), connection=connection)
                    self.states_sent += 1
                    time.sleep(gap_s)

        threading.Thread(target=send_repeatedly, daemon=True).start()

    def answer(self, uid, description=b"answer"):
        self.send(9, uid, (61, description))

    def release(self, uid, cause, *values, connection=None):
        self.send(12, uid, (58, bytes([cause])), *values, connection=connection)

    def close(self):
        for connection in self.connections:
            connection.close()
        self.sock.close()


class Channel:
    """The command channel: answers each poll as soon as there are later events, or when its time is up.

    Each answer comes `delay_s` later than that.
    """

    def __init__(self):
        self.events, self.polls = [], 0
        self.delay_s = 0.0
        self.open_connections = self.most_connections = 0  # now, and at any time so far
        self.changed = threading.Condition()
        self.sock = listening_socket()
        self.sock.settimeout(None)
        threading.Thread(target=self._accept, daemon=True).start()

    def publish(self, *entries, **fields):
        with self.changed:
            record = {
                "cursor": len(self.events) + 1,
                "nodes": {"index": 1, "snapshot": not self.events, "endpoints": list(entries)},
            }
            self.events.append({**record, **fields})
            self.changed.notify_all()

    def _accept(self):
        while True:
            try:
                connection = self.sock.accept()[0]
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with self.changed:
            self.open_connections += 1
            self.most_connections = max(self.most_connections, self.open_connections)
        try:
            self._answer_polls(connection)
        finally:
            with self.changed:
                self.open_connections -= 1

    def _answer_polls(self, connection):
        file = connection.makefile("rwb")
        while True:
            try:
                line = file.readline()
            except ConnectionResetError:
                return
            if not line:
                return
            query = dict(part.split("=") for part in line.split(b" ")[1].decode().split("?")[1].split("&"))
            while file.readline() not in (b"\r\n", b""):
                pass
            after = int(query["resume"])
            with self.changed:
                self.polls += 1
                self.changed.notify_all()
                self.changed.wait_for(
                    lambda after=after: len(self.events) > after, int(query["block"]) / 1000
                )
                body = json.dumps({"cursor": len(self.events), "cmds": self.events[after:]}).encode()
            if select.select([connection], [], [], self.delay_s)[0]:
                return  # closed: a client sends nothing while it waits for an answer
            try:
                file.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                file.flush()
            except OSError:
                return

    def close(self):
        self.sock.close()


class Program:
    """A process running `python -m chutefork`; its output is collected in `lines`."""

    def __init__(self, env, command=(sys.executable, "-m", "chutefork"), cwd=ROOT):
        self.process = subprocess.Popen(
            command,
            cwd=cwd,
            env={**os.environ, **env},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.lines = []
        self.reader = threading.Thread(target=self._collect_output, daemon=True)
        self.reader.start()

    def _collect_output(self):
        for line in self.process.stdout:
            self.lines.append(line.rstrip("\n"))

    def log_lines(self, *parts):
        """The lines so far that contain all of the parts."""
        return [line for line in list(self.lines) if all(part in line for part in parts)]

    def wait_log(self, *parts):
        return wait_until(lambda: self.log_lines(*parts), f"a log line with {parts}: {self.lines}")

    def wait_for_exit(self):
        """Waits for the process to end by itself; returns its exit code."""
        self.process.wait(WAIT_TIMEOUT_S)
        self.reader.join(WAIT_TIMEOUT_S)
        return self.process.returncode

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.reader.join(WAIT_TIMEOUT_S)
        self.process.stdout.close()


class PlatformCase(unittest.TestCase):
    """The program, at exchange 0, with a command channel and connections to the exchanges 1 and 2."""

    exchange1_start_ms = 0  # Unix milliseconds, as the first list tells it; 0: long ago

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.channel = Channel()
        self.addCleanup(self.channel.close)
        self.exchange1, self.exchange2 = self.exchange("s-1", 1), self.exchange("s-2", 2)
        self.channel.publish(self.exchange1.entry(since=self.exchange1_start_ms), self.exchange2.entry())
        self.program = self.start()
        self.exchange1.accept()
        self.exchange2.accept()
        # The second poll shows that the first answer has confirmed the list, for which set-ups wait.
        wait_until(lambda: self.channel.polls >= 2, "the second poll")

    def exchange(self, name, number, address=("127.0.0.1", 0)):
        created = Exchange(name, number, address)
        self.addCleanup(created.close)
        return created

    def establish_call(self, caller, uid="00000000000000a1"):
        """Sets up a call at the first exchange and answers it."""
        caller.launch(uid)
        self.assertEqual(self.exchange1.read()[:2], (1, uid))
        self.exchange1.answer(uid)
        self.assertEqual(caller.read()["kind"], "running")

    def start(self, known_events=None, settings=None, env=None, limits=None):
        """Starts the program with the channel's first `known_events` events, by default all, in `known`."""
        known = self.channel.events[:known_events]
        self.listen = ("127.0.0.1", 0)
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "channel": socket_address(self.channel.sock),
            "settings": settings or SETTINGS,
            "known": {
                "cursor": len(known),
                "cmds": known,
            },
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        self.config, self.path = config, Path(self.folder.name) / "config.json"
        self.path.write_text(json.dumps(config))
        program = Program({"EDGE_CONFIG": str(self.path), "EDGE_LISTEN": "127.0.0.1:0", **(env or {})})
        self.addCleanup(program.close)
        line = program.wait_log("serving ")[0]
        host, _, port = line.rpartition("listen=")[2].partition(":")
        self.address = host, int(port)
        return program

    def caller(self):
        created = Caller(self.address)
        self.addCleanup(created.close)
        return created

    def reload(self, text):
        """Replaces the configuration file atomically and sends SIGHUP."""
        replacement = self.path.with_suffix(".new")
        replacement.write_text(text)
        replacement.replace(self.path)
        self.program.process.send_signal(signal.SIGHUP)

    def terminate(self):
        self.program.process.send_signal(signal.SIGTERM)
