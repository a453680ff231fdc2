import collections
import contextlib
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from crocusmux.core.forward import balancer
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import openings
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

ROUNDS = ("198.18.0.1", 443)
# A caller takes a reset whose sequence lies this close to its last
# acknowledgement, in bytes (source: the platform's protocol).
RESET_WINDOW = 76_800
FAILURE_DOMAINS = ("abay", "enbek", "karatau", "turan")
BALANCER_ADDRESS = ("10.0.0.9", 7720)
# A caller's first retransmission of its SYN (source: the platform's protocol).
SYN_RETRANSMIT_S = 0.2
CALLER = b"\x64\x40\x00\x07"


def record(host, service, ip, domain="abay"):
    control = (ip, 7720)
    return upstreams.AgentRecord(host, service, domain, (ip, 8172), control)


def configuration(version, with_routes=True):
    route = routes.Route(
        "bookings", ROUNDS, (("rounds", 1),), 2.0, 0.2, 1, False
    )
    return routes.Configuration(version, (route,) if with_routes else ())


def load_report(host, service="rounds", sequence=1, **changes):
    values = {
        "host": host,
        "service": service,
        "incarnation": 1,
        "sequence": sequence,
        "accepting": True,
        "slots": 2,
        "in_progress": 0.5,
        "flows": 10,
        "service_ms": 30.0,
        "interval_s": 0.25,
        "config_version": 5,
        "config_source": "",
    }
    return reports.LoadReport(**{**values, **changes})


def flow_key(port):
    return (
        CALLER + port.to_bytes(2, "big") + routes.encode_route_address(ROUNDS)
    )


def segment(key, opening=False, ack=0, length=0):
    return segments.Segment(
        key, True, opening, not opening, False, False, False,
        1000, ack, length, 0, 0, b"",
    )  # fmt: skip


def offers(outs):
    return [
        o for o in outs if isinstance(o, outputs.ToAgent) and o.segment.opening
    ]


def resets(context):
    return [o for o in context.outs if isinstance(o, outputs.Reset)]


def host_at(context, address):
    known = context.core.agent_table.all()
    (upstream,) = [x for x in known if x.record.address == address]
    return upstream.record.host


def offered_hosts(context):
    return [host_at(context, o.to) for o in offers(context.outs)]


def start(context, domain="abay"):
    context.now = 100.0
    context.sequence = 1
    context.outs = []
    context.store_answers = True
    context.core = balancer.ForwardingBalancer(
        "edge-1", domain, BALANCER_ADDRESS, "10.0.0.9:8166", random.Random(1)
    )
    context.core.configure(configuration(5))


def report_all(context, hosts, **changes):
    context.sequence += 1
    outs = []
    for host in hosts:
        service = context.core.agent_table.get(host).record.service
        outs += context.core.on_message(
            context.now, load_report(host, service, context.sequence, **changes)
        )
    return outs


@given("a balancer with the agents a, b, c of rounds and d of wheelbook")
def balancer_with_agents(context):
    start(context)
    for number, host in enumerate("abcd", 1):
        service = "wheelbook" if host == "d" else "rounds"
        context.core.add_agent(
            context.now, record(host, service, f"10.0.1.{number}")
        )
    report_all(context, "abcd")


@given("a balancer with {count:d} agents of rounds")
def balancer_with_many(context, count):
    start(context)
    add_agents(context, count)


@given("a balancer with {count:d} agents of rounds in 4 failure domains")
def balancer_with_many_in_domains(context, count):
    start(context)
    add_agents(context, count, FAILURE_DOMAINS)


def add_agents(context, count, domains=("abay",)):
    context.hosts = [f"h{number}" for number in range(count)]
    for number, host in enumerate(context.hosts):
        ip = f"10.0.{2 + number // 250}.{number % 250}"
        domain = domains[number % len(domains)]
        context.core.add_agent(context.now, record(host, "rounds", ip, domain))
    report_all(context, context.hosts)


@given("a balancer with a route but without reports")
def balancer_without_reports(context):
    start(context)
    context.core.add_agent(context.now, record("a", "rounds", "10.0.1.1"))


@given("a balancer with a route and a complete list without agents")
def balancer_without_agents(context):
    start(context)
    context.core.agent_table.complete = True


@given("a balancer with a route and no list of agents")
def balancer_without_list(context):
    start(context)


