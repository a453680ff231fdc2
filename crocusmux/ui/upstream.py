"""Commands on upstreams."""

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

Operation = Callable[
    [objectapi_client.Client, str, str, int | None],
    Awaitable[objectapi_client.StoredObject],
]
_OPERATIONS: dict[str, Operation] = {
    "upstream drain": operations.drain_upstream,
    "upstream undrain": operations.undrain_upstream,
    "upstream retire": operations.retire_upstream,
}


class List(base.PlatformCommand):
    """Lists upstreams."""

    name = "upstream list"
    description = "List the upstreams of one service, or of all."
    arguments = [
        helpers.argument("service", "Name of the service.", optional=True)
    ]
    options = _READ

    async def act(self, client: objectapi_client.Client) -> int:
        """Prints the upstreams."""
        name = self.text("service")
        found = await operations.list_upstreams(client, name)
        if self.option("json"):
            self.say_json(found)
            return base.DONE
        heads = "SERVICE UPSTREAM STATE ADDRESS SLOTS HOST DOMAIN VERSION"
        self.say_table(
            heads.split(),
            [
                (
                    placed.service,
                    placed.upstream.name,
                    placed.upstream.state,
                    placed.upstream.address,
                    placed.upstream.slots,
                    placed.host,
                    placed.failure_domain,
                    placed.version,
                )
                for placed in found
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
        base.value_option("slots", "Requests that it serves at once."),
        base.value_option("connections", "Connections that it can take."),
        base.value_option("domain", "Failure domain of a new host."),
        base.value_option("agent", "ip:port of a new host's agent."),
        base.value_option("relay", "ip:port of a new host's relay."),
        base.value_option("control", "Control URL of a new host's agent."),
    ]

    async def change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Writes the upstream into the membership."""
        upstream = objects.Upstream(
            name=self.text("name"),
            address=self.text("address"),
        )
        for key in ("slots", "connections"):
            if (count := self.number(key)) is not None:
                upstream = msgspec.structs.replace(upstream, **{key: count})
        member = objects.Member(
            host=self.text("host"),
            failure_domain=self.text("domain"),
            agent=self.text("agent"),
            relay=self.text("relay"),
            control=self.text("control"),
        )
        service = self.text("service")
        return await operations.add_upstream(
            client, service, member, upstream, expect
        )


class _StateCommand(base.ChangeCommand):
    """Changes the state of an upstream."""

    arguments = [_SERVICE, _NAME]
    options = _CHANGE

    async def change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Writes the state into the membership."""
        service, name = self.text("service"), self.text("name")
        operation = _OPERATIONS[self.name or ""]
        return await operation(client, service, name, expect)


class Drain(_StateCommand):
    """Drains an upstream."""

    name = "upstream drain"
    description = "Give an upstream no new work; its flows go on."


class Undrain(_StateCommand):
    """Ends the draining of an upstream."""

    name = "upstream undrain"
    description = "Let a draining upstream take work again."


class Retire(_StateCommand):
    """Retires an upstream."""

    name = "upstream retire"
    description = "Take a draining upstream out of its service."


COMMANDS = (List, Add, Drain, Undrain, Retire)
