"""Runs the forwarding daemons under faults that a seed determines.

    python -m soak --seed N --seconds S [--plan]

Prints the broken rules, if any, and a summary.  Exit status: 0, 1 if a rule was
broken, 2 if the test could not run.  The logs of a run that failed are kept.
"""

import argparse
import asyncio
import contextlib
import pathlib
import shutil
import signal
import sys
import tempfile

from crocusmux import errors
from soak import plan
from soak import system

HELD, BROKEN, NOT_RUN = 0, 1, 2


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
    faults = plan.make_plan(seed, seconds)
    tested = system.System(folder, seed)
    try:
        await tested.start()
        await tested.inject(faults)
        await tested.recover()
    finally:
        await tested.stop()
    checker = tested.checker
    for violation in checker.violations:
        print(f"broken: seed={seed} {violation}")
    counts = [f"{name}={n}" for name, n in sorted(checker.counts.items())]
    print(f"seed={seed} stalls={tested.stalls}", *counts)
    for failure in failures:
        print(f"could not run: seed={seed} {failure}")
    if checker.violations:
        return BROKEN
    return NOT_RUN if failures else HELD


def main() -> int:
    """Runs the test in a temporary directory; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--plan", action="store_true", help="print the faults and stop"
    )
    args = parser.parse_args()
    if args.plan:
        for fault in plan.make_plan(args.seed, args.seconds):
            print(fault)
        return HELD
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    status = NOT_RUN
    try:
        status = asyncio.run(run(args.seed, args.seconds, folder))
    except (errors.CrocusmuxError, OSError, asyncio.CancelledError) as exc:
        print(f"could not run: seed={args.seed} {exc!r}")
    finally:
        if status == HELD:
            with contextlib.suppress(OSError):
                shutil.rmtree(folder)
        else:
            print(f"seed={args.seed} logs={folder}")
    return status


if __name__ == "__main__":
    sys.exit(main())
