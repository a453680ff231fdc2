"""Callers of a run: short flows with one request, and long flows with many."""

import asyncio
import contextlib
import itertools
import random

from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.daemons import process
from crocusmux.platform import packets
from soak import network
from soak import router
from soak import rules

# Times of a caller (source: docs/design/overload.md).
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S = 1.4
MAX_ATTEMPTS = 3
BUDGET_S = 5.0
# Delays after which unanswered data is sent again, for longer than the budgets.
RETRANSMIT_S = (0.2, 0.4, 0.8, *(1.6,) * 7)
# Distance of a reset's sequence number from the caller's last acknowledgement up
# to which it counts (source: the platform's protocol).
RESET_WINDOW = 76_800
SHORT_FLOWS_PER_S = 50
LONG_FLOWS = 40
# Mean time between two requests of a long flow, and until it is opened again.
LONG_PAUSE_S = 0.5
LONG_RETRY_S = 0.1
# Twice the bound of the rule lost-flow-reset-late.
LONG_BUDGET_S = 12.0
# One in so many long flows sends seldom, so that some lost flows are looked up
# seconds after their loss.
SELDOM_SHARE, SELDOM_PAUSE_S = 4, 4.0
FIRST_PORT, PORTS = 1_024, 60_000
# More requests than end within the time that ``Callers.failures`` looks at.
MAX_RECENT = 2_000
MODULUS = segments.SEQUENCE_MODULUS


