"""Flows as a balancer knows them."""

from crocusmux.core.forward import holder_lookup
from crocusmux.core.forward import segments

# Flows that a balancer remembers; the oldest leave first.  An entry takes
# about 500 bytes, so a full table takes 50 MB.
MAX_FLOWS = 100_000


class Flow:
    """One flow at a balancer.

    Attributes:
        service: Service that it was opened for; empty if it was looked up.
        held_at: Time since which that agent is taken to hold it, seconds.
        holder: Host of the agent that holds it; empty if not known.
        offered: Hosts that got its opening and did not decline, in order.
        busy: Hosts that had no room for it in this turn.
        declined: Hosts that declined it for good.
        opening: The caller's SYN while the flow is not open.
        last: The newest segment while the holder is only assumed.
        lookup: The search for its holder; None if there is none.
        ack: The caller's last acknowledgement.
        opened_at: Time of its first segment here, seconds.
        offered_at: Time of its last offer, seconds.
        seen_at: Time of its last segment, seconds.
        data_sent: True if the caller's last segment carried data.
        open: True once the caller has sent more than openings.
    """

    __slots__ = (
        "ack",
        "busy_hosts",
        "data_sent",
        "declined_hosts",
        "holder",
        "holder_lookup",
        "holder_since",
        "last_segment",
        "last_segment_at",
        "offered_at",
        "offered_hosts",
        "open",
        "opened_at",
        "opening_segment",
        "service",
    )

    def __init__(self, now: float) -> None:
        self.service = ""
        self.holder = ""
        self.offered_hosts: list[str] = []
        self.holder_since = now
        self.busy_hosts: set[str] = set()
        self.declined_hosts: set[str] = set()
        self.opening_segment: segments.Segment | None = None
        self.holder_lookup: holder_lookup.HolderLookup | None = None
        self.last_segment: segments.Segment | None = None
        self.ack = 0
        self.opened_at = now
        self.offered_at = now
        self.last_segment_at = now
        self.data_sent = False
        self.open = False

    def record_segment(self, seg: segments.Segment) -> None:
        """Takes what a segment after the opening says."""
        self.open = True
        self.ack = seg.ack
        self.data_sent = seg.length > 0


class FlowTable:
    """Flows of a balancer by key, the least recently added first."""

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        self._flows: dict[bytes, Flow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Returns a flow; None if it is not known."""
        return self._flows.get(key)

    def add(self, now: float, key: bytes) -> Flow:
        """Returns a new flow; a full table forgets its oldest one."""
        if len(self._flows) >= MAX_FLOWS:
            del self._flows[next(iter(self._flows))]
        flow = Flow(now)
        self._flows[key] = flow
        return flow

    def remove(self, key: bytes) -> None:
        """Forgets a flow."""
        self._flows.pop(key, None)

    def expire(self, idle_since: float) -> int:
        """Forgets flows without a segment since a time; returns how many."""
        old = [
            k
            for k, flow in self._flows.items()
            if flow.last_segment_at < idle_since
        ]
        for key in old:
            del self._flows[key]
        return len(old)
