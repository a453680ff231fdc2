import asyncio
import random
import zlib

from behave import given
from behave import then
from behave import when
import msgspec
import pynng

from crocusmux import errors
from crocusmux import objects
from crocusmux import settings
from crocusmux import wire
from crocusmux.core.control import config_store
from crocusmux.core.control import gossip_messages
from crocusmux.core.control import membership_messages
from crocusmux.daemons import control
from crocusmux.objectapi import access
from crocusmux.objectapi import standin
from features import loop as paused

KEY = "a0" * 16
STEP_S = 0.02


class FakePlatform:
    """Platform in memory on the test's loop."""

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.down = False
        self._waiting = []

    def _check(self):
        if self.down:
            raise errors.PlatformUnavailableError("down", step="call")

    async def read(self, key):
        self._check()
        return self.objects.get(key)

    async def watch(self, prefix, revision, wait_s):
        self._check()
        if revision == self.revision and wait_s:
            loop = asyncio.get_running_loop()
            fut = loop.create_future()
            self._waiting.append(fut)
            handle = loop.call_later(wait_s, _wake, fut)
            await fut
            handle.cancel()
            self._check()
        found = [
            v for v in self.objects.values() if v.version > (revision or 0)
        ]
        return access.Batch(tuple(found), self.revision)

    async def write(self, key, body, expected):
        self._check()
        known = self.objects.get(key)
        if (known.version if known else 0) != expected:
            raise errors.ConflictError("other version", step="write")
        self.revision += 1
        self.objects[key] = objects.Versioned(key, self.revision, body)
        for fut in self._waiting:
            _wake(fut)
        self._waiting.clear()
        return self.revision


def _wake(fut):
    if not fut.done():
        fut.set_result(None)


def start(context, name, domain, peers=(), role="balancer", key=KEY):
    text = f"host: {name}\nrole: {role}\nfailure_domain: {domain}\nkey: {key}"
    text += f"\npeers: [{', '.join(peers)}]\n"
    if context.standin:
        text += f"platform: ['{context.standin.url}']\n"
    node = control.ControlPlaneRunner(
        settings.parse(text),
        config_store.ConfigStore(),
        random.Random(name),
        context.platform,
        wall_ms=lambda: 1_000_000,
    )
    paused.run(context.loop, node.start())
    context.add_cleanup(lambda: paused.run(context.loop, node.stop()))
    return node


def advance(context, condition, limit):
    """Advances the clock; waits in each step until nothing is in transit."""
    taken = 0.0
    while not condition():
        assert taken < limit, f"condition not met in {limit} s"
        context.loop.advance(STEP_S)
        taken += STEP_S
        paused.run(context.loop, context.loop._turns(4))
        context.loop.settle(lambda: delivered(context.nodes))


def delivered(nodes):
    sent = sum(node.counts["sent"] for node in nodes)
    return sent == sum(node.counts["received"] for node in nodes)


def new_loop(context):
    context.loop = paused.PausedLoop()
    context.add_cleanup(context.loop.close)
    context.platform = FakePlatform()
    context.standin = None


@given("a daemon with a control socket")
def one_daemon(context):
    new_loop(context)
    context.node = start(context, "d0", "fd0")


def bad_message(bad, node):
    tag = wire.make_tagger(bytes.fromhex(KEY))

    def tagged(body, version=control.VERSION):
        return tag(version + body) + version + body

    if bad == "under another key":
        body = control.VERSION + msgspec.msgpack.encode(["x", [2, [], {}]])
        return wire.make_tagger(b"k" * 16)(body) + body
    if bad == "shorter than a tag":
        return b"short"
    if bad == "not msgpack":
        return tagged(b"\xc1\xc1")
    if bad == "of an unknown kind":
        return tagged(msgspec.msgpack.encode(["x", [99]]))
    if bad == "of another version":
        good = msgspec.msgpack.encode(["x", gossip_messages.WantRows([])])
        return tagged(good, version=b"\x02")
    if bad == "a compression bomb":
        large = bytes(8 * objects.MAX_OBJECT_BYTES)
        data = msgspec.msgpack.encode([("k", 1, large)])
        message = gossip_messages.Objects(zlib.compress(data), True)
        return tagged(msgspec.msgpack.encode(["peer", message]))
    assert bad == "larger than the limit"
    return tagged(bytes(control.MAX_MESSAGE_BYTES))


