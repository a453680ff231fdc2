import asyncio
import json
import random

from behave import then
import hypothesis
from hypothesis import strategies
import msgspec

from crocusmux import errors
from crocusmux.core.forward import agent
from crocusmux.core.forward import balancer
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams
from crocusmux.daemons import udp
from crocusmux.objectapi import http
from crocusmux.platform import configuration
from crocusmux.platform import host_settings
from crocusmux.platform import packets
from crocusmux.platform import upstream_calls
from features import balancer_sample
from features import input_strategies
from features.steps import heartbeats_steps

HEARTBEAT = {
    "service": "rounds",
    "address": "10.0.0.9:8080",
    "max_concurrency": 4,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1,
}
CONFIGURATION = {
    "version": 3,
    "limits": {"idle_timeout_ms": 9000},
    "services": [{"name": "rounds", "warmup_s": 2.0, "warmup_per_s": 3.0}],
    "routes": [
        {
            "name": "r",
            "hostname": "198.18.0.1",
            "path_prefix": "/443/",
            "type": "idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 200,
            "priority": 1,
            "service": "rounds",
        }
    ],
}
SETTINGS = {
    "node_name": "edge-1",
    "machine_class": "edge",
    "ip": "10.1.0.1",
    "zone": "abay",
    "listen": {"data_addr": "10.1.0.1:1", "readiness": "10.1.0.1:2"},
    "port_range": [7720, 7735],
    "platform": {"address": "10.2.0.1:8169"},
    "seeds": ["10.1.0.2:8166"],
    "bounds": {"grace_s": 6},
}
VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(allow_nan=False),
    strategies.text(max_size=8),
    strategies.lists(strategies.integers(), max_size=3),
    strategies.dictionaries(strategies.text(max_size=3), strategies.none()),
)
SMALL = strategies.integers(0, 3)
KEYS = strategies.integers(0, 4).map(
    lambda n: balancer_sample.flow_key(40_000 + n)
)
SEQUENCES = strategies.sampled_from([0, 1, 5001, 2**31, 2**32 - 1])
HOSTS = strategies.sampled_from(["a", "b", "c", "x"])


def generate(count, *arguments):
    """Returns a decorator that runs a check with reproducible examples."""

    def decorate(check):
        hypothesis.settings(
            max_examples=count,
            derandomize=True,
            deadline=None,
            database=None,
            phases=(hypothesis.Phase.generate,),
            suppress_health_check=list(hypothesis.HealthCheck),
        )(hypothesis.given(*arguments)(check))()

    return decorate


def mutated(template):
    """Returns a strategy of JSON texts of a template with one new value."""

    def replace(path, value):
        document = json.loads(json.dumps(template))
        inner = document
        for key in path[:-1]:
            inner = inner[key]
        inner[path[-1]] = value
        return json.dumps(document).encode()

    positions = strategies.sampled_from(list(input_strategies.paths(template)))
    return strategies.builds(replace, positions, VALUES)


def inputs(template):
    return strategies.one_of(strategies.binary(max_size=80), mutated(template))


@then(
    "{count:d} random datagrams, and valid packets with changed bytes, decode"
    " or raise WireError"
)
def check_datagrams(context, count):
    valid = packets.encode_reset(balancer_sample.flow_key(1), 7) + b"data"

    def change(position, value):
        return valid[:position] + bytes([value]) + valid[position + 1 :]

    changes = strategies.builds(
        change,
        strategies.integers(0, len(valid) - 1),
        strategies.integers(0, 255),
    )

    @generate(count, strategies.one_of(strategies.binary(), changes))
    def check(data):
        for decode in (
            packets.decode_from_caller,
            packets.decode_from_upstream,
        ):
            try:
                seg = decode(data)
            except errors.WireError:
                continue
            assert len(seg.key) == segments.FLOW_KEY_BYTES
            assert len(packets.encode_segment(seg, 1, 1)) == len(data)


@then(
    "{count:d} random bodies and changed heartbeats decode or raise WireError"
)
def check_calls(context, count):
    path = "/crocusmux/endpoints/i-1/heartbeat"

    @generate(count, inputs(HEARTBEAT))
    def check(body):
        try:
            heartbeat = upstream_calls.decode_call("POST", path, body)
        except errors.WireError:
            return
        assert heartbeat.upstream == "i-1" and heartbeat.slots >= 1


