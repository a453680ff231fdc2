"""Overload of a service behind several forwarding balancers, without a network.

    python -m bench.overload [--seeds N] [--case NAME]

The balancers are the product's.  The model has upstreams that decline openings
as agents do, and callers that retransmit and retry as the platform's callers
do.  For each case and order of the queue it prints the share of the requests
that were answered within their response-time goal.
"""

import argparse
from collections.abc import Callable
import heapq
import itertools
import random
import statistics
from typing import Protocol

import msgspec

from crocusmux.core.forward import balancer
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

HOP_S = 0.0005
SLOTS = 2
SERVICE_S = 0.067
REPORT_S = 0.25
# Accepted requests, running and queued, at which an agent declines openings.
MAX_ACCEPTED = 2 * SLOTS
# Callers, by the platform's protocol: retransmissions of a SYN, the time after
# which a flow that did not open is given up, and attempts.
RETRANSMITS_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
MAX_ATTEMPTS = 3
START_S = 100.0


class Load(msgspec.Struct, frozen=True):
    """Requests to one route.

    Attributes:
        service: Service of the route.
        per_s: Requests a second.
        urgency: Urgency of the route.
        target_s: Response-time goal, seconds.
        timeout_s: Time budget of a request, seconds.
        callers: Number of callers, each with an address of its own.
    """

    service: str
    per_s: float
    urgency: int
    target_s: float = 0.5
    timeout_s: float = 4.0
    callers: int = 200


class Case(msgspec.Struct, frozen=True):
    """A load on some services.

    Attributes:
        agents: Number of agents by service.
        loads: The load of each route.
        duration_s: Time for which requests arrive, seconds.
        balancers: Number of balancers.
    """

    agents: dict[str, int]
    loads: tuple[Load, ...]
    duration_s: float = 5.0
    balancers: int = 3


def capacity(agents: int) -> float:
    """Returns the requests a second that a number of upstreams serve."""
    return agents * SLOTS / SERVICE_S


def _surge() -> Case:
    per_s = 2.8 * capacity(4)
    mix = ((0, 0.2, 0.5), (1, 0.4, 0.35), (2, 0.4, 0.9))
    loads = tuple(
        Load("rounds", share * per_s, urgency, target_s)
        for urgency, share, target_s in mix
    )
    return Case({"rounds": 4}, loads)


CASES = {
    # Requests of 2.8 times the capacity, a fifth of them urgent.
    "surge": _surge(),
    # A long queue of one service beside another one with little more load
    # than it can serve.
    "two-services": Case(
        {"rounds": 3, "wheelbook": 3},
        (
            Load("rounds", 4 * capacity(3), 0, 0.8),
            Load("wheelbook", 1.2 * capacity(3), 1, 0.8),
        ),
    ),
    # One caller sends as much as the upstreams can serve, beside many others.
    "heavy-caller": Case(
        {"rounds": 4},
        (
            Load("rounds", 1.2 * capacity(4), 1, callers=1),
            Load("rounds", 0.7 * capacity(4), 1),
        ),
    ),
    # Urgent requests alone exceed the capacity.
    "urgent": Case(
        {"rounds": 4},
        (
            Load("rounds", 1.6 * capacity(4), 0),
            Load("rounds", 0.4 * capacity(4), 2),
        ),
    ),
}


class Network(Protocol):
    """What callers use of a model of a fleet."""

    now: float
    rng: random.Random
    balancers: list[balancer.ForwardingBalancer]
    flows: "dict[bytes, Request]"

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls a function later."""

    def send_segment(
        self, core: balancer.ForwardingBalancer, seg: segments.Segment
    ) -> None:
        """Sends a caller's segment to a balancer."""


