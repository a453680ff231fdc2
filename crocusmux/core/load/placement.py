"""Choice of the upstream for a new flow, by load reports and own results.

Outlier ejection is in core/load/health, admission in core/load/admission.
"""

from collections.abc import Iterable, Sequence
import math
import random

import msgspec

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.load import capacity
from crocusmux.core.load import health

# Upstreams compared for one flow; comparing 1,000 would take a millisecond.
MAX_COMPARED = 8
# Weight of the utilisation in the cost, in service times.  Lower values leave
# the fast upstreams busier than the slow ones; higher values queue flows at one
# upstream while another has a free slot.
BUSY_WEIGHT = 2.0
# Older load reports do not predict the load of the next second.
MAX_REPORT_AGE_S = 5.0
# Consecutive reports that contradict own placements before an upstream's
# reports are ignored.
FALSE_REPORTS = 5
DISTRUST_S = 30.0
# Age from which a placement must be counted in the reports of its holder.
REPORT_LAG_S = 0.03
MAX_PENDING = 1024
DEFAULT_ROUND_TRIP_S = 0.003
# Cost of a retry in the failure domain that refused the first attempt.
SAME_DOMAIN_COST = 0.5
# Packets of a long flow at a remote holder pass its owner first, so a long flow
# stays with the owner unless another upstream has clearly more free connections.
REMOTE_CONNECTION_COST = 0.02


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """An upstream that may get a new flow.

    Attributes:
        upstream: Name of the upstream.
        host: Host of its agent.
        failure_domain: Failure domain of the host.
        slots: Requests that it serves concurrently.
        connections: Limit of its connections.
        warming: True while the upstream warms up.
        local: True if it is on the host that makes the choice.
    """

    upstream: str
    host: str
    failure_domain: str
    slots: int
    connections: int
    warming: bool = False
    local: bool = False


class Choice(msgspec.Struct, frozen=True, gc=False):
    """The chosen upstream.

    Attributes:
        upstream: Name of the upstream.
        host: Host of its agent.
        reason: Reason word for the decision log.
    """

    upstream: str
    host: str
    reason: str


class _UpstreamLoad:
    """Last load report of one upstream, and own placements since."""

    __slots__ = (
        "contradicted",
        "distrusted_until",
        "load",
        "long_pending",
        "pending",
        "reported_at",
        "warm_since",
    )

    def __init__(self) -> None:
        self.load: messages.Load | None = None
        self.reported_at = -math.inf
        # Times of own placements that no report includes yet.
        self.pending: list[float] = []
        # Number of own long flows that no report includes yet.
        self.long_pending = 0
        self.contradicted = 0
        self.distrusted_until = -math.inf
        self.warm_since: float | None = None


