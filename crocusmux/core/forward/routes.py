"""Routes, which map the addresses that callers use to services."""

import ipaddress

import msgspec

from crocusmux import addresses

# Idle timeout of flows unless the configuration sets another one.
DEFAULT_IDLE_S = 15.0


class Route(msgspec.Struct, frozen=True):
    """Services for the new flows to one address and port.

    Attributes:
        name: Name of the route.
        address: Address and port that callers use.
        shares: Service names with their weights.
        timeout_s: Time after which callers give up a request, seconds.
        target_s: Response-time goal, seconds.
        urgency: 0 for the most urgent requests.
        repeatable: True if requests are idempotent.
    """

    name: str
    address: tuple[str, int]
    shares: tuple[tuple[str, int], ...]
    timeout_s: float
    target_s: float
    urgency: int
    repeatable: bool

    def services(self) -> tuple[str, ...]:
        """Returns the names of the services that this route leads to."""
        return tuple(name for name, _ in self.shares)

    def pick_service(self, fraction: float) -> str:
        """Returns the service at a fraction, 0 to 1, of the summed weights."""
        remaining = fraction * sum(weight for _, weight in self.shares)
        for name, weight in self.shares:
            remaining -= weight
            if remaining < 0:
                return name
        return self.shares[-1][0]


class Configuration(msgspec.Struct, frozen=True):
    """A complete configuration of the routes.

    Attributes:
        version: Number that increases with each change.
        routes: All routes.
        idle_s: Idle timeout of flows, seconds.
    """

    version: int
    routes: tuple[Route, ...] = ()
    idle_s: float = DEFAULT_IDLE_S


class RouteTable:
    """The configuration in force, with its routes by address.

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
        """Idle timeout of flows, seconds."""
        return self.configuration.idle_s

    def apply_if_newer(self, cfg: Configuration) -> bool:
        """Applies a configuration if it is newer than the one in force.

        Returns:
            False if it is not newer.
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
        """Returns the names of the services of all routes."""
        all_routes = self._by_address.values()
        return {name for route in all_routes for name in route.services()}


def encode_route_address(address: tuple[str, int]) -> bytes:
    """Returns an address encoded as at the end of a flow key.

    Raises:
        ValueError: It is not an IPv4 address and a port.
    """
    addresses.check(address)
    ip, port = address
    return ipaddress.IPv4Address(ip).packed + port.to_bytes(2, "big")
