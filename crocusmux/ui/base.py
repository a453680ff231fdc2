"""Base classes of the commands: options, client, output, exit statuses."""

from collections.abc import Coroutine, Iterable, Sequence
import datetime
import getpass
import os
import pathlib
import sys
from typing import Any, TypeVar

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output
import msgspec
import yaml

from crocusmux import errors
from crocusmux import fleet
from crocusmux.objectapi import client as objectapi_client

DONE = 0
USER_ERROR = 1
PLATFORM_ERROR = 2
NOT_IN_FORCE = 3
INTERRUPTED = 130

PLATFORM_ENV_VARIABLE = "CROCUSMUX_PLATFORM"
DEFAULT_WAIT_S = 30.0

_Value = TypeVar("_Value")


def value_option(name: str, text: str) -> Any:
    """Returns the definition of an option with a value."""
    return helpers.option(name, None, text, flag=False)


JSON = helpers.option("json", None, "Print JSON.")
PLATFORM = value_option(
    "platform",
    "Base URLs of the platform, separated by commas; by default "
    f"${PLATFORM_ENV_VARIABLE}.",
)
OPERATOR = value_option(
    "operator", "Name stored with the change; by default your login name."
)
EXPECT = value_option(
    "expect",
    "Change only if the object is at this version; 0 if it must not exist.",
)
WAIT = helpers.option(
    "wait",
    None,
    "Wait until the change is in force on all daemons, at most this number "
    f"of seconds (default {DEFAULT_WAIT_S:g}).",
    flag=False,
    value_required=False,
)


class Command(command.Command):
    """A command that prints text, or JSON with ``--json``."""

    def value(self, name: str) -> str:
        """Returns an argument or option as text; ``""`` if not given."""
        if self._definition.has_argument(name):
            return self.argument(name) or ""
        return self.option(name) or ""

    def number_option(self, name: str) -> int | None:
        """Returns the whole number of an option; None if not given.

        Raises:
            errors.UserError: The value is not a whole number.
        """
        text = self.option(name)
        if text is None:
            return None
        if not str(text).isdecimal():
            raise errors.UserError(
                f"--{name} must be a whole number, not {text!r}",
                step="read options",
            )
        return int(text)

    def print_line(self, text: str) -> None:
        """Prints a line on stdout without markup."""
        self.io.write_line(text, type=output.Type.RAW)

    def warn(self, text: str) -> None:
        """Prints a warning or progress on stderr without markup."""
        self.io.write_error_line(text, type=output.Type.RAW)

    def print_json(self, value: Any) -> None:
        """Prints a value as JSON on one line."""
        self.print_line(msgspec.json.encode(value).decode())

    def print_rows(
        self, heads: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Prints rows in aligned columns."""
        table = [heads, *[[str(cell) for cell in row] for row in rows]]
        widths = [max(map(len, column)) for column in zip(*table, strict=True)]
        for line in table:
            cells = zip(line, widths, strict=True)
            padded = [cell.ljust(width) for cell, width in cells]
            self.print_line("  ".join(padded).rstrip())

    def run_coroutine(self, coro: Coroutine[Any, Any, int]) -> int:
        """Runs a coroutine in the application's event loop."""
        run_loop = getattr(self.application, "run_loop", None)
        assert run_loop is not None
        return run_loop(coro)


class ObjectApiCommand(Command):
    """A command that uses the object API."""

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        return self.run_coroutine(self._create_client_and_run())

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Performs the command and returns the exit status."""
        raise NotImplementedError

    async def _create_client_and_run(self) -> int:
        return await self.run_with_client(
            make_client(self.value("platform"), self._writer)
        )

    @property
    def _writer(self) -> str:
        if not self._definition.has_option("operator"):
            return ""
        return self.value("operator") or getpass.getuser()


class ChangeCommand(ObjectApiCommand):
    """A command that changes one object."""

    async def apply_change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Performs the change and returns the stored object."""
        raise NotImplementedError

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Performs and reports the change; with ``--wait`` waits for it."""
        wait_s = self._wait_s()
        stored = await self.apply_change(client, self.number_option("expect"))
        if not self.option("json"):
            self.print_line(f"{stored.key} is at version {stored.version}")
        laggards: list[fleet.LaggingDaemon] = []
        status = DONE
        if wait_s is not None:
            daemons = await fleet.list_daemons(client)
            if not daemons:
                self.warn("crocusmux: no daemon is listed under status/")
                status = NOT_IN_FORCE
            laggards = await fleet.wait_in_force(
                daemons, stored.key, stored.version, wait_s, self._progress
            )
        for laggard in laggards:
            reason = laggard.problem or f"has version {laggard.version}"
            self.warn(f"crocusmux: not in force on {laggard.name}: {reason}")
            status = NOT_IN_FORCE
        if self.option("json"):
            written = {"key": stored.key, "version": stored.version}
            self.print_json({**written, "laggards": laggards})
        return status

    def _progress(self, current: int, total: int) -> None:
        self.warn(f"in force on {current} of {total} daemons")

    def _wait_s(self) -> float | None:
        if not self._definition.has_option("wait"):
            return None
        text = self.option("wait")
        if text is None:
            given = self.io.input.has_parameter_option("--wait")
            return DEFAULT_WAIT_S if given else None
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0 <= seconds < float("inf"):
            raise errors.UserError(
                f"--wait takes seconds, not {text!r}; write --wait=SECONDS "
                "or put --wait last",
                step="read options",
            )
        return seconds


def make_client(base_urls: str, writer: str = "") -> objectapi_client.Client:
    """Returns a client of the base URLs from the option or environment.

    Raises:
        errors.UserError: There is no base URL.
    """
    text = base_urls or os.environ.get(PLATFORM_ENV_VARIABLE, "")
    urls = [url.strip() for url in text.split(",") if url.strip()]
    if not urls:
        raise errors.UserError(
            f"give --platform URL or set {PLATFORM_ENV_VARIABLE}",
            step="connect",
            peer="platform",
        )
    return objectapi_client.Client(urls, writer=writer, stamp=_wall_clock)


def read_object(path: str, object_type: type[_Value]) -> _Value:
    """Reads an object from a YAML or JSON file; ``-`` for stdin.

    Raises:
        errors.UserError: The file cannot be read or is not a valid object.
    """
    try:
        text = sys.stdin.read() if path == "-" else _read_file(path)
        return msgspec.convert(yaml.safe_load(text), object_type)
    except (OSError, UnicodeDecodeError, msgspec.ValidationError) as exc:
        reason = str(exc)
    except yaml.YAMLError as exc:
        reason = " ".join(str(exc).split())
    raise errors.UserError(reason, step="read file", peer=path)


def as_yaml(value: Any) -> str:
    """Encodes an object as YAML that ``read_object`` accepts."""
    plain = msgspec.to_builtins(value)
    return yaml.safe_dump(plain, sort_keys=False).rstrip("\n")


def _read_file(path: str) -> str:
    return pathlib.Path(path).read_text()


def _wall_clock() -> str:
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="seconds")
