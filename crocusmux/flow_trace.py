"""Finds what became of a flow in the saved logs of several daemons."""

from collections.abc import Iterable
import datetime
import re

import msgspec

# Changes of belief are shown from so long before the flow's first line until
# its last one, seconds: an agent counts as silent after 1 s.
BELIEF_S = 2.0

_LINE = re.compile(
    r"(?P<at>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) \w+ \S+ "
    r"event=(?P<event>\S+)(?: flow=(?P<flow>\S+))?(?P<rest>.*)"
)
_WORD = re.compile(r"(\w+)=(\S+)")
# Lines without a flow that tell what a daemon believes of others.
_BELIEFS = frozenset(
    {
        "agent-added",
        "agent-removed",
        "agent-state",
        "configure",
        "history-gone",
        "left-out",
        "start",
        "stop",
        "store-back",
        "store-lost",
        "upstream-answers",
        "upstream-left",
        "upstream-silent",
        "upstream-started",
    }
)


class LogLine(msgspec.Struct, frozen=True):
    """A log line of a daemon.

    Attributes:
        at: Time by the clock of its host.
        host: Host that wrote it.
        event: Kind of event.
        flow: Flow it concerns; empty if none.
        text: The line from the kind of event on.
        words: The ``name=value`` words of the line.
    """

    at: datetime.datetime
    host: str
    event: str
    flow: str
    text: str
    words: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Returns a log line; None for a line of another form."""
    match = _LINE.search(text)
    if match is None:
        return None
    words = dict(_WORD.findall(match["rest"]))
    return LogLine(
        at=datetime.datetime.strptime(match["at"], "%Y-%m-%d %H:%M:%S,%f"),
        host=words.get("host", "-"),
        event=match["event"],
        flow=match["flow"] or "",
        text=match[0][match.start("event") - match.start() - len("event=") :],
        words=words,
    )


def trace_flow(flow: str, texts: Iterable[str]) -> list[LogLine]:
    """Returns the lines that explain a flow, in the order of their times.

    These are the flow's own lines, and what its hosts believed meanwhile:
    changes of configuration and of the store's state at the hosts that wrote
    about the flow, and changes of the agents that these lines name.

    Args:
        flow: The flow as the logs name it, ``caller:port>route:port``; a
            part of it such as ``caller:port`` is enough.
        texts: Log lines of any daemons.
    """
    lines = [line for line in map(parse_line, texts) if line is not None]
    own = [line for line in lines if flow in line.flow]
    if not own:
        return []
    hosts = {line.host for line in own}
    agents = {line.words.get("agent", "-") for line in own}
    begin = min(line.at for line in own) - datetime.timedelta(seconds=BELIEF_S)
    end = max(line.at for line in own)
    beliefs = [
        line
        for line in lines
        if line.event in _BELIEFS
        and begin <= line.at <= end
        and _concerns(line, hosts, agents)
    ]
    return sorted(own + beliefs, key=lambda line: line.at)


def _concerns(line: LogLine, hosts: set[str], agents: set[str]) -> bool:
    if line.host in agents:
        return True
    named = line.words.get("agent")
    return line.host in hosts and (named is None or named in agents)


def describe_outcome(lines: list[LogLine]) -> str:
    """Returns in one sentence what became of a flow."""
    ends = {
        "refuse": "It was refused and no request of it has run",
        "flow-lost": "It was open, its upstream has lost it, and it was reset",
        "place": "It was offered to an upstream and nothing ended it here",
        "held": "It is held by an agent and nothing ended it here",
        "ask": "Its holder was not found in these logs",
        "wait": "It waited for an upstream and no later decision is here",
        "declined": "It was declined and no later decision is in these logs",
    }
    own = [line for line in lines if line.event in ends]
    if not own:
        return "No decision on this flow is in these logs."
    last = own[-1]
    reason = last.words.get("reason")
    cause = f": {reason}" if reason else ""
    return f"{ends[last.event]}{cause} ({last.host})."
