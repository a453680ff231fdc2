"""States that an operator holds upstreams in.

An agent announces its upstreams anew at each start.  A drain or retirement by
an operator must outlive that, so it is kept in the membership beside the
members and applied to whatever is announced.
"""

from collections.abc import Iterable

import msgspec

from crocusmux import objects

_RANK = {"": 0, "draining": 1, "gone": 2}


def add_override(
    membership: objects.Membership, upstream: str, state: objects.HeldState
) -> objects.Membership:
    """Returns a membership that holds an upstream in a state."""
    kept = [h for h in membership.holds if h.upstream != upstream]
    kept.append(objects.Hold(upstream=upstream, state=state))
    return msgspec.structs.replace(membership, holds=tuple(kept))


def remove_override(
    membership: objects.Membership, upstream: str
) -> objects.Membership:
    """Returns a membership that no longer holds an upstream."""
    kept = tuple(h for h in membership.holds if h.upstream != upstream)
    return msgspec.structs.replace(membership, holds=kept)


def apply_overrides(membership: objects.Membership) -> objects.Membership:
    """Returns a membership whose upstreams are in their held states."""
    if not membership.holds:
        return membership
    held = {h.upstream: h.state for h in membership.holds}
    members = tuple(
        msgspec.structs.replace(
            member,
            upstreams=tuple(_held(u, held) for u in member.upstreams),
        )
        for member in membership.members
    )
    return msgspec.structs.replace(membership, members=members)


def all_retired(
    membership: objects.Membership | None, upstreams: Iterable[str]
) -> bool:
    """Tells whether an operator has retired all of some upstreams."""
    gone = {
        h.upstream
        for h in (membership.holds if membership else ())
        if h.state == "gone"
    }
    return set(upstreams) <= gone


def _held(
    upstream: objects.Upstream, held: dict[str, objects.HeldState]
) -> objects.Upstream:
    state = held.get(upstream.name)
    if state is None or _RANK.get(upstream.state, 0) >= _RANK[state]:
        return upstream
    return msgspec.structs.replace(upstream, state=state)
