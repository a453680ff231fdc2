"""Uploads and small requests through a simulated link."""

import asyncio
import heapq
import itertools
import math
import random
import re

from behave import given
from behave import then
from behave import when

from crocusmux import forwarding
from crocusmux.core.forward import outputs
from crocusmux.core.forward import pacing
from crocusmux.core.forward import segments
from crocusmux.daemons import forward_balancer
from features import balancer_sample
from features import loop as event_loop
from features.steps import forward_agent_steps

AGENT = ("10.0.1.1", 8172)
OTHER_AGENT = ("10.0.1.2", 8172)
FULL = segments.FULL_BYTES
SHORT = 100
# Bytes of the headers of a segment, UDP and IP.
HEADER_BYTES = 60
WINDOW = 16
# Time from the end of the link to the upstream and of its answer to the caller.
RETURN_S = 0.002


def output(number, seq, length, to=AGENT, mark=segments.MARK_DIRECT, **changes):
    seg = forward_agent_steps.segment(
        balancer_sample.flow_key(number), seq=seq, length=length, **changes
    )
    return outputs.ToAgent(to, seg, 0, mark)


class Link:
    """A serial link with an unlimited queue, behind a pacer.

    Attributes:
        waits: Times that small segments waited for the link, seconds.
        bulk_bytes: Bytes of uploads that the link has sent.
    """

    def __init__(self, mbps, pacer):
        self.waits = []
        self.bulk_bytes = 0
        self._bytes_per_s = mbps * 1e6 / 8
        self._pacer = pacer
        self._free_at = 0.0
        self._now = 0.0
        self._events = []
        self._numbers = itertools.count()
        self._timer = False

    def at(self, time, action, *args):
        entry = (time, next(self._numbers), action, args)
        heapq.heappush(self._events, entry)

    def run(self, end):
        while self._events and self._events[0][0] <= end:
            self._now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def forward(self, out):
        if self._pacer.admit(self._now, out):
            self._send(out)
        self._schedule()

    def _schedule(self):
        if self._pacer and not self._timer:
            self._timer = True
            due_at = self._now + self._pacer.next_due_in_s()
            self.at(due_at, self._on_timer)

    def _on_timer(self):
        self._timer = False
        for out in self._pacer.pop_due(self._now):
            self._send(out)
        self._schedule()

    def _send(self, out):
        starts_at = max(self._now, self._free_at)
        size = out.segment.length + HEADER_BYTES
        self._free_at = starts_at + size / self._bytes_per_s
        if out.segment.length < FULL:
            self.waits.append(starts_at - self._now)
            return
        # The answer to a segment lets its caller send the next one.
        seg = out.segment
        self.at(self._free_at, self._on_sent, size)
        caller = int.from_bytes(seg.key[4:6], "big")
        following = output(caller, seg.seq + WINDOW * FULL, FULL)
        self.at(self._free_at + RETURN_S, self.forward, following)

    def _on_sent(self, size):
        self.bulk_bytes += size


@given("a link of {mbps:d} Mbit/s {how} pacing")
def thin_link(context, mbps, how):
    context.mbps = mbps
    context.pacer = pacing.BulkPacer(mbps if how == "with" else 0)
    context.link = Link(mbps, context.pacer)


@when(
    "{uploads:d} uploads and {rate:d} small requests a second share it for"
    " {seconds:d} s"
)
def share_link(context, uploads, rate, seconds):
    link = context.link
    context.seconds = seconds
    rng = random.Random(5)
    for number, index in itertools.product(range(uploads), range(WINDOW)):
        first = output(1000 + number, index * FULL, FULL)
        link.at(0.01 * number, link.forward, first)
    for number in range(rate * seconds):
        small = output(2000 + number, 0, SHORT)
        link.at((number + rng.random()) / rate, link.forward, small)
    link.run(seconds)
    assert len(link.waits) == rate * seconds


