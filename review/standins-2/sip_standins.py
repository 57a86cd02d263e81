"""Stand-ins for SIP callers, SIP hubs and Consul: those of the project's tests, with a record."""

import socket
import sys
import threading
import time
from pathlib import Path

from platform_standins import ROOT, CannotRun, Program

sys.path.insert(0, str(ROOT))
from tests import sip_harness  # noqa: E402
from tests.sip_harness import ANSWER, SDP, FakeConsul  # noqa: E402, F401


class Recorded:
    """Notes each message that an endpoint sends and receives."""

    record, name = staticmethod(lambda who, what: None), "endpoint"

    def send(self, data):
        self.record(self.name, "sent " + self.title(data))
        super().send(data)

    def _receive_raw(self, seconds):
        try:
            data = super()._receive_raw(seconds)
        except ConnectionResetError:
            self.record(self.name, "connection reset")
            self.streams = [stream for stream in self.streams if self.is_open(stream)]
            return None
        if data is not None:
            self.record(self.name, "received " + self.title(data))
        return data

    @staticmethod
    def is_open(stream):
        try:
            return bool(stream.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return True
        except OSError:
            return False

    @staticmethod
    def title(data):
        lines = data.partition(b"\r\n\r\n")[0].decode("utf-8", "replace").split("\r\n")
        headers = [line for line in lines[1:] if line.lower().startswith(("cseq:", "call-id:"))]
        return " | ".join([lines[0], *headers])


class Hub(Recorded, sip_harness.SipEndpoint):
    """A SIP hub; `serve` answers calls in a thread until `stop`."""

    def __init__(self, record, name, transport="UDP"):
        super().__init__(transport)
        self.record, self.name = record, name
        self.invites, self.byes, self.legs = [], [], []
        self.stopped = False

    def serve(self):
        def run():
            while not self.stopped:
                try:
                    message = self.receive(0.05)
                except OSError:
                    return
                if message is None or message.code:
                    continue
                if message.method == "INVITE":
                    self.invites.append((time.monotonic(), message))
                    self.reply(message, 100)
                    self.reply(message, 200, ANSWER)
                elif message.method in ("BYE", "CANCEL"):
                    self.byes.append((time.monotonic(), message))
                    self.reply(message, 200)

        threading.Thread(target=run, daemon=True).start()

    def close(self):
        self.stopped = True
        super().close()


class Counter(Recorded, sip_harness.CallerAgent):
    """A caller's user agent."""

    def __init__(self, record, name="caller", transport="UDP"):
        super().__init__(transport)
        self.record, self.name = record, name

    def call(self, number="100", seconds=12.0):
        """Sends an INVITE and returns its final response, acknowledged; None if there is none in time."""
        self.send_invite(number)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            message = self.receive(max(end - time.monotonic(), 0))
            if message is None or message.code < 200 or message.get("CSeq").split()[1] != "INVITE":
                continue
            if message.code < 300:
                self.send_in_dialog("ACK", message)
            else:
                self.ack_error(message)
            return message
        return None


def start_sip_program(record, consul, folder, **replaced):
    """Starts the program with the SIP front alone; returns it and its address.

    The configuration is that of the deploy folder, but for addresses and what `replaced` names.
    """
    text = (ROOT / "deploy" / "sip.toml").read_text(encoding="utf-8")
    for old, new in (
        ("enabled = false", "enabled = true"),
        ("127.0.0.1:5060", "127.0.0.1:0"),
        ("127.0.0.1:8500", f"127.0.0.1:{consul.port}"),
        *replaced.items(),
    ):
        if old not in text:
            raise CannotRun(f"not in deploy/sip.toml: {old}")
        text = text.replace(old, new)
    path = Path(folder) / "sip.toml"
    path.write_text(text, encoding="utf-8")
    program = Program(record, {"CHUTEFORK_SIP": str(path)})
    host, _, port = program.wait_log("serving-sip ").rpartition("listen=")[2].partition(":")
    return program, (host, int(port))
