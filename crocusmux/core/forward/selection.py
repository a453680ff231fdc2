"""Choice of the upstream for a new flow, from load reports."""

from collections.abc import Sequence
import random

from crocusmux.core.forward import upstreams

# Service time assumed of an upstream that has answered nothing yet.
DEFAULT_SERVICE_MS = 30.0
# Added to the cost of another failure domain: two more crossings, and the
# bytes between domains are paid for.
CROSS_DOMAIN_COST_MS = 4.0
# A request hardly waits where it is expected to wait for at most this share
# of the service time.
SHORT_WAIT_SHARE = 0.5
# An upstream with this many times its share of the open flows is crowded: its
# flows stay for many requests, so their load comes later.
MAX_FLOW_EXCESS = 1.1
# Utilisation above which the queue is taken to grow with each request.
MAX_UTILISATION = 0.95
# Candidates compared.  More of them send all balancers to the same upstream
# between two reports.
SAMPLE_SIZE = 2


def choose(
    candidates: Sequence[upstreams.Upstream],
    failure_domain: str,
    rng: random.Random,
    mean_density: float,
) -> upstreams.Upstream | None:
    """Returns the upstream for a new flow; None without candidates.

    Two candidates of the own failure domain that are not crowded are drawn by
    their capacity, and the one with the lower expected time to an answer is
    taken.  If a request would wait there, two of the others are compared with
    it.

    Args:
        candidates: Upstreams that take new flows.
        failure_domain: Failure domain of the balancer.
        rng: Random numbers.
        mean_density: Open flows of the service in all, divided by the
            capacity of its upstreams.
    """
    near: list[upstreams.Upstream] = []
    others: list[upstreams.Upstream] = []
    for one in candidates:
        same = one.record.failure_domain == failure_domain
        preferred = same and flow_excess(one, mean_density) <= MAX_FLOW_EXCESS
        (near if preferred else others).append(one)
    compared = sample_by_capacity(near, rng)
    if not any(has_room(one) for one in compared):
        compared += sample_by_capacity(others, rng)
    if not compared:
        return None

    def cost(one: upstreams.Upstream) -> float:
        excess = max(1.0, flow_excess(one, mean_density))
        return excess * expected_answer_ms(one, failure_domain)

    return min(compared, key=cost)


def flow_density(found: Sequence[upstreams.Upstream]) -> float:
    """Returns the open flows of upstreams, divided by their capacity."""
    flows = sum(one.report.flows for one in found if one.report)
    return flows / (sum(capacity(one) for one in found) or 1.0)


def flow_excess(upstream: upstreams.Upstream, mean_density: float) -> float:
    """Returns the open flows of an upstream in parts of its share; 0 if none.

    Args:
        upstream: The upstream.
        mean_density: Flows for each unit of capacity, over the whole service.
    """
    flows = upstream.report.flows if upstream.report else 0
    own = (flows + upstream.unreported_offers) / capacity(upstream)
    return own / mean_density if mean_density else 0.0


def has_room(upstream: upstreams.Upstream) -> bool:
    """Returns True if a request would hardly wait at an upstream."""
    service_ms = service_time_ms(upstream)
    waits = (
        expected_answer_ms(upstream, upstream.record.failure_domain)
        - service_ms
    )
    return waits <= SHORT_WAIT_SHARE * service_ms


def sample_by_capacity(
    usable: Sequence[upstreams.Upstream], rng: random.Random
) -> list[upstreams.Upstream]:
    """Returns at most ``COMPARED`` different upstreams, drawn by capacity."""
    if len(usable) <= SAMPLE_SIZE:
        return list(usable)
    first = rng.choices(usable, [capacity(one) for one in usable])[0]
    rest = [one for one in usable if one is not first]
    return [first, *rng.choices(rest, [capacity(one) for one in rest])]


def capacity(upstream: upstreams.Upstream) -> float:
    """Returns the requests that an upstream serves in a millisecond."""
    slots = upstream.report.slots if upstream.report else 1
    return max(slots, 1) / service_time_ms(upstream)


def service_time_ms(upstream: upstreams.Upstream) -> float:
    """Returns an upstream's mean service time, or what is assumed of it."""
    known = upstream.report.service_ms if upstream.report else 0.0
    return known or DEFAULT_SERVICE_MS


def expected_answer_ms(
    upstream: upstreams.Upstream, failure_domain: str
) -> float:
    """Returns the expected time to an answer of one more request.

    The wait follows the usual approximation for several servers with one
    queue (Sakasegawa 1977): service * u^(sqrt(2(c+1))-1) / (c (1-u)).
    """
    report = upstream.report
    service_ms = service_time_ms(upstream)
    slots, busy = 1, 0.0
    if report is not None:
        slots, busy = max(report.slots, 1), report.in_progress
    busy += upstream.unreported_offers
    used = min(busy / slots, MAX_UTILISATION)
    wait = used ** ((2 * (slots + 1)) ** 0.5 - 1) / (slots * (1 - used))
    beyond = max(0.0, busy - MAX_UTILISATION * slots) / slots
    cost = service_ms * (1 + wait + beyond)
    if upstream.record.failure_domain != failure_domain:
        cost += CROSS_DOMAIN_COST_MS
    return cost
