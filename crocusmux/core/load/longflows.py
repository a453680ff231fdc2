"""Connection limit for the long flows of one upstream, fair by caller."""

# Share of the connections in use from which a caller is held to its fair share.
FAIR_SHARE_FROM = 0.8


class LongFlows:
    """Connections that long flows use, counted by caller."""

    __slots__ = ("_by_caller", "_callers", "_limit")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._callers: dict[bytes, str] = {}
        self._by_caller: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._callers)

    def acquire(
        self, flow: bytes, caller: str, request_connections: int
    ) -> str:
        """Reserves a connection for a long flow.

        Args:
            flow: Flow id.
            caller: IP number of the caller.
            request_connections: Connections in use by requests.

        Returns:
            Reason word of the refusal; empty if the connection is reserved.
        """
        in_use = len(self._callers) + request_connections
        if in_use >= self._limit:
            return "connection-limit"
        own_count = self._by_caller.get(caller, 0)
        # One share is left for a caller that has no connection yet.
        fair_share = self._limit / (len(self._by_caller) + 1)
        if (
            in_use >= self._limit * FAIR_SHARE_FROM
            and own_count + 1 > fair_share
        ):
            return "caller-connections"
        self._callers[flow] = caller
        self._by_caller[caller] = own_count + 1
        return ""

    def release(self, flow: bytes) -> None:
        """Releases the connection of a flow, if it has one."""
        caller = self._callers.pop(flow, None)
        if caller is None:
            return
        self._by_caller[caller] -= 1
        if not self._by_caller[caller]:
            del self._by_caller[caller]
