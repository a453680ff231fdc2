"""Operations of the operator commands, as conditional updates.

Each function reads an object, changes it and writes it on condition that its
version is unchanged.  Of two concurrent writers one gets
``errors.ConflictError``, which names the other.
"""

from collections.abc import Callable
import re
from typing import TypeVar

import msgspec

from crocusmux import addresses
from crocusmux import errors
from crocusmux import objects
from crocusmux.core.control import state_overrides
from crocusmux.objectapi import client as objectapi_client

# Earlier presets kept with an object; at about 1 KB each, 30 stay far below
# the object limit of 1 MB.
MAX_HISTORY_ENTRIES = 30
# Retries of a write that lost a race against a write to another upstream of
# the membership, which is no conflict; watchers write memberships at any time.
MAX_MERGES = 5
MAX_NAME_LENGTH = 64

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")

_Object = TypeVar("_Object", bound=objects.ConfigObject)
Entry = tuple[objects.Member, objects.Upstream]


class PresetRevision(msgspec.Struct, frozen=True, kw_only=True):
    """The current or an earlier revision of a preset.

    Attributes:
        version: Object version of the write.
        preset: The preset.
        writer: Name of the writer.
        at: The writer's wall-clock time of the write, as text.
    """

    version: int
    preset: objects.Preset
    writer: str = ""
    at: str = ""


class LocatedUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream with its service, host and membership version."""

    service: str
    host: str
    failure_domain: str
    version: int
    upstream: objects.Upstream


async def list_presets(client: objectapi_client.Client) -> list[PresetRevision]:
    """Returns the newest revision of each preset, sorted by name."""
    presets = (await client.list(objects.PRESET_PREFIX)).items
    return [_revision(stored, objects.Preset) for stored in presets]


async def show_preset(
    client: objectapi_client.Client, name: str, revision: int = 0
) -> PresetRevision:
    """Returns a preset.

    Args:
        client: Client of the object API.
        name: Name of the preset.
        revision: Revision number; 0 for the newest.

    Raises:
        errors.NotFoundError: There is no such preset, or the revision is
            not in its history.
    """
    for entry in await preset_history(client, name):
        if revision in (0, entry.preset.revision):
            return entry
    raise errors.NotFoundError(
        f"revision {revision} is not in the history",
        step="read preset",
        peer=name,
    )


async def preset_history(
    client: objectapi_client.Client, name: str
) -> list[PresetRevision]:
    """Returns the revisions of a preset, newest first.

    Raises:
        errors.NotFoundError: There is no such preset.
    """
    stored = await _require(client, _preset_key(name))
    return _history(stored, objects.Preset)


async def preset_in_force(
    client: objectapi_client.Client,
) -> PresetRevision | None:
    """Returns the preset in force; None if there was none yet."""
    stored = await client.get(objects.IN_FORCE_KEY)
    return _revision(stored, objects.PresetInForce) if stored else None


async def in_force_history(
    client: objectapi_client.Client,
) -> list[PresetRevision]:
    """Returns the presets that were in force, newest first."""
    stored = await client.get(objects.IN_FORCE_KEY)
    return _history(stored, objects.PresetInForce) if stored else []


async def put_preset(
    client: objectapi_client.Client,
    preset: objects.Preset,
    expect: int | None = None,
) -> objectapi_client.StoredObject:
    """Writes a new revision of a preset and returns the stored object.

    The preset in force stays.  The revision number is the newest plus one.

    Args:
        client: Client of the object API.
        preset: The preset; its revision number is ignored.
        expect: Required version; 0 if it must not exist; None for any.

    Raises:
        errors.ConflictError: Another operator wrote it first.
        errors.ObjectError: The preset is invalid.
    """
    key = _preset_key(preset.name)
    previous = await client.get(key)
    _check_expected(key, previous, expect)
    revision = 1
    if previous:
        newest = _decode(previous, objects.Preset)
        revision = newest.revision + 1
    preset = msgspec.structs.replace(preset, revision=revision)
    objects.validate(preset, key)
    return await client.put(
        key, objects.encode(preset), previous, keep_body=MAX_HISTORY_ENTRIES
    )


async def delete_preset(
    client: objectapi_client.Client, name: str, expect: int | None = None
) -> None:
    """Deletes a preset with its history, unless it is in force.

    Raises:
        errors.UserError: It is in force.
        errors.NotFoundError: There is no such preset.
        errors.ConflictError: Another operator changed it first.
    """
    stored = await _require(client, _preset_key(name))
    _check_expected(stored.key, stored, expect)
    current = await preset_in_force(client)
    if current and current.preset.name == name:
        raise errors.UserError(
            "the preset is in force; put another preset in force first",
            step="delete preset",
            peer=name,
        )
    await client.delete(stored)


async def use_preset(
    client: objectapi_client.Client,
    name: str,
    revision: int = 0,
    expect: int | None = None,
) -> objectapi_client.StoredObject:
    """Puts a preset in force and returns the stored object.

    Args:
        client: Client of the object API.
        name: Name of the preset.
        revision: Revision number; 0 for the newest.
        expect: Required version of ``in-force``; 0 if it must not exist;
            None for any.

    Raises:
        errors.ConflictError: Another operator switched the preset first.
        errors.NotFoundError: There is no such preset or revision.
        errors.UserError: A service needs a class that the preset lacks.
    """
    previous = await client.get(objects.IN_FORCE_KEY)
    _check_expected(objects.IN_FORCE_KEY, previous, expect)
    preset = (await show_preset(client, name, revision)).preset
    for stored in await list_services(client):
        _check_classes(_decode(stored, objects.Service), preset)
    in_force = objects.PresetInForce(
        preset=preset,
        operator=client.writer,
        operation=client.new_operation(),
    )
    return await client.put(
        objects.IN_FORCE_KEY,
        objects.encode(in_force),
        previous,
        operation=in_force.operation,
        keep_body=MAX_HISTORY_ENTRIES,
    )


async def list_services(
    client: objectapi_client.Client,
) -> list[objectapi_client.StoredObject]:
    """Returns all services, sorted by name."""
    return list((await client.list(objects.SERVICE_PREFIX)).items)


async def show_service(
    client: objectapi_client.Client, name: str
) -> objectapi_client.StoredObject:
    """Returns a service.

    Raises:
        errors.NotFoundError: There is no such service.
    """
    return await _require(client, objects.SERVICE_PREFIX + _validate_name(name))


async def put_service(
    client: objectapi_client.Client,
    service: objects.Service,
    expect: int | None = None,
) -> objectapi_client.StoredObject:
    """Writes a service and returns the stored object.

    Args:
        client: Client of the object API.
        service: The service.
        expect: Required version; 0 if it must not exist; None for any.

    Raises:
        errors.ConflictError: Another operator wrote it first.
        errors.ObjectError: The service is invalid.
        errors.UserError: It changes the number of hash slots, uses an
            address of another service or a class that the preset in force
            lacks.
    """
    key = objects.SERVICE_PREFIX + _validate_name(service.name)
    objects.validate(service, key)
    previous = await client.get(key)
    _check_expected(key, previous, expect)
    if previous:
        stored = _decode(previous, objects.Service)
        if stored.hash_slots != service.hash_slots:
            # The owner of a flow depends on its slot number; another number
            # of slots would move all flows at once.
            raise errors.UserError(
                f"hash_slots is {stored.hash_slots} and cannot change to "
                f"{service.hash_slots}",
                step="put service",
                peer=service.name,
            )
    for other in await list_services(client):
        if other.key != key:
            _check_addresses(service, _decode(other, objects.Service))
    current = await preset_in_force(client)
    if current:
        _check_classes(service, current.preset)
    return await client.put(key, objects.encode(service), previous)


async def list_upstreams(
    client: objectapi_client.Client, service: str = ""
) -> list[LocatedUpstream]:
    """Returns the upstreams of one service, or of all.

    Raises:
        errors.NotFoundError: There is no such service.
    """
    if service:
        key = objects.MEMBERSHIP_PREFIX + _validate_name(service)
        stored = await client.get(key)
        if stored is None:
            await show_service(client, service)
        memberships = [stored] if stored else []
    else:
        memberships = list((await client.list(objects.MEMBERSHIP_PREFIX)).items)
    return [
        LocatedUpstream(
            service=membership.service,
            host=member.host,
            failure_domain=member.failure_domain,
            version=stored.version,
            upstream=upstream,
        )
        for stored in memberships
        for membership in [_decode(stored, objects.Membership)]
        for member in membership.members
        for upstream in member.upstreams
    ]


async def add_upstream(
    client: objectapi_client.Client,
    service: str,
    member: objects.Member,
    upstream: objects.Upstream,
    expect: int | None = None,
) -> objectapi_client.StoredObject:
    """Adds an upstream to a service and returns the stored membership.

    Its state is ``warming``: it owns hash slots at once, and slow start
    limits its work.

    Args:
        client: Client of the object API.
        service: Name of the service.
        member: Host of the upstream; if the host is not a member yet, with
            its failure domain and the agent's address.
        upstream: The upstream; its state is ignored.
        expect: Required version of the membership; 0 if it must not exist;
            None for any.

    Raises:
        errors.UserError: The name is in use, or the host is not a member
            and its failure domain or agent address is missing.
        errors.ConflictError: Another operator added it first.
        errors.NotFoundError: There is no such service.
    """
    await show_service(client, service)
    _check_upstream(upstream)
    _validate_name(member.host)
    upstream = msgspec.structs.replace(upstream, state="warming")

    def change(membership: objects.Membership, entry: Entry | None) -> Entry:
        # The host of an upstream that is gone answers retransmissions of its
        # work until the retransmit window ends.
        if entry and (entry[1].state != "gone" or entry[0].host != member.host):
            raise errors.UserError(
                f"exists on host {entry[0].host}, state {entry[1].state}",
                step="add upstream",
                peer=upstream.name,
            )
        for existing in membership.members:
            if existing.host == member.host:
                return existing, upstream
        _check_member(member)
        return member, upstream

    return await _edit_upstream(client, service, upstream.name, expect, change)


async def drain_upstream(
    client: objectapi_client.Client,
    service: str,
    name: str,
    expect: int | None = None,
) -> objectapi_client.StoredObject:
    """Sends an upstream no new work; its flows continue.

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
        "an upstream that is gone cannot be drained",
    )


