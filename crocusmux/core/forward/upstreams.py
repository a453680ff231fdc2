"""Agents and the state of their upstreams, as a balancer knows them."""

import msgspec
import xxhash

from crocusmux import addresses
from crocusmux import errors
from crocusmux.core.forward import reports

# A report is overdue after this many intervals and up to this time.  The agent is
# then asked to report at once, several times a second.  A host that returns later
# announces itself again.
OVERDUE_INTERVALS = 1.5
MAX_OVERDUE_S = 20.0
# An agent without a report for this many intervals is silent and gets no new
# flows; at least and at most this time longer than until its report is overdue.
SILENT_INTERVALS = 3
MIN_SILENT_S = 1.0
MAX_OVERDUE_UNTIL_SILENT_S = 1.0
# An agent without a report for this many intervals is lost; at least this time,
# which is longer than a planned restart takes, and at most this time longer than
# until its report is overdue.
LOST_INTERVALS = 6
MIN_LOST_S = 4.0
MAX_OVERDUE_UNTIL_LOST_S = 4.0
# Shorter limit for an agent that has never reported to this balancer, so that
# after a loss of power callers don't wait long for hosts that did not return.
# Such an agent gets a subscription every half second or more often.
FIRST_REPORT_TIMEOUT_S = 2.5
# An agent that has left a flow query or a request unanswered for this time, two
# timeouts of a first round, does not reply for now, unless another message has
# arrived within the second time: its reply may have got lost.
QUERY_TIMEOUT_S = 0.12
RECENT_MESSAGE_S = 0.5
# An agent that declined a flow because of overload gets no other flow for this
# time, about one service time.
OVERLOAD_BACKOFF_S = 0.03
# The same for an agent whose upstream is warming up.  The next of a few openings
# a second is admitted later than that, but another balancer may get it.
WARMUP_BACKOFF_S = 0.1

# Reasons for which an upstream gets no new flows.
EXCLUDED_NO_REPORT = "no-report"
EXCLUDED_SILENT = "silent"
EXCLUDED_LOST = "lost"
EXCLUDED_WITHDRAWN = "withdrawn"
EXCLUDED_NOT_ACCEPTING = "not-accepting"
EXCLUDED_AVOIDED = "avoided"
EXCLUDED_BACKING_OFF = "backing-off"
# The failure domain is evacuated; the balancer judges this, not the upstream.
EXCLUDED_EVACUATED = "evacuated"


class AgentRecord(msgspec.Struct, frozen=True):
    """An agent's announcement in the store.

    Attributes:
        host: Name of the agent's host.
        service: Service of the agent's upstream.
        failure_domain: Failure domain of the host.
        address: Address of the agent for segments.
        control: Address of the agent for messages.
        incarnation: Random number of the agent incarnation that announced
            itself; 0 in records of older releases.  A write that changes
            nothing keeps an object's revision, so without it a restarted agent
            would leave the revision on which its predecessor's deletion
            depends.
        announced: Revision of this incarnation's first announcement if the
            record was lost and written again; 0 in a first announcement.
        rewritten: True if the agent writes its record again when it is lost;
            False in records of older releases, which must not be deleted while
            the agent may live.
    """

    host: str
    service: str
    failure_domain: str
    address: tuple[str, int]
    control: tuple[str, int]
    incarnation: int = 0
    announced: int = 0
    rewritten: bool = False

    def __post_init__(self) -> None:
        addresses.check(self.address)
        addresses.check(self.control)
        # The state for peers carries them in 64 bits.
        for name in ("incarnation", "announced"):
            number = getattr(self, name)
            if not 0 <= number < 1 << 63:
                raise ValueError(f"{name} out of range: {number}")

    def same_agent(self, other: "AgentRecord") -> bool:
        """Returns True if the records differ at most by the announcement.

        That is, by the incarnation, its first revision and its release.
        """
        renewed = msgspec.structs.replace(
            other,
            incarnation=self.incarnation,
            announced=self.announced,
            rewritten=self.rewritten,
        )
        return self == renewed


_record_decoder = msgspec.json.Decoder(AgentRecord)


