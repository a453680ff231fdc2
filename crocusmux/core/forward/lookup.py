"""Search for the agent that holds a flow which a balancer does not know."""

from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

# Agents that are asked at once.
ASKED_AT_ONCE = 8
# Time to wait for answers, and between two searches, seconds: longer than the
# store's watch takes to show an agent that has just started.
ROUND_S = 0.06
# Rounds without a new segment of the caller, which repeats it after 0.2 s.
MAX_ROUNDS = 12
# Searches in which all agents must deny a flow before it counts as lost.
SEARCHES_TO_LOSE = 2


class Lookup:
    """The search for one flow.

    A search asks the agents of the service in the order of rendezvous hashing
    until one claims the flow.  Once all have denied it, another search begins,
    as an agent may have been missed.

    Attributes:
        segment: The caller's newest segment, which goes with each question.
        asked_at: Time of the last question, seconds.
        searches: Searches that all agents have denied.
        rounds: Rounds of questions since the caller's last segment.
    """

    __slots__ = (
        "_asked",
        "_current",
        "_denied",
        "asked_at",
        "rounds",
        "searches",
        "segment",
    )

    def __init__(self, now: float, segment: segments.Segment) -> None:
        self.segment = segment
        self.asked_at = now
        self.searches = 0
        self.rounds = 0
        self._asked: set[str] = set()
        self._current: list[str] = []
        self._denied: set[str] = set()

    def next_round(
        self, now: float, agents: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Returns the agents to ask now.

        Args:
            now: Time in seconds.
            agents: All agents that may hold the flow.
        """
        self.asked_at = now
        self.rounds += 1
        agents = [one for one in agents if not one.lost(now)]
        fresh = [x for x in agents if x.record.host not in self._asked]
        if not fresh:
            # All were asked; those without an answer are asked again.
            fresh = [x for x in agents if x.record.host not in self._denied]
        if len(fresh) > ASKED_AT_ONCE:
            fresh = upstreams.ranked(self.segment.key, fresh)[:ASKED_AT_ONCE]
        self._current = [one.record.host for one in fresh]
        self._asked.update(self._current)
        return fresh

    def waits(self, now: float) -> bool:
        """Returns True while answers of the current round may arrive."""
        return bool(self.current()) and now - self.asked_at < ROUND_S

    def current(self) -> list[str]:
        """Returns the hosts of the current round that have not denied."""
        return [host for host in self._current if host not in self._denied]

    def over(self) -> bool:
        """Returns True after enough searches that all agents denied."""
        return self.searches >= SEARCHES_TO_LOSE

    def deny(self, host: str) -> bool:
        """Takes a denial; returns True if all that were asked have denied."""
        self._asked.add(host)
        self._denied.add(host)
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
        self._current.clear()
        self._denied.clear()
        return True
