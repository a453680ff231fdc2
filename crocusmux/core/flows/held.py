"""Flows that run, wait or are reserved on this host's upstreams."""

from collections import deque
import heapq
import itertools

from crocusmux import messages
from crocusmux.core.flows import directory
from crocusmux.core.flows import outputs
from crocusmux.core.flows import state
from crocusmux.core.load import admission

# A reservation that no relay connection attaches to ends after this time.
RESERVATION_S = 2.0

HELD = (directory.RESERVED, directory.QUEUED, directory.RUNNING)


class HeldFlows:
    """Starts and ends the flows that this host holds."""

    __slots__ = ("_lapses", "_order", "_refreshes", "_s")

    def __init__(self, shared: state.AgentState) -> None:
        self._s = shared
        self._lapses: deque[tuple[float, directory.Flow]] = deque()
        self._refreshes: list[tuple[float, int, directory.Flow]] = []
        self._order = itertools.count()

    def ready(self, now: float, flow: directory.Flow) -> None:
        """Continues with a flow that all needed members know of."""
        pending = flow.pending
        assert pending is not None
        pending.due = 0.0
        flow.since = now
        if not flow.udp:
            flow.state = directory.RESERVED
            self._lapses.append((now + RESERVATION_S, flow))
        elif pending.admitted:
            self._start(now, flow)
        else:
            flow.state = directory.QUEUED

    def _start(self, now: float, flow: directory.Flow) -> None:
        """Gives a flow to its upstream."""
        pending, flow.pending = flow.pending, None
        assert pending is not None
        flow.state = directory.RUNNING
        flow.since = now
        address = self._s.upstreams[flow.service.key, flow.upstream].cfg.address
        if flow.witnesses:
            self._refresh_later(now, flow)
        if not flow.udp:
            if pending.attached:
                self._s.out.append(
                    outputs.StartRelay(flow.id, flow.incarnation, address)
                )
            return
        first, *rest = pending.payloads
        self._s.out.append(
            outputs.OpenUpstream(flow.id, flow.incarnation, address, first)
        )
        for payload in rest:
            self._s.out.append(
                outputs.ToUpstream(flow.id, flow.incarnation, payload)
            )

    def release(
        self, now: float, flow: directory.Flow, ok: bool = True
    ) -> None:
        """Frees what the admission of the upstream counts for a flow."""
        local = self._s.upstreams.get((flow.service.key, flow.upstream))
        if local is None:
            return
        if flow.state == directory.RUNNING:
            started = local.admission.finish(now, flow.id, ok)
        else:
            started = local.admission.cancel(now, flow.id)
        for other in started:
            self._admitted(now, other)

    def _admitted(self, now: float, flow_id: bytes) -> None:
        """Continues with a flow that admission lets run."""
        flow = self._s.directory.flows.get(flow_id)
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
        """Ends a held flow and tells those that keep a copy."""
        if flow.state == directory.RUNNING and not flow.owner:
            self._s.note_result(now, flow, outcome)
        self.release(now, flow, ok)
        self._s.directory.end(now, flow, outcome, reason, self._s.window)
        svc = flow.service
        keepers = set(flow.witnesses)
        keepers.add(svc.owner_of(flow.slot) or "")
        if flow.owner:
            keepers.add(flow.owner)
        keepers &= svc.live
        keepers.discard(self._s.host)
        flow.pending = None
        if keepers:
            flow.pending = directory.Pending(None, None, 0.0)
            flow.pending.asked = keepers
            self.send_closed(now, flow)

    def send_closed(self, now: float, flow: directory.Flow) -> None:
        """Tells the hosts that keep a copy, until they acknowledge."""
        pending = flow.pending
        assert pending is not None
        closed = messages.Closed(
            flow.service.key, flow.id, flow.incarnation, flow.outcome
        )
        for host in sorted(pending.asked):
            self._s.send_host(flow.service, host, closed)
        self._s.repeat(now, flow)

    def _refresh_later(self, now: float, flow: directory.Flow) -> None:
        due = (now + self._s.window, next(self._order), flow)
        heapq.heappush(self._refreshes, due)

    def on_timer(self, now: float) -> None:
        """Ends lapsed reservations and late waits; refreshes copies."""
        while self._lapses and self._lapses[0][0] <= now:
            _, flow = self._lapses.popleft()
            if flow.state == directory.RESERVED:
                self.finish(now, flow, messages.REFUSED, "not-attached")
        for local in self._s.upstreams.values():
            due = local.admission.next_timer()
            if due is not None and due <= now:
                for expired in local.admission.on_timer(now):
                    self._expired(now, expired)
                for started in local.admission.start_waiting(now):
                    self._admitted(now, started)
        while self._refreshes and self._refreshes[0][0] <= now:
            _, _, flow = heapq.heappop(self._refreshes)
            if flow.state == directory.RUNNING:
                self._refresh(now, flow)

    def _refresh(self, now: float, flow: directory.Flow) -> None:
        """Keeps the witnesses' copies of a running flow from expiring."""
        svc = flow.service
        copy = messages.Witness(svc.key, flow.entry(), svc.epoch, 0)
        for host in flow.witnesses:
            self._s.send_host(svc, host, copy)
        self._refresh_later(now, flow)

    def _expired(self, now: float, expired: admission.DroppedRequest) -> None:
        flow = self._s.directory.flows.get(expired.flow)
        if flow is None or flow.holder != self._s.host:
            return
        if flow.state in (directory.RUNNING, directory.ENDED):
            return
        self._s.decide(
            "refuse",
            flow.service,
            flow.id,
            flow.upstream,
            expired.reason,
            always=True,
        )
        attached = flow.pending is not None and flow.pending.attached
        # A UDP refusal holds only once another member knows the flow.
        known = flow.state != directory.PLACING and bool(
            flow.owner or flow.witnesses
        )
        self.finish(now, flow, messages.REFUSED, expired.reason)
        if attached:
            self._s.out.append(
                outputs.CloseUpstream(
                    flow.id,
                    flow.incarnation,
                    messages.REFUSED,
                    expired.reason,
                )
            )
        elif known or not flow.udp:
            self._s.tell(flow, flow.via)

    def next_timer(self) -> float | None:
        """Returns when ``on_timer`` is due, or None."""
        times = [
            due
            for local in self._s.upstreams.values()
            if (due := local.admission.next_timer()) is not None
        ]
        if self._lapses:
            times.append(self._lapses[0][0])
        if self._refreshes:
            times.append(self._refreshes[0][0])
        return min(times, default=None)
