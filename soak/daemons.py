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
from soak import plan

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
GRACE_S = 6.0
# Time after which a daemon that has ended is started again.
RESTART_DELAY_S = 0.5
HEDGE_SHARE = 0.05
# Time after SIGTERM within which a removed agent ends: the grace, and its calls
# to a silent store.
REMOVAL_TIMEOUT_S = 12.0


class Daemon:
    """A balancer or an agent on a host of its own.

    Attributes:
        name: Name of the host, "balancer" or "agent" with a number.
        away_since: Start of the present outage, seconds; None while it runs.
            An outage ends when the daemon answers a readiness check.
        outages: Start and end of each past outage, seconds.  The first one is
            the first start.
        removed: The host has been removed for good.
    """

    def __init__(
        self,
        net: network.Network,
        folder: pathlib.Path,
        name: str,
        domain: str,
        service: str,
        options: plan.Options,
    ) -> None:
        self.name = name
        self.role, _, number = name.partition("-")
        self._number = int(number)
        self.away_since: float | None = None
        self.outages: list[tuple[float, float]] = []
        self.removed = False
        self.on_exit: Callable[[str, int], None] = lambda name, status: None
        self._net = net
        self._folder = folder
        self._domain = domain
        self._service = service
        self._options = options
        self._first = True
        self._process: asyncio.subprocess.Process | None = None
        # True from a signal that stops the process until it runs again.
        self._stopped = False
        self._task: asyncio.Task[None] | None = None

    @property
    def ip(self) -> str:
        """IP address of the host."""
        return self._net.ip(self.role, self._number)

    def address(self, port: str) -> network.Address:
        """Returns an address of the host by the name of its port."""
        return self._net.address(self.role, self._number, port)

    def url(self, port: str, path: str) -> str:
        """Returns the URL of a resource of the daemon."""
        return "http://{}:{}{}".format(*self.address(port), path)

    def _settings(self, store: network.Address) -> dict[str, object]:
        def text(port: str) -> str:
            return "{}:{}".format(*self.address(port))

        agent = self.role == "agent"
        names = ("readiness", "control", "outbound")[: 3 if agent else 2]
        listen = {name: text(name) for name in names}
        listen["data_addr"] = text("data")
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
            "contracts": ["health"] if self._options.health else [],
        }
        if agent:
            settings |= {"service": self._service, "app": text("app")}
        return settings

    def start(self, store: network.Address) -> None:
        """Runs the process, and runs it again whenever it ends."""
        self.away_since = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run(store))

    async def _run(self, store: network.Address) -> None:
        while not self.removed:
            await self._run_once(store)
            await asyncio.sleep(RESTART_DELAY_S)

    async def _run_once(self, store: network.Address) -> None:
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings(store)))
        self._first = False
        env = dict(os.environ)
        env[host_settings.SETTINGS_VARIABLE] = str(path)
        share = HEDGE_SHARE if self._options.hedging else 0.0
        env[host_settings.HEDGE_SHARE_VARIABLE] = str(share)
        self._stopped = False
        with (self._folder / f"{self.name}.log").open("ab") as log:
            cmd = (sys.executable, "-m", "crocusmux.platform", self.role)
            self._process = await asyncio.create_subprocess_exec(
                *cmd, cwd=ROOT, env=env, stdout=log, stderr=log
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
        # An answer may have been sent before the signal.
        if self.away_since is not None and not self._stopped:
            now = asyncio.get_running_loop().time()
            self.outages.append((self.away_since, now))
            self.away_since = None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal; a process that ends starts again after a delay."""
        self._stopped = number != signal.SIGCONT
        if self._stopped:
            self._begin_outage()
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def remove(self, number: signal.Signals) -> bool:
        """Ends the process for good by a signal.

        Returns:
            Whether it ended within ``REMOVAL_TIMEOUT_S``.
        """
        assert self._task is not None
        self.removed = True
        self.send(number)
        await asyncio.wait({self._task}, timeout=REMOVAL_TIMEOUT_S)
        return self._task.done()

    async def close(self) -> None:
        """Ends the process for good."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
