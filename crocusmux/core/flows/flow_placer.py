"""Placement of a new flow by the owner of its hash slot."""

from typing import Any

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import holder
from crocusmux.core.flows import ownership
from crocusmux.core.flows import routing
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state
from crocusmux.core.load import admission

# Each transmission of ``Witness`` after these adds one more witness.
TRANSMISSIONS_BEFORE_NEXT_WITNESS = 2


class FlowPlacer:
    """Chooses the holders of new flows and waits for their witnesses."""

    __slots__ = ("_agent", "_holder")

    def __init__(
        self, agent: state.AgentState, flow_holder: holder.Holder
    ) -> None:
        self._agent = agent
        self._holder = flow_holder

    def place(
        self,
        now: float,
        service: service_state.AgentService,
        owned: ownership.OwnedSlot,
        msg: Any,
        sender: state.Address,
        work: objects.WorkClass,
        seen: dict[int, float] | None = None,
    ) -> None:
        """Adds the entry of a new flow and chooses its holder."""
        flow = directory.Flow(
            msg.flow,
            service,
            service.slot_of(msg.flow),
            self._agent.rng.getrandbits(64),
        )
        flow.changed_at = now
        flow.balancer = state.balancer_address(msg, sender)
        limit_ms = work.deadline_ms
        if isinstance(msg, messages.Open) and msg.deadline_ms:
            limit_ms = msg.deadline_ms
        deadline = now + limit_ms / 1000 if limit_ms else 0.0
        flow.pending = directory.PendingPlacement(msg, sender, deadline)
        flow.pending.term = owned.term
        self._agent.directory.add(flow)
        if isinstance(msg, messages.Packet):
            flow.pending.payloads.append(msg.payload)
            if service_state.at_most_once(work):
                flow.seen_at = seen if seen is not None else {}
                flow.is_duplicate(now, msg.payload, self._agent.window_s)
        elif msg.resume:
            self.end_flow(now, flow, messages.UNKNOWN, "unknown-flow")
            return
        service.budget.add_request(work.retry_share)
        exclude = getattr(msg, "exclude", "")
        self._choose_holder(now, flow, work, exclude)

    def _choose_holder(
        self,
        now: float,
        flow: directory.Flow,
        work: objects.WorkClass,
        exclude: str,
    ) -> None:
        service = flow.service
        pending = flow.pending
        assert pending is not None
        candidates = service.candidates
        if self._agent.suspected_since:
            candidates = [
                c
                for c in candidates
                if c.host not in self._agent.suspected_since
            ]
        caller = routing.caller_of(pending.request)
        self._holder.update_load(now, service)
        choice = service.placement.choose(
            now,
            candidates,
            work,
            caller,
            exclude,
            state.format_address(flow.balancer),
        )
        if choice is None:
            self._refuse(now, flow, "no-upstream")
            return
        flow.holder = choice.host
        flow.upstream = choice.upstream
        self._agent.log_decision(
            "place", service, flow.id, choice.upstream, choice.reason
        )
        if choice.host == self._agent.host:
            verdict = self._holder.offer_to_admission(now, flow, caller)
            if verdict.action == admission.REFUSE:
                pending.retry_ms = verdict.retry_ms
                self.retry_or_refuse(now, flow, verdict.reason)
                return
            pending.admitted = verdict.action == admission.RUN
        pending.transmissions = 0
        if service_state.at_most_once(work):
            self._select_witnesses(flow, pending)
        self._continue(now, flow)

    def _select_witnesses(
        self, flow: directory.Flow, pending: directory.PendingPlacement
    ) -> None:
        copies, eligible = flow.service.required_copies(pending.term[0])
        informed = {self._agent.host, flow.holder} & set(eligible)
        pending.missing_acks = max(0, copies - len(informed))
        pending.awaited_hosts = set()
        for _ in range(pending.missing_acks):
            self._add_witness(flow, pending)

    def _add_witness(
        self, flow: directory.Flow, pending: directory.PendingPlacement
    ) -> None:
        _, eligible = flow.service.required_copies(pending.term[0])
        informed = {self._agent.host, flow.holder, *flow.witnesses}
        other_hosts = [h for h in eligible if h not in informed]
        preferred_hosts = [
            h for h in other_hosts if h not in self._agent.suspected_since
        ] or other_hosts
        if preferred_hosts:
            host = self._agent.rng.choice(preferred_hosts)
            flow.witnesses = (*flow.witnesses, host)
            pending.awaited_hosts.add(host)

    def _continue(self, now: float, flow: directory.Flow) -> None:
        """Sends the next request of a placement, or completes it."""
        pending = flow.pending
        assert pending is not None
        if pending.missing_acks > 0:
            routing.send_witness(self._agent, flow)
            self._agent.retransmit_later(now, flow)
        elif flow.state == directory.ENDED:
            self._agent.send_outcome(flow, flow.balancer)
            flow.pending = None
        elif flow.holder == self._agent.host:
            self._holder.start_or_reserve(now, flow)
            if not flow.is_udp:
                self._agent.send_placed(flow, flow.balancer)
        else:
            self._send_place(now, flow)
            self._agent.retransmit_later(now, flow)

    def _send_place(self, now: float, flow: directory.Flow) -> None:
        pending = flow.pending
        assert pending is not None
        service = flow.service
        work = service.work_class(flow.id)
        member = service.members.get(flow.holder)
        remaining_ms = 0
        if pending.deadline:
            remaining_ms = max(1, int((pending.deadline - now) * 1000))
        place = messages.Place(
            service.key,
            flow.id,
            *pending.term,
            flow.incarnation,
            self._agent.host,
            flow.upstream,
            work.name if work else "",
            routing.caller_of(pending.request),
            remaining_ms,
            state.format_address(flow.balancer),
            pending.payloads[0] if pending.payloads else b"",
            member.incarnation if member else 0,
            pending.last_holder_only,
        )
        self._agent.send_host(service, flow.holder, place)

    def on_witness_ack(
        self, now: float, flow: directory.Flow, host: str
    ) -> None:
        """Counts the acknowledgement of a witness."""
        pending = flow.pending
        if pending is None or host not in pending.awaited_hosts:
            return
        pending.awaited_hosts.discard(host)
        if pending.missing_acks > 0:
            pending.missing_acks -= 1
            if pending.missing_acks == 0:
                pending.transmissions = 0
                self._continue(now, flow)
        elif not pending.awaited_hosts and flow.state == directory.ENDED:
            flow.pending = None

    def on_place_ack(self, now: float, flow: directory.Flow, host: str) -> None:
        """Completes a placement that the holder has accepted."""
        pending = flow.pending
        if flow.state != directory.PLACING or host != flow.holder:
            return
        assert pending is not None
        flow.state = directory.REMOTE
        flow.changed_at = now
        flow.pending = None
        if not flow.is_udp:
            self._agent.send_placed(flow, flow.balancer)
        for payload in pending.payloads[1:]:
            routing.send_to_holder(self._agent, flow, payload)

    def on_refused(
        self, now: float, flow: directory.Flow, msg: messages.Refused
    ) -> None:
        """Places the flow elsewhere or ends it after the holder's refusal."""
        pending = flow.pending
        if pending is None:
            return
        pending.retry_ms = msg.retry_ms
        if msg.outcome == messages.REFUSED:
            self.retry_or_refuse(now, flow, msg.reason)
        else:
            self.end_flow(now, flow, msg.outcome, msg.reason)

    def retry_or_refuse(
        self, now: float, flow: directory.Flow, reason: str
    ) -> None:
        """Tries one other holder after a refusal, or refuses the flow.

        A retry needs a term that is not fenced, and no witnesses: those of
        the first attempt would keep an outdated entry.
        """
        service = flow.service
        pending = flow.pending
        work = service.work_class(flow.id)
        assert pending is not None
        self._agent.record_result(now, flow, messages.REFUSED)
        owned = service.ownership.owned.get(flow.slot)
        others = [c for c in service.candidates if c.upstream != flow.upstream]
        if (
            work is not None
            and owned is not None
            and owned.term == pending.term
            and pending.attempt == 1
            and not flow.witnesses
            and others
            and not 0 < pending.deadline <= now
            # The budget bounds the load that retries add; the first attempt
            # has added none if the holder is dead.
            and (reason == "holder-silent" or service.budget.try_take(now))
        ):
            pending.attempt += 1
            flow.incarnation = self._agent.rng.getrandbits(64)
            flow.state = directory.PLACING
            self._choose_holder(now, flow, work, flow.upstream)
            return
        self._refuse(now, flow, reason)

    def _refuse(self, now: float, flow: directory.Flow, reason: str) -> None:
        """Refuses a flow as not run, once no duplicate can run it any more.

        A TCP or library flow runs only if its balancer attaches, so the
        answer ends it.  A delayed duplicate of a UDP datagram could reach a
        later owner, so a witness must know the tombstone first.
        """
        service = flow.service
        pending = flow.pending
        assert pending is not None
        self.end_flow(now, flow, messages.REFUSED, reason, tell=False)
        remote = flow.holder and flow.holder != self._agent.host
        work = service.work_class(flow.id)
        alone = len(service.live_hosts) < 2
        may_run_twice = work is None or not service_state.at_most_once(work)
        if not flow.is_udp or remote or alone or may_run_twice:
            flow.pending = pending
            self._agent.send_outcome(flow, flow.balancer)
            flow.pending = None
            return
        if flow.seen_at is None:
            flow.seen_at = {}
            flow.is_duplicate(now, pending.payloads[0], self._agent.window_s)
        pending.missing_acks, pending.awaited_hosts, pending.transmissions = (
            1,
            set(),
            0,
        )
        flow.holder, flow.witnesses = self._agent.host, ()
        flow.pending = pending
        self._add_witness(flow, pending)
        self._continue(now, flow)

    def end_flow(
        self,
        now: float,
        flow: directory.Flow,
        outcome: str,
        reason: str,
        tell: bool = True,
    ) -> None:
        """Ends a flow at its owner; ``tell`` sends the outcome to its caller."""
        self._agent.directory.mark_ended(
            now, flow, outcome, reason, self._agent.window_s
        )
        self._agent.log_decision(
            "refuse" if outcome == messages.REFUSED else "lost",
            flow.service,
            flow.id,
            flow.upstream,
            reason,
            always=True,
        )
        if tell:
            self._agent.send_outcome(flow, flow.balancer)
        flow.pending = None

    def hand_over(self, now: float, flow: directory.Flow) -> None:
        """Ends a flow that never ran and forwards it to the newer owner."""
        service = flow.service
        pending = flow.pending
        assert pending is not None
        if flow.holder == self._agent.host:
            self._holder.release_admission(now, flow)
        self._agent.directory.mark_ended(
            now, flow, messages.REFUSED, "fenced", self._agent.window_s
        )
        flow.pending = None
        host, rank = routing.serving_host(self._agent, service, flow.slot, None)
        if host == self._agent.host or host not in service.live_hosts:
            # The newer owner may still place a UDP flow: send no outcome.
            if not flow.is_udp:
                self._agent.send_outcome(flow, flow.balancer)
            return
        refused = messages.Refused(
            service.key, flow.id, flow.incarnation, messages.REFUSED, "fenced"
        )
        self._agent.send_host(service, host, refused)
        routing.forward(
            self._agent, service, host, rank, pending.request, pending.sender
        )

    def place_again(
        self,
        now: float,
        flow: directory.Flow,
        owned: ownership.OwnedSlot,
        msg: messages.Packet,
        sender: state.Address,
        work: objects.WorkClass,
    ) -> None:
        """Places a UDP flow again whose caller continues after its end.

        A non-idempotent flow returns to its last holder, which alone knows
        the datagrams that it has seen.
        """
        service = flow.service
        seen = flow.seen_at
        if seen is not None or not service_state.at_most_once(work):
            self.place(now, service, owned, msg, sender, work, seen)
            return
        if flow.holder not in service.live_hosts:
            self._agent.send_outcome(flow, state.balancer_address(msg, sender))
            return
        new_flow = directory.Flow(
            flow.id, service, flow.slot, self._agent.rng.getrandbits(64)
        )
        new_flow.balancer = state.balancer_address(msg, sender)
        new_flow.changed_at = now
        new_flow.holder, new_flow.upstream = flow.holder, flow.upstream
        new_flow.pending = directory.PendingPlacement(msg, sender, 0.0)
        new_flow.pending.term = owned.term
        new_flow.pending.attempt = 2
        new_flow.pending.last_holder_only = True
        new_flow.pending.payloads.append(msg.payload)
        self._agent.directory.add(new_flow)
        self._select_witnesses(new_flow, new_flow.pending)
        self._continue(now, new_flow)

    def on_timer(self, now: float, flow: directory.Flow) -> None:
        """Retransmits an unanswered request, or ends the flow."""
        pending = flow.pending
        assert pending is not None
        if pending.transmissions >= state.MAX_TRANSMISSIONS:
            self._end_unanswered(now, flow, pending)
            return
        late = flow.state == directory.PLACING and 0 < pending.deadline <= now
        if late and (flow.holder == self._agent.host or pending.missing_acks):
            self._end_unanswered(now, flow, pending)
            return
        if pending.missing_acks == 0 and flow.state == directory.ENDED:
            self._holder.send_flow_closed(now, flow)
            return
        if (
            pending.missing_acks
            and pending.transmissions >= TRANSMISSIONS_BEFORE_NEXT_WITNESS
        ):
            self._add_witness(flow, pending)
        self._continue(now, flow)

    def _end_unanswered(
        self,
        now: float,
        flow: directory.Flow,
        pending: directory.PendingPlacement,
    ) -> None:
        if flow.state == directory.ENDED:
            flow.pending = None
            return
        work = flow.service.work_class(flow.id)
        if flow.holder == self._agent.host or pending.missing_acks:
            # The flow has not run, and its tombstone keeps it from running.
            if flow.holder == self._agent.host:
                self._holder.release_admission(now, flow)
            tell = not flow.is_udp
            self.end_flow(now, flow, messages.REFUSED, "no-witness", tell)
            return
        if not flow.is_udp or (
            work is not None and not service_state.at_most_once(work)
        ):
            pending.missing_acks = 0
            flow.witnesses = ()
            self.retry_or_refuse(now, flow, "holder-silent")
            return
        self.end_flow(now, flow, messages.UNKNOWN, "holder-silent")
