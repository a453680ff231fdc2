"""Measurements for the capacity page of the own interface, on the real cores.

Memory is counted by tracemalloc and CPU time by the thread's clock, so other
processes on the machine add nothing to them.  Message sizes are encoded sizes.
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
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import slots
from crocusmux.daemons import control

KEY = bytes.fromhex(relay.KEY)
ADDRESSES = 2_400
ENDPOINTS = 12_000
AGENTS = 1_200
ENDPOINTS_PER_ADDRESS = 5
# Repetitions of a timing; the median discards delays of a busy machine.
REPETITIONS = 3

# Later than the period for which a new member's reports do not count.
STARTED_AT_S = 60.0

Points = list[tuple[float, float]]


def fit_line(points: Points, unit: str) -> dict[str, Any]:
    """Fits a line by least squares.

    Args:
        points: Three or more pairs of a count and a measured value.
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


def allocated_bytes(build: Callable[[], Any]) -> float:
    """Returns the bytes that a built object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del result
    return used


def resident_mb() -> float:
    """Returns the resident memory of this process in MB.

    Raises:
        RuntimeError: The kernel does not report it.
    """
    for text in pathlib.Path("/proc/self/status").read_text().splitlines():
        if text.startswith("VmRSS:"):
            return int(text.split()[1]) * 1024 / 1e6
    raise RuntimeError("no VmRSS in /proc/self/status")


def cpu_time_us(action: Callable[[], Any]) -> float:
    """Returns the CPU time of an action in microseconds."""
    begin = time.thread_time()
    action()
    return (time.thread_time() - begin) * 1e6


# Configuration objects of a fleet.


def make_objects(
    services: int, each: int, hosts: int, hash_slots: int = 128
) -> list[objects.VersionedObject]:
    """Returns the objects of services, their endpoints spread over hosts."""
    versioned_objects: list[objects.VersionedObject] = []
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
            versioned_objects.append(
                objects.VersionedObject(key, len(versioned_objects) + 1, body)
            )
    classes = (
        objects.WorkClass(name="orders", kind="request", urgency=0),
        objects.WorkClass(name="feeds", kind="long", idempotent=True),
        objects.WorkClass(name="logs", kind="bulk", urgency=2, idempotent=True),
    )
    in_force = objects.PresetInForce(
        preset=objects.Preset(name="ordinary", classes=classes)
    )
    body = objects.encode(in_force)
    versioned_objects.append(
        objects.VersionedObject(
            objects.IN_FORCE_KEY, len(versioned_objects) + 1, body
        )
    )
    return versioned_objects


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


def make_store(
    found: list[objects.VersionedObject],
) -> config_store.ConfigStore:
    """Returns a store with its own decoded copies of the objects."""
    store = config_store.ConfigStore()
    for versioned in found:
        # A daemon receives its own copy of the bytes.
        body = bytes(bytearray(versioned.body))
        store.apply_if_newer(
            objects.VersionedObject(versioned.key, versioned.version, body)
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
    """Returns a control plane that has processed a store's objects."""
    row = make_row(5000, "balancer")
    plane = controlplane.ControlPlane(row, store, [], random.Random(1))
    for key in store.version_by_key():
        plane.memberships.on_membership_changed(1.0, key)
    return plane


def make_balancer(
    store: config_store.ConfigStore,
) -> balancer_core.TerminatingBalancer:
    """Returns a terminating balancer core with all tables built."""
    core = balancer_core.TerminatingBalancer("entry-1", random.Random(1))
    for _ in core.apply(0.0, store):
        pass
    return core


def make_agent(
    store: config_store.ConfigStore, host: str = "upstream-0000"
) -> agent_core.TerminatingAgent:
    """Returns a terminating agent core with all tables built."""
    number = int(host.rpartition("-")[2])
    incarnation = make_member("", number, 0).incarnation
    core = agent_core.TerminatingAgent(host, incarnation, random.Random(1))
    core.apply(0.0, store, store.services_of(host))
    finish_builds(core)
    return core


def finish_builds(core: agent_core.TerminatingAgent) -> list[float]:
    """Runs the steps of an agent's rebuilds; returns their times in us."""
    spent = []
    while core.next_timer() == 0.0:
        spent.append(cpu_time_us(lambda: core.on_timer(0.0)))
    return spent


# Memory.


def control_state() -> dict[str, Any]:
    """Measures the control state of a balancer at the target, in MB."""
    found = make_objects(ADDRESSES, ENDPOINTS_PER_ADDRESS, AGENTS)

    def build_balancer() -> Any:
        store = make_store(found)
        return make_plane(store), make_balancer(store)

    gc.collect()
    balancer_parts = build_balancer()
    resident = resident_mb()
    del balancer_parts
    figures = {"balancer_resident_mb_12000": round(resident, 1)}
    figures["control_mb_12000"] = round(
        allocated_bytes(build_balancer) / 1e6, 1
    )
    return figures


