import statistics

from behave import given
from behave import then

from bench import capacity


@given("the stored slopes and the capacity page")
def read_files(context):
    context.model = capacity.Model(capacity.load())
    context.page = capacity.PAGE.read_text()


@then("rewriting the page changes nothing")
def check_tables(context):
    assert capacity.rewrite(context.page, context.model) == context.page, (
        "run python -m bench.capacity --page"
    )


@then("each figure is on the side of its bound that the page claims")
def check_bounds(context):
    for check in capacity.list_checks(context.model):
        assert (check.value <= check.bound) == check.met, check


@then("the page's table of bounds contains the claim")
def check_claims(context):
    for check in capacity.list_checks(context.model):
        lines = [
            line
            for line in context.page.splitlines()
            if line.startswith(f"| {check.name} |")
        ]
        assert len(lines) == 1, check.name
        assert ("not met" in lines[0]) != check.met, lines[0]


@then("each slope is the line through its three or more points")
def check_slopes(context):
    for name, stored in context.model.slopes.items():
        xs, ys = zip(*stored["points"], strict=True)
        assert len(xs) >= 3, name
        slope, _ = statistics.linear_regression(xs, ys)
        # Points are stored with five digits, slopes with four.
        is_close = abs(slope - stored["slope"]) <= 0.01 * abs(slope) + 0.01
        assert is_close, (name, slope, stored["slope"])
        assert stored["error"] >= 0, name
