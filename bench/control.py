"""Control plane bench: time in force, bytes, CPU time, platform calls, faults.

Many instances of the real gossip and membership cores and of the message codec
run in one process in virtual time.  Bytes cover both directions of a daemon
with 48 bytes of framing and headers per message.  CPU time is that of cores
and codec, without sockets.
"""

from collections import Counter
from collections.abc import Callable
import gc
import random
import statistics
from typing import Any

from bench import control_fleet as fleet
from bench import driver
from bench import faults
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.control import membership
from crocusmux.core.control import membership_messages

DAY_S = 86_400
TARGET_DAEMONS = 1_300  # from docs/design.md
CHANGES_PER_DAY = 4_900
RESTARTS_PER_DAY = 1_900
SERVICES = 2_400
ENDPOINTS = 12_000
DOMAINS = (("fd0", "r0"), ("fd1", "r0"), ("fd2", "r1"), ("fd3", "r1"))
DAEMONS_PER_BALANCER = 13


class FleetRun:
    """Run of a fleet that starts with its configuration loaded."""

    def __init__(
        self, seed: int, daemons: int, share: float, make: Any = None
    ) -> None:
        """Starts the fleet.

        Args:
            seed: Seed of the run.
            daemons: Number of daemons.
            share: Share of the target's services and endpoints.
            make: Makes a daemon's gossip core; by default the product's.
        """
        self.drv = driver.Driver(seed)
        self.fleet = fleet.Fleet(self.drv)
        self.fleet.make_gossip = make
        self.rng = random.Random(seed)
        self.services = max(
            int(SERVICES * share * daemons / TARGET_DAEMONS), 20
        )
        self.hosts = [f"h{index:04d}" for index in range(daemons)]
        agents = [h for h in self.hosts if not _is_balancer(h)]
        per_host = max(
            round(ENDPOINTS * share * daemons / TARGET_DAEMONS / len(agents)), 1
        )
        order = [f"s{i:04d}" for i in range(self.services)]
        self.services_by_host = {
            host: [
                order[(index * per_host + k) * 7 % self.services]
                for k in range(per_host)
            ]
            for index, host in enumerate(agents)
        }
        # Time of each change, and seconds until in force by daemon's id().
        self.in_force_times: dict[str, tuple[float, dict[int, float]]] = {}
        self._pending_changes: dict[str, tuple[int, float, str]] = {}
        self.fleet.on_changed = self._record_in_force
        self._load()

    def _load(self) -> None:
        """Writes the objects and starts all daemons with a copy of them."""
        platform = self.fleet.platform
        members: dict[str, list[objects.Member]] = {}
        incarnation = int(self.drv.now * 1000) << 20
        for host in self.services_by_host:
            record = self.make_record(host, incarnation, "ready")
            for service, member in membership.members_by_service(
                record
            ).items():
                members.setdefault(service, []).append(member)
        for index in range(self.services):
            name = f"s{index:04d}"
            service_object = objects.Service(
                name=name,
                addresses=(
                    objects.ServiceAddress(
                        name="main", protocol="tcp", port=1000, work_class="w"
                    ),
                ),
            )
            platform.write(
                f"services/{name}", objects.encode(service_object), 0
            )
            membership_object = objects.Membership(
                service=name, members=tuple(members.get(name, ()))
            )
            platform.write(
                f"memberships/{name}", objects.encode(membership_object), 0
            )
        body = objects.encode(objects.PresetInForce(preset=_preset("p0")))
        platform.write(objects.IN_FORCE_KEY, body, 0)
        platform.log.clear()
        # All daemons start with the same objects, so they share the decoded
        # ones: decoding each 1,300 times would cost time and memory.
        loaded = list(platform.objects.values())
        decoded = {v.key: objects.decode(v) for v in loaded}
        decode = objects.decode
        objects.decode = lambda versioned: decoded[versioned.key]
        gc.disable()
        try:
            for host in self.hosts:
                store = config_store.ConfigStore()
                for versioned in loaded:
                    store.apply_if_newer(versioned)
                self.start(host, store, incarnation)
        finally:
            objects.decode = decode
        gc.enable()
        gc.freeze()

    def make_record(
        self, host: str, incarnation: int, state: objects.UpstreamState
    ) -> membership_messages.HostRecord:
        """Returns a host record with all upstreams in a state."""
        domain, _ = _domain_and_region(host)
        return membership_messages.HostRecord(
            host=host,
            failure_domain=domain,
            agent="10.11.12.13:7001",
            relay="10.11.12.13:7002",
            control=f"tcp://{host}:7000",
            incarnation=incarnation,
            upstreams=tuple(
                membership_messages.ServiceUpstream(
                    service,
                    objects.Upstream(
                        name=f"{host}-{index}",
                        address=f"10.11.12.13:{9000 + index}",
                        state=state,
                    ),
                )
                for index, service in enumerate(self.services_by_host[host])
            ),
        )

    def start(
        self,
        host: str,
        store: config_store.ConfigStore | None = None,
        incarnation: int = 0,
    ) -> fleet.Node:
        """Starts the daemon of a host."""
        domain, region = _domain_and_region(host)
        role = "balancer" if _is_balancer(host) else "agent"
        return self.fleet.add(
            host, role, domain, region, store, incarnation=incarnation
        )

    def running_node(self, host: str) -> fleet.Node | None:
        """Returns the running daemon of a host, or None."""
        return self.fleet.nodes.get(f"tcp://{host}:7000")

    def restart(self, host: str) -> None:
        """Stops a host as planned and starts it again with an empty store."""
        node = self.running_node(host)
        if node is None:
            return
        drv = self.drv
        if _is_balancer(host):
            self.fleet.stop(node)
            drv.after(5.0, lambda: self.start(host))
            return
        node.record = self.make_record(host, node.row.incarnation, "draining")
        node.act(lambda: node.plane.announce(drv.now, node.record))  # type: ignore[arg-type]
        node.act(lambda: node.plane.drain(drv.now))
        self._announce_after(node, 5.0, "gone")
        drv.after(8.0, lambda: self.fleet.stop(node))

        def start_again() -> None:
            fresh = self.start(host)
            self._announce_after(fresh, 1.0, "joining")
            self._announce_after(fresh, 3.0, "warming")
            self._announce_after(fresh, 13.0, "ready")

        drv.after(12.0, start_again)

    def _announce_after(
        self, node: fleet.Node, delay: float, state: objects.UpstreamState
    ) -> None:
        def announce() -> None:
            record = self.make_record(
                node.row.name, node.row.incarnation, state
            )
            node.act(lambda: node.plane.announce(self.drv.now, record))

        self.drv.after(delay, announce)

    def write_change(self, kind: str) -> None:
        """Writes a service (80% of calls) or the preset in force."""
        platform = self.fleet.platform
        key = objects.IN_FORCE_KEY
        if self.rng.random() < 0.8:
            key = f"services/s{self.rng.randrange(self.services):04d}"
        known = platform.objects[key]
        body = known.body
        if key == objects.IN_FORCE_KEY:
            preset = _preset(f"p{platform.revision}")
            body = objects.encode(objects.PresetInForce(preset=preset))
        platform.write(key, body, known.version)
        version = platform.revision
        self._pending_changes[key] = (version, self.drv.now, kind)
        if kind != "steady":
            self.in_force_times[f"{key}@{version}"] = (self.drv.now, {})

    def _record_in_force(self, node: fleet.Node, keys: tuple[str, ...]) -> None:
        for key in keys:
            pending = self._pending_changes.get(key)
            if not pending or node.started_at > pending[1]:
                continue
            recorded = self.in_force_times.get(f"{key}@{pending[0]}")
            if recorded and node.store.version(key) >= pending[0]:
                elapsed_s = self.drv.now - pending[1]
                recorded[1].setdefault(id(node), elapsed_s)

    def totals(self) -> Counter[str]:
        """Returns bytes, messages and core time of all daemons together."""
        sums: Counter[str] = Counter()
        for node in self.fleet.all_nodes:
            sums["bytes"] += node.sent_bytes + node.received_bytes
            sums["messages"] += node.sent_messages + node.received_messages
            sums["cpu_us"] += int(node.core_time_s * 1e6)
        return sums

    def run_steady(self, seconds: float) -> dict[str, float]:
        """Runs the changes and restarts of an ordinary day.

        Returns:
            Rates per daemon, and calls per second to the platform.
        """
        drv, platform = self.drv, self.fleet.platform
        share = len(self.hosts) / TARGET_DAEMONS
        restarts = max(round(RESTARTS_PER_DAY * share * seconds / DAY_S), 1)
        changes = max(round(CHANGES_PER_DAY * share * seconds / DAY_S), 1)
        restarted_hosts = set()
        for _ in range(restarts):
            host = self.rng.choice(self.hosts)
            if host not in restarted_hosts:
                restarted_hosts.add(host)
                when = self.rng.uniform(0, seconds - 30)
                drv.after(when, lambda host=host: self.restart(host))  # type: ignore[misc]
        for _ in range(changes):
            when = self.rng.uniform(0, seconds)
            drv.after(when, lambda: self.write_change("steady"))
        before, first_second = self.totals(), int(drv.now)
        bytes_before = {
            id(n): n.sent_bytes + n.received_bytes for n in self.fleet.all_nodes
        }
        drv.run(drv.now + seconds)
        after = self.totals()
        rates = {
            key: (after[key] - before[key]) / seconds / len(self.hosts)
            for key in after
        }
        bytes_per_s = [
            (n.sent_bytes + n.received_bytes - bytes_before[id(n)]) / seconds
            for n in self.fleet.all_nodes
            if id(n) in bytes_before and n.up
        ]
        span = range(first_second, int(drv.now))
        rates["busiest_bytes"] = max(bytes_per_s)
        rates["writes"] = max(platform.writes[s] for s in span)
        rates["reads"] = max(platform.reads[s] for s in span)
        rates["writes_mean"] = sum(platform.writes[s] for s in span) / seconds
        rates["reads_mean"] = sum(platform.reads[s] for s in span) / seconds
        return rates

    def measure_changes(
        self, changes: int, gap: float = 3.0
    ) -> dict[str, float]:
        """Makes changes at intervals; returns their times in force."""
        self.in_force_times.clear()
        for index in range(changes):
            self.drv.after(index * gap, lambda: self.write_change("measured"))
        self.drv.run(self.drv.now + changes * gap + 20)
        return self.summarize_times()

    def summarize_times(self) -> dict[str, float]:
        """Returns times in force at daemons that ran the whole time."""
        p99, slowest, missing = [], [], 0
        for made, found in self.in_force_times.values():
            live_nodes = [
                id(node)
                for node in self.fleet.nodes.values()
                if node.started_at <= made
            ]
            times = sorted(found[node] for node in live_nodes if node in found)
            missing += len(live_nodes) - len(times)
            p99.append(driver.percentile(times, 0.99))
            slowest.append(times[-1])
        return {
            "p99": statistics.median(p99),
            "all": max(slowest),
            "missing": missing,
        }


