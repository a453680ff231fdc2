import asyncio
import contextlib
import gc
import logging
import random
import socket
import time

from behave import given
from behave import then
from behave import when

from crocusmux import demo
from crocusmux import errors
from crocusmux import messages
from crocusmux import operations
from crocusmux import settings
from crocusmux import testbed
from crocusmux import wire
from crocusmux.client import flow as client_flow
from crocusmux.core.flows import slots
from crocusmux.daemons import relay
from features import loop as paused

STEP_S = 0.02
# After this time all members are older than the retransmit window.
RETRANSMIT_WINDOW_PASSED_S = 60.0
# After this time the slow start of new upstreams is over.
SLOW_START_S = 21.0
SERVICE_TIMES_S = (0.05, 0.1, 0.2)
REFUSAL = b"NOT RUN\n"
# Largest read of asyncio's stream transport.
READ_BYTES = 262_144


class Site:
    """A small system with a simulated clock."""

    def __init__(self, balancers, **overrides):
        self.loop = paused.PausedLoop()
        asyncio.set_event_loop(self.loop)
        self.log = []
        self.handler = logging.Handler()
        self.handler.emit = lambda record: self.log.append(record.getMessage())
        logging.getLogger("crocusmux").addHandler(self.handler)
        self.rng = random.Random(1)
        # Random addresses, so that concurrent runs do not use the same ones.
        self.system = demo.DemoSystem(
            self.rng, SERVICE_TIMES_S, balancers, **overrides
        )
        number = random.SystemRandom().randrange(2, 250 * 250)
        self.system.prefix = f"127.{number // 250 + 2}.{number % 250}"
        self.tasks = []
        self.run(self.system.start())

    def step_clock(self, step=STEP_S):
        """Advances the clock, and gives nng's threads real time to deliver."""
        self.loop.advance(step)
        self.loop.run_until_complete(self.loop._run_iterations(10))
        time.sleep(0.001)
        self.loop.run_until_complete(self.loop._run_iterations(4))

    def until(self, condition, limit, step=STEP_S):
        elapsed = 0.0
        while not condition():
            assert elapsed < limit, f"condition not met in {limit} s"
            self.step_clock(step)
            elapsed += step
        return elapsed

    def wait(self, seconds, step=STEP_S):
        end = self.loop.time() + seconds
        self.until(lambda: self.loop.time() >= end, seconds + 1, step)

    def spawn(self, awaitable):
        task = self.loop.create_task(awaitable)
        self.tasks.append(task)
        return task

    def run(self, awaitable, limit=30.0):
        task = self.spawn(awaitable)
        self.until(task.done, limit)
        return task.result()

    def close(self):
        logging.getLogger("crocusmux").removeHandler(self.handler)
        self.run(self.system.stop())
        remaining = asyncio.all_tasks(self.loop)
        for task in remaining:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*remaining, return_exceptions=True)
        )
        self.loop.close()
        asyncio.set_event_loop(None)

    def ip(self, number=1):
        return f"{self.system.prefix}.{10 + number}"

    async def connect(self, port, text, number=1):
        stream = await asyncio.open_connection(self.ip(number), port)
        stream[1].write(text)
        return stream

    async def fetch(self, port, text, number=1):
        reader, writer = await self.connect(port, text, number)
        writer.write_eof()
        response = await reader.read()
        writer.close()
        return response

    async def book(self, booking, number=1):
        return await self.fetch(7002, b"BOOK %d\n" % booking, number)

    def open_feed(self, number=1):
        feed = Feed(self, number)
        self.until(lambda: feed.lines, 3.0)
        return feed

    def check_bookings(self, ids, limit=10.0):
        tasks = [self.spawn(self.book(i, 1 + i % 2)) for i in ids]
        elapsed = self.until(lambda: all(t.done() for t in tasks), limit)
        for booking, task in zip(ids, tasks, strict=True):
            assert task.result().startswith(b"BOOKED %d " % booking), task
        self.check_runs(ids, 1)
        return elapsed

    def check_runs(self, ids, most):
        for booking in ids:
            assert self.runs(booking) <= most, booking

    def runs(self, booking):
        return sum(
            u.runs.get(str(booking), 0) for u in self.system.upstreams.values()
        )

    def check_continues(self, *feeds):
        before = [feed.lines for feed in feeds]
        self.until(
            lambda: all(
                f.lines > b + 5 for f, b in zip(feeds, before, strict=True)
            ),
            5.0,
        )
        assert not any(feed.end for feed in feeds)

    def bad_inputs(self, key):
        parts = [n.balancer for n in self.system.balancers.values()]
        parts += [n.agent for n in self.system.agents.values()]
        return sum(part.bad_input.get(key, 0) for part in parts)

    def hosts_by_age(self):
        """Returns the agents' hosts in the order of joining."""
        core = next(iter(self.system.agents.values())).agent.core
        joined = core._services_by_name["rounds"].joined_epoch
        return sorted(joined, key=lambda host: (joined[host], host))

    def upstream_of(self, feed):
        return self.system.upstreams[feed.name]

    def agent_of(self, feed):
        return "upstream-" + feed.name.rpartition("-")[2]


