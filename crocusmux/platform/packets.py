"""Codec for packets of callers and upstreams: 32-byte header, then data.

The header is big-endian and has the platform's field names.  ``echo`` and
``pad`` are not part of the checksum; the system may set them on the way to an
upstream.
"""

import struct

from crocusmux import errors
from crocusmux.core.forward import segments

# seq, ack, sum, dport, dst, src, sport, len, echo, flags, pad
HEADER = struct.Struct(">III H 4s 4s H H I B B")
ECHO_AND_FLAGS = struct.Struct(">IBB")
ECHO_OFFSET = 26

SYN = 2
ACK = 64
FIN = 16
RST = 4
BOUNCED = 32
KNOWN_FLAGS = SYN | ACK | FIN | RST | BOUNCED


def decode_from_caller(data: bytes) -> segments.Segment:
    """Decodes a packet from a caller.

    Raises:
        errors.WireError: The packet is too short, or a field is invalid.
    """
    return _decode(data, True)


def decode_from_upstream(data: bytes) -> segments.Segment:
    """Decodes a packet that an upstream sent, or returned (BOUNCED).

    Raises:
        errors.WireError: The packet is too short, or a field is invalid.
    """
    returned = len(data) >= HEADER.size and bool(data[30] & BOUNCED)
    return _decode(data, returned)


def _decode(data: bytes, from_caller: bool) -> segments.Segment:
    if len(data) < HEADER.size:
        raise errors.WireError(
            f"{len(data)} bytes are too few for a packet", step="decode packet"
        )
    seq, ack, _, _, dst, src, _, length, echo, flags, pad = HEADER.unpack_from(
        data
    )
    if length != len(data) - HEADER.size or flags & ~KNOWN_FLAGS:
        raise errors.WireError(
            f"length {length} or flags {flags} invalid in {len(data)} bytes",
            step="decode packet",
        )
    if from_caller:
        key = src + data[22:24] + dst + data[12:14]
    else:
        key = dst + data[12:14] + src + data[22:24]
    return segments.Segment(
        key,
        from_caller,
        bool(flags & SYN),
        bool(flags & ACK),
        bool(flags & FIN),
        bool(flags & RST),
        bool(flags & BOUNCED),
        seq,
        ack,
        length,
        echo,
        pad,
        data,
    )


def encode_segment(seg: segments.Segment, service_tag: int, mark: int) -> bytes:
    """Returns a packet with ``echo`` and ``pad`` set and BOUNCED cleared."""
    flags = seg.data[30] & ~BOUNCED
    fields = ECHO_AND_FLAGS.pack(service_tag, flags, mark)
    return seg.data[:ECHO_OFFSET] + fields + seg.data[HEADER.size :]


def encode_reset(key: bytes, seq: int) -> bytes:
    """Returns a reset from the route's address to the caller."""
    caller, caller_port = key[0:4], int.from_bytes(key[4:6], "big")
    route, route_port = key[6:10], int.from_bytes(key[10:12], "big")
    return HEADER.pack(
        seq, 0, 0, caller_port, caller, route, route_port, 0, 0, RST, 0
    )
