"""Following a prefix of the key-value service: a watch wakes, a read tells."""

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

    :ivar refresh: reads and takes in the present state; returns the revision read
    :ivar is_answering: whether the key-value service answered last time
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
                await self._follow_once()
                backoff_s = FIRST_BACKOFF_S
                continue
            except keyvalue.CompactedError:
                continue
            except keyvalue.KeyValueError as error:
                if self.is_answering:
                    backoff_s = FIRST_BACKOFF_S
                self._note(False, str(error))
            # Jitter keeps all entries from calling at once when the service returns.
            await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _follow_once(self) -> None:
        revision = await self.refresh()
        self._note(True, "")
        # A watch whose connection died unnoticed stays silent for ever, and its reader would keep
        # old facts; hence the read at an interval.
        with trio.move_on_after(REFRESH_INTERVAL_S * self.rng.uniform(0.8, 1.2)):
            async with self.client.watch(self.prefix, revision + 1) as revisions:
                async for changed in revisions:
                    if changed > revision:
                        revision = await self.refresh()

    def _note(self, is_answering: bool, reason: str) -> None:
        if is_answering != self.is_answering:
            event = events.Event.PLATFORM_BACK if is_answering else events.Event.PLATFORM_LOST
            events.log(LOGGER, event, prefix=self.prefix, reason=reason)
        self.is_answering = is_answering
