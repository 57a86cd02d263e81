"""Some callers of the platform's protocol in one process; its configuration is the JSON text in the argument.

Each caller keeps one connection and goes on using it until it ends. Some give calls up early, send in pieces,
come again at once, or reset their connection under an open set-up; one sends nonsense. Lines on standard
input tell where to connect: `{"ports": [...]}`.
"""

import asyncio
import contextlib
import json
import random
import socket
import struct
import sys
import time

from .stand_in import CallerGroup
from .timed_reader import open_timed_connection

CROSSING_S = 0.05  # a set-up that crosses a close by so much is sent again, once
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NONSENSE = (b"\n", b"{}\n", b'{"kind":"launch"}\n', b"\xff\xfe\n", b'{"kind":"launch","uid":"12', b"[" * 3000)


class Caller:
    """One caller: its connection and its calls."""

    def __init__(self, process, number):
        self.process = process
        self.config = process.config
        self.log = process.log
        self.random = random.Random(f"{self.config['seed']} {self.config['name']} {number}")
        self.number = number
        self.calls_made = 0
        self.connection = None  # reader, writer, port
        self.connecting = asyncio.Lock()
        self.writing = asyncio.Lock()  # a line that is written in pieces must stay whole
        self.waiting = {}  # set-ups without an answer on the present connection: uid -> when written, left
        self.resent = set()
        self.standing = process.standing
        self.is_slow = self.random.random() < 0.15

    async def run(self):
        while not self.process.stopping:
            if self.connection is None and not await self.connect():
                await asyncio.sleep(0.05)
                continue
            if not self.waiting and self.random.random() < 0.05:
                self.connection[1].close()
                self.connection = None
                continue
            await self.launch()
            await asyncio.sleep(self.random.expovariate(1 / self.config["gap_s"]))
        # The calls that stand are ended, so that what is left standing afterwards is a fault.
        for uid in list(self.standing):
            await self.hang_up(uid)

    async def connect(self):
        """Opens a connection unless there is one; returns whether there is one now."""
        async with self.connecting:
            return self.connection is not None or await self.open_connection()

    async def open_connection(self):
        if not self.process.ports:
            return False
        port = self.random.choice(self.process.ports)
        try:
            reader, writer = await open_timed_connection("127.0.0.1", port)
        except OSError:
            return False
        self.connection = reader, writer, port
        self.process.start(self.read(reader, writer, port))
        return True

    async def write(self, data):
        """Writes a line, sometimes in pieces; returns whether that was possible."""
        async with self.writing:
            return await self.write_pieces(data)

    async def write_pieces(self, data):
        if self.connection is None:
            return False
        writer = self.connection[1]
        pieces = [data]
        if self.random.random() < 0.1:
            pieces = [data[:7], data[7:40], data[40:]]
        with contextlib.suppress(OSError):
            for piece in pieces:
                if len(pieces) > 1:
                    await asyncio.sleep(0.01)
                if writer.transport.is_closing():
                    return False
                writer.write(piece)
            return True
        return False

    def record(self, kind, uid, **fields):
        return json.dumps({"kind": kind, "uid": uid, "meta": {}, **fields}).encode() + b"\n"

    async def launch(self):
        self.calls_made += 1
        uid = f"{self.config['id']:04x}{self.number:04x}{self.calls_made:08x}"
        deadline_ms = round(self.config["deadline_s"] * 1000)
        left_ms = self.random.choice([deadline_ms, deadline_ms, deadline_ms // 2, 120])
        await self.send_set_up(uid, left_ms)
        if self.random.random() < 0.08:
            delay_s = self.random.uniform(0, left_ms / 2000)
            asyncio.get_running_loop().call_later(delay_s, lambda: self.process.start(self.give_up(uid)))
        elif self.random.random() < 0.01:
            self.reset()

    async def send_set_up(self, uid, left_ms):
        """Writes a set-up; returns whether that was possible."""
        data = self.record(
            "launch",
            uid,
            meta={
                "class": self.config["class"],
                "left": str(left_ms),
                "tenant": self.config["tenant"],
                "key": f"{self.random.randrange(2**32):x}",
                "extras": f"dest:{self.random.choice(self.config['destinations'])};width:1;via:-1",
            },
            body="v=0 offer",
        )
        connection = self.connection
        if not await self.write(data) or self.connection is not connection:
            return False
        self.waiting[uid] = time.monotonic(), left_ms
        self.log.write("launch", call=uid, left_s=left_ms / 1000, port=connection[2])
        return True

    async def give_up(self, uid):
        if self.waiting.pop(uid, None) is not None:
            written = await self.write(self.record("stop", uid, reason=16))
            self.log.write("given-up", call=uid, reset=not written)

    async def hang_up(self, uid):
        """Ends a call that stands, on a connection to any process."""
        while uid in self.standing:
            if self.connection is None and not await self.connect():
                await asyncio.sleep(0.05)
                continue
            if await self.write(self.record("stop", uid, reason=16)):
                self.standing.discard(uid)
                self.log.write("hung-up", call=uid)
            else:
                await asyncio.sleep(0.05)

    def reset(self):
        """Resets the connection under whatever is open on it."""
        if self.connection is None:
            return
        writer = self.connection[1]
        for uid in self.waiting:
            self.log.write("given-up", call=uid, reset=True)
        self.waiting.clear()
        self.connection = None
        with contextlib.suppress(OSError):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    async def read(self, reader, writer, port):
        with contextlib.suppress(OSError, ValueError):
            while True:
                line, arrived_at = await reader.read_timed_line()
                if not line:
                    break
                if not line.endswith(b"\n"):
                    self.log.write("partial", data=line.decode("utf-8", "replace"))
                    break
                if self.is_slow and not self.waiting:
                    await asyncio.sleep(0.02)
                await self.received(json.loads(line), arrived_at)
        if self.connection is not None and self.connection[1] is writer:
            self.connection = None
            await self.closed(port)
        writer.close()

    async def received(self, record, arrived_at):
        uid, kind = record["uid"], record["kind"]
        if kind == "running":
            self.log.write("running", at=arrived_at, call=uid, body=record.get("body", ""))
            if self.waiting.pop(uid, None) is not None:
                self.standing.add(uid)
                loop = asyncio.get_running_loop()
                if self.random.random() < 0.5:
                    loop.call_later(
                        self.random.uniform(0.05, 2.0), lambda: self.process.start(self.hang_up(uid))
                    )
        elif kind == "stop":
            self.log.write("stop", at=arrived_at, call=uid, reason=record.get("reason"))
            self.waiting.pop(uid, None)
            self.standing.discard(uid)

    async def closed(self, port):
        """Notes the set-ups that the end of the connection leaves without an answer."""
        now = time.monotonic()
        waiting, self.waiting = self.waiting, {}
        crossed = all(now - written_at < CROSSING_S for written_at, _ in waiting.values())
        for uid, (written_at, left_ms) in waiting.items():
            if crossed and uid not in self.resent:
                self.resent.add(uid)
                self.log.write("crossed", call=uid)
                self.process.start(self.send_again(uid, left_ms))
            else:
                self.log.write("unanswered", call=uid, port=port, age_s=now - written_at)

    async def send_again(self, uid, left_ms):
        if self.connection is None:
            await self.connect()
        if self.connection is None or not await self.send_set_up(uid, left_ms):
            self.log.write("given-up", call=uid)


class NonsenseCaller(Caller):
    """Sends what no caller should, and closes or resets its connections."""

    async def launch(self):
        data = self.random.choice(NONSENSE)
        await self.write(data)
        await asyncio.sleep(0.05)
        if self.random.random() < 0.5:
            self.reset()

    async def received(self, record, arrived_at):
        pass

    async def hang_up(self, uid):
        pass


class CallerProcess(CallerGroup):
    """All callers of one process."""

    def __init__(self, config):
        super().__init__(config)
        self.standing = set()  # calls of all callers: a release may come on the connection of another one

    async def run(self):
        count = self.config["callers"]
        await super().run([*(Caller(self, number) for number in range(count)), NonsenseCaller(self, count)])


if __name__ == "__main__":
    asyncio.run(CallerProcess(json.loads(sys.argv[1])).run())
