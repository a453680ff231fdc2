"""Addresses of a run on the loopback network, and its packets."""

import os
import socket

from crocusmux.platform import packets

Address = tuple[str, int]

# Below the range of ephemeral ports, so that no outgoing connection takes one.
PORT_NAMES = "data readiness control outbound app messages lock"
PORTS = {name: 21_000 + n for n, name in enumerate(PORT_NAMES.split())}
# Second parts of the addresses 127.x.y.z of a run.
FIRST_NET, NETS = 20, 230
GROUPS = {"balancer": 1, "agent": 2, "store": 3, "caller": 9}


class Network:
    """Addresses of one run; runs at the same time use different ones."""

    def __init__(self) -> None:
        self._lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for offset in range(NETS):
            self._net = FIRST_NET + (os.getpid() + offset) % NETS
            try:
                self._lock.bind(self.address("store", 1, "lock"))
            except OSError:
                continue
            return
        raise OSError("all loopback networks are in use")

    def ip(self, group: str, number: int) -> str:
        """Returns the IP address of a host."""
        return f"127.{self._net}.{GROUPS[group]}.{number}"

    def address(self, group: str, number: int, port: str) -> Address:
        """Returns an address of a host by the name of its port."""
        return self.ip(group, number), PORTS[port]

    def release(self) -> None:
        """Lets another run use the addresses."""
        self._lock.close()


def encode(
    src: Address, dst: Address, flags: int, seq: int, ack: int, body: bytes
) -> bytes:
    """Returns a packet; its checksum is left out, as no daemon reads it."""
    ips = (socket.inet_aton(dst[0]), socket.inet_aton(src[0]))
    fields = (seq % 2**32, ack % 2**32, 0, dst[1], *ips, src[1], len(body))
    return packets.HEADER.pack(*fields, 0, flags, 0) + body


def ends_of(key: bytes) -> tuple[Address, Address]:
    """Returns the addresses of caller and route of a flow key."""
    return (
        (socket.inet_ntoa(key[:4]), int.from_bytes(key[4:6], "big")),
        (socket.inet_ntoa(key[6:10]), int.from_bytes(key[10:12], "big")),
    )
