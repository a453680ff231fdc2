"""The forwarding daemons of a run as processes."""

import asyncio
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import signal
import sys

from crocusmux.platform import host_settings
from soak import network

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
GRACE_S = 6.0
# Time after which a daemon that has ended is started again.
RESTART_DELAY_S = 0.5
HEDGE_SHARE = 0.05


class Daemon:
    """A balancer or an agent on a host of its own.

    Attributes:
        name: Name of the host.
        role: "balancer" or "agent".
        number: Number of the host among those of the role.
        away_since: Start of the present outage, seconds; None while it runs.
            An outage ends when the daemon answers a readiness check.
        outages: Start and end of each past outage, seconds.
    """

    def __init__(
        self,
        net: network.Network,
        folder: pathlib.Path,
        role: str,
        number: int,
        domain: str,
        service: str = "",
    ) -> None:
        """Describes a daemon, which ``start`` runs."""
        self.name = f"{role}-{number}"
        self.role = role
        self.number = number
        self.away_since: float | None = None
        self.outages: list[tuple[float, float]] = []
        self.on_exit: Callable[[str, int], None] = lambda name, status: None
        self._net = net
        self._folder = folder
        self._domain = domain
        self._service = service
        self._first = True
        self._process: asyncio.subprocess.Process | None = None
        # True from a signal that stops the process until it runs again.
        self._stopped = False
        self._task: asyncio.Task[None] | None = None

    @property
    def ip(self) -> str:
        """IP address of the host."""
        return self._net.ip(self.role, self.number)

    def address(self, port: str) -> network.Address:
        """Returns an address of the host by the name of its port."""
        return self._net.address(self.role, self.number, port)

    def url(self, port: str, path: str) -> str:
        """Returns the URL of a resource of the daemon."""
        return "http://{}:{}{}".format(*self.address(port), path)

    def _settings(self, store: network.Address) -> dict[str, object]:
        def text(port: str) -> str:
            return "{}:{}".format(*self.address(port))

        listen = {name: text(name) for name in ("readiness", "control")}
        listen["data_addr"] = text("data")
        agent = self.role == "agent"
        if agent:
            listen["outbound"] = text("outbound")
        first_port = network.PORTS["messages"]
        seeds = (self._net.address("balancer", n, "control") for n in (1, 2, 3))
        settings: dict[str, object] = {
            "node_name": self.name,
            "machine_class": "side" if agent else "edge",
            "ip": self.ip,
            "zone": self._domain,
            "listen": listen,
            "port_range": [first_port, first_port],
            "platform": {"address": "{}:{}".format(*store)},
            "seeds": ["{}:{}".format(*seed) for seed in seeds],
            "heartbeat_ms": HEARTBEAT_S * 1000,
            "bounds": {"grace_s": GRACE_S, "evacuate_ms": 5000},
            "bootstrap": self._first,
            "contracts": ["health"],
        }
        if agent:
            settings |= {"service": self._service, "app": text("app")}
        return settings

    def start(self, store: network.Address) -> None:
        """Runs the process, and runs it again whenever it ends."""
        self.away_since = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run(store))

    async def _run(self, store: network.Address) -> None:
        while True:
            await self._run_once(store)
            await asyncio.sleep(RESTART_DELAY_S)

    async def _run_once(self, store: network.Address) -> None:
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings(store)))
        self._first = False
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env[host_settings.SETTINGS_VARIABLE] = str(path)
        env[host_settings.HEDGE_SHARE_VARIABLE] = str(HEDGE_SHARE)
        self._stopped = False
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "crocusmux.platform",
                self.role,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        status = await self._process.wait()
        self._begin_outage()
        if not self._stopped:
            self.on_exit(self.name, status)

    def _begin_outage(self) -> None:
        if self.away_since is None:
            self.away_since = asyncio.get_running_loop().time()

    def end_outage(self) -> None:
        """Records that the daemon answers readiness checks."""
        # An answer that was sent before a signal says nothing about the time
        # after it.
        if self.away_since is not None and not self._stopped:
            now = asyncio.get_running_loop().time()
            self.outages.append((self.away_since, now))
            self.away_since = None

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once; it starts again after a delay."""
        self._stopped = True
        self._begin_outage()
        self._send(signal.SIGKILL)

    async def terminate(self) -> None:
        """Stops the process as planned work does; it starts again."""
        process = self._process
        if process is None:
            return
        self._stopped = True
        self._begin_outage()
        self._send(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            if process is self._process:
                self._send(signal.SIGKILL)

    def suspend(self) -> None:
        """Stops the process without ending it."""
        self._stopped = True
        self._begin_outage()
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a suspended process go on."""
        self._stopped = False
        self._send(signal.SIGCONT)

    async def close(self) -> None:
        """Ends the process for good."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.kill()
        if self._process is not None:
            await self._process.wait()
