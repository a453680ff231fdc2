import contextlib
import json
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from crocusmux.core.forward import chooser
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import openings
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import upstreams
from features import balancer_sample


@given("a balancer with the agents a, b, c of rounds and d of wheelbook")
def balancer_with_agents(context):
    balancer_sample.start_with_agents(context)


@given("a balancer that started after its route moved to wheelbook")
def balancer_after_move(context):
    balancer_sample.start_with_agents(
        context, balancer_sample.configuration(6, service="wheelbook")
    )


@given("a balancer with {count:d} agents of rounds")
def balancer_with_many(context, count):
    balancer_sample.start(context)
    balancer_sample.add_agents(context, count)


@given("a balancer with {count:d} agents of rounds in 4 failure domains")
def balancer_with_many_in_domains(context, count):
    balancer_sample.start(context)
    balancer_sample.add_agents(context, count, balancer_sample.FAILURE_DOMAINS)


@given("a balancer with a route but without reports")
def balancer_without_reports(context):
    balancer_sample.start(context)
    context.core.add_agent(
        context.now, balancer_sample.record("a", "rounds", "10.0.1.1")
    )


@given("a balancer with a route and a complete list without agents")
def balancer_without_agents(context):
    balancer_sample.start(context)
    context.core.agent_table.complete = True


@given("a balancer with a route and no list of agents")
def balancer_without_list(context):
    balancer_sample.start(context)


@given("agent a takes 60 ms for a request and the others 20 ms")
def uneven_agents(context):
    balancer_sample.report_all(context, "a", service_ms=60.0)
    balancer_sample.report_all(context, "bcd", service_ms=20.0)


@given("agents report every {seconds:g} s")
def report_interval(context, seconds):
    context.interval_s = seconds
    balancer_sample.report_all(context, "abcd", interval_s=seconds)


@when("a caller opens a flow to rounds")
def open_flow(context):
    context.acknowledged = False
    context.key = balancer_sample.flow_key(40001)
    seg = balancer_sample.segment(context.key, opening=True)
    context.outs = context.core.on_segment(context.now, seg)
    context.offered = balancer_sample.offered_hosts(context)


@when("{count:d} callers open flows to rounds")
def open_flows(context, count, between_reports=10):
    context.outs = []
    for port in range(count):
        seg = balancer_sample.segment(
            balancer_sample.flow_key(30000 + port), opening=True
        )
        context.outs += context.core.on_segment(context.now, seg)
        if (port + 1) % between_reports == 0:
            balancer_sample.repeat_reports(context)


@when("{count:d} callers open flows to rounds, two between reports")
def open_flows_slowly(context, count):
    open_flows(context, count, between_reports=2)


@when("all agents report other loads")
def other_loads(context):
    for number, host in enumerate("abcd"):
        balancer_sample.report_all(context, host, in_progress=float(number))


@when("the caller sends {count:d} segments")
def send_segments(context, count):
    context.outs = []
    for _ in range(count):
        seg = balancer_sample.segment(context.key, ack=77_000, length=100)
        context.outs += context.core.on_segment(context.now, seg)


@then("the balancer is not ready")
def balancer_not_ready(context):
    assert not context.core.ready()


@then("the balancer is ready")
def balancer_ready(context):
    assert context.core.ready()


@when("the agent that was offered the flow declines it")
@when('the agent that was offered the flow declines it as "{reason}"')
def offered_agent_declines(context, reason="overload"):
    reply = reports.OpeningDeclined(context.offered[0], context.key, reason)
    context.outs = context.core.on_message(context.now, reply)


@when("every agent that is offered the flow declines it")
@when('every agent that is offered the flow declines it as "{reason}"')
def all_decline(context, reason="overload"):
    for _ in range(10):
        hosts = balancer_sample.offered_hosts(context)
        if not hosts:
            return
        message = reports.OpeningDeclined(hosts[0], context.key, reason)
        context.outs = context.core.on_message(context.now, message)
    raise AssertionError("the flow is offered without end")


@when("the caller retransmits its opening after {seconds:g} s")
def retransmit_opening(context, seconds):
    context.now += seconds
    seg = balancer_sample.segment(context.key, opening=True, ack=1)
    context.outs = context.core.on_segment(context.now, seg)
    context.offered += balancer_sample.offered_hosts(context)


@when("agent a stays silent for {seconds:g} s while others report")
def one_silent(context, seconds):
    context.now += seconds
    interval_s = getattr(context, "interval_s", 0.25)
    balancer_sample.report_all(context, "bcd", interval_s=interval_s)


