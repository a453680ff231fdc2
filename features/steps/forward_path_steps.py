import asyncio
import json
import math
import random
import socket

from behave import given
from behave import then
from behave import when

from crocusmux import forwarding
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.daemons import forward_agent
from crocusmux.daemons import forward_balancer
from crocusmux.daemons import udp
from crocusmux.objectapi import http
from crocusmux.platform import __main__ as platform_main
from crocusmux.platform import packets
from features import loop as event_loop
from features import store_standin
from features.steps import platform_adapter_steps as wire

# Each host has its own loopback address, so that all use the same ports.
CALLER_IP = "127.0.9.1"
ROUTE = ("198.18.0.1", 8443)
BASE_SEQ = 5000
POLL_INTERVAL_S = 0.05


class Upstream:
    """Upstream that answers openings and requests."""

    def __init__(self, number, ip, ports):
        self.number = number
        self.openings = []
        self.requests = []
        self.returned = 0
        self.mute = False
        self.outbound = (ip, ports["outbound"])
        self.held_flows = set()
        self.socket = udp.UdpSocket((ip, ports["app"]), self.on_datagram)

    def on_datagram(self, data, sender):
        del sender
        seg = packets.decode_from_caller(data)
        if seg.opening:
            self.openings.append(seg)
            if not self.mute:
                self.answer_last()
        elif seg.acknowledges and seg.ack == BASE_SEQ + self.number:
            self.held_flows.add(seg.key)
            if seg.length:
                self.requests.append(seg)
                self.send(seg, wire.FLAGS["ACK"], BASE_SEQ + 1, b"answer")
        else:
            self.returned += 1
            flags = data[30] | wire.FLAGS["BOUNCED"]
            back = data[:30] + bytes([flags, 0]) + data[32:]
            self.socket.send(back, self.outbound)

    def answer_last(self):
        """Answers the last opening."""
        flags = wire.FLAGS["SYN"] | wire.FLAGS["ACK"]
        self.send(self.openings[-1], flags, BASE_SEQ, b"")

    def send(self, seg, flags, seq, data):
        caller, _, route = segments.format_flow_key(seg.key).partition(">")
        if flags & wire.FLAGS["SYN"]:
            # The caller's acknowledgement, one higher, identifies the upstream.
            seq = BASE_SEQ + self.number - 1
        out = wire.packet(
            wire.endpoint(route), wire.endpoint(caller), seq, 0, flags, data
        )
        self.socket.send(out, self.outbound)


def free_ports(count):
    """Returns ports that are free on all loopback addresses now.

    A port that is free for UDP may be taken by a TCP connection that has just
    ended, so both are tried.
    """
    ports, sockets = [], []
    while len(ports) < count:
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets += [datagrams, stream]
        datagrams.bind(("0.0.0.0", 0))
        port = datagrams.getsockname()[1]
        try:
            stream.bind(("0.0.0.0", port))
        except OSError:
            continue
        ports.append(port)
    for sock in sockets:
        sock.close()
    return ports


def settings(context, role, number):
    ip = f"127.0.{1 if role == 'balancer' else 2}.{number}"
    port = context.ports
    seeds = tuple(
        (f"127.0.1.{seed}", port["control"])
        for seed in getattr(context, "seeds", (1,))
    )
    return forwarding.HostSettings(
        role=role,
        host=f"{role}-{number}",
        failure_domain=getattr(context, "domains", {}).get(
            (role, number), "abay"
        ),
        segments=(ip, port["segments"]),
        caller_port=port["segments"],
        readiness=(ip, port["readiness"]),
        control=(ip, port["control"]),
        messages=(ip, port["messages"]),
        metrics=(ip, port["metrics"]),
        seeds=seeds,
        store=context.standin.address,
        heartbeat_s=1.2,
        grace_s=6.0,
        first_start=getattr(context, "first_start", True),
        evacuations=getattr(context, "evacuations", False),
        hedge_share=getattr(context, "hedge_share", 0.0),
        free_slot_first=getattr(context, "free_slot_first", False),
        service=service_of(context, number) if role == "agent" else "",
        upstream=(ip, port["app"]) if role == "agent" else ("", 0),
        outbound=(ip, port["outbound"]) if role == "agent" else ("", 0),
    )


def service_of(context, number):
    """Returns the service of a host's upstream."""
    return getattr(context, "services", {}).get(number, "rounds")


