"""Lookup of the holder of one flow, in rounds of flow queries to agents."""

from collections.abc import Callable, Iterable

from crocusmux.core.forward import agent_table
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# Agents queried in the first round; new flows are placed among them.
FIRST_ROUND_AGENTS = 8
# Agents of each failure domain queried in the second and in the third round.
# The holder is one of them if a balancer of another domain placed the flow, or
# if agents have joined, left or returned since.
DOMAIN_ROUND_AGENTS = (8, 32)
FIRST_ROUND = 1
# Time to wait for replies, and between two searches.
ROUND_TIMEOUT_S = 0.06
# Limit of the exponential backoff of rounds without any denial: the queries of
# many lookups fill a link of 5 Mbit/s.
MAX_ROUND_TIMEOUT_S = 1.0
# A lookup is dropped after this time without a segment from the caller, which
# retransmits within 1.6 s.
CALLER_IDLE_S = 2.0
# Uncertain agents are probed this long after the last new agents were queried,
# although some have not replied, and this often it is checked whether they may.
EARLY_PROBE_S = upstreams.QUERY_TIMEOUT_S
# Limit of the probes of one upstream in PROBE_PERIOD_S: it must not get three
# segments of a flow of which the holder, which may restart, gets none.
MAX_PROBES = 2
PROBE_PERIOD_S = 2.0
# An early probe is repeated once after this time, as it may get lost.
EARLY_PROBE_RETRY_S = 1.0
# Searches that all agents must deny before the flow counts as lost.
SEARCHES_UNTIL_LOST = 2
# Queued segments of a flow: as many as a caller has in flight.
MAX_QUEUED_SEGMENTS = 16