@when("agent a reports that it takes flows")
def agent_reports(context):
    context.outs = context.core.on_message(
        context.now, balancer_sample.load_report("a")
    )


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    context.now += seconds
    context.outs = context.core.on_timer(context.now)


@when("{seconds:g} s pass with reports of all agents")
def time_passes_with_reports(context, seconds):
    context.now += seconds
    balancer_sample.report_all(context, "abcd")
    context.outs = context.core.on_timer(context.now)


@when("a configuration of an {age} version without routes arrives")
@when("a configuration of a {age} version without routes arrives")
def empty_configuration(context, age):
    version = {"older": 4, "newer": 6}[age]
    context.core.configure(
        balancer_sample.configuration(version, with_routes=False)
    )


@when("the route moves to {service} in version {version:d}")
def move_route(context, service, version):
    context.core.configure(
        balancer_sample.configuration(version, service=service)
    )


@when("a configuration of version {version:d} without routes arrives")
def drop_all_routes(context, version):
    context.core.configure(
        balancer_sample.configuration(version, with_routes=False)
    )


@when("a peer with version {version:d} of rounds shares its state")
def peer_state(context, version):
    context.core.routes.learn_former_services(
        balancer_sample.configuration(version), ()
    )


def list_agent(context, host, service, revision):
    context.core.add_agent(
        context.now,
        balancer_sample.record(host, service, "10.0.1.9"),
        revision,
    )


@when(
    "the store lists at one address x of rounds at revision {first:d} and y of"
    " wheelbook at revision {second:d}"
)
def list_two_at_address(context, first, second):
    list_agent(context, "x", "rounds", first)
    list_agent(context, "y", "wheelbook", second)


@when("agent x is listed as of {service} at revision {revision:d}")
def list_again(context, service, revision):
    list_agent(context, "x", service, revision)


@then("of these two only {host} is known")
def one_of_two(context, host):
    assert context.core.agent_table.hosts() & {"x", "y"} == {host}


@then("agent x is of {service}")
def service_of_x(context, service):
    assert context.core.agent_table.get("x").record.service == service


@when("an agent e of wheelbook announces itself at the address of a")
def reused_address(context):
    context.core.add_agent(
        context.now, balancer_sample.record("e", "wheelbook", "10.0.1.1")
    )
    balancer_sample.report_all(context, "e")


@when("flows of urgency {urgencies} wait in this order")
def queue_flows(context, urgencies):
    context.queue = openings.OpeningQueue()
    for number, urgency in enumerate(urgencies.split(", "), 1):
        route = routes.Route(
            "r",
            balancer_sample.ROUNDS,
            (("rounds", 1),),
            2.0,
            0.2,
            int(urgency),
            False,
        )
        flow = flow_table.Flow(context.now + number * 0.01)
        key = balancer_sample.flow_key(number)
        pending = openings.PendingOpening(key, flow, route)
        assert context.queue.add(context.now, pending)


@then("they are offered in the order {numbers}")
def offered_in_order(context, numbers):
    balancer_sample.check_order(context, numbers, context.now + 0.11)


@then("after {count:d} of them missed their goal the order is {numbers}")
def offered_after_misses(context, count, numbers):
    balancer_sample.check_order(
        context, numbers, context.now + count * 0.01 + 0.125
    )


@then("one agent of rounds is offered the flow")
def one_offer(context):
    hosts = balancer_sample.offered_hosts(context)
    assert len(hosts) == 1 and hosts[0] in "abc", hosts


@then("the caller gets no reset")
def no_reset(context):
    assert not balancer_sample.resets(context)


@then("the caller gets a reset")
def one_reset(context):
    assert [o.key for o in balancer_sample.resets(context)] == [context.key], (
        context.outs
    )


@then("the caller gets a reset near its acknowledgement")
def reset_in_window(context):
    (reset,) = balancer_sample.resets(context)
    assert reset.key == context.key
    assert abs(reset.seq - 77_000) < balancer_sample.RESET_WINDOW


@then("another agent of rounds is offered the flow")
def another_offer(context):
    hosts = balancer_sample.offered_hosts(context)
    assert len(hosts) == 1 and hosts[0] not in context.offered, hosts
    assert hosts[0] in "abc"


@then("two different agents were offered the flow")
def two_offers(context):
    assert len(set(context.offered)) == 2, context.offered


