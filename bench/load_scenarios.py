"""Scenarios of the load bench; each returns figures of a seeded run."""

from collections.abc import Callable
import statistics

from bench import driver
from bench import load_model
from bench import load_policies
from crocusmux import messages
from crocusmux.core.load import capacity

CALLERS = [f"10.0.{i // 200}.{i % 200}" for i in range(400)]
FLOOD_CALLERS = [f"10.9.0.{i}" for i in range(200)]
WARM_UP_LOAD_S = 10.0  # load before the measured window
FLOOD_S = 20.0
# Latency of an answer in time: deadline to start, and 1 s to run.
ON_TIME_LATENCY_S = {"orders": 2.0, "logs": 6.0}
MAX_ORDER_LATENCY_S = 1.0
RECOVERY_S = 5.0
WARM_UP_S = capacity.WARM_UP_S
WINDOW_S = 60.0
FAULTS = ("stuck", "fails-fast", "refuses", "lies", "slow-class", "gray")

Figures = dict[str, float]
Scenario = Callable[[load_model.Deployment, str, int], Figures]


def _make_cluster(
    dep: load_model.Deployment, policy: str, seed: int
) -> load_model.Cluster:
    return load_model.Cluster(dep, load_policies.POLICIES[policy], seed)


def _schedule_normal_load(
    cluster: load_model.Cluster, end: float, orders: float = 0.5
) -> None:
    """Schedules 70% load, by default, and one long flow per second."""
    cluster.schedule_load("orders", orders, 0, end, CALLERS)
    cluster.schedule_load("logs", 0.2, 0, end, CALLERS)
    cluster.schedule_arrivals("feeds", 1.0, 0, end, CALLERS)


def _flows_arrived(
    cluster: load_model.Cluster, cls: str, begin: float, end: float
) -> list[load_model.Flow]:
    begin, end = begin + cluster.start, end + cluster.start
    return [
        f
        for f in cluster.flows
        if f.class_name == cls and begin <= f.arrived_at < end
    ]


def _latency_s(flow: load_model.Flow) -> float:
    """Returns the latency in seconds; infinite unless answered."""
    if flow.outcome != messages.ANSWERED:
        return float("inf")
    return flow.done_at - flow.arrived_at


def _p99_s(flows: list[load_model.Flow]) -> float:
    return driver.percentile([_latency_s(f) for f in flows], 0.99)


def _answered_share(flows: list[load_model.Flow]) -> float:
    if not flows:
        return 1.0
    answered = sum(f.outcome == messages.ANSWERED for f in flows)
    return answered / len(flows)


def _recovery_s(
    cluster: load_model.Cluster, after: float, until: float
) -> float:
    """Returns the seconds from a time until normal service is restored.

    Service in a second is not normal if over 1% of its requests are not
    answered or the median latency of its orders is over twice the usual one.
    """
    usual_s = _median_s(
        _flows_arrived(cluster, "orders", WARM_UP_LOAD_S / 2, WARM_UP_LOAD_S)
    )
    recovered_after = 0.0
    for second in range(int(until - after)):
        begin = after + second
        orders = _flows_arrived(cluster, "orders", begin, begin + 1)
        logs = _flows_arrived(cluster, "logs", begin, begin + 1)
        if (
            _answered_share(orders + logs) < 0.99
            or _median_s(orders) > 2 * usual_s
        ):
            recovered_after = second + 1.0
    return recovered_after


def _median_s(flows: list[load_model.Flow]) -> float:
    return driver.percentile([_latency_s(f) for f in flows], 0.5)


def _count_cut_long_flows(cluster: load_model.Cluster) -> float:
    """Counts long flows refused or cut, except those of a dead host."""
    feeds = [f for f in cluster.flows if f.class_name == "feeds"]
    return float(
        sum(
            f.outcome != "open" for f in feeds if f.host is None or f.host.alive
        )
    )


