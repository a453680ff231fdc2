"""Dissemination of configuration between daemons, without I/O.

Each daemon keeps links to a few peers.  A newer object is announced by key
and version on all links and fetched once, so that a body crosses the network
about once for each daemon.  Digests on each link repair what a lost message
or a broken link left behind.  Two watchers in each failure domain, chosen by
rendezvous hashing over the known daemons, hold the platform's watches.

State other than configuration objects is soft: known daemons, the time of
the last platform contact, and drain notices.
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

WATCHERS = 2  # for each failure domain
# Best-ranked daemons kept for each failure domain.  All of them watch while
# no watcher's platform contact is known to be fresh: the first two of a small
# failure domain may have died together.
CANDIDATES = 4
STALE_CONTACT_S = 8.0
OUTBOUND_LINKS = 4  # links that a daemon opens itself
# Links that others may open to a daemon.  The peers in the settings and the
# daemons that started first would otherwise carry most of the traffic.
MAX_INBOUND = 2 * OUTBOUND_LINKS
MAX_ROWS = 64  # known daemons kept, without candidates and retained ones
# Daemons of each failure domain that are kept however long ago they were
# heard, so that regions find each other again after a long split.
RETAINED = 4
ALIVE_TIMEOUT_S = 60.0  # a daemon not heard for so long no longer counts
FORGET_S = 600.0
DIGEST_S = 10.0  # period of digests on each own link
ANSWER_S = 3.0
MISSES = 2  # unanswered digests after which a link is replaced
INBOUND_S = 3 * DIGEST_S
FLUSH_S = 0.05  # time in which announcements are batched
WANT_S = 1.0  # time after which another peer is asked for an object
WANT_KEYS = 64
CHUNK_BYTES = 64_000
COMPRESS_BYTES = 512
MAX_UNPACKED_BYTES = 2 * objects.MAX_OBJECT_BYTES
ANNOUNCE_KEYS = 1000
SAMPLE_ROWS = 2
# A lease lasts 10 s and stamps pass several links, each of which may lag
# behind by this step.
CONTACT_STEP_S = 1.5
RECONNECT_S = 30.0  # mean period of attempts to reach an unreachable domain
POLL_S = 600.0  # mean period of platform polls by daemons that do not watch
# A watcher polls as well: agents renew their leases by its last contact, and
# a pending watch says nothing while no object changes.
WATCHER_POLL_S = 2.0
BOOT_POLL_S = 5.0  # while nothing is known yet
BOOT_S = 2.0  # time in which peers may answer before the platform is read
WATCH_AFTER_S = 3.0
RESIGN_S = 10.0
DRAIN_KEEP_S = 600.0

FANOUT = 16
LEAVES = FANOUT * FANOUT


class Send(msgspec.Struct, frozen=True, gc=False):
    """Output: send a message to the daemon at a control URL."""

    to: str
    message: Any


class KeysChanged(msgspec.Struct, frozen=True, gc=False):
    """Output: objects or drain notices with these keys changed."""

    keys: tuple[str, ...]


class PollPlatform(msgspec.Struct, frozen=True, gc=False):
    """Output: read what is new from the platform."""


class Link:
    """State of a link to a peer."""

    __slots__ = (
        "answered",
        "heard",
        "misses",
        "outbound",
        "probe",
        "probe_at",
        "row",
        "sent_at",
        "sent_contact",
    )

    def __init__(
        self, row: gossip_messages.DaemonRow, own: bool, now: float
    ) -> None:
        self.row = row
        self.outbound = own
        self.heard = now
        self.sent_at = -math.inf
        self.answered = True
        self.misses = 0
        self.probe = -1
        self.probe_at = now
        self.sent_contact = -math.inf


class KnownDaemon:
    """A known daemon with the time at which it was last heard."""

    __slots__ = ("failed", "heard", "row", "score")

    def __init__(self, row: gossip_messages.DaemonRow, heard: float) -> None:
        self.row = row
        self.heard = heard
        self.score = watcher_score(row.name, row.failure_domain)
        self.failed = -math.inf


def hash_text(text: str, seed: int = 0) -> int:
    """Returns the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed % 2**64)


