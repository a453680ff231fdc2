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
    return tuple(sample.make_member(name, PORTS[name]) for name in names)


def configure(core, store, now=0.0):
    for _ in core.apply(now, store):
        pass


def route_datagram(core, caller):
    address = core.find_address("rounds", "position")
    return core.on_datagram(10.0, address, caller, b"x")


def owners(core):
    names = {port: name for name, port in PORTS.items()}
    return [names[route_datagram(core, caller).to[1]] for caller in CALLERS]


def advance(context, seconds):
    """Advances the test's time; returns the outputs of the core's timer."""
    outputs = []
    end = context.now + seconds
    while context.now < end:
        context.now += 0.05
        outputs += context.core.on_timer(context.now)
    return outputs


def sent_messages(outputs, kind):
    return [
        o
        for o in outputs
        if isinstance(o, messages.Send) and isinstance(o.message, kind)
    ]


def open_booking(context):
    address = context.core.find_address("rounds", "booking")
    return context.core.open_flow(
        context.now, address, messages.FLOW_TCP, "10.0.0.1", b"f" * 16
    )


def place_booking(context):
    flow, outputs = open_booking(context)
    placed = messages.Placed(
        outputs[0].message.service, flow, 77, "up-a", "127.0.0.1:1"
    )
    return flow, context.core.on_message(context.now, outputs[0].to, placed)


@given("a balancer core with members a, b and c of rounds at epoch 7")
def make_core(context):
    context.now = 10.0
    context.store = sample.make_store(members("abc"))
    context.core = balancer.TerminatingBalancer("entry-1", random.Random(1))
    configure(context.core, context.store)


@given("a second balancer core that got the members one by one")
def make_second(context):
    context.second = balancer.TerminatingBalancer("entry-2", random.Random(2))
    for epoch, names in ((4, "c"), (5, "bcd"), (6, "bc")):
        configure(
            context.second, sample.make_store(members(names), epoch=epoch)
        )
    configure(context.second, context.store)


@then("both send 500 flows to the same owners")
def check_same_owners(context):
    assert owners(context.core) == owners(context.second)
    assert set(owners(context.core)) == {"a", "b", "c"}


@when("member d joins at epoch 8")
def join_member_d(context):
    context.before = owners(context.core)
    membership = sample.make_store(members("abcd"), epoch=8)
    context.store.apply_if_newer(membership.versioned("memberships/rounds"))
    configure(context.core, context.store)


@then("of 500 flows only those that d gains have moved")
def check_only_gained_flows_moved(context):
    after = owners(context.core)
    moved = [
        new
        for old, new in zip(context.before, after, strict=True)
        if old != new
    ]
    assert set(moved) == {"d"}, moved
    # 125 flows are an even share of 4 members; the limit is a third above it.
    assert len(moved) < 167, len(moved)


@when("a stale peer offers the members a and b at epoch 6")
def offer_stale_membership(context):
    old = sample.make_store(members("ab"), epoch=6)
    context.store.apply_if_newer(old.versioned("memberships/rounds"))
    configure(context.core, context.store)


@then("the table is that of epoch 8")
def check_table_of_epoch_8(context):
    assert route_datagram(context.core, CALLERS[0]).message.epoch == 8
    assert "d" in owners(context.core)


@when("owner a answers nothing for 0.9 s after a packet")
def leave_owner_silent(context):
    core = context.core
    context.caller = next(
        c for c in CALLERS if route_datagram(core, c).to[1] == PORTS["a"]
    )
    for name in "bc":
        core.on_message(
            context.now,
            ("127.0.0.1", PORTS[name]),
            messages.Pong(0, 1, name, 1, False),
        )
    context.outputs = advance(context, 0.9)


@then("host a is reported as suspected")
def check_suspected(context):
    suspects = [
        o for o in context.outputs if isinstance(o, balancer_outputs.Suspect)
    ]
    assert [o.host for o in suspects] == ["a"], suspects


