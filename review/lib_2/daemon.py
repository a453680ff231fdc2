"""The project's daemons as processes, with the commands of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
from typing import Any

from review.lib_2 import packet

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RESTART_DELAY_S = 0.5
GRACE_S = 6


class Daemon:
    """A balancer or an agent on a machine of its own."""

    def __init__(
        self,
        role: str,
        name: str,
        settings: dict[str, Any],
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.role = role
        self.settings = settings
        self.exits: list[int] = []
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._first = True

    def address(self, port: str) -> packet.Address:
        """Returns an address of the settings by its name."""
        ip, _, number = self.settings["listen"][port].rpartition(":")
        return ip, int(number)

    async def start(self) -> None:
        """Starts the process."""
        path = self._folder / f"{self.name}.json"
        fields = self.settings | {"bootstrap": self._first}
        path.write_text(json.dumps(fields))
        self._first = False
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= {"CROCUSMUX_BOOT": str(path), "PYTHONPATH": "target/deps"}
        cmd = f"python3 -m crocusmux.platform {self.role}".split()
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *cmd, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Ends the process; SIGTERM is followed by SIGKILL after the grace."""
        self.send(number)
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), GRACE_S)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def restart(
        self, number: signal.Signals, delay_s: float = RESTART_DELAY_S
    ) -> None:
        """Ends the process and starts it again after a short delay."""
        await self.end(number)
        await asyncio.sleep(delay_s)
        await self.start()

    def running(self) -> bool:
        """Returns True unless the process has ended."""
        return self._process is not None and self._process.returncode is None
