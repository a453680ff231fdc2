"""Outlier ejection among the upstreams of one service, by their results.

Ejects upstreams that fail, refuse or hang, and blocks single paths from a
balancer to an upstream.  core/load/placement chooses among the others.
"""

import bisect
from collections.abc import Iterable
import math
import statistics

# Largest share of a service's upstreams to eject.  Beyond it, the load moved to
# the remaining upstreams does more harm than the outliers.
MAX_EJECTED_SHARE = 1 / 3
EJECT_BASE_S = 2.0
EJECT_MAX_S = 60.0
# Time without ejection after which the ejection time starts at the base again.
EJECT_FORGET_S = 120.0
RESULT_WEIGHT = 0.2
MIN_RESULTS = 5
# Margin over the median upstream's share of failures or refusals.
OUTLIER_MARGIN = 0.4
# Placements between two probes of ejected upstreams.  A failed probe costs a
# caller its response, which is worse for work that is not idempotent.
PROBE_INTERVAL = 20
UNSAFE_PROBE_INTERVAL = 100
# An upstream is stuck after this time without a result, or this multiple of its
# usual response time if that is longer.
STUCK_S = 1.0
STUCK_FACTOR = 8.0
# Results can get lost; a placement without a result is forgotten after this.
RESULT_LOST_S = 30.0
PATH_FAILURES = 3
PATH_WINDOW_S = 5.0
# Longer than a reservation waits for its connection (2 s).
PATH_WAIT_S = 3.0
MAX_PATHS = 4096
MEDIAN_MAX_AGE_S = 0.25
MAX_MEDIAN_SAMPLES = 64
# Ratio to the median upstream above which a work class counts as slow at an
# upstream.  Upstreams whose speeds differ by a factor of 4 stay below it.
SLOW_RATIO = 4.0
SLOW_FORGET_S = 30.0
RESPONSE_WEIGHT = 0.3

OK = "ok"
EJECTED = "ejected"
PROBE = "probe"
PATH_BLOCKED = "pair"


