"""Client of the platform's object API."""

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
# A write is settled within its deadline, so it gets more time than a read.
WRITE_DEADLINE_S = 10.0
ATTEMPT_S = 2.0
WATCH_WAIT_S = 30.0
# After "history gone" all watchers read everything again; they spread out
# over this time so that the reads stay below the platform's rate.
REREAD_SPREAD_S = 2.0


class Stored(msgspec.Struct, frozen=True):
    """An object with its version and the write that made it.

    Attributes:
        key: Key of the object.
        version: Version given by the platform.
        envelope: What the platform stores, with the earlier writes.
    """

    key: str
    version: int
    envelope: calls.ObjectEnvelope

    @property
    def body(self) -> bytes:
        """The object as JSON, without its envelope."""
        return bytes(self.envelope.object)

    @property
    def versioned(self) -> objects.Versioned:
        """The object as the configuration store takes it."""
        return objects.Versioned(self.key, self.version, self.body)


class Change(msgspec.Struct, frozen=True):
    """What a watch delivers.

    Attributes:
        revision: Revision up to which this is complete.
        items: Objects that are new or changed.
        deleted: Key and version of objects deleted.
        full: True if ``items`` are all objects under the prefix: an object
            that is not among them does not exist.
    """

    revision: int
    items: tuple[Stored, ...]
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
    """Conditional updates and watches over one or more base URLs.

    Attributes:
        writer: Name written beside each object, for people.
        last_contact: Time of the last answer in seconds of the loop's
            clock; negative infinity before the first.
    """

    def __init__(
        self,
        bases: Sequence[str],
        *,
        writer: str = "",
        rng: random.Random | None = None,
        stamp: Callable[[], str] = lambda: "",
    ) -> None:
        """Prepares a client for the current loop.

        Args:
            bases: Base URLs, tried in order.
            writer: Name written beside each object.
            rng: Random numbers for jitter and operation ids; by default
                seeded by the system.
            stamp: Returns the wall-clock time as text for people.

        Raises:
            errors.UserError: There is no base URL.
        """
        if not bases:
            raise errors.UserError("no platform URL given", step="connect")
        self.writer = writer
        self.last_contact = float("-inf")
        self._rng = rng or random.SystemRandom()
        self._stamp = stamp
        names = [base.rstrip("/") for base in bases]
        self._bases = calls.BaseUrls(names, self._rng)
        self._fetch = http.make_fetch()

    async def get(
        self, key: str, deadline_s: float = READ_DEADLINE_S
    ) -> Stored | None:
        """Returns an object; None if it does not exist.

        Raises:
            errors.PlatformError: There was no answer in time.
        """
        request = calls.Request("GET", calls.OBJECTS_PATH + _quote(key))
        answer = await self._read(request, deadline_s)
        if answer.status == calls.NOT_FOUND:
            return None
        item = self._decode(answer, request, calls.Item)
        return Stored(item.key, item.version, item.value)

    async def list(
        self, prefix: str, deadline_s: float = READ_DEADLINE_S
    ) -> Change:
        """Returns all objects under a prefix, with the revision.

        Raises:
            errors.PlatformError: There was no answer in time.
        """
        path = f"/v1/objects?prefix={_quote(prefix)}"
        request = calls.Request("GET", path)
        answer = await self._read(request, deadline_s)
        return _change(self._decode(answer, request, _Batch), full=True)

    async def put(
        self,
        key: str,
        body: bytes,
        previous: Stored | None,
        *,
        operation: str = "",
        keep_body: int = 0,
        deadline_s: float = WRITE_DEADLINE_S,
    ) -> Stored:
        """Writes an object that must still be as it was read.

        Args:
            key: Key of the object.
            body: The object as JSON.
            previous: The object as read before; None if it must not exist.
            operation: Operation id from ``new_operation``; drawn if empty.
            keep_body: Earlier objects to keep in the envelope as history.
            deadline_s: Time until the outcome is reported, seconds.

        Returns:
            The object as written, with its new version.

        Raises:
            errors.ConflictError: Another write came first; not written.
            errors.WriteUnknownError: The answer was lost and the outcome
                could not be found out in time.
            errors.PlatformError: Not written.
        """
        envelope = calls.ObjectEnvelope(
            operation=operation or self.new_operation(),
            object=msgspec.Raw(body),
            writer=self.writer,
            at=self._stamp(),
            recent=_recent(previous, keep_body),
        )
        envelope, value = _fit(envelope)
        if len(value) > objects.MAX_OBJECT_BYTES:
            raise errors.ObjectError(
                f"object has {len(value)} bytes, limit is "
                f"{objects.MAX_OBJECT_BYTES}",
                step="write object",
                peer=key,
            )
        expect = previous.version if previous else 0
        done = await self._write(
            "PUT", key, expect, envelope.operation, value, deadline_s
        )
        return Stored(key, done.version, envelope)

    async def delete(
        self, previous: Stored, deadline_s: float = WRITE_DEADLINE_S
    ) -> None:
        """Deletes an object that must still be as it was read.

        If the answer is lost and the object is then absent, this counts as
        done, whoever deleted it.

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
        deliver: Callable[[Change], None],
        *,
        wait_s: float = WATCH_WAIT_S,
    ) -> None:
        """Delivers all objects under a prefix, then each change.

        Runs until it is cancelled.  It resumes after an outage where it
        stopped, and delivers everything again if the platform no longer
        knows the changes since then.

        Args:
            prefix: Prefix of the keys.
            deliver: Takes each batch; it must not raise.
            wait_s: Longest wait of one call, seconds.
        """
        revision: int | None = None
        failures = 0
        while True:
            try:
                change = await self.changes(prefix, revision, wait_s)
            except errors.PlatformError:
                # The backoff of calls has been used up already; go on with
                # single attempts until the platform is back.
                wait = calls.backoff_s(failures + 4, self._rng)
                failures += 1
                await asyncio.sleep(wait)
                continue
            failures = 0
            if change is None:
                revision = None
                await asyncio.sleep(self._rng.uniform(0, REREAD_SPREAD_S))
                continue
            revision = change.revision
            if change.full or change.items or change.deleted:
                deliver(change)

    async def changes(
        self, prefix: str, revision: int | None, wait_s: float
    ) -> Change | None:
        """Returns what changed after a revision.

        Args:
            prefix: Prefix of the keys.
            revision: Revision; None for all objects.
            wait_s: Longest wait for a change, seconds.

        Returns:
            The changes; None if the platform no longer knows them.

        Raises:
            errors.PlatformError: There was no answer in time.
        """
        if revision is None:
            return await self.list(prefix)
        path = f"/v1/watch?prefix={_quote(prefix)}&from={revision}"
        request = calls.Request("GET", f"{path}&wait={wait_s:g}")
        limit = wait_s + ATTEMPT_S
        answer = await self._read(request, limit, attempt_s=limit)
        if answer.status == calls.GONE:
            return None
        return _change(self._decode(answer, request, _Batch))

    async def _read(
        self,
        request: calls.Request,
        deadline_s: float,
        attempt_s: float = ATTEMPT_S,
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
            attempt_s=ATTEMPT_S,
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
            answer = await self._send(action)
            if answer.status:
                self.last_contact = _now()
            action = call.on_response(_now(), answer)

    def _send(self, send: calls.Send) -> Awaitable[calls.Response]:
        url = self._bases.urls[send.base] + send.request.path
        method, body = send.request.method, send.request.body
        return self._fetch(method, url, body, send.timeout_s)

    def new_operation(self) -> str:
        """Returns a unique id for one write."""
        return str(uuid.UUID(int=self._rng.getrandbits(128), version=4))

    def _decode(
        self, answer: calls.Response, request: calls.Request, kind: Any
    ) -> Any:
        if answer.status != calls.OK:
            raise calls.response_error(answer, request, self._bases.urls[0])
        try:
            return msgspec.json.decode(answer.body, type=kind)
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


def _change(batch: _Batch, full: bool = False) -> Change:
    """Opens the envelopes; one malformed object must not hide the others."""
    items = []
    for raw in batch.objects:
        try:
            envelope = msgspec.json.decode(raw.value, type=calls.ObjectEnvelope)
        except msgspec.DecodeError as exc:
            logger.warning("%s is not in an envelope: %s", raw.key, exc)
            continue
        items.append(Stored(raw.key, raw.version, envelope))
    deleted = tuple((gone.key, gone.version) for gone in batch.deleted)
    return Change(batch.revision, tuple(items), deleted, full)


def _recent(
    previous: Stored | None, keep_body: int
) -> tuple[calls.PastWrite, ...]:
    """Returns the earlier writes to list in the next envelope."""
    if previous is None:
        return ()
    env = previous.envelope
    last = calls.PastWrite(
        version=previous.version,
        operation=env.operation,
        writer=env.writer,
        at=env.at,
        object=env.object,
    )
    kept = (last, *env.recent)[: max(calls.MAX_RECENT, keep_body)]
    return tuple(
        past
        if index < keep_body
        else msgspec.structs.replace(past, object=calls.NO_OBJECT)
        for index, past in enumerate(kept)
    )


def _fit(envelope: calls.ObjectEnvelope) -> tuple[calls.ObjectEnvelope, bytes]:
    """Drops the oldest earlier writes until the value is small enough."""
    value = msgspec.json.encode(envelope)
    while len(value) > objects.MAX_OBJECT_BYTES and envelope.recent:
        kept = envelope.recent[: len(envelope.recent) // 2]
        envelope = msgspec.structs.replace(envelope, recent=kept)
        value = msgspec.json.encode(envelope)
    return envelope, value
