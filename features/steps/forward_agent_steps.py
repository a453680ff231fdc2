from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from crocusmux.core.forward import agent
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams
from crocusmux.daemons import forward_agent
from features import balancer_sample
from features import upstream_sample
from features.steps import heartbeats_steps

BALANCER = ("10.0.0.9", 7720)
BORN_MS = 1000
# Sequence number of an opening other than the first one from a port.
OTHER_SEQ = 2000
# Heads of IP and UDP, bytes.
UDP_BYTES = 28

segment = upstream_sample.make_segment


def from_balancer(context, seg):
    context.outs = context.core.on_caller_segment(context.now, seg, BALANCER)


def from_upstream(context, seg):
    context.outs = context.core.on_upstream_segment(context.now, seg)


def open_flow(context, key):
    from_balancer(context, segment(key, opening=True, ack=0))
    from_upstream(context, segment(key, False, opening=True, seq=5000))
    from_balancer(context, segment(key, ack=5001))
    from_upstream(context, segment(key, False, seq=5001))


def outputs_of(context, kind):
    return [o for o in context.outs if isinstance(o, kind)]


def messages(context, kind):
    peers = outputs_of(context, outputs.ToPeer)
    return [o.message for o in peers if isinstance(o.message, kind)]


@given("an agent of rounds without a heartbeat")
def new_agent(context, detect_outliers=False):
    context.now = 100.0
    context.core = agent.ForwardingAgent(
        "side-1", "rounds", 7, 1.2, detect_outliers=detect_outliers
    )
    context.key = balancer_sample.flow_key(40001)
    context.outs = []
    context.core.on_subscribe(
        context.now, reports.Subscribe("edge-1", BALANCER, 5, "", 10.0, 0.25)
    )


@given("an agent of rounds with outlier detection whose upstream is ready")
def detecting_agent(context):
    ready_agent(context, detect_outliers=True)


@given("an agent of rounds whose upstream is ready")
def ready_agent(context, detect_outliers=False):
    new_agent(context, detect_outliers)
    beat = heartbeats_steps.heartbeat(BORN_MS, 1)
    context.core.on_heartbeat(context.now, beat)


@given(
    "an agent of rounds that first heard its upstream at sequence {number:d}"
)
def late_agent(context, number):
    new_agent(context)
    beat = heartbeats_steps.heartbeat(BORN_MS, number)
    context.core.on_heartbeat(context.now, beat)


@given("an agent of rounds that has run for {seconds:g} s")
def agent_has_run(context, seconds):
    new_agent(context)
    context.core.on_timer(context.now - seconds)


@when(
    "its upstream, started {age:g} s ago, first reports with sequence"
    " {number:d}"
)
def first_report(context, age, number):
    beat = heartbeats_steps.heartbeat(BORN_MS, number)
    beat = msgspec.structs.replace(beat, boot_age_s=age)
    context.core.on_heartbeat(context.now, beat)


@when(
    "a daemon of an agent hears sequence 1 of an upstream that started {age:g}"
    " s ago"
)
def daemon_hears(context, age):
    new_agent(context)
    daemon = forward_agent.AgentForwardingDaemon.__new__(
        forward_agent.AgentForwardingDaemon
    )
    beat = heartbeats_steps.heartbeat(int((1e6 - age) * 1000), 1)
    daemon._cfg = mock.Mock(service=beat.service, upstream=beat.address)
    daemon._messenger = mock.Mock()
    daemon.core = context.core
    with mock.patch("time.time", return_value=1e6):
        status, _ = daemon._on_heartbeat(context.now, beat)
    assert status == forward_agent.OK


@then("the agent {outcome} unknown flows")
def knows_flows(context, outcome):
    send_query(context, (context.key, 5001))
    assert context.reply == (0, int(outcome == "is uncertain of"))


@given("an open flow")
def one_open_flow(context):
    context.open_key = balancer_sample.flow_key(50001)
    open_flow(context, context.open_key)


@when("a balancer sends an opening")
def send_opening(context):
    from_balancer(context, segment(context.key, opening=True, ack=0))


@when("nothing closes the flow")
def nothing_closes(context):
    del context


