"""In-memory stand-in of the platform's object API.

For tests and trials only: it keeps nothing on disk, knows no users and lets
anyone who can reach it set its faults.

    GET    /v1/objects/KEY
    GET    /v1/objects?prefix=P
    PUT    /v1/objects/KEY?expect=V     body: the value as JSON
    DELETE /v1/objects/KEY?expect=V
    GET    /v1/watch?prefix=P&from=R&wait=SECONDS
    GET    /v1/test                     counts and faults
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

logger = logging.getLogger("crocusmux.objectapi.standin")

DEFAULT_HISTORY = 10_000
MAX_WATCH_S = 60.0
KEY_PATTERN = re.compile(r"[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*")


class Entry(msgspec.Struct, frozen=True):
    """A stored value and its version."""

    version: int
    value: bytes


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Test switches.

    Attributes:
        down: Close each connection without an answer and do nothing.
        slow_s: Wait so long before each call is carried out, seconds.
        lose_answers: Carry out so many writes, then close without answer.
        lose_writes: Drop so many writes before they take effect.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0


class Counts(msgspec.Struct):
    """Calls since the start; ``effects`` are writes that took effect."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    effects: int = 0
    limited: int = 0


class Store:
    """Objects under one revision counter, with a bounded history.

    Attributes:
        revision: Version of the last write.
    """

    def __init__(self, history: int) -> None:
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._history: deque[tuple[int, str]] = deque(maxlen=history)
        self._forgotten = 0

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
        """Writes or deletes (``None``) under a condition.

        Returns:
            The new version; None if the object is not at ``expect``.
        """
        known = self._entries.get(key)
        if (known.version if known else 0) != expect:
            return None
        self.revision += 1
        if value is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = Entry(self.revision, value)
        if len(self._history) == self._history.maxlen:
            self._forgotten = self._history[0][0]
        self._history.append((self.revision, key))
        return self.revision

    def changes(self, prefix: str, since: int) -> dict[str, int] | None:
        """Returns keys changed after a revision; None if it is too old."""
        if since < self._forgotten or since > self.revision:
            return None
        changed: dict[str, int] = {}
        for revision, key in reversed(self._history):
            if revision <= since:
                break
            if key.startswith(prefix):
                changed.setdefault(key, revision)
        return changed


class Limit:
    """Rate limit: a bucket that holds the calls of one second."""

    __slots__ = ("_at", "_left", "_rate")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._left = rate
        self._at = now

    def wait_s(self, now: float) -> float:
        """Takes one call; returns 0, or when to try again in seconds."""
        self._left += (now - self._at) * self._rate
        self._left = min(self._left, self._rate)
        self._at = now
        if self._left < 1:
            return (1 - self._left) / self._rate
        self._left -= 1
        return 0.0


