"""The record by which balancers find an agent, and its calls to the store."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import random

import msgspec

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.control import calls
from crocusmux.core.forward import reports
from crocusmux.core.forward import upstreams

logger = logging.getLogger(__name__)

# Longest wait between two attempts to write the record.
MAX_WRITE_BACKOFF_S = 1.0
# Time limit for deleting the record when the upstream is gone.
WITHDRAW_TIMEOUT_S = 2.0
# Interval between looks at what the balancers say about the record.
LOOK_INTERVAL_S = 0.5
# Time after the record was written again until the next time, so that a wrong
# message costs few calls.
RESTORE_PAUSE_S = 2.0
# Longest interval between two attempts to create the record while no balancer
# subscribes.  All balancers may have dropped the agent with its record, and
# then none can tell it; the record must be back within 10 s.
UNSUBSCRIBED_INTERVAL_S = 8.0


class AgentRecordKeeper:
    """Writes an agent's record, again if it is lost, and deletes it."""

    def __init__(
        self,
        store: forwarding.Store,
        kind: str,
        record: upstreams.AgentRecord,
        rng: random.Random,
        *,
        first_start: bool,
        upstream_alive: Callable[[], bool],
    ) -> None:
        """Creates a keeper without calls to the store; ``run`` makes them.

        Args:
            store: The store.
            kind: Kind of the agents' records.
            record: The record of this incarnation.
            rng: Source of random numbers for jitter.
            first_start: True if the store has no records yet.
            upstream_alive: Returns True if the agent's upstream has neither
                left nor died.
        """
        self._store = store
        self._kind = kind
        self._record = record
        self._rng = rng
        self._first_start = first_start
        self._upstream_alive = upstream_alive
        self._loop = asyncio.get_running_loop()
        # Revision that this incarnation has written; None until it is known.
        self._revision: int | None = None
        self._lost_at = 0
        # Next attempt to create the record unless a balancer subscribes.
        self._create_at = float("inf")
        self._withdrawn = False

    def on_subscribe(self, message: reports.Subscribe) -> None:
        """Records what a balancer says about the record."""
        self._lost_at = max(self._lost_at, message.record_lost_at)
        valid_until = self._loop.time() + message.valid_s
        self._create_at = max(self._create_at, valid_until)

    async def run(self) -> None:
        """Announces the agent, and writes its record again when it is lost.

        The record of an agent whose upstream is gone is not written again: its
        address may be given to another host.
        """
        await self._retry("announce", self._announce, lambda: True)
        self._schedule_create()
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            if self._is_lost():
                await self._retry("restore", self._restore, self._is_lost)
                self._lost_at = 0
                await asyncio.sleep(RESTORE_PAUSE_S)
            elif self._loop.time() >= self._create_at and self._may_write():
                self._schedule_create()
                await self._create_unsubscribed()

    def _schedule_create(self) -> None:
        wait_s = UNSUBSCRIBED_INTERVAL_S * self._rng.uniform(0.75, 1)
        self._create_at = self._loop.time() + wait_s

    def _may_write(self) -> bool:
        return not self._withdrawn and self._upstream_alive()

    def _is_lost(self) -> bool:
        """Returns True if the newest write of this incarnation is lost.

        A balancer whose view of the store is older than that write names a
        lower revision.
        """
        return (
            self._may_write()
            and self._revision is not None
            and self._lost_at > self._revision
        )

    async def _retry(
        self,
        step: str,
        write: Callable[[], Awaitable[int]],
        needed: Callable[[], bool],
    ) -> None:
        """Repeats a write until it succeeds or is not needed any more."""
        failures = 0
        while needed():
            try:
                self._revision = await write()
            except errors.PlatformError as exc:
                if failures == 0:
                    logger.warning("event=%s-failed error=%r", step, str(exc))
                wait_s = calls.backoff_s(failures, self._rng)
                failures += 1
                await asyncio.sleep(min(wait_s, MAX_WRITE_BACKOFF_S))
            else:
                logger.info(
                    "event=%s revision=%d failures=%d",
                    "announced" if step == "announce" else "record-restored",
                    self._revision,
                    failures,
                )
                return

    async def _announce(self) -> int:
        """Creates or replaces the record, by the call that likely succeeds.

        Returns its revision.

        A restarted agent replaces the record that it finds: the host keeps its
        addresses, but its service may have changed.
        """
        spec = msgspec.json.encode(self._record)
        if not self._first_start:
            try:
                return await self._replace(spec)
            except errors.NotFoundError:
                logger.info("event=no-record outcome=create")
        return await self._create_or_replace(spec)

    async def _restore(self) -> int:
        """Writes the record again; returns its revision."""
        return await self._create_or_replace(self._encode_again())

    async def _create_unsubscribed(self) -> None:
        """Creates the record, which usually exists."""
        host = self._record.host
        try:
            self._revision = await self._store.create(
                self._kind, host, self._encode_again()
            )
        except errors.ConflictError:
            logger.info("event=unsubscribed outcome=record-exists")
        except errors.PlatformError as exc:
            logger.warning("event=restore-failed error=%r", str(exc))
        else:
            logger.info("event=record-restored revision=%d", self._revision)

    def _encode_again(self) -> bytes:
        """Returns the record with the revision of its first announcement."""
        if not self._record.announced and self._revision is not None:
            self._record = msgspec.structs.replace(
                self._record, announced=self._revision
            )
        return msgspec.json.encode(self._record)

    async def _create_or_replace(self, spec: bytes) -> int:
        try:
            return await self._store.create(self._kind, self._record.host, spec)
        except errors.ConflictError:
            return await self._replace(spec)

    async def _replace(self, spec: bytes) -> int:
        return await self._store.replace(self._kind, self._record.host, spec)

    async def withdraw(self) -> None:
        """Deletes the record that this incarnation has written.

        The store may apply the deletion after the agent's next start, whose
        record has another revision and remains.
        """
        self._withdrawn = True
        if self._revision is None:
            logger.info("event=not-withdrawn reason=not-announced")
            return
        host = self._record.host
        try:
            await asyncio.wait_for(
                self._store.delete(self._kind, host, self._revision),
                WITHDRAW_TIMEOUT_S,
            )
        except (errors.PlatformError, TimeoutError) as exc:
            logger.warning("event=withdraw-failed error=%r", str(exc))
        else:
            logger.info("event=withdrawn")
