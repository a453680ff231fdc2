"""Capacity model of the product's own interface.

Measured slopes, and the tables of docs/measurements/capacity-own-interface.md.
``--write`` stores the measurements in the JSON file beside that page.  ``--page``
measures nothing and rewrites the tables from that file.  Figures on the page
are slopes of memory, CPU time or bytes, times a count.
"""

from collections.abc import Callable, Sequence
import json
import pathlib
import time
from typing import Any, NamedTuple

from bench import driver

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / "docs" / "measurements"
STORED = FOLDER / "capacity-own-interface.json"
PAGE = FOLDER / "capacity-own-interface.md"
COMMAND = "python -m bench.capacity --write"
SEED = 1

# Counts at the target, from docs/design.md, section 1.
DAEMONS = 1_300
BALANCERS = 100
AGENTS = 1_200
ENDPOINTS = 12_000
ADDRESSES = 2_400
FLOWS = 18_000_000
NEW_FLOWS_PER_S = 100_000
CHANGES_PER_DAY = 4_900
FAILURES_PER_DAY = 38
RESTARTS_PER_DAY = 1_900
DOMAINS = 4
DAY_S = 86_400

# Constants of the product that the formulas use.
ENTRY_COPIES = 2
TOMBSTONE_S = 30  # core/flows/agent.py DEFAULT_RETRANSMIT_WINDOW_S
KNOWN_DAEMONS = 64  # core/control/gossip.py MAX_ROWS
AGENT_TIMER_HZ = 50  # daemons/agent.py TIMER_S
MEASURED_FLEET_SIZES = (100, 200, 300)
REPORTS_PER_S = 16  # core/flows/agent.py MAX_REPORTS_PER_INTERVAL
HASH_SLOTS = 128  # per service, objects.Service
STATES_PER_RESTART = 5  # announced by a host, from draining to ready
UDP_HEADER_BYTES = 28
LINK_DIGESTS_PER_S = 8 / 10  # digest and answer on 4 links each 10 s

# Bounds from docs/design.md, section 1.
MAX_CONTROL_MB = 128.0
MAX_CORE_SHARE = 2.3
MAX_CONTROL_BYTES_PER_S = 7_000.0
MAX_STEP_MS = 5.0
MAX_FLOW_BYTES = 500.0
MAX_WRITES_PER_S = 200.0
MAX_READS_PER_S = 1_000.0


class Check(NamedTuple):
    """A figure with its upper bound.

    Attributes:
        name: Name of the figure.
        value: Value by the formulas.
        bound: Upper bound from docs/design.md.
        met: True if the page claims that the bound is met.
        module: Responsible module, or the cause if the bound is not met.
    """

    name: str
    value: float
    bound: float
    met: bool
    module: str


class Model:
    """Slopes and figures of the stored measurements."""

    def __init__(self, stored: dict[str, Any]) -> None:
        self.slopes: dict[str, Any] = stored["slopes"]
        self.figures: dict[str, Any] = stored["figures"]

    def slope(self, name: str) -> float:
        """Returns the slope of a fitted line."""
        return float(self.slopes[name]["slope"])

    def value_at(self, name: str, count: float) -> float:
        """Returns the value of a fitted line at a count."""
        return self.slope(name) * count + float(self.slopes[name]["intercept"])


def _format_mb(count: float) -> str:
    return f"{_format_number(count / 1e6)} MB"


def _format_number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def control_bytes(model: Model, role: str) -> float:
    """Returns the bytes of control state of a role at the target counts."""
    parts = ["store", "plane", role]
    total = KNOWN_DAEMONS * model.slope("known_daemon_bytes")
    for part in parts:
        total += ADDRESSES * model.slope(f"{part}_address_bytes")
        total += ENDPOINTS * model.slope(f"{part}_endpoint_bytes")
    if role == "agent":
        total += owned_slots() * model.slope("owned_slot_bytes")
    return total


def owned_slots() -> float:
    """Returns the hash slots that an agent owns."""
    return ADDRESSES * HASH_SLOTS / AGENTS


def report_bytes_per_s(model: Model) -> float:
    """Returns the bytes/s of load reports of an agent, both directions."""
    size = model.figures["load_report_bytes"] + UDP_HEADER_BYTES
    sent = REPORTS_PER_S // (ENDPOINTS // AGENTS) * (ENDPOINTS // AGENTS)
    return float(2 * sent * size)