def start_daemon(context, role, number):
    cfg = settings(context, role, number)
    context.daemon_starts = getattr(context, "daemon_starts", 0) + 1
    # Each start draws other numbers, as a real one does.
    rng = random.Random(context.daemon_starts)
    module = forward_balancer if role == "balancer" else forward_agent
    daemon_class = getattr(module, role.capitalize() + "ForwardingDaemon")

    async def create():
        daemon = daemon_class(cfg, platform_main.make_adapter(cfg), rng)
        await daemon.start()
        return daemon

    daemon = context.loop.run_until_complete(create())
    context.daemons[role, number] = daemon
    return daemon


def kill_daemon(context, role, number):
    """Ends a daemon at once, as a kill does."""
    daemon = context.daemons.pop((role, number))
    for task in list(daemon._tasks):
        task.cancel()
    for server in daemon._servers:
        server.stop()
    daemon._messenger.socket.close()
    daemon._segments.close()
    if role == "agent":
        daemon._outbound.close()


def wait_until(context, condition, limit=3.0):
    return context.loop.advance_until(condition, POLL_INTERVAL_S, limit)


def publish_routes(context, version, ports, service="rounds"):
    state = wire.desired_state()
    base = {**state["routes"][0], "service": service}
    state["version"] = version
    state["routes"] = [
        {**base, "name": f"r{port}", "path_prefix": f"/{port}/"}
        for port in ports
    ]
    context.standin.put("config", "main", state)


def send_heartbeat(context, number, sequence, path="heartbeat", state="ready"):
    ip = f"127.0.2.{number}"
    body = {
        "service": service_of(context, number),
        "address": f"{ip}:{context.ports['app']}",
        "zone": "abay",
        "version": "v1",
        "max_concurrency": 2,
        "state": state,
        "warmup_left_ms": 0,
        "sequence": sequence,
        "born": 1000,
    }
    return http_call(
        context,
        "POST",
        (ip, context.ports["control"]),
        f"/crocusmux/endpoints/i-{number}/{path}",
        json.dumps(body).encode(),
    )


def http_call(context, method, address, path, body=None):
    url = f"http://{address[0]}:{address[1]}{path}"

    async def fetch():
        return await http.make_fetch()(method, url, body, 2.0)

    return context.loop.run_until_complete(fetch())


def ready(context, number):
    address = (f"127.0.1.{number}", context.ports["readiness"])
    return http_call(context, "GET", address, "/crocusmux/ready").status == 200


@given("a store with a route to rounds, 2 balancers and 2 agents of rounds")
def whole_path(context):
    context.loop = event_loop.PausedLoop()
    asyncio.set_event_loop(context.loop)
    names = [
        "segments",
        "readiness",
        "control",
        "messages",
        "metrics",
        "app",
        "outbound",
    ]
    context.ports = dict(zip(names, free_ports(len(names)), strict=True))
    context.daemons = {}
    context.add_cleanup(stop_all, context)

    async def create():
        context.standin = store_standin.StoreStandIn("127.0.8.1")
        context.caller = []
        caller = (CALLER_IP, context.ports["segments"])
        context.caller_socket = udp.UdpSocket(
            caller, lambda data, sender: context.caller.append(data)
        )
        context.upstreams = {
            n: Upstream(n, f"127.0.2.{n}", context.ports) for n in (1, 2)
        }

    context.loop.run_until_complete(create())
    publish_routes(context, 1, [8443])
    for number in (1, 2):
        start_daemon(context, "balancer", number)
        start_daemon(context, "agent", number)
        assert send_heartbeat(context, number, 1).status == 200
    wait_until(context, lambda: all(accepts(context, n) for n in (1, 2)))


@given(
    "a store with a route to rounds, evacuations, 2 balancers and agents of"
    " rounds in abay and enbek"
)
def whole_path_with_evacuations(context):
    context.evacuations = True
    context.domains = {("agent", 2): "enbek"}
    whole_path(context)


def accepts(context, number):
    core = context.daemons["balancer", number].core
    now = context.loop.time()
    agents = core.agent_table.all()
    return len(agents) == 2 and all(x.accepts(now) for x in agents)


def stop_all(context):
    for role, number in list(context.daemons):
        kill_daemon(context, role, number)
    for upstream in context.upstreams.values():
        upstream.socket.close()
    context.caller_socket.close()
    context.standin.stop()
    pending = asyncio.all_tasks(context.loop)
    for task in pending:
        task.cancel()
    gathered = asyncio.gather(*pending, return_exceptions=True)
    context.loop.run_until_complete(gathered)
    context.loop.close()


