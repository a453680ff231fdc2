import asyncio
import collections
import random
import socket
import urllib.parse

from behave import given
from behave import then
from behave import when
import msgspec

from crocusmux import errors
from crocusmux.core.control import calls
from crocusmux.objectapi import client
from crocusmux.objectapi import http
from crocusmux.objectapi import standin
from features import loop as paused

STEP_S = 0.05
TURNS = 60


def drive(loop, coro, limit=120.0):
    """Run a coroutine to its end; the clock moves while it waits."""
    task = loop.create_task(coro)

    def run_turns():
        for _ in range(TURNS):
            if task.done():
                return
            loop.run_until_complete(loop.turn())

    taken = 0.0
    run_turns()
    while not task.done():
        assert taken < limit, f"not done after {limit} s"
        loop.advance(STEP_S)
        taken += STEP_S
        run_turns()
    return task.result()


def let_pass(loop, seconds):
    drive(loop, asyncio.sleep(seconds))


def start(context, **options):
    if not hasattr(context, "loop"):
        context.loop = paused.PausedLoop()
        asyncio.set_event_loop(context.loop)
        context.add_cleanup(close, context)
    context.standin = drive(context.loop, standin.start(**options))
    context.stored, context.clients, context.watches = {}, {}, []
    for seed, name in enumerate(("ana", "luis")):
        context.clients[name] = new_client(context, name, seed)


def close(context):
    for task in asyncio.all_tasks(context.loop):
        task.cancel()
    drive(context.loop, context.standin.stop())
    context.loop.close()


def new_client(context, name, seed, bases=()):
    async def make():
        urls = [*bases, context.standin.url]
        rng = random.Random(seed)
        return client.Client(urls, writer=name, rng=rng)

    return drive(context.loop, make())


def attempt(context, coro):
    """Run a call; keep its result or its error in the context."""
    context.result = context.error = None
    try:
        context.result = drive(context.loop, coro)
    except errors.CrocusmuxError as exc:
        context.error = exc


def write(context, name, key, body=b"{}"):
    return context.clients[name].put(key, body, context.stored.get(key))


@given('a platform stand-in and the writers "ana" and "luis"')
def start_platform(context):
    start(context)


@given("a platform stand-in with {rate:d} reads and writes a second")
def start_limited(context, rate):
    start(context, writes_per_s=rate, reads_per_s=rate)


@given("a platform stand-in with a history of {count:d} writes")
def start_short_history(context, count):
    start(context, history=count)


@given('"{name}" wrote "{key}"')
def wrote(context, name, key):
    stored = drive(context.loop, write(context, name, key))
    context.stored[key] = stored


@given("the stand-in loses the next {count:d} answers")
def lose_answers(context, count):
    context.standin.set_faults(lose_answers=count)


@given("the stand-in loses the next {count:d} writes")
def lose_writes(context, count):
    context.standin.set_faults(lose_writes=count)


@given("the stand-in loses the next 1 answers and is down for {time:g} seconds")
def lose_answer_and_fail(context, time):
    context.standin.set_faults(lose_answers=1)
    write_through = context.standin.write

    def write_then_fail(key, expect, value):
        version = write_through(key, expect, value)
        if context.standin.faults.lose_answers:
            context.standin.set_faults(down=True)
            context.loop.call_later(
                time, lambda: context.standin.set_faults(down=False)
            )
        return version

    context.standin.write = write_then_fail


@given(
    "the stand-in takes {slow:g} seconds for each call during {time:g} seconds"
)
def slow_down(context, slow, time):
    context.standin.set_faults(slow_s=slow)
    context.loop.call_later(
        time, lambda: context.standin.set_faults(slow_s=0.0)
    )


@given("the stand-in is down")
def go_down(context):
    context.standin.set_faults(down=True)


@given("the client waits {seconds:g} seconds")
def pass_time(context, seconds):
    let_pass(context.loop, seconds)


@given('"ana" uses a base URL without a listener before the platform\'s')
def add_dead_base(context):
    bases = ["http://127.0.0.1:1"]
    context.clients["ana"] = new_client(context, "ana", 3, bases)


@given('"{name}" watches "{prefix}"')
def watch(context, name, prefix):
    watching = context.clients[name].watch(prefix, context.watches.append)
    context.loop.create_task(watching)
    let_pass(context.loop, 1.0)
    assert context.watches.pop().full


