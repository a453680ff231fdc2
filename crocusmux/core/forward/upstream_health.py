"""Failures of an upstream, judged by the times of its answers.

The bytes of a flow are not read, so an upstream is judged only by when its
requests begin, are answered or end without an answer.  Failures raise the
reported service time, by which balancers compare upstreams.
"""

import math

from crocusmux.core.forward import agent_flows
from crocusmux.core.forward import outputs

# Weight of a sample in the level, the moving average that is reported.
SAMPLE_WEIGHT = 0.05
# An unanswered request counts as a sample once it is older than this many mean
# service times and than this time.  Slow answers of a healthy upstream take up
# to 7 mean service times, but few of them are in progress at once.
OVERDUE_MEANS = 4.0
MIN_OVERDUE_S = 0.2
# Sample for a request without an answer, in mean service times: as slow as the
# slowest kind of failing upstreams.
FAILURE_MEANS = 8.0
# No sample counts more.  Without the limit a single request that is unanswered
# for 10 s would raise a mean of 30 ms to 17 times its value.
MAX_SAMPLE_MEANS = 16.0
# The earliest time at which callers give up.  Requests that are older may have
# been abandoned, and their failure may be over, so their weight decays.
ABANDONED_AFTER_S = 3.0
# Answers in less than this share of the mean service time are fast.
FAST_SHARE = 1 / 8
# Newest answers that are examined, and how many of them must be fast for fast
# answers to count as failures.
FAST_WINDOW = 20
MIN_FAST = 4
# The bits of the answers in the window.
FAST_MASK = (1 << FAST_WINDOW) - 1
# An answer up to this many mean service times is good.
GOOD_MEANS = 2.0
# Time constant of the decay of an outlier's excess service time.
DECAY_S = 2.0
# Without samples for this time the excess decays as with good answers.
IDLE_S = 0.5
# Answers that are averaged before any is judged; a first answer alone may be
# far from the mean.
LEARNING_ANSWERS = 20
# Time constant of the mean service time, after the first answers.  It is longer
# than most failures, so that they do not become the norm.
MEAN_S = 120.0
# Larger samples count as this many mean service times for the mean.
MAX_MEAN_SAMPLE = 3.0
# The mean is at most this many times the level, which adapts within 20
# answers if the upstream has become faster.
MAX_MEAN_EXCESS = 1.5
# Mean service time assumed before the first answer; with it a request is overdue
# after ``MIN_OVERDUE_S``.
ASSUMED_MEAN_MS = 1000 * MIN_OVERDUE_S / OVERDUE_MEANS
# Reported service time, in mean service times, at which an upstream begins and
# ceases to be logged as an outlier.  Three slow answers of a healthy upstream
# within 20 raise it to at most 1.9.
OUTLIER_MEANS = 2.5
RECOVERED_MEANS = 1.3
# Shortest time for which an upstream is logged as an outlier, so that it causes
# at most one line a second.
MIN_OUTLIER_S = 2.0


