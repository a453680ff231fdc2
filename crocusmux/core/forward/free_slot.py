"""Offers that agents decline unless a slot of their upstream is free.

Load reports are up to some seconds old, so an opening is often offered to an
agent whose slots are all taken, while others are free.  A marked offer makes
the agent decline it instead of queueing its request.  The balancer then offers
the flow to another agent, and to a declining one if no other is left.

A marked offer takes a token, and gives it back unless it is declined because no
slot is free.  So all extra offers together stay within the limit at all times.
"""

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import chooser
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import openings
from crocusmux.core.forward import selection
from crocusmux.core.forward import token_bucket
from crocusmux.core.forward import upstreams

# Longest service time of a further agent, relative to that of an agent without
# a free slot.  A request that waits for a slot takes about as long as two: the
# wait and its own time.  Without this, a failing upstream, whose slots are
# free, would get the flows that the others declined.
MAX_SERVICE_RATIO = 2.0


class FreeSlotOffers:
    """Which offers of a balancer are marked, and their limit.

    Attributes:
        enabled: True if offers are marked.
        bucket: Limit of the extra offers.
    """

    __slots__ = ("_agent_table", "_chooser", "_openings", "bucket", "enabled")

    def __init__(
        self,
        share: float,
        agents: agent_table.AgentTable,
        upstream_chooser: chooser.UpstreamChooser,
        queue: openings.OpeningQueue,
    ) -> None:
        """Creates the state of a balancer without marked offers.

        Args:
            share: Limit of the extra offers as a share of all openings; 0
                disables the marks.
            agents: All agents.
            upstream_chooser: The chooser of the balancer.
            queue: Its queued new flows.
        """
        self.enabled = share > 0
        self.bucket = token_bucket.TokenBucket(share)
        self._agent_table = agents
        self._chooser = upstream_chooser
        self._openings = queue

    def required(self, flow: flow_table.Flow, tried: int) -> bool:
        """Returns True if the next offer of a flow needs a free slot.

        False for a flow that was queued or whose service has queued flows: all
        slots are then taken, and a mark would only add messages.  Also False if
        only one agent is left.

        Args:
            flow: The flow.
            tried: Number of agents that were offered the flow or declined it.
        """
        return (
            self.enabled
            and not flow.offered_hosts
            and not flow.was_queued
            and not self._openings.queued_for(flow.service)
            and len(self._agent_table.for_services((flow.service,))) > tried + 1
        )

    def choose_full(
        self,
        now: float,
        flow: flow_table.Flow,
        chosen: upstreams.Upstream | None,
    ) -> upstreams.Upstream | None:
        """Returns an agent that declined without a free slot, or ``chosen``.

        Such an agent gets the flow again, to queue it, if no other one is left
        or if the best of the others takes longer than the wait for a slot.

        Args:
            now: Time in seconds.
            flow: The flow.
            chosen: Agent that has not been tried; None without one.
        """
        known = [self._agent_table.get(host) for host in flow.full_hosts]
        full = [x for x in known if x and not self._chooser.exclusion(now, x)]
        density, assumed_ms = self._chooser.peek_means(now, flow.service)
        if not full or (
            chosen is not None
            and not _slower_than_queue(chosen, full, assumed_ms)
        ):
            return chosen
        domain = self._agent_table.failure_domain
        return selection.cheapest(full, domain, density, assumed_ms)

    def mark(self, flow: flow_table.Flow, host: str) -> bool:
        """Marks an offer; returns False if the limit is reached."""
        if not self.bucket.take():
            return False
        flow.marked_hosts.add(host)
        return True

    def end_mark(self, flow: flow_table.Flow, host: str) -> None:
        """Removes the mark of an offer, if any, and returns its token.

        Not for a decline without a free slot, which uses the token up.
        """
        # No token was taken for a hedge, as no offer follows its decline.
        if host in flow.marked_hosts and host != flow.hedge_host:
            self.bucket.give_back()
        flow.marked_hosts.discard(host)

    def on_opened(self, flow: flow_table.Flow) -> None:
        """Ends the marked offers of a flow whose caller goes on."""
        for host in list(flow.marked_hosts):
            self.end_mark(flow, host)


def take_back_offer(upstream: upstreams.Upstream) -> None:
    """Takes back the offer of an opening that found no free slot.

    The upstream seems no more loaded than before the offer.  Otherwise repeated
    declines would pile up until the next report, and upstreams that fail all
    requests at once, which never decline, would get more flows than without
    marks (bench.free_slot, case failing).
    """
    upstream.unreported_offers = max(0, upstream.unreported_offers - 1)


def _slower_than_queue(
    chosen: upstreams.Upstream,
    full: list[upstreams.Upstream],
    assumed_ms: float,
) -> bool:
    """Returns True if an agent takes longer than the wait for a slot."""
    full_ms = min(selection.service_time_ms(x, assumed_ms) for x in full)
    service_ms = selection.service_time_ms(chosen, assumed_ms)
    return service_ms > MAX_SERVICE_RATIO * full_ms
