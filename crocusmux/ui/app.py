"""Entry point of the ``crocusmux`` command."""

import asyncio
from collections.abc import Callable, Coroutine
import sys
from typing import Any

from cleo import application
from cleo import exceptions
from cleo.io.inputs import argv_input
from cleo.io.outputs import output

import crocusmux
from crocusmux import errors
from crocusmux.ui import base
from crocusmux.ui import daemon
from crocusmux.ui import preset
from crocusmux.ui import service
from crocusmux.ui import status
from crocusmux.ui import trace
from crocusmux.ui import upstream

RunLoop = Callable[[Coroutine[Any, Any, int]], int]

# Errors that the person at the command line can correct, although the
# platform reports them.
CORRECTABLE = (errors.UserError, errors.ConflictError, errors.NotFoundError)


class Application(application.Application):
    """The command line; errors are left to ``main``.

    Attributes:
        run_loop: Runs a coroutine to its end, ``asyncio.run`` by default.
    """

    def __init__(self, run_loop: RunLoop) -> None:
        super().__init__("crocusmux", crocusmux.__version__)
        self.run_loop = run_loop
        self.auto_exits(False)
        self.catch_exceptions(False)
        for module in (daemon, preset, upstream, service, status, trace):
            for kind in module.COMMANDS:
                self.add(kind())


def main(
    args: list[str] | None = None,
    *,
    run_loop: RunLoop = asyncio.run,
    out: output.Output | None = None,
    err: output.Output | None = None,
) -> int:
    """Runs one command.

    Args:
        args: Arguments after the program's name; None for those of the
            process.
        run_loop: Runs a coroutine to its end.
        out: Where output goes; None for stdout.
        err: Where errors go; None for stderr.

    Returns:
        The exit status: 0 done, 1 an error of the user, 2 an error of the
        platform, 3 not in force everywhere in time.
    """
    given = sys.argv[1:] if args is None else args
    line = argv_input.ArgvInput(["crocusmux", *given])
    line.set_stream(sys.stdin)
    try:
        return Application(run_loop).run(line, out, err)
    except (errors.CrocusmuxError, exceptions.CleoError) as exc:
        text = "crocusmux: " + " ".join(str(exc).split())
        if err is None:
            print(text, file=sys.stderr)
        else:
            err.write_line(text, type=output.Type.RAW)
        return _exit_status(exc)
    except KeyboardInterrupt:
        return base.INTERRUPTED


def _exit_status(exc: Exception) -> int:
    if isinstance(exc, (exceptions.CleoError, *CORRECTABLE)):
        return base.USER_ERROR
    return base.PLATFORM_ERROR
