"""Newest version of each configuration object.

Versions only rise: an equal or older version is ignored whatever its source,
so a stale peer or a late answer of the platform never takes a change back.
"""

from crocusmux import objects


class ConfigStore:
    """Configuration objects by key, each at the newest version seen."""

    __slots__ = ("_hosts_of", "_objects", "_services_of", "_versioned")

    def __init__(self) -> None:
        self._versioned: dict[str, objects.Versioned] = {}
        self._objects: dict[str, objects.ConfigObject] = {}
        self._hosts_of: dict[str, frozenset[str]] = {}
        self._services_of: dict[str, set[str]] = {}

    def apply_if_newer(self, versioned: objects.Versioned) -> bool:
        """Takes an object if its version is newer than the one known.

        Args:
            versioned: The object from the platform or a peer.

        Returns:
            True if it was taken.

        Raises:
            errors.ObjectError: It is newer but invalid; the version known
                before stays in force.
        """
        if versioned.version <= self.version(versioned.key):
            return False
        obj = objects.decode(versioned)
        self._versioned[versioned.key] = versioned
        self._objects[versioned.key] = obj
        if isinstance(obj, objects.Membership):
            self._index(obj)
        return True

    def version(self, key: str) -> int:
        """Returns the version of an object; 0 if it is not known."""
        known = self._versioned.get(key)
        return known.version if known else 0

    def versioned(self, key: str) -> objects.Versioned | None:
        """Returns an object with its version, as it was offered."""
        return self._versioned.get(key)

    def version_by_key(self) -> dict[str, int]:
        """Returns the version of each key."""
        return {key: v.version for key, v in self._versioned.items()}

    def service(self, name: str) -> objects.Service | None:
        """Returns a service by name."""
        obj = self._objects.get(objects.SERVICE_PREFIX + name)
        return obj if isinstance(obj, objects.Service) else None

    def services(self) -> list[objects.Service]:
        """Returns all services, sorted by name."""
        found = [
            obj
            for obj in self._objects.values()
            if isinstance(obj, objects.Service)
        ]
        return sorted(found, key=lambda service: service.name)

    def services_of(self, host: str) -> set[str]:
        """Returns the names of the services whose membership lists a host."""
        return set(self._services_of.get(host, ()))

    def _index(self, membership: objects.Membership) -> None:
        """Notes which hosts run a service, as agents ask at each change."""
        name = membership.service
        hosts = frozenset(member.host for member in membership.members)
        before = self._hosts_of.get(name, frozenset())
        for host in before - hosts:
            self._services_of[host].discard(name)
        for host in hosts - before:
            self._services_of.setdefault(host, set()).add(name)
        self._hosts_of[name] = hosts

    def membership(self, service: str) -> objects.Membership | None:
        """Returns the membership of a service."""
        obj = self._objects.get(objects.MEMBERSHIP_PREFIX + service)
        return obj if isinstance(obj, objects.Membership) else None

    def epoch(self, service: str) -> int:
        """Returns the version of a service's membership; 0 if unknown."""
        return self.version(objects.MEMBERSHIP_PREFIX + service)

    def in_force(self) -> objects.InForce | None:
        """Returns the preset in force."""
        obj = self._objects.get(objects.IN_FORCE_KEY)
        return obj if isinstance(obj, objects.InForce) else None

    def work_class(self, name: str) -> objects.WorkClass | None:
        """Returns a work class of the preset in force."""
        in_force = self.in_force()
        if in_force is None:
            return None
        for work in in_force.preset.classes:
            if work.name == name:
                return work
        return None