class Feed:
    """A TCP feed that checks its lines."""

    def __init__(self, site, number):
        self.lines, self.name, self.end = 0, "", None
        self.refusals = 0
        self.writer = None
        self.task = site.spawn(self.read(site, number))

    async def read(self, site, number):
        try:
            line = REFUSAL
            while line == REFUSAL:
                reader, self.writer = await site.connect(
                    7001, b"FEED\n", number
                )
                line = await reader.readline()
                if line == REFUSAL:
                    self.refusals += 1
                    self.writer.close()
                    await asyncio.sleep(0.1)
            while line:
                count, name = line.decode().split()
                assert int(count) == self.lines, line
                assert self.name in ("", name), line
                self.lines, self.name = self.lines + 1, name
                line = await reader.readline()
            self.end = "closed"
        except ConnectionError:
            self.end = "reset"


def start(context, balancers, **overrides):
    context.site = None
    context.site = Site(balancers, **overrides)
    context.add_cleanup(context.site.close)


@given("a system with {count:d} balancers")
def plain_system(context, count):
    start(context, count)


@given(
    "a system with {count:d} balancers and at most {most:d} connections each"
)
def limited_system(context, count, most):
    start(context, count, max_connections=most)


@given("a system with {count:d} balancers and a drain time of {seconds:d} s")
def draining_system(context, count, seconds):
    start(context, count, drain_s=float(seconds))


@when("a caller asks for {size:d} bytes and never reads")
def open_without_reading(context, size):
    sock = socket.create_connection((context.site.ip(), 7001))
    context.add_cleanup(sock.close)
    sock.sendall(b"SEND %d\n" % size)
    context.size = size


@then("the upstream stops sending and all buffers stay within their limits")
def check_backpressure(context):
    site = context.site
    site.until(lambda: any(u.sent for u in site.system.upstreams.values()), 3.0)
    last, unchanged_turns = 0, 0
    while unchanged_turns < 50:
        site.step_clock()
        sent = sum(u.sent for u in site.system.upstreams.values())
        unchanged_turns = unchanged_turns + 1 if sent == last else 0
        last = sent
    assert 0 < last < context.size, last
    limit = settings.defaults()["buffer_bytes"]
    readers = [o for o in gc.get_objects() if type(o) is asyncio.StreamReader]
    writers = [o for o in gc.get_objects() if type(o) is asyncio.StreamWriter]
    read_sizes = [len(r._buffer) for r in readers]
    write_sizes = [
        w.transport.get_write_buffer_size()
        for w in writers
        if not w.transport.is_closing()
    ]
    # A stream accepts one more read or chunk before it is paused.
    assert limit <= max(read_sizes) <= limit + READ_BYTES, read_sizes
    chunk = relay.CHUNK_BYTES + relay.LENGTH_PREFIX.size
    assert limit <= max(write_sizes) <= limit + chunk, write_sizes


@then("a feed and {count:d} bookings continue")
def check_feed_and_bookings(context, count):
    feed = context.site.open_feed()
    context.site.check_continues(feed)
    context.site.check_bookings(range(count))


@then("a caller that closes its sending side gets a response")
def half_closed_request(context):
    data = b"LOG\n" + bytes(1_000_000)
    assert (
        context.site.run(context.site.fetch(7001, data)) == b"LOGGED 1000000\n"
    )


