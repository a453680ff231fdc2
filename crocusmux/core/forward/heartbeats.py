"""Heartbeats of the upstream beside an agent, and which boot is current."""

import msgspec

# Longest time between two heartbeats of a live upstream, in intervals.
OVERDUE_INTERVALS = 2.5
# Time without a heartbeat after which one was missed, in intervals.
MISSED_INTERVALS = 1.25


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream says of itself.

    Attributes:
        upstream: Its id.
        born_ms: Time of its start by its own clock, Unix milliseconds.
        sequence: Number of the heartbeat, rising within a boot.
        service: Service that it belongs to.
        address: Address that it serves on.
        slots: Requests that it serves at once.
        draining: True if it leaves soon.
        warmup_s: Time for which it will still be slow, seconds.
    """

    upstream: str
    born_ms: int
    sequence: int
    service: str
    address: tuple[str, int]
    slots: int
    draining: bool
    warmup_s: float


class UpstreamLifecycle:
    """The current boot of an upstream, from heartbeats in any order.

    Clocks jump, so ``born_ms`` names a boot but does not always order two of
    them.  A heartbeat of another boot with an earlier start counts only once
    the current boot is overdue or when it comes twice in a row: it may have
    been delayed.

    Attributes:
        current: Newest heartbeat of the current boot; None before the first.
        beat_at: Time of that heartbeat, seconds.
        gone: True after the upstream said that it ends.
    """

    __slots__ = (
        "_candidate",
        "_interval_s",
        "_listening_since",
        "current",
        "deregistered",
        "heartbeat_at",
    )

    def __init__(self, interval_s: float) -> None:
        """Prepares for an upstream that beats at an interval in seconds."""
        self.current: Heartbeat | None = None
        self.heartbeat_at = float("-inf")
        self.deregistered = False
        self._interval_s = interval_s
        self._listening_since: float | None = None
        self._candidate: Heartbeat | None = None

    def start_listening(self, now: float) -> None:
        """Notes since when heartbeats could have been heard."""
        if self._listening_since is None:
            self._listening_since = now

    def never_heard(self, now: float) -> bool:
        """Returns True if no heartbeat came although several were due."""
        if self.current is not None or self._listening_since is None:
            return False
        return (
            now - self._listening_since > OVERDUE_INTERVALS * self._interval_s
        )

    def on_heartbeat(self, now: float, beat: Heartbeat) -> bool:
        """Takes a heartbeat.

        Returns:
            False if it is late or of an earlier boot; it changes nothing.
        """
        known = self.current
        if known is not None and not self._supersedes(now, known, beat):
            return False
        self._candidate = None
        if known is None or _boot(known) != _boot(beat):
            self.deregistered = False
        self.current = beat
        self.heartbeat_at = now
        return True

    def acknowledges(self, beat: Heartbeat) -> bool:
        """Returns True if the beat, or a newer one of its boot, was taken."""
        known = self.current
        if known is None or _boot(known) != _boot(beat):
            return False
        return known.draining or not beat.draining

    def overdue(self, now: float) -> bool:
        """Returns True if heartbeats have stopped."""
        limit = OVERDUE_INTERVALS * self._interval_s
        return self.current is not None and now - self.heartbeat_at > limit

    def missed_heartbeat(self, now: float) -> bool:
        """Returns True if a heartbeat was missed."""
        return now - self.heartbeat_at > MISSED_INTERVALS * self._interval_s

    def draining(self) -> bool:
        """Returns True if the current boot takes no new flows."""
        return self.deregistered or (
            self.current is not None and self.current.draining
        )

    def _supersedes(
        self, now: float, known: Heartbeat, beat: Heartbeat
    ) -> bool:
        if _boot(known) == _boot(beat):
            # A drain is not taken back within a boot.
            if known.draining and not beat.draining:
                return False
            return beat.sequence > known.sequence
        if beat.born_ms > known.born_ms or self.overdue(now):
            return True
        rival = self._candidate
        self._candidate = beat
        return (
            rival is not None
            and _boot(rival) == _boot(beat)
            and beat.sequence > rival.sequence
        )


def _boot(beat: Heartbeat) -> tuple[str, int]:
    return beat.upstream, beat.born_ms
