"""Routes: which service a flow may go to."""

import ipaddress

import msgspec

# Idle time after which a flow may be forgotten, seconds, until the
# configuration says otherwise.
DEFAULT_IDLE_S = 15.0


class Route(msgspec.Struct, frozen=True):
    """Where new flows of one address and port go.

    Attributes:
        name: Name of the route.
        address: Address and port that callers use.
        shares: Service names with their weights.
        timeout_s: Time after which callers give up a request, seconds.
        target_s: Time in which an answer is wanted, seconds.
        urgency: 0 for the most urgent requests.
        repeatable: True if a request may run more than once.
    """

    name: str
    address: tuple[str, int]
    shares: tuple[tuple[str, int], ...]
    timeout_s: float
    target_s: float
    urgency: int
    repeatable: bool

    def services(self) -> tuple[str, ...]:
        """Returns the services that may get flows of this route."""
        return tuple(name for name, _ in self.shares)

    def pick_service(self, fraction: float) -> str:
        """Returns the service at a point of the weights, 0 to 1."""
        left = fraction * sum(weight for _, weight in self.shares)
        for name, weight in self.shares:
            left -= weight
            if left < 0:
                return name
        return self.shares[-1][0]


class Configuration(msgspec.Struct, frozen=True):
    """A desired configuration in full.

    Attributes:
        version: Number that rises with each change.
        routes: All routes.
        idle_s: Idle time after which a flow may be forgotten, seconds.
    """

    version: int
    routes: tuple[Route, ...] = ()
    idle_s: float = DEFAULT_IDLE_S


class RouteTable:
    """The newest configuration that this process has seen.

    Attributes:
        configuration: The configuration; version 0 before the first.
    """

    __slots__ = ("_by_address", "configuration")

    def __init__(self) -> None:
        self.configuration = Configuration(0)
        self._by_address: dict[bytes, Route] = {}

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first."""
        return self.configuration.version

    @property
    def idle_s(self) -> float:
        """Idle time after which a flow may be forgotten, seconds."""
        return self.configuration.idle_s

    def apply_if_newer(self, cfg: Configuration) -> bool:
        """Takes a configuration if it is newer.

        Returns:
            False if the version is not above the one in force.
        """
        if cfg.version <= self.version:
            return False
        self.configuration = cfg
        self._by_address = {
            encode_route_address(r.address): r for r in cfg.routes
        }
        return True

    def find_route(self, key: bytes) -> Route | None:
        """Returns the route of a flow key; None if there is none."""
        return self._by_address.get(key[6:])

    def services(self) -> set[str]:
        """Returns all services that routes lead to."""
        found = self._by_address.values()
        return {name for route in found for name in route.services()}


def encode_route_address(address: tuple[str, int]) -> bytes:
    """Returns an address as it stands at the end of a flow key."""
    ip, port = address
    return ipaddress.IPv4Address(ip).packed + port.to_bytes(2, "big")
