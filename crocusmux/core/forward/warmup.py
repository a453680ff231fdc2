"""Limit of the new flows of an upstream that is warming up."""

import collections
import math

# Span over which admitted openings are counted (source: requirement 2 of
# docs/design/uneven-load.md).
WINDOW_S = 1.0
# A service with a rate below one opening a second still warms up.
MIN_OPENINGS = 1


class WarmupLimit:
    """Counts the openings admitted to an upstream over a sliding window.

    A window that starts afresh every second would admit twice the rate around
    its border, and a token bucket twice the rate after a pause.
    """

    __slots__ = ("_admitted_at", "_closed_until")

    def __init__(self) -> None:
        # In the order of time.
        self._admitted_at: collections.deque[float] = collections.deque()
        self._closed_until = float("-inf")

    def admits(self, now: float, rate: float) -> bool:
        """Returns True if one more opening keeps to a rate.

        Args:
            now: Time in seconds.
            rate: Openings a second.
        """
        if now < self._closed_until:
            return False
        self._expire(now)
        limit = max(MIN_OPENINGS, math.floor(rate))
        return len(self._admitted_at) < limit

    def record(self, now: float) -> None:
        """Counts an admitted opening."""
        self._expire(now)
        self._admitted_at.append(now)

    def clear(self) -> None:
        """Starts with an empty window, as the upstream is another boot."""
        self._admitted_at.clear()
        self._closed_until = float("-inf")

    def assume_full(self, now: float) -> None:
        """Admits nothing for one window, as its openings are unknown."""
        self._closed_until = now + WINDOW_S

    def _expire(self, now: float) -> None:
        admitted_at = self._admitted_at
        while admitted_at and now - admitted_at[0] >= WINDOW_S:
            admitted_at.popleft()
