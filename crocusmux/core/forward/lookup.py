"""Search for the agent that holds a flow which a balancer does not know."""

from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# Agents that are asked at once.
ASKED_AT_ONCE = 8
# Time to wait for answers, and between two searches, seconds: longer than the
# store's watch takes to show an agent that has just started.
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


class Lookup:
    """The search for one flow.

    A search asks the agents of the service until one claims the flow, those
    that report first, in the order of rendezvous hashing.  Once all have
    denied it, another search begins, as an agent may have been missed.

    Attributes:
        question: The caller's segment that goes with each question.
        kept: Segments that go to the holder once it is found.
        asked_at: Time of the last question, seconds.
        seen_at: Time of the caller's last segment, seconds.
        searches: Searches that all agents have denied.
    """

    __slots__ = (
        "_asked",
        "_denied",
        "_wait_s",
        "asked_at",
        "kept",
        "question",
        "searches",
        "seen_at",
    )

    def __init__(self, now: float, segment: segments.Segment) -> None:
        self.question = segment
        self.kept: list[segments.Segment] = []
        self.asked_at = float("-inf")
        self.seen_at = now
        self.searches = 0
        self._wait_s = ROUND_S
        self._asked: set[str] = set()
        self._denied: set[str] = set()

    def keep(self, now: float, segment: segments.Segment) -> None:
        """Keeps a further segment of the caller for the holder."""
        self.seen_at = now
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
        if not fresh:
            # All were asked; those without an answer are asked again.
            fresh = [x for x in agents if x.record.host not in self._denied]
        if len(fresh) > ASKED_AT_ONCE:
            fresh = upstreams.ranked(self.question.key, fresh)
            fresh.sort(key=lambda one: one.silent(now))
            fresh = fresh[:ASKED_AT_ONCE]
        self._asked.update(one.record.host for one in fresh)
        return fresh

    def over(self) -> bool:
        """Returns True after enough searches that all agents denied."""
        return self.searches >= SEARCHES_TO_LOSE

    def deny(self, host: str) -> bool:
        """Takes a denial; returns True if all that were asked have denied."""
        self._asked.add(host)
        self._denied.add(host)
        self._wait_s = ROUND_S
        return self._asked <= self._denied

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
        self.searches += 1
        self._asked.clear()
        self._denied.clear()
        return True
