"""One real call controller: `python -m chutefork`, told by EDGE_CONFIG what it is.

The SIP front has a file of its own, `deploy/sip.toml` or what CHUTEFORK_SIP names; it may run without the
platform's.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from twisted.logger import globalLogBeginner

from .config import Config, ConfigError, address_of, hubs_of, load
from .core.messages import Shutdown
from .core.reducer import State
from .net.callers import CallerFront
from .net.channel import Channel
from .net.clock import TurnReactor, UnixPlace, install
from .net.connection import log, log_failure
from .net.driver import Driver
from .net.exchanges import ExchangeLegs
from .sip import settings as sip_settings
from .sip.node import SipNode

ACCEPT_S = 0.75  # after SIGTERM connections and requests go on coming for up to 0.6 s
LONGEST_S = 3.0  # a deadline counts at most so long for the end after SIGTERM


class Platform:
    """The platform's front, legs and command channel round one core."""

    def __init__(self, config: Config, clock: TurnReactor) -> None:
        self.clock = clock
        self.config = config
        self.place = UnixPlace()
        self.driver = Driver(State.fresh(config.settings), clock)
        self.front = CallerFront(self.driver, config, clock)
        self.legs = ExchangeLegs(
            self.driver, self.front, clock, config.connect_timeout_s, config.idle_close_s
        )
        self.driver.attach(self.front, self.legs)
        self.channel = Channel(config.channel, config.cursor, self.told, clock)

    def start(self) -> None:
        self.legs.all_tried = self.front.be_ready
        self.told(self.config.known)
        self.channel.connect()
        host, port = self.config.listen
        self.port = self.clock.listenTCP(port, self.front.factory, backlog=512, interface=host)
        self.front.sweep()
        self.legs.watch()
        log(f"serving name={self.config.name} listen={host}:{self.port.getHost().port}")

    def reload(self) -> None:
        """The file anew: the command channel may have moved, and tells at its new address what came after
        the last number. All that is open stays; what binds from the start (address, settings) is not read."""
        try:
            config = load(os.environ.get("EDGE_CONFIG", ""))
        except ConfigError as fault:
            log(f"reload kept=running detail={str(fault)[:160]!r}")
            return
        moved = config.channel != self.config.channel
        log(f"reload channel={config.channel} moved={'yes' if moved else 'no'}")
        self.config = replace(self.config, channel=config.channel)
        if moved:
            self.channel.move(config.channel)

    def told(self, commands: list) -> None:
        for command in commands:
            event = hubs_of(command, self.place)
            if event is not None:
                self.driver.tell(event)

    def terminate(self, done: Callable[[], None]) -> None:
        self.front.leaving = True
        until = self.clock.now_us() + round((min(self.config.deadline_s, LONGEST_S) + 0.4) * 1e6)
        self.clock.callLater(ACCEPT_S, self.leave, until, done)

    def leave(self, until: int, done: Callable[[], None]) -> None:
        self.port.stopListening()
        left = len(self.front.owed) + len(self.front.standing)
        if left and self.clock.now_us() < until:
            self.clock.callLater(0.02, self.leave, until, done)
            return
        log(f"left unanswered={len(self.front.owed)} standing={len(self.front.standing)}")
        self.driver.tell(Shutdown())  # SIGKILL may be near: what has no answer by now is refused
        for connection in list(self.front.connections):
            connection.end("leaving")
        self.legs.leave()
        self.channel.leave()
        self.part(self.clock.now_us() + 200_000, done)

    def part(self, until: int, done: Callable[[], None]) -> None:
        """What was written last has still to go out."""
        if self.front.connections and self.clock.now_us() < until:
            self.clock.callLater(0.01, self.part, until, done)
        else:
            done()


def configured() -> tuple[Config | None, sip_settings.SipConfig | None]:
    path = Path(os.environ.get("CHUTEFORK_SIP") or Path(__file__).parent.parent / "deploy" / "sip.toml")
    sip_config = sip_settings.load(path)
    if sip_config is not None and "EDGE_CONFIG" not in os.environ:
        return None, sip_config
    config = load(os.environ.get("EDGE_CONFIG", ""))
    told = os.environ.get("EDGE_LISTEN")
    if told is not None and address_of(told, "EDGE_LISTEN") != config.listen:
        raise ConfigError("EDGE_LISTEN: differs from listen of EDGE_CONFIG")
    return config, sip_config


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # harmless until the configuration is in force
    try:
        config, sip_config = configured()
    except ConfigError as fault:
        print(f"chutefork: {fault}", file=sys.stderr)
        return 2
    globalLogBeginner.beginLoggingTo([log_failure], redirectStandardIO=False, discardBuffer=True)
    clock = install()
    parts: list[Platform | SipNode] = []
    try:
        if config is not None:
            parts.append(Platform(config, clock))
        if sip_config is not None:
            parts.append(SipNode(sip_config, clock))
        for part in parts:
            part.start()
    except Exception as fault:
        print(f"chutefork: {type(fault).__name__}: {fault}", file=sys.stderr)
        return 1
    leaving: list[Platform | SipNode] = []

    def done(part: Platform | SipNode) -> None:
        leaving.remove(part)
        if not leaving:
            clock.stop()

    def terminate() -> None:
        if leaving:
            return
        log("leaving cause=signal")
        leaving.extend(parts)
        for part in parts:
            part.terminate(lambda part=part: done(part))

    def reload() -> None:
        for part in parts:
            if not leaving and isinstance(part, Platform):
                part.reload()

    gc.freeze()
    clock.callWhenRunning(signal.signal, signal.SIGHUP, lambda *_: clock.callFromThread(reload))
    for number in (signal.SIGTERM, signal.SIGINT):
        clock.callWhenRunning(signal.signal, number, lambda *_: clock.callFromThread(terminate))
    clock.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