def timer_share(model: Model) -> float:
    """Returns the CPU use of an agent's idle timers, percent of a core."""
    return model.value_at("agent_timer_us", ADDRESSES) * AGENT_TIMER_HZ / 1e4


def changes_share(model: Model) -> float:
    """Returns the CPU use of membership changes at a balancer, percent."""
    each = model.value_at("balancer_change_total_us", ADDRESSES)
    return each * writes_per_s() / 1e4


def fleet_reads(model: Model) -> float:
    """Returns the peak of platform reads per second.

    The peak hardly depends on the number of daemons, so the fitted line may
    fall; the value at the largest measured fleet is the minimum.
    """
    largest = max(MEASURED_FLEET_SIZES)
    return max(model.value_at("fleet_reads", n) for n in (largest, DAEMONS))


def list_checks(model: Model) -> list[Check]:
    """Returns the bounded figures with the claims of the page.

    The claims are fixed here, so a measurement that moves a figure across its
    bound fails the test until claim and page are corrected.
    """
    f = model.figures
    timers_share = timer_share(model)
    return [
        Check(
            "control state of a balancer, measured whole, MB",
            f["control_mb_12000"],
            MAX_CONTROL_MB,
            True,
            "core/control/config_store.py, core/control/controlplane.py, core/flows/balancer.py",
        ),
        Check(
            "resident memory of that process, MB",
            f["balancer_resident_mb_12000"],
            MAX_CONTROL_MB,
            True,
            "the same, with interpreter and libraries",
        ),
        Check(
            "control state of an agent by slopes, MB",
            control_bytes(model, "agent") / 1e6,
            MAX_CONTROL_MB,
            True,
            "core/flows/service_state.py, core/flows/ownership.py",
        ),
        Check(
            "state per open long flow and process, bytes",
            model.slope("flow_long_bytes"),
            MAX_FLOW_BYTES,
            True,
            "core/flows/flow_directory.py",
        ),
        Check(
            "state per open request and process, bytes",
            model.slope("flow_request_bytes"),
            MAX_FLOW_BYTES,
            False,
            "entry, admission and placement of a running request",
        ),
        Check(
            "spreading, bytes/s of a daemon",
            model.value_at("fleet_bytes", DAEMONS),
            MAX_CONTROL_BYTES_PER_S,
            True,
            "core/control/gossip.py",
        ),
        Check(
            "load reports, bytes/s of an agent",
            report_bytes_per_s(model),
            MAX_CONTROL_BYTES_PER_S,
            True,
            "core/flows/agent.py",
        ),
        Check(
            "spreading and load reports of an agent, bytes/s",
            report_bytes_per_s(model) + model.value_at("fleet_bytes", DAEMONS),
            MAX_CONTROL_BYTES_PER_S,
            True,
            "core/flows/agent.py MAX_REPORTS_PER_INTERVAL, core/control/gossip.py",
        ),
        Check(
            "spreading, percent of a core",
            model.value_at("fleet_cpu_us", DAEMONS) / 1e4,
            MAX_CORE_SHARE,
            True,
            "core/control/gossip.py, core/control/membership.py",
        ),
        Check(
            "idle timers of an agent, percent of a core",
            timers_share,
            MAX_CORE_SHARE,
            True,
            "core/flows/agent.py keeps the services of its host only",
        ),
        Check(
            "membership changes at a balancer, percent of a core",
            changes_share(model),
            MAX_CORE_SHARE,
            True,
            "core/flows/balancer.py takes only what changed",
        ),
        Check(
            "rebuild at an agent, 1,000 endpoints, worst step, ms",
            f["agent_rebuild_ms_1000"],
            MAX_STEP_MS,
            True,
            "core/flows/service_state.py takes table and members in separate steps",
        ),
        Check(
            "rebuild at 1,000 endpoints, worst step, ms",
            f["rebuild_ms_1000"],
            MAX_STEP_MS,
            True,
            "core/flows/slots.py, core/flows/balancer.py, core/flows/liveness.py",
        ),
        Check(
            "membership change at a balancer, worst step, ms",
            model.value_at("balancer_change_step_us", ADDRESSES) / 1e3,
            MAX_STEP_MS,
            True,
            "core/flows/balancer.py compares versions, then takes one service",
        ),
        Check(
            "membership change at an agent, worst step, ms",
            model.value_at("agent_change_step_us", ADDRESSES) / 1e3,
            MAX_STEP_MS,
            True,
            "core/control/config_store.py finds the services of the host",
        ),
        Check(
            "platform reads/s of the fleet, peak",
            fleet_reads(model),
            MAX_READS_PER_S,
            True,
            "core/control/gossip.py watchers, objectapi/client.py",
        ),
        Check(
            "platform writes/s, ordinary day",
            writes_per_s(),
            MAX_WRITES_PER_S,
            True,
            "core/control/membership.py batches",
        ),
    ]


