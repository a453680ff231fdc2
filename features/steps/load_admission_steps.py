import random

from behave import given
from behave import then
from behave import when

from crocusmux import objects
from crocusmux.core.load import admission
from crocusmux.core.load import capacity
from crocusmux.core.load import shedding

CLASSES = (
    objects.WorkClass(name="feeds", kind="long", urgency=1),
    objects.WorkClass(
        name="orders", kind="request", urgency=0, reserve_share=0.25
    ),
    objects.WorkClass(name="logs", kind="bulk", urgency=2, min_share=0.05),
)
SERVICE_S = 0.05


class Upstream:
    """An admission whose running work ends after a fixed time."""

    def __init__(self, classes=CLASSES):
        self.now = 1000.0
        self.admission = admission.Admission("u", 4, 100, random.Random(3))
        self.admission.configure(self.now, classes)
        self.count = 0
        self.running = {}  # end time by flow
        self.starts = []  # (time, flow)
        self.slot_time = {}  # by class, seconds
        self.service_s = SERVICE_S
        self.callers = {}  # by flow

    def offer(self, name, caller="10.0.0.1", deadline=0.0):
        self.count += 1
        flow = b"%s/%d" % (name.encode(), self.count)
        self.callers[flow] = caller
        verdict = self.admission.offer(
            self.now, admission.Request(flow, name, caller, deadline)
        )
        if verdict.action == admission.RUN and name != "feeds":
            self.start(flow)
        return verdict

    def start(self, flow):
        self.starts.append((self.now, flow))
        self.running[flow] = self.now + self.service_s

    def step(self, seconds):
        self.now += seconds
        for flow, end in sorted(self.running.items()):
            if end <= self.now + 1e-9:
                del self.running[flow]
                name = flow.split(b"/")[0].decode()
                self.slot_time[name] = (
                    self.slot_time.get(name, 0.0) + self.service_s
                )
                for started in self.admission.finish(self.now, flow):
                    self.start(started)
        self.admission.on_timer(self.now)
        for started in self.admission.start_waiting(self.now):
            self.start(started)

    def first_start(self):
        before = len(self.starts)
        while len(self.starts) == before:
            self.step(0.01)
        return self.starts[before][1]


@given("a load upstream with 4 slots")
def make_upstream(context):
    context.upstream = Upstream()


@given('a load class with the discipline "{discipline}"')
def make_discipline(context, discipline):
    context.upstream = Upstream(
        (
            objects.WorkClass(
                name="work", kind="request", queue_discipline=discipline
            ),
        )
    )


@when('{n:d} load "{name}" are offered')
def offer_some(context, n, name):
    for i in range(n):
        context.upstream.offer(name, f"10.0.1.{i}")


@when('{n:d} load "{name}" of one caller are offered')
def offer_one_caller(context, n, name):
    for _ in range(n):
        context.upstream.offer(name, "10.0.0.1")


@when('a load "{name}" of another caller is offered')
def offer_other(context, name):
    context.upstream.offer(name, "10.0.0.2")


@when('load "orders" flood it for {seconds:d} s with {n:d} "logs" waiting')
def flood(context, seconds, n):
    upstream = context.upstream
    for _ in range(int(seconds / 0.01)):
        for i in range(2):
            upstream.offer("orders", f"10.0.1.{i}")
        for i in range(n):
            upstream.offer("logs", f"10.0.2.{i}")
        upstream.step(0.01)


@when('load "orders" that take 2 s keep it full')
def keep_full(context):
    upstream = context.upstream
    upstream.service_s = 2.0
    for _ in range(400):
        upstream.offer("orders")
        upstream.step(0.05)


@when('it warms up for {seconds:d} s under a flood of load "orders"')
def warm_up(context, seconds):
    upstream = context.upstream
    upstream.service_s = 0.3
    upstream.admission.warm_up(upstream.now, float(seconds))
    for _ in range(int(seconds / 0.01) - 1):
        upstream.offer("orders")
        upstream.step(0.01)


@when('a load "logs" comes each minute for {n:d} minutes')
def trickle(context, n):
    context.verdicts = []
    for _ in range(n):
        context.verdicts.append(context.upstream.offer("logs").action)
        context.upstream.step(60.0)


@when("three load requests wait")
def three_wait(context):
    upstream = context.upstream
    for _ in range(4):
        upstream.offer("work", "10.0.0.9")
    upstream.names = {}
    for name, deadline in (("a", 30.0), ("b", 10.0), ("c", 20.0)):
        upstream.offer("work", "10.0.0.1", upstream.now + deadline)
        upstream.names[b"work/%d" % upstream.count] = name


@then("{n:d} load requests run")
def check_running(context, n):
    assert len(context.upstream.running) == n, context.upstream.running


@then('a load "{name}" runs at once')
def check_runs(context, name):
    verdict = context.upstream.offer(name, "10.0.3.1")
    assert verdict.action == admission.RUN, verdict


@then('load "logs" got from {low:g} to {high:g} of the slot time')
def check_slot_time(context, low, high):
    share = context.upstream.slot_time["logs"] / sum(
        context.upstream.slot_time.values()
    )
    assert low <= share <= high, share


