"""Control part of one daemon: spreading and membership together.

It routes messages, platform results and timers to both cores and turns their
outputs into four kinds: ``gossip.Send``, ``gossip.KeysChanged``, calls to the
platform (``gossip.PollPlatform``, ``membership.ReadObject``,
``membership.WriteObject``), and
``membership.Rejoined`` and ``membership.Replaced`` for the agent.
"""

from collections.abc import Iterable
import random
from typing import Any

import msgspec

from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.control import gossip
from crocusmux.core.control import gossip_messages
from crocusmux.core.control import membership
from crocusmux.core.control import membership_messages

DRAIN_UNLISTED_S = 600.0

AnyMessage = (
    gossip_messages.Digest
    | gossip_messages.Nodes
    | gossip_messages.Leaves
    | gossip_messages.Announce
    | gossip_messages.Want
    | gossip_messages.Objects
    | gossip_messages.Contact
    | gossip_messages.Drains
    | gossip_messages.WantRows
    | gossip_messages.Rows
    | membership_messages.Announcement
    | membership_messages.AnnouncementReply
    | membership_messages.ConfirmRequest
    | membership_messages.SuspectReport
)


class ControlEnvelope(msgspec.Struct, array_like=True, frozen=True):
    """A control message with the name of its sender."""

    sender: str
    message: AnyMessage


