"""Keeps a mirror up to date with one watch on the key-value service."""

from __future__ import annotations

import abc
import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import clock, events
from toucanhold.coordination import keyvalue, mirror

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
    """

    source: ChangeSource
    kv_mirror: mirror.Mirror
    batch_delay_s: collections.abc.Callable[[], float]
    rng: random.Random
    max_backoff_s: float = attrs.field(default=MAX_BACKOFF_S, init=False)

    async def run(self) -> None:
        """Watch from the mirror's revision until cancelled; read all items first where it is 0."""
        backoff_s = FIRST_BACKOFF_S
        is_full_read_needed = not self.kv_mirror.revision
        while True:
            try:
                await self._sync_once(is_full_read_needed)
                is_full_read_needed = False
                backoff_s = FIRST_BACKOFF_S
                continue
            except keyvalue.CompactedError:
                is_full_read_needed = True
                events.log(LOGGER, events.Event.HISTORY_LOST, revision=self.kv_mirror.revision)
                continue
            except keyvalue.KeyValueError as error:
                failed_status = attrs.evolve(
                    self.kv_mirror.sync_status, is_answering=False, last_failure_at=clock.now()
                )
                self.kv_mirror.update_sync_status(failed_status, SERVICE_NAME, str(error))
            # Jitter keeps the entries from calling all at once when the service recovers.
            await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
            backoff_s = min(self.max_backoff_s, backoff_s * 2)

    async def _sync_once(self, is_full_read_needed: bool) -> None:
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
        changes = await self.source.read_changes(self.kv_mirror.revision, WATCH_WAIT_S)
        self._record_answer(is_current=True)
        self.kv_mirror.apply(changes)
        if not changes.is_empty:
            await trio.sleep(self.batch_delay_s())

    def _record_answer(self, is_current: bool) -> None:
        sync_status = attrs.evolve(self.kv_mirror.sync_status, is_answering=True)
        if not self.kv_mirror.is_answering:
            # The outage may have ended only now. Counting from the last failed call would leave too
            # little time for registrations that expired in the outage to be renewed, and none at
            # all where the calls were seconds apart.
            sync_status = attrs.evolve(sync_status, last_failure_at=clock.now())
        if is_current:
            sync_status = attrs.evolve(sync_status, confirmed_at=clock.now())
        self.kv_mirror.update_sync_status(sync_status, SERVICE_NAME)
