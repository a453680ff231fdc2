"""Membership changes: announcements of upstreams, suspicion and removal.

An agent announces all upstreams of its host in one record.  A watcher merges
records into conditional updates, one per membership object and batch.  Updates
are idempotent: within an incarnation of a host, states only move forward from
joining to gone, and a higher incarnation replaces a lower one.  So a lost
response is resolved by reading back, and racing watchers merge to one object.
"""

from collections.abc import Iterable
import math
import random
from typing import Any

import msgspec

from crocusmux import objects
from crocusmux.core.control import config_store
from crocusmux.core.control import membership_messages
from crocusmux.core.control import state_overrides

STATES: tuple[objects.UpstreamState, ...] = (
    "joining",
    "warming",
    "ready",
    "draining",
    "gone",
)
_RANK = {state: rank for rank, state in enumerate(STATES)}

BATCH_S = 0.2  # delay in which changes of one object are batched
RETRY_S = 0.2  # first retry after a conflict or an error
MAX_RETRY_S = 10.0
# Longer than the deadline of a write in the object API client.
CALL_TIMEOUT_S = 12.0
ANNOUNCE_INTERVAL_S = 1.0  # before the first repeated announcement
MAX_ANNOUNCE_S = 15.0
DIRECT_WRITE_AFTER_S = 3.0  # without a reply, until the agent writes itself
# Keeps 8 watchers together below 200 writes per second to the object API.
WRITES_PER_S = 20.0
# Divided by the number of daemons, for agents that write without a watcher.
DIRECT_WRITES_PER_S = 100.0
SUSPECT_S = 10.0  # in which two failure domains must report a host
REPORT_INTERVAL_S = 2.0  # between repeated or forwarded reports of a host
STAGGER_S = 0.5  # added to the delay of each further watcher
REMOVAL_WINDOW_S = 10.0
GONE_KEPT_S = 30.0  # for which a gone member stays in the object
# An announcement can be delayed for minutes in the buffers of a connection.  So
# an unlisted host is added only after it repeated a watcher's nonce, and before
# the announced change expires.  Both times together are below GONE_KEPT_S: an
# announcement from before a host's removal never adds the host again.
NONCE_VALID_S = 5.0
DESIRED_TTL_S = 20.0
ENDED_S = 600.0  # of the incarnations of unlisted hosts
MAX_INFLIGHT = 16
INCARNATION_SHIFT = 20


class SendToHost(msgspec.Struct, frozen=True, gc=False):
    """Output: send a message to the control URL of a host."""

    to: str
    message: Any


class ReadObject(msgspec.Struct, frozen=True, gc=False):
    """Output: read an object and report the result to ``on_read``."""

    key: str


class WriteObject(msgspec.Struct, frozen=True, gc=False):
    """Output: write an object and report the result to ``on_written``.

    Attributes:
        key: Key of the object.
        body: New body.
        expected: Version that the object must have; 0 if it must not exist.
    """

    key: str
    body: bytes
    expected: int


class SendToWatchers(msgspec.Struct, frozen=True, gc=False):
    """Output: send a message to watchers.

    Attributes:
        message: The message.
        scope: ``"one"``: watcher number ``turn`` of all known, those of the
            own failure domain first; ``"near"``: the watchers of the own
            domain and another, as these may all be dead; or ``"all"``.
        turn: Number of the attempt, for ``"one"``.
    """

    message: Any
    scope: str
    turn: int = 0


class Replaced(msgspec.Struct, frozen=True, gc=False):
    """Output: a newer incarnation of this host has replaced this process."""

    host: str
    newest: int


class Rejoined(msgspec.Struct, frozen=True, gc=False):
    """Output: this host was removed while alive, and joins again.

    Attributes:
        incarnation: The new incarnation that it announces.
    """

    incarnation: int


def new_incarnation(wall_ms: int, rng: random.Random, known: int = 0) -> int:
    """Returns an agent incarnation above all earlier ones of the host.

    The higher incarnation of two records of a host is the newer one.  It is
    taken from the wall clock at the start, with random low bits, and is at
    least one above the newest known incarnation.

    Args:
        wall_ms: Wall clock, milliseconds since 1970.
        rng: Source of randomness.
        known: Newest known incarnation of the host; 0 if none.
    """
    drawn = (wall_ms << INCARNATION_SHIFT) | rng.getrandbits(10) << 10
    return max(drawn, known + 1)


