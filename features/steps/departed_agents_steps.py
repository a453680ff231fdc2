import asyncio
import re
from unittest import mock

from behave import then
from behave import when

from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import upstreams
from features import balancer_sample
from features.steps import agent_records_steps as records
from features.steps import forward_agent_steps as agents
from features.steps import forward_path_steps as path


@when("agent {host:w} withdraws as incarnation {incarnation:d}")
def withdraw(context, host, incarnation):
    message = reports.Withdrawn(host, incarnation)
    message = reports.decode(reports.encode(message))
    context.outs = context.core.on_message(context.now, message)
    context.withdrawals = getattr(context, "withdrawals", [])
    context.withdrawals += [
        x.detail
        for x in context.outs
        if isinstance(x, outputs.Event) and x.what == "agent-withdrawn"
    ]
    balancer_sample.read_lists(context, context.outs)


@then("it is logged once that agent {host:w} has withdrawn")
def check_logged(context, host):
    assert context.withdrawals == [f"agent={host}"], context.withdrawals


@when("agent {host:w} reports as incarnation {incarnation:d}, {form:w}")
def report_as(context, host, incarnation, form):
    context.sequence += 1
    report = balancer_sample.load_report(
        host, "rounds", context.sequence, incarnation=incarnation
    )
    if form == "compact":
        report = reports.compact(report, upstreams.service_tag("rounds"))
    context.outs = context.core.on_message(context.now, report)


@when(
    "agent x is announced as incarnation {incarnation:d} at revision"
    " {revision:d}"
)
def announce(context, incarnation, revision):
    record = records.record_of("x", incarnation=incarnation)
    records.add_agent(context, record, revision)


def exclusions(context):
    """Returns why agents of rounds are left out, by host."""
    key = balancer_sample.flow_key(40_001)
    (service,) = context.core.explain(context.now, key).services
    return {host.host: host.excluded for host in service.hosts}


@then("exactly {hosts} is excluded as {reason:S}")
def check_left_out(context, hosts, reason):
    found = exclusions(context)
    left_out = [host for host in found if found[host] == reason]
    assert left_out == hosts.split(", "), found
    for host in left_out:
        assert not context.core.agent_table.get(host).accepts(context.now)


@then("no agent is excluded as withdrawn")
def check_none_left_out(context):
    found = exclusions(context)
    assert "withdrawn" not in found.values(), found


@then("agent x gets a subscription")
def check_subscription(context):
    hosts = balancer_sample.subscriptions_in(context, context.outs)
    assert hosts == ["x"], hosts


@then("agent x is unknown")
def check_unknown(context):
    assert context.core.agent_table.get("x") is None


@when("{seconds:g} s pass at the balancer")
def pass_at_balancer(context, seconds):
    context.outs = []
    end = context.now + seconds
    while context.now < end:
        context.now += 0.05
        context.outs += context.core.on_timer(context.now)


@then("agent {host:w} gets no message")
def check_no_message(context, host):
    record = context.core.agent_table.get(host).record
    sent = [
        x.message
        for x in context.outs
        if isinstance(x, outputs.ToPeer)
        and x.to == record.control
        and not (
            isinstance(x.message, reports.Subscribe)
            and not x.message.report_now
        )
    ]
    assert not sent, sent


@then("agents {hosts} are queried for it")
@then("agents {hosts} are probed for it")
def check_queried(context, hosts):
    found = sorted(set(balancer_sample.hosts_queried(context)))
    assert found == hosts.split(", "), found


@when("agent {host:w} replies that it is uncertain")
def reply_uncertain(context, host):
    for name, query in context.sent_queries:
        if name == host:
            reply = reports.FlowQueryReply(host, query.number, 0, 1)
            context.outs = context.core.on_message(context.now, reply)
            return
    raise AssertionError(f"{host} was not queried")


@when("another segment of it arrives")
def another_segment(context):
    seg = balancer_sample.segment(context.key, ack=77_000, length=100)
    context.outs = context.core.on_segment(context.now, seg)


@then("the list of agents is read")
def check_list_read(context):
    assert any(isinstance(x, outputs.ListAgents) for x in context.outs)


@then("the flow is reset")
def check_reset(context):
    keys = [x.key for x in balancer_sample.resets(context)]
    assert keys == [context.key], keys


@when("the agent withdraws")
def agent_withdraws(context):
    context.outs = context.core.withdraw()


def withdrawals_in(context):
    found = agents.messages(context, reports.Withdrawn)
    assert all(x.host == "side-1" for x in found)
    return [x.incarnation for x in found]


@then("1 subscriber is told that incarnation {incarnation:d} has withdrawn")
@then("it is told only that incarnation {incarnation:d} has withdrawn")
def check_told(context, incarnation):
    (out,) = context.outs
    assert out.to == agents.BALANCER
    assert withdrawals_in(context) == [incarnation]


@when("a balancer subscribes for reports at once")
def subscribe_at_once(context):
    message = reports.Subscribe(
        "edge-1", agents.BALANCER, 5, "", 10.0, 0.25, report_now=True
    )
    context.outs = context.core.on_subscribe(context.now, message)


