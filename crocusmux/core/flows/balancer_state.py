"""What a balancer knows of services and their addresses."""

from crocusmux import objects
from crocusmux.core.flows import liveness
from crocusmux.core.flows import slots
from crocusmux.core.load import retry


class AddressState:
    """A service address that the balancer serves.

    Attributes:
        key: Key of the address within flow ids.
        config: The address as configured.
        service: State of its service.
    """

    __slots__ = ("config", "key", "service")

    def __init__(
        self, cfg: objects.ServiceAddress, service: "ServiceState"
    ) -> None:
        self.config = cfg
        self.service = service
        self.key = slots.address_key(service.name, cfg.name)


class ServiceState:
    """What a balancer knows of one service.

    Attributes:
        name: Name of the service.
        config: The service's object that the addresses are from.
        key: Key of the service in messages.
        hash_slots: Number of hash slots.
        table: Owners of the hash slots.
        budget: Retries that the service may still make.
        targets: Agent that owns each hash slot, resolved for speed.
        degraded: True while an agent of the service is suspected.
    """

    __slots__ = (
        "budget",
        "config",
        "degraded",
        "hash_slots",
        "key",
        "name",
        "table",
        "targets",
    )

    def __init__(self, name: str, hash_slots: int) -> None:
        self.name = name
        self.config: objects.Service | None = None
        self.key = slots.service_key(name)
        self.hash_slots = hash_slots
        self.table = slots.SlotTable(0, hash_slots)
        self.targets: list[liveness.Peer | None] = []
        self.degraded = False
        self.budget = retry.RetryBudget()


class Counters:
    """Plain counters of a balancer core, read by the metrics."""

    __slots__ = (
        "flows_opened",
        "flows_refused",
        "no_owner",
        "packets_in",
        "replies_dropped",
        "replies_out",
    )

    def __init__(self) -> None:
        self.packets_in = 0
        self.replies_out = 0
        self.replies_dropped = 0
        self.flows_opened = 0
        self.flows_refused = 0
        self.no_owner = 0


def owning_hosts(membership: objects.Membership) -> list[str]:
    """Returns the hosts that own hash slots: one upstream takes new work."""
    return [
        member.host
        for member in membership.members
        if any(u.state in ("ready", "warming") for u in member.upstreams)
    ]
