"""Resumable flows at the balancer (``Endpoint``) and at the holder.

The balancer passes frames between a caller's WebSocket and a relay connection
and keeps no state of the flow.  The holder's ``ResumableSession`` owns the
stream and joins it to a TCP connection to the upstream.
"""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import logging
from typing import Any

from tornado import websocket

from crocusmux import errors
from crocusmux import frames
from crocusmux import messages
from crocusmux import streams
from crocusmux.core.flows import resumable_stream
from crocusmux.core.flows import slots

logger = logging.getLogger("crocusmux.resumable")

HELLO_S = 10.0
# The library counts on this bound; see client/flow.py on MAX_OPEN_S.
ATTACH_S = 10.0
PING_S = 10.0
# A flow whose caller stays away longer ends.
IDLE_S = 120.0
# Time for a caller to hear that its flow was ended, before it is forgotten.
CLOSE_S = 5.0
# Relay connections of one flow at a time; the oldest gives way, as it is
# probably left over from a balancer that vanished.
MAX_LINKS = 4

# Close codes of WebSocket (RFC 6455 and the IANA registry).
NORMAL = 1000
GOING_AWAY = 1001
PROTOCOL_ERROR = 1002
TRY_AGAIN = 1013
# A close frame holds at most 123 bytes of reason.
MAX_CLOSE_CHARS = 100

Relay = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Attach = Callable[[str, str, bytes, bool, str], Awaitable[Relay]]
ConnectUpstream = Callable[[], Awaitable[Relay]]
BadInput = Callable[[str], None]


class FlowEndpoint:
    """WebSocket endpoint of a balancer: ``/flow/SERVICE/ADDRESS``.

    Attributes:
        connections: Open WebSocket connections.
    """

    __slots__ = ("_attach", "_bad_input", "_closing", "_limit", "connections")

    def __init__(
        self, attach: Attach, bad_input: BadInput, max_connections: int
    ) -> None:
        """Makes the endpoint.

        Args:
            attach: ``attach(service, address, flow_id, resume, caller_ip)``
                returns a relay connection to the flow's holder, past the
                ``Attach`` header.  It raises ``errors.RefusedNotRunError`` or
                ``errors.OutcomeUnknownError`` to end the flow, and only if
                the flow's owner or holder said so: a copy of the opening may
                have reached them through another balancer.  For reasons of
                the balancer's own, such as a planned stop or an unknown
                service, it raises another ``errors.CrocusmuxError`` or
                ``OSError``, which sends the caller to another balancer.
            bad_input: Logs and counts malformed input.
            max_connections: Limit of open connections.
        """
        self._attach = attach
        self._bad_input = bad_input
        self._limit = max_connections
        self._closing = False
        self.connections: set[FlowHandler] = set()

    def handlers(self) -> list[tuple]:
        """Returns the routes for the HTTP server of the daemon."""
        return [(r"/flow/([^/]+)/([^/]+)", FlowHandler, {"endpoint": self})]

    def close_connections(self) -> None:
        """Sends all callers to other balancers; new ones go there as well."""
        self._closing = True
        for conn in list(self.connections):
            conn.finish_link(GOING_AWAY, "balancer stops")

    def admit(self, conn: "FlowHandler") -> bool:
        """Counts a connection; returns False if there is no place for it."""
        if self._closing or len(self.connections) >= self._limit:
            return False
        self.connections.add(conn)
        return True

    def bad_input(self, reason: str) -> None:
        """Reports malformed input."""
        self._bad_input(reason)

    async def attach(
        self, service: str, address: str, hello: frames.Hello, caller: str
    ) -> Relay:
        """Returns a relay connection to the holder of a flow."""
        return await asyncio.wait_for(
            self._attach(service, address, hello.flow, hello.resume, caller),
            ATTACH_S,
        )


