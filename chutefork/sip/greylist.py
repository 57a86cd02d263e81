"""A greylist: under overload the first copy of a datagram is dropped and its retransmission accepted."""

from __future__ import annotations

MAX_HASHES = 65_536  # in one generation


class Greylist:
    """Remembers the hashes of dropped datagrams, in two generations of limited size.

    A caller repeats a request that is not answered (RFC 3261, timers A and E); a sender that floods from ever
    new addresses does not.
    """

    def __init__(self) -> None:
        self.recent: set[int] = set()
        self.older: set[int] = set()

    def is_repeated(self, datagram: bytes, address: tuple[str, int]) -> bool:
        """Whether the same datagram came from the same address not long ago; remembers it if not."""
        digest = hash((datagram, address))
        if digest in self.recent or digest in self.older:
            return True
        if len(self.recent) >= MAX_HASHES:
            self.recent, self.older = set(), self.recent
        self.recent.add(digest)
        return False
