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
RELEASE_EVERY_S = 0.1


class Handover:
    """Takes hash slots over from other owners and gives them up.

    Attributes:
        release_at: When waiting messages are looked at again; None if none
            waits.
    """

    __slots__ = ("_on_flow", "_s", "release_at")

    def __init__(
        self,
        shared: state.AgentState,
        on_flow: Callable[..., None],
    ) -> None:
        self._s = shared
        self._on_flow = on_flow
        self.release_at: float | None = None

    def fence(
        self,
        now: float,
        svc: service_state.AgentServiceState,
        slot: int,
        fence: ownership.Fence,
    ) -> None:
        """Ends this agent's ownership of a slot under a newer term."""
        lost = svc.ownership.fence(slot, fence)
        if lost is not None:
            for message, sender, _ in lost.waiting:
                routing.forward(
                    self._s, svc, fence.owner, fence.term[1], message, sender
                )

    def on_query(
        self,
        now: float,
        svc: service_state.AgentServiceState,
        msg: messages.SlotQuery,
        sender: state.Address,
    ) -> None:
        """Fences lower terms and reports the entries of the slots."""
        if not svc.is_member:
            return
        if msg.owner not in svc.live and svc.epoch >= msg.epoch:
            return
        term = (msg.epoch, msg.rank)
        entries: dict[int, list[flow_directory.Flow]] = {}
        complete = []
        for slot in msg.hash_slots:
            if not 0 <= slot < svc.table.hash_slots:
                continue
            fence = svc.ownership.passed(slot, term)
            if fence is not None:
                number = slot.to_bytes(ownership.SLOT_BYTES, "little")
                self._s.send(
                    sender,
                    messages.Fenced(
                        svc.key, number, 0, *fence.term, fence.owner
                    ),
                )
                continue
            owned = svc.ownership.owned.get(slot)
            if owned is not None and owned.complete:
                complete.append(slot)
            self.fence(now, svc, slot, ownership.Fence(term, msg.owner))
            entries[slot] = list(self._s.directory.of_slot(svc.key, slot))
        for report in ownership.make_reports(
            msg,
            self._s.host,
            entries,
            complete,
            svc.young(now, self._s.window),
            now < svc.recovering_until,
        ):
            self._s.send(sender, report)

    def on_report(
        self,
        now: float,
        svc: service_state.AgentServiceState,
        msg: messages.SlotReport,
        sender: state.Address,
    ) -> None:
        """Takes the entries of a member and counts its answer."""
        if svc.hosts.get(sender) != msg.host:
            return
        for entry in msg.entries:
            witness_entries.merge(self._s, now, svc, entry, msg)
        answered = [s for s in msg.hash_slots if svc.ownership.answer(s, msg)]
        self.judge(now, svc, answered)

    def judge(
        self,
        now: float,
        svc: service_state.AgentServiceState,
        numbers: list[int],
    ) -> None:
        """Releases the waiting messages of slots that can serve now."""
        own = svc.ownership
        hosts = set(svc.members)
        suspected = hosts & set(self._s.suspected)
        gone = hosts - svc.live
        me = self._s.host
        copies = svc.cfg.copies if svc.cfg else 1
        for slot in numbers:
            owned = own.owned.get(slot)
            if owned is None:
                continue
            if me in hosts and me not in owned.elders:
                owned.answered.add(me)
                if now >= svc.recovering_until:
                    owned.counted.add(me)
                    if not svc.young(now, self._s.window):
                        owned.elders.add(me)
            silent = suspected | gone
            for rank in range(owned.term[1]):
                silent.add(svc.table.owner(slot, rank) or "")
            ownership.judge(owned, now, hosts, silent, copies)
            if owned.complete and owned.usable and hosts <= owned.answered:
                own.open.discard(slot)
            if owned.waiting and (owned.usable or owned.complete):
                for message, sender, since in own.take_waiting(now, owned):
                    self._on_flow(now, svc, message, sender, since)

    def after_request(
        self, now: float, svc: service_state.AgentServiceState
    ) -> None:
        """Sends the query of a takeover that a request has started."""
        own = svc.ownership
        if own.query_at == now:
            self.judge(now, svc, list(own.open))
            self.send_queries(now, False)
        if own.waiting and self.release_at is None:
            self.release_at = now + RELEASE_EVERY_S

    def send_queries(self, now: float, again: bool) -> None:
        """Sends the queries that are due."""
        for svc in self._s.services.values():
            own = svc.ownership
            if own.query_at is None or own.query_at > now:
                continue
            hosts = svc.members
            for host, query in own.queries(now, hosts, again):
                self._s.send_host(svc, host, _with_service(query, svc.key))
            self.judge(now, svc, list(own.open))
            if own.waiting and self.release_at is None:
                self.release_at = now + RELEASE_EVERY_S

    def release(self, now: float) -> None:
        """Looks again at the messages that wait for their slot."""
        self.release_at = None
        for svc in self._s.services.values():
            own = svc.ownership
            if not own.waiting:
                continue
            numbers = [s for s, o in own.owned.items() if o.waiting]
            self.judge(now, svc, numbers)
            if own.waiting:
                self.release_at = now + RELEASE_EVERY_S


def _with_service(query: messages.SlotQuery, key: int) -> messages.SlotQuery:
    return messages.SlotQuery(
        key, query.epoch, query.rank, query.owner, query.hash_slots
    )
