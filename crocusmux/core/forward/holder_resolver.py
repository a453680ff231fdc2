"""Finds the agent that holds a flow which a balancer does not know."""

from collections.abc import Iterable

from crocusmux.core.forward import flow_queries
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import holder_lookup
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# An assumed holder that has not denied a flow for this time holds it, seconds.
HOLDER_CONFIRMED_S = 1.0
# The list of agents is read again so often, at most, while flows are denied by
# all agents, seconds.
LIST_INTERVAL_S = 0.5

Outputs = list[outputs.Output]


class HolderResolver:
    """The searches of a balancer.

    Segments of a flow wait in its search.  Questions name flows only; the
    segments follow once an agent has claimed the flow.
    """

    __slots__ = (
        "_agent_table",
        "_failure_domain",
        "_flows",
        "_flows_in_lookup",
        "_next_list_at",
        "_queries",
        "_routes",
    )

    def __init__(
        self,
        route_table: routes.RouteTable,
        directory: upstreams.AgentTable,
        flows: flow_table.FlowTable,
        failure_domain: str,
    ) -> None:
        """Prepares without searches.

        Args:
            route_table: The configuration in force.
            directory: The agents.
            flows: The flows of the balancer.
            failure_domain: Failure domain of the balancer.
        """
        self._routes = route_table
        self._agent_table = directory
        self._flows = flows
        self._failure_domain = failure_domain
        self._flows_in_lookup: dict[bytes, flow_table.Flow] = {}
        self._queries = flow_queries.FlowQueries()
        self._next_list_at = float("-inf")

    def resolve(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Looks for the holder of a flow, or keeps a segment meanwhile."""
        if flow.holder_lookup is not None:
            flow.holder_lookup.queue_segment(now, seg)
            self._flows_in_lookup[seg.key] = flow
            return []
        return self._query_round(now, self._start_lookup(now, seg, flow))

    def probe_offered(
        self,
        now: float,
        seg: segments.Segment,
        flow: flow_table.Flow,
        hosts: Iterable[str],
    ) -> Outputs:
        """Shows a flow's first segment to all agents that got its opening.

        The caller's acknowledgement tells whose SYN+ACK it took.
        """
        known = [self._agent_table.get(host) for host in hosts]
        search = self._start_lookup(now, seg, flow)
        asked = search.next_round(now, [x for x in known if x])
        return [_make_probe(seg, one) for one in asked]

    def on_timer(self, now: float) -> Outputs:
        """Goes on with searches that nobody has answered."""
        sent: Outputs = []
        self._queries.expire(now)
        if not self._queries.has_pending():
            for key, flow in list(self._flows_in_lookup.items()):
                search = flow.holder_lookup
                if search is None or search.caller_idle(now):
                    del self._flows_in_lookup[key]
                elif search.round_due(now):
                    sent += self._query_round(now, search)
        return sent + self.send_queries(now)

    def send_queries(self, now: float) -> Outputs:
        """Sends the questions that wait, if the rate allows it."""
        sent: Outputs = []
        if not self._queries.may_send(now):
            return sent
        for host, number, found in self._queries.take_pending(now):
            upstream = self._agent_table.get(host)
            if upstream is not None:
                question = reports.FlowQuery(number, upstream.tag, found)
                sent.append(outputs.ToPeer(upstream.record.control, question))
        return sent

    def on_query_reply(
        self, now: float, answer: reports.FlowQueryReply
    ) -> Outputs:
        """Takes an agent's answer to a question."""
        sent: Outputs = []
        keys = self._queries.match_reply(answer.host, answer.number)
        for position, key in enumerate(keys):
            if answer.claimed >> position & 1:
                sent += self._on_holder_found(now, answer.host, key, shown=None)
            elif answer.uncertain >> position & 1:
                sent += self._on_uncertain(now, answer.host, key)
            else:
                sent += self.on_denied(
                    now, reports.FlowDenied(answer.host, key)
                )
        return sent

    def on_claimed(self, now: float, message: reports.FlowClaimed) -> Outputs:
        """Takes an agent's word that its upstream took a segment it got."""
        flow = self._flows.get(message.key)
        shown = (
            flow.holder_lookup.probe_segment
            if flow and flow.holder_lookup
            else None
        )
        return self._on_holder_found(now, message.host, message.key, shown)

    def on_denied(self, now: float, message: reports.FlowDenied) -> Outputs:
        """Takes an agent's word that its upstream does not hold a flow."""
        flow = self._flows.get(message.key)
        if flow is None:
            return []
        if flow.holder == message.host:
            return self._on_holder_denial(now, message, flow)
        search = flow.holder_lookup
        if search is None or not search.record_denial(message.host):
            return []
        return self._on_round_complete(now, search)

    def deliver(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Sends a segment to the agent that holds its flow."""
        upstream = self._agent_table.get(flow.holder)
        if upstream is None:
            flow.holder = ""
            return self.resolve(now, seg, flow)
        # Kept for the case that the assumed holder denies the flow.
        confirmed = now - flow.holder_since > HOLDER_CONFIRMED_S
        flow.last_segment = None if confirmed or seg.final else seg
        return [make_direct(seg, upstream)]

    def _start_lookup(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> holder_lookup.HolderLookup:
        """Begins a search, with a segment that waits for its end."""
        flow.holder_lookup = holder_lookup.HolderLookup(
            now, seg, self._failure_domain
        )
        flow.holder_lookup.queue_segment(now, seg)
        self._flows_in_lookup[seg.key] = flow
        return flow.holder_lookup

    def _on_holder_found(
        self,
        now: float,
        host: str,
        key: bytes,
        shown: segments.Segment | None,
    ) -> Outputs:
        """Sends the segments that wait to the agent that claims their flow.

        Args:
            now: Time in seconds.
            host: Host name of the agent.
            key: Flow key.
            shown: The segment that the agent's upstream has already.
        """
        flow = self._flows.get(key)
        if flow is None or flow.holder == host:
            return []
        kept = flow.holder_lookup.queued_segments if flow.holder_lookup else []
        flow.holder = host
        flow.holder_since = now
        flow.last_segment = flow.opening_segment = flow.holder_lookup = None
        self._flows_in_lookup.pop(key, None)
        detail = f"agent={host} kept={len(kept)}"
        sent: Outputs = [outputs.Event("held", key, detail)]
        for seg in kept:
            if seg is not shown:
                sent += self.deliver(now, seg, flow)
        return sent

    def _on_uncertain(self, now: float, host: str, key: bytes) -> Outputs:
        flow = self._flows.get(key)
        search = flow.holder_lookup if flow else None
        if search is None or not search.record_uncertain(host):
            return []
        return self._on_round_complete(now, search)

    def _on_round_complete(
        self, now: float, search: holder_lookup.HolderLookup
    ) -> Outputs:
        agents = self._possible_holders(search)
        if search.end_search_if_denied(now, agents):
            return self._on_denied_by_all(now, search)
        return self._query_round(now, search)

    def _on_denied_by_all(
        self, now: float, search: holder_lookup.HolderLookup
    ) -> Outputs:
        listed_at = self._agent_table.listed_at
        if search.proves_loss(listed_at):
            return self._on_flow_lost(search.probe_segment.key, "denied-by-all")
        if listed_at >= search.began_at or now < self._next_list_at:
            return []
        self._next_list_at = now + LIST_INTERVAL_S
        return [outputs.ListAgents()]

    def _query_round(
        self, now: float, search: holder_lookup.HolderLookup
    ) -> Outputs:
        seg = search.probe_segment
        if self._routes.find_route(seg.key) is None:
            return [outputs.Reset(seg.key, seg.ack)]
        agents = self._possible_holders(search)
        if search.end_search_if_denied(now, agents):
            sent = self._on_denied_by_all(now, search)
            if sent:
                return sent
        if search.all_queried(now, agents):
            shown = self._probe_uncertain(search)
            if shown:
                return shown
        asked = search.next_round(now, agents)
        for one in asked:
            self._queries.enqueue(one.record.host, seg.key, seg.ack)
        detail = f"agents={len(asked)} of={len(agents)}"
        detail += (
            f" searches={search.denied_searches} config={self._routes.version}"
        )
        return [outputs.Event("ask", seg.key, detail), *self.send_queries(now)]

    def _probe_uncertain(self, search: holder_lookup.HolderLookup) -> Outputs:
        found = [
            self._agent_table.get(host) for host in search.take_uncertain()
        ]
        return [_make_probe(search.probe_segment, one) for one in found if one]

    def _possible_holders(
        self, search: holder_lookup.HolderLookup
    ) -> list[upstreams.Upstream]:
        route = self._routes.find_route(search.probe_segment.key)
        return self._agent_table.for_services(route.services()) if route else []

    def _on_holder_denial(
        self, now: float, message: reports.FlowDenied, flow: flow_table.Flow
    ) -> Outputs:
        if now - flow.holder_since > HOLDER_CONFIRMED_S:
            return self._on_flow_lost(message.key, "lost-by-holder")
        # It was only assumed to hold the flow: another balancer may have
        # offered a copy of the opening elsewhere.
        flow.holder = ""
        if flow.last_segment is None:
            return []
        search = self._start_lookup(now, flow.last_segment, flow)
        search.record_denial(message.host)
        return self._query_round(now, search)

    def _on_flow_lost(self, key: bytes, reason: str) -> Outputs:
        """Ends a flow that its holder has lost, or that nobody has."""
        flow = self._flows.get(key)
        self._flows.remove(key)
        self._flows_in_lookup.pop(key, None)
        if flow is None or not flow.data_sent:
            # A late acknowledgement of a flow that has ended.
            return []
        detail = f"reason={reason} agent={flow.holder or '-'} ack={flow.ack}"
        return [
            outputs.Event("flow-lost", key, detail, True),
            outputs.Reset(key, flow.ack),
        ]


def make_direct(
    seg: segments.Segment, upstream: upstreams.Upstream
) -> outputs.ToAgent:
    """Returns a segment on its way to the agent that shall have it."""
    return outputs.ToAgent(
        upstream.record.address, seg, upstream.tag, segments.MARK_DIRECT
    )


def _make_probe(
    seg: segments.Segment, upstream: upstreams.Upstream
) -> outputs.ToAgent:
    return outputs.ToAgent(
        upstream.record.address, seg, upstream.tag, segments.MARK_PROBE
    )
