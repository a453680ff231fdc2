import asyncio
import pathlib
import re
import subprocess
import sys
import tempfile
import types
from unittest import mock
import zlib

from behave import given
from behave import then
from behave import when

from crocusmux.core.forward import routes
from soak import __main__ as soak_main
from soak import daemons
from soak import plan
from soak import rules
from soak import system
from soak import upstreams

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Start, faults, late writes, recovery and end of a run beside load.
EXTRA_TIMEOUT_S = 150
ADDRESS = ("198.18.0.1", 8443)
KEY = routes.encode_flow_key(("127.20.9.1", 5000), ADDRESS)
ISN = 700


@when(
    "the soak test starts for {seconds:d} s with seed {seed:d} and plan"
    " version {version:d}"
)
def start_soak(context, seconds, seed, version):
    cmd = [sys.executable, "-m", "soak"]
    cmd += ["--seed", str(seed), "--seconds", str(seconds)]
    cmd += ["--plan-version", str(version)]
    process = subprocess.Popen(
        cmd,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )

    def stop():
        # It ends its daemons, which a kill would leave behind.
        process.terminate()
        process.wait()

    context.add_cleanup(stop)
    if "soak_runs" not in context:
        context.soak_runs = {}
    context.soak_runs[seed] = (process, seconds + EXTRA_TIMEOUT_S)


@then("the run with seed {seed:d} ends with status {status:d}")
def check_status(context, seed, status):
    process, timeout_s = context.soak_runs[seed]
    context.output, _ = process.communicate(timeout=timeout_s)
    assert process.returncode == status, context.output


@then("it has injected {faults:d} faults and seen at least {count:d} requests")
def check_counts(context, faults, count):
    counts = dict(re.findall(r"(\S+)=(\d+)", context.output))
    assert int(counts["fault"]) == faults, counts
    assert int(counts["request"]) >= count, counts


@then("at least {count:d} callers got a reset of a lost flow")
def check_resets(context, count):
    found = re.search(r"reset-without-holder=(\d+)", context.output)
    assert found and int(found[1]) >= count, context.output


@when("{case} ends a run of the soak test")
def end_run(context, case):
    async def start(tested):
        tested.checker.note("started")

    async def inject(tested, faults):
        if case == "a broken rule":
            tested.checker.report("daemon-ended", "balancer-1", "")
        elif case == "its own failure":
            raise KeyError("fault")

    async def recover(tested):
        if case == "its own late one":
            # As in a callback, where no caller sees the exception.
            loop = asyncio.get_running_loop()
            loop.call_soon(lambda: {}["flow"])
            await asyncio.sleep(0)

    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    with (
        mock.patch.multiple(
            system.System, start=start, inject=inject, recover=recover
        ),
        mock.patch.object(tempfile, "tempdir", folder.name),
    ):
        context.exit_status = soak_main.run_in_folder(1, 1, 2)


@then("its exit status is {status:d}")
def check_exit_status(context, status):
    assert context.exit_status == status, context.exit_status


@then("two plans of {seconds:d} s with seed {seed:d} are the same")
def check_same_plans(context, seconds, seed):
    first = plan.make_plan(seed, seconds)
    assert first and first == plan.make_plan(seed, seconds)


@then("plans of {seconds:d} s with seeds {first:d} and {second:d} differ")
def check_different_plans(context, seconds, first, second):
    assert plan.make_plan(first, seconds) != plan.make_plan(second, seconds)


@then(
    "in plans of {seconds:d} s all faults end within {limit:d} s, one at a time"
    " on a host"
)
def check_plan(context, seconds, limit):
    for seed in range(50):
        ends = {}
        for fault in plan.make_plan(seed, seconds):
            assert fault.at_s >= ends.get(fault.target, 0.0), fault
            ends[fault.target] = fault.at_s + fault.duration_s
            assert ends[fault.target] <= limit, fault


@then(
    "the plan of {seconds:d} s with seed {seed:d} and version {version:d} has"
    " checksum {expected:d}"
)
def check_checksum(context, seconds, seed, version, expected):
    # Rounded, so that only a change of the plan changes the sum.
    text = ";".join(
        f"{x.at_s:.6f} {x.kind} {x.target} {x.duration_s:.6f} {x.degree:.6f}"
        for x in plan.make_plan(seed, seconds, version)
    )
    assert zlib.crc32(text.encode()) == expected, text
    assert plan.make_options(seed, version) == plan.Options(True, True)


