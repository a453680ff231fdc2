"""Decisions of a balancer that passes segments on."""

import random

from crocusmux.core.forward import flows
from crocusmux.core.forward import lookup
from crocusmux.core.forward import openings
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import selection
from crocusmux.core.forward import upstreams

TICK_S = 0.05
# Agents are asked for reports so often, seconds.  With many agents it is
# rarer, so that a balancer sends at most so many subscriptions a second.
SUBSCRIBE_S = 2.0
SUBSCRIPTIONS_PER_S = 20
# Agents report so often, seconds.  With many agents it is rarer, so that a
# balancer gets at most so many reports a second, about 4 KB.
REPORT_S = 0.25
REPORTS_PER_S = 40
# Intervals for which a subscription is valid, as some datagrams are lost.
SUBSCRIPTION_INTERVALS = 5
EXPIRE_S = 1.0
# A flow is kept for this long beyond its idle time, seconds.
IDLE_SLACK_S = 5.0
# An opening without SYN+ACK is offered to another upstream after this time,
# when the caller repeats it, seconds.
UNANSWERED_S = 0.15
# An assumed holder that has not denied a flow for this time holds it, seconds.
CONFIRMED_S = 1.0
# Upstreams to which a new flow is offered in one turn, at most.
MAX_OFFERS = 3
# Reasons to decline that may pass within the patience of a caller.
PASSING = (
    reports.DECLINED_OVERLOAD,
    reports.DECLINED_BY_UPSTREAM,
    reports.DECLINED_UNKNOWN_STATE,
)
# Agents among which a flow is placed, the best by rendezvous hashing: those
# that a lookup asks first.
CANDIDATES = lookup.ASKED_AT_ONCE

Outputs = list[outputs.Output]


