"""What every connection has: a ring buffer a direction, back-pressure, and one log line when it ends."""

from __future__ import annotations

import re
import socket
import sys

from twisted.internet import error
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer

from .ring import RingBuffer

LONGEST = 16 * 1024  # a message
CHUNK = 16 * 1024  # one read of the transport
IN_BOUND = 4 * CHUNK
OUT_BOUND = 256 * 1024
UNPRINTED = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")  # what no text has
OUT_HIGH = 64 * 1024  # reading pauses while more than this waits to go out

LINGER_S = 2.0  # what is queued has so long to go out once the connection is to end


def log(text: str) -> None:
    try:
        sys.stdout.write(text + "\n")
        sys.stdout.flush()
    except OSError:
        pass  # nobody reads the log any more: no reason to stop serving


def log_failure(event: dict) -> None:
    """Observes Twisted's own log: a fault nobody caught is one line, with the place where it arose."""
    failure = event.get("log_failure")
    if failure is not None:
        frames = failure.getTracebackObject()
        while frames is not None and frames.tb_next is not None:
            frames = frames.tb_next
        place = f"{frames.tb_frame.f_code.co_filename}:{frames.tb_lineno}" if frames else "-"
        log(f"fault type={failure.type.__name__} at={place} detail={failure.getErrorMessage()[:160]!r}")


@implementer(IPushProducer)
class Connection:
    """Mixed in before one of Twisted's line or string receivers, which it feeds.

    `role` and `peer` name it in its log line; `code` is why it ended: the first reason given stands.
    """

    role = "connection"
    peer = "-"
    code = ""
    detail = ""
    held = False  # the transport takes no more for now
    ended = False
    feeding = False
    linger = resting = None
    paused = False  # nothing is read for now, so that others have their turn (LineReceiver's own name)
    taken = 0
    sent = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.inward = RingBuffer(IN_BOUND)
        self.outward = RingBuffer(OUT_BOUND)
        self.made_at = self.clock.now_us()
        self.used_at = self.made_at
        address = self.transport.getPeer()
        if self.peer == "-":
            self.peer = f"{address.host}:{address.port}"
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = CHUNK
        self.transport.registerProducer(self, True)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.used_at = self.clock.now_us()
        if not self.inward.put(data):
            self.end("in-overflow", at_once=True)
            return
        self.feed()

    def feed(self) -> None:
        if self.feeding:
            return
        self.feeding = True
        try:
            while len(self.inward) and self.reads():
                super().dataReceived(self.inward.take(CHUNK))
        finally:
            self.feeding = False
        if not self.code and not self.reads():
            self.transport.pauseProducing()

    def reads(self) -> bool:
        return not self.paused and len(self.outward) <= OUT_HIGH and not self.code

    def unread(self) -> bool:
        """Whether something came that has not been looked at: a set-up in it counts as taken already."""
        try:
            return bool(len(self.inward) or self.transport.getHandle().recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def rest(self, seconds: float) -> None:
        """Reads nothing for so long. What was read and not looked at waits in its ring, what was not read in
        the sender's machine."""
        if not self.paused and not self.code:
            self.paused = True
            self.transport.pauseProducing()
            self.resting = self.clock.callLater(seconds, self.rested)

    def rested(self) -> None:
        self.paused = False
        if self.ended or self.code:
            return
        self.feeding = True
        try:
            super().dataReceived(b"")  # lines that the receiver itself has kept back
        finally:
            self.feeding = False
        self.feed()
        if self.reads():
            self.transport.resumeProducing()

    def push(self, data: bytes) -> bool:
        """Queues data to go out; overflow ends the connection."""
        if self.ended or self.code:
            return False
        if not self.outward.put(data):
            self.end("out-overflow", at_once=True)
            return False
        self.sent += 1
        self.drain()
        return True

    def drain(self) -> None:
        while len(self.outward) and not self.held:
            self.transport.write(self.outward.take(CHUNK))

    def pauseProducing(self) -> None:  # noqa: N802 (the transport's buffer is full)
        self.held = True

    def resumeProducing(self) -> None:  # noqa: N802
        self.held = False
        self.drain()
        if self.reads():
            self.feed()
        if self.reads():
            self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        self.held = True

    def end(self, code: str, detail: str = "", at_once: bool = False) -> None:
        """Closes the connection, for the reason given."""
        if self.ended or self.code:
            return
        self.code, self.detail = code, detail
        if at_once:
            self.transport.abortConnection()
        else:
            self.held = False
            self.drain()
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            self.linger = self.clock.callLater(LINGER_S, self.transport.abortConnection)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        if self.ended:
            return
        self.ended = True
        for timer in (self.linger, self.resting):
            if timer is not None and timer.active():
                timer.cancel()
        if not self.code:
            if reason.check(error.ConnectionDone):
                self.code = "peer-closed"
            elif reason.check(error.ConnectionLost):
                self.code, self.detail = "peer-reset", str(reason.value)
            else:
                self.code, self.detail = "io-error", repr(reason.value)
        age_ms = (self.clock.now_us() - self.made_at) // 1000
        tail = " detail=" + repr(self.detail[:160]) if self.detail else ""
        log(
            f"end role={self.role} peer={self.peer} code={self.code} age_ms={age_ms} in={self.taken}"
            f" out={self.sent}{tail}"
        )
        self.lost()

    def lost(self) -> None:
        """For the kind of connection to settle what was open on it."""
