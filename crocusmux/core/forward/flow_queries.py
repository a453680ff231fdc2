"""Questions to agents for flows that a balancer does not know.

After a re-hash or a loss of power hundreds of flows are unknown at once, so
one datagram asks an agent for many of them, and the rate is bounded.
"""

# Questions that a balancer sends in a second: with their answers about a
# tenth of the smallest host's processor.
MAX_QUERIES_PER_S = 1_000
# Flows in one question: as many as the answer's masks have bits.
MAX_FLOWS_PER_QUERY = 64
# An answer that is later than this is ignored, seconds.
REPLY_TIMEOUT_S = 2.0

Flows = tuple[tuple[bytes, int], ...]


class _SentQuery:
    __slots__ = ("host", "keys", "sent_at")

    def __init__(self, now: float, host: str, keys: tuple[bytes, ...]) -> None:
        self.host = host
        self.keys = keys
        self.sent_at = now


class FlowQueries:
    """The questions that wait to be sent, and those without an answer."""

    __slots__ = ("_last_number", "_next_send_at", "_pending", "_unanswered")

    def __init__(self) -> None:
        self._pending: dict[str, dict[bytes, int]] = {}
        self._unanswered: dict[int, _SentQuery] = {}
        self._last_number = 0
        self._next_send_at = float("-inf")

    def enqueue(self, host: str, key: bytes, ack: int) -> None:
        """Asks an agent for a flow with the next question to it.

        Args:
            host: Host name of the agent.
            key: Flow key.
            ack: The caller's last acknowledgement.
        """
        self._pending.setdefault(host, {})[key] = ack

    def has_pending(self) -> bool:
        """Returns True if questions wait to be sent."""
        return bool(self._pending)

    def may_send(self, now: float) -> bool:
        """Returns True if questions wait and may be sent."""
        return bool(self._pending) and now >= self._next_send_at

    def take_pending(self, now: float) -> list[tuple[str, int, Flows]]:
        """Returns the questions to send: host, number and flows of each."""
        taken: list[tuple[str, int, Flows]] = []
        for host, flows in self._pending.items():
            found = tuple(flows.items())
            for start in range(0, len(found), MAX_FLOWS_PER_QUERY):
                part = found[start : start + MAX_FLOWS_PER_QUERY]
                taken.append((host, self._record_sent(now, host, part), part))
        self._pending.clear()
        self._next_send_at = now + len(taken) / MAX_QUERIES_PER_S
        return taken

    def match_reply(self, host: str, number: int) -> tuple[bytes, ...]:
        """Returns the flow keys of a question; none if it is not known."""
        sent = self._unanswered.get(number)
        if sent is None or sent.host != host:
            return ()
        del self._unanswered[number]
        return sent.keys

    def expire(self, now: float) -> None:
        """Forgets questions that stayed without an answer."""
        for number, sent in list(self._unanswered.items()):
            if now - sent.sent_at <= REPLY_TIMEOUT_S:
                return
            del self._unanswered[number]

    def _record_sent(self, now: float, host: str, flows: Flows) -> int:
        self._last_number += 1
        keys = tuple(key for key, _ in flows)
        self._unanswered[self._last_number] = _SentQuery(now, host, keys)
        return self._last_number
