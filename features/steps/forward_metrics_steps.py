from behave import given
from behave import then

from crocusmux import metrics
from crocusmux.core.forward import outputs


@given("metrics that counted place 3 times and refuse once")
def counted(context):
    context.metrics = metrics.Metrics()
    for what in ("place", "refuse", "place", "place"):
        context.metrics.count_event(what)


@given(
    "that observed openings placed after {first:d}, {second:d} and {third:d} ms"
)
def observed(context, first, second, third):
    for ms in (first, second, third):
        timing = outputs.Timing(outputs.PLACED, ms / 1000)
        context.metrics.observe_duration(timing)


@then("their text says")
def text_says(context):
    lines = context.metrics.render().decode().splitlines()
    for row in context.table:
        assert row["line"] in lines, (row["line"], lines)
