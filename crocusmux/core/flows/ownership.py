"""Ownership of hash slots: terms, fences, slot queries and slot reports.

A term is ``(epoch, rank)``.  Rank modulo the number of ranked members is the
owner's position among the slot's ranked owners, so no two members ever use
the same term.  An owner keeps its term across memberships until it is fenced
or too few members remain that had joined by the term's epoch; a handover
queries only the slots that move.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping, Set
import random
from typing import Any

import msgspec

from crocusmux import messages
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.load import retry

Term = tuple[int, int]

# Backoff between rounds of unanswered queries, in seconds.
QUERY_BASE_S = 0.05
QUERY_LIMIT_S = 5.0
# Query rounds after which only slots that do not serve yet are queried.
MAX_QUERY_ROUNDS = 10
# Long and idempotent flows wait at most this time for silent members.
SILENT_MEMBER_TIMEOUT_S = 1.0
# Messages queued for one slot, and for all slots of a service.
MAX_QUEUED_PER_SLOT = 64
MAX_QUEUED = 4096
# A message queued longer could outlive the tombstone of its duplicate.
MAX_QUEUE_TIME_S = 10.0
# Limits that keep queries and reports within one datagram.
MAX_SLOTS_PER_QUERY = 256
MAX_ENTRIES_PER_REPORT = 10
MAX_SLOTS_PER_REPORT = 200
# A ``Fenced`` that answers a query carries the slot number in ``flow``.
SLOT_BYTES = 4


class OwnedSlot:
    """A hash slot that this agent owns or takes over.

    Attributes:
        term: The owner's term.
        query_started_at: Time at which the slot query started.
        answered_hosts: Hosts that reported all their entries.
        complete_hosts: Answered hosts that have not lost entries.
        long_standing_hosts: Complete hosts, members for the whole window.
        partial_reports: Number of parts, and parts received, by host.
        serves_repeatable: True once long and idempotent flows may be placed.
        serves_all: True once non-idempotent flows may be placed too.
        queue: Messages of unknown flows, with sender and time of arrival.
    """

    __slots__ = (
        "answered_hosts",
        "complete_hosts",
        "long_standing_hosts",
        "partial_reports",
        "query_started_at",
        "queue",
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
        self.queue: deque[tuple[Any, Any, float]] = deque()


class Fence(msgspec.Struct, frozen=True, gc=False):
    """Newest term that a member knows for a hash slot, and its owner."""

    term: Term
    owner: str


class Ownership:
    """Terms and fences of one service's hash slots on one agent.

    Attributes:
        owned: Slots that this agent owns or takes over.
        fences: Newest term seen of each slot.
        unanswered: Slots whose query some members have not answered.
        query_at: Time of the next query round; None if none is needed.
        query_rounds: Query rounds since the last takeover began.
        queued_count: Queued messages of all slots.
    """

    __slots__ = (
        "_host",
        "_rng",
        "fences",
        "owned",
        "query_at",
        "query_rounds",
        "queued_count",
        "unanswered",
    )

    def __init__(self, host: str, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self.owned: dict[int, OwnedSlot] = {}
        self.fences: dict[int, Fence] = {}
        self.unanswered: set[int] = set()
        self.query_at: float | None = None
        self.query_rounds = 0
        self.queued_count = 0

    def start_takeover(self, now: float, slot: int, term: Term) -> OwnedSlot:
        """Starts the slot query by which this agent takes a slot over."""
        owned = OwnedSlot(now, term)
        old_slot = self.owned.get(slot)
        if old_slot is not None:
            owned.queue = old_slot.queue
        self.owned[slot] = owned
        self.fences[slot] = Fence(term, self._host)
        self.unanswered.add(slot)
        self.query_rounds = 0
        self.query_at = now
        return owned

    def apply_fence(self, slot: int, fence: Fence) -> OwnedSlot | None:
        """Records a newer term; returns the owned slot that it ends, if any."""
        known_fence = self.fences.get(slot)
        if known_fence is not None and known_fence.term >= fence.term:
            return None
        self.fences[slot] = fence
        self.unanswered.discard(slot)
        lost_slot = self.owned.pop(slot, None)
        if lost_slot is not None:
            self.queued_count -= len(lost_slot.queue)
        return lost_slot

    def newer_fence(self, slot: int, term: Term) -> Fence | None:
        """Returns the fence with a newer term than ``term``, or None."""
        fence = self.fences.get(slot)
        return fence if fence is not None and fence.term > term else None

    def queue_message(
        self, arrived_at: float, slot: int, message: Any, sender: Any
    ) -> bool:
        """Queues a message that arrived at ``arrived_at`` until its slot serves.

        Returns:
            False if the queue is full and the message is dropped.
        """
        queue = self.owned[slot].queue
        if len(queue) >= MAX_QUEUED_PER_SLOT or self.queued_count >= MAX_QUEUED:
            return False
        queue.append((message, sender, arrived_at))
        self.queued_count += 1
        return True

    def take_queued(
        self, now: float, owned: OwnedSlot
    ) -> list[tuple[Any, Any, float]]:
        """Empties a slot's queue and returns the messages not yet expired."""
        queued = list(owned.queue)
        owned.queue.clear()
        self.queued_count -= len(queued)
        return [item for item in queued if now - item[2] < MAX_QUEUE_TIME_S]

    def make_queries(
        self, now: float, hosts: Collection[str], again: bool
    ) -> list[tuple[str, messages.SlotQuery]]:
        """Returns the queries of this round and schedules the next round.

        Args:
            now: Time in seconds.
            hosts: All members, including recently removed ones.
            again: True for a round that repeats unanswered queries.

        Returns:
            Pairs of receiver and query; the service key in the queries is 0.
        """
        batches: dict[tuple[str, Term], list[int]] = {}
        for slot in sorted(self.unanswered):
            owned = self.owned[slot]
            for host in hosts:
                # The first report of a new or recovering member does not
                # count as complete; a later one may.
                is_answered = host in owned.answered_hosts and (
                    owned.serves_all or host in owned.long_standing_hosts
                )
                if not is_answered and host != self._host:
                    batches.setdefault((host, owned.term), []).append(slot)
        self.query_rounds = self.query_rounds + 1 if again else 1
        if self.query_rounds >= MAX_QUERY_ROUNDS:
            self.unanswered = {
                s for s in self.unanswered if not self.owned[s].serves_all
            }
        self.query_at = None
        if self.unanswered:
            self.query_at = now + retry.backoff(
                self._rng, self.query_rounds, QUERY_BASE_S, QUERY_LIMIT_S
            )
        return [
            (host, messages.SlotQuery(0, *term, self._host, tuple(part)))
            for (host, term), slot_numbers in sorted(batches.items())
            for part in _chunks(slot_numbers, MAX_SLOTS_PER_QUERY)
        ]

    def record_report(self, slot: int, report: messages.SlotReport) -> bool:
        """Records one part of a report; returns True if all have arrived.

        The flow's hash assigns each entry to a part, so a retransmitted
        report has each entry in the same part as before.
        """
        owned = self.owned.get(slot)
        term = (report.epoch, report.rank)
        if owned is None or owned.term != term:
            return False
        host = report.host
        if report.parts > 1:
            part_count, received_parts = owned.partial_reports.get(
                host, (report.parts, set())
            )
            if part_count != report.parts:
                part_count, received_parts = report.parts, set()
            received_parts.add(report.part)
            owned.partial_reports[host] = (part_count, received_parts)
            if len(received_parts) < part_count:
                return False
            del owned.partial_reports[host]
        owned.answered_hosts.add(host)
        if not report.recovering:
            owned.complete_hosts.add(host)
            if not report.young:
                owned.long_standing_hosts.add(host)
        return True


