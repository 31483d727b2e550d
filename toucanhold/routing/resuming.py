"""Joins the streams of several attempts without losing or repeating a token."""

from __future__ import annotations

import copy

import attrs

from toucanhold import parsing
from toucanhold.backends import client
from toucanhold.routing import sse


class StreamGapError(client.AnswerLostError):
    """An engine skipped events or sent an invalid event id."""


@attrs.define(eq=False)
class StreamPosition:
    """How far a stream was forwarded to the caller.

    :ivar last_event_id: id of the last numbered event that was forwarded; None before the first
    :ivar has_begun: whether any event was forwarded
    :ivar is_complete: whether the end marker was forwarded
    """

    last_event_id: int | None = None
    has_begun: bool = False
    is_complete: bool = False
    _unnumbered_after_last: int = 0
    _duplicates_to_skip: int = 0

    def of_new_attempt(self) -> StreamPosition:
        """Return a copy for an attempt that starts over or continues after the last event."""
        position = copy.copy(self)
        position.begin_attempt()
        return position

    def begin_attempt(self) -> None:
        """Prepare for a stream that starts over or continues after the last event."""
        # Events without an id, such as the one with the finish reason, may be repeated after the
        # last numbered event.
        self._duplicates_to_skip = self._unnumbered_after_last

    def accept(self, event: sse.ServerSentEvent) -> bool:
        """Record an event; return whether it must be forwarded, that is, is no repetition.

        :raises StreamGapError: when events before it are missing or its id is not a number
        """
        if event.event_id:
            return self._accept_number(_parse_event_id(event.event_id))
        if event.is_end:
            self.is_complete = True
            return True
        if self._duplicates_to_skip:
            self._duplicates_to_skip -= 1
            return False
        self._unnumbered_after_last += 1
        self.has_begun = True
        return True

    def _accept_number(self, number: int) -> bool:
        expected = 0 if self.last_event_id is None else self.last_event_id + 1
        if number < expected:
            return False
        # Some engines count from 1, so a first id of 1 is no gap.
        if number > expected and (self.last_event_id is not None or number > 1):
            raise StreamGapError(f"expected event {expected}, got {number}")
        self.last_event_id = number
        self.has_begun = True
        self._unnumbered_after_last = self._duplicates_to_skip = 0
        return True


def _parse_event_id(event_id: bytes) -> int:
    number = parsing.digits(event_id.decode("latin-1"))
    if number is None:
        raise StreamGapError(f"expected a number as event id, got {event_id[:40]!r}")
    return number
