"""Commands that check settings, or run a daemon or the demo.

Daemons are imported when their command runs, so that the other commands start
without pynng and the metrics libraries.
"""

import importlib
import logging

from cleo import helpers

from crocusmux import errors
from crocusmux import settings
from crocusmux.ui import base

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

_SETTINGS = helpers.argument("settings", "Settings file (YAML).")


class Check(base.Command):
    """Checks a settings file."""

    name = "check"
    description = "Check a settings file."
    arguments = [_SETTINGS]
    options = [base.JSON]

    def handle(self) -> int:
        """Validates the file and prints its role and host."""
        path = self.value("settings")
        cfg = settings.load(path)
        if self.option("json"):
            summary = {"role": cfg.role, "host": cfg.host, "http": cfg.http}
            self.print_json({"file": path, **summary})
        else:
            self.print_line(f"{path} is valid: {cfg.role} {cfg.host}")
        return base.DONE


class _DaemonCommand(base.Command):
    """A command that runs one daemon."""

    arguments = [_SETTINGS]

    def load(self, role: str) -> settings.Settings:
        """Returns the settings and configures logging.

        Raises:
            errors.SettingsError: The settings are invalid or of another role.
        """
        path = self.value("settings")
        cfg = settings.load(path)
        if cfg.role != role:
            raise errors.SettingsError(
                f"role is {cfg.role}, must be {role}",
                step="check settings",
                peer=path,
            )
        logging.basicConfig(level=logging.INFO, format=LOG_FORMAT)
        return cfg


class Platform(_DaemonCommand):
    """Runs the test server of the object API."""

    name = "platform"
    description = "Run an object API server for tests and trials only."

    def handle(self) -> int:
        """Serves until SIGTERM or SIGINT."""
        cfg = self.load("platform")
        importlib.import_module("crocusmux.objectapi.standin").run(cfg)
        return base.DONE


class Balancer(_DaemonCommand):
    """Runs a balancer."""

    name = "balancer"
    description = "Run a balancer on an entry host."

    def handle(self) -> int:
        """Serves until SIGTERM or SIGINT."""
        cfg = self.load("balancer")
        module = importlib.import_module("crocusmux.daemons.node")
        return module.run(cfg) or base.DONE


class Agent(_DaemonCommand):
    """Runs an agent."""

    name = "agent"
    description = "Run an agent on an upstream host."

    def handle(self) -> int:
        """Serves until SIGTERM or SIGINT."""
        cfg = self.load("agent")
        module = importlib.import_module("crocusmux.daemons.node")
        return module.run(cfg) or base.DONE


class Demo(base.Command):
    """Runs the demonstration."""

    name = "demo"
    description = "Run a small system on loopback addresses."
    options = [
        helpers.option("hold", None, "Keep the demo running until interrupted.")
    ]

    def handle(self) -> int:
        """Runs the demonstration and returns its exit status."""
        demo = importlib.import_module("crocusmux.demo")
        return demo.run(bool(self.option("hold"))) or base.DONE


COMMANDS = (Check, Platform, Balancer, Agent, Demo)
