"""Hub membership from Consul's catalogue and health endpoints, followed with blocking queries."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import quote

from .consul import BlockingQuery
from .core import messages
from .interface import ListKind, SwitchState
from .net.connection import log

if TYPE_CHECKING:
    from .net.clock import CachedClockReactor, UnixClock
    from .sip.settings import ConsulConfig

MAINTENANCE_CHECK_PREFIXES = ("_node_maintenance", "_service_maintenance:")
STATE_BY_CHECK_STATUS = {
    "passing": SwitchState.READY,
    "warning": SwitchState.DRAINING,
    "critical": SwitchState.GONE,
}


class ConsulMembership:
    """Joins the instances in Consul's catalogue with their health into complete hub lists.

    `on_hub_list` gets an event for the reducer whenever the joined list differs from the last one.
    `unix_clock` converts the start times in the instances' metadata.
    """

    def __init__(
        self,
        config: ConsulConfig,
        clock: CachedClockReactor,
        unix_clock: UnixClock,
        on_hub_list: Callable[[messages.HubsListed], None],
    ) -> None:
        name = quote(config.service, safe="")
        self.unix_clock = unix_clock
        self.on_hub_list = on_hub_list
        self.hubs_by_id: dict[str, messages.Hub] | None = None
        self.states_by_id: dict[str, SwitchState] | None = None
        self.published_hubs: tuple[messages.Hub, ...] | None = None
        self.queries = (
            BlockingQuery(config, clock, f"/v1/catalog/service/{name}", self.on_catalogue),
            BlockingQuery(config, clock, f"/v1/health/service/{name}", self.on_health),
        )

    def start(self) -> None:
        for query in self.queries:
            query.start()

    def stop(self) -> None:
        for query in self.queries:
            query.stopped = True
            if query.stream is not None:
                query.stream.close("leaving")

    def on_catalogue(self, result: list) -> None:
        hubs = {}
        for entry in result:
            try:
                hub = self.parse_hub(entry)
                hubs[hub.name] = hub
            except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
                log(f"bad-endpoint detail={f'{type(error).__name__}: {error}'[:160]!r}")
        self.hubs_by_id = hubs
        self.publish_if_changed()

    def parse_hub(self, entry: dict) -> messages.Hub:
        """A hub from a catalogue entry, in state READY; its address is `host:port`, with `;tcp` for TCP.

        An unusable entry raises ValueError, KeyError, TypeError, AttributeError or OverflowError.
        """
        meta = entry.get("ServiceMeta") or {}
        host, port = entry.get("ServiceAddress") or entry["Address"], int(entry["ServicePort"])
        if not 0 < port < 65536:
            raise ValueError(f"port out of range: {port}")
        transport = str(meta.get("transport", "udp")).lower()
        if transport not in ("udp", "tcp"):
            raise ValueError(f"transport must be udp or tcp, is {transport!r}")
        address = f"{host}:{port}" + (";tcp" if transport == "tcp" else "")
        started_at = self.unix_clock.monotonic_us(float(meta.get("started_ms", 0)))
        return messages.Hub(
            str(entry["ServiceID"]), int(meta["number"]), SwitchState.READY, address, started_at
        )

    def on_health(self, result: list) -> None:
        states = {}
        for entry in result:
            try:
                states[str(entry["Service"]["ID"])] = self.state_from_checks(entry["Checks"])
            except (KeyError, TypeError, AttributeError) as error:
                log(f"bad-endpoint detail={f'{type(error).__name__}: {error}'[:160]!r}")
        self.states_by_id = states
        self.publish_if_changed()

    @staticmethod
    def state_from_checks(checks: list[dict]) -> SwitchState:
        """The state of a hub, decided by its worst check.

        Maintenance mode drains the hub, though Consul reports it as critical.
        """
        if any(str(check["CheckID"]).startswith(MAINTENANCE_CHECK_PREFIXES) for check in checks):
            return SwitchState.DRAINING
        states = {STATE_BY_CHECK_STATUS.get(check["Status"], SwitchState.DRAINING) for check in checks}
        for state in (SwitchState.GONE, SwitchState.DRAINING):
            if state in states:
                return state
        return SwitchState.READY

    def publish_if_changed(self) -> None:
        """Passes on the joined list if it has changed, once both queries have been answered.

        While Consul is unreachable, the last list holds.
        """
        if self.hubs_by_id is None or self.states_by_id is None:
            return
        hubs = tuple(
            messages.Hub(hub.name, hub.number, self.states_by_id[name], hub.address, hub.started_at)
            for name, hub in sorted(self.hubs_by_id.items())
            if self.states_by_id.get(name, SwitchState.GONE) is not SwitchState.GONE
        )
        if hubs != self.published_hubs:
            self.published_hubs = hubs
            self.on_hub_list(messages.HubsListed(ListKind.COMPLETE, hubs))
