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
from crocusmux.ui import explain_flow
from crocusmux.ui import preset
from crocusmux.ui import service
from crocusmux.ui import status
from crocusmux.ui import trace
from crocusmux.ui import upstream

RunLoop = Callable[[Coroutine[Any, Any, int]], int]

# Errors with exit status 1: the operator can correct the command, also where
# the object API reports the error.
CORRECTABLE = (errors.UserError, errors.ConflictError, errors.NotFoundError)


class Application(application.Application):
    """The command line; ``main`` reports errors.

    Attributes:
        run_loop: Runs a coroutine to completion, as ``asyncio.run``.
    """

    def __init__(self, run_loop: RunLoop) -> None:
        super().__init__("crocusmux", crocusmux.__version__)
        self.run_loop = run_loop
        self.auto_exits(False)
        self.catch_exceptions(False)
        for module in (
            daemon,
            preset,
            upstream,
            service,
            status,
            trace,
            explain_flow,
        ):
            for command_type in module.COMMANDS:
                self.add(command_type())


def main(
    args: list[str] | None = None,
    *,
    run_loop: RunLoop = asyncio.run,
    out: output.Output | None = None,
    err: output.Output | None = None,
) -> int:
    """Runs one command.

    Args:
        args: Arguments after the program name; None for those of the
            process.
        run_loop: Runs a coroutine to completion.
        out: Output for results; None for stdout.
        err: Output for errors; None for stderr.

    Returns:
        The exit status: 0 for success, 1 for a user error, 2 for a platform
        error, 3 if a change is not in force on all daemons in time.
    """
    arguments = sys.argv[1:] if args is None else args
    command_input = argv_input.ArgvInput(["crocusmux", *arguments])
    command_input.set_stream(sys.stdin)
    try:
        return Application(run_loop).run(command_input, out, err)
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
