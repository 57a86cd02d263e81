"""What the stand-ins of the soak have in common: tasks, timers, and commands on standard input."""

import asyncio
import json
import sys

from .events import EventLog

STALL_S = 0.1  # a timer that is later by so much shows that the process was stopped


async def command_lines():
    """The lines of standard input, as text."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield line.decode().strip()


class StandInTasks:
    """Tasks and timers of a stand-in that can hang: `silent` while it reads and sends nothing."""

    def __init__(self):
        self.silent = False
        self.tasks = set()  # a task that nothing refers to may be destroyed

    def start(self, coroutine):
        """Runs a coroutine beside the others."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def later(self, delay_s, action, *arguments):
        """Has `action` called after the delay; after a stop or a silence not before the input is read."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay_s

        def run():
            if loop.time() > due + STALL_S or self.silent:
                self.later(STALL_S, action, *arguments)
            else:
                action(*arguments)

        loop.call_later(delay_s, run)


class CallerGroup(StandInTasks):
    """The callers of one process; commands tell the ports to call, and when to stop."""

    def __init__(self, config):
        super().__init__()
        self.config = config
        self.log = EventLog(config["log"], config["name"])
        self.ports = []
        self.stopping = False

    async def run(self, callers):
        """Runs the callers until standard input ends."""
        for caller in callers:
            self.start(caller.run())
        async for line in command_lines():
            command = json.loads(line)
            self.ports = command.get("ports", self.ports)
            self.stopping = self.stopping or command.get("stop", False)
