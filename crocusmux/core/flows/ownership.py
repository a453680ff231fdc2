"""Ownership of hash slots: terms, fences, queries and their answers.

A term is ``(epoch, rank)``.  Rank modulo the number of ranked members is the
owner's place among the slot's ranked owners, so no two members ever use the
same term.  An owner keeps its term across memberships until it is fenced or
too few members are left that knew the term's epoch; a handover costs queries
only for slots that move.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping, Set
import random
from typing import Any

import msgspec

from crocusmux import messages
from crocusmux.core.flows import flow_directory
from crocusmux.core.load import retry

Term = tuple[int, int]

# Repetition of unanswered queries, seconds.
QUERY_BASE_S = 0.05
QUERY_LIMIT_S = 5.0
# Repetitions after which members that are not needed are left alone.
MAX_QUERY_ROUNDS = 10
# Long and idempotent flows wait no longer than this for silent members.
SILENT_MEMBER_TIMEOUT_S = 1.0
# Messages that wait for one slot, and for all slots of a service.
MAX_QUEUED_PER_SLOT = 64
MAX_QUEUED = 4096
# A message that waited longer could outlive the tombstone of its copy.
MAX_QUEUE_TIME_S = 10.0
# Bounds of one datagram: hash slots of a query, entries of a report.
MAX_SLOTS_PER_QUERY = 256
MAX_ENTRIES_PER_REPORT = 10
MAX_SLOTS_PER_REPORT = 200
# A Fenced that answers a query carries the slot's number as its flow.
SLOT_BYTES = 4


class OwnedSlot:
    """A hash slot that this agent owns or is about to own.

    Attributes:
        term: The owner's term.
        since: Time at which the query began.
        answered: Hosts that answered in full.
        counted: Those whose memory is whole.
        elders: Those that were members for the whole retransmit window.
        parts: Parts of reports that are still incomplete, by host.
        usable: True once long and idempotent flows may be placed.
        complete: True once non-idempotent flows may be placed.
        waiting: Messages of unknown flows, with sender and time.
    """

    __slots__ = (
        "answered_hosts",
        "complete_hosts",
        "long_standing_hosts",
        "partial_reports",
        "query_started_at",
        "queued_messages",
        "serves_all",
        "serves_repeatable",
        "term",
    )

    def __init__(self, now: float, term: Term) -> None:
        self.term = term
        self.query_started_at = now
        self.answered_hosts: set[str] = set()
        self.complete_hosts: set[str] = set()
        self.long_standing_hosts: set[str] = set()
        self.partial_reports: dict[str, tuple[int, set[int]]] = {}
        self.serves_repeatable = False
        self.serves_all = False
        self.queued_messages: deque[tuple[Any, Any, float]] = deque()


class Fence(msgspec.Struct, frozen=True, gc=False):
    """The newest term that a member knows for a hash slot."""

    term: Term
    owner: str


class Ownership:
    """Terms and fences of one service's hash slots on one agent.

    Attributes:
        owned: Slots that this agent owns or queries.
        fences: Newest term seen of each slot.
        open: Slots whose query is not answered by all members.
        query_at: When unanswered queries are repeated; None if none is.
        waiting: Messages that wait, over all slots.
    """

    __slots__ = (
        "_host",
        "_rng",
        "fences",
        "next_query_at",
        "owned",
        "query_rounds",
        "queued_count",
        "unanswered_slots",
    )

    def __init__(self, host: str, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self.owned: dict[int, OwnedSlot] = {}
        self.fences: dict[int, Fence] = {}
        self.unanswered_slots: set[int] = set()
        self.next_query_at: float | None = None
        self.query_rounds = 0
        self.queued_count = 0

    def start_takeover(self, now: float, slot: int, term: Term) -> OwnedSlot:
        """Starts the query by which this agent takes a slot over."""
        owned = OwnedSlot(now, term)
        old = self.owned.get(slot)
        if old is not None:
            owned.queued_messages = old.queued_messages
        self.owned[slot] = owned
        self.fences[slot] = Fence(term, self._host)
        self.unanswered_slots.add(slot)
        self.query_rounds = 0
        self.next_query_at = now
        return owned

    def apply_fence(self, slot: int, fence: Fence) -> OwnedSlot | None:
        """Notes a newer term; returns the ownership that ends by it."""
        known = self.fences.get(slot)
        if known is not None and known.term >= fence.term:
            return None
        self.fences[slot] = fence
        self.unanswered_slots.discard(slot)
        lost = self.owned.pop(slot, None)
        if lost is not None:
            self.queued_count -= len(lost.queued_messages)
        return lost

    def newer_fence(self, slot: int, term: Term) -> Fence | None:
        """Returns the fence that refuses a term, or None if it may act."""
        known = self.fences.get(slot)
        return known if known is not None and known.term > term else None

    def queue_message(
        self, since: float, slot: int, message: Any, sender: Any
    ) -> bool:
        """Queues a message that came at ``since`` until its slot can serve.

        Returns:
            False if the queue is full and the message is dropped.
        """
        waiting = self.owned[slot].queued_messages
        if (
            len(waiting) >= MAX_QUEUED_PER_SLOT
            or self.queued_count >= MAX_QUEUED
        ):
            return False
        waiting.append((message, sender, since))
        self.queued_count += 1
        return True

    def take_queued(
        self, now: float, owned: OwnedSlot
    ) -> list[tuple[Any, Any, float]]:
        """Empties a slot's queue; drops what has waited too long."""
        items = list(owned.queued_messages)
        owned.queued_messages.clear()
        self.queued_count -= len(items)
        return [item for item in items if now - item[2] < MAX_QUEUE_TIME_S]

    def make_queries(
        self, now: float, hosts: Collection[str], again: bool
    ) -> list[tuple[str, messages.SlotQuery]]:
        """Returns the queries that are due, and sets the time of the next.

        Args:
            now: Time in seconds.
            hosts: All members, those removed lately included.
            again: True if this is a repetition.

        Returns:
            Pairs of receiver and query.  The service key is 0 in them.
        """
        batches: dict[tuple[str, Term], list[int]] = {}
        for slot in sorted(self.unanswered_slots):
            owned = self.owned[slot]
            for host in hosts:
                # A member that answered while young or recovering is asked
                # again, as its word may count by now.
                known = host in owned.answered_hosts and (
                    owned.serves_all or host in owned.long_standing_hosts
                )
                if not known and host != self._host:
                    batches.setdefault((host, owned.term), []).append(slot)
        self.query_rounds = self.query_rounds + 1 if again else 1
        if self.query_rounds >= MAX_QUERY_ROUNDS:
            self.unanswered_slots = {
                s for s in self.unanswered_slots if not self.owned[s].serves_all
            }
        self.next_query_at = None
        if self.unanswered_slots:
            self.next_query_at = now + retry.backoff(
                self._rng, self.query_rounds, QUERY_BASE_S, QUERY_LIMIT_S
            )
        return [
            (host, messages.SlotQuery(0, *term, self._host, tuple(part)))
            for (host, term), numbers in sorted(batches.items())
            for part in _chunks(numbers, MAX_SLOTS_PER_QUERY)
        ]

    def record_report(self, slot: int, report: messages.SlotReport) -> bool:
        """Counts one part of a report; returns True if the slot is answered.

        Entries are assigned to parts by the hash of their flow, so a
        repeated report has each entry in the same part as before.
        """
        owned = self.owned.get(slot)
        term = (report.epoch, report.rank)
        if owned is None or owned.term != term:
            return False
        host = report.host
        if report.parts > 1:
            count, got = owned.partial_reports.get(host, (report.parts, set()))
            if count != report.parts:
                count, got = report.parts, set()
            got.add(report.part)
            owned.partial_reports[host] = (count, got)
            if len(got) < count:
                return False
            del owned.partial_reports[host]
        owned.answered_hosts.add(host)
        if not report.recovering:
            owned.complete_hosts.add(host)
            if not report.young:
                owned.long_standing_hosts.add(host)
        return True


