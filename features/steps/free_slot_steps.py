import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from bench import free_slot as model
from crocusmux.core.forward import agent
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from crocusmux.core.forward import token_bucket
from crocusmux.daemons import forward_balancer
from crocusmux.platform import host_settings
from features import balancer_sample
from features import upstream_sample
from features.steps import forward_path_steps
from features.steps import heartbeats_steps
from features.steps import hedging_steps

SENDERS = {
    "that balancer": ("10.0.0.9", 7720),
    "another balancer": ("10.0.0.8", 7720),
}
BALANCER = SENDERS["that balancer"]
GOAL_MS = 512
# Time that a long request leaves of the goal.
MAX_WAIT_MS = GOAL_MS - 1000 * model.SERVICE_S * model.TAIL_FACTOR


def new_agent(context, slots, warmup_s=0.0, rate=0.0):
    context.now = 100.0
    context.core = agent.ForwardingAgent("side-1", "rounds", 7, 1.2)
    subscribe = reports.Subscribe(
        "edge-1", BALANCER, 5, "", 10.0, 0.25, warmup_per_s=rate
    )
    context.core.on_subscribe(context.now, subscribe)
    beat = heartbeats_steps.heartbeat(1000, 1)
    beat = msgspec.structs.replace(beat, slots=slots, warmup_s=warmup_s)
    context.core.on_heartbeat(context.now, beat)
    context.ports = iter(range(30_000, 40_000))


def send(context, key, sender=BALANCER, **changes):
    seg = upstream_sample.make_segment(key, **changes)
    context.outs = context.core.on_caller_segment(context.now, seg, sender)


def begin_requests(context, count):
    for _ in range(count):
        key = balancer_sample.flow_key(next(context.ports))
        send(context, key, opening=True)
        syn_ack = upstream_sample.make_segment(
            key, from_caller=False, opening=True, seq=5000
        )
        context.core.on_upstream_segment(context.now, syn_ack)
        send(context, key, ack=5001, length=100)
    assert context.core.load.in_progress >= count


@given(
    "an agent of rounds whose upstream has {slots:d} slots and {taken:d}"
    " requests in progress"
)
def agent_with_requests(context, slots, taken):
    new_agent(context, slots)
    begin_requests(context, taken)


@when("a balancer sends an opening with mark {mark:d}")
@when("a balancer sends another opening with mark {mark:d}")
def send_opening(context, mark):
    context.key = balancer_sample.flow_key(next(context.ports))
    send(context, context.key, opening=True, ack=0, mark=mark)


@when(
    "{count:d} more requests arrive, and {sender} retransmits the opening with"
    " mark {mark:d}"
)
def retransmit_marked(context, count, sender, mark):
    key = context.key
    begin_requests(context, count)
    context.now += balancer_sample.SYN_RETRANSMIT_S
    # Other openings are declined.
    send_opening(context, mark)
    outcome_is(context, "overload")
    send(context, key, SENDERS[sender], opening=True, ack=1, mark=mark)
    context.key = key


@then("the agent answers the opening with {outcome}")
def outcome_is(context, outcome):
    (output,) = context.outs
    if outcome == "acceptance":
        assert isinstance(output, outputs.ToUpstream), output
        assert output.segment.key == context.key
        return
    message = output.message
    assert isinstance(message, reports.OpeningDeclined), message
    assert (message.key, message.reason) == (context.key, outcome), message


@then("the upstream gets the opening with mark {mark:d}")
def upstream_gets(context, mark):
    (output,) = context.outs
    assert isinstance(output, outputs.ToUpstream), output
    assert output.segment.mark == mark


@given(
    "a cold upstream of {slots:d} slots that admits {rate:d} openings a second"
)
def cold_agent(context, slots, rate):
    new_agent(context, slots, warmup_s=5.0, rate=float(rate))