def send(context, number, seq, ack, flags, data=b"", port=8443, source=4000):
    out = wire.packet(
        (CALLER_IP, source), (ROUTE[0], port), seq, ack, flags, data
    )
    to = (f"127.0.1.{number}", context.ports["segments"])
    context.caller_socket.send(out, to)


@when("a caller opens a flow through balancer {number:d}")
def open_flow(context, number):
    send(context, number, 100, 0, wire.FLAGS["SYN"])


@when("a caller opens a flow to port {port:d} through balancer {number:d}")
def open_flow_to(context, port, number):
    wait_until(
        context,
        lambda: context.daemons["balancer", number].core.routes.version > 1,
    )
    send(context, number, 100, 0, wire.FLAGS["SYN"], port=port)


@then("the caller gets a SYN+ACK")
def gets_answer(context):
    wait_until(context, lambda: context.caller)
    context.answer = packets.decode_from_upstream(context.caller.pop(0))
    assert context.answer.opening and not context.answer.reset


@then("the caller gets a reset over the wire")
def gets_reset(context):
    wait_until(context, lambda: context.caller)
    assert packets.decode_from_upstream(context.caller[0]).reset


@when("the caller sends a request through balancer {number:d}")
def send_request(context, number):
    ack = context.answer.seq + 1
    send(context, number, 101, ack, wire.FLAGS["ACK"], b"request")


@then("the upstream that answered gets it once and the other one nothing")
def only_one_upstream(context):
    wait_until(
        context, lambda: any(x.requests for x in context.upstreams.values())
    )
    holder = context.answer.seq + 1 - BASE_SEQ
    counts = {n: len(x.requests) for n, x in context.upstreams.items()}
    assert counts == {holder: 1, 3 - holder: 0}, counts


@then("the caller gets the answer")
def gets_data(context):
    wait_until(context, lambda: context.caller)
    seg = packets.decode_from_upstream(context.caller[0])
    assert seg.data[32:] == b"answer"


@when("the operator adds a route on port {port:d}")
def add_route(context, port):
    publish_routes(context, 2, [8443, port])


@when(
    "the store gets the configuration {name:w} of version {version:d} without"
    " routes"
)
def add_configuration(context, name, version):
    state = {**wire.desired_state(), "version": version, "routes": []}
    context.standin.put("config", name, state)


@then("balancer {number:d} has logged one ignored object")
def ignored_one(context, number):
    assert event_count(context, number, "object-ignored") == 1


def event_count(context, number, what):
    address = (f"127.0.1.{number}", context.ports["metrics"])
    text = http_call(context, "GET", address, "/metrics").body.decode()
    name = f'crocusmux_events_total{{what="{what}"}}'
    found = [x for x in text.splitlines() if x.startswith(name)]
    return float(found[0].split()[-1]) if found else 0


@when("the operator moves the route to wheelbook")
def move_route(context):
    publish_routes(context, 2, [8443], "wheelbook")
    wait_until(
        context, lambda: context.daemons["balancer", 1].core.routes.version == 2
    )


@when("the store does not answer balancer 2, and no peer tells it of changes")
def isolate_second(context):
    daemon = context.daemons["balancer", 2]
    store = daemon._adapter.store
    context.store_fetch = store._fetch

    async def never_answer(method, url, body, timeout_s):
        del method, url, body, timeout_s
        await asyncio.sleep(1.0)
        return http.calls.Response(status=503)

    store._fetch = never_answer
    daemon._check_staleness = lambda now: None
    context.standin.cut_watches()


@when("the store answers balancer 2 again")
def reconnect_second(context):
    context.daemons["balancer", 2]._adapter.store._fetch = context.store_fetch


@when("the route moves to wheelbook and then back to rounds")
def move_route_twice(context):
    first = context.daemons["balancer", 1].core
    daemon = context.daemons["balancer", 2]
    context.state_requests = []
    fetch = daemon._fetch_http

    def record_fetch(method, url, body, timeout_s):
        context.state_requests.append(url)
        return fetch(method, url, body, timeout_s)

    daemon._fetch_http = record_fetch
    for version, service in ((2, "wheelbook"), (3, "rounds")):
        publish_routes(context, version, [8443], service)
        wait_until(
            context, lambda version=version: first.routes.version == version
        )


