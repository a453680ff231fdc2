"""Forwarding agent daemon: sockets, timers, HTTP and its announcement."""

import asyncio
from collections.abc import Callable
import logging
import random
import time

import msgspec
from tornado import httputil

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.forward import agent
from crocusmux.core.forward import heartbeats
from crocusmux.core.forward import outputs
from crocusmux.core.forward import reports
from crocusmux.core.forward import segments
from crocusmux.core.forward import upstreams
from crocusmux.daemons import agent_record
from crocusmux.daemons import forward
from crocusmux.daemons import process
from crocusmux.daemons import udp

logger = logging.getLogger(__name__)

OK = 200
BAD_REQUEST = 400
CONFLICT = 409
METRICS_PATH = "/metrics"
# Time for requests in progress to finish when the agent stops.  It is short, as
# the upstream's flows stall until the agent is back.
DRAIN_TIMEOUT_S = 0.5
# Messages to each balancer that the agent has withdrawn, as datagrams get lost,
# and the interval between them.
WITHDRAWN_MESSAGES = 3
WITHDRAWN_INTERVAL_S = 0.05
# Time to read heartbeats that arrived while the process was suspended.
PENDING_INPUT_S = 0.05


class AgentForwardingDaemon:
    """Runs a ``ForwardingAgent`` and executes its outputs."""

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
        self._incarnation = rng.getrandbits(32)
        self.core = agent.ForwardingAgent(
            cfg.host,
            cfg.service,
            self._incarnation,
            cfg.heartbeat_s,
            detect_outliers=cfg.detect_outliers,
        )
        record = upstreams.AgentRecord(
            host=cfg.host,
            service=cfg.service,
            failure_domain=cfg.failure_domain,
            address=cfg.segments,
            control=cfg.messages,
            incarnation=self._incarnation,
            rewritten=True,
        )
        self._record_keeper = agent_record.AgentRecordKeeper(
            adapter.store,
            adapter.agent_kind,
            record,
            rng,
            first_start=cfg.first_start,
            upstream_alive=lambda: not self._upstream_gone(),
        )
        self._tasks: set[asyncio.Task] = set()
        self._messenger = forward.Messenger(
            cfg.messages, self._on_message, self._loop.time
        )
        receiver = self._messenger.make_receiver
        from_caller = receiver(
            adapter.decode_from_caller, self._on_caller_segment
        )
        self._segments = udp.UdpSocket(cfg.segments, from_caller)
        from_upstream = receiver(
            adapter.decode_from_upstream, self._on_upstream_segment
        )
        self._outbound = udp.UdpSocket(cfg.outbound, from_upstream)

    async def start(self) -> None:
        """Starts the HTTP servers and timers, and announces the agent."""
        cfg = self._cfg
        self._servers = [forward.serve(cfg.control, self._on_request)]
        for address in {cfg.readiness, cfg.metrics} - {cfg.control}:
            self._servers.append(forward.serve(address, self._on_request))
        forward.supervise(self._tasks, self._tick())
        forward.supervise(self._tasks, self._record_keeper.run())

    async def stop(self) -> None:
        """Declines new flows, and withdraws if the upstream is gone.

        An upstream that drains or is silent may still serve flows, which only
        this agent can reach, and balancers reset the flows of an agent that
        has withdrawn.
        """
        if self._upstream_gone():
            # A suspended process misses heartbeats of a live upstream.
            await asyncio.sleep(PENDING_INPUT_S)
        upstream_available = self.core.accepting(self._loop.time())
        self._execute(self.core.stop(self._loop.time()))
        if upstream_available:
            await process.wait_until(self._no_requests, DRAIN_TIMEOUT_S)
        else:
            limit_s = self._cfg.grace_s - agent_record.WITHDRAW_TIMEOUT_S
            # The waits for pending input are part of the grace time.
            limit_s -= 2 * PENDING_INPUT_S
            if await self._wait_until_gone(limit_s):
                await self._withdraw()
        for task in list(self._tasks):
            task.cancel()

    async def _wait_until_gone(self, limit_s: float) -> bool:
        """Returns True once the upstream is gone, False after a time limit."""
        deadline = self._loop.time() + limit_s
        while await process.wait_until(
            self._upstream_gone, deadline - self._loop.time()
        ):
            await asyncio.sleep(PENDING_INPUT_S)
            if self._upstream_gone():
                return True
        return False

    async def _withdraw(self) -> None:
        """Tells all balancers, and deletes the record meanwhile."""
        self._execute(self.core.withdraw())
        await asyncio.gather(
            self._record_keeper.withdraw(), self._repeat_withdrawal()
        )

    async def _repeat_withdrawal(self) -> None:
        for _ in range(WITHDRAWN_MESSAGES - 1):
            await asyncio.sleep(WITHDRAWN_INTERVAL_S)
            self._execute(self.core.withdraw())

    def _upstream_gone(self) -> bool:
        return self.core.upstream_gone(self._loop.time())

    def _no_requests(self) -> bool:
        return self.core.load.in_progress == 0

    def _on_caller_segment(
        self, seg: segments.Segment, sender: forwarding.Address
    ) -> None:
        now = self._loop.time()
        self._execute(self.core.on_caller_segment(now, seg, sender))

    def _on_upstream_segment(
        self, seg: segments.Segment, sender: forwarding.Address
    ) -> None:
        del sender
        self._execute(self.core.on_upstream_segment(self._loop.time(), seg))

    def _on_message(
        self, message: reports.Message, sender: forwarding.Address
    ) -> None:
        now = self._loop.time()
        if isinstance(message, reports.Subscribe):
            self._execute(self.core.on_subscribe(now, message))
            self._record_keeper.on_subscribe(message)
        elif isinstance(message, reports.FlowQuery):
            self._execute(self.core.on_flow_query(now, message, sender))

    def _execute(self, actions: list[outputs.Output]) -> None:
        for output in actions:
            if isinstance(output, outputs.ToUpstream):
                seg = output.segment
                data = self._adapter.encode_segment(
                    seg, seg.service_tag, seg.mark
                )
                self._outbound.send(data, self._cfg.upstream)
            elif isinstance(output, outputs.ToCaller):
                self._send_to_caller(output.segment.key, output.segment.data)
            elif isinstance(output, outputs.Event):
                self._messenger.record_event(output)
            elif isinstance(output, outputs.ToPeer):
                self._messenger.send(output.message, output.to)
            elif isinstance(output, outputs.Reset):
                data = self._adapter.encode_reset(output.key, output.seq)
                self._send_to_caller(output.key, data)
            elif isinstance(output, outputs.Timing):
                self._messenger.metrics.observe_duration(output)

    def _send_to_caller(self, key: bytes, data: bytes) -> None:
        caller = forward.caller_address(key, self._cfg.caller_port)
        self._segments.send(data, caller)

    async def _tick(self) -> None:
        while True:
            self._execute(self.core.on_timer(self._loop.time()))
            await asyncio.sleep(agent.TIMER_INTERVAL_S)

    def _on_request(self, req: httputil.HTTPServerRequest) -> tuple[int, bytes]:
        if req.path == self._adapter.ready_path:
            return OK, b""
        if req.path == METRICS_PATH:
            return OK, self._messenger.metrics.render()
        try:
            call = self._adapter.decode_call(
                req.method or "", req.path, req.body
            )
        except errors.WireError as exc:
            self._messenger.record_bad_input(exc, req.remote_ip)
            return BAD_REQUEST, b""
        now = self._loop.time()
        if isinstance(call, forwarding.Deregistration):
            self._execute(self.core.on_deregister(now, call.upstream))
            return OK, b"{}"
        return self._on_heartbeat(now, call)

    def _on_heartbeat(
        self, now: float, beat: heartbeats.Heartbeat
    ) -> tuple[int, bytes]:
        cfg = self._cfg
        if (beat.service, beat.address) != (cfg.service, cfg.upstream):
            detail = f"service={beat.service} address={beat.address}"
            event = outputs.Event("heartbeat-foreign", b"", detail, True)
            self._messenger.record_event(event)
            return CONFLICT, b""
        if beat.born_ms:
            # The upstream runs on this host, so it has the same clock.
            age_s = time.time() - beat.born_ms / 1000
            beat = msgspec.structs.replace(beat, boot_age_s=age_s)
        self._execute(self.core.on_heartbeat(now, beat))
        return (
            OK if self.core.lifecycle.acknowledges(beat) else CONFLICT
        ), b"{}"


def run(
    cfg: forwarding.HostSettings,
    make_adapter: Callable[[forwarding.HostSettings], forwarding.Adapter],
    reload: Callable[[], forwarding.HostSettings],
) -> int:
    """Runs an agent until SIGTERM; see ``forward.run_daemon``."""
    return forward.run_daemon(
        cfg,
        lambda: AgentForwardingDaemon(cfg, make_adapter(cfg), random.Random()),
        reload,
    )
