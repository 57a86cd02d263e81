"""One exchange: its connection, the set-ups pending there, and what waits to be sent to it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from twisted.internet import error
from twisted.internet.interfaces import IConnector
from twisted.internet.protocol import ClientFactory

from ..core import messages
from ..interface import Outcome, Reason
from .connection import CONTROL_CHARACTERS, log
from .exchange_connection import MAX_ESTABLISHED_SILENCE_US, ExchangeProtocol
from .frames import Frame, MessageType, ParameterCode, encode_frame
from .setups import NO_TEXTS

if TYPE_CHECKING:
    from .exchanges import ExchangeBackend

IGNORED_TYPES = {MessageType.PROGRESS, MessageType.TEST_PASSED}
# Cause numbers and notes in releases from exchanges
OUTCOME_BY_CAUSE = {
    34: Outcome.REJECTED,
    17: Outcome.ERROR,
    47: Outcome.ERROR,
    102: Outcome.NOT_SENT,
    41: Outcome.CUT,
    16: Outcome.OK,
}
REASON_BY_NOTE = {
    "atb": Reason.NO_CIRCUIT,
    "rtb": Reason.REJECTED_BY_TANDEM,
    "racc": Reason.DESTINATION_PROCESSOR_FULL,
    "acc": Reason.PROCESSOR_FULL,
    "sub": Reason.LINES_BUSY,
}
# An exchange that has not been reached for this long is taken for down, and its calls are over: callers learn
# within 8 s. A connection to a quiet exchange is renewed after 5 s, and may come up 1 s late.
HUB_DOWN_AFTER_US = 6_500_000
MIN_CONNECT_TIMEOUT_S = 1.25  # connections may come up late; set-ups do not wait that long for one
MIN_ANSWER_TIMEOUT_US = 60_000
ANSWER_TIME_WINDOW = 16  # answers over which their time and its deviation are smoothed
MAX_IDLE_SHARE = 0.9  # of the time after which exchanges close idle connections
MAX_QUEUED_RELEASES = 10_000
# Ends of a connection with which what was sent last may be lost
UNEXPECTED_END_CODES = {"silent", "peer-closed", "peer-reset", "io-error", "restarted"}
RETRY_DELAYS_US = (50_000, 200_000, 500_000, 1_000_000)  # after the first, second, ... failure in a row


class _LinkFactory(ClientFactory):
    noisy = False

    def __init__(self, link: ExchangeLink) -> None:
        self.link = link

    def buildProtocol(self, addr: object) -> ExchangeProtocol:  # noqa: N802
        return ExchangeProtocol(self.link)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self.link.connect_failed(reason)


class ExchangeLink:
    """One exchange: its connection, the set-ups pending there, and what waits to be sent to it."""

    def __init__(self, backend: ExchangeBackend, hub: messages.Hub) -> None:
        self.backend = backend
        self.clock = backend.clock
        self.hub = hub
        self.accepts_setups = True
        self.keep_connection = True
        self.connection: ExchangeProtocol | None = None
        self.connector: IConnector | None = None  # while a connection is being made
        self.failed_connects = 0  # in a row
        self.tried = False  # a connection has been made, has failed or is late
        self.retry_timer = None
        self.late_timer = None  # while a connection is being made: when the set-ups stop waiting for it
        # waiting for the connection: call -> set-up, when queued
        self.queued_setups: dict[int, tuple[messages.SetUp, int]] = {}
        self.queued_releases: list[int] = []  # calls
        self.last_reached_at = self.clock.now_us()  # latest frame or connection made; at first: the start
        # connections in a row closed as silent; from the second on the exchange itself counts as silent
        self.consecutive_silences = 0
        self.mean_answer_us = self.answer_deviation_us = 0.0  # smoothed time to an answer, its mean deviation

    def connect(self) -> None:
        """Opens a connection, unless there is one, or one is being made."""
        self.retry_timer = None
        if self.connection is None and self.keep_connection:
            self.open_connection()

    def open_connection(self) -> None:
        """Opens a connection unless one is being made; it takes the place of the present one, if any."""
        if self.connector is not None:
            return
        host, _, port = self.hub.address.rpartition(":")
        self.address = self.hub.address
        timeout_s = max(self.backend.connect_timeout_s, MIN_CONNECT_TIMEOUT_S)
        self.connector = self.clock.connectTCP(host, int(port), _LinkFactory(self), timeout=timeout_s)
        self.late_timer = self.clock.callLater(self.backend.connect_timeout_s, self.connection_late)

    def connecting_ended(self) -> None:
        """Notes that the attempt to connect has succeeded or failed."""
        self.connector, self.tried = None, True
        if self.late_timer is not None and self.late_timer.active():
            self.late_timer.cancel()
        self.late_timer = None
        self.backend.check_all_tried()

    def connection_late(self) -> None:
        """Ends the queued set-ups, since the connection is late; it may still come up."""
        self.tried = True
        self.backend.check_all_tried()
        self.late_timer = self.clock.callLater(self.backend.connect_timeout_s, self.connection_late)
        if self.connection is None:
            self.fail_queued_setups("late")

    def fail_queued_setups(self, code: str) -> None:
        """Ends the queued set-ups, of which none has reached the exchange; `code` is for the log."""
        unsent, self.queued_setups = self.queued_setups, {}
        if unsent:
            self.log_unreached(code)
        for call in unsent:
            self.backend.driver.post(messages.AttemptEnded(call, self.hub.name, Outcome.UNREACHABLE))

    def log_unreached(self, code: str) -> None:
        log(f"end role=exchange peer={self.hub.name}@{self.hub.address} code={code} age_ms=0 in=0 out=0")

    def connected(self, connection: ExchangeProtocol) -> None:
        """Uses a new connection, also in place of a silent one."""
        self.connecting_ended()
        silent, self.connection = self.connection, connection
        self.failed_connects, self.last_reached_at = 0, self.clock.now_us()
        if not self.keep_connection or self.address != self.hub.address:
            connection.close("let-go")
            return
        if silent is not None:
            silent.close("silent")
            self.connection_lost(silent)
        for call in self.queued_releases:
            connection.send_release(call)
        self.queued_releases.clear()
        self.flush()

    def flush(self) -> None:
        """Sends queued set-ups while the connection accepts output.

        They wait here, not in the connection's output buffer, so that they can still be taken back when the
        exchange drains.
        """
        while self.queued_setups and self.connection is not None and not self.connection.write_blocked:
            call = next(iter(self.queued_setups))
            self.send(*self.queued_setups.pop(call))

    def connect_failed(self, reason: object) -> None:
        """Ends the queued set-ups and tries again later.

        A refused connection proves that no process is listening there. While there is a connection, it only
        shows that the machine is there: a draining exchange accepts no new connection.
        """
        self.connecting_ended()
        if self.address != self.hub.address:
            self.connect()
            return
        refused = reason.check(error.ConnectionRefusedError) is not None
        if self.connection is not None:
            if refused:
                self.last_reached_at = self.clock.now_us()
            return
        if not self.failed_connects and not self.queued_setups:
            self.log_unreached("refused" if refused else "unreached")
        self.failed_connects += 1
        if self.keep_connection:
            delay_us = RETRY_DELAYS_US[min(self.failed_connects, len(RETRY_DELAYS_US)) - 1]
            self.retry_timer = self.clock.callLater(delay_us / 1e6, self.connect)
        self.fail_queued_setups("refused" if refused else "unreached")
        if refused:
            self.queued_releases.clear()  # a process that is not there holds no calls
            self.backend.driver.post(messages.HubDown(self.hub.name))

    def has_unsent_releases(self) -> bool:
        """Whether a release waits for a connection, or for the exchange to read."""
        return bool(self.queued_releases) or (
            self.connection is not None and len(self.connection.output_buffer) > 0
        )

    def leave(self) -> None:
        """Ends the connection, or the attempt to open one, for good."""
        self.keep_connection = False
        self.disconnect("leaving")
        if self.connector is not None:
            self.connector.stopConnecting()

    def has_established_calls(self) -> bool:
        return self.backend.has_established_calls(self.hub.name)

    def check_down(self, now: int) -> None:
        """Ends the calls at an exchange that has not been reached for too long.

        It cannot report their ends, so that their callers get them from here.
        """
        if now - self.last_reached_at > HUB_DOWN_AFTER_US and self.has_established_calls():
            self.backend.driver.post(messages.HubDown(self.hub.name))

    def connection_lost(self, connection: ExchangeProtocol) -> None:
        """Ends the set-ups of a connection that has ended or is being closed; only once."""
        if self.connection is connection:
            self.connection = None
            if self.keep_connection and self.retry_timer is None and self.connector is None:
                self.retry_timer = self.clock.callLater(RETRY_DELAYS_US[0] / 1e6, self.connect)
        unconfirmed, connection.unconfirmed_releases = connection.unconfirmed_releases, {}
        if connection.end_code in UNEXPECTED_END_CODES:
            for call in unconfirmed:
                self.queue_release(call)
        pending, connection.pending_setups = connection.pending_setups, {}
        # One broken connection says nothing about the exchange. If the next one is silent too, the exchange
        # itself does not answer.
        outcome = (
            Outcome.TIMEOUT
            if connection.end_code == "silent" and self.consecutive_silences > 1
            else Outcome.CUT
        )
        for call in pending:
            # The call may be established at the exchange although its answer was corrupted or lost on the
            # way; without a release it would stay up there.
            self.queue_release(call)
            self.backend.driver.post(messages.AttemptEnded(call, self.hub.name, outcome))

    def check_silence(self, now: int) -> None:
        """Closes a connection that stays open but no longer works.

        On such a connection a frame was cut short, or the machine is gone. Closing it ends its pending
        set-ups at once, and the next connection shows whether the exchange is there. It must be silent at two
        checks in a row, so that frames that have arrived in the meantime are read first.
        """
        connection = self.connection
        if connection is None:
            return
        if not self.accepts_setups:
            # A draining exchange sends few frames, and accepts no new connection for the calls it still has:
            # its connection stays. That another one is refused shows that its machine is there.
            if now - self.last_reached_at > MAX_ESTABLISHED_SILENCE_US and self.has_established_calls():
                self.open_connection()
            return
        silent_before, connection.found_silent = connection.found_silent, connection.is_silent(now)
        if silent_before and connection.found_silent:
            self.consecutive_silences += 1
            silent_ms, timeout_ms = (now - connection.last_frame_at) // 1000, self.answer_timeout_us() // 1000
            connection.close(
                "silent",
                f"for {silent_ms} ms, {len(connection.pending_setups)} set-ups open, answer timeout"
                f" {timeout_ms} ms",
            )
            self.connection_lost(connection)  # the output may wait for long, the set-ups must not

    def disconnect(self, code: str) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        if self.connection is not None:
            self.connection.close(code)

    def drop_connection(self, code: str) -> None:
        """Closes the connection, so that the next one can be opened at once."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close(code)
            self.connection_lost(connection)

    def renew_if_idle(self) -> None:
        """Closes a connection that the exchange may soon close as idle.

        A set-up that crosses the exchange's close would be reset, and its call held back until the release
        wait (`release_s`) ends.
        """
        old = self.connection
        idle_us = self.clock.now_us() - max(old.last_frame_at, old.last_setup_at)
        if idle_us > MAX_IDLE_SHARE * self.backend.idle_close_s * 1e6 and not old.pending_setups:
            self.drop_connection("renewed")

    def set_up(self, effect: messages.SetUp) -> None:
        self.queued_setups[effect.call] = effect, self.clock.now_us()
        if self.connection is not None:
            self.renew_if_idle()
        if self.connection is not None:
            self.flush()
            return
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        self.connect()

    def send(self, effect: messages.SetUp, queued_at: int) -> None:
        remaining_us = effect.timeout_us - (self.clock.now_us() - queued_at)
        texts = self.backend.frontend.setup_texts.get(effect.call, NO_TEXTS)
        data = encode_frame(
            MessageType.SETUP,
            effect.call,
            [
                (ParameterCode.CLASS, texts.class_name.encode()),
                (ParameterCode.TIME_LEFT, str(max(remaining_us // 1000, 1)).encode()),
                (ParameterCode.NUMBER, texts.number.encode()),
                (ParameterCode.DESCRIPTION, texts.description.encode()),
            ],
        )
        if self.connection is None or not self.connection.send(data):
            self.backend.driver.post_later(
                messages.AttemptEnded(effect.call, self.hub.name, Outcome.NOT_SENT)
            )
            return
        self.connection.last_setup_at = self.connection.pending_setups[effect.call] = self.clock.now_us()
        # A release of an earlier attempt, sent again, would end this one.
        self.connection.unconfirmed_releases.pop(effect.call, None)

    def release(self, effect: messages.Release) -> None:
        if self.queued_setups.pop(effect.call, None) is not None:
            return
        if self.connection is None or not self.connection.send_release(effect.call):
            self.queue_release(effect.call)
        if self.connection is not None:
            self.connection.pending_setups.pop(effect.call, None)

    def queue_release(self, call: int) -> None:
        """Has the call released on the next connection."""
        if len(self.queued_releases) < MAX_QUEUED_RELEASES:
            self.queued_releases.append(call)

    def setup_completed(self, call: int, answered: bool = False) -> None:
        """Counts a set-up as no longer pending, and the time to its answer if it was answered."""
        self.consecutive_silences = 0
        setup_at = self.connection.pending_setups.pop(call, None)
        if answered and setup_at is not None:
            elapsed_us = self.clock.now_us() - setup_at
            if not self.mean_answer_us:
                self.mean_answer_us, self.answer_deviation_us = elapsed_us, elapsed_us / 2
            self.answer_deviation_us += (
                abs(elapsed_us - self.mean_answer_us) - self.answer_deviation_us
            ) / ANSWER_TIME_WINDOW
            self.mean_answer_us += (elapsed_us - self.mean_answer_us) / ANSWER_TIME_WINDOW

    def answer_timeout_us(self) -> int:
        """The answer timeout, computed like a retransmission timeout; 0 before the first answer.

        It is the smoothed answer time plus four times its deviation, at least MIN_ANSWER_TIMEOUT_US.
        """
        return (
            max(round(self.mean_answer_us + 4 * self.answer_deviation_us), MIN_ANSWER_TIMEOUT_US)
            if self.mean_answer_us
            else 0
        )

    def frame_received(self, frame: Frame) -> None:
        """Passes a frame on to the core as an event.

        Raises ValueError for an unusable frame; its connection is then closed.
        """
        if frame.kind == MessageType.ANSWER:
            self.answer_received(frame)
        elif frame.kind == MessageType.RELEASE:
            self.release_received(frame)
        elif frame.kind == MessageType.STATE:
            self.state_received(frame)
        elif frame.kind == MessageType.RELEASE_COMPLETE:
            self.connection.unconfirmed_releases.pop(frame.call, None)
        elif frame.kind not in IGNORED_TYPES:
            # A corrupted frame must not be ignored as an unknown message type: on a connection where one
            # occurred, no valid frame followed.
            raise ValueError(f"unknown message type {frame.kind}")

    def answer_received(self, frame: Frame) -> None:
        if frame.call not in self.connection.pending_setups:
            # Surplus answers (duplicates, late ones, ones with an id that was never sent) must not close
            # the connection, with all set-ups pending on it. Whatever their content, they are dropped.
            self.backend.driver.post(messages.UnmatchedAnswer(frame.call, self.hub.name))
            return
        description = frame.parameters.get(ParameterCode.DESCRIPTION, b"").decode("utf-8")
        # Prevents a corrupted answer from reaching the callers.
        if not description or CONTROL_CHARACTERS.search(description):
            raise ValueError("answer with an empty description or with control characters")
        self.setup_completed(frame.call, answered=True)
        self.backend.driver.post(messages.CallEstablished(frame.call, self.hub.name, description))

    def release_received(self, frame: Frame) -> None:
        cause = frame.parameters.get(ParameterCode.CAUSE, b"")
        if len(cause) != 1:
            raise ValueError("release without a one-byte cause")
        wait = frame.parameters.get(ParameterCode.RETRY_AFTER)
        wait_us = int(float(wait) * 1000) if wait else None
        self.setup_completed(frame.call)
        self.backend.driver.post(
            messages.AttemptEnded(
                frame.call,
                self.hub.name,
                OUTCOME_BY_CAUSE.get(cause[0], Outcome.ERROR),
                REASON_BY_NOTE.get(frame.text(ParameterCode.NOTE), Reason.NONE),
                wait_us,
            )
        )

    def state_received(self, frame: Frame) -> None:
        text = frame.text(ParameterCode.GROUP)
        fields = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
        if "idle" not in fields or "circuits" not in fields:
            return
        free, total = float(fields["idle"]), float(fields["circuits"])
        if not (math.isfinite(free) and 0 <= total < math.inf):
            raise ValueError(f"group state out of range: {text[:40]!r}")
        self.backend.driver.post(messages.GroupStateReported(self.hub.name, free, total))
