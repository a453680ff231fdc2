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
        cut: IP addresses of daemons whose packets from and to callers are
            dropped.
        on_packet: Called with each packet for a caller.
    """

    def __init__(
        self,
        net: network.Network,
        balancers: Sequence[daemons.Daemon],
        agents: Sequence[daemons.Daemon],
        rng: random.Random,
    ) -> None:
        """Binds the addresses of the callers."""
        self.loss = 0.0
        self.cut: set[str] = set()
        self.on_packet: Callable[[bytes], None]
        self._balancers = balancers
        self._agents = agents
        self._rng = rng
        self._fetch = http.make_fetch()
        self._misses = {daemon.name: MAX_MISSES for daemon in balancers}
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

    def rotation(self) -> list[daemons.Daemon]:
        """Returns the balancers that get packets.

        If less than half are ready, all get packets.
        """
        ready = [
            x for x in self._balancers if self._misses[x.name] < MAX_MISSES
        ]
        enough = 2 * len(ready) >= len(self._balancers)
        return ready if enough else list(self._balancers)

    def all_ready(self) -> bool:
        """Returns True if all daemons answer their readiness checks."""
        return not any(self._misses.values()) and all(
            x.away_since is None for x in (*self._balancers, *self._agents)
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
            await asyncio.gather(
                asyncio.sleep(CHECK_INTERVAL_S),
                *(self._check_balancer(x) for x in self._balancers),
                *(self._answers(x) for x in self._agents),
            )

    async def _check_balancer(self, daemon: daemons.Daemon) -> None:
        ready = await self._answers(daemon) and daemon.ip not in self.cut
        misses = 0 if ready else self._misses[daemon.name] + 1
        self._misses[daemon.name] = misses

    async def _answers(self, daemon: daemons.Daemon) -> bool:
        response = await self._fetch(
            "GET", daemon.url("readiness", READY_PATH), None, CHECK_TIMEOUT_S
        )
        if response.status != 200:
            return False
        daemon.end_outage()
        return True
