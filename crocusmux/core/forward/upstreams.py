"""What a balancer knows of the agents and their upstreams."""

from collections.abc import Iterable

import msgspec
import xxhash

from crocusmux.core.forward import reports

# An agent without a report for so many intervals, and at least this time in
# seconds, is silent and gets no new flows.
SILENT_INTERVALS = 3
MIN_SILENT_S = 1.0
# Its report is overdue after so many intervals, and for this time in seconds:
# a host that does not come back within it will announce itself again.
OVERDUE_INTERVALS = 1.5
MAX_OVERDUE_S = 20.0
# After this silence its host counts as lost, seconds: longer than a planned
# restart of an agent takes.
MIN_LOST_S = 4.0
LOST_INTERVALS = 6
# The same for an agent that has not reported since the balancer started or
# learnt of it.  It is asked every half second, so that callers do not wait
# long after a loss of power for hosts that did not come back.
FIRST_REPORT_TIMEOUT_S = 2.5
# An agent that declined a flow for lack of room gets no other one for this
# time, seconds: about one service time.
OVERLOAD_BACKOFF_S = 0.03
# Share of a flow's preferred upstreams that are in the failure domain of its
# balancer; the others take what that domain has no room for.
LOCAL_DOMAIN_SHARE = 0.625


class AgentRecord(msgspec.Struct, frozen=True):
    """An agent as it announced itself.

    Attributes:
        host: Name of its host.
        service: Service of its upstream.
        failure_domain: Failure domain of its host.
        address: Address of the agent for segments.
        control: Address of the agent for messages.
    """

    host: str
    service: str
    failure_domain: str
    address: tuple[str, int]
    control: tuple[str, int]


class Upstream:
    """An agent's upstream as a balancer sees it.

    Attributes:
        record: What the agent announced.
        added_at: Time at which it became known, seconds.
        tag: Hash of the service name, as it travels with segments.
        report: Its newest load report; None before the first.
        reported_at: Time of that report, seconds; negative infinity before.
        offered: New flows offered to it since that report.
        avoided: True if an opening stayed unanswered there, or its upstream
            returned one, since its last report.
        full_until: Time until which it counts as full, seconds.
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
        """Returns the time since its last report, seconds."""
        return now - self.reported_at

    def silent(self, now: float) -> bool:
        """Returns True if it has missed several reports."""
        report = self.report
        if report is None:
            return True
        limit = max(MIN_SILENT_S, SILENT_INTERVALS * report.interval_s)
        return self.report_age_s(now) >= limit

    def report_overdue(self, now: float) -> bool:
        """Returns True if a report should have come lately."""
        interval = self.report.interval_s if self.report else 0.0
        silent_s = now - max(self.reported_at, self.added_at)
        return OVERDUE_INTERVALS * interval < silent_s < MAX_OVERDUE_S

    def lost(self, now: float) -> bool:
        """Returns True if it has been silent for so long that it is dead."""
        if self.report is None:
            return now - self.added_at > FIRST_REPORT_TIMEOUT_S
        limit = max(MIN_LOST_S, LOST_INTERVALS * self.report.interval_s)
        return self.report_age_s(now) > limit

    def accepts(self, now: float) -> bool:
        """Returns True if it reports and takes new flows."""
        return (
            self.report is not None
            and self.report.accepting
            and not self.silent(now)
            and not self.avoided
            and self.backoff_until <= now
        )


class AgentTable:
    """All agents that a balancer knows, by service.

    Attributes:
        complete: True once all agents in the store have been put.
        listed_at: Time at which the newest full list of them was asked for,
            seconds.
    """

    __slots__ = ("_by_host", "_by_service", "complete", "listed_at")

    def __init__(self) -> None:
        self.complete = False
        self.listed_at = float("-inf")
        self._by_host: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}

    def register(self, now: float, record: AgentRecord) -> bool:
        """Adds an agent or replaces what is known of it.

        Returns:
            False if nothing changed.
        """
        known = self._by_host.get(record.host)
        if known is not None and known.record == record:
            return False
        if known is not None:
            self.remove(record.host)
        # Two agents cannot live at one address; the newer record holds.
        for other in list(self._by_host.values()):
            if other.record.address == record.address:
                self.remove(other.record.host)
        upstream = Upstream(now, record)
        self._by_host[record.host] = upstream
        self._by_service.setdefault(record.service, []).append(upstream)
        return True

    def remove(self, host: str) -> bool:
        """Forgets an agent; returns False if it was not known."""
        upstream = self._by_host.pop(host, None)
        if upstream is None:
            return False
        self._by_service[upstream.record.service].remove(upstream)
        return True

    def record_list(self, asked_at: float) -> None:
        """Takes that a full list, asked for at a time, has been put."""
        self.complete = True
        self.listed_at = max(self.listed_at, asked_at)

    def get(self, host: str) -> Upstream | None:
        """Returns an agent's upstream; None if it is not known."""
        return self._by_host.get(host)

    def for_services(self, services: Iterable[str]) -> list[Upstream]:
        """Returns all upstreams of some services."""
        return [
            one for name in services for one in self._by_service.get(name, ())
        ]

    def all(self) -> list[Upstream]:
        """Returns all upstreams."""
        return list(self._by_host.values())

    def hosts(self) -> set[str]:
        """Returns the host names of all agents."""
        return set(self._by_host)

    def on_report(self, now: float, report: reports.LoadReport) -> bool:
        """Takes a load report.

        Returns:
            False if the agent is not known, names another service than its
            record, or the report is older than the known one.
        """
        upstream = self._by_host.get(report.host)
        if upstream is None or upstream.record.service != report.service:
            return False
        known = upstream.report
        if (
            known is not None
            and known.incarnation == report.incarnation
            and report.sequence <= known.sequence
        ):
            return False
        upstream.report = report
        upstream.unreported_offers = 0
        upstream.avoided = False
        upstream.reported_at = now
        return True


def service_tag(service: str) -> int:
    """Returns the 32-bit hash of a service name that marks its segments."""
    return xxhash.xxh32_intdigest(service.encode())


def preferred_upstreams(
    key: bytes, upstreams: list[Upstream], failure_domain: str, count: int
) -> list[Upstream]:
    """Returns the upstreams among which a flow is placed and first sought.

    They are the best by rendezvous hashing, most of them of one failure
    domain, so that all balancers there prefer the same ones.

    Args:
        key: Flow key.
        upstreams: Upstreams to choose from.
        failure_domain: Failure domain of the balancer.
        count: How many to return, at most.
    """
    if len(upstreams) <= count:
        return list(upstreams)
    near: list[Upstream] = []
    far: list[Upstream] = []
    for one in rank_by_rendezvous(key, upstreams):
        same = one.record.failure_domain == failure_domain
        (near if same else far).append(one)
    wanted = max(round(LOCAL_DOMAIN_SHARE * count), count - len(far))
    near = near[:wanted]
    return near + far[: count - len(near)]


def rank_by_rendezvous(key: bytes, upstreams: list[Upstream]) -> list[Upstream]:
    """Returns upstreams in the order of rendezvous hashing for a flow."""
    return sorted(
        upstreams,
        key=lambda upstream: xxhash.xxh64_intdigest(
            key + upstream.record.host.encode()
        ),
        reverse=True,
    )
