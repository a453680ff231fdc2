"""Admission of work to one upstream by its agent."""

import math
import random

import msgspec

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.load import capacity
from crocusmux.core.load import long_flows
from crocusmux.core.load import queues
from crocusmux.core.load import verdicts

# Part of this module's interface.
Request = queues.Request
Verdict = verdicts.Verdict
DroppedRequest = verdicts.DroppedRequest
RUN = verdicts.RUN
WAIT = verdicts.WAIT
REFUSE = verdicts.REFUSE

MIN_RETRY_MS = 20
MAX_RETRY_MS = 5000
SERVICE_WEIGHT = 0.1
MAX_URGENCY = 7
_EPSILON = 1e-6


class _Running:
    """A request that holds a slot."""

    __slots__ = ("caller", "charged", "name", "start")

    def __init__(
        self, name: str, caller: str, start: float, charged: float
    ) -> None:
        self.name = name
        self.caller = caller
        self.start = start
        self.charged = charged


class _Class:
    """State of one work class."""

    __slots__ = ("meter", "queue", "service_s", "work")

    def __init__(self, now: float, work: objects.WorkClass) -> None:
        self.work = work
        self.queue = queues.ClassQueue(work)
        self.meter = capacity.BusyMeter(now, capacity.SHARE_AVERAGE_S)
        # Moving average of the service time; 0 until the first answer.
        self.service_s = 0.0


