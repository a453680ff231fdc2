"""Owner role of an agent: routes the packets and openings of its hash slots."""

from typing import Any

from crocusmux import messages
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import flow_placer
from crocusmux.core.flows import holder
from crocusmux.core.flows import ownership
from crocusmux.core.flows import routing
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state

# Time of suspicion after which a holder counts as lost.
HOLDER_LOST_AFTER_S = 3.0


class Owner:
    """Routes packets and openings of the hash slots that this agent owns."""

    __slots__ = ("_agent", "_holder", "_placer")

    def __init__(
        self,
        agent: state.AgentState,
        flow_holder: holder.Holder,
        placer: flow_placer.FlowPlacer,
    ) -> None:
        self._agent = agent
        self._holder = flow_holder
        self._placer = placer

    def on_unknown(
        self,
        now: float,
        service: service_state.AgentService,
        msg: Any,
        sender: state.Address,
        arrived_at: float,
    ) -> None:
        """Places, queues or forwards a message of a flow without an entry.

        ``arrived_at`` is earlier than ``now`` if the message was queued.
        """
        work = service.work_class(msg.flow)
        if work is None:
            self._agent.log_decision(
                "refuse", service, msg.flow, "", "other-service", always=True
            )
            return
        if isinstance(msg, messages.Packet) and msg.rank == state.HOLDER_RANK:
            self._send_not_held(service, msg, sender)
            return
        slot = service.slot_of(msg.flow)
        owned = service.ownership.owned.get(slot)
        if owned is None:
            owned = self._take_over_slot(now, service, slot, msg, sender)
        if owned is None:
            return
        if not routing.may_place_now(now, service, owned, work):
            service.ownership.queue_message(arrived_at, slot, msg, sender)
            return
        self._placer.place(now, service, owned, msg, sender, work)

    def _send_not_held(
        self,
        service: service_state.AgentService,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        refused = messages.Refused(
            service.key, msg.flow, 0, messages.UNKNOWN, "not-held"
        )
        self._agent.send(sender, refused)

    def _take_over_slot(
        self,
        now: float,
        service: service_state.AgentService,
        slot: int,
        msg: Any,
        sender: state.Address,
    ) -> ownership.OwnedSlot | None:
        """Starts the takeover of a slot, or forwards the message to its owner."""
        host, rank = routing.serving_host(self._agent, service, slot, msg)
        if host != self._agent.host:
            routing.forward(self._agent, service, host, rank, msg, sender)
            return None
        if not service.is_member:
            return None
        self._agent.log_decision(
            "takeover" if rank else "own", service, msg.flow, host, "asked"
        )
        return service.ownership.start_takeover(
            now, slot, routing.next_free_term(service, slot, rank)
        )

    def on_known(
        self, now: float, flow: directory.Flow, msg: Any, sender: state.Address
    ) -> None:
        """Answers or forwards a message of a flow that has an entry."""
        if isinstance(msg, messages.Packet):
            self._on_known_packet(now, flow, msg, sender)
            return
        if msg.resume:
            flow.balancer = state.balancer_address(msg, sender)
        if flow.state == directory.PLACING:
            flow.balancer = state.balancer_address(msg, sender)
        elif flow.state == directory.ENDED:
            self._agent.send_outcome(flow, state.balancer_address(msg, sender))
        elif flow.state == directory.REMOTE and self._is_holder_lost(now, flow):
            self._replace_lost_flow(now, flow, msg, sender)
        else:
            self._agent.send_placed(flow, state.balancer_address(msg, sender))

    def _on_known_packet(
        self,
        now: float,
        flow: directory.Flow,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        via = state.balancer_address(msg, sender)
        if flow.state == directory.ENDED:
            self._on_ended_packet(now, flow, msg, sender)
            return
        flow.balancer = via
        if flow.state == directory.REMOTE:
            if self._is_holder_lost(now, flow):
                self._replace_lost_flow(now, flow, msg, sender)
            else:
                routing.send_to_holder(self._agent, flow, msg.payload)
            return
        if flow.is_duplicate(now, msg.payload, self._agent.window_s):
            return
        pending = flow.pending
        if (
            pending is not None
            and msg.payload not in pending.payloads
            and len(pending.payloads) < holder.MAX_QUEUED_DATAGRAMS
        ):
            pending.payloads.append(msg.payload)

    def _on_ended_packet(
        self,
        now: float,
        flow: directory.Flow,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        """Answers a duplicate, or places the flow again for a new datagram."""
        service = flow.service
        work = service.work_class(flow.id)
        via = state.balancer_address(msg, sender)
        if flow.reason == "fenced":
            host, rank = routing.serving_host(
                self._agent, service, flow.slot, msg
            )
            if host != self._agent.host:
                refused = messages.Refused(
                    service.key,
                    flow.id,
                    flow.incarnation,
                    messages.REFUSED,
                    "fenced",
                )
                self._agent.send_host(service, host, refused)
                routing.forward(self._agent, service, host, rank, msg, sender)
            return
        owned = service.ownership.owned.get(flow.slot)
        if work is None or owned is None:
            self._agent.send_outcome(flow, via)
            return
        if flow.seen_at is None:
            is_duplicate = flow.outcome != messages.ANSWERED
        else:
            is_duplicate = flow.is_duplicate(
                now, msg.payload, self._agent.window_s
            )
        if is_duplicate:
            self._agent.send_outcome(flow, via)
        elif routing.may_place_now(now, service, owned, work):
            self._placer.place_again(now, flow, owned, msg, sender, work)

    def on_holder_denied(self, now: float, flow: directory.Flow) -> None:
        """Ends or forgets a flow whose holder denies that it holds it."""
        work = flow.service.work_class(flow.id)
        if work is None or service_state.at_most_once(work):
            self._placer.end_flow(now, flow, messages.UNKNOWN, "holder-lost")
        else:
            self._agent.directory.remove(flow)

    def _is_holder_lost(self, now: float, flow: directory.Flow) -> bool:
        """Returns True if a flow's holder was removed or is long suspected."""
        if flow.holder not in flow.service.live_hosts:
            return True
        suspected_since = self._agent.suspected_since.get(flow.holder)
        return (
            suspected_since is not None
            and now - suspected_since >= HOLDER_LOST_AFTER_S
        )

    def _replace_lost_flow(
        self, now: float, flow: directory.Flow, msg: Any, sender: state.Address
    ) -> None:
        """Places a flow again whose holder is lost, if it may run twice."""
        service = flow.service
        work = service.work_class(flow.id)
        resume = getattr(msg, "resume", False)
        if work is None or service_state.at_most_once(work) or resume:
            flow.balancer = state.balancer_address(msg, sender)
            self._placer.end_flow(now, flow, messages.UNKNOWN, "holder-lost")
            return
        self._agent.directory.remove(flow)
        self.on_unknown(now, service, msg, sender, now)

    def cancel(self, now: float, flow: directory.Flow) -> None:
        """Ends a flow that its caller cancelled, here or at its holder."""
        service = flow.service
        if flow.state == directory.REMOTE:
            cancel = messages.Cancel(service.key, flow.id, flow.incarnation)
            self._agent.send_host(service, flow.holder, cancel)
        elif flow.state == directory.PLACING:
            if flow.holder == self._agent.host:
                self._holder.release_admission(now, flow)
                self._placer.end_flow(
                    now, flow, messages.REFUSED, "cancelled", tell=False
                )
        elif flow.state != directory.ENDED:
            self._holder.cancel(now, flow)
