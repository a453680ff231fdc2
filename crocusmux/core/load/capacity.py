"""Capacity of one upstream: slot utilisation, concurrency limit, slow start."""

import math

# Time constant of the utilisation average; it smooths out single requests, so
# that placement does not follow noise.
BUSY_AVERAGE_S = 8.0
# Time constant of the share of each work class.  With a longer one, a class
# that falls under its minimum share waits longer for its first slot.
SHARE_AVERAGE_S = 2.0
# The limit decreases at most once per service time, because requests that are
# in flight together fail together.
FAILURE_FACTOR = 0.7
# Faster growth brings the failures of a full upstream back too soon.
GROWTH_PER_RESULT = 0.01
WARM_UP_FLOOR = 0.1
WARM_UP_S = 20.0
DEFAULT_SERVICE_S = 0.05


class BusyMeter:
    """Moving average, over time, of a count such as busy slots.

    Attributes:
        count: Current count.
        average: Moving average at the time ``at``.
        at: Time of the last update, seconds.
    """

    __slots__ = ("_length", "at", "average", "count")

    def __init__(self, now: float, length: float = BUSY_AVERAGE_S) -> None:
        self._length = length
        self.count = 0
        self.average = 0.0
        self.at = now

    def advance(self, now: float) -> float:
        """Updates the average to ``now`` and returns it."""
        if now > self.at:
            decay = math.exp((self.at - now) / self._length)
            self.average = self.count + (self.average - self.count) * decay
            self.at = now
        return self.average

    def add(self, now: float, change: int) -> None:
        """Adds ``change``, which may be negative, to the count."""
        self.advance(now)
        self.count += change

    def time_below(self, now: float, bound: float) -> float:
        """Returns when the average falls below ``bound`` if the count stays.

        Args:
            now: Time in seconds.
            bound: Value that the average must fall below.

        Returns:
            Time in seconds; infinity if the count is not below ``bound``.
        """
        self.advance(now)
        return crossing_time(now, self.average, self.count, bound, self._length)


def crossing_time(
    now: float, average: float, count: int, bound: float, length: float
) -> float:
    """Returns when a moving average falls below a bound; infinity if never.

    Args:
        now: Time in seconds.
        average: Average at ``now``.
        count: Value that the average approaches.
        bound: Value that the average must fall below.
        length: Time constant of the average, seconds.
    """
    if average < bound:
        return now
    if count >= bound:
        return math.inf
    ratio = (average - count) / (bound - count)
    # The margin keeps a timer from firing just before the crossing.
    return now + length * math.log(ratio) + 0.001


class ConcurrencyLimit:
    """Concurrent requests that an upstream serves without failures (AIMD).

    The declared slots are the upper bound.  The limit does not follow the
    gradient of the service time over the concurrency: with it, urgent work
    waits longer behind bulk work (docs/design.md, section 7).
    """

    __slots__ = ("_failed_at", "_slots", "_value")

    def __init__(self, slots: int) -> None:
        self._slots = max(slots, 1)
        self._value = float(self._slots)
        self._failed_at = -math.inf

    @property
    def value(self) -> int:
        """Concurrent requests allowed, from 1 to the declared slots."""
        return max(1, int(self._value + 1e-6))

    def record(self, now: float, mean: float, ok: bool) -> None:
        """Updates the limit after a finished request.

        Args:
            now: Time in seconds.
            mean: Mean service time of the request's work class, seconds.
            ok: False if the request failed or the upstream shed it.
        """
        if ok:
            increased = self._value + GROWTH_PER_RESULT
            self._value = min(float(self._slots), increased)
        elif now - self._failed_at >= mean:
            self._value = max(1.0, self._value * FAILURE_FACTOR)
            self._failed_at = now


class WarmUp:
    """Slow start of an upstream that has just joined.

    A token bucket of slot time: its rate rises linearly from
    ``WARM_UP_FLOOR`` of the upstream's slots to all of them.

    Attributes:
        length: Length of the slow start, seconds.
    """

    __slots__ = ("_at", "_credit", "_slots", "_start", "length")

    def __init__(self, now: float, slots: int, length: float) -> None:
        self._start = now
        self._at = now
        self._slots = slots
        self._credit = 0.0
        self.length = length

    def share(self, now: float) -> float:
        """Returns the share of the slots that may be used at ``now``."""
        return warm_up_share(now - self._start, self.length)

    def limit(self, now: float) -> int:
        """Returns how many requests may run concurrently at ``now``."""
        return max(1, math.ceil(self.share(now) * self._slots - 1e-9))

    def ready_at(self, now: float, overdue: float = 0.0) -> float:
        """Returns when the next request may start.

        Args:
            now: Time in seconds.
            overdue: Slot time that running requests have used beyond what
                they were charged, seconds.
        """
        self._accrue(now)
        credit = self._credit - overdue
        if credit >= 0:
            return now
        rate = self.share(now) * self._slots
        return now - credit / rate + 0.001

    def charge(self, now: float, seconds: float) -> None:
        """Charges slot time; a negative value returns unused slot time."""
        self._accrue(now)
        self._credit -= seconds

    def _accrue(self, now: float) -> None:
        # The share rises linearly, so its mean is that of the two ends.
        # Credit is capped, because saved-up slot time would be spent in a burst.
        share = (self.share(self._at) + self.share(now)) / 2
        credit = self._credit + share * self._slots * (now - self._at)
        self._credit = min(credit, DEFAULT_SERVICE_S)
        self._at = now


def warm_up_share(age: float, length: float = WARM_UP_S) -> float:
    """Returns the share of its slots that a warming upstream may use.

    Args:
        age: Seconds since the start of the warm-up.
        length: Length of the warm-up, seconds.
    """
    if age >= length:
        return 1.0
    return WARM_UP_FLOOR + (1 - WARM_UP_FLOOR) * max(age, 0.0) / length
