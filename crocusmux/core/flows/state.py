"""State and outputs that the owner and holder roles of an agent share."""

import heapq
import itertools
import random
from typing import Any

from crocusmux import addresses
from crocusmux import decisions
from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import flow_directory as directory
from crocusmux.core.flows import service_state
from crocusmux.core.load import admission
from crocusmux.core.load import retry

# Backoff between transmissions of unanswered Place, Witness and Closed.
RETRANSMIT_BASE_S = 0.05
RETRANSMIT_LIMIT_S = 0.8
MAX_TRANSMISSIONS = 6
# Forwarding steps between agents after which a packet is dropped.
MAX_HOPS = 4
# Time since the last regular tick that shows that the process was paused.
PAUSE_S = 5.0
# Time to drain the messages that the socket received during a pause.
STALE_INPUT_S = 1.0
# Rank of a packet that goes to the flow's holder, not to the slot's owner.
HOLDER_RANK = -1

Address = tuple[str, int]


class LocalUpstream:
    """An upstream of this host.

    Attributes:
        config: The upstream's configuration.
        service: State of the upstream's service.
        admission: Admission control of the upstream.
    """

    __slots__ = ("admission", "config", "service")

    def __init__(
        self,
        config: objects.Upstream,
        service: service_state.AgentService,
        upstream_admission: admission.Admission,
    ) -> None:
        self.config = config
        self.service = service
        self.admission = upstream_admission


