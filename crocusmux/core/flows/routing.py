"""Who serves a hash slot, and messages that go on to them."""

from typing import Any

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import ownership
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state


def responsible_host(
    shared: state.AgentState,
    service: service_state.AgentServiceState,
    slot: int,
    msg: Any,
) -> tuple[str, int]:
    """Returns the host and rank that should serve a slot now."""
    suspected = shared.suspected_since
    fence = service.ownership.fences.get(slot)
    if fence is not None and fence.term[0] > service.epoch:
        return fence.owner, fence.term[1]
    current = fence is not None and fence.term[0] == service.epoch
    if fence is not None and current and fence.owner not in suspected:
        return fence.owner, fence.term[1]
    rank = msg.rank if msg is not None and msg.epoch == service.epoch else 0
    rank = max(rank, 0)
    for r in range(rank, len(service.table.members)):
        host = service.table.owner(slot, r)
        if host == shared.host or host not in suspected:
            return host or "", r
    return service.table.owner(slot) or "", 0


def forward_request(
    shared: state.AgentState,
    service: service_state.AgentServiceState,
    host: str,
    rank: int,
    msg: Any,
    sender: state.Address,
) -> None:
    """Forwards a ``Packet`` or ``Open`` to another member."""
    if msg.hops >= state.MAX_HOPS or host not in service.address_by_host:
        shared.log_decision("drop", service, msg.flow, host, "no-owner")
        return
    via = msg.via or state.format_address(sender)
    if isinstance(msg, messages.Packet):
        onward: Any = messages.Packet(
            service.key,
            msg.flow,
            service.epoch,
            rank,
            msg.hops + 1,
            via,
            msg.payload,
        )
    else:
        onward = messages.Open(
            service.key,
            msg.flow,
            service.epoch,
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
    shared.send_to_host(service, host, onward)


def send_to_holder(
    shared: state.AgentState, flow: flow_directory.Flow, payload: bytes
) -> None:
    """Sends a datagram on to the holder of its flow."""
    service = flow.service
    packet = messages.Packet(
        service.key,
        flow.id,
        service.epoch,
        state.HOLDER_RANK,
        1,
        state.format_address(flow.balancer),
        payload,
    )
    shared.send_to_host(service, flow.holder, packet)


def next_free_term(
    service: service_state.AgentServiceState, slot: int, rank: int
) -> ownership.Term:
    """Returns the lowest term of a rank that passes the slot's fence."""
    fence = service.ownership.fences.get(slot)
    count = max(1, len(service.table.members))
    while fence is not None and fence.term >= (service.epoch, rank):
        rank += count
    return service.epoch, rank


def caller_of(request: Any) -> str:
    """Returns the IP number of the caller of a ``Packet`` or ``Open``."""
    if isinstance(request, messages.Open):
        return request.caller
    return request.flow[9:].rpartition(b":")[0].decode("ascii", "replace")


def send_witness(shared: state.AgentState, flow: flow_directory.Flow) -> None:
    """Asks the witnesses of a flow to keep its entry."""
    pending = flow.pending
    assert pending is not None
    service = flow.service
    for host in sorted(pending.awaited_hosts):
        copy = messages.Witness(
            service.key,
            flow.entry(),
            *pending.term,
            service.members[host].incarnation if host in service.members else 0,
        )
        shared.send_to_host(service, host, copy)


def may_place_now(
    now: float,
    service: service_state.AgentServiceState,
    owned: ownership.OwnedSlot,
    work: objects.WorkClass,
) -> bool:
    """Returns True if the owner may place a new flow of a class now."""
    if not service_state.is_at_most_once(work):
        return owned.serves_repeatable or owned.serves_all
    return owned.serves_all and service.has_lease(now)
