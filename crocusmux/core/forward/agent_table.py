"""A balancer's table of agents, by host and by service."""

from collections.abc import Callable, Iterable, Iterator
import itertools

from crocusmux.core.forward import hash_ring
from crocusmux.core.forward import reports
from crocusmux.core.forward import upstreams

# Share of a flow's preferred upstreams in the balancer's failure domain; the
# others get flows for which that domain has no capacity.
LOCAL_DOMAIN_SHARE = 0.625
# In a failure domain with more agents than this, not all of them report within
# half a second.  A larger share is taken from it, so that two or more have a
# recent report.
MAX_SMALL_DOMAIN_AGENTS = 24
LARGE_DOMAIN_SHARE = 0.875
# Time for which an agent that was removed with its record is remembered; longer
# than a list of records that the store made before takes to arrive.
REMOVED_TTL_S = 30.0

Usable = Callable[[upstreams.Upstream], bool]


class _Service:
    """The agents of one service, and their rings.

    An agent has the same points on both of its rings, so a flow prefers the
    agents of a failure domain in the same order on either.

    Attributes:
        agents: All agents by host.
        ring: All agents.
        rings: The agents of each failure domain.
    """

    __slots__ = ("agents", "ring", "rings")

    def __init__(self) -> None:
        self.agents: dict[str, upstreams.Upstream] = {}
        self.ring = hash_ring.HashRing()
        self.rings: dict[str, hash_ring.HashRing] = {}

    def add(self, upstream: upstreams.Upstream) -> None:
        """Adds an agent."""
        domain = upstream.record.failure_domain
        self.agents[upstream.record.host] = upstream
        self.ring.add(upstream)
        self.rings.setdefault(domain, hash_ring.HashRing()).add(upstream)

    def remove(self, upstream: upstreams.Upstream) -> None:
        """Removes an agent."""
        record = upstream.record
        del self.agents[record.host]
        self.ring.remove(record.host)
        self.rings[record.failure_domain].remove(record.host)

    def local_count(self, domain: str, count: int) -> int:
        """Returns how many of a flow's preferred agents are in one domain.

        Args:
            domain: Failure domain of the balancer.
            count: Number of preferred agents.
        """
        local = len(self.rings.get(domain, ()))
        if local == len(self.agents):
            return count
        if local > MAX_SMALL_DOMAIN_AGENTS:
            return round(LARGE_DOMAIN_SHARE * count)
        return round(LOCAL_DOMAIN_SHARE * count)

    def walk_domain(
        self, key: bytes, domain: str
    ) -> Iterator[upstreams.Upstream]:
        """Yields agents of one failure domain in a flow's order."""
        ring = self.rings.get(domain)
        return ring.walk(key) if ring else iter(())

    def walk_others(
        self, key: bytes, domain: str
    ) -> Iterator[upstreams.Upstream]:
        """Yields agents of all other failure domains in a flow's order."""
        if domain in self.rings and len(self.rings) == 1:
            return iter(())
        walk = self.ring.walk(key)
        return (x for x in walk if x.record.failure_domain != domain)


