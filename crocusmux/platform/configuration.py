"""Decodes the platform's desired state to the configuration of routes."""

import msgspec

from crocusmux import errors
from crocusmux.core.forward import routes

# Types of routes whose requests may run more than once.
IDEMPOTENT_TYPES = ("idempotent", "download")


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    # An IPv4 address, not a name.
    hostname: str
    # A port between slashes, such as "/8443/".
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float
    priority: int
    service: str = ""
    traffic_split: list[_Share] = []


class _Service(msgspec.Struct):
    name: str
    # Not used, only checked: heartbeats state the time left.
    warmup_s: float = 0.0
    # Requests a second of an upstream that is warming up; 0 if unlimited.
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    idle_timeout_ms: float = routes.DEFAULT_IDLE_S * 1000


class _DesiredState(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode(spec: bytes) -> routes.Configuration:
    """Decodes the ``spec`` of the object ``config/main``.

    Raises:
        errors.ObjectError: The object is malformed.
    """
    try:
        state = msgspec.json.decode(spec, type=_DesiredState)
        return _convert(state)
    except (msgspec.DecodeError, RecursionError, ValueError) as exc:
        raise errors.ObjectError(
            f"desired state is malformed: {exc}", step="decode configuration"
        ) from exc


def _convert(state: _DesiredState) -> routes.Configuration:
    return routes.Configuration(
        state.version,
        tuple(_convert_route(route) for route in state.routes),
        state.limits.idle_timeout_ms / 1000,
        tuple(
            (s.name, s.warmup_per_s) for s in state.services if s.warmup_per_s
        ),
    )


def _convert_route(route: _Route) -> routes.Route:
    shares = tuple((s.service, s.weight) for s in route.traffic_split)
    if route.service:
        shares = ((route.service, 1),)
    return routes.Route(
        name=route.name,
        address=(route.hostname, int(route.path_prefix.strip("/"))),
        shares=shares,
        timeout_s=route.timeout_ms / 1000,
        target_s=route.target_latency_ms / 1000,
        urgency=route.priority,
        repeatable=route.type in IDEMPOTENT_TYPES,
    )
