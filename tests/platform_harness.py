"""The real program as a process, and the callers, exchanges and command channel that it talks to."""

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
PATIENCE_S = 10.0  # no test waits that long unless it fails

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


def listener(address=("127.0.0.1", 0)):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(16)
    sock.settimeout(PATIENCE_S)
    return sock


def where(sock):
    return "%s:%d" % sock.getsockname()[:2]


def until(condition, what):
    """Waits for a condition, never for a fixed time."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.005)
    raise AssertionError(f"never came: {what}")


class Caller:
    """One caller's connection: JSON lines."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, timeout=PATIENCE_S)
        self.file = self.sock.makefile("rb")

    def send(self, **record):
        self.sock.sendall(json.dumps(record).encode() + b"\n")

    def launch(self, uid, dest=1, left=1500, body="sdp", extras="width:1;via:-1", **more):
        meta = {
            "class": "rate-quote",
            "left": str(left),
            "tenant": "gaucha-envios",
            "key": "7f3a",
            "extras": f"dest:{dest};{extras}",
            **more,
        }
        self.send(kind="launch", uid=uid, meta=meta, body=body)

    def read(self):
        """The next line; None when the connection has ended."""
        try:
            line = self.file.readline()
        except ConnectionResetError:
            line = b""
        return json.loads(line) if line else None

    def port(self):
        return self.sock.getsockname()[1]

    def silent(self, seconds):
        return not select.select([self.sock], [], [], seconds)[0]

    def close(self):
        self.file.close()
        self.sock.close()


def parameters(data):
    at, found = 9, {}
    while at < len(data):
        code, size = struct.unpack_from("!BH", data, at)
        found[code] = data[at + 3 : at + 3 + size]
        at += 3 + size
    return found


class Exchange:
    """An exchange that does what the test tells it to, a frame at a time."""

    def __init__(self, name, number, address=("127.0.0.1", 0)):
        self.name, self.number = name, number
        self.sock = listener(address)
        self.links = []
        self.quiet, self.told = False, 0  # of the chatter
        self.sending = threading.Lock()

    def accept(self):
        link = self.sock.accept()[0]
        link.settimeout(PATIENCE_S)
        self.links.append(link)
        return link

    def entry(self, status="Ready", since=0):
        return {
            "name": self.name,
            "address": where(self.sock),
            "zone": "z",
            "type": "std",
            "group": self.number,
            "status": status,
            "weight": 1,
            "since_ms": since,
        }

    def read(self, link=None):
        """The next frame: type, call and parameters; None when the connection has ended."""
        link = link or self.links[-1]
        head = self._exactly(link, 2)
        if head is None:
            return None
        data = self._exactly(link, struct.unpack("!H", head)[0])
        kind, call = struct.unpack_from("!BQ", data)
        return kind, f"{call:016x}", parameters(data)

    @staticmethod
    def _exactly(link, size):
        data = b""
        while len(data) < size:
            more = link.recv(size - len(data))
            if not more:
                return None
            data += more
        return data

    def send(self, kind, uid, *values, link=None):
        body = b"".join(struct.pack("!BH", code, len(value)) + value for code, value in values)
        with self.sending:
            (link or self.links[-1]).sendall(struct.pack("!HBQ", 9 + len(body), kind, int(uid, 16)) + body)

    def chatter(self, gap_s=0.05):
        """States of the group, as a real exchange tells them all the time."""

        def go(link=self.links[-1]):
            with contextlib.suppress(OSError):
                while not self.quiet:
                    self.send(43, "0" * 16, (43, b"idle:9000;circuits:9000"), link=link)
                    self.told += 1
                    time.sleep(gap_s)

        threading.Thread(target=go, daemon=True).start()

    def answer(self, uid, description=b"answer"):
        self.send(9, uid, (61, description))

    def release(self, uid, cause, *values, link=None):
        self.send(12, uid, (58, bytes([cause])), *values, link=link)

    def close(self):
        for link in self.links:
            link.close()
        self.sock.close()


class Channel:
    """The command channel: answers each poll when there are later events, or when its time is up."""

    def __init__(self):
        self.events, self.polls = [], 0
        self.changed = threading.Condition()
        self.sock = listener()
        self.sock.settimeout(None)
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, *entries, **more):
        with self.changed:
            record = {
                "cursor": len(self.events) + 1,
                "nodes": {"index": 1, "snapshot": not self.events, "endpoints": list(entries)},
            }
            self.events.append({**record, **more})
            self.changed.notify_all()

    def _accept(self):
        while True:
            try:
                link = self.sock.accept()[0]
            except OSError:
                return
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link):
        file = link.makefile("rwb")
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
            try:
                file.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                file.flush()
            except OSError:
                return

    def close(self):
        self.sock.close()


class Program:
    """`python -m chutefork`; its log is gathered line by line."""

    def __init__(self, env):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "chutefork"],
            cwd=ROOT,
            env={**os.environ, **env},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.lines = []
        self.reader = threading.Thread(target=self._gather, daemon=True)
        self.reader.start()

    def _gather(self):
        for line in self.process.stdout:
            self.lines.append(line.rstrip("\n"))

    def logged(self, *parts):
        return [line for line in list(self.lines) if all(part in line for part in parts)]

    def wait_log(self, *parts):
        return until(lambda: self.logged(*parts), f"a log line with {parts}: {self.lines}")

    def finish(self):
        self.process.wait(PATIENCE_S)
        self.reader.join(PATIENCE_S)
        return self.process.returncode

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.reader.join(PATIENCE_S)
        self.process.stdout.close()


class PlatformCase(unittest.TestCase):
    """The program with a command channel and the exchanges 1 and 2 beside its own, 0."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.channel = Channel()
        self.addCleanup(self.channel.close)
        self.one, self.two = self.exchange("s-1", 1), self.exchange("s-2", 2)
        self.channel.tell(self.one.entry(), self.two.entry())
        self.program = self.start()
        self.one.accept()
        self.two.accept()

    def exchange(self, name, number, address=("127.0.0.1", 0)):
        made = Exchange(name, number, address)
        self.addCleanup(made.close)
        return made

    def stand(self, caller, uid="00000000000000a1"):
        """A call that stands at the first exchange."""
        caller.launch(uid)
        self.assertEqual(self.one.read()[:2], (1, uid))
        self.one.answer(uid)
        self.assertEqual(caller.read()["kind"], "running")

    def start(self, known=True, settings=None, env=None, limits=None):
        self.listen = ("127.0.0.1", 0)
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "channel": where(self.channel.sock),
            "settings": settings or SETTINGS,
            "known": {
                "cursor": len(self.channel.events) if known else 0,
                "cmds": self.channel.events if known else [],
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
        made = Caller(self.address)
        self.addCleanup(made.close)
        return made

    def reload(self, text):
        """A new file in place of the old one, and the signal."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.path)
        self.program.process.send_signal(signal.SIGHUP)

    def terminate(self):
        self.program.process.send_signal(signal.SIGTERM)
