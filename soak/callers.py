"""Callers of a run: short flows with one request, and long flows with many."""

import asyncio
import contextlib
import itertools
import random

import msgspec

from crocusmux.core.forward import segments
from crocusmux.daemons import process
from crocusmux.platform import packets
from soak import network
from soak import router
from soak import rules
from soak import upstreams

# Times of a caller (source: docs/design/overload.md).
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S = 1.4
MAX_ATTEMPTS = 3
BUDGET_S = 5.0
# Delays after which unanswered data is sent again.
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
# Distance of a reset's sequence number from the caller's last acknowledgement up
# to which it counts (source: the platform's protocol).
RESET_WINDOW = 76_800
SHORT_FLOWS_PER_S = 50
LONG_FLOWS = 40
# Mean time between two requests of a long flow.
LONG_PAUSE_S = 0.5
LONG_BUDGET_S = 9.0
# Time until a long flow is opened again.
LONG_RETRY_S = 0.1
FIRST_PORT = 1_024
PORTS = 60_000


class Request(msgspec.Struct):
    """A request that has ended.

    Attributes:
        id: Its id.
        ended_at: End, seconds.
        outcome: "answered", "reset", "refused", "silent" or "no-answer".
    """

    id: str
    ended_at: float
    outcome: str


class Flow:
    """A flow as its caller sees it.

    Attributes:
        state: "opening", "open", "closed" by the caller, or "reset".
        began_at: Time of the first SYN, seconds.
        opened_at: Time of the SYN+ACK, seconds; 0 before.
        first_ack: Acknowledgement of the SYN+ACK, which identifies the
            upstream that holds the flow.
        balancers: Names of the balancers that got a SYN of the flow.
    """

    def __init__(self, key: bytes, out: router.Router, isn: int) -> None:
        """Describes a flow, which ``open`` opens."""
        self.key = key
        self.state = "opening"
        self.opened_at = 0.0
        self.first_ack = 0
        self.balancers: set[str] = set()
        self._out = out
        self._next_seq = isn
        self._ack = 0
        self._answered: set[str] = set()
        self._changed = asyncio.Event()
        self._now = asyncio.get_running_loop().time
        self.began_at = self._now()

    def _send(self, flags: int, seq: int, body: bytes = b"") -> None:
        caller, route = network.ends_of(self.key)
        data = network.encode(caller, route, flags, seq, self._ack, body)
        self._out.send(self.key, data)

    async def open(self) -> str:
        """Opens the flow; returns "open", "refused" or "silent"."""
        caller, route = network.ends_of(self.key)
        for number, at_s in enumerate(SYN_COPIES_S):
            await self._wait(self.began_at + at_s, "opening")
            if self.state != "opening":
                break
            data = network.encode(
                caller, route, packets.SYN, self._next_seq, number
            )
            self.balancers.add(self._out.send(self.key, data))
        await self._wait(self.began_at + SYN_TIMEOUT_S, "opening")
        if self.state == "open":
            return "open"
        outcome = "refused" if self.state == "reset" else "silent"
        self.state = "closed"
        return outcome

    async def _wait(self, until: float, state: str, answer: str = "") -> None:
        """Waits while the flow is in a state and an answer is missing."""
        while self.state == state and answer not in self._answered:
            left_s = until - self._now()
            if left_s <= 0:
                return
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    async def request(self, request_id: str, budget_s: float) -> str:
        """Sends a request; returns "answered", "reset" or "no-answer"."""
        body = upstreams.REQUEST_PREFIX + request_id.encode()
        seq = self._next_seq
        self._next_seq = (seq + len(body)) % segments.SEQUENCE_MODULUS
        deadline = self._now() + budget_s
        for pause_s in RETRANSMIT_S:
            if self._now() >= deadline:
                break
            self._send(packets.ACK, seq, body)
            until = min(deadline, self._now() + pause_s)
            await self._wait(until, "open", request_id)
            if request_id in self._answered:
                return "answered"
            if self.state == "reset":
                return "reset"
        return "no-answer"

    def close(self) -> None:
        """Closes the flow, or resets it if a request is unanswered."""
        if self.state == "open":
            self.state = "closed"
            self._send(packets.FIN | packets.ACK, self._next_seq)

    def abort(self) -> None:
        """Resets the flow."""
        if self.state == "open":
            self.state = "closed"
            self._send(packets.RST | packets.ACK, self._next_seq)

    def on_segment(self, seg: segments.Segment) -> str:
        """Applies a packet; returns "refused" or "reset" for a reset."""
        self._changed.set()
        if seg.reset:
            return self._on_reset(seg)
        if seg.opening:
            if self.state == "opening":
                self.state = "open"
                self.opened_at = self._now()
                modulus = segments.SEQUENCE_MODULUS
                self._next_seq = (self._next_seq + 1) % modulus
                self._ack = self.first_ack = (seg.seq + 1) % modulus
                self._send(packets.ACK, self._next_seq)
        elif seg.length and self.state == "open" and seg.seq == self._ack:
            self._ack = (seg.seq + seg.length) % segments.SEQUENCE_MODULUS
            body = seg.data[packets.HEADER.size :]
            answered = body.removeprefix(upstreams.ANSWER_PREFIX).decode()
            self._answered.add(answered)
            self._send(packets.ACK, self._next_seq)
        return ""

    def _on_reset(self, seg: segments.Segment) -> str:
        if self.state == "opening":
            self.state = "reset"
            return "refused"
        modulus = segments.SEQUENCE_MODULUS
        distance = (seg.seq - self._ack + modulus // 2) % modulus - modulus // 2
        if self.state == "open" and abs(distance) <= RESET_WINDOW:
            self.state = "reset"
            return "reset"
        return ""


class Callers:
    """All callers.

    Attributes:
        flows: Flows by key, also ended ones, as their packets may be late.
        requests: Requests that have ended, in that order.
    """

    def __init__(
        self, out: router.Router, checker: rules.Checker, rng: random.Random
    ) -> None:
        """Creates the callers; ``run_short`` and ``run_long`` make calls."""
        self.flows: dict[bytes, Flow] = {}
        self.requests: list[Request] = []
        self._out = out
        self._checker = checker
        self._rng = rng
        self._numbers = itertools.count()
        self._began_at: dict[str, float] = {}
        self._now = asyncio.get_running_loop().time
        self._tasks: set[asyncio.Task] = set()
        out.on_packet = self._on_packet

    def _on_packet(self, data: bytes) -> None:
        seg = packets.decode_from_upstream(data)
        flow = self.flows.get(seg.key)
        if flow is None:
            self._checker.on_foreign_packet(seg.key)
            return
        what = flow.on_segment(seg)
        if what == "refused":
            self._checker.on_refusal(seg.key)
        elif what == "reset":
            self._checker.on_reset(seg.key, flow.first_ack, flow.opened_at)

    def _new_flow(self, address: network.Address) -> Flow:
        number = next(self._numbers)
        ips = self._out.caller_ips
        caller = (ips[number % len(ips)], FIRST_PORT + number // len(ips))
        # A packet's key is the same in both directions.
        data = network.encode(caller, address, packets.SYN, 0, 0)
        key = packets.decode_from_caller(data).key
        flow = Flow(key, self._out, self._rng.getrandbits(32))
        self.flows[key] = flow
        return flow

    def _pick_route(self) -> rules.Route:
        return self._rng.choice(self._checker.routes_in_force())

    async def run_short(self) -> None:
        """Starts requests at random times until cancelled."""
        for number in itertools.count():
            if number // len(self._out.caller_ips) < PORTS:
                work = self._make_request(f"s{number}", self._pick_route())
                process.start_task(self._tasks, work)
            interval_s = self._rng.uniform(0.5, 1.5) / SHORT_FLOWS_PER_S
            await asyncio.sleep(interval_s)

    async def _make_request(self, request_id: str, route: rules.Route) -> None:
        self._began_at[request_id] = self._now()
        deadline = self._now() + BUDGET_S
        outcome = ""
        for _ in range(MAX_ATTEMPTS):
            left_s = deadline - self._now()
            if left_s <= 0:
                break
            flow = self._new_flow(route.address)
            outcome = await flow.open()
            if outcome != "open":
                continue
            left_s = deadline - self._now()
            self._checker.on_request(request_id, route.repeatable)
            outcome = await flow.request(request_id, left_s)
            if outcome == "no-answer":
                flow.abort()
            flow.close()
            if outcome == "answered" or not route.repeatable:
                break
        self._end(request_id, outcome)

    def _end(self, request_id: str, outcome: str) -> None:
        del self._began_at[request_id]
        self.requests.append(Request(request_id, self._now(), outcome))
        self._checker.note("request", id=request_id, outcome=outcome)

    async def run_long(self, number: int) -> None:
        """Keeps a flow open and makes requests on it until cancelled."""
        for attempt in itertools.count():
            route = self._pick_route()
            flow = self._new_flow(route.address)
            outcome = await flow.open()
            for request in itertools.count():
                if outcome not in ("open", "answered"):
                    break
                request_id = f"l{number}.{attempt}.{request}"
                self._checker.on_request(request_id, route.repeatable)
                self._began_at[request_id] = self._now()
                outcome = await flow.request(request_id, LONG_BUDGET_S)
                self._end(request_id, outcome)
                pause_s = self._rng.uniform(0.1, 1.9) * LONG_PAUSE_S
                await asyncio.sleep(pause_s)
            flow.abort()
            await asyncio.sleep(LONG_RETRY_S)

    def find_balancers(self, key: bytes) -> tuple[set[str], float]:
        """Returns who got a SYN of a flow, and the time of the first one."""
        flow = self.flows[key]
        return flow.balancers, flow.began_at

    def _recent(self, seconds: float) -> list[Request]:
        """Returns the requests that ended within the last seconds."""
        since = self._now() - seconds
        recent = itertools.takewhile(
            lambda request: request.ended_at > since, reversed(self.requests)
        )
        return list(recent)

    def calm(self, seconds: float) -> bool:
        """Returns True if all requests of the last seconds were answered."""
        recent = self._recent(seconds)
        since = self._now() - seconds
        return (
            len(recent) > seconds * SHORT_FLOWS_PER_S / 2
            and all(request.outcome == "answered" for request in recent)
            and all(began_at > since for began_at in self._began_at.values())
        )

    def describe_failures(self, seconds: float) -> str:
        """Returns which requests keep ``calm`` from being True."""
        failed = [x for x in self._recent(seconds) if x.outcome != "answered"]
        since = self._now() - seconds
        waiting = [x for x, at in self._began_at.items() if at <= since]
        text = " ".join(f"{x.id}:{x.outcome}" for x in failed[:5])
        return f"failed={len(failed)} waiting={waiting[:5]} {text}"

    def start(self) -> None:
        """Starts all callers."""
        process.start_task(self._tasks, self.run_short())
        for number in range(LONG_FLOWS):
            process.start_task(self._tasks, self.run_long(number))

    def stop(self) -> None:
        """Ends all callers."""
        for task in list(self._tasks):
            task.cancel()
