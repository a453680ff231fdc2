"""Control traffic and its CPU time at a forwarding balancer and at an agent.

    python -m bench.control_traffic [--quick] [--json]

The cores run in virtual time without sockets and without users' flows: one
balancer with all agents, and one agent with all balancers, for 120 s with 4,900
new configurations a day.  Bytes contain the headers of IP and UDP, and not the
calls to the store.  CPU time is that of the cores and of the
codec, not of the kernel.  Bounds, as the users state them for each daemon: 7 KB
a second, sent and received, and 2.3% of a core.
"""

import argparse
import random
import sys
import time

import msgspec

from bench import driver
from bench import scale
from crocusmux.core.forward import agent
from crocusmux.core.forward import balancer
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import outputs
from crocusmux.core.forward import report_schedule
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import subscriptions
from crocusmux.core.forward import upstreams

SERVICE = "wheelbook"
MAX_BYTES_PER_S = 7_000
MAX_CORE_PERCENT = 2.3
DURATION_S = 120.0
# 4,900 new configurations a day.
CONFIG_INTERVAL_S = 86_400 / 4_900
HEADER_BYTES = 28
HEARTBEAT_S = 1.2

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(reports.Message).decode


class Fleet(msgspec.Struct, frozen=True):
    """Size of a deployment.

    Attributes:
        balancers: Number of balancers.
        agents: Number of agents, all of one service.
        domains: Number of failure domains.
    """

    balancers: int
    agents: int
    domains: int


FLEETS = (
    Fleet(9, 21, 5),
    Fleet(30, 70, 5),
    Fleet(91, 213, 5),
    Fleet(100, 1_200, 4),
)
QUICK_FLEETS = (FLEETS[0], FLEETS[-1])


class Figures(msgspec.Struct):
    """Figures of one daemon.

    Attributes:
        role: Role of the daemon.
        balancers: Number of balancers.
        agents: Number of agents.
        bytes_per_s: Control traffic, sent and received, bytes a second.
        core_percent: CPU time, percent of a core.
        local_report_s: Interval of reports in the own failure domain, seconds.
        remote_report_s: Interval of the other reports, seconds.
    """

    role: str
    balancers: int
    agents: int
    bytes_per_s: float
    core_percent: float
    local_report_s: float
    remote_report_s: float


class Traffic:
    """Bytes and CPU time of one daemon."""

    __slots__ = ("byte_count", "cpu_ns")

    def __init__(self) -> None:
        self.byte_count = 0
        self.cpu_ns = 0

    def add_datagram(self, data: bytes) -> None:
        """Counts a datagram with its headers."""
        self.byte_count += len(data) + HEADER_BYTES

    def add_sent(self, outs: list[outputs.Output]) -> list[outputs.ToPeer]:
        """Encodes and counts the messages among outputs; returns them."""
        sent = [out for out in outs if isinstance(out, outputs.ToPeer)]
        for out in sent:
            self.add_datagram(_encode(out.message))
        return sent


def make_report(number: int, sequence: int, interval_s: float) -> bytes:
    """Returns the encoded report of an agent."""
    report = reports.LoadReport(
        host=f"side-karatau-{number}",
        service=SERVICE,
        incarnation=2**32 - 1,
        sequence=sequence,
        accepting=True,
        slots=2,
        in_progress=1.25,
        flows=120,
        service_ms=32.0,
        interval_s=interval_s,
        config_version=1_000,
        config_source="",
    )
    return _encode(reports.compact(report, upstreams.service_tag(SERVICE)))


def make_subscription(number: int, interval_s: float) -> reports.Subscribe:
    """Returns a balancer's subscription to the reports of an agent."""
    ip = f"10.120.{number // 250}.{number % 250}"
    return reports.Subscribe(
        balancer=f"edge-karatau-{number}",
        address=(ip, 7720),
        config_version=1_000,
        config_source=f"{ip}:8166",
        valid_s=round(2 * DURATION_S),
        interval_s=interval_s,
        compact=True,
    )


def intervals_s(fleet: Fleet) -> tuple[float, float]:
    """Returns the intervals of local and of remote reports to a balancer."""
    local = fleet.agents // fleet.domains
    return report_schedule.report_intervals_s(local, fleet.agents - local)


def interval_s(number: int, fleet: Fleet) -> float:
    """Returns the report interval between daemon 0 and a numbered one.

    Daemon 0 stands for the balancer or the agent that is measured.
    """
    local_s, remote_s = intervals_s(fleet)
    return remote_s if number % fleet.domains else local_s


def make_balancer(fleet: Fleet) -> balancer.ForwardingBalancer:
    """Returns a balancer that has a report of each agent of a fleet."""
    core = balancer.ForwardingBalancer(
        "edge-karatau-1",
        "d0",
        ("10.120.0.1", 7720),
        "10.120.0.1:8166",
        random.Random(1),
    )
    for number in range(fleet.agents):
        record = msgspec.structs.replace(
            scale.make_record(number),
            host=f"side-karatau-{number}",
            service=SERVICE,
            failure_domain=f"d{number % fleet.domains}",
        )
        core.add_agent(0.0, record)
        report = make_report(number, 1, interval_s(number, fleet))
        core.on_message(0.0, _decode(report))
    core.on_timer(0.0)
    return core


