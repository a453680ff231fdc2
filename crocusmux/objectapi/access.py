"""Interface of the control part to the object API."""

from typing import Protocol

import msgspec

from crocusmux import errors
from crocusmux import objects
from crocusmux.objectapi import client as objectapi_client


class ObjectBatch(msgspec.Struct, frozen=True):
    """Objects from a watch or a full read.

    Attributes:
        items: New or changed objects.
        revision: Store revision up to which ``items`` is complete.
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
        """Returns the objects changed after a revision.

        Args:
            prefix: Prefix of the keys.
            revision: Store revision; None to read all objects at once.
            wait_s: Longest wait for a change, in seconds; 0 for no wait.

        Returns:
            The changes; None if the server's history no longer covers them.
        """

    async def write(self, key: str, body: bytes, expected: int) -> int:
        """Writes an object if it has the expected version.

        Returns:
            The new version.

        Raises:
            errors.ConflictError: The object had another version.
            errors.WriteUnknownError: The outcome is not known.
        """


class ClientObjectAccess:
    """Implementation of ``ObjectAccess`` with the object API client."""

    def __init__(self, client: objectapi_client.Client) -> None:
        self._client = client

    async def read(self, key: str) -> objects.VersionedObject | None:
        """See ``ObjectAccess``."""
        stored = await self._client.get(key)
        return stored.versioned if stored else None

    async def watch(
        self, prefix: str, revision: int | None, wait_s: float
    ) -> ObjectBatch | None:
        """See ``ObjectAccess``; leaves out the daemons' records."""
        changes = await self._client.changes(prefix, revision, wait_s)
        if changes is None:
            return None
        items = tuple(
            stored.versioned
            for stored in changes.items
            if not stored.key.startswith(objects.STATUS_PREFIX)
        )
        return ObjectBatch(items, changes.revision)

    async def write(self, key: str, body: bytes, expected: int) -> int:
        """See ``ObjectAccess``.

        Reads the object first to keep the list of recent operations in its
        envelope, from which other writers find out whether a write whose
        reply they lost took effect.
        """
        previous = await self._client.get(key)
        if (previous.version if previous else 0) != expected:
            raise errors.ConflictError(
                f"version is not {expected}", step="write object", peer=key
            )
        written = await self._client.put(key, body, previous)
        return written.version