@given("agent a takes 60 ms for a request and the others 20 ms")
def uneven_agents(context):
    report_all(context, "a", service_ms=60.0)
    report_all(context, "bcd", service_ms=20.0)


@given("agents report every {seconds:g} s")
def report_interval(context, seconds):
    context.interval_s = seconds
    report_all(context, "abcd", interval_s=seconds)


@when("a caller opens a flow to rounds")
def open_flow(context):
    context.key = flow_key(40001)
    seg = segment(context.key, opening=True)
    context.outs = context.core.on_segment(context.now, seg)
    context.offered = offered_hosts(context)


@when("{count:d} callers open flows to rounds")
def open_flows(context, count, between_reports=10):
    context.outs = []
    for port in range(count):
        seg = segment(flow_key(30000 + port), opening=True)
        context.outs += context.core.on_segment(context.now, seg)
        if (port + 1) % between_reports == 0:
            repeat_reports(context)


@when("{count:d} callers open flows to rounds, two between reports")
def open_flows_slowly(context, count):
    open_flows(context, count, between_reports=2)


def repeat_reports(context):
    """Repeats all reports, so that no offer is unreported."""
    context.sequence += 1
    for upstream in context.core.agent_table.all():
        if upstream.report is not None and upstream.accepts(context.now):
            again = msgspec.structs.replace(
                upstream.report, sequence=context.sequence
            )
            context.core.on_message(context.now, again)


@when("all agents report other loads")
def other_loads(context):
    for number, host in enumerate("abcd"):
        report_all(context, host, in_progress=float(number))


@when("the caller sends {count:d} segments")
def send_segments(context, count):
    context.outs = []
    for _ in range(count):
        seg = segment(context.key, ack=77_000, length=100)
        context.outs += context.core.on_segment(context.now, seg)


@when("a segment of an unknown flow to rounds arrives")
def unknown_segment(context):
    context.key = flow_key(40002)
    seg = segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)
    context.sent_queries = queries_in(context, context.outs)


@when("a segment of an unknown flow to an unknown route arrives")
def unknown_route(context):
    address = routes.encode_route_address(("198.18.0.77", 443))
    context.key = CALLER + b"\x9c\x42" + address
    seg = segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)


@when("an acknowledgement of an unknown flow to rounds arrives")
def unknown_acknowledgement(context):
    context.key = flow_key(40002)
    seg = segment(context.key, ack=77_000)
    context.outs = context.core.on_segment(context.now, seg)


@then("the balancer is not ready")
def balancer_not_ready(context):
    assert not context.core.ready()


@then("the balancer is ready")
def balancer_ready(context):
    assert context.core.ready()


@when("agent {host} replies that it holds the flow")
def reply_claim(context, host):
    sent_queries = context.sent_queries + queries_in(context, context.outs)
    for name, query in sent_queries:
        if name == host and context.key in dict(query.flows):
            position = [key for key, _ in query.flows].index(context.key)
            reply = reports.FlowQueryReply(host, query.number, 1 << position, 0)
            context.outs = context.core.on_message(context.now, reply)
            return
    raise AssertionError(f"{host} was not queried: {sent_queries}")


@when("agent {host} claims the flow after the probe")
def claim_after_probe(context, host):
    message = reports.FlowClaimed(host, context.key)
    context.outs = context.core.on_message(context.now, message)


@when(
    "{count:d} of its agents stay silent for {seconds:g} s while the others"
    " report"
)
def many_silent(context, count, seconds):
    context.now += seconds
    context.reporting = context.hosts[count:]
    report_all(context, context.reporting)


@then("agent {host} gets {count:d} segments of it")
def holder_gets(context, host, count):
    sent = [o for o in context.outs if isinstance(o, outputs.ToAgent)]
    assert [host_at(context, o.to) for o in sent] == [host] * count
    assert all(o.mark == segments.MARK_DIRECT for o in sent)


@then("agents were queried at most {count:d} times")
def queried_at_most(context, count):
    assert 30 <= context.queries <= count, context.queries


@then("the {count:d} agents that report are queried for it")
def reporting_queried(context, count):
    hosts = set(hosts_queried(context))
    assert hosts == set(context.reporting) and len(hosts) == count


def read_lists(context, outs):
    """Lets the store answer if the balancer reads the list of agents."""
    list_requested = any(isinstance(x, outputs.ListAgents) for x in outs)
    if list_requested and context.store_answers:
        context.core.agent_table.record_list(context.now)


