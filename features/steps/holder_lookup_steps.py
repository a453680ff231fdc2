import collections

from behave import given
from behave import then
from behave import when

from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from features import balancer_sample


@when("a segment of an unknown flow to rounds arrives")
def unknown_segment(context):
    context.key = balancer_sample.flow_key(40002)
    seg = balancer_sample.segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)
    context.sent_queries = balancer_sample.queries_in(context, context.outs)


@when("a segment of an unknown flow to an unknown route arrives")
def unknown_route(context):
    address = routes.encode_route_address(("198.18.0.77", 443))
    context.key = balancer_sample.CALLER + b"\x9c\x42" + address
    seg = balancer_sample.segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)


@when("an acknowledgement of an unknown flow to rounds arrives")
def unknown_acknowledgement(context):
    context.key = balancer_sample.flow_key(40002)
    seg = balancer_sample.segment(context.key, ack=77_000)
    context.outs = context.core.on_segment(context.now, seg)


@when("a segment of another unknown flow to rounds arrives")
def other_unknown_segment(context):
    context.key = balancer_sample.flow_key(40003)
    seg = balancer_sample.segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)


@when("agent {host} replies that it {reply} the flow")
def reply_claim(context, host, reply):
    masks = {
        "holds": (1, 0),
        "is uncertain of": (0, 1),
        "does not hold": (0, 0),
    }
    claimed, uncertain = masks[reply]
    sent_queries = context.sent_queries + balancer_sample.queries_in(
        context, context.outs
    )
    for name, query in sent_queries:
        if name == host and context.key in dict(query.flows):
            position = [key for key, _ in query.flows].index(context.key)
            message = reports.FlowQueryReply(
                host, query.number, claimed << position, uncertain << position
            )
            context.outs = context.core.on_message(context.now, message)
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
    balancer_sample.report_all(context, context.reporting)


@then("agent {host} gets {count:d} segments of it")
def holder_gets(context, host, count):
    sent = [o for o in context.outs if isinstance(o, outputs.ToAgent)]
    assert [balancer_sample.host_at(context, o.to) for o in sent] == [
        host
    ] * count
    assert all(o.mark == segments.MARK_DIRECT for o in sent)


@then("agents were queried at most {count:d} times")
def queried_at_most(context, count):
    assert 30 <= context.queries <= count, context.queries


@then("the {count:d} agents that report are queried for it")
def reporting_queried(context, count):
    hosts = set(balancer_sample.hosts_queried(context))
    assert hosts == set(context.reporting) and len(hosts) == count


@when("agents {hosts} deny the flow")
def deny_flow(context, hosts):
    for host in hosts.split(", "):
        message = reports.FlowDenied(host, context.key)
        context.outs += context.core.on_message(context.now, message)
    balancer_sample.read_lists(context, context.outs)


@when("the store cannot be reached")
def store_unreachable(context):
    context.store_answers = False


@when("the store answers again with agent {host} of rounds in its list")
def store_back(context, host):
    requested_at = context.now
    new_record = balancer_sample.record(host, "rounds", "10.0.1.77")
    context.core.add_agent(context.now, new_record)
    balancer_sample.report_all(context, host)
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


@then("the two other agents of rounds are queried for it")
def others_queried(context):
    hosts = balancer_sample.hosts_queried(context)
    assert sorted(hosts + context.offered) == ["a", "b", "c"], hosts


@when("{count:d} of them deny it and 0.5 s pass")
def some_deny(context, count):
    hosts = balancer_sample.hosts_queried(context)
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
            new_outs += balancer_sample.report_all(context, live)
            seg = balancer_sample.segment(context.key, ack=77_000, length=100)
            new_outs += core.on_segment(context.now, seg)
        outs = core.on_timer(context.now)
        for host in balancer_sample.queried_hosts_in(context, new_outs):
            context.queries += 1
            if host in live:
                message = reports.FlowDenied(host, context.key)
                outs += core.on_message(context.now, message)
        balancer_sample.read_lists(context, outs)
        context.outs += outs
        if balancer_sample.resets(context):
            return
        new_outs = outs


@when("another balancer looks up that flow")
def other_balancer(context):
    offered, key = context.offered, context.key
    balancer_sample.start(context)
    balancer_sample.add_agents(context, 30)
    context.offered, context.key = offered, key
    seg = balancer_sample.segment(key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)


@then("{count:d} agents are queried for it")
def count_queried(context, count):
    assert len(balancer_sample.hosts_queried(context)) == count


@then("all {count:d} agents were queried for it")
def all_queried(context, count):
    hosts = set(balancer_sample.hosts_queried(context))
    assert len(hosts | context.queried_hosts) == count


@then("the agent that was offered the flow is among the first 8 queried")
def offered_is_queried(context):
    hosts = balancer_sample.hosts_queried(context)
    assert len(hosts) == 8 and context.offered[0] in hosts


@then("they all go to the agent that was offered the flow")
def to_offered(context):
    # A sample of the time since the offer comes with the first segment only.
    outs = list(context.outs)
    if not context.acknowledged:
        assert isinstance(outs.pop(0), outputs.Timing), context.outs
        context.acknowledged = True
    sent = [balancer_sample.host_at(context, o.to) for o in outs]
    assert set(sent) == set(context.offered) and len(sent) == 20, sent


@then("they all go to agent {host}")
def to_agent(context, host):
    sent = [balancer_sample.host_at(context, o.to) for o in context.outs]
    assert sent == [host] * 3, sent


@then("the agents a, b, c are queried for it")
def agents_queried(context):
    assert sorted(balancer_sample.hosts_queried(context)) == ["a", "b", "c"]