@then("agent {host} is offered none of them")
@then("agents {host} are offered none of them")
def offered_none(context, host):
    hosts = balancer_sample.offered_hosts(context)
    assert len(hosts) == 200, len(hosts)
    assert not set(host.split(", ")) & set(hosts)


@when("agent {host} alone declines {count:d} flows, and then all report")
@when(
    'agent {host} alone declines {count:d} flows as "{reason}", and then all'
    " report"
)
def declines_many(context, host, count, reason="overload"):
    others = "abcd".replace(host, "")
    balancer_sample.report_all(context, others, accepting=False)
    for port in range(count):
        key = balancer_sample.flow_key(20000 + port)
        context.core.on_segment(
            context.now, balancer_sample.segment(key, opening=True)
        )
        message = reports.OpeningDeclined(host, key, reason)
        context.core.on_message(context.now, message)
        context.now += 0.05 if reason == "overload" else 0.0
    balancer_sample.report_all(context, "abcd")


@then("agent a is offered some of them")
def offered_some(context):
    assert "a" in balancer_sample.offered_hosts(context)


@then("no agent is offered the flow and the caller gets no reset")
def flow_queued(context):
    assert not balancer_sample.offers(
        context.outs
    ) and not balancer_sample.resets(context)


@then("agent a is offered the flow")
def offered_to_a(context):
    assert balancer_sample.offered_hosts(context) == ["a"], context.outs


@then("agent a is offered between {low:d} and {high:d} percent of them")
def share_of_a(context, low, high):
    hosts = balancer_sample.offered_hosts(context)
    share = 100 * hosts.count("a") / len(hosts)
    assert low <= share <= high, share


@given("a balancer in abay with {near:d} agents there and {far:d} in enbek")
def balancer_in_domain(context, near, far):
    balancer_sample.start(context)
    context.hosts = [f"h{number}" for number in range(near + far)]
    context.near = context.hosts[:near]
    for number, host in enumerate(context.hosts):
        domain = "abay" if host in context.near else "enbek"
        new_record = balancer_sample.record(
            host, "rounds", f"10.0.2.{number}", domain
        )
        context.core.add_agent(context.now, new_record)
    balancer_sample.report_all(context, context.hosts)


@when("the agents in abay report {count:d} requests in progress")
def near_are_full(context, count):
    balancer_sample.report_all(context, context.near, in_progress=float(count))


@when("the agents in abay report {near:d} open flows and the others {far:d}")
def report_flows(context, near, far):
    others = [host for host in context.hosts if host not in context.near]
    balancer_sample.report_all(context, context.near, flows=near)
    balancer_sample.report_all(context, others, flows=far)


@then("at {bound} {percent:d} percent of them are offered to agents in abay")
def offered_near(context, bound, percent):
    hosts = balancer_sample.offered_hosts(context)
    share = 100 * sum(host in context.near for host in hosts) / len(hosts)
    assert len(hosts) == 400
    assert share >= percent if bound == "least" else share <= percent, share


@then("at most {count:d} agents were examined")
def few_examined(context, count):
    examined = set()

    def record_of(method):
        def wrapper(upstream, now):
            examined.add(upstream.record.host)
            return method(upstream, now)

        return wrapper

    names = ("accepts", "silent", "lost")
    with contextlib.ExitStack() as stack:
        for name in names:
            method = getattr(upstreams.Upstream, name)
            stack.enter_context(
                mock.patch.object(upstreams.Upstream, name, record_of(method))
            )
        opening = bool(context.offered)
        context.offered = []
        seg = balancer_sample.segment(
            balancer_sample.flow_key(40900 + opening), opening, 77_000, 100
        )
        outs = context.core.on_segment(context.now, seg)
    assert outs and 0 < len(examined) <= count, len(examined)


@when(
    "{count:d} flows are placed while {share:d} percent of the agents are away"
)
def place_while_away(context, count, share):
    away = set(random.Random(2).sample(context.hosts, 3 * share))
    for host in away:
        context.core.agent_table.get(host).avoided = True
    context.holders = {}
    for port in range(count):
        key = balancer_sample.flow_key(41_000 + port)
        outs = context.core.on_segment(
            context.now, balancer_sample.segment(key, opening=True)
        )
        context.holders[key] = balancer_sample.host_at(
            context, balancer_sample.offers(outs)[0].to
        )
    assert not away & set(context.holders.values())