class Fleet:
    """Balancers, agents and callers with a common clock.

    Attributes:
        now: Time in seconds.
        rng: Source of random numbers of the model.
        balancers: The balancers.
        requests: All requests so far.
        flows: Attempts by the keys of their flows.
        events: Numbers of the balancers' events by name.
    """

    def __init__(
        self, case: Case, seed: int, **options: bool | Callable[[], float]
    ) -> None:
        """Creates a fleet; ``options`` are those of its balancers."""
        self.now = START_S
        self.rng = random.Random(seed)
        self.requests: list[Request] = []
        self.flows: dict[bytes, Request] = {}
        self.events: dict[str, int] = {}
        self._case = case
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._agents: dict[str, Agent] = {}
        cfg = routes.Configuration(
            1,
            tuple(
                routes.Route(
                    f"route-{number}",
                    (f"198.18.0.{number}", 443),
                    ((load.service, 1),),
                    load.timeout_s,
                    load.target_s,
                    load.urgency,
                    False,
                )
                for number, load in enumerate(case.loads, 1)
            ),
        )
        self.balancers = [
            balancer.ForwardingBalancer(
                f"edge-{number}",
                "abay",
                ("10.0.0.9", number),
                "",
                random.Random(seed * 100 + number),
                **options,  # type: ignore[arg-type]
            )
            for number in range(case.balancers)
        ]
        for core in self.balancers:
            core.configure(cfg)
            core.agent_table.complete = True
        for service, count in case.agents.items():
            for _ in range(count):
                ip = f"10.0.1.{len(self._agents) + 1}"
                self._agents[ip] = Agent(self, service, ip)

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls a function later."""
        event = (self.now + delay_s, next(self._numbers), call)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Runs the case until all requests have ended."""
        for number, load in enumerate(self._case.loads, 1):
            self._schedule_request(number, load)
        for core in self.balancers:
            self._schedule_timer(core)
        longest_s = max(load.timeout_s for load in self._case.loads)
        end = START_S + self._case.duration_s + longest_s
        while self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()

    def _schedule_request(self, number: int, load: Load) -> None:
        def arrive() -> None:
            if self.now < START_S + self._case.duration_s:
                self.requests.append(Request(self, number, load))
                self._schedule_request(number, load)

        self.after(self.rng.expovariate(load.per_s), arrive)

    def _schedule_timer(self, core: balancer.ForwardingBalancer) -> None:
        def tick() -> None:
            self.execute(core, core.on_timer(self.now))
            self.after(balancer.TIMER_INTERVAL_S, tick)

        self.after(self.rng.uniform(0, balancer.TIMER_INTERVAL_S), tick)

    def send_segment(
        self, core: balancer.ForwardingBalancer, seg: segments.Segment
    ) -> None:
        """Sends a caller's segment to a balancer."""
        self.execute(core, core.on_segment(self.now, seg))

    def send_message(
        self, core: balancer.ForwardingBalancer, message: reports.Message
    ) -> None:
        """Sends an agent's message to a balancer."""
        self.after(
            HOP_S,
            lambda: self.execute(core, core.on_message(self.now, message)),
        )

    def execute(
        self, core: balancer.ForwardingBalancer, outs: list[outputs.Output]
    ) -> None:
        """Executes the outputs of a balancer."""
        for out in outs:
            if isinstance(out, outputs.ToAgent):
                self._deliver(core, self._agents[out.to[0]], out.segment)
            elif isinstance(out, outputs.Reset):
                self.after(HOP_S, self._reset_of(out.key))
            elif isinstance(out, outputs.Event):
                self.events[out.what] = self.events.get(out.what, 0) + 1

    def _deliver(
        self,
        core: balancer.ForwardingBalancer,
        agent: "Agent",
        seg: segments.Segment,
    ) -> None:
        self.after(HOP_S, lambda: agent.on_segment(core, seg))

    def _reset_of(self, key: bytes) -> Callable[[], None]:
        return lambda: self.flows[key].on_reset(key)


