"""Results of an admission."""

from typing import Literal

import msgspec

RUN: Literal["run"] = "run"
WAIT: Literal["wait"] = "wait"
REFUSE: Literal["refuse"] = "refuse"


class Verdict(msgspec.Struct, frozen=True, gc=False):
    """Result of an admission.

    Attributes:
        action: ``RUN`` now, ``WAIT`` in the queue or ``REFUSE``.
        reason: Why, for the decision log.
        retry_ms: Earliest sensible retry; 0 for no advice.
    """

    action: Literal["run", "wait", "refuse"]
    reason: str
    retry_ms: int = 0


class DroppedRequest(msgspec.Struct, frozen=True, gc=False):
    """A waiting request that is refused; it never started.

    Attributes:
        flow: Flow id.
        reason: Why, for the decision log.
        retry_ms: Earliest sensible retry; 0 for no advice.
    """

    flow: bytes
    reason: str
    retry_ms: int = 0
