"""Runs a call controller: `python -m chutefork`, configured by the JSON file that EDGE_CONFIG names.

The SIP side is configured by `deploy/sip.toml` or the file that CHUTEFORK_SIP names. It can run alone,
without EDGE_CONFIG.
"""

from __future__ import annotations

from .early_signals import early_hang_up  # isort: skip  (before the imports that take time)

import gc
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from twisted.logger import globalLogBeginner

from .config import Config, ConfigError, hub_list_event, load, parse_address
from .core.messages import Shutdown
from .core.state import State
from .net.callers import CallerFrontend
from .net.channel import Channel
from .net.clock import CachedClockReactor, UnixClock, install
from .net.closing import close_when_peers_have
from .net.connection import log, log_failure
from .net.driver import Driver
from .net.exchanges import ExchangeBackend
from .shutdown import ACCEPT_S, CHECK_INTERVAL_S, LAST_OUTPUT_S, ShutdownSchedule
from .sip import settings as sip_settings
from .sip.node import SipNode


class PlatformNode:
    """All parts of the platform's protocol, their start and their shutdown.

    That protocol is the operator's own: callers' JSON lines (the frontend), exchanges' binary frames (the
    backend), and the HTTP command channel with the list of exchanges. These parts have a core of their own,
    apart from that of the SIP side.
    """

    def __init__(self, config: Config, clock: CachedClockReactor) -> None:
        self.clock = clock
        self.config = config
        self.unix_clock = UnixClock()
        self.driver = Driver(State.initial(config.settings), clock, "platform")
        self.frontend = CallerFrontend(self.driver, config, clock)
        self.backend = ExchangeBackend(
            self.driver, self.frontend, clock, config.connect_timeout_s, config.idle_close_s
        )
        self.driver.attach(self.frontend, self.backend)
        self.channel = Channel(config.channel_address, config.initial_cursor, self.on_channel_answer, clock)

    def start(self) -> None:
        self.backend.on_all_tried = self.frontend.on_exchanges_tried
        self.apply_commands(self.config.initial_commands)
        self.channel.connect()
        host, port = self.config.listen
        self.listening_port = self.clock.listenTCP(port, self.frontend.factory, backlog=512, interface=host)
        self.frontend.start()
        self.backend.check_silences()
        self.driver.call_log.start()
        log(f"serving name={self.config.name} listen={host}:{self.listening_port.getHost().port}")

    def reload(self) -> None:
        """Reads the configuration file again and applies `channel`, the address of the command channel.

        At a new address the command channel resumes after the last cursor. Open calls and connections stay.
        What is fixed at start (listen address, settings) is ignored. If the file is invalid, the running
        configuration stays in use.
        """
        try:
            config = load(os.environ.get("EDGE_CONFIG", ""))
        except ConfigError as error:
            log(f"reload kept=running detail={str(error)[:160]!r}")
            return
        moved = config.channel_address != self.config.channel_address
        log(f"reload channel={config.channel_address} moved={'yes' if moved else 'no'}")
        self.config = replace(self.config, channel_address=config.channel_address)
        if moved:
            self.channel.move(config.channel_address)

    def on_channel_answer(self, commands: list) -> None:
        """Applies the commands of an answer, after which the list of exchanges is confirmed."""
        self.apply_commands(commands)
        self.frontend.confirm_list()

    def apply_commands(self, commands: list) -> None:
        """Passes the exchange lists among the commands to the reducer."""
        for command in commands:
            event = hub_list_event(command, self.unix_clock)
            if event is not None:
                self.driver.post(event)

    def terminate(self, on_stopped: Callable[[], None]) -> None:
        """Keeps serving for a moment after SIGTERM, waits for open calls, then closes everything."""
        self.frontend.shutting_down = True
        schedule = ShutdownSchedule.starting_at(self.clock.now_us(), self.config.longest_deadline_s)
        self.clock.callLater(ACCEPT_S, self.close_when_idle, schedule, on_stopped)

    def close_when_idle(self, schedule: ShutdownSchedule, on_stopped: Callable[[], None]) -> None:
        """Stops listening; once no call is open, or the time for answers is over, closes all connections.

        Without callers nobody can be told of the end of a call, and only releases are still sent.
        """
        self.listening_port.stopListening()
        has_work = bool(self.frontend.unanswered or self.frontend.established)
        if has_work and not self.frontend.connections:
            self.channel.shut_down()  # no exchange is to be connected any more
            has_work = not self.backend.leave_served_exchanges()
        if has_work and self.clock.now_us() < schedule.answer_by:
            self.clock.callLater(CHECK_INTERVAL_S, self.close_when_idle, schedule, on_stopped)
            return
        log(f"left unanswered={len(self.frontend.unanswered)} standing={len(self.frontend.established)}")
        self.driver.post(Shutdown())  # SIGKILL may be near: refuses every call that is still unanswered
        self.frontend.finish_connections()
        wait_until = schedule.peers_wait_until(self.clock.now_us())
        close_when_peers_have(
            self.clock, self.frontend.connections, wait_until, lambda: self.stop(on_stopped)
        )

    def stop(self, on_stopped: Callable[[], None]) -> None:
        self.backend.shut_down()
        self.channel.shut_down()
        self.driver.call_log.log_counts()
        self.clock.callLater(LAST_OUTPUT_S, on_stopped)


