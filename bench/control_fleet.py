"""Fleet of control parts in virtual time, with a platform in memory.

The decision cores and the message codec are the real ones; hosts, network
and platform are reduced to delays, losses and outages that the caller sets.
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
# Length of an nng frame, and TCP and IP headers without options.
FRAME_BYTES = 8 + 40
LOCAL_S = 0.001  # one way between failure domains of a region
REGION_S = 0.030  # one way between regions
PLATFORM_S = 0.005
WATCH_WAIT_S = 30.0
RETRY_S = 2.0
RANK = {state: rank for rank, state in enumerate(membership.STATES)}

_encode, _decode = control.make_codec(KEY)


class Platform:
    """Objects with versions under one revision, conditional updates, watches.

    Attributes:
        down: True during an outage: no call is answered.
        lose_answer: Probability that a write takes effect unanswered.
        log: Every write: time, key, version and body.
        calls: Reads and writes by whole second.
    """

    def __init__(self, run: driver.Driver) -> None:
        self.run = run
        self.down = False
        self.slow_s = 0.0
        self.lose_answer = 0.0
        self.revision = 0
        self.objects: dict[str, objects.Versioned] = {}
        self.log: list[tuple[float, str, int, bytes]] = []
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self._waiting: list[Callable[[], None]] = []

    def write(self, key: str, body: bytes, expected: int) -> int | None:
        """Writes if the version matches; returns the new version."""
        known = self.objects.get(key)
        if (known.version if known else 0) != expected:
            return None
        self.revision += 1
        version = self.revision
        self.objects[key] = objects.Versioned(key, version, body)
        self.log.append((self.run.now, key, version, body))
        waiting, self._waiting = self._waiting, []
        for wake in waiting:
            wake()
        return version

    def since(self, revision: int) -> list[objects.Versioned]:
        """Returns the objects changed after a revision."""
        if revision == 0:
            return list(self.objects.values())
        keys = set()
        for _, key, version, _ in reversed(self.log):
            if version <= revision:
                break
            keys.add(key)
        return [self.objects[key] for key in keys]

    def wait(self, wake: Callable[[], None]) -> None:
        """Calls a function at the next write."""
        self._waiting.append(wake)

    def count(self, kind: Counter[int]) -> None:
        """Counts a call in the current second."""
        kind[int(self.run.now)] += 1


class Node:
    """One daemon of the fleet."""

    def __init__(
        self,
        fleet: "Fleet",
        row: gossip_messages.DaemonRow,
        peers: list[str],
        store: config_store.ConfigStore,
    ) -> None:
        self.fleet = fleet
        self.store = store
        self.rng = random.Random(fleet.run.rng.getrandbits(64))
        self.plane = controlplane.ControlPlane(row, store, peers, self.rng)
        if fleet.make_gossip is not None:
            self.plane.gossip = fleet.make_gossip(row, store, peers, self.rng)
        self.up = True
        self.started = fleet.run.now
        self.paused: list[Callable[[], None]] | None = None
        self.cpu = 0.0
        self.sent = self.sent_bytes = 0
        self.received = self.received_bytes = 0
        self.record: membership_messages.HostRecord | None = None
        self.revision = 0
        self._watching = False
        self._timer = float("inf")
        self._seen: dict[tuple[str, int, str], int] = {}
        self._in_force = 0

    @property
    def row(self) -> gossip_messages.DaemonRow:
        """The daemon's row in the table of known daemons."""
        return self.plane.gossip.row

    def act(self, action: Callable[[], list[Any]]) -> None:
        """Runs an input of the core and carries out its outputs."""
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
        self.cpu += time.perf_counter() - began
        for to, data in sends:
            self.fleet.send(self, to, data)
        for item in outputs:
            self._do(item)
        self._arm()

    def resume(self) -> None:
        """Ends a pause: what waited is handled now."""
        waiting, self.paused = self.paused or [], None
        for action in waiting:
            action()
        self._timer = float("inf")
        self._arm()

    def receive(self, data: bytes) -> None:
        """Handles a message, counted like one from a socket."""
        self.received += 1
        self.received_bytes += len(data) + FRAME_BYTES
        self.act(
            lambda: self.plane.on_message(self.fleet.run.now, _decode(data))
        )

    def check_reverts(self, keys: tuple[str, ...]) -> None:
        """Counts states of one incarnation that moved back."""
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
                    rank = RANK[upstream.state]
                    if (member.host, member.incarnation) in overrides:
                        rank = max(rank, RANK["draining"])
                    entry = (member.host, member.incarnation, upstream.name)
                    self.fleet.reverts += rank < self._seen.get(entry, 0)
                    self._seen[entry] = rank

    def _do(self, item: Any) -> None:
        if isinstance(item, gossip.KeysChanged):
            self.fleet.changed(self, item.keys)
        elif isinstance(item, gossip.PollPlatform):
            self._poll()
        elif isinstance(item, membership.ReadObject):
            self._read(item.key)
        elif isinstance(item, membership.WriteObject):
            self._write(item)

    def _arm(self) -> None:
        if self.plane.gossip.watching and not self._watching:
            self._watching = True
            self._watch(False)
        elif not self.plane.gossip.watching:
            self._watching = False
        due = self.plane.next_timer()
        if due < self._timer:
            self._timer = due
            self.fleet.run.after(
                due - self.fleet.run.now, lambda: self._on_timer(due)
            )

    def _on_timer(self, due: float) -> None:
        if due != self._timer or not self.up:
            return
        if self.paused is not None:
            return
        self._timer = float("inf")
        self.act(lambda: self.plane.on_timer(self.fleet.run.now))

    # Platform.

    def _call(
        self,
        counter: "Counter[int]",
        work: Callable[[], Any],
        done: Callable[[float, Any], None],
        failed: Callable[[], None],
    ) -> None:
        fleet, platform = self.fleet, self.fleet.platform
        asked_at = fleet.run.now
        platform.count(counter)

        def arrive() -> None:
            if platform.down or not fleet.reaches_platform(self):
                fleet.run.after(2.0, failed)
                return
            answer = work()
            fleet.run.after(PLATFORM_S / 2, lambda: done(asked_at, answer))

        fleet.run.after(PLATFORM_S / 2 + platform.slow_s, arrive)

    def take(self, asked_at: float, items: list[objects.Versioned]) -> None:
        """Hands the platform's objects to the core."""

        def action() -> list[Any]:
            now = self.fleet.run.now
            self.plane.record_platform_contact(now, asked_at)
            return self.plane.offer(now, items)

        self.act(action)

    def _poll(self) -> None:
        platform = self.fleet.platform

        def work() -> list[objects.Versioned]:
            if self.plane.gossip.watching:
                found = platform.objects.get(objects.IN_FORCE_KEY)
                return [found] if found else []
            newest = max(self.store.version_by_key().values(), default=0)
            synced = self.plane.gossip.synced
            overlap = newest - control.POLL_OVERLAP_REVISIONS if synced else 0
            return platform.since(max(overlap, 0))

        def done(asked_at: float, items: list[objects.Versioned]) -> None:
            if not self.plane.gossip.watching:
                self.plane.gossip.mark_synced()
            self.take(asked_at, items)

        self._call(platform.reads, work, done, lambda: None)

    def _watch(self, waited: bool) -> None:
        """One call of the watch; the next follows its answer."""
        platform, run = self.fleet.platform, self.fleet.run
        if not self.up or not self._watching:
            return
        if not waited:
            platform.count(platform.reads)
        asked_at, ended = run.now, False

        def answer() -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            if not self.up or not self._watching:
                return
            if platform.down or not self.fleet.reaches_platform(self):
                wait = RETRY_S * self.rng.uniform(0.5, 1.5)
                run.after(wait, lambda: self._watch(False))
                return
            items = platform.since(self.revision)
            if self.revision == 0:
                self.plane.gossip.mark_synced()
            self.revision = platform.revision
            run.after(PLATFORM_S / 2, lambda: self.take(asked_at, items))
            run.after(PLATFORM_S, lambda: self._watch(False))

        unreachable = platform.down or not self.fleet.reaches_platform(self)
        if unreachable or platform.revision > self.revision:
            run.after(PLATFORM_S / 2, answer)
            return
        platform.wait(lambda: run.after(PLATFORM_S / 2, answer))
        run.after(WATCH_WAIT_S, answer)

    def _read(self, key: str) -> None:
        platform = self.fleet.platform

        def done(asked_at: float, found: objects.Versioned | None) -> None:
            self.take(asked_at, [found] if found else [])
            self.act(lambda: self.plane.on_read(self.fleet.run.now, key, True))

        def failed() -> None:
            self.act(lambda: self.plane.on_read(self.fleet.run.now, key, False))

        self._call(
            platform.reads, lambda: platform.objects.get(key), done, failed
        )

    def _write(self, item: membership.WriteObject) -> None:
        platform, run = self.fleet.platform, self.fleet.run

        def end(version: int | None, problem: str) -> None:
            self.act(
                lambda: self.plane.on_written(
                    run.now, item.key, version, problem
                )
            )

        def done(asked_at: float, version: int | None) -> None:
            if run.rng.random() < platform.lose_answer:
                run.after(2.0, lambda: end(None, "unknown"))
            elif version is None:
                end(None, "conflict")
            else:
                self.take(
                    asked_at,
                    [objects.Versioned(item.key, version, item.body)],
                )
                end(version, "")

        self._call(
            platform.writes,
            lambda: platform.write(item.key, item.body, item.expected),
            done,
            # A platform that goes down may have taken the write.
            lambda: end(None, "unknown"),
        )


