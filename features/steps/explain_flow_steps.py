import array
import collections
import copy
import math
import random
import re
import shlex
from unittest import mock

from behave import given
from behave import then
from behave import when
from cleo.io.outputs import buffered_output
import msgspec

from crocusmux.core.forward import balancer
from crocusmux.core.forward import chooser
from crocusmux.core.forward import explanation
from crocusmux.core.forward import hash_ring
from crocusmux.core.forward import openings
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.daemons import explain_request
from crocusmux.ui import app
from features import balancer_sample
from features.steps import forward_path_steps as path

FIRST_PORT = 40_001
# Openings of one flow, in copies of the balancer, after which an agent counts
# as never chosen.
OPENINGS = 100
# Tolerated deviation of a frequency, in standard deviations.
MAX_SIGMAS = 5


def opening(key):
    return balancer_sample.segment(key, opening=True)


def open_in_copy(context, key, seed):
    """Opens a flow in a copy of the balancer; returns the offered hosts."""
    twin = copy.deepcopy(context.core)
    twin._rng.seed(seed)
    outs = twin.on_segment(context.now, opening(key))
    return hosts_in(outs)


def hosts_in(outs):
    return [
        re.search("agent=([^ ]+)", event.detail)[1]
        for event in outs
        if isinstance(event, outputs.Event) and event.what == "place"
    ]


def explain(context, key):
    context.key = key
    context.found = context.core.explain(context.now, key)


def possible(service):
    return {host.host for host in service.hosts if not host.excluded}


def hosts(context):
    return {
        host.host: host
        for service in context.found.services
        for host in service.hosts
    }


def patch(context, module, name, value):
    patcher = mock.patch.object(module, name, value)
    patcher.start()
    context.add_cleanup(patcher.stop)


def decline(context, host, reason):
    """Opens flows until one is offered to a host, which declines it."""
    for port in range(50_000, 51_000):
        key = balancer_sample.flow_key(port)
        outs = context.core.on_segment(context.now, opening(key))
        if hosts_in(outs) == [host]:
            message = reports.OpeningDeclined(host, key, reason)
            context.core.on_message(context.now, message)
            return
    raise AssertionError(f"no flow is offered to {host}")


def snapshot(value, seen):
    """Returns the state of an object and of all that it refers to."""
    if value is None or isinstance(value, (str, bytes, int, float)):
        return value
    if id(value) in seen:
        return "seen", seen[id(value)]
    seen[id(value)] = len(seen)
    if isinstance(value, msgspec.Struct):
        return repr(value)
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, dict):
        items = value.items()
        return [(snapshot(k, seen), snapshot(v, seen)) for k, v in items]
    if isinstance(value, (set, frozenset)):
        return sorted(map(repr, value))
    if isinstance(value, (list, tuple, array.array)):
        return [snapshot(item, seen) for item in value]
    names = [
        x for t in type(value).__mro__ for x in getattr(t, "__slots__", ())
    ]
    names += getattr(value, "__dict__", {})
    fields = {name: getattr(value, name) for name in names}
    if isinstance(value, hash_ring.HashRing):
        # New points are sorted in when a ring is first used; the order in
        # which that happens does not matter.
        new = fields.pop("_unsorted")
        fields["_points"] = sorted([*fields["_points"], *new])
    state = [(name, snapshot(x, seen)) for name, x in fields.items()]
    return type(value).__name__, state


@given("a balancer with {count:d} uneven agents of rounds in 4 failure domains")
def uneven_balancer(context, count):
    balancer_sample.start(context)
    domains = balancer_sample.FAILURE_DOMAINS
    balancer_sample.add_agents(context, count, domains)
    make_uneven(context, random.Random(count))


def make_uneven(context, rng):
    for host in context.hosts:
        balancer_sample.report_all(
            context,
            [host],
            in_progress=rng.choice([0.0, 0.5, 1.5, 3.0]),
            flows=rng.randrange(5, 15),
            service_ms=rng.uniform(20.0, 50.0),
        )


