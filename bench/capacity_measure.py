"""Measurements behind docs/CAPACITY.md, on the real cores and codecs.

Memory is counted by tracemalloc and processor time by the thread's clock, so
that other processes on the machine do not add to it.  Sizes are those of the
wire codecs.
"""

from collections.abc import Callable, Iterator
import functools
import gc
import pathlib
import random
import statistics
import time
import tracemalloc
from typing import Any

import msgspec

from bench import control as control_bench
from bench import relay
from crocusmux import messages
from crocusmux import objects
from crocusmux import wire
from crocusmux.core.control import config_store
from crocusmux.core.control import controlplane
from crocusmux.core.control import gossip
from crocusmux.core.control import gossip_messages
from crocusmux.core.control import membership_messages
from crocusmux.core.flows import agent as agent_core
from crocusmux.core.flows import balancer as balancer_core
from crocusmux.core.flows import directory
from crocusmux.core.flows import slots
from crocusmux.daemons import control

KEY = bytes.fromhex(relay.KEY)
ADDRESSES = 2_400
ENDPOINTS = 12_000
AGENTS = 1_200
ENDPOINTS_AN_ADDRESS = 5
# Work is repeated so often; the median keeps a busy machine out of a figure.
REPEATS = 3

# Past the time for which a new member's answers do not count.
STARTED_S = 60.0

Points = list[tuple[float, float]]


