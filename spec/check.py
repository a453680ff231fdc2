"""Model-checks the specification of the core protocols.

Run as ``python -m spec.check``.  Each check searches all runs of a protocol up
to a number of steps for a violation of one invariant.  No run may contain one,
and a variant with one broken rule must have a run that does, which shows that
the search can detect the violation.

The protocols are logic programs for clingo, which has packages for all
processors that the project supports.  The search is bounded.  For the ownership
protocol it is exhaustive: ``has_longer_run`` shows that every reachable state
is reached in fewer steps than the search takes.
"""

from collections.abc import Callable
import pathlib
import sys
import time

import clingo
import msgspec

FOLDER = pathlib.Path(__file__).resolve().parent

# Longest runs that are searched, by program, in steps.
HORIZONS = {
    "ownership": 16,
    "forwarding": 16,
    "parts": 6,
    "evacuations": 20,
    "former_services": 14,
    "records": 12,
    "warmup": 10,
    "withdrawals": 12,
    "hedging": 20,
}

# Rules of the ownership protocol, by the predicate that they define.  With
# members a, b and c and two copies of each entry, one report may be missing; d
# joins in the next epoch.
OWNERSHIP = {
    "members": """
        initial_owner(a).
        member(1..2, (a; b; c)). member(3, (a; b; c; d)).""",
    "able": "able(1..2, (a; b; c)). able(3, (a; b; c; d)).",
    "needed": "needed(1..3, 1).",
    "missing": "missing(0..1, 0). missing(2..4, 1).",
    "counts": "counts(0).",
    "fenced": "fenced(F, T) :- F = 0..3, T = 1..3, F > T.",
    "known": "known(1..3, 0). known(3, 1).",
    "refusal": "refusal_needed(1..3, 1).",
}
# Rules of a service with one member, and so one copy, before term 3.
GROWN_SERVICE = {
    "members": """
        initial_owner(a).
        member(1, a). member(2..3, (a; b; c)).""",
    "able": "able(1, a). able(2..3, (a; b; c)).",
    "needed": "needed(1, 0). needed(2..3, 1).",
    "refusal": "refusal_needed(1, 0). refusal_needed(2..3, 1).",
}
NO_CRASH = "initial_member(a; b; c). may_claim(b, 2). crash_budget(0)."
ONE_CRASH = "initial_member(a; b; c). may_claim(b, 2). crash_budget(1)."
MEMBER_JOINED = """
    initial_member(a; b; c; d). young(d).
    may_claim(b, 2). crash_budget(0)."""
SERVICE_GROWN = """
    initial_member(a; b; c). young(b). young(c).
    may_claim(b, 3). crash_budget(0)."""

# Two balancers, of which one has an old list of agents, and two agents.
FORWARDING = {
    "daemons": """
        balancer(p; q). agent(x; y). in_list(q, (x; y)). in_list(p, x).
        restart_budget(1).""",
    "ack": "compares_ack.",
    "gaps": "admits_gaps.",
    "list": "reads_list.",
    "refusals": "marks_refusals.",
    "aging": "",
}
PARTS = {
    "answers": "checked(I, I) :- number(I).",
    "services": "same(1, 1). same(2, 2).",
    "versions": "takes(I, J) :- number(I), number(J), J > I.",
}
# Two balancers, of which one may be cut off from the store; an evacuation that
# ends and begins again.
EVACUATIONS = {
    "daemons": """
        balancer(p; q). may_lose_store(p).
        revisions(3). restart_budget(1).""",
    "start": "",
    "lists": "",
    "peers": "",
}
# Three balancers, two changes of a route's service, and two restarts.
FORMER_SERVICES = {
    "daemons": """
        balancer(p; q; r). steady(r).
        versions(2). restart_budget(2).""",
    "services": "",
    "wait": "",
    "skips": "",
    "peers": "",
    "config": "",
}
# The same without a balancer that knows the former services for sure.
NOBODY_KNOWS = {
    **FORMER_SERVICES,
    "daemons": """
        balancer(p; q). versions(2). restart_budget(3).""",
    "wait": "gives_up.",
    "all": "asks_all.",
}
RECORDS = {
    "agent": "incarnations(3).",
    "condition": "names_revision.",
    "record": "names_incarnation.",
}
WITHDRAWALS = {
    "agent": "incarnations(3).",
    "restart": "",
    "incarnation": "",
    "record": "",
}
# Two balancers, five flows, and a rate that rises and falls.
WARMUP = {
    "daemons": """
        balancer(p; q). flow(1..5). window(3). restart_budget(1).
        limit(1, 1). limit(2, 2). limit(3, 1).""",
    "limit": "agent_limits.",
    "copies": "",
    "restart": "assumes_full.",
    "rate": "needs_rate.",
}
# The same with an evacuation.
EVACUATED_WARMUP = {
    **WARMUP,
    "end": "may_end(2..4).",
    "news": "tells_evacuations.",
    "lift": "",
}
# Two offers at a time among three agents; one upstream may die.
HEDGING = {
    "daemons": "agent(x; y; z). max_offers(2). death_budget(1).",
    "first_request": "probes.",
    "silence": "denies_silent.",
    "late_syn": "declines_late_syn.",
}