@then("an upstream that closes its sending side reads to the end")
def half_closed_response(context):
    site = context.site

    async def upload():
        reader, writer = await site.connect(7001, b"HALF\n")
        assert await reader.read() == b""
        for _ in range(20):
            writer.write(bytes(50_000))
            await writer.drain()
        writer.write_eof()

    site.run(upload())
    upstreams = site.system.upstreams.values()
    site.until(lambda: sum(u.read for u in upstreams) == 1_000_000, 5.0)
    site.until(lambda: sum(u.ends.count("whole") for u in upstreams) == 2, 5.0)


@then("a response of {size:d} bytes arrives complete")
def complete_response(context, size):
    response = context.site.run(context.site.fetch(7001, b"SEND %d\n" % size))
    assert response == testbed.test_pattern(size)


@when("{who} resets an open flow")
def reset_flow(context, who):
    site = context.site
    feed = context.feed = site.open_feed()
    if who == "the caller":
        relay.reset_connection(feed.writer)
    elif who == "the upstream":
        site.upstream_of(feed).close()
    else:
        site.spawn(site.system.agents.pop(site.agent_of(feed)).kill())


@then("{other} sees a reset")
def check_reset(context, other):
    site, feed = context.site, context.feed
    if other == "the caller":
        site.until(lambda: feed.end, 3.0)
        assert feed.end == "reset", feed.end
    else:
        upstream = site.upstream_of(feed)
        site.until(lambda: upstream.ends, 3.0)
        assert upstream.ends == ["reset"], upstream.ends


@when(
    "{count:d} feeds are open and {more:d} more connections come to one balancer"
)
def flood(context, count, more):
    site = context.site
    context.feeds = [site.open_feed() for _ in range(count)]
    context.refused = [site.spawn(site.book(n)) for n in range(more)]


@then("the {count:d} read the refusal reply and are counted")
def check_refused(context, count):
    site = context.site
    site.until(lambda: all(t.done() for t in context.refused), 5.0)
    assert {t.result() for t in context.refused} == {REFUSAL}
    assert site.bad_inputs("connection-limit") == count
    site.check_runs(range(count), 0)
    assert site.run(site.book(99, 2)).startswith(b"BOOKED 99 ")


@then("the {count:d} feeds continue")
def check_feeds_continue(context, count):
    assert len(context.feeds) == count
    context.site.check_continues(*context.feeds)


@when("a feed runs and bad datagrams and relay connections arrive")
def bad_input(context):
    site = context.site
    context.feed = site.open_feed()
    good, _ = wire.make_codec(bytes.fromhex(demo.SHARED_KEY))
    other, _ = wire.make_codec(bytes(16))
    ping = messages.Ping(0, 1)
    tag = wire.make_tag_function(bytes.fromhex(demo.SHARED_KEY))
    body = bytes([messages.PROTOCOL_VERSION + 1]) + good(ping)[17:]
    bad = [b"", b"x", bytes(200), other(ping), tag(body) + body]
    bad += [good(ping)[:-1], bytes(wire.MAX_DATAGRAM_BYTES + 400)]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    agent = f"{site.system.prefix}.21"
    for datagram in bad:
        sock.sendto(datagram, (site.ip(), 7100))
        sock.sendto(datagram, (agent, 7100))
    size = wire.MAX_PAYLOAD_BYTES + 1
    sock.sendto(bytes(size), (site.ip(), 7003))
    sock.close()
    strangers = [
        b"GET / HTTP/1.0\r\n\r\n",
        relay.LENGTH_PREFIX.pack(4) + b"junk",
        relay.LENGTH_PREFIX.pack(len(good(ping))) + good(ping),
        b"",
    ]
    context.strangers = []
    for text in strangers:
        conn = socket.create_connection((agent, 7101))
        conn.sendall(text)
        context.strangers.append(conn)
    context.expected = {
        "wire": 2 * len(bad),
        "oversized-datagram": 1,
        "relay": len(strangers),
    }