class _Path:
    """Path between one balancer and one upstream."""

    __slots__ = ("blocked_until", "blocks", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.blocks = 0
        self.blocked_until = -math.inf


class UpstreamHealth:
    """Results of one upstream, as recorded by one slot owner.

    Attributes:
        pending_starts: Start times of requests without a result, in order.
        failed: Moving average of the share of failures.
        refused: Moving average of the share of refusals.
        results: Number of results.
        ok_at: Time of the last success.
        result_at: Time of the last result.
        ejected_until: End of the ejection; 0 if never ejected.
        ejections: Ejections in a row; each doubles the ejection time.
        probing: True while the result of a probe is pending.
        times: By work class, the time of the last result and the average
            time from placement to result, seconds.
        ok_via: By balancer, the time of the last success through it.
    """

    __slots__ = (
        "ejected_until",
        "ejections",
        "failed",
        "ok_at",
        "ok_via",
        "pending_starts",
        "probing",
        "refused",
        "result_at",
        "results",
        "times",
    )

    def __init__(self) -> None:
        self.pending_starts: list[float] = []
        self.failed = 0.0
        self.refused = 0.0
        self.results = 0
        self.ok_at = -math.inf
        self.result_at = -math.inf
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = False
        self.times: dict[str, tuple[float, float]] = {}
        self.ok_via: dict[str, float] = {}


class Health:
    """Outlier ejection among the upstreams of one service."""

    def __init__(self) -> None:
        self._upstreams: dict[str, UpstreamHealth] = {}
        self._ejected: set[str] = set()
        self._paths: dict[tuple[str, str], _Path] = {}
        self._total = 0
        self._since_probe = 0
        self._medians: dict[str, tuple[float, float]] = {}

    def record_of(self, upstream: str) -> UpstreamHealth:
        """Returns the results of an upstream, which are empty if it is new."""
        record = self._upstreams.get(upstream)
        if record is None:
            record = self._upstreams[upstream] = UpstreamHealth()
        return record

    def retain(self, upstreams: Iterable[str]) -> None:
        """Removes all upstreams except these."""
        names = set(upstreams)
        for name in [n for n in self._upstreams if n not in names]:
            del self._upstreams[name]
            self._ejected.discard(name)
        for path in [p for p in self._paths if p[1] not in names]:
            del self._paths[path]

    def record_start(
        self, now: float, upstream: str, probe: bool, via: str
    ) -> None:
        """Records the placement of a request."""
        record = self.record_of(upstream)
        record.pending_starts.append(now)
        self._since_probe += 1
        if probe:
            record.probing = True
            self._since_probe = 0
        path = self._paths.get((via, upstream))
        if path is not None and path.blocks:
            # One flow probes the blocked path; others wait for its result.
            path.blocked_until = max(path.blocked_until, now + PATH_WAIT_S)

    def pending_count(self, now: float, upstream: str) -> int:
        """Returns the number of requests at an upstream without a result."""
        started = self.record_of(upstream).pending_starts
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
        """Records the outcome of a request, and ejects an outlier.

        Args:
            now: Time in seconds.
            upstream: Name of the upstream.
            work_class: Name of the work class.
            failed: True if the request ran and failed, or may have run.
            refused: True if the request was refused and not run.
            took: Time from the placement to the result, seconds.
            via: Balancer that the flow came through; empty if unknown.
        """
        record = self.record_of(upstream)
        _forget_start(record.pending_starts, now - took)
        record.result_at = now
        if self._only_path_failed(now, record, upstream, via, failed):
            record.probing = False
            return
        record.results += 1
        record.failed += RESULT_WEIGHT * (failed - record.failed)
        record.refused += RESULT_WEIGHT * (refused - record.refused)
        probing, record.probing = record.probing, False
        if not failed and not refused:
            record.ok_at = now
            self._add_response_time(now, record, work_class, took)
            if probing and upstream in self._ejected:
                self._readmit(upstream, record)
            return
        failed_probe = probing and upstream in self._ejected
        if failed_probe or self._is_outlier(now, record):
            self._eject(now, upstream, record)

    def placement_state(
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
            ``OK``, ``EJECTED``, ``PROBE`` (ejected, and due for a probe) or
            ``PATH_BLOCKED`` (the path from this balancer fails).
        """
        self._total = total
        record = self.record_of(upstream)
        if upstream not in self._ejected and _stuck(now, record):
            self._eject(now, upstream, record)
        if upstream in self._ejected:
            every = PROBE_INTERVAL if idempotent else UNSAFE_PROBE_INTERVAL
            if (
                now >= record.ejected_until
                and not record.probing
                and self._since_probe >= every
            ):
                return PROBE
            return EJECTED
        path = self._paths.get((via, upstream)) if via else None
        if path is not None and now < path.blocked_until:
            return PATH_BLOCKED
        return OK

    def slowness(self, now: float, upstream: str, work_class: str) -> float:
        """Returns how slow a work class is, relative to the median upstream.

        Args:
            now: Time in seconds.
            upstream: Name of the upstream.
            work_class: Name of the work class.

        Returns:
            Ratio of response times; 1 without results.  It decays to 1 with the
            age of the last result, so that the upstream can get work again.
        """
        at, took = self.record_of(upstream).times.get(work_class, (now, 0.0))
        if took <= 0.0:
            return 1.0
        median = self._median(now, work_class)
        if median <= 0.0:
            return 1.0
        fresh = math.exp((at - now) / SLOW_FORGET_S)
        return 1.0 + (took / median - 1.0) * fresh

    def _add_response_time(
        self, now: float, record: UpstreamHealth, work_class: str, took: float
    ) -> None:
        _, average = record.times.get(work_class, (now, took))
        average += RESPONSE_WEIGHT * (took - average)
        record.times[work_class] = (now, average)

    def _median(self, now: float, key: str) -> float:
        """Returns the median over the upstreams of a share or response time.

        ``key`` is ``"failed"``, ``"refused"`` or the name of a work class.
        """
        at, value = self._medians.get(key, (-math.inf, 0.0))
        if now - at < MEDIAN_MAX_AGE_S:
            return value
        records = list(self._upstreams.values())[:MAX_MEDIAN_SAMPLES]
        if key in ("failed", "refused"):
            values = [getattr(r, key) for r in records if r.results]
        else:
            values = [r.times[key][1] for r in records if key in r.times]
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
            ceiling = max(1, int(self._total * MAX_EJECTED_SHARE + 1e-9))
            if self._total < 2 or len(self._ejected) >= ceiling:
                return
            if now - record.ejected_until > EJECT_FORGET_S:
                record.ejections = 0
        self._ejected.add(upstream)
        length = min(EJECT_BASE_S * 2**record.ejections, EJECT_MAX_S)
        record.ejected_until = now + length
        record.ejections = min(record.ejections + 1, 16)

    def _readmit(self, upstream: str, record: UpstreamHealth) -> None:
        self._ejected.discard(upstream)
        record.failed = record.refused = 0.0
        record.results = 0

    def _only_path_failed(
        self,
        now: float,
        record: UpstreamHealth,
        upstream: str,
        via: str,
        failed: bool,
    ) -> bool:
        """Records the result of a path and blocks the path if it fails.

        Returns:
            True for a failure of this path alone: the upstream answers
            through other balancers.
        """
        if not via:
            return False
        key = (via, upstream)
        if not failed:
            record.ok_via[via] = now
            self._paths.pop(key, None)
            return False
        if key not in self._paths and len(self._paths) >= MAX_PATHS:
            self._paths.pop(next(iter(self._paths)))
        path = self._paths.setdefault(key, _Path())
        path.failures += 1
        works_elsewhere = any(
            other != via and now - at < PATH_WINDOW_S
            for other, at in record.ok_via.items()
        )
        works_here = now - record.ok_via.get(via, -math.inf) < PATH_WINDOW_S
        if not works_elsewhere or works_here or path.failures < PATH_FAILURES:
            return False
        length = min(EJECT_BASE_S * 2**path.blocks, EJECT_MAX_S)
        path.blocks = min(path.blocks + 1, 16)
        path.blocked_until = now + length
        return True


def _stuck(now: float, record: UpstreamHealth) -> bool:
    """Returns True if requests are pending too long without any result."""
    if not record.pending_starts:
        return False
    typical = max((t for _, t in record.times.values()), default=0.0)
    timeout = max(STUCK_S, STUCK_FACTOR * typical)
    age = now - max(record.pending_starts[0], record.result_at)
    return timeout < age < RESULT_LOST_S


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
