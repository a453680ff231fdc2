"""Choice of the upstream that holds a new flow."""

from collections.abc import Iterable, Sequence
import math
import random

import msgspec

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.load import capacity
from crocusmux.core.load import health

# Upstreams compared for one flow.  More cost time: 1,000 endpoints would
# take a millisecond.
MAX_COMPARED = 8
# Weight of the utilisation in the cost, in service times.  Lower values
# leave the fast upstreams busier than the slow ones, higher values place
# behind a busy slot though another is free.
BUSY_WEIGHT = 2.0
# Load reports tell nothing about the next second once they are older.
HINT_AGE_S = 5.0
# Reports in a row that deny our own placements before they are ignored.
FALSE_REPORTS = 5
DISTRUST_S = 30.0
# A placement this old must be in any report that its holder sends.
REPORT_LAG_S = 0.03
MAX_PENDING = 1024
DEFAULT_ROUND_TRIP_S = 0.003
# Cost of a second try in the failure domain that refused the first.
SAME_DOMAIN_COST = 0.5
# Every packet of a long flow held elsewhere passes its owner first, so a long
# flow stays with the owner unless another upstream has clearly more room.
REMOTE_CONNECTION_COST = 0.02


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """An upstream that may hold a new flow.

    Attributes:
        upstream: Name of the upstream.
        host: Host of its agent.
        failure_domain: Failure domain of the host.
        slots: Requests that it serves at once.
        connections: Connections that it can take.
        warming: True while the upstream warms up.
        local: True if the chooser is the agent beside it.
    """

    upstream: str
    host: str
    failure_domain: str
    slots: int
    connections: int
    warming: bool = False
    local: bool = False


class Choice(msgspec.Struct, frozen=True, gc=False):
    """The chosen upstream, and why.

    Attributes:
        upstream: Name of the upstream.
        host: Host of its agent.
        reason: Why, for the decision log.
    """

    upstream: str
    host: str
    reason: str


class _Known:
    """What is known of the load of one upstream."""

    __slots__ = (
        "at",
        "denied",
        "distrusted_until",
        "load",
        "long",
        "pending",
        "warm_since",
    )

    def __init__(self) -> None:
        self.load: messages.Load | None = None
        self.at = -math.inf
        # Times of own placements that no report contains yet.
        self.pending: list[float] = []
        # Own long flows that no report contains yet.
        self.long = 0
        self.denied = 0
        self.distrusted_until = -math.inf
        self.warm_since: float | None = None


