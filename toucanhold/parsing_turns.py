"""Limits the processor time that parsing clients' requests takes from all other work."""

from __future__ import annotations

import collections.abc
import contextlib
import logging

import attrs
import trio

from toucanhold import events

# Events of the parser and reads of the socket that are free in each request. The events of ordinary
# requests are few, even of large ones: their chunks and packets hold thousands of bytes.
FREE_EVENTS = 1024
BYTES_PER_EVENT = 128
# A read costs about as much as this number of events.
READ_EVENTS = 8
# Longest pause after a turn.
MAX_PAUSE_S = 0.05
MAX_WAITING = 32

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Effort:
    """The parser's work for the present request of one connection.

    :ivar evict: closes the connection
    :ivar event_count: events of the parser, and reads in the same unit
    :ivar body_bytes: size of the body so far
    """

    evict: collections.abc.Callable[[], None]
    event_count: int = attrs.field(default=0, init=False)
    body_bytes: int = attrs.field(default=0, init=False)

    def restart(self) -> None:
        """Expect another request."""
        self.event_count = self.body_bytes = 0

    @property
    def is_turn_needed(self) -> bool:
        """Whether the connection must wait for a turn before it is parsed further."""
        return self.event_count > FREE_EVENTS + self.body_bytes // BYTES_PER_EVENT


@attrs.define(eq=False)
class TurnQueue:
    """Decides which of the connections that wait for a turn is closed if there are too many.

    It is the one that has caused the most events, without I/O or a clock.

    :ivar evicted_count: number of connections closed
    """

    max_waiting: int = MAX_WAITING
    evicted_count: int = attrs.field(default=0, init=False)
    _waiting: set[Effort] = attrs.field(factory=set, init=False)

    def join(self, effort: Effort) -> None:
        """Add a connection, and close one if too many wait."""
        self._waiting.add(effort)
        if len(self._waiting) > self.max_waiting:
            victim = max(self._waiting, key=lambda each: each.event_count)
            self._waiting.discard(victim)
            self.evicted_count += 1
            events.log(
                LOGGER,
                events.Event.CLIENT_EVICTED,
                reason="parser",
                parser_events=victim.event_count,
                body_bytes=victim.body_bytes,
            )
            victim.evict()

    def leave(self, effort: Effort) -> None:
        """Remove a connection."""
        self._waiting.discard(effort)

    @property
    def is_empty(self) -> bool:
        """Whether no connection waits."""
        return not self._waiting


@attrs.define(eq=False)
class ParsingTurns:
    """Lets connections with costly requests parse in turns, one at a time.

    While others wait, each turn is followed by a pause that is as long, so that all of them
    together take half of the processor at most.
    """

    queue: TurnQueue = attrs.field(factory=TurnQueue)
    _limiter: trio.CapacityLimiter = attrs.field(
        factory=lambda: trio.CapacityLimiter(1), init=False
    )
    _holder: Effort | None = attrs.field(default=None, init=False)

    @contextlib.asynccontextmanager
    async def turn(self, effort: Effort) -> collections.abc.AsyncIterator[None]:
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

    def end(self, effort: Effort) -> None:
        """End the turn of a connection, if it has one."""
        if self._holder is effort:
            self._holder = None
            self._limiter.release_on_behalf_of(effort)
