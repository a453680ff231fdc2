"""Golden files: event logs of simulated sessions of the agent core.

``python -m features.golden`` compares all sessions with their golden files;
``--accept`` overwrites the files, whose diff then needs a review.
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
    """Logs the events of a simulated fleet: inputs, decisions and messages."""

    def __init__(self, seed: int = 1) -> None:
        self.drv = driver.Driver(seed)
        served = {f"h{i}": fleet.SERVICES for i in range(3)}
        self.fleet = fleet.Fleet(self.drv, served, hash_slots=16)
        self.drv.run(1000.5)
        self.lines: list[str] = []
        self._names: dict[int, str] = {}
        self.fleet.trace = self._log_output

    def log_event(self, text: str) -> None:
        """Logs an input from outside the fleet."""
        self.lines.append(f"{self.drv.now - 1000:8.4f} -> {text}")

    def _log_output(self, host: str, output: object) -> None:
        text = self._format_output(output)
        if text:
            self.lines.append(f"{self.drv.now - 1000:8.4f}    {host}: {text}")

    def _format_output(self, output: object) -> str:
        if isinstance(output, messages.Send):
            if isinstance(output.message, messages.LoadReport):
                return ""
            to = self.fleet.by_address.get(output.to)
            to = to or f"balancer {output.to[0]}"
            return f"send {to} {self._format_fields(output.message)}"
        if isinstance(output, decisions.Decision):
            return decisions.format_decision(output, 1)
        return self._format_fields(output)

    def _format_fields(self, struct: object) -> str:
        parts = []
        for field in msgspec.structs.fields(struct):
            value = getattr(struct, field.name)
            if field.name in ("service", "load", "target"):
                continue
            if field.name == "incarnation":
                value = self._incarnation_name(value)
            elif field.name == "flow":
                value = decisions.format_flow(value)
            elif field.name == "entry":
                value = f"({self._format_fields(value)})"
            elif field.name == "entries":
                value = [self._format_fields(entry) for entry in value]
            parts.append(f"{field.name}={value}")
        return f"{type(struct).__name__} {' '.join(parts)}"

    def _incarnation_name(self, number: int) -> str:
        name = f"i{len(self._names) + 1}"
        return self._names.setdefault(number, name) if number else "0"


def _tcp_flow(rec: Recorder) -> None:
    rec.log_event("caller opens a booking over TCP")
    rec.fleet.new_tcp("rounds", "booking")
    rec.drv.run(rec.drv.now + 5)


def _udp_order(rec: Recorder) -> None:
    caller = rec.fleet.new_udp("rounds", "booking", 4000)
    for i in range(2):
        rec.log_event(f"copy {i + 1} of the order, through balancer {i}")
        caller.balancer = i
        rec.fleet.send(caller, b"0")
        rec.drv.run(rec.drv.now + 0.1)
    rec.log_event("the flow ends")
    rec.fleet.close(caller)
    rec.drv.run(rec.drv.now + 1)
    rec.log_event("a late copy")
    rec.fleet.send(caller, b"0")
    rec.drv.run(rec.drv.now + 1)


def _takeover(rec: Recorder) -> None:
    caller = rec.fleet.new_udp("rounds", "lookup", 4000)
    host = rec.fleet.by_address[rec.fleet.route(0, "rounds", caller.flow)[2]]
    rec.log_event(f"{host} dies and is suspected")
    rec.fleet.crash(host)
    rec.fleet.suspect(host)
    rec.drv.run(rec.drv.now + 0.1)
    rec.log_event("a lookup for one of its slots")
    rec.fleet.send(caller, b"0")
    rec.drv.run(rec.drv.now + 0.5)


def _handover(rec: Recorder) -> None:
    caller = rec.fleet.new_udp("rounds", "feed", 4000)
    rec.log_event("a feed starts")
    rec.fleet.send(caller, b"0")
    rec.drv.run(rec.drv.now + 0.1)
    rec.log_event(f"{caller.holder} drains")
    rec.fleet.set_state(caller.holder, "draining")
    rec.fleet.publish("rounds", at_once=True)
    rec.drv.run(rec.drv.now + 0.2)
    rec.log_event("the feed's next datagram")
    rec.fleet.send(caller, b"1")
    rec.drv.run(rec.drv.now + 0.1)


def _refusal(rec: Recorder) -> None:
    for host, proc in rec.fleet.procs.items():
        rec.log_event(f"{host} drains")
        for output in proc.core.drain(rec.drv.now):
            rec.fleet._execute(proc, output)
    rec.drv.run(rec.drv.now + 0.1)
    rec.log_event("an order arrives")
    caller = rec.fleet.new_udp("rounds", "booking", 4000)
    rec.fleet.send(caller, b"0")
    rec.drv.run(rec.drv.now + 0.5)


SESSIONS: dict[str, Callable[[Recorder], None]] = {
    "tcp_flow": _tcp_flow,
    "udp_order": _udp_order,
    "takeover": _takeover,
    "handover": _handover,
    "refusal": _refusal,
}


def play(name: str) -> str:
    """Simulates a session and returns its event log."""
    rec = Recorder()
    SESSIONS[name](rec)
    return "\n".join(rec.lines) + "\n"


def difference(name: str, text: str) -> str:
    """Returns the diff from the golden file; empty if they are equal."""
    path = FOLDER / f"{name}.txt"
    golden = path.read_text() if path.exists() else ""
    lines = difflib.unified_diff(
        golden.splitlines(), text.splitlines(), str(path), "now", lineterm=""
    )
    return "\n".join(lines)


def main() -> int:
    """Compares all sessions with their golden files, or overwrites these."""
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
