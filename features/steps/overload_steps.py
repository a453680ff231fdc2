from behave import given
from behave import then
from behave import when

from crocusmux.core.forward import outputs
from crocusmux.core.forward import routes
from crocusmux.platform import host_settings
from features import balancer_sample

ROUNDS = balancer_sample.ROUNDS
WHEELBOOK = ("198.18.0.2", 443)


def configuration(version=5):
    """Routes to both services, of which wheelbook's is less urgent."""
    return routes.Configuration(
        version,
        (
            routes.Route("r", ROUNDS, (("rounds", 1),), 4.0, 0.5, 0, False),
            routes.Route(
                "w", WHEELBOOK, (("wheelbook", 1),), 4.0, 0.5, 1, False
            ),
        ),
    )


def open_flow(context, number, address=ROUNDS, ip="100.64.0.7"):
    key = routes.encode_flow_key((ip, 20_000 + number), address)
    seg = balancer_sample.segment(key, opening=True)
    context.outs = context.core.on_segment(context.now, seg)
    context.flows.append(key)
    return key


def offered_keys(outs):
    """Returns the flows that are offered, in order."""
    return [o.segment.key for o in balancer_sample.offers(outs)]


def events(context, what):
    return [
        x
        for x in context.outs
        if isinstance(x, outputs.Event) and x.what == what
    ]


@given("a balancer with fair queueing and routes to rounds and wheelbook")
def fair_balancer(context):
    context.flows = []
    balancer_sample.start_with_agents(
        context, configuration(), fair_queueing=True
    )


@given("no agent takes new flows")
def none_takes_flows(context):
    balancer_sample.report_all(context, "abcd", accepting=False)


@when("{count:d} callers open flows to rounds, and then one to wheelbook")
def open_flows_to_both(context, count):
    for number in range(count):
        open_flow(context, number)
    context.key = open_flow(context, count, WHEELBOOK)


@then("all these flows are queued")
def all_queued(context):
    assert all(key in context.core._openings for key in context.flows)


@when("agent {host} takes new flows again")
def takes_flows_again(context, host):
    context.outs = balancer_sample.report_all(context, host)


@then("agent d is offered the flow to wheelbook")
def wheelbook_offered(context):
    assert context.key in offered_keys(context.outs), context.outs
    assert balancer_sample.offered_hosts(context) == ["d"]


@then("fair queueing is {state}")
def check_setting(context, state):
    cfg = host_settings.decode(context.settings)
    assert cfg.fair_queueing == (state == "on")
