"""What the commands share: options, client, output, exit statuses."""

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

from crocusmux import daemon_records
from crocusmux import errors
from crocusmux.objectapi import client as objectapi_client

DONE = 0
USER_ERROR = 1
PLATFORM_ERROR = 2
NOT_IN_FORCE = 3
INTERRUPTED = 130

PLATFORM_VARIABLE = "CROCUSMUX_PLATFORM"
DEFAULT_WAIT_S = 30.0

_Value = TypeVar("_Value")


def value_option(name: str, text: str) -> Any:
    """Returns an option that takes a value."""
    return helpers.option(name, None, text, flag=False)


JSON = helpers.option("json", None, "Print JSON.")
PLATFORM = value_option(
    "platform",
    "Base URL of the platform, or several with commas; by default "
    f"${PLATFORM_VARIABLE}.",
)
OPERATOR = value_option(
    "operator", "Name written beside the change; by default your login."
)
EXPECT = value_option(
    "expect",
    "Change only if the object is at this version; 0 if it must not exist.",
)
WAIT = helpers.option(
    "wait",
    None,
    "Wait until the change is in force everywhere, so many seconds at most "
    f"(default {DEFAULT_WAIT_S:g}).",
    flag=False,
    value_required=False,
)


class Command(command.Command):
    """A command that prints text, or JSON with ``--json``."""

    def text(self, name: str) -> str:
        """Returns an argument, or an option or ``""`` if not given."""
        if self._definition.has_argument(name):
            return self.argument(name) or ""
        return self.option(name) or ""

    def number(self, name: str) -> int | None:
        """Returns an option that is a whole number; None if not given.

        Raises:
            errors.UserError: It is not.
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

    def say(self, text: str) -> None:
        """Prints a line on stdout as it is."""
        self.io.write_line(text, type=output.Type.RAW)

    def tell(self, text: str) -> None:
        """Prints a line on stderr as it is."""
        self.io.write_error_line(text, type=output.Type.RAW)

    def say_json(self, value: Any) -> None:
        """Prints a value as JSON on one line."""
        self.say(msgspec.json.encode(value).decode())

    def say_table(
        self, heads: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Prints rows in aligned columns."""
        table = [heads, *[[str(cell) for cell in row] for row in rows]]
        widths = [max(map(len, column)) for column in zip(*table, strict=True)]
        for line in table:
            cells = zip(line, widths, strict=True)
            padded = [cell.ljust(width) for cell, width in cells]
            self.say("  ".join(padded).rstrip())

    def wait_for(self, coro: Coroutine[Any, Any, int]) -> int:
        """Runs a coroutine in the application's loop."""
        run_loop = getattr(self.application, "run_loop", None)
        assert run_loop is not None
        return run_loop(coro)


class PlatformCommand(Command):
    """A command that reads or changes objects in the platform."""

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        return self.wait_for(self._act())

    async def act(self, client: objectapi_client.Client) -> int:
        """Does what the command says; returns the exit status."""
        raise NotImplementedError

    async def _act(self) -> int:
        return await self.act(make_client(self.text("platform"), self._writer))

    @property
    def _writer(self) -> str:
        if not self._definition.has_option("operator"):
            return ""
        return self.text("operator") or getpass.getuser()


class ChangeCommand(PlatformCommand):
    """A command that changes one object."""

    async def change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Makes the change and returns the object as written."""
        raise NotImplementedError

    async def act(self, client: objectapi_client.Client) -> int:
        """Makes the change, reports it and waits if asked to."""
        wait_s = self._wait_s()
        stored = await self.change(client, self.number("expect"))
        if not self.option("json"):
            self.say(f"{stored.key} is at version {stored.version}")
        late: list[daemon_records.LaggingDaemon] = []
        status = DONE
        if wait_s is not None:
            known = await daemon_records.list_daemons(client)
            if not known:
                self.tell("crocusmux: no daemon is listed under status/")
                status = NOT_IN_FORCE
            late = await daemon_records.wait_in_force(
                known, stored.key, stored.version, wait_s, self._progress
            )
        for laggard in late:
            has = laggard.problem or f"has version {laggard.version}"
            self.tell(f"crocusmux: not in force on {laggard.name}: {has}")
            status = NOT_IN_FORCE
        if self.option("json"):
            written = {"key": stored.key, "version": stored.version}
            self.say_json({**written, "laggards": late})
        return status

    def _progress(self, has: int, total: int) -> None:
        self.tell(f"in force on {has} of {total} daemons")

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


def make_client(
    platform_urls: str, writer: str = ""
) -> objectapi_client.Client:
    """Returns a client of the platform given by option or environment.

    Raises:
        errors.UserError: Neither is given.
    """
    text = platform_urls or os.environ.get(PLATFORM_VARIABLE, "")
    urls = [url.strip() for url in text.split(",") if url.strip()]
    if not urls:
        raise errors.UserError(
            f"give --platform URL or set {PLATFORM_VARIABLE}",
            step="connect",
            peer="platform",
        )
    return objectapi_client.Client(urls, writer=writer, stamp=_wall_clock)


def read_object(path: str, kind: type[_Value]) -> _Value:
    """Returns an object from a YAML or JSON file; ``-`` reads stdin.

    Raises:
        errors.UserError: It cannot be read or is not such an object.
    """
    try:
        text = sys.stdin.read() if path == "-" else _read(path)
        return msgspec.convert(yaml.safe_load(text), kind)
    except (OSError, UnicodeDecodeError, msgspec.ValidationError) as exc:
        reason = str(exc)
    except yaml.YAMLError as exc:
        reason = " ".join(str(exc).split())
    raise errors.UserError(reason, step="read file", peer=path)


def as_yaml(value: Any) -> str:
    """Returns an object as YAML that ``read_object`` takes."""
    plain = msgspec.to_builtins(value)
    return yaml.safe_dump(plain, sort_keys=False).rstrip("\n")


def _read(path: str) -> str:
    return pathlib.Path(path).read_text()


def _wall_clock() -> str:
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="seconds")
