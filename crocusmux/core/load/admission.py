"""Admission control of one upstream, run by the agent on its host.

Decides which requests start, wait in a queue or are refused.  The choice among
upstreams is made by core/load/placement.
"""

import math
import random

import msgspec

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.load import capacity
from crocusmux.core.load import longflows
from crocusmux.core.load import queues
from crocusmux.core.load import verdicts

# Re-exported for users of this module.
Request = queues.Request
Verdict = verdicts.Verdict
DroppedRequest = verdicts.DroppedRequest
RUN = verdicts.RUN
WAIT = verdicts.WAIT
REFUSE = verdicts.REFUSE

MIN_RETRY_MS = 20
MAX_RETRY_MS = 5000
# Weight of one sample in the moving averages of the service time.
SERVICE_WEIGHT = 0.1
MAX_URGENCY = 7
_EPSILON = 1e-6


class _Running:
    """A request that holds a slot."""

    __slots__ = ("caller", "charged_s", "class_name", "started_at")

    def __init__(
        self, name: str, caller: str, start: float, charged: float
    ) -> None:
        self.class_name = name
        self.caller = caller
        self.started_at = start
        self.charged_s = charged


class _ClassState:
    """State of one work class."""

    __slots__ = ("mean_s", "meter", "queue", "work")

    def __init__(self, now: float, work: objects.WorkClass) -> None:
        self.work = work
        self.queue = queues.ClassQueue(work)
        self.meter = capacity.BusyMeter(now, capacity.SHARE_AVERAGE_S)
        # Moving average of the service time, seconds; 0 until the first result.
        self.mean_s = 0.0


