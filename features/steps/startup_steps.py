import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from behave import then
from behave import when

from crocusmux.platform import host_settings
from features.steps import platform_adapter_steps

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01
# Runs the program with a finder that sends SIGHUP to its own process.
RUN_WITH_SIGNALS = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path, target=None):
        packages = ("crocusmux", "crocusmux.platform")
        if name not in (*packages, "crocusmux.platform.__main__", "signal"):
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
sys.argv = ["crocusmux.platform"]
runpy.run_module("crocusmux.platform", run_name="__main__")
"""


@when("a daemon without a role gets SIGHUP before each import")
def signal_before_imports(context):
    done = subprocess.run(
        [sys.executable, "-c", RUN_WITH_SIGNALS],
        cwd=ROOT,
        check=False,
        stderr=subprocess.PIPE,
        text=True,
        timeout=TIMEOUT_S,
    )
    context.status, context.error = done.returncode, done.stderr


def open_for_reader(path, process):
    """Opens a pipe for writing once a process has opened it for reading."""
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            assert process.poll() is None, process.returncode
            time.sleep(POLL_INTERVAL_S)


@when("a balancer gets SIGHUP while it reads the settings of an agent")
def signal_while_reading(context):
    settings = json.dumps(platform_adapter_steps.SIDE_SETTINGS).encode()
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "settings")
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "crocusmux.platform", "balancer"],
            cwd=ROOT,
            env={**os.environ, host_settings.SETTINGS_VARIABLE: path},
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            pipe = open_for_reader(path, process)
            process.send_signal(signal.SIGHUP)
            os.write(pipe, settings)
            os.close(pipe)
            context.error = process.communicate(timeout=TIMEOUT_S)[1]
        finally:
            process.kill()
    context.status = process.returncode


@then('it ends with status {status:d} and the error "{text}"')
def check_end(context, status, text):
    assert context.status == status, (context.status, context.error)
    assert text in context.error, context.error