@when("agents {hosts} deny the flow")
def deny_flow(context, hosts):
    for host in hosts.split(", "):
        message = reports.FlowDenied(host, context.key)
        context.outs += context.core.on_message(context.now, message)
    read_lists(context, context.outs)


@when("the store cannot be reached")
def store_unreachable(context):
    context.store_answers = False


@when("the store answers again with agent {host} of rounds in its list")
def store_back(context, host):
    requested_at = context.now
    new_record = record(host, "rounds", "10.0.1.77")
    context.core.add_agent(context.now, new_record)
    report_all(context, host)
    context.core.agent_table.record_list(requested_at)


@when("the store answers again with the same list")
def store_back_unchanged(context):
    context.core.agent_table.record_list(context.now)


@then("the list of agents is read again")
def list_read(context):
    requests = [o for o in context.outs if isinstance(o, outputs.ListAgents)]
    assert len(requests) == 1, context.outs


@when("the agent that was offered the flow denies it")
def offered_agent_denies(context):
    message = reports.FlowDenied(context.offered[0], context.key)
    context.outs = context.core.on_message(context.now, message)


@when("the agent that was offered the flow claims it")
def offered_agent_claims(context):
    message = reports.FlowClaimed(context.offered[0], context.key)
    context.outs = context.core.on_message(context.now, message)
    assert not context.outs, context.outs


@then("{probes:d} of the {count:d} segments is a probe")
def count_probes(context, probes, count):
    marks = [o.mark for o in context.outs if isinstance(o, outputs.ToAgent)]
    assert len(marks) == count, marks
    assert marks.count(segments.MARK_PROBE) == probes, marks


@when("the agent that was offered the flow declines it")
def offered_agent_declines(context):
    reply = reports.OpeningDeclined(context.offered[0], context.key, "overload")
    context.outs = context.core.on_message(context.now, reply)


@when("every agent that is offered the flow declines it")
def all_decline(context):
    for _ in range(10):
        hosts = offered_hosts(context)
        if not hosts:
            return
        message = reports.OpeningDeclined(hosts[0], context.key, "overload")
        context.outs = context.core.on_message(context.now, message)
    raise AssertionError("the flow is offered without end")


@when("the caller retransmits its opening after {seconds:g} s")
def retransmit_opening(context, seconds):
    context.now += seconds
    seg = segment(context.key, opening=True, ack=1)
    context.outs = context.core.on_segment(context.now, seg)
    context.offered += offered_hosts(context)


@when("agent a stays silent for {seconds:g} s while others report")
def one_silent(context, seconds):
    context.now += seconds
    interval_s = getattr(context, "interval_s", 0.25)
    report_all(context, "bcd", interval_s=interval_s)


@when("agent a reports that it takes flows")
def agent_reports(context):
    context.outs = context.core.on_message(context.now, load_report("a"))


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    context.now += seconds
    context.outs = context.core.on_timer(context.now)


@when("{seconds:g} s pass with reports of all agents")
def time_passes_with_reports(context, seconds):
    context.now += seconds
    report_all(context, "abcd")
    context.outs = context.core.on_timer(context.now)


@when("a configuration of an {age} version without routes arrives")
@when("a configuration of a {age} version without routes arrives")
def empty_configuration(context, age):
    version = {"older": 4, "newer": 6}[age]
    context.core.configure(configuration(version, with_routes=False))


@when("an agent e of wheelbook announces itself at the address of a")
def reused_address(context):
    context.core.add_agent(context.now, record("e", "wheelbook", "10.0.1.1"))
    report_all(context, "e")


@when("flows of urgency {urgencies} wait in this order")
def queue_flows(context, urgencies):
    context.queue = openings.OpeningQueue()
    for number, urgency in enumerate(urgencies.split(", "), 1):
        route = routes.Route(
            "r", ROUNDS, (("rounds", 1),), 2.0, 0.2, int(urgency), False
        )
        flow = flow_table.Flow(context.now + number * 0.01)
        key = flow_key(number)
        pending = openings.PendingOpening(key, flow, route)
        assert context.queue.add(context.now, pending)


@then("they are offered in the order {numbers}")
def offered_in_order(context, numbers):
    check_order(context, numbers, context.now + 0.11)


@then("after {count:d} of them missed their goal the order is {numbers}")
def offered_after_misses(context, count, numbers):
    check_order(context, numbers, context.now + count * 0.01 + 0.125)


