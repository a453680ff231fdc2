"""Series of faults of a run, drawn from its seed."""

import random

import msgspec

BALANCERS = 4
# Service and failure domain of each agent's host, by its number.
AGENTS = {
    1: ("rounds", "abay"),
    2: ("wheelbook", "abay"),
    3: ("rounds", "abay"),
    4: ("wheelbook", "enbek"),
    5: ("rounds", "enbek"),
    6: ("wheelbook", "enbek"),
}
DOMAINS = ("abay", "enbek")
# Mean time between the starts of two faults, seconds.
FAULT_INTERVAL_S = 0.6
# Time for which a host gets no second fault: longer than the start of a daemon
# and the time after which a silent agent counts as lost (4 s).
HOST_PAUSE_S = 5.0
# Time for which an agent may be away: balancers that have just started count a
# silent agent as lost after 2.5 s, and its open flows may then be reset.
MAX_AGENT_STOP_S = 1.5

# Kind of each fault with its weight, its shortest and its longest duration in
# seconds.  Faults with the same prefix up to the hyphen have the same targets.
KINDS: dict[str, tuple[int, float, float]] = {
    "balancer-kill": (3, 0.0, 0.0),
    "balancer-restart": (2, 0.0, 0.0),
    "balancer-stop": (2, 0.3, 2.0),
    "balancer-cut": (2, 0.5, 4.0),
    "balancer-storeless": (2, 0.5, 4.0),
    "agent-kill": (3, 0.0, 0.0),
    "agent-restart": (2, 0.0, 0.0),
    "agent-stop": (2, 0.3, MAX_AGENT_STOP_S),
    "agent-cut": (1, 0.3, 2.0),
    "upstream-crash": (2, 0.5, 3.0),
    "upstream-drain": (2, 1.0, 3.0),
    "store-silent": (1, 1.0, 4.0),
    "store-slow": (1, 1.0, 4.0),
    "store-reset": (1, 1.0, 4.0),
    "store-reject": (1, 1.0, 4.0),
    "store-lost": (2, 1.0, 4.0),
    "store-late": (2, 2.0, 5.0),
    "network-loss": (1, 1.0, 4.0),
    "config-move": (3, 0.0, 0.0),
    "config-drop": (1, 1.0, 4.0),
    "domain-evacuate": (2, 6.0, 10.0),
}


class Fault(msgspec.Struct, frozen=True):
    """A fault to inject.

    Attributes:
        at_s: Start, seconds since the start of the faults.
        kind: One of ``KINDS``.
        target: Name of the host, domain or part that it affects.
        duration_s: Duration in seconds; 0 for a single event.
        degree: Strength from 0 to 1, used as each kind requires.
    """

    at_s: float
    kind: str
    target: str
    duration_s: float
    degree: float

    def __str__(self) -> str:
        return (
            f"{self.kind} target={self.target} at_s={self.at_s:.2f}"
            f" duration_s={self.duration_s:.2f} degree={self.degree:.2f}"
        )


def make_plan(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a run by their start.

    Args:
        seed: Seed of the run.
        seconds: Time within which all faults start and end.
    """
    rng = random.Random(seed)
    names, weights = list(KINDS), [weight for weight, _, _ in KINDS.values()]
    free_at: dict[str, float] = {}
    plan: list[Fault] = []
    at_s = 0.0
    while True:
        at_s += rng.uniform(0.3, 1.7) * FAULT_INTERVAL_S
        if at_s >= seconds:
            return plan
        kind = rng.choices(names, weights)[0]
        group = kind.partition("-")[0]
        target = rng.choice(_targets(group))
        _, least, most = KINDS[kind]
        duration_s = min(rng.uniform(least, most), seconds - at_s)
        degree = rng.random()
        # An agent and the upstream beside it are on one host.
        host = target.replace("upstream", "agent")
        if at_s >= free_at.get(host, 0.0):
            pause_s = HOST_PAUSE_S if group in _HOST_GROUPS else 0.0
            free_at[host] = at_s + duration_s + pause_s
            plan.append(Fault(at_s, kind, target, duration_s, degree))


_HOST_GROUPS = ("balancer", "agent", "upstream")


def _targets(group: str) -> list[str]:
    if group == "balancer":
        return [f"balancer-{n + 1}" for n in range(BALANCERS)]
    if group in ("agent", "upstream"):
        return [f"{group}-{n}" for n in AGENTS]
    if group == "domain":
        # Never both, as all openings would be refused.
        return [DOMAINS[1]]
    return [group]
