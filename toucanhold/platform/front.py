"""Serves callers over HTTP: turns requests into calls and sends the answers."""

from __future__ import annotations

import logging
import re

import attrs
import trio

from toucanhold import asgi, events, lifetime, metrics, parsing, supervision
from toucanhold.gateway import calls, gateway
from toucanhold.platform import headers

# Time allowed for a request without a deadline header.
DEFAULT_TIMEOUT_S = 30.0
MAX_COUNT = 10**9 - 1
MAX_PROMPT_PARTS = 64
PART_ID_PATTERN = re.compile("[0-9a-f]{1,32}")
# Until the first configuration is known.
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
    calls.RefusalReason.STOPPING: 503,
}


@attrs.define(eq=False)
class HttpReply(calls.Reply):
    """Sends the answer to one request to the caller.

    :ivar send_message: sends one ASGI message
    :ivar lifetime: the connection is closed after an answer that begins while this process stops
    :ivar timer: records the request's duration and number of events
    :ivar status: HTTP status sent, 0 until then
    :ivar is_complete: whether the whole body was sent
    :ivar first_chunk_s: time of trio's clock at which the first chunk was sent
    :ivar longest_pause_s: longest time between two consecutive chunks
    """

    send_message: asgi.Send
    lifetime: lifetime.Lifetime
    timer: metrics.RequestTimer
    status: int = 0
    is_complete: bool = False
    first_chunk_s: float | None = None
    longest_pause_s: float = 0.0
    _last_chunk_s: float = 0.0

    async def start(self, status: int, lines: calls.Headers, length_bytes: int | None) -> None:
        """See :class:`calls.Reply`."""
        self.status = status
        all_headers = list(lines)
        if length_bytes is not None:
            all_headers.append((b"content-length", str(length_bytes).encode()))
        if self.lifetime.is_stopping:
            all_headers.append((b"connection", b"close"))
        with _shielded():
            await asgi.start(self.send_message, status, all_headers)

    async def send(self, chunk: bytes) -> None:
        """See :class:`calls.Reply`."""
        self.timer.record_events(1)
        self._record_chunk_time()
        with _shielded():
            await asgi.write(self.send_message, chunk, True)

    def _record_chunk_time(self) -> None:
        now_s = trio.current_time()
        if self.first_chunk_s is None:
            self.first_chunk_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self._last_chunk_s)
        self._last_chunk_s = now_s

    async def finish(self) -> None:
        """See :class:`calls.Reply`."""
        self.is_complete = True
        with _shielded():
            await asgi.write(self.send_message, b"", False)


@attrs.define(eq=False)
class FrontApp:
    """ASGI application that forwards callers' requests to the gateway."""

    gateway: gateway.Gateway
    metrics: metrics.Metrics

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one connection event of the ASGI server."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        arrived_s = trio.current_time()
        try:
            body = await self._read_body(scope, receive, arrived_s)
        except asgi.ClientDisconnectedError:
            return
        except asgi.BodyTooLargeError:
            await asgi.respond(send, 413, [(b"connection", b"close")], b"")
            return
        if body is None:
            lines = [(b"connection", b"close"), (b"retry-after", b"0")]
            status = 503 if self.gateway.lifetime.is_stopping else 408
            await asgi.respond(send, status, lines, b"")
            return
        call = read_call(scope, body, arrived_s)
        timer = self.metrics.new_timer(call.method, "calls")
        reply = HttpReply(send, self.gateway.lifetime, timer)
        outcome, decided_by = "left", "caller"
        async with trio.open_nursery() as nursery:
            # When the caller disconnects, the backend server's slot must be freed at once.
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            outcome, decided_by = await self._answer(call, reply)
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
            decided_by=decided_by,
            first_s=(
                round(reply.first_chunk_s - arrived_s, 3)
                if reply.first_chunk_s is not None
                else None
            ),
            longest_pause_s=round(reply.longest_pause_s, 3),
            took_s=round(trio.current_time() - arrived_s, 3),
        )

    async def _read_body(
        self, scope: asgi.Scope, receive: asgi.Receive, arrived_s: float
    ) -> bytes | None:
        """Return the body, or None if it does not arrive in time."""
        routes = self.gateway.routes.table
        limit_bytes = routes.limits.body_bytes if routes is not None else BODY_LIMIT_BYTES
        if asgi.announced_bytes(scope) > limit_bytes:
            raise asgi.BodyTooLargeError
        deadline_s = arrived_s + _parse_remaining_s(
            headers.find(scope["headers"], headers.REMAINING_MS)
        )
        body = None
        with self.gateway.lifetime.bounded(deadline_s):
            body = await asgi.read_body(receive, limit_bytes)
        return body

    async def _answer(self, call: calls.Call, reply: HttpReply) -> tuple[str, str | None]:
        """Answer a call; return how that ended, and who ended it if that was early."""
        try:
            await self.gateway.serve(call, reply)
            return "answered", None
        except calls.CallError as error:
            await _refuse(reply, error)
            return error.reason.value, error.decided_by.value
        except calls.ResponseLostError as error:
            # Returning with the answer unfinished makes the HTTP server close the connection, so
            # the caller cannot take a truncated answer for a complete one.
            return f"broken off: {error}", error.decided_by.value
        except Exception as error:
            supervision.log_error(self.gateway.serve, error)
            if not reply.status:
                # Nobody knows whether a server has run the request.
                unclear = calls.CallError(calls.RefusalReason.RESPONSE_LOST, may_have_run=True)
                await _refuse(reply, unclear)
            return "failed by an unexpected error", calls.Decider.ENTRY.value