@then("the known cases 3, 6 and 8 have plan version 1")
def check_known_cases(context):
    cases = soak_main.read_cases()
    assert {(3, 10, 1), (6, 30, 1), (8, 30, 1)} <= set(cases), cases


def make_plans(seconds):
    return [plan.make_plan(seed, seconds) for seed in range(50)]


@then(
    "among plans of {seconds:d} s with seeds {first:d} to {last:d} there is"
    " each kind of fault"
)
def check_kinds(context, seconds, first, last):
    seeds = range(first, last + 1)
    plans = [plan.make_plan(seed, seconds) for seed in seeds]
    found = {fault.kind for faults in plans for fault in faults}
    assert found == set(plan.KINDS), set(plan.KINDS) - found


@then(
    "in plans of {seconds:d} s removed hosts get no further fault, and new"
    " ones do"
)
def check_removed(context, seconds):
    targets = set()
    for faults in make_plans(seconds):
        present, removed = set(plan.HOSTS), set()
        for fault in faults:
            host = fault.target.startswith(("agent", "balancer"))
            assert fault.target in present or not host, fault
            targets.add(fault.target)
            if fault.kind.startswith("pair"):
                present.discard(fault.target)
                removed.add(fault.target)
            if fault.kind == "pair-replace":
                assert fault.successor not in present | removed, fault
                present.add(fault.successor)
    assert "agent-7" in targets, targets


@then(
    "in plans of {seconds:d} s each service keeps at least {least:d} upstreams"
)
def check_upstreams_left(context, seconds, least):
    for faults in make_plans(seconds):
        services = {name: service for name, (_, service) in plan.HOSTS.items()}
        for fault in faults:
            if fault.kind.startswith("pair"):
                service = services.pop(fault.target)
                if fault.successor:
                    services[fault.successor] = service
                assert list(services.values()).count(service) >= least, fault


@then(
    "in plans of {seconds:d} s no host has a fault at a loss of power, and"
    " only pairs leave for {quiet_s:d} s"
)
def check_power_losses(context, seconds, quiet_s):
    for faults in make_plans(seconds):
        for number, loss in enumerate(faults):
            if loss.kind != "power-loss":
                continue
            for fault in faults[:number]:
                host = fault.target.startswith(("agent", "balancer"))
                assert not host or fault.end_s < loss.at_s, (fault, loss)
            for fault in faults[number + 1 :]:
                quiet = fault.at_s < loss.end_s + quiet_s
                assert fault.kind == "pair-replace" or not quiet, (fault, loss)


@then(
    "of seeds {first:d} to {last:d} the daemons hedge in {hedging:d}, name"
    " health in {health:d}, and do both in {both:d}"
)
def check_options(context, first, last, hedging, health, both):
    found = [plan.make_options(seed) for seed in range(first, last + 1)]
    assert sum(x.hedging for x in found) == hedging, found
    assert sum(x.health for x in found) == health, found
    assert sum(x.hedging and x.health for x in found) == both, found


class Clock:
    def __init__(self):
        self.now = 100.0


def make_daemon(context, name):
    options = plan.Options()
    return daemons.Daemon(None, None, name, "abay", "", options)


def make_upstream(context, number, service):
    daemon = make_daemon(context, f"agent-{number}")
    # Only these attributes are read, and a real one needs an event loop.
    return types.SimpleNamespace(
        name=daemon.name,
        daemon=daemon,
        service=service,
        domain="abay",
        boot=1,
        held={},
        half_open={},
        restarted_at=0.0,
    )


@given("a checker of the soak test with a route that leads to rounds")
def make_checker(context):
    context.clock = Clock()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.first = make_upstream(context, 1, "rounds")
    context.second = make_upstream(context, 2, "rounds")
    context.balancer = make_daemon(context, "balancer-1")
    context.upstreams = {
        "upstream-1": context.first,
        "upstream-2": context.second,
    }
    context.checker = rules.Checker(
        lambda: context.clock.now,
        pathlib.Path(folder.name) / "log",
        [context.balancer, make_daemon(context, "balancer-2")],
        context.upstreams,
    )
    context.add_cleanup(context.checker.close)
    context.checker.find_flow = lambda key: types.SimpleNamespace(
        balancers={"balancer-1"},
        began_at=context.clock.now - context.flow_age_s,
        first_ack=ISN + 1,
    )
    context.flow_age_s = 0.0
    context.route = rules.Route("r", ADDRESS, "rounds", False)
    context.checker.on_configuration(1, [context.route])
    context.clock.now += 10
    context.first.held[KEY] = upstreams.HeldFlow(ISN, 1)


