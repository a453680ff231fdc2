"""Resolves the holders of flows that a balancer does not know."""

import collections
from collections.abc import Container, Iterable
import functools

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import flow_queries
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import holder_lookup
from crocusmux.core.forward import liveness
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# Interval between two probes of an assumed holder, as its claim may get lost.
PROBE_INTERVAL_S = 0.2
# Minimum interval between reads of the list of agents because of denials.  A
# lookup waits for a read, and goals of answers begin at 0.25 s.
LIST_INTERVAL_S = 0.25
# The same after LIST_BURST reads within LIST_PERIOD_S, so that at most
# MAX_LISTS are read in any such period, and none waits for 1 s or longer.
BUSY_LIST_INTERVAL_S = 0.5
LIST_BURST = 5
LIST_PERIOD_S = 4.0
MAX_LISTS = 10
# The same for flows whose callers send no data: nothing is reset for them, and a
# caller that closes a lost flow retransmits for many seconds.
NO_DATA_LIST_INTERVAL_S = 5.0
# Weight of a search in the moving average of searches that found no holder.
OUTCOME_WEIGHT = 0.2
# With a larger share of them lookups query all agents at once.  After a loss of
# power nearly all flows are lost, and rounds only delay their resets.
MAX_LOST_SHARE = 0.5

Outputs = list[outputs.Output]