@then("no small segment waits {ms:d} ms or longer at the link")
def check_short_waits(context, ms):
    assert max(context.link.waits) < ms / 1000, max(context.link.waits)


@then("a small segment waits longer than {ms:d} ms at the link")
def check_long_waits(context, ms):
    assert max(context.link.waits) > ms / 1000, max(context.link.waits)


@then("the uploads get more than {share:g} of the link")
def check_throughput(context, share):
    capacity = context.mbps * 1e6 / 8 * context.seconds
    assert context.link.bulk_bytes > share * capacity, context.link.bulk_bytes


@then("no segment was dropped")
def check_none_dropped(context):
    assert context.pacer.dropped == 0


@given("a pacer for {mbps:g} Mbit/s")
def make_pacer(context, mbps):
    context.pacer = pacing.BulkPacer(mbps)
    context.mbps = mbps
    context.now = 100.0
    context.passed, context.queued = [], []
    context.seqs = {}


@given("a pacer for {mbps:g} Mbit/s whose allowance is used up")
def make_used_pacer(context, mbps):
    make_pacer(context, mbps)
    for index in itertools.count():
        if not context.pacer.admit(context.now, output(99, index, FULL)):
            break
    context.pacer.pop_all()
    # The event of this segment is not part of the scenario.
    context.pacer.pop_event(context.now)
    context.now += pacing.EVENT_INTERVAL_S
    context.pacer.pop_event(context.now)
    context.now += pacing.EVENT_INTERVAL_S
    for index in itertools.count():
        if not context.pacer.admit(context.now, output(99, index, FULL)):
            break
    context.pacer.discard(balancer_sample.flow_key(99))
    # The discarded segment is not part of the scenario, and time that passes
    # to report it would restore the allowance.
    context.pacer._new_queued = 0


def admit(context, out):
    if context.pacer.admit(context.now, out):
        context.passed.append(out)
    else:
        context.queued.append(out)


def send(context, number, length, to=AGENT, **changes):
    seq = context.seqs.get(number, 0)
    context.seqs[number] = seq + length
    admit(context, output(number, seq, length, to, **changes))


@when("flow {number:d} sends {count:d} full segments")
def send_full(context, number, count):
    for _ in range(count):
        send(context, number, FULL)


@when("flow {number:d} sends {count:d} full segments, a short one and a FIN")
def send_upload(context, number, count):
    send_full(context, number, count)
    send(context, number, SHORT)
    send(context, number, 0, final=True)


@when("flow {number:d} sends the same segments again")
def send_again(context, number):
    for out in list(context.queued):
        assert not context.pacer.admit(context.now, out)


@when("flow {number:d} sends the same segments again to another agent")
def send_elsewhere(context, number):
    for out in list(context.queued):
        again = output(number, out.segment.seq, FULL, OTHER_AGENT)
        assert not context.pacer.admit(context.now, again)


@when("flow {number:d} {ends}")
def end_flow(context, number, ends):
    if ends == "is reset by the balancer":
        context.pacer.discard(balancer_sample.flow_key(number))
    else:
        kind = {"sends a reset": "reset", "is opened anew": "opening"}[ends]
        end = output(number, 0, 0, **{kind: True})
        assert context.pacer.admit(context.now, end)
    key = balancer_sample.flow_key(number)
    context.queued = [x for x in context.queued if x.segment.key != key]


@when("{seconds:g} s pass and the due segments are sent")
def pass_time(context, seconds):
    end = context.now + seconds
    while context.pacer and context.now < end:
        context.now += context.pacer.next_due_in_s()
        context.pacer.pop_due(context.now)
    context.now = end
    context.passed, context.queued = [], []


@then("none of them is sent at once")
def none_sent(context):
    assert not context.passed


@then("all of them are sent at once")
def all_sent(context):
    assert context.passed and not context.queued


