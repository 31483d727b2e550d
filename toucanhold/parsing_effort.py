"""Decides which clients' requests are costly to parse and which go, without I/O or a clock."""

from __future__ import annotations

import collections.abc
import logging

import attrs

from toucanhold import events

# Events of the parser and reads of the socket that are free in each request. The events of ordinary
# requests are few, even of large ones: their chunks and packets hold thousands of bytes.
FREE_EVENTS = 1024
BYTES_PER_EVENT = 128
# A read costs about as much as this number of events.
READ_EVENTS = 8
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

    It is the one that has caused the most events.

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
