"""Delivery of the ends of established calls to callers, also of calls from before a restart."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

MAX_KEPT_RELEASES = 10_000  # of either kind below


class CallerConnection(Protocol):
    """What the choice of a connection depends on; see `CallerProtocol`."""

    used: bool
    setups_received: int
    calls_carried: int
    last_line_at: int

    def peer_has_closed(self) -> bool: ...
    def send(self, data: bytes) -> bool: ...
    def release_sent(self, call: int, data: bytes) -> None: ...


class CallerReleases:
    """Sends each release on one connection, and keeps those that may not have reached a caller.

    A connection that has brought a set-up belongs to a caller. One that has passed only health checks
    probably does: after a restart of this program no connection has brought a set-up yet. A release sent on
    such a connection is repeated on the next one that brings a set-up, unless it is acknowledged before.
    """

    def __init__(self, connections: Iterable[CallerConnection]) -> None:
        self.connections = connections  # those that are open, kept up to date by the owner
        self.unsent: dict[int, bytes] = {}  # by call; no connection was usable
        self.unconfirmed: dict[int, bytes] = {}  # by call; sent where only health checks had come

    def send(self, call: int, data: bytes, preferred: CallerConnection | None) -> None:
        """Sends the release `data` of a call: on `preferred`, else on the most trusted open connection."""
        callers = sorted(
            (candidate for candidate in self.connections if candidate.setups_received),
            key=lambda candidate: -candidate.calls_carried,
        )
        if preferred in self.connections:
            callers.insert(0, preferred)
        if any(self._send_on(candidate, call, data) for candidate in callers):
            return
        checked = sorted(
            (candidate for candidate in self.connections if candidate.used),
            key=lambda candidate: -candidate.last_line_at,
        )
        if any(self._send_on(candidate, call, data) for candidate in checked):
            _keep(self.unconfirmed, call, data)
        else:
            _keep(self.unsent, call, data)

    @staticmethod
    def _send_on(connection: CallerConnection, call: int, data: bytes) -> bool:
        # What is written to a connection that the peer has closed is lost, and the end of it looks orderly.
        if connection.peer_has_closed() or not connection.send(data):
            return False
        connection.release_sent(call, data)
        return True

    def setup_received(self, connection: CallerConnection) -> None:
        """Sends everything that is kept: the connection belongs to a caller."""
        if not self.unsent and not self.unconfirmed:
            return
        releases = {**self.unsent, **self.unconfirmed}
        self.unsent.clear()
        self.unconfirmed.clear()
        for call, data in releases.items():
            self.send(call, data, connection)

    def check_received(self, connection: CallerConnection) -> None:
        """Sends what had no usable connection, after a health check on this one."""
        releases, self.unsent = self.unsent, {}
        for call, data in releases.items():
            self.send(call, data, connection if connection.setups_received else None)

    def acknowledged(self, call: int) -> None:
        """Forgets the release of a call that its caller has acknowledged."""
        self.unconfirmed.pop(call, None)


def _keep(releases: dict[int, bytes], call: int, data: bytes) -> None:
    if len(releases) < MAX_KEPT_RELEASES:
        releases[call] = data
