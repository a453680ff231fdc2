"""Directory entries that an agent keeps as a witness for other agents."""

from crocusmux import messages
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import holder
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state

# Retransmit windows after which an entry that is not refreshed is dropped.
ENTRY_LIFETIME_WINDOWS = 2


def store_entry(
    agent: state.AgentState,
    now: float,
    service: service_state.AgentService,
    msg: messages.Witness,
    sender: state.Address,
) -> None:
    """Stores an entry as a witness, unless its term is fenced."""
    if not service.is_member or msg.target not in (0, agent.incarnation):
        return
    entry = msg.entry
    current = agent.directory.flows.get(entry.flow)
    ack = messages.WitnessAck(service.key, entry.flow, entry.incarnation)
    if current is not None and current.incarnation == entry.incarnation:
        current.changed_at = max(current.changed_at, now)
        if entry.outcome and current.state == directory.REMOTE:
            agent.directory.mark_ended(
                now, current, entry.outcome, "copy", agent.window_s
            )
        agent.send(sender, ack)
        return
    if holder.refuse_passed_term(
        agent, service, msg, sender, entry.flow, entry.incarnation
    ):
        return
    work = service.work_class(entry.flow)
    if work is None or not service.has_lease(now):
        return
    if current is not None and not _may_replace(agent, service, current, entry):
        return
    _add_entry(agent, now, service, entry)
    agent.send(sender, ack)


def _may_replace(
    agent: state.AgentState,
    service: service_state.AgentService,
    current: directory.Flow,
    entry: messages.Entry,
) -> bool:
    """Returns True if a peer's entry may replace the one of this agent."""
    if current.holder == agent.host and current.state != directory.ENDED:
        return False
    if current.state == directory.PLACING:
        # The holder claims the flow under another placement incarnation.
        return current.holder == entry.holder and not entry.outcome
    return True


def _add_entry(
    agent: state.AgentState,
    now: float,
    service: service_state.AgentService,
    entry: messages.Entry,
) -> None:
    flow = directory.Flow(
        entry.flow, service, service.slot_of(entry.flow), entry.incarnation
    )
    flow.holder = entry.holder
    flow.upstream = entry.upstream
    flow.changed_at = now
    flow.state = directory.REMOTE
    agent.directory.add(flow)
    if entry.outcome:
        agent.directory.mark_ended(
            now, flow, entry.outcome, "copy", agent.window_s
        )
    elif entry.holder == agent.host:
        # The flow ran on this host before the agent restarted.
        agent.directory.mark_ended(
            now, flow, messages.UNKNOWN, "holder-lost", agent.window_s
        )


def merge_entry(
    agent: state.AgentState,
    now: float,
    service: service_state.AgentService,
    entry: messages.Entry,
    report: messages.SlotReport,
) -> None:
    """Merges an entry of a slot report into the directory."""
    owned = service.ownership.owned.get(service.slot_of(entry.flow))
    if owned is None or owned.term != (report.epoch, report.rank):
        return
    if service.work_class(entry.flow) is None:
        return
    current = agent.directory.flows.get(entry.flow)
    if current is None:
        _add_entry(agent, now, service, entry)
        return
    if current.holder == agent.host or current.state == directory.PLACING:
        return
    if current.incarnation == entry.incarnation:
        if entry.outcome and current.state != directory.ENDED:
            agent.directory.mark_ended(
                now, current, entry.outcome, "copy", agent.window_s
            )
    elif _precedence(entry, report.host) > _precedence(current.entry(), ""):
        _add_entry(agent, now, service, entry)


def _precedence(entry: messages.Entry, reporter: str) -> int:
    """Returns the precedence among placements of one flow; higher wins.

    In falling order: a running flow that its holder reports, a flow that
    ended after it may have run, a running flow that another host reports,
    and a refused placement.
    """
    if not entry.outcome:
        return 3 if entry.holder == reporter else 1
    return 0 if entry.outcome == messages.REFUSED else 2


def drop_unrefreshed(agent: state.AgentState, now: float) -> None:
    """Drops witness entries that no holder has refreshed in time."""
    limit = now - ENTRY_LIFETIME_WINDOWS * agent.window_s
    for flow in list(agent.directory.flows.values()):
        if (
            flow.state == directory.REMOTE
            and flow.changed_at <= limit
            and flow.slot not in flow.service.ownership.owned
        ):
            agent.directory.remove(flow)