class AgentState:
    """Flow directory, services, upstreams and outputs of one agent.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the agent.
        rng: Random number generator.
        window_s: Retransmit window, in seconds.
        directory: Entries of all flows.
        services: Services by key.
        upstreams: Upstreams of this host, by service key and name.
        suspected_since: Suspected hosts with the start of the suspicion.
        live_balancers: Addresses of balancers that are known to be alive.
        lost_balancers: Addresses of balancers that stopped or went silent.
        stale_until: Until this time, messages may be older than a pause.
        draining: True once the agent accepts no new work.
        outputs: Outputs of the current input.
    """

    __slots__ = (
        "_last_tick",
        "_order",
        "_retransmissions",
        "directory",
        "draining",
        "host",
        "incarnation",
        "live_balancers",
        "lost_balancers",
        "outputs",
        "rng",
        "services",
        "stale_until",
        "suspected_since",
        "upstreams",
        "window_s",
    )

    def __init__(
        self, host: str, incarnation: int, rng: random.Random, window_s: float
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.rng = rng
        self.window_s = window_s
        self.directory = directory.FlowDirectory()
        self.services: dict[int, service_state.AgentService] = {}
        self.upstreams: dict[tuple[int, str], LocalUpstream] = {}
        self.suspected_since: dict[str, float] = {}
        self.live_balancers: tuple[Address, ...] = ()
        self.lost_balancers: frozenset[Address] = frozenset()
        self.draining = False
        self.stale_until = 0.0
        self._last_tick: float | None = None
        self.outputs: list[Any] = []
        self._retransmissions: list[tuple[float, int, directory.Flow]] = []
        self._order = itertools.count()

    def detect_pause(self, now: float, regular: bool) -> None:
        """Detects a pause of the process and sets ``stale_until`` after it.

        A message that waited in the socket may be older than the tombstone
        of its flow, so it must not start non-idempotent work.  ``regular`` is
        True for the tick that comes every second.
        """
        if self._last_tick is not None and now - self._last_tick > PAUSE_S:
            self.stale_until = now + STALE_INPUT_S
            self._last_tick = now
        if regular:
            self._last_tick = now

    def take_outputs(self) -> list[Any]:
        """Returns the outputs collected so far and starts a new list."""
        out, self.outputs = self.outputs, []
        return out

    def send(self, to: Address | None, message: Any) -> None:
        """Sends a message; drops it if the address is None."""
        if to is not None:
            self.outputs.append(messages.Send(to, message))

    def send_host(
        self, service: service_state.AgentService, host: str, message: Any
    ) -> None:
        """Sends a message to the agent of a member."""
        self.send(service.address_by_host.get(host), message)

    def log_decision(
        self,
        what: str,
        service: service_state.AgentService,
        flow: bytes,
        upstream: str,
        reason: str,
        always: bool = False,
    ) -> None:
        """Adds a decision to the outputs, for the decision log."""
        self.outputs.append(
            decisions.Decision(
                what,
                flow,
                service.name,
                upstream,
                reason,
                service.epoch,
                always,
            )
        )

    def retransmit_later(self, now: float, flow: directory.Flow) -> None:
        """Schedules the next transmission of a flow's unanswered request."""
        pending = flow.pending
        if pending is None:
            return
        pending.transmissions += 1
        pending.retransmit_at = now + retry.backoff(
            self.rng,
            pending.transmissions,
            RETRANSMIT_BASE_S,
            RETRANSMIT_LIMIT_S,
        )
        heapq.heappush(
            self._retransmissions,
            (pending.retransmit_at, next(self._order), flow),
        )

    def next_retransmission(self) -> float | None:
        """Returns the time of the next retransmission, or None."""
        return self._retransmissions[0][0] if self._retransmissions else None

    def take_due_retransmissions(self, now: float) -> list[directory.Flow]:
        """Removes and returns the flows whose retransmission is due."""
        due_flows = []
        while self._retransmissions and self._retransmissions[0][0] <= now:
            scheduled_at, _, flow = heapq.heappop(self._retransmissions)
            pending = flow.pending
            if pending is not None and pending.retransmit_at == scheduled_at:
                due_flows.append(flow)
        return due_flows

    def record_result(
        self, now: float, flow: directory.Flow, outcome: str
    ) -> None:
        """Reports the result of a flow placed by this agent to placement."""
        work = flow.service.work_class(flow.id)
        if work is None or work.kind == "long" or not flow.upstream:
            return
        flow.service.placement.record_result(
            now,
            flow.upstream,
            work.name,
            outcome,
            now - flow.changed_at,
            format_address(flow.balancer),
        )

    def send_outcome(self, flow: directory.Flow, to: Address | None) -> None:
        """Sends the outcome of an ended flow to a balancer.

        A delayed duplicate of a datagram may still run if its class is
        idempotent or long; the outcome of these is never "not run".
        """
        if flow.is_udp:
            outcome = flow.outcome
            work = flow.service.work_class(flow.id)
            if outcome == messages.REFUSED and (
                work is None or not service_state.at_most_once(work)
            ):
                outcome = messages.UNKNOWN
            if flow.outcome != messages.ANSWERED:
                reply = messages.Reply(
                    flow.service.key,
                    flow.id,
                    flow.incarnation,
                    outcome,
                    b"",
                    flow.reason,
                )
                self.send(to, reply)
            return
        retry_ms = flow.pending.retry_ms if flow.pending else 0
        refused = messages.Refused(
            flow.service.key,
            flow.id,
            flow.incarnation,
            flow.outcome,
            flow.reason,
            retry_ms,
        )
        self.send(to, refused)

    def send_placed(self, flow: directory.Flow, to: Address | None) -> None:
        """Answers an ``Open`` with the upstream and relay of the flow."""
        member = flow.service.members.get(flow.holder)
        if member is None:
            return
        placed = messages.Placed(
            flow.service.key,
            flow.id,
            flow.incarnation,
            flow.upstream,
            member.relay,
        )
        self.send(to, placed)


def balancer_address(message: Any, sender: Address) -> Address:
    """Returns the address of the balancer that sent a packet or ``Open``."""
    return addresses.split(message.via) if message.via else sender


def format_address(address: Address | None) -> str:
    """Returns an address as ``ip:port``."""
    return f"{address[0]}:{address[1]}" if address else ""
