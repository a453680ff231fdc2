import contextlib
import heapq
import io
import json
import math
import os
import pathlib
import random
import sys
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec

from crocusmux.core.forward import agent
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import token_bucket
from crocusmux.daemons import forward_balancer
from crocusmux.platform import __main__ as platform_main
from features import balancer_sample
from features.steps import forward_path_steps
from features.steps import heartbeats_steps

REPORT_INTERVAL_S = 0.25
TIMER_INTERVAL_S = 0.05
# Time until a caller continues if its upstream is well.
ROUND_TRIP_S = 0.002
# Largest delay of a hedge in a fleet that answers within 2 ms: the lower bound
# of 30 ms, and 20 ms for the samples of the hedged flows themselves.
MAX_HEDGE_DELAY_S = 0.05


def start(context, percent, repeatable=True):
    cfg = balancer_sample.configuration(5, repeatable=repeatable)
    balancer_sample.start_with_agents(context, cfg, percent / 100)


@given("a balancer with agents a, b, c that hedges up to {percent:g} percent")
def hedging_balancer(context, percent):
    start(context, percent)


@given("a balancer with agents a, b, c and a route that is not repeatable")
def not_repeatable(context):
    start(context, 100, repeatable=False)


@given("a balancer with {count:d} agents that hedges up to {percent:g} percent")
def many_agents(context, count, percent):
    cfg = balancer_sample.configuration(5, repeatable=True)
    balancer_sample.start(context, cfg=cfg, hedge_share=percent / 100)
    balancer_sample.add_agents(context, count)


def events(outs, what):
    return [o for o in outs if isinstance(o, outputs.Event) and o.what == what]


def hedge(context):
    """Returns the event of the only hedge, after checks of its offer."""
    (event,) = events(context.outs, "hedge")
    (host,) = balancer_sample.offered_hosts(context)
    assert host not in context.offered and host in "abc", host
    assert event.detail.startswith(f"agent={host} after_ms="), event
    assert event.key == context.key
    return event


@then("the opening is hedged")
def is_hedged(context):
    hedge(context)


@then("the opening is hedged after {ms:d} ms")
def is_hedged_after(context, ms):
    event = hedge(context)
    assert event.detail.endswith(f" after_ms={ms}"), event
    context.offered += balancer_sample.offered_hosts(context)


@then("the opening is not hedged")
def not_hedged(context):
    assert not balancer_sample.offers(context.outs), context.outs
    assert not events(context.outs, "hedge")
    assert not events(context.outs, "hedge-limited")


@then("no hedge is scheduled")
def none_scheduled(context):
    assert context.core.next_hedge_at() == math.inf


@then("the balancer measures {ms:d} ms until the opening is acknowledged")
def measured(context, ms):
    (timing,) = [o for o in context.outs if isinstance(o, outputs.Timing)]
    assert timing.what == "opening_acknowledged"
    assert math.isclose(timing.seconds, ms / 1000, rel_tol=1e-6), timing


@then("three different agents were offered the flow")
def three_offers(context):
    assert sorted(context.offered) == ["a", "b", "c"], context.offered


def avoided_hosts(context):
    table = context.core.agent_table
    return [x.record.host for x in table.all() if x.avoided]


@then("no agent is avoided")
def none_avoided(context):
    assert not avoided_hosts(context)


@then("only the agent that was offered the flow first is avoided")
def first_avoided(context):
    avoided = avoided_hosts(context)
    assert avoided == context.offered[:1], avoided


@when("all agents report {load:g} requests in progress in their 2 slots")
def report_load(context, load):
    balancer_sample.report_all(context, "abcd", in_progress=load)


@when("another opening that all agents declined is queued")
def queue_another(context):
    key = balancer_sample.flow_key(40_777)
    seg = balancer_sample.segment(key, opening=True)
    outs = context.core.on_segment(context.now, seg)
    while balancer_sample.offers(outs):
        (offer,) = balancer_sample.offers(outs)
        host = balancer_sample.host_at(context, offer.to)
        # The agents get no offers for 30 ms, which are over at the hedge.
        message = reports.OpeningDeclined(host, key, "overload")
        outs = context.core.on_message(context.now, message)
    assert events(outs, "wait"), outs


@when("the hedges of the next {seconds:g} s are sent")
def send_hedges(context, seconds):
    context.now += seconds
    assert context.core.next_hedge_at() <= context.now
    context.outs = context.core.send_due_hedges(context.now)


def offered(context, order):
    return context.offered[["first", "second"].index(order)]


@when("the agent that got the opening {order} declines it")
def one_declines(context, order):
    host = offered(context, order)
    message = reports.OpeningDeclined(host, context.key, "overload")
    context.outs = context.core.on_message(context.now, message)


