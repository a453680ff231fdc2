"""Selection of the upstream for a new flow, by load reports."""

from collections.abc import Callable, Sequence
import random

from crocusmux.core.forward import upstreams

# Service time assumed until an upstream has answered a request, unless that of
# others is assumed.
DEFAULT_SERVICE_MS = 30.0
# Penalty for another failure domain: two more network crossings, and traffic
# between domains is billed.
CROSS_DOMAIN_COST_MS = 4.0
# Expected wait, as a share of the service time, up to which there is room.
SHORT_WAIT_SHARE = 0.5
# An upstream with more than this many times its share of the open flows is not
# preferred: flows last for many requests, so their load comes later.
MAX_EXCESS = 1.1
# Part of a slot that must be free by the reported mean for a free slot.
MIN_FREE_SLOT = 0.5
# Utilisation above which the wait is assumed to grow linearly.
MAX_UTILISATION = 0.95
# Sampled candidates.  A larger sample sends all balancers to the same upstream
# between two reports.
SAMPLE_SIZE = 2


def choose(
    local: Sequence[upstreams.Upstream],
    find_remote: Callable[[], Sequence[upstreams.Upstream]],
    failure_domain: str,
    rng: random.Random,
    mean_density: float,
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> upstreams.Upstream | None:
    """Returns the upstream for a new flow; None without candidates.

    Samples two candidates of the balancer's failure domain without excess
    flows, weighted by capacity, and compares their expected times to an
    answer.  If neither has room, two of the others are compared as well.

    Args:
        local: Upstreams of the balancer's failure domain that accept new flows.
        find_remote: Returns such upstreams of other failure domains.
        failure_domain: Failure domain of the balancer.
        rng: Source of random numbers.
        mean_density: Flow density of the whole service.
        assumed_ms: Service time of upstreams whose own is unknown, ms.
    """
    preferred, others = split_by_excess(local, mean_density, assumed_ms)
    sample = sample_by_capacity(preferred, rng, assumed_ms)
    if not any(has_room(upstream, assumed_ms) for upstream in sample):
        others += find_remote()
        sample += sample_by_capacity(others, rng, assumed_ms)
    return cheapest(sample, failure_domain, mean_density, assumed_ms)


def choice_probabilities(
    local: Sequence[upstreams.Upstream],
    find_remote: Callable[[], Sequence[upstreams.Upstream]],
    failure_domain: str,
    mean_density: float,
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> dict[str, float]:
    """Returns the hosts that ``choose`` may return, with their probability.

    Visits all possible samples, so it is meant for few upstreams.  The
    arguments are those of ``choose``; the dictionary is empty without
    candidates.
    """
    preferred, others = split_by_excess(local, mean_density, assumed_ms)
    remote: Sequence[upstreams.Upstream] | None = None
    found: dict[str, float] = {}
    for first, weight in possible_samples(preferred, assumed_ms):
        possible = [(first, weight)]
        if not any(has_room(upstream, assumed_ms) for upstream in first):
            remote = find_remote() if remote is None else remote
            possible = [
                (first + second, weight * second_weight)
                for second, second_weight in possible_samples(
                    [*others, *remote], assumed_ms
                )
            ]
        for sample, probability in possible:
            chosen = cheapest(sample, failure_domain, mean_density, assumed_ms)
            if chosen is not None:
                host = chosen.record.host
                found[host] = found.get(host, 0.0) + probability
    return found


def split_by_excess(
    local: Sequence[upstreams.Upstream],
    mean_density: float,
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> tuple[list[upstreams.Upstream], list[upstreams.Upstream]]:
    """Returns the upstreams without excess flows, and those with them."""
    preferred: list[upstreams.Upstream] = []
    others: list[upstreams.Upstream] = []
    for upstream in local:
        excess = flow_excess(upstream, mean_density, assumed_ms)
        has_excess = excess > MAX_EXCESS
        (others if has_excess else preferred).append(upstream)
    return preferred, others


def cheapest(
    sample: Sequence[upstreams.Upstream],
    failure_domain: str,
    mean_density: float,
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> upstreams.Upstream | None:
    """Returns the upstream of a sample with the lowest cost; None if empty."""

    def cost(upstream: upstreams.Upstream) -> float:
        excess = max(1.0, flow_excess(upstream, mean_density, assumed_ms))
        return excess * answer_time_ms(upstream, failure_domain, assumed_ms)

    return min(sample, key=cost, default=None)


def mean_service_ms(reported: Sequence[upstreams.Upstream]) -> float:
    """Returns the mean of the known service times, or the default."""
    known = [x.report.service_ms for x in reported if x.report]
    known = [service_ms for service_ms in known if service_ms]
    return sum(known) / len(known) if known else DEFAULT_SERVICE_MS


def flow_density(
    reported: Sequence[upstreams.Upstream],
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> float:
    """Returns the open flows of upstreams per unit of their capacity."""
    flows = sum(x.report.flows for x in reported if x.report)
    return flows / (sum(capacity(x, assumed_ms) for x in reported) or 1.0)


def flow_excess(
    upstream: upstreams.Upstream,
    mean_density: float,
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> float:
    """Returns an upstream's flow density divided by the service's, or 0."""
    flows = upstream.report.flows if upstream.report else 0
    flows += upstream.unreported_offers
    density = flows / capacity(upstream, assumed_ms)
    return density / mean_density if mean_density else 0.0


def has_room(
    upstream: upstreams.Upstream, assumed_ms: float = DEFAULT_SERVICE_MS
) -> bool:
    """Returns True if the expected wait at an upstream is short."""
    service_ms = service_time_ms(upstream, assumed_ms)
    domain = upstream.record.failure_domain
    wait_ms = answer_time_ms(upstream, domain, assumed_ms) - service_ms
    return wait_ms <= SHORT_WAIT_SHARE * service_ms


def has_free_slot(now: float, upstream: upstreams.Upstream) -> bool:
    """Returns True if an upstream probably has a free slot.

    The reported load is a moving mean, so half a slot is the limit.  Of the
    offers since the report, those of the last service time count: between two
    reports, 0.25 s apart, an upstream serves several requests in each slot.
    """
    report = upstream.report
    if report is None:
        return False
    age_s = upstream.report_age_s(now)
    service_s = service_time_ms(upstream) / 1000
    unfinished_share = service_s / max(service_s, age_s)
    load = report.in_progress + unfinished_share * upstream.unreported_offers
    return load + MIN_FREE_SLOT <= report.slots


def sample_by_capacity(
    usable: Sequence[upstreams.Upstream],
    rng: random.Random,
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> list[upstreams.Upstream]:
    """Returns up to ``SAMPLE_SIZE`` upstreams, weighted by capacity."""
    if len(usable) <= SAMPLE_SIZE:
        return list(usable)
    weights = [capacity(x, assumed_ms) for x in usable]
    first = rng.choices(usable, weights)[0]
    others = [x for x in usable if x is not first]
    weights = [capacity(x, assumed_ms) for x in others]
    return [first, *rng.choices(others, weights)]


def possible_samples(
    usable: Sequence[upstreams.Upstream],
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> list[tuple[list[upstreams.Upstream], float]]:
    """Returns each sample of ``sample_by_capacity`` with its probability."""
    if len(usable) <= SAMPLE_SIZE:
        return [(list(usable), 1.0)]
    total = sum(capacity(x, assumed_ms) for x in usable)
    samples = []
    for first in usable:
        others = [x for x in usable if x is not first]
        left = sum(capacity(x, assumed_ms) for x in others)
        share = capacity(first, assumed_ms) / total
        for second in others:
            weight = share * capacity(second, assumed_ms) / left
            samples.append(([first, second], weight))
    return samples


def capacity(
    upstream: upstreams.Upstream, assumed_ms: float = DEFAULT_SERVICE_MS
) -> float:
    """Returns an upstream's capacity in requests per millisecond."""
    slots = upstream.report.slots if upstream.report else 1
    return max(slots, 1) / service_time_ms(upstream, assumed_ms)


def service_time_ms(
    upstream: upstreams.Upstream, assumed_ms: float = DEFAULT_SERVICE_MS
) -> float:
    """Returns an upstream's mean service time, or the assumed if unknown."""
    known = upstream.report.service_ms if upstream.report else 0.0
    return known or assumed_ms


def answer_time_ms(
    upstream: upstreams.Upstream,
    failure_domain: str,
    assumed_ms: float = DEFAULT_SERVICE_MS,
) -> float:
    """Returns the expected time to the answer of one more request.

    The wait is Sakasegawa's approximation (1977) for c servers with one queue
    at utilisation u: service * u^(sqrt(2(c+1))-1) / (c (1-u)).
    """
    report = upstream.report
    service_ms = service_time_ms(upstream, assumed_ms)
    slots, load = 1, 0.0
    if report is not None:
        slots, load = max(report.slots, 1), report.in_progress
    load += upstream.unreported_offers
    used = min(load / slots, MAX_UTILISATION)
    wait = used ** ((2 * (slots + 1)) ** 0.5 - 1) / (slots * (1 - used))
    overload = max(0.0, load - MAX_UTILISATION * slots) / slots
    cost = service_ms * (1 + wait + overload)
    if upstream.record.failure_domain != failure_domain:
        cost += CROSS_DOMAIN_COST_MS
    return cost
