"""Consul's HTTP API: blocking queries, and this program's own service registration.

Each query polls as `Poller` does. The registration has one persistent connection, which is reopened with
exponential backoff after each failure.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import quote

from .net.connection import log
from .net.http import HttpStream, connect
from .net.polling import PollConnection, Poller

if TYPE_CHECKING:
    from .net.clock import CachedClockReactor
    from .sip.settings import ConsulConfig

RETRY_DELAY_RANGE_S = (0.1, 10.0)  # first and longest, before jitter; doubles with each failure
# Shortest and longest; doubles with each failure, so that an answer that is always late still arrives.
RESPONSE_TIMEOUT_RANGE_S = (5.0, 40.0)
# Of a blocking query. A watch that has fallen silent is noticed only after it, and a change counts as told
# 6 s after Consul has it.
MAX_WAIT_S = 3.0
OVERDUE_AFTER_S = 1.0  # after the wait


def token_headers(config: ConsulConfig) -> tuple[tuple[str, str], ...]:
    """The header with the token of the configuration, if there is one."""
    return (("X-Consul-Token", config.token),) if config.token else ()


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
        self.headers = token_headers(config)

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


class BlockingQuery(Poller):
    """Repeats one blocking query until `shut_down` is called.

    `on_result` gets the decoded JSON list whenever Consul's index has changed. Before it, `on_index_reset` is
    called if the index has gone backwards: Consul has lost its state, as by a restart; `on_reconnected` if
    the answer came on another connection than the one before: Consul may have lost its state since.
    """

    role = "consul"

    def __init__(
        self,
        config: ConsulConfig,
        clock: CachedClockReactor,
        path: str,
        on_result: Callable[[list], None],
        on_index_reset: Callable[[], None],
        on_reconnected: Callable[[], None],
    ) -> None:
        super().__init__(config.address, clock, token_headers(config))
        self.path = path
        self.wait_s = min(config.wait_s, MAX_WAIT_S)
        self.on_result = on_result
        self.on_index_reset = on_index_reset
        self.on_reconnected = on_reconnected
        self.index = 0  # of the latest result
        self.answered_at = 0  # when it came
        self.answered_poll: PollConnection | None = None  # on which it came
        self.is_reset = False  # the latest answer was the first after Consul has lost its state

    def next_request(self, poll: PollConnection) -> tuple[str, float]:
        # The first query on a connection does not block: Consul may have restarted with a lower index, and a
        # query from the old one would block there. The same holds after an index that went backwards.
        blocks = poll.answers > 0 and not self.is_reset
        path = f"{self.path}?index={self.index if blocks else 0}&wait={self.wait_s:g}s"
        # Consul adds up to 1/16 to the wait.
        return path, (self.wait_s * 17 / 16 if blocks else 0.0) + OVERDUE_AFTER_S

    def handle_answer(self, poll: PollConnection, headers: dict[str, str], body: bytes) -> None:
        """Passes on the result if it may have changed.

        An answer with a lower index than the latest one's is only late if its query was sent before that one.
        """
        index, result = int(headers["x-consul-index"]), json.loads(body)
        if not isinstance(result, list):
            raise TypeError("not a JSON list")
        if index <= 0:  # a query with index 0 does not block: it would be repeated without a pause
            raise ValueError(f"X-Consul-Index must be above 0, is {index}")
        if index < self.index and poll.asked_at < self.answered_at:
            return
        may_have_changed = index != self.index or poll is not self.answered_poll or self.is_reset
        self.is_reset = index < self.index
        is_other_connection = self.answered_poll is not None and poll is not self.answered_poll
        self.index, self.answered_at, self.answered_poll = index, self.clock.now_us(), poll
        if is_other_connection:
            self.on_reconnected()
        if self.is_reset:
            self.on_index_reset()
        if may_have_changed:
            self.on_result(result)


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
