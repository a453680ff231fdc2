"""Handover of hash slots between owners: queries, reports and fencing."""

from collections.abc import Callable

from crocusmux import messages
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import ownership
from crocusmux.core.flows import routing
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state
from crocusmux.core.flows import witness_entries

# Interval between checks of queued messages while a slot does not serve: the
# lease and SILENT_MEMBER_TIMEOUT_S change the result without a message.
RELEASE_INTERVAL_S = 0.1


class Handover:
    """Takes over hash slots from other owners and hands them over.

    Attributes:
        release_at: Time of the next check of queued messages, or None.
    """

    __slots__ = ("_agent", "_on_request", "release_at")

    def __init__(
        self, agent: state.AgentState, on_request: Callable[..., None]
    ) -> None:
        self._agent = agent
        self._on_request = on_request
        self.release_at: float | None = None

    def apply_fence(
        self,
        now: float,
        service: service_state.AgentService,
        slot: int,
        fence: ownership.Fence,
    ) -> None:
        """Applies a newer term; forwards queued messages if a slot is lost."""
        lost = service.ownership.apply_fence(slot, fence)
        if lost is not None:
            for message, sender, _ in lost.queue:
                routing.forward(
                    self._agent,
                    service,
                    fence.owner,
                    fence.term[1],
                    message,
                    sender,
                )

    def on_query(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.SlotQuery,
        sender: state.Address,
    ) -> None:
        """Fences older terms and reports the entries of the queried slots."""
        if not service.is_member:
            return
        if msg.owner not in service.live_hosts and service.epoch >= msg.epoch:
            return
        term = (msg.epoch, msg.rank)
        entries: dict[int, list[directory.Flow]] = {}
        complete_slots = []
        for slot in msg.hash_slots:
            if not 0 <= slot < service.table.hash_slots:
                continue
            fence = service.ownership.newer_fence(slot, term)
            if fence is not None:
                encoded_slot = slot.to_bytes(ownership.SLOT_BYTES, "little")
                self._agent.send(
                    sender,
                    messages.Fenced(
                        service.key, encoded_slot, 0, *fence.term, fence.owner
                    ),
                )
                continue
            owned = service.ownership.owned.get(slot)
            if owned is not None and owned.serves_all:
                complete_slots.append(slot)
            self.apply_fence(
                now, service, slot, ownership.Fence(term, msg.owner)
            )
            entries[slot] = list(
                self._agent.directory.flows_of_slot(service.key, slot)
            )
        for report in ownership.make_reports(
            msg,
            self._agent.host,
            entries,
            complete_slots,
            service.is_new_member(now, self._agent.window_s),
            now < service.recovering_until,
        ):
            self._agent.send(sender, report)

    def on_report(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.SlotReport,
        sender: state.Address,
    ) -> None:
        """Merges the entries of a report and records that it arrived."""
        if service.host_by_address.get(sender) != msg.host:
            return
        for entry in msg.entries:
            witness_entries.merge_entry(self._agent, now, service, entry, msg)
        answered_slots = [
            s for s in msg.hash_slots if service.ownership.record_report(s, msg)
        ]
        self.update_slots(now, service, answered_slots)

    def update_slots(
        self,
        now: float,
        service: service_state.AgentService,
        slot_numbers: list[int],
    ) -> None:
        """Updates queried slots and handles the queued messages of those ready."""
        terms = service.ownership
        hosts = set(service.members)
        suspected_hosts = hosts & set(self._agent.suspected_since)
        removed_hosts = hosts - service.live_hosts
        own_host = self._agent.host
        copies = service.config.copies if service.config else 1
        for slot in slot_numbers:
            owned = terms.owned.get(slot)
            if owned is None:
                continue
            if own_host in hosts and own_host not in owned.long_standing_hosts:
                owned.answered_hosts.add(own_host)
                if now >= service.recovering_until:
                    owned.complete_hosts.add(own_host)
                    if not service.is_new_member(now, self._agent.window_s):
                        owned.long_standing_hosts.add(own_host)
            silent_hosts = suspected_hosts | removed_hosts
            for rank in range(owned.term[1]):
                silent_hosts.add(service.table.owner(slot, rank) or "")
            ownership.update_readiness(owned, now, hosts, silent_hosts, copies)
            if (
                owned.serves_all
                and owned.serves_repeatable
                and hosts <= owned.answered_hosts
            ):
                terms.unanswered.discard(slot)
            if owned.queue and (owned.serves_repeatable or owned.serves_all):
                for message, sender, since in terms.take_queued(now, owned):
                    self._on_request(now, service, message, sender, since)

    def after_request(
        self, now: float, service: service_state.AgentService
    ) -> None:
        """Sends the queries of a takeover that the request has started."""
        terms = service.ownership
        if terms.query_at == now:
            self.update_slots(now, service, list(terms.unanswered))
            self.send_queries(now, False)
        if terms.queued_count and self.release_at is None:
            self.release_at = now + RELEASE_INTERVAL_S

    def send_queries(self, now: float, again: bool) -> None:
        """Sends the queries of all services whose next round is due."""
        for service in self._agent.services.values():
            terms = service.ownership
            if terms.query_at is None or terms.query_at > now:
                continue
            hosts = service.members
            for host, query in terms.make_queries(now, hosts, again):
                self._agent.send_host(
                    service, host, _with_service(query, service.key)
                )
            self.update_slots(now, service, list(terms.unanswered))
            if terms.queued_count and self.release_at is None:
                self.release_at = now + RELEASE_INTERVAL_S

    def release_queued(self, now: float) -> None:
        """Checks whether slots with queued messages can serve now."""
        self.release_at = None
        for service in self._agent.services.values():
            terms = service.ownership
            if not terms.queued_count:
                continue
            numbers = [s for s, o in terms.owned.items() if o.queue]
            self.update_slots(now, service, numbers)
            if terms.queued_count:
                self.release_at = now + RELEASE_INTERVAL_S


def _with_service(query: messages.SlotQuery, key: int) -> messages.SlotQuery:
    return messages.SlotQuery(
        key, query.epoch, query.rank, query.owner, query.hash_slots
    )
