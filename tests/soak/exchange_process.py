"""An exchange as a process of its own; its configuration is the JSON text in the first argument.

It answers, refuses, fails or ignores set-ups at random, sends some messages twice, and ends its calls after a
while. What it does with a call depends on the seed and the call alone. Commands are lines on standard input:
from `silent` on it reads and sends nothing, until `speak`; it then goes on connection by connection, in any
order.
"""

import asyncio
import json
import random
import struct
import sys

from .events import EventLog
from .stand_in import StandInTasks, command_lines

SET_UP, ANSWER, RELEASE, STATE, TEST, TEST_PASSED = 1, 9, 12, 43, 52, 53
CAUSE, NOTE, STATE_TEXT, DESCRIPTION = 58, 37, 43, 61  # codes of parameters
CAUSE_ENDED, CAUSE_ERROR, CAUSE_FULL = 16, 17, 34
GROUP_CIRCUITS = 500
COPY_AFTER_S = 0.01
GREETING_DELAY_S = 0.02  # what has waited on a new connection is read first
MAX_SPEAK_DELAY_S = 0.05  # after a silence, until a connection is read again
ENDED_IN_QUEUE_S = 0.3  # a connection that ends so soon had ended before it was accepted, as after a hang
LONG_CALL_S = 60.0  # outlasts the run: ended by its caller only


def encode(kind, call, *values):
    """A frame; `call` is 16 hex digits, each value a parameter's code and bytes."""
    body = b"".join(struct.pack("!BH", code, len(value)) + value for code, value in values)
    return struct.pack("!HBQ", 9 + len(body), kind, int(call, 16)) + body


class ExchangeConnection(asyncio.Protocol):
    """One connection of a call controller."""

    def __init__(self, exchange):
        self.exchange = exchange
        self.buffer = b""
        self.opened_at = asyncio.get_running_loop().time()
        self.sent_releases = []  # frames with ends of calls

    def connection_made(self, transport):
        self.transport = transport
        if self.exchange.silent:
            transport.pause_reading()
        self.exchange.connected(self)

    def data_received(self, data):
        self.buffer += data
        while len(self.buffer) >= 2:
            size = struct.unpack_from("!H", self.buffer)[0]
            if len(self.buffer) < 2 + size:
                return
            kind, call = struct.unpack_from("!BQ", self.buffer, 2)
            self.buffer = self.buffer[2 + size :]
            self.exchange.received(self, kind, f"{call:016x}")

    def connection_lost(self, error):
        self.exchange.disconnected(self)

    def send(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)

    def read_on(self):
        """Goes on reading after a silence."""
        if not self.transport.is_closing():
            self.transport.resume_reading()