@then("each is counted and the feed continues")
def check_bad_input_counted(context):
    site = context.site
    for key, count in context.expected.items():
        site.until(lambda k=key, c=count: site.bad_inputs(k) >= c, 4.0)
        assert site.bad_inputs(key) == count, (key, site.bad_inputs(key))
    for conn in context.strangers:
        conn.close()
    site.check_continues(context.feed)
    site.check_bookings(range(5))


@when("an upstream refuses connections")
def refuse_connections(context):
    site = context.site
    site.wait(SLOW_START_S, step=0.1)
    # New requests fill the retry budget.
    for booking in range(100, 240):
        site.check_bookings([booking])
    site.system.upstreams["rounds-1"].close()


@then("{count:d} bookings are answered and each ran exactly once")
def check_booked(context, count):
    for booking in range(count):
        context.site.check_bookings([booking])
        assert context.site.runs(booking) == 1
    failed_dials = sum("dial upstream" in line for line in context.site.log)
    assert failed_dials, "no booking was placed at the upstream that refuses"


class UdpFeed:
    """UDP flow through the fabric that counts its replies."""

    def __init__(self, site):
        self.site, self.replies = site, []
        self.sock = testbed.open_socket(site.system.prefix, self.replies.append)

    def exchange(self, count):
        """Sends datagrams and returns the number of replies."""
        self.replies.clear()
        for number in range(count):
            text = b"position %d" % number
            self.sock.send(text, self.site.system.fabric.address)
            self.site.wait(0.1)
        return len(self.replies)


async def library_feed(site, got, numbers=(1, 2, 3), seed=1):
    urls = [f"ws://{site.ip(n)}:7102" for n in numbers]
    flow = await client_flow.open_flow(
        urls, "rounds", "feed", random.Random(seed)
    )
    await flow.write(b"FEED\n")
    while data := await flow.read(4096):
        got.extend(data)


def check_library(got):
    lines = bytes(got).decode().splitlines()
    numbers = [int(line.split()[0]) for line in lines[:-1]]
    assert numbers == list(range(len(numbers)))
    assert len({line.split()[1] for line in lines[:-1]}) == 1
    return len(numbers)


@when("a balancer is killed under UDP, library and TCP feeds")
def kill_balancer(context):
    site = context.site
    context.feeds = [site.open_feed(n) for n in (1, 2, 3)]
    context.udp = UdpFeed(site)
    assert context.udp.exchange(10) == 10
    context.library_bytes = [bytearray() for _ in range(4)]
    context.library_tasks = [
        site.spawn(library_feed(site, got, seed=seed))
        for seed, got in enumerate(context.library_bytes)
    ]
    site.until(lambda: all(context.library_bytes), 5.0)
    context.names = {a.split(b" by ")[1] for a in context.udp.replies}
    site.run(site.system.balancers.pop("entry-1").kill())


@then("only the TCP feeds of that balancer break")
def check_only_tcp_broke(context):
    site = context.site
    broken_feed, *open_feeds = context.feeds
    site.until(lambda: broken_feed.end, 3.0)
    assert broken_feed.end == "reset"
    site.check_continues(*open_feeds)
    assert context.udp.exchange(20) == 20
    names = {a.split(b" by ")[1] for a in context.udp.replies}
    assert names == context.names and len(names) == 1, names
    before = [check_library(got) for got in context.library_bytes]
    site.wait(4.0)
    for got, old in zip(context.library_bytes, before, strict=True):
        assert check_library(got) > old + 10
    assert not any(task.done() for task in context.library_tasks)


@when("a balancer with an open request and a feed stops")
def stop_balancer(context):
    site = context.site
    for upstream in site.system.upstreams.values():
        upstream.service_s = 1.0
    context.request = site.spawn(site.book(1))
    context.feed = site.open_feed()
    site.until(lambda: site.runs(1), 3.0)
    context.node = site.system.balancers.pop("entry-1")
    context.started_at = site.loop.time()
    context.stop = site.spawn(context.node.stop())


@then("the request is answered")
def check_request_answered(context):
    context.site.until(context.request.done, 3.0)
    assert context.request.result().startswith(b"BOOKED 1 ")


