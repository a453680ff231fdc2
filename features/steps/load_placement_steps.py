import random

from behave import given
from behave import then
from behave import when

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.load import placement

ORDERS = objects.WorkClass(name="orders", kind="request", urgency=0)
LOGS = objects.WorkClass(name="logs", kind="bulk", urgency=2)
SERVICE_S = 0.05


def report(name, ready=True):
    return messages.Load(name, 0, 0, 2, 50.0, 0, 2000, ready)


class Service:
    """A slot owner and its upstreams, which answer after a fixed time."""

    def __init__(self, count):
        self.now = 1000.0
        self.placement = placement.Placement(random.Random(7))
        self.pool = [
            placement.Candidate(f"u{i}", f"h{i}", f"d{i % 3}", 2, 2000)
            for i in range(count)
        ]
        self.pending_results = []  # (time, upstream, outcome, took, via)
        self.choices = []

    def deliver_results(self):
        for result in sorted(
            r for r in self.pending_results if r[0] <= self.now
        ):
            self.pending_results.remove(result)
            at, name, outcome, took, via = result
            self.placement.record_result(at, name, "orders", outcome, took, via)

    def request(self, bad, mode, gap, vias=("",)):
        self.now += gap
        self.deliver_results()
        for candidate in self.pool:
            self.placement.update_load(self.now, report(candidate.upstream))
        via = vias[len(self.choices) % len(vias)]
        choice = self.placement.choose(
            self.now, self.pool, ORDERS, "10.0.0.1", via=via
        )
        name = choice.upstream
        self.choices.append((name, via))
        outcome, took = messages.ANSWERED, SERVICE_S
        if name in bad and mode == "never answers":
            return choice
        if name in bad and mode == "fails":
            outcome, took = messages.UNKNOWN, 0.002
        if name in bad and mode == "refuses":
            outcome, took = messages.REFUSED, 0.002
        if name in bad and mode == "is slow":
            took = SERVICE_S * 20
        if name in bad and mode == "fails through b0" and via == "b0":
            outcome, took = messages.UNKNOWN, 0.1
        self.pending_results.append((self.now + took, name, outcome, took, via))
        return choice


@given("a load placement over {count:d} upstreams")
def make_service(context, count):
    context.service = Service(count)


@when('{n:d} load requests come, while u1 "{mode}" and reports idle')
def run_bad(context, n, mode):
    for _ in range(n):
        context.service.request(("u1",), mode, 0.04)


@when("{n:d} load requests come from b0 and b1, and u1 fails through b0")
def run_path_failure(context, n):
    for _ in range(n):
        context.service.request(("u1",), "fails through b0", 0.04, ("b0", "b1"))


@when("{n:d} load requests come, while u0 and u1 fail")
def run_most_fail(context, n):
    for _ in range(n):
        context.service.request(("u0", "u1"), "fails", 0.04)


@when("u0, u1 and u2 report that they are not ready")
def report_unready(context):
    service = context.service
    for i in range(4):
        service.placement.update_load(
            service.now, report(f"u{i}", ready=i == 3)
        )


@when("all report idle and {n:d} load requests come before the next report")
def place_without_reports(context, n):
    service = context.service
    for candidate in service.pool:
        service.placement.update_load(service.now, report(candidate.upstream))
    for _ in range(n):
        choice = service.placement.choose(
            service.now, service.pool, ORDERS, "10.0.0.1"
        )
        service.choices.append((choice.upstream, ""))


@when("{n:d} more load requests come one a minute")
def run_trickle(context, n):
    context.before = len(context.service.choices)
    for _ in range(n):
        context.service.request(("u1",), "fails", 60.0)


@then("u1 gets at most {most:d} of the last 100 load requests")
def check_share(context, most):
    got = [name for name, _ in context.service.choices[-100:]].count("u1")
    assert got <= most, got


@then("u1 still gets load requests of another class")
def check_other_class(context):
    service = context.service
    names = set()
    for _ in range(40):
        service.now += 0.04
        names.add(
            service.placement.choose(
                service.now, service.pool, LOGS, "10.0.0.1"
            ).upstream
        )
    assert "u1" in names, names


@then("of the last 100 load requests u1 gets some through b1")
def check_path_ok(context):
    assert context.service.choices[-100:].count(("u1", "b1")) >= 5


@then("of the last 100 load requests u1 gets at most {most:d} through b0")
def check_path_bad(context, most):
    got = context.service.choices[-100:].count(("u1", "b0"))
    assert got <= most, got


@then("one of u0 and u1 still gets load requests")
def check_ceiling(context):
    names = [name for name, _ in context.service.choices[-100:]]
    assert names.count("u0") + names.count("u1") >= 10, names


@then("u1 gets no load request even when the others report 20 waiting")
def check_stuck(context):
    service = context.service
    for name in ("u0", "u2", "u3"):
        load = messages.Load(name, 2, 20, 2, 50.0, 2, 2000, True, 1.0, (20,))
        service.placement.update_load(service.now, load)
    choice = service.placement.choose(
        service.now, service.pool, ORDERS, "10.0.0.1"
    )
    assert choice.upstream != "u1", choice


@then('{n:d} load requests go to all 4 upstreams with the reason "panic"')
def check_panic(context, n):
    service = context.service
    choices = [
        service.placement.choose(service.now, service.pool, ORDERS, "10.0.0.1")
        for _ in range(n)
    ]
    assert {c.upstream for c in choices} == {"u0", "u1", "u2", "u3"}
    assert {c.reason for c in choices} == {"panic"}


@then("each load upstream gets 2 of them")
def check_even(context):
    names = [name for name, _ in context.service.choices]
    assert all(names.count(f"u{i}") == 2 for i in range(4)), names


@then("at most {most:d} of those load requests went to u1")
def check_few_probes(context, most):
    names = [name for name, _ in context.service.choices[context.before :]]
    assert names.count("u1") <= most, names
