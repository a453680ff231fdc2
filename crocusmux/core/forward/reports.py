"""Control messages between balancers and agents."""

import math

import msgspec

from crocusmux import addresses
from crocusmux import errors

# Larger numbers in a message are bad input.
MAX_NUMBER = 1e9
# Number of bits in the masks of a reply to a flow query.
MAX_QUERY_FLOWS = 64


def check_number(name: str, number: float) -> None:
    """Checks a number with which a balancer or an agent calculates.

    Raises:
        ValueError: It is negative, not a number or above ``MAX_NUMBER``.
    """
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"{name} is out of range: {number}")


def check_numbers(message: msgspec.Struct, names: tuple[str, ...]) -> None:
    """Checks some fields; see ``check_number``."""
    for name in names:
        check_number(name, getattr(message, name))


class DomainState(msgspec.Struct, frozen=True, array_like=True):
    """Whether a failure domain is evacuated, as a balancer knows it.

    Attributes:
        evacuated: True if it is.
        revision: Revision of the store by which the balancer knows this; 0 if
            it knows it from a peer.
        ended_s: Time since the balancer learned that an evacuation ended,
            seconds; None if none has ended recently.
    """

    evacuated: bool
    revision: int
    ended_s: float | None

    def __post_init__(self) -> None:
        if not 0 <= self.revision < 1 << 63:
            raise ValueError(
                f"domain_state.revision is out of range: {self.revision}"
            )
        if self.ended_s is not None:
            check_number("domain_state.ended_s", self.ended_s)


class Subscribe(msgspec.Struct, frozen=True, tag="s", array_like=True):
    """A balancer subscribes to an agent's load reports.

    Attributes:
        balancer: Host name of the balancer.
        address: Address of the balancer for messages.
        config_version: Version of the configuration in force at the balancer.
        config_source: Address that serves this configuration by HTTP.
        valid_s: Time until the subscription expires, seconds.
        interval_s: Requested interval between reports, seconds.
        report_now: True if the agent shall report at once, as a report is
            overdue.
        compact: True if the balancer can decode compact reports.
        warmup_per_s: Openings a second that an upstream of the agent's service
            takes while it is warming up; 0 if unlimited.
        idle_s: Idle timeout of flows under that configuration, seconds; 0 from
            older releases.
        record_lost_at: Revision of the store at which the balancer saw that the
            agent's record is gone or of another incarnation; 0 if it is in
            place, and from older releases.
        domain_state: Whether the failure domain of the agent is evacuated; None
            if the balancer does not know, and from older releases.
    """

    balancer: str
    address: tuple[str, int]
    config_version: int
    config_source: str
    valid_s: float
    interval_s: float
    report_now: bool = False
    compact: bool = False
    warmup_per_s: float = 0.0
    idle_s: float = 0.0
    record_lost_at: int = 0
    domain_state: DomainState | None = None

    def __post_init__(self) -> None:
        addresses.check(self.address)
        check_numbers(self, ("valid_s", "interval_s", "warmup_per_s", "idle_s"))


class LoadReport(msgspec.Struct, frozen=True, tag="l", array_like=True):
    """The state and load of an agent's upstream.

    Attributes:
        host: Host name of the agent.
        service: Service of its upstream.
        incarnation: Random number of the agent incarnation.
        sequence: Number of the report, increasing within an incarnation.
        accepting: False if every new flow would be declined now.
        slots: Requests that the upstream serves concurrently.
        in_progress: Moving average of the requests without an answer.
        flows: Open flows that neither end has closed.
        service_ms: Mean time to an answer, milliseconds; 0 if unknown.
        interval_s: Time until the next report, seconds.
        config_version: Newest configuration version of any subscriber.
        config_source: Address that serves it; empty if the receiver has it.
    """

    host: str
    service: str
    incarnation: int
    sequence: int
    accepting: bool
    slots: int
    in_progress: float
    flows: int
    service_ms: float
    interval_s: float
    config_version: int
    config_source: str

    def __post_init__(self) -> None:
        check_numbers(
            self,
            ("slots", "in_progress", "flows", "service_ms", "interval_s"),
        )


class CompactReport(msgspec.Struct, frozen=True, tag="r", array_like=True):
    """A load report in fewer bytes, for balancers that can decode it.

    The fields are those of ``LoadReport``, but for these.

    Attributes:
        service_tag: Hash of the name of the upstream's service.
        in_progress_percent: Moving average of the requests without an answer,
            in hundredths of a request.
        interval_ms: Time until the next report, milliseconds.
    """

    host: str
    service_tag: int
    incarnation: int
    sequence: int
    accepting: bool
    slots: int
    in_progress_percent: int
    flows: int
    service_ms: int
    interval_ms: int
    config_version: int
    config_source: str

    def __post_init__(self) -> None:
        check_numbers(
            self,
            (
                "slots",
                "in_progress_percent",
                "flows",
                "service_ms",
                "interval_ms",
            ),
        )


