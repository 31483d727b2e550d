"""Follows a prefix of the key-value service: a watch signals changes, a read returns the state."""

import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import keyvalue

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
REFRESH_INTERVAL_S = 20.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class PrefixFollower:
    """Calls ``refresh`` whenever something under ``prefix`` may have changed.

    :ivar refresh: reads and applies the current state; returns the revision read
    :ivar rng: jitter of the backoff and of the refresh interval
    :ivar is_answering: whether the key-value service answers reads; a watch may be cut meanwhile
    """

    client: keyvalue.KeyValueClient
    prefix: str
    refresh: collections.abc.Callable[[], collections.abc.Awaitable[int]]
    rng: random.Random
    is_answering: bool = False

    async def run(self) -> None:
        """Follow until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                revision = await self._refresh()
                backoff_s = FIRST_BACKOFF_S
                await self._watch(revision)
                continue
            except keyvalue.CompactedError:
                continue
            except keyvalue.KeyValueError as error:
                LOGGER.debug("cannot follow %s: %s", self.prefix, error)
            # Jitter keeps the entries from calling all at once when the service recovers.
            await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _refresh(self) -> int:
        try:
            revision = await self.refresh()
        except keyvalue.KeyValueError as error:
            self._set_answering(False, str(error))
            raise
        self._set_answering(True, "")
        return revision

    async def _watch(self, revision: int) -> None:
        # A watch whose connection is dead without an error never reports a change, so its reader
        # would keep stale state; hence a read at an interval.
        with trio.move_on_after(REFRESH_INTERVAL_S * self.rng.uniform(0.8, 1.2)):
            async with self.client.watch(self.prefix, revision + 1) as revisions:
                async for changed_revision in revisions:
                    if changed_revision > revision:
                        revision = await self._refresh()

    def _set_answering(self, is_answering: bool, reason: str) -> None:
        if is_answering != self.is_answering:
            event = events.Event.PLATFORM_BACK if is_answering else events.Event.PLATFORM_LOST
            events.log(LOGGER, event, prefix=self.prefix, reason=reason)
        self.is_answering = is_answering