def check_order(context, numbers, now):
    expected = [flow_key(int(n)) for n in numbers.split(", ")]
    assert [x.key for x in context.queue.next_offers(now)] == expected


@then("the two other agents of rounds are queried for it")
def others_queried(context):
    hosts = hosts_queried(context)
    assert sorted(hosts + context.offered) == ["a", "b", "c"], hosts


@when("{count:d} of them deny it and 0.5 s pass")
def some_deny(context, count):
    hosts = hosts_queried(context)
    context.queried_hosts = set(hosts)
    outs = []
    for host in hosts[:count]:
        message = reports.FlowDenied(host, context.key)
        outs += context.core.on_message(context.now, message)
    for _ in range(10):
        context.now += 0.05
        outs += context.core.on_timer(context.now)
    context.outs = outs


@when(
    "{count:d} agents report and deny it while the caller retransmits it for"
    " {seconds:d} s"
)
def report_and_deny(context, count, seconds):
    live = context.hosts[:count]
    core = context.core
    context.queries = 0
    new_outs, context.outs = list(context.outs), []
    for turn in range(seconds * 20):
        context.now += 0.05
        if turn % 4 == 0:
            new_outs += report_all(context, live)
            seg = segment(context.key, ack=77_000, length=100)
            new_outs += core.on_segment(context.now, seg)
        outs = core.on_timer(context.now)
        for host in queried_hosts_in(context, new_outs):
            context.queries += 1
            if host in live:
                message = reports.FlowDenied(host, context.key)
                outs += core.on_message(context.now, message)
        read_lists(context, outs)
        context.outs += outs
        if resets(context):
            return
        new_outs = outs


@when("another balancer looks up that flow")
def other_balancer(context):
    offered, key = context.offered, context.key
    start(context)
    add_agents(context, 30)
    context.offered, context.key = offered, key
    seg = segment(key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)


def queried_hosts_in(context, outs):
    """Returns the hosts that are queried or probed for the flow, in order."""
    hosts = [
        host_at(context, o.to)
        for o in outs
        if isinstance(o, outputs.ToAgent) and o.mark == segments.MARK_PROBE
    ]
    for host, query in queries_in(context, outs):
        if context.key in dict(query.flows):
            hosts.append(host)
    return hosts


def queries_in(context, outs):
    """Returns the queries with the hosts that they go to."""
    return [
        (host_with_control(context, o.to), o.message)
        for o in outs
        if isinstance(o, outputs.ToPeer)
        and isinstance(o.message, reports.FlowQuery)
    ]


def hosts_queried(context):
    return queried_hosts_in(context, context.outs)


def host_with_control(context, address):
    known = context.core.agent_table.all()
    (upstream,) = [x for x in known if x.record.control == address]
    return upstream.record.host


@then("{count:d} agents are queried for it")
def count_queried(context, count):
    assert len(hosts_queried(context)) == count


@then("all {count:d} agents were queried for it")
def all_queried(context, count):
    hosts = set(hosts_queried(context))
    assert len(hosts | context.queried_hosts) == count


@then("the agent that was offered the flow is among the first 8 queried")
def offered_is_queried(context):
    hosts = hosts_queried(context)
    assert len(hosts) == 8 and context.offered[0] in hosts


@then("one agent of rounds is offered the flow")
def one_offer(context):
    hosts = offered_hosts(context)
    assert len(hosts) == 1 and hosts[0] in "abc", hosts


@then("they all go to the agent that was offered the flow")
def to_offered(context):
    sent = [host_at(context, o.to) for o in context.outs]
    assert set(sent) == set(context.offered) and len(sent) == 20, sent


@then("they all go to agent {host}")
def to_agent(context, host):
    sent = [host_at(context, o.to) for o in context.outs]
    assert sent == [host] * 3, sent


@then("the agents a, b, c are queried for it")
def agents_queried(context):
    assert sorted(hosts_queried(context)) == ["a", "b", "c"]


@then("both offered agents are probed for it")
def offered_probed(context):
    sent = [o for o in context.outs if isinstance(o, outputs.ToAgent)]
    assert [host_at(context, o.to) for o in sent] == context.offered
    assert all(o.mark == segments.MARK_PROBE for o in sent)


@then("the caller gets no reset")
def no_reset(context):
    assert not resets(context)


