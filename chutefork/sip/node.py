"""The SIP frontend, its backend and Consul membership, with a core of their own."""

from __future__ import annotations

from collections.abc import Callable

from ..consul import Registration
from ..consul_membership import ConsulMembership
from ..core.messages import Shutdown
from ..core.reducer import State
from ..net.clock import CachedClockReactor, UnixClock
from ..net.connection import log
from ..net.driver import Driver
from .agent import SipAgent
from .backend import SipBackend
from .frontend import SipFrontend
from .recovery import DialogRecovery
from .settings import SipConfig
from .transactions import Timing
from .transport import SipTransport

# After SIGTERM, calls are accepted for this long: Consul's clients need time to see the deregistration.
ACCEPT_S = 0.75
BYE_WAIT_S = 1.0  # to send the BYEs of calls that are established at the end


class SipNode:
    """All parts of the SIP side, their start and their shutdown."""

    def __init__(self, config: SipConfig, clock: CachedClockReactor) -> None:
        self.config = config
        self.clock = clock
        self.driver = Driver(State.initial(config.settings), clock)
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

        Calls are accepted for ACCEPT_S more. INVITEs without a final response then get time for one: up to
        the longest deadline of all call classes, counted from the start of the shutdown.
        """
        if self.registration is not None:
            self.registration.deregister()
        longest_s = max(call_class.deadline_s for call_class in self.config.settings.classes)
        self.clock.callLater(
            ACCEPT_S, self.shut_down, self.clock.now_us() + round(longest_s * 1e6), on_stopped
        )

    def shut_down(self, deadline_us: int, on_stopped: Callable[[], None]) -> None:
        self.frontend.shutting_down = True
        if self.frontend.unanswered and self.clock.now_us() < deadline_us:
            self.clock.callLater(0.02, self.shut_down, deadline_us, on_stopped)
            return
        established = list(self.frontend.established)
        log(f"left-sip unanswered={len(self.frontend.unanswered)} standing={len(established)}")
        self.driver.post(Shutdown())
        for call in established:  # their state ends with the process: both sides get a BYE
            self.frontend.established[call].hang_up()
        self.membership.stop()
        self.transport.stop_accepting()
        if established:
            self.clock.callLater(BYE_WAIT_S, self.close, on_stopped)
        else:
            self.close(on_stopped)

    def close(self, on_stopped: Callable[[], None]) -> None:
        for stream in list(self.transport.streams):
            stream.close("leaving")
        self.clock.callLater(0.05, on_stopped)
