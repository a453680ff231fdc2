"""Search for the agent that holds a flow which a balancer does not know."""

from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# Agents that are asked first; new flows are placed among them.
FIRST_ROUND_AGENTS = 8
# Time to wait for answers, and between two searches, seconds.
ROUND_TIMEOUT_S = 0.06
# Each round without any answer waits twice as long as the one before, up to
# this time, seconds: many searches at once fill a link of 5 Mbit/s.
MAX_ROUND_TIMEOUT_S = 1.0
# A search is given up after this time without a segment of the caller, which
# repeats it after 1.6 s at most.
CALLER_IDLE_S = 2.0
# Searches in which all agents must deny a flow before it counts as lost.
SEARCHES_UNTIL_LOST = 2
# Segments kept until the holder is found: what an end has in flight.
MAX_QUEUED_SEGMENTS = 16


class HolderLookup:
    """The search for one flow.

    A search asks first the agents that rank best by rendezvous hashing, those
    that report before silent ones, then all others.  An agent that started
    after its upstream is unsure; its upstream is shown a segment only after
    all agents that know have denied the flow, as an upstream must not get
    many segments of flows that others hold.  Once all have denied it, another
    search begins, as an agent may have been missed.  The flow is lost only if
    the list of agents was read after the first search began: the agent that
    holds it may be newer than the balancer's list.

    Attributes:
        probe_segment: The caller's segment that an unsure agent's upstream is
            shown; one with data if there is any, as it must be answered.
        kept: Segments that go to the holder once it is found.
        asked_at: Time of the last question, seconds.
        seen_at: Time of the caller's last segment, seconds.
        searches: Searches that all agents have denied.
        began_at: Time of the first search, seconds.
    """

    __slots__ = (
        "_denying_hosts",
        "_failure_domain",
        "_queried_hosts",
        "_round_timeout_s",
        "_uncertain_hosts",
        "began_at",
        "denied_searches",
        "last_segment_at",
        "probe_segment",
        "queried_at",
        "queued_segments",
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
        self.denied_searches = 0
        self._round_timeout_s = ROUND_TIMEOUT_S
        self._queried_hosts: set[str] = set()
        self._denying_hosts: set[str] = set()
        self._uncertain_hosts: set[str] = set()

    def queue_segment(self, now: float, segment: segments.Segment) -> None:
        """Keeps a further segment of the caller for the holder."""
        self.last_segment_at = now
        if segment.length and not self.probe_segment.length:
            self.probe_segment = segment
        self.queued_segments.append(segment)
        if len(self.queued_segments) > MAX_QUEUED_SEGMENTS:
            del self.queued_segments[0]

    def round_due(self, now: float) -> bool:
        """Returns True if the next round may be asked."""
        return now - self.queried_at >= self._round_timeout_s

    def caller_idle(self, now: float) -> bool:
        """Returns True if the caller no longer repeats its segment."""
        return now - self.last_segment_at > CALLER_IDLE_S

    def next_round(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Returns the agents to ask now.

        Args:
            now: Time in seconds.
            agents: All agents that may hold the flow.
        """
        if self.queried_at > float("-inf"):
            self._round_timeout_s = min(
                2 * self._round_timeout_s, MAX_ROUND_TIMEOUT_S
            )
        self.queried_at = now
        agents = [one for one in agents if not one.lost(now)]
        fresh = [x for x in agents if x.record.host not in self._queried_hosts]
        some = not self._queried_hosts
        if not fresh:
            # All were asked; some without an answer are asked again.
            known = self._denying_hosts | self._uncertain_hosts
            fresh = [x for x in agents if x.record.host not in known]
            some = True
        if some and len(fresh) > FIRST_ROUND_AGENTS:
            fresh = self._first_round(now, fresh)
        self._queried_hosts.update(one.record.host for one in fresh)
        return fresh

    def _first_round(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Returns the preferred agents, those that report before others."""
        key, domain = self.probe_segment.key, self._failure_domain
        heard = [one for one in agents if not one.silent(now)]
        first = upstreams.preferred_upstreams(
            key, heard, domain, FIRST_ROUND_AGENTS
        )
        if len(first) < FIRST_ROUND_AGENTS:
            silent = [one for one in agents if one.silent(now)]
            first += upstreams.preferred_upstreams(
                key, silent, domain, FIRST_ROUND_AGENTS - len(first)
            )
        return first

    def all_queried(self, now: float, agents: list[upstreams.Upstream]) -> bool:
        """Returns True if no agent is left to ask but unsure ones.

        Args:
            now: Time in seconds.
            agents: All agents that may hold the flow.
        """
        known = self._denying_hosts | self._uncertain_hosts
        return all(
            one.record.host in known or one.silent(now) for one in agents
        )

    def take_uncertain(self) -> set[str]:
        """Returns the unsure agents, whose upstreams get a segment now.

        They are asked again unless that brings an answer.
        """
        taken, self._uncertain_hosts = self._uncertain_hosts, set()
        return taken

    def record_uncertain(self, host: str) -> bool:
        """Takes the word of an agent that only its upstream can tell.

        Returns:
            True if all that were asked have answered.
        """
        if host not in self._denying_hosts:
            self._uncertain_hosts.add(host)
        return (
            self._queried_hosts <= self._denying_hosts | self._uncertain_hosts
        )

    def proves_loss(self, listed_at: float) -> bool:
        """Returns True if the denials of all agents show that it is lost.

        Args:
            listed_at: Time at which the list of agents was asked for, seconds.
        """
        return (
            self.denied_searches >= SEARCHES_UNTIL_LOST
            and listed_at >= self.began_at
        )

    def record_denial(self, host: str) -> bool:
        """Takes a denial; returns True if all that were asked have answered."""
        self._queried_hosts.add(host)
        self._denying_hosts.add(host)
        self._uncertain_hosts.discard(host)
        self._round_timeout_s = ROUND_TIMEOUT_S
        return (
            self._queried_hosts <= self._denying_hosts | self._uncertain_hosts
        )

    def end_search_if_denied(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> bool:
        """Returns True if no agent that may live can hold the flow.

        Without any denial it is False: a balancer that hears nobody may be
        the one that is cut off.  True ends a search, and the next round
        begins another one.
        """
        if not self._denying_hosts:
            return False
        for one in agents:
            if one.record.host not in self._denying_hosts and not one.lost(now):
                return False
        if self.denied_searches < SEARCHES_UNTIL_LOST:
            self.denied_searches += 1
        if self.denied_searches < SEARCHES_UNTIL_LOST:
            self._queried_hosts.clear()
            self._denying_hosts.clear()
            self._uncertain_hosts.clear()
        # The denials of the last search hold until the list has been read.
        return True
