"""Cost of the packet path against a bare relay in pure Python.

Both are measured in one run on one machine.  For UDP, one hop receives a
datagram and sends it on; the processor time of the hop alone is counted, not
that of the sender or the sink.  ``udp_established_ratio`` is the mean of the
balancer's and the agent's hop over the bare relay's, and the worse of the
two stands beside it.
"""

import asyncio
from collections.abc import Callable
import contextlib
import functools
import hashlib
import hmac
import random
import socket
import statistics
import time
import tracemalloc
from typing import Any

import msgspec

from bench import driver
from crocusmux import messages
from crocusmux import objects
from crocusmux import settings
from crocusmux import wire
from crocusmux.core.control import config_store
from crocusmux.core.flows import agent as agent_core
from crocusmux.core.flows import balancer as balancer_core
from crocusmux.core.flows import slots
from crocusmux.daemons import agent
from crocusmux.daemons import balancer
from crocusmux.daemons import relay
from crocusmux.daemons import udp

KEY = "00112233445566778899aabbccddeeff"
PAYLOAD = b"x" * 200
BATCH = 32
LOOPBACK = "127.0.0.1"
FLOWS_FOR_BYTES = 100_000


# Configuration and sockets.


def make_store(
    agent_address: str, relay_address: str, upstream: str, ports: dict[str, int]
) -> config_store.ConfigStore:
    """Returns a store with one service, one member and a preset."""
    store = config_store.ConfigStore()
    addresses = tuple(
        objects.ServiceAddress(
            name=name,
            protocol="udp" if name == "position" else "tcp",
            port=port,
            work_class="feed",
        )
        for name, port in ports.items()
    )
    service = objects.Service(name="rounds", addresses=addresses)
    member = objects.Member(
        host="up-1",
        failure_domain="abay",
        agent=agent_address,
        relay=relay_address,
        incarnation=1,
        upstreams=(
            objects.Upstream(
                name="rounds-1",
                address=upstream,
                slots=64,
                connections=1_000_000,
            ),
        ),
    )
    preset = objects.Preset(
        name="bench",
        classes=(objects.WorkClass(name="feed", kind="long", idempotent=True),),
    )
    for version, key, obj in (
        (1, "services/rounds", service),
        (
            2,
            "memberships/rounds",
            objects.Membership(service="rounds", members=(member,)),
        ),
        (3, "in-force", objects.InForce(preset=preset)),
    ):
        body = objects.encode(obj)
        store.apply_if_newer(objects.Versioned(key, version, body))
    return store


def make_settings(role: str, **values: Any) -> settings.Settings:
    """Returns settings of a daemon on loopback."""
    cfg = settings.parse(f"role: {role}\nhost: up-1\nkey: {KEY}\n")
    return msgspec.structs.replace(cfg, log_sample=1_000_000, **values)


def free_port(kind: socket.SocketKind) -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


