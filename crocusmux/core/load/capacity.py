"""Measured capacity of one upstream: busy time, concurrency, warm-up."""

import math

# Evens out single requests, so that placement does not follow noise.
BUSY_AVERAGE_S = 8.0
# Shares of classes are kept over this time; longer, a class that falls under
# its minimum share would wait longer for its first slot.
SHARE_AVERAGE_S = 2.0
# Decrease after a failure; one per service time, since the requests that
# were in flight together fail together.
FAILURE_FACTOR = 0.7
# Faster growth meets the failures of a full upstream again too soon.
GROWTH_PER_ANSWER = 0.01
WARM_UP_FLOOR = 0.1
WARM_UP_S = 20.0
DEFAULT_SERVICE_S = 0.05


class BusyMeter:
    """Moving average, over time, of a count such as busy slots.

    Attributes:
        count: The count now.
        average: The average up to ``at``.
        at: Time of the last change, seconds.
    """

    __slots__ = ("_length", "at", "average", "count")

    def __init__(self, now: float, length: float = BUSY_AVERAGE_S) -> None:
        self._length = length
        self.count = 0
        self.average = 0.0
        self.at = now

    def advance(self, now: float) -> float:
        """Brings the average up to ``now`` and returns it."""
        if now > self.at:
            keep = math.exp((self.at - now) / self._length)
            self.average = self.count + (self.average - self.count) * keep
            self.at = now
        return self.average

    def add(self, now: float, change: int) -> None:
        """Changes the count."""
        self.advance(now)
        self.count += change

    def time_below(self, now: float, bound: float) -> float:
        """Returns when the average falls below ``bound`` at this count.

        Args:
            now: Time in seconds.
            bound: Value that the average must fall below.

        Returns:
            Time in seconds; infinity if the count is too high for that.
        """
        self.advance(now)
        return falls_below(now, self.average, self.count, bound, self._length)


def falls_below(
    now: float, average: float, count: int, bound: float, length: float
) -> float:
    """Returns when a moving average falls below a bound; infinity if never.

    Args:
        now: Time in seconds.
        average: The average now.
        count: The value that it moves to.
        bound: The bound.
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
    """Requests at once that an upstream serves without failures (AIMD).

    The declared slots are the ceiling.  A gradient of the service time over
    the concurrency was measured too: it made urgent work wait longer behind
    bulk work, so it is not used (docs/design.md, section 7).
    """

    __slots__ = ("_failed_at", "_slots", "_value")

    def __init__(self, slots: int) -> None:
        self._slots = max(slots, 1)
        self._value = float(self._slots)
        self._failed_at = -math.inf

    @property
    def value(self) -> int:
        """Requests at once, from 1 to the declared slots."""
        return max(1, int(self._value + 1e-6))

    def record(self, now: float, mean: float, ok: bool) -> None:
        """Takes one finished request.

        Args:
            now: Time in seconds.
            mean: Mean service time of its class, seconds.
            ok: False if it failed or the upstream shed it.
        """
        if ok:
            grown = self._value + GROWTH_PER_ANSWER
            self._value = min(float(self._slots), grown)
        elif now - self._failed_at >= mean:
            self._value = max(1.0, self._value * FAILURE_FACTOR)
            self._failed_at = now


class WarmUp:
    """Slow start of an upstream that has just joined.

    Slot time is handed out at a rate that rises from ``WARM_UP_FLOOR`` of
    the upstream's slots to all of them.
    """

    __slots__ = ("_at", "_credit", "_slots", "_start", "length")

    def __init__(self, now: float, slots: int, length: float) -> None:
        self._start = now
        self._at = now
        self._slots = slots
        self._credit = 0.0
        self.length = length

    def share(self, now: float) -> float:
        """Returns the share of the slots that may be used now."""
        return warm_up_share(now - self._start, self.length)

    def limit(self, now: float) -> int:
        """Returns how many requests may run at once now."""
        return max(1, math.ceil(self.share(now) * self._slots - 1e-9))

    def ready_at(self, now: float, overdue: float = 0.0) -> float:
        """Returns when the next request may start.

        Args:
            now: Time in seconds.
            overdue: Slot time that running requests took beyond their
                charge, seconds.
        """
        self._accrue(now)
        credit = self._credit - overdue
        if credit >= 0:
            return now
        rate = self.share(now) * self._slots
        return now - credit / rate + 0.001

    def charge(self, now: float, seconds: float) -> None:
        """Charges slot time; negative to give back what was not used."""
        self._accrue(now)
        self._credit -= seconds

    def _accrue(self, now: float) -> None:
        # Unused time is not saved up: it would end in a burst.
        # The share rises linearly, so its mean is that of both ends.
        share = (self.share(self._at) + self.share(now)) / 2
        credit = self._credit + share * self._slots * (now - self._at)
        self._credit = min(credit, DEFAULT_SERVICE_S)
        self._at = now


def warm_up_share(age: float, length: float = WARM_UP_S) -> float:
    """Returns the share of its slots that an upstream may use.

    Args:
        age: Seconds since it began to warm up.
        length: Length of the warm-up, seconds.
    """
    if age >= length:
        return 1.0
    return WARM_UP_FLOOR + (1 - WARM_UP_FLOOR) * max(age, 0.0) / length
