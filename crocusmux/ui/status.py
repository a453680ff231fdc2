"""Commands that query running daemons and watch the object API."""

import asyncio

from cleo import helpers

from crocusmux import addresses
from crocusmux import errors
from crocusmux import fleet
from crocusmux import operations
from crocusmux.objectapi import client as objectapi_client
from crocusmux.ui import base

_READ = [base.PLATFORM, base.JSON]
_DAEMON = helpers.option(
    "daemon",
    None,
    "Query the daemon at this HTTP ip:port, not the platform; repeatable.",
    flag=False,
    multiple=True,
)


class Status(base.Command):
    """Shows the daemons."""

    name = "status"
    description = "Show the daemons and whether they have the newest versions."
    options = [
        *_READ,
        _DAEMON,
        helpers.option("problems", None, "Show only daemons not in order."),
        base.value_option(
            "forget", "Delete the record of this host, which was replaced."
        ),
    ]

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        return self.run_coroutine(self._run())

    async def _run(self) -> int:
        current, newest = None, None
        if self.option("daemon"):
            daemons = _records_of(self.option("daemon"))
        else:
            client = base.make_client(self.value("platform"))
            if self.value("forget"):
                await fleet.delete_record(client, self.value("forget"))
            daemons = await fleet.list_daemons(client)
            newest = await fleet.newest_versions(client)
            current = await operations.preset_in_force(client)
        reports = await fleet.fetch_reports(daemons, newest)
        healthy_count = sum(report.healthy for report in reports)
        if self.option("problems"):
            reports = [report for report in reports if not report.healthy]
        if self.option("json"):
            status = {"in_force": current, "daemons": reports}
            self.print_json(
                {**status, "in_order": healthy_count, "total": len(daemons)}
            )
            return base.DONE
        if current:
            preset = current.preset
            self.print_line(
                f"in force: preset {preset.name} revision {preset.revision}, "
                f"version {current.version}, chosen by {current.writer}"
            )
        self.print_line(f"{healthy_count} of {len(daemons)} daemons in order")
        if reports:
            heads = ("DAEMON", "ROLE", "DOMAIN", "HTTP", "STATE")
            self.print_rows(heads, [_row(report) for report in reports])
        return base.DONE


class Explain(base.Command):
    """Explains a routing decision."""

    name = "explain"
    description = "Ask a balancer where it would send a caller's flow."
    arguments = [
        helpers.argument("service", "Name of the service."),
        helpers.argument("address", "Name of the service's address."),
        helpers.argument("caller", "ip:port of the caller."),
    ]
    options = [
        *_READ,
        base.value_option("balancer", "Name of the balancer to query."),
        _DAEMON,
    ]

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        return self.run_coroutine(self._run())

    async def _run(self) -> int:
        _check_address(self.value("caller"), "caller")
        if self.option("daemon"):
            balancers = _records_of(self.option("daemon"))
        else:
            client = base.make_client(self.value("platform"))
            balancers = await fleet.list_daemons(client)
            balancers = _select_balancers(balancers, self.value("balancer"))
        daemon, answer = await fleet.explain_route(
            balancers,
            self.value("service"),
            self.value("address"),
            self.value("caller"),
        )
        if self.option("json"):
            self.print_json({"balancer": daemon.name, "answer": answer})
            return base.DONE
        self.print_line(f"balancer: {daemon.name}")
        self.print_line(
            answer if isinstance(answer, str) else base.as_yaml(answer)
        )
        return base.DONE


class Watch(base.ObjectApiCommand):
    """Prints changes of objects."""

    name = "watch"
    description = "Print each change of an object in the platform."
    arguments = [
        helpers.argument("prefix", "Prefix of the keys.", optional=True)
    ]
    options = [*_READ, base.value_option("count", "Number of lines to print.")]

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Prints the current objects, then each change."""
        count = self.number_option("count")
        finished = asyncio.Event()
        lines = 0

        def show(
            key: str, version: int, stored: objectapi_client.StoredObject | None
        ) -> None:
            nonlocal lines
            lines += 1
            if count is not None and lines > count:
                return
            writer = stored.envelope.writer if stored else ""
            if self.option("json"):
                change = {"key": key, "version": version, "writer": writer}
                self.print_json({**change, "deleted": stored is None})
            else:
                action = f"written by {writer or '-'}" if stored else "deleted"
                self.print_line(f"{version} {key} {action}")

        def deliver(changes: objectapi_client.ObjectChanges) -> None:
            for stored in changes.items:
                show(stored.key, stored.version, stored)
            for key, version in changes.deleted:
                show(key, version, None)
            if count is not None and lines >= count:
                finished.set()

        # Fails if the object API is down; the watch itself would retry
        # without a message.
        await client.list(self.value("prefix"))
        watch = client.watch(self.value("prefix"), deliver)
        watch_task = asyncio.ensure_future(watch)
        try:
            await finished.wait()
        finally:
            watch_task.cancel()
        return base.DONE


def _row(report: fleet.DaemonReport) -> tuple[str, ...]:
    daemon = report.daemon
    state = report.problem or "ready"
    if report.state and not report.state.ready:
        state = "not ready"
    if report.behind:
        state += ", behind on " + " ".join(report.behind)
    role = daemon.role or (report.state.role if report.state else "")
    return daemon.name, role, daemon.failure_domain, daemon.http, state


def _records_of(http_addresses: list[str]) -> list[fleet.DaemonRecord]:
    """Returns records with only the HTTP addresses of daemons."""
    for address in http_addresses:
        _check_address(address, "daemon")
    return [
        fleet.DaemonRecord(
            name=address, role="", failure_domain="", http=address
        )
        for address in http_addresses
    ]


def _select_balancers(
    daemons: list[fleet.DaemonRecord], name: str
) -> list[fleet.DaemonRecord]:
    balancers = [
        daemon
        for daemon in daemons
        if daemon.role == "balancer" and name in ("", daemon.name)
    ]
    if name and not balancers:
        raise errors.UserError(
            "is not a balancer listed under status/",
            step="explain",
            peer=name,
        )
    return balancers


def _check_address(text: str, argument: str) -> None:
    try:
        addresses.split(text)
    except ValueError as exc:
        raise errors.UserError(
            str(exc), step="read arguments", peer=argument
        ) from exc


COMMANDS = (Status, Explain, Watch)
