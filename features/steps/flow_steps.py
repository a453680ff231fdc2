import collections
import contextlib
import random
import tracemalloc
from unittest import mock

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bench import chaos
from bench import driver
from bench import fleet
from crocusmux import messages
from crocusmux.core.flows import agent
from crocusmux.core.flows import ownership
from crocusmux.core.flows import service
from crocusmux.core.flows import slots
from crocusmux.core.load import retry
from features import golden
from spec import check

MUTATIONS = {
    "a fenced term is refused": lambda: mock.patch.object(
        ownership.Ownership, "passed", lambda *_: None
    ),
    "a witness knows a flow before it runs": lambda: mock.patch.object(
        service.ServiceState, "copies", lambda *_: (0, [])
    ),
    "messages read after a pause are not run": lambda: mock.patch.object(
        agent.AgentCore, "_is_stale", lambda *_: False
    ),
}


@when("the specification is searched")
def search_spec(context):
    context.lines = []
    context.wrong = check.check_all(context.lines.append)


@then("no search went wrong")
def check_spec(context):
    assert len(context.lines) == len(check.CHECKS) + len(check.PARTS)
    assert not context.wrong, "\n".join(context.lines)


@when(
    "{count:d} generated interleavings of {size:d} actions drive the real core"
)
def generated(context, count, size):
    names = strategies.sampled_from(chaos.TRAFFIC * 4 + chaos.FAULTS)
    number = strategies.integers(0, 999)
    action = strategies.tuples(names, number, number)
    context.found = collections.Counter()

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        number, strategies.lists(action, min_size=size, max_size=size)
    )
    def drive(seed, actions):
        found = chaos.run(seed, actions).violations()
        assert not any(found.values()), (seed, found)

    drive()


@then("no invariant was violated")
def check_none(context):
    assert not any(context.found.values()), context.found


@given('an agent core where "{rule}" is broken')
def break_rule(context, rule):
    context.mutation = MUTATIONS[rule]


@when("random faults with seeds {first:d}-{last:d} drive the real core")
def random_faults(context, first, last):
    context.found = collections.Counter()
    with context.mutation():
        for seed in range(first, last + 1):
            context.found.update(chaos.run(seed, 400).violations())
            if any(context.found.values()):
                return


@then("an invariant was violated")
def check_some(context):
    assert any(context.found.values()), "the broken rule was not noticed"


@when('the session "{name}" is played')
def play_session(context, name):
    context.name, context.played = name, golden.play(name)


@then("its text equals the golden file")
def check_session(context):
    diff = golden.difference(context.name, context.played)
    assert not diff, diff


@given("a fleet of {count:d} agents")
def make_fleet(context, count):
    context.drv = driver.Driver(7)
    served = {f"h{i}": fleet.SERVICES for i in range(count)}
    context.fleet = fleet.Fleet(context.drv, served, hash_slots=64)
    context.drv.run(1001.0)


@given("{tcp:d} long TCP flows and {udp:d} long UDP flows")
def long_flows(context, tcp, udp):
    f = context.fleet
    context.tcp = [f.new_tcp("rounds", "feed", True) for _ in range(tcp)]
    context.udp = [f.new_udp("rounds", "feed", 2000 + i) for i in range(udp)]
    send_all(context, b"0")
    assert all(c.state == "open" for c in context.tcp + context.udp)
    context.homes = {c.flow: c.holder for c in context.udp}


def send_all(context, payload):
    for caller in context.udp:
        caller.balancer = context.drv.rng.randrange(2)
        context.fleet.send(caller, payload)
    context.drv.run(context.drv.now + 2)


@when(
    "each agent is replaced in turn by a new one after its flows ended or moved on"
)
def replace_all(context):
    f = context.fleet
    for i in range(4):
        f.start(f"new{i}", fleet.SERVICES)
        f.set_state(f"h{i}", "draining")
        f.publish("rounds")
        send_all(context, b"%d" % (i + 1))


@then("no flow that lived elsewhere was broken")
def check_homes(context):
    for caller in context.udp:
        ran = [p for (f, p) in context.fleet.ran if f == caller.flow]
        assert len(ran) == 5, ran
        proc = context.fleet.procs[context.homes[caller.flow]]
        assert caller.flow in proc.open, "the flow moved"
    moved = [p for p in context.fleet.procs.values() if p.open]
    assert sum(len(p.open) for p in moved) == 300


@when("all messages between agents are lost and {count:d} orders arrive")
def lose_all(context, count):
    f = context.fleet
    deliver = f._deliver

    def lossy(sender, to, message):
        if sender in f.balancers or to in f.balancers:
            deliver(sender, to, message)

    f._deliver = lossy
    for i in range(count):
        f.send(f.new_udp("rounds", "booking", 3000 + i), b"0")
    context.drv.run(context.drv.now + 20)


