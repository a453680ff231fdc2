"""Pacing of bulk data towards agents, for entry hosts with a thin link.

The packets of one upload follow each other as fast as its caller's window
allows.  A few uploads fill the queue of a thin link, and all other callers of
the balancer wait behind them.  Bulk segments are therefore sent somewhat
slower than the link, so that their queue is here, and other segments pass it.
"""

import collections

from crocusmux.core.forward import outputs
from crocusmux.core.forward import segments

# Share of the link for bulk segments.
BULK_SHARE = 0.8
# Size of a full segment on the link, with the headers of IP and UDP, bytes.
PACKET_BYTES = 1_260
# Bulk data that may be sent at once after a pause, as time at the paced rate.
# It covers late timers, and keeps the link busy for 16 ms.
BURST_S = 0.02
# Queued segments; the caller retransmits a dropped one.
MAX_QUEUED = 512
# No pacing on a faster link: it takes the 16 segments that each of ten uploads
# has in flight within about 30 ms.
MAX_LINK_MBPS = 50.0
# A segment is due with this much less than its allowance, as sums of floats may
# stay below it for ever.
ALLOWANCE_TOLERANCE = 1e-6
# Shortest time between two events.
EVENT_INTERVAL_S = 1.0

# Destination, sequence number and length.  A flow that is looked up may be sent
# to several agents.
_SegmentId = tuple[tuple[str, int], int, int]


def _segment_id(output: outputs.ToAgent) -> _SegmentId:
    return output.to, output.segment.seq, output.segment.length


class BulkPacer:
    """Queue of the bulk segments that the link does not take yet.

    Attributes:
        enabled: False if the link is fast or unknown; every segment is then
            sent at once.
        dropped: Number of segments dropped because the queue was full.
    """

    __slots__ = (
        "_allowance",
        "_burst",
        "_event_at",
        "_flows",
        "_interval_s",
        "_new_dropped",
        "_new_queued",
        "_pacing",
        "_queue",
        "_updated_at",
        "dropped",
        "enabled",
    )

    def __init__(self, link_mbps: float) -> None:
        """Creates a pacer.

        Args:
            link_mbps: Bandwidth of the link, megabits per second; 0 if it is
                unknown or without limit.
        """
        self.enabled = 0 < link_mbps <= MAX_LINK_MBPS
        self.dropped = 0
        # Bulk segments a second.
        rate = BULK_SHARE * link_mbps * 1e6 / 8 / PACKET_BYTES
        self._interval_s = 1 / rate if self.enabled else 0.0
        self._burst = max(1.0, rate * BURST_S)
        self._allowance = self._burst
        self._updated_at = 0.0
        self._queue: collections.deque[outputs.ToAgent] = collections.deque()
        # The queued segments of each flow that has any.
        self._flows: dict[bytes, set[_SegmentId]] = {}
        # True between the first event of a period of pacing and its last.
        self._pacing = False
        self._event_at = -EVENT_INTERVAL_S
        # Segments since the last event.
        self._new_queued = 0
        self._new_dropped = 0

    def __len__(self) -> int:
        return len(self._queue)

    def admit(self, now: float, output: outputs.ToAgent) -> bool:
        """Returns True to send a segment now; otherwise it was queued or dropped.

        The data of a flow stay in their order, and a retransmission of a queued
        segment is dropped.
        """
        if not self.enabled:
            return True
        seg = output.segment
        if seg.reset or seg.opening:
            # What is queued belongs to a flow that has ended.
            self.discard(seg.key)
            return True
        # A lookup has a time limit, so probes do not wait.
        if output.mark == segments.MARK_PROBE:
            return True
        queued = self._flows.get(seg.key)
        if queued is None:
            if not seg.is_full() or self._take_allowance(now):
                return True
        elif not (seg.length or seg.final):
            return True
        elif _segment_id(output) in queued:
            return False
        if len(self._queue) >= MAX_QUEUED:
            self.dropped += 1
            self._new_dropped += 1
            return False
        self._queue.append(output)
        self._flows.setdefault(seg.key, set()).add(_segment_id(output))
        self._new_queued += 1
        return False

    def pop_due(self, now: float) -> list[outputs.ToAgent]:
        """Removes and returns the segments that the link takes now."""
        self._refill(now)
        due = []
        while self._queue and self._allowance >= 1 - ALLOWANCE_TOLERANCE:
            self._allowance -= 1
            due.append(self._pop())
        return due

    def pop_all(self) -> list[outputs.ToAgent]:
        """Removes and returns all queued segments."""
        return [self._pop() for _ in range(len(self._queue))]

    def discard(self, key: bytes) -> None:
        """Removes the queued segments of a flow that has ended."""
        if self._flows.pop(key, None) is not None:
            rest = (x for x in self._queue if x.segment.key != key)
            self._queue = collections.deque(rest)

    def next_due_in_s(self) -> float:
        """Returns the time from the last refill until a segment is due, seconds.

        It is infinite if none is queued.
        """
        if not self._queue:
            return float("inf")
        return max(0.0, (1 - self._allowance) * self._interval_s)

    def pop_event(self, now: float) -> outputs.Event | None:
        """Returns an event if pacing has begun, goes on or has ended.

        There is at most one in ``EVENT_INTERVAL_S``.  Pacing has ended if no
        segment was queued for that time.
        """
        if not self.enabled or now - self._event_at < EVENT_INTERVAL_S:
            return None
        needed = bool(self._queue or self._new_queued)
        if not needed and not self._pacing:
            return None
        what = "pacing" if needed else "pacing-ended"
        detail = (
            f"queued={len(self._queue)} delayed={self._new_queued}"
            f" dropped={self._new_dropped}"
        )
        self._pacing, self._event_at = needed, now
        self._new_queued = self._new_dropped = 0
        return outputs.Event(what, b"", detail, True)

    def _take_allowance(self, now: float) -> bool:
        """Returns True if a segment may be sent ahead of an empty queue."""
        if self._queue:
            return False
        self._refill(now)
        if self._allowance < 1 - ALLOWANCE_TOLERANCE:
            return False
        self._allowance -= 1
        return True

    def _pop(self) -> outputs.ToAgent:
        output = self._queue.popleft()
        key = output.segment.key
        queued = self._flows[key]
        queued.discard(_segment_id(output))
        if not queued:
            del self._flows[key]
        return output

    def _refill(self, now: float) -> None:
        earned = (now - self._updated_at) / self._interval_s
        self._updated_at = now
        self._allowance = min(self._burst, self._allowance + earned)
