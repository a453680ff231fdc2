import asyncio
import json
import pathlib
import re
import shlex
import tempfile

from behave import given
from behave import then
from behave import when
from cleo.io.outputs import buffered_output
import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from crocusmux import errors
from crocusmux import fleet
from crocusmux import objects
from crocusmux import operations
from crocusmux.ui import app
from features import loop as paused
from features.steps import platform_client_steps as shared

CLASSES = "classes: [{name: feeds, kind: long}]\n"
API_COMMANDS = ["preset", "service", "upstream", "status", "explain", "watch"]
CHANGE_COMMANDS = (
    "preset put",
    "preset use",
    "service put",
    "upstream add",
    "upstream drain",
    "upstream undrain",
    "upstream retire",
)
KEY_LINE = "key: 00112233445566778899aabbccddeeff\n"
FILES = {
    "peak": "name: peak\n" + CLASSES,
    "calm": "name: calm\n" + CLASSES,
    "new": "name: new\n" + CLASSES,
    "empty": "name: empty\n",
    "shares": "name: peak\nclasses:\n"
    "- {name: a, kind: long, reserve_share: 0.6}\n"
    "- {name: b, kind: long, reserve_share: 0.6}\n",
    "rounds": "name: rounds\naddresses:\n"
    "- {name: feed, protocol: tcp, port: 7001, work_class: feeds}\n",
    "slots": "name: rounds\nhash_slots: 256\n",
    "taken": "name: wheelbook\naddresses:\n"
    "- {name: a, protocol: tcp, port: 7001, ip: 10.0.0.1, work_class: feeds}",
    "broken": "name: {\n",
    "settings": "host: h\n" + KEY_LINE,
    "platform": "host: h\nrole: platform\n",
}


class FakeDaemon:
    """HTTP server of a daemon that applies changes, or stays stale."""

    def __init__(self, store, name, current):
        self.store, self.name, self.current = store, name, current
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        handler_args = {"daemon": self}
        routes = [("/status", StatusHandler, handler_args)]
        routes += [("/explain", ExplainHandler, handler_args)]
        http_server = httpserver.HTTPServer(
            web.Application(routes, log_function=lambda handler: None)
        )
        http_server.add_sockets(sockets)
        self.http = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self.http_server = http_server

    def versions(self):
        if not self.current:
            return {"services/rounds": 1}
        return {k: e.version for k, e in self.store.list("").items()}


class StatusHandler(web.RequestHandler):
    def initialize(self, daemon):
        self.daemon = daemon

    def get(self):
        state = {"host": self.daemon.name, "role": "balancer", "ready": True}
        self.finish({**state, "versions": self.daemon.versions(), "since": 1})


class ExplainHandler(StatusHandler):
    def get(self):
        names = ("service", "address", "caller")
        lines = [f"{name}: {self.get_query_argument(name)}" for name in names]
        self.finish(json.dumps("\n".join(lines)))


def run_command(context, name, line):
    """Run a command line and return its exit status, stdout and stderr."""
    for file, path in context.files.items():
        line = line.replace(f"{{{file}}}", str(path))
    args = shlex.split(line)
    if args[0] in API_COMMANDS:
        args.append(f"--platform={context.server.url}")
    if " ".join(args[:2]) in CHANGE_COMMANDS:
        args.append(f"--operator={name}")
    out, err = (buffered_output.BufferedOutput() for _ in range(2))
    status = app.main(args, run_loop=context.run_loop, out=out, err=err)
    return status, out.fetch(), err.fetch()


@given("an object store with services, presets and upstreams")
def start_operators(context):
    context.loop = paused.PausedLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(shared.close, context)
    shared.start(context)
    context.run_loop = lambda coro: shared.drive(context.loop, coro)
    folder = pathlib.Path(tempfile.mkdtemp())
    context.files, context.daemons = {}, {}
    for name, text in FILES.items():
        context.files[name] = folder / f"{name}.yaml"
        context.files[name].write_text(text)
    for line in (
        "service put {rounds}",
        "preset put {calm}",
        "preset put {peak}",
        "preset put {empty}",
        "preset use calm",
        "upstream add rounds r1 10.0.0.1:1 h1 --domain d --agent 10.0.0.1:9",
    ):
        status, _, err = run_command(context, "setup", line)
        assert status == 0, err
    key = objects.MEMBERSHIP_PREFIX + "rounds"
    setup = shared.new_client(context, "setup", 9)
    stored = shared.drive(context.loop, setup.get(key))
    hosts = {
        "h1": {"r1": "ready", "r2": "ready", "r3": "draining"},
        "h2": {"r5": "draining", "r6": "gone"},
    }
    members = tuple(
        objects.Member(
            host=host,
            failure_domain="d",
            agent="10.0.0.1:9",
            upstreams=tuple(
                objects.Upstream(name=name, address="10.0.0.1:1", state=state)
                for name, state in states.items()
            ),
        )
        for host, states in hosts.items()
    )
    membership = objects.Membership(service="rounds", members=members)
    body = objects.encode(membership)
    shared.drive(context.loop, setup.put(key, body, stored))
    context.setup = setup
    context.effects_before = context.server.counts.effects


def add_daemon(context, name, current):
    async def make():
        return FakeDaemon(context.server.store, name, current)

    daemon = shared.drive(context.loop, make())
    context.daemons[name] = daemon
    context.add_cleanup(daemon.http_server.stop)
    announce(context, name, daemon.http)


