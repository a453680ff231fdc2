"""Sockets and timers of a terminating agent around ``core.flows.agent``."""

import asyncio
import logging
import random
from typing import Any

from crocusmux import addresses
from crocusmux import decisions
from crocusmux import errors
from crocusmux import messages
from crocusmux import settings
from crocusmux import wire
from crocusmux.core.control import config_store
from crocusmux.core.flows import agent as agent_core
from crocusmux.core.flows import liveness
from crocusmux.core.flows import outputs as out
from crocusmux.daemons import process
from crocusmux.daemons import relay
from crocusmux.daemons import resumable
from crocusmux.daemons import udp

logger = logging.getLogger(__name__)

TIMER_INTERVAL_S = 0.02
DIAL_TIMEOUT_S = 1.0
# A new relay connection must present Attach within this time.
ATTACH_TIMEOUT_S = 2.0
# Time to deliver the outcome of library flows before the process ends; no
# other daemon knows the outcome afterwards.
OUTCOME_WAIT_S = 2.0
# An answered library flow is closed in the core only once its caller has
# confirmed the outcome, as a caller that reconnects through another balancer
# reaches its session only while the core knows the flow.  The limit frees the
# upstream's slot if the caller has vanished.
CONFIRMATION_TIMEOUT_S = 10.0

# Messages that a live member answers; it is suspected if it does not.
EXPECTING_REPLY = (
    messages.Place,
    messages.Witness,
    messages.SlotQuery,
    messages.Open,
)

FlowKey = tuple[bytes, int]  # flow id, placement incarnation