@then("after {seconds:g} s the segments of each flow are sent in their order")
def sent_in_order(context, seconds):
    sent = []
    end = context.now + seconds
    while context.pacer and context.now < end:
        context.now += context.pacer.next_due_in_s()
        sent += context.pacer.pop_due(context.now)
    assert sent == context.queued, (sent, context.queued)
    assert sent


@then("an acknowledgement of flow {number:d} is sent at once")
def ack_passes(context, number):
    ack = output(number, context.seqs[number], 0)
    assert context.pacer.admit(context.now, ack)


@then("a short segment of flow {number:d} is sent at once")
def short_passes(context, number):
    assert context.pacer.admit(context.now, output(number, 7, SHORT))


@then("probes of its next segment to two agents are sent at once")
def probes_pass(context):
    for to in (AGENT, OTHER_AGENT):
        probe = output(1, context.seqs[1], FULL, to, segments.MARK_PROBE)
        assert context.pacer.admit(context.now, probe)


@then("{count:d} segments are queued")
def check_queued(context, count):
    assert len(context.pacer) == count, len(context.pacer)


@then("{count:d} segments were dropped")
def check_dropped(context, count):
    assert context.pacer.dropped == count, context.pacer.dropped


@then("a segment that was sent before is queued when it is retransmitted")
def queued_again(context):
    while context.pacer.admit(context.now, output(98, 0, FULL)):
        pass
    before = len(context.pacer)
    assert not context.pacer.admit(context.now, context.queued[0])
    assert len(context.pacer) == before + 1


@then("the pacer is disabled and reports nothing")
def check_disabled(context):
    assert not context.pacer.enabled and not context.pacer
    assert context.pacer.next_due_in_s() == math.inf
    assert context.pacer.pop_event(context.now + 100) is None


@then("at least 1 segment and less than {ms:d} ms of the link are sent at once")
def check_burst(context, ms):
    size = len(context.passed) * (FULL + HEADER_BYTES)
    assert context.passed
    assert size * 8 / (context.mbps * 1e6) < ms / 1000, len(context.passed)


@then("no segment is due")
def none_due(context):
    assert context.pacer.next_due_in_s() == math.inf


@then("each is due when the former has taken its part of the link")
def check_due(context):
    interval_s = (FULL + HEADER_BYTES) * 8 / (0.8 * context.mbps * 1e6)
    due_in_s = context.pacer.next_due_in_s()
    assert 0 < due_in_s <= interval_s
    for _ in range(3):
        due_in_s = context.pacer.next_due_in_s()
        assert not context.pacer.pop_due(context.now + due_in_s - 1e-4)
        # Rounding must not make it miss its time.
        context.now += due_in_s + 1e-9
        assert len(context.pacer.pop_due(context.now)) == 1
        if context.pacer:
            due_in_s = context.pacer.next_due_in_s()
            assert math.isclose(due_in_s, interval_s, rel_tol=1e-3)
    assert context.pacer.next_due_in_s() == math.inf


def tick(context, seconds):
    """Sends what is due and takes the events, as the daemon's timers do."""
    events = []
    for _ in range(round(seconds / 0.05)):
        context.now += 0.05
        context.pacer.pop_due(context.now)
        event = context.pacer.pop_event(context.now)
        if event is not None:
            assert event.notable and not event.key
            words = dict(re.findall(r"(\w+)=(\d+)", event.detail))
            counts = {name: int(value) for name, value in words.items()}
            events.append((context.now, event.what, counts))
    return events


@then("nothing is reported in {seconds:d} s")
def nothing_reported(context, seconds):
    assert not tick(context, seconds)


@when("{count:d} full segments arrive in each of {seconds:d} seconds")
def overload(context, count, seconds):
    context.events = []
    for _ in range(seconds):
        send_full(context, 1, count)
        context.events += tick(context, 1)
    context.events += tick(context, 10)


