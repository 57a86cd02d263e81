"""The end of connections in a shutdown: what has arrived is answered, and peers may read what was sent."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING

from ..shutdown import CHECK_INTERVAL_S

if TYPE_CHECKING:
    from .clock import CachedClockReactor
    from .connection import Connection

MAX_LAST_READS = 1024  # of all connections that are ended together
END_CODE = "leaving"


def finish_connections(connections: Iterable[Connection]) -> None:
    """Processes what has arrived on the connections, and sends nothing on them after that."""
    connections = tuple(connections)
    _read_arrived_input(connections)
    for connection in connections:
        connection.finish(END_CODE)


def _read_arrived_input(connections: Iterable[Connection]) -> None:
    """Processes a piece of what has arrived on each connection in turn."""
    pending = deque(connections)
    reads_left = MAX_LAST_READS
    while pending and reads_left:
        connection = pending.popleft()
        if connection.read_arrived_piece():
            pending.append(connection)
            reads_left -= 1


def close_when_peers_have(
    clock: CachedClockReactor,
    connections: Collection[Connection],
    wait_until: int,
    on_closed: Callable[[], None],
) -> None:
    """Waits until all connections have ended, and closes those that are left at the time `wait_until`.

    `connections` are the open ones, kept up to date by their owner; times are microseconds on the monotonic
    clock.
    """
    now = clock.now_us()
    if connections and now < wait_until:
        delay_s = min(CHECK_INTERVAL_S, (wait_until - now) / 1e6)
        clock.callLater(delay_s, close_when_peers_have, clock, connections, wait_until, on_closed)
        return
    for connection in tuple(connections):
        connection.close(END_CODE)
    on_closed()
