import asyncio
import contextlib
import random

from behave import given
from behave import then
from behave import when
from tornado import websocket

from crocusmux import errors
from crocusmux import frames
from crocusmux import streams
from crocusmux.client import flow as client
from crocusmux.daemons import resumable
from crocusmux.daemons import status
from features import loop as paused

LOCAL = "127.0.0.1"
SIZE = 300_000
HELLO = frames.Hello(bytes(16), False, 0)
FLOOD = 20_000_000
KIB_256 = 262_144
# More than the kernel buffers in three connections.
KERNEL_BYTES = 16_000_000


class Site:
    """Two balancers' endpoints, one holder and a TCP upstream."""

    def __init__(self):
        self.loop = paused.PausedLoop()
        asyncio.set_event_loop(self.loop)
        self.rng = random.Random(1)
        self.request = random.Random(2).randbytes(SIZE)
        self.answer = random.Random(3).randbytes(SIZE)
        self.sessions, self.hellos, self.outcomes, self.closed = {}, [], [], []
        self.reports, self.upstreams, self.relays = [], [], []
        self.break_rng, self.attach_error, self.reset = None, None, None
        self.received, self.sent = bytearray(), 0
        self.holder_stalls, self.serve = False, self.exchange
        self.run(self.start())

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def finish(self, awaitable):
        """Advances the clock until a coroutine has ended; returns its task."""
        task = self.loop.create_task(awaitable)
        self.loop.advance_until(task.done, 0.25, 400)
        return task

    async def start(self):
        self.upstream = await asyncio.start_server(self.on_upstream, LOCAL, 0)
        self.holder = await asyncio.start_server(self.on_relay, LOCAL, 0)
        self.ports = [
            server.sockets[0].getsockname()[1]
            for server in (self.upstream, self.holder)
        ]
        self.balancers = []
        for _ in range(2):
            end = resumable.FlowEndpoint(self.attach, self.reports.append, 100)
            health = status.Health("b", "balancer", "abay")
            server = status.start_http_server(
                f"{LOCAL}:0", health, bytes, None, end.handlers()
            )
            self.balancers.append((end, server))
        self.urls = [f"ws://{LOCAL}:{s.port}" for _, s in self.balancers]

    async def stop(self):
        for end, server in self.balancers:
            end.close_connections()
            await server.stop()
        self.holder.close()
        self.upstream.close()
        self.loop.advance(streams.CLOSE_TIMEOUT_S)
        for _ in range(20):
            await self.loop.run_iteration()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        await streams.cancel_and_wait(*rest)

    def close(self):
        self.run(self.stop())
        self.loop.close()
        asyncio.set_event_loop(None)

    async def attach(self, service, address, flow_id, resume, caller):
        assert (service, address, caller) == ("rounds", "feed", LOCAL)
        self.hellos.append(resume)
        if self.attach_error:
            raise self.attach_error
        if self.break_rng and len(self.hellos) % 3 == 0:
            raise errors.RefusedNotRunError("no such service", step="attach")
        reader, writer = await asyncio.open_connection(LOCAL, self.ports[1])
        writer.write(flow_id)
        self.relays.append(writer)
        if self.break_rng:
            return BreakingReader(reader, writer, self.break_rng), writer
        return reader, writer

    async def on_relay(self, reader, writer):
        if self.holder_stalls:
            return  # keeps the connection open
        flow_id = await reader.readexactly(16)
        if flow_id not in self.sessions:
            self.sessions[flow_id] = resumable.ResumableSession(
                b"L" + bytes(8) + flow_id,
                lambda: asyncio.open_connection(LOCAL, self.ports[0]),
                self.loop.time,
                lambda *end: self.outcomes.append(end),
                on_closed=lambda: self.closed.append(flow_id),
                bad_input=self.reports.append,
            )
        self.sessions[flow_id].add_connection(reader, writer)

    async def on_upstream(self, reader, writer):
        self.upstreams.append(writer)
        try:
            await self.serve(reader, writer)
        except ConnectionResetError as exc:
            self.reset = exc
        except asyncio.CancelledError:
            pass  # end of the scenario; asyncio would log the cancellation
        writer.close()

    async def open(self):
        self.flow = await client.open_flow(
            self.urls, "rounds", "feed", self.rng
        )
        return self.flow

    async def transfer(self):
        """Sends the request and reads the answer at the same time."""
        flow = await self.open()

        async def write():
            for start in range(0, SIZE, 7_000):
                await flow.write(self.request[start : start + 7_000])
            flow.write_eof()

        writing, got = asyncio.create_task(write()), bytearray()
        while part := await flow.read(9_000):
            got += part
        await writing
        await flow.wait_closed()
        return got

    async def attempt(self):
        flow = await self.open()
        await flow.write(b"order")
        while await flow.read():
            pass
        await flow.wait_closed()

    # Behaviors of the upstream on a connection.

    async def exchange(self, reader, writer):
        for start in range(0, SIZE, 10_000):
            writer.write(self.answer[start : start + 10_000])
            self.received += await reader.read(10_000)
        while data := await reader.read(10_000):
            self.received += data
        await writer.drain()

    async def feed(self, reader, writer):
        writer.write(b"first line\n")
        while await reader.read(100):
            pass

    async def break_off(self, reader, writer):
        writer.write(b"half an ans")
        await reader.read(100)
        streams.abort_with_reset(writer)

    async def close_at_once(self, reader, writer):
        pass

    async def refuse_late(self, reader, writer):
        (session,) = self.sessions.values()
        session.close("refused", "drain deadline")

    async def lose_holder(self, reader, writer):
        self.holder.close()
        for relay in self.relays:
            streams.abort_with_reset(relay)
        await asyncio.Event().wait()

    async def never_read(self, reader, writer):
        writer.transport.pause_reading()
        await asyncio.Event().wait()

    async def flood(self, reader, writer):
        while self.sent < FLOOD:
            writer.write(bytes(50_000))
            await writer.drain()
            self.sent += 50_000


