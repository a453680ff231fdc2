"""Stand-ins for agents and callers of one balancer core, in virtual time."""

import math

import msgspec

from crocusmux.core.forward import balancer
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from features import balancer_sample

# A caller's retransmissions (source: the platform's protocol).
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6


class Agent:
    """An agent and its upstream.

    Attributes:
        running: False while nothing is sent or received.
        incarnation: Number of the agent's incarnation.
        interval_s: Interval of its reports, seconds.
        subscribed: True if the agent knows the balancer.
        uncertain: True if it does not know which flows its upstream holds.
        held: Keys of the flows that the upstream holds.
        returned: Keys of the flows that the upstream has returned.
        received: Times at which segments reached the upstream, by flow key.
        hangs: True if the upstream does not return segments of unknown flows.
        next_report_at: Time of the next report, seconds.
    """

    __slots__ = (
        "hangs",
        "held",
        "incarnation",
        "interval_s",
        "next_report_at",
        "received",
        "returned",
        "running",
        "subscribed",
        "uncertain",
    )

    def __init__(self, interval_s: float) -> None:
        self.running = True
        self.incarnation = 1
        self.interval_s = interval_s
        self.subscribed = True
        self.uncertain = False
        self.held: set[bytes] = set()
        self.returned: set[bytes] = set()
        self.received: dict[bytes, list[float]] = {}
        self.hangs = False
        self.next_report_at = 0.0

    def restart(self) -> None:
        """Starts a new incarnation, which knows neither flows nor balancers."""
        self.running = True
        self.incarnation += 1
        self.subscribed = False
        self.uncertain = True
        self.returned.clear()


class Caller:
    """A caller that sends data on an open flow until it gets an answer.

    Attributes:
        sent_at: Time of the first segment, seconds.
        ended: What ended the wait: "reset", "answer" or nothing yet.
        ended_at: Time at which it ended, seconds; infinite before.
    """

    __slots__ = ("ended", "ended_at", "next_at", "sent_at", "wait_s")

    def __init__(self, now: float) -> None:
        self.sent_at = self.next_at = now
        self.wait_s = RETRANSMIT_S
        self.ended = ""
        self.ended_at = math.inf


