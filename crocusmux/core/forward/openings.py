"""Queue of new flows for which no upstream has free slots.

A caller that gets a reset retries at once and has few attempts, so a flow
is queued while an upstream may still accept it before its caller gives up.
"""

from crocusmux.core.forward import flow_table
from crocusmux.core.forward import routes

# A caller retransmits its SYN after 0.2 s and 0.6 s and gives up after 1.4 s
# (source: the platform's protocol).
CALLER_PATIENCE_S = 1.3
# Longest wait as a share of the caller's timeout; the request takes the rest.
QUEUE_BUDGET_SHARE = 0.6
# Wait after which a flow misses its route's response-time goal, as a share of
# the goal; the request takes the rest.
QUEUE_GOAL_SHARE = 0.6
# Queued flows offered in one turn.  Full upstreams decline within 2 ms, so this
# bounds the messages in an overload.
MAX_OFFERS_PER_TURN = 8
MAX_PENDING = 2_000
# Reason for which a flow is refused that cannot be queued any longer.
REFUSED_TOO_LATE = "no-upstream-in-time"


class PendingOpening:
    """A queued new flow.

    Attributes:
        key: Flow key.
        flow: The flow.
        urgency: Urgency of the route; 0 is the most urgent.
        goal_deadline: Latest placement that can meet the route's response-time
            goal, seconds.
        deadline: Time at which the flow is refused, seconds.
    """

    __slots__ = ("deadline", "flow", "goal_deadline", "key", "urgency")

    def __init__(
        self, key: bytes, flow: flow_table.Flow, route: routes.Route
    ) -> None:
        self.key = key
        self.flow = flow
        self.urgency = route.urgency
        wait_s = min(CALLER_PATIENCE_S, QUEUE_BUDGET_SHARE * route.timeout_s)
        self.goal_deadline = flow.opened_at + QUEUE_GOAL_SHARE * route.target_s
        self.deadline = flow.opened_at + wait_s


class OpeningQueue:
    """The queued new flows of a balancer."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[bytes, PendingOpening] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, key: bytes) -> bool:
        return key in self._pending

    def add(self, now: float, pending: PendingOpening) -> bool:
        """Queues a flow; returns False if it is too late or the queue full."""
        if not self.can_add(now, pending):
            return False
        self._pending.setdefault(pending.key, pending)
        return True

    def can_add(self, now: float, pending: PendingOpening) -> bool:
        """Returns False if it is too late for a flow or the queue is full."""
        return now < pending.deadline and len(self._pending) < MAX_PENDING

    def remove(self, key: bytes) -> None:
        """Removes a flow that was placed or refused."""
        self._pending.pop(key, None)

    def all(self) -> list[PendingOpening]:
        """Returns all queued flows."""
        return list(self._pending.values())

    def pop_expired(self, now: float) -> list[PendingOpening]:
        """Removes and returns the flows whose deadline has passed."""
        expired = [x for x in self._pending.values() if x.deadline <= now]
        for pending in expired:
            del self._pending[pending.key]
        return expired

    def next_offers(self, now: float) -> list[PendingOpening]:
        """Returns the flows to offer now; they stay queued until ``remove``.

        Flows that can still meet their response-time goal go first, as a FIFO
        queue would make every answer late in an overload.  Among them, and
        among the others, order is by urgency, then by deadline.
        """
        ordered = sorted(
            self._pending.values(),
            key=lambda x: (x.goal_deadline < now, x.urgency, x.deadline),
        )
        return ordered[:MAX_OFFERS_PER_TURN]
