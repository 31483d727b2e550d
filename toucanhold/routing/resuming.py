"""Passing one stream on from several attempts, without a token lost or doubled."""

import attrs

from toucanhold.backends import client
from toucanhold.routing import sse


class StreamGapError(client.AnswerLostError):
    """An engine skipped events: the stream cannot be passed on."""


@attrs.define(eq=False)
class StreamPosition:
    """How far a stream was passed on.

    :ivar last_id: number of the last event passed on; None before the first with a number
    :ivar has_begun: whether anything was passed on
    :ivar is_complete: whether the end marker was passed on
    """

    last_id: int | None = None
    has_begun: bool = False
    is_complete: bool = False
    _after_last: int = 0
    _to_skip: int = 0

    def begin_attempt(self) -> None:
        """Expect the stream to start again, or to go on after the last event."""
        # Events without a number, such as the one that gives the reason of the end, may come a
        # second time after the last numbered one.
        self._to_skip = self._after_last

    def admits(self, event: sse.ServerSentEvent) -> bool:
        """Count an event; false where it was passed on before.

        :raises StreamGapError: when events are missing before it
        """
        if event.event_id:
            return self._admits_number(_number(event.event_id))
        if event.is_end:
            self.is_complete = True
            return True
        if self._to_skip:
            self._to_skip -= 1
            return False
        self._after_last += 1
        self.has_begun = True
        return True

    def _admits_number(self, number: int) -> bool:
        expected = 0 if self.last_id is None else self.last_id + 1
        if number < expected:
            return False
        # Some engines count from 1; only a gap after an event that was passed on is a loss.
        if number > expected and (self.last_id is not None or number > 1):
            raise StreamGapError(f"event {number} came instead of {expected}")
        self.last_id = number
        self.has_begun = True
        self._after_last = self._to_skip = 0
        return True


def _number(event_id: bytes) -> int:
    try:
        return int(event_id)
    except ValueError as error:
        raise StreamGapError(f"event id {event_id[:40]!r} is not a number") from error
