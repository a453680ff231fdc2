"""Upstreams of a run, each beside an agent, with their own boots and faults."""

import asyncio
from collections.abc import Callable
import json
import random
import time

from crocusmux.core.forward import segments
from crocusmux.daemons import process
from crocusmux.daemons import udp
from crocusmux.objectapi import http
from crocusmux.platform import packets
from soak import daemons
from soak import network

SLOTS = 2
MIN_SERVICE_S, MAX_SERVICE_S = 0.005, 0.05
# Time between two attempts to deliver a status report that got no answer.
RETRY_S = 0.3
CALL_TIMEOUT_S = 1.0


class HeldFlow:
    """A flow that a boot of an upstream has open.

    ``answers`` has the answers by the sequence number of their requests, or
    None while a request runs.
    """

    __slots__ = ("answers", "expected", "isn", "sent_end")

    def __init__(self, isn: int, expected: int) -> None:
        self.isn = isn
        self.expected = expected
        self.sent_end = isn + 1
        self.answers: dict[int, bytes | None] = {}


class Upstream:
    """Upstream of one host over several boots, beside the agent ``daemon``.

    Attributes:
        restarted_at: Time of the start of the present boot, seconds; None while
            the upstream is down, 0 during the first boot.
    """

    def __init__(
        self,
        daemon: daemons.Daemon,
        domain: str,
        service: str,
        rng: random.Random,
    ) -> None:
        self.daemon = daemon
        self.name = daemon.name
        self.service = service
        self.domain = domain
        self.boot = 0
        self.restarted_at: float | None = None
        self.held: dict[bytes, HeldFlow] = {}
        # Initial sequence numbers of flows that are not open yet.
        self.half_open: dict[bytes, int] = {}
        self.on_opening: Callable[[Upstream, bytes], None]
        self.on_run: Callable[[Upstream, bytes, str], None]
        self._rng = rng
        self._fetch = http.make_fetch()
        self._socket: udp.UdpSocket | None = None
        self._tasks: set[asyncio.Task] = set()
        self._state = "ready"
        self._sequence = 0
        self._born_ms = 0

    def start(self) -> None:
        """Starts a new boot, which knows no flow."""
        now = asyncio.get_running_loop().time()
        self.restarted_at = now if self.boot else 0.0
        self.boot += 1
        self._state = "ready"
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        address = self.daemon.address("app")
        self._socket = udp.UdpSocket(address, self._on_datagram)
        process.start_task(self._tasks, self._send_heartbeats())

    def crash(self) -> None:
        """Ends the boot without a word."""
        for task in list(self._tasks):
            task.cancel()
        if self._socket is not None:
            self._socket.close()
        self.restarted_at = None
        self.held.clear()
        self.half_open.clear()

    async def drain(self, seconds: float) -> None:
        """Announces a drain, serves for some time, and announces the end."""
        self._state = "draining"
        await self._send_heartbeat()
        await asyncio.sleep(seconds)
        await self._call("deregister", b"")

    async def _send_heartbeats(self) -> None:
        while True:
            delivered = await self._send_heartbeat()
            await asyncio.sleep(daemons.HEARTBEAT_S if delivered else RETRY_S)

    async def _send_heartbeat(self) -> bool:
        self._sequence += 1
        ip, port = self.daemon.address("app")
        report = {
            "service": self.service,
            "address": f"{ip}:{port}",
            "max_concurrency": SLOTS,
            "state": self._state,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        return await self._call("heartbeat", json.dumps(report).encode())

    async def _call(self, action: str, body: bytes) -> bool:
        path = f"/crocusmux/endpoints/{self.name}-{self.boot}/{action}"
        url = self.daemon.url("control", path)
        response = await self._fetch("POST", url, body, CALL_TIMEOUT_S)
        return response.status == 200

    def _send(
        self, key: bytes, flags: int, seq: int, ack: int, body: bytes = b""
    ) -> bytes:
        caller, route = network.ends_of(key)
        data = network.encode(route, caller, flags, seq, ack, body)
        self._send_raw(data)
        return data

    def _send_raw(self, data: bytes) -> None:
        assert self._socket is not None
        self._socket.send(data, self.daemon.address("outbound"))

    def _on_datagram(self, data: bytes, sender: network.Address) -> None:
        seg = packets.decode_from_caller(data)
        flow = self.held.get(seg.key)
        if seg.opening:
            self._on_opening_segment(seg)
        elif flow is not None:
            self._on_segment(seg, flow)
        elif seg.key in self.half_open and segments.acknowledges_syn_ack(
            seg.ack, self.half_open[seg.key]
        ):
            flow = HeldFlow(self.half_open.pop(seg.key), seg.seq)
            self.held[seg.key] = flow
            self._on_segment(seg, flow)
        else:
            flags = data[30] | packets.BOUNCED
            self._send_raw(data[:30] + bytes([flags, 0]) + data[32:])

    def _on_opening_segment(self, seg: segments.Segment) -> None:
        self.on_opening(self, seg.key)
        if seg.key in self.held:
            return
        isn = self.half_open.setdefault(seg.key, self._rng.getrandbits(32))
        flags = packets.SYN | packets.ACK
        self._send(seg.key, flags, isn, seg.seq + 1)

    def _on_segment(self, seg: segments.Segment, flow: HeldFlow) -> None:
        if seg.reset:
            del self.held[seg.key]
        elif seg.final:
            del self.held[seg.key]
            flags = packets.FIN | packets.ACK
            self._send(seg.key, flags, flow.sent_end, seg.seq + 1)
        elif seg.length and seg.seq in flow.answers:
            answer = flow.answers[seg.seq]
            if answer is not None:
                self._send_raw(answer)
        elif seg.length and seg.seq == flow.expected:
            flow.expected = (seg.seq + seg.length) % segments.SEQUENCE_MODULUS
            flow.answers[seg.seq] = None
            process.start_task(self._tasks, self._run(seg, flow))

    async def _run(self, seg: segments.Segment, flow: HeldFlow) -> None:
        # The body of a request, and of its answer, is its id.
        body = seg.data[packets.HEADER.size :]
        self.on_run(self, seg.key, body.decode())
        await asyncio.sleep(self._rng.uniform(MIN_SERVICE_S, MAX_SERVICE_S))
        seq = flow.sent_end
        flow.sent_end = (seq + len(body)) % segments.SEQUENCE_MODULUS
        flow.answers[seg.seq] = self._send(
            seg.key, packets.ACK, seq, flow.expected, body
        )