class ControlPlane:
    """Both cores of one daemon.

    Attributes:
        gossip: Dissemination core.
        memberships: Membership core.
    """

    __slots__ = ("_drained", "_rng", "gossip", "memberships")

    def __init__(
        self,
        row: gossip_messages.DaemonRow,
        store: config_store.ConfigStore,
        peers: Iterable[str],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self.gossip = gossip.Gossip(row, store, peers, rng)
        self.memberships = membership.MembershipManager(
            row.name, row.failure_domain, store, rng
        )
        self._drained: dict[str, float] = {}

    # Inputs; each returns outputs.

    def start(self, now: float) -> list[Any]:
        """Starts both cores."""
        return self._route(now, self.gossip.start(now))

    def next_timer(self) -> float:
        """Returns the time of the next ``on_timer``."""
        return min(self.gossip.next_timer(), self.memberships.next_timer())

    def on_timer(self, now: float) -> list[Any]:
        """Does what is due."""
        out = self.gossip.on_timer(now)
        if now >= self.memberships.next_timer():
            out += self._members_timer(now)
        if self.gossip.drain_notices:
            self._close_drains(now)
        return self._route(now, out)

    def on_message(self, now: float, envelope: ControlEnvelope) -> list[Any]:
        """Handles a message of a peer.

        Raises:
            errors.WireError: Its content is malformed.
        """
        message, sender = envelope.message, envelope.sender
        if isinstance(message, membership_messages.Announcement):
            answer = self.memberships.on_announcement(
                now, message, self.gossip.row.control
            )
            return [gossip.Send(message.record.control, answer)]
        if isinstance(message, membership_messages.ConfirmRequest):
            return self._route(
                now, self.memberships.on_confirm_request(now, message)
            )
        if isinstance(message, membership_messages.AnnouncementReply):
            return self._route(
                now, self.memberships.on_announcement_reply(now, message)
            )
        if isinstance(message, membership_messages.SuspectReport):
            return self._route(now, self._suspect(now, message))
        return self._route(now, self.gossip.on_message(now, sender, message))

    def announce(
        self, now: float, record: membership_messages.HostRecord
    ) -> list[Any]:
        """Announces this host's record."""
        return self._route(now, self.memberships.announce(now, record))

    def drain(self, now: float) -> list[Any]:
        """Takes this host out of service, also with the platform down."""
        out = self.memberships.drain(now)
        record = self.memberships.record
        if record is not None:
            out += self.gossip.drain(now, record.host, record.incarnation)
        return self._route(now, out)

    def report_suspect(
        self, now: float, host: str, incarnation: int
    ) -> list[Any]:
        """Reports that a host does not answer."""
        return self._route(
            now, self.memberships.report_suspect(now, host, incarnation)
        )

    def offer(
        self, now: float, items: Iterable[objects.Versioned]
    ) -> list[Any]:
        """Takes objects that the platform answered."""
        return self._route(now, self.gossip.offer(now, items))

    def record_platform_contact(self, now: float, asked_at: float) -> None:
        """Notes that the platform answered a call made at ``asked_at``."""
        self.gossip.record_platform_contact(now, asked_at)

    def on_written(
        self, now: float, key: str, version: int | None, problem: str = ""
    ) -> list[Any]:
        """Takes the result of a ``Write``; see ``Membership.on_written``."""
        out = self.memberships.on_written(now, key, version, problem)
        return self._route(now, out)

    def on_read(self, now: float, key: str, answered: bool) -> list[Any]:
        """Takes the end of a ``Read``, after ``offer`` of the object."""
        return self._route(now, self.memberships.on_read(now, key, answered))

    # Views on the state.

    def overrides(self) -> dict[tuple[str, int], objects.State]:
        """Returns states that override those in the memberships.

        Returns:
            ``"draining"`` by host and incarnation, until the memberships
            that list the incarnation all show it.
        """
        found: dict[tuple[str, int], objects.State] = {}
        for host, incarnation in self.gossip.drain_notices.items():
            if self.memberships.awaits_drain(host, incarnation) is False:
                continue
            # The memberships may still list a predecessor, which has ended.
            for listed in self.memberships.incarnations(host) | {incarnation}:
                if listed <= incarnation:
                    found[(host, listed)] = "draining"
        return found

    # Routing.

    def _members_timer(self, now: float) -> list[Any]:
        return self.memberships.on_timer(
            now, self.gossip.watching, self.gossip.fleet_size()
        )

    def _route(self, now: float, pending: list[Any]) -> list[Any]:
        out: list[Any] = []
        for item in pending:
            if isinstance(item, gossip.KeysChanged):
                out.append(item)
                for key in item.keys:
                    out += self._route(
                        now,
                        self.memberships.on_membership_changed(now, key),
                    )
            elif isinstance(item, membership.SendToHost):
                out.append(gossip.Send(item.to, item.message))
            elif isinstance(item, membership.SendToWatchers):
                out += self._to_watchers(now, item)
            else:
                out.append(item)
        return out

    def _to_watchers(
        self, now: float, item: membership.SendToWatchers
    ) -> list[Any]:
        own = self.gossip.row
        found = self.gossip.all_watchers(now)
        if item.scope == "one":
            found = [found[item.turn % len(found)]] if found else []
        elif item.scope == "near":
            domain = own.failure_domain
            near = [row for row in found if row.failure_domain == domain]
            far = [row for row in found if row.failure_domain != domain]
            found = near + self._rng.sample(far, min(1, len(far)))
        else:
            found = [row for row in found if row.name != own.name]
        out: list[Any] = []
        for row in found:
            if row.name != own.name:
                out.append(gossip.Send(row.control, item.message))
            elif isinstance(item.message, membership_messages.Announcement):
                answer = self.memberships.on_announcement(
                    now, item.message, own.control, own=True
                )
                if isinstance(answer, membership_messages.AnnouncementReply):
                    done = self.memberships.on_announcement_reply(now, answer)
                    out += self._route(now, done)
            elif isinstance(item.message, membership_messages.SuspectReport):
                out += self._route(now, self._suspect(now, item.message))
        return out

    def _suspect(
        self, now: float, report: membership_messages.SuspectReport
    ) -> list[Any]:
        names = [row.name for row in self.gossip.all_watchers(now)]
        own = self.gossip.row.name
        ranks = {}
        for service in self.memberships.services_of(report.host):
            seed = gossip.hash_text(service)
            scores = {name: gossip.hash_text(name, seed) for name in names}
            mine = gossip.hash_text(own, seed)
            ranks[service] = sum(score > mine for score in scores.values())
        return self.memberships.on_suspect(now, report, ranks)

    def _close_drains(self, now: float) -> None:
        for host, incarnation in list(self.gossip.drain_notices.items()):
            state = self.memberships.awaits_drain(host, incarnation)
            if state is None:
                since = self._drained.setdefault(host, now)
                if now - since < DRAIN_UNLISTED_S:
                    continue
            self._drained.pop(host, None)
            if state is not True:
                self.gossip.remove_drain_notice(now, host)

    def contact_age(self, now: float) -> float:
        """Returns seconds since the last platform contact of a watcher."""
        return now - self.gossip.last_platform_contact
