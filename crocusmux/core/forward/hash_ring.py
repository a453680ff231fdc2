"""Consistent hashing of flow keys to agents."""

import array
import bisect
from collections.abc import Iterator

import xxhash

from crocusmux.core.forward import upstreams

# More points spread the flows more evenly, and cost memory and time per change.
POINTS_PER_AGENT = 16
# Points visited for one flow, which bounds its cost in a service of any size.
MAX_VISITED_POINTS = 256
# A point is a hash whose low bits hold the index of its agent.
INDEX_BITS = 24
INDEX_MASK = (1 << INDEX_BITS) - 1
# Above this number of new points, sorting all of them is faster than inserting
# each.
MAX_INSERTED_POINTS = 8 * POINTS_PER_AGENT


class HashRing:
    """Agents in the order in which a flow prefers them.

    Each agent has some points on a ring of hashes.  A flow prefers the agents
    whose points follow the hash of its key.  The cost of a flow does not depend
    on the number of agents, and a change of one agent moves few flows.
    """

    __slots__ = ("_agents", "_free", "_indexes", "_points", "_unsorted")

    def __init__(self) -> None:
        self._points = array.array("Q")
        self._unsorted: list[int] = []
        self._agents: list[upstreams.Upstream | None] = []
        self._indexes: dict[str, int] = {}
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._indexes)

    def add(self, upstream: upstreams.Upstream) -> None:
        """Adds an agent, whose host must not be on the ring."""
        if self._free:
            index = self._free.pop()
            self._agents[index] = upstream
        else:
            index = len(self._agents)
            self._agents.append(upstream)
        host = upstream.record.host
        self._indexes[host] = index
        self._unsorted += _points(host, index)

    def remove(self, host: str) -> None:
        """Removes the agent of a host."""
        self._sort()
        index = self._indexes.pop(host)
        for point in _points(host, index):
            del self._points[bisect.bisect_left(self._points, point)]
        self._agents[index] = None
        self._free.append(index)

    def walk(self, key: bytes) -> Iterator[upstreams.Upstream]:
        """Yields agents in the order in which a flow prefers them.

        In a large service not all agents are visited.
        """
        self._sort()
        points, agents = self._points, self._agents
        start = bisect.bisect_left(points, xxhash.xxh64_intdigest(key))
        following = points[start : start + MAX_VISITED_POINTS]
        wrapped = min(start, MAX_VISITED_POINTS - len(following))
        following += points[:wrapped]
        visited: set[int] = set()
        left = len(self._indexes)
        for point in following:
            index = point & INDEX_MASK
            if index in visited:
                continue
            visited.add(index)
            upstream = agents[index]
            assert upstream is not None
            yield upstream
            left -= 1
            if left == 0:
                return

    def _sort(self) -> None:
        new, self._unsorted = self._unsorted, []
        if len(new) > MAX_INSERTED_POINTS:
            self._points = array.array("Q", sorted([*self._points, *new]))
            return
        for point in new:
            self._points.insert(bisect.bisect_left(self._points, point), point)


def _points(host: str, index: int) -> list[int]:
    """Returns the points of an agent."""
    name = host.encode()
    return [
        xxhash.xxh64_intdigest(name, seed) & ~INDEX_MASK | index
        for seed in range(POINTS_PER_AGENT)
    ]
