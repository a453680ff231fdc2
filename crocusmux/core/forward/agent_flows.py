"""Per-flow state of a forwarding agent."""

from crocusmux.core.forward import segments

Address = tuple[str, int]


class Flow:
    """A flow that the agent's upstream holds or may hold.

    Attributes:
        balancer: Address of the balancer that sent the last segment.
        opening_seq: Sequence number of the caller's SYN; None if the agent has
            not seen it.
        upstream_isn: Sequence number of the upstream's SYN+ACK; None before.
        open: True once the caller has acknowledged this SYN+ACK, or the
            upstream has confirmed that it holds the flow.
        upstream_end: Sequence number after the upstream's newest data; None
            while it is unknown.
        upstream_sent: True once the upstream has sent more than its SYN+ACK.
        probing: True while the agent probes the upstream for the flow.
        closing: True once either end has closed or reset the flow.
        caller_ack: The caller's last acknowledgement.
        request_end: Sequence number after the caller's newest data, or None.
        request_began_at: Arrival of the request in progress, seconds, or 0.
        request_queued: True if that request found no free slot.
        last_segment_at: Time of the last segment, seconds.
    """

    __slots__ = (
        "balancer",
        "caller_ack",
        "closing",
        "last_segment_at",
        "open",
        "opening_seq",
        "probing",
        "request_began_at",
        "request_end",
        "request_queued",
        "upstream_end",
        "upstream_isn",
        "upstream_sent",
    )

    def __init__(self, now: float, balancer: Address) -> None:
        self.balancer = balancer
        self.opening_seq: int | None = None
        self.upstream_isn: int | None = None
        self.upstream_end: int | None = None
        self.open = False
        self.upstream_sent = False
        self.probing = False
        self.closing = False
        self.caller_ack = 0
        self.request_end: int | None = None
        self.request_began_at = 0.0
        self.request_queued = False
        self.last_segment_at = now

    def superseded_by(self, seq: int) -> bool:
        """Returns True if an opening is that of another flow from the same port.

        Otherwise it is a copy of this flow's opening.

        Args:
            seq: Sequence number of the opening.
        """
        if self.opening_seq is None:
            return self.closing
        return seq != self.opening_seq

    def acknowledges_syn_ack(self, ack: int) -> bool:
        """Returns True if ``ack`` acknowledges the upstream's SYN+ACK."""
        if self.upstream_isn is None:
            return False
        return segments.acknowledges_syn_ack(ack, self.upstream_isn)

    def held(self, ack: int) -> bool:
        """Returns True if the upstream holds the flow of a caller's ``ack``."""
        if self.probing:
            return False
        return self.open or self.acknowledges_syn_ack(ack)
