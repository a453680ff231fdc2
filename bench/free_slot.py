"""Queues at the upstreams of a fleet, without a network.

    python -m bench.free_slot [--seeds N] [--case NAME]

Balancers and agents are the product's; the upstreams and the callers are a
model.  For each case and seed it prints, without and with offers that need a
free slot (``extra_offer_share``), the 99th percentile of the answer times, the
share of the requests that wait behind another while a slot elsewhere is free,
and what the rule costs.
"""

import argparse
from collections.abc import Callable
import functools
import heapq
import itertools
import random
import statistics

import msgspec

from bench import overload
from crocusmux.core.forward import agent
from crocusmux.core.forward import balancer
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# Time of a packet between two hosts, seconds.
HOP_S = 0.0005
START_S = 100.0
# Time before the requests, in which all agents report.
SETTLE_S = 0.6
# Interval of checks whether all requests are answered, once no more arrive.
CHECK_INTERVAL_S = 0.1
HEARTBEAT_S = 1.2
SERVICE = "rounds"
FAILURE_DOMAINS = ("abay", "enbek", "karatau", "turan")
# Service times and their tail, by the requirements of the deployments.
SERVICE_S = 0.063
TAIL_SHARE = 0.03
TAIL_FACTOR = 7
# Sequence number of an upstream's SYN+ACK; ``overload.Request`` expects it.
UPSTREAM_ISN = 5000
ANSWER_BYTES = 500
# Time after which a failing upstream answers with an error.
ERROR_S = 0.001


class Case(msgspec.Struct, frozen=True):
    """A fleet and its load.

    Attributes:
        load: Requests as a share of the capacity of all slots.
        balancers: Number of balancers.
        upstreams: Number of upstreams, each with an agent.
        slots: Slots of each upstream.
        duration_s: Time for which requests arrive, seconds.
        target_s: Response-time goal, seconds.
        timeout_s: Time for which a caller waits for its answer, seconds.
        fails_at_s: Time from which the first upstream answers at once with
            errors, seconds after the first request; None for never.
    """

    load: float
    balancers: int = 22
    upstreams: int = 46
    slots: int = 2
    duration_s: float = 4.0
    target_s: float = 0.512
    timeout_s: float = 4.0
    fails_at_s: float | None = None

    def requests_per_s(self) -> float:
        """Returns the requests a second of all callers."""
        mean_s = SERVICE_S * (1 + TAIL_SHARE * (TAIL_FACTOR - 1))
        return self.load * self.upstreams * self.slots / mean_s


CASES = {
    "usual": Case(0.55),
    "busy": Case(0.85),
    "overload": Case(1.1),
    "failing": Case(0.55, duration_s=5.0, fails_at_s=2.0),
}


