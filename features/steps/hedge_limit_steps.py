import collections
import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when

from crocusmux.core.forward import balancer
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import upstreams
from features import balancer_sample

HOP_S = 0.001
SERVICE_S = 0.067
# Openings a second of the usual load, a third of what 20 upstreams serve, and
# the ratio of the surge to it, which is nearly 2.8 times what they serve.
USUAL_RATE = 200
SURGE_FACTOR = 8
# Delays of a caller's retransmissions, and until it gives up (source: the
# platform's protocol).
RETRANSMIT_S = (balancer_sample.SYN_RETRANSMIT_S, 0.6)
GIVE_UP_S = 1.4
# Shares of the openings that an upstream answers late, or not at all: usually,
# and while the network loses many packets.
LATE_SHARE = 0.05
LOST_SHARE = 0.05
LOSSY_SHARE = 0.8
LATE_S = (0.04, 0.15)
# Time for which a flow without a request holds its place at an upstream.
EXPECTATION_S = 0.1


class Upstream:
    """An upstream with its agent: slots, and a queue of as many requests.

    Attributes:
        host: Name of the host.
        flows: Flow keys that were accepted and are not finished.
    """

    def __init__(self, fleet, number, slots):
        self.host = f"h{number}"
        self.ip = f"10.0.1.{number + 1}"
        self.flows = {}
        self._fleet = fleet
        self._slots = slots
        self._running = 0
        self._queue = []

    def on_opening(self, key, sender):
        """Accepts an opening, or declines it as the agent does."""
        fleet = self._fleet
        if key in self.flows:
            return
        if len(self.flows) >= 2 * self._slots:
            reason = reports.DECLINED_OVERLOAD
            decline = reports.OpeningDeclined(self.host, key, reason)
            fleet.after(HOP_S, lambda: sender.on_message(decline))
            return
        self.flows[key] = True
        fleet.after(EXPECTATION_S, lambda: self.release(key))
        chance = fleet.rng.random()
        if chance < fleet.lost_share():
            return
        delay_s = HOP_S
        if chance > 1 - LATE_SHARE:
            delay_s += fleet.rng.uniform(*LATE_S)
        fleet.after(delay_s, lambda: fleet.on_answer(key, self))

    def release(self, key):
        """Frees the place of a flow without a request."""
        if self.flows.get(key):
            del self.flows[key]

    def on_request(self, key):
        """Queues the request of a flow."""
        self.flows[key] = False
        self._queue.append(key)
        self._serve()

    def _serve(self):
        while self._queue and self._running < self._slots:
            key = self._queue.pop(0)
            self._running += 1
            service_s = self._fleet.rng.uniform(0.5, 1.5) * SERVICE_S
            self._fleet.after(service_s, lambda key=key: self._finish(key))

    def _finish(self, key):
        self._running -= 1
        self.flows.pop(key, None)
        self._serve()

    def load(self):
        return len(self.flows)