@then(
    "balancer 2 looks flows of the route up at wheelbook as well within"
    " {seconds:d} s"
)
def knows_skipped_service(context, seconds):
    table = context.daemons["balancer", 2].core.routes
    key = routes.encode_flow_key((CALLER_IP, 4000), ROUTE)
    expected = ("rounds", "wheelbook")
    wait_until(
        context,
        lambda: table.version == 3 and table.possible_services(key) == expected,
        seconds,
    )


@then("balancer 2 has asked no peer for its state")
def no_state_requests(context):
    assert context.daemons["balancer", 2].core.routes.version == 3
    assert not context.state_requests, context.state_requests


@when("the caller acknowledges it through balancer {number:d}")
def acknowledge(context, number):
    ack = context.answer.seq + 1
    send(context, number, 101, ack, wire.FLAGS["ACK"])
    holder = context.upstreams[ack - BASE_SEQ]
    wait_until(context, lambda: holder.held_flows)


@when("balancer 3 starts again with balancer 1 as its seed")
def restart_third(context):
    context.first_start = False
    core = start_daemon(context, "balancer", 3).core
    wait_until(context, core.routes.former_services)
    wait_until(context, core.ready)


@when("the operator drops all routes")
def drop_routes(context):
    publish_routes(context, 2, [])
    wait_until(
        context, lambda: context.daemons["balancer", 1].core.routes.version == 2
    )


@when("the store rejects the calls of balancer {number:d}")
def reject_calls(context, number):
    daemon = context.daemons["balancer", number]

    async def reject(method, url, body, timeout_s):
        del method, url, body, timeout_s
        return http.calls.Response(status=503)

    daemon._adapter.store._fetch = reject
    context.standin.cut_watches()


@when("a {message:w} names version 1000 of a host that has ended")
def name_version(context, message):
    source = f"127.0.1.9:{context.ports['control']}"
    report = reports.LoadReport(
        host="agent-9",
        service="rounds",
        incarnation=1,
        sequence=1,
        accepting=True,
        slots=1,
        in_progress=0.0,
        flows=0,
        service_ms=0.0,
        interval_s=0.25,
        config_version=1000,
        config_source=source,
    )
    subscription = reports.Subscribe(
        "balancer-9",
        ("127.0.1.9", context.ports["messages"]),
        1000,
        source,
        10.0,
        0.25,
    )
    if message == "report":
        sent = {"127.0.1.2": report}
    else:
        sent = {"127.0.2.1": subscription, "127.0.2.2": subscription}
    for ip, value in sent.items():
        to = (ip, context.ports["messages"])
        context.caller_socket.send(reports.encode(value), to)
    core = context.daemons["balancer", 2].core
    wait_until(context, lambda: core.config_sources.newest()[0] == 1000)


@then("balancer {number:d} has the new version within {seconds:d} s")
def has_version(context, number, seconds):
    core = context.daemons["balancer", number].core
    wait_until(context, lambda: core.routes.version == 2, seconds)


@when("the store rejects all calls about agents")
def reject_agent_calls(context):
    daemon = context.daemons["balancer", 1]
    context.standin.rejected_kinds.add(daemon._adapter.agent_kind)


@when("the store answers all calls with {status:d}")
def store_fails(context, status):
    context.standin.forced_status = status
    context.standin.cut_watches()


@when("balancer 3 starts with balancer 1 as its seed")
def start_third(context):
    start_daemon(context, "balancer", 3)


@then("balancer {number:d} is ready within {seconds:d} s")
def is_ready(context, number, seconds):
    core = context.daemons["balancer", number].core
    wait_until(context, core.ready, seconds)
    assert ready(context, number)


@then("balancer {number:d} is not ready")
def is_not_ready(context, number):
    assert not ready(context, number)


@when("the agent that holds the flow is replaced by a new one")
def replace_agent(context):
    holder = context.answer.seq + 1 - BASE_SEQ
    kill_daemon(context, "agent", holder)
    start_daemon(context, "agent", holder)


def replace_first_agent(context):
    table = context.daemons["balancer", 1].core.agent_table
    context.known_agent = table.get("agent-1")
    kill_daemon(context, "agent", 1)
    context.first_start = False
    start_daemon(context, "agent", 1)


@when("the agent of host 1 is replaced by a new one")
def replace_agent_1(context):
    replace_first_agent(context)


