"""Runs one attempt of a call on one backend server."""

from __future__ import annotations

import collections.abc
import contextlib
import logging

import trio

from toucanhold import events, parsing
from toucanhold.gateway import call_state, calls, health, silence
from toucanhold.routing import sse

# Responses that are not streamed are buffered in memory; these services send no larger ones.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
FIRST_SERVER_ERROR_STATUS = 500

LOGGER = logging.getLogger(__name__)


async def run_attempt(
    current: call_state.AttemptState,
    client: calls.ServerClient,
    silence_detector: silence.SilenceDetector,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
    on_silent: collections.abc.Callable[[silence.Silence], None],
) -> int:
    """Send a call to one server and forward the response to the caller.

    :param may_fail_over: returns whether another server could take over the call
    :param on_silent: called repeatedly while the server of a stream is silent
    :return: HTTP status of the response
    :raises calls.NotRunError: if the server did not run the call
    :raises calls.ResponseLostError: if the server may have run the call, but the caller has no
        complete response; the call may be retried on another server if its route allows that
    """
    state = current.call_state
    forwarded = _forwarded_call(state)
    _log_attempt(current, forwarded)
    current.record_start()
    try:
        with current.observed.watch():
            if state.route.is_stream:
                with _watched(current, silence_detector, on_silent) as stream:
                    async with client.exchange(current.server, forwarded) as response:
                        current.record_arrival()
                        if response.status != 200:
                            return await _forward_buffered(
                                current, response, server_health, may_fail_over
                            )
                        status = await _forward_stream(current, response, stream)
                        server_health.record_outcome(current.server.server_id, is_failure=False)
                        return status
            async with client.exchange(current.server, forwarded) as response:
                current.record_arrival()
                return await _forward_buffered(current, response, server_health, may_fail_over)
    except calls.NotRunError as error:
        current.record_not_run(error.was_sent)
        raise
    except BaseException:
        current.record_arrival()
        raise


def _forwarded_call(state: call_state.CallState) -> calls.ForwardedCall:
    return calls.ForwardedCall(
        state.call,
        state.workspace_name,
        state.remaining_s,
        state.last_event_id,
        state.route.is_stream,
        state.urgency,
    )


@contextlib.contextmanager
def _watched(
    current: call_state.AttemptState,
    silence_detector: silence.SilenceDetector,
    on_silent: collections.abc.Callable[[silence.Silence], None],
) -> collections.abc.Iterator[silence.WatchedStream]:
    """Watch a stream for silence, if another server may go on with it."""
    state = current.call_state
    stream = silence.WatchedStream(
        current.server.server_id, on_silent, state.longest_pause_s, current.may_wait_at_server
    )
    if not state.route.may_repeat:
        yield stream
        return
    silence_detector.add(stream)
    try:
        yield stream
    finally:
        silence_detector.remove(stream)


async def _forward_stream(
    current: call_state.AttemptState,
    response: calls.Response,
    stream: silence.WatchedStream,
) -> int:
    state = current.call_state
    splitter = sse.EventSplitter()
    current.progress.is_end_certain = not response.ends_with_connection
    async for chunk in response.chunks:
        if current.scope.cancel_called:
            # Another attempt's answer is used since this chunk arrived.
            await trio.lowlevel.checkpoint()
        stream.record_event()
        current.is_silent = False
        current.observed.record_event()
        new_events = bytearray()
        for event in splitter.feed(chunk):
            current.progress.record_event()
            if _record_event_if_new(state, event):
                new_events += event.raw
        if new_events:
            await _start_response(current, response)
            await state.reply.send(bytes(new_events))
    if splitter.has_partial_event:
        raise calls.ResponseLostError(
            "the stream ended in the middle of an event", is_connection_lost=True
        )
    if not current.progress.event_count and response.ends_with_connection:
        raise calls.ResponseLostError(
            "the connection ended before the first event", is_connection_lost=True
        )
    await _start_response(current, response)
    await state.reply.finish()
    return response.status


async def _start_response(current: call_state.AttemptState, response: calls.Response) -> None:
    state = current.call_state
    await current.race.claim(current)
    if not state.has_response_started:
        state.has_response_started = True
        await state.reply.start(response.status, response.headers, None)


def _record_event_if_new(state: call_state.CallState, event: sse.ServerSentEvent) -> bool:
    """Record an event's ID and return whether the caller has not received the event yet.

    Events without a numeric ID are always forwarded.

    :raises calls.ResponseLostError: if events are missing before this one
    """
    event_number = parsing.digits(event.event_id.decode("latin-1"))
    if event_number is None:
        return True
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
    current: call_state.AttemptState,
    response: calls.Response,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
) -> int:
    state = current.call_state
    body = bytearray()
    async for chunk in response.chunks:
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise calls.ResponseLostError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
    answer = call_state.BufferedAnswer(response.status, response.headers, bytes(body))
    is_failure = response.status >= FIRST_SERVER_ERROR_STATUS
    if is_failure and (
        current.race.has_others(current) or (state.route.may_repeat and may_fail_over())
    ):
        # Servers fail some requests that they could serve; another server responds in time.
        state.failure_answer = answer
        raise calls.ResponseLostError(
            f"the server responded with status {response.status}",
            decided_by=calls.Decider.ENTRY,
        )
    server_health.record_outcome(current.server.server_id, is_failure)
    if state.has_response_started:
        raise calls.ResponseLostError(
            f"the stream was not resumed: expected status 200, got {response.status}"
        )
    await current.race.claim(current)
    await forward_answer(state, answer)
    return response.status


async def forward_answer(state: call_state.CallState, answer: call_state.BufferedAnswer) -> None:
    """Send a whole answer to the caller, who has received nothing yet."""
    state.has_response_started = True
    await state.reply.start(answer.status, answer.headers, len(answer.body))
    await state.reply.send(answer.body)
    await state.reply.finish()


def _log_attempt(current: call_state.AttemptState, forwarded: calls.ForwardedCall) -> None:
    state, server = current.call_state, current.server
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
