"""The whole system in one process, on loopback addresses.

Three balancers, five agents with upstreams of uneven speed, the platform's
stand-in, a fabric that sprays datagrams, and callers.  While feeds, bookings
and uploads run, an upstream is drained, the preset is switched and a balancer
is replaced; a table at the end says what became of each flow.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Sequence
import logging
import random

from crocusmux import errors
from crocusmux import objects
from crocusmux import operations
from crocusmux import settings
from crocusmux import testbed
from crocusmux.client import flow as client_flow
from crocusmux.daemons import node
from crocusmux.daemons import process
from crocusmux.objectapi import client as objectapi_client
from crocusmux.objectapi import test_server

logger = logging.getLogger(__name__)

KEY = "c0c0a5c0c0a5c0c0a5c0c0a5c0c0a5c0"
DOMAINS = ("abay", "enbek", "karatau")
# Seconds to serve one request; they differ four times.
SPEEDS_S = (0.02, 0.03, 0.04, 0.06, 0.08)
BALANCERS = 3
# Agents from this number on also run ``wheelbook``.
WHEELBOOK_FROM = 4
FEED_S = 8.0
START_S = 15.0
FEEDS = 4
BOOKINGS = 60
LOG_BYTES = 8 << 20
UDP_PERIOD_S = 0.1
# Datagrams may be lost; so many in a row without an answer break a flow.
LOST_IN_A_ROW = 5

KEPT = "kept"
BROKEN = "broken"
REFUSED = "refused as not run"
UNKNOWN = "outcome unknown"


class Tally:
    """Outcomes of the callers' flows, by kind of flow."""

    def __init__(self) -> None:
        self.counts: dict[str, dict[str, int]] = {}

    def add(self, kind: str, outcome: str) -> None:
        """Counts a flow."""
        row = self.counts.setdefault(kind, {})
        row[outcome] = row.get(outcome, 0) + 1

    def broken(self) -> int:
        """Returns how many flows broke or ended without a known outcome."""
        return sum(
            row.get(BROKEN, 0) + row.get(UNKNOWN, 0)
            for row in self.counts.values()
        )

    def show(self) -> str:
        """Returns the table."""
        columns = (KEPT, BROKEN, REFUSED, UNKNOWN)
        lines = [f"{'flows':24}" + "".join(f"{c:>20}" for c in columns)]
        for kind, row in sorted(self.counts.items()):
            cells = "".join(f"{row.get(c, 0):>20}" for c in columns)
            lines.append(f"{kind:24}{cells}")
        return "\n".join(lines)


