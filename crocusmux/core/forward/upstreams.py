"""A balancer's table of agents and the state of their upstreams."""

from collections.abc import Iterable

import msgspec
import xxhash

from crocusmux import addresses
from crocusmux.core.forward import reports

# An agent without a report for this many intervals, and at least this time, is
# silent and gets no new flows.
SILENT_INTERVALS = 3
MIN_SILENT_S = 1.0
# A report is overdue after this many intervals and up to this time.  A host
# that returns later announces itself again.
OVERDUE_INTERVALS = 1.5
MAX_OVERDUE_S = 20.0
# An agent without a report for this time, and this many intervals, is lost;
# longer than a planned restart of an agent takes.
MIN_LOST_S = 4.0
LOST_INTERVALS = 6
# Shorter limit for an agent that has never reported to this balancer, so that
# after a loss of power callers don't wait long for hosts that did not return.
# Such an agent gets a subscription every half second.
FIRST_REPORT_TIMEOUT_S = 2.5
# An agent that declined a flow because of overload gets no other flow for this
# time, about one service time.
OVERLOAD_BACKOFF_S = 0.03
# Share of a flow's preferred upstreams in the balancer's failure domain; the
# others get flows for which that domain has no capacity.
LOCAL_DOMAIN_SHARE = 0.625


class AgentRecord(msgspec.Struct, frozen=True):
    """An agent's announcement in the store.

    Attributes:
        host: Name of the agent's host.
        service: Service of the agent's upstream.
        failure_domain: Failure domain of the host.
        address: Address of the agent for segments.
        control: Address of the agent for messages.
    """

    host: str
    service: str
    failure_domain: str
    address: tuple[str, int]
    control: tuple[str, int]

    def __post_init__(self) -> None:
        addresses.check(self.address)
        addresses.check(self.control)


class Upstream:
    """An agent and its upstream.

    Attributes:
        record: The agent's announcement.
        added_at: Time at which the agent was added, seconds.
        tag: Hash of the service name, as sent with segments.
        report: The newest load report; None before the first.
        reported_at: Time of that report, seconds; negative infinity before.
        unreported_offers: New flows offered since that report.
        avoided: True if, since that report, an opening was not answered or was
            declined because of the upstream's state.
        backoff_until: Time until which no new flows are offered, seconds.
    """

    __slots__ = (
        "added_at",
        "avoided",
        "backoff_until",
        "record",
        "report",
        "reported_at",
        "tag",
        "unreported_offers",
    )

    def __init__(self, now: float, record: AgentRecord) -> None:
        self.record = record
        self.added_at = now
        self.tag = service_tag(record.service)
        self.report: reports.LoadReport | None = None
        self.reported_at = float("-inf")
        self.unreported_offers = 0
        self.avoided = False
        self.backoff_until = float("-inf")

    def report_age_s(self, now: float) -> float:
        """Returns the time since the last report, seconds."""
        return now - self.reported_at

    def silent(self, now: float) -> bool:
        """Returns True if several reports are missing."""
        report = self.report
        if report is None:
            return True
        limit = max(MIN_SILENT_S, SILENT_INTERVALS * report.interval_s)
        return self.report_age_s(now) >= limit

    def report_overdue(self, now: float) -> bool:
        """Returns True if a report is overdue, but not for too long."""
        interval_s = self.report.interval_s if self.report else 0.0
        silent_s = now - max(self.reported_at, self.added_at)
        return OVERDUE_INTERVALS * interval_s < silent_s < MAX_OVERDUE_S

    def lost(self, now: float) -> bool:
        """Returns True if the agent is silent for too long to be alive."""
        if self.report is None:
            return now - self.added_at > FIRST_REPORT_TIMEOUT_S
        limit = max(MIN_LOST_S, LOST_INTERVALS * self.report.interval_s)
        return self.report_age_s(now) > limit

    def accepts(self, now: float) -> bool:
        """Returns True if the agent reports and accepts new flows."""
        return (
            self.report is not None
            and self.report.accepting
            and not self.silent(now)
            and not self.avoided
            and self.backoff_until <= now
        )


