"""Control sockets of a daemon, around the spreading and membership cores.

Each daemon pulls messages on one listening socket and pushes to a bounded
number of peers.  A message is a 16-byte tag, a version byte and a msgpack
envelope.  nng's threads only move bytes; all code here runs on the loop.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine, Iterable
import hmac
import logging
import random
import time
from typing import Any

import msgspec
import pynng

from crocusmux import addresses
from crocusmux import decisions
from crocusmux import errors
from crocusmux import objects
from crocusmux import settings
from crocusmux import wire
from crocusmux.core.control import config_store
from crocusmux.core.control import controlplane
from crocusmux.core.control import gossip
from crocusmux.core.control import gossip_messages
from crocusmux.core.control import membership
from crocusmux.core.control import membership_messages
from crocusmux.objectapi import access
from crocusmux.objectapi import client

logger = logging.getLogger(__name__)

VERSION = b"\x01"
# One object of the largest size, with its key and the envelope.
MAX_MESSAGE_BYTES = objects.MAX_OBJECT_BYTES + 64_000
# Messages up to this size are received, refused and counted; nng closes the
# connection of a larger one before it is held in memory.
NNG_LIMIT_BYTES = 2 * MAX_MESSAGE_BYTES
MAX_DIALED = 32
SEND_QUEUE = 32  # messages that wait for one peer
RECEIVE_QUEUE = 256
RECEIVE_BURST = 64  # messages handled in one turn of the loop
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5000
WATCH_WAIT_S = 30.0
RETRY_S = 2.0
# A poll covers so many of the platform's last revisions; digests between
# daemons repair what is older.
POLL_OVERLAP_REVISIONS = 1000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(controlplane.ControlEnvelope)


def make_codec(
    key: bytes,
) -> tuple[
    Callable[[controlplane.ControlEnvelope], bytes],
    Callable[[bytes], controlplane.ControlEnvelope],
]:
    """Returns functions that encode and decode control messages.

    Args:
        key: Shared key, 16 to 64 bytes.

    Returns:
        ``encode(envelope) -> bytes`` and ``decode(data) -> envelope``.
        ``decode`` raises ``errors.WireError`` with the step
        ``"check size"``, ``"check tag"`` or ``"decode"``.

    Raises:
        errors.WireError: The key is too short or too long.
    """
    tag = wire.make_tagger(key)

    def encode(envelope: controlplane.ControlEnvelope) -> bytes:
        body = VERSION + _encoder.encode(envelope)
        return tag(body) + body

    def decode(data: bytes) -> controlplane.ControlEnvelope:
        if len(data) > MAX_MESSAGE_BYTES:
            raise errors.WireError(
                f"message has {len(data)} bytes, limit is {MAX_MESSAGE_BYTES}",
                step="check size",
            )
        body = data[wire.TAG_BYTES :]
        if not hmac.compare_digest(tag(body), data[: wire.TAG_BYTES]):
            raise errors.WireError("tag is wrong", step="check tag")
        if body[:1] != VERSION:
            raise errors.WireError(
                f"control version is {body[:1].hex()}", step="decode"
            )
        try:
            return _decoder.decode(memoryview(body)[1:])
        except msgspec.DecodeError as exc:
            raise errors.WireError(str(exc), step="decode") from exc

    return encode, decode


class ControlPlaneRunner:
    """Control part of one daemon.

    Attributes:
        core: The decision cores.
        counts: Counts of messages, bytes and refusals.
        incarnation: Incarnation that this host announces.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        store: config_store.ConfigStore,
        rng: random.Random,
        platform: access.Access | None = None,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """Prepares the control part.

        Args:
            cfg: Settings of the daemon.
            store: Objects known; changed by this control part alone.
            rng: Random numbers.
            platform: Access to the platform; by default through the base
                URLs in the settings, if there are any.
            wall_ms: Wall clock, for the incarnation.
        """
        self.incarnation = membership.new_incarnation(wall_ms(), rng)
        self.counts = {
            "sent": 0,
            "sent_bytes": 0,
            "received": 0,
            "received_bytes": 0,
            "dropped": 0,
            "oversized": 0,
            "wrong_tag": 0,
            "malformed": 0,
            "platform_errors": 0,
        }
        self._cfg = cfg
        self._store = store
        self._rng = rng
        self._platform = platform
        self._encode, self._decode = make_codec(cfg.key_bytes())
        self._callbacks: list[Callable[[tuple[str, ...]], Any]] = []
        self._sockets: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()
        self._watch_task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = True

    async def start(self) -> None:
        """Listens, and greets the peers in the settings.

        Raises:
            errors.SettingsError: The control URL cannot be listened on.
        """
        self._loop = asyncio.get_running_loop()
        if self._platform is None and self._cfg.platform:
            calls = client.Client(
                self._cfg.platform, writer=self._cfg.host, rng=self._rng
            )
            self._platform = access.ClientAccess(calls)
        self._bad_input = decisions.make_bad_input_log(self._loop.time)
        ip = addresses.split(self._cfg.udp)[0]
        url = self._cfg.control or f"tcp://{ip}:0"
        self._listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE, recv_max_size=NNG_LIMIT_BYTES
        )
        try:
            bound = self._listener.listen(url)
        except pynng.NNGException as exc:
            self._listener.close()
            raise errors.SettingsError(
                f"cannot listen: {exc}", step="open control socket", peer=url
            ) from exc
        # With port 0 the listener has chosen one.
        url = bound.url
        row = gossip_messages.DaemonRow(
            name=self._cfg.host,
            role=self._cfg.role,
            failure_domain=self._cfg.failure_domain,
            region=self._cfg.region,
            control=url,
            http=self._cfg.http,
            incarnation=self.incarnation,
            udp=self._cfg.udp,
        )
        self.core = controlplane.ControlPlane(
            row, self._store, self._cfg.peers, self._rng
        )
        self._stopped = False
        self._receive_fd = self._listener.recv_fd
        self._loop.add_reader(self._receive_fd, self._on_readable)
        self._do(self.core.start(self._loop.time()))

    async def stop(self) -> None:
        """Closes all sockets and ends all calls to the platform."""
        if self._stopped:
            return
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._receive_fd)
        self._listener.close()
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_change(self, callback: Callable[[tuple[str, ...]], Any]) -> None:
        """Registers a function that is called with the keys that changed.

        Besides keys of objects these are ``"drain/HOST"`` for a change of
        ``overrides`` and ``"incarnation"`` for one of ``incarnation``.
        """
        self._callbacks.append(callback)

    def announce(self, record: membership_messages.HostRecord) -> None:
        """Announces this host's upstreams until the memberships show them."""
        self._do(self.core.announce(self._loop.time(), record))

    def drain(self) -> None:
        """Takes this host out of service, also with the platform down."""
        self._do(self.core.drain(self._loop.time()))

    def report_suspect(self, host: str, incarnation: int) -> None:
        """Reports that a host does not answer; may be called often."""
        now = self._loop.time()
        self._do(self.core.report_suspect(now, host, incarnation))

    def overrides(self) -> dict[tuple[str, int], objects.State]:
        """Returns states, by host and incarnation, that override members'."""
        return self.core.overrides()

    def contact_age(self) -> float:
        """Returns seconds since the last platform contact of a watcher."""
        return self.core.contact_age(self._loop.time())

    def daemons(self) -> list[tuple[gossip_messages.DaemonRow, float]]:
        """Returns the known daemons with seconds since last heard."""
        return self.core.gossip.daemons(self._loop.time())

    def synced(self) -> bool:
        """Returns True once the configuration of peers or platform is known."""
        return self.core.gossip.synced

    def status(self) -> dict[str, Any]:
        """Returns the state of the control part, for the status page."""
        now = self._loop.time()
        core = self.core
        age = core.contact_age(now)
        return {
            "synced": core.gossip.synced,
            "watching": core.gossip.watching,
            "platform_contact_age_s": None if age > 1e9 else round(age, 3),
            "incarnation": self.incarnation,
            "replaced": core.memberships.replaced,
            "announced": core.memberships.is_reflected(),
            "root": f"{core.gossip.root_hash():016x}",
            "links": core.gossip.linked_peers(),
            "daemons": [
                {**msgspec.structs.asdict(row), "age_s": round(heard, 1)}
                for row, heard in core.gossip.daemons(now)
            ],
            "draining": sorted(core.gossip.drain_notices),
            "counts": {
                **self.counts,
                **core.gossip.counts,
                **core.memberships.counts,
            },
        }

    # Sockets.

    def _on_readable(self) -> None:
        for _ in range(RECEIVE_BURST):
            if self._stopped:
                return
            try:
                data = self._listener.recv(block=False)
            except pynng.TryAgain:
                return
            self._on_data(data)

    def _on_data(self, data: bytes) -> None:
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        try:
            envelope = self._decode(data)
            out = self.core.on_message(self._loop.time(), envelope)
        except errors.WireError as exc:
            kind = {"check size": "oversized", "check tag": "wrong_tag"}
            self.counts[kind.get(exc.step, "malformed")] += 1
            self._bad_input(str(exc))
            return
        self._do(out)

    def _send(self, url: str, message: Any) -> None:
        envelope = controlplane.ControlEnvelope(self._cfg.host, message)
        data = self._encode(envelope)
        try:
            self._socket(url).send(data, block=False)
        except pynng.NNGException as exc:
            # Digests repair what a dropped message would have told.
            self.counts["dropped"] += 1
            logger.debug("message to %s was dropped: %s", url, exc)
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)

    def _socket(self, url: str) -> pynng.Push0:
        sock = self._sockets.get(url)
        if sock is not None:
            self._sockets.move_to_end(url)
            return sock
        while len(self._sockets) >= MAX_DIALED:
            self._sockets.popitem(last=False)[1].close()
        sock = pynng.Push0(
            send_buffer_size=SEND_QUEUE,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            sock.dial(url, block=False)
        except pynng.NNGException:
            sock.close()
            raise
        self._sockets[url] = sock
        return sock

    # Outputs and timers.

    def _do(self, out: Iterable[Any]) -> None:
        for item in out:
            if isinstance(item, gossip.Send):
                self._send(item.to, item.message)
            elif isinstance(item, gossip.KeysChanged):
                self._call_back(item.keys)
            elif isinstance(item, gossip.PollPlatform):
                self._spawn(self._poll())
            elif isinstance(item, membership.ReadObject):
                self._spawn(self._read(item.key))
            elif isinstance(item, membership.WriteObject):
                self._spawn(self._write(item))
            elif isinstance(item, membership.Rejoined):
                self.incarnation = item.incarnation
                logger.warning(
                    "host %s was removed and joins again as incarnation %d",
                    self._cfg.host,
                    item.incarnation,
                )
                self._call_back(("incarnation",))
            elif isinstance(item, membership.Replaced):
                logger.error(
                    "host %s was replaced by incarnation %d; this process "
                    "announces nothing any more",
                    item.host,
                    item.newest,
                )
                self._call_back(("incarnation",))
        self._arm()

    def _call_back(self, keys: tuple[str, ...]) -> None:
        for callback in self._callbacks:
            callback(keys)

    def _arm(self) -> None:
        if self._stopped:
            return
        if self._timer is not None:
            self._timer.cancel()
        due = self.core.next_timer()
        self._timer = self._loop.call_at(due, self._on_timer)
        if self.core.gossip.watching and self._watch_task is None:
            if self._platform is not None:
                self._watch_task = self._spawn(self._watch())
        elif not self.core.gossip.watching and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def _on_timer(self) -> None:
        self._timer = None
        self._do(self.core.on_timer(self._loop.time()))

    # Platform.

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("platform call failed", exc_info=task.exception())

    def _take(
        self, asked_at: float, items: Iterable[objects.Versioned]
    ) -> None:
        now = self._loop.time()
        self.core.record_platform_contact(now, asked_at)
        self._do(self.core.offer(now, items))

    async def _watch(self) -> None:
        """Follows all objects while this daemon is a watcher."""
        assert self._platform is not None
        revision = None
        while True:
            asked_at = self._loop.time()
            try:
                batch = await self._platform.watch(
                    "", revision, WATCH_WAIT_S if revision is not None else 0
                )
            except errors.PlatformError:
                self.counts["platform_errors"] += 1
                await asyncio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))
                continue
            if batch is None:
                # The platform forgot the history; all watchers read anew.
                revision = None
                await asyncio.sleep(RETRY_S * self._rng.uniform(0.0, 1.0))
                continue
            if revision is None:
                self.core.gossip.mark_synced()
            revision = batch.revision
            self._take(asked_at, batch.items)

    async def _poll(self) -> None:
        """Reads what is new; a watcher only renews its contact."""
        if self._platform is None:
            return
        asked_at = self._loop.time()
        try:
            if self.core.gossip.watching:
                found = await self._platform.read(objects.IN_FORCE_KEY)
                self._take(asked_at, [found] if found else [])
                return
            newest = max(self._store.version_by_key().values(), default=0)
            revision = max(newest - POLL_OVERLAP_REVISIONS, 0) or None
            if not self.core.gossip.synced:
                revision = None
            batch = await self._platform.watch("", revision, 0)
            if batch is None:
                revision = None
                batch = await self._platform.watch("", None, 0)
        except errors.PlatformError:
            self.counts["platform_errors"] += 1
            return
        if batch is not None:
            if revision is None:
                self.core.gossip.mark_synced()
            self._take(asked_at, batch.items)

    async def _read(self, key: str) -> None:
        asked_at = self._loop.time()
        answered = False
        if self._platform is not None:
            try:
                found = await self._platform.read(key)
                answered = True
                self._take(asked_at, [found] if found else [])
            except errors.PlatformError:
                self.counts["platform_errors"] += 1
        self._do(self.core.on_read(self._loop.time(), key, answered))

    async def _write(self, item: membership.WriteObject) -> None:
        asked_at = self._loop.time()
        version, problem = None, "unavailable"
        if self._platform is not None:
            try:
                version = await self._platform.write(
                    item.key, item.body, item.expected
                )
                done = objects.Versioned(item.key, version, item.body)
                self._take(asked_at, [done])
            except errors.ConflictError:
                problem = "conflict"
            except errors.WriteUnknownError:
                problem = "unknown"
            except errors.CrocusmuxError as exc:
                # Also an object that grew over the platform's limit.
                logger.warning("write of %s failed: %s", item.key, exc)
                self.counts["platform_errors"] += 1
        now = self._loop.time()
        self._do(self.core.on_written(now, item.key, version, problem))
