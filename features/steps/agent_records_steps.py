from behave import given
from behave import then
from behave import when
import msgspec

from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import upstreams
from features import balancer_sample
from features.steps import forward_path_steps

IP = "10.0.1.9"
REPORT_INTERVAL_S = 0.25


def record_of(host, service="rounds", incarnation=1, **changes):
    record = balancer_sample.record(host, service, IP)
    return msgspec.structs.replace(record, incarnation=incarnation, **changes)


def add_agent(context, record, revision):
    context.outs = context.core.add_agent(context.now, record, revision)


def told_of_loss(context):
    """Returns what the messages to agent x say about its record."""
    return [
        x.message.record_lost_at
        for x in context.outs
        if isinstance(x, outputs.ToPeer)
        and isinstance(x.message, reports.Subscribe)
        and x.to[0] == IP
    ]


@given(
    "a balancer that has no report of agent x, with its record at revision"
    " {revision:d}"
)
def balancer_without_report(context, revision):
    balancer_sample.start_with_agents(context)
    add_agent(context, record_of("x"), revision)


@given("a balancer that knows agent x by its record at revision {revision:d}")
def balancer_with_agent(context, revision):
    balancer_without_report(context, revision)
    balancer_sample.report_all(context, "x")


@given(
    "a balancer that knows agent x by its record at revision {revision:d}, and"
    " {count:d} others"
)
def balancer_with_fleet(context, revision, count):
    balancer_sample.start(context)
    balancer_sample.add_agents(context, count)
    add_agent(context, record_of("x"), revision)
    balancer_sample.report_all(context, "x")
    context.core.on_timer(context.now)


@when("the record of agent x is gone at revision {revision:d}")
def record_gone(context, revision):
    context.outs = context.core.on_record_gone(context.now, "x", revision)


@when("agent x is listed at revision {revision:d}")
def listed_at(context, revision):
    add_agent(context, record_of("x"), revision)


@then(
    "the balancer tells agent x that its record was lost at revision"
    " {revision:d}"
)
def check_told(context, revision):
    assert told_of_loss(context) == [revision], context.outs


@then("the balancer tells agent x nothing")
def check_told_nothing(context):
    assert told_of_loss(context) == [], context.outs


def let_time_pass(context, seconds, hosts):
    """Runs the timer while some agents report; keeps all outputs."""
    context.outs = []
    end = context.now + seconds
    while context.now < end:
        context.now += REPORT_INTERVAL_S
        balancer_sample.report_all(context, hosts)
        context.outs += context.core.on_timer(context.now)


@then(
    "in the next {seconds:d} s agent x is told {count:d} times or more that it"
    " was lost at {revision:d}"
)
def check_told_again(context, seconds, count, revision):
    let_time_pass(context, seconds, context.core.agent_table.hosts())
    told = told_of_loss(context)
    assert len(told) >= count and set(told) == {revision}, told


@when("{seconds:g} s pass without a report of agent x")
def x_is_silent(context, seconds):
    let_time_pass(context, seconds, "abcd")


@then("the balancer knows agent x")
def check_known(context):
    assert "x" in context.core.agent_table.hosts()


@then("the balancer does not know agent x")
def check_unknown(context):
    assert "x" not in context.core.agent_table.hosts()


@then("agent x gets new flows")
def check_gets_flows(context):
    hosts = set()
    for port in range(100):
        key = balancer_sample.flow_key(42000 + port)
        seg = balancer_sample.segment(key, opening=True)
        context.outs = context.core.on_segment(context.now, seg)
        hosts.update(balancer_sample.offered_hosts(context))
    assert "x" in hosts, hosts


@when(
    "the store lists at one address x at revision {revision:d} and y, announced"
    " at {announced:d} and written again at {written:d}, {order:w} x"
)
def list_written_again(context, revision, announced, written, order):
    again = record_of("y", announced=announced)
    found = [(record_of("x"), revision), (again, written)]
    if order == "before":
        found.reverse()
    for record, at in found:
        add_agent(context, record, at)


@when("agent {host:w} reports, {form:w}")
def agent_reports(context, host, form):
    service = {"x": "rounds", "y": "wheelbook"}[host]
    context.sequence += 1
    report = balancer_sample.load_report(host, service, context.sequence)
    if form == "compact":
        report = reports.compact(report, upstreams.service_tag(service))
    context.core.on_message(context.now, report)


@when("the records of agents 1 and 2 are deleted")
def delete_records(context):
    for number in (1, 2):
        context.standin.delete("agents", f"agent-{number}")
    tables = [
        daemon.core.agent_table
        for (role, _), daemon in context.daemons.items()
        if role == "balancer"
    ]
    context.known_agents = [(table, table.all()) for table in tables]


@when(
    "a balancer tells agent 1 for {seconds:d} s that its record was lost at"
    " revision {revision:d}"
)
def tell_loss(context, seconds, revision):
    context.standin.calls.clear()
    address = ("127.0.1.1", context.ports["messages"])
    message = reports.Subscribe(
        "balancer-1", address, 1, "", 10.0, 0.25, record_lost_at=revision
    )
    for _ in range(10 * seconds):
        context.daemons["agent", 1]._on_message(message, address)
        pass_with_heartbeats(context, 0.1, "1 and 2")


@then(
    "agent 1 has written to the store {least:d} to {most:d} times since its"
    " start"
)
def check_write_count(context, least, most):
    calls = [call for call in context.standin.calls if call[0] != "GET"]
    assert least <= len(calls) <= most, calls


@when("{seconds:g} s pass with heartbeats of upstreams {numbers}")
def pass_with_heartbeats(context, seconds, numbers):
    end = context.loop.time() + seconds
    while context.loop.time() < end:
        for number in numbers.split(" and "):
            context.heartbeats = getattr(context, "heartbeats", 1) + 1
            answer = forward_path_steps.send_heartbeat(
                context, int(number), context.heartbeats
            )
            assert answer.status == 200
        forward_path_steps.time_passes_everywhere(
            context, min(1.0, end - context.loop.time())
        )


@then("no balancer has dropped an agent")
def check_not_dropped(context):
    for table, known in context.known_agents:
        assert set(map(id, table.all())) == set(map(id, known))


@when(
    "a former run of agent x, of {service}, is listed at revision {revision:d}"
)
def former_run_listed(context, service, revision):
    record = record_of("x", service, incarnation=9)
    add_agent(context, record, revision)


@when("a write of the former agent of host 1 is applied late")
def late_write(context):
    item = context.standin.objects["agents", "agent-1"]
    former = {**item["spec"], "incarnation": 1}
    context.standin.put("agents", "agent-1", former)


@then("the record of host 1 is of the running agent")
def check_running_incarnation(context):
    item = context.standin.objects["agents", "agent-1"]
    running = context.daemons["agent", 1]._incarnation
    assert item["spec"]["incarnation"] == running, item
