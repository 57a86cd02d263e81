"""A token bucket, which limits a rate and lets bursts up to its size pass."""

from __future__ import annotations


class TokenBucket:
    """Holds up to `burst` tokens, of which `rate_per_s` are added each second; times are in seconds."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_at_s = 0.0

    def try_take(self, now_s: float) -> bool:
        """Takes one token if there is one; returns whether there was."""
        elapsed_s = max(now_s - self.updated_at_s, 0.0)
        if self.tokens + elapsed_s * self.rate_per_s < 1:
            return False
        self.take(now_s)
        return True

    def take(self, now_s: float) -> float:
        """Takes one token; returns how long the taker has to wait until the bucket is out of debt."""
        elapsed_s = max(now_s - self.updated_at_s, 0.0)
        self.updated_at_s = now_s
        self.tokens = min(self.tokens + elapsed_s * self.rate_per_s, self.burst) - 1
        return max(-self.tokens, 0.0) / self.rate_per_s
