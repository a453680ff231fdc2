"""Requests for reports from agents that do not reply, and which of them are lost.

A balancer asks an agent for a report at once, and counts requests that stay
unanswered.  Any message of the agent answers them all.  The report interval does
not matter: a running agent answers within milliseconds.
"""

import heapq

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import upstreams

# Interval between two requests to an agent that does not reply.
REQUEST_INTERVAL_S = 0.25
# Limit of the requests of a balancer: in a partition all agents are silent, and
# with 128 bytes a request this is 0.33 Mbit/s of a link of 5 Mbit/s.
MAX_REQUESTS_PER_S = 320
# Limit for one run of the timer.
MAX_REQUESTS_AT_ONCE = 16
# An agent whose record was deleted is lost after this many requests without an
# answer, and this time after the first of them.
GONE_REQUESTS = 3
GONE_TIMEOUT_S = 1.0
# With a longer gap between two runs of the timer, which is due every 0.05 s, the
# balancer was suspended, and messages of that time are unread or were dropped.
MAX_TIMER_GAP_S = 0.5


class Liveness:
    """Finds the agents of a balancer that do not answer requests."""

    __slots__ = ("_agent_table", "_next_request_at", "_timer_at", "_watched")

    def __init__(self, agents: agent_table.AgentTable) -> None:
        """Watches the agents of a table; none has been asked yet."""
        self._agent_table = agents
        # Agents that left something unanswered, or whose record is gone.
        self._watched: dict[str, upstreams.Upstream] = {}
        self._next_request_at = float("-inf")
        # No gap is known before the first run of the timer.
        self._timer_at = float("inf")

    def check_suspension(self, now: float) -> None:
        """Restarts all waits if the balancer was suspended until now.

        Called with each event, as messages may be handled before the timer runs.
        """
        if now - self._timer_at <= MAX_TIMER_GAP_S:
            return
        self._timer_at = now
        for upstream in self._agent_table.all():
            upstream.resumed_at = now
            upstream.clear_requests()

    def on_message(self, now: float, host: str) -> None:
        """Records that an agent has sent a message."""
        upstream = self._agent_table.get(host)
        if upstream is None:
            return
        upstream.record_message(now)
        if not upstream.gone_at:
            self._watched.pop(host, None)

    def on_record_gone(self, upstream: upstreams.Upstream) -> None:
        """Begins to ask an agent whose record was deleted."""
        upstream.clear_requests()
        self._watched[upstream.record.host] = upstream

    def pop_due(self, now: float) -> list[upstreams.Upstream]:
        """Returns the agents to ask for a report now."""
        self._timer_at = now
        if not self._watched or now < self._next_request_at:
            return []
        due = []
        for host, upstream in list(self._watched.items()):
            if self._agent_table.get(host) is not upstream or not (
                upstream.gone_at or upstream.unanswered_since is not None
            ):
                del self._watched[host]
            elif now - upstream.requested_at >= REQUEST_INTERVAL_S:
                due.append(upstream)
        asked = heapq.nsmallest(
            MAX_REQUESTS_AT_ONCE, due, key=lambda x: x.requested_at
        )
        self._next_request_at = now + len(asked) / MAX_REQUESTS_PER_S
        for upstream in asked:
            upstream.record_request(now)
        return asked

    def mark_lost(self, now: float) -> list[upstreams.Upstream]:
        """Marks agents that answer no requests as lost; returns them."""
        marked = []
        for upstream in self._watched.values():
            if not upstream.unresponsive and _lost_with_record(now, upstream):
                upstream.unresponsive = True
                marked.append(upstream)
        return marked


def _lost_with_record(now: float, upstream: upstreams.Upstream) -> bool:
    """Returns True if an agent has ended after its record was deleted.

    A late deletion by a former incarnation proves nothing, as the one that
    reports may be restarting: it must be the record of the latter.
    """
    if not upstream.gone_at or upstream.unanswered_requests < GONE_REQUESTS:
        return False
    incarnation = upstream.record.incarnation
    return (
        incarnation == upstream.reporting_incarnation
        and now - upstream.first_request_at >= GONE_TIMEOUT_S
    )