def update_readiness(
    owned: OwnedSlot,
    now: float,
    hosts: Set[str],
    silent: Set[str],
    copies: int,
) -> None:
    """Decides whether a queried slot may serve.

    An entry made while the service had fewer than ``copies`` members has
    fewer copies, so as many members as ``copies`` must have been there for
    the whole retransmit window before one silent member may be passed over.

    Args:
        owned: The slot; ``usable`` and ``complete`` are set.
        now: Time in seconds.
        hosts: All members, those removed lately included.
        silent: Members from which no answer is expected.
        copies: Members that know a non-idempotent flow before it runs.
    """
    if not owned.serves_repeatable:
        owned.serves_repeatable = (
            hosts - owned.answered_hosts <= silent
            or now - owned.query_started_at >= SILENT_MEMBER_TIMEOUT_S
        )
    if not owned.serves_all:
        least = max(1, min(copies, len(owned.long_standing_hosts)))
        counted = len(hosts & owned.complete_hosts)
        owned.serves_all = counted >= len(hosts) - least + 1


def make_reports(
    query: messages.SlotQuery,
    host: str,
    entries: Mapping[int, list[flow_directory.Flow]],
    complete: Iterable[int],
    young: bool,
    recovering: bool,
) -> list[messages.SlotReport]:
    """Returns the answer to a query in parts that fit a datagram.

    Args:
        query: The query.
        host: Host that answers.
        entries: Entries of each queried slot that is answered.
        complete: Slots of which the answerer was the complete owner.
        young: The answerer has not been a member for the window.
        recovering: The answerer may have lost entries.
    """
    whole = frozenset(complete)
    reports: list[messages.SlotReport] = []

    def report(
        slots: list[int],
        flows: list[flow_directory.Flow],
        part: int,
        parts: int,
    ) -> None:
        reports.append(
            messages.SlotReport(
                query.service,
                query.epoch,
                query.rank,
                host,
                tuple(slots),
                tuple(s for s in slots if s in whole),
                tuple(flow.entry() for flow in flows),
                part,
                parts,
                young,
                recovering,
            )
        )

    slots: list[int] = []
    flows: list[flow_directory.Flow] = []
    for slot, found in entries.items():
        if len(found) > MAX_ENTRIES_PER_REPORT:
            for part, some in enumerate(_split_by_flow_hash(found)):
                report(
                    [slot], some, part, -(-len(found) // MAX_ENTRIES_PER_REPORT)
                )
            continue
        if len(flows) + len(found) > MAX_ENTRIES_PER_REPORT or (
            len(slots) >= MAX_SLOTS_PER_REPORT
        ):
            report(slots, flows, 0, 1)
            slots, flows = [], []
        slots.append(slot)
        flows += found
    if slots:
        report(slots, flows, 0, 1)
    return reports


def _split_by_flow_hash(
    found: list[flow_directory.Flow],
) -> list[list[flow_directory.Flow]]:
    """Divides the entries of one slot into parts by their flow's hash."""
    parts = -(-len(found) // MAX_ENTRIES_PER_REPORT)
    result: list[list[flow_directory.Flow]] = [[] for _ in range(parts)]
    for flow in found:
        result[flow_directory.part_hash(flow.id) % parts].append(flow)
    return result


def _chunks(numbers: list[int], size: int) -> list[list[int]]:
    return [numbers[i : i + size] for i in range(0, len(numbers), size)]