def plain_socket() -> socket.socket:
    """Returns a UDP socket with a large receive buffer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.bind((LOOPBACK, 0))
    return sock


# UDP hops.


def hop_us(
    datagram: bytes,
    inlet: tuple[str, int],
    turn: Callable[[], Any],
    sink: socket.socket,
    rounds: int,
    sender: socket.socket,
) -> float:
    """Returns a hop's processor time for one datagram, microseconds.

    Args:
        datagram: What is sent to the hop.
        inlet: Address of the hop.
        turn: Lets the hop handle a batch.
        sink: Socket that the hop sends to.
        rounds: Batches to send.
        sender: Socket to send from.
    """
    sink.settimeout(2.0)
    spent = 0.0
    for _ in range(rounds):
        for _ in range(BATCH):
            sender.sendto(datagram, inlet)
        begin = time.process_time()
        turn()
        spent += time.process_time() - begin
        for _ in range(BATCH):
            sink.recv(65_536)
    return spent / (rounds * BATCH) * 1e6


def bare_turn(sock: socket.socket, to: tuple[str, int]) -> Callable[[], None]:
    """Returns a turn of the bare relay: receive, send on."""
    sock.setblocking(False)

    def turn() -> None:
        for _ in range(BATCH):
            try:
                data, _ = sock.recvfrom(65_536)
            except BlockingIOError:
                return
            sock.sendto(data, to)

    return turn


class Hops:
    """The three hops side by side, ready to be measured."""

    def __init__(self) -> None:
        self.sender = plain_socket()
        self.sink = plain_socket()
        self.bare = plain_socket()
        self.balancer: balancer.TerminatingBalancerDaemon
        self.agent: agent.TerminatingAgentDaemon
        self._listener: Any = None

    async def start(self) -> None:
        """Starts a balancer that sends to the sink, and an agent."""
        sink = "{}:{}".format(*self.sink.getsockname())
        port = free_port(socket.SOCK_DGRAM)
        store = make_store(sink, sink, sink, {"position": port})
        self.balancer = balancer.TerminatingBalancerDaemon(
            make_settings("balancer"), store, random.Random(1)
        )
        await self.balancer.start()
        self.balancer.reconfigure()
        for _ in range(200):
            if self.balancer._listeners:
                break
            await asyncio.sleep(0.01)
        (self._listener,) = self.balancer._listeners.values()

        self.agent = agent.TerminatingAgentDaemon(
            make_settings("agent"),
            config_store.ConfigStore(),
            random.Random(1),
            1,
        )
        await self.agent.start()
        self.agent.store = make_store(
            self.agent.udp_address, "", sink, {"position": port}
        )
        self.agent.reconfigure()

    def packet(self) -> bytes:
        """Returns an authenticated packet of one established flow."""
        key = slots.address_key("rounds", "position")
        flow = slots.udp_flow(key, self.sender.getsockname())
        packet = messages.Packet(
            slots.service_key("rounds"), flow, 2, 0, 0, "", PAYLOAD
        )
        return wire.make_codec(bytes.fromhex(KEY))[0](packet)

    def measure(self, rounds: int) -> dict[str, float]:
        """Returns the microseconds of each hop."""
        balancer_socket = self._listener.socket
        agent_socket = self.agent._socket
        assert agent_socket is not None
        sink = self.sink.getsockname()

        def read(sock: udp.UdpSocket) -> Callable[[], None]:
            return functools.partial(sock._on_readable, 0, 0)

        run = functools.partial(hop_us, sender=self.sender, sink=self.sink)
        return {
            "bare": run(
                PAYLOAD,
                self.bare.getsockname(),
                bare_turn(self.bare, sink),
                rounds=rounds,
            ),
            "balancer": run(
                PAYLOAD,
                balancer_socket.address,
                read(balancer_socket),
                rounds=rounds,
            ),
            "agent": run(
                self.packet(),
                agent_socket.address,
                read(agent_socket),
                rounds=rounds,
            ),
        }


async def udp_figures(repeats: int, rounds: int) -> dict[str, float]:
    """Measures the hops in turns, so that noise hits all alike."""
    hops = Hops()
    await hops.start()
    hops.measure(5)
    runs = [hops.measure(rounds) for _ in range(repeats)]
    await hops.balancer.close()
    await hops.agent.close()
    middle = {
        name: statistics.median(run[name] for run in runs) for name in runs[0]
    }
    both = (middle["balancer"] + middle["agent"]) / 2
    worse = max(middle["balancer"], middle["agent"])
    return {
        "udp_bare_hop_us": round(middle["bare"], 2),
        "udp_balancer_hop_us": round(middle["balancer"], 2),
        "udp_agent_hop_us": round(middle["agent"], 2),
        "udp_established_ratio": round(both / middle["bare"], 2),
        "udp_worse_hop_ratio": round(worse / middle["bare"], 2),
    }


# Decision cores alone.


def time_us(action: Callable[[int], Any], count: int) -> float:
    """Returns the mean time of ``action(i)``, microseconds."""
    begin = time.process_time()
    for i in range(count):
        action(i)
    return (time.process_time() - begin) / count * 1e6


def make_agent_core() -> agent_core.AgentCore:
    """Returns an agent core that owns all hash slots."""
    core = agent_core.AgentCore("up-1", 1, random.Random(1))
    store = make_store(
        f"{LOOPBACK}:1", f"{LOOPBACK}:1", f"{LOOPBACK}:9", {"position": 7003}
    )
    core.apply(0.0, store)
    return core


def core_figures(count: int) -> dict[str, float]:
    """Measures decisions without sockets, and the state of open flows."""
    store = make_store(
        f"{LOOPBACK}:1", f"{LOOPBACK}:1", f"{LOOPBACK}:9", {"position": 7003}
    )
    front = balancer_core.BalancerCore("entry-1", random.Random(1))
    for _ in front.apply(0.0, store):
        pass
    address = front.address("rounds", "position")
    assert address is not None
    callers = [(f"10.0.{i >> 8}.{i & 255}", 5000) for i in range(1000)]
    routed = time_us(
        lambda i: front.on_datagram(1.0, address, callers[i % 1000], PAYLOAD),
        count,
    )

    core = make_agent_core()
    key = slots.service_key("rounds")
    packets = []
    for i in range(FLOWS_FOR_BYTES):
        caller = (f"10.{i >> 16}.{(i >> 8) & 255}.{i & 255}", 5000)
        flow = slots.udp_flow(address.key, caller)
        packets.append(messages.Packet(key, flow, 2, 0, 0, "", PAYLOAD))
    sender = (LOOPBACK, 4000)
    new = time_us(
        lambda i: core.on_message(1.0, sender, packets[i]), FLOWS_FOR_BYTES
    )
    established = time_us(
        lambda i: core.on_message(1.0, sender, packets[i % 1000]), count
    )
    return {
        "core_established_us": round(max(routed, established), 2),
        "core_balancer_established_us": round(routed, 2),
        "core_agent_established_us": round(established, 2),
        "core_new_flow_us": round(new + routed, 2),
        "flow_bytes": flow_bytes(),
    }


def flow_bytes() -> float:
    """Returns the bytes of state for an open flow in an agent core."""
    core = make_agent_core()
    address_key = slots.address_key("rounds", "position")
    key = slots.service_key("rounds")
    sender = (LOOPBACK, 4000)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for i in range(FLOWS_FOR_BYTES):
        caller = (f"10.{i >> 16}.{(i >> 8) & 255}.{i & 255}", 5000)
        flow = slots.udp_flow(address_key, caller)
        core.on_message(
            1.0, sender, messages.Packet(key, flow, 2, 0, 0, "", PAYLOAD)
        )
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return round(used / FLOWS_FOR_BYTES, 1)


def tag_figures(count: int) -> dict[str, float]:
    """Compares the cost of the tags that were weighed."""
    key = bytes.fromhex(KEY)
    tag = wire.make_tagger(key)
    body = PAYLOAD * 2
    return {
        "tag_blake2b_us": round(time_us(lambda _: tag(body), count), 2),
        "tag_hmac_sha256_us": round(
            time_us(lambda _: hmac.digest(key, body, hashlib.sha256), count), 2
        ),
    }


# TCP.


class Splice:
    """Plain asyncio splice: the floor for TCP."""

    def __init__(self, to: tuple[str, int]) -> None:
        self._to = to
        self.server: asyncio.Server

    async def start(self) -> tuple[str, int]:
        """Listens and returns the address."""
        self.server = await asyncio.start_server(
            self._serve, LOOPBACK, 0, limit=65_536
        )
        name: tuple[str, int] = self.server.sockets[0].getsockname()
        return name

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            *self._to, limit=65_536
        )
        # One direction may break off after the other has ended whole.
        await asyncio.gather(
            self._pump(reader, far_writer),
            self._pump(far_reader, writer),
            return_exceptions=True,
        )
        for each in (writer, far_writer):
            each.close()
            with contextlib.suppress(OSError):
                await each.wait_closed()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(relay.CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
        writer.write_eof()


async def echo_size(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Upstream: reads to the end and answers with the number of bytes."""
    size = 0
    while data := await reader.read(relay.CHUNK_BYTES):
        size += len(data)
    writer.write(b"%d" % size)
    await writer.drain()
    writer.close()


