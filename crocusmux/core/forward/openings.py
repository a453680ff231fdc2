"""Queue of new flows for which no upstream has free slots.

A caller that gets a reset retries at once and has few attempts, so a flow
is queued while an upstream may still accept it before its caller gives up.
"""

import collections
from collections.abc import Callable
import heapq
import itertools

import xxhash

from crocusmux.core.forward import flow_table
from crocusmux.core.forward import routes

# Age of an opening by the number of its retransmission, and a time shortly before
# the caller gives up at 1.4 s (source: the platform's protocol).
RETRANSMISSION_AGES_S = (0.0, 0.2, 0.6)
CALLER_PATIENCE_S = 1.3
# Longest wait as a share of the caller's timeout; the request takes the rest.
QUEUE_BUDGET_SHARE = 0.6
# Wait after which a flow misses its route's response-time goal, as a share of
# the goal; the request takes the rest.
QUEUE_GOAL_SHARE = 0.6
# Queued flows offered in one turn; of each service with fair queueing.  Full
# upstreams decline within 2 ms, so this bounds the messages in an overload.
MAX_OFFERS_PER_TURN = 8
# Limit of queued flows; of each service with fair queueing.
MAX_PENDING = 2_000
# Entries in a heap beyond twice the number of queued flows above which those of
# removed flows are dropped.
MAX_STALE_ENTRIES = 64
# Time for which callers keep their group, by the wall clock: longer than a time
# budget, so that most requests keep it for all attempts, and short enough that no
# caller stays last.
ORDER_PERIOD_S = 16.0
# Groups of callers, one of which goes before the other.  An order of single callers
# makes more of them just miss their goal, as the last ones wait for all others.
CALLER_GROUPS = 2
# Of the offered flows of a queue, one in this many is chosen without regard to
# urgency, so that urgent flows above the capacity leave the others a share.
ANY_URGENCY_INTERVAL = 5
# Reason for which a flow is refused that cannot be queued any longer.
REFUSED_TOO_LATE = "no-upstream-in-time"


class PendingOpening:
    """A queued new flow.

    Attributes:
        key: Flow key.
        flow: The flow.
        caller_group: Group of the caller, 0 for that which goes first; 0
            without fair queueing.
        caller_turn: Number of openings of the caller with the same urgency that
            were queued when it was queued first; 0 without fair queueing.
        service: Service of the flow when it was queued.
        urgency: Urgency of the route; 0 is the most urgent.
        goal_deadline: Latest placement that can meet the route's response-time
            goal, seconds.
        deadline: Time at which the flow is refused, seconds.
    """

    __slots__ = (
        "caller_group",
        "caller_turn",
        "deadline",
        "flow",
        "goal_deadline",
        "key",
        "service",
        "urgency",
    )

    def __init__(
        self, key: bytes, flow: flow_table.Flow, route: routes.Route
    ) -> None:
        self.key = key
        self.flow = flow
        self.caller_group = 0
        self.caller_turn = 0
        self.service = flow.service
        self.urgency = route.urgency
        wait_s = min(CALLER_PATIENCE_S, QUEUE_BUDGET_SHARE * route.timeout_s)
        self.goal_deadline = flow.opened_at + QUEUE_GOAL_SHARE * route.target_s
        self.deadline = flow.opened_at + wait_s


_Rank = tuple[float, ...]
# Rank of a flow in a heap, number of the entry, and the flow.
_Entry = tuple[_Rank, int, PendingOpening]


def opening_age_s(retransmission: int) -> float:
    """Returns the age of an opening at its arrival, seconds.

    A balancer that has just started, or to which a flow has moved, may get only
    a retransmission.

    Args:
        retransmission: Number of the retransmission; 0 for the first SYN.
    """
    last = len(RETRANSMISSION_AGES_S) - 1
    return RETRANSMISSION_AGES_S[min(retransmission, last)]


