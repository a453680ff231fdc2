"""Messages about upstreams and their memberships."""

import msgspec

from crocusmux import objects


class ServiceUpstream(msgspec.Struct, array_like=True, frozen=True):
    """An upstream with its service."""

    service: str
    upstream: objects.Upstream


class HostRecord(msgspec.Struct, array_like=True, frozen=True):
    """All upstreams of one upstream host.

    Attributes:
        host: Name of the upstream host.
        failure_domain: Its failure domain.
        agent: ``ip:port`` of the agent's UDP socket.
        relay: ``ip:port`` of the agent's TCP relay.
        control: pynng URL of the agent's control socket.
        incarnation: From ``new_incarnation`` at each start of the agent.
        upstreams: All upstreams of the host, with their states.
    """

    host: str
    failure_domain: str
    agent: str
    relay: str
    control: str
    incarnation: int
    upstreams: tuple[ServiceUpstream, ...] = ()


class Announcement(msgspec.Struct, array_like=True, frozen=True, tag=20):
    """An agent's record on its way to a watcher.

    Attributes:
        record: The record.
        nonce: Number of the watcher's ``ConfirmRequest``; 0 if not asked yet.
    """

    record: HostRecord
    nonce: int = 0


class ConfirmRequest(msgspec.Struct, array_like=True, frozen=True, tag=23):
    """Asks an agent to repeat its announcement with a number.

    Attributes:
        host: Host of the record.
        incarnation: Incarnation of the record.
        nonce: Number to repeat; not 0.
        control: Control URL of the watcher.
    """

    host: str
    incarnation: int
    nonce: int
    control: str


class AnnouncementReply(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """A watcher's answer: the record will be written, or is outdated.

    Attributes:
        host: Host of the record.
        incarnation: Incarnation of the record.
        newest: Newest incarnation known of the host.  If higher, the record
            was refused.
    """

    host: str
    incarnation: int
    newest: int


class SuspectReport(msgspec.Struct, array_like=True, frozen=True, tag=22):
    """Report that a host does not answer.

    Attributes:
        host: The suspected host.
        incarnation: Its incarnation.
        reporter: Name of the reporting daemon.
        failure_domain: Failure domain of the reporter.
        forwarded: True if a watcher passed it on.
    """

    host: str
    incarnation: int
    reporter: str
    failure_domain: str
    forwarded: bool = False