@then(
    "{count:d} random objects and changed configurations decode or raise"
    " ObjectError"
)
def check_configurations(context, count):
    @generate(count, inputs(CONFIGURATION))
    def check(spec):
        try:
            cfg = configuration.decode(spec)
        except errors.ObjectError:
            return
        core = balancer.ForwardingBalancer(
            "edge-1",
            "abay",
            balancer_sample.BALANCER_ADDRESS,
            "",
            random.Random(1),
        )
        core.configure(cfg)


@then(
    "{count:d} random settings files and changed ones decode or raise"
    " SettingsError"
)
def check_settings(context, count):
    @generate(count, inputs(SETTINGS))
    def check(data):
        try:
            cfg = host_settings.decode(data)
        except errors.SettingsError:
            return
        assert cfg.role == "balancer"


def caller_segments():
    flags = strategies.sampled_from([2, 64, 64, 80, 4, 66, 0])
    lengths = strategies.sampled_from([0, 0, 100, 1200])

    def build(key, seq, ack, flags, length, tag, mark):
        head = packets.HEADER.pack(
            seq, ack, 0, 443, key[6:10], key[:4],
            int.from_bytes(key[4:6], "big"), length, tag, flags, mark,
        )  # fmt: skip
        return packets.decode_from_caller(head + bytes(length))

    tags = strategies.sampled_from([0, upstreams.service_tag("rounds")])
    return strategies.builds(
        build, KEYS, SEQUENCES, SEQUENCES, flags, lengths, tags, SMALL
    )


def upstream_segments():
    def build(seg, returned, opening):
        return msgspec.structs.replace(
            seg, from_caller=returned, returned=returned, opening=opening
        )

    booleans = strategies.booleans()
    return strategies.builds(build, caller_segments(), booleans, booleans)


def peer_messages():
    masks = strategies.integers(0, 2**64 - 1)
    flows = strategies.lists(strategies.tuples(KEYS, SEQUENCES), max_size=4)
    reasons = strategies.sampled_from(
        [
            reports.DECLINED_OVERLOAD,
            reports.DECLINED_LEAVING,
            reports.DECLINED_WARMING,
            "unknown",
        ]
    )
    services = strategies.sampled_from(["rounds", "wheelbook", ""])
    numbers = strategies.floats(0, 1e6)
    tags = services.map(upstreams.service_tag)
    return strategies.one_of(
        strategies.builds(reports.FlowQueryReply, HOSTS, SMALL, masks, masks),
        strategies.builds(
            reports.FlowQuery, SMALL, SEQUENCES, flows.map(tuple)
        ),
        strategies.builds(reports.FlowClaimed, HOSTS, KEYS),
        strategies.builds(reports.FlowDenied, HOSTS, KEYS),
        strategies.builds(reports.OpeningDeclined, HOSTS, KEYS, reasons),
        strategies.builds(
            reports.LoadReport, HOSTS, services, SMALL, SMALL,
            strategies.booleans(), SMALL, numbers, SMALL, numbers, numbers,
            SMALL, services,
        ),
        strategies.builds(
            reports.CompactReport, HOSTS, tags, SMALL, SMALL,
            strategies.booleans(), SMALL, SMALL, SMALL, SMALL, SMALL, SMALL,
            services,
        ),
    )  # fmt: skip


@then(
    "a balancer gets {count:d} random sequences of packets, messages and time"
)
def check_balancer(context, count):
    step = strategies.one_of(
        caller_segments(), peer_messages(), strategies.floats(0, 3)
    )

    @generate(count, strategies.lists(step, max_size=60))
    def check(steps):
        balancer_sample.start_with_agents(context)
        core, now = context.core, context.now
        for event in steps:
            if isinstance(event, segments.Segment):
                core.on_segment(now, event)
            elif isinstance(event, float):
                now += event
                core.on_timer(now)
            else:
                core.on_message(now, event)
        assert len(core.flows) <= 5


