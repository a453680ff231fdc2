"""Retry budgets and backoff.

Retries multiply load when a service is slow, so they are bounded to a share
of the fresh requests.  A small floor lets a service with little traffic retry
at all.
"""

import random

# Retries that a service may make without fresh requests, each second.
FLOOR_PER_S = 0.2
# Unused retries are kept up to so many, so that a short fault is covered.
MAX_TOKENS = 10.0


class RetryBudget:
    """Retry budget of one service."""

    __slots__ = ("_last", "_tokens")

    def __init__(self) -> None:
        self._tokens = 1.0
        self._last: float | None = None

    def add_request(self, share: float) -> None:
        """Counts a fresh request, which earns ``share`` of a retry."""
        self._tokens = min(self._tokens + share, MAX_TOKENS)

    def try_take(self, now: float) -> bool:
        """Takes one retry; returns False if the budget is spent."""
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
    """Returns the wait before a repetition, seconds.

    Half of the wait is random, so that senders that failed together do not
    repeat together.

    Args:
        rng: Random numbers.
        attempt: Number of transmissions made, from 1.
        base: Wait after the first one, seconds.
        limit: Longest wait, seconds.
    """
    wait: float = min(base * 2 ** (attempt - 1), limit)
    return wait * rng.uniform(0.5, 1.0)
