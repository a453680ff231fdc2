import json

from behave import then
import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux import logs
from crocusmux.core.forward import agent
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import upstreams
from crocusmux.platform import configuration
from features import balancer_sample
from features.steps import bad_input_steps


def changed(document, path, value):
    """Returns a copy of a document with another value at a path."""
    copy = json.loads(json.dumps(document))
    *parents, last = [int(x) if x.isdigit() else x for x in path.split("/")]
    inner = copy
    for key in parents:
        inner = inner[key]
    assert last in inner or isinstance(inner, list), last
    inner[last] = value
    return copy


def expect_object_error(document):
    try:
        configuration.decode(json.dumps(document).encode())
    except errors.ObjectError:
        return
    raise AssertionError("the configuration was accepted")


@then("a configuration with {path:S} {value} raises ObjectError")
def check_configuration_value(context, path, value):
    expect_object_error(
        changed(bad_input_steps.CONFIGURATION, path, json.loads(value))
    )


@then("a configuration whose route is split by {weight:d} raises ObjectError")
def check_weight(context, weight):
    shares = [{"service": "rounds", "weight": weight}]
    document = changed(bad_input_steps.CONFIGURATION, "routes/0/service", "")
    document["routes"][0]["traffic_split"] = shares
    expect_object_error(document)


def encode_told(core, cfg):
    """Encodes what a balancer tells agents and peers; returns the messages."""
    sent = [
        x.message for x in core.configure(cfg) if isinstance(x, outputs.ToPeer)
    ]
    state = forwarding.PeerState(
        core.routes.configuration, (), core.routes.former_services()
    )
    encoded = msgspec.msgpack.encode(state)
    assert msgspec.msgpack.decode(encoded, type=forwarding.PeerState) == state
    return [
        bad_input_steps.decode_message(msgspec.to_builtins(x)) for x in sent
    ]


@then("a configuration with the largest numbers is encoded and decoded again")
def check_largest_configuration(context):
    document = changed(bad_input_steps.CONFIGURATION, "version", 2**63 - 1)
    document = changed(document, "limits/idle_timeout_ms", 1e12)
    document = changed(document, "services/0/warmup_per_s", 1e9)
    for name in ("timeout_ms", "target_latency_ms"):
        document = changed(document, f"routes/0/{name}", 1e12)
    document = changed(document, "routes/0/priority", 10**9)
    cfg = configuration.decode(json.dumps(document).encode())
    balancer_sample.start_with_agents(context)
    messages = encode_told(context.core, cfg)
    assert {x.config_version for x in messages} == {2**63 - 1}
    assert {x.idle_s for x in messages} == {1e9}


@then("the state of a peer with {path:S} {value} is malformed")
def check_peer_state(context, path, value):
    former = routes.FormerServices(balancer_sample.ROUNDS, ("wheelbook",))
    state = forwarding.PeerState(
        balancer_sample.configuration(5),
        (balancer_sample.record("a", "rounds", "10.0.1.1"),),
        (former,),
    )
    document = json.loads(msgspec.json.encode(state))
    convert_state(document)
    try:
        convert_state(changed(document, path, json.loads(value)))
    except msgspec.DecodeError:
        return
    raise AssertionError("the state was accepted")


def convert_state(document):
    data = msgspec.msgpack.encode(document)
    return msgspec.msgpack.decode(data, type=forwarding.PeerState)


@then('the log line of a service named "{name}" is "{line}", escaped')
def check_log_line(context, name, line):
    service = name.replace("\\n", "\n")
    event = outputs.Event("wait", b"", f"service={service}")
    assert logs.format_event(event) == line, logs.format_event(event)


@then(
    "a query of {most:d} flows is decoded and answered, and one of {more:d}"
    " cannot be decoded"
)
def check_query_size(context, most, more):
    tag = upstreams.service_tag("rounds")
    flows = [(balancer_sample.flow_key(port), 1) for port in range(more)]
    query = bad_input_steps.decode_message(["q", 1, tag, flows[:most]])
    core = agent.ForwardingAgent("side-1", "rounds", 7, 1.2)
    (sent,) = core.on_flow_query(100.0, query, balancer_sample.BALANCER_ADDRESS)
    reply = bad_input_steps.decode_message(msgspec.to_builtins(sent.message))
    assert reply.uncertain == 2**most - 1
    try:
        bad_input_steps.decode_message(["q", 1, tag, flows])
    except msgspec.ValidationError:
        return
    raise AssertionError("the query was decoded")


@then(
    "an agent reports to {others:d} balancers and to one that asks for {form:w}"
    " reports every {interval:g} s"
)
def check_long_interval(context, others, form, interval):
    core = agent.ForwardingAgent("side-1", "rounds", 7, 1.2)
    for number in range(others + 1):
        message = reports.Subscribe(
            "edge", (f"10.0.0.{number}", 7720), 5, "", 10.0, 0.05
        )
        if number == others:
            message = msgspec.structs.replace(
                message, interval_s=interval, compact=form == "compact"
            )
        core.on_subscribe(100.0, message)
    sent = core.on_timer(100.1) + core.on_timer(104.0)
    assert len(sent) >= others
