"""Control part: time in force, bytes, processor time, platform calls, faults.

Many instances of the real spreading and membership cores and of the message
codec run in one process in virtual time.  Bytes count both directions of a
daemon with 48 bytes of framing and headers a message; processor time is that
of cores and codec, without sockets.
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
FULL = 1_300  # daemons at the target
CHANGES_A_DAY = 4_900
RESTARTS_A_DAY = 1_900
SERVICES = 2_400
ENDPOINTS = 12_000
DOMAINS = (("fd0", "r0"), ("fd1", "r0"), ("fd2", "r1"), ("fd3", "r1"))
BALANCER_SHARE = 13  # one of so many daemons is a balancer


class Scene:
    """A fleet with its configuration loaded, and its measurements."""

    def __init__(
        self, seed: int, daemons: int, share: float, make: Any = None
    ) -> None:
        """Starts the fleet.

        Args:
            seed: Seed of the run.
            daemons: Number of daemons.
            share: Share of the target's services and endpoints.
            make: Makes a daemon's spreading core; by default the product's.
        """
        self.run = driver.Driver(seed)
        self.fleet = fleet.Fleet(self.run)
        self.fleet.make_gossip = make
        self.rng = random.Random(seed)
        self.services = max(int(SERVICES * share * daemons / FULL), 20)
        self.hosts = [f"h{index:04d}" for index in range(daemons)]
        agents = [h for h in self.hosts if not _is_balancer(h)]
        per_host = max(
            round(ENDPOINTS * share * daemons / FULL / len(agents)), 1
        )
        order = [f"s{i:04d}" for i in range(self.services)]
        self.placed = {
            host: [
                order[(index * per_host + k) * 7 % self.services]
                for k in range(per_host)
            ]
            for index, host in enumerate(agents)
        }
        # Time in force of each change by daemon, with the time it was made.
        self.latencies: dict[str, tuple[float, dict[int, float]]] = {}
        self._waiting: dict[str, tuple[int, float, str]] = {}
        self.fleet.on_changed = self._changed
        self._load()

    def _load(self) -> None:
        """Writes the objects and starts all daemons with them."""
        platform = self.fleet.platform
        members: dict[str, list[objects.Member]] = {}
        incarnation = int(self.run.now * 1000) << 20
        for host in self.placed:
            record = self.record(host, incarnation, "ready")
            for service, member in membership.members_by_service(
                record
            ).items():
                members.setdefault(service, []).append(member)
        for index in range(self.services):
            name = f"s{index:04d}"
            described = objects.Service(
                name=name,
                addresses=(
                    objects.ServiceAddress(
                        name="main", protocol="tcp", port=1000, work_class="w"
                    ),
                ),
            )
            platform.write(f"services/{name}", objects.encode(described), 0)
            found = objects.Membership(
                service=name, members=tuple(members.get(name, ()))
            )
            platform.write(f"memberships/{name}", objects.encode(found), 0)
        body = objects.encode(objects.InForce(preset=_preset("p0")))
        platform.write(objects.IN_FORCE_KEY, body, 0)
        platform.log.clear()
        # All daemons start with the same objects; decoding each 1,300 times
        # would only cost time and memory.
        loaded = list(platform.objects.values())
        decoded = {v.key: objects.decode(v) for v in loaded}
        real = objects.decode
        objects.decode = lambda versioned: decoded[versioned.key]
        gc.disable()
        try:
            for host in self.hosts:
                store = config_store.ConfigStore()
                for versioned in loaded:
                    store.apply_if_newer(versioned)
                self.start(host, store, incarnation)
        finally:
            objects.decode = real
        gc.enable()
        gc.freeze()

    def record(
        self, host: str, incarnation: int, state: objects.State
    ) -> membership_messages.HostRecord:
        """Returns the record of a host."""
        domain, _ = _place(host)
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
                for index, service in enumerate(self.placed[host])
            ),
        )

    def start(
        self,
        host: str,
        store: config_store.ConfigStore | None = None,
        incarnation: int = 0,
    ) -> fleet.Node:
        """Starts a daemon."""
        domain, region = _place(host)
        role = "balancer" if _is_balancer(host) else "agent"
        return self.fleet.add(
            host, role, domain, region, store, incarnation=incarnation
        )

    def node(self, host: str) -> fleet.Node | None:
        """Returns the running daemon of a host."""
        return self.fleet.nodes.get(f"tcp://{host}:7000")

    def restart(self, host: str) -> None:
        """Plans a stop and starts the host again, with an empty store."""
        node = self.node(host)
        if node is None:
            return
        run = self.run
        if _is_balancer(host):
            self.fleet.stop(node)
            run.after(5.0, lambda: self.start(host))
            return
        node.record = self.record(host, node.row.incarnation, "draining")
        node.act(lambda: node.plane.announce(run.now, node.record))  # type: ignore[arg-type]
        node.act(lambda: node.plane.drain(run.now))
        self._step(node, 5.0, "gone")
        run.after(8.0, lambda: self.fleet.stop(node))

        def again() -> None:
            fresh = self.start(host)
            self._step(fresh, 1.0, "joining")
            self._step(fresh, 3.0, "warming")
            self._step(fresh, 13.0, "ready")

        run.after(12.0, again)

    def _step(
        self, node: fleet.Node, delay: float, state: objects.State
    ) -> None:
        def announce() -> None:
            record = self.record(node.row.name, node.row.incarnation, state)
            node.act(lambda: node.plane.announce(self.run.now, record))

        self.run.after(delay, announce)

    def configure(self, kind: str) -> None:
        """Changes the preset in force or a service, as an operator does."""
        platform = self.fleet.platform
        key = objects.IN_FORCE_KEY
        if self.rng.random() < 0.8:
            key = f"services/s{self.rng.randrange(self.services):04d}"
        known = platform.objects[key]
        body = known.body
        if key == objects.IN_FORCE_KEY:
            preset = _preset(f"p{platform.revision}")
            body = objects.encode(objects.InForce(preset=preset))
        platform.write(key, body, known.version)
        version = platform.revision
        self._waiting[key] = (version, self.run.now, kind)
        if kind != "steady":
            self.latencies[f"{key}@{version}"] = (self.run.now, {})

    def _changed(self, node: fleet.Node, keys: tuple[str, ...]) -> None:
        for key in keys:
            waiting = self._waiting.get(key)
            if not waiting or node.started > waiting[1]:
                continue
            found = self.latencies.get(f"{key}@{waiting[0]}")
            if found and node.store.version(key) >= waiting[0]:
                taken = self.run.now - waiting[1]
                found[1].setdefault(id(node), taken)

    def totals(self) -> Counter[str]:
        """Returns sums over all daemons."""
        sums: Counter[str] = Counter()
        for node in self.fleet.all_nodes:
            sums["bytes"] += node.sent_bytes + node.received_bytes
            sums["messages"] += node.sent + node.received
            sums["cpu_us"] += int(node.cpu * 1e6)
        return sums

    def steady(self, seconds: float) -> dict[str, float]:
        """Runs the ordinary day and returns rates for each daemon."""
        run, platform = self.run, self.fleet.platform
        share = len(self.hosts) / FULL
        restarts = max(round(RESTARTS_A_DAY * share * seconds / DAY_S), 1)
        changes = max(round(CHANGES_A_DAY * share * seconds / DAY_S), 1)
        gone = set()
        for _ in range(restarts):
            host = self.rng.choice(self.hosts)
            if host not in gone:
                gone.add(host)
                when = self.rng.uniform(0, seconds - 30)
                run.after(when, lambda host=host: self.restart(host))  # type: ignore[misc]
        for _ in range(changes):
            when = self.rng.uniform(0, seconds)
            run.after(when, lambda: self.configure("steady"))
        before, began = self.totals(), int(run.now)
        per_node = {
            id(n): n.sent_bytes + n.received_bytes for n in self.fleet.all_nodes
        }
        run.run(run.now + seconds)
        after = self.totals()
        rates = {
            key: (after[key] - before[key]) / seconds / len(self.hosts)
            for key in after
        }
        loads = [
            (n.sent_bytes + n.received_bytes - per_node[id(n)]) / seconds
            for n in self.fleet.all_nodes
            if id(n) in per_node and n.up
        ]
        span = range(began, int(run.now))
        rates["busiest_bytes"] = max(loads)
        rates["writes"] = max(platform.writes[s] for s in span)
        rates["reads"] = max(platform.reads[s] for s in span)
        rates["writes_mean"] = sum(platform.writes[s] for s in span) / seconds
        rates["reads_mean"] = sum(platform.reads[s] for s in span) / seconds
        return rates

    def in_force(self, changes: int, gap: float = 3.0) -> dict[str, float]:
        """Makes changes one after another; returns times in force."""
        self.latencies.clear()
        for index in range(changes):
            self.run.after(index * gap, lambda: self.configure("measured"))
        self.run.run(self.run.now + changes * gap + 20)
        return self.times()

    def times(self) -> dict[str, float]:
        """Returns times in force over daemons that ran all along."""
        p99, last, missing = [], [], 0
        for made, found in self.latencies.values():
            live = [
                id(node)
                for node in self.fleet.nodes.values()
                if node.started <= made
            ]
            times = sorted(found[node] for node in live if node in found)
            missing += len(live) - len(times)
            p99.append(driver.percentile(times, 0.99))
            last.append(times[-1])
        return {
            "p99": statistics.median(p99),
            "all": max(last),
            "missing": missing,
        }


def _is_balancer(host: str) -> bool:
    return int(host[1:]) % BALANCER_SHARE == 0


def _place(host: str) -> tuple[str, str]:
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
    """Measures one fleet."""
    gc.collect()
    scene = Scene(seed, daemons, share, make)
    scene.run.run(scene.run.now + 40)
    found = scene.steady(seconds)
    times = scene.in_force(10)
    found |= {f"in_force_{key}": value for key, value in times.items()}
    ages = [
        scene.run.now - node.plane.gossip.last_platform_contact
        for node in scene.fleet.nodes.values()
    ]
    found["contact_age"] = max(ages)
    return found


def show(name: str, found: dict[str, float]) -> None:
    """Prints one line of figures."""
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


def disturb(
    name: str, daemons: int, change: Callable[[Scene], None], seconds: float
) -> dict[str, float]:
    """Runs a disturbance, then returns how the fleet came back."""
    scene = Scene(7, daemons, 0.1)
    scene.run.run(scene.run.now + 40)
    change(scene)
    before = scene.totals()
    scene.run.run(scene.run.now + seconds)
    during = scene.totals()
    platform = scene.fleet.platform
    platform.down = scene.fleet.split = False
    scene.fleet.loss = 0.0
    began = scene.run.now
    roots: set[int] = set()
    while scene.run.now < began + 120:
        scene.run.run(scene.run.now + 1)
        roots = {n.plane.gossip.root_hash() for n in scene.fleet.nodes.values()}
        if len(roots) == 1:
            break
    took = scene.run.now - began
    scene.run.run(scene.run.now + 10)
    span = range(int(began), int(scene.run.now))
    found = {
        "rejoin_s": took if len(roots) == 1 else float("inf"),
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


def _outage(scene: Scene) -> None:
    scene.fleet.platform.down = True
    for host in scene.rng.sample(scene.hosts, len(scene.hosts) // 20):
        scene.restart(host)


def _split(scene: Scene) -> None:
    scene.fleet.split = True
    for index in range(5):
        scene.run.after(index * 10.0, lambda: scene.configure("split"))


def _loss(scene: Scene) -> None:
    scene.fleet.loss = 0.05
    for index in range(20):
        scene.run.after(index * 2.0, lambda: scene.configure("loss"))


def restart_some(scene: Scene) -> None:
    """Restarts 5% of the fleet within a minute."""
    for host in scene.rng.sample(scene.hosts, len(scene.hosts) // 20):
        when = scene.rng.uniform(0, 60)
        scene.run.after(when, lambda host=host: scene.restart(host))  # type: ignore[misc]


def main() -> None:
    """Runs all measurements."""
    from bench import views  # It builds on the scenes of this module.

    args = driver.parse_args(__doc__, seeds=1000)
    share, seconds = (0.1, 40.0) if args.quick else (1.0, 300.0)
    sizes = (100, 200) if args.quick else (100, 300, FULL)
    found = {}
    for daemons in sizes:
        found = measure(1, daemons, share, seconds)
        show(f"{daemons} daemons", found)
    if not args.quick:
        views.compare()
        disturb("outage 300 s, 300 daemons", 300, _outage, 300)
        disturb("split 3600 s, 100 daemons", 100, _split, 3600)
        disturb("loss 5%, 300 daemons", 300, _loss, 60)
        disturb("restart 5%, 300 daemons", 300, restart_some, 90)
    seeds = min(args.seeds, 5) if args.quick else args.seeds
    total = faults.Result()
    for seed in range(seeds):
        result = faults.run(seed)
        for field in result.__struct_fields__:
            summed = getattr(total, field) + getattr(result, field)
            setattr(total, field, summed)
    print(f"faults, seeds 0 to {seeds - 1}: {total}")
    driver.report(
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