@when("the agent restarts and finds it open")
def restart_and_find(context):
    late_agent(context, 1)
    # The upstream goes on with the flow.
    from_upstream(context, segment(context.open_key, False, length=500))


@when("the agent restarts and learns that it is over")
def restart_and_end(context):
    restart_and_find(context)
    upstream_closes(context)


@when("the caller opens another flow from that port")
def open_other_flow(context):
    seg = segment(context.open_key, opening=True, seq=OTHER_SEQ, ack=0)
    from_balancer(context, seg)


@when("a late copy of the flow's opening arrives")
def late_copy(context):
    from_balancer(context, segment(context.open_key, opening=True, ack=1))


@given("{count:d} flows that the upstream has closed")
def closed_flows(context, count):
    context.closed_keys = []
    for number in range(count):
        context.open_key = balancer_sample.flow_key(43_000 + number)
        open_flow(context, context.open_key)
        upstream_closes(context)
        context.closed_keys.append(context.open_key)


@when("their callers open other flows from the same ports")
def reuse_ports(context):
    context.accepted, context.declined = [], []
    for key in context.closed_keys:
        seg = segment(key, opening=True, seq=OTHER_SEQ, ack=0)
        from_balancer(context, seg)
        if outputs_of(context, outputs.ToUpstream):
            context.accepted.append(key)
        context.declined += messages(context, reports.OpeningDeclined)


@when("these openings are retransmitted {count:d} times")
def retransmit_others(context, count):
    retransmit_accepted(context, count, OTHER_SEQ)


@when("a balancer sends an opening for wheelbook")
def send_foreign_opening(context):
    tag = upstreams.service_tag("wheelbook")
    seg = segment(context.key, opening=True, ack=0, service_tag=tag)
    from_balancer(context, seg)


@when("the upstream reports that it drains")
def report_drain(context):
    beat = heartbeats_steps.heartbeat(BORN_MS, 2, draining=True)
    context.core.on_heartbeat(context.now, beat)


@when("a deregistration with the id of the upstream arrives")
def deregistration_arrives(context):
    beat = context.core.lifecycle.current
    context.core.on_deregister(context.now, beat.upstream)


@then("the balancers have been told that the upstream accepts flows")
def check_told_accepting(context):
    assert context.told == [True], context.told


@when("the upstream answers the opening with sequence {seq:d}")
def answers_opening(context, seq):
    from_upstream(context, segment(context.key, False, opening=True, seq=seq))


@when("the caller acknowledges {ack:d}")
def send_acknowledgement(context, ack):
    from_balancer(context, segment(context.key, ack=ack))


@when("a balancer probes for a flow that the agent does not know")
def probe_unknown_flow(context):
    seg = segment(context.key, length=100, mark=segments.MARK_PROBE)
    from_balancer(context, seg)


@when("the upstream sends data on that flow")
def sends_data(context):
    from_upstream(context, segment(context.key, False, length=500))


@when("the upstream resets that flow")
def resets_flow(context):
    from_upstream(context, segment(context.key, False, reset=True))


@when("more probed flows without data than the agent's table holds follow")
def fill_table(context):
    for number in range(agent.MAX_FLOWS):
        key = context.key[:-4] + number.to_bytes(4, "big")
        from_balancer(context, segment(key, mark=segments.MARK_PROBE))


@when("another upstream with the same start time reports twice")
def other_upstream_reports(context):
    for sequence in (1, 2):
        beat = heartbeats_steps.heartbeat(BORN_MS, sequence)
        beat = msgspec.structs.replace(beat, upstream="i-2")
        context.core.on_heartbeat(context.now, beat)


@then("the caller gets nothing")
def caller_gets_nothing(context):
    assert not outputs_of(context, outputs.ToCaller)
    assert not outputs_of(context, outputs.Reset)


@when("a balancer sends data of that flow without a probe")
def send_data(context):
    from_balancer(context, segment(context.key, length=100))


@when("the upstream returns the segment")
def returns_segment(context):
    from_upstream(context, segment(context.key, returned=True, length=100))


@when("the upstream returns the opening")
def returns_opening(context):
    seg = segment(context.key, returned=True, opening=True, ack=0)
    from_upstream(context, seg)