def decode_record(spec: bytes) -> AgentRecord:
    """Decodes the ``spec`` of an agent's object in the store.

    Raises:
        errors.ObjectError: The object is malformed.
    """
    try:
        return _record_decoder.decode(spec)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.ObjectError(str(exc), step="decode agent record") from exc


class Upstream:
    """An agent and its upstream.

    Attributes:
        record: The agent's announcement.
        record_is_newer: True if the agent has not reported since the record of
            this incarnation was registered.
        revision: Revision of that record in the store; 0 if it is unknown.
        gone_at: Revision of the store in which the record was missing; 0 while
            it is in place.
        added_at: Time at which the agent was added, seconds.
        tag: Hash of the service name, as sent with segments.
        report: The newest load report; None before the first.
        reporting_incarnation: Incarnation of the agent that sent the last
            report, also if the record names another service; None before.
        reported_at: Time of that report, seconds; negative infinity before.
        unreported_offers: New flows offered since that report.
        avoided: True if, since that report, an opening was not answered or was
            declined because of the upstream's state.
        backoff_until: Time until which no new flows are offered, seconds.
        heard_at: Time of the agent's last message of any kind, seconds;
            negative infinity before.
        resumed_at: Time at which the balancer was last resumed after a
            suspension, seconds; negative infinity if it never was.
        unanswered_since: Time of the first query or request since the agent's
            last message, seconds; None if there is none.
        unanswered_requests: Requests for a report since that message.
        first_request_at: Time of the first of these requests, seconds.
        requested_at: Time of the last request, seconds.
        unresponsive: True if the agent counts as lost, as it answered no
            requests; until its next message.
        withdrawn_incarnation: Incarnation that has exited permanently; None
            while the agent runs or may run.
    """

    __slots__ = (
        "added_at",
        "avoided",
        "backoff_until",
        "first_request_at",
        "gone_at",
        "heard_at",
        "record",
        "record_is_newer",
        "report",
        "reported_at",
        "reporting_incarnation",
        "requested_at",
        "resumed_at",
        "revision",
        "tag",
        "unanswered_requests",
        "unanswered_since",
        "unreported_offers",
        "unresponsive",
        "withdrawn_incarnation",
    )

    def __init__(
        self, now: float, record: AgentRecord, revision: int = 0
    ) -> None:
        self.record = record
        self.record_is_newer = True
        self.revision = revision
        self.gone_at = 0
        self.added_at = now
        self.tag = service_tag(record.service)
        self.report: reports.LoadReport | None = None
        self.reporting_incarnation: int | None = None
        self.reported_at = float("-inf")
        self.unreported_offers = 0
        self.avoided = False
        self.backoff_until = float("-inf")
        self.heard_at = float("-inf")
        self.resumed_at = float("-inf")
        self.unanswered_since: float | None = None
        self.unanswered_requests = 0
        self.first_request_at = float("-inf")
        self.requested_at = float("-inf")
        self.unresponsive = False
        self.withdrawn_incarnation: int | None = None

    def record_message(self, now: float) -> None:
        """Records a message, which answers all queries and requests."""
        self.heard_at = now
        self.unresponsive = False
        self.clear_requests()

    def clear_requests(self) -> None:
        """Forgets which queries and requests were not answered."""
        self.unanswered_since = None
        self.unanswered_requests = 0

    def record_request(self, now: float) -> None:
        """Records a request for a report."""
        self.requested_at = now
        if not self.unanswered_requests:
            self.first_request_at = now
        self.unanswered_requests += 1
        if self.unanswered_since is None:
            self.unanswered_since = now

    def announced_at(self) -> int:
        """Returns the revision that orders the records of one address.

        A record that was lost and written again is as old as before.
        """
        return self.record.announced or self.revision

    def record_lost_at(self) -> int:
        """Returns the revision of the store in which the record was lost.

        It is lost if it is gone, or if another incarnation of the agent than
        the one that reports has overwritten it.  0 if it is in place.
        """
        if self.gone_at or self.reporting_incarnation is None:
            return self.gone_at
        if self.reporting_incarnation == self.record.incarnation:
            return 0
        return self.revision

    def is_newest(self, now: float, incarnation: int) -> bool:
        """Returns True if no other incarnation can be newer than this one.

        Incarnations have no order, so the newest is the one that reports, or
        that of a record which was registered since its last report.  The store
        may apply a late write of an earlier incarnation, so the incarnation of
        such a record counts only if no other one reports.
        """
        in_record = incarnation == self.record.incarnation
        if incarnation == self.reporting_incarnation:
            return in_record or not self.record_is_newer
        if self.reporting_incarnation is None:
            return in_record
        return in_record and self.record_is_newer and self.silent(now)

    def report_age_s(self, now: float) -> float:
        """Returns the time since the last report, seconds."""
        return now - self.reported_at

    def silent_for_s(self, now: float) -> float:
        """Returns the time for which the balancer has waited for a report.

        In seconds, since the last report, since the agent is known, or since
        the balancer was resumed.
        """
        return now - max(self.reported_at, self.added_at, self.resumed_at)

    def silent(self, now: float) -> bool:
        """Returns True if the agent has withdrawn, or reports are missing.

        Several reports, or answers to requests for one.
        """
        if (
            self.report is None
            or self.unresponsive
            or self.withdrawn_incarnation is not None
        ):
            return True
        # Most agents have a recent report, and each opening asks for many.
        if now - self.reported_at < MIN_SILENT_S:
            return False
        interval_s = self.report.interval_s
        limit_s = min(
            SILENT_INTERVALS * interval_s,
            OVERDUE_INTERVALS * interval_s + MAX_OVERDUE_UNTIL_SILENT_S,
        )
        return self.report_age_s(now) >= max(MIN_SILENT_S, limit_s)

    def overdue(self, now: float) -> bool:
        """Returns True if a report is overdue, but not for too long."""
        if self.withdrawn_incarnation is not None:
            return False
        interval_s = self.report.interval_s if self.report else 0.0
        silent_s = self.silent_for_s(now)
        return OVERDUE_INTERVALS * interval_s < silent_s < MAX_OVERDUE_S

    def replying(self, now: float) -> bool:
        """Returns False if the agent has left a query or request unanswered."""
        return (
            self.unanswered_since is None
            or now - self.unanswered_since < QUERY_TIMEOUT_S
            or now - self.heard_at < RECENT_MESSAGE_S
        )

    def lost(self, now: float) -> bool:
        """Returns True if the agent has withdrawn, or is silent for too long."""
        if self.unresponsive or self.withdrawn_incarnation is not None:
            return True
        silent_s = now - max(self.reported_at, self.heard_at, self.resumed_at)
        if self.report is None:
            return min(silent_s, now - self.added_at) > FIRST_REPORT_TIMEOUT_S
        interval_s = self.report.interval_s
        limit_s = min(
            LOST_INTERVALS * interval_s,
            OVERDUE_INTERVALS * interval_s + MAX_OVERDUE_UNTIL_LOST_S,
        )
        return silent_s > max(MIN_LOST_S, limit_s)

    def back_off(self, now: float, seconds: float) -> None:
        """Offers no new flows for a time; a longer pause stays in force."""
        self.backoff_until = max(self.backoff_until, now + seconds)

    def accepts(self, now: float) -> bool:
        """Returns True if the agent reports and accepts new flows."""
        return not self.exclusion(now)

    def exclusion(self, now: float) -> str:
        """Returns why the upstream gets no new flows; empty if it gets some.

        The reason is one of the ``EXCLUDED`` constants.
        """
        if self.silent(now):
            if self.withdrawn_incarnation is not None:
                return EXCLUDED_WITHDRAWN
            if self.lost(now):
                return EXCLUDED_LOST
            return EXCLUDED_SILENT if self.report else EXCLUDED_NO_REPORT
        if self.report is None or not self.report.accepting:
            return EXCLUDED_NOT_ACCEPTING
        if self.avoided:
            return EXCLUDED_AVOIDED
        return EXCLUDED_BACKING_OFF if self.backoff_until > now else ""


def service_tag(service: str) -> int:
    """Returns the 32-bit hash of a service name, sent with its segments."""
    return xxhash.xxh32_intdigest(service.encode())
