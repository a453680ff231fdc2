"""Relay of TCP byte streams between balancer and agent.

On the connection between the two, each chunk has a 4-byte length, and a
length of zero marks the orderly end of one direction.  A connection that
closes without that mark was broken, for instance by the death of a process,
and the other side is reset: a caller or an upstream never takes a truncated
stream for a whole one.
"""

import asyncio
import socket
import struct

from crocusmux import errors

CHUNK_BYTES = 65_536
LENGTH_PREFIX = struct.Struct("!I")
END = LENGTH_PREFIX.pack(0)
# Largest chunk that a peer may announce.
MAX_CHUNK_BYTES = 1 << 20
# Largest control frame (``Attach``, ``Attached``).
MAX_FRAME_BYTES = 4096

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]

_RESET = struct.pack("ii", 1, 0)


def configure_writer(writer: asyncio.StreamWriter, buffer_bytes: int) -> None:
    """Bounds the write buffer of a connection and turns Nagle off."""
    writer.transport.set_write_buffer_limits(high=buffer_bytes)
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset, so that the peer sees it broken."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


async def write_control_frame(
    writer: asyncio.StreamWriter, frame: bytes
) -> None:
    """Writes a control frame with its length."""
    writer.write(LENGTH_PREFIX.pack(len(frame)) + frame)
    await writer.drain()


async def read_control_frame(reader: asyncio.StreamReader, peer: str) -> bytes:
    """Reads a control frame.

    Raises:
        errors.WireError: The frame is longer than ``MAX_FRAME_BYTES``.
        asyncio.IncompleteReadError: The connection ended before the frame.
    """
    (size,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if size > MAX_FRAME_BYTES:
        raise errors.WireError(
            f"frame has {size} bytes, limit is {MAX_FRAME_BYTES}",
            step="read frame",
            peer=peer,
        )
    return await reader.readexactly(size)


async def splice(plain: Connection, framed: Connection) -> bool:
    """Relays bytes both ways until both directions have ended.

    Args:
        plain: Connection to the caller or to the upstream.
        framed: Connection between balancer and agent.

    Returns:
        True if both directions ended in order; False if the connection of
        either side broke, in which case both are reset.
    """
    tasks = [
        asyncio.ensure_future(_frame(plain[0], framed[1])),
        asyncio.ensure_future(_unframe(framed[0], plain[1])),
    ]
    try:
        await asyncio.gather(*tasks)
    except (OSError, asyncio.IncompleteReadError, errors.WireError):
        return False
    finally:
        whole = all(
            t.done() and not t.cancelled() and not t.exception() for t in tasks
        )
        for task in tasks:
            task.cancel()
        for writer in (plain[1], framed[1]):
            if whole:
                writer.close()
            else:
                reset_connection(writer)
    return True


async def _frame(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    pack = LENGTH_PREFIX.pack
    while data := await reader.read(CHUNK_BYTES):
        # One write a chunk: two would be two system calls, and would wake
        # the other side for the header alone.
        writer.write(pack(len(data)) + data)
        await writer.drain()
    writer.write(END)
    await writer.drain()


async def _unframe(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    head, left = b"", 0
    while data := await reader.read(CHUNK_BYTES):
        at = 0
        while at < len(data):
            if left:
                part = data[at : at + left]
                writer.write(part)
                left -= len(part)
                at += len(part)
                continue
            missing = LENGTH_PREFIX.size - len(head)
            head += data[at : at + missing]
            at += missing
            if len(head) < LENGTH_PREFIX.size:
                break
            left = _chunk_size(head)
            head = b""
            if not left:
                if writer.can_write_eof():
                    writer.write_eof()
                return
        await writer.drain()
    raise asyncio.IncompleteReadError(b"", left or None)


def _chunk_size(head: bytes) -> int:
    (size,) = LENGTH_PREFIX.unpack(head)
    if size > MAX_CHUNK_BYTES:
        raise errors.WireError(
            f"chunk has {size} bytes, limit is {MAX_CHUNK_BYTES}",
            step="relay",
        )
    return int(size)