@when(
    "{accepted:d} openings are accepted, and {declined:d} marked ones are declined"
)
def accept_and_decline(context, accepted, declined):
    for _ in range(accepted):
        send_opening(context, segments.MARK_FREE_SLOT)
        outcome_is(context, "acceptance")
    for _ in range(declined):
        send_opening(context, segments.MARK_FREE_SLOT)
        outcome_is(context, "no-free-slot")


@then("{count:d} more openings are accepted without the mark, and then none")
def accepts_more(context, count):
    # The first requests are no longer expected, so only the limit declines.
    context.now += 0.15
    for _ in range(count):
        send_opening(context, segments.MARK_DIRECT)
        outcome_is(context, "acceptance")
    send_opening(context, segments.MARK_DIRECT)
    outcome_is(context, "warming-up")


@when("{accepted:d} openings are accepted, and a marked one arrives")
def accept_then_marked(context, accepted):
    accept_and_decline(context, accepted, 0)
    send_opening(context, segments.MARK_FREE_SLOT)


def start(context, count, percent=100, hedge_percent=0, cfg=None):
    balancer_sample.start(
        context,
        cfg=cfg or balancer_sample.configuration(5, repeatable=True),
        hedge_share=hedge_percent / 100,
        fair_queueing=True,
        extra_offer_share=percent / 100,
    )
    balancer_sample.add_agents(context, count)
    context.core.agent_table.complete = True
    context.history = []


@given("a balancer that needs free slots, with {count:d} agents")
def needing_balancer(context, count):
    start(context, count)


@given(
    "a balancer that needs free slots up to {percent:d} percent, with {count:d}"
    " agents"
)
def needing_balancer_up_to(context, percent, count):
    start(context, count, percent)


@given(
    "a balancer that hedges up to {percent:d} percent and needs free slots,"
    " with {count:d} agents"
)
def hedging_and_needing(context, percent, count):
    start(context, count, hedge_percent=percent)


@given(
    "a balancer that needs free slots, with 2 agents of {first:d} and"
    " {second:d} ms"
)
def uneven_agents(context, first, second):
    start(context, 2)
    balancer_sample.report_all(context, ["h0"], service_ms=float(first))
    balancer_sample.report_all(context, ["h1"], service_ms=float(second))


def offer(context):
    """Returns the host and the mark of the only offer, and remembers it."""
    (found,) = balancer_sample.offers(context.outs)
    host = balancer_sample.host_at(context, found.to)
    if context.history[-1:] != [(context.key, host, found.mark)]:
        context.history.append((context.key, host, found.mark))
    return host, found.mark


def hosts_of_flow(context):
    return [host for key, host, _ in context.history if key == context.key]


@then("an agent is offered the flow {state} the mark")
def offered_with(context, state):
    _, mark = offer(context)
    expected = segments.MARK_FREE_SLOT if state == "with" else 0
    assert mark == expected, mark


@when("that agent declines it: {reason}")
def decline(context, reason):
    host = context.history[-1][1] if not context.outs else offer(context)[0]
    context.last_host = host
    message = reports.OpeningDeclined(host, context.key, reason)
    context.outs = context.core.on_message(context.now, message)


@then("it was offered to {count:d} agents")
def offered_to(context, count):
    hosts = hosts_of_flow(context)
    assert len(hosts) == len(set(hosts)) == count, hosts


@then("one of the first two agents is offered the flow without the mark")
def first_two(context):
    host, mark = offer(context)
    assert mark == segments.MARK_DIRECT
    assert host in hosts_of_flow(context)[:2], context.history


@then("the same agent is offered the flow without the mark")
@then("the same agent as first is offered the flow without the mark")
def same_agent(context):
    host, mark = offer(context)
    assert (host, mark) == (hosts_of_flow(context)[0], segments.MARK_DIRECT)


def event_names(context):
    return [o.what for o in context.outs if isinstance(o, outputs.Event)]


@then("the flow is queued, and its caller gets no reset")
def is_queued(context):
    assert not balancer_sample.offers(context.outs), context.outs
    assert not balancer_sample.resets(context)
    assert context.key in context.core._placement.openings
    assert "wait" in event_names(context)