@when("a reset of an open flow is observed")
def observe_reset(context):
    context.checker.on_reset(KEY)


@when("a reset of a flow that nobody holds is observed")
def observe_reset_of_lost(context):
    context.first.held.clear()
    context.checker.on_reset(KEY)


@when("a reset of a flow after its route was dropped is observed")
def observe_reset_without_route(context):
    context.checker.on_configuration(2, [])
    context.clock.now += 1
    context.checker.on_reset(KEY)


@when("a reset of a flow whose route was dropped for 2 s is observed")
def observe_reset_after_gap(context):
    context.checker.on_configuration(2, [])
    context.clock.now += 2
    context.checker.on_configuration(3, [context.route])
    context.clock.now += 1
    context.flow_age_s = 2.0
    context.checker.on_reset(KEY)


@when("a reset of a flow that began after that is observed")
def observe_reset_of_later_flow(context):
    context.checker.on_configuration(2, [])
    context.clock.now += 2
    context.checker.on_configuration(3, [context.route])
    context.clock.now += 1
    context.checker.on_reset(KEY)


@when("a reset while the agent was away for {seconds:d} s is observed")
def observe_reset_without_agent(context, seconds):
    context.first.daemon.away_since = context.clock.now - seconds
    context.checker.on_reset(KEY)


def run_twice(context, repeatable):
    request_id = "r1" if repeatable else rules.ONCE + "r1"
    context.checker.on_run(context.first, KEY, request_id)
    context.checker.on_run(context.second, KEY, request_id)


@when("a booking that runs at two upstreams is observed")
def observe_two_runs(context):
    run_twice(context, False)


@when("a repeatable request that runs at two upstreams is observed")
def observe_two_repeatable_runs(context):
    run_twice(context, True)


@when("a request that runs after a refusal is observed")
def observe_run_after_refusal(context):
    context.checker.on_refusal(KEY)
    context.checker.on_run(context.first, KEY, "r1")


@when("a refusal after a request ran is observed")
def observe_refusal_after_run(context):
    context.checker.on_run(context.first, KEY, "r1")
    context.checker.on_refusal(KEY)


@when("an opening at an upstream of calidad is observed")
def observe_foreign_opening(context):
    context.checker.on_opening(make_upstream(context, 3, "calidad"), KEY)


def move_route(context):
    moved = rules.Route("r", ADDRESS, "wheelbook", False)
    context.checker.on_configuration(2, [moved])


@when("an opening at rounds {seconds:d} s after a move is observed")
def observe_late_opening(context, seconds):
    move_route(context)
    context.clock.now += seconds
    context.checker.on_opening(context.first, KEY)


@when("an opening at rounds {seconds:d} s after a move, cut off is observed")
def observe_opening_while_cut_off(context, seconds):
    with context.checker.trouble("balancer-1"):
        observe_late_opening(context, seconds)


@when("an opening {seconds:d} s after an evacuation is observed")
def observe_evacuated_opening(context, seconds):
    context.checker.evacuated_at["abay"] = context.clock.now
    context.clock.now += seconds
    context.checker.on_opening(context.first, KEY)


@when("an old configuration after {seconds:d} s is observed")
def observe_old_configuration(context, seconds):
    move_route(context)
    context.clock.now += seconds
    context.checker.on_config_version("balancer-1", 1)


@when("a daemon that ends is observed")
def observe_exit(context):
    context.checker.on_exit("balancer-1", 1)


def make_waiting_flow(context):
    return types.SimpleNamespace(
        key=KEY,
        state="open",
        balancer="balancer-1",
        waits_since=context.clock.now,
        began_at=context.clock.now,
        first_ack=ISN + 1,
    )


def watch(context, seconds, flow=None):
    flow = flow or context.waiting
    for _ in range(round(seconds / system.POLL_INTERVAL_S) + 1):
        context.checker.check_lost(flow)
        context.clock.now += system.POLL_INTERVAL_S