@when("the record of host 1 is deleted and its agent is replaced by a new one")
def replace_agent_without_record(context):
    assert context.standin.delete("agents", "agent-1")
    replace_first_agent(context)


@then("balancer 1 has the new incarnation of agent 1 and its last report")
def incarnation_updated(context):
    table = context.daemons["balancer", 1].core.agent_table
    upstream = table.get("agent-1")
    agent = context.daemons["agent", 1]
    assert upstream.record.incarnation == agent._incarnation
    assert upstream is context.known_agent
    assert upstream.report is not None


@then("the agents have written to the store {count:d} times")
def check_writes(context, count):
    calls = [call for call in context.standin.calls if call[0] != "GET"]
    assert len(calls) == count, calls


@when("the upstream of agent 1 leaves and the agent stops")
def agent_leaves(context):
    assert send_heartbeat(context, 1, 2, path="deregister").status == 200
    # It tells balancers several times, so its stop takes time of the loop.
    stopping = context.loop.create_task(context.daemons["agent", 1].stop())
    assert wait_until(context, stopping.done)


@when("the store delays the deletion of the record of agent 1")
def delayed_withdrawal(context):
    context.standin.delay_deletes = True
    agent_leaves(context)
    kill_daemon(context, "agent", 1)
    assert context.standin.delayed


@when("the agent of host 1 starts again before the deletion is applied")
def restart_before_deletion(context):
    context.standin.delay_deletes = False
    context.first_start = False
    calls = context.standin.calls
    calls.clear()
    start_daemon(context, "agent", 1)
    wait_until(context, lambda: any(method == "PUT" for method, _ in calls))
    context.standin.apply_delayed()


@then("the store lists {count:d} agents")
def check_agent_count(context, count):
    kinds = [kind for kind, _ in context.standin.objects]
    assert kinds.count("agents") == count, context.standin.objects


@when("the upstream that answered drains and its agent begins to stop")
def drain_and_stop(context):
    (context.holder,) = [u for u in context.upstreams.values() if u.openings]
    number = context.holder.number
    assert send_heartbeat(context, number, 2, state="draining").status == 200
    daemon = context.daemons["agent", number]
    context.stopping = context.loop.create_task(daemon.stop())
    context.loop.run_until_complete(asyncio.sleep(0))


@when("the upstream that answered leaves")
def holder_leaves(context):
    number = context.holder.number
    answer = send_heartbeat(context, number, 3, "deregister")
    assert answer.status == 200


@when("{seconds:g} s pass on all hosts")
def time_passes_everywhere(context, seconds):
    end = context.loop.time() + seconds
    wait_until(context, lambda: context.loop.time() >= end, 2 * seconds)


@when("{count:d} callers open flows through balancer 1")
def many_flows(context, count):
    for number in range(count):
        flags = wire.FLAGS["SYN"]
        send(context, 1, 100, 0, flags, source=5000 + number)
    wait_until(context, lambda: len(context.caller) >= count)


@then("upstream 1 gets none of them")
def none_of_them(context):
    assert not context.upstreams[1].openings
    assert len(context.upstreams[2].openings) >= 20


@when("the operator evacuates {domain:w}")
def operator_evacuates(context, domain):
    context.standin.put("evacuations", domain, {})


@when("the operator ends the evacuation of {domain:w}")
def operator_ends_evacuation(context, domain):
    assert context.standin.delete("evacuations", domain)


@then("balancer {number:d} has evacuated {domains} within {seconds:d} s")
def has_evacuated(context, number, domains, seconds):
    core = context.daemons["balancer", number].core
    expected = [] if domains == "nothing" else domains.split(" and ")
    wait_until(context, lambda: sorted(core.evacuated) == expected, seconds)


def evacuation_news(context, number):
    return context.daemons["agent", number].core._evacuation_news


@then("agent 1 takes its upstream for cold, and agent 2 does not")
def takes_for_cold(context):
    wait_until(
        context, lambda: evacuation_news(context, 1).may_be_cold(math.inf)
    )
    assert not evacuation_news(context, 2).may_be_cold(0.0)


@then("agent 1 knows that the evacuation has ended")
def knows_end(context):
    news = evacuation_news(context, 1)
    wait_until(context, lambda: not news.may_be_cold(math.inf))
    assert news.may_be_cold(0.0)


