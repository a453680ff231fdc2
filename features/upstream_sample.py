"""Simulated upstreams with agents, callers and a clock, in plain event order."""

from collections.abc import Callable
import heapq
import itertools
import random

import msgspec

from crocusmux.core.forward import agent
from crocusmux.core.forward import balancer
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams
from features import balancer_sample
from features.steps import heartbeats_steps

HEARTBEAT_S = 1.2
HOP_S = 0.0005
BORN_MS = 1000
# Time after which an upstream answers with an error or resets the flow.
QUICK_S = 0.001
SLOW_FACTOR = 8
TAIL_FACTOR = 7
# Callers give up after 3 to 12 s.
GIVE_UP_S = 3.0


class Simulation:
    """A clock with events, and the agents by address.

    Attributes:
        now: Time in seconds.
        upstreams: The simulated upstreams.
        core: The balancer; None if callers reach the agent directly.
        request_interval_s: Mean interval between two requests, seconds; 0 for
            none.
        hold_requests: True if callers open their flows but send no requests.
    """

    def __init__(self) -> None:
        self.now = 100.0
        self.upstreams: list[Upstream] = []
        self.core: balancer.ForwardingBalancer | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._ports = itertools.count(10_000)
        self._callers: dict[bytes, Caller] = {}
        self.request_interval_s = 0.0
        self.hold_requests = False
        self._rng = random.Random(3)

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls a function later."""
        event = (self.now + delay_s, next(self._numbers), call)
        heapq.heappush(self._events, event)

    def repeat(self, interval_s: float, call: Callable[[], None]) -> None:
        """Calls a function now and then at an interval."""

        def run() -> None:
            call()
            self.after(interval_s, run)

        run()

    def run(self, seconds: float) -> None:
        """Runs all events of a time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def add_upstream(self, detect_outliers: bool, slots: int = 2) -> None:
        """Adds an agent with a healthy upstream."""
        number = len(self.upstreams) + 1
        added = Upstream(self, number, detect_outliers, slots)
        self.upstreams.append(added)
        self.repeat(HEARTBEAT_S, added.send_heartbeat)
        self.repeat(agent.TIMER_INTERVAL_S, added.on_timer)

    def add_balancer(self, detect_outliers: bool) -> None:
        """Adds a balancer that knows all agents."""
        core = balancer.ForwardingBalancer(
            "edge-1",
            "abay",
            balancer_sample.BALANCER_ADDRESS,
            "",
            random.Random(1),
            detect_outliers=detect_outliers,
        )
        self.core = core
        self.execute(core.configure(balancer_sample.configuration(5)))
        for each in self.upstreams:
            record = balancer_sample.record(each.host, "rounds", each.ip)
            self.execute(core.add_agent(self.now, record))
        self.repeat(
            balancer.TIMER_INTERVAL_S,
            lambda: self.execute(core.on_timer(self.now)),
        )

    def start_requests(self, interval_s: float) -> None:
        """Lets callers open flows with a request each, at random times."""
        running = self.request_interval_s > 0
        self.request_interval_s = interval_s
        if not running:
            self._next_request()

    def stop_requests(self) -> None:
        """Lets callers open no more flows."""
        self.request_interval_s = 0.0

    def release_requests(self) -> int:
        """Lets all callers that hold their request send it; returns how many."""
        self.hold_requests = False
        holding = [caller for caller in self._callers.values() if caller.holds]
        for caller in holding:
            caller.send_request()
        return len(holding)

    def _next_request(self) -> None:
        if not self.request_interval_s:
            return
        Caller(self, balancer_sample.flow_key(next(self._ports)))
        wait_s = self.request_interval_s * self._rng.uniform(0.5, 1.5)
        self.after(wait_s, self._next_request)

    def add_caller(self, key: bytes, caller: "Caller") -> None:
        """Adds a caller by its flow."""
        self._callers[key] = caller

    def send(self, seg: segments.Segment) -> None:
        """Sends a caller's segment to the balancer, or to the only agent."""
        if self.core is not None:
            self.execute(self.core.on_segment(self.now, seg))
        else:
            self.upstreams[0].on_caller_segment(seg)

    def execute(self, outs: list[outputs.Output]) -> None:
        """Executes the outputs of the balancer."""
        for out in outs:
            if isinstance(out, outputs.ToAgent):
                seg = msgspec.structs.replace(
                    out.segment, service_tag=out.service_tag, mark=out.mark
                )
                self.at_address(out.to).on_caller_segment(seg)
            elif isinstance(out, outputs.ToPeer):
                self.at_address(out.to).on_message(out.message)
            elif isinstance(out, outputs.Reset) and out.key in self._callers:
                self._callers[out.key].done = True

    def at_address(self, address: tuple[str, int]) -> "Upstream":
        """Returns the upstream whose agent has an IP address."""
        return next(x for x in self.upstreams if x.ip == address[0])

    def to_balancer(self, message: reports.Message) -> None:
        """Delivers an agent's message."""
        if self.core is not None:
            self.execute(self.core.on_message(self.now, message))

    def to_caller(self, seg: segments.Segment) -> None:
        """Delivers an upstream's segment."""
        caller = self._callers[seg.key]
        self.after(HOP_S, lambda: caller.on_segment(seg))