def announce(context, name, http):
    record = fleet.DaemonRecord(
        name=name, role="balancer", failure_domain="d", http=http
    )
    shared.drive(context.loop, fleet.announce_daemon(context.setup, record))
    context.effects_before = context.server.counts.effects


@given('the daemons "{one}" and "{two}" that apply changes')
def add_current_daemons(context, one, two):
    for name in (one, two):
        add_daemon(context, name, True)


@given('the daemon "{name}" that does not')
def add_stale_daemon(context, name):
    add_daemon(context, name, False)


@given('a daemon "{name}" that does not reply')
def add_silent_daemon(context, name):
    announce(context, name, "127.0.0.1:1")


@given("the test server loses the replies to {count:d} writes")
def lose_operator_answers(context, count):
    context.server.set_faults(lose_answers=count)


@given("the test server drops each write")
def lose_operator_writes(context):
    context.server.set_faults(lose_writes=1000)


@given("the object API is down")
def stop_object_api(context):
    context.server.set_faults(down=True)


@given('ana ran "{line}"')
@when('ana runs "{line}"')
def run_as_ana(context, line):
    context.outcome = run_command(context, "ana", line)


@when('ana runs "{first}" and luis runs "{second}" at once')
def run_both(context, first, second):
    # The coroutines of both commands are collected, then run concurrently.
    coros, run_loop = [], context.run_loop

    async def run_collected():
        return await asyncio.gather(*coros, return_exceptions=True)

    context.run_loop = lambda coro: coros.append(coro) or 0
    run_command(context, "ana", first)
    run_command(context, "luis", second)
    context.run_loop = run_loop
    results = shared.drive(context.loop, run_collected())
    context.results = dict(zip(("ana", "luis"), results, strict=True))


@when('the preset "{name}" is deleted')
def delete_preset(context, name):
    shared.attempt(context, operations.delete_preset(context.setup, name))


@when('the output of "{show}" is given to "{put}"')
def put_back(context, show, put):
    status, out, _ = run_command(context, "ana", show)
    assert status == 0
    context.files["output"] = context.files["new"].parent / "output.yaml"
    context.files["output"].write_text(out)
    context.outcome = run_command(context, "ana", put + " {output}")


@then("one exits with 0, the other with 1 and the name of the first")
def check_one_winner(context):
    winners = [name for name, result in context.results.items() if result == 0]
    failures = [r for r in context.results.values() if r != 0]
    assert len(winners) == 1, context.results
    assert isinstance(failures[0], errors.ConflictError), context.results
    assert f"written by {winners[0]}" in str(failures[0]), failures[0]
    assert app._exit_status(failures[0]) == 1


@then("both exit with 0")
def check_both(context):
    assert list(context.results.values()) == [0, 0], context.results


@then("the object store applied {count:d} write")
@then("the object store applied {count:d} writes")
def check_writes(context, count):
    effects = context.server.counts.effects - context.effects_before
    assert effects == count, effects


@then("the command exits with {status:d}")
def check_exit(context, status):
    assert context.outcome[0] == status, context.outcome


@then('the command exits with {status:d} and one line naming "{text}"')
def check_line(context, status, text):
    code, out, err = context.outcome
    assert code == status, context.outcome
    assert out == "", out
    assert err.startswith("crocusmux: ") and err.count("\n") == 1, err
    assert text in err, err


@then('the operation fails with a UserError "{text}"')
def check_user_error(context, text):
    assert isinstance(context.error, errors.UserError), context.error
    assert text in str(context.error), context.error


@then('stderr has the line "{line}"')
def check_stderr(context, line):
    assert line in context.outcome[2].splitlines(), context.outcome


@then('"{line}" prints "{pattern}"')
def check_prints(context, line, pattern):
    status, out, err = run_command(context, "ana", line)
    assert status == 0, err
    assert re.search(pattern, out), out


@then('"{line}" gives revisions 1, 2, 1')
def check_revisions(context, line):
    _, out, _ = run_command(context, "ana", line)
    revisions = [entry["preset"]["revision"] for entry in json.loads(out)]
    assert revisions == [1, 2, 1], revisions


@then('"{line}" prints one JSON value')
def check_json(context, line):
    status, out, err = run_command(context, "ana", line)
    assert status == 0, err
    msgspec.json.decode(out)
    assert out.count("\n") == 1, out


@then(
    'with the object API down, the status of "{one}" and "{two}" shows that "{stale}" lags'
)
def check_status_down(context, one, two, stale):
    context.server.set_faults(down=True)
    addresses = [context.daemons[name].http for name in (one, two)]
    options = " ".join(f"--daemon {address}" for address in addresses)
    status, out, err = run_command(context, "ana", f"status {options}")
    assert status == 0, err
    assert "1 of 2 daemons in order" in out, out
    assert re.search(context.daemons[stale].http + " .*behind on", out), out


@then('with the object API down, "{line}" exits with 2 and one line')
def check_down(context, line):
    context.server.set_faults(down=True)
    context.outcome = run_command(context, "ana", line)
    check_line(context, 2, "GET")


def state_overrides(context):
    key = objects.MEMBERSHIP_PREFIX + "rounds"
    stored = shared.drive(context.loop, context.setup.get(key))
    return objects.decode(stored.versioned).holds


@then("the membership of rounds overrides the state of r5 with gone")
def check_override(context):
    (override,) = state_overrides(context)
    assert (override.upstream, override.state) == ("r5", "gone"), override


@then("the membership of rounds has no state overrides")
def check_no_override(context):
    assert state_overrides(context) == (), state_overrides(context)
