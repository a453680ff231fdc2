"""Choice of the upstream for a new flow, from load reports."""

from collections.abc import Sequence
import random

from crocusmux.core.forward import upstreams

# Service time assumed of an upstream that has answered nothing yet.
UNKNOWN_SERVICE_MS = 30.0
# Added to the cost of another failure domain: two more crossings, and the
# bytes between domains are paid for.
OTHER_DOMAIN_MS = 4.0
# Utilisation above which the queue is taken to grow with each request.
FULL = 0.95
# Candidates compared.  More of them send all balancers to the same upstream
# between two reports.
COMPARED = 2


def choose(
    candidates: Sequence[upstreams.Upstream],
    failure_domain: str,
    rng: random.Random,
) -> upstreams.Upstream | None:
    """Returns the upstream for a new flow; None without candidates.

    Two candidates are drawn by their capacity, and the one with the lower
    expected time to an answer is taken.

    Args:
        candidates: Upstreams that take new flows.
        failure_domain: Failure domain of the balancer.
        rng: Random numbers.
    """
    usable = list(candidates)
    if not usable:
        return None
    if len(usable) > COMPARED:
        usable = draw(usable, rng)
    return min(usable, key=lambda one: cost_ms(one, failure_domain))


def draw(
    usable: list[upstreams.Upstream], rng: random.Random
) -> list[upstreams.Upstream]:
    """Returns ``COMPARED`` different upstreams, drawn by capacity."""
    first = rng.choices(usable, [capacity(one) for one in usable])[0]
    rest = [one for one in usable if one is not first]
    return [first, *rng.choices(rest, [capacity(one) for one in rest])]


def capacity(upstream: upstreams.Upstream) -> float:
    """Returns the requests that an upstream serves in a millisecond."""
    report = upstream.report
    if report is None:
        return 1.0 / UNKNOWN_SERVICE_MS
    return max(report.slots, 1) / (report.service_ms or UNKNOWN_SERVICE_MS)


def cost_ms(upstream: upstreams.Upstream, failure_domain: str) -> float:
    """Returns the expected time to an answer of one more request.

    The wait follows the usual approximation for several servers with one
    queue (Sakasegawa 1977): service * u^(sqrt(2(c+1))-1) / (c (1-u)).
    """
    report = upstream.report
    service_ms = UNKNOWN_SERVICE_MS
    slots, busy = 1, 0.0
    if report is not None:
        service_ms = report.service_ms or UNKNOWN_SERVICE_MS
        slots, busy = max(report.slots, 1), report.in_progress
    busy += upstream.offered
    used = min(busy / slots, FULL)
    wait = used ** ((2 * (slots + 1)) ** 0.5 - 1) / (slots * (1 - used))
    beyond = max(0.0, busy - FULL * slots) / slots
    cost = service_ms * (1 + wait + beyond)
    if upstream.record.failure_domain != failure_domain:
        cost += OTHER_DOMAIN_MS
    return cost
