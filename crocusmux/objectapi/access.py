"""The few calls that the control part makes on the platform."""

from typing import Protocol

import msgspec

from crocusmux import errors
from crocusmux import objects
from crocusmux.objectapi import client as objectapi_client


class ObjectBatch(msgspec.Struct, frozen=True):
    """Objects from the platform.

    Attributes:
        items: New or changed objects.
        revision: Revision up to which they are complete.
    """

    items: tuple[objects.VersionedObject, ...]
    revision: int


class ObjectAccess(Protocol):
    """Access to the object API; every call raises ``PlatformError``."""

    async def read(self, key: str) -> objects.VersionedObject | None:
        """Returns an object; None if it does not exist."""

    async def watch(
        self, prefix: str, revision: int | None, wait_s: float
    ) -> ObjectBatch | None:
        """Returns what changed after a revision.

        Args:
            prefix: Prefix of the keys.
            revision: Revision; None for all objects at once.
            wait_s: Longest wait for a change; 0 answers at once.

        Returns:
            The changes; None if the platform no longer knows them.
        """

    async def write(self, key: str, body: bytes, expected: int) -> int:
        """Writes an object that has the expected version.

        Returns:
            The new version.

        Raises:
            errors.ConflictError: It had another version.
            errors.WriteUnknownError: The answer was lost.
        """


class ClientObjectAccess:
    """Access through the platform client."""

    def __init__(self, client: objectapi_client.Client) -> None:
        self._client = client

    async def read(self, key: str) -> objects.VersionedObject | None:
        """See ``ObjectAccess``."""
        stored = await self._client.get(key)
        return stored.versioned if stored else None

    async def watch(
        self, prefix: str, revision: int | None, wait_s: float
    ) -> ObjectBatch | None:
        """See ``ObjectAccess``; records of daemons under ``status/`` are left out."""
        change = await self._client.changes(prefix, revision, wait_s)
        if change is None:
            return None
        items = tuple(
            stored.versioned
            for stored in change.items
            if not stored.key.startswith(objects.STATUS_PREFIX)
        )
        return ObjectBatch(items, change.revision)

    async def write(self, key: str, body: bytes, expected: int) -> int:
        """See ``ObjectAccess``.

        The object is read first, because its envelope lists the last
        operations: by these another writer finds out what became of its own
        lost answer, so they must be carried on.
        """
        previous = await self._client.get(key)
        if (previous.version if previous else 0) != expected:
            raise errors.ConflictError(
                f"version is not {expected}", step="write object", peer=key
            )
        written = await self._client.put(key, body, previous)
        return written.version
