"""Retry budgets and backoff.

Retries multiply load when a service is slow, so they are limited to a share
of the first attempts.  A small floor lets a service with little traffic retry
at all.
"""

import random

# Retries per second that a service may make without any first attempts.
FLOOR_PER_S = 0.2
# Unused retries are saved up to this number, enough for a short fault.
MAX_TOKENS = 10.0


class RetryBudget:
    """Retry budget of one service."""

    __slots__ = ("_last", "_tokens")

    def __init__(self) -> None:
        self._tokens = 1.0
        self._last: float | None = None

    def add_request(self, share: float) -> None:
        """Counts a first attempt, which adds ``share`` of a retry."""
        self._tokens = min(self._tokens + share, MAX_TOKENS)

    def try_take(self, now: float) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if self._last is not None:
            earned = (now - self._last) * FLOOR_PER_S
            self._tokens = min(self._tokens + earned, MAX_TOKENS)
        self._last = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(
    rng: random.Random, attempt: int, base: float, limit: float
) -> float:
    """Returns the delay before the next retransmission, seconds.

    Up to half of the delay is random jitter, so that senders that failed
    together do not retransmit together.

    Args:
        rng: Source of randomness.
        attempt: Number of transmissions made, from 1.
        base: Delay after the first transmission, seconds.
        limit: Longest delay, seconds.
    """
    wait: float = min(base * 2 ** (attempt - 1), limit)
    return wait * rng.uniform(0.5, 1.0)