def _attempts_per_request(flows: list[load_model.Flow]) -> float:
    """Returns attempts per request; a request shed at a balancer has one."""
    return sum(max(f.attempts, 1) for f in flows) / max(len(flows), 1)


def _useful_share(
    cluster: load_model.Cluster, begin: float, end: float
) -> float:
    """Returns the share of slot time used by requests answered in time.

    It counts only upstreams that are alive for the whole run.
    """
    begin_at, end_at = begin + cluster.start, end + cluster.start
    hosts = [h for h in cluster.hosts if h.alive and not h.joined_at]
    used = sum(
        max(0.0, min(b, end_at) - max(a, begin_at))
        for host in hosts
        for a, b, flow in host.busy_periods
        if _latency_s(flow) <= ON_TIME_LATENCY_S[flow.class_name]
    )
    return used / (len(hosts) * cluster.deployment.slots * (end - begin))


def steady(dep: load_model.Deployment, policy: str, seed: int) -> Figures:
    """70% load over upstreams whose speeds differ by a factor of 4."""
    cluster = _make_cluster(dep, policy, seed)
    end = WARM_UP_LOAD_S + WINDOW_S
    _schedule_normal_load(cluster, end)
    cluster.run(end + 6)
    orders = _flows_arrived(cluster, "orders", WARM_UP_LOAD_S, end)
    latencies = [_latency_s(f) for f in orders]
    return {
        "imbalance": cluster.imbalance(WARM_UP_LOAD_S, end),
        "p50_ms": driver.percentile(latencies, 0.5) * 1000,
        "p99_ms": _p99_s(orders) * 1000,
        "answered": _answered_share(orders),
        "attempts": _attempts_per_request(orders),
    }


def bulk_flood(dep: load_model.Deployment, policy: str, seed: int) -> Figures:
    """Bulk work of 10 times the capacity on top of 70% load."""
    end = WARM_UP_LOAD_S + FLOOD_S
    base = _make_cluster(dep, policy, seed)
    _schedule_normal_load(base, end)
    base.run(end + 6)
    before = _flows_arrived(base, "orders", WARM_UP_LOAD_S, end)
    cluster = _make_cluster(dep, policy, seed)
    _schedule_normal_load(cluster, end + 10)
    cluster.schedule_load("logs", 10.0, WARM_UP_LOAD_S, end, FLOOD_CALLERS)
    cluster.run(end + 16)
    orders = _flows_arrived(cluster, "orders", WARM_UP_LOAD_S, end)
    begin = WARM_UP_LOAD_S + 2
    slots = len(cluster.hosts) * dep.slots * (end - begin)
    used = {
        cls: sum(cluster.busy_time(h, begin, end, cls) for h in cluster.hosts)
        for cls in load_model.MEAN_WORK_S
    }
    logs = _flows_arrived(cluster, "logs", WARM_UP_LOAD_S, end)
    return {
        "bulk_flood_kept": _answered_share(orders) / _answered_share(before),
        "bulk_flood_p99_ratio": _p99_s(orders) / _p99_s(before),
        "bulk_share_of_rest": used["logs"] / (slots - used["orders"]),
        "attempts_per_request": _attempts_per_request(logs + orders),
        "long_cut": _count_cut_long_flows(cluster),
        "recovery_s": _recovery_s(cluster, end, end + 10),
    }


