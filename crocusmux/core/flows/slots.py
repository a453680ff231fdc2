"""Flow ids, hash slots and their owners.

Every process computes the same owners from the same membership by
rendezvous hashing: each member has a score for each hash slot, and the
highest score owns the slot.  A change of one member moves only the slots
that it gains or loses.
"""

from collections.abc import Iterator, Sequence

import xxhash

from crocusmux import messages

KEY_BYTES = 8
FLOW_ID_BYTES = 16
MAX_FLOW_BYTES = 64
# Scores computed between two yields of a table build; about 1 ms.
SCORES_PER_STEP = 4096

_PREFIX_BYTES = 1 + KEY_BYTES


def service_key(service: str) -> int:
    """Returns the 64-bit key of a service in messages."""
    return xxhash.xxh3_64_intdigest(service.encode())


def address_key(service: str, address: str) -> bytes:
    """Returns the 8-byte key of a service address within flow ids."""
    return xxhash.xxh3_64_digest(f"{service}/{address}".encode())


def udp_flow_id(key: bytes, caller: tuple) -> bytes:
    """Returns the flow id of a caller's datagrams at a service address.

    Args:
        key: Key of the service address.
        caller: ``(ip, port)`` of the caller.
    """
    return b"U%b%b:%d" % (key, caller[0].encode(), caller[1])


def caller_of(flow: bytes) -> tuple[str, int]:
    """Returns the caller's ``(ip, port)`` from a UDP flow id.

    Raises:
        ValueError: The flow id is not one of a UDP flow.
    """
    if flow[:1] != messages.FLOW_UDP:
        raise ValueError("not a UDP flow")
    ip, _, port = flow[_PREFIX_BYTES:].rpartition(b":")
    return ip.decode(), int(port)


def make_flow_id(kind: bytes, key: bytes, flow_id: bytes) -> bytes:
    """Returns the flow id of a TCP or library flow.

    Args:
        kind: ``messages.FLOW_TCP`` or ``messages.FLOW_LIBRARY``.
        key: Key of the service address.
        flow_id: 16 random bytes.
    """
    return kind + key + flow_id


def address_key_of(flow: bytes) -> bytes:
    """Returns the key of the service address from a flow id."""
    return flow[1:_PREFIX_BYTES]


def slot_of(flow: bytes, hash_slots: int) -> int:
    """Returns the hash slot of a flow; ``hash_slots`` is a power of two."""
    return xxhash.xxh3_64_intdigest(flow) & (hash_slots - 1)


class SlotTable:
    """Owners of all hash slots of a service at one epoch.

    Attributes:
        epoch: Membership version that the table was built from.
        hash_slots: Number of hash slots.
        members: Hosts that may own slots, sorted.
        owners: Host that owns each hash slot; empty with no members.
    """

    __slots__ = (
        "_ranked",
        "_scores",
        "epoch",
        "hash_slots",
        "members",
        "owners",
    )

    def __init__(
        self,
        epoch: int,
        hash_slots: int,
        members: tuple[str, ...] = (),
        owners: Sequence[str] = (),
        scores: Sequence[int] = (),
    ) -> None:
        self.epoch = epoch
        self.hash_slots = hash_slots
        self.members = members
        self.owners = owners
        self._scores = scores
        self._ranked: dict[int, list[str]] = {}

    def owner(self, slot: int, rank: int = 0) -> str | None:
        """Returns the owner of a rank for a hash slot; None past the last."""
        if rank == 0:
            return self.owners[slot] if self.owners else None
        # Ranks above 0 are needed only while an owner is suspected, so they
        # are computed on first use.
        ranked = self._ranked.get(slot)
        if ranked is None:
            ranked = _ranked_members(slot, self.members)
            self._ranked[slot] = ranked
        return ranked[rank] if rank < len(ranked) else None


def build_table(
    epoch: int, hash_slots: int, members: Sequence[str]
) -> SlotTable:
    """Builds a table at once; see ``build_steps``."""
    return last_table(build_table_steps(None, epoch, hash_slots, members))


def last_table(steps: Iterator[SlotTable | None]) -> SlotTable:
    """Runs all steps of a table build and returns the table."""
    tables = [table for table in steps if table is not None]
    return tables[-1]


def build_table_steps(
    old: SlotTable | None, epoch: int, hash_slots: int, members: Sequence[str]
) -> Iterator[SlotTable | None]:
    """Builds the next table in steps of about 2 ms.

    Computes only the scores that the change of members can affect: those of
    new members, and those of slots whose owner has left.

    Args:
        old: Table to start from, or None.
        epoch: Membership version of the new table.
        hash_slots: Number of hash slots.
        members: Hosts that may own slots.

    Yields:
        None after each step but the last, which yields the new table.
    """
    current = tuple(sorted(set(members)))
    if old is None or old.hash_slots != hash_slots:
        old = SlotTable(0, hash_slots)
    owners = list(old.owners) or [""] * hash_slots
    scores = list(old._scores) or [-1] * hash_slots
    staying = set(old.members) & set(current)
    kept = [name for name in old.members if name in staying]
    removed = set(old.members) - set(current)
    orphans = [slot for slot, name in enumerate(owners) if name in removed]
    for slot in orphans:
        owners[slot], scores[slot] = "", -1

    yield None

    pending: list[tuple[str, Sequence[int]]] = []
    if orphans:
        pending += [(name, orphans) for name in kept]
    all_slots = range(hash_slots)
    pending += [(name, all_slots) for name in current if name not in staying]
    scores_in_step = 0
    for name, slots in pending:
        seed = _seed(name)
        for start in range(0, len(slots), SCORES_PER_STEP):
            part = slots[start : start + SCORES_PER_STEP]
            if scores_in_step + len(part) > SCORES_PER_STEP:
                yield None
                scores_in_step = 0
            _assign_slots(name, seed, part, owners, scores)
            scores_in_step += len(part)
    if not current:
        owners, scores = [], []
    yield SlotTable(epoch, hash_slots, current, owners, scores)


def _assign_slots(
    name: str,
    seed: int,
    slots: Sequence[int],
    owners: list[str],
    scores: list[int],
) -> None:
    """Assigns the slots on which a member has the highest score to it."""
    digest = xxhash.xxh3_64_intdigest
    for slot in slots:
        score = digest(slot.to_bytes(4, "little"), seed)
        best = scores[slot]
        if score > best or (score == best and name < owners[slot]):
            owners[slot], scores[slot] = name, score


def _seed(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _ranked_members(slot: int, members: Sequence[str]) -> list[str]:
    data = slot.to_bytes(4, "little")
    return sorted(
        members, key=lambda m: (-xxhash.xxh3_64_intdigest(data, _seed(m)), m)
    )
