"""The legs of the platform's protocol: binary frames to and from the exchanges."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import error
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import Int16StringReceiver

from ..core import messages
from ..interface import Outcome, Reason
from .connection import CONTROL_CHARACTERS, MAX_MESSAGE_BYTES, Connection, log

if TYPE_CHECKING:
    from .callers import CallerFront
    from .clock import TurnReactor
    from .driver import Driver

SETUP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, PASSED = 1, 6, 9, 12, 16, 43, 52, 53
HARMLESS = {PROGRESS, HEARD, PASSED}
CLASS, LEFT, NUMBER, NOTE, WAIT, GROUP, CAUSE, DESCRIPTION = 16, 19, 28, 37, 40, 43, 58, 61
GIVEN_UP = 16

OUTCOMES = {
    34: Outcome.REJECTED,
    17: Outcome.ERROR,
    47: Outcome.ERROR,
    102: Outcome.NOT_SENT,
    41: Outcome.CUT,
    16: Outcome.OK,
}
REASONS = {
    "atb": Reason.NO_CIRCUIT,
    "rtb": Reason.REJECTED_BY_TANDEM,
    "racc": Reason.DESTINATION_PROCESSOR_FULL,
    "acc": Reason.PROCESSOR_FULL,
    "sub": Reason.LINES_BUSY,
}
WATCH_S = 0.025  # how often the silence of the links is looked at
GONE_US = 6_000_000  # unreached and unheard for so long: what stood there is over
OWED_US = 60_000  # no less than this is silence where an answer is owed
QUIET_GAPS = 40  # where none has been heard yet, or calls only stand, so many mean gaps between frames are
QUIET_US = (150_000, 1_500_000)  # but no less than this, and no more
LEARNT = 16  # answers over which their time and its spread are smoothed
IDLE_SHARE = 0.9  # of the time after which exchanges close idle connections
MOST_RELEASES = 10_000
RETRY_US = (50_000, 200_000, 500_000, 1_000_000)  # gaps between tries to connect


def frame_of(kind: int, call: int, parameters: list[tuple[int, bytes]]) -> bytes:
    body = b"".join(struct.pack("!BH", code, len(value)) + value for code, value in parameters)
    return struct.pack("!HBQ", 9 + len(body), kind, call) + body


def release_of(call: int) -> bytes:
    return frame_of(RELEASE, call, [(CAUSE, bytes([GIVEN_UP]))])


def read_frame(data: bytes) -> tuple[int, int, dict[int, bytes]]:
    if len(data) < 9:
        raise ValueError(f"a message of {len(data)} bytes")
    kind, call = struct.unpack_from("!BQ", data)
    at, parameters = 9, {}
    while at < len(data):
        if at + 3 > len(data):
            raise ValueError("a parameter is cut off")
        code, length = struct.unpack_from("!BH", data, at)
        at += 3
        if at + length > len(data):
            raise ValueError(f"parameter {code} is cut off")
        parameters[code] = data[at : at + length]
        at += length
    return kind, call, parameters


class ExchangeProtocol(Connection, Int16StringReceiver):
    role = "exchange"
    MAX_LENGTH = MAX_MESSAGE_BYTES
    heard_at = wrote_at = 0
    gap_us = 0.0  # smoothed, between frames
    seen_mute = False

    def __init__(self, link: ExchangeLink) -> None:
        self.link = link
        self.clock = link.clock
        self.open: dict[int, int] = {}  # set-ups sent here whose end has not been heard: call -> when sent
        self.peer = f"{link.hub.name}@{link.hub.address}"

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.heard_at = self.made_at
        self.link.made(self)

    def mute(self, now: int) -> bool:
        """Longer without a frame than a sound connection ever is while something is owed on it. A set-up that
        was overdue when the last frame came is lost by itself: it proves nothing of the connection."""
        (least, most), again = QUIET_US, min(self.link.silences, 5)
        by_gaps_us = round(self.gap_us * QUIET_GAPS) if self.taken > QUIET_GAPS else most
        by_gaps_us = min(max(by_gaps_us, least), most)
        patience_us = (min(self.link.answers_within_us(), most) or by_gaps_us) << again
        first = next((at for at in self.open.values() if at + patience_us > self.heard_at), None)
        if first is None and not self.link.legs.stands_at(self.link.hub.name):
            return False
        if first is None:
            first, patience_us = 0, by_gaps_us << again
        return now - max(first, self.heard_at) > patience_us

    def resumeProducing(self) -> None:  # noqa: N802
        super().resumeProducing()
        self.link.flush()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        if self.code:
            return
        self.taken += 1
        now = self.clock.now_us()
        self.gap_us += (now - self.heard_at - self.gap_us) / min(self.taken, 50)
        self.heard_at = self.link.heard_at = now
        try:
            kind, call, parameters = read_frame(string)
            self.link.heard(kind, call, parameters)
        except (ValueError, OverflowError, struct.error) as fault:
            self.end("bad-frame", str(fault))

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.end("long-frame", f"{length} bytes")

    def lost(self) -> None:
        self.link.lost(self)


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, link: ExchangeLink) -> None:
        self.link = link

    def buildProtocol(self, addr: object) -> ExchangeProtocol:  # noqa: N802
        return ExchangeProtocol(self.link)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self.link.failed(reason)


class ExchangeLink:
    """One exchange: its connection, the set-ups out there, and what waits to be sent."""

    def __init__(self, legs: ExchangeLegs, hub: messages.Hub) -> None:
        self.legs = legs
        self.clock = legs.clock
        self.hub = hub
        self.sends = True
        self.wanted = True
        self.connection: ExchangeProtocol | None = None
        self.connecting = False
        self.tries = 0
        self.retry = None
        # waiting for the connection: call -> set-up, since
        self.queue: dict[int, tuple[messages.SetUp, int]] = {}
        self.releases: list[bytes] = []
        self.heard_at = self.clock.now_us()
        self.silences = 0  # connections in a row that were mute: the exchange itself may be
        self.answer_us = self.spread_us = 0.0  # how long answers take, and how much that varies

    def connect(self) -> None:
        self.retry = None
        if self.connecting or self.connection is not None or not self.wanted:
            return
        host, _, port = self.hub.address.rpartition(":")
        self.connecting = True
        self.address = self.hub.address
        self.clock.connectTCP(host, int(port), _Connector(self), timeout=self.legs.connect_timeout_s)

    def made(self, connection: ExchangeProtocol) -> None:
        self.connecting, self.tries, self.connection = False, 0, connection
        self.legs.tried()
        if not self.wanted or self.address != self.hub.address:
            connection.end("let-go")
            return
        for data in self.releases:
            connection.push(data)
        self.releases.clear()
        self.flush()

    def flush(self) -> None:
        """Set-ups wait here, not in a connection's buffer: a drain can still take them back."""
        while self.queue and self.connection is not None and not self.connection.held:
            call = next(iter(self.queue))
            self.send(*self.queue.pop(call))

    def failed(self, reason: object) -> None:
        """Nothing ran of what waited for this connection; a refusal is proof that no process is there."""
        self.connecting = False
        refused = reason.check(error.ConnectionRefusedError) is not None
        if not self.tries or self.queue:
            log(
                f"end role=exchange peer={self.hub.name}@{self.hub.address}"
                f" code={'refused' if refused else 'unreached'} age_ms=0 in=0 out=0"
            )
        self.tries += 1
        self.legs.tried()
        waiting, self.queue = self.queue, {}
        if self.wanted and self.connection is None:
            gap_us = RETRY_US[min(self.tries, len(RETRY_US)) - 1]
            self.retry = self.clock.callLater(gap_us / 1e6, self.connect)
        for call in waiting:
            self.legs.driver.tell(messages.AttemptEnded(call, self.hub.name, Outcome.UNREACHABLE))
        gone = refused or self.clock.now_us() - self.heard_at > GONE_US
        if refused:
            self.releases.clear()  # nothing stands at a process that is not there
        if gone:  # a machine that sends nothing cannot tell of the ends of its calls: their callers are told
            self.legs.driver.tell(messages.HubDown(self.hub.name))

    def lost(self, connection: ExchangeProtocol) -> None:
        if self.connection is connection:
            self.connection = None
            if self.wanted and self.retry is None and not self.connecting:
                self.retry = self.clock.callLater(RETRY_US[0] / 1e6, self.connect)
        ended, connection.open = connection.open, {}
        # one connection that broke says nothing of the exchange; mute on a fresh one too, it does not answer
        outcome = Outcome.TIMEOUT if connection.code == "silent" and self.silences > 1 else Outcome.CUT
        for call in ended:
            # guards against a call that stands there all the same, its answer spoilt or lost on the way
            self.release_later(release_of(call))
            self.legs.driver.tell(messages.AttemptEnded(call, self.hub.name, outcome))

    def watch(self, now: int) -> None:
        """Guards against a connection that stays open and is of no use any more: an answer broke off there,
        or the machine is gone. What is open on it is settled at once; the next one tells whether anybody
        is there. Seen mute twice, so that what has arrived meanwhile is read first."""
        connection = self.connection
        if connection is None or not self.sends:
            # an exchange that drains has little to tell, and takes no new connection for what stands there
            return
        was_mute, connection.seen_mute = connection.seen_mute, connection.mute(now)
        if was_mute and connection.seen_mute:
            self.silences += 1
            quiet_ms, within_ms = (now - connection.heard_at) // 1000, self.answers_within_us() // 1000
            connection.end(
                "silent",
                f"for {quiet_ms} ms, {len(connection.open)} set-ups open, answers within" f" {within_ms} ms",
                at_once=True,
            )

    def let_go(self, code: str) -> None:
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        if self.connection is not None:
            self.connection.end(code)

    def renew(self) -> None:
        """Guards against a set-up that crosses the exchange's close of an idle connection: it would be reset,
        and the call held back for the release wait."""
        old = self.connection
        quiet_us = self.clock.now_us() - max(old.heard_at, old.wrote_at)
        if quiet_us > IDLE_SHARE * self.legs.idle_close_s * 1e6 and not old.open:
            self.connection = None
            old.end("renewed")

    def set_up(self, effect: messages.SetUp) -> None:
        self.queue[effect.call] = effect, self.clock.now_us()
        if self.connection is not None:
            self.renew()
        if self.connection is not None:
            self.flush()
            return
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        self.connect()

    def send(self, effect: messages.SetUp, since: int) -> None:
        left_us = effect.timeout_us - (self.clock.now_us() - since)
        name, key, body = self.legs.front.bodies.get(effect.call, ("", "", ""))
        data = frame_of(
            SETUP,
            effect.call,
            [
                (CLASS, name.encode()),
                (LEFT, str(max(left_us // 1000, 1)).encode()),
                (NUMBER, key.encode()),
                (DESCRIPTION, body.encode()),
            ],
        )
        if self.connection is None or not self.connection.push(data):
            self.legs.driver.later(messages.AttemptEnded(effect.call, self.hub.name, Outcome.NOT_SENT))
            return
        self.connection.wrote_at = self.connection.open[effect.call] = self.clock.now_us()

    def release(self, effect: messages.Release) -> None:
        if self.queue.pop(effect.call, None) is not None:
            return
        data = release_of(effect.call)
        if self.connection is None or not self.connection.push(data):
            self.release_later(data)
        if self.connection is not None:
            self.connection.open.pop(effect.call, None)

    def release_later(self, data: bytes) -> None:
        if len(self.releases) < MOST_RELEASES:
            self.releases.append(data)

    def settled(self, call: int, stands: bool = False) -> None:
        self.silences = 0
        sent_at = self.connection.open.pop(call, None)
        if stands and sent_at is not None:
            took_us = self.clock.now_us() - sent_at
            if not self.answer_us:
                self.answer_us, self.spread_us = took_us, took_us / 2
            self.spread_us += (abs(took_us - self.answer_us) - self.spread_us) / LEARNT
            self.answer_us += (took_us - self.answer_us) / LEARNT

    def answers_within_us(self) -> int:
        """As a retransmission timer reckons it; 0 where no answer has been heard yet."""
        return max(round(self.answer_us + 4 * self.spread_us), OWED_US) if self.answer_us else 0

    def heard(self, kind: int, call: int, parameters: dict[int, bytes]) -> None:
        tell, name = self.legs.driver.tell, self.hub.name
        if kind == ANSWER:
            if call not in self.connection.open:
                # guards the link, and all that is open on it, against extra answers beside the good ones: a
                # second copy, a late one, one under an id that nobody asked for; whatever it holds is dropped
                tell(messages.UnmatchedAnswer(call, name))
                return
            description = parameters.get(DESCRIPTION, b"").decode("utf-8")
            if not description or CONTROL_CHARACTERS.search(
                description
            ):  # guards callers against a spoilt answer
                raise ValueError("an answer whose description is no text")
            self.settled(call, stands=True)
            tell(messages.CallEstablished(call, name, description))
        elif kind == RELEASE:
            cause = parameters.get(CAUSE, b"")
            if len(cause) != 1:
                raise ValueError("a release without its cause")
            note, wait = parameters.get(NOTE, b"").decode("ascii", "replace"), parameters.get(WAIT)
            wait_us = int(float(wait) * 1000) if wait else None
            self.settled(call)
            tell(
                messages.AttemptEnded(
                    call, name, OUTCOMES.get(cause[0], Outcome.ERROR), REASONS.get(note, Reason.NONE), wait_us
                )
            )
        elif kind == STATE:
            text = parameters.get(GROUP, b"").decode("ascii", "replace")
            figures = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
            if "idle" in figures and "circuits" in figures:
                free, size = float(figures["idle"]), float(figures["circuits"])
                if not (math.isfinite(free) and 0 <= size < math.inf):
                    raise ValueError(f"state of a group {text[:40]!r}")
                tell(messages.GroupStateReported(name, free, size))
        elif kind not in HARMLESS:
            # guards against a spoilt frame taken for a novelty: nothing more came on such connections
            raise ValueError(f"a message of type {kind}")


class ExchangeLegs:
    def __init__(
        self,
        driver: Driver,
        front: CallerFront,
        clock: TurnReactor,
        connect_timeout_s: float,
        idle_close_s: float,
    ) -> None:
        self.driver = driver
        self.front = front
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.idle_close_s = idle_close_s
        self.links: dict[str, ExchangeLink] = {}
        self.all_tried: Callable[[], None] | None = None  # once, when every link has been up or has failed

    def watch(self) -> None:
        for link in list(self.links.values()):
            link.watch(self.clock.now_us())
        self.clock.callLater(WATCH_S, self.watch)

    def stands_at(self, hub: str) -> bool:
        entry = self.driver.state.hubs.get(hub)
        return entry is not None and bool(entry.standing)

    def tried(self) -> None:
        waiting = any(item.connection is None and not item.tries for item in self.links.values())
        if self.links and not waiting and self.all_tried is not None:
            self.all_tried()
            self.all_tried = None

    def reach(self, effect: messages.UpdateHubConnection) -> None:
        link = self.links.get(effect.hub.name)
        if link is None:
            if not effect.keep_connection:
                return
            link = self.links[effect.hub.name] = ExchangeLink(self, effect.hub)
        moved = link.hub.address != effect.hub.address
        link.hub, link.wanted, link.sends = effect.hub, effect.keep_connection, effect.accepts_setups
        if moved and link.connection is not None:
            link.connection.end("moved")
            link.connection = None
        if not effect.accepts_setups:
            waiting, link.queue = link.queue, {}
            for call in waiting:  # guards the drain: what waits for a connection would go out late
                self.driver.later(messages.AttemptEnded(call, link.hub.name, Outcome.NOT_SENT))
        if effect.keep_connection:
            if link.retry is None:
                link.connect()
            return
        del self.links[effect.hub.name]
        link.let_go("let-go")

    def leave(self) -> None:
        for link in self.links.values():
            link.wanted = False
            link.let_go("leaving")
        self.links.clear()

    def set_up(self, effect: messages.SetUp) -> None:
        link = self.links.get(effect.hub)
        if link is None or not link.sends:
            self.driver.later(messages.AttemptEnded(effect.call, effect.hub, Outcome.NOT_SENT))
        else:
            link.set_up(effect)

    def release(self, effect: messages.Release) -> None:
        link = self.links.get(effect.hub)
        if link is not None:
            link.release(effect)
