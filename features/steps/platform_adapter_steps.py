import asyncio
import ipaddress
import json
import random
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from crocusmux import errors
from crocusmux import jsonlimits
from crocusmux.core.control import calls
from crocusmux.core.forward import agent
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.daemons import forward
from crocusmux.platform import configuration
from crocusmux.platform import host_settings
from crocusmux.platform import packets
from crocusmux.platform import store
from crocusmux.platform import upstream_calls
from features import loop as event_loop
from features import store_standin

FLAGS = {"SYN": 2, "ACK": 64, "FIN": 16, "RST": 4, "BOUNCED": 32}
SIDE_SETTINGS = {
    "node_name": "side-1",
    "machine_class": "side",
    "ip": "10.1.0.13",
    "zone": "abay",
    "listen": {
        "data_addr": "10.1.0.13:8172",
        "outbound": "10.1.0.13:8162",
        "readiness": "10.1.0.13:8167",
        "control": "10.1.0.13:8166",
    },
    "port_range": [7720, 7735],
    "seeds": ["10.1.0.10:8166"],
    "heartbeat_ms": 1200,
    "bounds": {"grace_s": 6},
    "app": "10.1.0.13:8165",
    "service": "rounds",
    "contracts": [],
    "limits": {},
    "platform": {"address": "10.200.1.7:8169"},
}


def nested(depth):
    return b"[" * depth + b"]" * depth


def packet(src, dst, seq, ack, flags, data):
    (src_ip, sport), (dst_ip, dport) = src, dst
    return b"".join(
        [
            seq.to_bytes(4, "big"),
            ack.to_bytes(4, "big"),
            b"\x0b\xad\xca\xfe",
            dport.to_bytes(2, "big"),
            ipaddress.IPv4Address(dst_ip).packed,
            ipaddress.IPv4Address(src_ip).packed,
            sport.to_bytes(2, "big"),
            len(data).to_bytes(2, "big"),
            bytes(4),
            bytes([flags, 0]),
            data,
        ]
    )


def endpoint(text):
    ip, _, port = text.partition(":")
    return ip, int(port)


@given(
    "a packet of caller {src} to {dst} with seq {seq:d}, ack {ack:d},"
    " flags {flags} and {count:d} bytes of data"
)
def caller_packet(context, src, dst, seq, ack, flags, count):
    bits = sum(FLAGS[name] for name in flags.split())
    context.data = packet(
        endpoint(src), endpoint(dst), seq, ack, bits, b"x" * count
    )
    context.segment = packets.decode_from_caller(context.data)


@given("a packet of an upstream from {src} to caller {dst}")
def upstream_packet(context, src, dst):
    data = packet(endpoint(src), endpoint(dst), 1, 2, FLAGS["ACK"], b"")
    context.segment = packets.decode_from_upstream(data)


@when("it is passed on with service tag {tag:d} and mark {mark:d}")
def forward_packet(context, tag, mark):
    context.sent = packets.encode_segment(context.segment, tag, mark)
    context.tag, context.mark = tag, mark


@when("the upstream returns it")
def return_packet(context):
    context.segment = packets.decode_from_upstream(context.data)


@when("the flow {flow} is reset with seq {seq:d}")
def reset_flow(context, flow, seq):
    caller, _, route = flow.partition(">")
    data = packet(endpoint(caller), endpoint(route), 0, 0, FLAGS["ACK"], b"")
    context.key = packets.decode_from_caller(data).key
    context.data = packets.encode_reset(context.key, seq)


@then("its flow is {flow}")
def check_flow(context, flow):
    assert segments.format_flow_key(context.segment.key) == flow


@then("it opens a flow with seq {seq:d}, ack {ack:d} and length {length:d}")
def check_opening(context, seq, ack, length):
    seg = context.segment
    assert seg.opening and not seg.returned
    assert (seg.seq, seg.ack, seg.length) == (seq, ack, length)


