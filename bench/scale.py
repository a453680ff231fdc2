"""CPU time of a forwarding balancer by the number of agents of one service.

    python -m bench.scale [--quick] [--json]

The core runs without sockets.  The agents report in turn, as often as the
balancer asks a fleet of this size to.  Bounds: a new
flow, and the first segment of an unknown flow, at 1,000 agents at most 1.5
times and at 12,000 at most 2 times the time at 12 agents; at most 5 ms for the
first flow after one agent has joined and another has left.
"""

import argparse
import json
import random
import statistics
import sys
import time

from crocusmux.core.forward import balancer
from crocusmux.core.forward import report_schedule
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import upstreams
from crocusmux.platform import packets

SIZES = (12, 109, 1_000, 12_000)
QUICK_SIZES = (12, 1_000)
MAX_RATIOS = {1_000: 1.5, 12_000: 2.0}
MAX_CHANGE_MS = 5.0
FAILURE_DOMAINS = ("d1", "d2", "d3", "d4", "d5")
FLOWS = 1_000
CHANGES = 50
ROUTE = ("198.18.0.1", 443)
SYN, ACK = 2, 64
# Interval between new flows; short, so that the reports get little older in a
# run.
FLOW_INTERVAL_S = 0.0001


def make_record(number: int) -> upstreams.AgentRecord:
    """Returns the record of an agent, in one of the failure domains."""
    ip = f"10.{number // 62_500}.{number // 250 % 250}.{number % 250}"
    domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
    return upstreams.AgentRecord(
        f"host-{number}", "rounds", domain, (ip, 8172), (ip, 7720)
    )


def make_core(size: int) -> balancer.ForwardingBalancer:
    """Returns a balancer that has a report of each agent, of various ages."""
    core = balancer.ForwardingBalancer(
        "edge-1", "d1", ("10.255.0.1", 7720), "", random.Random(1)
    )
    route = routes.Route("r", ROUTE, (("rounds", 1),), 2.0, 0.2, 1, False)
    core.configure(routes.Configuration(1, (route,)))
    rng = random.Random(2)
    local = len(range(0, size, len(FAILURE_DOMAINS)))
    local_s, remote_s = report_schedule.report_intervals_s(local, size - local)
    for number in range(size):
        interval_s = remote_s if number % len(FAILURE_DOMAINS) else local_s
        core.add_agent(0.0, make_record(number))
        report = make_report(number, interval_s)
        core.on_message(-rng.random() * interval_s, report)
    return core


def make_report(number: int, interval_s: float) -> reports.LoadReport:
    """Returns a report of an agent that accepts new flows."""
    return reports.LoadReport(
        host=f"host-{number}",
        service="rounds",
        incarnation=1,
        sequence=1,
        accepting=True,
        slots=2,
        in_progress=0.5,
        flows=10,
        service_ms=30.0,
        interval_s=interval_s,
        config_version=1,
        config_source="",
    )


def make_packet(number: int, flags: int) -> bytes:
    """Returns a packet of the caller of flow ``number``."""
    caller = (0x64400000 + number // 30_000).to_bytes(4, "big")
    port = 1024 + number % 30_000
    route = routes.encode_route_address(ROUTE)
    ack = 5001 if flags == ACK else 0
    return packets.HEADER.pack(
        1, ack, 0, 443, route[:4], caller, port, 0, 0, flags, 0
    )


def time_flows(size: int, flags: int) -> float:
    """Returns the median CPU time of the first segment of a flow, us."""
    core = make_core(size)
    times = []
    for number in range(FLOWS):
        data = make_packet(number, flags)
        began_at = time.process_time_ns()
        seg = packets.decode_from_caller(data)
        core.on_segment(number * FLOW_INTERVAL_S, seg)
        times.append(time.process_time_ns() - began_at)
    return statistics.median(times) / 1000


def time_changes(size: int) -> float:
    """Returns the median CPU time of a change of two agents, ms."""
    core = make_core(size)
    seg = packets.decode_from_caller(make_packet(FLOWS, SYN))
    core.on_segment(0.0, seg)
    times = []
    for number in range(CHANGES):
        seg = packets.decode_from_caller(make_packet(number, SYN))
        began_at = time.process_time_ns()
        core.remove_agent(f"host-{number}")
        core.add_agent(0.0, make_record(size + number))
        core.on_segment(0.0, seg)
        times.append(time.process_time_ns() - began_at)
    return statistics.median(times) / 1e6


def measure(sizes: tuple[int, ...]) -> dict[int, dict[str, float]]:
    """Returns the figures of each size."""
    return {
        size: {
            "new_flow_us": time_flows(size, SYN),
            "unknown_flow_us": time_flows(size, ACK),
            "change_ms": time_changes(size),
        }
        for size in sizes
    }


def exceeded_bounds(figures: dict[int, dict[str, float]]) -> list[str]:
    """Returns a line for each bound that the figures exceed."""
    lines = []
    for size, row in figures.items():
        if row["change_ms"] > MAX_CHANGE_MS:
            lines.append(f"change_ms at {size}: above {MAX_CHANGE_MS}")
        for name in ("new_flow_us", "unknown_flow_us"):
            ratio = row[name] / figures[SIZES[0]][name]
            if size in MAX_RATIOS and ratio > MAX_RATIOS[size]:
                lines.append(
                    f"{name} at {size}: {ratio:.2f} times the time at "
                    f"{SIZES[0]}, bound {MAX_RATIOS[size]}"
                )
    return lines


def main() -> int:
    """Prints the figures; returns 1 if a bound is exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    figures = measure(QUICK_SIZES if args.quick else SIZES)
    exceeded = exceeded_bounds(figures)
    if args.json:
        print(json.dumps({"figures": figures, "exceeded": exceeded}))
        return 1 if exceeded else 0
    print(
        f"{'agents':>8}{'new flow us':>14}{'unknown us':>14}{'change ms':>12}"
    )
    for size, row in figures.items():
        print(
            f"{size:8}{row['new_flow_us']:14.1f}"
            f"{row['unknown_flow_us']:14.1f}{row['change_ms']:12.2f}"
        )
    for line in exceeded:
        print(f"exceeded: {line}")
    return 1 if exceeded else 0


if __name__ == "__main__":
    sys.exit(main())
