"""The caller side of the platform's protocol: callers' JSON lines."""

from __future__ import annotations

import json
import re
from dataclasses import replace
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from ..core import messages
from .caller_releases import CallerReleases
from .closing import finish_connections
from .connection import MAX_MESSAGE_BYTES, Connection, log
from .setups import SetupParser, SetupTexts
from .token_bucket import TokenBucket

if TYPE_CHECKING:
    from ..config import Config
    from .clock import CachedClockReactor
    from .driver import Driver

UID = re.compile(r"[0-9a-fA-F]{16}\Z")
# Cause numbers of this protocol
CAUSE_REFUSED = 42  # refused for any other reason than that of 34, such as all lines of the number busy
CAUSE_NO_CIRCUIT = 34  # FailureCause.UNAVAILABLE, or refused by a limit in this module
CAUSE_FAILED = 41  # also for an established call that was cut
CAUSE_ENDED = 16  # the call's normal end
RELEASE_ARRIVES_WITHIN_US = 1_000_000  # a reset of the connection after that came after the release
RESET_CODES = ("peer-reset", "io-error")
IDLE_TIMEOUT_US = 5_000_000  # callers close an idle connection themselves after 4 s
# Without a usable message by then the connection is closed: a peer must get an answer or a close within 3 s.
UNUSED_TIMEOUT_US = 2_000_000
IDLE_CHECK_INTERVAL_S = 0.5
MAX_LINES_PER_ITERATION = 16  # of one connection, in one event-loop iteration
BAD_SETUP_PAUSE_S = 0.25  # reading from a connection pauses for so long after an unusable set-up
MAX_BAD_SETUPS = 8  # on one connection
MAX_UNANSWERED_PER_CONNECTION = 512  # set-ups
# Of the file descriptors; the rest is for exchanges, the command channel and the program itself.
CALLER_SOCKETS_SHARE = 3 / 4
OUTPUT_MEMORY_SHARE = 1 / 4  # of the memory, for output queued to callers
MAX_UNANSWERED_PER_MB = 50  # set-ups on all connections, per megabyte of memory
DESCRIPTION_MEMORY_SHARE = 1 / 8  # of the memory, for the descriptions of unanswered set-ups
MAX_WAITING_CHECKS = 64  # health checks that come before the program is ready
# At the start, how long set-ups wait for the command channel to confirm the list of exchanges. Without it a
# set-up could go to an exchange whose drain was announced just before the start.
MAX_LIST_WAIT_S = 1.0
# A set-up with less time left than this does not wait: its answer could come too late.
MIN_TIME_LEFT_TO_WAIT_US = round((MAX_LIST_WAIT_S + 0.1) * 1e6)
MAX_UNKNOWN_RELEASES_PER_S = 1000  # callers' releases of unknown calls, on all connections
MAX_UNKNOWN_RELEASE_PAUSE_S = 0.25  # of reading from a connection, at a time


def encode_line(kind: str, uid: str, meta: dict | None = None, **fields: object) -> bytes:
    """A record of the callers' protocol as a JSON line; `fields` go to its top level."""
    record = {"kind": kind, "uid": uid, "meta": meta or {}, **fields}
    return json.dumps(record, separators=(",", ":")).encode() + b"\n"