@then("only echo, pad and BOUNCED have changed")
def check_forwarded(context):
    assert context.sent[:26] == context.data[:26]
    assert context.sent[32:] == context.data[32:]
    assert context.sent[26:30] == context.tag.to_bytes(4, "big")
    assert context.sent[30] == context.data[30] & ~FLAGS["BOUNCED"]
    assert context.sent[31] == context.mark


@then("it is a returned packet")
def is_returned(context):
    assert context.segment.returned and context.segment.from_caller


@then("it is not a returned packet")
def is_not_returned(context):
    assert not context.segment.returned
    assert not context.segment.from_caller


@then("the reset has seq {seq:d}, checksum 0, no data and belongs to that flow")
def check_reset(context, seq):
    seg = packets.decode_from_upstream(context.data)
    assert seg.reset and seg.key == context.key
    assert (seg.seq, seg.length) == (seq, 0)
    assert context.data[8:12] == bytes(4)


@then("{count:d} random datagrams are decoded or refused as malformed")
def random_datagrams(context, count):
    rng = random.Random(3)
    decoded = 0
    for _ in range(count):
        data = bytearray(rng.randbytes(rng.randrange(80)))
        if len(data) >= 32 and rng.random() < 0.5:
            data[24:26] = (len(data) - 32).to_bytes(2, "big")
            data[30] &= sum(FLAGS.values())
        for decode in (
            packets.decode_from_caller,
            packets.decode_from_upstream,
        ):
            try:
                decode(bytes(data))
                decoded += 1
            except errors.WireError:
                continue
    assert 0 < decoded < 2 * count, decoded


def heartbeat_body(text):
    body = {
        "service": "rounds",
        "address": "10.0.1.1:8080",
        "zone": "abay",
        "version": "v1",
        "max_concurrency": 4,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 4,
        "born": 1000,
    }
    words = text.removeprefix("a heartbeat ").split()
    if words[0] == "without":
        del body[words[1]]
    else:
        body[words[1]] = json.loads(words[2])
    return json.dumps(body).encode()


@when("an upstream calls {method:w} {path:S} with {body}")
def send_upstream_call(context, method, path, body):
    if body.startswith("a heartbeat"):
        data = heartbeat_body(body)
    else:
        data = b"" if body == "nothing" else body.encode()
    context.call = context.error = None
    try:
        context.call = upstream_calls.decode_call(method, path, data)
    except errors.WireError as exc:
        context.error = exc


@when("a heartbeat whose body is nested {depth:d} deep arrives")
def send_deep_heartbeat(context, depth):
    context.call = context.error = None
    try:
        context.call = upstream_calls.decode_call(
            "POST", "/crocusmux/endpoints/i-1/heartbeat", nested(depth)
        )
    except errors.WireError as exc:
        context.error = exc


@when("a heartbeat padded to {size:d} bytes arrives")
def send_padded_heartbeat(context, size):
    body = heartbeat_body("a heartbeat with sequence 7")
    context.call = context.error = None
    try:
        context.call = upstream_calls.decode_call(
            "POST", "/crocusmux/endpoints/i-1/heartbeat", body.ljust(size)
        )
    except errors.WireError as exc:
        context.error = exc


@then("the call is accepted")
def call_accepted(context):
    assert context.call is not None, context.error


@then(
    "the log line of bad input with an error of {length:d} characters has at"
    " most {limit:d}"
)
def check_error_length(context, length, limit):
    exc = errors.WireError("x" * length, step="decode")
    messenger = mock.Mock()
    forward.Messenger.record_bad_input(messenger, exc, ("127.0.0.1", 9))
    (event,) = messenger.record_event.call_args.args
    assert "xxx" in event.detail and len(event.detail) <= limit, event.detail


@then("the call is refused as malformed")
def call_rejected(context):
    assert context.error is not None and context.call is None


@then("it is a heartbeat of i-1 with sequence 7 and 4 slots that is ready")
def check_heartbeat(context):
    beat = context.call
    assert (beat.upstream, beat.sequence, beat.slots) == ("i-1", 7, 4)
    assert beat.born_ms == 1000 and not beat.draining
    assert beat.address == ("10.0.1.1", 8080)


