"""Records of the running daemons, and queries of their state over HTTP.

A daemon writes its record under ``status/`` in the object API when it starts.
Its state changes often, so it is read from its HTTP server and not stored.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
import logging
from typing import Any
import urllib.parse

import msgspec

from crocusmux import addresses
from crocusmux import errors
from crocusmux import objects
from crocusmux.core.forward import explanation
from crocusmux.objectapi import client as objectapi_client
from crocusmux.objectapi import http

logger = logging.getLogger(__name__)

# Concurrent HTTP queries; fewer than the connections of the HTTP client.
MAX_CONCURRENT_QUERIES = 64
QUERY_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.25
# Attempts while another process writes the same record.
MAX_ANNOUNCE_ATTEMPTS = 3


class DaemonRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one daemon, with the key ``status/NAME``.

    Attributes:
        name: Name of its host.
        role: ``"balancer"`` or ``"agent"``.
        failure_domain: Its failure domain.
        http: ``ip:port`` of its HTTP server.
    """

    name: str
    role: str
    failure_domain: str
    http: str


class DaemonState(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of a daemon's reply to ``/status`` that operators see.

    Attributes:
        host: Name of its host.
        role: Role of the daemon.
        ready: True if the daemon serves.
        versions: Version in force of each configuration object, by key.
        since: Time at which it reached this state, as the daemon reports it.
    """

    host: str = ""
    role: str = ""
    ready: bool = False
    versions: dict[str, int] = {}
    since: Any = None


class DaemonReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of the query of one daemon.

    Attributes:
        daemon: Record of the daemon.
        state: State of the daemon; None if it did not reply.
        problem: Reason for a missing reply.
        behind: Keys of objects of which it has a stale version.
    """

    daemon: DaemonRecord
    state: DaemonState | None = None
    problem: str = ""
    behind: tuple[str, ...] = ()

    @property
    def healthy(self) -> bool:
        """True if the daemon serves and its configuration is up to date."""
        return bool(self.state and self.state.ready and not self.behind)


class LaggingDaemon(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon that has an older version in force than required."""

    name: str
    version: int
    problem: str = ""


async def announce_daemon(
    client: objectapi_client.Client, daemon: DaemonRecord
) -> None:
    """Writes the record of a daemon if it is missing or different.

    Raises:
        errors.PlatformError: The record was not written.
    """
    key = objects.STATUS_PREFIX + daemon.name
    body = msgspec.json.encode(daemon)
    for _ in range(MAX_ANNOUNCE_ATTEMPTS):
        stored = await client.get(key)
        if stored and stored.body == body:
            return
        try:
            await client.put(key, body, stored)
        except errors.ConflictError:
            continue
        return
    raise errors.ConflictError(
        "another process writes the same record",
        step="announce daemon",
        peer=daemon.name,
    )


async def delete_record(client: objectapi_client.Client, name: str) -> None:
    """Deletes the record of a host that was replaced or removed.

    Raises:
        errors.NotFoundError: There is no such record.
        errors.UserError: The daemon still replies.
        errors.PlatformError: The record was not deleted.
    """
    stored = await client.get(objects.STATUS_PREFIX + name)
    if stored is None:
        raise errors.NotFoundError(
            "is not listed under status/", step="forget daemon", peer=name
        )
    for daemon in _decode_records([stored]):
        if (await fetch_reports([daemon]))[0].state is not None:
            # A daemon writes its record only when it starts, so it would
            # not be listed until its next start.
            raise errors.UserError(
                f"still answers on {daemon.http}",
                step="forget daemon",
                peer=name,
            )
    await client.delete(stored)


async def list_daemons(client: objectapi_client.Client) -> list[DaemonRecord]:
    """Returns the records of all daemons, sorted by name."""
    return _decode_records((await client.list(objects.STATUS_PREFIX)).items)


def _decode_records(
    items: Iterable[objectapi_client.StoredObject],
) -> list[DaemonRecord]:
    records = []
    for stored in items:
        try:
            records.append(msgspec.json.decode(stored.body, type=DaemonRecord))
        except msgspec.DecodeError as exc:
            logger.warning("%s ignored, malformed: %s", stored.key, exc)
    return records


async def newest_versions(client: objectapi_client.Client) -> dict[str, int]:
    """Returns the stored version of each object that daemons watch."""
    versions = {}
    for prefix in (
        objects.IN_FORCE_KEY,
        objects.SERVICE_PREFIX,
        objects.MEMBERSHIP_PREFIX,
    ):
        for stored in (await client.list(prefix)).items:
            versions[stored.key] = stored.version
    return versions


async def fetch_reports(
    daemons: Sequence[DaemonRecord], newest: dict[str, int] | None = None
) -> list[DaemonReport]:
    """Queries the state of daemons; returns their reports in the same order.

    Args:
        daemons: Records of the daemons.
        newest: Newest version of each object, by key; None to use the newest
            that any daemon has, for example while the object API is down.
    """
    replies = await _query_all(daemons)
    if newest is None:
        newest = {}
        for state, _ in replies:
            for key, version in (state.versions if state else {}).items():
                newest[key] = max(version, newest.get(key, 0))
    return [
        DaemonReport(
            daemon=daemon,
            state=state,
            problem=problem,
            behind=_stale_keys(state, newest),
        )
        for daemon, (state, problem) in zip(daemons, replies, strict=True)
    ]


async def wait_in_force(
    daemons: Sequence[DaemonRecord],
    key: str,
    version: int,
    timeout_s: float,
    progress: Callable[[int, int], None],
) -> list[LaggingDaemon]:
    """Waits until all daemons have a version in force; returns the others.

    Args:
        daemons: Records of the daemons.
        key: Key of the object.
        version: Lowest version that each daemon must have.
        timeout_s: Longest wait, in seconds.
        progress: Called with the number of up-to-date daemons and the number
            of all daemons, each time the first number changes.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    pending = list(daemons)
    reported_count = -1
    while True:
        laggards = []
        replies = await _query_all(pending)
        for daemon, (state, problem) in zip(pending, replies, strict=True):
            current = state.versions.get(key, 0) if state else 0
            if current < version:
                laggard = LaggingDaemon(
                    name=daemon.name, version=current, problem=problem
                )
                laggards.append((daemon, laggard))
        pending = [daemon for daemon, _ in laggards]
        if len(daemons) - len(pending) != reported_count:
            reported_count = len(daemons) - len(pending)
            progress(reported_count, len(daemons))
        if not pending or loop.time() >= deadline:
            return [laggard for _, laggard in laggards]
        await asyncio.sleep(min(POLL_INTERVAL_S, deadline - loop.time()))


async def explain_route(
    balancers: Iterable[DaemonRecord], service: str, address: str, caller: str
) -> tuple[DaemonRecord, Any]:
    """Asks a balancer where it would send a caller's flow.

    Args:
        balancers: Records of balancers, tried in order.
        service: Name of the service.
        address: Name of the service's address.
        caller: ``ip:port`` of the caller.

    Returns:
        The first balancer that replied, and its reply decoded from JSON.

    Raises:
        errors.UserError: The balancer does not know the service or address.
        errors.PlatformUnavailableError: No balancer replied.
    """
    fetch = http.make_fetch()
    query = urllib.parse.urlencode(
        {"service": service, "address": address, "caller": caller}
    )
    problem, peer = "no balancer is listed under status/", "-"
    for balancer in balancers:
        url = f"http://{balancer.http}/explain?{query}"
        response = await fetch("GET", url, None, QUERY_TIMEOUT_S)
        peer = f"{balancer.name} ({balancer.http})"
        if 400 <= response.status < 500:
            raise errors.UserError(
                _single_line(response.body) or f"answered {response.status}",
                step="explain",
                peer=peer,
            )
        try:
            if response.status == 200:
                return balancer, msgspec.json.decode(response.body)
            problem = response.reason or f"answered {response.status}"
        except msgspec.DecodeError as exc:
            problem = f"answer is malformed: {exc}"
    raise errors.PlatformUnavailableError(problem, step="explain", peer=peer)


async def explain_flow(
    balancer: str, address: str, caller: str
) -> explanation.Explanation:
    """Asks a forwarding balancer where it would place a new flow now.

    Args:
        balancer: Control address of the balancer, ``ip:port``.
        address: Address of the route, ``ip:port``.
        caller: Address of the caller, ``ip:port``.

    Raises:
        errors.UserError: An address is malformed, or has no route.
        errors.PlatformUnavailableError: The balancer did not explain.
    """
    for text in (balancer, address, caller):
        _check_address(text)
    query = urllib.parse.urlencode({"address": address, "caller": caller})
    url = f"http://{balancer}/explain?{query}"
    response = await http.make_fetch()("GET", url, None, QUERY_TIMEOUT_S)
    if response.status == 200:
        try:
            return msgspec.json.decode(
                response.body, type=explanation.Explanation
            )
        except msgspec.DecodeError as exc:
            problem = f"answer is malformed: {exc}"
    else:
        problem = response.reason or _single_line(response.body)
        problem = problem or f"answered {response.status}"
    if 400 <= response.status < 500:
        raise errors.UserError(problem, step="explain flow", peer=balancer)
    raise errors.PlatformUnavailableError(
        problem, step="explain flow", peer=balancer
    )


def _check_address(text: str) -> None:
    try:
        addresses.check(addresses.split(text))
    except ValueError as exc:
        raise errors.UserError(str(exc), step="explain flow") from exc


async def _query_all(
    daemons: Sequence[DaemonRecord],
) -> list[tuple[DaemonState | None, str]]:
    fetch = http.make_fetch()
    query_slots = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query(daemon: DaemonRecord) -> tuple[DaemonState | None, str]:
        async with query_slots:
            url = f"http://{daemon.http}/status"
            response = await fetch("GET", url, None, QUERY_TIMEOUT_S)
        if not response.status:
            return None, response.reason
        try:
            # A daemon that is not ready may reply 503 with its state.
            return msgspec.json.decode(response.body, type=DaemonState), ""
        except msgspec.DecodeError as exc:
            return None, f"answer {response.status} is malformed: {exc}"

    return await asyncio.gather(*[query(daemon) for daemon in daemons])


def _stale_keys(
    state: DaemonState | None, newest: dict[str, int]
) -> tuple[str, ...]:
    if state is None:
        return ()
    versions = state.versions
    return tuple(k for k in sorted(newest) if versions.get(k, 0) < newest[k])


def _single_line(body: bytes) -> str:
    return " ".join(body.decode("utf-8", "replace").split())[:200]
