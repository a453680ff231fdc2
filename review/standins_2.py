"""Stand-ins of the second review, as PROTOCOL.md and DEPLOY.md describe them.

The platform's store and its router, endpoints, consumers, and a small deployment
of the project's daemons on loopback addresses.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from types import MappingProxyType
from typing import Any
import urllib.parse
import zlib

SYN, RST, FIN, BOUNCED, ACK = 2, 4, 16, 32, 64
MODULUS = 1 << 32
HEAD = struct.Struct(">IIIH4s4sHHIBB")
SECRET = b"known to consumers and endpoints"

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Packet:
    """A decoded packet; ``intact`` is False if its sum does not fit."""

    src: Address
    dst: Address
    flags: int
    seq: int
    ack: int
    data: bytes
    own_reset: bool
    intact: bool


def _sum(head: bytes, data: bytes) -> int:
    flags = head[30] & ~BOUNCED
    fields = head[:8] + head[12:26] + bytes([flags])
    return zlib.crc32(SECRET + fields + data) or 1


def encode_packet(
    src: Address,
    dst: Address,
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Returns a packet of one of the two ends."""
    head = HEAD.pack(
        seq % MODULUS,
        ack % MODULUS,
        0,
        dst[1],
        socket.inet_aton(dst[0]),
        socket.inet_aton(src[0]),
        src[1],
        len(data),
        0,
        flags,
        0,
    )
    return head[:8] + struct.pack(">I", _sum(head, data)) + head[12:] + data


def decode_packet(raw: bytes) -> Packet:
    """Decodes a packet."""
    seq, ack, total, dport, dst, src, sport, length, _, flags, _ = (
        HEAD.unpack_from(raw)
    )
    data = raw[HEAD.size :]
    return Packet(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags & ~BOUNCED,
        seq,
        ack,
        data,
        bool(flags & RST) and total == 0,
        length == len(data) and total in (0, _sum(raw[: HEAD.size], data)),
    )


def bounce(raw: bytes) -> bytes:
    """Returns a packet as an endpoint that does not hold its flow returns it."""
    return raw[:30] + bytes([raw[30] | BOUNCED, 0]) + raw[32:]


def distance(first: int, second: int) -> int:
    """Returns the signed distance of two sequence numbers."""
    half = MODULUS // 2
    return (first - second + half) % MODULUS - half


