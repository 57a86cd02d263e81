"""A TCP proxy as a process of its own, for cuts and resets; configured by the JSON text in the argument.

Commands are lines on standard input: `cut` holds all bytes in both directions, `heal` passes them on again,
`reset` resets all connections.
"""

import asyncio
import contextlib
import json
import socket
import struct
import sys

from .stand_in import command_lines

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, config):
        self.config = config
        self.passing = asyncio.Event()
        self.passing.set()
        self.writers = set()

    async def run(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.config["port"], reuse_address=True)
        async with server:
            async for line in command_lines():
                self.command(line)

    def command(self, name):
        if name == "cut":
            self.passing.clear()
        elif name == "heal":
            self.passing.set()
        elif name == "reset":
            for writer in list(self.writers):
                sock = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()

    async def serve(self, near_reader, near_writer):
        await self.passing.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.config["target"])
        except OSError:
            near_writer.transport.abort()
            return
        self.writers |= {near_writer, far_writer}
        await asyncio.gather(self.pass_on(near_reader, far_writer), self.pass_on(far_reader, near_writer))
        self.writers -= {near_writer, far_writer}
        for writer in (near_writer, far_writer):
            writer.close()

    async def pass_on(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
            await self.passing.wait()
            if writer.can_write_eof():
                writer.write_eof()


if __name__ == "__main__":
    asyncio.run(Proxy(json.loads(sys.argv[1])).run())