class BreakingReader:
    """Relay reader whose connection breaks after some frames."""

    def __init__(self, reader, writer, rng):
        self._reader, self._writer = reader, writer
        self._left = 2 * rng.randint(1, 5)  # a frame takes two reads

    async def readexactly(self, size):
        if self._left == 0:
            streams.abort_with_reset(self._writer)
            raise ConnectionResetError("broken by the test")
        self._left -= 1
        return await self._reader.readexactly(size)


@given("two balancers, one holder and a TCP upstream")
def make_site(context):
    context.site = Site()
    context.add_cleanup(context.site.close)


@given("that {fault}")
def arrange_fault(context, fault):
    site = context.site
    if fault == "the upstream is closed":
        site.upstream.close()
    elif fault == "no balancer listens":
        for _, server in site.balancers:
            site.run(server.stop())
    elif fault.startswith("attach"):
        site.attach_error = {
            "refused": errors.RefusedNotRunError("queue-full", step="attach"),
            "unknown": errors.OutcomeUnknownError("holder lost", step="attach"),
            "host": ConnectionRefusedError("no relay"),
        }[fault.split()[-1]]
    elif fault == "the holder never reads":
        site.holder_stalls = True
    else:
        site.serve = {
            "the upstream breaks off": site.break_off,
            "the upstream closes at once": site.close_at_once,
            "the agent refuses late": site.refuse_late,
            "the holder vanishes": site.lose_holder,
            "the upstream never reads": site.never_read,
            "the upstream floods": site.flood,
        }[fault]


@when(
    "300 kB pass both ways while connections break and balancers lack configuration, seed {n:d}"
)
def transfer_with_breaks(context, n):
    context.site.break_rng = random.Random(n)
    context.task = context.site.finish(context.site.transfer())


@when("300 kB pass both ways while the balancer in use stops")
def transfer_across_stop(context):
    site = context.site
    task = site.loop.create_task(site.transfer())
    site.loop.settle(lambda: len(site.received) > 50_000)
    assert not task.done(), "nothing was left to resume"
    used = [end for end, _ in site.balancers if end.connections]
    site.loop.call_soon(used[0].close_connections)
    context.task = site.finish(asyncio.wait_for(task, None))


@then(
    "both directions arrived byte for byte over {count:d} or more connections"
)
def check_transfer(context, count):
    site = context.site
    assert context.task.result() == site.answer
    assert site.received == site.request
    assert len(site.relays) >= count, len(site.relays)