class AgentTable:
    """All agents known to a balancer, by host and by service.

    Attributes:
        complete: True once all agents in the store have been registered.
        listed_at: Time of the request for the newest full list, seconds.
    """

    __slots__ = (
        "_by_address",
        "_by_host",
        "_by_service",
        "_displaced",
        "_failure_domain",
        "_local_count",
        "_removed",
        "complete",
        "listed_at",
    )

    def __init__(self, failure_domain: str) -> None:
        """Creates an empty table for a balancer in a failure domain."""
        self.complete = False
        self.listed_at = float("-inf")
        self._failure_domain = failure_domain
        self._local_count = 0
        self._by_host: dict[str, upstreams.Upstream] = {}
        self._by_address: dict[tuple[str, int], str] = {}
        self._by_service: dict[str, _Service] = {}
        # Agents whose address another record has, by host.
        self._displaced: dict[str, upstreams.Upstream] = {}
        # Revision in which the record of a host was gone, and since when that is
        # known, in order of time.
        self._removed: dict[str, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._by_host)

    def register(
        self, now: float, record: upstreams.AgentRecord, revision: int = 0
    ) -> upstreams.Upstream | None:
        """Adds an agent or replaces its record.

        Two agents cannot share an address.  A host that is gone for good leaves
        its record in the store, and a list is in the order of names, so the
        revisions tell which record of an address is the newer one.  A record
        that was written again counts as old as its first announcement, as the
        store may apply a late write after the address has been given away.

        Args:
            now: Time in seconds.
            record: The agent's announcement.
            revision: Its revision in the store; 0 if it comes from a peer.

        Returns:
            The agent; None if nothing changed but its incarnation, or if a
            newer record of the host or the address is known.
        """
        previous = self._by_host.get(record.host)
        same_address = self._by_host.get(
            self._by_address.get(record.address, "")
        )
        if previous is not None and (
            revision < previous.revision or revision < previous.gone_at
        ):
            return None
        removed_at, _ = self._removed.get(record.host, (0, 0.0))
        if 0 < revision <= removed_at:
            # The list is older than the watch that told of the deletion.
            return None
        displaced = self._displaced.get(record.host)
        if displaced is not None and revision <= displaced.revision:
            return None
        upstream = upstreams.Upstream(now, record, revision)
        if (
            same_address is not None
            and same_address is not previous
            and upstream.announced_at() < same_address.announced_at()
        ):
            self._displaced[record.host] = upstream
            return None
        if (
            previous is not None
            and previous.record.same_agent(record)
            and previous.withdrawn_incarnation in (None, record.incarnation)
        ):
            if previous.record.incarnation != record.incarnation:
                previous.record_is_newer = True
            previous.record = record
            previous.revision = revision
            previous.gone_at = 0
            return None
        self.remove(record.host)
        self._insert(upstream)
        return upstream

    def _insert(self, upstream: upstreams.Upstream) -> None:
        """Inserts an agent; one that has its address is displaced."""
        record = upstream.record
        known = self._by_host.get(self._by_address.get(record.address, ""))
        if known is not None:
            self.remove(known.record.host)
            self._displaced[known.record.host] = known
        self._by_host[record.host] = upstream
        self._by_address[record.address] = record.host
        self._local_count += self.is_local(record)
        service = self._by_service.setdefault(record.service, _Service())
        service.add(upstream)

    def withdraw(self, now: float, host: str, incarnation: int) -> bool:
        """Records that an agent has exited permanently.

        A displaced agent is not restored by a late report of that incarnation.

        Returns:
            False if the agent is unknown, another incarnation may be newer, or
            this is known.
        """
        upstream = self._by_host.get(host) or self._displaced.get(host)
        if (
            upstream is None
            or upstream.withdrawn_incarnation is not None
            or not upstream.is_newest(now, incarnation)
        ):
            return False
        upstream.withdrawn_incarnation = incarnation
        return True

    def restore(
        self, now: float, host: str, incarnation: int
    ) -> upstreams.Upstream | None:
        """Restores a displaced agent that reports from its address.

        The store may apply the write of a host that is gone after the address
        was given to another one, so the newest record need not be that of the
        host which has the address.

        Args:
            now: Time in seconds.
            host: Host of an agent that has reported.
            incarnation: Incarnation that has reported.

        Returns:
            The agent; None if it was not displaced, if this incarnation has
            withdrawn, or if the agent that has its address now reports as well.
        """
        upstream = self._displaced.get(host)
        if upstream is None or upstream.withdrawn_incarnation == incarnation:
            return None
        known = self._by_host.get(
            self._by_address.get(upstream.record.address, "")
        )
        if known is not None and not known.silent(now):
            return None
        del self._displaced[host]
        self._insert(upstream)
        return upstream

    def remove(self, host: str) -> bool:
        """Removes an agent; returns False if it was unknown."""
        self._displaced.pop(host, None)
        upstream = self._by_host.pop(host, None)
        if upstream is None:
            return False
        del self._by_address[upstream.record.address]
        self._local_count -= self.is_local(upstream.record)
        self._by_service[upstream.record.service].remove(upstream)
        return True

    def remove_gone(self, now: float, host: str, revision: int) -> bool:
        """Removes an agent whose record is gone, for older lists as well.

        Args:
            now: Time in seconds.
            host: Name of the agent's host.
            revision: Revision of the store in which the record is missing.

        Returns:
            False if the agent was unknown.
        """
        self._removed.pop(host, None)
        self._removed[host] = revision, now
        return self.remove(host)

    def forget_removed(self, now: float) -> None:
        """Forgets agents that were removed ``REMOVED_TTL_S`` ago."""
        for host, (_, since) in list(self._removed.items()):
            if now - since < REMOVED_TTL_S:
                return
            del self._removed[host]

    @property
    def failure_domain(self) -> str:
        """Failure domain of the balancer."""
        return self._failure_domain

    def local_count(self) -> int:
        """Returns the number of agents in the balancer's failure domain."""
        return self._local_count

    def is_local(self, record: upstreams.AgentRecord) -> bool:
        """Returns True for agents in the balancer's failure domain."""
        return record.failure_domain == self._failure_domain

    def record_list(self, requested_at: float) -> None:
        """Records that the full list requested at a time is registered."""
        self.complete = True
        self.listed_at = max(self.listed_at, requested_at)

    def get(self, host: str) -> upstreams.Upstream | None:
        """Returns the upstream of a host; None if it is unknown."""
        return self._by_host.get(host)

    def for_services(self, names: Iterable[str]) -> "ServiceAgents":
        """Returns the agents of the given services."""
        known = (self._by_service.get(name) for name in names)
        return ServiceAgents(
            self._failure_domain, [service for service in known if service]
        )

    def for_all_services(self) -> "ServiceAgents":
        """Returns the agents of all services."""
        return self.for_services(self._by_service)

    def all(self) -> list[upstreams.Upstream]:
        """Returns all upstreams."""
        return list(self._by_host.values())

    def hosts(self) -> set[str]:
        """Returns the host names of all agents."""
        return set(self._by_host)

    def on_report(self, now: float, report: reports.LoadReport) -> bool:
        """Records a load report.

        Returns:
            False if the agent is unknown or has withdrawn, its record names
            another service, or a newer report was recorded.
        """
        upstream = self._by_host.get(report.host)
        if upstream is None:
            return False
        if upstream.withdrawn_incarnation == report.incarnation:
            return False
        upstream.reporting_incarnation = report.incarnation
        upstream.record_is_newer = False
        if upstream.record.service != report.service:
            return False
        upstream.withdrawn_incarnation = None
        previous = upstream.report
        if (
            previous is not None
            and previous.incarnation == report.incarnation
            and report.sequence <= previous.sequence
        ):
            return False
        upstream.report = report
        upstream.unreported_offers = 0
        upstream.avoided = False
        upstream.reported_at = now
        return True


