"""Messages between balancers and agents, beside the segments themselves."""

import msgspec


class Subscribe(msgspec.Struct, frozen=True, tag="s", array_like=True):
    """A balancer asks an agent for load reports.

    Attributes:
        balancer: Host name of the balancer.
        address: Address of the balancer for reports and answers.
        config_version: Version of the configuration that it has.
        config_source: Address that serves this configuration by HTTP.
        valid_s: Time for which it wants reports, seconds.
        interval_s: Time between two reports that it wants, seconds.
    """

    balancer: str
    address: tuple[str, int]
    config_version: int
    config_source: str
    valid_s: float
    interval_s: float


class LoadReport(msgspec.Struct, frozen=True, tag="l", array_like=True):
    """The load of an upstream as its agent sees it.

    Attributes:
        host: Host name of the agent.
        service: Service of its upstream.
        boot: Random number that the agent drew at its start.
        sequence: Number of the report, rising within a boot.
        accepting: False if every new flow would be declined now.
        slots: Requests that the upstream serves at once.
        in_progress: Requests without an answer, mean of the last moments.
        flows: Open flows that neither end has closed.
        service_ms: Mean time from a request to its answer, milliseconds;
            0 if not known.
        interval_s: Time until the next report, seconds.
        config_version: Newest version of the configuration among the
            agent's subscribers.
        config_source: Address that serves this configuration by HTTP;
            empty if the balancer has it already.
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


class FlowQuery(msgspec.Struct, frozen=True, tag="q", array_like=True):
    """A balancer asks which of some flows the agent's upstream holds.

    Attributes:
        number: Number of the question, rising within a balancer.
        service_tag: Hash of the service to which the flows belong.
        flows: Flow keys, each with the caller's last acknowledgement.
    """

    number: int
    service_tag: int
    flows: tuple[tuple[bytes, int], ...]


class FlowQueryReply(msgspec.Struct, frozen=True, tag="a", array_like=True):
    """An agent's answer to a question; a flow in neither mask is not held.

    Attributes:
        host: Host name of the agent.
        number: Number of the question.
        held: Bit mask of the flows that its upstream holds, by position in
            the question.
        unsure: Bit mask of those that only the upstream itself can tell, as
            the agent started after it.
    """

    host: str
    number: int
    claimed: int
    uncertain: int


class FlowClaimed(msgspec.Struct, frozen=True, tag="h", array_like=True):
    """The agent's upstream holds the flow, and has the segment it was shown."""

    host: str
    key: bytes


class FlowDenied(msgspec.Struct, frozen=True, tag="n", array_like=True):
    """The agent's upstream does not hold the flow."""

    host: str
    key: bytes


class OpeningDeclined(msgspec.Struct, frozen=True, tag="d", array_like=True):
    """The agent did not take a new flow; no request of it has run.

    Attributes:
        host: Host name of the agent.
        key: Flow key.
        reason: One of the ``DECLINED`` constants.
    """

    host: str
    key: bytes
    reason: str


DECLINED_LEAVING = "leaving"
DECLINED_UNKNOWN_STATE = "no-heartbeat-yet"
DECLINED_OTHER_SERVICE = "other-service"
DECLINED_BY_UPSTREAM = "upstream-full"
DECLINED_OVERLOAD = "overload"
DECLINED_SILENT = "upstream-silent"

# Reasons that last until the agent's next report at least.
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
    | FlowQuery
    | FlowQueryReply
    | FlowClaimed
    | FlowDenied
    | OpeningDeclined
)
