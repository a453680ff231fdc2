"""Asynchronous I/O around the state machine of a resumable stream.

Shared by the caller's library (``client.flow``) and the holder's session
(``daemons.resumable``), which establish the connections.
"""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import socket
import struct

from crocusmux import errors
from crocusmux import frames
from crocusmux.core.flows import resumable_stream

# Silence after which the kernel closes a connection, in seconds.
KEEPALIVE_TIMEOUT_S = 60
# Time to flush written data before a closed connection is aborted.
CLOSE_TIMEOUT_S = 5.0

Receive = Callable[[], Awaitable[bytes | str | None]]
Send = Callable[[bytes], Awaitable[None]]


class AwaitableStream:
    """A resumable stream whose changes can be awaited on the loop.

    Attributes:
        state: The state machine; call ``wake`` after changing it.
    """

    __slots__ = ("_change_futures", "state")

    def __init__(self, state: resumable_stream.ResumableStream) -> None:
        self.state = state
        self._change_futures: list[asyncio.Future[None]] = []

    def wake(self) -> None:
        """Wakes all coroutines that wait in ``changed``."""
        futures, self._change_futures = self._change_futures, []
        for future in futures:
            if not future.done():
                future.set_result(None)

    async def changed(self) -> None:
        """Waits for the next call of ``wake``."""
        future = asyncio.get_running_loop().create_future()
        self._change_futures.append(future)
        await future

    async def read(self, limit: int) -> bytes:
        """Returns up to ``limit`` received bytes, waiting for at least one.

        Returns no bytes at the end of the peer's direction, and after all
        received bytes if the flow has an outcome; see ``state.outcome``.
        """
        state = self.state
        while not state.readable_bytes():
            if state.at_eof() or state.outcome:
                return b""
            await self.changed()
        data = state.read(limit)
        self.wake()
        return data

    async def write(self, data: bytes) -> None:
        """Writes all bytes, waiting for buffer space.

        Raises:
            errors.FlowError: The flow has ended or its end was written.
        """
        rest = memoryview(data)
        while True:
            size = self.state.write(rest)
            if size:
                rest = rest[size:]
                self.wake()
            if not rest:
                return
            await self.changed()

    async def run_link(self, receive: Receive, send: Send, peer: str) -> None:
        """Runs the stream over one connection until either of them ends.

        Args:
            receive: Returns the next message, or None at the end.
            send: Sends a message, waiting while the write buffer is full.
            peer: Address of the peer, for error messages.

        Raises:
            errors.WireError: The peer broke the protocol.
            Exception: Any exception of ``receive`` or ``send``.
        """
        link = self.state.new_connection()
        tasks = [
            asyncio.create_task(self._receive_frames(link, receive, peer)),
            asyncio.create_task(self._send_frames(link, send)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                if task.done():
                    task.result()
        finally:
            self.state.remove_connection(link)
            self.wake()
            await cancel_and_wait(*tasks)

    async def _receive_frames(
        self,
        link: resumable_stream.Connection,
        receive: Receive,
        peer: str,
    ) -> None:
        while (data := await receive()) is not None:
            try:
                self.state.on_frame(link, frames.decode(data, peer))
            except errors.WireError as exc:
                exc.peer = peer
                raise
            self.wake()

    async def _send_frames(
        self, link: resumable_stream.Connection, send: Send
    ) -> None:
        while not self.state.is_done(link):
            frame = self.state.next_frame(link)
            if frame is None:
                await self.changed()
            else:
                await send(frames.encode(frame))


async def cancel_and_wait(*tasks: asyncio.Task) -> None:
    """Cancels tasks and waits until they have ended, ignoring errors."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task


async def read_frame(reader: asyncio.StreamReader, peer: str) -> bytes | None:
    """Returns the next frame of a relay connection, or None at its end.

    Raises:
        errors.WireError: The frame is too large.
        OSError: The connection broke.
    """
    try:
        prefix = await reader.readexactly(frames.LENGTH_BYTES)
        return await reader.readexactly(frames.read_length(prefix, peer))
    except asyncio.IncompleteReadError:
        return None


async def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes a frame to a relay connection, waiting for buffer space."""
    writer.write(frames.add_length_prefix(data))
    await writer.drain()


def close_after_flush(writer: asyncio.StreamWriter) -> None:
    """Closes a connection after a flush of at most ``CLOSE_TIMEOUT_S``.

    Without the limit, a peer that does not read would keep it open forever.
    """
    writer.close()
    loop = asyncio.get_running_loop()
    loop.call_later(CLOSE_TIMEOUT_S, writer.transport.abort)


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Makes the kernel close a connection whose peer host has vanished.

    Without it a relay connection from a vanished balancer would stay open
    forever, and a flow whose caller vanished too would never end.
    """
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_KEEPIDLE", KEEPALIVE_TIMEOUT_S // 2),
        ("TCP_KEEPINTVL", KEEPALIVE_TIMEOUT_S // 6),
        ("TCP_KEEPCNT", 3),
        ("TCP_USER_TIMEOUT", KEEPALIVE_TIMEOUT_S * 1000),
    ):
        if hasattr(socket, name):  # not on every system
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def abort_with_reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def format_peer(writer: asyncio.StreamWriter) -> str:
    """Returns ``ip:port`` of the peer of a connection."""
    peer = writer.get_extra_info("peername")
    return f"{peer[0]}:{peer[1]}" if peer else "-"