@then("the flow goes to the owner of rank 1")
def check_rank_1(context):
    send = route_datagram(context.core, context.caller)
    state = context.core.find_address("rounds", "position").service
    slot = slots.slot_of(send.message.flow, state.hash_slots)
    assert send.message.rank == 1
    assert send.to[1] == PORTS[state.table.owner(slot, 1)]


@when("host a answers a probe")
def answer_probe(context):
    assert sent_messages(context.outputs, messages.Ping)
    context.core.on_message(
        context.now, ("127.0.0.1", 1), messages.Pong(0, 1, "a", 1, False)
    )


@then("the flow goes to a again with rank 0")
def check_rank_0(context):
    send = route_datagram(context.core, context.caller)
    assert (send.to[1], send.message.rank) == (PORTS["a"], 0)


@when("{seconds:d} s pass without traffic")
def pass_idle_time(context, seconds):
    context.outputs = advance(context, seconds)


@then("no message was sent")
def check_nothing_sent(context):
    assert context.outputs == [], context.outputs


@when("an agent replies to a rounds flow under the key of wheelbook")
def reply_for_other_service(context):
    flow = route_datagram(context.core, CALLERS[0]).message.flow
    reply = messages.Reply(
        slots.service_key("wheelbook"), flow, 1, messages.ANSWERED, b"x"
    )
    context.outputs = context.core.on_message(10.0, ("127.0.0.1", 1), reply)
    valid = messages.Reply(
        slots.service_key("rounds"), flow, 1, messages.ANSWERED, b"x"
    )
    context.to_caller = context.core.on_message(10.0, ("127.0.0.1", 1), valid)


@then("nothing is sent to the caller")
def check_nothing_to_caller(context):
    assert context.outputs == []
    assert context.to_caller[0].caller == CALLERS[0]


@when("a booking is opened and no agent answers")
def open_unanswered(context):
    context.flow, outputs = open_booking(context)
    context.start = context.now
    context.outputs = outputs + advance(context, 3.0)


@then("the opening was sent more than 3 times with one flow id")
def check_retransmitted(context):
    opens = sent_messages(context.outputs, messages.Open)
    assert len(opens) > 3, len(opens)
    assert {o.message.flow for o in opens} == {context.flow}


@then("the booking is refused as not run within its deadline of 2 s")
def check_refused(context):
    refusals = [
        o
        for o in context.outputs
        if isinstance(o, balancer_outputs.FlowRefused)
    ]
    assert [o.outcome for o in refusals] == [messages.REFUSED]
    logged = [o for o in context.outputs if isinstance(o, decisions.Decision)]
    assert any(o.what == "refuse" and o.always for o in logged)
    late = advance(context, 1.0)
    assert not sent_messages(late, messages.Open)


@when("a booking is placed and its holder is lost after Attach")
def lose_holder_after_attach(context):
    flow, outputs = place_booking(context)
    assert isinstance(outputs[0], balancer_outputs.AttachTo)
    context.outputs = context.core.on_attach_failed(
        context.now, flow, True, "holder-lost"
    )


@then("its outcome is unknown and nothing is sent")
def check_unknown(context):
    assert context.outputs[0].outcome == messages.UNKNOWN
    later = context.outputs + advance(context, 3.0)
    assert not sent_messages(later, messages.Open)


@when("a booking is placed and its holder cannot be dialled")
def fail_to_dial_holder(context):
    flow, _ = place_booking(context)
    context.outputs = context.core.on_attach_failed(
        context.now, flow, False, "holder-unreachable"
    )


@then("a second attempt excludes the first upstream")
def check_second_attempt(context):
    (retry,) = context.outputs
    assert isinstance(retry, balancer_outputs.RetryFlow), retry
    _, outputs = context.core.open_flow(
        context.now,
        context.core.find_address("rounds", "booking"),
        messages.FLOW_TCP,
        "10.0.0.1",
        b"g" * 16,
        attempt=2,
        exclude=retry.exclude,
    )
    request = sent_messages(outputs, messages.Open)[0].message
    assert (request.attempt, request.exclude) == (2, "up-a")
