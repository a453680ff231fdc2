"""What operators do, as conditional updates; prints nothing.

Each function reads the object, changes it and writes it under the version
that it read.  Of two operators who change the same thing, one wins and the
other gets ``errors.ConflictError`` that names the winner.
"""

from collections.abc import Callable
import re
from typing import TypeVar

import msgspec

from crocusmux import addresses
from crocusmux import errors
from crocusmux import objects
from crocusmux.core.control import state_overrides
from crocusmux.objectapi import client as platform

# Revisions of a preset, and presets that were in force, kept for the
# history; a preset has about 1 KB, so 30 stay far below the 1 MB limit.
MAX_HISTORY = 30
# Watchers write memberships at any time; a change that does not touch the
# operator's upstream is not a conflict and is merged so many times.
MAX_MERGES = 5
MAX_NAME = 64

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")

_Object = TypeVar("_Object", bound=objects.ConfigObject)
Entry = tuple[objects.Member, objects.Upstream]


class Revision(msgspec.Struct, frozen=True, kw_only=True):
    """A preset at one revision, now or earlier.

    Attributes:
        version: Platform version of the write.
        preset: The preset.
        writer: Who wrote it.
        at: Wall-clock time of the writer as text.
    """

    version: int
    preset: objects.Preset
    writer: str = ""
    at: str = ""


