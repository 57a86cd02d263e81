"""One real call controller: `python -m chutefork`, told by EDGE_CONFIG what it is."""

from __future__ import annotations

import gc
import os
import signal
import sys

from twisted.logger import globalLogBeginner

from .config import Config, ConfigError, address_of, hubs_of, load
from .core.reducer import State
from .net.clock import TurnReactor, UnixPlace, install
from .net.connection import log, log_failure

ACCEPT_S = 0.75  # after SIGTERM connections and requests go on coming for up to 0.6 s
LONGEST_S = 3.0  # a deadline counts at most so long for the end after SIGTERM


class Platform:
    """The platform's front, legs and command channel round one core."""

    def __init__(self, config: Config, clock: TurnReactor) -> None:
        from .net.callers import CallerFront
        from .net.channel import Channel
        from .net.driver import Driver
        from .net.exchanges import ExchangeLegs

        self.clock = clock
        self.config = config
        self.place = UnixPlace()
        self.driver = Driver(State.fresh(config.settings), clock)
        self.front = CallerFront(self.driver, config, clock)
        self.legs = ExchangeLegs(self.driver, self.front, clock, config.connect_timeout_s)
        self.driver.attach(self.front, self.legs)
        self.channel = Channel(config.channel, config.cursor, self.told, clock)

    def start(self) -> None:
        self.told(self.config.known)
        self.channel.connect()
        host, port = self.config.listen
        self.port = self.clock.listenTCP(port, self.front.factory, backlog=512, interface=host)
        self.legs.all_tried = self.front.be_ready
        self.legs.settled()
        self.front.sweep()
        log(f"serving name={self.config.name} listen={host}:{self.port.getHost().port}")

    def told(self, commands: list) -> None:
        for command in commands:
            event = hubs_of(command, self.place)
            if event is not None:
                self.driver.tell(event)

    def terminate(self) -> None:
        until = self.clock.now_us() + round((min(self.config.deadline_s, LONGEST_S) + 0.6) * 1e6)
        log("leaving cause=SIGTERM")
        self.front.leaving = True
        self.clock.callLater(ACCEPT_S, self.leave, until)

    def leave(self, until: int) -> None:
        self.port.stopListening()
        left = len(self.front.owed) + len(self.front.standing)
        if left and self.clock.now_us() < until:
            self.clock.callLater(0.02, self.leave, until)
            return
        log(f"left unanswered={len(self.front.owed)} standing={len(self.front.standing)}")
        for connection in list(self.front.connections):
            connection.end("leaving")
        self.part(self.clock.now_us() + 300_000)

    def part(self, until: int) -> None:
        """What was written last has still to go out."""
        if self.front.connections and self.clock.now_us() < until:
            self.clock.callLater(0.01, self.part, until)
        else:
            self.clock.stop()


def main() -> int:
    try:
        config = load(os.environ.get("EDGE_CONFIG", ""))
        told = os.environ.get("EDGE_LISTEN")
        if told is not None and address_of(told, "EDGE_LISTEN") != config.listen:
            raise ConfigError("EDGE_LISTEN: differs from listen of EDGE_CONFIG")
    except ConfigError as fault:
        print(f"chutefork: {fault}", file=sys.stderr)
        return 2
    globalLogBeginner.beginLoggingTo([log_failure], redirectStandardIO=False, discardBuffer=True)
    clock = install()
    platform = Platform(config, clock)
    try:
        platform.start()
    except Exception as fault:
        print(f"chutefork: {type(fault).__name__}: {fault}", file=sys.stderr)
        return 1
    gc.freeze()
    clock.callWhenRunning(signal.signal, signal.SIGTERM, lambda *_: clock.callFromThread(platform.terminate))
    clock.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