class Admission:
    """Requests in flight and waiting at one upstream.

    Attributes:
        upstream: Name of the upstream.
        draining: True if new work is refused.
        adaptive: False to use the declared slots whatever is measured.
    """

    def __init__(
        self,
        upstream: str,
        slots: int,
        connections: int,
        rng: random.Random,
    ) -> None:
        self.upstream = upstream
        self.draining = False
        self.adaptive = True
        self._slots = slots
        self._connections = connections
        self._rng = rng
        self._classes: dict[str, _Class] = {}
        self._running: dict[bytes, _Running] = {}
        self._long = long_flows.LongFlows(connections)
        self._limit = capacity.ConcurrencyLimit(slots)
        self._warm_up: capacity.WarmUp | None = None
        self._busy = capacity.BusyMeter(0.0)
        self._lately = capacity.BusyMeter(0.0, capacity.SHARE_AVERAGE_S)
        self._service_s = 0.0
        self._displaced: list[DroppedRequest] = []

    def configure(
        self, now: float, classes: tuple[objects.WorkClass, ...]
    ) -> None:
        """Puts the work classes of a preset in force.

        Running and waiting requests stay.  Waiting requests of a class that
        the preset no longer has are refused at the next ``on_timer``.
        """
        before = self._classes
        self._classes = {}
        for work in sorted(classes, key=lambda w: w.urgency):
            state = before.pop(work.name, None) or _Class(now, work)
            state.work = state.queue.work = work
            self._classes[work.name] = state
        for state in before.values():
            while state.queue:
                flow = state.queue.pop(now, 1.0).flow
                self._displaced.append(DroppedRequest(flow, "unknown-class"))

    def warm_up(self, now: float, length: float = capacity.WARM_UP_S) -> None:
        """Starts the slow start of an upstream that joins cold."""
        self._warm_up = capacity.WarmUp(now, self._slots, length)

    def offer(self, now: float, request: Request) -> Verdict:
        """Decides on a new request.

        Args:
            now: Time in seconds.
            request: The request; each flow is offered once.

        Returns:
            Run now, wait, or refuse.
        """
        state = self._classes.get(request.work_class)
        if state is None:
            return Verdict(REFUSE, "unknown-class")
        if self.draining:
            return Verdict(REFUSE, "draining")
        if state.work.kind == "long":
            return self._offer_long(request)
        if not state.queue and self._may_start(now, state):
            self._begin(now, state, request)
            return Verdict(RUN, "free-slot")
        if request.deadline <= 0 and state.work.deadline_ms:
            deadline = now + state.work.deadline_ms / 1000
            request = msgspec.structs.replace(request, deadline=deadline)
        wait = self._wait(now, state, request.caller)
        if 0 < request.deadline < now + wait:
            excess = now + wait - request.deadline
            return Verdict(REFUSE, "deadline", _retry_ms(excess))
        if len(state.queue) >= state.work.queue_limit:
            victim = state.queue.displace(now, request.caller)
            if victim is None:
                return Verdict(REFUSE, "queue-full", _retry_ms(wait))
            self._displaced.append(
                DroppedRequest(victim.flow, "displaced", _retry_ms(wait))
            )
        state.queue.push(request)
        return Verdict(WAIT, "queued")

    def finish(self, now: float, flow: bytes, ok: bool = True) -> list[bytes]:
        """Ends a flow and returns the waiting flows that start now.

        Args:
            now: Time in seconds.
            flow: Flow id.
            ok: False if the upstream failed or shed the work.
        """
        self._long.drop(flow)
        run = self._release(now, flow)
        if run is not None:
            self._measure(now, run, ok)
        return self.start_waiting(now)

    def cancel(self, now: float, flow: bytes) -> list[bytes]:
        """Drops a waiting or running flow; returns flows that start now."""
        self._long.drop(flow)
        for state in self._classes.values():
            state.queue.remove(flow)
        self._release(now, flow)
        return self.start_waiting(now)

    def on_timer(self, now: float) -> list[DroppedRequest]:
        """Refuses waiting requests that passed their deadline or their place.

        Flows that may start by now are returned by ``poll``, which is due at
        the same times.
        """
        expired, self._displaced = self._displaced, []
        for state in self._classes.values():
            expired += [
                DroppedRequest(r.flow, "deadline", MIN_RETRY_MS)
                for r in state.queue.late(now)
            ]
        return expired

    def start_waiting(self, now: float) -> list[bytes]:
        """Starts waiting flows for which there is room by now."""
        self._busy.advance(now)
        started = []
        while state := self._next(now):
            service = state.service_s or self._service_s
            request = state.queue.pop(now, service)
            self._begin(now, state, request)
            started.append(request.flow)
        return started

    def next_timer(self) -> float | None:
        """Returns when ``on_timer`` and ``poll`` are due, or None."""
        if self._displaced:
            return 0.0
        due = math.inf
        waiting = [s for s in self._classes.values() if s.queue]
        for state in waiting:
            due = min(due, state.queue.next_deadline())
        if waiting and len(self._running) < self._room(self._busy.at):
            due = min(due, self._room_at(waiting))
        return None if math.isinf(due) else due

    def load(self, now: float | None = None) -> messages.Load:
        """Returns the load for the placement by peers.

        Args:
            now: Time in seconds; None for the time of the last event.
        """
        at = self._busy.at if now is None else now
        total = 0
        for state in self._classes.values():
            total += len(state.queue)
        return messages.Load(
            upstream=self.upstream,
            in_flight=len(self._running),
            queued=total,
            limit=self._room(at),
            service_ms=self._service_s * 1000,
            connections=len(self._long) + len(self._running),
            connection_limit=self._connections,
            ready=not self.draining,
            busy_share=self._busy.advance(at) / self._slots,
            queued_by_urgency=self._by_urgency() if total else (),
        )

    def _by_urgency(self) -> tuple[int, ...]:
        """Returns the waiting requests of each urgency, up to the last."""
        queued = [0] * (MAX_URGENCY + 1)
        for state in self._classes.values():
            queued[min(state.work.urgency, MAX_URGENCY)] += len(state.queue)
        while queued and not queued[-1]:
            queued.pop()
        return tuple(queued)

    def _offer_long(self, request: Request) -> Verdict:
        reason = self._long.take(
            request.flow, request.caller, len(self._running)
        )
        if reason:
            return Verdict(REFUSE, reason, MAX_RETRY_MS)
        return Verdict(RUN, "long-flow")

    def _begin(self, now: float, state: _Class, request: Request) -> None:
        expected = state.service_s or self._service_s
        expected = expected or capacity.DEFAULT_SERVICE_S
        self._busy.add(now, 1)
        self._lately.add(now, 1)
        state.meter.add(now, 1)
        state.queue.usage.charge(now, request.caller, expected)
        if self._warm_up is not None:
            self._warm_up.charge(now, expected)
        self._running[request.flow] = _Running(
            state.work.name, request.caller, now, expected
        )

    def _release(self, now: float, flow: bytes) -> _Running | None:
        run = self._running.pop(flow, None)
        if run is None:
            return None
        self._busy.add(now, -1)
        self._lately.add(now, -1)
        used = now - run.start
        if self._warm_up is not None:
            self._warm_up.charge(now, used - run.charged)
        state = self._classes.get(run.name)
        if state is not None:
            state.meter.add(now, -1)
            state.queue.usage.charge(now, run.caller, used - run.charged)
        return run

    def _measure(self, now: float, run: _Running, ok: bool) -> None:
        took = now - run.start
        state = self._classes.get(run.name)
        if state is None:
            return
        mean = state.service_s or took
        if self.adaptive:
            self._limit.record(now, mean, ok)
        if not ok:
            return
        state.service_s = mean + SERVICE_WEIGHT * (took - mean)
        overall = self._service_s or took
        self._service_s = overall + SERVICE_WEIGHT * (took - overall)

    def _room(self, now: float) -> int:
        """Requests at once that are allowed now."""
        if self._warm_up is None:
            return self._limit.value
        if self._warm_up.share(now) >= 1.0:
            self._warm_up = None
            return self._limit.value
        return min(self._limit.value, self._warm_up.limit(now))

    def _may_start(self, now: float, state: _Class) -> bool:
        room = self._room(now)
        if len(self._running) >= room:
            return False
        if self._warm_at(now) > now:
            return False
        return self._starving(now, state) or (
            self._unreserved_at(now, state, room) <= now
        )

    def _starving(self, now: float, state: _Class) -> bool:
        """True if the class has less than the minimum share it is due.

        Requests that run now count in full: after a pause the average is
        low, and the class would take slots that are reserved.
        """
        due = state.work.min_share * self._slots
        if state.meter.count >= due:
            return False
        return state.meter.advance(now) < due

    def _unreserved_at(self, now: float, state: _Class, room: int) -> float:
        """Returns when the class may use a free slot beside the reserves.

        The whole slots of a reserve stay free at any time.  The rest of it,
        such as a quarter of 2 slots, is kept free on average.
        """
        used = len(self._running)
        due = now
        for other in self._classes.values():
            reserve = other.work.reserve_share * room
            if other is state or reserve <= 0:
                continue
            whole = math.floor(reserve + _EPSILON)
            used += max(0, whole - other.meter.count)
            if reserve - whole > _EPSILON:
                due = max(due, self._average_below(now, other, room - reserve))
        return due if used < room else math.inf

    def _average_below(self, now: float, other: _Class, bound: float) -> float:
        """Returns when all classes but ``other`` use less than ``bound``."""
        average = self._lately.advance(now) - other.meter.advance(now)
        count = self._busy.count - other.meter.count
        return capacity.falls_below(
            now, average, count, bound, capacity.SHARE_AVERAGE_S
        )

    def _next(self, now: float) -> _Class | None:
        """Returns the class that starts a request now, or None."""
        waiting = [s for s in self._classes.values() if s.queue]
        if not waiting or len(self._running) >= self._room(now):
            return None
        ready = [s for s in waiting if self._may_start(now, s)]
        if not ready:
            return None
        return min(
            ready,
            key=lambda s: (
                not self._starving(now, s),
                s.work.urgency,
                s.meter.average,
            ),
        )

    def _room_at(self, waiting: list[_Class]) -> float:
        """Returns when a waiting class may use a slot that is free now."""
        now = self._busy.at
        room = self._room(now)
        due = min(self._unreserved_at(now, s, room) for s in waiting)
        for state in waiting:
            bound = state.work.min_share * self._slots
            if state.meter.count < bound:
                due = min(due, state.meter.time_below(now, bound))
        return max(due, self._warm_at(now))

    def _warm_at(self, now: float) -> float:
        """Returns when the warm-up allows the next start."""
        if self._warm_up is None:
            return now
        overdue = sum(
            max(0.0, now - run.start - run.charged)
            for run in self._running.values()
        )
        return self._warm_up.ready_at(now, overdue)

    def _wait(self, now: float, state: _Class, caller: str) -> float:
        """Estimates how long a new request of a class would wait, seconds."""
        ahead = 0.0
        for other in self._classes.values():
            service = other.service_s or self._service_s
            if other is state:
                ahead += (other.queue.ahead(now, caller) + 1) * service
            elif other.work.urgency <= state.work.urgency:
                ahead += len(other.queue) * service
        share = 1.0
        if self._warm_up is not None:
            share = self._warm_up.share(now)
        return ahead / (self._limit.value * share)


def _retry_ms(wait: float) -> int:
    """Returns the advice for a retry after an expected wait in seconds."""
    return max(MIN_RETRY_MS, min(int(wait * 1000), MAX_RETRY_MS))
