"""Membership from Consul's catalogue and health API, by blocking queries, and this program's own entry."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import quote

from .core import messages
from .interface import ListKind, SwitchState
from .net.connection import log
from .net.http import HttpStream, connect

if TYPE_CHECKING:
    from .net.clock import TurnReactor, UnixPlace
    from .sip.settings import ConsulConfig

RETRY_S = (0.1, 10.0)  # the first gap after a failure, and the longest: it doubles, with chance on top
SLACK_S = 5.0  # over the wait asked for, to which Consul adds up to a sixteenth
MAINTENANCE = ("_node_maintenance", "_service_maintenance:")
STATES = {"passing": SwitchState.READY, "warning": SwitchState.DRAINING, "critical": SwitchState.GONE}


class Asking:
    """A connection that is made anew after each failure, with growing gaps."""

    role = "consul"

    def __init__(self, config: ConsulConfig, clock: TurnReactor) -> None:
        self.config = config
        self.address = config.address
        self.clock = clock
        self.stream: HttpStream | None = None
        self.tries = 0
        self.stopped = False
        self.headers = (("X-Consul-Token", config.token),) if config.token else ()

    def start(self) -> None:
        if not self.stopped:
            connect(self, self.clock)

    def made(self, stream: HttpStream) -> None:
        self.stream = stream
        self.ask()

    def ask(self) -> None:
        raise NotImplementedError

    def lost(self) -> None:
        self.stream = None
        self.clock.callLater(self.gap_s(), self.start)

    def gap_s(self) -> float:
        self.tries += 1
        return min(RETRY_S[0] * 2 ** min(self.tries - 1, 16), RETRY_S[1]) * random.uniform(1.0, 1.5)


class Watch(Asking):
    """One blocking query, asked again and again; `told` gets each new answer."""

    def __init__(
        self, config: ConsulConfig, clock: TurnReactor, path: str, told: Callable[[list], None]
    ) -> None:
        super().__init__(config, clock)
        self.path = path
        self.told = told
        self.index = 0

    def ask(self) -> None:
        path = f"{self.path}?index={self.index}&wait={self.config.wait_s:g}s"
        self.stream.ask("GET", path, self.config.wait_s * 17 / 16 + SLACK_S, headers=self.headers)

    def answered(self, status: int, headers: dict[str, str], body: bytes) -> None:
        if status != 200:
            raise ValueError(f"status {status}")
        index, answer = int(headers["x-consul-index"]), json.loads(body)
        if not isinstance(answer, list):
            raise TypeError("a list is needed")
        if index <= 0:  # it would be asked for again without a pause
            raise ValueError(f"X-Consul-Index {index}")
        if index != self.index:
            self.told(answer)
        # An index that goes back means that Consul began anew: the next question must not wait on the old.
        self.index = index if index >= self.index else 0
        self.tries = 0
        if self.stream is not None and not self.stream.code:
            self.ask()


class Registration(Asking):
    """This program's own service with a TTL check; the check is passed well before it lapses."""

    def __init__(
        self,
        config: ConsulConfig,
        clock: TurnReactor,
        name: str,
        listen: tuple[str, int],
        meta: dict[str, str],
        ready: Callable[[], bool],
    ) -> None:
        super().__init__(config, clock)
        self.id = f"{config.register}-{name}"
        self.listen = listen
        self.meta = meta
        self.ready = ready
        self.registered = False
        self.leaving = False
        self.step = ""  # the question that is out

    def ask(self) -> None:
        """The next step: registered first, then passed each third of the TTL, taken back at the end."""
        if self.stream is None or self.stream.code or self.step:
            return
        body = b""
        if self.leaving:
            self.step = "leave"
            path = f"/v1/agent/service/deregister/{quote(self.id, safe='')}"
        elif not self.registered:
            self.step = "register"
            path = "/v1/agent/service/register"
            ttl = f"{self.config.ttl_s:g}s"
            body = json.dumps(
                {
                    "ID": self.id,
                    "Name": self.config.register,
                    "Address": self.listen[0],
                    "Port": self.listen[1],
                    "Meta": self.meta,
                    "Check": {
                        "CheckID": f"service:{self.id}",
                        "TTL": ttl,
                        "DeregisterCriticalServiceAfter": "10m",
                    },
                }
            ).encode()
        else:
            self.step = "check"
            result = "pass" if self.ready() else "warn"
            path = f"/v1/agent/check/{result}/{quote(f'service:{self.id}', safe='')}"
        self.stream.ask("PUT", path, SLACK_S, body, self.headers)

    def answered(self, status: int, headers: dict[str, str], body: bytes) -> None:
        step, self.step = self.step, ""
        if step == "leave":
            self.stopped = True
            self.stream.end("leaving")
            return
        if step == "register" and status != 200:
            raise ValueError(f"status {status}")
        self.registered = status == 200
        if self.leaving or step == "register":
            self.ask()
        elif status == 200:
            self.tries = 0
            self.clock.callLater(self.config.ttl_s / 3, self.ask)
        else:  # the agent began anew and knows nothing of this program; not asked again without a pause
            log(f"note consul: check refused with {status}, registering again")
            self.clock.callLater(self.gap_s(), self.ask)

    def lost(self) -> None:
        self.step = ""
        super().lost()

    def leave(self) -> None:
        self.leaving = True
        self.ask()


