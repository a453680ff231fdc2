"""Decision core of an agent: owner, holder and witness of flows."""

from collections.abc import Callable, Collection
import random
from typing import Any

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.flows import copies
from crocusmux.core.flows import directory
from crocusmux.core.flows import handover
from crocusmux.core.flows import holder
from crocusmux.core.flows import outputs
from crocusmux.core.flows import owner
from crocusmux.core.flows import peers
from crocusmux.core.flows import placing
from crocusmux.core.flows import routing
from crocusmux.core.flows import service
from crocusmux.core.flows import state
from crocusmux.core.load import admission

DEFAULT_WINDOW_S = 30.0
# Load reports keep placement informed and extend the lease; both need
# several within the lease time, and the control budget is a few KB/s.
REPORT_EVERY_S = 1.0
REPORTS_AT_ONCE = 16

Address = tuple[str, int]


class AgentCore:
    """Decides for one agent; see the design page for the protocol.

    Every input takes the time first and returns the outputs: ``Send``,
    ``Decision`` and the actions of ``core.outputs``.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        rng: random.Random,
        window: float = DEFAULT_WINDOW_S,
    ) -> None:
        self._s = state.AgentState(host, incarnation, rng, window)
        self._holder = holder.Holder(self._s)
        self._placing = placing.Placing(self._s, self._holder)
        self._owner = owner.Owner(self._s, self._holder, self._placing)
        self._handover = handover.Handover(self._s, self._on_flow)
        self._peers = peers.Peers(
            self._s, self._placing, self._owner, self._handover
        )
        self._by_name: dict[str, service.ServiceState] = {}
        self._flows = self._s.directory.flows
        self._report_at: float | None = None
        self._sweep_at: float | None = None
        self._rotation = 0
        self._classes: tuple[objects.WorkClass, ...] = ()
        self._handlers: dict[type, Callable[..., None]] = {
            messages.Open: self._on_request,
            messages.Place: self._holder.on_place,
            messages.PlaceAck: self._peers.on_place_ack,
            messages.Refused: self._peers.on_refused,
            messages.Fenced: self._peers.on_fenced,
            messages.Witness: self._on_witness,
            messages.WitnessAck: self._peers.on_witness_ack,
            messages.SlotQuery: self._handover.on_query,
            messages.SlotReport: self._handover.on_report,
            messages.Closed: self._peers.on_closed,
            messages.Cancel: self._peers.on_cancel,
            messages.LoadReport: self._on_load,
        }

    # Configuration.

    def apply(
        self,
        now: float,
        store: config_store.ConfigStore,
        names: Collection[str] | None = None,
    ) -> list[Any]:
        """Takes the newest configuration.

        The first call must come before the agent announces itself, so that
        it can tell whether its host had a predecessor.

        Args:
            now: Time in seconds.
            store: The configuration.
            names: Services that this host runs or may run; None for all.
                At thousands of services the others would cost more time and
                memory than the agent's own.
        """
        in_force = store.in_force()
        self._classes = in_force.preset.classes if in_force else ()
        classes = self._classes
        if names is None:
            found = store.services()
        else:
            known = (store.service(name) for name in sorted(names))
            found = [cfg for cfg in known if cfg is not None]
        for cfg in found:
            svc = self._by_name.get(cfg.name)
            if svc is None:
                svc = service.ServiceState(
                    self._s.host, self._s.incarnation, cfg.name, self._s.rng
                )
                self._by_name[cfg.name] = svc
                self._s.services[svc.key] = svc
            svc.configure(cfg, store)
            svc.start_build(store)
            self._build(now, svc)
        for local in self._s.upstreams.values():
            local.admission.configure(now, classes)
        self._handover.send_queries(now, False)
        return self._s.take_outputs()

    def _build(self, now: float, svc: service.ServiceState) -> None:
        """Runs one step of a slot table's rebuild; all of a small table's."""
        done = svc.step_build(now, self._s.window)
        while svc.building and svc.is_small:
            done = svc.step_build(now, self._s.window)
        if not done:
            return
        self._take_upstreams(now, svc)
        self._sweep(svc)
        own = svc.ownership
        for slot, owned in list(own.owned.items()):
            if svc.needs_new_term(owned.term[0]):
                if svc.table.owner(slot) == self._s.host:
                    own.begin(now, slot, routing.next_term(svc, slot, 0))
                else:
                    owned.complete = False
        if svc.is_member:
            for slot in svc.mine:
                if slot not in own.owned:
                    fence = own.fences.get(slot)
                    if fence is None or fence.term[0] <= svc.epoch:
                        own.begin(now, slot, routing.next_term(svc, slot, 0))
        if self._report_at is None:
            self._report_at = now
        self._handover.judge(now, svc, list(own.open))

    def _take_upstreams(self, now: float, svc: service.ServiceState) -> None:
        member = svc.members.get(self._s.host)
        mine = {u.name: u for u in member.upstreams} if member else {}
        known = self._s.upstreams
        for name, cfg in mine.items():
            local = known.get((svc.key, name))
            if local is None and cfg.state != "gone":
                control = admission.Admission(
                    name, cfg.slots, cfg.connections, self._s.rng
                )
                control.configure(now, self._classes)
                # The upstream may be as new as its agent, so it starts slowly.
                control.warm_up(now)
                local = state.Local(cfg, svc, control)
                known[svc.key, name] = local
                svc.local_upstreams.append(name)
            if local is not None:
                if local.cfg.state == "draining" and cfg.state == "ready":
                    local.admission.warm_up(now)
                local.cfg = cfg
                local.admission.draining = self._s.draining or (
                    cfg.state in ("draining", "gone")
                )

    def _sweep(self, svc: service.ServiceState) -> None:
        """Drops copies of flows whose holder left the membership."""
        for flow in list(self._flows.values()):
            if (
                flow.service is svc
                and flow.state == directory.REMOTE
                and flow.holder not in svc.members
            ):
                self._s.directory.remove(flow)

    def suspect(self, now: float, hosts: frozenset[str]) -> list[Any]:
        """Takes the set of hosts that are suspected to be dead."""
        known = self._s.suspected
        self._s.suspected = {h: known.get(h, now) for h in hosts}
        for svc in self._s.services.values():
            self._handover.judge(now, svc, list(svc.ownership.open))
        return self._s.take_outputs()

    def set_balancers(
        self, addresses: tuple[Address, ...], lost: frozenset[Address]
    ) -> None:
        """Takes which balancers are alive, as far as this agent knows.

        Args:
            addresses: Some that are alive; replies may go through them.
            lost: Those that were known and have stopped or gone silent.
        """
        self._s.balancers = addresses
        self._s.lost_balancers = lost

    def renew_lease(self, now: float) -> None:
        """Notes a watcher that is in contact with the platform."""
        for svc in self._s.services.values():
            svc.renew_lease(now)

    def rejoin(self, incarnation: int) -> None:
        """Takes a new incarnation after this host was removed while alive.

        ``apply`` must follow, as membership depends on the incarnation.
        """
        self._s.incarnation = incarnation
        for svc in self._s.services.values():
            svc.incarnation = incarnation

    def drain(self, now: float) -> list[Any]:
        """Takes no new work from now on, and tells all members so."""
        self._s.draining = True
        for local in self._s.upstreams.values():
            local.admission.draining = True
            svc = local.service
            load = local.admission.load()
            svc.take_load(now, load)
            report = messages.LoadReport(svc.key, load, svc.epoch)
            for host in sorted(svc.live - {self._s.host}):
                self._s.send_host(svc, host, report)
        return self._s.take_outputs()

    # Inputs of the packet path.

    def on_message(
        self, now: float, sender: Address, message: Any
    ) -> list[Any]:
        """Takes a message from a balancer or another agent."""
        self._s.tick(now, False)
        if now < self._s.stale_until and self._is_stale(message):
            return []
        if type(message) is messages.Packet:
            flow = self._flows.get(message.flow)
            if (
                flow is not None
                and flow.state == directory.RUNNING
                and flow.service.key == message.service
            ):
                return self._established(now, flow, message, sender)
            svc = self._s.services.get(message.service)
            if svc is not None:
                self._on_request(now, svc, message, sender)
            return self._s.take_outputs()
        svc = self._s.services.get(message.service)
        handler = self._handlers.get(type(message))
        if svc is None or handler is None:
            return []
        host = svc.hosts.get(sender)
        if host is not None:
            epoch = getattr(message, "epoch", 0)
            svc.heard(now, host, epoch)
        handler(now, svc, message, sender)
        return self._s.take_outputs()

    def _is_stale(self, message: Any) -> bool:
        """Returns True for what could run at-most-once work too late."""
        svc = self._s.services.get(message.service)
        flow = getattr(message, "flow", b"")
        if svc is None or not flow:
            return False
        if not isinstance(
            message, (messages.Packet, messages.Open, messages.Place)
        ):
            return False
        work = svc.work_class(flow)
        return work is not None and service.at_most_once(work)

    def _established(
        self,
        now: float,
        flow: directory.Flow,
        message: messages.Packet,
        sender: Address,
    ) -> list[Any]:
        if message.via:
            flow.via = state.via_of(message, sender)
        elif flow.via != sender:
            flow.via = sender
        if flow.seen is not None and flow.is_copy(
            now, message.payload, self._s.window
        ):
            return []
        return [outputs.ToUpstream(flow.id, flow.incarnation, message.payload)]

    def _on_request(
        self,
        now: float,
        svc: service.ServiceState,
        message: Any,
        sender: Address,
    ) -> None:
        self._on_flow(now, svc, message, sender)
        self._handover.after_request(now, svc)

    def _on_flow(
        self,
        now: float,
        svc: service.ServiceState,
        message: Any,
        sender: Address,
        since: float | None = None,
    ) -> None:
        """Takes a ``Packet`` or ``Open``; ``since`` if it has waited."""
        if sender not in svc.hosts:
            svc.newest_seen = max(svc.newest_seen, message.epoch)
        flow = self._flows.get(message.flow)
        if flow is None:
            at = now if since is None else since
            self._owner.on_unknown(now, svc, message, sender, at)
        elif flow.service is svc:
            self._owner.on_known(now, flow, message, sender)
        else:
            self._s.decide(
                "refuse", svc, flow.id, "", "other-service", always=True
            )

    def attach(
        self, now: float, flow: bytes, incarnation: int, resume: bool
    ) -> tuple[outputs.AttachResult, list[Any]]:
        """Answers a relay connection that presents ``Attach``."""
        result = self._holder.attach(now, flow, incarnation, resume)
        return result, self._s.take_outputs()

    def from_upstream(
        self, now: float, flow: bytes, incarnation: int, payload: bytes
    ) -> list[Any]:
        """Takes a datagram that an upstream sent on a UDP flow."""
        self._holder.from_upstream(now, flow, incarnation, payload)
        return self._s.take_outputs()

    def closed(
        self,
        now: float,
        flow: bytes,
        incarnation: int,
        ok: bool,
        ran: bool = True,
    ) -> list[Any]:
        """Takes the end of a relay or of a UDP flow.

        Args:
            now: Time in seconds.
            flow: Flow id.
            incarnation: Number of the placement.
            ok: True if the flow ended in order.
            ran: False if the upstream could not be connected to.
        """
        self._holder.closed(now, flow, incarnation, ok, ran)
        return self._s.take_outputs()

    # Messages between agents.

    def _on_witness(
        self,
        now: float,
        svc: service.ServiceState,
        msg: messages.Witness,
        sender: Address,
    ) -> None:
        copies.on_witness(self._s, now, svc, msg, sender)
        if self._sweep_at is None:
            self._sweep_at = now + self._s.window

    def _on_load(
        self,
        now: float,
        svc: service.ServiceState,
        msg: messages.LoadReport,
        sender: Address,
    ) -> None:
        svc.take_load(now, msg.load)

    # Timers.

    def next_timer(self) -> float | None:
        """Returns when ``on_timer`` is due, or None."""
        times = [
            self._s.next_repeat(),
            self._s.directory.next_expiry(),
            self._holder.next_timer(),
            self._report_at,
            self._handover.release_at,
            self._sweep_at,
        ]
        for svc in self._s.services.values():
            times.append(0.0 if svc.building else svc.ownership.query_at)
        return min((t for t in times if t is not None), default=None)

    def on_timer(self, now: float) -> list[Any]:
        """Does what is due."""
        self._s.tick(now, False)
        for svc in self._s.services.values():
            if svc.building:
                self._build(now, svc)
        self._s.directory.expire(now)
        self._holder.on_timer(now)
        for flow in self._s.due_repeats(now):
            self._placing.on_timer(now, flow)
        if self._report_at is not None and self._report_at <= now:
            self._report_at = now + REPORT_EVERY_S
            self._s.tick(now, True)
            self._report_loads()
        if (
            self._handover.release_at is not None
            and self._handover.release_at <= now
        ):
            self._handover.release(now)
        if self._sweep_at is not None and self._sweep_at <= now:
            self._sweep_at = now + self._s.window
            copies.drop_stale(self._s, now)
        self._handover.send_queries(now, True)
        return self._s.take_outputs()

    def _report_loads(self) -> None:
        """Sends each upstream's load to some members, in turn."""
        upstreams = list(self._s.upstreams.values())
        if not upstreams:
            return
        count = max(1, REPORTS_AT_ONCE // len(upstreams))
        self._rotation += count
        for local in upstreams:
            svc = local.service
            peers = sorted(svc.live - {self._s.host})
            if not peers:
                continue
            report = messages.LoadReport(
                svc.key, local.admission.load(), svc.epoch
            )
            for i in range(min(count, len(peers))):
                peer = peers[(self._rotation + i) % len(peers)]
                self._s.send_host(svc, peer, report)
