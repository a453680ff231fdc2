"""Messages of other agents about single flows."""

from crocusmux import messages
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import flow_placer
from crocusmux.core.flows import handover
from crocusmux.core.flows import owner
from crocusmux.core.flows import ownership
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state


class PeerMessageHandler:
    """Passes peers' answers and the ends of flows to the owner role."""

    __slots__ = ("_agent", "_handover", "_owner", "_placer")

    def __init__(
        self,
        agent: state.AgentState,
        placer: flow_placer.FlowPlacer,
        owner_role: owner.Owner,
        slot_handover: handover.Handover,
    ) -> None:
        self._agent = agent
        self._placer = placer
        self._owner = owner_role
        self._handover = slot_handover

    def on_place_ack(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.PlaceAck,
        sender: state.Address,
    ) -> None:
        """Records the holder's load and completes the placement."""
        service.record_load(now, msg.load, acked=True)
        flow = self._agent.directory.flows.get(msg.flow)
        if flow is not None and flow.incarnation == msg.incarnation:
            self._placer.on_place_ack(
                now, flow, service.host_by_address.get(sender, "")
            )

    def on_refused(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.Refused,
        sender: state.Address,
    ) -> None:
        """Applies the refusal or denial of a flow by a member."""
        flow = self._agent.directory.flows.get(msg.flow)
        if flow is None or flow.service is not service:
            return
        host = service.host_by_address.get(sender)
        if msg.reason == "not-held":
            if flow.state == directory.REMOTE and flow.holder == host:
                self._owner.on_holder_denied(now, flow)
        elif flow.incarnation != msg.incarnation:
            return
        elif msg.reason == "fenced":
            if flow.state == directory.REMOTE:
                self._agent.directory.remove(flow)
        elif flow.state == directory.PLACING and flow.holder == host:
            self._placer.on_refused(now, flow, msg)

    def on_fenced(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.Fenced,
        sender: state.Address,
    ) -> None:
        """Ends the ownership of a slot for which a newer term exists."""
        flow = self._agent.directory.flows.get(msg.flow)
        if len(msg.flow) == ownership.SLOT_BYTES:
            slot = int.from_bytes(msg.flow, "little")
        else:
            slot = service.slot_of(msg.flow)
        if msg.owner:
            term = (msg.epoch, msg.rank)
            self._handover.apply_fence(
                now, service, slot, ownership.Fence(term, msg.owner)
            )
        if flow is None or flow.incarnation != msg.incarnation:
            return
        if flow.state == directory.PLACING and flow.pending is not None:
            self._placer.hand_over(now, flow)

    def on_witness_ack(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.WitnessAck,
        sender: state.Address,
    ) -> None:
        """Passes a witness's acknowledgement to the placement."""
        flow = self._agent.directory.flows.get(msg.flow)
        host = service.host_by_address.get(sender)
        if flow is not None and flow.incarnation == msg.incarnation and host:
            self._placer.on_witness_ack(now, flow, host)

    def on_closed(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.Closed,
        sender: state.Address,
    ) -> None:
        """Acknowledges the end of a flow and turns its entry to a tombstone."""
        self._agent.send(
            sender, messages.WitnessAck(service.key, msg.flow, msg.incarnation)
        )
        flow = self._agent.directory.flows.get(msg.flow)
        if flow is None or flow.incarnation != msg.incarnation:
            return
        if flow.holder == self._agent.host or flow.state == directory.ENDED:
            return
        tell = flow.state == directory.PLACING
        self._agent.record_result(now, flow, msg.outcome)
        self._agent.directory.mark_ended(
            now, flow, msg.outcome, "closed", self._agent.window_s
        )
        if tell:
            self._agent.send_outcome(flow, flow.balancer)
        flow.pending = None

    def on_cancel(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.Cancel,
        sender: state.Address,
    ) -> None:
        """Ends a flow that its caller cancelled."""
        flow = self._agent.directory.flows.get(msg.flow)
        if flow is None or flow.service is not service:
            return
        if msg.incarnation not in (0, flow.incarnation):
            return
        self._owner.cancel(now, flow)
