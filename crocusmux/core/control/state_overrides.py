"""State overrides: upstream states set by an operator.

An agent announces its upstreams anew at each start.  A drain or retirement by
an operator must outlive that, so it is kept in the membership beside the
members and applied to each announcement.
"""

from collections.abc import Iterable

import msgspec

from crocusmux import objects

_RANK = {"": 0, "draining": 1, "gone": 2}


def add_override(
    membership: objects.Membership, upstream: str, state: objects.OverrideState
) -> objects.Membership:
    """Returns the membership with an upstream overridden to a state."""
    kept = [h for h in membership.holds if h.upstream != upstream]
    kept.append(objects.StateOverride(upstream=upstream, state=state))
    return msgspec.structs.replace(membership, holds=tuple(kept))


def remove_override(
    membership: objects.Membership, upstream: str
) -> objects.Membership:
    """Returns the membership without the override of an upstream."""
    kept = tuple(h for h in membership.holds if h.upstream != upstream)
    return msgspec.structs.replace(membership, holds=kept)


def apply_overrides(membership: objects.Membership) -> objects.Membership:
    """Returns the membership with its state overrides applied to upstreams."""
    if not membership.holds:
        return membership
    states = {h.upstream: h.state for h in membership.holds}
    members = tuple(
        msgspec.structs.replace(
            member,
            upstreams=tuple(_override(u, states) for u in member.upstreams),
        )
        for member in membership.members
    )
    return msgspec.structs.replace(membership, members=members)


def all_gone(
    membership: objects.Membership | None, upstreams: Iterable[str]
) -> bool:
    """Returns True if an operator has retired all of the given upstreams."""
    retired = {
        h.upstream
        for h in (membership.holds if membership else ())
        if h.state == "gone"
    }
    return set(upstreams) <= retired


def _override(
    upstream: objects.Upstream, states: dict[str, objects.OverrideState]
) -> objects.Upstream:
    state = states.get(upstream.name)
    if state is None or _RANK.get(upstream.state, 0) >= _RANK[state]:
        return upstream
    return msgspec.structs.replace(upstream, state=state)
