"""Opening of TCP and library flows by a balancer.

``Open`` is sent until it is answered; the slot's owner recognises copies by
the flow id.  Until ``Attach`` is sent nothing can run, so giving up before
that is a refusal as not run.
"""

import random

from crocusmux import messages

# First wait for an answer, seconds; doubles up to the longest.
FIRST_RESEND_S = 0.1
LONGEST_RESEND_S = 0.8
# Longest time to get a flow placed when its class has no deadline, seconds.
OPEN_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 3


class PendingOpen:
    """A flow whose placement has been asked for.

    Attributes:
        request: The ``Open`` message; its ``rank`` changes on a takeover.
        service: Name of the service.
        urgency: Urgency of the work class.
        owner: Host that the request was last sent to.
        upstream: Name of the upstream once the flow is placed.
        give_up: Time after which the flow is refused as not run.
        resend_at: When to send again.
        resend_s: Present wait between sends.
        placed: True once ``Placed`` came and the balancer attaches.
        idempotent: True if the class may run again.
    """

    __slots__ = (
        "give_up",
        "idempotent",
        "owner",
        "placed",
        "request",
        "resend_at",
        "resend_s",
        "service",
        "upstream",
        "urgency",
    )

    def __init__(
        self, now: float, request: messages.Open, service: str, idempotent: bool
    ) -> None:
        limit = request.deadline_ms / 1000 or OPEN_TIMEOUT_S
        self.request = request
        self.service = service
        self.idempotent = idempotent
        self.give_up = now + min(limit, OPEN_TIMEOUT_S)
        self.resend_s = FIRST_RESEND_S
        self.resend_at = now + FIRST_RESEND_S
        self.placed = False
        self.urgency = 0
        self.owner = ""
        self.upstream = ""

    def back_off(self, now: float, rng: random.Random) -> None:
        """Sets the next send, with jitter."""
        self.resend_at = now + self.resend_s * rng.uniform(0.8, 1.2)
        self.resend_s = min(self.resend_s * 2, LONGEST_RESEND_S)
