from behave import given
from behave import then
from behave import when
import msgspec

from bench import control_fleet as fleet
from bench import driver
from bench import faults
from crocusmux import objects
from crocusmux.core.control import controlplane
from crocusmux.core.control import membership
from crocusmux.core.control import membership_messages
from crocusmux.core.control import state_overrides

SEED = 23
KEY = "memberships/s"


def record(node, state, incarnation=None, service="s"):
    row = node.row
    upstream = objects.Upstream(
        name=f"{row.name}-u", address="127.0.0.1:9000", state=state
    )
    return membership_messages.HostRecord(
        host=row.name,
        failure_domain=row.failure_domain,
        agent="127.0.0.1:7001",
        relay="127.0.0.1:7002",
        control=row.control,
        incarnation=incarnation or row.incarnation,
        upstreams=(membership_messages.ServiceUpstream(service, upstream),),
    )


def announce(context, node, state):
    wanted = record(node, state)
    node.act(lambda: node.plane.announce(context.run.now, wanted))


def run_for(context, seconds):
    context.run.run(context.run.now + seconds)


def member(context, host):
    found = objects.decode(context.fleet.platform.objects[KEY])
    return next((m for m in found.members if m.host == host), None)


def state_of(found):
    return found.upstreams[0].state if found else ""


def add_agent(context, name, index):
    node = context.fleet.add(name, "agent", f"fd{index % 3}", "r0")
    context.agents[name] = node
    return node


@given("a service with {count:d} ready hosts")
def start_service(context, count):
    context.run = driver.Driver(SEED)
    context.fleet = fleet.Fleet(context.run)
    context.fleet.check_all = True
    context.agents = {}
    context.balancers = [
        context.fleet.add(f"b{index}", "balancer", f"fd{index % 3}", "r0")
        for index in range(6)
    ]
    for index in range(count):
        node = add_agent(context, f"a{index}", index)
        announce(context, node, "ready")
    run_for(context, 20)
    for name in context.agents:
        assert state_of(member(context, name)) == "ready"
    context.before = member(context, "a0").incarnation


def report(context, domains, hosts):
    for node in context.balancers:
        if int(node.row.failure_domain[2:]) < domains:
            for host in hosts:
                listed = member(context, host)
                node.act(
                    lambda node=node, listed=listed: node.plane.report_suspect(
                        context.run.now, listed.host, listed.incarnation
                    )
                )


@when('daemons of {domains:d} failure domains report host "{host}"')
@when('daemons of {domains:d} failure domain report host "{host}"')
def report_host(context, domains, host):
    context.reported = context.agents[host]
    context.fleet.stop(context.reported)
    for _ in range(3):
        report(context, domains, [host])
        run_for(context, 1)


@when('host "{host}" stays alive')
def stay_alive(context, host):
    node = context.reported
    node.up = True
    context.fleet.nodes[node.row.control] = node
    node._timer = float("inf")
    node._arm()


@when("daemons of 2 failure domains report all hosts for {seconds:d} seconds")
def report_all(context, seconds):
    for node in context.agents.values():
        context.fleet.stop(node)
    for _ in range(seconds):
        report(context, 2, context.agents)
        run_for(context, 1)


@then("at most {limit:d} hosts are removed within any 10 seconds")
def check_removals(context, limit):
    times, known = [], set()
    for when_, key, version, body in context.fleet.platform.log:
        if key == KEY:
            found = objects.decode(objects.Versioned(key, version, body))
            gone = {m.host for m in found.members if membership.is_gone(m)}
            times += [when_] * len(gone - known)
            known |= gone
    for first in times:
        assert sum(first <= t < first + 10 for t in times) <= limit, times
    assert bool(times) == bool(limit), "the limit allows a removal"


@then('host "{host}" is "{state}" in the platform')
def check_state(context, host, state):
    assert state_of(member(context, host)) == state, member(context, host)


@then('host "{host}" is not listed in the platform')
def check_unlisted(context, host):
    assert member(context, host) is None


@then("its incarnation is higher than before")
def check_higher(context):
    assert member(context, "a0").incarnation > context.before


@when('host "{host}" starts again with a new incarnation')
def start_again(context, host):
    context.old = context.agents[host]
    context.fleet.stop(context.old)
    announce(context, add_agent(context, host, 0), "ready")


@when("its predecessor announces itself once more")
def announce_old(context):
    message = membership_messages.Announcement(record(context.old, "ready"))
    to_watchers(context, message)


def to_watchers(context, message):
    envelope = controlplane.ControlEnvelope(message.record.host, message)
    for node in context.balancers:
        node.act(
            lambda node=node: node.plane.on_message(context.run.now, envelope)
        )


@then('the platform lists the new incarnation of "{host}"')
def check_new(context, host):
    listed = member(context, host).incarnation
    assert listed == context.agents[host].row.incarnation > context.before
    seen = []
    for _, key, version, body in context.fleet.platform.log:
        if key == KEY:
            found = objects.decode(objects.Versioned(key, version, body))
            seen += [m.incarnation for m in found.members if m.host == host]
    assert seen == sorted(seen), "the old incarnation came back"


