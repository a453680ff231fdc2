"""Command that shows the history of a flow from saved logs."""

import pathlib
from typing import ClassVar

from cleo import helpers

from crocusmux import errors
from crocusmux import flow_trace
from crocusmux.ui import base


class Trace(base.Command):
    """Shows the history of a flow from the saved logs of daemons."""

    name = "trace"
    description = "Show the history and outcome of a flow, from saved logs."
    arguments: ClassVar = [
        helpers.argument("flow", "Flow, or a part such as caller:port."),
        helpers.argument("logs", "Log files of daemons.", multiple=True),
    ]

    def handle(self) -> int:
        """Prints the flow's log lines, related state changes and its outcome."""
        texts: list[str] = []
        for name in self.argument("logs"):
            texts += _read(name)
        flow = self.value("flow")
        lines = flow_trace.trace_flow(flow, texts)
        if not lines:
            raise errors.UserError(
                "no log line names this flow", step="trace", peer=flow
            )
        for line in lines:
            self.print_line(f"{line.at:%H:%M:%S.%f} {line.host:20} {line.text}")
        self.print_line(flow_trace.describe_outcome(lines))
        return base.DONE


def _read(name: str) -> list[str]:
    try:
        return pathlib.Path(name).read_text(errors="replace").splitlines()
    except OSError as exc:
        raise errors.UserError(
            f"cannot read: {exc}", step="read log", peer=name
        ) from exc


COMMANDS = (Trace,)
