"""Records of agents that a balancer has not heard from for long."""

import collections
import random

# Time without a report after which an agent's host counts as gone for good.
GONE_AFTER_S = 600.0
# Longest random wait until the record is deleted.  Another balancer usually
# deletes it in that time.
MAX_WAIT_S = 60.0
# Time after a deletion until this balancer selects the next record.  60 balancers
# then delete at most one a second together, averaged over a minute.
DELETE_INTERVAL_S = 120.0
# More balancers, which see each other's deletions some seconds late, pause once
# this many records were deleted within a minute.
MAX_DELETED_PER_MIN = 40
# A balancer that has no report of any agent for this time is cut off itself.
CUT_OFF_AFTER_S = 10.0
# After a longer time between two looks the process was suspended, and reports
# were lost in that time.
MAX_LOOK_GAP_S = 10.0


class _Record:
    """A record, and when its host last showed that it lives.

    Attributes:
        revision: Revision of the record.
        alive_at: Time of the last report, or at which the record was first seen
            with this revision, seconds.
    """

    __slots__ = ("alive_at", "revision")

    def __init__(self, now: float, revision: int) -> None:
        self.revision = revision
        self.alive_at = now


class StaleRecords:
    """Selects records of hosts that never come back, to be deleted.

    All balancers do this without a coordinator: each waits for a random time, and
    most then find that another one has deleted the record.
    """

    __slots__ = (
        "_delete_at",
        "_deleted_at",
        "_heard_at",
        "_looked_at",
        "_next_selection_at",
        "_records",
        "_rng",
        "_selected",
    )

    def __init__(self, rng: random.Random) -> None:
        """Knows no records; ``rng`` draws the waits and the order."""
        self._rng = rng
        self._records: dict[str, _Record] = {}
        # Times of the newest deletions by any host.
        self._deleted_at: collections.deque[float] = collections.deque(
            maxlen=MAX_DELETED_PER_MIN
        )
        self._heard_at = float("-inf")
        self._looked_at = float("-inf")
        self._next_selection_at = float("-inf")
        self._selected = ("", 0)
        self._delete_at = float("inf")

    def on_record(self, now: float, host: str, revision: int) -> None:
        """Registers a record of the store; a new revision is a sign of life."""
        known = self._records.get(host)
        if known is None or known.revision < revision:
            self._records[host] = _Record(now, revision)

    def on_gone(self, now: float, host: str, revision: int) -> None:
        """Registers that a record is missing at a revision of the store."""
        known = self._records.get(host)
        if known is not None and known.revision <= revision:
            del self._records[host]
            self._deleted_at.append(now)

    def hosts(self) -> set[str]:
        """Returns the hosts of all records."""
        return set(self._records)

    def on_report(self, now: float, host: str) -> None:
        """Registers a report of a host's agent."""
        self._heard_at = now
        known = self._records.get(host)
        if known is not None:
            known.alive_at = now

    def pop_due(self, now: float) -> tuple[str, int] | None:
        """Returns a record to delete, as host and revision; None if none is due.

        To be called about once a second.
        """
        missed_reports = (
            now - self._looked_at > MAX_LOOK_GAP_S
            or now - self._heard_at > CUT_OFF_AFTER_S
        )
        self._looked_at = now
        if missed_reports:
            for record in self._records.values():
                record.alive_at = now
        host, revision = self._selected
        known = self._records.get(host)
        if (
            known is None
            or known.revision != revision
            or not _is_stale(now, known)
        ):
            self._select(now)
            return None
        if now < self._delete_at:
            return None
        if self._many_deleted(now):
            self._delete_at = now + self._rng.uniform(0, MAX_WAIT_S)
            return None
        self._selected = ("", 0)
        self._next_selection_at = now + DELETE_INTERVAL_S
        return host, revision

    def _many_deleted(self, now: float) -> bool:
        return (
            len(self._deleted_at) == MAX_DELETED_PER_MIN
            and now - self._deleted_at[0] < 60
        )

    def _select(self, now: float) -> None:
        """Selects one of the stale records, and when to delete it."""
        self._selected = ("", 0)
        if now < self._next_selection_at:
            return
        stale = [
            (host, record.revision)
            for host, record in self._records.items()
            if _is_stale(now, record)
        ]
        if stale:
            # Balancers that select different records delete few twice.
            self._selected = self._rng.choice(stale)
            self._delete_at = now + self._rng.uniform(0, MAX_WAIT_S)


def _is_stale(now: float, record: _Record) -> bool:
    return now - record.alive_at >= GONE_AFTER_S
