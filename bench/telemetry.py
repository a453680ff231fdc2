"""Cost per count of integers, bucket lists and OpenTelemetry instruments.

Run with ``python -m bench.telemetry``; ``--seeds`` has no effect.
"""

from collections.abc import Callable
import time
from typing import Any

from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

from bench import driver
from crocusmux import telemetry


def measure(action: Callable[[], Any], count: int) -> float:
    """Returns the CPU time of one call in us, the best of five rounds."""
    best = float("inf")
    for _ in range(5):
        start = time.process_time()
        for _ in range(count):
            action()
        best = min(best, time.process_time() - start)
    return best / count * 1e6


def main() -> None:
    """Prints the cost of each variant, measured one after another."""
    args = driver.parse_args(__doc__ or "", seeds=1)
    count = 10_000 if args.quick else 100_000
    counts = telemetry.Telemetry("agent", "bench")
    provider = sdk.MeterProvider(
        [export.InMemoryMetricReader()], shutdown_on_exit=False
    )
    meter = provider.get_meter("bench")
    counter = meter.create_counter("counter")
    histogram = meter.create_histogram("histogram")

    def count_packet() -> None:
        counts.packets += 1

    variants: dict[str, Callable[[], Any]] = {
        "integer_us": count_packet,
        "finished_us": lambda: counts.record_service_time(0.01),
        "otel_counter_us": lambda: counter.add(1),
        "otel_histogram_us": lambda: histogram.record(0.01),
    }
    figures = {
        name: round(measure(action, count), 3)
        for name, action in variants.items()
    }
    figures["exposition_us"] = round(measure(counts.exposition, 100), 1)
    driver.print_figures(args, figures)


if __name__ == "__main__":
    main()