@then('the next load request that starts is one of "{name}"')
def check_next_class(context, name):
    assert context.upstream.first_start().startswith(name.encode())


@then('a load "orders" with a deadline of {s:g} s is refused for "{reason}"')
def check_refused(context, s, reason):
    upstream = context.upstream
    context.verdict = upstream.offer("orders", "10.0.0.5", upstream.now + s)
    assert context.verdict.action == admission.REFUSE, context.verdict
    assert context.verdict.reason == reason, context.verdict


@then("the refusal carries a time to retry")
def check_retry(context):
    assert context.verdict.retry_ms > 0, context.verdict


@then('a load "feeds" of another caller runs')
def check_other_feed(context):
    verdict = context.upstream.offer("feeds", "10.0.0.2")
    assert verdict.action == admission.RUN, verdict


@then('no more load "feeds" of the first caller run')
def check_no_feed(context):
    verdict = context.upstream.offer("feeds", "10.0.0.1")
    assert verdict.reason == "caller-connections", verdict


@then("the next load request that starts is of that other caller")
def check_next_caller(context):
    assert (
        context.upstream.callers[context.upstream.first_start()] == "10.0.0.2"
    )


@then("at each start it used no more slot time than the warm-up allows")
def check_warm_up(context):
    upstream = context.upstream
    assert len(upstream.starts) > 50, len(upstream.starts)
    for now, _ in upstream.starts:
        age = now - 1000.0
        share = (capacity.WARM_UP_FLOOR + capacity.warm_up_share(age, 20.0)) / 2
        used = sum(min(0.3, now - at) for at, _ in upstream.starts if at < now)
        assert used <= share * 4 * age + 1e-6, (age, used)


@then("each of them ran at once")
def check_trickle(context):
    assert set(context.verdicts) == {admission.RUN}, context.verdicts


@then('the load request "{first}" starts first')
def check_first(context, first):
    assert context.upstream.names[context.upstream.first_start()] == first


class Balancer:
    """A shedder in front of holders that accept a fixed rate of logs."""

    def __init__(self, rate):
        self.now = 1000.0
        self.rate = rate
        self.tokens = 0.0
        self.shedder = shedding.Shedder(random.Random(5))
        self.sent = []  # (time, class, caller)
        self.shed = []

    def request(self, name, caller=""):
        urgency = 0 if name == "orders" else 2
        args = (self.now, 1, name, urgency)
        if not self.shedder.admit(*args, caller):
            self.shed.append((self.now, name, caller))
            return
        self.sent.append((self.now, name, caller))
        refused = name == "logs" and self.tokens < 1.0
        if name == "logs" and not refused:
            self.tokens -= 1.0
        self.shedder.on_result(*args, refused, 20)

    def run(self, seconds, rates):
        for tick in range(int(seconds * 1000)):
            self.now += 0.001
            self.tokens = min(self.tokens + self.rate * 0.001, 5.0)
            for (name, caller), rate in rates.items():
                before = int(tick * rate / 1000)
                for _ in range(int((tick + 1) * rate / 1000) - before):
                    self.request(name, caller)


@given('a load shedder whose holders accept {rate:d} "logs" a second')
def make_edge(context, rate):
    context.balancer = Balancer(rate)


@when('{a:d} load "logs" and {b:d} "orders" a second come for {s:d} s')
def run_edge(context, a, b, s):
    context.balancer.run(s, {("logs", ""): a, ("orders", ""): b})


@when('one load "logs" comes each minute for an hour')
def run_edge_trickle(context):
    for _ in range(60):
        context.balancer.now += 60.0
        context.balancer.request("logs")


@when('one caller sends {a:d} load "logs" a second and another {b:d}')
def run_edge_callers(context, a, b):
    context.balancer.run(10, {("logs", "heavy"): a, ("logs", "light"): b})


@then('no load "{name}" are shed')
def check_none_shed(context, name):
    assert not [s for s in context.balancer.shed if s[1] == name]


@then('from {low:d} to {high:d} load "logs" a second are sent on')
def check_sent(context, low, high):
    times = [t for t, name, _ in context.balancer.sent if name == "logs"]
    rate = sum(t > 1002.0 for t in times) / 8
    assert low <= rate <= high, rate


@then('each second sends from {low:d} to {high:d} load "logs" on')
def check_steady(context, low, high):
    times = [t for t, name, _ in context.balancer.sent if name == "logs"]
    for second in range(2, 10):
        rate = sum(second < t - 1000.0 <= second + 1 for t in times)
        assert low <= rate <= high, (second, rate)


@then('no load "logs" are shed in the last 2 s')
def check_recovered(context):
    late = [
        s for s in context.balancer.shed if s[0] > context.balancer.now - 2.0
    ]
    assert not late, len(late)


@then('all of the load "logs" are sent on')
def check_all_sent(context):
    assert len(context.balancer.sent) == 60 and not context.balancer.shed


@then('at least {share:g} of the other caller\'s load "logs" are sent on')
def check_fair(context, share):
    sent = sum(s[2] == "light" for s in context.balancer.sent)
    shed = sum(s[2] == "light" for s in context.balancer.shed)
    assert sent / (sent + shed) >= share, (sent, shed)
