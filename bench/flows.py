"""Measures flows broken by planned changes and crashes, and chaos violations.

The baselines "hash only" and "previous owner" are evaluated on the same flows,
changes and slot tables as the product, in the same run.
"""

import functools
import random
import time
import tracemalloc

from bench import chaos
from bench import driver
from bench import fleet
from crocusmux import messages
from crocusmux.core.flows import slots

HOSTS = 8
HASH_SLOTS = 128
SUSPICION_DELAY_S = 0.8
CHAOS_ACTIONS = 400


class PlannedChangeRun:
    """Run of long flows through planned changes, for one seed.

    Attributes:
        broken: Flows broken by the product.
        hash_only: Flows that routing to the slot's owner alone breaks.
        previous_owner: Flows that break if the owner asks only its
            predecessor.
    """

    def __init__(self, seed: int, flows: int) -> None:
        self.drv = driver.Driver(seed)
        served = {f"h{i}": fleet.SERVICES for i in range(HOSTS)}
        self.fleet = fleet.Fleet(
            self.drv, served, hash_slots=HASH_SLOTS, spread_s=2.0
        )
        self.drv.run(1001.0)
        self.flows = [
            self.fleet.new_udp("rounds", "feed", 2000 + i) for i in range(flows)
        ]
        self.packet_round = 0
        self.broken: set[bytes] = set()
        self.hash_only: set[bytes] = set()
        self.previous_owner: set[bytes] = set()
        self.tables = [self.fleet.balancer_tables[0]["rounds"]]
        self.first_table = self.tables[0]
        self.send()
        self.holders = {c.flow: c.holder for c in self.flows}

    def send(self) -> None:
        """Sends a packet of each flow through a random balancer."""
        payload = b"%d" % self.packet_round
        self.packet_round += 1
        for caller in self.flows:
            caller.balancer = self.drv.rng.randrange(2)
            delay = self.drv.rng.uniform(0, 3.0)
            send = functools.partial(self.fleet.send, caller, payload)
            self.drv.after(delay, send)
        self.drv.run(self.drv.now + 4.0)

    def count_misrouted(self) -> None:
        """Records the flows whose last packet did not reach their holder."""
        payload = b"%d" % (self.packet_round - 1)
        host_by_work = self.fleet.host_by_work
        table = self.fleet.balancer_tables[0]["rounds"]
        if table is not self.tables[-1]:
            self.tables.append(table)
        for caller in self.flows:
            flow = caller.flow
            if host_by_work.get((flow, payload)) != self.holders[flow]:
                self.broken.add(flow)
            slot = slots.slot_of(flow, HASH_SLOTS)
            first_owner = self.first_table.owner(slot)
            if table.owner(slot) != first_owner:
                self.hash_only.add(flow)
                if self.tables[-2].owner(slot) != first_owner:
                    self.previous_owner.add(flow)

    def run(self, changes: int) -> None:
        """Applies planned changes, and sends packets during each change."""
        for i in range(changes):
            kind = i % 4
            if kind == 0:
                self.fleet.start(f"n{i}", fleet.SERVICES)
            elif kind in (1, 2):
                ready = [
                    m.host
                    for m in self.fleet.members["rounds"].values()
                    if m.upstreams[0].state == "ready"
                ]
                if len(ready) > 3:
                    host = self.drv.rng.choice(ready)
                    self.fleet.set_state(host, "draining")
            self.fleet.publish("rounds")
            self.send()
            self.count_misrouted()

    def kill_agent(self) -> tuple[int, int]:
        """Kills an agent; returns its flows, and flows broken elsewhere."""
        host = "h1"
        flows_on_host = {
            f for f, holder in self.holders.items() if holder == host
        }
        self.fleet.crash(host)
        self.drv.after(SUSPICION_DELAY_S, lambda: self.fleet.suspect(host))
        self.drv.run(self.drv.now + 2.0)
        self.broken.clear()
        self.send()
        self.count_misrouted()
        return len(flows_on_host), len(self.broken - flows_on_host)