@when("the caller sends data and the upstream returns it")
def data_returned(context):
    from_balancer(context, segment(context.open_key, length=100))
    seg = segment(context.open_key, returned=True, length=100)
    from_upstream(context, seg)


@when("the upstream closes the flow")
def upstream_closes(context):
    from_upstream(context, segment(context.open_key, False, final=True))


@when("{seconds:g} s pass at the agent")
def time_passes(context, seconds):
    context.outs = []
    end = context.now + seconds
    while context.now < end:
        context.now += agent.TIMER_INTERVAL_S
        context.outs += context.core.on_timer(context.now)


@when("the upstream sends heartbeats while {seconds:g} s pass at the agent")
def send_heartbeats(context, seconds):
    outs = []
    for sequence in range(2, 4):
        time_passes(context, seconds / 2)
        outs += context.outs
        beat = heartbeats_steps.heartbeat(BORN_MS, sequence)
        outs += context.core.on_heartbeat(context.now, beat)
    context.outs = outs


@when("the upstream returns a duplicate of the opening of the open flow")
def opening_returned(context):
    seg = segment(context.open_key, returned=True, opening=True, ack=1)
    from_upstream(context, seg)


@when("a balancer probes for the open flow")
def probe_open_flow(context):
    seg = segment(context.open_key, length=10, mark=segments.MARK_PROBE)
    from_balancer(context, seg)


@when("the opening of the open flow is retransmitted")
def retransmit_opening(context):
    from_balancer(context, segment(context.open_key, opening=True, ack=1))


@when("{count:d} flows with a request each are open")
def open_requests(context, count):
    context.keys = [balancer_sample.flow_key(42000 + n) for n in range(count)]
    for key in context.keys:
        open_flow(context, key)
        from_balancer(context, segment(key, length=100))


@when("all their requests are answered after {ms:d} ms")
def answer_all(context, ms):
    context.now += ms / 1000
    for key in context.keys:
        from_upstream(context, segment(key, False, length=500))


def close_all(context, ms, seq):
    context.now += ms / 1000
    for key in context.keys:
        from_upstream(context, segment(key, False, final=True, seq=seq))


@when("the closes of all their answers arrive after {ms:d} ms, before the data")
def close_before_data(context, ms):
    close_all(context, ms, 5001 + 500)
    for key in context.keys:
        from_upstream(context, segment(key, False, length=500, seq=5001))


@when("the upstream closes all of them after {ms:d} ms without an answer")
def close_without_answer(context, ms):
    close_all(context, ms, 5001)


@then("the reported service time is {ms:d} ms and no outlier is logged")
def no_outlier(context, ms):
    events = context.core.on_timer(context.now + 0.05)
    assert not [x for x in events if isinstance(x, outputs.Event)], events
    assert round(context.core.load.reported_service_ms()) == ms


@then("the mean service time is unknown")
def service_time_unknown(context):
    assert context.core.load.service_ms == 0.0


@when("the first request is retransmitted")
def retransmit_request(context):
    from_balancer(context, segment(context.keys[0], length=100))


@when("{count:d} more balancers subscribe for reports every {interval:g} s")
def many_subscribe(context, count, interval):
    for number in range(count):
        address = (f"10.0.3.{number}", 7720)
        message = reports.Subscribe(
            f"edge-{number}", address, 5, "", 60.0, interval
        )
        context.core.on_subscribe(context.now, message)


@then("its reports took at most {limit:d} bytes a second of {seconds:d} s")
def bounded_reports(context, limit, seconds):
    load_reports = messages(context, reports.LoadReport)
    sent = sum(len(msgspec.msgpack.encode(m)) + UDP_BYTES for m in load_reports)
    assert sent <= limit * seconds, (len(load_reports), sent / seconds)


@then("each balancer got a report at least every {seconds:g} s")
def report_intervals(context, seconds):
    load_reports = messages(context, reports.LoadReport)
    assert load_reports[-1].interval_s <= seconds, load_reports[-1]
    assert len(load_reports) >= 100 * int(10 / seconds), len(load_reports)


@then("the upstream gets it")
def upstream_gets(context):
    assert len(outputs_of(context, outputs.ToUpstream)) == 1, context.outs


@then("the upstream does not get it")
def upstream_does_not_get(context):
    assert not outputs_of(context, outputs.ToUpstream), context.outs


