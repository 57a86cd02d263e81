"""The record of a run: each process appends JSON lines to a file of its own.

Times are CLOCK_MONOTONIC in seconds, which all processes of a machine share.
"""

import json
import os
import time
from pathlib import Path


class EventLog:
    """Appends events to a file; each line is written at once, so that a killed process loses none."""

    def __init__(self, path, source):
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.source = source

    def write(self, event, at=None, **fields):
        """Appends an event of now, or of the time `at`."""
        written_at = time.monotonic() if at is None else at
        record = {"time": written_at, "source": self.source, "event": event, **fields}
        os.write(self.descriptor, json.dumps(record).encode() + b"\n")


def read_events(folder):
    """All events of a run, in order of time."""
    events = []
    for path in Path(folder).glob("*.events"):
        events += [json.loads(line) for line in path.read_text().splitlines()]
    return sorted(events, key=lambda record: record["time"])
