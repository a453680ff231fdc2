"""Holder role of an agent: accepts placed flows and relays their datagrams."""

from typing import Any

from crocusmux import messages
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import local_flows
from crocusmux.core.flows import outputs
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state
from crocusmux.core.load import admission

# Datagrams queued for a UDP flow that has not started.
MAX_QUEUED_DATAGRAMS = 8


class Holder(local_flows.LocalFlows):
    """Accepts the flows that owners place on this host."""

    __slots__ = ()

    def offer_to_admission(
        self, now: float, flow: directory.Flow, caller: str
    ) -> admission.Verdict:
        """Asks the admission of the flow's upstream to accept the flow."""
        upstream = self._agent.upstreams.get((flow.service.key, flow.upstream))
        work = flow.service.work_class(flow.id)
        if upstream is None or work is None:
            return admission.Verdict(admission.REFUSE, "no-upstream")
        assert flow.pending is not None
        request = admission.Request(
            flow.id, work.name, caller, flow.pending.deadline
        )
        return upstream.admission.offer(now, request)

    def on_place(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.Place,
        sender: state.Address,
    ) -> None:
        """Accepts or refuses a flow that a slot's owner places here."""
        if not service.is_member or msg.target not in (
            0,
            self._agent.incarnation,
        ):
            return
        current = self._agent.directory.flows.get(msg.flow)
        if current is not None and current.incarnation == msg.incarnation:
            # Already accepted; the acknowledgement was lost.
            self._resend_answer(current, msg, sender)
            return
        if refuse_passed_term(
            self._agent, service, msg, sender, msg.flow, msg.incarnation
        ):
            return
        if current is not None and not self._may_replace(now, current, msg):
            self._resend_answer(current, msg, sender)
            return
        if msg.again and (current is None or current.seen_at is None):
            refused = messages.Refused(
                service.key,
                msg.flow,
                msg.incarnation,
                messages.UNKNOWN,
                "not-remembered",
            )
            self._agent.send(sender, refused)
            return
        self._accept_flow(now, service, msg, sender, current)

    def _may_replace(
        self, now: float, current: directory.Flow, msg: messages.Place
    ) -> bool:
        if current.incarnation == msg.incarnation:
            return False
        if current.state == directory.REMOTE:
            return True
        if current.state != directory.ENDED:
            return False
        if current.outcome == messages.REFUSED:
            return current.seen_at is None or not current.is_duplicate(
                now, msg.payload, self._agent.window_s
            )
        if not current.is_udp:
            return False
        return not current.is_duplicate(now, msg.payload, self._agent.window_s)

    def _resend_answer(
        self,
        current: directory.Flow,
        msg: messages.Place,
        sender: state.Address,
    ) -> None:
        service = current.service
        if current.state == directory.ENDED:
            refused = messages.Refused(
                service.key,
                current.id,
                msg.incarnation,
                current.outcome,
                current.reason or "late-copy",
            )
            self._agent.send(sender, refused)
        elif current.incarnation == msg.incarnation:
            self._send_ack(current, sender)
        else:
            # The owner has lost the entry of a flow that is held here.
            entry = messages.Witness(
                service.key, current.entry(), msg.epoch, msg.rank
            )
            self._agent.send(sender, entry)

    def _accept_flow(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.Place,
        sender: state.Address,
        current: directory.Flow | None,
    ) -> None:
        flow = directory.Flow(
            msg.flow, service, service.slot_of(msg.flow), msg.incarnation
        )
        flow.holder = self._agent.host
        flow.upstream = msg.upstream
        flow.owner = msg.owner
        flow.changed_at = now
        flow.balancer = state.balancer_address(msg, sender)
        deadline = now + msg.deadline_ms / 1000 if msg.deadline_ms else 0.0
        flow.pending = directory.PendingPlacement(None, sender, deadline)
        work = service.work_class(msg.flow)
        if flow.is_udp:
            flow.pending.payloads.append(msg.payload)
            if work is not None and service_state.at_most_once(work):
                flow.seen_at = current.seen_at if current is not None else None
                flow.seen_at = flow.seen_at or {}
                flow.is_duplicate(now, msg.payload, self._agent.window_s)
        self._agent.directory.add(flow)
        if (
            work
            and service_state.at_most_once(work)
            and not service.has_lease(now)
        ):
            verdict = admission.Verdict(admission.REFUSE, "no-lease")
        else:
            verdict = self.offer_to_admission(now, flow, msg.caller)
        if verdict.action == admission.REFUSE:
            self._agent.directory.mark_ended(
                now,
                flow,
                messages.REFUSED,
                verdict.reason,
                self._agent.window_s,
            )
            flow.pending = None
            refused = messages.Refused(
                service.key,
                flow.id,
                flow.incarnation,
                messages.REFUSED,
                verdict.reason,
                verdict.retry_ms,
            )
            self._agent.send(sender, refused)
            return
        flow.pending.admitted = verdict.action == admission.RUN
        self.start_or_reserve(now, flow)
        self._send_ack(flow, sender)

    def _send_ack(self, flow: directory.Flow, sender: state.Address) -> None:
        upstream = self._agent.upstreams.get((flow.service.key, flow.upstream))
        if upstream is not None:
            ack = messages.PlaceAck(
                flow.service.key,
                flow.id,
                flow.incarnation,
                upstream.admission.load(),
            )
            self._agent.send(sender, ack)

    def on_attach(
        self, now: float, flow_id: bytes, incarnation: int, resume: bool
    ) -> outputs.AttachResult:
        """Answers the ``Attach`` of a relay connection."""
        flow = self._agent.directory.flows.get(flow_id)
        unknown_outcome = messages.UNKNOWN
        if flow is None or flow.incarnation != incarnation:
            return _refused_attach(unknown_outcome, "unknown-incarnation")
        if flow.state == directory.ENDED:
            was_refused = flow.outcome == messages.REFUSED
            return _refused_attach(
                flow.outcome if was_refused else unknown_outcome,
                flow.reason or "ended",
            )
        if flow.state not in local_flows.HELD_STATES:
            return _refused_attach(unknown_outcome, "not-held")
        if flow.state == directory.RESERVED:
            return self._attach_first(now, flow)
        if not resume:
            return _refused_attach(unknown_outcome, "already-attached")
        address = self._agent.upstreams[
            flow.service.key, flow.upstream
        ].config.address
        if flow.state == directory.QUEUED:
            return outputs.AttachResult(outputs.WAIT, address)
        return outputs.AttachResult(outputs.START, address)

    def _attach_first(
        self, now: float, flow: directory.Flow
    ) -> outputs.AttachResult:
        pending = flow.pending
        assert pending is not None
        address = self._agent.upstreams[
            flow.service.key, flow.upstream
        ].config.address
        if pending.admitted:
            self._start(now, flow)
            return outputs.AttachResult(outputs.START, address)
        pending.attached = True
        flow.state = directory.QUEUED
        return outputs.AttachResult(outputs.WAIT, address)

    def on_ended(
        self,
        now: float,
        flow_id: bytes,
        incarnation: int,
        ok: bool,
        ran: bool = True,
    ) -> None:
        """Ends a flow; see ``agent.TerminatingAgent.on_ended``."""
        flow = self._agent.directory.flows.get(flow_id)
        if flow is None or flow.incarnation != incarnation:
            return
        if flow.state == directory.RUNNING and not ran:
            reason = "upstream-unreachable"
            self.finish(now, flow, messages.REFUSED, reason, False)
        elif flow.state == directory.RUNNING:
            outcome = messages.ANSWERED if ok else messages.UNKNOWN
            self.finish(now, flow, outcome, "", ok)
        elif flow.state in local_flows.HELD_STATES:
            self.finish(now, flow, messages.REFUSED, "caller-left", ok)

    def update_load(
        self, now: float, service: service_state.AgentService
    ) -> None:
        """Updates placement with the present load of this host's upstreams."""
        for name in service.local_upstreams:
            upstream = self._agent.upstreams.get((service.key, name))
            if upstream is not None:
                service.placement.update_local_load(
                    now, upstream.admission.load(now)
                )

    def cancel(self, now: float, flow: directory.Flow) -> None:
        """Ends a flow that its caller cancelled."""
        ran = flow.state == directory.RUNNING
        outcome = messages.UNKNOWN if ran else messages.REFUSED
        self._agent.outputs.append(
            outputs.CloseUpstream(
                flow.id, flow.incarnation, outcome, "cancelled"
            )
        )
        self.finish(now, flow, outcome, "cancelled", True)

    def on_upstream_datagram(
        self, now: float, flow_id: bytes, incarnation: int, payload: bytes
    ) -> None:
        """Sends an upstream's datagram to the caller's balancer.

        The answer to a request frees its admission slot; the flow stays open
        for further datagrams of the caller.
        """
        flow = self._agent.directory.flows.get(flow_id)
        if flow is None or flow.incarnation != incarnation:
            return
        if flow.state != directory.RUNNING:
            return
        work = flow.service.work_class(flow_id)
        if work is not None and work.kind != "long":
            self.release_admission(now, flow)
        balancer = flow.balancer
        balancers = self._agent.live_balancers
        if balancers and balancer in self._agent.lost_balancers:
            balancer = balancers[balancer_index(flow_id, len(balancers))]
        reply = messages.Reply(
            flow.service.key, flow_id, incarnation, messages.ANSWERED, payload
        )
        self._agent.send(balancer, reply)


def balancer_index(flow: bytes, count: int) -> int:
    """Returns a flow's balancer as an index below ``count``, by its hash."""
    return directory.part_hash(flow) % count


def _refused_attach(outcome: str, reason: str) -> outputs.AttachResult:
    return outputs.AttachResult(outputs.REFUSE, outcome=outcome, reason=reason)


def refuse_passed_term(
    agent: state.AgentState,
    service: service_state.AgentService,
    msg: Any,
    sender: state.Address,
    flow: bytes,
    incarnation: int,
) -> bool:
    """Answers a fenced or removed owner with ``Fenced``; True if it did so."""
    slot = service.slot_of(flow)
    fence = service.ownership.newer_fence(slot, (msg.epoch, msg.rank))
    if fence is not None:
        term, owner = fence.term, fence.owner
    elif (
        service.epoch > msg.epoch
        and service.host_by_address.get(sender) not in service.live_hosts
    ):
        term, owner = (service.epoch, -1), ""
    else:
        return False
    agent.send(
        sender, messages.Fenced(service.key, flow, incarnation, *term, owner)
    )
    return True
