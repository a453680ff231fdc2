"""Limit of the new flows of an upstream that is warming up."""

import collections
import math

from crocusmux.core.forward import reports

# Span over which admitted openings are counted (source: requirement 2 of
# docs/design/uneven-load.md).
WINDOW_S = 1.0
# A service with a rate below one opening a second still warms up.
MIN_OPENINGS = 1
# Part of a heartbeat interval within which a heartbeat reaches the agent, which
# runs on the same host.  A later one was sent after the end of an evacuation.
HEARTBEAT_DELAY_INTERVALS = 0.25


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


class EvacuationNews:
    """What balancers tell of the evacuations of an agent's failure domain.

    An upstream is cold at the end of an evacuation, but says so only in its next
    heartbeat.  Until then it counts as cold.
    """

    __slots__ = ("_delay_s", "_ended_at", "_evacuated", "_known_at")

    def __init__(self, interval_s: float) -> None:
        """Knows of no evacuation.

        Args:
            interval_s: Interval of the upstream's heartbeats, seconds.
        """
        self._delay_s = HEARTBEAT_DELAY_INTERVALS * interval_s
        self._evacuated = False
        self._ended_at = float("-inf")
        # Revision of the store that the newest message reflects.
        self._known_at = -1

    def learn(self, now: float, state: reports.DomainState | None) -> None:
        """Applies what a balancer tells unless it is older than what is known.

        A balancer that has lost the store goes on to tell what it knew.  Of two
        with the same revision, only one that ran at the end knows when it was.
        """
        if state is None or state.revision < self._known_at:
            return
        if not state.evacuated:
            if state.ended_s is not None:
                self._ended_at = max(self._ended_at, now - state.ended_s)
            elif self._evacuated:
                # The balancer started after the end.
                self._ended_at = now
        self._evacuated = state.evacuated
        self._known_at = state.revision

    def may_be_cold(self, heartbeat_at: float) -> bool:
        """Returns True if the newest heartbeat may precede the end.

        Args:
            heartbeat_at: Time at which it arrived, seconds.
        """
        return self._evacuated or heartbeat_at < self._ended_at + self._delay_s