class DemoSystem:
    """All processes of a small site, each an object in one loop.

    Attributes:
        prefix: First three numbers of all loopback addresses.
        balancers: Balancers by host.
        agents: Agents by host.
        upstreams: Upstreams by name.
    """

    def __init__(
        self,
        rng: random.Random,
        speeds: Sequence[float] = SPEEDS_S,
        balancers: int = BALANCERS,
        **more: object,
    ) -> None:
        """Prepares a system.

        Args:
            rng: Random numbers.
            speeds: Seconds to serve one request, of each agent's upstreams.
            balancers: Number of balancers.
            **more: Settings of all daemons that differ from the defaults.
        """
        # A random part of the loopback range, so that two demos at once do
        # not meet.
        self.prefix = f"127.{rng.randrange(2, 250)}.{rng.randrange(250)}"
        self.balancers: dict[str, node.BalancerNode] = {}
        self.agents: dict[str, node.AgentNode] = {}
        self.upstreams: dict[str, testbed.DemoUpstream] = {}
        self._rng = rng
        self._speeds = speeds
        self._count = balancers
        self._more = more
        self.object_api: test_server.TestServer
        self.operator: objectapi_client.Client
        self.fabric: testbed.Fabric

    def make_settings(
        self, role: str, host: str, number: int, **more: object
    ) -> settings.Settings:
        """Returns the settings of a daemon."""
        ip = f"{self.prefix}.{number}"
        values = settings.defaults()
        values |= {
            "role": role,
            "host": host,
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "key": KEY,
            "listen_ip": ip,
            "udp": f"{ip}:7100",
            "relay": f"{ip}:7101",
            "http": f"{ip}:7102",
            "control": f"tcp://{ip}:7103",
            "platform": [f"http://{self.prefix}.1:7000"],
            "peers": [f"tcp://{self.prefix}.{n}:7103" for n in (11, 21)],
            **self._more,
            **more,
        }
        return settings.from_mapping(values, host)

    async def start(self) -> None:
        """Starts everything and waits until all daemons are ready."""
        url = f"{self.prefix}.1:7000"
        self.object_api = await test_server.start(url)
        self.operator = objectapi_client.Client(
            [f"http://{url}"], writer="operator"
        )
        for service in services():
            await operations.put_service(self.operator, service)
        for preset in presets():
            await operations.put_preset(self.operator, preset)
        await operations.use_preset(self.operator, "ordinary")
        for number, speed in enumerate(self._speeds, 1):
            await self.start_agent(number, speed)
        for number in range(1, self._count + 1):
            await self.start_balancer(number)
        self.fabric = testbed.Fabric(
            (f"{self.prefix}.2", 7003), self.balancer_addresses, self._rng
        )
        if not await process.wait_until(self.is_ready, START_S):
            raise errors.CrocusmuxError(
                f"daemons not ready: {self.unready_daemons()}",
                step="start demo",
            )

    async def start_agent(self, number: int, speed: float) -> None:
        """Starts an upstream host; two of them also run ``wheelbook``."""
        ip = f"{self.prefix}.{20 + number}"
        served = ["rounds"]
        if number >= WHEELBOOK_FROM:
            served.append("wheelbook")
        entries = []
        for service in served:
            name = f"{service}-{number}"
            upstream = testbed.DemoUpstream(name, ip, speed)
            await upstream.start()
            self.upstreams[name] = upstream
            entries.append(
                {
                    "service": service,
                    "name": name,
                    "address": "{}:{}".format(*upstream.address),
                    "slots": 2,
                }
            )
        host = f"upstream-{number}"
        cfg = self.make_settings("agent", host, 20 + number, upstreams=entries)
        self.agents[host] = node.AgentNode(cfg, self._rng)
        await self.agents[host].start()

    async def start_balancer(
        self, number: int, **more: object
    ) -> node.BalancerNode:
        """Starts an entry host, with settings that differ from the others'."""
        host = f"entry-{number}"
        cfg = self.make_settings("balancer", host, 10 + number, **more)
        started = node.BalancerNode(cfg, self._rng)
        self.balancers[host] = started
        await started.start()
        return started

    def nodes(self) -> list[node.Node]:
        """Returns all daemons."""
        return [*self.balancers.values(), *self.agents.values()]

    def unready_daemons(self) -> list[str]:
        """Returns the daemons that are not ready, with their reasons."""
        return [
            f"{n.cfg.host} ({n.health.reason})"
            for n in self.nodes()
            if not n.health.ready
        ]

    def is_ready(self) -> bool:
        """Tells whether all daemons are ready and know all upstreams."""
        counts = collections.Counter(
            upstream.service
            for agent in self.agents.values()
            for upstream in agent.cfg.upstreams
        )
        return not self.unready_daemons() and all(
            members is not None and len(members.members) == count
            for n in self.nodes()
            for name, count in counts.items()
            for members in (n.store.membership(name),)
        )

    def balancer_addresses(self) -> list[tuple[str, int]]:
        """Returns the balancers' addresses for datagrams."""
        return [
            (b.cfg.listen_ip, 7003)
            for b in self.balancers.values()
            if b.health.ready
        ]

    def choose_balancer_ip(self) -> str:
        """Returns a balancer for a new connection, as the fabric would."""
        return self._rng.choice(self.balancer_addresses())[0]

    async def replace_balancer(self, old: str, number: int) -> None:
        """Starts a new balancer, then stops an old one gracefully."""
        started = await self.start_balancer(number)
        await process.wait_until(lambda: started.health.ready, START_S)
        stopping = self.balancers[old]
        stopping.health.set_unready("is replaced")
        await stopping.stop()
        del self.balancers[old]

    async def stop(self) -> None:
        """Stops everything."""
        self.fabric.close()
        await asyncio.gather(*(n.kill() for n in self.nodes()))
        for upstream in self.upstreams.values():
            upstream.close()
        await self.object_api.stop()


