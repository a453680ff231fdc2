"""Batches of flow queries to agents.

After a re-hash or a loss of power hundreds of flows are unknown at once, so
one datagram queries many flows, and the rate of datagrams is limited.
"""

from crocusmux.core.forward import reports

# With their replies, queries at this rate take about a tenth of the smallest
# host's processor.
MAX_QUERIES_PER_S = 1_000
# A reply later than this is ignored.
REPLY_TIMEOUT_S = 2.0

Flows = tuple[tuple[bytes, int], ...]


class _SentQuery:
    __slots__ = ("host", "keys", "sent_at")

    def __init__(self, now: float, host: str, keys: tuple[bytes, ...]) -> None:
        self.host = host
        self.keys = keys
        self.sent_at = now


class FlowQueries:
    """The pending flow queries, and sent ones without a reply."""

    __slots__ = ("_last_number", "_next_send_at", "_pending", "_unanswered")

    def __init__(self) -> None:
        self._pending: dict[str, dict[bytes, int]] = {}
        self._unanswered: dict[int, _SentQuery] = {}
        self._last_number = 0
        self._next_send_at = float("-inf")

    def enqueue(self, host: str, key: bytes, ack: int) -> None:
        """Adds a flow, with its caller's last ``ack``, to the next query."""
        self._pending.setdefault(host, {})[key] = ack

    def drop_pending(self, host: str) -> None:
        """Drops the pending queries to an agent."""
        self._pending.pop(host, None)

    def has_pending(self) -> bool:
        """Returns True if queries are pending."""
        return bool(self._pending)

    def may_send(self, now: float) -> bool:
        """Returns True if pending queries may be sent at this time."""
        return bool(self._pending) and now >= self._next_send_at

    def take_pending(self, now: float) -> list[tuple[str, int, Flows]]:
        """Returns and clears the pending queries: host, number and flows."""
        queries: list[tuple[str, int, Flows]] = []
        for host, acks in self._pending.items():
            flows = tuple(acks.items())
            for start in range(0, len(flows), reports.MAX_QUERY_FLOWS):
                part = flows[start : start + reports.MAX_QUERY_FLOWS]
                queries.append((host, self._record_sent(now, host, part), part))
        self._pending.clear()
        self._next_send_at = now + len(queries) / MAX_QUERIES_PER_S
        return queries

    def match_reply(self, host: str, number: int) -> tuple[bytes, ...]:
        """Removes a sent query and returns its flow keys; none if unknown."""
        sent = self._unanswered.get(number)
        if sent is None or sent.host != host:
            return ()
        del self._unanswered[number]
        return sent.keys

    def expire(self, now: float) -> None:
        """Drops queries whose reply timed out."""
        for number, sent in list(self._unanswered.items()):
            if now - sent.sent_at <= REPLY_TIMEOUT_S:
                return
            del self._unanswered[number]

    def _record_sent(self, now: float, host: str, flows: Flows) -> int:
        self._last_number += 1
        keys = tuple(key for key, _ in flows)
        self._unanswered[self._last_number] = _SentQuery(now, host, keys)
        return self._last_number
