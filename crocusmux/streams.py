"""Waiting around a resumable stream: reads, writes and its connections.

The caller's library and the holder's session share this; they differ in how
they get connections and in what they join the stream to.
"""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import socket
import struct

from crocusmux import errors
from crocusmux import frames
from crocusmux.core.flows import resumable_stream

# After so many seconds without a sign of life a host counts as vanished.
LOSS_S = 60
# Time to send what was written before a connection is closed.
CLOSE_TIMEOUT_S = 5.0

Receive = Callable[[], Awaitable[bytes | str | None]]
Send = Callable[[bytes], Awaitable[None]]


class AwaitableStream:
    """A resumable stream whose changes can be awaited on the loop.

    Attributes:
        stream: The state machine; call ``wake`` after changing it.
    """

    __slots__ = ("_futs", "stream")

    def __init__(self, stream: resumable_stream.ResumableStream) -> None:
        self.stream = stream
        self._futs: list[asyncio.Future[None]] = []

    def wake(self) -> None:
        """Lets everybody that waits for a change look again."""
        futs, self._futs = self._futs, []
        for fut in futs:
            if not fut.done():
                fut.set_result(None)

    async def changed(self) -> None:
        """Waits for the next change."""
        fut = asyncio.get_running_loop().create_future()
        self._futs.append(fut)
        await fut

    async def read(self, limit: int) -> bytes:
        """Waits for bytes; returns none at the end of the peer's direction.

        After an end that is not an answer it also returns none, once the
        bytes received before are read; the caller looks at ``outcome``.
        """
        stream = self.stream
        while not stream.readable_bytes():
            if stream.at_eof() or stream.outcome:
                return b""
            await self.changed()
        part = stream.read(limit)
        self.wake()
        return part

    async def write(self, data: bytes) -> None:
        """Writes all bytes, waiting for buffer space as often as needed.

        Raises:
            errors.FlowError: The flow has ended or its end was written.
        """
        rest = memoryview(data)
        while True:
            taken = self.stream.write(rest)
            if taken:
                rest = rest[taken:]
                self.wake()
            if not rest:
                return
            await self.changed()

    async def run_link(self, receive: Receive, send: Send, peer: str) -> None:
        """Carries the stream over one connection until either ends.

        Args:
            receive: Waits for the next message; None at the end.
            send: Sends a message; waits while the connection is full.
            peer: Address of the other side, for errors.

        Raises:
            errors.WireError: The peer broke the protocol.
            Exception: What ``receive`` or ``send`` raised.
        """
        link = self.stream.new_connection()
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
            self.stream.remove_connection(link)
            self.wake()
            await cancel_and_wait(*tasks)

    async def _receive_frames(
        self,
        link: resumable_stream.StreamConnection,
        receive: Receive,
        peer: str,
    ) -> None:
        while (data := await receive()) is not None:
            try:
                self.stream.on_frame(link, frames.decode(data, peer))
            except errors.WireError as exc:
                exc.peer = peer
                raise
            self.wake()

    async def _send_frames(
        self, link: resumable_stream.StreamConnection, send: Send
    ) -> None:
        while not self.stream.is_done(link):
            frame = self.stream.next_frame(link)
            if frame is None:
                await self.changed()
            else:
                await send(frames.encode(frame))


async def cancel_and_wait(*tasks: asyncio.Task) -> None:
    """Cancels tasks and waits until they have ended; ignores their errors."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task


async def read_flow_frame(
    reader: asyncio.StreamReader, peer: str
) -> bytes | None:
    """Returns the next frame of a relay connection; None at its end.

    Raises:
        errors.WireError: The frame is too large.
        OSError: The connection broke.
    """
    try:
        prefix = await reader.readexactly(frames.LENGTH_BYTES)
        return await reader.readexactly(frames.read_length(prefix, peer))
    except asyncio.IncompleteReadError:
        return None


async def write_flow_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes a frame to a relay connection; waits while it is full."""
    writer.write(frames.add_length_prefix(data))
    await writer.drain()


def close_after_flush(writer: asyncio.StreamWriter) -> None:
    """Closes a connection after what was written, within ``CLOSE_S``.

    A peer that does not read would otherwise keep it open for ever.
    """
    writer.close()
    loop = asyncio.get_running_loop()
    loop.call_later(CLOSE_TIMEOUT_S, writer.transport.abort)


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Lets the kernel end a connection whose other host has vanished.

    Without it a relay connection from a vanished balancer would stay open
    for ever, and a flow whose caller vanished too would never be ended.
    """
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_KEEPIDLE", LOSS_S // 2),
        ("TCP_KEEPINTVL", LOSS_S // 6),
        ("TCP_KEEPCNT", 3),
        ("TCP_USER_TIMEOUT", LOSS_S * 1000),
    ):
        if hasattr(socket, name):  # not on every system
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def abort_with_reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection so that the other side sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def format_peer(writer: asyncio.StreamWriter) -> str:
    """Returns ``ip:port`` of the other side of a connection."""
    peer = writer.get_extra_info("peername")
    return f"{peer[0]}:{peer[1]}" if peer else "-"
