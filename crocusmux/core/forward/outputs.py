"""Actions that the forwarding state machines return to their daemons."""

import msgspec

from crocusmux.core.forward import reports
from crocusmux.core.forward import segments


class ToAgent(msgspec.Struct, gc=False):
    """Send a caller's segment to an agent.

    Attributes:
        to: Address at which the agent receives segments.
        segment: The segment.
        service_tag: Hash of the name of the flow's service.
        mark: One of the ``MARK`` constants of segments.
    """

    to: tuple[str, int]
    segment: segments.Segment
    service_tag: int
    mark: int


class ToUpstream(msgspec.Struct, gc=False):
    """Deliver a caller's segment to the upstream on this host."""

    segment: segments.Segment


class ToCaller(msgspec.Struct, gc=False):
    """Send a segment of the upstream to the flow's caller."""

    segment: segments.Segment


class Reset(msgspec.Struct, gc=False):
    """Reset a flow towards its caller.

    Attributes:
        key: Flow key.
        seq: Sequence number of the reset; any value until the flow is open.
    """

    key: bytes
    seq: int


class ToPeer(msgspec.Struct, gc=False):
    """Send a message to another daemon."""

    to: tuple[str, int]
    message: reports.Message


class ListAgents(msgspec.Struct, gc=False):
    """Read the list of all agents from the store again."""


class Event(msgspec.Struct, gc=False):
    """A decision or a state change, for the log and the metrics.

    Attributes:
        what: Name of the event, such as ``"place"``.
        key: Flow key; empty if the event concerns no single flow.
        detail: Inputs and outcome, as ``name=value`` words.
        notable: True for refusals, failures and state changes.
    """

    what: str
    key: bytes
    detail: str
    notable: bool = False


# Measured durations by name, with the help texts of their histograms.
PLACED = "opening_placed"
ANSWERED = "request_answered"
ACKNOWLEDGED = "opening_acknowledged"
TIMINGS = {
    PLACED: "Time from a caller's first opening to its offer to an upstream.",
    ANSWERED: "Time from a request to the first data of its answer.",
    ACKNOWLEDGED: "Time from the first offer to the caller's next packet.",
}


class Timing(msgspec.Struct, gc=False):
    """A sample for a histogram of durations.

    Attributes:
        what: A name in ``TIMINGS``.
        seconds: The duration.
    """

    what: str
    seconds: float


Output = (
    ToAgent
    | ToUpstream
    | ToCaller
    | Reset
    | ToPeer
    | ListAgents
    | Event
    | Timing
)
