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
from crocusmux.core.flows import service_state
from crocusmux.core.flows import slots
from crocusmux.core.load import retry
from features import golden
from spec import check

DISABLED_RULES = {
    "a fenced term is refused": lambda: mock.patch.object(
        ownership.Ownership, "newer_fence", lambda *_: None
    ),
    "a witness knows a flow before it runs": lambda: mock.patch.object(
        service_state.AgentService, "required_copies", lambda *_: (0, [])
    ),
    "messages read after a pause are not run": lambda: mock.patch.object(
        agent.TerminatingAgent, "_may_run_too_late", lambda *_: False
    ),
}


@when("the model checker searches the specification")
def check_specification(context):
    context.lines = []
    context.unexpected = check.check_all(context.lines.append)


@then("each check has its expected result")
def check_specification_results(context):
    assert len(context.lines) == len(check.CHECKS) == 39
    assert not context.unexpected, "\n".join(context.lines)


@when(
    "{count:d} generated sequences of {size:d} actions run on the agent cores"
)
def run_generated_actions(context, count, size):
    names = strategies.sampled_from(
        chaos.TRAFFIC_ACTIONS * 4 + chaos.FAULT_ACTIONS
    )
    number = strategies.integers(0, 999)
    action = strategies.tuples(names, number, number)
    context.violation_counts = collections.Counter()

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
    def run_actions(seed, actions):
        counts = chaos.run(seed, actions).violations()
        assert not any(counts.values()), (seed, counts)

    run_actions()


@then("no invariant was violated")
def check_no_violation(context):
    assert not any(context.violation_counts.values()), context.violation_counts


@given('an agent core without the rule "{rule}"')
def disable_rule(context, rule):
    context.disable_rule = DISABLED_RULES[rule]


@when("random faults with seeds {first:d}-{last:d} run on the agent cores")
def run_random_faults(context, first, last):
    context.violation_counts = collections.Counter()
    with context.disable_rule():
        for seed in range(first, last + 1):
            context.violation_counts.update(chaos.run(seed, 400).violations())
            if any(context.violation_counts.values()):
                return


@then("an invariant was violated")
def check_violation(context):
    assert any(context.violation_counts.values()), (
        "the missing rule caused no violation"
    )


@when('the session "{name}" is simulated')
def simulate_session(context, name):
    context.name, context.event_log = name, golden.play(name)


@then("its event log equals the golden file")
def check_event_log(context):
    diff = golden.difference(context.name, context.event_log)
    assert not diff, diff


@given("a fleet of {count:d} agents")
def make_fleet(context, count):
    context.driver = driver.Driver(7)
    served = {f"h{i}": fleet.SERVICES for i in range(count)}
    context.fleet = fleet.Fleet(context.driver, served, hash_slots=64)
    context.driver.run(1001.0)


@given("{tcp:d} long TCP flows and {udp:d} long UDP flows")
def open_long_flows(context, tcp, udp):
    sim = context.fleet
    context.tcp = [sim.new_tcp("rounds", "feed", True) for _ in range(tcp)]
    context.udp = [sim.new_udp("rounds", "feed", 2000 + i) for i in range(udp)]
    send_on_udp_flows(context, b"0")
    assert all(c.state == "open" for c in context.tcp + context.udp)
    context.first_holders = {c.flow: c.holder for c in context.udp}


def send_on_udp_flows(context, payload):
    for caller in context.udp:
        caller.balancer = context.driver.rng.randrange(2)
        context.fleet.send(caller, payload)
    context.driver.run(context.driver.now + 2)


@when("each agent in turn drains after a new agent has joined")
def drain_each_agent(context):
    sim = context.fleet
    for i in range(4):
        sim.start(f"new{i}", fleet.SERVICES)
        sim.set_state(f"h{i}", "draining")
        sim.publish("rounds")
        send_on_udp_flows(context, b"%d" % (i + 1))


@then("each flow is still at its first holder")
def check_first_holders(context):
    for caller in context.udp:
        ran = [
            p for (flow, p) in context.fleet.run_counts if flow == caller.flow
        ]
        assert len(ran) == 5, ran
        proc = context.fleet.procs[context.first_holders[caller.flow]]
        assert caller.flow in proc.open_flows, "the flow moved"
    busy = [p for p in context.fleet.procs.values() if p.open_flows]
    assert sum(len(p.open_flows) for p in busy) == 300


@when("all messages between agents are lost and {count:d} orders arrive")
def lose_agent_messages(context, count):
    sim = context.fleet
    deliver = sim._deliver

    def lossy(sender, to, message):
        if sender in sim.balancers or to in sim.balancers:
            deliver(sender, to, message)

    sim._deliver = lossy
    for i in range(count):
        sim.send(sim.new_udp("rounds", "booking", 3000 + i), b"0")
    context.driver.run(context.driver.now + 20)