@then("no flow is refused or queued")
def none_refused(context):
    assert not {"wait", "refuse"} & set(event_names(context))
    assert not len(context.core._placement.openings)


def stop_accepting(context, hosts):
    balancer_sample.report_all(context, hosts, accepting=False)


@when("all other agents stop to accept new flows")
def others_stop(context):
    host, _ = offer(context)
    stop_accepting(context, [x for x in context.hosts if x != host])


@when("the first agent stops to accept new flows")
def first_stops(context):
    stop_accepting(context, hosts_of_flow(context)[:1])
    offer(context)


@then("nothing is sent")
def nothing_sent(context):
    sent = [o for o in context.outs if not isinstance(o, outputs.Event)]
    assert not sent, sent


def open_flow(context, number):
    context.key = balancer_sample.flow_key(20_000 + number)
    seg = balancer_sample.segment(context.key, opening=True)
    context.outs = context.core.on_segment(context.now, seg)


@when("a caller opens a flow, and all agents decline it: {reason}")
def all_decline(context, reason):
    open_flow(context, 0)
    context.queued = context.key
    while balancer_sample.offers(context.outs):
        decline(context, reason)
    assert context.queued in context.core._placement.openings


@when("all agents report free slots, and another flow is opened")
def open_behind(context):
    # The agents get no offers for 30 ms after they declined.
    context.now += 0.04
    balancer_sample.report_all(context, context.hosts, in_progress=0.0)
    open_flow(context, 1)
    context.other = context.key


@then("the flow that was queued is offered without the mark")
def queued_offered(context):
    context.key = context.queued
    check_unmarked(context, context.queued)


@then("the other flow is offered without the mark")
def other_offered(context):
    check_unmarked(context, context.other)


def check_unmarked(context, key):
    (found,) = balancer_sample.offers(context.outs)
    assert found.segment.key == key
    assert found.mark == segments.MARK_DIRECT


@when("{seconds:g} s pass with the timer")
def pass_with_timer(context, seconds):
    context.now += seconds
    context.outs = context.core.on_timer(context.now)


@when(
    "{count:d} callers open flows, each of which its first agent declines:"
    " {reason}"
)
def first_declines(context, count, reason):
    for number in range(count):
        open_flow(context, number)
        decline(context, reason)
        if balancer_sample.offers(context.outs):
            offer(context)
        if reason == "no-free-slot":
            continue
        # An agent that is full gets no offers for a while.
        context.now += 0.04
        balancer_sample.repeat_reports(context)
        seg = balancer_sample.segment(context.key, ack=77_000, length=100)
        context.core.on_segment(context.now, seg)


@then("the offers that count at each agent are those that it did not decline")
def no_pile_up(context):
    last = {key: host for key, host, _ in context.history}
    for host in context.hosts:
        upstream = context.core.agent_table.get(host)
        kept = sum(x == host for x in last.values())
        assert upstream.unreported_offers == kept, (host, kept)
    assert len(last) == 30


@when(
    "a caller opens a flow that agent h0 gets, which declines it: no-free-slot"
)
def h0_declines(context):
    for number in range(1_000):
        open_flow(context, number)
        if offer(context)[0] == "h0":
            break
        # The agent's offers stay in view otherwise.
        balancer_sample.repeat_reports(context)
    decline(context, "no-free-slot")


@then("the flow goes to agent {host}")
def agent_offered(context, host):
    assert offer(context)[0] == host


