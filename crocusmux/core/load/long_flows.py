"""Long flows of one upstream, fair between their callers."""

# Share of the connections from which a caller may hold only its fair part.
TIGHT_SHARE = 0.8


class LongFlows:
    """Connections that long flows hold, by caller."""

    __slots__ = ("_by_caller", "_callers", "_limit")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._callers: dict[bytes, str] = {}
        self._by_caller: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._callers)

    def take(self, flow: bytes, caller: str, others: int) -> str:
        """Takes a connection for a long flow.

        Args:
            flow: Flow id.
            caller: IP number of the caller.
            others: Connections held by requests.

        Returns:
            Why it is refused; empty if it is taken.
        """
        held = len(self._callers) + others
        if held >= self._limit:
            return "connection-limit"
        mine = self._by_caller.get(caller, 0)
        # Room for one caller more, who may come next.
        fair = self._limit / (len(self._by_caller) + 1)
        if held >= self._limit * TIGHT_SHARE and mine + 1 > fair:
            return "caller-connections"
        self._callers[flow] = caller
        self._by_caller[caller] = mine + 1
        return ""

    def drop(self, flow: bytes) -> None:
        """Gives back the connection of a flow, if it holds one."""
        caller = self._callers.pop(flow, None)
        if caller is None:
            return
        self._by_caller[caller] -= 1
        if not self._by_caller[caller]:
            del self._by_caller[caller]
