"""Frames of resumable flows, and their encoding.

A frame is a version byte and a msgpack array.  A binary WebSocket message is
one frame; on a relay connection, a length prefix precedes each frame.
"""

from typing import Annotated, Any, Literal, Union

import msgspec

from crocusmux import errors
from crocusmux.core.flows import slots

FRAME_VERSION = 1
# Maximum payload of a Data frame: small enough not to delay an Ack or End
# behind it, large enough to make the header's overhead negligible.
CHUNK_BYTES = 16_384
# Room for a Data frame with its header; an End with its reason is smaller.
MAX_FRAME_BYTES = CHUNK_BYTES + 1_024
MAX_REASON_CHARS = 200
LENGTH_BYTES = 4

Offset = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
FlowId = Annotated[
    bytes,
    msgspec.Meta(
        min_length=slots.FLOW_ID_BYTES, max_length=slots.FLOW_ID_BYTES
    ),
]
Outcome = Literal["answered", "refused", "unknown"]


class Frame(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Base class of the frames."""


class Hello(Frame, tag=1, frozen=True, gc=False):
    """First frame of each end on a connection.

    Attributes:
        flow: 16 random bytes, chosen by the caller, that identify the flow.
        resume: True if the flow must exist already at the holder.
        received: Offset up to which the frame's sender has received bytes.
    """

    flow: FlowId
    resume: bool
    received: Offset


class Data(Frame, tag=2, frozen=True, gc=False):
    """Bytes of the stream.

    Attributes:
        offset: Offset of the first byte in its direction of the stream.
        data: The bytes, at most ``CHUNK_BYTES``.
    """

    offset: Offset
    data: Annotated[bytes, msgspec.Meta(max_length=CHUNK_BYTES)]


class Ack(Frame, tag=3, frozen=True, gc=False):
    """Acknowledges the bytes before an offset: the application read them."""

    offset: Offset


class Fin(Frame, tag=4, frozen=True, gc=False):
    """The sender's direction of the stream ends at an offset."""

    offset: Offset


class End(Frame, tag=5, frozen=True, gc=False):
    """The flow has ended.

    Attributes:
        outcome: ``messages.ANSWERED``, ``REFUSED`` or ``UNKNOWN``.
        reason: Reason in one line; empty if answered.
    """

    outcome: Outcome
    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_CHARS)] = ""


AnyFrame = Union[Hello, Data, Ack, Fin, End]  # noqa: UP007 runtime union

_VERSION = bytes([FRAME_VERSION])
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyFrame)


def make_end_frame(outcome: Any, reason: str = "") -> End:
    """Returns an End with its reason truncated to the allowed length."""
    return End(outcome, reason[:MAX_REASON_CHARS])


def encode(frame: AnyFrame) -> bytes:
    """Returns the bytes of a frame."""
    return _VERSION + _encoder.encode(frame)


def decode(data: bytes | str | memoryview, peer: str = "-") -> AnyFrame:
    """Returns the frame that a message contains.

    Args:
        data: The message.
        peer: Address of the sender, for the error message.

    Raises:
        errors.WireError: The message is text, too large, of another version
            or malformed.
    """
    if isinstance(data, str):
        raise _error("message is text, expected a binary frame", peer)
    if len(data) > MAX_FRAME_BYTES:
        raise _error(
            f"frame has {len(data)} bytes, limit is {MAX_FRAME_BYTES}", peer
        )
    if data[:1] != _VERSION:
        raise _error(
            f"frame version is {bytes(data[:1]).hex() or 'missing'}, "
            f"expected {_VERSION.hex()}",
            peer,
        )
    try:
        return _decoder.decode(memoryview(data)[1:])
    except msgspec.DecodeError as exc:
        raise _error(str(exc), peer) from exc


def add_length_prefix(data: bytes) -> bytes:
    """Returns an encoded frame with its length prefix for a relay connection."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def read_length(prefix: bytes, peer: str = "-") -> int:
    """Returns the frame length from a length prefix.

    Raises:
        errors.WireError: The length exceeds ``MAX_FRAME_BYTES``.
    """
    length = int.from_bytes(prefix, "big")
    if length > MAX_FRAME_BYTES:
        raise _error(f"length is {length}, limit is {MAX_FRAME_BYTES}", peer)
    return length


def _error(reason: str, peer: str) -> errors.WireError:
    return errors.WireError(reason, step="decode frame", peer=peer)