class Placed(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream with its service and host."""

    service: str
    host: str
    failure_domain: str
    version: int
    upstream: objects.Upstream


async def list_presets(client: platform.Client) -> list[Revision]:
    """Returns the newest revision of each preset, sorted by name."""
    found = (await client.list(objects.PRESET_PREFIX)).items
    return [_revision(stored, objects.Preset) for stored in found]


async def show_preset(
    client: platform.Client, name: str, revision: int = 0
) -> Revision:
    """Returns a preset.

    Args:
        client: The platform.
        name: Name of the preset.
        revision: Revision wanted; 0 for the newest.

    Raises:
        errors.NotFoundError: There is no such preset, or the revision is
            not in its history.
    """
    for found in await preset_history(client, name):
        if revision in (0, found.preset.revision):
            return found
    raise errors.NotFoundError(
        f"revision {revision} is not in the history",
        step="read preset",
        peer=name,
    )


async def preset_history(client: platform.Client, name: str) -> list[Revision]:
    """Returns the revisions of a preset, newest first.

    Raises:
        errors.NotFoundError: There is no such preset.
    """
    stored = await _read(client, _preset_key(name))
    return _history(stored, objects.Preset)


async def in_force(client: platform.Client) -> Revision | None:
    """Returns the preset in force; None before the first is chosen."""
    stored = await client.get(objects.IN_FORCE_KEY)
    return _revision(stored, objects.InForce) if stored else None


async def in_force_history(client: platform.Client) -> list[Revision]:
    """Returns the presets that were in force, newest first."""
    stored = await client.get(objects.IN_FORCE_KEY)
    return _history(stored, objects.InForce) if stored else []


async def put_preset(
    client: platform.Client, preset: objects.Preset, expect: int | None = None
) -> platform.Stored:
    """Writes a new revision of a preset; what is in force does not change.

    The revision is the one after the newest, whatever ``preset`` says.

    Args:
        client: The platform.
        preset: The preset.
        expect: Version that the newest revision must have; 0 if there must
            be none; None to accept any.

    Returns:
        The preset as written.

    Raises:
        errors.ConflictError: Another operator wrote it first.
        errors.ObjectError: The preset is not valid.
    """
    key = _preset_key(preset.name)
    previous = await client.get(key)
    _check_expected(key, previous, expect)
    revision = 1
    if previous:
        known = _decode(previous, objects.Preset)
        revision = known.revision + 1
    preset = msgspec.structs.replace(preset, revision=revision)
    objects.check(preset, key)
    return await client.put(
        key, objects.encode(preset), previous, keep_body=MAX_HISTORY
    )


async def delete_preset(
    client: platform.Client, name: str, expect: int | None = None
) -> None:
    """Deletes a preset with its history, unless it is in force.

    Raises:
        errors.UserError: It is in force.
        errors.NotFoundError: There is no such preset.
        errors.ConflictError: Another operator changed it first.
    """
    stored = await _read(client, _preset_key(name))
    _check_expected(stored.key, stored, expect)
    current = await in_force(client)
    if current and current.preset.name == name:
        raise errors.UserError(
            "the preset is in force; use another one first",
            step="delete preset",
            peer=name,
        )
    await client.delete(stored)


async def use_preset(
    client: platform.Client,
    name: str,
    revision: int = 0,
    expect: int | None = None,
) -> platform.Stored:
    """Puts a preset in force by one conditional write.

    Args:
        client: The platform.
        name: Name of the preset.
        revision: Revision to use; 0 for the newest.
        expect: Version that ``in-force`` must have; 0 if none may be in
            force yet; None to accept the one read.

    Returns:
        The pointer to the preset in force, as written.

    Raises:
        errors.ConflictError: Another operator chose a preset first.
        errors.NotFoundError: There is no such preset or revision.
        errors.UserError: A service needs a class that the preset lacks.
    """
    previous = await client.get(objects.IN_FORCE_KEY)
    _check_expected(objects.IN_FORCE_KEY, previous, expect)
    chosen = (await show_preset(client, name, revision)).preset
    for service in await list_services(client):
        _check_classes(_decode(service, objects.Service), chosen)
    pointer = objects.InForce(
        preset=chosen,
        operator=client.writer,
        operation=client.new_operation(),
    )
    return await client.put(
        objects.IN_FORCE_KEY,
        objects.encode(pointer),
        previous,
        operation=pointer.operation,
        keep_body=MAX_HISTORY,
    )


async def list_services(client: platform.Client) -> list[platform.Stored]:
    """Returns all services, sorted by name."""
    return list((await client.list(objects.SERVICE_PREFIX)).items)


async def show_service(client: platform.Client, name: str) -> platform.Stored:
    """Returns a service.

    Raises:
        errors.NotFoundError: There is no such service.
    """
    return await _read(client, objects.SERVICE_PREFIX + _checked(name))


async def put_service(
    client: platform.Client, service: objects.Service, expect: int | None = None
) -> platform.Stored:
    """Writes a service.

    Args:
        client: The platform.
        service: The service.
        expect: Version that it must have; 0 if it must not exist; None to
            accept the one read.

    Returns:
        The service as written.

    Raises:
        errors.ConflictError: Another operator wrote it first.
        errors.ObjectError: The service is not valid.
        errors.UserError: It changes the number of hash slots, takes an
            address of another service or needs a class that the preset in
            force lacks.
    """
    key = objects.SERVICE_PREFIX + _checked(service.name)
    objects.check(service, key)
    previous = await client.get(key)
    _check_expected(key, previous, expect)
    if previous:
        known = _decode(previous, objects.Service)
        if known.hash_slots != service.hash_slots:
            # Owners of flows are computed from the slot number; another
            # count would move all flows at once.
            raise errors.UserError(
                f"hash_slots is {known.hash_slots} and cannot change to "
                f"{service.hash_slots}",
                step="put service",
                peer=service.name,
            )
    for other in await list_services(client):
        if other.key != key:
            _check_addresses(service, _decode(other, objects.Service))
    current = await in_force(client)
    if current:
        _check_classes(service, current.preset)
    return await client.put(key, objects.encode(service), previous)


async def list_upstreams(
    client: platform.Client, service: str = ""
) -> list[Placed]:
    """Returns the upstreams of one service, or of all.

    Raises:
        errors.NotFoundError: There is no such service.
    """
    if service:
        key = objects.MEMBERSHIP_PREFIX + _checked(service)
        stored = await client.get(key)
        if stored is None:
            await show_service(client, service)
        found = [stored] if stored else []
    else:
        found = list((await client.list(objects.MEMBERSHIP_PREFIX)).items)
    return [
        Placed(
            service=membership.service,
            host=member.host,
            failure_domain=member.failure_domain,
            version=stored.version,
            upstream=upstream,
        )
        for stored in found
        for membership in [_decode(stored, objects.Membership)]
        for member in membership.members
        for upstream in member.upstreams
    ]


async def add_upstream(
    client: platform.Client,
    service: str,
    member: objects.Member,
    upstream: objects.Upstream,
    expect: int | None = None,
) -> platform.Stored:
    """Writes an upstream into the membership of its service.

    It starts as ``warming``: it owns hash slots at once and takes as much
    work as its warm-up allows.

    Args:
        client: The platform.
        service: Name of the service.
        member: Its host.  For a host that is a member already only the name
            counts; a new one needs a failure domain and agent address.
        upstream: The upstream; its state is ignored.
        expect: Version that the membership must have; None for any.

    Returns:
        The membership as written.

    Raises:
        errors.UserError: The name is in use, or the host is not a member
            and its addresses are not given.
        errors.ConflictError: Another operator added it first.
        errors.NotFoundError: There is no such service.
    """
    await show_service(client, service)
    _check_upstream(upstream)
    _checked(member.host)
    upstream = msgspec.structs.replace(upstream, state="warming")

    def change(membership: objects.Membership, entry: Entry | None) -> Entry:
        # An upstream that is gone stays with its host for the retransmit
        # window, because late copies of its work are still answered there.
        if entry and (entry[1].state != "gone" or entry[0].host != member.host):
            raise errors.UserError(
                f"exists on host {entry[0].host}, state {entry[1].state}",
                step="add upstream",
                peer=upstream.name,
            )
        for known in membership.members:
            if known.host == member.host:
                return known, upstream
        _check_member(member)
        return member, upstream

    return await _edit_upstream(client, service, upstream.name, expect, change)


async def drain_upstream(
    client: platform.Client, service: str, name: str, expect: int | None = None
) -> platform.Stored:
    """Stops new work for an upstream; its flows go on.

    Raises:
        errors.NotFoundError: There is no such service or upstream.
        errors.UserError: The upstream is gone.
        errors.ConflictError: Another operator changed it first.
    """
    return await _set_state(
        client,
        service,
        name,
        expect,
        "draining",
        ("joining", "warming", "ready"),
        "it takes no work any more",
    )


async def undrain_upstream(
    client: platform.Client, service: str, name: str, expect: int | None = None
) -> platform.Stored:
    """Lets a draining upstream take work again, through its warm-up.

    Raises:
        errors.PlatformError, errors.UserError: As for ``drain_upstream``.
    """
    return await _set_state(
        client,
        service,
        name,
        expect,
        "warming",
        ("draining",),
        "only a draining upstream can take work again",
    )


async def retire_upstream(
    client: platform.Client, service: str, name: str, expect: int | None = None
) -> platform.Stored:
    """Marks a draining upstream as gone, also for later starts of its agent.

    Its host counts as a member for the retransmit window; after that a
    watcher takes it out of the membership.  ``add_upstream`` brings it back.

    Raises:
        errors.UserError: It is not draining.
        errors.PlatformError: As for ``drain_upstream``.
    """
    return await _set_state(
        client,
        service,
        name,
        expect,
        "gone",
        ("draining",),
        "drain it first, so that no request in progress is cut",
    )


async def _set_state(
    client: platform.Client,
    service: str,
    name: str,
    expect: int | None,
    state: objects.State,
    allowed: tuple[str, ...],
    hint: str,
) -> platform.Stored:
    def change(membership: objects.Membership, entry: Entry | None) -> Entry:
        if entry is None:
            raise errors.NotFoundError(
                f"{service} has no such upstream",
                step="change upstream",
                peer=name,
            )
        member, upstream = entry
        if upstream.state == state:
            return entry
        if upstream.state not in allowed:
            raise errors.UserError(
                f"state is {upstream.state}; {hint}",
                step=f"set state {state}",
                peer=name,
            )
        return member, msgspec.structs.replace(upstream, state=state)

    return await _edit_upstream(client, service, name, expect, change)


async def _edit_upstream(
    client: platform.Client,
    service: str,
    name: str,
    expect: int | None,
    change: Callable[[objects.Membership, Entry | None], Entry],
) -> platform.Stored:
    """Changes one upstream; merges with writes that leave it alone."""
    key = objects.MEMBERSHIP_PREFIX + _checked(service)
    stored = await client.get(key)
    if stored is None:
        await show_service(client, service)
    _check_expected(key, stored, expect)
    first = _find(stored, name)
    for attempt in range(MAX_MERGES + 1):
        membership = objects.Membership(service=service)
        if stored:
            membership = _decode(stored, objects.Membership)
        found = _find(stored, name)
        changed = change(membership, found)
        held = _with_hold(membership, changed[1])
        if stored and changed == found and held == membership:
            return stored
        membership = _with_upstream(held, *changed)
        objects.check(membership, key)
        try:
            return await client.put(key, objects.encode(membership), stored)
        except errors.ConflictError:
            if expect is not None or attempt == MAX_MERGES:
                raise
            stored = await client.get(key)
            if not _same(_find(stored, name), first):
                raise
    raise AssertionError("the last attempt returns or raises")


def _with_hold(
    membership: objects.Membership, upstream: objects.Upstream
) -> objects.Membership:
    """Returns the membership with the hold that a change of state means."""
    if upstream.state == "draining" or upstream.state == "gone":
        return state_overrides.add_override(
            membership, upstream.name, upstream.state
        )
    return state_overrides.remove_override(membership, upstream.name)


def _with_upstream(
    membership: objects.Membership,
    member: objects.Member,
    upstream: objects.Upstream,
) -> objects.Membership:
    """Returns the membership with the upstream added or replaced."""
    members = {known.host: known for known in membership.members}
    known = members.get(member.host, member)
    upstreams = {u.name: u for u in known.upstreams}
    upstreams[upstream.name] = upstream
    members[member.host] = msgspec.structs.replace(
        known, upstreams=tuple(upstreams.values())
    )
    return msgspec.structs.replace(membership, members=tuple(members.values()))


def _same(one: Entry | None, other: Entry | None) -> bool:
    """Compares upstreams and hosts; an agent's restart is no difference."""
    if one is None or other is None:
        return one is other
    return one[0].host == other[0].host and one[1] == other[1]


def _find(stored: platform.Stored | None, name: str) -> Entry | None:
    if stored is None:
        return None
    for member in _decode(stored, objects.Membership).members:
        for upstream in member.upstreams:
            if upstream.name == name:
                bare = msgspec.structs.replace(member, upstreams=())
                return bare, upstream
    return None


async def _read(client: platform.Client, key: str) -> platform.Stored:
    stored = await client.get(key)
    if stored is None:
        raise errors.NotFoundError("does not exist", step="read", peer=key)
    return stored


def _decode(stored: platform.Stored, kind: type[_Object]) -> _Object:
    obj = objects.decode(stored.versioned)
    assert isinstance(obj, kind)
    return obj


def _history(
    stored: platform.Stored, kind: type[objects.Preset] | type[objects.InForce]
) -> list[Revision]:
    """Returns the object and the earlier ones kept in its envelope."""
    found = [_revision(stored, kind)]
    for past in stored.envelope.recent:
        if not bytes(past.object):
            break
        envelope = msgspec.structs.replace(
            stored.envelope,
            object=past.object,
            writer=past.writer,
            at=past.at,
        )
        earlier = platform.Stored(stored.key, past.version, envelope)
        found.append(_revision(earlier, kind))
    return found


def _revision(
    stored: platform.Stored, kind: type[objects.Preset] | type[objects.InForce]
) -> Revision:
    obj = objects.decode(stored.versioned)
    assert isinstance(obj, kind)
    preset = obj.preset if isinstance(obj, objects.InForce) else obj
    return Revision(
        version=stored.version,
        preset=preset,
        writer=stored.envelope.writer,
        at=stored.envelope.at,
    )


def _preset_key(name: str) -> str:
    return objects.PRESET_PREFIX + _checked(name)


def _checked(name: str) -> str:
    """Returns a name that can stand in a key.

    Raises:
        errors.UserError: It cannot.
    """
    if len(name) > MAX_NAME or not _NAME.fullmatch(name):
        raise errors.UserError(
            "a name has 1 to 64 letters, digits, dots, hyphens or "
            "underscores and starts with a letter or digit",
            step="check name",
            peer=repr(name),
        )
    return name


def _check_expected(
    key: str, stored: platform.Stored | None, expect: int | None
) -> None:
    version = stored.version if stored else 0
    if expect is None or expect == version:
        return
    wanted = f"version {expect}" if expect else "no object"
    now_at = "does not exist"
    if stored:
        writer = stored.envelope.writer or "another writer"
        now_at = f"is at version {version}, written by {writer}"
    raise errors.ConflictError(
        f"{now_at}; expected {wanted}", step="check version", peer=key
    )


def _check_classes(service: objects.Service, preset: objects.Preset) -> None:
    known = {work.name for work in preset.classes}
    for address in service.addresses:
        if address.work_class not in known:
            raise errors.UserError(
                f"address {address.name} of {service.name} needs class "
                f"{address.work_class}, which preset {preset.name} lacks",
                step="check classes",
                peer=service.name,
            )


def _check_addresses(service: objects.Service, other: objects.Service) -> None:
    """Refuses an address of another service; see invariant I2."""
    for mine in service.addresses:
        for theirs in other.addresses:
            same_ip = mine.ip == theirs.ip or not mine.ip or not theirs.ip
            if same_ip and (mine.protocol, mine.port) == (
                theirs.protocol,
                theirs.port,
            ):
                raise errors.UserError(
                    f"address {mine.name} has the port {mine.port}/"
                    f"{mine.protocol} of {other.name}/{theirs.name}",
                    step="check addresses",
                    peer=service.name,
                )


def _check_upstream(upstream: objects.Upstream) -> None:
    _checked(upstream.name)
    _check_address(upstream.address, "address", upstream.name)
    if upstream.slots < 1 or upstream.connections < 1:
        raise errors.UserError(
            "slots and connections must be 1 or more",
            step="check upstream",
            peer=upstream.name,
        )


def _check_member(member: objects.Member) -> None:
    if not member.failure_domain or not member.agent:
        raise errors.UserError(
            "the host is not a member yet; give its failure domain and the "
            "address of its agent",
            step="add upstream",
            peer=member.host,
        )
    _check_address(member.agent, "agent", member.host)
    if member.relay:
        _check_address(member.relay, "relay", member.host)


def _check_address(text: str, what: str, peer: str) -> None:
    try:
        addresses.split(text)
    except ValueError as exc:
        raise errors.UserError(
            f"{what}: {exc}", step="check upstream", peer=peer
        ) from exc