def members_by_service(
    record: membership_messages.HostRecord,
) -> dict[str, objects.Member]:
    """Returns the member that a record describes for each service."""
    by_service: dict[str, list[objects.Upstream]] = {}
    for item in record.upstreams:
        by_service.setdefault(item.service, []).append(item.upstream)
    return {
        service: objects.Member(
            host=record.host,
            failure_domain=record.failure_domain,
            agent=record.agent,
            relay=record.relay,
            control=record.control,
            incarnation=record.incarnation,
            upstreams=tuple(upstreams),
        )
        for service, upstreams in by_service.items()
    }


def with_state(
    record: membership_messages.HostRecord, state: objects.UpstreamState
) -> membership_messages.HostRecord:
    """Returns a copy of a record with all upstreams in one state."""
    upstreams = tuple(
        membership_messages.ServiceUpstream(
            item.service, msgspec.structs.replace(item.upstream, state=state)
        )
        for item in record.upstreams
    )
    return msgspec.structs.replace(record, upstreams=upstreams)


def merge_member(
    old: objects.Member | None, new: objects.Member
) -> objects.Member:
    """Returns the merge of a listed and a desired member.

    A lower incarnation changes nothing, a higher one replaces the member,
    and within one incarnation each upstream keeps its furthest state.
    """
    if old is None or new.incarnation > old.incarnation:
        return new
    if new.incarnation < old.incarnation:
        return old
    upstreams = {upstream.name: upstream for upstream in old.upstreams}
    for upstream in new.upstreams:
        known = upstreams.get(upstream.name)
        if known is None:
            upstreams[upstream.name] = upstream
        elif _RANK[upstream.state] > _RANK[known.state]:
            upstreams[upstream.name] = msgspec.structs.replace(
                known, state=upstream.state
            )
    return msgspec.structs.replace(old, upstreams=tuple(upstreams.values()))


def is_gone(member: objects.Member) -> bool:
    """Returns True if all upstreams of a member are gone."""
    return all(upstream.state == "gone" for upstream in member.upstreams)


def mark_gone(member: objects.Member) -> objects.Member:
    """Returns a copy of a member with all upstreams gone."""
    return msgspec.structs.replace(
        member,
        upstreams=tuple(
            msgspec.structs.replace(upstream, state="gone")
            for upstream in member.upstreams
        ),
    )


class _Update:
    """Pending changes of one membership object, by host."""

    __slots__ = (
        "attempts",
        "call",
        "desired",
        "desired_at",
        "due_at",
        "purges",
        "removal_count",
        "removals",
    )

    def __init__(self, due: float) -> None:
        self.desired: dict[str, objects.Member] = {}  # as announced
        self.desired_at: dict[str, float] = {}
        self.removals: dict[str, int] = {}  # incarnations to mark as gone
        self.purges: dict[str, int] = {}  # gone incarnations to delete
        self.removal_count = 0  # in the last write
        self.due_at = due
        self.attempts = 0
        self.call = ""  # "read", "write", or "unread" to repeat a read


class _Suspicion:
    """Reports about one incarnation of a host, by failure domain."""

    __slots__ = ("forward_after", "incarnation", "reports")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.reports: dict[str, float] = {}
        self.forward_after: dict[str, float] = {}


