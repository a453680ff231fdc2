"""Placement of a new flow by the owner of its hash slot."""

from typing import Any

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import directory
from crocusmux.core.flows import holder
from crocusmux.core.flows import ownership
from crocusmux.core.flows import routing
from crocusmux.core.flows import service
from crocusmux.core.flows import state
from crocusmux.core.load import admission

# Transmissions of Witness after which one more member is asked.
WIDEN_AFTER = 2


class Placing:
    """Chooses the holders of new flows and makes sure enough members know."""

    __slots__ = ("_holder", "_s")

    def __init__(self, shared: state.AgentState, held: holder.Holder) -> None:
        self._s = shared
        self._holder = held

    def place(
        self,
        now: float,
        svc: service.ServiceState,
        owned: ownership.Owned,
        msg: Any,
        sender: state.Address,
        work: objects.WorkClass,
        seen: dict[int, float] | None = None,
    ) -> None:
        """Makes the entry of a new flow and chooses its holder."""
        flow = directory.Flow(
            msg.flow,
            svc,
            svc.slot_of(msg.flow),
            self._s.rng.getrandbits(64),
        )
        flow.since = now
        flow.via = state.via_of(msg, sender)
        limit = work.deadline_ms
        if isinstance(msg, messages.Open) and msg.deadline_ms:
            limit = msg.deadline_ms
        deadline = now + limit / 1000 if limit else 0.0
        flow.pending = directory.Pending(msg, sender, deadline)
        flow.pending.term = owned.term
        self._s.directory.add(flow)
        if isinstance(msg, messages.Packet):
            flow.pending.payloads.append(msg.payload)
            if service.at_most_once(work):
                flow.seen = seen if seen is not None else {}
                flow.is_copy(now, msg.payload, self._s.window)
        elif msg.resume:
            self.end(now, flow, messages.UNKNOWN, "unknown-flow")
            return
        svc.budget.add_request(work.retry_share)
        exclude = getattr(msg, "exclude", "")
        self._choose(now, flow, work, exclude)

    def _choose(
        self,
        now: float,
        flow: directory.Flow,
        work: objects.WorkClass,
        exclude: str,
    ) -> None:
        """Chooses the holder of a flow and starts its placement."""
        svc = flow.service
        pending = flow.pending
        assert pending is not None
        candidates = svc.candidates
        if self._s.suspected:
            candidates = [
                c for c in candidates if c.host not in self._s.suspected
            ]
        caller = routing.caller_of(pending.request)
        self._holder.take_own_load(now, svc)
        choice = svc.placement.choose(
            now, candidates, work, caller, exclude, state.as_text(flow.via)
        )
        if choice is None:
            self._refuse(now, flow, "no-upstream")
            return
        flow.holder = choice.host
        flow.upstream = choice.upstream
        self._s.decide("place", svc, flow.id, choice.upstream, choice.reason)
        if choice.host == self._s.host:
            verdict = self._holder.offer(now, flow, caller)
            if verdict.action == admission.REFUSE:
                pending.retry_ms = verdict.retry_ms
                self.on_refusal(now, flow, verdict.reason)
                return
            pending.admitted = verdict.action == admission.RUN
        pending.tries = 0
        if service.at_most_once(work):
            self._ask_witnesses(flow, pending)
        self._proceed(now, flow)

    def _ask_witnesses(
        self, flow: directory.Flow, pending: directory.Pending
    ) -> None:
        """Sets how many witnesses a non-idempotent flow needs."""
        copies, able = flow.service.copies(pending.term[0])
        have = {self._s.host, flow.holder} & set(able)
        pending.need = max(0, copies - len(have))
        pending.asked = set()
        for _ in range(pending.need):
            self._ask_one_more(flow, pending)

    def _ask_one_more(
        self, flow: directory.Flow, pending: directory.Pending
    ) -> None:
        _, able = flow.service.copies(pending.term[0])
        taken = {self._s.host, flow.holder, *flow.witnesses}
        rest = [h for h in able if h not in taken]
        sure = [h for h in rest if h not in self._s.suspected] or rest
        if sure:
            host = self._s.rng.choice(sure)
            flow.witnesses = (*flow.witnesses, host)
            pending.asked.add(host)

    def _proceed(self, now: float, flow: directory.Flow) -> None:
        """Takes the next step of a placement."""
        pending = flow.pending
        assert pending is not None
        if pending.need > 0:
            routing.send_witness(self._s, flow)
            self._s.repeat(now, flow)
        elif flow.state == directory.ENDED:
            self._s.tell(flow, flow.via)
            flow.pending = None
        elif flow.holder == self._s.host:
            self._holder.ready(now, flow)
            if not flow.udp:
                self._s.tell_placed(flow, flow.via)
        else:
            self._send_place(now, flow)
            self._s.repeat(now, flow)

    def _send_place(self, now: float, flow: directory.Flow) -> None:
        pending = flow.pending
        assert pending is not None
        svc = flow.service
        work = svc.work_class(flow.id)
        member = svc.members.get(flow.holder)
        left_ms = 0
        if pending.deadline:
            left_ms = max(1, int((pending.deadline - now) * 1000))
        place = messages.Place(
            svc.key,
            flow.id,
            *pending.term,
            flow.incarnation,
            self._s.host,
            flow.upstream,
            work.name if work else "",
            routing.caller_of(pending.request),
            left_ms,
            state.as_text(flow.via),
            pending.payloads[0] if pending.payloads else b"",
            member.incarnation if member else 0,
            pending.again,
        )
        self._s.send_host(svc, flow.holder, place)

    def on_witness_ack(
        self, now: float, flow: directory.Flow, host: str
    ) -> None:
        """Counts a member that keeps a copy of an entry."""
        pending = flow.pending
        if pending is None or host not in pending.asked:
            return
        pending.asked.discard(host)
        if pending.need > 0:
            pending.need -= 1
            if pending.need == 0:
                pending.tries = 0
                self._proceed(now, flow)
        elif not pending.asked and flow.state == directory.ENDED:
            flow.pending = None

    def on_place_ack(self, now: float, flow: directory.Flow, host: str) -> None:
        """Completes a placement that the holder has accepted."""
        pending = flow.pending
        if flow.state != directory.PLACING or host != flow.holder:
            return
        assert pending is not None
        flow.state = directory.REMOTE
        flow.since = now
        flow.pending = None
        if not flow.udp:
            self._s.tell_placed(flow, flow.via)
        for payload in pending.payloads[1:]:
            routing.to_holder(self._s, flow, payload)

    def on_refused(
        self, now: float, flow: directory.Flow, msg: messages.Refused
    ) -> None:
        """Takes the refusal of the holder that was asked."""
        pending = flow.pending
        if pending is None:
            return
        pending.retry_ms = msg.retry_ms
        if msg.outcome == messages.REFUSED:
            self.on_refusal(now, flow, msg.reason)
        else:
            self.end(now, flow, msg.outcome, msg.reason)

    def on_refusal(self, now: float, flow: directory.Flow, reason: str) -> None:
        """Tries one other holder after a refusal, or refuses the flow.

        Only the owner whose term still stands may place again; witnesses of
        the first attempt would hold an entry that no longer applies.
        """
        svc = flow.service
        pending = flow.pending
        work = svc.work_class(flow.id)
        assert pending is not None
        self._s.note_result(now, flow, messages.REFUSED)
        owned = svc.ownership.owned.get(flow.slot)
        other = [c for c in svc.candidates if c.upstream != flow.upstream]
        if (
            work is not None
            and owned is not None
            and owned.term == pending.term
            and pending.attempt == 1
            and not flow.witnesses
            and other
            and not 0 < pending.deadline <= now
            # The budget bounds the load that retries add; a holder that is
            # dead has taken none.
            and (reason == "holder-silent" or svc.budget.try_take(now))
        ):
            pending.attempt += 1
            flow.incarnation = self._s.rng.getrandbits(64)
            flow.state = directory.PLACING
            self._choose(now, flow, work, flow.upstream)
            return
        self._refuse(now, flow, reason)

    def _refuse(self, now: float, flow: directory.Flow, reason: str) -> None:
        """Refuses a flow as not run, once the refusal is sure to hold.

        A TCP or library flow runs only if its balancer attaches, so the
        answer alone ends it.  A late copy of a UDP flow's datagram could
        reach a later owner, so another member must know the tombstone.
        """
        svc = flow.service
        pending = flow.pending
        assert pending is not None
        self.end(now, flow, messages.REFUSED, reason, tell=False)
        remote = flow.holder and flow.holder != self._s.host
        work = svc.work_class(flow.id)
        alone = len(svc.live) < 2
        known = work is None or not service.at_most_once(work)
        if not flow.udp or remote or alone or known:
            flow.pending = pending
            self._s.tell(flow, flow.via)
            flow.pending = None
            return
        if flow.seen is None:
            flow.seen = {}
            flow.is_copy(now, pending.payloads[0], self._s.window)
        pending.need, pending.asked, pending.tries = 1, set(), 0
        flow.holder, flow.witnesses = self._s.host, ()
        flow.pending = pending
        self._ask_one_more(flow, pending)
        self._proceed(now, flow)

    def end(
        self,
        now: float,
        flow: directory.Flow,
        outcome: str,
        reason: str,
        tell: bool = True,
    ) -> None:
        """Ends a flow at its owner, and tells its caller if asked to."""
        self._s.directory.end(now, flow, outcome, reason, self._s.window)
        self._s.decide(
            "refuse" if outcome == messages.REFUSED else "lost",
            flow.service,
            flow.id,
            flow.upstream,
            reason,
            always=True,
        )
        if tell:
            self._s.tell(flow, flow.via)
        flow.pending = None

    def give_up(self, now: float, flow: directory.Flow) -> None:
        """Hands a flow that never ran to the owner of a newer term."""
        svc = flow.service
        pending = flow.pending
        assert pending is not None
        if flow.holder == self._s.host:
            self._holder.release(now, flow)
        self._s.directory.end(
            now, flow, messages.REFUSED, "fenced", self._s.window
        )
        flow.pending = None
        host, rank = routing.responsible(self._s, svc, flow.slot, None)
        if host == self._s.host or host not in svc.live:
            # The newer owner may still place a UDP flow, so nothing is said.
            if not flow.udp:
                self._s.tell(flow, flow.via)
            return
        refused = messages.Refused(
            svc.key, flow.id, flow.incarnation, messages.REFUSED, "fenced"
        )
        self._s.send_host(svc, host, refused)
        routing.forward(
            self._s, svc, host, rank, pending.request, pending.sender
        )

    def reopen(
        self,
        now: float,
        flow: directory.Flow,
        owned: ownership.Owned,
        msg: messages.Packet,
        sender: state.Address,
        work: objects.WorkClass,
    ) -> None:
        """Places a UDP flow again whose caller continues after its end.

        Only the last holder knows which datagrams it has seen, so a
        non-idempotent flow goes back to it.
        """
        svc = flow.service
        seen = flow.seen
        if seen is not None or not service.at_most_once(work):
            self.place(now, svc, owned, msg, sender, work, seen)
            return
        if flow.holder not in svc.live:
            self._s.tell(flow, state.via_of(msg, sender))
            return
        again = directory.Flow(
            flow.id, svc, flow.slot, self._s.rng.getrandbits(64)
        )
        again.via = state.via_of(msg, sender)
        again.since = now
        again.holder, again.upstream = flow.holder, flow.upstream
        again.pending = directory.Pending(msg, sender, 0.0)
        again.pending.term = owned.term
        again.pending.attempt = 2
        again.pending.again = True
        again.pending.payloads.append(msg.payload)
        self._s.directory.add(again)
        self._ask_witnesses(again, again.pending)
        self._proceed(now, again)

    def on_timer(self, now: float, flow: directory.Flow) -> None:
        """Repeats an unanswered request, or gives up."""
        pending = flow.pending
        assert pending is not None
        if pending.tries >= state.MAX_TRIES:
            self._give_up_waiting(now, flow, pending)
            return
        late = flow.state == directory.PLACING and 0 < pending.deadline <= now
        if late and (flow.holder == self._s.host or pending.need):
            self._give_up_waiting(now, flow, pending)
            return
        if pending.need == 0 and flow.state == directory.ENDED:
            self._holder.send_closed(now, flow)
            return
        if pending.need and pending.tries >= WIDEN_AFTER:
            self._ask_one_more(flow, pending)
        self._proceed(now, flow)

    def _give_up_waiting(
        self,
        now: float,
        flow: directory.Flow,
        pending: directory.Pending,
    ) -> None:
        """Ends a placement that its holder or witness does not answer."""
        if flow.state == directory.ENDED:
            flow.pending = None
            return
        work = flow.service.work_class(flow.id)
        if flow.holder == self._s.host or pending.need:
            # The flow never ran and its entry stays, so it never will.
            if flow.holder == self._s.host:
                self._holder.release(now, flow)
            tell = not flow.udp
            self.end(now, flow, messages.REFUSED, "no-witness", tell)
            return
        if not flow.udp or (
            work is not None and not service.at_most_once(work)
        ):
            pending.need = 0
            flow.witnesses = ()
            self.on_refusal(now, flow, "holder-silent")
            return
        self.end(now, flow, messages.UNKNOWN, "holder-silent")