@then("only the agent that got the opening {order} gets them")
def only_one_gets(context, order):
    sent = [o for o in context.outs if isinstance(o, outputs.ToAgent)]
    hosts = {balancer_sample.host_at(context, o.to) for o in sent}
    assert hosts == {offered(context, order)}, hosts


@then("both upstreams of the hedge are probed")
def both_probed(context):
    assert balancer_sample.hosts_queried(context) == context.offered
    assert len(context.offered) == 2


@when("the agent that got the opening {order} denies the flow")
def one_denies(context, order):
    deny(context, offered(context, order))


@when("the third agent denies the flow")
def third_denies(context):
    (host,) = set("abc") - set(context.offered)
    deny(context, host)


def deny(context, host):
    message = reports.FlowDenied(host, context.key)
    context.resets = balancer_sample.resets(context)
    context.outs = context.core.on_message(context.now, message)
    context.resets += balancer_sample.resets(context)
    context.sent_queries = balancer_sample.queries_in(context, context.outs)


@when("the agent that got the opening {order} replies that it holds the flow")
def one_claims(context, order):
    context.resets += balancer_sample.resets(context)
    host = offered(context, order)
    context.execute_steps(f"When agent {host} replies that it holds the flow")


@then("no segment was a reset")
def no_resets(context):
    assert not context.resets + balancer_sample.resets(context)


@when("openings arrive as on a day, and no caller continues in time")
def day_of_openings(context):
    """Plays 60 s whose rate rises from 20/s to 100/s and falls again."""
    rng = random.Random(7)
    context.openings = context.hedges = context.limited = 0
    context.counts = []
    end = context.now + 60
    begin = next_timer = next_report = context.now
    while context.now < end:
        phase = (context.now - begin) / 60
        rate = 20 + 80 * math.sin(math.pi * phase)
        context.now += rng.expovariate(rate)
        if context.now >= next_report:
            next_report = context.now + REPORT_INTERVAL_S
            balancer_sample.repeat_reports(context)
        outs = []
        if context.now >= next_timer:
            next_timer = context.now + TIMER_INTERVAL_S
            outs = context.core.on_timer(context.now)
        context.openings += 1
        key = balancer_sample.flow_key(context.openings)
        seg = balancer_sample.segment(key, opening=True)
        outs += context.core.on_segment(context.now, seg)
        context.hedges += len(events(outs, "hedge"))
        context.limited += len(events(outs, "hedge-limited"))
        context.counts.append((context.openings, context.hedges))


@then("at every moment there were at most {percent:d} percent + 10 hedges")
def within_share(context, percent):
    for count, hedges in context.counts:
        assert 100 * hedges <= percent * count + 1000, (count, hedges)
    assert context.openings > 2000 and context.hedges >= 10, context.hedges


@then("the balancer reports that the limit was reached")
def limit_reported(context):
    assert context.limited > 0


@then("any use of a token bucket stays within its bounds")
def bucket_bounds(context):
    del context
    shares = strategies.floats(0, 1)
    uses = strategies.lists(strategies.booleans(), max_size=200)

    @hypothesis.settings(
        max_examples=500,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
    )
    @hypothesis.given(shares, uses)
    def check(share, opens):
        bucket = token_bucket.TokenBucket(share)
        openings = hedges = 0
        for is_opening in opens:
            if is_opening:
                openings += 1
                bucket.add_opening()
            else:
                hedges += bucket.take()
            assert 0 <= bucket.parts <= 10 * token_bucket.TOKEN_PARTS
            # Half a part may be rounded up for each opening.
            parts = (share * token_bucket.TOKEN_PARTS + 0.5) * openings
            limit = 10 * token_bucket.TOKEN_PARTS + parts
            assert hedges * token_bucket.TOKEN_PARTS <= limit + 1, hedges

    check()


@when("{count:d} callers continue {ms:d} ms after their openings")
def callers_continue(context, count, ms):
    for number in range(count):
        balancer_sample.report_all(context, "abcd")
        key = balancer_sample.flow_key(10_000 + number)
        context.core.on_segment(
            context.now, balancer_sample.segment(key, opening=True)
        )
        context.now += ms / 1000
        context.core.on_segment(
            context.now, balancer_sample.segment(key, ack=77_000)
        )


@given("agents a, b, c with upstreams and a balancer that hedges")
def with_agent_cores(context):
    start(context, 100)
    context.agents = {}
    context.requests = []
    for host in "abc":
        core = agent.ForwardingAgent(host, "rounds", 1, 1.2)
        core.on_heartbeat(context.now, heartbeats_steps.heartbeat(1000, 1))
        context.agents[host] = core