@when('an announcement of host "{host}" is held back')
def hold_back(context, host):
    node = context.agents[host]
    context.held = membership_messages.Announcement(
        record(node, "ready"), nonce=1
    )


@when('host "{host}" leaves and {seconds:d} seconds pass')
def leave(context, host, seconds):
    node = context.agents[host]
    announce(context, node, "gone")
    run_for(context, 10)
    context.fleet.stop(node)
    run_for(context, seconds - 10)
    assert member(context, host) is None


@when("the announcement arrives at all watchers")
def held_arrives(context):
    to_watchers(context, context.held)


@when("two watchers write the same object at the same time")
def race(context):
    pair = [n for n in context.balancers if n.plane.gossip.watching][:2]
    for index, node in enumerate(pair):
        joining = context.fleet.add(f"a{8 + index}", "agent", "fd0", "r0")
        wanted = record(joining, "ready")
        node.act(
            lambda node=node, wanted=wanted: [
                node.plane.memberships.on_announcement(
                    context.run.now,
                    membership_messages.Announcement(wanted),
                    "",
                    own=True,
                )
            ]
        )


@then("both changes are in the platform")
def check_race(context):
    for host in ("a8", "a9"):
        check_state(context, host, "ready")


@then("at least one conflict was met")
def check_conflict(context):
    nodes = context.fleet.nodes.values()
    assert sum(n.plane.memberships.counts["conflicts"] for n in nodes) >= 1


@when("the platform loses the answer to every write")
def lose_answers(context):
    context.fleet.platform.lose_answer = 1.0
    context.log_before = len(context.fleet.platform.log)


@when('host "{host}" drains')
def drain(context, host):
    node = context.agents[host]
    node.act(lambda: node.plane.drain(context.run.now))


@then("it was written once")
def check_once(context):
    assert len(context.fleet.platform.log) - context.log_before == 1


@when("{count:d} hosts join within 100 milliseconds through one watcher")
def join_many(context, count):
    context.log_before = len(context.fleet.platform.log)
    for index in range(count):
        node = add_agent(context, f"a{10 + index}", 0)
        context.run.after(
            10 + index * 0.01,
            lambda node=node: announce(context, node, "ready"),
        )
    run_for(context, 10)


@then("the platform saw {count:d} update of the service")
def check_updates(context, count):
    assert len(context.fleet.platform.log) - context.log_before == count
    assert state_of(member(context, "a19")) == "ready"


@then('all daemons see host "{host}" as draining')
def check_draining(context, host):
    incarnation = context.agents[host].row.incarnation
    for node in context.fleet.nodes.values():
        found = node.store.membership("s")
        listed = [m for m in found.members if m.host == host]
        override = (host, incarnation) in node.plane.overrides()
        assert override or state_of(listed[0]) == "draining", node.row.name


@then("no daemon saw a state move back")
def check_reverts(context):
    assert context.fleet.reverts == 0


@when('host "{host}" starts again with a clock 1 hour behind')
def start_behind(context, host):
    context.fleet.stop(context.agents[host])
    node = add_agent(context, host, 0)
    behind = node.row.incarnation - (3_600_000 << 20)
    wanted = record(node, "ready", incarnation=max(behind, 1 << 20))
    node.act(lambda: node.plane.announce(context.run.now, wanted))


@when("the fleet runs under the faults of seeds {first:d} to {last:d}")
def run_faults(context, first, last):
    context.results = {
        seed: faults.run(seed) for seed in range(first, last + 1)
    }


@then("nothing was reverted, lost, applied twice or revived")
def check_faults(context):
    for seed, result in context.results.items():
        found = (
            result.reverts,
            result.lost_changes,
            result.double_changes,
            result.revived,
        )
        assert found == (0, 0, 0, 0), (seed, result)
        assert result.accepted > 20, (seed, result)


@when('an operator sets host "{host}" to "{first}" and to "{second}"')
def operate(context, host, first, second):
    platform = context.fleet.platform
    for state in (first, second):
        known = platform.objects[KEY]
        found = objects.decode(known)
        members = tuple(
            msgspec.structs.replace(
                m,
                upstreams=tuple(
                    msgspec.structs.replace(u, state=state) for u in m.upstreams
                ),
            )
            if m.host == host
            else m
            for m in found.members
        )
        body = objects.encode(objects.Membership(service="s", members=members))
        platform.write(KEY, body, known.version)
        run_for(context, 5)


@when('an operator holds host "{host}" in "{state}"')
def hold(context, host, state):
    platform = context.fleet.platform
    known = platform.objects[KEY]
    found = objects.decode(known)
    for member in found.members:
        if member.host == host:
            for upstream in member.upstreams:
                found = state_overrides.add_override(
                    found, upstream.name, state
                )
    body = objects.encode(state_overrides.apply_overrides(found))
    platform.write(KEY, body, known.version)
