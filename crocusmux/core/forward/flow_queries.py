"""Questions to agents for flows that a balancer does not know.

After a re-hash or a loss of power hundreds of flows are unknown at once, so
one datagram asks an agent for many of them, and the rate is bounded.
"""

# Questions that a balancer sends in a second: with their answers about a
# tenth of the smallest host's processor.
QUESTIONS_PER_S = 1_000
# Flows in one question: as many as the answer's masks have bits.
FLOWS_A_QUESTION = 64
# An answer that is later than this is ignored, seconds.
FORGET_S = 2.0

Flows = tuple[tuple[bytes, int], ...]


class _Sent:
    __slots__ = ("host", "keys", "sent_at")

    def __init__(self, now: float, host: str, keys: tuple[bytes, ...]) -> None:
        self.host = host
        self.keys = keys
        self.sent_at = now


class FlowQueries:
    """The questions that wait to be sent, and those without an answer."""

    __slots__ = ("_due_at", "_number", "_pending", "_sent")

    def __init__(self) -> None:
        self._pending: dict[str, dict[bytes, int]] = {}
        self._sent: dict[int, _Sent] = {}
        self._number = 0
        self._due_at = float("-inf")

    def add(self, host: str, key: bytes, ack: int) -> None:
        """Asks an agent for a flow with the next question to it.

        Args:
            host: Host name of the agent.
            key: Flow key.
            ack: The caller's last acknowledgement.
        """
        self._pending.setdefault(host, {})[key] = ack

    def waiting(self) -> bool:
        """Returns True if questions wait to be sent."""
        return bool(self._pending)

    def due(self, now: float) -> bool:
        """Returns True if questions wait and may be sent."""
        return bool(self._pending) and now >= self._due_at

    def take(self, now: float) -> list[tuple[str, int, Flows]]:
        """Returns the questions to send: host, number and flows of each."""
        taken: list[tuple[str, int, Flows]] = []
        for host, flows in self._pending.items():
            found = tuple(flows.items())
            for start in range(0, len(found), FLOWS_A_QUESTION):
                part = found[start : start + FLOWS_A_QUESTION]
                taken.append((host, self._remember(now, host, part), part))
        self._pending.clear()
        self._due_at = now + len(taken) / QUESTIONS_PER_S
        return taken

    def answered(self, host: str, number: int) -> tuple[bytes, ...]:
        """Returns the flow keys of a question; none if it is not known."""
        sent = self._sent.get(number)
        if sent is None or sent.host != host:
            return ()
        del self._sent[number]
        return sent.keys

    def expire(self, now: float) -> None:
        """Forgets questions that stayed without an answer."""
        for number, sent in list(self._sent.items()):
            if now - sent.sent_at <= FORGET_S:
                return
            del self._sent[number]

    def _remember(self, now: float, host: str, flows: Flows) -> int:
        self._number += 1
        keys = tuple(key for key, _ in flows)
        self._sent[self._number] = _Sent(now, host, keys)
        return self._number