@then("an agent reports {slots:d} slots to balancers of either release")
def check_reported(context, slots):
    core = agent.ForwardingAgent("side-1", "rounds", 7, 1.2)
    for number, compact in enumerate((False, True)):
        message = reports.Subscribe(
            "edge",
            (f"10.0.0.{number}", 7720),
            5,
            "",
            10.0,
            0.25,
            False,
            compact,
        )
        core.on_subscribe(99.0, message)
    core.on_heartbeat(100.0, context.call)
    sent = [
        x.message for x in core.on_timer(101.0) if isinstance(x, outputs.ToPeer)
    ]
    decoder = msgspec.msgpack.Decoder(reports.Message)
    decoded = [decoder.decode(msgspec.msgpack.encode(x)) for x in sent]
    assert [type(x) for x in decoded] == [
        reports.LoadReport,
        reports.CompactReport,
    ]
    assert [x.slots for x in decoded] == [slots, slots]


def desired_state(**changes):
    route = {
        "name": "r1",
        "hostname": "198.18.0.1",
        "path_prefix": "/8443/",
        "type": "idempotent",
        "timeout_ms": 1500,
        "target_latency_ms": 150,
        "priority": 2,
        "service": "rounds",
        "attempts": 2,
    }
    return {"version": 7, "routes": [{**route, **changes}], "services": []}


@given(
    "a desired state of version 7 with a route of one service and one of two"
)
def valid_state(context):
    state = desired_state()
    second = {**state["routes"][0], "hostname": "198.18.0.2"}
    del second["service"]
    second["traffic_split"] = [
        {"service": "rounds", "weight": 90},
        {"service": "wheelbook", "weight": 10},
    ]
    state["routes"].append(second)
    context.spec = json.dumps(state).encode()


@given("a desired state whose route has {field:w} {value}")
def invalid_state(context, field, value):
    state = desired_state(**{field: json.loads(value)})
    context.spec = json.dumps(state).encode()


@then("its routes lead to rounds, and to rounds and wheelbook by 90 and 10")
def check_routes(context):
    cfg = configuration.decode(context.spec)
    assert cfg.version == 7
    first, second = cfg.routes
    assert first.services() == ("rounds",)
    assert first.address == ("198.18.0.1", 8443)
    assert first.repeatable and first.timeout_s == 1.5
    points = [second.pick_service(n / 100) for n in range(100)]
    assert points.count("rounds") == 90 and points.count("wheelbook") == 10


@given("a desired state with services of several warm-up rates")
def state_with_rates(context):
    state = desired_state()
    state["services"] = [
        {"name": "rounds", "warmup_s": 2.0, "warmup_per_s": 12.5},
        {"name": "wheelbook", "warmup_per_s": 3, "max_connections": 2000},
        {"name": "zero", "warmup_s": 2, "warmup_per_s": 0.0},
        {"name": "absent", "protocol": "h1"},
    ]
    context.spec = json.dumps(state).encode()


@then(
    "the limits are {rounds:g} for rounds and {wheelbook:g} for wheelbook, and"
    " none for others"
)
def check_limits(context, rounds, wheelbook):
    cfg = configuration.decode(context.spec)
    assert dict(cfg.warmup_rates) == {"rounds": rounds, "wheelbook": wheelbook}
    table = routes.RouteTable()
    assert table.apply_if_newer(cfg)
    names = ("rounds", "wheelbook", "zero", "absent", "unknown")
    found = [table.warmup_per_s(name) for name in names]
    assert found == [rounds, wheelbook, 0, 0, 0], found


@given("a desired state whose service has {field:w} {value}")
def invalid_service(context, field, value):
    service = json.dumps({"name": "rounds", "warmup_per_s": 2.0})
    fields = {"name": '"rounds"', "warmup_per_s": "2.0", field: value}
    text = ", ".join(f'"{name}": {x}' for name, x in fields.items())
    state = {**desired_state(), "services": ["SERVICE"]}
    valid = json.dumps(state).replace('"SERVICE"', service)
    assert configuration.decode(valid.encode()).warmup_rates
    context.spec = (
        json.dumps(state).replace('"SERVICE"', f"{{{text}}}").encode()
    )