def deliver(context, outs):
    """Carries segments to the agents and their messages to the balancer.

    Records the segments with data that reach an upstream.
    """
    todo = list(outs)
    while todo:
        out = todo.pop(0)
        if isinstance(out, outputs.Reset):
            raise AssertionError(out)
        if not isinstance(out, outputs.ToAgent):
            continue
        host = balancer_sample.host_at(context, out.to)
        seg = msgspec.structs.replace(
            out.segment, service_tag=out.service_tag, mark=out.mark
        )
        replies = context.agents[host].on_caller_segment(
            context.now, seg, balancer_sample.BALANCER_ADDRESS
        )
        for reply in replies:
            if isinstance(reply, outputs.ToPeer):
                todo += context.core.on_message(context.now, reply.message)
            elif reply.segment.length:
                context.requests.append(host)


@when("a caller opens a flow, which is hedged")
def open_hedged(context):
    context.execute_steps("When a caller opens a flow to rounds")
    deliver(context, context.outs)
    context.now += 0.031
    context.outs = context.core.on_timer(context.now)
    is_hedged_after(context, 31)
    deliver(context, context.outs)


@when("the upstreams answer, and the caller continues with the {chosen} one")
def continue_with(context, chosen):
    context.chosen = offered(context, chosen)
    for number, host in enumerate(context.offered):
        seg = msgspec.structs.replace(
            balancer_sample.segment(context.key, opening=True),
            from_caller=False,
            acknowledges=True,
            seq=5000 + 1000 * number,
        )
        context.agents[host].on_upstream_segment(context.now, seg)
        assert context.agents[host].load.committed(context.now) == 1
    context.ack = 5001 + 1000 * context.offered.index(context.chosen)
    send_data(context, 1)


def send_data(context, count):
    for _ in range(count):
        seg = balancer_sample.segment(context.key, ack=context.ack, length=100)
        deliver(context, context.core.on_segment(context.now, seg))


@then("only that upstream gets the request, and once")
def one_request(context):
    assert context.requests == [context.chosen], context.requests


@then("the other agent denies the flow and reserves no slot for it")
def other_is_free(context):
    (other,) = [x for x in context.offered if x != context.chosen]
    assert context.agents[other].load.committed(context.now) == 0
    flow = context.core.flows.get(context.key)
    assert flow.holder == context.chosen and flow.holder_confirmed


@then("later packets go to that upstream alone")
def later_packets(context):
    send_data(context, 3)
    assert context.requests == [context.chosen] * 4, context.requests


@when(
    "one of 8 hosts dies silently at {rate:d} openings per second, {hedging}"
    " hedging"
)
def host_dies(context, rate, hedging):
    """Plays the death of each host in turn, as each gets few flows by then."""
    context.delays = []
    for number in range(8):
        play_death(context, rate, 0.2 if hedging == "with" else 0.0, number)


def play_death(context, rate, share, dead_number):
    """Plays 2 s, with the death after 0.5 s; callers retransmit once."""
    cfg = balancer_sample.configuration(5, repeatable=True)
    balancer_sample.start(context, cfg=cfg, hedge_share=share)
    balancer_sample.add_agents(context, 8)
    context.__dict__.pop("hosts_by_address", None)
    core, dead = context.core, f"h{dead_number}"
    begin = context.now
    dies_at = begin + 0.5
    timeline = []
    order = iter(range(10**6))

    def at(when, action):
        heapq.heappush(timeline, (when, next(order), action))

    first_offers = {}
    acknowledged = set()

    def execute(outs):
        for offer in balancer_sample.offers(outs):
            host = balancer_sample.host_at(context, offer.to)
            on_offer(offer.segment.key, host)
        if core.next_hedge_at() < math.inf:
            at(core.next_hedge_at(), send_hedges)

    def on_offer(key, host):
        if host == dead and context.now >= dies_at:
            first_offers.setdefault(key, context.now)
            return
        if key in first_offers:
            context.delays.append(context.now - first_offers.pop(key))
        at(context.now + ROUND_TRIP_S, lambda: acknowledge(key))

    def send_hedges():
        execute(core.send_due_hedges(context.now))

    def acknowledge(key):
        if key not in acknowledged:
            acknowledged.add(key)
            seg = balancer_sample.segment(key, ack=77_000)
            execute(core.on_segment(context.now, seg))

    def open_flow(key, copies):
        if key not in acknowledged:
            seg = balancer_sample.segment(key, opening=True, ack=copies)
            execute(core.on_segment(context.now, seg))

    def report():
        live = [x for x in context.hosts if x != dead]
        hosts = live if context.now >= dies_at else context.hosts
        balancer_sample.report_all(context, hosts)

    def tick():
        execute(core.on_timer(context.now))

    for number in range(40):
        at(begin + number * TIMER_INTERVAL_S, tick)
    for number in range(8):
        at(begin + number * REPORT_INTERVAL_S, report)
    for number in range(2 * rate):
        when_opened = begin + number / rate
        key = balancer_sample.flow_key(20_000 + number)
        at(when_opened, lambda key=key: open_flow(key, 0))
        again = when_opened + balancer_sample.SYN_RETRANSMIT_S
        at(again, lambda key=key: open_flow(key, 1))
    while timeline:
        context.now, _, action = heapq.heappop(timeline)
        action()
    assert not first_offers, first_offers


