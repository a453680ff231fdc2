"""Liveness of agents as one balancer sees it.

Traffic is the heartbeat: an agent that answers is alive.  Only an agent that
got something and stays silent is probed, so an idle or a healthy fleet costs
no probes.
"""

from collections.abc import Iterable, Iterator

from crocusmux import addresses
from crocusmux import messages
from crocusmux import objects

# Silence after which an agent that was sent something is probed, seconds.
SILENCE_S = 0.25
# Time between probes of one agent, seconds.
PROBE_EVERY_S = 0.15
# Unanswered probes that make an agent suspected; silence and probes together
# take 0.7 s, below the 1 s that the design allows.
PROBES_TO_SUSPECT = 3
# Time between probes of a suspected agent, seconds.
SUSPECT_PROBE_EVERY_S = 0.5
# Probes a balancer may send a second; keeps control traffic within bounds
# when a failure domain is lost.  The burst covers 300 agents at once.
PROBES_PER_S = 50.0
PROBE_BURST = 1000.0
# Agents taken between two turns of the loop; about 1 ms.
TAKEN_AT_ONCE = 250


class MonitoredAgent:
    """An agent, and when it was last heard.

    Attributes:
        host: Host of the agent.
        address: ``(ip, port)`` of its UDP socket.
        incarnation: Incarnation in the membership.
        failure_domain: Failure domain of the host.
        waiting_since: When something was sent that is not yet answered by
            any message; 0.0 if nothing is.
        probes: Unanswered probes.
        next_probe: When the next probe is due.
        suspected: True from the last unanswered probe until heard again.
    """

    __slots__ = (
        "address",
        "failure_domain",
        "host",
        "incarnation",
        "next_probe",
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
        self.next_probe = 0.0
        self.suspected = False

    def renew(self, peer: "MonitoredAgent") -> None:
        """Takes the place of an earlier incarnation or address."""
        self.address = peer.address
        self.incarnation = peer.incarnation
        self.failure_domain = peer.failure_domain
        self.waiting_since = 0.0
        self.probes = 0
        self.next_probe = 0.0
        self.suspected = False


class FailureDetector:
    """All agents that a balancer sends to."""

    __slots__ = (
        "_by_address",
        "_by_host",
        "_listed",
        "_nonce",
        "_tokens",
        "_tokens_at",
        "_users",
    )

    def __init__(self) -> None:
        self._by_host: dict[str, MonitoredAgent] = {}
        self._by_address: dict[tuple[str, int], MonitoredAgent] = {}
        # Hosts of each service, and services of each host.
        self._listed: dict[str, set[str]] = {}
        self._users: dict[str, set[str]] = {}
        self._nonce = 0
        self._tokens = PROBE_BURST
        self._tokens_at = 0.0

    def get(self, host: str) -> MonitoredAgent | None:
        """Returns the agent of a host."""
        return self._by_host.get(host)

    def agents_by_address(self) -> dict[tuple[str, int], MonitoredAgent]:
        """Returns the agents by ``(ip, port)``."""
        return self._by_address

    def suspected_agents(self) -> list[MonitoredAgent]:
        """Returns the agents under suspicion."""
        return [peer for peer in self._by_host.values() if peer.suspected]

    def update_members(
        self, service: str, found: Iterable[MonitoredAgent]
    ) -> Iterator[None]:
        """Takes the agents of one service's membership, some at a time.

        An agent that is known keeps its object, so that routes to it stay
        valid; a newer incarnation or another address starts it afresh.

        Args:
            service: Name of the service.
            found: Agents in its membership.

        Yields:
            None after each ``TAKEN_AT_ONCE`` agents.
        """
        listed = set()
        for count, peer in enumerate(found, 1):
            listed.add(peer.host)
            self._take_one(peer)
            if count % TAKEN_AT_ONCE == 0:
                yield
        for host in self._listed.get(service, set()) - listed:
            users = self._users[host]
            users.discard(service)
            if not users:
                del self._users[host]
                peer = self._by_host.pop(host)
                self._by_address.pop(peer.address, None)
        for host in listed:
            self._users.setdefault(host, set()).add(service)
        self._listed[service] = listed

    def _take_one(self, peer: MonitoredAgent) -> None:
        known = self._by_host.get(peer.host)
        if known is None:
            self._by_host[peer.host] = peer
            self._by_address[peer.address] = peer
            return
        # Memberships of several services show a restart at different times;
        # incarnations only rise.
        if peer.incarnation < known.incarnation:
            return
        same = peer.address == known.address
        if same and peer.incarnation == known.incarnation:
            return
        self._by_address.pop(known.address, None)
        known.renew(peer)
        self._by_address[known.address] = known

    def on_message_from(
        self, address: tuple[str, int]
    ) -> MonitoredAgent | None:
        """Notes a message from an agent.

        Args:
            address: ``(ip, port)`` that the message came from.

        Returns:
            The agent if this ends a suspicion, else None.
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

    def on_timer(
        self, now: float
    ) -> tuple[list[messages.Send], list[MonitoredAgent]]:
        """Probes silent agents.

        Returns:
            The probes to send, and the agents newly under suspicion.
        """
        probes: list[messages.Send] = []
        lost: list[MonitoredAgent] = []
        self._refill(now)
        for peer in self._by_host.values():
            due = peer.suspected or (
                0.0 < peer.waiting_since <= now - SILENCE_S
            )
            if not due or now < peer.next_probe:
                continue
            if peer.probes >= PROBES_TO_SUSPECT and not peer.suspected:
                peer.suspected = True
                lost.append(peer)
            if self._tokens < 1:
                continue
            self._tokens -= 1
            probes.append(self._probe(now, peer))
        return probes, lost

    def _probe(self, now: float, peer: MonitoredAgent) -> messages.Send:
        self._nonce += 1
        peer.probes += 1
        every = SUSPECT_PROBE_EVERY_S if peer.suspected else PROBE_EVERY_S
        peer.next_probe = now + every
        return messages.Send(
            peer.address, messages.Ping(service=0, nonce=self._nonce)
        )

    def _refill(self, now: float) -> None:
        grown = self._tokens + (now - self._tokens_at) * PROBES_PER_S
        self._tokens = min(PROBE_BURST, grown)
        self._tokens_at = now


def monitored_agents(
    membership: objects.Membership | None,
) -> Iterator[MonitoredAgent]:
    """Yields the agents of a membership."""
    for member in membership.members if membership else ():
        yield MonitoredAgent(
            member.host,
            addresses.split(member.agent),
            member.incarnation,
            member.failure_domain,
        )
