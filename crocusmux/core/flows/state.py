"""State that the owner's and the holder's part of an agent share."""

import heapq
import itertools
import random
from typing import Any

from crocusmux import addresses
from crocusmux import decisions
from crocusmux import messages
from crocusmux import objects
from crocusmux.core.flows import directory
from crocusmux.core.flows import service
from crocusmux.core.load import admission
from crocusmux.core.load import retry

# Repetition of unanswered Place, Witness and Closed messages, seconds.
REPEAT_BASE_S = 0.05
REPEAT_LIMIT_S = 0.8
MAX_TRIES = 6
# Agents that a packet may pass before it is dropped.
MAX_HOPS = 4
# A process that missed its tick for so long was paused, seconds.
PAUSE_S = 5.0
# Time to read what waited in the socket through a pause, seconds.
STALE_S = 1.0
# Rank of a packet that goes to the flow's holder, not to the slot's owner.
TO_HOLDER = -1

Address = tuple[str, int]


class Local:
    """An upstream of this host.

    Attributes:
        cfg: The upstream.
        service: State of its service.
        admission: Its admission.
    """

    __slots__ = ("admission", "cfg", "service")

    def __init__(
        self,
        cfg: objects.Upstream,
        svc: service.ServiceState,
        control: admission.Admission,
    ) -> None:
        self.cfg = cfg
        self.service = svc
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
        "_timers",
        "balancers",
        "directory",
        "draining",
        "host",
        "incarnation",
        "lost_balancers",
        "out",
        "rng",
        "services",
        "stale_until",
        "suspected",
        "upstreams",
        "window",
    )

    def __init__(
        self, host: str, incarnation: int, rng: random.Random, window: float
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.rng = rng
        self.window = window
        self.directory = directory.Directory()
        self.services: dict[int, service.ServiceState] = {}
        self.upstreams: dict[tuple[int, str], Local] = {}
        self.suspected: dict[str, float] = {}
        self.balancers: tuple[Address, ...] = ()
        self.lost_balancers: frozenset[Address] = frozenset()
        self.draining = False
        self.stale_until = 0.0
        self._last_tick: float | None = None
        self.out: list[Any] = []
        self._timers: list[tuple[float, int, directory.Flow]] = []
        self._order = itertools.count()

    def tick(self, now: float, regular: bool) -> None:
        """Notices that the process was paused.

        Messages that waited in the socket meanwhile may be older than the
        tombstone of the flow that they open, so nothing that could run at-most-once work
        is taken from what is read at first.

        Args:
            now: Time in seconds.
            regular: True if this is the tick that comes each second.
        """
        if self._last_tick is not None and now - self._last_tick > PAUSE_S:
            self.stale_until = now + STALE_S
            self._last_tick = now
        if regular:
            self._last_tick = now

    def take_outputs(self) -> list[Any]:
        """Returns the outputs collected so far and starts a new list."""
        out, self.out = self.out, []
        return out

    def send(self, to: Address | None, message: Any) -> None:
        """Sends a message; drops it if the address is not known."""
        if to is not None:
            self.out.append(messages.Send(to, message))

    def send_host(
        self, svc: service.ServiceState, host: str, message: Any
    ) -> None:
        """Sends a message to a member."""
        self.send(svc.addresses.get(host), message)

    def decide(
        self,
        what: str,
        svc: service.ServiceState,
        flow: bytes,
        upstream: str,
        reason: str,
        always: bool = False,
    ) -> None:
        """Adds a line to the decision log."""
        self.out.append(
            decisions.Decision(
                what, flow, svc.name, upstream, reason, svc.epoch, always
            )
        )

    def repeat(self, now: float, flow: directory.Flow) -> None:
        """Schedules the repetition of a flow's unanswered request."""
        pending = flow.pending
        if pending is None:
            return
        pending.tries += 1
        pending.due = now + retry.backoff(
            self.rng, pending.tries, REPEAT_BASE_S, REPEAT_LIMIT_S
        )
        heapq.heappush(self._timers, (pending.due, next(self._order), flow))

    def next_repeat(self) -> float | None:
        """Returns when the next repetition is due, or None."""
        return self._timers[0][0] if self._timers else None

    def due_repeats(self, now: float) -> list[directory.Flow]:
        """Returns the flows whose request is to be repeated."""
        due = []
        while self._timers and self._timers[0][0] <= now:
            at, _, flow = heapq.heappop(self._timers)
            pending = flow.pending
            if pending is not None and pending.due == at:
                due.append(flow)
        return due

    def note_result(
        self, now: float, flow: directory.Flow, outcome: str
    ) -> None:
        """Tells the placement how work went that was placed here."""
        work = flow.service.work_class(flow.id)
        if work is None or work.kind == "long" or not flow.upstream:
            return
        flow.service.placement.record_result(
            now,
            flow.upstream,
            work.name,
            outcome,
            now - flow.since,
            as_text(flow.via),
        )

    def tell(self, flow: directory.Flow, to: Address | None) -> None:
        """Answers a balancer with the outcome of an ended flow.

        Nothing keeps a late copy of a datagram from being run if its class
        is idempotent or long, so for these no refusal claims "not run".
        """
        if flow.udp:
            outcome = flow.outcome
            work = flow.service.work_class(flow.id)
            if outcome == messages.REFUSED and (
                work is None or not service.at_most_once(work)
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

    def tell_placed(self, flow: directory.Flow, to: Address | None) -> None:
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


def via_of(message: Any, sender: Address) -> Address:
    """Returns the balancer that a packet or ``Open`` came from."""
    return addresses.split(message.via) if message.via else sender


def as_text(address: Address | None) -> str:
    """Returns an address as ``ip:port``."""
    return f"{address[0]}:{address[1]}" if address else ""
