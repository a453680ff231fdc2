"""Cost of the terminating packet path against a bare relay in pure Python.

Both are measured in one run on one machine.  A UDP hop receives a datagram and
sends it on; only the hop's CPU time is counted, not that of sender or sink.
``udp_established_ratio`` is the mean of the balancer's and the agent's hop over
the bare relay's, ``udp_worse_hop_ratio`` the larger of the two over it.
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
MEMORY_FLOWS = 100_000


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
        (3, "in-force", objects.PresetInForce(preset=preset)),
    ):
        body = objects.encode(obj)
        store.apply_if_newer(objects.VersionedObject(key, version, body))
    return store


def make_settings(role: str, **values: Any) -> settings.Settings:
    """Returns the settings of a daemon on loopback."""
    cfg = settings.parse(f"role: {role}\nhost: up-1\nkey: {KEY}\n")
    return msgspec.structs.replace(cfg, log_sample=1_000_000, **values)


def free_port(kind: socket.SocketKind) -> int:
    """Returns a port that is currently free."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


def open_udp_socket() -> socket.socket:
    """Returns a UDP socket with a large receive buffer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.bind((LOOPBACK, 0))
    return sock


# UDP hops.


def hop_us(
    datagram: bytes,
    inlet: tuple[str, int],
    process_batch: Callable[[], Any],
    sink: socket.socket,
    batches: int,
    sender: socket.socket,
) -> float:
    """Returns a hop's CPU time per datagram in microseconds.

    Args:
        datagram: Datagram that is sent to the hop.
        inlet: Address of the hop.
        process_batch: Makes the hop process a batch.
        sink: Socket that the hop sends to.
        batches: Number of batches.
        sender: Socket to send from.
    """
    sink.settimeout(2.0)
    spent = 0.0
    for _ in range(batches):
        for _ in range(BATCH):
            sender.sendto(datagram, inlet)
        begin = time.process_time()
        process_batch()
        spent += time.process_time() - begin
        for _ in range(BATCH):
            sink.recv(65_536)
    return spent / (batches * BATCH) * 1e6


def make_bare_relay(
    sock: socket.socket, to: tuple[str, int]
) -> Callable[[], None]:
    """Returns a function that relays a batch of datagrams to an address."""
    sock.setblocking(False)

    def relay_batch() -> None:
        for _ in range(BATCH):
            try:
                data, _ = sock.recvfrom(65_536)
            except BlockingIOError:
                return
            sock.sendto(data, to)

    return relay_batch


class Hops:
    """Bare relay, balancer and agent, which are measured in one process."""

    def __init__(self) -> None:
        self.sender = open_udp_socket()
        self.sink = open_udp_socket()
        self.bare = open_udp_socket()
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
        flow = slots.udp_flow_id(key, self.sender.getsockname())
        packet = messages.Packet(
            slots.service_key("rounds"), flow, 2, 0, 0, "", PAYLOAD
        )
        return wire.make_codec(bytes.fromhex(KEY))[0](packet)

    def measure(self, batches: int) -> dict[str, float]:
        """Returns the CPU time of each hop in microseconds."""
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
                make_bare_relay(self.bare, sink),
                batches=batches,
            ),
            "balancer": run(
                PAYLOAD,
                balancer_socket.address,
                read(balancer_socket),
                batches=batches,
            ),
            "agent": run(
                self.packet(),
                agent_socket.address,
                read(agent_socket),
                batches=batches,
            ),
        }


async def udp_figures(repeats: int, batches: int) -> dict[str, float]:
    """Measures the hops alternately, so that noise affects all equally."""
    hops = Hops()
    await hops.start()
    hops.measure(5)
    runs = [hops.measure(batches) for _ in range(repeats)]
    await hops.balancer.close()
    await hops.agent.close()
    medians = {
        name: statistics.median(run[name] for run in runs) for name in runs[0]
    }
    mean_us = (medians["balancer"] + medians["agent"]) / 2
    worse_us = max(medians["balancer"], medians["agent"])
    return {
        "udp_bare_hop_us": round(medians["bare"], 2),
        "udp_balancer_hop_us": round(medians["balancer"], 2),
        "udp_agent_hop_us": round(medians["agent"], 2),
        "udp_established_ratio": round(mean_us / medians["bare"], 2),
        "udp_worse_hop_ratio": round(worse_us / medians["bare"], 2),
    }


# Decision cores alone.


def time_us(action: Callable[[int], Any], count: int) -> float:
    """Returns the mean CPU time of ``action(i)`` in microseconds."""
    begin = time.process_time()
    for i in range(count):
        action(i)
    return (time.process_time() - begin) / count * 1e6


def make_agent_core() -> agent_core.TerminatingAgent:
    """Returns an agent core that owns all hash slots."""
    core = agent_core.TerminatingAgent("up-1", 1, random.Random(1))
    store = make_store(
        f"{LOOPBACK}:1", f"{LOOPBACK}:1", f"{LOOPBACK}:9", {"position": 7003}
    )
    core.apply(0.0, store)
    return core


def measure_cores(count: int) -> dict[str, float]:
    """Measures decisions without sockets, and the state of open flows."""
    store = make_store(
        f"{LOOPBACK}:1", f"{LOOPBACK}:1", f"{LOOPBACK}:9", {"position": 7003}
    )
    balancing_core = balancer_core.TerminatingBalancer(
        "entry-1", random.Random(1)
    )
    for _ in balancing_core.apply(0.0, store):
        pass
    address = balancing_core.find_address("rounds", "position")
    assert address is not None
    callers = [(f"10.0.{i >> 8}.{i & 255}", 5000) for i in range(1000)]
    routed = time_us(
        lambda i: balancing_core.on_datagram(
            1.0, address, callers[i % 1000], PAYLOAD
        ),
        count,
    )

    core = make_agent_core()
    key = slots.service_key("rounds")
    packets = []
    for i in range(MEMORY_FLOWS):
        caller = (f"10.{i >> 16}.{(i >> 8) & 255}.{i & 255}", 5000)
        flow = slots.udp_flow_id(address.key, caller)
        packets.append(messages.Packet(key, flow, 2, 0, 0, "", PAYLOAD))
    sender = (LOOPBACK, 4000)
    new = time_us(
        lambda i: core.on_message(1.0, sender, packets[i]), MEMORY_FLOWS
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
    """Returns the bytes of state per open flow in an agent core."""
    core = make_agent_core()
    address_key = slots.address_key("rounds", "position")
    key = slots.service_key("rounds")
    sender = (LOOPBACK, 4000)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for i in range(MEMORY_FLOWS):
        caller = (f"10.{i >> 16}.{(i >> 8) & 255}.{i & 255}", 5000)
        flow = slots.udp_flow_id(address_key, caller)
        core.on_message(
            1.0, sender, messages.Packet(key, flow, 2, 0, 0, "", PAYLOAD)
        )
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return round(used / MEMORY_FLOWS, 1)


def measure_tags(count: int) -> dict[str, float]:
    """Measures the cost of the tag in use and of HMAC-SHA256."""
    key = bytes.fromhex(KEY)
    tag = wire.make_tag_function(key)
    body = PAYLOAD * 2
    return {
        "tag_blake2b_us": round(time_us(lambda _: tag(body), count), 2),
        "tag_hmac_sha256_us": round(
            time_us(lambda _: hmac.digest(key, body, hashlib.sha256), count), 2
        ),
    }


# TCP.


class PlainRelay:
    """Plain asyncio relay, the baseline for TCP."""

    def __init__(self, to: tuple[str, int]) -> None:
        self._to = to
        self.server: asyncio.Server

    async def start(self) -> tuple[str, int]:
        """Starts listening and returns the address."""
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
        # One direction may be reset after the other has completed.
        await asyncio.gather(
            self._copy(reader, far_writer),
            self._copy(far_reader, writer),
            return_exceptions=True,
        )
        for stream in (writer, far_writer):
            stream.close()
            with contextlib.suppress(OSError):
                await stream.wait_closed()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(relay.CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
        writer.write_eof()


async def echo_size(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Upstream that reads to the end and replies with the byte count."""
    size = 0
    while data := await reader.read(relay.CHUNK_BYTES):
        size += len(data)
    writer.write(b"%d" % size)
    await writer.drain()
    writer.close()


