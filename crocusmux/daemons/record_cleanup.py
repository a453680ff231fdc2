"""Deletes the records of agents whose hosts never come back."""

import asyncio
import logging
import random

from crocusmux import errors
from crocusmux import forwarding
from crocusmux.core.forward import stale_records

logger = logging.getLogger(__name__)

# Interval between two looks for a record that is due.
LOOK_INTERVAL_S = 1.0


class RecordCleaner:
    """Executes the deletions that ``StaleRecords`` selects.

    Attributes:
        records: All records of agents that write theirs again if it is lost.
    """

    def __init__(
        self, store: forwarding.Store, kind: str, rng: random.Random
    ) -> None:
        """Creates a cleaner; ``run`` makes the calls.

        Args:
            store: The store.
            kind: Kind of the agents' records.
            rng: Source of random numbers.
        """
        self.records = stale_records.StaleRecords(rng)
        self._store = store
        self._kind = kind

    async def run(self) -> None:
        """Deletes records until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            due = self.records.pop_due(loop.time())
            if due is not None:
                await self._delete(*due)

    async def _delete(self, host: str, revision: int) -> None:
        """Deletes a record; one that has changed meanwhile remains."""
        try:
            await self._store.delete(self._kind, host, revision)
        except errors.PlatformError as exc:
            logger.warning(
                "event=delete-failed agent=%s error=%r", host, str(exc)
            )
        else:
            logger.info(
                "event=record-deleted agent=%s revision=%d", host, revision
            )
