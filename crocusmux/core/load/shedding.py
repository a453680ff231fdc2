"""Shedding of work at the edge, as learnt from refusals.

A balancer that goes on sending what the holders refuse wastes packets and
adds latency to all work.  Each balancer therefore limits the rate of a work
class to a little more than the rate that was accepted lately.
"""

from collections import OrderedDict
import math
import random

# What is sent, over what was accepted.  The excess is the probe share: it
# finds out when the holders accept more again.
PROBE_FACTOR = 1.1
# More urgent classes probe more, so the least urgent class sheds first.
URGENT_PROBE_FACTOR = 1.3
RATE_AVERAGE_S = 1.0
# The rate is corrected at this interval.
STEP_S = 0.1
# Growth per step while nothing is refused: 10 times within 1.3 s.
GROWTH = 1.2
# Results below this weight say too little: a trickle is never shed.
MIN_RESULTS = 8.0
# Share of refusals from which shedding starts.
START_SHARE = 0.1
MAX_CALLERS = 512


class _Rate:
    """Events per second, as a moving average."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._at = -math.inf
        self._value = 0.0

    def add(self, now: float) -> None:
        """Counts one event."""
        self._value = self.value(now) + 1.0 / RATE_AVERAGE_S
        self._at = now

    def value(self, now: float) -> float:
        """Returns the rate, 1/s."""
        return self._value * math.exp((self._at - now) / RATE_AVERAGE_S)


class _Gate:
    """Results and limit of one work class of one service."""

    __slots__ = (
        "accepted",
        "callers",
        "fair",
        "limit",
        "offered",
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
        # Requests per second that pass; infinity while nothing is shed.
        self.limit = math.inf
        # Requests per second that one caller may send.
        self.fair = math.inf
        self.callers: OrderedDict[str, _Rate] = OrderedDict()
        self.refused_in_step = 0
        self.retry_until = -math.inf
        self.step_at = -math.inf


class Shedder:
    """What one balancer sheds, by service and work class."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._gates: dict[tuple[int, str], _Gate] = {}

    def on_result(
        self,
        now: float,
        service: int,
        work_class: str,
        urgency: int,
        refused: bool,
        retry_ms: int = 0,
    ) -> None:
        """Takes the outcome of a request that was sent on.

        Args:
            now: Time in seconds.
            service: Key of the service.
            work_class: Name of the work class.
            urgency: Its urgency.
            refused: True if it was refused for lack of capacity.
            retry_ms: Advice that came with the refusal; 0 for none.
        """
        gate = self._gate(service, work_class, urgency)
        if refused:
            gate.refused.add(now)
            gate.refused_in_step += 1
            until = now + retry_ms / 1000
            gate.retry_until = max(gate.retry_until, until)
        else:
            gate.accepted.add(now)

    def admit(
        self,
        now: float,
        service: int,
        work_class: str,
        urgency: int,
        caller: str = "",
    ) -> bool:
        """Decides if a new request is sent on.

        Args:
            now: Time in seconds.
            service: Key of the service.
            work_class: Name of the work class.
            urgency: Its urgency.
            caller: IP number of the caller; callers share the limit fairly.

        Returns:
            False if the request is to be refused at once.
        """
        gate = self._gate(service, work_class, urgency)
        gate.offered.add(now)
        rate = gate.callers.get(caller)
        if rate is None:
            rate = gate.callers[caller] = _Rate()
            if len(gate.callers) > MAX_CALLERS:
                gate.callers.popitem(last=False)
        rate.add(now)
        gate.callers.move_to_end(caller)
        if now - gate.step_at >= STEP_S:
            self._step(now, service, gate)
        if math.isinf(gate.limit):
            return True
        mine = rate.value(now)
        return mine <= gate.fair or self._rng.random() < gate.fair / mine

    def _gate(self, service: int, work_class: str, urgency: int) -> _Gate:
        gate = self._gates.get((service, work_class))
        if gate is None:
            gate = self._gates[service, work_class] = _Gate(urgency)
        gate.urgency = urgency
        return gate

    def _step(self, now: float, service: int, gate: _Gate) -> None:
        """Corrects the limit of a class."""
        gate.step_at = now
        accepted = gate.accepted.value(now)
        refused = gate.refused.value(now)
        told, gate.refused_in_step = gate.refused_in_step, 0
        probe = PROBE_FACTOR
        if self._less_urgent_refused(now, service, gate):
            probe = URGENT_PROBE_FACTOR
        if math.isinf(gate.limit):
            results = (accepted + refused) * RATE_AVERAGE_S
            if (
                told
                and results >= MIN_RESULTS
                and (refused > START_SHARE * (accepted + refused))
            ):
                gate.limit = max(probe * accepted, 1.0)
        elif told:
            gate.limit = max(probe * accepted, 1.0)
        elif now >= gate.retry_until:
            gate.limit *= GROWTH
            if gate.limit > 1.5 * gate.offered.value(now):
                gate.limit = math.inf
        gate.fair = _fair_rate(now, gate)

    def _less_urgent_refused(
        self, now: float, service: int, gate: _Gate
    ) -> bool:
        return any(
            key[0] == service
            and other.urgency > gate.urgency
            and other.refused.value(now) * RATE_AVERAGE_S >= 1.0
            for key, other in self._gates.items()
        )


def _fair_rate(now: float, gate: _Gate) -> float:
    """Returns the rate per caller that fills the limit (max-min fairness)."""
    if math.isinf(gate.limit):
        return math.inf
    rates = sorted(r.value(now) for r in gate.callers.values())
    left = gate.limit
    for done, rate in enumerate(rates):
        share = left / (len(rates) - done)
        if rate > share:
            return share
        left -= rate
    return math.inf
