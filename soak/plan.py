"""Series of faults and the options of a run, drawn from its seed."""

import itertools
import random

import msgspec

# Version 1 has none of the kinds that ``KINDS`` adds, and all options are on.
# Seeds that failed under version 1 keep it (soak/cases.txt).
VERSION = 2
# Failure domain of each host at the start, and the service of its agent.
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

# Time between the end of the last fault on a host and a loss of power: longer
# than a killed daemon stays down, as its next process must get the signal.
SETTLE_S = 3.0
# Time after a loss of power without other faults: the start of the daemons, and
# the bound for resets of lost flows (6 s).
AFTER_POWER_LOSS_S = 9.0
# Pairs that are replaced in that time, and when.  On the bench, 22 of 73 agents
# left 4 to 8 s after a loss of power, and lost flows were reset late.
POWER_LOSS_LEAVERS = 2
FIRST_LEAVER_S, LAST_LEAVER_S = 3.0, 7.0
LEAVER_DURATION_S = 1.0
# Number of a service's upstreams from which on no further one is lost for good.
MIN_UPSTREAMS = 2

# Kind of each fault with its weight, its shortest and its longest duration in
# seconds.  Faults with one prefix up to the hyphen have the same targets.
KINDS_1: dict[str, tuple[int, float, float]] = {
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
# A pair is an upstream and the agent beside it, on one host.
KINDS = KINDS_1 | {
    "pair-replace": (4, 2.0, 5.0),
    "pair-lose": (2, 0.0, 0.0),
    "power-loss": (2, 0.5, 2.0),
}


class Fault(msgspec.Struct, frozen=True):
    """A fault of one of ``KINDS``; its degree is a strength from 0 to 1.

    ``successor`` is the name of the host that replaces the target, if any.
    """

    at_s: float
    kind: str
    target: str
    duration_s: float
    degree: float
    successor: str = ""

    @property
    def end_s(self) -> float:
        """Time of the end of the fault, seconds."""
        return self.at_s + self.duration_s


class Options(msgspec.Struct, frozen=True):
    """Options of the daemons of a run.

    Attributes:
        hedging: Balancers may hedge openings.
        health: The settings name the contract ``health``.
    """

    hedging: bool = True
    health: bool = True


def make_options(seed: int, version: int = VERSION) -> Options:
    """Returns the options of a seed; four seeds in turn have all of them."""
    if version == 1:
        return Options()
    return Options(hedging=seed % 2 == 0, health=seed // 2 % 2 == 0)


class _Hosts:
    """Hosts that exist, and the times at which their last faults end."""

    def __init__(self) -> None:
        self.places = dict(HOSTS)
        self.ends_at = dict.fromkeys(HOSTS, 0.0)
        agents = sum(name.startswith("agent") for name in HOSTS)
        self._numbers = itertools.count(agents + 1)

    def targets(self, kind: str) -> list[str]:
        """Returns the targets of a kind of fault, of which one is drawn."""
        group = kind.partition("-")[0]
        # An agent and the upstream beside it are on one host.
        role = "agent" if group in ("upstream", "pair") else group
        hosts = [name for name in self.places if name.startswith(role)]
        # Never both domains, as all openings would be refused.
        return ["enbek"] if group == "domain" else hosts or [group]

    def may_lose(self, target: str) -> bool:
        """Returns True if enough upstreams of the target's service remain."""
        services = [service for _, service in self.places.values()]
        return services.count(self.places[target][1]) > MIN_UPSTREAMS

    def apply(self, fault: Fault) -> Fault:
        """Applies a fault on a host; returns it with the successor, if any."""
        self.ends_at[fault.target] = fault.end_s
        if not fault.kind.startswith("pair"):
            return fault
        place = self.places.pop(fault.target)
        if fault.kind == "pair-replace":
            successor = f"agent-{next(self._numbers)}"
            self.places[successor] = place
            self.ends_at[successor] = fault.end_s
            fault = msgspec.structs.replace(fault, successor=successor)
        return fault


def make_plan(seed: int, seconds: float, version: int = VERSION) -> list[Fault]:
    """Returns the faults of a seed, which start and end within seconds."""
    rng = random.Random(seed)
    kinds = KINDS_1 if version == 1 else KINDS
    names, weights = list(kinds), [weight for weight, _, _ in kinds.values()]
    hosts = _Hosts()
    ends_at: dict[str, float] = {}
    plan: list[Fault] = []
    at_s = 0.0
    while True:
        at_s += rng.uniform(0.3, 1.7) * FAULT_INTERVAL_S
        if at_s >= seconds:
            return plan
        kind = rng.choices(names, weights)[0]
        target = rng.choice(hosts.targets(kind))
        _, least, most = kinds[kind]
        duration_s = min(rng.uniform(least, most), seconds - at_s)
        degree = rng.random()
        fault = Fault(at_s, kind, target, duration_s, degree)
        if kind == "power-loss":
            at_s = _lose_power(fault, hosts, rng, plan, seconds)
        elif target in HOSTS or target in hosts.places:
            free_at = hosts.ends_at[target] + HOST_PAUSE_S
            free = at_s >= free_at or not hosts.ends_at[target]
            if free and (kind != "pair-lose" or hosts.may_lose(target)):
                plan.append(hosts.apply(fault))
        elif at_s >= ends_at.get(target, 0.0):
            ends_at[target] = fault.end_s
            plan.append(fault)


def _lose_power(
    fault: Fault,
    hosts: _Hosts,
    rng: random.Random,
    plan: list[Fault],
    seconds: float,
) -> float:
    """Adds a loss of power, and the replacement of some pairs after it.

    It is put off until no host has a fault.  Returns the time from which other
    faults may start, seconds.
    """
    at_s = max(fault.at_s, max(hosts.ends_at.values()) + SETTLE_S)
    duration_s = min(fault.duration_s, seconds - at_s)
    if duration_s <= 0:
        return fault.at_s
    fault = msgspec.structs.replace(fault, at_s=at_s, duration_s=duration_s)
    plan.append(fault)
    times = [
        fault.end_s + rng.uniform(FIRST_LEAVER_S, LAST_LEAVER_S)
        for _ in range(POWER_LOSS_LEAVERS)
    ]
    leavers = rng.sample(hosts.targets("pair"), POWER_LOSS_LEAVERS)
    for leaves_at, target in zip(sorted(times), leavers, strict=True):
        left_s = min(LEAVER_DURATION_S, seconds - leaves_at)
        if left_s > 0:
            leaver = Fault(leaves_at, "pair-replace", target, left_s, 0.0)
            plan.append(hosts.apply(leaver))
    for name in hosts.places:
        hosts.ends_at[name] = max(hosts.ends_at[name], fault.end_s)
    return fault.end_s + AFTER_POWER_LOSS_S
