"""Choice of the host that serves a hash slot, and forwarding to it."""

from typing import Any

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import ownership
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state


def serving_host(
    agent: state.AgentState,
    service: service_state.AgentService,
    slot: int,
    msg: Any,
) -> tuple[str, int]:
    """Returns the host that should serve a slot now, and its rank."""
    suspected = agent.suspected_since
    fence = service.ownership.fences.get(slot)
    if fence is not None and fence.term[0] > service.epoch:
        return fence.owner, fence.term[1]
    is_current = fence is not None and fence.term[0] == service.epoch
    if fence is not None and is_current and fence.owner not in suspected:
        return fence.owner, fence.term[1]
    rank = msg.rank if msg is not None and msg.epoch == service.epoch else 0
    rank = max(rank, 0)
    for candidate_rank in range(rank, len(service.table.members)):
        host = service.table.owner(slot, candidate_rank)
        if host == agent.host or host not in suspected:
            return host or "", candidate_rank
    return service.table.owner(slot) or "", 0


def forward(
    agent: state.AgentState,
    service: service_state.AgentService,
    host: str,
    rank: int,
    msg: Any,
    sender: state.Address,
) -> None:
    """Forwards a ``Packet`` or ``Open`` to another member."""
    if msg.hops >= state.MAX_HOPS or host not in service.address_by_host:
        agent.log_decision("drop", service, msg.flow, host, "no-owner")
        return
    via = msg.via or state.format_address(sender)
    if isinstance(msg, messages.Packet):
        forwarded: Any = messages.Packet(
            service.key,
            msg.flow,
            service.epoch,
            rank,
            msg.hops + 1,
            via,
            msg.payload,
        )
    else:
        forwarded = messages.Open(
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
    agent.send_host(service, host, forwarded)


def send_to_holder(
    agent: state.AgentState, flow: directory.Flow, payload: bytes
) -> None:
    """Forwards a datagram to the holder of its flow."""
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
    agent.send_host(service, flow.holder, packet)


def next_free_term(
    service: service_state.AgentService, slot: int, rank: int
) -> ownership.Term:
    """Returns the lowest term of a rank that is newer than the slot's fence."""
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


def send_witness(agent: state.AgentState, flow: directory.Flow) -> None:
    """Sends a flow's entry to the witnesses that have not acknowledged it."""
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
        agent.send_host(service, host, copy)


def may_place_now(
    now: float,
    service: service_state.AgentService,
    owned: ownership.OwnedSlot,
    work: objects.WorkClass,
) -> bool:
    """Returns True if the owner may place a new flow of a class now."""
    if not service_state.at_most_once(work):
        return owned.serves_repeatable or owned.serves_all
    return owned.serves_all and service.has_lease(now)
