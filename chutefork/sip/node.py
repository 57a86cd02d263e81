"""The SIP front, its legs and Consul membership, with a core of their own."""

from __future__ import annotations

from collections.abc import Callable

from ..consul import ConsulMembership, Registration
from ..core.messages import Shutdown
from ..core.reducer import State
from ..net.clock import TurnReactor, UnixPlace
from ..net.connection import log
from ..net.driver import Driver
from .agent import SipAgent
from .front import SipFront
from .legs import SipLegs
from .settings import SipConfig
from .transactions import Timing
from .transport import SipTransport

# After SIGTERM, calls are accepted until Consul's clients can have seen that the service is deregistered.
ACCEPT_S = 0.75
BYE_WAIT_S = 1.0  # to send the BYEs of calls that are established at the end


class SipNode:
    """All parts of the SIP side, their start and their shutdown."""

    def __init__(self, config: SipConfig, clock: TurnReactor) -> None:
        self.config = config
        self.clock = clock
        self.driver = Driver(State.fresh(config.settings), clock)
        self.transport = SipTransport(clock, config.listen, config.connect_timeout_s, config.sockets)
        self.agent = SipAgent(self.transport, clock, Timing(config.t1_s), config.advertise)
        self.legs = SipLegs(self.driver, self.agent, config)
        self.front = SipFront(self.driver, self.agent, config, self.legs)
        self.legs.front = self.front
        self.driver.attach(self.front, self.legs)
        self.membership = ConsulMembership(config.consul, clock, UnixPlace(), self.driver.tell)
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
                lambda: bool(self.legs.hubs),
            )
            self.registration.start()
        log(f"serving-sip name={self.config.name} listen={self.transport.host}:{self.transport.port}")

    def terminate(self, done: Callable[[], None]) -> None:
        """Starts the shutdown and calls `done` at its end.

        Calls are accepted for ACCEPT_S more. INVITEs without a final response then get time for one: up to
        the longest deadline of all call classes, counted from the start of the shutdown.
        """
        if self.registration is not None:
            self.registration.leave()
        longest_s = max(item.deadline_s for item in self.config.settings.classes)
        self.clock.callLater(ACCEPT_S, self.shut_down, self.clock.now_us() + round(longest_s * 1e6), done)

    def shut_down(self, until: int, done: Callable[[], None]) -> None:
        self.front.shutting_down = True
        if self.front.unanswered and self.clock.now_us() < until:
            self.clock.callLater(0.02, self.shut_down, until, done)
            return
        established = list(self.front.established)
        log(f"left-sip unanswered={len(self.front.unanswered)} standing={len(established)}")
        self.driver.tell(Shutdown())
        for call in established:  # their state ends with the process: both sides get a BYE
            self.front.established[call].hang_up()
        self.membership.stop()
        self.transport.stop_accepting()
        if established:
            self.clock.callLater(BYE_WAIT_S, self.close, done)
        else:
            self.close(done)

    def close(self, done: Callable[[], None]) -> None:
        for stream in list(self.transport.streams):
            stream.end("leaving")
        self.clock.callLater(0.05, done)
