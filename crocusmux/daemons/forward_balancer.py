"""A balancer that passes segments on: sockets and timers."""

import asyncio
from collections.abc import Callable
import logging
import random

import msgspec
from tornado import httputil

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.forward import balancer
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams
from crocusmux.daemons import follow
from crocusmux.daemons import forward
from crocusmux.daemons import process
from crocusmux.daemons import udp
from crocusmux.objectapi import http

logger = logging.getLogger(__name__)

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
STATE_PATH = "/state"
METRICS_PATH = "/metrics"
# A configuration that others have is fetched from them after this time; the
# store's watch usually brings it sooner.
CONFIG_LAG_S = 0.5
FETCH_TIMEOUT_S = 1.0
# Wait after a configuration before the next watch, seconds: a small part of
# the three seconds in which a change must be in force.
CONFIG_GATHER_S = 0.25
# Time between attempts to start from other balancers, seconds.
SEED_INTERVAL_S = 0.5
# Two missed readiness checks take a balancer out of rotation after a second;
# until then and a little longer it passes segments on.
DRAIN_S = 3.0

_record_decoder = msgspec.json.Decoder(upstreams.AgentRecord)


class BalancerForwardingDaemon:
    """Sockets and timers around ``ForwardingBalancer``."""

    def __init__(
        self,
        cfg: forwarding.HostSettings,
        adapter: forwarding.Adapter,
        rng: random.Random,
    ) -> None:
        """Binds the sockets; ``start`` begins to serve."""
        self._cfg = cfg
        self._adapter = adapter
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        source = f"{cfg.control[0]}:{cfg.control[1]}"
        self.core = balancer.ForwardingBalancer(
            cfg.host, cfg.failure_domain, cfg.messages, source, rng
        )
        self._own_source = source
        self._stopping = False
        self._lagging_since: float | None = None
        self._listing: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._fetch_http = http.make_fetch()
        self._messenger = forward.Messenger(
            cfg.messages, self._on_message, self._loop.time
        )
        receive = self._messenger.make_receiver(
            adapter.decode_from_caller, self._on_segment
        )
        self._segments = udp.UdpSocket(cfg.segments, receive)
        self._agent_follower = follow.Follower(
            adapter.store, adapter.agent_kind, self._on_agents, rng
        )
        self._config_follower = follow.Follower(
            adapter.store,
            adapter.config_kind,
            self._on_config,
            rng,
            CONFIG_GATHER_S,
        )

    async def start(self) -> None:
        """Starts serving and following the store."""
        cfg = self._cfg
        self._servers = [forward.serve(cfg.readiness, self._on_call)]
        for address in {cfg.control, cfg.metrics} - {cfg.readiness}:
            self._servers.append(forward.serve(address, self._on_call))
        for work in (
            self._config_follower.run(),
            self._agent_follower.run(),
            self._start_from_peers(),
            self._tick(),
        ):
            forward.supervise(self._tasks, work)

    async def stop(self) -> None:
        """Leaves the rotation and passes segments on until others do."""
        self._stopping = True
        await asyncio.sleep(min(DRAIN_S, self._cfg.grace_s / 2))
        for task in list(self._tasks):
            task.cancel()

    # Segments and messages

    def _on_segment(
        self, seg: segments.Segment, sender: forwarding.Address
    ) -> None:
        del sender
        self._execute(self.core.on_segment(self._loop.time(), seg))

    def _on_message(
        self, message: reports.Message, sender: forwarding.Address
    ) -> None:
        del sender
        self._execute(self.core.on_message(self._loop.time(), message))

    def _execute(self, todo: list[outputs.Output]) -> None:
        for output in todo:
            if isinstance(output, outputs.ToAgent):
                data = self._adapter.encode_segment(
                    output.segment, output.service_tag, output.mark
                )
                self._messenger.socket.send(data, output.to)
            elif isinstance(output, outputs.Event):
                self._messenger.record_event(output)
            elif isinstance(output, outputs.ToPeer):
                self._messenger.send(output.message, output.to)
            elif isinstance(output, outputs.Reset):
                self._send_reset(output)
            elif isinstance(output, outputs.Timing):
                self._messenger.metrics.observe_duration(output)
            elif isinstance(output, outputs.ListAgents):
                self._list_agents()

    def _send_reset(self, reset: outputs.Reset) -> None:
        data = self._adapter.encode_reset(reset.key, reset.seq)
        caller = forward.caller_address(reset.key, self._cfg.caller_port)
        self._segments.send(data, caller)

    # Store

    def _on_config(self, changes: forwarding.Changes) -> None:
        for item in changes.items:
            try:
                cfg = self._adapter.decode_config(item.spec)
            except errors.ObjectError as exc:
                self._messenger.record_bad_input(exc, item.name)
                continue
            self._execute(self.core.configure(cfg))

    def _list_agents(self) -> None:
        """Reads the list of agents beside the watch, once at a time."""
        if self._listing is None or self._listing.done():
            self._listing = process.start_background_task(
                self._tasks, self._add_listed_agents()
            )

    async def _add_listed_agents(self) -> None:
        asked_at = self._loop.time()
        try:
            changes = await self._adapter.store.list(self._adapter.agent_kind)
        except errors.PlatformError as exc:
            logger.warning("event=list-failed error=%r", str(exc))
            return
        # The watch may be ahead of this list, so it removes nothing.
        self._add_agents(changes)
        self.core.agent_table.record_list(asked_at)

    def _on_agents(self, changes: forwarding.Changes) -> None:
        names = self._add_agents(changes)
        removed = set(changes.removed)
        if changes.full:
            self.core.agent_table.complete = True
            removed = self.core.agent_table.hosts() - names
        for host in removed:
            self._execute(self.core.remove_agent(host))

    def _add_agents(self, changes: forwarding.Changes) -> set[str]:
        """Adds the agents of a list or a watch; returns their names."""
        now = self._loop.time()
        names = set()
        for item in changes.items:
            names.add(item.name)
            try:
                record = _record_decoder.decode(item.spec)
            except msgspec.DecodeError as exc:
                self._messenger.record_bad_input(exc, item.name)
                continue
            self._execute(self.core.add_agent(now, record))
        return names

    # Other balancers

    async def _start_from_peers(self) -> None:
        """Gets configuration and agents from peers while the store fails."""
        while not (
            self._config_follower.listed and self._agent_follower.listed
        ):
            await asyncio.sleep(SEED_INTERVAL_S)
            for ip, port in self._cfg.seeds:
                source = f"{ip}:{port}"
                if self._config_follower.listed or source == self._own_source:
                    continue
                await self._fetch_state(source)

    async def _fetch_state(self, source: str) -> None:
        answer = await self._fetch_http(
            "GET", f"http://{source}{STATE_PATH}", None, FETCH_TIMEOUT_S
        )
        if answer.status != OK:
            return
        try:
            state = msgspec.msgpack.decode(answer.body, type=forwarding.State)
        except msgspec.DecodeError as exc:
            self._messenger.record_bad_input(exc, source)
            return
        self._execute(self.core.configure(state.config))
        if not self._agent_follower.listed:
            for record in state.agents:
                self._execute(self.core.add_agent(self._loop.time(), record))

    async def _tick(self) -> None:
        while True:
            now = self._loop.time()
            self._execute(self.core.on_timer(now))
            self._check_lag(now)
            await asyncio.sleep(balancer.TIMER_INTERVAL_S)

    def _check_lag(self, now: float) -> None:
        version, source = self.core.newest_config
        if version <= self.core.routes.version or source == self._own_source:
            self._lagging_since = None
            return
        if self._lagging_since is None:
            self._lagging_since = now
        elif now - self._lagging_since >= CONFIG_LAG_S:
            self._lagging_since = now
            process.start_background_task(
                self._tasks, self._fetch_state(source)
            )

    # HTTP

    def _on_call(self, req: httputil.HTTPServerRequest) -> tuple[int, bytes]:
        if req.path == self._adapter.ready_path:
            ready = self.core.ready() and not self._stopping
            return (OK if ready else UNAVAILABLE), b""
        if req.path == STATE_PATH:
            return OK, msgspec.msgpack.encode(self._state())
        if req.path == METRICS_PATH:
            return OK, self._messenger.metrics.render()
        return NOT_FOUND, b""

    def _state(self) -> forwarding.State:
        agents = self.core.agent_table.all()
        heard = [x.record for x in agents if x.report is not None]
        return forwarding.State(self.core.routes.configuration, tuple(heard))


def run(
    cfg: forwarding.HostSettings,
    make_adapter: Callable[[forwarding.HostSettings], forwarding.Adapter],
    reload: Callable[[], forwarding.HostSettings],
) -> int:
    """Runs a balancer until SIGTERM; see ``forward.run``."""
    return forward.run(
        cfg,
        lambda: BalancerForwardingDaemon(
            cfg, make_adapter(cfg), random.Random()
        ),
        reload,
    )