@then('the opening is declined as "{reason}"')
def declined(context, reason):
    declines = messages(context, reports.OpeningDeclined)
    assert [m.reason for m in declines] == [reason], context.outs
    assert not outputs_of(context, outputs.ToUpstream)


@then("the agent reserves {count:d} slots for requests about to arrive")
def reserved_slots(context, count):
    assert context.core.load.in_progress == 0
    assert context.core.load.committed(context.now) == count


@then("the balancer gets a denial of the flow")
def gets_denial(context):
    assert [m.key for m in messages(context, reports.FlowDenied)] == [
        context.key
    ]


@then("the balancer gets a claim of the flow")
def gets_claim(context):
    assert [m.key for m in messages(context, reports.FlowClaimed)] == [
        context.key
    ]


@then("the caller gets a reset near its acknowledgement {ack:d}")
def reset_near(context, ack):
    (reset,) = outputs_of(context, outputs.Reset)
    assert reset.key == context.open_key
    assert abs(reset.seq - ack) < balancer_sample.RESET_WINDOW


@then("the caller of the open flow gets a reset")
def open_flow_reset(context):
    reset_keys = [o.key for o in outputs_of(context, outputs.Reset)]
    assert reset_keys == [context.open_key], reset_keys


@then("the agent sends no reset")
def no_reset(context):
    assert not outputs_of(context, outputs.Reset)


@then("the agent reports that it takes no flows")
def reports_closed(context):
    assert messages(context, reports.LoadReport)[-1].accepting is False


@then("the agent reports that it takes flows")
def reports_open(context):
    assert messages(context, reports.LoadReport)[-1].accepting is True


@then("no request is in progress")
def none_in_progress(context):
    assert context.core.load.in_progress == 0


@then("the mean service time is between {low:d} and {high:d} ms")
def mean_service(context, low, high):
    assert low <= context.core.load.service_ms <= high


def send_query(context, *flows, service="rounds"):
    tag = upstreams.service_tag(service)
    message = reports.FlowQuery(3, tag, flows)
    context.outs = context.core.on_flow_query(context.now, message, BALANCER)
    (reply,) = messages(context, reports.FlowQueryReply)
    assert reply.number == 3 and reply.host == "side-1"
    context.reply = reply.claimed, reply.uncertain


@when("a balancer queries the open flow and an unknown one")
def query_two_flows(context):
    send_query(context, (context.open_key, 5001), (context.key, 5001))


@when("a balancer queries an unknown flow")
def query_unknown_flow(context):
    send_query(context, (context.key, 5001))


@when("a balancer queries an unknown flow of wheelbook")
def query_foreign_flow(context):
    send_query(context, (context.key, 5001), service="wheelbook")


@then("the reply claims the open flow and denies the other")
def claims_first(context):
    assert context.reply == (0b01, 0), context.reply


@then("the reply is uncertain of it")
def reply_is_uncertain(context):
    assert context.reply == (0, 0b1), context.reply


@then("the reply denies it")
def reply_denies(context):
    assert context.reply == (0, 0), context.reply


@then("a query with acknowledgement {ack:d} is {outcome}")
def query_with_ack(context, ack, outcome):
    send_query(context, (context.key, ack))
    assert context.reply == (int(outcome == "claimed"), 0), context.reply


@when("{count:d} flows with unfinished uploads are open")
def open_uploads(context, count):
    context.keys = [balancer_sample.flow_key(42000 + n) for n in range(count)]
    for key in context.keys:
        open_flow(context, key)
        for number in range(3):
            seq = 1000 + number * segments.FULL_BYTES
            full = segment(key, seq=seq, length=segments.FULL_BYTES)
            from_balancer(context, full)


@when("the last segments of all uploads arrive")
def uploads_arrive(context):
    for key in context.keys:
        seq = 1000 + 3 * segments.FULL_BYTES
        from_balancer(context, segment(key, seq=seq, length=70))


@when("{ms:d} ms later the last segments of all uploads arrive")
def uploads_arrive_later(context, ms):
    context.now += ms / 1000
    uploads_arrive(context)


@when("a balancer sends another opening")
def send_another_opening(context):
    context.key = balancer_sample.flow_key(40009)
    send_opening(context)


