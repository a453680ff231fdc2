"""Golden files of whole sessions of the agent core.

``python -m features.golden`` compares all sessions with their files;
``--accept`` writes the files anew, to be reviewed as text.
"""

from collections.abc import Callable
import difflib
import pathlib
import sys

import msgspec

from bench import driver
from bench import fleet
from crocusmux import decisions
from crocusmux import messages

FOLDER = pathlib.Path(__file__).resolve().parent / "golden"


class Recorder:
    """Writes down events in, and decisions and messages out."""

    def __init__(self, seed: int = 1) -> None:
        self.drv = driver.Driver(seed)
        served = {f"h{i}": fleet.SERVICES for i in range(3)}
        self.fleet = fleet.Fleet(self.drv, served, hash_slots=16)
        self.drv.run(1000.5)
        self.lines: list[str] = []
        self._names: dict[int, str] = {}
        self.fleet.trace = self._trace

    def event(self, text: str) -> None:
        """Writes an event that comes from outside."""
        self.lines.append(f"{self.drv.now - 1000:8.4f} -> {text}")

    def _trace(self, host: str, output: object) -> None:
        text = self._show(output)
        if text:
            self.lines.append(f"{self.drv.now - 1000:8.4f}    {host}: {text}")

    def _show(self, output: object) -> str:
        if isinstance(output, messages.Send):
            if isinstance(output.message, messages.LoadReport):
                return ""
            to = self.fleet.by_address.get(output.to)
            to = to or f"balancer {output.to[0]}"
            return f"send {to} {self._fields(output.message)}"
        if isinstance(output, decisions.Decision):
            return decisions.format_decision(output, 1)
        return self._fields(output)

    def _fields(self, struct: object) -> str:
        parts = []
        for field in msgspec.structs.fields(struct):
            value = getattr(struct, field.name)
            if field.name in ("service", "load", "target"):
                continue
            if field.name == "incarnation":
                value = self._name(value)
            elif field.name == "flow":
                value = decisions.show_flow(value)
            elif field.name == "entry":
                value = f"({self._fields(value)})"
            elif field.name == "entries":
                value = [self._fields(entry) for entry in value]
            parts.append(f"{field.name}={value}")
        return f"{type(struct).__name__} {' '.join(parts)}"

    def _name(self, number: int) -> str:
        name = f"i{len(self._names) + 1}"
        return self._names.setdefault(number, name) if number else "0"


def _tcp_flow(r: Recorder) -> None:
    r.event("caller opens a booking over TCP")
    r.fleet.new_tcp("rounds", "booking")
    r.drv.run(r.drv.now + 5)


def _udp_order(r: Recorder) -> None:
    caller = r.fleet.new_udp("rounds", "booking", 4000)
    for i in range(2):
        r.event(f"copy {i + 1} of the order, through balancer {i}")
        caller.balancer = i
        r.fleet.send(caller, b"0")
        r.drv.run(r.drv.now + 0.1)
    r.event("the flow ends")
    r.fleet.close(caller)
    r.drv.run(r.drv.now + 1)
    r.event("a late copy")
    r.fleet.send(caller, b"0")
    r.drv.run(r.drv.now + 1)


def _takeover(r: Recorder) -> None:
    caller = r.fleet.new_udp("rounds", "lookup", 4000)
    host = r.fleet.by_address[r.fleet.route(0, "rounds", caller.flow)[2]]
    r.event(f"{host} dies and is suspected")
    r.fleet.crash(host)
    r.fleet.suspect(host)
    r.drv.run(r.drv.now + 0.1)
    r.event("a lookup for one of its slots")
    r.fleet.send(caller, b"0")
    r.drv.run(r.drv.now + 0.5)


def _handover(r: Recorder) -> None:
    caller = r.fleet.new_udp("rounds", "feed", 4000)
    r.event("a feed starts")
    r.fleet.send(caller, b"0")
    r.drv.run(r.drv.now + 0.1)
    r.event(f"{caller.holder} drains")
    r.fleet.set_state(caller.holder, "draining")
    r.fleet.publish("rounds", at_once=True)
    r.drv.run(r.drv.now + 0.2)
    r.event("the feed's next datagram")
    r.fleet.send(caller, b"1")
    r.drv.run(r.drv.now + 0.1)


def _refusal(r: Recorder) -> None:
    for host, proc in r.fleet.procs.items():
        r.event(f"{host} drains")
        for output in proc.core.drain(r.drv.now):
            r.fleet._execute(proc, output)
    r.drv.run(r.drv.now + 0.1)
    r.event("an order arrives")
    caller = r.fleet.new_udp("rounds", "booking", 4000)
    r.fleet.send(caller, b"0")
    r.drv.run(r.drv.now + 0.5)


SESSIONS: dict[str, Callable[[Recorder], None]] = {
    "tcp_flow": _tcp_flow,
    "udp_order": _udp_order,
    "takeover": _takeover,
    "handover": _handover,
    "refusal": _refusal,
}


def play(name: str) -> str:
    """Plays a session and returns its text."""
    recorder = Recorder()
    SESSIONS[name](recorder)
    return "\n".join(recorder.lines) + "\n"


def difference(name: str, text: str) -> str:
    """Returns the difference to the golden file; empty if there is none."""
    path = FOLDER / f"{name}.txt"
    known = path.read_text() if path.exists() else ""
    lines = difflib.unified_diff(
        known.splitlines(), text.splitlines(), str(path), "now", lineterm=""
    )
    return "\n".join(lines)


def main() -> int:
    """Compares or accepts all sessions."""
    status = 0
    for name in SESSIONS:
        text = play(name)
        if "--accept" in sys.argv[1:]:
            FOLDER.mkdir(exist_ok=True)
            (FOLDER / f"{name}.txt").write_text(text)
        elif diff := difference(name, text):
            print(diff)
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
