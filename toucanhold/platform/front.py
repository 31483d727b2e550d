"""The callers' face: HTTP requests into calls, and answers back."""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import asgi, events, metrics
from toucanhold.gateway import calls, gateway
from toucanhold.platform import headers

# A caller that names no time is given this much.
DEFAULT_WAIT_S = 30.0
BODY_LIMIT_BYTES = 64 * 1024 * 1024

LOGGER = logging.getLogger(__name__)

STATUSES = {
    calls.RefusalReason.NO_CONFIGURATION: 503,
    calls.RefusalReason.NO_ROUTE: 404,
    calls.RefusalReason.UNKNOWN_KEY: 401,
    calls.RefusalReason.NO_SERVER: 503,
    calls.RefusalReason.NO_CAPACITY: 503,
    calls.RefusalReason.DEADLINE_EXCEEDED: 503,
    calls.RefusalReason.CRASHES_SERVERS: 503,
    calls.RefusalReason.RESPONSE_LOST: 502,
    calls.RefusalReason.BODY_TOO_LARGE: 413,
}


@attrs.define(eq=False)
class HttpReply(calls.Reply):
    """An answer on its way to the caller.

    :ivar is_last: whether the connection is to be closed after it
    :ivar first_s: time of the run's clock at which its first part was sent
    :ivar longest_pause_s: between two parts
    """

    send_message: asgi.Send
    is_last: bool
    timer: metrics.RequestTimer
    status: int = 0
    is_complete: bool = False
    first_s: float | None = None
    longest_pause_s: float = 0.0
    _last_s: float = 0.0

    async def start(self, status: int, lines: calls.Headers, length_bytes: int | None) -> None:
        """See :class:`calls.Reply`."""
        self.status = status
        sent = list(lines)
        if length_bytes is not None:
            sent.append((b"content-length", str(length_bytes).encode()))
        if self.is_last:
            sent.append((b"connection", b"close"))
        with _uncut():
            await asgi.start(self.send_message, status, sent)

    async def send(self, chunk: bytes) -> None:
        """See :class:`calls.Reply`."""
        self.timer.note_events(1)
        self._note_time()
        with _uncut():
            await asgi.write(self.send_message, chunk, True)

    def _note_time(self) -> None:
        now_s = trio.current_time()
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self._last_s)
        self._last_s = now_s

    async def finish(self) -> None:
        """See :class:`calls.Reply`."""
        self.is_complete = True
        with _uncut():
            await asgi.write(self.send_message, b"", False)


@attrs.define(eq=False)
class FrontApp:
    """Serves callers.

    :ivar is_stopping: returns whether callers are to use other entries
    """

    gateway: gateway.Gateway
    metrics: metrics.Metrics
    is_stopping: collections.abc.Callable[[], bool]

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one connection event of the ASGI server."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        arrived_s = trio.current_time()
        try:
            body = await asgi.read_body(receive, BODY_LIMIT_BYTES)
        except asgi.ClientGoneError:
            return
        except asgi.BodyTooLargeError:
            await asgi.respond(send, 413, [(b"connection", b"close")], b"")
            return
        call = read_call(scope, body, arrived_s)
        timer = self.metrics.new_timer(call.method, "calls")
        reply = HttpReply(send, self.is_stopping(), timer)
        outcome = "left"
        async with trio.open_nursery() as nursery:
            # A caller who leaves must free the backend server's slot at once.
            nursery.start_soon(_cancel_when_gone, receive, nursery.cancel_scope)
            outcome = await self._answer(call, reply)
            nursery.cancel_scope.cancel()
        timer.finish(reply.status, outcome)
        events.log(
            LOGGER,
            events.Event.CALL_ENDED,
            request_id=call.call_id,
            path=call.path,
            model=call.model or None,
            status=reply.status or None,
            outcome=outcome,
            first_s=round(reply.first_s - arrived_s, 3) if reply.first_s is not None else None,
            longest_pause_s=round(reply.longest_pause_s, 3),
            took_s=round(trio.current_time() - arrived_s, 3),
        )

    async def _answer(self, call: calls.Call, reply: HttpReply) -> str:
        try:
            await self.gateway.serve(call, reply)
            return "answered"
        except calls.CallError as error:
            await _refuse(reply, error)
            return error.reason.value
        except calls.ResponseLostError as error:
            # The app returns with the answer unfinished, and the server closes the connection:
            # what has been sent can't be taken for the whole.
            return f"broken off: {error}"


def read_call(scope: asgi.Scope, body: bytes, arrived_s: float) -> calls.Call:
    """Return the call that a request stands for.

    :param arrived_s: time of the run's clock
    """
    lines = scope["headers"]
    target = scope["raw_path"]
    path = target.decode("latin-1")
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    last_event_id = headers.find(lines, headers.LAST_EVENT_ID)
    return calls.Call(
        call_id=headers.find(lines, headers.CALL_ID),
        method=scope["method"],
        host=headers.find(lines, b"host").lower(),
        path=path,
        target=target,
        headers=headers.forwarded(lines),
        body=body,
        key=headers.find(lines, headers.KEY) or None,
        arrived_s=arrived_s,
        deadline_s=arrived_s + _wait_s(headers.find(lines, headers.REMAINING_MS)),
        model=headers.find(lines, headers.MODEL),
        last_event_id=int(last_event_id) if last_event_id.isdigit() else None,
    )


def _wait_s(text: str) -> float:
    return int(text) / 1000 if text.isdigit() else DEFAULT_WAIT_S


async def _refuse(reply: HttpReply, error: calls.CallError) -> None:
    status = STATUSES[error.reason]
    if error.may_have_run:
        # 503 would promise that the request never runs.
        status = 504 if error.reason is calls.RefusalReason.DEADLINE_EXCEEDED else 502
    lines = [(b"content-type", b"text/plain")]
    if error.retry_after_s is not None and not error.may_have_run:
        lines.append((b"retry-after", f"{error.retry_after_s:.2f}".encode()))
    body = error.reason.value.encode()
    await reply.start(status, lines, len(body))
    await reply.send(body)
    await reply.finish()


def _uncut() -> trio.CancelScope:
    # A caller who leaves while a message is being sent would cancel it between the parser's step
    # and the connection's; the HTTP server then fails as a whole, and every caller with it. Each
    # message is short, and a caller that stops reading is ended by the kernel.
    return trio.CancelScope(shield=True)


async def _cancel_when_gone(receive: asgi.Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