@given("a balancer with outlier detection")
def outlier_balancer(context):
    balancer_sample.start(context, detect_outliers=True)


@given("its agents a, b, c of rounds report {times} ms and {flows} flows")
def add_reporting(context, times, flows):
    samples = zip("abc", times.split(", "), flows.split(", "), strict=True)
    for number, (host, service_ms, count) in enumerate(samples, 1):
        context.core.add_agent(
            context.now,
            balancer_sample.record(host, "rounds", f"10.0.1.{number}"),
        )
        balancer_sample.report_all(
            context, [host], service_ms=float(service_ms), flows=int(count)
        )


@given(
    "a balancer with {count:d} agents of rounds, "
    "{unknown:d} of them of unknown speed"
)
def unknown_speed(context, count, unknown):
    outlier_balancer(context)
    balancer_sample.add_agents(context, count, balancer_sample.FAILURE_DOMAINS)
    make_uneven(context, random.Random(count))
    # Much slower than the default, which the assumed time must not be.
    known = context.hosts[unknown:]
    balancer_sample.report_all(context, known, service_ms=150.0)
    balancer_sample.report_all(context, context.hosts[:unknown], service_ms=0.0)


@given("a balancer with 40 agents of rounds, none of them preferred")
def none_preferred(context):
    balancer_sample.start(context)
    balancer_sample.add_agents(context, 40)
    patch(context, hash_ring, "MAX_VISITED_POINTS", 0)


@given("a balancer whose route leads to rounds and wheelbook at 3 to 1")
def shared_route(context):
    shares = (("rounds", 3), ("none", 0), ("wheelbook", 1))
    cfg = balancer_sample.configuration(5)
    route = msgspec.structs.replace(cfg.routes[0], shares=shares)
    cfg = msgspec.structs.replace(cfg, routes=(route,))
    balancer_sample.start_with_agents(context, cfg)


@given("a balancer without a configuration")
def without_configuration(context):
    context.core = balancer.ForwardingBalancer(
        "edge-1", "abay", ("10.0.0.9", 1), "", random.Random(1)
    )


@when("agents a, b are left out as they are {reason}")
def leave_out(context, reason):
    if reason in ("silent", "lost"):
        context.now += {"silent": 1.5, "lost": 4.5}[reason]
        balancer_sample.report_all(context, "c")
    elif reason == "not-accepting":
        balancer_sample.report_all(context, "ab", accepting=False)
    else:
        declined = {"avoided": "leaving", "backing-off": "overload"}[reason]
        for host in "ab":
            decline(context, host, declined)


@when("the choice excludes the agents of abay as evacuated")
def exclude_domain(context):
    real = chooser.UpstreamChooser.exclusion

    def exclusion(self, now, upstream):
        if upstream.record.failure_domain == "abay":
            return "evacuated"
        return real(self, now, upstream)

    patch(context, chooser.UpstreamChooser, "exclusion", exclusion)


@when("agent e of rounds is added but does not report")
def add_without_report(context):
    context.core.add_agent(
        context.now, balancer_sample.record("e", "rounds", "10.0.1.5")
    )


@when("agent a is usable but {reason}")
def make_less_preferred(context, reason):
    if reason == "older-report":
        context.now += 0.7
        balancer_sample.report_all(context, "bc")
    elif reason == "excess-flows":
        balancer_sample.report_all(context, "a", flows=100)
    elif reason == "not-faster":
        balancer_sample.report_all(context, "a", in_progress=1.9)
    else:
        context.core.add_agent(
            context.now,
            balancer_sample.record("a", "rounds", "10.0.1.1", "enbek"),
        )
        balancer_sample.report_all(context, "a")


@when("no agent of rounds takes flows")
def none_takes_flows(context):
    balancer_sample.report_all(context, "abc", accepting=False)


@when("no agent takes flows and the queue is full")
def queue_is_full(context):
    none_takes_flows(context)
    patch(context, openings, "MAX_PENDING", 0)


