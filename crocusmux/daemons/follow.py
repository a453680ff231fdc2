"""Follows the objects of one kind in the store by list and watch."""

import asyncio
from collections.abc import Callable
import logging
import random

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.control import calls

logger = logging.getLogger(__name__)

# Longest watch that the store allows, as each call is billed.  Keep-alive
# probes detect a dead connection sooner.
WATCH_TIMEOUT_S = 30.0
# Wait of a check: a cheap watch that may be some seconds late, beside the exact
# watch.  It notices a change if the store loses the exact watch's answer without
# closing the connection.
CHECK_WAIT_S = 5.0
# Delay after a check that failed.
CHECK_RETRY_S = 1.0
# Delay after a check without a change, in case the store does not wait.
MIN_CHECK_GAP_S = 0.1
# Longest wait between two attempts while the store fails.
MAX_BACKOFF_S = 1.0
# Delay after a change until the next watch.  Changes come in series (hosts that
# start together, a service that is replaced), and each watch is a billed call
# of every follower.
BATCH_DELAY_S = 1.0

Deliver = Callable[[forwarding.Changes], None]


class Follower:
    """Lists the objects of a kind, then watches them; retries all failures.

    Attributes:
        listed: True once a list has been delivered.
        failed: True once a call has failed.
    """

    def __init__(
        self,
        store: forwarding.Store,
        kind: str,
        deliver: Deliver,
        rng: random.Random,
        batch_delay_s: float = BATCH_DELAY_S,
        allow_stale: bool = False,
        check: bool = False,
    ) -> None:
        """Creates a follower; ``run`` makes the calls.

        Args:
            store: The store.
            kind: Kind of the objects.
            deliver: Called with each batch of changes; must not raise.
            rng: Source of random numbers for jitter.
            batch_delay_s: Delay after a change until the next watch, seconds.
            allow_stale: True if changes may be delivered some seconds late;
                such watches cost less.  Lists are always current.
            check: True to notice soon that the store lost the answer to a
                watch, by checks.
        """
        self.listed = False
        self.failed = False
        self._store = store
        self._kind = kind
        self._deliver = deliver
        self._rng = rng
        self._batch_delay_s = batch_delay_s
        self._allow_stale = allow_stale
        self._check = check
        self._revision: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follows the kind until cancelled."""
        while True:
            try:
                await self._poll()
            except errors.PlatformError as exc:
                await self._on_failure(exc)
            else:
                self._on_success()

    async def read_current(self) -> None:
        """Delivers what has changed, without waiting for the watch.

        The watch delivers these changes again.

        Raises:
            errors.PlatformError: The store did not answer.
        """
        changes: forwarding.Changes | None = None
        if self._revision is not None:
            changes = await self._store.watch(self._kind, self._revision, 0.0)
        if changes is None:
            changes = await self._store.list(self._kind)
        self._deliver(changes)

    async def _poll(self) -> None:
        changes: forwarding.Changes | None
        if self._revision is None:
            changes = await self._store.list(self._kind)
            self.listed = True
        else:
            changes = await self._watch(self._revision)
        if changes is None:
            logger.warning("event=history-gone kind=%s", self._kind)
            self._revision = None
            return
        if self._revision is not None and changes.revision < self._revision:
            # A stale reply; its objects may have changed again since.
            await asyncio.sleep(self._batch_delay_s)
            return
        self._revision = changes.revision
        if changes.full or changes.items or changes.removed:
            self._deliver(changes)
            await asyncio.sleep(self._batch_delay_s)

    async def _watch(self, revision: int) -> forwarding.Changes | None:
        watch = asyncio.ensure_future(
            self._store.watch(
                self._kind, revision, WATCH_TIMEOUT_S, self._allow_stale
            )
        )
        if not self._check:
            return await watch
        checks = asyncio.ensure_future(self._find_missed_change(revision))
        try:
            await asyncio.wait(
                {watch, checks}, return_when=asyncio.FIRST_COMPLETED
            )
            # The exact watch first: a check may have the same change, stale.
            return watch.result() if watch.done() else checks.result()
        finally:
            watch.cancel()
            checks.cancel()

    async def _find_missed_change(
        self, revision: int
    ) -> forwarding.Changes | None:
        """Repeats checks until one has a change after a revision."""
        while True:
            try:
                changes = await self._store.watch(
                    self._kind, revision, CHECK_WAIT_S, allow_stale=True
                )
            except errors.PlatformError:
                # The exact watch tells whether the store is lost.
                await asyncio.sleep(CHECK_RETRY_S)
                continue
            if changes is None:
                return None
            if changes.revision < revision or not (
                changes.items or changes.removed
            ):
                await asyncio.sleep(MIN_CHECK_GAP_S)
                continue
            logger.warning("event=watch-lost kind=%s", self._kind)
            return changes

    async def _on_failure(self, exc: errors.PlatformError) -> None:
        self.failed = True
        if self._failures == 0:
            logger.warning(
                "event=store-lost kind=%s error=%r", self._kind, str(exc)
            )
        # The store may have dropped changes since the old revision, and a watch
        # from there would miss them without an error, so list everything.
        self._revision = None
        wait_s = min(calls.backoff_s(self._failures, self._rng), MAX_BACKOFF_S)
        self._failures += 1
        await asyncio.sleep(wait_s)

    def _on_success(self) -> None:
        if self._failures:
            logger.warning(
                "event=store-back kind=%s failures=%d",
                self._kind,
                self._failures,
            )
        self._failures = 0
