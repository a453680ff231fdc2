"""CPU time of the forwarding balancer, with and without its event log.

    python -m bench.forward [--quick] [--json]

Each figure is a mean over a run without sockets: decode, decide, encode.  Log
lines are formatted and written to the null device.
"""

import argparse
import json
import logging
import os
import random
import sys
import time

from crocusmux import logs
from crocusmux import metrics
from crocusmux.core.forward import balancer
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import upstreams
from crocusmux.platform import packets

AGENTS = 12
FLOWS = 20_000
QUICK_FLOWS = 2_000
SEGMENTS_PER_FLOW = 5
SYN, ACK = 2, 64
# 200 new flows per second, the most that the log's rate limit allows.
NEW_FLOW_INTERVAL_S = 0.005
ROUTE = ("198.18.0.1", 443)


def packet(number: int, flags: int, ack: int) -> bytes:
    """Returns a packet from the caller of flow ``number``."""
    caller = (0x64400000 + number // 30_000).to_bytes(4, "big")
    port = 1024 + number % 30_000
    route = routes.encode_route_address(ROUTE)
    return packets.HEADER.pack(
        1, ack, 0, 443, route[:4], caller, port, 0, 0, flags, 0
    )


def make_core() -> balancer.ForwardingBalancer:
    """Returns a balancer core whose agents all accept flows."""
    core = balancer.ForwardingBalancer(
        "edge-1", "abay", ("10.0.0.1", 7720), "", random.Random(1)
    )
    route = routes.Route("r", ROUTE, (("rounds", 1),), 2.0, 0.2, 1, False)
    core.configure(routes.Configuration(1, (route,)))
    for number in range(AGENTS):
        ip = f"10.0.1.{number}"
        record = upstreams.AgentRecord(
            f"side-{number}", "rounds", "abay", (ip, 8172), (ip, 7720)
        )
        core.add_agent(0.0, record)
    return core


def report_all(
    core: balancer.ForwardingBalancer, now: float, sequence: int
) -> None:
    """Delivers a load report of each agent, so that none is silent."""
    for number in range(AGENTS):
        report = reports.LoadReport(
            f"side-{number}",
            "rounds",
            1,
            sequence,
            True,
            2,
            0.5,
            10,
            30.0,
            0.25,
            1,
            "",
        )
        core.on_message(now, report)


def run(count: int, logged: bool) -> dict[str, float]:
    """Returns the CPU time of a new flow and of a later segment, in us."""
    core, now = make_core(), 0.0
    recorder = metrics.Metrics() if logged else None
    log = logs.make_event_logger(lambda: now) if logged else None

    def execute(output_list: list[outputs.Output]) -> None:
        for output in output_list:
            if isinstance(output, outputs.ToAgent):
                packets.encode_segment(
                    output.segment, output.service_tag, output.mark
                )
            elif recorder is None or log is None:
                continue
            elif isinstance(output, outputs.Event):
                recorder.count_event(output.what)
                log(output)
            elif isinstance(output, outputs.Timing):
                recorder.observe_duration(output)

    spent = {SYN: 0.0, ACK: 0.0}
    for number in range(count):
        now = number * NEW_FLOW_INTERVAL_S
        if number % 20 == 0:
            report_all(core, now, number + 1)
        for flags in (SYN, *[ACK] * SEGMENTS_PER_FLOW):
            data = packet(number, flags, 5001)
            begin = time.process_time()
            execute(core.on_segment(now, packets.decode_from_caller(data)))
            spent[flags] += time.process_time() - begin
    return {
        "new_flow_us": spent[SYN] / count * 1e6,
        "segment_us": spent[ACK] / count / SEGMENTS_PER_FLOW * 1e6,
    }


def main() -> int:
    """Prints figures of both variants and their ratios; returns 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    count = QUICK_FLOWS if args.quick else FLOWS
    handler = logs.BufferedHandler(os.open(os.devnull, os.O_WRONLY))
    handler.setFormatter(logging.Formatter(logs.FORMAT))
    logging.getLogger().addHandler(handler)
    logging.getLogger().setLevel(logging.INFO)
    run(QUICK_FLOWS, True)
    plain, logged = run(count, False), run(count, True)
    figures = {f"plain_{name}": value for name, value in plain.items()}
    figures |= {f"logged_{name}": value for name, value in logged.items()}
    for name, value in plain.items():
        figures[f"ratio_{name.removesuffix('_us')}"] = logged[name] / value
    if args.json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:24}{value:10.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
