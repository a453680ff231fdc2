"""Baseline placement policies of the load bench."""

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
    """Chooses each upstream with equal probability."""
    del owner, flow
    return cluster.drv.rng.choice(pool).upstream


def choose_hash(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """Chooses by the hash of the flow alone."""
    del cluster, owner
    # A generator seeded with the flow id is a hash that every run repeats.
    return pool[random.Random(flow.id).randrange(len(pool))].upstream


def choose_round_robin(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """Chooses the upstreams in turn, separately at each owner."""
    del cluster, flow
    owner.round_robin_index += 1
    return pool[owner.round_robin_index % len(pool)].upstream


def choose_least_connections(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """Chooses the upstream with the fewest flows in flight from the owner."""
    del flow
    return min(
        pool,
        key=lambda c: (
            owner.in_flight_by_host.get(c.upstream, 0),
            cluster.drv.rng.random(),
        ),
    ).upstream


def choose_two(
    owner: load_model.Host,
    cluster: load_model.Cluster,
    flow: load_model.Flow,
    pool: Pool,
) -> str:
    """Chooses the less loaded of two random upstreams, by their reports."""
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