@then("the feed is cut at the deadline, counted and logged")
def check_feed_cut(context):
    site, feed = context.site, context.feed
    drain_s = context.node.cfg.drain_s
    site.until(lambda: feed.end or context.node.balancer.cut_connections, 9.0)
    assert site.loop.time() - context.started_at >= drain_s - STEP_S
    site.until(context.stop.done, 9.0)
    assert feed.end == "reset", feed.end
    assert context.node.balancer.cut_connections == 1
    assert context.node.telemetry.drain_timeouts == 1
    assert any("drain deadline" in line for line in site.log)
    assert site.run(site.book(2, 2)).startswith(b"BOOKED 2 ")


@when("an agent with open requests stops with the object API {state}")
def stop_agent(context, state):
    site = context.site
    site.wait(RETRANSMIT_WINDOW_PASSED_S, step=0.1)
    for upstream in site.system.upstreams.values():
        upstream.service_s = 1.0
    host = site.hosts_by_age()[-1]
    context.upstream = site.system.upstreams["rounds-" + host[-1]]
    context.requests = []
    # The placement is random, so six bookings may all go to other upstreams.
    while not context.upstream.runs:
        first = len(context.requests)
        assert first < 60, "no booking was placed at the agent that stops"
        ids = range(first, first + 6)
        context.requests += [site.spawn(site.book(i, 1 + i % 2)) for i in ids]
        site.until(lambda ids=ids: all(map(site.runs, ids)), 3.0)
    if state == "down":
        site.system.object_api.faults.down = True
    context.stop = site.spawn(site.system.agents.pop(host).stop())


@then("its requests are answered and it gets no new requests after 2 s")
def check_agent_stopped(context):
    site = context.site
    site.wait(2.0)
    for upstream in site.system.upstreams.values():
        upstream.service_s = 0.05
    runs_before = dict(context.upstream.runs)
    for booking in range(100, 120):
        site.check_bookings([booking])
    assert context.upstream.runs == runs_before
    site.until(context.stop.done, 20.0)
    for booking, task in enumerate(context.requests):
        assert task.result().startswith(b"BOOKED %d " % booking)
    assert context.upstream.ends.count("whole") == len(runs_before)


@when("the object API is down and an agent is killed")
def agent_dies(context):
    agent_dies_after(context, RETRANSMIT_WINDOW_PASSED_S, -1)


@when("the object API is down and the first agent is killed")
def first_agent_dies(context):
    agent_dies_after(context, RETRANSMIT_WINDOW_PASSED_S, 0)


@when(
    "the object API is down and an agent is killed {seconds:d} s after the start"
)
def agent_dies_early(context, seconds):
    agent_dies_after(context, seconds, -1)


def agent_dies_after(context, seconds, age_index):
    site = context.site
    site.wait(seconds, step=0.1)
    site.check_bookings(range(5))
    site.system.object_api.faults.down = True
    site.wait(2.0)
    context.dead = site.hosts_by_age()[age_index]
    agent = site.system.agents.pop(context.dead)
    site.run(agent.kill())
    site.system.upstreams["rounds-" + context.dead[-1]].close()
    context.booked = [site.spawn(retry_book(site, 100 + i)) for i in range(12)]


async def retry_book(site, booking):
    """Books until it is not refused; returns the response and the time."""
    started_at = site.loop.time()
    while (response := await site.book(booking, 1 + booking % 2)) == REFUSAL:
        await asyncio.sleep(0.1)
    return response, site.loop.time() - started_at


class UdpFlow:
    """A UDP flow without the fabric, so that its hash slot is known."""

    def __init__(self, site):
        self.site, self.wait = site, None
        self.started_at = site.loop.time()
        self.sock = testbed.open_socket(site.system.prefix, self.on_reply)

    def on_reply(self, reply):
        if self.wait is None and reply.startswith(b"position by "):
            self.wait = self.site.loop.time() - self.started_at

    def owner(self):
        core = self.site.system.balancers["entry-1"].balancer.core
        address = core.find_address("rounds", "position")
        flow = slots.udp_flow_id(address.key, self.sock.address)
        table = address.service.table
        return table.owner(slots.slot_of(flow, table.hash_slots))

    def send(self):
        number = 1 + self.sock.address[1] % 2
        self.sock.send(b"position", (self.site.ip(number), 7003))