@then("flows offered to it reach a live host after {ms:d} ms")
def reach_after(context, ms):
    assert len(context.delays) >= 5, context.delays
    assert all(math.isclose(x, ms / 1000) for x in context.delays)


@then("flows offered to it reach a live host within the hedge delay")
def reach_within(context):
    assert len(context.delays) >= 5, context.delays
    assert max(context.delays) <= MAX_HEDGE_DELAY_S, context.delays


@given("daemons with hedging, on a store with a route that is repeatable")
def hedging_daemons(context):
    context.hedge_share = 1.0
    forward_path_steps.whole_path(context)
    core = context.daemons["balancer", 1].core
    (route,) = core.routes.configuration.routes
    assert route.repeatable


@when("{count:d} flows are opened at different times and no upstream answers")
def open_flows(context, count):
    """Measures, in steps of 1 ms, when the other upstream gets each opening."""
    loop = context.loop
    context.delays = []
    for upstream in context.upstreams.values():
        upstream.mute = True
    for number in range(count):
        for upstream in context.upstreams.values():
            upstream.openings.clear()
        flags = forward_path_steps.wire.FLAGS["SYN"]
        forward_path_steps.send(context, 1, 100, 0, flags, source=6000 + number)
        loop.settle(lambda: openings(context) == 1)
        offered_at = loop.time()
        loop.advance_until(lambda: openings(context) == 2, 0.001, 0.1)
        context.delays.append(loop.time() - offered_at)
        # An upstream that leaves an opening unanswered is silent after 100 ms.
        for upstream in context.upstreams.values():
            upstream.answer_last()
        # Both agents report again, as offers count until then.
        advance(loop, 0.313)


def advance(loop, seconds):
    end = loop.time() + seconds
    loop.advance_until(lambda: loop.time() >= end, 0.001, 2 * seconds)


def openings(context):
    return sum(len(x.openings) for x in context.upstreams.values())


@then("the other upstream gets each opening after {low:d} to {high:d} ms")
def hedged_in_time(context, low, high):
    for delay in context.delays:
        assert low / 1000 - 1e-6 <= delay <= high / 1000, context.delays


SETTINGS = {
    "node_name": "edge-1",
    "machine_class": "edge",
    "ip": "10.1.0.10",
    "zone": "abay",
    "listen": {
        "data_addr": "10.1.0.10:8172",
        "readiness": "10.1.0.10:8167",
        "control": "10.1.0.10:8166",
    },
    "port_range": [7720, 7735],
    "platform": {"address": "10.200.1.7:8169"},
}


@given("a settings file of a balancer")
def settings_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = str(pathlib.Path(folder.name) / "settings.json")
    pathlib.Path(context.path).write_text(json.dumps(SETTINGS))


@when("the balancer starts with CROCUSMUX_HEDGE_SHARE {value}")
def start_main(context, value):
    start_with(context, "CROCUSMUX_HEDGE_SHARE", value)


def start_with(context, variable, value):
    """Starts a balancer with an environment variable."""
    environment = {"CROCUSMUX_BOOT": context.path}
    if value != "absent":
        environment[variable] = "" if value == "empty" else value
    context.errors = io.StringIO()
    with (
        mock.patch.dict(os.environ, environment),
        mock.patch.object(sys, "argv", ["platform", "balancer"]),
        mock.patch.object(forward_balancer, "run", return_value=0) as run,
        contextlib.redirect_stderr(context.errors),
    ):
        context.status = platform_main.main()
    context.run = run


@then("its hedge share is {share:g}")
def share_is(context, share):
    assert context.status == 0, context.errors.getvalue()
    (cfg, _, reload), _ = context.run.call_args
    assert cfg.hedge_share == share
    assert callable(reload)


@then("it ends with status 1 and one error that names the variable")
def one_error(context):
    assert context.status == 1
    assert not context.run.called
    (line,) = context.errors.getvalue().splitlines()
    assert "CROCUSMUX_HEDGE_SHARE" in line, line
