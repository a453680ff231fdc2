"""Hedged openings: when a second upstream is offered a new flow, and how often.

An opening that its upstream leaves unanswered delays its caller until the
caller retransmits its SYN.  A hedge offers it to a second upstream sooner.  The
caller continues with the upstream whose SYN+ACK arrives first, so the other one
gets no request.
"""

import math

from crocusmux.core.forward import token_bucket

# Lower bound of the delay; upstreams that answer are not hedged because of a
# single late timer or context switch.
MIN_DELAY_S = 0.03
# Delay as a multiple of the moving mean of the time from an offer to the
# caller's next packet.
DELAY_MEANS = 4
# Weight of a new sample in that moving mean.
SAMPLE_WEIGHT = 0.05


class Hedging:
    """Pending offers, the delay until their hedges, and the limit.

    Attributes:
        enabled: True if hedges may be sent.
        bucket: Limit of the hedges.
    """

    __slots__ = ("_mean_s", "_offered_at", "bucket", "enabled")

    def __init__(self, share: float) -> None:
        """Creates the state of a balancer without pending offers.

        Args:
            share: Limit of the hedges as a share of all openings, 0 to 1; 0
                disables hedging.
        """
        self.enabled = share > 0
        self.bucket = token_bucket.TokenBucket(share)
        self._mean_s: float | None = None
        # Time of the offer by flow key.  Entries stay in the order of their
        # times, so that only those that are due are examined.
        self._offered_at: dict[bytes, float] = {}

    def add(self, now: float, key: bytes) -> None:
        """Registers an offer, which replaces an earlier one of the flow."""
        self._offered_at.pop(key, None)
        self._offered_at[key] = now

    def cancel(self, key: bytes) -> None:
        """Removes the offer of a flow that needs no hedge any more."""
        self._offered_at.pop(key, None)

    def record_acknowledged(self, seconds: float) -> None:
        """Samples the time from an offer to the caller's next packet."""
        if self._mean_s is None:
            self._mean_s = seconds
        else:
            self._mean_s += SAMPLE_WEIGHT * (seconds - self._mean_s)

    def delay_s(self) -> float:
        """Returns the time from an offer to its hedge, seconds."""
        return max(MIN_DELAY_S, DELAY_MEANS * (self._mean_s or 0.0))

    def next_due_at(self) -> float:
        """Returns when the next hedge is due; infinity without offers."""
        if not self._offered_at:
            return math.inf
        return next(iter(self._offered_at.values())) + self.delay_s()

    def pop_due(self, now: float) -> list[tuple[bytes, float]]:
        """Removes and returns the due offers: flow keys and times."""
        due: list[tuple[bytes, float]] = []
        while self.next_due_at() <= now:
            key = next(iter(self._offered_at))
            due.append((key, self._offered_at.pop(key)))
        return due