@then("the agents a, b, c, d are queried for it")
def all_agents_queried(context):
    hosts = sorted(balancer_sample.hosts_queried(context))
    assert hosts == ["a", "b", "c", "d"], hosts


@then("both offered agents are probed for it")
def offered_probed(context):
    sent = [o for o in context.outs if isinstance(o, outputs.ToAgent)]
    assert [
        balancer_sample.host_at(context, o.to) for o in sent
    ] == context.offered
    assert all(o.mark == segments.MARK_PROBE for o in sent)


@when("segments of {count:d} unknown flows to rounds arrive at once")
def unknown_segments(context, count):
    context.outs = []
    for port in range(count):
        seg = balancer_sample.segment(
            balancer_sample.flow_key(50000 + port), ack=77_000, length=100
        )
        context.outs += context.core.on_segment(context.now, seg)


@when("all agents deny all queried flows for {seconds:d} s")
def deny_all(context, seconds):
    context.queries = collections.Counter()
    new_outs = context.outs
    for _ in range(seconds * 20):
        outs = []
        for host, query in balancer_sample.queries_in(context, new_outs):
            context.queries[host] += 1
            reply = reports.FlowQueryReply(host, query.number, 0, 0)
            outs += context.core.on_message(context.now, reply)
        context.now += 0.05
        outs += balancer_sample.report_all(context, context.hosts)
        outs += context.core.on_timer(context.now)
        balancer_sample.read_lists(context, outs)
        context.outs = context.outs + outs
        new_outs = outs


@then("all {count:d} flows are reset")
def all_reset(context, count):
    reset_keys = {o.key for o in balancer_sample.resets(context)}
    assert len(reset_keys) == count, (len(reset_keys), context.queries)


@then("each agent got at most {count:d} queries")
def few_queries(context, count):
    assert set(context.queries) == set(context.hosts)
    assert max(context.queries.values()) <= count, context.queries


@when("agents {hosts} are uncertain of the flow")
def reply_uncertain(context, hosts):
    sent_queries = balancer_sample.queries_in(context, context.outs)
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
    assert {balancer_sample.host_at(context, o.to) for o in sent} == {"a", "b"}
    assert all(o.mark == segments.MARK_PROBE for o in sent)


@then("only agent {host} is queried for it")
def only_one_queried(context, host):
    hosts = balancer_sample.hosts_queried(context)
    assert hosts == [host], hosts


@then("agent {host} is queried for it")
def one_queried(context, host):
    assert host in balancer_sample.hosts_queried(context), (
        balancer_sample.hosts_queried(context)
    )


@given("an agent e of rounds that never reports")
def unheard_agent(context):
    new_record = balancer_sample.record("e", "rounds", "10.0.1.77")
    context.core.add_agent(context.now, new_record)


@when("agents a, b, c report and {seconds:g} s pass")
def report_and_pass(context, seconds):
    # The timer runs meanwhile, as after a longer gap the balancer takes it that
    # it was suspended.
    for _ in range(4):
        context.now += seconds / 4
        outs = context.core.on_timer(context.now)
        balancer_sample.read_lists(context, outs)
    balancer_sample.report_all(context, "abc")
    seg = balancer_sample.segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)
    context.outs += context.core.on_timer(context.now)


@when("another balancer in {domain} with {count:d} more agents looks them up")
def look_up_placed(context, domain, count):
    total = len(context.hosts) + count
    balancer_sample.start(context, domain)
    balancer_sample.add_agents(context, total, balancer_sample.FAILURE_DOMAINS)
    context.found = {}
    for key, holder in context.holders.items():
        queried = []
        outs = context.core.on_segment(
            context.now, balancer_sample.segment(key, ack=77_000, length=100)
        )
        while holder not in queried and len(queried) < total:
            sent = balancer_sample.queries_in(context, outs)
            queried += [h for h, query in sent if key in dict(query.flows)]
            outs = []
            for host, query in sent:
                # The holder claims all flows of the query that it holds.
                claimed = sum(
                    1 << position
                    for position, (name, _) in enumerate(query.flows)
                    if context.holders.get(name) == host
                )
                reply = reports.FlowQueryReply(host, query.number, claimed, 0)
                outs += context.core.on_message(context.now, reply)
            context.now += 0.05
            outs += context.core.on_timer(context.now)
            balancer_sample.report_all(context, context.hosts)
        context.found[key] = len(queried)


@then("each holder was among the first {count:d} agents queried")
def found_soon(context, count):
    assert max(context.found.values()) <= count, context.found


@then("{share:d} percent of them were among the first {count:d}")
def found_at_once(context, share, count):
    soon = [queries for queries in context.found.values() if queries <= count]
    assert 100 * len(soon) >= share * len(context.found), context.found


@when(
    "callers send segments {kind} data on lost flows every 0.1 s for"
    " {seconds:d} s"
)
def send_on_lost_flows(context, kind, seconds):
    core, context.list_count = context.core, 0
    length = 100 if kind == "with" else 0
    for number in range(10 * seconds):
        context.now += 0.1
        outs = balancer_sample.report_all(context, "abcd")
        seg = balancer_sample.segment(
            balancer_sample.flow_key(42_000 + number), ack=77_000, length=length
        )
        outs += core.on_segment(context.now, seg)
        outs += core.on_timer(context.now)
        while outs:
            requests = [x for x in outs if isinstance(x, outputs.ListAgents)]
            context.list_count += len(requests)
            balancer_sample.read_lists(context, outs)
            queries, outs = balancer_sample.queries_in(context, outs), []
            for host, query in queries:
                reply = reports.FlowQueryReply(host, query.number, 0, 0)
                outs += core.on_message(context.now, reply)


@then("the list of agents is read {least:d} to {most:d} times")
def check_list_count(context, least, most):
    assert least <= context.list_count <= most, context.list_count
