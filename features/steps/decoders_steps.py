import copy
import json
import random
import urllib.parse

from behave import then
from hypothesis import strategies
import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux import logs
from crocusmux.core.control import calls
from crocusmux.core.forward import agent
from crocusmux.core.forward import balancer
from crocusmux.core.forward import evacuations
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import upstreams
from crocusmux.daemons import explain_request
from crocusmux.platform import configuration
from crocusmux.platform import host_settings
from crocusmux.platform import packets
from crocusmux.platform import store
from crocusmux.platform import upstream_calls
from features import balancer_sample
from features import input_strategies
from features.steps import bad_input_steps
from features.steps import platform_adapter_steps

HEARTBEAT_PATH = "/crocusmux/endpoints/i-1/heartbeat"
KEY = balancer_sample.flow_key(40_001)
NOW = 100.0


def check_each(count, inputs, decode, error, use):
    """Decodes each input, which may raise one error, and uses the value."""
    decoded = []

    @bad_input_steps.generate(count, inputs)
    def check(data):
        try:
            value = decode(data)
        except error:
            return
        decoded.append(value)
        use(value)

    # Of inputs that all are malformed the test would learn nothing.
    assert decoded


def encode_outputs(outs):
    """Encodes and logs what a daemon would send; returns the messages."""
    messages = []
    for out in outs:
        if isinstance(out, outputs.ToPeer):
            messages.append(reports.decode(reports.encode(out.message)))
        elif isinstance(out, outputs.ToAgent):
            packets.encode_segment(out.segment, out.service_tag, out.mark)
        elif isinstance(out, outputs.ToUpstream):
            seg = out.segment
            packets.encode_segment(seg, seg.service_tag, seg.mark)
        elif isinstance(out, outputs.Reset):
            packets.encode_reset(out.key, out.seq)
        elif isinstance(out, outputs.Event):
            line = logs.format_event(out)
            assert "\n" not in line, line
    return messages


def caller_segment(key, flags, ack=0):
    header = packets.HEADER.pack(
        1000, ack, 0, 443, key[6:10], key[:4],
        int.from_bytes(key[4:6], "big"), 0, 0, flags, 0,
    )  # fmt: skip
    return packets.decode_from_caller(header)


def make_balancer(context):
    balancer_sample.start_with_agents(context)
    return context.core


def use_balancer(core):
    """Opens a flow, runs the timer and encodes the state for peers."""
    opening = caller_segment(KEY, packets.SYN)
    encode_outputs(core.on_segment(NOW, opening))
    for seconds in (0.05, 1.0, 3.0):
        encode_outputs(core.on_timer(NOW + seconds))
    agents = tuple(x.record for x in core.agent_table.all())
    state = forwarding.PeerState(
        core.routes.configuration, agents, core.routes.former_services()
    )
    decoded = forwarding.decode_state(msgspec.msgpack.encode(state))
    assert decoded == state


def make_agent():
    core = agent.ForwardingAgent("a", "rounds", 7, 1.2, detect_outliers=True)
    for number, compact in enumerate((False, True)):
        message = reports.Subscribe(
            "edge", (f"10.0.0.{number}", 1), 5, "", 10.0, 0.25, False, compact
        )
        core.on_subscribe(NOW, message)
    return core


def use_agent(core):
    """Runs the timer, which sends reports of both forms."""
    outs = core.on_timer(NOW + 0.05) + core.on_timer(NOW + 1.0)
    assert encode_outputs(outs)


@then("{count:d} calls of an upstream are reported or raise WireError")
def check_calls(context, count):
    def use(beat):
        core = make_agent()
        encode_outputs(core.on_heartbeat(NOW, beat))
        use_agent(core)

    check_each(
        count,
        input_strategies.json_of(bad_input_steps.HEARTBEAT),
        lambda body: upstream_calls.decode_call("POST", HEARTBEAT_PATH, body),
        errors.WireError,
        use,
    )


@then("{count:d} paths of calls name one upstream or raise WireError")
def check_paths(context, count):
    body = json.dumps(bad_input_steps.HEARTBEAT).encode()
    parts = strategies.sampled_from(
        ["/crocusmux", "/endpoints/", "i-1", "/", "heartbeat", "/deregister"]
    )
    paths = strategies.one_of(
        input_strategies.TEXTS,
        strategies.lists(parts, max_size=6).map("".join),
        input_strategies.TEXTS.map(
            lambda text: f"/crocusmux/endpoints/{text}/deregister"
        ),
    )

    def use(call):
        assert call.upstream and "/" not in call.upstream
        encode_outputs(make_agent().on_deregister(NOW, call.upstream))

    check_each(
        count,
        paths,
        lambda path: upstream_calls.decode_call("POST", path, body),
        errors.WireError,
        use,
    )


