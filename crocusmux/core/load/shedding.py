"""Load shedding at the balancer, driven by the refusals of holders.

Requests that the holders would refuse waste packets and add latency to all
work.  Each balancer therefore limits the rate of a work class to slightly more
than the rate that was accepted recently.
"""

from collections import OrderedDict
import math
import random

# Ratio of the rate sent to the rate accepted.  The excess requests are probes
# that detect when the holders accept more again.
PROBE_FACTOR = 1.1
# More urgent classes probe more, so that the least urgent class sheds first.
URGENT_PROBE_FACTOR = 1.3
RATE_AVERAGE_S = 1.0
# Interval between adjustments of a limit, seconds.
STEP_S = 0.1
# Growth of a limit per step while nothing is refused: tenfold within 1.3 s.
GROWTH_PER_STEP = 1.2
# With fewer results the share of refusals means little, so a class with little
# traffic is never shed.
MIN_RESULTS = 8.0
# Share of refusals above which shedding starts.
START_SHARE = 0.1
MAX_CALLERS = 512


class _Rate:
    """Exponential moving average of events per second."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._at = -math.inf
        self._value = 0.0

    def add(self, now: float) -> None:
        """Records one event."""
        self._value = self.value(now) + 1.0 / RATE_AVERAGE_S
        self._at = now

    def value(self, now: float) -> float:
        """Returns the rate, 1/s."""
        return self._value * math.exp((self._at - now) / RATE_AVERAGE_S)


class _ClassLimit:
    """Result rates and rate limit of one work class of one service."""

    __slots__ = (
        "accepted",
        "caller_limit",
        "callers",
        "offered",
        "rate_limit",
        "refused",
        "refused_in_step",
        "retry_until",
        "step_at",
        "urgency",
    )

    def __init__(self, urgency: int) -> None:
        self.urgency = urgency
        self.accepted = _Rate()
        self.refused = _Rate()
        self.offered = _Rate()
        # Requests per second to send on; infinity while nothing is shed.
        self.rate_limit = math.inf
        # Requests per second to send on for each caller.
        self.caller_limit = math.inf
        self.callers: OrderedDict[str, _Rate] = OrderedDict()
        self.refused_in_step = 0
        self.retry_until = -math.inf
        self.step_at = -math.inf


class Shedder:
    """Rate limits of one balancer, by service and work class."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._limits: dict[tuple[int, str], _ClassLimit] = {}

    def on_result(
        self,
        now: float,
        service: int,
        work_class: str,
        urgency: int,
        refused: bool,
        retry_ms: int = 0,
    ) -> None:
        """Records the outcome of a request that was sent on.

        Args:
            now: Time in seconds.
            service: Key of the service.
            work_class: Name of the work class.
            urgency: Urgency of the work class; 0 is the most urgent.
            refused: True if the request was refused for lack of capacity.
            retry_ms: Retry delay suggested by the refusal; 0 for none.
        """
        state = self._class_limit(service, work_class, urgency)
        if refused:
            state.refused.add(now)
            state.refused_in_step += 1
            until = now + retry_ms / 1000
            state.retry_until = max(state.retry_until, until)
        else:
            state.accepted.add(now)

    def admit(
        self,
        now: float,
        service: int,
        work_class: str,
        urgency: int,
        caller: str = "",
    ) -> bool:
        """Decides whether a new request is sent on.

        Args:
            now: Time in seconds.
            service: Key of the service.
            work_class: Name of the work class.
            urgency: Urgency of the work class; 0 is the most urgent.
            caller: IP number of the caller; callers share the limit fairly.

        Returns:
            False if the request is to be shed.
        """
        state = self._class_limit(service, work_class, urgency)
        state.offered.add(now)
        rate = state.callers.get(caller)
        if rate is None:
            rate = state.callers[caller] = _Rate()
            if len(state.callers) > MAX_CALLERS:
                state.callers.popitem(last=False)
        rate.add(now)
        state.callers.move_to_end(caller)
        if now - state.step_at >= STEP_S:
            self._step(now, service, state)
        if math.isinf(state.rate_limit):
            return True
        offered = rate.value(now)
        return (
            offered <= state.caller_limit
            or self._rng.random() < state.caller_limit / offered
        )

    def _class_limit(
        self, service: int, work_class: str, urgency: int
    ) -> _ClassLimit:
        state = self._limits.get((service, work_class))
        if state is None:
            state = self._limits[service, work_class] = _ClassLimit(urgency)
        state.urgency = urgency
        return state

    def _step(self, now: float, service: int, state: _ClassLimit) -> None:
        """Adjusts the limit of a work class to its recent results."""
        state.step_at = now
        accepted = state.accepted.value(now)
        refused = state.refused.value(now)
        new_refusals, state.refused_in_step = (
            state.refused_in_step,
            0,
        )
        probe = PROBE_FACTOR
        if self._less_urgent_refused(now, service, state):
            probe = URGENT_PROBE_FACTOR
        if math.isinf(state.rate_limit):
            results = (accepted + refused) * RATE_AVERAGE_S
            if (
                new_refusals
                and results >= MIN_RESULTS
                and (refused > START_SHARE * (accepted + refused))
            ):
                state.rate_limit = max(probe * accepted, 1.0)
        elif new_refusals:
            state.rate_limit = max(probe * accepted, 1.0)
        elif now >= state.retry_until:
            state.rate_limit *= GROWTH_PER_STEP
            if state.rate_limit > 1.5 * state.offered.value(now):
                state.rate_limit = math.inf
        state.caller_limit = _fair_rate(now, state)

    def _less_urgent_refused(
        self, now: float, service: int, state: _ClassLimit
    ) -> bool:
        return any(
            key[0] == service
            and other.urgency > state.urgency
            and other.refused.value(now) * RATE_AVERAGE_S >= 1.0
            for key, other in self._limits.items()
        )


def _fair_rate(now: float, state: _ClassLimit) -> float:
    """Returns the limit per caller by max-min fairness, requests per second."""
    if math.isinf(state.rate_limit):
        return math.inf
    rates = sorted(r.value(now) for r in state.callers.values())
    remaining = state.rate_limit
    for allotted, rate in enumerate(rates):
        share = remaining / (len(rates) - allotted)
        if rate > share:
            return share
        remaining -= rate
    return math.inf