@when("it receives a message that is {bad}")
def send_bad(context, bad):
    node = context.node
    peer = gossip_messages.DaemonRow(
        "peer", "agent", "fd1", "r0", "tcp://127.0.0.1:9"
    )
    greeting = gossip_messages.Digest(peer, 0, 0, 0, [], [], True)
    node.core.gossip.on_message(context.loop.time(), "peer", greeting)
    context.root = node.core.gossip.root_hash()
    sock = pynng.Push0(send_buffer_size=4)
    context.add_cleanup(sock.close)
    sock.dial(node.core.gossip.row.control, block=True)
    sock.send(bad_message(bad, node))
    context.loop.settle(lambda: node.counts["received"])


@then('it counts one refusal as "{count}" and its state is unchanged')
def check_refusal(context, count):
    counts = context.node.counts
    kinds = ("wrong_tag", "malformed", "oversized")
    assert {k: counts[k] for k in kinds} == {
        k: int(k == count) for k in kinds
    }, counts
    assert context.node.core.gossip.root_hash() == context.root


@given("{count:d} balancers with control sockets and the stand-in")
def start_with_standin(context, count):
    new_loop(context)
    context.platform = None
    context.standin = paused.run(context.loop, standin.start())
    context.add_cleanup(
        lambda: paused.run(context.loop, context.standin.stop())
    )
    start_nodes(context, count)


@given("{count:d} balancers with control sockets and a platform")
def start_balancers(context, count):
    new_loop(context)
    start_nodes(context, count)


def start_nodes(context, count):
    context.nodes = []
    for index in range(count):
        urls = [node.core.gossip.row.control for node in context.nodes[:2]]
        # Two failure domains: two of the six are no watchers.
        name, domain = f"b{index}", f"fd{index % 2}"
        context.nodes.append(start(context, name, domain, urls))
    advance(context, lambda: settled(context.nodes), 60.0)


def settled(nodes):
    watching = sum(node.core.gossip.watching for node in nodes)
    linked = all(len(node.core.gossip.linked_peers()) >= 4 for node in nodes)
    return linked and watching == 4


def reached(context, condition, limit):
    advance(context, lambda: all(map(condition, context.nodes)), limit)


@when("a preset is written to the platform")
def write_preset(context):
    context.changed = []
    for node in context.nodes:
        node.on_change(context.changed.extend)
    body = objects.encode(objects.InForce(preset=objects.Preset(name="p")))
    work = context.platform.write(objects.IN_FORCE_KEY, body, 0)
    paused.run(context.loop, work)


@then("it is in force on all {count:d} within 1 second")
def check_in_force(context, count):
    reached(context, lambda node: node._store.in_force() is not None, 1.0)
    assert context.changed.count(objects.IN_FORCE_KEY) == count


@when("the platform stops answering and an agent drains")
def drain_agent(context):
    context.platform.down = True
    announce_ready(context)
    context.agent.drain()


@when("an agent announces a ready upstream")
def announce_ready(context):
    urls = [node.core.gossip.row.control for node in context.nodes[:2]]
    agent = start(context, "a0", "fd0", urls, role="agent")
    context.nodes.append(agent)
    context.agent = agent
    advance(context, lambda: len(agent.core.gossip.linked_peers()) >= 4, 30.0)
    upstream = objects.Upstream(name="u", address="127.0.0.1:9")
    agent.announce(
        membership_messages.HostRecord(
            host="a0",
            failure_domain="fd0",
            agent="127.0.0.1:1",
            relay="127.0.0.1:2",
            control=agent.core.gossip.row.control,
            incarnation=agent.incarnation,
            upstreams=(membership_messages.ServiceUpstream("s", upstream),),
        )
    )


def ready(node):
    found = node._store.membership("s")
    return found and found.members[0].upstreams[0].state == "ready"


@then("all {count:d} know it as ready within 5 seconds")
def check_ready(context, count):
    assert len(context.nodes) == count + 1
    reached(context, ready, 5.0)


@then("the platform lists it once, written by a watcher")
def check_written(context):
    counts = [node.core.memberships.counts["writes"] for node in context.nodes]
    assert sum(counts) == 1, counts
    assert counts[-1] == 0 or context.agent.core.gossip.watching


@then("all {count:d} show the override within 2 seconds")
def check_override(context, count):
    expected = {("a0", context.agent.incarnation): "draining"}
    reached(context, lambda node: node.overrides() == expected, 2.0)


@when("it sends to {count:d} peers")
def send_to_many(context, count):
    for index in range(count):
        url = f"tcp://127.0.0.1:{20000 + index}"
        context.node._send(url, gossip_messages.WantRows([]))


@then("it holds at most {limit:d} connections")
def check_bound(context, limit):
    assert len(context.node._sockets) == limit
