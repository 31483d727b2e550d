"""The callers' ASGI application."""

from __future__ import annotations

import json
import logging
import urllib.parse
import uuid

import attrs
import trio

from toucanhold import asgi, events, metrics
from toucanhold.callers import directory, measuring, order_keys, problems
from toucanhold.configuration import holder, rules
from toucanhold.membership import permit
from toucanhold.orders import keeper
from toucanhold.routing import affinity, dispatch, requests

CHAT_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PREFIX = "/services/"
ADDRESSES_PATH = "/toucanhold/v1/addresses"
MODELS_PATH = "/v1/models"
ORDER_KEYS_PATH = "/toucanhold/v1/order-keys"
DEFAULT_WORKSPACE = "default"
FORWARDED_HEADERS = (b"content-type", b"accept")
NOT_READY_RETRY_AFTER_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class CallersApp:
    """Turns HTTP requests into typed ones and answers back into HTTP.

    :ivar body_limit_bytes: largest request body
    :ivar default_timeout_s: time for a request whose caller names no deadline
    :ivar max_timeout_s: longest time a caller may ask for
    """

    configuration: holder.ConfigurationHolder
    permit: permit.WorkPermit
    dispatcher: dispatch.Dispatcher
    orders: keeper.OrderKeeper
    directory: directory.Directory
    metrics: metrics.Metrics
    body_limit_bytes: int
    default_timeout_s: float
    max_timeout_s: float
    order_keys: order_keys.OrderKeys = attrs.field(init=False)
    stopping: bool = attrs.field(default=False, init=False)
    in_flight: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Build what issues order keys."""
        self.order_keys = order_keys.OrderKeys(self.orders.issued)

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
                await self._handle(scope, receive, answering)
            finally:
                self.in_flight -= 1
                timed.finish()

    def begin_stop(self) -> None:
        """Go on serving, but have callers leave: a planned stop has begun."""
        self.stopping = self.order_keys.closed = True

    async def _handle(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if (scope["path"], scope["method"]) == (MODELS_PATH, "GET"):
            await asgi.respond_json(send, 200, self._models())
        else:
            await self._serve(scope, receive, send)

    async def _serve(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        request_id = uuid.uuid4().hex
        try:
            if (scope["path"], scope["method"]) == (ADDRESSES_PATH, "GET"):
                await asgi.respond_json(send, 200, self._addresses(scope))
                return
            if (scope["path"], scope["method"]) == (ORDER_KEYS_PATH, "POST"):
                answer = await self.order_keys.answer(receive, _workspace(scope))
                await asgi.respond_json(send, 201, answer)
                return
            request = await self._understand(scope, receive, request_id)
            await self._answer(request, receive, send)
        except asgi.ClientGoneError:
            return
        except requests.RequestError as error:
            _log_error(request_id, error)
            lines = [*problems.headers(error), (b"x-request-id", request_id.encode())]
            await asgi.respond(send, error.problem.status, lines, problems.body(error, request_id))

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

    async def _understand(
        self, scope: asgi.Scope, receive: asgi.Receive, request_id: str
    ) -> requests.CallerRequest:
        refusal = self.permit.refusal()
        if refusal is not None:
            raise _refused(requests.Problem.NOT_READY, refusal, NOT_READY_RETRY_AFTER_S)
        try:
            body = await asgi.read_body(receive, self.body_limit_bytes)
        except asgi.BodyTooLargeError as error:
            detail = f"the body exceeds {self.body_limit_bytes} bytes"
            raise _refused(requests.Problem.TOO_LARGE, detail) from error
        path = scope["path"]
        if path in CHAT_PATHS and scope["method"] == "POST":
            return self._model_request(scope, body, request_id)
        if path.startswith(SERVICES_PREFIX):
            return self._plain_request(scope, body, request_id)
        raise _refused(requests.Problem.UNKNOWN_SERVICE, f"nothing is served at {path}")

    def _model_request(
        self, scope: asgi.Scope, body: bytes, request_id: str
    ) -> requests.CallerRequest:
        try:
            fields = json.loads(body)
            name, stream = fields["model"], fields.get("stream", False)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            detail = "the body must be a JSON object with a model"
            raise _refused(requests.Problem.MALFORMED, detail) from error
        # An adapter is named as "service:adapter".
        name, _, adapter = name.partition(":") if isinstance(name, str) else (name, "", "")
        service = self._service(name, rules.ServiceKind.MODEL)
        # Callers name the service; engines know only the model or adapter that they loaded.
        body = json.dumps(fields | {"model": adapter or service.model}).encode()
        request = self._request(
            scope, body, request_id, service, scope["path"], may_repeat=True, stream=stream is True
        )
        return attrs.evolve(request, adapter=adapter, prefix=affinity.prefix_key(fields))

    def _plain_request(
        self, scope: asgi.Scope, body: bytes, request_id: str
    ) -> requests.CallerRequest:
        raw_path = scope["raw_path"].decode("latin-1").removeprefix(SERVICES_PREFIX)
        name, _, rest = raw_path.partition("/")
        service = self._service(name, rules.ServiceKind.PLAIN)
        decoded = "/" + scope["path"].removeprefix(SERVICES_PREFIX).partition("/")[2]
        query = scope["query_string"].decode("latin-1")
        target = f"/{rest}?{query}" if query else f"/{rest}"
        may_repeat = service.may_repeat(scope["method"], decoded)
        return self._request(scope, body, request_id, service, target, may_repeat, False)

    def _request(
        self,
        scope: asgi.Scope,
        body: bytes,
        request_id: str,
        service: rules.Service,
        path: str,
        may_repeat: bool,
        stream: bool,
    ) -> requests.CallerRequest:
        forwarded = [line for line in scope["headers"] if line[0] in FORWARDED_HEADERS]
        return requests.CallerRequest(
            request_id=request_id,
            workspace=_workspace(scope),
            service=service,
            method=scope["method"],
            path=path,
            headers=forwarded,
            body=body,
            deadline_s=trio.current_time() + self._timeout_s(scope),
            may_repeat=may_repeat,
            stream=stream,
            idempotency_key=asgi.header(scope, "idempotency-key"),
            availability_zone=asgi.header(scope, "toucanhold-availability-zone"),
        )

    def _timeout_s(self, scope: asgi.Scope) -> float:
        text = asgi.header(scope, "toucanhold-timeout-s")
        if not text:
            return self.default_timeout_s
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = -1.0
        if not 0 < timeout_s <= self.max_timeout_s:
            detail = f"toucanhold-timeout-s must lie above 0 and up to {self.max_timeout_s}"
            raise _refused(requests.Problem.MALFORMED, detail)
        return timeout_s

    def _service(self, name: object, kind: rules.ServiceKind) -> rules.Service:
        for service in self.configuration.current.rules.services:
            if service.name == name and service.kind is kind:
                return service
        raise _refused(requests.Problem.UNKNOWN_SERVICE, f"no {kind.value} service {name!r}")

    def _addresses(self, scope: asgi.Scope) -> dict:
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        host, port = scope.get("client") or ("", 0)
        caller = query.get("caller") or f"{host}:{port}"
        answer = self.directory.answer(caller, query.get("availability_zone", ""))
        if not answer["addresses"]:
            # An empty answer would leave its caller with nobody to ask for as long as it is kept.
            detail = "no entry is known that takes requests; ask another"
            raise _refused(requests.Problem.NOT_READY, detail, NOT_READY_RETRY_AFTER_S)
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
    known = (*CHAT_PATHS, ADDRESSES_PATH, MODELS_PATH)
    if path in known:
        return path
    return SERVICES_PREFIX if path.startswith(SERVICES_PREFIX) else ""


def _closing(send: asgi.Send) -> asgi.Send:
    # A kept connection would hold its caller to an entry that is about to close its listener.
    async def send_closing(message: dict) -> None:
        if message["type"] == "http.response.start":
            message = message | {"headers": [*message["headers"], (b"connection", b"close")]}
        await send(message)

    return send_closing


def _workspace(scope: asgi.Scope) -> str:
    return asgi.header(scope, "toucanhold-workspace") or DEFAULT_WORKSPACE


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


def _refused(
    problem: requests.Problem, detail: str, retry_after_s: float | None = None
) -> requests.RequestError:
    return requests.RequestError(problem, requests.Outcome.DID_NOT_RUN, detail, retry_after_s)


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