class Flow:
    """A flow as its caller sees it.

    Attributes:
        state: "opening", "open", "closed" by the caller, or "reset".
        began_at: Time of the first SYN, seconds.
        first_ack: Acknowledgement of the SYN+ACK, which identifies the holder.
        balancers: Names of the balancers that got a SYN of the flow.
        balancer: Name of the balancer to which the last packet was sent.
        waits_since: Time of the first packet with the present request, seconds;
            None if the flow waits for no answer.
    """

    def __init__(self, key: bytes, out: router.Router, isn: int) -> None:
        self.key = key
        self.state = "opening"
        self.first_ack = self._ack = 0
        self.balancers: set[str] = set()
        self.balancer = ""
        self.waits_since: float | None = None
        self._out = out
        self._next_seq = isn
        self._answered: set[str] = set()
        self._changed = asyncio.Event()
        self._now = asyncio.get_running_loop().time
        self.began_at = self._now()

    def _send(self, flags: int, seq: int, ack: int, body: bytes = b"") -> None:
        caller, route = network.ends_of(self.key)
        data = network.encode(caller, route, flags, seq, ack, body)
        self.balancer = self._out.send(self.key, data)

    async def open(self) -> str:
        """Opens the flow; returns "open", "refused" or "silent"."""
        for number, at_s in enumerate(SYN_COPIES_S):
            await self._wait(self.began_at + at_s, "opening")
            if self.state != "opening":
                break
            self._send(packets.SYN, self._next_seq, number)
            self.balancers.add(self.balancer)
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
        body = request_id.encode()
        seq = self._next_seq
        self._next_seq = (seq + len(body)) % MODULUS
        self.waits_since = self._now()
        deadline = self.waits_since + budget_s
        try:
            return await self._exchange(request_id, body, seq, deadline)
        finally:
            self.waits_since = None

    async def _exchange(
        self, request_id: str, body: bytes, seq: int, deadline: float
    ) -> str:
        for pause_s in RETRANSMIT_S:
            if self._now() >= deadline or self.state != "open":
                break
            self._send(packets.ACK, seq, self._ack, body)
            until = min(deadline, self._now() + pause_s)
            await self._wait(until, "open", request_id)
            if request_id in self._answered:
                return "answered"
        return "reset" if self.state == "reset" else "no-answer"

    def close(self, flag: int) -> None:
        """Closes an open flow with FIN or RST."""
        if self.state == "open":
            self.state = "closed"
            self._send(flag | packets.ACK, self._next_seq, self._ack)

    def on_segment(self, seg: segments.Segment) -> str:
        """Applies a packet; returns "refused" or "reset" for a reset."""
        self._changed.set()
        if seg.reset:
            return self._on_reset(seg)
        if seg.opening and self.state == "opening":
            self.state = "open"
            self._next_seq = (self._next_seq + 1) % MODULUS
            self._ack = self.first_ack = (seg.seq + 1) % MODULUS
            self._send(packets.ACK, self._next_seq, self._ack)
        elif seg.length and self.state == "open" and seg.seq == self._ack:
            self._ack = (seg.seq + seg.length) % MODULUS
            self._answered.add(seg.data[packets.HEADER.size :].decode())
            self._send(packets.ACK, self._next_seq, self._ack)
        return ""

    def _on_reset(self, seg: segments.Segment) -> str:
        distance = (seg.seq - self._ack + MODULUS // 2) % MODULUS - MODULUS // 2
        before, valid = self.state, abs(distance) <= RESET_WINDOW
        if before == "opening" or (before == "open" and valid):
            self.state = "reset"
            return "refused" if before == "opening" else "reset"
        return ""


class Callers:
    """All callers, and their flows by key, also ended ones."""

    def __init__(
        self, out: router.Router, checker: rules.Checker, rng: random.Random
    ) -> None:
        self.flows: dict[bytes, Flow] = {}
        # Present flow of each long caller, by its number.
        self.long_flows: dict[int, Flow] = {}
        self._out = out
        self._checker = checker
        self._rng = rng
        self._numbers = itertools.count()
        # Time of the end, id and outcome of each request that has ended.
        self._requests: list[tuple[float, str, str]] = []
        self._began_at: dict[str, float] = {}
        self._now = asyncio.get_running_loop().time
        self._tasks: set[asyncio.Task] = set()
        out.on_packet = self._on_packet

    def start(self) -> None:
        """Starts all callers."""
        process.start_task(self._tasks, self._run_short())
        for number in range(LONG_FLOWS):
            process.start_task(self._tasks, self._run_long(number))

    def stop(self) -> None:
        """Ends all callers."""
        for task in list(self._tasks):
            task.cancel()

    def failures(self, seconds: float) -> list[str]:
        """Returns the requests that failed or waited in the last seconds."""
        since = self._now() - seconds
        recent = [x for x in self._requests[-MAX_RECENT:] if x[0] > since]
        found = [f"{x}:{why}" for _, x, why in recent if why != "answered"]
        found += [
            f"{x}:waits" for x, at in self._began_at.items() if at < since
        ]
        if len(recent) < seconds * SHORT_FLOWS_PER_S / 2:
            found.append(f"requests:{len(recent)}")
        return found

    def _on_packet(self, data: bytes) -> None:
        seg = packets.decode_from_upstream(data)
        what = self.flows[seg.key].on_segment(seg)
        if what == "refused":
            self._checker.on_refusal(seg.key)
        elif what == "reset":
            self._checker.on_reset(seg.key)

    def _new_flow(self, address: network.Address) -> Flow:
        number = next(self._numbers)
        ips = self._out.caller_ips
        port = FIRST_PORT + number // len(ips) % PORTS
        caller = (ips[number % len(ips)], port)
        key = routes.encode_flow_key(caller, address)
        flow = Flow(key, self._out, self._rng.getrandbits(32))
        self.flows[key] = flow
        return flow

    def _pick_route(self) -> tuple[rules.Route, str]:
        """Returns a route, and the first part of the ids of its requests."""
        route = self._rng.choice(self._checker.routes)
        return route, "" if route.repeatable else rules.ONCE

    async def _run_short(self) -> None:
        for number in itertools.count():
            route, prefix = self._pick_route()
            work = self._make_request(f"{prefix}s{number}", route)
            process.start_task(self._tasks, work)
            interval_s = self._rng.uniform(0.5, 1.5) / SHORT_FLOWS_PER_S
            await asyncio.sleep(interval_s)

    async def _make_request(self, request_id: str, route: rules.Route) -> None:
        self._began_at[request_id] = self._now()
        deadline = self._now() + BUDGET_S
        outcome = ""
        for _ in range(MAX_ATTEMPTS):
            if self._now() >= deadline:
                break
            flow = self._new_flow(route.address)
            outcome = await flow.open()
            if outcome != "open":
                continue
            outcome = await flow.request(request_id, deadline - self._now())
            answered = outcome == "answered"
            flow.close(packets.FIN if answered else packets.RST)
            if answered or not route.repeatable:
                break
        self._end(request_id, outcome)

    async def _run_long(self, number: int) -> None:
        seldom = number % SELDOM_SHARE == 0
        mean_pause_s = SELDOM_PAUSE_S if seldom else LONG_PAUSE_S
        for attempt in itertools.count():
            route, prefix = self._pick_route()
            flow = self._new_flow(route.address)
            self.long_flows[number] = flow
            outcome = await flow.open()
            for request in itertools.count():
                if outcome not in ("open", "answered"):
                    break
                request_id = f"{prefix}l{number}.{attempt}.{request}"
                self._began_at[request_id] = self._now()
                outcome = await flow.request(request_id, LONG_BUDGET_S)
                self._end(request_id, outcome)
                pause_s = self._rng.uniform(0.1, 1.9) * mean_pause_s
                await asyncio.sleep(pause_s)
            flow.close(packets.RST)
            await asyncio.sleep(LONG_RETRY_S)

    def _end(self, request_id: str, outcome: str) -> None:
        del self._began_at[request_id]
        self._requests.append((self._now(), request_id, outcome))
        self._checker.note("request", id=request_id, outcome=outcome)
