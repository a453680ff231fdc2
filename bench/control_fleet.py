"""Simulated fleet of control planes, with an object API in memory.

Decision cores and message codec are the real ones.  Hosts, network and object
API are modelled as delays, losses and outages that the bench sets.
"""

from collections import Counter
from collections.abc import Callable
import random
import time
from typing import Any

from bench import driver
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.control import controlplane
from crocusmux.core.control import gossip
from crocusmux.core.control import gossip_messages
from crocusmux.core.control import membership
from crocusmux.core.control import membership_messages
from crocusmux.daemons import control

KEY = bytes(range(32))
# nng frame header, and TCP and IP headers without options.
FRAME_BYTES = 8 + 40
SAME_REGION_LATENCY_S = 0.001  # one way
CROSS_REGION_LATENCY_S = 0.030  # one way
PLATFORM_ROUND_TRIP_S = 0.005
WATCH_WAIT_S = 30.0
WATCH_RETRY_S = 2.0
STATE_RANKS = {state: rank for rank, state in enumerate(membership.STATES)}

_encode, _decode = control.make_codec(KEY)


class Platform:
    """Object API with one revision counter, conditional writes and watches.

    Attributes:
        down: True during an outage: no call is answered.
        extra_latency_s: Latency added to each call.
        lose_answer: Probability that the answer to a write is lost.
        log: Time, key, version and body of each write.
        reads, writes: Number of calls by whole second.
    """

    def __init__(self, drv: driver.Driver) -> None:
        self.drv = drv
        self.down = False
        self.extra_latency_s = 0.0
        self.lose_answer = 0.0
        self.revision = 0
        self.objects: dict[str, objects.VersionedObject] = {}
        self.log: list[tuple[float, str, int, bytes]] = []
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self._write_callbacks: list[Callable[[], None]] = []

    def write(self, key: str, body: bytes, expected: int) -> int | None:
        """Writes if the version matches; returns the new version or None."""
        known = self.objects.get(key)
        if (known.version if known else 0) != expected:
            return None
        self.revision += 1
        version = self.revision
        self.objects[key] = objects.VersionedObject(key, version, body)
        self.log.append((self.drv.now, key, version, body))
        waiting, self._write_callbacks = self._write_callbacks, []
        for wake in waiting:
            wake()
        return version

    def changed_since(self, revision: int) -> list[objects.VersionedObject]:
        """Returns the objects that changed after a revision."""
        if revision == 0:
            return list(self.objects.values())
        keys = set()
        for _, key, version, _ in reversed(self.log):
            if version <= revision:
                break
            keys.add(key)
        return [self.objects[key] for key in keys]

    def call_on_write(self, callback: Callable[[], None]) -> None:
        """Calls a function once, at the next write."""
        self._write_callbacks.append(callback)

    def count_call(self, counter: Counter[int]) -> None:
        """Counts a call in the current second of virtual time."""
        counter[int(self.drv.now)] += 1