def fit(points: Points, unit: str) -> dict[str, Any]:
    """Fits a line.

    Args:
        points: Counts with what was measured at each, three or more.
        unit: Unit of the slope.

    Returns:
        Slope, intercept, the largest relative residual as ``error``, unit
        and points.
    """
    xs, ys = [p[0] for p in points], [p[1] for p in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    error = max(
        abs(y - slope * x - intercept) / max(abs(y), 1e-9) for x, y in points
    )
    return {
        "slope": float(f"{slope:.4g}"),
        "intercept": float(f"{intercept:.4g}"),
        "error": round(error, 4),
        "unit": unit,
        "points": [[x, float(f"{y:.5g}")] for x, y in points],
    }


def traced(build: Callable[[], Any]) -> float:
    """Returns the bytes that stay allocated while a result is held."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return used


def resident_mb() -> float:
    """Returns the process's resident memory, MB."""
    for text in pathlib.Path("/proc/self/status").read_text().splitlines():
        if text.startswith("VmRSS:"):
            return int(text.split()[1]) * 1024 / 1e6
    raise RuntimeError("no VmRSS in /proc/self/status")


def timed(action: Callable[[], Any]) -> float:
    """Returns the processor time of an action, microseconds."""
    begin = time.thread_time()
    action()
    return (time.thread_time() - begin) * 1e6


# Configuration objects of a fleet.


def make_objects(
    services: int, each: int, hosts: int, hash_slots: int = 128
) -> list[objects.Versioned]:
    """Returns the objects of services whose endpoints fill hosts in turn."""
    found: list[objects.Versioned] = []
    for index in range(services):
        name = f"service-{index:04d}"
        address = objects.ServiceAddress(
            name="main",
            protocol="udp",
            ip=f"10.9.{index >> 8}.{index & 255}",
            port=7000,
            work_class="orders",
        )
        described = objects.Service(
            name=name, hash_slots=hash_slots, addresses=(address,)
        )
        members = tuple(
            make_member(name, (index * each + k) % hosts, k)
            for k in range(each)
        )
        listed = objects.Membership(service=name, members=members)
        for key, obj in (
            (f"{objects.SERVICE_PREFIX}{name}", described),
            (f"{objects.MEMBERSHIP_PREFIX}{name}", listed),
        ):
            body = objects.encode(obj)
            found.append(objects.Versioned(key, len(found) + 1, body))
    classes = (
        objects.WorkClass(name="orders", kind="request", urgency=0),
        objects.WorkClass(name="feeds", kind="long", idempotent=True),
        objects.WorkClass(name="logs", kind="bulk", urgency=2, idempotent=True),
    )
    in_force = objects.InForce(
        preset=objects.Preset(name="ordinary", classes=classes)
    )
    body = objects.encode(in_force)
    found.append(objects.Versioned(objects.IN_FORCE_KEY, len(found) + 1, body))
    return found


def make_member(service: str, host: int, index: int) -> objects.Member:
    """Returns a member with one upstream."""
    ip = f"10.{host >> 8}.{host & 255}.7"
    upstream = objects.Upstream(
        name=f"{service}-{index}", address=f"{ip}:{9000 + index}"
    )
    return objects.Member(
        host=f"upstream-{host:04d}",
        failure_domain=f"domain-{host % 4}",
        agent=f"{ip}:7001",
        relay=f"{ip}:7002",
        control=f"tcp://{ip}:7000",
        incarnation=(1_800_000_000_000 + host) << 20,
        upstreams=(upstream,),
    )


def make_store(found: list[objects.Versioned]) -> config_store.ConfigStore:
    """Returns a store that decoded its own copy of some objects."""
    store = config_store.ConfigStore()
    for versioned in found:
        # A daemon gets its own bytes from the network.
        body = bytes(bytearray(versioned.body))
        store.apply_if_newer(
            objects.Versioned(versioned.key, versioned.version, body)
        )
    return store


def make_row(index: int, role: str = "agent") -> gossip_messages.DaemonRow:
    """Returns the row of a daemon."""
    ip = f"10.{index >> 8}.{index & 255}.7"
    return gossip_messages.DaemonRow(
        name=f"upstream-{index:04d}",
        role=role,
        failure_domain=f"domain-{index % 4}",
        region=f"region-{index % 2}",
        control=f"tcp://{ip}:7000",
        http=f"{ip}:7080",
        incarnation=(1_800_000_000_000 + index) << 20,
        udp=f"{ip}:7001",
    )


def make_plane(store: config_store.ConfigStore) -> controlplane.ControlPlane:
    """Returns a control part that has observed all of a store's objects."""
    row = make_row(5000, "balancer")
    plane = controlplane.ControlPlane(row, store, [], random.Random(1))
    for key in store.version_by_key():
        plane.memberships.on_membership_changed(1.0, key)
    return plane


def make_balancer(
    store: config_store.ConfigStore,
) -> balancer_core.BalancerCore:
    """Returns a balancer's core with all tables built."""
    core = balancer_core.BalancerCore("entry-1", random.Random(1))
    for _ in core.apply(0.0, store):
        pass
    return core


def make_agent(
    store: config_store.ConfigStore, host: str = "upstream-0000"
) -> agent_core.AgentCore:
    """Returns an agent's core with all tables built."""
    number = int(host.rpartition("-")[2])
    incarnation = make_member("", number, 0).incarnation
    core = agent_core.AgentCore(host, incarnation, random.Random(1))
    core.apply(0.0, store, store.services_of(host))
    finish_builds(core)
    return core


def finish_builds(core: agent_core.AgentCore) -> list[float]:
    """Runs the steps of an agent's rebuilds; returns their times, us."""
    spent = []
    while core.next_timer() == 0.0:
        spent.append(timed(lambda: core.on_timer(0.0)))
    return spent


# Memory.


def control_state() -> dict[str, Any]:
    """Measures the control state of a balancer at the target, MB."""
    found = make_objects(ADDRESSES, ENDPOINTS_AN_ADDRESS, AGENTS)

    def whole() -> Any:
        store = make_store(found)
        return make_plane(store), make_balancer(store)

    gc.collect()
    kept = whole()
    resident = resident_mb()
    del kept
    figures = {"balancer_resident_mb_12000": round(resident, 1)}
    figures["control_mb_12000"] = round(traced(whole) / 1e6, 1)
    return figures


def state_slopes(quick: bool) -> dict[str, Any]:
    """Measures bytes per service address and per endpoint in each part."""
    parts: dict[str, Callable[[config_store.ConfigStore], Any]] = {
        "plane": make_plane,
        "balancer": make_balancer,
        # Of no service here; what it owns is counted by hash slot.
        "agent": lambda store: make_agent(store, "upstream-9999"),
    }
    scale = 1 if quick else 4
    slopes = {}
    for axis, sizes in (
        # Services without an endpoint, then endpoints of the same services.
        ("address", [(n * scale, 0) for n in (50, 100, 200)]),
        ("endpoint", [(50 * scale, n) for n in (2, 4, 6, 8)]),
    ):
        points: dict[str, Points] = {name: [] for name in ("store", *parts)}
        for services, each in sizes:
            hosts = max(services * each // 10, 1)
            found = make_objects(services, each, hosts)
            count = services if axis == "address" else services * each
            used = traced(functools.partial(make_store, found))
            points["store"].append((count, used))
            store = make_store(found)
            for name, make in parts.items():
                used = traced(functools.partial(make, store))
                points[name].append((count, used))
        for name, line in points.items():
            slopes[f"{name}_{axis}_bytes"] = fit(line, f"bytes/{axis}")
    return slopes


def owned_slot_slope() -> dict[str, Any]:
    """Measures bytes per hash slot that an agent owns."""
    points: Points = []
    for hash_slots in (256, 512, 1_024):
        store = make_store(make_objects(1, 2, 2, hash_slots))
        core = make_agent(store)
        owned = sum(
            len(svc.ownership.owned) for svc in core._s.services.values()
        )
        del core
        used = traced(functools.partial(make_agent, store))
        points.append((owned, used))
    return {"owned_slot_bytes": fit(points, "bytes/hash slot")}


def daemon_slope() -> dict[str, Any]:
    """Measures bytes per known daemon in the control part."""
    encode, decode = control.make_codec(KEY)
    points: Points = []
    for count in (16, 32, 48, 64):
        # Decoded within the measurement, as a daemon gets rows by message.
        rows = [(make_row(index), 1) for index in range(count)]
        sender = make_row(5001).name
        data = encode(
            controlplane.ControlEnvelope(sender, gossip_messages.Rows(rows))
        )
        points.append((count, traced(functools.partial(_learn, decode, data))))
    return {"known_daemon_bytes": fit(points, "bytes/daemon")}


def _learn(decode: Callable[[bytes], Any], data: bytes) -> Any:
    plane = make_plane(config_store.ConfigStore())
    for row, _ in decode(data).message.rows:
        plane.gossip._record_daemon(1.0, row, 1.0)
    return plane


def flow_core(work_class: str) -> tuple[agent_core.AgentCore, bytes]:
    """Returns an agent that is the only member, and its address key."""
    found = make_objects(1, 1, 1)
    cfg = msgspec.json.decode(found[0].body, type=objects.Service)
    address = msgspec.structs.replace(cfg.addresses[0], work_class=work_class)
    cfg = msgspec.structs.replace(cfg, addresses=(address,))
    member = msgspec.json.decode(found[1].body, type=objects.Membership)
    upstream = msgspec.structs.replace(
        member.members[0].upstreams[0],
        slots=10_000_000,
        connections=10_000_000,
    )
    host = msgspec.structs.replace(member.members[0], upstreams=(upstream,))
    member = msgspec.structs.replace(member, members=(host,))
    found[0] = objects.Versioned(found[0].key, 10, objects.encode(cfg))
    found[1] = objects.Versioned(found[1].key, 11, objects.encode(member))
    core = make_agent(make_store(found))
    # An agent takes a jump of the clock for a pause and drops what could run
    # too late, so its clock advances in steps.
    for second in range(int(STARTED_S) + 1):
        core.on_timer(float(second))
    return core, slots.address_key(cfg.name, "main")


def opening_packets(address: bytes, first: int, last: int) -> Iterator[Any]:
    """Yields the first packets of some flows."""
    key = slots.service_key("service-0000")
    for index in range(first, last):
        caller = (f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}", 5000)
        flow = slots.udp_flow(address, caller)
        yield messages.Packet(key, flow, 2, 0, 0, "", relay.PAYLOAD)


def flow_slopes(quick: bool) -> dict[str, Any]:
    """Measures bytes and processor time per flow in an agent's core."""
    sizes = (600, 1_200, 2_400) if quick else (5_000, 10_000, 20_000)
    # An upstream has few requests in flight, and placement looks at each.
    few = (100, 200, 400) if quick else (250, 500, 1_000)
    slopes = {}
    for name, work_class, counts, ends in (
        ("flow_long", "feeds", sizes, False),
        ("flow_request", "orders", few, False),
        ("ended_request", "orders", sizes, True),
    ):
        used: Points = []
        spent: Points = []
        for count in counts:
            used.append(
                (
                    count,
                    traced(
                        functools.partial(open_flows, work_class, count, ends)
                    ),
                )
            )
            core, address = flow_core(work_class)
            packets = list(opening_packets(address, 0, count))
            spent.append(
                (
                    count,
                    timed(functools.partial(run_flows, core, packets, ends)),
                )
            )
        slopes[f"{name}_bytes"] = fit(used, "bytes/flow")
        if count > few[-1]:
            slopes[f"{name}_us"] = fit(spent, "us/flow")
    return slopes


def open_flows(work_class: str, count: int, ends: bool) -> agent_core.AgentCore:
    """Returns an agent that was given some flows.

    Raises:
        RuntimeError: A flow is not in the state that is to be measured.
    """
    core, address = flow_core(work_class)
    run_flows(core, list(opening_packets(address, 0, count)), ends)
    states = [flow.state for flow in core._flows.values()]
    wanted = directory.ENDED if ends else directory.RUNNING
    if len(states) != count or set(states) != {wanted}:
        raise RuntimeError(f"some {work_class} flows are in another state")
    return core


def run_flows(
    core: agent_core.AgentCore, packets: list[Any], ends: bool
) -> None:
    """Opens flows, and ends each at once if asked to."""
    sender = ("10.8.0.1", 4000)
    for packet in packets:
        core.on_message(STARTED_S, sender, packet)
        if ends:
            incarnation = core._flows[packet.flow].incarnation
            core.closed(STARTED_S, packet.flow, incarnation, True)


# Processor time.


def packet_slopes(quick: bool) -> dict[str, Any]:
    """Measures processor time per packet in both cores, without sockets."""
    scale = 5_000 if quick else 40_000
    store = make_store(make_objects(10, 5, 5))
    front = make_balancer(store)
    address = front.address("service-0001", "main")
    assert address is not None
    callers = [(f"10.0.{i >> 8}.{i & 255}", 5000) for i in range(1000)]
    back, key = flow_core("feeds")
    packets = list(opening_packets(key, 0, 1000))
    sender = ("10.8.0.1", 4000)
    for packet in packets:
        back.on_message(STARTED_S, sender, packet)

    def route(count: int) -> None:
        for i in range(count):
            front.on_datagram(1.0, address, callers[i % 1000], relay.PAYLOAD)

    def forward(count: int) -> None:
        for i in range(count):
            back.on_message(STARTED_S, sender, packets[i % 1000])

    def place(count: int) -> None:
        for i in range(count):
            flow, _ = front.open_flow(
                1.0,
                address,
                messages.FLOW_TCP,
                callers[i % 1000][0],
                i.to_bytes(slots.FLOW_ID_BYTES, "little"),
            )
            placed = messages.Placed(
                address.service.key, flow, i, "u-1", "10.0.0.7:7002"
            )
            front.on_message(1.0, sender, placed)
            front.attached(1.0, flow)

    slopes = {}
    for name, work in (
        ("balancer_packet", route),
        ("balancer_tcp_flow", place),
        ("agent_packet", forward),
    ):
        points: Points = []
        for count in (scale, 2 * scale, 3 * scale):
            runs = [
                timed(functools.partial(work, count)) for _ in range(REPEATS)
            ]
            points.append((count, statistics.median(runs)))
        slopes[f"{name}_us"] = fit(points, f"us/{name.split('_', 1)[1]}")
    return slopes


def changed_store(
    found: list[objects.Versioned], index: int, version: int
) -> objects.Versioned:
    """Returns a membership without its last member, at a new version."""
    old = msgspec.json.decode(found[index].body, type=objects.Membership)
    new = msgspec.structs.replace(old, members=old.members[:-1])
    return objects.Versioned(found[index].key, version, objects.encode(new))


def step_times(steps: Iterator[Any]) -> list[float]:
    """Returns the time of each step of a generator, ms."""
    spent, done = [], False

    def step() -> None:
        nonlocal done
        done = next(steps, "end") == "end"

    while not done:
        spent.append(timed(step) / 1e3)
    return spent


def rebuild_figures(quick: bool) -> dict[str, Any]:
    """Measures the rebuild of one service's table at three sizes.

    A member leaves, which computes the most scores of all single changes.
    """
    figures: dict[str, Any] = {}
    totals: Points = []
    for count in (10, 100, 1_000):
        hash_slots = 1 << (16 * count - 1).bit_length()
        found = make_objects(1, count, count, hash_slots)
        store = make_store(found)
        front = balancer_core.BalancerCore("entry-1", random.Random(1))
        full = step_times(front.apply(0.0, store))
        back = None if quick and count > 100 else make_agent(store)
        figures[f"rebuild_new_total_ms_{count}"] = round(sum(full), 1)
        leaves, joins, backs = [], [], []
        for turn in range(REPEATS):
            store.apply_if_newer(changed_store(found, 1, 10 + 2 * turn))
            leaves.append(step_times(front.apply(1.0, store)))
            backs.append(agent_steps(back, store))
            body = found[1].body
            store.apply_if_newer(
                objects.Versioned(found[1].key, 11 + 2 * turn, body)
            )
            joins.append(step_times(front.apply(1.0, store)))
            backs.append(agent_steps(back, store))
        # A build from nothing runs once; its steps are many and alike.
        usual = statistics.quantiles(full, n=100)[98] if full[1:] else full[0]
        steps = [worst(leaves), worst(joins), usual]
        figures[f"rebuild_ms_{count}"] = round(max(steps), 2)
        total = statistics.median(sum(run) for run in leaves)
        figures[f"rebuild_leave_total_ms_{count}"] = round(total, 2)
        if back is not None:
            found_worst = max(worst(backs[::2]), worst(backs[1::2]))
            figures[f"agent_rebuild_ms_{count}"] = round(found_worst, 2)
        totals.append((hash_slots, total * 1e3))
    figures["slopes"] = {"rebuild_leave_us": fit(totals, "us/hash slot")}
    return figures


def agent_steps(
    core: agent_core.AgentCore | None, store: config_store.ConfigStore
) -> list[float]:
    """Returns the time of each step of an agent's rebuild, ms."""
    if core is None:
        return []
    names = store.services_of("upstream-0000")
    first = timed(lambda: core.apply(STARTED_S, store, names))
    return [us / 1e3 for us in [first, *finish_builds(core)]]


def worst(runs: list[list[float]]) -> float:
    """Returns the longest step, each by its median over runs.

    The steps are the same in each run, so the median of each step leaves out
    what the machine adds to one of them.
    """
    steps = zip(*runs, strict=True)
    return max(statistics.median(step) for step in steps)


def change_slopes(quick: bool) -> dict[str, Any]:
    """Measures one membership change at a balancer and an agent.

    The worst step is what the loop is blocked for; all other services'
    tables stay as they are.
    """
    sizes = (300, 600, 1_200) if quick else (600, 1_200, ADDRESSES)
    points: dict[str, Points] = {}
    for services in sizes:
        found = make_objects(services, 5, services // 2)
        store = make_store(found)
        front, back = make_balancer(store), make_agent(store)
        runs: dict[str, list[float]] = {}
        for turn in range(REPEATS):
            version = len(found) + 1 + turn
            store.apply_if_newer(changed_store(found, 2 * turn + 1, version))
            steps = step_times(front.apply(1.0, store))
            first = timed(functools.partial(_reapply, back, store)) / 1e3
            finish_builds(back)
            for name, value in (
                ("balancer_change_total", sum(steps)),
                ("balancer_change_step", max(steps)),
                ("agent_change_step", first),
                (
                    "agent_timer",
                    timed(functools.partial(_timer, back, 100)) / 1e5,
                ),
            ):
                runs.setdefault(name, []).append(value)
        for name, values in runs.items():
            middle = statistics.median(values) * 1e3
            points.setdefault(name, []).append((services, middle))
    return {
        f"{name}_us": fit(line, "us/address") for name, line in points.items()
    }


def _reapply(
    core: agent_core.AgentCore, store: config_store.ConfigStore
) -> None:
    """Takes a change as the agent's daemon does."""
    core.apply(1.0, store, store.services_of("upstream-0000"))


def _timer(core: agent_core.AgentCore, count: int) -> None:
    for _ in range(count):
        core.next_timer()
        core.on_timer(2.0)


# Message sizes.


def message_figures() -> dict[str, Any]:
    """Measures the sizes of control and packet path messages."""
    encode, _ = control.make_codec(KEY)
    pack, _ = wire.make_codec(KEY)

    def size(message: Any) -> int:
        return len(
            encode(controlplane.ControlEnvelope("upstream-0001", message))
        )

    row = make_row(1)
    beats = [(gossip.row_hash(make_row(i)), 3) for i in range(16)]
    digest = gossip_messages.Digest(
        row, 10**6, 2**63, 0, beats, [(row, 1), (row, 2)]
    )
    key = slots.service_key("service-0000")
    load = messages.Load(
        upstream="service-0000-1",
        in_flight=2,
        queued=3,
        limit=2,
        service_ms=12.5,
        connections=1500,
        connection_limit=2000,
        ready=True,
    )
    query = messages.SlotQuery(key, 5000, 0, "upstream-0001", (1, 2, 3))
    figures: dict[str, Any] = {
        "digest_bytes": size(digest),
        "announce_bytes": size(
            gossip_messages.Announce([("services/service-1", 9)])
        ),
        "want_bytes": size(gossip_messages.Want(["services/service-1"])),
        "load_report_bytes": len(pack(messages.LoadReport(key, load, 5000))),
        "slot_query_bytes": len(pack(query)),
    }
    upstreams: Points = []
    for count in (1, 5, 10, 20):
        record = membership_messages.HostRecord(
            row.name,
            row.failure_domain,
            row.udp,
            row.udp,
            row.control,
            row.incarnation,
            tuple(
                membership_messages.ServiceUpstream(
                    f"service-{i:04d}",
                    make_member(f"service-{i:04d}", 1, 0).upstreams[0],
                )
                for i in range(count)
            ),
        )
        upstreams.append(
            (count, size(membership_messages.Announcement(record)))
        )
    bodies: Points = []
    packed: Points = []
    for count in (5, 50, 200, 1_000):
        found = make_objects(1, count, count)[1]
        bodies.append((count, len(found.body)))
        packed.append((count, size(gossip.pack_objects([found]))))
    figures["slopes"] = {
        "announcement_bytes": fit(upstreams, "bytes/endpoint"),
        "membership_body_bytes": fit(bodies, "bytes/endpoint"),
        "membership_packed_bytes": fit(packed, "bytes/endpoint"),
    }
    return figures


# The control fleet.


def fleet_figures(
    seed: int, sizes: tuple[int, ...], seconds: float
) -> dict[str, Any]:
    """Runs the control cores of whole fleets, with a tenth of the objects."""
    points: dict[str, Points] = {}
    for daemons in sizes:
        found = control_bench.measure(seed, daemons, 0.1, seconds)
        control_bench.show(f"{daemons} daemons", found)
        for name in ("bytes", "busiest_bytes", "cpu_us", "reads"):
            points.setdefault(name, []).append((daemons, found[name]))
    return {
        f"fleet_{name}": fit(line, f"{name}/daemon")
        for name, line in points.items()
    }
