"""Sockets and timers of a terminating balancer; its core decides."""

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

TIMER_INTERVAL_S = 0.05
# Callers' datagrams still arrive briefly after the fabric withdrew an address.
UDP_WITHDRAWAL_DELAY_S = 2.0
# Time for a refused caller to read the refusal and close the connection.
REFUSAL_READ_TIMEOUT_S = 1.0


class Listener:
    """TCP server or UDP socket of one service address."""

    __slots__ = ("address", "server", "socket")

    def __init__(self, address: balancer_state.AddressState) -> None:
        self.address = address
        self.server: asyncio.Server | None = None
        self.socket: udp.UdpSocket | None = None

    async def close(self) -> None:
        """Closes the listening sockets; accepted connections continue."""
        if self.server is not None:
            self.server.close()
        if self.socket is not None:
            self.socket.close()


class TerminatingBalancerDaemon:
    """Sockets and timers around the core ``TerminatingBalancer``.

    Attributes:
        cfg: Settings.
        core: Decision core.
        store: Configuration objects.
        connections: Tasks of the open TCP connections.
        bad_input: Count of bad input by kind.
        refused: Count of refused flows by reason.
        cut_connections: Count of connections closed at a drain deadline.
        draining: True once a graceful stop has begun.
        on_suspect: Called with host and incarnation of a suspected agent.
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
        self.core = balancer_core.TerminatingBalancer(cfg.host, rng)
        self.connections: set[asyncio.Task] = set()
        self.bad_input: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.cut_connections = 0
        self.draining = False
        self.on_suspect: Callable[[str, int], None] = lambda host, number: None
        self._loop = loop
        self._rng = rng
        self._encode, self._decode = wire.make_codec(cfg.key_bytes())
        self._opener = attach.FlowOpener(
            self.core,
            self.execute,
            (self._encode, self._decode),
            cfg.buffer_bytes,
            rng,
        )
        self._listeners: dict[bytes, Listener] = {}
        self._log = decisions.make_log(cfg.log_sample, self._preset_version)
        self._log_bad_input = decisions.make_bad_input_log(loop.time)
        self._rebuild_steps: Any = None
        self._rebuild_needed = False
        self._syncing = False
        self._sync_requested = False
        self._was_ready = False
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._socket: udp.UdpSocket | None = None

    async def start(self) -> None:
        """Binds the socket for packets of agents and starts the timer.

        Raises:
            errors.CrocusmuxError: The socket cannot be bound.
        """
        self._socket = udp.UdpSocket(
            addresses.split(self.cfg.udp), self._on_agent_datagram
        )
        self._tick()

    @property
    def udp_address(self) -> tuple[str, int]:
        """``(ip, port)`` of the socket for packets of agents."""
        assert self._socket is not None
        return self._socket.address

    def unready_reason(self) -> str:
        """Returns why the balancer is not ready; empty if it is ready."""
        if self.draining:
            return "draining"
        if self.store.in_force() is None:
            return "no preset in force is known"
        missing = self._count_unserved_addresses()
        # After the first time, a single address that cannot be served must not
        # take the balancer out of service for all other addresses.
        if not self._was_ready and (missing or not self._listeners):
            return f"{missing} service addresses are not served yet"
        self._was_ready = True
        return ""

    def _count_unserved_addresses(self) -> int:
        """Returns the number of service addresses without a listener."""
        keys = {address.key for address in self.core.addresses()}
        return len(keys - set(self._listeners))

    def retry_listeners(self) -> None:
        """Retries listening on addresses whose port was in use."""
        idle = self._rebuild_steps is None and not self._syncing
        if idle and not self.draining and self._count_unserved_addresses():
            self._on_rebuilt()

    # Configuration.

    def reconfigure(self) -> None:
        """Applies the changed configuration, one slice per loop iteration."""
        self._rebuild_needed = True
        if self._rebuild_steps is None:
            self._start_rebuild()

    def _start_rebuild(self) -> None:
        self._rebuild_needed = False
        self._rebuild_steps = self.core.apply(self._loop.time(), self.store)
        self._advance_rebuild()

    def _advance_rebuild(self) -> None:
        try:
            next(self._rebuild_steps)
        except StopIteration:
            self._rebuild_steps = None
            self._on_rebuilt()
        else:
            self._loop.call_soon(self._advance_rebuild)

    def _on_rebuilt(self) -> None:
        if self._rebuild_needed:
            self._start_rebuild()
        elif self._syncing:
            self._sync_requested = True
        else:
            self._syncing = self._sync_requested = True
            process.start_task(self._tasks, self._sync_listeners())

    async def _sync_listeners(self) -> None:
        """Opens and closes listeners until they match the service addresses."""
        try:
            while self._sync_requested and not self.draining:
                self._sync_requested = False
                await self._sync_once()
        finally:
            self._syncing = False

    async def _sync_once(self) -> None:
        states = {state.key: state for state in self.core.addresses()}
        for key in [k for k in self._listeners if k not in states]:
            await self._listeners.pop(key).close()
        for key, state in states.items():
            listener = self._listeners.get(key)
            if listener is not None and listener.address.config == state.config:
                listener.address = state
                continue
            if listener is not None:
                await listener.close()
            try:
                self._listeners[key] = await self._listen(state)
            except (OSError, errors.CrocusmuxError) as exc:
                self._listeners.pop(key, None)
                logger.error(
                    "cannot listen on service address %s/%s, retrying: %s",
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
            self.count_bad_input(
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
            self.count_bad_input("wire", str(exc))
            return
        self.execute(self.core.on_message(self._loop.time(), sender, message))

    def count_bad_input(self, kind: str, text: str) -> None:
        """Counts bad input by kind, and logs it at a bounded rate."""
        self.bad_input[kind] = self.bad_input.get(kind, 0) + 1
        self._log_bad_input(f"{kind}: {text}")

    def execute(self, outputs: list[Any]) -> None:
        """Executes outputs of the core."""
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
        self.execute(self.core.on_timer(self._loop.time()))
        self._timer = self._loop.call_later(TIMER_INTERVAL_S, self._tick)

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
            self.count_bad_input("connection-limit", f"{caller}")
            await self._send_refusal(listener, reader, writer)
            return
        self.connections.add(task)
        try:
            await self._relay_connection(listener, reader, writer, caller[0])
        except asyncio.CancelledError:
            # Cancelled by ``close``: the answer must not look complete.
            relay.reset_connection(writer)
        except BaseException:
            # Nor must an internal error look like the end of the answer.
            relay.reset_connection(writer)
            raise
        finally:
            self.connections.discard(task)

    async def _relay_connection(
        self,
        listener: Listener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: str,
    ) -> None:
        relay.configure_writer(writer, self.cfg.buffer_bytes)
        try:
            connection = await self._opener.open(
                listener.address,
                messages.FLOW_TCP,
                caller,
                self._rng.randbytes(16),
                gone=writer.transport.is_closing,
            )
        except errors.RefusedNotRunError:
            await self._send_refusal(listener, reader, writer)
            return
        except errors.OutcomeUnknownError:
            relay.reset_connection(writer)
            return
        await relay.splice((reader, writer), connection)

    async def _send_refusal(
        self,
        listener: Listener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends the refusal reply and closes; for flows that did not run."""
        try:
            writer.write(listener.address.config.refusal.encode())
            writer.write_eof()
            # Closing with unread bytes would reset; the reply could be lost.
            await asyncio.wait_for(_discard(reader), REFUSAL_READ_TIMEOUT_S)
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
            errors.CrocusmuxError: The caller must try another balancer.
        """
        state = self.core.find_address(service, address)
        if state is None or self.draining:
            # Not RefusedNotRunError: a holder may already run the flow after
            # an earlier copy of the opening.
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
        """Stops accepting, waits for connections, then closes all sockets."""
        self.draining = True
        for listener in self._listeners.values():
            if listener.server is not None:
                listener.server.close()
        drained = await process.wait_until(
            lambda: not self.connections, self.cfg.drain_s
        )
        if not drained:
            connections = list(self.connections)
            self.cut_connections += len(connections)
            logger.warning(
                "drain deadline of %.1f s reached: resetting %d connections",
                self.cfg.drain_s,
                len(connections),
            )
        await asyncio.sleep(min(UDP_WITHDRAWAL_DELAY_S, self.cfg.drain_s))
        await self.close()

    async def close(self) -> None:
        """Closes all sockets at once; open connections are reset."""
        # Keeps a running update of the listeners from opening sockets.
        self.draining = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        connections = list(self.connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
        for listener in self._listeners.values():
            await listener.close()
        self._listeners.clear()
        if self._socket is not None:
            self._socket.close()


async def _discard(reader: asyncio.StreamReader) -> None:
    while await reader.read(relay.CHUNK_BYTES):
        pass
