"""State of one service on an agent: members, slot table, classes and lease."""

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

# Slot tables up to this size are built in one step.
MAX_STEP_SLOTS = 1024
# An agent places, holds and witnesses non-idempotent flows only if it had
# contact with a majority of the members, or with a watcher, within this time.
LEASE_S = 10.0

Address = tuple[str, int]


def at_most_once(work: objects.WorkClass) -> bool:
    """Returns True if a witness must know a flow of a class before it runs.

    A long flow is a subscription that its caller opens again after a break;
    only requests and bulk transfers have side effects.
    """
    return not work.idempotent and work.kind != "long"


class AgentService:
    """Configuration, membership, slot table and lease of one service.

    Attributes:
        key: Key of the service in messages.
        name: Name of the service.
        config: The service's configuration object.
        class_by_address: Work class by the key of the service address.
        epoch: Membership version in use; it changes with the table.
        newest_epoch: Newest membership version in any message.
        table: Slot table of ``epoch``.
        own_slots: Hash slots that this agent owns in the newest table.
        members: Members by host, including recently removed ones.
        live_hosts: Hosts of the members that are not removed.
        address_by_host: UDP address of each member's agent.
        host_by_address: Host by the UDP address of its agent.
        joined_epoch: Epoch at which each member's incarnation appeared.
        is_member: True while the membership names this agent incarnation.
        member_since: Time at which this agent saw itself join.
        recovering_until: Time until which this agent may lack entries that
            its predecessor on the host kept.
        candidates: Upstreams that accept new work.
        placement: Placement policy with the loads of the upstreams.
        budget: Retry budget.
        ownership: Terms, fences and queries of the hash slots.
    """

    __slots__ = (
        "_build_steps",
        "_built_table",
        "_contact_times",
        "_eligible_hosts",
        "_lease_until",
        "_next_membership",
        "address_by_host",
        "budget",
        "candidates",
        "class_by_address",
        "config",
        "epoch",
        "host",
        "host_by_address",
        "incarnation",
        "is_member",
        "joined_epoch",
        "key",
        "live_hosts",
        "local_upstreams",
        "member_since",
        "members",
        "name",
        "newest_epoch",
        "own_slots",
        "ownership",
        "placement",
        "recovering_until",
        "table",
        "unready_upstreams",
    )

    def __init__(
        self, host: str, incarnation: int, name: str, rng: random.Random
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.name = name
        self.key = slots.service_key(name)
        self.config: objects.Service | None = None
        self.epoch = 0
        self.newest_epoch = 0
        self.table = slots.SlotTable(0, objects.MIN_HASH_SLOTS)
        self.members: dict[str, objects.Member] = {}
        self.live_hosts: set[str] = set()
        self.address_by_host: dict[str, Address] = {}
        self.host_by_address: dict[Address, str] = {}
        self.joined_epoch: dict[str, int] = {}
        self.class_by_address: dict[bytes, objects.WorkClass] = {}
        self.is_member = False
        self.member_since: float | None = None
        self.recovering_until = 0.0
        self.own_slots: list[int] = []
        self.candidates: list[placement.Candidate] = []
        self.unready_upstreams: set[str] = set()
        # Members that may be witnesses under a term, by the term's epoch.
        # Cached, as an owner of many slots needs them for each slot.
        self._eligible_hosts: dict[int, list[str]] = {}
        self.local_upstreams: list[str] = []
        self.placement = placement.Placement(rng)
        self.budget = retry.RetryBudget()
        self.ownership = ownership.Ownership(host, rng)
        self._built_table: slots.SlotTable | None = None
        self._build_steps: Iterator[slots.SlotTable | None] | None = None
        self._next_membership: objects.Membership | None = None
        self._contact_times: dict[str, float] = {}
        self._lease_until = 0.0

    def configure(
        self, cfg: objects.Service, store: config_store.ConfigStore
    ) -> None:
        """Applies the service's object and the work classes of the preset."""
        self.config = cfg
        self.class_by_address = {}
        for address in cfg.addresses:
            work = store.work_class(address.work_class)
            if work is not None:
                key = slots.address_key(self.name, address.name)
                self.class_by_address[key] = work

    def start_build(self, store: config_store.ConfigStore) -> None:
        """Starts the next slot table if the membership has changed."""
        membership = store.membership(self.name)
        epoch = store.epoch(self.name)
        if membership is None or self.config is None:
            return
        if epoch <= self.epoch or membership is self._next_membership:
            return
        owners = [
            member.host
            for member in membership.members
            if any(u.state in ("ready", "warming") for u in member.upstreams)
        ]
        self._next_membership = membership
        self._build_steps = slots.build_table_steps(
            self.table if self.epoch else None,
            epoch,
            self.config.hash_slots,
            owners,
        )

    @property
    def is_small(self) -> bool:
        """True if a whole rebuild takes about as long as one step."""
        return self.config is None or self.config.hash_slots <= MAX_STEP_SLOTS

    @property
    def building(self) -> bool:
        """True while a slot table is being built."""
        return self._build_steps is not None or self._built_table is not None

    def step_build(self, now: float, window: float) -> bool:
        """Runs one step of the rebuild; returns True if it is complete.

        The table is computed in steps of a few milliseconds; the last step
        applies the members.
        """
        if self._build_steps is not None:
            self._built_table = next(self._build_steps, None)
            if self._built_table is not None:
                self._build_steps = None
                me = self.host
                owners = enumerate(self._built_table.owners)
                self.own_slots = [slot for slot, host in owners if host == me]
            if not self.is_small:
                return False
        if self._built_table is None:
            return False
        table, self._built_table = self._built_table, None
        membership, self._next_membership = self._next_membership, None
        assert membership is not None
        self.table = table
        self.epoch = table.epoch
        self._apply_members(now, membership, window)
        return True

    def _apply_members(
        self, now: float, membership: objects.Membership, window: float
    ) -> None:
        is_first = not self.members
        old_members = self.members
        self.members = {m.host: m for m in membership.members}
        self.live_hosts = {m.host for m in membership.members if _is_live(m)}
        self.address_by_host = {
            host: self._address_of(m, old_members.get(host))
            for host, m in self.members.items()
        }
        self.host_by_address = {
            addr: host for host, addr in self.address_by_host.items()
        }
        for host, member in self.members.items():
            before = old_members.get(host)
            if before is None or before.incarnation != member.incarnation:
                self.joined_epoch[host] = self.epoch
        self.joined_epoch = {h: self.joined_epoch[h] for h in self.members}
        self._eligible_hosts = {}
        self._update_self(now, is_first, window)
        self.refresh_candidates()
        self._lease_until = 0.0

    def _address_of(
        self, member: objects.Member, before: objects.Member | None
    ) -> Address:
        if before is not None and before.agent == member.agent:
            return self.address_by_host[member.host]
        return addresses.split(member.agent)

    def _update_self(self, now: float, is_first: bool, window: float) -> None:
        """Records whether this agent incarnation is the member of its host.

        A restart loses the entries and fences of the agent before it.  If
        the first membership names another incarnation on this host, this
        agent's reports must not count as complete for the retransmit window.
        """
        member = self.members.get(self.host)
        is_this_incarnation = member is not None and member.incarnation in (
            0,
            self.incarnation,
        )
        if is_first and member is not None and not is_this_incarnation:
            self.recovering_until = now + window
        self.is_member = is_this_incarnation and self.host in self.live_hosts
        if self.is_member and self.member_since is None:
            self.member_since = now
        if not self.is_member:
            self.member_since = None

    def refresh_candidates(self) -> None:
        """Recomputes the upstreams that accept new work."""
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
            if u.state in ("ready", "warming")
            and u.name not in self.unready_upstreams
        ]

    def record_load(
        self, now: float, load: messages.Load, acked: bool = False
    ) -> None:
        """Records a load report; an upstream that is not ready gets no work.

        Args:
            now: Time in seconds.
            load: Load of one upstream.
            acked: True if the report acknowledges a placement by this agent.
        """
        self.placement.update_load(now, load, acked)
        if load.ready == (load.upstream in self.unready_upstreams):
            if load.ready:
                self.unready_upstreams.discard(load.upstream)
            else:
                self.unready_upstreams.add(load.upstream)
            self.refresh_candidates()

    def slot_of(self, flow: bytes) -> int:
        """Returns the hash slot of a flow."""
        return slots.slot_of(flow, self.table.hash_slots)

    def owner_of(self, slot: int) -> str | None:
        """Returns the owner of a slot by the newest term or table known here."""
        fence = self.ownership.fences.get(slot)
        if fence is not None and fence.term[0] >= self.epoch:
            return fence.owner
        return self.table.owner(slot)

    def work_class(self, flow: bytes) -> objects.WorkClass | None:
        """Returns a flow's work class; None if its address is unknown here."""
        return self.class_by_address.get(slots.address_key_of(flow))

    def required_copies(self, epoch: int) -> tuple[int, list[str]]:
        """Returns how many members must know a flow, and which ones count.

        Members that joined after the owner's term began do not count: they
        cannot know of a newer term that fences it.

        Args:
            epoch: Epoch of the owner's term.
        """
        eligible_hosts = self._eligible_hosts.get(epoch)
        if eligible_hosts is None:
            eligible_hosts = sorted(
                h for h in self.live_hosts if self.joined_epoch[h] <= epoch
            )
            self._eligible_hosts[epoch] = eligible_hosts
        copies = self.config.copies if self.config else 1
        return min(copies, len(eligible_hosts)), eligible_hosts

    def needs_new_term(self, epoch: int) -> bool:
        """Returns True if too few members had joined when a term began.

        One more member than the required copies must be eligible, so that
        enough witnesses remain after the loss of one.
        """
        copies = self.config.copies if self.config else 1
        required_hosts = min(copies + 1, len(self.live_hosts))
        return len(self.required_copies(epoch)[1]) < required_hosts

    def is_new_member(self, now: float, window: float) -> bool:
        """Returns True until this agent has been a member for the window."""
        return self.member_since is None or now - self.member_since < window

    def record_contact(self, now: float, host: str, epoch: int) -> None:
        """Records a message of a member as contact for the lease.

        A message with a newer epoch does not count, so that the lease of a
        removed agent expires.
        """
        self.newest_epoch = max(self.newest_epoch, epoch)
        if epoch <= self.epoch:
            self._contact_times[host] = now

    def renew_lease(self, now: float) -> None:
        """Extends the lease after contact with a watcher that has the object API."""
        self._lease_until = max(self._lease_until, now + LEASE_S)

    def has_lease(self, now: float) -> bool:
        """Returns True if non-idempotent flows may be placed, held, witnessed.

        The only member of a service has no peers; its lease holds until it
        sees a newer membership.
        """
        if not self.is_member:
            return False
        if len(self.live_hosts) == 1:
            return self.newest_epoch <= self.epoch
        if now < self._lease_until:
            return True
        majority = len(self.live_hosts) // 2 + 1
        contact_times = sorted(
            (
                self._contact_times.get(h, -LEASE_S)
                for h in self.live_hosts - {self.host}
            ),
            reverse=True,
        )
        contact_times.insert(0, now)
        self._lease_until = contact_times[majority - 1] + LEASE_S
        return now < self._lease_until


def _is_live(member: objects.Member) -> bool:
    # any() with a generator doubles the time for 1,000 members.
    for upstream in member.upstreams:  # noqa: SIM110
        if upstream.state != "gone":
            return True
    return False
