"""Commands that show the running system."""

import asyncio

from cleo import helpers

from crocusmux import addresses
from crocusmux import daemon_records
from crocusmux import errors
from crocusmux import operations
from crocusmux.objectapi import client as objectapi_client
from crocusmux.ui import base

_READ = [base.PLATFORM, base.JSON]
_DAEMON = helpers.option(
    "daemon",
    None,
    "Ask the daemon with this HTTP address (ip:port) and not the platform; "
    "may be given several times.",
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
        helpers.option("problems", None, "Only daemons not in order."),
        base.value_option(
            "forget", "Delete the record of this host, which was replaced."
        ),
    ]

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        return self.wait_for(self._act())

    async def _act(self) -> int:
        current, newest = None, None
        if self.option("daemon"):
            known = _named(self.option("daemon"))
        else:
            client = base.make_client(self.text("platform"))
            if self.text("forget"):
                await daemon_records.delete_record(client, self.text("forget"))
            known = await daemon_records.list_daemons(client)
            newest = await daemon_records.newest_versions(client)
            current = await operations.preset_in_force(client)
        found = await daemon_records.fetch_reports(known, newest)
        good = sum(report.healthy for report in found)
        if self.option("problems"):
            found = [report for report in found if not report.healthy]
        if self.option("json"):
            shown = {"in_force": current, "daemons": found}
            self.say_json({**shown, "in_order": good, "total": len(known)})
            return base.DONE
        if current:
            preset = current.preset
            self.say(
                f"in force: preset {preset.name} revision {preset.revision}, "
                f"version {current.version}, chosen by {current.writer}"
            )
        self.say(f"{good} of {len(known)} daemons in order")
        if found:
            heads = ("DAEMON", "ROLE", "DOMAIN", "HTTP", "STATE")
            self.say_table(heads, [_row(report) for report in found])
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
        base.value_option("balancer", "Name of the balancer to ask."),
        _DAEMON,
    ]

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        return self.wait_for(self._act())

    async def _act(self) -> int:
        _check_address(self.text("caller"), "caller")
        if self.option("daemon"):
            known = _named(self.option("daemon"))
        else:
            client = base.make_client(self.text("platform"))
            known = await daemon_records.list_daemons(client)
            known = _balancers(known, self.text("balancer"))
        daemon, answer = await daemon_records.explain_route(
            known,
            self.text("service"),
            self.text("address"),
            self.text("caller"),
        )
        if self.option("json"):
            self.say_json({"balancer": daemon.name, "answer": answer})
            return base.DONE
        self.say(f"balancer: {daemon.name}")
        self.say(answer if isinstance(answer, str) else base.as_yaml(answer))
        return base.DONE


class Watch(base.PlatformCommand):
    """Prints changes."""

    name = "watch"
    description = "Print each change of objects in the platform."
    arguments = [
        helpers.argument("prefix", "Prefix of the keys.", optional=True)
    ]
    options = [*_READ, base.value_option("count", "End after so many lines.")]

    async def act(self, client: objectapi_client.Client) -> int:
        """Prints the objects as they are, then each change."""
        count = self.number("count")
        ended = asyncio.Event()
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
                shown = {"key": key, "version": version, "writer": writer}
                self.say_json({**shown, "deleted": stored is None})
            else:
                what = f"written by {writer or '-'}" if stored else "deleted"
                self.say(f"{version} {key} {what}")

        def deliver(change: objectapi_client.ObjectChanges) -> None:
            for stored in change.items:
                show(stored.key, stored.version, stored)
            for key, version in change.deleted:
                show(key, version, None)
            if count is not None and lines >= count:
                ended.set()

        # A first read fails with an error if the platform is down; the
        # watch itself would wait for it without a word.
        await client.list(self.text("prefix"))
        watch = client.watch(self.text("prefix"), deliver)
        watching = asyncio.ensure_future(watch)
        try:
            await ended.wait()
        finally:
            watching.cancel()
        return base.DONE


def _row(report: daemon_records.DaemonReport) -> tuple[str, ...]:
    daemon = report.daemon
    state = report.problem or "ready"
    if report.state and not report.state.ready:
        state = "not ready"
    if report.behind:
        state += ", behind on " + " ".join(report.behind)
    role = daemon.role or (report.state.role if report.state else "")
    return daemon.name, role, daemon.failure_domain, daemon.http, state


def _named(addresses: list[str]) -> list[daemon_records.DaemonRecord]:
    """Returns records for daemons given by their HTTP addresses."""
    for address in addresses:
        _check_address(address, "daemon")
    return [
        daemon_records.DaemonRecord(
            name=address, role="", failure_domain="", http=address
        )
        for address in addresses
    ]


def _balancers(
    known: list[daemon_records.DaemonRecord], name: str
) -> list[daemon_records.DaemonRecord]:
    found = [
        daemon
        for daemon in known
        if daemon.role == "balancer" and name in ("", daemon.name)
    ]
    if name and not found:
        raise errors.UserError(
            "is not a balancer listed under status/",
            step="explain",
            peer=name,
        )
    return found


def _check_address(text: str, what: str) -> None:
    try:
        addresses.split(text)
    except ValueError as exc:
        raise errors.UserError(
            str(exc), step="read arguments", peer=what
        ) from exc


COMMANDS = (Status, Explain, Watch)
