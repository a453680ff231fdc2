"""A whole daemon: packet path, control, platform access and HTTP."""

import asyncio
import logging
import random
from typing import Any

import msgspec

from crocusmux import addresses
from crocusmux import errors
from crocusmux import objects
from crocusmux import settings
from crocusmux import telemetry
from crocusmux.core.control import config_store
from crocusmux.core.control import membership_messages
from crocusmux.daemons import agent
from crocusmux.daemons import balancer
from crocusmux.daemons import control
from crocusmux.daemons import process
from crocusmux.daemons import resumable
from crocusmux.daemons import status
from crocusmux.objectapi import access
from crocusmux.objectapi import client

logger = logging.getLogger(__name__)

# How often liveness, readiness and counts are brought up to date.
HOUSEKEEPING_S = 0.25
# A balancer not heard for so long gets no more replies of one-way flows.
BALANCER_SILENT_S = 5.0
# Time for a drain to reach the platform before the process ends.
RETIRE_S = 3.0


class DaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon writes under ``status/`` in the platform.

    Attributes:
        name: Name of its host.
        role: Role of the daemon.
        failure_domain: Its failure domain.
        http: ``ip:port`` of its HTTP server.
    """

    name: str
    role: str
    failure_domain: str
    http: str


class Node:
    """What a balancer's and an agent's daemon have in common.

    Attributes:
        cfg: Settings.
        store: Configuration.
        control: Spreading of configuration and membership.
        telemetry: Metrics.
        health: What ``/ready`` and ``/status`` say.
    """

    def __init__(self, cfg: settings.Settings, rng: random.Random) -> None:
        self.cfg = cfg
        self.store = config_store.ConfigStore()
        self.telemetry = telemetry.Telemetry(
            cfg.role, cfg.host, cfg.failure_domain, cfg.otlp_url
        )
        self.health = status.Health(cfg.host, cfg.role, cfg.failure_domain)
        self._rng = rng
        self._client = (
            client.Client(cfg.platform, writer=cfg.host, rng=rng)
            if cfg.platform
            else None
        )
        platform = access.ClientAccess(self._client) if self._client else None
        self.control = control.ControlPlaneRunner(
            cfg, self.store, rng, platform
        )
        self._http: status.HttpServer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()

    async def _start_shared(self, **http: Any) -> None:
        self._http = status.start_http_server(
            self.cfg.http, self.health, self.telemetry.exposition, **http
        )
        self.control.on_change(self._on_change)
        await self.control.start()
        if self._client is not None:
            process.start_background_task(self._tasks, self._write_status())
        self._tick()

    async def _stop_shared(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.control.stop()
        if self._http is not None:
            await self._http.stop()
        self.telemetry.close()

    async def _write_status(self) -> None:
        """Tells the platform where this daemon's status can be read."""
        assert self._client is not None
        key = objects.STATUS_PREFIX + self.cfg.host
        body = msgspec.json.encode(
            DaemonStatus(
                name=self.cfg.host,
                role=self.cfg.role,
                failure_domain=self.cfg.failure_domain,
                http=self.cfg.http,
            )
        )
        while True:
            try:
                found = await self._client.get(key)
                if found is None or found.body != body:
                    await self._client.put(key, body, found)
                return
            except errors.PlatformError as exc:
                logger.info("status is not written yet: %s", exc)
                await asyncio.sleep(self._rng.uniform(5.0, 15.0))

    async def kill(self) -> None:
        """Ends at once, as a crash would; for tests and the demo."""
        raise NotImplementedError

    def _on_change(self, keys: tuple[str, ...]) -> None:
        self.health.versions = self.store.version_by_key()
        self.telemetry.config_version = self.store.version("in-force")
        self._reconfigure(keys)

    def _reconfigure(self, keys: tuple[str, ...]) -> None:
        raise NotImplementedError

    def _tick(self) -> None:
        self._housekeep()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HOUSEKEEPING_S, self._tick)

    def _housekeep(self) -> None:
        raise NotImplementedError

    def _set_health(self, reason: str, draining: bool) -> None:
        if not self.control.synced():
            reason = reason or "neither platform nor peers were reached"
        self.health.draining = draining
        if reason:
            self.health.set_unready(reason)
        else:
            self.health.set_ready()
        counts = self.control.counts
        self.telemetry.control_bytes = (
            counts["sent_bytes"] + counts["received_bytes"]
        )


