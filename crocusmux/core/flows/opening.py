"""Opening of TCP and library flows by a terminating balancer.

``Open`` is retransmitted until it is answered; the slot's owner recognises
duplicates by the flow id.  A flow can run only after ``Attach`` was sent, so
a timeout before that is a refusal as not run.
"""

import random

from crocusmux import messages

# Backoff between transmissions: doubles from the first to the longest.
FIRST_RESEND_S = 0.1
LONGEST_RESEND_S = 0.8
# Timeout of an opening; the deadline of the work class if that is sooner.
OPEN_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 3


class PendingOpen:
    """An opening without an answer, or a placed flow not yet attached.

    Attributes:
        request: The ``Open`` message; its ``rank`` changes on a takeover.
        service: Name of the service.
        urgency: Urgency of the work class.
        owner: Host that the request was last sent to.
        upstream: Name of the upstream once the flow is placed.
        give_up_at: Time after which the flow is refused as not run.
        resend_at: Time of the next transmission.
        resend_s: Present backoff between transmissions, in seconds.
        placed: True once ``Placed`` has arrived.
        idempotent: True if a flow of the class may run twice.
    """

    __slots__ = (
        "give_up_at",
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
        self.give_up_at = now + min(limit, OPEN_TIMEOUT_S)
        self.resend_s = FIRST_RESEND_S
        self.resend_at = now + FIRST_RESEND_S
        self.placed = False
        self.urgency = 0
        self.owner = ""
        self.upstream = ""

    def back_off(self, now: float, rng: random.Random) -> None:
        """Schedules the next transmission, with jitter and backoff."""
        self.resend_at = now + self.resend_s * rng.uniform(0.8, 1.2)
        self.resend_s = min(self.resend_s * 2, LONGEST_RESEND_S)