@when(
    "{count:d} callers open flows at random, of which agents decline 9 of 10"
    " marked offers"
)
def open_at_random(context, count):
    rng = random.Random(5)
    context.counts = []
    context.limited = False
    declines = 0
    waiting = []
    for number in range(count):
        open_flow(context, number)
        waiting.append((context.key, context.outs))
        context.limited |= "extra-offer-limited" in event_names(context)
        # Some declines and acknowledgements arrive after later openings.
        while waiting and rng.random() < 0.6:
            key, context.outs = waiting.pop(rng.randrange(len(waiting)))
            while context.outs:
                context.key = key
                _, mark = offer(context)
                if mark and rng.random() < 0.9:
                    declines += 1
                    context.counts.append((number + 1, declines))
                    decline(context, "no-free-slot")
                    context.limited |= "extra-offer-limited" in event_names(
                        context
                    )
                    continue
                seg = balancer_sample.segment(key, ack=77_000, length=100)
                context.core.on_segment(context.now, seg)
                context.outs = []
        balancer_sample.repeat_reports(context)
    assert declines


@then(
    "at every moment there were at most {percent:d} percent + 10 such declines"
)
def declines_within(context, percent):
    for opened, declines in context.counts:
        assert declines <= 10 + percent / 100 * opened, (opened, declines)


@then("the balancer tells that the limit was reached: {limited}")
def limit_told(context, limited):
    assert context.limited == (limited == "yes")


@when("{count:d} callers open flows, which are accepted at once")
def accepted_at_once(context, count):
    for number in range(count):
        open_flow(context, number)
        offer(context)
        seg = balancer_sample.segment(context.key, ack=77_000, length=100)
        context.core.on_segment(context.now, seg)


@then("all {count:d} offers had the mark")
def all_marked(context, count):
    marks = [mark for _, _, mark in context.history]
    assert marks == [segments.MARK_FREE_SLOT] * count, marks


@then("all {count:d} first offers had the mark")
def all_first_marked(context, count):
    first = {}
    for key, _, mark in context.history:
        first.setdefault(key, mark)
    marks = list(first.values())
    assert marks == [segments.MARK_FREE_SLOT] * count, marks


@when("the hedge is due")
def hedge_due(context):
    offer(context)
    context.now = context.core.next_hedge_at()
    context.outs = context.core.send_due_hedges(context.now)


@then("{hedges:d} tokens of hedges are left, and {extra:d} of extra offers")
def tokens_left(context, hedges, extra):
    placement = context.core._placement
    buckets = placement._hedging.bucket, placement._free_slot.bucket
    parts = tuple(bucket.parts for bucket in buckets)
    unit = token_bucket.TOKEN_PARTS
    assert parts == (hedges * unit, extra * unit), parts


@when("the caller goes on with the first agent")
def goes_on(context):
    seg = balancer_sample.segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)


@then("offers to free slots are {state}")
def setting_is(context, state):
    cfg = host_settings.decode(context.settings)
    assert cfg.free_slot_first == (state == "on")
    assert cfg.extra_offer_share == 1.0


@given("a balancer daemon with the rule {state} and a share of {share:g}")
def daemon_with(context, state, share):
    cfg = msgspec.structs.replace(
        host_settings.decode(SETTINGS),
        free_slot_first=state == "on",
        extra_offer_share=share,
    )
    with (
        mock.patch.object(forward_balancer.asyncio, "get_running_loop"),
        mock.patch.object(forward_balancer.udp, "UdpSocket"),
        mock.patch.object(forward_balancer.forward, "Messenger"),
    ):
        context.daemon = forward_balancer.BalancerForwardingDaemon(
            cfg, mock.MagicMock(), random.Random(1)
        )


SETTINGS = msgspec.json.encode(hedging_steps.SETTINGS)


@then("its balancer has the rule {outcome}")
def daemon_rule(context, outcome):
    enabled = context.daemon.core._placement._free_slot.enabled
    assert enabled == (outcome == "on")


@when("the balancer starts with CROCUSMUX_EXTRA_OFFER_SHARE {value}")
def start_main(context, value):
    hedging_steps.start_with(context, "CROCUSMUX_EXTRA_OFFER_SHARE", value)


@then("its extra offer share is {share:g}")
def share_is(context, share):
    assert context.status == 0, context.errors.getvalue()
    (cfg, _, _), _ = context.run.call_args
    assert cfg.extra_offer_share == share


