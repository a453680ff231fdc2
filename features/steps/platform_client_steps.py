import asyncio
import collections
import random
import socket
from unittest import mock
import urllib.parse

from behave import given
from behave import then
from behave import when
import msgspec
from tornado import tcpclient

from crocusmux import errors
from crocusmux.core.control import calls
from crocusmux.objectapi import client as objectapi_client
from crocusmux.objectapi import http
from crocusmux.objectapi import standin
from features import loop as paused

STEP_S = 0.05
TURNS_PER_STEP = 60


def drive(loop, coro, limit=120.0):
    """Run a coroutine to its end and advance the clock while it waits."""
    task = loop.create_task(coro)

    def run_turns():
        for _ in range(TURNS_PER_STEP):
            if task.done():
                return
            loop.run_until_complete(loop.run_iteration())

    elapsed = 0.0
    run_turns()
    while not task.done():
        assert elapsed < limit, f"not done after {limit} s"
        loop.advance(STEP_S)
        elapsed += STEP_S
        run_turns()
    return task.result()


def let_pass(loop, seconds):
    drive(loop, asyncio.sleep(seconds))


def start(context, **options):
    if not hasattr(context, "loop"):
        context.loop = paused.PausedLoop()
        asyncio.set_event_loop(context.loop)
        context.add_cleanup(close, context)
    context.server = drive(context.loop, standin.start(**options))
    context.stored, context.clients, context.watches = {}, {}, []
    for seed, name in enumerate(("ana", "luis")):
        context.clients[name] = new_client(context, name, seed)


def close(context):
    for task in asyncio.all_tasks(context.loop):
        task.cancel()
    drive(context.loop, context.server.stop())
    context.loop.close()


def new_client(context, name, seed, bases=()):
    async def make():
        urls = [*bases, context.server.url]
        rng = random.Random(seed)
        return objectapi_client.Client(urls, writer=name, rng=rng)

    return drive(context.loop, make())


def attempt(context, coro):
    """Run a call and store its result or error in the context."""
    context.result = context.error = None
    try:
        context.result = drive(context.loop, coro)
    except errors.CrocusmuxError as exc:
        context.error = exc


def write(context, name, key, body=b"{}"):
    return context.clients[name].put(key, body, context.stored.get(key))


@given('a test server and the writers "ana" and "luis"')
def start_server(context):
    start(context)


@given("a test server with {rate:d} reads and writes a second")
def start_limited(context, rate):
    start(context, writes_per_s=rate, reads_per_s=rate)


@given("a test server with a history of {count:d} writes")
def start_short_history(context, count):
    start(context, history=count)


@given('"{name}" wrote "{key}"')
def write_first(context, name, key):
    stored = drive(context.loop, write(context, name, key))
    context.stored[key] = stored


@given("the test server loses the next {count:d} replies")
def lose_answers(context, count):
    context.server.set_faults(lose_answers=count)


@given("the test server loses the next {count:d} writes")
def lose_writes(context, count):
    context.server.set_faults(lose_writes=count)


@given("the test server loses 1 reply and is down for {time:g} seconds")
def lose_answer_and_fail(context, time):
    context.server.set_faults(lose_answers=1)
    write_through = context.server.write

    def write_then_fail(key, expect, value):
        version = write_through(key, expect, value)
        if context.server.faults.lose_answers:
            context.server.set_faults(down=True)
            context.loop.call_later(
                time, lambda: context.server.set_faults(down=False)
            )
        return version

    context.server.write = write_then_fail


@given(
    "the test server takes {slow:g} seconds for each call during {time:g} seconds"
)
def slow_down(context, slow, time):
    context.server.set_faults(slow_s=slow)
    context.loop.call_later(time, lambda: context.server.set_faults(slow_s=0.0))


@given("the test server is down")
def go_down(context):
    context.server.set_faults(down=True)


@given("the client waits {seconds:g} seconds")
def pass_time(context, seconds):
    let_pass(context.loop, seconds)


@given('"ana" uses a base URL without a listener before the test server\'s')
def add_dead_base(context):
    bases = ["http://127.0.0.1:1"]
    context.clients["ana"] = new_client(context, "ana", 3, bases)