def load_configurations() -> tuple[Config | None, sip_settings.SipConfig | None]:
    """The configurations of the platform node and of the SIP node, None for one that does not run.

    EDGE_CONFIG may be unset only if the SIP side is enabled. EDGE_LISTEN, if set, must agree with `listen`
    in EDGE_CONFIG's file. Raises ConfigError.
    """
    path = Path(os.environ.get("CHUTEFORK_SIP") or Path(__file__).parent.parent / "deploy" / "sip.toml")
    sip_config = sip_settings.load(path)
    if sip_config is not None and "EDGE_CONFIG" not in os.environ:
        return None, sip_config
    config = load(os.environ.get("EDGE_CONFIG", ""))
    listen = os.environ.get("EDGE_LISTEN")
    if listen is not None and parse_address(listen, "EDGE_LISTEN") != config.listen:
        raise ConfigError("EDGE_LISTEN: differs from listen of EDGE_CONFIG")
    return config, sip_config


def main() -> int:
    """Runs until SIGTERM or SIGINT. Exit code 2: invalid configuration; 1: the start failed; 0: otherwise."""
    try:
        config, sip_config = load_configurations()
    except ConfigError as error:
        print(f"chutefork: {error}", file=sys.stderr)
        return 2
    globalLogBeginner.beginLoggingTo([log_failure], redirectStandardIO=False, discardBuffer=True)
    clock = install()
    nodes: list[PlatformNode | SipNode] = []
    try:
        if config is not None:
            nodes.append(PlatformNode(config, clock))
        if sip_config is not None:
            nodes.append(SipNode(sip_config, clock))
        for node in nodes:
            node.start()
    except Exception as error:
        print(f"chutefork: {type(error).__name__}: {error}", file=sys.stderr)
        return 1
    stopping: list[PlatformNode | SipNode] = []

    def on_stopped(node: PlatformNode | SipNode) -> None:
        stopping.remove(node)
        if not stopping:
            clock.stop()

    def terminate() -> None:
        if stopping:
            return
        log("leaving cause=signal")
        stopping.extend(nodes)
        for node in nodes:
            node.terminate(lambda node=node: on_stopped(node))

    def reload() -> None:
        for node in nodes:
            if not stopping and isinstance(node, PlatformNode):
                node.reload()

    gc.freeze()
    clock.callWhenRunning(signal.signal, signal.SIGHUP, lambda *_: clock.callFromThread(reload))
    clock.callWhenRunning(lambda: reload() if early_hang_up.received else None)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        clock.callWhenRunning(signal.signal, signal_number, lambda *_: clock.callFromThread(terminate))
    clock.run()
    return 0


if __name__ == "__main__":
    exit_code = main()
    sys.stdout.flush()
    # SIGKILL may be near, and the interpreter's own end takes its time. Nothing is left to be cleaned up.
    os._exit(exit_code)
