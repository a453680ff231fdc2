"""Counters and latency histograms of the forwarding daemons, for Prometheus.

Their hosts are small and restart often, so these daemons use Prometheus's
client without OpenTelemetry's SDK.  Importing the client takes a third of the
startup time, so it is loaded when the metrics are first read.
"""

import bisect
from collections.abc import Iterator
import importlib
from typing import Any

from crocusmux.core.forward import outputs

# Upper bounds of the histograms, from the answer of an idle upstream to the
# longest timeout of a caller.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class _Histogram:
    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def buckets(self) -> list[tuple[str, int]]:
        """Returns the cumulative count for each upper bound."""
        buckets, total = [], 0
        names = [*(str(float(bound)) for bound in BUCKETS_S), "+Inf"]
        for name, count in zip(names, self.counts, strict=True):
            total += count
            buckets.append((name, total))
        return buckets


class Metrics:
    """Metrics of one daemon."""

    __slots__ = ("_events", "_timings")

    def __init__(self) -> None:
        self._events: dict[str, int] = {}
        self._timings = {what: _Histogram() for what in outputs.TIMINGS}

    def count_event(self, what: str) -> None:
        """Counts an event."""
        self._events[what] = self._events.get(what, 0) + 1

    def observe_duration(self, timing: outputs.Timing) -> None:
        """Adds a duration to its histogram."""
        histogram = self._timings[timing.what]
        histogram.counts[bisect.bisect_left(BUCKETS_S, timing.seconds)] += 1
        histogram.total_s += timing.seconds

    def render(self) -> bytes:
        """Returns all metrics in Prometheus's text format."""
        client: Any = importlib.import_module("prometheus_client")
        return client.generate_latest(self)

    def collect(self) -> Iterator[Any]:
        """Yields the metric families for Prometheus's client."""
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