class Placement:
    """Loads of the upstreams of one service, as one slot owner knows them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._known: dict[str, _Known] = {}
        self._health = health.Health()
        self._round_trip = DEFAULT_ROUND_TRIP_S
        # Means over the reports of all upstreams.
        self._busy = 0.0
        self._service = 0.0

    def update_load(
        self, now: float, load: messages.Load, acked: bool = False
    ) -> None:
        """Takes a load report of an upstream.

        Args:
            now: Time in seconds.
            load: The load.
            acked: True if it came with the answer to an own placement.
        """
        known = self._of(load.upstream)
        if acked and known.pending:
            took = now - known.pending.pop(0)
            self._round_trip += 0.05 * (took - self._round_trip)
        # A report that left before the placement arrived cannot contain it.
        horizon = now - self._round_trip
        known.pending = [at for at in known.pending if at > horizon]
        known.long = 0
        known.load = load
        known.at = now
        self._busy += 0.02 * (load.busy_share - self._busy)
        self._service += 0.02 * (load.service_ms / 1000 - self._service)
        self._check_report(now, known, load)

    def update_local_load(self, now: float, load: messages.Load) -> None:
        """Takes the present load of an upstream beside the chooser.

        It contains all placements made here, so nothing is counted on top.
        """
        known = self._of(load.upstream)
        known.pending.clear()
        known.long = 0
        known.load = load
        known.at = now
        self._busy += 0.02 * (load.busy_share - self._busy)
        self._service += 0.02 * (load.service_ms / 1000 - self._service)

    def record_result(
        self,
        now: float,
        upstream: str,
        work_class: str,
        outcome: str,
        took: float,
        via: str = "",
    ) -> None:
        """Takes the outcome of a request placed here; not of long flows.

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
        known = self._of(upstream)
        if outcome == messages.REFUSED and known.pending:
            known.pending.pop(0)

    def retain(self, upstreams: Iterable[str]) -> None:
        """Forgets all upstreams but these; call it at each new epoch."""
        names = set(upstreams)
        self._health.retain(names)
        for name in [n for n in self._known if n not in names]:
            del self._known[name]

    def choose(
        self,
        now: float,
        candidates: Sequence[Candidate],
        work: objects.WorkClass,
        caller: str,
        exclude: str = "",
        via: str = "",
    ) -> Choice | None:
        """Chooses the upstream that holds a new flow.

        Args:
            now: Time in seconds.
            candidates: Upstreams of the service that take new work.
            work: Work class of the flow.
            caller: IP number of the caller.
            exclude: Upstream to avoid if another is there.
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
            self._health.state(now, c.upstream, total, via, work.idempotent)
            for c in pool
        ]
        if health.PROBE in states and work.kind != "long":
            probed = pool[states.index(health.PROBE)]
            return self._take(now, probed, work, "probe", via)
        healthy = [
            c
            for c, state in zip(pool, states, strict=True)
            if state == health.OK and self._looks_ready(now, c)
        ]
        reason = "least-loaded"
        if 2 * len(healthy) < len(pool):
            healthy, reason = pool, "panic"
        domain = _domain_of(candidates, exclude)
        open_ = [c for c in healthy if self._warm(now, c)] or healthy
        remote_cost = REMOTE_CONNECTION_COST if work.kind == "long" else 0.0
        best = min(
            open_,
            key=lambda c: (
                self._cost(now, c, work)
                + (SAME_DOMAIN_COST if c.failure_domain == domain else 0.0)
                + (0.0 if c.local else remote_cost),
                self._rng.random(),
            ),
        )
        return self._take(now, best, work, reason, via)

    def _of(self, upstream: str) -> _Known:
        known = self._known.get(upstream)
        if known is None:
            known = self._known[upstream] = _Known()
        return known

    def _take(
        self,
        now: float,
        candidate: Candidate,
        work: objects.WorkClass,
        reason: str,
        via: str,
    ) -> Choice:
        """Counts the placement and returns the choice."""
        known = self._of(candidate.upstream)
        if work.kind == "long":
            known.long += 1
        else:
            known.pending.append(now)
            if len(known.pending) > MAX_PENDING:
                known.pending.pop(0)
            probe = reason == "probe"
            self._health.record_start(now, candidate.upstream, probe, via)
        return Choice(candidate.upstream, candidate.host, reason)

    def _looks_ready(self, now: float, candidate: Candidate) -> bool:
        """False if a recent report says so and no later answer denies it."""
        known = self._of(candidate.upstream)
        if known.load is None or known.load.ready:
            return True
        if now - known.at > HINT_AGE_S:
            return True
        return self._health.upstream_health(candidate.upstream).ok_at > known.at

    def _warm(self, now: float, candidate: Candidate) -> bool:
        """Lets a warming upstream take part in its share of the choices."""
        known = self._of(candidate.upstream)
        if not candidate.warming:
            known.warm_since = None
            return True
        if known.warm_since is None:
            known.warm_since = now
        share = capacity.warm_up_share(now - known.warm_since)
        return self._rng.random() < share

    def _check_report(
        self, now: float, known: _Known, load: messages.Load
    ) -> None:
        """Distrusts reports that deny placements of our own."""
        started = self._health.upstream_health(load.upstream).started
        ours = sum(1 for at in started if at < now - REPORT_LAG_S)
        if ours <= load.in_flight + load.queued:
            known.denied = 0
            return
        known.denied += 1
        if known.denied >= FALSE_REPORTS:
            known.distrusted_until = now + DISTRUST_S

    def _cost(
        self, now: float, candidate: Candidate, work: objects.WorkClass
    ) -> float:
        known = self._of(candidate.upstream)
        if work.kind == "long":
            return _connection_cost(known, candidate)
        slots = float(candidate.slots)
        if known.load is not None and now >= known.distrusted_until:
            slots = min(slots, float(known.load.limit))
        if candidate.warming and known.warm_since is not None:
            slots *= capacity.warm_up_share(now - known.warm_since)
        guess = self._estimate(now, known, candidate, work)
        own = self._health.outstanding(now, candidate.upstream)
        taken = max(guess.taken, float(own)) + 1.0
        excess = _expected_excess(taken - slots, guess.deviation)
        wait = excess / max(slots, 0.1) * guess.pace
        cost = wait + BUSY_WEIGHT * (guess.share - self._busy)
        slow = self._health.slow(now, candidate.upstream, work.name)
        if slow > health.SLOW_RATIO:
            cost += slow
        return cost

    def _estimate(
        self,
        now: float,
        known: _Known,
        candidate: Candidate,
        work: objects.WorkClass,
    ) -> "_Guess":
        pending = float(len(known.pending))
        load = known.load
        age = now - known.at
        if load is None or age > HINT_AGE_S or now < known.distrusted_until:
            usual = self._busy * candidate.slots
            return _Guess(usual + pending, math.sqrt(usual), self._busy, 1.0)
        service = max(load.service_ms / 1000, 0.001)
        fresh = math.exp(-age / service)
        usual = load.busy_share * candidate.slots
        ahead = load.queued_by_urgency[: work.urgency + 1]
        seen = load.in_flight + sum(ahead)
        taken = usual + (seen - usual) * fresh
        deviation = math.sqrt(max(usual, 0.1) * (1.0 - fresh * fresh))
        pace = service / self._service if self._service > 0 else 1.0
        return _Guess(taken + pending, deviation, load.busy_share, pace)


class _Guess(msgspec.Struct, frozen=True, gc=False):
    """Estimate of the load of an upstream at this moment.

    Attributes:
        taken: Busy slots and waiting requests that come first.
        deviation: Standard deviation of ``taken``.
        share: Utilisation of the slots.
        pace: Its service time over the service's mean.
    """

    taken: float
    deviation: float
    share: float
    pace: float


def _expected_excess(mean: float, deviation: float) -> float:
    """Returns the mean of the positive part of a normal variable."""
    if deviation < 1e-3:
        return max(mean, 0.0)
    ratio = mean / deviation
    density = math.exp(-0.5 * ratio * ratio) / math.sqrt(2 * math.pi)
    below = 0.5 * (1.0 + math.erf(ratio / math.sqrt(2)))
    return deviation * density + mean * below


def _connection_cost(known: _Known, candidate: Candidate) -> float:
    held = known.load.connections if known.load is not None else 0
    return (held + known.long) / max(candidate.connections, 1)


def _domain_of(candidates: Sequence[Candidate], upstream: str) -> str:
    for candidate in candidates:
        if candidate.upstream == upstream:
            return candidate.failure_domain
    return ""
