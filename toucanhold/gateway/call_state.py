"""Holds the state of a call, of its attempts on servers, and of those that run together."""

from __future__ import annotations

import attrs
import trio

from toucanhold import lifetime
from toucanhold.gateway import calls, outcomes, retry_budget
from toucanhold.registry import servers
from toucanhold.routes import table

# Fraction of a route's objective that a request may spend in the queue, unless it is learned. Under
# load, the first event of a stream takes about half of the objective (90 to 180 ms of 200 to
# 300 ms), a lookup a third.
QUEUE_TIME_FRACTION = 0.4


@attrs.define
class AnswerProgress:
    """How far a server has written the answer of an attempt.

    :ivar event_count: number of complete events
    :ivar writing_s: time from the first event to the last, in seconds; 0 without events
    :ivar is_end_certain: whether the answer would not look complete if it had been cut off
    """

    event_count: int = 0
    writing_s: float = 0.0
    is_end_certain: bool = True
    _first_event_s: float = 0.0

    def record_event(self) -> None:
        """Record that a complete event has arrived."""
        now_s = trio.current_time()
        if not self.event_count:
            self._first_event_s = now_s
        self.event_count += 1
        self.writing_s = now_s - self._first_event_s


@attrs.frozen
class BufferedAnswer:
    """A whole answer of a server that is not a stream."""

    status: int
    headers: calls.Headers
    body: bytes


@attrs.define(eq=False)
class CallState:
    """State of a call across its attempts on several servers.

    :ivar workspace: owner of the caller's key; None on public routes
    :ivar deadline_s: trio clock time at which the caller's or the route's timeout expires
    :ivar reply: receives the response
    :ivar lifetime: the time that this process has for answers
    :ivar excluded: IDs of the servers that failed it
    :ivar last_server_id: server of the attempt that started or failed last
    :ivar was_trial: whether that attempt was a trial at a suspended server
    :ivar attempt_count: number of attempts in which a server may have started to run the call
    :ivar extra_attempts: attempts allowed beyond the route's limit, at most one; granted to a
        started stream if an attempt ended before its server sent any event of it, for use after a
        failure
    :ivar min_initial_fraction: least fraction of the route's timeout that callers start with
    :ivar failed_connects: number of servers to which no connection could be opened
    :ivar queue_fraction: fraction of the route's objective that it may spend in the queue
    :ivar has_response_started: whether the start of a response was sent to the caller
    :ivar last_event_id: ID of the last event that the caller has received; None before the first
    :ivar has_arrived: whether a server has received the call, or may have
    :ivar retry: retry by which the next attempt is made; None without one
    :ivar unplaced_count: number of times that no server was found for a retry
    :ivar failure_answer: answer with a server's failure, for the caller if no other server answers
    """

    call: calls.Call
    route: table.Route
    service: table.Service
    workspace: table.Workspace | None
    deadline_s: float
    reply: calls.Reply
    lifetime: lifetime.Lifetime = attrs.field(factory=lifetime.Lifetime)
    excluded: set[str] = attrs.field(factory=set)
    last_server_id: str = ""
    was_trial: bool = False
    attempt_count: int = 0
    extra_attempts: int = 0
    min_initial_fraction: float = 1.0
    failed_connects: int = 0
    queue_fraction: float = QUEUE_TIME_FRACTION
    has_response_started: bool = False
    has_arrived: bool = False
    retry: retry_budget.Retry | None = None
    unplaced_count: int = 0
    failure_answer: BufferedAnswer | None = None
    last_event_id: int | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Resume the stream after the event that the caller received last."""
        self.last_event_id = self.call.last_event_id

    @property
    def latest_start_s(self) -> float:
        """Trio clock time by which an attempt must start for a response within the objective.

        A caller that retries after a refusal sends its remaining time. The time that it has
        already waited counts towards the objective, so the response may be late from the start.
        """
        initial_s = self.min_initial_fraction * self.route.timeout_s
        waited_before_s = initial_s - (self.call.deadline_s - self.call.arrived_s)
        allowed_s = self.queue_fraction * self.route.objective_s - max(0.0, waited_before_s)
        return self.call.arrived_s + allowed_s

    @property
    def urgency(self) -> calls.Urgency:
        """Urgency of an attempt that starts now."""
        if self.has_response_started:
            return calls.Urgency.RESUMED
        is_late = trio.current_time() > self.latest_start_s
        return calls.Urgency.LATE if is_late else calls.Urgency.IN_TIME

    @property
    def longest_pause_s(self) -> float:
        """Longest pause in seconds between events of a healthy server; 0 if unknown."""
        engine = self.service.engine
        if engine is None:
            return 0.0
        model = engine.model(self.call.model)
        return engine.longest_pause_s(model) if model is not None else 0.0

    @property
    def remaining_s(self) -> float:
        """Time left until the deadline, or until the end of this process."""
        return min(self.deadline_s, self.lifetime.end_s) - trio.current_time()

    @property
    def ends_too_late(self) -> bool:
        """Whether it has not been sent to a server, and may outlast this process if it is."""
        return not self.may_have_run and not self.lifetime.has_time_until(self.deadline_s)

    @property
    def attempts_left(self) -> int:
        """Number of further attempts that the route allows."""
        return self.route.max_attempts + self.extra_attempts - self.attempt_count

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have started to run the call."""
        return self.attempt_count > 0

    @property
    def workspace_name(self) -> str:
        """Name of the workspace that owns the caller's key; empty on public routes."""
        return self.workspace.name if self.workspace is not None else ""

    def cancel_retry(self) -> None:
        """Give back a retry by which no attempt was made."""
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None


