"""Life of a daemon process: logging, start, signals and graceful stop."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import signal
from typing import Protocol

logger = logging.getLogger(__name__)

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


class Daemon(Protocol):
    """What a daemon offers to its process."""

    async def start(self) -> None:
        """Starts serving."""

    async def stop(self) -> None:
        """Stops gracefully and returns when the last flow has ended."""


def run(make: Callable[[], Daemon]) -> int:
    """Runs a daemon until SIGTERM or SIGINT.

    Args:
        make: Makes the daemon inside the running loop.

    Returns:
        Exit status: 0 after a graceful stop.
    """
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
    asyncio.run(_live(make))
    return 0


async def _live(make: Callable[[], Daemon]) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    daemon = make()
    await daemon.start()
    await stopping.wait()
    logger.info("graceful stop begins")
    await daemon.stop()
    logger.info("graceful stop is complete")


async def wait_until(
    done: Callable[[], bool], seconds: float, every: float = 0.05
) -> bool:
    """Waits until a condition holds.

    Args:
        done: The condition.
        seconds: Longest wait by the loop's clock.
        every: Time between checks, seconds.

    Returns:
        True if it holds, False after the longest wait.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while not done():
        if loop.time() >= end:
            return False
        await asyncio.sleep(every)
    return True


def start_background_task(
    tasks: set[asyncio.Task], awaitable: Awaitable[None]
) -> asyncio.Task:
    """Runs an awaitable as a task that is kept until it ends."""
    task = asyncio.ensure_future(awaitable)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task
