"""Opening of flows at a balancer; placement and retries are its core's."""

import asyncio
from collections.abc import Callable
import random
from typing import Any

from crocusmux import addresses
from crocusmux import errors
from crocusmux import messages
from crocusmux.core.flows import balancer as balancer_core
from crocusmux.core.flows import balancer_outputs
from crocusmux.core.flows import balancer_state
from crocusmux.core.flows import slots
from crocusmux.daemons import relay

DIAL_TIMEOUT_S = 1.0
# Interval at which a waiting opening checks whether its caller has left.
CALLER_CHECK_INTERVAL_S = 0.25


class FlowOpener:
    """Opens flows of one balancer and attaches them to their holders."""

    def __init__(
        self,
        core: balancer_core.TerminatingBalancer,
        execute: Callable[[list[Any]], None],
        codec: tuple[Callable, Callable],
        buffer_bytes: int,
        rng: random.Random,
    ) -> None:
        """Initializes the opener.

        Args:
            core: Decision core of the balancer.
            execute: Executes outputs of the core.
            codec: ``encode`` and ``decode`` of ``wire.make_codec``.
            buffer_bytes: Buffer size of each direction of a connection, bytes.
            rng: Source of flow ids.
        """
        self._core = core
        self._execute = execute
        self._encode, self._decode = codec
        self._buffer_bytes = buffer_bytes
        self._rng = rng
        self._pending_openings: dict[bytes, asyncio.Future] = {}

    def on_output(
        self,
        output: balancer_outputs.AttachTo
        | balancer_outputs.FlowRefused
        | balancer_outputs.RetryFlow,
    ) -> None:
        """Passes an output of the core to the opening that waits for it."""
        fut = self._pending_openings.get(output.flow)
        if fut is not None and not fut.done():
            fut.set_result(output)

    async def open(
        self,
        address: balancer_state.AddressState,
        kind: bytes,
        caller: str,
        flow_id: bytes,
        resume: bool = False,
        gone: Callable[[], bool] = lambda: False,
    ) -> relay.Connection:
        """Places a flow and returns a connection to its holder.

        Args:
            address: Service address.
            kind: ``messages.FLOW_TCP`` or ``messages.FLOW_LIBRARY``.
            caller: IP address of the caller.
            flow_id: 16 bytes, unique to the flow.
            resume: True if the flow must exist already.
            gone: Returns True once the caller has left.

        Returns:
            Relay connection on which the holder has confirmed ``Attach``.

        Raises:
            errors.RefusedNotRunError: No upstream was given the work.
            errors.OutcomeUnknownError: An upstream may have been given it.
            errors.CrocusmuxError: This balancer cannot open a library flow;
                another balancer may, or may have opened it already.
        """
        attempt, exclude = 1, ""
        while True:
            conn, retry = await self._attempt_open(
                address, kind, caller, flow_id, resume, gone, attempt, exclude
            )
            if conn is not None:
                return conn
            await asyncio.sleep(retry.wait_s)
            attempt, exclude = attempt + 1, retry.exclude
            if kind == messages.FLOW_TCP:
                # The previous attempt can no longer run, as no connection
                # attaches to it; for its id the owner would repeat the refusal.
                flow_id = self._rng.randbytes(slots.FLOW_ID_BYTES)

    async def _attempt_open(
        self,
        address: balancer_state.AddressState,
        kind: bytes,
        caller: str,
        flow_id: bytes,
        resume: bool,
        gone: Callable[[], bool],
        attempt: int,
        exclude: str,
    ) -> tuple[relay.Connection | None, Any]:
        """Makes one attempt; returns a connection, or a ``RetryFlow``."""
        loop = asyncio.get_running_loop()
        flow, outputs = self._core.open_flow(
            loop.time(),
            address,
            kind,
            caller,
            flow_id,
            resume,
            attempt,
            exclude,
        )
        try:
            output = await self._wait_for_core(flow, outputs, gone)
            if isinstance(output, balancer_outputs.RetryFlow):
                return None, output
            sent, conn, reason = await self._attach(output, resume, gone)
            if conn is not None:
                self._core.on_attached(loop.time(), flow)
                return conn, None
            outputs = self._core.on_attach_failed(
                loop.time(), flow, sent, reason
            )
            return None, await self._wait_for_core(flow, outputs, gone)
        finally:
            self._pending_openings.pop(flow, None)
            self._core.forget_flow(flow)

    async def _wait_for_core(
        self, flow: bytes, outputs: list[Any], gone: Callable[[], bool]
    ) -> Any:
        """Executes outputs and waits for the core's output on a flow."""
        fut = asyncio.get_running_loop().create_future()
        self._pending_openings[flow] = fut
        self._execute(outputs)
        while not fut.done():
            await asyncio.wait([fut], timeout=CALLER_CHECK_INTERVAL_S)
            if gone() and not fut.done():
                raise errors.RefusedNotRunError(
                    "caller has gone", step="open flow", peer=flow.hex()
                )
        output = fut.result()
        if isinstance(output, balancer_outputs.FlowRefused):
            if output.from_balancer and flow[:1] == messages.FLOW_LIBRARY:
                raise errors.CrocusmuxError(
                    output.reason, step="open flow", peer=flow.hex()
                )
            _raise_flow_error(output.outcome, output.reason, flow)
        return output

    async def _attach(
        self,
        target: balancer_outputs.AttachTo,
        resume: bool,
        gone: Callable[[], bool],
    ) -> tuple[bool, relay.Connection | None, str]:
        """Connects to the holder and sends ``Attach``.

        Returns:
            Whether the work may have run, the connection or None, and the
            reason of a failure.
        """
        ip, port = addresses.split(target.relay)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, port, limit=self._buffer_bytes),
                DIAL_TIMEOUT_S,
            )
        except (TimeoutError, OSError):
            return False, None, "holder-unreachable"
        relay.configure_writer(writer, self._buffer_bytes)
        attach = messages.Attach(
            target.service, target.flow, target.incarnation, resume
        )
        try:
            await relay.write_control(writer, self._encode(attach))
            attached = await self._read_attached(reader, writer, gone)
        except (OSError, asyncio.IncompleteReadError, errors.WireError):
            relay.reset_connection(writer)
            return True, None, "holder-lost"
        except BaseException:
            relay.reset_connection(writer)
            raise
        if attached.outcome == messages.REFUSED:
            writer.close()
            return False, None, attached.reason
        if attached.outcome != messages.ANSWERED:
            writer.close()
            _raise_flow_error(attached.outcome, attached.reason, target.flow)
        return True, (reader, writer), ""

    async def _read_attached(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gone: Callable[[], bool],
    ) -> messages.Attached:
        peer = str(writer.get_extra_info("peername"))
        task = asyncio.ensure_future(relay.read_control(reader, peer))
        try:
            # No timeout: the request may wait in the holder's queue, where the
            # deadline of its work class ends the wait.
            while not task.done():
                await asyncio.wait([task], timeout=CALLER_CHECK_INTERVAL_S)
                if gone() and not task.done():
                    raise errors.OutcomeUnknownError(
                        "caller has gone", step="attach", peer=peer
                    )
        finally:
            task.cancel()
        attached = self._decode(task.result(), peer)
        if not isinstance(attached, messages.Attached):
            raise errors.WireError(
                "expected Attached", step="attach", peer=peer
            )
        return attached


def _raise_flow_error(outcome: str, reason: str, flow: bytes) -> None:
    error_class: type[errors.FlowError] = errors.OutcomeUnknownError
    if outcome == messages.REFUSED:
        error_class = errors.RefusedNotRunError
    raise error_class(reason, step="open flow", peer=flow.hex())