@then(
    "{count:d} configurations are told to agents and peers or raise ObjectError"
)
def check_configurations(context, count):
    split = copy.deepcopy(bad_input_steps.CONFIGURATION)
    split["routes"][0]["service"] = ""
    split["routes"][0]["traffic_split"] = [
        {"service": "rounds", "weight": 90},
        {"service": "wheelbook", "weight": 10},
    ]
    templates = [bad_input_steps.CONFIGURATION, split]
    for template in templates:
        template["version"] = 9

    def use(cfg):
        core = make_balancer(context)
        encode_outputs(core.configure(cfg))
        use_balancer(core)

    check_each(
        count,
        input_strategies.json_of(*templates),
        configuration.decode,
        errors.ObjectError,
        use,
    )


@then("{count:d} agents' records are told to peers or raise ObjectError")
def check_records(context, count):
    record = balancer_sample.record("e", "rounds", "10.0.1.9")

    def use(record):
        core = make_balancer(context)
        encode_outputs(core.add_agent(NOW, record, 7))
        use_balancer(core)

    check_each(
        count,
        input_strategies.json_of(json.loads(msgspec.json.encode(record))),
        upstreams.decode_record,
        errors.ObjectError,
        use,
    )


@then(
    "{count:d} responses of the store are listed and watched or raise"
    " PlatformError"
)
def check_store(context, count):
    item = {"meta": {"name": "a", "rev": 7}, "spec": {"host": "a"}}
    page = {"items": [item, item], "current_rev": 9, "more": False}
    events = [{"object": item, "deleted": False}, {"object": item}]
    client = store.Store(("127.0.0.1", 1))

    def read(body):
        async def fetch(method, url, data, timeout_s):
            del method, url, data, timeout_s
            return calls.Response(status=200, body=body)

        client._fetch = fetch
        for call in (
            lambda: client.list("agents"),
            lambda: client.watch("agents", 5, 1.0),
            lambda: client.create("agents", "a", b"{}"),
        ):
            try:
                return complete(call())
            except errors.PlatformError:
                continue
        raise errors.PlatformUnavailableError("malformed", step="read")

    def use(result):
        # Subscriptions tell agents a revision, in 64 bits.
        if isinstance(result, int):
            assert 0 <= result < 1 << 63
            return
        assert 0 <= result.revision < 1 << 63
        for item in result.items:
            assert isinstance(item.name, str)
            assert 0 <= item.revision < 1 << 63
            json.loads(item.spec)
            urllib.parse.quote(item.name)

    watched = {"events": events, "current_rev": 9}
    check_each(
        count,
        input_strategies.json_of(page, watched, item),
        read,
        errors.PlatformError,
        use,
    )