def udp_flows(context, count, of_dead):
    """Opens UDP flows of the dead agent's hash slots, or of other slots."""
    site, flows = context.site, []
    while len(flows) < count:
        flow = UdpFlow(site)
        if (flow.owner() == context.dead) == of_dead:
            flows.append(flow)
        else:
            flow.sock.close()
    return flows


def check_udp(site, flows, limit):
    end = site.loop.time() + limit
    while site.loop.time() < end:
        for flow in flows:
            if flow.wait is None:
                flow.send()
        site.wait(0.1)
    waits = sorted(-1.0 if f.wait is None else f.wait for f in flows)
    print("waits of UDP flows, s:", *(f"{wait:.2f}" for wait in waits))
    for flow in flows:
        flow.sock.close()
    assert waits[0] >= 0, "a flow got no reply"


@then("{tcp:d} feeds and {udp:d} UDP flows of its slots run within {limit:d} s")
def check_served(context, tcp, udp, limit):
    site = context.site
    feeds = [Feed(site, 1 + n % 2) for n in range(tcp)]
    check_udp(site, udp_flows(context, udp, True), limit)
    lines = [(feed.lines, feed.refusals) for feed in feeds]
    print("feeds after an agent died, (lines, refusals):", *lines)
    assert all(feed.lines for feed in feeds)


@then("{udp:d} UDP flows of the other slots run within {limit:d} s")
def check_other_slots_served(context, udp, limit):
    check_udp(context.site, udp_flows(context, udp, False), limit)


@then("{count:d} bookings are served within {limit:d} s and none ran twice")
def check_bookings_served(context, count, limit):
    site = context.site
    # Callers repeat refused bookings, so all end unless a connection breaks.
    site.until(lambda: all(t.done() for t in context.booked), 2 * limit)
    results = [t.result() for t in context.booked]
    assert len(results) == count
    waits = sorted(wait for _, wait in results)
    print("waits of bookings, s:", *(f"{wait:.2f}" for wait in waits))
    assert waits[-1] <= limit, waits
    assert all(text.startswith(b"BOOKED") for text, _ in results), results
    site.check_runs(range(100, 100 + count), 1)


@then("all hash slots taken over have complete state {seconds:d} s later")
def check_slots_complete(context, seconds):
    context.site.wait(seconds, step=0.1)
    taken_over = [
        owned
        for agent in context.site.system.agents.values()
        for owned in agent.agent.core._services_by_name[
            "rounds"
        ].ownership.owned.values()
        if owned.term[1]
    ]
    assert taken_over
    assert all(owned.serves_all for owned in taken_over)


@when("an agent with a library feed stops")
def stop_with_library(context):
    site = context.site
    got = bytearray()
    context.library_tasks = site.spawn(library_feed(site, got, (1, 2)))
    site.until(lambda: got.count(b"\n") > 2, 5.0)
    name = bytes(got).decode().split()[1]
    context.started_at = site.loop.time()
    agent = site.system.agents.pop("upstream-" + name[-1])
    context.stop = site.spawn(agent.stop())


@then("the caller learns that the outcome is unknown")
def check_outcome_unknown(context):
    context.site.until(context.library_tasks.done, 6.0)
    exc = context.library_tasks.exception()
    assert isinstance(exc, errors.OutcomeUnknownError), exc
    assert "drain" in exc.reason, exc


@then("the stop takes at most {limit:d} s")
def check_stop_time(context, limit):
    remaining_s = limit - (context.site.loop.time() - context.started_at)
    context.site.until(context.stop.done, remaining_s)


@when("a library flow is opened at a balancer {that}")
def open_at(context, that):
    site = context.site
    balancer = site.system.balancers["entry-1"].balancer
    service = "rounds"
    if that == "that is draining":
        balancer.draining = True
    elif that == "without the service":
        service = "unknown"
    else:
        balancer._socket.close()
        balancer._socket = None
    context.opening = site.spawn(
        balancer.open_library_flow(
            service, "feed", bytes(16), False, site.ip(100)
        )
    )


@then("the library is told to try another balancer, not of a refusal")
def check_not_refused(context):
    context.site.until(context.opening.done, 8.0)
    exc = context.opening.exception()
    assert isinstance(exc, errors.CrocusmuxError), exc
    assert not isinstance(exc, errors.FlowError), exc


