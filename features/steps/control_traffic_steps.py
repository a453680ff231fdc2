from behave import given
from behave import then
from behave import when
import msgspec

from bench import control_traffic
from crocusmux.core.forward import reports
from crocusmux.core.forward import upstreams
from features import balancer_sample


@given(
    "a fleet of {balancers:d} balancers and {agents:d} agents in {domains:d}"
    " failure domains"
)
def fleet(context, balancers, agents, domains):
    context.fleet = control_traffic.Fleet(balancers, agents, domains)


@when("its daemons exchange control messages for {seconds:d} s")
def exchange(context, seconds):
    assert seconds == control_traffic.DURATION_S
    context.figures = [
        control_traffic.measure_balancer(context.fleet),
        control_traffic.measure_agent(context.fleet),
    ]


@then(
    "a balancer and an agent each send and receive at most {limit:d} bytes a"
    " second"
)
def check_bytes(context, limit):
    rates = {x.role: x.bytes_per_s for x in context.figures}
    assert set(rates) == {"balancer", "agent"}
    assert all(0 < rate <= limit for rate in rates.values()), rates


@when("a balancer that decodes {form} reports subscribes")
def subscribe(context, form):
    # An earlier version's message ends before the field ``compact``.
    fields = ["s", "edge-7", ["10.0.7.7", 7720], 5, "", 60.0, 0.25, False]
    if form == "compact":
        fields.append(True)
    data = msgspec.msgpack.encode(fields)
    message = msgspec.msgpack.decode(data, type=reports.Message)
    context.outs = context.core.on_subscribe(context.now, message)


@then("it gets a {form} report of that agent")
def check_form(context, form):
    (out,) = context.outs
    kinds = {"full": reports.LoadReport, "compact": reports.CompactReport}
    assert type(out.message) is kinds[form], out.message
    assert out.message.accepting and out.message.slots > 0


def send_compact(context, report, service):
    compact = reports.compact(report, upstreams.service_tag(service))
    data = msgspec.msgpack.encode(compact)
    message = msgspec.msgpack.decode(data, type=reports.Message)
    context.core.on_message(context.now, message)


@when("agent a sends a compact report of version {version:d} at load {load:g}")
def send_report(context, version, load):
    context.full = balancer_sample.load_report(
        "a",
        sequence=context.sequence + 1,
        in_progress=load,
        config_version=version,
        config_source="10.0.7.7:8166",
    )
    send_compact(context, context.full, "rounds")


@then("the balancer knows agent a as by the full report")
def check_known(context):
    assert context.core.agent_table.get("a").report == context.full
    source = (context.full.config_version, context.full.config_source)
    assert context.core.config_sources.newest() == source


@when("agent a sends a compact report of wheelbook")
def send_foreign_report(context):
    context.full = context.core.agent_table.get("a").report
    foreign = balancer_sample.load_report(
        "a", sequence=context.sequence + 1, in_progress=2.0
    )
    send_compact(context, foreign, "wheelbook")


@then("the balancer knows agent a as before")
def check_unchanged(context):
    assert context.core.agent_table.get("a").report == context.full


@when("it gets a new configuration")
def configure(context):
    context.outs = context.core.configure(balancer_sample.configuration(6))


@then("{count:d} agents are told of it")
def check_told(context, count):
    told = balancer_sample.subscriptions_in(context, context.outs)
    assert len(set(told)) == len(told) == count, len(told)
