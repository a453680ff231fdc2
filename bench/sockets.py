"""Flows on real loopback sockets under planned changes and crashes.

All daemons of a small system run in one event loop.  Feeds over TCP, the client
library and UDP last some seconds and are opened again; a flow counts as broken
in the phase in which its byte stream breaks.  A second system of six balancers
measures the time until a preset change is in force on all of them.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
import functools
import logging
import random
import time

from bench import driver
from crocusmux import demo
from crocusmux import errors
from crocusmux import operations
from crocusmux import testbed
from crocusmux.client import flow as client_flow
from crocusmux.daemons import process

UPSTREAM_SPEEDS_S = (0.02, 0.03, 0.04, 0.06)
CALLERS_BY_KIND = {"tcp": 80, "library": 70, "udp": 60}
FLOW_LIFETIME_S = 4.0
UDP_INTERVAL_S = 0.1
MAX_UNANSWERED_DATAGRAMS = 5
DRAIN_S = 20.0
UDP_IDLE_S = 3.0
PRESET_CHANGES = 50
BALANCERS = 6
IN_FORCE_LIMIT_S = 10.0
FIRST_BALANCER = "entry-1"


class Callers:
    """Callers of a system; each opens a new flow when its flow has ended.

    Attributes:
        phase: Name of the current phase.
        ended: Flows that ended without a fault, by phase and kind.
        broken: Flows that broke, by phase and kind.
        refused: Flows refused as not run, by phase and kind.
        open: Currently open flows, by kind.
        reasons: Broken flows, by phase, kind and reason.
    """

    def __init__(self, system: demo.DemoSystem, rng: random.Random) -> None:
        self.phase = "start"
        self.ended: Counter[tuple[str, str]] = Counter()
        self.broken: Counter[tuple[str, str]] = Counter()
        self.refused: Counter[tuple[str, str]] = Counter()
        self.open: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self._system = system
        self._rng = rng
        self._tasks = [
            asyncio.ensure_future(self._run_caller(kind, work))
            for kind, work in (
                ("tcp", self._run_tcp_flow),
                ("library", self._run_library_flow),
                ("udp", self._run_udp_flow),
            )
            for _ in range(CALLERS_BY_KIND[kind])
        ]

    async def stop(self) -> None:
        """Cancels all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_caller(
        self, kind: str, work: Callable[[float], Awaitable[bool]]
    ) -> None:
        while True:
            lifetime_s = FLOW_LIFETIME_S * self._rng.uniform(0.5, 1.0)
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            self.open[kind] += 1
            try:
                intact = await work(lifetime_s)
            except errors.RefusedNotRunError:
                self.refused[self.phase, kind] += 1
            except (OSError, errors.FlowError, ValueError) as exc:
                self.broken[self.phase, kind] += 1
                reason = getattr(exc, "reason", type(exc).__name__)
                self.reasons[f"{self.phase}, {kind}: {reason}"] += 1
            else:
                count = self.ended if intact else self.broken
                count[self.phase, kind] += 1
            finally:
                self.open[kind] -= 1

    async def _run_tcp_flow(self, lifetime_s: float) -> bool:
        loop = asyncio.get_running_loop()
        ip = self._system.balancer_ip()
        reader, writer = await asyncio.open_connection(ip, 7001)
        try:
            writer.write(b"FEED\n")
            end, expected = loop.time() + lifetime_s, 0
            while loop.time() < end:
                line = await reader.readline()
                if line == b"NOT RUN\n":
                    raise errors.RefusedNotRunError("refused", step="open")
                if not line.startswith(b"%d " % expected):
                    return False
                expected += 1
            writer.write_eof()
            rest = await reader.read()
            return not rest or rest.endswith(b"\n")
        finally:
            writer.close()

    async def _run_library_flow(self, lifetime_s: float) -> bool:
        loop = asyncio.get_running_loop()
        urls = [
            f"ws://{ip}:7102" for ip, _ in self._system.balancer_addresses()
        ]
        self._rng.shuffle(urls)
        opened = await client_flow.open_flow(
            urls, "rounds", "feed", random.SystemRandom()
        )
        await opened.write(b"FEED\n")
        end, expected, text = loop.time() + lifetime_s, 0, b""
        while loop.time() < end:
            data = await opened.read(4096)
            if not data:
                return False
            *lines, text = (text + data).split(b"\n")
            for line in lines:
                if not line.startswith(b"%d " % expected):
                    return False
                expected += 1
        opened.write_eof()
        while await opened.read(4096):
            pass
        return True

    async def _run_udp_flow(self, lifetime_s: float) -> bool:
        loop = asyncio.get_running_loop()
        answers: list[bytes] = []
        sock = testbed.open_socket(self._system.prefix, answers.append)
        try:
            end, unanswered, upstreams = loop.time() + lifetime_s, 0, set()
            while loop.time() < end and unanswered < MAX_UNANSWERED_DATAGRAMS:
                sock.send(b"position", self._system.fabric.address)
                await asyncio.sleep(UDP_INTERVAL_S)
                unanswered = 0 if answers else unanswered + 1
                if b"NOT RUN\n" in answers:
                    raise errors.RefusedNotRunError("refused", step="open")
                upstreams |= {a.split(b" by ")[1] for a in answers}
                answers.clear()
            if unanswered >= MAX_UNANSWERED_DATAGRAMS:
                self.reasons[f"{self.phase}, udp: no answer"] += 1
            elif len(upstreams) != 1:
                self.reasons[f"{self.phase}, udp: other upstream"] += 1
            return len(upstreams) == 1 and unanswered < MAX_UNANSWERED_DATAGRAMS
        finally:
            sock.close()


