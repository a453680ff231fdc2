"""Tracks the requests of an agent's flows by the segments of both directions."""

from crocusmux.core.forward import agent_flows
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import outputs
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstream_health
from crocusmux.core.forward import upstream_load


class RequestTracker:
    """Finds where requests begin and end, for the load and the health.

    A request begins when the caller's last new data has arrived, and ends with
    the first data of the answer or without one.

    Attributes:
        load: Requests in progress at the upstream.
    """

    __slots__ = ("_health", "_slots", "load")

    def __init__(self, detect_outliers: bool) -> None:
        """Tracks no request yet.

        Args:
            detect_outliers: True to raise the reported service time while the
                upstream fails requests.
        """
        self._health = (
            upstream_health.UpstreamHealth() if detect_outliers else None
        )
        self._slots = 1
        self.load = upstream_load.UpstreamLoad(self._health)

    def restart(self) -> None:
        """Forgets the failures of an earlier boot of the upstream."""
        if self._health is not None:
            self._health.restart()

    def on_heartbeat(self, now: float, beat: heartbeats.Heartbeat) -> None:
        """Takes the slots and the warm-up time from a heartbeat."""
        self._slots = beat.slots
        if self._health is not None:
            self._health.learn_until(now + beat.warmup_s)
            self._health.slots = beat.slots

    def on_timer(self, now: float, leaving: bool) -> list[outputs.Output]:
        """Judges overdue requests unless the upstream leaves."""
        if self._health is None:
            return []
        return self._health.on_timer(now, judge=not leaving)

    def on_caller_segment(
        self,
        now: float,
        seg: segments.Segment,
        flow: agent_flows.Flow,
        leaving: bool,
    ) -> None:
        """Begins a request with its last data, or ends one that is given up.

        Args:
            now: Time in seconds.
            seg: The caller's segment.
            flow: Its flow.
            leaving: True if the upstream leaves, which is no failure.
        """
        if seg.length or seg.final or seg.reset:
            self.load.end_expectation(seg.key)
        if seg.final or seg.reset:
            flow.closing = True
        if seg.reset:
            given_up = self._is_overdue(now, flow)
            self.end(now, flow, failed=given_up and not leaving)
        if seg.length == 0:
            return
        end = (seg.seq + seg.length) % segments.SEQUENCE_MODULUS
        known_end = flow.request_end
        if known_end is not None and not segments.is_after(end, known_end):
            return
        flow.request_end = end
        # More data follows a full segment.  An upload takes a slot only once
        # the upstream has received all of it.
        self.end(now, flow)
        if seg.is_full():
            return
        flow.request_began_at = now
        flow.request_queued = self.load.in_progress >= self._slots
        if self._health is not None:
            self._health.begin(now, flow)
        self.load.begin(now)

    def on_upstream_segment(
        self,
        now: float,
        seg: segments.Segment,
        flow: agent_flows.Flow,
        leaving: bool,
    ) -> float | None:
        """Ends a request that the upstream answers, or closes its flow for.

        Args:
            now: Time in seconds.
            seg: The upstream's segment.
            flow: Its flow.
            leaving: True if the upstream leaves, which is no failure.

        Returns:
            The time to the answer, seconds; None if it answers no request.
        """
        answer_s = None
        if _record_answer_data(seg, flow) and flow.request_began_at:
            answer_s = now - flow.request_began_at
            self.end(now, flow, answered=True)
        if seg.final or seg.reset:
            # After the caller has closed the flow, the upstream need not answer.
            failed = not flow.closing or self._is_overdue(now, flow)
            flow.closing = True
            self.end(now, flow, failed=failed and not leaving)
        return answer_s

    def end(
        self,
        now: float,
        flow: agent_flows.Flow,
        answered: bool = False,
        failed: bool = False,
    ) -> None:
        """Ends a flow's request, if any.

        Args:
            now: Time in seconds.
            flow: The flow.
            answered: True if the upstream answered the request.
            failed: True if the upstream is the cause of a missing answer.
        """
        if not flow.request_began_at:
            return
        if self._health is not None:
            self._health.end(now, flow, answered, failed)
        self.load.end(now, flow.request_began_at, flow.request_queued, answered)
        flow.request_began_at = 0.0

    def end_timed_out(self, now: float, flow: agent_flows.Flow) -> None:
        """Ends a flow's request that has waited too long for its answer."""
        if now - flow.request_began_at > upstream_load.REQUEST_TIMEOUT_S:
            self.end(now, flow)

    def drop_flow(self, now: float, key: bytes, flow: agent_flows.Flow) -> None:
        """Ends a flow's request, and expects none any more."""
        self.load.end_expectation(key)
        self.end(now, flow)

    def _is_overdue(self, now: float, flow: agent_flows.Flow) -> bool:
        if self._health is None:
            return False
        return self._health.is_overdue(now, flow)


def _record_answer_data(seg: segments.Segment, flow: agent_flows.Flow) -> bool:
    """Records the end of an upstream's data; returns True if it has answered.

    Segments may arrive in another order than they were sent.  A close whose
    sequence number is beyond the known data shows that data precede it.
    """
    if not seg.length and not seg.final:
        return False
    known_end = flow.upstream_end
    end = (seg.seq + seg.length) % segments.SEQUENCE_MODULUS
    if known_end is None or segments.is_after(end, known_end):
        flow.upstream_end = end
    if seg.length:
        return True
    return known_end is not None and segments.is_after(end, known_end)
