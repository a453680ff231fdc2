import pathlib
import re

from behave import then
import msgspec

from crocusmux import objects

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "presets.md"


@then("docs/presets.md holds {n:d} valid load presets that name every field")
def check_presets(context, n):
    text = PAGE.read_text()
    bodies = re.findall(r"```json\n(.*?)```", text, re.DOTALL)
    assert len(bodies) == n, len(bodies)
    for body in bodies:
        key = objects.PRESET_PREFIX + "example"
        objects.decode(objects.VersionedObject(key, 1, body.encode()))
    for kind in (objects.Preset, objects.WorkClass):
        for field in msgspec.structs.fields(kind):
            assert f"| `{field.name}` |" in text, field.name