class Fleet:
    """Balancers, agents, upstreams and callers with a common clock.

    Attributes:
        now: Time in seconds.
        rng: Source of random numbers of the model.
        balancers: The balancers.
        upstreams: The upstreams with their agents.
        requests: All requests so far.
        service_s: Service times of the requests, seconds.
        flows: Requests by the keys of their attempts.
        openings: Number of new flows at each balancer.
        declined: Number of offers that each balancer's agents declined because
            no slot was free.
        limit_exceeded: True once a balancer has had more of these than its
            limit allows.
        waits_s: Waits of the requests that waited behind another one, seconds.
        avoidable: Number of those of them that found a slot elsewhere free.
    """

    def __init__(self, case: Case, seed: int, share: float) -> None:
        """Creates a fleet.

        Args:
            case: The fleet and its load.
            seed: Seed of all random numbers.
            share: Limit of extra offers as a share of the openings.
        """
        self.now = START_S
        self.rng = random.Random(seed)
        self.requests: list[overload.Request] = []
        self.flows: dict[bytes, overload.Request] = {}
        self.service_s: dict[overload.Request, float] = {}
        self.openings = [0] * case.balancers
        self.declined = [0] * case.balancers
        self.limit_exceeded = False
        self.waits_s: list[float] = []
        self.avoidable = 0
        self.case = case
        self._share = share
        self._seed = seed
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        # Balancers of the flows, to which the fabric hashes them.
        self._numbers_by_key: dict[bytes, int] = {}
        self.balancers = [
            self._make_balancer(seed, number)
            for number in range(case.balancers)
        ]
        self.upstreams = [Upstream(self, x) for x in range(case.upstreams)]
        self._by_ip = {x.ip: x for x in self.upstreams}

    def _make_balancer(
        self, seed: int, number: int
    ) -> balancer.ForwardingBalancer:
        core = balancer.ForwardingBalancer(
            f"edge-{number}",
            FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            (f"10.0.0.{number + 1}", 7720),
            "",
            random.Random(seed * 1000 + number),
            detect_outliers=True,
            fair_queueing=True,
            extra_offer_share=self._share,
        )
        case = self.case
        route = routes.Route(
            "bookings",
            ("198.18.0.1", 443),
            ((SERVICE, 1),),
            case.timeout_s,
            case.target_s,
            1,
            True,
        )
        core.configure(routes.Configuration(1, (route,)))
        core.agent_table.complete = True
        return core

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls a function later."""
        event = (self.now + delay_s, next(self._numbers), call)
        heapq.heappush(self._events, event)

    def repeat(self, interval_s: float, call: Callable[[], None]) -> None:
        """Calls a function at an interval, first at a random part of it."""

        def run() -> None:
            call()
            self.after(interval_s, run)

        self.after(self.rng.uniform(0, interval_s), run)

    def run(self) -> None:
        """Runs the case until all requests have ended."""
        case = self.case
        for core in self.balancers:
            self.repeat(
                balancer.TIMER_INTERVAL_S, functools.partial(self._tick, core)
            )
        first_at = START_S + SETTLE_S
        last_at = first_at + case.duration_s
        load = overload.Load(
            SERVICE, case.requests_per_s(), 1, case.target_s, case.timeout_s
        )

        arrivals = random.Random(self._seed)

        def arrive() -> None:
            if self.now >= last_at:
                return
            service_s = SERVICE_S * arrivals.uniform(0.5, 1.5)
            if arrivals.random() < TAIL_SHARE:
                service_s = SERVICE_S * TAIL_FACTOR
            # The same caller, balancer and work with each limit.
            self.rng.seed(arrivals.getrandbits(32))
            request = overload.Request(self, 1, load)
            self.requests.append(request)
            self.service_s[request] = service_s
            self.after(arrivals.expovariate(load.per_s), arrive)

        self.after(SETTLE_S, arrive)
        if case.fails_at_s is not None:
            self.after(SETTLE_S + case.fails_at_s, self.upstreams[0].fail)
        end = last_at + case.timeout_s
        next_check_at = last_at
        while self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
            if self.now >= next_check_at:
                next_check_at += CHECK_INTERVAL_S
                if all(x.answered_s is not None for x in self.requests):
                    return

    def _tick(self, core: balancer.ForwardingBalancer) -> None:
        self._execute(core, core.on_timer(self.now, self.now))

    def send_segment(
        self, core: balancer.ForwardingBalancer, seg: segments.Segment
    ) -> None:
        """Sends a caller's segment to a balancer."""
        number = self.balancers.index(core)
        if seg.opening and core.flows.get(seg.key) is None:
            self.openings[number] += 1
            self._numbers_by_key[seg.key] = number
        self._execute(core, core.on_segment(self.now, seg))

    def send_message(self, ip: str, message: reports.Message) -> None:
        """Sends an agent's message to the balancer with an address."""
        core = self.balancers[int(ip.rpartition(".")[2]) - 1]
        self.after(
            HOP_S,
            lambda: self._execute(core, core.on_message(self.now, message)),
        )

    def _execute(
        self, core: balancer.ForwardingBalancer, outs: list[outputs.Output]
    ) -> None:
        number = self.balancers.index(core)
        for out in outs:
            if isinstance(out, outputs.ToAgent):
                seg = msgspec.structs.replace(
                    out.segment, service_tag=out.service_tag, mark=out.mark
                )
                to = self._by_ip[out.to[0]]
                self.after(HOP_S, functools.partial(to.on_segment, seg, number))
            elif isinstance(out, outputs.ToPeer):
                to = self._by_ip[out.to[0]]
                self.after(
                    HOP_S,
                    functools.partial(to.on_message, out.message, number),
                )
            elif isinstance(out, outputs.Reset):
                request = self.flows[out.key]
                self.after(HOP_S, functools.partial(request.on_reset, out.key))
            elif isinstance(out, outputs.Event):
                self._count(number, out)

    def _count(self, number: int, event: outputs.Event) -> None:
        if (
            event.what != "declined"
            or "reason=no-free-slot" not in event.detail
        ):
            return
        self.declined[number] += 1
        limit = 10 + self._share * self.openings[number]
        self.limit_exceeded |= self.declined[number] > limit

    def on_upstream_segment(self, seg: segments.Segment) -> None:
        """Lets a caller get a segment; it closes its flow after the answer."""
        request, key = self.flows[seg.key], seg.key
        core = self.balancers[self._numbers_by_key[key]]

        def arrive() -> None:
            if seg.opening:
                request.on_syn_ack(key, core)
                return
            request.on_answer(key)
            ack = seg.seq + seg.length
            close = overload.make_segment(key, ack=ack)
            close = msgspec.structs.replace(close, seq=1100, final=True)
            self.send_segment(core, close)

        self.after(HOP_S, arrive)