class Agent:
    """An agent with its upstream."""

    def __init__(self, fleet: Fleet, service: str, ip: str) -> None:
        """Creates an idle upstream that reports to all balancers."""
        self._fleet = fleet
        self._service = service
        self._host = f"side-{ip}"
        self._accepted: dict[bytes, bool] = {}
        self._queue: list[bytes] = []
        self._busy = 0
        self._sequence = 0
        self._mean_load = 0.0
        record = upstreams.AgentRecord(
            self._host, service, "abay", (ip, 8172), (ip, 7720)
        )
        for core in fleet.balancers:
            core.add_agent(fleet.now, record)
        self._report()

    def _report(self) -> None:
        self._sequence += 1
        self._mean_load += 0.5 * (len(self._accepted) - self._mean_load)
        report = reports.LoadReport(
            host=self._host,
            service=self._service,
            incarnation=1,
            sequence=self._sequence,
            accepting=True,
            slots=SLOTS,
            in_progress=self._mean_load,
            flows=len(self._accepted),
            service_ms=SERVICE_S * 1000,
            interval_s=REPORT_S,
            config_version=1,
            config_source="",
        )
        for core in self._fleet.balancers:
            self._fleet.send_message(core, report)
        self._fleet.after(REPORT_S, self._report)

    def on_segment(
        self, core: balancer.ForwardingBalancer, seg: segments.Segment
    ) -> None:
        """Accepts or declines an opening, or starts a request."""
        fleet, key = self._fleet, seg.key
        if seg.opening:
            if key not in self._accepted:
                if len(self._accepted) >= MAX_ACCEPTED:
                    reason = reports.DECLINED_OVERLOAD
                    declined = reports.OpeningDeclined(self._host, key, reason)
                    fleet.send_message(core, declined)
                    return
                self._accepted[key] = False
                # The slot is free again if the caller does not continue.
                fleet.after(0.05, lambda: self._release(key))
            fleet.after(HOP_S, lambda: fleet.flows[key].on_syn_ack(key, core))
        elif key in self._accepted and not self._accepted[key]:
            self._accepted[key] = True
            if self._busy < SLOTS:
                self._serve(key)
            else:
                self._queue.append(key)
        elif key not in self._accepted:
            denied = reports.FlowDenied(self._host, key)
            fleet.send_message(core, denied)

    def _release(self, key: bytes) -> None:
        if self._accepted.get(key) is False:
            del self._accepted[key]

    def _serve(self, key: bytes) -> None:
        self._busy += 1
        service_s = SERVICE_S * self._fleet.rng.uniform(0.5, 1.5)
        self._fleet.after(service_s, lambda: self._finish(key))

    def _finish(self, key: bytes) -> None:
        self._busy -= 1
        del self._accepted[key]
        request = self._fleet.flows[key]
        self._fleet.after(HOP_S, lambda: request.on_answer(key))
        if self._queue:
            self._serve(self._queue.pop(0))


