"""Holder's part of an agent: flows that run on this host's upstreams."""

from typing import Any

from crocusmux import messages
from crocusmux.core.flows import directory
from crocusmux.core.flows import held
from crocusmux.core.flows import outputs
from crocusmux.core.flows import service
from crocusmux.core.flows import state
from crocusmux.core.load import admission

# Datagrams kept for a UDP flow that has not started.
MAX_PAYLOADS = 8


class Holder(held.HeldFlows):
    """Takes the flows that owners place on this host."""

    __slots__ = ()

    def offer(
        self, now: float, flow: directory.Flow, caller: str
    ) -> admission.Verdict:
        """Offers a flow to the admission of its upstream."""
        local = self._s.upstreams.get((flow.service.key, flow.upstream))
        work = flow.service.work_class(flow.id)
        if local is None or work is None:
            return admission.Verdict(admission.REFUSE, "no-upstream")
        assert flow.pending is not None
        request = admission.Request(
            flow.id, work.name, caller, flow.pending.deadline
        )
        return local.admission.offer(now, request)

    def on_place(
        self,
        now: float,
        svc: service.ServiceState,
        msg: messages.Place,
        sender: state.Address,
    ) -> None:
        """Takes a flow that a slot's owner places here."""
        if not svc.is_member or msg.target not in (0, self._s.incarnation):
            return
        known = self._s.directory.flows.get(msg.flow)
        if known is not None and known.incarnation == msg.incarnation:
            # Accepted before a fence came; only the answer was lost.
            self._answer_again(known, msg, sender)
            return
        if refuse_term(self._s, svc, msg, sender, msg.flow, msg.incarnation):
            return
        if known is not None and not self._replaceable(now, known, msg):
            self._answer_again(known, msg, sender)
            return
        if msg.again and (known is None or known.seen is None):
            refused = messages.Refused(
                svc.key,
                msg.flow,
                msg.incarnation,
                messages.UNKNOWN,
                "not-remembered",
            )
            self._s.send(sender, refused)
            return
        self._hold(now, svc, msg, sender, known)

    def _replaceable(
        self, now: float, known: directory.Flow, msg: messages.Place
    ) -> bool:
        """Returns True if a placement may take the place of an entry."""
        if known.incarnation == msg.incarnation:
            return False
        if known.state == directory.REMOTE:
            return True
        if known.state != directory.ENDED:
            return False
        if known.outcome == messages.REFUSED:
            return known.seen is None or not known.is_copy(
                now, msg.payload, self._s.window
            )
        if not known.udp:
            return False
        return not known.is_copy(now, msg.payload, self._s.window)

    def _answer_again(
        self,
        known: directory.Flow,
        msg: messages.Place,
        sender: state.Address,
    ) -> None:
        svc = known.service
        if known.state == directory.ENDED:
            refused = messages.Refused(
                svc.key,
                known.id,
                msg.incarnation,
                known.outcome,
                known.reason or "late-copy",
            )
            self._s.send(sender, refused)
        elif known.incarnation == msg.incarnation:
            self._acknowledge(known, sender)
        else:
            # The owner has lost the entry of a flow that lives here.
            entry = messages.Witness(
                svc.key, known.entry(), msg.epoch, msg.rank
            )
            self._s.send(sender, entry)

    def _hold(
        self,
        now: float,
        svc: service.ServiceState,
        msg: messages.Place,
        sender: state.Address,
        known: directory.Flow | None,
    ) -> None:
        flow = directory.Flow(
            msg.flow, svc, svc.slot_of(msg.flow), msg.incarnation
        )
        flow.holder = self._s.host
        flow.upstream = msg.upstream
        flow.owner = msg.owner
        flow.since = now
        flow.via = state.via_of(msg, sender)
        deadline = now + msg.deadline_ms / 1000 if msg.deadline_ms else 0.0
        flow.pending = directory.Pending(None, sender, deadline)
        work = svc.work_class(msg.flow)
        if flow.udp:
            flow.pending.payloads.append(msg.payload)
            if work is not None and service.at_most_once(work):
                flow.seen = known.seen if known is not None else None
                flow.seen = flow.seen or {}
                flow.is_copy(now, msg.payload, self._s.window)
        self._s.directory.add(flow)
        if work and service.at_most_once(work) and not svc.leased(now):
            verdict = admission.Verdict(admission.REFUSE, "no-lease")
        else:
            verdict = self.offer(now, flow, msg.caller)
        if verdict.action == admission.REFUSE:
            self._s.directory.end(
                now, flow, messages.REFUSED, verdict.reason, self._s.window
            )
            flow.pending = None
            refused = messages.Refused(
                svc.key,
                flow.id,
                flow.incarnation,
                messages.REFUSED,
                verdict.reason,
                verdict.retry_ms,
            )
            self._s.send(sender, refused)
            return
        flow.pending.admitted = verdict.action == admission.RUN
        self.ready(now, flow)
        self._acknowledge(flow, sender)

    def _acknowledge(self, flow: directory.Flow, sender: state.Address) -> None:
        local = self._s.upstreams.get((flow.service.key, flow.upstream))
        if local is not None:
            ack = messages.PlaceAck(
                flow.service.key,
                flow.id,
                flow.incarnation,
                local.admission.load(),
            )
            self._s.send(sender, ack)

    def attach(
        self, now: float, flow_id: bytes, incarnation: int, resume: bool
    ) -> outputs.AttachResult:
        """Answers a relay connection that presents ``Attach``."""
        flow = self._s.directory.flows.get(flow_id)
        unknown = messages.UNKNOWN
        if flow is None or flow.incarnation != incarnation:
            return _refusal(unknown, "unknown-incarnation")
        if flow.state == directory.ENDED:
            refused = flow.outcome == messages.REFUSED
            return _refusal(
                flow.outcome if refused else unknown, flow.reason or "ended"
            )
        if flow.state not in held.HELD:
            return _refusal(unknown, "not-held")
        if flow.state == directory.RESERVED:
            return self._attach_first(now, flow)
        if not resume:
            return _refusal(unknown, "already-attached")
        address = self._s.upstreams[flow.service.key, flow.upstream].cfg.address
        if flow.state == directory.QUEUED:
            return outputs.AttachResult(outputs.WAIT, address)
        return outputs.AttachResult(outputs.START, address)

    def _attach_first(
        self, now: float, flow: directory.Flow
    ) -> outputs.AttachResult:
        pending = flow.pending
        assert pending is not None
        address = self._s.upstreams[flow.service.key, flow.upstream].cfg.address
        if pending.admitted:
            self._start(now, flow)
            return outputs.AttachResult(outputs.START, address)
        pending.attached = True
        flow.state = directory.QUEUED
        return outputs.AttachResult(outputs.WAIT, address)

    def closed(
        self,
        now: float,
        flow_id: bytes,
        incarnation: int,
        ok: bool,
        ran: bool = True,
    ) -> None:
        """Ends a flow whose relay or UDP socket has ended."""
        flow = self._s.directory.flows.get(flow_id)
        if flow is None or flow.incarnation != incarnation:
            return
        if flow.state == directory.RUNNING and not ran:
            reason = "upstream-unreachable"
            self.finish(now, flow, messages.REFUSED, reason, False)
        elif flow.state == directory.RUNNING:
            outcome = messages.ANSWERED if ok else messages.UNKNOWN
            self.finish(now, flow, outcome, "", ok)
        elif flow.state in held.HELD:
            self.finish(now, flow, messages.REFUSED, "caller-left", ok)

    def take_own_load(self, now: float, svc: service.ServiceState) -> None:
        """Tells the placement what the upstreams of this host do now."""
        for name in svc.local_upstreams:
            local = self._s.upstreams.get((svc.key, name))
            if local is not None:
                svc.placement.update_local_load(now, local.admission.load(now))

    def cancel(self, now: float, flow: directory.Flow) -> None:
        """Ends a flow that its caller gave up."""
        ran = flow.state == directory.RUNNING
        outcome = messages.UNKNOWN if ran else messages.REFUSED
        self._s.out.append(
            outputs.CloseUpstream(
                flow.id, flow.incarnation, outcome, "cancelled"
            )
        )
        self.finish(now, flow, outcome, "cancelled", True)

    def from_upstream(
        self, now: float, flow_id: bytes, incarnation: int, payload: bytes
    ) -> None:
        """Sends an upstream's datagram to the caller's balancer.

        The answer to a request frees its slot; the flow stays open for what
        else the caller may send.
        """
        flow = self._s.directory.flows.get(flow_id)
        if flow is None or flow.incarnation != incarnation:
            return
        if flow.state != directory.RUNNING:
            return
        work = flow.service.work_class(flow_id)
        if work is not None and work.kind != "long":
            self.release(now, flow)
        via = flow.via
        balancers = self._s.balancers
        if balancers and via in self._s.lost_balancers:
            via = balancers[part_of(flow_id, len(balancers))]
        reply = messages.Reply(
            flow.service.key, flow_id, incarnation, messages.ANSWERED, payload
        )
        self._s.send(via, reply)


def part_of(flow: bytes, count: int) -> int:
    """Returns a number below ``count`` that depends on the flow alone."""
    return directory.part_hash(flow) % count


def _refusal(outcome: str, reason: str) -> outputs.AttachResult:
    return outputs.AttachResult(outputs.REFUSE, outcome=outcome, reason=reason)


def refuse_term(
    shared: state.AgentState,
    svc: service.ServiceState,
    msg: Any,
    sender: state.Address,
    flow: bytes,
    incarnation: int,
) -> bool:
    """Refuses what a fenced owner, or one that was removed, sends.

    Returns:
        True if it was refused.
    """
    slot = svc.slot_of(flow)
    fence = svc.ownership.passed(slot, (msg.epoch, msg.rank))
    if fence is not None:
        term, owner = fence.term, fence.owner
    elif svc.epoch > msg.epoch and svc.hosts.get(sender) not in svc.live:
        term, owner = (svc.epoch, -1), ""
    else:
        return False
    shared.send(
        sender,
        messages.Fenced(svc.key, flow, incarnation, *term, owner),
    )
    return True
