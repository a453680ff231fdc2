"""State that the owner's and the holder's part of an agent share."""

import heapq
import itertools
import random
from typing import Any

from crocusmux import addresses
from crocusmux import decisions
from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import flow_directory
from crocusmux.core.flows import service_state
from crocusmux.core.load import admission
from crocusmux.core.load import retry

# Repetition of unanswered Place, Witness and Closed messages, seconds.
RETRANSMIT_BASE_S = 0.05
RETRANSMIT_LIMIT_S = 0.8
MAX_TRANSMISSIONS = 6
# Agents that a packet may pass before it is dropped.
MAX_HOPS = 4
# A process that missed its tick for so long was paused, seconds.
PAUSE_THRESHOLD_S = 5.0
# Time to read what waited in the socket through a pause, seconds.
STALE_INPUT_S = 1.0
# Rank of a packet that goes to the flow's holder, not to the slot's owner.
HOLDER_RANK = -1

Address = tuple[str, int]


class LocalUpstream:
    """An upstream of this host.

    Attributes:
        cfg: The upstream.
        service: State of its service.
        admission: Its admission.
    """

    __slots__ = ("admission", "config", "service")

    def __init__(
        self,
        cfg: objects.Upstream,
        service: service_state.AgentService,
        control: admission.Admission,
    ) -> None:
        self.config = cfg
        self.service = service
        self.admission = control


class AgentState:
    """Directory, services, upstreams and outputs of one agent.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the agent.
        rng: Random numbers.
        window: Retransmit window, seconds.
        directory: Entries of all flows.
        services: Services by key.
        upstreams: Upstreams of this host, by service key and name.
        suspected: Suspected hosts, with the time of the suspicion.
        balancers: Addresses of balancers that are alive, as far as known.
        lost_balancers: Addresses of balancers that stopped or went silent.
        stale_until: Until then messages may have waited through a pause.
        draining: True once the agent takes no new work.
        out: Outputs of the current input.
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
        self.directory = flow_directory.FlowDirectory()
        self.services: dict[int, service_state.AgentService] = {}
        self.upstreams: dict[tuple[int, str], LocalUpstream] = {}
        self.suspected_since: dict[str, float] = {}
        self.live_balancers: tuple[Address, ...] = ()
        self.lost_balancers: frozenset[Address] = frozenset()
        self.draining = False
        self.stale_until = 0.0
        self._last_tick: float | None = None
        self.outputs: list[Any] = []
        self._retransmissions: list[tuple[float, int, flow_directory.Flow]] = []
        self._order = itertools.count()

    def detect_pause(self, now: float, regular: bool) -> None:
        """Notices that the process was paused.

        Messages that waited in the socket meanwhile may be older than the
        tombstone of the flow that they open, so nothing that could run at-most-once work
        is taken from what is read at first.

        Args:
            now: Time in seconds.
            regular: True if this is the tick that comes each second.
        """
        if (
            self._last_tick is not None
            and now - self._last_tick > PAUSE_THRESHOLD_S
        ):
            self.stale_until = now + STALE_INPUT_S
            self._last_tick = now
        if regular:
            self._last_tick = now

    def take_outputs(self) -> list[Any]:
        """Returns the outputs collected so far and starts a new list."""
        out, self.outputs = self.outputs, []
        return out

    def send(self, to: Address | None, message: Any) -> None:
        """Sends a message; drops it if the address is not known."""
        if to is not None:
            self.outputs.append(messages.Send(to, message))

    def send_to_host(
        self, service: service_state.AgentService, host: str, message: Any
    ) -> None:
        """Sends a message to a member."""
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
        """Adds a line to the decision log."""
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

    def schedule_retransmission(
        self, now: float, flow: flow_directory.Flow
    ) -> None:
        """Schedules the repetition of a flow's unanswered request."""
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
        """Returns when the next repetition is due, or None."""
        return self._retransmissions[0][0] if self._retransmissions else None

    def take_due_retransmissions(self, now: float) -> list[flow_directory.Flow]:
        """Returns the flows whose request is to be repeated."""
        due_flows = []
        while self._retransmissions and self._retransmissions[0][0] <= now:
            scheduled_at, _, flow = heapq.heappop(self._retransmissions)
            pending = flow.pending
            if pending is not None and pending.retransmit_at == scheduled_at:
                due_flows.append(flow)
        return due_flows

    def record_result(
        self, now: float, flow: flow_directory.Flow, outcome: str
    ) -> None:
        """Tells the placement how work went that was placed here."""
        work_class = flow.service.work_class(flow.id)
        if work_class is None or work_class.kind == "long" or not flow.upstream:
            return
        flow.service.placement.result(
            now,
            flow.upstream,
            work_class.name,
            outcome,
            now - flow.changed_at,
            format_address(flow.balancer),
        )

    def send_outcome(
        self, flow: flow_directory.Flow, to: Address | None
    ) -> None:
        """Answers a balancer with the outcome of an ended flow.

        Nothing keeps a late copy of a datagram from being run if its class
        is idempotent or long, so for these no refusal claims "not run".
        """
        if flow.is_udp:
            outcome = flow.outcome
            work_class = flow.service.work_class(flow.id)
            if outcome == messages.REFUSED and (
                work_class is None
                or not service_state.is_at_most_once(work_class)
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

    def send_placed(
        self, flow: flow_directory.Flow, to: Address | None
    ) -> None:
        """Answers an ``Open`` with the place of the flow."""
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
    """Returns the balancer that a packet or ``Open`` came from."""
    return addresses.split(message.via) if message.via else sender


def format_address(address: Address | None) -> str:
    """Returns an address as ``ip:port``."""
    return f"{address[0]}:{address[1]}" if address else ""
