from behave import given
from behave import then
from behave import when

from features import agent_standins
from features import balancer_sample


@given("{count:d} agents that report every {interval_s:g} s")
def start_fleet(context, count, interval_s):
    balancer_sample.start(context)
    context.fleet = agent_standins.Fleet(context.core, context.now)
    for number in range(1, count + 1):
        context.fleet.add(f"a{number}", number, interval_s)
    context.core.agent_table.record_list(context.now)
    context.fleet.run(2 * interval_s)
    context.fleet.requests.clear()


@when("agent {host:w} ends and its record is deleted")
def end_with_record(context, host):
    end_agent(context, host)
    delete_record(context, host)


@when("agent {host:w} ends")
def end_agent(context, host):
    context.fleet.agents[host].running = False


@when("agent {host:w} starts again")
def start_again(context, host):
    context.fleet.agents[host].restart()


@when("the record of agent {host:w} is deleted")
def delete_record(context, host):
    fleet = context.fleet
    fleet.execute(context.core.on_record_gone(fleet.now, host, 12))


@when("agent {host:w} is of a newer incarnation than its record")
def newer_incarnation(context, host):
    context.fleet.agents[host].incarnation += 1
    context.fleet.run(0.5)


@when("a caller sends on a flow that no upstream holds")
def send_on_lost_flow(context):
    context.key = balancer_sample.flow_key(42_000 + len(context.fleet.callers))
    context.fleet.call(context.key)


@when("a caller sends on a flow that agent {host:w} holds")
def send_on_held_flow(context, host):
    send_on_lost_flow(context)
    context.fleet.agents[host].held.add(context.key)


@when("the caller sends on its flow again")
def send_again(context):
    context.fleet.call(context.key)


@when("{seconds:g} s pass in the fleet")
def pass_time(context, seconds):
    context.fleet.run(seconds)


@when("the balancer is suspended for {seconds:g} s")
def suspend(context, seconds):
    context.fleet.skip(seconds)


@then("agent {host:w} was asked for a report {count:d} times or more")
def check_requests(context, host, count):
    times = context.fleet.requests.get(host, [])
    assert len(times) >= count, times


@then("the caller was reset within {limit:g} s")
def check_reset(context, limit):
    caller = context.fleet.callers[context.key]
    assert caller.ended == "reset", caller.ended
    waited = caller.ended_at - caller.sent_at
    assert waited <= limit, waited


@then("the caller was answered")
def check_answered(context):
    assert context.fleet.callers[context.key].ended == "answer"


@then("the balancer has dropped agent {host:w}")
def check_dropped(context, host):
    assert host not in context.core.agent_table.hosts()


@then("the balancer knows all agents")
def check_all_known(context):
    assert context.core.agent_table.hosts() == set(context.fleet.agents)


@when("callers send on lost flows every {interval_s:g} s for {seconds:g} s")
def send_on_lost_flows(context, interval_s, seconds):
    for _ in range(round(seconds / interval_s)):
        send_on_lost_flow(context)
        context.fleet.run(interval_s)
    context.fleet.run(2.0)


@then(
    "in any {seconds:g} s the list of agents was read at most {count:d} times"
)
def check_lists(context, seconds, count):
    times = context.fleet.lists
    most = max(
        sum(start <= time < start + seconds for time in times)
        for start in times
    )
    assert 0 < most <= count, most


@then("all callers were reset within {limit:g} s")
def check_all_reset(context, limit):
    for caller in context.fleet.callers.values():
        assert caller.ended == "reset", caller.ended
        assert caller.ended_at - caller.sent_at <= limit, (
            caller.ended_at - caller.sent_at
        )


@when("agent {host:w} ends {when} its next report")
def end_before_report(context, host, when):
    fleet = context.fleet
    agent = fleet.agents[host]
    lead_s = {"just before": 0.06, "long before": agent.interval_s - 0.06}[when]
    while not lead_s - 0.06 < agent.next_report_at - fleet.now <= lead_s:
        fleet.run(0.05)
    agent.running = False


@then("no other agent was asked for a report")
def check_only_one_asked(context):
    assert len(context.fleet.requests) == 1, context.fleet.requests


@when("the balancer hears from {count:d} agents only")
def cut_off(context, count):
    hosts = list(context.fleet.agents)
    context.fleet.connected = set(hosts[len(hosts) - count :])


@when("the balancer hears from all agents again")
def reconnect(context):
    context.fleet.connected = None


@then("at most {limit:d} requests a second were sent")
def check_request_rate(context, limit):
    times = sorted(
        time for times in context.fleet.requests.values() for time in times
    )
    most = max(
        sum(start <= time < start + 1.0 for time in times) for start in times
    )
    assert 0 < most <= limit, most


@when("all agents are uncertain")
def all_uncertain(context):
    for agent in context.fleet.agents.values():
        agent.uncertain = True


@when(
    "a caller sends on a flow whose holder is certain and is queried last, and"
    " the first agent queried ends"
)
def send_on_remote_flow(context):
    send_on_lost_flow(context)
    agents = context.core.agent_table.for_services(["rounds"])
    order = agents.preferred(context.key, lambda upstream: True, len(agents))
    hosts = [upstream.record.host for upstream in order]
    holder = context.fleet.agents[hosts[-1]]
    holder.held.add(context.key)
    holder.uncertain = False
    context.fleet.agents[hosts[0]].running = False


@when("all upstreams {answer:w} segments of unknown flows")
def answer_unknown(context, answer):
    for agent in context.fleet.agents.values():
        agent.hangs = answer == "ignore"


@then("the caller was answered within {limit:g} s")
def check_answered_within(context, limit):
    caller = context.fleet.callers[context.key]
    assert caller.ended == "answer", caller.ended
    waited = caller.ended_at - caller.sent_at
    assert waited <= limit, waited


def segments_at_others(context):
    """Returns when each upstream that does not hold the flow got segments."""
    return {
        host: agent.received.get(context.key, [])
        for host, agent in context.fleet.agents.items()
        if context.key not in agent.held
    }


@then("each other upstream got at most {count:d} segments of it")
def check_segments(context, count):
    for host, times in segments_at_others(context).items():
        assert len(times) <= count, (host, times)


@then(
    "each other upstream got at most {count:d} segments of it in {seconds:g} s"
)
def check_segments_in(context, count, seconds):
    for host, times in segments_at_others(context).items():
        for start in times:
            got = [x for x in times if start <= x < start + seconds - 0.001]
            assert len(got) <= count, (host, times)