def watcher_score(name: str, failure_domain: str) -> int:
    """Returns the rendezvous score of a daemon in its failure domain."""
    return hash_text(name, hash_text(failure_domain))


def row_hash(row: gossip_messages.DaemonRow) -> int:
    """Returns the hash by which a daemon's incarnation is named."""
    return hash_text(row.name, row.incarnation)


def pack_objects(items: list[objects.Versioned]) -> gossip_messages.Objects:
    """Encodes objects, compressed when that saves bytes."""
    data = msgspec.msgpack.encode([(v.key, v.version, v.body) for v in items])
    if len(data) < COMPRESS_BYTES:
        return gossip_messages.Objects(data, False)
    return gossip_messages.Objects(zlib.compress(data, 1), True)


def unpack_objects(message: gossip_messages.Objects) -> list[objects.Versioned]:
    """Decodes objects.

    Raises:
        errors.WireError: They are malformed or too large.
    """
    data = message.data
    try:
        if message.packed:
            stream = zlib.decompressobj()
            data = stream.decompress(data, MAX_UNPACKED_BYTES)
            if stream.unconsumed_tail or not stream.eof:
                raise errors.WireError(
                    f"more than {MAX_UNPACKED_BYTES} bytes or cut short",
                    step="unpack objects",
                )
        items = msgspec.msgpack.decode(data, type=list[tuple[str, int, bytes]])
    except (zlib.error, msgspec.DecodeError) as exc:
        raise errors.WireError(str(exc), step="unpack objects") from exc
    return [objects.Versioned(*item) for item in items]


