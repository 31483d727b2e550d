"""Runs one attempt of a call on one backend server."""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import calls, health, outcomes, retry_budget, silence
from toucanhold.registry import servers
from toucanhold.routes import table
from toucanhold.routing import sse

# Responses that are not streamed are buffered in memory; these services send no larger ones.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
FIRST_SERVER_ERROR_STATUS = 500

# Fraction of a route's objective that a request may spend in the queue, unless it is learned. Under
# load, the first event of a stream takes about half of the objective (90 to 180 ms of 200 to
# 300 ms), a lookup a third.
QUEUE_TIME_FRACTION = 0.4

LOGGER = logging.getLogger(__name__)


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


@attrs.define(eq=False)
class CallState:
    """State of a call across its attempts on several servers.

    :ivar workspace: owner of the caller's key; None on public routes
    :ivar deadline_s: trio clock time at which the caller's or the route's timeout expires
    :ivar reply: receives the response
    :ivar server_id: server of the current or last attempt
    :ivar attempt_count: number of attempts in which a server may have started to run the call
    :ivar extra_attempts: attempts allowed beyond the route's limit, at most one; granted to a
        started stream if a server failed before it sent any event of it
    :ivar may_wait_at_server: whether all slots of the server were in use when the attempt started
    :ivar is_trial: whether the current or last attempt was a trial at a suspended server
    :ivar min_initial_fraction: least fraction of the route's timeout that callers start with
    :ivar failed_connects: number of servers to which no connection could be opened
    :ivar queue_fraction: fraction of the route's objective that it may spend in the queue
    :ivar has_response_started: whether the start of a response was sent to the caller
    :ivar last_event_id: ID of the last event that the caller has received; None before the first
    :ivar has_arrived: whether a server has received the call, or may have
    :ivar retry: retry by which the current or next attempt is made; None without one
    :ivar unplaced_count: number of times that no server was found for a retry
    :ivar progress: progress of the current or last attempt
    """

    call: calls.Call
    route: table.Route
    service: table.Service
    workspace: table.Workspace | None
    deadline_s: float
    reply: calls.Reply
    server_id: str = ""
    attempt_count: int = 0
    extra_attempts: int = 0
    may_wait_at_server: bool = False
    is_trial: bool = False
    min_initial_fraction: float = 1.0
    failed_connects: int = 0
    queue_fraction: float = QUEUE_TIME_FRACTION
    has_response_started: bool = False
    has_arrived: bool = False
    retry: retry_budget.Retry | None = None
    unplaced_count: int = 0
    last_event_id: int | None = attrs.field(init=False)
    progress: AnswerProgress = attrs.field(factory=AnswerProgress, init=False)
    _event_id_before_attempt: int | None = None

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

    def record_lost_response(self) -> None:
        """Record that the last attempt's response was lost."""
        got_no_events = self.last_event_id == self._event_id_before_attempt
        if self.has_response_started and got_no_events:
            self.extra_attempts = 1

    def record_attempt(self, server_id: str) -> None:
        """Record that the call is sent to a server."""
        self.server_id = server_id
        self.attempt_count += 1
        self.progress = AnswerProgress()
        self._event_id_before_attempt = self.last_event_id

    def log_retry(self, is_sent: bool) -> None:
        """Log that this attempt sends the call once more, or that it could not."""
        if self.retry is not None and self.has_arrived:
            self.retry.log(self.call.call_id, self.server_id, is_sent)

    def record_arrival(self) -> None:
        """Record that the server of the current attempt has received the call, or may have."""
        if self.retry is not None and self.has_arrived:
            self.retry.settle()
            self.retry = None
        self.cancel_retry()
        self.has_arrived = True

    def cancel_retry(self) -> None:
        """Give back a retry that no server has received."""
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have started to run the call."""
        return self.attempt_count > 0

    @property
    def workspace_name(self) -> str:
        """Name of the workspace that owns the caller's key; empty on public routes."""
        return self.workspace.name if self.workspace is not None else ""


async def run_attempt(
    state: CallState,
    server: servers.Server,
    client: calls.ServerClient,
    silence_detector: silence.SilenceDetector,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
    observed: outcomes.ObservedAttempt,
) -> int:
    """Send a call to one server and forward the response to the caller.

    :param may_fail_over: returns whether another server could take over the call
    :param observed: notified of the attempt's events and of its end
    :return: HTTP status of the response
    :raises calls.NotRunError: if the server did not run the call
    :raises calls.ResponseLostError: if the server may have run the call, but the caller has no
        complete response; the call may be retried on another server if its route allows that
    """
    forwarded = _forwarded_call(state)
    _log_attempt(state, server, forwarded)
    state.record_attempt(server.server_id)
    state.log_retry(is_sent=True)
    try:
        with observed.watch():
            if state.route.is_stream:
                return await _stream_response(
                    state,
                    forwarded,
                    server,
                    client,
                    silence_detector,
                    server_health,
                    may_fail_over,
                    observed,
                )
            async with client.exchange(server, forwarded) as response:
                state.record_arrival()
                return await _forward_buffered(state, response, server_health, may_fail_over)
    except calls.NotRunError as error:
        state.attempt_count -= 1
        if error.was_sent:
            state.record_arrival()
        else:
            state.log_retry(is_sent=False)
        raise
    except BaseException:
        state.record_arrival()
        raise


