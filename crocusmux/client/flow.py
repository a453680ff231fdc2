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

CONNECT_S = 5.0
# Time for the first answer of a holder.  A holder recognises a repeated
# opening for the retransmit window (30 s); the last opening is sent within
# MAX_OPEN_S and reaches the holder within the 10 s a balancer takes at most,
# so no copy of it can arrive after the window and run the work twice.
OPEN_S = 10.0
MAX_OPEN_S = 15.0
# A holder ends a flow that had no connection for 120 s.
AWAY_S = 120.0
CANCEL_S = 5.0
# A balancer that dies takes the connections of up to 180,000 flows with it;
# this spreads their return over the other balancers.
RETURN_SPREAD_S = 1.0
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 5.0
# Finds out that a balancer's host vanished without closing its connections.
PING_S = 10.0
READ_BYTES = 65_536


class Flow:
    """A flow to a service; see ``open_flow``.

    Attributes:
        flow_id: The 16 random bytes that identify the flow.
    """

    __slots__ = (
        "_away_s",
        "_cancelled",
        "_deadline",
        "_path",
        "_rng",
        "_task",
        "_urls",
        "_waiter",
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
        self._urls = rng.sample(list(urls), len(urls))
        self._path = path
        self._rng = rng
        self._away_s = away_s
        self._cancelled = False
        self._waiter = streams.AwaitableStream(
            resumable_stream.ResumableStream(
                self.flow_id, is_caller=True, limit=buffer_bytes
            )
        )
        self._deadline = asyncio.get_running_loop().time() + open_s
        self._task = asyncio.create_task(self._run())

    async def read(self, limit: int = READ_BYTES) -> bytes:
        """Waits for bytes of the answer.

        Args:
            limit: Most bytes to return.

        Returns:
            At least one byte, or none at the end of the upstream's direction.

        Raises:
            errors.RefusedNotRunError: The work did not run and never will.
            errors.OutcomeUnknownError: The work may have run, and the bytes
                read so far may not be the whole answer.
            errors.FlowError: The flow was closed at this end.
        """
        if limit < 1:
            raise ValueError("limit must be 1 or more")
        data = await self._waiter.read(limit)
        if not data:
            self._check()
            if self._cancelled:
                raise errors.FlowError("the flow is closed", step="read")
        return data

    async def write(self, data: bytes) -> None:
        """Hands over bytes, waiting until all are in the send buffer.

        Raises:
            errors.RefusedNotRunError: See ``read``.
            errors.OutcomeUnknownError: See ``read``.
            errors.FlowError: ``write_eof`` or ``close`` was called, or the
                answer is complete and the rest of the request not wanted.
        """
        try:
            await self._waiter.write(data)
        except errors.FlowError:
            self._check()
            raise

    def write_eof(self) -> None:
        """Ends this direction; the upstream sees the end of the request."""
        self._waiter.stream.write_eof()
        self._waiter.wake()

    def close(self) -> None:
        """Ends the flow.

        After the whole answer was read this is an orderly end; before that
        it cancels the flow at the upstream.
        """
        stream = self._waiter.stream
        if stream.at_eof():
            stream.write_eof()
        elif not stream.outcome:
            self._cancelled = True
            self._deadline = self._task.get_loop().time() + CANCEL_S
            stream.end(messages.UNKNOWN, "cancelled by the caller")
        self._waiter.wake()

    async def wait_closed(self) -> None:
        """Waits for the end of the flow; returns if it was answered.

        It also returns after a ``close`` that cancelled the flow.

        Raises:
            errors.RefusedNotRunError: See ``read``.
            errors.OutcomeUnknownError: See ``read``.
        """
        await asyncio.shield(self._task)
        self._check()

    async def wait_accepted(self) -> None:
        """Waits until a holder has the flow; raises as ``read`` does."""
        stream = self._waiter.stream
        while not (stream.accepted or stream.outcome):
            await self._waiter.changed()
        self._check()

    def _check(self) -> None:
        stream = self._waiter.stream
        if self._cancelled or stream.outcome in ("", messages.ANSWERED):
            return
        kind: type[errors.FlowError] = errors.OutcomeUnknownError
        if stream.outcome == messages.REFUSED:
            kind = errors.RefusedNotRunError
        raise kind(stream.reason, step="flow", peer=self._path)

    def _finished(self) -> bool:
        stream = self._waiter.stream
        if not stream.outcome:
            return False
        return (
            stream.is_finished() or stream.outcome_sent or not stream.accepted
        )

    async def _run(self) -> None:
        """Keeps the flow on a connection until it has ended."""
        loop = asyncio.get_running_loop()
        turn, failures = 0, 0
        try:
            while not self._finished():
                url = self._urls[turn % len(self._urls)] + self._path
                turn += 1
                if await self._carry(url):
                    failures = 0
                    if not self._cancelled:
                        self._deadline = loop.time() + self._away_s
                else:
                    failures += 1
                left = self._deadline - loop.time()
                if left <= 0:
                    break
                if not self._finished():
                    await asyncio.sleep(min(left, self._delay(failures)))
        finally:
            self._give_up()

    def _delay(self, failures: int) -> float:
        if not failures:
            return self._rng.uniform(0, RETURN_SPREAD_S)
        most = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(failures, 10))
        return self._rng.uniform(most / 2, most)

    async def _carry(self, url: str) -> bool:
        """Carries the flow over one connection.

        Returns:
            True if a holder answered on it.
        """
        joined = self._waiter.stream.hellos_received
        try:
            conn = await _connect(url)
        except (OSError, httpclient.HTTPError, websocket.WebSocketError) as exc:
            logger.info("flow %s: %s: %r", self.flow_id.hex(), url, exc)
            return False

        async def receive() -> bytes | str | None:
            return await conn.read_message()

        async def send(data: bytes) -> None:
            # Tornado logs an error for a write that is cancelled.
            await asyncio.shield(conn.write_message(data, binary=True))

        try:
            if not self._finished():
                await self._waiter.run_link(receive, send, url)
        except (OSError, websocket.WebSocketError, errors.WireError) as exc:
            logger.info("flow %s: %s: %r", self.flow_id.hex(), url, exc)
        finally:
            conn.close()
        return self._waiter.stream.hellos_received > joined

    def _give_up(self) -> None:
        """Settles the outcome of a flow that no balancer carries."""
        stream = self._waiter.stream
        if stream.accepted:
            stream.end(messages.UNKNOWN, "no balancer reached the holder")
        elif stream.opening_sent:
            stream.end(messages.UNKNOWN, "no answer to the opening")
        else:
            stream.end(messages.REFUSED, "no balancer could be reached")
        self._waiter.wake()


