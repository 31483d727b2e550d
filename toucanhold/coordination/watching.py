"""Keeps a mirror up to date with one watch on the key-value service."""

from __future__ import annotations

import abc
import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import clock, events
from toucanhold.coordination import keyvalue, mirror, outages

# Longest wait of one watch call. A dead connection is detected only after this wait, and entries
# that follow this one must stop sending to leaving servers within two seconds. A shorter wait costs
# more: the platform charges for each call.
WATCH_WAIT_S = 1.0
FIRST_BACKOFF_S = 0.05
# The end of an outage is not announced, so the mirror may lag behind by up to this after it.
MAX_BACKOFF_S = 0.4
# An entry that learns of the end of an outage from others calls less often, because the platform
# charges for refused calls as well.
MAX_BACKOFF_WITH_SOURCES_S = 2.0
SERVICE_NAME = "the key-value service"

LOGGER = logging.getLogger(__name__)


class ChangeSource(abc.ABC):
    """Reads all items once, and then their changes."""

    @abc.abstractmethod
    async def read_all(self, may_be_stale: bool) -> keyvalue.RangeResult:
        """Return all items, and the revision from which to read their changes.

        :param may_be_stale: whether a state of some seconds ago suffices; such a read costs less
        :raises keyvalue.KeyValueError: when the service does not answer
        """

    @abc.abstractmethod
    async def read_changes(self, after_revision: int, wait_s: float) -> mirror.Changes:
        """Return the changes after a revision, waiting up to ``wait_s`` for the first of them.

        :raises keyvalue.CompactedError: when the history after the revision was compacted
        :raises keyvalue.KeyValueError: when the service does not answer
        """


@attrs.define(eq=False)
class ServiceWatch:
    """Keeps a mirror up to date by calls to the service.

    :ivar source: reads from the service
    :ivar batch_delay_s: returns the pause after a change before the next watch; changes in it come
        in one batch, because the platform charges for each watch call
    :ivar max_backoff_s: longest pause between calls while the service does not answer
    :ivar outage_detector: told of the outcomes of these calls, and of all others that are answered
    """

    source: ChangeSource
    kv_mirror: mirror.Mirror
    batch_delay_s: collections.abc.Callable[[], float]
    rng: random.Random
    max_backoff_s: float = attrs.field(default=MAX_BACKOFF_S, init=False)
    outage_detector: outages.OutageDetector = attrs.field(
        factory=outages.OutageDetector, init=False
    )

    async def run(self) -> None:
        """Watch from the mirror's revision until cancelled; read all items first where it is 0."""
        backoff_s = FIRST_BACKOFF_S
        cut_backoff_s = 0.0
        wait_s = WATCH_WAIT_S
        is_full_read_needed = not self.kv_mirror.revision
        while True:
            started_at = clock.now()
            try:
                await self._sync_once(is_full_read_needed, wait_s)
            except keyvalue.CompactedError:
                is_full_read_needed = True
                events.log(LOGGER, events.Event.HISTORY_LOST, revision=self.kv_mirror.revision)
                continue
            except keyvalue.KeyValueError as error:
                due_s = started_at.monotonic_s + (0.0 if is_full_read_needed else wait_s)
                due_at = attrs.evolve(started_at, monotonic_s=due_s)
                self._record_failure(due_at, str(error))
                # A watch that is cut again and again must not hide the changes between the cuts.
                wait_s = 0.0
                if not self.outage_detector.is_away:
                    cut_backoff_s = min(MAX_BACKOFF_S, max(FIRST_BACKOFF_S, 2 * cut_backoff_s))
                    backoff_s = FIRST_BACKOFF_S
                await self._sleep(backoff_s)
                backoff_s = min(self.max_backoff_s, backoff_s * 2)
                continue
            is_full_read_needed = False
            backoff_s = FIRST_BACKOFF_S
            if wait_s:
                cut_backoff_s = 0.0
            else:
                await self._sleep(cut_backoff_s)
            wait_s = WATCH_WAIT_S

    async def _sleep(self, backoff_s: float) -> None:
        # Jitter keeps the entries from calling all at once when the service recovers.
        await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))

    async def _sync_once(self, is_full_read_needed: bool, wait_s: float) -> None:
        if is_full_read_needed:
            # The first watch returns what a stale first read lacks. After a compaction, however, a
            # stale read could return a revision whose history is compacted, and again each time.
            may_be_stale = not self.kv_mirror.revision
            result = await self.source.read_all(may_be_stale)
            self._record_answer(is_current=not may_be_stale)
            self.kv_mirror.replace(result)
            # If the items read name an entry to follow, this task is cancelled here, before it
            # makes a watch call, for which the platform charges.
            await trio.sleep(self.batch_delay_s())
            return
        changes = await self.source.read_changes(self.kv_mirror.revision, wait_s)
        self._record_answer(is_current=True)
        self.kv_mirror.apply(changes)
        if not changes.is_empty:
            await trio.sleep(self.batch_delay_s())

    def _record_answer(self, is_current: bool) -> None:
        self.outage_detector.record_answer()
        sync_status = attrs.evolve(
            self.kv_mirror.sync_status, is_answering=True, last_failure_at=self._last_failure_at()
        )
        if is_current:
            sync_status = attrs.evolve(sync_status, confirmed_at=clock.now())
        self.kv_mirror.update_sync_status(sync_status, SERVICE_NAME)

    def _record_failure(self, due_at: clock.Instant, reason: str) -> None:
        self.outage_detector.record_failure(due_at)
        if not self.outage_detector.is_away:
            events.log(
                LOGGER,
                events.Event.WATCH_CUT,
                reason=reason,
                revision=self.kv_mirror.revision,
            )
            return
        failed_status = attrs.evolve(
            self.kv_mirror.sync_status, is_answering=False, last_failure_at=self._last_failure_at()
        )
        self.kv_mirror.update_sync_status(failed_status, SERVICE_NAME, reason)

    def _last_failure_at(self) -> clock.Instant:
        # Until now the mirror may have followed another entry, which saw a later outage.
        known_at, away_at = self.kv_mirror.sync_status.last_failure_at, self.outage_detector.away_at
        return away_at if away_at.age_s() < known_at.age_s() else known_at
