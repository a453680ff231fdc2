"""The running daemons, as operators see them; prints nothing.

Each daemon keeps a record under ``status/`` in the platform that tells where
its HTTP server is; its state is asked from the daemon itself, so that the
platform takes no writes for it.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
import logging
from typing import Any
import urllib.parse

import msgspec

from crocusmux import errors
from crocusmux import objects
from crocusmux.objectapi import client as objectapi_client
from crocusmux.objectapi import http

logger = logging.getLogger("crocusmux.fleet")

# Daemons asked at the same time; below the HTTP client's connections.
MAX_ASKED = 64
ASK_TIMEOUT_S = 2.0
POLL_S = 0.25
# Writes of a record that another process with the same name races with.
MAX_ANNOUNCE = 3


class DaemonRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one daemon under ``status/NAME``.

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
    """What a daemon answers on ``/status``.

    Attributes:
        host: Name of its host.
        role: Its role.
        ready: True if it serves.
        versions: Version in force there of each configuration object.
        since: When it reached this state, as the daemon reports it.
    """

    host: str = ""
    role: str = ""
    ready: bool = False
    versions: dict[str, int] = {}
    since: Any = None


class DaemonReport(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon with its state.

    Attributes:
        daemon: The daemon.
        state: Its answer; None if there was none.
        problem: Why there was no answer.
        behind: Keys of which it has an older version than the newest.
    """

    daemon: DaemonRecord
    state: DaemonState | None = None
    problem: str = ""
    behind: tuple[str, ...] = ()

    @property
    def good(self) -> bool:
        """True if the daemon serves and has all newest versions."""
        return bool(self.state and self.state.ready and not self.behind)


class LaggingDaemon(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon that does not have a version in force yet."""

    name: str
    version: int
    problem: str = ""


async def announce_daemon(
    client: objectapi_client.Client, daemon: DaemonRecord
) -> None:
    """Writes the record of a daemon, unless it is there already.

    Raises:
        errors.PlatformError: It was not written.
    """
    key = objects.STATUS_PREFIX + daemon.name
    body = msgspec.json.encode(daemon)
    for _ in range(MAX_ANNOUNCE):
        known = await client.get(key)
        if known and known.body == body:
            return
        try:
            await client.put(key, body, known)
        except errors.ConflictError:
            continue
        return
    raise errors.ConflictError(
        "another process writes the same record",
        step="announce daemon",
        peer=daemon.name,
    )


async def delete_record(client: objectapi_client.Client, name: str) -> None:
    """Deletes the record of a host that was replaced or taken away.

    Raises:
        errors.NotFoundError: There is no such record.
        errors.UserError: The daemon still answers.
        errors.PlatformError: The record was not deleted.
    """
    stored = await client.get(objects.STATUS_PREFIX + name)
    if stored is None:
        raise errors.NotFoundError(
            "is not listed under status/", step="forget daemon", peer=name
        )
    for daemon in _decoded([stored]):
        if (await fetch_reports([daemon]))[0].state is not None:
            # A daemon writes its record only when it starts, so it would
            # stay out of sight until then.
            raise errors.UserError(
                f"still answers on {daemon.http}",
                step="forget daemon",
                peer=name,
            )
    await client.delete(stored)


async def list_daemons(client: objectapi_client.Client) -> list[DaemonRecord]:
    """Returns the records of all daemons, sorted by name."""
    return _decoded((await client.list(objects.STATUS_PREFIX)).items)


def _decoded(
    items: Iterable[objectapi_client.StoredObject],
) -> list[DaemonRecord]:
    found = []
    for stored in items:
        try:
            found.append(msgspec.json.decode(stored.body, type=DaemonRecord))
        except msgspec.DecodeError as exc:
            logger.warning("%s is malformed: %s", stored.key, exc)
    return found


async def newest_versions(client: objectapi_client.Client) -> dict[str, int]:
    """Returns the platform's version of each object that daemons follow."""
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
    known: Sequence[DaemonRecord], newest: dict[str, int] | None = None
) -> list[DaemonReport]:
    """Asks daemons for their state.

    Args:
        known: The daemons.
        newest: Version of each object to compare with; None to take the
            newest that any of them has, such as while the platform is down.

    Returns:
        One report for each daemon, in the same order.
    """
    answers = await _ask_all(known)
    if newest is None:
        newest = {}
        for state, _ in answers:
            for key, version in (state.versions if state else {}).items():
                newest[key] = max(version, newest.get(key, 0))
    return [
        DaemonReport(
            daemon=daemon,
            state=state,
            problem=problem,
            behind=_behind(state, newest),
        )
        for daemon, (state, problem) in zip(known, answers, strict=True)
    ]


