"""A small HTTP/1.1 server and client on asyncio's streams."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib

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
