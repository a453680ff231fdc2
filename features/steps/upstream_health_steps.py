import random

from behave import given
from behave import then
from behave import when

from crocusmux.platform import host_settings
from features import balancer_sample
from features import upstream_sample

# A rise of the service time that counts; with it an upstream gets about half of
# its share.
RISEN = 2.0
# Recovered, as in the design: within a few time constants of 2 s.
RECOVERED = 1.5
# Requests at an agent: a third of the capacity of 2 slots.
REQUEST_INTERVAL_S = 0.045


def start(context, detect_outliers, request_interval_s=REQUEST_INTERVAL_S):
    context.simulation = upstream_sample.Simulation()
    context.simulation.add_upstream(detect_outliers)
    (context.upstream,) = context.simulation.upstreams
    context.simulation.start_requests(request_interval_s)
    context.simulation.run(10.0)
    context.usual_ms = context.upstream.service_ms[-1][1]
    context.since = context.simulation.now


@given("an agent that detects outliers and a healthy upstream")
def start_detecting(context):
    start(context, detect_outliers=True)


@given("an agent that does not detect outliers and a healthy upstream")
def start_without_detection(context):
    start(context, detect_outliers=False)


@given("a detecting agent whose upstream starts to fail 4 of 10 by {mode}")
def start_failing(context, mode):
    context.simulation = upstream_sample.Simulation()
    context.simulation.add_upstream(True)
    (context.upstream,) = context.simulation.upstreams
    context.usual_ms = 1000 * context.upstream.service_s
    context.upstream.mode = mode
    # No run of failures, after which alone the service time is long.
    context.upstream.fails = lambda number: number % 5 in (0, 2)
    context.since = context.simulation.now
    context.simulation.start_requests(REQUEST_INTERVAL_S)


@when("the upstream is {mode} for {seconds:g} s")
def run_in_mode(context, mode, seconds):
    context.upstream.mode = mode
    context.since = context.simulation.now
    context.simulation.run(seconds)


@when("no requests arrive for {seconds:g} s")
def run_idle(context, seconds):
    context.upstream.mode = "healthy"
    context.simulation.stop_requests()
    context.simulation.run(seconds)


@when("{count:d} of 100 requests take 7 times as long for {seconds:g} s")
def run_with_tail(context, count, seconds):
    context.upstream.in_tail = lambda number: number % 100 < count
    run_in_mode(context, "healthy", seconds)


@when("{count:d} of 10 requests are answered at once for {seconds:g} s")
def run_with_fast_answers(context, count, seconds):
    context.upstream.fails = lambda number: number % 10 < count
    run_in_mode(context, "error", seconds)


@when(
    "the upstream resets {percent:d} percent of its requests for {seconds:g} s"
)
def run_near_limit(context, percent, seconds):
    rng = random.Random(5)
    context.upstream.fails = lambda number: rng.random() < percent / 100
    run_in_mode(context, "reset", seconds)


@when("requests arrive as fast as it serves them for {seconds:g} s")
def run_busy(context, seconds):
    context.simulation.start_requests(context.upstream.service_s / 2)
    run_in_mode(context, "healthy", seconds)
    assert context.upstream.queued > 100, context.upstream.queued


@when("{times:d} times {count:d} flows send their requests at once")
def run_bursts(context, times, count):
    simulation = context.simulation
    context.since = simulation.now
    for _ in range(times):
        simulation.hold_requests = True
        # Slowly enough that the agent declines none.
        simulation.start_requests(0.1)
        simulation.run(0.1 * count)
        simulation.stop_requests()
        simulation.run(1.0)
        queued = context.upstream.queued
        assert simulation.release_requests() >= count / 2
        assert context.upstream.queued > queued + count / 4
        # Longer than the upstream takes for all of them.
        simulation.run(1.0)


@when(
    "the upstream is healthy for {seconds:g} s with {rate:d} requests a second"
)
def run_with_few_requests(context, seconds, rate):
    context.simulation.start_requests(1 / rate)
    run_in_mode(context, "healthy", seconds)


@then("no answer counts as fast in the next {seconds:g} s")
def none_is_fast(context, seconds):
    context.simulation.start_requests(REQUEST_INTERVAL_S)
    context.simulation.run(seconds)
    assert context.upstream.core._requests._health._fast_bits == 0


def reported(context):
    values = context.upstream.service_ms
    return [ms for at, ms in values if at >= context.since]


@then("its reported service time has risen to twice the usual or more")
def has_risen(context):
    assert reported(context)[-1] >= RISEN * context.usual_ms, (
        context.usual_ms,
        reported(context)[-1],
    )


@then("its reported service time is close to the usual again")
def has_recovered(context):
    last = reported(context)[-1]
    assert last <= RECOVERED * context.usual_ms, (context.usual_ms, last)


@then("its reported service time stayed close to the usual")
def has_not_risen(context):
    top = max(reported(context))
    assert top <= RECOVERED * context.usual_ms, (context.usual_ms, top)


def outlier_events(context):
    names = ("upstream-outlier", "upstream-recovered")
    return [what for what in context.upstream.events if what in names]


@then("no outlier was logged")
def no_outlier(context):
    assert not outlier_events(context), outlier_events(context)


@then("an outlier or its recovery was logged {low:d} to {high:d} times")
def few_events(context, low, high):
    assert low <= len(outlier_events(context)) <= high, outlier_events(context)


@then("an outlier was logged once")
def one_outlier(context):
    assert outlier_events(context) == ["upstream-outlier"]


