"""Counters and latency histograms in the text form of Prometheus.

The daemons that forward segments use Prometheus's client without
OpenTelemetry's SDK around it: their hosts are small and restart often.
"""

import prometheus_client
from prometheus_client import exposition
from prometheus_client import registry

from crocusmux.core.forward import outputs

# Upper bounds of the histograms in seconds: from an answer of an idle
# upstream to the longest time budget of a caller.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class Metrics:
    """Metrics of one daemon."""

    __slots__ = ("_events", "_registry", "_timings")

    def __init__(self) -> None:
        self._registry = registry.CollectorRegistry()
        self._events = prometheus_client.Counter(
            "crocusmux_events",
            "Decisions and changes of belief, by kind.",
            ["what"],
            registry=self._registry,
        )
        self._timings = {
            what: prometheus_client.Histogram(
                f"crocusmux_{what}_seconds",
                help_text,
                buckets=BUCKETS_S,
                registry=self._registry,
            )
            for what, help_text in outputs.TIMINGS.items()
        }

    def count(self, what: str) -> None:
        """Counts a decision or a change of belief."""
        self._events.labels(what).inc()

    def observe(self, timing: outputs.Timing) -> None:
        """Adds a duration to its histogram."""
        self._timings[timing.what].observe(timing.seconds)

    def text(self) -> bytes:
        """Returns all metrics as Prometheus reads them."""
        return exposition.generate_latest(self._registry)
