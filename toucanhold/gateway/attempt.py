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
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
SERVER_ERROR = 500

# The part of an objective that a request may wait for a server: the first event of a stream takes
# about half of it under load (90 to 180 ms of 200 to 300), a lookup a third.
WAITING_PART = 0.4

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Run:
    """A call's way through its servers.

    :ivar deadline_s: when the caller or the route has waited long enough
    :ivar server_id: the server that has it, or had it last
    :ivar runs: servers that may have begun to run it
    :ivar fruitless: runs beyond the route's attempts that a begun stream may have, because a
        server ended before it sent anything of it; one at most
    :ivar has_replied: whether the caller has got the beginning of an answer
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
    fruitless: int = 0
    has_replied: bool = False
    last_event_id: int | None = attrs.field(init=False)
    _events_before: int | None = None

    def __attrs_post_init__(self) -> None:
        """Begin where the caller wants a stream to go on."""
        self.last_event_id = self.call.last_event_id

    @property
    def timely_until_s(self) -> float:
        """Time of the run's clock until which a server must have the call, to answer in time.

        A caller that was told to come back names what is left of its time; its answer can only
        come late by then.
        """
        waited_before_s = self.route.timeout_s - (self.call.deadline_s - self.call.arrived_s)
        allowed_s = WAITING_PART * self.route.objective_s - max(0.0, waited_before_s)
        return self.call.arrived_s + allowed_s

    @property
    def longest_pause_s(self) -> float:
        """The longest pause between events of a sound server; 0 where nothing tells."""
        engine = self.service.engine
        if engine is None:
            return 0.0
        model = engine.model(self.call.model)
        return engine.longest_pause_s(model) if model is not None else 0.0

    def note_lost(self) -> None:
        """Take note that the last server's answer was lost."""
        nothing_came = self.last_event_id == self._events_before
        if self.has_replied and nothing_came:
            self.fruitless = 1

    def begin(self, server_id: str) -> None:
        """Take note that a server gets the call."""
        self.server_id = server_id
        self.runs += 1
        self._events_before = self.last_event_id

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have begun to run it."""
        return self.runs > 0

    @property
    def workspace_name(self) -> str:
        """Who holds the caller's key; empty for public routes."""
        return self.workspace.name if self.workspace is not None else ""


async def run_on(
    run: Run,
    server: servers.Server,
    client: calls.ServerClient,
    watch: silence.SilenceDetector,
    outcomes: health.Health,
    may_move: collections.abc.Callable[[], bool],
) -> int:
    """Send a call to one server and pass its answer on.

    :param may_move: tells whether another server could go on with the call
    :return: the status of the answer
    :raises calls.ExchangeError: when another server may be tried, if the call allows that
    """
    forwarded = calls.ForwardedCall(
        run.call,
        run.workspace_name,
        run.deadline_s - trio.current_time(),
        run.last_event_id,
        run.route.is_stream,
    )
    _log_placed(run, server, forwarded)
    run.begin(server.server_id)
    try:
        if run.route.is_stream:
            return await _run_stream(run, forwarded, server, client, watch, outcomes, may_move)
        async with client.exchange(server, forwarded) as response:
            return await _pass_whole(run, response, outcomes, may_move)
    except calls.NotRunError:
        run.runs -= 1
        raise


async def _run_stream(
    run: Run,
    forwarded: calls.ForwardedCall,
    server: servers.Server,
    client: calls.ServerClient,
    watch: silence.SilenceDetector,
    outcomes: health.Health,
    may_move: collections.abc.Callable[[], bool],
) -> int:
    watched = silence.WatchedStream(server.server_id, may_move, run.longest_pause_s)
    if run.route.may_repeat:
        watch.add(watched)
    status = 0
    try:
        with watched.scope:
            async with client.exchange(server, forwarded) as response:
                if response.status == 200:
                    status = await _pass_stream(run, response, watched)
                    outcomes.note(server.server_id, failed=False)
                else:
                    status = await _pass_whole(run, response, outcomes, may_move)
    finally:
        if run.route.may_repeat:
            watch.remove(watched)
    if watched.scope.cancelled_caught:
        raise calls.ResponseLostError("the server has fallen silent")
    return status


async def _pass_stream(run: Run, response: calls.Response, watched: silence.WatchedStream) -> int:
    splitter = sse.EventSplitter()
    async for chunk in response.chunks:
        watched.note_event()
        passed = bytearray()
        for event in splitter.feed(chunk):
            if _is_next(run, event):
                passed += event.raw
        if passed:
            await _begin(run, response)
            await run.reply.send(bytes(passed))
    if splitter.has_rest:
        raise calls.ResponseLostError("the stream ended within an event", is_connection_lost=True)
    await _begin(run, response)
    await run.reply.finish()
    return response.status


async def _begin(run: Run, response: calls.Response) -> None:
    if not run.has_replied:
        run.has_replied = True
        await run.reply.start(response.status, response.headers, None)


def _is_next(run: Run, event: sse.ServerSentEvent) -> bool:
    """Tell whether the caller lacks an event, and take note of it."""
    if not event.event_id.isdigit():
        return True
    number = int(event.event_id)
    last = run.last_event_id
    if last is not None and number <= last:
        return False
    if last is not None and number > last + 1:
        raise calls.ResponseLostError(f"event {number} follows event {last}")
    run.last_event_id = number
    return True


async def _pass_whole(
    run: Run,
    response: calls.Response,
    outcomes: health.Health,
    may_move: collections.abc.Callable[[], bool],
) -> int:
    body = bytearray()
    async for chunk in response.chunks:
        body += chunk
        if len(body) > ANSWER_LIMIT_BYTES:
            raise calls.ResponseLostError("the answer is larger than allowed")
    failed = response.status >= SERVER_ERROR
    if failed and run.route.may_repeat and may_move():
        # Servers fail a part of what they could answer; another one answers it in time.
        raise calls.ResponseLostError(f"the server answered with status {response.status}")
    outcomes.note(run.server_id, failed)
    if run.has_replied:
        raise calls.ResponseLostError(f"the stream was not resumed: status {response.status}")
    run.has_replied = True
    await run.reply.start(response.status, response.headers, len(body))
    await run.reply.send(bytes(body))
    await run.reply.finish()
    return response.status


def _log_placed(run: Run, server: servers.Server, forwarded: calls.ForwardedCall) -> None:
    membership = server.membership
    events.log(
        LOGGER,
        events.Event.CALL_PLACED,
        request_id=run.call.call_id,
        route=run.route.name,
        workspace=run.workspace_name,
        server=server.server_id,
        availability_zone=server.zone,
        group=membership.group if membership is not None else None,
        epoch=membership.epoch if membership is not None else None,
        waited_s=round(trio.current_time() - run.call.arrived_s, 3),
        remaining_s=round(forwarded.remaining_s, 3),
        attempt=run.runs + 1,
    )
