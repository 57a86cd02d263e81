"""The SIP front, its legs and Consul round a core of their own."""

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

ACCEPT_S = 0.75  # after SIGTERM: what Consul's readers have not yet heard of
PART_S = 1.0  # for the BYEs of calls that still stand at the end


class SipNode:
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
        if self.registration is not None:
            self.registration.leave()
        longest_s = max(item.deadline_s for item in self.config.settings.classes)
        self.clock.callLater(ACCEPT_S, self.leave, self.clock.now_us() + round(longest_s * 1e6), done)

    def leave(self, until: int, done: Callable[[], None]) -> None:
        self.front.leaving = True
        if self.front.owed and self.clock.now_us() < until:
            self.clock.callLater(0.02, self.leave, until, done)
            return
        standing = list(self.front.standing)
        log(f"left-sip unanswered={len(self.front.owed)} standing={len(standing)}")
        self.driver.tell(Shutdown())
        for call in standing:  # nobody would know of their dialogs any more: ended on both sides
            self.front.standing[call].hang_up()
        self.membership.stop()
        self.transport.stop_accepting()
        if standing:
            self.clock.callLater(PART_S, self.close, done)
        else:
            self.close(done)

    def close(self, done: Callable[[], None]) -> None:
        for stream in list(self.transport.streams):
            stream.end("leaving")
        self.clock.callLater(0.05, done)
