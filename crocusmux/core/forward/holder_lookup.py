"""Search for the agent that holds a flow which a balancer does not know."""

from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# Agents that are asked first; new flows are placed among them.
ASKED_FIRST = 8
# Time to wait for answers, and between two searches, seconds.
ROUND_S = 0.06
# Each round without any answer waits twice as long as the one before, up to
# this time, seconds: many searches at once fill a link of 5 Mbit/s.
ROUND_MAX_S = 1.0
# A search is given up after this time without a segment of the caller, which
# repeats it after 1.6 s at most.
IDLE_S = 2.0
# Searches in which all agents must deny a flow before it counts as lost.
SEARCHES_TO_LOSE = 2
# Segments kept until the holder is found: what an end has in flight.
MAX_KEPT = 16


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
        "_asked",
        "_denied",
        "_failure_domain",
        "_unsure",
        "_wait_s",
        "asked_at",
        "began_at",
        "kept",
        "probe_segment",
        "searches",
        "seen_at",
    )

    def __init__(
        self, now: float, segment: segments.Segment, failure_domain: str
    ) -> None:
        self.probe_segment = segment
        self._failure_domain = failure_domain
        self.kept: list[segments.Segment] = []
        self.asked_at = float("-inf")
        self.seen_at = now
        self.began_at = now
        self.searches = 0
        self._wait_s = ROUND_S
        self._asked: set[str] = set()
        self._denied: set[str] = set()
        self._unsure: set[str] = set()

    def keep(self, now: float, segment: segments.Segment) -> None:
        """Keeps a further segment of the caller for the holder."""
        self.seen_at = now
        if segment.length and not self.probe_segment.length:
            self.probe_segment = segment
        self.kept.append(segment)
        if len(self.kept) > MAX_KEPT:
            del self.kept[0]

    def due(self, now: float) -> bool:
        """Returns True if the next round may be asked."""
        return now - self.asked_at >= self._wait_s

    def idle(self, now: float) -> bool:
        """Returns True if the caller no longer repeats its segment."""
        return now - self.seen_at > IDLE_S

    def next_round(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Returns the agents to ask now.

        Args:
            now: Time in seconds.
            agents: All agents that may hold the flow.
        """
        if self.asked_at > float("-inf"):
            self._wait_s = min(2 * self._wait_s, ROUND_MAX_S)
        self.asked_at = now
        agents = [one for one in agents if not one.lost(now)]
        fresh = [x for x in agents if x.record.host not in self._asked]
        some = not self._asked
        if not fresh:
            # All were asked; some without an answer are asked again.
            known = self._denied | self._unsure
            fresh = [x for x in agents if x.record.host not in known]
            some = True
        if some and len(fresh) > ASKED_FIRST:
            fresh = self._first(now, fresh)
        self._asked.update(one.record.host for one in fresh)
        return fresh

    def _first(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Returns the preferred agents, those that report before others."""
        key, domain = self.probe_segment.key, self._failure_domain
        heard = [one for one in agents if not one.silent(now)]
        first = upstreams.preferred(key, heard, domain, ASKED_FIRST)
        if len(first) < ASKED_FIRST:
            silent = [one for one in agents if one.silent(now)]
            first += upstreams.preferred(
                key, silent, domain, ASKED_FIRST - len(first)
            )
        return first

    def all_asked(self, now: float, agents: list[upstreams.Upstream]) -> bool:
        """Returns True if no agent is left to ask but unsure ones.

        Args:
            now: Time in seconds.
            agents: All agents that may hold the flow.
        """
        known = self._denied | self._unsure
        return all(
            one.record.host in known or one.silent(now) for one in agents
        )

    def take_unsure(self) -> set[str]:
        """Returns the unsure agents, whose upstreams get a segment now.

        They are asked again unless that brings an answer.
        """
        taken, self._unsure = self._unsure, set()
        return taken

    def note_unsure(self, host: str) -> bool:
        """Takes the word of an agent that only its upstream can tell.

        Returns:
            True if all that were asked have answered.
        """
        if host not in self._denied:
            self._unsure.add(host)
        return self._asked <= self._denied | self._unsure

    def over(self, listed_at: float) -> bool:
        """Returns True if the denials of all agents show that it is lost.

        Args:
            listed_at: Time at which the list of agents was asked for, seconds.
        """
        return self.searches >= SEARCHES_TO_LOSE and listed_at >= self.began_at

    def deny(self, host: str) -> bool:
        """Takes a denial; returns True if all that were asked have answered."""
        self._asked.add(host)
        self._denied.add(host)
        self._unsure.discard(host)
        self._wait_s = ROUND_S
        return self._asked <= self._denied | self._unsure

    def denied_by_all(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> bool:
        """Returns True if no agent that may live can hold the flow.

        Without any denial it is False: a balancer that hears nobody may be
        the one that is cut off.  True ends a search, and the next round
        begins another one.
        """
        if not self._denied:
            return False
        for one in agents:
            if one.record.host not in self._denied and not one.lost(now):
                return False
        if self.searches < SEARCHES_TO_LOSE:
            self.searches += 1
        if self.searches < SEARCHES_TO_LOSE:
            self._asked.clear()
            self._denied.clear()
            self._unsure.clear()
        # The denials of the last search hold until the list has been read.
        return True