def services() -> tuple[objects.Service, ...]:
    """Returns the services of the demo."""

    def address(
        name: str, protocol: objects.Protocol, port: int, work: str
    ) -> objects.ServiceAddress:
        return objects.ServiceAddress(
            name=name,
            protocol=protocol,
            port=port,
            work_class=work,
            refusal="NOT RUN\n",
        )

    rounds = objects.Service(
        name="rounds",
        addresses=(
            address("feed", "tcp", 7001, "feed"),
            address("booking", "tcp", 7002, "booking"),
            address("position", "udp", 7003, "feed"),
        ),
    )
    wheelbook = objects.Service(
        name="wheelbook", addresses=(address("log", "tcp", 7004, "log"),)
    )
    return rounds, wheelbook


def presets() -> tuple[objects.Preset, ...]:
    """Returns the presets of the demo."""

    def preset(name: str, reserve: float, bulk: float) -> objects.Preset:
        return objects.Preset(
            name=name,
            classes=(
                objects.WorkClass(
                    name="feed", kind="long", urgency=1, idempotent=True
                ),
                objects.WorkClass(
                    name="booking",
                    kind="request",
                    urgency=0,
                    deadline_ms=4000,
                    reserve_share=reserve,
                ),
                objects.WorkClass(
                    name="log", kind="bulk", urgency=2, min_share=bulk
                ),
            ),
        )

    return preset("ordinary", 0.25, 0.2), preset("peak", 0.5, 0.1)


# Callers.


async def tcp_feed(system: DemoSystem, tally: Tally) -> None:
    """Reads a feed for some seconds and checks that no line is missing."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(
        system.choose_balancer_ip(), 7001
    )
    writer.write(b"FEED\n")
    end = loop.time() + FEED_S
    expected = 0
    while loop.time() < end:
        line = await reader.readline()
        if not line.startswith(b"%d " % expected):
            tally.add("feed (TCP)", BROKEN)
            return
        expected += 1
    writer.write_eof()
    rest = await reader.read()
    whole = not rest or rest.endswith(b"\n")
    tally.add("feed (TCP)", KEPT if whole else BROKEN)
    writer.close()


async def library_feed(system: DemoSystem, tally: Tally) -> None:
    """Reads a feed opened with the library."""
    loop = asyncio.get_running_loop()
    urls = [f"ws://{b.cfg.http}" for b in system.balancers.values()]
    urls.append(f"ws://{system.prefix}.14:7102")
    opened = await client_flow.open_flow(
        urls, "rounds", "feed", random.SystemRandom()
    )
    await opened.write(b"FEED\n")
    end = loop.time() + FEED_S
    expected, text = 0, b""
    while loop.time() < end:
        text += await opened.read(4096)
        *lines, text = text.split(b"\n")
        for line in lines:
            if not line.startswith(b"%d " % expected):
                tally.add("feed (library)", BROKEN)
                return
            expected += 1
    opened.write_eof()
    while await opened.read(4096):
        pass
    tally.add("feed (library)", KEPT)


async def udp_feed(system: DemoSystem, tally: Tally) -> None:
    """Sends positions through the fabric; all answers must be of one host."""
    loop = asyncio.get_running_loop()
    answers: list[bytes] = []
    sock = testbed.open_caller_socket(system.prefix, answers.append)
    end = loop.time() + FEED_S
    names: set[bytes] = set()
    number = silent = 0
    while loop.time() < end and silent < LOST_IN_A_ROW:
        number += 1
        sock.send(b"position %d" % number, system.fabric.address)
        await asyncio.sleep(UDP_PERIOD_S)
        silent = 0 if answers else silent + 1
        names |= {answer.split(b" by ")[1] for answer in answers}
        answers.clear()
    sock.close()
    kept = len(names) == 1 and silent < LOST_IN_A_ROW
    if not kept:
        logger.error("UDP feed: %s, %d unanswered", names, silent)
    tally.add("feed (UDP, sprayed)", KEPT if kept else BROKEN)


async def booking(system: DemoSystem, tally: Tally, number: int) -> None:
    """Books once and reads the answer to its end."""
    reader, writer = await asyncio.open_connection(
        system.choose_balancer_ip(), 7002
    )
    try:
        writer.write(b"BOOK %d\n" % number)
        writer.write_eof()
        answer = await reader.read()
    except OSError:
        answer = b""
    if answer.startswith(b"BOOKED %d " % number):
        tally.add("booking", KEPT)
    elif answer == b"NOT RUN\n":
        tally.add("booking", REFUSED)
    else:
        tally.add("booking", UNKNOWN)
    writer.close()


async def bookings(system: DemoSystem, tally: Tally) -> None:
    """Makes bookings all through the demo."""
    tasks = []
    for number in range(BOOKINGS):
        tasks.append(asyncio.ensure_future(booking(system, tally, number)))
        await asyncio.sleep(FEED_S / BOOKINGS)
    await asyncio.gather(*tasks)
    runs = [u.runs for u in system.upstreams.values()]
    for number in range(BOOKINGS):
        if sum(run.get(str(number), 0) for run in runs) > 1:
            tally.add("booking ran twice", BROKEN)


async def upload(system: DemoSystem, tally: Tally) -> None:
    """Uploads a wheel-wear log and checks the number of bytes."""
    reader, writer = await asyncio.open_connection(
        system.choose_balancer_ip(), 7004
    )
    writer.write(b"LOG\n")
    for _ in range(LOG_BYTES // 65_536):
        writer.write(bytes(65_536))
        await writer.drain()
        await asyncio.sleep(FEED_S / 400)
    writer.write_eof()
    answer = await reader.read()
    whole = answer == b"LOGGED %d\n" % LOG_BYTES
    tally.add("log upload", KEPT if whole else BROKEN)
    writer.close()


async def changes(system: DemoSystem, say: Callable[[str], None]) -> None:
    """Makes the planned changes while the callers' flows are open."""
    await asyncio.sleep(1.0)
    await operations.drain_upstream(system.operator, "rounds", "rounds-2")
    say("drained upstream rounds-2")
    await asyncio.sleep(1.0)
    await operations.use_preset(system.operator, "peak")
    say("preset peak is in force")
    await asyncio.sleep(1.0)
    say("replacing balancer entry-1 by entry-4")
    await system.replace_balancer("entry-1", 4)
    say("balancer entry-1 has stopped")