class Node:
    """A daemon of the fleet: its control plane, store and counters."""

    def __init__(
        self,
        fleet: "Fleet",
        row: gossip_messages.DaemonRow,
        peers: list[str],
        store: config_store.ConfigStore,
    ) -> None:
        self.fleet = fleet
        self.store = store
        self.rng = random.Random(fleet.drv.rng.getrandbits(64))
        self.plane = controlplane.ControlPlane(row, store, peers, self.rng)
        if fleet.make_gossip is not None:
            self.plane.gossip = fleet.make_gossip(row, store, peers, self.rng)
        self.up = True
        self.started_at = fleet.drv.now
        self.paused: list[Callable[[], None]] | None = None
        self.core_time_s = 0.0
        self.sent_messages = self.sent_bytes = 0
        self.received_messages = self.received_bytes = 0
        self.record: membership_messages.HostRecord | None = None
        self.revision = 0
        self._watching = False
        self._timer_at = float("inf")
        self._last_ranks: dict[tuple[str, int, str], int] = {}
        self._in_force = 0

    @property
    def row(self) -> gossip_messages.DaemonRow:
        """The daemon's own row, as gossip spreads it."""
        return self.plane.gossip.row

    def act(self, action: Callable[[], list[Any]]) -> None:
        """Runs an input of the core and executes its outputs."""
        if not self.up:
            return
        if self.paused is not None:
            self.paused.append(lambda: self.act(action))
            return
        began = time.perf_counter()
        outputs = action()
        sends = []
        for item in outputs:
            if isinstance(item, gossip.Send):
                envelope = controlplane.ControlEnvelope(
                    self.row.name, item.message
                )
                sends.append((item.to, _encode(envelope)))
        self.core_time_s += time.perf_counter() - began
        for to, data in sends:
            self.fleet.send(self, to, data)
        for item in outputs:
            self._execute(item)
        self._schedule_timer()

    def resume(self) -> None:
        """Ends a pause and runs the queued inputs."""
        waiting, self.paused = self.paused or [], None
        for action in waiting:
            action()
        self._timer_at = float("inf")
        self._schedule_timer()

    def receive(self, data: bytes) -> None:
        """Decodes a message, counts its bytes and passes it to the core."""
        self.received_messages += 1
        self.received_bytes += len(data) + FRAME_BYTES
        self.act(
            lambda: self.plane.on_message(self.fleet.drv.now, _decode(data))
        )

    def check_reverts(self, keys: tuple[str, ...]) -> None:
        """Counts upstream states and versions that moved back at this node."""
        overrides = self.plane.overrides()
        for key in keys:
            if key == objects.IN_FORCE_KEY:
                version = self.store.version(key)
                self.fleet.reverts += version < self._in_force
                self._in_force = version
            if not key.startswith(objects.MEMBERSHIP_PREFIX):
                continue
            found = self.store.membership(
                key.removeprefix(objects.MEMBERSHIP_PREFIX)
            )
            for member in found.members if found else ():
                for upstream in member.upstreams:
                    rank = STATE_RANKS[upstream.state]
                    if (member.host, member.incarnation) in overrides:
                        rank = max(rank, STATE_RANKS["draining"])
                    entry = (member.host, member.incarnation, upstream.name)
                    self.fleet.reverts += rank < self._last_ranks.get(entry, 0)
                    self._last_ranks[entry] = rank

    def _execute(self, item: Any) -> None:
        if isinstance(item, gossip.KeysChanged):
            self.fleet.changed(self, item.keys)
        elif isinstance(item, gossip.PollObjectApi):
            self._poll()
        elif isinstance(item, membership.ReadObject):
            self._read(item.key)
        elif isinstance(item, membership.WriteObject):
            self._write(item)

    def _schedule_timer(self) -> None:
        if self.plane.gossip.watching and not self._watching:
            self._watching = True
            self._watch(False)
        elif not self.plane.gossip.watching:
            self._watching = False
        timer_at = self.plane.next_timer()
        if timer_at < self._timer_at:
            self._timer_at = timer_at
            self.fleet.drv.after(
                timer_at - self.fleet.drv.now, lambda: self._on_timer(timer_at)
            )

    def _on_timer(self, scheduled_at: float) -> None:
        if scheduled_at != self._timer_at or not self.up:
            return
        if self.paused is not None:
            return
        self._timer_at = float("inf")
        self.act(lambda: self.plane.on_timer(self.fleet.drv.now))

    # Platform.

    def _call(
        self,
        counter: "Counter[int]",
        work: Callable[[], Any],
        done: Callable[[float, Any], None],
        failed: Callable[[], None],
    ) -> None:
        fleet, platform = self.fleet, self.fleet.platform
        requested_at = fleet.drv.now
        platform.count_call(counter)

        def arrive() -> None:
            if platform.down or not fleet.can_reach_platform(self):
                fleet.drv.after(2.0, failed)
                return
            answer = work()
            fleet.drv.after(
                PLATFORM_ROUND_TRIP_S / 2, lambda: done(requested_at, answer)
            )

        fleet.drv.after(
            PLATFORM_ROUND_TRIP_S / 2 + platform.extra_latency_s, arrive
        )

    def apply_objects(
        self, requested_at: float, items: list[objects.VersionedObject]
    ) -> None:
        """Passes objects read from the platform to the core."""

        def action() -> list[Any]:
            now = self.fleet.drv.now
            self.plane.record_api_contact(now, requested_at)
            return self.plane.offer(now, items)

        self.act(action)

    def _poll(self) -> None:
        platform = self.fleet.platform

        def work() -> list[objects.VersionedObject]:
            if self.plane.gossip.watching:
                found = platform.objects.get(objects.IN_FORCE_KEY)
                return [found] if found else []
            newest = max(self.store.version_by_key().values(), default=0)
            synced = self.plane.gossip.synced
            overlap = newest - control.POLL_OVERLAP_REVISIONS if synced else 0
            return platform.changed_since(max(overlap, 0))

        def done(asked_at: float, items: list[objects.VersionedObject]) -> None:
            if not self.plane.gossip.watching:
                self.plane.gossip.mark_synced()
            self.apply_objects(asked_at, items)

        self._call(platform.reads, work, done, lambda: None)

    def _watch(self, waited: bool) -> None:
        """Makes a call of the watch; its answer schedules the next call."""
        platform, drv = self.fleet.platform, self.fleet.drv
        if not self.up or not self._watching:
            return
        if not waited:
            platform.count_call(platform.reads)
        requested_at, answered = drv.now, False

        def handle_answer() -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            if not self.up or not self._watching:
                return
            if platform.down or not self.fleet.can_reach_platform(self):
                wait = WATCH_RETRY_S * self.rng.uniform(0.5, 1.5)
                drv.after(wait, lambda: self._watch(False))
                return
            items = platform.changed_since(self.revision)
            if self.revision == 0:
                self.plane.gossip.mark_synced()
            self.revision = platform.revision
            drv.after(
                PLATFORM_ROUND_TRIP_S / 2,
                lambda: self.apply_objects(requested_at, items),
            )
            drv.after(PLATFORM_ROUND_TRIP_S, lambda: self._watch(False))

        unreachable = platform.down or not self.fleet.can_reach_platform(self)
        if unreachable or platform.revision > self.revision:
            drv.after(PLATFORM_ROUND_TRIP_S / 2, handle_answer)
            return
        platform.call_on_write(
            lambda: drv.after(PLATFORM_ROUND_TRIP_S / 2, handle_answer)
        )
        drv.after(WATCH_WAIT_S, handle_answer)

    def _read(self, key: str) -> None:
        platform = self.fleet.platform

        def done(
            asked_at: float, found: objects.VersionedObject | None
        ) -> None:
            self.apply_objects(asked_at, [found] if found else [])
            self.act(lambda: self.plane.on_read(self.fleet.drv.now, key, True))

        def failed() -> None:
            self.act(lambda: self.plane.on_read(self.fleet.drv.now, key, False))

        self._call(
            platform.reads, lambda: platform.objects.get(key), done, failed
        )

    def _write(self, item: membership.WriteObject) -> None:
        platform, drv = self.fleet.platform, self.fleet.drv

        def end(version: int | None, problem: str) -> None:
            self.act(
                lambda: self.plane.on_written(
                    drv.now, item.key, version, problem
                )
            )

        def done(asked_at: float, version: int | None) -> None:
            if drv.rng.random() < platform.lose_answer:
                drv.after(2.0, lambda: end(None, "unknown"))
            elif version is None:
                end(None, "conflict")
            else:
                self.apply_objects(
                    asked_at,
                    [objects.VersionedObject(item.key, version, item.body)],
                )
                end(version, "")

        self._call(
            platform.writes,
            lambda: platform.write(item.key, item.body, item.expected),
            done,
            # A platform that went down may have applied the write.
            lambda: end(None, "unknown"),
        )