class BalancerNode(Node):
    """Daemon of an entry host.

    Attributes:
        balancer: Packet path.
        endpoint: WebSocket endpoint of library flows.
    """

    def __init__(self, cfg: settings.Settings, rng: random.Random) -> None:
        super().__init__(cfg, rng)
        self.balancer = balancer.TerminatingBalancerDaemon(cfg, self.store, rng)
        self.endpoint = resumable.FlowEndpoint(
            self.balancer.open_library_flow,
            lambda text: self.balancer.count_bad("library", text),
            cfg.max_connections,
        )

    async def start(self) -> None:
        """Starts all parts.

        Raises:
            errors.CrocusmuxError: An address cannot be bound.
        """
        await self.balancer.start()
        await self._start_shared(
            explain=self._explain, handlers=self.endpoint.handlers()
        )

    def _explain(self, query: dict[str, str]) -> str:
        return self.balancer.core.explain(
            query.get("service", ""),
            query.get("address", ""),
            query.get("caller", ""),
        )

    def _reconfigure(self, keys: tuple[str, ...]) -> None:
        self.balancer.reconfigure()

    def _housekeep(self) -> None:
        part = self.balancer
        for peer in part.core.peers.suspected():
            self.control.report_suspect(peer.host, peer.incarnation)
        self._set_health(part.ready(), part.draining)
        part.retry_listeners()
        counts = part.core.counters
        self.telemetry.packets = counts.packets_in + counts.replies_out
        self.telemetry.new_flows = counts.flows_opened
        self.telemetry.refused = part.refused
        self.telemetry.bad_input = part.bad_input
        self.telemetry.drain_timeouts = part.cut_connections
        self.telemetry.connections = len(part.connections) + len(
            self.endpoint.connections
        )

    async def stop(self) -> None:
        """Stops gracefully: no flow is cut before the drain time."""
        self.balancer.draining = True
        self._housekeep()
        self.control.drain()
        self.endpoint.close_connections()
        await self.balancer.stop()
        await self._stop_shared()

    async def kill(self) -> None:
        """Ends at once; see ``Node.kill``."""
        await self.balancer.close()
        self.endpoint.close_connections()
        await self._stop_shared()


class AgentNode(Node):
    """Daemon beside the upstreams of one upstream host.

    Attributes:
        agent: Packet path.
    """

    def __init__(self, cfg: settings.Settings, rng: random.Random) -> None:
        super().__init__(cfg, rng)
        self.agent = agent.TerminatingAgentDaemon(
            cfg, self.store, rng, self.control.incarnation
        )
        self._announced = False
        self._seen_balancers: set[tuple[str, int]] = set()

    async def start(self) -> None:
        """Starts all parts.

        Raises:
            errors.CrocusmuxError: An address cannot be bound.
        """
        await self.agent.start()
        await self._start_shared()

    def record(self) -> membership_messages.HostRecord:
        """Returns the announcement of this host's upstreams."""
        return membership_messages.HostRecord(
            host=self.cfg.host,
            failure_domain=self.cfg.failure_domain,
            agent=self.cfg.udp,
            relay=self.cfg.relay,
            control=self.cfg.control,
            incarnation=self.control.incarnation,
            upstreams=tuple(
                membership_messages.ServiceUpstream(
                    item.service,
                    objects.Upstream(
                        name=item.name,
                        address=item.address,
                        slots=item.slots,
                        connections=item.connections,
                    ),
                )
                for item in self.cfg.upstreams
            ),
        )

    def _reconfigure(self, keys: tuple[str, ...]) -> None:
        if "incarnation" in keys:
            # The control part announces the new incarnation itself.
            self.agent.rejoin(self.control.incarnation)
        self.agent.reconfigure()
        self._announce()

    def _announce(self) -> None:
        """Announces once the configuration is known.

        The agent's core must see the membership first, to tell whether its
        host had a predecessor whose flows may be lost.
        """
        if self._announced or not self.control.synced():
            return
        self._announced = True
        self.control.announce(self.record())

    def _housekeep(self) -> None:
        part = self.agent
        self._announce()
        for host, number in part.suspected():
            self.control.report_suspect(host, number)
        alive = self._balancers()
        # A daemon knows only some of a large fleet, so a balancer that it
        # never heard of is not lost.
        self._seen_balancers.update(alive)
        part.set_balancers(
            alive, frozenset(self._seen_balancers.difference(alive))
        )
        part.renew_lease(self.control.contact_age())
        self._set_health(part.ready(), part.draining)
        self.telemetry.bad_input = part.bad_input
        self.telemetry.drain_timeouts = part.drains_cut
        self.telemetry.connections = part.flows_held()

    def _balancers(self) -> tuple[tuple[str, int], ...]:
        draining = {host for host, _ in self.control.overrides()}
        return tuple(
            addresses.split(row.udp)
            for row, age in self.control.daemons()
            if row.role == "balancer"
            and row.udp
            and row.name not in draining
            and age < BALANCER_SILENT_S
        )

    async def stop(self) -> None:
        """Drains: no new work within 2 s, flows held here end first."""
        self.control.drain()
        await self.agent.stop()
        await process.wait_until(self._reflected, RETIRE_S)
        await self._stop_shared()

    def _reflected(self) -> bool:
        return bool(self.control.status()["announced"])

    async def kill(self) -> None:
        """Ends at once; see ``Node.kill``."""
        await self.agent.close()
        await self._stop_shared()


def run(cfg: settings.Settings) -> int:
    """Runs the daemon that the settings describe until SIGTERM."""
    kind = BalancerNode if cfg.role == "balancer" else AgentNode
    return process.run(lambda: kind(cfg, random.Random()))