class Upstream:
    """An upstream with its agent.

    Attributes:
        ip: Address of its host.
        requests: Number of requests that it got.
        requests_while_failing: Those since it fails.
    """

    def __init__(self, fleet: Fleet, number: int) -> None:
        """Creates an idle upstream that all balancers know."""
        host = f"side-{number}"
        self.ip = f"10.0.1.{number + 1}"
        self.requests = self.requests_while_failing = 0
        self._fleet = fleet
        self._failing = False
        self._slots = fleet.case.slots
        self._busy = 0
        self._queue: list[tuple[bytes, float]] = []
        self._beats = itertools.count(1)
        self._core = agent.ForwardingAgent(
            host, SERVICE, 1, HEARTBEAT_S, detect_outliers=True
        )
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        record = upstreams.AgentRecord(
            host, SERVICE, domain, (self.ip, 8172), (self.ip, 7720)
        )
        for core in fleet.balancers:
            core.add_agent(fleet.now, record)
        self._beat()
        fleet.repeat(agent.TIMER_INTERVAL_S, self._tick)

    def _beat(self) -> None:
        beat = heartbeats.Heartbeat(
            upstream=self.ip,
            born_ms=1000,
            sequence=next(self._beats),
            service=SERVICE,
            address=("127.0.0.1", 9000),
            slots=self._slots,
            draining=False,
            warmup_s=0.0,
            boot_age_s=0.0,
        )
        self._execute(self._core.on_heartbeat(self._fleet.now, beat))
        self._fleet.after(HEARTBEAT_S, self._beat)

    def _tick(self) -> None:
        self._execute(self._core.on_timer(self._fleet.now))

    def on_segment(self, seg: segments.Segment, number: int) -> None:
        """Takes a segment from a balancer."""
        sender = (f"10.0.0.{number + 1}", 7720)
        now = self._fleet.now
        self._execute(self._core.on_caller_segment(now, seg, sender))

    def on_message(self, message: reports.Message, number: int) -> None:
        """Takes a message from a balancer."""
        now = self._fleet.now
        if isinstance(message, reports.Subscribe):
            self._execute(self._core.on_subscribe(now, message))
        elif isinstance(message, reports.FlowQuery):
            sender = (f"10.0.0.{number + 1}", 7720)
            self._execute(self._core.on_flow_query(now, message, sender))

    def _execute(self, outs: list[outputs.Output]) -> None:
        for out in outs:
            if isinstance(out, outputs.ToUpstream):
                self._on_caller_segment(out.segment)
            elif isinstance(out, outputs.ToCaller):
                self._fleet.on_upstream_segment(out.segment)
            elif isinstance(out, outputs.ToPeer):
                self._fleet.send_message(out.to[0], out.message)

    def _on_caller_segment(self, seg: segments.Segment) -> None:
        if seg.opening:
            self._reply(seg.key, seq=UPSTREAM_ISN, opening=True)
        elif seg.length:
            self._on_request(seg.key)

    def _on_request(self, key: bytes) -> None:
        self.requests += 1
        if self._failing:
            self.requests_while_failing += 1
            self._fleet.after(ERROR_S, lambda: self._answer(key))
        elif self._busy < self._slots:
            self._serve(key)
        else:
            fleet = self._fleet
            fleet.avoidable += any(x.has_free_slot() for x in fleet.upstreams)
            self._queue.append((key, fleet.now))

    def fail(self) -> None:
        """Answers all later requests at once with errors."""
        self._failing = True

    def has_free_slot(self) -> bool:
        """Returns True if a request would be served at once."""
        return self._busy < self._slots

    def _serve(self, key: bytes) -> None:
        self._busy += 1
        service_s = self._fleet.service_s[self._fleet.flows[key]]
        self._fleet.after(service_s, lambda: self._finish(key))

    def _finish(self, key: bytes) -> None:
        self._busy -= 1
        self._answer(key)
        if self._queue:
            waiting, since = self._queue.pop(0)
            self._fleet.waits_s.append(self._fleet.now - since)
            self._serve(waiting)

    def _answer(self, key: bytes) -> None:
        self._reply(key, seq=UPSTREAM_ISN + 1, length=ANSWER_BYTES)

    def _reply(self, key: bytes, **changes: int) -> None:
        seg = msgspec.structs.replace(
            overload.make_segment(key, ack=1001), from_caller=False, **changes
        )
        now = self._fleet.now
        self._execute(self._core.on_upstream_segment(now, seg))


