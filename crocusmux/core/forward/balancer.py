"""State machine of a forwarding balancer; the daemon does all I/O."""

from collections.abc import Iterable
import random

from crocusmux.core.forward import agent_changes
from crocusmux.core.forward import agent_table
from crocusmux.core.forward import config_sources
from crocusmux.core.forward import evacuations
from crocusmux.core.forward import explanation
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import holder_resolver
from crocusmux.core.forward import liveness
from crocusmux.core.forward import outputs
from crocusmux.core.forward import placement
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

Outputs = list[outputs.Output]


class ForwardingBalancer:
    """Configuration, agents and connection tracking of one balancer.

    Attributes:
        routes: The configuration in force.
        agent_table: All agents, with the load of their upstreams.
        flows: Connection tracking.
        evacuated: Failure domains whose upstreams get no new flows.
        config_sources: Configuration versions that the reports of agents name.
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
        extra_offer_share: float = 0.0,
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
            fair_queueing: True to queue new flows behind others of their
                service, by urgency and caller; False to offer them at once.
            extra_offer_share: Limit of the extra offers because of declines
                without a free slot, as a share of all openings; 0 disables
                the requirement of a free slot.
        """
        self.routes = routes.RouteTable()
        self.agent_table = agent_table.AgentTable(failure_domain)
        self.flows = flow_table.FlowTable()
        self.evacuated = evacuations.EvacuatedDomains()
        self.config_sources = config_sources.ConfigSources()
        self._rng = rng
        self._placement = placement.Placement(
            self.routes,
            self.agent_table,
            self.flows,
            self.evacuated,
            failure_domain,
            rng,
            hedge_share=hedge_share,
            assume_mean=detect_outliers,
            fair_queueing=fair_queueing,
            extra_offer_share=extra_offer_share,
        )
        self._liveness = liveness.Liveness(self.agent_table)
        self._resolver = holder_resolver.HolderResolver(
            self.routes,
            self.agent_table,
            self.flows,
            self.evacuated,
            self._liveness,
        )
        self._subscriptions = subscriptions.Subscriptions(
            host,
            address,
            config_source,
            self.agent_table,
            self.routes,
            self.evacuated,
        )
        self._agent_changes = agent_changes.AgentChanges(
            self.agent_table, self._subscriptions, self._liveness
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
        return self._agent_changes.add(now, record, revision)

    def remove_agent(self, host: str) -> Outputs:
        """Removes an agent."""
        return self._agent_changes.remove(host)

    def on_record_gone(self, now: float, host: str, revision: int) -> Outputs:
        """Removes an agent whose record is gone, unless it still reports.

        The arguments are those of ``AgentChanges.on_record_gone``.
        """
        self._liveness.check_suspension(now)
        return self._agent_changes.on_record_gone(now, host, revision)

    def update_evacuations(
        self,
        now: float,
        domains: Iterable[str],
        removed: Iterable[str] = (),
        full: bool = False,
        known: bool = True,
        revision: int = 0,
    ) -> Outputs:
        """Applies evacuated failure domains, and tells their agents.

        Args:
            now: Time in seconds.
            domains: Evacuated failure domains.
            removed: Failure domains whose evacuation has ended.
            full: True if ``domains`` is the complete list; False for changes.
            known: False if a list is still waited for.
            revision: As for ``EvacuatedDomains.update``.
        """
        begun, ended = self.evacuated.update(
            now, domains, removed, full, known, revision
        )
        sent: Outputs = [
            outputs.Event("evacuate", b"", f"domain={domain}", True)
            for domain in begun
        ]
        sent += [
            outputs.Event("evacuation-ended", b"", f"domain={domain}", True)
            for domain in ended
        ]
        if begun:
            sent += self._placement.refuse_evacuated(now)
        # The agents are told at once, so that they limit the first openings after
        # the end.
        return sent + self._subscriptions.tell_evacuations(now, begun + ended)

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
        return self._placement.explain(now, key)

    def next_hedge_at(self) -> float:
        """Returns when ``send_due_hedges`` has work, seconds.

        Infinity if no offer waits for its caller's next packet, or if hedging
        is disabled.
        """
        return self._placement.next_hedge_at()

    def send_due_hedges(self, now: float) -> Outputs:
        """Offers openings that are unanswered for too long once more."""
        return self._placement.send_due_hedges(now)

    def on_segment(self, now: float, seg: segments.Segment) -> Outputs:
        """Forwards, queues or refuses a caller's segment."""
        self._liveness.check_suspension(now)
        flow = self.flows.get(seg.key)
        if flow is not None:
            flow.last_segment_at = now
        if seg.opening and (flow is None or not flow.open):
            return self._placement.on_opening(now, seg, flow)
        if flow is None:
            return self._on_unknown_flow(now, seg)
        if seg.opening:
            if self._reuses_key(seg, flow):
                self.flows.remove(seg.key)
                return self._placement.on_new_flow(now, seg)
            if flow.superseded_by(seg):
                flow.new_opening = seg
            flow.record_opening(seg)
        sent: Outputs = []
        if not flow.open:
            self._placement.openings.remove(seg.key)
            sent = self._placement.record_acknowledged(now, seg, flow)
        if not seg.opening:
            flow.record_segment(seg)
        if flow.holder:
            return sent + self._resolver.deliver(now, seg, flow)
        if flow.offered_hosts and flow.lookup is None:
            return sent + self._deliver_to_offered(now, seg, flow)
        return sent + self._resolver.resolve(now, seg, flow)

    def _reuses_key(self, seg: segments.Segment, flow: flow_table.Flow) -> bool:
        """Returns True for a new flow with the key of an open one.

        The holder of the former flow gets such an opening, and decides whether
        it is a late duplicate.  It must not get it while it is evacuated.
        """
        return (
            flow.lookup is None
            and self._placement.is_evacuated(flow.holder)
            and flow.superseded_by(seg)
        )

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
        self._liveness.check_suspension(now)
        return self._dispatch(now, message) + self._resolver.send_queries(now)

    def _dispatch(self, now: float, message: reports.Message) -> Outputs:
        if isinstance(message, reports.LoadReport | reports.CompactReport):
            sent = self._agent_changes.restore(
                now, message.host, message.incarnation
            )
            self._liveness.on_message(now, message.host)
            if isinstance(message, reports.CompactReport):
                message = self._expand(message)
            return sent + self._on_report(now, message)
        if isinstance(
            message,
            reports.OpeningDeclined
            | reports.FlowClaimed
            | reports.FlowDenied
            | reports.FlowQueryReply,
        ):
            self._liveness.on_message(now, message.host)
        if isinstance(message, reports.OpeningDeclined):
            return self._placement.on_declined(now, message)
        if isinstance(message, reports.FlowClaimed):
            return self._resolver.on_claimed(now, message)
        if isinstance(message, reports.FlowDenied):
            return self._resolver.on_denied(now, message)
        if isinstance(message, reports.FlowQueryReply):
            return self._resolver.on_reply(now, message)
        if isinstance(message, reports.Withdrawn):
            return self._on_withdrawn(now, message)
        return []

    def _on_withdrawn(self, now: float, message: reports.Withdrawn) -> Outputs:
        sent = self._agent_changes.withdraw(now, message)
        if sent:
            sent += self._resolver.on_withdrawn(now, message.host)
        return sent

    def _expand(self, report: reports.CompactReport) -> reports.LoadReport:
        upstream = self.agent_table.get(report.host)
        service = ""
        if upstream is not None and upstream.tag == report.service_tag:
            service = upstream.record.service
        return reports.expand(report, service)

    def _on_report(self, now: float, report: reports.LoadReport) -> Outputs:
        if report.config_source:
            self.config_sources.record(
                report.config_version, report.config_source
            )
        upstream = self.agent_table.get(report.host)
        before = upstream.accepts(now) if upstream else False
        if not self.agent_table.on_report(now, report):
            return []
        if upstream is not None and upstream.accepts(now) == before:
            return []
        detail = f"agent={report.host} accepting={report.accepting}"
        sent: Outputs = [outputs.Event("agent-state", b"", detail, True)]
        if report.accepting:
            sent += self._placement.place_pending(now)
        return sent

    def on_timer(self, now: float, wall_time: float | None = None) -> Outputs:
        """Runs timeouts, queries and offers, every ``TIMER_INTERVAL_S``.

        Args:
            now: Time in seconds.
            wall_time: Time by the wall clock, seconds; None if it is not known.
                Only the order of queued flows depends on it.
        """
        if wall_time is not None:
            self._placement.openings.wall_offset_s = wall_time - now
        self._liveness.check_suspension(now)
        sent: Outputs = [*self._subscriptions.pop_due(now)]
        sent += self._subscriptions.make(
            self._liveness.pop_due(now), report_now=True
        )
        sent += self._drop_unresponsive(now)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            idle_s = self.routes.idle_s + IDLE_SLACK_S
            self.flows.expire(now - idle_s)
            sent += self._agent_changes.remove_lost(now)
        sent += self._resolver.on_timer(now)
        sent += self._placement.on_timer(now)
        return sent

    def _drop_unresponsive(self, now: float) -> Outputs:
        """Counts agents that answer no requests as lost."""
        marked = self._liveness.mark_lost(now)
        if not marked:
            return []
        sent: Outputs = []
        for upstream in marked:
            detail = (
                f"agent={upstream.record.host}"
                f" requests={upstream.unanswered_requests}"
                f" silent_s={now - upstream.heard_at:.2f}"
            )
            event = outputs.Event("agent-unresponsive", b"", detail, True)
            sent.append(event)
        self._resolver.reset_backoff()
        return sent + self._agent_changes.remove_lost(now)