@then("one upstream was used, the outcome is answered, later Hellos resumed")
def check_answered(context):
    site = context.site
    # If the caller's last frame is lost with its connection, the holder keeps
    # the outcome until the caller's idle timeout.
    site.loop.advance_until(lambda: site.closed, 1.0, 125)
    assert len(site.upstreams) == 1, len(site.upstreams)
    assert site.outcomes == [("answered", "")], site.outcomes
    hellos = site.hellos
    assert hellos[:2] == [False, True] and all(hellos[1:]), hellos


@then('a flow is {outcome} because "{reason}" with {count:d} upstream used')
def check_outcome(context, outcome, reason, count):
    site = context.site
    error = site.finish(site.attempt()).exception()
    kinds = {
        "refused": errors.RefusedNotRunError,
        "unknown": errors.OutcomeUnknownError,
    }
    assert type(error) is kinds[outcome], repr(error)
    assert reason in error.reason, error
    assert len(site.upstreams) == count, site.upstreams


@when("a caller {leaves} during its feed")
def leave(context, leaves):
    site = context.site
    site.serve = site.feed

    async def start():
        await site.open()
        assert await site.flow.read() == b"first line\n"

    site.finish(start()).result()
    if leaves == "cancels":
        site.flow.close()
        site.finish(site.flow.wait_closed()).result()
    else:
        site.run(streams.cancel_and_wait(site.flow._task))
    context.elapsed = site.loop.advance_until(lambda: site.closed, 0.25, 300)


@then('the upstream is reset after {low:d} to {high:d} s because "{reason}"')
def check_holder(context, low, high, reason):
    ((outcome, why),) = context.site.outcomes
    assert outcome == "unknown" and reason in why, why
    assert low <= context.elapsed <= high, context.elapsed
    context.site.loop.settle(lambda: context.site.reset)


@then("a caller that {does} blocks the sender of 20 MB at bounded buffers")
def check_flood(context, does):
    site = context.site

    async def ignore_window():
        url = f"{site.urls[0]}/flow/rounds/feed"
        conn = await websocket.websocket_connect(url)
        data = frames.Data(0, bytes(frames.CHUNK_BYTES))
        await conn.write_message(frames.encode(HELLO), True)
        while site.sent < FLOOD:
            await conn.write_message(frames.encode(data), True)
            site.sent += frames.CHUNK_BYTES

    async def write():
        if does == "ignores the window":
            with contextlib.suppress(websocket.WebSocketClosedError):
                await ignore_window()
            return
        await site.open()
        while does == "writes" and site.sent < FLOOD:
            await site.flow.write(bytes(50_000))
            site.sent += 50_000
        await asyncio.Event().wait()

    site.loop.create_task(write())
    site.loop.settle(lambda: site.sent)
    last, still = 0, 0
    while still < 500:  # turns of the loop
        site.run(site.loop.run_iteration())
        still = still + 1 if site.sent == last else 0
        last = site.sent
    assert 0 < site.sent < KERNEL_BYTES, site.sent
    ends = [] if site.holder_stalls else [site.flow, *site.sessions.values()]
    for stream in (end._stream for end in ends):
        assert len(stream.state._buffer) <= KIB_256
        assert stream.state.readable_bytes() <= KIB_256


@then('"{name}" gets close code {code:d}, {count:d} report and no attach')
def check_closed(context, name, code, count):
    site = context.site
    messages = {
        "text": "hello",
        "wrong version": b"\x02" + frames.encode(frames.Fin(0))[1:],
        "garbage": b"\x01\xc1",
        "data first": frames.encode(frames.Data(0, b"x")),
        "oversized": b"\x01" + bytes(frames.MAX_FRAME_BYTES),
    }

    async def send():
        url = f"{site.urls[0]}/flow/rounds/feed"
        conn = await websocket.websocket_connect(url)
        if name in messages:
            message = messages[name]
            await conn.write_message(message, isinstance(message, bytes))
        while await conn.read_message() is not None:
            pass
        return conn.close_code

    got = site.finish(send()).result()
    assert got == code, got
    site.loop.settle(lambda: not site.balancers[0][0].connections)
    assert not site.hellos, site.hellos
    assert len(site.reports) == count, site.reports