@then("it is refused as malformed")
def state_rejected(context):
    try:
        configuration.decode(context.spec)
    except errors.ObjectError:
        return
    raise AssertionError("it was taken")


@given("settings of a side machine in which {field:w} is {value}")
def side_settings(context, field, value):
    settings = dict(SIDE_SETTINGS)
    if value == "missing":
        del settings[field]
    else:
        settings[field] = json.loads(value)
    context.settings = json.dumps(settings).encode()


@given('settings of a side machine with the text "link_mbps": {value}')
def side_settings_text(context, value):
    side_settings(context, "limits", '{"link_mbps": 0}')
    context.settings = context.settings.replace(
        b'"link_mbps": 0', f'"link_mbps": {value}'.encode()
    )


@given(
    "settings of a side machine in which an unknown field is nested {depth:d}"
    " deep"
)
def deep_settings(context, depth):
    text = json.dumps({**SIDE_SETTINGS, "colour": "DEEP"}).encode()
    context.settings = text.replace(b'"DEEP"', nested(depth))


@then("they are refused with an error that names {word}")
def settings_rejected(context, word):
    try:
        host_settings.decode(context.settings)
    except errors.SettingsError as exc:
        assert word in str(exc), exc
        return
    raise AssertionError("they were taken")


@then("they are those of an agent of rounds")
def settings_accepted(context):
    cfg = host_settings.decode(context.settings)
    assert (cfg.role, cfg.service) == ("agent", "rounds")
    assert cfg.upstream == ("10.1.0.13", 8165)


@then("evacuations are {state}")
def check_evacuations(context, state):
    cfg = host_settings.decode(context.settings)
    assert cfg.evacuations == (state == "enabled")


@then("the bandwidth of the link is {mbps:g} Mbit/s")
def check_link(context, mbps):
    assert host_settings.decode(context.settings).link_mbps == mbps


@given("a store with {count:d} objects")
def store_with(context, count):
    context.loop = event_loop.PausedLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)

    async def make():
        return store_standin.StoreStandIn()

    context.standin = context.loop.run_until_complete(make())
    context.add_cleanup(context.standin.stop)
    for number in range(1, count + 1):
        context.standin.put("things", f"t{number}", {"n": number})

    async def client():
        return store.Store(context.standin.address)

    context.store = context.loop.run_until_complete(client())
    context.revision = context.standin.revision


def run_call(context, awaitable):
    return context.loop.run_until_complete(awaitable)


@when("object 1 changes and object 2 is deleted")
def change_and_delete(context):
    context.standin.put("things", "t1", {"n": 100})
    context.standin.delete("things", "t2")


@when("object 1 changes and the store drops its history")
def change_and_forget(context):
    context.standin.put("things", "t1", {"n": 100})
    context.standin.forget_history()


@when("the store answers {status:d} to all calls")
def set_store_status(context, status):
    context.standin.forced_status = status


@when("the answer to the creation of object 9 is lost")
def lose_response(context):
    context.standin.lost_responses = 1
    try:
        run_call(context, context.store.create("things", "t9", b"{}"))
    except errors.PlatformUnavailableError:
        return
    raise AssertionError("the call had an answer")


@then("a list has {count:d} objects and the store's revision")
def check_list(context, count):
    result = run_call(context, context.store.list("things"))
    assert len(result.items) == count and result.full
    assert result.revision == context.revision


@then("a watch from the former revision tells both")
def check_watch(context):
    watch = context.store.watch("things", context.revision, 1.0)
    result = run_call(context, watch)
    assert [item.name for item in result.items] == ["t1"]
    assert json.loads(result.items[0].spec) == {"n": 100}
    assert result.removed == ("t2",)


