"""Gossip protocol that spreads configuration between daemons, without I/O.

Each daemon has links to a few peers.  A newer object is announced by key and
version on all links and fetched once, so that its body crosses the network
about once per daemon.  Anti-entropy by digests on each link repairs the effect
of lost messages and broken links.  Two watchers in each failure domain, chosen
by rendezvous hashing over the known daemons, watch the object API.  Soft state
is spread too: known daemons, the last object API contact, and drain notices.
"""

from collections import deque
from collections.abc import Iterable
import math
import random
from typing import Any
import zlib

import msgspec
import xxhash

from crocusmux import errors
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.control import gossip_messages

WATCHERS = 2  # in each failure domain
# Best-ranked daemons to keep in each failure domain.  All of them watch while
# no recent contact of a watcher with the object API is known, as both watchers
# of a small failure domain may have died together.
CANDIDATES = 4
STALE_CONTACT_S = 8.0
LINKS = 4  # outbound links of a daemon
# Limit of the links that peers open.  Otherwise the peers in the settings and
# the daemons that started first would carry most of the traffic.
MAX_INBOUND = 2 * LINKS
MAX_ROWS = 64  # known daemons, besides candidates and retained daemons
# Most recently heard daemons of each failure domain that never expire, so that
# regions can reconnect after a long network partition.
RETAINED = 4
ALIVE_S = 60.0  # since a daemon was last heard
FORGET_AFTER_S = 600.0
DIGEST_S = 10.0  # between digests on an outbound link
REPLY_S = 3.0  # for the reply to a digest
MAX_MISSED = 2  # digests without a reply before a link is replaced
INBOUND_TIMEOUT_S = 3 * DIGEST_S
FLUSH_DELAY_S = 0.05  # in which announcements are batched
WANT_TIMEOUT_S = 1.0  # before an object is requested from another peer
MAX_WANTED = 64  # objects in requests to one peer without a reply
CHUNK_BYTES = 64_000
MIN_COMPRESS_BYTES = 512
MAX_UNPACKED_BYTES = 2 * objects.MAX_OBJECT_BYTES
MAX_ANNOUNCED = 1000
SAMPLE_ROWS = 2
# Smallest advance of the contact time that is sent on.  The time passes several
# links, each of which adds up to this delay, and leases last 10 s.
CONTACT_STEP_S = 1.5
RECONNECT_S = 30.0  # mean interval of attempts to reach a silent domain
POLL_S = 600.0  # mean interval of polls by daemons that do not watch
# Agents renew their leases by the last contact of a watcher, and a pending
# watch has no response while no object changes, so that watchers poll too.
WATCHER_POLL_S = 2.0
STARTUP_POLL_S = 5.0  # until the configuration is known
JOIN_WAIT_S = 2.0  # for replies of peers before the first poll
WATCH_AFTER_S = 3.0
RESIGN_AFTER_S = 10.0  # outranked, before it stops to watch
CLOSED_DRAIN_S = 600.0  # for which a removed notice is ignored

FANOUT = 16
LEAVES = FANOUT * FANOUT


class Send(msgspec.Struct, frozen=True, gc=False):
    """Output: send a message to the daemon at a control URL."""

    to: str
    message: Any


class KeysChanged(msgspec.Struct, frozen=True, gc=False):
    """Output: the objects or drain notices with these keys changed."""

    keys: tuple[str, ...]


class PollObjectApi(msgspec.Struct, frozen=True, gc=False):
    """Output: read new objects from the object API."""


class Link:
    """Link to a peer, whose digest with ``probe`` came at ``probe_at``."""

    __slots__ = (
        "heard_at",
        "misses",
        "outbound",
        "probe",
        "probe_at",
        "replied",
        "row",
        "sent_at",
        "sent_contact",
    )

    def __init__(
        self, row: gossip_messages.DaemonRow, outbound: bool, now: float
    ) -> None:
        self.row = row
        self.outbound = outbound
        self.heard_at = now
        self.sent_at = -math.inf
        self.replied = True
        self.misses = 0
        self.probe = -1
        self.probe_at = now
        self.sent_contact = -math.inf


class KnownDaemon:
    """A known daemon; a link to it last failed at ``failed_at``."""

    __slots__ = ("failed_at", "heard_at", "row", "score")

    def __init__(self, row: gossip_messages.DaemonRow, heard_at: float) -> None:
        self.row = row
        self.heard_at = heard_at
        self.score = watcher_score(row.name, row.failure_domain)
        self.failed_at = -math.inf


