"""Stand-ins of the platform, and the product's daemons as processes.

Everything follows the users' pages: the store, the routers, consumers and
endpoints.  Only the standard library is used.  All addresses are loopback
addresses of one network that is chosen at random.
"""

import asyncio
from collections.abc import Awaitable, Callable
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
from typing import Any
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = struct.Struct(">III H 4s 4s H H I B B")
SYN, ACK, FIN, RST, BOUNCED = 2, 64, 16, 4, 32
HEARTBEAT_S = 1.2
DRAIN_MS = 3_000
STABLE_WINDOW_S = 4.0
GRACE_S = 6.0
# Distance of a reset's sequence number from the consumer's last ack.
RESET_WINDOW = 76_800
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S = 1.4

# Exit status of case.py if the rule was broken; run.sh turns it into 1, and the
# status of a failure of the case itself into 2.
BROKEN_STATUS = 10
HELD_STATUS = 0
CANNOT_RUN_STATUS = 2
# Stands for a part of an object's JSON that is written as it is.
PLACEHOLDER = "@placeholder@"

Address = tuple[str, int]


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Timeline of a case, also written to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns the seconds since the case began."""
        return time.monotonic() - self._began

    def note(self, what: str, **fields: Any) -> None:
        """Adds one line."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True)
class Packet:
    """A decoded packet."""

    src: Address
    dst: Address
    flags: int
    seq: int
    ack: int
    body: bytes
    raw: bytes


def decode(raw: bytes) -> Packet:
    """Decodes a packet."""
    fields = HEADER.unpack_from(raw)
    seq, ack, _, dport, dst, src, sport, _, _, flags, _ = fields
    return Packet(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags,
        seq,
        ack,
        raw[HEADER.size :],
        raw,
    )


def encode(
    src: Address, dst: Address, flags: int, seq: int, ack: int, body: bytes
) -> bytes:
    """Encodes a packet, with a checksum over all fields but echo and pad."""

    def pack(checksum: int) -> bytes:
        return HEADER.pack(
            seq % 2**32,
            ack % 2**32,
            checksum,
            dst[1],
            socket.inet_aton(dst[0]),
            socket.inet_aton(src[0]),
            src[1],
            len(body),
            0,
            flags,
            0,
        )

    return pack(zlib.crc32(pack(0) + body)) + body


def intact(packet: Packet) -> bool:
    """Returns True if the sender wrote the packet so."""
    flags = packet.flags & ~BOUNCED
    again = encode(
        packet.src, packet.dst, flags, packet.seq, packet.ack, packet.body
    )
    return again[8:12] == packet.raw[8:12]


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """See ``asyncio.DatagramProtocol``."""
        del addr
        self._receive(data)


async def open_udp(
    address: Address, receive: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Binds a UDP socket."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Protocol(receive), local_addr=address
    )
    return transport


