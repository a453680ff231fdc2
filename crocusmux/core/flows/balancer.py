"""Decisions of a balancer.

A balancer keeps no flow state that anything depends on: it computes the
owner of a flow's hash slot from the membership and sends the packet there.
What it keeps of a flow being opened is lost with its TCP connection anyway.
"""

from collections.abc import Iterator
import random
from typing import Any

import msgspec

from crocusmux import decisions
from crocusmux import messages
from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.flows import balancer_outputs
from crocusmux.core.flows import balancer_state
from crocusmux.core.flows import liveness
from crocusmux.core.flows import opening
from crocusmux.core.flows import slots
from crocusmux.core.load import retry
from crocusmux.core.load import shedding

# Ranks tried when owners are suspected.
MAX_RANK = 3
# Failures after which another holder may well take the work.
RETRIED = frozenset(("holder-unreachable", "upstream-unreachable"))
# Refusals of an owner whose holder or witness did not answer.  A TCP flow
# runs only if its balancer attaches, so after these it never ran.
SILENT = frozenset(("holder-silent", "no-witness"))
# Refusals that say nothing about capacity; the others make a balancer shed.
NOT_CAPACITY = frozenset(
    (
        "draining",
        "fenced",
        "no-lease",
        "no-upstream",
        "not-attached",
        "unknown-class",
        "unknown-flow",
        *RETRIED,
        *SILENT,
    )
)
_OF_SERVICE = (objects.SERVICE_PREFIX, objects.MEMBERSHIP_PREFIX)
RETRY_BASE_S = 0.02
RETRY_LIMIT_S = 0.5


