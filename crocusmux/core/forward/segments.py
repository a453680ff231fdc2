"""Segments: the packets that the two ends of a flow exchange.

Only the head is read.  The ends checksum all fields but the ones that the
system may set, so a segment is passed on as the bytes that arrived.
"""

import ipaddress

import msgspec

SEQUENCE_MODULUS = 1 << 32
# Bytes of data in a full segment (source: the platform's protocol).
FULL_BYTES = 1_200
# Bytes of a flow key: address and port of the caller, then of the route.
FLOW_KEY_BYTES = 12


class Segment(msgspec.Struct, gc=False):
    """A segment with its decoded head.

    Attributes:
        key: Flow key: caller's address and port, route's address and port.
        from_caller: True if the caller sent it.
        opening: True for the caller's SYN and for the SYN+ACK.
        acknowledges: True if ``ack`` holds an acknowledgement.
        final: True if its sender closes its direction.
        reset: True if it resets the flow.
        returned: True if the upstream handed it back as not its own.
        seq: Sequence number, or the start of a sequence in an opening.
        ack: Acknowledgement; in a caller's SYN, how many copies came before.
        length: Bytes of data.
        service_tag: Hash of the service for which a balancer sent it.
        mark: Mark of the balancer, one of the constants below.
        data: The datagram as it arrived.
    """

    key: bytes
    from_caller: bool
    opening: bool
    acknowledges: bool
    final: bool
    reset: bool
    returned: bool
    seq: int
    ack: int
    length: int
    service_tag: int
    mark: int
    data: bytes

    def is_full(self) -> bool:
        """Returns True if its sender probably has more data."""
        return self.length >= FULL_BYTES


# The balancer knows that this agent holds the flow, or offers it a new one.
MARK_DIRECT = 0
# The balancer asks several agents; each answers whether it holds the flow.
MARK_PROBE = 1


def format_flow_key(key: bytes) -> str:
    """Returns a flow key as ``caller:port>route:port``."""
    caller = ipaddress.IPv4Address(key[0:4])
    route = ipaddress.IPv4Address(key[6:10])
    caller_port = int.from_bytes(key[4:6], "big")
    route_port = int.from_bytes(key[10:12], "big")
    return f"{caller}:{caller_port}>{route}:{route_port}"


def acknowledges_syn_ack(ack: int, start: int) -> bool:
    """Returns True if ``ack`` answers a SYN+ACK of sequence ``start``.

    Until a request has reached the upstream it sends no data, so the caller
    acknowledges the SYN+ACK alone.

    Args:
        ack: Acknowledgement of the caller.
        start: Sequence number of the upstream's SYN+ACK.
    """
    return ack == (start + 1) % SEQUENCE_MODULUS
