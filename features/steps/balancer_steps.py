import random

from behave import given
from behave import then
from behave import when

from crocusmux import decisions
from crocusmux import messages
from crocusmux.core.flows import balancer
from crocusmux.core.flows import balancer_outputs
from crocusmux.core.flows import slots
from features import sample

PORTS = {"a": 1, "b": 2, "c": 3, "d": 4}
CALLERS = [("10.0.0.1", port) for port in range(2000, 2500)]


def members(names):
    return tuple(sample.member(name, PORTS[name]) for name in names)


def run_apply(core, store, now=0.0):
    for _ in core.apply(now, store):
        pass


def target(core, caller):
    address = core.address("rounds", "position")
    return core.on_datagram(10.0, address, caller, b"x")


def hosts(core):
    names = {port: name for name, port in PORTS.items()}
    return [names[target(core, caller).to[1]] for caller in CALLERS]


def tick(context, seconds):
    """Advances the paused clock; returns what the core puts out."""
    outputs = []
    end = context.now + seconds
    while context.now < end:
        context.now += 0.05
        outputs += context.core.on_timer(context.now)
    return outputs


def sent(outputs, kind):
    return [
        o
        for o in outputs
        if isinstance(o, messages.Send) and isinstance(o.message, kind)
    ]


def open_booking(context):
    address = context.core.address("rounds", "booking")
    return context.core.open_flow(
        context.now, address, messages.FLOW_TCP, "10.0.0.1", b"f" * 16
    )


def place(context):
    flow, outputs = open_booking(context)
    placed = messages.Placed(
        outputs[0].message.service, flow, 77, "up-a", "127.0.0.1:1"
    )
    return flow, context.core.on_message(context.now, outputs[0].to, placed)


@given("a balancer core with members a, b and c of rounds at epoch 7")
def make_core(context):
    context.now = 10.0
    context.store = sample.store_of(members("abc"))
    context.core = balancer.BalancerCore("entry-1", random.Random(1))
    run_apply(context.core, context.store)


@given("a second balancer core that learnt the members one by one")
def make_second(context):
    context.second = balancer.BalancerCore("entry-2", random.Random(2))
    for epoch, names in ((4, "c"), (5, "bcd"), (6, "bc")):
        run_apply(context.second, sample.store_of(members(names), epoch=epoch))
    run_apply(context.second, context.store)


@then("both send 500 flows to the same owners")
def same_owners(context):
    assert hosts(context.core) == hosts(context.second)
    assert set(hosts(context.core)) == {"a", "b", "c"}


@when("member d joins at epoch 8")
def join(context):
    context.before = hosts(context.core)
    membership = sample.store_of(members("abcd"), epoch=8)
    context.store.apply_if_newer(membership.versioned("memberships/rounds"))
    run_apply(context.core, context.store)


@then("of 500 flows only those that d gains have moved")
def only_gained(context):
    after = hosts(context.core)
    moved = [
        now
        for was, now in zip(context.before, after, strict=True)
        if was != now
    ]
    assert set(moved) == {"d"}, moved
    # An even share of 4 members is 125; a third more is still no reshuffle.
    assert len(moved) < 167, len(moved)


@when("a stale peer offers the members a and b at epoch 6")
def stale(context):
    old = sample.store_of(members("ab"), epoch=6)
    context.store.apply_if_newer(old.versioned("memberships/rounds"))
    run_apply(context.core, context.store)


@then("the table is that of epoch 8")
def table_of_8(context):
    assert target(context.core, CALLERS[0]).message.epoch == 8
    assert "d" in hosts(context.core)


@when("a flow of owner a gets no answer for 0.9 s")
def silent(context):
    core = context.core
    context.caller = next(
        c for c in CALLERS if target(core, c).to[1] == PORTS["a"]
    )
    for name in "bc":
        core.on_message(
            context.now,
            ("127.0.0.1", PORTS[name]),
            messages.Pong(0, 1, name, 1, False),
        )
    context.outputs = tick(context, 0.9)


