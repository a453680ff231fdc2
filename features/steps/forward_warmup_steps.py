"""Balancers, agents and upstreams that exchange packets in simulated time."""

import collections
import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
import msgspec

from crocusmux.core.forward import agent
from crocusmux.core.forward import balancer
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import warmup
from features import balancer_sample
from features.steps import forward_agent_steps

# Time of a datagram between two hosts, seconds.
NETWORK_S = 0.001
SERVICE_S = 0.02
HEARTBEAT_S = 1.2
SLOTS = 4
PREFERRED_DOMAIN = "abay"


class Fleet:
    """The daemons' cores, with the packets and timers between them.

    Attributes:
        openings: Times, seconds, at which openings reach each upstream.
        refused: Keys of the flows that were reset.
        opened: Time of each flow's first opening, seconds.
        reached: Keys of the flows whose opening reached an upstream.
    """

    def __init__(self, balancer_count, per_domain):
        self.now = 0.0
        self.openings = collections.defaultdict(list)
        self.refused = set()
        self.opened = {}
        self.reached = set()
        self.hosts = {"abay": [], "enbek": []}
        self._events = []
        self._numbers = itertools.count()
        self._balancers = {}
        self._agents = {}
        self._agents_by_address = {}
        self._answered = set()
        self._loss = 0.0
        self._loss_rng = random.Random(1)
        self._without_store = set()
        # Time until which the upstreams are cold after an evacuation, seconds.
        self._cold_until = {}
        for number in range(balancer_count):
            address = (f"10.0.0.{number}", 7720)
            self._balancers[address] = self._new_balancer(address)
        for domain, hosts in self.hosts.items():
            for number in range(per_domain):
                host = f"{domain}-{number}"
                hosts.append(host)
                self._add_agent(host, domain, f"10.{len(domain)}.1.{number}")

    def _new_balancer(self, address):
        number = int(address[0].rpartition(".")[2])
        return balancer.ForwardingBalancer(
            f"edge-{number}",
            PREFERRED_DOMAIN,
            address,
            "",
            random.Random(number),
        )

    def _add_agent(self, host, domain, ip):
        record = balancer_sample.record(host, "rounds", ip, domain)
        core = agent.ForwardingAgent(host, "rounds", 7, HEARTBEAT_S)
        self._agents[host] = core
        self._agents_by_address[record.address] = host
        self._agents_by_address[record.control] = host
        for address, core in self._balancers.items():
            outs = core.add_agent(0.0, record)
            self._run_balancer(address, outs)

    def configure(self, rate):
        cfg = self._configuration(rate)
        for address, core in self._balancers.items():
            self._run_balancer(address, core.configure(cfg))

    def _configuration(self, rate):
        rates = (("rounds", rate),) if rate else ()
        return msgspec.structs.replace(
            balancer_sample.configuration(5), warmup_rates=rates
        )

    def at(self, time, action, *args):
        entry = (time, next(self._numbers), action, args)
        heapq.heappush(self._events, entry)

    def run(self, until):
        self._tick()
        while self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def _tick(self):
        for address, core in self._balancers.items():
            self._run_balancer(address, core.on_timer(self.now))
        for host, core in self._agents.items():
            self._run_agent(host, core.on_timer(self.now))
        self.at(self.now + agent.TIMER_INTERVAL_S, self._tick)

    def lose_messages(self, share):
        """Loses a share of the messages of balancers to agents."""
        self._loss = share

    def evacuate(self, domain, delay_s):
        """Balancers learn of an evacuation one after the other."""
        for number, address in enumerate(self._balancers):
            time = self.now + number * delay_s
            self.at(time, self._update, address, [domain], [], 10)

    def end_evacuation(self, domain, delay_s, cold_s):
        """The upstreams of a domain are cold as its evacuation ends."""
        for host in self.hosts[domain]:
            self._cold_until[host] = self.now + cold_s
        for number, address in enumerate(self._balancers):
            time = self.now + number * delay_s
            self.at(time, self._update, address, [], [domain], 20)

    def _update(self, address, domains, removed, revision):
        core = self._balancers[address]
        if core.evacuated.revision >= revision:
            # It has started since.
            return
        if address in self._without_store:
            return
        outs = core.update_evacuations(
            self.now, domains, removed, revision=revision
        )
        self._run_balancer(address, outs)

    def lose_store(self, number):
        """A balancer learns of no changes any more."""
        self._without_store.add(list(self._balancers)[number])

    def restart_balancers(self, rate):
        """Balancers start after the end of an evacuation, and list none."""
        for address, old in list(self._balancers.items()):
            core = self._new_balancer(address)
            self._balancers[address] = core
            core.configure(self._configuration(rate))
            core.update_evacuations(self.now, [], full=True, revision=30)
            for upstream in old.agent_table.all():
                outs = core.add_agent(self.now, upstream.record)
                self._run_balancer(address, outs)

    def restart_agents(self, domain):
        """Agents start anew; their upstreams go on."""
        for host in self.hosts[domain]:
            core = agent.ForwardingAgent(host, "rounds", 8, HEARTBEAT_S)
            core.on_timer(self.now)
            self._agents[host] = core

    def start_upstream(self, host, cold_s):
        self._beat(host, self.now, 1, cold_s)

    def _beat(self, host, born_at, sequence, cold_s):
        beat = heartbeats.Heartbeat(
            upstream=f"i-{host}",
            born_ms=int(1000 * born_at),
            sequence=sequence,
            service="rounds",
            address=("10.0.1.1", 8165),
            slots=SLOTS,
            draining=False,
            warmup_s=max(
                0.0,
                born_at + cold_s - self.now,
                self._cold_until.get(host, 0.0) - self.now,
            ),
        )
        outs = self._agents[host].on_heartbeat(self.now, beat)
        self._run_agent(host, outs)
        self.at(
            self.now + HEARTBEAT_S,
            self._beat,
            host,
            born_at,
            sequence + 1,
            cold_s,
        )

    def open_flow(self, number):
        """Opens a flow, which takes one request and ends."""
        addresses = list(self._balancers)
        address = addresses[number % len(addresses)]
        key = balancer_sample.flow_key(10_000 + number)
        self.opened[key] = self.now
        self._from_caller(key, address, opening=True, ack=0)

    def _from_caller(self, key, address, **changes):
        seg = forward_agent_steps.segment(key, **changes)
        core = self._balancers[address]
        self._run_balancer(address, core.on_segment(self.now, seg))

    def _run_balancer(self, address, outs):
        for out in outs:
            later = self.now + NETWORK_S
            if isinstance(out, outputs.ToAgent):
                seg = msgspec.structs.replace(
                    out.segment, service_tag=out.service_tag, mark=out.mark
                )
                host = self._agents_by_address[out.to]
                self.at(later, self._on_caller_segment, host, seg, address)
            elif isinstance(out, outputs.ToPeer):
                if self._loss_rng.random() < self._loss:
                    continue
                host = self._agents_by_address[out.to]
                data = msgspec.msgpack.encode(out.message)
                self.at(later, self._on_agent_message, host, data)
            elif isinstance(out, outputs.Reset):
                self.refused.add(out.key)

    def _on_caller_segment(self, host, seg, address):
        core = self._agents[host]
        outs = core.on_caller_segment(self.now, seg, address)
        self._run_agent(host, outs, address)

    def _on_agent_message(self, host, data):
        message = msgspec.msgpack.decode(data, type=reports.Message)
        if isinstance(message, reports.Subscribe):
            outs = self._agents[host].on_subscribe(self.now, message)
            self._run_agent(host, outs)

    def _run_agent(self, host, outs, address=None):
        for out in outs:
            later = self.now + NETWORK_S
            if isinstance(out, outputs.ToPeer):
                self.at(later, self._on_report, out.to, out.message)
            elif isinstance(out, outputs.ToUpstream):
                self._at_upstream(host, out.segment, address)
            elif isinstance(out, outputs.ToCaller):
                self.at(later, self._on_answer, address, out.segment)
            elif isinstance(out, outputs.Reset):
                self.refused.add(out.key)

    def _on_report(self, address, message):
        core = self._balancers[address]
        self._run_balancer(address, core.on_message(self.now, message))

    def _at_upstream(self, host, seg, address):
        key = seg.key
        if seg.opening:
            self.openings[host].append(self.now)
            self.reached.add(key)
            self._from_upstream(host, key, address, opening=True, seq=5000)
        elif seg.length:
            later = self.now + SERVICE_S
            self.at(later, self._answer, host, key, address)

    def _answer(self, host, key, address):
        self._from_upstream(host, key, address, seq=5001, length=100)

    def _from_upstream(self, host, key, address, **changes):
        seg = forward_agent_steps.segment(key, False, **changes)
        core = self._agents[host]
        outs = core.on_upstream_segment(self.now, seg)
        self._run_agent(host, outs, address)

    def _on_answer(self, address, seg):
        if seg.opening:
            self._from_caller(seg.key, address, ack=5001, length=100)
        elif seg.key not in self._answered:
            self._answered.add(seg.key)
            self._from_caller(seg.key, address, seq=1100, ack=5101, final=True)