class Fleet:
    """Daemons, the network between them and the platform.

    Attributes:
        nodes: Running daemons by control URL.
        loss: Probability that a message is lost.
        duplicate: Probability that a message arrives twice.
        delay: Probability that a message is delayed by up to a minute.
        split: True while the regions cannot reach each other.
        check_all_reverts: Count states that move back, at all nodes.
        on_changed: Called with a node and the keys that changed there.
    """

    def __init__(self, drv: driver.Driver) -> None:
        self.drv = drv
        self.platform = Platform(drv)
        self.nodes: dict[str, Node] = {}
        self.all_nodes: list[Node] = []
        self.make_gossip: Any = None
        self.loss = 0.0
        self.duplicate = 0.0
        self.delay = 0.0
        self.split = False
        self.reverts = 0
        self.check_all_reverts = False
        self.on_changed: Callable[[Node, tuple[str, ...]], None] | None = None
        self._started = 0

    def can_reach_platform(self, node: Node) -> bool:
        """Returns False during a split, except in the first region."""
        return not self.split or node.row.region == "r0"

    def add(
        self,
        name: str,
        role: str,
        domain: str,
        region: str,
        store: config_store.ConfigStore | None = None,
        peers: list[str] | None = None,
        incarnation: int = 0,
    ) -> Node:
        """Starts a daemon, which replaces a daemon of the same name."""
        self._started += 1
        url = f"tcp://{name}:7000"
        row = gossip_messages.DaemonRow(
            name=name,
            role=role,
            failure_domain=domain,
            region=region,
            control=url,
            http=f"{name}:7080",
            incarnation=incarnation
            or membership.new_incarnation(
                int(self.drv.now * 1000), self.drv.rng
            ),
        )
        if peers is None:
            urls = list(self.nodes)
            peers = self.drv.rng.sample(urls, min(4, len(urls)))
        node = Node(self, row, peers, store or config_store.ConfigStore())
        self.nodes[url] = node
        self.all_nodes.append(node)
        node.act(lambda: node.plane.start(self.drv.now))
        return node

    def stop(self, node: Node) -> None:
        """Stops a daemon without notice to others."""
        node.up = False
        if self.nodes.get(node.row.control) is node:
            del self.nodes[node.row.control]

    def send(self, sender: Node, to: str, data: bytes) -> None:
        """Sends a message over the simulated network."""
        sender.sent_messages += 1
        sender.sent_bytes += len(data) + FRAME_BYTES
        node = self.nodes.get(to)
        if node is None:
            return
        same_region = node.row.region == sender.row.region
        if self.split and not same_region:
            return

        def deliver() -> None:
            if self.nodes.get(to) is node:
                node.receive(data)

        latency = (
            SAME_REGION_LATENCY_S if same_region else CROSS_REGION_LATENCY_S
        )
        if self.delay and self.drv.rng.random() < self.delay:
            latency = self.drv.rng.uniform(1.0, 60.0)
        self.drv.send(latency, deliver, self.loss, self.duplicate)

    def changed(self, node: Node, keys: tuple[str, ...]) -> None:
        """Checks for reverts and calls ``on_changed``."""
        if self.check_all_reverts:
            node.check_reverts(keys)
        if self.on_changed is not None:
            self.on_changed(node, keys)


def repeated_transitions(log: list[tuple[float, str, int, bytes]]) -> int:
    """Counts states that an upstream entered twice in one incarnation."""
    entered: set[tuple[Any, ...]] = set()
    last: dict[str, set[tuple[Any, ...]]] = {}
    repeated = 0
    for _, key, version, body in log:
        if not key.startswith(objects.MEMBERSHIP_PREFIX):
            continue
        found = objects.decode(objects.VersionedObject(key, version, body))
        assert isinstance(found, objects.Membership)
        states: set[tuple[Any, ...]] = {
            (
                key,
                member.host,
                member.incarnation,
                upstream.name,
                upstream.state,
            )
            for member in found.members
            for upstream in member.upstreams
        }
        new_states = states - last.get(key, set())
        repeated += len(new_states & entered)
        entered |= new_states
        last[key] = states
    return repeated