class CallerProtocol(Connection, LineReceiver):
    """One connection of a caller; reads its lines and limits what it can use of the program."""

    role = "caller"
    delimiter = b"\n"
    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, frontend: CallerFrontend) -> None:
        self.frontend = frontend
        self.clock = frontend.clock
        self.unanswered: dict[int, str] = {}  # set-ups without a final answer: call -> uid as written
        # those of them not yet passed to the core: call -> set-up, when it was received
        self.undispatched: dict[int, tuple[messages.Arrival, int]] = {}
        self.used = False  # a usable message has come
        self.setups_received = 0  # usable ones, whatever their answer
        self.calls_carried = 0  # calls established for this connection
        self.bad_setups = 0
        self.counted_at = self.lines_counted = 0  # event-loop iteration, and the lines received in it
        # by call; queued while the peer does not read, sent elsewhere if the connection is lost
        self.buffered_releases: dict[int, bytes] = {}
        # by call: when sent, data; sent again elsewhere if the connection is reset under them. Oldest first.
        self.recent_releases: dict[int, tuple[int, bytes]] = {}
        self.last_line_at = 0

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.last_line_at = self.opened_at
        self.frontend.connections[self] = None
        self.frontend.limit_connections()

    def process_input(self) -> None:
        super().process_input()
        self.dispatch()

    def has_unread_input(self) -> bool:
        """Whether input is unprocessed; also True while reading is paused, unless after unusable set-ups."""
        return self.paused and not self.bad_setups or super().has_unread_input()

    def dispatch(self) -> None:
        """Passes set-ups to the core once all input that arrived with them is processed.

        Many are withdrawn in the same input, and those are then never sent to an exchange. At the start
        set-ups also wait until the list of exchanges is confirmed. Those of a caller that has closed the
        connection meanwhile are given up: nobody would get the answer.
        """
        if self.undispatched and not self.processing_input and self.peer_has_closed():
            for call in list(self.undispatched):
                self.frontend.withdraw(call)
        while (
            self.undispatched
            and self.frontend.list_confirmed
            and not self.processing_input
            and not self.end_code
        ):
            arrival, received_at = self.undispatched.pop(next(iter(self.undispatched)))
            waited_us = self.clock.now_us() - received_at
            if waited_us:
                arrival = replace(arrival, time_left_us=max(arrival.time_left_us - waited_us, 0))
            self.frontend.driver.post(arrival)

    def send(self, data: bytes) -> bool:
        if (
            len(self.output_buffer) + len(data) > self.frontend.output_share
            and self.frontend.buffered_bytes() > self.frontend.output_limit
        ):
            # Limits the memory taken by output for peers that do not read: once the limit for all of them
            # is exceeded, each connection beyond its own share is closed.
            self.close("out-overflow", "output queued for all callers exceeds its memory limit", at_once=True)
        return super().send(data)

    def close(self, code: str, detail: str = "", at_once: bool = False) -> None:
        """Closes the connection as `Connection.close` does, after failing the set-ups open on it."""
        if not at_once and not self.end_code:
            for call, uid in list(self.unanswered.items()):
                self.send(encode_line("stop", uid, reason=CAUSE_FAILED))
                self.frontend.withdraw(call)
        super().close(code, detail, at_once)

    def reject_bad_setup(self, uid: str) -> None:
        """Answers an unusable set-up with a failure.

        So that a peer that keeps sending them cannot occupy the event loop, reading from it pauses after
        each, and after MAX_BAD_SETUPS its connection is closed.
        """
        self.bad_setups += 1
        self.send(encode_line("stop", uid, reason=CAUSE_FAILED))
        if self.bad_setups >= MAX_BAD_SETUPS:
            self.close("bad-setups", f"{self.bad_setups} unusable set-ups")
        else:
            self.pause_reading(BAD_SETUP_PAUSE_S)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        self.messages_received += 1
        now = self.clock.now_us()
        self.lines_counted = self.lines_counted + 1 if self.counted_at == now else 1
        self.counted_at = now
        if self.lines_counted >= MAX_LINES_PER_ITERATION:
            # Prevents a flood on one connection from delaying the others.
            self.pause_reading(0)
        try:
            record = json.loads(line)
            kind, uid = record["kind"], record.get("uid", "")
            if not isinstance(kind, str) or not isinstance(uid, str):
                raise TypeError("kind and uid must be strings")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as exc:
            self.close("bad-line", f"{type(exc).__name__}: {exc}")
            return
        self.last_line_at = now
        if kind == "check":
            self.used = True
            self.frontend.check(self, uid)
            self.frontend.releases.check_received(self)
            return
        if kind == "stopped" and UID.match(uid):
            self.frontend.releases.acknowledged(int(uid, 16))
            self.recent_releases.pop(int(uid, 16), None)
        if kind not in ("launch", "stop"):
            return  # progress and kinds of later versions need no action
        if not UID.match(uid):
            self.close("bad-line", "uid is not 16 hex digits")
        elif kind == "launch" and self.finish_code:
            return  # it has crossed the end of the connection: the caller sends it again on another one
        elif kind == "launch":
            self.frontend.launch(self, int(uid, 16), uid, record)
        else:
            self.frontend.release_received(self, int(uid, 16))

    def release_sent(self, call: int, data: bytes) -> None:
        """Remembers the release of a call until it has surely arrived."""
        now = self.clock.now_us()
        if self.write_blocked:
            self.buffered_releases[call] = data
        self.recent_releases[call] = now, data
        for sent, (sent_at, _) in list(self.recent_releases.items()):
            if sent_at > now - RELEASE_ARRIVES_WITHIN_US:
                break
            del self.recent_releases[sent]

    def undelivered_releases(self) -> dict[int, bytes]:
        """By call: the releases that the connection, which has ended, may not have delivered."""
        undelivered = dict(self.buffered_releases)
        if self.end_code in RESET_CODES:
            earliest = self.clock.now_us() - RELEASE_ARRIVES_WITHIN_US
            undelivered.update(
                (call, data) for call, (sent_at, data) in self.recent_releases.items() if sent_at > earliest
            )
        return undelivered

    def resumeProducing(self) -> None:  # noqa: N802
        super().resumeProducing()
        if not self.output_buffer:
            self.buffered_releases.clear()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.close("long-line", f"over {MAX_MESSAGE_BYTES} bytes")

    def on_closed(self) -> None:
        self.frontend.connection_lost(self)

    def discard_partial_message(self) -> None:
        self.clearLineBuffer()


