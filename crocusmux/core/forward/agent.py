"""State machine of a forwarding agent; the daemon does all I/O."""

import math

import msgspec

from crocusmux.core.forward import agent_flows
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import request_tracking
from crocusmux.core.forward import segments
from crocusmux.core.forward import subscribers
from crocusmux.core.forward import upstreams
from crocusmux.core.forward import warmup

TIMER_INTERVAL_S = 0.05
EXPIRY_INTERVAL_S = 1.0
# Time without any packet from the upstream after a SYN until it counts as
# silent.  An upstream on the same host answers a SYN within a millisecond.
SILENT_AFTER_S = 0.1
# Time from silent to dead, if a heartbeat is missing as well.
DEAD_AFTER_S = 0.5
# Shortest time without a segment after which a flow is forgotten; longer if the
# configured idle timeout and its slack are longer.
MIN_FLOW_IDLE_S = 20.0
# Time for which a flow is kept beyond the configured idle timeout, as segments
# arrive late.
IDLE_SLACK_S = 5.0
MAX_FLOWS = 20_000
# Time for which the agent itself denies a flow whose segment the upstream
# returned, or whose opening it left unanswered; longer than a holder lookup takes.
ABSENCE_TTL_S = 10.0
# Requests queued for each slot at which new flows are declined.  Balancers
# queue the flows instead and place urgent ones first; with a longer queue here
# every answer of an overloaded upstream is late.
MAX_QUEUED_PER_SLOT = 1

Outputs = list[outputs.Output]
Address = tuple[str, int]


