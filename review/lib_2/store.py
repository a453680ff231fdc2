"""The platform's store: objects by kind and name, lists and watches."""

import asyncio
import json
from typing import Any
import urllib.parse

from review.lib_2 import web

PREFIX = "/crocusmux/objects/"


class Store:
    """Keeps each object as the JSON value that its writer sent."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.revision = 10
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Begins to serve."""
        self._server = await web.serve(*self.address, self._handle)

    async def _handle(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        parts = urllib.parse.urlsplit(path)
        query = {
            key: values[0]
            for key, values in urllib.parse.parse_qs(parts.query).items()
        }
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        name = urllib.parse.unquote(name)
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return _answer(200 if item else 404, item)
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            return self._list(kind, query.get("after", ""))
        sent = json.loads(body or b"{}")
        meta = sent.get("meta", {})
        revision = query.get("rev", meta.get("rev"))
        name = name or meta["name"]
        spec = sent.get("spec")
        return self.write(method, kind, name, spec, revision)

    def _list(self, kind: str, after: str) -> tuple[int, bytes]:
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:500]]
        more = len(names) > len(items)
        page = {"items": items, "more": more, "current_rev": self.revision}
        return _answer(200, page)

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", "0")) / 1000
        since = int(query["watch"])
        while True:
            events = [e for r, k, e in self._history if k == kind and r > since]
            left_s = until - loop.time()
            if events or left_s <= 0:
                page = {"events": events, "current_rev": self.revision}
                return _answer(200, page)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def write(
        self, method: str, kind: str, name: str, spec: Any, revision: Any = None
    ) -> tuple[int, bytes]:
        """Applies a write if its condition holds."""
        known = self.objects.get((kind, name))
        if known is None and method != "POST":
            return _answer(404, None)
        if known is not None and (
            method == "POST"
            or (revision is not None and int(revision) != known["meta"]["rev"])
        ):
            return _answer(409, known)
        if method == "DELETE":
            del self.objects[kind, name]
            self._record(kind, known, True)
            return _answer(200, known)
        if known is not None and known["spec"] == spec:
            return _answer(200, known)
        created = known["meta"]["created"] if known else self.revision + 1
        meta = {"name": name, "rev": self.revision + 1, "created": created}
        meta |= {"finalizers": [], "deleting": False}
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._record(kind, item, False)
        return _answer(200, item)

    def _record(self, kind: str, item: Any, deleted: bool) -> None:
        self.revision += 1
        event = {"object": item, "deleted": deleted}
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()


def _answer(status: int, value: Any) -> tuple[int, bytes]:
    return status, json.dumps(value).encode()