@then("it ends with status 1 and one error that names {name}")
def one_error(context, name):
    assert context.status == 1
    assert not context.run.called
    (line,) = context.errors.getvalue().splitlines()
    assert name in line, line


@then("the explanation of a flow {says} that its first offer needs a free slot")
def explained(context, says):
    context.key = balancer_sample.flow_key(20_000)
    found = context.core.explain(context.now, context.key)
    (service,) = found.services
    context.explained = service.free_slot_first
    assert context.explained == (says == "says")


@given("daemons on a store, with the rule {state}")
def daemons(context, state):
    context.free_slot_first = state == "on"
    forward_path_steps.whole_path(context)


@then("the text {says} that the first offer needs a free slot")
def text_says(context, says):
    assert context.status == 0, context.err
    assert ("needs a free slot" in context.out) == (says == "says")


@then("so does its first offer")
def first_offer_agrees(context):
    open_flow(context, 0)
    assert (offer(context)[1] == segments.MARK_FREE_SLOT) == context.explained


def run_pair(percent, seed, share=1.0):
    case = model.Case(percent / 100)
    return model.run(case, seed, 0.0), model.run(case, seed, share)


@when("the fleet gets {percent:d} percent of its capacity, with seed {seed:d}")
def run_fleet(context, percent, seed):
    context.before, context.after = run_pair(percent, seed)


@when(
    "the fleet gets {percent:d} percent of its capacity, with a limit of"
    " {limit:d} percent"
)
def run_fleet_with_limit(context, percent, limit):
    context.after = model.run(model.Case(percent / 100), 3, limit / 100)
    assert context.after.extra_share > 0


@then(
    "99 of 100 requests wait for less than {ms:d} ms, and without the rule they"
    " do not"
)
def waits_within(context, ms):
    assert ms == round(MAX_WAIT_MS), MAX_WAIT_MS
    assert context.after.p99_wait_ms < ms, context.after
    assert context.before.p99_wait_ms >= ms, context.before


@then("99 of 100 answers take less than {ms:d} ms, and no request fails")
def answers_within(context, ms):
    assert ms == GOAL_MS
    assert context.after.p99_ms < ms, context.after
    assert context.after.failed == 0, context.after


@then(
    "of the requests that wait while a slot is free, less than a third are left"
)
def few_wait(context):
    limit = context.before.avoidable_share / 3
    assert context.after.avoidable_share < limit, (
        context.before,
        context.after,
    )


@then(
    "fewer requests wait while a slot is free, and half of the answers are faster"
)
def fewer_wait(context):
    before, after = context.before, context.after
    assert after.avoidable_share < before.avoidable_share, (before, after)
    assert after.p50_ms < before.p50_ms, (before, after)


@then("no more requests fail than without the rule, and no fewer are served")
def costs_nothing(context):
    before, after = context.before, context.after
    assert after.failed <= before.failed, (before, after)
    assert after.answered >= before.answered, (before, after)
    assert after.extra_share > 0


@then("no balancer exceeded its limit at any moment")
def limit_held(context):
    assert not context.after.limit_exceeded


@when(
    "an upstream answers at once with errors at {percent:d} percent of the"
    " capacity"
)
def upstream_fails(context, percent):
    case = model.Case(percent / 100, duration_s=5.0, fails_at_s=2.0)
    context.pairs = [
        (model.run(case, seed, 0.0), model.run(case, seed, 1.0))
        for seed in range(1, 9)
    ]


@then(
    "in 8 seeds together it gets at most {factor:g} times the requests of those"
    " without the rule"
)
def attracts_no_more(context, factor):
    before = sum(x.failing_requests for x, _ in context.pairs)
    after = sum(x.failing_requests for _, x in context.pairs)
    assert after <= factor * before, (before, after)
    assert all(x.extra_share > 0 for _, x in context.pairs)
