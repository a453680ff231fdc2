"""Explanation of where a balancer would place a new flow now, and why."""

import msgspec

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import chooser
from crocusmux.core.forward import evacuations
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import free_slot
from crocusmux.core.forward import openings
from crocusmux.core.forward import routes
from crocusmux.core.forward import selection
from crocusmux.core.forward import upstreams

# Hosts listed for one service, so that the answer of a balancer with thousands
# of agents stays below a quarter of a megabyte.
MAX_LISTED_HOSTS = 1_000

# Reasons for which a usable upstream is left out of the choice for one flow:
# the flow prefers others; enough others have a newer report; it has more than
# its share of the open flows; the balancer's failure domain has room; whatever
# it is compared with has an expected answer time that is not longer.
EXCLUDED_NOT_A_CANDIDATE = "not-a-candidate"
EXCLUDED_OLDER_REPORT = "older-report"
EXCLUDED_EXCESS_FLOWS = "excess-flows"
EXCLUDED_LOCAL_ROOM = "local-has-room"
EXCLUDED_NOT_FASTER = "not-faster"

# Reasons of an outcome other than a placement.  The other ones are those of
# ``chooser``, ``openings`` and ``routes``.
IGNORED_NO_CONFIGURATION = "no-configuration"
# A new balancer waits for the list of the evacuated failure domains.
IGNORED_NO_EVACUATIONS = "no-evacuations"
WAITS_FOR_ROOM = "waits-for-room"
# Some upstream has room, but all agents were scanned a moment ago.
WAITS_FOR_SCAN = "waits-for-scan"
# Flows that go first are queued for the service.
WAITS_BEHIND_OTHERS = "waits-behind-others"

PLACED = "placed"
WAITS = "waits"
REFUSED = "refused"
IGNORED = "ignored"


class HostExplanation(msgspec.Struct, frozen=True):
    """An upstream of the service as the balancer knows it.

    Attributes:
        host: Host name of its agent.
        failure_domain: Failure domain of the host.
        slots: Requests that it serves concurrently; 0 before the first report.
        in_progress: Requests in progress by its newest report.
        flows: Open flows by that report.
        unreported_offers: New flows that the balancer has offered since.
        service_ms: Mean time to an answer, milliseconds; the time that the
            balancer assumes if it is unknown.
        answer_ms: Expected time to the answer of one more request,
            milliseconds; includes the cost of another failure domain.
        report_age_s: Age of the newest report, seconds; None before the first.
        probability: Probability that the flow is offered to it first; None if
            the choice is among too many upstreams to calculate it.
        excluded: Reason why it is not chosen; empty if it may be.
    """

    host: str
    failure_domain: str
    slots: int
    in_progress: float
    flows: int
    unreported_offers: int
    service_ms: float
    answer_ms: float
    report_age_s: float | None
    probability: float | None
    excluded: str


class ServiceExplanation(msgspec.Struct, frozen=True):
    """Placement of the flow if its route's share leads to one service.

    Attributes:
        service: Name of the service.
        share: Share of the route's new flows that go to the service, 0 to 1.
        outcome: What happens to the flow.
        reason: Reason of an outcome other than a placement.
        hosts: Its upstreams, the most probable ones first; those with an
            unknown probability by their expected answer time.
        omitted: Number of further upstreams that are not listed.
        free_slot_first: True if an agent without a free slot declines the first
            offer, so that the flow goes to another one.
    """

    service: str
    share: float
    outcome: str
    reason: str
    hosts: tuple[HostExplanation, ...]
    omitted: int = 0
    free_slot_first: bool = False


class Explanation(msgspec.Struct, frozen=True):
    """Where a new flow would be placed now, and why.

    Attributes:
        route: Name of the route; empty without one.
        version: Version of the configuration in force.
        outcome: What happens to the flow if that does not depend on the
            service; None otherwise.
        reason: Reason of that outcome.
        known_hosts: Hosts that hold the flow or were offered it, if the
            balancer knows a flow of these addresses already.  The explanation
            is that of a new flow.
        services: Services of the route.
    """

    route: str
    version: int
    outcome: str | None
    reason: str
    known_hosts: tuple[str, ...]
    services: tuple[ServiceExplanation, ...]


class _Choice(msgspec.Struct, frozen=True):
    """The upstreams among which a choice falls.

    Attributes:
        probabilities: Probability by host; None if it is not calculated.
        left_out: Reasons by host for usable upstreams that are not among them.
    """

    probabilities: dict[str, float | None]
    left_out: dict[str, str]


