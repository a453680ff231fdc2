"""Authenticated encoding of the messages between daemons.

A datagram is a 16-byte authentication tag, a version byte and a msgpack body.
The tag is keyed BLAKE2b over version and body: in the standard library, and
cheaper per packet than HMAC-SHA-256 (``bench/relay.py`` compares both).
"""

from collections.abc import Callable
import hashlib
import hmac
from typing import Any

import msgspec

from crocusmux import errors
from crocusmux import messages

TAG_BYTES = 16
MIN_KEY_BYTES = 16
MAX_DATAGRAM_BYTES = 65_000
# A caller's datagram must leave room for the tag and the packet header.
MAX_PAYLOAD_BYTES = 64_000

_VERSION = bytes([messages.PROTOCOL_VERSION])
_BODY = TAG_BYTES + 1

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.AnyMessage)


def make_tag_function(key: bytes) -> Callable[[bytes], bytes]:
    """Returns a function that computes the authentication tag of bytes.

    Args:
        key: Shared key, 16 to 64 bytes.

    Raises:
        errors.WireError: The key is too short or too long.
    """
    if not MIN_KEY_BYTES <= len(key) <= hashlib.blake2b.MAX_KEY_SIZE:
        raise errors.WireError(
            f"key has {len(key)} bytes, must have 16 to 64", step="load key"
        )
    # Copying the keyed state saves hashing the key for each packet.
    keyed = hashlib.blake2b(key=key, digest_size=TAG_BYTES)

    def tag(data: bytes) -> bytes:
        state = keyed.copy()
        state.update(data)
        return state.digest()

    return tag


def make_codec(
    key: bytes,
) -> tuple[Callable[[Any], bytes], Callable[[bytes, Any], Any]]:
    """Returns the functions that encode and decode datagrams under a key.

    Args:
        key: Shared key, 16 to 64 bytes.

    Returns:
        ``encode(message) -> bytes`` and ``decode(datagram, peer) -> message``.
        ``decode`` raises ``errors.WireError`` if the datagram is too short,
        or if its tag, version or body is invalid.

    Raises:
        errors.WireError: The key is too short or too long.
    """
    tag = make_tag_function(key)
    pack = _encoder.encode
    unpack = _decoder.decode
    same = hmac.compare_digest

    def encode(message: Any) -> bytes:
        body = _VERSION + pack(message)
        return tag(body) + body

    def decode(datagram: bytes, peer: Any) -> Any:
        body = datagram[TAG_BYTES:]
        if not same(tag(body), datagram[:TAG_BYTES]):
            raise errors.WireError(
                "tag is wrong", step="decode", peer=str(peer)
            )
        if body[:1] != _VERSION:
            raise errors.WireError(
                f"protocol version is {body[:1].hex()}, expected "
                f"{_VERSION.hex()}",
                step="decode",
                peer=str(peer),
            )
        try:
            return unpack(memoryview(datagram)[_BODY:])
        except msgspec.DecodeError as exc:
            raise errors.WireError(
                str(exc), step="decode", peer=str(peer)
            ) from exc

    return encode, decode
