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
from crocusmux import standins
from crocusmux import wire
from crocusmux.client import flow as client_flow
from crocusmux.core.flows import slots
from crocusmux.daemons import relay
from features import loop as paused

STEP_S = 0.02
# Members that have been there for the retransmit window.
MEMBERS_S = 60.0
# Until then a new upstream gets less work than it can do.
WARM_S = 21.0
SPEEDS_S = (0.05, 0.1, 0.2)
REFUSAL = b"NOT RUN\n"
# One read of asyncio's stream transport.
READ_BYTES = 262_144


class Site:
    """A small system under a paused clock."""

    def __init__(self, balancers, **more):
        self.loop = paused.PausedLoop()
        asyncio.set_event_loop(self.loop)
        self.log = []
        self.handler = logging.Handler()
        self.handler.emit = lambda record: self.log.append(record.getMessage())
        logging.getLogger("crocusmux").addHandler(self.handler)
        self.rng = random.Random(1)
        # The addresses differ between runs, so that two do not meet.
        self.system = demo.System(self.rng, SPEEDS_S, balancers, **more)
        number = random.SystemRandom().randrange(2, 250 * 250)
        self.system.prefix = f"127.{number // 250 + 2}.{number % 250}"
        self.tasks = []
        self.do(self.system.start())

    def pump(self, step=STEP_S):
        """Advances the clock; nng's threads get real time to deliver."""
        self.loop.advance(step)
        self.loop.run_until_complete(self.loop._turns(10))
        time.sleep(0.001)
        self.loop.run_until_complete(self.loop._turns(4))

    def until(self, condition, limit, step=STEP_S):
        taken = 0.0
        while not condition():
            assert taken < limit, f"condition not met in {limit} s"
            self.pump(step)
            taken += step
        return taken

    def wait(self, seconds, step=STEP_S):
        end = self.loop.time() + seconds
        self.until(lambda: self.loop.time() >= end, seconds + 1, step)

    def spawn(self, awaitable):
        task = self.loop.create_task(awaitable)
        self.tasks.append(task)
        return task

    def do(self, awaitable, limit=30.0):
        task = self.spawn(awaitable)
        self.until(task.done, limit)
        return task.result()

    def close(self):
        logging.getLogger("crocusmux").removeHandler(self.handler)
        self.do(self.system.stop())
        rest = asyncio.all_tasks(self.loop)
        for task in rest:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*rest, return_exceptions=True)
        )
        self.loop.close()
        asyncio.set_event_loop(None)

    # Callers.

    def ip(self, number=1):
        return f"{self.system.prefix}.{10 + number}"

    async def connect(self, port, text, number=1):
        stream = await asyncio.open_connection(self.ip(number), port)
        stream[1].write(text)
        return stream

    async def ask(self, port, text, number=1):
        reader, writer = await self.connect(port, text, number)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer

    async def book(self, ident, number=1):
        return await self.ask(7002, b"BOOK %d\n" % ident, number)

    def feed(self, number=1):
        feed = Feed(self, number)
        self.until(lambda: feed.lines, 3.0)
        return feed

    def bookings(self, idents, limit=10.0):
        tasks = [self.spawn(self.book(i, 1 + i % 2)) for i in idents]
        taken = self.until(lambda: all(t.done() for t in tasks), limit)
        for ident, task in zip(idents, tasks, strict=True):
            assert task.result().startswith(b"BOOKED %d " % ident), task
        self.check_runs(idents, 1)
        return taken

    def check_runs(self, idents, most):
        for ident in idents:
            assert self.runs(ident) <= most, ident

    def runs(self, ident):
        return sum(
            u.runs.get(str(ident), 0) for u in self.system.upstreams.values()
        )

    def goes_on(self, *feeds):
        before = [feed.lines for feed in feeds]
        self.until(
            lambda: all(
                f.lines > b + 5 for f, b in zip(feeds, before, strict=True)
            ),
            5.0,
        )
        assert not any(feed.end for feed in feeds)

    def metric(self, key):
        parts = [n.balancer for n in self.system.balancers.values()]
        parts += [n.agent for n in self.system.agents.values()]
        return sum(part.bad_input.get(key, 0) for part in parts)

    def by_age(self):
        """Returns the agents' hosts in the order in which they joined."""
        core = next(iter(self.system.agents.values())).agent.core
        joined = core._by_name["rounds"].joined
        return sorted(joined, key=lambda host: (joined[host], host))

    def upstream_of(self, feed):
        return self.system.upstreams[feed.name]

    def agent_of(self, feed):
        return "upstream-" + feed.name.rpartition("-")[2]


