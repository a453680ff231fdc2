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
LOST_AFTER_S = 3.0


class Owner:
    """Routes packets and openings of the hash slots that this agent owns."""

    __slots__ = ("_holder", "_placing", "_s")

    def __init__(
        self,
        shared: state.AgentState,
        held: holder.Holder,
        place: flow_placer.FlowPlacer,
    ) -> None:
        self._s = shared
        self._holder = held
        self._placing = place

    def on_unknown(
        self,
        now: float,
        svc: service_state.AgentServiceState,
        msg: Any,
        sender: state.Address,
        since: float,
    ) -> None:
        """Takes a ``Packet`` or ``Open`` of a flow without an entry.

        Args:
            now: Time in seconds.
            svc: The service.
            msg: The message.
            sender: Its sender.
            since: When it arrived; earlier than now if it has waited.
        """
        work = svc.work_class(msg.flow)
        if work is None:
            self._s.decide(
                "refuse", svc, msg.flow, "", "other-service", always=True
            )
            return
        if isinstance(msg, messages.Packet) and msg.rank == state.TO_HOLDER:
            self._not_held(svc, msg, sender)
            return
        slot = svc.slot_of(msg.flow)
        owned = svc.ownership.owned.get(slot)
        if owned is None:
            owned = self._claim(now, svc, slot, msg, sender)
        if owned is None:
            return
        if not routing.may_place(now, svc, owned, work):
            svc.ownership.wait(since, slot, msg, sender)
            return
        self._placing.place(now, svc, owned, msg, sender, work)

    def _not_held(
        self,
        svc: service_state.AgentServiceState,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        refused = messages.Refused(
            svc.key, msg.flow, 0, messages.UNKNOWN, "not-held"
        )
        self._s.send(sender, refused)

    def _claim(
        self,
        now: float,
        svc: service_state.AgentServiceState,
        slot: int,
        msg: Any,
        sender: state.Address,
    ) -> ownership.OwnedSlot | None:
        """Takes a slot over, or forwards the message to who should."""
        host, rank = routing.responsible(self._s, svc, slot, msg)
        if host != self._s.host:
            routing.forward(self._s, svc, host, rank, msg, sender)
            return None
        if not svc.is_member:
            return None
        self._s.decide(
            "takeover" if rank else "own", svc, msg.flow, host, "asked"
        )
        return svc.ownership.begin(
            now, slot, routing.next_term(svc, slot, rank)
        )

    def on_known(
        self,
        now: float,
        flow: flow_directory.Flow,
        msg: Any,
        sender: state.Address,
    ) -> None:
        """Takes a ``Packet`` or ``Open`` of a flow that has an entry."""
        if isinstance(msg, messages.Packet):
            self._known_packet(now, flow, msg, sender)
            return
        if msg.resume:
            flow.via = state.via_of(msg, sender)
        if flow.state == flow_directory.PLACING:
            flow.via = state.via_of(msg, sender)
        elif flow.state == flow_directory.ENDED:
            self._s.tell(flow, state.via_of(msg, sender))
        elif flow.state == flow_directory.REMOTE and self._lost(now, flow):
            self._place_lost(now, flow, msg, sender)
        else:
            self._s.tell_placed(flow, state.via_of(msg, sender))

    def _known_packet(
        self,
        now: float,
        flow: flow_directory.Flow,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        via = state.via_of(msg, sender)
        if flow.state == flow_directory.ENDED:
            self._ended_packet(now, flow, msg, sender)
            return
        flow.via = via
        if flow.state == flow_directory.REMOTE:
            if self._lost(now, flow):
                self._place_lost(now, flow, msg, sender)
            else:
                routing.to_holder(self._s, flow, msg.payload)
            return
        if flow.is_copy(now, msg.payload, self._s.window):
            return
        pending = flow.pending
        if (
            pending is not None
            and msg.payload not in pending.payloads
            and len(pending.payloads) < holder.MAX_PAYLOADS
        ):
            pending.payloads.append(msg.payload)

    def _ended_packet(
        self,
        now: float,
        flow: flow_directory.Flow,
        msg: messages.Packet,
        sender: state.Address,
    ) -> None:
        """Answers a late copy, or opens the flow anew for a new datagram."""
        svc = flow.service
        work = svc.work_class(flow.id)
        via = state.via_of(msg, sender)
        if flow.reason == "fenced":
            host, rank = routing.responsible(self._s, svc, flow.slot, msg)
            if host != self._s.host:
                refused = messages.Refused(
                    svc.key,
                    flow.id,
                    flow.incarnation,
                    messages.REFUSED,
                    "fenced",
                )
                self._s.send_host(svc, host, refused)
                routing.forward(self._s, svc, host, rank, msg, sender)
            return
        owned = svc.ownership.owned.get(flow.slot)
        if work is None or owned is None:
            self._s.tell(flow, via)
            return
        if flow.seen is None:
            late = flow.outcome != messages.ANSWERED
        else:
            late = flow.is_copy(now, msg.payload, self._s.window)
        if late:
            self._s.tell(flow, via)
        elif routing.may_place(now, svc, owned, work):
            self._placing.reopen(now, flow, owned, msg, sender, work)

    def on_not_held(self, now: float, flow: flow_directory.Flow) -> None:
        """Takes the word of a holder that it does not know the flow."""
        work = flow.service.work_class(flow.id)
        if work is None or service_state.at_most_once(work):
            self._placing.end(now, flow, messages.UNKNOWN, "holder-lost")
        else:
            self._s.directory.remove(flow)

    def _lost(self, now: float, flow: flow_directory.Flow) -> bool:
        """Returns True if the holder of a flow is gone."""
        if flow.holder not in flow.service.live:
            return True
        since = self._s.suspected.get(flow.holder)
        return since is not None and now - since >= LOST_AFTER_S

    def _place_lost(
        self,
        now: float,
        flow: flow_directory.Flow,
        msg: Any,
        sender: state.Address,
    ) -> None:
        """Places a flow anew whose holder is gone, if it may run again."""
        svc = flow.service
        work = svc.work_class(flow.id)
        resume = getattr(msg, "resume", False)
        if work is None or service_state.at_most_once(work) or resume:
            flow.via = state.via_of(msg, sender)
            self._placing.end(now, flow, messages.UNKNOWN, "holder-lost")
            return
        self._s.directory.remove(flow)
        self.on_unknown(now, svc, msg, sender, now)

    def cancel(self, now: float, flow: flow_directory.Flow) -> None:
        """Ends a flow that its caller gave up, here or at its holder."""
        svc = flow.service
        if flow.state == flow_directory.REMOTE:
            cancel = messages.Cancel(svc.key, flow.id, flow.incarnation)
            self._s.send_host(svc, flow.holder, cancel)
        elif flow.state == flow_directory.PLACING:
            if flow.holder == self._s.host:
                self._holder.release(now, flow)
                self._placing.end(
                    now, flow, messages.REFUSED, "cancelled", tell=False
                )
        elif flow.state != flow_directory.ENDED:
            self._holder.cancel(now, flow)
