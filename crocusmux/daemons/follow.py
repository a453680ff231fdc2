"""Follows the objects of one kind in the store."""

import asyncio
from collections.abc import Callable
import logging
import random

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.control import calls

logger = logging.getLogger(__name__)

# Wait of one watch, the longest that the store allows, as each call is paid
# for.  Keep-alive probes show sooner that a connection has fallen silent.
WATCH_TIMEOUT_S = 30.0
# Longest wait between two attempts while the store fails.
MAX_BACKOFF_S = 1.0
# Wait after a change before the next watch, seconds.  Changes come in series
# (hosts that start together, a service that is replaced), and each answer of
# a watch is a call that every follower pays for.
GATHER_S = 1.0

Deliver = Callable[[forwarding.Changes], None]


class Follower:
    """Lists a kind, then watches it, through all failures of the store.

    Attributes:
        listed: True once a list has been delivered.
    """

    def __init__(
        self,
        store: forwarding.Store,
        kind: str,
        deliver: Deliver,
        rng: random.Random,
        gather_s: float = GATHER_S,
    ) -> None:
        """Prepares to follow a kind.

        Args:
            store: The store.
            kind: Kind of the objects.
            deliver: Takes each batch of changes; it must not raise.
            rng: Random numbers for jitter.
            gather_s: Wait after a change before the next watch, seconds.
        """
        self.listed = False
        self._store = store
        self._kind = kind
        self._deliver = deliver
        self._rng = rng
        self._gather_s = gather_s
        self._revision: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follows until it is cancelled."""
        while True:
            try:
                await self._poll()
            except errors.PlatformError as exc:
                await self._on_failure(exc)
            else:
                self._on_success()

    async def _poll(self) -> None:
        changes: forwarding.Changes | None
        if self._revision is None:
            changes = await self._store.list(self._kind)
            self.listed = True
        else:
            changes = await self._store.watch(
                self._kind, self._revision, WATCH_TIMEOUT_S
            )
        if changes is None:
            logger.warning("event=history-gone kind=%s", self._kind)
            self._revision = None
            return
        self._revision = changes.revision
        if changes.full or changes.items or changes.removed:
            self._deliver(changes)
            await asyncio.sleep(self._gather_s)

    async def _on_failure(self, exc: errors.PlatformError) -> None:
        if self._failures == 0:
            logger.warning(
                "event=store-lost kind=%s error=%r", self._kind, str(exc)
            )
        # A watch that starts again at the old revision may wait although the
        # store has dropped changes since then, so everything is listed.
        self._revision = None
        wait = min(calls.backoff_s(self._failures, self._rng), MAX_BACKOFF_S)
        self._failures += 1
        await asyncio.sleep(wait)

    def _on_success(self) -> None:
        if self._failures:
            logger.warning(
                "event=store-back kind=%s failures=%d",
                self._kind,
                self._failures,
            )
        self._failures = 0
