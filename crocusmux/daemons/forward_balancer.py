"""Forwarding balancer daemon: sockets, timers, HTTP, store and peers."""

import asyncio
from collections.abc import Callable, Iterable
import itertools
import logging
import math
import random
import time

import msgspec
from tornado import httputil

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.forward import balancer
from crocusmux.core.forward import evacuations
from crocusmux.core.forward import outputs
from crocusmux.core.forward import pacing
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams
from crocusmux.daemons import explain_request
from crocusmux.daemons import follow
from crocusmux.daemons import forward
from crocusmux.daemons import process
from crocusmux.daemons import record_cleanup
from crocusmux.daemons import udp
from crocusmux.objectapi import http

logger = logging.getLogger(__name__)

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
STATE_PATH = "/state"
EXPLAIN_PATH = "/explain"
METRICS_PATH = "/metrics"
# A configuration that is stale for this long is fetched from a peer.  The watch
# on the store usually delivers the newer one sooner.
STALE_CONFIG_S = 0.5
FETCH_TIMEOUT_S = 1.0
# Delay after a configuration until the next watch: a small part of the three
# seconds within which a change must be in force.
CONFIG_BATCH_DELAY_S = 0.25
# The same after an evacuation, of which the bound is five seconds.
EVACUATION_BATCH_DELAY_S = 0.25
# Longest wait of a new balancer for the evacuated domains.  A peer or the store
# usually tells them together with the configuration; beyond this the balancer
# serves without them, as no service at all would be worse.
EVACUATIONS_WAIT_S = 3.0
# Interval between attempts to get the state of a peer at the start.
SEED_INTERVAL_S = 0.5
# Attempts to learn the former services of routes once the store has answered.
# All peers may be starting as well, and then nobody knows them.
MAX_HISTORY_ATTEMPTS = 10
# Peers that are asked about configurations that the balancer has skipped.
MAX_SKIP_PEERS = 3
# Longest delay of that, so that balancers that skip the same configuration do
# not ask together.
MAX_SKIP_DELAY_S = 0.5
# A balancer leaves the rotation after two failed readiness checks, which take a
# second; it forwards segments somewhat longer.
DRAIN_S = 3.0


