"""The hub side of the platform's protocol: the links to all exchanges of the list."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core import messages
from ..interface import Outcome
from .exchange_link import ExchangeLink

if TYPE_CHECKING:
    from .callers import CallerFrontend
    from .clock import CachedClockReactor
    from .driver import Driver

SILENCE_CHECK_INTERVAL_S = 0.025


class ExchangeBackend:
    """The links to all exchanges of the list; carries out the core's effects towards them."""

    def __init__(
        self,
        driver: Driver,
        frontend: CallerFrontend,
        clock: CachedClockReactor,
        connect_timeout_s: float,
        idle_close_s: float,
    ) -> None:
        self.driver = driver
        self.frontend = frontend
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.idle_close_s = idle_close_s
        self.links: dict[str, ExchangeLink] = {}
        # called once, when every link has been connected or has failed to
        self.on_all_tried: Callable[[], None] | None = None

    def check_silences(self) -> None:
        """Checks all links for silence, now and at every SILENCE_CHECK_INTERVAL_S from now on."""
        for link in list(self.links.values()):
            link.check_silence(self.clock.now_us())
            link.check_down(self.clock.now_us())
        self.clock.callLater(SILENCE_CHECK_INTERVAL_S, self.check_silences)

    def has_established_calls(self, hub: str) -> bool:
        entry = self.driver.state.hubs.get(hub)
        return entry is not None and bool(entry.established_calls)

    def check_all_tried(self) -> None:
        if self.links and all(link.tried for link in self.links.values()) and self.on_all_tried is not None:
            self.on_all_tried()
            self.on_all_tried = None

    def update_hub_connection(self, effect: messages.UpdateHubConnection) -> None:
        """Connects to an exchange, follows a change of its address or process, or disconnects from it."""
        link = self.links.get(effect.hub.name)
        if link is None:
            if not effect.keep_connection:
                return
            link = self.links[effect.hub.name] = ExchangeLink(self, effect.hub)
        moved = link.hub.address != effect.hub.address
        restarted = link.hub.started_at < effect.hub.started_at
        link.hub, link.keep_connection, link.accepts_setups = (
            effect.hub,
            effect.keep_connection,
            effect.accepts_setups,
        )
        if moved:
            link.drop_connection("moved")
            if link.connector is not None:
                link.connector.stopConnecting()
        elif restarted and link.connection is not None:
            if link.connection.last_frame_at < effect.hub.started_at:
                # The present process has sent nothing on it. If the one before vanished, it leads nowhere.
                link.drop_connection("restarted")
        if not effect.accepts_setups:
            unsent, link.queued_setups = link.queued_setups, {}
            for call in unsent:  # Otherwise they would still be sent to the draining exchange once connected.
                self.driver.post_later(messages.AttemptEnded(call, link.hub.name, Outcome.NOT_SENT))
        if effect.keep_connection:
            if link.retry_timer is None:
                link.connect()
            return
        del self.links[effect.hub.name]
        link.disconnect("let-go")

    def leave_served_exchanges(self) -> bool:
        """Leaves each exchange for which no release waits; returns whether none is left.

        For a shutdown without callers: the exchanges then tell another process of the ends of their calls.
        """
        for name, link in list(self.links.items()):
            if not link.has_unsent_releases():
                link.leave()
                del self.links[name]
        return not self.links

    def shut_down(self) -> None:
        """Closes the connections to all exchanges for good."""
        for link in self.links.values():
            link.leave()
        self.links.clear()

    def set_up(self, effect: messages.SetUp) -> None:
        link = self.links.get(effect.hub)
        if link is None or not link.accepts_setups:
            self.driver.post_later(messages.AttemptEnded(effect.call, effect.hub, Outcome.NOT_SENT))
        else:
            link.set_up(effect)

    def release(self, effect: messages.Release) -> None:
        link = self.links.get(effect.hub)
        if link is not None:
            link.release(effect)
