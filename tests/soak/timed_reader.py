"""A stream reader that tells when each line arrived, however late it is read."""

import asyncio
import time
from collections import deque


class TimedReader(asyncio.StreamReader):
    """Notes the time of each piece of input; times are CLOCK_MONOTONIC in seconds."""

    def __init__(self):
        super().__init__(loop=asyncio.get_running_loop())
        self.arrivals = deque()  # (how many bytes had come by then, time)
        self.bytes_received = self.bytes_read = 0

    def feed_data(self, data):
        self.bytes_received += len(data)
        self.arrivals.append((self.bytes_received, time.monotonic()))
        super().feed_data(data)

    async def read_timed_line(self):
        """The next line and when its last byte arrived; an empty line and 0.0 at the end of the input."""
        line = await self.readline()
        if not line:
            return line, 0.0
        self.bytes_read += len(line)
        while self.arrivals[0][0] < self.bytes_read:
            self.arrivals.popleft()
        return line, self.arrivals[0][1]


async def open_timed_connection(host, port):
    """Connects like `asyncio.open_connection`; the reader is a TimedReader."""
    loop = asyncio.get_running_loop()
    reader = TimedReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