@given(
    "{balancers:d} balancers in abay, and {count:d} upstreams each in abay and"
    " enbek"
)
def start_fleet(context, balancers, count):
    context.fleet = Fleet(balancers, count)
    for host in context.fleet.hosts["enbek"]:
        context.fleet.at(0.0, context.fleet.start_upstream, host, 0.0)


@given("a limit of {rate:g} openings a second for a cold upstream")
def limit_rate(context, rate):
    context.rate = rate
    context.fleet.configure(rate)


@when("callers open {demand:d} flows a second from {start:g} s to {end:g} s")
def open_flows(context, demand, start, end):
    context.end = end
    for number in range(int(demand * (end - start))):
        time = start + number / demand
        context.fleet.at(time, context.fleet.open_flow, number)


@when("the upstreams of abay start at {start:g} s and are cold for {cold:g} s")
def start_cold(context, start, cold):
    fleet = context.fleet
    for host in fleet.hosts["abay"]:
        fleet.at(start, fleet.start_upstream, host, cold)
    # A queued flow waits for at most a second.
    fleet.run(context.end + 1.0)


@when("abay is evacuated at {start:g} s")
def evacuate_abay(context, start):
    fleet = context.fleet
    for host in fleet.hosts["abay"]:
        fleet.at(0.0, fleet.start_upstream, host, 0.0)
    fleet.at(start, fleet.evacuate, "abay", 0.01)


