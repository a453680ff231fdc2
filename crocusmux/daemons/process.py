"""Lifecycle of a daemon process: logging, start, signals, graceful stop."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import signal
from typing import Protocol

logger = logging.getLogger(__name__)

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


class Daemon(Protocol):
    """Interface of a daemon that ``run`` starts and stops."""

    async def start(self) -> None:
        """Starts serving."""

    async def stop(self) -> None:
        """Stops gracefully, within the drain deadline."""


def run(make_daemon: Callable[[], Daemon]) -> int:
    """Runs a daemon until SIGTERM or SIGINT.

    Args:
        make_daemon: Makes the daemon; called on the running loop.

    Returns:
        Exit status: 0 after a graceful stop.
    """
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    asyncio.run(_run_until_signal(make_daemon))
    return 0


async def _run_until_signal(make_daemon: Callable[[], Daemon]) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    daemon = make_daemon()
    await daemon.start()
    await stopping.wait()
    logger.info("graceful stop started")
    await daemon.stop()
    logger.info("graceful stop completed")


async def wait_until(
    condition: Callable[[], bool], timeout_s: float, interval_s: float = 0.05
) -> bool:
    """Polls a condition until it holds.

    Args:
        condition: The condition.
        timeout_s: Longest wait, in seconds of the loop's clock.
        interval_s: Time between checks, in seconds.

    Returns:
        True if the condition holds, False after the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not condition():
        if loop.time() >= deadline:
            return False
        await asyncio.sleep(interval_s)
    return True


def start_task(
    tasks: set[asyncio.Task], awaitable: Awaitable[object]
) -> asyncio.Task:
    """Runs an awaitable as a task, referenced by ``tasks`` until it ends."""
    task = asyncio.ensure_future(awaitable)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task