def explain(
    now: float,
    key: bytes,
    route_table: routes.RouteTable,
    agents: agent_table.AgentTable,
    upstream_chooser: chooser.UpstreamChooser,
    queue: openings.OpeningQueue,
    flow: flow_table.Flow | None,
    evacuated: evacuations.EvacuatedDomains,
    free_slot_offers: free_slot.FreeSlotOffers,
) -> Explanation:
    """Returns where a new flow would be placed now.

    Changes no state and draws no random number.

    Args:
        now: Time in seconds.
        key: Flow key.
        route_table: The configuration in force.
        agents: All agents.
        upstream_chooser: The chooser of the balancer.
        queue: Its queued new flows.
        flow: The flow of this key that the balancer knows; None without one.
        evacuated: The evacuated failure domains.
        free_slot_offers: Which offers need a free slot.
    """
    known_hosts: tuple[str, ...] = ()
    if flow is not None:
        known_hosts = (flow.holder,) if flow.holder else (*flow.offered_hosts,)
    version = route_table.version
    if version == 0:
        reason = IGNORED_NO_CONFIGURATION
        return Explanation("", version, IGNORED, reason, known_hosts, ())
    if not evacuated.known(now):
        reason = IGNORED_NO_EVACUATIONS
        return Explanation("", version, IGNORED, reason, known_hosts, ())
    route = route_table.find_route(key)
    if route is None:
        reason = routes.REFUSED_NO_ROUTE
        return Explanation("", version, REFUSED, reason, known_hosts, ())

    def explain_service(service: str, share: float) -> ServiceExplanation:
        choice = _explain_choice(now, key, service, agents, upstream_chooser)
        hosts = _explain_hosts(now, service, agents, upstream_chooser, choice)
        new_flow = flow_table.Flow(now)
        new_flow.service = service
        pending = queue.make_pending(key, new_flow, route)
        refused = upstream_chooser.refusal_reason(now, service)
        can_wait = not refused and queue.can_add(now, pending)
        outcome, reason = PLACED, ""
        if can_wait and not queue.goes_first(now, pending):
            outcome, reason = WAITS, WAITS_BEHIND_OTHERS
        elif not choice.probabilities and can_wait:
            has_usable = any(
                x.excluded == EXCLUDED_NOT_A_CANDIDATE for x in hosts
            )
            outcome = WAITS
            reason = WAITS_FOR_SCAN if has_usable else WAITS_FOR_ROOM
        elif not choice.probabilities:
            outcome = REFUSED
            reason = refused or openings.REFUSED_TOO_LATE
        return ServiceExplanation(
            service,
            share,
            outcome,
            reason,
            tuple(hosts[:MAX_LISTED_HOSTS]),
            max(0, len(hosts) - MAX_LISTED_HOSTS),
            outcome == PLACED
            and free_slot_offers.required(new_flow, 0)
            and free_slot_offers.bucket.has_token(),
        )

    services = tuple(
        explain_service(service, share)
        for service, share in route.service_probabilities().items()
    )
    return Explanation(route.name, version, None, "", known_hosts, services)


def _explain_choice(
    now: float,
    key: bytes,
    service: str,
    agents: agent_table.AgentTable,
    upstream_chooser: chooser.UpstreamChooser,
) -> _Choice:
    """Follows the steps of ``UpstreamChooser.choose`` for all random draws."""
    domain = agents.failure_domain
    density, assumed_ms = upstream_chooser.peek_means(now, service)
    left_out: dict[str, str] = {}

    def usable(upstream: upstreams.Upstream) -> bool:
        return not upstream_chooser.exclusion(now, upstream)

    def leave_out(found: chooser.Agents, reason: str) -> None:
        left_out.update((x.record.host, reason) for x in found)

    def choose(
        local: chooser.Agents, remote: chooser.Agents
    ) -> dict[str, float | None]:
        leave_out(remote, EXCLUDED_LOCAL_ROOM)
        preferred, others = selection.split_by_excess(
            local, density, assumed_ms
        )
        leave_out(preferred, EXCLUDED_NOT_FASTER)
        leave_out(others, EXCLUDED_EXCESS_FLOWS)

        def find_remote() -> chooser.Agents:
            leave_out(remote, EXCLUDED_NOT_FASTER)
            return remote

        return {
            **selection.choice_probabilities(
                local, find_remote, domain, density, assumed_ms
            )
        }

    local, find_remote = upstream_chooser.preferred(key, service, usable)
    remote = find_remote()
    leave_out([*local, *remote], EXCLUDED_OLDER_REPORT)
    found = choose(
        chooser.recently_reported(now, local),
        chooser.recently_reported(now, remote),
    )
    if not found and upstream_chooser.may_scan(now, service):
        accepting = [x for x in agents.for_services((service,)) if usable(x)]
        if len(accepting) > chooser.MAX_CANDIDATES:
            found = {x.record.host: None for x in accepting}
        else:
            found = choose(*upstream_chooser.split_by_domain(accepting))
    return _Choice(found, left_out)


def _explain_hosts(
    now: float,
    service: str,
    agents: agent_table.AgentTable,
    upstream_chooser: chooser.UpstreamChooser,
    choice: _Choice,
) -> list[HostExplanation]:
    """Returns all upstreams of a service, the most probable ones first."""
    _, assumed_ms = upstream_chooser.peek_means(now, service)
    domain = agents.failure_domain

    def exclusion(upstream: upstreams.Upstream) -> str:
        host = upstream.record.host
        reason = upstream_chooser.exclusion(now, upstream)
        if reason or host in choice.probabilities:
            return reason
        return choice.left_out.get(host, EXCLUDED_NOT_A_CANDIDATE)

    def describe(upstream: upstreams.Upstream) -> HostExplanation:
        report = upstream.report
        host = upstream.record.host
        return HostExplanation(
            host,
            upstream.record.failure_domain,
            report.slots if report else 0,
            report.in_progress if report else 0.0,
            report.flows if report else 0,
            upstream.unreported_offers,
            selection.service_time_ms(upstream, assumed_ms),
            selection.answer_time_ms(upstream, domain, assumed_ms),
            upstream.report_age_s(now) if report else None,
            choice.probabilities.get(host, 0.0),
            exclusion(upstream),
        )

    def rank(described: HostExplanation) -> tuple[bool, float, float, str]:
        return (
            bool(described.excluded),
            -(described.probability or 0.0),
            described.answer_ms,
            described.host,
        )

    return sorted(map(describe, agents.for_services((service,))), key=rank)