class UpstreamHealth:
    """Service time of an upstream, raised by its failures.

    Two averages are kept.  The mean is the usual service time, which changes
    slowly and to which samples are compared.  The level follows answers and
    failures within about 20 samples, and returns to the mean by good answers
    or with time.

    A request that finds no free slot waits in the upstream's queue, which is no
    sign of a failure.  The queue is assumed to be in the order of arrival: when
    a request ends, the oldest waiting one starts, and is judged by the time
    since then.  Otherwise an overloaded upstream, which is what a slow one soon
    becomes, would never be judged.  An overdue request is assumed to hold no
    slot, as those that an upstream drops would block the others for good.

    Attributes:
        slots: Requests that the upstream serves concurrently.
        outlier: True while the upstream is logged as an outlier.
        overdue_count: Overdue requests at the last check.
    """

    __slots__ = (
        "_answers",
        "_decayed_at",
        "_failures",
        "_fast_bits",
        "_learning_until",
        "_level_ms",
        "_mean_at",
        "_mean_ms",
        "_outlier_since",
        "_overdue_before",
        "_overdue_ms",
        "_overdue_rest",
        "_started_at",
        "_waiting",
        "outlier",
        "overdue_count",
        "slots",
    )

    def __init__(self) -> None:
        self.slots = 1
        # Requests that hold a slot, in the order of their start, with its time
        # in seconds.
        self._started_at: dict[agent_flows.Flow, float] = {}
        # Requests in the upstream's queue, in the order of their arrival.
        self._waiting: dict[agent_flows.Flow, None] = {}
        self._mean_ms = 0.0
        self._mean_at = 0.0
        self._level_ms = 0.0
        self._decayed_at = 0.0
        self._answers = 0
        self._learning_until = float("-inf")
        # The lowest bit is set if the last answer was fast.
        self._fast_bits = 0
        self._failures = 0
        # The reported time is the level times the rest plus this time.
        self._overdue_rest = 1.0
        self._overdue_ms = 0.0
        # Requests that started before this time were overdue at the last check.
        self._overdue_before = float("-inf")
        self.overdue_count = 0
        self.outlier = False
        self._outlier_since = 0.0

    def service_ms(self) -> float:
        """Returns the service time to report, in ms; 0 if unknown."""
        if not self._level_ms and not self.overdue_count:
            return 0.0
        level_ms = self._level_ms or ASSUMED_MEAN_MS
        return level_ms * self._overdue_rest + self._overdue_ms

    def restart(self) -> None:
        """Forgets failures of an earlier boot of the upstream, and its mean.

        The next answers form a new mean; the old one applies until then.
        """
        self._started_at.clear()
        self._waiting.clear()
        self._answers = 0
        self._fast_bits = 0
        self._level_ms = self._mean_ms
        self._clear_overdue()

    def learn_until(self, until: float) -> None:
        """Judges no answer until a time in seconds, as the upstream is cold."""
        self._learning_until = until

    def begin(self, now: float, flow: agent_flows.Flow) -> None:
        """Watches a flow's new request until it ends."""
        self._waiting[flow] = None
        self._start_waiting(now)

    def _start_waiting(self, now: float) -> None:
        started_at, waiting = self._started_at, self._waiting
        while waiting and len(started_at) - self.overdue_count < self.slots:
            flow = next(iter(waiting))
            del waiting[flow]
            started_at[flow] = now

    def end(
        self, now: float, flow: agent_flows.Flow, answered: bool, failed: bool
    ) -> None:
        """Judges the end of a flow's request.

        Args:
            now: Time in seconds.
            flow: The flow.
            answered: True if the upstream answered the request.
            failed: True if the upstream is the cause of a missing answer.
        """
        started_at = self._started_at.pop(flow, None)
        if started_at is None:
            if flow not in self._waiting:
                # The request was sent to an earlier boot of the upstream.
                return
            del self._waiting[flow]
        elif started_at < self._overdue_before:
            self.overdue_count -= 1
        self._start_waiting(now)
        if answered:
            age_ms = 1000 * (now - flow.request_began_at)
            self._record_answer(now, age_ms, started_at)
        elif failed:
            age_s = 0.0 if started_at is None else now - started_at
            self._record_failure(now, age_s)

    def is_overdue(self, now: float, flow: agent_flows.Flow) -> bool:
        """Returns True if a flow has an overdue request."""
        started_at = self._started_at.get(flow)
        if started_at is None:
            return False
        return now - started_at > self._overdue_after_s()

    def _record_failure(self, now: float, age_s: float) -> None:
        """Counts a request that ended without an answer.

        Args:
            now: Time in seconds.
            age_s: Time since the request got a slot, seconds; 0 if it had
                none, or for a fast answer.
        """
        self._failures += 1
        mean_ms = self._mean_ms or ASSUMED_MEAN_MS
        sample_ms = max(1000 * age_s, FAILURE_MEANS * mean_ms)
        self._add_bad_sample(now, sample_ms, _sample_weight(age_s))

    def _record_answer(
        self, now: float, age_ms: float, started_at: float | None
    ) -> None:
        """Counts an answer.

        Args:
            now: Time in seconds.
            age_ms: Time from the request to its answer, ms.
            started_at: Time at which the request got a slot, seconds; None if
                it seemed to wait for one.
        """
        answer_ms = None if started_at is None else 1000 * (now - started_at)
        if self._answers < LEARNING_ANSWERS or now < self._learning_until:
            if answer_ms is not None:
                self._learn(now, answer_ms)
            return
        fast = age_ms < FAST_SHARE * self._mean_ms
        self._fast_bits = (self._fast_bits << 1 | fast) & FAST_MASK
        if fast:
            self._on_fast_answer(now, age_ms)
        elif answer_ms is not None:
            self._on_answer(now, answer_ms)

    def _learn(self, now: float, answer_ms: float) -> None:
        self._decay(now)
        mean_ms = self._mean_ms or ASSUMED_MEAN_MS
        excess_ms = max(0.0, self._level_ms - mean_ms)
        self._answers += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._answers)
        self._mean_ms += weight * (answer_ms - self._mean_ms)
        self._mean_at = now
        # Failures before and between these answers keep their effect.
        self._level_ms = self._mean_ms + (1 - SAMPLE_WEIGHT) * excess_ms

    def _on_fast_answer(self, now: float, age_ms: float) -> None:
        if self._fast_bits.bit_count() < MIN_FAST:
            return
        if self._fast_bits == FAST_MASK:
            # Without any slower answer the upstream may in fact be faster.
            self._update_mean(now, age_ms)
        self._record_failure(now, 0.0)

    def _on_answer(self, now: float, answer_ms: float) -> None:
        if answer_ms > GOOD_MEANS * self._mean_ms:
            self._add_bad_sample(now, answer_ms, SAMPLE_WEIGHT)
        else:
            self._decay(now)
            self._level_ms += SAMPLE_WEIGHT * (answer_ms - self._level_ms)
        if not self.outlier or answer_ms < self._mean_ms:
            self._update_mean(now, answer_ms)
        else:
            self._mean_at = now

    def _update_mean(self, now: float, answer_ms: float) -> None:
        weight = min(SAMPLE_WEIGHT, (now - self._mean_at) / MEAN_S)
        self._mean_at = now
        sample_ms = min(answer_ms, MAX_MEAN_SAMPLE * self._mean_ms)
        self._mean_ms += weight * (sample_ms - self._mean_ms)
        self._mean_ms = min(self._mean_ms, MAX_MEAN_EXCESS * self._level_ms)

    def _add_bad_sample(
        self, now: float, sample_ms: float, weight: float
    ) -> None:
        mean_ms = self._mean_ms or ASSUMED_MEAN_MS
        level_ms = self._level_ms or mean_ms
        sample_ms = min(sample_ms, MAX_SAMPLE_MEANS * mean_ms)
        self._level_ms = level_ms + weight * max(0.0, sample_ms - level_ms)
        # The time before a bad sample is no sign of recovery.
        self._decayed_at = now

    def _decay(self, now: float) -> None:
        """Lets the level's excess over the mean decay since the last time."""
        excess_ms = self._level_ms - (self._mean_ms or ASSUMED_MEAN_MS)
        if excess_ms > 0:
            rest = math.exp((self._decayed_at - now) / DECAY_S)
            self._level_ms -= (1 - rest) * excess_ms
        self._decayed_at = now

    def _overdue_after_s(self) -> float:
        return max(MIN_OVERDUE_S, OVERDUE_MEANS * self._mean_ms / 1000)

    def _clear_overdue(self) -> None:
        self._overdue_rest = 1.0
        self._overdue_ms = 0.0
        self._overdue_before = float("-inf")
        self.overdue_count = 0

    def on_timer(self, now: float, judge: bool) -> list[outputs.Output]:
        """Updates the reported time; logs if its judgement has changed.

        Args:
            now: Time in seconds.
            judge: False while unanswered requests are no sign of a failure.
        """
        if now - self._decayed_at >= IDLE_S:
            self._decay(now)
        self._clear_overdue()
        if judge:
            self._add_overdue(now)
            self._start_waiting(now)
        return self._log_change(now)

    def _add_overdue(self, now: float) -> None:
        """Adds the overdue requests, as samples that count until they end."""
        self._overdue_before = now - self._overdue_after_s()
        max_ms = MAX_SAMPLE_MEANS * (self._mean_ms or ASSUMED_MEAN_MS)
        for started_at in self._started_at.values():
            if started_at >= self._overdue_before:
                break
            age_s = now - started_at
            weight = _sample_weight(age_s)
            self.overdue_count += 1
            self._overdue_rest *= 1 - weight
            self._overdue_ms *= 1 - weight
            self._overdue_ms += weight * min(1000 * age_s, max_ms)

    def _log_change(self, now: float) -> list[outputs.Output]:
        mean_ms = self._mean_ms or ASSUMED_MEAN_MS
        service_ms = self.service_ms()
        if self.outlier:
            changed = (
                service_ms <= RECOVERED_MEANS * mean_ms
                and now - self._outlier_since >= MIN_OUTLIER_S
            )
        else:
            changed = service_ms >= OUTLIER_MEANS * mean_ms
        if not changed:
            return []
        self.outlier = not self.outlier
        self._outlier_since = now
        detail = (
            f"service_ms={service_ms:.1f} usual_ms={mean_ms:.1f}"
            f" unanswered={self.overdue_count} failures={self._failures}"
            f" fast={self._fast_bits.bit_count()}"
        )
        self._failures = 0
        what = "upstream-outlier" if self.outlier else "upstream-recovered"
        return [outputs.Event(what, b"", detail, True)]


def _sample_weight(age_s: float) -> float:
    """Returns the weight of a request without an answer, by its age."""
    if age_s <= ABANDONED_AFTER_S:
        return SAMPLE_WEIGHT
    return SAMPLE_WEIGHT * math.exp((ABANDONED_AFTER_S - age_s) / DECAY_S)
