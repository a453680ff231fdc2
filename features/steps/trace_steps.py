import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
from cleo.io.outputs import buffered_output

from crocusmux.ui import app

FLOW = "100.64.0.4:1026>198.18.0.1:443"
OTHER = "100.64.0.5:2000>198.18.0.9:443"
LOGS = {
    "edge-1": [
        f"10:00:05,100 event=place flow={FLOW} agent=side-1 load=0.5",
        "10:00:05,200 event=evacuate domain=abay",
        "10:00:05,260 event=agent-state agent=side-1 accepting=False",
        "10:00:05,270 event=agent-state agent=side-7 accepting=True",
        f"10:00:05,280 event=declined flow={FLOW} agent=side-1 reason=x",
    ],
    "edge-2": [
        "10:00:01,000 event=configure version=4 before=3 routes=9",
        f"10:00:04,000 event=refuse flow={OTHER} reason=no-route config=4",
        f"10:00:06,000 event=ask flow={FLOW} agents=8 of=8",
        f"10:00:06,100 event=flow-lost flow={FLOW} reason=denied-by-all",
    ],
    "side-1": [
        "10:00:05,250 event=upstream-silent unanswered_s=0.10",
        "no line of a daemon",
    ],
}


@given("saved logs of two balancers and an agent")
def saved_logs(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.logs = []
    for host, lines in LOGS.items():
        path = pathlib.Path(folder.name) / f"{host}.log"
        texts = [
            f"2026-12-04 {line[:12]} INFO crocusmux.events {line[13:]}"
            f" host={host}"
            for line in lines
        ]
        path.write_text("\n".join(texts) + "\n")
        context.logs.append(str(path))


def run(context, *args):
    out = buffered_output.BufferedOutput()
    err = buffered_output.BufferedOutput()
    context.status = app.main(["trace", *args], out=out, err=err)
    context.lines = out.fetch().splitlines()
    context.error = err.fetch()


@when('ana traces the flow "{flow}"')
def trace_flow(context, flow):
    run(context, flow, *context.logs)


@when("ana traces a flow in a file that does not exist")
def trace_missing(context):
    run(context, "100.64.0.4:1", "/nowhere/edge.log")


@then("she sees these lines in order:")
def sees_lines(context):
    assert context.status == 0, context.error
    lines = [line.split() for line in context.lines[:-1]]
    events = [(words[1], words[2].partition("=")[2]) for words in lines]
    expected = [(row["host"], row["event"]) for row in context.table]
    assert events == expected, events


@then('the last line says "{text}"')
def last_line(context, text):
    assert text in context.lines[-1], context.lines


@then('the trace exits with {status:d} and names "{text}"')
def exits_with(context, status, text):
    assert context.status == status
    assert text in context.error, context.error