@then("a watch from the former revision says that history is gone")
def check_gone(context):
    watch = context.store.watch("things", context.revision, 1.0)
    assert run_call(context, watch) is None


@then("a list raises {error:w}")
def list_raises(context, error):
    try:
        run_call(context, context.store.list("things"))
    except errors.PlatformError as exc:
        assert type(exc).__name__ == error, exc
        return
    raise AssertionError("no error")


@then("creating it again raises {error:w}")
def create_raises(context, error):
    try:
        run_call(context, context.store.create("things", "t9", b"{}"))
    except errors.PlatformError as exc:
        assert type(exc).__name__ == error, exc
        return
    raise AssertionError("no error")


@given(
    "a store whose list and watch have an object nested {depth:d} deep between"
    " two others"
)
def store_with_deep_object(context, depth):
    specs = [b'{"host":"a"}', nested(depth), b'{"host":"c"}']
    items = [
        b'{"meta":{"name":"%s","rev":7},"spec":%s}' % (name, spec)
        for name, spec in zip((b"a", b"b", b"c"), specs, strict=True)
    ]
    events = [b'{"deleted":false,"object":%s}' % item for item in items]
    listed = b'{"items":[%s],"current_rev":9}' % b",".join(items)
    watched = b'{"events":[%s],"current_rev":9}' % b",".join(events)

    async def fetch(method, url, body, timeout_s):
        del method, body, timeout_s
        return calls.Response(
            status=200, body=watched if "?" in url else listed
        )

    context.store = store.Store(("127.0.0.1", 1))
    context.store._fetch = fetch


@when("the objects are listed and watched")
def list_and_watch(context):
    async def both():
        return [
            await context.store.list("agents"),
            await context.store.watch("agents", 5, 1.0),
        ]

    context.results = asyncio.run(both())


@then("both results name all three objects")
def all_named(context):
    for changes in context.results:
        assert [x.name for x in changes.items] == ["a", "b", "c"]


@then("the specs of the two others are unchanged")
def others_unchanged(context):
    for changes in context.results:
        specs = {x.name: x.spec for x in changes.items}
        assert specs["a"] == b'{"host":"a"}' and specs["c"] == b'{"host":"c"}'


@when("the JSON {text} is pruned to depth {depth:d}")
def prune_json(context, text, depth):
    context.pruned = jsonlimits.prune(text.encode(), depth)


@then("the pruned JSON is {text}")
def check_pruned(context, text):
    assert context.pruned == text.encode(), context.pruned


@when("JSON of {kilobytes:d} KB that is one string without an end is pruned")
def prune_unterminated(context, kilobytes):
    context.document = b'"' + b'\\"' * (kilobytes * 1000 // 2)
    began_at = time.process_time()
    context.pruned = jsonlimits.prune(context.document)
    context.took_s = time.process_time() - began_at


@then("the document is unchanged after at most {limit:d} s of processor time")
def check_prune_time(context, limit):
    assert context.pruned == context.document
    assert context.took_s <= limit, context.took_s


@when("a control message that is nested {depth:d} deep arrives")
def deep_message(context, depth):
    context.loop = event_loop.PausedLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)

    async def receive():
        messenger = forward.Messenger(
            ("127.0.0.1", 0), lambda message, sender: None, lambda: 0.0
        )
        messenger.socket.close()
        # 0x91 is an array of one element in msgpack.
        messenger._on_datagram(b"\x91" * depth + b"\x90", ("127.0.0.1", 9))
        return messenger.metrics

    context.metrics = context.loop.run_until_complete(receive())


@then("it is counted as bad input")
def counted_as_bad_input(context):
    assert context.metrics._events == {"bad-input": 1}


@when("a desired state has a route of type {kind}")
def state_with_type(context, kind):
    state = desired_state()
    state["routes"][0]["type"] = kind
    spec = json.dumps(state).encode()
    context.route = configuration.decode(spec).routes[0]


@then("the requests of that route {may} be repeated")
def check_repeatable(context, may):
    assert context.route.repeatable == (may == "may")