def complete(coroutine):
    """Runs a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the call waits")


@then("{count:d} names of failure domains can be printed or raise ValueError")
def check_domains(context, count):
    def decode(name):
        evacuations.check_domain(name)
        return name

    def use(name):
        core = make_balancer(context)
        encode_outputs(core.update_evacuations(NOW, [name]))
        use_balancer(core)

    check_each(count, input_strategies.TEXTS, decode, ValueError, use)


@then("{count:d} segments are forwarded by both daemons or raise WireError")
def check_segments(context, count):
    valid = packets.encode_reset(KEY, 7) + bytes(20)
    valid = valid[:24] + (20).to_bytes(2, "big") + valid[26:]

    def replace(position, value):
        return valid[:position] + bytes([value]) + valid[position + 1 :]

    positions = strategies.one_of(
        strategies.integers(0, len(valid) - 1), strategies.just(30)
    )
    changed = strategies.builds(replace, positions, strategies.integers(0, 255))

    def decode(data):
        return packets.decode_from_caller(data), packets.decode_from_upstream(
            data
        )

    def use(pair):
        from_caller, from_upstream = pair
        size = len(from_caller.data) - packets.HEADER.size
        assert from_caller.length == from_upstream.length == size
        core = make_balancer(context)
        encode_outputs(core.on_segment(NOW, from_caller))
        use_balancer(core)
        core = make_agent()
        encode_outputs(
            core.on_caller_segment(NOW, from_caller, ("10.0.0.9", 1))
        )
        encode_outputs(core.on_upstream_segment(NOW, from_upstream))
        use_agent(core)

    check_each(
        count,
        strategies.one_of(strategies.binary(max_size=80), changed, changed),
        decode,
        errors.WireError,
        use,
    )


@then("{count:d} messages are applied by both daemons or raise WireError")
def check_messages(context, count):
    report = balancer_sample.load_report("a", sequence=9)
    tag = upstreams.service_tag("rounds")
    messages = [
        report,
        reports.compact(report, tag),
        reports.Subscribe(
            "edge-1",
            ("10.0.0.9", 7720),
            5,
            "10.0.0.9:1",
            10.0,
            0.25,
            True,
            True,
            domain_state=reports.DomainState(False, 20, 0.5),
        ),
        reports.FlowQuery(1, tag, ((KEY, 1), (KEY, 2))),
        reports.FlowQueryReply("a", 1, 1, 2),
        reports.FlowClaimed("a", KEY),
        reports.FlowDenied("a", KEY),
        reports.OpeningDeclined("a", KEY, reports.DECLINED_OVERLOAD),
        reports.Withdrawn("a", 1),
    ]
    # Messages as lists, which a change may alter at every level.
    templates = [
        msgspec.msgpack.decode(reports.encode(x), type=list) for x in messages
    ]

    def use(message):
        core = make_balancer(context)
        opening = caller_segment(KEY, packets.SYN)
        encode_outputs(core.on_segment(NOW, opening))
        # One lookup, so that claims, denials and replies refer to something.
        unknown = caller_segment(balancer_sample.flow_key(1), packets.ACK, 5)
        encode_outputs(core.on_segment(NOW, unknown))
        encode_outputs(core.on_message(NOW, message))
        use_balancer(core)
        core = make_agent()
        if isinstance(message, reports.Subscribe):
            encode_outputs(core.on_subscribe(NOW, message))
        elif isinstance(message, reports.FlowQuery):
            sender = balancer_sample.BALANCER_ADDRESS
            encode_outputs(core.on_flow_query(NOW, message, sender))
        use_agent(core)

    check_each(
        count,
        input_strategies.packed_of(*templates),
        reports.decode,
        errors.WireError,
        use,
    )


@then("{count:d} states of peers are applied or raise WireError")
def check_states(context, count):
    state = forwarding.PeerState(
        balancer_sample.configuration(9),
        (balancer_sample.record("e", "rounds", "10.0.1.9"),),
        (routes.FormerServices(balancer_sample.ROUNDS, ("wheelbook",)),),
        ("enbek",),
    )

    def use(state):
        core = make_balancer(context)
        encode_outputs(core.configure(state.config))
        core.routes.learn_former_services(state.config, state.former_services)
        for record in state.agents:
            encode_outputs(core.add_agent(NOW, record))
        use_balancer(core)

    check_each(
        count,
        input_strategies.packed_of(json.loads(msgspec.json.encode(state))),
        forwarding.decode_state,
        errors.WireError,
        use,
    )


@then(
    "{count:d} settings of each role and limits of hedges load or raise"
    " SettingsError"
)
def check_settings(context, count):
    def use(cfg):
        assert cfg.heartbeat_s > 0 and cfg.grace_s >= 0
        if cfg.role == "agent":
            record = upstreams.AgentRecord(
                cfg.host,
                cfg.service,
                cfg.failure_domain,
                cfg.segments,
                cfg.messages,
            )
            upstreams.decode_record(msgspec.json.encode(record))
            return
        core = balancer.ForwardingBalancer(
            cfg.host, cfg.failure_domain, cfg.messages, "", random.Random(1)
        )
        core.configure(balancer_sample.configuration(5))
        record = balancer_sample.record("e", "rounds", "10.0.1.9")
        encode_outputs(core.add_agent(NOW, record))

    templates = [
        bad_input_steps.SETTINGS,
        platform_adapter_steps.SIDE_SETTINGS,
    ]
    check_each(
        count,
        input_strategies.json_of(*templates),
        host_settings.decode,
        errors.SettingsError,
        use,
    )
    numbers = strategies.one_of(
        input_strategies.TEXTS,
        input_strategies.FLOATS.map(str),
        strategies.sampled_from(["0", "0.1", "1", "1_0", "nan", "inf", "1e-9"]),
    )

    def use_share(share):
        assert 0 <= share <= 1

    check_each(
        count,
        numbers,
        lambda text: host_settings.hedge_share(
            {host_settings.HEDGE_SHARE_VARIABLE: text}
        ),
        errors.SettingsError,
        use_share,
    )

    def use_extra_share(share):
        assert 0 <= share <= 2

    check_each(
        count,
        numbers,
        lambda text: host_settings.extra_offer_share(
            {host_settings.EXTRA_OFFER_SHARE_VARIABLE: text}
        ),
        errors.SettingsError,
        use_extra_share,
    )


@then("{count:d} questions where a flow would be placed get a response")
def check_questions(context, count):
    values = strategies.lists(
        strategies.one_of(
            strategies.sampled_from([b"198.18.0.1:443", b"100.64.0.7:40001"]),
            strategies.binary(max_size=12),
            input_strategies.TEXTS.map(str.encode),
        ),
        max_size=2,
    )
    arguments = strategies.dictionaries(
        strategies.sampled_from(["caller", "address"]), values
    )
    core = make_balancer(context)

    @bad_input_steps.generate(count, arguments)
    def check(arguments):
        status, body = explain_request.explain(core, NOW, arguments)
        assert status in (200, 400, 404) and isinstance(body, bytes)
