"""Who serves a hash slot, and messages that go on to them."""

from typing import Any

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import ownership
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state


def responsible(
    shared: state.AgentState,
    svc: service_state.AgentServiceState,
    slot: int,
    msg: Any,
) -> tuple[str, int]:
    """Returns the host and rank that should serve a slot now."""
    suspected = shared.suspected
    fence = svc.ownership.fences.get(slot)
    if fence is not None and fence.term[0] > svc.epoch:
        return fence.owner, fence.term[1]
    current = fence is not None and fence.term[0] == svc.epoch
    if fence is not None and current and fence.owner not in suspected:
        return fence.owner, fence.term[1]
    rank = msg.rank if msg is not None and msg.epoch == svc.epoch else 0
    rank = max(rank, 0)
    for r in range(rank, len(svc.table.members)):
        host = svc.table.owner(slot, r)
        if host == shared.host or host not in suspected:
            return host or "", r
    return svc.table.owner(slot) or "", 0


def forward(
    shared: state.AgentState,
    svc: service_state.AgentServiceState,
    host: str,
    rank: int,
    msg: Any,
    sender: state.Address,
) -> None:
    """Forwards a ``Packet`` or ``Open`` to another member."""
    if msg.hops >= state.MAX_HOPS or host not in svc.addresses:
        shared.decide("drop", svc, msg.flow, host, "no-owner")
        return
    via = msg.via or state.as_text(sender)
    if isinstance(msg, messages.Packet):
        onward: Any = messages.Packet(
            svc.key,
            msg.flow,
            svc.epoch,
            rank,
            msg.hops + 1,
            via,
            msg.payload,
        )
    else:
        onward = messages.Open(
            svc.key,
            msg.flow,
            svc.epoch,
            rank,
            msg.hops + 1,
            via,
            msg.work_class,
            msg.caller,
            msg.deadline_ms,
            msg.attempt,
            msg.exclude,
            msg.resume,
        )
    shared.send_host(svc, host, onward)


def to_holder(
    shared: state.AgentState, flow: flow_directory.Flow, payload: bytes
) -> None:
    """Sends a datagram on to the holder of its flow."""
    svc = flow.service
    packet = messages.Packet(
        svc.key,
        flow.id,
        svc.epoch,
        state.TO_HOLDER,
        1,
        state.as_text(flow.via),
        payload,
    )
    shared.send_host(svc, flow.holder, packet)


def next_term(
    svc: service_state.AgentServiceState, slot: int, rank: int
) -> ownership.Term:
    """Returns the lowest term of a rank that passes the slot's fence."""
    fence = svc.ownership.fences.get(slot)
    count = max(1, len(svc.table.members))
    while fence is not None and fence.term >= (svc.epoch, rank):
        rank += count
    return svc.epoch, rank


def caller_of(request: Any) -> str:
    """Returns the IP number of the caller of a ``Packet`` or ``Open``."""
    if isinstance(request, messages.Open):
        return request.caller
    return request.flow[9:].rpartition(b":")[0].decode("ascii", "replace")


def send_witness(shared: state.AgentState, flow: flow_directory.Flow) -> None:
    """Asks the witnesses of a flow to keep its entry."""
    pending = flow.pending
    assert pending is not None
    svc = flow.service
    for host in sorted(pending.asked):
        copy = messages.Witness(
            svc.key,
            flow.entry(),
            *pending.term,
            svc.members[host].incarnation if host in svc.members else 0,
        )
        shared.send_host(svc, host, copy)


def may_place(
    now: float,
    svc: service_state.AgentServiceState,
    owned: ownership.OwnedSlot,
    work: objects.WorkClass,
) -> bool:
    """Returns True if the owner may place a new flow of a class now."""
    if not service_state.at_most_once(work):
        return owned.usable or owned.complete
    return owned.complete and svc.leased(now)