class BalancerForwardingDaemon:
    """Runs a ``ForwardingBalancer`` and executes its outputs."""

    def __init__(
        self,
        cfg: forwarding.HostSettings,
        adapter: forwarding.Adapter,
        rng: random.Random,
    ) -> None:
        """Binds the UDP sockets; ``start`` begins to serve."""
        self._cfg = cfg
        self._adapter = adapter
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        source = f"{cfg.control[0]}:{cfg.control[1]}"
        self.core = balancer.ForwardingBalancer(
            cfg.host,
            cfg.failure_domain,
            cfg.messages,
            source,
            rng,
            hedge_share=cfg.hedge_share,
            detect_outliers=cfg.detect_outliers,
            fair_queueing=cfg.fair_queueing,
            extra_offer_share=(
                cfg.extra_offer_share if cfg.free_slot_first else 0.0
            ),
        )
        self._own_source = source
        self._stopping = False
        self._stale_since: float | None = None
        self.core.routes.knows_former_services = cfg.first_start
        self.core.routes.awaits_former_services = not cfg.first_start
        self._list_task: asyncio.Task | None = None
        # Waits to ask a peer about skipped configurations.
        self._skip_task: asyncio.Task | None = None
        self._hedge_timer: asyncio.TimerHandle | None = None
        self._pacer = pacing.BulkPacer(cfg.link_mbps)
        self._pace_timer: asyncio.TimerHandle | None = None
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
            adapter.store,
            adapter.agent_kind,
            self._on_agent_changes,
            rng,
            allow_stale=True,
        )
        self._config_follower = follow.Follower(
            adapter.store,
            adapter.config_kind,
            self._on_config_changes,
            rng,
            CONFIG_BATCH_DELAY_S,
            check=True,
        )
        self._cleaner = record_cleanup.RecordCleaner(
            adapter.store, adapter.agent_kind, rng
        )
        self._followers = [self._config_follower, self._agent_follower]
        if cfg.evacuations:
            self._evacuation_follower = follow.Follower(
                adapter.store,
                adapter.evacuation_kind,
                self._on_evacuation_changes,
                rng,
                EVACUATION_BATCH_DELAY_S,
                check=True,
            )
            self._followers.append(self._evacuation_follower)
            self.core.evacuated.expect_list(
                self._loop.time() + EVACUATIONS_WAIT_S
            )

    async def start(self) -> None:
        """Starts the HTTP servers, the timers and the watches on the store."""
        cfg = self._cfg
        self._servers = [forward.serve(cfg.readiness, self._on_request)]
        for address in {cfg.control, cfg.metrics} - {cfg.readiness}:
            self._servers.append(forward.serve(address, self._on_request))
        for coroutine in (
            *(follower.run() for follower in self._followers),
            self._cleaner.run(),
            self._seed_from_peers(),
            self._tick(),
        ):
            forward.supervise(self._tasks, coroutine)

    async def stop(self) -> None:
        """Fails readiness checks, and forwards until peers take over."""
        self._stopping = True
        await asyncio.sleep(min(DRAIN_S, self._cfg.grace_s / 2))
        for task in list(self._tasks):
            task.cancel()
        for timer in (self._hedge_timer, self._pace_timer):
            if timer is not None:
                timer.cancel()
        # A burst on the link is better than retransmissions by callers.
        for output in self._pacer.pop_all():
            self._send_to_agent(output)

    def _on_segment(
        self, seg: segments.Segment, sender: forwarding.Address
    ) -> None:
        del sender
        self._execute(self.core.on_segment(self._loop.time(), seg))
        self._schedule_hedges()

    def _on_message(
        self, message: reports.Message, sender: forwarding.Address
    ) -> None:
        del sender
        now = self._loop.time()
        if isinstance(message, reports.LoadReport | reports.CompactReport):
            self._cleaner.records.on_report(now, message.host)
        self._execute(self.core.on_message(now, message))
        self._schedule_hedges()

    def _schedule_hedges(self) -> None:
        """Schedules the next due hedge, as the tick may be 50 ms late.

        There is one timer at a time.  It is not moved when an offer is
        acknowledged, so it runs at most once in each hedge delay or so.
        """
        due_at = self.core.next_hedge_at()
        if self._hedge_timer is None and due_at < math.inf:
            self._hedge_timer = self._loop.call_at(due_at, self._send_hedges)

    def _send_hedges(self) -> None:
        self._hedge_timer = None
        self._execute(self.core.send_due_hedges(self._loop.time()))
        self._schedule_hedges()

    def _send_to_agent(self, output: outputs.ToAgent) -> None:
        data = self._adapter.encode_segment(
            output.segment, output.service_tag, output.mark
        )
        self._messenger.socket.send(data, output.to)

    def _send_paced(self) -> None:
        """Sends the bulk segments that are due, and schedules the next ones."""
        self._pace_timer = None
        for output in self._pacer.pop_due(self._loop.time()):
            self._send_to_agent(output)
        self._schedule_paced()

    def _schedule_paced(self) -> None:
        if self._pace_timer is None and self._pacer:
            self._pace_timer = self._loop.call_later(
                self._pacer.next_due_in_s(), self._send_paced
            )

    def _execute(self, actions: list[outputs.Output]) -> None:
        for output in actions:
            if isinstance(output, outputs.ToAgent):
                if not self._pacer.enabled or self._pacer.admit(
                    self._loop.time(), output
                ):
                    self._send_to_agent(output)
                else:
                    self._schedule_paced()
            elif isinstance(output, outputs.Event):
                self._messenger.record_event(output)
            elif isinstance(output, outputs.ToPeer):
                self._messenger.send(output.message, output.to)
            elif isinstance(output, outputs.Reset):
                self._pacer.discard(output.key)
                self._send_reset(output)
            elif isinstance(output, outputs.Timing):
                self._messenger.metrics.observe_duration(output)
            elif isinstance(output, outputs.ListAgents):
                self._list_agents()

    def _send_reset(self, reset: outputs.Reset) -> None:
        data = self._adapter.encode_reset(reset.key, reset.seq)
        caller = forward.caller_address(reset.key, self._cfg.caller_port)
        self._segments.send(data, caller)

    def _on_config_changes(self, changes: forwarding.Changes) -> None:
        for item in changes.items:
            if item.name != self._adapter.config_name:
                self._messenger.record_ignored("configuration", item.name)
                continue
            try:
                cfg = self._adapter.decode_config(item.spec)
            except errors.ObjectError as exc:
                self._messenger.record_bad_input(exc, item.name)
                continue
            before = self.core.routes.version
            self._execute(self.core.configure(cfg))
            skipped = 0 < before < cfg.version - 1
            if skipped and self._skip_task is None:
                self._skip_task = process.start_task(
                    self._tasks, self._learn_skipped(before)
                )

    async def _learn_skipped(self, before: int) -> None:
        """Asks a peer for the services of routes in skipped configurations.

        Args:
            before: Version before them.  A peer that has none newer than this
                knows none of them either.
        """
        sources = {f"{ip}:{port}" for ip, port in self._cfg.seeds}
        sources.add(self.core.config_sources.newest()[1])
        peers = sorted(sources - {self._own_source, ""})
        self._rng.shuffle(peers)
        await asyncio.sleep(self._rng.uniform(0, MAX_SKIP_DELAY_S))
        self._skip_task = None
        for source in peers[:MAX_SKIP_PEERS]:
            if await self._fetch_state(source) > before:
                return
        logger.warning("event=history-unknown before=%d", before)

    def _on_evacuation_changes(self, changes: forwarding.Changes) -> None:
        names = self._check_domains(item.name for item in changes.items)
        removed = self._check_domains(changes.removed)
        self._execute(
            self.core.update_evacuations(
                self._loop.time(),
                names,
                removed,
                changes.full,
                revision=changes.revision,
            )
        )

    def _check_domains(self, names: Iterable[str]) -> list[str]:
        """Returns the well-formed names of evacuated failure domains."""
        checked = []
        for name in names:
            try:
                evacuations.check_domain(name)
            except ValueError as exc:
                self._messenger.record_bad_input(exc, repr(name))
                continue
            checked.append(name)
        return checked

    def _list_agents(self) -> None:
        """Reads the list of agents beside the watch, one read at a time.

        A flow counts as lost by it, so changes of the configuration are read as
        well: the route may lead to the service of the flow only since then.
        """
        if self._list_task is None or self._list_task.done():
            self._list_task = process.start_task(
                self._tasks, self._add_listed_agents()
            )

    async def _add_listed_agents(self) -> None:
        requested_at = self._loop.time()
        try:
            await self._config_follower.read_current()
            changes = await self._adapter.store.list(self._adapter.agent_kind)
        except errors.PlatformError as exc:
            logger.warning("event=list-failed error=%r", str(exc))
            return
        # The watch may be ahead of this list, so no agent is removed.
        self._add_agents(changes)
        self.core.agent_table.record_list(requested_at)

    def _on_agent_changes(self, changes: forwarding.Changes) -> None:
        names = self._add_agents(changes)
        removed = set(changes.removed)
        if changes.full:
            self.core.agent_table.complete = True
            removed = self.core.agent_table.hosts()
            removed = (removed | self._cleaner.records.hosts()) - names
        now, revision = self._loop.time(), changes.revision
        for host in removed:
            self._cleaner.records.on_gone(now, host, revision)
            self._execute(self.core.on_record_gone(now, host, revision))

    def _add_agents(self, changes: forwarding.Changes) -> set[str]:
        """Adds the agents of a list or watch; returns their object names."""
        now = self._loop.time()
        names = set()
        for item in changes.items:
            names.add(item.name)
            try:
                record = upstreams.decode_record(item.spec)
            except errors.ObjectError as exc:
                self._messenger.record_bad_input(exc, item.name)
                continue
            if record.rewritten and record.host == item.name:
                self._cleaner.records.on_record(now, item.name, item.revision)
            self._execute(self.core.add_agent(now, record, item.revision))
        return names

    async def _seed_from_peers(self) -> None:
        """Fetches the state of peers.

        Until the store has answered it is needed to serve at all.  Later it
        still tells the former services of routes, which the store has not.
        """
        for attempt in itertools.count():
            await asyncio.sleep(SEED_INTERVAL_S)
            for ip, port in self._cfg.seeds:
                source = f"{ip}:{port}"
                if source != self._own_source and not self._seeded(attempt):
                    await self._fetch_state(source)
            # Once all were asked, it is likely that no peer knows them, as after
            # a loss of power, and callers of lost flows wait.
            self.core.routes.awaits_former_services = False
            if self._seeded(attempt):
                return

    def _seeded(self, attempt: int) -> bool:
        """Returns True if no peer needs to be asked any more."""
        return self._store_answered() and (
            self.core.routes.knows_former_services
            or attempt >= MAX_HISTORY_ATTEMPTS
        )

    def _learn_former_services(
        self, state: forwarding.PeerState, source: str
    ) -> None:
        try:
            self.core.routes.learn_former_services(
                state.config, state.former_services
            )
        except ValueError as exc:
            self._messenger.record_bad_input(exc, source)
            return
        # A peer without a configuration has no history to tell, and one that has
        # started as well may not know it.
        if state.config.version and state.knows_former_services:
            self.core.routes.knows_former_services = True

    def _store_answered(self) -> bool:
        """Returns True once all kinds of objects have been listed."""
        return all(follower.listed for follower in self._followers)

    async def _fetch_state(self, source: str) -> int:
        """Applies the state of a peer.

        Returns:
            The version of its configuration; 0 if it has none, or if it does
            not answer.
        """
        response = await self._fetch_http(
            "GET", f"http://{source}{STATE_PATH}", None, FETCH_TIMEOUT_S
        )
        if response.status != OK:
            return 0
        try:
            state = forwarding.decode_state(response.body)
        except errors.WireError as exc:
            self._messenger.record_bad_input(exc, source)
            return 0
        self._execute(self.core.configure(state.config))
        self._learn_former_services(state, source)
        if not self._agent_follower.listed:
            for record in state.agents:
                self._execute(self.core.add_agent(self._loop.time(), record))
        self._learn_evacuations(state)
        return state.config.version

    def _learn_evacuations(self, state: forwarding.PeerState) -> None:
        """Adds the evacuated domains of a peer until the store has answered.

        None is removed, as the peer may have started just before.  The peer may
        also have lost the store before an evacuation, so its word is enough to
        serve only once a call of this balancer has failed.
        """
        follower = self._evacuation_follower if self._cfg.evacuations else None
        if follower is None or follower.listed:
            return
        # A peer without a configuration may not have asked the store yet.
        if state.config.version:
            names = self._check_domains(state.evacuated)
            self._execute(
                self.core.update_evacuations(
                    self._loop.time(), names, known=follower.failed
                )
            )

    async def _tick(self) -> None:
        while True:
            now = self._loop.time()
            self._execute(self.core.on_timer(now, time.time()))
            self._schedule_hedges()
            self._check_staleness(now)
            event = self._pacer.pop_event(now)
            if event is not None:
                self._messenger.record_event(event)
            await asyncio.sleep(balancer.TIMER_INTERVAL_S)

    def _check_staleness(self, now: float) -> None:
        newer = self.core.config_sources.choose(
            now, self.core.routes.version, self._own_source
        )
        if newer is None:
            self._stale_since = None
            return
        if self._stale_since is None:
            self._stale_since = now
        elif now - self._stale_since >= STALE_CONFIG_S:
            self._stale_since = now
            process.start_task(self._tasks, self._fetch_newer(*newer))

    async def _fetch_newer(self, version: int, source: str) -> None:
        """Fetches a configuration of which a report names version and source."""
        if await self._fetch_state(source) < version:
            self.core.config_sources.record_failure(self._loop.time(), source)

    def _on_request(self, req: httputil.HTTPServerRequest) -> tuple[int, bytes]:
        known = self.core.evacuated.known(self._loop.time())
        if req.path == self._adapter.ready_path:
            ready = self.core.ready() and known and not self._stopping
            return (OK if ready else UNAVAILABLE), b""
        if req.path == STATE_PATH:
            if not known:
                # A peer would take it that no domain is evacuated.
                return UNAVAILABLE, b""
            return OK, msgspec.msgpack.encode(self._state())
        if req.path == METRICS_PATH:
            return OK, self._messenger.metrics.render()
        if req.path == EXPLAIN_PATH:
            return explain_request.explain(
                self.core, self._loop.time(), req.arguments
            )
        return NOT_FOUND, b""

    def _state(self) -> forwarding.PeerState:
        agents = self.core.agent_table.all()
        reporting = [x.record for x in agents if x.report is not None]
        return forwarding.PeerState(
            self.core.routes.configuration,
            tuple(reporting),
            self.core.routes.former_services(),
            tuple(sorted(self.core.evacuated)),
            self.core.routes.knows_former_services,
        )


def run(
    cfg: forwarding.HostSettings,
    make_adapter: Callable[[forwarding.HostSettings], forwarding.Adapter],
    reload: Callable[[], forwarding.HostSettings],
) -> int:
    """Runs a balancer until SIGTERM; see ``forward.run_daemon``."""
    return forward.run_daemon(
        cfg,
        lambda: BalancerForwardingDaemon(
            cfg, make_adapter(cfg), random.Random()
        ),
        reload,
    )
