import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import msgspec
import yaml

from crocusmux import errors
from crocusmux import settings

VALID_SETTINGS = "host: h\nkey: 00112233445566778899aabbccddeeff\n"


@given('a settings file with "{text}"')
def write_settings(context, text):
    key = text.split(":")[0]
    valid_lines = [] if text[0] == "[" else VALID_SETTINGS.splitlines()
    lines = [line for line in valid_lines if not line.startswith(key + ":")]
    folder = tempfile.mkdtemp()
    context.path = pathlib.Path(folder) / "crocusmux.yaml"
    context.path.write_text("\n".join([text, *lines]))


@when("the settings are loaded")
def load_settings(context):
    context.error = None
    try:
        settings.load(context.path)
    except errors.SettingsError as exc:
        context.error = exc


@then('the error names the file and "{problem}"')
def check_error(context, problem):
    assert context.error is not None, "the settings were accepted"
    text = str(context.error)
    assert str(context.path) in text, text
    assert problem in text, text
    assert "\n" not in text, text


@then("default.yaml holds exactly the keys of the settings")
def check_default_keys(context):
    path = pathlib.Path(settings.__file__).parent / "default.yaml"
    keys = set(yaml.safe_load(path.read_text()))
    fields = {f.name for f in msgspec.structs.fields(settings.Settings)}
    assert keys == fields, keys ^ fields
