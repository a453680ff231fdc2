"""Flow directory: entries of the flows that an agent owns, holds or witnesses.

The entries of a hash slot form an intrusive linked list: a set for each slot
would take more memory than the entry of a flow when a service has more hash
slots than the agent has flows.
"""

from collections import deque
from collections.abc import Iterator
from typing import Any

import xxhash

from crocusmux import messages

# States of an entry.
PLACING = 0  # this owner waits for the holder or a witness
REMOTE = 1  # another member holds the flow
RESERVED = 2  # held here, no relay connection attached yet
QUEUED = 3  # held here, waiting for admission
RUNNING = 4  # held here, forwarded to the upstream
ENDED = 5  # tombstone

# Datagrams remembered for each non-idempotent UDP flow to detect duplicates.
MAX_SEEN_DATAGRAMS = 256


def part_hash(flow: bytes) -> int:
    """Returns the hash that assigns a flow to a part of a slot report."""
    # The low bits select the hash slot and are equal for all flows of a slot.
    return xxhash.xxh3_64_intdigest(flow) >> 32


class PendingPlacement:
    """State of an unanswered request about a flow: place, witness or closed.

    Attributes:
        payloads: Datagrams queued until the flow starts.
        missing_acks: Witness acknowledgements still needed.
        awaited_hosts: Hosts that have not answered the request.
        last_holder_only: True if only the flow's last holder may run it.
        admitted: True once admission allows the flow to run.
        attached: True once a relay connection waits for the flow to start.
        transmissions: Transmissions of the current request so far.
        retransmit_at: Time of the next transmission.
        retry_ms: Retry advice to the caller if the flow is refused, in ms.
        attempt: Number of the placement attempt, from 1.
        request: The ``Open`` or ``Packet`` that opened the flow.
        sender: Address that sent ``request``.
        deadline: Time after which the flow must not start; 0 for none.
        term: Term of the owner that places the flow.
    """

    __slots__ = (
        "admitted",
        "attached",
        "attempt",
        "awaited_hosts",
        "deadline",
        "last_holder_only",
        "missing_acks",
        "payloads",
        "request",
        "retransmit_at",
        "retry_ms",
        "sender",
        "term",
        "transmissions",
    )

    def __init__(self, request: Any, sender: Any, deadline: float) -> None:
        self.payloads: list[bytes] = []
        self.missing_acks = 0
        self.awaited_hosts: set[str] = set()
        self.last_holder_only = False
        self.admitted = False
        self.attached = False
        self.transmissions = 0
        self.retransmit_at = 0.0
        self.retry_ms = 0
        self.attempt = 1
        self.request = request
        self.sender = sender
        self.deadline = deadline
        self.term = (0, 0)


