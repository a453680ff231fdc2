"""Owner's part of an agent: answers for the flows of its hash slots."""

from typing import Any

from crocusmux import messages
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import flow_placer
from crocusmux.core.flows import holder
from crocusmux.core.flows import ownership
from crocusmux.core.flows import routing
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state

# A holder suspected for so long is given up for long and idempotent flows.
HOLDER_LOST_AFTER_S = 3.0


class Owner:
    """Routes packets and openings of the hash slots that this agent owns."""

    __slots__ = ("_holder", "_placer", "_shared")

    def __init__(
        self,
        shared: state.AgentState,
        held: holder.Holder,
        place: flow_placer.FlowPlacer,
    ) -> None:
        self._shared = shared
        self._holder = held
        self._placer = place

    def on_unknown_flow(
        self,
        now: float,
        service: service_state.AgentServiceState,
        msg: Any,
        sender: state.Address,
        since: float,
    ) -> None:
        """Takes a ``Packet`` or ``Open`` of a flow without an entry.

        Args:
            now: Time in seconds.
            service: The service.
            msg: The message.
            sender: Its sender.
            since: When it arrived; earlier than now if it has waited.
        """
        work = service.work_class(msg.flow)
        if work is None:
            self._shared.log_decision(
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
            service.ownership.queue_message(since, slot, msg, sender)
            return
        self._placer.place(now, service, owned, msg, sender, work)

    def _send_not_held(
        self,
        service: service_state.AgentServiceState,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        refused = messages.Refused(
            service.key, msg.flow, 0, messages.UNKNOWN, "not-held"
        )
        self._shared.send(sender, refused)

    def _take_over_slot(
        self,
        now: float,
        service: service_state.AgentServiceState,
        slot: int,
        msg: Any,
        sender: state.Address,
    ) -> ownership.OwnedSlot | None:
        """Takes a slot over, or forwards the message to who should."""
        host, rank = routing.responsible_host(self._shared, service, slot, msg)
        if host != self._shared.host:
            routing.forward_request(
                self._shared, service, host, rank, msg, sender
            )
            return None
        if not service.is_member:
            return None
        self._shared.log_decision(
            "takeover" if rank else "own", service, msg.flow, host, "asked"
        )
        return service.ownership.start_takeover(
            now, slot, routing.next_free_term(service, slot, rank)
        )

    def on_known_flow(
        self,
        now: float,
        flow: flow_directory.Flow,
        msg: Any,
        sender: state.Address,
    ) -> None:
        """Takes a ``Packet`` or ``Open`` of a flow that has an entry."""
        if isinstance(msg, messages.Packet):
            self._on_known_packet(now, flow, msg, sender)
            return
        if msg.resume:
            flow.balancer = state.balancer_address(msg, sender)
        if flow.state == flow_directory.PLACING:
            flow.balancer = state.balancer_address(msg, sender)
        elif flow.state == flow_directory.ENDED:
            self._shared.send_outcome(flow, state.balancer_address(msg, sender))
        elif flow.state == flow_directory.REMOTE and self._is_holder_lost(
            now, flow
        ):
            self._replace_lost_flow(now, flow, msg, sender)
        else:
            self._shared.send_placed(flow, state.balancer_address(msg, sender))

    def _on_known_packet(
        self,
        now: float,
        flow: flow_directory.Flow,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        via = state.balancer_address(msg, sender)
        if flow.state == flow_directory.ENDED:
            self._on_ended_packet(now, flow, msg, sender)
            return
        flow.balancer = via
        if flow.state == flow_directory.REMOTE:
            if self._is_holder_lost(now, flow):
                self._replace_lost_flow(now, flow, msg, sender)
            else:
                routing.send_to_holder(self._shared, flow, msg.payload)
            return
        if flow.is_duplicate(
            now, msg.payload, self._shared.retransmit_window_s
        ):
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
        flow: flow_directory.Flow,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        """Answers a late copy, or opens the flow anew for a new datagram."""
        service = flow.service
        work = service.work_class(flow.id)
        via = state.balancer_address(msg, sender)
        if flow.reason == "fenced":
            host, rank = routing.responsible_host(
                self._shared, service, flow.slot, msg
            )
            if host != self._shared.host:
                refused = messages.Refused(
                    service.key,
                    flow.id,
                    flow.incarnation,
                    messages.REFUSED,
                    "fenced",
                )
                self._shared.send_to_host(service, host, refused)
                routing.forward_request(
                    self._shared, service, host, rank, msg, sender
                )
            return
        owned = service.ownership.owned.get(flow.slot)
        if work is None or owned is None:
            self._shared.send_outcome(flow, via)
            return
        if flow.seen_datagrams is None:
            late = flow.outcome != messages.ANSWERED
        else:
            late = flow.is_duplicate(
                now, msg.payload, self._shared.retransmit_window_s
            )
        if late:
            self._shared.send_outcome(flow, via)
        elif routing.may_place_now(now, service, owned, work):
            self._placer.place_again(now, flow, owned, msg, sender, work)

    def on_holder_denied(self, now: float, flow: flow_directory.Flow) -> None:
        """Takes the word of a holder that it does not know the flow."""
        work = flow.service.work_class(flow.id)
        if work is None or service_state.is_at_most_once(work):
            self._placer.end_flow(now, flow, messages.UNKNOWN, "holder-lost")
        else:
            self._shared.directory.remove(flow)

    def _is_holder_lost(self, now: float, flow: flow_directory.Flow) -> bool:
        """Returns True if the holder of a flow is gone."""
        if flow.holder not in flow.service.live_hosts:
            return True
        since = self._shared.suspected_since.get(flow.holder)
        return since is not None and now - since >= HOLDER_LOST_AFTER_S

    def _replace_lost_flow(
        self,
        now: float,
        flow: flow_directory.Flow,
        msg: Any,
        sender: state.Address,
    ) -> None:
        """Places a flow anew whose holder is gone, if it may run again."""
        service = flow.service
        work = service.work_class(flow.id)
        resume = getattr(msg, "resume", False)
        if work is None or service_state.is_at_most_once(work) or resume:
            flow.balancer = state.balancer_address(msg, sender)
            self._placer.end_flow(now, flow, messages.UNKNOWN, "holder-lost")
            return
        self._shared.directory.remove(flow)
        self.on_unknown_flow(now, service, msg, sender, now)

    def cancel(self, now: float, flow: flow_directory.Flow) -> None:
        """Ends a flow that its caller gave up, here or at its holder."""
        service = flow.service
        if flow.state == flow_directory.REMOTE:
            cancel = messages.Cancel(service.key, flow.id, flow.incarnation)
            self._shared.send_to_host(service, flow.holder, cancel)
        elif flow.state == flow_directory.PLACING:
            if flow.holder == self._shared.host:
                self._holder.release_admission(now, flow)
                self._placer.end_flow(
                    now, flow, messages.REFUSED, "cancelled", tell=False
                )
        elif flow.state != flow_directory.ENDED:
            self._holder.cancel(now, flow)
