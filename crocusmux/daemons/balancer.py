"""Daemon of an entry host."""

import asyncio
from collections.abc import Callable
import functools
import logging
import random
from typing import Any

from crocusmux import addresses
from crocusmux import decisions
from crocusmux import errors
from crocusmux import messages
from crocusmux import settings
from crocusmux import telemetry
from crocusmux import wire
from crocusmux.core.control import config_store
from crocusmux.core.flows import balancer as balancer_core
from crocusmux.core.flows import balancer_outputs
from crocusmux.core.flows import balancer_state
from crocusmux.daemons import attach
from crocusmux.daemons import process
from crocusmux.daemons import relay
from crocusmux.daemons import udp

logger = logging.getLogger(__name__)

TIMER_S = 0.05
# Datagrams of callers still arrive for a moment after the fabric was told.
UDP_LINGER_S = 2.0
# Time for a refused caller to read the refusal and close.
REFUSAL_LINGER_S = 1.0


class Listener:
    """Sockets of one service address."""

    __slots__ = ("address", "server", "socket")

    def __init__(self, address: balancer_state.AddressState) -> None:
        self.address = address
        self.server: asyncio.Server | None = None
        self.socket: udp.UdpSocket | None = None

    async def close(self) -> None:
        """Stops accepting; open connections go on."""
        if self.server is not None:
            self.server.close()
        if self.socket is not None:
            self.socket.close()


