"""Copies of directory entries that an agent keeps for others."""

from crocusmux import messages
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import holder
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state

# Copies that no holder refreshes are dropped after so many windows.
ENTRY_LIFETIME_WINDOWS = 2


def store_witness_entry(
    shared: state.AgentState,
    now: float,
    service: service_state.AgentServiceState,
    msg: messages.Witness,
    sender: state.Address,
) -> None:
    """Keeps a copy of an entry, unless its term has been passed."""
    if not service.is_member or msg.target not in (0, shared.incarnation):
        return
    entry = msg.entry
    known = shared.directory.flows.get(entry.flow)
    ack = messages.WitnessAck(service.key, entry.flow, entry.incarnation)
    if known is not None and known.incarnation == entry.incarnation:
        known.changed_at = max(known.changed_at, now)
        if entry.outcome and known.state == flow_directory.REMOTE:
            shared.directory.mark_ended(
                now, known, entry.outcome, "copy", shared.retransmit_window_s
            )
        shared.send(sender, ack)
        return
    if holder.refuse_passed_term(
        shared, service, msg, sender, entry.flow, entry.incarnation
    ):
        return
    work = service.work_class(entry.flow)
    if work is None or not service.has_lease(now):
        return
    if known is not None and not _may_replace(shared, service, known, entry):
        return
    _add_entry(shared, now, service, entry)
    shared.send(sender, ack)


def _may_replace(
    shared: state.AgentState,
    service: service_state.AgentServiceState,
    known: flow_directory.Flow,
    entry: messages.Entry,
) -> bool:
    """Returns True if a peer's entry may take the place of ours."""
    if known.holder == shared.host and known.state != flow_directory.ENDED:
        return False
    if known.state == flow_directory.PLACING:
        # The holder tells that it has the flow under another number.
        return known.holder == entry.holder and not entry.outcome
    return True


def _add_entry(
    shared: state.AgentState,
    now: float,
    service: service_state.AgentServiceState,
    entry: messages.Entry,
) -> None:
    flow = flow_directory.Flow(
        entry.flow, service, service.slot_of(entry.flow), entry.incarnation
    )
    flow.holder = entry.holder
    flow.upstream = entry.upstream
    flow.changed_at = now
    flow.state = flow_directory.REMOTE
    shared.directory.add(flow)
    if entry.outcome:
        shared.directory.mark_ended(
            now, flow, entry.outcome, "copy", shared.retransmit_window_s
        )
    elif entry.holder == shared.host:
        # The flow ran here before this agent lost its memory.
        shared.directory.mark_ended(
            now,
            flow,
            messages.UNKNOWN,
            "holder-lost",
            shared.retransmit_window_s,
        )


def merge_reported_entry(
    shared: state.AgentState,
    now: float,
    service: service_state.AgentServiceState,
    entry: messages.Entry,
    report: messages.SlotReport,
) -> None:
    """Takes an entry from the answer to a query."""
    owned = service.ownership.owned.get(service.slot_of(entry.flow))
    if owned is None or owned.term != (report.epoch, report.rank):
        return
    if service.work_class(entry.flow) is None:
        return
    known = shared.directory.flows.get(entry.flow)
    if known is None:
        _add_entry(shared, now, service, entry)
        return
    if known.holder == shared.host or known.state == flow_directory.PLACING:
        return
    if known.incarnation == entry.incarnation:
        if entry.outcome and known.state != flow_directory.ENDED:
            shared.directory.mark_ended(
                now, known, entry.outcome, "copy", shared.retransmit_window_s
            )
    elif _precedence(entry, report.host) > _precedence(known.entry(), ""):
        _add_entry(shared, now, service, entry)


def _precedence(entry: messages.Entry, reporter: str) -> int:
    """Orders entries of different placements of one flow.

    A flow that its holder reports wins; then an end that may have run; a
    refused placement loses against every other.
    """
    if not entry.outcome:
        return 3 if entry.holder == reporter else 1
    return 0 if entry.outcome == messages.REFUSED else 2


def drop_unrefreshed(shared: state.AgentState, now: float) -> None:
    """Drops witness copies that no holder has refreshed."""
    limit = now - ENTRY_LIFETIME_WINDOWS * shared.retransmit_window_s
    for flow in list(shared.directory.flows.values()):
        if (
            flow.state == flow_directory.REMOTE
            and flow.changed_at <= limit
            and flow.slot not in flow.service.ownership.owned
        ):
            shared.directory.remove(flow)