def writes_per_s() -> float:
    """Returns the mean platform writes per second on an ordinary day.

    Each state change of a restarted host writes one object per service on it.
    """
    services = ENDPOINTS / AGENTS
    restarts = (RESTARTS_PER_DAY + FAILURES_PER_DAY) * AGENTS / DAEMONS
    writes = restarts * STATES_PER_RESTART * services + CHANGES_PER_DAY
    return writes / DAY_S


Table = tuple[tuple[str, ...], Sequence[tuple[str, ...]]]


def slopes_table(model: Model) -> Table:
    """Returns the table of slopes with counts and fitting errors."""
    rows = [
        (
            name,
            _format_number(found["slope"]),
            found["unit"],
            ", ".join(_format_number(x) for x, _ in found["points"]),
            f"{found['error']:.1%}",
        )
        for name, found in sorted(model.slopes.items())
    ]
    return ("slope", "value", "unit", "measured at", "largest residual"), rows


def figures_table(model: Model) -> Table:
    """Returns the table of figures that are measured at one size."""
    rows = [(n, _format_number(v)) for n, v in sorted(model.figures.items())]
    return ("figure", "value"), rows


def state_table(model: Model) -> Table:
    """Returns the table of state by role."""
    rows = []
    for role in ("balancer", "agent"):
        for part, module in (
            ("store", "core/control/config_store.py"),
            ("plane", "core/control/controlplane.py"),
            (role, f"core/{role}.py"),
        ):
            for axis, count in (
                ("address", ADDRESSES),
                ("endpoint", ENDPOINTS),
            ):
                slope = model.slope(f"{part}_{axis}_bytes")
                rows.append(
                    (
                        role,
                        f"{part}, by {axis}",
                        f"{_format_number(slope)} B x {count:,}",
                        _format_mb(slope * count),
                        module,
                    )
                )

    def add(role: str, what: str, name: str, count: float, module: str) -> None:
        slope = model.slope(name)
        sized = f"{_format_number(slope)} B x {count:,.0f}"
        rows.append((role, what, sized, _format_mb(slope * count), module))

    for role in ("balancer", "agent", "watcher"):
        add(
            role,
            "known daemons",
            "known_daemon_bytes",
            KNOWN_DAEMONS,
            "core/control/gossip.py",
        )
    ownership_module = "core/flows/ownership.py"
    add(
        "agent",
        "owned hash slots",
        "owned_slot_bytes",
        owned_slots(),
        ownership_module,
    )
    directory_module = "core/flows/flow_directory.py"
    flows_per_agent = FLOWS / AGENTS
    add(
        "agent",
        "long flows it holds",
        "flow_long_bytes",
        flows_per_agent,
        directory_module,
    )
    add(
        "agent",
        "entries of flows held elsewhere",
        "flow_long_bytes",
        flows_per_agent,
        directory_module,
    )
    ended = NEW_FLOWS_PER_S / AGENTS * TOMBSTONE_S * ENTRY_COPIES
    add(
        "agent",
        "tombstones, 30 s x 2 copies",
        "ended_request_bytes",
        ended,
        directory_module,
    )
    body = ADDRESSES * model.value_at(
        "membership_body_bytes", ENDPOINTS / ADDRESSES
    )
    rows.append(
        (
            "platform",
            "memberships as JSON",
            f"{ADDRESSES:,} objects of 5 endpoints",
            _format_mb(body),
            "objectapi/client.py",
        )
    )
    rows.append(("operator", "one object a command", "-", "-", "operations.py"))
    return ("role", "state", "slope x count", "total", "module"), rows