def urgent_flood(dep: load_model.Deployment, policy: str, seed: int) -> Figures:
    """Orders of 3 times the capacity, with bulk work of 20%."""
    end = WARM_UP_LOAD_S + FLOOD_S
    cluster = _make_cluster(dep, policy, seed)
    _schedule_normal_load(cluster, end + 10)
    cluster.schedule_load("orders", 2.5, WARM_UP_LOAD_S, end, FLOOD_CALLERS)
    cluster.run(end + 16)
    orders = _flows_arrived(cluster, "orders", WARM_UP_LOAD_S, end)
    logs = _flows_arrived(cluster, "logs", WARM_UP_LOAD_S, end)
    refused = [
        f.done_at - f.arrived_at
        for f in orders
        if f.outcome == messages.REFUSED
    ]
    unknown = sum(f.outcome == messages.UNKNOWN for f in orders)
    return {
        "urgent_flood_useful": _useful_share(cluster, WARM_UP_LOAD_S + 1, end),
        "refusal_p50_ms": statistics.median(refused or [0.0]) * 1000,
        "unknown": float(unknown),
        "attempts_per_request": _attempts_per_request(orders),
        "bulk_min_share": sum(
            cluster.busy_time(h, WARM_UP_LOAD_S + 2, end, "logs")
            for h in cluster.hosts
        )
        / (len(cluster.hosts) * dep.slots * (FLOOD_S - 2)),
        "logs_answered": _answered_share(logs),
        "long_cut": _count_cut_long_flows(cluster),
        "recovery_s": _recovery_s(cluster, end, end + 10),
    }


def caller_flood(dep: load_model.Deployment, policy: str, seed: int) -> Figures:
    """One caller sends orders of 3 times the capacity.

    The other 19 send orders for 60% of the capacity together.  Each demands
    less than its fair share, so all of its orders should be answered.
    """
    end = WARM_UP_LOAD_S + FLOOD_S
    cluster = _make_cluster(dep, policy, seed)
    others = CALLERS[:19]
    cluster.schedule_load("orders", 0.6, 0, end, others)
    cluster.schedule_load("logs", 0.2, 0, end, CALLERS[20:])
    cluster.schedule_load("orders", 3.0, WARM_UP_LOAD_S, end, FLOOD_CALLERS[:1])
    cluster.run(end + 6)
    orders = _flows_arrived(cluster, "orders", WARM_UP_LOAD_S, end)
    kept = [
        _answered_share([f for f in orders if f.caller == caller])
        for caller in others
    ]
    return {
        "caller_fair_share": min(kept),
        "mean_share": sum(kept) / len(kept),
        "useful": _useful_share(cluster, WARM_UP_LOAD_S + 1, end),
        "attempts_per_request": _attempts_per_request(orders),
    }


def both_floods(dep: load_model.Deployment, policy: str, seed: int) -> Figures:
    """Bulk and urgent floods; a cold upstream replaces a lost one."""
    end = WARM_UP_LOAD_S + 2 * FLOOD_S
    cluster = _make_cluster(dep, policy, seed)
    stop = end + RECOVERY_S + WINDOW_S
    _schedule_normal_load(cluster, stop)
    cluster.schedule_load("logs", 10.0, WARM_UP_LOAD_S, end, FLOOD_CALLERS)
    cluster.schedule_load("orders", 2.5, WARM_UP_LOAD_S, end, FLOOD_CALLERS)
    lost_host = cluster.hosts[3]
    cluster.drv.after(
        WARM_UP_LOAD_S + FLOOD_S / 2, lambda: cluster.kill(lost_host)
    )
    join_at = WARM_UP_LOAD_S + FLOOD_S
    cluster.drv.after(join_at, lambda: cluster.join(1.0))
    cluster.run(stop)
    cold = cluster.hosts[-1]
    unknown = sum(
        f.outcome == messages.UNKNOWN and f.host is not lost_host
        for f in cluster.flows
    )
    return {
        "useful": _useful_share(cluster, WARM_UP_LOAD_S + FLOOD_S / 2 + 5, end),
        "warm_up_excess": _warm_up_excess_s(cluster, cold, join_at, dep.slots),
        "unknown_elsewhere": float(unknown),
        "long_cut": _count_cut_long_flows(cluster),
        "recovery_s": _recovery_s(cluster, end, stop - 5),
        "imbalance": cluster.imbalance(end + RECOVERY_S, stop),
    }


