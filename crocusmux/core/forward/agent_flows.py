"""Flows as the agent beside their upstream knows them."""

Address = tuple[str, int]


class Flow:
    """A flow at an agent.

    Attributes:
        balancer: Address of the balancer that sent its last segment.
        start: Sequence number of the upstream's SYN+ACK; None before.
        open: True once the caller has acknowledged it here.
        taken: True once the upstream has sent more than its SYN+ACK.
        probing: True if it is not known whether the upstream holds it.
        closing: True once either end has closed or reset it.
        ack: The caller's last acknowledgement.
        sent: End of the caller's newest data; None before the first.
        began_at: Time at which the request in progress had arrived, seconds; 0
            if there is none.
        waited: True if that request found no free slot.
        seen_at: Time of the last segment, seconds.
    """

    __slots__ = (
        "balancer",
        "caller_ack",
        "closing",
        "last_segment_at",
        "open",
        "probing",
        "request_began_at",
        "request_end",
        "request_queued",
        "upstream_isn",
        "upstream_sent",
    )

    def __init__(self, now: float, balancer: Address) -> None:
        self.balancer = balancer
        self.upstream_isn: int | None = None
        self.open = False
        self.upstream_sent = False
        self.probing = False
        self.closing = False
        self.caller_ack = 0
        self.request_end: int | None = None
        self.request_began_at = 0.0
        self.request_queued = False
        self.last_segment_at = now