@then("no order ran")
def check_nothing_ran(context):
    assert not context.fleet.run_counts


@when("a flow is placed, 3 s pass, and its balancer attaches")
def attach_late(context):
    sim = context.fleet
    with mock.patch.object(sim, "_attach", lambda *_: None):
        caller = sim.new_tcp("rounds", "booking")
        context.driver.run(context.driver.now + 0.5)
    assert caller.state == "attaching"
    context.driver.run(context.driver.now + 2.5)
    context.results = []
    for proc in sim.procs.values():
        flow = proc.core._flows.get(caller.flow)
        if flow is not None and flow.holder == proc.host:
            result, _ = proc.core.on_attach(
                context.driver.now, caller.flow, flow.incarnation, False
            )
            context.results.append(result)


@then("the attach is refused as not run")
def check_attach_refused(context):
    (result,) = context.results
    assert (result.action, result.outcome) == ("refuse", messages.REFUSED)
    assert not context.fleet.run_counts


@when("packets for one service carry a flow id of another")
def mix_services(context):
    sim = context.fleet
    caller = sim.new_udp("rounds", "lookup", 3000)
    caller.service = "wheelbook"
    sim.send(caller, b"0")
    context.driver.run(context.driver.now + 2)
    caller.service = "rounds"
    sim.send(caller, b"1")
    context.driver.run(context.driver.now + 2)
    caller.service = "wheelbook"
    sim.send(caller, b"2")
    context.driver.run(context.driver.now + 2)


@then("only the packet for the right service reaches an upstream")
def check_services_separate(context):
    assert [p for _, p in context.fleet.run_counts] == [b"1"], (
        context.fleet.run_counts
    )


@when("an order is sent {count:d} times through different balancers")
def send_duplicates(context, count):
    sim = context.fleet
    caller = sim.new_udp("rounds", "booking", 3000)
    for i in range(count):
        caller.balancer = i % 2
        sim.send(caller, b"0")
        context.driver.run(context.driver.now + 0.004 * i)
    context.driver.run(context.driver.now + 2)


@then("the order ran once")
def check_ran_once(context):
    assert list(context.fleet.run_counts.values()) == [1]


@when("one agent dies and is suspected after {after:g} s")
def kill_agent(context, after):
    sim, drv = context.fleet, context.driver
    # After this, all members have been there for a whole retransmit window.
    drv.run(drv.now + 40)
    table = sim.balancer_tables[0]["rounds"]
    flows = [
        sim.new_udp("rounds", work, 4000 + i)
        for i in range(120)
        for work in ("feed", "lookup", "booking")
    ]
    context.callers_of_slots = [
        c for c in flows if table.owner(slots.slot_of(c.flow, 64)) == "h1"
    ]
    sim.crash("h1")
    drv.after(after, lambda: sim.suspect("h1"))
    for tenth in range(30):
        for caller in context.callers_of_slots:
            if not caller.holder:
                drv.after(tenth / 10, lambda c=caller: sim.send(c, b"0"))
    drv.run(drv.now + 3)


@then("new long and idempotent flows of its slots are served within 3 s")
def check_repeatable_served(context):
    served = [c for c in context.callers_of_slots if c.work_class != "booking"]
    assert served
    assert all(c.holder for c in served)


@then("new orders of its slots are served within 3 s")
def check_orders_served(context):
    orders = [c for c in context.callers_of_slots if c.work_class == "booking"]
    assert orders
    assert all(c.holder for c in orders)


@when(
    "{count:d} first attempts with a retry share of {share:g} are all refused"
)
def refuse_first_attempts(context, count, share):
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
    sim = fleet.Fleet(driver.Driver(1), {"h0": ("rounds",)}, hash_slots=16)
    sim.drv.run(1001.0)
    proc = sim.procs["h0"]
    key = slots.address_key("rounds", "feed")
    rng = random.Random(2)
    with contextlib.ExitStack() as stack:
        tracemalloc.start()
        stack.callback(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(count):
            flow = slots.make_flow_id(b"T", key, rng.randbytes(16))
            opened = messages.Open(
                slots.service_key("rounds"), flow, 1, 0, 0, "", "feed", "", 0
            )
            outs = proc.core.on_message(1002.0, ("10.9.0.0", 7000), opened)
            (placed,) = [
                o.message for o in outs if isinstance(o, messages.Send)
            ]
            proc.core.on_attach(1002.0, flow, placed.incarnation, False)
        # Expires the records of the reservations.
        proc.core.on_timer(1010.0)
        used = tracemalloc.get_traced_memory()[0] - before
    context.bytes_per_flow = used / count


@then("each takes at most {limit:d} bytes of memory")
def check_memory(context, limit):
    assert context.bytes_per_flow <= limit, context.bytes_per_flow