@then("the service time is {ms:d} ms")
def service_time(context, ms):
    assert round(context.core.load.service_ms) == ms, context.core.load


@when("the same request is retransmitted")
def retransmit_same_request(context):
    from_balancer(context, segment(context.key, length=100))


@when("{count:d} openings arrive within 10 ms")
def openings_arrive(context, count):
    first_port = getattr(context, "next_port", 42_000)
    context.next_port = first_port + count
    context.accepted, context.declined = [], []
    for port in range(first_port, first_port + count):
        key = balancer_sample.flow_key(port)
        context.now += 0.01 / count
        from_balancer(context, segment(key, opening=True, ack=0))
        if outputs_of(context, outputs.ToUpstream):
            context.accepted.append(key)
            from_upstream(context, segment(key, False, opening=True, seq=5000))
        else:
            context.declined += messages(context, reports.OpeningDeclined)


@then('{count:d} of them are accepted and the others declined as "{reason}"')
def check_accepted(context, count, reason):
    assert len(context.accepted) == count, len(context.accepted)
    assert [x.reason for x in context.declined] == [reason] * (20 - count)


@when("the requests of {count:d} accepted flows arrive and are answered")
def requests_answered(context, count):
    for key in context.accepted[:count]:
        from_balancer(context, segment(key, ack=5001, length=100))
        from_upstream(context, segment(key, False, seq=5001, length=100))


def subscribe(context, number, interval_s, report_now=False):
    address = ("10.0.0.9" if number is None else f"10.0.4.{number}", 7720)
    message = reports.Subscribe(
        f"edge-{number}", address, 5, "", 60.0, interval_s, report_now
    )
    return context.core.on_subscribe(context.now, message)


@when("a subscribed balancer renews its subscription")
def renew_subscription(context):
    context.outs = subscribe(context, None, 0.25)


@when("a subscribed balancer asks for a report now")
def ask_for_report(context):
    context.outs = subscribe(context, None, 0.25, report_now=True)


@then("it gets {count:d} reports")
def check_report_count(context, count):
    assert len(messages(context, reports.LoadReport)) == count, context.outs


@when(
    "{often:d} balancers subscribe for reports every 0.5 s and {seldom:d} for"
    " every 4 s"
)
def subscribe_unevenly(context, often, seldom):
    context.often = {f"10.0.4.{number}" for number in range(often)}
    for number in range(often + seldom):
        subscribe(context, number, 0.5 if number < often else 4.0)


@then("the former got {factor:d} times as many reports as the latter")
def check_uneven_reports(context, factor):
    peers = outputs_of(context, outputs.ToPeer)
    targets = [o.to[0] for o in peers if o.to[0].startswith("10.0.4.")]
    often = sum(ip in context.often for ip in targets)
    assert often >= factor * (len(targets) - often) > 0, (often, len(targets))


def cold_agent(context, seconds, rate, sequence):
    new_agent(context)
    context.began_at = context.now
    context.accepted_at = []
    subscribe_with_rate(context, 5, rate)
    report_cold(context, seconds, sequence=sequence)


def report_cold(context, seconds, sequence, born_ms=BORN_MS):
    # So many slots that no opening is declined because of overload.
    beat = heartbeats_steps.heartbeat(born_ms, sequence, slots=1000)
    beat = msgspec.structs.replace(beat, warmup_s=seconds)
    context.core.on_heartbeat(context.now, beat)


@given(
    "an agent whose upstream is cold for {seconds:g} s at {rate:g} openings a"
    " second"
)
def started_cold(context, seconds, rate):
    cold_agent(context, seconds, rate, sequence=1)


@given(
    "a restarted agent whose upstream is cold for {seconds:g} s at {rate:g}"
    " openings a second"
)
def restarted_cold(context, seconds, rate):
    cold_agent(context, seconds, rate, sequence=7)


@given(
    "a restarted agent without a subscription whose upstream is cold for"
    " {seconds:g} s"
)
def cold_without_subscription(context, seconds):
    new_agent(context)
    context.core = agent.ForwardingAgent("side-1", "rounds", 8, 1.2)
    context.began_at = context.now
    context.accepted_at = []
    report_cold(context, seconds, sequence=7)