def caller_group(key: bytes, wall_time: float) -> int:
    """Returns the group of a caller, 0 for that which goes first.

    The groups change with each period of ``ORDER_PERIOD_S``.  All balancers
    agree on them without messages, and a retry, which usually reaches another
    balancer, has the group of the first attempt.

    Args:
        key: Key of a flow of the caller.
        wall_time: Time of the opening by the wall clock, seconds.
    """
    period = int(wall_time // ORDER_PERIOD_S) % (1 << 64)
    digest = xxhash.xxh64_intdigest(key[:4] + period.to_bytes(8, "big"))
    return digest % CALLER_GROUPS


def _rank(now: float, pending: PendingOpening) -> _Rank:
    """Returns the place of a flow in the order of its service, least first."""
    return _rank_without_urgency(now, pending, pending.urgency)


def _rank_without_urgency(
    now: float, pending: PendingOpening, urgency: int = 0
) -> _Rank:
    """Returns the place of a flow as if all had the same urgency."""
    if pending.goal_deadline < now:
        return True, urgency, pending.deadline
    return (
        False,
        urgency,
        pending.caller_turn,
        pending.caller_group,
        pending.deadline,
    )


def _caller(pending: PendingOpening) -> tuple[bytes, int]:
    """Returns the IP address of a flow's caller, and the flow's urgency."""
    return pending.key[:4], pending.urgency


class _Order:
    """An order of the queued flows of one service.

    Flows that can still meet their response-time goal go first, as a FIFO queue
    would make every answer late in an overload.  Among them, order is by:

    - urgency, unless the order is without it;
    - turn of the caller, so that a heavy caller does not delay the others;
    - group of the caller, so that those of some callers meet their goal, and
      a retry, of which the request is late, takes no slot of such a caller;
    - deadline.

    The others are ordered by urgency, then by deadline.

    Each of the two parts is a heap.  A flow that misses its goal changes heaps
    when it reaches the top, and the entry of a removed flow is dropped there,
    or once there are too many.
    """

    __slots__ = ("_late", "_numbers", "_queued", "_timely", "rank")

    def __init__(
        self,
        queued: dict[bytes, PendingOpening],
        rank: Callable[[float, PendingOpening], _Rank],
    ) -> None:
        """Creates an empty order.

        Args:
            queued: The flows that are queued, by key.
            rank: Returns the place of a flow at a time, least first.
        """
        self.rank = rank
        self._queued = queued
        self._late: list[_Entry] = []
        self._timely: list[_Entry] = []
        self._numbers = itertools.count()

    def push(self, now: float, pending: PendingOpening) -> None:
        """Adds a flow that was queued or popped."""
        rank = self.rank(now, pending)
        heap = self._late if rank[0] else self._timely
        if len(heap) > 2 * len(self._queued) + MAX_STALE_ENTRIES:
            heap[:] = [entry for entry in heap if self._is_queued(entry[2])]
            heapq.heapify(heap)
        heapq.heappush(heap, (rank, next(self._numbers), pending))

    def _is_queued(self, pending: PendingOpening) -> bool:
        return self._queued.get(pending.key) is pending

    def pop(self, now: float) -> PendingOpening | None:
        """Removes and returns the first flow; None without one."""
        while self._timely:
            pending = heapq.heappop(self._timely)[2]
            if not self._is_queued(pending):
                continue
            if pending.goal_deadline >= now:
                return pending
            self.push(now, pending)
        while self._late:
            pending = heapq.heappop(self._late)[2]
            if self._is_queued(pending):
                return pending
        return None


class _ServiceQueue:
    """The queued new flows of one service, with fair queueing.

    Attributes:
        queued: The flows by key.
    """

    __slots__ = (
        "_by_caller",
        "_by_urgency",
        "_caller_counts",
        "_offered",
        "queued",
    )

    def __init__(self) -> None:
        self.queued: dict[bytes, PendingOpening] = {}
        self._by_urgency = _Order(self.queued, _rank)
        self._by_caller = _Order(self.queued, _rank_without_urgency)
        # Flows that were offered from this queue.
        self._offered = 0
        # Queued flows by caller and urgency.
        self._caller_counts: collections.Counter[tuple[bytes, int]]
        self._caller_counts = collections.Counter()

    def add(self, now: float, pending: PendingOpening) -> None:
        """Queues a flow that is not queued."""
        self.queued[pending.key] = pending
        pending.flow.caller_turn = pending.caller_turn
        self._caller_counts[_caller(pending)] += 1
        self._by_urgency.push(now, pending)
        self._by_caller.push(now, pending)

    def remove(self, pending: PendingOpening, offered: bool) -> None:
        """Removes a queued flow, which was offered or not."""
        self._offered += offered
        del self.queued[pending.key]
        caller = _caller(pending)
        self._caller_counts[caller] -= 1
        if not self._caller_counts[caller]:
            del self._caller_counts[caller]

    def caller_turn(self, pending: PendingOpening) -> int:
        """Returns the ``caller_turn`` of a flow that is not queued."""
        return self._caller_counts[_caller(pending)]

    def next_offers(self, now: float, count: int) -> list[PendingOpening]:
        """Returns the first flows; they stay queued."""
        popped: list[tuple[_Order, PendingOpening]] = []
        found: dict[bytes, PendingOpening] = {}
        while len(found) < count:
            order = self._order(len(found))
            pending = order.pop(now)
            if pending is None:
                break
            popped.append((order, pending))
            found[pending.key] = pending
        for order, pending in popped:
            order.push(now, pending)
        return list(found.values())

    def _order(self, position: int) -> _Order:
        """Returns the order from which a flow is chosen.

        Args:
            position: Number of flows that are offered before it.
        """
        number = self._offered + position + 1
        if number % ANY_URGENCY_INTERVAL == 0:
            return self._by_caller
        return self._by_urgency

    def goes_first(self, now: float, pending: PendingOpening) -> bool:
        """Returns True if a flow would be the first one here."""
        rank = self._order(0).rank
        for first in self.next_offers(now, 1):
            return rank(now, pending) < rank(now, first)
        return True


class OpeningQueue:
    """The queued new flows of a balancer.

    With fair queueing, each service has a queue of its own.

    Attributes:
        wall_offset_s: Time by the wall clock minus the time in all arguments,
            seconds.
    """

    __slots__ = (
        "_counts",
        "_fair",
        "_pending",
        "_services",
        "wall_offset_s",
    )

    def __init__(self, fair: bool = False) -> None:
        self.wall_offset_s = 0.0
        self._fair = fair
        self._pending: dict[bytes, PendingOpening] = {}
        # Queued flows by service.
        self._counts: collections.Counter[str] = collections.Counter()
        # Queues by service that are not empty; none without fair queueing.
        self._services: dict[str, _ServiceQueue] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, key: bytes) -> bool:
        return key in self._pending

    def make_pending(
        self, key: bytes, flow: flow_table.Flow, route: routes.Route
    ) -> PendingOpening:
        """Returns a flow as it would be queued."""
        pending = PendingOpening(key, flow, route)
        if self._fair:
            wall_time = flow.opened_at + self.wall_offset_s
            pending.caller_group = caller_group(key, wall_time)
            queue = self._services.get(flow.service)
            if flow.caller_turn is not None:
                # A flow that upstreams declined keeps its place.
                pending.caller_turn = flow.caller_turn
            elif queue is not None:
                pending.caller_turn = queue.caller_turn(pending)
        return pending

    def add(self, now: float, pending: PendingOpening) -> bool:
        """Queues a flow; returns False if it is too late or the queue full."""
        if not self.can_add(now, pending):
            return False
        known = self._pending.get(pending.key)
        if known is not None and known.service == pending.service:
            return True
        self.remove(pending.key)
        self._pending[pending.key] = pending
        self._counts[pending.service] += 1
        if self._fair:
            queue = self._services.setdefault(pending.service, _ServiceQueue())
            queue.add(now, pending)
        return True

    def can_add(self, now: float, pending: PendingOpening) -> bool:
        """Returns False if it is too late for a flow or the queue is full."""
        if pending.key in self._pending:
            return now < pending.deadline
        length = len(self._pending)
        if self._fair:
            length = self.queued_for(pending.service)
        return now < pending.deadline and length < MAX_PENDING

    def queued_for(self, service: str) -> int:
        """Returns the number of queued flows of a service."""
        return self._counts[service]

    def remove(self, key: bytes, offered: bool = False) -> None:
        """Removes a flow that was offered to an upstream, or given up."""
        pending = self._pending.pop(key, None)
        if pending is None:
            return
        service = pending.service
        self._counts[service] -= 1
        if self._fair:
            self._services[service].remove(pending, offered)
        if not self._counts[service]:
            del self._counts[service]
            self._services.pop(service, None)

    def all(self) -> list[PendingOpening]:
        """Returns all queued flows."""
        return list(self._pending.values())

    def pop_expired(self, now: float) -> list[PendingOpening]:
        """Removes and returns the flows whose deadline has passed."""
        expired = [x for x in self._pending.values() if x.deadline <= now]
        for pending in expired:
            self.remove(pending.key)
        return expired

    def in_turn(self, service: str) -> bool:
        """Returns True if new flows to a service are offered in their turn.

        With fair queueing this is so while others of the service are queued.
        """
        return service in self._services

    def first(self, now: float, service: str) -> PendingOpening | None:
        """Returns the queued flow to offer first, with fair queueing."""
        queue = self._services.get(service)
        offers = queue.next_offers(now, 1) if queue else []
        return offers[0] if offers else None

    def goes_first(self, now: float, pending: PendingOpening) -> bool:
        """Returns True if a new flow is offered before all queued flows."""
        queue = self._services.get(pending.service)
        return queue is None or queue.goes_first(now, pending)

    def next_offers(self, now: float) -> list[PendingOpening]:
        """Returns the flows to offer now; they stay queued until ``remove``.

        With fair queueing, a long queue for one service does not delay the
        flows of the others.
        """
        if self._fair:
            return [
                pending
                for queue in self._services.values()
                for pending in queue.next_offers(now, MAX_OFFERS_PER_TURN)
            ]
        ordered = sorted(
            self._pending.values(),
            key=lambda x: (x.goal_deadline < now, x.urgency, x.deadline),
        )
        return ordered[:MAX_OFFERS_PER_TURN]
