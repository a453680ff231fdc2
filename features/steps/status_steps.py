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


class ExtraHandler(web.RequestHandler):
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
            [("/extra", ExtraHandler)],
        )

    context.start_server = start
    context.server = loop.run_until_complete(start())

    def stop():
        loop.run_until_complete(context.server.stop())
        loop.close()
        asyncio.set_event_loop(None)

    context.add_cleanup(stop)


@when("the daemon {event}")
def change_daemon(context, event):
    health, metrics = context.health, context.telemetry
    if event == "becomes ready":
        health.set_ready()
    elif event == "loses its upstreams":
        health.versions["in-force"] = 7
        health.set_unready("no upstream\nof any service")
    else:
        metrics.new_flows += 3
        for number in range(70):
            telemetry.count_reason(metrics.refused, f"reason-{number}")
        metrics.record_service_time(0.004)
        metrics.record_service_time(0.7)


@then("GET {path} gives {code:d} and {body}")
def check_get(context, path, code, body):
    url = f"http://127.0.0.1:{context.server.port}{path}"
    response = context.loop.run_until_complete(
        httpclient.AsyncHTTPClient(force_instance=True).fetch(
            url, raise_error=False
        )
    )
    assert response.code == code, response.code
    assert body.strip('"') in response.body.decode(), response.body.decode()
    if path == "/ready":
        assert response.body.count(b"\n") == 1, response.body


@then("a second daemon's metrics hold {line}")
def check_second_daemon(context, line):
    second = telemetry.Telemetry("balancer", "b")
    assert line in second.exposition().decode()


@then("a second server on its port fails with an error that names the address")
def check_port_in_use(context):
    address = f"127.0.0.1:{context.server.port}"
    try:
        context.loop.run_until_complete(context.start_server(address))
    except errors.SettingsError as exc:
        assert exc.peer == address, exc
        return
    raise AssertionError("two servers listen on the same port")
