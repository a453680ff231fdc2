"""Results of admission control for one request."""

from typing import Literal

import msgspec

RUN: Literal["run"] = "run"
WAIT: Literal["wait"] = "wait"
REFUSE: Literal["refuse"] = "refuse"


class Verdict(msgspec.Struct, frozen=True, gc=False):
    """Decision on a new request.

    Attributes:
        action: ``RUN`` (start now), ``WAIT`` (queued) or ``REFUSE``.
        reason: Reason word for the decision log.
        retry_ms: Suggested delay before a retry; 0 for no suggestion.
    """

    action: Literal["run", "wait", "refuse"]
    reason: str
    retry_ms: int = 0


class DroppedRequest(msgspec.Struct, frozen=True, gc=False):
    """A queued request that is refused before it started.

    Attributes:
        flow: Flow id.
        reason: Reason word for the decision log.
        retry_ms: Suggested delay before a retry; 0 for no suggestion.
    """

    flow: bytes
    reason: str
    retry_ms: int = 0
