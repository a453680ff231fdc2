"""Commands that show and change upstreams."""

from collections.abc import Awaitable, Callable

from cleo import helpers
import msgspec

from crocusmux import objects
from crocusmux import operations
from crocusmux.objectapi import client as objectapi_client
from crocusmux.ui import base

_READ = [base.PLATFORM, base.JSON]
_CHANGE = [*_READ, base.OPERATOR, base.EXPECT, base.WAIT]
_SERVICE = helpers.argument("service", "Name of the service.")
_NAME = helpers.argument("name", "Name of the upstream.")

StateOperation = Callable[
    [objectapi_client.Client, str, str, int | None],
    Awaitable[objectapi_client.StoredObject],
]
_STATE_OPERATIONS: dict[str, StateOperation] = {
    "upstream drain": operations.drain_upstream,
    "upstream undrain": operations.undrain_upstream,
    "upstream retire": operations.retire_upstream,
}


class List(base.ObjectApiCommand):
    """Lists upstreams."""

    name = "upstream list"
    description = "List the upstreams of one service, or of all."
    arguments = [
        helpers.argument("service", "Name of the service.", optional=True)
    ]
    options = _READ

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Prints the upstreams."""
        name = self.value("service")
        upstreams = await operations.list_upstreams(client, name)
        if self.option("json"):
            self.print_json(upstreams)
            return base.DONE
        heads = "SERVICE UPSTREAM STATE ADDRESS SLOTS HOST DOMAIN VERSION"
        self.print_rows(
            heads.split(),
            [
                (
                    located.service,
                    located.upstream.name,
                    located.upstream.state,
                    located.upstream.address,
                    located.upstream.slots,
                    located.host,
                    located.failure_domain,
                    located.version,
                )
                for located in upstreams
            ],
        )
        return base.DONE


class Add(base.ChangeCommand):
    """Adds an upstream."""

    name = "upstream add"
    description = "Add an upstream to a service."
    arguments = [
        _SERVICE,
        _NAME,
        helpers.argument("address", "ip:port of the upstream."),
        helpers.argument("host", "Name of its upstream host."),
    ]
    options = [
        *_CHANGE,
        base.value_option("slots", "Requests that it serves concurrently."),
        base.value_option("connections", "Maximum number of connections."),
        base.value_option("domain", "Failure domain of a new host."),
        base.value_option("agent", "ip:port of a new host's agent."),
        base.value_option("relay", "ip:port of a new host's relay."),
        base.value_option("control", "Control URL of a new host's agent."),
    ]

    async def apply_change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Writes the upstream into the membership."""
        upstream = objects.Upstream(
            name=self.value("name"),
            address=self.value("address"),
        )
        for key in ("slots", "connections"):
            if (count := self.number_option(key)) is not None:
                upstream = msgspec.structs.replace(upstream, **{key: count})
        member = objects.Member(
            host=self.value("host"),
            failure_domain=self.value("domain"),
            agent=self.value("agent"),
            relay=self.value("relay"),
            control=self.value("control"),
        )
        service = self.value("service")
        return await operations.add_upstream(
            client, service, member, upstream, expect
        )


class _StateCommand(base.ChangeCommand):
    """Changes the state of an upstream."""

    arguments = [_SERVICE, _NAME]
    options = _CHANGE

    async def apply_change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Writes the state into the membership."""
        service, name = self.value("service"), self.value("name")
        operation = _STATE_OPERATIONS[self.name or ""]
        return await operation(client, service, name, expect)


class Drain(_StateCommand):
    """Drains an upstream."""

    name = "upstream drain"
    description = "Send an upstream no new work; its flows continue."


class Undrain(_StateCommand):
    """Ends the draining of an upstream."""

    name = "upstream undrain"
    description = "Return a draining upstream to service."


class Retire(_StateCommand):
    """Retires an upstream."""

    name = "upstream retire"
    description = "Remove a draining upstream from its service."


COMMANDS = (List, Add, Drain, Undrain, Retire)
