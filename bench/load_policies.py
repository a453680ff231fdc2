"""Placement policies that crocusmux is compared with."""

import random

from bench import load_model
from crocusmux.core.load import placement

Pool = list[placement.Candidate]


def choose_random(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """Any upstream with the same probability."""
    del owner, flow
    return cluster.drv.rng.choice(pool).upstream


def choose_hash(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """By the hash of the flow only: the owner itself is the holder."""
    del cluster, owner
    # A seeded generator stands for a hash that is the same in each run.
    return pool[random.Random(flow.id).randrange(len(pool))].upstream


def choose_round_robin(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """Each owner takes the upstreams in turn."""
    del cluster, flow
    owner.turn += 1
    return pool[owner.turn % len(pool)].upstream


def choose_least_connections(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """Fewest flows in flight that this owner placed."""
    del flow
    return min(
        pool,
        key=lambda c: (owner.own.get(c.upstream, 0), cluster.drv.rng.random()),
    ).upstream


def choose_two(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """The one of two random upstreams that reported less load."""
    del flow

    def reported(candidate: placement.Candidate) -> int:
        load = owner.loads.get(candidate.upstream)
        return load.in_flight + load.queued if load else 0

    pair = cluster.drv.rng.sample(pool, min(2, len(pool)))
    return min(pair, key=reported).upstream


POLICIES: dict[str, load_model.Policy | None] = {
    "crocusmux": None,
    "random": choose_random,
    "hash only": choose_hash,
    "round robin": choose_round_robin,
    "least connections": choose_least_connections,
    "two choices": choose_two,
}
