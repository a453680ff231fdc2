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
# An agent counts as lost once it has left MIN_REQUESTS requests unanswered and
# UNANSWERED_TIMEOUT_S have passed since the first query or request that it did not
# answer.  A planned restart takes less, and the new agent gets a request within one
# interval.  The time does not count from the agent's last message, which may be one
# report interval (3.4 s) older than the beginning of the restart.
MIN_REQUESTS = 4
UNANSWERED_TIMEOUT_S = upstreams.MIN_LOST_S + REQUEST_INTERVAL_S
# The balancer is probably cut off if it has heard from fewer than half of the
# expected agents within HEARD_NOW_S.  Agents that were last heard from more than
# HEARD_BEFORE_S ago are not counted.
HEARD_NOW_S = upstreams.MIN_LOST_S
HEARD_BEFORE_S = 60.0
# Interval between two requests to an agent that counts as lost.
LOST_REQUEST_INTERVAL_S = 1.0
# An agent that counts as lost is asked no longer after this time.  A host that
# returns later announces itself again.
MAX_REQUESTED_S = 20.0
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

    __slots__ = (
        "_agent_table",
        "_next_mark_at",
        "_next_request_at",
        "_timer_at",
        "_watched",
    )

    def __init__(self, agents: agent_table.AgentTable) -> None:
        """Watches the agents of a table; none has been asked yet."""
        self._agent_table = agents
        # Agents that left something unanswered, or whose record is gone.
        self._watched: dict[str, upstreams.Upstream] = {}
        self._next_request_at = float("-inf")
        self._next_mark_at = float("-inf")
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

    def on_query(self, now: float, upstream: upstreams.Upstream) -> None:
        """Records that a flow query was sent to an agent."""
        if upstream.unanswered_since is None:
            upstream.unanswered_since = now
        # Agents that have never reported are asked in any case.
        if upstream.report is not None:
            self._watched[upstream.record.host] = upstream

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
            if self._agent_table.get(
                host
            ) is not upstream or not _needs_requests(now, upstream):
                del self._watched[host]
            elif _request_due(now, upstream):
                due.append(upstream)
        asked = heapq.nsmallest(
            MAX_REQUESTS_AT_ONCE, due, key=lambda x: x.requested_at
        )
        self._next_request_at = now + len(asked) / MAX_REQUESTS_PER_S
        for upstream in asked:
            upstream.record_request(now)
        return asked

    def mark_lost(self, now: float) -> list[upstreams.Upstream]:
        """Marks agents that answer no requests as lost; returns them.

        None is marked while the balancer is probably cut off; the limits of
        ``Upstream.lost`` then apply alone.
        """
        marked = [
            upstream
            for upstream in self._watched.values()
            if not upstream.unresponsive
            and upstream.withdrawn_incarnation is None
            and (
                _left_requests_unanswered(now, upstream)
                or _ended_after_deletion(now, upstream)
            )
        ]
        if not marked or now < self._next_mark_at:
            return []
        if self._cut_off(now):
            self._next_mark_at = now + REQUEST_INTERVAL_S
            return []
        for upstream in marked:
            upstream.unresponsive = True
        return marked

    def _cut_off(self, now: float) -> bool:
        """Returns True if the balancer hears from less than half of its agents.

        An agent with a report interval of more than HEARD_NOW_S is expected only
        as HEARD_NOW_S / interval.  Also True if more than half of the agents have
        left MIN_REQUESTS requests unanswered.
        """
        known = unanswered = 0
        expected = heard = 0.0
        for upstream in self._agent_table.all():
            age_s = now - upstream.heard_at
            if upstream.report is None or age_s > HEARD_BEFORE_S:
                continue
            known += 1
            interval_s = max(upstream.report.interval_s, HEARD_NOW_S)
            expected += HEARD_NOW_S / interval_s
            heard += age_s <= HEARD_NOW_S
            unanswered += upstream.unanswered_requests >= MIN_REQUESTS
        return 2 * heard < expected or 2 * unanswered > known


def _needs_requests(now: float, upstream: upstreams.Upstream) -> bool:
    if upstream.withdrawn_incarnation is not None:
        return False
    if upstream.unanswered_since is None:
        return upstream.gone_at > 0
    return (
        not upstream.unresponsive
        or now - upstream.unanswered_since <= MAX_REQUESTED_S
    )


def _request_due(now: float, upstream: upstreams.Upstream) -> bool:
    since = upstream.unanswered_since
    if upstream.unresponsive:
        return now - upstream.requested_at >= LOST_REQUEST_INTERVAL_S
    if not upstream.gone_at and (
        since is None or now - since < upstreams.QUERY_TIMEOUT_S
    ):
        return False
    return now - upstream.requested_at >= REQUEST_INTERVAL_S


def _left_requests_unanswered(now: float, upstream: upstreams.Upstream) -> bool:
    """Returns True if an agent has been silent for longer than it restarts."""
    return (
        upstream.unanswered_since is not None
        and upstream.unanswered_requests >= MIN_REQUESTS
        and now - upstream.unanswered_since >= UNANSWERED_TIMEOUT_S
    )


def _ended_after_deletion(now: float, upstream: upstreams.Upstream) -> bool:
    """Returns True if an agent has ended after its record was deleted.

    Only if the deleted record is of the incarnation that reports.  A late
    deletion of a former incarnation's record proves nothing, as the agent may be
    restarting.
    """
    if not upstream.gone_at or upstream.unanswered_requests < GONE_REQUESTS:
        return False
    incarnation = upstream.record.incarnation
    return (
        incarnation == upstream.reporting_incarnation
        and now - upstream.first_request_at >= GONE_TIMEOUT_S
    )
