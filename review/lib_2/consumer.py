"""Consumers, and the platform's router in front of the balancers."""

import asyncio
from collections.abc import Callable, Sequence
import contextlib
import random
import socket
import zlib

from review.lib_2 import daemon
from review.lib_2 import endpoint
from review.lib_2 import packet
from review.lib_2 import web

SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_LIMIT_S = 1.4
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6)
RESET_WINDOW = 76_800
CHECK_S = 0.5


class Router:
    """Sends packets of consumers to balancers by ``mod`` over the rotation."""

    def __init__(
        self, balancers: Sequence[daemon.Daemon], ips: Sequence[str], port: int
    ) -> None:
        self.ips = tuple(ips)
        self.flows: dict[endpoint.Key, Flow] = {}
        self.balancers = list(balancers)
        self._misses = dict.fromkeys((x.name for x in balancers), 2)
        self._socks = {ip: self._bind(ip, port) for ip in ips}
        self._task = asyncio.create_task(self._check())

    def _bind(self, ip: str, port: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((ip, port))
        asyncio.get_running_loop().add_reader(sock, self._on_readable, sock)
        return sock

    def _on_readable(self, sock: socket.socket) -> None:
        for _ in range(64):
            try:
                raw = sock.recv(65_536)
            except OSError:
                return
            seg = packet.decode(raw)
            flow = self.flows.get((seg.dst, seg.src))
            if flow is not None:
                flow.on_packet(seg)

    def rotation(self) -> list[daemon.Daemon]:
        """Returns the ready balancers, or all if fewer than half are ready."""
        ready = [x for x in self.balancers if self._misses[x.name] < 2]
        return (
            ready if 2 * len(ready) >= len(self.balancers) else self.balancers
        )

    def ready(self, name: str) -> bool:
        """Returns True while a balancer is in the rotation."""
        return self._misses[name] < 2

    def choose(self, key: endpoint.Key) -> daemon.Daemon:
        """Returns the balancer of a flow."""
        chosen = self.rotation()
        return chosen[zlib.crc32(repr(key).encode()) % len(chosen)]

    def send(self, key: endpoint.Key, raw: bytes) -> str:
        """Sends a packet; returns the name of its balancer."""
        target = self.choose(key)
        with contextlib.suppress(OSError):
            self._socks[key[0][0]].sendto(raw, target.address("data_addr"))
        return target.name

    async def _check(self) -> None:
        while True:
            await asyncio.gather(
                asyncio.sleep(CHECK_S), *map(self._check_one, self.balancers)
            )

    async def _check_one(self, target: daemon.Daemon) -> None:
        address = target.address("readiness")
        path = "/crocusmux/ready"
        status, _ = await web.fetch("GET", address, path, b"", 0.4)
        misses = 0 if status == 200 else self._misses[target.name] + 1
        self._misses[target.name] = misses


class Flow:
    """A flow as its consumer sees it.

    Attributes:
        state: "opening", "open", "closed" or "reset".
        chosen: Number of the SYN+ACK that the consumer took.
        resets: Packets with RST that arrived while the flow was open.
    """

    def __init__(
        self,
        key: endpoint.Key,
        router: Router,
        note: Callable[..., None],
        rng: random.Random,
    ) -> None:
        self.key = key
        self.state = "opening"
        self.chosen: int | None = None
        self.resets: list[packet.Packet] = []
        self.by = ""
        self._router = router
        self._note = note
        self._next = rng.getrandbits(32)
        self._ack = 0
        self._text = b""
        self._changed = asyncio.Event()
        self._now = asyncio.get_running_loop().time
        router.flows[key] = self

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        raw = packet.encode(*self.key, flags, seq, ack, data)
        self.by = self._router.send(self.key, raw)

    async def _wait(self, until: float, done: Callable[[], bool]) -> None:
        while not done():
            left_s = until - self._now()
            if left_s <= 0:
                return
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    async def open(self) -> str:
        """Opens the flow; returns "open", "reset" or "silent"."""
        began = self._now()
        for number, at_s in enumerate(SYN_COPIES_S):
            await self._wait(began + at_s, lambda: self.state != "opening")
            if self.state != "opening":
                break
            self._send(packet.SYN, self._next, number)
        limit = began + SYN_LIMIT_S
        await self._wait(limit, lambda: self.state != "opening")
        if self.state == "opening":
            self.state = "closed"
            return "silent"
        return self.state

    async def request(self, name: str, budget_s: float, last: bool) -> str:
        """Sends a request; returns the body, "reset" or "no-answer".

        Args:
            name: Id of the request.
            budget_s: Time budget, seconds.
            last: True to ask the endpoint to close after the answer.
        """
        self._text = b""
        text = f"GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: {name}\r\n"
        text += "Connection: close\r\n\r\n" if last else "\r\n"
        data, seq = text.encode(), self._next
        self._next = (seq + len(data)) % packet.MODULUS
        until = self._now() + budget_s

        def answered() -> bool:
            return b"\r\n\r\n" in self._text or self.state == "reset"

        for pause_s in RETRANSMIT_S:
            if answered() or self._now() >= until:
                break
            self._send(packet.ACK, seq, self._ack, data)
            await self._wait(min(until, self._now() + pause_s), answered)
        if b"\r\n\r\n" in self._text:
            return self._text.decode().split("\r\n\r\n")[1]
        return "reset" if self.state == "reset" else "no-answer"

    def on_packet(self, seg: packet.Packet) -> None:
        """Applies a packet of the flow."""
        self._changed.set()
        if not seg.intact:
            self._note("altered-to-consumer", flow=self.key)
        if seg.flags & packet.RST:
            self._on_reset(seg)
        elif seg.flags & packet.SYN:
            if self.state == "opening":
                self.state = "open"
                self.chosen = seg.seq
                self._next = (self._next + 1) % packet.MODULUS
                self._ack = (seg.seq + 1) % packet.MODULUS
                self._send(packet.ACK, self._next, self._ack)
        elif self.state == "open" and seg.seq == self._ack:
            after = seg.seq + len(seg.data)
            self._text += seg.data
            if seg.flags & packet.FIN:
                self._close(after + 1)
            elif seg.data:
                self._ack = after % packet.MODULUS
                self._send(packet.ACK, self._next, self._ack)

    def _close(self, ack: int) -> None:
        """Closes after the endpoint has closed."""
        self._ack = ack % packet.MODULUS
        self.state = "closed"
        self._send(packet.FIN | packet.ACK, self._next, self._ack)

    def _on_reset(self, seg: packet.Packet) -> None:
        before = self.state
        near = abs(packet.distance(seg.seq, self._ack)) <= RESET_WINDOW
        sender = "system" if seg.own_reset else "an endpoint"
        self._note("rst", flow=self.key, state=before, sender=sender, near=near)
        if before == "open":
            self.resets.append(seg)
        if before == "opening" or (before == "open" and near):
            self.state = "reset"
