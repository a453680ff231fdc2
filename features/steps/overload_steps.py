import copy
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from bench import overload
from crocusmux.core.forward import balancer
from crocusmux.core.forward import flow_table
from crocusmux.core.forward import openings
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import routes
from crocusmux.core.forward import upstreams
from crocusmux.platform import host_settings
from features import balancer_sample

ROUNDS = balancer_sample.ROUNDS
WHEELBOOK = ("198.18.0.2", 443)
BULK = ("198.18.0.3", 443)
ADDRESSES = {"urgent": ROUNDS, "bulk": BULK}


def configuration(version=5):
    """An urgent and a bulk route to rounds, and one to wheelbook."""
    return routes.Configuration(
        version,
        tuple(
            routes.Route(
                name, address, ((service, 1),), 4.0, 0.5, urgency, False
            )
            for name, address, service, urgency in (
                ("urgent", ROUNDS, "rounds", 0),
                ("wheelbook", WHEELBOOK, "wheelbook", 1),
                ("bulk", BULK, "rounds", 2),
            )
        ),
    )


def open_flow(context, number, address=ROUNDS, ip="100.64.0.7"):
    key = routes.encode_flow_key((ip, 20_000 + number), address)
    seg = balancer_sample.segment(key, opening=True)
    context.outs = context.core.on_segment(context.now, seg)
    context.flows.append(key)
    return key


def offered_keys(outs):
    """Returns the flows that are offered, in order."""
    return [o.segment.key for o in balancer_sample.offers(outs)]


def events(context, what):
    return [
        x
        for x in context.outs
        if isinstance(x, outputs.Event) and x.what == what
    ]


@given("a balancer with fair queueing and routes to rounds and wheelbook")
def fair_balancer(context):
    context.flows = []
    balancer_sample.start_with_agents(
        context, configuration(), fair_queueing=True
    )


@given("no agent takes new flows")
@when("no agent takes new flows")
def none_takes_flows(context):
    balancer_sample.report_all(context, "abcd", accepting=False)


@when("{count:d} callers open flows to rounds, and then one to wheelbook")
def open_flows_to_both(context, count):
    for number in range(count):
        open_flow(context, number)
    context.key = open_flow(context, count, WHEELBOOK)


@then("all these flows are queued")
def all_queued(context):
    assert all(key in context.core._placement.openings for key in context.flows)


@when("agent {host} takes new flows again")
def takes_flows_again(context, host):
    context.outs = balancer_sample.report_all(context, host)


@then("agent d is offered the flow to wheelbook")
def wheelbook_offered(context):
    assert context.key in offered_keys(context.outs), context.outs
    assert balancer_sample.offered_hosts(context) == ["d"]


@then("fair queueing is {state}")
def check_setting(context, state):
    cfg = host_settings.decode(context.settings)
    assert cfg.fair_queueing == (state == "on")


@when("all agents decline {article} {urgency} flow to rounds for now")
def all_decline(context, article, urgency, ip="100.64.0.7"):
    number = len(context.flows)
    context.queued = open_flow(context, number, ADDRESSES[urgency], ip)
    for _ in range(10):
        offered = balancer_sample.offered_hosts(context)
        if not offered:
            break
        message = reports.OpeningDeclined(
            offered[0], context.queued, reports.DECLINED_OVERLOAD
        )
        context.outs = context.core.on_message(context.now, message)
    assert context.queued in context.core._placement.openings


@when("all agents decline an urgent flow of a caller that goes last for now")
def all_decline_last(context):
    ip = next(
        ip
        for ip in CALLERS
        if openings.caller_group(
            routes.encode_flow_key((ip, 1), ROUNDS), context.now
        )
    )
    all_decline(context, "an", "urgent", ip)


@then("it is explained that a bulk flow waits-behind-others")
def bulk_waits(context):
    check_explanation(context, BULK, ("waits", "waits-behind-others"))


@then("it is explained that an urgent flow to wheelbook is placed")
def wheelbook_is_placed(context):
    check_explanation(context, WHEELBOOK, ("placed", ""))


@then("after {seconds:g} s it is explained that an urgent flow is placed")
def urgent_is_placed(context, seconds):
    context.now += seconds
    check_explanation(context, ROUNDS, ("placed", ""))


def check_explanation(context, address, expected):
    key = routes.encode_flow_key(("100.64.0.7", 30_000), address)
    (found,) = context.core.explain(context.now, key).services
    assert (found.outcome, found.reason) == expected, found


@when(
    "the agents have free slots again, and {article} {urgency} flow to rounds"
    " arrives"
)
def flow_arrives(context, article, urgency):
    context.now += 2 * upstreams.OVERLOAD_BACKOFF_S
    context.arrived = open_flow(context, len(context.flows), ADDRESSES[urgency])


