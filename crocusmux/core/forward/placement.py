"""Placement of new flows: offers, hedges, the queue, and refusals."""

import random

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import chooser
from crocusmux.core.forward import evacuations
from crocusmux.core.forward import explanation
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import free_slot
from crocusmux.core.forward import hedging
from crocusmux.core.forward import holder_resolver
from crocusmux.core.forward import openings
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# A SYN retransmitted after this time is offered to another upstream.
OPENING_TIMEOUT_S = 0.15
# Upstreams to which a new flow is offered in one turn.
MAX_OFFERS = 3
# Decline reasons that may pass before the caller gives up.
TRANSIENT_REASONS = (
    reports.DECLINED_OVERLOAD,
    reports.DECLINED_BY_UPSTREAM,
    reports.DECLINED_UNKNOWN_STATE,
    reports.DECLINED_WARMING,
    reports.DECLINED_NO_FREE_SLOT,
)

Outputs = list[outputs.Output]


class Placement:
    """Offers the new flows of a balancer to upstreams until they are open.

    Attributes:
        openings: The queued new flows.
    """

    def __init__(
        self,
        route_table: routes.RouteTable,
        agents: agent_table.AgentTable,
        flows: flow_table.FlowTable,
        evacuated: evacuations.EvacuatedDomains,
        failure_domain: str,
        rng: random.Random,
        *,
        hedge_share: float,
        assume_mean: bool,
        fair_queueing: bool,
        extra_offer_share: float,
    ) -> None:
        """Creates the placement of a balancer.

        Args:
            route_table: The configuration in force.
            agents: All agents.
            flows: Connection tracking of the balancer.
            evacuated: Failure domains whose upstreams get no new flows.
            failure_domain: Failure domain of the balancer.
            rng: Source of random numbers.
            hedge_share: Limit of hedged openings as a share of all openings;
                0 disables hedging.
            assume_mean: As for ``chooser.UpstreamChooser``.
            fair_queueing: As for ``openings.OpeningQueue``.
            extra_offer_share: Limit of extra offers because of declines without
                a free slot, as a share of all openings; 0 disables the marks.
        """
        self.openings = openings.OpeningQueue(fair_queueing)
        self._routes = route_table
        self._agent_table = agents
        self._flows = flows
        self._evacuated = evacuated
        self._rng = rng
        self._hedging = hedging.Hedging(hedge_share)
        self._chooser = chooser.UpstreamChooser(
            agents,
            failure_domain,
            rng,
            evacuated.names,
            assume_mean=assume_mean,
        )
        self._free_slot = free_slot.FreeSlotOffers(
            extra_offer_share, agents, self._chooser, self.openings
        )

    def explain(self, now: float, key: bytes) -> explanation.Explanation:
        """Explains where a new flow would be placed; changes nothing."""
        return explanation.explain(
            now,
            key,
            self._routes,
            self._agent_table,
            self._chooser,
            self.openings,
            self._flows.get(key),
            self._evacuated,
            self._free_slot,
        )

    def on_timer(self, now: float) -> Outputs:
        """Refuses, offers and hedges new flows, every turn."""
        sent: Outputs = []
        for pending in self.openings.pop_expired(now):
            # An evacuated upstream may have accepted a flow offered to it.
            if not pending.flow.offered_hosts:
                sent += self._refuse_flow(
                    now, pending.key, pending.flow, openings.REFUSED_TOO_LATE
                )
        sent += self.place_pending(now)
        sent += self.send_due_hedges(now)
        return sent

    def refuse_evacuated(self, now: float) -> Outputs:
        """Refuses the queued flows whose service is evacuated as a whole."""
        sent: Outputs = []
        for pending in self.openings.all():
            if pending.flow.offered_hosts:
                continue
            reason = self._chooser.refusal_reason(now, pending.flow.service)
            if reason == chooser.REFUSED_EVACUATED:
                sent += self._refuse_flow(
                    now, pending.key, pending.flow, reason
                )
        return sent

    def record_acknowledged(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Records a caller's first packet after its opening."""
        self._hedging.cancel(seg.key)
        self._free_slot.on_opened(flow)
        # A reset gives the opening up and acknowledges no upstream.
        if not flow.offered_hosts or seg.reset:
            return []
        elapsed_s = now - flow.first_offered_at
        self._hedging.record_acknowledged(elapsed_s)
        return [outputs.Timing(outputs.ACKNOWLEDGED, elapsed_s)]

    def on_opening(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow | None
    ) -> Outputs:
        """Places a new flow, or one whose caller retransmits its opening."""
        if flow is None:
            return self.on_new_flow(now, seg)
        if flow.opening_segment is None:
            flow.opening_segment = seg
        if not flow.offered_hosts:
            return self._place_in_turn(now, seg, flow)
        if now - flow.offered_at >= OPENING_TIMEOUT_S:
            return self._reoffer(now, seg, flow)
        if self.is_evacuated(flow.offered_hosts[-1]):
            return self._place_in_turn(now, seg, flow)
        return self._resend(seg, flow, flow.offered_hosts[-1])

    def _resend(
        self, seg: segments.Segment, flow: flow_table.Flow, host: str
    ) -> Outputs:
        """Sends a retransmitted opening to an upstream that may have it.

        A late decline of the first copy, which may have needed a free slot, then
        tells nothing, as the agent may accept this one.
        """
        self._free_slot.end_mark(flow, host)
        upstream = self._agent_table.get(host)
        return [holder_resolver.to_agent(seg, upstream)] if upstream else []

    def is_evacuated(self, host: str) -> bool:
        """Returns True if a host's upstream gets no openings."""
        upstream = self._agent_table.get(host)
        return (
            upstream is not None
            and upstream.record.failure_domain in self._evacuated
        )

    def on_new_flow(self, now: float, seg: segments.Segment) -> Outputs:
        """Places, queues or refuses a new flow."""
        if self._routes.version == 0 or not self._evacuated.known(now):
            return []
        route = self._routes.find_route(seg.key)
        if route is None:
            return self._refuse(now, seg.key, routes.REFUSED_NO_ROUTE)
        self._hedging.bucket.add_opening()
        self._free_slot.bucket.add_opening()
        flow = self._flows.add(now, seg.key)
        flow.service = route.pick_service(self._rng.random())
        flow.opening_segment = seg
        flow.opening_seq = seg.seq
        flow.opened_at -= openings.opening_age_s(seg.ack)
        return self._place_in_turn(now, seg, flow)

    def _place_in_turn(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Offers the first of a service's queued flows and a new one.

        An opening that is offered at once would take the slot for which a more
        urgent one waits.
        """
        route = self._routes.find_route(seg.key)
        if (
            route is None
            or not self.openings.in_turn(flow.service)
            or self._chooser.refusal_reason(now, flow.service)
        ):
            return self._place(now, seg, flow)
        known = seg.key in self.openings
        pending = self.openings.make_pending(seg.key, flow, route)
        if not self.openings.add(now, pending):
            return self._place(now, seg, flow)
        flow.was_queued = True
        sent: Outputs = []
        first = self.openings.first(now, flow.service)
        if first is not None:
            sent = self._offer(now, first)
        if not known and seg.key in self.openings:
            agents = self._agent_table.for_services((flow.service,))
            sent.append(self._wait_event(seg.key, flow, agents))
        return sent

    def _reoffer(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Offers a retransmitted opening to another upstream."""
        # A hedge was offered later than the opening, so its time is not over.
        offered = [x for x in flow.offered_hosts if x != flow.hedge_host]
        for host in offered[-1:]:
            upstream = self._agent_table.get(host)
            if upstream is not None:
                upstream.avoided = True
        return self._place(now, seg, flow)

    def _place(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Offers a new flow to the best upstream that has not been tried."""
        if not flow.offered_hosts and not self._follow_route(seg.key, flow):
            return self._refuse_flow(
                now, seg.key, flow, routes.REFUSED_NO_ROUTE
            )
        tried = {*flow.offered_hosts, *flow.busy_hosts, *flow.declined_hosts}
        chosen = None
        if len(flow.offered_hosts) + len(flow.busy_hosts) < MAX_OFFERS:
            chosen = self._chooser.choose(now, seg.key, flow.service, tried)
        if flow.full_hosts:
            chosen = self._free_slot.choose_full(now, flow, chosen)
        if chosen is None:
            return self._on_no_upstream(now, seg, flow)
        host = chosen.record.host
        sent: Outputs = []
        mark = segments.MARK_DIRECT
        if host in flow.full_hosts:
            flow.full_hosts.remove(host)
            flow.busy_hosts.discard(host)
        elif len(flow.busy_hosts) + 1 < MAX_OFFERS and self._free_slot.required(
            flow, len(tried)
        ):
            if self._free_slot.mark(flow, host):
                mark = segments.MARK_FREE_SLOT
            else:
                detail = f"agent={host}"
                event = outputs.Event("extra-offer-limited", seg.key, detail)
                sent.append(event)
        self.openings.remove(seg.key, offered=True)
        if not flow.offered_hosts:
            flow.first_offered_at = now
        flow.offered_hosts.append(host)
        flow.offered_at = now
        chosen.unreported_offers += 1
        self._register_offer(now, seg.key, flow)
        return [
            holder_resolver.to_agent(seg, chosen, mark),
            self._place_event(now, seg.key, chosen, flow),
            outputs.Timing(outputs.PLACED, now - flow.opened_at),
            *sent,
        ]

    def _follow_route(self, key: bytes, flow: flow_table.Flow) -> bool:
        """Moves a flow that no upstream has to a service of the route in force.

        Returns False if the flow has no route any more.
        """
        route = self._routes.find_route(key)
        if route is not None and flow.service not in route.services():
            self.openings.remove(key)
            flow.service = route.pick_service(self._rng.random())
            flow.busy_hosts.clear()
            flow.full_hosts.clear()
            flow.declined_hosts.clear()
        return route is not None

    def _register_offer(
        self, now: float, key: bytes, flow: flow_table.Flow
    ) -> None:
        """Registers an offer that may be hedged, or cancels an earlier one."""
        if not self._hedging.enabled:
            return
        if self._may_hedge(key, flow):
            self._hedging.add(now, key)
        else:
            self._hedging.cancel(key)

    def _may_hedge(self, key: bytes, flow: flow_table.Flow) -> bool:
        """Returns True if one upstream has the opening and one more may."""
        route = self._routes.find_route(key)
        return (
            route is not None
            and route.repeatable
            and not flow.hedge_host
            and len(flow.offered_hosts) == 1
            # Hosts without a free slot may get one more offer, and do not count.
            and 1 + len(flow.busy_hosts) - len(flow.full_hosts) < MAX_OFFERS
        )

    def next_hedge_at(self) -> float:
        """Returns when ``send_due_hedges`` has work, seconds.

        Infinity if no offer waits for its caller's next packet, or if hedging
        is disabled.
        """
        return self._hedging.next_due_at()

    def send_due_hedges(self, now: float) -> Outputs:
        """Offers openings that are unanswered for too long once more."""
        sent: Outputs = []
        for key, offered_at in self._hedging.pop_due(now):
            flow = self._flows.get(key)
            if flow is not None:
                sent += self._hedge(now, key, flow, offered_at)
        return sent

    def _hedge(
        self, now: float, key: bytes, flow: flow_table.Flow, offered_at: float
    ) -> Outputs:
        """Offers an opening to a second upstream that has a free slot."""
        seg = flow.opening_segment
        if seg is None or flow.open or not self._may_hedge(key, flow):
            return []
        # Queued openings need the free slots more than a flow that has one.
        if len(self.openings):
            return []
        tried = {*flow.offered_hosts, *flow.busy_hosts, *flow.declined_hosts}
        chosen = self._chooser.choose(
            now, key, flow.service, tried, with_free_slot=True
        )
        if chosen is None:
            return []
        after_ms = f"after_ms={(now - offered_at) * 1000:.0f}"
        if not self._hedging.bucket.take():
            return [outputs.Event("hedge-limited", key, after_ms)]
        host = chosen.record.host
        flow.hedge_host = host
        flow.offered_hosts.append(host)
        chosen.unreported_offers += 1
        mark = segments.MARK_DIRECT
        if self._free_slot.enabled:
            # A hedge that waits in a queue is of no use.
            mark = segments.MARK_FREE_SLOT
            flow.marked_hosts.add(host)
        return [
            holder_resolver.to_agent(seg, chosen, mark),
            outputs.Event("hedge", key, f"agent={host} {after_ms}"),
        ]

    def _on_no_upstream(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        hosts = [x for x in flow.offered_hosts if not self.is_evacuated(x)]
        if hosts:
            # The last upstream may still answer the caller's next SYN.
            self.openings.remove(seg.key)
            return self._resend(seg, flow, hosts[-1])
        route = self._routes.find_route(seg.key)
        agents = self._agent_table.for_services((flow.service,))
        reason = chooser.REFUSED_NO_UPSTREAM
        if route is not None:
            reason = self._chooser.refusal_reason(now, flow.service)
            queued = seg.key in self.openings
            pending = self.openings.make_pending(seg.key, flow, route)
            if not reason and self.openings.add(now, pending):
                flow.was_queued = True
                event = self._wait_event(seg.key, flow, agents)
                return [] if queued else [event]
        if flow.offered_hosts:
            # An evacuated upstream may have accepted the flow, so a refusal
            # could follow a request that runs.
            self.openings.remove(seg.key)
            return []
        reason = reason or openings.REFUSED_TOO_LATE
        return self._refuse_flow(now, seg.key, flow, reason)

    def _refuse_flow(
        self, now: float, key: bytes, flow: flow_table.Flow, reason: str
    ) -> Outputs:
        self.openings.remove(key)
        self._hedging.cancel(key)
        self._flows.remove(key)
        return self._refuse(now, key, reason, flow)

    def place_pending(self, now: float) -> Outputs:
        """Offers the first of the queued flows."""
        sent: Outputs = []
        for pending in self.openings.next_offers(now):
            sent += self._offer(now, pending)
        return sent

    def _offer(self, now: float, pending: openings.PendingOpening) -> Outputs:
        """Offers a queued flow; it stays queued if no upstream is left."""
        flow = pending.flow
        flow.busy_hosts.clear()
        flow.full_hosts.clear()
        if flow.opening_segment is None:
            return []
        return self._place(now, flow.opening_segment, flow)

    def on_declined(
        self, now: float, message: reports.OpeningDeclined
    ) -> Outputs:
        """Offers a declined flow to another upstream, or queues it."""
        flow = self._flows.get(message.key)
        detail = f"agent={message.host} reason={message.reason}"
        declined = outputs.Event("declined", message.key, detail)
        if flow is not None and self._declines_new_opening(message, flow):
            seg = flow.new_opening
            self._flows.remove(message.key)
            self._record_decline(now, message)
            return [declined, *self.on_new_flow(now, seg)] if seg else []
        if flow is None or flow.open or message.host not in flow.offered_hosts:
            return []
        if message.reason == reports.DECLINED_NO_FREE_SLOT:
            if message.host not in flow.marked_hosts:
                # A late duplicate: the agent has got the opening without the
                # mark since, and may have accepted it.
                return []
            flow.marked_hosts.remove(message.host)
            flow.full_hosts.append(message.host)
        else:
            self._free_slot.end_mark(flow, message.host)
        flow.offered_hosts.remove(message.host)
        self._record_decline(now, message)
        if message.reason in TRANSIENT_REASONS:
            flow.busy_hosts.add(message.host)
        else:
            flow.declined_hosts.add(message.host)
        sent: Outputs = [declined]
        if flow.hedge_host and flow.offered_hosts:
            # The other upstream still has the opening.  One more offer would
            # be a hedge beyond the limit.
            return sent
        self._hedging.cancel(message.key)
        if flow.opening_segment is None:
            return sent
        return sent + self._place(now, flow.opening_segment, flow)

    def _declines_new_opening(
        self, message: reports.OpeningDeclined, flow: flow_table.Flow
    ) -> bool:
        """Returns True if a holder declines an opening from a reused port.

        It has ended the former flow, or would have passed on a late copy of its
        opening.
        """
        return (
            flow.new_opening is not None
            and flow.holder == message.host
            and message.reason != reports.DECLINED_LATE
        )

    def _record_decline(
        self, now: float, message: reports.OpeningDeclined
    ) -> None:
        upstream = self._agent_table.get(message.host)
        if upstream is None:
            return
        if message.reason == reports.DECLINED_OVERLOAD:
            upstream.back_off(now, upstreams.OVERLOAD_BACKOFF_S)
        elif message.reason == reports.DECLINED_WARMING:
            upstream.back_off(now, upstreams.WARMUP_BACKOFF_S)
        elif message.reason == reports.DECLINED_NO_FREE_SLOT:
            free_slot.take_back_offer(upstream)
        elif message.reason in reports.DECLINED_BY_STATE:
            upstream.avoided = True

    def _place_event(
        self,
        now: float,
        key: bytes,
        chosen: upstreams.Upstream,
        flow: flow_table.Flow,
    ) -> outputs.Event:
        report = chosen.report
        load = report.in_progress if report else 0.0
        detail = (
            f"agent={chosen.record.host} service={flow.service}"
            f" load={load:.1f} unreported={chosen.unreported_offers - 1}"
            f" report_age={chosen.report_age_s(now):.2f}"
            f" config={self._routes.version} tried={len(flow.offered_hosts)}"
        )
        return outputs.Event("place", key, detail)

    def _wait_event(
        self,
        key: bytes,
        flow: flow_table.Flow,
        agents: agent_table.ServiceAgents,
    ) -> outputs.Event:
        detail = (
            f"service={flow.service} agents={len(agents)}"
            f" busy={len(flow.busy_hosts)} declined={len(flow.declined_hosts)}"
            f" waiting={len(self.openings)} config={self._routes.version}"
        )
        return outputs.Event("wait", key, detail)

    def _refuse(
        self,
        now: float,
        key: bytes,
        reason: str,
        flow: flow_table.Flow | None = None,
    ) -> Outputs:
        detail = f"reason={reason} config={self._routes.version}"
        if flow is not None:
            detail += f" service={flow.service}"
            detail += (
                f" busy={len(flow.busy_hosts)}"
                f" declined={len(flow.declined_hosts)}"
                f" queued={self.openings.queued_for(flow.service)}"
                f" waited_ms={(now - flow.opened_at) * 1000:.0f}"
            )
        return [
            outputs.Event("refuse", key, detail, True),
            outputs.Reset(key, 0),
        ]