class TestServer:
    """The store behind its faults, limits and counts.

    Attributes:
        store: The objects.
        faults: Test switches; set them at any time.
        counts: Calls so far.
        url: Base URL on which it serves.
    """

    def __init__(
        self, writes_per_s: float, reads_per_s: float, history: int
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.store = Store(history)
        self.faults = Faults()
        self.counts = Counts()
        self.url = ""
        self._write_limit = Limit(writes_per_s, now)
        self._read_limit = Limit(reads_per_s, now)
        self._waiting: set[asyncio.Future[None]] = set()
        self._server: httpserver.HTTPServer | None = None

    def listen(self, address: str) -> None:
        """Serves on ``ip:port``; port 0 picks a free one."""
        ip, port = addresses.split(address)
        try:
            sockets = netutil.bind_sockets(port, ip)
        except OSError as exc:
            raise errors.SettingsError(
                f"cannot listen: {exc}", step="start stand-in", peer=address
            ) from exc
        given = {"platform": self}
        app = web.Application(
            [
                (r"/v1/objects", ListHandler, given),
                (r"/v1/objects/(.+)", ObjectHandler, given),
                (r"/v1/watch", WatchHandler, given),
                (r"/v1/test", TestHandler, given),
            ],
            log_function=lambda handler: None,
        )
        # The largest value arrives inside an envelope of the client's.
        limit = 2 * objects.MAX_OBJECT_BYTES
        self._server = httpserver.HTTPServer(app, max_body_size=limit)
        self._server.add_sockets(sockets)
        self.url = f"http://{ip}:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def limited(self, write: bool) -> float:
        """Counts a call; returns 0 or the wait that the limit asks for."""
        now = asyncio.get_running_loop().time()
        limit = self._write_limit if write else self._read_limit
        wait = limit.wait_s(now)
        if wait:
            self.counts.limited += 1
        elif write:
            self.counts.writes += 1
        else:
            self.counts.reads += 1
        return wait

    def write(self, key: str, expect: int, value: bytes | None) -> int | None:
        """Writes to the store and wakes the watches."""
        version = self.store.write(key, expect, value)
        if version is not None:
            self.counts.effects += 1
            self._wake_watches()
        return version

    async def changed(self, timeout_s: float) -> None:
        """Waits for the next write or the timeout."""
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        self._waiting.add(fut)
        timer = loop.call_later(timeout_s, _wake, fut)
        try:
            await fut
        finally:
            timer.cancel()
            self._waiting.discard(fut)

    def set_faults(self, **changes: Any) -> None:
        """Changes test switches; pending watches notice at once.

        Args:
            changes: Fields of ``Faults`` with their new values.

        Raises:
            msgspec.ValidationError: A name or value is not valid.
        """
        given = {**msgspec.structs.asdict(self.faults), **changes}
        self.faults = msgspec.convert(given, Faults)
        self._wake_watches()

    def _wake_watches(self) -> None:
        for fut in self._waiting:
            _wake(fut)


class _Handler(web.RequestHandler):
    """Faults, limits and JSON that all handlers share."""

    def initialize(self, platform: TestServer) -> None:
        """Takes the stand-in that the handler serves."""
        self.platform = platform

    async def prepare(self) -> None:
        """Applies the faults and the rate limit to a call."""
        faults = self.platform.faults
        write = self.request.method in ("PUT", "DELETE")
        if faults.slow_s > 0:
            await asyncio.sleep(faults.slow_s)
        if faults.down:
            self.drop()
            return
        wait = self.platform.limited(write)
        if wait:
            # Rounded up, so that a caller that waits as told gets through.
            self.set_header("Retry-After", f"{wait + 0.001:.3f}")
            self.answer(429, {"error": "rate limit reached"})
        elif write and faults.lose_writes > 0:
            faults.lose_writes -= 1
            self.drop()

    def drop(self) -> None:
        """Closes the connection without an answer."""
        self.detach().close()

    def answer(self, status: int, body: Any) -> None:
        """Answers with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def number(self, name: str) -> int | None:
        """Returns a query argument; answers 400 if it is not a number."""
        text = self.get_query_argument(name, "")
        if text.isdecimal():
            return int(text)
        self.answer(400, {"error": f"{name} must be a whole number"})
        return None


class ListHandler(_Handler):
    """All objects under a prefix, with the revision to watch from."""

    def get(self) -> None:
        """Answers with the objects under ``prefix``."""
        prefix = self.get_query_argument("prefix", "")
        store = self.platform.store
        found = [_shown(k, e) for k, e in store.list(prefix).items()]
        self.answer(200, {"revision": store.revision, "objects": found})


class ObjectHandler(_Handler):
    """One object."""

    def get(self, key: str) -> None:
        """Answers with the object, or 404."""
        entry = self.platform.store.get(key)
        if entry is None:
            self.answer(404, {"error": "not found"})
        else:
            self.answer(200, _shown(key, entry))

    def put(self, key: str) -> None:
        """Writes the object if it is at version ``expect``."""
        value = self.request.body
        if not KEY_PATTERN.fullmatch(key):
            self.answer(400, {"error": "key is not valid"})
        elif len(value) > objects.MAX_OBJECT_BYTES:
            self.answer(413, {"error": "value is larger than 1 MB"})
        elif not _is_json(value):
            self.answer(400, {"error": "value is not JSON"})
        else:
            self._write(key, value)

    def delete(self, key: str) -> None:
        """Deletes the object if it is at version ``expect``."""
        self._write(key, None)

    def _write(self, key: str, value: bytes | None) -> None:
        platform = self.platform
        expect = self.number("expect")
        if expect is None:
            return
        version = platform.write(key, expect, value)
        if version is not None and platform.faults.lose_answers > 0:
            platform.faults.lose_answers -= 1
            self.drop()
        elif version is not None:
            self.answer(200, {"version": version})
        else:
            entry = platform.store.get(key)
            now_at = entry.version if entry else 0
            self.answer(409, {"error": "conflict", "version": now_at})


class WatchHandler(_Handler):
    """Long poll for the changes after a revision."""

    async def get(self) -> None:
        """Answers with the changes after revision ``from``."""
        since = self.number("from")
        if since is None:
            return
        wait = self.number("wait")
        if wait is None:
            return
        platform, loop = self.platform, asyncio.get_running_loop()
        platform.counts.watches += 1
        prefix = self.get_query_argument("prefix", "")
        until = loop.time() + min(wait, MAX_WATCH_S)
        changed = platform.store.changes(prefix, since)
        while changed is not None and not changed and loop.time() < until:
            await platform.changed(until - loop.time())
            if platform.faults.down:
                self.drop()
                return
            changed = platform.store.changes(prefix, since)
        if changed is None:
            self.answer(410, {"error": "history gone"})
            return
        store = platform.store
        found, deleted = [], []
        for key, revision in changed.items():
            entry = store.get(key)
            if entry is None:
                deleted.append({"key": key, "version": revision})
            else:
                found.append(_shown(key, entry))
        body = {"objects": found, "deleted": deleted}
        self.answer(200, {"revision": store.revision, **body})


class TestHandler(_Handler):
    """Counts and test switches; never affected by the faults."""

    async def prepare(self) -> None:
        """Skips the faults and limits of the other handlers."""

    def get(self) -> None:
        """Answers with the counts and the faults."""
        platform = self.platform
        self.answer(200, {"counts": platform.counts, "faults": platform.faults})

    def post(self) -> None:
        """Changes the faults named in the body."""
        try:
            changes = msgspec.json.decode(self.request.body, type=dict)
            self.platform.set_faults(**changes)
        except msgspec.DecodeError as exc:
            self.answer(400, {"error": str(exc)})
            return
        self.answer(200, {"faults": self.platform.faults})


def _wake(fut: asyncio.Future[None]) -> None:
    if not fut.done():
        fut.set_result(None)


def _shown(key: str, entry: Entry) -> dict[str, Any]:
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
    history: int = DEFAULT_HISTORY,
) -> TestServer:
    """Starts a stand-in in the current loop.

    Args:
        address: ``ip:port`` to serve on; port 0 picks a free one.
        writes_per_s: Writes a second before it answers 429.
        reads_per_s: Reads a second, with watches, before it answers 429.
        history: Writes after which a watch must read everything again.

    Returns:
        The stand-in; ``stop`` it when done.

    Raises:
        errors.SettingsError: The address or a rate is not usable.
    """
    if min(writes_per_s, reads_per_s) < 1:
        raise errors.SettingsError(
            "writes_per_s and reads_per_s must be 1 or more",
            step="start stand-in",
            peer=address,
        )
    standin = TestServer(writes_per_s, reads_per_s, history)
    standin.listen(address)
    return standin


def run(cfg: settings.Settings) -> None:
    """Runs the stand-in as a daemon until SIGTERM or SIGINT."""
    asyncio.run(_serve(cfg))


async def _serve(cfg: settings.Settings) -> None:
    standin = await start(
        cfg.http, writes_per_s=cfg.writes_per_s, reads_per_s=cfg.reads_per_s
    )
    logger.warning(
        "platform stand-in for tests and trials on %s; nothing is kept on disk",
        standin.url,
    )
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    await standin.stop()
