"""SIGHUP during the start: remembered until the program can handle it.

Imported before everything else: by default the signal would end the program, and one that comes between the
reading of the configuration and the first handler would leave an outdated configuration in use.
"""

from __future__ import annotations

import signal


class EarlyHangUp:
    """Remembers whether SIGHUP has come since the program began to handle it."""

    def __init__(self) -> None:
        self.received = False
        signal.signal(signal.SIGHUP, self._receive)

    def _receive(self, *_: object) -> None:
        self.received = True


early_hang_up = EarlyHangUp()