def state_slopes(quick: bool) -> dict[str, Any]:
    """Measures bytes per service address and endpoint of each component."""
    parts: dict[str, Callable[[config_store.ConfigStore], Any]] = {
        "plane": make_plane,
        "balancer": make_balancer,
        # A host without upstreams; owned_slot_slope measures owned slots.
        "agent": lambda store: make_agent(store, "upstream-9999"),
    }
    scale = 1 if quick else 4
    slopes = {}
    for axis, sizes in (
        # Services without endpoints, then more endpoints of the same services.
        ("address", [(n * scale, 0) for n in (50, 100, 200)]),
        ("endpoint", [(50 * scale, n) for n in (2, 4, 6, 8)]),
    ):
        points: dict[str, Points] = {name: [] for name in ("store", *parts)}
        for services, each in sizes:
            hosts = max(services * each // 10, 1)
            found = make_objects(services, each, hosts)
            count = services if axis == "address" else services * each
            used = allocated_bytes(functools.partial(make_store, found))
            points["store"].append((count, used))
            store = make_store(found)
            for name, make in parts.items():
                used = allocated_bytes(functools.partial(make, store))
                points[name].append((count, used))
        for name, line in points.items():
            slopes[f"{name}_{axis}_bytes"] = fit_line(line, f"bytes/{axis}")
    return slopes


def owned_slot_slope() -> dict[str, Any]:
    """Measures bytes per hash slot that an agent owns."""
    points: Points = []
    for hash_slots in (256, 512, 1_024):
        store = make_store(make_objects(1, 2, 2, hash_slots))
        core = make_agent(store)
        owned = sum(
            len(svc.ownership.owned) for svc in core._agent.services.values()
        )
        del core
        used = allocated_bytes(functools.partial(make_agent, store))
        points.append((owned, used))
    return {"owned_slot_bytes": fit_line(points, "bytes/hash slot")}


def daemon_slope() -> dict[str, Any]:
    """Measures bytes per known daemon in the control plane."""
    encode, decode = control.make_codec(KEY)
    points: Points = []
    for count in (16, 32, 48, 64):
        # Decoding is included, as a daemon receives rows in messages.
        rows = [(make_row(index), 1) for index in range(count)]
        sender = make_row(5001).name
        data = encode(
            controlplane.ControlEnvelope(sender, gossip_messages.Rows(rows))
        )
        points.append(
            (
                count,
                allocated_bytes(
                    functools.partial(_decode_and_record, decode, data)
                ),
            )
        )
    return {"known_daemon_bytes": fit_line(points, "bytes/daemon")}


def _decode_and_record(decode: Callable[[bytes], Any], data: bytes) -> Any:
    plane = make_plane(config_store.ConfigStore())
    for row, _ in decode(data).message.rows:
        plane.gossip._record_daemon(1.0, row, 1.0)
    return plane


def flow_core(work_class: str) -> tuple[agent_core.TerminatingAgent, bytes]:
    """Returns the core of a sole member, and its address key."""
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
    found[0] = objects.VersionedObject(found[0].key, 10, objects.encode(cfg))
    found[1] = objects.VersionedObject(found[1].key, 11, objects.encode(member))
    core = make_agent(make_store(found))
    # A jump of the clock counts as a pause, after which the agent drops work
    # that could run too late, so the clock advances in steps.
    for second in range(int(STARTED_AT_S) + 1):
        core.on_timer(float(second))
    return core, slots.address_key(cfg.name, "main")


def opening_packets(address: bytes, first: int, last: int) -> Iterator[Any]:
    """Yields the first packets of the flows numbered first to last - 1."""
    key = slots.service_key("service-0000")
    for index in range(first, last):
        caller = (f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}", 5000)
        flow = slots.udp_flow_id(address, caller)
        yield messages.Packet(key, flow, 2, 0, 0, "", relay.PAYLOAD)


def flow_slopes(quick: bool) -> dict[str, Any]:
    """Measures bytes and CPU time per flow in an agent's core."""
    sizes = (600, 1_200, 2_400) if quick else (5_000, 10_000, 20_000)
    # Placement checks each request in flight, and an upstream has few.
    request_counts = (100, 200, 400) if quick else (250, 500, 1_000)
    slopes = {}
    for name, work_class, counts, ends in (
        ("flow_long", "feeds", sizes, False),
        ("flow_request", "orders", request_counts, False),
        ("ended_request", "orders", sizes, True),
    ):
        used: Points = []
        spent: Points = []
        for count in counts:
            used.append(
                (
                    count,
                    allocated_bytes(
                        functools.partial(open_flows, work_class, count, ends)
                    ),
                )
            )
            core, address = flow_core(work_class)
            packets = list(opening_packets(address, 0, count))
            spent.append(
                (
                    count,
                    cpu_time_us(
                        functools.partial(run_flows, core, packets, ends)
                    ),
                )
            )
        slopes[f"{name}_bytes"] = fit_line(used, "bytes/flow")
        if count > request_counts[-1]:
            slopes[f"{name}_us"] = fit_line(spent, "us/flow")
    return slopes


def open_flows(
    work_class: str, count: int, ends: bool
) -> agent_core.TerminatingAgent:
    """Returns an agent core with a number of running or ended flows.

    Raises:
        RuntimeError: A flow is in another state than expected.
    """
    core, address = flow_core(work_class)
    run_flows(core, list(opening_packets(address, 0, count)), ends)
    states = [flow.state for flow in core._flows.values()]
    expected_state = flow_directory.ENDED if ends else flow_directory.RUNNING
    if len(states) != count or set(states) != {expected_state}:
        raise RuntimeError(f"some {work_class} flows are in another state")
    return core


def run_flows(
    core: agent_core.TerminatingAgent, packets: list[Any], ends: bool
) -> None:
    """Opens flows, and ends each at once if ``ends``."""
    sender = ("10.8.0.1", 4000)
    for packet in packets:
        core.on_message(STARTED_AT_S, sender, packet)
        if ends:
            incarnation = core._flows[packet.flow].incarnation
            core.on_ended(STARTED_AT_S, packet.flow, incarnation, True)


# Processor time.


def packet_slopes(quick: bool) -> dict[str, Any]:
    """Measures CPU time per packet in both cores, without sockets."""
    scale = 5_000 if quick else 40_000
    store = make_store(make_objects(10, 5, 5))
    balancer = make_balancer(store)
    address = balancer.find_address("service-0001", "main")
    assert address is not None
    callers = [(f"10.0.{i >> 8}.{i & 255}", 5000) for i in range(1000)]
    agent, key = flow_core("feeds")
    packets = list(opening_packets(key, 0, 1000))
    sender = ("10.8.0.1", 4000)
    for packet in packets:
        agent.on_message(STARTED_AT_S, sender, packet)

    def route(count: int) -> None:
        for i in range(count):
            balancer.on_datagram(1.0, address, callers[i % 1000], relay.PAYLOAD)

    def forward(count: int) -> None:
        for i in range(count):
            agent.on_message(STARTED_AT_S, sender, packets[i % 1000])

    def place(count: int) -> None:
        for i in range(count):
            flow, _ = balancer.open_flow(
                1.0,
                address,
                messages.FLOW_TCP,
                callers[i % 1000][0],
                i.to_bytes(slots.FLOW_ID_BYTES, "little"),
            )
            placed = messages.Placed(
                address.service.key, flow, i, "u-1", "10.0.0.7:7002"
            )
            balancer.on_message(1.0, sender, placed)
            balancer.on_attached(1.0, flow)

    slopes = {}
    for name, work in (
        ("balancer_packet", route),
        ("balancer_tcp_flow", place),
        ("agent_packet", forward),
    ):
        points: Points = []
        for count in (scale, 2 * scale, 3 * scale):
            runs = [
                cpu_time_us(functools.partial(work, count))
                for _ in range(REPETITIONS)
            ]
            points.append((count, statistics.median(runs)))
        slopes[f"{name}_us"] = fit_line(points, f"us/{name.split('_', 1)[1]}")
    return slopes


def changed_store(
    found: list[objects.VersionedObject], index: int, version: int
) -> objects.VersionedObject:
    """Returns a membership without its last member, as a new version."""
    old = msgspec.json.decode(found[index].body, type=objects.Membership)
    new = msgspec.structs.replace(old, members=old.members[:-1])
    return objects.VersionedObject(
        found[index].key, version, objects.encode(new)
    )


def step_times(steps: Iterator[Any]) -> list[float]:
    """Returns the CPU time of each step of a generator in ms."""
    spent, done = [], False

    def step() -> None:
        nonlocal done
        done = next(steps, "end") == "end"

    while not done:
        spent.append(cpu_time_us(step) / 1e3)
    return spent


def rebuild_figures(quick: bool) -> dict[str, Any]:
    """Measures the rebuild of a service's table at three sizes.

    A leaving member is the single change that computes the most scores.
    """
    figures: dict[str, Any] = {}
    totals: Points = []
    for count in (10, 100, 1_000):
        hash_slots = 1 << (16 * count - 1).bit_length()
        versioned_objects = make_objects(1, count, count, hash_slots)
        store = make_store(versioned_objects)
        front = balancer_core.TerminatingBalancer("entry-1", random.Random(1))
        full = step_times(front.apply(0.0, store))
        back = None if quick and count > 100 else make_agent(store)
        figures[f"rebuild_new_total_ms_{count}"] = round(sum(full), 1)
        leaves, joins, backs = [], [], []
        for repetition in range(REPETITIONS):
            store.apply_if_newer(
                changed_store(versioned_objects, 1, 10 + 2 * repetition)
            )
            leaves.append(step_times(front.apply(1.0, store)))
            backs.append(agent_steps(back, store))
            body = versioned_objects[1].body
            store.apply_if_newer(
                objects.VersionedObject(
                    versioned_objects[1].key, 11 + 2 * repetition, body
                )
            )
            joins.append(step_times(front.apply(1.0, store)))
            backs.append(agent_steps(back, store))
        # The full build runs once; its many similar steps allow a p99.
        full_build_step = (
            statistics.quantiles(full, n=100)[98] if full[1:] else full[0]
        )
        steps = [worst_step(leaves), worst_step(joins), full_build_step]
        figures[f"rebuild_ms_{count}"] = round(max(steps), 2)
        total = statistics.median(sum(run) for run in leaves)
        figures[f"rebuild_leave_total_ms_{count}"] = round(total, 2)
        if back is not None:
            agent_worst_ms = max(
                worst_step(backs[::2]), worst_step(backs[1::2])
            )
            figures[f"agent_rebuild_ms_{count}"] = round(agent_worst_ms, 2)
        totals.append((hash_slots, total * 1e3))
    figures["slopes"] = {"rebuild_leave_us": fit_line(totals, "us/hash slot")}
    return figures


def agent_steps(
    core: agent_core.TerminatingAgent | None, store: config_store.ConfigStore
) -> list[float]:
    """Returns the CPU time of each step of an agent's rebuild in ms."""
    if core is None:
        return []
    names = store.services_of("upstream-0000")
    first = cpu_time_us(lambda: core.apply(STARTED_AT_S, store, names))
    return [us / 1e3 for us in [first, *finish_builds(core)]]


def worst_step(runs: list[list[float]]) -> float:
    """Returns the largest of the medians of each step over the runs.

    The steps are the same in each run, so the median of a step discards delays
    of the machine.
    """
    steps = zip(*runs, strict=True)
    return max(statistics.median(step) for step in steps)


def change_slopes(quick: bool) -> dict[str, Any]:
    """Measures one membership change at a balancer and an agent.

    The longest step blocks the event loop.  Tables of other services do not
    change.
    """
    sizes = (300, 600, 1_200) if quick else (600, 1_200, ADDRESSES)
    points: dict[str, Points] = {}
    for services in sizes:
        found = make_objects(services, 5, services // 2)
        store = make_store(found)
        front, back = make_balancer(store), make_agent(store)
        runs: dict[str, list[float]] = {}
        for turn in range(REPETITIONS):
            version = len(found) + 1 + turn
            store.apply_if_newer(changed_store(found, 2 * turn + 1, version))
            steps = step_times(front.apply(1.0, store))
            first = (
                cpu_time_us(functools.partial(_apply_change, back, store)) / 1e3
            )
            finish_builds(back)
            for name, value in (
                ("balancer_change_total", sum(steps)),
                ("balancer_change_step", max(steps)),
                ("agent_change_step", first),
                (
                    "agent_timer",
                    cpu_time_us(functools.partial(_run_timers, back, 100))
                    / 1e5,
                ),
            ):
                runs.setdefault(name, []).append(value)
        for name, values in runs.items():
            median_us = statistics.median(values) * 1e3
            points.setdefault(name, []).append((services, median_us))
    return {
        f"{name}_us": fit_line(line, "us/address")
        for name, line in points.items()
    }


def _apply_change(
    core: agent_core.TerminatingAgent, store: config_store.ConfigStore
) -> None:
    """Applies a change as the agent's daemon does."""
    core.apply(1.0, store, store.services_of("upstream-0000"))


def _run_timers(core: agent_core.TerminatingAgent, count: int) -> None:
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
        "announcement_bytes": fit_line(upstreams, "bytes/endpoint"),
        "membership_body_bytes": fit_line(bodies, "bytes/endpoint"),
        "membership_packed_bytes": fit_line(packed, "bytes/endpoint"),
    }
    return figures


# The control fleet.


def fleet_figures(
    seed: int, sizes: tuple[int, ...], seconds: float
) -> dict[str, Any]:
    """Runs fleets of control cores, with a tenth of the objects."""
    points: dict[str, Points] = {}
    for daemons in sizes:
        found = control_bench.measure(seed, daemons, 0.1, seconds)
        control_bench.print_fleet(f"{daemons} daemons", found)
        for name in ("bytes", "busiest_bytes", "cpu_us", "reads"):
            points.setdefault(name, []).append((daemons, found[name]))
    return {
        f"fleet_{name}": fit_line(line, f"{name}/daemon")
        for name, line in points.items()
    }
