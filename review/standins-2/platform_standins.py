"""Stand-ins for the platform's side of chutefork: callers, exchanges and the command channel.

Every stand-in listens on loopback and notes what it sends and receives in the case's record.
"""

import contextlib
import json
import os
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = {
    "balancers": 5,
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
    "accounts": [
        {"name": "gaucha-envios", "quota_per_s": 17.0},
        {"name": "pinhal-cambio", "quota_per_s": 10.0},
        {"name": "serra-remessas", "quota_per_s": 5.0},
    ],
}


class CannotRun(Exception):
    """The case could not be played; its result says nothing about the program."""


class Record:
    """The case's record: one line per message or remark, with the time since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, who, what):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {who:12} {what}\n")
            self.file.flush()


def wait_until(condition, what, timeout_s):
    """Polls until the condition holds and returns its value; CannotRun after `timeout_s`."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.005)
    raise CannotRun(f"no {what} within {timeout_s} s")


def free_port():
    """A port of loopback that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def listening_socket(port=0, backlog=64):
    """A TCP socket that listens on loopback, by default on a free port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(backlog)
    return sock


class Program:
    """One call controller, started with `run` of the deploy file."""

    def __init__(self, record, env, name="program"):
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        self.record, self.name = record, name
        self.temporary = tempfile.TemporaryDirectory()
        self.lines = []
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={**os.environ, "TMPDIR": self.temporary.name, **env},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stdout:
            self.lines.append(line.rstrip("\n"))
            self.record(self.name, "log: " + line.rstrip("\n"))

    def wait_log(self, part, timeout_s=15):
        return wait_until(lambda: next((line for line in self.lines if part in line), None), part, timeout_s)

    def signal(self, number):
        self.record(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    def close(self):
        if self.alive():
            self.process.kill()
        self.process.wait()
        self.temporary.cleanup()


class Channel:
    """The command channel: numbered events, answered to each poll as soon as there are later ones."""

    def __init__(self, record):
        self.record, self.events, self.polls = record, [], 0
        self.changed = threading.Condition()
        self.sock = listening_socket()
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def publish(self, *entries):
        with self.changed:
            self.events.append(
                {
                    "cursor": len(self.events) + 1,
                    "nodes": {
                        "index": len(self.events) + 1,
                        "snapshot": not self.events,
                        "endpoints": list(entries),
                    },
                }
            )
            self.changed.notify_all()
        self.record("channel", f"event {len(self.events)}: {json.dumps(entries)}")

    def known(self):
        return {"cursor": len(self.events), "cmds": list(self.events)}

    def _accept(self):
        while True:
            try:
                connection = self.sock.accept()[0]
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError, ValueError), connection, connection.makefile("rwb") as file:
            while line := file.readline():
                query = dict(
                    part.split("=") for part in line.split()[1].decode().partition("?")[2].split("&")
                )
                while file.readline() not in (b"\r\n", b""):
                    pass
                after, block_s = int(query["resume"]), min(int(query["block"]), 5000) / 1000
                with self.changed:
                    self.polls += 1
                    self.changed.wait_for(lambda after=after: len(self.events) > after, block_s)
                    body = json.dumps({"cursor": len(self.events), "cmds": self.events[after:]}).encode()
                file.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                file.flush()

    def close(self):
        self.sock.close()


SETUP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, USAGE, TEST, TEST_PASSED = 1, 6, 9, 12, 16, 43, 52, 53
GROUP_CIRCUITS = 60  # circuits of the group between the controller and an exchange
NAMES = {1: "set-up", 6: "progress", 9: "answer", 12: "release", 16: "release heard", 43: "usage", 52: "test"}