def _forwarded_call(state: CallState) -> calls.ForwardedCall:
    return calls.ForwardedCall(
        state.call,
        state.workspace_name,
        state.deadline_s - trio.current_time(),
        state.last_event_id,
        state.route.is_stream,
        state.urgency,
    )


async def _stream_response(
    state: CallState,
    forwarded: calls.ForwardedCall,
    server: servers.Server,
    client: calls.ServerClient,
    silence_detector: silence.SilenceDetector,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
    observed: outcomes.ObservedAttempt,
) -> int:
    stream = silence.WatchedStream(
        server.server_id, may_fail_over, state.longest_pause_s, state.may_wait_at_server
    )
    if state.route.may_repeat:
        silence_detector.add(stream)
    status = 0
    try:
        with stream.scope:
            async with client.exchange(server, forwarded) as response:
                state.record_arrival()
                if response.status == 200:
                    status = await _forward_stream(state, response, stream, observed)
                    server_health.record_outcome(server.server_id, is_failure=False)
                else:
                    status = await _forward_buffered(state, response, server_health, may_fail_over)
    finally:
        if state.route.may_repeat:
            silence_detector.remove(stream)
    if stream.scope.cancelled_caught:
        raise calls.ResponseLostError(
            f"the server sent no events for {stream.silent_s:.3f} s",
            decided_by=calls.Decider.ENTRY,
        )
    return status


async def _forward_stream(
    state: CallState,
    response: calls.Response,
    stream: silence.WatchedStream,
    observed: outcomes.ObservedAttempt,
) -> int:
    splitter = sse.EventSplitter()
    state.progress.is_end_certain = not response.ends_with_connection
    async for chunk in response.chunks:
        stream.record_event()
        observed.record_event()
        new_events = bytearray()
        for event in splitter.feed(chunk):
            state.progress.record_event()
            if _record_event_if_new(state, event):
                new_events += event.raw
        if new_events:
            await _start_response(state, response)
            await state.reply.send(bytes(new_events))
    if splitter.has_partial_event:
        raise calls.ResponseLostError(
            "the stream ended in the middle of an event", is_connection_lost=True
        )
    if not state.progress.event_count and response.ends_with_connection:
        raise calls.ResponseLostError(
            "the connection ended before the first event", is_connection_lost=True
        )
    await _start_response(state, response)
    await state.reply.finish()
    return response.status


async def _start_response(state: CallState, response: calls.Response) -> None:
    if not state.has_response_started:
        state.has_response_started = True
        await state.reply.start(response.status, response.headers, None)


def _record_event_if_new(state: CallState, event: sse.ServerSentEvent) -> bool:
    """Record an event's ID and return whether the caller has not received the event yet.

    Events without a numeric ID are always forwarded.

    :raises calls.ResponseLostError: if events are missing before this one
    """
    if not event.event_id.isdigit():
        return True
    event_number = int(event.event_id)
    last_number = state.last_event_id
    if last_number is not None and event_number <= last_number:
        return False
    if last_number is not None and event_number > last_number + 1:
        raise calls.ResponseLostError(
            f"gap in the stream: event {event_number} follows event {last_number}"
        )
    state.last_event_id = event_number
    return True


async def _forward_buffered(
    state: CallState,
    response: calls.Response,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
) -> int:
    body = bytearray()
    async for chunk in response.chunks:
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise calls.ResponseLostError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
    is_failure = response.status >= FIRST_SERVER_ERROR_STATUS
    if is_failure and state.route.may_repeat and may_fail_over():
        # Servers fail some requests that they could serve; another server responds in time.
        raise calls.ResponseLostError(
            f"the server responded with status {response.status}",
            decided_by=calls.Decider.ENTRY,
        )
    server_health.record_outcome(state.server_id, is_failure)
    if state.has_response_started:
        raise calls.ResponseLostError(
            f"the stream was not resumed: expected status 200, got {response.status}"
        )
    state.has_response_started = True
    await state.reply.start(response.status, response.headers, len(body))
    await state.reply.send(bytes(body))
    await state.reply.finish()
    return response.status


def _log_attempt(state: CallState, server: servers.Server, forwarded: calls.ForwardedCall) -> None:
    membership = server.membership
    events.log(
        LOGGER,
        events.Event.CALL_PLACED,
        request_id=state.call.call_id,
        route=state.route.name,
        workspace=state.workspace_name,
        server=server.server_id,
        availability_zone=server.zone,
        group=membership.group if membership is not None else None,
        epoch=membership.epoch if membership is not None else None,
        waited_s=round(trio.current_time() - state.call.arrived_s, 3),
        remaining_s=round(forwarded.remaining_s, 3),
        urgency=forwarded.urgency.value,
        attempt=state.attempt_count + 1,
    )