@given('"{name}" watches "{prefix}"')
def watch(context, name, prefix):
    watching = context.clients[name].watch(prefix, context.watches.append)
    context.loop.create_task(watching)
    let_pass(context.loop, 1.0)
    assert context.watches.pop().full


@given("the test server is down for a watch that misses {count:d} writes")
def miss_writes(context, count):
    context.server.set_faults(down=True)
    let_pass(context.loop, 1.0)
    for index in range(count):
        value = b'{"operation":"o","object":{}}'
        context.server.write(f"services/s{index}", 0, value)


@when('"{name}" writes "{key}"')
def write_key(context, name, key):
    attempt(context, write(context, name, key))


@when('"ana" writes "{key}" and "luis" follows before the retry')
def write_and_follow(context, key):
    write_through = context.server.write

    def write_twice(at, expect, value):
        version = write_through(at, expect, value)
        first = msgspec.json.decode(value, type=calls.ObjectEnvelope)
        stored = objectapi_client.StoredObject(at, version, first)
        second = calls.ObjectEnvelope(
            operation="other",
            object=msgspec.Raw(b"{}"),
            writer="luis",
            recent=objectapi_client.recent_writes(stored, 0),
        )
        write_through(at, version, msgspec.json.encode(second))
        return version

    context.server.write = write_twice
    attempt(context, write(context, "ana", key))


@when('"ana" and "luis" write "{key}" at once')
def race(context, key):
    async def both():
        writes = [write(context, name, key) for name in context.clients]
        return await asyncio.gather(*writes, return_exceptions=True)

    context.results = drive(context.loop, both())


@given('"ana" reads "{key}" {count:d} times')
@when('"ana" reads "{key}" {count:d} times')
def read_often(context, key, count):
    context.failures = []
    context.sent = 0
    ana = context.clients["ana"]
    send = ana._send

    def counted(action):
        context.sent += 1
        return send(action)

    ana._send = counted
    for _ in range(count):
        attempt(context, ana.get(key))
        context.failures.append(context.error)
    ana._send = send


@when("the test server is up again and {seconds:g} seconds pass")
def go_up(context, seconds):
    context.server.set_faults(down=False)
    let_pass(context.loop, seconds)


@when('the test server is up again and "ana" writes "{key}"')
def go_up_and_write(context, key):
    context.server.set_faults(down=False)
    let_pass(context.loop, 10.0)
    context.reads_before = context.server.counts.reads
    drive(context.loop, write(context, "ana", key))
    let_pass(context.loop, 1.0)


@when('"ana" {verb} {count:d} objects at once')
def call_many(context, verb, count):
    async def call():
        ana = context.clients["ana"]
        keys = [f"services/s{index}" for index in range(count)]
        if verb == "reads":
            return await asyncio.gather(*[ana.get(key) for key in keys])
        writes = [write(context, "ana", key) for key in keys]
        return await asyncio.gather(*writes)

    context.results = drive(context.loop, call())


@when('"{method}" "{path}" is sent with {count:d} bytes')
def send_raw(context, method, path, count):
    async def send():
        url = context.server.url + urllib.parse.quote(path, safe="/?=&")
        body = b"1" * count if method == "PUT" else None
        return await http.make_fetch()(method, url, body, 5.0)

    context.response = drive(context.loop, send())


class ClosedStream:
    """Stream that the other end closed before its user got it."""

    socket = None


@when("a call is made on a connection that the server closes at once")
def call_on_closed_stream(context):
    async def connect(*args, **kwargs):
        return ClosedStream()

    async def fetch():
        with mock.patch.object(tcpclient.TCPClient, "connect", connect):
            return await http.make_fetch()("GET", context.server.url, None, 5.0)

    context.response = drive(context.loop, fetch())


@then("the call fails without an exception")
def check_call_failed(context):
    assert context.response.status == calls.NO_RESPONSE, context.response
    assert context.response.sent