class TerminatingAgentDaemon:
    """Sockets and timers around the core ``TerminatingAgent``.

    Attributes:
        cfg: Settings.
        core: Decision core.
        store: Configuration objects.
        incarnation: Agent incarnation; new at each start and by ``rejoin``.
        bad_input: Count of bad input by kind.
        cut_flows: Count of flows ended at a drain deadline.
        draining: True once a graceful stop has begun.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        store: config_store.ConfigStore,
        rng: random.Random,
        incarnation: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.cfg = cfg
        self.store = store
        self.incarnation = incarnation
        self.core = agent_core.TerminatingAgent(
            cfg.host, incarnation, rng, window=cfg.retransmit_window_s
        )
        self.bad_input: dict[str, int] = {}
        self.cut_flows = 0
        self.draining = False
        self._loop = loop
        self._encode, self._decode = wire.make_codec(cfg.key_bytes())
        self._log = decisions.make_log(cfg.log_sample, self._preset_version)
        self._log_bad_input = decisions.make_bad_input_log(loop.time)
        self._socket: udp.UdpSocket | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._upstream_sockets: dict[FlowKey, udp.UdpSocket] = {}
        self._last_packet_at: dict[FlowKey, float] = {}
        self._pending_starts: dict[FlowKey, asyncio.Future] = {}
        self._relay_tasks: dict[FlowKey, asyncio.Task] = {}
        self._sessions: dict[bytes, resumable.ResumableSession] = {}
        self._peers = liveness.FailureDetector()
        self._peers_by_address: dict[tuple[str, int], liveness.Agent] = {}

    async def start(self) -> None:
        """Binds the packet socket and the relay, and starts the timer.

        Raises:
            errors.CrocusmuxError: An address cannot be bound.
        """
        self._socket = udp.UdpSocket(
            addresses.split(self.cfg.udp), self._on_datagram
        )
        ip, port = addresses.split(self.cfg.relay)
        try:
            self._server = await asyncio.start_server(
                self._on_relay_connection, ip, port, limit=self.cfg.buffer_bytes
            )
        except OSError as exc:
            raise errors.CrocusmuxError(
                str(exc), step="bind relay", peer=self.cfg.relay
            ) from exc
        self._tick()

    @property
    def udp_address(self) -> str:
        """``ip:port`` of the packet socket."""
        assert self._socket is not None
        return "{}:{}".format(*self._socket.address)

    @property
    def relay_address(self) -> str:
        """``ip:port`` of the relay."""
        assert self._server is not None
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    def unready_reason(self) -> str:
        """Returns why the agent is not ready; empty if it is ready."""
        if self.draining:
            return "draining"
        if self.store.in_force() is None:
            return "no preset in force is known"
        return ""

    def reconfigure(self) -> None:
        """Applies the changed configuration."""
        names = self._service_names()
        for name in names:
            members = liveness.agents_of(self.store.membership(name))
            others = (p for p in members if p.host != self.cfg.host)
            for _ in self._peers.update_members(name, others):
                pass
        self._peers_by_address = self._peers.agents_by_address()
        self.execute(self.core.apply(self._loop.time(), self.store, names))

    def _service_names(self) -> set[str]:
        """Returns services in the settings or with this host as a member."""
        names = {upstream.service for upstream in self.cfg.upstreams}
        return names | self.store.services_of(self.cfg.host)

    def suspected(self) -> list[tuple[str, int]]:
        """Returns host and incarnation of each suspected member."""
        return [(p.host, p.incarnation) for p in self._peers.suspected_agents()]

    def set_balancers(
        self,
        addresses: tuple[tuple[str, int], ...],
        lost: frozenset[tuple[str, int]],
    ) -> None:
        """Sets the packet addresses of live and of lost balancers."""
        self.core.set_balancers(addresses, lost)

    def renew_lease(self, contact_age: float) -> None:
        """Renews the lease as of the object API contact, seconds ago."""
        self.core.renew_lease(self._loop.time() - contact_age)

    def rejoin(self, incarnation: int) -> None:
        """Continues under a new agent incarnation, with all flows held here."""
        if incarnation == self.incarnation:
            return
        self.incarnation = incarnation
        self.core.rejoin(incarnation)
        self.reconfigure()

    def _preset_version(self) -> int:
        return self.store.version("in-force")

    # Packets.

    def _on_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        try:
            message = self._decode(datagram, sender)
        except errors.WireError as exc:
            self._count_bad_input("wire", str(exc))
            return
        now = self._loop.time()
        if type(message) is messages.Packet:
            # Fast path: most datagrams are packets.
            self.execute(self.core.on_message(now, sender, message))
            return
        recovered = self._peers.on_message_from(sender)
        if recovered is not None:
            self._update_suspected_hosts()
        if isinstance(message, messages.Ping):
            self._send_pong(message, sender)
            return
        self.execute(self.core.on_message(now, sender, message))

    def _send_pong(self, ping: messages.Ping, sender: tuple[str, int]) -> None:
        pong = messages.Pong(
            0, ping.nonce, self.cfg.host, self.incarnation, self.draining
        )
        assert self._socket is not None
        self._socket.send(self._encode(pong), sender)

    def _count_bad_input(self, kind: str, text: str) -> None:
        self.bad_input[kind] = self.bad_input.get(kind, 0) + 1
        self._log_bad_input(f"{kind}: {text}")

    def execute(self, outputs: list[Any]) -> None:
        """Executes outputs of the core."""
        for output in outputs:
            match output:
                case out.ToUpstream():
                    self._send_to_upstream(output)
                case messages.Send():
                    self._send(output)
                case out.OpenUpstream():
                    self._open_upstream(output)
                case out.StartRelay():
                    self._end_wait(output.flow, output.incarnation, output)
                case out.CloseUpstream():
                    self._close_upstream(output)
                case decisions.Decision():
                    self._log(output)

    def _send(self, output: messages.Send) -> None:
        if self._socket is None:
            return
        self._socket.send(self._encode(output.message), output.to)
        if isinstance(output.message, EXPECTING_REPLY):
            peer = self._peers_by_address.get(output.to)
            if peer is not None and not peer.waiting_since:
                peer.waiting_since = self._loop.time()

    def _update_suspected_hosts(self) -> None:
        hosts = frozenset(peer.host for peer in self._peers.suspected_agents())
        self.execute(self.core.set_suspected_hosts(self._loop.time(), hosts))

    def _probe_peers(self, now: float) -> None:
        probes, lost = self._peers.on_timer(now)
        self.execute(list(probes))
        if lost:
            for peer in lost:
                logger.warning("suspecting member %s: no answer", peer.host)
            self._update_suspected_hosts()

    # UDP flows.

    def _open_upstream(self, output: out.OpenUpstream) -> None:
        key = (output.flow, output.incarnation)
        assert self._socket is not None
        local = (self._socket.address[0], 0)
        try:
            address = addresses.split(output.address)
            sock = udp.UdpSocket(
                local,
                lambda data, sender: self._on_upstream_datagram(
                    key, address, data, sender
                ),
            )
        except (errors.CrocusmuxError, ValueError) as exc:
            logger.error(
                "no socket to %s, closing flow: %s", output.address, exc
            )
            self.execute(self.core.on_ended(self._loop.time(), *key, False))
            return
        self._upstream_sockets[key] = sock
        self._last_packet_at[key] = self._loop.time()
        sock.peer = address
        sock.send(output.payload, address)

    def _send_to_upstream(self, output: out.ToUpstream) -> None:
        key = (output.flow, output.incarnation)
        sock = self._upstream_sockets.get(key)
        if sock is not None:
            self._last_packet_at[key] = self._loop.time()
            sock.send(output.payload, sock.peer)

    def _on_upstream_datagram(
        self,
        key: FlowKey,
        address: tuple[str, int],
        datagram: bytes,
        sender: tuple[str, int],
    ) -> None:
        if sender != address:
            self._count_bad_input("not-the-upstream", f"{sender}")
            return
        now = self._loop.time()
        self._last_packet_at[key] = now
        self.execute(self.core.on_upstream_datagram(now, *key, datagram))

    def _close_idle_udp_flows(self, now: float) -> None:
        # Entries are not ordered by time, as packets refresh them in place;
        # hence the full scan, made only once a second.
        limit = now - self.cfg.udp_idle_s
        for key in [k for k, at in self._last_packet_at.items() if at < limit]:
            self._close_upstream_socket(key)
            self.execute(self.core.on_ended(now, *key, True))

    def _close_upstream_socket(self, key: FlowKey) -> None:
        self._last_packet_at.pop(key, None)
        sock = self._upstream_sockets.pop(key, None)
        if sock is not None:
            sock.close()

    def _close_upstream(self, output: out.CloseUpstream) -> None:
        key = (output.flow, output.incarnation)
        self._close_upstream_socket(key)
        self._end_wait(output.flow, output.incarnation, output)
        task = self._relay_tasks.get(key)
        if task is not None and output.outcome != messages.REFUSED:
            task.cancel()
        session = self._sessions.pop(output.flow, None)
        if session is not None:
            session.close(output.outcome)

    def _end_wait(self, flow: bytes, incarnation: int, output: Any) -> None:
        fut = self._pending_starts.get((flow, incarnation))
        if fut is not None and not fut.done():
            fut.set_result(output)

    # TCP and library flows.

    async def _on_relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        relay.configure_writer(writer, self.cfg.buffer_bytes)
        peer = str(writer.get_extra_info("peername"))
        try:
            frame = await asyncio.wait_for(
                relay.read_control(reader, peer), ATTACH_TIMEOUT_S
            )
            attach = self._decode(frame, peer)
        except errors.WireError as exc:
            self._count_bad_input("relay", str(exc))
            relay.reset_connection(writer)
            return
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self._count_bad_input("relay", f"{peer}: no Attach")
            relay.reset_connection(writer)
            return
        if not isinstance(attach, messages.Attach):
            self._count_bad_input("relay", f"{peer}: expected Attach")
            relay.reset_connection(writer)
            return
        try:
            await self._attach(attach, reader, writer)
        except OSError:
            relay.reset_connection(writer)
        except asyncio.CancelledError:
            relay.reset_connection(writer)

    async def _attach(
        self,
        attach: messages.Attach,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        key = (attach.flow, attach.incarnation)
        # If the balancer vanished before the caller learnt its holder, the
        # caller repeats the opening and joins the session of the first one.
        resume = attach.resume or attach.flow in self._sessions
        result, outputs = self.core.on_attach(self._loop.time(), *key, resume)
        self.execute(outputs)
        if result.action == out.WAIT:
            result = await self._wait_for_start(key, result, writer)
        if result.action == out.REFUSE:
            await self._reply(writer, attach, result.outcome, result.reason)
            writer.close()
            return
        if attach.flow[:1] == messages.FLOW_LIBRARY:
            await self._serve_library(attach, result.address, reader, writer)
        else:
            await self._serve_tcp(attach, result.address, reader, writer)

    async def _wait_for_start(
        self, key: FlowKey, wait: out.AttachResult, writer: asyncio.StreamWriter
    ) -> out.AttachResult:
        """Waits in the queue; a closed relay connection cancels the request."""
        fut = self._pending_starts.setdefault(key, self._loop.create_future())
        try:
            while not fut.done():
                await asyncio.wait([fut], timeout=0.25)
                if writer.transport.is_closing():
                    self.execute(
                        self.core.on_ended(self._loop.time(), *key, False)
                    )
                    return out.AttachResult(
                        out.REFUSE, "", messages.REFUSED, "caller-left"
                    )
        finally:
            self._pending_starts.pop(key, None)
        output = fut.result()
        if isinstance(output, out.StartRelay):
            return out.AttachResult(out.START, wait.address)
        return out.AttachResult(out.REFUSE, "", output.outcome, output.reason)

    async def _reply(
        self,
        writer: asyncio.StreamWriter,
        attach: messages.Attach,
        outcome: str,
        reason: str = "",
    ) -> None:
        attached = messages.Attached(
            attach.service, attach.flow, outcome, reason
        )
        await relay.write_control(writer, self._encode(attached))

    async def _serve_tcp(
        self,
        attach: messages.Attach,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        key = (attach.flow, attach.incarnation)
        task = asyncio.current_task()
        assert task is not None
        self._relay_tasks[key] = task
        completed = ran = False
        try:
            upstream = await self._dial_upstream(address)
            if upstream is None:
                await self._reply(
                    writer, attach, messages.REFUSED, "upstream-unreachable"
                )
                writer.close()
                return
            ran = True
            try:
                await self._reply(writer, attach, messages.ANSWERED)
            except BaseException:
                relay.reset_connection(upstream[1])
                raise
            completed = await relay.splice(upstream, (reader, writer))
        finally:
            self._relay_tasks.pop(key, None)
            self._close_flow(key, completed, ran)

    async def _connect_upstream(self, address: str) -> relay.Connection:
        """Connects to an upstream.

        Raises:
            OSError: The connection was refused or broke.
            TimeoutError: There was no answer within ``DIAL_TIMEOUT_S``.
        """
        ip, port = addresses.split(address)
        connection = await asyncio.wait_for(
            asyncio.open_connection(ip, port, limit=self.cfg.buffer_bytes),
            DIAL_TIMEOUT_S,
        )
        relay.configure_writer(connection[1], self.cfg.buffer_bytes)
        return connection

    async def _dial_upstream(self, address: str) -> relay.Connection | None:
        try:
            return await self._connect_upstream(address)
        except (TimeoutError, OSError) as exc:
            logger.warning("cannot dial upstream %s: %r", address, exc)
            return None

    async def _serve_library(
        self,
        attach: messages.Attach,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        session = self._sessions.get(attach.flow)
        if session is None:
            if attach.resume:
                await self._reply(
                    writer, attach, messages.UNKNOWN, "no-session"
                )
                writer.close()
                return
            session = self._make_session(attach, address)
        await self._reply(writer, attach, messages.ANSWERED)
        session.add_connection(reader, writer)

    def _make_session(
        self, attach: messages.Attach, address: str
    ) -> resumable.ResumableSession:
        close_timers: list[asyncio.TimerHandle] = []

        def on_end(outcome: str, reason: str) -> None:
            answered = outcome == messages.ANSWERED
            logger.info("flow %s: %s %s", attach.flow.hex(), outcome, reason)
            key = (attach.flow, attach.incarnation)
            ran = outcome != messages.REFUSED
            if answered:
                timer = self._loop.call_later(
                    CONFIRMATION_TIMEOUT_S, self._close_flow, key, answered, ran
                )
                close_timers.append(timer)
            else:
                self._close_flow(key, answered, ran)

        def on_closed() -> None:
            self._sessions.pop(attach.flow, None)
            for timer in close_timers:
                timer.cancel()
                key = (attach.flow, attach.incarnation)
                self._close_flow(key, True)

        async def connect() -> relay.Connection:
            return await self._connect_upstream(address)

        session = resumable.ResumableSession(
            attach.flow,
            connect,
            self._loop.time,
            on_end,
            on_closed=on_closed,
            bad_input=lambda text: self._count_bad_input("library", text),
        )
        self._sessions[attach.flow] = session
        return session

    def _close_flow(self, key: FlowKey, clean: bool, ran: bool = True) -> None:
        self.execute(self.core.on_ended(self._loop.time(), *key, clean, ran))

    # Timer and stop.

    def _tick(self) -> None:
        now = self._loop.time()
        self.execute(self.core.on_timer(now))
        self._probe_peers(now)
        if int(now) != int(now - TIMER_INTERVAL_S):
            self._close_idle_udp_flows(now)
        self._timer = self._loop.call_later(TIMER_INTERVAL_S, self._tick)

    def count_held_flows(self) -> int:
        """Returns the number of flows that run here."""
        sessions = sum(not s.ended for s in self._sessions.values())
        return len(self._relay_tasks) + len(self._upstream_sockets) + sessions

    def drain(self) -> None:
        """Stops accepting new flows; running flows continue."""
        self.draining = True
        self.execute(self.core.drain(self._loop.time()))

    async def stop(self) -> None:
        """Drains, waits for the flows held here, then closes all sockets."""
        self.drain()
        drained = await process.wait_until(
            lambda: not self.count_held_flows(), self.cfg.drain_s
        )
        if not drained:
            self.cut_flows += self.count_held_flows()
            logger.warning(
                "drain deadline of %.1f s reached: ending %d flows",
                self.cfg.drain_s,
                self.count_held_flows(),
            )
        for session in list(self._sessions.values()):
            if not session.ended:
                session.close(messages.UNKNOWN, "drain deadline")
        await process.wait_until(lambda: not self._sessions, OUTCOME_WAIT_S)
        await self.close()

    async def close(self) -> None:
        """Closes all sockets at once and breaks the remaining flows."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        tasks = list(self._relay_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for session in list(self._sessions.values()):
            await session.abort()
        self._sessions.clear()
        for key in list(self._upstream_sockets):
            self._close_upstream_socket(key)
        if self._socket is not None:
            self._socket.close()
