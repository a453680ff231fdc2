"""Extraction of a flow's history and outcome from the logs of daemons."""

from collections.abc import Iterable
import datetime
import re

import msgspec

# State changes are shown from this time before the flow's first line to its
# last line, in seconds; an agent counts as silent after 1 s.
STATE_CHANGE_MARGIN_S = 2.0

_LINE = re.compile(
    r"(?P<at>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) \w+ \S+ "
    r"event=(?P<event>\S+)(?: flow=(?P<flow>\S+))?(?P<rest>.*)"
)
_WORD = re.compile(r"(\w+)=(\S+)")
# Events without a flow that report what a daemon assumes of its peers.
_STATE_CHANGES = frozenset(
    {
        "agent-added",
        "agent-removed",
        "agent-state",
        "agent-unresponsive",
        "agent-withdrawn",
        "configure",
        "evacuate",
        "evacuation-ended",
        "history-gone",
        "left-out",
        "pacing",
        "pacing-ended",
        "start",
        "stop",
        "store-back",
        "store-lost",
        "upstream-answers",
        "upstream-left",
        "upstream-outlier",
        "upstream-recovered",
        "upstream-silent",
        "upstream-started",
    }
)


class LogLine(msgspec.Struct, frozen=True):
    """A log line of a daemon.

    Attributes:
        at: Time of the line, by the clock of its host.
        host: Host that wrote the line.
        event: Name of the event.
        flow: Flow of the event; empty if none.
        text: The line from the event name on.
        words: The ``key=value`` words of the line.
    """

    at: datetime.datetime
    host: str
    event: str
    flow: str
    text: str
    words: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Parses a log line; returns None if it is not an event line."""
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
    """Returns the log lines that explain a flow, ordered by time.

    These are the flow's own lines and the state changes during them: changes
    of configuration and store at the hosts that logged the flow, and changes
    of the agents that the flow's lines name.

    Args:
        flow: Name of the flow in the logs, ``caller:port>route:port``, or a
            part of it such as ``caller:port``.
        texts: Log lines of any daemons.
    """
    lines = [line for line in map(parse_line, texts) if line is not None]
    flow_lines = [line for line in lines if flow in line.flow]
    if not flow_lines:
        return []
    hosts = {line.host for line in flow_lines}
    agents = {line.words.get("agent", "-") for line in flow_lines}
    begin = min(line.at for line in flow_lines) - datetime.timedelta(
        seconds=STATE_CHANGE_MARGIN_S
    )
    end = max(line.at for line in flow_lines)
    state_changes = [
        line
        for line in lines
        if line.event in _STATE_CHANGES
        and begin <= line.at <= end
        and _is_related(line, hosts, agents)
    ]
    return sorted(flow_lines + state_changes, key=lambda line: line.at)


def _is_related(line: LogLine, hosts: set[str], agents: set[str]) -> bool:
    if line.host in agents:
        return True
    agent = line.words.get("agent")
    return line.host in hosts and (agent is None or agent in agents)


def describe_outcome(lines: list[LogLine]) -> str:
    """Returns one sentence on the outcome of a flow."""
    outcomes = {
        "refuse": "It was refused and no request of it has run",
        "flow-lost": "Its upstream no longer has it, and it was reset",
        "place": "It was offered to an upstream and these logs show no end of it",
        "held": "An agent holds it and these logs show no end of it",
        "ask": "Its holder was not found in these logs",
        "wait": "It waited for an upstream and no later decision is in these logs",
        "declined": "It was declined and no later decision is in these logs",
    }
    decisions = [line for line in lines if line.event in outcomes]
    if not decisions:
        return "No decision on this flow is in these logs."
    last = decisions[-1]
    reason = last.words.get("reason")
    cause = f": {reason}" if reason else ""
    return f"{outcomes[last.event]}{cause} ({last.host})."
