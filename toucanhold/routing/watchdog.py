"""Ends attempts whose backend server has ended, and reports those whose server is silent."""

import collections.abc

import attrs
import trio

from toucanhold import supervision
from toucanhold.observing import view
from toucanhold.routing import candidates

CHECK_INTERVAL_S = 0.25
STALL_TIMEOUT_S = 10.0


@attrs.define(eq=False)
class WatchedAttempt:
    """An attempt that may be cancelled and followed by another one.

    :ivar on_silent: called repeatedly with the reason while its backend server is silent
    :ivar scope: cancelled when its backend server has ended or another attempt's answer is used
    :ivar last_event_s: monotonic time of the last event; infinite while no event is due
    :ivar is_silent: whether its backend server has been silent for too long
    :ivar reason: why the attempt was ended; empty while it runs
    """

    candidate: candidates.Candidate
    on_silent: collections.abc.Callable[[str], None]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    last_event_s: float = float("inf")
    is_silent: bool = False
    reason: str = ""

    def record_event(self) -> None:
        """Record that a part of the answer has arrived."""
        self.last_event_s, self.is_silent = trio.current_time(), False

    def expect_event(self) -> None:
        """Record that a part of an event has arrived, so that its rest is due."""
        if self.last_event_s == float("inf"):
            self.last_event_s = trio.current_time()


@attrs.define(eq=False)
class Watchdog:
    """Monitors all attempts of idempotent requests in one task."""

    view: view.BackendView
    stall_timeout_s: float = STALL_TIMEOUT_S
    _attempts: set[WatchedAttempt] = attrs.field(factory=set)

    def add(self, attempt: WatchedAttempt) -> None:
        """Start watching an attempt."""
        self._attempts.add(attempt)

    def remove(self, attempt: WatchedAttempt) -> None:
        """Stop watching an attempt."""
        self._attempts.discard(attempt)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now_s = trio.current_time()
            for attempt in list(self._attempts):
                attempt.reason = attempt.reason or self._end_reason(attempt)
                silence = self._silence(attempt, now_s)
                if attempt.reason:
                    attempt.scope.cancel()
                elif silence:
                    attempt.is_silent = True
                    supervision.call(attempt.on_silent, silence)

    def _silence(self, attempt: WatchedAttempt, now_s: float) -> str:
        # A paused or unreachable backend server does not even close its connection; without this
        # check the caller would wait for the rest of its stream until the deadline.
        if now_s - attempt.last_event_s > self.stall_timeout_s:
            return f"the backend server sent no event for {self.stall_timeout_s:.0f} s"
        if self.view.is_silent(attempt.candidate.vm.vm, now_s):
            return "the backend server no longer responds"
        return ""

    def _end_reason(self, attempt: WatchedAttempt) -> str:
        candidate = attempt.candidate
        if self.view.is_refused(candidate.vm.vm):
            return "the backend server has ended"
        group = candidate.group
        if group is not None and self.view.is_ended(*group.generation_key):
            return "the group has lost a member"
        observation = self.view.observation(candidate.vm.vm)
        if observation is not None and observation.report.boot_id != candidate.report.boot_id:
            return "the backend server has restarted"
        return ""