@then("{count:d} new flows through balancer {number:d} go to upstreams {hosts}")
def flows_go_to(context, count, number, hosts):
    first = 6000 + 100 * len(context.caller)
    for upstream in context.upstreams.values():
        upstream.openings.clear()
    context.caller.clear()
    for source in range(first, first + count):
        send(context, number, 100, 0, wire.FLAGS["SYN"], source=source)
    wait_until(context, lambda: len(context.caller) >= count)
    used = [str(n) for n, x in context.upstreams.items() if x.openings]
    assert " and ".join(used) == hosts, used


@when("the store takes {seconds:g} s to list evacuations")
def delay_lists(context, seconds):
    context.standin.list_delays["evacuations"] = seconds


@when("the store rejects all calls about evacuations")
def reject_evacuation_calls(context):
    context.standin.rejected_kinds.add("evacuations")


@when("balancers 1 and 2 are killed")
def kill_balancers(context):
    for number in (1, 2):
        kill_daemon(context, "balancer", number)


@when("balancer {number:d} starts again")
def start_again(context, number):
    context.first_start = False
    start_daemon(context, "balancer", number)


@when("agent 3 of wheelbook starts")
def start_wheelbook(context):
    context.services = {3: "wheelbook"}
    start_daemon(context, "agent", 3)
    assert send_heartbeat(context, 3, 1).status == 200


@when("balancers 1 and 3 start again with balancers 1 and 2 as their seeds")
def start_together(context):
    context.first_start = False
    context.seeds = (1, 2)
    kill_daemon(context, "balancer", 1)
    for number in (1, 3):
        start_daemon(context, "balancer", number)


@when(
    "the caller sends a request through balancer {number:d} until it gets a"
    " packet"
)
def send_until_packet(context, number):
    def got_packet():
        send_request(context, number)
        return context.caller

    wait_until(context, got_packet, 10)


@then("balancer 3 is not ready before it has evacuated {domain:w}")
def not_ready_before(context, domain):
    core = context.daemons["balancer", 3].core
    wait_until(context, lambda: ready(context, 3))
    assert domain in core.evacuated


@then("balancer 3 is ready {least:d} to {most:d} s after its start")
def ready_after(context, least, most):
    elapsed = wait_until(context, lambda: ready(context, 3), most)
    assert elapsed >= least, elapsed


@when("the store gets malformed evacuations and one of abay")
def malformed_evacuations(context):
    for name, spec in (("", {}), ("a\nevent=x", {}), ("abay", [5])):
        context.standin.put("evacuations", name, spec)


@then("balancer {number:d} counts {count:d} pieces of bad input")
def counts_bad_input(context, number, count):
    address = (f"127.0.1.{number}", context.ports["metrics"])
    text = http_call(context, "GET", address, "/metrics").body.decode()
    expected = f'crocusmux_events_total{{what="bad-input"}} {count}.0'
    assert expected in text.splitlines(), text


@then("the balancers have made no call about evacuations")
def no_evacuation_calls(context):
    uris = [uri for _, uri in context.standin.calls]
    assert uris and not [x for x in uris if "evacuations" in x], uris


@when("balancer 1 begins to stop")
def begin_stop(context):
    daemon = context.daemons["balancer", 1]
    context.stopping = context.loop.create_task(daemon.stop())
    context.loop.run_until_complete(asyncio.sleep(0))


@when("malformed datagrams, heartbeats and objects arrive")
def send_malformed_input(context):
    port = context.ports
    for ip in ("127.0.1.1", "127.0.2.1"):
        context.caller_socket.send(b"short", (ip, port["segments"]))
        context.caller_socket.send(b"\xc1", (ip, port["messages"]))
    control = ("127.0.2.1", port["control"])
    path = "/crocusmux/endpoints/i-1/heartbeat"
    answer = http_call(context, "POST", control, path, b"{")
    assert answer.status == 400
    context.standin.put("config", "main", {"version": "x"})
    context.standin.put("agents", "odd", {"host": 5})


@then("each daemon that got one counts it in its metrics")
def check_counts(context):
    def count(ip):
        address = (ip, context.ports["metrics"])
        text = http_call(context, "GET", address, "/metrics").body.decode()
        lines = text.splitlines()
        name = 'crocusmux_events_total{what="bad-input"}'
        found = [x for x in lines if x.startswith(name)]
        return float(found[0].split()[-1]) if found else 0

    wait_until(context, lambda: count("127.0.1.1") == 4)
    assert count("127.0.2.1") == 3
