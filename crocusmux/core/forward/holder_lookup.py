"""Lookup of the holder of one flow, in rounds of flow queries to agents."""

from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# Agents queried in the first round; new flows are placed among them.
FIRST_ROUND_AGENTS = 8
# Time to wait for replies, and between two searches.
ROUND_TIMEOUT_S = 0.06
# Limit of the exponential backoff of rounds without any denial: the queries of
# many lookups fill a link of 5 Mbit/s.
MAX_ROUND_TIMEOUT_S = 1.0
# A lookup is dropped after this time without a segment from the caller, which
# retransmits within 1.6 s.
CALLER_IDLE_S = 2.0
# Searches that all agents must deny before the flow counts as lost.
SEARCHES_UNTIL_LOST = 2
# Queued segments of a flow: as many as a caller has in flight.
MAX_QUEUED_SEGMENTS = 16


class HolderLookup:
    """The lookup of one flow's holder.

    A search first queries the agents that rank best by rendezvous hashing,
    those that report before silent ones, then all others.  An agent that
    started after its upstream is uncertain.  Its upstream is probed only after
    all other agents have denied the flow, because an upstream must not get
    many segments of flows that others hold.  Once all agents have denied the
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
    """

    __slots__ = (
        "_denied_by",
        "_failure_domain",
        "_queried",
        "_timeout_s",
        "_uncertain",
        "began_at",
        "last_segment_at",
        "probe_segment",
        "queried_at",
        "queued_segments",
        "searches",
    )

    def __init__(
        self, now: float, segment: segments.Segment, failure_domain: str
    ) -> None:
        self.probe_segment = segment
        self._failure_domain = failure_domain
        self.queued_segments: list[segments.Segment] = []
        self.queried_at = float("-inf")
        self.last_segment_at = now
        self.began_at = now
        self.searches = 0
        self._timeout_s = ROUND_TIMEOUT_S
        self._queried: set[str] = set()
        self._denied_by: set[str] = set()
        self._uncertain: set[str] = set()

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

    def caller_idle(self, now: float) -> bool:
        """Returns True if the caller no longer retransmits."""
        return now - self.last_segment_at > CALLER_IDLE_S

    def next_round(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Begins a round and returns which of the possible holders to query."""
        if self.queried_at > float("-inf"):
            self._timeout_s = min(2 * self._timeout_s, MAX_ROUND_TIMEOUT_S)
        self.queried_at = now
        agents = [x for x in agents if not x.lost(now)]
        targets = [x for x in agents if x.record.host not in self._queried]
        limited = not self._queried
        if not targets:
            # All agents were queried; query some without a reply again.
            replied = self._denied_by | self._uncertain
            targets = [x for x in agents if x.record.host not in replied]
            limited = True
        if limited and len(targets) > FIRST_ROUND_AGENTS:
            targets = self._first_round(now, targets)
        self._queried.update(x.record.host for x in targets)
        return targets

    def _first_round(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Returns the preferred agents, reporting ones before silent ones."""
        key, domain = self.probe_segment.key, self._failure_domain
        reporting = [x for x in agents if not x.silent(now)]
        first = upstreams.preferred(key, reporting, domain, FIRST_ROUND_AGENTS)
        if len(first) < FIRST_ROUND_AGENTS:
            silent = [x for x in agents if x.silent(now)]
            first += upstreams.preferred(
                key, silent, domain, FIRST_ROUND_AGENTS - len(first)
            )
        return first

    def all_replied(self, now: float, agents: list[upstreams.Upstream]) -> bool:
        """Returns True if every possible holder that reports has replied."""
        replied = self._denied_by | self._uncertain
        return all(x.record.host in replied or x.silent(now) for x in agents)

    def take_uncertain(self) -> set[str]:
        """Returns and clears the uncertain agents, to be probed now.

        Agents that do not reply to the probe are queried again.
        """
        uncertain, self._uncertain = self._uncertain, set()
        return uncertain

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

    def record_denial(self, host: str) -> bool:
        """Records a denial; returns True if all queried agents have replied."""
        self._queried.add(host)
        self._denied_by.add(host)
        self._uncertain.discard(host)
        self._timeout_s = ROUND_TIMEOUT_S
        return self._queried <= self._denied_by | self._uncertain

    def end_search_if_denied(
        self, now: float, agents: list[upstreams.Upstream]
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
            self._queried.clear()
            self._denied_by.clear()
            self._uncertain.clear()
        # The denials of the last search stay until the list has been read.
        return True
