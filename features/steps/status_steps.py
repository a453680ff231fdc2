import asyncio

from behave import given
from behave import then
from behave import when
from tornado import httpclient
from tornado import web

from crocusmux import errors
from crocusmux import telemetry
from crocusmux.daemons import status
from features import loop as paused


class Extra(web.RequestHandler):
    def get(self):
        self.write("from the daemon")


def explain(args):
    if not args["flow"]:
        raise ValueError("not a flow id")
    return args


@given("the HTTP server of a daemon without configuration")
def start_server(context):
    loop = paused.PausedLoop()
    asyncio.set_event_loop(loop)
    context.loop = loop
    context.health = status.Health("h", "agent", "abay", lambda: 0.0)
    context.telemetry = telemetry.Telemetry("agent", "h", "abay")

    async def start(address="127.0.0.1:0"):
        return status.start_http_server(
            address,
            context.health,
            context.telemetry.exposition,
            explain,
            [("/extra", Extra)],
        )

    context.start = start
    context.server = loop.run_until_complete(start())

    def stop():
        loop.run_until_complete(context.server.stop())
        loop.close()
        asyncio.set_event_loop(None)

    context.add_cleanup(stop)


@when("the daemon {event}")
def change_daemon(context, event):
    health, counts = context.health, context.telemetry
    if event == "becomes ready":
        health.set_ready()
    elif event == "loses its upstreams":
        health.versions["in-force"] = 7
        health.set_unready("no upstream\nof any service")
    else:
        counts.new_flows += 3
        for number in range(70):
            telemetry.count_reason(counts.refused, f"reason-{number}")
        counts.record_service_time(0.004)
        counts.record_service_time(0.7)


@then("GET {path} gives {code:d} and {body}")
def check_get(context, path, code, body):
    url = f"http://127.0.0.1:{context.server.port}{path}"
    got = context.loop.run_until_complete(
        httpclient.AsyncHTTPClient(force_instance=True).fetch(
            url, raise_error=False
        )
    )
    assert got.code == code, got.code
    assert body.strip('"') in got.body.decode(), got.body.decode()
    if path == "/ready":
        assert got.body.count(b"\n") == 1, got.body


@then("a second daemon's metrics hold {line}")
def check_second(context, line):
    other = telemetry.Telemetry("balancer", "b")
    assert line in other.exposition().decode()


@then("a second server on its port is refused with the address")
def check_port_in_use(context):
    address = f"127.0.0.1:{context.server.port}"
    try:
        context.loop.run_until_complete(context.start(address))
    except errors.SettingsError as exc:
        assert exc.peer == address, exc
        return
    raise AssertionError("the port was taken twice")
