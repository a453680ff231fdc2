"""Commands that show, compare and change presets."""

import difflib

from cleo import helpers

from crocusmux import errors
from crocusmux import objects
from crocusmux import operations
from crocusmux.objectapi import client as objectapi_client
from crocusmux.ui import base

IN_FORCE = "in-force"

_READ = [base.PLATFORM, base.JSON]
_CHANGE = [*_READ, base.OPERATOR, base.EXPECT]
_NAME = helpers.argument("name", "Name of the preset.")
_REVISION = base.value_option("revision", "Revision; by default the newest.")


class List(base.ObjectApiCommand):
    """Lists presets."""

    name = "preset list"
    description = "List presets and show which one is in force."
    options = _READ

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Prints the newest revision of each preset."""
        revisions = await operations.list_presets(client)
        current = await operations.preset_in_force(client)
        if self.option("json"):
            self.print_json({"presets": revisions, "in_force": current})
            return base.DONE
        active = current.preset if current else None
        self.print_rows(
            ("PRESET", "REVISION", "VERSION", "WRITTEN BY", "IN FORCE"),
            [
                (
                    revision.preset.name,
                    revision.preset.revision,
                    revision.version,
                    revision.writer,
                    f"revision {active.revision}"
                    if active and active.name == revision.preset.name
                    else "",
                )
                for revision in revisions
            ],
        )
        return base.DONE


class Show(base.ObjectApiCommand):
    """Shows a preset."""

    name = "preset show"
    description = "Print a preset as YAML that 'preset put' accepts."
    arguments = [_NAME]
    options = [*_READ, _REVISION]

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Prints the preset."""
        revision = await operations.show_preset(
            client, self.value("name"), self.number_option("revision") or 0
        )
        if self.option("json"):
            self.print_json(revision)
        else:
            self.print_line(base.as_yaml(revision.preset))
        return base.DONE


class Diff(base.ObjectApiCommand):
    """Compares two presets, or the preset in force with one."""

    name = "preset diff"
    description = "Show what changes from one preset to another."
    arguments = [
        helpers.argument(
            "old", "NAME, NAME@REVISION or in-force; by default in-force."
        ),
        helpers.argument("new", "A preset in the same form.", optional=True),
    ]
    options = _READ

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Prints a unified diff of the presets as YAML."""
        names = [self.value("old"), self.value("new")]
        if not names[1]:
            names = [IN_FORCE, names[0]]
        old, new = [await _lookup(client, name) for name in names]
        lines = list(
            difflib.unified_diff(
                base.as_yaml(old).splitlines(),
                base.as_yaml(new).splitlines(),
                names[0],
                names[1],
                lineterm="",
            )
        )
        if self.option("json"):
            self.print_json({"old": old, "new": new, "diff": lines})
            return base.DONE
        for line in lines or ["no difference"]:
            self.print_line(line)
        return base.DONE


class Put(base.ChangeCommand):
    """Writes a new revision of a preset."""

    name = "preset put"
    description = "Write a new revision of a preset; the preset in force stays."
    arguments = [helpers.argument("file", "Preset as YAML or JSON; - stdin.")]
    options = _CHANGE

    async def apply_change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Writes the revision."""
        preset = base.read_object(self.value("file"), objects.Preset)
        return await operations.put_preset(client, preset, expect)


class Use(base.ChangeCommand):
    """Puts a preset in force."""

    name = "preset use"
    description = "Put a preset in force on all daemons."
    arguments = [_NAME]
    options = [*_CHANGE, base.WAIT, _REVISION]

    async def apply_change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Puts the preset in force."""
        revision = self.number_option("revision") or 0
        name = self.value("name")
        return await operations.use_preset(client, name, revision, expect)


class History(base.ObjectApiCommand):
    """Lists earlier revisions."""

    name = "preset history"
    description = "List a preset's revisions, or the presets once in force."
    arguments = [
        helpers.argument(
            "name", "Name; by default all presets once in force.", optional=True
        )
    ]
    options = _READ

    async def run_with_client(self, client: objectapi_client.Client) -> int:
        """Prints the revisions, newest first."""
        if self.value("name"):
            name = self.value("name")
            revisions = await operations.preset_history(client, name)
        else:
            revisions = await operations.in_force_history(client)
        if self.option("json"):
            self.print_json(revisions)
            return base.DONE
        self.print_rows(
            ("VERSION", "PRESET", "REVISION", "WRITTEN BY", "AT"),
            [
                (
                    revision.version,
                    revision.preset.name,
                    revision.preset.revision,
                    revision.writer,
                    revision.at,
                )
                for revision in revisions
            ],
        )
        return base.DONE


async def _lookup(client: objectapi_client.Client, text: str) -> objects.Preset:
    """Returns the preset of ``NAME``, ``NAME@REVISION`` or ``in-force``."""
    if text == IN_FORCE:
        current = await operations.preset_in_force(client)
        if current is None:
            raise errors.NotFoundError(
                "no preset is in force", step="read preset", peer=IN_FORCE
            )
        return current.preset
    name, at, revision = text.partition("@")
    if at and not revision.isdecimal():
        raise errors.UserError(
            f"revision {revision!r} is not a number",
            step="read preset",
            peer=name,
        )
    entry = await operations.show_preset(client, name, int(revision or 0))
    return entry.preset


COMMANDS = (List, Show, Diff, Put, Use, History)