class Fleet:
    """All daemons, the network between them and the platform.

    Attributes:
        nodes: Running daemons by control URL.
        loss: Probability that a message is lost.
        duplicate: Probability that a message arrives twice.
        delay: Probability that a message waits for up to a minute.
        split: True while the regions do not reach each other.
        on_changed: Called with the node and the keys that changed.
    """

    def __init__(self, run: driver.Driver) -> None:
        self.run = run
        self.platform = Platform(run)
        self.nodes: dict[str, Node] = {}
        self.all_nodes: list[Node] = []
        self.make_gossip: Any = None
        self.loss = 0.0
        self.duplicate = 0.0
        self.delay = 0.0
        self.split = False
        self.reverts = 0
        self.check_all = False
        self.on_changed: Callable[[Node, tuple[str, ...]], None] | None = None
        self._started = 0

    def reaches_platform(self, node: Node) -> bool:
        """During a split only the first region reaches the platform."""
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
        """Starts a daemon; one of the same name must have ended."""
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
                int(self.run.now * 1000), self.run.rng
            ),
        )
        if peers is None:
            urls = list(self.nodes)
            peers = self.run.rng.sample(urls, min(4, len(urls)))
        node = Node(self, row, peers, store or config_store.ConfigStore())
        self.nodes[url] = node
        self.all_nodes.append(node)
        node.act(lambda: node.plane.start(self.run.now))
        return node

    def stop(self, node: Node) -> None:
        """Ends a daemon at once."""
        node.up = False
        if self.nodes.get(node.row.control) is node:
            del self.nodes[node.row.control]

    def send(self, sender: Node, to: str, data: bytes) -> None:
        """Carries a message."""
        sender.sent += 1
        sender.sent_bytes += len(data) + FRAME_BYTES
        node = self.nodes.get(to)
        if node is None:
            return
        near = node.row.region == sender.row.region
        if self.split and not near:
            return

        def deliver() -> None:
            if self.nodes.get(to) is node:
                node.receive(data)

        latency = LOCAL_S if near else REGION_S
        if self.delay and self.run.rng.random() < self.delay:
            latency = self.run.rng.uniform(1.0, 60.0)
        self.run.send(latency, deliver, self.loss, self.duplicate)

    def changed(self, node: Node, keys: tuple[str, ...]) -> None:
        """Notes that objects changed at a daemon."""
        if self.check_all:
            node.check_reverts(keys)
        if self.on_changed is not None:
            self.on_changed(node, keys)


def repeated_transitions(log: list[tuple[float, str, int, bytes]]) -> int:
    """Counts states that an upstream's incarnation entered twice."""
    entered: set[tuple[Any, ...]] = set()
    last: dict[str, set[tuple[Any, ...]]] = {}
    repeated = 0
    for _, key, version, body in log:
        if not key.startswith(objects.MEMBERSHIP_PREFIX):
            continue
        found = objects.decode(objects.Versioned(key, version, body))
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
        fresh = states - last.get(key, set())
        repeated += len(fresh & entered)
        entered |= fresh
        last[key] = states
    return repeated