async def wait_in_force(
    known: Sequence[DaemonRecord],
    key: str,
    version: int,
    timeout_s: float,
    progress: Callable[[int, int], None],
) -> list[LaggingDaemon]:
    """Waits until each daemon has a version of an object in force.

    Args:
        known: The daemons.
        key: Key of the object.
        version: Version that each must have, or a newer one.
        timeout_s: Time until the laggards are reported, seconds.
        progress: Called with the number of daemons that have it and of all,
            each time that the first changes.

    Returns:
        The daemons that did not have it in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    waiting = list(known)
    told = -1
    while True:
        laggards = []
        answers = await _ask_all(waiting)
        for daemon, (state, problem) in zip(waiting, answers, strict=True):
            has = state.versions.get(key, 0) if state else 0
            if has < version:
                late = LaggingDaemon(
                    name=daemon.name, version=has, problem=problem
                )
                laggards.append((daemon, late))
        waiting = [daemon for daemon, _ in laggards]
        if len(known) - len(waiting) != told:
            told = len(known) - len(waiting)
            progress(told, len(known))
        if not waiting or loop.time() >= deadline:
            return [late for _, late in laggards]
        await asyncio.sleep(min(POLL_S, deadline - loop.time()))


async def explain_route(
    known: Iterable[DaemonRecord], service: str, address: str, caller: str
) -> tuple[DaemonRecord, Any]:
    """Asks a balancer where it would send a caller's flow.

    Args:
        known: Balancers, tried in order.
        service: Name of the service.
        address: Name of the service's address.
        caller: ``ip:port`` of the caller.

    Returns:
        The balancer that answered, and its answer decoded from JSON.

    Raises:
        errors.UserError: The balancer does not know the service or address.
        errors.PlatformUnavailableError: No balancer answered.
    """
    fetch = http.make_fetch()
    query = urllib.parse.urlencode(
        {"service": service, "address": address, "caller": caller}
    )
    problem, peer = "no balancer is listed under status/", "-"
    for daemon in known:
        url = f"http://{daemon.http}/explain?{query}"
        answer = await fetch("GET", url, None, ASK_TIMEOUT_S)
        peer = f"{daemon.name} ({daemon.http})"
        if 400 <= answer.status < 500:
            raise errors.UserError(
                _one_line(answer.body) or f"answered {answer.status}",
                step="explain",
                peer=peer,
            )
        try:
            if answer.status == 200:
                return daemon, msgspec.json.decode(answer.body)
            problem = answer.reason or f"answered {answer.status}"
        except msgspec.DecodeError as exc:
            problem = f"answer is malformed: {exc}"
    raise errors.PlatformUnavailableError(problem, step="explain", peer=peer)


async def _ask_all(
    known: Sequence[DaemonRecord],
) -> list[tuple[DaemonState | None, str]]:
    fetch = http.make_fetch()
    free = asyncio.Semaphore(MAX_ASKED)

    async def ask(daemon: DaemonRecord) -> tuple[DaemonState | None, str]:
        async with free:
            url = f"http://{daemon.http}/status"
            answer = await fetch("GET", url, None, ASK_TIMEOUT_S)
        if not answer.status:
            return None, answer.reason
        try:
            # A daemon that is not ready may answer 503 with its state.
            return msgspec.json.decode(answer.body, type=DaemonState), ""
        except msgspec.DecodeError as exc:
            return None, f"answer {answer.status} is malformed: {exc}"

    return await asyncio.gather(*[ask(daemon) for daemon in known])


def _behind(
    state: DaemonState | None, newest: dict[str, int]
) -> tuple[str, ...]:
    if state is None:
        return ()
    has = state.versions
    return tuple(key for key in sorted(newest) if has.get(key, 0) < newest[key])


def _one_line(body: bytes) -> str:
    return " ".join(body.decode("utf-8", "replace").split())[:200]
