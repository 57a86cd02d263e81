"""Base of every TCP connection: bounded buffers both ways, back-pressure, and one log line when it ends."""

from __future__ import annotations

import re
import socket
import sys

from twisted.internet import error
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer

from .ring import RingBuffer

MAX_MESSAGE_BYTES = 16 * 1024
IO_CHUNK_BYTES = 16 * 1024  # passed to the receiver, or written to the transport, at a time
INPUT_BUFFER_BYTES = 4 * IO_CHUNK_BYTES
OUTPUT_BUFFER_BYTES = 256 * 1024
# Except tab, LF and CR; no valid text contains them.
CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
OUTPUT_HIGH_WATER_BYTES = 64 * 1024  # reading pauses while more output than this is queued

TCP_ESTABLISHED = 1  # state in the first byte of the kernel's tcp_info
CLOSE_TIMEOUT_S = 2.0  # for queued output to be sent after a close; then the connection is aborted


def log(text: str) -> None:
    """Writes one line to standard output; errors are ignored."""
    try:
        sys.stdout.write(text + "\n")
        sys.stdout.flush()
    except OSError:
        pass  # the reader of the log has gone; that is no reason to stop serving


def log_failure(event: dict) -> None:
    """Observer of Twisted's log: writes an unhandled exception as one line, with the line that raised it."""
    failure = event.get("log_failure")
    if failure is not None:
        traceback = failure.getTracebackObject()
        while traceback is not None and traceback.tb_next is not None:
            traceback = traceback.tb_next
        location = f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}" if traceback else "-"
        log(f"fault type={failure.type.__name__} at={location} detail={failure.getErrorMessage()[:160]!r}")


