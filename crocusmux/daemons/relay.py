"""Relay of TCP byte streams between balancer and agent.

On the relay connection each chunk has a 4-byte length prefix, and a length of
zero marks the end of one direction.  If the connection closes without that
mark, for instance because a process died, the connection to the caller or
upstream is reset, so that neither takes a truncated stream for a complete one.
"""

import asyncio
import socket
import struct

from crocusmux import errors

CHUNK_BYTES = 65_536
LENGTH_PREFIX = struct.Struct("!I")
END_MARK = LENGTH_PREFIX.pack(0)
# Largest chunk that is accepted from a peer.
MAX_CHUNK_BYTES = 1 << 20
# Largest control frame (``Attach``, ``Attached``).
MAX_FRAME_BYTES = 4096

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]

_LINGER_RESET = struct.pack("ii", 1, 0)


def configure_writer(writer: asyncio.StreamWriter, buffer_bytes: int) -> None:
    """Limits the write buffer of a connection and sets TCP_NODELAY."""
    writer.transport.set_write_buffer_limits(high=buffer_bytes)
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset instead of an orderly end."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    writer.transport.abort()


async def write_control(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Writes a control frame with its length prefix."""
    writer.write(LENGTH_PREFIX.pack(len(frame)) + frame)
    await writer.drain()


async def read_control(reader: asyncio.StreamReader, peer: str) -> bytes:
    """Reads a control frame.

    Raises:
        errors.WireError: The frame is longer than ``MAX_FRAME_BYTES``.
        asyncio.IncompleteReadError: The connection ended within the frame.
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
    """Relays bytes in both directions until both have ended.

    Args:
        plain: Connection to the caller or to the upstream.
        framed: Relay connection between balancer and agent.

    Returns:
        True if both directions ended in order; False if either connection
        broke, in which case both are reset.
    """
    tasks = [
        asyncio.ensure_future(_relay_to_framed(plain[0], framed[1])),
        asyncio.ensure_future(_relay_from_framed(framed[0], plain[1])),
    ]
    try:
        await asyncio.gather(*tasks)
    except (OSError, asyncio.IncompleteReadError, errors.WireError):
        return False
    finally:
        completed = all(
            t.done() and not t.cancelled() and not t.exception() for t in tasks
        )
        for task in tasks:
            task.cancel()
        for writer in (plain[1], framed[1]):
            if completed:
                writer.close()
            else:
                reset_connection(writer)
    return True


async def _relay_to_framed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    pack = LENGTH_PREFIX.pack
    while data := await reader.read(CHUNK_BYTES):
        # A single write per chunk saves a system call, and the receiver is not
        # woken for the length prefix alone.
        writer.write(pack(len(data)) + data)
        await writer.drain()
    writer.write(END_MARK)
    await writer.drain()


async def _relay_from_framed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    prefix, chunk_left = b"", 0
    while data := await reader.read(CHUNK_BYTES):
        position = 0
        while position < len(data):
            if chunk_left:
                part = data[position : position + chunk_left]
                writer.write(part)
                chunk_left -= len(part)
                position += len(part)
                continue
            missing = LENGTH_PREFIX.size - len(prefix)
            prefix += data[position : position + missing]
            position += missing
            if len(prefix) < LENGTH_PREFIX.size:
                break
            chunk_left = _parse_chunk_size(prefix)
            prefix = b""
            if not chunk_left:
                if writer.can_write_eof():
                    writer.write_eof()
                return
        await writer.drain()
    raise asyncio.IncompleteReadError(b"", chunk_left or None)


def _parse_chunk_size(prefix: bytes) -> int:
    (size,) = LENGTH_PREFIX.unpack(prefix)
    if size > MAX_CHUNK_BYTES:
        raise errors.WireError(
            f"chunk has {size} bytes, limit is {MAX_CHUNK_BYTES}",
            step="relay",
        )
    return int(size)
