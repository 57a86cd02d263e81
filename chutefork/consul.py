"""Hub membership from Consul's catalogue and health endpoints, and this program's own service registration.

Membership is followed with blocking queries. Each query, and the registration, has a persistent connection
of its own, which is reopened with exponential backoff after each failure.
"""

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
    from .net.clock import CachedClockReactor, UnixClock
    from .sip.settings import ConsulConfig

RETRY_DELAY_RANGE_S = (0.1, 10.0)  # first and longest, before jitter; doubles with each failure
# Shortest and longest; doubles with each failure, so that an answer that is always late still arrives. For a
# blocking query on top of its wait, to which Consul adds up to 1/16.
RESPONSE_TIMEOUT_RANGE_S = (5.0, 40.0)
MAINTENANCE_CHECK_PREFIXES = ("_node_maintenance", "_service_maintenance:")
STATE_BY_CHECK_STATUS = {
    "passing": SwitchState.READY,
    "warning": SwitchState.DRAINING,
    "critical": SwitchState.GONE,
}


class ConsulClient:
    """Base of the Consul clients: one HTTP connection, reopened with exponential backoff when it fails.

    `HttpStream` calls `on_connected`, `on_response` and `on_disconnected`; subclasses implement
    `send_next_request`.
    """

    role = "consul"

    def __init__(self, config: ConsulConfig, clock: CachedClockReactor) -> None:
        self.config = config
        self.address = config.address
        self.clock = clock
        self.stream: HttpStream | None = None
        self.failures = 0  # since the last success
        self.stopped = False
        self.headers = (("X-Consul-Token", config.token),) if config.token else ()

    def start(self) -> None:
        """Connects, unless `stopped` was set while a retry was waiting."""
        if not self.stopped:
            connect(self, self.clock)

    def on_connected(self, stream: HttpStream) -> None:
        self.stream = stream
        self.send_next_request()

    def send_next_request(self) -> None:
        """Sends the next request on `stream`."""
        raise NotImplementedError

    def on_disconnected(self) -> None:
        self.stream = None
        self.clock.callLater(self.next_retry_delay_s(), self.start)

    def response_timeout_s(self) -> float:
        """How long the answer to the next request may take."""
        shortest_s, longest_s = RESPONSE_TIMEOUT_RANGE_S
        return min(shortest_s * 2 ** min(self.failures, 16), longest_s)

    def next_retry_delay_s(self) -> float:
        """Counts a failure and returns the backoff after it, with up to 50 % of random jitter on top."""
        self.failures += 1
        return min(
            RETRY_DELAY_RANGE_S[0] * 2 ** min(self.failures - 1, 16), RETRY_DELAY_RANGE_S[1]
        ) * random.uniform(1.0, 1.5)


class BlockingQuery(ConsulClient):
    """Repeats one blocking query until `stopped` is set.

    `on_result` gets the decoded JSON list whenever Consul's index has changed.
    """

    def __init__(
        self, config: ConsulConfig, clock: CachedClockReactor, path: str, on_result: Callable[[list], None]
    ) -> None:
        super().__init__(config, clock)
        self.path = path
        self.on_result = on_result
        self.index = 0

    def send_next_request(self) -> None:
        path = f"{self.path}?index={self.index}&wait={self.config.wait_s:g}s"
        timeout_s = self.config.wait_s * 17 / 16 + self.response_timeout_s()
        self.stream.request("GET", path, timeout_s, headers=self.headers)

    def on_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Passes on the result if the index has changed, and sends the next query.

        Raises ValueError, KeyError or TypeError for an invalid response, which ends the connection.
        """
        if status != 200:
            raise ValueError(f"status {status}")
        index, result = int(headers["x-consul-index"]), json.loads(body)
        if not isinstance(result, list):
            raise TypeError("not a JSON list")
        if index <= 0:  # a query with index 0 does not block: it would be repeated without a pause
            raise ValueError(f"X-Consul-Index must be above 0, is {index}")
        if index != self.index:
            self.on_result(result)
        # An index that goes backwards means that Consul has lost its state, as by a restart. A query with the
        # old index would block until Consul's new index passed it, so the next query starts from 0.
        self.index = index if index >= self.index else 0
        self.failures = 0
        if self.stream is not None and not self.stream.end_code:
            self.send_next_request()


class Registration(ConsulClient):
    """Registers this program as a Consul service with a TTL check, renewed every third of the TTL.

    `listen` and `meta` go into the service entry. While `is_ready` returns False the check is set to warning.
    """

    def __init__(
        self,
        config: ConsulConfig,
        clock: CachedClockReactor,
        name: str,
        listen: tuple[str, int],
        meta: dict[str, str],
        is_ready: Callable[[], bool],
    ) -> None:
        super().__init__(config, clock)
        self.id = f"{config.register}-{name}"
        self.listen = listen
        self.meta = meta
        self.is_ready = is_ready
        self.registered = False
        self.deregistering = False
        self.pending_request = ""  # sent and unanswered: "register", "check" or "leave"; empty: none

    def send_next_request(self) -> None:
        """Sends the next request unless one is pending: register, then check renewals, deregister at exit."""
        if self.stream is None or self.stream.end_code or self.pending_request:
            return
        body = b""
        if self.deregistering:
            self.pending_request = "leave"
            path = f"/v1/agent/service/deregister/{quote(self.id, safe='')}"
        elif not self.registered:
            self.pending_request = "register"
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
            self.pending_request = "check"
            result = "pass" if self.is_ready() else "warn"
            path = f"/v1/agent/check/{result}/{quote(f'service:{self.id}', safe='')}"
        self.stream.request("PUT", path, self.response_timeout_s(), body, self.headers)

    def on_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        request, self.pending_request = self.pending_request, ""
        if request == "leave":
            self.stopped = True
            self.stream.close("leaving")
            return
        if request == "register" and status != 200:
            raise ValueError(f"status {status}")
        self.registered = status == 200
        if self.deregistering or request == "register":
            self.send_next_request()
        elif status == 200:
            self.failures = 0
            self.clock.callLater(self.config.ttl_s / 3, self.send_next_request)
        else:  # the agent has restarted and lost the registration; wait, so as not to repeat without a pause
            log(f"note consul: check refused with {status}, registering again")
            self.clock.callLater(self.next_retry_delay_s(), self.send_next_request)

    def on_disconnected(self) -> None:
        self.pending_request = ""
        super().on_disconnected()

    def deregister(self) -> None:
        """Deregisters the service, once no other request is pending, and then closes the connection."""
        self.deregistering = True
        self.send_next_request()


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
