"""Daemon beside the upstreams of one upstream host."""

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

TIMER_S = 0.02
DIAL_TIMEOUT_S = 1.0
# A stranger that connects to the relay must present Attach in this time.
ATTACH_TIMEOUT_S = 2.0
# Time for callers of library flows to hear the outcome before the process
# ends; a caller that is away gets no answer from anybody later.
FAREWELL_S = 2.0
# A library flow that has ended is closed in the core only once its caller has
# confirmed the outcome: a caller that returns through another balancer is
# sent on to its session only while the flow runs.  The limit frees the slot
# of a caller that has vanished.
CONFIRM_S = 10.0

# Messages that a live member answers; silence after one is suspicious.
ANSWERED = (
    messages.Place,
    messages.Witness,
    messages.SlotQuery,
    messages.Open,
)

Key = tuple[bytes, int]


class TerminatingAgentDaemon:
    """Sockets and timers around ``core.agent.AgentCore``.

    Attributes:
        cfg: Settings.
        core: Decision core.
        store: Configuration.
        incarnation: Drawn anew at each start, and raised by ``rejoin``.
        bad_input: Count of bad input by kind.
        drains_cut: Flows that a drain deadline ended.
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
        self.core = agent_core.AgentCore(
            cfg.host, incarnation, rng, window=cfg.retransmit_window_s
        )
        self.bad_input: dict[str, int] = {}
        self.drains_cut = 0
        self.draining = False
        self._loop = loop
        self._encode, self._decode = wire.make_codec(cfg.key_bytes())
        self._log = decisions.make_log(cfg.log_sample, self._preset_version)
        self._log_bad = decisions.make_bad_input_log(loop.time)
        self._socket: udp.UdpSocket | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._upstreams: dict[Key, udp.UdpSocket] = {}
        self._heard: dict[Key, float] = {}
        self._starts: dict[Key, asyncio.Future] = {}
        self._relays: dict[Key, asyncio.Task] = {}
        self._sessions: dict[bytes, resumable.ResumableSession] = {}
        self._peers = liveness.Peers()
        self._by_address: dict[tuple[str, int], liveness.Peer] = {}

    async def start(self) -> None:
        """Binds the packet socket and the relay, and starts the timers.

        Raises:
            errors.CrocusmuxError: An address cannot be bound.
        """
        self._socket = udp.UdpSocket(
            addresses.split(self.cfg.udp), self._on_datagram
        )
        ip, port = addresses.split(self.cfg.relay)
        try:
            self._server = await asyncio.start_server(
                self._on_relay, ip, port, limit=self.cfg.buffer_bytes
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

    def ready(self) -> str:
        """Returns why the agent is not ready; empty if it is."""
        if self.draining:
            return "draining"
        if self.store.in_force() is None:
            return "no preset in force is known"
        return ""

    def reconfigure(self) -> None:
        """Takes the changed configuration."""
        names = self._services()
        for name in names:
            found = liveness.members_of(self.store.membership(name))
            others = (p for p in found if p.host != self.cfg.host)
            for _ in self._peers.take(name, others):
                pass
        self._by_address = self._peers.by_address()
        self.emit(self.core.apply(self._loop.time(), self.store, names))

    def _services(self) -> set[str]:
        """Returns the services of the settings and those that list the host."""
        names = {upstream.service for upstream in self.cfg.upstreams}
        return names | self.store.services_of(self.cfg.host)

    def suspected(self) -> list[tuple[str, int]]:
        """Returns host and incarnation of the members under suspicion."""
        return [(p.host, p.incarnation) for p in self._peers.suspected()]

    def set_balancers(
        self,
        addresses: tuple[tuple[str, int], ...],
        lost: frozenset[tuple[str, int]],
    ) -> None:
        """Takes which balancers are alive and which were lost."""
        self.core.set_balancers(addresses, lost)

    def renew_lease(self, contact_age: float) -> None:
        """Takes how long ago a watcher was in contact with the platform."""
        self.core.renew_lease(self._loop.time() - contact_age)

    def rejoin(self, incarnation: int) -> None:
        """Acts under a new incarnation; flows held here go on."""
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
            self._bad("wire", str(exc))
            return
        now = self._loop.time()
        if type(message) is messages.Packet:
            # Most datagrams; the checks below are for the others.
            self.emit(self.core.on_message(now, sender, message))
            return
        back = self._peers.heard(sender)
        if back is not None:
            self._judge_peers()
        if isinstance(message, messages.Ping):
            self._answer_probe(message, sender)
            return
        self.emit(self.core.on_message(now, sender, message))

    def _answer_probe(
        self, ping: messages.Ping, sender: tuple[str, int]
    ) -> None:
        pong = messages.Pong(
            0, ping.nonce, self.cfg.host, self.incarnation, self.draining
        )
        assert self._socket is not None
        self._socket.send(self._encode(pong), sender)

    def _bad(self, kind: str, text: str) -> None:
        self.bad_input[kind] = self.bad_input.get(kind, 0) + 1
        self._log_bad(f"{kind}: {text}")

    def emit(self, outputs: list[Any]) -> None:
        """Carries out outputs of the core."""
        for output in outputs:
            match output:
                case out.ToUpstream():
                    self._to_upstream(output)
                case messages.Send():
                    self._send(output)
                case out.OpenUpstream():
                    self._open_upstream(output)
                case out.StartRelay():
                    self._start(output.flow, output.incarnation, output)
                case out.CloseUpstream():
                    self._close_upstream(output)
                case decisions.Decision():
                    self._log(output)

    def _send(self, output: messages.Send) -> None:
        if self._socket is None:
            return
        self._socket.send(self._encode(output.message), output.to)
        if isinstance(output.message, ANSWERED):
            peer = self._by_address.get(output.to)
            if peer is not None and not peer.waiting_since:
                peer.waiting_since = self._loop.time()

    def _judge_peers(self) -> None:
        hosts = frozenset(peer.host for peer in self._peers.suspected())
        self.emit(self.core.suspect(self._loop.time(), hosts))

    def _probe_peers(self, now: float) -> None:
        probes, lost = self._peers.on_timer(now)
        self.emit(list(probes))
        if lost:
            for peer in lost:
                logger.warning("member %s does not answer", peer.host)
            self._judge_peers()

    # UDP flows.

    def _open_upstream(self, output: out.OpenUpstream) -> None:
        key = (output.flow, output.incarnation)
        assert self._socket is not None
        local = (self._socket.address[0], 0)
        try:
            address = addresses.split(output.address)
            sock = udp.UdpSocket(
                local,
                lambda data, sender: self._from_upstream(
                    key, address, data, sender
                ),
            )
        except (errors.CrocusmuxError, ValueError) as exc:
            logger.error("open upstream: %s: %s", output.address, exc)
            self.emit(self.core.closed(self._loop.time(), *key, False))
            return
        self._upstreams[key] = sock
        self._heard[key] = self._loop.time()
        sock.peer = address
        sock.send(output.payload, address)

    def _to_upstream(self, output: out.ToUpstream) -> None:
        key = (output.flow, output.incarnation)
        sock = self._upstreams.get(key)
        if sock is not None:
            self._heard[key] = self._loop.time()
            sock.send(output.payload, sock.peer)

    def _from_upstream(
        self,
        key: Key,
        address: tuple[str, int],
        datagram: bytes,
        sender: tuple[str, int],
    ) -> None:
        if sender != address:
            self._bad("not-the-upstream", f"{sender}")
            return
        now = self._loop.time()
        self._heard[key] = now
        self.emit(self.core.from_upstream(now, *key, datagram))

    def _end_idle(self, now: float) -> None:
        # The oldest entry is not always the first, as packets refresh it in
        # place; a pass over all is made once a second only.
        limit = now - self.cfg.udp_idle_s
        for key in [k for k, heard in self._heard.items() if heard < limit]:
            self._drop_socket(key)
            self.emit(self.core.closed(now, *key, True))

    def _drop_socket(self, key: Key) -> None:
        self._heard.pop(key, None)
        sock = self._upstreams.pop(key, None)
        if sock is not None:
            sock.close()

    def _close_upstream(self, output: out.CloseUpstream) -> None:
        key = (output.flow, output.incarnation)
        self._drop_socket(key)
        self._start(output.flow, output.incarnation, output)
        task = self._relays.get(key)
        if task is not None and output.outcome != messages.REFUSED:
            task.cancel()
        session = self._sessions.pop(output.flow, None)
        if session is not None:
            session.close(output.outcome)

    def _start(self, flow: bytes, incarnation: int, answer: Any) -> None:
        fut = self._starts.get((flow, incarnation))
        if fut is not None and not fut.done():
            fut.set_result(answer)

    # TCP and library flows.

    async def _on_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        relay.configure_writer(writer, self.cfg.buffer_bytes)
        peer = str(writer.get_extra_info("peername"))
        try:
            frame = await asyncio.wait_for(
                relay.read_control_frame(reader, peer), ATTACH_TIMEOUT_S
            )
            attach = self._decode(frame, peer)
        except errors.WireError as exc:
            self._bad("relay", str(exc))
            relay.reset_connection(writer)
            return
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self._bad("relay", f"{peer}: no Attach")
            relay.reset_connection(writer)
            return
        if not isinstance(attach, messages.Attach):
            self._bad("relay", f"{peer}: expected Attach")
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
        # A caller whose balancer went away before it heard of its holder
        # repeats the opening; it joins the session that this began.
        resume = attach.resume or attach.flow in self._sessions
        result, outputs = self.core.attach(self._loop.time(), *key, resume)
        self.emit(outputs)
        if result.action == out.WAIT:
            result = await self._wait_for_start(key, result, writer)
        if result.action == out.REFUSE:
            await self._answer(writer, attach, result.outcome, result.reason)
            writer.close()
            return
        if attach.flow[:1] == messages.FLOW_LIBRARY:
            await self._serve_library(attach, result.address, reader, writer)
        else:
            await self._serve_tcp(attach, result.address, reader, writer)

    async def _wait_for_start(
        self, key: Key, waiting: out.AttachResult, writer: asyncio.StreamWriter
    ) -> out.AttachResult:
        """Waits in the queue; a balancer that leaves cancels the request."""
        fut = self._starts.setdefault(key, self._loop.create_future())
        try:
            while not fut.done():
                await asyncio.wait([fut], timeout=0.25)
                if writer.transport.is_closing():
                    self.emit(self.core.closed(self._loop.time(), *key, False))
                    return out.AttachResult(
                        out.REFUSE, "", messages.REFUSED, "caller-left"
                    )
        finally:
            self._starts.pop(key, None)
        answer = fut.result()
        if isinstance(answer, out.StartRelay):
            return out.AttachResult(out.START, waiting.address)
        return out.AttachResult(out.REFUSE, "", answer.outcome, answer.reason)

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        attach: messages.Attach,
        outcome: str,
        reason: str = "",
    ) -> None:
        attached = messages.Attached(
            attach.service, attach.flow, outcome, reason
        )
        await relay.write_control_frame(writer, self._encode(attached))

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
        self._relays[key] = task
        whole = ran = False
        try:
            upstream = await self._dial(address)
            if upstream is None:
                await self._answer(
                    writer, attach, messages.REFUSED, "upstream-unreachable"
                )
                writer.close()
                return
            ran = True
            try:
                await self._answer(writer, attach, messages.ANSWERED)
            except BaseException:
                relay.reset_connection(upstream[1])
                raise
            whole = await relay.splice(upstream, (reader, writer))
        finally:
            self._relays.pop(key, None)
            self._close_flow(key, whole, ran)

    async def _connect(self, address: str) -> relay.Connection:
        """Connects to an upstream.

        Raises:
            OSError: It does not accept.
            TimeoutError: It does not answer.
        """
        ip, port = addresses.split(address)
        stream = await asyncio.wait_for(
            asyncio.open_connection(ip, port, limit=self.cfg.buffer_bytes),
            DIAL_TIMEOUT_S,
        )
        relay.configure_writer(stream[1], self.cfg.buffer_bytes)
        return stream

    async def _dial(self, address: str) -> relay.Connection | None:
        try:
            return await self._connect(address)
        except (TimeoutError, OSError) as exc:
            logger.warning("dial upstream: %s: %s", address, exc)
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
                await self._answer(
                    writer, attach, messages.UNKNOWN, "no-session"
                )
                writer.close()
                return
            session = self._make_session(attach, address)
        await self._answer(writer, attach, messages.ANSWERED)
        session.add_connection(reader, writer)

    def _make_session(
        self, attach: messages.Attach, address: str
    ) -> resumable.ResumableSession:
        closing: list[asyncio.TimerHandle] = []

        def on_end(outcome: str, reason: str) -> None:
            ok = outcome == messages.ANSWERED
            logger.info("flow %s: %s %s", attach.flow.hex(), outcome, reason)
            key = (attach.flow, attach.incarnation)
            ran = outcome != messages.REFUSED
            if ok:
                timer = self._loop.call_later(
                    CONFIRM_S, self._close_flow, key, ok, ran
                )
                closing.append(timer)
            else:
                self._close_flow(key, ok, ran)

        def on_gone() -> None:
            self._sessions.pop(attach.flow, None)
            for timer in closing:
                timer.cancel()
                key = (attach.flow, attach.incarnation)
                self._close_flow(key, True)

        async def connect() -> relay.Connection:
            return await self._connect(address)

        session = resumable.ResumableSession(
            attach.flow,
            connect,
            self._loop.time,
            on_end,
            on_gone=on_gone,
            bad_input=lambda text: self._bad("library", text),
        )
        self._sessions[attach.flow] = session
        return session

    def _close_flow(self, key: Key, ok: bool, ran: bool = True) -> None:
        self.emit(self.core.closed(self._loop.time(), *key, ok, ran))

    # Time and stop.

    def _tick(self) -> None:
        now = self._loop.time()
        self.emit(self.core.on_timer(now))
        self._probe_peers(now)
        if int(now) != int(now - TIMER_S):
            self._end_idle(now)
        self._timer = self._loop.call_later(TIMER_S, self._tick)

    def flows_held(self) -> int:
        """Returns how many flows run here."""
        sessions = sum(not s.ended for s in self._sessions.values())
        return len(self._relays) + len(self._upstreams) + sessions

    def drain(self) -> None:
        """Takes no new work from now on; flows that run go on."""
        self.draining = True
        self.emit(self.core.drain(self._loop.time()))

    async def stop(self) -> None:
        """Drains, waits for the flows held here, then closes everything."""
        self.drain()
        drained = await process.wait_until(
            lambda: not self.flows_held(), self.cfg.drain_s
        )
        if not drained:
            self.drains_cut += self.flows_held()
            logger.warning(
                "drain deadline of %.1f s reached: %d flows are cut",
                self.cfg.drain_s,
                self.flows_held(),
            )
        for session in list(self._sessions.values()):
            if not session.ended:
                session.close(messages.UNKNOWN, "drain deadline")
        await process.wait_until(lambda: not self._sessions, FAREWELL_S)
        await self.close()

    async def close(self) -> None:
        """Closes all sockets at once."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        tasks = list(self._relays.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for session in list(self._sessions.values()):
            await session.abort()
        self._sessions.clear()
        for key in list(self._upstreams):
            self._drop_socket(key)
        if self._socket is not None:
            self._socket.close()
