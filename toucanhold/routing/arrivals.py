"""Decides when an answer that keeps arriving is none, from what has arrived and when.

This module does no I/O. A server in trouble may send bytes without end, quickly or one by one. What
may be repeated is given up in time for another server to answer; what may run only once goes on
until its deadline, unless the bytes cannot be an answer.
"""

from __future__ import annotations

import collections.abc
import math

import attrs
import trio

from toucanhold.routing import sse

# Servers send the head of an answer, and each event of a stream, at once.
MAX_PART_S = 1.0
# Part of the time left at its first byte in which an answer has to be whole.
MAX_TIME_FRACTION = 0.5
CHECK_INTERVAL_S = 0.05
# Bytes without an event between two events of a stream, as of comments.
JUNK_LIMIT_BYTES = 16 * 1024


class EndlessAnswerError(Exception):
    """What a server sends is no answer, or will not be one in time."""


@attrs.define(eq=False)
class AnswerArrival:
    """The bytes of one answer, from its first to its last.

    :ivar deadline_s: trio clock time at which the answer is no longer wanted
    :ivar may_fail_over: returns whether another server could answer in place of this one
    """

    deadline_s: float
    may_fail_over: collections.abc.Callable[[], bool]
    _whole_until_s: float | None = attrs.field(default=None, init=False)
    _part_until_s: float = attrs.field(default=math.inf, init=False)
    _next_check_s: float = attrs.field(default=0.0, init=False)
    _junk_bytes: int = attrs.field(default=0, init=False)
    _duplicates: int = attrs.field(default=0, init=False)

    def record_read(self) -> None:
        """Record that bytes have arrived.

        :raises EndlessAnswerError: if the answer is to be given up
        """
        now_s = trio.current_time()
        if self._whole_until_s is None:
            self._whole_until_s = now_s + MAX_TIME_FRACTION * (self.deadline_s - now_s)
            self._part_until_s = now_s + MAX_PART_S
        until_s = min(self._whole_until_s, self._part_until_s)
        if now_s <= until_s or now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        if self.may_fail_over():
            raise EndlessAnswerError("the answer has begun and does not come to its end")

    def end_head(self, is_stream: bool) -> None:
        """Record that the head is complete."""
        self._part_until_s = math.inf
        if is_stream:
            self._whole_until_s = math.inf

    def record_event(self, event: sse.ServerSentEvent, is_new: bool, known_events: int) -> None:
        """Record an event of a stream.

        :param is_new: whether the caller has not received it yet
        :param known_events: number of events that the caller has received at most
        :raises EndlessAnswerError: if the stream is no answer to the request
        """
        self._part_until_s = math.inf
        if not event.has_content:
            self._junk_bytes += len(event.raw)
            if self._junk_bytes > JUNK_LIMIT_BYTES:
                raise EndlessAnswerError(f"more than {JUNK_LIMIT_BYTES} bytes without an event")
            return
        self._junk_bytes = 0
        if is_new:
            self._duplicates = 0
            return
        # A server that begins anew repeats each event that the caller has, and no other.
        self._duplicates += 1
        if self._duplicates > known_events:
            raise EndlessAnswerError("the server repeats events again and again")

    def record_rest(self, splitter: sse.EventSplitter) -> None:
        """Record what has arrived of the next event."""
        if not splitter.has_partial_event:
            self._part_until_s = math.inf
        elif self._part_until_s == math.inf:
            self._part_until_s = trio.current_time() + MAX_PART_S
