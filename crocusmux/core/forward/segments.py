"""Segments, the packets that the two ends of a flow exchange.

Only the header is decoded.  The ends checksum all fields except those that the
system may set, so a segment is forwarded as the bytes that arrived.
"""

import ipaddress

import msgspec

SEQUENCE_MODULUS = 1 << 32
# Bytes of data in a full segment (source: the platform's protocol).
FULL_BYTES = 1_200
# Bytes of a flow key: address and port of the caller, then of the route.
FLOW_KEY_BYTES = 12


class Segment(msgspec.Struct, gc=False):
    """A segment with its decoded header.

    Attributes:
        key: Flow key: caller's address and port, route's address and port.
        from_caller: True if the caller sent it.
        opening: True for the caller's SYN and for the SYN+ACK.
        acknowledges: True if ``ack`` holds an acknowledgement.
        final: True if the sender closes its direction.
        reset: True if the sender resets the flow.
        returned: True if the upstream returned it as not its own.
        seq: Sequence number; in an opening the initial sequence number.
        ack: Acknowledgement; in a caller's SYN the number of earlier copies.
        length: Length of the data in bytes.
        service_tag: Hash of the service's name, set by the balancer.
        mark: One of the ``MARK`` constants, set by the balancer.
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
        """Returns True if the sender probably sends more data."""
        return self.length >= FULL_BYTES


# The balancer assumes that this agent holds the flow, or offers a new flow.
MARK_DIRECT = 0
# Probe: the agent replies whether it holds the flow.
MARK_PROBE = 1
# Offer of a new flow that the agent declines unless a slot is free.  Agents of
# older releases ignore it.
MARK_FREE_SLOT = 2


def format_flow_key(key: bytes) -> str:
    """Returns a flow key as ``caller:port>route:port``."""
    caller = ipaddress.IPv4Address(key[0:4])
    route = ipaddress.IPv4Address(key[6:10])
    caller_port = int.from_bytes(key[4:6], "big")
    route_port = int.from_bytes(key[10:12], "big")
    return f"{caller}:{caller_port}>{route}:{route_port}"


def is_after(first: int, second: int) -> bool:
    """Returns True if a sequence number is later than another one."""
    ahead = (first - second) % SEQUENCE_MODULUS
    return 0 < ahead <= SEQUENCE_MODULUS // 2


def acknowledges_syn_ack(ack: int, syn_ack_seq: int) -> bool:
    """Returns True if ``ack`` acknowledges only the upstream's SYN+ACK.

    An upstream sends no data before it has received a request.
    """
    return ack == (syn_ack_seq + 1) % SEQUENCE_MODULUS
