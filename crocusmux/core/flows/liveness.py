"""Failure detection of agents by one terminating balancer.

Any message of an agent counts as a heartbeat.  Only an agent that was sent a
message and stays silent is probed, so an idle or healthy fleet needs no
probes.
"""

from collections.abc import Iterable, Iterator

from crocusmux import addresses
from crocusmux import messages
from crocusmux import objects

# Silence of an agent after a message to it before the first probe.
SILENCE_S = 0.25
# Interval between probes of an agent.
PROBE_INTERVAL_S = 0.15
# Unanswered probes after which an agent is suspected; silence and probes take
# 0.7 s, below the limit of 1 s in the design.
PROBES_TO_SUSPECT = 3
# Interval between probes of a suspected agent.
SUSPECT_PROBE_INTERVAL_S = 0.5
# Rate limit of a balancer's probes: bounds the control traffic when a failure
# domain is lost.  The burst covers 300 agents.
PROBES_PER_S = 50.0
PROBE_BURST = 1000.0
# Agents updated between two yields to the event loop; about 1 ms.
AGENTS_PER_STEP = 250


class Agent:
    """An agent with the state of its failure detection.

    Attributes:
        host: Host of the agent.
        address: ``(ip, port)`` of its UDP socket.
        incarnation: Agent incarnation in the membership.
        failure_domain: Failure domain of the host.
        waiting_since: Time of the first message sent since the agent's last
            message; 0.0 if there is none.
        probes: Unanswered probes.
        next_probe_at: Time of the next probe.
        suspected: True from the last unanswered probe until the next message.
    """

    __slots__ = (
        "address",
        "failure_domain",
        "host",
        "incarnation",
        "next_probe_at",
        "probes",
        "suspected",
        "waiting_since",
    )

    def __init__(
        self,
        host: str,
        address: tuple[str, int],
        incarnation: int,
        failure_domain: str,
    ) -> None:
        self.host = host
        self.address = address
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.waiting_since = 0.0
        self.probes = 0
        self.next_probe_at = 0.0
        self.suspected = False

    def reset(self, peer: "Agent") -> None:
        """Resets the state for a newer incarnation or another address."""
        self.address = peer.address
        self.incarnation = peer.incarnation
        self.failure_domain = peer.failure_domain
        self.waiting_since = 0.0
        self.probes = 0
        self.next_probe_at = 0.0
        self.suspected = False


class FailureDetector:
    """Probes and suspects the agents that a balancer sends to."""

    __slots__ = (
        "_by_address",
        "_by_host",
        "_hosts_by_service",
        "_nonce",
        "_refilled_at",
        "_services_by_host",
        "_tokens",
    )

    def __init__(self) -> None:
        self._by_host: dict[str, Agent] = {}
        self._by_address: dict[tuple[str, int], Agent] = {}
        # Hosts by service, and services by host.
        self._hosts_by_service: dict[str, set[str]] = {}
        self._services_by_host: dict[str, set[str]] = {}
        self._nonce = 0
        self._tokens = PROBE_BURST
        self._refilled_at = 0.0

    def get(self, host: str) -> Agent | None:
        """Returns the agent of a host."""
        return self._by_host.get(host)

    def agents_by_address(self) -> dict[tuple[str, int], Agent]:
        """Returns the agents by ``(ip, port)``."""
        return self._by_address

    def suspected_agents(self) -> list[Agent]:
        """Returns the suspected agents."""
        return [peer for peer in self._by_host.values() if peer.suspected]

    def update_members(
        self, service: str, agents: Iterable[Agent]
    ) -> Iterator[None]:
        """Updates the agents of one service's membership, in steps.

        A known agent keeps its object, so that routes to it stay valid; a
        newer incarnation or another address resets its state.

        Args:
            service: Name of the service.
            agents: Agents in the membership of the service.

        Yields:
            None after each ``AGENTS_PER_STEP`` agents.
        """
        hosts = set()
        for count, peer in enumerate(agents, 1):
            hosts.add(peer.host)
            self._update_agent(peer)
            if count % AGENTS_PER_STEP == 0:
                yield
        for host in self._hosts_by_service.get(service, set()) - hosts:
            services = self._services_by_host[host]
            services.discard(service)
            if not services:
                del self._services_by_host[host]
                peer = self._by_host.pop(host)
                self._by_address.pop(peer.address, None)
        for host in hosts:
            self._services_by_host.setdefault(host, set()).add(service)
        self._hosts_by_service[service] = hosts

    def _update_agent(self, peer: Agent) -> None:
        known_agent = self._by_host.get(peer.host)
        if known_agent is None:
            self._by_host[peer.host] = peer
            self._by_address[peer.address] = peer
            return
        # The memberships of several services show a restart at different
        # times; incarnations only increase.
        if peer.incarnation < known_agent.incarnation:
            return
        same_address = peer.address == known_agent.address
        if same_address and peer.incarnation == known_agent.incarnation:
            return
        self._by_address.pop(known_agent.address, None)
        known_agent.reset(peer)
        self._by_address[known_agent.address] = known_agent

    def on_message_from(self, address: tuple[str, int]) -> Agent | None:
        """Records a message of an agent as a heartbeat.

        Args:
            address: ``(ip, port)`` of the sender.

        Returns:
            The agent if it was suspected until now, else None.
        """
        peer = self._by_address.get(address)
        if peer is None:
            return None
        peer.waiting_since = 0.0
        peer.probes = 0
        if peer.suspected:
            peer.suspected = False
            return peer
        return None

    def on_timer(self, now: float) -> tuple[list[messages.Send], list[Agent]]:
        """Probes silent agents.

        Returns:
            The probes to send, and the agents suspected from now on.
        """
        probes: list[messages.Send] = []
        newly_suspected: list[Agent] = []
        self._refill_tokens(now)
        for peer in self._by_host.values():
            due = peer.suspected or (
                0.0 < peer.waiting_since <= now - SILENCE_S
            )
            if not due or now < peer.next_probe_at:
                continue
            if peer.probes >= PROBES_TO_SUSPECT and not peer.suspected:
                peer.suspected = True
                newly_suspected.append(peer)
            if self._tokens < 1:
                continue
            self._tokens -= 1
            probes.append(self._make_probe(now, peer))
        return probes, newly_suspected

    def _make_probe(self, now: float, peer: Agent) -> messages.Send:
        self._nonce += 1
        peer.probes += 1
        interval = (
            SUSPECT_PROBE_INTERVAL_S if peer.suspected else PROBE_INTERVAL_S
        )
        peer.next_probe_at = now + interval
        return messages.Send(
            peer.address, messages.Ping(service=0, nonce=self._nonce)
        )

    def _refill_tokens(self, now: float) -> None:
        tokens = self._tokens + (now - self._refilled_at) * PROBES_PER_S
        self._tokens = min(PROBE_BURST, tokens)
        self._refilled_at = now


def agents_of(membership: objects.Membership | None) -> Iterator[Agent]:
    """Yields the agents of a membership."""
    for member in membership.members if membership else ():
        yield Agent(
            member.host,
            addresses.split(member.agent),
            member.incarnation,
            member.failure_domain,
        )