@when("all agents are lost")
def all_are_lost(context):
    context.core.agent_table.complete = True
    context.now += 4.5


@when("all are evacuated but some agents are unknown")
def all_are_evacuated(context):
    context.core.update_evacuations(context.now, ["abay"])


@when("all failure domains are evacuated")
def known_are_evacuated(context):
    context.core.agent_table.complete = True
    all_are_evacuated(context)


@when("all agents are lost or evacuated")
def lost_or_evacuated(context):
    context.core.add_agent(
        context.now,
        balancer_sample.record("e", "rounds", "10.0.1.5", "enbek"),
    )
    all_are_lost(context)
    balancer_sample.report_all(context, "abc")
    all_are_evacuated(context)


@when("the balancer knows no list of evacuations")
def no_evacuations(context):
    context.core.evacuated.expect_list(context.now + 3)


@when("the route is dropped")
def drop_route(context):
    context.core.configure(routes.Configuration(6))


@when("the placement of a new flow is explained")
def explain_new_flow(context):
    explain(context, balancer_sample.flow_key(FIRST_PORT))


@when("the placement of this flow is explained")
def explain_same_flow(context):
    explain(context, context.key)


@when("the placement of a flow that does not prefer h17 is explained")
@when("the placement of another such flow is explained")
def explain_not_preferring(context):
    """Takes a flow whose walk of the ring ends before the agent h17."""
    context.next_port = getattr(context, "next_port", FIRST_PORT)
    agents = context.core.agent_table.for_services(("rounds",))
    while True:
        key = balancer_sample.flow_key(context.next_port)
        context.next_port += 1
        if not agents.preferred(key, lambda x: x.record.host == "h17", 8):
            explain(context, key)
            return


@when("{count:d} flows are explained")
def explain_many(context, count):
    # Reports older than the cached flow density, which is then recalculated.
    context.core.on_segment(
        context.now, opening(balancer_sample.flow_key(FIRST_PORT))
    )
    context.now += 0.3
    context.twin = copy.deepcopy(context.core)
    for port in range(count):
        context.core.explain(
            context.now, balancer_sample.flow_key(FIRST_PORT + port)
        )


@then("agents a, b are left out as {reason}")
def agents_left_out(context, reason):
    for host in "ab":
        agent_left_out(context, host, reason)


@then("agent {host} is left out as {reason}")
def agent_left_out(context, host, reason):
    found = hosts(context)[host]
    assert (found.excluded, found.probability) == (reason, 0.0), found


@then("agent e has no report age, slots and load")
def no_report(context):
    found = hosts(context)["e"]
    values = (found.report_age_s, found.slots, found.in_progress)
    assert values == (None, 0, 0.0), found


@then("the explanation names only agent {host}")
def names_only(context, host):
    (service,) = context.found.services
    assert service.outcome == explanation.PLACED, service
    assert possible(service) == {host}, service.hosts
    assert service.hosts[0].probability == 1.0, service.hosts[0]


@then("for wheelbook only agent d is possible")
def names_only_for_service(context):
    service = context.found.services[1]
    assert (service.service, possible(service)) == ("wheelbook", {"d"}), service


@then("a caller that opens the flow is offered to agent {host}")
def is_offered_to(context, host):
    outs = context.core.on_segment(context.now, opening(context.key))
    assert hosts_in(outs) == [host], outs


@then("no opening of the flow is ever offered to agent {host}")
def never_offered(context, host):
    assert host not in possible(context.found.services[0]), context.found
    offered_to_possible(context, OPENINGS)


@then("{count:d} openings of the flow are offered to possible agents")
def offered_to_possible(context, count):
    names = possible(context.found.services[0])
    for seed in range(count):
        (chosen,) = open_in_copy(context, context.key, seed)
        assert chosen in names, chosen


@then("agent a has a service time of 120 ms and a longer answer time")
def assumed_time(context):
    found = hosts(context)["a"]
    assert found.service_ms == 120.0, found
    assert found.answer_ms > 120.0, found