class Feed:
    """A TCP feed whose lines are checked."""

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


def start(context, balancers, **more):
    context.site = None
    context.site = Site(balancers, **more)
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


# A caller that never reads.


@when("a caller asks for {size:d} bytes and never reads")
def never_reads(context, size):
    sock = socket.create_connection((context.site.ip(), 7001))
    context.add_cleanup(sock.close)
    sock.sendall(b"SEND %d\n" % size)
    context.size = size


@then("the upstream stops sending and all buffers are within bounds")
def held_back(context):
    site = context.site
    site.until(lambda: any(u.sent for u in site.system.upstreams.values()), 3.0)
    last, still = 0, 0
    while still < 50:
        site.pump()
        sent = sum(u.sent for u in site.system.upstreams.values())
        still = still + 1 if sent == last else 0
        last = sent
    assert 0 < last < context.size, last
    bound = settings.defaults()["buffer_bytes"]
    readers = [o for o in gc.get_objects() if type(o) is asyncio.StreamReader]
    writers = [o for o in gc.get_objects() if type(o) is asyncio.StreamWriter]
    held = [len(r._buffer) for r in readers]
    queued = [
        w.transport.get_write_buffer_size()
        for w in writers
        if not w.transport.is_closing()
    ]
    # A stream takes one more read or chunk before it is paused.
    assert bound <= max(held) <= bound + READ_BYTES, held
    chunk = relay.CHUNK_BYTES + relay.LENGTH_PREFIX.size
    assert bound <= max(queued) <= bound + chunk, queued


@then("a feed and {count:d} bookings go on")
def feed_and_bookings(context, count):
    feed = context.site.feed()
    context.site.goes_on(feed)
    context.site.bookings(range(count))


# Ends of streams.


@then("a caller that ends its request early gets an answer")
def half_closed_request(context):
    data = b"LOG\n" + bytes(1_000_000)
    assert context.site.do(context.site.ask(7001, data)) == b"LOGGED 1000000\n"


@then("an upstream that ends its answer early reads on to the end")
def half_closed_answer(context):
    site = context.site

    async def talk():
        reader, writer = await site.connect(7001, b"HALF\n")
        assert await reader.read() == b""
        for _ in range(20):
            writer.write(bytes(50_000))
            await writer.drain()
        writer.write_eof()

    site.do(talk())
    ups = site.system.upstreams.values()
    site.until(lambda: sum(u.read for u in ups) == 1_000_000, 5.0)
    site.until(lambda: sum(u.ends.count("whole") for u in ups) == 2, 5.0)


@then("an answer of {size:d} bytes arrives whole")
def whole_answer(context, size):
    answer = context.site.do(context.site.ask(7001, b"SEND %d\n" % size))
    assert answer == standins.pattern(size)


@when("{who} breaks off in the middle of a flow")
def break_off(context, who):
    site = context.site
    feed = context.feed = site.feed()
    if who == "the caller":
        relay.reset_connection(feed.writer)
    elif who == "the upstream":
        site.upstream_of(feed).close()
    else:
        site.spawn(site.system.agents.pop(site.agent_of(feed)).kill())


@then("{other} sees a reset")
def sees_reset(context, other):
    site, feed = context.site, context.feed
    if other == "the caller":
        site.until(lambda: feed.end, 3.0)
        assert feed.end == "reset", feed.end
    else:
        upstream = site.upstream_of(feed)
        site.until(lambda: upstream.ends, 3.0)
        assert upstream.ends == ["reset"], upstream.ends


# Floods and bad input.


@when(
    "{count:d} feeds are open and {more:d} more connections come to one balancer"
)
def flood(context, count, more):
    site = context.site
    context.feeds = [site.feed() for _ in range(count)]
    context.refused = [site.spawn(site.book(n)) for n in range(more)]


@then("the {count:d} read the refusal reply and are counted")
def refused(context, count):
    site = context.site
    site.until(lambda: all(t.done() for t in context.refused), 5.0)
    assert {t.result() for t in context.refused} == {REFUSAL}
    assert site.metric("connection-limit") == count
    site.check_runs(range(count), 0)
    assert site.do(site.book(99, 2)).startswith(b"BOOKED 99 ")


@then("the {count:d} feeds go on")
def feeds_go_on(context, count):
    assert len(context.feeds) == count
    context.site.goes_on(*context.feeds)