class TerminatingBalancerDaemon:
    """Sockets and timers around ``core.balancer.BalancerCore``.

    Attributes:
        cfg: Settings.
        core: Decision core.
        store: Configuration.
        connections: Open TCP connections.
        bad_input: Count of bad input by kind.
        refused: Count of refused flows by reason.
        drains_cut: Connections that a drain deadline ended.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        store: config_store.ConfigStore,
        rng: random.Random,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.cfg = cfg
        self.store = store
        self.core = balancer_core.BalancerCore(cfg.host, rng)
        self.connections: set[asyncio.Task] = set()
        self.bad_input: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.cut_connections = 0
        self.draining = False
        self.on_suspect: Callable[[str, int], None] = lambda host, number: None
        self._loop = loop
        self._rng = rng
        self._encode, self._decode = wire.make_codec(cfg.key_bytes())
        self._opener = attach.Opener(
            self.core,
            self.emit,
            (self._encode, self._decode),
            cfg.buffer_bytes,
            rng,
        )
        self._listeners: dict[bytes, Listener] = {}
        self._log = decisions.make_log(cfg.log_sample, self._preset_version)
        self._log_bad = decisions.make_bad_input_log(loop.time)
        self._rebuild: Any = None
        self._stale = False
        self._syncing = False
        self._sync_again = False
        self._complete_once = False
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._socket: udp.UdpSocket | None = None

    async def start(self) -> None:
        """Binds the packet socket and starts the timers.

        Raises:
            errors.CrocusmuxError: The socket cannot be bound.
        """
        self._socket = udp.UdpSocket(
            addresses.split(self.cfg.udp), self._on_agent_datagram
        )
        self._tick()

    @property
    def udp_address(self) -> tuple[str, int]:
        """``(ip, port)`` of the packet socket."""
        assert self._socket is not None
        return self._socket.address

    def ready(self) -> str:
        """Returns why the balancer is not ready; empty if it is."""
        if self.draining:
            return "draining"
        if self.store.in_force() is None:
            return "no preset in force is known"
        missing = self._missing()
        # Later on, one address that cannot be served must not take a balancer
        # out of service for all others.
        if not self._complete_once and (missing or not self._listeners):
            return f"{missing} service addresses are not served yet"
        self._complete_once = True
        return ""

    def _missing(self) -> int:
        """Returns how many service addresses have no socket."""
        wanted = {address.key for address in self.core.addresses()}
        return len(wanted - set(self._listeners))

    def retry_listeners(self) -> None:
        """Tries again to serve addresses whose port was taken."""
        idle = self._rebuild is None and not self._syncing
        if idle and not self.draining and self._missing():
            self._rebuilt()

    # Configuration.

    def reconfigure(self) -> None:
        """Takes the changed configuration, a slice in each loop turn."""
        self._stale = True
        if self._rebuild is None:
            self._start_rebuild()

    def _start_rebuild(self) -> None:
        self._stale = False
        self._rebuild = self.core.apply(self._loop.time(), self.store)
        self._rebuild_step()

    def _rebuild_step(self) -> None:
        try:
            next(self._rebuild)
        except StopIteration:
            self._rebuild = None
            self._rebuilt()
        else:
            self._loop.call_soon(self._rebuild_step)

    def _rebuilt(self) -> None:
        if self._stale:
            self._start_rebuild()
        elif self._syncing:
            self._sync_again = True
        else:
            self._syncing = self._sync_again = True
            process.start_background_task(self._tasks, self._sync_listeners())

    async def _sync_listeners(self) -> None:
        """Opens and closes listeners to match the service addresses."""
        try:
            while self._sync_again and not self.draining:
                self._sync_again = False
                await self._sync_once()
        finally:
            self._syncing = False

    async def _sync_once(self) -> None:
        wanted = {state.key: state for state in self.core.addresses()}
        for key in [k for k in self._listeners if k not in wanted]:
            await self._listeners.pop(key).close()
        for key, state in wanted.items():
            known = self._listeners.get(key)
            if known is not None and known.address.config == state.config:
                known.address = state
                continue
            if known is not None:
                await known.close()
            try:
                self._listeners[key] = await self._listen(state)
            except (OSError, errors.CrocusmuxError) as exc:
                self._listeners.pop(key, None)
                logger.error(
                    "listen: %s/%s: %s",
                    state.service.name,
                    state.config.name,
                    exc,
                )

    async def _listen(self, state: balancer_state.AddressState) -> Listener:
        listener = Listener(state)
        ip = state.config.ip or self.cfg.listen_ip
        if state.config.protocol == "udp":
            listener.socket = udp.UdpSocket(
                (ip, state.config.port),
                functools.partial(self._on_caller_datagram, listener),
            )
        else:
            listener.server = await asyncio.start_server(
                functools.partial(self._on_connection, listener),
                ip,
                state.config.port,
                limit=self.cfg.buffer_bytes,
                backlog=1024,
            )
        return listener

    def _preset_version(self) -> int:
        return self.store.version("in-force")

    # Datagrams.

    def _on_caller_datagram(
        self, listener: Listener, datagram: bytes, caller: tuple[str, int]
    ) -> None:
        if len(datagram) > wire.MAX_PAYLOAD_BYTES:
            self.count_bad(
                "oversized-datagram", f"{caller}: {len(datagram)} bytes"
            )
            return
        send = self.core.on_datagram(
            self._loop.time(), listener.address, caller, datagram
        )
        if send is not None:
            self._socket.send(self._encode(send.message), send.to)  # type: ignore[union-attr]

    def _on_agent_datagram(
        self, datagram: bytes, sender: tuple[str, int]
    ) -> None:
        try:
            message = self._decode(datagram, sender)
        except errors.WireError as exc:
            self.count_bad("wire", str(exc))
            return
        self.emit(self.core.on_message(self._loop.time(), sender, message))

    def count_bad(self, kind: str, text: str) -> None:
        """Counts and logs bad input, the latter at a bounded rate."""
        self.bad_input[kind] = self.bad_input.get(kind, 0) + 1
        self._log_bad(f"{kind}: {text}")

    def emit(self, outputs: list[Any]) -> None:
        """Carries out outputs of the core."""
        for output in outputs:
            match output:
                case balancer_outputs.ToCaller():
                    listener = self._listeners.get(output.address_key)
                    if listener is not None and listener.socket is not None:
                        listener.socket.send(output.payload, output.caller)
                case messages.Send():
                    self._send(output)
                case balancer_outputs.AttachTo() | balancer_outputs.RetryFlow():
                    self._opener.on_output(output)
                case balancer_outputs.FlowRefused():
                    telemetry.count_reason(self.refused, output.reason)
                    self._opener.on_output(output)
                case decisions.Decision():
                    self._log(output)
                case balancer_outputs.Suspect():
                    self.on_suspect(output.host, output.incarnation)

    def _send(self, output: messages.Send) -> None:
        if self._socket is not None:
            self._socket.send(self._encode(output.message), output.to)

    def _tick(self) -> None:
        self.emit(self.core.on_timer(self._loop.time()))
        self._timer = self._loop.call_later(TIMER_S, self._tick)

    # TCP connections.

    async def _on_connection(
        self,
        listener: Listener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        caller = writer.get_extra_info("peername")
        if caller is None or len(self.connections) >= self.cfg.max_connections:
            self.count_bad("connection-limit", f"{caller}")
            await self._refuse(listener, reader, writer)
            return
        self.connections.add(task)
        try:
            await self._serve(listener, reader, writer, caller[0])
        except asyncio.CancelledError:
            # Only a drain deadline cancels; the caller must see a cut.
            relay.reset_connection(writer)
        except BaseException:
            # A fault here must not look like the end of an answer.
            relay.reset_connection(writer)
            raise
        finally:
            self.connections.discard(task)

    async def _serve(
        self,
        listener: Listener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: str,
    ) -> None:
        relay.configure_writer(writer, self.cfg.buffer_bytes)
        try:
            stream = await self._opener.open(
                listener.address,
                messages.FLOW_TCP,
                caller,
                self._rng.randbytes(16),
                gone=writer.transport.is_closing,
            )
        except errors.RefusedNotRunError:
            await self._refuse(listener, reader, writer)
            return
        except errors.OutcomeUnknownError:
            relay.reset_connection(writer)
            return
        await relay.splice((reader, writer), stream)

    async def _refuse(
        self,
        listener: Listener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends the refusal reply and closes in order: it did not run."""
        try:
            writer.write(listener.address.config.refusal.encode())
            writer.write_eof()
            # Closing with unread bytes would reset the connection, and the
            # caller could lose the reply; so read on for a moment.
            await asyncio.wait_for(_discard(reader), REFUSAL_LINGER_S)
        except (TimeoutError, OSError):
            pass
        writer.close()

    async def open_library_flow(
        self,
        service: str,
        address: str,
        flow_id: bytes,
        resume: bool,
        caller: str,
    ) -> relay.Connection:
        """Returns a connection to the holder of a library flow.

        Raises:
            errors.RefusedNotRunError: No upstream was given the work.
            errors.OutcomeUnknownError: An upstream may have been given it.
            errors.CrocusmuxError: Another balancer must be asked.
        """
        state = self.core.address(service, address)
        if state is None or self.draining:
            # Not a refusal as not run: an earlier copy of the opening may be
            # with a holder already.
            raise errors.CrocusmuxError(
                "draining" if state else "unknown service address",
                step="open flow",
                peer=f"{service}/{address}",
            )
        return await self._opener.open(
            state, messages.FLOW_LIBRARY, caller, flow_id, resume
        )

    # Stop.

    async def stop(self) -> None:
        """Stops accepting, waits for connections, then closes everything."""
        self.draining = True
        for listener in self._listeners.values():
            if listener.server is not None:
                listener.server.close()
        drained = await process.wait_until(
            lambda: not self.connections, self.cfg.drain_s
        )
        if not drained:
            left = list(self.connections)
            self.cut_connections += len(left)
            logger.warning(
                "drain deadline of %.1f s reached: %d connections are cut",
                self.cfg.drain_s,
                len(left),
            )
        await asyncio.sleep(min(UDP_LINGER_S, self.cfg.drain_s))
        await self.close()

    async def close(self) -> None:
        """Closes all sockets at once; open connections are reset."""
        # A change of configuration under way must not open sockets again.
        self.draining = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        left = list(self.connections)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        for listener in self._listeners.values():
            await listener.close()
        self._listeners.clear()
        if self._socket is not None:
            self._socket.close()


async def _discard(reader: asyncio.StreamReader) -> None:
    while await reader.read(relay.CHUNK_BYTES):
        pass
