"""The platform's metadata store."""

from typing import Any
import urllib.parse

import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.control import calls
from crocusmux.objectapi import http

OBJECTS_PATH = "/crocusmux/objects/"
CALL_TIMEOUT_S = 2.0
# A watch is given up when its answer is so late: its connection is silent.
WATCH_GRACE_S = 1.0
CREATED = 201


class _Meta(msgspec.Struct):
    name: str
    rev: int = 0
    deleting: bool = False


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    current_rev: int
    more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Watched(msgspec.Struct):
    events: list[_Event]
    current_rev: int


class Store:
    """Calls on the store; see ``forwarding.Store``."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._peer = f"{address[0]}:{address[1]}"
        self._base = f"http://{self._peer}{OBJECTS_PATH}"
        self._fetch = http.make_fetch()

    async def list(self, kind: str) -> forwarding.Changes:
        """See ``forwarding.Store``."""
        found: list[forwarding.StoredObject] = []
        revision, after = None, ""
        while True:
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            answer = await self._call("GET", kind + query)
            page = self._decode(answer, _Page)
            if revision is None:
                # Changes during later pages come again by the watch.
                revision = page.current_rev
            items = [_decode_object(raw) for raw in page.items]
            found += [item for item in items if item is not None]
            last = found[-1].name if found else ""
            if not page.more or last == after:
                return forwarding.Changes(revision, tuple(found), full=True)
            after = last

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> forwarding.Changes | None:
        """See ``forwarding.Store``."""
        query = f"?watch={revision}&wait_ms={round(wait_s * 1000)}"
        limit = wait_s + WATCH_GRACE_S
        answer = await self._call("GET", kind + query, timeout_s=limit)
        if answer.status == calls.GONE:
            return None
        watched = self._decode(answer, _Watched)
        changed: dict[str, forwarding.StoredObject | None] = {}
        for event in watched.events:
            item = _decode_object(event.object)
            if item is not None:
                changed[item.name] = None if event.deleted else item
        return forwarding.Changes(
            watched.current_rev,
            tuple(item for item in changed.values() if item is not None),
            tuple(name for name, item in changed.items() if item is None),
        )

    async def create(self, kind: str, name: str, spec: bytes) -> None:
        """See ``forwarding.Store``."""
        self._check(
            await self._call("POST", kind, _encode_object(name, spec)), kind
        )

    async def replace(self, kind: str, name: str, spec: bytes) -> None:
        """See ``forwarding.Store``."""
        path = f"{kind}/{urllib.parse.quote(name)}"
        self._check(
            await self._call("PUT", path, _encode_object(name, spec)), path
        )

    async def delete(self, kind: str, name: str) -> None:
        """See ``forwarding.Store``."""
        path = f"{kind}/{urllib.parse.quote(name)}"
        answer = await self._call("DELETE", path)
        if answer.status != calls.NOT_FOUND:
            self._check(answer, path)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> calls.Response:
        answer = await self._fetch(method, self._base + path, body, timeout_s)
        if answer.status == calls.NO_RESPONSE:
            raise errors.PlatformUnavailableError(
                answer.reason, step=f"{method} {path}", peer=self._peer
            )
        return answer

    def _check(self, answer: calls.Response, path: str) -> None:
        if calls.OK <= answer.status < 300:
            return
        kinds: dict[int, type[errors.PlatformError]] = {
            calls.CONFLICT: errors.ConflictError,
            calls.NOT_FOUND: errors.NotFoundError,
            calls.TOO_MANY_REQUESTS: errors.RateLimitedError,
        }
        kind = kinds.get(answer.status, errors.PlatformUnavailableError)
        raise kind(f"status {answer.status}", step=path, peer=self._peer)

    def _decode(self, answer: calls.Response, kind: Any) -> Any:
        self._check(answer, "list or watch")
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except msgspec.DecodeError as exc:
            raise errors.PlatformUnavailableError(
                f"answer is malformed: {exc}",
                step="list or watch",
                peer=self._peer,
            ) from exc


def _decode_object(raw: msgspec.Raw) -> forwarding.StoredObject | None:
    """Decodes an object; None for one that cannot be read."""
    try:
        item = msgspec.json.decode(raw, type=_Object)
    except msgspec.DecodeError:
        return None
    meta = item.meta
    return forwarding.StoredObject(meta.name, meta.rev, bytes(item.spec))


def _encode_object(name: str, spec: bytes) -> bytes:
    body = {"meta": {"name": name}, "spec": msgspec.Raw(spec)}
    return msgspec.json.encode(body)
