"""Resumable library flows at the balancer and at the holder.

The balancer's ``FlowEndpoint`` forwards frames between a caller's WebSocket
and a relay connection, and keeps no state of the flow.  The holder's
``ResumableSession`` owns the stream and relays it to the upstream over TCP.
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

HELLO_TIMEOUT_S = 10.0
# client/flow.py relies on this bound; see MAX_OPEN_TIMEOUT_S there.
ATTACH_TIMEOUT_S = 10.0
PING_INTERVAL_S = 10.0
# A flow without a connection for this long is ended.
MAX_IDLE_S = 120.0
# Time for a caller to learn an outcome other than answered.
OUTCOME_WAIT_S = 5.0
# Limit of concurrent relay connections of one flow.  The oldest is closed, as
# it probably remains from a balancer that vanished.
MAX_FLOW_LINKS = 4

# WebSocket close codes (RFC 6455 and the IANA registry).
CLOSE_NORMAL = 1000
CLOSE_GOING_AWAY = 1001
CLOSE_PROTOCOL_ERROR = 1002
CLOSE_TRY_AGAIN = 1013
# A close frame has room for 123 bytes of reason.
MAX_CLOSE_REASON_CHARS = 100

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
AttachFlow = Callable[[str, str, bytes, bool, str], Awaitable[Connection]]
ConnectUpstream = Callable[[], Awaitable[Connection]]
LogBadInput = Callable[[str], None]


class FlowEndpoint:
    """WebSocket endpoint of a balancer at ``/flow/SERVICE/ADDRESS``.

    Attributes:
        connections: Open WebSocket connections.
    """

    __slots__ = ("_attach", "_bad_input", "_closing", "_limit", "connections")

    def __init__(
        self, attach: AttachFlow, bad_input: LogBadInput, max_connections: int
    ) -> None:
        """Initializes the endpoint.

        Args:
            attach: ``attach(service, address, flow_id, resume, caller_ip)``
                returns a relay connection to the flow's holder, past the
                ``Attach`` header.  It raises ``errors.RefusedNotRunError`` or
                ``errors.OutcomeUnknownError``, which end the flow, only if
                the flow's owner or holder reported it: a copy of the opening
                may have reached them through another balancer.  For local
                reasons, such as a planned stop or an unknown service, it
                raises another ``errors.CrocusmuxError`` or ``OSError``; the
                caller then tries another balancer.
            bad_input: Counts and logs malformed input.
            max_connections: Limit of open connections.
        """
        self._attach = attach
        self._bad_input = bad_input
        self._limit = max_connections
        self._closing = False
        self.connections: set[FlowHandler] = set()

    def handlers(self) -> list[tuple]:
        """Returns the tornado routes of the endpoint."""
        return [(r"/flow/([^/]+)/([^/]+)", FlowHandler, {"endpoint": self})]

    def close_connections(self) -> None:
        """Closes connections and admits no more; callers resume elsewhere."""
        self._closing = True
        for conn in list(self.connections):
            conn.finish_link(CLOSE_GOING_AWAY, "balancer stops")

    def admit(self, conn: "FlowHandler") -> bool:
        """Adds a connection; returns False when stopping or at the limit."""
        if self._closing or len(self.connections) >= self._limit:
            return False
        self.connections.add(conn)
        return True

    def bad_input(self, reason: str) -> None:
        """Counts and logs malformed input."""
        self._bad_input(reason)

    async def attach(
        self, service: str, address: str, hello: frames.Hello, caller: str
    ) -> Connection:
        """Returns a relay connection to the holder of a flow."""
        return await asyncio.wait_for(
            self._attach(service, address, hello.flow, hello.resume, caller),
            ATTACH_TIMEOUT_S,
        )


class FlowHandler(websocket.WebSocketHandler):
    """One WebSocket connection of a caller, relayed to a flow's holder."""

    def initialize(self, endpoint: FlowEndpoint) -> None:
        """Initializes the handler with the argument of its route."""
        self._endpoint = endpoint
        self._target = ("", "")  # names of service and service address
        self._relay_writer: asyncio.StreamWriter | None = None
        self._relay_task: asyncio.Task | None = None
        self._hello_timer: asyncio.TimerHandle | None = None
        self._link_finished = False

    @property
    def max_message_size(self) -> int:
        """Message size above which tornado closes the connection, bytes."""
        return frames.MAX_FRAME_BYTES

    @property
    def ping_interval(self) -> float:
        """Interval between pings, in seconds."""
        return PING_INTERVAL_S

    def open(self, *args: str, **kwargs: str) -> None:
        """Admits the connection and starts the timeout of the Hello frame."""
        self._target = (args[0], args[1])
        if not self._endpoint.admit(self):
            self.finish_link(CLOSE_TRY_AGAIN, "balancer takes no connections")
            return
        self.set_nodelay(True)
        self._hello_timer = asyncio.get_running_loop().call_later(
            HELLO_TIMEOUT_S, self._on_hello_timeout
        )

    async def on_message(self, message: str | bytes) -> None:
        """Forwards a frame; tornado reads the next frame only afterwards."""
        if self._link_finished:
            return
        if self._relay_writer is None:
            await self._attach_flow(message)
        elif isinstance(message, str):
            self._reject_input("message is text, expected a binary frame")
        else:
            await self._forward(self._relay_writer, message)

    def on_close(self) -> None:
        """Closes the relay connection; the flow may resume on another one."""
        self._endpoint.connections.discard(self)
        self.finish_link(CLOSE_NORMAL, "")

    def finish_link(self, code: int, reason: str) -> None:
        """Closes the WebSocket, with a close code, and the relay connection."""
        if self._link_finished:
            return
        self._link_finished = True
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        if self._relay_writer is not None:
            streams.close_after_flush(self._relay_writer)
        if self._relay_task is not None:
            self._relay_task.cancel()
        self.close(code, reason[:MAX_CLOSE_REASON_CHARS])

    def _on_hello_timeout(self) -> None:
        self._reject_input(f"no Hello within {HELLO_TIMEOUT_S:g} s")

    def _reject_input(self, reason: str) -> None:
        self._endpoint.bad_input(f"flow of {self.request.remote_ip}: {reason}")
        self.finish_link(CLOSE_PROTOCOL_ERROR, reason)

    async def _attach_flow(self, message: str | bytes) -> None:
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        caller = self.request.remote_ip or ""
        try:
            hello = frames.decode(message, caller)
        except errors.WireError as exc:
            self._reject_input(exc.reason)
            return
        if not isinstance(hello, frames.Hello):
            self._reject_input("first frame is not a Hello")
            return
        try:
            relay = await self._endpoint.attach(*self._target, hello, caller)
        except errors.RefusedNotRunError as exc:
            await self._send_end(messages.REFUSED, exc.reason)
        except errors.OutcomeUnknownError as exc:
            await self._send_end(messages.UNKNOWN, exc.reason)
        except (errors.CrocusmuxError, OSError, TimeoutError) as exc:
            logger.info("closing %s, cannot attach its flow: %r", caller, exc)
            self.finish_link(CLOSE_TRY_AGAIN, "no connection to the holder")
        else:
            await self._start_relay(relay, frames.encode(hello))

    async def _start_relay(self, relay: Connection, hello: bytes) -> None:
        reader, writer = relay
        if self._link_finished:  # the caller left while the holder was dialled
            streams.close_after_flush(writer)
            return
        self._relay_writer = writer
        self._relay_task = asyncio.create_task(self._to_caller(reader, writer))
        await self._forward(writer, hello)

    async def _send_end(self, outcome: str, reason: str) -> None:
        if self._link_finished:
            return
        end = frames.encode(frames.make_end_frame(outcome, reason))
        # A caller that has left repeats its Hello at another balancer.
        with contextlib.suppress(websocket.WebSocketClosedError):
            await self.write_message(end, binary=True)
        self.finish_link(CLOSE_NORMAL, outcome)

    async def _forward(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        try:
            await streams.write_frame(writer, data)
        except OSError:
            self.finish_link(CLOSE_GOING_AWAY, "relay connection broke")

    async def _to_caller(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = streams.format_peer(writer)
        try:
            while (data := await streams.read_frame(reader, peer)) is not None:
                # Tornado logs an error for a write that is cancelled.
                await asyncio.shield(self.write_message(data, binary=True))
        except errors.WireError as exc:
            self._endpoint.bad_input(str(exc))
        except (OSError, websocket.WebSocketClosedError):
            pass  # one of the connections broke; both are closed below
        self.finish_link(CLOSE_GOING_AWAY, "relay connection ended")


class ResumableSession:
    """Session of one library flow at its holder.

    Attributes:
        flow: Flow id.
        ended: True once the upstream is no longer used; the caller may not
            know the outcome yet.
    """

    __slots__ = (
        "_bad_input",
        "_caller_expired",
        "_clock",
        "_closed",
        "_connect_upstream",
        "_disconnected_since",
        "_idle_timer",
        "_link_tasks",
        "_on_closed",
        "_on_end",
        "_stream",
        "_task",
        "_upstream_dialled",
        "_upstream_task",
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
        on_closed: Callable[[], Any] = lambda: None,
        bad_input: LogBadInput = logger.warning,
    ) -> None:
        """Starts a session without relay connections.

        Args:
            flow: Flow id; its last 16 bytes are the id in the caller's Hello.
            connect_upstream: Returns a connection to the upstream; called
                once, at the caller's first Hello.  If it raises ``OSError``,
                ``TimeoutError`` or an ``errors.CrocusmuxError`` other than
                ``errors.OutcomeUnknownError``, the flow is refused.
            clock: Returns the time in seconds.
            on_end: Called once as ``on_end(outcome, reason)``, when the
                upstream is no longer used.
            on_closed: Called once, after ``on_end``, when the caller knows
                the outcome or its time to learn it is over; until then
                ``add_connection`` must get the flow's connections.
            bad_input: Counts and logs malformed input.
        """
        self.flow = flow
        self.ended = False
        self._connect_upstream = connect_upstream
        self._clock = clock
        self._on_end = on_end
        self._on_closed = on_closed
        self._bad_input = bad_input
        self._stream = streams.AwaitableStream(
            resumable_stream.ResumableStream(
                flow[-slots.FLOW_ID_BYTES :], is_caller=False
            )
        )
        self._link_tasks: dict[asyncio.Task, None] = {}  # oldest first
        self._upstream_dialled = False
        self._caller_expired = False
        self._closed = False
        self._disconnected_since = clock()
        self._idle_timer: asyncio.TimerHandle | None = None
        self._upstream_task: asyncio.Task | None = None
        self._check_idle()
        self._task = asyncio.create_task(self._run())

    def add_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Adds a relay connection of the flow, past its ``Attach`` header."""
        if self._closed:
            streams.close_after_flush(writer)
            return
        if len(self._link_tasks) >= MAX_FLOW_LINKS:
            oldest = next(iter(self._link_tasks))
            del self._link_tasks[oldest]
            oldest.cancel()
        task = asyncio.create_task(self._run_link(reader, writer))
        self._link_tasks[task] = None
        task.add_done_callback(self._on_link_end)

    def close(self, outcome: str, reason: str = "") -> None:
        """Ends the flow with an outcome at once.

        If the upstream was dialled, "refused" becomes "unknown".
        """
        if outcome == messages.REFUSED and self._upstream_dialled:
            outcome = messages.UNKNOWN
        self._stream.state.end(outcome, reason)
        self._stream.wake()

    async def abort(self) -> None:
        """Breaks all connections without sending an outcome."""
        self._closed = True
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        await streams.cancel_and_wait(self._task, *self._link_tasks)

    async def _run(self) -> None:
        try:
            await self._run_until_closed()
        finally:
            if self._upstream_task is not None:
                await streams.cancel_and_wait(self._upstream_task)

    async def _run_until_closed(self) -> None:
        stream = self._stream.state
        while not (stream.accepted or stream.outcome):
            await self._stream.changed()
        if not stream.outcome:
            relaying = asyncio.create_task(self._relay_upstream())
            self._upstream_task = relaying
            relaying.add_done_callback(lambda _: self._stream.wake())
            while not (stream.outcome or relaying.done()):
                await self._stream.changed()
            await streams.cancel_and_wait(relaying)
            if not stream.outcome:
                # _relay_upstream failed with an unexpected error, so it is
                # not known whether the work ran.
                exc = None if relaying.cancelled() else relaying.exception()
                logger.error("flow %s ends unknown: %r", self.flow.hex(), exc)
                stream.end(messages.UNKNOWN, "internal error")
                self._stream.wake()
        self.ended = True
        self._on_end(stream.outcome, stream.reason)
        if stream.outcome != messages.ANSWERED:
            asyncio.get_running_loop().call_later(OUTCOME_WAIT_S, self._expire)
        while not (stream.is_finished() or self._caller_expired):
            await self._stream.changed()
        self._closed = True
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for task in self._link_tasks:
            task.cancel()
        self._on_closed()

    def _expire(self) -> None:
        self._caller_expired = True
        self._stream.wake()

    # Connections from balancers.

    async def _run_link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = streams.format_peer(writer)
        streams.enable_keepalive(writer)
        try:
            await self._stream.run_link(
                lambda: streams.read_frame(reader, peer),
                lambda data: streams.write_frame(writer, data),
                peer,
            )
        except errors.WireError as exc:
            self._bad_input(str(exc))
        except OSError:
            pass  # the caller resumes the flow on another connection
        finally:
            streams.close_after_flush(writer)

    def _on_link_end(self, task: asyncio.Task) -> None:
        self._link_tasks.pop(task, None)
        if not self._link_tasks:
            self._disconnected_since = self._clock()
            self._check_idle()

    def _check_idle(self) -> None:
        if self._closed:
            return
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        remaining_s = self._disconnected_since + MAX_IDLE_S - self._clock()
        if remaining_s > 0:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(remaining_s, self._check_idle)
        elif not self._link_tasks:
            self.close(messages.UNKNOWN, f"no connection for {MAX_IDLE_S:g} s")
            self._expire()

    # Connection to the upstream.

    async def _relay_upstream(self) -> None:
        """Relays the stream to the upstream and ends it with an outcome."""
        # The upstream may accept the connection before the loop notices.
        self._upstream_dialled = True
        try:
            reader, writer = await self._connect_upstream()
        except errors.OutcomeUnknownError as exc:
            self.close(messages.UNKNOWN, exc.reason)
            return
        except errors.CrocusmuxError as exc:
            self._upstream_dialled = False
            self.close(messages.REFUSED, exc.reason)
            return
        except (OSError, TimeoutError) as exc:
            self._upstream_dialled = False
            self.close(messages.REFUSED, f"cannot reach the upstream: {exc}")
            return
        upload = asyncio.create_task(self._copy_to_upstream(writer))
        completed = False
        try:
            answer_bytes = await self._copy_from_upstream(reader)
            # An upstream may answer before it has read the whole request, but
            # without answer bytes only a fully sent request counts as answered.
            if not (answer_bytes or upload.done()):
                raise ConnectionError("closed without an answer")
            try:
                await upload
            except OSError:
                if not answer_bytes:
                    raise
            completed = True
            self.close(messages.ANSWERED)
        except OSError as exc:
            self.close(messages.UNKNOWN, f"the upstream broke off: {exc}")
        finally:
            await streams.cancel_and_wait(upload)
            if completed:
                streams.close_after_flush(writer)
            else:
                # A reset tells the upstream that the flow did not complete.
                streams.abort_with_reset(writer)

    async def _copy_to_upstream(self, writer: asyncio.StreamWriter) -> None:
        while data := await self._stream.read(frames.CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
        if self._stream.state.at_eof():
            writer.write_eof()
            await writer.drain()

    async def _copy_from_upstream(self, reader: asyncio.StreamReader) -> int:
        size = 0
        while data := await reader.read(frames.CHUNK_BYTES):
            size += len(data)
            await self._stream.write(data)
        self._stream.state.write_eof()
        self._stream.wake()
        return size