class Balancer:
    """A balancer, with its offers and queue as seen from outside.

    Attributes:
        openings: Number of new flows so far.
        extra: Times of the extra openings.  An opening is extra if more
            upstreams then have it than the caller sent copies.
        counts: Numbers of openings and extra openings, after each of these.
        extra_while_queued: Times of those with openings in the queue.
        waits: Times at which an opening was queued.
        limited: Number of hedges that the limit prevented.
    """

    def __init__(self, fleet, number, share):
        self.core = balancer.ForwardingBalancer(
            f"edge-{number}",
            "abay",
            (f"10.0.0.{number + 1}", 7720),
            f"10.0.0.{number + 1}:8166",
            random.Random(number),
            hedge_share=share,
        )
        cfg = balancer_sample.configuration(5, repeatable=True)
        self.core.configure(cfg)
        self.openings = 0
        self.extra = []
        self.counts = []
        self.extra_while_queued = []
        self.waits = []
        self.limited = 0
        self._fleet = fleet
        self._offered = {}
        self._copies = collections.Counter()
        self._queued = set()

    def open(self, key, copies):
        """Lets a caller's SYN arrive."""
        self.openings += copies == 0
        self._copies[key] += 1
        seg = balancer_sample.segment(key, opening=True, ack=copies)
        self._execute(self.core.on_segment(self._fleet.now, seg), key)

    def on_caller_data(self, key):
        """Lets a caller's request arrive."""
        self._queued.discard(key)
        seg = balancer_sample.segment(key, ack=77_000, length=100)
        self._execute(self.core.on_segment(self._fleet.now, seg))

    def on_message(self, message):
        """Lets an agent's message arrive."""
        if isinstance(message, reports.OpeningDeclined):
            self._offered.get(message.key, set()).discard(message.host)
        self._execute(self.core.on_message(self._fleet.now, message))

    def on_timer(self):
        """Runs the timer."""
        self._execute(self.core.on_timer(self._fleet.now))

    def on_hedge_timer(self):
        """Sends the hedges that are due at their time."""
        self._execute(self.core.send_due_hedges(self._fleet.now))

    def _execute(self, outs, retransmitted=b""):
        fleet = self._fleet
        for out in outs:
            if isinstance(out, outputs.Event):
                self._on_event(out)
            elif isinstance(out, outputs.ToAgent) and out.segment.opening:
                self._on_offer(out.segment.key, out.to[0], retransmitted)
        if self.core.next_hedge_at() < float("inf"):
            due_s = max(0.0, self.core.next_hedge_at() - fleet.now)
            fleet.after(due_s, self.on_hedge_timer)

    def _on_event(self, event):
        if event.what == "wait":
            self._queued.add(event.key)
            self.waits.append(self._fleet.now)
        elif event.what in ("place", "refuse"):
            self._queued.discard(event.key)
        elif event.what == "hedge-limited":
            self.limited += 1

    def _on_offer(self, key, ip, retransmitted):
        upstream = self._fleet.by_ip[ip]
        hosts = self._offered.setdefault(key, set())
        others = len(hosts - {upstream.host})
        # A retransmission after a hedge is offered once more.
        if others >= self._copies[key] and key != retransmitted:
            self.extra.append(self._fleet.now)
            self.counts.append((self.openings, len(self.extra)))
            if self._queued:
                self.extra_while_queued.append(self._fleet.now)
        hosts.add(upstream.host)
        self._fleet.after(HOP_S, lambda: upstream.on_opening(key, self))