@when("a feed runs and bad datagrams and relay connections arrive")
def bad_input(context):
    site = context.site
    context.feed = site.feed()
    good, _ = wire.make_codec(bytes.fromhex(demo.KEY))
    other, _ = wire.make_codec(bytes(16))
    ping = messages.Ping(0, 1)
    tag = wire.make_tagger(bytes.fromhex(demo.KEY))
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


@then("each is counted and the feed goes on")
def bad_input_counted(context):
    site = context.site
    for key, count in context.expected.items():
        site.until(lambda k=key, c=count: site.metric(k) >= c, 4.0)
        assert site.metric(key) == count, (key, site.metric(key))
    for conn in context.strangers:
        conn.close()
    site.goes_on(context.feed)
    site.bookings(range(5))


@when("an upstream refuses connections")
def refuse_connections(context):
    site = context.site
    site.wait(WARM_S, step=0.1)
    # Fresh requests earn the retries.
    for ident in range(100, 240):
        site.bookings([ident])
    site.system.upstreams["rounds-1"].close()


@then("{count:d} bookings are answered and each ran exactly once")
def booked(context, count):
    for ident in range(count):
        context.site.bookings([ident])
        assert context.site.runs(ident) == 1
    lost = sum("dial upstream" in line for line in context.site.log)
    assert lost, "no booking was placed at the upstream that refuses"


# Balancers.


class UdpFeed:
    """Numbered datagrams through the fabric, and their answers."""

    def __init__(self, site):
        self.site, self.answers = site, []
        self.sock = standins.open_socket(
            site.system.prefix, self.answers.append
        )

    def exchange(self, count):
        """Sends datagrams; returns how many were answered."""
        self.answers.clear()
        for number in range(count):
            text = b"position %d" % number
            self.sock.send(text, self.site.system.fabric.address)
            self.site.wait(0.1)
        return len(self.answers)


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
    context.feeds = [site.feed(n) for n in (1, 2, 3)]
    context.udp = UdpFeed(site)
    assert context.udp.exchange(10) == 10
    context.got = [bytearray() for _ in range(4)]
    context.library = [
        site.spawn(library_feed(site, got, seed=seed))
        for seed, got in enumerate(context.got)
    ]
    site.until(lambda: all(context.got), 5.0)
    context.names = {a.split(b" by ")[1] for a in context.udp.answers}
    site.do(site.system.balancers.pop("entry-1").kill())


@then("only the TCP feeds of that balancer break")
def others_go_on(context):
    site = context.site
    broken, *whole = context.feeds
    site.until(lambda: broken.end, 3.0)
    assert broken.end == "reset"
    site.goes_on(*whole)
    assert context.udp.exchange(20) == 20
    names = {a.split(b" by ")[1] for a in context.udp.answers}
    assert names == context.names and len(names) == 1, names
    before = [check_library(got) for got in context.got]
    site.wait(4.0)
    for got, old in zip(context.got, before, strict=True):
        assert check_library(got) > old + 10
    assert not any(task.done() for task in context.library)


@when("a balancer with an open request and a feed stops")
def stop_balancer(context):
    site = context.site
    for upstream in site.system.upstreams.values():
        upstream.service_s = 1.0
    context.request = site.spawn(site.book(1))
    context.feed = site.feed()
    site.until(lambda: site.runs(1), 3.0)
    context.node = site.system.balancers.pop("entry-1")
    context.began = site.loop.time()
    context.stop = site.spawn(context.node.stop())


@then("the request is answered")
def request_answered(context):
    context.site.until(context.request.done, 3.0)
    assert context.request.result().startswith(b"BOOKED 1 ")


@then("the feed is cut at the deadline, counted and logged")
def feed_cut(context):
    site, feed = context.site, context.feed
    limit = context.node.cfg.drain_s
    site.until(lambda: feed.end or context.node.balancer.cut_connections, 9.0)
    assert site.loop.time() - context.began >= limit - STEP_S
    site.until(context.stop.done, 9.0)
    assert feed.end == "reset", feed.end
    assert context.node.balancer.cut_connections == 1
    assert context.node.telemetry.drain_timeouts == 1
    assert any("drain deadline" in line for line in site.log)
    assert site.do(site.book(2, 2)).startswith(b"BOOKED 2 ")


# Agents.


@when("an agent with open requests stops with the platform {state}")
def stop_agent(context, state):
    site = context.site
    site.wait(MEMBERS_S, step=0.1)
    for upstream in site.system.upstreams.values():
        upstream.service_s = 1.0
    context.requests = [site.spawn(site.book(i, 1 + i % 2)) for i in range(6)]
    host = site.by_age()[-1]
    context.upstream = site.system.upstreams["rounds-" + host[-1]]
    site.until(lambda: context.upstream.runs, 3.0)
    if state == "down":
        site.system.platform.faults.down = True
    context.stop = site.spawn(site.system.agents.pop(host).stop())