class AgentTable:
    """All agents known to a balancer, by host and by service.

    Attributes:
        complete: True once all agents in the store have been registered.
        listed_at: Time of the request for the newest full list, seconds.
    """

    __slots__ = ("_by_host", "_by_service", "complete", "listed_at")

    def __init__(self) -> None:
        self.complete = False
        self.listed_at = float("-inf")
        self._by_host: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}

    def register(self, now: float, record: AgentRecord) -> bool:
        """Adds an agent or replaces its record.

        Returns:
            False if nothing changed.
        """
        previous = self._by_host.get(record.host)
        if previous is not None and previous.record == record:
            return False
        if previous is not None:
            self.remove(record.host)
        # Two agents cannot share an address; the newer record replaces the old.
        for other in list(self._by_host.values()):
            if other.record.address == record.address:
                self.remove(other.record.host)
        upstream = Upstream(now, record)
        self._by_host[record.host] = upstream
        self._by_service.setdefault(record.service, []).append(upstream)
        return True

    def remove(self, host: str) -> bool:
        """Removes an agent; returns False if it was unknown."""
        upstream = self._by_host.pop(host, None)
        if upstream is None:
            return False
        self._by_service[upstream.record.service].remove(upstream)
        return True

    def record_list(self, requested_at: float) -> None:
        """Records that the full list requested at a time is registered."""
        self.complete = True
        self.listed_at = max(self.listed_at, requested_at)

    def get(self, host: str) -> Upstream | None:
        """Returns the upstream of a host; None if it is unknown."""
        return self._by_host.get(host)

    def for_services(self, services: Iterable[str]) -> list[Upstream]:
        """Returns all upstreams of the given services."""
        return [
            upstream
            for name in services
            for upstream in self._by_service.get(name, ())
        ]

    def all(self) -> list[Upstream]:
        """Returns all upstreams."""
        return list(self._by_host.values())

    def hosts(self) -> set[str]:
        """Returns the host names of all agents."""
        return set(self._by_host)

    def on_report(self, now: float, report: reports.LoadReport) -> bool:
        """Records a load report.

        Returns:
            False if the agent is unknown, its record names another service, or
            a newer report was recorded.
        """
        upstream = self._by_host.get(report.host)
        if upstream is None or upstream.record.service != report.service:
            return False
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


def service_tag(service: str) -> int:
    """Returns the 32-bit hash of a service name, sent with its segments."""
    return xxhash.xxh32_intdigest(service.encode())


def preferred(
    key: bytes, upstreams: list[Upstream], failure_domain: str, count: int
) -> list[Upstream]:
    """Returns the upstreams among which a flow is placed and first looked up.

    They rank best by rendezvous hashing, most of them in one failure domain,
    so that all balancers of that domain prefer the same ones.

    Args:
        key: Flow key.
        upstreams: Upstreams to choose from.
        failure_domain: Failure domain of the balancer.
        count: Maximum number of upstreams to return.
    """
    if len(upstreams) <= count:
        return list(upstreams)
    local: list[Upstream] = []
    remote: list[Upstream] = []
    for upstream in rank_by_rendezvous(key, upstreams):
        same = upstream.record.failure_domain == failure_domain
        (local if same else remote).append(upstream)
    local_count = max(round(LOCAL_DOMAIN_SHARE * count), count - len(remote))
    local = local[:local_count]
    return local + remote[: count - len(local)]


def rank_by_rendezvous(key: bytes, upstreams: list[Upstream]) -> list[Upstream]:
    """Returns upstreams in their order by rendezvous hashing for a flow."""
    return sorted(
        upstreams,
        key=lambda upstream: xxhash.xxh64_intdigest(
            key + upstream.record.host.encode()
        ),
        reverse=True,
    )
