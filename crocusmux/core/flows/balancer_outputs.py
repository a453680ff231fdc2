"""Actions that the balancer's decision core asks its daemon to take."""

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
        incarnation: Number of the placement.
        upstream: Name of the upstream.
    """

    flow: bytes
    service: int
    relay: str
    incarnation: int
    upstream: str


class FlowRefused(msgspec.Struct, frozen=True, gc=False):
    """Output: a flow that was to be opened will not be.

    Attributes:
        flow: Flow id.
        outcome: ``messages.REFUSED`` or ``messages.UNKNOWN``.
        reason: Why.
        own: True if neither the flow's owner nor its holder said so.  Of a
            library flow, another balancer may then have opened it already.
    """

    flow: bytes
    outcome: str
    reason: str
    from_balancer: bool = False


class RetryFlow(msgspec.Struct, frozen=True, gc=False):
    """Output: work that did not run may be tried again.

    Attributes:
        flow: Flow id of the attempt that failed.
        wait_s: Time to wait before, seconds.
        exclude: Upstream to avoid.
    """

    flow: bytes
    wait_s: float
    exclude: str


class Suspect(msgspec.Struct, frozen=True, gc=False):
    """Output: an agent does not answer.

    Attributes:
        host: Host of the agent.
        incarnation: Its incarnation.
    """

    host: str
    incarnation: int