def _is_balancer(host: str) -> bool:
    return int(host[1:]) % DAEMONS_PER_BALANCER == 0


def _domain_and_region(host: str) -> tuple[str, str]:
    return DOMAINS[int(host[1:]) % len(DOMAINS)]


def _preset(name: str) -> objects.Preset:
    classes = tuple(
        objects.WorkClass(name=f"class{index}", kind="request")
        for index in range(4)
    )
    return objects.Preset(name=name, classes=classes)


def measure(
    seed: int, daemons: int, share: float, seconds: float, make: Any = None
) -> dict[str, float]:
    """Measures a fleet at steady load, then times in force."""
    gc.collect()
    fleet_run = FleetRun(seed, daemons, share, make)
    fleet_run.drv.run(fleet_run.drv.now + 40)
    found = fleet_run.run_steady(seconds)
    times = fleet_run.measure_changes(10)
    found |= {f"in_force_{key}": value for key, value in times.items()}
    ages = [
        fleet_run.drv.now - node.plane.gossip.api_contact
        for node in fleet_run.fleet.nodes.values()
    ]
    found["contact_age"] = max(ages)
    return found


def print_fleet(name: str, found: dict[str, float]) -> None:
    """Prints the figures of a fleet on one line."""
    print(
        f"{name:28} in force p99 {found['in_force_p99']:.2f} s, "
        f"all {found['in_force_all']:.2f} s, "
        f"missing {found['in_force_missing']:.0f}; "
        f"{found['bytes']:.0f} B/s (busiest {found['busiest_bytes']:.0f}), "
        f"{found['messages']:.1f} messages/s, "
        f"core {found['cpu_us'] / 1e4:.3f}%; "
        f"platform writes/s peak {found['writes']:.0f} mean "
        f"{found['writes_mean']:.2f}, reads/s peak {found['reads']:.0f} mean "
        f"{found['reads_mean']:.2f}; contact age {found['contact_age']:.1f} s",
        flush=True,
    )