@then("host a is reported as suspected")
def reported(context):
    found = [
        o for o in context.outputs if isinstance(o, balancer_outputs.Suspect)
    ]
    assert [o.host for o in found] == ["a"], found


@then("the flow goes to the owner of rank 1")
def to_rank_1(context):
    send = target(context.core, context.caller)
    state = context.core.address("rounds", "position").service
    slot = slots.slot_of(send.message.flow, state.hash_slots)
    assert send.message.rank == 1
    assert send.to[1] == PORTS[state.table.owner(slot, 1)]


@when("host a answers a probe")
def answers(context):
    assert sent(context.outputs, messages.Ping)
    context.core.on_message(
        context.now, ("127.0.0.1", 1), messages.Pong(0, 1, "a", 1, False)
    )


@then("the flow goes to a again with rank 0")
def to_a(context):
    send = target(context.core, context.caller)
    assert (send.to[1], send.message.rank) == (PORTS["a"], 0)


@when("{seconds:d} s pass without traffic")
def idle(context, seconds):
    context.outputs = tick(context, seconds)


@then("no message was sent")
def nothing_sent(context):
    assert context.outputs == [], context.outputs


@when("an agent answers a rounds flow under the key of wheelbook")
def crossed(context):
    flow = target(context.core, CALLERS[0]).message.flow
    reply = messages.Reply(
        slots.service_key("wheelbook"), flow, 1, messages.ANSWERED, b"x"
    )
    context.outputs = context.core.on_message(10.0, ("127.0.0.1", 1), reply)
    right = messages.Reply(
        slots.service_key("rounds"), flow, 1, messages.ANSWERED, b"x"
    )
    context.right = context.core.on_message(10.0, ("127.0.0.1", 1), right)


@then("nothing is sent to the caller")
def nothing_to_caller(context):
    assert context.outputs == []
    assert context.right[0].caller == CALLERS[0]


@when("a booking is opened and no agent answers")
def open_unanswered(context):
    context.flow, outputs = open_booking(context)
    context.start = context.now
    context.outputs = outputs + tick(context, 3.0)


@then("the open was sent more than 3 times with one flow id")
def repeated(context):
    opens = sent(context.outputs, messages.Open)
    assert len(opens) > 3, len(opens)
    assert {o.message.flow for o in opens} == {context.flow}


@then("the booking is refused as not run within its deadline of 2 s")
def refused(context):
    found = [
        o
        for o in context.outputs
        if isinstance(o, balancer_outputs.FlowRefused)
    ]
    assert [o.outcome for o in found] == [messages.REFUSED]
    logged = [o for o in context.outputs if isinstance(o, decisions.Decision)]
    assert any(o.what == "refuse" and o.always for o in logged)
    late = tick(context, 1.0)
    assert not sent(late, messages.Open)


@when("a booking is placed and its holder is lost after Attach")
def lost_after_attach(context):
    flow, outputs = place(context)
    assert isinstance(outputs[0], balancer_outputs.AttachTo)
    context.outputs = context.core.attach_failed(
        context.now, flow, True, "holder-lost"
    )


@then("its outcome is unknown and nothing is sent")
def unknown(context):
    assert context.outputs[0].outcome == messages.UNKNOWN
    later = context.outputs + tick(context, 3.0)
    assert not sent(later, messages.Open)


@when("a booking is placed and its holder cannot be dialled")
def not_dialled(context):
    flow, _ = place(context)
    context.outputs = context.core.attach_failed(
        context.now, flow, False, "holder-unreachable"
    )


@then("a second attempt excludes the first upstream")
def second_attempt(context):
    (again,) = context.outputs
    assert isinstance(again, balancer_outputs.RetryFlow), again
    _, outputs = context.core.open_flow(
        context.now,
        context.core.address("rounds", "booking"),
        messages.FLOW_TCP,
        "10.0.0.1",
        b"g" * 16,
        attempt=2,
        exclude=again.exclude,
    )
    request = sent(outputs, messages.Open)[0].message
    assert (request.attempt, request.exclude) == (2, "up-a")
