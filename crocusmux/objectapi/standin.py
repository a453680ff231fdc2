"""In-memory server of the object API, with fault injection.

For tests and trials only: it stores nothing on disk and has no authentication,
also for the injection of faults.

    GET    /v1/objects/KEY
    GET    /v1/objects?prefix=P
    PUT    /v1/objects/KEY?expect=V     body: the value as JSON
    DELETE /v1/objects/KEY?expect=V
    GET    /v1/watch?prefix=P&from=R&wait=SECONDS
    GET    /v1/test                     call counts and faults
    POST   /v1/test                     body: faults to change
"""

import asyncio
from collections import deque
import logging
import re
import signal
from typing import Any

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from crocusmux import addresses
from crocusmux import errors
from crocusmux import objects
from crocusmux import settings

logger = logging.getLogger(__name__)

DEFAULT_HISTORY_WRITES = 10_000
MAX_WATCH_S = 60.0
KEY_PATTERN = re.compile(r"[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*")


class Entry(msgspec.Struct, frozen=True):
    """A stored value and its version."""

    version: int
    value: bytes


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults.

    Attributes:
        down: Close each connection without a response and do nothing.
        slow_s: Delay before each call, in seconds.
        lose_answers: Number of writes to apply without a response.
        lose_writes: Number of writes to drop without effect or response.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0


class Counts(msgspec.Struct):
    """Calls since the start; ``effects`` counts writes that took effect."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    effects: int = 0
    limited: int = 0


class Store:
    """Objects with one revision counter and a bounded history.

    Attributes:
        revision: Revision of the last write, which is also its version.
    """

    def __init__(self, history: int) -> None:
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._history: deque[tuple[int, str]] = deque(maxlen=history)
        self._oldest_resumable = 0

    def get(self, key: str) -> Entry | None:
        """Returns an object; None if it does not exist."""
        return self._entries.get(key)

    def list(self, prefix: str) -> dict[str, Entry]:
        """Returns all objects whose key starts with a prefix."""
        return {
            key: self._entries[key]
            for key in sorted(self._entries)
            if key.startswith(prefix)
        }

    def write(self, key: str, expect: int, value: bytes | None) -> int | None:
        """Writes an object, or deletes it if ``value`` is None.

        Returns:
            The new version; None if the stored version is not ``expect``.
        """
        entry = self._entries.get(key)
        if (entry.version if entry else 0) != expect:
            return None
        self.revision += 1
        if value is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = Entry(self.revision, value)
        if len(self._history) == self._history.maxlen:
            self._oldest_resumable = self._history[0][0]
        self._history.append((self.revision, key))
        return self.revision

    def changes(self, prefix: str, since: int) -> dict[str, int] | None:
        """Returns changed keys with their revisions; None if not in history."""
        if since < self._oldest_resumable or since > self.revision:
            return None
        changed: dict[str, int] = {}
        for revision, key in reversed(self._history):
            if revision <= since:
                break
            if key.startswith(prefix):
                changed.setdefault(key, revision)
        return changed


class RateLimit:
    """Token bucket with the tokens of one second."""

    __slots__ = ("_rate", "_tokens", "_updated_at")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._updated_at = now

    def wait_s(self, now: float) -> float:
        """Takes a token and returns 0, or returns the wait for one, in seconds."""
        self._tokens += (now - self._updated_at) * self._rate
        self._tokens = min(self._tokens, self._rate)
        self._updated_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens -= 1
        return 0.0


class TestServer:
    """Server of a ``Store`` with faults, rate limits and call counts.

    Attributes:
        store: The objects.
        faults: Injected faults; may be changed at any time.
        counts: Calls so far.
        url: Base URL of the server.
    """

    def __init__(
        self, writes_per_s: float, reads_per_s: float, history: int
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.store = Store(history)
        self.faults = Faults()
        self.counts = Counts()
        self.url = ""
        self._write_limit = RateLimit(writes_per_s, now)
        self._read_limit = RateLimit(reads_per_s, now)
        self._watch_futures: set[asyncio.Future[None]] = set()
        self._http_server: httpserver.HTTPServer | None = None

    def listen(self, address: str) -> None:
        """Listens on ``ip:port``; port 0 selects a free port."""
        ip, port = addresses.split(address)
        try:
            sockets = netutil.bind_sockets(port, ip)
        except OSError as exc:
            raise errors.SettingsError(
                f"cannot listen: {exc}", step="start test server", peer=address
            ) from exc
        handler_args = {"server": self}
        app = web.Application(
            [
                (r"/v1/objects", ListHandler, handler_args),
                (r"/v1/objects/(.+)", ObjectHandler, handler_args),
                (r"/v1/watch", WatchHandler, handler_args),
                (r"/v1/test", TestHandler, handler_args),
            ],
            log_function=lambda handler: None,
        )
        # Room for the envelope around the largest object.
        max_bytes = 2 * objects.MAX_OBJECT_BYTES
        self._http_server = httpserver.HTTPServer(app, max_body_size=max_bytes)
        self._http_server.add_sockets(sockets)
        self.url = f"http://{ip}:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._http_server is not None:
            self._http_server.stop()
            await self._http_server.close_all_connections()

    def count_call(self, write: bool) -> float:
        """Counts a call; returns 0, or the wait of the rate limit in seconds."""
        now = asyncio.get_running_loop().time()
        limit = self._write_limit if write else self._read_limit
        wait_s = limit.wait_s(now)
        if wait_s:
            self.counts.limited += 1
        elif write:
            self.counts.writes += 1
        else:
            self.counts.reads += 1
        return wait_s

    def write(self, key: str, expect: int, value: bytes | None) -> int | None:
        """Writes to the store and notifies the watches."""
        version = self.store.write(key, expect, value)
        if version is not None:
            self.counts.effects += 1
            self._wake_watches()
        return version

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next write, change of faults or the timeout."""
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        self._watch_futures.add(fut)
        timer = loop.call_later(timeout_s, _set_done, fut)
        try:
            await fut
        finally:
            timer.cancel()
            self._watch_futures.discard(fut)

    def set_faults(self, **changes: Any) -> None:
        """Changes the injected faults and notifies the waiting watches.

        Args:
            changes: Fields of ``Faults`` with their new values.

        Raises:
            msgspec.ValidationError: A name or value is invalid.
        """
        values = {**msgspec.structs.asdict(self.faults), **changes}
        self.faults = msgspec.convert(values, Faults)
        self._wake_watches()

    def _wake_watches(self) -> None:
        for fut in self._watch_futures:
            _set_done(fut)


