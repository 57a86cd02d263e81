"""Hub membership from Consul's catalogue and health endpoints, followed with blocking queries.

A Consul that has lost its state lists the hubs only as they register again. Until then the hubs that it
listed before are kept: its empty list says nothing about them. An index that goes backwards shows the loss.
So does a list without any hub from a Consul that was reached on another connection: its index may be higher.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING
from urllib.parse import quote

from .consul import BlockingQuery
from .core import messages
from .interface import ListKind, SwitchState
from .net.connection import log

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall

    from .net.clock import CachedClockReactor, UnixClock
    from .sip.settings import ConsulConfig

# How long the other hubs have to register again, from the first one that Consul lists after it has lost its
# state. Consul's agents repeat their registrations every few minutes.
RETENTION_S = 600.0
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
        self.clock = clock
        self.unix_clock = unix_clock
        self.on_hub_list = on_hub_list
        self.hubs_by_id: dict[str, messages.Hub] | None = None
        self.states_by_id: dict[str, SwitchState] | None = None
        self.published_hubs: tuple[messages.Hub, ...] | None = None
        # Published before Consul lost its state, and not listed again since: by name.
        self.retained_hubs: dict[str, messages.Hub] = {}
        self.retention_timer: IDelayedCall | None = None
        # Consul was reached on another connection, and has listed no hub since.
        self.may_have_lost_state = False
        self.queries = tuple(
            BlockingQuery(
                config,
                clock,
                f"/v1/{endpoint}/service/{name}",
                on_result,
                self.on_index_reset,
                self.on_reconnected,
            )
            for endpoint, on_result in (("catalog", self.on_catalogue), ("health", self.on_health))
        )

    def start(self) -> None:
        for query in self.queries:
            query.connect()

    def stop(self) -> None:
        for query in self.queries:
            query.shut_down()
        self.stop_retention_timer()

    def on_catalogue(self, result: list) -> None:
        hubs = {}
        for entry in result:
            try:
                hub = self.parse_hub(entry)
                hubs[hub.name] = hub
            except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
                log(f"bad-endpoint detail={f'{type(error).__name__}: {error}'[:160]!r}")
        self.hubs_by_id = hubs
        if hubs and self.retained_hubs and self.retention_timer is None:
            self.retention_timer = self.clock.callLater(RETENTION_S, self.end_retention)
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

    def on_reconnected(self) -> None:
        """Notes that Consul may have lost its state since the answer before."""
        self.may_have_lost_state = True

    def on_index_reset(self) -> None:
        """Handles the loss of Consul's state."""
        self.retain_published_hubs("its index went backwards")

    def retain_published_hubs(self, evidence: str) -> None:
        """Keeps the hubs published so far until Consul, which has lost its state, lists them again."""
        self.retained_hubs = {hub.name: hub for hub in self.published_hubs or ()}
        log(f"note consul: {evidence}, {len(self.retained_hubs)} hubs kept until listed again")
        self.stop_retention_timer()

    def stop_retention_timer(self) -> None:
        if self.retention_timer is not None and self.retention_timer.active():
            self.retention_timer.cancel()
        self.retention_timer = None

    def end_retention(self) -> None:
        """Gives up the hubs that have not registered again, unless the catalogue is still or again empty."""
        self.retention_timer = None
        if not self.hubs_by_id:
            return
        log(f"note consul: {len(self.retained_hubs)} hubs removed, not listed again in {RETENTION_S:.0f} s")
        self.retained_hubs.clear()
        self.publish_if_changed()

    def publish_if_changed(self) -> None:
        """Passes on the joined list if it has changed, once both queries have been answered.

        While Consul is unreachable, the last list holds. A hub that both answers contain is no longer kept
        from before: whatever they say of it counts.
        """
        if self.hubs_by_id is None or self.states_by_id is None:
            return
        listed = {
            name: replace(hub, state=self.states_by_id[name])
            for name, hub in self.hubs_by_id.items()
            if name in self.states_by_id
        }
        if listed:
            self.may_have_lost_state = False
        elif self.may_have_lost_state and self.published_hubs and not self.retained_hubs:
            self.retain_published_hubs("no hub is listed after a reconnect")
        hubs_by_name = {**self.retained_hubs, **listed}
        for name in listed:
            self.retained_hubs.pop(name, None)
        hubs = tuple(hub for _, hub in sorted(hubs_by_name.items()) if hub.state is not SwitchState.GONE)
        if hubs != self.published_hubs:
            self.published_hubs = hubs
            self.on_hub_list(messages.HubsListed(ListKind.COMPLETE, hubs))
