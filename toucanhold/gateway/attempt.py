"""Runs one attempt of a call on one backend server."""

from __future__ import annotations

import collections.abc
import contextlib
import itertools
import logging

import attrs
import trio

from toucanhold import events, parsing
from toucanhold.backends import answer_memory as memories
from toucanhold.gateway import call_state, calls, health, silence
from toucanhold.routing import arrivals, sse

# Responses that are not streamed are buffered in memory; these services send no larger ones.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
FIRST_SERVER_ERROR_STATUS = 500
# Events that are forwarded before other tasks may run.
MAX_BATCH_EVENTS = 32

LOGGER = logging.getLogger(__name__)


async def run_attempt(
    current: call_state.AttemptState,
    client: calls.ServerClient,
    silence_detector: silence.SilenceDetector,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
    on_silent: collections.abc.Callable[[silence.Silence], None],
    answer_memory: memories.AnswerMemory,
) -> int:
    """Send a call to one server and forward the response to the caller.

    :param may_fail_over: returns whether another server could take over the call
    :param on_silent: called repeatedly while the server of a stream is silent
    :param answer_memory: bounds what is held of the answers of all attempts
    :return: HTTP status of the response
    :raises calls.NotRunError: if the server did not run the call
    :raises calls.ResponseLostError: if the server may have run the call, but the caller has no
        complete response; the call may be retried on another server if its route allows that
    """
    state = current.call_state
    arrival = arrivals.AnswerArrival(
        state.deadline_s, lambda: state.route.may_repeat and may_fail_over()
    )
    forwarded = _forwarded_call(state, arrival)
    _log_attempt(current, forwarded)
    current.record_start()
    try:
        with current.observed.watch(), _bounded(answer_memory) as held:
            if state.route.is_stream:
                with _watched(current, silence_detector, on_silent) as stream:
                    async with client.exchange(current.server, forwarded) as response:
                        current.record_arrival()
                        arrival.end_head(response.status == 200)
                        if response.status != 200:
                            return await _forward_buffered(
                                current, response, held, server_health, may_fail_over
                            )
                        status = await _StreamForwarding(
                            current, response, stream, arrival, held
                        ).run()
                        server_health.record_outcome(current.server.server_id, is_failure=False)
                        return status
            async with client.exchange(current.server, forwarded) as response:
                current.record_arrival()
                arrival.end_head(is_stream=False)
                return await _forward_buffered(
                    current, response, held, server_health, may_fail_over
                )
    except calls.NotRunError as error:
        current.record_not_run(error.was_sent)
        raise
    except BaseException:
        current.record_arrival()
        raise


def _forwarded_call(
    state: call_state.CallState, arrival: arrivals.AnswerArrival
) -> calls.ForwardedCall:
    return calls.ForwardedCall(
        state.call,
        state.workspace_name,
        state.remaining_s,
        state.last_event_id,
        state.route.is_stream,
        state.urgency,
        arrival.record_read,
    )


@contextlib.contextmanager
def _bounded(memory: memories.AnswerMemory) -> collections.abc.Iterator[memories.HeldAnswer]:
    try:
        with memory.hold() as held:
            yield held
    except (memories.AnswerMemoryError, arrivals.EndlessAnswerError, sse.FramingError) as error:
        raise calls.ResponseLostError(str(error), decided_by=calls.Decider.ENTRY) from error


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


@attrs.define(eq=False)
class _StreamForwarding:
    """Forwards a stream of events to the caller.

    :ivar held: accounts for the memory that incomplete events take
    """

    current: call_state.AttemptState
    response: calls.Response
    stream: silence.WatchedStream
    arrival: arrivals.AnswerArrival
    held: memories.HeldAnswer
    _splitter: sse.EventSplitter = attrs.field(factory=sse.EventSplitter, init=False)
    _has_content: bool = attrs.field(default=False, init=False)
    # Comments before the first event; they do not show that the server answers.
    _comments: bytearray = attrs.field(factory=bytearray, init=False)

    async def run(self) -> int:
        """Forward the stream to its end and return the HTTP status."""
        try:
            return await self._forward()
        finally:
            # Errors refer to this object.
            self._splitter.clear()
            self._comments.clear()

    async def _forward(self) -> int:
        current, response = self.current, self.response
        current.progress.is_end_certain = not response.ends_with_connection
        async for chunk in response.chunks:
            await self._forward_events(self._splitter.feed(chunk))
            self.arrival.record_rest(self._splitter)
            self.held.resize(self._splitter.buffered_bytes + len(self._comments))
        if self._splitter.has_partial_event:
            raise calls.ResponseLostError(
                "the stream ended in the middle of an event", is_connection_lost=True
            )
        if not current.progress.event_count and response.ends_with_connection:
            raise calls.ResponseLostError(
                "the connection ended before the first event", is_connection_lost=True
            )
        await _start_response(current, response)
        if self._comments:
            await current.call_state.reply.send(bytes(self._comments))
        await current.call_state.reply.finish()
        return response.status

    async def _forward_events(
        self, stream_events: collections.abc.Iterator[sse.ServerSentEvent]
    ) -> None:
        while batch := list(itertools.islice(stream_events, MAX_BATCH_EVENTS)):
            if self.current.scope.cancel_called:
                # Another attempt's answer is used since these events arrived.
                await trio.lowlevel.checkpoint()
            new_events = self._record_batch(batch)
            if new_events:
                await _start_response(self.current, self.response)
                await self.current.call_state.reply.send(new_events)
            elif len(batch) == MAX_BATCH_EVENTS:
                await trio.lowlevel.checkpoint()

    def _record_batch(self, batch: list[sse.ServerSentEvent]) -> bytes:
        """Record events and return the bytes to forward."""
        state, new_events = self.current.call_state, bytearray()
        for event in batch:
            self.current.progress.record_event()
            is_new = _record_event_if_new(state, event)
            self.arrival.record_event(event, is_new, 1 + (state.last_event_id or 0))
            if not self._has_content and not event.has_content:
                self._comments += event.raw
                continue
            if not self._has_content:
                self._has_content = True
                new_events += self._comments
                self._comments.clear()
            if is_new:
                new_events += event.raw
        if any(event.has_content for event in batch):
            self.stream.record_event()
            self.current.is_silent = False
            self.current.observed.record_event()
        return bytes(new_events)


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
    held: memories.HeldAnswer,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
) -> int:
    state = current.call_state
    if (response.length_bytes or 0) > MAX_RESPONSE_BYTES:
        raise calls.ResponseLostError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
    async for chunk in response.chunks:
        held.append(chunk)
        if len(held.body) > MAX_RESPONSE_BYTES:
            raise calls.ResponseLostError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
    answer = call_state.BufferedAnswer(response.status, response.headers, bytes(held.body))
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
