"""Commands that show and change services."""

from cleo import helpers
import msgspec

from crocusmux import objects
from crocusmux import operations
from crocusmux.objectapi import client as objectapi_client
from crocusmux.ui import base

_READ = [base.PLATFORM, base.JSON]


class List(base.ObjectApiCommand):
    """Lists services."""

    name = "service list"
    description = "List services with their addresses."
    options = _READ

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Prints the services."""
        services = await operations.list_services(client)
        if self.option("json"):
            self.print_json([_to_json(stored) for stored in services])
            return base.DONE
        rows = []
        for stored in services:
            service = _decode_service(stored)
            addresses = [
                f"{a.name}={a.ip}:{a.port}/{a.protocol}"
                for a in service.addresses
            ]
            slots = service.hash_slots
            line = " ".join(addresses)
            rows.append((service.name, stored.version, slots, line))
        self.print_rows(("SERVICE", "VERSION", "HASH SLOTS", "ADDRESSES"), rows)
        return base.DONE


class Show(base.ObjectApiCommand):
    """Shows a service."""

    name = "service show"
    description = "Print a service as YAML that 'service put' accepts."
    arguments = [helpers.argument("name", "Name of the service.")]
    options = _READ

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Prints the service."""
        stored = await operations.show_service(client, self.value("name"))
        if self.option("json"):
            self.print_json(_to_json(stored))
        else:
            self.print_line(base.as_yaml(_decode_service(stored)))
        return base.DONE


class Put(base.ChangeCommand):
    """Writes a service."""

    name = "service put"
    description = "Write a service."
    arguments = [helpers.argument("file", "Service as YAML or JSON; - stdin.")]
    options = [*_READ, base.OPERATOR, base.EXPECT, base.WAIT]

    async def apply_change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Writes the service."""
        service = base.read_object(self.value("file"), objects.Service)
        return await operations.put_service(client, service, expect)


def _decode_service(stored: objectapi_client.StoredObject) -> objects.Service:
    return msgspec.json.decode(stored.body, type=objects.Service)


def _to_json(stored: objectapi_client.StoredObject) -> dict:
    return {
        "version": stored.version,
        "writer": stored.envelope.writer,
        "service": _decode_service(stored),
    }


COMMANDS = (List, Show, Put)
