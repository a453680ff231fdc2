"""An endpoint beside an agent, as PROTOCOL.md describes it."""

import asyncio
from collections.abc import Callable
import json
import random
import socket
import time

from review.lib_2 import packet
from review.lib_2 import web

HEARTBEAT_S = 1.2
SERVICE_S = 0.01
SLOTS = 4
# Key of a flow: address of the consumer, and that of the route.
Key = tuple[packet.Address, packet.Address]


class _Held:
    """A flow that is half open, open or ended at an endpoint."""

    def __init__(self, opening: int, isn: int) -> None:
        self.opening = opening
        self.isn = isn
        self.state = "half"
        self.expected = (opening + 1) % packet.MODULUS
        self.next = (isn + 1) % packet.MODULUS
        self.received = b""
        self.answers: dict[int, tuple[int, bytes, bool]] = {}
        self.closes = {"consumer": False, "endpoint": False}


class Endpoint:
    """One boot after the other of an endpoint on a side machine."""

    def __init__(
        self,
        name: str,
        service: str,
        app: packet.Address,
        outbound: packet.Address,
        control: packet.Address,
        note: Callable[..., None],
    ) -> None:
        self.name = name
        self.service = service
        self.app = app
        self.boot = 0
        self.state = "ready"
        self.running = False
        # Milliseconds by which the time of day is ahead at the next start.
        self.clock_ahead_ms = 0
        self.flows: dict[Key, _Held] = {}
        self.on_open: Callable[[Endpoint, Key, int], None] = lambda *_: None
        self.on_run: Callable[[Endpoint, Key, str], None] = lambda *_: None
        self.on_reset: Callable[[Endpoint, Key], None] = lambda *_: None
        self._outbound = outbound
        self._control = control
        self._note = note
        self._rng = random.Random(name)
        self._sequence = 0
        self._born = 0
        self._sock: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts a new boot, which holds no flow."""
        self.boot += 1
        self.state = "ready"
        self.flows = {}
        self._sequence = 0
        self._born = int(time.time() * 1000) + self.clock_ahead_ms
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(self.app)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._sock, self._on_readable, self._sock)
        self._task = asyncio.create_task(self._beat())
        self.running = True

    def crash(self) -> None:
        """Ends the boot without a word."""
        self.running = False
        if self._task is not None:
            self._task.cancel()
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()

    def report(self) -> tuple[str, bytes]:
        """Returns path and body of the next status report."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": "{}:{}".format(*self.app),
            "zone": "z1",
            "version": "v1",
            "max_concurrency": SLOTS,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        path = f"/crocusmux/endpoints/{self.name}-{self.boot}/heartbeat"
        return path, json.dumps(body).encode()

    async def send_report(self, path: str, body: bytes) -> int:
        """Sends a status report to the agent; returns the status."""
        return (await web.fetch("POST", self._control, path, body, 1.0))[0]

    async def _beat(self) -> None:
        while True:
            await self.send_report(*self.report())
            await asyncio.sleep(HEARTBEAT_S)

    def _on_readable(self, sock: socket.socket) -> None:
        for _ in range(64):
            try:
                raw = sock.recv(65_536)
            except OSError:
                return
            self._on_packet(raw)

    def _send(
        self, key: Key, flags: int, seq: int, ack: int, data: bytes
    ) -> None:
        raw = packet.encode(key[1], key[0], flags, seq, ack, data)
        self._send_raw(raw)

    def _send_raw(self, raw: bytes) -> None:
        if self.running and self._sock is not None:
            self._sock.sendto(raw, self._outbound)

    def _on_packet(self, raw: bytes) -> None:
        seg = packet.decode(raw)
        key = seg.src, seg.dst
        held = self.flows.get(key)
        if not seg.intact:
            self._note("altered", endpoint=self.name, flow=key)
        if seg.flags & packet.SYN:
            self._on_opening(key, seg, held)
        elif held is None:
            self._send_raw(packet.bounce(raw))
        elif held.state == "half":
            if seg.ack != (held.isn + 1) % packet.MODULUS:
                self._send_raw(packet.bounce(raw))
                return
            held.state = "open"
            self._note("opened", endpoint=self.name, flow=key)
            self.on_open(self, key, held.isn)
            self._on_open_packet(key, seg, held)
        elif held.state == "ended":
            self._on_ended(key, seg, held)
        else:
            self._on_open_packet(key, seg, held)

    def _on_opening(
        self, key: Key, seg: packet.Packet, held: _Held | None
    ) -> None:
        if held is not None and held.state == "open":
            return
        if held is None or held.opening != seg.seq or held.state == "ended":
            held = _Held(seg.seq, self._rng.getrandbits(32))
            self.flows[key] = held
            self._note("syn", endpoint=self.name, flow=key, seq=seg.seq)
        flags = packet.SYN | packet.ACK
        self._send(key, flags, held.isn, held.expected, b"")

    def _on_ended(self, key: Key, seg: packet.Packet, held: _Held) -> None:
        if seg.flags & packet.FIN:
            self._send(key, packet.ACK, seg.ack, seg.seq + 1, b"")
        elif seg.data:
            # As TCP does: the reset takes its number from the packet.
            self._note("resets-ended", endpoint=self.name, flow=key)
            self.on_reset(self, key)
            self._send(key, packet.RST, seg.ack, 0, b"")

    def _on_open_packet(
        self, key: Key, seg: packet.Packet, held: _Held
    ) -> None:
        if seg.flags & packet.RST:
            held.state = "ended"
            return
        if seg.data and seg.seq in held.answers:
            self._send_answer(key, held, seg.seq)
        elif seg.data and seg.seq == held.expected:
            held.expected = (seg.seq + len(seg.data)) % packet.MODULUS
            loop = asyncio.get_running_loop()
            self._begin(key, held, seg)
            loop.call_later(SERVICE_S, self._finish, key, held, seg)
        if seg.flags & packet.FIN:
            after = (seg.seq + len(seg.data) + 1) % packet.MODULUS
            held.expected = after
            held.closes["consumer"] = True
            if held.closes["endpoint"]:
                self._send(key, packet.ACK, held.next, after, b"")
            else:
                flags = packet.FIN | packet.ACK
                self._send(key, flags, held.next, after, b"")
                held.closes["endpoint"] = True
            held.state = "ended"
            self._note("ended", endpoint=self.name, flow=key)

    def _begin(self, key: Key, held: _Held, seg: packet.Packet) -> None:
        name = seg.data.decode().split("Request-Id: ")[1].split("\r\n")[0]
        self._note("run", endpoint=self.name, flow=key, id=name)
        self.on_run(self, key, name)

    def _finish(self, key: Key, held: _Held, seg: packet.Packet) -> None:
        if self.flows.get(key) is not held or held.state != "open":
            return
        name = seg.data.decode().split("Request-Id: ")[1].split("\r\n")[0]
        body = f"{self.name} {name}"
        closes = b"Connection: close" in seg.data or self.state == "draining"
        data = (
            "HTTP/1.1 200 OK\r\nEndpoint-Signature: x\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
        held.answers[seg.seq] = held.next, data, closes
        held.next = (held.next + len(data) + closes) % packet.MODULUS
        held.closes["endpoint"] = closes
        self._send_answer(key, held, seg.seq)

    def _send_answer(self, key: Key, held: _Held, request_seq: int) -> None:
        seq, data, closes = held.answers[request_seq]
        flags = packet.ACK | (packet.FIN if closes else 0)
        self._send(key, flags, seq, held.expected, data)
