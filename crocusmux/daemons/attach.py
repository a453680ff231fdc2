"""Opening of flows and attaching to their holders, for a balancer."""

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
# How often a wait looks whether the caller has gone, seconds.
GONE_CHECK_S = 0.25


class Opener:
    """Flows of one balancer that are being opened."""

    def __init__(
        self,
        core: balancer_core.TerminatingBalancer,
        emit: Callable[[list[Any]], None],
        codec: tuple[Callable, Callable],
        buffer_bytes: int,
        rng: random.Random,
    ) -> None:
        """Initializes the opener.

        Args:
            core: Decision core of the balancer.
            emit: Carries out outputs of the core.
            codec: ``encode`` and ``decode`` of ``wire.make_codec``.
            buffer_bytes: Bytes buffered for one direction.
            rng: Random numbers, for flow ids.
        """
        self._core = core
        self._emit = emit
        self._encode, self._decode = codec
        self._buffer_bytes = buffer_bytes
        self._rng = rng
        self._waiting: dict[bytes, asyncio.Future] = {}

    def on_output(
        self,
        output: balancer_outputs.AttachTo
        | balancer_outputs.FlowRefused
        | balancer_outputs.RetryFlow,
    ) -> None:
        """Hands the core's answer to the flow that waits for it."""
        fut = self._waiting.get(output.flow)
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
        """Gets a flow placed and returns a connection to its holder.

        Args:
            address: Service address.
            kind: ``messages.FLOW_TCP`` or ``messages.FLOW_LIBRARY``.
            caller: IP number of the caller.
            flow_id: 16 bytes, unique to the flow.
            resume: True if the flow must exist already.
            gone: Tells whether the caller has gone.

        Returns:
            Reader and writer of the relay connection, attached.

        Raises:
            errors.RefusedNotRunError: No upstream was given the work.
            errors.OutcomeUnknownError: An upstream may have been given it.
            errors.CrocusmuxError: This balancer cannot open a library flow;
                another one may, or may have opened it already.
        """
        attempt, exclude = 1, ""
        while True:
            stream, again = await self._try(
                address, kind, caller, flow_id, resume, gone, attempt, exclude
            )
            if stream is not None:
                return stream
            await asyncio.sleep(again.wait_s)
            attempt, exclude = attempt + 1, again.exclude
            if kind == messages.FLOW_TCP:
                # The attempt before can run no more, as nobody attaches to
                # it; under its id the owner would only repeat the refusal.
                flow_id = self._rng.randbytes(slots.FLOW_ID_BYTES)

    async def _try(
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
        """Makes one attempt; returns the connection, or when to try again."""
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
            answer = await self._answer(flow, outputs, gone)
            if isinstance(answer, balancer_outputs.RetryFlow):
                return None, answer
            sent, stream, reason = await self._attach(answer, resume, gone)
            if stream is not None:
                self._core.on_attached(loop.time(), flow)
                return stream, None
            outputs = self._core.on_attach_failed(
                loop.time(), flow, sent, reason
            )
            return None, await self._answer(flow, outputs, gone)
        finally:
            self._waiting.pop(flow, None)
            self._core.forget_flow(flow)

    async def _answer(
        self, flow: bytes, outputs: list[Any], gone: Callable[[], bool]
    ) -> Any:
        """Carries out outputs and waits for the core's answer on a flow."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting[flow] = fut
        self._emit(outputs)
        while not fut.done():
            await asyncio.wait([fut], timeout=GONE_CHECK_S)
            if gone() and not fut.done():
                raise errors.RefusedNotRunError(
                    "caller has gone", step="open flow", peer=flow.hex()
                )
        answer = fut.result()
        if isinstance(answer, balancer_outputs.FlowRefused):
            if answer.from_balancer and flow[:1] == messages.FLOW_LIBRARY:
                raise errors.CrocusmuxError(
                    answer.reason, step="open flow", peer=flow.hex()
                )
            _raise(answer.outcome, answer.reason, flow)
        return answer

    async def _attach(
        self,
        placed: balancer_outputs.AttachTo,
        resume: bool,
        gone: Callable[[], bool],
    ) -> tuple[bool, relay.Connection | None, str]:
        """Attaches to the holder.

        Returns:
            Whether the work may have run, the connection or None, and why
            it failed.
        """
        ip, port = addresses.split(placed.relay)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, port, limit=self._buffer_bytes),
                DIAL_TIMEOUT_S,
            )
        except (TimeoutError, OSError):
            return False, None, "holder-unreachable"
        relay.configure_writer(writer, self._buffer_bytes)
        attach = messages.Attach(
            placed.service, placed.flow, placed.incarnation, resume
        )
        try:
            await relay.write_control_frame(writer, self._encode(attach))
            answer = await self._attached(reader, writer, gone)
        except (OSError, asyncio.IncompleteReadError, errors.WireError):
            relay.reset_connection(writer)
            return True, None, "holder-lost"
        except BaseException:
            relay.reset_connection(writer)
            raise
        if answer.outcome == messages.REFUSED:
            writer.close()
            return False, None, answer.reason
        if answer.outcome != messages.ANSWERED:
            writer.close()
            _raise(answer.outcome, answer.reason, placed.flow)
        return True, (reader, writer), ""

    async def _attached(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gone: Callable[[], bool],
    ) -> messages.Attached:
        peer = str(writer.get_extra_info("peername"))
        task = asyncio.ensure_future(relay.read_control_frame(reader, peer))
        try:
            # A request may wait in the holder's queue; its class's deadline
            # ends the wait there.
            while not task.done():
                await asyncio.wait([task], timeout=GONE_CHECK_S)
                if gone() and not task.done():
                    raise errors.OutcomeUnknownError(
                        "caller has gone", step="attach", peer=peer
                    )
        finally:
            task.cancel()
        answer = self._decode(task.result(), peer)
        if not isinstance(answer, messages.Attached):
            raise errors.WireError(
                "expected Attached", step="attach", peer=peer
            )
        return answer


def _raise(outcome: str, reason: str, flow: bytes) -> None:
    kind: type[errors.FlowError] = errors.OutcomeUnknownError
    if outcome == messages.REFUSED:
        kind = errors.RefusedNotRunError
    raise kind(reason, step="open flow", peer=flow.hex())