def update_readiness(
    owned: OwnedSlot, now: float, hosts: Set[str], silent: Set[str], copies: int
) -> None:
    """Sets ``serves_repeatable`` and ``serves_all`` of a queried slot.

    An entry made while the service had fewer than ``copies`` members has
    fewer copies.  So one silent member may be skipped only if ``copies``
    members have been there for the whole retransmit window.

    Args:
        owned: The slot.
        now: Time in seconds.
        hosts: All members, including recently removed ones.
        silent: Members from which no report is expected.
        copies: Members that know a non-idempotent flow before it runs.
    """
    if not owned.serves_repeatable:
        owned.serves_repeatable = (
            hosts - owned.answered_hosts <= silent
            or now - owned.query_started_at >= SILENT_MEMBER_TIMEOUT_S
        )
    if not owned.serves_all:
        min_copies = max(1, min(copies, len(owned.long_standing_hosts)))
        complete_count = len(hosts & owned.complete_hosts)
        owned.serves_all = complete_count >= len(hosts) - min_copies + 1


def make_reports(
    query: messages.SlotQuery,
    host: str,
    entries: Mapping[int, list[directory.Flow]],
    complete: Iterable[int],
    young: bool,
    recovering: bool,
) -> list[messages.SlotReport]:
    """Returns the reports that answer a query, each within one datagram.

    Args:
        query: The query.
        host: Host of this agent.
        entries: Entries of each reported slot.
        complete: Slots that this agent owned with ``serves_all`` set.
        young: True if this agent was not a member for the whole window.
        recovering: True if this agent may have lost entries.
    """
    complete_slots = frozenset(complete)
    reports: list[messages.SlotReport] = []

    def add_report(
        slots: list[int], flows: list[directory.Flow], part: int, parts: int
    ) -> None:
        reports.append(
            messages.SlotReport(
                query.service,
                query.epoch,
                query.rank,
                host,
                tuple(slots),
                tuple(s for s in slots if s in complete_slots),
                tuple(flow.entry() for flow in flows),
                part,
                parts,
                young,
                recovering,
            )
        )

    slots: list[int] = []
    flows: list[directory.Flow] = []
    for slot, slot_flows in entries.items():
        if len(slot_flows) > MAX_ENTRIES_PER_REPORT:
            for part, part_flows in enumerate(_split_by_hash(slot_flows)):
                add_report(
                    [slot],
                    part_flows,
                    part,
                    -(-len(slot_flows) // MAX_ENTRIES_PER_REPORT),
                )
            continue
        if len(flows) + len(slot_flows) > MAX_ENTRIES_PER_REPORT or (
            len(slots) >= MAX_SLOTS_PER_REPORT
        ):
            add_report(slots, flows, 0, 1)
            slots, flows = [], []
        slots.append(slot)
        flows += slot_flows
    if slots:
        add_report(slots, flows, 0, 1)
    return reports


def _split_by_hash(flows: list[directory.Flow]) -> list[list[directory.Flow]]:
    """Divides the entries of one slot into parts by the hash of the flow."""
    parts = -(-len(flows) // MAX_ENTRIES_PER_REPORT)
    result: list[list[directory.Flow]] = [[] for _ in range(parts)]
    for flow in flows:
        result[directory.part_hash(flow.id) % parts].append(flow)
    return result


def _chunks(numbers: list[int], size: int) -> list[list[int]]:
    return [numbers[i : i + size] for i in range(0, len(numbers), size)]
