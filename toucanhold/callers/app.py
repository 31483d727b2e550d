"""The ASGI application of the callers' interface."""

from __future__ import annotations

import collections.abc
import logging
import urllib.parse
import uuid

import attrs
import trio

from toucanhold import asgi, events, lifetime, metrics
from toucanhold.callers import bodies, directory, measuring, order_keys, problems, reading
from toucanhold.configuration import holder, rules
from toucanhold.membership import permit
from toucanhold.orders import handling
from toucanhold.routing import dispatch, requests

ADDRESSES_PATH = "/toucanhold/v1/addresses"
MODELS_PATH = "/v1/models"
ORDER_KEYS_PATH = "/toucanhold/v1/order-keys"
READ_METHODS = ("GET", "HEAD")
# Bounds the memory for all open bodies, in units of the largest body. Most bodies are far
# smaller, so thousands of ordinary ones fit.
MAX_FULL_SIZE_BODIES = 16
BUSY_RETRY_AFTER_S = 1.0
# Other entries can take the request now.
STOPPING_RETRY_AFTER_S = 0.0

LOGGER = logging.getLogger(__name__)

Handler = collections.abc.Callable[
    [asgi.Scope, asgi.Receive, asgi.Send], collections.abc.Awaitable[None]
]


@attrs.define(eq=False)
class CallersApp:
    """Parses callers' HTTP requests, dispatches them and sends the responses.

    :ivar max_in_flight: limit of requests in flight; beyond it, all but those for the built-in
        paths are refused
    :ivar body_memory: memory budget of all request bodies that are open
    :ivar lifetime: the time that this process has for answers
    :ivar in_flight: number of requests that are being read or answered, built-in paths included
    """

    configuration: holder.ConfigurationHolder
    permit: permit.WorkPermit
    dispatcher: dispatch.Dispatcher
    orders: handling.OrderHandler
    directory: directory.Directory
    metrics: metrics.Metrics
    limits: reading.RequestLimits
    max_in_flight: int
    lifetime: lifetime.Lifetime = attrs.field(factory=lifetime.Lifetime)
    order_keys: order_keys.OrderKeyIssuer = attrs.field(init=False)
    body_memory: bodies.BodyMemoryBudget = attrs.field(init=False)
    reader: reading.RequestReader = attrs.field(init=False)
    in_flight: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components that depend on other fields."""
        self.order_keys = order_keys.OrderKeyIssuer(self.orders.issued_executor)
        self.body_memory = bodies.BodyMemoryBudget(MAX_FULL_SIZE_BODIES * self.limits.body_bytes)
        self.reader = reading.RequestReader(
            self.configuration, self.permit, self.limits, self.body_memory
        )

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one ASGI scope: a lifespan or an HTTP request."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            timed_send = measuring.TimedSend(
                send, self.metrics.new_timer(scope["method"], _route_label(scope))
            )
            self.in_flight += 1
            try:
                response_send = self._closing_when_stopping(timed_send)
                await self._serve(scope, receive, response_send)
            except Exception as error:
                # Without this, the ASGI server would send a 500 without a problem body, which does
                # not say whether the request ran.
                LOGGER.exception("unhandled exception while serving a request")
                if not timed_send.has_started:
                    await _send_internal_error(response_send, error)
            finally:
                self.in_flight -= 1
                timed_send.finish()

    def begin_stop(self) -> None:
        """Start a planned stop: issue no order keys."""
        self.order_keys.is_closed = True

    def _closing_when_stopping(self, send: asgi.Send) -> asgi.Send:
        # A persistent connection would keep its caller at an entry that is about to stop listening.
        async def send_with_close(message: dict) -> None:
            if message["type"] == "http.response.start" and self.lifetime.is_stopping:
                message = message | {"headers": [*message["headers"], (b"connection", b"close")]}
            await send(message)

        return send_with_close

    async def _serve(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        request_id = uuid.uuid4().hex
        try:
            handler = self._find_builtin_handler(scope)
            if handler is not None:
                await handler(scope, receive, send)
                return
            if self.in_flight > self.max_in_flight:
                detail = f"the limit of {self.max_in_flight} requests in flight is reached"
                raise reading.new_refusal(requests.Problem.OVERLOADED, detail, BUSY_RETRY_AFTER_S)
            with self.body_memory.open_reservation() as reservation:
                request = await self._read(scope, receive, request_id, reservation)
                await self._serve_while_connected(request, receive, send)
        except asgi.ClientDisconnectedError:
            return
        except requests.RequestError as error:
            _log_error(request_id, error)
            headers = [*problems.headers(error), (b"x-request-id", request_id.encode())]
            await asgi.respond(
                send, error.problem.status, headers, problems.body(error, request_id)
            )

    async def _read(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        request_id: str,
        reservation: bodies.BodyReservation,
    ) -> requests.CallerRequest:
        """Return a request that can be answered before this process ends.

        :raises requests.RequestError: see :meth:`reading.RequestReader.read`
        """
        request = None
        with self.lifetime.bounded():
            request = await self.reader.read(scope, receive, request_id, reservation)
        if request is None or not self.lifetime.has_time_until(request.deadline_s):
            detail = "this entry stops before the request's deadline; ask another entry"
            raise reading.new_refusal(requests.Problem.NOT_READY, detail, STOPPING_RETRY_AFTER_S)
        return request

    def _find_builtin_handler(self, scope: asgi.Scope) -> Handler | None:
        """Return the handler of a built-in path, or None for any other path.

        :raises requests.RequestError: when the path does not support the method
        """
        path, method = scope["path"], scope["method"]
        handlers: dict[str, tuple[tuple[str, ...], Handler]] = {
            ADDRESSES_PATH: (READ_METHODS, self._send_addresses),
            MODELS_PATH: (READ_METHODS, self._send_models),
            ORDER_KEYS_PATH: (("POST",), self._send_order_keys),
        }
        if path not in handlers:
            return None
        methods, handler = handlers[path]
        if method not in methods:
            detail = f"the method must be {' or '.join(methods)}"
            raise reading.new_refusal(requests.Problem.METHOD_NOT_ALLOWED, detail)
        return handler

    async def _serve_while_connected(
        self, request: requests.CallerRequest, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        refusal: requests.RequestError | None = None
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                # When the caller disconnects, the backend server's slot must be freed at once.
                nursery.start_soon(_cancel_on_disconnect, receive, scope)
                try:
                    await self._dispatch(request, send)
                except requests.RequestError as error:
                    refusal = error
                finally:
                    nursery.cancel_scope.cancel()
        # Raised inside the nursery, the error would be wrapped in an exception group that no
        # handler catches, and the caller would get a 500 without the outcome.
        if refusal is not None:
            raise refusal

    async def _dispatch(self, request: requests.CallerRequest, send: asgi.Send) -> None:
        # An idempotent request may be repeated safely, so its idempotency key needs no claim.
        dispatcher = self.dispatcher if request.may_repeat else self.orders
        async with dispatcher.serve(request) as answer:
            headers = [*answer.headers, (b"x-request-id", request.request_id.encode())]
            if not request.stream:
                # With a Content-Length, every client detects a truncated response, including
                # HTTP/1.0 clients, which otherwise take the end of the connection for a clean end.
                body = b"".join([chunk async for chunk in answer.chunks])
                await asgi.respond(send, answer.status, headers, body)
            else:
                await _send_stream(request, answer, headers, send)

    async def _send_addresses(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        await asgi.respond_json(send, 200, self._addresses_body(scope))

    async def _send_models(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        await asgi.respond_json(send, 200, self._models_body())

    async def _send_order_keys(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        issued = await self.order_keys.handle(receive, reading.workspace_of(scope))
        await asgi.respond_json(send, 201, issued)

    def _addresses_body(self, scope: asgi.Scope) -> dict:
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        host, port = scope.get("client") or ("", 0)
        caller = query.get("caller") or f"{host}:{port}"
        addresses_response = self.directory.lookup(caller, query.get("availability_zone", ""))
        if not addresses_response["addresses"]:
            # A caller that cached an empty list would have no entry to use until it expired.
            detail = "this entry knows no entry that accepts requests; ask another entry"
            raise reading.new_refusal(
                requests.Problem.NOT_READY, detail, reading.NOT_READY_RETRY_AFTER_S
            )
        return addresses_response

    def _models_body(self) -> dict:
        services = self.configuration.current.rules.services
        models = [
            {"id": service.name, "object": "model", "owned_by": "toucanhold"}
            for service in services
            if service.kind is rules.ServiceKind.MODEL
        ]
        return {"object": "list", "data": models}


def _route_label(scope: asgi.Scope) -> str:
    # Callers choose the paths, so raw paths as metric attributes would grow without bound.
    path = scope["path"]
    fixed_paths = (*reading.COMPLETION_PATHS, ADDRESSES_PATH, MODELS_PATH, ORDER_KEYS_PATH)
    if path in fixed_paths:
        return path
    return reading.SERVICES_PREFIX if path.startswith(reading.SERVICES_PREFIX) else ""


async def _send_internal_error(send: asgi.Send, error: Exception) -> None:
    failure = requests.RequestError(
        requests.Problem.INTERNAL_ERROR, requests.Outcome.UNKNOWN, type(error).__name__
    )
    request_id = uuid.uuid4().hex
    body = problems.body(failure, request_id)
    await asgi.respond(send, failure.problem.status, problems.headers(failure), body)


async def _send_stream(
    request: requests.CallerRequest,
    answer: dispatch.Answer,
    headers: list[tuple[bytes, bytes]],
    send: asgi.Send,
) -> None:
    has_started = False
    try:
        async for chunk in answer.chunks:
            if not has_started:
                await asgi.start(send, answer.status, headers)
                has_started = True
            await asgi.write(send, chunk, True)
    except requests.RequestError as error:
        if not has_started:
            raise
        _log_error(request.request_id, error)
        await _abort_stream(send, error, request.request_id)
        return
    if not has_started:
        await asgi.start(send, answer.status, headers)
    await asgi.write(send, b"", False)


async def _abort_stream(send: asgi.Send, error: requests.RequestError, request_id: str) -> None:
    # A clean end would make a truncated response look complete. The error event gives the reader
    # of the stream the reason. The missing last chunk shows any HTTP client that the response is
    # incomplete: the ASGI server closes the connection when the application returns without it.
    data = problems.body(error, request_id)
    await asgi.write(send, b"event: error\ndata: " + data + b"\n\n", True)


async def _cancel_on_disconnect(receive: asgi.Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def _log_error(request_id: str, error: requests.RequestError) -> None:
    did_not_run = error.outcome is requests.Outcome.DID_NOT_RUN
    event = events.Event.REQUEST_REFUSED if did_not_run else events.Event.REQUEST_FAILED
    events.log(
        LOGGER,
        event,
        request_id=request_id,
        problem=error.problem.slug,
        outcome=error.outcome.value,
        reason=error.detail,
    )