class _Handler(web.RequestHandler):
    """Base of the handlers: faults, rate limits and JSON responses."""

    def initialize(self, server: TestServer) -> None:
        """Sets the server of the handler; see ``tornado``."""
        self.server = server

    async def prepare(self) -> None:
        """Applies the faults and the rate limit before the call."""
        faults = self.server.faults
        write = self.request.method in ("PUT", "DELETE")
        if faults.slow_s > 0:
            await asyncio.sleep(faults.slow_s)
        if faults.down:
            self.close_connection()
            return
        wait_s = self.server.count_call(write)
        if wait_s:
            # Rounded up, so that a retry after this time is within the limit.
            self.set_header("Retry-After", f"{wait_s + 0.001:.3f}")
            self.respond(429, {"error": "rate limit reached"})
        elif write and faults.lose_writes > 0:
            faults.lose_writes -= 1
            self.close_connection()

    def close_connection(self) -> None:
        """Closes the connection without a response."""
        self.detach().close()

    def respond(self, status: int, body: Any) -> None:
        """Sends a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def number_argument(self, name: str) -> int | None:
        """Returns a query argument; responds 400 if it is not a number."""
        text = self.get_query_argument(name, "")
        if text.isdecimal():
            return int(text)
        self.respond(400, {"error": f"{name} must be a whole number"})
        return None


class ListHandler(_Handler):
    """All objects under a prefix, with the store revision."""

    def get(self) -> None:
        """Returns the objects under ``prefix``."""
        prefix = self.get_query_argument("prefix", "")
        store = self.server.store
        items = [_item(k, e) for k, e in store.list(prefix).items()]
        self.respond(200, {"revision": store.revision, "objects": items})


class ObjectHandler(_Handler):
    """One object."""

    def get(self, key: str) -> None:
        """Returns the object, or 404."""
        entry = self.server.store.get(key)
        if entry is None:
            self.respond(404, {"error": "not found"})
        else:
            self.respond(200, _item(key, entry))

    def put(self, key: str) -> None:
        """Writes the object if its version is ``expect``."""
        value = self.request.body
        if not KEY_PATTERN.fullmatch(key):
            self.respond(400, {"error": "key is not valid"})
        elif len(value) > objects.MAX_OBJECT_BYTES:
            self.respond(413, {"error": "value is larger than 1 MB"})
        elif not _is_json(value):
            self.respond(400, {"error": "value is not JSON"})
        else:
            self._write(key, value)

    def delete(self, key: str) -> None:
        """Deletes the object if its version is ``expect``."""
        self._write(key, None)

    def _write(self, key: str, value: bytes | None) -> None:
        server = self.server
        expect = self.number_argument("expect")
        if expect is None:
            return
        version = server.write(key, expect, value)
        if version is not None and server.faults.lose_answers > 0:
            server.faults.lose_answers -= 1
            self.close_connection()
        elif version is not None:
            self.respond(200, {"version": version})
        else:
            entry = server.store.get(key)
            stored = entry.version if entry else 0
            self.respond(409, {"error": "conflict", "version": stored})


class WatchHandler(_Handler):
    """Long poll for the changes after a store revision."""

    async def get(self) -> None:
        """Returns the changes after revision ``from``, or waits for one."""
        since = self.number_argument("from")
        if since is None:
            return
        wait_s = self.number_argument("wait")
        if wait_s is None:
            return
        server, loop = self.server, asyncio.get_running_loop()
        server.counts.watches += 1
        prefix = self.get_query_argument("prefix", "")
        deadline = loop.time() + min(wait_s, MAX_WATCH_S)
        changed = server.store.changes(prefix, since)
        while changed is not None and not changed and loop.time() < deadline:
            await server.wait_for_change(deadline - loop.time())
            if server.faults.down:
                self.close_connection()
                return
            changed = server.store.changes(prefix, since)
        if changed is None:
            self.respond(410, {"error": "history gone"})
            return
        store = server.store
        items, deleted = [], []
        for key, revision in changed.items():
            entry = store.get(key)
            if entry is None:
                deleted.append({"key": key, "version": revision})
            else:
                items.append(_item(key, entry))
        body = {"objects": items, "deleted": deleted}
        self.respond(200, {"revision": store.revision, **body})


class TestHandler(_Handler):
    """Call counts and injected faults; not affected by the faults."""

    async def prepare(self) -> None:
        """Skips the faults and limits of the other handlers."""

    def get(self) -> None:
        """Returns the counts and the faults."""
        server = self.server
        self.respond(200, {"counts": server.counts, "faults": server.faults})

    def post(self) -> None:
        """Changes the faults that the body names."""
        try:
            changes = msgspec.json.decode(self.request.body, type=dict)
            self.server.set_faults(**changes)
        except msgspec.DecodeError as exc:
            self.respond(400, {"error": str(exc)})
            return
        self.respond(200, {"faults": self.server.faults})


def _set_done(fut: asyncio.Future[None]) -> None:
    if not fut.done():
        fut.set_result(None)


def _item(key: str, entry: Entry) -> dict[str, Any]:
    value = msgspec.Raw(entry.value)
    return {"key": key, "version": entry.version, "value": value}


def _is_json(value: bytes) -> bool:
    try:
        msgspec.json.decode(value)
    except msgspec.DecodeError:
        return False
    return True


async def start(
    address: str = "127.0.0.1:0",
    *,
    writes_per_s: float = 400,
    reads_per_s: float = 2000,
    history: int = DEFAULT_HISTORY_WRITES,
) -> TestServer:
    """Starts a test server, which the caller must ``stop``.

    Args:
        address: ``ip:port`` to listen on; port 0 selects a free port.
        writes_per_s: Rate limit of writes, per second.
        reads_per_s: Rate limit of reads and watches, per second.
        history: Number of writes in the history that watches resume from.

    Raises:
        errors.SettingsError: The address cannot be used, or a rate is below 1.
    """
    if min(writes_per_s, reads_per_s) < 1:
        raise errors.SettingsError(
            "writes_per_s and reads_per_s must be 1 or more",
            step="start test server",
            peer=address,
        )
    server = TestServer(writes_per_s, reads_per_s, history)
    server.listen(address)
    return server


def run(cfg: settings.Settings) -> None:
    """Runs the test server as a daemon until SIGTERM or SIGINT."""
    asyncio.run(_serve(cfg))


async def _serve(cfg: settings.Settings) -> None:
    server = await start(
        cfg.http, writes_per_s=cfg.writes_per_s, reads_per_s=cfg.reads_per_s
    )
    logger.warning(
        "object API test server on %s; objects are kept in memory only",
        server.url,
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await server.stop()
