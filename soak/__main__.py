"""Runs the forwarding daemons under faults that a seed determines.

    python -m soak --seed N --seconds S [--plan]
    python -m soak --cases

Prints the broken rules, if any, and a summary.  Exit status: 0, 1 if a rule was
broken, 2 if the test could not run.  The logs of a run that failed are kept.
"""

import argparse
import asyncio
import logging
import pathlib
import shutil
import signal
import sys
import tempfile

from soak import plan
from soak import system

HELD, BROKEN, NOT_RUN = 0, 1, 2
CASES = pathlib.Path(__file__).parent / "cases.txt"


async def run(seed: int, seconds: float, folder: pathlib.Path) -> int:
    """Runs the test; returns the exit status."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    failures: list[str] = []

    def on_exception(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        loop.default_exception_handler(context)
        failures.append(str(context.get("exception", context["message"])))

    loop.set_exception_handler(on_exception)
    tested = system.System(folder, seed)
    try:
        await tested.start()
        await tested.inject(plan.make_plan(seed, seconds))
        await tested.recover()
    finally:
        await tested.stop()
    for violation in tested.checker.violations:
        print(f"broken: seed={seed} {violation}")
    counts = sorted(tested.checker.counts.items())
    print(f"seed={seed}", *(f"{name}={count}" for name, count in counts))
    if failures:
        print(f"could not run: seed={seed} {failures}")
    if tested.checker.violations:
        return BROKEN
    return NOT_RUN if failures else HELD


def run_in_folder(seed: int, seconds: float) -> int:
    """Runs the test in a temporary directory, which is kept if it fails."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    status = NOT_RUN
    try:
        status = asyncio.run(run(seed, seconds, folder))
    except (Exception, asyncio.CancelledError):
        logging.exception("could not run: seed=%d", seed)
    if status == HELD:
        shutil.rmtree(folder, ignore_errors=True)
    else:
        print(f"seed={seed} logs={folder}")
    return status


def main() -> int:
    """Runs one seed, or all known cases; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--plan", action="store_true", help="print the faults")
    parser.add_argument("--cases", action="store_true", help="run known cases")
    args = parser.parse_args()
    if args.plan:
        print(*plan.make_plan(args.seed, args.seconds), sep="\n")
        return HELD
    if not args.cases:
        return run_in_folder(args.seed, args.seconds)
    lines = CASES.read_text().splitlines()
    numbers = [line.split()[:2] for line in lines if not line.startswith("#")]
    return max(run_in_folder(int(n), float(s)) for n, s in numbers)


if __name__ == "__main__":
    sys.exit(main())
