"""Counters and latency histograms in the text form of Prometheus.

The daemons that forward segments use Prometheus's client without
OpenTelemetry's SDK around it: their hosts are small and restart often.  Its
import takes a third of a start, so it is loaded when the metrics are read for
the first time; until then they are plain numbers.
"""

import bisect
from collections.abc import Iterator
import importlib
from typing import Any

from crocusmux.core.forward import outputs

# Upper bounds of the histograms in seconds: from an answer of an idle
# upstream to the longest time budget of a caller.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class _Histogram:
    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def buckets(self) -> list[tuple[str, int]]:
        """Returns the cumulative count of each upper bound."""
        found, below = [], 0
        names = [*(str(float(bound)) for bound in BUCKETS_S), "+Inf"]
        for name, count in zip(names, self.counts, strict=True):
            below += count
            found.append((name, below))
        return found


class Metrics:
    """Metrics of one daemon."""

    __slots__ = ("_events", "_timings")

    def __init__(self) -> None:
        self._events: dict[str, int] = {}
        self._timings = {what: _Histogram() for what in outputs.TIMINGS}

    def count(self, what: str) -> None:
        """Counts a decision or a change of belief."""
        self._events[what] = self._events.get(what, 0) + 1

    def observe_duration(self, timing: outputs.Timing) -> None:
        """Adds a duration to its histogram."""
        histogram = self._timings[timing.what]
        histogram.counts[bisect.bisect_left(BUCKETS_S, timing.seconds)] += 1
        histogram.total_s += timing.seconds

    def render(self) -> bytes:
        """Returns all metrics as Prometheus reads them."""
        client: Any = importlib.import_module("prometheus_client")
        return client.generate_latest(self)

    def collect(self) -> Iterator[Any]:
        """Yields the metrics as families of Prometheus's client."""
        core: Any = importlib.import_module("prometheus_client.metrics_core")
        events = core.CounterMetricFamily(
            "crocusmux_events",
            "Decisions and changes of belief, by kind.",
            labels=["what"],
        )
        for what, count in self._events.items():
            events.add_metric([what], count)
        yield events
        for what, histogram in self._timings.items():
            yield core.HistogramMetricFamily(
                f"crocusmux_{what}_seconds",
                outputs.TIMINGS[what],
                buckets=histogram.buckets(),
                sum_value=histogram.total_s,
            )
