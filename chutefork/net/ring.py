"""A bounded ring buffer of bytes. Its storage grows as needed, so that idle connections use little memory."""

from __future__ import annotations


class RingBuffer:
    """First-in, first-out buffer of at most `limit` bytes; storage doubles as needed, shrinks once empty."""

    MIN_CAPACITY = 1024  # bytes

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.storage = bytearray(min(self.MIN_CAPACITY, limit))
        self.start = 0
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes) -> bool:
        """Stores all of the data; if that would exceed the limit, stores nothing and returns False."""
        needed = self.size + len(data)
        if needed > self.limit:
            return False
        if needed > len(self.storage):
            self._grow(needed)
        position = (self.start + self.size) % len(self.storage)
        before_wrap = min(len(data), len(self.storage) - position)
        self.storage[position : position + before_wrap] = data[:before_wrap]
        self.storage[: len(data) - before_wrap] = data[before_wrap:]
        self.size = needed
        return True

    def consume(self, max_bytes: int) -> bytes:
        """Removes and returns the oldest bytes, at most `max_bytes` of them."""
        count = min(max_bytes, self.size)
        before_wrap = min(count, len(self.storage) - self.start)
        data = bytes(self.storage[self.start : self.start + before_wrap]) + bytes(
            self.storage[: count - before_wrap]
        )
        self.start = (self.start + count) % len(self.storage)
        self.size -= count
        if not self.size:
            self.start = 0
            if len(self.storage) > self.MIN_CAPACITY:
                self.storage = bytearray(min(self.MIN_CAPACITY, self.limit))
        return data

    def clear(self) -> None:
        """Discards everything, and the storage with it."""
        self.storage = bytearray(1)
        self.start = self.size = 0

    def _grow(self, needed: int) -> None:
        capacity = len(self.storage)
        while capacity < needed:
            capacity *= 2
        size = self.size
        data = self.consume(size)
        self.storage = bytearray(min(capacity, self.limit))
        self.storage[:size] = data
        self.start, self.size = 0, size
