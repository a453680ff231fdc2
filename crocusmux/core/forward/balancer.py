"""State machine of a forwarding balancer; the daemon does all I/O."""

from collections.abc import Iterable
import random

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import chooser
from crocusmux.core.forward import evacuations
from crocusmux.core.forward import explanation
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import hedging
from crocusmux.core.forward import holder_resolver
from crocusmux.core.forward import openings
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import subscriptions
from crocusmux.core.forward import upstreams

TIMER_INTERVAL_S = 0.05
# Agents that are told of a new configuration at once.  Balancers tell different
# ones, and each agent tells the balancers that lag.
CONFIG_SPREAD_AGENTS = 16
EXPIRY_INTERVAL_S = 1.0
# Time for which a flow is kept beyond its idle time.
IDLE_SLACK_S = 5.0
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
)

Outputs = list[outputs.Output]


class ForwardingBalancer:
    """Configuration, agents and connection tracking of one balancer.

    Attributes:
        routes: The configuration in force.
        agent_table: All agents, with the load of their upstreams.
        flows: Connection tracking.
        evacuated: Failure domains whose upstreams get no new flows.
        newest_config: Newest configuration version in any agent's report, and
            the address that serves it.
    """

    def __init__(
        self,
        host: str,
        failure_domain: str,
        address: tuple[str, int],
        config_source: str,
        rng: random.Random,
        *,
        hedge_share: float = 0.0,
        detect_outliers: bool = False,
        fair_queueing: bool = False,
    ) -> None:
        """Creates a balancer without routes and agents.

        Args:
            host: Name of the balancer's host.
            failure_domain: Failure domain of that host.
            address: Address to which agents send messages.
            config_source: Address that serves the balancer's configuration.
            rng: Source of random numbers.
            hedge_share: Limit of hedged openings as a share of all openings;
                0 disables hedging.
            detect_outliers: True if agents report longer service times of
                failing upstreams; new upstreams then count as average.
            fair_queueing: True to queue new flows for each service.
        """
        self.routes = routes.RouteTable()
        self.agent_table = agent_table.AgentTable(failure_domain)
        self.flows = flow_table.FlowTable()
        self.evacuated = evacuations.EvacuatedDomains()
        self.newest_config = (0, "")
        self._rng = rng
        self._openings = openings.OpeningQueue(fair_queueing)
        self._hedging = hedging.Hedging(hedge_share)
        self._chooser = chooser.UpstreamChooser(
            self.agent_table,
            failure_domain,
            rng,
            self.evacuated.names,
            assume_mean=detect_outliers,
        )
        self._resolver = holder_resolver.HolderResolver(
            self.routes, self.agent_table, self.flows, self.evacuated
        )
        self._subscriptions = subscriptions.Subscriptions(
            host, address, config_source, self.agent_table, self.routes
        )
        self._next_expiry_at = 0.0

    def configure(self, cfg: routes.Configuration) -> Outputs:
        """Applies a configuration if it is newer than the one in force."""
        before = self.routes.version
        if not self.routes.apply_if_newer(cfg):
            return []
        detail = f"version={cfg.version} before={before}"
        detail += f" routes={len(cfg.routes)}"
        # Through the agents, balancers with a stale configuration learn of it.
        agents = self.agent_table.all()
        if len(agents) > CONFIG_SPREAD_AGENTS:
            agents = self._rng.sample(agents, CONFIG_SPREAD_AGENTS)
        return [
            outputs.Event("configure", b"", detail, True),
            *self._subscriptions.make(agents),
        ]

    def add_agent(
        self, now: float, record: upstreams.AgentRecord, revision: int = 0
    ) -> Outputs:
        """Adds or replaces an agent, and subscribes to its reports.

        The arguments are those of ``AgentTable.register``.
        """
        upstream = self.agent_table.register(now, record, revision)
        if upstream is None:
            return []
        detail = f"agent={record.host} service={record.service}"
        return [
            outputs.Event("agent-added", b"", detail, True),
            *self._subscriptions.make([upstream]),
        ]

    def remove_agent(self, host: str) -> Outputs:
        """Removes an agent."""
        if not self.agent_table.remove(host):
            return []
        return [outputs.Event("agent-removed", b"", f"agent={host}", True)]

    def update_evacuations(
        self,
        now: float,
        domains: Iterable[str],
        removed: Iterable[str] = (),
        full: bool = False,
    ) -> Outputs:
        """Applies evacuated failure domains.

        Args:
            now: Time in seconds.
            domains: Evacuated failure domains.
            removed: Failure domains whose evacuation has ended.
            full: True if ``domains`` is the complete list; False for changes.
        """
        begun, ended = self.evacuated.update(domains, removed, full)
        sent: Outputs = [
            outputs.Event("evacuate", b"", f"domain={domain}", True)
            for domain in begun
        ]
        sent += [
            outputs.Event("evacuation-ended", b"", f"domain={domain}", True)
            for domain in ended
        ]
        if begun:
            sent += self._refuse_evacuated(now)
        return sent

    def _refuse_evacuated(self, now: float) -> Outputs:
        """Refuses the queued flows whose service is evacuated as a whole."""
        sent: Outputs = []
        for pending in self._openings.all():
            if pending.flow.offered_hosts:
                continue
            reason = self._chooser.refusal_reason(now, pending.flow.service)
            if reason == chooser.REFUSED_EVACUATED:
                sent += self._refuse_flow(
                    now, pending.key, pending.flow, reason
                )
        return sent

    def ready(self) -> bool:
        """Returns True if new flows can be placed or refused."""
        if self.routes.version == 0:
            return False
        agents = self.agent_table.all()
        if not agents:
            return self.agent_table.complete
        return any(upstream.report is not None for upstream in agents)

    def explain(self, now: float, key: bytes) -> explanation.Explanation:
        """Explains where a new flow would be placed; changes nothing."""
        return explanation.explain(
            now,
            key,
            self.routes,
            self.agent_table,
            self._chooser,
            self._openings,
            self.flows.get(key),
            self.evacuated,
        )

    def on_segment(self, now: float, seg: segments.Segment) -> Outputs:
        """Forwards, queues or refuses a caller's segment."""
        flow = self.flows.get(seg.key)
        if flow is not None:
            flow.last_segment_at = now
        if seg.opening and (flow is None or not flow.open):
            return self._on_opening(now, seg, flow)
        if flow is None:
            return self._on_unknown_flow(now, seg)
        if seg.opening:
            if self._reuses_key(seg, flow):
                self.flows.remove(seg.key)
                return self._on_new_flow(now, seg)
            flow.opening_seq = seg.seq
        sent: Outputs = []
        if not flow.open:
            self._openings.remove(seg.key)
            sent = self._record_acknowledged(now, seg, flow)
        if not seg.opening:
            flow.record_segment(seg)
        if flow.holder:
            return sent + self._resolver.deliver(now, seg, flow)
        if flow.offered_hosts and flow.lookup is None:
            return sent + self._deliver_to_offered(now, seg, flow)
        return sent + self._resolver.resolve(now, seg, flow)

    def _record_acknowledged(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Records a caller's first packet after its opening."""
        self._hedging.cancel(seg.key)
        # A reset gives the opening up and acknowledges no upstream.
        if not flow.offered_hosts or seg.reset:
            return []
        elapsed_s = now - flow.first_offered_at
        self._hedging.record_acknowledged(elapsed_s)
        return [outputs.Timing(outputs.ACKNOWLEDGED, elapsed_s)]

    def _on_opening(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow | None
    ) -> Outputs:
        if flow is None:
            return self._on_new_flow(now, seg)
        if flow.opening_segment is None:
            flow.opening_segment = seg
        if not flow.offered_hosts:
            return self._place_in_turn(now, seg, flow)
        if now - flow.offered_at >= OPENING_TIMEOUT_S:
            return self._reoffer(now, seg, flow)
        if self._is_evacuated(flow.offered_hosts[-1]):
            return self._place_in_turn(now, seg, flow)
        upstream = self.agent_table.get(flow.offered_hosts[-1])
        return [holder_resolver.to_agent(seg, upstream)] if upstream else []

    def _is_evacuated(self, host: str) -> bool:
        """Returns True if a host's upstream gets no openings."""
        upstream = self.agent_table.get(host)
        return (
            upstream is not None
            and upstream.record.failure_domain in self.evacuated
        )

    def _reuses_key(self, seg: segments.Segment, flow: flow_table.Flow) -> bool:
        """Returns True for a new flow with the key of an open one.

        The holder of the former flow gets such an opening, and decides whether
        it is a late duplicate.  It must not get it while it is evacuated.
        """
        return (
            flow.opening_seq not in (None, seg.seq)
            and flow.lookup is None
            and self._is_evacuated(flow.holder)
        )

    def _on_new_flow(self, now: float, seg: segments.Segment) -> Outputs:
        if self.routes.version == 0 or not self.evacuated.known(now):
            return []
        route = self.routes.find_route(seg.key)
        if route is None:
            return self._refuse(now, seg.key, routes.REFUSED_NO_ROUTE)
        self._hedging.bucket.add_opening()
        flow = self.flows.add(now, seg.key)
        flow.service = route.pick_service(self._rng.random())
        flow.opening_segment = seg
        flow.opening_seq = seg.seq
        return self._place_in_turn(now, seg, flow)

    def _place_in_turn(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Offers the first of a service's queued flows and a new one.

        An opening that were offered at once would take the slot for which a more
        urgent one waits.
        """
        route = self.routes.find_route(seg.key)
        if (
            route is None
            or not self._openings.in_turn(flow.service)
            or self._chooser.refusal_reason(now, flow.service)
        ):
            return self._place(now, seg, flow)
        known = seg.key in self._openings
        pending = self._openings.make_pending(seg.key, flow, route)
        if not self._openings.add(now, pending):
            return self._place(now, seg, flow)
        sent: Outputs = []
        first = self._openings.first(now, flow.service)
        if first is not None:
            sent = self._offer(now, first)
        if not known and seg.key in self._openings:
            agents = self.agent_table.for_services((flow.service,))
            sent.append(self._wait_event(seg.key, flow, agents))
        return sent

    def _reoffer(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Offers a retransmitted opening to another upstream."""
        # A hedge was offered later than the opening, so its time is not over.
        offered = [x for x in flow.offered_hosts if x != flow.hedge_host]
        for host in offered[-1:]:
            upstream = self.agent_table.get(host)
            if upstream is not None:
                upstream.avoided = True
        return self._place(now, seg, flow)

    def _place(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Offers a new flow to the best upstream that has not been tried."""
        tried = {*flow.offered_hosts, *flow.busy_hosts, *flow.declined_hosts}
        chosen = None
        if len(flow.offered_hosts) + len(flow.busy_hosts) < MAX_OFFERS:
            chosen = self._chooser.choose(now, seg.key, flow.service, tried)
        if chosen is None:
            return self._on_no_upstream(now, seg, flow)
        self._openings.remove(seg.key, offered=True)
        if not flow.offered_hosts:
            flow.first_offered_at = now
        flow.offered_hosts.append(chosen.record.host)
        flow.offered_at = now
        chosen.unreported_offers += 1
        self._register_offer(now, seg.key, flow)
        return [
            holder_resolver.to_agent(seg, chosen),
            self._place_event(now, seg.key, chosen, flow),
            outputs.Timing(outputs.PLACED, now - flow.opened_at),
        ]

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
        route = self.routes.find_route(key)
        return (
            route is not None
            and route.repeatable
            and not flow.hedge_host
            and len(flow.offered_hosts) == 1
            and 1 + len(flow.busy_hosts) < MAX_OFFERS
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
            flow = self.flows.get(key)
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
        if len(self._openings):
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
        return [
            holder_resolver.to_agent(seg, chosen),
            outputs.Event("hedge", key, f"agent={host} {after_ms}"),
        ]

    def _on_no_upstream(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        hosts = [x for x in flow.offered_hosts if not self._is_evacuated(x)]
        if hosts:
            # The last upstream may still answer the caller's next SYN.
            self._openings.remove(seg.key)
            upstream = self.agent_table.get(hosts[-1])
            return [holder_resolver.to_agent(seg, upstream)] if upstream else []
        route = self.routes.find_route(seg.key)
        agents = self.agent_table.for_services((flow.service,))
        reason = chooser.REFUSED_NO_UPSTREAM
        if route is not None:
            reason = self._chooser.refusal_reason(now, flow.service)
            queued = seg.key in self._openings
            pending = self._openings.make_pending(seg.key, flow, route)
            if not reason and self._openings.add(now, pending):
                event = self._wait_event(seg.key, flow, agents)
                return [] if queued else [event]
        if flow.offered_hosts:
            # An evacuated upstream may have accepted the flow, so a refusal
            # could follow a request that runs.
            self._openings.remove(seg.key)
            return []
        reason = reason or openings.REFUSED_TOO_LATE
        return self._refuse_flow(now, seg.key, flow, reason)

    def _refuse_flow(
        self, now: float, key: bytes, flow: flow_table.Flow, reason: str
    ) -> Outputs:
        self._openings.remove(key)
        self._hedging.cancel(key)
        self.flows.remove(key)
        return self._refuse(now, key, reason, flow)

    def _on_unknown_flow(self, now: float, seg: segments.Segment) -> Outputs:
        # A flow without a route is not reset: a balancer with a newer
        # configuration may have opened it.
        if seg.reset or self.routes.find_route(seg.key) is None:
            return []
        flow = self.flows.add(now, seg.key)
        flow.record_segment(seg)
        return self._resolver.resolve(now, seg, flow)

    def _deliver_to_offered(
        self, now: float, seg: segments.Segment, flow: flow_table.Flow
    ) -> Outputs:
        """Forwards the first segment after an opening to the offered agents."""
        if len(flow.offered_hosts) > 1:
            return self._resolver.probe_all(now, seg, flow, flow.offered_hosts)
        flow.holder = flow.offered_hosts[0]
        flow.opening_segment = None
        return self._resolver.deliver(now, seg, flow)

    def on_message(self, now: float, message: reports.Message) -> Outputs:
        """Applies an agent's message, and sends flow queries that are due."""
        return self._dispatch(now, message) + self._resolver.send_queries(now)

    def _dispatch(self, now: float, message: reports.Message) -> Outputs:
        if isinstance(message, reports.LoadReport):
            return self._on_report(now, message)
        if isinstance(message, reports.CompactReport):
            return self._on_report(now, self._expand(message))
        if isinstance(message, reports.OpeningDeclined):
            return self._on_declined(now, message)
        if isinstance(message, reports.FlowClaimed):
            return self._resolver.on_claimed(now, message)
        if isinstance(message, reports.FlowDenied):
            return self._resolver.on_denied(now, message)
        if isinstance(message, reports.FlowQueryReply):
            return self._resolver.on_reply(now, message)
        return []

    def _expand(self, report: reports.CompactReport) -> reports.LoadReport:
        upstream = self.agent_table.get(report.host)
        service = ""
        if upstream is not None and upstream.tag == report.service_tag:
            service = upstream.record.service
        return reports.expand(report, service)

    def _on_report(self, now: float, report: reports.LoadReport) -> Outputs:
        if (
            report.config_source
            and report.config_version > self.newest_config[0]
        ):
            self.newest_config = (report.config_version, report.config_source)
        upstream = self.agent_table.get(report.host)
        before = upstream.accepts(now) if upstream else False
        if not self.agent_table.on_report(now, report):
            return []
        if upstream is not None and upstream.accepts(now) == before:
            return []
        detail = f"agent={report.host} accepting={report.accepting}"
        sent: Outputs = [outputs.Event("agent-state", b"", detail, True)]
        if report.accepting:
            sent += self._place_pending(now)
        return sent

    def _place_pending(self, now: float) -> Outputs:
        sent: Outputs = []
        for pending in self._openings.next_offers(now):
            sent += self._offer(now, pending)
        return sent

    def _offer(self, now: float, pending: openings.PendingOpening) -> Outputs:
        """Offers a queued flow; it stays queued if no upstream is left."""
        flow = pending.flow
        flow.busy_hosts.clear()
        if flow.opening_segment is None:
            return []
        return self._place(now, flow.opening_segment, flow)

    def _on_declined(
        self, now: float, message: reports.OpeningDeclined
    ) -> Outputs:
        flow = self.flows.get(message.key)
        detail = f"agent={message.host} reason={message.reason}"
        if flow is None or flow.open or message.host not in flow.offered_hosts:
            return []
        flow.offered_hosts.remove(message.host)
        self._record_decline(now, message)
        if message.reason in TRANSIENT_REASONS:
            flow.busy_hosts.add(message.host)
        else:
            flow.declined_hosts.add(message.host)
        sent: Outputs = [outputs.Event("declined", message.key, detail)]
        if flow.hedge_host and flow.offered_hosts:
            # The other upstream still has the opening.  One more offer would
            # be a hedge beyond the limit.
            return sent
        self._hedging.cancel(message.key)
        if flow.opening_segment is None:
            return sent
        return sent + self._place(now, flow.opening_segment, flow)

    def _record_decline(
        self, now: float, message: reports.OpeningDeclined
    ) -> None:
        upstream = self.agent_table.get(message.host)
        if upstream is None:
            return
        if message.reason == reports.DECLINED_OVERLOAD:
            upstream.back_off(now, upstreams.OVERLOAD_BACKOFF_S)
        elif message.reason == reports.DECLINED_WARMING:
            upstream.back_off(now, upstreams.WARMUP_BACKOFF_S)
        elif message.reason in reports.DECLINED_BY_STATE:
            upstream.avoided = True

    def on_timer(self, now: float, wall_time: float | None = None) -> Outputs:
        """Runs timeouts, queries and offers, every ``TIMER_INTERVAL_S``.

        Args:
            now: Time in seconds.
            wall_time: Time by the wall clock, seconds; None if it is not known.
                Only the order of queued flows depends on it.
        """
        if wall_time is not None:
            self._openings.wall_offset_s = wall_time - now
        sent: Outputs = [*self._subscriptions.pop_due(now)]
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            idle_s = self.routes.idle_s + IDLE_SLACK_S
            self.flows.expire(now - idle_s)
        sent += self._resolver.on_timer(now)
        for pending in self._openings.pop_expired(now):
            # An evacuated upstream may have accepted a flow offered to it.
            if not pending.flow.offered_hosts:
                sent += self._refuse_flow(
                    now, pending.key, pending.flow, openings.REFUSED_TOO_LATE
                )
        sent += self._place_pending(now)
        sent += self.send_due_hedges(now)
        return sent

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
            f" config={self.routes.version} tried={len(flow.offered_hosts)}"
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
            f" waiting={len(self._openings)} config={self.routes.version}"
        )
        return outputs.Event("wait", key, detail)

    def _refuse(
        self,
        now: float,
        key: bytes,
        reason: str,
        flow: flow_table.Flow | None = None,
    ) -> Outputs:
        detail = f"reason={reason} config={self.routes.version}"
        if flow is not None:
            detail += f" service={flow.service}"
            detail += (
                f" busy={len(flow.busy_hosts)}"
                f" declined={len(flow.declined_hosts)}"
                f" queued={self._openings.queued_for(flow.service)}"
                f" waited_ms={(now - flow.opened_at) * 1000:.0f}"
            )
        return [
            outputs.Event("refuse", key, detail, True),
            outputs.Reset(key, 0),
        ]