@then("an outlier and its recovery were logged once")
def outlier_and_recovery(context):
    events = outlier_events(context)
    assert events == ["upstream-outlier", "upstream-recovered"], events


@then("the reported service time is the moving average of all answers")
def plain_average(context):
    load = context.upstream.core.load
    assert load.reported_service_ms() == load.service_ms
    # With the errors, 4 of 10 answers take 1 ms.
    assert load.service_ms < 0.8 * context.usual_ms, load.service_ms


@given("a request in progress for {seconds:g} s at a detecting agent")
def one_request(context, seconds):
    start(context, detect_outliers=True)
    context.simulation.stop_requests()
    context.simulation.run(1.0)
    context.upstream.mode = "mute"
    context.upstream.fails = lambda number: True
    context.simulation.start_requests(REQUEST_INTERVAL_S)
    context.simulation.stop_requests()
    context.simulation.run(seconds)
    (context.key,) = [
        key
        for key, flow in context.upstream.core._flows.items()
        if flow.request_began_at
    ]
    context.usual_ms = context.upstream.core._requests._health._level_ms


def from_upstream(context, **changes):
    seg = upstream_sample.make_segment(context.key, False, **changes)
    context.upstream.core.on_upstream_segment(context.simulation.now, seg)


def from_caller(context, **changes):
    seg = upstream_sample.make_segment(context.key, seq=1100, **changes)
    context.upstream.core.on_caller_segment(
        context.simulation.now, seg, balancer_sample.BALANCER_ADDRESS
    )


@when("{what}, and the flow ends")
def end_flow(context, what):
    core, now = context.upstream.core, context.simulation.now
    if what == "the upstream resets":
        from_upstream(context, reset=True)
    elif what == "the upstream closes":
        from_upstream(context, final=True)
    elif what == "the upstream returns the request":
        from_upstream(context, returned=True, length=100)
    elif what == "the caller resets":
        from_caller(context, reset=True)
    elif what == "the caller closes":
        from_caller(context, final=True)
        from_upstream(context, final=True)
    elif what == "the agent stops":
        core.stop(now)
        from_upstream(context, reset=True)
    elif what == "the upstream drains":
        context.upstream.draining = True
        context.upstream.send_heartbeat()
        from_upstream(context, reset=True)
    elif what == "the upstream answers and the caller closes":
        from_upstream(context, length=500)
        from_caller(context, final=True)
        from_upstream(context, seq=5501, final=True)
    else:
        raise AssertionError(what)


@then("that is {outcome} failure")
def check_failure(context, outcome):
    failures = context.upstream.core._requests._health._failures
    assert failures == (1 if outcome == "a" else 0), failures


def start_fleet(context, detect_outliers):
    simulation = context.simulation = upstream_sample.Simulation()
    for _ in range(8):
        simulation.add_upstream(detect_outliers)
    simulation.add_balancer(detect_outliers)
    # Half of the capacity of 8 upstreams with 2 slots and 30 ms.
    simulation.start_requests(0.03 / 8)
    simulation.run(4.0)


@given("8 healthy upstreams with detecting agents and a detecting balancer")
def start_detecting_fleet(context):
    start_fleet(context, detect_outliers=True)


@when("{who} fails 45 percent of the requests with quick errors for {s:g} s")
def fail_quickly(context, who, s):
    simulation = context.simulation
    failing = simulation.upstreams[: 8 if who == "each" else 1]
    for each in failing:
        rng = random.Random(each.host)
        each.mode = "error"
        each.fails = lambda number, rng=rng: rng.random() < 0.45
    context.since = simulation.now
    simulation.run(s)


@when("that ends and {seconds:g} s pass")
def end_failure(context, seconds):
    for each in context.simulation.upstreams:
        each.mode = "healthy"
    context.since = context.simulation.now
    context.simulation.run(seconds)


def shares(context, after_s):
    """Returns the shares of the openings since a time after the last step."""
    since = context.since + after_s
    counts = [
        sum(at >= since for at in each.openings)
        for each in context.simulation.upstreams
    ]
    context.counts = counts
    return [8 * count / sum(counts) for count in counts]


@then("from the second second on it gets at most {share:g} of its share")
def gets_less(context, share):
    assert shares(context, 1.0)[0] <= share, context.counts


@then("in the last {seconds:g} s each gets {low:g} to {high:g} of its share")
def gets_share(context, seconds, low, high):
    after_s = context.simulation.now - context.since - seconds
    for share in shares(context, after_s):
        assert low <= share <= high, context.counts


@given("8 upstreams of {ms:d} ms of which one has just joined")
def one_joined(context, ms):
    balancer_sample.start(context, detect_outliers=True)
    balancer_sample.add_agents(context, 8)
    hosts = context.hosts
    balancer_sample.report_all(context, hosts[:7], service_ms=float(ms))
    balancer_sample.report_all(context, hosts[7:], service_ms=0.0)


@when("{count:d} flows open at once")
def burst(context, count):
    context.offered = []
    for port in range(20_000, 20_000 + count):
        key = balancer_sample.flow_key(port)
        context.outs = context.core.on_segment(
            context.now, balancer_sample.segment(key, opening=True)
        )
        context.offered += balancer_sample.offered_hosts(context)


@then("the one that has joined gets at most {factor:g} times its share")
def joined_share(context, factor):
    got = context.offered.count(context.hosts[7])
    assert got <= factor * len(context.offered) / 8, got


@then("they {outcome} outliers")
def check_setting(context, outcome):
    cfg = host_settings.decode(context.settings)
    assert cfg.detect_outliers == (outcome == "detect")
