"""One reading of the monotonic clock a turn of the loop, in whole microseconds."""

from __future__ import annotations

import time

from twisted.internet import main
from twisted.internet.epollreactor import EPollReactor


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
