"""Failure domains that operators have evacuated."""

from collections.abc import Iterable, Iterator


class EvacuatedDomains:
    """The evacuated failure domains, as one balancer knows them.

    Without ``expect_list`` they count as known, as no domain is ever evacuated
    in a deployment that does not use evacuations.

    Attributes:
        names: The domains; always the same set, so that the choice of an
            upstream looks them up without a call.
    """

    __slots__ = ("_expected_until", "names")

    def __init__(self) -> None:
        """Creates an empty set that is known."""
        self.names: set[str] = set()
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

    def update(
        self,
        domains: Iterable[str],
        removed: Iterable[str],
        full: bool,
        known: bool = True,
    ) -> tuple[list[str], list[str]]:
        """Applies a list, the changes of a watch, or what a peer tells.

        Args:
            domains: Evacuated failure domains.
            removed: Failure domains whose evacuation has ended.
            full: True if ``domains`` is the complete list; False for changes.
            known: False if a list is still waited for.

        Returns:
            The domains whose evacuation begins, and those where it ends.
        """
        if known:
            self._expected_until = float("-inf")
        before = self.names.copy()
        if full:
            self.names.clear()
        self.names.difference_update(removed)
        self.names.update(domains)
        return sorted(self.names - before), sorted(before - self.names)


def check_domain(name: str) -> None:
    """Checks a name that is to be that of a failure domain.

    Raises:
        ValueError: The name is empty or has characters that cannot be printed,
            which would forge log lines.
    """
    if not name or not name.isprintable():
        raise ValueError(f"not the name of a failure domain: {name!r}")