@when("the agents have free slots again, and the bulk flow is retransmitted")
def bulk_retransmitted(context):
    context.now += 2 * upstreams.OVERLOAD_BACKOFF_S
    seg = balancer_sample.segment(context.flows[0], opening=True, ack=1)
    context.outs = context.core.on_segment(context.now, seg)


@then("the urgent flow is offered to an agent, and the bulk flow is queued")
def urgent_goes_first(context):
    address = {
        routes.encode_route_address(address): name
        for name, address in ADDRESSES.items()
    }
    urgent, bulk = sorted(
        context.flows, key=lambda key: address[key[6:]], reverse=True
    )
    assert offered_keys(context.outs) == [urgent], context.outs
    assert bulk in context.core._placement.openings
    assert urgent not in context.core._placement.openings


@then("no flow is logged as waiting")
def none_waits(context):
    assert not events(context, "wait")


@when("all agents are lost, and an urgent flow to rounds arrives")
def arrives_without_agents(context):
    context.core.agent_table.complete = True
    context.now += 4.5
    context.key = open_flow(context, len(context.flows))


@then("it is refused at once")
def refused_at_once(context):
    assert [x.key for x in balancer_sample.resets(context)] == [context.key]


@when(
    "requests of 2.8 times the capacity arrive for {seconds:g} s,"
    " with seed {seed:d}"
)
def surge(context, seconds, seed):
    run_case(context, "surge", seconds, seed)


def run_case(context, name, seconds, seed):
    """Runs a case of the bench with and without fair queueing."""
    case = overload.CASES[name]
    case = msgspec.structs.replace(case, duration_s=seconds)
    context.fair = overload.run(case, seed, fair_queueing=True)
    context.before = overload.run(case, seed, fair_queueing=False)


@then(
    "at least {percent:d} percent of the urgent ones meet their goal, and all"
    " are answered"
)
def urgent_in_goal(context, percent):
    assert context.fair.by_load[0] >= percent / 100, context.fair
    assert context.fair.failed[0] == 0, context.fair


@then("without fair queueing less than {percent:d} percent of them do")
def urgent_before(context, percent):
    assert context.before.by_load[0] < percent / 100, context.before


WALL_TIME = 1_000 * openings.ORDER_PERIOD_S
CALLERS = [f"100.64.1.{number}" for number in range(30)]


class Queue:
    """The queue of a balancer whose time began some seconds ago."""

    def __init__(self, started_at):
        self.started_at = started_at
        self.queue = openings.OpeningQueue(fair=True)
        self.queue.wall_offset_s = started_at

    def add(self, wall_time, ip, port, urgency=1):
        """Queues a caller's opening to rounds."""
        now = wall_time - self.started_at
        flow = flow_table.Flow(now)
        flow.service = "rounds"
        key = routes.encode_flow_key((ip, port), ROUNDS)
        route = routes.Route(
            "r", ROUNDS, (("rounds", 1),), 4.0, 0.5, urgency, False
        )
        pending = self.queue.make_pending(key, flow, route)
        assert self.queue.add(now, pending)
        return pending

    def pop_all(self, wall_time):
        """Offers and removes all flows, one at a time."""
        found = []
        while len(self.queue):
            first = self.queue.first(wall_time - self.started_at, "rounds")
            self.queue.remove(first.key)
            found.append(first)
        return found


@given(
    "the queues of {count:d} balancers with one wall clock, started at"
    " different times"
)
def queues(context, count):
    context.rng = random.Random(5)
    context.queues = [Queue(WALL_TIME - 777.7 * n) for n in range(1, count + 1)]


@when(
    "{count:d} callers open flows of one urgency at random balancers, and"
    " retry at others"
)
def callers_open_and_retry(context, count):
    context.opened = [[] for _ in context.queues]
    for attempt in range(2):
        for number, ip in enumerate(CALLERS[:count]):
            chosen = context.rng.randrange(len(context.queues))
            wall_time = WALL_TIME + attempt * 0.1 + number * 0.002
            pending = context.queues[chosen].add(
                wall_time, ip, 20_000 + attempt
            )
            context.opened[chosen].append(pending)


@then(
    "at each balancer, the flows of the same callers go first, then the others"
)
def same_groups(context):
    groups = {}
    for queue in context.queues:
        order = queue.pop_all(WALL_TIME + 0.2)
        ranks = [pending.caller_group for pending in order]
        turns = [pending.caller_turn for pending in order]
        assert list(zip(turns, ranks, strict=True)) == sorted(
            zip(turns, ranks, strict=True)
        )
        assert len(set(ranks)) == 2
        for pending in order:
            known = groups.setdefault(pending.key[:4], pending.caller_group)
            assert known == pending.caller_group
    assert len(groups) == len(CALLERS)


