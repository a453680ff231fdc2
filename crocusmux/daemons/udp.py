"""UDP sockets on the loop."""

from collections.abc import Callable
import socket

from tornado import ioloop

from crocusmux import errors

# Datagrams read in one turn of the loop, so that timers are not held up.
MAX_DATAGRAMS_PER_READ = 64
MAX_DATAGRAM_BYTES = 65_536
# A burst of sprayed packets must fit while one batch is handled.
RECEIVE_BUFFER_BYTES = 4 << 20

Receiver = Callable[[bytes, tuple[str, int]], None]


class UdpSocket:
    """A bound UDP socket that hands each datagram to a function.

    Attributes:
        address: ``(ip, port)`` it is bound to.
        dropped: Datagrams that could not be sent.
        peer: The one address that datagrams go to, where there is one.
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
            address: ``(ip, port)``; port 0 takes a free one.
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
        """Sends a datagram; a full buffer or an unreachable peer drops it."""
        try:
            self._sendto(datagram, to)
        except OSError:
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
                # Nothing left, or an ICMP error of an earlier send.
                return
            receive(datagram, sender)
