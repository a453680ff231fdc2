"""Terminating daemons: packet path, control plane, metrics and HTTP."""

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
from crocusmux.objectapi import client as objectapi_client

logger = logging.getLogger(__name__)

# Interval between updates of liveness, readiness and counts.
HOUSEKEEPING_INTERVAL_S = 0.25
# Silence after which a balancer gets no more replies of one-way flows.
BALANCER_TIMEOUT_S = 5.0
# Time for a drain to be stored in the object API before the process ends.
DRAIN_WRITE_TIMEOUT_S = 3.0


class DaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Object that a daemon stores under ``status/`` in the object API.

    Attributes:
        name: Name of the host.
        role: Role of the daemon.
        failure_domain: Failure domain of the host.
        http: ``ip:port`` of the HTTP server.
    """

    name: str
    role: str
    failure_domain: str
    http: str


class Node:
    """Parts that a balancer's and an agent's daemon have in common.

    Attributes:
        cfg: Settings.
        store: Configuration objects.
        control: Control plane: configuration and membership.
        telemetry: Metrics.
        health: Contents of ``/ready`` and ``/status``.
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
            objectapi_client.Client(cfg.platform, writer=cfg.host, rng=rng)
            if cfg.platform
            else None
        )
        api = access.ClientObjectAccess(self._client) if self._client else None
        self.control = control.ControlPlaneRunner(cfg, self.store, rng, api)
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
            process.start_task(self._tasks, self._write_status())
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
        """Stores the address of this daemon's HTTP server, with retries."""
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
                stored = await self._client.get(key)
                if stored is None or stored.body != body:
                    await self._client.put(key, body, stored)
                return
            except errors.PlatformError as exc:
                logger.info("cannot store the status object, retrying: %s", exc)
                await asyncio.sleep(self._rng.uniform(5.0, 15.0))

    async def kill(self) -> None:
        """Stops at once, as a crash would; for tests and the demo."""
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
        self._timer = loop.call_later(HOUSEKEEPING_INTERVAL_S, self._tick)

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
    """Daemon of a host that callers connect to.

    Attributes:
        balancer: Packet path and TCP connections.
        endpoint: WebSocket endpoint of library flows.
    """

    def __init__(self, cfg: settings.Settings, rng: random.Random) -> None:
        super().__init__(cfg, rng)
        self.balancer = balancer.TerminatingBalancerDaemon(cfg, self.store, rng)
        self.endpoint = resumable.FlowEndpoint(
            self.balancer.open_library_flow,
            lambda text: self.balancer.count_bad_input("library", text),
            cfg.max_connections,
        )

    async def start(self) -> None:
        """Starts the packet path and the shared parts.

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
        daemon = self.balancer
        for peer in daemon.core.failure_detector.suspected_agents():
            self.control.report_suspect(peer.host, peer.incarnation)
        self._set_health(daemon.unready_reason(), daemon.draining)
        daemon.retry_listeners()
        counts = daemon.core.counters
        self.telemetry.packets = counts.packets_in + counts.replies_out
        self.telemetry.new_flows = counts.flows_opened
        self.telemetry.refused = daemon.refused
        self.telemetry.bad_input = daemon.bad_input
        self.telemetry.drain_timeouts = daemon.cut_connections
        self.telemetry.connections = len(daemon.connections) + len(
            self.endpoint.connections
        )

    async def stop(self) -> None:
        """Stops gracefully; TCP flows may run until the drain deadline."""
        self.balancer.draining = True
        self._housekeep()
        self.control.drain()
        self.endpoint.close_connections()
        await self.balancer.stop()
        await self._stop_shared()

    async def kill(self) -> None:
        """Stops at once; see ``Node.kill``."""
        await self.balancer.close()
        self.endpoint.close_connections()
        await self._stop_shared()


class AgentNode(Node):
    """Daemon beside the upstreams of one upstream host.

    Attributes:
        agent: Packet path and relay.
    """

    def __init__(self, cfg: settings.Settings, rng: random.Random) -> None:
        super().__init__(cfg, rng)
        self.agent = agent.TerminatingAgentDaemon(
            cfg, self.store, rng, self.control.incarnation
        )
        self._announced = False
        self._seen_balancers: set[tuple[str, int]] = set()

    async def start(self) -> None:
        """Starts the packet path and the shared parts.

        Raises:
            errors.CrocusmuxError: An address cannot be bound.
        """
        await self.agent.start()
        await self._start_shared()

    def _make_announcement(self) -> membership_messages.HostRecord:
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
            # The control plane announces the new incarnation itself.
            self.agent.rejoin(self.control.incarnation)
        self.agent.reconfigure()
        self._announce_when_synced()

    def _announce_when_synced(self) -> None:
        """Announces this host's upstreams once the configuration is known.

        The agent's core must get the membership first, to detect a previous
        incarnation of this host, whose flows may be lost.
        """
        if self._announced or not self.control.synced():
            return
        self._announced = True
        self.control.announce(self._make_announcement())

    def _housekeep(self) -> None:
        daemon = self.agent
        self._announce_when_synced()
        for host, incarnation in daemon.suspected():
            self.control.report_suspect(host, incarnation)
        alive = self._live_balancer_addresses()
        # A daemon knows only a part of a large fleet, so only a balancer that
        # was once seen can count as lost.
        self._seen_balancers.update(alive)
        daemon.set_balancers(
            alive, frozenset(self._seen_balancers.difference(alive))
        )
        daemon.renew_lease(self.control.contact_age())
        self._set_health(daemon.unready_reason(), daemon.draining)
        self.telemetry.bad_input = daemon.bad_input
        self.telemetry.drain_timeouts = daemon.cut_flows
        self.telemetry.connections = daemon.count_held_flows()

    def _live_balancer_addresses(self) -> tuple[tuple[str, int], ...]:
        draining = {host for host, _ in self.control.overrides()}
        return tuple(
            addresses.split(row.udp)
            for row, age in self.control.daemons()
            if row.role == "balancer"
            and row.udp
            and row.name not in draining
            and age < BALANCER_TIMEOUT_S
        )

    async def stop(self) -> None:
        """Drains: no new work after 2 s, and waits for the flows held here."""
        self.control.drain()
        await self.agent.stop()
        await process.wait_until(self._is_announced, DRAIN_WRITE_TIMEOUT_S)
        await self._stop_shared()

    def _is_announced(self) -> bool:
        return bool(self.control.status()["announced"])

    async def kill(self) -> None:
        """Stops at once; see ``Node.kill``."""
        await self.agent.close()
        await self._stop_shared()


def run(cfg: settings.Settings) -> int:
    """Runs the daemon with the role of the settings until SIGTERM."""
    node_class = BalancerNode if cfg.role == "balancer" else AgentNode
    return process.run(lambda: node_class(cfg, random.Random()))
