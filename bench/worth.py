"""Tables of the worth of days, from journal entries of the users' bench.

    python -m bench.worth ENTRY [ENTRY...]

Each ENTRY is a file in ``journal/``.  For one entry the table shows the worth,
parts and largest prices of each day; for several it shows one column of worth
per entry, in the order of the arguments.
"""

import argparse
import pathlib
import sys
from typing import Any

import msgspec

from crocusmux import errors

# Prices of at most this worth are omitted.
MIN_PRICE = 0.001
PARTS = ("whole day", "worst windows", "worst class")


class Day(msgspec.Struct, kw_only=True):
    """Results of a simulated day, as the journal records them.

    Attributes:
        name: Name of the day.
        worth: Worth minus prices; 1 for a perfect day without prices.
        one: Worth that gets the full score; None for a new day.
        served: Share of the worth that was earned.
        refused: Share of requests that were refused.
        failed: Share of requests that got no answer.
        rules: Violations by rule.
        fault: Reason why the day scores nothing; None if it scores.
        parts: Name, weight and value of each part of the worth.
        prices: Name, amount and cost of each price.
    """

    name: str
    worth: float = msgspec.field(name="G")
    one: float | None = msgspec.field(name="top", default=None)
    served: float
    refused: float
    failed: float
    rules: dict[str, int]
    fault: str | None
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]

    def broken_rules(self) -> str:
        """Returns the broken rules with their counts; ``-`` for none."""
        found = [f"{rule} {count}" for rule, count in self.rules.items()]
        if self.fault:
            found.append(self.fault)
        return ", ".join(found) or "-"


class Entry(msgspec.Struct):
    """An entry of the journal.

    Attributes:
        id: Id of the entry.
        days: Days that were run.
    """

    id: str
    days: list[Day]


def load(path: str) -> Entry:
    """Reads an entry from a file.

    Raises:
        errors.UserError: The file cannot be read or a field is invalid.
    """
    try:
        return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Entry)
    except (OSError, msgspec.DecodeError) as exc:
        raise errors.UserError(
            str(exc), step="read journal entry", peer=path
        ) from exc


def format_table(head: list[str], rows: list[list[Any]]) -> str:
    """Returns a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(map(str, line))} |" for line in lines)


def format_entry(entry: Entry) -> str:
    """Returns one entry's table of parts and prices."""
    rows = []
    for day in entry.days:
        parts = {name: value for name, _, value in day.parts}
        largest = sorted(day.prices, key=lambda price: -price[2])
        prices = [f"{n} {c:.3f}" for n, _, c in largest if c > MIN_PRICE]
        rows.append(
            [
                day.name,
                f"{day.worth:.3f}",
                "-" if day.one is None else f"{day.one:.3f}",
                *(f"{parts.get(name, 0):.3f}" for name in PARTS),
                f"{day.refused:.3f}",
                f"{day.failed:.3f}",
                day.broken_rules(),
                ", ".join(prices),
            ]
        )
    head = ["day", "worth", "one", *PARTS, "refused", "failed", "broken"]
    return format_table([*head, "prices"], rows)


def format_comparison(entries: list[Entry]) -> str:
    """Returns the worth of each day in several entries."""
    names = list(dict.fromkeys(d.name for e in entries for d in e.days))
    rows = []
    for name in names:
        row: list[Any] = [name]
        for entry in entries:
            found = [day for day in entry.days if day.name == name]
            row.append(f"{found[0].worth:.3f}" if found else "-")
        rows.append(row)
    return format_table(["day", *(entry.id for entry in entries)], rows)


def main() -> int:
    """Prints the tables; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs="+", metavar="ENTRY")
    try:
        entries = [load(path) for path in parser.parse_args().entries]
    except errors.UserError as exc:
        sys.stderr.write(f"bench.worth: {exc}\n")
        return 1
    one = len(entries) == 1
    sys.stdout.write(
        format_entry(entries[0]) if one else format_comparison(entries)
    )
    sys.stdout.write("\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
