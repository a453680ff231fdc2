"""Decision core of a terminating agent: owner, holder and witness of flows."""

from collections.abc import Callable, Collection
import random
from typing import Any

from crocusmux import messages
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import flow_placer
from crocusmux.core.flows import handover
from crocusmux.core.flows import holder
from crocusmux.core.flows import outputs
from crocusmux.core.flows import owner
from crocusmux.core.flows import peer_messages
from crocusmux.core.flows import routing
from crocusmux.core.flows import service_state
from crocusmux.core.flows import state
from crocusmux.core.flows import witness_entries
from crocusmux.core.load import admission

DEFAULT_RETRANSMIT_WINDOW_S = 30.0
# Load reports feed placement and extend the lease, which needs several of
# them within LEASE_S; the budget for control traffic is a few KB/s.
LOAD_REPORT_INTERVAL_S = 1.0
MAX_REPORTS_PER_INTERVAL = 16

Address = tuple[str, int]


class TerminatingAgent:
    """Decision core of one agent; the design page describes the protocol.

    Every input takes the time first and returns the outputs: ``Send``,
    ``Decision`` and the actions of ``core.flows.outputs``.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        rng: random.Random,
        window: float = DEFAULT_RETRANSMIT_WINDOW_S,
    ) -> None:
        self._agent = state.AgentState(host, incarnation, rng, window)
        self._holder = holder.Holder(self._agent)
        self._placer = flow_placer.FlowPlacer(self._agent, self._holder)
        self._owner = owner.Owner(self._agent, self._holder, self._placer)
        self._handover = handover.Handover(self._agent, self._route_request)
        self._peers = peer_messages.PeerMessageHandler(
            self._agent, self._placer, self._owner, self._handover
        )
        self._services_by_name: dict[str, service_state.AgentService] = {}
        self._flows = self._agent.directory.flows
        self._next_report_at: float | None = None
        self._next_sweep_at: float | None = None
        self._report_rotation = 0
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
            messages.LoadReport: self._on_load_report,
        }

    # Configuration.

    def apply(
        self,
        now: float,
        store: config_store.ConfigStore,
        names: Collection[str] | None = None,
    ) -> list[Any]:
        """Applies the newest configuration.

        The first call must come before the agent announces itself, so that
        it detects an earlier incarnation on its host.

        Args:
            now: Time in seconds.
            store: The configuration.
            names: Services that this host runs or may run; None for all.
                With thousands of services, the others would take more time
                and memory than the agent's own.
        """
        in_force = store.in_force()
        self._classes = in_force.preset.classes if in_force else ()
        classes = self._classes
        if names is None:
            service_configs = store.services()
        else:
            named_configs = (store.service(name) for name in sorted(names))
            service_configs = [cfg for cfg in named_configs if cfg is not None]
        for cfg in service_configs:
            service = self._services_by_name.get(cfg.name)
            if service is None:
                service = service_state.AgentService(
                    self._agent.host,
                    self._agent.incarnation,
                    cfg.name,
                    self._agent.rng,
                )
                self._services_by_name[cfg.name] = service
                self._agent.services[service.key] = service
            service.configure(cfg, store)
            service.start_build(store)
            self._step_build(now, service)
        for upstream in self._agent.upstreams.values():
            upstream.admission.configure(now, classes)
        self._handover.send_queries(now, False)
        return self._agent.take_outputs()

    def _step_build(
        self, now: float, service: service_state.AgentService
    ) -> None:
        """Runs one step of a slot table's build; a small table in one call."""
        is_done = service.step_build(now, self._agent.window_s)
        while service.building and service.is_small:
            is_done = service.step_build(now, self._agent.window_s)
        if not is_done:
            return
        self._apply_upstreams(now, service)
        self._drop_orphans(service)
        terms = service.ownership
        for slot, owned in list(terms.owned.items()):
            if service.needs_new_term(owned.term[0]):
                if service.table.owner(slot) == self._agent.host:
                    terms.start_takeover(
                        now, slot, routing.next_free_term(service, slot, 0)
                    )
                else:
                    owned.serves_all = False
        if service.is_member:
            for slot in service.own_slots:
                if slot not in terms.owned:
                    fence = terms.fences.get(slot)
                    if fence is None or fence.term[0] <= service.epoch:
                        terms.start_takeover(
                            now, slot, routing.next_free_term(service, slot, 0)
                        )
        if self._next_report_at is None:
            self._next_report_at = now
        self._handover.update_slots(now, service, list(terms.unanswered))

    def _apply_upstreams(
        self, now: float, service: service_state.AgentService
    ) -> None:
        member = service.members.get(self._agent.host)
        own_upstreams = {u.name: u for u in member.upstreams} if member else {}
        upstreams = self._agent.upstreams
        for name, cfg in own_upstreams.items():
            upstream = upstreams.get((service.key, name))
            if upstream is None and cfg.state != "gone":
                upstream_admission = admission.Admission(
                    name, cfg.slots, cfg.connections, self._agent.rng
                )
                upstream_admission.configure(now, self._classes)
                # Slow start: the upstream may have started with its agent.
                upstream_admission.warm_up(now)
                upstream = state.LocalUpstream(cfg, service, upstream_admission)
                upstreams[service.key, name] = upstream
                service.local_upstreams.append(name)
            if upstream is not None:
                if upstream.config.state == "draining" and cfg.state == "ready":
                    upstream.admission.warm_up(now)
                upstream.config = cfg
                upstream.admission.draining = self._agent.draining or (
                    cfg.state in ("draining", "gone")
                )

    def _drop_orphans(self, service: service_state.AgentService) -> None:
        """Drops witness entries whose holder left the membership."""
        for flow in list(self._flows.values()):
            if (
                flow.service is service
                and flow.state == directory.REMOTE
                and flow.holder not in service.members
            ):
                self._agent.directory.remove(flow)

    def set_suspected_hosts(
        self, now: float, hosts: frozenset[str]
    ) -> list[Any]:
        """Sets the hosts suspected by failure detection."""
        previous = self._agent.suspected_since
        self._agent.suspected_since = {h: previous.get(h, now) for h in hosts}
        for service in self._agent.services.values():
            self._handover.update_slots(
                now, service, list(service.ownership.unanswered)
            )
        return self._agent.take_outputs()

    def set_balancers(
        self, addresses: tuple[Address, ...], lost: frozenset[Address]
    ) -> None:
        """Sets the balancers that are known to be alive or lost.

        Args:
            addresses: Some live balancers; replies may go through them.
            lost: Balancers that have stopped or gone silent.
        """
        self._agent.live_balancers = addresses
        self._agent.lost_balancers = lost

    def renew_lease(self, now: float) -> None:
        """Extends the leases: a watcher with the object API in reach answered."""
        for service in self._agent.services.values():
            service.renew_lease(now)

    def rejoin(self, incarnation: int) -> None:
        """Sets a new incarnation after the host was removed while alive.

        ``apply`` must follow, as membership depends on the incarnation.
        """
        self._agent.incarnation = incarnation
        for service in self._agent.services.values():
            service.incarnation = incarnation

    def drain(self, now: float) -> list[Any]:
        """Stops accepting new work and reports that to all members."""
        self._agent.draining = True
        for upstream in self._agent.upstreams.values():
            upstream.admission.draining = True
            service = upstream.service
            load = upstream.admission.load()
            service.record_load(now, load)
            report = messages.LoadReport(service.key, load, service.epoch)
            for host in sorted(service.live_hosts - {self._agent.host}):
                self._agent.send_host(service, host, report)
        return self._agent.take_outputs()

    # Inputs of the packet path.

    def on_message(
        self, now: float, sender: Address, message: Any
    ) -> list[Any]:
        """Handles an authenticated message of a balancer or another agent."""
        self._agent.detect_pause(now, False)
        if now < self._agent.stale_until and self._may_run_too_late(message):
            return []
        if type(message) is messages.Packet:
            flow = self._flows.get(message.flow)
            if (
                flow is not None
                and flow.state == directory.RUNNING
                and flow.service.key == message.service
            ):
                return self._on_running_packet(now, flow, message, sender)
            service = self._agent.services.get(message.service)
            if service is not None:
                self._on_request(now, service, message, sender)
            return self._agent.take_outputs()
        service = self._agent.services.get(message.service)
        handler = self._handlers.get(type(message))
        if service is None or handler is None:
            return []
        host = service.host_by_address.get(sender)
        if host is not None:
            epoch = getattr(message, "epoch", 0)
            service.record_contact(now, host, epoch)
        handler(now, service, message, sender)
        return self._agent.take_outputs()

    def _may_run_too_late(self, message: Any) -> bool:
        """Returns True for a message that could start non-idempotent work."""
        service = self._agent.services.get(message.service)
        flow = getattr(message, "flow", b"")
        if service is None or not flow:
            return False
        if not isinstance(
            message, (messages.Packet, messages.Open, messages.Place)
        ):
            return False
        work = service.work_class(flow)
        return work is not None and service_state.at_most_once(work)

    def _on_running_packet(
        self,
        now: float,
        flow: directory.Flow,
        message: messages.Packet,
        sender: Address,
    ) -> list[Any]:
        if message.via:
            flow.balancer = state.balancer_address(message, sender)
        elif flow.balancer != sender:
            flow.balancer = sender
        if flow.seen_at is not None and flow.is_duplicate(
            now, message.payload, self._agent.window_s
        ):
            return []
        return [outputs.ToUpstream(flow.id, flow.incarnation, message.payload)]

    def _on_request(
        self,
        now: float,
        service: service_state.AgentService,
        message: Any,
        sender: Address,
    ) -> None:
        self._route_request(now, service, message, sender)
        self._handover.after_request(now, service)

    def _route_request(
        self,
        now: float,
        service: service_state.AgentService,
        message: Any,
        sender: Address,
        arrived_at: float | None = None,
    ) -> None:
        """Routes a ``Packet`` or ``Open`` that has just arrived or was queued."""
        if sender not in service.host_by_address:
            service.newest_epoch = max(service.newest_epoch, message.epoch)
        flow = self._flows.get(message.flow)
        if flow is None:
            arrival = now if arrived_at is None else arrived_at
            self._owner.on_unknown(now, service, message, sender, arrival)
        elif flow.service is service:
            self._owner.on_known(now, flow, message, sender)
        else:
            self._agent.log_decision(
                "refuse", service, flow.id, "", "other-service", always=True
            )

    def on_attach(
        self, now: float, flow: bytes, incarnation: int, resume: bool
    ) -> tuple[outputs.AttachResult, list[Any]]:
        """Answers the ``Attach`` of a relay connection."""
        result = self._holder.on_attach(now, flow, incarnation, resume)
        return result, self._agent.take_outputs()

    def on_upstream_datagram(
        self, now: float, flow: bytes, incarnation: int, payload: bytes
    ) -> list[Any]:
        """Sends an upstream's datagram on a UDP flow towards the caller."""
        self._holder.on_upstream_datagram(now, flow, incarnation, payload)
        return self._agent.take_outputs()

    def on_ended(
        self,
        now: float,
        flow: bytes,
        incarnation: int,
        ok: bool,
        ran: bool = True,
    ) -> list[Any]:
        """Ends a flow whose relay connection or UDP socket has closed.

        Args:
            now: Time in seconds.
            flow: Flow id.
            incarnation: Placement incarnation.
            ok: True if the flow ended without an error.
            ran: False if the upstream could not be reached.
        """
        self._holder.on_ended(now, flow, incarnation, ok, ran)
        return self._agent.take_outputs()

    # Messages between agents.

    def _on_witness(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.Witness,
        sender: Address,
    ) -> None:
        witness_entries.store_entry(self._agent, now, service, msg, sender)
        if self._next_sweep_at is None:
            self._next_sweep_at = now + self._agent.window_s

    def _on_load_report(
        self,
        now: float,
        service: service_state.AgentService,
        msg: messages.LoadReport,
        sender: Address,
    ) -> None:
        service.record_load(now, msg.load)

    # Timers.

    def next_timer(self) -> float | None:
        """Returns the time of the next ``on_timer`` call, or None."""
        times = [
            self._agent.next_retransmission(),
            self._agent.directory.next_expiry_time(),
            self._holder.next_timer(),
            self._next_report_at,
            self._handover.release_at,
            self._next_sweep_at,
        ]
        for service in self._agent.services.values():
            times.append(
                0.0 if service.building else service.ownership.query_at
            )
        return min((t for t in times if t is not None), default=None)

    def on_timer(self, now: float) -> list[Any]:
        """Expires flows and runs due builds, retransmissions and reports."""
        self._agent.detect_pause(now, False)
        for service in self._agent.services.values():
            if service.building:
                self._step_build(now, service)
        self._agent.directory.remove_expired(now)
        self._holder.on_timer(now)
        for flow in self._agent.take_due_retransmissions(now):
            self._placer.on_timer(now, flow)
        if self._next_report_at is not None and self._next_report_at <= now:
            self._next_report_at = now + LOAD_REPORT_INTERVAL_S
            self._agent.detect_pause(now, True)
            self._report_loads()
        if (
            self._handover.release_at is not None
            and self._handover.release_at <= now
        ):
            self._handover.release_queued(now)
        if self._next_sweep_at is not None and self._next_sweep_at <= now:
            self._next_sweep_at = now + self._agent.window_s
            witness_entries.drop_unrefreshed(self._agent, now)
        self._handover.send_queries(now, True)
        return self._agent.take_outputs()

    def _report_loads(self) -> None:
        """Sends each upstream's load to the next few members in rotation."""
        upstreams = list(self._agent.upstreams.values())
        if not upstreams:
            return
        count = max(1, MAX_REPORTS_PER_INTERVAL // len(upstreams))
        self._report_rotation += count
        for upstream in upstreams:
            service = upstream.service
            peers = sorted(service.live_hosts - {self._agent.host})
            if not peers:
                continue
            report = messages.LoadReport(
                service.key, upstream.admission.load(), service.epoch
            )
            for offset in range(min(count, len(peers))):
                peer = peers[(self._report_rotation + offset) % len(peers)]
                self._agent.send_host(service, peer, report)
