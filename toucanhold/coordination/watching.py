"""Following the key-value service by one watch."""

from __future__ import annotations

import abc
import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import clock, events
from toucanhold.coordination import keyvalue, mirror

# A connection that went silent is noticed this much later than the watch should have returned;
# those that follow this entry hear of servers that leave only after that, and are bound to stop
# sending to those within two seconds. Each return is paid for.
WATCH_WAIT_S = 1.0
FIRST_BACKOFF_S = 0.05
# An outage ends unannounced; the copy is behind by at most this after it.
MAX_BACKOFF_S = 0.4
# An entry that others will tell of the end asks less often: refused calls are paid for as well.
PATIENT_BACKOFF_S = 2.0
SOURCE_NAME = "the key-value service"

LOGGER = logging.getLogger(__name__)


class ChangeSource(abc.ABC):
    """Reads everything once, then what changes."""

    @abc.abstractmethod
    async def read_all(self, may_be_stale: bool) -> keyvalue.RangeResult:
        """Return all items, and a revision from which to follow them.

        :param may_be_stale: whether what was true seconds ago will do; such a read costs less
        :raises keyvalue.KeyValueError: when the service does not answer
        """

    @abc.abstractmethod
    async def read_changes(self, after_revision: int, wait_s: float) -> mirror.Changes:
        """Return the changes after a revision, waiting for the first of them.

        :raises keyvalue.CompactedError: when that history is no longer kept
        :raises keyvalue.KeyValueError: when the service does not answer
        """


@attrs.define(eq=False)
class ServiceWatch:
    """Keeps a copy up to date by calls to the service.

    :ivar max_backoff_s: longest pause between calls while the service does not answer
    :ivar gather_s: returns the pause before the next watch, in which further changes gather: each
        return of a watch is a call that the platform counts
    """

    source: ChangeSource
    copy: mirror.Mirror
    gather_s: collections.abc.Callable[[], float]
    rng: random.Random
    max_backoff_s: float = attrs.field(default=MAX_BACKOFF_S, init=False)

    async def run(self) -> None:
        """Follow until cancelled; the copy's revision tells where to go on."""
        backoff_s = FIRST_BACKOFF_S
        is_stale = not self.copy.revision
        while True:
            try:
                await self._advance(is_stale)
                is_stale = False
                backoff_s = FIRST_BACKOFF_S
                continue
            except keyvalue.CompactedError:
                is_stale = True
                events.log(LOGGER, events.Event.HISTORY_LOST, revision=self.copy.revision)
                continue
            except keyvalue.KeyValueError as error:
                failed = attrs.evolve(
                    self.copy.standing, is_answering=False, last_failure=clock.read()
                )
                self.copy.note_standing(failed, SOURCE_NAME, str(error))
            # Jitter keeps all entries from calling at once when the service returns.
            await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
            backoff_s = min(self.max_backoff_s, backoff_s * 2)

    async def _advance(self, is_stale: bool) -> None:
        if is_stale:
            # What an old first read lacks comes with the first watch. After a loss of history an
            # old read could begin where that loss lies, and again each time.
            may_be_stale = not self.copy.revision
            result = await self.source.read_all(may_be_stale)
            self._note_answer(is_newest=not may_be_stale)
            self.copy.replace(result)
            # An entry that finds one to follow in what it read is cancelled here, before it pays
            # for a watch.
            await trio.sleep(self.gather_s())
            return
        changes = await self.source.read_changes(self.copy.revision, WATCH_WAIT_S)
        self._note_answer(is_newest=True)
        self.copy.apply(changes)
        if not changes.is_empty:
            await trio.sleep(self.gather_s())

    def _note_answer(self, is_newest: bool) -> None:
        standing = attrs.evolve(self.copy.standing, is_answering=True)
        if not self.copy.is_answering:
            # The outage may have ended only now: to count from the last call that failed would give
            # registrations that lapsed in it too little time to return, and none at all where the
            # calls were seconds apart.
            standing = attrs.evolve(standing, last_failure=clock.read())
        if is_newest:
            standing = attrs.evolve(standing, confirmed=clock.read())
        self.copy.note_standing(standing, SOURCE_NAME)
