"""Life cycle of the flows that this host holds: reserved, queued, running."""

from collections import deque
import heapq
import itertools

from crocusmux import messages
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import outputs
from crocusmux.core.flows import state
from crocusmux.core.load import admission

# Time for a relay connection to attach before its reservation expires.
RESERVATION_TIMEOUT_S = 2.0

HELD_STATES = (directory.RESERVED, directory.QUEUED, directory.RUNNING)


class LocalFlows:
    """Starts and ends the flows that this host holds."""

    __slots__ = ("_agent", "_order", "_refreshes", "_reservations")

    def __init__(self, agent: state.AgentState) -> None:
        self._agent = agent
        self._reservations: deque[tuple[float, directory.Flow]] = deque()
        self._refreshes: list[tuple[float, int, directory.Flow]] = []
        self._order = itertools.count()

    def start_or_reserve(self, now: float, flow: directory.Flow) -> None:
        """Starts, queues or reserves a flow whose witnesses have answered."""
        pending = flow.pending
        assert pending is not None
        pending.retransmit_at = 0.0
        flow.changed_at = now
        if not flow.is_udp:
            flow.state = directory.RESERVED
            self._reservations.append((now + RESERVATION_TIMEOUT_S, flow))
        elif pending.admitted:
            self._start(now, flow)
        else:
            flow.state = directory.QUEUED

    def _start(self, now: float, flow: directory.Flow) -> None:
        pending, flow.pending = flow.pending, None
        assert pending is not None
        flow.state = directory.RUNNING
        flow.changed_at = now
        address = self._agent.upstreams[
            flow.service.key, flow.upstream
        ].config.address
        if flow.witnesses:
            self._schedule_refresh(now, flow)
        if not flow.is_udp:
            if pending.attached:
                self._agent.outputs.append(
                    outputs.StartRelay(flow.id, flow.incarnation, address)
                )
            return
        first, *rest = pending.payloads
        self._agent.outputs.append(
            outputs.OpenUpstream(flow.id, flow.incarnation, address, first)
        )
        for payload in rest:
            self._agent.outputs.append(
                outputs.ToUpstream(flow.id, flow.incarnation, payload)
            )

    def release_admission(
        self, now: float, flow: directory.Flow, ok: bool = True
    ) -> None:
        """Releases a flow's slot or queue place in the upstream's admission."""
        upstream = self._agent.upstreams.get((flow.service.key, flow.upstream))
        if upstream is None:
            return
        if flow.state == directory.RUNNING:
            started = upstream.admission.finish(now, flow.id, ok)
        else:
            started = upstream.admission.cancel(now, flow.id)
        for admitted_id in started:
            self._on_admitted(now, admitted_id)

    def _on_admitted(self, now: float, flow_id: bytes) -> None:
        """Marks a flow as admitted and starts it if it is queued."""
        flow = self._agent.directory.flows.get(flow_id)
        if flow is None or flow.pending is None:
            return
        flow.pending.admitted = True
        if flow.state == directory.QUEUED:
            self._start(now, flow)

    def finish(
        self,
        now: float,
        flow: directory.Flow,
        outcome: str,
        reason: str,
        ok: bool = True,
    ) -> None:
        """Ends a held flow and notifies its owner and witnesses."""
        if flow.state == directory.RUNNING and not flow.owner:
            self._agent.record_result(now, flow, outcome)
        self.release_admission(now, flow, ok)
        self._agent.directory.mark_ended(
            now, flow, outcome, reason, self._agent.window_s
        )
        service = flow.service
        notified_hosts = set(flow.witnesses)
        notified_hosts.add(service.owner_of(flow.slot) or "")
        if flow.owner:
            notified_hosts.add(flow.owner)
        notified_hosts &= service.live_hosts
        notified_hosts.discard(self._agent.host)
        flow.pending = None
        if notified_hosts:
            flow.pending = directory.PendingPlacement(None, None, 0.0)
            flow.pending.awaited_hosts = notified_hosts
            self.send_flow_closed(now, flow)

    def send_flow_closed(self, now: float, flow: directory.Flow) -> None:
        """Sends ``Closed`` to the hosts that have not acknowledged it."""
        pending = flow.pending
        assert pending is not None
        closed = messages.Closed(
            flow.service.key, flow.id, flow.incarnation, flow.outcome
        )
        for host in sorted(pending.awaited_hosts):
            self._agent.send_host(flow.service, host, closed)
        self._agent.retransmit_later(now, flow)

    def _schedule_refresh(self, now: float, flow: directory.Flow) -> None:
        item = (now + self._agent.window_s, next(self._order), flow)
        heapq.heappush(self._refreshes, item)

    def on_timer(self, now: float) -> None:
        """Expires reservations and queued flows; refreshes witnesses."""
        while self._reservations and self._reservations[0][0] <= now:
            _, flow = self._reservations.popleft()
            if flow.state == directory.RESERVED:
                self.finish(now, flow, messages.REFUSED, "not-attached")
        for upstream in self._agent.upstreams.values():
            timer_at = upstream.admission.next_timer()
            if timer_at is not None and timer_at <= now:
                for expired_request in upstream.admission.on_timer(now):
                    self._on_expired(now, expired_request)
                for admitted_id in upstream.admission.start_waiting(now):
                    self._on_admitted(now, admitted_id)
        while self._refreshes and self._refreshes[0][0] <= now:
            _, _, flow = heapq.heappop(self._refreshes)
            if flow.state == directory.RUNNING:
                self._refresh_witnesses(now, flow)

    def _refresh_witnesses(self, now: float, flow: directory.Flow) -> None:
        """Sends a running flow's entry again, so that witnesses keep it."""
        service = flow.service
        witness = messages.Witness(service.key, flow.entry(), service.epoch, 0)
        for host in flow.witnesses:
            self._agent.send_host(service, host, witness)
        self._schedule_refresh(now, flow)

    def _on_expired(
        self, now: float, expired: admission.DroppedRequest
    ) -> None:
        flow = self._agent.directory.flows.get(expired.flow)
        if flow is None or flow.holder != self._agent.host:
            return
        if flow.state in (directory.RUNNING, directory.ENDED):
            return
        self._agent.log_decision(
            "refuse",
            flow.service,
            flow.id,
            flow.upstream,
            expired.reason,
            always=True,
        )
        attached = flow.pending is not None and flow.pending.attached
        # A UDP refusal is certain only if another member knows the flow.
        is_known_to_peer = flow.state != directory.PLACING and bool(
            flow.owner or flow.witnesses
        )
        self.finish(now, flow, messages.REFUSED, expired.reason)
        if attached:
            self._agent.outputs.append(
                outputs.CloseUpstream(
                    flow.id, flow.incarnation, messages.REFUSED, expired.reason
                )
            )
        elif is_known_to_peer or not flow.is_udp:
            self._agent.send_outcome(flow, flow.balancer)

    def next_timer(self) -> float | None:
        """Returns the time of the next ``on_timer`` call, or None."""
        times = [
            due
            for upstream in self._agent.upstreams.values()
            if (due := upstream.admission.next_timer()) is not None
        ]
        if self._reservations:
            times.append(self._reservations[0][0])
        if self._refreshes:
            times.append(self._refreshes[0][0])
        return min(times, default=None)