async def guarded(
    kind: str,
    work: Callable[[DemoSystem, Tally], Awaitable[None]],
    *args: object,
) -> None:
    """Runs a caller; an error on its connection counts as a broken flow."""
    system, tally = args
    assert isinstance(system, DemoSystem)
    assert isinstance(tally, Tally)
    try:
        await work(system, tally)
    except (OSError, errors.FlowError) as exc:
        logger.error("%s broke: %s", kind, exc)
        tally.add(kind, BROKEN)


async def play(hold: bool, say: Callable[[str], None]) -> int:
    """Runs the demo and returns its exit status."""
    rng = random.Random()
    system, tally = DemoSystem(rng), Tally()
    await system.start()
    say(f"3 balancers and 5 agents are ready on {system.prefix}.0/24")
    callers = [
        guarded(kind, work, system, tally)
        for kind, work in (
            ("feed (TCP)", tcp_feed),
            ("feed (library)", library_feed),
            ("feed (UDP, sprayed)", udp_feed),
        )
        for _ in range(FEEDS)
    ]
    callers.append(guarded("booking", bookings, system, tally))
    callers.append(guarded("log upload", upload, system, tally))
    await asyncio.gather(changes(system, say), *callers)
    say(tally.show())
    if hold:
        say(hold_text(system))
        await asyncio.Event().wait()
    await system.stop()
    say(f"flows broken by planned changes: {tally.broken()}")
    return 1 if tally.broken() else 0


def hold_text(system: DemoSystem) -> str:
    """Returns what a person can try while the demo is held."""
    ip = next(iter(system.balancers.values())).cfg.listen_ip
    return "\n".join(
        (
            "The system stays up; end it with Ctrl-C.  From another shell:",
            f"  printf 'BOOK 1000\\n' | nc -N {ip} 7002",
            f"  printf 'FEED\\n' | nc {ip} 7001",
            f"  nc -u {system.fabric.address[0]} 7003",
            f"  curl http://{ip}:7102/metrics",
            f"  crocusmux status --platform http://{system.prefix}.1:7000",
        )
    )


def run(hold: bool = False) -> int:
    """Runs the demo.

    Args:
        hold: Keep the system up until interrupted.

    Returns:
        Exit status: 0 if no planned change broke a flow.
    """
    logging.basicConfig(level=logging.ERROR)
    say = logging.getLogger("crocusmux.demo")
    say.setLevel(logging.INFO)
    say.propagate = False
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter("%(message)s"))
    say.addHandler(handler)
    try:
        return asyncio.run(play(hold, say.info))
    except KeyboardInterrupt:
        return 0