@then("the caller gets a reset")
def one_reset(context):
    assert [o.key for o in resets(context)] == [context.key], context.outs


@then("the caller gets a reset near its acknowledgement")
def reset_in_window(context):
    (reset,) = resets(context)
    assert reset.key == context.key
    assert abs(reset.seq - 77_000) < RESET_WINDOW


@then("another agent of rounds is offered the flow")
def another_offer(context):
    hosts = offered_hosts(context)
    assert len(hosts) == 1 and hosts[0] not in context.offered, hosts
    assert hosts[0] in "abc"


@then("two different agents were offered the flow")
def two_offers(context):
    assert len(set(context.offered)) == 2, context.offered


@then("agent {host} is offered none of them")
@then("agents {host} are offered none of them")
def offered_none(context, host):
    hosts = offered_hosts(context)
    assert len(hosts) == 200, len(hosts)
    assert not set(host.split(", ")) & set(hosts)


@when("agent {host} alone declines {count:d} flows, and then all report")
def declines_many(context, host, count):
    others = "abcd".replace(host, "")
    report_all(context, others, accepting=False)
    for port in range(count):
        key = flow_key(20000 + port)
        context.core.on_segment(context.now, segment(key, opening=True))
        message = reports.OpeningDeclined(host, key, "overload")
        context.core.on_message(context.now, message)
        context.now += 0.05
    report_all(context, "abcd")


@then("agent a is offered some of them")
def offered_some(context):
    assert "a" in offered_hosts(context)


@then("no agent is offered the flow and the caller gets no reset")
def flow_queued(context):
    assert not offers(context.outs) and not resets(context)


@then("agent a is offered the flow")
def offered_to_a(context):
    assert offered_hosts(context) == ["a"], context.outs


@then("agent a is offered between {low:d} and {high:d} percent of them")
def share_of_a(context, low, high):
    hosts = offered_hosts(context)
    share = 100 * hosts.count("a") / len(hosts)
    assert low <= share <= high, share


@when("segments of {count:d} unknown flows to rounds arrive at once")
def unknown_segments(context, count):
    context.outs = []
    for port in range(count):
        seg = segment(flow_key(50000 + port), ack=77_000, length=100)
        context.outs += context.core.on_segment(context.now, seg)


@when("all agents deny all queried flows for {seconds:d} s")
def deny_all(context, seconds):
    context.queries = collections.Counter()
    new_outs = context.outs
    for _ in range(seconds * 20):
        outs = []
        for host, query in queries_in(context, new_outs):
            context.queries[host] += 1
            reply = reports.FlowQueryReply(host, query.number, 0, 0)
            outs += context.core.on_message(context.now, reply)
        context.now += 0.05
        outs += report_all(context, context.hosts)
        outs += context.core.on_timer(context.now)
        read_lists(context, outs)
        context.outs = context.outs + outs
        new_outs = outs


@then("all {count:d} flows are reset")
def all_reset(context, count):
    reset_keys = {o.key for o in resets(context)}
    assert len(reset_keys) == count, (len(reset_keys), context.queries)


@then("each agent got at most {count:d} queries")
def few_queries(context, count):
    assert set(context.queries) == set(context.hosts)
    assert max(context.queries.values()) <= count, context.queries


@when("agents {hosts} are uncertain of the flow")
def reply_uncertain(context, hosts):
    sent_queries = queries_in(context, context.outs)
    for host in hosts.split(", "):
        (query,) = [q for name, q in sent_queries if name == host]
        assert [key for key, _ in query.flows] == [context.key]
        reply = reports.FlowQueryReply(host, query.number, 0, 1)
        context.outs += context.core.on_message(context.now, reply)


@then("no agent gets a segment of it")
def no_segment(context):
    sent = [o for o in context.outs if isinstance(o, outputs.ToAgent)]
    assert not sent, sent


@then("the agents a, b are probed with a data segment of it")
def probed_with_data(context):
    probed(context)
    sent = [o for o in context.outs if isinstance(o, outputs.ToAgent)]
    assert all(o.segment.length for o in sent), sent


@then("the agents a, b are probed with a segment of it")
def probed(context):
    sent = [o for o in context.outs if isinstance(o, outputs.ToAgent)]
    assert {host_at(context, o.to) for o in sent} == {"a", "b"}
    assert all(o.mark == segments.MARK_PROBE for o in sent)