async def http(
    method: str,
    address: Address,
    path: str,
    body: Any = None,
    limit_s: float = 1.0,
) -> int:
    """Makes an HTTP call; returns the status, or 0 without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        "Connection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head.encode() + data)
                line = await reader.readline()
            finally:
                writer.close()
        return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


class Store:
    """The platform's metadata store.

    Attributes:
        lose: Decides for each write whether its answer is lost: returns None
            to answer, or the seconds after which the write is done.
        placeholder: JSON text that the store holds in place of PLACEHOLDER.
        silent: True while the store answers no call; a connection on which an
            answer was lost returns nothing further.
    """

    def __init__(self, record: Record, address: Address) -> None:
        self.lose: Callable[[str, str, str], float | None] = (
            lambda method, kind, name: None
        )
        self.placeholder = "null"
        self.silent = False
        self.address = address
        self._record = record
        self._revision = 100
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to serve."""
        await asyncio.start_server(self._serve, *self.address)

    def names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        return sorted(name for k, name in self._objects if k == kind)

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object as the operator does."""
        await self._apply("POST", kind, name, {"spec": spec})
        await self._apply("PUT", kind, name, {"spec": spec})
        self._record.note("operator-wrote", kind=kind, name=name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_call(reader, writer):
                    pass
        finally:
            writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split()
        length = 0
        while (header := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = header.decode().partition(":")
            if name.lower() == "content-length":
                length = int(value)
        body = await reader.readexactly(length)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix("/crocusmux/objects/").partition(
            "/"
        )
        name = urllib.parse.unquote(name)
        if self.silent:
            self._record.note(
                "store-silent", method=method, kind=kind, query=url.query
            )
            await reader.read()
            return False
        if method == "GET":
            status, answer = await self._read(kind, name, query)
        else:
            content = json.loads(body) if body else {}
            name = name or content["meta"]["name"]
            delay_s = self.lose(method, kind, name)
            if delay_s is not None:
                self._lose(method, kind, name, content, delay_s)
                # The connection returns nothing further.
                await reader.read()
                return False
            status, answer = await self._apply(method, kind, name, content)
        text = json.dumps(answer)
        data = text.replace(f'"{PLACEHOLDER}"', self.placeholder).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        return True

    def _lose(
        self, method: str, kind: str, name: str, content: Any, delay_s: float
    ) -> None:
        async def run() -> None:
            await asyncio.sleep(delay_s)
            status, _ = await self._apply(method, kind, name, content)
            self._record.note(
                "store-ran-late-write",
                method=method,
                object=f"{kind}/{name}",
                status=status,
            )

        self._record.note(
            "store-lost-answer",
            method=method,
            object=f"{kind}/{name}",
            runs_after_s=delay_s,
        )
        task = asyncio.create_task(run())
        self._tasks.add(task)

    async def _read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        if name:
            item = self._objects.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in query:
            return 200, await self._watch(
                kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000
            )
        names = [x for x in self.names(kind) if x > query.get("after", "")]
        return 200, {
            "items": [self._objects[kind, x] for x in names[:500]],
            "more": len(names) > 500,
            "current_rev": self._revision,
        }

    async def _watch(self, kind: str, since: int, wait_s: float) -> Any:
        def events() -> list[dict[str, Any]]:
            return [
                e for rev, k, e in self._history if k == kind and rev > since
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(events)
        return {"events": events(), "current_rev": self._revision}

    async def _apply(
        self, method: str, kind: str, name: str, content: Any
    ) -> tuple[int, Any]:
        known = self._objects.get((kind, name))
        if method == "POST" and known:
            return 409, known
        if method in ("PUT", "DELETE") and not known:
            return 404, {}
        expected = content.get("meta", {}).get("rev")
        if known and expected and expected != known["meta"]["rev"]:
            return 409, known
        if method == "PUT" and known and known["spec"] == content.get("spec"):
            return 200, known
        self._revision += 1
        meta = {
            "name": name,
            "rev": self._revision,
            "created": known["meta"]["created"] if known else self._revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"meta": meta, "spec": content.get("spec"), "status": None}
        if method == "DELETE":
            del self._objects[kind, name]
            item["spec"] = known["spec"] if known else None
        else:
            self._objects[kind, name] = item
        event = {"object": item, "deleted": method == "DELETE"}
        self._history.append((self._revision, kind, event))
        self._record.note("store-write", method=method, object=f"{kind}/{name}")
        async with self._changed:
            self._changed.notify_all()
        return 200, item


class Network:
    """Addresses and ports of one case."""

    def __init__(self) -> None:
        # Daemons serve metrics on a fixed port, so cases that run at the same
        # time need different addresses.
        self._net = random.randrange(20, 250)
        self._first_group = random.randrange(0, 240, 10)
        self.ports = self._free_ports(7)
        names = [
            "data",
            "readiness",
            "control",
            "outbound",
            "app",
            "message",
            "store",
        ]
        self.port = dict(zip(names, self.ports, strict=True))

    def ip(self, group: int, number: int) -> str:
        """Returns the address of a machine, consumer or route."""
        return f"127.{self._net}.{self._first_group + group}.{number}"

    def _free_ports(self, count: int) -> list[int]:
        ports: list[int] = []
        while len(ports) < count:
            port = random.randrange(20_000, 30_000)
            if port not in ports and self._is_free(port):
                ports.append(port)
        return ports

    def _is_free(self, port: int) -> bool:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((self.ip(1, 1), port))
                except OSError:
                    return False
        return True


class Machine:
    """A machine of the system with one daemon, run as the deploy file says."""

    def __init__(
        self,
        case: "Case",
        role: str,
        number: int,
        service: str,
        ip: str = "",
        first: bool = True,
    ) -> None:
        """Describes a machine.

        Args:
            case: The case.
            role: Role in the deploy file.
            number: Last part of the machine's name.
            service: Service of the endpoint beside an agent.
            ip: The machine's address; its own one by default.
            first: True if the whole system starts for the first time.
        """
        self.case = case
        self.role = role
        self.service = service
        self.name = f"{'edge' if role == 'balancer' else 'side'}-abay-{number}"
        self.ip = ip or case.net.ip(1 if role == "balancer" else 2, number)
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[int] = []
        self._restart = False
        self._first = first
        self._watcher: asyncio.Task[None] | None = None

    def at(self, port: str) -> Address:
        """Returns the machine's address with a port by name."""
        return self.ip, self.case.net.port[port]

    def _settings(self) -> dict[str, Any]:
        def text(port: str) -> str:
            return "{}:{}".format(*self.at(port))

        edge = self.role == "balancer"
        listen = {x: text(x) for x in ("readiness", "control")}
        listen["data_addr"] = text("data")
        if not edge:
            listen["outbound"] = text("outbound")
        port = self.case.net.port
        seeds = [f"{x.ip}:{port['control']}" for x in self.case.balancers[:3]]
        settings: dict[str, Any] = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "edge" if edge else "side",
            "serves": ["edge", "control"] if edge else ["side"],
            "ip": self.ip,
            "zone": "abay",
            "region": "shymkent",
            "zones": {"abay": "shymkent"},
            "listen": listen,
            "port_range": [port["message"], port["message"] + 15],
            "seeds": seeds,
            "bootstrap": self._first,
            "heartbeat_ms": HEARTBEAT_S * 1000,
            "bounds": {
                "stable_window_ms": 4000,
                "ack_ms": 5000,
                "drain_ms": DRAIN_MS,
                "grace_s": GRACE_S,
                "config_apply_ms": 3000,
                "rollback_slack_ms": 250,
                "recovery_s": 12,
                "reorder_ms": 2000,
                "flow_ttl_s": 60,
            },
            "hash": "mod",
            "deploy_mode": "agent",
            "platform": {
                "address": "{}:{}".format(*self.case.store.address),
                "deploy_mode": "objects",
            },
        }
        if not edge:
            settings |= {"service": self.service, "app": text("app")}
        return settings

    async def start(self) -> None:
        """Starts the daemon; it is started again whenever it ends."""
        path = self.case.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings()), encoding="utf-8")
        self._first = False
        keep = ("PATH", "HOME", "LANG")
        env = {x: os.environ[x] for x in keep if x in os.environ}
        env["CROCUSMUX_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.case.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "crocusmux.platform",
            self.role,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.case.record.note("started", machine=self.name)
        self._restart = True
        self._watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        self.ends.append(status)
        self.case.record.note("ended", machine=self.name, status=status)
        if self._restart:
            await asyncio.sleep(0.5)
            await self.start()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the daemon."""
        assert self.process is not None
        self.case.record.note("signal", machine=self.name, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def terminate(self, again: bool = True) -> None:
        """Stops the daemon as planned work does, and starts it again."""
        process = self.process
        assert process is not None
        self._restart = again
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)

    async def kill(self) -> None:
        """Ends the daemon at the end of the case."""
        self._restart = False
        if self._watcher is not None:
            self._watcher.cancel()
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Endpoint:
    """A boot of an endpoint beside an agent.

    Attributes:
        taken: Opening packets by flow: time of arrival and the packet.
        runs: Requests that ran: time and body.
        held: Open flows.
        resets: Flows that this endpoint reset.
    """

    def __init__(self, machine: Machine, born: int | None = None) -> None:
        self.machine = machine
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = born or int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.acks: list[tuple[float, str]] = []
        self.taken: list[tuple[float, Packet]] = []
        self.runs: list[tuple[float, bytes]] = []
        self.held: dict[tuple[Address, Address], int] = {}
        self.resets: set[tuple[Address, Address]] = set()
        self.concurrency = 4
        self._half_open: dict[tuple[Address, Address], int] = {}
        self._record = machine.case.record
        self._socket: asyncio.DatagramTransport | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to serve and to send status reports."""
        self._socket = await open_udp(self.machine.at("app"), self._receive)
        self._record.note("endpoint-started", id=self.id, on=self.machine.name)
        self._beats = asyncio.create_task(self._beat_forever())

    def crash(self) -> None:
        """Ends without a word."""
        self._record.note("endpoint-crashed", id=self.id)
        if self._beats is not None:
            self._beats.cancel()
        if self._socket is not None:
            self._socket.close()

    def report(self) -> dict[str, Any]:
        """Returns the next status report."""
        self.sequence += 1
        return {
            "service": self.machine.service,
            "address": "{}:{}".format(*self.machine.at("app")),
            "zone": "abay",
            "version": "v1",
            "max_concurrency": self.concurrency,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def deliver(self, report: dict[str, Any]) -> int:
        """Sends a status report to the agent; returns the status."""
        path = f"/crocusmux/endpoints/{self.id}/heartbeat"
        status = await http("POST", self.machine.at("control"), path, report)
        self._record.note(
            "status-report",
            id=self.id,
            state=report["state"],
            sequence=report["sequence"],
            status=status,
        )
        return status

    async def beat(self) -> int:
        """Sends one status report now."""
        state = self.state
        status = await self.deliver(self.report())
        if 200 <= status < 300:
            self.acks.append((self._record.now(), state))
        return status

    async def _beat_forever(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def _send(self, packet: bytes) -> None:
        assert self._socket is not None
        self._socket.sendto(packet, self.machine.at("outbound"))

    def _receive(self, raw: bytes) -> None:
        packet = decode(raw)
        key = packet.src, packet.dst
        if not intact(packet):
            self._record.note("FORGED-at-endpoint", id=self.id, flow=key)
        if packet.flags & SYN:
            self._on_syn(key, packet)
        elif key in self.held or packet.ack == self._half_open.get(key, -1) + 1:
            self._on_flow(key, packet)
        else:
            self._record.note("bounced", id=self.id, flow=key)
            flags = packet.flags | BOUNCED
            self._send(raw[:30] + bytes([flags, 0]) + raw[32:])

    def _on_syn(self, key: tuple[Address, Address], packet: Packet) -> None:
        if key in self.held:
            return
        isn = self._half_open.setdefault(key, random.randrange(2**20, 2**31))
        self.taken.append((self._record.now(), packet))
        self._record.note(
            "endpoint-took-opening",
            id=self.id,
            service=self.machine.service,
            flow=key,
            copy=packet.ack,
        )
        self._send(encode(key[1], key[0], SYN | ACK, isn, packet.seq + 1, b""))

    def _on_flow(self, key: tuple[Address, Address], packet: Packet) -> None:
        if key not in self.held:
            self.held[key] = self._half_open[key] + 1
            self._record.note("flow-open", id=self.id, flow=key)
        if packet.flags & (FIN | RST):
            del self.held[key]
            if packet.flags & FIN:
                self._send(
                    encode(
                        key[1],
                        key[0],
                        FIN | ACK,
                        packet.ack,
                        packet.seq + len(packet.body) + 1,
                        b"",
                    )
                )
            return
        if not packet.body:
            return
        self.runs.append((self._record.now(), packet.body))
        request = packet.body.decode().split("Request-Id: ")[1].split()[0]
        self._record.note(
            "ran", id=self.id, service=self.machine.service, request=request
        )
        text = f"HTTP/1.1 200 OK\r\nEndpoint-Signature: {self.id} {request}"
        body = f"{text}\r\nContent-Length: 0\r\n\r\n".encode()
        self._send(
            encode(
                key[1],
                key[0],
                ACK,
                packet.ack,
                packet.seq + len(packet.body),
                body,
            )
        )


class Router:
    """The platform's routers: a hash over the daemons in rotation."""

    def __init__(self, case: "Case") -> None:
        self._case = case
        self._misses: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to check the readiness of all balancers."""
        self._task = asyncio.create_task(self._check_forever())

    async def _check_forever(self) -> None:
        while True:
            for machine in list(self._case.balancers):
                status = await http(
                    "GET",
                    machine.at("readiness"),
                    "/crocusmux/ready",
                    limit_s=0.4,
                )
                misses = (
                    0
                    if status == 200
                    else self._misses.get(machine.name, 2) + 1
                )
                before = self._misses.get(machine.name, 2) < 2
                self._misses[machine.name] = misses
                if before != (misses < 2):
                    self._case.record.note(
                        "rotation", machine=machine.name, ready=misses < 2
                    )
            await asyncio.sleep(0.5)

    def rotation(self) -> list[Machine]:
        """Returns the balancers that get packets."""
        known = self._case.balancers
        ready = [x for x in known if self._misses.get(x.name, 2) < 2]
        return ready if 2 * len(ready) >= len(known) else list(known)

    @staticmethod
    def index(src: Address, dst: Address, count: int) -> int:
        """Returns which of some daemons gets the packets of a flow."""
        return zlib.crc32(repr((src, dst)).encode()) % count

    def pick(self, src: Address, dst: Address) -> Machine:
        """Returns the balancer that gets a packet of a flow now."""
        ready = self.rotation()
        return ready[self.index(src, dst, len(ready))]


class Flow:
    """A consumer's flow.

    Attributes:
        resets: Resets that the consumer got, as time and packet.
        answers: Answers by request id.
    """

    def __init__(self, client: "Client", port: int, route: Address) -> None:
        self.client = client
        self.src = (client.ip, port)
        self.route = route
        self.resets: list[tuple[float, Packet]] = []
        self.answers: dict[str, bytes] = {}
        self.open = False
        self.next_seq = random.randrange(2**20, 2**31)
        self.ack = 0
        self._changed = asyncio.Event()

    async def connect(self) -> bool:
        """Opens the flow; returns False if the attempt ends."""
        began = time.monotonic()
        for number, at_s in enumerate(SYN_COPIES_S):
            await self._wait(began + at_s)
            if self.open or self.resets:
                break
            self._send(SYN, self.next_seq, number, b"")
        await self._wait(began + SYN_TIMEOUT_S)
        return self.open

    async def _wait(self, until: float) -> None:
        while not self.open and not self.resets:
            left = until - time.monotonic()
            if left <= 0:
                return
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    async def request(self, name: str, budget_s: float = 5.0) -> str:
        """Sends a request; returns "answer", "reset" or "none"."""
        body = f"GET /{name} HTTP/1.1\r\nRequest-Id: {name}\r\n\r\n".encode()
        self.client.record.note("consumer-sent-request", id=name, flow=self.src)
        seq, resets = self.next_seq, len(self.resets)
        self.next_seq += len(body)
        deadline = time.monotonic() + budget_s
        for pause_s in RETRANSMIT_S:
            self._send(ACK, seq, self.ack, body)
            until = min(deadline, time.monotonic() + pause_s)
            while time.monotonic() < until:
                if name in self.answers:
                    self.client.record.note("consumer-got-answer", id=name)
                    return "answer"
                if len(self.resets) > resets:
                    return "reset"
                self._changed.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait(), until - time.monotonic()
                    )
        self.client.record.note("consumer-gave-up", id=name)
        return "none"

    def _send(self, flags: int, seq: int, ack: int, body: bytes) -> None:
        self.client.send(encode(self.src, self.route, flags, seq, ack, body))

    def receive(self, packet: Packet) -> None:
        """Takes a packet from the network."""
        self._changed.set()
        if packet.flags & RST:
            off = (packet.seq - self.ack + 2**31) % 2**32 - 2**31
            valid = not self.open or abs(off) <= RESET_WINDOW
            self.client.record.note(
                "consumer-got-reset", flow=self.src, open=self.open, valid=valid
            )
            if valid:
                self.resets.append((self.client.record.now(), packet))
            return
        if not intact(packet):
            self.client.record.note("FORGED-at-consumer", flow=self.src)
            return
        if packet.flags & SYN:
            if not self.open:
                self.open = True
                self.next_seq += 1
                self.ack = packet.seq + 1
                self._send(ACK, self.next_seq, self.ack, b"")
            return
        if packet.body:
            self.ack = packet.seq + len(packet.body)
            text = packet.body.decode()
            name = text.split("Endpoint-Signature: ")[1].split()[1]
            self.answers[name] = packet.body
            self._send(ACK, self.next_seq, self.ack, b"")


class Client:
    """A consumer's machine."""

    def __init__(self, case: "Case") -> None:
        self.ip = case.net.ip(9, 1)
        self.record = case.record
        self._case = case
        self._flows: dict[tuple[Address, Address], Flow] = {}
        self._socket: asyncio.DatagramTransport | None = None
        self._next_port = 40_000

    async def start(self) -> None:
        """Binds the consumer's address."""
        address = (self.ip, self._case.net.port["data"])
        self._socket = await open_udp(address, self._receive)

    def flow(
        self, route: Address, choose: Callable[[Address], bool] | None = None
    ) -> Flow:
        """Returns a new flow from a new port.

        Args:
            route: The route's address and port.
            choose: Returns True for the source address to take; the first one
                by default.
        """
        self._next_port += 1
        while choose is not None and not choose((self.ip, self._next_port)):
            self._next_port += 1
        flow = Flow(self, self._next_port, route)
        self._flows[flow.src, route] = flow
        return flow

    def send(self, raw: bytes) -> None:
        """Sends a packet through the balancer that the routers pick."""
        assert self._socket is not None
        packet = decode(raw)
        machine = self._case.router.pick(packet.src, packet.dst)
        self._socket.sendto(raw, machine.at("data"))

    def _receive(self, raw: bytes) -> None:
        packet = decode(raw)
        flow = self._flows.get((packet.dst, packet.src))
        if flow is None:
            self.record.note("FOREIGN-packet-at-consumer", to=packet.dst)
            return
        flow.receive(packet)


class Case:
    """A small deployment in one failure domain.

    Attributes:
        trouble: False if the case runs without its disruption.
    """

    def __init__(self, folder: pathlib.Path, temporary: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = temporary
        self.record = Record(folder)
        self.net = Network()
        self.store = Store(
            self.record, (self.net.ip(3, 1), self.net.port["store"])
        )
        self.router = Router(self)
        self.client = Client(self)
        self.balancers: list[Machine] = []
        self.agents: list[Machine] = []
        self.endpoints: list[Endpoint] = []
        self.record.note("trouble", on=self.trouble)

    def route(self, number: int = 1) -> Address:
        """Returns the address and port of a route."""
        return self.net.ip(8, number), 8443

    def desired_state(
        self,
        version: int,
        services: dict[int, str],
        idle_ms: int = 15_000,
        split: dict[str, int] | None = None,
    ) -> dict[str, Any]:
        """Returns a desired state.

        Args:
            version: Its version.
            services: Service of each route, by the route's number.
            idle_ms: Idle timeout of flows.
            split: Weights of the services of route 1, if it has several.
        """
        state = self._desired_state(version, services, idle_ms)
        if split:
            route = state["routes"][0]
            del route["service"]
            route["traffic_split"] = [
                {"service": name, "weight": weight}
                for name, weight in split.items()
            ]
        return state

    def _desired_state(
        self, version: int, services: dict[int, str], idle_ms: int
    ) -> dict[str, Any]:
        return {
            "version": version,
            "routes": [
                {
                    "name": f"r-{number}",
                    "hostname": self.route(number)[0],
                    "path_prefix": f"/{self.route(number)[1]}/",
                    "type": "idempotent",
                    "timeout_ms": 1500,
                    "target_latency_ms": 150,
                    "priority": 2,
                    "service": service,
                    "attempts": 2,
                }
                for number, service in services.items()
            ],
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in sorted(set(services.values()))
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": idle_ms,
            },
        }

    async def start(
        self, state: dict[str, Any], balancers: int, services: dict[int, str]
    ) -> None:
        """Starts the deployment and waits until all balancers are ready.

        Args:
            state: The first desired state.
            balancers: Number of balancers.
            services: Service of each endpoint, by its machine's number.
        """
        await self.store.start()
        await self.store.put("config", "main", state)
        self.balancers = [
            Machine(self, "balancer", n + 1, "") for n in range(balancers)
        ]
        self.agents = [
            Machine(self, "agent", n, x) for n, x in services.items()
        ]
        for machine in self.balancers + self.agents:
            await machine.start()
        await self.router.start()
        await self.client.start()
        for machine in self.agents:
            await self.start_endpoint(machine)
        await self.until(self._all_ready, 15)
        # Two report intervals, so that every balancer knows every endpoint.
        await asyncio.sleep(2.0)

    async def start_endpoint(self, machine: Machine) -> Endpoint:
        """Starts an endpoint once the agent on its machine answers."""
        await self.until(lambda: self._serves(machine), 10)
        endpoint = Endpoint(machine)
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    async def _serves(self, machine: Machine) -> bool:
        status = await http("GET", machine.at("control"), "/crocusmux/ready")
        return status == 200

    async def _all_ready(self) -> bool:
        return len(self.router.rotation()) == len(self.balancers) and all(
            [await self._serves_ready(x) for x in self.balancers]
        )

    async def _serves_ready(self, machine: Machine) -> bool:
        address = machine.at("readiness")
        return await http("GET", address, "/crocusmux/ready") == 200

    async def in_rotation(self, machine: Machine) -> bool:
        """Returns True if a balancer is up and in rotation."""
        ready = await self._serves_ready(machine)
        return ready and machine in self.router.rotation()

    async def until(
        self, condition: Callable[[], Awaitable[bool]], limit_s: float
    ) -> None:
        """Waits for a condition.

        Raises:
            CannotRunError: It does not hold in time.
        """
        deadline = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > deadline:
                raise CannotRunError("the deployment does not start")
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Ends all processes and tasks that the case started."""
        for machine in self.balancers + self.agents:
            await machine.kill()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def flows_reset(case: Case, flow: Flow) -> int:
    """Returns how many resets of an open flow its endpoint did not send."""
    key = flow.src, flow.route
    if any(key in endpoint.resets for endpoint in case.endpoints):
        return 0
    return len(flow.resets) if flow.open else 0


def main(
    file: str, play: Callable[[Case], Awaitable[bool]], limit_s: float = 110
) -> None:
    """Plays a case, and ends the process with one of the statuses above.

    Args:
        file: Path of the script of the case.
        play: Plays the case; returns True if the rule was broken.
        limit_s: Longest run, seconds.
    """

    async def run(temporary: pathlib.Path) -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        case = Case(pathlib.Path(file).resolve().parent, temporary)
        try:
            async with asyncio.timeout(limit_s):
                broken = await play(case)
        except (CannotRunError, TimeoutError, OSError) as exc:
            case.record.note("cannot-run", reason=repr(exc))
            for path in sorted(temporary.glob("*.log")):
                tail = path.read_text(encoding="utf-8")[-600:]
                case.record.note("log", of=path.name, tail=tail)
            return CANNOT_RUN_STATUS
        finally:
            await case.stop()
        case.record.note("outcome", broken=broken)
        return BROKEN_STATUS if broken else HELD_STATUS

    with tempfile.TemporaryDirectory() as name:
        status = asyncio.run(run(pathlib.Path(name)))
    sys.exit(status)
