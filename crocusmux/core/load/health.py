"""Health of the upstreams of one service, judged by their own results."""

import bisect
from collections.abc import Iterable
import math
import statistics

# Share of a service that may be ejected; beyond it, load moved to the rest
# does more harm than the outliers.
EJECT_CEILING = 1 / 3
EJECT_BASE_S = 2.0
EJECT_MAX_S = 60.0
# A stay without ejection this long clears the record.
EJECT_FORGET_S = 120.0
RESULT_WEIGHT = 0.2
MIN_RESULTS = 5
# An outlier fails this much more often than the median upstream.
OUTLIER_MARGIN = 0.4
# A probe costs a caller its answer if it fails, which matters more for work
# that cannot be run again.
PROBE_EVERY = 20
PROBE_EVERY_ONCE = 100
STUCK_S = 1.0
STUCK_FACTOR = 8.0
# Results can get lost; a placement without one is forgotten after this.
RESULT_LOST_S = 30.0
PAIR_FAILURES = 3
PAIR_WINDOW_S = 5.0
# Longer than a reservation waits for its connection (2 s).
PAIR_WAIT_S = 3.0
MAX_PAIRS = 4096
MEDIAN_AGE_S = 0.25
MAX_MEDIAN = 64
# A class is slow at one upstream beyond this ratio to the median upstream.
# Upstreams whose speeds differ 4 times stay below it.
SLOW_RATIO = 4.0
SLOW_FORGET_S = 30.0
TOOK_WEIGHT = 0.3

OK = "ok"
EJECTED = "ejected"
PROBE = "probe"
PAIR = "pair"


