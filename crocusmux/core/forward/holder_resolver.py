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
CONFIRMED_S = 1.0
# The list of agents is read again so often, at most, while flows are denied by
# all agents, seconds.
LIST_S = 0.5

Outputs = list[outputs.Output]


class HolderResolver:
    """The searches of a balancer.

    Segments of a flow wait in its search.  Questions name flows only; the
    segments follow once an agent has claimed the flow.
    """

    __slots__ = (
        "_directory",
        "_failure_domain",
        "_flows",
        "_list_at",
        "_lookups",
        "_questions",
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
        self._directory = directory
        self._flows = flows
        self._failure_domain = failure_domain
        self._lookups: dict[bytes, flow_table.Flow] = {}
        self._questions = flow_queries.FlowQueries()
        self._list_at = float("-inf")

    def search(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Looks for the holder of a flow, or keeps a segment meanwhile."""
        if flow.lookup is not None:
            flow.lookup.keep(now, seg)
            self._lookups[seg.key] = flow
            return []
        return self._ask_round(now, self._begin(now, seg, flow))

    def choose_among(
        self,
        now: float,
        seg: segments.Segment,
        flow: flow_table.Flow,
        hosts: Iterable[str],
    ) -> Outputs:
        """Shows a flow's first segment to all agents that got its opening.

        The caller's acknowledgement tells whose SYN+ACK it took.
        """
        known = [self._directory.get(host) for host in hosts]
        search = self._begin(now, seg, flow)
        asked = search.next_round(now, [x for x in known if x])
        return [_show(seg, one) for one in asked]

    def on_timer(self, now: float) -> Outputs:
        """Goes on with searches that nobody has answered."""
        sent: Outputs = []
        self._questions.expire(now)
        if not self._questions.waiting():
            for key, flow in list(self._lookups.items()):
                search = flow.lookup
                if search is None or search.idle(now):
                    del self._lookups[key]
                elif search.due(now):
                    sent += self._ask_round(now, search)
        return sent + self.send_due(now)

    def send_due(self, now: float) -> Outputs:
        """Sends the questions that wait, if the rate allows it."""
        sent: Outputs = []
        if not self._questions.due(now):
            return sent
        for host, number, found in self._questions.take(now):
            upstream = self._directory.get(host)
            if upstream is not None:
                question = reports.FlowQuery(number, upstream.tag, found)
                sent.append(outputs.ToPeer(upstream.record.control, question))
        return sent

    def on_answer(self, now: float, answer: reports.FlowQueryReply) -> Outputs:
        """Takes an agent's answer to a question."""
        sent: Outputs = []
        keys = self._questions.answered(answer.host, answer.number)
        for position, key in enumerate(keys):
            if answer.held >> position & 1:
                sent += self._found(now, answer.host, key, shown=None)
            elif answer.uncertain >> position & 1:
                sent += self._on_unsure(now, answer.host, key)
            else:
                sent += self.on_not_held(
                    now, reports.FlowDenied(answer.host, key)
                )
        return sent

    def on_held(self, now: float, message: reports.FlowClaimed) -> Outputs:
        """Takes an agent's word that its upstream took a segment it got."""
        flow = self._flows.get(message.key)
        shown = flow.lookup.probe_segment if flow and flow.lookup else None
        return self._found(now, message.host, message.key, shown)

    def on_not_held(self, now: float, message: reports.FlowDenied) -> Outputs:
        """Takes an agent's word that its upstream does not hold a flow."""
        flow = self._flows.get(message.key)
        if flow is None:
            return []
        if flow.holder == message.host:
            return self._on_holder_denies(now, message, flow)
        search = flow.lookup
        if search is None or not search.deny(message.host):
            return []
        return self._on_all_answered(now, search)

    def deliver(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Sends a segment to the agent that holds its flow."""
        upstream = self._directory.get(flow.holder)
        if upstream is None:
            flow.holder = ""
            return self.search(now, seg, flow)
        # Kept for the case that the assumed holder denies the flow.
        confirmed = now - flow.held_at > CONFIRMED_S
        flow.last = None if confirmed or seg.final else seg
        return [to_agent(seg, upstream)]

    def _begin(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> holder_lookup.HolderLookup:
        """Begins a search, with a segment that waits for its end."""
        flow.lookup = holder_lookup.HolderLookup(now, seg, self._failure_domain)
        flow.lookup.keep(now, seg)
        self._lookups[seg.key] = flow
        return flow.lookup

    def _found(
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
        kept = flow.lookup.kept if flow.lookup else []
        flow.holder = host
        flow.held_at = now
        flow.last = flow.opening = flow.lookup = None
        self._lookups.pop(key, None)
        detail = f"agent={host} kept={len(kept)}"
        sent: Outputs = [outputs.Event("held", key, detail)]
        for seg in kept:
            if seg is not shown:
                sent += self.deliver(now, seg, flow)
        return sent

    def _on_unsure(self, now: float, host: str, key: bytes) -> Outputs:
        flow = self._flows.get(key)
        search = flow.lookup if flow else None
        if search is None or not search.note_unsure(host):
            return []
        return self._on_all_answered(now, search)

    def _on_all_answered(
        self, now: float, search: holder_lookup.HolderLookup
    ) -> Outputs:
        agents = self._agents_of(search)
        if search.denied_by_all(now, agents):
            return self._on_denied_by_all(now, search)
        return self._ask_round(now, search)

    def _on_denied_by_all(
        self, now: float, search: holder_lookup.HolderLookup
    ) -> Outputs:
        listed_at = self._directory.listed_at
        if search.over(listed_at):
            return self._lost(search.probe_segment.key, "denied-by-all")
        if listed_at >= search.began_at or now < self._list_at:
            return []
        self._list_at = now + LIST_S
        return [outputs.ListAgents()]

    def _ask_round(
        self, now: float, search: holder_lookup.HolderLookup
    ) -> Outputs:
        seg = search.probe_segment
        if self._routes.find(seg.key) is None:
            return [outputs.Reset(seg.key, seg.ack)]
        agents = self._agents_of(search)
        if search.denied_by_all(now, agents):
            sent = self._on_denied_by_all(now, search)
            if sent:
                return sent
        if search.all_asked(now, agents):
            shown = self._show_to_unsure(search)
            if shown:
                return shown
        asked = search.next_round(now, agents)
        for one in asked:
            self._questions.add(one.record.host, seg.key, seg.ack)
        detail = f"agents={len(asked)} of={len(agents)}"
        detail += f" searches={search.searches} config={self._routes.version}"
        return [outputs.Event("ask", seg.key, detail), *self.send_due(now)]

    def _show_to_unsure(self, search: holder_lookup.HolderLookup) -> Outputs:
        found = [self._directory.get(host) for host in search.take_unsure()]
        return [_show(search.probe_segment, one) for one in found if one]

    def _agents_of(
        self, search: holder_lookup.HolderLookup
    ) -> list[upstreams.Upstream]:
        route = self._routes.find(search.probe_segment.key)
        return self._directory.for_services(route.services()) if route else []

    def _on_holder_denies(
        self, now: float, message: reports.FlowDenied, flow: flow_table.Flow
    ) -> Outputs:
        if now - flow.held_at > CONFIRMED_S:
            return self._lost(message.key, "lost-by-holder")
        # It was only assumed to hold the flow: another balancer may have
        # offered a copy of the opening elsewhere.
        flow.holder = ""
        if flow.last is None:
            return []
        search = self._begin(now, flow.last, flow)
        search.deny(message.host)
        return self._ask_round(now, search)

    def _lost(self, key: bytes, reason: str) -> Outputs:
        """Ends a flow that its holder has lost, or that nobody has."""
        flow = self._flows.get(key)
        self._flows.remove(key)
        self._lookups.pop(key, None)
        if flow is None or not flow.data_sent:
            # A late acknowledgement of a flow that has ended.
            return []
        detail = f"reason={reason} agent={flow.holder or '-'} ack={flow.ack}"
        return [
            outputs.Event("flow-lost", key, detail, True),
            outputs.Reset(key, flow.ack),
        ]


def to_agent(
    seg: segments.Segment, upstream: upstreams.Upstream
) -> outputs.ToAgent:
    """Returns a segment on its way to the agent that shall have it."""
    return outputs.ToAgent(
        upstream.record.address, seg, upstream.tag, segments.MARK_DIRECT
    )


def _show(
    seg: segments.Segment, upstream: upstreams.Upstream
) -> outputs.ToAgent:
    return outputs.ToAgent(
        upstream.record.address, seg, upstream.tag, segments.MARK_PROBE
    )