def measure_recovery(seed: int) -> tuple[float, float]:
    """Measures how long a dead owner's slots are unserved, platform down.

    Returns:
        Seconds from the crash until the last flow is served, for long and
        idempotent flows and for non-idempotent ones.
    """
    drv = driver.Driver(seed)
    served = {f"h{i}": fleet.SERVICES for i in range(HOSTS)}
    simulated = fleet.Fleet(drv, served, hash_slots=HASH_SLOTS)
    # By then all members are older than the retransmission window.
    drv.run(1040.0)
    table = simulated.balancer_tables[0]["rounds"]
    flows = [
        simulated.new_udp("rounds", work, 4000 + i)
        for i in range(300)
        for work in ("feed", "lookup", "booking")
    ]
    affected_flows = [
        c
        for c in flows
        if table.owner(slots.slot_of(c.flow, HASH_SLOTS)) == "h1"
    ]
    killed_at = drv.now
    simulated.crash("h1")
    drv.after(SUSPICION_DELAY_S, lambda: simulated.suspect("h1"))
    served_after_s = {"idempotent": 0.0, "booking": 0.0}
    unserved_flows = list(affected_flows)
    while unserved_flows and drv.now < killed_at + 60:
        for caller in unserved_flows:
            simulated.send(caller, b"0")
        drv.run(drv.now + 0.05)
        for caller in unserved_flows:
            if caller.holder:
                kind = (
                    "booking"
                    if caller.work_class == "booking"
                    else "idempotent"
                )
                served_after_s[kind] = drv.now - killed_at
        unserved_flows = [c for c in unserved_flows if not c.holder]
    return served_after_s["idempotent"], served_after_s["booking"]


def measure_core(count: int) -> dict[str, float]:
    """Returns the agent core's time per packet and memory per flow."""
    simulated = fleet.Fleet(
        driver.Driver(1), {"h0": ("rounds",)}, hash_slots=16
    )
    simulated.drv.run(1001.0)
    core = simulated.procs["h0"].core
    key = slots.address_key("rounds", "feed")
    service = slots.service_key("rounds")
    rng = random.Random(2)
    sender = ("10.9.0.0", 7000)
    flows = [slots.udp_flow_id(key, ("192.0.2.1", i)) for i in range(count)]
    packets = [
        messages.Packet(service, flow, 1, 0, 0, "", b"x") for flow in flows
    ]
    started_at = time.perf_counter()
    for packet in packets:
        core.on_message(1002.0, sender, packet)
    new_flow_s = (time.perf_counter() - started_at) / count
    rng.shuffle(packets)
    started_at = time.perf_counter()
    for packet in packets:
        core.on_message(1002.0, sender, packet)
    established_s = (time.perf_counter() - started_at) / count
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for i in range(2000):
        flow = slots.udp_flow_id(key, ("192.0.2.2", i))
        packet = messages.Packet(service, flow, 1, 0, 0, "", b"x")
        core.on_message(1003.0, sender, packet)
    size = (tracemalloc.get_traced_memory()[0] - before) / 2000
    tracemalloc.stop()
    return {
        "core_new_flow_us": round(new_flow_s * 1e6, 2),
        "core_established_us": round(established_s * 1e6, 2),
        "bytes_per_flow": round(size),
    }


def main() -> None:
    """Runs all measurements and prints their figures."""
    args = driver.parse_args(__doc__ or "", 20)
    flows = 500 if args.quick else 2000
    changes = 8 if args.quick else 40
    seeds = min(args.seeds, 3) if args.quick else args.seeds
    target_events = 60_000 if args.quick else 1_000_000
    total = dict.fromkeys(
        ("flows", "broken", "hash_only", "previous", "dead", "elsewhere"), 0
    )
    hops = packets = 0
    for seed in range(seeds):
        planned_run = PlannedChangeRun(seed, flows)
        planned_run.run(changes)
        total["flows"] += flows
        total["broken"] += len(planned_run.broken)
        total["hash_only"] += len(planned_run.hash_only)
        total["previous"] += len(planned_run.previous_owner)
        hops += planned_run.fleet.forwarded_packets
        packets += planned_run.fleet.sent_packets
        death_run = PlannedChangeRun(seed + 1000, flows)
        dead, elsewhere = death_run.kill_agent()
        total["dead"] += dead
        total["elsewhere"] += elsewhere
    recovery_times = [measure_recovery(seed) for seed in range(seeds)]
    events, seed = 0, 0
    violations: dict[str, int] = {}
    while events < target_events:
        chaos_run = chaos.run(seed, CHAOS_ACTIONS)
        for name, value in chaos_run.violations().items():
            violations[name] = violations.get(name, 0) + value
        events += chaos_run.fleet.input_count
        seed += 1
    driver.print_figures(
        args,
        {
            "seeds": seeds,
            "flows": total["flows"],
            "changes_per_flow": changes,
            "broken_planned": total["broken"],
            "hash_only_broken": total["hash_only"],
            "previous_owner_broken": total["previous"],
            "flows_on_dead_host": total["dead"],
            "broken_elsewhere_on_death": total["elsewhere"],
            "extra_hops_per_packet": round(hops / max(packets, 1), 3),
            "served_again_s_idempotent": round(
                max(s[0] for s in recovery_times), 2
            ),
            "served_again_s_non_idempotent": round(
                max(s[1] for s in recovery_times), 2
            ),
            "chaos_events": events,
            "chaos_seeds": seed,
            **violations,
            **measure_core(5_000 if args.quick else 50_000),
        },
    )


if __name__ == "__main__":
    main()
