"""Command that explains a flow from saved logs."""

import pathlib
from typing import ClassVar

from cleo import helpers

from crocusmux import errors
from crocusmux import flow_trace
from crocusmux.ui import base


class Trace(base.Command):
    """Explains a flow from the saved logs of several daemons."""

    name = "trace"
    description = "Explain what became of a flow, from saved logs."
    arguments: ClassVar = [
        helpers.argument("flow", "Flow, or a part such as its caller:port."),
        helpers.argument("logs", "Log files of daemons.", multiple=True),
    ]

    def handle(self) -> int:
        """Prints the flow's lines, what its hosts believed, and the end."""
        texts: list[str] = []
        for name in self.argument("logs"):
            texts += _read(name)
        flow = self.text("flow")
        lines = flow_trace.trace_flow(flow, texts)
        if not lines:
            raise errors.UserError(
                "no log line names this flow", step="trace", peer=flow
            )
        for line in lines:
            self.say(f"{line.at:%H:%M:%S.%f} {line.host:20} {line.text}")
        self.say(flow_trace.describe_outcome(lines))
        return base.DONE


def _read(name: str) -> list[str]:
    try:
        return pathlib.Path(name).read_text(errors="replace").splitlines()
    except OSError as exc:
        raise errors.UserError(
            f"cannot read: {exc}", step="read log", peer=name
        ) from exc


COMMANDS = (Trace,)
