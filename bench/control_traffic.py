"""Control traffic and its CPU time at a forwarding balancer and at an agent.

    python -m bench.control_traffic [--quick] [--json]

The cores run in virtual time without sockets and without users' flows: one
balancer with all agents, and one agent with all balancers, for 120 s.  Bytes
contain the headers of IP and UDP.  CPU time is that of the cores and of the
codec, not of the kernel.  Bounds, as the users state them for each daemon: 7 KB
a second, sent and received, and 2.3% of a core.
"""

import argparse
import json
import random
import sys
import time

import msgspec

from bench import scale
from crocusmux.core.forward import agent
from crocusmux.core.forward import balancer
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import outputs
from crocusmux.core.forward import report_schedule
from crocusmux.core.forward import reports

# Balancers, agents and failure domains.
FLEETS = ((9, 21, 5), (30, 70, 5), (91, 213, 5), (100, 1_200, 4))
QUICK_FLEETS = (FLEETS[0], FLEETS[-1])
MAX_BYTES_PER_S = 7_000
MAX_CORE_PERCENT = 2.3
DURATION_S = 120.0
HEADER_BYTES = 28
HEARTBEAT_S = 1.2

_encode = msgspec.msgpack.Encoder().encode


class Figures(msgspec.Struct):
    """Figures of one daemon.

    Attributes:
        role: Role of the daemon.
        fleet: Balancers, agents and failure domains.
        bytes_per_s: Control traffic, sent and received, bytes a second.
        core_percent: CPU time, percent of a core.
        local_report_s: Interval of reports in the own failure domain, seconds.
        remote_report_s: Interval of the other reports, seconds.
    """

    role: str
    fleet: tuple[int, int, int]
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
        f"side-karatau-{number}",
        "wheelbook",
        2**32 - 1,
        sequence,
        True,
        2,
        1.25,
        120,
        32.0,
        interval_s,
        1_000,
        "",
    )
    return _encode(report)


def make_subscription(number: int, interval_s: float) -> reports.Subscribe:
    """Returns a balancer's subscription to the reports of an agent."""
    ip = f"10.120.{number // 250}.{number % 250}"
    return reports.Subscribe(
        f"edge-karatau-{number}",
        (ip, 7720),
        1_000,
        f"{ip}:8166",
        2 * DURATION_S,
        interval_s,
    )


def intervals_s(fleet: tuple[int, int, int]) -> tuple[float, float]:
    """Returns the report intervals that a balancer of a fleet asks for."""
    _, agents, domains = fleet
    local = agents // domains
    return report_schedule.report_intervals_s(local, agents - local)


def measure_balancer(fleet: tuple[int, int, int]) -> Figures:
    """Measures a balancer whose agents report as it asks."""
    _, agents, domains = fleet
    local_s, remote_s = intervals_s(fleet)
    core = balancer.ForwardingBalancer(
        "edge-karatau-1",
        "d0",
        ("10.120.0.1", 7720),
        "10.120.0.1:8166",
        random.Random(1),
    )
    decode = msgspec.msgpack.Decoder(reports.Message).decode
    rng = random.Random(2)
    next_report_at = []
    for number in range(agents):
        record = msgspec.structs.replace(
            scale.make_record(number),
            host=f"side-karatau-{number}",
            service="wheelbook",
            failure_domain=f"d{number % domains}",
        )
        core.add_agent(0.0, record)
        interval_s = remote_s if number % domains else local_s
        core.on_message(0.0, decode(make_report(number, 1, interval_s)))
        next_report_at.append(rng.random() * interval_s)
    traffic = Traffic()
    core.on_timer(0.0)
    for step in range(1, round(DURATION_S / balancer.TIMER_INTERVAL_S)):
        now = step * balancer.TIMER_INTERVAL_S
        received = []
        for number in range(agents):
            if next_report_at[number] <= now:
                interval_s = remote_s if number % domains else local_s
                next_report_at[number] += interval_s
                received.append(make_report(number, step + 1, interval_s))
        began_at = time.process_time_ns()
        for data in received:
            traffic.add_datagram(data)
            core.on_message(now, decode(data))
        traffic.add_sent(core.on_timer(now))
        traffic.cpu_ns += time.process_time_ns() - began_at
    return make_figures("balancer", fleet, traffic)


def measure_agent(fleet: tuple[int, int, int]) -> Figures:
    """Measures an agent to whose reports all balancers subscribe."""
    balancers, agents, domains = fleet
    local_s, remote_s = intervals_s(fleet)
    core = agent.ForwardingAgent("side-karatau-1", "wheelbook", 1, HEARTBEAT_S)
    beat = heartbeats.Heartbeat(
        upstream="i-1",
        born_ms=1,
        sequence=1,
        service="wheelbook",
        address=("10.0.1.1", 8080),
        slots=2,
        draining=False,
        warmup_s=0.0,
    )
    core.on_heartbeat(0.0, beat)
    traffic = Traffic()
    # A balancer renews its subscription in this interval.
    renew_s = max(
        balancer.SUBSCRIBE_INTERVAL_S,
        agents / balancer.MAX_SUBSCRIPTIONS_PER_S,
    )
    rng = random.Random(2)
    next_renewal_at = [0.0] * balancers
    for step in range(1, round(DURATION_S / agent.TIMER_INTERVAL_S)):
        now = step * agent.TIMER_INTERVAL_S
        due = [x for x in range(balancers) if next_renewal_at[x] <= now]
        began_at = time.process_time_ns()
        for number in due:
            interval_s = remote_s if number % domains else local_s
            message = make_subscription(number, interval_s)
            traffic.add_datagram(_encode(message))
            traffic.add_sent(core.on_subscribe(now, message))
            first = next_renewal_at[number] == 0.0
            next_renewal_at[number] = now + renew_s * (
                rng.random() if first else 1.0
            )
        traffic.add_sent(core.on_timer(now))
        traffic.cpu_ns += time.process_time_ns() - began_at
    return make_figures("agent", fleet, traffic)


def make_figures(
    role: str, fleet: tuple[int, int, int], traffic: Traffic
) -> Figures:
    """Returns the figures of a daemon from what was counted."""
    return Figures(
        role,
        fleet,
        traffic.byte_count / DURATION_S,
        100 * traffic.cpu_ns / (1e9 * DURATION_S),
        *intervals_s(fleet),
    )


def exceeded_bounds(rows: list[Figures]) -> list[str]:
    """Returns a line for each bound that the figures exceed."""
    lines = []
    for row in rows:
        where = f"{row.role}, {row.fleet[0]} and {row.fleet[1]} daemons"
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
    exceeded = exceeded_bounds(rows)
    if args.json:
        figures = [msgspec.to_builtins(row) for row in rows]
        print(json.dumps({"figures": figures, "exceeded": exceeded}))
        return 1 if exceeded else 0
    print(
        f"{'role':10}{'balancers':>10}{'agents':>8}{'B/s':>8}{'% core':>8}"
        f"{'own s':>8}{'other s':>9}"
    )
    for row in rows:
        print(
            f"{row.role:10}{row.fleet[0]:10}{row.fleet[1]:8}"
            f"{row.bytes_per_s:8.0f}{row.core_percent:8.2f}"
            f"{row.local_report_s:8.2f}{row.remote_report_s:9.2f}"
        )
    for line in exceeded:
        print(f"exceeded: {line}")
    return 1 if exceeded else 0


if __name__ == "__main__":
    sys.exit(main())