async def run_phases(rng: random.Random) -> tuple[Callers, dict[str, int]]:
    """Runs all phases; returns callers, and open flows before each phase."""
    system = demo.DemoSystem(
        rng, UPSTREAM_SPEEDS_S, drain_s=DRAIN_S, udp_idle_s=UDP_IDLE_S
    )
    await system.start()
    callers = Callers(system, rng)
    await asyncio.sleep(FLOW_LIFETIME_S)
    operator = system.operator

    async def kill(host: str) -> None:
        if host in system.balancers:
            await system.balancers.pop(host).kill()
        else:
            await system.agents.pop(host).kill()
            system.upstreams["rounds-" + host[-1]].close()

    async def stop_agent(host: str) -> None:
        await system.agents.pop(host).stop()

    phases: dict[str, Callable[[], Awaitable[object]]] = {
        "no change": lambda: asyncio.sleep(0),
        "balancer replaced": lambda: system.replace_balancer(FIRST_BALANCER, 4),
        "upstream drained": lambda: operations.drain_upstream(
            operator, "rounds", "rounds-2"
        ),
        "preset switched": lambda: operations.use_preset(operator, "peak"),
        "agent drained": functools.partial(stop_agent, "upstream-2"),
        "balancer killed": functools.partial(kill, "entry-2"),
        "agent killed": functools.partial(kill, "upstream-1"),
    }
    before = {}
    for name, change in phases.items():
        callers.phase = name
        before[name] = callers.open.total()
        await change()
        await asyncio.sleep(2.0 if name == "no change" else FLOW_LIFETIME_S / 2)
    callers.phase = "end"
    await callers.stop()
    await system.stop()
    return callers, before


async def measure_preset_changes(rng: random.Random) -> list[float]:
    """Returns the seconds until each change is in force on all balancers.

    Raises:
        errors.CrocusmuxError: A change is not in force within the limit.
    """
    system = demo.DemoSystem(rng, UPSTREAM_SPEEDS_S[:1], BALANCERS)
    await system.start()
    times_in_force = []
    for number in range(PRESET_CHANGES):
        name = ("peak", "ordinary")[number % 2]
        began = time.perf_counter()
        stored = await operations.use_preset(system.operator, name)

        def is_in_force(version: int = stored.version) -> bool:
            return all(
                node.store.version("in-force") >= version
                for node in system.balancers.values()
            )

        if not await process.wait_until(is_in_force, IN_FORCE_LIMIT_S, 0.001):
            raise errors.CrocusmuxError("not in force", step="switch preset")
        times_in_force.append(time.perf_counter() - began)
    await system.stop()
    return times_in_force


def main() -> None:
    """Runs the bench and prints its figures."""
    logging.basicConfig(level=logging.CRITICAL)
    args = driver.parse_args(__doc__ or "", seeds=1)
    figures: dict[str, object] = {}
    kinds = tuple(CALLERS_BY_KIND)
    seeds = 1 if args.quick else args.seeds
    for seed in range(1, seeds + 1):
        callers, before = asyncio.run(run_phases(random.Random(seed)))
        print(f"seed {seed}: flows broken/refused by phase")
        head = "".join(f"{kind:>14}" for kind in kinds)
        print(f"{'phase':20}{'open before':>12}{head}")
        for name, count in before.items():
            cells = [
                f"{callers.broken[name, kind]}/{callers.refused[name, kind]}"
                for kind in kinds
            ]
            row = "".join(f"{cell:>14}" for cell in cells)
            print(f"{name:20}{count:>12}{row}")
            figures[f"broken, {name}, seed {seed}"] = sum(
                callers.broken[name, kind] for kind in kinds
            )
        for reason, count in sorted(callers.reasons.items()):
            print(f"  {count} x {reason}")
    taken = asyncio.run(measure_preset_changes(random.Random(1)))
    figures["in force on six, p50 s"] = round(driver.percentile(taken, 0.5), 3)
    figures["in force on six, p99 s"] = round(driver.percentile(taken, 0.99), 3)
    driver.print_figures(args, figures)


if __name__ == "__main__":
    main()