def _warm_up_excess_s(
    cluster: load_model.Cluster,
    host: load_model.Host,
    joined: float,
    slots: int,
) -> float:
    """Returns the largest slot time used above the warm-up limit, seconds.

    It compares at the start of each request within the warm-up.
    """
    origin = cluster.start + joined
    worst = 0.0
    for start, _, _ in host.busy_periods:
        age = start - origin
        if age >= WARM_UP_S:
            continue
        mean = (capacity.warm_up_share(0.0) + capacity.warm_up_share(age)) / 2
        used = cluster.busy_time(host, joined, joined + age)
        worst = max(worst, used - mean * slots * age)
    return worst


def loss(dep: load_model.Deployment, policy: str, seed: int) -> Figures:
    """An upstream dies at 70% load."""
    cluster = _make_cluster(dep, policy, seed)
    stop = WARM_UP_LOAD_S + RECOVERY_S + WINDOW_S
    _schedule_normal_load(cluster, stop)
    lost_host = cluster.hosts[3]
    cluster.drv.after(WARM_UP_LOAD_S, lambda: cluster.kill(lost_host))
    cluster.run(stop)
    return {
        "imbalance": cluster.imbalance(WARM_UP_LOAD_S + RECOVERY_S, stop),
        "recovery_s": _recovery_s(cluster, WARM_UP_LOAD_S, stop - 5),
    }


def overdeclared(dep: load_model.Deployment, policy: str, seed: int) -> Figures:
    """One upstream has half the slots that it declares and fails the excess.

    Bulk work of the whole capacity is added to 70% load.
    """
    adaptive = policy != "fixed limit"
    cluster = _make_cluster(dep, policy if adaptive else "crocusmux", seed)
    faulty_host = cluster.hosts[4]
    faulty_host.real_slots = dep.slots // 2
    for host in cluster.hosts:
        host.admission.adaptive = adaptive
    end = WARM_UP_LOAD_S + FLOOD_S
    _schedule_normal_load(cluster, end)
    cluster.schedule_load("logs", 1.0, WARM_UP_LOAD_S, end, FLOOD_CALLERS)
    cluster.run(end + 6)
    orders = _flows_arrived(cluster, "orders", WARM_UP_LOAD_S, end)
    orders_there = [f for f in orders if f.host is faulty_host]
    return {
        "answered_there": _answered_share(orders_there),
        "answered": _answered_share(orders),
        "p99_ms": _p99_s([f for f in orders if f.outcome == "answered"]) * 1000,
    }


def trickle(dep: load_model.Deployment, policy: str, seed: int) -> Figures:
    """One order per minute for half an hour."""
    cluster = _make_cluster(dep, policy, seed)
    for minute in range(30):
        cluster.drv.after(
            minute * 60.0, lambda: cluster.start_flow("orders", CALLERS[0])
        )
    cluster.run(1900)
    flows = cluster.flows
    waits = [f.started_at - f.placed_at for f in flows]
    return {
        "trickle_answered": _answered_share(flows),
        "trickle_wait_ms": max(waits) * 1000,
        "attempts_per_request": _attempts_per_request(flows),
    }


def false_report(
    dep: load_model.Deployment, policy: str, seed: int, fault: str
) -> Figures:
    """One upstream misbehaves or reports false load, at 70% load."""
    cluster = _make_cluster(dep, policy, seed)
    end = WARM_UP_LOAD_S + RECOVERY_S + FLOOD_S
    _schedule_normal_load(cluster, end)
    faulty_host = cluster.hosts[4]

    def start_fault() -> None:
        if fault == "gray":
            cluster.gray_failure = (0, faulty_host.name)
        else:
            faulty_host.fault = fault

    cluster.drv.after(WARM_UP_LOAD_S, start_fault)
    cluster.run(end + 6)
    orders = _flows_arrived(cluster, "orders", WARM_UP_LOAD_S + RECOVERY_S, end)
    on_time = sum(_latency_s(f) <= MAX_ORDER_LATENCY_S for f in orders)
    return {f"on_time {fault}": on_time / len(orders)}
