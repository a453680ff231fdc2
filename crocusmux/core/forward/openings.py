"""New flows that wait for an upstream: who waits, in which order, how long.

A caller that gets a reset tries again at once and has few tries, so a flow
waits while an upstream may still take it within its caller's patience.
"""

from crocusmux.core.forward import flow_table
from crocusmux.core.forward import routes

# A caller repeats its SYN after 0.2 s and 0.6 s and gives up after 1.4 s
# (source: the platform's protocol).
CALLER_PATIENCE_S = 1.3
# A flow waits for this share of its caller's time budget at most; the rest is
# left for the request itself.
QUEUE_BUDGET_SHARE = 0.6
# A flow that waits longer than this share of its route's response-time goal
# will miss the goal, as its request takes the rest.
QUEUE_GOAL_SHARE = 0.6
# Waiting flows that are offered again in one turn.  Upstreams that are full
# decline within 2 ms, so this bounds the messages of an overload.
MAX_OFFERS_PER_TURN = 8
MAX_PENDING = 2_000


class PendingOpening:
    """A new flow that waits.

    Attributes:
        key: Flow key.
        flow: The flow.
        urgency: 0 for the most urgent.
        goal_until: Time until which its request can still meet its
            response-time goal, seconds.
        until: Time at which it is refused, seconds.
    """

    __slots__ = ("deadline", "flow", "goal_deadline", "key", "urgency")

    def __init__(
        self, key: bytes, flow: flow_table.Flow, route: routes.Route
    ) -> None:
        self.key = key
        self.flow = flow
        self.urgency = route.urgency
        patience = min(CALLER_PATIENCE_S, QUEUE_BUDGET_SHARE * route.timeout_s)
        self.goal_deadline = flow.opened_at + QUEUE_GOAL_SHARE * route.target_s
        self.deadline = flow.opened_at + patience


class OpeningQueue:
    """The new flows that wait at a balancer."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[bytes, PendingOpening] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, key: bytes) -> bool:
        return key in self._pending

    def add(self, now: float, pending: PendingOpening) -> bool:
        """Lets a flow wait; returns False if it cannot wait any longer."""
        if now >= pending.deadline or len(self._pending) >= MAX_PENDING:
            return False
        self._pending.setdefault(pending.key, pending)
        return True

    def remove(self, key: bytes) -> None:
        """Forgets a flow that was placed or refused."""
        self._pending.pop(key, None)

    def pop_expired(self, now: float) -> list[PendingOpening]:
        """Removes and returns the flows that have waited long enough."""
        found = [one for one in self._pending.values() if one.deadline <= now]
        for one in found:
            del self._pending[one.key]
        return found

    def next_offers(self, now: float) -> list[PendingOpening]:
        """Returns the flows to offer now; they wait on until ``remove``.

        Flows that can still meet their response-time goal go first: in an
        overload the oldest first would make every answer late.  Among equals
        the more urgent one goes first, then the one that waited longer.
        """
        ordered = sorted(
            self._pending.values(),
            key=lambda one: (
                one.goal_deadline < now,
                one.urgency,
                one.deadline,
            ),
        )
        return ordered[:MAX_OFFERS_PER_TURN]
