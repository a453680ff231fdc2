"""Client of the platform's object store."""

from typing import Annotated, Any
import urllib.parse

import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux import jsonlimits
from crocusmux.core.control import calls
from crocusmux.objectapi import http

OBJECTS_PATH = "/crocusmux/objects/"
CALL_TIMEOUT_S = 2.0
# Time beyond its wait after which the connection of a watch counts as dead.
WATCH_GRACE_S = 1.0
CREATED = 201


# Messages between daemons carry a revision in 64 bits.
_Revision = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class _Metadata(msgspec.Struct):
    name: str
    rev: _Revision = 0
    deleting: bool = False


class _Object(msgspec.Struct):
    meta: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _ListPage(msgspec.Struct):
    items: list[msgspec.Raw]
    current_rev: _Revision
    more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _WatchReply(msgspec.Struct):
    events: list[_Event]
    current_rev: _Revision


class Store:
    """Implements ``forwarding.Store`` by HTTP calls."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._peer = f"{address[0]}:{address[1]}"
        self._base = f"http://{self._peer}{OBJECTS_PATH}"
        self._fetch = http.make_fetch()

    async def list(self, kind: str) -> forwarding.Changes:
        """See ``forwarding.Store``."""
        listed: list[forwarding.StoredObject] = []
        revision, after = None, ""
        while True:
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            answer = await self._call("GET", kind + query)
            page = self._decode(answer, _ListPage)
            if revision is None:
                # The watch delivers changes during later pages again.
                revision = page.current_rev
            items = [_decode_object(raw) for raw in page.items]
            listed += [item for item in items if item is not None]
            last = listed[-1].name if listed else ""
            if not page.more or last == after:
                return forwarding.Changes(revision, tuple(listed), full=True)
            after = last

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        allow_stale: bool = False,
    ) -> forwarding.Changes | None:
        """See ``forwarding.Store``."""
        query = f"?watch={revision}&wait_ms={round(wait_s * 1000)}"
        if allow_stale:
            query += "&allow_stale=1"
        timeout_s = wait_s + WATCH_GRACE_S
        answer = await self._call("GET", kind + query, timeout_s=timeout_s)
        if answer.status == calls.GONE:
            return None
        reply = self._decode(answer, _WatchReply)
        changed: dict[str, forwarding.StoredObject | None] = {}
        for event in reply.events:
            item = _decode_object(event.object)
            if item is not None:
                changed[item.name] = None if event.deleted else item
        return forwarding.Changes(
            reply.current_rev,
            tuple(item for item in changed.values() if item is not None),
            tuple(name for name, item in changed.items() if item is None),
        )

    async def create(self, kind: str, name: str, spec: bytes) -> int:
        """See ``forwarding.Store``."""
        return await self._write("POST", kind, _encode(name, spec))

    async def replace(self, kind: str, name: str, spec: bytes) -> int:
        """See ``forwarding.Store``."""
        path = f"{kind}/{urllib.parse.quote(name)}"
        return await self._write("PUT", path, _encode(name, spec))

    async def _write(self, method: str, path: str, body: bytes) -> int:
        answer = await self._call(method, path, body)
        written: _Object = self._decode(answer, _Object, path)
        return written.meta.rev

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """See ``forwarding.Store``."""
        path = f"{kind}/{urllib.parse.quote(name)}"
        condition = {"meta": {"name": name, "rev": revision}}
        body = msgspec.json.encode(condition)
        answer = await self._call("DELETE", path, body)
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
        classes: dict[int, type[errors.PlatformError]] = {
            calls.CONFLICT: errors.ConflictError,
            calls.NOT_FOUND: errors.NotFoundError,
            calls.TOO_MANY_REQUESTS: errors.RateLimitedError,
        }
        cls = classes.get(answer.status, errors.PlatformUnavailableError)
        raise cls(f"status {answer.status}", step=path, peer=self._peer)

    def _decode(
        self, answer: calls.Response, kind: Any, step: str = "list or watch"
    ) -> Any:
        self._check(answer, step)
        try:
            return _decode_json(answer.body, kind)
        except msgspec.DecodeError as exc:
            raise errors.PlatformUnavailableError(
                f"response is malformed: {exc}",
                step=step,
                peer=self._peer,
            ) from exc


def _decode_json(data: bytes | msgspec.Raw, kind: Any) -> Any:
    """Decodes JSON; one value that is nested too deep does not spoil the rest.

    Raises:
        msgspec.DecodeError: The document is malformed.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError:
        return msgspec.json.decode(jsonlimits.prune(bytes(data)), type=kind)


def _decode_object(raw: msgspec.Raw) -> forwarding.StoredObject | None:
    """Decodes an object; None if it is malformed."""
    try:
        item = _decode_json(raw, _Object)
    except msgspec.DecodeError:
        return None
    meta = item.meta
    return forwarding.StoredObject(meta.name, meta.rev, bytes(item.spec))


def _encode(name: str, spec: bytes) -> bytes:
    body = {"meta": {"name": name}, "spec": msgspec.Raw(spec)}
    return msgspec.json.encode(body)