@then("agent a is less likely than agent b")
def less_likely(context):
    # With the default of 30 ms, agent a would win each comparison.
    found = hosts(context)
    assert found["a"].probability < found["b"].probability, found


@then("{count:d} agents are left out as {reason}")
def count_left_out(context, count, reason):
    found = hosts(context).values()
    assert sum(x.excluded == reason for x in found) == count, found


@then(
    "in {count:d} random states the real choice is among the explained upstreams"
)
def random_states(context, count):
    rng = random.Random(7)
    outcomes = collections.Counter()
    for number in range(count):
        outliers = rng.random() < 0.5
        balancer_sample.start(context, detect_outliers=outliers)
        domains = rng.choice([("abay",), balancer_sample.FAILURE_DOMAINS])
        balancer_sample.add_agents(context, rng.randrange(1, 60), domains)
        make_uneven(context, rng)
        if rng.random() < 0.3:
            context.core.update_evacuations(context.now, [rng.choice(domains)])
        for part in range(3):
            context.now += rng.choice([0.02, 0.3, 0.6])
            chosen = [x for x in context.hosts if rng.random() < 0.5]
            accepting = rng.random() < (0.3, 0.9)[part == 2]
            balancer_sample.report_all(context, chosen, accepting=accepting)
        explain(context, balancer_sample.flow_key(30_000 + number))
        (service,) = context.found.services
        outs = context.core.on_segment(context.now, opening(context.key))
        offered = hosts_in(outs)
        if service.outcome == explanation.PLACED:
            assert len(offered) == 1, (number, service)
            assert offered[0] in possible(service), (number, service)
        else:
            assert not offered, (number, service)
        outcomes[service.outcome] += 1
    # Otherwise the states do not cover both outcomes.
    assert min(outcomes["placed"], outcomes["waits"]) > 0, outcomes


@then("the probabilities add up to 1")
def add_up(context):
    total = sum(x.probability for x in hosts(context).values())
    assert math.isclose(total, 1.0), total


@then("{count:d} real choices have the explained probabilities")
def same_probabilities(context, count):
    choose = context.core._placement._chooser.choose
    chosen = collections.Counter(
        choose(context.now, context.key, "rounds", set()).record.host
        for _ in range(count)
    )
    for host in hosts(context).values():
        expected = host.probability
        deviation = abs(chosen[host.host] / count - expected)
        sigma = math.sqrt(max(0.0, expected * (1 - expected)) / count)
        assert deviation <= MAX_SIGMAS * sigma + 1e-9, (host, chosen)


@then("the balancer's state is that of a twin that was not asked")
def same_state(context):
    assert snapshot(context.core, {}) == snapshot(context.twin, {})


@then("the balancer places {count:d} flows as its twin does")
def same_choices(context, count):
    for port in range(count):
        context.now += 0.01
        seg = opening(balancer_sample.flow_key(20_000 + port))
        outs = context.core.on_segment(context.now, seg)
        assert hosts_in(outs) == hosts_in(
            context.twin.on_segment(context.now, seg)
        ), port


@then("the flow {outcome} with the reason {reason}")
def flow_outcome(context, outcome, reason):
    found = context.found
    if found.outcome is None:
        (found,) = found.services
        assert not possible(found), found.hosts
    expected = {"waits": "waits", "is refused": "refused"}[outcome]
    assert (found.outcome, found.reason) == (expected, reason), found


@then("a real opening has the event {what}")
def real_event(context, what):
    outs = context.core.on_segment(context.now, opening(context.key))
    events = [x for x in outs if isinstance(x, outputs.Event)]
    assert [x.what for x in events] == [what], outs
    if what == "refuse":
        found = context.found
        reason = found.reason or found.services[0].reason
        assert f"reason={reason} " in events[0].detail + " ", events


@then("a real opening is ignored")
def is_ignored(context):
    key = balancer_sample.flow_key(FIRST_PORT)
    assert context.core.on_segment(context.now, opening(key)) == []