@then("a caller is in the same group throughout a period of {seconds:d} s")
def same_group(context, seconds):
    queue = context.queues[0]
    for number, ip in enumerate(CALLERS):
        groups = {
            queue.add(WALL_TIME + offset, ip, 20_000 + number).caller_group
            for offset in (0.0, 1.0, seconds - 0.01)
        }
        assert len(groups) == 1, groups


def first_callers(period):
    """Returns the callers that go first in a period."""
    queue = Queue(0.0)
    wall_time = WALL_TIME + period * openings.ORDER_PERIOD_S
    queued = [(ip, queue.add(wall_time, ip, 20_000)) for ip in CALLERS]
    return [ip for ip, pending in queued if pending.caller_group == 0]


@then(
    "in each of {periods:d} periods, {least:d} to {most:d} of 30 callers go first"
)
def some_go_first(context, periods, least, most):
    for period in range(periods):
        assert least <= len(first_callers(period)) <= most, period


@then(
    "each of 30 callers goes first in {least:d} to {most:d} of {periods:d} periods"
)
def each_goes_first(context, least, most, periods):
    first = [ip for period in range(periods) for ip in first_callers(period)]
    assert all(least <= first.count(ip) <= most for ip in CALLERS), first


@when(
    "urgent requests of 1.6 times the capacity arrive for {seconds:g} s, with"
    " seed {seed:d}"
)
def urgent_overload(context, seconds, seed):
    run_case(context, "urgent", seconds, seed)


@then(
    "at least {factor:g} times as many meet their goal as without fair queueing"
)
def more_in_goal(context, factor):
    before = context.before.by_load[0]
    assert context.fair.by_load[0] >= factor * before, (
        context.fair,
        context.before,
    )


@when("{seconds:g} s pass, and a caller opens a flow")
def opens_later(context, seconds):
    for queue in context.queues:
        queue.add(WALL_TIME + seconds, "100.64.2.1", 20_000)


@then("that flow goes first, and the others in the order of their openings")
def late_by_age(context):
    for queue, opened in zip(context.queues, context.opened, strict=True):
        order = queue.pop_all(WALL_TIME + 0.5)
        expected = [pending.key for pending in opened]
        assert [pending.key for pending in order[1:]] == expected


HEAVY = "100.64.9.9"


@when("a caller opens {count:d} flows, and {others:d} others open one each")
def heavy_caller_opens(context, count, others):
    (queue,) = context.queues
    for port in range(count):
        queue.add(WALL_TIME, HEAVY, 20_000 + port)
    for ip in CALLERS[:others]:
        queue.add(WALL_TIME, ip, 20_000)


@then(
    "the first {count:d} flows are of different callers, and its other"
    " {others:d} go last"
)
def heavy_caller_last(context, count, others):
    (queue,) = context.queues
    context.order = queue.pop_all(WALL_TIME + 0.1)
    callers = [pending.key[:4] for pending in context.order]
    assert len(set(callers[:count])) == count, callers
    heavy = routes.encode_route_address((HEAVY, 1))[:4]
    assert callers[count:] == others * [heavy], callers


@then("they keep their places when they are offered and declined")
def places_kept(context):
    (queue,) = context.queues
    route = routes.Route("r", ROUNDS, (("rounds", 1),), 4.0, 0.5, 1, False)
    for pending in context.order:
        again = queue.queue.make_pending(pending.key, pending.flow, route)
        now = WALL_TIME + 0.1 - queue.started_at
        assert queue.queue.add(now, again)
    order = queue.pop_all(WALL_TIME + 0.1)
    assert [x.key for x in order] == [x.key for x in context.order]


@then("flows of another urgency do not count")
def urgencies_apart(context):
    (queue,) = context.queues
    for port in range(5):
        queue.add(WALL_TIME, HEAVY, 20_000 + port, urgency=2)
    assert queue.add(WALL_TIME, HEAVY, 30_000, urgency=1).caller_turn == 0


@when(
    "one caller sends 1.2 times the capacity for {seconds:g} s beside many,"
    " with seed {seed:d}"
)
def heavy_load(context, seconds, seed):
    run_case(context, "heavy-caller", seconds, seed)


@then("at least {percent:d} percent of the others meet their goal")
def others_in_goal(context, percent):
    assert context.fair.by_load[1] >= percent / 100, context.fair


@then("without fair queueing less than {percent:d} percent of them meet it")
def others_before(context, percent):
    assert context.before.by_load[1] < percent / 100, context.before


