"""Library for callers: flows that survive the loss of any balancer."""

import asyncio
from collections.abc import Sequence
import ipaddress
import logging
import random
import socket
from typing import Any
import urllib.parse

from tornado import httpclient
from tornado import netutil
from tornado import websocket

from crocusmux import errors
from crocusmux import frames
from crocusmux import messages
from crocusmux import streams
from crocusmux.core.flows import resumable_stream
from crocusmux.core.flows import slots

logger = logging.getLogger("crocusmux.client")

CONNECT_TIMEOUT_S = 5.0
# Time for the first answer of a holder.  A holder recognizes a duplicate
# opening within the retransmit window (30 s).  The last opening is sent within
# MAX_OPEN_TIMEOUT_S, and a balancer attaches it within 10 s, so that none
# arrives after the window and runs the work twice.
OPEN_TIMEOUT_S = 10.0
MAX_OPEN_TIMEOUT_S = 15.0
# A holder ends a flow that has had no connection for 120 s.
RECONNECT_TIMEOUT_S = 120.0
CANCEL_TIMEOUT_S = 5.0
# Jitter that spreads reconnections over time, as a balancer that dies breaks
# the connections of up to 180,000 flows.
RECONNECT_JITTER_S = 1.0
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 5.0
# Pings detect a balancer whose host vanished without closing connections.
PING_INTERVAL_S = 10.0
READ_BYTES = 65_536


class Flow:
    """A flow to a service; see ``open_flow``.

    Attributes:
        flow_id: The 16 random bytes that identify the flow.
    """

    __slots__ = (
        "_base_urls",
        "_cancelled",
        "_deadline",
        "_path",
        "_reconnect_timeout_s",
        "_rng",
        "_stream",
        "_task",
        "flow_id",
    )

    def __init__(
        self,
        urls: Sequence[str],
        path: str,
        rng: random.Random,
        buffer_bytes: int,
        open_s: float,
        away_s: float,
    ) -> None:
        self.flow_id = rng.randbytes(slots.FLOW_ID_BYTES)
        self._base_urls = rng.sample(list(urls), len(urls))
        self._path = path
        self._rng = rng
        self._reconnect_timeout_s = away_s
        self._cancelled = False
        self._stream = streams.AwaitableStream(
            resumable_stream.ResumableStream(
                self.flow_id, is_caller=True, limit=buffer_bytes
            )
        )
        self._deadline = asyncio.get_running_loop().time() + open_s
        self._task = asyncio.create_task(self._run())

    async def read(self, limit: int = READ_BYTES) -> bytes:
        """Reads bytes of the answer, waiting for at least one.

        Args:
            limit: Largest number of bytes to return.

        Returns:
            At least one byte, or no bytes at the end of the answer.

        Raises:
            errors.RefusedNotRunError: The work did not run and never will.
            errors.OutcomeUnknownError: The work may have run, and the bytes
                read so far may not be the whole answer.
            errors.FlowError: ``close`` has cancelled the flow.
        """
        if limit < 1:
            raise ValueError("limit must be 1 or more")
        data = await self._stream.read(limit)
        if not data:
            self._raise_flow_error()
            if self._cancelled:
                raise errors.FlowError("the flow is closed", step="read")
        return data

    async def write(self, data: bytes) -> None:
        """Writes bytes, waiting until all of them are in the send buffer.

        Raises:
            errors.RefusedNotRunError: See ``read``.
            errors.OutcomeUnknownError: See ``read``.
            errors.FlowError: ``write_eof`` or ``close`` was called, or the
                upstream answered before it got the whole request.
        """
        try:
            await self._stream.write(data)
        except errors.FlowError:
            self._raise_flow_error()
            raise

    def write_eof(self) -> None:
        """Ends the request, once all written bytes are sent."""
        self._stream.state.write_eof()
        self._stream.wake()

    def close(self) -> None:
        """Closes the flow; cancels it unless the whole answer was read."""
        stream = self._stream.state
        if stream.at_eof():
            stream.write_eof()
        elif not stream.outcome:
            self._cancelled = True
            self._deadline = self._task.get_loop().time() + CANCEL_TIMEOUT_S
            stream.end(messages.UNKNOWN, "cancelled by the caller")
        self._stream.wake()

    async def wait_closed(self) -> None:
        """Waits for the end of the flow, answered or cancelled by ``close``.

        Raises:
            errors.RefusedNotRunError: See ``read``.
            errors.OutcomeUnknownError: See ``read``.
        """
        await asyncio.shield(self._task)
        self._raise_flow_error()

    async def wait_accepted(self) -> None:
        """Waits until a holder has accepted the flow; raises as ``read``."""
        stream = self._stream.state
        while not (stream.accepted or stream.outcome):
            await self._stream.changed()
        self._raise_flow_error()

    def _raise_flow_error(self) -> None:
        stream = self._stream.state
        if self._cancelled or stream.outcome in ("", messages.ANSWERED):
            return
        error_class: type[errors.FlowError] = errors.OutcomeUnknownError
        if stream.outcome == messages.REFUSED:
            error_class = errors.RefusedNotRunError
        raise error_class(stream.reason, step="flow", peer=self._path)

    def _is_finished(self) -> bool:
        stream = self._stream.state
        if not stream.outcome:
            return False
        return (
            stream.is_finished() or stream.outcome_sent or not stream.accepted
        )

    async def _run(self) -> None:
        """Reconnects the flow until it has ended or its deadline passes."""
        loop = asyncio.get_running_loop()
        tries, failures = 0, 0
        try:
            while not self._is_finished():
                url = self._base_urls[tries % len(self._base_urls)] + self._path
                tries += 1
                if await self._run_link(url):
                    failures = 0
                    if not self._cancelled:
                        self._deadline = loop.time() + self._reconnect_timeout_s
                else:
                    failures += 1
                left_s = self._deadline - loop.time()
                if left_s <= 0:
                    break
                if not self._is_finished():
                    await asyncio.sleep(min(left_s, self._backoff_s(failures)))
        finally:
            self._settle_outcome()

    def _backoff_s(self, failures: int) -> float:
        if not failures:
            return self._rng.uniform(0, RECONNECT_JITTER_S)
        max_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(failures, 10))
        return self._rng.uniform(max_s / 2, max_s)

    async def _run_link(self, url: str) -> bool:
        """Runs the flow over one connection.

        Returns:
            True if a holder answered on this connection.
        """
        joined_before = self._stream.state.hellos_received
        try:
            conn = await _connect(url)
        except (OSError, httpclient.HTTPError, websocket.WebSocketError) as exc:
            logger.info("flow %s: dialing %s: %r", self.flow_id.hex(), url, exc)
            return False

        async def receive() -> bytes | str | None:
            return await conn.read_message()

        async def send(data: bytes) -> None:
            # Tornado logs an error for a write that is cancelled.
            await asyncio.shield(conn.write_message(data, binary=True))

        try:
            if not self._is_finished():
                await self._stream.run_link(receive, send, url)
        except (OSError, websocket.WebSocketError, errors.WireError) as exc:
            logger.info("flow %s: lost %s: %r", self.flow_id.hex(), url, exc)
        finally:
            conn.close()
        return self._stream.state.hellos_received > joined_before

    def _settle_outcome(self) -> None:
        """Sets the outcome of a flow that ended without one."""
        stream = self._stream.state
        if stream.accepted:
            stream.end(messages.UNKNOWN, "no balancer reached the holder")
        elif stream.opening_sent:
            stream.end(messages.UNKNOWN, "no answer to the opening")
        else:
            stream.end(messages.REFUSED, "no balancer could be reached")
        self._stream.wake()