def compact(report: LoadReport, service_tag: int) -> CompactReport:
    """Returns a load report in its compact form."""
    return CompactReport(
        host=report.host,
        service_tag=service_tag,
        incarnation=report.incarnation,
        sequence=report.sequence,
        accepting=report.accepting,
        slots=report.slots,
        in_progress_percent=round(100 * report.in_progress),
        flows=report.flows,
        service_ms=math.ceil(report.service_ms),
        interval_ms=round(1000 * report.interval_s),
        config_version=report.config_version,
        config_source=report.config_source,
    )


def expand(report: CompactReport, service: str) -> LoadReport:
    """Returns the load report of which a compact report is made."""
    return LoadReport(
        host=report.host,
        service=service,
        incarnation=report.incarnation,
        sequence=report.sequence,
        accepting=report.accepting,
        slots=report.slots,
        in_progress=report.in_progress_percent / 100,
        flows=report.flows,
        service_ms=float(report.service_ms),
        interval_s=report.interval_ms / 1000,
        config_version=report.config_version,
        config_source=report.config_source,
    )


class FlowQuery(msgspec.Struct, frozen=True, tag="q", array_like=True):
    """A balancer asks an agent which of some flows its upstream holds.

    Attributes:
        number: Number of the query, increasing within a balancer's run.
        service_tag: Hash of the service to which the flows belong.
        flows: Flow keys, each with the caller's last acknowledgement; at most
            ``MAX_QUERY_FLOWS``.
    """

    number: int
    service_tag: int
    flows: tuple[tuple[bytes, int], ...]

    def __post_init__(self) -> None:
        if len(self.flows) > MAX_QUERY_FLOWS:
            raise ValueError(f"too many flows: {len(self.flows)}")


class FlowQueryReply(msgspec.Struct, frozen=True, tag="a", array_like=True):
    """An agent's reply to a flow query; flows in neither mask are denied.

    Attributes:
        host: Host name of the agent.
        number: Number of the query.
        claimed: Bit mask of the flows that its upstream holds, by position in
            the query.
        uncertain: Bit mask of the flows that its upstream may hold, as the
            agent started after the upstream.
    """

    host: str
    number: int
    claimed: int
    uncertain: int


class FlowClaimed(msgspec.Struct, frozen=True, tag="h", array_like=True):
    """The agent's upstream holds a probed flow and has the probe segment."""

    host: str
    key: bytes


class FlowDenied(msgspec.Struct, frozen=True, tag="n", array_like=True):
    """The agent's upstream does not hold the flow."""

    host: str
    key: bytes


class OpeningDeclined(msgspec.Struct, frozen=True, tag="d", array_like=True):
    """The agent declined a new flow, of which no request has run.

    Attributes:
        host: Host name of the agent.
        key: Flow key.
        reason: One of the ``DECLINED`` constants.
    """

    host: str
    key: bytes
    reason: str


class Withdrawn(msgspec.Struct, frozen=True, tag="w", array_like=True):
    """The agent's upstream is gone, and the agent exits permanently.

    An agent that restarts while its upstream is alive never sends it, as
    balancers would reset the flows that the upstream holds.

    Attributes:
        host: Host name of the agent.
        incarnation: Random number of the agent incarnation.
    """

    host: str
    incarnation: int


DECLINED_LEAVING = "leaving"
DECLINED_UNKNOWN_STATE = "no-heartbeat-yet"
DECLINED_OTHER_SERVICE = "other-service"
DECLINED_BY_UPSTREAM = "upstream-full"
DECLINED_OVERLOAD = "overload"
DECLINED_SILENT = "upstream-silent"
DECLINED_WARMING = "warming-up"
# The offer needs a free slot and there is none; the agent would queue it.
DECLINED_NO_FREE_SLOT = "no-free-slot"
# The agent probes its upstream for the flow already, so its caller has gone on
# after the opening.
DECLINED_LATE = "late-opening"

# Reasons that last at least until the agent's next report.
DECLINED_BY_STATE = (
    DECLINED_LEAVING,
    DECLINED_UNKNOWN_STATE,
    DECLINED_OTHER_SERVICE,
    DECLINED_BY_UPSTREAM,
    DECLINED_SILENT,
)

Message = (
    Subscribe
    | LoadReport
    | CompactReport
    | FlowQuery
    | FlowQueryReply
    | FlowClaimed
    | FlowDenied
    | OpeningDeclined
    | Withdrawn
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a datagram of another daemon.

    Raises:
        errors.WireError: The message is malformed.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.WireError(str(exc), step="decode message") from exc