@then("an agent gets {count:d} random sequences of packets, messages and time")
def check_agent(context, count):
    heartbeats = strategies.builds(heartbeats_steps.heartbeat, SMALL, SMALL)
    queries = peer_messages().filter(
        lambda event: isinstance(event, reports.FlowQuery)
    )
    step = strategies.one_of(
        caller_segments(),
        upstream_segments(),
        heartbeats,
        queries,
        strategies.floats(0, 3),
    )

    @generate(count, strategies.lists(step, max_size=60))
    def check(steps):
        core, now = agent.ForwardingAgent("side-1", "rounds", 7, 1.2), 100.0
        for event in steps:
            if isinstance(event, float):
                now += event
                core.on_timer(now)
            elif isinstance(event, reports.FlowQuery):
                core.on_flow_query(now, event, balancer_sample.BALANCER_ADDRESS)
            elif not isinstance(event, segments.Segment):
                core.on_heartbeat(now, event)
            elif event.from_caller and not event.returned:
                core.on_caller_segment(
                    now, event, balancer_sample.BALANCER_ADDRESS
                )
            else:
                core.on_upstream_segment(now, event)
            assert core.load.in_progress >= 0


@then("a configuration whose route has port {port:d} raises ObjectError")
def check_port(context, port):
    route = {**CONFIGURATION["routes"][0], "path_prefix": f"/{port}/"}
    spec = json.dumps({**CONFIGURATION, "routes": [route]}).encode()
    try:
        configuration.decode(spec)
    except errors.ObjectError:
        return
    raise AssertionError("the configuration was accepted")


@then("a datagram to port {port:d} is counted as dropped")
def check_datagram_port(context, port):
    async def send():
        sock = udp.UdpSocket(("127.0.0.1", 0), lambda data, sender: None)
        try:
            sock.send(b"data", ("127.0.0.1", port))
        finally:
            sock.close()
        return sock.dropped

    assert asyncio.run(send()) == 1


@then(
    "an agent's record and a subscription with address {address} are malformed"
)
def check_address(context, address):
    bad = json.loads(address)
    record = balancer_sample.record("a", "rounds", "10.0.0.1")
    for changed in ({"address": bad}, {"control": bad}):
        fields = {**msgspec.to_builtins(record), **changed}
        expect_decode_error(json.dumps(fields), upstreams.AgentRecord)
    message = ["s", "edge-1", bad, 1, "", 10.0, 0.25]
    expect_decode_error(json.dumps(message), reports.Subscribe)


@then("a request to {address:S} returns that it was not sent")
def check_request(context, address):
    async def request():
        fetch = http.make_fetch()
        return await fetch("GET", f"http://{address}/state", None, 1.0)

    response = asyncio.run(request())
    assert not response.sent and "bad URL" in response.reason, response


@then("an agent's record with incarnation {number:d} is malformed")
def check_incarnation(context, number):
    record = balancer_sample.record("a", "rounds", "10.0.0.1")
    fields = {**msgspec.to_builtins(record), "incarnation": number}
    expect_decode_error(json.dumps(fields), upstreams.AgentRecord)


def expect_decode_error(text, kind):
    try:
        msgspec.json.decode(text, type=kind)
    except msgspec.DecodeError:
        return
    raise AssertionError(f"accepted: {text}")


def control_message(kind):
    """Returns a message of a kind, as the list of its encoded values."""
    report = balancer_sample.load_report("a")
    messages = {
        "LoadReport": report,
        "CompactReport": reports.compact(report, 7),
        "Subscribe": reports.Subscribe(
            "edge-1", ("10.0.0.9", 7720), 5, "", 10.0, 0.25
        ),
    }
    return msgspec.msgpack.decode(msgspec.msgpack.encode(messages[kind]))


def decode_message(values):
    data = msgspec.msgpack.encode(values)
    return msgspec.msgpack.decode(data, type=reports.Message)


@then("a {kind:w} whose {field:w} is {value} cannot be decoded")
def check_refused(context, kind, field, value):
    values = control_message(kind)
    position = getattr(reports, kind).__struct_fields__.index(field) + 1
    values[position] = json.loads(value)
    try:
        decode_message(values)
    except msgspec.ValidationError as exc:
        assert field in str(exc), exc
    else:
        raise AssertionError(f"{kind} with {field}={value} was decoded")


@then("a LoadReport, a CompactReport and a Subscribe can be decoded")
def check_decoded(context):
    for kind in ("LoadReport", "CompactReport", "Subscribe"):
        message = decode_message(control_message(kind))
        assert type(message).__name__ == kind
