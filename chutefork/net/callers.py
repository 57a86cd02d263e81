"""The front of the platform's protocol: callers' JSON lines."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from ..core import messages as m
from .connection import LONGEST, Connection, log

if TYPE_CHECKING:
    from ..config import Config
    from .clock import TurnReactor
    from .driver import Driver

UID = re.compile(r"[0-9a-fA-F]{16}\Z")
REFUSED = 42  # the causes of this wire: refused, failed, lines busy, the call's own end, cut
NO_CIRCUIT = 34
FAILED = 41
ENDED = 16
IDLE_US = 60_000_000  # callers close such a connection themselves after 4 s
SWEEP_S = 5.0
MOST_CHECKS = 64
MOST_UNSENT = 10_000


def line_of(kind: str, uid: str, meta: dict | None = None, **more: object) -> bytes:
    record = {"kind": kind, "uid": uid, "meta": meta or {}, **more}
    return json.dumps(record, separators=(",", ":")).encode() + b"\n"


class CallerProtocol(Connection, LineReceiver):
    role = "caller"
    delimiter = b"\n"
    MAX_LENGTH = LONGEST

    def __init__(self, front: CallerFront) -> None:
        self.front = front
        self.clock = front.clock
        self.open: dict[int, str] = {}  # set-ups without their final answer: call -> uid as written
        self.stuck: list[bytes] = []  # releases in the buffer of a peer that takes nothing

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.front.connections[self] = None
        self.front.flush(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        self.taken += 1
        try:
            record = json.loads(line)
            kind, uid = record["kind"], record.get("uid", "")
            if not isinstance(kind, str) or not isinstance(uid, str):
                raise TypeError("kind and uid must be strings")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as fault:
            self.end("bad-line", f"{type(fault).__name__}: {fault}")
            return
        if kind == "check":
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
        if not self.outward:
            self.stuck.clear()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.end("long-line", f"over {LONGEST} bytes")

    def lost(self) -> None:
        self.front.lost(self)


class CallerFront:
    def __init__(self, driver: Driver, config: Config, clock: TurnReactor) -> None:
        self.driver = driver
        self.clock = clock
        self.classes = {name: place for place, name in enumerate(config.class_names)}
        self.tenants = {name: place for place, name in enumerate(config.tenant_names)}
        self.widths = [item.width_circuits for item in config.settings.classes]
        self.connections: dict[CallerProtocol, None] = {}  # in the order of their making
        self.owed: dict[int, CallerProtocol] = {}  # set-ups: where the final answer goes
        self.standing: dict[int, tuple[CallerProtocol, str]] = {}
        self.unsent: list[bytes] = []  # releases for which no connection was open
        self.bodies: dict[int, tuple[str, str, str]] = {}  # class, number and description as given
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
        busy = {place[0] for place in self.standing.values()}
        for connection in list(self.connections):
            if (not connection.open and connection not in busy
                    and self.clock.now_us() - connection.used_at > IDLE_US):
                connection.end("idle")
        self.clock.callLater(SWEEP_S, self.sweep)

    def launch(self, connection: CallerProtocol, call: int, uid: str, record: dict) -> None:
        if call in self.owed or call in self.standing:
            return  # a second set-up of one id: the first is the one that is answered
        try:
            arrival, passed = self.read(call, record)
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as fault:
            log(f"bad-setup uid={uid} peer={connection.peer} detail={str(fault)[:120]!r}")
            connection.push(line_of("stop", uid, reason=FAILED))
            return
        self.owed[call] = connection
        connection.open[call] = uid
        self.bodies[call] = passed
        self.driver.tell(arrival)

    def read(self, call: int, record: dict) -> tuple[m.Arrival, tuple[str, str, str]]:
        meta, body = record.get("meta"), record.get("body", "")
        if not isinstance(meta, dict) or not isinstance(body, str):
            raise TypeError("meta must be an object and body a string")
        extras = dict(part.split(":", 1) for part in str(meta.get("extras", "")).split(";") if ":" in part)
        name = str(meta["class"])
        if name not in self.classes:
            raise ValueError(f"class {name!r} is not in the settings")
        place = self.classes[name]
        left_ms = float(meta["left"])
        if not 0 <= left_ms <= 86_400_000:
            raise ValueError(f"left {left_ms!r} is out of range")
        key = str(meta.get("key", ""))
        called = int(key, 16) if re.fullmatch(r"[0-9a-fA-F]{1,16}", key) else 0
        arrival = m.Arrival(
            call, place, float(extras.get("width", self.widths[place])), int(left_ms * 1000),
            self.tenants.get(str(meta.get("tenant", "")), 0), called, int(float(extras["dest"])),
            extras.get("transit") == "1", extras.get("again") == "1", False,
            int(float(extras.get("via", -1))))
        body.encode()  # a lone surrogate can be read as JSON and sent by nobody
        if not 0 < arrival.width < 1e6:
            raise ValueError(f"width {arrival.width!r} is out of range")
        return arrival, (name, key, body)

    def stop(self, call: int) -> None:
        """A set-up given up, or a call that stands hung up; on whichever connection it comes."""
        connection = self.owed.pop(call, None)
        if connection is not None:
            connection.open.pop(call, None)
        if connection is not None or self.standing.pop(call, None) is not None:
            self.bodies.pop(call, None)
            self.driver.tell(m.Withdrawn(call))

    def lost(self, connection: CallerProtocol) -> None:
        self.connections.pop(connection, None)
        for call in list(connection.open):
            self.stop(call)
        stuck, connection.stuck = connection.stuck, []
        for data in stuck:  # guards the end of calls against a caller's connection that took nothing more
            self.release(data, None)

    # ---- effects

    def settle(self, call: int) -> tuple[CallerProtocol, str] | None:
        connection = self.owed.pop(call, None)
        if connection is None:
            return None
        return connection, connection.open.pop(call)

    def answer(self, effect: m.Answer) -> None:
        place = self.settle(effect.call)
        self.bodies.pop(effect.call, None)
        if place is None:
            return
        data = line_of("running", place[1], body=effect.description)
        if len(data) > LONGEST:
            log(f"long-answer uid={place[1]} bytes={len(data)}")
            place[0].push(line_of("stop", place[1], reason=FAILED))
        elif place[0].push(data):
            self.standing[effect.call] = place
            return
        self.driver.later(m.Withdrawn(effect.call))

    def refuse(self, effect: m.Refuse) -> None:
        place = self.settle(effect.call)
        self.bodies.pop(effect.call, None)
        if place is not None:
            meta = {"wait": str(effect.wait_us // 1000)} if effect.wait_us > 0 else {}
            cause = NO_CIRCUIT if effect.why is m.Why.BUSY else REFUSED
            place[0].push(line_of("stop", place[1], meta, reason=cause))

    def fail(self, effect: m.Fail) -> None:
        place = self.settle(effect.call)
        self.bodies.pop(effect.call, None)
        if place is not None:
            place[0].push(line_of("stop", place[1], reason=FAILED))

    def over(self, effect: m.Over) -> None:
        """On the set-up's own connection, else on any open one, else on the next that is made."""
        connection, uid = self.standing.pop(effect.call, (None, f"{effect.call:016x}"))
        self.release(line_of("stop", uid, reason=FAILED if effect.cut else ENDED), connection)

    def release(self, data: bytes, connection: CallerProtocol | None) -> None:
        for candidate in (connection, *reversed(self.connections)):
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
