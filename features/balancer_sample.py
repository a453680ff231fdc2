"""A forwarding balancer's core with agents, for the steps of its features."""

import random

import msgspec

from crocusmux.core.forward import balancer
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

ROUNDS = ("198.18.0.1", 443)
# A caller takes a reset whose sequence lies this close to its last
# acknowledgement, in bytes (source: the platform's protocol).
RESET_WINDOW = 76_800
FAILURE_DOMAINS = ("abay", "enbek", "karatau", "turan")
BALANCER_ADDRESS = ("10.0.0.9", 7720)
# A caller's first retransmission of its SYN (source: the platform's protocol).
SYN_RETRANSMIT_S = 0.2
CALLER = b"\x64\x40\x00\x07"


def record(host, service, ip, domain="abay"):
    control = (ip, 7720)
    return upstreams.AgentRecord(host, service, domain, (ip, 8172), control)


def configuration(
    version, with_routes=True, service="rounds", repeatable=False
):
    route = routes.Route(
        "bookings", ROUNDS, ((service, 1),), 2.0, 0.2, 1, repeatable
    )
    return routes.Configuration(version, (route,) if with_routes else ())


def load_report(host, service="rounds", sequence=1, **changes):
    values = {
        "host": host,
        "service": service,
        "incarnation": 1,
        "sequence": sequence,
        "accepting": True,
        "slots": 2,
        "in_progress": 0.5,
        "flows": 10,
        "service_ms": 30.0,
        "interval_s": 0.25,
        "config_version": 5,
        "config_source": "",
    }
    return reports.LoadReport(**{**values, **changes})


def flow_key(port):
    return (
        CALLER + port.to_bytes(2, "big") + routes.encode_route_address(ROUNDS)
    )


def segment(key, opening=False, ack=0, length=0):
    return segments.Segment(
        key, True, opening, not opening, False, False, False,
        1000, ack, length, 0, 0, b"",
    )  # fmt: skip


def offers(outs):
    return [
        o for o in outs if isinstance(o, outputs.ToAgent) and o.segment.opening
    ]


def resets(context):
    return [o for o in context.outs if isinstance(o, outputs.Reset)]


def host_at(context, address):
    return host_of(context, address, lambda record: record.address)


def host_of(context, address, address_of):
    """Returns the host with an address; remembers where it was found."""
    table = context.core.agent_table
    if not hasattr(context, "hosts_by_address"):
        context.hosts_by_address = {}
    known = table.get(context.hosts_by_address.get(address, ""))
    if known is None or address_of(known.record) != address:
        found = [x for x in table.all() if address_of(x.record) == address]
        (known,) = found
        context.hosts_by_address[address] = known.record.host
    return known.record.host


def offered_hosts(context):
    return [host_at(context, o.to) for o in offers(context.outs)]


def start(context, domain="abay", cfg=None, **options):
    """Starts a balancer; ``options`` are keyword arguments of its class."""
    context.now = 100.0
    context.sequence = 1
    context.outs = []
    context.store_answers = True
    context.core = balancer.ForwardingBalancer(
        "edge-1",
        domain,
        BALANCER_ADDRESS,
        "10.0.0.9:8166",
        random.Random(1),
        **options,
    )
    context.core.configure(cfg or configuration(5))


def report_all(context, hosts, **changes):
    context.sequence += 1
    outs = []
    for host in hosts:
        service = context.core.agent_table.get(host).record.service
        outs += context.core.on_message(
            context.now, load_report(host, service, context.sequence, **changes)
        )
    return outs


def start_with_agents(context, cfg=None, hedge_share=0.0, **options):
    """Starts with the agents a, b, c of rounds and d of wheelbook."""
    start(context, cfg=cfg, hedge_share=hedge_share, **options)
    for number, host in enumerate("abcd", 1):
        service = "wheelbook" if host == "d" else "rounds"
        context.core.add_agent(
            context.now, record(host, service, f"10.0.1.{number}")
        )
    report_all(context, "abcd")


def add_agents(context, count, domains=("abay",)):
    context.hosts = [f"h{number}" for number in range(count)]
    for number, host in enumerate(context.hosts):
        ip = f"10.0.{2 + number // 250}.{number % 250}"
        domain = domains[number % len(domains)]
        context.core.add_agent(context.now, record(host, "rounds", ip, domain))
    report_all(context, context.hosts)


def repeat_reports(context):
    """Repeats all reports, so that no offer is unreported."""
    context.sequence += 1
    for upstream in context.core.agent_table.all():
        if upstream.report is not None and upstream.accepts(context.now):
            again = msgspec.structs.replace(
                upstream.report, sequence=context.sequence
            )
            context.core.on_message(context.now, again)


def read_lists(context, outs):
    """Lets the store answer if the balancer reads the list of agents."""
    list_requested = any(isinstance(x, outputs.ListAgents) for x in outs)
    if list_requested and context.store_answers:
        context.core.agent_table.record_list(context.now)


def check_order(context, numbers, now):
    expected = [flow_key(int(n)) for n in numbers.split(", ")]
    assert [x.key for x in context.queue.next_offers(now)] == expected


def queried_hosts_in(context, outs):
    """Returns the hosts that are queried or probed for the flow, in order."""
    hosts = [
        host_at(context, o.to)
        for o in outs
        if isinstance(o, outputs.ToAgent) and o.mark == segments.MARK_PROBE
    ]
    for host, query in queries_in(context, outs):
        if context.key in dict(query.flows):
            hosts.append(host)
    return hosts


def queries_in(context, outs):
    """Returns the queries with the hosts that they go to."""
    return [
        (host_with_control(context, o.to), o.message)
        for o in outs
        if isinstance(o, outputs.ToPeer)
        and isinstance(o.message, reports.FlowQuery)
    ]


def hosts_queried(context):
    return queried_hosts_in(context, context.outs)


def host_with_control(context, address):
    return host_of(context, address, lambda record: record.control)


def subscriptions_in(context, outs):
    """Returns the hosts that get a subscription, in order."""
    return [
        host_with_control(context, o.to)
        for o in outs
        if isinstance(o, outputs.ToPeer)
        and isinstance(o.message, reports.Subscribe)
    ]
