"""Settings of the daemons that forward segments, and what they need."""

from collections.abc import Callable
from typing import Literal, Protocol

import msgspec

from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

Address = tuple[str, int]


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process.

    Attributes:
        role: Program that it runs.
        host: Name of its host.
        failure_domain: Failure domain of the host.
        segments: Address for segments.
        caller_port: Port of callers for segments.
        readiness: Address for readiness checks.
        control: Address for heartbeats at an agent, and for the state that
            a balancer shows to others.
        messages: Address for messages between daemons.
        metrics: Address for metrics.
        seeds: Control addresses of some balancers.
        store: Address of the object store.
        heartbeat_s: Interval of heartbeats, seconds.
        grace_s: Time between SIGTERM and SIGKILL, seconds.
        service: Service of the upstream beside an agent.
        upstream: Address of that upstream for segments.
        outbound: Address to which that upstream sends.
    """

    role: Literal["balancer", "agent"]
    host: str
    failure_domain: str
    segments: Address
    caller_port: int
    readiness: Address
    control: Address
    messages: Address
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    heartbeat_s: float
    grace_s: float
    service: str = ""
    upstream: Address = ("", 0)
    outbound: Address = ("", 0)


class StoredObject(msgspec.Struct, frozen=True):
    """An object of the store.

    Attributes:
        name: Its name within its kind.
        revision: Revision of its last change.
        spec: What it says, as JSON.
    """

    name: str
    revision: int
    spec: bytes


class Changes(msgspec.Struct, frozen=True):
    """What a list or a watch delivers.

    Attributes:
        revision: Revision up to which this is complete.
        items: New or changed objects.
        removed: Names of objects that were deleted.
        full: True if ``items`` are all objects of the kind.
    """

    revision: int
    items: tuple[StoredObject, ...]
    removed: tuple[str, ...] = ()
    full: bool = False


class Store(Protocol):
    """The object store; every call raises ``errors.PlatformError``."""

    async def list(self, kind: str) -> Changes:
        """Returns all objects of a kind."""

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> Changes | None:
        """Returns what changed after a revision, or nothing in time.

        Returns:
            None if the store no longer knows the changes since then.
        """

    async def create(self, kind: str, name: str, spec: bytes) -> None:
        """Creates an object.

        Raises:
            errors.ConflictError: It exists already.
        """

    async def replace(self, kind: str, name: str, spec: bytes) -> None:
        """Replaces what an object says.

        Raises:
            errors.NotFoundError: It does not exist.
        """

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; one that does not exist is no error."""


class Leave(msgspec.Struct, frozen=True):
    """An upstream's word that it ends.

    Attributes:
        upstream: Its id.
    """

    upstream: str


class Adapter(msgspec.Struct, frozen=True):
    """What speaks to the platform, as the daemons use it.

    Attributes:
        store: The object store.
        config_kind: Kind of the configuration object.
        agent_kind: Kind of the objects in which agents announce themselves.
        ready_path: Path of readiness checks.
        decode_from_caller: Decodes a datagram that a caller wrote.  Raises
            ``errors.WireError``.
        decode_from_upstream: Decodes a datagram that an upstream wrote or
            returned.  Raises ``errors.WireError``.
        encode_segment: Returns a segment with service tag and mark set and
            the mark of returned ones cleared.
        encode_reset: Returns a reset of a flow with a sequence number.
        decode_config: Decodes the configuration.  Raises
            ``errors.ObjectError``.
        decode_call: Decodes a call of an upstream from method, path and body.
            Raises ``errors.WireError``.
    """

    store: Store
    config_kind: str
    agent_kind: str
    ready_path: str
    decode_from_caller: Callable[[bytes], segments.Segment]
    decode_from_upstream: Callable[[bytes], segments.Segment]
    encode_segment: Callable[[segments.Segment, int, int], bytes]
    encode_reset: Callable[[bytes, int], bytes]
    decode_config: Callable[[bytes], routes.Configuration]
    decode_call: Callable[[str, str, bytes], heartbeats.Heartbeat | Leave]


class State(msgspec.Struct, frozen=True):
    """What balancers show each other.

    Attributes:
        config: The configuration in force.
        agents: Agents that the sender has reports of.
    """

    config: routes.Configuration
    agents: tuple[upstreams.AgentRecord, ...]
