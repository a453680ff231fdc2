"""Ways to choose whom a daemon knows and links to, compared in one run.

- random: the product's partial view, random replacement.
- buckets: contacts in buckets by the distance of hashed names; long-lived
  contacts stay and are probed before they are replaced, as in the routing
  tables of Kademlia.
- mesh: everybody knows and links to everybody.
"""

import sys
from typing import Any

from bench import control
from crocusmux.core.control import gossip
from crocusmux.core.control import gossip_messages

BUCKET_ROWS = 4
PROBE_S = 3.0
IDLE_S = 30.0  # a contact heard since then needs no probe


class BucketGossip(gossip.Gossip):
    """Spreading core whose known daemons are kept in distance buckets."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._own_hash = gossip.hash_text(self.row.name)
        self._probes: dict[str, float] = {}
        self._to_probe: list[str] = []

    def _bucket(self, name: str) -> int:
        return (gossip.hash_text(name) ^ self._own_hash).bit_length()

    def _learn(
        self, now: float, row: gossip_messages.DaemonRow, heard: float
    ) -> gossip.KnownDaemon | None:
        if row.name not in self._known and row.name != self.row.name:
            bucket = self._bucket(row.name)
            peers = [
                k
                for name, k in self._known.items()
                if self._bucket(name) == bucket
            ]
            ranked = self._rank_daemons(now, row.failure_domain)
            score = gossip.watcher_score(row.name, row.failure_domain)
            candidate = len(ranked) < gossip.CANDIDATES or (
                score > ranked[gossip.CANDIDATES - 1].score
            )
            if len(peers) >= BUCKET_ROWS and not candidate:
                oldest = min(peers, key=lambda k: k.heard)
                name = oldest.row.name
                asked = self._probes.get(name)
                if asked is None and now - oldest.heard > IDLE_S:
                    self._probes[name] = now
                    self._to_probe.append(oldest.row.control)
                elif asked is not None and now - asked > PROBE_S:
                    del self._probes[name]
                    if oldest.heard < asked and name not in self._links:
                        self._forget(name)
                        return super()._record_daemon(now, row, heard)
                return None
        return super()._record_daemon(now, row, heard)

    def _on_digest(self, now: float, message: Any, out: list[Any]) -> None:
        # A daemon that asks is always answered; it is kept while linked.
        row = message.row
        if row.name not in self._known and row.name != self.row.name:
            super()._record_daemon(now, row, now)
        self._probes.pop(row.name, None)
        super()._on_digest(now, message, out)

    def _evict(self, now: float) -> None:
        pass

    def _tick(self, now: float, out: list[Any]) -> None:
        super()._tick(now, out)
        urls, self._to_probe = self._to_probe[:2], []
        for url in urls:
            out.append(gossip.Send(url, self._digest(now, answer=False)))
        # Daemons that were only kept while linked go back to the bucket rule.
        counts: dict[int, int] = {}
        kept = self._candidates(now)
        for name in list(self._known):
            bucket = self._bucket(name)
            counts[bucket] = counts.get(bucket, 0) + 1
            if (
                counts[bucket] > BUCKET_ROWS
                and name not in self._links
                and name not in kept
            ):
                self._forget(name)

    def _open_links(self, now: float, out: list[Any]) -> None:
        """Opens links over distinct buckets, long-lived contacts first."""
        used = {
            self._bucket(name)
            for name, link in self._links.items()
            if link.outbound
        }
        own = [link.row for link in self._links.values() if link.outbound]
        free = [
            k
            for name, k in self._known.items()
            if now - k.heard <= gossip.ALIVE_TIMEOUT_S
            and now - k.failed > gossip.ALIVE_TIMEOUT_S
            and not (name in self._links and self._links[name].outbound)
        ]
        if not free and not self._links:
            super()._open_links(now, out)
            return
        ranked = self._candidates(now)
        free.sort(key=lambda k: k.row.name in ranked)
        for fresh in (True, False):
            for known in list(free):
                if len(own) >= gossip.OUTBOUND_LINKS:
                    return
                if fresh and self._bucket(known.row.name) in used:
                    continue
                used.add(self._bucket(known.row.name))
                self._open_link(now, known, own, free)


class MeshGossip(gossip.Gossip):
    """Spreading core that links to every daemon it hears of."""

    def _evict(self, now: float) -> None:
        pass

    def _needs_links(self) -> bool:
        return True

    def _open_links(self, now: float, out: list[Any]) -> None:
        if not self._known:
            super()._open_links(now, out)
        own = [link.row for link in self._links.values() if link.outbound]
        for name, known in list(self._known.items()):
            link = self._links.get(name)
            alive = now - known.heard <= gossip.ALIVE_TIMEOUT_S
            if alive and (link is None or not link.outbound):
                self._open_link(now, known, own, [known])


VARIANTS: dict[str, Any] = {
    "random": gossip.Gossip,
    "buckets": BucketGossip,
    "mesh": MeshGossip,
}


def churn(name: str, daemons: int, seed: int = 3) -> None:
    """Restarts 5% of the fleet in 60 s while changes are made."""
    scene = control.Scene(seed, daemons, 0.1, VARIANTS[name])
    scene.run.run(scene.run.now + 40)
    before = scene.totals()
    control.restart_some(scene)
    for index in range(20):
        scene.run.after(index * 3.0, lambda: scene.configure("measured"))
    scene.run.run(scene.run.now + 80)
    after = scene.totals()
    times = scene.times()
    rate = (after["bytes"] - before["bytes"]) / 80 / daemons
    print(
        f"{name:8} churn, {daemons} daemons: {rate:.0f} B/s, in force p99 "
        f"{times['p99']:.2f} s, all {times['all']:.2f} s, missing "
        f"{times['missing']:.0f}",
        flush=True,
    )


def split(name: str, daemons: int, seconds: float, seed: int = 4) -> None:
    """Splits the regions, then times the first change after it."""
    scene = control.Scene(seed, daemons, 0.1, VARIANTS[name])
    scene.run.run(scene.run.now + 40)
    before = scene.totals()
    scene.fleet.split = True
    scene.run.after(seconds / 2, lambda: scene.configure("split"))
    scene.run.run(scene.run.now + seconds)
    after = scene.totals()
    scene.fleet.split = False
    began = scene.run.now
    share = {0.99: float("inf"), 1.0: float("inf")}
    for _ in range(180):
        scene.run.run(scene.run.now + 1)
        newest = max(
            scene.fleet.platform.objects.values(), key=lambda v: v.version
        )
        knows = sum(
            n.store.version(newest.key) >= newest.version
            for n in scene.fleet.nodes.values()
        )
        for wanted in share:
            if knows >= wanted * daemons:
                share[wanted] = min(share[wanted], scene.run.now - began)
        if share[1.0] < float("inf"):
            break
    rate = (after["bytes"] - before["bytes"]) / seconds / daemons
    print(
        f"{name:8} split {seconds:.0f} s, {daemons} daemons: {rate:.0f} B/s, "
        f"change of the split known after it by 99% in {share[0.99]:.0f} s, "
        f"by all in {share[1.0]:.0f} s",
        flush=True,
    )


def compare() -> None:
    """Compares the variants; the mesh only where it can be held."""
    for name in VARIANTS:
        churn(name, 100)
        split(name, 100, 3600.0 if name != "mesh" else 700.0)
    for name in ("random", "buckets"):
        churn(name, control.FULL)
        split(name, 400, 700.0)


if __name__ == "__main__":
    globals()[sys.argv[1]](
        sys.argv[2], int(sys.argv[3]), *map(float, sys.argv[4:])
    )
