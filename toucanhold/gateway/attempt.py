"""One call at one backend server."""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import calls, health, silence
from toucanhold.registry import servers
from toucanhold.routes import table
from toucanhold.routing import sse

# A body that is passed on whole is held in memory; larger ones are no answers of these services.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
FIRST_SERVER_ERROR_STATUS = 500

# The part of an objective that a request may wait for a server: the first event of a stream takes
# about half of it under load (90 to 180 ms of 200 to 300), a lookup a third.
QUEUE_TIME_FRACTION = 0.4

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class CallState:
    """A call's way through its servers.

    :ivar deadline_s: when the caller or the route has waited long enough
    :ivar server_id: the server that has it, or had it last
    :ivar runs: servers that may have begun to run it
    :ivar extra_attempts: runs beyond the route's attempts that a begun stream may have, because a
        server ended before it sent anything of it; one at most
    :ivar has_response_started: whether the caller has got the beginning of an answer
    :ivar last_event_id: the last event that the caller has got
    """

    call: calls.Call
    route: table.Route
    service: table.Service
    workspace: table.Workspace | None
    deadline_s: float
    reply: calls.Reply
    server_id: str = ""
    runs: int = 0
    extra_attempts: int = 0
    has_response_started: bool = False
    last_event_id: int | None = attrs.field(init=False)
    _event_id_before_attempt: int | None = None

    def __attrs_post_init__(self) -> None:
        """Begin where the caller wants a stream to go on."""
        self.last_event_id = self.call.last_event_id

    @property
    def latest_start_s(self) -> float:
        """Time of the run's clock until which a server must have the call, to answer in time.

        A caller that was told to come back names what is left of its time; its answer can only
        come late by then.
        """
        waited_before_s = self.route.timeout_s - (self.call.deadline_s - self.call.arrived_s)
        allowed_s = QUEUE_TIME_FRACTION * self.route.objective_s - max(0.0, waited_before_s)
        return self.call.arrived_s + allowed_s

    @property
    def longest_pause_s(self) -> float:
        """The longest pause between events of a sound server; 0 where nothing tells."""
        engine = self.service.engine
        if engine is None:
            return 0.0
        model = engine.model(self.call.model)
        return engine.longest_pause_s(model) if model is not None else 0.0

    def record_lost_response(self) -> None:
        """Take note that the last server's answer was lost."""
        nothing_came = self.last_event_id == self._event_id_before_attempt
        if self.has_response_started and nothing_came:
            self.extra_attempts = 1

    def record_attempt(self, server_id: str) -> None:
        """Take note that a server gets the call."""
        self.server_id = server_id
        self.runs += 1
        self._event_id_before_attempt = self.last_event_id

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have begun to run it."""
        return self.runs > 0

    @property
    def workspace_name(self) -> str:
        """Who holds the caller's key; empty for public routes."""
        return self.workspace.name if self.workspace is not None else ""


async def run_attempt(
    state: CallState,
    server: servers.Server,
    client: calls.ServerClient,
    silence_detector: silence.SilenceDetector,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
) -> int:
    """Send a call to one server and pass its answer on.

    :param may_fail_over: tells whether another server could go on with the call
    :return: the status of the answer
    :raises calls.ExchangeError: when another server may be tried, if the call allows that
    """
    forwarded = calls.ForwardedCall(
        state.call,
        state.workspace_name,
        state.deadline_s - trio.current_time(),
        state.last_event_id,
        state.route.is_stream,
    )
    _log_attempt(state, server, forwarded)
    state.record_attempt(server.server_id)
    try:
        if state.route.is_stream:
            return await _stream_response(
                state, forwarded, server, client, silence_detector, server_health, may_fail_over
            )
        async with client.exchange(server, forwarded) as response:
            return await _forward_buffered(state, response, server_health, may_fail_over)
    except calls.NotRunError:
        state.runs -= 1
        raise


async def _stream_response(
    state: CallState,
    forwarded: calls.ForwardedCall,
    server: servers.Server,
    client: calls.ServerClient,
    silence_detector: silence.SilenceDetector,
    server_health: health.Health,
    may_fail_over: collections.abc.Callable[[], bool],
) -> int:
    stream = silence.WatchedStream(server.server_id, may_fail_over, state.longest_pause_s)
    if state.route.may_repeat:
        silence_detector.add(stream)
    status = 0
    try:
        with stream.scope:
            async with client.exchange(server, forwarded) as response:
                if response.status == 200:
                    status = await _forward_stream(state, response, stream)
                    server_health.record_outcome(server.server_id, is_failure=False)
                else:
                    status = await _forward_buffered(state, response, server_health, may_fail_over)
    finally:
        if state.route.may_repeat:
            silence_detector.remove(stream)
    if stream.scope.cancelled_caught:
        raise calls.ResponseLostError("the server has fallen silent")
    return status


async def _forward_stream(
    state: CallState, response: calls.Response, stream: silence.WatchedStream
) -> int:
    splitter = sse.EventSplitter()
    async for chunk in response.chunks:
        stream.record_event()
        new_events = bytearray()
        for event in splitter.feed(chunk):
            if _record_event_if_new(state, event):
                new_events += event.raw
        if new_events:
            await _start_response(state, response)
            await state.reply.send(bytes(new_events))
    if splitter.has_rest:
        raise calls.ResponseLostError("the stream ended within an event", is_connection_lost=True)
    await _start_response(state, response)
    await state.reply.finish()
    return response.status


async def _start_response(state: CallState, response: calls.Response) -> None:
    if not state.has_response_started:
        state.has_response_started = True
        await state.reply.start(response.status, response.headers, None)


def _record_event_if_new(state: CallState, event: sse.ServerSentEvent) -> bool:
    """Tell whether the caller lacks an event, and take note of it."""
    if not event.event_id.isdigit():
        return True
    event_number = int(event.event_id)
    last_number = state.last_event_id
    if last_number is not None and event_number <= last_number:
        return False
    if last_number is not None and event_number > last_number + 1:
        raise calls.ResponseLostError(f"event {event_number} follows event {last_number}")
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
            raise calls.ResponseLostError("the answer is larger than allowed")
    is_failure = response.status >= FIRST_SERVER_ERROR_STATUS
    if is_failure and state.route.may_repeat and may_fail_over():
        # Servers fail a part of what they could answer; another one answers it in time.
        raise calls.ResponseLostError(f"the server answered with status {response.status}")
    server_health.record_outcome(state.server_id, is_failure)
    if state.has_response_started:
        raise calls.ResponseLostError(f"the stream was not resumed: status {response.status}")
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
        attempt=state.runs + 1,
    )
