import asyncio
import pathlib
import re

from behave import then
from behave import when

from crocusmux.ui import app

ROOT = pathlib.Path(__file__).resolve().parents[2]
# A command within backticks, or in an indented line after a prompt.
SHOWN = re.compile(
    r"`(?:\.venv/bin/)?crocusmux\s+([^`]+)`"
    r"|^ +(?:\$ )(?:\.venv/bin/)?crocusmux +(.+)$",
    re.MULTILINE,
)


@when("the commands shown in {page} are read")
def read_page(context, page):
    text = (ROOT / page).read_text()
    context.commands = [x or y for x, y in SHOWN.findall(text)]


@then("there are at least {count:d} of them")
def count_commands(context, count):
    assert len(context.commands) >= count, context.commands


@then("each exists with the options and arguments shown")
def check_commands(context):
    application = app.Application(asyncio.run)
    for shown in context.commands:
        words = shown.split()
        command = find_command(application, words)
        assert command is not None, shown
        rest = words[len(command.name.split()) :]
        definition = command.definition
        arguments = 0
        for word in rest:
            if not word.startswith("-"):
                arguments += 1
                continue
            name = word.lstrip("-").partition("=")[0]
            assert definition.has_option(name), shown
            takes_value = definition.option(name).accepts_value()
            # The value is a word of its own.
            arguments -= takes_value and "=" not in word
        repeated = any(x.is_list() for x in definition.arguments)
        assert repeated or arguments <= len(definition.arguments), shown


def find_command(application, words):
    """Returns the command whose name the first words are; None without one."""
    for count in (2, 1):
        name = " ".join(words[:count])
        if application.has(name):
            return application.get(name)
    return None
