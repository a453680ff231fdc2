"""Simulated network fabric, callers' sockets and upstreams.

For the demo, tests and benchmarks.
"""

import asyncio
from collections.abc import Callable
import random

from crocusmux.daemons import relay
from crocusmux.daemons import udp

FEED_PERIOD_S = 0.05


def test_pattern(size: int) -> bytes:
    """Returns fixed bytes that reveal a lost, repeated or moved part."""
    return random.Random(size).randbytes(size)


class Fabric:
    """Sends each datagram of a caller to a random balancer.

    All balancers see one address per caller, as with a real fabric, which
    preserves source addresses.

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
            targets: Returns the current addresses of the balancers.
            rng: Random numbers.
        """
        self._targets = targets
        self._rng = rng
        self._balancer_sockets: dict[tuple[str, int], udp.UdpSocket] = {}
        self._caller_socket = udp.UdpSocket(address, self._from_caller)
        self.address = self._caller_socket.address

    def close(self) -> None:
        """Closes all sockets."""
        self._caller_socket.close()
        for sock in self._balancer_sockets.values():
            sock.close()

    def _from_caller(self, datagram: bytes, caller: tuple[str, int]) -> None:
        sock = self._balancer_sockets.get(caller)
        if sock is None:
            sock = udp.UdpSocket(
                (self.address[0], 0),
                lambda reply, _: self._caller_socket.send(reply, caller),
            )
            self._balancer_sockets[caller] = sock
        targets = self._targets()
        if targets:
            sock.send(datagram, self._rng.choice(targets))


def open_socket(prefix: str, receive: Callable[[bytes], None]) -> udp.UdpSocket:
    """Returns a new UDP socket of a caller.

    Args:
        prefix: First three numbers of the loopback address.
        receive: Called with each received datagram.
    """
    return udp.UdpSocket((f"{prefix}.200", 0), lambda data, _: receive(data))


class DemoUpstream:
    """An upstream with its own service time, for TCP and UDP on one port.

    The first line is a command: ``FEED`` streams numbered lines until the caller
    closes, ``BOOK id`` replies after the service time, ``LOG`` replies with the
    number of bytes up to the end, ``SEND size`` with ``test_pattern(size)``, and
    ``HALF`` closes its sending side at once and reads on.

    Attributes:
        name: Name of the upstream.
        service_s: Time to serve one request, in seconds.
        address: ``(ip, port)`` on which it serves.
        runs: Number of runs of each booking, by id.
        feeds: Number of open feeds.
        read: Bytes read by ``HALF``.
        sent: Bytes written by the last ``SEND``.
        ends: End of each caller's connection: "whole" or "reset".
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
        """Stops immediately and resets open connections."""
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
            await self._respond(line.split(), reader, writer)
            self.ends.append("whole")
            writer.close()
        except asyncio.CancelledError:
            relay.reset_connection(writer)
        except (OSError, asyncio.IncompleteReadError):
            self.ends.append("reset")
            writer.close()
        finally:
            self._tasks.discard(task)

    async def _respond(
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
                await self._send(test_pattern(int(size)), writer)
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
        end_of_input = asyncio.ensure_future(reader.read())
        number = 0
        self.feeds += 1
        try:
            while not end_of_input.done():
                writer.write(f"{number} {self.name}\n".encode())
                await writer.drain()
                number += 1
                await asyncio.wait([end_of_input], timeout=FEED_PERIOD_S)
            end_of_input.result()  # raises if the connection was reset
        finally:
            self.feeds -= 1
            end_of_input.cancel()

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        for offset in range(0, len(data), relay.CHUNK_BYTES):
            writer.write(data[offset : offset + relay.CHUNK_BYTES])
            await writer.drain()
            self.sent = min(offset + relay.CHUNK_BYTES, len(data))

    def _on_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        assert self._socket is not None
        self._socket.send(b"%b by %b" % (datagram, self.name.encode()), sender)