@given("a balancer in abay with {near:d} agents there and {far:d} in enbek")
def balancer_in_domain(context, near, far):
    start(context)
    context.hosts = [f"h{number}" for number in range(near + far)]
    context.near = context.hosts[:near]
    for number, host in enumerate(context.hosts):
        domain = "abay" if host in context.near else "enbek"
        new_record = record(host, "rounds", f"10.0.2.{number}", domain)
        context.core.add_agent(context.now, new_record)
    report_all(context, context.hosts)


@when("the agents in abay report {count:d} requests in progress")
def near_are_full(context, count):
    report_all(context, context.near, in_progress=float(count))


@when("the agents in abay report {near:d} open flows and the others {far:d}")
def report_flows(context, near, far):
    others = [host for host in context.hosts if host not in context.near]
    report_all(context, context.near, flows=near)
    report_all(context, others, flows=far)


@then("at {bound} {percent:d} percent of them are offered to agents in abay")
def offered_near(context, bound, percent):
    hosts = offered_hosts(context)
    share = 100 * sum(host in context.near for host in hosts) / len(hosts)
    assert len(hosts) == 400
    assert share >= percent if bound == "least" else share <= percent, share


def subscriptions_in(context, outs):
    """Returns the hosts that get a subscription, in order."""
    return [
        host_with_control(context, o.to)
        for o in outs
        if isinstance(o, outputs.ToPeer)
        and isinstance(o.message, reports.Subscribe)
    ]


@given("the balancer has just subscribed to all agents")
def just_subscribed(context):
    context.outs = context.core.on_timer(context.now)
    assert subscriptions_in(context, context.outs) == context.hosts


@when("{seconds:g} s pass in which {host} does not report")
def one_does_not_report(context, seconds, host):
    context.outs = []
    others = [x for x in context.hosts if x != host]
    for _ in range(round(seconds / 0.05)):
        context.now += 0.05
        report_all(context, others)
        context.outs += context.core.on_timer(context.now)


@then("{host} alone got subscriptions, at least twice")
def only_one_subscribed(context, host):
    hosts = subscriptions_in(context, context.outs)
    assert set(hosts) == {host} and len(hosts) >= 2, hosts


@then("agent {host} is queried for it")
def one_queried(context, host):
    assert host in hosts_queried(context), hosts_queried(context)


@given("an agent e of rounds that never reports")
def unheard_agent(context):
    new_record = record("e", "rounds", "10.0.1.77")
    context.core.add_agent(context.now, new_record)


@when("agents a, b, c report and {seconds:g} s pass")
def report_and_pass(context, seconds):
    context.now += seconds
    report_all(context, "abc")
    seg = segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)
    context.outs += context.core.on_timer(context.now)


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
        seg = segment(flow_key(40900 + opening), opening, 77_000, 100)
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
        key = flow_key(41_000 + port)
        outs = context.core.on_segment(context.now, segment(key, opening=True))
        context.holders[key] = host_at(context, offers(outs)[0].to)
    assert not away & set(context.holders.values())


@when("another balancer in {domain} with {count:d} more agents looks them up")
def look_up_placed(context, domain, count):
    total = len(context.hosts) + count
    start(context, domain)
    add_agents(context, total, FAILURE_DOMAINS)
    context.found = {}
    for key, holder in context.holders.items():
        queried = []
        outs = context.core.on_segment(
            context.now, segment(key, ack=77_000, length=100)
        )
        while holder not in queried and len(queried) < total:
            sent = queries_in(context, outs)
            queried += [h for h, query in sent if key in dict(query.flows)]
            outs = []
            for host, query in sent:
                reply = reports.FlowQueryReply(host, query.number, 0, 0)
                outs += context.core.on_message(context.now, reply)
            context.now += 0.05
            outs += context.core.on_timer(context.now)
            report_all(context, context.hosts)
        context.found[key] = len(queried)


@then("each holder was among the first {count:d} agents queried")
def found_soon(context, count):
    assert max(context.found.values()) <= count, context.found


@when("all agents but {host} decline new flows")
def only_one_accepts(context, host):
    others = [name for name in context.hosts if name != host]
    report_all(context, others, accepting=False)


@then("agent {host} was offered the flow")
def was_offered(context, host):
    assert context.offered + offered_hosts(context) == [host]