class Caller:
    """Opens a flow, sends one request, and closes the flow after the answer.

    Attributes:
        done: True once the request is answered or has failed.
        holds: True while the flow is open and the request is not sent.
    """

    def __init__(self, simulation: Simulation, key: bytes) -> None:
        self._simulation = simulation
        self._key = key
        self.done = False
        self.holds = False
        self._sent = False
        simulation.add_caller(key, self)
        self._send(opening=True, ack=0)

    def _send(self, **changes) -> None:
        self._simulation.send(make_segment(self._key, **changes))

    def on_segment(self, seg: segments.Segment) -> None:
        """Answers a segment of the upstream."""
        if self.done:
            return
        if seg.opening and not self._sent:
            self._send(ack=5001)
            self.holds = True
            if not self._simulation.hold_requests:
                self.send_request()
        elif seg.reset:
            self.done = True
        elif seg.length:
            self.done = True
            self._send(seq=1100, ack=5501, final=True)

    def send_request(self) -> None:
        """Sends the request."""
        self.holds = False
        self._sent = True
        self._simulation.after(GIVE_UP_S, self._give_up)
        self._send(ack=5001, length=100)

    def _give_up(self) -> None:
        if not self.done:
            self.done = True
            self._send(seq=1100, reset=True)


class Upstream:
    """An upstream and its agent.

    Attributes:
        host: Name of the host.
        ip: IP address of the agent.
        mode: How requests fail: "healthy", "mute", "reset", "error" or "slow".
        fails: Returns True for requests that fail, by their number.
        openings: Times at which openings arrived.
        service_ms: Reported service times with their times, seconds.
        events: Names of the logged events.
        queued: Requests that found no free slot.
        draining: True if its heartbeats say so.
        in_tail: Returns True for requests that take much longer, by number.
        service_s: Mean service time, seconds.
    """

    def __init__(
        self,
        simulation: Simulation,
        number: int,
        detect_outliers: bool,
        slots: int,
    ) -> None:
        self.host = f"side-{number}"
        self.ip = f"10.0.1.{number}"
        self.mode = "healthy"
        self.fails: Callable[[int], bool] = lambda number: number % 10 < 4
        self.in_tail: Callable[[int], bool] = lambda number: False
        self.service_s = 0.03
        self.openings: list[float] = []
        self.service_ms: list[tuple[float, float]] = []
        self.events: list[str] = []
        self.queued = 0
        self.draining = False
        self.core = agent.ForwardingAgent(
            self.host,
            "rounds",
            number,
            HEARTBEAT_S,
            detect_outliers=detect_outliers,
        )
        self._simulation = simulation
        self._slots = slots
        self._busy = 0
        self._queue: list[bytes] = []
        self._requests = 0
        self._sequence = 0
        self._rng = random.Random(number)

    def send_heartbeat(self) -> None:
        """Sends a heartbeat to the agent."""
        self._sequence += 1
        beat = heartbeats_steps.heartbeat(
            BORN_MS, self._sequence, self.draining, self._slots
        )
        self._execute(self.core.on_heartbeat(self._simulation.now, beat))

    def on_timer(self) -> None:
        """Runs the agent's timer, and records the reported service time."""
        now = self._simulation.now
        self._execute(self.core.on_timer(now))
        self.service_ms.append((now, self.core.load.reported_service_ms()))

    def on_caller_segment(self, seg: segments.Segment) -> None:
        """Lets the agent receive a segment from the balancer."""
        now, sender = self._simulation.now, balancer_sample.BALANCER_ADDRESS
        self._execute(self.core.on_caller_segment(now, seg, sender))

    def on_message(self, message: reports.Message) -> None:
        """Lets the agent receive a message from the balancer."""
        now, sender = self._simulation.now, balancer_sample.BALANCER_ADDRESS
        if isinstance(message, reports.Subscribe):
            self._execute(self.core.on_subscribe(now, message))
        elif isinstance(message, reports.FlowQuery):
            self._execute(self.core.on_flow_query(now, message, sender))

    def _execute(self, outs: list[outputs.Output]) -> None:
        for out in outs:
            if isinstance(out, outputs.ToUpstream):
                self._on_segment(out.segment)
            elif isinstance(out, outputs.ToCaller):
                self._simulation.to_caller(out.segment)
            elif isinstance(out, outputs.ToPeer):
                self._simulation.to_balancer(out.message)
            elif isinstance(out, outputs.Event):
                self.events.append(out.what)

    def _reply(self, key: bytes, **changes) -> None:
        seg = make_segment(key, False, **changes)
        now = self._simulation.now
        self._execute(self.core.on_upstream_segment(now, seg))

    def _on_segment(self, seg: segments.Segment) -> None:
        if seg.opening:
            self.openings.append(self._simulation.now)
            self._reply(seg.key, opening=True, seq=5000)
        elif seg.length:
            self._on_request(seg.key)
        elif seg.final:
            self._reply(seg.key, seq=5501, final=True)

    def _on_request(self, key: bytes) -> None:
        self._requests += 1
        failing = self.mode in ("mute", "reset", "error")
        if failing and self.fails(self._requests):
            self._fail(key)
        elif self._busy >= self._slots:
            self.queued += 1
            self._queue.append(key)
        else:
            self._serve(key)

    def _fail(self, key: bytes) -> None:
        after = self._simulation.after
        if self.mode == "reset":
            after(QUICK_S, lambda: self._reply(key, seq=5001, reset=True))
        elif self.mode == "error":
            after(QUICK_S, lambda: self._reply(key, seq=5001, length=40))

    def _serve(self, key: bytes) -> None:
        self._busy += 1
        service_s = self.service_s * self._rng.uniform(0.5, 1.5)
        if self.mode == "slow":
            service_s *= SLOW_FACTOR
        if self.in_tail(self._requests):
            service_s = TAIL_FACTOR * self.service_s
        self._simulation.after(service_s, lambda: self._finish(key))

    def _finish(self, key: bytes) -> None:
        self._busy -= 1
        self._reply(key, seq=5001, length=500)
        if self._queue:
            self._serve(self._queue.pop(0))


def make_segment(key, from_caller=True, **changes):
    """Returns a segment of the service rounds."""
    values = {
        "key": key,
        "from_caller": from_caller,
        "opening": False,
        "acknowledges": True,
        "final": False,
        "reset": False,
        "returned": False,
        "seq": 1000,
        "ack": 5001,
        "length": 0,
        "service_tag": upstreams.service_tag("rounds"),
        "mark": segments.MARK_DIRECT,
        "data": b"",
    }
    return segments.Segment(**{**values, **changes})