class FlowHandler(websocket.WebSocketHandler):
    """One WebSocket connection of a caller."""

    def initialize(self, endpoint: FlowEndpoint) -> None:
        """Takes the argument of the route."""
        self._endpoint = endpoint
        self._names = ("", "")
        self._writer: asyncio.StreamWriter | None = None
        self._down: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._over = False

    @property
    def max_message_size(self) -> int:
        """Largest message, bytes; tornado closes the connection above it."""
        return frames.MAX_FRAME_BYTES

    @property
    def ping_interval(self) -> float:
        """Time between pings, seconds."""
        return PING_S

    def open(self, *args: str, **kwargs: str) -> None:
        """Starts to wait for the Hello of the flow."""
        self._names = (args[0], args[1])
        if not self._endpoint.admit(self):
            self.finish_link(TRY_AGAIN, "balancer takes no connections")
            return
        self.set_nodelay(True)
        self._timer = asyncio.get_running_loop().call_later(
            HELLO_S, self._on_late
        )

    async def on_message(self, message: str | bytes) -> None:
        """Passes a frame on; tornado reads the next one only afterwards."""
        if self._over:
            return
        if self._writer is None:
            await self._start(message)
        elif isinstance(message, str):
            self._refuse("message is text, expected a binary frame")
        else:
            await self._up(self._writer, message)

    def on_close(self) -> None:
        """Closes the relay connection; the flow may resume on another."""
        self._endpoint.connections.discard(self)
        self.finish_link(NORMAL, "")

    def finish_link(self, code: int, reason: str) -> None:
        """Closes both sides."""
        if self._over:
            return
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._writer is not None:
            streams.close_after_flush(self._writer)
        if self._down is not None:
            self._down.cancel()
        self.close(code, reason[:MAX_CLOSE_CHARS])

    def _on_late(self) -> None:
        self._refuse(f"no Hello within {HELLO_S:g} s")

    def _refuse(self, reason: str) -> None:
        self._endpoint.bad_input(f"flow of {self.request.remote_ip}: {reason}")
        self.finish_link(PROTOCOL_ERROR, reason)

    async def _start(self, message: str | bytes) -> None:
        if self._timer is not None:
            self._timer.cancel()
        caller = self.request.remote_ip or ""
        try:
            hello = frames.decode(message, caller)
        except errors.WireError as exc:
            self._refuse(exc.reason)
            return
        if not isinstance(hello, frames.Hello):
            self._refuse("first frame is not a Hello")
            return
        try:
            relay = await self._endpoint.attach(*self._names, hello, caller)
        except errors.RefusedNotRunError as exc:
            await self._end(messages.REFUSED, exc.reason)
        except errors.OutcomeUnknownError as exc:
            await self._end(messages.UNKNOWN, exc.reason)
        except (errors.CrocusmuxError, OSError, TimeoutError) as exc:
            logger.info("cannot attach a flow of %s: %s", caller, exc)
            self.finish_link(TRY_AGAIN, "no connection to the holder")
        else:
            await self._join(relay, frames.encode(hello))

    async def _join(self, relay: Relay, hello: bytes) -> None:
        reader, writer = relay
        if self._over:  # the caller left while the relay was being dialled
            streams.close_after_flush(writer)
            return
        self._writer = writer
        self._down = asyncio.create_task(self._pass_down(reader, writer))
        await self._up(writer, hello)

    async def _end(self, outcome: str, reason: str) -> None:
        if self._over:
            return
        end = frames.encode(frames.make_end_frame(outcome, reason))
        # A caller that has gone asks again elsewhere.
        with contextlib.suppress(websocket.WebSocketClosedError):
            await self.write_message(end, binary=True)
        self.finish_link(NORMAL, outcome)

    async def _up(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        try:
            await streams.write_flow_frame(writer, data)
        except OSError:
            self.finish_link(GOING_AWAY, "relay connection broke")

    async def _pass_down(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = streams.format_peer(writer)
        try:
            while (
                data := await streams.read_flow_frame(reader, peer)
            ) is not None:
                # Tornado logs an error for a write that is cancelled.
                await asyncio.shield(self.write_message(data, binary=True))
        except errors.WireError as exc:
            self._endpoint.bad_input(str(exc))
        except (OSError, websocket.WebSocketClosedError):
            pass  # either side broke; both are closed below
        self.finish_link(GOING_AWAY, "relay connection ended")


class ResumableSession:
    """One library flow at its holder.

    Attributes:
        flow: Flow id.
        ended: True once the upstream is no longer used; the caller may still
            have to hear the outcome.
    """

    __slots__ = (
        "_alone_since",
        "_bad_input",
        "_clock",
        "_connect_upstream",
        "_dialled",
        "_expired",
        "_gone",
        "_links",
        "_on_end",
        "_on_gone",
        "_splicing",
        "_task",
        "_timer",
        "_waiter",
        "ended",
        "flow",
    )

    def __init__(
        self,
        flow: bytes,
        connect_upstream: ConnectUpstream,
        clock: Callable[[], float],
        on_end: Callable[[str, str], Any],
        *,
        on_gone: Callable[[], Any] = lambda: None,
        bad_input: BadInput = logger.warning,
    ) -> None:
        """Starts a session without connections.

        Args:
            flow: Flow id; its last 16 bytes are those of the caller's Hello.
            connect_upstream: Returns a connection to the upstream.  It is
                called once, at the caller's first Hello.  ``OSError``,
                ``TimeoutError`` and any ``errors.CrocusmuxError`` but
                ``errors.OutcomeUnknownError`` refuse the flow as not run.
            clock: Returns the time in seconds.
            on_end: ``on_end(outcome, reason)`` is called once, when the
                upstream is no longer used.
            on_gone: Is called once, after ``on_end``, when the caller knows
                the outcome or has stayed away too long; until then the
                session must get the flow's connections.
            bad_input: Logs and counts malformed input.
        """
        self.flow = flow
        self.ended = False
        self._connect_upstream = connect_upstream
        self._clock = clock
        self._on_end = on_end
        self._on_gone = on_gone
        self._bad_input = bad_input
        self._waiter = streams.AwaitableStream(
            resumable_stream.ResumableStream(
                flow[-slots.FLOW_ID_BYTES :], is_caller=False
            )
        )
        self._links: dict[asyncio.Task, None] = {}  # the oldest first
        self._dialled = False
        self._expired = False
        self._gone = False
        self._alone_since = clock()
        self._timer: asyncio.TimerHandle | None = None
        self._splicing: asyncio.Task | None = None
        self._watch_idle()
        self._task = asyncio.create_task(self._run())

    def new_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Takes a relay connection of the flow, past its ``Attach`` header."""
        if self._gone:
            streams.close_after_flush(writer)
            return
        if len(self._links) >= MAX_LINKS:
            oldest = next(iter(self._links))
            del self._links[oldest]
            oldest.cancel()
        task = asyncio.create_task(self._carry(reader, writer))
        self._links[task] = None
        task.add_done_callback(self._on_link_end)

    def close(self, outcome: str, reason: str = "") -> None:
        """Ends the flow with an outcome, at once.

        A flow whose upstream was dialled is never called refused.
        """
        if outcome == messages.REFUSED and self._dialled:
            outcome = messages.UNKNOWN
        self._waiter.stream.end(outcome, reason)
        self._waiter.wake()

    async def abort(self) -> None:
        """Breaks all connections at once and tells nobody the outcome."""
        self._gone = True
        if self._timer is not None:
            self._timer.cancel()
        await streams.cancel_and_wait(self._task, *self._links)

    async def _run(self) -> None:
        try:
            await self._live()
        finally:
            if self._splicing is not None:
                await streams.cancel_and_wait(self._splicing)

    async def _live(self) -> None:
        stream = self._waiter.stream
        while not (stream.accepted or stream.outcome):
            await self._waiter.changed()
        if not stream.outcome:
            splice = asyncio.create_task(self._splice())
            self._splicing = splice
            splice.add_done_callback(lambda _: self._waiter.wake())
            while not (stream.outcome or splice.done()):
                await self._waiter.changed()
            await streams.cancel_and_wait(splice)
            if not stream.outcome:
                # An error that _splice does not expect; whether the work ran
                # cannot be told.
                exc = None if splice.cancelled() else splice.exception()
                logger.error("flow %s: %r", self.flow.hex(), exc)
                stream.end(messages.UNKNOWN, "internal error")
                self._waiter.wake()
        self.ended = True
        self._on_end(stream.outcome, stream.reason)
        if stream.outcome != messages.ANSWERED:
            asyncio.get_running_loop().call_later(CLOSE_S, self._expire)
        while not (stream.is_finished() or self._expired):
            await self._waiter.changed()
        self._gone = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._links:
            task.cancel()
        self._on_gone()

    def _expire(self) -> None:
        self._expired = True
        self._waiter.wake()

    # Connections from balancers.

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = streams.format_peer(writer)
        streams.enable_keepalive(writer)
        try:
            await self._waiter.run_link(
                lambda: streams.read_flow_frame(reader, peer),
                lambda data: streams.write_flow_frame(writer, data),
                peer,
            )
        except errors.WireError as exc:
            self._bad_input(str(exc))
        except OSError:
            pass  # the flow resumes on another connection
        finally:
            streams.close_after_flush(writer)

    def _on_link_end(self, task: asyncio.Task) -> None:
        self._links.pop(task, None)
        if not self._links:
            self._alone_since = self._clock()
            self._watch_idle()

    def _watch_idle(self) -> None:
        if self._gone:
            return
        if self._timer is not None:
            self._timer.cancel()
        left = self._alone_since + IDLE_S - self._clock()
        if left > 0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(left, self._watch_idle)
        elif not self._links:
            self.close(messages.UNKNOWN, f"no connection for {IDLE_S:g} s")
            self._expire()

    # The upstream.

    async def _splice(self) -> None:
        """Joins the stream to the upstream and ends it with its outcome."""
        # The upstream may have the connection before the loop hears of it.
        self._dialled = True
        try:
            reader, writer = await self._connect_upstream()
        except errors.OutcomeUnknownError as exc:
            self.close(messages.UNKNOWN, exc.reason)
            return
        except errors.CrocusmuxError as exc:
            self._dialled = False
            self.close(messages.REFUSED, exc.reason)
            return
        except (OSError, TimeoutError) as exc:
            self._dialled = False
            self.close(messages.REFUSED, f"cannot reach the upstream: {exc}")
            return
        up = asyncio.create_task(self._pass_up(writer))
        whole = False
        try:
            answer_bytes = await self._pass_down(reader)
            # An upstream may answer without reading all of the request, but
            # one that closes without either did not answer.
            if not (answer_bytes or up.done()):
                raise ConnectionError("closed without an answer")
            try:
                await up
            except OSError:
                if not answer_bytes:
                    raise
            whole = True
            self.close(messages.ANSWERED)
        except OSError as exc:
            self.close(messages.UNKNOWN, f"the upstream broke off: {exc}")
        finally:
            await streams.cancel_and_wait(up)
            if whole:
                streams.close_after_flush(writer)
            else:
                # A reset tells the upstream that the flow is cancelled.
                streams.abort_with_reset(writer)

    async def _pass_up(self, writer: asyncio.StreamWriter) -> None:
        while data := await self._waiter.read(frames.CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
        if self._waiter.stream.at_eof():
            writer.write_eof()
            await writer.drain()

    async def _pass_down(self, reader: asyncio.StreamReader) -> int:
        size = 0
        while data := await reader.read(frames.CHUNK_BYTES):
            size += len(data)
            await self._waiter.write(data)
        self._waiter.stream.write_eof()
        self._waiter.wake()
        return size
