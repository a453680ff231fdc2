"""Decodes the platform's settings file to the settings of a daemon."""

import pathlib
from typing import Literal

import msgspec

from crocusmux import addresses
from crocusmux import errors
from crocusmux import forwarding

SETTINGS_VARIABLE = "CROCUSMUX_BOOT"
# Port of the metrics on each host, as in deploy/system.toml; the default of
# OpenTelemetry's Prometheus exporters.
METRICS_PORT = 9464
# Contract of deployments whose failing upstreams are to be avoided.
HEALTH_CONTRACT = "health"


class _Listen(msgspec.Struct):
    # Address for packets: from callers on an edge machine, from balancers on a
    # side machine.
    data_addr: str
    readiness: str
    control: str = ""
    outbound: str = ""


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0


class _Platform(msgspec.Struct):
    address: str


class _SettingsFile(msgspec.Struct):
    node_name: str
    machine_class: Literal["edge", "side"]
    ip: str
    zone: str
    listen: _Listen
    # First and last port for traffic between daemons.
    port_range: tuple[int, int]
    platform: _Platform
    seeds: list[str] = []
    heartbeat_ms: float = 1000.0
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # True only when the whole system starts for the first time.
    bootstrap: bool = False
    service: str = ""
    app: str = ""
    contracts: list[str] = []


def load(path: str) -> forwarding.HostSettings:
    """Reads the settings file.

    Raises:
        errors.SettingsError: The file cannot be read, or a field is missing or
            has a wrong type; the message names the field.
    """
    try:
        return decode(pathlib.Path(path).read_bytes())
    except OSError as exc:
        raise errors.SettingsError(
            f"cannot read: {exc}", step="read settings", peer=path
        ) from exc
    except (msgspec.DecodeError, ValueError) as exc:
        raise errors.SettingsError(
            str(exc), step="check settings", peer=path
        ) from exc


def decode(data: bytes) -> forwarding.HostSettings:
    """Decodes the contents of a settings file.

    Raises:
        msgspec.DecodeError: A field is missing or has a wrong type.
        ValueError: An address is malformed.
    """
    fields = msgspec.json.decode(data, type=_SettingsFile)
    listen = fields.listen
    packets = addresses.split(listen.data_addr)
    agent = fields.machine_class == "side"
    if agent and not (fields.service and fields.app and listen.outbound):
        raise ValueError("service, app or listen.outbound is missing")
    return forwarding.HostSettings(
        role="agent" if agent else "balancer",
        host=fields.node_name,
        failure_domain=fields.zone,
        segments=packets,
        caller_port=packets[1],
        readiness=addresses.split(listen.readiness),
        control=addresses.split(listen.control or listen.readiness),
        messages=(fields.ip, fields.port_range[0]),
        metrics=(fields.ip, METRICS_PORT),
        seeds=tuple(addresses.split(seed) for seed in fields.seeds),
        store=addresses.split(fields.platform.address),
        heartbeat_s=fields.heartbeat_ms / 1000,
        grace_s=fields.bounds.grace_s,
        first_start=fields.bootstrap,
        service=fields.service,
        upstream=addresses.split(fields.app) if agent else ("", 0),
        outbound=addresses.split(listen.outbound) if agent else ("", 0),
        detect_outliers=HEALTH_CONTRACT in fields.contracts,
    )