class ConsulMembership:
    """Hubs are the instances that the catalogue lists; their states are what their health says."""

    def __init__(
        self,
        config: ConsulConfig,
        clock: TurnReactor,
        place: UnixPlace,
        told: Callable[[messages.HubsListed], None],
    ) -> None:
        name = quote(config.service, safe="")
        self.place = place
        self.told = told
        self.catalogue: dict[str, messages.Hub] | None = None
        self.states: dict[str, SwitchState] | None = None
        self.listed: tuple[messages.Hub, ...] | None = None
        self.watches = (
            Watch(config, clock, f"/v1/catalog/service/{name}", self.on_catalogue),
            Watch(config, clock, f"/v1/health/service/{name}", self.on_health),
        )

    def start(self) -> None:
        for watch in self.watches:
            watch.start()

    def stop(self) -> None:
        for watch in self.watches:
            watch.stopped = True
            if watch.stream is not None:
                watch.stream.end("leaving")

    def on_catalogue(self, answer: list) -> None:
        hubs = {}
        for item in answer:
            try:
                hub = self.hub_of(item)
                hubs[hub.name] = hub
            except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as fault:
                log(f"bad-endpoint detail={f'{type(fault).__name__}: {fault}'[:160]!r}")
        self.catalogue = hubs
        self.join()

    def hub_of(self, item: dict) -> messages.Hub:
        meta = item.get("ServiceMeta") or {}
        host, port = item.get("ServiceAddress") or item["Address"], int(item["ServicePort"])
        if not 0 < port < 65536:
            raise ValueError(f"port {port}")
        transport = str(meta.get("transport", "udp")).lower()
        if transport not in ("udp", "tcp"):
            raise ValueError(f"transport {transport!r}")
        address = f"{host}:{port}" + (";tcp" if transport == "tcp" else "")
        started_at = self.place.monotonic_us(float(meta.get("started_ms", 0)))
        return messages.Hub(
            str(item["ServiceID"]), int(meta["number"]), SwitchState.READY, address, started_at
        )

    def on_health(self, answer: list) -> None:
        states = {}
        for item in answer:
            try:
                states[str(item["Service"]["ID"])] = self.state_of(item["Checks"])
            except (KeyError, TypeError, AttributeError) as fault:
                log(f"bad-endpoint detail={f'{type(fault).__name__}: {fault}'[:160]!r}")
        self.states = states
        self.join()

    @staticmethod
    def state_of(checks: list[dict]) -> SwitchState:
        """The worst check counts; maintenance is a drain, though Consul calls it critical."""
        if any(str(check["CheckID"]).startswith(MAINTENANCE) for check in checks):
            return SwitchState.DRAINING
        states = {STATES.get(check["Status"], SwitchState.DRAINING) for check in checks}
        for state in (SwitchState.GONE, SwitchState.DRAINING):
            if state in states:
                return state
        return SwitchState.READY

    def join(self) -> None:
        """Nothing is told before both have answered; while Consul is away the last list holds."""
        if self.catalogue is None or self.states is None:
            return
        hubs = tuple(
            messages.Hub(hub.name, hub.number, self.states[name], hub.address, hub.started_at)
            for name, hub in sorted(self.catalogue.items())
            if self.states.get(name, SwitchState.GONE) is not SwitchState.GONE
        )
        if hubs != self.listed:
            self.listed = hubs
            self.told(messages.HubsListed(ListKind.COMPLETE, hubs))
