"""The callers' ASGI application."""

from __future__ import annotations

import collections.abc
import logging
import urllib.parse
import uuid

import attrs
import trio

from toucanhold import asgi, events, metrics
from toucanhold.callers import bodies, directory, measuring, order_keys, problems, reading
from toucanhold.configuration import holder, rules
from toucanhold.membership import permit
from toucanhold.orders import keeper
from toucanhold.routing import dispatch, requests

ADDRESSES_PATH = "/toucanhold/v1/addresses"
MODELS_PATH = "/v1/models"
ORDER_KEYS_PATH = "/toucanhold/v1/order-keys"
READ_METHODS = ("GET", "HEAD")
# Enough for sixteen of the largest bodies, or thousands of ordinary ones.
LARGEST_BODIES_OPEN = 16
BUSY_RETRY_AFTER_S = 1.0

LOGGER = logging.getLogger(__name__)

Handler = collections.abc.Callable[
    [asgi.Scope, asgi.Receive, asgi.Send], collections.abc.Awaitable[None]
]


@attrs.define(eq=False)
class CallersApp:
    """Turns HTTP requests into typed ones and answers back into HTTP.

    :ivar max_in_flight: most requests that callers may have open
    """

    configuration: holder.ConfigurationHolder
    permit: permit.WorkPermit
    dispatcher: dispatch.Dispatcher
    orders: keeper.OrderKeeper
    directory: directory.Directory
    metrics: metrics.Metrics
    limits: reading.Limits
    max_in_flight: int
    order_keys: order_keys.OrderKeys = attrs.field(init=False)
    bodies: bodies.OpenBodies = attrs.field(init=False)
    reader: reading.RequestReader = attrs.field(init=False)
    stopping: bool = attrs.field(default=False, init=False)
    in_flight: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        self.order_keys = order_keys.OrderKeys(self.orders.issued)
        self.bodies = bodies.OpenBodies(LARGEST_BODIES_OPEN * self.limits.body_bytes)
        self.reader = reading.RequestReader(
            self.configuration, self.permit, self.limits, self.bodies
        )

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one connection event of the ASGI server."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            timed = measuring.TimedSend(
                send, self.metrics.new_timer(scope["method"], _route(scope))
            )
            self.in_flight += 1
            try:
                answering = _closing(timed) if self.stopping else timed
                await self._serve(scope, receive, answering)
            except Exception as error:
                # The server's own answer would be a bare 500 that says nothing about the outcome.
                LOGGER.exception("a request failed inside the entry")
                if not timed.has_started:
                    await _answer_internal_error(answering, error)
            finally:
                self.in_flight -= 1
                timed.finish()

    def begin_stop(self) -> None:
        """Go on serving, but have callers leave: a planned stop has begun."""
        self.stopping = self.order_keys.closed = True

    async def _serve(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        request_id = uuid.uuid4().hex
        try:
            own = self._own_path(scope)
            if own is not None:
                await own(scope, receive, send)
                return
            if self.in_flight > self.max_in_flight:
                detail = f"{self.max_in_flight} requests are open"
                raise reading.refused(requests.Problem.OVERLOADED, detail, BUSY_RETRY_AFTER_S)
            with self.bodies.hold() as held:
                request = await self.reader.read(scope, receive, request_id, held)
                await self._answer(request, receive, send)
        except asgi.ClientDisconnectedError:
            return
        except requests.RequestError as error:
            _log_error(request_id, error)
            lines = [*problems.headers(error), (b"x-request-id", request_id.encode())]
            await asgi.respond(send, error.problem.status, lines, problems.body(error, request_id))

    def _own_path(self, scope: asgi.Scope) -> Handler | None:
        """Return what answers a path of the system's own, or None.

        :raises requests.RequestError: when the method is wrong
        """
        path, method = scope["path"], scope["method"]
        own: dict[str, tuple[tuple[str, ...], Handler]] = {
            ADDRESSES_PATH: (READ_METHODS, self._answer_addresses),
            MODELS_PATH: (READ_METHODS, self._answer_models),
            ORDER_KEYS_PATH: (("POST",), self._answer_order_keys),
        }
        if path not in own:
            return None
        methods, handler = own[path]
        if method not in methods:
            detail = f"the method must be {' or '.join(methods)}"
            raise reading.refused(requests.Problem.METHOD_NOT_ALLOWED, detail)
        return handler

    async def _answer(
        self, request: requests.CallerRequest, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        refusal: requests.RequestError | None = None
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                # A caller who leaves must free the backend server's slot at once.
                nursery.start_soon(_cancel_when_gone, receive, scope)
                try:
                    await self._relay(request, send)
                except requests.RequestError as error:
                    refusal = error
                finally:
                    nursery.cancel_scope.cancel()
        # Raised inside, the nursery would wrap it in a group that nobody catches, and the caller
        # would see a bare 500 that does not tell whether the request ran.
        if refusal is not None:
            raise refusal

    async def _relay(self, request: requests.CallerRequest, send: asgi.Send) -> None:
        # Repeating an idempotent call does no harm, so its key needs no claim.
        server = self.dispatcher if request.may_repeat else self.orders
        async with server.serve(request) as answer:
            lines = [*answer.headers, (b"x-request-id", request.request_id.encode())]
            if not request.stream:
                # With its length told, an answer that breaks off is seen as torn by every client,
                # also by one of HTTP/1.0, for which the end of the connection is a clean end.
                body = b"".join([chunk async for chunk in answer.chunks])
                await asgi.respond(send, answer.status, lines, body)
            else:
                await _relay_stream(request, answer, lines, send)

    async def _answer_addresses(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        await asgi.respond_json(send, 200, self._addresses(scope))

    async def _answer_models(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        await asgi.respond_json(send, 200, self._models())

    async def _answer_order_keys(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        answer = await self.order_keys.answer(receive, reading.workspace_of(scope))
        await asgi.respond_json(send, 201, answer)

    def _addresses(self, scope: asgi.Scope) -> dict:
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        host, port = scope.get("client") or ("", 0)
        caller = query.get("caller") or f"{host}:{port}"
        answer = self.directory.answer(caller, query.get("availability_zone", ""))
        if not answer["addresses"]:
            # An empty answer would leave its caller with nobody to ask for as long as it is kept.
            detail = "no entry is known that takes requests; ask another"
            raise reading.refused(
                requests.Problem.NOT_READY, detail, reading.NOT_READY_RETRY_AFTER_S
            )
        return answer

    def _models(self) -> dict:
        services = self.configuration.current.rules.services
        models = [
            {"id": service.name, "object": "model", "owned_by": "toucanhold"}
            for service in services
            if service.kind is rules.ServiceKind.MODEL
        ]
        return {"object": "list", "data": models}


def _route(scope: asgi.Scope) -> str:
    # Paths are the callers' choice; as attributes of a metric they would grow without bound.
    path = scope["path"]
    known = (*reading.CHAT_PATHS, ADDRESSES_PATH, MODELS_PATH, ORDER_KEYS_PATH)
    if path in known:
        return path
    return reading.SERVICES_PREFIX if path.startswith(reading.SERVICES_PREFIX) else ""


async def _answer_internal_error(send: asgi.Send, error: Exception) -> None:
    failure = requests.RequestError(
        requests.Problem.INTERNAL_ERROR, requests.Outcome.UNKNOWN, type(error).__name__
    )
    request_id = uuid.uuid4().hex
    body = problems.body(failure, request_id)
    await asgi.respond(send, failure.problem.status, problems.headers(failure), body)


def _closing(send: asgi.Send) -> asgi.Send:
    # A kept connection would hold its caller to an entry that is about to close its listener.
    async def send_closing(message: dict) -> None:
        if message["type"] == "http.response.start":
            message = message | {"headers": [*message["headers"], (b"connection", b"close")]}
        await send(message)

    return send_closing


async def _relay_stream(
    request: requests.CallerRequest,
    answer: dispatch.Answer,
    lines: list[tuple[bytes, bytes]],
    send: asgi.Send,
) -> None:
    started = False
    try:
        async for chunk in answer.chunks:
            if not started:
                await asgi.start(send, answer.status, lines)
                started = True
            await asgi.write(send, chunk, True)
    except requests.RequestError as error:
        if not started:
            raise
        _log_error(request.request_id, error)
        await _break_off(send, error, request.request_id)
        return
    if not started:
        await asgi.start(send, answer.status, lines)
    await asgi.write(send, b"", False)


async def _break_off(send: asgi.Send, error: requests.RequestError, request_id: str) -> None:
    # A clean end would make a torn answer look whole. The error event tells a reader of the
    # stream why; the missing last chunk tells the HTTP client, whatever it does with events:
    # the server closes the connection of an application that returns without one.
    data = problems.body(error, request_id)
    await asgi.write(send, b"event: error\ndata: " + data + b"\n\n", True)


async def _cancel_when_gone(receive: asgi.Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def _log_error(request_id: str, error: requests.RequestError) -> None:
    ran_nothing = error.outcome is requests.Outcome.DID_NOT_RUN
    event = events.Event.REQUEST_REFUSED if ran_nothing else events.Event.REQUEST_FAILED
    events.log(
        LOGGER,
        event,
        request_id=request_id,
        problem=error.problem.slug,
        outcome=error.outcome.value,
        reason=error.detail,
    )