def measure_balancer(fleet: Fleet) -> Figures:
    """Measures a balancer whose agents report as it asks."""
    core = make_balancer(fleet)
    intervals = [interval_s(number, fleet) for number in range(fleet.agents)]
    rng = random.Random(2)
    next_report_at = [rng.random() * interval for interval in intervals]
    traffic = Traffic()
    next_config_at, version = CONFIG_INTERVAL_S, 1_000
    for step in range(1, round(DURATION_S / balancer.TIMER_INTERVAL_S)):
        now = step * balancer.TIMER_INTERVAL_S
        if next_config_at <= now:
            next_config_at += CONFIG_INTERVAL_S
            version += 1
            outs = core.configure(routes.Configuration(version, ()))
            traffic.add_sent(outs)
        received = []
        for number, interval in enumerate(intervals):
            if next_report_at[number] <= now:
                next_report_at[number] += interval
                received.append(make_report(number, step + 1, interval))
        began_at = time.process_time_ns()
        for data in received:
            traffic.add_datagram(data)
            core.on_message(now, _decode(data))
        traffic.add_sent(core.on_timer(now))
        traffic.cpu_ns += time.process_time_ns() - began_at
    return make_figures("balancer", fleet, traffic)


def make_agent(fleet: Fleet) -> agent.ForwardingAgent:
    """Returns an agent to whose reports all balancers of a fleet subscribe."""
    core = agent.ForwardingAgent("side-karatau-1", SERVICE, 1, HEARTBEAT_S)
    beat = heartbeats.Heartbeat(
        upstream="i-1",
        born_ms=1,
        sequence=1,
        service=SERVICE,
        address=("10.0.1.1", 8080),
        slots=2,
        draining=False,
        warmup_s=0.0,
    )
    core.on_heartbeat(0.0, beat)
    for number in range(fleet.balancers):
        message = make_subscription(number, interval_s(number, fleet))
        core.on_subscribe(0.0, message)
    return core


def measure_agent(fleet: Fleet) -> Figures:
    """Measures an agent whose balancers renew their subscriptions."""
    core = make_agent(fleet)
    renewal_s = max(
        subscriptions.SUBSCRIBE_INTERVAL_S,
        fleet.agents / subscriptions.MAX_SUBSCRIPTIONS_PER_S,
    )
    rng = random.Random(2)
    next_renewal_at = [rng.random() * renewal_s for _ in range(fleet.balancers)]
    told_share = min(1.0, balancer.CONFIG_SPREAD_AGENTS / fleet.agents)
    next_config_at = CONFIG_INTERVAL_S
    traffic = Traffic()
    for step in range(1, round(DURATION_S / agent.TIMER_INTERVAL_S)):
        now = step * agent.TIMER_INTERVAL_S
        began_at = time.process_time_ns()
        if next_config_at <= now:
            next_config_at += CONFIG_INTERVAL_S
            # Each balancer tells some agents, this one among them.
            next_renewal_at = [
                now if rng.random() < told_share else due_at
                for due_at in next_renewal_at
            ]
        for number, due_at in enumerate(next_renewal_at):
            if due_at <= now:
                next_renewal_at[number] += renewal_s
                message = make_subscription(number, interval_s(number, fleet))
                traffic.add_datagram(_encode(message))
                traffic.add_sent(core.on_subscribe(now, message))
        traffic.add_sent(core.on_timer(now))
        traffic.cpu_ns += time.process_time_ns() - began_at
    return make_figures("agent", fleet, traffic)


def make_figures(role: str, fleet: Fleet, traffic: Traffic) -> Figures:
    """Returns the figures of a daemon from what was counted."""
    return Figures(
        role,
        fleet.balancers,
        fleet.agents,
        traffic.byte_count / DURATION_S,
        100 * traffic.cpu_ns / (1e9 * DURATION_S),
        *intervals_s(fleet),
    )


def exceeded_bounds(rows: list[Figures]) -> list[str]:
    """Returns a line for each bound that the figures exceed."""
    lines = []
    for row in rows:
        where = f"{row.role}, {row.balancers} balancers, {row.agents} agents"
        if row.bytes_per_s > MAX_BYTES_PER_S:
            lines.append(
                f"{where}: {row.bytes_per_s:.0f} B/s, bound {MAX_BYTES_PER_S}"
            )
        if row.core_percent > MAX_CORE_PERCENT:
            lines.append(
                f"{where}: {row.core_percent:.2f}% of a core,"
                f" bound {MAX_CORE_PERCENT}"
            )
    return lines


def main() -> int:
    """Prints the figures; returns 1 if a bound is exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    fleets = QUICK_FLEETS if args.quick else FLEETS
    rows = [
        measure(fleet)
        for fleet in fleets
        for measure in (measure_balancer, measure_agent)
    ]
    columns = {
        "role": "",
        "balancers": "",
        "agents": "",
        "bytes_per_s": ".0f",
        "core_percent": ".2f",
        "local_report_s": ".2f",
        "remote_report_s": ".2f",
    }
    return driver.print_rows(rows, columns, exceeded_bounds(rows), args.json)


if __name__ == "__main__":
    sys.exit(main())