@then("its requests are answered and it gets no work after 2 s")
def agent_stopped(context):
    site = context.site
    site.wait(2.0)
    for upstream in site.system.upstreams.values():
        upstream.service_s = 0.05
    ran = dict(context.upstream.runs)
    for ident in range(100, 120):
        site.bookings([ident])
    assert context.upstream.runs == ran
    site.until(context.stop.done, 20.0)
    for ident, task in enumerate(context.requests):
        assert task.result().startswith(b"BOOKED %d " % ident)
    assert context.upstream.ends.count("whole") == len(ran)


@when("the platform is down and an agent is killed")
def agent_dies(context):
    agent_dies_after(context, MEMBERS_S, -1)


@when("the platform is down and the first agent is killed")
def first_agent_dies(context):
    agent_dies_after(context, MEMBERS_S, 0)


@when(
    "the platform is down and an agent is killed {seconds:d} s after the start"
)
def agent_dies_early(context, seconds):
    agent_dies_after(context, seconds, -1)


def agent_dies_after(context, seconds, which):
    site = context.site
    site.wait(seconds, step=0.1)
    site.bookings(range(5))
    site.system.platform.faults.down = True
    site.wait(2.0)
    context.dead = site.by_age()[which]
    agent = site.system.agents.pop(context.dead)
    site.do(agent.kill())
    site.system.upstreams["rounds-" + context.dead[-1]].close()
    context.booked = [site.spawn(retry_book(site, 100 + i)) for i in range(12)]


async def retry_book(site, ident):
    """Books until it is not refused; returns the answer and the wait."""
    began = site.loop.time()
    while (answer := await site.book(ident, 1 + ident % 2)) == REFUSAL:
        await asyncio.sleep(0.1)
    return answer, site.loop.time() - began


class UdpFlow:
    """A UDP flow straight to a balancer, so that its hash slot is known."""

    def __init__(self, site):
        self.site, self.wait = site, None
        self.began = site.loop.time()
        self.sock = standins.open_socket(site.system.prefix, self.on_answer)

    def on_answer(self, answer):
        if self.wait is None and answer.startswith(b"position by "):
            self.wait = self.site.loop.time() - self.began

    def owner(self):
        core = self.site.system.balancers["entry-1"].balancer.core
        address = core.address("rounds", "position")
        flow = slots.udp_flow(address.key, self.sock.address)
        table = address.service.table
        return table.owner(slots.slot_of(flow, table.hash_slots))

    def send(self):
        number = 1 + self.sock.address[1] % 2
        self.sock.send(b"position", (self.site.ip(number), 7003))


def udp_flows(context, count, of_dead):
    """Opens UDP flows of the dead agent's hash slots, or of the others'."""
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
    assert waits[0] >= 0, "a flow is not served"


@then("{tcp:d} feeds and {udp:d} UDP flows of its slots run within {limit:d} s")
def served(context, tcp, udp, limit):
    site = context.site
    feeds = [Feed(site, 1 + n % 2) for n in range(tcp)]
    check_udp(site, udp_flows(context, udp, True), limit)
    lines = [(feed.lines, feed.refusals) for feed in feeds]
    print("feeds after an agent died, (lines, refusals):", *lines)
    assert all(feed.lines for feed in feeds)


@then("{udp:d} UDP flows of the other slots run within {limit:d} s")
def served_others(context, udp, limit):
    check_udp(context.site, udp_flows(context, udp, False), limit)


@then("{count:d} bookings are served within {limit:d} s and none ran twice")
def served_bookings(context, count, limit):
    site = context.site
    # A caller repeats a refused booking, so all end unless one breaks off.
    site.until(lambda: all(t.done() for t in context.booked), 2 * limit)
    results = [t.result() for t in context.booked]
    assert len(results) == count
    waits = sorted(wait for _, wait in results)
    print("waits of bookings, s:", *(f"{wait:.2f}" for wait in waits))
    assert waits[-1] <= limit, waits
    assert all(answer.startswith(b"BOOKED") for answer, _ in results), results
    site.check_runs(range(100, 100 + count), 1)


@then("all hash slots taken over take bookings {seconds:d} s later")
def slots_complete(context, seconds):
    context.site.wait(seconds, step=0.1)
    taken = [
        owned
        for agent in context.site.system.agents.values()
        for owned in agent.agent.core._by_name[
            "rounds"
        ].ownership.owned.values()
        if owned.term[1]
    ]
    assert taken
    assert all(owned.complete for owned in taken)