async def undrain_upstream(
    client: objectapi_client.Client,
    service: str,
    name: str,
    expect: int | None = None,
) -> objectapi_client.StoredObject:
    """Returns a draining upstream to service, with slow start.

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
        "only a draining upstream can be undrained",
    )


async def retire_upstream(
    client: objectapi_client.Client,
    service: str,
    name: str,
    expect: int | None = None,
) -> objectapi_client.StoredObject:
    """Marks a draining upstream as gone, also if its agent restarts.

    A watcher removes it from the membership after the retransmit window.
    ``add_upstream`` returns it to service.

    Raises:
        errors.UserError: The upstream is not draining.
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
    client: objectapi_client.Client,
    service: str,
    name: str,
    expect: int | None,
    state: objects.UpstreamState,
    allowed: tuple[str, ...],
    hint: str,
) -> objectapi_client.StoredObject:
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
    client: objectapi_client.Client,
    service: str,
    name: str,
    expect: int | None,
    change: Callable[[objects.Membership, Entry | None], Entry],
) -> objectapi_client.StoredObject:
    """Changes one upstream; merges concurrent changes of others."""
    key = objects.MEMBERSHIP_PREFIX + _validate_name(service)
    stored = await client.get(key)
    if stored is None:
        await show_service(client, service)
    _check_expected(key, stored, expect)
    original = _find_upstream(stored, name)
    for attempt in range(MAX_MERGES + 1):
        membership = objects.Membership(service=service)
        if stored:
            membership = _decode(stored, objects.Membership)
        current = _find_upstream(stored, name)
        changed = change(membership, current)
        overridden = _set_override(membership, changed[1])
        if stored and changed == current and overridden == membership:
            return stored
        membership = _replace_upstream(overridden, *changed)
        objects.validate(membership, key)
        try:
            return await client.put(key, objects.encode(membership), stored)
        except errors.ConflictError:
            if expect is not None or attempt == MAX_MERGES:
                raise
            stored = await client.get(key)
            if not _same_upstream(_find_upstream(stored, name), original):
                raise
    raise AssertionError("the last attempt returns or raises")


def _set_override(
    membership: objects.Membership, upstream: objects.Upstream
) -> objects.Membership:
    """Sets the state override that a new state implies, or removes it."""
    if upstream.state == "draining" or upstream.state == "gone":
        return state_overrides.add_override(
            membership, upstream.name, upstream.state
        )
    return state_overrides.remove_override(membership, upstream.name)


def _replace_upstream(
    membership: objects.Membership,
    member: objects.Member,
    upstream: objects.Upstream,
) -> objects.Membership:
    """Returns the membership with the upstream added or replaced."""
    members = {m.host: m for m in membership.members}
    existing = members.get(member.host, member)
    upstreams = {u.name: u for u in existing.upstreams}
    upstreams[upstream.name] = upstream
    members[member.host] = msgspec.structs.replace(
        existing, upstreams=tuple(upstreams.values())
    )
    return msgspec.structs.replace(membership, members=tuple(members.values()))