@then("one flow is placed among {count:d} of them")
def check_candidates(context, count):
    upstream_chooser = chooser.UpstreamChooser(
        context.core.agent_table, "abay", random.Random(4)
    )
    chosen = {
        upstream_chooser.choose(
            context.now, balancer_sample.flow_key(40_001), "rounds", set()
        ).record.host
        for _ in range(200)
    }
    assert len(chosen) == count, chosen


@when("all agents but {host} decline new flows")
def only_one_accepts(context, host):
    others = [name for name in context.hosts if name != host]
    balancer_sample.report_all(context, others, accepting=False)


@then("agent {host} was offered the flow")
def was_offered(context, host):
    assert context.offered + balancer_sample.offered_hosts(context) == [host]


@when('agent a declines 2 flows at once, as "{first}" and "{second}"')
def declines_two(context, first, second):
    balancer_sample.report_all(context, "bcd", accepting=False)
    keys = [balancer_sample.flow_key(20_000 + n) for n in range(2)]
    for key in keys:
        seg = balancer_sample.segment(key, opening=True)
        context.core.on_segment(context.now, seg)
    for key, reason in zip(keys, (first, second), strict=True):
        message = reports.OpeningDeclined("a", key, reason)
        outs = context.core.on_message(context.now, message)
        assert any(isinstance(o, outputs.Event) for o in outs), outs


@when(
    "a configuration of version {version:d} limits {service} to {rate:g} a"
    " second"
)
def limit_service(context, version, service, rate):
    cfg = msgspec.structs.replace(
        balancer_sample.configuration(version),
        warmup_rates=((service, rate),),
    )
    context.outs = context.core.configure(cfg)


def subscriptions(context):
    return [
        o
        for o in context.outs
        if isinstance(o, outputs.ToPeer)
        and isinstance(o.message, reports.Subscribe)
    ]


@then("it sends the rates {rates}")
def check_rates(context, rates):
    sent = {
        balancer_sample.host_with_control(context, o.to): o.message.warmup_per_s
        for o in subscriptions(context)
    }
    pairs = [x.split("=") for x in rates.replace(" and ", ", ").split(", ")]
    assert sent == {host: float(rate) for host, rate in pairs}, sent


@then("a peer's configuration with the rate {rate} cannot be decoded")
def check_rate_refused(context, rate):
    cfg = msgspec.to_builtins(balancer_sample.configuration(6))
    cfg["warmup_rates"] = [["rounds", 2.0]]
    msgspec.json.decode(json.dumps(cfg), type=routes.Configuration)
    cfg["warmup_rates"].append(["wheelbook", float(rate)])
    try:
        msgspec.json.decode(json.dumps(cfg), type=routes.Configuration)
    except msgspec.ValidationError as exc:
        assert "wheelbook" in str(exc), exc
        return
    raise AssertionError("it was taken")


class OlderSubscribe(msgspec.Struct, frozen=True, tag="s", array_like=True):
    """The message of releases without a rate."""

    balancer: str
    address: tuple[str, int]
    config_version: int
    config_source: str
    valid_s: float
    interval_s: float
    report_now: bool = False
    compact: bool = False


OLDER = OlderSubscribe("edge-1", ("10.0.0.9", 7720), 5, "", 10, 0.25, True)


@then("a subscription of an older release has no rate")
def check_older(context):
    data = msgspec.msgpack.encode(OLDER)
    message = msgspec.msgpack.decode(data, type=reports.Message)
    assert message.warmup_per_s == 0.0 and message.domain_state is None
    assert (message.interval_s, message.report_now) == (0.25, True)


@then("a subscription with the rate {rate:g} is read by an older release")
def check_newer(context, rate):
    values = msgspec.structs.asdict(OLDER)
    message = reports.Subscribe(
        **values,
        warmup_per_s=rate,
        domain_state=reports.DomainState(False, 20, 0.5),
    )
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=OlderSubscribe) == OLDER
    assert msgspec.msgpack.decode(data, type=reports.Message) == message


@then(
    "its subscriptions are {count:d} bytes longer than those of an older release"
)
def check_length(context, count):
    sent = subscriptions(context)
    assert len(sent) == 4, sent
    for output in sent:
        data = msgspec.msgpack.encode(output.message)
        older = msgspec.msgpack.decode(data, type=OlderSubscribe)
        # Whole seconds are sent as integers.
        older = msgspec.structs.replace(older, valid_s=output.message.valid_s)
        assert len(data) - len(msgspec.msgpack.encode(older)) == count
