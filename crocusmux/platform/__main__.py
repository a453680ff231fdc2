"""Starts a forwarding daemon with the settings file of the platform.

Run as ``python -m crocusmux.platform balancer`` or ``... agent``.
"""

import signal

if __name__ == "__main__":
    # Until the event loop handles it, SIGHUP would end the process.  The
    # imports below take most of the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import importlib
import os
import sys

import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.platform import configuration
from crocusmux.platform import host_settings
from crocusmux.platform import packets
from crocusmux.platform import store
from crocusmux.platform import upstream_calls

ROLES = ("balancer", "agent")


def make_adapter(cfg: forwarding.HostSettings) -> forwarding.Adapter:
    """Returns the adapter through which a daemon uses the platform."""
    return forwarding.Adapter(
        store=store.Store(cfg.store),
        config_kind="config",
        config_name="main",
        agent_kind="agents",
        evacuation_kind="evacuations",
        ready_path="/crocusmux/ready",
        decode_from_caller=packets.decode_from_caller,
        decode_from_upstream=packets.decode_from_upstream,
        encode_segment=packets.encode_segment,
        encode_reset=packets.encode_reset,
        decode_config=configuration.decode,
        decode_call=upstream_calls.decode_call,
    )


def load_settings(role: str, path: str) -> forwarding.HostSettings:
    """Reads the settings file and the environment of a daemon.

    Args:
        role: Which daemon runs; the settings file must be for it.
        path: Path of the settings file.

    Raises:
        errors.SettingsError: The file or an environment variable is invalid.
    """
    cfg = host_settings.load(path)
    if cfg.role != role:
        raise errors.SettingsError(
            f"settings are for {cfg.role}, not {role}",
            step="check settings",
            peer=path,
        )
    if role == "balancer":
        cfg = msgspec.structs.replace(
            cfg,
            hedge_share=host_settings.hedge_share(os.environ),
            extra_offer_share=host_settings.extra_offer_share(os.environ),
        )
    return cfg


def main() -> int:
    """Runs the daemon of the role in the arguments; returns the exit status."""
    role = sys.argv[1] if len(sys.argv) == 2 else ""
    path = os.environ.get(host_settings.SETTINGS_VARIABLE, "")
    try:
        if role not in ROLES:
            raise errors.UserError(
                f"give one of {', '.join(ROLES)}", step="read arguments"
            )
        cfg = load_settings(role, path)
    except errors.UserError as exc:
        sys.stderr.write(f"crocusmux: {exc}\n")
        return 1
    daemon = importlib.import_module(f"crocusmux.daemons.forward_{role}")
    return daemon.run(cfg, make_adapter, lambda: load_settings(role, path))


if __name__ == "__main__":
    sys.exit(main())
