"""Client of the object API; its retries are in ``core.control.calls``."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import logging
import random
from typing import Any
import urllib.parse
import uuid

import msgspec

from crocusmux import errors
from crocusmux import objects
from crocusmux.core.control import calls
from crocusmux.objectapi import http

logger = logging.getLogger(__name__)

READ_DEADLINE_S = 5.0
# Longer than for a read: includes the check of a write whose reply was lost.
WRITE_DEADLINE_S = 10.0
ATTEMPT_TIMEOUT_S = 2.0
WATCH_WAIT_S = 30.0
# After "history gone" all watchers read all objects again, at random times in
# this interval, so that the reads stay below the server's rate limit.
REREAD_SPREAD_S = 2.0


class StoredObject(msgspec.Struct, frozen=True):
    """An object with its version and stored envelope.

    Attributes:
        key: Key of the object.
        version: Version from the object API.
        envelope: Stored value: the object, its last write and earlier ones.
    """

    key: str
    version: int
    envelope: calls.ObjectEnvelope

    @property
    def body(self) -> bytes:
        """The object as JSON, without the envelope."""
        return bytes(self.envelope.object)

    @property
    def versioned(self) -> objects.VersionedObject:
        """The object in the form that ``ConfigStore`` expects."""
        return objects.VersionedObject(self.key, self.version, self.body)


class ObjectChanges(msgspec.Struct, frozen=True):
    """Objects from a watch or a full read.

    Attributes:
        revision: Store revision up to which the changes are complete.
        items: New or changed objects.
        deleted: Key and version of each deleted object.
        full: True if ``items`` holds all objects under the prefix; all other
            keys under it do not exist.
    """

    revision: int
    items: tuple[StoredObject, ...]
    deleted: tuple[tuple[str, int], ...] = ()
    full: bool = False


class _Deleted(msgspec.Struct, frozen=True):
    key: str
    version: int


class _RawItem(msgspec.Struct, frozen=True):
    key: str
    version: int
    value: msgspec.Raw


class _Batch(msgspec.Struct, frozen=True):
    revision: int
    objects: tuple[_RawItem, ...] = ()
    deleted: tuple[_Deleted, ...] = ()


class Client:
    """Client of the object API at one or more base URLs.

    Attributes:
        writer: Name stored with each write, for operators.
        last_contact: Loop time of the last reply, in seconds; negative
            infinity before the first.
    """

    def __init__(
        self,
        bases: Sequence[str],
        *,
        writer: str = "",
        rng: random.Random | None = None,
        stamp: Callable[[], str] = lambda: "",
    ) -> None:
        """Creates a client for the current event loop.

        Args:
            bases: Base URLs, tried in order.
            writer: Name stored with each write.
            rng: Random numbers for jitter and operation ids; by default
                those of the operating system.
            stamp: Returns the wall-clock time as text, stored with writes.

        Raises:
            errors.UserError: There is no base URL.
        """
        if not bases:
            raise errors.UserError("no platform URL given", step="connect")
        self.writer = writer
        self.last_contact = float("-inf")
        self._rng = rng or random.SystemRandom()
        self._stamp = stamp
        urls = [base.rstrip("/") for base in bases]
        self._bases = calls.BaseUrls(urls, self._rng)
        self._fetch = http.make_fetch()

    async def get(
        self, key: str, deadline_s: float = READ_DEADLINE_S
    ) -> StoredObject | None:
        """Returns an object; None if it does not exist.

        Raises:
            errors.PlatformError: There was no reply in time.
        """
        request = calls.Request("GET", calls.OBJECTS_PATH + _quote(key))
        response = await self._read(request, deadline_s)
        if response.status == calls.NOT_FOUND:
            return None
        item = self._decode(response, request, calls.Item)
        return StoredObject(item.key, item.version, item.value)

    async def list(
        self, prefix: str, deadline_s: float = READ_DEADLINE_S
    ) -> ObjectChanges:
        """Returns all objects under a prefix, with the store revision.

        Raises:
            errors.PlatformError: There was no reply in time.
        """
        path = f"/v1/objects?prefix={_quote(prefix)}"
        request = calls.Request("GET", path)
        response = await self._read(request, deadline_s)
        return _decode_batch(self._decode(response, request, _Batch), full=True)

    async def put(
        self,
        key: str,
        body: bytes,
        previous: StoredObject | None,
        *,
        operation: str = "",
        keep_body: int = 0,
        deadline_s: float = WRITE_DEADLINE_S,
    ) -> StoredObject:
        """Writes an object if its version is unchanged; returns it as stored.

        Args:
            key: Key of the object.
            body: The object as JSON.
            previous: The object as last read; None if it must not exist.
            operation: Operation id from ``new_operation``; a new one if empty.
            keep_body: Number of earlier bodies to keep in the envelope.
            deadline_s: Longest time until the outcome is reported, in seconds.

        Raises:
            errors.ConflictError: Another write came first; not written.
            errors.WriteUnknownError: The reply was lost and it could not be
                found out in time whether the write took effect.
            errors.PlatformError: The object was not written.
        """
        envelope = calls.ObjectEnvelope(
            operation=operation or self.new_operation(),
            object=msgspec.Raw(body),
            writer=self.writer,
            at=self._stamp(),
            recent=recent_writes(previous, keep_body),
        )
        envelope, value = _fit_size_limit(envelope)
        if len(value) > objects.MAX_OBJECT_BYTES:
            raise errors.ObjectError(
                f"object has {len(value)} bytes, limit is "
                f"{objects.MAX_OBJECT_BYTES}",
                step="write object",
                peer=key,
            )
        expect = previous.version if previous else 0
        written = await self._write(
            "PUT", key, expect, envelope.operation, value, deadline_s
        )
        return StoredObject(key, written.version, envelope)

    async def delete(
        self, previous: StoredObject, deadline_s: float = WRITE_DEADLINE_S
    ) -> None:
        """Deletes an object if its version is unchanged.

        If the reply is lost and the object is absent afterwards, the call
        succeeds, also if another writer deleted the object.

        Raises:
            errors.PlatformError: As for ``put``.
        """
        await self._write(
            "DELETE",
            previous.key,
            previous.version,
            self.new_operation(),
            None,
            deadline_s,
        )

    async def watch(
        self,
        prefix: str,
        deliver: Callable[[ObjectChanges], None],
        *,
        wait_s: float = WATCH_WAIT_S,
    ) -> None:
        """Delivers all objects under a prefix, then each change.

        Runs until it is cancelled.  After an outage it resumes from the last
        delivered revision, or delivers all objects again if the server's
        history no longer covers that revision.

        Args:
            prefix: Prefix of the keys.
            deliver: Called with each batch of changes; must not raise.
            wait_s: Longest wait of one call, in seconds.
        """
        revision: int | None = None
        failures = 0
        while True:
            try:
                changes = await self.changes(prefix, revision, wait_s)
            except errors.PlatformError:
                # The call has already used its retries; continue with single
                # attempts, with a long backoff, until the server replies.
                delay_s = calls.backoff_s(failures + 4, self._rng)
                failures += 1
                await asyncio.sleep(delay_s)
                continue
            failures = 0
            if changes is None:
                revision = None
                await asyncio.sleep(self._rng.uniform(0, REREAD_SPREAD_S))
                continue
            revision = changes.revision
            if changes.full or changes.items or changes.deleted:
                deliver(changes)

    async def changes(
        self, prefix: str, revision: int | None, wait_s: float
    ) -> ObjectChanges | None:
        """Returns the objects changed after a revision.

        Args:
            prefix: Prefix of the keys.
            revision: Store revision; None for all objects.
            wait_s: Longest wait for a change, in seconds.

        Returns:
            The changes; None if the server's history no longer covers them.

        Raises:
            errors.PlatformError: There was no reply in time.
        """
        if revision is None:
            return await self.list(prefix)
        path = f"/v1/watch?prefix={_quote(prefix)}&from={revision}"
        request = calls.Request("GET", f"{path}&wait={wait_s:g}")
        timeout_s = wait_s + ATTEMPT_TIMEOUT_S
        response = await self._read(request, timeout_s, attempt_s=timeout_s)
        if response.status == calls.GONE:
            return None
        return _decode_batch(self._decode(response, request, _Batch))

    async def _read(
        self,
        request: calls.Request,
        deadline_s: float,
        attempt_s: float = ATTEMPT_TIMEOUT_S,
    ) -> calls.Response:
        deadline = _now() + deadline_s
        call = calls.ReadCall(self._bases, request, deadline, attempt_s)
        return (await self._run(call)).response

    async def _write(
        self,
        method: str,
        key: str,
        expect: int,
        operation: str,
        value: bytes | None,
        deadline_s: float,
    ) -> calls.Done:
        path = f"{calls.OBJECTS_PATH}{_quote(key)}?expect={expect}"
        call = calls.WriteCall(
            self._bases,
            calls.Request(method, path, value),
            key=key,
            expect=expect,
            operation=operation,
            deadline=_now() + deadline_s,
            attempt_s=ATTEMPT_TIMEOUT_S,
        )
        return await self._run(call)

    async def _run(self, call: calls.ReadCall | calls.WriteCall) -> calls.Done:
        action = call.start(_now())
        while True:
            if isinstance(action, calls.Done):
                return action
            if isinstance(action, calls.Failed):
                raise action.error
            if isinstance(action, calls.Wait):
                await asyncio.sleep(action.seconds)
                action = call.on_timer(_now())
                continue
            response = await self._send(action)
            if response.status:
                self.last_contact = _now()
            action = call.on_response(_now(), response)

    def _send(self, send: calls.Send) -> Awaitable[calls.Response]:
        url = self._bases.urls[send.base] + send.request.path
        method, body = send.request.method, send.request.body
        return self._fetch(method, url, body, send.timeout_s)

    def new_operation(self) -> str:
        """Returns a unique id for one write."""
        return str(uuid.UUID(int=self._rng.getrandbits(128), version=4))

    def _decode(
        self, response: calls.Response, request: calls.Request, kind: Any
    ) -> Any:
        if response.status != calls.OK:
            raise calls.response_error(response, request, self._bases.urls[0])
        try:
            return msgspec.json.decode(response.body, type=kind)
        except msgspec.DecodeError as exc:
            raise errors.PlatformError(
                f"answer is malformed: {exc}",
                step=f"{request.method} {request.path}",
                peer=self._bases.urls[0],
            ) from exc


def _now() -> float:
    return asyncio.get_running_loop().time()


def _quote(text: str) -> str:
    return urllib.parse.quote(text)


def _decode_batch(batch: _Batch, full: bool = False) -> ObjectChanges:
    """Decodes the envelopes; leaves out malformed objects and logs them."""
    items = []
    for raw in batch.objects:
        try:
            envelope = msgspec.json.decode(raw.value, type=calls.ObjectEnvelope)
        except msgspec.DecodeError as exc:
            logger.warning("%s left out, bad envelope: %s", raw.key, exc)
            continue
        items.append(StoredObject(raw.key, raw.version, envelope))
    deleted = tuple((gone.key, gone.version) for gone in batch.deleted)
    return ObjectChanges(batch.revision, tuple(items), deleted, full)


def recent_writes(
    previous: StoredObject | None, keep_body: int
) -> tuple[calls.PastWrite, ...]:
    """Returns the recent writes for the next envelope, newest first."""
    if previous is None:
        return ()
    envelope = previous.envelope
    last = calls.PastWrite(
        version=previous.version,
        operation=envelope.operation,
        writer=envelope.writer,
        at=envelope.at,
        object=envelope.object,
    )
    recent = (last, *envelope.recent)[: max(calls.MAX_RECENT_WRITES, keep_body)]
    return tuple(
        past
        if index < keep_body
        else msgspec.structs.replace(past, object=calls.NO_OBJECT)
        for index, past in enumerate(recent)
    )


def _fit_size_limit(
    envelope: calls.ObjectEnvelope,
) -> tuple[calls.ObjectEnvelope, bytes]:
    """Drops the older half of the recent writes until the value fits."""
    value = msgspec.json.encode(envelope)
    while len(value) > objects.MAX_OBJECT_BYTES and envelope.recent:
        recent = envelope.recent[: len(envelope.recent) // 2]
        envelope = msgspec.structs.replace(envelope, recent=recent)
        value = msgspec.json.encode(envelope)
    return envelope, value
