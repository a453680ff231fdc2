"""Decodes the platform's settings file to the settings of a daemon."""

from collections.abc import Mapping
import math
import pathlib
from typing import Annotated, Literal

import msgspec

from crocusmux import addresses
from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.forward import reports

SETTINGS_VARIABLE = "CROCUSMUX_BOOT"
# Limit of a balancer's hedged openings as a share of all its openings.
HEDGE_SHARE_VARIABLE = "CROCUSMUX_HEDGE_SHARE"
# Limit of a balancer's extra offers for a free slot as a share of all its
# openings.
EXTRA_OFFER_SHARE_VARIABLE = "CROCUSMUX_EXTRA_OFFER_SHARE"
# Port of the metrics on each host, as in deploy/system.toml; the default of
# OpenTelemetry's Prometheus exporters.
METRICS_PORT = 9464
# Contract of deployments whose failing upstreams are to be avoided.
HEALTH_CONTRACT = "health"


# Longest time in the settings, as for numbers in messages.
_MAX_MS = int(reports.MAX_NUMBER)
_Port = Annotated[int, msgspec.Meta(ge=1, le=addresses.MAX_PORT)]


class _Listen(msgspec.Struct):
    # Address for packets: from callers on an edge machine, from balancers on a
    # side machine.
    data_addr: str
    readiness: str
    control: str = ""
    outbound: str = ""


class _Bounds(msgspec.Struct):
    grace_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_MS / 1000)] = 6.0
    # Time within which an evacuation is in force; None without evacuations.
    evacuate_ms: float | None = None


class _HostLimits(msgspec.Struct):
    # Bandwidth of the host's link; 0 or None if it is unknown.
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] | None = None


class _Platform(msgspec.Struct):
    address: str


class _SettingsFile(msgspec.Struct):
    node_name: str
    machine_class: Literal["edge", "side"]
    ip: str
    zone: str
    listen: _Listen
    # First and last port for traffic between daemons.
    port_range: tuple[_Port, _Port]
    platform: _Platform
    seeds: list[str] = []
    heartbeat_ms: Annotated[float, msgspec.Meta(gt=0, le=_MAX_MS)] = 1000.0
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # True only when the whole system starts for the first time.
    bootstrap: bool = False
    service: str = ""
    app: str = ""
    contracts: list[str] = []
    limits: _HostLimits | None = None


def load(path: str) -> forwarding.HostSettings:
    """Reads the settings file.

    Raises:
        errors.SettingsError: The file cannot be read, or a field is missing or
            has a wrong type; the message names the field.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise errors.SettingsError(
            f"cannot read: {exc}", step="read settings", peer=path
        ) from exc
    return decode(data, path)


def hedge_share(environment: Mapping[str, str]) -> float:
    """Returns the limit of hedged openings as a share of all openings.

    Args:
        environment: Environment variables of the balancer.

    Returns:
        A number from 0 to 1; 0 if the variable is absent.

    Raises:
        errors.SettingsError: The variable is not such a number.
    """
    return _share(environment, HEDGE_SHARE_VARIABLE, 0.0, 1)


def extra_offer_share(environment: Mapping[str, str]) -> float:
    """Returns the limit of extra offers for a free slot.

    Args:
        environment: Environment variables of the balancer.

    Returns:
        A share of all openings from 0 to 2; 1 if the variable is absent.

    Raises:
        errors.SettingsError: The variable is not such a number.
    """
    return _share(environment, EXTRA_OFFER_SHARE_VARIABLE, 1.0, 2)


def _share(
    environment: Mapping[str, str], name: str, default: float, maximum: int
) -> float:
    text = environment.get(name)
    if text is None:
        return default
    try:
        # Python's literals, which ``float`` accepts, may contain underscores.
        share = math.nan if "_" in text else float(text)
    except ValueError:
        share = math.nan
    # A comparison with NaN is false.
    if not 0 <= share <= maximum:
        raise errors.SettingsError(
            f"must be a number from 0 to {maximum}, not {text!r}",
            step="check settings",
            peer=name,
        )
    return share


def decode(data: bytes, path: str = "-") -> forwarding.HostSettings:
    """Decodes the contents of a settings file.

    Args:
        data: The contents.
        path: Path of the file, for the error.

    Raises:
        errors.SettingsError: A field is missing, has a wrong type or is out of
            range.
    """
    try:
        fields = msgspec.json.decode(data, type=_SettingsFile)
        return _convert(fields)
    except (msgspec.DecodeError, RecursionError, ValueError) as exc:
        raise errors.SettingsError(
            str(exc), step="check settings", peer=path
        ) from exc


def _convert(fields: _SettingsFile) -> forwarding.HostSettings:
    listen = fields.listen
    packets = addresses.split(listen.data_addr)
    agent = fields.machine_class == "side"
    if agent and not (fields.service and fields.app and listen.outbound):
        raise ValueError("service, app or listen.outbound is missing")
    messages = (fields.ip, fields.port_range[0])
    upstream = addresses.split(fields.app) if agent else ("", 0)
    outbound = addresses.split(listen.outbound) if agent else ("", 0)
    # Messages and the agent's record carry the first two.  A host name in one
    # of the others would be looked up for each segment.
    used = [packets, messages, *([upstream, outbound] if agent else [])]
    for address in used:
        addresses.check(address)
    limits = fields.limits or _HostLimits()
    return forwarding.HostSettings(
        role="agent" if agent else "balancer",
        host=fields.node_name,
        failure_domain=fields.zone,
        link_mbps=limits.link_mbps or 0.0,
        segments=packets,
        caller_port=packets[1],
        readiness=addresses.split(listen.readiness),
        control=addresses.split(listen.control or listen.readiness),
        messages=messages,
        metrics=(fields.ip, METRICS_PORT),
        seeds=tuple(addresses.split(seed) for seed in fields.seeds),
        store=addresses.split(fields.platform.address),
        heartbeat_s=fields.heartbeat_ms / 1000,
        grace_s=fields.bounds.grace_s,
        first_start=fields.bootstrap,
        evacuations=fields.bounds.evacuate_ms is not None,
        service=fields.service,
        upstream=upstream,
        outbound=outbound,
        detect_outliers=HEALTH_CONTRACT in fields.contracts,
        fair_queueing=HEALTH_CONTRACT in fields.contracts,
        free_slot_first=HEALTH_CONTRACT in fields.contracts,
    )