class MembershipManager:
    """Announces the own host and, on a watcher, writes the memberships.

    Attributes:
        record: The record this daemon announces; None on a balancer.
        replaced: True once a newer incarnation of the host replaced it.
        counts: Counts of events, for the status page.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        store: config_store.ConfigStore,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.record: membership_messages.HostRecord | None = None
        self.replaced = False
        self.counts = {
            "writes": 0,
            "reads": 0,
            "conflicts": 0,
            "unknown": 0,
            "removals": 0,
            "removals_held": 0,
            "outdated": 0,
        }
        self._store = store
        self._rng = rng
        self._updates: dict[str, _Update] = {}
        self._deadlines: dict[str, float] = {}
        self._tokens = 1.0
        self._tokens_at = -math.inf
        self._write_rate = WRITES_PER_S
        self._suspicions: dict[str, _Suspicion] = {}
        self._next_report_at: dict[tuple[str, int], float] = {}
        # Incarnation that the memberships list, by host and service.
        self._listed: dict[str, dict[str, int]] = {}
        self._nonces: dict[str, tuple[int, float]] = {}  # with their expiry
        # Last incarnation of unlisted hosts, by service and host: a host that
        # was paused during its removal announces it until it learns of that.
        self._ended: dict[tuple[str, str], tuple[int, float]] = {}
        # Services for which an operator retired the upstreams of this host.
        self._retired_services: set[str] = set()
        # The announced record including the retired services.
        self._full_record: membership_messages.HostRecord | None = None
        self._own_members: dict[str, objects.Member] = {}
        self._newest: dict[str, tuple[int, float]] = {}  # with time last seen
        self._listed_hosts: dict[str, tuple[str, ...]] = {}
        # When a member, by host and incarnation, was first seen gone.
        self._gone_at: dict[str, dict[tuple[str, int], float]] = {}
        self._announce_at = math.inf
        self._announce_began = math.inf
        self._announce_attempt = 0
        self._replied_at = -math.inf
        self._started_at = 0.0
        self._sweep_at = 0.0
        for key in store.version_by_key():
            self.on_membership_changed(0.0, key)

    # Agent.

    def announce(
        self, now: float, record: membership_messages.HostRecord
    ) -> list[Any]:
        """Announces this host's record until the memberships reflect it."""
        if self.replaced:
            return []
        own = self.record
        if own is not None and record.incarnation < own.incarnation:
            record = msgspec.structs.replace(
                record, incarnation=own.incarnation
            )
        self._full_record = record
        for service in self._retired_services:
            record = _retire_service(record, service)
        newest = self._newest.get(record.host, (0, 0.0))[0]
        self.record = record
        if own is None:
            self._started_at = now
        if record.incarnation < newest:
            return self._on_newer(now, newest)
        self._announce_began = now
        self._announce_attempt = 0
        self._announce_at = now
        return self.on_timer(now)

    def drain(self, now: float) -> list[Any]:
        """Announces all upstreams of this host as draining."""
        if self.record is None:
            return []
        return self.announce(now, with_state(self.record, "draining"))

    def is_reflected(self) -> bool:
        """Returns True if the memberships reflect the announced record."""
        if self.record is None:
            return True
        for service, member in members_by_service(self.record).items():
            current = self._member(service, member.host)
            if current is None:
                if not is_gone(member):
                    return False
            elif merge_member(current, member) != current:
                return False
        return not self._dropped_by(self.record)

    def report(self, now: float, host: str, incarnation: int) -> list[Any]:
        """Reports a suspected host to watchers, at a limited rate."""
        if now < self._next_report_at.get((host, incarnation), -math.inf):
            return []
        self._next_report_at[(host, incarnation)] = now + REPORT_INTERVAL_S
        report = membership_messages.SuspectReport(
            host, incarnation, self.name, self.failure_domain
        )
        return [SendToWatchers(report, "near")]

    def on_reply(
        self, now: float, message: membership_messages.AnnouncementReply
    ) -> list[Any]:
        """Processes a watcher's reply to the own announcement."""
        own = self.record
        if own is None or message.host != own.host:
            return []
        if message.incarnation != own.incarnation:
            return []
        self._replied_at = now
        if message.newest > own.incarnation:
            self._note_newest(now, own.host, message.newest)
            return self._on_newer(now, message.newest)
        return []

    # Watcher.

    def on_confirm(
        self, now: float, message: membership_messages.ConfirmRequest
    ) -> list[Any]:
        """Repeats the own announcement with the watcher's nonce."""
        own = self.record
        if own is None or self.replaced or message.host != own.host:
            return []
        if message.incarnation != own.incarnation:
            return []
        self._replied_at = now
        return [
            SendToHost(
                message.control,
                membership_messages.Announcement(own, message.nonce),
            )
        ]

    def on_announcement(
        self,
        now: float,
        message: membership_messages.Announcement,
        control: str,
        own: bool = False,
    ) -> (
        membership_messages.AnnouncementReply
        | membership_messages.ConfirmRequest
    ):
        """Schedules the updates for an agent's record and returns the reply.

        Args:
            now: Time of the loop's clock, seconds.
            message: The announcement.
            control: Control URL of this daemon.
            own: True if it is this daemon's own record.
        """
        record = message.record
        newest = self._newest.get(record.host, (0, 0.0))[0]
        if record.incarnation < newest:
            self.counts["outdated"] += 1
            return membership_messages.AnnouncementReply(
                record.host, record.incarnation, newest
            )
        desired = members_by_service(record)
        unlisted = any(
            self._member(service, record.host) is None and not is_gone(member)
            for service, member in desired.items()
        )
        if unlisted and not own:
            nonce, until = self._nonces.get(record.host, (0, 0.0))
            if now >= until:
                nonce = self._rng.getrandbits(62) + 1
                self._nonces[record.host] = (nonce, now + NONCE_VALID_S)
            if message.nonce != nonce:
                return membership_messages.ConfirmRequest(
                    record.host, record.incarnation, nonce, control
                )
        self._note_newest(now, record.host, record.incarnation)
        for service in self._dropped_by(record):
            old = self._member(service, record.host)
            if old is not None:
                desired[service] = mark_gone(
                    msgspec.structs.replace(old, incarnation=record.incarnation)
                )
        for service, member in desired.items():
            current = self._member(service, record.host)
            if current is None and self._has_ended(service, member):
                continue
            if current is None or merge_member(current, member) != current:
                self._submit(now, service, member)
        return membership_messages.AnnouncementReply(
            record.host, record.incarnation, record.incarnation
        )

    def on_suspect(
        self,
        now: float,
        report: membership_messages.SuspectReport,
        ranks: dict[str, int],
    ) -> list[Any]:
        """Records a report; removes the host once two domains reported it.

        Args:
            now: Time of the loop's clock, seconds.
            report: The report.
            ranks: Rank of this watcher among all watchers, from 0, for each
                service that lists the host.
        """
        services = self._listed.get(report.host, {})
        if report.incarnation not in services.values():
            return []
        suspicion = self._suspicions.get(report.host)
        if suspicion is None or suspicion.incarnation < report.incarnation:
            suspicion = _Suspicion(report.incarnation)
            self._suspicions[report.host] = suspicion
        if suspicion.incarnation != report.incarnation:
            return []
        out: list[Any] = []
        domain = report.failure_domain
        suspicion.reports[domain] = now
        passed = suspicion.forward_after.get(domain, -math.inf)
        if not report.forwarded and now >= passed:
            suspicion.forward_after[domain] = now + REPORT_INTERVAL_S
            again = msgspec.structs.replace(report, forwarded=True)
            out.append(SendToWatchers(again, "all"))
        for service, incarnation in services.items():
            if incarnation == report.incarnation:
                self._queue_removal(now, service, report.host, ranks)
        return out

    def _queue_removal(
        self, now: float, service: str, host: str, ranks: dict[str, int]
    ) -> None:
        suspicion = self._suspicions[host]
        fresh = [
            at for at in suspicion.reports.values() if now - at <= SUSPECT_S
        ]
        member = self._member(service, host)
        if len(fresh) < 2 or member is None or is_gone(member):
            return
        pending = self._defer(now, service, STAGGER_S * ranks.get(service, 0))
        pending.removals[host] = suspicion.incarnation

    def on_written(
        self, now: float, key: str, version: int | None, problem: str = ""
    ) -> list[Any]:
        """Processes the result of a write; the store has the object already.

        Args:
            now: Time of the loop's clock, seconds.
            key: Key of the object.
            version: Version after the write; None if it failed.
            problem: ``"conflict"``, ``"unknown"`` (the response was lost) or
                ``"unavailable"``.
        """
        service = key.removeprefix(objects.MEMBERSHIP_PREFIX)
        pending = self._updates.get(service)
        self._deadlines.pop(key, None)
        if pending is None:
            return []
        pending.call = ""
        if version is not None:
            pending.attempts = 0
            self.counts["removals"] += pending.removal_count
            self._prune(now, service, pending)
            return self.on_timer(now)
        if problem in ("conflict", "unknown"):
            self.counts[
                "conflicts" if problem == "conflict" else "unknown"
            ] += 1
            # Read back before the next attempt: the write may have taken
            # effect, and another watcher may have changed the object.
            pending.call = "read"
            self._deadlines[key] = now + CALL_TIMEOUT_S
            self.counts["reads"] += 1
            self._back_off(now, pending)
            return [ReadObject(key)]
        self._back_off(now, pending)
        return []

    def on_read(self, now: float, key: str, answered: bool) -> list[Any]:
        """Processes the end of a read; the store has the object already."""
        service = key.removeprefix(objects.MEMBERSHIP_PREFIX)
        pending = self._updates.get(service)
        self._deadlines.pop(key, None)
        if pending is None:
            return []
        if answered:
            pending.call = ""
            self._prune(now, service, pending)
        else:
            pending.call = "unread"
            self._back_off(now, pending)
        return []

    # Agent and watcher.

    def on_membership_changed(self, now: float, key: str) -> list[Any]:
        """Processes a change of the object ``key``, if it is a membership."""
        if not key.startswith(objects.MEMBERSHIP_PREFIX):
            return []
        service = key.removeprefix(objects.MEMBERSHIP_PREFIX)
        membership = self._store.membership(service)
        if membership is None:
            return []
        listed = {member.host: member for member in membership.members}
        old_gone_at = self._gone_at.pop(service, {})
        gone_at = {}
        for host, member in listed.items():
            self._listed.setdefault(host, {})[service] = member.incarnation
            self._note_newest(now, host, member.incarnation)
            if is_gone(member):
                entry = (host, member.incarnation)
                gone_at[entry] = old_gone_at.get(entry, now)
                self._sweep_at = min(self._sweep_at, now + GONE_KEPT_S)
        if gone_at:
            self._gone_at[service] = gone_at
        for host in self._listed_hosts.get(service, ()):
            if host not in listed:
                last = self._listed[host].pop(service)
                self._ended[(service, host)] = (last, now)
                if not self._listed[host]:
                    del self._listed[host]
        self._listed_hosts[service] = tuple(listed)
        pending = self._updates.get(service)
        if pending is not None and not pending.call:
            self._prune(now, service, pending)
        own = self.record
        if own is None or self.replaced:
            return []
        before = self._own_members.pop(service, None)
        if own.host in listed:
            self._own_members[service] = listed[own.host]
            out = self._on_own_member(now, service, listed[own.host], before)
            if math.isinf(self._announce_at) and not self.is_reflected():
                # An operator removed a state override from an upstream.
                self._announce_began = now
                self._announce_attempt = 0
                self._announce_at = now + BATCH_S
            return out
        if before is None:
            return []
        announced = members_by_service(own).get(service)
        if announced is None or is_gone(announced):
            return []
        if self._is_retired(service, announced):
            self._omit(own, service)
            return []
        return self._rejoin(now, own)

    def services_of(self, host: str) -> list[str]:
        """Returns the services whose memberships list a host."""
        return list(self._listed.get(host, ()))

    def incarnations(self, host: str) -> set[int]:
        """Returns the incarnations of a host that memberships list."""
        return set(self._listed.get(host, {}).values())

    def awaits_drain(self, host: str, incarnation: int) -> bool | None:
        """Returns whether a host still has to be listed as draining.

        Returns:
            True if the incarnation or an older one is listed as taking work;
            else False if it or a newer one is listed, and None if not.
        """
        listed = False
        for service, known in self._listed.get(host, {}).items():
            listed = listed or known >= incarnation
            member = self._member(service, host)
            if known > incarnation or member is None:
                continue
            for upstream in member.upstreams:
                if _RANK[upstream.state] < _RANK["draining"]:
                    return True
        return False if listed else None

    def next_timer(self) -> float:
        """Returns the time of the next ``on_timer``."""
        due = [p.due_at for p in self._updates.values() if _is_idle(p)]
        due += self._deadlines.values()
        return min([*due, self._announce_at, self._sweep_at], default=math.inf)

    def on_timer(
        self, now: float, watching: bool = False, fleet: float = 0.0
    ) -> list[Any]:
        """Starts the writes, announcements and cleanup that are due.

        Args:
            now: Time of the loop's clock, seconds.
            watching: True if this daemon is a watcher.
            fleet: Estimated number of daemons; 0 keeps the last estimate.
        """
        out: list[Any] = []
        if watching:
            self._write_rate = WRITES_PER_S
        elif fleet:
            self._write_rate = min(DIRECT_WRITES_PER_S / fleet, WRITES_PER_S)
        if now >= self._announce_at:
            self._repeat_announcement(now, out)
        for key, until in list(self._deadlines.items()):
            if now >= until:
                del self._deadlines[key]
                out += self._on_call_timeout(now, key)
        for service, pending in list(self._updates.items()):
            if now >= pending.due_at and _is_idle(pending):
                self._write(now, service, pending, out)
        if now >= self._sweep_at:
            self._sweep(now, watching)
        return out

    def _on_call_timeout(self, now: float, key: str) -> list[Any]:
        service = key.removeprefix(objects.MEMBERSHIP_PREFIX)
        pending = self._updates.get(service)
        if pending is None:
            return []
        if pending.call == "write":
            return self.on_written(now, key, None, "unknown")
        return self.on_read(now, key, False)

    def _member(self, service: str, host: str) -> objects.Member | None:
        membership = self._store.membership(service)
        if membership is None:
            return None
        for member in membership.members:
            if member.host == host:
                return member
        return None

    def _dropped_by(self, record: membership_messages.HostRecord) -> list[str]:
        """Returns services that list the host but are not in its record."""
        named = {item.service for item in record.upstreams}
        found = []
        for service, known in self._listed.get(record.host, {}).items():
            member = self._member(service, record.host)
            if (
                service not in named
                and known <= record.incarnation
                and member is not None
                and not is_gone(member)
            ):
                found.append(service)
        return found

    def _has_ended(self, service: str, announced: objects.Member) -> bool:
        """Returns True if an unlisted member must not be added."""
        ended = self._ended.get((service, announced.host), (-1, 0.0))[0]
        return is_gone(announced) or announced.incarnation <= ended

    def _note_newest(self, now: float, host: str, incarnation: int) -> None:
        newest = self._newest.get(host, (0, 0.0))[0]
        if incarnation >= newest:
            self._newest[host] = (incarnation, now)

    def _on_own_member(
        self,
        now: float,
        service: str,
        member: objects.Member,
        before: objects.Member | None,
    ) -> list[Any]:
        own = self.record
        if own is None:
            return []
        if member.incarnation > own.incarnation:
            return self._on_newer(now, member.incarnation)
        if member.incarnation < own.incarnation:
            return []
        announced = members_by_service(own).get(service)
        if service in self._retired_services and not is_gone(member):
            self._unretire(service)
            return []
        if not is_gone(member) or announced is None or is_gone(announced):
            return []
        if self._is_retired(service, announced):
            self._omit(own, service)
            return []
        if (
            before is not None
            and before.incarnation == member.incarnation
            and all(
                _RANK[upstream.state] >= _RANK["draining"]
                for upstream in before.upstreams
            )
        ):
            # Drained, and then retired by a write without a state override.
            self._omit(own, service)
            return []
        return self._rejoin(now, own)

    def _is_retired(self, service: str, member: objects.Member) -> bool:
        """Returns True if an operator retired all upstreams of a member."""
        names = [upstream.name for upstream in member.upstreams]
        return state_overrides.all_gone(self._store.membership(service), names)

    def _omit(self, own: membership_messages.HostRecord, service: str) -> None:
        """Stops announcing the upstreams of one service."""
        self._retired_services.add(service)
        self.record = _retire_service(own, service)

    def _unretire(self, service: str) -> None:
        """Announces the upstreams of a service that an operator added again."""
        self._retired_services.discard(service)
        record = self._full_record
        if record is None or self.record is None:
            return
        for other in self._retired_services:
            record = _retire_service(record, other)
        self.record = msgspec.structs.replace(
            record, incarnation=self.record.incarnation
        )

    def _rejoin(
        self, now: float, own: membership_messages.HostRecord
    ) -> list[Any]:
        """Joins again after a removal while alive."""
        # The states of an incarnation never move back, so it takes the next.
        raised = msgspec.structs.replace(own, incarnation=own.incarnation + 1)
        self._note_newest(now, own.host, raised.incarnation)
        return [Rejoined(raised.incarnation), *self.announce(now, raised)]

    def _on_newer(self, now: float, newest: int) -> list[Any]:
        own = self.record
        if own is None or self.replaced:
            return []
        # An incarnation contains the wall clock of its start.  If that is in
        # the future of the own clock, it is a predecessor whose clock was fast;
        # otherwise the process started after this one and replaces it.
        present = own.incarnation >> INCARNATION_SHIFT
        present += math.floor((now - self._started_at) * 1000)
        if newest >> INCARNATION_SHIFT > present:
            raised = msgspec.structs.replace(own, incarnation=newest + 1)
            return [Rejoined(newest + 1), *self.announce(now, raised)]
        self.replaced = True
        self._announce_at = math.inf
        return [Replaced(own.host, newest)]

    def _repeat_announcement(self, now: float, out: list[Any]) -> None:
        own = self.record
        if own is None or self.replaced or self.is_reflected():
            self._announce_at = math.inf
            return
        turn = self._announce_attempt
        self._announce_attempt += 1
        wait = min(ANNOUNCE_INTERVAL_S * 1.5**turn, MAX_ANNOUNCE_S)
        self._announce_at = now + wait * self._rng.uniform(0.8, 1.2)
        # Moves on to the next watcher only while none has replied.
        replied = self._replied_at >= self._announce_began
        out.append(
            SendToWatchers(
                membership_messages.Announcement(own),
                "one",
                0 if replied else turn,
            )
        )
        if not replied and now - self._announce_began >= DIRECT_WRITE_AFTER_S:
            self.on_announcement(
                now, membership_messages.Announcement(own), "", own=True
            )

    # Writing.

    def _defer(self, now: float, service: str, delay: float) -> _Update:
        """Returns the pending update of a service, due after ``delay``."""
        pending = self._updates.get(service)
        if pending is None:
            pending = _Update(now + BATCH_S + delay)
            self._updates[service] = pending
        elif not pending.desired and not pending.attempts:
            pending.due_at = min(pending.due_at, now + BATCH_S + delay)
        return pending

    def _submit(self, now: float, service: str, member: objects.Member) -> None:
        pending = self._defer(now, service, 0.0)
        if not pending.desired and not pending.attempts and _is_idle(pending):
            pending.due_at = min(pending.due_at, now + BATCH_S)
        old = pending.desired.get(member.host)
        pending.desired[member.host] = merge_member(old, member)
        pending.desired_at[member.host] = now

    def _back_off(self, now: float, pending: _Update) -> None:
        wait = min(RETRY_S * 2.0**pending.attempts, MAX_RETRY_S)
        pending.attempts = min(pending.attempts + 1, 20)
        pending.due_at = now + wait * self._rng.uniform(0.5, 1.5)

    def _write(
        self, now: float, service: str, pending: _Update, out: list[Any]
    ) -> None:
        key = objects.MEMBERSHIP_PREFIX + service
        if pending.call == "unread":
            # The outcome of the last write is still unknown.
            if len(self._deadlines) < MAX_INFLIGHT:
                pending.call = "read"
                self._deadlines[key] = now + CALL_TIMEOUT_S
                self.counts["reads"] += 1
                out.append(ReadObject(key))
            else:
                pending.due_at = now + RETRY_S
            return
        self._prune(now, service, pending)
        if self._updates.get(service) is not pending:
            return
        merged = self._merge(now, service, pending)
        current = self._store.membership(service)
        if merged is None or merged == current:
            # Only removals beyond the removal limit are pending.
            pending.due_at = now + 1.0
            return
        if len(self._deadlines) >= MAX_INFLIGHT or not self._take_token(now):
            pending.due_at = now + RETRY_S * self._rng.uniform(0.5, 1.5)
            return
        pending.call = "write"
        self._deadlines[key] = now + CALL_TIMEOUT_S
        self.counts["writes"] += 1
        expected = self._store.version(key)
        out.append(WriteObject(key, objects.encode(merged), expected))

    def _take_token(self, now: float) -> bool:
        burst = max(self._write_rate, 1.0)
        gained = max(now - self._tokens_at, 0.0) * self._write_rate
        self._tokens = min(self._tokens + gained, burst)
        self._tokens_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _merge(
        self, now: float, service: str, pending: _Update
    ) -> objects.Membership | None:
        """Returns the membership with all pending changes applied."""
        pending.removal_count = 0
        membership = self._store.membership(service)
        members = {
            member.host: member
            for member in (membership.members if membership else ())
        }
        for host, announced in pending.desired.items():
            old = members.get(host)
            if announced.incarnation < self._newest.get(host, (0, 0.0))[0]:
                continue
            if old is None and self._has_ended(service, announced):
                continue
            members[host] = merge_member(old, announced)
        for host, incarnation in pending.removals.items():
            member = members.get(host)
            if member is None or member.incarnation != incarnation:
                continue
            if is_gone(member):
                continue
            if not self._may_remove(now, service, members.values()):
                self.counts["removals_held"] += 1
                continue
            pending.removal_count += 1
            members[host] = mark_gone(member)
        for host, incarnation in pending.purges.items():
            member = members.get(host)
            if (
                member is not None
                and member.incarnation == incarnation
                and is_gone(member)
            ):
                del members[host]
        if membership is None and not members:
            return None
        return state_overrides.apply_overrides(
            objects.Membership(
                service=service,
                members=tuple(members.values()),
                holds=membership.holds if membership else (),
            )
        )

    def _may_remove(
        self, now: float, service: str, members: Iterable[objects.Member]
    ) -> bool:
        """Returns True if the removal limit allows one more removal.

        Fewer than half of the members may go within ``REMOVAL_WINDOW_S``, and
        those that left count: the object does not tell them from removed ones,
        and the limit holds for all watchers together.
        """
        gone_at = self._gone_at.get(service, {})
        total = removed = 0
        for member in members:
            if not is_gone(member):
                total += 1
                continue
            entry = (member.host, member.incarnation)
            if now - gone_at.get(entry, now) < REMOVAL_WINDOW_S:
                total += 1
                removed += 1
        return 2 * (removed + 1) < total

    def _prune(self, now: float, service: str, pending: _Update) -> None:
        """Drops changes that the object reflects or that are outdated."""
        for host, announced in list(pending.desired.items()):
            current = self._member(service, host)
            newest = self._newest.get(host, (0, 0.0))[0]
            if (
                announced.incarnation < newest
                or now - pending.desired_at[host] > DESIRED_TTL_S
                or (current is None and self._has_ended(service, announced))
                or (
                    current is not None
                    and merge_member(current, announced) == current
                )
            ):
                del pending.desired[host]
        for host, incarnation in list(pending.removals.items()):
            current = self._member(service, host)
            suspicion = self._suspicions.get(host)
            fresh = suspicion is not None and (
                sum(now - at <= SUSPECT_S for at in suspicion.reports.values())
                >= 2
            )
            if (
                current is None
                or current.incarnation != incarnation
                or is_gone(current)
                or not fresh
            ):
                del pending.removals[host]
        for host, incarnation in list(pending.purges.items()):
            current = self._member(service, host)
            if current is None or current.incarnation != incarnation:
                del pending.purges[host]
        if not (pending.desired or pending.removals or pending.purges):
            del self._updates[service]

    def _sweep(self, now: float, watching: bool) -> None:
        """Schedules the deletion of gone members, and drops old state."""
        later = [now + GONE_KEPT_S]
        for service, entries in self._gone_at.items():
            for (host, incarnation), at in entries.items():
                if now < at + GONE_KEPT_S:
                    later.append(at + GONE_KEPT_S)
                    continue
                later.append(now + GONE_KEPT_S)
                if watching:
                    # Random, so that one watcher deletes it and the others see.
                    delay = self._rng.uniform(0.0, 20 * STAGGER_S)
                    pending = self._defer(now, service, delay)
                    pending.purges[host] = incarnation
        self._sweep_at = min(later)
        for host, (_, at) in list(self._newest.items()):
            if now - at > ENDED_S and host not in self._listed:
                del self._newest[host]
        for host, suspicion in list(self._suspicions.items()):
            if all(now - at > SUSPECT_S for at in suspicion.reports.values()):
                del self._suspicions[host]
        for ended, (_, at) in list(self._ended.items()):
            if now - at > ENDED_S:
                del self._ended[ended]
        for host, (_, until) in list(self._nonces.items()):
            if now > until:
                del self._nonces[host]
        for entry, until in list(self._next_report_at.items()):
            if now > until + SUSPECT_S:
                del self._next_report_at[entry]


def _retire_service(
    record: membership_messages.HostRecord, service: str
) -> membership_messages.HostRecord:
    """Returns a record with the upstreams of one service gone."""
    alone = msgspec.structs.replace(
        record,
        upstreams=tuple(u for u in record.upstreams if u.service == service),
    )
    others = tuple(u for u in record.upstreams if u.service != service)
    return msgspec.structs.replace(
        record, upstreams=others + with_state(alone, "gone").upstreams
    )


def _is_idle(pending: _Update) -> bool:
    """Returns True if no platform call of the object is in progress."""
    return pending.call in ("", "unread")