async def upload(to: tuple[str, int], size: int) -> None:
    """Sends ``size`` bytes and checks the answer."""
    reader, writer = await asyncio.open_connection(*to)
    chunk = bytes(relay.CHUNK_BYTES)
    left = size
    while left > 0:
        writer.write(chunk[: min(left, len(chunk))])
        await writer.drain()
        left -= len(chunk)
    writer.write_eof()
    answer = await reader.read()
    writer.close()
    await writer.wait_closed()
    if int(answer or 0) != size:
        raise RuntimeError(f"upload of {size} bytes got {answer!r}")


async def rate(
    to: tuple[str, int],
    flows: int,
    each: int,
    size: int,
    strict: bool = True,
) -> float:
    """Returns whole uploads a second, ``flows`` at a time.

    The plain splice sometimes loses a short answer to a reset; only whole
    uploads count, and of the product all must be whole.
    """
    whole = 0

    async def worker() -> None:
        nonlocal whole
        for _ in range(each):
            try:
                await upload(to, size)
            except (OSError, RuntimeError):
                if strict:
                    raise
            else:
                whole += 1

    begin = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(flows)))
    return whole / (time.perf_counter() - begin)


async def tcp_figures(quick: bool) -> dict[str, float]:
    """Compares balancer and agent with two plain splices in a row."""
    upstream = await asyncio.start_server(echo_size, LOOPBACK, 0)
    address = upstream.sockets[0].getsockname()
    inner = Splice(address)
    outer = Splice(await inner.start())
    floor = await outer.start()

    back = agent.TerminatingAgentDaemon(
        make_settings("agent"), config_store.ConfigStore(), random.Random(1), 1
    )
    await back.start()
    port = free_port(socket.SOCK_STREAM)
    store = make_store(
        back.udp_address,
        back.relay_address,
        "{}:{}".format(*address),
        {"feed": port},
    )
    back.store = store
    back.reconfigure()
    front = balancer.TerminatingBalancerDaemon(
        make_settings("balancer"), store, random.Random(1)
    )
    await front.start()
    front.reconfigure()
    while not front._listeners:
        await asyncio.sleep(0.01)
    product = (LOOPBACK, port)

    short = 10 if quick else 40
    figures: dict[str, float] = {}
    for flows, size in ((1, 32 << 20), (64, 1 << 20)):
        each = 2 if quick else 8
        base = await rate(floor, flows, each, size, strict=False)
        ours = await rate(product, flows, each, size)
        figures[f"tcp_bytes_ratio_{flows}"] = round(ours / base, 2)
        figures[f"tcp_mb_per_s_{flows}"] = round(ours * size / 1e6, 1)
    base = await rate(floor, 32, short, 1, strict=False)
    ours = await rate(product, 32, short, 1)
    figures["new_flows_per_s"] = round(ours, 1)
    figures["new_flows_ratio"] = round(ours / base, 2)
    await front.close()
    await back.close()
    for server in (upstream, inner.server, outer.server):
        server.close()
    return figures


async def measure(quick: bool) -> dict[str, Any]:
    """Runs all parts and returns the figures."""
    figures: dict[str, Any] = {}
    figures |= await udp_figures(5 if quick else 15, 100 if quick else 300)
    figures |= core_figures(50_000 if quick else 300_000)
    figures |= tag_figures(100_000)
    figures |= await tcp_figures(quick)
    return figures


def main() -> None:
    """Prints the figures."""
    args = driver.parse_args(__doc__ or "", 1)
    driver.report(args, asyncio.run(measure(args.quick)))


if __name__ == "__main__":
    main()