@when("an agent with a library feed stops")
def stop_with_library(context):
    site = context.site
    got = bytearray()
    context.library = site.spawn(library_feed(site, got, (1, 2)))
    site.until(lambda: got.count(b"\n") > 2, 5.0)
    name = bytes(got).decode().split()[1]
    context.began = site.loop.time()
    agent = site.system.agents.pop("upstream-" + name[-1])
    context.stop = site.spawn(agent.stop())


@then("the caller learns that the outcome is unknown")
def outcome_unknown(context):
    context.site.until(context.library.done, 6.0)
    exc = context.library.exception()
    assert isinstance(exc, errors.OutcomeUnknownError), exc
    assert "drain" in exc.reason, exc


@then("the stop has taken at most {limit:d} s")
def stop_in_time(context, limit):
    left = limit - (context.site.loop.time() - context.began)
    context.site.until(context.stop.done, left)


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


@then("the balancer sends it elsewhere and refuses nothing")
def sent_elsewhere(context):
    context.site.until(context.opening.done, 8.0)
    exc = context.opening.exception()
    assert isinstance(exc, errors.CrocusmuxError), exc
    assert not isinstance(exc, errors.FlowError), exc


@when("the control part of an agent reports a new incarnation")
def rejoined(context):
    site = context.site
    context.node = site.system.agents["upstream-1"]
    control = context.node.control
    context.number = control.incarnation + 1
    members = control.core.memberships
    control._do(members._rejoin(site.loop.time(), members.record))


@then("the agent answers probes and takes work under it")
def acts_under(context):
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
    # Ten at a time: forty at once can pass their deadline on cold upstreams.
    for first in range(0, 40, 10):
        site.bookings(range(first, first + 10), limit=20.0)
    assert upstream.runs


# The platform.


@when("the platform is down for {seconds:d} s under a feed")
def platform_down(context, seconds):
    site = context.site
    context.feed = site.feed()
    site.system.platform.faults.down = True
    site.wait(seconds, step=1.0)


@then("the feed and {count:d} bookings go on")
def go_on_without(context, count):
    context.site.goes_on(context.feed)
    context.site.bookings(range(count))


@then("a balancer started now gets its configuration from its peers")
def from_peers(context):
    site = context.site
    started = site.do(site.system.start_balancer(9))
    site.until(lambda: started.health.ready, 10.0)
    assert site.do(site.book(901, 9)).startswith(b"BOOKED 901 ")


@then("one that reaches nobody serves nothing and says why")
def reaches_nobody(context):
    site = context.site
    nobody = f"tcp://{site.system.prefix}.99:7103"
    site.do(site.system.start_balancer(8, peers=[nobody]))
    site.wait(10.0)

    async def ask():
        reader, writer = await asyncio.open_connection(site.ip(8), 7102)
        writer.write(b"GET /ready HTTP/1.0\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return answer

    answer = site.do(ask())
    assert b" 503 " in answer, answer
    assert b"no preset in force is known" in answer, answer
    with contextlib.suppress(ConnectionRefusedError):
        site.do(site.book(801, 8))
        raise AssertionError("the balancer accepts connections")


@when("the preset is switched while {count:d} bookings run")
def switch(context, count):
    site = context.site
    tasks = [site.spawn(site.book(i, 1 + i % 3)) for i in range(count)]
    site.wait(0.1)
    context.stored = site.do(
        operations.use_preset(site.system.operator, "peak")
    )
    site.until(lambda: all(t.done() for t in tasks), 10.0)
    for ident, task in enumerate(tasks):
        assert task.result().startswith(b"BOOKED %d " % ident)
    site.check_runs(range(count), 1)


def in_force(site):
    return {
        (n.store.version("in-force"), n.store.in_force().preset.name)
        for n in site.system.nodes()
    }


@then("it is in force on all daemons and stays so")
def in_force_everywhere(context):
    site = context.site
    wanted = {(context.stored.version, "peak")}
    site.until(lambda: in_force(site) == wanted, 2.0)
    for _ in range(100):
        site.wait(0.1)
        assert in_force(site) == wanted


@then("of two operators who race one wins")
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

    results = site.do(both())
    lost = [r for r in results if isinstance(r, errors.ConflictError)]
    won = [r for r in results if not isinstance(r, BaseException)]
    assert len(lost) == len(won) == 1, results
    name = ("ordinary", "peak")[results.index(won[0])]
    wanted = {(won[0].version, name)}
    site.until(lambda: in_force(site) == wanted, 3.0)