@then("none of them ran")
def check_nothing(context):
    assert not context.fleet.ran


@when("a flow is placed, 3 s pass, and its balancer attaches")
def attach_late(context):
    f = context.fleet
    with mock.patch.object(f, "_attach", lambda *_: None):
        caller = f.new_tcp("rounds", "booking")
        context.drv.run(context.drv.now + 0.5)
    assert caller.state == "attaching"
    context.drv.run(context.drv.now + 2.5)
    context.results = []
    for proc in f.procs.values():
        known = proc.core._flows.get(caller.flow)
        if known is not None and known.holder == proc.host:
            result, _ = proc.core.attach(
                context.drv.now, caller.flow, known.incarnation, False
            )
            context.results.append(result)


@then("the attach is refused as not run")
def check_attach(context):
    (result,) = context.results
    assert (result.action, result.outcome) == ("refuse", messages.REFUSED)
    assert not context.fleet.ran


@when("a packet with the key of one service carries a flow of the other")
def cross_services(context):
    f = context.fleet
    caller = f.new_udp("rounds", "lookup", 3000)
    caller.service = "wheelbook"
    f.send(caller, b"0")
    context.drv.run(context.drv.now + 2)
    caller.service = "rounds"
    f.send(caller, b"1")
    context.drv.run(context.drv.now + 2)
    caller.service = "wheelbook"
    f.send(caller, b"2")
    context.drv.run(context.drv.now + 2)


@then("no upstream is given anything")
def check_cross(context):
    assert [p for _, p in context.fleet.ran] == [b"1"], context.fleet.ran


@when("an order is sent {count:d} times through different balancers")
def send_copies(context, count):
    f = context.fleet
    caller = f.new_udp("rounds", "booking", 3000)
    for i in range(count):
        caller.balancer = i % 2
        f.send(caller, b"0")
        context.drv.run(context.drv.now + 0.004 * i)
    context.drv.run(context.drv.now + 2)


@then("it ran once")
def check_once(context):
    assert list(context.fleet.ran.values()) == [1]


@when("one agent dies and is suspected after {after:g} s")
def one_dies(context, after):
    f, drv = context.fleet, context.drv
    # All members have been there for the whole retransmit window.
    drv.run(drv.now + 40)
    table = f.balancer_tables[0]["rounds"]
    flows = [
        f.new_udp("rounds", work, 4000 + i)
        for i in range(120)
        for work in ("feed", "lookup", "booking")
    ]
    context.hit = [
        c for c in flows if table.owner(slots.slot_of(c.flow, 64)) == "h1"
    ]
    f.crash("h1")
    drv.after(after, lambda: f.suspect("h1"))
    for tenth in range(30):
        for caller in context.hit:
            if not caller.holder:
                drv.after(tenth / 10, lambda c=caller: f.send(c, b"0"))
    drv.run(drv.now + 3)


@then("new long and idempotent flows of its slots are served within 3 s")
def check_served(context):
    served = [c for c in context.hit if c.work != "booking"]
    assert served
    assert all(c.holder for c in served)


@then("new orders of its slots are served within 3 s")
def check_orders(context):
    orders = [c for c in context.hit if c.work == "booking"]
    assert orders
    assert all(c.holder for c in orders)


@when(
    "{count:d} fresh requests with a retry share of {share:g} are all refused"
)
def refuse_all(context, count, share):
    budget = retry.RetryBudget()
    context.retries = 0
    for i in range(count):
        budget.add_request(share)
        context.retries += budget.try_take(i / 1000)


@then("between {low:d} and {high:d} retries were allowed")
def check_retries(context, low, high):
    assert low <= context.retries <= high, context.retries


@when("{count:d} long flows are open on one agent")
def open_flows(context, count):
    f = fleet.Fleet(driver.Driver(1), {"h0": ("rounds",)}, hash_slots=16)
    f.drv.run(1001.0)
    proc = f.procs["h0"]
    key = slots.address_key("rounds", "feed")
    rng = random.Random(2)
    with contextlib.ExitStack() as stack:
        tracemalloc.start()
        stack.callback(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(count):
            flow = slots.random_flow(b"T", key, rng.randbytes(16))
            opened = messages.Open(
                slots.service_key("rounds"), flow, 1, 0, 0, "", "feed", "", 0
            )
            outs = proc.core.on_message(1002.0, ("10.9.0.0", 7000), opened)
            (placed,) = [
                o.message for o in outs if isinstance(o, messages.Send)
            ]
            proc.core.attach(1002.0, flow, placed.incarnation, False)
        # Reservations are forgotten once their time has passed.
        proc.core.on_timer(1010.0)
        used = tracemalloc.get_traced_memory()[0] - before
    context.per_flow = used / count


@then("each costs at most {limit:d} bytes")
def check_bytes(context, limit):
    assert context.per_flow <= limit, context.per_flow
