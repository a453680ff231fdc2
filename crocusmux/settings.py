"""Settings of the daemons: loading from YAML, defaults and validation."""

import importlib.resources
import pathlib
from typing import Any, Literal

import msgspec
import yaml

from crocusmux import addresses
from crocusmux import errors

MIN_KEY_HEX_DIGITS = 32
MAX_KEY_HEX_DIGITS = 128


class UpstreamSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An upstream on the host of an agent.

    Attributes:
        service: Name of its service.
        name: Name, unique within the service.
        address: ``ip:port`` on which it serves.
        slots: Requests that it serves concurrently.
        connections: Connections that it accepts at most.
    """

    service: str
    name: str
    address: str
    slots: int = 2
    connections: int = 2000


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one daemon; ``default.yaml`` documents each key."""

    role: Literal["balancer", "agent", "platform"]
    host: str
    region: str
    failure_domain: str
    key: str
    udp: str
    http: str
    control: str
    platform: tuple[str, ...]
    peers: tuple[str, ...]
    log_sample: int
    drain_s: float
    listen_ip: str
    max_connections: int
    buffer_bytes: int
    relay: str
    retransmit_window_s: float
    udp_idle_s: float
    upstreams: tuple[UpstreamSettings, ...]
    writes_per_s: int
    reads_per_s: int
    otlp_url: str

    def key_bytes(self) -> bytes:
        """Returns the shared key of all daemons as bytes."""
        return bytes.fromhex(self.key)


def load(path: str | pathlib.Path) -> Settings:
    """Returns the settings of a file, with defaults for missing keys.

    Args:
        path: The settings file.

    Raises:
        errors.SettingsError: The file cannot be read, is not valid YAML, or
            a key is unknown, missing or out of range.  The message names the
            file, the line or key, and the problem.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(
            f"cannot read: {exc}", step="read settings", peer=str(path)
        ) from exc
    return parse(text, str(path))


def parse(text: str, name: str = "settings") -> Settings:
    """Parses settings from YAML text; see ``load``."""
    return from_mapping({**defaults(), **_parse_mapping(text, name)}, name)


def defaults() -> dict[str, Any]:
    """Returns the default value of each key."""
    return _parse_mapping(_default_text(), "default.yaml")


def from_mapping(values: dict[str, Any], name: str = "settings") -> Settings:
    """Validates a mapping with all keys; see ``load``."""
    try:
        cfg = msgspec.convert(values, Settings)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(
            str(exc), step="check settings", peer=name
        ) from exc
    problem = _find_problem(cfg)
    if problem:
        raise errors.SettingsError(problem, step="check settings", peer=name)
    return cfg


def _default_text() -> str:
    path = importlib.resources.files("crocusmux") / "default.yaml"
    return path.read_text()


def _parse_mapping(text: str, name: str) -> dict[str, Any]:
    try:
        values = yaml.safe_load(text) or {}
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        where = f"line {mark.line + 1}: " if mark else ""
        raise errors.SettingsError(
            f"{where}{exc.problem}", step="parse YAML", peer=name
        ) from exc
    except yaml.YAMLError as exc:
        raise errors.SettingsError(
            str(exc), step="parse YAML", peer=name
        ) from exc
    if not isinstance(values, dict):
        raise errors.SettingsError(
            "top level is not a mapping", step="parse YAML", peer=name
        )
    return values


def _find_problem(cfg: Settings) -> str:
    """Returns the first invalid value, or an empty text if all are valid."""
    if not cfg.host:
        return "host: must not be empty"
    for key in ("udp", "http", "relay"):
        try:
            addresses.split(getattr(cfg, key))
        except ValueError as exc:
            return f"{key}: {exc}"
    for key in ("log_sample", "max_connections", "buffer_bytes"):
        if getattr(cfg, key) < 1:
            return f"{key}: must be 1 or more"
    for key in ("drain_s", "retransmit_window_s", "udp_idle_s"):
        if getattr(cfg, key) < 0:
            return f"{key}: must not be negative"
    if cfg.otlp_url and not cfg.otlp_url.startswith(("http://", "https://")):
        return "otlp_url: must be empty or an http:// or https:// URL"
    if cfg.role != "platform":
        problem = _find_key_problem(cfg.key)
        if problem:
            return problem
    return _find_upstreams_problem(cfg)


def _find_key_problem(key: str) -> str:
    if not MIN_KEY_HEX_DIGITS <= len(key) <= MAX_KEY_HEX_DIGITS:
        return f"key: must have {MIN_KEY_HEX_DIGITS} to {MAX_KEY_HEX_DIGITS} hex digits"
    try:
        bytes.fromhex(key)
    except ValueError:
        return "key: must be hex digits"
    return ""


def _find_upstreams_problem(cfg: Settings) -> str:
    seen = set()
    for index, upstream in enumerate(cfg.upstreams):
        where = f"upstreams[{index}]"
        if (upstream.service, upstream.name) in seen:
            return f"{where}.name: {upstream.name!r} is used twice"
        seen.add((upstream.service, upstream.name))
        try:
            addresses.split(upstream.address)
        except ValueError as exc:
            return f"{where}.address: {exc}"
        if upstream.slots < 1 or upstream.connections < 1:
            return f"{where}: slots and connections must be 1 or more"
    return ""
