"""UDP sockets on the event loop."""

from collections.abc import Callable
import socket

from tornado import ioloop

from crocusmux import errors

# Datagrams read in one turn of the event loop, so that timers run on time.
MAX_DATAGRAMS_PER_READ = 64
MAX_DATAGRAM_BYTES = 65_536
# Must hold a burst of packets while a batch is processed.
RECEIVE_BUFFER_BYTES = 4 << 20

Receiver = Callable[[bytes, tuple[str, int]], None]


class UdpSocket:
    """A bound UDP socket that passes each datagram to a function.

    Attributes:
        address: Local ``(ip, port)``.
        dropped: Number of datagrams that could not be sent.
        peer: Destination of a socket that its user dedicates to one peer.
    """

    __slots__ = (
        "_loop",
        "_receive",
        "_sendto",
        "_sock",
        "address",
        "dropped",
        "peer",
    )

    def __init__(self, address: tuple[str, int], receive: Receiver) -> None:
        """Binds the socket.

        Args:
            address: ``(ip, port)``; port 0 selects a free port.
            receive: Called with each datagram and its sender.

        Raises:
            errors.CrocusmuxError: The address cannot be bound.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            self._sock.bind(address)
        except OSError as exc:
            self._sock.close()
            raise errors.CrocusmuxError(
                str(exc), step="bind UDP socket", peer=f"{address}"
            ) from exc
        self.address: tuple[str, int] = self._sock.getsockname()[:2]
        self.dropped = 0
        self.peer: tuple[str, int] = ("", 0)
        self._receive = receive
        self._sendto = self._sock.sendto
        self._loop = ioloop.IOLoop.current()
        self._loop.add_handler(
            self._sock.fileno(), self._on_readable, ioloop.IOLoop.READ
        )

    def send(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Sends a datagram; drops it if the buffer is full or ``to`` is bad."""
        try:
            self._sendto(datagram, to)
        except (OSError, OverflowError):
            self.dropped += 1

    def close(self) -> None:
        """Closes the socket."""
        if self._sock.fileno() >= 0:
            self._loop.remove_handler(self._sock.fileno())
            self._sock.close()

    def _on_readable(self, fd: int, events: int) -> None:
        del fd, events
        receive, recvfrom = self._receive, self._sock.recvfrom
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                datagram, sender = recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # No datagram is left, or an earlier send got an ICMP error.
                return
            receive(datagram, sender)
