"""The processes of a run: their start, their signals and their commands."""

import contextlib
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from ..platform_harness import ROOT

PORTS = 15_000, 30_000  # below those that the system gives to outgoing connections
START_TIMEOUT_S = 20.0


class Ports:
    """Ports that belong to one run until it ends, whatever else runs on the machine.

    A port may be free while its process is not started yet, or is being replaced; the lock on a file tells
    other runs that it is taken.
    """

    def __init__(self):
        self.folder = Path(tempfile.gettempdir()) / f"chutefork-soak-ports-{os.getuid()}"
        self.folder.mkdir(exist_ok=True)
        self.locks = []  # descriptors

    def free_port(self):
        """A port of loopback that is free, for UDP too, and that no outgoing connection takes meanwhile."""
        while True:
            port = random.randrange(*PORTS)
            if self.reserve(port) and _is_unused(port):
                return port

    def reserve(self, port):
        """Takes a port; False if another run has it."""
        descriptor = os.open(self.folder / str(port), os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        self.locks.append(descriptor)
        return True

    def close(self):
        """Leaves the ports to other runs."""
        while self.locks:
            os.close(self.locks.pop())


def _is_unused(port):
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            for sock in (tcp, udp):
                sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class StandIn:
    """A module of this package that runs as a process, configured by JSON and commanded by lines."""

    def __init__(self, module, config):
        self.config = config
        self.closed = False
        # What it writes on standard error goes beside its record, if it has one.
        with contextlib.ExitStack() as stack:
            log = config.get("log")
            errors = stack.enter_context(open(f"{log}.stderr", "ab")) if log else None
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"tests.soak.{module}", json.dumps(config)],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stderr=errors,
            )

    def own_exit_code(self):
        """The exit code of a process that has ended without being closed; None if it has not."""
        return None if self.closed else self.process.poll()

    def command(self, line):
        """Sends a line, unless the process has been killed."""
        if self.process.poll() is None:
            with contextlib.suppress(BrokenPipeError):
                self.process.stdin.write(line.encode() + b"\n")
                self.process.stdin.flush()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def close(self):
        self.closed = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()
        with contextlib.suppress(BrokenPipeError):
            self.process.stdin.close()


class Node:
    """The program at one address, started again and again; its output goes to a file.

    `environment()` gives the variables of the next start.
    """

    def __init__(self, name, log_path, environment, serving_line):
        self.name = name
        self.log_path = log_path
        self.environment = environment
        self.serving_line = serving_line
        self.process = None
        self.replacing = threading.Lock()  # held while the process is being replaced

    def start(self):
        """Starts the program and waits until it serves."""
        with open(self.log_path, "ab") as output:
            position = output.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "chutefork"],
                cwd=ROOT,
                env={**os.environ, **self.environment()},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if self.serving_line in self.log_path.read_text()[position:]:
                return
            if self.process.poll() is not None:
                break
            time.sleep(0.01)
        raise RuntimeError(f"{self.name} did not start: {self.log_path.read_text()[position:][-500:]}")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_s):
        """The exit code; None if the process has not ended in time."""
        try:
            return self.process.wait(max(timeout_s, 0))
        except subprocess.TimeoutExpired:
            return None

    def resources(self):
        """Resident memory in MiB and open descriptors; None if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                memory_kib = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
            return memory_kib / 1024, len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except (OSError, StopIteration):
            return None

    def close(self):
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()


class Faults:
    """Plays faults in threads of their own; records when each begins and is over."""

    def __init__(self, log):
        self.log = log
        self.threads = []
        self.failures = []

    def at(self, delay_s, kind, play, **fields):
        """Plays `play()` after the delay."""

        def run():
            time.sleep(delay_s)
            self.log.write("fault", kind=kind, **fields)
            try:
                play()
            except Exception as error:
                self.failures.append(f"harness: {kind}: {type(error).__name__}: {error}")
            self.log.write("fault-over", kind=kind, **fields)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.threads.append(thread)

    def join(self):
        for thread in self.threads:
            thread.join()