class ServiceAgents:
    """The agents of some services, without a copy of their list."""

    __slots__ = ("_failure_domain", "_services")

    def __init__(self, failure_domain: str, services: list[_Service]) -> None:
        """Joins services, for a balancer in a failure domain."""
        self._failure_domain = failure_domain
        self._services = services

    def __len__(self) -> int:
        return sum(len(service.agents) for service in self._services)

    def __iter__(self) -> Iterator[upstreams.Upstream]:
        for service in self._services:
            yield from service.agents.values()

    def preferred_local(
        self, key: bytes, usable: Usable, count: int
    ) -> list[upstreams.Upstream]:
        """Returns the preferred agents in the balancer's failure domain.

        The arguments are those of ``preferred``.
        """
        domain = self._failure_domain
        return [
            upstream
            for service in self._services
            for upstream in itertools.islice(
                filter(usable, service.walk_domain(key, domain)),
                service.local_count(domain, count),
            )
        ]

    def preferred_remote(
        self, key: bytes, usable: Usable, count: int
    ) -> list[upstreams.Upstream]:
        """Returns agents of other failure domains in a flow's order.

        Args:
            key: Flow key.
            usable: Returns True for the agents to choose from.
            count: Maximum number of agents for each service.
        """
        domain = self._failure_domain
        return [
            upstream
            for service in self._services
            for upstream in itertools.islice(
                filter(usable, service.walk_others(key, domain)), count
            )
        ]

    def preferred(
        self, key: bytes, usable: Usable, count: int
    ) -> list[upstreams.Upstream]:
        """Returns the agents among which a flow is placed and first looked up.

        Most are in the balancer's failure domain, so that all balancers of that
        domain prefer the same ones.

        Args:
            key: Flow key.
            usable: Returns True for the agents to choose from.
            count: Maximum number of agents for each service.
        """
        chosen: list[upstreams.Upstream] = []
        for service in self._services:
            domain = self._failure_domain
            local = filter(usable, service.walk_domain(key, domain))
            remote = filter(usable, service.walk_others(key, domain))
            local_count = service.local_count(domain, count)
            agents = list(itertools.islice(local, local_count))
            agents += itertools.islice(remote, count - len(agents))
            agents += itertools.islice(local, count - len(agents))
            chosen += agents
        return chosen

    def preferred_in_each_domain(
        self, key: bytes, usable: Usable, count: int
    ) -> list[upstreams.Upstream]:
        """Returns the agents that balancers of any failure domain prefer.

        Args:
            key: Flow key.
            usable: Returns True for the agents to choose from.
            count: Maximum number for each failure domain of each service.
        """
        return [
            upstream
            for service in self._services
            for domain in service.rings
            for upstream in itertools.islice(
                filter(usable, service.walk_domain(key, domain)), count
            )
        ]
