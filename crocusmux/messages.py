"""Messages between terminating balancers and agents.

``wire`` authenticates and encodes them.  The structs are encoded as msgpack
arrays, so field order is part of the protocol: new fields go to the end and
have a default.
"""

from typing import Any, Union

import msgspec

PROTOCOL_VERSION = 1

# Kinds of flow; the first byte of a flow id.
FLOW_UDP = b"U"
FLOW_TCP = b"T"
FLOW_LIBRARY = b"L"

# Outcomes of a flow, as reported to its caller.
ANSWERED = "answered"
REFUSED = "refused"  # refused as not run
UNKNOWN = "unknown"


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Base class of the messages.

    Attributes:
        service: Key of the service (``slots.service_key``), 64 bits.
    """

    service: int


class Packet(Message, tag=1, frozen=True, gc=False):
    """A datagram of a flow on its way to the flow's holder.

    Attributes:
        flow: Flow id, at most 64 bytes.
        epoch: Membership version by which the sender chose the receiver.
        rank: Rank of the receiver among the slot's owners; -1 for the holder.
        hops: Forwarding steps so far; bounds forwarding loops.
        via: ``ip:port`` of the balancer that gets the reply; empty on the
            first hop, where the balancer is the sender.
        payload: The caller's datagram.
    """

    flow: bytes
    epoch: int
    rank: int
    hops: int
    via: str
    payload: bytes


class Reply(Message, tag=2, frozen=True, gc=False):
    """A datagram from an upstream, on its way back to the caller.

    Attributes:
        flow: Flow id.
        incarnation: Placement incarnation that the datagram belongs to.
        outcome: ``ANSWERED``, ``REFUSED`` or ``UNKNOWN``.
        payload: The upstream's datagram; empty unless answered.
        reason: Reason of a refusal.
    """

    flow: bytes
    incarnation: int
    outcome: str
    payload: bytes
    reason: str = ""


class Open(Message, tag=3, frozen=True, gc=False):
    """Request to a slot's owner: place a new TCP or library flow.

    Attributes:
        flow: Flow id.
        epoch: Membership version by which the sender chose the receiver.
        rank: Rank of the receiver among the slot's owners.
        hops: Forwarding steps so far.
        via: ``ip:port`` of the balancer that gets the answer; empty on the
            first hop.
        work_class: Name of the work class.
        caller: IP address of the caller, for fairness between callers.
        deadline_ms: Time until the deadline, in ms; 0 for no deadline.
        attempt: Number of the attempt, from 1.
        exclude: Upstream that refused the previous attempt.
        resume: True if the flow must exist already (library flows).
    """

    flow: bytes
    epoch: int
    rank: int
    hops: int
    via: str
    work_class: str
    caller: str
    deadline_ms: int
    attempt: int = 1
    exclude: str = ""
    resume: bool = False


class Placed(Message, tag=4, frozen=True, gc=False):
    """Answer to ``Open``: the relay and upstream of the placed flow.

    Attributes:
        flow: Flow id.
        incarnation: Placement incarnation; ``Attach`` repeats it.
        upstream: Name of the upstream.
        relay: ``ip:port`` of the holder's TCP relay.
    """

    flow: bytes
    incarnation: int
    upstream: str
    relay: str


class Refused(Message, tag=5, frozen=True, gc=False):
    """Answer to ``Open`` or ``Place``: the flow is refused.

    Attributes:
        flow: Flow id.
        incarnation: Placement incarnation that is refused; 0 if none.
        outcome: ``REFUSED`` (not run and will not run) or ``UNKNOWN``.
        reason: Reason, as one word of the decision log.
        retry_ms: Earliest retry by the caller, in ms; 0 for no advice.
    """

    flow: bytes
    incarnation: int
    outcome: str
    reason: str
    retry_ms: int = 0


class Place(Message, tag=6, frozen=True, gc=False):
    """Request of a slot's owner to a member: hold a flow.

    Attributes:
        flow: Flow id.
        epoch: Epoch of the owner's term.
        rank: Rank of the owner's term.
        incarnation: Placement incarnation.
        owner: Host of the slot's owner.
        upstream: Name of the chosen upstream.
        work_class: Name of the work class.
        caller: IP address of the caller.
        deadline_ms: Time until the deadline, in ms; 0 for no deadline.
        via: ``ip:port`` of the balancer.
        payload: Opening datagram of a UDP flow; empty for TCP.
        target: Agent incarnation of the receiver as the owner knows it; a
            restarted agent ignores messages for an earlier incarnation.
        again: True if the receiver held the flow before; without its
            tombstone it cannot tell a duplicate from a new datagram.
    """

    flow: bytes
    epoch: int
    rank: int
    incarnation: int
    owner: str
    upstream: str
    work_class: str
    caller: str
    deadline_ms: int
    via: str
    payload: bytes
    target: int = 0
    again: bool = False


class PlaceAck(Message, tag=7, frozen=True, gc=False):
    """Answer to ``Place``: the member holds the flow.

    Attributes:
        flow: Flow id.
        incarnation: Placement incarnation.
        load: Load of the upstream.
    """

    flow: bytes
    incarnation: int
    load: "Load"


class Fenced(Message, tag=8, frozen=True, gc=False):
    """Answer to ``Place``, ``Witness`` or ``SlotQuery`` of a fenced term.

    Attributes:
        flow: Flow id; for a ``SlotQuery``, the slot number as 4 bytes.
        incarnation: Placement incarnation that is refused; 0 if none.
        epoch: Epoch of the newer term.
        rank: Rank of the newer term.
        owner: Host that has the newer term.
    """

    flow: bytes
    incarnation: int
    epoch: int
    rank: int
    owner: str


class Witness(Message, tag=9, frozen=True, gc=False):
    """Request to a member: keep a directory entry as a witness.

    Attributes:
        entry: The entry.
        epoch: Epoch of the owner's term.
        rank: Rank of the owner's term.
        target: Agent incarnation of the receiver; see ``Place``.
    """

    entry: "Entry"
    epoch: int
    rank: int
    target: int = 0


class WitnessAck(Message, tag=10, frozen=True, gc=False):
    """Answer to ``Witness`` or ``Closed``: the member keeps the entry."""

    flow: bytes
    incarnation: int


class SlotQuery(Message, tag=11, frozen=True, gc=False):
    """Request to a member: fence older terms and report some slots' entries.

    Attributes:
        epoch: Epoch of the sender's term.
        rank: Rank of the sender's term.
        owner: Host of the sender, which takes the slots over.
        hash_slots: Numbers of the hash slots.
    """

    epoch: int
    rank: int
    owner: str
    hash_slots: tuple[int, ...]


class SlotReport(Message, tag=12, frozen=True, gc=False):
    """Answer to ``SlotQuery``, sent in parts that fit a datagram.

    Attributes:
        epoch: Epoch of the query.
        rank: Rank of the query.
        host: Host of the sender.
        hash_slots: Hash slots whose entries this part reports.
        complete: Those of ``hash_slots`` for which the sender was the owner
            and could place non-idempotent flows.
        entries: Entries of the slots.
        part: Number of this part, from 0.
        parts: Number of parts.
        young: True if the sender has not been a member for the whole
            retransmit window.
        recovering: True if the sender may lack entries of its predecessor, so
            that the report does not count as complete.
    """

    epoch: int
    rank: int
    host: str
    hash_slots: tuple[int, ...]
    complete: tuple[int, ...]
    entries: tuple["Entry", ...]
    part: int = 0
    parts: int = 1
    young: bool = False
    recovering: bool = False


class Closed(Message, tag=13, frozen=True, gc=False):
    """A holder's notice to owner and witnesses that a flow has ended.

    ``WitnessAck`` acknowledges it.
    """

    flow: bytes
    incarnation: int
    outcome: str


class Cancel(Message, tag=14, frozen=True, gc=False):
    """Request to end a flow that its caller cancelled."""

    flow: bytes
    incarnation: int


class LoadReport(Message, tag=15, frozen=True, gc=False):
    """Load of one upstream, for placement by the other members.

    Attributes:
        load: The load.
        epoch: Membership version of the sender; a report with a newer
            version than the receiver's does not extend the receiver's lease.
    """

    load: "Load"
    epoch: int = 0


class Attach(Message, tag=16, frozen=True, gc=False):
    """First frame on a relay connection: attaches it to a placed flow."""

    flow: bytes
    incarnation: int
    resume: bool = False


class Attached(Message, tag=17, frozen=True, gc=False):
    """Answer to ``Attach``.

    Attributes:
        flow: Flow id.
        outcome: ``ANSWERED`` if the relay may start, else ``REFUSED`` or
            ``UNKNOWN``.
        reason: Reason of a refusal.
    """

    flow: bytes
    outcome: str
    reason: str = ""


class Ping(Message, tag=18, frozen=True, gc=False):
    """Probe of an agent; the service key is 0."""

    nonce: int


class Pong(Message, tag=19, frozen=True, gc=False):
    """Answer to ``Ping``.

    Attributes:
        nonce: Number of the probe.
        host: Host of the agent.
        incarnation: Incarnation of the agent.
        draining: True if the agent accepts no new work.
    """

    nonce: int
    host: str
    incarnation: int
    draining: bool


class Load(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Load of one upstream, as measured by its agent.

    Attributes:
        upstream: Name of the upstream.
        in_flight: Requests in flight.
        queued: Requests in the queue.
        limit: Present limit of concurrent requests.
        service_ms: Moving average of the service time of one request, ms.
        connections: Open connections, including long flows.
        connection_limit: Maximum number of connections.
        ready: False while draining or ejected.
        busy_share: Moving average of the share of busy slots.
        queued_by_urgency: Queued requests of urgency 0, 1, ...; the last
            value includes all less urgent ones.
    """

    upstream: str
    in_flight: int
    queued: int
    limit: int
    service_ms: float
    connections: int
    connection_limit: int
    ready: bool
    busy_share: float = 0.0
    queued_by_urgency: tuple[int, ...] = ()


class Entry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Flow directory entry: the holder of a flow, or its outcome.

    Attributes:
        flow: Flow id.
        incarnation: Placement incarnation.
        holder: Host of the holder.
        upstream: Name of the upstream.
        outcome: Empty while the flow runs; the outcome in a tombstone.
    """

    flow: bytes
    incarnation: int
    holder: str
    upstream: str
    outcome: str = ""


AnyMessage = Union[  # noqa: UP007 msgspec needs the runtime union
    Packet,
    Reply,
    Open,
    Placed,
    Refused,
    Place,
    PlaceAck,
    Fenced,
    Witness,
    WitnessAck,
    SlotQuery,
    SlotReport,
    Closed,
    Cancel,
    LoadReport,
    Attach,
    Attached,
    Ping,
    Pong,
]


class Send(msgspec.Struct, frozen=True, gc=False):
    """Output of a core: send a message.

    Attributes:
        to: ``(ip, port)`` of the receiver's UDP socket.
        message: The message.
    """

    to: tuple[str, int]
    message: Any
