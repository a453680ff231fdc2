"""Packets of PROTOCOL.md, with a keyed sum that only the two ends know."""

import dataclasses
import socket
import struct
import zlib

SYN, RST, FIN, BOUNCED, ACK = 2, 4, 16, 32, 64
MODULUS = 1 << 32
HEAD = struct.Struct(">IIIH4s4sHHIBB")
SECRET = b"known to consumers and endpoints"

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Packet:
    """A decoded packet; ``intact`` is False if its sum does not fit."""

    src: Address
    dst: Address
    flags: int
    seq: int
    ack: int
    data: bytes
    own_reset: bool
    intact: bool


def _sum(head: bytes, data: bytes) -> int:
    flags = head[30] & ~BOUNCED
    fields = head[:8] + head[12:26] + bytes([flags])
    return zlib.crc32(SECRET + fields + data) or 1


def encode(
    src: Address,
    dst: Address,
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Returns a packet of one of the two ends."""
    head = HEAD.pack(
        seq % MODULUS,
        ack % MODULUS,
        0,
        dst[1],
        socket.inet_aton(dst[0]),
        socket.inet_aton(src[0]),
        src[1],
        len(data),
        0,
        flags,
        0,
    )
    return head[:8] + struct.pack(">I", _sum(head, data)) + head[12:] + data


def decode(raw: bytes) -> Packet:
    """Decodes a packet."""
    seq, ack, total, dport, dst, src, sport, length, _, flags, _ = (
        HEAD.unpack_from(raw)
    )
    data = raw[HEAD.size :]
    return Packet(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags & ~BOUNCED,
        seq,
        ack,
        data,
        bool(flags & RST) and total == 0,
        length == len(data) and total in (0, _sum(raw[: HEAD.size], data)),
    )


def bounce(raw: bytes) -> bytes:
    """Returns a packet as an endpoint that does not hold its flow returns it."""
    return raw[:30] + bytes([raw[30] | BOUNCED, 0]) + raw[32:]


def distance(first: int, second: int) -> int:
    """Returns the signed distance of two sequence numbers."""
    half = MODULUS // 2
    return (first - second + half) % MODULUS - half
