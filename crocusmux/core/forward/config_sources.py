"""Peers that have newer configurations than a balancer, as reports name them."""

# Time for which a source that did not serve the version that a report named for
# it comes after all others, seconds.
FAILED_S = 2.0
# Largest number of remembered sources.  Reports may name hosts that do not exist,
# and must not use up the memory.
MAX_SOURCES = 64


class ConfigSources:
    """Configuration versions that reports name, by the address that serves them.

    A source may have ended, or not serve the version, so a lower version of
    another one is kept beside it.
    """

    __slots__ = ("_failed_at", "_versions")

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}

    def record(self, version: int, source: str) -> None:
        """Records a version and the address that serves it."""
        if version <= self._versions.get(source, 0):
            return
        if source not in self._versions and len(self._versions) >= MAX_SOURCES:
            lowest = min(self._versions, key=self._versions.__getitem__)
            if self._versions[lowest] >= version:
                return
            del self._versions[lowest]
            self._failed_at.pop(lowest, None)
        self._versions[source] = version

    def record_failure(self, now: float, source: str) -> None:
        """Records that a source did not serve its version."""
        if source in self._versions:
            self._failed_at[source] = now

    def newest(self) -> tuple[int, str]:
        """Returns the newest version, and a source; 0 and "" without any."""
        return max(((v, s) for s, v in self._versions.items()), default=(0, ""))

    def choose(
        self, now: float, above: int, own: str
    ) -> tuple[int, str] | None:
        """Returns the version to fetch next, and its source.

        Sources that have failed of late come last.

        Args:
            now: Time in seconds.
            above: Version of the configuration in force.
            own: Address that is not asked.

        Returns:
            None if no other source has a newer version.
        """
        chosen = None
        for source, version in self._versions.items():
            if version <= above or source == own:
                continue
            failed_at = self._failed_at.get(source, float("-inf"))
            rank = (now - failed_at >= FAILED_S, version, source)
            if chosen is None or rank > chosen:
                chosen = rank
        return chosen[1:] if chosen else None
