"""Types, encoding and validation of the objects in the object API.

The object API assigns an object's version, which only increases.  The version
of a ``Membership`` is the epoch of the service's slot table.
"""

from typing import Literal

import msgspec

from crocusmux import errors

UpstreamState = Literal["joining", "warming", "ready", "draining", "gone"]
FlowKind = Literal["long", "request", "bulk"]
Protocol = Literal["tcp", "udp"]
OverrideState = Literal["draining", "gone"]
QueueDiscipline = Literal["fifo", "lifo", "deadline"]

MAX_OBJECT_BYTES = 1_000_000
MIN_HASH_SLOTS = 16

# Keys in the object API.
IN_FORCE_KEY = "in-force"
SERVICE_PREFIX = "services/"
PRESET_PREFIX = "presets/"
MEMBERSHIP_PREFIX = "memberships/"
STATUS_PREFIX = "status/"


class ServiceAddress(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An address on which balancers accept flows of a service.

    Attributes:
        name: Name within the service, such as ``"feed"``.
        protocol: ``"tcp"`` or ``"udp"``.
        port: Port on the balancer.
        ip: IP address to listen on; empty for the balancer's own.
        work_class: Name of the work class of flows on this address.
        refusal: Text sent to a caller whose flow is refused and not run.
    """

    name: str
    protocol: Protocol
    port: int
    ip: str = ""
    work_class: str
    refusal: str = ""


class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A service that callers reach.

    Attributes:
        name: Name of the service.
        hash_slots: Entries of the slot table; a power of two that never
            changes, at least 16 for each expected upstream.
        copies: Members that must record a non-idempotent flow before it runs.
        addresses: Addresses of the service.
    """

    name: str
    hash_slots: int = 128
    copies: int = 2
    addresses: tuple[ServiceAddress, ...] = ()


class WorkClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Scheduling and retry policy of one class of work in a preset.

    Attributes:
        name: Name of the class.
        kind: ``"long"`` flows occupy a connection, ``"request"`` and
            ``"bulk"`` flows occupy a slot of the upstream.
        urgency: Priority; 0 is the most urgent.
        idempotent: True if a request may run more than once.
        deadline_ms: Deadline of one request, in milliseconds; 0 for none.
        reserve_share: Share of an upstream's capacity reserved for the class.
        min_share: Share guaranteed under overload, to prevent starvation.
        queue_limit: Longest queue at one upstream, in requests.
        queue_discipline: Order in which queued requests are served.
        retry_share: Retry budget, as a share of new requests.
        drain_s: Time that a planned stop waits for these flows, in seconds.
    """

    name: str
    kind: FlowKind
    urgency: int = 1
    idempotent: bool = False
    deadline_ms: int = 0
    reserve_share: float = 0.0
    min_share: float = 0.0
    queue_limit: int = 16
    queue_discipline: QueueDiscipline = "fifo"
    retry_share: float = 0.1
    drain_s: float = 30.0


class Preset(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A named set of work classes; a new revision replaces all of them."""

    name: str
    revision: int = 1
    classes: tuple[WorkClass, ...] = ()


class PresetInForce(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The single object that names the preset in force and contains it.

    Attributes:
        preset: The whole preset, so that one write switches all classes.
        operator: Name of the operator who put it in force.
        operation: Unique id of the write, to find its outcome.
    """

    preset: Preset
    operator: str = ""
    operation: str = ""


class Upstream(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One endpoint of a service.

    Attributes:
        name: Unique name, such as ``"rounds-3"``.
        address: ``ip:port`` of the endpoint.
        state: State of the upstream.
        slots: Requests that it serves concurrently.
        connections: Connections that it accepts at most.
    """

    name: str
    address: str
    state: UpstreamState = "ready"
    slots: int = 2
    connections: int = 2000


class Member(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The agent of one upstream host, with its upstreams of the service.

    Attributes:
        host: Name of the upstream host.
        failure_domain: Its failure domain.
        agent: ``ip:port`` of the agent's UDP socket.
        relay: ``ip:port`` of the agent's TCP relay.
        control: pynng URL of the agent's control socket.
        incarnation: Agent incarnation; a new number at each start.
        upstreams: Upstreams of this service on the host.
    """

    host: str
    failure_domain: str
    agent: str
    relay: str = ""
    control: str = ""
    incarnation: int = 0
    upstreams: tuple[Upstream, ...] = ()


class StateOverride(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """State that an operator set by draining or retiring an upstream.

    It outlives the announcements of the upstream's agent.

    Attributes:
        upstream: Name of the upstream.
        state: State that replaces the announced one.
    """

    upstream: str
    state: OverrideState


class Membership(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All members of one service; its version is the epoch.

    Attributes:
        service: Name of the service.
        members: Upstream hosts that run it.
        holds: State overrides of upstreams.
    """

    service: str
    members: tuple[Member, ...] = ()
    holds: tuple[StateOverride, ...] = ()


class VersionedObject(msgspec.Struct, frozen=True):
    """An encoded object with its key and version.

    Attributes:
        key: Key of the object, such as ``"services/rounds"``.
        version: Version from the object API; only increases.
        body: The object as JSON.
    """

    key: str
    version: int
    body: bytes


ConfigObject = Service | Preset | PresetInForce | Membership

_TYPES_BY_PREFIX: tuple[tuple[str, type], ...] = (
    (SERVICE_PREFIX, Service),
    (PRESET_PREFIX, Preset),
    (MEMBERSHIP_PREFIX, Membership),
)


def decode(versioned: VersionedObject) -> ConfigObject:
    """Returns the decoded and validated object.

    Args:
        versioned: The object from the object API or a peer.

    Raises:
        errors.ObjectError: The key is unknown, the body is too large or
            malformed, or a value is out of range.
    """
    kind = _type_of(versioned.key)
    if len(versioned.body) > MAX_OBJECT_BYTES:
        raise errors.ObjectError(
            f"object has {len(versioned.body)} bytes, limit is "
            f"{MAX_OBJECT_BYTES}",
            step="decode object",
            peer=versioned.key,
        )
    try:
        obj: ConfigObject = msgspec.json.decode(versioned.body, type=kind)
    except msgspec.DecodeError as exc:
        raise errors.ObjectError(
            str(exc), step="decode object", peer=versioned.key
        ) from exc
    validate(obj, versioned.key)
    return obj


def encode(obj: ConfigObject) -> bytes:
    """Encodes an object as JSON."""
    return msgspec.json.encode(obj)


def validate(obj: ConfigObject, key: str) -> None:
    """Checks constraints that the types do not express.

    Raises:
        errors.ObjectError: A value is out of range, or a name is not unique.
    """
    problem = ""
    if isinstance(obj, Service):
        problem = _service_problem(obj)
    elif isinstance(obj, Preset):
        problem = _preset_problem(obj)
    elif isinstance(obj, PresetInForce):
        problem = _preset_problem(obj.preset)
    elif isinstance(obj, Membership):
        problem = _membership_problem(obj)
    if problem:
        raise errors.ObjectError(problem, step="check object", peer=key)


def _type_of(key: str) -> type:
    if key == IN_FORCE_KEY:
        return PresetInForce
    for prefix, kind in _TYPES_BY_PREFIX:
        if key.startswith(prefix):
            return kind
    raise errors.ObjectError("unknown key", step="decode object", peer=key)


def _service_problem(service: Service) -> str:
    slots = service.hash_slots
    if slots < MIN_HASH_SLOTS or slots & (slots - 1):
        return f"hash_slots is {slots}, must be a power of two, at least 16"
    if service.copies < 1:
        return f"copies is {service.copies}, must be 1 or more"
    names = [address.name for address in service.addresses]
    if len(set(names)) != len(names):
        return "two addresses have the same name"
    for address in service.addresses:
        if not 0 < address.port < 65536:
            return f"addresses.{address.name}.port is {address.port}"
    return ""


def _preset_problem(preset: Preset) -> str:
    names = [work.name for work in preset.classes]
    if len(set(names)) != len(names):
        return "two classes have the same name"
    for work in preset.classes:
        if work.urgency < 0 or work.queue_limit < 0 or work.drain_s < 0:
            return f"classes.{work.name} has a negative value"
        if not 0 <= work.reserve_share <= 1 or not 0 <= work.min_share <= 1:
            return f"classes.{work.name} has a share outside 0 to 1"
    if sum(work.reserve_share for work in preset.classes) > 1:
        return "reserve_share adds up to more than 1"
    return ""


def _membership_problem(membership: Membership) -> str:
    hosts = [member.host for member in membership.members]
    if len(set(hosts)) != len(hosts):
        return "two members have the same host"
    names = [u.name for m in membership.members for u in m.upstreams]
    if len(set(names)) != len(names):
        return "two upstreams have the same name"
    return ""
