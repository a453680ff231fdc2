import random
from unittest import mock

from behave import given
from behave import then
from behave import when

from crocusmux.core.forward import stale_records
from features.steps import forward_path_steps


@given("a balancer with the records of x and y at revision {revision:d}")
def two_records(context, revision):
    context.now = 1000.0
    context.records = stale_records.StaleRecords(random.Random(1))
    context.due = []
    for host in ("x", "y"):
        context.records.on_record(context.now, host, revision)


def let_time_pass(context, seconds, hosts):
    for _ in range(seconds):
        context.now += 1.0
        for host in hosts:
            context.records.on_report(context.now, host)
        due = context.records.pop_due(context.now)
        if due is not None:
            context.due.append(due)


@when("{seconds:d} s pass with reports of {hosts}")
def time_passes(context, seconds, hosts):
    let_time_pass(context, seconds, hosts.split(" and "))


@when("{seconds:d} s pass without reports")
def time_passes_in_silence(context, seconds):
    let_time_pass(context, seconds, ())


@when("the process is suspended for {seconds:d} s")
def suspended(context, seconds):
    context.now += seconds


@when("a report of x arrives")
def report_arrives(context):
    context.records.on_report(context.now, "x")


@when("the record of x is at revision {revision:d}")
def record_at(context, revision):
    context.records.on_record(context.now, "x", revision)


@when("the record of x is gone and {seconds:d} s pass with reports of y")
def record_gone(context, seconds):
    context.records.on_gone(context.now, "x", 11)
    time_passes(context, seconds, "y")


@then("no record is to be deleted")
def check_none(context):
    assert not context.due, context.due


@then("the record of x at revision {revision:d} is to be deleted once")
def check_due(context, revision):
    assert context.due == [("x", revision)], context.due
    context.due.clear()


@given(
    "{count:d} balancers with the records of {records:d} hosts that are gone"
)
def many_balancers(context, count, records):
    context.balancers = [
        stale_records.StaleRecords(random.Random(seed)) for seed in range(count)
    ]
    context.hosts = {f"h{number}" for number in range(records)}
    for balancer in context.balancers:
        for host in sorted(context.hosts):
            balancer.on_record(0.0, host, 10)


@when("they run for {minutes:d} minutes and see a deletion {lag:d} s late")
def run_balancers(context, minutes, lag):
    context.calls = []
    for now in range(60 * minutes):
        for balancer in context.balancers:
            balancer.on_report(now, "alive")
            due = balancer.pop_due(now)
            if due is not None:
                context.calls.append((now, due[0]))
        for at, host in context.calls:
            if at + lag == now:
                for balancer in context.balancers:
                    balancer.on_gone(now, host, 11)


@then("all records are deleted with at most {count:d} calls")
def check_all_deleted(context, count):
    deleted = {host for _, host in context.calls}
    assert deleted == context.hosts, context.hosts - deleted
    assert len(context.calls) <= count, len(context.calls)


@then("at most {count:d} calls are made in any {seconds:d} s")
def check_call_rate(context, count, seconds):
    times = [at for at, _ in context.calls]
    most = max(sum(x <= y < x + seconds for y in times) for x in times)
    assert most <= count, most


@given(
    "records are deleted after {silent:d} s without a report and a wait of up to"
    " {wait:d} s"
)
def short_times(context, silent, wait):
    for name, value in (
        ("GONE_AFTER_S", silent),
        ("MAX_WAIT_S", wait),
        ("DELETE_INTERVAL_S", wait),
    ):
        patch = mock.patch.object(stale_records, name, float(value))
        patch.start()
        context.add_cleanup(patch.stop)


@when("the agent of host 1 is killed")
def kill_first_agent(context):
    forward_path_steps.kill_daemon(context, "agent", 1)


@when(
    "the agent of host 1 is killed, and its record is that of an older release"
)
def kill_older_agent(context):
    kill_first_agent(context)
    spec = dict(context.standin.objects["agents", "agent-1"]["spec"])
    for name in ("announced", "rewritten"):
        del spec[name]
    context.standin.put("agents", "agent-1", spec)


@then("the record of agent 2 has been written once")
def check_written_once(context):
    writes = [uri for method, uri in context.standin.calls if method != "GET"]
    others = [uri for uri in writes if not uri.endswith("/agent-1")]
    # Both records are created by a call to the collection.
    assert len(others) == 2, writes
