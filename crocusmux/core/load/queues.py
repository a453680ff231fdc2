"""Queue of one work class at one upstream, fair between callers."""

from collections import OrderedDict
import math

import msgspec

from crocusmux import objects

# Time constant of the decay of a caller's usage, seconds.
USAGE_AVERAGE_S = 5.0
# Limits memory; the least recently served callers are dropped.
MAX_CALLERS = 4096


class Request(msgspec.Struct, frozen=True, gc=False):
    """A request offered to admission control.

    Attributes:
        flow: Flow id.
        work_class: Name of its work class.
        caller: IP number of the caller.
        deadline: Time in seconds after which it must not start; 0 for none.
    """

    flow: bytes
    work_class: str
    caller: str
    deadline: float


class CallerUsage:
    """Slot time used by each caller, with exponential decay."""

    __slots__ = ("_usage_by_caller",)

    def __init__(self) -> None:
        self._usage_by_caller: OrderedDict[str, tuple[float, float]] = (
            OrderedDict()
        )

    def charge(self, now: float, caller: str, seconds: float) -> None:
        """Adds slot time to a caller's usage; a negative value reduces it."""
        value = max(0.0, self.decayed_usage(now, caller) + seconds)
        self._usage_by_caller[caller] = (value, now)
        self._usage_by_caller.move_to_end(caller)
        if len(self._usage_by_caller) > MAX_CALLERS:
            self._usage_by_caller.popitem(last=False)

    def decayed_usage(self, now: float, caller: str) -> float:
        """Returns the decayed slot time of a caller, seconds."""
        value, at = self._usage_by_caller.get(caller, (0.0, now))
        return value * math.exp((at - now) / USAGE_AVERAGE_S)


class ClassQueue:
    """Queued requests of one work class at one upstream.

    Attributes:
        work: The work class.
        usage: Slot time of the class by caller.
    """

    __slots__ = ("_by_flow", "usage", "work")

    def __init__(self, work: objects.WorkClass) -> None:
        self.work = work
        self.usage = CallerUsage()
        # Requests by flow, in order of arrival.
        self._by_flow: dict[bytes, Request] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def push(self, request: Request) -> None:
        """Adds a request."""
        self._by_flow[request.flow] = request

    def remove(self, flow: bytes) -> Request | None:
        """Removes a request; returns None if it is not queued."""
        return self._by_flow.pop(flow, None)

    def pop(self, now: float, service_s: float) -> Request:
        """Removes and returns the request that starts next.

        The caller that used the least slot time comes first.  Usage is
        compared in powers of two of the service time, so that the queue
        discipline decides between callers with similar usage.

        Args:
            now: Time in seconds.
            service_s: Mean service time of the class, seconds.
        """
        rank: dict[str, int] = {}
        unit = max(service_s, 1e-6)
        best: tuple[float, ...] = ()
        chosen = None
        for position, request in enumerate(self._by_flow.values()):
            caller = request.caller
            if caller not in rank:
                used = self.usage.decayed_usage(now, caller) / unit
                rank[caller] = int(math.log2(used + 1.0))
            key = (rank[caller], *self._discipline_key(position, request))
            if chosen is None or key < best:
                best, chosen = key, request
        assert chosen is not None
        del self._by_flow[chosen.flow]
        return chosen

    def count_ahead(self, now: float, caller: str) -> int:
        """Returns how many queued requests would start before a new one."""
        if self.work.queue_discipline == "lifo":
            return 0
        counts: dict[str, int] = {}
        for request in self._by_flow.values():
            counts[request.caller] = counts.get(request.caller, 0) + 1
        own_count = counts.get(caller, 0)
        own_usage = self.usage.decayed_usage(now, caller)
        total = 0
        for other, count in counts.items():
            lighter = self.usage.decayed_usage(now, other) <= own_usage
            total += count if lighter else min(count, own_count)
        return total

    def displace(self, now: float, caller: str) -> Request | None:
        """Removes a queued request to make room for a new one of ``caller``.

        Returns:
            The newest request of the caller with the most queued requests, if
            ``caller`` would still have fewer.  Otherwise the oldest request
            with the ``lifo`` discipline, and None with the others.
        """
        counts: dict[str, int] = {}
        for request in self._by_flow.values():
            counts[request.caller] = counts.get(request.caller, 0) + 1
        if not counts:
            return None
        heaviest = max(
            counts, key=lambda c: (counts[c], self.usage.decayed_usage(now, c))
        )
        victim = None
        if counts[heaviest] > counts.get(caller, 0) + 1:
            for request in self._by_flow.values():
                if request.caller == heaviest:
                    victim = request
        elif self.work.queue_discipline == "lifo":
            victim = next(iter(self._by_flow.values()))
        if victim is not None:
            del self._by_flow[victim.flow]
        return victim

    def pop_expired(self, now: float) -> list[Request]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [r for r in self._by_flow.values() if 0 < r.deadline <= now]
        for request in expired:
            del self._by_flow[request.flow]
        return expired

    def next_deadline(self) -> float:
        """Returns the earliest deadline, or infinity."""
        return min(
            (r.deadline for r in self._by_flow.values() if r.deadline > 0),
            default=math.inf,
        )

    def _discipline_key(
        self, position: int, request: Request
    ) -> tuple[float, ...]:
        if self.work.queue_discipline == "lifo":
            return (-position,)
        if self.work.queue_discipline == "deadline":
            return (request.deadline or math.inf, position)
        return (position,)