class Admission:
    """Running and queued requests of one upstream.

    Attributes:
        upstream: Name of the upstream.
        draining: True if new work is refused.
        adaptive: False to keep the concurrency limit at the declared slots.
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
        self._classes: dict[str, _ClassState] = {}
        self._running: dict[bytes, _Running] = {}
        self._long_flows = longflows.LongFlows(connections)
        self._limit = capacity.ConcurrencyLimit(slots)
        self._warm_up: capacity.WarmUp | None = None
        self._busy = capacity.BusyMeter(0.0)
        self._recent_busy = capacity.BusyMeter(0.0, capacity.SHARE_AVERAGE_S)
        self._mean_s = 0.0
        self._dropped: list[DroppedRequest] = []

    def configure(
        self, now: float, classes: tuple[objects.WorkClass, ...]
    ) -> None:
        """Applies the work classes of a preset.

        Running and queued requests are kept.  Queued requests of a class that
        the preset no longer has are refused at the next ``on_timer``.
        """
        old_classes = self._classes
        self._classes = {}
        for work in sorted(classes, key=lambda w: w.urgency):
            state = old_classes.pop(work.name, None) or _ClassState(now, work)
            state.work = state.queue.work = work
            self._classes[work.name] = state
        for state in old_classes.values():
            while state.queue:
                flow = state.queue.pop(now, 1.0).flow
                self._dropped.append(DroppedRequest(flow, "unknown-class"))

    def warm_up(self, now: float, length: float = capacity.WARM_UP_S) -> None:
        """Begins the slow start of an upstream that has just joined."""
        self._warm_up = capacity.WarmUp(now, self._slots, length)

    def offer(self, now: float, request: Request) -> Verdict:
        """Decides whether a new request runs now, is queued or is refused.

        Args:
            now: Time in seconds.
            request: The request; each flow is offered once.
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
        wait = self._expected_wait(now, state, request.caller)
        if 0 < request.deadline < now + wait:
            excess = now + wait - request.deadline
            return Verdict(REFUSE, "deadline", _retry_ms(excess))
        if len(state.queue) >= state.work.queue_limit:
            victim = state.queue.displace(now, request.caller)
            if victim is None:
                return Verdict(REFUSE, "queue-full", _retry_ms(wait))
            self._dropped.append(
                DroppedRequest(victim.flow, "displaced", _retry_ms(wait))
            )
        state.queue.push(request)
        return Verdict(WAIT, "queued")

    def finish(self, now: float, flow: bytes, ok: bool = True) -> list[bytes]:
        """Ends a flow and returns the queued flows that start now.

        Args:
            now: Time in seconds.
            flow: Flow id.
            ok: False if the upstream failed or shed the request.
        """
        self._long_flows.release(flow)
        run = self._release(now, flow)
        if run is not None:
            self._add_service_time(now, run, ok)
        return self.start_waiting(now)

    def cancel(self, now: float, flow: bytes) -> list[bytes]:
        """Drops a queued or running flow; returns the flows that start now."""
        self._long_flows.release(flow)
        for state in self._classes.values():
            state.queue.remove(flow)
        self._release(now, flow)
        return self.start_waiting(now)

    def on_timer(self, now: float) -> list[DroppedRequest]:
        """Returns queued requests to refuse: past their deadline or displaced.

        ``start_waiting``, called at the same times, returns flows to start.
        """
        dropped, self._dropped = self._dropped, []
        for state in self._classes.values():
            dropped += [
                DroppedRequest(r.flow, "deadline", MIN_RETRY_MS)
                for r in state.queue.pop_expired(now)
            ]
        return dropped

    def start_waiting(self, now: float) -> list[bytes]:
        """Starts queued flows that have a free slot; returns their ids."""
        self._busy.advance(now)
        started = []
        while state := self._next_class(now):
            service = state.mean_s or self._mean_s
            request = state.queue.pop(now, service)
            self._begin(now, state, request)
            started.append(request.flow)
        return started

    def next_timer(self) -> float | None:
        """Returns when ``on_timer`` and ``start_waiting`` are due, or None."""
        if self._dropped:
            return 0.0
        next_due = math.inf
        waiting = [s for s in self._classes.values() if s.queue]
        for state in waiting:
            next_due = min(next_due, state.queue.next_deadline())
        if waiting and len(self._running) < self._current_limit(self._busy.at):
            next_due = min(next_due, self._free_slot_at(waiting))
        return None if math.isinf(next_due) else next_due

    def load(self, now: float | None = None) -> messages.Load:
        """Returns the load report that other hosts use for placement.

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
            limit=self._current_limit(at),
            service_ms=self._mean_s * 1000,
            connections=len(self._long_flows) + len(self._running),
            connection_limit=self._connections,
            ready=not self.draining,
            busy_share=self._busy.advance(at) / self._slots,
            queued_by_urgency=self._queued_by_urgency() if total else (),
        )

    def _queued_by_urgency(self) -> tuple[int, ...]:
        """Returns the queued requests by urgency, without trailing zeros."""
        queued = [0] * (MAX_URGENCY + 1)
        for state in self._classes.values():
            queued[min(state.work.urgency, MAX_URGENCY)] += len(state.queue)
        while queued and not queued[-1]:
            queued.pop()
        return tuple(queued)

    def _offer_long(self, request: Request) -> Verdict:
        reason = self._long_flows.acquire(
            request.flow, request.caller, len(self._running)
        )
        if reason:
            return Verdict(REFUSE, reason, MAX_RETRY_MS)
        return Verdict(RUN, "long-flow")

    def _begin(self, now: float, state: _ClassState, request: Request) -> None:
        expected = state.mean_s or self._mean_s
        expected = expected or capacity.DEFAULT_SERVICE_S
        self._busy.add(now, 1)
        self._recent_busy.add(now, 1)
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
        self._recent_busy.add(now, -1)
        used = now - run.started_at
        if self._warm_up is not None:
            self._warm_up.charge(now, used - run.charged_s)
        state = self._classes.get(run.class_name)
        if state is not None:
            state.meter.add(now, -1)
            state.queue.usage.charge(now, run.caller, used - run.charged_s)
        return run

    def _add_service_time(self, now: float, run: _Running, ok: bool) -> None:
        took = now - run.started_at
        state = self._classes.get(run.class_name)
        if state is None:
            return
        mean = state.mean_s or took
        if self.adaptive:
            self._limit.record(now, mean, ok)
        if not ok:
            return
        state.mean_s = mean + SERVICE_WEIGHT * (took - mean)
        overall = self._mean_s or took
        self._mean_s = overall + SERVICE_WEIGHT * (took - overall)

    def _current_limit(self, now: float) -> int:
        """Returns the current limit of concurrent requests."""
        if self._warm_up is None:
            return self._limit.value
        if self._warm_up.share(now) >= 1.0:
            self._warm_up = None
            return self._limit.value
        return min(self._limit.value, self._warm_up.limit(now))

    def _may_start(self, now: float, state: _ClassState) -> bool:
        limit = self._current_limit(now)
        if len(self._running) >= limit:
            return False
        if self._warm_up_at(now) > now:
            return False
        return self._below_min_share(now, state) or (
            self._unreserved_at(now, state, limit) <= now
        )

    def _below_min_share(self, now: float, state: _ClassState) -> bool:
        """Returns True if the class uses less than its minimum share.

        Running requests count in full: after a pause the average is low, and
        the class would take slots that are reserved for other classes.
        """
        min_slots = state.work.min_share * self._slots
        if state.meter.count >= min_slots:
            return False
        return state.meter.advance(now) < min_slots

    def _unreserved_at(
        self, now: float, state: _ClassState, limit: int
    ) -> float:
        """Returns when the class may use a slot that no other class reserves.

        The whole slots of a reserve stay free at all times.  The fraction of
        a slot, such as the half slot of a quarter of 2, is free on average.
        """
        occupied = len(self._running)
        start_at = now
        for other in self._classes.values():
            reserve = other.work.reserve_share * limit
            if other is state or reserve <= 0:
                continue
            whole = math.floor(reserve + _EPSILON)
            occupied += max(0, whole - other.meter.count)
            if reserve - whole > _EPSILON:
                start_at = max(
                    start_at, self._average_below(now, other, limit - reserve)
                )
        return start_at if occupied < limit else math.inf

    def _average_below(
        self, now: float, other: _ClassState, bound: float
    ) -> float:
        """Returns when the classes except ``other`` average below ``bound``."""
        average = self._recent_busy.advance(now) - other.meter.advance(now)
        count = self._busy.count - other.meter.count
        return capacity.crossing_time(
            now, average, count, bound, capacity.SHARE_AVERAGE_S
        )

    def _next_class(self, now: float) -> _ClassState | None:
        """Returns the class whose next request starts now, or None."""
        waiting = [s for s in self._classes.values() if s.queue]
        if not waiting or len(self._running) >= self._current_limit(now):
            return None
        ready = [s for s in waiting if self._may_start(now, s)]
        if not ready:
            return None
        return min(
            ready,
            key=lambda s: (
                not self._below_min_share(now, s),
                s.work.urgency,
                s.meter.average,
            ),
        )

    def _free_slot_at(self, waiting: list[_ClassState]) -> float:
        """Returns when one of the waiting classes may use a free slot."""
        now = self._busy.at
        limit = self._current_limit(now)
        start_at = min(self._unreserved_at(now, s, limit) for s in waiting)
        for state in waiting:
            bound = state.work.min_share * self._slots
            if state.meter.count < bound:
                start_at = min(start_at, state.meter.time_below(now, bound))
        return max(start_at, self._warm_up_at(now))

    def _warm_up_at(self, now: float) -> float:
        """Returns when the slow start allows the next request."""
        if self._warm_up is None:
            return now
        overdue = sum(
            max(0.0, now - run.started_at - run.charged_s)
            for run in self._running.values()
        )
        return self._warm_up.ready_at(now, overdue)

    def _expected_wait(
        self, now: float, state: _ClassState, caller: str
    ) -> float:
        """Returns the expected queueing time of a new request, seconds."""
        ahead = 0.0
        for other in self._classes.values():
            service = other.mean_s or self._mean_s
            if other is state:
                ahead += (other.queue.count_ahead(now, caller) + 1) * service
            elif other.work.urgency <= state.work.urgency:
                ahead += len(other.queue) * service
        share = 1.0
        if self._warm_up is not None:
            share = self._warm_up.share(now)
        return ahead / (self._limit.value * share)


def _retry_ms(wait: float) -> int:
    """Returns the suggested retry delay for an expected wait in seconds."""
    return max(MIN_RETRY_MS, min(int(wait * 1000), MAX_RETRY_MS))
