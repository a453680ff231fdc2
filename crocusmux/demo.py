"""Demonstration: a whole system in one process, on loopback addresses.

It has three balancers, five agents with upstreams of different service times,
a test server of the object API, a simulated fabric, and callers.  While feeds,
bookings and uploads run, an upstream is drained, the preset is switched and a
balancer is replaced; a table at the end counts the outcomes of the flows.
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
from crocusmux.objectapi import standin

logger = logging.getLogger(__name__)

SHARED_KEY = "c0c0a5c0c0a5c0c0a5c0c0a5c0c0a5c0"
FAILURE_DOMAINS = ("abay", "enbek", "karatau")
# Time to serve one request, of each agent's upstreams.
SERVICE_TIMES_S = (0.02, 0.03, 0.04, 0.06, 0.08)
BALANCER_COUNT = 3
# Agents with this number or a higher one also run ``wheelbook``.
FIRST_WHEELBOOK_AGENT = 4
FEED_DURATION_S = 8.0
START_TIMEOUT_S = 15.0
FEEDS_PER_KIND = 4
BOOKING_COUNT = 60
UPLOAD_BYTES = 8 << 20
UDP_PERIOD_S = 0.1
# Consecutive datagrams without a reply after which a UDP flow is broken.
MAX_UNANSWERED_DATAGRAMS = 5

KEPT = "kept"
BROKEN = "broken"
REFUSED = "refused as not run"
UNKNOWN = "outcome unknown"


class Tally:
    """Counts of the outcomes of flows, by kind of flow."""

    def __init__(self) -> None:
        self.counts: dict[str, dict[str, int]] = {}

    def add(self, kind: str, outcome: str) -> None:
        """Counts the outcome of one flow."""
        row = self.counts.setdefault(kind, {})
        row[outcome] = row.get(outcome, 0) + 1

    def broken_count(self) -> int:
        """Returns the number of flows that broke or have an unknown outcome."""
        return sum(
            row.get(BROKEN, 0) + row.get(UNKNOWN, 0)
            for row in self.counts.values()
        )

    def as_table(self) -> str:
        """Returns the counts as a text table."""
        columns = (KEPT, BROKEN, REFUSED, UNKNOWN)
        lines = [f"{'flows':24}" + "".join(f"{c:>20}" for c in columns)]
        for kind, row in sorted(self.counts.items()):
            cells = "".join(f"{row.get(c, 0):>20}" for c in columns)
            lines.append(f"{kind:24}{cells}")
        return "\n".join(lines)


class DemoSystem:
    """All daemons and upstreams of a small site, in one event loop.

    Attributes:
        prefix: First three numbers of all its loopback addresses.
        balancers: Balancers by host.
        agents: Agents by host.
        upstreams: Upstreams by name.
    """

    def __init__(
        self,
        rng: random.Random,
        service_times_s: Sequence[float] = SERVICE_TIMES_S,
        balancers: int = BALANCER_COUNT,
        **overrides: object,
    ) -> None:
        """Prepares a system.

        Args:
            rng: Random numbers.
            service_times_s: Service time of the upstreams of each agent.
            balancers: Number of balancers.
            **overrides: Settings of all daemons that differ from the defaults.
        """
        # A random part of the loopback range, so that concurrent demos use
        # different addresses.
        self.prefix = f"127.{rng.randrange(2, 250)}.{rng.randrange(250)}"
        self.balancers: dict[str, node.BalancerNode] = {}
        self.agents: dict[str, node.AgentNode] = {}
        self.upstreams: dict[str, testbed.DemoUpstream] = {}
        self._rng = rng
        self._service_times_s = service_times_s
        self._balancer_count = balancers
        self._overrides = overrides
        self.object_api: standin.TestServer
        self.operator: objectapi_client.Client
        self.fabric: testbed.Fabric

    def make_settings(
        self, role: str, host: str, number: int, **overrides: object
    ) -> settings.Settings:
        """Returns the settings of one daemon."""
        ip = f"{self.prefix}.{number}"
        values = settings.defaults()
        values |= {
            "role": role,
            "host": host,
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "key": SHARED_KEY,
            "listen_ip": ip,
            "udp": f"{ip}:7100",
            "relay": f"{ip}:7101",
            "http": f"{ip}:7102",
            "control": f"tcp://{ip}:7103",
            "platform": [f"http://{self.prefix}.1:7000"],
            "peers": [f"tcp://{self.prefix}.{n}:7103" for n in (11, 21)],
            **self._overrides,
            **overrides,
        }
        return settings.from_mapping(values, host)

    async def start(self) -> None:
        """Starts all parts and waits until all daemons are ready."""
        url = f"{self.prefix}.1:7000"
        self.object_api = await standin.start(url)
        self.operator = objectapi_client.Client(
            [f"http://{url}"], writer="operator"
        )
        for service in demo_services():
            await operations.put_service(self.operator, service)
        for preset in demo_presets():
            await operations.put_preset(self.operator, preset)
        await operations.use_preset(self.operator, "ordinary")
        for number, service_s in enumerate(self._service_times_s, 1):
            await self.start_agent(number, service_s)
        for number in range(1, self._balancer_count + 1):
            await self.start_balancer(number)
        self.fabric = testbed.Fabric(
            (f"{self.prefix}.2", 7003), self.balancer_addresses, self._rng
        )
        if not await process.wait_until(self.is_ready, START_TIMEOUT_S):
            raise errors.CrocusmuxError(
                f"daemons not ready: {self.unready_nodes()}", step="start demo"
            )

    async def start_agent(self, number: int, service_s: float) -> None:
        """Starts the upstreams and agent of an upstream host."""
        ip = f"{self.prefix}.{20 + number}"
        services = ["rounds"]
        if number >= FIRST_WHEELBOOK_AGENT:
            services.append("wheelbook")
        configs = []
        for service in services:
            name = f"{service}-{number}"
            upstream = testbed.DemoUpstream(name, ip, service_s)
            await upstream.start()
            self.upstreams[name] = upstream
            configs.append(
                {
                    "service": service,
                    "name": name,
                    "address": "{}:{}".format(*upstream.address),
                    "slots": 2,
                }
            )
        host = f"upstream-{number}"
        cfg = self.make_settings("agent", host, 20 + number, upstreams=configs)
        self.agents[host] = node.AgentNode(cfg, self._rng)
        await self.agents[host].start()

    async def start_balancer(
        self, number: int, **overrides: object
    ) -> node.BalancerNode:
        """Starts the balancer of an entry host, with settings of its own."""
        host = f"entry-{number}"
        cfg = self.make_settings("balancer", host, 10 + number, **overrides)
        balancer = node.BalancerNode(cfg, self._rng)
        self.balancers[host] = balancer
        await balancer.start()
        return balancer

    def nodes(self) -> list[node.Node]:
        """Returns all daemons."""
        return [*self.balancers.values(), *self.agents.values()]

    def unready_nodes(self) -> list[str]:
        """Returns the daemons that are not ready, with their reasons."""
        return [
            f"{n.cfg.host} ({n.health.reason})"
            for n in self.nodes()
            if not n.health.ready
        ]

    def is_ready(self) -> bool:
        """Tells whether all daemons are ready and know all members."""
        counts = collections.Counter(
            upstream.service
            for agent in self.agents.values()
            for upstream in agent.cfg.upstreams
        )
        return not self.unready_nodes() and all(
            membership is not None and len(membership.members) == count
            for n in self.nodes()
            for name, count in counts.items()
            for membership in (n.store.membership(name),)
        )

    def balancer_addresses(self) -> list[tuple[str, int]]:
        """Returns the UDP addresses of the ready balancers."""
        return [
            (b.cfg.listen_ip, 7003)
            for b in self.balancers.values()
            if b.health.ready
        ]

    def balancer_ip(self) -> str:
        """Returns the IP address of a random ready balancer."""
        return self._rng.choice(self.balancer_addresses())[0]

    async def replace_balancer(self, old: str, number: int) -> None:
        """Starts a new balancer, then stops an old one gracefully."""
        new_node = await self.start_balancer(number)
        await process.wait_until(lambda: new_node.health.ready, START_TIMEOUT_S)
        old_node = self.balancers[old]
        old_node.health.set_unready("is replaced")
        await old_node.stop()
        del self.balancers[old]

    async def stop(self) -> None:
        """Stops all parts; kills the daemons without draining."""
        self.fabric.close()
        await asyncio.gather(*(n.kill() for n in self.nodes()))
        for upstream in self.upstreams.values():
            upstream.close()
        await self.object_api.stop()


def demo_services() -> tuple[objects.Service, ...]:
    """Returns the services of the demo."""

    def address(
        name: str, protocol: objects.Protocol, port: int, work_class: str
    ) -> objects.ServiceAddress:
        return objects.ServiceAddress(
            name=name,
            protocol=protocol,
            port=port,
            work_class=work_class,
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


def demo_presets() -> tuple[objects.Preset, ...]:
    """Returns the presets of the demo."""

    def preset(name: str, reserve: float, minimum: float) -> objects.Preset:
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
                    name="log", kind="bulk", urgency=2, min_share=minimum
                ),
            ),
        )

    return preset("ordinary", 0.25, 0.2), preset("peak", 0.5, 0.1)


async def tcp_feed(system: DemoSystem, tally: Tally) -> None:
    """Reads a feed over TCP and checks that no line is missing."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(system.balancer_ip(), 7001)
    writer.write(b"FEED\n")
    end = loop.time() + FEED_DURATION_S
    expected = 0
    while loop.time() < end:
        line = await reader.readline()
        if not line.startswith(b"%d " % expected):
            tally.add("feed (TCP)", BROKEN)
            return
        expected += 1
    writer.write_eof()
    remainder = await reader.read()
    complete = not remainder or remainder.endswith(b"\n")
    tally.add("feed (TCP)", KEPT if complete else BROKEN)
    writer.close()


