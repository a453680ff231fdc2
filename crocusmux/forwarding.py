"""Settings of the forwarding daemons, and their interface to the platform."""

from collections.abc import Callable
from typing import Literal, Protocol

import msgspec

from crocusmux import errors
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import routes
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams

Address = tuple[str, int]


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one daemon.

    Attributes:
        role: Which daemon runs.
        host: Name of the host.
        failure_domain: Failure domain of the host.
        segments: Address for segments.
        caller_port: Port of callers for segments.
        readiness: Address for readiness checks.
        control: Address for heartbeats to an agent, or for the state that a
            balancer serves to its peers.
        messages: Address for messages between daemons.
        metrics: Address for metrics.
        seeds: Control addresses of some balancers.
        store: Address of the object store.
        heartbeat_s: Interval of the upstream's heartbeats, seconds.
        grace_s: Time between SIGTERM and SIGKILL, seconds.
        first_start: True if the whole deployment starts for the first time, so
            that the store has no records yet.
        evacuations: True if operators may evacuate failure domains.
        service: Service of the upstream beside an agent.
        upstream: Address of that upstream for segments.
        outbound: Address of the agent to which that upstream sends segments.
        link_mbps: Bandwidth of the host's link, megabits per second; 0 if it is
            unknown or without limit.
        hedge_share: Limit of a balancer's hedged openings as a share of all
            openings, 0 to 1; 0 disables hedging.
        detect_outliers: True to avoid upstreams that fail part of their
            requests.
        fair_queueing: True to queue new flows of a balancer behind others of
            their service, by urgency and caller.
        free_slot_first: True to offer a new flow to further agents before one
            without a free slot queues it.
        extra_offer_share: Limit of a balancer's extra offers for that as a share
            of all openings, 0 to 2; 0 disables them.
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
    first_start: bool = False
    evacuations: bool = False
    service: str = ""
    upstream: Address = ("", 0)
    outbound: Address = ("", 0)
    hedge_share: float = 0.0
    link_mbps: float = 0.0
    detect_outliers: bool = False
    fair_queueing: bool = False
    free_slot_first: bool = False
    extra_offer_share: float = 1.0


class StoredObject(msgspec.Struct, frozen=True):
    """An object of the store.

    Attributes:
        name: Name of the object, unique within its kind.
        revision: Revision of the last change.
        spec: Contents as JSON.
    """

    name: str
    revision: int
    spec: bytes


class Changes(msgspec.Struct, frozen=True):
    """Result of a list or a watch.

    Attributes:
        revision: Revision of the store that the result reflects.
        items: New or changed objects.
        removed: Names of objects that were deleted.
        full: True if ``items`` has all objects of the kind.
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
        self,
        kind: str,
        revision: int,
        wait_s: float,
        allow_stale: bool = False,
    ) -> Changes | None:
        """Waits for changes after a revision.

        Args:
            kind: Kind of the objects.
            revision: Revision that the caller knows.
            wait_s: Longest wait, seconds.
            allow_stale: True if the changes may be some seconds old and the
                revision of the result may be lower than ``revision``.  Such a
                call costs a tenth and does not count toward the rate limit.

        Returns:
            None if the store has dropped the changes since that revision.
        """

    async def create(self, kind: str, name: str, spec: bytes) -> int:
        """Creates an object and returns its revision.

        Raises:
            errors.ConflictError: The object exists already.
        """

    async def replace(self, kind: str, name: str, spec: bytes) -> int:
        """Replaces the contents of an object and returns its revision.

        Raises:
            errors.NotFoundError: The object does not exist.
        """

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Deletes an object if it exists.

        A call that gets no response may take effect seconds later, so the
        condition on the revision holds then as well.

        Raises:
            errors.ConflictError: The object has another revision.
        """


class Deregistration(msgspec.Struct, frozen=True):
    """An upstream's announcement that it ends.

    Attributes:
        upstream: Id of the upstream.
    """

    upstream: str


class Adapter(msgspec.Struct, frozen=True):
    """Functions and names through which the daemons use the platform.

    Attributes:
        store: The object store.
        config_kind: Kind of the configuration object.
        config_name: Name of the configuration object; others of that kind are
            ignored.
        agent_kind: Kind of the agents' announcements.
        evacuation_kind: Kind of the objects that are named after the failure
            domains which operators have evacuated.
        ready_path: Path of readiness checks.
        decode_from_caller: Decodes a datagram from a caller.  Raises
            ``errors.WireError``.
        decode_from_upstream: Decodes a datagram that an upstream sent or
            returned.  Raises ``errors.WireError``.
        encode_segment: Encodes a segment with a service tag and a mark, and
            without the flag of returned segments.
        encode_reset: Encodes a reset of a flow with a sequence number.
        decode_config: Decodes the configuration.  Raises
            ``errors.ObjectError``.
        decode_call: Decodes a call of an upstream from method, path and body.
            Raises ``errors.WireError``.
    """

    store: Store
    config_kind: str
    config_name: str
    agent_kind: str
    evacuation_kind: str
    ready_path: str
    decode_from_caller: Callable[[bytes], segments.Segment]
    decode_from_upstream: Callable[[bytes], segments.Segment]
    encode_segment: Callable[[segments.Segment, int, int], bytes]
    encode_reset: Callable[[bytes, int], bytes]
    decode_config: Callable[[bytes], routes.Configuration]
    decode_call: Callable[
        [str, str, bytes], heartbeats.Heartbeat | Deregistration
    ]


class PeerState(msgspec.Struct, frozen=True):
    """State that balancers serve to their peers.

    Attributes:
        config: The configuration in force.
        agents: Agents that have reported to the sender.
        former_services: Former services of routes; a peer of an older release
            sends none.
        evacuated: Evacuated failure domains that the sender knows; a peer of an
            older release sends none.
        knows_former_services: False if the sender has started and no peer has
            told it the former services yet; a peer of an older release does not
            tell.
    """

    config: routes.Configuration
    agents: tuple[upstreams.AgentRecord, ...]
    former_services: tuple[routes.FormerServices, ...] = ()
    evacuated: tuple[str, ...] = ()
    knows_former_services: bool = True


def decode_state(body: bytes) -> PeerState:
    """Decodes the state of a peer.

    Raises:
        errors.WireError: The state is malformed.
    """
    try:
        return msgspec.msgpack.decode(body, type=PeerState)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.WireError(str(exc), step="decode state") from exc