@implementer(IPushProducer)
class Connection:
    """Mixin that goes before one of Twisted's line or string receivers and passes input on to it.

    Subclasses set `clock` and may set `role` and `peer`, which identify the connection in its log line. Their
    receiver callbacks count received messages in `messages_received`. `end_code` is why the connection ended
    (empty while it is open); the first code given is kept. Times are microseconds on the monotonic clock:
    `opened_at` is when the connection was opened, `last_used_at` when it was last used: when data arrived, or
    as a subclass sets it.
    """

    role = "connection"
    peer = "-"
    end_code = ""
    end_detail = ""
    write_blocked = False  # the transport's buffer is full: nothing is written to it
    finish_code = ""  # why nothing more is sent, while the peer is still heard; see `finish`
    closed = False  # connectionLost has run
    processing_input = False  # process_input must not be entered again from a callback
    abort_timer = read_pause_timer = None
    paused = False  # reading is suspended so that other connections are served (LineReceiver's own name)
    messages_received = 0
    messages_sent = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.input_buffer = RingBuffer(INPUT_BUFFER_BYTES)
        self.output_buffer = RingBuffer(OUTPUT_BUFFER_BYTES)
        self.opened_at = self.clock.now_us()
        self.last_used_at = self.opened_at
        address = self.transport.getPeer()
        if self.peer == "-":
            self.peer = f"{address.host}:{address.port}"
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = IO_CHUNK_BYTES
        self.transport.registerProducer(self, True)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.last_used_at = self.clock.now_us()
        if not self.input_buffer.append(data):
            self.close("in-overflow", at_once=True)
            return
        self.process_input()

    def process_input(self) -> None:
        """Passes buffered input to the receiver until the buffer is empty or reading has to pause."""
        if self.processing_input:
            return
        self.processing_input = True
        try:
            while len(self.input_buffer) and self.can_read():
                super().dataReceived(self.input_buffer.consume(IO_CHUNK_BYTES))
        finally:
            self.processing_input = False
        if not self.end_code and not self.can_read():
            self.transport.pauseProducing()

    def can_read(self) -> bool:
        return not self.paused and len(self.output_buffer) <= OUTPUT_HIGH_WATER_BYTES and not self.end_code

    def has_unread_input(self) -> bool:
        """Whether input has arrived that is not processed yet.

        A set-up in it already counts as accepted, so such a connection is not closed to make room.
        """
        try:
            return bool(len(self.input_buffer) or self.transport.getHandle().recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed the connection, also while input from before is unread (Linux)."""
        try:
            state = self.transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return True
        return state != TCP_ESTABLISHED

    def pause_reading(self, seconds: float) -> None:
        """Suspends reading.

        Input received but not processed stays in the input buffer; later input stays in the socket's receive
        buffer and, once that is full, with the sender.
        """
        if not self.paused and not self.end_code:
            self.paused = True
            self.transport.pauseProducing()
            self.read_pause_timer = self.clock.callLater(seconds, self.resume_reading)

    def resume_reading(self) -> None:
        self.paused = False
        if self.closed or self.end_code:
            return
        self.processing_input = True
        try:
            super().dataReceived(b"")  # processes the lines that the receiver itself has buffered
        finally:
            self.processing_input = False
        self.process_input()
        if self.can_read():
            self.transport.resumeProducing()

    def read_arrived_piece(self) -> bool:
        """Processes a piece of what has arrived, also while reading is paused; False if there was none."""
        if self.closed or self.end_code:
            return False
        if self.paused:
            self.resume_reading()
            return True
        if not self.can_read() or not self.has_unread_input():
            return False
        self.transport.doRead()
        return True

    def send(self, data: bytes) -> bool:
        """Queues one message for sending.

        Returns False if the connection has ended or ends now by overflow of the output buffer; True does not
        mean that the peer has received the message.
        """
        if self.closed or self.end_code or self.finish_code:
            return False
        if not self.output_buffer.append(data):
            self.close("out-overflow", at_once=True)
            return False
        self.messages_sent += 1
        self.flush_output()
        return True

    def flush_output(self) -> None:
        while len(self.output_buffer) and not self.write_blocked:
            self.transport.write(self.output_buffer.consume(IO_CHUNK_BYTES))

    def pauseProducing(self) -> None:  # noqa: N802 (the transport's buffer is full)
        self.write_blocked = True

    def resumeProducing(self) -> None:  # noqa: N802
        self.write_blocked = False
        self.flush_output()
        if self.can_read():
            self.process_input()
        if self.can_read():
            self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        self.write_blocked = True

    def finish(self, code: str) -> None:
        """Ends the connection in this direction: queued output is sent, and after it nothing more.

        Input is still processed until the peer closes the connection too. Closed at once, what the peer has
        sent meanwhile would be lost, and the reset in answer to it might reach the peer before it has read
        its last messages. `code` goes into the log line.
        """
        if self.closed or self.end_code or self.finish_code:
            return
        self.finish_code = code
        self.write_blocked = False
        self.flush_output()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def close(self, code: str, detail: str = "", at_once: bool = False) -> None:
        """Closes the connection; `code` and `detail` go into its log line.

        Queued output is sent first, within CLOSE_TIMEOUT_S, unless `at_once` aborts the connection. Does
        nothing if the connection has ended.
        """
        if self.closed or self.end_code:
            return
        self.end_code, self.end_detail = code, detail
        if at_once:
            self.transport.abortConnection()
        else:
            self.write_blocked = False
            self.flush_output()
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            self.abort_timer = self.clock.callLater(CLOSE_TIMEOUT_S, self.transport.abortConnection)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        if self.closed:
            return
        self.closed = True
        for timer in (self.abort_timer, self.read_pause_timer):
            if timer is not None and timer.active():
                timer.cancel()
        if not self.end_code and self.finish_code:
            self.end_code = self.finish_code
        elif not self.end_code:
            if reason.check(error.ConnectionDone):
                self.end_code = "peer-closed"
            elif reason.check(error.ConnectionLost):
                self.end_code, self.end_detail = "peer-reset", str(reason.value)
            else:
                self.end_code, self.end_detail = "io-error", repr(reason.value)
        age_ms = (self.clock.now_us() - self.opened_at) // 1000
        detail_field = " detail=" + repr(self.end_detail[:160]) if self.end_detail else ""
        log(
            f"end role={self.role} peer={self.peer} code={self.end_code} age_ms={age_ms}"
            f" in={self.messages_received} out={self.messages_sent}{detail_field}"
        )
        self.on_closed()
        # Calls and transactions may refer to the connection for long.
        self.input_buffer.clear()
        self.output_buffer.clear()
        self.discard_partial_message()

    def discard_partial_message(self) -> None:
        """Called once after the connection has closed; subclasses free what they hold of unread messages."""

    def on_closed(self) -> None:
        """Called once after the connection has closed; subclasses clean up what was open on it."""
