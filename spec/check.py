"""Model-checks the Maude specification of the core protocol.

Run as ``python -m spec.check``.  For each invariant, no reachable state of the
protocol may violate it, and a variant with one broken equation must have a
state that does, which shows that the search can detect the violation.
"""

from collections.abc import Callable
import pathlib
import sys
import time

import maude

FOLDER = pathlib.Path(__file__).resolve().parent

# Equations of the protocol by the operator that they define.  With members a,
# b and c and two copies of each entry, one report may be missing; d joins in
# the next epoch.
EQUATIONS = {
    "members": """
      eq members(3) = a b c d .
      eq members(T) = a b c [owise] .""",
    "able": """
      eq able(3) = a b c d .
      eq able(T) = a b c [owise] .""",
    "needed": "eq needed(T) = 1 .",
    "quorum": """
      eq quorum(T, K, E) = size(K) >= sd(s size(members(T)),
        max(1, min(2, size(E)))) .""",
    "counts": "eq counts(Q) = not Q .",
    "fenced": "eq fenced(F, T) = F > T .",
    "known": "eq known(T, N) = (N == 0) or T == 3 .",
    "refusal": "eq refusalNeeds = 1 .",
}
# Equations of a service with one member, and so one copy, before term 3.
GROWN_SERVICE = {
    "members": """
      eq members(1) = a .
      eq members(T) = a b c [owise] .""",
    "able": """
      eq able(1) = a .
      eq able(T) = a b c [owise] .""",
    "needed": "eq needed(1) = 0 . eq needed(T) = 1 [owise] .",
}

ESTABLISHED_MEMBER = "mem({}, 0, 0, 0, false, true, false, false)"
NEW_MEMBER = "mem({}, 0, 0, 0, false, true, false, true)"
FIRST_OWNER = "own(a, 1, a b c, a b c, a b c, true)"


def make_state(
    crashes: int, claims: str, new_hosts: str, established_hosts: str
) -> str:
    """Returns an initial state with a as owner of the slot in term 1."""
    members = [ESTABLISHED_MEMBER.format(h) for h in established_hosts] + [
        NEW_MEMBER.format(h) for h in new_hosts
    ]
    return (
        f"{{ {FIRST_OWNER} crashes({crashes}) {claims} {' '.join(members)} }}"
    )


NO_CRASH = make_state(0, "may(b, 2)", "", "abc")
ONE_CRASH = make_state(1, "may(b, 2)", "", "abc")
MEMBER_JOINED = make_state(0, "may(b, 2)", "d", "abc")
SERVICE_GROWN = make_state(0, "may(b, 3)", "bc", "a")
RAN_TWICE = "{ ran(T) ran(R) S }"
REFUSED_AND_RAN = "{ refused(T) ran(R) S }"

# Name, initial state, violation, equations that differ from EQUATIONS, and the
# broken equations of the variant.
PROTOCOL_CHECKS: tuple[tuple[str, str, str, dict, dict], ...] = (
    (
        "ran twice: one answer too few",
        ONE_CRASH,
        RAN_TWICE,
        {},
        {"quorum": "eq quorum(T, K, E) = size(K) >= 1 ."},
    ),
    (
        "ran twice: a restarted member counts as an answer",
        ONE_CRASH,
        RAN_TWICE,
        {},
        {
            "counts": "eq counts(Q) = true .",
            "quorum": """eq quorum(T, K, E) =
              size(K) >= sd(s size(members(T)), 2) .""",
        },
    ),
    (
        "ran twice: a restarted member witnesses an old term",
        ONE_CRASH,
        RAN_TWICE,
        {},
        {"known": "eq known(T, N) = true ."},
    ),
    (
        "ran twice: members do not refuse a lower term",
        ONE_CRASH,
        RAN_TWICE,
        {},
        {"fenced": "eq fenced(F, T) = false ."},
    ),
    (
        "ran twice: a new member witnesses an old term",
        MEMBER_JOINED,
        RAN_TWICE,
        {},
        {"able": "eq able(T) = a b c d ."},
    ),
    (
        "ran twice: the service had fewer members than copies",
        SERVICE_GROWN,
        RAN_TWICE,
        GROWN_SERVICE,
        {
            "quorum": """eq quorum(T, K, E) =
              size(K) >= sd(s size(members(T)), 2) ."""
        },
    ),
    (
        "refused and ran: the refusal is told before a witness knows it",
        NO_CRASH,
        REFUSED_AND_RAN,
        {},
        {"refusal": "eq refusalNeeds = 0 ."},
    ),
)
# Name, Maude module, initial state, violation, condition of the violation,
# equation, and broken equation of the variant.
PROPERTY_CHECKS: tuple[tuple[str, str, str, str, str, str, str], ...] = (
    (
        "answer to an earlier placement of the flow",
        "ANSWERS",
        "flow(3)",
        "told(I, J) S",
        "I =/= J",
        "eq checked(I, J) = I == J .",
        "eq checked(I, J) = true .",
    ),
    (
        "packet to another service",
        "SERVICES",
        "serves(1) table(1)",
        "given(I, J) S:State",
        "I =/= J",
        "eq same(I, J) = I == J .",
        "eq same(I, J) = true .",
    ),
    (
        "version reverts",
        "VERSIONS",
        "process(0) newest(0)",
        "reverted S",
        "",
        "eq takes(I, J) = J > I .",
        "eq takes(I, J) = true .",
    ),
)
# Search depths; SERVICES sends packets without limit, so it has no last state.
MAX_DEPTHS = {"SERVICES": 6}