class Fleet:
    """Agents and callers around a balancer core; messages take no time.

    Attributes:
        now: Virtual time, seconds.
        agents: Agents by host.
        callers: Callers by flow key.
        requests: Times at which each host was asked to report at once.
        lists: Times at which the list of agents was read.
        events: All events of the balancer.
        connected: Hosts that exchange messages with the balancer; None for all.
        suspended: True while the balancer does nothing.
    """

    def __init__(self, core: balancer.ForwardingBalancer, now: float) -> None:
        self.core = core
        self.now = now
        self.agents: dict[str, Agent] = {}
        self.callers: dict[bytes, Caller] = {}
        self.requests: dict[str, list[float]] = {}
        self.lists: list[float] = []
        self.events: list[outputs.Event] = []
        self.connected: set[str] | None = None
        self.suspended = False
        self._sequence = 1_000

    def add(self, host: str, number: int, interval_s: float) -> None:
        """Adds an agent of rounds that has reported once."""
        record = balancer_sample.record(host, "rounds", f"10.0.1.{number}")
        record = msgspec.structs.replace(record, incarnation=1)
        self.agents[host] = Agent(interval_s)
        self.core.add_agent(self.now, record, revision=10)
        self._report(host)

    def call(self, key: bytes) -> None:
        """Lets a caller send on an open flow from now on."""
        self.callers[key] = Caller(self.now)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += balancer.TIMER_INTERVAL_S
            self._run_callers()
            for host, agent in self.agents.items():
                due = agent.subscribed and self.now >= agent.next_report_at
                if agent.running and due:
                    self._report(host)
            if not self.suspended:
                self.execute(self.core.on_timer(self.now))

    def skip(self, seconds: float) -> None:
        """Lets time pass in which the balancer is suspended."""
        self.suspended = True
        self.run(seconds)
        self.suspended = False

    def execute(self, outs: list[outputs.Output]) -> None:
        """Carries out what the balancer does."""
        for out in outs:
            if isinstance(out, outputs.ToPeer):
                self._receive_message(out)
            elif isinstance(out, outputs.ToAgent):
                self._receive_segment(out)
            elif isinstance(out, outputs.ListAgents):
                self.lists.append(self.now)
                self.core.agent_table.record_list(self.now)
            elif isinstance(out, outputs.Event):
                self.events.append(out)
            elif isinstance(out, outputs.Reset):
                self._end(out.key, "reset")

    def _run_callers(self) -> None:
        for key, caller in self.callers.items():
            if caller.ended or self.now < caller.next_at or self.suspended:
                continue
            if caller.wait_s == RETRANSMIT_S:
                caller.sent_at = self.now
            caller.next_at = self.now + caller.wait_s
            caller.wait_s = min(2 * caller.wait_s, MAX_RETRANSMIT_S)
            seg = balancer_sample.segment(key, ack=77_000, length=100)
            self.execute(self.core.on_segment(self.now, seg))

    def _end(self, key: bytes, what: str) -> None:
        caller = self.callers.get(key)
        if caller is not None and not caller.ended:
            caller.ended = what
            caller.ended_at = self.now

    def _send(self, host: str, message: reports.Message) -> None:
        """Delivers an agent's message, unless the balancer cannot get it."""
        if self.suspended:
            return
        if self.connected is None or host in self.connected:
            self.execute(self.core.on_message(self.now, message))

    def _report(self, host: str) -> None:
        agent = self.agents[host]
        agent.next_report_at = self.now + agent.interval_s
        self._sequence += 1
        report = balancer_sample.load_report(
            host,
            sequence=self._sequence,
            incarnation=agent.incarnation,
            interval_s=agent.interval_s,
        )
        self._send(host, report)

    def _receive_message(self, out: outputs.ToPeer) -> None:
        number = int(out.to[0].rpartition(".")[2])
        host = next(
            host
            for position, host in enumerate(self.agents, 1)
            if position == number
        )
        message = out.message
        if isinstance(message, reports.Subscribe) and message.report_now:
            self.requests.setdefault(host, []).append(self.now)
        agent = self.agents[host]
        if not agent.running or (
            self.connected is not None and host not in self.connected
        ):
            return
        if isinstance(message, reports.Subscribe):
            added, agent.subscribed = not agent.subscribed, True
            if added or message.report_now:
                self._report(host)
        elif isinstance(message, reports.FlowQuery):
            self._reply(host, message)

    def _reply(self, host: str, query: reports.FlowQuery) -> None:
        agent = self.agents[host]
        claimed = uncertain = 0
        for position, (key, _) in enumerate(query.flows):
            if agent.uncertain:
                uncertain |= (key not in agent.returned) << position
            elif key in agent.held:
                claimed |= 1 << position
        reply = reports.FlowQueryReply(host, query.number, claimed, uncertain)
        self._send(host, reply)

    def _receive_segment(self, out: outputs.ToAgent) -> None:
        (host,) = [
            name
            for number, name in enumerate(self.agents, 1)
            if out.to[0] == f"10.0.1.{number}"
        ]
        agent = self.agents[host]
        if not agent.running or (
            self.connected is not None and host not in self.connected
        ):
            return
        key = out.segment.key
        if not agent.uncertain and key not in agent.held:
            self._send(host, reports.FlowDenied(host, key))
            return
        agent.received.setdefault(key, []).append(self.now)
        if key in agent.held:
            self._end(key, "answer")
            if out.mark == segments.MARK_PROBE:
                self._send(host, reports.FlowClaimed(host, key))
        elif not agent.hangs:
            agent.returned.add(key)
            self._send(host, reports.FlowDenied(host, key))
