"""The SIP frontend, its backend and Consul membership, with a core of their own."""

from __future__ import annotations

from collections.abc import Callable

from ..consul import Registration
from ..consul_membership import ConsulMembership
from ..core.messages import Shutdown
from ..core.state import State
from ..net.clock import CachedClockReactor, UnixClock
from ..net.closing import close_when_peers_have, finish_connections
from ..net.connection import log
from ..net.driver import Driver
from ..shutdown import ACCEPT_S, CHECK_INTERVAL_S, LAST_OUTPUT_S, ShutdownSchedule
from .agent import SipAgent
from .backend import SipBackend
from .frontend import SipFrontend
from .recovery import DialogRecovery
from .settings import SipConfig
from .transactions import Timing
from .transport import SipTransport

REPEAT_INTERVAL_S = 0.1  # of the last messages; T1 may be longer than the time that is left


class SipNode:
    """All parts of the SIP side, their start and their shutdown."""

    def __init__(self, config: SipConfig, clock: CachedClockReactor) -> None:
        self.config = config
        self.clock = clock
        self.driver = Driver(State.initial(config.settings), clock, "sip")
        self.transport = SipTransport(clock, config.listen, config.connect_timeout_s, config.sockets)
        self.agent = SipAgent(self.transport, clock, Timing(config.t1_s), config.advertise)
        self.backend = SipBackend(self.driver, self.agent, config)
        self.frontend = SipFrontend(self.driver, self.agent, config, self.backend)
        self.backend.frontend = self.frontend
        self.recovery = DialogRecovery(self.agent, self.backend)
        self.driver.attach(self.frontend, self.backend)
        self.membership = ConsulMembership(config.consul, clock, UnixClock(), self.driver.post)
        self.registration: Registration | None = None

    def start(self) -> None:
        self.transport.start()
        self.membership.start()
        self.driver.call_log.start()
        if self.config.consul.register:
            self.registration = Registration(
                self.config.consul,
                self.clock,
                self.config.name,
                self.agent.address,
                {"number": str(self.config.settings.own_number)},
                lambda: bool(self.backend.hubs),
            )
            self.registration.start()
        log(f"serving-sip name={self.config.name} listen={self.transport.host}:{self.transport.port}")

    def terminate(self, on_stopped: Callable[[], None]) -> None:
        """Starts the shutdown and calls `on_stopped` at its end.

        Calls are accepted for ACCEPT_S more: Consul's clients need time to see the deregistration. INVITEs
        without a final response then get time for one, as ShutdownSchedule says.
        """
        if self.registration is not None:
            self.registration.deregister()
        longest_s = max(call_class.deadline_s for call_class in self.config.settings.classes)
        schedule = ShutdownSchedule.starting_at(self.clock.now_us(), longest_s)
        self.clock.callLater(ACCEPT_S, self.end_calls, schedule, on_stopped)

    def end_calls(self, schedule: ShutdownSchedule, on_stopped: Callable[[], None]) -> None:
        """Accepts no more calls; once none is unanswered, or the time is over, ends all that are left."""
        self.frontend.shutting_down = True
        if self.frontend.unanswered and self.clock.now_us() < schedule.answer_by:
            self.clock.callLater(CHECK_INTERVAL_S, self.end_calls, schedule, on_stopped)
            return
        established = list(self.frontend.established)
        log(f"left-sip unanswered={len(self.frontend.unanswered)} standing={len(established)}")
        self.driver.post(Shutdown())
        for call in established:  # their state ends with the process: both sides get a BYE
            self.frontend.established[call].hang_up()
        self.membership.stop()
        self.transport.stop_accepting()
        self.wait_for_peers(schedule, on_stopped)

    def wait_for_peers(self, schedule: ShutdownSchedule, on_stopped: Callable[[], None]) -> None:
        """Waits for the ACKs of final responses, and for answers to requests such as the last BYEs.

        A datagram with the only copy of a message may be lost: the messages are sent again until the end,
        more often once the time for answers is over.
        """
        now = self.clock.now_us()
        layer = self.agent.layer
        if now >= schedule.exit_by or not layer.awaits_peers():
            self.finish_streams(schedule, on_stopped)
            return
        interval_s = CHECK_INTERVAL_S
        if now >= schedule.answer_by:
            interval_s = REPEAT_INTERVAL_S
            layer.repeat_last_messages()
        interval_s = min(interval_s, (schedule.exit_by - now) / 1e6)
        self.clock.callLater(interval_s, self.wait_for_peers, schedule, on_stopped)

    def finish_streams(self, schedule: ShutdownSchedule, on_stopped: Callable[[], None]) -> None:
        """Answers what has arrived on the TCP connections, and leaves peers time to read and to close."""
        streams = self.transport.streams
        finish_connections(streams)
        wait_until = schedule.peers_wait_until(self.clock.now_us())
        close_when_peers_have(self.clock, streams, wait_until, lambda: self.stop(on_stopped))

    def stop(self, on_stopped: Callable[[], None]) -> None:
        self.driver.call_log.log_counts()
        self.clock.callLater(LAST_OUTPUT_S, on_stopped)