@given("the stand-in is down for a watch that misses {count:d} writes")
def miss_writes(context, count):
    context.standin.set_faults(down=True)
    let_pass(context.loop, 1.0)
    for index in range(count):
        value = b'{"operation":"o","object":{}}'
        context.standin.write(f"services/s{index}", 0, value)


@when('"{name}" writes "{key}"')
def write_key(context, name, key):
    attempt(context, write(context, name, key))


@when('"ana" writes "{key}" and "luis" follows before it is settled')
def write_and_follow(context, key):
    write_through = context.standin.write

    def write_twice(at, expect, value):
        version = write_through(at, expect, value)
        first = msgspec.json.decode(value, type=calls.ObjectEnvelope)
        stored = client.Stored(at, version, first)
        second = calls.ObjectEnvelope(
            operation="other",
            object=msgspec.Raw(b"{}"),
            writer="luis",
            recent=client._recent(stored, 0),
        )
        write_through(at, version, msgspec.json.encode(second))
        return version

    context.standin.write = write_twice
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


@when("the stand-in is up again and {seconds:g} seconds pass")
def go_up(context, seconds):
    context.standin.set_faults(down=False)
    let_pass(context.loop, seconds)


@when('the stand-in is up again and "ana" writes "{key}"')
def go_up_and_write(context, key):
    context.standin.set_faults(down=False)
    let_pass(context.loop, 10.0)
    context.reads_before = context.standin.counts.reads
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
        url = context.standin.url + urllib.parse.quote(path, safe="/?=&")
        body = b"1" * count if method == "PUT" else None
        return await http.make_fetch()(method, url, body, 5.0)

    context.answer = drive(context.loop, send())


