"""Metrics of a daemon.

The daemons increment plain integers of a ``Telemetry``, which OpenTelemetry
reads through callbacks when the metrics are collected.  Calling an instrument
of OpenTelemetry costs about 8 us (``bench/telemetry.py``), too much per packet
or request, so only rare events do.  docs/metrics.md explains each metric.
"""

import bisect
from collections.abc import Callable, Iterable, Iterator

from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export
import prometheus_client

OTLP_INTERVAL_MS = 15_000
# Limit of distinct reasons per metric; further reasons count as "other".
# Reasons can come from peers, and each becomes a time series.
MAX_REASONS = 64
SERVICE_TIME_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
TABLE_REBUILD_BOUNDS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1)

# Attribute of Telemetry, unit, description; the attribute names the metric.
_COUNTERS = (
    ("new_flows", "{flow}", "Flows that were placed or accepted"),
    ("packets", "{packet}", "Datagrams and frames passed on"),
    ("packet_bytes", "By", "Payload bytes passed on"),
    ("takeovers", "{takeover}", "Hash slots taken over from a suspect"),
    ("drain_timeouts", "{drain}", "Drains that hit their deadline"),
    ("control_bytes", "By", "Bytes of control messages, both ways"),
)
_REASON_COUNTERS = (
    ("refused", "{flow}", "reason", "Flows refused, by reason"),
    ("bad_input", "{message}", "kind", "Messages refused as malformed"),
)
_GAUGES = (
    ("connections", "{connection}", "Open connections"),
    ("queue_length", "{request}", "Requests that wait for a slot"),
    ("config_version", "{version}", "Version of the preset in force"),
)


class Telemetry:
    """Counts and gauges of one daemon; the daemon sets the integers directly.

    Attributes:
        new_flows: Flows placed or accepted since the start.
        packets: Datagrams and frames forwarded.
        packet_bytes: Payload bytes forwarded.
        takeovers: Hash slots taken over.
        drain_timeouts: Drains that reached their deadline.
        control_bytes: Bytes of control messages, both ways.
        connections: Open connections.
        queue_length: Requests that wait for a slot.
        config_version: Version of the preset in force; 0 without one.
        refused: Flows refused, by reason; see ``count_reason``.
        bad_input: Malformed messages, by kind; see ``count_reason``.
        service_time_counts: Requests per bucket of SERVICE_TIME_BOUNDS_S.
        service_time_us: Sum of all service times, in microseconds.
    """

    __slots__ = (
        "_provider",
        "_rebuilds",
        "_registry",
        "bad_input",
        "config_version",
        "connections",
        "control_bytes",
        "drain_timeouts",
        "new_flows",
        "packet_bytes",
        "packets",
        "queue_length",
        "refused",
        "service_time_counts",
        "service_time_us",
        "takeovers",
    )

    def __init__(
        self,
        role: str,
        host: str,
        failure_domain: str = "",
        otlp_url: str = "",
    ) -> None:
        """Creates the instruments in a registry of this object.

        Args:
            role: Role of the daemon.
            host: Host of the daemon.
            failure_domain: Failure domain of the host.
            otlp_url: URL of an OTLP/HTTP receiver of metrics, or empty.  The
                exporter runs in a thread of the library, which only reads the
                integers.
        """
        self.new_flows = 0
        self.packets = 0
        self.packet_bytes = 0
        self.takeovers = 0
        self.drain_timeouts = 0
        self.control_bytes = 0
        self.connections = 0
        self.queue_length = 0
        self.config_version = 0
        self.refused: dict[str, int] = {}
        self.bad_input: dict[str, int] = {}
        self.service_time_counts = [0] * (len(SERVICE_TIME_BOUNDS_S) + 1)
        self.service_time_us = 0
        self._registry = prometheus_client.CollectorRegistry()
        readers: list[export.MetricReader] = [
            prometheus.PrometheusMetricReader(
                registry=self._registry, scope_info_enabled=False
            )
        ]
        if otlp_url:
            exporter = metric_exporter.OTLPMetricExporter(endpoint=otlp_url)
            readers.append(
                export.PeriodicExportingMetricReader(exporter, OTLP_INTERVAL_MS)
            )
        resource = resources.Resource(
            {
                "service.name": f"crocusmux-{role}",
                "host.name": host,
                "crocusmux.failure_domain": failure_domain,
            }
        )
        self._provider = sdk.MeterProvider(
            readers, resource, shutdown_on_exit=False
        )
        self._rebuilds = self._create(self._provider.get_meter("crocusmux"))

    def record_service_time(self, seconds: float) -> None:
        """Counts a finished request by its service time."""
        self.service_time_counts[
            bisect.bisect_left(SERVICE_TIME_BOUNDS_S, seconds)
        ] += 1
        self.service_time_us += int(seconds * 1e6)

    def record_table_rebuild(self, seconds: float) -> None:
        """Records the loop time of the rebuild of one slot table."""
        self._rebuilds.record(seconds)

    def exposition(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Stops the exporters after a last OTLP export."""
        self._provider.shutdown()

    def _create(self, meter: api.Meter) -> api.Histogram:
        """Creates the instruments; returns the histogram of table rebuilds."""
        for name, unit, text in _COUNTERS:
            meter.create_observable_counter(
                f"crocusmux.{name}", [self._callback(name)], unit, text
            )
        for name, unit, text in _GAUGES:
            meter.create_observable_gauge(
                f"crocusmux.{name}", [self._callback(name)], unit, text
            )
        for name, unit, key, text in _REASON_COUNTERS:
            meter.create_observable_counter(
                f"crocusmux.{name}", [self._by_reason(name, key)], unit, text
            )
        meter.create_observable_counter(
            "crocusmux.service_time_bucket",
            [self._observe_buckets],
            "{request}",
            "Finished requests with a service time up to le seconds",
        )
        meter.create_observable_counter(
            "crocusmux.service_time_sum",
            [self._observe_sum],
            "s",
            "Sum of the service times of finished requests",
        )
        return meter.create_histogram(
            "crocusmux.table_rebuild",
            "s",
            "Loop time of the rebuild of one service's slot table",
            explicit_bucket_boundaries_advisory=TABLE_REBUILD_BOUNDS_S,
        )

    def _callback(self, name: str) -> Callable[..., Iterable[api.Observation]]:
        return lambda _: [api.Observation(getattr(self, name))]

    def _by_reason(
        self, name: str, key: str
    ) -> Callable[..., Iterable[api.Observation]]:
        # list() copies atomically, as this may run in the exporter's thread.
        return lambda _: [
            api.Observation(number, {key: reason})
            for reason, number in list(getattr(self, name).items())
        ]

    def _observe_buckets(
        self, _: api.CallbackOptions
    ) -> Iterator[api.Observation]:
        total = 0
        bounds = [f"{bound:g}" for bound in SERVICE_TIME_BOUNDS_S] + ["+Inf"]
        for bound, number in zip(
            bounds, list(self.service_time_counts), strict=True
        ):
            total += number
            yield api.Observation(total, {"le": bound})

    def _observe_sum(self, _: api.CallbackOptions) -> list[api.Observation]:
        return [api.Observation(self.service_time_us / 1e6)]


def count_reason(counts: dict[str, int], reason: str) -> None:
    """Counts an event by reason, as "other" beyond ``MAX_REASONS``."""
    if reason not in counts and len(counts) >= MAX_REASONS:
        reason = "other"
    counts[reason] = counts.get(reason, 0) + 1
