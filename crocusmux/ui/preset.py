"""Commands on presets."""

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


class List(base.PlatformCommand):
    """Lists presets."""

    name = "preset list"
    description = "List presets and show which one is in force."
    options = _READ

    async def act(self, client: objectapi_client.Client) -> int:
        """Prints the newest revision of each preset."""
        found = await operations.list_presets(client)
        current = await operations.preset_in_force(client)
        if self.option("json"):
            self.say_json({"presets": found, "in_force": current})
            return base.DONE
        used = current.preset if current else None
        self.say_table(
            ("PRESET", "REVISION", "VERSION", "WRITTEN BY", "IN FORCE"),
            [
                (
                    revision.preset.name,
                    revision.preset.revision,
                    revision.version,
                    revision.writer,
                    f"revision {used.revision}"
                    if used and used.name == revision.preset.name
                    else "",
                )
                for revision in found
            ],
        )
        return base.DONE


class Show(base.PlatformCommand):
    """Shows a preset."""

    name = "preset show"
    description = "Print a preset as YAML that 'preset put' takes."
    arguments = [_NAME]
    options = [*_READ, _REVISION]

    async def act(self, client: objectapi_client.Client) -> int:
        """Prints the preset."""
        found = await operations.show_preset(
            client, self.text("name"), self.number("revision") or 0
        )
        if self.option("json"):
            self.say_json(found)
        else:
            self.say(base.as_yaml(found.preset))
        return base.DONE


class Diff(base.PlatformCommand):
    """Compares two presets, or one with the preset in force."""

    name = "preset diff"
    description = "Show what changes from one preset to another."
    arguments = [
        helpers.argument(
            "old", "NAME, NAME@REVISION or in-force; may be left out."
        ),
        helpers.argument("new", "The same.", optional=True),
    ]
    options = _READ

    async def act(self, client: objectapi_client.Client) -> int:
        """Prints a unified diff of the two as YAML."""
        names = [self.text("old"), self.text("new")]
        if not names[1]:
            names = [IN_FORCE, names[0]]
        old, new = [await _find(client, name) for name in names]
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
            self.say_json({"old": old, "new": new, "diff": lines})
            return base.DONE
        for line in lines or ["no difference"]:
            self.say(line)
        return base.DONE


class Put(base.ChangeCommand):
    """Writes a new revision of a preset."""

    name = "preset put"
    description = "Write a new revision of a preset; does not use it."
    arguments = [helpers.argument("file", "Preset as YAML or JSON; - stdin.")]
    options = _CHANGE

    async def change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Writes the revision."""
        preset = base.read_object(self.text("file"), objects.Preset)
        return await operations.put_preset(client, preset, expect)


class Use(base.ChangeCommand):
    """Puts a preset in force."""

    name = "preset use"
    description = "Put a preset in force everywhere."
    arguments = [_NAME]
    options = [*_CHANGE, base.WAIT, _REVISION]

    async def change(
        self, client: objectapi_client.Client, expect: int | None
    ) -> objectapi_client.StoredObject:
        """Switches to the preset."""
        revision = self.number("revision") or 0
        name = self.text("name")
        return await operations.use_preset(client, name, revision, expect)


class History(base.PlatformCommand):
    """Shows earlier revisions."""

    name = "preset history"
    description = "List a preset's revisions, or what was in force."
    arguments = [
        helpers.argument(
            "name", "Name; by default what was in force.", optional=True
        )
    ]
    options = _READ

    async def act(self, client: objectapi_client.Client) -> int:
        """Prints the revisions, newest first."""
        if self.text("name"):
            name = self.text("name")
            found = await operations.preset_history(client, name)
        else:
            found = await operations.in_force_history(client)
        if self.option("json"):
            self.say_json(found)
            return base.DONE
        self.say_table(
            ("VERSION", "PRESET", "REVISION", "WRITTEN BY", "AT"),
            [
                (
                    revision.version,
                    revision.preset.name,
                    revision.preset.revision,
                    revision.writer,
                    revision.at,
                )
                for revision in found
            ],
        )
        return base.DONE


async def _find(client: objectapi_client.Client, text: str) -> objects.Preset:
    """Returns the preset that ``NAME``, ``NAME@REVISION`` or so names."""
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
    found = await operations.show_preset(client, name, int(revision or 0))
    return found.preset


COMMANDS = (List, Show, Diff, Put, Use, History)