def read_call(scope: asgi.Scope, body: bytes, arrived_s: float) -> calls.Call:
    """Return the call for a request.

    :param scope: ASGI scope of the request
    :param arrived_s: time of trio's clock at which the request arrived
    """
    request_headers = scope["headers"]
    target = scope["raw_path"]
    path = target.decode("latin-1")
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    last_event_id = headers.find(request_headers, headers.LAST_EVENT_ID)
    prompt_tokens, output_tokens = _parse_tokens(
        headers.find(request_headers, headers.TOKEN_USAGE),
        headers.find(request_headers, headers.LENGTH_HINT),
    )
    return calls.Call(
        call_id=headers.find(request_headers, headers.CALL_ID),
        method=scope["method"],
        host=headers.find(request_headers, b"host").lower(),
        path=path,
        target=target,
        headers=headers.headers_to_forward(request_headers),
        body=body,
        key=headers.find(request_headers, headers.API_KEY) or None,
        arrived_s=arrived_s,
        deadline_s=arrived_s
        + _parse_remaining_s(headers.find(request_headers, headers.REMAINING_MS)),
        model=headers.find(request_headers, headers.MODEL),
        last_event_id=parsing.digits(last_event_id),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        shared_parts=_parse_shared_parts(headers.find(request_headers, headers.PROMPT_PARTS)),
    )


def _parse_remaining_s(text: str) -> float:
    remaining_ms = parsing.digits(text)
    return remaining_ms / 1000 if remaining_ms is not None else DEFAULT_TIMEOUT_S


def _parse_tokens(usage: str, hint: str) -> tuple[int | None, int | None]:
    """Return the numbers of tokens of the prompt and the answer; None for each that is unknown.

    :param usage: number of tokens of the prompt and maximum of the answer
    :param hint: estimate for the answer, which may exceed the maximum
    """
    prompt_tokens, *others = map(_parse_count, usage.split(","))
    maximum = others[0] if len(others) == 1 else None
    if len(others) != 1 or prompt_tokens is None or maximum is None:
        prompt_tokens = maximum = None
    output_tokens = _parse_count(hint)
    if output_tokens is None or maximum is None:
        return prompt_tokens, output_tokens
    return prompt_tokens, min(output_tokens, maximum)


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the IDs of all parts of a prompt but the last, which belongs to the request itself.

    Parts whose ID is not hexadecimal are left out.
    """
    entries = text.split(",", MAX_PROMPT_PARTS)[:-1]
    part_ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(dict.fromkeys(filter(PART_ID_PATTERN.fullmatch, part_ids)))


def _parse_count(text: str) -> int | None:
    return parsing.digits(text.strip(), MAX_COUNT)


async def _refuse(reply: HttpReply, error: calls.CallError) -> None:
    status = STATUSES[error.reason]
    if error.may_have_run:
        # 503 would promise the caller that the request is never executed.
        status = 504 if error.reason is calls.RefusalReason.DEADLINE_EXCEEDED else 502
    reply_headers = [(b"content-type", b"text/plain")]
    if error.retry_after_s is not None and not error.may_have_run:
        reply_headers.append((b"retry-after", f"{error.retry_after_s:.2f}".encode()))
    body = error.reason.value.encode()
    await reply.start(status, reply_headers, len(body))
    await reply.send(body)
    await reply.finish()


def _shielded() -> trio.CancelScope:
    # Without the shield, a caller that disconnects during a send would cancel it after the HTTP
    # parser's state has advanced but before the connection's has; the HTTP server then fails for
    # every caller. Messages are short, and the kernel ends connections whose peer stops reading.
    return trio.CancelScope(shield=True)


async def _cancel_on_disconnect(receive: asgi.Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