async def upload(to: tuple[str, int], size: int) -> None:
    """Sends ``size`` bytes and checks the reply.

    Raises:
        RuntimeError: The reply is not the byte count.
    """
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


async def uploads_per_s(
    to: tuple[str, int],
    flows: int,
    each: int,
    size: int,
    strict: bool = True,
) -> float:
    """Returns complete uploads per second with ``flows`` in parallel.

    The plain relay sometimes loses a short reply to a reset, so only complete
    uploads count; with ``strict``, an incomplete upload is an error.
    """
    completed = 0

    async def worker() -> None:
        nonlocal completed
        for _ in range(each):
            try:
                await upload(to, size)
            except (OSError, RuntimeError):
                if strict:
                    raise
            else:
                completed += 1

    begin = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(flows)))
    return completed / (time.perf_counter() - begin)


async def tcp_figures(quick: bool) -> dict[str, float]:
    """Compares balancer and agent with a chain of two plain relays."""
    upstream = await asyncio.start_server(echo_size, LOOPBACK, 0)
    address = upstream.sockets[0].getsockname()
    inner_relay = PlainRelay(address)
    outer_relay = PlainRelay(await inner_relay.start())
    baseline_address = await outer_relay.start()

    agent_daemon = agent.TerminatingAgentDaemon(
        make_settings("agent"), config_store.ConfigStore(), random.Random(1), 1
    )
    await agent_daemon.start()
    port = free_port(socket.SOCK_STREAM)
    store = make_store(
        agent_daemon.udp_address,
        agent_daemon.relay_address,
        "{}:{}".format(*address),
        {"feed": port},
    )
    agent_daemon.store = store
    agent_daemon.reconfigure()
    balancer_daemon = balancer.TerminatingBalancerDaemon(
        make_settings("balancer"), store, random.Random(1)
    )
    await balancer_daemon.start()
    balancer_daemon.reconfigure()
    while not balancer_daemon._listeners:
        await asyncio.sleep(0.01)
    product_address = (LOOPBACK, port)

    uploads_per_worker = 10 if quick else 40
    figures: dict[str, float] = {}
    for flows, size in ((1, 32 << 20), (64, 1 << 20)):
        each = 2 if quick else 8
        base = await uploads_per_s(
            baseline_address, flows, each, size, strict=False
        )
        ours = await uploads_per_s(product_address, flows, each, size)
        figures[f"tcp_bytes_ratio_{flows}"] = round(ours / base, 2)
        figures[f"tcp_mb_per_s_{flows}"] = round(ours * size / 1e6, 1)
    base = await uploads_per_s(
        baseline_address, 32, uploads_per_worker, 1, strict=False
    )
    ours = await uploads_per_s(product_address, 32, uploads_per_worker, 1)
    figures["new_flows_per_s"] = round(ours, 1)
    figures["new_flows_ratio"] = round(ours / base, 2)
    await balancer_daemon.close()
    await agent_daemon.close()
    for server in (upstream, inner_relay.server, outer_relay.server):
        server.close()
    return figures


async def measure(quick: bool) -> dict[str, Any]:
    """Runs all measurements and returns their figures."""
    figures: dict[str, Any] = {}
    figures |= await udp_figures(5 if quick else 15, 100 if quick else 300)
    figures |= measure_cores(50_000 if quick else 300_000)
    figures |= measure_tags(100_000)
    figures |= await tcp_figures(quick)
    return figures


def main() -> None:
    """Runs the bench and prints its figures."""
    args = driver.parse_args(__doc__ or "", 1)
    driver.print_figures(args, asyncio.run(measure(args.quick)))


if __name__ == "__main__":
    main()