class Result(msgspec.Struct, frozen=True):
    """Outcome of a case.

    Attributes:
        p50_ms: Median of the answer times, milliseconds.
        p99_ms: 99th percentile of the answer times, milliseconds; the requests
            without an answer count as the longest ones.
        in_goal: Number of requests that were answered within the goal.
        answered: Number of requests that were answered.
        failed: Number of requests that were not answered.
        p99_wait_ms: 99th percentile of the waits of all requests, milliseconds.
        queued_share: Share of the requests that waited behind another one.
        avoidable_share: Share of the requests that waited behind another one
            while a slot elsewhere was free.
        extra_share: Offers that were declined as no slot was free, as a share
            of the openings.
        limit_exceeded: True if a balancer exceeded the limit at some moment.
        failing_requests: Requests to the failing upstream since it fails.
    """

    p50_ms: float
    p99_ms: float
    in_goal: int
    answered: int
    failed: int
    p99_wait_ms: float
    queued_share: float
    avoidable_share: float
    extra_share: float
    limit_exceeded: bool
    failing_requests: int


@functools.cache
def run(case: Case, seed: int, share: float) -> Result:
    """Runs a case with a limit of extra offers; 0 for none."""
    fleet = Fleet(case, seed, share)
    fleet.run()
    times = sorted(
        case.timeout_s if x.answered_s is None else x.answered_s
        for x in fleet.requests
    )
    answered = sum(x.answered_s is not None for x in fleet.requests)
    count = len(times)
    # At its upstream a retried request waits again.
    waits_s = sorted([0.0] * count + fleet.waits_s)[-count:]
    return Result(
        p50_ms=1000 * statistics.median(times),
        p99_ms=1000 * times[int(0.99 * count)],
        in_goal=sum(x.in_goal() for x in fleet.requests),
        answered=answered,
        failed=count - answered,
        p99_wait_ms=1000 * waits_s[int(0.99 * count)],
        queued_share=len(fleet.waits_s) / count,
        avoidable_share=fleet.avoidable / count,
        extra_share=sum(fleet.declined) / sum(fleet.openings),
        limit_exceeded=fleet.limit_exceeded,
        failing_requests=fleet.upstreams[0].requests_while_failing,
    )


def main() -> None:
    """Prints the results of the chosen cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--case", choices=CASES)
    parser.add_argument("--share", type=float, default=1.0)
    args = parser.parse_args()
    for name in [args.case] if args.case else CASES:
        for seed in range(1, args.seeds + 1):
            for share in (0.0, args.share):
                found = run(CASES[name], seed, share)
                print(
                    f"{name} seed {seed} share {share:g}:"
                    f" p50 {found.p50_ms:.0f} ms p99 {found.p99_ms:.0f} ms"
                    f" in goal {found.in_goal} answered {found.answered}"
                    f" failed {found.failed} wait {found.p99_wait_ms:.0f} ms queued {found.queued_share:.3f}"
                    f" avoidable {found.avoidable_share:.3f}"
                    f" extra {found.extra_share:.3f}"
                    f" failing {found.failing_requests}"
                )


if __name__ == "__main__":
    main()