def message_table(model: Model) -> Table:
    """Returns the table of messages by role."""
    f = model.figures
    change = f["announce_bytes"] + f["want_bytes"]
    change += model.value_at("membership_packed_bytes", ENDPOINTS / ADDRESSES)
    daily = writes_per_s()
    digest = f["digest_bytes"] * LINK_DIGESTS_PER_S
    record = model.value_at("announcement_bytes", ENDPOINTS / AGENTS)
    restarts = RESTARTS_PER_DAY * AGENTS / DAEMONS
    announced = record * restarts * STATES_PER_RESTART / DAY_S / (2 * DOMAINS)
    rows = [
        (
            "all",
            "digests on 4 links",
            _format_number(digest),
            "core/control/gossip.py",
        ),
        (
            "all",
            "changes taken: announce, want, object",
            _format_number(change * daily),
            "core/control/gossip.py",
        ),
        (
            "all",
            "spreading by fleet runs, all messages and headers",
            _format_number(model.value_at("fleet_bytes", DAEMONS)),
            "bench/control.py",
        ),
        (
            "watcher",
            "busiest daemon of fleet runs, extrapolated",
            _format_number(model.value_at("fleet_busiest_bytes", DAEMONS)),
            "core/control/gossip.py",
        ),
        (
            "watcher",
            "announcements taken",
            _format_number(announced),
            "core/control/membership.py",
        ),
        (
            "agent",
            "load reports, both directions",
            _format_number(report_bytes_per_s(model)),
            "core/flows/agent.py",
        ),
        (
            "platform",
            "writes a second, ordinary day",
            _format_number(daily),
            "core/control/membership.py",
        ),
        (
            "platform",
            "reads a second, peak",
            _format_number(fleet_reads(model)),
            "core/control/gossip.py",
        ),
        (
            "operator",
            "changes a second",
            _format_number(CHANGES_PER_DAY / DAY_S),
            "operations.py",
        ),
    ]
    return ("role", "messages", "bytes/s or calls/s", "module"), rows


def processor_table(model: Model) -> Table:
    """Returns the table of CPU time by role."""
    new = NEW_FLOWS_PER_S / AGENTS
    entering = NEW_FLOWS_PER_S / BALANCERS
    rows = [
        (
            "balancer",
            "TCP flows opened, without sockets",
            f"{_format_number(model.slope('balancer_tcp_flow_us'))} us x {entering:,.0f}/s",
            f"{model.slope('balancer_tcp_flow_us') * entering / 1e4:.2f}%",
        ),
        (
            "agent",
            "long flows opened, without sockets",
            f"{_format_number(model.slope('flow_long_us'))} us x {new:.0f}/s",
            f"{model.slope('flow_long_us') * new / 1e4:.2f}%",
        ),
        (
            "agent",
            "requests, opened and ended",
            f"{_format_number(model.slope('ended_request_us'))} us x {new:.0f}/s",
            f"{model.slope('ended_request_us') * new / 1e4:.2f}%",
        ),
        (
            "agent",
            "idle timers",
            f"{_format_number(model.value_at('agent_timer_us', ADDRESSES))} us x "
            f"{AGENT_TIMER_HZ}/s",
            f"{timer_share(model):.2f}%",
        ),
        (
            "balancer",
            "membership changes",
            f"{_format_number(model.value_at('balancer_change_total_us', ADDRESSES))} us x "
            f"{writes_per_s():.2f}/s",
            f"{changes_share(model):.2f}%",
        ),
        (
            "agent",
            "membership changes",
            f"{_format_number(model.value_at('agent_change_step_us', ADDRESSES))} us x "
            f"{writes_per_s():.2f}/s",
            f"{model.value_at('agent_change_step_us', ADDRESSES) * writes_per_s() / 1e4:.2f}%",
        ),
        (
            "all",
            "spreading by fleet runs",
            f"{_format_number(model.value_at('fleet_cpu_us', DAEMONS))} us/s",
            f"{model.value_at('fleet_cpu_us', DAEMONS) / 1e4:.3f}%",
        ),
    ]
    for role, count in (("balancer", BALANCERS), ("agent", AGENTS)):
        hop = model.figures[f"udp_{role}_hop_us"]
        rows.append(
            (
                role,
                "packets that fill one core, each direction alone",
                f"1 s / {hop:.1f} us with sockets",
                f"{1e6 / hop:,.0f}/s, one a flow in {FLOWS / count * hop / 1e6:.2f} s",
            )
        )
    return ("role", "work", "slope x count", "share of a core"), rows


