"""Heartbeats of an agent's upstream, and which of its boots is current."""

import math

import msgspec

# Heartbeat intervals without a heartbeat after which one is overdue.
OVERDUE_INTERVALS = 2.5
# Heartbeat intervals without a heartbeat after which one counts as missed.
MISSED_INTERVALS = 1.25
# Number of the first heartbeat of a boot; some upstreams count from 0.
FIRST_SEQUENCES = (0, 1)
# Heartbeat intervals between the start of a boot and the earliest arrival of its
# second heartbeat, with a margin for jitter.
SECOND_HEARTBEAT_INTERVALS = 0.75
# A boot that is older than this at its first or second heartbeat, in seconds,
# has an unknown age: the clock of its host was set meanwhile.
MAX_FIRST_AGE_S = 60.0


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """State that an upstream reports to its agent.

    Attributes:
        upstream: Id of the upstream.
        born_ms: Start of this boot by the upstream's clock, Unix milliseconds.
        sequence: Number of the heartbeat, increasing within a boot.
        service: Service that the upstream belongs to.
        address: Address that the upstream serves on.
        slots: Requests that the upstream serves concurrently.
        draining: True if the upstream accepts no new flows.
        warmup_s: Time until the upstream reaches full speed, seconds.
        boot_age_s: Time since the start of this boot at the arrival of the
            heartbeat, by the clock of the host, seconds; None if unknown.
    """

    upstream: str
    born_ms: int
    sequence: int
    service: str
    address: tuple[str, int]
    slots: int
    draining: bool
    warmup_s: float
    boot_age_s: float | None = None


class UpstreamLifecycle:
    """The current boot of an upstream, from heartbeats in any order.

    Clocks jump, so ``born_ms`` identifies a boot but does not always order two
    boots.  A heartbeat with an earlier ``born_ms`` may have been delayed, so
    its boot replaces the current one only if that is overdue, or after two
    heartbeats of the other boot in a row while the current one missed its own:
    a partition may delay several heartbeats of an earlier boot.  Between boots
    of the same ``born_ms`` two heartbeats in a row suffice.

    An announcement of the end names no boot, so it may have been delayed and be
    that of an earlier one.  A heartbeat of the current boot that accepts flows
    and was sent after the announcement arrived shows this.

    Attributes:
        current: Newest heartbeat of the current boot; None before the first.
        heartbeat_at: Time at which it arrived, seconds.
        deregistered: True once the upstream announced its end.
    """

    __slots__ = (
        "_candidate",
        "_deregistered_at",
        "_first_later_sequence",
        "_interval_s",
        "_started_at",
        "current",
        "deregistered",
        "heartbeat_at",
    )

    def __init__(self, interval_s: float) -> None:
        """Expects heartbeats at an interval in seconds."""
        self.current: Heartbeat | None = None
        self.heartbeat_at = float("-inf")
        self.deregistered = False
        self._interval_s = interval_s
        self._started_at: float | None = None
        self._candidate: Heartbeat | None = None
        self._deregistered_at = 0.0
        self._first_later_sequence = 0

    def start(self, now: float) -> None:
        """Records, in the first call, since when heartbeats can arrive."""
        if self._started_at is None:
            self._started_at = now

    def never_heard(self, now: float) -> bool:
        """Returns True if the first heartbeat is overdue."""
        if self.current is not None or self._started_at is None:
            return False
        return now - self._started_at > OVERDUE_INTERVALS * self._interval_s

    def saw_start(self, now: float) -> bool:
        """Returns True if the first heartbeat is of a boot of after ``start``.

        The agent then knows all flows of the boot.  Number 1 is the second
        heartbeat of an upstream that counts from 0.  Its first one may have
        reached a former agent, unless too little time has passed for two, or
        the boot is younger than this agent.
        """
        beat = self.current
        if beat is None or beat.sequence not in FIRST_SEQUENCES:
            return False
        age_s = beat.boot_age_s
        if beat.sequence == 0 or age_s is None or age_s > MAX_FIRST_AGE_S:
            return True
        running_s = 0.0
        if self._started_at is not None:
            running_s = now - self._started_at
        second_s = SECOND_HEARTBEAT_INTERVALS * self._interval_s
        return age_s < max(second_s, running_s)

    def on_heartbeat(self, now: float, beat: Heartbeat) -> bool:
        """Applies a heartbeat.

        Returns:
            False if it is late or of an earlier boot and was ignored.
        """
        known = self.current
        if known is not None and not self._replaces(now, known, beat):
            return False
        self._candidate = None
        if (
            known is None
            or not same_boot(known, beat)
            or self._contradicts_end(now, beat)
        ):
            self.deregistered = False
        self.current = beat
        self.heartbeat_at = now
        return True

    def deregister(self, now: float) -> None:
        """Records that the upstream announced its end."""
        self.deregistered = True
        self._deregistered_at = now
        if self.current is None:
            return
        intervals = math.floor((now - self.heartbeat_at) / self._interval_s)
        # One more for the time that the last heartbeat took to arrive.
        sent = self.current.sequence + intervals + 1
        self._first_later_sequence = sent + 1

    def _contradicts_end(self, now: float, beat: Heartbeat) -> bool:
        """Returns True if a boot that announced its end would not send this.

        Heartbeats that were sent before the announcement may arrive after it.
        """
        return (
            not beat.draining
            and beat.sequence >= self._first_later_sequence
            and now - self._deregistered_at >= self._interval_s
        )

    def acknowledges(self, beat: Heartbeat) -> bool:
        """Returns True if ``beat``, or a newer one of its boot, was applied."""
        known = self.current
        if known is None or not same_boot(known, beat):
            return False
        return known.draining or not beat.draining

    def overdue(self, now: float) -> bool:
        """Returns True if the next heartbeat is overdue."""
        limit = OVERDUE_INTERVALS * self._interval_s
        return self.current is not None and now - self.heartbeat_at > limit

    def missed_heartbeat(self, now: float) -> bool:
        """Returns True if one heartbeat is missing."""
        return now - self.heartbeat_at > MISSED_INTERVALS * self._interval_s

    def cold(self, now: float) -> bool:
        """Returns True while the upstream is warming up.

        The time left is counted down since the arrival of the heartbeat that
        states it, as the clocks of the upstream and the agent may differ.
        """
        beat = self.current
        return beat is not None and now < self.heartbeat_at + beat.warmup_s

    def draining(self) -> bool:
        """Returns True if the current boot accepts no new flows."""
        return self.deregistered or (
            self.current is not None and self.current.draining
        )

    def _replaces(self, now: float, known: Heartbeat, beat: Heartbeat) -> bool:
        if same_boot(known, beat):
            # A boot never returns from draining to ready.
            if known.draining and not beat.draining:
                return False
            return beat.sequence > known.sequence
        if beat.born_ms > known.born_ms or self.overdue(now):
            return True
        previous = self._candidate
        self._candidate = beat
        return (
            previous is not None
            and same_boot(previous, beat)
            and beat.sequence > previous.sequence
            and (beat.born_ms == known.born_ms or self.missed_heartbeat(now))
        )


def same_boot(first: Heartbeat, second: Heartbeat) -> bool:
    """Returns True if two heartbeats are of the same boot."""
    return first.upstream == second.upstream and first.born_ms == second.born_ms
