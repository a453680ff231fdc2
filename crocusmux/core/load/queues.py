"""Waiting requests of one work class, fair between its callers."""

from collections import OrderedDict
import math

import msgspec

from crocusmux import objects

USAGE_AVERAGE_S = 5.0
# Bounds the memory for callers; the least recently served are dropped.
MAX_CALLERS = 4096


class Request(msgspec.Struct, frozen=True, gc=False):
    """Work that asks to be admitted.

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
    """Slot time that each caller has used lately, decaying with time."""

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def charge(self, now: float, caller: str, seconds: float) -> None:
        """Adds slot time of a caller, or takes it back if negative."""
        value = max(0.0, self.used(now, caller) + seconds)
        self._used[caller] = (value, now)
        self._used.move_to_end(caller)
        if len(self._used) > MAX_CALLERS:
            self._used.popitem(last=False)

    def used(self, now: float, caller: str) -> float:
        """Returns the slot time that a caller has used, seconds."""
        value, at = self._used.get(caller, (0.0, now))
        return value * math.exp((at - now) / USAGE_AVERAGE_S)


class ClassQueue:
    """Waiting requests of one work class at one upstream."""

    __slots__ = ("_by_flow", "usage", "work")

    def __init__(self, work: objects.WorkClass) -> None:
        self.work = work
        self.usage = CallerUsage()
        # In order of arrival.
        self._by_flow: dict[bytes, Request] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def push(self, request: Request) -> None:
        """Adds a request."""
        self._by_flow[request.flow] = request

    def remove(self, flow: bytes) -> Request | None:
        """Removes a request; returns None if it does not wait here."""
        return self._by_flow.pop(flow, None)

    def pop(self, now: float, service_s: float) -> Request:
        """Removes and returns the request that starts next.

        The caller that used the least slot time comes first.  Usage counts
        in powers of two of the service time, so that the queue discipline
        decides between callers that are about equal.

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
                used = self.usage.used(now, caller) / unit
                rank[caller] = int(math.log2(used + 1.0))
            key = (rank[caller], *self._order(position, request))
            if chosen is None or key < best:
                best, chosen = key, request
        assert chosen is not None
        del self._by_flow[chosen.flow]
        return chosen

    def ahead(self, now: float, caller: str) -> int:
        """Returns how many waiting requests would start before a new one."""
        if self.work.queue_discipline == "lifo":
            return 0
        counts: dict[str, int] = {}
        for request in self._by_flow.values():
            counts[request.caller] = counts.get(request.caller, 0) + 1
        mine = counts.get(caller, 0)
        my_use = self.usage.used(now, caller)
        total = 0
        for other, count in counts.items():
            lighter = self.usage.used(now, other) <= my_use
            total += count if lighter else min(count, mine)
        return total

    def displace(self, now: float, caller: str) -> Request | None:
        """Removes a waiting request in favour of a new one of ``caller``.

        Returns:
            The newest request of the caller that fills most of the queue, if
            the new request's caller waits with fewer; with ``lifo``, else
            the oldest request; otherwise None.
        """
        counts: dict[str, int] = {}
        for request in self._by_flow.values():
            counts[request.caller] = counts.get(request.caller, 0) + 1
        if not counts:
            return None
        heaviest = max(
            counts, key=lambda c: (counts[c], self.usage.used(now, c))
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

    def late(self, now: float) -> list[Request]:
        """Removes and returns the requests whose deadline has passed."""
        late = [r for r in self._by_flow.values() if 0 < r.deadline <= now]
        for request in late:
            del self._by_flow[request.flow]
        return late

    def next_deadline(self) -> float:
        """Returns the earliest deadline, or infinity."""
        return min(
            (r.deadline for r in self._by_flow.values() if r.deadline > 0),
            default=math.inf,
        )

    def _order(self, position: int, request: Request) -> tuple[float, ...]:
        if self.work.queue_discipline == "lifo":
            return (-position,)
        if self.work.queue_discipline == "deadline":
            return (request.deadline or math.inf, position)
        return (position,)