class BalancerCore:
    """Routes, upstreams and flows of one balancer.

    Attributes:
        routes: The configuration in force.
        directory: The agents.
        flows: The flows that it knows.
        newest: Newest configuration version that any daemon named, and
            where it is served.
    """

    def __init__(
        self,
        host: str,
        failure_domain: str,
        address: tuple[str, int],
        config_source: str,
        rng: random.Random,
    ) -> None:
        """Prepares a balancer without routes and agents.

        Args:
            host: Name of its host.
            failure_domain: Failure domain of its host.
            address: Address for messages of agents.
            config_source: Address at which it serves its configuration.
            rng: Random numbers.
        """
        self.routes = routes.RouteTable()
        self.directory = upstreams.Directory()
        self.flows = flows.FlowTable()
        self.newest = (0, "")
        self._host = host
        self._failure_domain = failure_domain
        self._address = address
        self._config_source = config_source
        self._rng = rng
        self._openings = openings.Openings()
        self._lookups: dict[bytes, flows.Flow] = {}
        self._subscribe_at = 0.0
        self._expire_at = 0.0

    # Configuration and agents

    def configure(self, cfg: routes.Configuration) -> Outputs:
        """Takes a configuration if it is newer than the one in force."""
        before = self.routes.version
        if not self.routes.offer(cfg):
            return []
        detail = f"version={cfg.version} before={before}"
        detail += f" routes={len(cfg.routes)}"
        # The agents pass the version on to balancers that miss the change.
        return [
            outputs.Event("configure", b"", detail, True),
            *self._subscribe(),
        ]

    def add_agent(self, now: float, record: upstreams.Record) -> Outputs:
        """Adds an agent or replaces its record, and asks it for reports."""
        if not self.directory.put(now, record):
            return []
        detail = f"agent={record.host} service={record.service}"
        return [
            outputs.Event("agent-added", b"", detail, True),
            outputs.ToPeer(record.control, self._subscription()),
        ]

    def remove_agent(self, host: str) -> Outputs:
        """Forgets an agent."""
        if not self.directory.remove(host):
            return []
        return [outputs.Event("agent-removed", b"", f"agent={host}", True)]

    def ready(self) -> bool:
        """Returns True if new flows can be placed."""
        if self.routes.version == 0:
            return False
        agents = self.directory.all()
        if not agents:
            return self.directory.complete
        return any(one.report is not None for one in agents)

    # Segments

    def on_segment(self, now: float, seg: segments.Segment) -> Outputs:
        """Passes a caller's segment on."""
        flow = self.flows.get(seg.key)
        if flow is not None:
            flow.seen_at = now
        if seg.opening and (flow is None or not flow.open):
            return self._on_opening(now, seg, flow)
        if flow is None:
            return self._on_unknown(now, seg)
        if not flow.open:
            self._openings.remove(seg.key)
        if not seg.opening:
            flow.note(seg)
        if flow.holder:
            return self._to_holder(now, seg, flow)
        if flow.offered and flow.lookup is None:
            return self._to_offered(now, seg, flow)
        return self._ask(now, seg, flow)

    def _on_opening(
        self, now: float, seg: segments.Segment, flow: flows.Flow | None
    ) -> Outputs:
        if flow is None:
            return self._on_new(now, seg)
        if flow.opening is None:
            flow.opening = seg
        if not flow.offered or now - flow.offered_at >= UNANSWERED_S:
            return self._on_unanswered(now, seg, flow)
        upstream = self.directory.get(flow.offered[-1])
        return [_offer(seg, upstream)] if upstream else []

    def _on_new(self, now: float, seg: segments.Segment) -> Outputs:
        if self.routes.version == 0:
            return []
        route = self.routes.find(seg.key)
        if route is None:
            return self._refuse(seg.key, "no-route")
        flow = self.flows.add(now, seg.key)
        flow.service = route.service_of(self._rng.random())
        flow.opening = seg
        return self._place(now, seg, flow)

    def _on_unanswered(
        self, now: float, seg: segments.Segment, flow: flows.Flow
    ) -> Outputs:
        """Offers a repeated opening to another upstream."""
        for host in flow.offered[-1:]:
            upstream = self.directory.get(host)
            if upstream is not None:
                upstream.avoided = True
        return self._place(now, seg, flow)

    def _place(
        self, now: float, seg: segments.Segment, flow: flows.Flow
    ) -> Outputs:
        """Offers a new flow to the best upstream that has not had it."""
        tried = {*flow.offered, *flow.busy, *flow.declined}
        candidates = [
            one
            for one in self.directory.of((flow.service,))
            if one.record.host not in tried and one.accepts(now)
        ]
        if len(candidates) > CANDIDATES:
            candidates = upstreams.ranked(seg.key, candidates)[:CANDIDATES]
        chosen = None
        if len(flow.offered) + len(flow.busy) < MAX_OFFERS:
            chosen = selection.choose(
                candidates, self._failure_domain, self._rng
            )
        if chosen is None:
            return self._on_no_upstream(now, seg, flow)
        self._openings.remove(seg.key)
        flow.offered.append(chosen.record.host)
        flow.offered_at = now
        chosen.offered += 1
        return [
            _offer(seg, chosen),
            self._placed(now, seg.key, chosen, flow),
            outputs.Timing(outputs.PLACED, now - flow.opened_at),
        ]

    def _on_no_upstream(
        self, now: float, seg: segments.Segment, flow: flows.Flow
    ) -> Outputs:
        if flow.offered:
            # An upstream may still answer; the caller repeats its SYN.
            upstream = self.directory.get(flow.offered[-1])
            return [_offer(seg, upstream)] if upstream else []
        route = self.routes.find(seg.key)
        agents = self.directory.of((flow.service,))
        hopeless = self.directory.complete and all(
            one.lost(now) for one in agents
        )
        if route is None or hopeless:
            return self._give_up(seg.key, flow, "no-upstream")
        waited = seg.key in self._openings
        waiting = openings.Waiting(seg.key, flow, route)
        if self._openings.add(now, waiting):
            return [] if waited else [self._waits(seg.key, flow, agents)]
        return self._give_up(seg.key, flow, "no-upstream-in-time")

    def _give_up(self, key: bytes, flow: flows.Flow, reason: str) -> Outputs:
        self._openings.remove(key)
        self.flows.remove(key)
        return self._refuse(key, reason, flow)

    def _on_unknown(self, now: float, seg: segments.Segment) -> Outputs:
        # Without a route nothing is answered: the flow may have been opened
        # by a balancer that has a newer configuration.
        if seg.reset or self.routes.find(seg.key) is None:
            return []
        flow = self.flows.add(now, seg.key)
        flow.note(seg)
        return self._ask(now, seg, flow)

    def _to_holder(
        self, now: float, seg: segments.Segment, flow: flows.Flow
    ) -> Outputs:
        upstream = self.directory.get(flow.holder)
        if upstream is None:
            flow.holder = ""
            return self._ask(now, seg, flow)
        # Kept for the case that the assumed holder denies the flow.
        confirmed = now - flow.held_at > CONFIRMED_S
        flow.last = None if confirmed or seg.final else seg
        address = upstream.record.address
        return [
            outputs.ToAgent(address, seg, upstream.tag, segments.MARK_DIRECT)
        ]

    def _to_offered(
        self, now: float, seg: segments.Segment, flow: flows.Flow
    ) -> Outputs:
        """Sends the first segment after the opening to whom it was offered."""
        if len(flow.offered) == 1:
            flow.holder = flow.offered[0]
            flow.held_at = now
            flow.opening = None
            return self._to_holder(now, seg, flow)
        # The caller's acknowledgement tells whose SYN+ACK it took.
        known = [self.directory.get(host) for host in flow.offered]
        flow.lookup = lookup.Lookup(now, seg)
        self._lookups[seg.key] = flow
        asked = flow.lookup.next_round(now, [x for x in known if x])
        return [_question(seg, one) for one in asked]

    def _ask(
        self, now: float, seg: segments.Segment, flow: flows.Flow
    ) -> Outputs:
        """Looks for the holder of a flow; its segments wait meanwhile."""
        if flow.lookup is not None:
            flow.lookup.keep(now, seg)
            self._lookups[seg.key] = flow
            return []
        flow.lookup = lookup.Lookup(now, seg)
        self._lookups[seg.key] = flow
        return self._ask_round(now, flow.lookup)

    def _ask_round(self, now: float, search: lookup.Lookup) -> Outputs:
        seg = search.question
        route = self.routes.find(seg.key)
        if route is None:
            return [outputs.Reset(seg.key, seg.ack)]
        agents = self.directory.of(route.services())
        if search.denied_by_all(now, agents) and search.over():
            return self._lost(seg.key, "denied-by-all")
        asked = search.next_round(now, agents)
        detail = f"agents={len(asked)} of={len(agents)}"
        detail += f" searches={search.searches} config={self.routes.version}"
        return [
            outputs.Event("ask", seg.key, detail),
            *(_question(seg, one) for one in asked),
        ]

    def _ask_on(self, now: float) -> Outputs:
        """Asks on for flows that no agent has claimed."""
        sent: Outputs = []
        for key, flow in list(self._lookups.items()):
            search = flow.lookup
            if search is None or search.idle(now):
                del self._lookups[key]
            elif search.due(now):
                sent += self._ask_round(now, search)
        return sent

    # Messages

    def on_message(self, now: float, message: reports.Message) -> Outputs:
        """Takes a message of an agent or of another balancer."""
        if isinstance(message, reports.LoadReport):
            return self._on_report(now, message)
        if isinstance(message, reports.Declined):
            return self._on_declined(now, message)
        if isinstance(message, reports.Held):
            return self._on_held(now, message)
        if isinstance(message, reports.NotHeld):
            return self._on_not_held(now, message)
        return []

    def _on_report(self, now: float, report: reports.LoadReport) -> Outputs:
        if report.config_version > self.newest[0]:
            self.newest = (report.config_version, report.config_source)
        known = self.directory.get(report.host)
        before = known.accepts(now) if known else False
        if not self.directory.on_report(now, report):
            return []
        if known is not None and known.accepts(now) == before:
            return []
        detail = f"agent={report.host} accepting={report.accepting}"
        sent: Outputs = [outputs.Event("agent-state", b"", detail, True)]
        if report.accepting:
            sent += self._place_waiting(now)
        return sent

    def _place_waiting(self, now: float) -> Outputs:
        sent: Outputs = []
        for one in self._openings.next(now):
            flow = one.flow
            flow.busy.clear()
            if flow.opening is not None:
                sent += self._place(now, flow.opening, flow)
        return sent

    def _on_declined(self, now: float, message: reports.Declined) -> Outputs:
        flow = self.flows.get(message.key)
        detail = f"agent={message.host} reason={message.reason}"
        if flow is None or flow.open or message.host not in flow.offered:
            return []
        flow.offered.remove(message.host)
        self._note_decline(now, message)
        if message.reason in PASSING:
            flow.busy.add(message.host)
        else:
            flow.declined.add(message.host)
        sent: Outputs = [outputs.Event("declined", message.key, detail)]
        if flow.opening is None:
            return sent
        return sent + self._place(now, flow.opening, flow)

    def _note_decline(self, now: float, message: reports.Declined) -> None:
        upstream = self.directory.get(message.host)
        if upstream is None:
            return
        if message.reason == reports.DECLINED_OVERLOAD:
            upstream.full_until = now + upstreams.FULL_S
        elif message.reason in reports.DECLINED_BY_STATE:
            upstream.avoided = True

    def _on_held(self, now: float, message: reports.Held) -> Outputs:
        flow = self.flows.get(message.key)
        if flow is None:
            return []
        kept = flow.lookup.kept if flow.lookup else []
        flow.holder = message.host
        flow.held_at = now
        flow.last = flow.opening = flow.lookup = None
        self._lookups.pop(message.key, None)
        detail = f"agent={message.host} kept={len(kept)}"
        sent: Outputs = [outputs.Event("held", message.key, detail)]
        for seg in kept:
            sent += self._to_holder(now, seg, flow)
        return sent

    def _on_not_held(self, now: float, message: reports.NotHeld) -> Outputs:
        flow = self.flows.get(message.key)
        if flow is None:
            return []
        if flow.holder == message.host:
            return self._on_holder_denies(now, message, flow)
        search = flow.lookup
        if search is None:
            return []
        all_asked_deny = search.deny(message.host)
        route = self.routes.find(message.key)
        agents = self.directory.of(route.services()) if route else []
        if search.denied_by_all(now, agents):
            over = search.over()
            return self._lost(message.key, "denied-by-all") if over else []
        return self._ask_round(now, search) if all_asked_deny else []

    def _on_holder_denies(
        self, now: float, message: reports.NotHeld, flow: flows.Flow
    ) -> Outputs:
        if now - flow.held_at > CONFIRMED_S:
            return self._lost(message.key, "lost-by-holder")
        # It was only assumed to hold the flow: another balancer may have
        # offered a copy of the opening elsewhere.
        flow.holder = ""
        if flow.last is None:
            return []
        flow.lookup = lookup.Lookup(now, flow.last)
        flow.lookup.deny(message.host)
        self._lookups[message.key] = flow
        return self._ask_round(now, flow.lookup)

    def _lost(self, key: bytes, reason: str) -> Outputs:
        """Ends a flow that its holder has lost, or that nobody has."""
        flow = self.flows.get(key)
        self.flows.remove(key)
        self._lookups.pop(key, None)
        if flow is None or not flow.data_sent:
            # A late acknowledgement of a flow that has ended.
            return []
        detail = f"reason={reason} agent={flow.holder or '-'} ack={flow.ack}"
        return [
            outputs.Event("flow-lost", key, detail, True),
            outputs.Reset(key, flow.ack),
        ]

    # Time

    def on_timer(self, now: float) -> Outputs:
        """Does what is due; call it every ``TICK_S``."""
        sent: Outputs = []
        if now >= self._subscribe_at:
            self._subscribe_at = now + self._subscribe_interval()
            sent += self._subscribe()
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_S
            idle = self.routes.idle_s + IDLE_SLACK_S
            self.flows.expire(now - idle)
        sent += self._ask_on(now)
        for one in self._openings.expired(now):
            sent += self._give_up(one.key, one.flow, "no-upstream-in-time")
        sent += self._place_waiting(now)
        return sent

    def _report_interval(self) -> float:
        agents = len(self.directory.hosts())
        return max(REPORT_S, agents / REPORTS_PER_S)

    def _subscribe_interval(self) -> float:
        agents = len(self.directory.hosts())
        return max(SUBSCRIBE_S, agents / SUBSCRIPTIONS_PER_S)

    def _subscribe(self) -> Outputs:
        message = self._subscription()
        agents = self.directory.all()
        return [outputs.ToPeer(x.record.control, message) for x in agents]

    def _subscription(self) -> reports.Subscribe:
        return reports.Subscribe(
            self._host,
            self._address,
            self.routes.version,
            self._config_source,
            SUBSCRIPTION_INTERVALS * self._subscribe_interval(),
            self._report_interval(),
        )

    # Log and refusals

    def _placed(
        self,
        now: float,
        key: bytes,
        chosen: upstreams.Upstream,
        flow: flows.Flow,
    ) -> outputs.Event:
        report = chosen.report
        load = report.in_progress if report else 0.0
        detail = (
            f"agent={chosen.record.host} service={flow.service}"
            f" load={load:.1f} unreported={chosen.offered - 1}"
            f" report_age={chosen.silent_s(now):.2f}"
            f" config={self.routes.version} tried={len(flow.offered)}"
        )
        return outputs.Event("place", key, detail)

    def _waits(
        self, key: bytes, flow: flows.Flow, agents: list[upstreams.Upstream]
    ) -> outputs.Event:
        detail = (
            f"service={flow.service} agents={len(agents)}"
            f" busy={len(flow.busy)} declined={len(flow.declined)}"
            f" waiting={len(self._openings)} config={self.routes.version}"
        )
        return outputs.Event("wait", key, detail)

    def _refuse(
        self, key: bytes, reason: str, flow: flows.Flow | None = None
    ) -> Outputs:
        detail = f"reason={reason} config={self.routes.version}"
        if flow is not None:
            detail += f" service={flow.service}"
            detail += f" busy={len(flow.busy)} declined={len(flow.declined)}"
        return [
            outputs.Event("refuse", key, detail, True),
            outputs.Reset(key, 0),
        ]


def _offer(
    seg: segments.Segment, upstream: upstreams.Upstream
) -> outputs.ToAgent:
    return outputs.ToAgent(
        upstream.record.address, seg, upstream.tag, segments.MARK_DIRECT
    )


def _question(
    seg: segments.Segment, upstream: upstreams.Upstream
) -> outputs.ToAgent:
    return outputs.ToAgent(
        upstream.record.address, seg, upstream.tag, segments.MARK_ASKING
    )
