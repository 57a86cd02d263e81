"""What every connection has: a ring buffer a direction, back-pressure, and one log line when it ends."""

from __future__ import annotations

import sys

from twisted.internet import error
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer

from .ring import RingBuffer

LONGEST = 16 * 1024  # a message
IN_BOUND = 128 * 1024  # one read of the transport is 64 KiB
OUT_BOUND = 256 * 1024
OUT_HIGH = 64 * 1024  # reading pauses while more than this waits to go out
CHUNK = 16 * 1024


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
    linger = None
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
            while len(self.inward) and len(self.outward) <= OUT_HIGH and not self.code:
                super().dataReceived(self.inward.take(CHUNK))
        finally:
            self.feeding = False
        if len(self.outward) > OUT_HIGH:
            self.transport.pauseProducing()

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
        if len(self.outward) <= OUT_HIGH and not self.code:
            self.transport.resumeProducing()
            self.feed()

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
        if self.linger is not None and self.linger.active():
            self.linger.cancel()
        if not self.code:
            if reason.check(error.ConnectionDone):
                self.code = "peer-closed"
            elif reason.check(error.ConnectionLost):
                self.code, self.detail = "peer-reset", str(reason.value)
            else:
                self.code, self.detail = "io-error", repr(reason.value)
        age_ms = (self.clock.now_us() - self.made_at) // 1000
        tail = " detail=" + repr(self.detail[:160]) if self.detail else ""
        log(f"end role={self.role} peer={self.peer} code={self.code} age_ms={age_ms} in={self.taken}"
            f" out={self.sent}{tail}")
        self.lost()

    def lost(self) -> None:
        """For the kind of connection to settle what was open on it."""