def _same_upstream(one: Entry | None, other: Entry | None) -> bool:
    """Compares host and upstream, and ignores a restart of the agent."""
    if one is None or other is None:
        return one is other
    return one[0].host == other[0].host and one[1] == other[1]


def _find_upstream(
    stored: objectapi_client.StoredObject | None, name: str
) -> Entry | None:
    if stored is None:
        return None
    for member in _decode(stored, objects.Membership).members:
        for upstream in member.upstreams:
            if upstream.name == name:
                host = msgspec.structs.replace(member, upstreams=())
                return host, upstream
    return None


async def _require(
    client: objectapi_client.Client, key: str
) -> objectapi_client.StoredObject:
    stored = await client.get(key)
    if stored is None:
        raise errors.NotFoundError("does not exist", step="read", peer=key)
    return stored


def _decode(
    stored: objectapi_client.StoredObject, kind: type[_Object]
) -> _Object:
    obj = objects.decode(stored.versioned)
    assert isinstance(obj, kind)
    return obj


def _history(
    stored: objectapi_client.StoredObject,
    kind: type[objects.Preset] | type[objects.PresetInForce],
) -> list[PresetRevision]:
    """Returns the object and the earlier ones from its envelope."""
    revisions = [_revision(stored, kind)]
    for past in stored.envelope.recent:
        if not bytes(past.object):
            break
        envelope = msgspec.structs.replace(
            stored.envelope,
            object=past.object,
            writer=past.writer,
            at=past.at,
        )
        earlier = objectapi_client.StoredObject(
            stored.key, past.version, envelope
        )
        revisions.append(_revision(earlier, kind))
    return revisions


def _revision(
    stored: objectapi_client.StoredObject,
    kind: type[objects.Preset] | type[objects.PresetInForce],
) -> PresetRevision:
    obj = objects.decode(stored.versioned)
    assert isinstance(obj, kind)
    preset = obj.preset if isinstance(obj, objects.PresetInForce) else obj
    return PresetRevision(
        version=stored.version,
        preset=preset,
        writer=stored.envelope.writer,
        at=stored.envelope.at,
    )


def _preset_key(name: str) -> str:
    return objects.PRESET_PREFIX + _validate_name(name)


def _validate_name(name: str) -> str:
    """Returns the name unchanged if it is valid in a key.

    Raises:
        errors.UserError: It is not valid.
    """
    if len(name) > MAX_NAME_LENGTH or not _NAME.fullmatch(name):
        raise errors.UserError(
            "a name has 1 to 64 letters, digits, dots, hyphens or "
            "underscores and starts with a letter or digit",
            step="check name",
            peer=repr(name),
        )
    return name


def _check_expected(
    key: str, stored: objectapi_client.StoredObject | None, expect: int | None
) -> None:
    version = stored.version if stored else 0
    if expect is None or expect == version:
        return
    expected = f"version {expect}" if expect else "no object"
    actual = "does not exist"
    if stored:
        writer = stored.envelope.writer or "another writer"
        actual = f"is at version {version}, written by {writer}"
    raise errors.ConflictError(
        f"{actual}; expected {expected}", step="check version", peer=key
    )


def _check_classes(service: objects.Service, preset: objects.Preset) -> None:
    class_names = {c.name for c in preset.classes}
    for address in service.addresses:
        if address.work_class not in class_names:
            raise errors.UserError(
                f"address {address.name} of {service.name} needs class "
                f"{address.work_class}, which preset {preset.name} lacks",
                step="check classes",
                peer=service.name,
            )


def _check_addresses(service: objects.Service, other: objects.Service) -> None:
    """Rejects a port that another service uses; see invariant I2."""
    for own in service.addresses:
        for used in other.addresses:
            same_ip = own.ip == used.ip or not own.ip or not used.ip
            if same_ip and (own.protocol, own.port) == (
                used.protocol,
                used.port,
            ):
                raise errors.UserError(
                    f"address {own.name} has the port {own.port}/"
                    f"{own.protocol} of {other.name}/{used.name}",
                    step="check addresses",
                    peer=service.name,
                )


def _check_upstream(upstream: objects.Upstream) -> None:
    _validate_name(upstream.name)
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
