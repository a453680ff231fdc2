"""What an agent knows of one service: members, slot table, classes, loads."""

from collections.abc import Iterator
import random

from crocusmux import addresses
from crocusmux import messages
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.flows import ownership
from crocusmux.core.flows import slots
from crocusmux.core.load import placement
from crocusmux.core.load import retry

# An agent places, holds and witnesses non-idempotent flows only if it heard
# from a majority, or from a watcher, within this time of its own clock.
# Tables up to this size are built at once.
SMALL_HASH_SLOTS = 1024
LEASE_S = 10.0

Address = tuple[str, int]


def at_most_once(work: objects.WorkClass) -> bool:
    """Returns True if flows of a class fall under the witness rule.

    A long flow is a subscription, which its caller opens again after a
    break; only requests and bulk transfers change something by running.
    """
    return not work.idempotent and work.kind != "long"


class ServiceState:
    """One service as one agent sees it.

    Attributes:
        key: Key of the service in messages.
        name: Name of the service.
        cfg: The service's configuration object.
        epoch: Membership version in use; it changes with the table.
        table: Slot table of that version.
        mine: Hash slots that this agent owns by the newest table.
        members: Members by host, those removed lately included.
        live: Hosts that take part: not removed.
        addresses: UDP address of each member's agent.
        hosts: Host by agent address.
        joined: Epoch at which each member's incarnation was first seen.
        is_member: True while the membership names this incarnation.
        member_since: Time at which this agent saw itself join.
        recovering_until: Until then this agent may have lost entries that
            its predecessor kept.
        candidates: Upstreams that take new work.
        placement: Loads of the upstreams.
        budget: Retry budget.
        ownership: Terms, fences and queries of the hash slots.
    """

    __slots__ = (
        "_able",
        "_building",
        "_built",
        "_heard",
        "_lease_until",
        "_next",
        "addresses",
        "budget",
        "candidates",
        "cfg",
        "classes",
        "epoch",
        "host",
        "hosts",
        "incarnation",
        "is_member",
        "joined",
        "key",
        "live",
        "local_upstreams",
        "member_since",
        "members",
        "mine",
        "name",
        "newest_seen",
        "ownership",
        "placement",
        "recovering_until",
        "table",
        "unready",
    )

    def __init__(
        self, host: str, incarnation: int, name: str, rng: random.Random
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.name = name
        self.key = slots.service_key(name)
        self.cfg: objects.Service | None = None
        self.epoch = 0
        self.newest_seen = 0
        self.table = slots.SlotTable(0, objects.MIN_HASH_SLOTS)
        self.members: dict[str, objects.Member] = {}
        self.live: set[str] = set()
        self.addresses: dict[str, Address] = {}
        self.hosts: dict[Address, str] = {}
        self.joined: dict[str, int] = {}
        self.classes: dict[bytes, objects.WorkClass] = {}
        self.is_member = False
        self.member_since: float | None = None
        self.recovering_until = 0.0
        self.mine: list[int] = []
        self.candidates: list[placement.Candidate] = []
        self.unready: set[str] = set()
        # Members that may keep copies under a term, by its epoch; an owner of
        # many slots asks for each of them.
        self._able: dict[int, list[str]] = {}
        self.local_upstreams: list[str] = []
        self.placement = placement.Placement(rng)
        self.budget = retry.RetryBudget()
        self.ownership = ownership.Ownership(host, rng)
        self._built: slots.SlotTable | None = None
        self._building: Iterator[slots.SlotTable | None] | None = None
        self._next: objects.Membership | None = None
        self._heard: dict[str, float] = {}
        self._lease_until = 0.0

    def configure(
        self, cfg: objects.Service, store: config_store.ConfigStore
    ) -> None:
        """Takes the service's object and the classes of the preset."""
        self.cfg = cfg
        self.classes = {}
        for address in cfg.addresses:
            work = store.work_class(address.work_class)
            if work is not None:
                key = slots.address_key(self.name, address.name)
                self.classes[key] = work

    def start_build(self, store: config_store.ConfigStore) -> None:
        """Starts the next slot table if the membership has changed."""
        membership = store.membership(self.name)
        epoch = store.epoch(self.name)
        if membership is None or self.cfg is None:
            return
        if epoch <= self.epoch or membership is self._next:
            return
        owners = [
            member.host
            for member in membership.members
            if any(u.state in ("ready", "warming") for u in member.upstreams)
        ]
        self._next = membership
        self._building = slots.build_steps(
            self.table if self.epoch else None,
            epoch,
            self.cfg.hash_slots,
            owners,
        )

    @property
    def is_small(self) -> bool:
        """True if a whole rebuild takes about as long as one step."""
        return self.cfg is None or self.cfg.hash_slots <= SMALL_HASH_SLOTS

    @property
    def building(self) -> bool:
        """True while a slot table is being built."""
        return self._building is not None or self._built is not None

    def step_build(self, now: float, window: float) -> bool:
        """Runs one step of the rebuild; returns True if it is done.

        The table is computed in steps of a few milliseconds, and the members
        are taken in the last one.
        """
        if self._building is not None:
            self._built = next(self._building, None)
            if self._built is not None:
                self._building = None
                me = self.host
                owners = enumerate(self._built.owners)
                self.mine = [slot for slot, host in owners if host == me]
            if not self.is_small:
                return False
        if self._built is None:
            return False
        table, self._built = self._built, None
        membership, self._next = self._next, None
        assert membership is not None
        self.table = table
        self.epoch = table.epoch
        self._take_members(now, membership, window)
        return True

    def _take_members(
        self, now: float, membership: objects.Membership, window: float
    ) -> None:
        first = not self.members
        old = self.members
        self.members = {m.host: m for m in membership.members}
        self.live = {m.host for m in membership.members if _is_live(m)}
        self.addresses = {
            host: self._address_of(m, old.get(host))
            for host, m in self.members.items()
        }
        self.hosts = {addr: host for host, addr in self.addresses.items()}
        for host, member in self.members.items():
            known = old.get(host)
            if known is None or known.incarnation != member.incarnation:
                self.joined[host] = self.epoch
        self.joined = {h: self.joined[h] for h in self.members}
        self._able = {}
        self._take_self(now, first, window)
        self.refresh_candidates()
        self._lease_until = 0.0

    def _address_of(
        self, member: objects.Member, before: objects.Member | None
    ) -> Address:
        if before is not None and before.agent == member.agent:
            return self.addresses[member.host]
        return addresses.split(member.agent)

    def _take_self(self, now: float, first: bool, window: float) -> None:
        """Notes whether this process is the member of its host's name.

        A predecessor's entries and fences are lost with it.  Whoever finds
        its own host taken by another incarnation at its start must not let
        its empty memory count as an answer for the retransmit window.
        """
        me = self.members.get(self.host)
        mine = me is not None and me.incarnation in (0, self.incarnation)
        if first and me is not None and not mine:
            self.recovering_until = now + window
        self.is_member = mine and self.host in self.live
        if self.is_member and self.member_since is None:
            self.member_since = now
        if not self.is_member:
            self.member_since = None

    def refresh_candidates(self) -> None:
        """Recomputes the upstreams that take new work."""
        self.placement.retain(
            u.name for m in self.members.values() for u in m.upstreams
        )
        self.candidates = [
            placement.Candidate(
                upstream=u.name,
                host=m.host,
                failure_domain=m.failure_domain,
                slots=u.slots,
                connections=u.connections,
                warming=u.state == "warming",
                local=m.host == self.host,
            )
            for m in self.members.values()
            for u in m.upstreams
            if u.state in ("ready", "warming") and u.name not in self.unready
        ]

    def take_load(
        self, now: float, load: messages.Load, acked: bool = False
    ) -> None:
        """Takes a load report; an upstream not ready gets no new work.

        Args:
            now: Time in seconds.
            load: The load.
            acked: True if it answers a placement made here.
        """
        self.placement.update_load(now, load, acked)
        if load.ready == (load.upstream in self.unready):
            if load.ready:
                self.unready.discard(load.upstream)
            else:
                self.unready.add(load.upstream)
            self.refresh_candidates()

    def slot_of(self, flow: bytes) -> int:
        """Returns the hash slot of a flow."""
        return slots.slot_of(flow, self.table.hash_slots)

    def owner_of(self, slot: int) -> str | None:
        """Returns the host that owns a slot as far as this agent knows."""
        fence = self.ownership.fences.get(slot)
        if fence is not None and fence.term[0] >= self.epoch:
            return fence.owner
        return self.table.owner(slot)

    def work_class(self, flow: bytes) -> objects.WorkClass | None:
        """Returns the class of a flow; None if it is not of this service."""
        return self.classes.get(slots.key_of(flow))

    def copies(self, epoch: int) -> tuple[int, list[str]]:
        """Returns how many members must know a flow, and which may count.

        Only members that had joined when the owner's term began count: a
        later one cannot know that the term has been passed.

        Args:
            epoch: Epoch of the owner's term.
        """
        able = self._able.get(epoch)
        if able is None:
            able = sorted(h for h in self.live if self.joined[h] <= epoch)
            self._able[epoch] = able
        wanted = self.cfg.copies if self.cfg else 1
        return min(wanted, len(able)), able

    def needs_new_term(self, epoch: int) -> bool:
        """Returns True if too few members had joined when a term began.

        One member more than the copies is wanted, so that the loss of one
        leaves enough that may keep them.
        """
        copies = self.cfg.copies if self.cfg else 1
        wanted = min(copies + 1, len(self.live))
        return len(self.copies(epoch)[1]) < wanted

    def young(self, now: float, window: float) -> bool:
        """Returns True until this agent has been a member for the window."""
        return self.member_since is None or now - self.member_since < window

    def heard(self, now: float, host: str, epoch: int) -> None:
        """Notes a message of a member, for the lease.

        A member that knows a newer membership grants no lease under the old
        one, so that a removed agent stops in time.
        """
        self.newest_seen = max(self.newest_seen, epoch)
        if epoch <= self.epoch:
            self._heard[host] = now

    def renew_lease(self, now: float) -> None:
        """Notes contact with a watcher that is in contact with the platform."""
        self._lease_until = max(self._lease_until, now + LEASE_S)

    def leased(self, now: float) -> bool:
        """Returns True if non-idempotent flows may be placed, held, witnessed.

        The only member of a service has no peer to ask; it stops once it
        sees that there is a newer membership.
        """
        if not self.is_member:
            return False
        if len(self.live) == 1:
            return self.newest_seen <= self.epoch
        if now < self._lease_until:
            return True
        majority = len(self.live) // 2 + 1
        times = sorted(
            (self._heard.get(h, -LEASE_S) for h in self.live - {self.host}),
            reverse=True,
        )
        times.insert(0, now)
        self._lease_until = times[majority - 1] + LEASE_S
        return now < self._lease_until


def _is_live(member: objects.Member) -> bool:
    # A plain loop: a generator for each of 1,000 members doubles the time.
    for upstream in member.upstreams:  # noqa: SIM110
        if upstream.state != "gone":
            return True
    return False
