"""Some SIP callers in one process; its configuration is the JSON text in the first argument.

Each caller goes on using its connection until it ends. Some cancel early or send nonsense. Lines on standard
input tell where to send: `{"ports": [...]}`. Calls are named in the record by the number called.
"""

import asyncio
import json
import random
import sys

from ..sip_harness import SDP, contact_uri
from .sip_endpoint import Endpoint, port_of
from .stand_in import CallerGroup

T1_S, T2_S = 0.2, 1.0
TIMEOUT_S = 8.0
NONSENSE = (
    b"\r\n\r\n",
    b"INVITE\r\n\r\n",
    b"BYE sip:x SIP/2.0\r\nVia: x\r\n\r\n",
    b"\xff" * 40 + b"\r\n\r\n",
)


class Call:
    """One call, from its INVITE to its end; `state` is calling, proceeding, refused, standing or over."""

    def __init__(self, caller, number):
        self.caller, self.number = caller, number
        self.call_id = f"soak-{number}"
        self.tag = f"c{number}"
        self.state = "calling"
        self.sent_again = False
        self.answer = None
        self.sequence = 1
        self.bye_answered = False

    def request(self, method, uri, to, branch, body=b"", sequence=None):
        return self.caller.whole(
            [
                f"{method} {uri} SIP/2.0",
                self.caller.via(branch),
                "Max-Forwards: 70",
                f"From: <sip:counter@127.0.0.1>;tag={self.tag}",
                f"To: {to}",
                f"Call-ID: {self.call_id}",
                f"CSeq: {sequence or self.sequence} {method}",
                self.caller.contact("me"),
            ],
            body,
        )

    @property
    def branch(self):
        return f"z9hG4bK{self.number}{'again' if self.sent_again else ''}"

    @property
    def uri(self):
        return f"sip:{self.number}@127.0.0.1"

    def invite(self):
        self.peer = self.caller.peer
        self.sent_at = asyncio.get_running_loop().time()
        data = self.request("INVITE", self.uri, f"<{self.uri}>", self.branch, SDP)
        self.caller.log.write(
            "launch", call=self.number, left_s=self.caller.config["deadline_s"], port=self.caller.peer_port
        )
        self.repeat(T1_S, lambda: self.state == "calling", data, self.sent_at + TIMEOUT_S)

    def repeat(self, interval_s, condition, data, until):
        """Sends the data now and, over UDP, again at growing intervals while the condition holds."""
        loop = asyncio.get_running_loop()
        if not condition() or loop.time() > until:
            return
        self.caller.send(data, self.peer)
        if self.caller.transport_name == "UDP":
            next_interval_s = min(2 * interval_s, T2_S)
            loop.call_later(interval_s, self.repeat, next_interval_s, condition, data, until)

    def cancel(self):
        if self.state == "proceeding":
            self.caller.log.write("given-up", call=self.number)
            self.caller.send(self.request("CANCEL", self.uri, f"<{self.uri}>", self.branch), self.peer)

    def response_received(self, response, peer):
        if response.method == "BYE" and response.code >= 200:
            self.bye_answered = True
        elif response.method == "INVITE" and response.code < 200:
            if self.state == "calling":
                self.state = "proceeding"
                self.caller.log.write("proceeding", call=self.number)
        elif response.method == "INVITE" and response.code < 300:
            self.answered(response)
        elif response.method == "INVITE":
            self.refused(response)

    def answered(self, response):
        if self.state in ("calling", "proceeding"):
            self.state, self.answer = "standing", response
            self.caller.log.write("running", call=self.number, body=f"v=0 {self.number}")
            loop = asyncio.get_running_loop()
            if self.caller.random.random() < 0.5 or self.caller.process.stopping:
                delay_s = self.caller.random.uniform(0.05, 2.0)
                loop.call_later(delay_s, lambda: self.caller.process.start(self.hang_up()))
        elif self.answer is None:
            self.caller.log.write("running", call=self.number, body=f"v=0 {self.number}")
        uri = contact_uri(response)
        branch = f"z9hG4bKack{self.number}"
        self.caller.send(self.request("ACK", uri, response.get("To"), branch, sequence=1), self.peer)

    def refused(self, response):
        if self.state in ("calling", "proceeding"):
            self.state = "refused"
            self.caller.log.write("stop", call=self.number, reason=response.code)
        elif self.state != "refused":
            self.caller.log.write("stop", call=self.number, reason=response.code)
        self.caller.send(
            self.request("ACK", self.uri, response.get("To"), self.branch, sequence=1), self.peer
        )

    async def hang_up(self):
        if self.state != "standing":
            return
        self.state = "over"
        self.caller.log.write("hung-up", call=self.number)
        self.sequence += 1
        uri = contact_uri(self.answer)
        data = self.request("BYE", uri, self.answer.get("To"), f"z9hG4bKbye{self.number}")
        until = asyncio.get_running_loop().time() + TIMEOUT_S
        if self.caller.transport_name == "UDP":
            self.repeat(T1_S, lambda: not self.bye_answered, data, until)
            return
        while not self.bye_answered and asyncio.get_running_loop().time() < until:
            try:
                if self.peer.transport.is_closing():
                    self.peer = await self.caller.connect(port_of(uri))
                self.caller.send(data, self.peer)
            except OSError:
                pass
            await asyncio.sleep(2 * T1_S)

    def bye_received(self, request, peer):
        if self.answer is None:
            self.caller.send(self.caller.response(request, 481, self.tag), peer)
            return
        self.caller.send(self.caller.response(request, 200, self.tag), peer)
        self.state = "over"
        self.caller.log.write("stop", call=self.number, reason="BYE")


