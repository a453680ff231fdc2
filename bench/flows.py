"""Flows broken by planned changes and deaths, and runs of at-most-once work.

Hash only and previous-owner chaining are judged on the same flows, changes
and slot tables as the product, in the same run.
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
SUSPECTED_AFTER_S = 0.8
CHAOS_ACTIONS = 400


class Planned:
    """Long flows through planned changes, for one seed.

    Attributes:
        broken: Flows that the product broke.
        hash_only: Flows that routing by the slot's owner alone breaks.
        previous: Flows that chaining to the previous owner breaks.
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
        self.round = 0
        self.broken: set[bytes] = set()
        self.hash_only: set[bytes] = set()
        self.previous: set[bytes] = set()
        self.tables = [self.fleet.balancer_tables[0]["rounds"]]
        self.first = self.tables[0]
        self.send()
        self.homes = {c.flow: c.holder for c in self.flows}

    def send(self) -> None:
        """Sends one packet of each flow through any balancer."""
        payload = b"%d" % self.round
        self.round += 1
        for caller in self.flows:
            caller.balancer = self.drv.rng.randrange(2)
            delay = self.drv.rng.uniform(0, 3.0)
            send = functools.partial(self.fleet.send, caller, payload)
            self.drv.after(delay, send)
        self.drv.run(self.drv.now + 4.0)

    def judge(self) -> None:
        """Counts the flows whose last packet did not reach their holder."""
        payload = b"%d" % (self.round - 1)
        where = self.fleet.where
        table = self.fleet.balancer_tables[0]["rounds"]
        if table is not self.tables[-1]:
            self.tables.append(table)
        for caller in self.flows:
            flow = caller.flow
            if where.get((flow, payload)) != self.homes[flow]:
                self.broken.add(flow)
            slot = slots.slot_of(flow, HASH_SLOTS)
            home = self.first.owner(slot)
            if table.owner(slot) != home:
                self.hash_only.add(flow)
                if self.tables[-2].owner(slot) != home:
                    self.previous.add(flow)

    def run(self, changes: int) -> None:
        """Applies planned changes, with packets through each of them."""
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
            self.judge()

    def die(self) -> tuple[int, int]:
        """Kills an agent; returns flows lost on it, and lost elsewhere."""
        host = "h1"
        dead = {f for f, home in self.homes.items() if home == host}
        self.fleet.crash(host)
        self.drv.after(SUSPECTED_AFTER_S, lambda: self.fleet.suspect(host))
        self.drv.run(self.drv.now + 2.0)
        self.broken.clear()
        self.send()
        self.judge()
        return len(dead), len(self.broken - dead)


def time_to_serve(seed: int) -> tuple[float, float]:
    """Returns when a dead owner's slots serve again, platform down.

    Returns:
        Seconds from the death for long and idempotent, and for
        non-idempotent flows; the last flow served counts.
    """
    drv = driver.Driver(seed)
    served = {f"h{i}": fleet.SERVICES for i in range(HOSTS)}
    f = fleet.Fleet(drv, served, hash_slots=HASH_SLOTS)
    # All members have been there for the whole retransmit window.
    drv.run(1040.0)
    table = f.balancer_tables[0]["rounds"]
    flows = [
        f.new_udp("rounds", work, 4000 + i)
        for i in range(300)
        for work in ("feed", "lookup", "booking")
    ]
    hit = [
        c
        for c in flows
        if table.owner(slots.slot_of(c.flow, HASH_SLOTS)) == "h1"
    ]
    began = drv.now
    f.crash("h1")
    drv.after(SUSPECTED_AFTER_S, lambda: f.suspect("h1"))
    at = {"idempotent": 0.0, "booking": 0.0}
    waiting = list(hit)
    while waiting and drv.now < began + 60:
        for caller in waiting:
            f.send(caller, b"0")
        drv.run(drv.now + 0.05)
        for caller in waiting:
            if caller.holder:
                kind = "booking" if caller.work == "booking" else "idempotent"
                at[kind] = drv.now - began
        waiting = [c for c in waiting if not c.holder]
    return at["idempotent"], at["booking"]


def core_cost(count: int) -> dict[str, float]:
    """Returns the core's time a packet and its memory a flow."""
    f = fleet.Fleet(driver.Driver(1), {"h0": ("rounds",)}, hash_slots=16)
    f.drv.run(1001.0)
    core = f.procs["h0"].core
    key = slots.address_key("rounds", "feed")
    service = slots.service_key("rounds")
    rng = random.Random(2)
    sender = ("10.9.0.0", 7000)
    flows = [slots.udp_flow_id(key, ("192.0.2.1", i)) for i in range(count)]
    packets = [
        messages.Packet(service, flow, 1, 0, 0, "", b"x") for flow in flows
    ]
    began = time.perf_counter()
    for packet in packets:
        core.on_message(1002.0, sender, packet)
    new = (time.perf_counter() - began) / count
    rng.shuffle(packets)
    began = time.perf_counter()
    for packet in packets:
        core.on_message(1002.0, sender, packet)
    known = (time.perf_counter() - began) / count
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for i in range(2000):
        flow = slots.udp_flow_id(key, ("192.0.2.2", i))
        packet = messages.Packet(service, flow, 1, 0, 0, "", b"x")
        core.on_message(1003.0, sender, packet)
    size = (tracemalloc.get_traced_memory()[0] - before) / 2000
    tracemalloc.stop()
    return {
        "core_new_flow_us": round(new * 1e6, 2),
        "core_established_us": round(known * 1e6, 2),
        "bytes_per_flow": round(size),
    }


def main() -> None:
    """Runs the measurement."""
    args = driver.parse_args(__doc__ or "", 20)
    flows = 500 if args.quick else 2000
    changes = 8 if args.quick else 40
    seeds = min(args.seeds, 3) if args.quick else args.seeds
    target = 60_000 if args.quick else 1_000_000
    total = dict.fromkeys(
        ("flows", "broken", "hash_only", "previous", "dead", "elsewhere"), 0
    )
    hops = packets = 0
    for seed in range(seeds):
        planned = Planned(seed, flows)
        planned.run(changes)
        total["flows"] += flows
        total["broken"] += len(planned.broken)
        total["hash_only"] += len(planned.hash_only)
        total["previous"] += len(planned.previous)
        hops += planned.fleet.hops
        packets += planned.fleet.packets
        death = Planned(seed + 1000, flows)
        dead, elsewhere = death.die()
        total["dead"] += dead
        total["elsewhere"] += elsewhere
    served = [time_to_serve(seed) for seed in range(seeds)]
    events, seed = 0, 0
    found: dict[str, int] = {}
    while events < target:
        run = chaos.run(seed, CHAOS_ACTIONS)
        for name, value in run.violations().items():
            found[name] = found.get(name, 0) + value
        events += run.fleet.events
        seed += 1
    driver.report(
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
            "served_again_s_idempotent": round(max(s[0] for s in served), 2),
            "served_again_s_non_idempotent": round(
                max(s[1] for s in served), 2
            ),
            "chaos_events": events,
            "chaos_seeds": seed,
            **found,
            **core_cost(5_000 if args.quick else 50_000),
        },
    )


if __name__ == "__main__":
    main()