class BalancerCore:
    """Routing of datagrams and opening of flows.

    Attributes:
        host: Name of the entry host.
        peers: Agents and their liveness.
        counters: Plain counters.
    """

    def __init__(self, host: str, rng: random.Random) -> None:
        self.host = host
        self.peers = liveness.Peers()
        self.counters = balancer_state.Counters()
        self._rng = rng
        self._store = config_store.ConfigStore()
        self._services: dict[str, balancer_state.ServiceState] = {}
        self._applied: dict[str, int] = {}
        self._addresses: dict[bytes, balancer_state.AddressState] = {}
        self._pending: dict[bytes, opening.PendingOpen] = {}
        self._shedder = shedding.Shedder(rng)

    # Configuration.

    def apply(
        self, now: float, store: config_store.ConfigStore
    ) -> Iterator[None]:
        """Takes a changed configuration, in steps of about 2 ms.

        Until the last step the tables from before stay in use.

        Args:
            now: Time in seconds.
            store: The configuration.

        Yields:
            None after each step.
        """
        del now
        self._store = store
        changed = self._changed(store)
        yield
        for name in changed:
            service = store.service(name)
            if service is None:
                continue
            self._take_service(service)
            members = liveness.members_of(store.membership(name))
            yield from self.peers.take(name, members)
            yield from self._rebuild(self._services[name], store)

    def _changed(self, store: config_store.ConfigStore) -> list[str]:
        """Returns the services whose object or membership has changed."""
        names = set()
        for key, version in store.version_by_key().items():
            if self._applied.get(key) == version:
                continue
            self._applied[key] = version
            kind, _, name = key.partition("/")
            if kind + "/" in _OF_SERVICE:
                names.add(name)
        return sorted(names)

    def addresses(self) -> list[balancer_state.AddressState]:
        """Returns the service addresses to serve."""
        return list(self._addresses.values())

    def address(
        self, service: str, name: str
    ) -> balancer_state.AddressState | None:
        """Returns a service address by the names of service and address."""
        return self._addresses.get(slots.address_key(service, name))

    def _take_service(self, service: objects.Service) -> None:
        """Takes a service's object; its table follows."""
        state = self._services.get(service.name)
        if state is None or state.hash_slots != service.hash_slots:
            state = balancer_state.ServiceState(
                service.name, service.hash_slots
            )
        elif state.config is service:
            return
        self._services[service.name] = state
        if state.config is not None:
            for known in state.config.addresses:
                key = slots.address_key(service.name, known.name)
                self._addresses.pop(key, None)
        for address in service.addresses:
            added = balancer_state.AddressState(address, state)
            self._addresses[added.key] = added
        state.config = service

    def _rebuild(
        self,
        state: balancer_state.ServiceState,
        store: config_store.ConfigStore,
    ) -> Iterator[None]:
        membership = store.membership(state.name)
        epoch = store.epoch(state.name)
        if membership is not None and epoch != state.table.epoch:
            hosts = balancer_state.owning_hosts(membership)
            yield
            steps = slots.build_steps(
                state.table, epoch, state.hash_slots, hosts
            )
            for table in steps:
                if table is None:
                    yield
                else:
                    state.table = table
        # In the same step as the table: a packet must not carry the new epoch
        # to an owner of the old one.
        self._resolve(state)
        yield

    def _resolve(self, state: balancer_state.ServiceState) -> None:
        known = {host: self.peers.get(host) for host in state.table.members}
        state.targets = [known[host] for host in state.table.owners]
        state.degraded = any(
            peer is not None and peer.suspected for peer in known.values()
        )

    # Datagrams of callers.

    def on_datagram(
        self,
        now: float,
        address: balancer_state.AddressState,
        caller: tuple[str, int],
        payload: bytes,
    ) -> messages.Send | None:
        """Routes a caller's datagram to the owner of its hash slot.

        Args:
            now: Time in seconds.
            address: Service address that it came to.
            caller: ``(ip, port)`` of the caller.
            payload: The datagram.

        Returns:
            The packet to send, or None if the service has no owner.
        """
        self.counters.packets_in += 1
        service = address.service
        flow = slots.udp_flow(address.key, caller)
        slot = slots.slot_of(flow, service.hash_slots)
        rank = 0
        if service.degraded:
            peer, rank = self._usable_owner(service, slot)
        else:
            peer = service.targets[slot] if service.targets else None
        if peer is None:
            self.counters.no_owner += 1
            return None
        if not peer.waiting_since:
            peer.waiting_since = now
        return messages.Send(
            peer.address,
            messages.Packet(
                service.key, flow, service.table.epoch, rank, 0, "", payload
            ),
        )

    def _usable_owner(
        self, service: balancer_state.ServiceState, slot: int
    ) -> tuple[liveness.Peer | None, int]:
        """Returns the first owner by rank that is not suspected."""
        first = None
        for rank in range(MAX_RANK):
            host = service.table.owner(slot, rank)
            peer = self.peers.get(host) if host else None
            if peer is None:
                break
            if not peer.suspected:
                return peer, rank
            first = first or peer
        return first, 0

    # Flows of TCP connections and of the library.

    def open_flow(
        self,
        now: float,
        address: balancer_state.AddressState,
        kind: bytes,
        caller: str,
        flow_id: bytes,
        resume: bool = False,
        attempt: int = 1,
        exclude: str = "",
    ) -> tuple[bytes, list[Any]]:
        """Asks for the placement of a flow.

        Args:
            now: Time in seconds.
            address: Service address.
            kind: ``messages.FLOW_TCP`` or ``messages.FLOW_LIBRARY``.
            caller: IP number of the caller.
            flow_id: 16 bytes, unique to the flow and attempt.
            resume: True if the flow must exist already.
            attempt: 1 for the first try; higher for a retry.
            exclude: Upstream to avoid.

        Returns:
            The flow id and the outputs.
        """
        service = address.service
        flow = slots.random_flow(kind, address.key, flow_id)
        name = address.config.work_class
        work = self._store.work_class(name)
        self.counters.flows_opened += 1
        if work is None:
            return flow, self._refuse(flow, service.name, "unknown-class")
        if attempt == 1 and not resume:
            service.budget.add_request(work.retry_share)
            # A library flow is not shed: this may be a copy of an opening
            # that is accepted already, so only its owner may refuse it.
            if kind != messages.FLOW_LIBRARY and not self._shedder.admit(
                now, service.key, name, work.urgency, caller
            ):
                return flow, self._refuse(flow, service.name, "shed")
        request = messages.Open(
            service=service.key,
            flow=flow,
            epoch=service.table.epoch,
            rank=0,
            hops=0,
            via="",
            work_class=name,
            caller=caller,
            deadline_ms=work.deadline_ms,
            attempt=attempt,
            exclude=exclude,
            resume=resume,
        )
        pending = opening.PendingOpen(
            now, request, service.name, work.idempotent or work.kind == "long"
        )
        pending.urgency = work.urgency
        self._pending[flow] = pending
        return flow, self._send_open(now, pending)

    def attach_failed(
        self,
        now: float,
        flow: bytes,
        sent: bool,
        reason: str,
        retry_ms: int = 0,
    ) -> list[Any]:
        """Takes note that a flow could not be attached at its holder.

        Args:
            now: Time in seconds.
            flow: Flow id.
            sent: True if ``Attach`` was sent and not refused, so the work
                may have run.
            reason: Why it failed.
            retry_ms: Earliest sensible retry of the caller.

        Returns:
            ``balancer_outputs.RetryFlow``, or the end of the flow.
        """
        pending = self._pending.pop(flow, None)
        if pending is None:
            return [
                balancer_outputs.FlowRefused(flow, messages.UNKNOWN, reason)
            ]
        if not sent:
            self._learn(now, pending, reason, retry_ms)
        outcome = messages.UNKNOWN if sent else messages.REFUSED
        may_repeat = pending.idempotent if sent else reason in RETRIED
        if may_repeat and self._may_retry(now, pending):
            return [self._retry(pending)]
        return self._end(
            flow,
            pending.service,
            outcome,
            f"attach-{reason}",
            own=reason == "holder-unreachable",
        )

    def _may_retry(self, now: float, pending: opening.PendingOpen) -> bool:
        """Takes a retry from the budget if there is reason for one."""
        service = self._services.get(pending.service)
        return (
            service is not None
            and pending.request.attempt < opening.MAX_ATTEMPTS
            and now < pending.give_up
            and service.budget.try_take(now)
        )

    def _retry(
        self, pending: opening.PendingOpen
    ) -> balancer_outputs.RetryFlow:
        wait = retry.backoff(
            self._rng, pending.request.attempt, RETRY_BASE_S, RETRY_LIMIT_S
        )
        return balancer_outputs.RetryFlow(
            pending.request.flow, wait, pending.upstream
        )

    def attached(self, now: float, flow: bytes) -> None:
        """Takes note that a flow runs at its holder."""
        pending = self._pending.pop(flow, None)
        if pending is not None:
            self._learn(now, pending, "", 0)

    def _learn(
        self,
        now: float,
        pending: opening.PendingOpen,
        refusal: str,
        retry_ms: int,
    ) -> None:
        """Tells the shedder how a request went."""
        if refusal in NOT_CAPACITY or pending.request.resume:
            return
        self._shedder.on_result(
            now,
            pending.request.service,
            pending.request.work_class,
            pending.urgency,
            bool(refusal),
            retry_ms,
        )

    def finished(self, flow: bytes) -> None:
        """Forgets a flow that is attached or that the caller gave up."""
        self._pending.pop(flow, None)

    def _send_open(self, now: float, pending: opening.PendingOpen) -> list[Any]:
        service = self._services.get(pending.service)
        flow = pending.request.flow
        if service is None:
            return self._refuse(flow, pending.service, "service-removed")
        slot = slots.slot_of(flow, service.hash_slots)
        peer, rank = self._usable_owner(service, slot)
        pending.back_off(now, self._rng)
        if peer is None:
            # Kept until it times out: the membership may be on its way.
            self.counters.no_owner += 1
            return []
        left = max(1, int((pending.give_up - now) * 1000))
        pending.request = msgspec.structs.replace(
            pending.request,
            epoch=service.table.epoch,
            rank=rank,
            deadline_ms=left if pending.request.deadline_ms else 0,
        )
        if not peer.waiting_since:
            peer.waiting_since = now
        pending.owner = peer.host
        return [messages.Send(peer.address, pending.request)]

    def _refuse(self, flow: bytes, service: str, reason: str) -> list[Any]:
        self._pending.pop(flow, None)
        return self._end(flow, service, messages.REFUSED, reason, own=True)

    def _end(
        self,
        flow: bytes,
        service: str,
        outcome: str,
        reason: str,
        own: bool = False,
    ) -> list[Any]:
        self.counters.flows_refused += 1
        return [
            balancer_outputs.FlowRefused(flow, outcome, reason, own),
            self._decision("refuse", flow, service, "", reason, always=True),
        ]

    # Messages of agents.

    def on_message(
        self, now: float, sender: tuple[str, int], message: Any
    ) -> list[Any]:
        """Takes an authentic message of an agent.

        Args:
            now: Time in seconds.
            sender: ``(ip, port)`` it came from.
            message: The message.

        Returns:
            Outputs.
        """
        back = self.peers.heard(sender)
        if back is not None:
            self._resolve_all()
        match message:
            case messages.Reply():
                return self._on_reply(message)
            case messages.Placed():
                return self._on_placed(message)
            case messages.Refused():
                return self._on_refused(now, message)
        return []

    def _on_reply(self, reply: messages.Reply) -> list[Any]:
        address = self._addresses.get(slots.key_of(reply.flow))
        if address is None or address.service.key != reply.service:
            self.counters.replies_dropped += 1
            return []
        if reply.outcome == messages.ANSWERED:
            payload = reply.payload
        elif reply.outcome == messages.REFUSED:
            payload = address.config.refusal.encode()
            if not payload:
                return []
        else:
            return []
        self.counters.replies_out += 1
        caller = slots.caller_of(reply.flow)
        return [balancer_outputs.ToCaller(address.key, caller, payload)]

    def _on_placed(self, placed: messages.Placed) -> list[Any]:
        pending = self._pending.get(placed.flow)
        if pending is None or pending.placed:
            return []
        pending.placed = True
        pending.upstream = placed.upstream
        return [
            balancer_outputs.AttachTo(
                placed.flow,
                placed.service,
                placed.relay,
                placed.incarnation,
                placed.upstream,
            ),
            self._decision(
                "route",
                placed.flow,
                pending.service,
                placed.upstream,
                f"placed-by-rank-{pending.request.rank}",
            ),
        ]

    def _on_refused(self, now: float, refused: messages.Refused) -> list[Any]:
        pending = self._pending.get(refused.flow)
        if pending is None or pending.placed:
            return []
        del self._pending[refused.flow]
        if refused.outcome == messages.REFUSED:
            self._learn(now, pending, refused.reason, refused.retry_ms)
            if (
                refused.reason in SILENT
                and refused.flow[:1] == messages.FLOW_TCP
                and self._may_retry(now, pending)
            ):
                return [self._retry(pending)]
        return self._end(
            refused.flow, pending.service, refused.outcome, refused.reason
        )

    # Time.

    def on_timer(self, now: float) -> list[Any]:
        """Sends what is due: probes, and opens without an answer."""
        outputs: list[Any] = []
        probes, lost = self.peers.on_timer(now)
        outputs += probes
        for peer in lost:
            outputs.append(
                balancer_outputs.Suspect(peer.host, peer.incarnation)
            )
            outputs.append(
                self._decision(
                    "suspect", b"", "", peer.host, "no-answer", always=True
                )
            )
        if lost:
            self._resolve_all()
            # The next rank is asked at once: the wait for an answer has grown
            # to most of a second by now.
            hosts = {peer.host for peer in lost}
            for pending in self._pending.values():
                if pending.owner in hosts:
                    pending.resend_at = now
        for pending in list(self._pending.values()):
            if pending.placed:
                continue
            if now >= pending.give_up:
                outputs += self._refuse(
                    pending.request.flow, pending.service, "open-timeout"
                )
            elif now >= pending.resend_at:
                outputs += self._send_open(now, pending)
        return outputs

    def _resolve_all(self) -> None:
        for service in self._services.values():
            self._resolve(service)

    def _decision(
        self,
        what: str,
        flow: bytes,
        service: str,
        upstream: str,
        reason: str,
        always: bool = False,
    ) -> decisions.Decision:
        return decisions.Decision(
            what,
            flow,
            service,
            upstream,
            reason,
            self._store.epoch(service) if service else 0,
            always,
        )

    # Explanation.

    def explain(self, service: str, address: str, caller: str) -> str:
        """Returns where a UDP flow goes, and why.

        Args:
            service: Name of the service.
            address: Name of the service address.
            caller: ``ip:port`` of the caller.
        """
        state = self.address(service, address)
        if state is None:
            return f"unknown service address {service}/{address}"
        ip, _, port = caller.rpartition(":")
        if not ip or not port.isdigit():
            return f"caller {caller!r} is not ip:port"
        flow = slots.udp_flow(state.key, (ip, int(port)))
        slot = slots.slot_of(flow, state.service.hash_slots)
        ranks = [state.service.table.owner(slot, r) for r in range(MAX_RANK)]
        peer, rank = self._usable_owner(state.service, slot)
        chosen = peer.host if peer else "-"
        return (
            f"flow={decisions.show_flow(flow)} hash_slot={slot} "
            f"owners={','.join(h for h in ranks if h) or '-'} "
            f"sent_to={chosen} rank={rank} "
            f"epoch={state.service.table.epoch}"
        )