class Fleet:
    """Balancers, upstreams and callers on one clock.

    Attributes:
        now: Time in seconds.
        counts: Openings and extra openings of all balancers, after each opening.
    """

    def __init__(self, balancer_count, share, upstream_count, slots):
        self.now = 0.0
        self.counts = []
        self.rng = random.Random(0)
        self._timeline = []
        self._order = itertools.count()
        self._openings = {}
        self._lossy = self._surge = (0.0, 0.0)
        self.balancers = [
            Balancer(self, number, share) for number in range(balancer_count)
        ]
        self.upstreams = [
            Upstream(self, number, slots) for number in range(upstream_count)
        ]
        self.by_ip = {x.ip: x for x in self.upstreams}
        self._sequence = 0
        for each in self.balancers:
            for upstream in self.upstreams:
                address, control = (upstream.ip, 8172), (upstream.ip, 7720)
                record = upstreams.AgentRecord(
                    upstream.host, "rounds", "abay", address, control
                )
                each.core.add_agent(0.0, record)

    def after(self, seconds, action):
        """Schedules an action."""
        entry = (self.now + seconds, next(self._order), action)
        heapq.heappush(self._timeline, entry)

    def lost_share(self):
        """Returns the share of the openings that get no answer now."""
        begin, end = self._lossy
        return LOSSY_SHARE if begin <= self.now < end else LOST_SHARE

    def run(self, seed, seconds, lossy, surge):
        """Plays random load with a time of losses and a surge."""
        self.rng = random.Random(seed)
        self._lossy, self._surge = lossy, surge
        self._report()
        self._tick()
        self._open_next()
        while self._timeline and self.now < seconds:
            self.now, _, action = heapq.heappop(self._timeline)
            action()

    def _report(self):
        self._sequence += 1
        for upstream in self.upstreams:
            report = balancer_sample.load_report(
                upstream.host,
                sequence=self._sequence,
                in_progress=float(upstream.load()),
                flows=upstream.load(),
                service_ms=1000 * SERVICE_S,
            )
            for each in self.balancers:
                each.on_message(report)
        self.after(0.25, self._report)

    def _tick(self):
        for each in self.balancers:
            each.on_timer()
        self.after(balancer.TIMER_INTERVAL_S, self._tick)

    def _open_next(self):
        rate = USUAL_RATE
        if self._surge[0] <= self.now < self._surge[1]:
            rate *= SURGE_FACTOR
        key = balancer_sample.flow_key(1 + len(self._openings))
        each = self.rng.choice(self.balancers)
        self._openings[key] = each
        self._send_syn(key, 0)
        for copies, delay_s in enumerate(RETRANSMIT_S, 1):
            self.after(delay_s, lambda n=copies: self._send_syn(key, n))
        self.after(GIVE_UP_S, lambda: self._openings.update({key: None}))
        self.counts.append(
            (
                sum(x.openings for x in self.balancers),
                sum(len(x.extra) for x in self.balancers),
            )
        )
        next_s = self.rng.expovariate(rate)
        self.after(next_s, self._open_next)

    def _send_syn(self, key, copies):
        if self._openings[key] is not None:
            self._openings[key].open(key, copies)

    def on_answer(self, key, upstream):
        """Lets a caller go on with the first upstream that answers."""
        each = self._openings[key]
        if each is None:
            upstream.release(key)
            return
        self._openings[key] = None
        each.on_caller_data(key)
        upstream.on_request(key)
        for other in self.upstreams:
            if other is not upstream:
                other.release(key)
        claim = reports.FlowClaimed(upstream.host, key)
        self.after(2 * HOP_S, lambda: each.on_message(claim))


@given(
    "{balancer_count:d} balancers that hedge up to {percent:d} percent, and"
    " {upstream_count:d} upstreams of {slots:d} slots"
)
def make_fleet(context, balancer_count, percent, upstream_count, slots):
    context.fleet = Fleet(balancer_count, percent / 100, upstream_count, slots)


@when(
    "callers open flows at random for {seconds:g} s, with losses from"
    " {lossy:g} s to {better:g} s and a surge from {begin:g} s to {end:g} s,"
    " by seed {seed:d}"
)
def run_fleet(context, seconds, lossy, better, begin, end, seed):
    context.surge = (begin, end)
    context.fleet.run(seed, seconds, (lossy, better), context.surge)


@then(
    "no balancer ever sent more extra openings than {percent:d} percent +"
    " {tokens:d}"
)
def each_within_limit(context, percent, tokens):
    for each in context.fleet.balancers:
        for count, extra in each.counts:
            assert 100 * extra <= percent * count + 100 * tokens, (count, extra)


@then("together they never sent more than {percent:d} percent + {tokens:d}")
def all_within_limit(context, percent, tokens):
    for count, extra in context.fleet.counts:
        assert 100 * extra <= percent * count + 100 * tokens, (count, extra)


@then("no extra opening was sent while openings were queued at its balancer")
def none_while_queued(context):
    for each in context.fleet.balancers:
        assert not each.extra_while_queued, each.extra_while_queued


@then("openings were hedged before and after the surge, and queued in it")
def load_is_varied(context):
    begin, end = context.surge
    extra = [x for each in context.fleet.balancers for x in each.extra]
    waits = [x for each in context.fleet.balancers for x in each.waits]
    assert sum(x < begin for x in extra) >= 10, extra
    assert sum(x > end for x in extra) >= 5, extra
    assert sum(begin <= x < end for x in waits) >= 100, len(waits)


@then("some balancer reached its limit")
def limit_reached(context):
    assert any(x.limited for x in context.fleet.balancers)
