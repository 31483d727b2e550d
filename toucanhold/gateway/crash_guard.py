"""Keeps one call from the backend servers that it would crash, and learns from its attempts."""

from __future__ import annotations

import collections.abc
import contextlib
import logging

import attrs

from toucanhold import events
from toucanhold.gateway import attempt, call_state, calls, crashes, signatures

# A server crashes soon after it begins to write an answer on a crashing part. One that has written
# for this long, and this many events, does not crash because of it. A slow server needs the time
# for a single event.
SOUND_WRITING_S = 0.5
SOUND_EVENTS = 4

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class CrashGuard:
    """Blocks a call, and records the crashes and sound answers of its attempts.

    :ivar tracker: what is known of all requests and parts
    """

    tracker: crashes.CrashTracker
    call_id: str
    signature: signatures.Signature

    @property
    def is_blocked(self) -> bool:
        """Whether the call may not be sent to any server for now."""
        return any(map(self.tracker.is_blocked, self.signature.keys))

    def refusal_s(self) -> float:
        """Return for how long the call must be refused, and log that; 0 if it may be sent."""
        key = max(self.signature.keys, key=self.tracker.blocked_for_s)
        blocked_for_s = self.tracker.blocked_for_s(key)
        if blocked_for_s:
            events.log(
                LOGGER,
                events.Event.REQUEST_BLOCKED,
                request_id=self.call_id,
                fingerprint=key,
                crashes=self.tracker.count(key),
            )
        return blocked_for_s

    @contextlib.contextmanager
    def attempt(self) -> collections.abc.Iterator[None]:
        """Make an attempt; if the call is blamed for crashes, others wait for its result."""
        tried = [key for key in self.signature.keys if self.tracker.begin_trial(key)]
        if tried:
            events.log(
                LOGGER, events.Event.CULPRIT_TRIED, request_id=self.call_id, fingerprints=tried
            )
        try:
            yield
        finally:
            for key in tried:
                self.tracker.end_trial(key)

    def record_lost(
        self, server_id: str, error: calls.ResponseLostError, progress: call_state.AnswerProgress
    ) -> None:
        """Process that the response of a server was lost."""
        if _is_sound(progress):
            self._clear(self.signature.parts)
        elif error.is_connection_lost:
            self.tracker.record_crash(self.signature.request, server_id)
            for depth, key in enumerate(self.signature.parts):
                self.tracker.record_crash(key, server_id, depth)
            events.log(
                LOGGER,
                events.Event.REQUEST_SUSPECTED,
                request_id=self.call_id,
                fingerprint=self.signature.request,
                server=server_id,
                crashes=self.tracker.count(self.signature.request),
                parts=self.signature.parts,
                answer_events=progress.event_count,
                writing_s=round(progress.writing_s, 3),
            )

    def record_answer(self, status: int, progress: call_state.AnswerProgress) -> None:
        """Process that a server has sent a complete response."""
        # Servers also answer with an error if the deadline passes before they run a request.
        if status < attempt.FIRST_SERVER_ERROR_STATUS:
            self.tracker.clear(self.signature.request)
        if (progress.event_count and progress.is_end_certain) or _is_sound(progress):
            self._clear(self.signature.parts)

    def _clear(self, keys: collections.abc.Iterable[str]) -> None:
        for key in keys:
            self.tracker.clear(key)


def _is_sound(progress: call_state.AnswerProgress) -> bool:
    return progress.writing_s >= SOUND_WRITING_S and progress.event_count >= SOUND_EVENTS