class HolderResolver:
    """All holder lookups of a balancer.

    A lookup queues the segments of its flow.  Flow queries carry flow keys
    only; the segments are sent once an agent has claimed the flow.
    """

    __slots__ = (
        "_agent_table",
        "_evacuated",
        "_flows",
        "_list_wanted",
        "_lists_began_at",
        "_liveness",
        "_lookups",
        "_lost_share",
        "_queries",
        "_routes",
    )

    def __init__(
        self,
        route_table: routes.RouteTable,
        agents: agent_table.AgentTable,
        flows: flow_table.FlowTable,
        evacuated: Container[str],
        monitor: liveness.Liveness,
    ) -> None:
        """Creates a resolver without lookups.

        Args:
            route_table: The configuration in force.
            agents: All agents.
            flows: Connection tracking of the balancer.
            evacuated: Failure domains whose upstreams get no openings, not even
                late duplicates; all other segments of open flows reach them.
            monitor: Gets the queries, and finds agents that do not reply.
        """
        self._routes = route_table
        self._agent_table = agents
        self._flows = flows
        self._evacuated = evacuated
        self._liveness = monitor
        self._lookups: dict[bytes, flow_table.Flow] = {}
        self._queries = flow_queries.FlowQueries()
        # True if a flow with data waits for the interval between two reads.
        self._list_wanted = False
        self._lists_began_at: collections.deque[float] = collections.deque(
            maxlen=MAX_LISTS
        )
        self._lost_share = 0.0

    def resolve(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Starts the lookup of a flow's holder, or queues a segment in it."""
        if flow.lookup is not None:
            flow.lookup.queue_segment(now, seg)
            self._lookups[seg.key] = flow
            return []
        return self._query_round(now, self._start_lookup(now, seg, flow))

    def probe_all(
        self,
        now: float,
        seg: segments.Segment,
        flow: flow_table.Flow,
        hosts: Iterable[str],
    ) -> Outputs:
        """Probes all agents that were offered a flow's opening.

        The caller's acknowledgement tells which SYN+ACK the caller accepted.
        """
        known = [self._agent_table.get(host) for host in hosts]
        probed = [upstream for upstream in known if upstream]
        self._start_lookup(now, seg, flow).begin_with(now, probed)
        return self._make_probes(seg, probed)

    def on_timer(self, now: float) -> Outputs:
        """Starts the rounds of lookups that are due, and drops idle lookups."""
        sent: Outputs = []
        self._queries.expire(now)
        if self._list_wanted and self._may_list(now, has_data=True):
            sent += self._read_list(now)
        listed_at = self._agent_table.listed_at
        # Queries that were not answered are not repeated while others wait.
        may_repeat = not self._queries.has_pending()
        for key, flow in list(self._lookups.items()):
            lookup = flow.lookup
            if lookup is None or lookup.caller_idle(now):
                del self._lookups[key]
            elif lookup.proves_loss(listed_at) or (
                lookup.round_due(now)
                and (
                    may_repeat
                    or lookup.between_searches()
                    or lookup.stalled(now, self._agent_table.get)
                )
            ):
                sent += self._query_round(now, lookup)
            elif lookup.early_probes_due(
                now, functools.partial(self._possible_holders, lookup)
            ):
                sent += self._probe(lookup, lookup.take_early(now))
        return sent + self.send_queries(now)

    def reset_backoff(self) -> None:
        """Lets the next rounds of all lookups begin soon, as agents were lost."""
        for flow in self._lookups.values():
            if flow.lookup is not None:
                flow.lookup.reset_backoff()

    def send_queries(self, now: float) -> Outputs:
        """Sends the pending flow queries if the rate limit allows it."""
        sent: Outputs = []
        if not self._queries.may_send(now):
            return sent
        for host, number, flows in self._queries.take_pending(now):
            upstream = self._agent_table.get(host)
            if upstream is not None:
                self._liveness.on_query(now, upstream)
                query = reports.FlowQuery(number, upstream.tag, flows)
                sent.append(outputs.ToPeer(upstream.record.control, query))
        return sent

    def on_reply(self, now: float, reply: reports.FlowQueryReply) -> Outputs:
        """Applies an agent's claims and denials of the queried flows."""
        sent: Outputs = []
        keys = self._queries.match_reply(reply.host, reply.number)
        for position, key in enumerate(keys):
            if reply.claimed >> position & 1:
                sent += self._on_holder_found(now, reply.host, key, probe=None)
            elif reply.uncertain >> position & 1:
                sent += self._on_uncertain(now, reply.host, key)
            else:
                sent += self.on_denied(now, reports.FlowDenied(reply.host, key))
        return sent

    def on_claimed(self, now: float, message: reports.FlowClaimed) -> Outputs:
        """Applies a claim by an agent whose upstream has the probe segment."""
        flow = self._flows.get(message.key)
        probe = flow.lookup.probe_segment if flow and flow.lookup else None
        return self._on_holder_found(now, message.host, message.key, probe)

    def on_denied(self, now: float, message: reports.FlowDenied) -> Outputs:
        """Applies an agent's denial of a flow."""
        flow = self._flows.get(message.key)
        if flow is None:
            return []
        if flow.holder == message.host:
            return self._on_holder_denial(now, message, flow)
        lookup = flow.lookup
        if lookup is None or not lookup.record_denial(message.host):
            return []
        return self._on_round_complete(now, lookup)

    def on_withdrawn(self, now: float, host: str) -> Outputs:
        """Goes on with the lookups that wait for an agent that has withdrawn.

        Its upstream is gone, so it holds none of their flows.
        """
        self._queries.drop_pending(host)
        sent: Outputs = []
        for flow in list(self._lookups.values()):
            lookup = flow.lookup
            if (
                lookup is not None
                and lookup.awaits(host)
                and lookup.record_denial(host)
            ):
                sent += self._on_round_complete(now, lookup)
        return sent

    def deliver(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Sends a segment to the holder of its flow.

        A holder that counts as lost may keep its record in the store for long,
        so the flow is looked up, and reset if all other agents deny it.
        """
        upstream = self._agent_table.get(flow.holder)
        if upstream is None or upstream.lost(now):
            flow.holder = ""
            flow.holder_confirmed = False
            return self.resolve(now, seg, flow)
        if self._withheld(seg, upstream):
            return []
        if flow.holder_confirmed:
            return [to_agent(seg, upstream)]
        # Kept for a lookup in case the assumed holder denies the flow.
        flow.last_segment = None if seg.final else seg
        if now - flow.probed_at < PROBE_INTERVAL_S:
            return [to_agent(seg, upstream)]
        flow.probed_at = now
        return [_make_probe(seg, upstream)]

    def _start_lookup(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> holder_lookup.HolderLookup:
        """Starts a lookup with a first queued segment."""
        flow.lookup = holder_lookup.HolderLookup(now, seg)
        flow.lookup.queue_segment(now, seg)
        self._lookups[seg.key] = flow
        return flow.lookup

    def _on_holder_found(
        self, now: float, host: str, key: bytes, probe: segments.Segment | None
    ) -> Outputs:
        """Sends the queued segments of a flow to the agent that claims it.

        Its upstream has the ``probe`` segment already.
        """
        flow = self._flows.get(key)
        if flow is None:
            return []
        if flow.holder == host:
            flow.holder_confirmed = True
            flow.last_segment = None
            return []
        queued: list[segments.Segment] = []
        if flow.lookup is not None:
            queued = flow.lookup.queued_segments
            self._record_outcome(found=True)
            service = self._of_other_service(host, key)
            if service:
                self._routes.learn_holding_service(key, service)
        flow.holder = host
        flow.holder_confirmed = True
        flow.last_segment = flow.opening_segment = flow.lookup = None
        self._lookups.pop(key, None)
        detail = f"agent={host} kept={len(queued)}"
        sent: Outputs = [outputs.Event("held", key, detail)]
        for seg in queued:
            if seg is not probe:
                sent += self.deliver(now, seg, flow)
        return sent

    def _on_uncertain(self, now: float, host: str, key: bytes) -> Outputs:
        flow = self._flows.get(key)
        lookup = flow.lookup if flow else None
        if lookup is None:
            return []
        if self._of_other_service(host, key):
            # Its upstream must get no segment of a flow that it may not hold.
            return self.on_denied(now, reports.FlowDenied(host, key))
        round_complete = lookup.record_uncertain(host)
        probes = self._probe(lookup, lookup.take_early(now))
        if probes or not round_complete:
            return probes
        return self._on_round_complete(now, lookup)

    def _on_round_complete(
        self, now: float, lookup: holder_lookup.HolderLookup
    ) -> Outputs:
        agents = self._possible_holders(lookup)
        if lookup.end_search_if_denied(now, agents):
            self._record_outcome(found=False)
            return self._on_denied_by_all(now, lookup)
        return self._query_round(now, lookup)

    def _on_denied_by_all(
        self, now: float, lookup: holder_lookup.HolderLookup
    ) -> Outputs:
        listed_at = self._agent_table.listed_at
        awaited = self._routes.awaits_former_services
        proven = lookup.proves_loss(listed_at) and not awaited
        known = self._routes.knows_former_services or lookup.all_services
        if proven and known:
            return self._on_flow_lost(lookup.probe_segment.key, "denied-by-all")
        if not known and not awaited:
            # The second search asks all services, as one more round after it
            # would delay the resets of lost flows.
            lookup.all_services = True
            if proven:
                return self._query_round(now, lookup)
        has_data = lookup.probe_segment.length > 0
        if listed_at >= lookup.began_at:
            return []
        if self._may_list(now, has_data):
            return self._read_list(now)
        if has_data and self._lists_began_at[-1] < lookup.began_at:
            self._list_wanted = True
        return []

    def _read_list(self, now: float) -> Outputs:
        self._list_wanted = False
        self._lists_began_at.append(now)
        return [outputs.ListAgents()]

    def _may_list(self, now: float, has_data: bool) -> bool:
        """Returns True if the list of agents may be read for a flow."""
        began_at = self._lists_began_at
        if not began_at:
            return True
        recent = sum(now - time < LIST_PERIOD_S for time in began_at)
        interval_s = LIST_INTERVAL_S
        if not has_data:
            interval_s = NO_DATA_LIST_INTERVAL_S
        elif recent >= LIST_BURST:
            interval_s = BUSY_LIST_INTERVAL_S
        return recent < MAX_LISTS and now - began_at[-1] >= interval_s

    def _query_round(
        self, now: float, lookup: holder_lookup.HolderLookup
    ) -> Outputs:
        seg = lookup.probe_segment
        if self._routes.find_route(seg.key) is None:
            return [outputs.Reset(seg.key, seg.ack)]
        agents = self._possible_holders(lookup)
        if lookup.end_search_if_denied(now, agents):
            sent = self._on_denied_by_all(now, lookup)
            if sent:
                return sent
        if lookup.all_replied(now, agents):
            probes = self._probe(lookup, lookup.take_uncertain(now))
            if probes:
                return probes
        query_all = self._lost_share > MAX_LOST_SHARE
        queried = lookup.next_round(now, agents, query_all)
        for upstream in queried:
            self._queries.enqueue(upstream.record.host, seg.key, seg.ack)
        detail = f"agents={len(queried)} of={len(agents)}"
        detail += f" searches={lookup.searches} config={self._routes.version}"
        return [outputs.Event("ask", seg.key, detail), *self.send_queries(now)]

    def _probe(
        self, lookup: holder_lookup.HolderLookup, hosts: Iterable[str]
    ) -> Outputs:
        known = [self._agent_table.get(host) for host in hosts]
        return self._make_probes(lookup.probe_segment, [x for x in known if x])

    def _make_probes(
        self, seg: segments.Segment, probed: Iterable[upstreams.Upstream]
    ) -> Outputs:
        return [
            _make_probe(seg, upstream)
            for upstream in probed
            if not self._withheld(seg, upstream)
        ]

    def _withheld(
        self, seg: segments.Segment, upstream: upstreams.Upstream
    ) -> bool:
        """Returns True for an opening to an upstream that is evacuated."""
        return seg.opening and upstream.record.failure_domain in self._evacuated

    def _possible_holders(
        self, lookup: holder_lookup.HolderLookup
    ) -> agent_table.ServiceAgents:
        if lookup.all_services:
            return self._agent_table.for_all_services()
        services = self._routes.possible_services(lookup.probe_segment.key)
        return self._agent_table.for_services(services)

    def _of_other_service(self, host: str, key: bytes) -> str:
        """Returns an agent's service if it is none of a flow's; else empty."""
        upstream = self._agent_table.get(host)
        if upstream is None:
            return ""
        service = upstream.record.service
        possible = self._routes.possible_services(key)
        return "" if service in possible else service

    def _on_holder_denial(
        self, now: float, message: reports.FlowDenied, flow: flow_table.Flow
    ) -> Outputs:
        if flow.holder_confirmed:
            return self._on_flow_lost(message.key, "lost-by-holder")
        # The holder was only assumed: another balancer may have offered a
        # duplicate of the opening to another agent.  No time without a denial
        # confirms it, as a segment or its denial may get lost.
        flow.holder = ""
        if flow.last_segment is None:
            return []
        lookup = self._start_lookup(now, flow.last_segment, flow)
        lookup.record_denial(message.host)
        return self._query_round(now, lookup)

    def _record_outcome(self, found: bool) -> None:
        """Records whether a search found the holder of its flow."""
        change = (not found) - self._lost_share
        self._lost_share += OUTCOME_WEIGHT * change

    def _on_flow_lost(self, key: bytes, reason: str) -> Outputs:
        """Resets a flow that its holder lost or that no agent holds."""
        flow = self._flows.get(key)
        self._flows.remove(key)
        self._lookups.pop(key, None)
        if flow is None or not flow.data_sent:
            # Without data it is a late acknowledgement of an ended flow.
            return []
        detail = f"reason={reason} agent={flow.holder or '-'} ack={flow.ack}"
        return [
            outputs.Event("flow-lost", key, detail, True),
            outputs.Reset(key, flow.ack),
        ]


def to_agent(
    seg: segments.Segment,
    upstream: upstreams.Upstream,
    mark: int = segments.MARK_DIRECT,
) -> outputs.ToAgent:
    """Returns the output that sends a segment to one agent."""
    return outputs.ToAgent(upstream.record.address, seg, upstream.tag, mark)


def _make_probe(
    seg: segments.Segment, upstream: upstreams.Upstream
) -> outputs.ToAgent:
    return to_agent(seg, upstream, segments.MARK_PROBE)
