"""A SIP hub as a process of its own; its configuration is the JSON text in the first argument.

It answers, refuses, rings for ever or ignores INVITEs at random, and ends its calls after a while. Calls are
named in the record by the number called. Commands are lines on standard input: from `silent` on it reads and
sends nothing, until `speak`.
"""

import asyncio
import contextlib
import json
import random
import sys

from ..sip_harness import ANSWER, contact_uri
from .events import EventLog
from .sip_endpoint import Endpoint, port_of
from .stand_in import command_lines

T1_S, T2_S = 0.1, 1.0
LONG_CALL_S = 60.0  # outlasts the run: ended by its caller only
TIMEOUT_S = 6.0


class Leg:
    """One INVITE and its call; `state` is ringing, answered, confirmed or over."""

    def __init__(self, hub, request, peer):
        self.hub, self.request, self.peer = hub, request, peer
        self.call = request.start_line.split()[1].partition(":")[2].partition("@")[0]
        self.tag = f"hub{hub.new_number()}"
        self.state = "ringing"
        self.last_response = None
        self.bye_branch = ""
        self.bye_answered = False

    def start(self):
        choice = random.Random(f"{self.hub.config['seed']} {self.call}")
        draw, delay_s = choice.random(), choice.uniform(0.01, 0.15)
        if draw < 0.08:
            return  # no response at all
        self.respond(180 if choice.random() < 0.7 else 100)
        length_s = LONG_CALL_S if choice.random() < 0.3 else choice.uniform(0.3, 2.5)
        if draw < 0.75:
            self.hub.later(delay_s, self.answer, length_s)
        elif draw < 0.90:
            self.hub.later(delay_s, self.refuse, choice.choice([486, 503, 500]))
        # else: rings for ever

    def respond(self, code, body=b""):
        self.last_response = self.hub.response(self.request, code, self.tag, body)
        self.hub.send(self.last_response, self.peer)

    def repeat(self, interval_s, condition, data, until):
        """Sends the data again, at growing intervals, while the condition holds."""
        now = asyncio.get_running_loop().time()
        if condition() and now < until:
            self.hub.send(data, self.peer)
            next_interval_s = min(2 * interval_s, T2_S)
            self.hub.later(interval_s, self.repeat, next_interval_s, condition, data, until)

    def answer(self, length_s):
        if self.state != "ringing":
            return
        self.state = "answered"
        self.hub.log.write("answered", call=self.call)
        self.respond(200, ANSWER)
        until = asyncio.get_running_loop().time() + TIMEOUT_S
        self.hub.later(T1_S, self.repeat_answer, 2 * T1_S, until)
        self.hub.later(length_s, lambda: self.hub.start(self.end()))

    def repeat_answer(self, interval_s, until):
        """Repeats the 200 until its ACK comes; over TCP on a new connection if the INVITE's has ended."""
        self.hub.start(self.restore_peer(self.request.get("Via")))
        self.repeat(interval_s, lambda: self.state == "answered", self.last_response, until)

    async def restore_peer(self, uri):
        """Connects to the address in a URI or a Via if the connection to the peer has ended."""
        if self.hub.transport_name == "TCP" and self.peer.transport.is_closing():
            with contextlib.suppress(OSError):
                self.peer = await self.hub.connect(port_of(uri))

    def refuse(self, code):
        if self.state == "ringing":
            self.state = "over"
            self.hub.log.write("attempt-over", call=self.call, why=str(code))
            self.respond(code)

    async def end(self):
        """Ends the call with a BYE."""
        if self.state not in ("answered", "confirmed"):
            return
        self.state = "over"
        self.hub.log.write("ended", call=self.call, sent=True, on_own_connection=True)
        await self.restore_peer(contact_uri(self.request))
        self.bye_branch = f"z9hG4bKbye{self.tag}"
        lines = [
            f"BYE {contact_uri(self.request)} SIP/2.0",
            self.hub.via(self.bye_branch),
            "Max-Forwards: 70",
            f"From: {self.request.get('To')};tag={self.tag}",
            f"To: {self.request.get('From')}",
            f"Call-ID: {self.request.get('Call-ID')}",
            "CSeq: 1 BYE",
        ]
        until = asyncio.get_running_loop().time() + TIMEOUT_S
        self.repeat(T1_S, lambda: not self.bye_answered, self.hub.whole(lines), until)

    def cancelled(self, request):
        self.hub.send(self.hub.response(request, 200, self.tag), self.peer)
        if self.state == "ringing":
            self.state = "over"
            self.hub.log.write("attempt-over", call=self.call, why="cancelled")
            self.respond(487)

    def bye_received(self, request, peer):
        self.hub.send(self.hub.response(request, 200, self.tag), peer)
        state, self.state = self.state, "over"
        self.hub.log.write("released", call=self.call, state=state)


class Hub(Endpoint):
    """All legs of one hub."""

    def __init__(self, config):
        super().__init__(config["transport"], config["port"])
        self.config = config
        self.log = EventLog(config["log"], config["name"])
        self.legs = {}  # by Call-ID: each attempt has its own
        self.legs_made = 0

    def new_number(self):
        self.legs_made += 1
        return f"{self.config['instance']}n{self.legs_made}"

    async def run(self):
        await self.open()
        self.log.write("serving")
        async for line in command_lines():
            if line == "silent":
                self.silent = True
            else:
                self.speak()

    def received(self, message, peer):
        leg = self.legs.get(message.get("Call-ID"))
        if message.code:
            if leg is not None and message.method == "BYE" and message.code >= 200:
                leg.bye_answered = True
        elif message.method == "INVITE" and leg is None:
            leg = self.legs[message.get("Call-ID")] = Leg(self, message, peer)
            self.log.write("set-up", call=leg.call, second=False)
            leg.start()
        elif message.method == "INVITE":
            if leg.last_response is not None:
                self.send(leg.last_response, peer)
        elif message.method == "ACK":
            if leg is not None and leg.state == "answered":
                leg.state = "confirmed"
        elif leg is None:
            self.send(self.response(message, 481, "none"), peer)
        elif message.method == "CANCEL":
            leg.cancelled(message)
        elif message.method == "BYE":
            leg.bye_received(message, peer)


if __name__ == "__main__":
    asyncio.run(Hub(json.loads(sys.argv[1])).run())
