"""The settings file of the platform, decoded to the product's settings."""

import pathlib
from typing import Literal

import msgspec

from crocusmux import addresses
from crocusmux import errors
from crocusmux import forwarding

SETTINGS_VARIABLE = "CROCUSMUX_BOOT"
# Port of the metrics on each host, as deploy/system.toml names it: the one
# that Prometheus exporters of OpenTelemetry use by default.
METRICS_PORT = 9464


class _Listen(msgspec.Struct):
    # Address for packets, of callers at an edge machine and of balancers at
    # a side machine.
    data_addr: str
    readiness: str
    control: str = ""
    outbound: str = ""


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0


class _Platform(msgspec.Struct):
    address: str


class _Boot(msgspec.Struct):
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
    service: str = ""
    app: str = ""


def load(path: str) -> forwarding.HostSettings:
    """Reads the settings file.

    Raises:
        errors.SettingsError: It cannot be read, or a field is missing or
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
    """Decodes settings.

    Raises:
        msgspec.DecodeError: A field is missing or has a wrong type.
        ValueError: An address is malformed.
    """
    boot = msgspec.json.decode(data, type=_Boot)
    listen = boot.listen
    packets = addresses.split(listen.data_addr)
    agent = boot.machine_class == "side"
    if agent and not (boot.service and boot.app and listen.outbound):
        raise ValueError("service, app or listen.outbound is missing")
    return forwarding.HostSettings(
        role="agent" if agent else "balancer",
        host=boot.node_name,
        failure_domain=boot.zone,
        segments=packets,
        caller_port=packets[1],
        readiness=addresses.split(listen.readiness),
        control=addresses.split(listen.control or listen.readiness),
        messages=(boot.ip, boot.port_range[0]),
        metrics=(boot.ip, METRICS_PORT),
        seeds=tuple(addresses.split(seed) for seed in boot.seeds),
        store=addresses.split(boot.platform.address),
        heartbeat_s=boot.heartbeat_ms / 1000,
        grace_s=boot.bounds.grace_s,
        service=boot.service,
        upstream=addresses.split(boot.app) if agent else ("", 0),
        outbound=addresses.split(listen.outbound) if agent else ("", 0),
    )