@when(
    "{urgent:d} urgent flows of callers that go first and {bulk:d} bulk ones of"
    " such are queued"
)
def urgent_and_bulk(context, urgent, bulk):
    (queue,) = context.queues
    # One caller each: the first of them, without regard to urgency, is the one
    # with the earliest deadline of the group that goes first.
    context.added = []
    for number in range(urgent + bulk):
        ip = f"100.64.{3 + number // 200}.{number % 200}"
        urgency = 0 if number % 13 < 10 else 2
        wall_time = WALL_TIME + number * 0.0005
        context.added.append(queue.add(wall_time, ip, 20_000, urgency))
    assert sum(x.urgency == 2 for x in context.added) == bulk


@then(
    "of the flows that are offered, at least every fifth is chosen without"
    " regard to urgency"
)
def fifth_without_urgency(context):
    (queue,) = context.queues
    now = WALL_TIME + 0.1 - queue.started_at
    context.left = list(context.added)

    def first(key):
        return min(context.left, key=key)

    for number in range(1, 51):
        pending = queue.queue.first(now, "rounds")
        if number % 5:
            expected = first(lambda x: (x.urgency, x.caller_group, x.deadline))
        else:
            expected = first(lambda x: (x.caller_group, x.deadline))
        assert pending is expected, number
        context.left.remove(pending)
        queue.queue.remove(pending.key, offered=True)
    assert any(x.urgency == 2 for x in set(context.added) - set(context.left))


@then("flows that no upstream takes do not count as offered")
def not_offered(context):
    (queue,) = context.queues
    now = WALL_TIME + 0.1 - queue.started_at
    offers = [
        [pending.key for pending in queue.queue.next_offers(now)]
        for _ in range(4)
    ]
    assert len(offers[0]) == 8 == len(set(offers[0])), offers
    assert offers.count(offers[0]) == 4, offers
    for pending in context.left[:3]:
        queue.queue.remove(pending.key)
    first = queue.queue.first(now, "rounds")
    assert first.urgency == 0


@then("at least {percent:d} percent of the bulk ones meet their goal")
def bulk_in_goal(context, percent):
    assert context.fair.by_load[1] >= percent / 100, context.fair


@when("{count:d} flows were offered from the queue")
def flows_were_offered(context, count):
    queue = context.core._placement.openings._services["rounds"]
    queue._offered = count


@then("the explanation of a bulk flow agrees with its opening")
def explanation_agrees(context):
    context.now += 2 * upstreams.OVERLOAD_BACKOFF_S
    outcomes = set()
    for number in range(20):
        ip = f"100.64.4.{number}"
        twin = copy.deepcopy(context.core)
        key = routes.encode_flow_key((ip, 20_000), BULK)
        (found,) = context.core.explain(context.now, key).services
        seg = balancer_sample.segment(key, opening=True)
        outs = twin.on_segment(context.now, seg)
        placed = offered_keys(outs) == [key]
        assert placed == (found.outcome == "placed"), found
        outcomes.add(placed)
    assert outcomes == {False, True}, outcomes


@when("{seconds:g} s later {count:d} more callers open flows to rounds")
def more_open(context, seconds, count):
    context.now += seconds
    balancer_sample.report_all(context, "abcd", accepting=False)
    for number in range(count):
        open_flow(context, 100 + number)


@then(
    "the refusal is logged with {queued:d} queued flows and a wait of"
    " {wait:d} ms"
)
def refusal_logged(context, queued, wait):
    (event,) = events(context, "refuse")
    words = dict(word.split("=") for word in event.detail.split())
    assert words["reason"] == openings.REFUSED_TOO_LATE
    assert words["queued"] == str(queued), event
    assert words["waited_ms"] == str(wait), event


@given("the queue of a service takes {count:d} flows")
def small_queue(context, count):
    patcher = mock.patch.object(openings, "MAX_PENDING", count)
    patcher.start()
    context.add_cleanup(patcher.stop)


@when("retransmission {number:d} of an opening is the first packet of its flow")
def first_is_retransmission(context, number):
    key = routes.encode_flow_key(("100.64.0.7", 21_000), ROUNDS)
    seg = balancer_sample.segment(key, opening=True, ack=number)
    context.key = key
    context.outs = context.core.on_segment(context.now, seg)


@then("the flow is refused between {earliest:g} and {latest:g} s later")
def refused_between(context, earliest, latest):
    begun_at = context.now
    while not any(isinstance(x, outputs.Reset) for x in context.outs):
        assert context.now < begun_at + latest, "not refused"
        context.now += balancer.TIMER_INTERVAL_S
        context.outs = context.core.on_timer(context.now)
    waited_s = context.now - begun_at
    assert earliest <= waited_s <= latest, waited_s