class Exchange(StandInTasks):
    """The calls of one exchange."""

    def __init__(self, config):
        super().__init__()
        self.config = config
        self.log = EventLog(config["log"], config["name"])
        self.connections = []  # open ones, oldest first
        self.out = {}  # attempts without an end: call -> connection
        self.standing = {}  # call -> connection of its set-up
        self.last_releases = []  # frames that are repeated on the next connection

    async def run(self):
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ExchangeConnection(self), "127.0.0.1", self.config["port"], reuse_address=True
        )
        async with server:
            async for line in command_lines():
                self.command(line)

    def command(self, name):
        if name == "silent":
            self.silent = True
            for connection in self.connections:
                connection.transport.pause_reading()
        elif name == "speak":
            loop = asyncio.get_running_loop()
            for connection in self.connections:
                loop.call_later(random.uniform(0, MAX_SPEAK_DELAY_S), connection.read_on)
            loop.call_later(MAX_SPEAK_DELAY_S, self.speak)

    def speak(self):
        """Ends the silence once what has waited is read: only then anything is sent."""
        self.silent = False
        for connection in self.connections:
            connection.read_on()

    def connected(self, connection):
        self.connections.append(connection)
        self.later(GREETING_DELAY_S, self.greet, connection)

    def greet(self, connection):
        """Tells the state of the group, and the ends of calls that wait for the next connection."""
        if connection not in self.connections or connection.transport.is_closing():
            return
        text = f"idle:{GROUP_CIRCUITS - len(self.standing)};circuits:{GROUP_CIRCUITS}"
        connection.send(encode(STATE, "0", (STATE_TEXT, text.encode())))
        releases, self.last_releases = self.last_releases, []
        for frame in releases:
            self.send_release(connection, frame)

    def disconnected(self, connection):
        self.connections.remove(connection)
        if asyncio.get_running_loop().time() - connection.opened_at < ENDED_IN_QUEUE_S:
            for frame in connection.sent_releases:
                self.repeat_release(frame)
        for call in [call for call, other in self.out.items() if other is connection]:
            del self.out[call]
            self.log.write("attempt-over", call=call, why="closed")

    def received(self, connection, kind, call):
        if kind == TEST:
            connection.send(encode(TEST_PASSED, call, (CAUSE, b"\1")))
        elif kind == SET_UP:
            self.set_up(connection, call)
        elif kind == RELEASE:
            state = "out" if call in self.out else "standing" if call in self.standing else "unknown"
            self.out.pop(call, None)
            self.standing.pop(call, None)
            self.log.write("released", call=call, state=state)

    def set_up(self, connection, call):
        is_open = call in self.out or call in self.standing
        self.log.write("set-up", call=call, second=is_open)
        if is_open:
            return
        self.out[call] = connection
        choice = random.Random(f"{self.config['seed']} {call}")
        draw, delay_s = choice.random(), choice.uniform(0.005, 0.08)
        if draw < 0.78:
            self.later(delay_s, self.answer, connection, call, choice)
        elif draw < 0.88:
            self.later(delay_s, self.refuse, connection, call, CAUSE_FULL, choice)
        elif draw < 0.94:
            self.later(delay_s, self.refuse, connection, call, CAUSE_ERROR, choice)
        # else: never answered

    def answer(self, connection, call, choice):
        if self.out.get(call) is not connection:
            return
        del self.out[call]
        self.standing[call] = connection
        self.log.write("answered", call=call)
        frame = encode(ANSWER, call, (DESCRIPTION, f"v=0 {call}".encode()))
        self.send_maybe_twice(connection, frame, choice)
        length_s = LONG_CALL_S if choice.random() < 0.3 else choice.uniform(0.3, 2.5)
        self.later(length_s, self.end, call)

    def refuse(self, connection, call, cause, choice):
        if self.out.get(call) is not connection:
            return
        del self.out[call]
        self.log.write("attempt-over", call=call, why=f"cause {cause}")
        values = [(CAUSE, bytes([cause]))]
        if cause == CAUSE_FULL:
            values.append((NOTE, choice.choice([b"atb", b"acc"])))
        self.send_maybe_twice(connection, encode(RELEASE, call, *values), choice)

    def send_maybe_twice(self, connection, frame, choice):
        connection.send(frame)
        if choice.random() < 0.1:
            self.later(COPY_AFTER_S, connection.send, frame)

    def end(self, call):
        connection = self.standing.pop(call, None)
        if connection is None:
            return
        frame = encode(RELEASE, call, (CAUSE, bytes([CAUSE_ENDED])))
        usable = [other for other in self.connections if not other.transport.is_closing()]
        is_own = connection in usable
        if not is_own:
            connection = usable[-1] if usable else None
        self.log.write("ended", call=call, sent=connection is not None, on_own_connection=is_own)
        if connection is not None:
            self.send_release(connection, frame)
        self.last_releases.append(frame)

    def repeat_release(self, frame):
        """Sends the end of a call that went to a connection which had ended before it was accepted."""
        usable = [other for other in self.connections if not other.transport.is_closing()]
        if usable:
            self.send_release(usable[-1], frame)
        else:
            self.last_releases.append(frame)

    @staticmethod
    def send_release(connection, frame):
        """Sends the end of a call."""
        connection.sent_releases.append(frame)
        connection.send(frame)


if __name__ == "__main__":
    asyncio.run(Exchange(json.loads(sys.argv[1])).run())