class Request:
    """A request of a caller, with its attempts.

    Attributes:
        load: The load to which it belongs.
        answered_s: Time to its answer, seconds; None without one.
    """

    def __init__(self, fleet: Network, route: int, load: Load) -> None:
        """Begins the first attempt."""
        self.load = load
        self.answered_s: float | None = None
        self._fleet = fleet
        self._address = (f"198.18.0.{route}", 443)
        caller = fleet.rng.randrange(load.callers)
        self._ip = f"100.64.{route}.{caller}"
        self._began_at = fleet.now
        self._attempts = 0
        self._key = b""
        self._open = False
        self._attempt()

    def _attempt(self) -> None:
        fleet = self._fleet
        elapsed_s = fleet.now - self._began_at
        if self._attempts >= MAX_ATTEMPTS or elapsed_s >= self.load.timeout_s:
            self._key = b""
            return
        self._attempts += 1
        # A busy caller may use a port again once its flow has ended.
        port = 10_000 + len(fleet.flows) % 50_000
        key = routes.encode_flow_key((self._ip, port), self._address)
        self._key = key
        fleet.flows[key] = self
        # The fabric hashes each new port to some balancer.
        core = fleet.rng.choice(fleet.balancers)
        for copy, delay_s in enumerate((0.0, *RETRANSMITS_S)):
            fleet.after(delay_s + HOP_S, self._opening(core, key, copy))
        fleet.after(OPEN_TIMEOUT_S, lambda: self._give_up(key))

    def _opening(
        self, core: balancer.ForwardingBalancer, key: bytes, copy: int
    ) -> Callable[[], None]:
        def send() -> None:
            if self._key == key and not self._open:
                seg = make_segment(key, opening=True, ack=copy)
                self._fleet.send_segment(core, seg)

        return send

    def _give_up(self, key: bytes) -> None:
        if self._key == key and not self._open:
            self._attempt()

    def on_reset(self, key: bytes) -> None:
        """Tries again at once."""
        if self._key == key and not self._open:
            self._attempt()

    def on_syn_ack(self, key: bytes, core: balancer.ForwardingBalancer) -> None:
        """Sends the request over the open flow."""
        elapsed_s = self._fleet.now - self._began_at
        if self._key != key or self._open or elapsed_s > self.load.timeout_s:
            return
        self._open = True
        seg = make_segment(key, ack=5001, length=100)
        self._fleet.send_segment(core, seg)

    def on_answer(self, key: bytes) -> None:
        """Records the answer, unless the caller has given up."""
        elapsed_s = self._fleet.now - self._began_at
        if self._key == key and elapsed_s <= self.load.timeout_s:
            self.answered_s = elapsed_s

    def in_goal(self) -> bool:
        """Returns True if it was answered within its response-time goal."""
        return (
            self.answered_s is not None
            and self.answered_s <= self.load.target_s
        )


def make_segment(
    key: bytes, opening: bool = False, ack: int = 0, length: int = 0
) -> segments.Segment:
    """Returns a caller's segment."""
    return segments.Segment(
        key=key,
        from_caller=True,
        opening=opening,
        acknowledges=not opening,
        final=False,
        reset=False,
        returned=False,
        seq=1000,
        ack=ack,
        length=length,
        service_tag=0,
        mark=segments.MARK_DIRECT,
        data=b"",
    )


class Result(msgspec.Struct, frozen=True):
    """Outcome of a case.

    Attributes:
        in_goal: Share of the requests that were answered within their goal.
        by_load: The same for each load.
        failed: Shares of the requests of each load that were not answered.
    """

    in_goal: float
    by_load: tuple[float, ...]
    failed: tuple[float, ...]


def run(case: Case, seed: int, **options: bool) -> Result:
    """Runs a case with balancers that have some options."""
    fleet = Fleet(case, seed, **options)
    fleet.run()
    by_load, failed = [], []
    for load in case.loads:
        sent = [x for x in fleet.requests if x.load is load]
        by_load.append(statistics.mean(x.in_goal() for x in sent))
        failed.append(statistics.mean(x.answered_s is None for x in sent))
    in_goal = statistics.mean(x.in_goal() for x in fleet.requests)
    return Result(in_goal, tuple(by_load), tuple(failed))


def main() -> None:
    """Prints the results of the chosen cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--case", choices=CASES)
    args = parser.parse_args()
    for name in [args.case] if args.case else CASES:
        for fair in (False, True):
            found = [
                run(CASES[name], seed, fair_queueing=fair)
                for seed in range(1, args.seeds + 1)
            ]
            print(f"{name} fair={fair}")
            for seed, result in enumerate(found, 1):
                shares = " ".join(f"{x:.3f}" for x in result.by_load)
                failed = " ".join(f"{x:.3f}" for x in result.failed)
                print(
                    f"  seed {seed}: in goal {result.in_goal:.3f}"
                    f" by load {shares} failed {failed}"
                )
            mean = statistics.mean(result.in_goal for result in found)
            print(f"  mean {mean:.3f}")


if __name__ == "__main__":
    main()
