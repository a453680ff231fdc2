"""Connection tracking of a forwarding balancer."""

from crocusmux.core.forward import holder_lookup
from crocusmux.core.forward import segments

# A full table evicts its oldest flow.  An entry takes about 500 bytes, a full
# table 50 MB.
MAX_FLOWS = 100_000
# Most bytes that a caller sends before a late copy of its opening arrives: 2 s at
# 64 Mbit/s.  A port that is used again begins at any sequence number, so a larger
# limit would take more of its openings for late copies.
LATE_OPENING_BYTES = 1 << 24


class Flow:
    """One flow at a balancer.

    Attributes:
        service: Service chosen at the opening; empty without an opening here.
        holder: Host of the holder, confirmed or assumed; empty if unknown.
        holder_confirmed: True once the holder has claimed the flow.
        probed_at: Time of the last probe of an assumed holder, seconds.
        offered_hosts: Hosts that got the opening and did not decline it.
        busy_hosts: Hosts that declined the opening for now.
        declined_hosts: Hosts that declined the opening for good.
        full_hosts: Those of ``busy_hosts`` that declined only because no slot
            was free, in the order of the declines.
        marked_hosts: Hosts of ``offered_hosts`` whose last offer had
            ``MARK_FREE_SLOT``.
        was_queued: True once the opening was queued at the balancer.
        opening_segment: The caller's SYN until the flow is open.
        opening_seq: Sequence number of that SYN; None without one here.
        new_opening: A SYN that opens a new flow from the caller's port while this
            one is open; None without one.
        opening_copies: Number of earlier copies of the newest SYN for an open
            flow; None if the caller has sent another segment since.
        last_segment: The newest segment while the holder is only assumed.
        lookup: Lookup of the holder; None without one.
        seq: Sequence number of the caller's last segment after the opening.
        ack: The caller's last acknowledgement.
        opened_at: Time of the caller's first SYN, or of the first segment here if
            the flow was open before, seconds.
        offered_at: Time of the last offer other than a hedge, seconds.
        first_offered_at: Time of the first of the offers since all earlier
            ones were declined, seconds.
        caller_turn: Place among the queued openings of its caller when it was
            queued first; None before, or without fair queueing.
        hedge_host: Host that got the opening as a hedge; empty without one.
        last_segment_at: Time of the last segment, seconds.
        data_sent: True if the caller's last segment carried data.
        open: True once the caller has sent more than openings.
    """

    __slots__ = (
        "ack",
        "busy_hosts",
        "caller_turn",
        "data_sent",
        "declined_hosts",
        "first_offered_at",
        "full_hosts",
        "hedge_host",
        "holder",
        "holder_confirmed",
        "last_segment",
        "last_segment_at",
        "lookup",
        "marked_hosts",
        "new_opening",
        "offered_at",
        "offered_hosts",
        "open",
        "opened_at",
        "opening_copies",
        "opening_segment",
        "opening_seq",
        "probed_at",
        "seq",
        "service",
        "was_queued",
    )

    def __init__(self, now: float) -> None:
        self.service = ""
        self.holder = ""
        self.offered_hosts: list[str] = []
        self.holder_confirmed = False
        self.probed_at = float("-inf")
        self.busy_hosts: set[str] = set()
        self.declined_hosts: set[str] = set()
        self.full_hosts: list[str] = []
        self.marked_hosts: set[str] = set()
        self.was_queued = False
        self.opening_segment: segments.Segment | None = None
        self.opening_seq: int | None = None
        self.opening_copies: int | None = None
        self.new_opening: segments.Segment | None = None
        self.lookup: holder_lookup.HolderLookup | None = None
        self.last_segment: segments.Segment | None = None
        self.seq = 0
        self.ack = 0
        self.opened_at = now
        self.offered_at = now
        self.first_offered_at = now
        self.caller_turn: int | None = None
        self.hedge_host = ""
        self.last_segment_at = now
        self.data_sent = False
        self.open = False

    def record_segment(self, seg: segments.Segment) -> None:
        """Updates the flow from a segment after the opening."""
        self.open = True
        self.opening_copies = None
        self.new_opening = None
        self.seq = seg.seq
        self.ack = seg.ack
        self.data_sent = seg.length > 0

    def record_opening(self, seg: segments.Segment) -> None:
        """Records an opening with the key of this flow, which is open."""
        known = self.opening_copies or 0
        if seg.seq != self.opening_seq:
            known = 0
        self.opening_seq = seg.seq
        # The ``ack`` of a SYN is the number of the copy.
        self.opening_copies = max(seg.ack, known)

    def superseded_by(self, seg: segments.Segment) -> bool:
        """Returns True if an opening is that of a new flow from the same port.

        A late copy of the flow's own opening precedes its last segment.  If no
        segment has followed an opening and another copy of it arrives, its
        caller still waits for an answer.
        """
        if self.opening_seq is None:
            sent = (self.seq - seg.seq) % segments.SEQUENCE_MODULUS
            return sent > LATE_OPENING_BYTES
        if self.opening_seq != seg.seq:
            return True
        return self.opening_copies is not None and seg.ack > self.opening_copies


class FlowTable:
    """Flows of a balancer by key, in the order of their insertion."""

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        self._flows: dict[bytes, Flow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Returns a flow; None if it is unknown."""
        return self._flows.get(key)

    def add(self, now: float, key: bytes) -> Flow:
        """Adds and returns a flow; a full table evicts its oldest one."""
        if len(self._flows) >= MAX_FLOWS:
            del self._flows[next(iter(self._flows))]
        flow = Flow(now)
        self._flows[key] = flow
        return flow

    def remove(self, key: bytes) -> None:
        """Removes a flow."""
        self._flows.pop(key, None)

    def expire(self, idle_since: float) -> int:
        """Removes flows without a segment since a time; returns how many."""
        idle_keys = [
            key
            for key, flow in self._flows.items()
            if flow.last_segment_at < idle_since
        ]
        for key in idle_keys:
            del self._flows[key]
        return len(idle_keys)