class CallerFrontend:
    """All callers' connections.

    Accepts set-ups within the limits of memory and descriptors, and sends each its final answer and each
    established call its end.
    """

    def __init__(self, driver: Driver, config: Config, clock: CachedClockReactor) -> None:
        self.driver = driver
        self.clock = clock
        self.parser = SetupParser(config)
        self.max_connections = max(round(config.max_sockets * CALLER_SOCKETS_SHARE), 1)
        self.output_limit = round(config.memory_mb * 2**20 * OUTPUT_MEMORY_SHARE)  # bytes, all connections
        self.output_share = self.output_limit // self.max_connections  # bytes, one connection
        self.connections: dict[CallerProtocol, None] = {}  # oldest first
        self.unanswered: dict[int, CallerProtocol] = {}  # set-ups: call -> where the final answer goes
        self.established: dict[int, tuple[CallerProtocol, str]] = {}  # call -> connection, uid
        self.releases = CallerReleases(self.connections)
        self.unknown_releases = TokenBucket(MAX_UNKNOWN_RELEASES_PER_S, MAX_UNKNOWN_RELEASES_PER_S)
        self.setup_texts: dict[int, SetupTexts] = {}  # by call, of those without a final answer
        self.description_room = round(config.memory_mb * 2**20 * DESCRIPTION_MEMORY_SHARE)  # bytes left
        self.max_unanswered = round(config.memory_mb * MAX_UNANSWERED_PER_MB)
        wait_ms = round(config.settings.max_hold_off_s * 1000) if config.settings.hold_off_allowed else 0
        self.overload_meta = {"wait": str(wait_ms)} if wait_ms else {}  # for refusals by the limits here
        self.eviction_scheduled_at = 0  # event-loop iteration that scheduled the pending eviction; 0: none
        self.exchanges_tried = False  # a connection to each listed exchange has been tried
        self.list_confirmed = False  # by the command channel, or the wait for it is over
        self.shutting_down = False
        self.refuses_setups = False  # all of them, at the end of a shutdown
        self.waiting_checks: list[tuple[CallerProtocol, str]] = []  # received before the program was ready
        self.factory = Factory.forProtocol(lambda: CallerProtocol(self))
        self.factory.noisy = False

    def check(self, connection: CallerProtocol, uid: str) -> None:
        """Answers a health check.

        Waits with the answer until the list of exchanges is confirmed and a connection to each of them has
        been tried.
        """
        if self.exchanges_tried and self.list_confirmed:
            connection.send(encode_line("checked", uid, reason=0 if self.shutting_down else 1))
        elif len(self.waiting_checks) < MAX_WAITING_CHECKS:
            self.waiting_checks.append((connection, uid))

    def finish_connections(self) -> None:
        """Refuses the set-ups that have arrived and are unread, and sends nothing after that."""
        self.refuses_setups = True
        finish_connections(self.connections)

    def start(self) -> None:
        """Starts the wait for the list of exchanges and the checks for idle connections."""
        self.clock.callLater(MAX_LIST_WAIT_S, self.end_list_wait)
        self.close_idle_connections()

    def end_list_wait(self) -> None:
        if not self.list_confirmed:
            log(f"note list of exchanges not confirmed by the channel in {MAX_LIST_WAIT_S * 1000:.0f} ms")
            self.confirm_list()

    def confirm_list(self) -> None:
        """Passes the set-ups that have waited for this to the core; does nothing after the first call."""
        if self.list_confirmed:
            return
        self.list_confirmed = True
        for connection in list(self.connections):
            connection.dispatch()
        self.answer_waiting_checks()

    def on_exchanges_tried(self) -> None:
        """Notes that a connection to each listed exchange has been tried."""
        self.exchanges_tried = True
        self.answer_waiting_checks()

    def answer_waiting_checks(self) -> None:
        """Answers the waiting health checks if the program is ready; else they wait on."""
        checks, self.waiting_checks = self.waiting_checks, []
        for connection, uid in checks:
            self.check(connection, uid)

    def close_idle_connections(self) -> None:
        """Closes unused and idle connections, now and every IDLE_CHECK_INTERVAL_S.

        Otherwise callers that vanish without closing theirs would hold descriptors indefinitely.
        """
        # `busy`: connections with established calls
        now, busy = self.clock.now_us(), {pair[0] for pair in self.established.values()}
        for connection in list(self.connections):
            if connection.unanswered or connection.end_code:
                continue
            if not connection.used and now - connection.opened_at > UNUSED_TIMEOUT_US:
                connection.close("unused")
            elif (
                connection not in busy
                and not connection.has_unread_input()
                and now - connection.last_line_at
                > (IDLE_TIMEOUT_US if connection.calls_carried else UNUSED_TIMEOUT_US)
            ):
                connection.close("idle")
        self.clock.callLater(IDLE_CHECK_INTERVAL_S, self.close_idle_connections)

    def buffered_bytes(self) -> int:
        return sum(len(connection.output_buffer) for connection in self.connections)

    def limit_connections(self) -> None:
        """Schedules an eviction if there are too many connections.

        There is one for all that were accepted in an event-loop iteration, since each eviction looks at every
        connection, which costs time in a flood.
        """
        if not self.eviction_scheduled_at and self.num_open() > self.max_connections:
            self.eviction_scheduled_at = self.clock.now_us()
            self.clock.callLater(0, self.evict_connections)

    def num_open(self) -> int:
        return sum(not connection.end_code for connection in self.connections)

    def evict_connections(self) -> None:
        """Closes connections over the limit, so that hundreds at once cannot use up the descriptors.

        Connections without an unanswered set-up are closed, the least important first: those that have sent
        nothing usable, then those with nothing but checks and refused set-ups, then those without established
        calls; the longest idle first in each case. Connections that have sent something usable are closed in
        order, not aborted: their last answer may still be on its way. Connections with unread input and those
        just accepted are spared, since in a flood the loop is late and a set-up in that input would be lost.
        Where there are no others, the newest of those are closed, again the unused ones first.
        """
        eviction_scheduled_at, self.eviction_scheduled_at = self.eviction_scheduled_at, 0
        # `busy`: connections with established calls
        excess, busy = self.num_open() - self.max_connections, {pair[0] for pair in self.established.values()}
        idle = sorted(
            (
                connection
                for connection in self.connections
                if not (connection.unanswered or connection.end_code)
            ),
            key=lambda connection: (
                connection.used,
                connection.calls_carried > 0,
                connection in busy,
                connection.last_line_at,
            ),
        )
        spared = []
        for connection in idle:
            if excess <= 0:
                return
            if connection.opened_at == eviction_scheduled_at or connection.has_unread_input():
                spared.append(connection)
                continue
            connection.close("crowded", at_once=not connection.used)
            excess -= 1
        spared.sort(key=lambda connection: (connection.used, -connection.opened_at))
        for connection in spared[: max(excess, 0)]:
            connection.close("crowded", at_once=not connection.used)

    def launch(self, connection: CallerProtocol, call: int, uid: str, record: dict) -> None:
        """Accepts a set-up, or answers it here: as failed if it is unusable, as refused over the limits."""
        try:
            arrival, texts = self.parser.parse(call, record)
            owner = self.unanswered.get(call) or self.established.get(call, (None,))[0]
            if owner is connection and self.setup_texts.get(call) == texts:
                return  # a duplicate of an unanswered set-up: the first one gets the answer
            if owner is connection:
                # The caller could not tell the answers to the two apart, or an answer from a release: an
                # unanswered one gets none.
                if call in self.unanswered:
                    self.withdraw(call)
                connection.close("id-reused", f"uid {uid}")
                return
            if owner is not None:
                raise ValueError("uid is in use by an open call")
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as exc:
            if not connection.bad_setups:
                log(f"bad-setup uid={uid} peer={connection.peer} detail={str(exc)[:120]!r}")
            connection.reject_bad_setup(uid)
            return
        connection.used = True
        connection.setups_received += 1
        self.releases.setup_received(connection)
        if self.refuses_setups:
            connection.send(encode_line("stop", uid, reason=CAUSE_REFUSED))
            return
        if self.over_limits(connection, texts) or self.list_wait_too_long(arrival):
            connection.send(encode_line("stop", uid, self.overload_meta, reason=CAUSE_NO_CIRCUIT))
            return
        self.unanswered[call] = connection
        connection.unanswered[call] = uid
        self.setup_texts[call] = texts
        self.description_room -= len(texts.description)
        connection.undispatched[call] = arrival, self.clock.now_us()
        connection.dispatch()

    def over_limits(self, connection: CallerProtocol, texts: SetupTexts) -> bool:
        """Whether one more set-up with these texts would take more memory than set-ups may."""
        return (
            len(connection.unanswered) >= MAX_UNANSWERED_PER_CONNECTION
            or len(self.unanswered) >= self.max_unanswered
            or len(texts.description) > self.description_room
        )

    def list_wait_too_long(self, arrival: messages.Arrival) -> bool:
        """Whether the caller may stop waiting before the wait for the list of exchanges is over."""
        return not self.list_confirmed and arrival.time_left_us < MIN_TIME_LEFT_TO_WAIT_US

    def withdraw(self, call: int) -> None:
        """Withdraws a set-up or hangs up an established call; the request may come on any connection."""
        connection = self.unanswered.pop(call, None)
        if connection is not None:
            connection.unanswered.pop(call, None)
            connection.used = True
            self.discard_texts(call)
            if connection.undispatched.pop(call, None) is not None:
                return
        if connection is not None or self.established.pop(call, None) is not None:
            self.driver.post(messages.Withdrawn(call))

    def release_received(self, connection: CallerProtocol, call: int) -> None:
        """Handles a caller's release of a set-up or of a call, also of a call from before a restart.

        Each release of an unknown call goes to all exchanges. So that a peer that keeps sending them cannot
        flood these, reading from it pauses once they come faster than MAX_UNKNOWN_RELEASES_PER_S.
        """
        if call in self.unanswered or call in self.established:
            self.withdraw(call)
            return
        wait_s = self.unknown_releases.take(self.clock.seconds())
        if wait_s > 0:
            connection.pause_reading(min(wait_s, MAX_UNKNOWN_RELEASE_PAUSE_S))
        self.driver.post(messages.UnknownCallReleased(call))

    def connection_lost(self, connection: CallerProtocol) -> None:
        self.connections.pop(connection, None)
        for call in list(connection.unanswered):
            self.withdraw(call)
        # The ends of calls must not be lost with a connection whose peer had stopped reading, or was reset.
        for call, data in connection.undelivered_releases().items():
            self.releases.send(call, data, None)

    def discard_texts(self, call: int) -> None:
        texts = self.setup_texts.pop(call, None)
        self.description_room += len(texts.description) if texts is not None else 0

    # ---- effects

    def take_unanswered(self, call: int) -> tuple[CallerProtocol, str] | None:
        """Removes a set-up that is answered now; returns its connection and uid, None if it was withdrawn."""
        self.discard_texts(call)
        connection = self.unanswered.pop(call, None)
        if connection is None:
            return None
        return connection, connection.unanswered.pop(call)

    def answer(self, effect: messages.Answer) -> None:
        origin = self.take_unanswered(effect.call)
        if origin is None:
            return
        data = encode_line("running", origin[1], body=effect.description)
        if len(data) > MAX_MESSAGE_BYTES:
            log(f"long-answer uid={origin[1]} bytes={len(data)}")
            origin[0].send(encode_line("stop", origin[1], reason=CAUSE_FAILED))
        elif not origin[0].peer_has_closed() and origin[0].send(data):
            self.established[effect.call] = origin
            origin[0].calls_carried += 1
            return
        self.driver.post_later(messages.Withdrawn(effect.call))

    def refuse(self, effect: messages.Refuse) -> None:
        origin = self.take_unanswered(effect.call)
        if origin is not None:
            meta = {"wait": str(effect.retry_after_us // 1000)} if effect.retry_after_us > 0 else {}
            cause = CAUSE_NO_CIRCUIT if effect.cause is messages.FailureCause.UNAVAILABLE else CAUSE_REFUSED
            origin[0].send(encode_line("stop", origin[1], meta, reason=cause))

    def fail(self, effect: messages.Fail) -> None:
        origin = self.take_unanswered(effect.call)
        if origin is not None:
            origin[0].send(encode_line("stop", origin[1], reason=CAUSE_FAILED))

    def call_ended(self, effect: messages.CallEnded) -> None:
        """Sends the end of an established call.

        It goes on the connection of the call's set-up if that is open, else on another; see `CallerReleases`.
        """
        connection, uid = self.established.pop(effect.call, (None, f"{effect.call:016x}"))
        data = encode_line("stop", uid, reason=CAUSE_FAILED if effect.cut else CAUSE_ENDED)
        self.releases.send(effect.call, data, connection)