@when("a balancer queries the flow")
def query_flow(context):
    tag = upstreams.service_tag("rounds")
    query = reports.FlowQuery(3, tag, ((context.open_key, 5001),))
    context.outs = context.core.on_flow_query(
        context.now, query, agents.BALANCER
    )


@then(
    "the reply denies it, and tells that incarnation {incarnation:d} has"
    " withdrawn"
)
def check_reply(context, incarnation):
    (reply,) = agents.messages(context, reports.FlowQueryReply)
    assert (reply.claimed, reply.uncertain) == (0, 0)
    assert withdrawals_in(context) == [incarnation]


@when("{seconds:g} s passes at the agent")
def pass_at_agent(context, seconds):
    context.outs = []
    end = context.now + seconds
    while context.now < end:
        context.now += 0.05
        context.outs += context.core.on_timer(context.now)


@then("no report is sent")
def check_no_report(context):
    kinds = reports.LoadReport | reports.CompactReport
    assert not agents.messages(context, kinds)


@when("the store rejects all calls")
def store_rejects(context):
    context.standin.forced_status = 503


@when("the store answers no deletions")
def store_is_slow(context):
    context.standin.delay_deletes = True


@when("the upstream of agent 1 leaves and the agent begins to stop")
def leave_and_stop(context):
    assert path.send_heartbeat(context, 1, 2, "deregister").status == 200
    begin_stop(context)


def begin_stop(context):
    """Lets agent 1 stop; records its messages and its calls to the store."""
    daemon = context.daemons["agent", 1]
    context.sent = []
    send = daemon._messenger.send

    def record_message(message, to):
        if isinstance(message, reports.Withdrawn):
            context.sent.append((context.loop.time(), "message", to[0]))
        send(message, to)

    delete = daemon._record_keeper._store.delete

    async def record_delete(*args):
        context.sent.append((context.loop.time(), "delete", ""))
        return await delete(*args)

    for target, name, value in (
        (daemon._messenger, "send", record_message),
        (daemon._record_keeper._store, "delete", record_delete),
    ):
        patcher = mock.patch.object(target, name, value)
        patcher.start()
        context.add_cleanup(patcher.stop)

    async def stop():
        context.stop_began_at = context.loop.time()
        await daemon.stop()
        context.stopped_at = context.loop.time()

    context.stopping = context.loop.create_task(stop())
    context.loop.run_until_complete(asyncio.sleep(0))


def told_at(context, ip):
    return [at for at, what, to in context.sent if to == ip]


@then(
    "agent 1 has told each balancer {count:d} times in {seconds:g} s that it"
    " has withdrawn"
)
def check_told_all(context, count, seconds):
    for number in (1, 2):
        times = told_at(context, f"127.0.1.{number}")
        assert len(times) == count, context.sent
        # The paused loop moves in steps of POLL_INTERVAL_S.
        late_s = path.POLL_INTERVAL_S
        assert seconds - 0.001 <= times[-1] - times[0] <= seconds + 2 * late_s


@then("it did so before it called the store")
def check_order(context):
    kinds = [what for _, what, _ in context.sent]
    assert kinds.count("delete") == 1 and kinds.index("delete") == 2, kinds


@then("both balancers leave agent 1 out")
def check_both_balancers(context):
    for number in (1, 2):
        table = context.daemons["balancer", number].core.agent_table
        upstream = table.get("agent-1")
        now = context.loop.time()
        assert upstream.exclusion(now) == upstreams.EXCLUDED_WITHDRAWN


@when("balancer 1 asks agent 1 for a report")
def ask_for_report(context):
    daemon = context.daemons["balancer", 1]
    upstream = daemon.core.agent_table.get("agent-1")
    schedule = daemon.core._subscriptions
    daemon._execute(schedule.make([upstream], report_now=True))
    path.time_passes_everywhere(context, 0.2)


@then("agent 1 has told balancer 1 {count:d} times that it has withdrawn")
def check_told_again(context, count):
    assert len(told_at(context, "127.0.1.1")) == count, context.sent


@then("agent 1 has stopped within its grace time")
def check_grace(context):
    grace_s = context.daemons["agent", 1]._cfg.grace_s
    assert context.stopping.done()
    assert context.stopped_at - context.stop_began_at < grace_s


@when("{state} and agent 1 begins to stop")
def stop_while_alive(context, state):
    if re.search("drains", state):
        answer = path.send_heartbeat(context, 1, 2, state="draining")
        assert answer.status == 200
    if re.search("suspended", state):
        # No timer of any host runs meanwhile, and no heartbeat is read.
        context.loop.advance(4.0)
    begin_stop(context)
    path.send_heartbeat(
        context, 1, 3, state="draining" if "drains" in state else "ready"
    )


@when("agent 1 is suspended for {seconds:g} s, in which a heartbeat arrives")
def suspend(context, seconds):
    context.loop.advance(seconds)
    path.send_heartbeat(context, 1, 4, state="draining")


@then("agent 1 has told nobody that it has withdrawn")
def check_told_nobody(context):
    assert not context.sent, context.sent
