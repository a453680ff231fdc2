"""Placement of a new flow by the owner of its hash slot."""

from typing import Any

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import holder
from crocusmux.core.flows import ownership
from crocusmux.core.flows import routing
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state
from crocusmux.core.load import admission

# Transmissions of Witness after which one more member is asked.
TRANSMISSIONS_BEFORE_NEXT_WITNESS = 2


class FlowPlacer:
    """Chooses the holders of new flows and makes sure enough members know."""

    __slots__ = ("_holder", "_shared")

    def __init__(self, shared: state.AgentState, held: holder.Holder) -> None:
        self._shared = shared
        self._holder = held

    def place(
        self,
        now: float,
        service: service_state.AgentServiceState,
        owned: ownership.OwnedSlot,
        msg: Any,
        sender: state.Address,
        work: objects.WorkClass,
        seen: dict[int, float] | None = None,
    ) -> None:
        """Makes the entry of a new flow and chooses its holder."""
        flow = flow_directory.Flow(
            msg.flow,
            service,
            service.slot_of(msg.flow),
            self._shared.rng.getrandbits(64),
        )
        flow.changed_at = now
        flow.balancer = state.balancer_address(msg, sender)
        limit = work.deadline_ms
        if isinstance(msg, messages.Open) and msg.deadline_ms:
            limit = msg.deadline_ms
        deadline = now + limit / 1000 if limit else 0.0
        flow.pending = flow_directory.PendingPlacement(msg, sender, deadline)
        flow.pending.term = owned.term
        self._shared.directory.add(flow)
        if isinstance(msg, messages.Packet):
            flow.pending.payloads.append(msg.payload)
            if service_state.is_at_most_once(work):
                flow.seen_datagrams = seen if seen is not None else {}
                flow.is_duplicate(
                    now, msg.payload, self._shared.retransmit_window_s
                )
        elif msg.resume:
            self.end_flow(now, flow, messages.UNKNOWN, "unknown-flow")
            return
        service.budget.fresh(work.retry_share)
        exclude = getattr(msg, "exclude", "")
        self._choose_holder(now, flow, work, exclude)

    def _choose_holder(
        self,
        now: float,
        flow: flow_directory.Flow,
        work: objects.WorkClass,
        exclude: str,
    ) -> None:
        """Chooses the holder of a flow and starts its placement."""
        service = flow.service
        pending = flow.pending
        assert pending is not None
        candidates = service.candidates
        if self._shared.suspected_since:
            candidates = [
                c
                for c in candidates
                if c.host not in self._shared.suspected_since
            ]
        caller = routing.caller_of(pending.request)
        self._holder.update_own_load(now, service)
        choice = service.placement.choose(
            now,
            candidates,
            work,
            caller,
            exclude,
            state.format_address(flow.balancer),
        )
        if choice is None:
            self._refuse_flow(now, flow, "no-upstream")
            return
        flow.holder = choice.host
        flow.upstream = choice.upstream
        self._shared.log_decision(
            "place", service, flow.id, choice.upstream, choice.reason
        )
        if choice.host == self._shared.host:
            verdict = self._holder.offer_to_admission(now, flow, caller)
            if verdict.action == admission.REFUSE:
                pending.retry_ms = verdict.retry_ms
                self.retry_or_refuse(now, flow, verdict.reason)
                return
            pending.admitted = verdict.action == admission.RUN
        pending.transmissions = 0
        if service_state.is_at_most_once(work):
            self._select_witnesses(flow, pending)
        self._continue_placement(now, flow)

    def _select_witnesses(
        self,
        flow: flow_directory.Flow,
        pending: flow_directory.PendingPlacement,
    ) -> None:
        """Sets how many witnesses a non-idempotent flow needs."""
        copies, able = flow.service.required_copies(pending.term[0])
        have = {self._shared.host, flow.holder} & set(able)
        pending.missing_acks = max(0, copies - len(have))
        pending.awaited_hosts = set()
        for _ in range(pending.missing_acks):
            self._add_witness(flow, pending)

    def _add_witness(
        self,
        flow: flow_directory.Flow,
        pending: flow_directory.PendingPlacement,
    ) -> None:
        _, able = flow.service.required_copies(pending.term[0])
        taken = {self._shared.host, flow.holder, *flow.witnesses}
        rest = [h for h in able if h not in taken]
        sure = [
            h for h in rest if h not in self._shared.suspected_since
        ] or rest
        if sure:
            host = self._shared.rng.choice(sure)
            flow.witnesses = (*flow.witnesses, host)
            pending.awaited_hosts.add(host)

    def _continue_placement(
        self, now: float, flow: flow_directory.Flow
    ) -> None:
        """Takes the next step of a placement."""
        pending = flow.pending
        assert pending is not None
        if pending.missing_acks > 0:
            routing.send_witness(self._shared, flow)
            self._shared.schedule_retransmission(now, flow)
        elif flow.state == flow_directory.ENDED:
            self._shared.send_outcome(flow, flow.balancer)
            flow.pending = None
        elif flow.holder == self._shared.host:
            self._holder.start_or_reserve(now, flow)
            if not flow.is_udp:
                self._shared.send_placed(flow, flow.balancer)
        else:
            self._send_place(now, flow)
            self._shared.schedule_retransmission(now, flow)

    def _send_place(self, now: float, flow: flow_directory.Flow) -> None:
        pending = flow.pending
        assert pending is not None
        service = flow.service
        work = service.work_class(flow.id)
        member = service.members.get(flow.holder)
        left_ms = 0
        if pending.deadline:
            left_ms = max(1, int((pending.deadline - now) * 1000))
        place = messages.Place(
            service.key,
            flow.id,
            *pending.term,
            flow.incarnation,
            self._shared.host,
            flow.upstream,
            work.name if work else "",
            routing.caller_of(pending.request),
            left_ms,
            state.format_address(flow.balancer),
            pending.payloads[0] if pending.payloads else b"",
            member.incarnation if member else 0,
            pending.last_holder_only,
        )
        self._shared.send_to_host(service, flow.holder, place)

    def on_witness_ack(
        self, now: float, flow: flow_directory.Flow, host: str
    ) -> None:
        """Counts a member that keeps a copy of an entry."""
        pending = flow.pending
        if pending is None or host not in pending.awaited_hosts:
            return
        pending.awaited_hosts.discard(host)
        if pending.missing_acks > 0:
            pending.missing_acks -= 1
            if pending.missing_acks == 0:
                pending.transmissions = 0
                self._continue_placement(now, flow)
        elif not pending.awaited_hosts and flow.state == flow_directory.ENDED:
            flow.pending = None

    def on_place_ack(
        self, now: float, flow: flow_directory.Flow, host: str
    ) -> None:
        """Completes a placement that the holder has accepted."""
        pending = flow.pending
        if flow.state != flow_directory.PLACING or host != flow.holder:
            return
        assert pending is not None
        flow.state = flow_directory.REMOTE
        flow.changed_at = now
        flow.pending = None
        if not flow.is_udp:
            self._shared.send_placed(flow, flow.balancer)
        for payload in pending.payloads[1:]:
            routing.send_to_holder(self._shared, flow, payload)

    def on_refused(
        self, now: float, flow: flow_directory.Flow, msg: messages.Refused
    ) -> None:
        """Takes the refusal of the holder that was asked."""
        pending = flow.pending
        if pending is None:
            return
        pending.retry_ms = msg.retry_ms
        if msg.outcome == messages.REFUSED:
            self.retry_or_refuse(now, flow, msg.reason)
        else:
            self.end_flow(now, flow, msg.outcome, msg.reason)

    def retry_or_refuse(
        self, now: float, flow: flow_directory.Flow, reason: str
    ) -> None:
        """Tries one other holder after a refusal, or refuses the flow.

        Only the owner whose term still stands may place again; witnesses of
        the first attempt would hold an entry that no longer applies.
        """
        service = flow.service
        pending = flow.pending
        work = service.work_class(flow.id)
        assert pending is not None
        self._shared.record_result(now, flow, messages.REFUSED)
        owned = service.ownership.owned.get(flow.slot)
        other = [c for c in service.candidates if c.upstream != flow.upstream]
        if (
            work is not None
            and owned is not None
            and owned.term == pending.term
            and pending.attempt == 1
            and not flow.witnesses
            and other
            and not 0 < pending.deadline <= now
            # The budget bounds the load that retries add; a holder that is
            # dead has taken none.
            and (reason == "holder-silent" or service.budget.take(now))
        ):
            pending.attempt += 1
            flow.incarnation = self._shared.rng.getrandbits(64)
            flow.state = flow_directory.PLACING
            self._choose_holder(now, flow, work, flow.upstream)
            return
        self._refuse_flow(now, flow, reason)

    def _refuse_flow(
        self, now: float, flow: flow_directory.Flow, reason: str
    ) -> None:
        """Refuses a flow as not run, once the refusal is sure to hold.

        A TCP or library flow runs only if its balancer attaches, so the
        answer alone ends it.  A late copy of a UDP flow's datagram could
        reach a later owner, so another member must know the tombstone.
        """
        service = flow.service
        pending = flow.pending
        assert pending is not None
        self.end_flow(now, flow, messages.REFUSED, reason, tell=False)
        remote = flow.holder and flow.holder != self._shared.host
        work = service.work_class(flow.id)
        alone = len(service.live_hosts) < 2
        known = work is None or not service_state.is_at_most_once(work)
        if not flow.is_udp or remote or alone or known:
            flow.pending = pending
            self._shared.send_outcome(flow, flow.balancer)
            flow.pending = None
            return
        if flow.seen_datagrams is None:
            flow.seen_datagrams = {}
            flow.is_duplicate(
                now, pending.payloads[0], self._shared.retransmit_window_s
            )
        pending.missing_acks, pending.awaited_hosts, pending.transmissions = (
            1,
            set(),
            0,
        )
        flow.holder, flow.witnesses = self._shared.host, ()
        flow.pending = pending
        self._add_witness(flow, pending)
        self._continue_placement(now, flow)

    def end_flow(
        self,
        now: float,
        flow: flow_directory.Flow,
        outcome: str,
        reason: str,
        tell: bool = True,
    ) -> None:
        """Ends a flow at its owner, and tells its caller if asked to."""
        self._shared.directory.mark_ended(
            now, flow, outcome, reason, self._shared.retransmit_window_s
        )
        self._shared.log_decision(
            "refuse" if outcome == messages.REFUSED else "lost",
            flow.service,
            flow.id,
            flow.upstream,
            reason,
            always=True,
        )
        if tell:
            self._shared.send_outcome(flow, flow.balancer)
        flow.pending = None

    def hand_to_newer_owner(
        self, now: float, flow: flow_directory.Flow
    ) -> None:
        """Hands a flow that never ran to the owner of a newer term."""
        service = flow.service
        pending = flow.pending
        assert pending is not None
        if flow.holder == self._shared.host:
            self._holder.release_admission(now, flow)
        self._shared.directory.mark_ended(
            now,
            flow,
            messages.REFUSED,
            "fenced",
            self._shared.retransmit_window_s,
        )
        flow.pending = None
        host, rank = routing.responsible_host(
            self._shared, service, flow.slot, None
        )
        if host == self._shared.host or host not in service.live_hosts:
            # The newer owner may still place a UDP flow, so nothing is said.
            if not flow.is_udp:
                self._shared.send_outcome(flow, flow.balancer)
            return
        refused = messages.Refused(
            service.key, flow.id, flow.incarnation, messages.REFUSED, "fenced"
        )
        self._shared.send_to_host(service, host, refused)
        routing.forward_request(
            self._shared, service, host, rank, pending.request, pending.sender
        )

    def place_again(
        self,
        now: float,
        flow: flow_directory.Flow,
        owned: ownership.OwnedSlot,
        msg: messages.Packet,
        sender: state.Address,
        work: objects.WorkClass,
    ) -> None:
        """Places a UDP flow again whose caller continues after its end.

        Only the last holder knows which datagrams it has seen, so a
        non-idempotent flow goes back to it.
        """
        service = flow.service
        seen = flow.seen_datagrams
        if seen is not None or not service_state.is_at_most_once(work):
            self.place(now, service, owned, msg, sender, work, seen)
            return
        if flow.holder not in service.live_hosts:
            self._shared.send_outcome(flow, state.balancer_address(msg, sender))
            return
        again = flow_directory.Flow(
            flow.id, service, flow.slot, self._shared.rng.getrandbits(64)
        )
        again.balancer = state.balancer_address(msg, sender)
        again.changed_at = now
        again.holder, again.upstream = flow.holder, flow.upstream
        again.pending = flow_directory.PendingPlacement(msg, sender, 0.0)
        again.pending.term = owned.term
        again.pending.attempt = 2
        again.pending.last_holder_only = True
        again.pending.payloads.append(msg.payload)
        self._shared.directory.add(again)
        self._select_witnesses(again, again.pending)
        self._continue_placement(now, again)

    def on_timer(self, now: float, flow: flow_directory.Flow) -> None:
        """Repeats an unanswered request, or gives up."""
        pending = flow.pending
        assert pending is not None
        if pending.transmissions >= state.MAX_TRANSMISSIONS:
            self._end_unanswered(now, flow, pending)
            return
        late = (
            flow.state == flow_directory.PLACING and 0 < pending.deadline <= now
        )
        if late and (flow.holder == self._shared.host or pending.missing_acks):
            self._end_unanswered(now, flow, pending)
            return
        if pending.missing_acks == 0 and flow.state == flow_directory.ENDED:
            self._holder.send_flow_closed(now, flow)
            return
        if (
            pending.missing_acks
            and pending.transmissions >= TRANSMISSIONS_BEFORE_NEXT_WITNESS
        ):
            self._add_witness(flow, pending)
        self._continue_placement(now, flow)

    def _end_unanswered(
        self,
        now: float,
        flow: flow_directory.Flow,
        pending: flow_directory.PendingPlacement,
    ) -> None:
        """Ends a placement that its holder or witness does not answer."""
        if flow.state == flow_directory.ENDED:
            flow.pending = None
            return
        work = flow.service.work_class(flow.id)
        if flow.holder == self._shared.host or pending.missing_acks:
            # The flow never ran and its entry stays, so it never will.
            if flow.holder == self._shared.host:
                self._holder.release_admission(now, flow)
            tell = not flow.is_udp
            self.end_flow(now, flow, messages.REFUSED, "no-witness", tell)
            return
        if not flow.is_udp or (
            work is not None and not service_state.is_at_most_once(work)
        ):
            pending.missing_acks = 0
            flow.witnesses = ()
            self.retry_or_refuse(now, flow, "holder-silent")
            return
        self.end_flow(now, flow, messages.UNKNOWN, "holder-silent")
