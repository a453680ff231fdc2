"""Outputs of a terminating balancer's decision core, run by its daemon."""

import msgspec


class ToCaller(msgspec.Struct, frozen=True, gc=False):
    """Output: send a datagram to a caller from a service address.

    Attributes:
        address_key: Key of the service address.
        caller: ``(ip, port)`` of the caller.
        payload: The datagram.
    """

    address_key: bytes
    caller: tuple[str, int]
    payload: bytes


class AttachTo(msgspec.Struct, frozen=True, gc=False):
    """Output: attach a placed flow at its holder.

    Attributes:
        flow: Flow id.
        service: Key of the service.
        relay: ``ip:port`` of the holder's relay.
        incarnation: Placement incarnation.
        upstream: Name of the upstream.
    """

    flow: bytes
    service: int
    relay: str
    incarnation: int
    upstream: str


class FlowRefused(msgspec.Struct, frozen=True, gc=False):
    """Output: the opening of a flow has failed.

    Attributes:
        flow: Flow id.
        outcome: ``messages.REFUSED`` or ``messages.UNKNOWN``.
        reason: Reason of the refusal.
        from_balancer: True if the balancer refused, not the owner or holder.
            Another balancer may then have opened the same library flow.
    """

    flow: bytes
    outcome: str
    reason: str
    from_balancer: bool = False


class RetryFlow(msgspec.Struct, frozen=True, gc=False):
    """Output: a flow that has not run may be opened again.

    Attributes:
        flow: Flow id of the attempt that failed.
        wait_s: Backoff before the next attempt, in seconds.
        exclude: Upstream to avoid.
    """

    flow: bytes
    wait_s: float
    exclude: str


class Suspect(msgspec.Struct, frozen=True, gc=False):
    """Output: failure detection suspects an agent.

    Attributes:
        host: Host of the agent.
        incarnation: Incarnation of the agent.
    """

    host: str
    incarnation: int