@when("{share:g} of the messages to agents get lost")
def lose_messages(context, share):
    context.fleet.lose_messages(share)


@when("abay is taken back into use at {end:g} s, cold for {cold:g} s")
def take_back(context, end, cold):
    context.fleet.at(end, context.fleet.end_evacuation, "abay", 0.01, cold)


@when("{what} at {time:g} s")
def restart_at(context, what, time):
    fleet = context.fleet
    if what == "all balancers restart":
        fleet.at(time, fleet.restart_balancers, context.rate)
    elif what == "the agents of abay restart":
        fleet.at(time, fleet.restart_agents, "abay")
    elif what == "all messages to agents get lost for 0.25 s":
        fleet.at(time, fleet.lose_messages, 1.0)
        fleet.at(time + 0.25, fleet.lose_messages, 0.0)
    elif what == "one balancer of 4 loses the store":
        fleet.at(time, fleet.lose_store, 3)
    else:
        assert what == "nothing else happens", what
    fleet.run(context.end + 1.0)


def between(times, start, end):
    return [time for time in times if start <= time < end]


@then(
    "no upstream gets more than {overage:g} times the rate + {slack:d} in any"
    " second from {start:g} to {end:g} s"
)
def check_bound(context, overage, slack, start, end):
    bound = overage * context.rate + slack
    for host in context.fleet.hosts["abay"]:
        times = between(context.fleet.openings[host], start, end)
        most = max(
            sum(first <= time < first + 1.0 for time in times)
            for first in times
        )
        assert most <= bound, (host, most, bound)


@then("each upstream of abay gets openings from {start:g} to {end:g} s")
def check_used(context, start, end):
    for host in context.fleet.hosts["abay"]:
        assert between(context.fleet.openings[host], start, end), host


@then(
    "no flow is refused, and all openings from {start:g} to {end:g} s reach an"
    " upstream"
)
def check_all_reach(context, start, end):
    fleet = context.fleet
    assert not fleet.refused, len(fleet.refused)
    keys = [key for key, time in fleet.opened.items() if start <= time < end]
    lost = [key for key in keys if key not in fleet.reached]
    assert keys and not lost, (len(keys), len(lost))


@then("most openings from {start:g} to {end:g} s reach the upstreams of abay")
def check_return(context, start, end):
    counts = {
        domain: sum(
            len(between(context.fleet.openings[host], start, end))
            for host in hosts
        )
        for domain, hosts in context.fleet.hosts.items()
    }
    assert counts["abay"] > counts["enbek"], counts


@given("an agent that was told of no evacuation")
def create_news(context):
    context.now = 100.0
    context.news = warmup.EvacuationNews(1.2)


@when(
    "a balancer tells that the domain is not evacuated, at revision {number:d}"
)
def tell_not_evacuated(context, number):
    state = reports.DomainState(False, number, None)
    context.news.learn(context.now, state)


@when(
    "a balancer tells that the evacuation ended {seconds:g} s ago,"
    " at revision {number:d}"
)
def tell_end(context, seconds, number):
    state = reports.DomainState(False, number, seconds)
    context.news.learn(context.now, state)


@then(
    "a heartbeat of {seconds:g} s ago does not tell that the upstream is warm"
)
def check_may_be_cold(context, seconds):
    assert context.news.may_be_cold(context.now - seconds)
