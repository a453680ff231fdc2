import collections
import random

from behave import given
from behave import then
from behave import when

from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from features import balancer_sample


@given("the balancer has just subscribed to all agents")
def just_subscribed(context):
    context.outs = context.core.on_timer(context.now)
    assert (
        balancer_sample.subscriptions_in(context, context.outs) == context.hosts
    )


@when("{seconds:g} s pass in which {host} does not report")
def one_does_not_report(context, seconds, host):
    context.outs = []
    others = [x for x in context.hosts if x != host]
    for _ in range(round(seconds / 0.05)):
        context.now += 0.05
        balancer_sample.report_all(context, others)
        context.outs += context.core.on_timer(context.now)


@then("{host} alone got subscriptions, at least twice")
def only_one_subscribed(context, host):
    hosts = balancer_sample.subscriptions_in(context, context.outs)
    assert set(hosts) == {host} and len(hosts) >= 2, hosts


@when(
    "its agents report as often as it asks for {seconds:d} s and {count:d}"
    " flows are placed"
)
def report_as_asked(context, seconds, count):
    core, began_at = context.core, context.now
    context.ages, context.report_count, port = [], 0, 43_000
    context.holders, reported = {}, set()
    next_reports = dict.fromkeys(context.hosts, 0.0)
    intervals = {}
    rng = random.Random(3)
    while context.now < began_at + seconds:
        context.now += 0.05
        for out in core.on_timer(context.now):
            if isinstance(out, outputs.ToPeer):
                host = balancer_sample.host_with_control(context, out.to)
                if host not in intervals:
                    first = rng.random() * out.message.interval_s
                    next_reports[host] = context.now + first
                intervals[host] = out.message.interval_s
        for host, interval_s in intervals.items():
            if next_reports[host] <= context.now:
                next_reports[host] += interval_s
                context.report_count += 1
                reported.add(host)
                balancer_sample.report_all(
                    context, [host], interval_s=interval_s
                )
        if context.now - began_at > seconds * (port - 43_000) / count:
            seg = balancer_sample.segment(
                balancer_sample.flow_key(port), opening=True
            )
            (offer,) = balancer_sample.offers(core.on_segment(context.now, seg))
            holder = balancer_sample.host_at(context, offer.to)
            # Before, the others seem silent, as in no fleet that runs.
            if len(reported) == len(context.hosts):
                context.holders[seg.key] = holder
            upstream = core.agent_table.get(holder)
            context.ages.append(upstream.report_age_s(context.now))
            port += 1
    context.rate = context.report_count / seconds


@given("a balancer that has just started with {count:d} agents of rounds")
def just_started(context, count):
    balancer_sample.start(context)
    context.hosts = [f"h{number}" for number in range(count)]
    context.subscribed = []
    for number, host in enumerate(context.hosts):
        ip = f"10.0.{2 + number // 250}.{number % 250}"
        outs = context.core.add_agent(
            context.now, balancer_sample.record(host, "rounds", ip)
        )
        record_subscriptions(context, outs)


def record_subscriptions(context, outs):
    context.subscribed += [
        (out.to, context.now)
        for out in outs
        if isinstance(out, outputs.ToPeer)
        and isinstance(out.message, reports.Subscribe)
    ]


@when("{seconds:g} s pass without a report")
def pass_without_report(context, seconds):
    context.began_at = context.now
    while context.now < context.began_at + seconds:
        context.now += 0.05
        record_subscriptions(context, context.core.on_timer(context.now))


def subscription_times(context):
    times = {}
    for address, sent_at in context.subscribed:
        times.setdefault(address, []).append(sent_at)
    assert len(times) == len(context.hosts)
    return times.values()


@then("no agent was without a subscription for more than {seconds:g} s")
def check_gaps(context, seconds):
    for times in subscription_times(context):
        ends = [*times[1:], context.now]
        gaps = [end - start for start, end in zip(times, ends, strict=True)]
        assert max(gaps) <= seconds + 1e-6, max(gaps)


@then(
    "each agent got at most {count:d} subscriptions a second after {start:g} s"
)
def check_slow(context, count, start):
    for times in subscription_times(context):
        late = [x for x in times if x > context.began_at + start]
        seconds = context.now - context.began_at - start
        assert 0 < len(late) <= count * seconds + 1, late


@when("one of them dies and {count:d} flows are placed in 10 s")
def place_beside_dead(context, count):
    core = context.core
    dead, *alive = context.hosts
    # With this interval, silence alone shows the death after 7 s.
    balancer_sample.report_all(context, context.hosts, interval_s=4.0)
    dead_address = core.agent_table.get(dead).record.address
    context.swallowed_at, retransmissions = [], collections.deque()

    def send(seg):
        # The caller retransmits only if the dead agent got its SYN.
        for offer in balancer_sample.offers(core.on_segment(context.now, seg)):
            if offer.to == dead_address:
                context.swallowed_at.append(context.now)
                retransmissions.append(
                    (context.now + balancer_sample.SYN_RETRANSMIT_S, seg)
                )

    for number in range(count):
        context.now += 10.0 / count
        while retransmissions and retransmissions[0][0] <= context.now:
            seg = retransmissions.popleft()[1]
            outs = core.on_segment(context.now, seg)
            assert [x.to for x in balancer_sample.offers(outs)] != [
                dead_address
            ]
        if number % (count // 10) == 0:
            balancer_sample.report_all(context, alive, interval_s=4.0)
        key = (
            balancer_sample.CALLER[:2]
            + number.to_bytes(4, "big")
            + balancer_sample.flow_key(0)[6:]
        )
        send(balancer_sample.segment(key, opening=True))


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