def define_module(name: str, equations: dict[str, str]) -> maude.Module:
    """Defines a Maude module of the protocol with the given equations."""
    maude.input(
        f"mod {name} is including OWNERSHIP . {' '.join(VARIABLES)} "
        f"{' '.join(equations.values())} endm"
    )
    return maude.getModule(name)


VARIABLES = (
    "vars T F N R : Nat .",
    "vars K E : Hosts .",
    "var Q : Bool .",
    "var S : State .",
)


def search(
    module: maude.Module,
    initial: str,
    violation: str,
    condition: str,
    depth: int = -1,
) -> tuple[bool, int]:
    """Searches all reachable states for a violation.

    Returns:
        Whether a violation was found, and the number of states explored.
    """
    term = module.parseTerm(initial)
    pattern = module.parseTerm(violation)
    conditions = []
    if condition:
        left, _, right = condition.partition(" =/= ")
        conditions = [
            maude.EqualityCondition(
                module.parseTerm(f"{left} == {right}"),
                module.parseTerm("false"),
            )
        ]
    matches = term.search(maude.ANY_STEPS, pattern, conditions, depth)
    violation_match = next(iter(matches), None)
    if violation_match is not None:
        return True, matches.getStateNr()
    any_state = module.parseTerm("W:Whole" if initial[0] == "{" else "W:State")
    states = module.parseTerm(initial).search(
        maude.ANY_STEPS, any_state, [], depth
    )
    return False, sum(1 for _ in states)


def check_all(print_line: Callable[[str], None] = print) -> list[str]:
    """Runs all searches; returns the names of the failed checks."""
    maude.init()
    maude.load(str(FOLDER / "ownership.maude"))
    maude.load(str(FOLDER / "parts.maude"))
    failed_checks = []

    def run_check(
        name, specified, broken, initial, pattern, condition, depth=-1
    ):
        started_at = time.perf_counter()
        violated, states = search(specified, initial, pattern, condition, depth)
        detected, broken_states = search(
            broken, initial, pattern, condition, depth
        )
        elapsed_s = time.perf_counter() - started_at
        verdict = "ok" if detected and not violated else "WRONG"
        if verdict != "ok":
            failed_checks.append(name)
        print_line(
            f"{verdict:5} {name}: not in {states} states; "
            f"broken variant: state {broken_states}; {elapsed_s:.1f} s"
        )

    for index, (
        name,
        initial,
        pattern,
        overrides,
        broken_equations,
    ) in enumerate(PROTOCOL_CHECKS):
        equations = {**EQUATIONS, **overrides}
        specified = define_module(f"GOOD{index}", equations)
        broken = define_module(
            f"BROKEN{index}", {**equations, **broken_equations}
        )
        run_check(name, specified, broken, initial, pattern, "")
    for (
        name,
        part,
        initial,
        pattern,
        condition,
        equation,
        broken_equation,
    ) in PROPERTY_CHECKS:
        modules = []
        for kind, text in (("GOOD", equation), ("BROKEN", broken_equation)):
            maude.input(
                f"mod {kind}-{part} is including {part} . "
                f"vars I J : Nat . var S : State . {text} endm"
            )
            modules.append(maude.getModule(f"{kind}-{part}"))
        depth = MAX_DEPTHS.get(part, -1)
        run_check(name, *modules, initial, pattern, condition, depth)
    return failed_checks


if __name__ == "__main__":
    sys.exit(1 if check_all() else 0)
