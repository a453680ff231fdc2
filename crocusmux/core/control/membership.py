"""Upstream states, their way into the memberships, suspicion and removal.

An agent announces all upstreams of its host in one record.  A watcher turns
records into conditional updates, one per service object and batch.  Each
update sets a wanted state and never repeats an effect: for one incarnation
of a host, states only move forward from joining to gone, and a higher
incarnation replaces a lower one.  So a lost answer is settled by reading the
object back, and two watchers that race merge to the same object.
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

STATES: tuple[objects.State, ...] = (
    "joining",
    "warming",
    "ready",
    "draining",
    "gone",
)
_RANK = {state: rank for rank, state in enumerate(STATES)}

BATCH_S = 0.2  # time in which records for one object are batched
RETRY_S = 0.2  # first retry after a conflict or an error
MAX_RETRY_S = 10.0
# Longer than the deadline of a write in the platform client.
ANSWER_S = 12.0
ANNOUNCE_S = 1.0  # first repetition of an announcement
MAX_ANNOUNCE_S = 15.0
DIRECT_AFTER_S = 3.0  # without a watcher's answer the agent writes itself
# 8 watchers stay below 200 platform writes a second together.
WRITES_PER_S = 20.0
# Agents without a watcher share this rate by the number of known daemons.
DIRECT_WRITES_PER_S = 100.0
CONFIRM_S = 10.0  # reports of two failure domains must lie so close
REPORT_S = 2.0  # a daemon repeats or forwards a report this often at most
STAGGER_S = 0.5  # the next watcher acts so much later
REMOVAL_WINDOW_S = 10.0
GONE_S = 30.0  # a removed member stays in the object
# An announcement can wait for minutes in the buffers of a broken connection.
# A host that no object lists is added only after it confirmed a number that
# the watcher drew, and the wish lapses unless it is repeated; both times
# together stay below GONE_S, so that a removed host is never added again by
# an announcement from before its removal.
NONCE_S = 5.0
WISH_S = 20.0
CLOSED_S = 600.0  # time for which replaced incarnations are remembered
MAX_INFLIGHT = 16
INCARNATION_SHIFT = 20


class SendToHost(msgspec.Struct, frozen=True, gc=False):
    """Output: send a message to the control URL of a host."""

    to: str
    message: Any


class ReadObject(msgspec.Struct, frozen=True, gc=False):
    """Output: read an object; answer by ``on_read``."""

    key: str


class WriteObject(msgspec.Struct, frozen=True, gc=False):
    """Output: conditional update; answer by ``on_written``.

    Attributes:
        key: Key of the object.
        body: New body.
        expected: Version the object must have; 0 if it must not exist.
    """

    key: str
    body: bytes
    expected: int


class SendToWatchers(msgspec.Struct, frozen=True, gc=False):
    """Output: send a message to watchers.

    Attributes:
        message: The message.
        scope: ``"one"``: the ``turn``-th of all known watchers, those of the
            own failure domain first; ``"near"``: the watchers of the own
            failure domain and one other, as both may have died; ``"all"``.
        turn: Number of the attempt, for ``"one"``.
    """

    message: Any
    scope: str
    turn: int = 0


class Replaced(msgspec.Struct, frozen=True, gc=False):
    """Output: a newer incarnation has taken over this host's name."""

    host: str
    newest: int


class Rejoined(msgspec.Struct, frozen=True, gc=False):
    """Output: this host was removed while alive and joins again.

    Attributes:
        incarnation: The incarnation it announces from now on.
    """

    incarnation: int


def new_incarnation(wall_ms: int, rng: random.Random, known: int = 0) -> int:
    """Returns an incarnation above all earlier ones of the host.

    The order of incarnations decides which of two records of a host is
    newer, so it rests on the wall clock at the start and on the newest
    incarnation known; the low bits are random.

    Args:
        wall_ms: Wall clock, milliseconds since 1970.
        rng: Random numbers.
        known: Newest incarnation known of the host, 0 if none.
    """
    drawn = (wall_ms << INCARNATION_SHIFT) | rng.getrandbits(10) << 10
    return max(drawn, known + 1)


