"""A bounded ring buffer of bytes. Its room grows as needed, so that idle connections cost little."""

from __future__ import annotations


class RingBuffer:
    SMALLEST = 1024

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.room = bytearray(min(self.SMALLEST, bound))
        self.start = 0
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def put(self, data: bytes) -> bool:
        """Takes all of the data or, where it would pass the bound, none."""
        needed = self.size + len(data)
        if needed > self.bound:
            return False
        if needed > len(self.room):
            self._grow(needed)
        at = (self.start + self.size) % len(self.room)
        first = min(len(data), len(self.room) - at)
        self.room[at : at + first] = data[:first]
        self.room[: len(data) - first] = data[first:]
        self.size = needed
        return True

    def take(self, most: int) -> bytes:
        """The oldest bytes, at most so many."""
        count = min(most, self.size)
        first = min(count, len(self.room) - self.start)
        data = bytes(self.room[self.start : self.start + first]) + bytes(self.room[: count - first])
        self.start = (self.start + count) % len(self.room)
        self.size -= count
        if not self.size:
            self.start = 0
            if len(self.room) > self.SMALLEST:
                self.room = bytearray(min(self.SMALLEST, self.bound))
        return data

    def _grow(self, needed: int) -> None:
        length = len(self.room)
        while length < needed:
            length *= 2
        held = self.size
        data = self.take(held)
        self.room = bytearray(min(length, self.bound))
        self.room[:held] = data
        self.start, self.size = 0, held