def lose_flow(context):
    """Lets the caller of a lost flow wait for 5 s."""
    context.first.held.clear()
    for upstream in (context.first, context.second):
        # The first start of an agent.
        upstream.daemon.outages.append((0.0, 1.0))
    context.waiting = make_waiting_flow(context)
    watch(context, 5.0)


@when("a lost flow that waits for {seconds:d} s is observed")
def observe_lost_flow(context, seconds):
    lose_flow(context)
    watch(context, seconds - 5)


@when("a flow that is held and waits for 7 s is observed")
def observe_held_flow(context):
    watch(context, 7, make_waiting_flow(context))


@when("a lost flow whose caller sends nothing for 7 s is observed")
def observe_idle_lost_flow(context):
    context.first.held.clear()
    flow = make_waiting_flow(context)
    flow.waits_since = None
    watch(context, 7, flow)


@when("a lost flow that is reset after 5 s is observed")
def observe_reset_lost_flow(context):
    lose_flow(context)
    context.waiting.state = "reset"
    watch(context, 5)


def restart_agent(context, upstream):
    now = context.clock.now
    upstream.daemon.outages.append((now - 1.0, now))


@when("a lost flow {seconds:d} s after an agent was removed is observed")
def observe_after_removal(context, seconds):
    lose_flow(context)
    del context.upstreams["upstream-2"]
    watch(context, seconds - 5)


def add_starting_agent(context):
    third = make_upstream(context, 3, "rounds")
    third.daemon.away_since = context.clock.now
    context.upstreams["upstream-3"] = third
    return third.daemon


@when("a lost flow {seconds:d} s after a new agent appeared is observed")
def observe_after_new_agent(context, seconds):
    lose_flow(context)
    agent = add_starting_agent(context)
    watch(context, 0.5)
    agent.outages.append((agent.away_since, context.clock.now))
    agent.away_since = None
    watch(context, seconds - 5)


@when("a lost flow while a new agent starts for 2 s is observed")
def observe_while_agent_starts(context):
    lose_flow(context)
    add_starting_agent(context)
    watch(context, 2)


@when("a lost flow {seconds:d} s after an agent came back is observed")
def observe_after_agent(context, seconds):
    lose_flow(context)
    restart_agent(context, context.second)
    watch(context, seconds)


@when(
    "a lost flow {seconds:d} s after an agent of wheelbook came back is"
    " observed"
)
def observe_after_other_agent(context, seconds):
    lose_flow(context)
    other = make_upstream(context, 3, "wheelbook")
    context.upstreams["upstream-3"] = other
    other.daemon.outages.append((0.0, 1.0))
    restart_agent(context, other)
    watch(context, seconds)


@when("a lost flow {seconds:d} s after an upstream came back is observed")
def observe_after_upstream(context, seconds):
    lose_flow(context)
    context.second.restarted_at = None
    watch(context, 7)
    context.second.restarted_at = context.clock.now
    watch(context, seconds)


@when("a lost flow {seconds:d} s after a host was lost is observed")
def observe_after_lost_host(context, seconds):
    lose_flow(context)
    del context.upstreams["upstream-2"]
    context.checker.on_host_lost("rounds")
    watch(context, seconds)


@when("a lost flow {seconds:d} s after its balancer came back is observed")
def observe_after_balancer(context, seconds):
    lose_flow(context)
    now = context.clock.now
    context.balancer.outages.append((now - 1.0, now))
    watch(context, seconds)


@when("a lost flow {seconds:d} s after it moved to a balancer is observed")
def observe_after_move(context, seconds):
    lose_flow(context)
    context.waiting.balancer = "balancer-2"
    watch(context, seconds)


@when("a lost flow {seconds:d} s after packets were dropped is observed")
def observe_after_drops(context, seconds):
    lose_flow(context)
    with context.checker.trouble(rules.NETWORK):
        watch(context, 7)
    watch(context, seconds)


@when("a lost flow {seconds:d} s after the store came back is observed")
def observe_after_store(context, seconds):
    lose_flow(context)
    with context.checker.trouble("all"):
        watch(context, 7)
    watch(context, seconds)


@when("a lost flow while an agent is away is observed")
def observe_while_agent_is_away(context):
    lose_flow(context)
    context.second.daemon.away_since = context.clock.now
    watch(context, 20)


@then("the checker reports {rule}")
def check_report(context, rule):
    found = context.checker.violations
    assert len(found) == (rule != "nothing"), found
    assert all(x.startswith(f"rule={rule} flow=") for x in found), found