class Check(msgspec.Struct, frozen=True):
    """One invariant, and a variant of the protocol that violates it.

    Attributes:
        name: What goes wrong in the broken variant.
        program: Name of the program without its suffix.
        violation: The violation to search for.
        rules: Rules that complete the program.
        broken: The rules of the broken variant that differ.
    """

    name: str
    program: str
    violation: str
    rules: dict[str, str]
    broken: dict[str, str]


def _ownership(
    name: str,
    initial: str,
    broken: dict[str, str],
    violation: str = "ran_twice",
    changed: dict[str, str] | None = None,
) -> Check:
    rules = {**OWNERSHIP, **(changed or {}), "initial": initial}
    return Check(name, "ownership", violation, rules, broken)


def _former_services(name: str, broken: dict[str, str]) -> Check:
    return Check(
        f"flow of a former service reset: {name}",
        "former_services",
        "live_flow_reset",
        FORMER_SERVICES,
        broken,
    )


def _warmup(
    name: str, broken: dict[str, str], rules: dict[str, str] = WARMUP
) -> Check:
    return Check(
        f"too many openings at a cold upstream: {name}",
        "warmup",
        "too_many_openings",
        rules,
        broken,
    )


def _withdrawals(name: str, broken: dict[str, str]) -> Check:
    return Check(
        f"live flow reset: {name}",
        "withdrawals",
        "live_flow_reset",
        WITHDRAWALS,
        broken,
    )


CHECKS = (
    _ownership(
        "ran twice: one answer too few",
        ONE_CRASH,
        {"missing": "missing(0..4, 2)."},
    ),
    _ownership(
        "ran twice: a restarted member counts as an answer",
        ONE_CRASH,
        {"counts": "counts(0..1).", "missing": "missing(0..4, 1)."},
    ),
    _ownership(
        "ran twice: a restarted member witnesses an old term",
        ONE_CRASH,
        {"known": "known(1..3, 0..1)."},
    ),
    _ownership(
        "ran twice: members do not refuse a lower term",
        ONE_CRASH,
        {"fenced": ""},
    ),
    _ownership(
        "ran twice: a new member witnesses an old term",
        MEMBER_JOINED,
        {"able": "able(1..3, (a; b; c; d))."},
    ),
    _ownership(
        "ran twice: the service had fewer members than copies",
        SERVICE_GROWN,
        {"missing": "missing(0..4, 1)."},
        changed=GROWN_SERVICE,
    ),
    _ownership(
        "refused and ran: the refusal is told before a witness knows it",
        NO_CRASH,
        {"refusal": "refusal_needed(1..3, 0)."},
        violation="refused_and_ran",
    ),
    Check(
        "live flow reset: an assumed holder counts as confirmed",
        "forwarding",
        "live_flow_reset",
        FORWARDING,
        {"aging": "aging."},
    ),
    Check(
        "live flow reset: a restarted agent denies what it does not know",
        "forwarding",
        "live_flow_reset",
        FORWARDING,
        {"gaps": ""},
    ),
    Check(
        "live flow reset: the holder is newer than the list of agents",
        "forwarding",
        "live_flow_reset",
        FORWARDING,
        {"list": ""},
    ),
    Check(
        "data at another upstream: agents do not compare the ack",
        "forwarding",
        "data_at_another_upstream",
        FORWARDING,
        {"ack": ""},
    ),
    Check(
        "refused and held: the reset of a refusal fits an open flow",
        "forwarding",
        "refused_and_held",
        FORWARDING,
        {"refusals": ""},
    ),
    Check(
        "answer to an earlier placement of the flow",
        "parts",
        "earlier_answer",
        PARTS,
        {"answers": "checked(I, J) :- number(I), number(J)."},
    ),
    Check(
        "packet to another service",
        "parts",
        "other_service",
        PARTS,
        {"services": "same(1..2, 1..2)."},
    ),
    Check(
        "version reverts",
        "parts",
        "version_reverts",
        PARTS,
        {"versions": "takes(I, J) :- number(I), number(J)."},
    ),
    Check(
        "opening after an evacuation: a balancer starts without a list",
        "evacuations",
        "opening_after_bound",
        EVACUATIONS,
        {"start": "serves_without_list."},
    ),
    Check(
        "opening after an evacuation: a stale list replaces a newer watch",
        "evacuations",
        "opening_after_bound",
        EVACUATIONS,
        {"lists": "stale_lists."},
    ),
    Check(
        "opening after an evacuation: a peer's word counts as a list",
        "evacuations",
        "opening_after_bound",
        EVACUATIONS,
        {"peers": "trusts_peers."},
    ),
    _former_services(
        "only the present services are asked",
        {"services": "asks_present_only."},
    ),
    _former_services(
        "a balancer does not wait for the former ones",
        {"wait": "resets_early."},
    ),
    _former_services(
        "a skipped version leaves no trace", {"skips": "ignores_skips."}
    ),
    _former_services(
        "a peer does not know the former ones", {"peers": "trusts_new_peer."}
    ),
    _former_services(
        "a peer lags by two versions", {"peers": "trusts_stale_peer."}
    ),
    _former_services(
        "the flow is newer than the configuration",
        {"config": "reads_no_config."},
    ),
    Check(
        "flow of a former service reset: nobody knows the former services",
        "former_services",
        "live_flow_reset",
        NOBODY_KNOWS,
        {"all": ""},
    ),
    Check(
        "record of a newer incarnation deleted: the delete has no condition",
        "records",
        "newer_record_deleted",
        RECORDS,
        {"condition": ""},
    ),
    Check(
        "record of a newer incarnation deleted: a restart keeps its revision",
        "records",
        "newer_record_deleted",
        RECORDS,
        {"record": ""},
    ),
    _withdrawals(
        "an agent withdraws at a planned restart",
        {"restart": "sends_at_restart."},
    ),
    _withdrawals(
        "a late message of a former incarnation counts",
        {"incarnation": "ignores_incarnation."},
    ),
    _withdrawals(
        "a new incarnation counts as withdrawn until it reports",
        {"record": "keeps_withdrawn."},
    ),
    _warmup("each balancer limits by itself", {"limit": "balancers_limit."}),
    _warmup(
        "a retransmission counts as admitted",
        {"copies": "passes_retransmissions."},
    ),
    _warmup("a restarted agent takes its upstream as new", {"restart": ""}),
    _warmup("an agent without a subscription has no limit", {"rate": ""}),
    _warmup(
        "an agent learns of the end of an evacuation by heartbeats only",
        {"news": ""},
        EVACUATED_WARMUP,
    ),
    _warmup(
        "a heartbeat of before the end lifts the limit",
        {"lift": "takes_any_heartbeat."},
        EVACUATED_WARMUP,
    ),
    Check(
        "request at another upstream: it goes to both without a probe",
        "hedging",
        "ran_at_other_upstream",
        HEDGING,
        {"first_request": ""},
    ),
    Check(
        "request at another upstream: it had not answered the SYN for long",
        "hedging",
        "ran_at_other_upstream",
        HEDGING,
        {"silence": ""},
    ),
    Check(
        "request at another upstream: a late SYN follows the request",
        "hedging",
        "ran_at_other_upstream",
        HEDGING,
        {"late_syn": ""},
    ),
)
# A run in which no action could happen a step earlier and no step is empty.
LONGEST_RUN = """
    acts(S) :- does(_, _, S).
    :- step(S), not acts(S).
    :- does(H, A, S), S > 0, possible(H, A, S - 1), not does(H, _, S - 1)."""


