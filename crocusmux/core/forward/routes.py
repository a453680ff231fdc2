"""Routes, which map the addresses that callers use to services."""

from collections.abc import Iterable
import ipaddress

import msgspec

from crocusmux import addresses
from crocusmux.core.forward import reports

# Idle timeout of flows unless the configuration sets another one.
DEFAULT_IDLE_S = 15.0
# Reason for which a flow to an unknown address is refused.
REFUSED_NO_ROUTE = "no-route"
# Subscriptions and the state for peers carry the version in 64 bits.
MAX_VERSION = (1 << 63) - 1


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

    Raises:
        ValueError: The address is malformed, there is no share, or a number
            is out of range.
    """

    name: str
    address: tuple[str, int]
    shares: tuple[tuple[str, int], ...]
    timeout_s: float
    target_s: float
    urgency: int
    repeatable: bool

    def __post_init__(self) -> None:
        addresses.check(self.address)
        if not self.shares:
            raise ValueError(f"route {self.name} leads to no service")
        reports.check_numbers(self, ("timeout_s", "target_s", "urgency"))
        for service, weight in self.shares:
            reports.check_number(f"weight of {service}", weight)

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

    def service_probabilities(self) -> dict[str, float]:
        """Returns the services that ``pick_service`` may return.

        Each has the share of the fractions that lead to it.
        """
        total = sum(weight for _, weight in self.shares)
        if total == 0:
            return {self.shares[-1][0]: 1.0}
        found: dict[str, float] = {}
        for name, weight in self.shares:
            if weight > 0:
                found[name] = found.get(name, 0.0) + weight / total
        return found


class Configuration(msgspec.Struct, frozen=True):
    """A complete configuration of the routes.

    Attributes:
        version: Number that increases with each change.
        routes: All routes.
        idle_s: Idle timeout of flows, seconds.
        warmup_rates: Names of the services that limit the new flows of a
            warming upstream, with their limits in openings a second.

    Raises:
        ValueError: A number is out of range.  Subscriptions cannot carry it.
    """

    version: int
    routes: tuple[Route, ...] = ()
    idle_s: float = DEFAULT_IDLE_S
    warmup_rates: tuple[tuple[str, float], ...] = ()

    def __post_init__(self) -> None:
        if not 0 <= self.version <= MAX_VERSION:
            raise ValueError(f"version is out of range: {self.version}")
        reports.check_numbers(self, ("idle_s",))
        for service, rate in self.warmup_rates:
            reports.check_number(f"warm-up rate of {service}", rate)
            if not rate:
                raise ValueError(f"warm-up rate of {service} is zero")


class FormerServices(msgspec.Struct, frozen=True):
    """Services to which a route led under earlier configurations.

    Attributes:
        address: Address and port of the route.
        services: Service names.

    Raises:
        ValueError: The address is malformed.
    """

    address: tuple[str, int]
    services: tuple[str, ...]

    def __post_init__(self) -> None:
        addresses.check(self.address)


class RouteTable:
    """The configuration in force, with its routes by address.

    A change of a route's services leaves its open flows where they are, so the
    table remembers the former services of a route until the route is dropped.

    Attributes:
        configuration: The configuration; version 0 before the first.
        awaits_former_services: True while peers may still tell former services,
            so that no flow counts as lost.
        knows_former_services: False if no peer has told them, as after a loss
            of power of all balancers.
    """

    __slots__ = (
        "_by_address",
        "_former_services",
        "_warmup_rates",
        "awaits_former_services",
        "configuration",
        "knows_former_services",
    )

    def __init__(self) -> None:
        self.configuration = Configuration(0)
        self.awaits_former_services = False
        self.knows_former_services = True
        self._by_address: dict[bytes, Route] = {}
        self._former_services: dict[bytes, set[str]] = {}
        self._warmup_rates: dict[str, float] = {}

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
        self._warmup_rates = dict(cfg.warmup_rates)
        before = self._by_address
        self._by_address = {
            encode_route_address(r.address): r for r in cfg.routes
        }
        for address, route in before.items():
            if address not in self._by_address:
                self._former_services.pop(address, None)
            else:
                self._add_former_services(address, route.services())
        return True

    def learn_former_services(
        self, cfg: Configuration, former: Iterable[FormerServices]
    ) -> None:
        """Adds the former services of routes that a peer knows.

        Args:
            cfg: The configuration in force at the peer, which may be older.
            former: Services under still earlier configurations.

        Raises:
            ValueError: An address is malformed.
        """
        for entry in former:
            address = encode_route_address(entry.address)
            self._add_former_services(address, entry.services)
        if cfg.version < self.version:
            for route in cfg.routes:
                address = encode_route_address(route.address)
                self._add_former_services(address, route.services())

    def learn_holding_service(self, key: bytes, service: str) -> None:
        """Adds a service, of which an agent holds a flow, to the flow's route."""
        self._add_former_services(key[6:], (service,))

    def _add_former_services(
        self, address: bytes, services: Iterable[str]
    ) -> None:
        route = self._by_address.get(address)
        if route is not None and not set(services) <= set(route.services()):
            known = self._former_services.setdefault(address, set())
            known.update(services)

    def former_services(self) -> tuple[FormerServices, ...]:
        """Returns the former services of all routes that had others."""
        return tuple(
            FormerServices(
                self._by_address[address].address, tuple(sorted(services))
            )
            for address, services in self._former_services.items()
        )

    def possible_services(self, key: bytes) -> tuple[str, ...]:
        """Returns the services that may hold a flow, present ones first.

        Empty if the flow key has no route.
        """
        route = self.find_route(key)
        if route is None:
            return ()
        present = route.services()
        former = self._former_services.get(key[6:], set())
        return present + tuple(sorted(former.difference(present)))

    def find_route(self, key: bytes) -> Route | None:
        """Returns the route of a flow key; None if there is none."""
        return self._by_address.get(key[6:])

    def warmup_per_s(self, service: str) -> float:
        """Returns the openings a second that a warming upstream takes.

        0 if the service sets no limit.
        """
        # An integer zero takes one byte in a message, a float nine.
        return self._warmup_rates.get(service, 0)

    def services(self) -> set[str]:
        """Returns the names of the services of all routes."""
        all_routes = self._by_address.values()
        return {name for route in all_routes for name in route.services()}


def encode_flow_key(caller: tuple[str, int], address: tuple[str, int]) -> bytes:
    """Returns the key of a caller's flow to a route's address.

    Raises:
        ValueError: One of them is not an IPv4 address and a port.
    """
    return encode_route_address(caller) + encode_route_address(address)


def encode_route_address(address: tuple[str, int]) -> bytes:
    """Returns an address encoded as at the end of a flow key.

    Raises:
        ValueError: It is not an IPv4 address and a port.
    """
    addresses.check(address)
    ip, port = address
    return ipaddress.IPv4Address(ip).packed + port.to_bytes(2, "big")
