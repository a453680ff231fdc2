"""Outputs of a terminating agent's decision core, run by its daemon."""

from typing import Literal

import msgspec

START: Literal["start"] = "start"
WAIT: Literal["wait"] = "wait"
REFUSE: Literal["refuse"] = "refuse"


class OpenUpstream(msgspec.Struct, frozen=True, gc=False):
    """Output: open a UDP socket to the upstream and send a first datagram.

    Attributes:
        flow: Flow id.
        incarnation: Placement incarnation.
        address: ``ip:port`` of the upstream.
        payload: The datagram.
    """

    flow: bytes
    incarnation: int
    address: str
    payload: bytes


class ToUpstream(msgspec.Struct, frozen=True, gc=False):
    """Output: send a datagram on the socket of an open UDP flow."""

    flow: bytes
    incarnation: int
    payload: bytes


class StartRelay(msgspec.Struct, frozen=True, gc=False):
    """Output: start a TCP or library flow whose relay connection waits.

    Attributes:
        flow: Flow id.
        incarnation: Placement incarnation.
        address: ``ip:port`` of the upstream.
    """

    flow: bytes
    incarnation: int
    address: str


class CloseUpstream(msgspec.Struct, frozen=True, gc=False):
    """Output: close a flow's socket or relay, or end its wait for a start.

    Attributes:
        flow: Flow id.
        incarnation: Placement incarnation.
        outcome: ``messages.REFUSED`` if it never started, else ``UNKNOWN``.
        reason: Reason for the decision log.
    """

    flow: bytes
    incarnation: int
    outcome: str
    reason: str


class AttachResult(msgspec.Struct, frozen=True, gc=False):
    """Result of the ``Attach`` of a relay connection.

    Attributes:
        action: ``START`` now, ``WAIT`` for ``StartRelay`` or
            ``CloseUpstream``, or ``REFUSE``.
        address: ``ip:port`` of the upstream to relay to.
        outcome: Outcome of a refused flow.
        reason: Reason of the refusal.
    """

    action: Literal["start", "wait", "refuse"]
    address: str = ""
    outcome: str = ""
    reason: str = ""