async def library_feed(system: DemoSystem, tally: Tally) -> None:
    """Reads a feed with the client library and checks its lines."""
    loop = asyncio.get_running_loop()
    urls = [f"ws://{b.cfg.http}" for b in system.balancers.values()]
    urls.append(f"ws://{system.prefix}.14:7102")
    flow = await client_flow.open_flow(
        urls, "rounds", "feed", random.SystemRandom()
    )
    await flow.write(b"FEED\n")
    end = loop.time() + FEED_DURATION_S
    expected, text = 0, b""
    while loop.time() < end:
        text += await flow.read(4096)
        *lines, text = text.split(b"\n")
        for line in lines:
            if not line.startswith(b"%d " % expected):
                tally.add("feed (library)", BROKEN)
                return
            expected += 1
    flow.write_eof()
    while await flow.read(4096):
        pass
    tally.add("feed (library)", KEPT)


async def udp_feed(system: DemoSystem, tally: Tally) -> None:
    """Sends positions through the fabric; one upstream must send all replies."""
    loop = asyncio.get_running_loop()
    replies: list[bytes] = []
    sock = testbed.open_socket(system.prefix, replies.append)
    end = loop.time() + FEED_DURATION_S
    names: set[bytes] = set()
    number = unanswered = 0
    while loop.time() < end and unanswered < MAX_UNANSWERED_DATAGRAMS:
        number += 1
        sock.send(b"position %d" % number, system.fabric.address)
        await asyncio.sleep(UDP_PERIOD_S)
        unanswered = 0 if replies else unanswered + 1
        names |= {reply.split(b" by ")[1] for reply in replies}
        replies.clear()
    sock.close()
    kept = len(names) == 1 and unanswered < MAX_UNANSWERED_DATAGRAMS
    if not kept:
        logger.error("UDP feed broke: %s, %d unanswered", names, unanswered)
    tally.add("feed (UDP, sprayed)", KEPT if kept else BROKEN)


