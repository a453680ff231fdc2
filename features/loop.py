"""Event loop with a paused clock, for tests with real loopback sockets."""

import asyncio
from collections.abc import Awaitable, Callable
import selectors
from typing import Any

MAX_SELECT_S = 0.002
MAX_ITERATIONS = 5000


class _ShortSelector(selectors.DefaultSelector):
    """Selector with a short timeout: the paused clock expires no timers."""

    def select(self, timeout: float | None = None) -> list:
        if timeout is None or timeout > MAX_SELECT_S:
            timeout = MAX_SELECT_S
        return super().select(timeout)


class PausedLoop(asyncio.SelectorEventLoop):
    """Loop whose clock moves only by ``advance``.

    ``advance_until`` waits for calls in threads, such as name lookups, before
    each step: they take real time, in which no timeout may pass.
    """

    def __init__(self) -> None:
        super().__init__(_ShortSelector())
        self._paused_now = 1000.0
        self._thread_calls = 0

    def time(self) -> float:
        return self._paused_now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by ``seconds``."""
        self._paused_now += seconds

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:
        """Runs a call in a thread, and counts it until it has ended."""
        self._thread_calls += 1
        fut = super().run_in_executor(executor, func, *args)
        fut.add_done_callback(self._on_thread_call_done)
        return fut

    def _on_thread_call_done(self, fut: asyncio.Future) -> None:
        del fut
        self._thread_calls -= 1

    def settle(self, condition: Callable[[], Any]) -> Any:
        """Runs loop iterations until ``condition()`` is true, without moving the clock."""
        return self.run_until_complete(self._settle(condition))

    async def _settle(self, condition: Callable[[], Any]) -> Any:
        for _ in range(MAX_ITERATIONS):
            value = condition()
            if value:
                return value
            await self._run_iterations(1)
        raise AssertionError("condition not met with the clock paused")

    async def run_iteration(self) -> None:
        """Runs one iteration of the loop, with a short wait for sockets."""
        iteration_done = self.create_future()
        self.call_soon(lambda: self.call_soon(iteration_done.set_result, None))
        await iteration_done

    def advance_until(
        self, condition: Callable[[], Any], step: float, limit: float
    ) -> float:
        """Advances until ``condition()`` is true; returns elapsed seconds."""
        elapsed = 0.0
        while not condition():
            if elapsed >= limit:
                raise AssertionError(f"condition not met in {limit} s")
            self.advance(step)
            elapsed += step
            self.run_until_complete(self._run_iterations(8))
        return elapsed

    async def _run_iterations(self, count: int) -> None:
        for _ in range(count):
            await self.run_iteration()
        while self._thread_calls:
            await self.run_iteration()


def run(loop: PausedLoop, awaitable: Awaitable) -> Any:
    """Runs an awaitable to completion with the clock paused."""
    return loop.run_until_complete(awaitable)