@when("a balancer with version {version:d} subscribes with the rate {rate:g}")
def subscribe_with_rate(context, version, rate):
    message = reports.Subscribe(
        "edge-2",
        ("10.0.0.8", 7720),
        version,
        "",
        10.0,
        0.25,
        warmup_per_s=rate,
    )
    context.core.on_subscribe(context.now, message)


@when("the same boot reports that it is cold for {seconds:g} s")
def same_boot_cold(context, seconds):
    report_cold(context, seconds, sequence=2)


@when("another boot reports that it is cold for {seconds:g} s")
def other_boot_cold(context, seconds):
    report_cold(context, seconds, sequence=1, born_ms=BORN_MS + 1)


@when("{count:d} openings each arrive at {times} s")
def openings_at(context, count, times):
    context.counts = []
    for text in times.replace(" and ", ", ").split(", "):
        context.now = context.began_at + float(text)
        openings_arrive(context, count)
        assert all(x.reason == "warming-up" for x in context.declined)
        context.accepted_at += [context.now] * len(context.accepted)
        context.counts.append(len(context.accepted))


@then("bursts of {counts} are accepted")
def check_counts(context, counts):
    expected = counts.replace(" and ", ", ").split(", ")
    assert context.counts == [int(x) for x in expected], context.counts


@then("all of them are accepted")
def all_accepted(context):
    assert len(context.accepted) == 20 and not context.declined


@then("{count:d} of them are accepted in total")
def check_total(context, count):
    assert len(context.accepted) == count, len(context.accepted)


@then("at most {count:d} are accepted in any span of one second")
def check_spans(context, count):
    times = context.accepted_at
    assert times
    for start in times:
        assert sum(start <= x < start + 1.0 for x in times) <= count, start


@when("{balancers:d} balancers send {count:d} openings each")
def many_balancers_open(context, balancers, count):
    context.accepted = []
    for number in range(balancers * count):
        key = balancer_sample.flow_key(42_000 + number)
        seg = segment(key, opening=True, ack=0)
        address = (f"10.0.5.{number % balancers}", 7720)
        context.outs = context.core.on_caller_segment(context.now, seg, address)
        if outputs_of(context, outputs.ToUpstream):
            context.accepted.append(key)


@when("the accepted openings are retransmitted {count:d} times")
def retransmit_accepted(context, count, seq=1000):
    context.retransmitted = 0
    context.retransmit_count = count * len(context.accepted)
    for _ in range(count):
        for key in context.accepted:
            seg = segment(key, opening=True, seq=seq, ack=1)
            from_balancer(context, seg)
            context.retransmitted += len(
                outputs_of(context, outputs.ToUpstream)
            )


@then("the upstream gets all of the retransmissions")
def check_retransmissions(context):
    expected = context.retransmit_count
    assert context.retransmitted == expected > 0, context.retransmitted


@when("the upstream returns all accepted openings")
def return_accepted(context):
    assert context.accepted
    for key in context.accepted:
        seg = segment(key, returned=True, opening=True, ack=0)
        from_upstream(context, seg)
        (message,) = messages(context, reports.OpeningDeclined)
        assert message.reason == "upstream-full"


@when("a balancer with the idle timeout {idle:g} s subscribes")
def subscribe_with_idle_timeout(context, idle):
    message = reports.Subscribe(
        "edge-2", ("10.0.0.8", 7720), 6, "", 100.0, 0.25, idle_s=idle
    )
    context.core.on_subscribe(context.now, message)


@when("{seconds:d} s pass with heartbeats of the upstream")
def pass_with_heartbeats(context, seconds):
    context.told = []
    for sequence in range(2, 2 + seconds):
        context.now += 1.0
        beat = heartbeats_steps.heartbeat(BORN_MS, sequence)
        context.outs = context.core.on_heartbeat(context.now, beat)
        context.told += [
            report.accepting for report in messages(context, reports.LoadReport)
        ]
        context.core.on_timer(context.now)


@then("a query for the open flow is {outcome}")
def query_open_flow(context, outcome):
    send_query(context, (context.open_key, 5001))
    (reply,) = messages(context, reports.FlowQueryReply)
    assert (reply.claimed, reply.uncertain) == (outcome == "claimed", 0)