class VersionTree:
    """Hash tree over the versions of all objects, kept incrementally."""

    __slots__ = ("groups", "keys", "leaves", "root")

    def __init__(self) -> None:
        self.root = 0
        self.groups = [0] * FANOUT
        self.leaves = [0] * LEAVES
        self.keys: list[dict[str, int]] = [{} for _ in range(LEAVES)]

    def set(self, key: str, version: int) -> None:
        """Takes the new version of an object."""
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
    """Dissemination core of one daemon.

    Attributes:
        row: This daemon.
        store: Newest known objects.
        contact: Own clock's time at which some watcher asked the platform
            something that it answered; ``-inf`` if never.
        synced: True once the objects agreed with a peer's or were read from
            the platform.
        watching: True if this daemon holds the platform's watches.
        counts: Counts of events, for the metrics.
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
        self.last_platform_contact = -math.inf
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
        self._answered_at = math.inf
        self._resign_at = math.inf
        self._dirty: dict[str, str] = {}
        self._new_drains: list[tuple[str, int]] = []
        self._closed: dict[str, tuple[int, float]] = {}
        self._wanted: dict[str, list[Any]] = {}
        self._queues: dict[str, deque[str]] = {}
        self._asked: dict[str, dict[str, float]] = {}
        self._rejected: dict[str, int] = {}
        self._flush_at = math.inf
        self._tick_at = math.inf
        self._poll_at = math.inf
        self._reconnect_at = math.inf
        for key, version in store.version_by_key().items():
            self._versions.set(key, version)

    # Inputs.

    def start(self, now: float) -> list[Any]:
        """Greets the peers in the settings."""
        self._start = now
        self._tick_at = now + self._rng.uniform(0.5, 1.5)
        wait = BOOT_S * self._rng.uniform(1.0, 2.0) if self._peers else 0.0
        self._poll_at = now + wait
        self._reconnect_at = now + self._rng.uniform(0.5, 1.5) * RECONNECT_S
        return self._greet(now)

    def next_timer(self) -> float:
        """Returns the time of the next ``on_timer``."""
        return min(self._flush_at, self._tick_at, self._poll_at)

    def on_timer(self, now: float) -> list[Any]:
        """Sends what is due."""
        out: list[Any] = []
        if now >= self._flush_at:
            self._flush_at = math.inf
            self._flush(now, out)
        if now >= self._tick_at:
            self._tick_at = now + self._rng.uniform(0.8, 1.2)
            self._tick(now, out)
        if now >= self._poll_at:
            first = self._poll_at < self._start + POLL_S / 2
            # The first poll is only for a start without peers.
            if self.watching or not (self.synced and first):
                out.append(PollPlatform())
            self._poll_at = now + self._poll_period()
        return out

    def offer(
        self,
        now: float,
        items: Iterable[objects.Versioned],
        source: str = "",
    ) -> list[Any]:
        """Takes objects from the platform or from a peer.

        Args:
            now: Time of the loop's clock.
            items: The objects; equal and older versions change nothing.
            source: Name of the peer that sent them; empty for the platform.
        """
        changed = []
        for versioned in items:
            key = versioned.key
            if self._rejected.get(key) == versioned.version:
                continue
            try:
                taken = self.store.apply_if_newer(versioned)
            except errors.ObjectError:
                self._rejected[key] = versioned.version
                self.counts["rejected"] += 1
                continue
            if taken:
                self._versions.set(key, versioned.version)
                self._dirty[key] = source
                changed.append(key)
            self._settle_want(key)
        if not changed:
            return []
        self._schedule_flush(now)
        return [KeysChanged(tuple(changed))]

    def record_platform_contact(self, now: float, asked_at: float) -> None:
        """Notes that the platform answered a call made at ``asked_at``."""
        if asked_at > self.last_platform_contact:
            self.last_platform_contact = asked_at
            self._schedule_flush(now)

    def mark_synced(self) -> None:
        """Notes that all objects were read from the platform."""
        self.synced = True

    def drain(self, now: float, host: str, incarnation: int) -> list[Any]:
        """Takes the notice that a host accepts no new work."""
        if incarnation <= self.drain_notices.get(host, -1):
            return []
        if incarnation <= self._closed.get(host, (-1, 0.0))[0]:
            return []
        self.drain_notices[host] = incarnation
        self._new_drains.append((host, incarnation))
        # Not batched: a leaving host must be known everywhere within 2 s.
        self._flush_at = now
        return [KeysChanged((f"drain/{host}",))]

    def remove_drain_notice(self, now: float, host: str) -> None:
        """Drops a notice that the memberships have caught up with."""
        incarnation = self.drain_notices.pop(host, None)
        if incarnation is not None:
            # Peers that still hold it may send it again.
            self._closed[host] = (incarnation, now + DRAIN_KEEP_S)

    def on_message(self, now: float, sender: str, message: Any) -> list[Any]:
        """Handles a message of a peer.

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
            return out  # No address to answer to; its digest will follow.
        url = link.row.control if link else known.row.control  # type: ignore
        if link is not None:
            link.heard = now
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
            rows = [(k.row, _age(now, k.heard)) for k in found if k]
            out.append(Send(url, gossip_messages.Rows(rows)))
        elif isinstance(message, gossip_messages.Rows):
            for row, age in message.rows[:MAX_ROWS]:
                self._record_daemon(now, row, now - max(age, 0))
        return out

    # Views on the state.

    def contact_age(self, now: float) -> float:
        """Returns seconds since the last platform contact known."""
        return now - self.last_platform_contact

    def daemons(
        self, now: float
    ) -> list[tuple[gossip_messages.DaemonRow, float]]:
        """Returns the known daemons with seconds since last heard."""
        found = [(self.row, 0.0)]
        found += [
            (k.row, now - k.heard)
            for k in self._known.values()
            if now - k.heard <= ALIVE_TIMEOUT_S or k.row.name in self._links
        ]
        return sorted(found, key=lambda item: item[0].name)

    def watchers(
        self, now: float, failure_domain: str
    ) -> list[gossip_messages.DaemonRow]:
        """Returns the watchers of a failure domain as far as known."""
        ranked = self._rank_daemons(now, failure_domain)
        return [k.row for k in ranked[: self._places(now)]]

    def all_watchers(self, now: float) -> list[gossip_messages.DaemonRow]:
        """Returns the known watchers, those of the own domain first."""
        own = self.row.failure_domain
        domains = {k.row.failure_domain for k in self._known.values()}
        found = self.watchers(now, own)
        for domain in sorted(domains - {own}):
            found += self.watchers(now, domain)
        return found

    def linked_peers(self) -> list[str]:
        """Returns the names of the peers with a link."""
        return sorted(self._links)

    def root_hash(self) -> int:
        """Returns the hash of the versions of all objects."""
        return self._versions.root

    def fleet_size(self) -> float:
        """Returns an estimate of the number of daemons.

        Only the best-ranked daemons of each failure domain are known for
        sure; the k-th highest of n evenly spread scores lies near 1 - k/n.
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
                known.failed = -math.inf
                self._by_hash[row_hash(row)] = known
            known.heard = max(known.heard, heard)
            return known
        known = KnownDaemon(row, heard)
        self._known[row.name] = known
        self._by_hash[row_hash(row)] = known
        if len(self._known) > MAX_ROWS:
            self._evict(now)
        return known

    def _evict(self, now: float) -> None:
        """Drops a random daemon that no rule keeps.

        Random replacement keeps the view a fresh random sample; the ranked
        and the longest known daemons of each domain stay.
        """
        kept = set(self._links)
        domains: dict[str, list[KnownDaemon]] = {}
        for known in self._known.values():
            domains.setdefault(known.row.failure_domain, []).append(known)
        for domain, found in domains.items():
            kept.update(
                k.row.name for k in self._rank_daemons(now, domain)[:CANDIDATES]
            )
            found.sort(key=lambda k: k.heard, reverse=True)
            kept.update(k.row.name for k in found[:RETAINED])
        free = [name for name in self._known if name not in kept]
        if free:
            self._forget(self._rng.choice(free))

    def _forget(self, name: str) -> None:
        known = self._known.pop(name)
        self._by_hash.pop(row_hash(known.row), None)

    def _rank_daemons(self, now: float, domain: str) -> list[KnownDaemon]:
        found = [
            k
            for k in self._known.values()
            if k.row.failure_domain == domain
            and now - k.heard <= ALIVE_TIMEOUT_S
        ]
        if domain == self.row.failure_domain:
            found.append(self._own)
        found.sort(key=lambda k: k.score, reverse=True)
        return found

    def _expire(self, now: float) -> None:
        count: dict[str, int] = {}
        for known in self._known.values():
            domain = known.row.failure_domain
            count[domain] = count.get(domain, 0) + 1
        old = sorted(self._known.values(), key=lambda k: k.heard)
        for known in old:
            domain = known.row.failure_domain
            if now - known.heard <= FORGET_S:
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
                    beats.append((row_hash(known.row), _age(now, known.heard)))
        return beats

    def _places(self, now: float) -> int:
        """Returns the number of watchers of each failure domain."""
        fresh = now - self.last_platform_contact <= STALE_CONTACT_S
        return WATCHERS if fresh else CANDIDATES

    def _poll_period(self) -> float:
        if self.watching:
            return WATCHER_POLL_S * self._rng.uniform(0.8, 1.2)
        mean = POLL_S if self.synced else BOOT_POLL_S
        return mean * self._rng.uniform(0.5, 1.5)

    def _update_watching(self, now: float) -> None:
        ranked = self._rank_daemons(now, self.row.failure_domain)
        chosen = self._own in ranked[: self._places(now)]
        # A fresh daemon knows too few others to tell its rank.
        settled = not self._peers or now >= min(
            self._start + WATCH_AFTER_S, self._answered_at + 1.0
        )
        if chosen:
            self._resign_at = math.inf
            if settled and not self.watching:
                self.watching = True
                self._poll_at = now
        elif self.watching:
            self._resign_at = min(self._resign_at, now + RESIGN_S)
            if now >= self._resign_at:
                self.watching = False

    # Links.

    def _greet(self, now: float) -> list[Any]:
        """Sends a digest to some peers of the settings."""
        count = min(OUTBOUND_LINKS, len(self._peers))
        urls = self._rng.sample(self._peers, count)
        digest = self._digest(now, answer=False)
        return [Send(url, digest) for url in urls]

    def _digest(
        self, now: float, answer: bool, full: bool = False
    ) -> gossip_messages.Digest:
        alive = [
            k for k in self._known.values() if now - k.heard <= ALIVE_TIMEOUT_S
        ]
        sample = self._rng.sample(alive, min(SAMPLE_ROWS, len(alive)))
        return gossip_messages.Digest(
            row=self.row,
            probe=int((now - self._start) * 1000),
            root=self._versions.root,
            drains=self._drains_hash(),
            beats=self._beats(now),
            rows=[(k.row, _age(now, k.heard)) for k in sample],
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
        known.failed = now if message.full else -math.inf
        link = self._take_link(now, message)
        unknown = []
        for hashed, age in message.beats[:MAX_ROWS]:
            found = self._by_hash.get(hashed)
            if found is None:
                if hashed != row_hash(self.row) and age < ALIVE_TIMEOUT_S:
                    unknown.append(hashed)
            else:
                found.heard = max(found.heard, now - max(age, 0))
        if unknown:
            out.append(Send(row.control, gossip_messages.WantRows(unknown)))
        for other, age in message.rows[:SAMPLE_ROWS]:
            self._record_daemon(now, other, now - max(age, 0))
        if message.answer:
            if math.isinf(self._answered_at):
                self._answered_at = now
        else:
            answer = self._digest(now, answer=True, full=link is None)
            out.append(Send(row.control, answer))
        if message.root == self._versions.root:
            # Two empty stores agree too; that is not a configuration.
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

    def _take_link(
        self, now: float, message: gossip_messages.Digest
    ) -> Link | None:
        """Returns the link to a digest's sender; None if there is none."""
        row = message.row
        link = self._links.get(row.name)
        if message.full:
            if link is not None and link.outbound:
                del self._links[row.name]
            return None
        if link is None or link.row != row:
            own = (
                link.outbound
                if link
                else message.answer and self._needs_links()
            )
            inbound = sum(not link.outbound for link in self._links.values())
            if link is None and not own and inbound >= MAX_INBOUND:
                return None
            link = Link(row, own, now)
            self._links[row.name] = link
        link.heard = now
        link.probe, link.probe_at = message.probe, now
        if message.answer:
            link.answered, link.misses = True, 0
        return link

    def _needs_links(self) -> bool:
        return (
            sum(link.outbound for link in self._links.values()) < OUTBOUND_LINKS
        )

    def _tick(self, now: float, out: list[Any]) -> None:
        """Keeps links, known daemons and wanted objects up to date."""
        for name, link in list(self._links.items()):
            if link.outbound:
                self._keep_link(now, name, link, out)
            elif now - link.heard > INBOUND_S:
                del self._links[name]
        if self._needs_links():
            self._open_links(now, out)
        if now >= self._reconnect_at:
            self._reconnect(now, out)
        self._expire(now)
        self._update_watching(now)
        self._retry_wants(now, out)
        for host, (_, until) in list(self._closed.items()):
            if now >= until:
                del self._closed[host]

    def _keep_link(
        self, now: float, name: str, link: Link, out: list[Any]
    ) -> None:
        if not link.answered and now - link.sent_at >= ANSWER_S:
            link.misses += 1
            link.answered = True
            link.sent_at = -math.inf
            if link.misses >= MISSES:
                self.counts["links_lost"] += 1
                del self._links[name]
                if name in self._known:
                    self._known[name].failed = now
                return
        if now - link.sent_at >= DIGEST_S:
            # Spread over the period, so that links do not fall into step.
            early = math.isinf(link.sent_at)
            link.sent_at = now
            if early and not link.misses:
                link.sent_at -= self._rng.uniform(0, DIGEST_S - ANSWER_S - 1)
            link.answered = False
            message = self._digest(now, answer=False)
            out.append(Send(link.row.control, message))

    def _open_links(self, now: float, out: list[Any]) -> None:
        """Opens links: own domain, own region, other regions, then any."""
        own = [link.row for link in self._links.values() if link.outbound]
        free = [
            k
            for name, k in self._known.items()
            if now - k.heard <= ALIVE_TIMEOUT_S
            and now - k.failed > ALIVE_TIMEOUT_S
            and not (name in self._links and self._links[name].outbound)
        ]
        if not free and not self._links and self._peers:
            out += self._greet(now)
            return
        self._rng.shuffle(free)
        # Every daemon knows the best-ranked ones.  Were they as likely to be
        # chosen as others, a few watchers would carry most links.
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
            if len(own) < OUTBOUND_LINKS and not any(fits(row) for row in own):
                for known in free:
                    if fits(known.row):
                        self._open_link(now, known, own, free)
                        break
        near = [
            k for k in free if k.row.failure_domain == self.row.failure_domain
        ]
        for known in near + [k for k in free if k not in near]:
            if len(own) >= OUTBOUND_LINKS:
                break
            self._open_link(now, known, own, free)

    def _open_link(
        self,
        now: float,
        known: KnownDaemon,
        own: list[gossip_messages.DaemonRow],
        free: list[KnownDaemon],
    ) -> None:
        free.remove(known)
        own.append(known.row)
        link = self._links.get(known.row.name)
        if link is None:
            link = Link(known.row, True, now)
            self._links[known.row.name] = link
        link.outbound = True

    def _reconnect(self, now: float, out: list[Any]) -> None:
        """Tries a retained daemon of a domain in which none is alive."""
        self._reconnect_at = now + RECONNECT_S * self._rng.uniform(0.5, 1.5)
        domains: dict[str, list[KnownDaemon]] = {}
        for known in self._known.values():
            domains.setdefault(known.row.failure_domain, []).append(known)
        silent = [
            found
            for _, found in sorted(domains.items())
            if all(now - k.heard > ALIVE_TIMEOUT_S for k in found)
        ]
        urls = [self._rng.choice(found).row.control for found in silent]
        if silent and self._peers:
            urls.append(self._rng.choice(self._peers))
        digest = self._digest(now, answer=False)
        out += [Send(url, digest) for url in urls]

    # Objects.

    def _schedule_flush(self, now: float) -> None:
        self._flush_at = min(self._flush_at, now + FLUSH_S)

    def _flush(self, now: float, out: list[Any]) -> None:
        """Sends batched announcements, drain notices and contact times."""
        dirty, self._dirty = self._dirty, {}
        drains, self._new_drains = self._new_drains, []
        version = self.store.version
        for name, link in self._links.items():
            url = link.row.control
            items = [
                (key, version(key))
                for key, source in dirty.items()
                if source != name
            ]
            for first in range(0, len(items), ANNOUNCE_KEYS):
                chunk = items[first : first + ANNOUNCE_KEYS]
                out.append(Send(url, gossip_messages.Announce(chunk)))
            if drains:
                out.append(Send(url, gossip_messages.Drains(drains)))
            if (
                link.probe >= 0
                and self.last_platform_contact - link.sent_contact
                >= CONTACT_STEP_S
            ):
                link.sent_contact = self.last_platform_contact
                delta = math.floor(
                    (self.last_platform_contact - link.probe_at) * 1000
                )
                out.append(
                    Send(url, gossip_messages.Contact(link.probe, delta))
                )

    def _on_contact(
        self, now: float, link: Link | None, message: gossip_messages.Contact
    ) -> None:
        asked = self._start + message.echo / 1000
        contact = asked + message.delta_ms / 1000
        if link is None or not self._start <= asked <= now or contact > now:
            return
        # The peer knows this time already.
        link.sent_contact = max(link.sent_contact, contact)
        if contact > self.last_platform_contact:
            self.last_platform_contact = contact
            self._schedule_flush(now)

    def _on_announce(
        self,
        now: float,
        url: str,
        items: list[tuple[str, int]],
        out: list[Any],
    ) -> None:
        queue = self._queues.setdefault(url, deque())
        for key, version in items:
            if version <= self.store.version(key):
                continue
            if version <= self._rejected.get(key, 0):
                continue
            wanted = self._wanted.get(key)
            if wanted is not None and version <= wanted[0]:
                if url not in wanted[1] and len(wanted[1]) < OUTBOUND_LINKS:
                    wanted[1].append(url)
                continue
            self._wanted[key] = [version, []]
            queue.append(key)
        self._ask(now, url, out)

    def _ask(self, now: float, url: str, out: list[Any]) -> None:
        """Asks a peer for as many queued objects as may be outstanding."""
        queue = self._queues.get(url)
        if queue is None:
            return
        asked = self._asked.setdefault(url, {})
        keys = []
        while queue and len(asked) < WANT_KEYS:
            key = queue.popleft()
            if key in self._wanted:
                asked[key] = now
                keys.append(key)
        if keys:
            out.append(Send(url, gossip_messages.Want(keys)))
        if not queue:
            del self._queues[url]
        if not asked:
            del self._asked[url]

    def _settle_want(self, key: str) -> None:
        wanted = self._wanted.get(key)
        if wanted is not None and self.store.version(key) >= wanted[0]:
            del self._wanted[key]

    def _retry_wants(self, now: float, out: list[Any]) -> None:
        """Asks another peer for what the first one did not send."""
        for url, asked in list(self._asked.items()):
            if all(now - at < WANT_S for at in asked.values()):
                continue
            del self._asked[url]
            late = list(asked) + list(self._queues.pop(url, ()))
            for key in late:
                wanted = self._wanted.get(key)
                if wanted is None:
                    continue
                if not self._reassign(wanted, key):
                    # The next digest that differs brings it up again.
                    del self._wanted[key]
        for url in list(self._queues):
            self._ask(now, url, out)

    def _reassign(self, wanted: list[Any], key: str) -> bool:
        """Queues a wanted object for the next peer that announced it."""
        if not wanted[1]:
            return False
        self._queues.setdefault(wanted[1].pop(0), deque()).append(key)
        return True

    def _on_want(
        self, url: str, message: gossip_messages.Want, out: list[Any]
    ) -> None:
        chunk: list[objects.Versioned] = []
        size = 0
        for key in message.keys[:WANT_KEYS]:
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
        asked = self._asked.get(url)
        if asked is not None:
            for versioned in items:
                asked.pop(versioned.key, None)
            if not asked:
                del self._asked[url]
        for versioned in items:
            # Still wanted: invalid, or older than what was announced.
            wanted = self._wanted.get(versioned.key)
            if wanted is not None and not self._reassign(wanted, versioned.key):
                del self._wanted[versioned.key]
        for queued in list(self._queues):
            self._ask(now, queued, out)

    # Anti-entropy.

    def _on_nodes(
        self, url: str, message: gossip_messages.Nodes, out: list[Any]
    ) -> None:
        own = self._versions
        if message.leaves:
            differ = [
                group * FANOUT + index
                for group, hashes in message.leaves.items()
                if 0 <= group < FANOUT
                for index, value in enumerate(hashes[:FANOUT])
                if own.leaves[group * FANOUT + index] != value
            ]
            items: list[tuple[str, int]] = []
            leaves: list[int] = []
            for leaf in differ:
                leaves.append(leaf)
                items += own.keys[leaf].items()
                if len(items) >= ANNOUNCE_KEYS:
                    out.append(Send(url, gossip_messages.Leaves(leaves, items)))
                    leaves, items = [], []
            if leaves:
                out.append(Send(url, gossip_messages.Leaves(leaves, items)))
            return
        groups = {
            group: own.leaves[group * FANOUT : (group + 1) * FANOUT]
            for group, value in enumerate(message.groups[:FANOUT])
            if own.groups[group] != value
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
        for first in range(0, len(newer), ANNOUNCE_KEYS):
            chunk = newer[first : first + ANNOUNCE_KEYS]
            out.append(Send(url, gossip_messages.Announce(chunk)))
        self._on_announce(now, url, message.items, out)


def _age(now: float, heard: float) -> int:
    """Returns whole seconds, rounded up so that ages never shrink."""
    return math.ceil(now - heard)