@when("the control part of an agent reports a new incarnation")
def report_new_incarnation(context):
    site = context.site
    context.node = site.system.agents["upstream-1"]
    control = context.node.control
    context.number = control.incarnation + 1
    members = control.core.memberships
    control._execute(members._rejoin(site.loop.time(), members.record))


@then("the agent uses that incarnation and gets bookings")
def check_new_incarnation(context):
    site, agent = context.site, context.node.agent
    assert agent.incarnation == context.number
    site.until(
        lambda: all(
            member.incarnation == context.number
            for n in site.system.nodes()
            for member in n.store.membership("rounds").members
            if member.host == "upstream-1"
        ),
        10.0,
    )
    site.wait(1.0)
    upstream = site.system.upstreams["rounds-1"]
    # Ten at a time, as forty can miss their deadline during slow start.
    for first in range(0, 40, 10):
        site.check_bookings(range(first, first + 10), limit=20.0)
    assert upstream.runs


@when("the object API is down for {seconds:d} s under a feed")
def platform_down(context, seconds):
    site = context.site
    context.feed = site.open_feed()
    site.system.object_api.faults.down = True
    site.wait(seconds, step=1.0)


@then("the feed and {count:d} bookings continue")
def check_feed_open(context, count):
    context.site.check_continues(context.feed)
    context.site.check_bookings(range(count))


@then("a new balancer gets its configuration from its peers")
def start_with_peers(context):
    site = context.site
    balancer = site.run(site.system.start_balancer(9))
    site.until(lambda: balancer.health.ready, 10.0)
    assert site.run(site.book(901, 9)).startswith(b"BOOKED 901 ")


@then("a new balancer without peers serves nothing and reports the reason")
def start_without_peers(context):
    site = context.site
    dead_peer = f"tcp://{site.system.prefix}.99:7103"
    site.run(site.system.start_balancer(8, peers=[dead_peer]))
    site.wait(10.0)

    async def get_ready():
        reader, writer = await asyncio.open_connection(site.ip(8), 7102)
        writer.write(b"GET /ready HTTP/1.0\r\n\r\n")
        response = await reader.read()
        writer.close()
        return response

    response = site.run(get_ready())
    assert b" 503 " in response, response
    assert b"no preset in force is known" in response, response
    with contextlib.suppress(ConnectionRefusedError):
        site.run(site.book(801, 8))
        raise AssertionError("the balancer accepts connections")


@when("the preset is switched while {count:d} bookings run")
def switch(context, count):
    site = context.site
    tasks = [site.spawn(site.book(i, 1 + i % 3)) for i in range(count)]
    site.wait(0.1)
    context.stored = site.run(
        operations.use_preset(site.system.operator, "peak")
    )
    site.until(lambda: all(t.done() for t in tasks), 10.0)
    for booking, task in enumerate(tasks):
        assert task.result().startswith(b"BOOKED %d " % booking)
    site.check_runs(range(count), 1)


def in_force(site):
    return {
        (n.store.version("in-force"), n.store.in_force().preset.name)
        for n in site.system.nodes()
    }


@then("it is in force on all daemons and does not revert")
def check_in_force(context):
    site = context.site
    expected = {(context.stored.version, "peak")}
    site.until(lambda: in_force(site) == expected, 2.0)
    for _ in range(100):
        site.wait(0.1)
        assert in_force(site) == expected


@then("of two concurrent writes by operators one succeeds")
def race(context):
    site = context.site
    operator, version = site.system.operator, context.stored.version

    async def both():
        return await asyncio.gather(
            *(
                operations.use_preset(operator, name, expect=version)
                for name in ("ordinary", "peak")
            ),
            return_exceptions=True,
        )

    results = site.run(both())
    losers = [r for r in results if isinstance(r, errors.ConflictError)]
    winners = [r for r in results if not isinstance(r, BaseException)]
    assert len(losers) == len(winners) == 1, results
    name = ("ordinary", "peak")[results.index(winners[0])]
    expected = {(winners[0].version, name)}
    site.until(lambda: in_force(site) == expected, 3.0)
