"""Messages of the gossip protocol, core/control/gossip."""

import msgspec


class DaemonRow(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A row of the table of known daemons.

    Attributes:
        name: Host name of the daemon.
        role: ``"balancer"`` or ``"agent"``.
        failure_domain: Its failure domain.
        region: Its region.
        control: pynng URL of its control socket.
        http: ``ip:port`` of its HTTP server.
        incarnation: Number of the daemon's start; only increases for a host.
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
    """Summary of the sender's state; opens a link and keeps it alive.

    Attributes:
        row: The sender.
        probe: Time since the start of the sender, milliseconds.
        root: Hash of the versions of all objects.
        drains: Hash of all drain notices.
        beats: For the best-ranked daemons, hash of name and incarnation, and
            seconds since last heard.
        rows: Random known daemons, with the seconds since last heard.
        answer: True if this replies to a digest.
        full: True if the sender rejects a link from the receiver.
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
    """Hashes below the root: of all groups, or of the leaves of some groups."""

    groups: list[int]
    leaves: dict[int, list[int]]


class Leaves(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Keys and versions of the objects in some leaves."""

    leaves: list[int]
    items: list[tuple[str, int]]


class Announce(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Keys and versions of objects that the receiver can request."""

    items: list[tuple[str, int]]


class Want(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Request for objects."""

    keys: list[str]


class Objects(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Objects in msgpack, compressed with zlib if ``packed``."""

    data: bytes
    packed: bool


class Contact(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Time of the last known contact of a watcher with the object API.

    The time is relative to the arrival of a probe of the receiver, which adds
    it to the time at which it sent that probe.  The sum is never later than the
    contact, even if a pause of either process delayed the message.

    Attributes:
        echo: ``probe`` of the receiver's last digest.
        delta_ms: Contact time minus the probe's arrival time, milliseconds.
    """

    echo: int
    delta_ms: int


class Drains(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Drain notices: hosts, with incarnation, that take no new work."""

    items: list[tuple[str, int]]


class WantRows(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Request for the rows of daemons, by hash of name and incarnation."""

    hashes: list[int]


class Rows(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Known daemons, each with the seconds since last heard."""

    rows: list[tuple[DaemonRow, int]]