async def booking(system: DemoSystem, tally: Tally, number: int) -> None:
    """Sends one booking and reads the whole reply."""
    reader, writer = await asyncio.open_connection(system.balancer_ip(), 7002)
    try:
        writer.write(b"BOOK %d\n" % number)
        writer.write_eof()
        reply = await reader.read()
    except OSError:
        reply = b""
    if reply.startswith(b"BOOKED %d " % number):
        tally.add("booking", KEPT)
    elif reply == b"NOT RUN\n":
        tally.add("booking", REFUSED)
    else:
        tally.add("booking", UNKNOWN)
    writer.close()


async def bookings(system: DemoSystem, tally: Tally) -> None:
    """Sends bookings during the whole demo; none may run twice."""
    tasks = []
    for number in range(BOOKING_COUNT):
        tasks.append(asyncio.ensure_future(booking(system, tally, number)))
        await asyncio.sleep(FEED_DURATION_S / BOOKING_COUNT)
    await asyncio.gather(*tasks)
    runs = [u.runs for u in system.upstreams.values()]
    for number in range(BOOKING_COUNT):
        if sum(run.get(str(number), 0) for run in runs) > 1:
            tally.add("booking ran twice", BROKEN)


async def upload(system: DemoSystem, tally: Tally) -> None:
    """Uploads a log and checks the number of received bytes."""
    reader, writer = await asyncio.open_connection(system.balancer_ip(), 7004)
    writer.write(b"LOG\n")
    for _ in range(UPLOAD_BYTES // 65_536):
        writer.write(bytes(65_536))
        await writer.drain()
        await asyncio.sleep(FEED_DURATION_S / 400)
    writer.write_eof()
    reply = await reader.read()
    complete = reply == b"LOGGED %d\n" % UPLOAD_BYTES
    tally.add("log upload", KEPT if complete else BROKEN)
    writer.close()


async def make_changes(system: DemoSystem, log: Callable[[str], None]) -> None:
    """Makes the planned changes while flows are open."""
    await asyncio.sleep(1.0)
    await operations.drain_upstream(system.operator, "rounds", "rounds-2")
    log("drained upstream rounds-2")
    await asyncio.sleep(1.0)
    await operations.use_preset(system.operator, "peak")
    log("preset peak is in force")
    await asyncio.sleep(1.0)
    log("replacing balancer entry-1 by entry-4")
    await system.replace_balancer("entry-1", 4)
    log("balancer entry-1 has stopped")


async def run_caller(
    kind: str,
    caller: Callable[[DemoSystem, Tally], Awaitable[None]],
    *args: object,
) -> None:
    """Runs a caller; counts a connection error as a broken flow."""
    system, tally = args
    assert isinstance(system, DemoSystem)
    assert isinstance(tally, Tally)
    try:
        await caller(system, tally)
    except (OSError, errors.FlowError) as exc:
        logger.error("%s broke: %s", kind, exc)
        tally.add(kind, BROKEN)


async def run_demo(hold: bool, log: Callable[[str], None]) -> int:
    """Runs the demo and returns its exit status."""
    rng = random.Random()
    system, tally = DemoSystem(rng), Tally()
    await system.start()
    log(f"3 balancers and 5 agents are ready on {system.prefix}.0/24")
    callers = [
        run_caller(kind, caller, system, tally)
        for kind, caller in (
            ("feed (TCP)", tcp_feed),
            ("feed (library)", library_feed),
            ("feed (UDP, sprayed)", udp_feed),
        )
        for _ in range(FEEDS_PER_KIND)
    ]
    callers.append(run_caller("booking", bookings, system, tally))
    callers.append(run_caller("log upload", upload, system, tally))
    await asyncio.gather(make_changes(system, log), *callers)
    log(tally.as_table())
    if hold:
        log(instructions(system))
        await asyncio.Event().wait()
    await system.stop()
    log(f"flows broken by planned changes: {tally.broken_count()}")
    return 1 if tally.broken_count() else 0


def instructions(system: DemoSystem) -> str:
    """Returns instructions for trying out the running system."""
    ip = next(iter(system.balancers.values())).cfg.listen_ip
    return "\n".join(
        (
            "The system keeps running; Ctrl-C stops it.  From another shell:",
            f"  printf 'BOOK 1000\\n' | nc -N {ip} 7002",
            f"  printf 'FEED\\n' | nc {ip} 7001",
            f"  nc -u {system.fabric.address[0]} 7003",
            f"  curl http://{ip}:7102/metrics",
            f"  crocusmux status --platform http://{system.prefix}.1:7000",
        )
    )


def run(hold: bool = False) -> int:
    """Runs the demo; returns 0 as exit status if no planned change broke a flow.

    Args:
        hold: Keep the system running until interrupted.
    """
    logging.basicConfig(level=logging.ERROR)
    progress = logging.getLogger("crocusmux.demo")
    progress.setLevel(logging.INFO)
    progress.propagate = False
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter("%(message)s"))
    progress.addHandler(handler)
    try:
        return asyncio.run(run_demo(hold, progress.info))
    except KeyboardInterrupt:
        return 0
