from behave import given
from behave import then
from behave import when
import msgspec

from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from features import balancer_sample


def evacuate(context, domains, removed=(), full=False):
    context.evacuation_outs = context.core.update_evacuations(
        context.now, domains, removed, full
    )
    context.outs = context.evacuation_outs


def open_with(context, seq, copies=0):
    seg = balancer_sample.segment(context.key, opening=True, ack=copies)
    seg = msgspec.structs.replace(seg, seq=seq)
    context.outs = context.core.on_segment(context.now, seg)


@given("a balancer in abay with the agents a, b there and c, d in enbek")
def balancer_with_two_domains(context):
    balancer_sample.start(context)
    for number, host in enumerate("abcd", 1):
        domain = "abay" if host in "ab" else "enbek"
        context.core.add_agent(
            context.now,
            balancer_sample.record(host, "rounds", f"10.0.1.{number}", domain),
        )
    context.core.agent_table.record_list(context.now)
    balancer_sample.report_all(context, "abcd")


@given("the agents e, f of rounds in karatau")
def third_domain(context):
    for number, host in enumerate("ef", 5):
        record = balancer_sample.record(
            host, "rounds", f"10.0.1.{number}", "karatau"
        )
        context.core.add_agent(context.now, record)
    balancer_sample.report_all(context, "ef")


@when("the agents c, d report 0 open flows and the others 100")
def uneven_flows(context):
    balancer_sample.report_all(context, "cd", flows=0)
    balancer_sample.report_all(context, "abef", flows=100)


@given("the balancer waits {seconds:g} s for the list of evacuations")
def expect_list(context, seconds):
    context.core.evacuated.expect_list(context.now + seconds)


@when("{domain:w} is evacuated")
def evacuate_domain(context, domain):
    evacuate(context, [domain])


@when("abay and enbek are evacuated")
def evacuate_all(context):
    evacuate(context, ["abay", "enbek"])


@when("the evacuation of {domain:w} ends")
def end_evacuation(context, domain):
    evacuate(context, (), [domain])


@when("a full list names {domain:w} only")
def full_list(context, domain):
    evacuate(context, [domain], full=True)


@when("the agents a, b report {count:d} requests in progress")
def load_near(context, count):
    balancer_sample.report_all(context, "ab", in_progress=float(count))


@when("the agents {hosts} report that they take {what} flows")
def report_accepting(context, hosts, what):
    context.outs = balancer_sample.report_all(
        context, hosts.split(", "), accepting=what == "new"
    )


@when("the agent that got the last offer declines it")
def decline_last(context):
    message = reports.OpeningDeclined(
        context.offered[-1], context.key, "overload"
    )
    context.outs = context.core.on_message(context.now, message)
    context.offered += balancer_sample.offered_hosts(context)


@when("the caller's opening arrives once more")
def late_duplicate(context):
    open_with(context, 1000)


@when("the caller opens another flow from the same port")
@when("the caller opens another flow from the same port with sequence {seq:d}")
def reuse_port(context, seq=2000):
    open_with(context, seq)


@when("the caller retransmits that opening")
def retransmit_other(context):
    open_with(context, 2000, copies=1)


@when("agent {host:w} declines that opening as {reason}")
def decline_new(context, host, reason):
    message = reports.OpeningDeclined(host, context.key, reason)
    context.outs = context.core.on_message(context.now, message)


@then("one agent other than {host:w} is offered the flow")
def one_other(context, host):
    (offered,) = balancer_sample.offered_hosts(context)
    assert offered != host, offered


@then("no agent in abay is offered the flow")
def none_near(context):
    assert not {"a", "b"} & set(balancer_sample.offered_hosts(context))


@then("no agent was offered the flow")
def none_was_offered(context):
    assert not context.offered + balancer_sample.offered_hosts(context)


@then("one agent in {domain:w} alone is offered the flow")
def one_in_domain(context, domain):
    (host,) = balancer_sample.offered_hosts(context)
    record = context.core.agent_table.get(host).record
    assert record.failure_domain == domain, host


@then("no segment is sent")
def nothing_sent(context):
    assert not [x for x in context.outs if isinstance(x, outputs.ToAgent)]


@then("the segment goes to the agent that was offered the flow first")
def to_first(context):
    sent = [x for x in context.outs if isinstance(x, outputs.ToAgent)]
    hosts = [balancer_sample.host_at(context, x.to) for x in sent]
    assert hosts == context.offered[:1], (hosts, context.offered)


@then("the flow is refused because of the evacuation")
def refused(context):
    (reset,) = balancer_sample.resets(context)
    assert reset.key == context.key
    details = [
        x.detail
        for x in context.outs
        if isinstance(x, outputs.Event) and x.what == "refuse"
    ]
    assert len(details) == 1 and "reason=evacuated " in details[0], details


@then("the events {events} are recorded")
def check_events(context, events):
    found = [
        f"{x.what} {x.detail}"
        for x in context.evacuation_outs
        if isinstance(x, outputs.Event)
    ]
    assert ", ".join(found) == events, found
