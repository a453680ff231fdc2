"""Messages by which daemons spread configuration."""

import msgspec


class DaemonRow(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A known daemon.

    Attributes:
        name: Host name of the daemon.
        role: ``"balancer"`` or ``"agent"``.
        failure_domain: Its failure domain.
        region: Its region.
        control: pynng URL of its control socket.
        http: ``ip:port`` of its HTTP server.
        incarnation: Drawn anew at each start; only rises for a host.
        udp: ``ip:port`` of its packet socket.
    """

    name: str
    role: str
    failure_domain: str
    region: str
    control: str
    http: str = ""
    incarnation: int = 0
    udp: str = ""


class Digest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Summary of what the sender knows; opens and keeps a link.

    Attributes:
        row: The sender.
        probe: Milliseconds of the sender's clock since its start.
        root: Hash of the versions of all objects.
        drains: Hash of all drain notices.
        beats: Hash of name and incarnation, and seconds since it was last
            heard, of the best-ranked daemons.
        rows: A few known daemons with the same age.
        answer: True if it answers a digest.
        full: True if the sender takes no link from the receiver.
    """

    row: DaemonRow
    probe: int
    root: int
    drains: int
    beats: list[tuple[int, int]]
    rows: list[tuple[DaemonRow, int]]
    answer: bool = False
    full: bool = False


class Nodes(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Hashes below the root: of all groups, or of leaves in some groups."""

    groups: list[int]
    leaves: dict[int, list[int]]


class Leaves(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Keys and versions in some leaves."""

    leaves: list[int]
    items: list[tuple[str, int]]


class Announce(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Keys and versions that the sender can provide."""

    items: list[tuple[str, int]]


class Want(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Asks for objects."""

    keys: list[str]


class Objects(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Objects as msgpack, compressed by zlib if ``packed``."""

    data: bytes
    packed: bool


class Contact(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Time of the last platform contact that the sender knows.

    The time is relative to the arrival of a probe of the receiver.  Added to
    the receiver's own time of that probe it never comes out too late, even if
    the message waited while either process was paused.

    Attributes:
        echo: Probe of the receiver.
        delta_ms: Contact time less the arrival time of the probe.
    """

    echo: int
    delta_ms: int


class Drains(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Hosts, each with its incarnation, that take no new work."""

    items: list[tuple[str, int]]


class WantRows(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Asks for known daemons by hash."""

    hashes: list[int]


class Rows(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Known daemons, each with the seconds since it was last heard."""

    rows: list[tuple[DaemonRow, int]]