class SipCaller(Endpoint):
    """One caller: its port or connection, and its calls."""

    def __init__(self, process, number):
        super().__init__(process.config["transport"], 0)
        self.process, self.config, self.log = process, process.config, process.log
        self.random = random.Random(f"{self.config['seed']} {self.config['name']} {number}")
        self.prefix = f"1{self.config['id']:02}{number:02}"
        self.calls = {}  # by Call-ID
        self.peer, self.peer_port = None, 0

    async def run(self):
        await self.open()
        while not self.process.stopping:
            if await self.choose_peer():
                self.launch()
            await asyncio.sleep(self.random.expovariate(1 / self.config["gap_s"]))
        for call in list(self.calls.values()):
            self.process.start(call.hang_up())
        await asyncio.Event().wait()

    async def choose_peer(self):
        """Keeps the connection while it is open, over UDP while its process accepts; else takes another."""
        ports = self.process.ports
        if self.peer is not None and self.transport_name == "TCP":
            return True
        if self.peer is not None and self.peer_port in ports and self.random.random() < 0.95:
            return True
        if not ports:
            return False
        port = self.random.choice(ports)
        try:
            self.peer, self.peer_port = await self.connect(port), port
        except OSError:
            self.peer = None
        return self.peer is not None

    def launch(self):
        if self.random.random() < 0.03:
            self.process.start(self.send_nonsense())
            return
        number = f"{self.prefix}{len(self.calls):06}"
        call = Call(self, number)
        self.calls[call.call_id] = call
        call.invite()
        if self.random.random() < 0.08:
            asyncio.get_running_loop().call_later(self.random.uniform(0.05, 0.5), call.cancel)

    async def send_nonsense(self):
        """Sends what no caller should, on a connection of its own."""
        try:
            peer = await self.connect(self.peer_port)
        except OSError:
            return
        self.send(self.random.choice(NONSENSE), peer)

    def received(self, message, peer):
        call = self.calls.get(message.get("Call-ID"))
        if call is None:
            return
        if message.code:
            call.response_received(message, peer)
        elif message.method == "BYE":
            call.bye_received(message, peer)

    def closed(self, stream):
        """Sends INVITEs that have had no response again, once; other responses may come on a connection."""
        if stream is self.peer:
            self.peer = None
        for call in self.calls.values():
            if getattr(call, "peer", None) is stream and call.state == "calling" and not call.sent_again:
                call.sent_again = True
                self.log.write("crossed", call=call.number)
                self.process.start(self.send_again(call))

    async def send_again(self, call):
        while not await self.choose_peer():
            await asyncio.sleep(0.05)
        call.invite()


class CallerProcess(CallerGroup):
    """All callers of one process."""

    async def run(self):
        await super().run([SipCaller(self, number) for number in range(self.config["callers"])])


if __name__ == "__main__":
    asyncio.run(CallerProcess(json.loads(sys.argv[1])).run())
