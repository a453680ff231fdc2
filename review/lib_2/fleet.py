"""A small deployment on loopback addresses, and its record."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
from types import MappingProxyType
from typing import Any

from review.lib_2 import consumer
from review.lib_2 import daemon
from review.lib_2 import endpoint
from review.lib_2 import packet
from review.lib_2 import store

# Exit statuses for run.sh, which an exception cannot cause by chance.
HELD, BROKEN, NOT_RUN = 10, 11, 12
PORTS = ("data_addr", "readiness", "control", "outbound", "app", "messages")
# Below the usual range of ephemeral ports.
FIRST_PORT, LAST_PORT = 21_000, 30_000
LOCK_PORT = 20_999
LIMIT_S = 110.0


class Fleet:
    """Store, balancers, agents with endpoints, router and consumers.

    Attributes:
        trouble: False to leave the disruption out.
    """

    def __init__(self, record: pathlib.Path, scratch: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.rng = random.Random(1)
        self.endpoints: dict[str, endpoint.Endpoint] = {}
        self.agents: dict[str, daemon.Daemon] = {}
        self.balancers: list[daemon.Daemon] = []
        self._scratch = scratch
        self._record = record.open("w", encoding="utf-8")
        self._now = asyncio.get_running_loop().time
        self._began = self._now()
        # Keeps the addresses from other runs on this machine.
        self._lock, self._net, self._ports = _find_addresses()
        self.store = store.Store((self._ip(3, 1), self._ports["control"]))

    def note(self, event: str, /, **fields: Any) -> None:
        """Writes a line to the record."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        at_s = self._now() - self._began
        self._record.write(f"{at_s:8.3f} {event} {text}\n")
        self._record.flush()

    def _ip(self, group: int, number: int) -> str:
        return f"127.{self._net}.{group}.{number}"

    def _settings(self, role: str, number: int) -> dict[str, Any]:
        group = 1 if role == "balancer" else 2
        ip = self._ip(group, number)
        names = ["data_addr", "readiness", "control"]
        if role == "agent":
            names.append("outbound")
        seeds = (self._ip(1, n) for n in (1, 2, 3))
        fields: dict[str, Any] = {
            "node_name": f"{role}-{number}",
            "role": role,
            "machine_class": "edge" if role == "balancer" else "side",
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {name: f"{ip}:{self._ports[name]}" for name in names},
            "port_range": [self._ports["messages"]] * 2,
            "seeds": [f"{ip}:{self._ports['control']}" for ip in seeds],
            "heartbeat_ms": int(endpoint.HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
                "platform",
            ],
            "bounds": {
                "stable_window_ms": 4000,
                "ack_ms": 5000,
                "drain_ms": 3000,
                "grace_s": daemon.GRACE_S,
                "config_apply_ms": 3000,
                "max_stretch_ms": 12000,
                "recovery_s": 12,
                "reorder_ms": 2000,
                "flow_ttl_s": 60,
            },
            "hash": "mod",
            "deploy_mode": "agent",
            "platform": {
                "address": "{}:{}".format(*self.store.address),
                "deploy_mode": "objects",
            },
        }
        return fields

    async def start(
        self,
        balancers: int,
        services: list[str],
        routes: list[dict[str, Any]],
        clock_ahead_ms: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Starts all, with one agent and endpoint for each service name.

        Args:
            balancers: Number of balancers.
            services: Service of each endpoint.
            routes: First desired state.
            clock_ahead_ms: Machines whose time of day is ahead, and by how much.
        """
        await self.store.start()
        self.set_config(1, routes)
        for number in range(1, balancers + 1):
            name = f"balancer-{number}"
            settings = self._settings("balancer", number)
            node = daemon.Daemon("balancer", name, settings, self._scratch)
            self.balancers.append(node)
        for number, service in enumerate(services, 1):
            self._make_agent(number, service)
        ips = [self._ip(9, n) for n in (1, 2, 3, 4)]
        for node in [*self.balancers, *self.agents.values()]:
            await node.start()
        for each in self.endpoints.values():
            each.clock_ahead_ms = clock_ahead_ms.get(each.name, 0)
            each.start()
        port = self._ports["data_addr"]
        self.router = consumer.Router(self.balancers, ips, port)

    def _make_agent(self, number: int, service: str) -> None:
        name = f"agent-{number}"
        settings = self._settings("agent", number)
        app = self._ip(2, number), self._ports["app"]
        settings |= {"service": service, "app": "{}:{}".format(*app)}
        node = daemon.Daemon("agent", name, settings, self._scratch)
        self.agents[name] = node
        self.endpoints[name] = endpoint.Endpoint(
            name,
            service,
            app,
            node.address("outbound"),
            node.address("control"),
            self.note,
        )

    def set_config(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Writes a desired state, as the operator does; this is the ack."""
        spec = {
            "version": version,
            "routes": routes,
            "services": [{"name": x} for x in {r["service"] for r in routes}],
            "limits": {"idle_timeout_ms": 15000},
        }
        method = "PUT" if version > 1 else "POST"
        status, _ = self.store.write(method, "config", "main", spec)
        self.note("desired-state", version=version, status=status)

    async def until_ready(self, limit_s: float = 20.0) -> bool:
        """Waits until all balancers are in the rotation."""
        until = self._now() + limit_s
        while self._now() < until:
            if all(self.router.ready(x.name) for x in self.balancers):
                return True
            await asyncio.sleep(0.1)
        return False

    def flow(
        self, consumer_ip: int, port: int, route: packet.Address
    ) -> consumer.Flow:
        """Returns a new flow from a consumer's port."""
        key = (self.router.ips[consumer_ip], port), route
        return consumer.Flow(key, self.router, self.note, self.rng)

    async def close(self) -> None:
        """Ends all processes."""
        nodes = [*self.balancers, *self.agents.values()]
        for node in nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
        await asyncio.gather(
            *(x.end(signal.SIGKILL) for x in nodes if x.running())
        )
        self._record.close()
        self._lock.close()


def route(name: str, address: packet.Address, service: str) -> dict[str, Any]:
    """Returns a route of the desired state."""
    return {
        "name": name,
        "hostname": address[0],
        "path_prefix": f"/{address[1]}/",
        "service": service,
        "type": "non_idempotent",
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "priority": 1,
        "attempts": 1,
    }


def _find_addresses() -> tuple[socket.socket, int, dict[str, int]]:
    """Returns a lock, a second part of loopback addresses, and free ports."""
    for offset in range(200):
        net = 20 + (os.getpid() + offset) % 200
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"127.{net}.254.254", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        first = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        ports = {name: first + n for n, name in enumerate(PORTS)}
        if all(_is_free(f"127.{net}.1.1", port) for port in ports.values()):
            return lock, net, ports
        lock.close()
    raise OSError("no free addresses")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def run(case: str, play: Callable[[Fleet], Coroutine[Any, Any, int]]) -> None:
    """Plays a case and exits with its outcome."""
    path = pathlib.Path(case)
    name = "record.txt" if path.stem == "case" else f"{path.stem}-record.txt"
    sys.exit(asyncio.run(_run(path.with_name(name), play)))


async def _run(
    record: pathlib.Path, play: Callable[[Fleet], Coroutine[Any, Any, int]]
) -> int:
    with tempfile.TemporaryDirectory() as scratch:
        kept = os.environ.get("KEEP_LOGS")
        fleet = Fleet(record, pathlib.Path(kept or scratch))
        try:
            async with asyncio.timeout(LIMIT_S):
                outcome = await play(fleet)
        except TimeoutError:
            fleet.note("not-run", reason="time-limit")
            outcome = NOT_RUN
        finally:
            await fleet.close()
    return outcome