@then("all {count:d} agents are possible, without a probability")
def all_possible(context, count):
    (service,) = context.found.services
    assert len(possible(service)) == count, service
    assert {x.probability for x in service.hosts} == {None}, service


@then("a real opening is offered to one of them")
def offered_to_one(context):
    (chosen,) = open_in_copy(context, context.key, 1)
    assert chosen in possible(context.found.services[0]), chosen


@then("the service rounds has the share 0.75 and wheelbook 0.25")
def service_shares(context):
    shares = {x.service: x.share for x in context.found.services}
    assert shares == {"rounds": 0.75, "wheelbook": 0.25}, shares


@then("the explanation names the agent that was offered the flow")
def names_known(context):
    assert context.found.known_hosts == tuple(context.offered), context.found


@when('balancer {number:d} is asked for "{target}"')
def ask(context, number, target):
    address = (f"127.0.1.{number}", context.ports["control"])
    context.response = path.http_call(context, "GET", address, target)


@then('it answers {status:d} with one line naming "{text}"')
def answers(context, status, text):
    body = context.response.body.decode()
    assert context.response.status == status, context.response
    assert text in body and body.count("\n") == 1, body


@then('its explanation has status {status:d} and names "{text}"')
def explanation_status(context, status, text):
    arguments = {"caller": [b"1.2.3.4:5"], "address": [b"198.18.0.1:443"]}
    now = getattr(context, "now", 1.0)
    found = explain_request.explain(context.core, now, arguments)
    assert found[0] == status and text in found[1].decode(), found


def run(context, line):
    ip = "127.0.1.1"
    store = ":".join(map(str, context.standin.address))
    values = {
        "{balancer}": f"{ip}:{context.ports['control']}",
        "{closed}": f"{ip}:{context.ports['app']}",
        "{store}": store,
    }
    for name, value in values.items():
        line = line.replace(name, value)
    out, err = (buffered_output.BufferedOutput() for _ in range(2))
    context.status = app.main(
        ["explain-flow", *shlex.split(line)],
        run_loop=context.loop.run_until_complete,
        out=out,
        err=err,
    )
    context.out, context.err = out.fetch(), err.fetch()


@when('ana runs explain-flow with "{line}"')
def run_line(context, line):
    run(context, line)


@when('ana explains the flow "{caller}" at balancer 1')
def run_command(context, caller):
    run(context, f"{{balancer}} {path.ROUTE[0]}:{path.ROUTE[1]} {caller}")


@when('ana explains the flow "{caller}" at balancer 1 with "{option}"')
def run_with_option(context, caller, option):
    run_command(context, f"{caller} {option}")


@when("agent 1 declines new flows")
def decline_new_flows(context):
    path.send_heartbeat(context, 1, 2, state="draining")
    core = context.daemons["balancer", 1].core
    upstream = core.agent_table.get("agent-1")
    path.wait_until(context, lambda: not upstream.report.accepting)


@then("upstream {number:d} got the opening")
def got_opening(context, number):
    counts = {n: len(x.openings) for n, x in context.upstreams.items()}
    assert counts == {1: 0, 2: 0} | {number: 1}, counts


@then("the explanation exits with {status:d}")
def exits(context, status):
    assert (context.status, context.err) == (status, ""), context.err


@then('the explanation exits with {status:d} and one line naming "{text}"')
def exits_with(context, status, text):
    assert context.status == status, (context.status, context.err)
    assert context.out == "", context.out
    err = context.err
    assert err.startswith("crocusmux: ") and err.count("\n") == 1, err
    assert text in err, err


@then('it prints "{pattern}"')
def prints(context, pattern):
    assert re.search(pattern, context.out), context.out


@then("it prints one JSON value with the hosts agent-1, agent-2")
def prints_json(context):
    assert context.out.count("\n") == 1, context.out
    found = msgspec.json.decode(context.out, type=explanation.Explanation)
    (service,) = found.services
    assert {x.host for x in service.hosts} == {"agent-1", "agent-2"}, service