def members_by_service(
    record: membership_messages.HostRecord,
) -> dict[str, objects.Member]:
    """Returns the member of each service that a record describes."""
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
    record: membership_messages.HostRecord, state: objects.State
) -> membership_messages.HostRecord:
    """Returns a record with all upstreams in one state."""
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
    """Returns the member after a wish was applied.

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
    """Returns a member with all its upstreams gone."""
    return msgspec.structs.replace(
        member,
        upstreams=tuple(
            msgspec.structs.replace(upstream, state="gone")
            for upstream in member.upstreams
        ),
    )


class _Pending:
    """Wishes for one membership object, and the call in progress."""

    __slots__ = (
        "attempts",
        "call",
        "due",
        "purges",
        "removals",
        "removing",
        "wished",
        "wishes",
    )

    def __init__(self, due: float) -> None:
        self.wishes: dict[str, objects.Member] = {}
        self.wished: dict[str, float] = {}
        self.removals: dict[str, int] = {}
        self.purges: dict[str, int] = {}
        self.removing = 0  # removals in the last merged object
        self.due = due
        self.attempts = 0
        self.call = ""  # "", "read" or "write"


class _Suspicion:
    """Reports about one incarnation of a host."""

    __slots__ = ("domains", "forwarded", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.domains: dict[str, float] = {}
        self.forwarded: dict[str, float] = {}


class MembershipManager:
    """Membership core of one daemon, as agent and as watcher.

    Attributes:
        record: The record this daemon announces; None on a balancer.
        replaced: True once a newer incarnation took over the host's name.
        counts: Counts of events, for the metrics.
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
        self._pending: dict[str, _Pending] = {}
        self._calls: dict[str, float] = {}
        self._tokens = 1.0
        self._tokens_at = -math.inf
        self._rate = WRITES_PER_S
        self._suspicions: dict[str, _Suspicion] = {}
        self._reported: dict[tuple[str, int], float] = {}
        # Services and incarnation of each host in the memberships.
        self._hosts: dict[str, dict[str, int]] = {}
        self._nonces: dict[str, tuple[int, float]] = {}
        # This host's member of each service as last seen.
        # Incarnations that were listed and no longer are: a host that was
        # paused meanwhile announces them until it learns of its removal.
        self._ended: dict[tuple[str, str], tuple[int, float]] = {}
        # Services from which an operator retired this process's upstreams.
        self._retired: set[str] = set()
        # The record without what an operator retired.
        self._full: membership_messages.HostRecord | None = None
        self._own_listed: dict[str, objects.Member] = {}
        self._newest: dict[str, tuple[int, float]] = {}
        self._listed: dict[str, tuple[str, ...]] = {}
        # When members of a service, by host and incarnation, were first seen
        # gone.
        self._gone_at: dict[str, dict[tuple[str, int], float]] = {}
        self._announce_at = math.inf
        self._announce_first = math.inf
        self._announce_turn = 0
        self._accepted_at = -math.inf
        self._began = 0.0
        self._sweep_at = 0.0
        for key in store.version_by_key():
            self.on_membership_changed(0.0, key)

    # Agent.

    def announce(
        self, now: float, record: membership_messages.HostRecord
    ) -> list[Any]:
        """Announces this host's record until the memberships show it."""
        if self.replaced:
            return []
        own = self.record
        if own is not None and record.incarnation < own.incarnation:
            record = msgspec.structs.replace(
                record, incarnation=own.incarnation
            )
        self._full = record
        for service in self._retired:
            record = _retired(record, service)
        newest = self._newest.get(record.host, (0, 0.0))[0]
        self.record = record
        if own is None:
            self._began = now
        if record.incarnation < newest:
            return self._overtaken(now, newest)
        self._announce_first = now
        self._announce_turn = 0
        self._announce_at = now
        return self.on_timer(now)

    def drain(self, now: float) -> list[Any]:
        """Announces all upstreams of this host as draining."""
        if self.record is None:
            return []
        return self.announce(now, with_state(self.record, "draining"))

    def is_reflected(self) -> bool:
        """Returns True if the memberships show the announced record."""
        if self.record is None:
            return True
        for service, member in members_by_service(self.record).items():
            current = self._member(service, member.host)
            if current is None:
                if not is_gone(member):
                    return False
            elif merge_member(current, member) != current:
                return False
        return not self._outdated(self.record)

    def report_suspect(
        self, now: float, host: str, incarnation: int
    ) -> list[Any]:
        """Reports that a host does not answer, at a bounded rate."""
        if now < self._reported.get((host, incarnation), -math.inf):
            return []
        self._reported[(host, incarnation)] = now + REPORT_S
        report = membership_messages.SuspectReport(
            host, incarnation, self.name, self.failure_domain
        )
        return [SendToWatchers(report, "near")]

    def on_announcement_reply(
        self, now: float, message: membership_messages.AnnouncementReply
    ) -> list[Any]:
        """Takes a watcher's answer to the own announcement."""
        own = self.record
        if own is None or message.host != own.host:
            return []
        if message.incarnation != own.incarnation:
            return []
        self._accepted_at = now
        if message.newest > own.incarnation:
            self._remember(now, own.host, message.newest)
            return self._overtaken(now, message.newest)
        return []

    # Watcher.

    def on_confirm_request(
        self, now: float, message: membership_messages.ConfirmRequest
    ) -> list[Any]:
        """Repeats the own announcement with the watcher's number."""
        own = self.record
        if own is None or self.replaced or message.host != own.host:
            return []
        if message.incarnation != own.incarnation:
            return []
        self._accepted_at = now
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
        """Takes an agent's record and returns the answer to it.

        Args:
            now: Time of the loop's clock.
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
        wishes = members_by_service(record)
        unlisted = any(
            self._member(service, record.host) is None and not is_gone(member)
            for service, member in wishes.items()
        )
        if unlisted and not own:
            nonce, until = self._nonces.get(record.host, (0, 0.0))
            if now >= until:
                nonce = self._rng.getrandbits(62) + 1
                self._nonces[record.host] = (nonce, now + NONCE_S)
            if message.nonce != nonce:
                return membership_messages.ConfirmRequest(
                    record.host, record.incarnation, nonce, control
                )
        self._remember(now, record.host, record.incarnation)
        for service in self._outdated(record):
            old = self._member(service, record.host)
            if old is not None:
                wishes[service] = mark_gone(
                    msgspec.structs.replace(old, incarnation=record.incarnation)
                )
        for service, member in wishes.items():
            current = self._member(service, record.host)
            if current is None and self._is_over(service, member):
                continue
            if current is None or merge_member(current, member) != current:
                self._wish(now, service, member)
        return membership_messages.AnnouncementReply(
            record.host, record.incarnation, record.incarnation
        )

    def on_suspect(
        self,
        now: float,
        report: membership_messages.SuspectReport,
        ranks: dict[str, int],
    ) -> list[Any]:
        """Takes a report; removes the host once two domains reported it.

        Args:
            now: Time of the loop's clock.
            report: The report.
            ranks: This watcher's place in the order of watchers, for each
                service that lists the host.
        """
        services = self._hosts.get(report.host, {})
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
        suspicion.domains[domain] = now
        passed = suspicion.forwarded.get(domain, -math.inf)
        if not report.forwarded and now >= passed:
            suspicion.forwarded[domain] = now + REPORT_S
            again = msgspec.structs.replace(report, forwarded=True)
            out.append(SendToWatchers(again, "all"))
        for service, incarnation in services.items():
            if incarnation == report.incarnation:
                self._consider(now, service, report.host, ranks)
        return out

    def _consider(
        self, now: float, service: str, host: str, ranks: dict[str, int]
    ) -> None:
        suspicion = self._suspicions[host]
        fresh = [
            at for at in suspicion.domains.values() if now - at <= CONFIRM_S
        ]
        member = self._member(service, host)
        if len(fresh) < 2 or member is None or is_gone(member):
            return
        pending = self._queue(now, service, STAGGER_S * ranks.get(service, 0))
        pending.removals[host] = suspicion.incarnation

    def on_written(
        self, now: float, key: str, version: int | None, problem: str = ""
    ) -> list[Any]:
        """Takes the result of a write.

        Args:
            now: Time of the loop's clock.
            key: Key of the object.
            version: Version after the write; None if it failed.
            problem: ``"conflict"``, ``"unknown"`` (the answer was lost) or
                ``"unavailable"``.  The caller offers a written object to the
                store before this call.
        """
        service = key.removeprefix(objects.MEMBERSHIP_PREFIX)
        pending = self._pending.get(service)
        self._calls.pop(key, None)
        if pending is None:
            return []
        pending.call = ""
        if version is not None:
            pending.attempts = 0
            self.counts["removals"] += pending.removing
            self._prune(now, service, pending)
            return self.on_timer(now)
        if problem in ("conflict", "unknown"):
            self.counts[
                "conflicts" if problem == "conflict" else "unknown"
            ] += 1
            # Read back before the next attempt: the write may have taken
            # effect, and another watcher may have changed the object.
            pending.call = "read"
            self._calls[key] = now + ANSWER_S
            self.counts["reads"] += 1
            self._back_off(now, pending)
            return [ReadObject(key)]
        self._back_off(now, pending)
        return []

    def on_read(self, now: float, key: str, answered: bool) -> list[Any]:
        """Takes the end of a read; the store has the object already."""
        service = key.removeprefix(objects.MEMBERSHIP_PREFIX)
        pending = self._pending.get(service)
        self._calls.pop(key, None)
        if pending is None:
            return []
        if answered:
            pending.call = ""
            self._prune(now, service, pending)
        else:
            pending.call = "unread"
            self._back_off(now, pending)
        return []

    # Both.

    def on_membership_changed(self, now: float, key: str) -> list[Any]:
        """Takes note of a changed membership object."""
        if not key.startswith(objects.MEMBERSHIP_PREFIX):
            return []
        service = key.removeprefix(objects.MEMBERSHIP_PREFIX)
        membership = self._store.membership(service)
        if membership is None:
            return []
        listed = {member.host: member for member in membership.members}
        seen = self._gone_at.pop(service, {})
        gone_at = {}
        for host, member in listed.items():
            self._hosts.setdefault(host, {})[service] = member.incarnation
            self._remember(now, host, member.incarnation)
            if is_gone(member):
                entry = (host, member.incarnation)
                gone_at[entry] = seen.get(entry, now)
                self._sweep_at = min(self._sweep_at, now + GONE_S)
        if gone_at:
            self._gone_at[service] = gone_at
        for host in self._listed.get(service, ()):
            if host not in listed:
                last = self._hosts[host].pop(service)
                self._ended[(service, host)] = (last, now)
                if not self._hosts[host]:
                    del self._hosts[host]
        self._listed[service] = tuple(listed)
        pending = self._pending.get(service)
        if pending is not None and not pending.call:
            self._prune(now, service, pending)
        own = self.record
        if own is None or self.replaced:
            return []
        before = self._own_listed.pop(service, None)
        if own.host in listed:
            self._own_listed[service] = listed[own.host]
            out = self._check_own(now, service, listed[own.host], before)
            if math.isinf(self._announce_at) and not self.is_reflected():
                # An operator let the upstreams take work again.
                self._announce_first = now
                self._announce_turn = 0
                self._announce_at = now + BATCH_S
            return out
        if before is None:
            return []
        wanted = members_by_service(own).get(service)
        if wanted is None or is_gone(wanted):
            return []
        if self._is_retired(service, wanted):
            self._retire(own, service)
            return []
        return self._rejoin(now, own)

    def services_of(self, host: str) -> list[str]:
        """Returns the services whose memberships list a host."""
        return list(self._hosts.get(host, ()))

    def incarnations(self, host: str) -> set[int]:
        """Returns the incarnations of a host that memberships list."""
        return set(self._hosts.get(host, {}).values())

    def awaits_drain(self, host: str, incarnation: int) -> bool | None:
        """Tells if a member up to an incarnation is not yet draining.

        Returns:
            True or False; None if no membership lists the incarnation or a
            newer one, and no older one takes work.
        """
        listed = False
        for service, known in self._hosts.get(host, {}).items():
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
        due = [p.due for p in self._pending.values() if _free(p)]
        due += self._calls.values()
        return min([*due, self._announce_at, self._sweep_at], default=math.inf)

    def on_timer(
        self, now: float, watching: bool = False, fleet: float = 0.0
    ) -> list[Any]:
        """Writes and announces what is due.

        Args:
            now: Time of the loop's clock.
            watching: True if this daemon is a watcher.
            fleet: Estimated number of daemons; 0 keeps the last estimate.
        """
        out: list[Any] = []
        if watching:
            self._rate = WRITES_PER_S
        elif fleet:
            self._rate = min(DIRECT_WRITES_PER_S / fleet, WRITES_PER_S)
        if now >= self._announce_at:
            self._repeat(now, out)
        for key, until in list(self._calls.items()):
            if now >= until:
                del self._calls[key]
                out += self._lost_call(now, key)
        for service, pending in list(self._pending.items()):
            if now >= pending.due and _free(pending):
                self._write(now, service, pending, out)
        if now >= self._sweep_at:
            self._sweep(now, watching)
        return out

    def _lost_call(self, now: float, key: str) -> list[Any]:
        service = key.removeprefix(objects.MEMBERSHIP_PREFIX)
        pending = self._pending.get(service)
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

    def _outdated(self, record: membership_messages.HostRecord) -> list[str]:
        """Returns services that list the host but not in this record."""
        named = {item.service for item in record.upstreams}
        found = []
        for service, known in self._hosts.get(record.host, {}).items():
            member = self._member(service, record.host)
            if (
                service not in named
                and known <= record.incarnation
                and member is not None
                and not is_gone(member)
            ):
                found.append(service)
        return found

    def _is_over(self, service: str, wish: objects.Member) -> bool:
        """Tells if an unlisted member must not be added."""
        ended = self._ended.get((service, wish.host), (-1, 0.0))[0]
        return is_gone(wish) or wish.incarnation <= ended

    def _remember(self, now: float, host: str, incarnation: int) -> None:
        newest = self._newest.get(host, (0, 0.0))[0]
        if incarnation >= newest:
            self._newest[host] = (incarnation, now)

    def _check_own(
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
            return self._overtaken(now, member.incarnation)
        if member.incarnation < own.incarnation:
            return []
        wanted = members_by_service(own).get(service)
        if service in self._retired and not is_gone(member):
            self._unretire(service)
            return []
        if not is_gone(member) or wanted is None or is_gone(wanted):
            return []
        if self._is_retired(service, wanted):
            self._retire(own, service)
            return []
        if (
            before is not None
            and before.incarnation == member.incarnation
            and all(
                _RANK[upstream.state] >= _RANK["draining"]
                for upstream in before.upstreams
            )
        ):
            # Drained, and then retired by a write without a hold.
            self._retire(own, service)
            return []
        return self._rejoin(now, own)

    def _is_retired(self, service: str, member: objects.Member) -> bool:
        """Tells whether an operator retired a member's upstreams."""
        names = [upstream.name for upstream in member.upstreams]
        return state_overrides.all_retired(
            self._store.membership(service), names
        )

    def _retire(
        self, own: membership_messages.HostRecord, service: str
    ) -> None:
        """Stops announcing the upstreams of one service."""
        self._retired.add(service)
        self.record = _retired(own, service)

    def _unretire(self, service: str) -> None:
        """Announces again what an operator added again."""
        self._retired.discard(service)
        record = self._full
        if record is None or self.record is None:
            return
        for other in self._retired:
            record = _retired(record, other)
        self.record = msgspec.structs.replace(
            record, incarnation=self.record.incarnation
        )

    def _rejoin(
        self, now: float, own: membership_messages.HostRecord
    ) -> list[Any]:
        """Joins again after a removal while alive.

        The states of one incarnation never move back, so this takes the
        next incarnation.
        """
        raised = msgspec.structs.replace(own, incarnation=own.incarnation + 1)
        self._remember(now, own.host, raised.incarnation)
        return [Rejoined(raised.incarnation), *self.announce(now, raised)]

    def _overtaken(self, now: float, newest: int) -> list[Any]:
        own = self.record
        if own is None or self.replaced:
            return []
        # Incarnations hold the wall clock of their start.  One from later
        # than the present by the own clock is of a predecessor with a faster
        # clock; any other one started after this process and replaces it.
        present = own.incarnation >> INCARNATION_SHIFT
        present += math.floor((now - self._began) * 1000)
        if newest >> INCARNATION_SHIFT > present:
            raised = msgspec.structs.replace(own, incarnation=newest + 1)
            return [Rejoined(newest + 1), *self.announce(now, raised)]
        self.replaced = True
        self._announce_at = math.inf
        return [Replaced(own.host, newest)]

    def _repeat(self, now: float, out: list[Any]) -> None:
        own = self.record
        if own is None or self.replaced or self.is_reflected():
            self._announce_at = math.inf
            return
        turn = self._announce_turn
        self._announce_turn += 1
        wait = min(ANNOUNCE_S * 1.5**turn, MAX_ANNOUNCE_S)
        self._announce_at = now + wait * self._rng.uniform(0.8, 1.2)
        # The next watcher is asked only if this one did not answer.
        heard = self._accepted_at >= self._announce_first
        out.append(
            SendToWatchers(
                membership_messages.Announcement(own),
                "one",
                0 if heard else turn,
            )
        )
        if not heard and now - self._announce_first >= DIRECT_AFTER_S:
            self.on_announcement(
                now, membership_messages.Announcement(own), "", own=True
            )

    # Writing.

    def _queue(self, now: float, service: str, delay: float) -> _Pending:
        pending = self._pending.get(service)
        if pending is None:
            pending = _Pending(now + BATCH_S + delay)
            self._pending[service] = pending
        elif not pending.wishes and not pending.attempts:
            pending.due = min(pending.due, now + BATCH_S + delay)
        return pending

    def _wish(self, now: float, service: str, member: objects.Member) -> None:
        pending = self._queue(now, service, 0.0)
        if not pending.wishes and not pending.attempts and _free(pending):
            pending.due = min(pending.due, now + BATCH_S)
        old = pending.wishes.get(member.host)
        pending.wishes[member.host] = merge_member(old, member)
        pending.wished[member.host] = now

    def _back_off(self, now: float, pending: _Pending) -> None:
        wait = min(RETRY_S * 2.0**pending.attempts, MAX_RETRY_S)
        pending.attempts = min(pending.attempts + 1, 20)
        pending.due = now + wait * self._rng.uniform(0.5, 1.5)

    def _write(
        self, now: float, service: str, pending: _Pending, out: list[Any]
    ) -> None:
        key = objects.MEMBERSHIP_PREFIX + service
        if pending.call == "unread":
            # The outcome of the last write is still open.
            if len(self._calls) < MAX_INFLIGHT:
                pending.call = "read"
                self._calls[key] = now + ANSWER_S
                self.counts["reads"] += 1
                out.append(ReadObject(key))
            else:
                pending.due = now + RETRY_S
            return
        self._prune(now, service, pending)
        if self._pending.get(service) is not pending:
            return
        wanted = self._merged(now, service, pending)
        current = self._store.membership(service)
        if wanted is None or wanted == current:
            # Only removals that the limit holds back are left.
            pending.due = now + 1.0
            return
        if len(self._calls) >= MAX_INFLIGHT or not self._token(now):
            pending.due = now + RETRY_S * self._rng.uniform(0.5, 1.5)
            return
        pending.call = "write"
        self._calls[key] = now + ANSWER_S
        self.counts["writes"] += 1
        expected = self._store.version(key)
        out.append(WriteObject(key, objects.encode(wanted), expected))

    def _token(self, now: float) -> bool:
        burst = max(self._rate, 1.0)
        gained = max(now - self._tokens_at, 0.0) * self._rate
        self._tokens = min(self._tokens + gained, burst)
        self._tokens_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _merged(
        self, now: float, service: str, pending: _Pending
    ) -> objects.Membership | None:
        """Returns the object with all wishes applied, in a fixed order."""
        pending.removing = 0
        membership = self._store.membership(service)
        members = {
            member.host: member
            for member in (membership.members if membership else ())
        }
        for host, wish in pending.wishes.items():
            old = members.get(host)
            if wish.incarnation < self._newest.get(host, (0, 0.0))[0]:
                continue
            if old is None and self._is_over(service, wish):
                continue
            members[host] = merge_member(old, wish)
        for host, incarnation in pending.removals.items():
            member = members.get(host)
            if member is None or member.incarnation != incarnation:
                continue
            if is_gone(member):
                continue
            if not self._may_remove(now, service, members.values()):
                self.counts["removals_held"] += 1
                continue
            pending.removing += 1
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
        """Tells if one more removal stays below half within the window.

        Members that left by themselves within the window count as well: the
        object does not tell them from removed ones, and the limit must hold
        for removals of all watchers together.
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

    def _prune(self, now: float, service: str, pending: _Pending) -> None:
        """Drops wishes that the object shows, or that are outdated."""
        for host, wish in list(pending.wishes.items()):
            current = self._member(service, host)
            newest = self._newest.get(host, (0, 0.0))[0]
            if (
                wish.incarnation < newest
                or now - pending.wished[host] > WISH_S
                or (current is None and self._is_over(service, wish))
                or (
                    current is not None
                    and merge_member(current, wish) == current
                )
            ):
                del pending.wishes[host]
        for host, incarnation in list(pending.removals.items()):
            current = self._member(service, host)
            suspicion = self._suspicions.get(host)
            fresh = suspicion is not None and (
                sum(now - at <= CONFIRM_S for at in suspicion.domains.values())
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
        if not (pending.wishes or pending.removals or pending.purges):
            del self._pending[service]

    def _sweep(self, now: float, watching: bool) -> None:
        """Queues the end of members gone for long, and forgets old state."""
        later = [now + GONE_S]
        for service, entries in self._gone_at.items():
            for (host, incarnation), at in entries.items():
                if now < at + GONE_S:
                    later.append(at + GONE_S)
                    continue
                later.append(now + GONE_S)
                if watching:
                    # Spread in time: each object is purged by one watcher,
                    # and the others find it done.
                    delay = self._rng.uniform(0.0, 20 * STAGGER_S)
                    pending = self._queue(now, service, delay)
                    pending.purges[host] = incarnation
        self._sweep_at = min(later)
        for host, (_, at) in list(self._newest.items()):
            if now - at > CLOSED_S and host not in self._hosts:
                del self._newest[host]
        for host, suspicion in list(self._suspicions.items()):
            if all(now - at > CONFIRM_S for at in suspicion.domains.values()):
                del self._suspicions[host]
        for ended, (_, at) in list(self._ended.items()):
            if now - at > CLOSED_S:
                del self._ended[ended]
        for host, (_, until) in list(self._nonces.items()):
            if now > until:
                del self._nonces[host]
        for entry, until in list(self._reported.items()):
            if now > until + CONFIRM_S:
                del self._reported[entry]


def _retired(
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


def _free(pending: _Pending) -> bool:
    """Returns True if no platform call of the object is in progress."""
    return pending.call in ("", "unread")
