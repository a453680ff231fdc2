"""Series of faults of a run, drawn from its seed."""

import random

import msgspec

# Failure domain of each host, and the service of its agent.
HOSTS = {
    "balancer-1": ("abay", ""),
    "balancer-2": ("enbek", ""),
    "balancer-3": ("abay", ""),
    "balancer-4": ("enbek", ""),
    "agent-1": ("abay", "rounds"),
    "agent-2": ("abay", "wheelbook"),
    "agent-3": ("abay", "rounds"),
    "agent-4": ("enbek", "wheelbook"),
    "agent-5": ("enbek", "rounds"),
    "agent-6": ("enbek", "wheelbook"),
}
# Mean time between the starts of two faults, seconds.
FAULT_INTERVAL_S = 0.6
# Time for which a host gets no second fault: longer than the start of a daemon
# and the time after which a silent agent counts as lost (4 s).
HOST_PAUSE_S = 5.0
# Time for which an agent may be away: balancers that have just started count a
# silent agent as lost after 2.5 s, and its open flows may then be reset.
MAX_AGENT_STOP_S = 1.5

# Kind of each fault with its weight, its shortest and its longest duration in
# seconds.  Faults with one prefix up to the hyphen have the same targets.
KINDS: dict[str, tuple[int, float, float]] = {
    "balancer-kill": (3, 0.0, 0.0),
    "balancer-term": (2, 0.0, 0.0),
    "balancer-stop": (2, 0.3, 2.0),
    "balancer-cut": (2, 0.5, 4.0),
    "balancer-storeless": (2, 0.5, 4.0),
    "agent-kill": (3, 0.0, 0.0),
    "agent-term": (2, 0.0, 0.0),
    "agent-stop": (2, 0.3, MAX_AGENT_STOP_S),
    "agent-cut": (1, 0.3, 2.0),
    "upstream-crash": (2, 1.0, 6.0),
    "upstream-drain": (2, 1.0, 6.0),
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
    """A fault of one of ``KINDS``; its degree is a strength from 0 to 1."""

    at_s: float
    kind: str
    target: str
    duration_s: float
    degree: float


def make_plan(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a seed, which start and end within seconds."""
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
        if at_s >= free_at.get(target, 0.0):
            pause_s = HOST_PAUSE_S if target in HOSTS else 0.0
            free_at[target] = at_s + duration_s + pause_s
            plan.append(Fault(at_s, kind, target, duration_s, degree))


def _targets(group: str) -> list[str]:
    # An agent and the upstream beside it are on one host.
    role = "agent" if group == "upstream" else group
    hosts = [name for name in HOSTS if name.startswith(role)]
    # Never both domains, as all openings would be refused.
    return ["enbek"] if group == "domain" else hosts or [group]