class HolderLookup:
    """The lookup of one flow's holder.

    A search first queries the agents that the flow prefers by consistent
    hashing, among those that report, then those that it prefers in each failure
    domain, then all others: the queries for a flow that some agent holds do not
    grow with the number of agents.  An agent that
    started after its upstream is uncertain.  Its upstream is probed after all
    other agents have denied the flow, because an upstream must not get many
    segments of flows that others hold.  Agents that do not reply are waited for
    only a short time: all uncertain agents then get one early probe, and those
    that reply later get it with their reply.  Once all agents have denied the
    flow, a second search begins, as an agent may have been missed.  The flow
    is lost only if the list of agents was read after the first search began:
    the holder may be newer than the balancer's list.

    Attributes:
        probe_segment: The caller's segment for probes; one with data if there
            is any, because an upstream must answer data.
        queued_segments: Segments to send to the holder once it is known.
        queried_at: Time at which the last round began, seconds.
        last_segment_at: Time of the caller's last segment, seconds.
        searches: Searches that all agents have denied.
        began_at: Time at which the lookup began, seconds.
        all_services: True once agents of all services are queried, as nobody
            knows the former services of the flow's route.
    """

    __slots__ = (
        "_denied_by",
        "_early_check_at",
        "_probed_at",
        "_probes_early",
        "_queried",
        "_rounds",
        "_timeout_s",
        "_uncertain",
        "all_services",
        "began_at",
        "last_segment_at",
        "probe_segment",
        "queried_at",
        "queued_segments",
        "searches",
    )

    def __init__(self, now: float, segment: segments.Segment) -> None:
        self.probe_segment = segment
        self.queued_segments: list[segments.Segment] = []
        self.queried_at = float("-inf")
        self.last_segment_at = now
        self.began_at = now
        self.all_services = False
        self.searches = 0
        self._rounds = 0
        self._timeout_s = ROUND_TIMEOUT_S
        self._queried: set[str] = set()
        self._denied_by: set[str] = set()
        self._uncertain: set[str] = set()
        self._early_check_at = float("inf")
        self._probes_early = False
        # Times of the last probes of each agent, seconds.
        self._probed_at: dict[str, list[float]] = {}

    def queue_segment(self, now: float, segment: segments.Segment) -> None:
        """Queues a segment of the caller until the holder is known."""
        self.last_segment_at = now
        if segment.length and not self.probe_segment.length:
            self.probe_segment = segment
        self.queued_segments.append(segment)
        if len(self.queued_segments) > MAX_QUEUED_SEGMENTS:
            del self.queued_segments[0]

    def round_due(self, now: float) -> bool:
        """Returns True if the next round may begin."""
        return now - self.queried_at >= self._timeout_s

    def reset_backoff(self) -> None:
        """Ends the backoff of rounds without a reply."""
        self._timeout_s = ROUND_TIMEOUT_S

    def between_searches(self) -> bool:
        """Returns True if all agents denied the first search."""
        return self.searches > 0 and self._rounds == 0

    def stalled(
        self,
        now: float,
        get_agent: Callable[[str], upstreams.Upstream | None],
    ) -> bool:
        """Returns True if only agents that do not reply hold up a round.

        False once all agents have been queried.

        Args:
            now: Time in seconds.
            get_agent: Returns the agent of a host; None if it is unknown.
        """
        if self._rounds > FIRST_ROUND + len(DOMAIN_ROUND_AGENTS):
            return False
        awaited = self._queried - self._denied_by - self._uncertain
        agents = map(get_agent, awaited)
        return not any(x and x.replying(now) for x in agents)

    def caller_idle(self, now: float) -> bool:
        """Returns True if the caller no longer retransmits."""
        return now - self.last_segment_at > CALLER_IDLE_S

    def next_round(
        self, now: float, agents: agent_table.ServiceAgents, query_all: bool
    ) -> list[upstreams.Upstream]:
        """Begins a round and returns which of the possible holders to query.

        Args:
            now: Time in seconds.
            agents: The possible holders.
            query_all: True to query all of them at once.
        """
        is_first = self.queried_at == float("-inf")
        self.queried_at = now
        self._rounds += 1
        targets = self._next_targets(now, agents, query_all)
        # Without queries the lookup waits for a new list, not for replies.
        if targets and not is_first:
            self._timeout_s = min(2 * self._timeout_s, MAX_ROUND_TIMEOUT_S)
        hosts = {x.record.host for x in targets}
        if not hosts <= self._queried:
            self._early_check_at = now + EARLY_PROBE_S
        self._queried |= hosts
        return targets

    def begin_with(self, now: float, agents: list[upstreams.Upstream]) -> None:
        """Records that the given agents are probed as the first round."""
        self.queried_at = now
        self._rounds = FIRST_ROUND
        self._queried.update(x.record.host for x in agents)
        for upstream in agents:
            self.record_probe(now, upstream.record.host)

    def _next_targets(
        self, now: float, agents: agent_table.ServiceAgents, query_all: bool
    ) -> list[upstreams.Upstream]:
        key = self.probe_segment.key

        def new(upstream: upstreams.Upstream) -> bool:
            host = upstream.record.host
            return host not in self._queried and not upstream.lost(now)

        def new_and_replying(upstream: upstreams.Upstream) -> bool:
            return new(upstream) and upstream.replying(now)

        def new_and_reporting(upstream: upstreams.Upstream) -> bool:
            return new_and_replying(upstream) and not upstream.silent(now)

        targets: list[upstreams.Upstream] = []
        if query_all:
            targets = [x for x in agents if new(x)]
        elif self._rounds == FIRST_ROUND:
            targets = agents.preferred(
                key, new_and_reporting, FIRST_ROUND_AGENTS
            )
        elif self._rounds <= FIRST_ROUND + len(DOMAIN_ROUND_AGENTS):
            count = DOMAIN_ROUND_AGENTS[self._rounds - FIRST_ROUND - 1]
            targets = agents.preferred_in_each_domain(
                key, new_and_replying, count
            )
        return (
            targets
            or [x for x in agents if new(x)]
            or self._without_reply(now, agents)
        )

    def _without_reply(
        self, now: float, agents: agent_table.ServiceAgents
    ) -> list[upstreams.Upstream]:
        """Returns some agents to query again, other ones in each round."""
        replied = self._denied_by | self._uncertain
        targets = [
            x
            for x in agents
            if x.record.host not in replied and not x.lost(now)
        ]
        if len(targets) <= FIRST_ROUND_AGENTS:
            return targets
        start = self._rounds * FIRST_ROUND_AGENTS % len(targets)
        return (targets + targets)[start : start + FIRST_ROUND_AGENTS]

    def all_replied(
        self, now: float, agents: agent_table.ServiceAgents
    ) -> bool:
        """Returns True if every possible holder that reports has replied."""
        replied = self._denied_by | self._uncertain
        return all(x.record.host in replied or x.silent(now) for x in agents)

    def early_probes_due(
        self, now: float, agents: Callable[[], Iterable[upstreams.Upstream]]
    ) -> bool:
        """Returns True if uncertain agents may get their early probe.

        That is, if all agents have been queried, and all that reply have
        replied.  Checked once in ``EARLY_PROBE_S``, as it takes a scan.

        Args:
            now: Time in seconds.
            agents: Returns the possible holders.
        """
        if self._probes_early or now < self._early_check_at:
            return False
        if not self._uncertain:
            return False
        self._early_check_at = now + EARLY_PROBE_S
        replied = self._denied_by | self._uncertain
        self._probes_early = all(
            x.record.host in replied
            or x.silent(now)
            or (x.record.host in self._queried and not x.replying(now))
            for x in agents()
        )
        return self._probes_early

    def take_early(self, now: float) -> set[str]:
        """Returns the uncertain agents that get their early probe now."""
        if not self._probes_early:
            return set()
        return self._take(
            now,
            {
                host
                for host in self._uncertain
                if self._may_probe_early(now, host)
            },
        )

    def take_uncertain(self, now: float) -> set[str]:
        """Returns the uncertain agents that may be probed now.

        They are no longer uncertain, and are queried again if they do not reply
        to the probe.  Agents with MAX_PROBES probes in PROBE_PERIOD_S stay
        uncertain.
        """
        return self._take(
            now,
            {host for host in self._uncertain if self._may_probe(now, host)},
        )

    def _may_probe(self, now: float, host: str) -> bool:
        times = self._probed_at.get(host, [])
        return len(times) < MAX_PROBES or now - times[0] >= PROBE_PERIOD_S

    def _may_probe_early(self, now: float, host: str) -> bool:
        times = self._probed_at.get(host, [])
        return not times or (
            len(times) < MAX_PROBES and now - times[-1] >= EARLY_PROBE_RETRY_S
        )

    def _take(self, now: float, hosts: set[str]) -> set[str]:
        self._uncertain -= hosts
        for host in hosts:
            self.record_probe(now, host)
        return hosts

    def record_probe(self, now: float, host: str) -> None:
        """Records that an agent's upstream is probed."""
        times = self._probed_at.setdefault(host, [])
        times.append(now)
        del times[:-MAX_PROBES]

    def record_uncertain(self, host: str) -> bool:
        """Records that an agent cannot tell whether its upstream has the flow.

        Returns:
            True if all queried agents have replied.
        """
        if host not in self._denied_by:
            self._uncertain.add(host)
        return self._queried <= self._denied_by | self._uncertain

    def proves_loss(self, listed_at: float) -> bool:
        """Returns True if the denials of all agents prove the flow lost.

        Args:
            listed_at: Time of the request for the newest list, seconds.
        """
        return (
            self.searches >= SEARCHES_UNTIL_LOST and listed_at >= self.began_at
        )

    def awaits(self, host: str) -> bool:
        """Returns True if an agent was queried and has not denied the flow."""
        return host in self._queried and host not in self._denied_by

    def record_denial(self, host: str) -> bool:
        """Records a denial; returns True if all queried agents have replied."""
        self._queried.add(host)
        self._denied_by.add(host)
        self._uncertain.discard(host)
        self._timeout_s = ROUND_TIMEOUT_S
        return self._queried <= self._denied_by | self._uncertain

    def end_search_if_denied(
        self, now: float, agents: agent_table.ServiceAgents
    ) -> bool:
        """Ends the search if all agents that are not lost denied the flow.

        A search without any denial goes on: the balancer itself may be cut off.
        Returns True if the search ended; the next round begins another one.
        """
        if not self._denied_by:
            return False
        for agent in agents:
            if agent.record.host not in self._denied_by and not agent.lost(now):
                return False
        if self.searches < SEARCHES_UNTIL_LOST:
            self.searches += 1
        if self.searches < SEARCHES_UNTIL_LOST:
            self._rounds = 0
            # Early probes stay allowed, as it is known which agents do not reply.
            self._queried.clear()
            self._denied_by.clear()
            self._uncertain.clear()
        # The denials of the last search stay until the list has been read.
        return True
