"""Limits the processor time that parsing clients' requests takes from all other work."""

from __future__ import annotations

import collections.abc
import contextlib

import attrs
import trio

from toucanhold import parsing_effort

# Longest pause after a turn.
MAX_PAUSE_S = 0.05


@attrs.define(eq=False)
class ParsingTurns:
    """Lets connections with costly requests parse in turns, one at a time.

    While others wait, each turn is followed by a pause that is as long, so that all of them
    together take half of the processor at most.
    """

    queue: parsing_effort.TurnQueue = attrs.field(factory=parsing_effort.TurnQueue)
    _limiter: trio.CapacityLimiter = attrs.field(
        factory=lambda: trio.CapacityLimiter(1), init=False
    )
    _holder: parsing_effort.Effort | None = attrs.field(default=None, init=False)

    @contextlib.asynccontextmanager
    async def turn(self, effort: parsing_effort.Effort) -> collections.abc.AsyncIterator[None]:
        """Wait for a turn, which ends with the context or with :meth:`end`."""
        self.queue.join(effort)
        try:
            await self._limiter.acquire_on_behalf_of(effort)
        finally:
            self.queue.leave(effort)
        self._holder = effort
        began_s = trio.current_time()
        try:
            yield
            if self._holder is effort and not self.queue.is_empty:
                await trio.sleep(min(MAX_PAUSE_S, trio.current_time() - began_s))
        finally:
            self.end(effort)

    def end(self, effort: parsing_effort.Effort) -> None:
        """End the turn of a connection, if it has one."""
        if self._holder is effort:
            self._holder = None
            self._limiter.release_on_behalf_of(effort)
