"""One connection to an exchange, and when it counts as silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.protocols.basic import Int16StringReceiver

from .connection import MAX_MESSAGE_BYTES, Connection
from .frames import decode_frame, encode_release

if TYPE_CHECKING:
    from .exchange_link import ExchangeLink

# Silence limit, in mean gaps between frames, before the first answer or while no set-up is pending.
SILENCE_GAPS = 40
# Minimum and maximum of that limit; the maximum also holds for the limit from the answer timeout.
SILENCE_LIMITS_US = (150_000, 1_500_000)
MAX_ESTABLISHED_SILENCE_US = 5_000_000  # with established calls, after doublings
MAX_UNCONFIRMED_RELEASES = 10_000
# A frame from an exchange shows that releases sent so long before it have arrived.
RELEASE_CONFIRMED_AFTER_US = 1_000_000


class ExchangeProtocol(Connection, Int16StringReceiver):
    """One connection to an exchange. Detects when it has been silent for too long."""

    role = "exchange"
    MAX_LENGTH = MAX_MESSAGE_BYTES
    last_frame_at = last_setup_at = 0
    mean_gap_us = 0.0  # smoothed, between received frames
    found_silent = False  # at the last check

    def __init__(self, link: ExchangeLink) -> None:
        self.link = link
        self.clock = link.clock
        self.pending_setups: dict[int, int] = {}  # set-ups sent here and not completed: call -> when sent
        # releases sent here that may not have arrived: call -> when sent, oldest first
        self.unconfirmed_releases: dict[int, int] = {}
        self.peer = f"{link.hub.name}@{link.hub.address}"

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.last_frame_at = self.opened_at
        self.link.connected(self)

    def is_silent(self, now: int) -> bool:
        """Whether no frame has come for longer than a working connection ever goes without one.

        This counts while a set-up is pending on it or calls are established at the exchange. A set-up that
        was overdue already when the last frame came does not count: its answer alone is lost, which says
        nothing about the connection. The limit doubles with each connection in a row that was closed as
        silent, up to five times. With established calls, set-ups that keep coming do not put off the end of
        a silence of MAX_ESTABLISHED_SILENCE_US.
        """
        (min_us, max_us), doublings = SILENCE_LIMITS_US, min(self.link.consecutive_silences, 5)
        gap_limit_us = (
            round(self.mean_gap_us * SILENCE_GAPS) if self.messages_received > SILENCE_GAPS else max_us
        )
        gap_limit_us = min(max(gap_limit_us, min_us), max_us)
        limit_us = (min(self.link.answer_timeout_us(), max_us) or gap_limit_us) << doublings
        waiting_since = next(
            (
                setup_at
                for setup_at in self.pending_setups.values()
                if setup_at + limit_us > self.last_frame_at
            ),
            None,
        )
        if waiting_since is not None and now - max(waiting_since, self.last_frame_at) > limit_us:
            return True
        if not self.link.has_established_calls():
            return False
        limit_us = MAX_ESTABLISHED_SILENCE_US
        if waiting_since is None:
            limit_us = min(gap_limit_us << doublings, limit_us)
        return now - self.last_frame_at > limit_us

    def send_release(self, call: int) -> bool:
        """Sends a release and remembers it until it is confirmed; False as for `send`."""
        if not self.send(encode_release(call)):
            return False
        if len(self.unconfirmed_releases) < MAX_UNCONFIRMED_RELEASES:
            self.unconfirmed_releases[call] = self.clock.now_us()
        return True

    def close(self, code: str, detail: str = "", at_once: bool = False) -> None:
        """Closes the connection as `Connection.close` does, after releases of the set-ups open on it.

        An exchange that hangs reads what is in order before the end. Without a release there it would run a
        set-up that has been given up, and the release on the next connection may be read before it.
        """
        if not at_once and not self.end_code:
            for call in self.pending_setups:
                self.send(encode_release(call))
        super().close(code, detail, at_once)

    def confirm_releases(self, now: int) -> None:
        """Forgets the releases that have arrived, as a frame received now shows."""
        for call, sent_at in list(self.unconfirmed_releases.items()):
            if sent_at > now - RELEASE_CONFIRMED_AFTER_US:
                break
            del self.unconfirmed_releases[call]

    def resumeProducing(self) -> None:  # noqa: N802
        super().resumeProducing()
        self.link.flush()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        if self.end_code:
            return
        self.messages_received += 1
        now = self.clock.now_us()
        self.mean_gap_us += (now - self.last_frame_at - self.mean_gap_us) / min(self.messages_received, 50)
        self.last_frame_at = self.link.last_reached_at = now
        self.confirm_releases(now)
        try:
            self.link.frame_received(decode_frame(string))
        except (ValueError, OverflowError) as exc:
            self.close("bad-frame", str(exc))

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.close("long-frame", f"{length} bytes")

    def on_closed(self) -> None:
        self.link.connection_lost(self)
