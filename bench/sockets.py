"""Flows on real loopback sockets under planned changes and deaths.

All daemons of a small site run in one loop.  Feeds over TCP, the library and
UDP live some seconds and are opened again; a flow counts as broken in the
phase in which it loses its byte stream.  A second site of six balancers shows
how long a change of the preset takes until it is in force on all of them.
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
from crocusmux import standins
from crocusmux.client import flow as client_flow
from crocusmux.daemons import process

SPEEDS_S = (0.02, 0.03, 0.04, 0.06)
FLOWS = {"tcp": 80, "library": 70, "udp": 60}
LIFE_S = 4.0
UDP_PERIOD_S = 0.1
LOST_IN_A_ROW = 5
DRAIN_S = 20.0
UDP_IDLE_S = 3.0
CHANGES = 50
BALANCERS = 6
IN_FORCE_LIMIT_S = 10.0
FIRST_BALANCER = "entry-1"


class Callers:
    """All callers of a site; each opens its flow again when it has ended.

    Attributes:
        phase: Name of the present phase.
        ended: Flows that ended whole, by phase and kind.
        broken: Flows that broke, by phase and kind.
        refused: Flows refused as not run, by phase and kind.
        open: Flows open now, by kind.
        reasons: Why flows broke.
    """

    def __init__(self, system: demo.System, rng: random.Random) -> None:
        self.phase = "start"
        self.ended: Counter[tuple[str, str]] = Counter()
        self.broken: Counter[tuple[str, str]] = Counter()
        self.refused: Counter[tuple[str, str]] = Counter()
        self.open: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self._system = system
        self._rng = rng
        self._tasks = [
            asyncio.ensure_future(self._repeat(kind, work))
            for kind, work in (
                ("tcp", self._tcp),
                ("library", self._library),
                ("udp", self._udp),
            )
            for _ in range(FLOWS[kind])
        ]

    async def stop(self) -> None:
        """Ends all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _repeat(
        self, kind: str, work: Callable[[float], Awaitable[bool]]
    ) -> None:
        while True:
            life = LIFE_S * self._rng.uniform(0.5, 1.0)
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            self.open[kind] += 1
            try:
                whole = await work(life)
            except errors.RefusedNotRunError:
                self.refused[self.phase, kind] += 1
            except (OSError, errors.FlowError, ValueError) as exc:
                self.broken[self.phase, kind] += 1
                reason = getattr(exc, "reason", type(exc).__name__)
                self.reasons[f"{self.phase}, {kind}: {reason}"] += 1
            else:
                count = self.ended if whole else self.broken
                count[self.phase, kind] += 1
            finally:
                self.open[kind] -= 1

    async def _tcp(self, life: float) -> bool:
        loop = asyncio.get_running_loop()
        ip = self._system.balancer_ip()
        reader, writer = await asyncio.open_connection(ip, 7001)
        try:
            writer.write(b"FEED\n")
            end, expected = loop.time() + life, 0
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

    async def _library(self, life: float) -> bool:
        loop = asyncio.get_running_loop()
        urls = [f"ws://{ip}:7102" for ip, _ in self._system.targets()]
        self._rng.shuffle(urls)
        opened = await client_flow.open_flow(
            urls, "rounds", "feed", random.SystemRandom()
        )
        await opened.write(b"FEED\n")
        end, expected, text = loop.time() + life, 0, b""
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

    async def _udp(self, life: float) -> bool:
        loop = asyncio.get_running_loop()
        answers: list[bytes] = []
        sock = standins.open_socket(self._system.prefix, answers.append)
        try:
            end, silent, names = loop.time() + life, 0, set()
            while loop.time() < end and silent < LOST_IN_A_ROW:
                sock.send(b"position", self._system.fabric.address)
                await asyncio.sleep(UDP_PERIOD_S)
                silent = 0 if answers else silent + 1
                if b"NOT RUN\n" in answers:
                    raise errors.RefusedNotRunError("refused", step="open")
                names |= {a.split(b" by ")[1] for a in answers}
                answers.clear()
            if silent >= LOST_IN_A_ROW:
                self.reasons[f"{self.phase}, udp: no answer"] += 1
            elif len(names) != 1:
                self.reasons[f"{self.phase}, udp: other upstream"] += 1
            return len(names) == 1 and silent < LOST_IN_A_ROW
        finally:
            sock.close()


async def flows(rng: random.Random) -> tuple[Callers, dict[str, int]]:
    """Runs all phases; returns the callers and the flows open before each."""
    system = demo.System(rng, SPEEDS_S, drain_s=DRAIN_S, udp_idle_s=UDP_IDLE_S)
    await system.start()
    callers = Callers(system, rng)
    await asyncio.sleep(LIFE_S)
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
        await asyncio.sleep(2.0 if name == "no change" else LIFE_S / 2)
    callers.phase = "end"
    await callers.stop()
    await system.stop()
    return callers, before


async def in_force(rng: random.Random) -> list[float]:
    """Returns the seconds until each change is in force on all balancers."""
    system = demo.System(rng, SPEEDS_S[:1], BALANCERS)
    await system.start()
    taken = []
    for number in range(CHANGES):
        name = ("peak", "ordinary")[number % 2]
        began = time.perf_counter()
        stored = await operations.use_preset(system.operator, name)

        def done(version: int = stored.version) -> bool:
            return all(
                node.store.version("in-force") >= version
                for node in system.balancers.values()
            )

        if not await process.wait_until(done, IN_FORCE_LIMIT_S, 0.001):
            raise errors.CrocusmuxError("not in force", step="switch preset")
        taken.append(time.perf_counter() - began)
    await system.stop()
    return taken


def main() -> None:
    """Runs the bench."""
    logging.basicConfig(level=logging.CRITICAL)
    args = driver.parse_args(__doc__ or "", seeds=1)
    figures: dict[str, object] = {}
    kinds = tuple(FLOWS)
    rounds = 1 if args.quick else args.seeds
    for seed in range(1, rounds + 1):
        callers, before = asyncio.run(flows(random.Random(seed)))
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
    taken = asyncio.run(in_force(random.Random(1)))
    figures["in force on six, p50 s"] = round(driver.percentile(taken, 0.5), 3)
    figures["in force on six, p99 s"] = round(driver.percentile(taken, 0.99), 3)
    driver.print_figures(args, figures)


if __name__ == "__main__":
    main()