def measure_disturbance(
    name: str, daemons: int, change: Callable[[FleetRun], None], seconds: float
) -> dict[str, float]:
    """Measures the fleet during a disturbance and its recovery after it."""
    fleet_run = FleetRun(7, daemons, 0.1)
    fleet_run.drv.run(fleet_run.drv.now + 40)
    change(fleet_run)
    before = fleet_run.totals()
    fleet_run.drv.run(fleet_run.drv.now + seconds)
    during = fleet_run.totals()
    platform = fleet_run.fleet.platform
    platform.down = fleet_run.fleet.split = False
    fleet_run.fleet.loss = 0.0
    began = fleet_run.drv.now
    roots: set[int] = set()
    while fleet_run.drv.now < began + 120:
        fleet_run.drv.run(fleet_run.drv.now + 1)
        roots = {
            n.plane.gossip.root_hash() for n in fleet_run.fleet.nodes.values()
        }
        if len(roots) == 1:
            break
    rejoin_s = fleet_run.drv.now - began
    fleet_run.drv.run(fleet_run.drv.now + 10)
    span = range(int(began), int(fleet_run.drv.now))
    found = {
        "rejoin_s": rejoin_s if len(roots) == 1 else float("inf"),
        "bytes": (during["bytes"] - before["bytes"]) / seconds / daemons,
        "writes": max(platform.writes[s] for s in span),
        "reads": max(platform.reads[s] for s in span),
    }
    print(
        f"{name:28} agree again after {found['rejoin_s']:.0f} s; during it "
        f"{found['bytes']:.0f} B/s; platform after it peak writes/s "
        f"{found['writes']}, reads/s {found['reads']}",
        flush=True,
    )
    return found


