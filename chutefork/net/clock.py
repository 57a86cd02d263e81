"""The reactor and its clock: monotonic, in whole microseconds, read once per event-loop iteration."""

from __future__ import annotations

import time

from twisted.internet import main, tcp
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import ServerFactory

MAX_ACCEPTS_PER_ITERATION = 16


class BoundedPort(tcp.Port):
    """Listening port that accepts a limited number of connections per event-loop iteration.

    Hundreds of connections accepted at once would use up the file descriptors and delay the connections
    already open. Those not accepted yet wait in the listen queue, where they use no descriptor.
    """

    def doRead(self) -> None:  # noqa: N802 (Twisted's name)
        self.numberAccepts = min(self.numberAccepts, MAX_ACCEPTS_PER_ITERATION)
        super().doRead()


class CachedClockReactor(EPollReactor):
    """Epoll reactor with a cached clock: every reading within one event-loop iteration is the same.

    The cached time is cleared before the loop waits for events, and read again at its first use after that.
    """

    _cached_now_us = 0

    def now_us(self) -> int:
        if not self._cached_now_us:
            self._cached_now_us = time.monotonic_ns() // 1000
        return self._cached_now_us

    def seconds(self) -> float:
        return self.now_us() / 1_000_000

    def doIteration(self, timeout: float | None) -> None:  # noqa: N802 (Twisted's name)
        self._cached_now_us = 0
        super().doIteration(timeout)

    def listenTCP(  # noqa: N802 (Twisted's name)
        self,
        port: int,
        factory: ServerFactory,
        backlog: int = 50,
        interface: str = "",
    ) -> BoundedPort:
        listening_port = BoundedPort(port, factory, backlog, interface, self)
        listening_port.startListening()
        return listening_port


def install() -> CachedClockReactor:
    """Makes a new reactor the global one of Twisted; fails if one is installed already."""
    reactor = CachedClockReactor()
    main.installReactor(reactor)
    return reactor


class UnixClock:
    """Converts Unix times to the monotonic clock. Creating one is the only reading of the Unix clock."""

    def __init__(self) -> None:
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def monotonic_us(self, unix_ms: float) -> int:
        """The same moment on the monotonic clock, at least 1; 0, which means long ago, for 0 or less."""
        return max(int(unix_ms * 1000) - self.offset_us, 1) if unix_ms > 0 else 0