@when("a client connects to the test server")
def connect(context):
    async def probe():
        host, port = urllib.parse.urlsplit(context.server.url).netloc.split(":")
        stream = await http.TCPClient().connect(host, int(port))
        option = stream.socket.getsockopt
        context.keepalive = option(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        context.idle_s = option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        context.keepalive_close_s = option(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL
        ) * option(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        stream.close()

    drive(context.loop, probe())


@then("TCP keep-alive starts after {seconds:d} s without data")
def check_keepalive(context, seconds):
    assert context.keepalive and context.idle_s == seconds


@then("the connection is closed at most {seconds:d} s later")
def check_close_time(context, seconds):
    assert context.keepalive_close_s <= seconds, context.keepalive_close_s


@then("the write is reported as done at the version that it made")
def check_done(context):
    assert context.error is None, context.error
    key = context.result.key
    entry = context.server.store.get(key)
    assert context.result.version == entry.version
    operation = context.result.envelope.operation.encode()
    assert operation in entry.value


@then("the write is reported as done at version {version:d}")
def check_version(context, version):
    assert context.error is None, context.error
    assert context.result.version == version, context.result


@then('"{key}" is at version {version:d}, written by "{name}"')
def check_stored(context, key, version, name):
    entry = context.server.store.get(key)
    assert entry.version == version, entry
    assert f'"writer":"{name}"'.encode() in entry.value, entry


@then("{count:d} writes took effect in the test server")
def check_effects(context, count):
    effects = context.server.counts.effects
    assert effects == count, effects


@then('the call fails with "{error_type}" and "{text}"')
def check_error(context, error_type, text):
    assert type(context.error).__name__ == error_type, repr(context.error)
    assert text in str(context.error), context.error


@then("one write succeeds, and the ConflictError of the other names its writer")
def check_race(context):
    pairs = zip(context.clients, context.results, strict=True)
    outcomes = dict(pairs)
    winners = [
        n
        for n, r in outcomes.items()
        if isinstance(r, objectapi_client.StoredObject)
    ]
    lost = [r for r in outcomes.values() if isinstance(r, errors.ConflictError)]
    assert len(winners) == len(lost) == 1, outcomes
    assert f"written by {winners[0]}" in str(lost[0]), lost


@then('each read fails with "{error_type}"')
def check_failures(context, error_type):
    error_types = {type(error).__name__ for error in context.failures}
    assert error_types == {error_type}, error_types


@then("no read fails")
def check_no_failure(context):
    assert context.failures == [None], context.failures


@then("fewer than {count:d} reads were sent")
def check_sent(context, count):
    assert 0 < context.sent < count, context.sent


@then("all succeed and between {low:d} and {high:d} calls were limited")
def check_limited(context, low, high):
    counts = context.server.counts
    assert low <= counts.limited <= high, counts
    done = max(counts.effects, counts.reads)
    assert done == len(context.results), counts


@then('"luis" receives "{key}" in a batch of changes')
def check_batch(context, key):
    assert len(context.watches) == 1, context.watches
    batch = context.watches[0]
    assert [item.key for item in batch.items] == [key], batch
    assert not batch.full


@then("each call of a watch counts as one read")
def check_watch_calls(context):
    # Only the next call of the watch is a read; the write needs none.
    reads = context.server.counts.reads - context.reads_before
    assert reads == 1, reads


@then('"luis" receives {count:d} objects in a batch of all objects')
def check_full(context, count):
    assert len(context.watches) == 1, context.watches
    assert context.watches[0].full
    assert len(context.watches[0].items) == count


@then("the test server replies {status:d}")
def check_status(context, status):
    assert context.response.status == status, context.response


class FaultyServer:
    """Store of one object that loses, delays or refuses requests."""

    def __init__(self, rng):
        self.rng = rng
        self.store = standin.Store(10)
        self.effects = collections.Counter()
        self.versions = {}
        self.delayed = []
        self.others = 0
        self.refuses = rng.random() < 0.1

    def item(self):
        entry = self.store.get("k")
        if entry is None:
            return None
        value = msgspec.json.decode(entry.value, type=calls.ObjectEnvelope)
        return objectapi_client.StoredObject("k", entry.version, value)

    def write(self, expect, operation, value):
        version = self.store.write("k", expect, value)
        if version is not None:
            self.effects[operation] += 1
            self.versions[operation] = version
        return version

    def disturb(self):
        """Run another writer's write or deletion, or a delayed request."""
        if self.delayed and self.rng.random() < 0.4:
            self.write(*self.delayed.pop(0))
        chance, item = self.rng.random(), self.item()
        if chance < 0.1:
            self.write_other()
        elif chance < 0.12 and item:
            self.store.write("k", item.version, None)

    def write_other(self):
        item = self.item()
        self.others += 1
        operation = f"other-{self.others}"
        value = envelope(operation, item)
        self.write(item.version if item else 0, operation, value)

    def respond(self, request, operation, expect):
        fault = self.rng.random()
        if fault < 0.1 or self.refuses:
            return calls.Response(sent=False, reason="connection refused")
        if fault < 0.15:
            return calls.Response(status=429, retry_after_s=0.1)
        if request.method == "GET":
            item = self.item()
            if fault < 0.3:
                return calls.Response(reason="timeout")
            if item is None:
                return calls.Response(status=404)
            stored = calls.Item(
                key="k", version=item.version, value=item.envelope
            )
            return calls.Response(status=200, body=msgspec.json.encode(stored))
        delayed_write = (expect, operation, request.body)
        if fault < 0.3:
            return calls.Response(reason="timeout")
        if fault < 0.5:
            self.delayed.append(delayed_write)
            return calls.Response(status=504)
        version = self.write(*delayed_write)
        if fault < 0.75:
            return calls.Response(reason="timeout")
        entry = self.store.get("k")
        status = 200 if version else 409
        current = version or (entry.version if entry else 0)
        body = msgspec.json.encode({"version": current})
        return calls.Response(status=status, body=body)


def envelope(operation, item):
    return msgspec.json.encode(
        calls.ObjectEnvelope(
            operation=operation,
            object=msgspec.Raw(b"{}"),
            recent=objectapi_client.recent_writes(item, 0),
        )
    )


def faulty_write(rng):
    """Run one write against a faulty server; return it and the last action."""
    server = FaultyServer(rng)
    for _ in range(rng.randrange(4)):
        server.write_other()
    item = server.item()
    server.disturb()
    expect = item.version if item else 0
    call = calls.WriteCall(
        calls.BaseUrls(["a", "b"], rng),
        calls.Request("PUT", "/k", envelope("tested", item)),
        key="k",
        expect=expect,
        operation="tested",
        deadline=1010.0,
        attempt_s=2.0,
    )
    now = 1000.0
    action = call.start(now)
    while isinstance(action, calls.Send | calls.Wait):
        server.disturb()
        if isinstance(action, calls.Wait):
            now += action.seconds
            action = call.on_timer(now)
            continue
        response = server.respond(action.request, "tested", expect)
        now += 2.0 if response.reason == "timeout" else 0.01
        action = call.on_response(now, response)
    for delayed_write in server.delayed:
        server.write(*delayed_write)
    return server, action


@when("{count:d} writes run against a faulty server with seed {seed:d}")
def run_faulty(context, count, seed):
    rng = random.Random(seed)
    context.runs = [faulty_write(rng) for _ in range(count)]


@then("a write reported as done took effect exactly once at that version")
def check_done_writes(context):
    for server, action in context.runs:
        assert server.effects["tested"] <= 1
        if isinstance(action, calls.Done):
            assert server.effects["tested"] == 1
            assert server.versions["tested"] == action.version


@then("a write reported as a conflict never took effect")
def check_conflicting_writes(context):
    for server, action in context.runs:
        if isinstance(action, calls.Failed) and not isinstance(
            action.error, errors.WriteUnknownError
        ):
            assert server.effects["tested"] == 0, action


@then("at least 100 writes each ended as done, conflict, unknown and not run")
def check_outcome_counts(context):
    outcomes = collections.Counter(
        "done"
        if isinstance(action, calls.Done)
        else type(action.error).__name__
        for _, action in context.runs
    )
    unsent = outcomes["PlatformUnavailableError"] + outcomes["RateLimitedError"]
    low = min(
        outcomes["done"],
        outcomes["ConflictError"],
        outcomes["WriteUnknownError"],
        unsent,
    )
    assert low >= 100, outcomes