class Placement:
    """Chooses upstreams of one service on behalf of one slot owner."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._loads: dict[str, _UpstreamLoad] = {}
        self._health = health.Health()
        self._round_trip = DEFAULT_ROUND_TRIP_S
        # Moving averages over the reports of all upstreams.
        self._busy_share = 0.0
        self._service_s = 0.0

    def update_load(
        self, now: float, load: messages.Load, acked: bool = False
    ) -> None:
        """Records a load report of an upstream.

        Args:
            now: Time in seconds.
            load: The load.
            acked: True if it came with the reply to an own placement.
        """
        known = self._load_of(load.upstream)
        if acked and known.pending:
            elapsed = now - known.pending.pop(0)
            self._round_trip += 0.05 * (elapsed - self._round_trip)
        # A report cannot include placements that arrived after it was sent.
        sent_at = now - self._round_trip
        known.pending = [at for at in known.pending if at > sent_at]
        known.long_pending = 0
        known.load = load
        known.reported_at = now
        self._busy_share += 0.02 * (load.busy_share - self._busy_share)
        self._service_s += 0.02 * (load.service_ms / 1000 - self._service_s)
        self._check_report(now, known, load)

    def update_local_load(self, now: float, load: messages.Load) -> None:
        """Records the current load of an upstream on the same host.

        It includes all own placements, so none are added to it.
        """
        known = self._load_of(load.upstream)
        known.pending.clear()
        known.long_pending = 0
        known.load = load
        known.reported_at = now
        self._busy_share += 0.02 * (load.busy_share - self._busy_share)
        self._service_s += 0.02 * (load.service_ms / 1000 - self._service_s)

    def record_result(
        self,
        now: float,
        upstream: str,
        work_class: str,
        outcome: str,
        took: float,
        via: str = "",
    ) -> None:
        """Records the outcome of an own placement, except of long flows.

        Args:
            now: Time in seconds.
            upstream: Name of the upstream.
            work_class: Name of the work class.
            outcome: ``messages.ANSWERED``, ``REFUSED`` or ``UNKNOWN``.
            took: Time from ``choose`` to the outcome, seconds.
            via: Balancer that the flow came through.
        """
        self._health.record_result(
            now,
            upstream,
            work_class,
            outcome == messages.UNKNOWN,
            outcome == messages.REFUSED,
            took,
            via,
        )
        known = self._load_of(upstream)
        if outcome == messages.REFUSED and known.pending:
            known.pending.pop(0)

    def retain(self, upstreams: Iterable[str]) -> None:
        """Removes all upstreams except these; call it at each new epoch."""
        names = set(upstreams)
        self._health.retain(names)
        for name in [n for n in self._loads if n not in names]:
            del self._loads[name]

    def choose(
        self,
        now: float,
        candidates: Sequence[Candidate],
        work: objects.WorkClass,
        caller: str,
        exclude: str = "",
        via: str = "",
    ) -> Choice | None:
        """Chooses the upstream for a new flow and records the placement.

        Args:
            now: Time in seconds.
            candidates: Upstreams of the service that take new work.
            work: Work class of the flow.
            caller: IP number of the caller; not used.
            exclude: Upstream to avoid if there is another candidate.
            via: Balancer that the flow came through.

        Returns:
            The choice, or None if there is no candidate.
        """
        del caller
        pool = [c for c in candidates if c.upstream != exclude]
        pool = pool or list(candidates)
        if not pool:
            return None
        if len(pool) > MAX_COMPARED:
            pool = self._rng.sample(pool, MAX_COMPARED)
        total = len(candidates)
        states = [
            self._health.placement_state(
                now, c.upstream, total, via, work.idempotent
            )
            for c in pool
        ]
        if health.PROBE in states and work.kind != "long":
            probed = pool[states.index(health.PROBE)]
            return self._record_choice(now, probed, work, "probe", via)
        healthy = [
            c
            for c, state in zip(pool, states, strict=True)
            if state == health.OK and self._reported_ready(now, c)
        ]
        reason = "least-loaded"
        if 2 * len(healthy) < len(pool):
            healthy, reason = pool, "panic"
        domain = _domain_of(candidates, exclude)
        eligible = [
            c for c in healthy if self._admitted_by_warm_up(now, c)
        ] or healthy
        remote_cost = REMOTE_CONNECTION_COST if work.kind == "long" else 0.0
        best = min(
            eligible,
            key=lambda c: (
                self._cost(now, c, work)
                + (SAME_DOMAIN_COST if c.failure_domain == domain else 0.0)
                + (0.0 if c.local else remote_cost),
                self._rng.random(),
            ),
        )
        return self._record_choice(now, best, work, reason, via)

    def _load_of(self, upstream: str) -> _UpstreamLoad:
        known = self._loads.get(upstream)
        if known is None:
            known = self._loads[upstream] = _UpstreamLoad()
        return known

    def _record_choice(
        self,
        now: float,
        candidate: Candidate,
        work: objects.WorkClass,
        reason: str,
        via: str,
    ) -> Choice:
        """Records the placement and returns it as a choice."""
        known = self._load_of(candidate.upstream)
        if work.kind == "long":
            known.long_pending += 1
        else:
            known.pending.append(now)
            if len(known.pending) > MAX_PENDING:
                known.pending.pop(0)
            probe = reason == "probe"
            self._health.record_start(now, candidate.upstream, probe, via)
        return Choice(candidate.upstream, candidate.host, reason)

    def _reported_ready(self, now: float, candidate: Candidate) -> bool:
        """Returns False after a recent "not ready" report without later success."""
        known = self._load_of(candidate.upstream)
        if known.load is None or known.load.ready:
            return True
        if now - known.reported_at > MAX_REPORT_AGE_S:
            return True
        return (
            self._health.record_of(candidate.upstream).ok_at > known.reported_at
        )

    def _admitted_by_warm_up(self, now: float, candidate: Candidate) -> bool:
        """Admits a warming upstream with the probability of its slot share."""
        known = self._load_of(candidate.upstream)
        if not candidate.warming:
            known.warm_since = None
            return True
        if known.warm_since is None:
            known.warm_since = now
        share = capacity.warm_up_share(now - known.warm_since)
        return self._rng.random() < share

    def _check_report(
        self, now: float, known: _UpstreamLoad, load: messages.Load
    ) -> None:
        """Starts to ignore reports that repeatedly omit own placements."""
        starts = self._health.record_of(load.upstream).pending_starts
        own_count = sum(1 for at in starts if at < now - REPORT_LAG_S)
        if own_count <= load.in_flight + load.queued:
            known.contradicted = 0
            return
        known.contradicted += 1
        if known.contradicted >= FALSE_REPORTS:
            known.distrusted_until = now + DISTRUST_S

    def _cost(
        self, now: float, candidate: Candidate, work: objects.WorkClass
    ) -> float:
        known = self._load_of(candidate.upstream)
        if work.kind == "long":
            return _connection_cost(known, candidate)
        slots = float(candidate.slots)
        if known.load is not None and now >= known.distrusted_until:
            slots = min(slots, float(known.load.limit))
        if candidate.warming and known.warm_since is not None:
            slots *= capacity.warm_up_share(now - known.warm_since)
        estimate = self._estimate(now, known, candidate, work)
        own_pending = self._health.pending_count(now, candidate.upstream)
        occupied = max(estimate.occupied, float(own_pending)) + 1.0
        excess = _expected_excess(occupied - slots, estimate.deviation)
        wait = excess / max(slots, 0.1) * estimate.pace
        cost = wait + BUSY_WEIGHT * (estimate.share - self._busy_share)
        slowness = self._health.slowness(now, candidate.upstream, work.name)
        if slowness > health.SLOW_RATIO:
            cost += slowness
        return cost

    def _estimate(
        self,
        now: float,
        known: _UpstreamLoad,
        candidate: Candidate,
        work: objects.WorkClass,
    ) -> "_LoadEstimate":
        pending = float(len(known.pending))
        load = known.load
        age = now - known.reported_at
        if (
            load is None
            or age > MAX_REPORT_AGE_S
            or now < known.distrusted_until
        ):
            average = self._busy_share * candidate.slots
            return _LoadEstimate(
                average + pending,
                math.sqrt(average),
                self._busy_share,
                1.0,
            )
        service = max(load.service_ms / 1000, 0.001)
        freshness = math.exp(-age / service)
        average = load.busy_share * candidate.slots
        ahead = load.queued_by_urgency[: work.urgency + 1]
        reported_busy = load.in_flight + sum(ahead)
        occupied = average + (reported_busy - average) * freshness
        deviation = math.sqrt(max(average, 0.1) * (1.0 - freshness * freshness))
        pace = service / self._service_s if self._service_s > 0 else 1.0
        return _LoadEstimate(
            occupied + pending, deviation, load.busy_share, pace
        )


class _LoadEstimate(msgspec.Struct, frozen=True, gc=False):
    """Estimated current load of an upstream.

    Attributes:
        occupied: Busy slots and queued requests that start before a new one.
        deviation: Standard deviation of ``occupied``.
        share: Utilisation of the slots.
        pace: Ratio of its service time to the mean of the service.
    """

    occupied: float
    deviation: float
    share: float
    pace: float


def _expected_excess(mean: float, deviation: float) -> float:
    """Returns the mean of the positive part of a normal random variable."""
    if deviation < 1e-3:
        return max(mean, 0.0)
    ratio = mean / deviation
    density = math.exp(-0.5 * ratio * ratio) / math.sqrt(2 * math.pi)
    below = 0.5 * (1.0 + math.erf(ratio / math.sqrt(2)))
    return deviation * density + mean * below


def _connection_cost(known: _UpstreamLoad, candidate: Candidate) -> float:
    in_use = known.load.connections if known.load is not None else 0
    return (in_use + known.long_pending) / max(candidate.connections, 1)


def _domain_of(candidates: Sequence[Candidate], upstream: str) -> str:
    for candidate in candidates:
        if candidate.upstream == upstream:
            return candidate.failure_domain
    return ""