class _Pair:
    """Path between one balancer and one upstream."""

    __slots__ = ("blocked_until", "blocks", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.blocks = 0
        self.blocked_until = -math.inf


class UpstreamHealth:
    """Results of one upstream, as one slot owner sees them.

    Attributes:
        started: Start times of requests without a result, in order.
        failed: Moving average of the share of failures.
        refused: Moving average of the share of refusals.
        results: Number of results.
        ok_at: Time of the last success.
        result_at: Time of the last result.
        ejected_until: End of the ejection; 0 if never ejected.
        ejections: Ejections in a row; doubles their length.
        probing: True while the result of a probe is awaited.
        took: For each class, time of the last result and average of the
            time from placement to result, seconds.
    """

    __slots__ = (
        "ejected_until",
        "ejections",
        "failed",
        "ok_at",
        "probing",
        "refused",
        "result_at",
        "results",
        "started",
        "took",
        "via_ok",
    )

    def __init__(self) -> None:
        self.started: list[float] = []
        self.failed = 0.0
        self.refused = 0.0
        self.results = 0
        self.ok_at = -math.inf
        self.result_at = -math.inf
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = False
        self.took: dict[str, tuple[float, float]] = {}
        self.via_ok: dict[str, float] = {}


class Health:
    """Ejection of outliers among the upstreams of one service."""

    def __init__(self) -> None:
        self._upstreams: dict[str, UpstreamHealth] = {}
        self._ejected: set[str] = set()
        self._pairs: dict[tuple[str, str], _Pair] = {}
        self._total = 0
        self._since_probe = 0
        self._medians: dict[str, tuple[float, float]] = {}

    def upstream_health(self, upstream: str) -> UpstreamHealth:
        """Returns the record of an upstream."""
        record = self._upstreams.get(upstream)
        if record is None:
            record = self._upstreams[upstream] = UpstreamHealth()
        return record

    def retain(self, upstreams: Iterable[str]) -> None:
        """Forgets all other upstreams."""
        names = set(upstreams)
        for name in [n for n in self._upstreams if n not in names]:
            del self._upstreams[name]
            self._ejected.discard(name)
        for pair in [p for p in self._pairs if p[1] not in names]:
            del self._pairs[pair]

    def record_start(
        self, now: float, upstream: str, probe: bool, via: str
    ) -> None:
        """Counts a request that was placed."""
        record = self.upstream_health(upstream)
        record.started.append(now)
        self._since_probe += 1
        if probe:
            record.probing = True
            self._since_probe = 0
        pair = self._pairs.get((via, upstream))
        if pair is not None and pair.blocks:
            # One flow tries the path again; the next waits for its result.
            pair.blocked_until = max(pair.blocked_until, now + PAIR_WAIT_S)

    def outstanding(self, now: float, upstream: str) -> int:
        """Returns the requests placed there that have no result yet."""
        started = self.upstream_health(upstream).started
        while started and started[0] < now - RESULT_LOST_S:
            started.pop(0)
        return len(started)

    def record_result(
        self,
        now: float,
        upstream: str,
        work_class: str,
        failed: bool,
        refused: bool,
        took: float,
        via: str,
    ) -> None:
        """Takes the outcome of a request.

        Args:
            now: Time in seconds.
            upstream: Name of the upstream.
            work_class: Name of the work class.
            failed: True if it ran and failed, or may have.
            refused: True if it was refused as not run.
            took: Time from the placement to the result, seconds.
            via: Balancer that the flow came through; empty if unknown.
        """
        record = self.upstream_health(upstream)
        _forget_start(record.started, now - took)
        record.result_at = now
        if self._pair_only(now, record, upstream, via, failed):
            record.probing = False
            return
        record.results += 1
        record.failed += RESULT_WEIGHT * (failed - record.failed)
        record.refused += RESULT_WEIGHT * (refused - record.refused)
        probing, record.probing = record.probing, False
        if not failed and not refused:
            record.ok_at = now
            self._measure(now, record, work_class, took)
            if probing and upstream in self._ejected:
                self._restore(upstream, record)
            return
        failed_probe = probing and upstream in self._ejected
        if failed_probe or self._is_outlier(now, record):
            self._eject(now, upstream, record)

    def state(
        self, now: float, upstream: str, total: int, via: str, idempotent: bool
    ) -> str:
        """Returns whether an upstream may take a new flow.

        Args:
            now: Time in seconds.
            upstream: Name of the upstream.
            total: Upstreams of the service that take new work.
            via: Balancer that the flow came through; empty if unknown.
            idempotent: True if the flow's work may be run again.

        Returns:
            ``OK``, ``EJECTED``, ``PROBE`` (ejected, and due for one flow) or
            ``PAIR`` (does not work through this balancer).
        """
        self._total = total
        record = self.upstream_health(upstream)
        if upstream not in self._ejected and _stuck(now, record):
            self._eject(now, upstream, record)
        if upstream in self._ejected:
            every = PROBE_EVERY if idempotent else PROBE_EVERY_ONCE
            if (
                now >= record.ejected_until
                and not record.probing
                and self._since_probe >= every
            ):
                return PROBE
            return EJECTED
        pair = self._pairs.get((via, upstream)) if via else None
        if pair is not None and now < pair.blocked_until:
            return PAIR
        return OK

    def slow(self, now: float, upstream: str, work_class: str) -> float:
        """Returns how much slower a class is here than at the median.

        Args:
            now: Time in seconds.
            upstream: Name of the upstream.
            work_class: Name of the work class.

        Returns:
            A ratio, 1 when nothing is known.  It returns to 1 with the age
            of the last result, so that the upstream gets another chance.
        """
        at, took = self.upstream_health(upstream).took.get(
            work_class, (now, 0.0)
        )
        if took <= 0.0:
            return 1.0
        median = self._median(now, work_class)
        if median <= 0.0:
            return 1.0
        fresh = math.exp((at - now) / SLOW_FORGET_S)
        return 1.0 + (took / median - 1.0) * fresh

    def _measure(
        self, now: float, record: UpstreamHealth, work_class: str, took: float
    ) -> None:
        _, average = record.took.get(work_class, (now, took))
        average += TOOK_WEIGHT * (took - average)
        record.took[work_class] = (now, average)

    def _median(self, now: float, key: str) -> float:
        """Returns the median over upstreams of a class's time or a share."""
        at, value = self._medians.get(key, (-math.inf, 0.0))
        if now - at < MEDIAN_AGE_S:
            return value
        records = list(self._upstreams.values())[:MAX_MEDIAN]
        if key in ("failed", "refused"):
            values = [getattr(r, key) for r in records if r.results]
        else:
            values = [r.took[key][1] for r in records if key in r.took]
        value = statistics.median(values) if values else 0.0
        self._medians[key] = (now, value)
        return value

    def _is_outlier(self, now: float, record: UpstreamHealth) -> bool:
        if record.results < MIN_RESULTS:
            return False
        return any(
            share >= 0.5 and share > self._median(now, key) + OUTLIER_MARGIN
            for key, share in (
                ("failed", record.failed),
                ("refused", record.refused),
            )
        )

    def _eject(self, now: float, upstream: str, record: UpstreamHealth) -> None:
        if upstream not in self._ejected:
            ceiling = max(1, int(self._total * EJECT_CEILING + 1e-9))
            if self._total < 2 or len(self._ejected) >= ceiling:
                return
            if now - record.ejected_until > EJECT_FORGET_S:
                record.ejections = 0
        self._ejected.add(upstream)
        length = min(EJECT_BASE_S * 2**record.ejections, EJECT_MAX_S)
        record.ejected_until = now + length
        record.ejections = min(record.ejections + 1, 16)

    def _restore(self, upstream: str, record: UpstreamHealth) -> None:
        self._ejected.discard(upstream)
        record.failed = record.refused = 0.0
        record.results = 0

    def _pair_only(
        self,
        now: float,
        record: UpstreamHealth,
        upstream: str,
        via: str,
        failed: bool,
    ) -> bool:
        """Records the result of a path.

        Returns:
            True if a failure says something about this path alone, because
            the upstream answers through other balancers.
        """
        if not via:
            return False
        key = (via, upstream)
        if not failed:
            record.via_ok[via] = now
            self._pairs.pop(key, None)
            return False
        if key not in self._pairs and len(self._pairs) >= MAX_PAIRS:
            self._pairs.pop(next(iter(self._pairs)))
        pair = self._pairs.setdefault(key, _Pair())
        pair.failures += 1
        others = any(
            other != via and now - at < PAIR_WINDOW_S
            for other, at in record.via_ok.items()
        )
        mine = now - record.via_ok.get(via, -math.inf) < PAIR_WINDOW_S
        if not others or mine or pair.failures < PAIR_FAILURES:
            return False
        length = min(EJECT_BASE_S * 2**pair.blocks, EJECT_MAX_S)
        pair.blocks = min(pair.blocks + 1, 16)
        pair.blocked_until = now + length
        return True


def _stuck(now: float, record: UpstreamHealth) -> bool:
    """True if requests are out for long and no result came meanwhile."""
    if not record.started:
        return False
    typical = max((t for _, t in record.took.values()), default=0.0)
    patience = max(STUCK_S, STUCK_FACTOR * typical)
    age = now - max(record.started[0], record.result_at)
    return patience < age < RESULT_LOST_S


def _forget_start(started: list[float], at: float) -> None:
    """Removes the start time that is closest to ``at``."""
    if not started:
        return
    index = bisect.bisect_left(started, at)
    if index == len(started) or (
        index > 0 and at - started[index - 1] < started[index] - at
    ):
        index -= 1
    started.pop(max(index, 0))