def failure_table(model: Model) -> Table:
    """Returns the table of failures and their effects."""
    held = FLOWS / AGENTS
    per_host = ENDPOINTS / AGENTS
    domain = AGENTS / DOMAINS
    # Every other member of a service may become owner of some of the slots, and
    # then queries all members.
    others = ENDPOINTS / ADDRESSES - 1
    queries = per_host * others * others
    recovery_writes = domain * per_host * STATES_PER_RESTART
    known = model.value_at("fleet_bytes", DAEMONS)
    rows = [
        (
            "upstream host dies, 38 a day",
            f"{held:,.0f} flows lost",
            f"{per_host:.0f} writes; {queries:,.0f} slot queries of "
            f"{model.figures['slot_query_bytes']} B and as many reports",
            "core/flows/handover.py, core/control/membership.py",
        ),
        (
            "balancer dies",
            f"TCP of {FLOWS / BALANCERS:,.0f} flows reset; others go on",
            f"new flows of the others +{100 / (BALANCERS - 1):.1f}%",
            "core/flows/balancer.py",
        ),
        (
            "restart, 1,900 a day",
            "0 by a planned change",
            f"{STATES_PER_RESTART * per_host:.0f} writes each, "
            f"{writes_per_s():.2f}/s over the day",
            "core/control/membership.py",
        ),
        (
            "rack or switch, about 20 agents",
            f"{20 * held:,.0f} flows lost",
            f"{20 * per_host:.0f} writes, at 160/s {20 * per_host / 160:.2f} "
            f"s; {20 * queries:,.0f} slot queries",
            "core/control/membership.py WRITES_PER_S",
        ),
        (
            "failure domain lost and back",
            f"{domain * held:,.0f} flows lost",
            f"{domain * queries:,.0f} slot queries; back: up to {recovery_writes:,.0f} writes unmerged, at 160/s "
            f"{recovery_writes / 160:.0f} s",
            "core/control/membership.py WRITES_PER_S",
        ),
        (
            "regions apart for an hour",
            "0; each region goes on",
            f"up to {writes_per_s() * 3600:,.0f} changes to catch up with, "
            f"{known:,.0f} B/s go on",
            "core/control/gossip.py digests",
        ),
        (
            "platform down",
            "0",
            "0 writes; drain notices spread between daemons",
            "core/control/gossip.py, core/control/controlplane.py",
        ),
    ]
    return ("failure", "flows", "messages and writes", "module"), rows


def bounds_table(model: Model) -> Table:
    """Returns the table of bounded figures."""
    rows = [
        (
            check.name,
            _format_number(check.value),
            _format_number(check.bound),
            "met" if check.met else "**not met**",
            check.module,
        )
        for check in list_checks(model)
    ]
    return ("figure", "value", "bound", "", "module or cause"), rows


def limits_table(model: Model) -> Table:
    """Returns the table of limits of the design, and costs to raise them."""
    hop = model.figures["udp_balancer_hop_us"]
    peers_per_s = REPORTS_PER_S // (ENDPOINTS // AGENTS)
    per_agent = ENDPOINTS / AGENTS
    writes = ENDPOINTS * STATES_PER_RESTART / DOMAINS
    rows = [
        (
            "packets of 18 million flows",
            f"100 balancers pass {BALANCERS * 1e6 / hop:,.0f} packets/s in one "
            "direction on a core each",
            f"one packet a flow each 10 s needs "
            f"{FLOWS / 10 * hop / 1e6:.0f} cores of balancers: several "
            "processes on one port (SO_REUSEPORT), as balancers share nothing",
        ),
        (
            "library flows at 12 KB each (the lead's figure, not measured "
            "here)",
            f"{FLOWS / AGENTS * 12e3 / 1e6:.0f} MB an agent, "
            f"{FLOWS / BALANCERS * 12e3 / 1e9:.2f} GB a balancer if all are",
            "streams without asyncio's reader and writer, one protocol object "
            "each; memory by flow then near the directory entry's",
        ),
        (
            "load reports of a service with 1,000 endpoints",
            f"each report reaches {peers_per_s} peers a second: a peer's is "
            f"{1000 / peers_per_s:.0f} s old, and {peers_per_s * 10} of 1,000 heard in 10 s "
            "are no majority",
            f"two choices over a fixed sample of 32 peers: {per_agent:.0f} "
            f"endpoints x 32 reports are sent in {32 / peers_per_s:.0f} s; leases "
            "then rest on watchers",
        ),
        (
            "a member of a service with 1,000 endpoints dies",
            "up to 16 new owners ask 999 members: 16,000 queries and reports "
            "at once",
            "one query for all slots of a dead owner, sent by its first "
            "successor: 1,000 queries and reports",
        ),
        (
            "a failure domain comes back",
            f"{writes:,.0f} writes at 160/s last {writes / 160:.0f} s",
            "batches of 2 s instead of 0.2 s merge the hosts of a service: "
            f"{ADDRESSES * STATES_PER_RESTART:,} writes at most, "
            f"{ADDRESSES * STATES_PER_RESTART / 160:.0f} s",
        ),
    ]
    return ("subject", "today", "next design and cost"), rows