def has_run(check: Check, rules: dict[str, str], condition: str) -> bool:
    """Returns True if a run of the protocol meets a condition.

    Args:
        check: Names the program and so the length of the run.
        rules: Rules that complete the program.
        condition: Rules that only the wanted runs meet.
    """
    horizon = HORIZONS[check.program]
    control = clingo.Control(
        ["-c", f"horizon={horizon}"], logger=lambda code, text: None
    )
    control.load(str(FOLDER / f"{check.program}.lp"))
    control.add("\n".join([*rules.values(), condition]))
    control.ground()
    return bool(control.solve().satisfiable)


def has_longer_run(check: Check) -> bool:
    """Returns True if some state takes as many steps as the search, or more.

    Every run of the ownership protocol can be reordered so that no action could
    happen a step earlier.  If no such run takes all steps of the search, the
    search has seen all states.
    """
    return has_run(check, check.rules, LONGEST_RUN)


def check_one(
    check: Check,
    print_line: Callable[[str], None],
    known: dict[tuple, bool] | None = None,
) -> bool:
    """Runs one check; returns True if the invariant and its variant behave.

    Args:
        check: The check.
        print_line: Called with the result as text.
        known: Whether the unbroken protocols violate their invariants, as far as
            it is known; several variants share one such search.
    """
    started_at = time.perf_counter()
    condition = f":- not violation({check.violation})."
    known = {} if known is None else known
    protocol = (check.program, check.violation, *sorted(check.rules.items()))
    if protocol not in known:
        known[protocol] = has_run(check, check.rules, condition)
    violated = known[protocol]
    detected = has_run(check, {**check.rules, **check.broken}, condition)
    coverage = f"{HORIZONS[check.program]} steps"
    exhaustive = True
    if check.program == "ownership":
        exhaustive = not has_longer_run(check)
        coverage = "all states" if exhaustive else "NOT all states"
    passed = detected and exhaustive and not violated
    elapsed_s = time.perf_counter() - started_at
    print_line(
        f"{'ok' if passed else 'WRONG':5} {check.name}: "
        f"{'violated' if violated else 'holds'} in {coverage}; broken variant "
        f"{'found' if detected else 'not found'}; {elapsed_s:.1f} s"
    )
    return passed


def check_all(print_line: Callable[[str], None] = print) -> list[str]:
    """Runs all checks; returns the names of the failed ones."""
    known: dict[tuple, bool] = {}
    return [x.name for x in CHECKS if not check_one(x, print_line, known)]


if __name__ == "__main__":
    sys.exit(1 if check_all() else 0)