@then("{share:d} percent of them were among the first {count:d}")
def found_at_once(context, share, count):
    soon = [queries for queries in context.found.values() if queries <= count]
    assert 100 * len(soon) >= share * len(context.found), context.found


@when(
    "its agents report as often as it asks for {seconds:d} s and {count:d}"
    " flows are placed"
)
def report_as_asked(context, seconds, count):
    core, began_at = context.core, context.now
    context.ages, context.report_count, port = [], 0, 43_000
    next_reports = dict.fromkeys(context.hosts, 0.0)
    intervals = {}
    rng = random.Random(3)
    while context.now < began_at + seconds:
        context.now += 0.05
        for out in core.on_timer(context.now):
            if isinstance(out, outputs.ToPeer):
                host = host_with_control(context, out.to)
                if host not in intervals:
                    first = rng.random() * out.message.interval_s
                    next_reports[host] = context.now + first
                intervals[host] = out.message.interval_s
        for host, interval_s in intervals.items():
            if next_reports[host] <= context.now:
                next_reports[host] += interval_s
                context.report_count += 1
                report_all(context, [host], interval_s=interval_s)
        if context.now - began_at > seconds * (port - 43_000) / count:
            seg = segment(flow_key(port), opening=True)
            (offer,) = offers(core.on_segment(context.now, seg))
            upstream = core.agent_table.get(host_at(context, offer.to))
            context.ages.append(upstream.report_age_s(context.now))
            port += 1
    context.rate = context.report_count / seconds


@when(
    "callers send segments {kind} data on lost flows every 0.1 s for"
    " {seconds:d} s"
)
def send_on_lost_flows(context, kind, seconds):
    core, context.list_count = context.core, 0
    length = 100 if kind == "with" else 0
    for number in range(10 * seconds):
        context.now += 0.1
        outs = report_all(context, "abcd")
        seg = segment(flow_key(42_000 + number), ack=77_000, length=length)
        outs += core.on_segment(context.now, seg)
        outs += core.on_timer(context.now)
        while outs:
            requests = [x for x in outs if isinstance(x, outputs.ListAgents)]
            context.list_count += len(requests)
            read_lists(context, outs)
            queries, outs = queries_in(context, outs), []
            for host, query in queries:
                reply = reports.FlowQueryReply(host, query.number, 0, 0)
                outs += core.on_message(context.now, reply)


@then("the list of agents is read {least:d} to {most:d} times")
def check_list_count(context, least, most):
    assert least <= context.list_count <= most, context.list_count


@when("one of them dies and {count:d} flows are placed in 10 s")
def place_beside_dead(context, count):
    core = context.core
    dead, *alive = context.hosts
    # With this interval, silence alone shows the death after 7 s.
    report_all(context, context.hosts, interval_s=4.0)
    dead_address = core.agent_table.get(dead).record.address
    context.swallowed_at, retransmissions = [], collections.deque()

    def send(seg):
        # The caller retransmits only if the dead agent got its SYN.
        for offer in offers(core.on_segment(context.now, seg)):
            if offer.to == dead_address:
                context.swallowed_at.append(context.now)
                retransmissions.append((context.now + SYN_RETRANSMIT_S, seg))

    for number in range(count):
        context.now += 10.0 / count
        while retransmissions and retransmissions[0][0] <= context.now:
            seg = retransmissions.popleft()[1]
            outs = core.on_segment(context.now, seg)
            assert [x.to for x in offers(outs)] != [dead_address]
        if number % (count // 10) == 0:
            report_all(context, alive, interval_s=4.0)
        key = CALLER[:2] + number.to_bytes(4, "big") + flow_key(0)[6:]
        send(segment(key, opening=True))


@then("it gets no new flow later than {limit:g} s after the first one")
def check_swallowed(context, limit):
    first, last = context.swallowed_at[0], context.swallowed_at[-1]
    assert last - first <= limit, last - first


@then(
    "the news of the chosen upstreams was {median:g} s old in the median and"
    " {limit:g} s at most in 99 of 100"
)
def check_ages(context, median, limit):
    ages = sorted(context.ages)
    assert len(ages) >= 200, len(ages)
    assert ages[len(ages) // 2] <= median, ages[len(ages) // 2]
    assert ages[len(ages) * 99 // 100] <= limit, ages[len(ages) * 99 // 100]


@then("it got at most {limit:d} reports a second")
def check_report_rate(context, limit):
    assert context.rate <= limit, context.rate