TABLES: dict[str, Callable[[Model], Table]] = {
    "bounds": bounds_table,
    "state": state_table,
    "messages": message_table,
    "processor": processor_table,
    "failures": failure_table,
    "limits": limits_table,
    "slopes": slopes_table,
    "figures": figures_table,
}


def render(table: Table) -> str:
    """Returns a table as Markdown."""
    head, rows = table
    lines = [head, tuple("---" for _ in head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def rewrite(page: str, model: Model) -> str:
    """Returns the page with the tables between its markers replaced.

    Raises:
        ValueError: The page lacks the markers of a table.
    """
    for name, make in TABLES.items():
        begin, end = f"<!-- table {name} -->\n", f"\n<!-- end {name} -->"
        before, found, rest = page.partition(begin)
        _, closed, after = rest.partition(end)
        if not found or not closed:
            raise ValueError(f"the page has no markers of table {name}")
        page = before + begin + render(make(model)) + end + after
    return page


def load() -> dict[str, Any]:
    """Reads the stored measurements."""
    stored: dict[str, Any] = json.loads(STORED.read_text())
    return stored


def measure(quick: bool) -> dict[str, Any]:
    """Measures slopes and figures; a quick run omits the fleets."""
    import asyncio

    from bench import capacity_measure as bench
    from bench import relay

    slopes: dict[str, Any] = {}
    figures: dict[str, Any] = {}

    def record(name: str, found: dict[str, Any]) -> None:
        slopes.update(found.pop("slopes", {}))
        for key, value in found.items():
            (slopes if isinstance(value, dict) else figures)[key] = value
        print(f"{time.process_time():6.1f} s {name}", flush=True)

    # First, as it measures the resident memory of the process.
    record("control state", bench.control_state())
    record("state", bench.state_slopes(quick))
    record("daemons", bench.daemon_slope())
    record("owned slots", bench.owned_slot_slope())
    record("messages", bench.message_figures())
    record("flows", bench.flow_slopes(quick))
    record("packets", bench.packet_slopes(quick))
    record("changes", bench.change_slopes(quick))
    record("rebuild", bench.rebuild_figures(quick))
    hops = (3, 30) if quick else (7, 100)
    record("hops", asyncio.run(relay.udp_figures(*hops)))
    if not quick:
        sizes, seconds = (100, 200, 300), 40.0
        record("fleets", bench.fleet_figures(SEED, sizes, seconds))
    return {
        "command": COMMAND,
        "seed": SEED,
        "slopes": slopes,
        "figures": figures,
    }


def main() -> None:
    """Runs the measurements, or rewrites the page with ``--page``."""
    args = driver.parse_args(
        __doc__ or "",
        1,
        {
            "write": "store the measured slopes beside the page",
            "page": "rewrite the tables of the page from the stored slopes",
        },
    )
    if args.page:
        PAGE.write_text(rewrite(PAGE.read_text(), Model(load())))
        return
    measured = measure(args.quick)
    if args.write and not args.quick:
        STORED.write_text(json.dumps(measured, indent=1, sort_keys=True) + "\n")
        for name, make in TABLES.items():
            print(f"\n{name}\n{render(make(Model(measured)))}")
    slopes = {name: line["slope"] for name, line in measured["slopes"].items()}
    driver.print_figures(args, slopes | measured["figures"])


if __name__ == "__main__":
    main()
