"""Discrete-event scheduler, options and figures that the benches share.

The decision cores under test get clock and random numbers from the scheduler.
Each bench models its own hosts and decides which events occur.
"""

import argparse
from collections.abc import Callable, Sequence
import heapq
import itertools
import json
import math
import random
from typing import Any

import msgspec


class Driver:
    """Virtual clock with an event queue; ties run in order of insertion.

    Attributes:
        now: Virtual time in seconds.
        rng: Random number generator of the run, seeded.
    """

    __slots__ = ("_events", "_sequence", "now", "rng")

    def __init__(self, seed: int, start: float = 1000.0) -> None:
        self.now = start
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._sequence = itertools.count()

    def after(self, delay: float, action: Callable[[], Any]) -> None:
        """Schedules an action ``delay`` seconds from now."""
        event = (self.now + max(delay, 0.0), next(self._sequence), action)
        heapq.heappush(self._events, event)

    def every(self, period: float, action: Callable[[], Any]) -> None:
        """Schedules an action every ``period`` seconds until the run ends."""

        def run() -> None:
            action()
            self.after(period, run)

        self.after(period, run)

    def send(
        self,
        latency: float,
        deliver: Callable[[], Any],
        loss: float = 0.0,
        duplicate: float = 0.0,
    ) -> None:
        """Delivers a message after a latency that varies by 10%.

        Args:
            latency: Mean one-way latency in seconds.
            deliver: Called to hand the message to its receiver.
            loss: Probability that the message is lost.
            duplicate: Probability that the message arrives twice.
        """
        if self.rng.random() < loss:
            return
        self.after(latency * self.rng.uniform(0.9, 1.1), deliver)
        if self.rng.random() < duplicate:
            self.after(latency * self.rng.uniform(1.0, 3.0), deliver)

    def run(self, until: float) -> None:
        """Runs all events up to a time and sets the clock to it."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the value at a quantile from 0 to 1; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def parse_args(
    description: str, seeds: int, flags: dict[str, str] | None = None
) -> argparse.Namespace:
    """Parses the options that all benches share.

    Args:
        description: Help text of the command.
        seeds: Default of ``--seeds``.
        flags: Help text of each flag of this bench only, by name.

    Returns:
        Options ``quick``, ``seeds``, ``json`` and the flags.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--quick", action="store_true", help="smaller run, at most 45 s"
    )
    parser.add_argument("--seeds", type=int, default=seeds)
    parser.add_argument(
        "--json", action="store_true", help="last line is one JSON object"
    )
    for name, help_text in (flags or {}).items():
        parser.add_argument(f"--{name}", action="store_true", help=help_text)
    return parser.parse_args()


def print_figures(args: argparse.Namespace, figures: dict[str, Any]) -> None:
    """Prints named figures; with ``--json`` also as JSON on the last line."""
    for name, value in figures.items():
        print(f"{name:32} {value}")
    if args.json:
        print(json.dumps(figures, sort_keys=True))


def print_rows(
    rows: Sequence[msgspec.Struct],
    columns: dict[str, str],
    exceeded: list[str],
    as_json: bool,
) -> int:
    """Prints a table of figures and the bounds that they exceed.

    Args:
        rows: Figures of each run.
        columns: Format of each column, by the attribute that it shows.
        exceeded: A line for each bound that is exceeded.
        as_json: True to print one JSON object instead.

    Returns:
        The exit status, 1 if a bound is exceeded.
    """
    if as_json:
        figures = [msgspec.to_builtins(row) for row in rows]
        print(json.dumps({"figures": figures, "exceeded": exceeded}))
        return 1 if exceeded else 0
    cells = [
        [format(getattr(row, name), spec) for name, spec in columns.items()]
        for row in rows
    ]
    widths = [
        max(len(name), *(len(row[column]) for row in cells))
        for column, name in enumerate(columns)
    ]
    for texts in [list(columns), *cells]:
        pairs = zip(texts, widths, strict=True)
        print("  ".join(text.rjust(width) for text, width in pairs))
    for line in exceeded:
        print(f"exceeded: {line}")
    return 1 if exceeded else 0
