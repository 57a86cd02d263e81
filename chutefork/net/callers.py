"""The front of the platform's protocol: callers' JSON lines."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from ..core import messages
from .connection import CONTROL_CHARACTERS, MAX_MESSAGE_BYTES, Connection, log

if TYPE_CHECKING:
    from ..config import Config
    from .clock import TurnReactor
    from .driver import Driver

UID = re.compile(r"[0-9a-fA-F]{16}\Z")
REFUSED = 42  # the causes of this wire: refused, failed, lines busy, the call's own end, cut
NO_CIRCUIT = 34
FAILED = 41
ENDED = 16
IDLE_US = 5_000_000  # callers close such a connection themselves after 4 s
UNUSED_US = 2_000_000  # nothing usable by then: whoever connected is owed a word or a close within 3 s
SWEEP_S = 0.5
TURN = 16  # lines of one connection in one turn of the loop
BAD_REST_S = 0.25  # after a set-up that cannot be taken its connection is not read for so long
MOST_BAD = 8  # such set-ups on one connection
MOST_OPEN = 512  # set-ups without an answer, on one connection
CALLERS_SHARE = 3 / 4  # of the descriptors; the rest is for exchanges, the command channel and the program
BUFFERS_SHARE = 1 / 4  # of the memory, for what waits to go out to callers
LEFT_SLACK = 1.1  # a caller's time over the longest deadline of the settings
OWED_PER_MB = 50  # set-ups without an answer, on all connections, a megabyte of the memory
BODIES_SHARE = 1 / 8  # of the memory, for their descriptions
FRAME_ROOM = 64  # what a set-up takes in a frame beside its texts
MOST_CHECKS = 64
MOST_UNSENT = 10_000


def line_of(kind: str, uid: str, meta: dict | None = None, **more: object) -> bytes:
    record = {"kind": kind, "uid": uid, "meta": meta or {}, **more}
    return json.dumps(record, separators=(",", ":")).encode() + b"\n"


class CallerProtocol(Connection, LineReceiver):
    role = "caller"
    delimiter = b"\n"
    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, front: CallerFront) -> None:
        self.front = front
        self.clock = front.clock
        self.open: dict[int, str] = {}  # set-ups without their final answer: call -> uid as written
        self.waiting: dict[int, messages.Arrival] = {}  # those of them that the core has not been told of yet
        self.proven = False  # something usable has come
        self.stood = 0  # calls that stood for it
        self.bad = 0  # set-ups that could not be taken
        self.turn_at = self.turn = 0  # lines taken in the present turn
        self.stuck: list[bytes] = []  # releases in the buffer of a peer that takes nothing

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.acted_at = self.made_at
        self.front.connections[self] = None
        self.front.crowd()

    def process_input(self) -> None:
        super().process_input()
        self.dispatch()

    def unread(self) -> bool:
        return self.paused and not self.bad or super().unread()

    def dispatch(self) -> None:
        """Set-ups go on once what came with them is read: many that are taken back at once never leave."""
        while self.waiting and not self.processing_input and not self.code:
            self.front.driver.tell(self.waiting.pop(next(iter(self.waiting))))

    def push(self, data: bytes) -> bool:
        if (
            len(self.output_buffer) + len(data) > self.front.share
            and self.front.buffered() > self.front.budget
        ):
            # guards the memory against many who take nothing: each beyond its share goes once all is in use
            self.end("out-overflow", "memory for callers", at_once=True)
        return super().push(data)

    def struck(self, uid: str) -> None:
        """Guards the loop against a peer that sends what cannot be taken, again and again: it has its answer,
        and is read on after a rest; in the end its connection is closed."""
        self.bad += 1
        self.push(line_of("stop", uid, reason=FAILED))
        if self.bad >= MOST_BAD:
            self.end("bad-setups", f"{self.bad} set-ups that cannot be taken")
        else:
            self.pause_reading(BAD_REST_S)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        self.taken += 1
        now = self.clock.now_us()
        self.turn = self.turn + 1 if self.turn_at == now else 1
        self.turn_at = now
        if self.turn >= TURN:  # guards the turns of the others against a flood on one connection
            self.pause_reading(0)
        try:
            record = json.loads(line)
            kind, uid = record["kind"], record.get("uid", "")
            if not isinstance(kind, str) or not isinstance(uid, str):
                raise TypeError("kind and uid must be strings")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as fault:
            self.end("bad-line", f"{type(fault).__name__}: {fault}")
            return
        self.acted_at = now
        if kind == "check":
            self.proven = True
            self.front.check(self, uid)
            return
        if kind not in ("launch", "stop"):
            return  # progress, release heard and whatever a later day adds mean nothing here
        if not UID.match(uid):
            self.end("bad-line", "uid is not 16 hex digits")
        elif kind == "launch":
            self.front.launch(self, int(uid, 16), uid, record)
        else:
            self.front.stop(int(uid, 16))

    def resumeProducing(self) -> None:  # noqa: N802
        super().resumeProducing()
        if not self.output_buffer:
            self.stuck.clear()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.end("long-line", f"over {MAX_MESSAGE_BYTES} bytes")

    def lost(self) -> None:
        self.front.lost(self)


class CallerFront:
    def __init__(self, driver: Driver, config: Config, clock: TurnReactor) -> None:
        self.driver = driver
        self.clock = clock
        self.classes = {name: place for place, name in enumerate(config.class_names)}
        self.tenants = {name: place for place, name in enumerate(config.tenant_names)}
        self.widths = [item.width_circuits for item in config.settings.classes]
        self.most = max(round(config.sockets * CALLERS_SHARE), 1)
        self.budget = round(config.memory_mb * 2**20 * BUFFERS_SHARE)
        self.share = self.budget // self.most
        self.longest_ms = config.deadline_s * 1000 * LEFT_SLACK
        self.connections: dict[CallerProtocol, None] = {}  # in the order of their making
        self.owed: dict[int, CallerProtocol] = {}  # set-ups: where the final answer goes
        self.standing: dict[int, tuple[CallerProtocol, str]] = {}
        self.unsent: list[bytes] = []  # releases for which no connection was open
        self.bodies: dict[int, tuple[str, str, str]] = {}  # class, number and description as given
        self.body_room = round(config.memory_mb * 2**20 * BODIES_SHARE)
        self.most_owed = round(config.memory_mb * OWED_PER_MB)
        hint_ms = round(config.settings.max_hold_off_s * 1000) if config.settings.hold_off_allowed else 0
        self.hint = {"wait": str(hint_ms)} if hint_ms else {}  # where a caller has too many set-ups open
        self.crowded_at = 0  # room is about to be made for what came in that turn
        self.ready = False
        self.leaving = False
        self.checks: list[tuple[CallerProtocol, str]] = []  # asked before this program was ready
        self.factory = Factory.forProtocol(lambda: CallerProtocol(self))
        self.factory.noisy = False

    def check(self, connection: CallerProtocol, uid: str) -> None:
        """Answered only once the list of exchanges is known and each of them has been tried."""
        if self.ready:
            connection.push(line_of("checked", uid, reason=0 if self.leaving else 1))
        elif len(self.checks) < MOST_CHECKS:
            self.checks.append((connection, uid))

    def be_ready(self) -> None:
        self.ready = True
        checks, self.checks = self.checks, []
        for connection, uid in checks:
            self.check(connection, uid)

    def sweep(self) -> None:
        """Guards against callers that vanish without a word: their descriptors would be held for ever."""
        now, busy = self.clock.now_us(), {place[0] for place in self.standing.values()}
        for connection in list(self.connections):
            if connection.open or connection.code:
                continue
            if not connection.proven and now - connection.made_at > UNUSED_US:
                connection.end("unused")
            elif (
                connection not in busy
                and not connection.unread()
                and now - connection.acted_at > (IDLE_US if connection.stood else UNUSED_US)
            ):
                connection.end("idle")
        self.clock.callLater(SWEEP_S, self.sweep)

    def buffered(self) -> int:
        return sum(len(item.output_buffer) for item in self.connections)

    def crowd(self) -> None:
        """Room is made once for all that came in a turn: in a flood each look at all of them costs time."""
        if not self.crowded_at and self.live() > self.most:
            self.crowded_at = self.clock.now_us()
            self.clock.callLater(0, self.make_room)

    def live(self) -> int:
        return sum(not item.code for item in self.connections)

    def make_room(self) -> None:
        """Guards the descriptors against connections by the hundred: of those with no set-up open the ones go
        that matter least: nothing usable has come, then nothing but tests and refused set-ups, then the
        longest idle. What has carried a call ends in order: its last answer may still be on its way. Guards
        what lies unread, too, and what has just come: in a flood the loop is late, and a set-up in there
        would be lost. Where there is nothing else, the newest goes."""
        crowded_at, self.crowded_at = self.crowded_at, 0
        over, busy = self.live() - self.most, {place[0] for place in self.standing.values()}
        idle = sorted(
            (item for item in self.connections if not (item.open or item.code)),
            key=lambda item: (item.proven, item.stood > 0, item in busy, item.acted_at),
        )
        kept = []
        for item in idle:
            if over <= 0:
                return
            if item.made_at == crowded_at or item.unread():
                kept.append(item)
                continue
            item.end("crowded", at_once=not item.proven)
            over -= 1
        kept.sort(key=lambda item: (item.proven, -item.made_at))
        for item in kept[: max(over, 0)]:
            item.end("crowded", at_once=not item.proven)

    def launch(self, connection: CallerProtocol, call: int, uid: str, record: dict) -> None:
        try:
            arrival, passed = self.read(call, record)
            first = self.owed.get(call) or self.standing.get(call, (None,))[0]
            if first is connection and self.bodies.get(call) == passed:
                return  # the same once more: the first is the one that is answered
            if first is connection:
                # one answer could not be told from the other's, nor from a release: both end here
                connection.end("id-reused", f"uid {uid}")
                return
            if first is not None:
                raise ValueError("the id is that of an open call")
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as fault:
            if not connection.bad:
                log(f"bad-setup uid={uid} peer={connection.peer} detail={str(fault)[:120]!r}")
            connection.struck(uid)
            return
        connection.proven = True
        if self.unsent:
            self.flush(connection)
        if (
            len(connection.open) >= MOST_OPEN
            or len(self.owed) >= self.most_owed
            or len(passed[2]) > self.body_room
        ):  # guards the memory against set-ups by the thousand
            connection.push(line_of("stop", uid, self.hint, reason=NO_CIRCUIT))
            return
        self.owed[call] = connection
        connection.open[call] = uid
        self.bodies[call] = passed
        self.body_room -= len(passed[2])
        connection.waiting[call] = arrival
        connection.dispatch()

    def read(self, call: int, record: dict) -> tuple[messages.Arrival, tuple[str, str, str]]:
        meta, body = record.get("meta"), record.get("body", "")
        if not isinstance(meta, dict) or not isinstance(body, str):
            raise TypeError("meta must be an object and body a string")
        extras = dict(part.split(":", 1) for part in str(meta.get("extras", "")).split(";") if ":" in part)
        name = str(meta["class"])
        if name not in self.classes:
            raise ValueError(f"class {name!r} is not in the settings")
        place = self.classes[name]
        left_ms = float(meta["left"])
        if not 0 <= left_ms <= self.longest_ms:
            raise ValueError(f"left {left_ms!r} is out of range")
        tenant = str(meta.get("tenant", ""))
        if tenant not in self.tenants and (tenant or self.tenants):
            raise ValueError(f"tenant {tenant!r} is not in the settings")
        key = str(meta.get("key", ""))
        if not re.fullmatch(r"[0-9a-fA-F]{1,16}", key):
            raise ValueError(f"key {key[:20]!r} is not a number called")
        arrival = messages.Arrival(
            call,
            place,
            float(extras.get("width", self.widths[place])),
            int(left_ms * 1000),
            self.tenants.get(tenant, 0),
            int(key, 16),
            int(float(extras["dest"])),
            extras.get("transit") == "1",
            extras.get("again") == "1",
            False,
            int(float(extras.get("via", -1))),
        )
        body.encode()  # a lone surrogate can be read as JSON and sent by nobody
        if arrival.width_circuits != self.widths[place]:
            raise ValueError(f"width {arrival.width_circuits!r} is not the class's")
        if arrival.destination < 0 or arrival.advice < -1:
            raise ValueError("an exchange's number is out of range")
        # guards the calls of others: an exchange closes its connection on a set-up that it cannot read
        if not body or CONTROL_CHARACTERS.search(body):
            raise ValueError("no description, or no text")
        if len(name) + len(key) + len(body.encode()) + FRAME_ROOM > MAX_MESSAGE_BYTES:
            raise ValueError("too long for an exchange")
        return arrival, (name, key, body)

    def stop(self, call: int) -> None:
        """A set-up given up, or a call that stands hung up; on whichever connection it comes."""
        connection = self.owed.pop(call, None)
        if connection is not None:
            connection.open.pop(call, None)
            connection.proven = True
            self.forget(call)
            if connection.waiting.pop(call, None) is not None:
                return
        if connection is not None or self.standing.pop(call, None) is not None:
            self.driver.tell(messages.Withdrawn(call))

    def lost(self, connection: CallerProtocol) -> None:
        self.connections.pop(connection, None)
        for call in list(connection.open):
            self.stop(call)
        stuck, connection.stuck = connection.stuck, []
        for data in stuck:  # guards the end of calls against a caller's connection that took nothing more
            self.release(data, None)

    def forget(self, call: int) -> None:
        passed = self.bodies.pop(call, None)
        self.body_room += len(passed[2]) if passed is not None else 0

    # ---- effects

    def settle(self, call: int) -> tuple[CallerProtocol, str] | None:
        self.forget(call)
        connection = self.owed.pop(call, None)
        if connection is None:
            return None
        return connection, connection.open.pop(call)

    def answer(self, effect: messages.Answer) -> None:
        place = self.settle(effect.call)
        if place is None:
            return
        data = line_of("running", place[1], body=effect.description)
        if len(data) > MAX_MESSAGE_BYTES:
            log(f"long-answer uid={place[1]} bytes={len(data)}")
            place[0].push(line_of("stop", place[1], reason=FAILED))
        elif place[0].push(data):
            self.standing[effect.call] = place
            place[0].stood += 1
            return
        self.driver.later(messages.Withdrawn(effect.call))

    def refuse(self, effect: messages.Refuse) -> None:
        place = self.settle(effect.call)
        if place is not None:
            meta = {"wait": str(effect.retry_after_us // 1000)} if effect.retry_after_us > 0 else {}
            cause = NO_CIRCUIT if effect.cause is messages.FailureCause.UNAVAILABLE else REFUSED
            place[0].push(line_of("stop", place[1], meta, reason=cause))

    def fail(self, effect: messages.Fail) -> None:
        place = self.settle(effect.call)
        if place is not None:
            place[0].push(line_of("stop", place[1], reason=FAILED))

    def over(self, effect: messages.CallEnded) -> None:
        """On the set-up's own connection, else on the one that has carried most calls, else on the next that
        brings a set-up: who only connects may be nobody's caller."""
        connection, uid = self.standing.pop(effect.call, (None, f"{effect.call:016x}"))
        self.release(line_of("stop", uid, reason=FAILED if effect.cut else ENDED), connection)

    def release(self, data: bytes, connection: CallerProtocol | None) -> None:
        used = sorted((item for item in self.connections if item.stood), key=lambda item: -item.stood)
        for candidate in (connection, *used):
            if candidate in self.connections and candidate.push(data):
                if candidate.held:
                    candidate.stuck.append(data)
                return
        if len(self.unsent) < MOST_UNSENT:
            self.unsent.append(data)

    def flush(self, connection: CallerProtocol) -> None:
        waiting, self.unsent = self.unsent, []
        for data in waiting:
            connection.push(data)
