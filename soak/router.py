"""Router that spreads the packets of callers over the balancers."""

import asyncio
from collections.abc import Callable, Sequence
import random
import zlib

from crocusmux.daemons import udp
from crocusmux.objectapi import http
from soak import daemons
from soak import network

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.4
# Failed readiness checks after which a balancer leaves the rotation.
MAX_MISSES = 2
READY_PATH = "/crocusmux/ready"
# Callers' hosts, each with an address of its own.
CALLER_HOSTS = 4


class Router:
    """Passes packets on, unless a fault drops them.

    Attributes:
        loss: Share of the packets that are dropped in each direction.
        cut: IP addresses of daemons that no caller's packet reaches or leaves.
    """

    def __init__(
        self,
        net: network.Network,
        hosts: Sequence[daemons.Daemon],
        rng: random.Random,
    ) -> None:
        self.loss = 0.0
        self.cut: set[str] = set()
        self.on_packet: Callable[[bytes], None]
        self._hosts = list(hosts)
        self._balancers = [x for x in hosts if x.role == "balancer"]
        self._rng = rng
        self._fetch = http.make_fetch()
        self._misses = {daemon.name: MAX_MISSES for daemon in hosts}
        self._sockets = {
            net.ip("caller", n): udp.UdpSocket(
                net.address("caller", n, "data"), self._on_datagram
            )
            for n in range(1, CALLER_HOSTS + 1)
        }
        self.caller_ips = tuple(self._sockets)

    def close(self) -> None:
        """Closes the sockets."""
        for sock in self._sockets.values():
            sock.close()

    def add(self, daemon: daemons.Daemon) -> None:
        """Checks the readiness of a new daemon too."""
        self._hosts.append(daemon)
        self._misses[daemon.name] = MAX_MISSES

    def remove(self, daemon: daemons.Daemon) -> None:
        """Forgets a daemon that has been removed for good."""
        self._hosts.remove(daemon)

    def rotation(self) -> list[daemons.Daemon]:
        """Returns the ready balancers, or all if less than half are ready."""
        known = self._balancers
        ready = [x for x in known if self._misses[x.name] < MAX_MISSES]
        return ready if 2 * len(ready) >= len(known) else known

    def all_ready(self) -> bool:
        """Returns True if all daemons answer their readiness checks."""
        return not any(
            x.away_since or self._misses[x.name] for x in self._hosts
        )

    def send(self, key: bytes, data: bytes) -> str:
        """Sends a caller's packet; returns the name of its balancer."""
        rotation = self.rotation()
        balancer = rotation[zlib.crc32(key) % len(rotation)]
        if balancer.ip not in self.cut and self._rng.random() >= self.loss:
            caller, _ = network.ends_of(key)
            sock = self._sockets[caller[0]]
            sock.send(data, balancer.address("data"))
        return balancer.name

    def _on_datagram(self, data: bytes, sender: network.Address) -> None:
        if sender[0] not in self.cut and self._rng.random() >= self.loss:
            self.on_packet(data)

    async def check_readiness(self) -> None:
        """Checks all daemons until cancelled."""
        while True:
            checks = (self._check(daemon) for daemon in self._hosts)
            await asyncio.gather(asyncio.sleep(CHECK_INTERVAL_S), *checks)

    async def _check(self, daemon: daemons.Daemon) -> None:
        url = daemon.url("readiness", READY_PATH)
        response = await self._fetch("GET", url, None, CHECK_TIMEOUT_S)
        if response.status == 200:
            daemon.end_outage()
        ready = response.status == 200 and daemon.ip not in self.cut
        misses = 0 if ready else self._misses[daemon.name] + 1
        self._misses[daemon.name] = misses
