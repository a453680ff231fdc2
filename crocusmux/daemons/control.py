"""Control sockets and object API calls around ``core.control.controlplane``.

Each daemon pulls messages on one listening socket and pushes to a bounded
number of peers.  A message is a 16-byte tag, a version byte and a msgpack
envelope.  nng's threads only move bytes; all code here runs on the event loop.
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
from crocusmux.objectapi import client as objectapi_client

logger = logging.getLogger(__name__)

VERSION = b"\x01"
# Room for the largest object with its key and the envelope.
MAX_MESSAGE_BYTES = objects.MAX_OBJECT_BYTES + 64_000
# Oversized messages up to this size are received, counted and dropped; for a
# larger message nng closes the connection without buffering the message.
NNG_MAX_BYTES = 2 * MAX_MESSAGE_BYTES
MAX_PUSH_SOCKETS = 32
SEND_QUEUE_MESSAGES = 32  # per peer
RECEIVE_QUEUE = 256  # messages
RECEIVE_BURST_MESSAGES = 64  # per iteration of the event loop
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5000
WATCH_TIMEOUT_S = 30.0
WATCH_RETRY_S = 2.0
# Number of recent revisions that a poll reads again; digests between daemons
# repair older differences.
POLL_OVERLAP_REVISIONS = 1000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(controlplane.ControlEnvelope)


def make_codec(
    key: bytes,
) -> tuple[
    Callable[[controlplane.ControlEnvelope], bytes],
    Callable[[bytes], controlplane.ControlEnvelope],
]:
    """Makes functions that encode and decode control messages.

    Args:
        key: Shared key, 16 to 64 bytes.

    Returns:
        ``encode(envelope) -> bytes`` and ``decode(data) -> envelope``.
        ``decode`` raises ``errors.WireError`` with the step
        ``"check size"``, ``"check tag"`` or ``"decode"``.

    Raises:
        errors.WireError: The key is too short or too long.
    """
    tag = wire.make_tag_function(key)

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
    """Runs the control plane of one daemon.

    Attributes:
        core: Decision core; set by ``start``.
        counts: Counts of messages, bytes and errors, by name.
        incarnation: Incarnation of this start, announced to other daemons.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        store: config_store.ConfigStore,
        rng: random.Random,
        object_api: access.ObjectAccess | None = None,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """Initializes the control plane without sockets.

        Args:
            cfg: Settings of the daemon.
            store: Configuration objects; changed only by this class.
            rng: Source of jitter and of the incarnation.
            object_api: Access to the object API; by default through the
                base URLs in the settings, if there are any.
            wall_ms: Wall clock in milliseconds, for the incarnation.
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
        self._object_api = object_api
        self._encode, self._decode = make_codec(cfg.key_bytes())
        self._change_listeners: list[Callable[[tuple[str, ...]], Any]] = []
        self._push_sockets: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()
        self._watch_task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = True

    async def start(self) -> None:
        """Opens the listening socket and contacts the peers in the settings.

        Raises:
            errors.SettingsError: Listening on the control URL failed.
        """
        self._loop = asyncio.get_running_loop()
        if self._object_api is None and self._cfg.platform:
            calls = objectapi_client.Client(
                self._cfg.platform, writer=self._cfg.host, rng=self._rng
            )
            self._object_api = access.ClientObjectAccess(calls)
        self._bad_input = decisions.make_bad_input_log(self._loop.time)
        ip = addresses.split(self._cfg.udp)[0]
        url = self._cfg.control or f"tcp://{ip}:0"
        self._listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE, recv_max_size=NNG_MAX_BYTES
        )
        try:
            bound = self._listener.listen(url)
        except pynng.NNGException as exc:
            self._listener.close()
            raise errors.SettingsError(
                f"cannot listen: {exc}", step="open control socket", peer=url
            ) from exc
        # Port 0 was replaced by the chosen port.
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
        self._execute(self.core.start(self._loop.time()))

    async def stop(self) -> None:
        """Closes all sockets and cancels all calls to the object API."""
        if self._stopped:
            return
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._receive_fd)
        self._listener.close()
        for sock in self._push_sockets.values():
            sock.close()
        self._push_sockets.clear()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_change(self, callback: Callable[[tuple[str, ...]], Any]) -> None:
        """Registers a function that is called with the changed keys.

        Besides object keys these are ``"drain/HOST"`` after a change of
        ``overrides`` and ``"incarnation"`` after a change of ``incarnation``.
        """
        self._change_listeners.append(callback)

    def announce(self, record: membership_messages.HostRecord) -> None:
        """Announces this host's upstreams until the memberships show them."""
        self._execute(self.core.announce(self._loop.time(), record))

    def drain(self) -> None:
        """Takes this host out of service, even if the object API is down."""
        self._execute(self.core.drain(self._loop.time()))

    def report_suspect(self, host: str, incarnation: int) -> None:
        """Reports a suspected host; repeated calls are allowed."""
        now = self._loop.time()
        self._execute(self.core.report_suspect(now, host, incarnation))

    def overrides(self) -> dict[tuple[str, int], objects.UpstreamState]:
        """Returns states that override members', by host and incarnation."""
        return self.core.overrides()

    def contact_age(self) -> float:
        """Returns seconds since a watcher last reached the object API."""
        return self.core.contact_age(self._loop.time())

    def daemons(self) -> list[tuple[gossip_messages.DaemonRow, float]]:
        """Returns known daemons with the seconds since they were last heard."""
        return self.core.gossip.daemons(self._loop.time())

    def synced(self) -> bool:
        """Returns whether the configuration of peers or object API is known."""
        return self.core.gossip.synced

    def status(self) -> dict[str, Any]:
        """Returns the state of the control plane for ``/status``."""
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
        for _ in range(RECEIVE_BURST_MESSAGES):
            if self._stopped:
                return
            try:
                data = self._listener.recv(block=False)
            except pynng.TryAgain:
                return
            self._on_control_message(data)

    def _on_control_message(self, data: bytes) -> None:
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        try:
            envelope = self._decode(data)
            outputs = self.core.on_message(self._loop.time(), envelope)
        except errors.WireError as exc:
            kind = {"check size": "oversized", "check tag": "wrong_tag"}
            self.counts[kind.get(exc.step, "malformed")] += 1
            self._bad_input(str(exc))
            return
        self._execute(outputs)

    def _send(self, url: str, message: Any) -> None:
        envelope = controlplane.ControlEnvelope(self._cfg.host, message)
        data = self._encode(envelope)
        try:
            self._push_socket(url).send(data, block=False)
        except pynng.NNGException as exc:
            # A dropped message needs no retry, as digests repair the loss.
            self.counts["dropped"] += 1
            logger.debug("dropped a control message to %s: %s", url, exc)
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)

    def _push_socket(self, url: str) -> pynng.Push0:
        sock = self._push_sockets.get(url)
        if sock is not None:
            self._push_sockets.move_to_end(url)
            return sock
        while len(self._push_sockets) >= MAX_PUSH_SOCKETS:
            self._push_sockets.popitem(last=False)[1].close()
        sock = pynng.Push0(
            send_buffer_size=SEND_QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            sock.dial(url, block=False)
        except pynng.NNGException:
            sock.close()
            raise
        self._push_sockets[url] = sock
        return sock

    # Outputs and timers.

    def _execute(self, outputs: Iterable[Any]) -> None:
        for item in outputs:
            if isinstance(item, gossip.Send):
                self._send(item.to, item.message)
            elif isinstance(item, gossip.KeysChanged):
                self._notify_listeners(item.keys)
            elif isinstance(item, gossip.PollObjectApi):
                self._start_task(self._poll())
            elif isinstance(item, membership.ReadObject):
                self._start_task(self._read_object(item.key))
            elif isinstance(item, membership.WriteObject):
                self._start_task(self._write_object(item))
            elif isinstance(item, membership.Rejoined):
                self.incarnation = item.incarnation
                logger.warning(
                    "host %s was removed and rejoins with incarnation %d",
                    self._cfg.host,
                    item.incarnation,
                )
                self._notify_listeners(("incarnation",))
            elif isinstance(item, membership.Replaced):
                logger.error(
                    "host %s was replaced by incarnation %d; this process "
                    "stops announcing its upstreams",
                    item.host,
                    item.newest,
                )
                self._notify_listeners(("incarnation",))
        self._schedule_timer()

    def _notify_listeners(self, keys: tuple[str, ...]) -> None:
        for callback in self._change_listeners:
            callback(keys)

    def _schedule_timer(self) -> None:
        if self._stopped:
            return
        if self._timer is not None:
            self._timer.cancel()
        deadline = self.core.next_timer()
        self._timer = self._loop.call_at(deadline, self._on_timer)
        if self.core.gossip.watching and self._watch_task is None:
            if self._object_api is not None:
                self._watch_task = self._start_task(self._watch())
        elif not self.core.gossip.watching and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def _on_timer(self) -> None:
        self._timer = None
        self._execute(self.core.on_timer(self._loop.time()))

    # Object API.

    def _start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("object API call failed", exc_info=task.exception())

    def _offer_objects(
        self, requested_at: float, items: Iterable[objects.VersionedObject]
    ) -> None:
        now = self._loop.time()
        self.core.record_api_contact(now, requested_at)
        self._execute(self.core.offer(now, items))

    async def _watch(self) -> None:
        """Watches all objects while this daemon is a watcher."""
        assert self._object_api is not None
        revision = None
        while True:
            requested_at = self._loop.time()
            try:
                batch = await self._object_api.watch(
                    "", revision, WATCH_TIMEOUT_S if revision is not None else 0
                )
            except errors.PlatformError:
                self.counts["platform_errors"] += 1
                await asyncio.sleep(WATCH_RETRY_S * self._rng.uniform(0.5, 1.5))
                continue
            if batch is None:
                # The history is gone; all watchers read anew, at random times.
                revision = None
                await asyncio.sleep(WATCH_RETRY_S * self._rng.uniform(0.0, 1.0))
                continue
            if revision is None:
                self.core.gossip.mark_synced()
            revision = batch.revision
            self._offer_objects(requested_at, batch.items)

    async def _poll(self) -> None:
        """Reads recent changes; a watcher only renews its contact."""
        if self._object_api is None:
            return
        requested_at = self._loop.time()
        try:
            if self.core.gossip.watching:
                stored = await self._object_api.read(objects.IN_FORCE_KEY)
                self._offer_objects(requested_at, [stored] if stored else [])
                return
            newest = max(self._store.version_by_key().values(), default=0)
            revision = max(newest - POLL_OVERLAP_REVISIONS, 0) or None
            if not self.core.gossip.synced:
                revision = None
            batch = await self._object_api.watch("", revision, 0)
            if batch is None:
                revision = None
                batch = await self._object_api.watch("", None, 0)
        except errors.PlatformError:
            self.counts["platform_errors"] += 1
            return
        if batch is not None:
            if revision is None:
                self.core.gossip.mark_synced()
            self._offer_objects(requested_at, batch.items)

    async def _read_object(self, key: str) -> None:
        requested_at = self._loop.time()
        answered = False
        if self._object_api is not None:
            try:
                stored = await self._object_api.read(key)
                answered = True
                self._offer_objects(requested_at, [stored] if stored else [])
            except errors.PlatformError:
                self.counts["platform_errors"] += 1
        self._execute(self.core.on_read(self._loop.time(), key, answered))

    async def _write_object(self, item: membership.WriteObject) -> None:
        requested_at = self._loop.time()
        version, problem = None, "unavailable"
        if self._object_api is not None:
            try:
                version = await self._object_api.write(
                    item.key, item.body, item.expected
                )
                written = objects.VersionedObject(item.key, version, item.body)
                self._offer_objects(requested_at, [written])
            except errors.ConflictError:
                problem = "conflict"
            except errors.WriteUnknownError:
                problem = "unknown"
            except errors.CrocusmuxError as exc:
                # Includes an object above the object API's size limit.
                logger.warning("writing object %s failed: %s", item.key, exc)
                self.counts["platform_errors"] += 1
        now = self._loop.time()
        self._execute(self.core.on_written(now, item.key, version, problem))