class Exchange:
    """An exchange. `on_setup` is called with each set-up that has arrived whole; it decides on the answer.

    It tells the state of its group at the controller's first connection and whenever that state changes.
    The record and `out` hold what this exchange sees: an attempt is out from the arrival of its set-up until
    its end is written here, it is released, or its connection is closed.
    """

    def __init__(self, record, name, number, port=0, backlog=64):
        self.record, self.name, self.number = record, name, number
        self.sock = listening_socket(port, backlog)
        self.port = self.sock.getsockname()[1]
        self.lock = threading.RLock()
        self.connections = []  # open ones, oldest first
        self.accepting = True  # False: connections stay in the listen queue
        self.silent = False  # True: reads nothing and sends nothing
        self.out = {}  # call -> connections on which its set-ups are open, one for each
        self.standing = {}  # call -> connection of its set-up
        self.ended_by_controller = []  # calls that stood and were released by the controller
        self.most_out = {}  # call -> most attempts that were out here at a time
        self.accepted_count = 0
        self.fillers = {}  # sockets of the test's own that fill the listen queue, by their port
        self.releases_to_repeat = []  # calls and causes, for the next connection that is opened
        self.on_setup = self.answer
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, status="Ready", since_ms=0):
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": "curitiba",
            "type": "std-1core",
            "group": self.number,
            "status": status,
            "weight": 1,
            "since_ms": since_ms,
        }

    def _accept(self):
        self.sock.settimeout(0.05)
        while True:
            try:
                if not self.accepting:
                    time.sleep(0.01)
                    continue
                connection = self.sock.accept()[0]
            except TimeoutError:
                continue
            except OSError:
                return
            if connection.getpeername()[1] in self.fillers:
                connection.close()
                continue
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.append(connection)
                self.accepted_count += 1
                self.record(self.name, f"accepted connection {self.accepted_count}")
            if self.accepted_count == 1:
                self.send_usage()
            repeated, self.releases_to_repeat = self.releases_to_repeat, []
            for call, cause in repeated:  # the page: an exchange sends its release on the next one as well
                self.send(RELEASE, call, (58, bytes([cause])), connection=connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def fill_queue(self):
        """Fills the listen queue: further connections do not come up until `empty_queue`."""
        self.accepting = False
        time.sleep(0.1)
        for _ in range(8):
            filler = socket.socket()
            filler.settimeout(0.15)
            try:
                filler.connect(("127.0.0.1", self.port))
            except TimeoutError:
                filler.close()
                return
            self.fillers[filler.getsockname()[1]] = filler
        raise CannotRun("the listen queue takes every connection")

    def empty_queue(self):
        self.accepting = True

    def send_usage(self):
        """Tells the free circuits and the size of the group."""
        with self.lock:
            taken = len(self.standing) + sum(len(open_on) for open_on in self.out.values())
            if self.connections:
                text = f"idle:{GROUP_CIRCUITS - taken};circuits:{GROUP_CIRCUITS}"
                self.send(USAGE, "0" * 16, (43, text.encode()))

    def _receive(self, connection, size):
        data = b""
        while len(data) < size:
            part = connection.recv(size - len(data))
            if not part:
                return None
            data += part
        return data

    def _serve(self, connection):
        try:
            while True:
                head = self._receive(connection, 2)
                data = head and self._receive(connection, struct.unpack("!H", head)[0])
                if not data:
                    break
                while self.silent:
                    time.sleep(0.01)
                kind, call = struct.unpack_from("!BQ", data)
                self._received(kind, f"{call:016x}", connection)
        except OSError as error:
            self.record(self.name, f"connection failed: {error}")
        while self.silent:  # a machine that is cut off does not notice
            time.sleep(0.01)
        with self.lock:
            self.record(self.name, "connection closed by the controller")
            if connection in self.connections:
                self.connections.remove(connection)
            for call, open_on in list(self.out.items()):  # set-ups open on it are given up
                self.out[call] = [other for other in open_on if other is not connection]
        connection.close()

    def _received(self, kind, call, connection):
        with self.lock:
            if kind == TEST:
                self.send(TEST_PASSED, call, (58, b"\1"), connection=connection)
                return
            self.record(self.name, f"received {NAMES.get(kind, kind)} {call}")
            if kind == SETUP:
                self.out.setdefault(call, []).append(connection)
                self.most_out[call] = max(self.most_out.get(call, 0), len(self.out[call]))
                if len(self.out[call]) > 1:
                    self.record(self.name, f"{len(self.out[call])} attempts of {call} are out at once")
            elif kind == RELEASE:
                self.out.pop(call, None)
                if self.standing.pop(call, None) is not None:
                    self.ended_by_controller.append(call)
                    self.record(self.name, f"the standing call {call} was released by the controller")
        if kind in (SETUP, RELEASE):
            self.send_usage()
        if kind == SETUP:
            self.on_setup(call, connection)

    def send(self, kind, call, *values, connection=None):
        with self.lock:
            target = (
                connection if connection in self.connections else next(iter(self.connections[::-1]), None)
            )
            body = b"".join(struct.pack("!BH", code, len(value)) + value for code, value in values)
            if target is None:
                self.record(self.name, f"no connection for {NAMES.get(kind, kind)} {call}")
                return False
            shown = "".join(f" cause {value[0]}" for code, value in values if code == 58)
            if kind != TEST_PASSED:
                self.record(self.name, f"sent {NAMES.get(kind, kind)} {call}{shown}")
            with contextlib.suppress(OSError):
                target.sendall(struct.pack("!HBQ", 9 + len(body), kind, int(call, 16)) + body)
            return True

    def _end_attempt(self, call):
        if self.out.get(call):
            self.out[call].pop(0)

    def answer(self, call, connection):
        """Answers a set-up: the call stands."""
        with self.lock:
            self._end_attempt(call)
            self.standing[call] = connection
            self.send(ANSWER, call, (61, b"v=0 answer of " + self.name.encode()), connection=connection)

    def refuse(self, call, connection, cause, note=b""):
        """Ends an attempt with a release."""
        with self.lock:
            self._end_attempt(call)
            self.send(
                RELEASE, call, (58, bytes([cause])), *([(37, note)] if note else []), connection=connection
            )
            self.send_usage()

    def end(self, call, cause=16):
        """Ends a standing call; its release goes on the connection of its set-up, else on any open one."""
        with self.lock:
            connection = self.standing.pop(call)
            sent = self.send(RELEASE, call, (58, bytes([cause])), connection=connection)
            self.releases_to_repeat.append((call, cause))
            self.send_usage()
            return sent

    def close(self):
        self.sock.close()
        for connection in [*self.connections, *self.fillers.values()]:
            with contextlib.suppress(OSError):
                connection.close()


class Caller:
    """A caller with one connection; a thread notes what it receives. `final` and `released` are by call."""

    def __init__(self, record, address, name="caller"):
        self.record, self.name = record, name
        self.sock = socket.create_connection(address, timeout=10)
        self.sock.settimeout(None)
        self.received = []  # (time, object)
        self.ended = False
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        with contextlib.suppress(OSError):
            for line in self.sock.makefile("rb"):
                message = json.loads(line)
                self.received.append((time.monotonic(), message))
                if message["kind"] != "checked":
                    self.record(self.name, "received " + line.decode().strip())
        self.ended = True

    def send(self, **message):
        if message["kind"] != "check":
            self.record(self.name, "sent " + json.dumps(message))
        self.sock.sendall(json.dumps(message).encode() + b"\n")

    def launch(self, uid, dest=1, left=3000, body="v=0 offer", key="7f3a9c21e0b4d655", **extra):
        meta = {
            "class": "rate-quote",
            "left": str(left),
            "tenant": "gaucha-envios",
            "key": key,
            "extras": f"dest:{dest};width:1;via:-1",
            **extra,
        }
        self.send(kind="launch", uid=uid, meta=meta, body=body)

    def check(self):
        """Sends a test; returns whether it passed within 20 s."""
        before = sum(message["kind"] == "checked" for _, message in self.received)
        self.send(kind="check", uid="0" * 16, meta={}, reason=0)
        replies = wait_until(
            lambda: [m for _, m in list(self.received) if m["kind"] == "checked"][before:], "test reply", 20
        )
        return replies[0]["reason"] == 1

    def of(self, uid, kind=None):
        return [
            (at, message)
            for at, message in list(self.received)
            if message["uid"] == uid and kind in (None, message["kind"])
        ]

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def start_platform_program(record, channel, folder, listen=None, settings=None, name="program"):
    """Starts one controller with the channel's present events as `known`; returns it and its address."""
    listen = listen or f"127.0.0.1:{free_port()}"
    config = {
        "name": "n0",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "channel": channel.address,
        "known": channel.known(),
        "settings": settings or SETTINGS,
    }
    path = Path(folder) / f"{name}.json"
    path.write_text(json.dumps(config))
    program = Program(record, {"EDGE_NAME": "n0", "EDGE_LISTEN": listen, "EDGE_CONFIG": str(path)}, name)
    program.wait_log("serving ")
    host, _, port = listen.rpartition(":")
    return program, (host, int(port))


def run_case(folder, play):
    """Plays a case; exit code 1: the rule was broken, 0: it held, 2: the case could not run.

    `play(record, folder, cleanup)` returns the list of what broke the rule; `cleanup` is an ExitStack.
    """
    record = Record(folder)
    record("case", f"trouble={'yes' if TROUBLE else 'no'}")
    code, failed_threads = 2, []

    def thread_failed(failure):
        failed_threads.append(failure.thread.name)
        trace = traceback.format_exception(failure.exc_type, failure.exc_value, failure.exc_traceback)
        record("case", "a stand-in has failed: " + shlex.quote("".join(trace)))

    threading.excepthook = thread_failed
    try:
        with tempfile.TemporaryDirectory() as temporary, contextlib.ExitStack() as cleanup:
            broken = play(record, temporary, cleanup)
            for line in broken:
                record("case", "BROKEN: " + line)
            code = 2 if failed_threads else 1 if broken else 0
    except CannotRun as error:
        record("case", f"could not run: {error}")
    except Exception:
        record("case", "could not run: " + shlex.quote(traceback.format_exc()))
    record("case", {0: "the rule held", 1: "the rule was broken", 2: "no result"}[code])
    print(f"{Path(folder).name}: " + {0: "held", 1: "broken", 2: "no result"}[code], flush=True)
    os._exit(code)


if __name__ == "__main__":
    sys.exit("this module holds stand-ins; a case's run.sh starts its case.py")