@then(
    "pacing is reported at most once a second, with queued and dropped segments"
)
def pacing_reported(context):
    events = [x for x in context.events if x[1] == "pacing"]
    times = [x[0] for x in events]
    assert len(events) >= 2
    assert all(b - a > 0.99 for a, b in itertools.pairwise(times)), times
    assert events[0][2]["queued"] > 0
    dropped = sum(x[2]["dropped"] for x in events)
    assert dropped == context.pacer.dropped > 0
    delayed = sum(x[2]["delayed"] for x in events)
    assert delayed == len(context.queued) - dropped


@then("the end is reported once, after all segments were sent")
def end_reported(context):
    names = [x[1] for x in context.events]
    assert names.count("pacing-ended") == 1 and names[-1] == "pacing-ended"
    assert context.events[-1][2]["queued"] == 0


class RecordingSocket:
    def __init__(self):
        self.sent = []

    def send(self, data, to):
        del to
        self.sent.append(data)


class EncodeNothing:
    """Adapter of which the daemon only needs the segments here."""

    agent_kind = config_kind = evacuation_kind = "kind"
    store = None

    def decode_from_caller(self, data):
        raise NotImplementedError

    def encode_segment(self, seg, tag, mark):
        del tag, mark
        return seg

    def encode_reset(self, key, seq):
        del seq
        return key


@given("a balancer daemon with a link of {mbps:d} Mbit/s")
def make_daemon(context, mbps):
    context.mbps = mbps
    context.loop = event_loop.PausedLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)
    local = ("127.0.0.1", 0)
    cfg = forwarding.HostSettings(
        role="balancer",
        host="edge-1",
        failure_domain="abay",
        segments=local,
        caller_port=8172,
        readiness=local,
        control=local,
        messages=local,
        metrics=local,
        seeds=(),
        store=local,
        heartbeat_s=1.0,
        grace_s=0.2,
        first_start=True,
        link_mbps=mbps,
    )

    async def make():
        return forward_balancer.BalancerForwardingDaemon(
            cfg, EncodeNothing(), random.Random(3)
        )

    daemon = context.daemon = context.loop.run_until_complete(make())
    context.add_cleanup(daemon._segments.close)
    context.add_cleanup(daemon._messenger.socket.close)
    context.socket = RecordingSocket()
    daemon._messenger.socket.close()
    daemon._messenger.socket = context.socket


@when("it has {count:d} full segments of flow {number:d} for an agent")
def daemon_sends(context, count, number):
    outs = [output(number, index * FULL, FULL) for index in range(count)]
    context.daemon._execute(outs)
    context.count = count


@then("it sends some at once, and 0.8 of the link afterwards")
def daemon_paces(context):
    sent = context.socket.sent
    at_once = len(sent)
    assert 0 < at_once < context.count
    interval_s = (FULL + HEADER_BYTES) * 8 / (0.8 * context.mbps * 1e6)
    context.loop.advance_until(lambda: len(sent) >= 30, 0.0005, 1.0)
    began_at, before = context.loop.time(), len(sent)
    context.loop.advance_until(lambda: len(sent) >= before + 20, 0.0005, 1.0)
    elapsed_s = context.loop.time() - began_at
    assert math.isclose(elapsed_s, 20 * interval_s, rel_tol=0.1), elapsed_s


@when("it resets flow {number:d} and stops")
def daemon_stops(context, number):
    daemon = context.daemon
    daemon._execute([outputs.Reset(balancer_sample.flow_key(number), 0)])
    context.before = len(context.socket.sent)
    stopped = context.loop.create_task(daemon.stop())
    context.loop.advance_until(stopped.done, 0.01, 5.0)


@then("it has sent all segments of flow {number:d} in their order")
def daemon_sent_all(context, number):
    key = balancer_sample.flow_key(number)
    after = context.socket.sent[context.before :]
    assert {seg.key for seg in after} == {key}
    assert [x.seq for x in after] == [i * FULL for i in range(context.count)]