@attrs.define(eq=False)
class AttemptState:
    """State of one attempt of a call.

    :ivar call_state: state of the call
    :ivar race: the attempts of the call that are under way
    :ivar observed: notified of the attempt's events and of its end
    :ivar may_wait_at_server: whether all slots of the server were in use when the attempt started
    :ivar retry: retry by which it is made; None without one, or once a server has received it
    :ivar progress: how far the server has written its answer
    :ivar scope: cancelled when the answer of another attempt is used instead
    :ivar is_silent: whether its server has been silent for too long
    """

    call_state: CallState
    server: servers.Server
    race: AttemptRace
    observed: outcomes.ObservedAttempt
    may_wait_at_server: bool = False
    retry: retry_budget.Retry | None = None
    progress: AnswerProgress = attrs.field(factory=AnswerProgress, init=False)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope, init=False)
    is_silent: bool = attrs.field(default=False, init=False)

    @property
    def is_trial(self) -> bool:
        """Whether the attempt is a trial at a suspended server."""
        return self.observed.attempt.is_trial

    def record_start(self) -> None:
        """Record that the call is sent to the server."""
        state = self.call_state
        state.attempt_count += 1
        self._record_as_last()
        self._log_retry(is_sent=True)

    def record_not_run(self, was_sent: bool) -> None:
        """Record that the server has not run the call.

        :param was_sent: whether it has received the call
        """
        self.call_state.attempt_count -= 1
        if was_sent:
            self.record_arrival()
        else:
            self._log_retry(is_sent=False)
            self._pass_on_retry()

    def record_arrival(self) -> None:
        """Record that the server has received the call, or may have."""
        if self.retry is not None and self.call_state.has_arrived:
            self.retry.settle()
        elif self.retry is not None:
            self.retry.cancel()
        self.retry = None
        self.call_state.has_arrived = True

    def _pass_on_retry(self) -> None:
        """Leave the retry to the next attempt, or give it back while others are under way."""
        retry, self.retry = self.retry, None
        if retry is not None and self.race.has_others(self):
            retry.cancel()
        elif retry is not None:
            self.call_state.retry = retry

    def record_unused_response(self) -> None:
        """Record that the response was lost, or another one is used instead."""
        if self.call_state.has_response_started and not self.progress.event_count:
            self.call_state.extra_attempts = 1

    def record_failure(self) -> None:
        """Record that the attempt has failed."""
        self.call_state.excluded.add(self.server.server_id)
        self._record_as_last()

    def _record_as_last(self) -> None:
        state = self.call_state
        state.last_server_id, state.was_trial = self.server.server_id, self.is_trial

    def _log_retry(self, is_sent: bool) -> None:
        if self.retry is not None and self.call_state.has_arrived:
            self.retry.log(self.call_state.call.call_id, self.server.server_id, is_sent)


@attrs.define(eq=False)
class AttemptRace:
    """The attempts of a call that are under way at the same time.

    A silent server may go on at any moment, so its attempt is cancelled only when another server
    has sent what the caller waits for.

    :ivar attempts: the attempts under way; more than one while a server is silent
    :ivar is_backup_starting: whether a further attempt is about to start
    :ivar failed_backups: number of further attempts that failed
    :ivar next_backup_s: trio clock time before which no further attempt is considered
    :ivar status: HTTP status of the complete response; None without one
    :ivar error: why the attempt that failed last did so; None if none failed
    """

    attempts: list[AttemptState] = attrs.field(factory=list)
    is_backup_starting: bool = False
    failed_backups: int = 0
    next_backup_s: float = 0.0
    status: int | None = None
    error: calls.ExchangeError | None = None

    async def claim(self, attempt: AttemptState) -> None:
        """Use the answer of one attempt from here on, and cancel the others.

        :raises trio.Cancelled: if the answer of another one is used already
        """
        if attempt.scope.cancel_called:
            await trio.lowlevel.checkpoint()
        for other in self.attempts:
            if other is not attempt:
                other.scope.cancel()

    def has_others(self, attempt: AttemptState) -> bool:
        """Return whether another attempt may still get an answer."""
        return any(
            other is not attempt and not other.scope.cancel_called for other in self.attempts
        )

    def is_silent(self) -> bool:
        """Return whether the servers of all attempts are silent."""
        return all(attempt.is_silent for attempt in self.attempts)