class Flow:
    """Entry of one flow.

    Attributes:
        id: Flow id.
        service: State of the flow's service.
        slot: Hash slot.
        incarnation: Placement incarnation.
        holder: Host of the holder.
        upstream: Name of the upstream.
        state: ``PLACING``, ``REMOTE``, ``RESERVED``, ``QUEUED``,
            ``RUNNING`` or ``ENDED``.
        outcome: Outcome of an ended flow.
        reason: Reason of a refusal.
        balancer: Address of the balancer that sent the last packet.
        changed_at: Time of the last state change or refresh.
        witnesses: Other hosts that were asked to keep the entry.
        owner: Host that placed the flow here; empty if this agent did.
        seen_at: Arrival time of each datagram of a non-idempotent UDP
            flow, by the hash of its payload.
        pending: Unanswered request about the flow, if any.
        previous: Previous entry of the hash slot.
        next: Next entry of the hash slot.
    """

    __slots__ = (
        "balancer",
        "changed_at",
        "holder",
        "id",
        "incarnation",
        "next",
        "outcome",
        "owner",
        "pending",
        "previous",
        "reason",
        "seen_at",
        "service",
        "slot",
        "state",
        "upstream",
        "witnesses",
    )

    def __init__(
        self, flow: bytes, service: Any, slot: int, incarnation: int
    ) -> None:
        self.id = flow
        self.service = service
        self.slot = slot
        self.incarnation = incarnation
        self.holder = ""
        self.upstream = ""
        self.state = PLACING
        self.outcome = ""
        self.reason = ""
        self.balancer: tuple[str, int] | None = None
        self.changed_at = 0.0
        self.witnesses: tuple[str, ...] = ()
        self.owner = ""
        self.seen_at: dict[int, float] | None = None
        self.pending: PendingPlacement | None = None
        self.previous: Flow | None = None
        self.next: Flow | None = None

    @property
    def is_udp(self) -> bool:
        """True for a UDP flow."""
        return self.id[:1] == messages.FLOW_UDP

    def entry(self) -> messages.Entry:
        """Returns the entry as sent to peers."""
        return messages.Entry(
            self.id, self.incarnation, self.holder, self.upstream, self.outcome
        )

    def is_duplicate(self, now: float, payload: bytes, window: float) -> bool:
        """Records a datagram; returns True for a duplicate within the window.

        Only non-idempotent UDP flows record datagrams: the network may
        duplicate a datagram, but the upstream must receive it once.
        """
        if self.seen_at is None:
            return False
        digest = xxhash.xxh3_64_intdigest(payload)
        at = self.seen_at.get(digest)
        if at is not None and now - at < window:
            return True
        self.seen_at.pop(digest, None)
        self.seen_at[digest] = now
        if len(self.seen_at) > MAX_SEEN_DATAGRAMS:
            del self.seen_at[next(iter(self.seen_at))]
        return False


class FlowDirectory:
    """All entries of an agent, by flow id and by hash slot.

    Attributes:
        flows: Entries by flow id.
    """

    __slots__ = ("_heads", "_tombstones", "flows")

    def __init__(self) -> None:
        self.flows: dict[bytes, Flow] = {}
        self._heads: dict[tuple[int, int], Flow] = {}
        self._tombstones: deque[tuple[float, Flow]] = deque()

    def add(self, flow: Flow) -> None:
        """Adds an entry, replacing an earlier entry of the same flow."""
        old = self.flows.get(flow.id)
        if old is not None:
            self.remove(old)
        self.flows[flow.id] = flow
        key = (flow.service.key, flow.slot)
        head = self._heads.get(key)
        flow.previous, flow.next = None, head
        if head is not None:
            head.previous = flow
        self._heads[key] = flow

    def remove(self, flow: Flow) -> None:
        """Removes an entry; does nothing if it was replaced or removed."""
        if self.flows.get(flow.id) is not flow:
            return
        del self.flows[flow.id]
        if flow.next is not None:
            flow.next.previous = flow.previous
        if flow.previous is not None:
            flow.previous.next = flow.next
        elif flow.next is not None:
            self._heads[flow.service.key, flow.slot] = flow.next
        else:
            del self._heads[flow.service.key, flow.slot]
        flow.previous = flow.next = None

    def flows_of_slot(self, service: int, slot: int) -> Iterator[Flow]:
        """Yields the entries of a hash slot."""
        flow = self._heads.get((service, slot))
        while flow is not None:
            following = flow.next
            yield flow
            flow = following

    def mark_ended(
        self, now: float, flow: Flow, outcome: str, reason: str, keep: float
    ) -> None:
        """Turns an entry into a tombstone for ``keep`` seconds."""
        flow.state = ENDED
        flow.outcome = outcome
        flow.reason = reason
        flow.changed_at = now
        self._tombstones.append((now + keep, flow))

    def next_expiry_time(self) -> float | None:
        """Returns the time at which the next tombstone expires, or None."""
        return self._tombstones[0][0] if self._tombstones else None

    def remove_expired(self, now: float) -> None:
        """Removes expired tombstones."""
        while self._tombstones and self._tombstones[0][0] <= now:
            _, flow = self._tombstones.popleft()
            if flow.state == ENDED:
                self.remove(flow)