@when("the client connects to the stand-in")
def connect(context):
    async def probe():
        host, port = urllib.parse.urlsplit(context.standin.url).netloc.split(
            ":"
        )
        stream = await http.TCPClient().connect(host, int(port))
        option = stream.socket.getsockopt
        context.keepalive = option(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        context.idle_s = option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        context.probes_s = option(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL
        ) * option(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        stream.close()

    drive(context.loop, probe())


@then("its connection is probed when it has been idle for {seconds:d} s")
def probed(context, seconds):
    assert context.keepalive and context.idle_s == seconds


@then("it is given up at most {seconds:d} s later")
def given_up(context, seconds):
    assert context.probes_s <= seconds, context.probes_s


@then("the write is reported done at the version that it made")
def check_done(context):
    assert context.error is None, context.error
    key = context.result.key
    entry = context.standin.store.get(key)
    assert context.result.version == entry.version
    operation = context.result.envelope.operation.encode()
    assert operation in entry.value


@then("the write is reported done at version {version:d}")
def check_version(context, version):
    assert context.error is None, context.error
    assert context.result.version == version, context.result


@then('"{key}" is at version {version:d}, written by "{name}"')
def check_entry(context, key, version, name):
    entry = context.standin.store.get(key)
    assert entry.version == version, entry
    assert f'"writer":"{name}"'.encode() in entry.value, entry


@then("{count:d} writes took effect in the stand-in")
def check_effects(context, count):
    effects = context.standin.counts.effects
    assert effects == count, effects


@then('the call fails with "{kind}" and "{text}"')
def check_error(context, kind, text):
    assert type(context.error).__name__ == kind, repr(context.error)
    assert text in str(context.error), context.error


@then("one of them wins, and the other's ConflictError names the winner")
def check_race(context):
    pairs = zip(context.clients, context.results, strict=True)
    outcomes = dict(pairs)
    won = [n for n, r in outcomes.items() if isinstance(r, client.Stored)]
    lost = [r for r in outcomes.values() if isinstance(r, errors.ConflictError)]
    assert len(won) == len(lost) == 1, outcomes
    assert f"written by {won[0]}" in str(lost[0]), lost


@then('each read fails with "{kind}"')
def check_failures(context, kind):
    kinds = {type(error).__name__ for error in context.failures}
    assert kinds == {kind}, kinds


@then("no read fails")
def check_no_failure(context):
    assert context.failures == [None], context.failures


@then("fewer than {count:d} reads were sent")
def check_sent(context, count):
    assert 0 < context.sent < count, context.sent


@then("all succeed and between {low:d} and {high:d} calls were limited")
def check_limited(context, low, high):
    counts = context.standin.counts
    assert low <= counts.limited <= high, counts
    done = max(counts.effects, counts.reads)
    assert done == len(context.results), counts


@then('"luis" is given "{key}" in a batch that is not full')
def check_batch(context, key):
    assert len(context.watches) == 1, context.watches
    batch = context.watches[0]
    assert [item.key for item in batch.items] == [key], batch
    assert not batch.full


@then("each watch that waited counts as one read")
def check_watch_calls(context):
    # One more watch follows the batch; the write needs no read.
    reads = context.standin.counts.reads - context.reads_before
    assert reads == 1, reads


@then('"luis" is given {count:d} objects in a batch that is full')
def check_full(context, count):
    assert len(context.watches) == 1, context.watches
    assert context.watches[0].full
    assert len(context.watches[0].items) == count


@then("the stand-in answers {status:d}")
def check_status(context, status):
    assert context.answer.status == status, context.answer


class FaultyPlatform:
    """One object; copies of a write may be lost, delayed or refused."""

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
        return client.Stored("k", entry.version, value)

    def write(self, expect, operation, value):
        version = self.store.write("k", expect, value)
        if version is not None:
            self.effects[operation] += 1
            self.versions[operation] = version
        return version

    def disturb(self):
        """Let another writer write or delete, or a delayed copy arrive."""
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

    def answer(self, request, operation, expect):
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
            shown = calls.Item(
                key="k", version=item.version, value=item.envelope
            )
            return calls.Response(status=200, body=msgspec.json.encode(shown))
        copy = (expect, operation, request.body)
        if fault < 0.3:
            return calls.Response(reason="timeout")
        if fault < 0.5:
            self.delayed.append(copy)
            return calls.Response(status=504)
        version = self.write(*copy)
        if fault < 0.75:
            return calls.Response(reason="timeout")
        entry = self.store.get("k")
        status = 200 if version else 409
        found = version or (entry.version if entry else 0)
        body = msgspec.json.encode({"version": found})
        return calls.Response(status=status, body=body)


def envelope(operation, item):
    return msgspec.json.encode(
        calls.ObjectEnvelope(
            operation=operation,
            object=msgspec.Raw(b"{}"),
            recent=client._recent(item, 0),
        )
    )


def faulty_write(rng):
    """Run one write against faults; return platform and last action."""
    platform = FaultyPlatform(rng)
    for _ in range(rng.randrange(4)):
        platform.write_other()
    item = platform.item()
    platform.disturb()
    expect = item.version if item else 0
    call = calls.WriteCall(
        calls.BaseUrls(["a", "b"], rng),
        calls.Request("PUT", "/k", envelope("mine", item)),
        key="k",
        expect=expect,
        operation="mine",
        deadline=1010.0,
        attempt_s=2.0,
    )
    now = 1000.0
    action = call.start(now)
    while isinstance(action, calls.Send | calls.Wait):
        platform.disturb()
        if isinstance(action, calls.Wait):
            now += action.seconds
            action = call.on_timer(now)
            continue
        answer = platform.answer(action.request, "mine", expect)
        now += 2.0 if answer.reason == "timeout" else 0.01
        action = call.on_response(now, answer)
    for copy in platform.delayed:
        platform.write(*copy)
    return platform, action


@when("{count:d} writes run against a faulty platform with seed {seed:d}")
def run_faulty(context, count, seed):
    rng = random.Random(seed)
    context.runs = [faulty_write(rng) for _ in range(count)]


@then("a write reported done took effect exactly once at that version")
def check_true_done(context):
    for platform, action in context.runs:
        assert platform.effects["mine"] <= 1
        if isinstance(action, calls.Done):
            assert platform.effects["mine"] == 1
            assert platform.versions["mine"] == action.version


@then("a write reported as a conflict never took effect")
def check_true_conflict(context):
    for platform, action in context.runs:
        if isinstance(action, calls.Failed) and not isinstance(
            action.error, errors.WriteUnknownError
        ):
            assert platform.effects["mine"] == 0, action


@then("at least 100 each ended done, in conflict, unknown and not run")
def check_spread(context):
    ends = collections.Counter(
        "done"
        if isinstance(action, calls.Done)
        else type(action.error).__name__
        for _, action in context.runs
    )
    unsent = ends["PlatformUnavailableError"] + ends["RateLimitedError"]
    low = min(
        ends["done"],
        ends["ConflictError"],
        ends["WriteUnknownError"],
        unsent,
    )
    assert low >= 100, ends
