"""Runs the forwarding daemons under faults that a seed determines.

    python -m soak --seed N --seconds S [--plan] [--plan-version V]
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


async def run(
    seed: int, seconds: float, version: int, folder: pathlib.Path
) -> int:
    """Runs the test; returns the exit status."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    failures: list[str] = []

    def on_exception(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        loop.default_exception_handler(context)
        failures.append(str(context.get("exception", context["message"])))

    loop.set_exception_handler(on_exception)
    options = plan.make_options(seed, version)
    tested = system.System(folder, seed, options)
    try:
        await tested.start()
        await tested.inject(plan.make_plan(seed, seconds, version))
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


def run_in_folder(seed: int, seconds: float, version: int) -> int:
    """Runs the test in a temporary directory, which is kept if it fails."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    status = NOT_RUN
    try:
        status = asyncio.run(run(seed, seconds, version, folder))
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
    parser.add_argument("--plan-version", type=int, default=plan.VERSION)
    parser.add_argument("--cases", action="store_true", help="run known cases")
    args = parser.parse_args()
    if args.plan:
        print(plan.make_options(args.seed, args.plan_version))
        faults = plan.make_plan(args.seed, args.seconds, args.plan_version)
        print(*faults, sep="\n")
        return HELD
    if not args.cases:
        return run_in_folder(args.seed, args.seconds, args.plan_version)
    return max(run_in_folder(*case) for case in read_cases())


def read_cases() -> list[tuple[int, float, int]]:
    """Returns seed, seconds and version of the plan of each known case."""
    lines = CASES.read_text().splitlines()
    fields = [line.split()[:3] for line in lines if not line.startswith("#")]
    return [(int(n), float(s), int(version)) for n, s, version in fields]


if __name__ == "__main__":
    sys.exit(main())
