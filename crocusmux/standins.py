"""Small stand-ins of what surrounds crocusmux, for the demo and tests.

The fabric sprays datagrams over the balancers; upstreams serve feeds,
bookings and uploads at uneven speed.
"""

import asyncio
from collections.abc import Callable
import random

from crocusmux.daemons import relay
from crocusmux.daemons import udp

FEED_PERIOD_S = 0.05


def pattern(size: int) -> bytes:
    """Returns bytes in which a lost, repeated or moved part is seen."""
    return random.Random(size).randbytes(size)


class Fabric:
    """Sprays the datagrams of callers at random over balancers.

    Each caller is seen by all balancers under one address of the fabric, as
    with a real fabric, which changes no addresses.

    Attributes:
        address: ``(ip, port)`` that callers send to.
    """

    def __init__(
        self,
        address: tuple[str, int],
        targets: Callable[[], list[tuple[str, int]]],
        rng: random.Random,
    ) -> None:
        """Binds the fabric's address.

        Args:
            address: ``(ip, port)`` that callers send to.
            targets: Returns the balancers to spray over now.
            rng: Random numbers.
        """
        self._targets = targets
        self._rng = rng
        self._ports: dict[tuple[str, int], udp.UdpSocket] = {}
        self._front = udp.UdpSocket(address, self._from_caller)
        self.address = self._front.address

    def close(self) -> None:
        """Closes all sockets."""
        self._front.close()
        for port in self._ports.values():
            port.close()

    def _from_caller(self, datagram: bytes, caller: tuple[str, int]) -> None:
        port = self._ports.get(caller)
        if port is None:
            port = udp.UdpSocket(
                (self.address[0], 0),
                lambda reply, _: self._front.send(reply, caller),
            )
            self._ports[caller] = port
        targets = self._targets()
        if targets:
            port.send(datagram, self._rng.choice(targets))


def open_socket(prefix: str, receive: Callable[[bytes], None]) -> udp.UdpSocket:
    """Returns a caller's UDP socket.

    Args:
        prefix: First three numbers of the loopback addresses.
        receive: Called with each datagram.
    """
    return udp.UdpSocket((f"{prefix}.200", 0), lambda data, _: receive(data))


class DemoUpstream:
    """An upstream with its own speed, over TCP and UDP on one port.

    It understands one line: ``FEED`` streams numbered lines until the caller
    ends, ``BOOK id`` answers once after the service time, ``LOG`` reads to
    the end and answers with the number of bytes, ``SEND size`` answers with
    ``pattern(size)``, and ``HALF`` ends its answer at once and reads on.

    Attributes:
        name: Name of the upstream.
        service_s: Time to serve one request, seconds.
        address: ``(ip, port)``.
        runs: How often each booking ran, by id.
        feeds: Feeds open now.
        read: Bytes read by ``HALF``.
        sent: Bytes written by ``SEND``.
        ends: How connections of callers ended: "whole" or "reset".
    """

    def __init__(self, name: str, ip: str, service_s: float) -> None:
        self.name = name
        self.service_s = service_s
        self.runs: dict[str, int] = {}
        self.feeds = 0
        self.read = 0
        self.sent = 0
        self.ends: list[str] = []
        self.address = (ip, 0)
        self._server: asyncio.Server | None = None
        self._socket: udp.UdpSocket | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._socket = udp.UdpSocket(self.address, self._on_datagram)

    def close(self) -> None:
        """Stops at once; open connections are reset."""
        if self._server is not None:
            self._server.close()
        if self._socket is not None:
            self._socket.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            line = (await reader.readline()).decode("ascii", "replace")
            await self._answer(line.split(), reader, writer)
            self.ends.append("whole")
            writer.close()
        except asyncio.CancelledError:
            relay.reset_connection(writer)
        except (OSError, asyncio.IncompleteReadError):
            self.ends.append("reset")
            writer.close()
        finally:
            self._tasks.discard(task)

    async def _answer(
        self,
        words: list[str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        match words:
            case ["FEED", *_]:
                await self._feed(reader, writer)
            case ["BOOK", number]:
                self.runs[number] = self.runs.get(number, 0) + 1
                await asyncio.sleep(self.service_s)
                writer.write(f"BOOKED {number} by {self.name}\n".encode())
                await writer.drain()
            case ["LOG", *_]:
                size = 0
                while data := await reader.read(relay.CHUNK_BYTES):
                    size += len(data)
                await asyncio.sleep(self.service_s)
                writer.write(f"LOGGED {size}\n".encode())
                await writer.drain()
            case ["SEND", size]:
                await self._send(pattern(int(size)), writer)
            case ["HALF"]:
                writer.write_eof()
                while data := await reader.read(relay.CHUNK_BYTES):
                    self.read += len(data)
            case _:
                writer.write(b"ERROR unknown command\n")
                await writer.drain()

    async def _feed(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ended = asyncio.ensure_future(reader.read())
        number = 0
        self.feeds += 1
        try:
            while not ended.done():
                writer.write(f"{number} {self.name}\n".encode())
                await writer.drain()
                number += 1
                await asyncio.wait([ended], timeout=FEED_PERIOD_S)
            ended.result()  # raises if the caller reset the connection
        finally:
            self.feeds -= 1
            ended.cancel()

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        for at in range(0, len(data), relay.CHUNK_BYTES):
            writer.write(data[at : at + relay.CHUNK_BYTES])
            await writer.drain()
            self.sent = min(at + relay.CHUNK_BYTES, len(data))

    def _on_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        assert self._socket is not None
        self._socket.send(b"%b by %b" % (datagram, self.name.encode()), sender)
