"""Handover of hash slots: queries, their answers, and fencing."""

from collections.abc import Callable

from crocusmux import messages
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import ownership
from crocusmux.core.flows import routing
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state
from crocusmux.core.flows import witness_entries

# Waiting messages are looked at again so often, for the lease and the limit
# on the wait of long flows.
RELEASE_INTERVAL_S = 0.1


class Handover:
    """Takes hash slots over from other owners and gives them up.

    Attributes:
        release_at: When waiting messages are looked at again; None if none
            waits.
    """

    __slots__ = ("_on_request", "_shared", "next_release_at")

    def __init__(
        self,
        shared: state.AgentState,
        on_flow: Callable[..., None],
    ) -> None:
        self._shared = shared
        self._on_request = on_flow
        self.next_release_at: float | None = None

    def apply_fence(
        self,
        now: float,
        service: service_state.AgentServiceState,
        slot: int,
        fence: ownership.Fence,
    ) -> None:
        """Ends this agent's ownership of a slot under a newer term."""
        lost = service.ownership.apply_fence(slot, fence)
        if lost is not None:
            for message, sender, _ in lost.queued_messages:
                routing.forward_request(
                    self._shared,
                    service,
                    fence.owner,
                    fence.term[1],
                    message,
                    sender,
                )

    def on_query(
        self,
        now: float,
        service: service_state.AgentServiceState,
        msg: messages.SlotQuery,
        sender: state.Address,
    ) -> None:
        """Fences lower terms and reports the entries of the slots."""
        if not service.is_member:
            return
        if msg.owner not in service.live_hosts and service.epoch >= msg.epoch:
            return
        term = (msg.epoch, msg.rank)
        entries: dict[int, list[flow_directory.Flow]] = {}
        complete = []
        for slot in msg.hash_slots:
            if not 0 <= slot < service.table.hash_slots:
                continue
            fence = service.ownership.newer_fence(slot, term)
            if fence is not None:
                number = slot.to_bytes(ownership.SLOT_BYTES, "little")
                self._shared.send(
                    sender,
                    messages.Fenced(
                        service.key, number, 0, *fence.term, fence.owner
                    ),
                )
                continue
            owned = service.ownership.owned.get(slot)
            if owned is not None and owned.serves_all:
                complete.append(slot)
            self.apply_fence(
                now, service, slot, ownership.Fence(term, msg.owner)
            )
            entries[slot] = list(
                self._shared.directory.flows_of_slot(service.key, slot)
            )
        for report in ownership.make_reports(
            msg,
            self._shared.host,
            entries,
            complete,
            service.is_new_member(now, self._shared.retransmit_window_s),
            now < service.recovering_until,
        ):
            self._shared.send(sender, report)

    def on_report(
        self,
        now: float,
        service: service_state.AgentServiceState,
        msg: messages.SlotReport,
        sender: state.Address,
    ) -> None:
        """Takes the entries of a member and counts its answer."""
        if service.host_by_address.get(sender) != msg.host:
            return
        for entry in msg.entries:
            witness_entries.merge_reported_entry(
                self._shared, now, service, entry, msg
            )
        answered = [
            s for s in msg.hash_slots if service.ownership.record_report(s, msg)
        ]
        self.update_slots(now, service, answered)

    def update_slots(
        self,
        now: float,
        service: service_state.AgentServiceState,
        numbers: list[int],
    ) -> None:
        """Releases the waiting messages of slots that can serve now."""
        own = service.ownership
        hosts = set(service.members)
        suspected = hosts & set(self._shared.suspected_since)
        gone = hosts - service.live_hosts
        me = self._shared.host
        copies = service.config.copies if service.config else 1
        for slot in numbers:
            owned = own.owned.get(slot)
            if owned is None:
                continue
            if me in hosts and me not in owned.long_standing_hosts:
                owned.answered_hosts.add(me)
                if now >= service.recovering_until:
                    owned.complete_hosts.add(me)
                    if not service.is_new_member(
                        now, self._shared.retransmit_window_s
                    ):
                        owned.long_standing_hosts.add(me)
            silent = suspected | gone
            for rank in range(owned.term[1]):
                silent.add(service.table.owner(slot, rank) or "")
            ownership.update_readiness(owned, now, hosts, silent, copies)
            if (
                owned.serves_all
                and owned.serves_repeatable
                and hosts <= owned.answered_hosts
            ):
                own.unanswered_slots.discard(slot)
            if owned.queued_messages and (
                owned.serves_repeatable or owned.serves_all
            ):
                for message, sender, since in own.take_queued(now, owned):
                    self._on_request(now, service, message, sender, since)

    def after_request(
        self, now: float, service: service_state.AgentServiceState
    ) -> None:
        """Sends the query of a takeover that a request has started."""
        own = service.ownership
        if own.next_query_at == now:
            self.update_slots(now, service, list(own.unanswered_slots))
            self.send_queries(now, False)
        if own.queued_count and self.next_release_at is None:
            self.next_release_at = now + RELEASE_INTERVAL_S

    def send_queries(self, now: float, again: bool) -> None:
        """Sends the queries that are due."""
        for service in self._shared.services.values():
            own = service.ownership
            if own.next_query_at is None or own.next_query_at > now:
                continue
            hosts = service.members
            for host, query in own.make_queries(now, hosts, again):
                self._shared.send_to_host(
                    service, host, _with_service(query, service.key)
                )
            self.update_slots(now, service, list(own.unanswered_slots))
            if own.queued_count and self.next_release_at is None:
                self.next_release_at = now + RELEASE_INTERVAL_S

    def release_queued(self, now: float) -> None:
        """Looks again at the messages that wait for their slot."""
        self.next_release_at = None
        for service in self._shared.services.values():
            own = service.ownership
            if not own.queued_count:
                continue
            numbers = [s for s, o in own.owned.items() if o.queued_messages]
            self.update_slots(now, service, numbers)
            if own.queued_count:
                self.next_release_at = now + RELEASE_INTERVAL_S


def _with_service(query: messages.SlotQuery, key: int) -> messages.SlotQuery:
    return messages.SlotQuery(
        key, query.epoch, query.rank, query.owner, query.hash_slots
    )