def _outage(fleet_run: FleetRun) -> None:
    fleet_run.fleet.platform.down = True
    for host in fleet_run.rng.sample(
        fleet_run.hosts, len(fleet_run.hosts) // 20
    ):
        fleet_run.restart(host)


def _split(fleet_run: FleetRun) -> None:
    fleet_run.fleet.split = True
    for index in range(5):
        fleet_run.drv.after(
            index * 10.0, lambda: fleet_run.write_change("split")
        )


def _loss(fleet_run: FleetRun) -> None:
    fleet_run.fleet.loss = 0.05
    for index in range(20):
        fleet_run.drv.after(index * 2.0, lambda: fleet_run.write_change("loss"))


def restart_some(fleet_run: FleetRun) -> None:
    """Restarts 5% of the fleet within a minute."""
    for host in fleet_run.rng.sample(
        fleet_run.hosts, len(fleet_run.hosts) // 20
    ):
        when = fleet_run.rng.uniform(0, 60)
        fleet_run.drv.after(when, lambda host=host: fleet_run.restart(host))  # type: ignore[misc]


def main() -> None:
    """Runs all measurements and prints their figures."""
    from bench import views  # It imports this module.

    args = driver.parse_args(__doc__, seeds=1000)
    share, seconds = (0.1, 40.0) if args.quick else (1.0, 300.0)
    sizes = (100, 200) if args.quick else (100, 300, TARGET_DAEMONS)
    found = {}
    for daemons in sizes:
        found = measure(1, daemons, share, seconds)
        print_fleet(f"{daemons} daemons", found)
    if not args.quick:
        views.compare()
        measure_disturbance("outage 300 s, 300 daemons", 300, _outage, 300)
        measure_disturbance("split 3600 s, 100 daemons", 100, _split, 3600)
        measure_disturbance("loss 5%, 300 daemons", 300, _loss, 60)
        measure_disturbance("restart 5%, 300 daemons", 300, restart_some, 90)
    seeds = min(args.seeds, 5) if args.quick else args.seeds
    total = faults.Result()
    for seed in range(seeds):
        result = faults.run(seed)
        for field in result.__struct_fields__:
            summed = getattr(total, field) + getattr(result, field)
            setattr(total, field, summed)
    print(f"faults, seeds 0 to {seeds - 1}: {total}")
    driver.print_figures(
        args,
        {
            "daemons": sizes[-1],
            "in_force_s": round(found["in_force_all"], 3),
            "bytes_per_s": round(found["bytes"]),
            "core_share": round(found["cpu_us"] / 1e6, 5),
            "platform_writes_per_s": found["writes"],
            "platform_reads_per_s": found["reads"],
            "reverts": total.reverts,
            "lost_changes": total.lost_changes,
            "double_changes": total.double_changes,
            "revived": total.revived,
        },
    )


if __name__ == "__main__":
    main()