class ForwardingAgent:
    """One upstream, its flows, and the balancers that subscribe to reports.

    Attributes:
        lifecycle: Current boot of the upstream, from its heartbeats.
        load: Requests in progress at the upstream.
        stopping: True once the agent itself stops.
        withdrawn: True once the agent exits permanently.
    """

    def __init__(
        self,
        host: str,
        service: str,
        incarnation: int,
        interval_s: float,
        *,
        detect_outliers: bool = False,
    ) -> None:
        """Creates an agent that has not heard from its upstream.

        Args:
            host: Name of the agent's host.
            service: Service of the upstream.
            incarnation: Random number that identifies this agent incarnation.
            interval_s: Interval of the upstream's heartbeats, seconds.
            detect_outliers: True to report a longer service time while the
                upstream fails requests.
        """
        self.lifecycle = heartbeats.UpstreamLifecycle(interval_s)
        self._requests = request_tracking.RequestTracker(detect_outliers)
        self.load = self._requests.load
        self.stopping = False
        self.withdrawn = False
        self._host = host
        self._service = service
        self._service_tag = upstreams.service_tag(service)
        self._incarnation = incarnation
        self._sequence = 0
        self._flows: dict[bytes, agent_flows.Flow] = {}
        self._returned_at: dict[bytes, float] = {}
        self._knows_all_flows = False
        self._subscribers = subscribers.Subscribers()
        self._warmup_limit = warmup.WarmupLimit()
        self._evacuation_news = warmup.EvacuationNews(interval_s)
        self._unanswered_since: float | None = None
        self._silent_since: float | None = None
        self._next_expiry_at = 0.0
        self._reported_accepting = False
        self._open_flow_count = 0

    def on_caller_segment(
        self, now: float, seg: segments.Segment, balancer: Address
    ) -> Outputs:
        """Delivers a balancer's segment, or declines or denies its flow."""
        if seg.opening:
            return self._on_opening(now, seg, balancer)
        flow = self._flows.get(seg.key)
        if flow is None:
            return self._on_unknown_flow(now, seg, balancer)
        flow.last_segment_at = now
        flow.balancer = balancer
        if not flow.open and not flow.probing:
            if not flow.acknowledges_syn_ack(seg.ack):
                # The caller goes on with another upstream.
                self.load.end_expectation(seg.key)
                return [self._make_denial(seg.key, balancer)]
            flow.open = True
        flow.caller_ack = seg.ack
        self._requests.on_caller_segment(now, seg, flow, self._leaving())
        sent: Outputs = [outputs.ToUpstream(seg)]
        if seg.mark == segments.MARK_PROBE and flow.open:
            claim = reports.FlowClaimed(self._host, seg.key)
            sent.append(outputs.ToPeer(balancer, claim))
        return sent

    def _on_opening(
        self, now: float, seg: segments.Segment, balancer: Address
    ) -> Outputs:
        flow = self._flows.get(seg.key)
        if flow is not None and flow.probing:
            reason = reports.DECLINED_LATE
            return [self._make_decline(seg.key, balancer, reason)]
        if flow is None or flow.superseded_by(seg.seq):
            reason = self._decline_reason(now, seg)
            if reason:
                return [self._make_decline(seg.key, balancer, reason)]
            flow = flow or self._add_flow(now, seg.key, balancer)
            flow.opening_seq = seg.seq
            self._returned_at.pop(seg.key, None)
            self.load.accept_flow(now, seg.key)
            # Also without a rate, which may arrive within the next second.
            self._warmup_limit.record(now)
        flow.last_segment_at = now
        if self._unanswered_since is None and not flow.open:
            self._unanswered_since = now
        if seg.mark == segments.MARK_FREE_SLOT:
            # The upstream gets the same packet as without the mark.
            seg = msgspec.structs.replace(seg, mark=segments.MARK_DIRECT)
        return [outputs.ToUpstream(seg)]

    def _decline_reason(self, now: float, seg: segments.Segment) -> str:
        """Returns why to decline a new flow; empty if it is accepted."""
        if seg.service_tag != self._service_tag:
            return reports.DECLINED_OTHER_SERVICE
        if self._leaving():
            return reports.DECLINED_LEAVING
        if self.lifecycle.current is None:
            return reports.DECLINED_UNKNOWN_STATE
        if self._silent_since is not None or self.lifecycle.overdue(now):
            return reports.DECLINED_SILENT
        slots = self.lifecycle.current.slots
        if self.load.committed(now) >= slots * (1 + MAX_QUEUED_PER_SLOT):
            return reports.DECLINED_OVERLOAD
        if self._may_be_cold(now) and not self._admits_cold(now):
            return reports.DECLINED_WARMING
        needs_slot = seg.mark == segments.MARK_FREE_SLOT
        if needs_slot and self.load.committed(now) >= slots:
            return reports.DECLINED_NO_FREE_SLOT
        return ""

    def _may_be_cold(self, now: float) -> bool:
        return self.lifecycle.cold(now) or self._evacuation_news.may_be_cold(
            self.lifecycle.heartbeat_at
        )

    def _admits_cold(self, now: float) -> bool:
        """Returns True if an upstream that is warming up takes a new flow."""
        if self._subscribers.newest_config[0] == 0:
            # The rate is unknown.  Balancers may send openings to an agent that
            # has restarted before they subscribe again.
            return False
        rate = self._subscribers.warmup_per_s
        return rate == 0 or self._warmup_limit.admits(now, rate)

    def _on_unknown_flow(
        self, now: float, seg: segments.Segment, balancer: Address
    ) -> Outputs:
        """Denies an unknown flow, or probes the upstream for it.

        The flow may have been opened before this agent restarted.
        """
        probe = seg.mark == segments.MARK_PROBE
        if seg.service_tag != self._service_tag or self._can_deny(
            now, seg.key, probe
        ):
            return [self._make_denial(seg.key, balancer)]
        flow = self._add_flow(now, seg.key, balancer)
        flow.probing = True
        flow.caller_ack = seg.ack
        self._requests.on_caller_segment(now, seg, flow, self._leaving())
        return [outputs.ToUpstream(seg)]

    def _can_deny(self, now: float, key: bytes, probe: bool) -> bool:
        """Returns True if the upstream surely does not hold an unknown flow.

        With ``probe`` the balancer does not assume that it holds the flow.
        """
        if probe and self._knows_all_flows:
            return True
        if self.withdrawn or self.lifecycle.never_heard(now):
            return True
        returned_at = self._returned_at.get(key)
        return returned_at is not None and now - returned_at < ABSENCE_TTL_S

    def _add_flow(
        self, now: float, key: bytes, balancer: Address
    ) -> agent_flows.Flow:
        if len(self._flows) >= MAX_FLOWS:
            oldest = next(iter(self._flows))
            self._requests.end(now, self._flows.pop(oldest))
        flow = agent_flows.Flow(now, balancer)
        self._flows[key] = flow
        return flow

    def on_upstream_segment(self, now: float, seg: segments.Segment) -> Outputs:
        """Forwards an upstream's segment, or ends a flow that it returned."""
        self._unanswered_since = None
        sent = self._end_silence(now)
        flow = self._flows.get(seg.key)
        if seg.returned:
            return sent + self._on_returned(now, seg, flow)
        if seg.reset and flow is not None and not flow.open:
            # Another upstream may hold the flow; its caller must not get this.
            return sent + self._decline_or_deny(now, seg.key, flow)
        if flow is None:
            # The agent restarted while the upstream kept the flow.
            flow = self._add_flow(now, seg.key, ("", 0))
            flow.open = not seg.opening
        flow.last_segment_at = now
        if flow.probing:
            flow.probing = False
            flow.open = True
            if flow.balancer[0]:
                claim = reports.FlowClaimed(self._host, seg.key)
                sent.append(outputs.ToPeer(flow.balancer, claim))
        if seg.opening:
            flow.upstream_isn = seg.seq
            if flow.upstream_end is None:
                flow.upstream_end = (seg.seq + 1) % segments.SEQUENCE_MODULUS
        else:
            flow.upstream_sent = True
        answer_s = self._requests.on_upstream_segment(
            now, seg, flow, self._leaving()
        )
        if answer_s is not None:
            sent.append(outputs.Timing(outputs.ANSWERED, answer_s))
        sent.append(outputs.ToCaller(seg))
        return sent

    def _on_returned(
        self, now: float, seg: segments.Segment, flow: agent_flows.Flow | None
    ) -> Outputs:
        if flow is None or (seg.opening and flow.open):
            return []
        del self._flows[seg.key]
        self._requests.drop_flow(now, seg.key, flow)
        if seg.opening:
            reason = reports.DECLINED_BY_UPSTREAM
            return [self._make_decline(seg.key, flow.balancer, reason)]
        if not flow.upstream_sent:
            return self._decline_or_deny(now, seg.key, flow)
        if flow.closing or seg.length == 0:
            return []
        return self._reset_flow(seg.key, flow, "returned-by-upstream")

    def _decline_or_deny(
        self, now: float, key: bytes, flow: agent_flows.Flow
    ) -> Outputs:
        """Declines an opening, or denies a flow that seemed open."""
        self._flows.pop(key, None)
        self._requests.drop_flow(now, key, flow)
        if not flow.open and not flow.probing:
            reason = reports.DECLINED_BY_UPSTREAM
            return [self._make_decline(key, flow.balancer, reason)]
        self._returned_at[key] = now
        return [self._make_denial(key, flow.balancer)]

    def _reset_flow(
        self, key: bytes, flow: agent_flows.Flow, reason: str
    ) -> Outputs:
        detail = f"reason={reason} ack={flow.caller_ack}"
        return [
            outputs.Event("flow-lost", key, detail, True),
            outputs.Reset(key, flow.caller_ack),
        ]

    def on_heartbeat(self, now: float, beat: heartbeats.Heartbeat) -> Outputs:
        """Applies a heartbeat, and reports a change of ``accepting``."""
        before = self.lifecycle.current
        left = self.lifecycle.deregistered
        if not self.lifecycle.on_heartbeat(now, beat):
            detail = f"upstream={beat.upstream} sequence={beat.sequence}"
            return [outputs.Event("heartbeat-late", b"", detail, True)]
        sent = self._end_silence(now)
        if before is None or not heartbeats.same_boot(before, beat):
            # A new boot holds none of the flows of the previous one.
            self._knows_all_flows = (
                before is not None or self.lifecycle.saw_start(now)
            )
            self._warmup_limit.clear()
            if not self._knows_all_flows:
                # The previous agent may have used up the limit just now.
                self._warmup_limit.assume_full(now)
            detail = (
                f"upstream={beat.upstream} born={beat.born_ms}"
                f" slots={beat.slots} draining={beat.draining}"
                f" flows_known={self._knows_all_flows}"
            )
            sent.append(outputs.Event("upstream-started", b"", detail, True))
            self._requests.restart()
        elif left and not self.lifecycle.deregistered:
            detail = f"upstream={beat.upstream} sequence={beat.sequence}"
            event = outputs.Event("deregistration-late", b"", detail, True)
            sent.append(event)
        self._requests.on_heartbeat(now, beat)
        return sent + self._report_change(now)

    def on_deregister(self, now: float, upstream: str) -> Outputs:
        """Records that the upstream deregistered because it ends."""
        beat = self.lifecycle.current
        if beat is not None and beat.upstream != upstream:
            return []
        self.lifecycle.deregister(now)
        detail = f"upstream={upstream}"
        sent: Outputs = [outputs.Event("upstream-left", b"", detail, True)]
        return sent + self._report_change(now)

    def stop(self, now: float) -> Outputs:
        """Declines new flows from now on, as the agent stops."""
        self.stopping = True
        return self._report_change(now)

    def withdraw(self) -> Outputs:
        """Tells all subscribers that the agent exits permanently.

        Only for an agent whose upstream is gone.  May be called again, as the
        messages may get lost.
        """
        self.withdrawn = True
        return [self._withdrawal(x.address) for x in self._subscribers.all()]

    def _withdrawal(self, to: Address) -> outputs.ToPeer:
        message = reports.Withdrawn(self._host, self._incarnation)
        return outputs.ToPeer(to, message)

    def _end_silence(self, now: float) -> Outputs:
        if self._silent_since is None:
            return []
        silent_s = now - self._silent_since
        self._silent_since = None
        self._unanswered_since = None
        detail = f"after={silent_s:.2f}"
        sent: Outputs = [outputs.Event("upstream-answers", b"", detail, True)]
        return sent + self._report_change(now)

    def on_subscribe(self, now: float, message: reports.Subscribe) -> Outputs:
        """Starts or renews a balancer's subscription to load reports."""
        self._evacuation_news.learn(now, message.domain_state)
        subscriber, added = self._subscribers.subscribe(now, message)
        if self.withdrawn:
            return [self._withdrawal(message.address)]
        if added or message.report_now:
            return [self._report(now, subscriber)]
        return []

    def on_flow_query(
        self, now: float, message: reports.FlowQuery, balancer: Address
    ) -> Outputs:
        """Replies which of the queried flows the upstream holds.

        An agent that has withdrawn denies all.  The reply is for balancers of
        releases that do not know ``Withdrawn``.
        """
        claimed = uncertain = 0
        if message.service_tag == self._service_tag and not self.withdrawn:
            for position, (key, ack) in enumerate(message.flows):
                flow = self._flows.get(key)
                if flow is not None and flow.held(ack):
                    claimed |= 1 << position
                elif self._is_uncertain(now, key, flow):
                    uncertain |= 1 << position
        reply = reports.FlowQueryReply(
            self._host, message.number, claimed, uncertain
        )
        sent: Outputs = [outputs.ToPeer(balancer, reply)]
        if self.withdrawn:
            sent.append(self._withdrawal(balancer))
        return sent

    def _is_uncertain(
        self, now: float, key: bytes, flow: agent_flows.Flow | None
    ) -> bool:
        if flow is not None:
            return flow.probing and not self.lifecycle.never_heard(now)
        return not self._can_deny(now, key, probe=True)

    def on_timer(self, now: float) -> Outputs:
        """Runs timeouts, reports and expiry, every ``TIMER_INTERVAL_S``."""
        self.lifecycle.start(now)
        sent = self._check_silence(now)
        sent += self._requests.on_timer(now, self._leaving())
        self._open_flow_count = sum(
            flow.open and not flow.closing for flow in self._flows.values()
        )
        if not self.withdrawn:
            for subscriber in self._subscribers.due_subscribers(now):
                sent.append(self._report(now, subscriber))
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self._expire(now)
        return sent

    def _check_silence(self, now: float) -> Outputs:
        sent: Outputs = []
        since = self._unanswered_since
        if (
            self._silent_since is None
            and since is not None
            and now - since >= SILENT_AFTER_S
        ):
            self._silent_since = now
            detail = f"unanswered_s={now - since:.2f}"
            sent.append(outputs.Event("upstream-silent", b"", detail, True))
            sent += self._decline_unanswered(now)
            sent += self._report_change(now)
        if self._is_dead(now):
            sent += self._reset_all(now)
        return sent

    def _is_dead(self, now: float) -> bool:
        """Returns True if the upstream is silent and missed a heartbeat."""
        return (
            self._silent_since is not None
            and now - self._silent_since >= DEAD_AFTER_S
            and self.lifecycle.missed_heartbeat(now)
        )

    def _decline_unanswered(self, now: float) -> Outputs:
        reason = reports.DECLINED_SILENT
        sent: Outputs = []
        for key, flow in list(self._flows.items()):
            if flow.upstream_isn is None and not flow.open and not flow.probing:
                del self._flows[key]
                # The upstream has the opening, so it must not get data by which
                # the caller goes on with another one.
                self._returned_at[key] = now
                sent.append(self._make_decline(key, flow.balancer, reason))
        return sent

    def _reset_all(self, now: float) -> Outputs:
        """Resets all flows of a dead upstream."""
        sent: Outputs = []
        for key, flow in list(self._flows.items()):
            del self._flows[key]
            self._requests.end(now, flow)
            if flow.open and not flow.closing:
                sent += self._reset_flow(key, flow, "upstream-dead")
        return sent

    def _expire(self, now: float) -> None:
        idle_timeout_s = max(
            MIN_FLOW_IDLE_S, self._subscribers.idle_s + IDLE_SLACK_S
        )
        for key, flow in list(self._flows.items()):
            self._requests.end_timed_out(now, flow)
            if now - flow.last_segment_at > idle_timeout_s:
                self._requests.end(now, flow)
                del self._flows[key]
        for key, returned_at in list(self._returned_at.items()):
            if now - returned_at >= ABSENCE_TTL_S:
                del self._returned_at[key]
        self._subscribers.expire(now)

    def _leaving(self) -> bool:
        return self.stopping or self.lifecycle.draining()

    def accepting(self, now: float) -> bool:
        """Returns True unless new flows would be declined at any load."""
        return (
            not self.stopping
            and not self.lifecycle.draining()
            and self.lifecycle.current is not None
            and self._silent_since is None
            and not self.lifecycle.overdue(now)
        )

    def upstream_gone(self, now: float) -> bool:
        """Returns True if the upstream has left, died or never started."""
        return (
            self.lifecycle.deregistered
            or self.lifecycle.overdue(now)
            or self.lifecycle.never_heard(now)
            or self._is_dead(now)
        )

    def _report_change(self, now: float) -> Outputs:
        if self.withdrawn or self.accepting(now) == self._reported_accepting:
            return []
        return self._report_all(now)

    def _report_all(self, now: float) -> Outputs:
        self._reported_accepting = self.accepting(now)
        targets = self._subscribers.all()
        return [self._report(now, subscriber) for subscriber in targets]

    def _report(self, now: float, to: subscribers.Subscriber) -> outputs.ToPeer:
        self._sequence += 1
        interval_s = self._subscribers.schedule_report(now, to)
        beat = self.lifecycle.current
        version, source = self._subscribers.newest_config_for(to)
        report = reports.LoadReport(
            host=self._host,
            service=self._service,
            incarnation=self._incarnation,
            sequence=self._sequence,
            accepting=self.accepting(now),
            slots=beat.slots if beat else 1,
            in_progress=round(self.load.mean_in_progress(now), 2),
            flows=self._open_flow_count,
            service_ms=math.ceil(self.load.reported_service_ms()),
            interval_s=interval_s,
            config_version=version,
            config_source=source,
        )
        if to.compact:
            compact = reports.compact(report, self._service_tag)
            return outputs.ToPeer(to.address, compact)
        return outputs.ToPeer(to.address, report)

    def _make_decline(
        self, key: bytes, balancer: Address, reason: str
    ) -> outputs.ToPeer:
        message = reports.OpeningDeclined(self._host, key, reason)
        return outputs.ToPeer(balancer, message)

    def _make_denial(self, key: bytes, balancer: Address) -> outputs.ToPeer:
        return outputs.ToPeer(balancer, reports.FlowDenied(self._host, key))
