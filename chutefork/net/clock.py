"""One reading of the monotonic clock a turn of the loop, in whole microseconds."""

from __future__ import annotations

import time

from twisted.internet import main, tcp
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import ServerFactory

ACCEPTS = 16  # new connections a turn


class BoundedPort(tcp.Port):
    """Guards the descriptors, and the turns of those already there, against connections by the hundred: what
    is not taken in this turn waits in the listener's queue, where it costs no descriptor."""

    def doRead(self) -> None:  # noqa: N802 (Twisted's name)
        self.numberAccepts = min(self.numberAccepts, ACCEPTS)
        super().doRead()


class TurnReactor(EPollReactor):
    """The time is void when the loop goes to wait, and read at its first use after that."""

    _turn_us = 0

    def now_us(self) -> int:
        if not self._turn_us:
            self._turn_us = time.monotonic_ns() // 1000
        return self._turn_us

    def seconds(self) -> float:
        return self.now_us() / 1_000_000

    def doIteration(self, timeout: float | None) -> None:  # noqa: N802 (Twisted's name)
        self._turn_us = 0
        super().doIteration(timeout)

    def listenTCP(
        self,
        port: int,
        factory: ServerFactory,
        backlog: int = 50,  # noqa: N802
        interface: str = "",
    ) -> BoundedPort:
        made = BoundedPort(port, factory, backlog, interface, self)
        made.startListening()
        return made


def install() -> TurnReactor:
    reactor = TurnReactor()
    main.installReactor(reactor)
    return reactor


class UnixPlace:
    """Places Unix milliseconds on the monotonic clock; the Unix clock is read here and nowhere else."""

    def __init__(self) -> None:
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def monotonic_us(self, unix_ms: float) -> int:
        return max(int(unix_ms * 1000) - self.offset_us, 1) if unix_ms > 0 else 0