async def open_flow(
    urls: Sequence[str],
    service: str,
    address: str,
    rng: random.Random,
    *,
    buffer_bytes: int = resumable_stream.BUFFER_BYTES,
    open_s: float = OPEN_S,
    away_s: float = AWAY_S,
) -> Flow:
    """Opens a flow to a service address and waits until a holder has it.

    Args:
        urls: Base URLs of balancers, such as ``"ws://10.0.0.1:8080"``.
        service: Name of the service.
        address: Name of the service address.
        rng: Source of the flow id, of the order of balancers and of jitter.
            Flow ids must not repeat: use ``random.SystemRandom()`` except in
            tests.
        buffer_bytes: Bound of the bytes written but not yet taken by the
            holder.
        open_s: Time for the opening, at most ``MAX_OPEN_S``, seconds.
        away_s: How long to look for a balancer after the last connection
            ended, seconds.

    Raises:
        errors.RefusedNotRunError: The work did not run and never will.
        errors.OutcomeUnknownError: The holder may have the flow.
        ValueError: An argument is out of range.
    """
    if not urls or any(url[:5] not in ("ws://", "wss:/") for url in urls):
        raise ValueError("urls must be ws:// or wss:// URLs, at least one")
    if buffer_bytes < 1 or not 0 < open_s <= MAX_OPEN_S:
        raise ValueError("buffer_bytes or open_s is out of range")
    names = (urllib.parse.quote(name, safe="") for name in (service, address))
    path = "/flow/" + "/".join(names)
    bases = [url.rstrip("/") for url in urls]
    flow = Flow(bases, path, rng, buffer_bytes, open_s, away_s)
    try:
        await flow.wait_accepted()
    except asyncio.CancelledError:
        flow.close()
        raise
    return flow


async def _connect(url: str) -> websocket.WebSocketClientConnection:
    conn = await websocket.websocket_connect(
        url,
        connect_timeout=CONNECT_S,
        ping_interval=PING_S,
        max_message_size=frames.MAX_FRAME_BYTES,
        resolver=_NumericResolver(),
    )
    if conn.protocol is not None:
        # Otherwise a small frame waits for the acknowledgement of the one
        # before it, up to 40 ms.
        conn.protocol.set_nodelay(True)
    return conn


class _NumericResolver(netutil.DefaultLoopResolver):
    """Resolver that needs no thread for IP numbers, which are the rule."""

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
