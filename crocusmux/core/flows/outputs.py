"""Actions that the agent's decision core asks its daemon to take."""

from typing import Literal

import msgspec

START: Literal["start"] = "start"
WAIT: Literal["wait"] = "wait"
REFUSE: Literal["refuse"] = "refuse"


class OpenUpstream(msgspec.Struct, frozen=True, gc=False):
    """Opens a socket to the upstream and sends a UDP flow's first datagram.

    Attributes:
        flow: Flow id.
        incarnation: Number of the placement.
        address: ``ip:port`` of the upstream.
        payload: The datagram.
    """

    flow: bytes
    incarnation: int
    address: str
    payload: bytes


class ToUpstream(msgspec.Struct, frozen=True, gc=False):
    """Sends a datagram on the socket of an open UDP flow."""

    flow: bytes
    incarnation: int
    payload: bytes


class StartRelay(msgspec.Struct, frozen=True, gc=False):
    """A waiting TCP or library flow may start.

    Attributes:
        flow: Flow id.
        incarnation: Number of the placement.
        address: ``ip:port`` of the upstream.
    """

    flow: bytes
    incarnation: int
    address: str


class CloseUpstream(msgspec.Struct, frozen=True, gc=False):
    """Ends a flow at once: its socket, its relay, or its wait for a start.

    Attributes:
        flow: Flow id.
        incarnation: Number of the placement.
        outcome: ``messages.REFUSED`` if it never started, else ``UNKNOWN``.
        reason: Why, for the decision log.
    """

    flow: bytes
    incarnation: int
    outcome: str
    reason: str


class AttachResult(msgspec.Struct, frozen=True, gc=False):
    """Answer to a relay connection that presents ``Attach``.

    Attributes:
        action: ``START`` now, ``WAIT`` for ``StartRelay`` or
            ``CloseUpstream``, or ``REFUSE``.
        address: ``ip:port`` of the upstream to relay to.
        outcome: Outcome to report if refused.
        reason: Why it is refused.
    """

    action: Literal["start", "wait", "refuse"]
    address: str = ""
    outcome: str = ""
    reason: str = ""
