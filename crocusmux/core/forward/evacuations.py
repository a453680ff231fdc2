"""Failure domains that operators have evacuated."""

from collections.abc import Iterable, Iterator

from crocusmux.core.forward import reports

# Time for which agents are told that an evacuation has ended; longer than a
# heartbeat interval, after which they know it from their upstreams.
RECENTLY_ENDED_S = 10.0


class EvacuatedDomains:
    """The evacuated failure domains, as one balancer knows them.

    Without ``expect_list`` they count as known, as no domain is ever evacuated
    in a deployment that does not use evacuations.

    Attributes:
        names: The domains; always the same set, so that the choice of an
            upstream looks them up without a call.
        revision: Revision of the store that the set reflects; 0 while it is
            known from peers only, or not at all.
    """

    __slots__ = ("_ended_at", "_expected_until", "names", "revision")

    def __init__(self) -> None:
        """Creates an empty set that is known."""
        self.names: set[str] = set()
        self.revision = 0
        self._ended_at: dict[str, float] = {}
        self._expected_until = float("-inf")

    def __contains__(self, domain: object) -> bool:
        return domain in self.names

    def __iter__(self) -> Iterator[str]:
        return iter(self.names)

    def expect_list(self, until: float) -> None:
        """Counts the set as unknown until a list arrives or a time, seconds."""
        self._expected_until = until

    def known(self, now: float) -> bool:
        """Returns True if a list has arrived or is no longer waited for."""
        return now >= self._expected_until

    def state(self, now: float, domain: str) -> reports.DomainState | None:
        """Returns whether a domain is evacuated; None if it is not known."""
        evacuated = domain in self.names
        if not self.revision and not evacuated:
            return None
        return reports.DomainState(
            evacuated, self.revision, self._ended_s(now, domain)
        )

    def _ended_s(self, now: float, domain: str) -> float | None:
        """Returns the time since a domain's evacuation ended, seconds.

        None if it has not ended within ``RECENTLY_ENDED_S``.
        """
        ended_at = self._ended_at.get(domain)
        if ended_at is None or now - ended_at > RECENTLY_ENDED_S:
            return None
        return max(0.0, now - ended_at)

    def update(
        self,
        now: float,
        domains: Iterable[str],
        removed: Iterable[str],
        full: bool,
        known: bool = True,
        revision: int = 0,
    ) -> tuple[list[str], list[str]]:
        """Applies a list, the changes of a watch, or what a peer tells.

        Args:
            now: Time in seconds.
            domains: Evacuated failure domains.
            removed: Failure domains whose evacuation has ended.
            full: True if ``domains`` is the complete list; False for changes.
            known: False if a list is still waited for.
            revision: Revision of the store that the domains are from; 0 if they
                are from a peer.

        Returns:
            The domains whose evacuation begins, and those where it ends; among
            these also domains that began and ended since the last change.
        """
        if known:
            self._expected_until = float("-inf")
        self.revision = max(self.revision, revision)
        before = self.names.copy()
        if full:
            self.names.clear()
        removed = set(removed)
        self.names.difference_update(removed)
        self.names.update(domains)
        ended = (before | removed) - self.names
        for domain in list(self._ended_at):
            if self._ended_s(now, domain) is None:
                del self._ended_at[domain]
        self._ended_at.update(dict.fromkeys(ended, now))
        return sorted(self.names - before), sorted(ended)


def check_domain(name: str) -> None:
    """Checks a name that is to be that of a failure domain.

    Raises:
        ValueError: The name is empty or has characters that cannot be printed,
            which would forge log lines.
    """
    if not name or not name.isprintable():
        raise ValueError(f"not the name of a failure domain: {name!r}")