async def open_flow(
    urls: Sequence[str],
    service: str,
    address: str,
    rng: random.Random,
    *,
    buffer_bytes: int = resumable_stream.BUFFER_BYTES,
    open_s: float = OPEN_TIMEOUT_S,
    away_s: float = RECONNECT_TIMEOUT_S,
) -> Flow:
    """Opens a flow to a service address; waits until a holder accepts it.

    Args:
        urls: Base URLs of balancers, such as ``"ws://10.0.0.1:8080"``.
        service: Name of the service.
        address: Name of the service address.
        rng: Source of the flow id, of the order of balancers and of jitter.
            Flow ids must not repeat: use ``random.SystemRandom()`` except in
            tests.
        buffer_bytes: Limit of the bytes written but not yet acknowledged by
            the holder.
        open_s: Seconds for the opening, at most ``MAX_OPEN_TIMEOUT_S``.
        away_s: Seconds for reconnecting after a connection ended.

    Raises:
        errors.RefusedNotRunError: The work did not run and never will.
        errors.OutcomeUnknownError: A holder may run the flow.
        ValueError: An argument is out of range.
    """
    if not urls or any(url[:5] not in ("ws://", "wss:/") for url in urls):
        raise ValueError("urls must be ws:// or wss:// URLs, at least one")
    if buffer_bytes < 1 or not 0 < open_s <= MAX_OPEN_TIMEOUT_S:
        raise ValueError("buffer_bytes or open_s is out of range")
    names = (urllib.parse.quote(name, safe="") for name in (service, address))
    path = "/flow/" + "/".join(names)
    base_urls = [url.rstrip("/") for url in urls]
    flow = Flow(base_urls, path, rng, buffer_bytes, open_s, away_s)
    try:
        await flow.wait_accepted()
    except asyncio.CancelledError:
        flow.close()
        raise
    return flow


async def _connect(url: str) -> websocket.WebSocketClientConnection:
    conn = await websocket.websocket_connect(
        url,
        connect_timeout=CONNECT_TIMEOUT_S,
        ping_interval=PING_INTERVAL_S,
        max_message_size=frames.MAX_FRAME_BYTES,
        resolver=_NumericResolver(),
    )
    if conn.protocol is not None:
        # With Nagle's algorithm, a small frame would wait up to 40 ms for the
        # acknowledgement of the previous frame.
        conn.protocol.set_nodelay(True)
    return conn


class _NumericResolver(netutil.DefaultLoopResolver):
    """Resolver that starts no thread for IP addresses, the usual case."""

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        try:
            version = ipaddress.ip_address(host).version
        except ValueError:
            return await super().resolve(host, port, family)
        if version == 4:
            return [(socket.AF_INET, (host, port))]
        return [(socket.AF_INET6, (host, port))]
