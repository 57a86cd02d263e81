"""The time limits of a planned shutdown, which both nodes keep.

After SIGTERM connections and requests keep coming for up to 0.6 s. SIGKILL may follow MIN_KILL_AFTER_S after
the longest call deadline, of which no more than MAX_DEADLINE_S counts (the platform's protocol).
"""

from __future__ import annotations

from dataclasses import dataclass

ACCEPT_S = 0.75  # how long calls are accepted after SIGTERM
CHECK_INTERVAL_S = 0.02  # between checks whether a step of the shutdown is done
PEERS_WAIT_S = 0.5  # at the end, for peers to read their last messages and close their connections
LAST_OUTPUT_S = 0.05  # for connections that are closed to pass their output to the system
MAX_DEADLINE_S = 3.0
MIN_KILL_AFTER_S = 0.7
# Before the earliest SIGKILL: for the last answers to be sent again or read, and for the process to end.
LAST_ANSWERS_BEFORE_KILL_S = 0.35
EXIT_BEFORE_KILL_S = 0.2


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of one shutdown, in microseconds on the monotonic clock."""

    answer_by: int  # when every call that is still unanswered gets its final answer
    exit_by: int  # when the program stops waiting for its peers

    @classmethod
    def starting_at(cls, now: int, longest_deadline_s: float) -> ShutdownSchedule:
        """The schedule for a SIGTERM received now; `longest_deadline_s` is that of all call classes."""
        kill_after_s = min(longest_deadline_s, MAX_DEADLINE_S) + MIN_KILL_AFTER_S
        return cls(
            now + round((kill_after_s - LAST_ANSWERS_BEFORE_KILL_S) * 1e6),
            now + round((kill_after_s - EXIT_BEFORE_KILL_S) * 1e6),
        )

    def peers_wait_until(self, now: int) -> int:
        """How long peers may take to close their connections if these are finished now."""
        return min(now + round(PEERS_WAIT_S * 1e6), self.exit_by)