Handler = Callable[[str, str, bytes], Awaitable[tuple[int, bytes] | None]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = 0
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return head.split("\r\n")[0], await reader.readexactly(length)


async def serve(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serves requests; a handler that returns None closes the connection."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The task is cancelled when the case ends.
        ended = (OSError, EOFError, asyncio.CancelledError)
        with contextlib.suppress(*ended, asyncio.LimitOverrunError):
            while True:
                line, body = await _read_message(reader)
                method, path, _ = line.split(" ")
                answer = await handler(method, path, body)
                if answer is None:
                    break
                status, data = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    return await asyncio.start_server(on_connection, ip, port)


async def fetch(
    method: str,
    address: tuple[str, int],
    path: str,
    body: bytes,
    limit_s: float,
) -> tuple[int, bytes]:
    """Returns status and body of an answer; status 0 without one."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            line, data = await _read_message(reader)
            return int(line.split(" ")[1]), data
    except (OSError, EOFError, TimeoutError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


PREFIX = "/crocusmux/objects/"


class Store:
    """Keeps each object as the JSON value that its writer sent."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.revision = 10
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Begins to serve."""
        self._server = await serve(*self.address, self._handle)

    async def _handle(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        parts = urllib.parse.urlsplit(path)
        query = {
            key: values[0]
            for key, values in urllib.parse.parse_qs(parts.query).items()
        }
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        name = urllib.parse.unquote(name)
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return _answer(200 if item else 404, item)
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            return self._list(kind, query.get("after", ""))
        sent = json.loads(body or b"{}")
        meta = sent.get("meta", {})
        revision = query.get("rev", meta.get("rev"))
        name = name or meta["name"]
        spec = sent.get("spec")
        return self.write(method, kind, name, spec, revision)

    def _list(self, kind: str, after: str) -> tuple[int, bytes]:
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:500]]
        more = len(names) > len(items)
        page = {"items": items, "more": more, "current_rev": self.revision}
        return _answer(200, page)

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", "0")) / 1000
        since = int(query["watch"])
        while True:
            events = [e for r, k, e in self._history if k == kind and r > since]
            left_s = until - loop.time()
            if events or left_s <= 0:
                page = {"events": events, "current_rev": self.revision}
                return _answer(200, page)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def write(
        self, method: str, kind: str, name: str, spec: Any, revision: Any = None
    ) -> tuple[int, bytes]:
        """Applies a write if its condition holds."""
        known = self.objects.get((kind, name))
        if known is None and method != "POST":
            return _answer(404, None)
        if known is not None and (
            method == "POST"
            or (revision is not None and int(revision) != known["meta"]["rev"])
        ):
            return _answer(409, known)
        if method == "DELETE":
            del self.objects[kind, name]
            self._record(kind, known, True)
            return _answer(200, known)
        if known is not None and known["spec"] == spec:
            return _answer(200, known)
        created = known["meta"]["created"] if known else self.revision + 1
        meta = {"name": name, "rev": self.revision + 1, "created": created}
        meta |= {"finalizers": [], "deleting": False}
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._record(kind, item, False)
        return _answer(200, item)

    def _record(self, kind: str, item: Any, deleted: bool) -> None:
        self.revision += 1
        event = {"object": item, "deleted": deleted}
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()


def _answer(status: int, value: Any) -> tuple[int, bytes]:
    return status, json.dumps(value).encode()


HEARTBEAT_S = 1.2
SERVICE_S = 0.01
SLOTS = 4
# Key of a flow: address of the consumer, and that of the route.
Key = tuple[Address, Address]


class _Held:
    """A flow that is half open, open or ended at an endpoint."""

    def __init__(self, opening: int, isn: int) -> None:
        self.opening = opening
        self.isn = isn
        self.state = "half"
        self.expected = (opening + 1) % MODULUS
        self.next = (isn + 1) % MODULUS
        self.received = b""
        self.answers: dict[int, tuple[int, bytes, bool]] = {}
        self.closes = {"consumer": False, "endpoint": False}


class Endpoint:
    """One boot after the other of an endpoint on a side machine."""

    def __init__(
        self,
        name: str,
        service: str,
        app: Address,
        outbound: Address,
        control: Address,
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
        return (await fetch("POST", self._control, path, body, 1.0))[0]

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
        raw = encode_packet(key[1], key[0], flags, seq, ack, data)
        self._send_raw(raw)

    def _send_raw(self, raw: bytes) -> None:
        if self.running and self._sock is not None:
            self._sock.sendto(raw, self._outbound)

    def _on_packet(self, raw: bytes) -> None:
        seg = decode_packet(raw)
        key = seg.src, seg.dst
        held = self.flows.get(key)
        if not seg.intact:
            self._note("altered", endpoint=self.name, flow=key)
        if seg.flags & SYN:
            self._on_opening(key, seg, held)
        elif held is None:
            self._send_raw(bounce(raw))
        elif held.state == "half":
            if seg.ack != (held.isn + 1) % MODULUS:
                self._send_raw(bounce(raw))
                return
            held.state = "open"
            self._note("opened", endpoint=self.name, flow=key)
            self.on_open(self, key, held.isn)
            self._on_open_packet(key, seg, held)
        elif held.state == "ended":
            self._on_ended(key, seg, held)
        else:
            self._on_open_packet(key, seg, held)

    def _on_opening(self, key: Key, seg: Packet, held: _Held | None) -> None:
        if held is not None and held.state == "open":
            return
        if held is None or held.opening != seg.seq or held.state == "ended":
            held = _Held(seg.seq, self._rng.getrandbits(32))
            self.flows[key] = held
            self._note("syn", endpoint=self.name, flow=key, seq=seg.seq)
        flags = SYN | ACK
        self._send(key, flags, held.isn, held.expected, b"")

    def _on_ended(self, key: Key, seg: Packet, held: _Held) -> None:
        if seg.flags & FIN:
            self._send(key, ACK, seg.ack, seg.seq + 1, b"")
        elif seg.data:
            # As TCP does: the reset takes its number from the packet.
            self._note("resets-ended", endpoint=self.name, flow=key)
            self.on_reset(self, key)
            self._send(key, RST, seg.ack, 0, b"")

    def _on_open_packet(self, key: Key, seg: Packet, held: _Held) -> None:
        if seg.flags & RST:
            held.state = "ended"
            return
        if seg.data and seg.seq in held.answers:
            self._send_answer(key, held, seg.seq)
        elif seg.data and seg.seq == held.expected:
            held.expected = (seg.seq + len(seg.data)) % MODULUS
            loop = asyncio.get_running_loop()
            self._begin(key, held, seg)
            loop.call_later(SERVICE_S, self._finish, key, held, seg)
        if seg.flags & FIN:
            after = (seg.seq + len(seg.data) + 1) % MODULUS
            held.expected = after
            held.closes["consumer"] = True
            if held.closes["endpoint"]:
                self._send(key, ACK, held.next, after, b"")
            else:
                flags = FIN | ACK
                self._send(key, flags, held.next, after, b"")
                held.closes["endpoint"] = True
            held.state = "ended"
            self._note("ended", endpoint=self.name, flow=key)

    def _begin(self, key: Key, held: _Held, seg: Packet) -> None:
        name = seg.data.decode().split("Request-Id: ")[1].split("\r\n")[0]
        self._note("run", endpoint=self.name, flow=key, id=name)
        self.on_run(self, key, name)

    def _finish(self, key: Key, held: _Held, seg: Packet) -> None:
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
        held.next = (held.next + len(data) + closes) % MODULUS
        held.closes["endpoint"] = closes
        self._send_answer(key, held, seg.seq)

    def _send_answer(self, key: Key, held: _Held, request_seq: int) -> None:
        seq, data, closes = held.answers[request_seq]
        flags = ACK | (FIN if closes else 0)
        self._send(key, flags, seq, held.expected, data)


ROOT = pathlib.Path(__file__).resolve().parent.parent
RESTART_DELAY_S = 0.5
GRACE_S = 6


class Daemon:
    """A balancer or an agent on a machine of its own."""

    def __init__(
        self,
        role: str,
        name: str,
        settings: dict[str, Any],
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.role = role
        self.settings = settings
        self.exits: list[int] = []
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._first = True
        # True from the end of the case on; no process is started any more.
        self.closed = False

    def address(self, port: str) -> Address:
        """Returns an address of the settings by its name."""
        ip, _, number = self.settings["listen"][port].rpartition(":")
        return ip, int(number)

    async def start(self) -> None:
        """Starts the process."""
        if self.closed:
            return
        path = self._folder / f"{self.name}.json"
        fields = self.settings | {"bootstrap": self._first}
        path.write_text(json.dumps(fields))
        self._first = False
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= {"CROCUSMUX_BOOT": str(path), "PYTHONPATH": "target/deps"}
        cmd = f"python3 -m crocusmux.platform {self.role}".split()
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *cmd, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        if self.closed:
            self.send(signal.SIGKILL)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Ends the process; SIGTERM is followed by SIGKILL after the grace."""
        self.send(number)
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), GRACE_S)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def restart(
        self, number: signal.Signals, delay_s: float = RESTART_DELAY_S
    ) -> None:
        """Ends the process and starts it again after a short delay."""
        await self.end(number)
        await asyncio.sleep(delay_s)
        await self.start()

    def running(self) -> bool:
        """Returns True unless the process has ended."""
        return self._process is not None and self._process.returncode is None


SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_LIMIT_S = 1.4
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6)
RESET_WINDOW = 76_800
CHECK_S = 0.5


class Router:
    """Sends packets of consumers to balancers by ``mod`` over the rotation."""

    def __init__(
        self, balancers: Sequence[Daemon], ips: Sequence[str], port: int
    ) -> None:
        self.ips = tuple(ips)
        self.flows: dict[Key, Flow] = {}
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
            seg = decode_packet(raw)
            flow = self.flows.get((seg.dst, seg.src))
            if flow is not None:
                flow.on_packet(seg)

    def rotation(self) -> list[Daemon]:
        """Returns the ready balancers, or all if fewer than half are ready."""
        ready = [x for x in self.balancers if self._misses[x.name] < 2]
        return (
            ready if 2 * len(ready) >= len(self.balancers) else self.balancers
        )

    def ready(self, name: str) -> bool:
        """Returns True while a balancer is in the rotation."""
        return self._misses[name] < 2

    def choose(self, key: Key) -> Daemon:
        """Returns the balancer of a flow."""
        chosen = self.rotation()
        return chosen[zlib.crc32(repr(key).encode()) % len(chosen)]

    def send(self, key: Key, raw: bytes) -> str:
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

    async def _check_one(self, target: Daemon) -> None:
        address = target.address("readiness")
        path = "/crocusmux/ready"
        status, _ = await fetch("GET", address, path, b"", 0.4)
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
        key: Key,
        router: Router,
        note: Callable[..., None],
        rng: random.Random,
    ) -> None:
        self.key = key
        self.state = "opening"
        self.chosen: int | None = None
        self.resets: list[Packet] = []
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
        raw = encode_packet(*self.key, flags, seq, ack, data)
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
            self._send(SYN, self._next, number)
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
        self._next = (seq + len(data)) % MODULUS
        until = self._now() + budget_s

        def answered() -> bool:
            return b"\r\n\r\n" in self._text or self.state == "reset"

        for pause_s in RETRANSMIT_S:
            if answered() or self._now() >= until:
                break
            self._send(ACK, seq, self._ack, data)
            await self._wait(min(until, self._now() + pause_s), answered)
        if b"\r\n\r\n" in self._text:
            return self._text.decode().split("\r\n\r\n")[1]
        return "reset" if self.state == "reset" else "no-answer"

    def on_packet(self, seg: Packet) -> None:
        """Applies a packet of the flow."""
        self._changed.set()
        if not seg.intact:
            self._note("altered-to-consumer", flow=self.key)
        if seg.flags & RST:
            self._on_reset(seg)
        elif seg.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.chosen = seg.seq
                self._next = (self._next + 1) % MODULUS
                self._ack = (seg.seq + 1) % MODULUS
                self._send(ACK, self._next, self._ack)
        elif self.state == "open" and seg.seq == self._ack:
            after = seg.seq + len(seg.data)
            self._text += seg.data
            if seg.flags & FIN:
                self._close(after + 1)
            elif seg.data:
                self._ack = after % MODULUS
                self._send(ACK, self._next, self._ack)

    def _close(self, ack: int) -> None:
        """Closes after the endpoint has closed."""
        self._ack = ack % MODULUS
        self.state = "closed"
        self._send(FIN | ACK, self._next, self._ack)

    def _on_reset(self, seg: Packet) -> None:
        before = self.state
        near = abs(distance(seg.seq, self._ack)) <= RESET_WINDOW
        sender = "system" if seg.own_reset else "an endpoint"
        self._note("rst", flow=self.key, state=before, sender=sender, near=near)
        if before == "open":
            self.resets.append(seg)
        if before == "opening" or (before == "open" and near):
            self.state = "reset"


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
        self.endpoints: dict[str, Endpoint] = {}
        self.agents: dict[str, Daemon] = {}
        self.balancers: list[Daemon] = []
        self._scratch = scratch
        self._record = record.open("w", encoding="utf-8")
        self._now = asyncio.get_running_loop().time
        self._began = self._now()
        # Keeps the addresses from other runs on this machine.
        self._lock, self._net, self._ports = _find_addresses()
        self.store = Store((self._ip(3, 1), self._ports["control"]))

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
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
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
                "grace_s": GRACE_S,
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
            node = Daemon("balancer", name, settings, self._scratch)
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
        self.router = Router(self.balancers, ips, port)

    def _make_agent(self, number: int, service: str) -> None:
        name = f"agent-{number}"
        settings = self._settings("agent", number)
        app = self._ip(2, number), self._ports["app"]
        settings |= {"service": service, "app": "{}:{}".format(*app)}
        node = Daemon("agent", name, settings, self._scratch)
        self.agents[name] = node
        self.endpoints[name] = Endpoint(
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

    def flow(self, consumer_ip: int, port: int, route: Address) -> Flow:
        """Returns a new flow from a consumer's port."""
        key = (self.router.ips[consumer_ip], port), route
        return Flow(key, self.router, self.note, self.rng)

    async def close(self) -> None:
        """Ends all processes."""
        nodes = [*self.balancers, *self.agents.values()]
        for node in nodes:
            node.closed = True
            node.send(signal.SIGKILL)
        await asyncio.gather(
            *(x.end(signal.SIGKILL) for x in nodes if x.running())
        )
        self._record.close()
        self._lock.close()


def route(name: str, address: Address, service: str) -> dict[str, Any]:
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


def run(
    play: Callable[[Fleet], Coroutine[Any, Any, int]], record: pathlib.Path
) -> None:
    """Plays a case, writes its record and exits with its outcome.

    The case leads a process group, by which run.sh ends what may be left.
    """
    os.setpgid(0, 0)
    sys.exit(asyncio.run(_run(play, record)))


async def _run(
    play: Callable[[Fleet], Coroutine[Any, Any, int]], record: pathlib.Path
) -> int:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as scratch:
        fleet = Fleet(record, pathlib.Path(scratch))
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(fleet)
        except (TimeoutError, asyncio.CancelledError) as exc:
            fleet.note("not-run", reason=type(exc).__name__)
            return NOT_RUN
        finally:
            await fleet.close()