def hash_text(text: str, seed: int = 0) -> int:
    """Returns the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed % 2**64)


def watcher_score(name: str, failure_domain: str) -> int:
    """Returns the rendezvous score of a daemon in its failure domain."""
    return hash_text(name, hash_text(failure_domain))


def row_hash(row: gossip_messages.DaemonRow) -> int:
    """Returns the hash that identifies an incarnation of a daemon."""
    return hash_text(row.name, row.incarnation)


def pack_objects(
    items: list[objects.VersionedObject],
) -> gossip_messages.Objects:
    """Encodes objects, and compresses them if they are large enough."""
    data = msgspec.msgpack.encode([(v.key, v.version, v.body) for v in items])
    if len(data) < MIN_COMPRESS_BYTES:
        return gossip_messages.Objects(data, False)
    return gossip_messages.Objects(zlib.compress(data, 1), True)


def unpack_objects(
    message: gossip_messages.Objects,
) -> list[objects.VersionedObject]:
    """Decodes objects.

    Raises:
        errors.WireError: The message is malformed or too large.
    """
    data = message.data
    try:
        if message.packed:
            stream = zlib.decompressobj()
            data = stream.decompress(data, MAX_UNPACKED_BYTES)
            if stream.unconsumed_tail or not stream.eof:
                raise errors.WireError(
                    f"more than {MAX_UNPACKED_BYTES} bytes, or truncated",
                    step="unpack objects",
                )
        items = msgspec.msgpack.decode(data, type=list[tuple[str, int, bytes]])
    except (zlib.error, msgspec.DecodeError) as exc:
        raise errors.WireError(str(exc), step="unpack objects") from exc
    return [objects.VersionedObject(*item) for item in items]


class VersionTree:
    """Hash tree over the versions of all objects, updated incrementally."""

    __slots__ = ("groups", "keys", "leaves", "root")

    def __init__(self) -> None:
        self.root = 0
        self.groups = [0] * FANOUT
        self.leaves = [0] * LEAVES
        self.keys: list[dict[str, int]] = [{} for _ in range(LEAVES)]

    def set(self, key: str, version: int) -> None:
        """Sets the version of an object and updates the hashes."""
        leaf = hash_text(key) % LEAVES
        versions = self.keys[leaf]
        change = hash_text(key, version)
        if key in versions:
            change ^= hash_text(key, versions[key])
        versions[key] = version
        self.leaves[leaf] ^= change
        self.groups[leaf // FANOUT] ^= change
        self.root ^= change


class Gossip:
    """Gossip protocol of one daemon.

    Attributes:
        row: This daemon.
        store: Newest known objects.
        api_contact: Time, by the own clock, at which a watcher sent the
            last request that the object API answered; ``-inf`` if none.
        synced: True once the objects equal a peer's or were read from the API.
        watching: True if this daemon watches the object API.
        counts: Counts of events, for the status page.
        drain_notices: Incarnation of each host that takes no new work.
    """

    def __init__(
        self,
        row: gossip_messages.DaemonRow,
        store: config_store.ConfigStore,
        peers: Iterable[str],
        rng: random.Random,
    ) -> None:
        self.row = row
        self.store = store
        self.api_contact = -math.inf
        self.synced = False
        self.watching = False
        self.counts = {"rejected": 0, "fetched": 0, "links_lost": 0}
        self.drain_notices: dict[str, int] = {}
        self._peers = [url for url in peers if url != row.control]
        self._rng = rng
        self._own = KnownDaemon(row, math.inf)
        self._known: dict[str, KnownDaemon] = {}
        self._by_hash: dict[int, KnownDaemon] = {}
        self._links: dict[str, Link] = {}
        self._versions = VersionTree()
        self._start = 0.0
        self._first_reply_at = math.inf
        self._resign_at = math.inf
        self._unannounced: dict[str, str] = {}  # source by key
        self._new_drains: list[tuple[str, int]] = []
        self._closed: dict[str, tuple[int, float]] = {}  # drains, expiry
        self._wanted: dict[str, list[Any]] = {}  # version, other peers
        self._queues: dict[str, deque[str]] = {}  # keys by peer URL
        self._requested: dict[str, dict[str, float]] = {}  # keys with time
        self._rejected: dict[str, int] = {}
        self._flush_at = math.inf
        self._tick_at = math.inf
        self._poll_at = math.inf
        self._reconnect_at = math.inf
        for key, version in store.version_by_key().items():
            self._versions.set(key, version)

    # Inputs.

    def start(self, now: float) -> list[Any]:
        """Sends digests to peers from the settings and schedules the timers."""
        self._start = now
        self._tick_at = now + self._rng.uniform(0.5, 1.5)
        wait = JOIN_WAIT_S * self._rng.uniform(1.0, 2.0) if self._peers else 0.0
        self._poll_at = now + wait
        self._reconnect_at = now + self._rng.uniform(0.5, 1.5) * RECONNECT_S
        return self._contact_peers(now)

    def next_timer(self) -> float:
        """Returns the time of the next ``on_timer``."""
        return min(self._flush_at, self._tick_at, self._poll_at)

    def on_timer(self, now: float) -> list[Any]:
        """Flushes announcements, maintains links and polls, as scheduled."""
        out: list[Any] = []
        if now >= self._flush_at:
            self._flush_at = math.inf
            self._flush(now, out)
        if now >= self._tick_at:
            self._tick_at = now + self._rng.uniform(0.8, 1.2)
            self._tick(now, out)
        if now >= self._poll_at:
            first = self._poll_at < self._start + POLL_S / 2
            # The first poll is for a start at which no peer replied.
            if self.watching or not (self.synced and first):
                out.append(PollObjectApi())
            self._poll_at = now + self._poll_period()
        return out

    def offer(
        self,
        now: float,
        items: Iterable[objects.VersionedObject],
        source: str = "",
    ) -> list[Any]:
        """Stores newer objects and schedules their announcement.

        Args:
            now: Time of the loop's clock, seconds.
            items: The objects; equal and older versions change nothing.
            source: Peer that sent them; empty for the object API.
        """
        changed = []
        for versioned in items:
            key = versioned.key
            if self._rejected.get(key) == versioned.version:
                continue
            try:
                stored = self.store.apply_if_newer(versioned)
            except errors.ObjectError:
                self._rejected[key] = versioned.version
                self.counts["rejected"] += 1
                continue
            if stored:
                self._versions.set(key, versioned.version)
                self._unannounced[key] = source
                changed.append(key)
            self._drop_if_fetched(key)
        if not changed:
            return []
        self._schedule_flush(now)
        return [KeysChanged(tuple(changed))]

    def record_api_contact(self, now: float, asked_at: float) -> None:
        """Records a response of the object API to a request at ``asked_at``."""
        if asked_at > self.api_contact:
            self.api_contact = asked_at
            self._schedule_flush(now)

    def mark_synced(self) -> None:
        """Records that all objects were read from the object API."""
        self.synced = True

    def drain(self, now: float, host: str, incarnation: int) -> list[Any]:
        """Records and spreads the notice that a host takes no new work."""
        if incarnation <= self.drain_notices.get(host, -1):
            return []
        if incarnation <= self._closed.get(host, (-1, 0.0))[0]:
            return []
        self.drain_notices[host] = incarnation
        self._new_drains.append((host, incarnation))
        # Not batched: all daemons must know of the drain within 2 s.
        self._flush_at = now
        return [KeysChanged((f"drain/{host}",))]

    def remove_drain_notice(self, now: float, host: str) -> None:
        """Removes a drain notice that the memberships now reflect."""
        incarnation = self.drain_notices.pop(host, None)
        if incarnation is not None:
            # Peers that still have the notice may send it again.
            self._closed[host] = (incarnation, now + CLOSED_DRAIN_S)

    def on_message(self, now: float, sender: str, message: Any) -> list[Any]:
        """Processes a message from a peer.

        Raises:
            errors.WireError: Its content is malformed.
        """
        out: list[Any] = []
        if isinstance(message, gossip_messages.Digest):
            self._on_digest(now, message, out)
            return out
        link = self._links.get(sender)
        known = self._known.get(sender)
        if link is None and known is None:
            return out  # No URL for replies until the sender's next digest.
        url = link.row.control if link else known.row.control  # type: ignore
        if link is not None:
            link.heard_at = now
        if isinstance(message, gossip_messages.Announce):
            self._on_announce(now, url, message.items, out)
        elif isinstance(message, gossip_messages.Want):
            self._on_want(url, message, out)
        elif isinstance(message, gossip_messages.Objects):
            self._on_objects(now, sender, url, message, out)
        elif isinstance(message, gossip_messages.Contact):
            self._on_contact(now, link, message)
        elif isinstance(message, gossip_messages.Nodes):
            self._on_nodes(url, message, out)
        elif isinstance(message, gossip_messages.Leaves):
            self._on_leaves(now, url, message, out)
        elif isinstance(message, gossip_messages.Drains):
            for host, incarnation in message.items:
                out += self.drain(now, host, incarnation)
        elif isinstance(message, gossip_messages.WantRows):
            found = [self._by_hash.get(h) for h in message.hashes[:MAX_ROWS]]
            rows = [(k.row, _age(now, k.heard_at)) for k in found if k]
            out.append(Send(url, gossip_messages.Rows(rows)))
        elif isinstance(message, gossip_messages.Rows):
            for row, age in message.rows[:MAX_ROWS]:
                self._record_daemon(now, row, now - max(age, 0))
        return out

    # Views on the state.

    def contact_age(self, now: float) -> float:
        """Returns the seconds since the last known object API contact."""
        return now - self.api_contact

    def daemons(
        self, now: float
    ) -> list[tuple[gossip_messages.DaemonRow, float]]:
        """Returns the live daemons with the seconds since last heard."""
        rows = [(self.row, 0.0)]
        rows += [
            (k.row, now - k.heard_at)
            for k in self._known.values()
            if now - k.heard_at <= ALIVE_S or k.row.name in self._links
        ]
        return sorted(rows, key=lambda item: item[0].name)

    def watchers(
        self, now: float, failure_domain: str
    ) -> list[gossip_messages.DaemonRow]:
        """Returns the known watchers of a failure domain."""
        ranked = self._rank_daemons(now, failure_domain)
        return [k.row for k in ranked[: self._watcher_count(now)]]

    def all_watchers(self, now: float) -> list[gossip_messages.DaemonRow]:
        """Returns the known watchers, those of the own domain first."""
        own_domain = self.row.failure_domain
        domains = {k.row.failure_domain for k in self._known.values()}
        rows = self.watchers(now, own_domain)
        for domain in sorted(domains - {own_domain}):
            rows += self.watchers(now, domain)
        return rows

    def linked_peers(self) -> list[str]:
        """Returns the names of the peers with a link."""
        return sorted(self._links)

    def root_hash(self) -> int:
        """Returns the hash of the versions of all objects."""
        return self._versions.root

    def fleet_size(self) -> float:
        """Returns an estimate of the number of daemons.

        Only the best-ranked daemons of each failure domain are certain to be
        known; the k-th highest of n uniform scores is close to 1 - k/n.
        """
        domains: dict[str, list[int]] = {self.row.failure_domain: []}
        for known in [self._own, *self._known.values()]:
            domains.setdefault(known.row.failure_domain, []).append(known.score)
        total = 0.0
        for scores in domains.values():
            if len(scores) >= CANDIDATES:
                scores.sort(reverse=True)
                share = 1 - scores[CANDIDATES - 1] / 2**64
                total += max(len(scores), (CANDIDATES - 1) / share)
            else:
                total += len(scores)
        return total

    # Known daemons.

    def _record_daemon(
        self, now: float, row: gossip_messages.DaemonRow, heard: float
    ) -> KnownDaemon | None:
        if row.name == self.row.name:
            return None
        known = self._known.get(row.name)
        if known is not None:
            if row.incarnation < known.row.incarnation:
                return known
            if row != known.row:
                self._by_hash.pop(row_hash(known.row), None)
                known.row = row
                known.score = watcher_score(row.name, row.failure_domain)
                known.failed_at = -math.inf
                self._by_hash[row_hash(row)] = known
            known.heard_at = max(known.heard_at, heard)
            return known
        known = KnownDaemon(row, heard)
        self._known[row.name] = known
        self._by_hash[row_hash(row)] = known
        if len(self._known) > MAX_ROWS:
            self._evict(now)
        return known

    def _evict(self, now: float) -> None:
        """Drops an unprotected daemon; random, to keep a random sample."""
        kept = set(self._links)
        domains: dict[str, list[KnownDaemon]] = {}
        for known in self._known.values():
            domains.setdefault(known.row.failure_domain, []).append(known)
        for domain, group in domains.items():
            kept.update(
                k.row.name for k in self._rank_daemons(now, domain)[:CANDIDATES]
            )
            group.sort(key=lambda k: k.heard_at, reverse=True)
            kept.update(k.row.name for k in group[:RETAINED])
        evictable = [name for name in self._known if name not in kept]
        if evictable:
            self._forget(self._rng.choice(evictable))

    def _forget(self, name: str) -> None:
        known = self._known.pop(name)
        self._by_hash.pop(row_hash(known.row), None)

    def _rank_daemons(self, now: float, domain: str) -> list[KnownDaemon]:
        ranked = [
            k
            for k in self._known.values()
            if k.row.failure_domain == domain and now - k.heard_at <= ALIVE_S
        ]
        if domain == self.row.failure_domain:
            ranked.append(self._own)
        ranked.sort(key=lambda k: k.score, reverse=True)
        return ranked

    def _expire(self, now: float) -> None:
        count: dict[str, int] = {}
        for known in self._known.values():
            domain = known.row.failure_domain
            count[domain] = count.get(domain, 0) + 1
        old = sorted(self._known.values(), key=lambda k: k.heard_at)
        for known in old:
            domain = known.row.failure_domain
            if now - known.heard_at <= FORGET_AFTER_S:
                break
            if count[domain] > RETAINED and known.row.name not in self._links:
                count[domain] -= 1
                self._forget(known.row.name)

    def _candidates(self, now: float) -> set[str]:
        """Returns the names of the best-ranked daemons of each domain."""
        domains = {k.row.failure_domain for k in self._known.values()}
        return {
            known.row.name
            for domain in domains
            for known in self._rank_daemons(now, domain)[:CANDIDATES]
        }

    def _beats(self, now: float) -> list[tuple[int, int]]:
        domains = {k.row.failure_domain for k in self._known.values()}
        beats = []
        for domain in domains:
            for known in self._rank_daemons(now, domain)[:CANDIDATES]:
                if known is not self._own:
                    beats.append(
                        (row_hash(known.row), _age(now, known.heard_at))
                    )
        return beats

    def _watcher_count(self, now: float) -> int:
        """Returns the number of watchers of each failure domain."""
        fresh = now - self.api_contact <= STALE_CONTACT_S
        return WATCHERS if fresh else CANDIDATES

    def _poll_period(self) -> float:
        if self.watching:
            return WATCHER_POLL_S * self._rng.uniform(0.8, 1.2)
        mean = POLL_S if self.synced else STARTUP_POLL_S
        return mean * self._rng.uniform(0.5, 1.5)

    def _update_watching(self, now: float) -> None:
        ranked = self._rank_daemons(now, self.row.failure_domain)
        chosen = self._own in ranked[: self._watcher_count(now)]
        # Just after its start a daemon knows too few others to rank itself.
        settled = not self._peers or now >= min(
            self._start + WATCH_AFTER_S, self._first_reply_at + 1.0
        )
        if chosen:
            self._resign_at = math.inf
            if settled and not self.watching:
                self.watching = True
                self._poll_at = now
        elif self.watching:
            self._resign_at = min(self._resign_at, now + RESIGN_AFTER_S)
            if now >= self._resign_at:
                self.watching = False

    # Links.

    def _contact_peers(self, now: float) -> list[Any]:
        """Returns digests to a random sample of the peers in the settings."""
        count = min(LINKS, len(self._peers))
        urls = self._rng.sample(self._peers, count)
        digest = self._digest(now, answer=False)
        return [Send(url, digest) for url in urls]

    def _digest(
        self, now: float, answer: bool, full: bool = False
    ) -> gossip_messages.Digest:
        alive = [k for k in self._known.values() if now - k.heard_at <= ALIVE_S]
        sample = self._rng.sample(alive, min(SAMPLE_ROWS, len(alive)))
        return gossip_messages.Digest(
            row=self.row,
            probe=int((now - self._start) * 1000),
            root=self._versions.root,
            drains=self._drains_hash(),
            beats=self._beats(now),
            rows=[(k.row, _age(now, k.heard_at)) for k in sample],
            answer=answer,
            full=full,
        )

    def _drains_hash(self) -> int:
        total = 0
        for host, incarnation in self.drain_notices.items():
            total ^= hash_text(host, incarnation)
        return total

    def _on_digest(
        self, now: float, message: gossip_messages.Digest, out: list[Any]
    ) -> None:
        row = message.row
        if row.name == self.row.name:
            return
        known = self._record_daemon(now, row, now)
        if known is None or row.incarnation < known.row.incarnation:
            return
        known.failed_at = now if message.full else -math.inf
        link = self._accept_link(now, message)
        unknown = []
        for hashed, age in message.beats[:MAX_ROWS]:
            heard = self._by_hash.get(hashed)
            if heard is None:
                if hashed != row_hash(self.row) and age < ALIVE_S:
                    unknown.append(hashed)
            else:
                heard.heard_at = max(heard.heard_at, now - max(age, 0))
        if unknown:
            out.append(Send(row.control, gossip_messages.WantRows(unknown)))
        for sampled, age in message.rows[:SAMPLE_ROWS]:
            self._record_daemon(now, sampled, now - max(age, 0))
        if message.answer:
            if math.isinf(self._first_reply_at):
                self._first_reply_at = now
        else:
            answer = self._digest(now, answer=True, full=link is None)
            out.append(Send(row.control, answer))
        if message.root == self._versions.root:
            # Hash 0 is that of an empty store, which is no configuration.
            self.synced = self.synced or message.root != 0
        elif message.answer:
            out.append(
                Send(
                    row.control,
                    gossip_messages.Nodes(list(self._versions.groups), {}),
                )
            )
        if message.drains != self._drains_hash() and self.drain_notices:
            items = list(self.drain_notices.items())
            out.append(Send(row.control, gossip_messages.Drains(items)))
        self._schedule_flush(now)

    def _accept_link(
        self, now: float, message: gossip_messages.Digest
    ) -> Link | None:
        """Returns the link to a digest's sender; None if a side rejects it."""
        row = message.row
        link = self._links.get(row.name)
        if message.full:
            if link is not None and link.outbound:
                del self._links[row.name]
            return None
        if link is None or link.row != row:
            outbound = (
                link.outbound
                if link
                else message.answer and self._needs_links()
            )
            inbound = sum(not link.outbound for link in self._links.values())
            if link is None and not outbound and inbound >= MAX_INBOUND:
                return None
            link = Link(row, outbound, now)
            self._links[row.name] = link
        link.heard_at = now
        link.probe, link.probe_at = message.probe, now
        if message.answer:
            link.replied, link.misses = True, 0
        return link

    def _needs_links(self) -> bool:
        return sum(link.outbound for link in self._links.values()) < LINKS

    def _tick(self, now: float, out: list[Any]) -> None:
        """Runs the periodic work on links, known daemons and requests."""
        for name, link in list(self._links.items()):
            if link.outbound:
                self._maintain_link(now, name, link, out)
            elif now - link.heard_at > INBOUND_TIMEOUT_S:
                del self._links[name]
        if self._needs_links():
            self._open_links(now, out)
        if now >= self._reconnect_at:
            self._reconnect(now, out)
        self._expire(now)
        self._update_watching(now)
        self._retry_requests(now, out)
        for host, (_, until) in list(self._closed.items()):
            if now >= until:
                del self._closed[host]

    def _maintain_link(
        self, now: float, name: str, link: Link, out: list[Any]
    ) -> None:
        if not link.replied and now - link.sent_at >= REPLY_S:
            link.misses += 1
            link.replied = True
            link.sent_at = -math.inf
            if link.misses >= MAX_MISSED:
                self.counts["links_lost"] += 1
                del self._links[name]
                if name in self._known:
                    self._known[name].failed_at = now
                return
        if now - link.sent_at >= DIGEST_S:
            # A random first interval keeps the links from synchronizing.
            early = math.isinf(link.sent_at)
            link.sent_at = now
            if early and not link.misses:
                link.sent_at -= self._rng.uniform(0, DIGEST_S - REPLY_S - 1)
            link.replied = False
            message = self._digest(now, answer=False)
            out.append(Send(link.row.control, message))

    def _open_links(self, now: float, out: list[Any]) -> None:
        """Opens links: other region, other domain, own domain, then any."""
        linked = [link.row for link in self._links.values() if link.outbound]
        free = [
            k
            for name, k in self._known.items()
            if now - k.heard_at <= ALIVE_S
            and now - k.failed_at > ALIVE_S
            and not (name in self._links and self._links[name].outbound)
        ]
        if not free and not self._links and self._peers:
            out += self._contact_peers(now)
            return
        self._rng.shuffle(free)
        # All daemons know the candidates, so they come last: otherwise a few
        # watchers would carry most of the links.
        ranked = self._candidates(now)
        free.sort(key=lambda k: k.row.name in ranked)
        places: list[Any] = [
            lambda row: row.region != self.row.region,
            lambda row: (
                row.region == self.row.region
                and row.failure_domain != self.row.failure_domain
            ),
        ]
        for fits in places:
            if len(linked) < LINKS and not any(fits(row) for row in linked):
                for known in free:
                    if fits(known.row):
                        self._open_link(now, known, linked, free)
                        break
        near = [
            k for k in free if k.row.failure_domain == self.row.failure_domain
        ]
        for known in near + [k for k in free if k not in near]:
            if len(linked) >= LINKS:
                break
            self._open_link(now, known, linked, free)

    def _open_link(
        self,
        now: float,
        known: KnownDaemon,
        linked: list[gossip_messages.DaemonRow],
        free: list[KnownDaemon],
    ) -> None:
        free.remove(known)
        linked.append(known.row)
        link = self._links.get(known.row.name)
        if link is None:
            link = Link(known.row, True, now)
            self._links[known.row.name] = link
        link.outbound = True

    def _reconnect(self, now: float, out: list[Any]) -> None:
        """Sends a digest to one daemon of each domain without a live one."""
        self._reconnect_at = now + RECONNECT_S * self._rng.uniform(0.5, 1.5)
        domains: dict[str, list[KnownDaemon]] = {}
        for known in self._known.values():
            domains.setdefault(known.row.failure_domain, []).append(known)
        silent = [
            group
            for _, group in sorted(domains.items())
            if all(now - k.heard_at > ALIVE_S for k in group)
        ]
        urls = [self._rng.choice(group).row.control for group in silent]
        if silent and self._peers:
            urls.append(self._rng.choice(self._peers))
        digest = self._digest(now, answer=False)
        out += [Send(url, digest) for url in urls]

    # Objects.

    def _schedule_flush(self, now: float) -> None:
        self._flush_at = min(self._flush_at, now + FLUSH_DELAY_S)

    def _flush(self, now: float, out: list[Any]) -> None:
        """Sends the batched announcements, drain notices and contact times."""
        dirty, self._unannounced = self._unannounced, {}
        drains, self._new_drains = self._new_drains, []
        version = self.store.version
        for name, link in self._links.items():
            url = link.row.control
            items = [
                (key, version(key))
                for key, source in dirty.items()
                if source != name
            ]
            for first in range(0, len(items), MAX_ANNOUNCED):
                chunk = items[first : first + MAX_ANNOUNCED]
                out.append(Send(url, gossip_messages.Announce(chunk)))
            if drains:
                out.append(Send(url, gossip_messages.Drains(drains)))
            if (
                link.probe >= 0
                and self.api_contact - link.sent_contact >= CONTACT_STEP_S
            ):
                link.sent_contact = self.api_contact
                delta = math.floor((self.api_contact - link.probe_at) * 1000)
                out.append(
                    Send(url, gossip_messages.Contact(link.probe, delta))
                )

    def _on_contact(
        self, now: float, link: Link | None, message: gossip_messages.Contact
    ) -> None:
        sent_at = self._start + message.echo / 1000
        contact = sent_at + message.delta_ms / 1000
        if link is None or not self._start <= sent_at <= now or contact > now:
            return
        # The peer knows this time, so it is not sent back.
        link.sent_contact = max(link.sent_contact, contact)
        if contact > self.api_contact:
            self.api_contact = contact
            self._schedule_flush(now)

    def _on_announce(
        self, now: float, url: str, items: list[tuple[str, int]], out: list[Any]
    ) -> None:
        queue = self._queues.setdefault(url, deque())
        for key, version in items:
            if version <= self.store.version(key):
                continue
            if version <= self._rejected.get(key, 0):
                continue
            wanted = self._wanted.get(key)
            if wanted is not None and version <= wanted[0]:
                if url not in wanted[1] and len(wanted[1]) < LINKS:
                    wanted[1].append(url)
                continue
            self._wanted[key] = [version, []]
            queue.append(key)
        self._request_queued(now, url, out)

    def _request_queued(self, now: float, url: str, out: list[Any]) -> None:
        """Requests queued objects from a peer, up to ``MAX_WANTED`` pending."""
        queue = self._queues.get(url)
        if queue is None:
            return
        pending = self._requested.setdefault(url, {})
        keys = []
        while queue and len(pending) < MAX_WANTED:
            key = queue.popleft()
            if key in self._wanted:
                pending[key] = now
                keys.append(key)
        if keys:
            out.append(Send(url, gossip_messages.Want(keys)))
        if not queue:
            del self._queues[url]
        if not pending:
            del self._requested[url]

    def _drop_if_fetched(self, key: str) -> None:
        wanted = self._wanted.get(key)
        if wanted is not None and self.store.version(key) >= wanted[0]:
            del self._wanted[key]

    def _retry_requests(self, now: float, out: list[Any]) -> None:
        """Requests objects that a peer did not send from another peer."""
        for url, pending in list(self._requested.items()):
            if all(now - at < WANT_TIMEOUT_S for at in pending.values()):
                continue
            del self._requested[url]
            unsent_keys = list(pending) + list(self._queues.pop(url, ()))
            for key in unsent_keys:
                wanted = self._wanted.get(key)
                if wanted is None:
                    continue
                if not self._try_next(wanted, key):
                    # The next digest that differs announces it again.
                    del self._wanted[key]
        for url in list(self._queues):
            self._request_queued(now, url, out)

    def _try_next(self, wanted: list[Any], key: str) -> bool:
        """Queues an object for the next peer that announced it, if any."""
        if not wanted[1]:
            return False
        self._queues.setdefault(wanted[1].pop(0), deque()).append(key)
        return True

    def _on_want(
        self, url: str, message: gossip_messages.Want, out: list[Any]
    ) -> None:
        chunk: list[objects.VersionedObject] = []
        size = 0
        for key in message.keys[:MAX_WANTED]:
            versioned = self.store.versioned(key)
            if versioned is None:
                continue
            if chunk and size + len(versioned.body) > CHUNK_BYTES:
                out.append(Send(url, pack_objects(chunk)))
                chunk, size = [], 0
            chunk.append(versioned)
            size += len(versioned.body)
        if chunk:
            out.append(Send(url, pack_objects(chunk)))

    def _on_objects(
        self,
        now: float,
        sender: str,
        url: str,
        message: gossip_messages.Objects,
        out: list[Any],
    ) -> None:
        items = unpack_objects(message)
        self.counts["fetched"] += len(items)
        out += self.offer(now, items, sender)
        pending = self._requested.get(url)
        if pending is not None:
            for versioned in items:
                pending.pop(versioned.key, None)
            if not pending:
                del self._requested[url]
        for versioned in items:
            # Still wanted: it is invalid, or older than the announced version.
            wanted = self._wanted.get(versioned.key)
            if wanted is not None and not self._try_next(wanted, versioned.key):
                del self._wanted[versioned.key]
        for queued in list(self._queues):
            self._request_queued(now, queued, out)

    # Anti-entropy.

    def _on_nodes(
        self, url: str, message: gossip_messages.Nodes, out: list[Any]
    ) -> None:
        tree = self._versions
        if message.leaves:
            differing = [
                group * FANOUT + index
                for group, hashes in message.leaves.items()
                if 0 <= group < FANOUT
                for index, value in enumerate(hashes[:FANOUT])
                if tree.leaves[group * FANOUT + index] != value
            ]
            items: list[tuple[str, int]] = []
            leaves: list[int] = []
            for leaf in differing:
                leaves.append(leaf)
                items += tree.keys[leaf].items()
                if len(items) >= MAX_ANNOUNCED:
                    out.append(Send(url, gossip_messages.Leaves(leaves, items)))
                    leaves, items = [], []
            if leaves:
                out.append(Send(url, gossip_messages.Leaves(leaves, items)))
            return
        groups = {
            group: tree.leaves[group * FANOUT : (group + 1) * FANOUT]
            for group, value in enumerate(message.groups[:FANOUT])
            if tree.groups[group] != value
        }
        if groups:
            out.append(Send(url, gossip_messages.Nodes([], groups)))

    def _on_leaves(
        self,
        now: float,
        url: str,
        message: gossip_messages.Leaves,
        out: list[Any],
    ) -> None:
        theirs = dict(message.items)
        newer = [
            (key, version)
            for leaf in message.leaves[:LEAVES]
            if 0 <= leaf < LEAVES
            for key, version in self._versions.keys[leaf].items()
            if version > theirs.get(key, 0)
        ]
        for first in range(0, len(newer), MAX_ANNOUNCED):
            chunk = newer[first : first + MAX_ANNOUNCED]
            out.append(Send(url, gossip_messages.Announce(chunk)))
        self._on_announce(now, url, message.items, out)


def _age(now: float, heard: float) -> int:
    """Returns the age in seconds, rounded up so that ages never shrink."""
    return math.ceil(now - heard)
