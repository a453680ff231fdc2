"""Control plane of one daemon: gossip and membership together.

Routes messages, object API results and timers to the two cores.  Its outputs
are ``gossip.Send``, ``gossip.KeysChanged``, calls to the object API, which are
``gossip.PollObjectApi``, ``membership.ReadObject`` and ``WriteObject``, and on
an agent ``membership.Rejoined`` and ``membership.Replaced``.
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

UNLISTED_DRAIN_S = 600.0

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
    """A control message with the host name of its sender."""

    sender: str
    message: AnyMessage


class ControlPlane:
    """Gossip and membership cores of one daemon.

    Attributes:
        gossip: Spreads configuration objects and drain notices.
        memberships: Announces the own host and writes the memberships.
    """

    __slots__ = ("_drained_since", "_rng", "gossip", "memberships")

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
        self._drained_since: dict[str, float] = {}

    # Inputs; each returns outputs.

    def start(self, now: float) -> list[Any]:
        """Starts both cores."""
        return self._route(now, self.gossip.start(now))

    def next_timer(self) -> float:
        """Returns the time of the next ``on_timer``."""
        return min(self.gossip.next_timer(), self.memberships.next_timer())

    def on_timer(self, now: float) -> list[Any]:
        """Runs the timers of both cores, and removes old drain notices."""
        out = self.gossip.on_timer(now)
        if now >= self.memberships.next_timer():
            out += self._run_memberships(now)
        if self.gossip.drain_notices:
            self._remove_drain_notices(now)
        return self._route(now, out)

    def on_message(self, now: float, envelope: ControlEnvelope) -> list[Any]:
        """Processes a message from a peer.

        Raises:
            errors.WireError: Its content is malformed.
        """
        message, sender = envelope.message, envelope.sender
        if isinstance(message, membership_messages.Announcement):
            reply = self.memberships.on_announcement(
                now, message, self.gossip.row.control
            )
            return [gossip.Send(message.record.control, reply)]
        if isinstance(message, membership_messages.ConfirmRequest):
            return self._route(now, self.memberships.on_confirm(now, message))
        if isinstance(message, membership_messages.AnnouncementReply):
            return self._route(now, self.memberships.on_reply(now, message))
        if isinstance(message, membership_messages.SuspectReport):
            return self._route(now, self._on_suspect(now, message))
        return self._route(now, self.gossip.on_message(now, sender, message))

    def announce(
        self, now: float, record: membership_messages.HostRecord
    ) -> list[Any]:
        """Announces this host's record."""
        return self._route(now, self.memberships.announce(now, record))

    def drain(self, now: float) -> list[Any]:
        """Drains this host; works while the object API is unavailable too."""
        out = self.memberships.drain(now)
        record = self.memberships.record
        if record is not None:
            out += self.gossip.drain(now, record.host, record.incarnation)
        return self._route(now, out)

    def report_suspect(
        self, now: float, host: str, incarnation: int
    ) -> list[Any]:
        """Reports that a host does not answer."""
        return self._route(now, self.memberships.report(now, host, incarnation))

    def offer(
        self, now: float, items: Iterable[objects.VersionedObject]
    ) -> list[Any]:
        """Stores newer objects that were read from the object API."""
        return self._route(now, self.gossip.offer(now, items))

    def record_api_contact(self, now: float, asked_at: float) -> None:
        """Records a response of the object API to a request at ``asked_at``."""
        self.gossip.record_api_contact(now, asked_at)

    def on_written(
        self, now: float, key: str, version: int | None, problem: str = ""
    ) -> list[Any]:
        """Processes a write's result; see ``MembershipManager.on_written``."""
        out = self.memberships.on_written(now, key, version, problem)
        return self._route(now, out)

    def on_read(self, now: float, key: str, answered: bool) -> list[Any]:
        """Processes the end of a read, after ``offer`` of the object."""
        return self._route(now, self.memberships.on_read(now, key, answered))

    # Views on the state.

    def overrides(self) -> dict[tuple[str, int], objects.UpstreamState]:
        """Returns the states that override those in the memberships.

        Returns:
            ``"draining"`` by host and incarnation, until all memberships
            that list the incarnation reflect it.
        """
        states: dict[tuple[str, int], objects.UpstreamState] = {}
        for host, incarnation in self.gossip.drain_notices.items():
            if self.memberships.awaits_drain(host, incarnation) is False:
                continue
            # The memberships may still list an earlier incarnation.
            for listed in self.memberships.incarnations(host) | {incarnation}:
                if listed <= incarnation:
                    states[(host, listed)] = "draining"
        return states

    # Routing.

    def _run_memberships(self, now: float) -> list[Any]:
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
                        now, self.memberships.on_membership_changed(now, key)
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
        watchers = self.gossip.all_watchers(now)
        if item.scope == "one":
            watchers = [watchers[item.turn % len(watchers)]] if watchers else []
        elif item.scope == "near":
            domain = own.failure_domain
            near = [row for row in watchers if row.failure_domain == domain]
            far = [row for row in watchers if row.failure_domain != domain]
            watchers = near + self._rng.sample(far, min(1, len(far)))
        else:
            watchers = [row for row in watchers if row.name != own.name]
        out: list[Any] = []
        for row in watchers:
            if row.name != own.name:
                out.append(gossip.Send(row.control, item.message))
            elif isinstance(item.message, membership_messages.Announcement):
                reply = self.memberships.on_announcement(
                    now, item.message, own.control, own=True
                )
                if isinstance(reply, membership_messages.AnnouncementReply):
                    outputs = self.memberships.on_reply(now, reply)
                    out += self._route(now, outputs)
            elif isinstance(item.message, membership_messages.SuspectReport):
                out += self._route(now, self._on_suspect(now, item.message))
        return out

    def _on_suspect(
        self, now: float, report: membership_messages.SuspectReport
    ) -> list[Any]:
        names = [row.name for row in self.gossip.all_watchers(now)]
        own = self.gossip.row.name
        ranks = {}
        for service in self.memberships.services_of(report.host):
            seed = gossip.hash_text(service)
            scores = {name: gossip.hash_text(name, seed) for name in names}
            own_score = gossip.hash_text(own, seed)
            ranks[service] = sum(score > own_score for score in scores.values())
        return self.memberships.on_suspect(now, report, ranks)

    def _remove_drain_notices(self, now: float) -> None:
        for host, incarnation in list(self.gossip.drain_notices.items()):
            state = self.memberships.awaits_drain(host, incarnation)
            if state is None:
                since = self._drained_since.setdefault(host, now)
                if now - since < UNLISTED_DRAIN_S:
                    continue
            self._drained_since.pop(host, None)
            if state is not True:
                self.gossip.remove_drain_notice(now, host)

    def contact_age(self, now: float) -> float:
        """Returns the seconds since a watcher's last object API contact."""
        return now - self.gossip.api_contact
