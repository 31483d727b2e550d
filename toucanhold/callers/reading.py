"""Parses and validates callers' HTTP requests; each kind of mistake has its own problem type."""

import json
import string

import attrs
import trio

from toucanhold import asgi, parsing
from toucanhold.callers import bodies
from toucanhold.configuration import holder, rules
from toucanhold.membership import permit
from toucanhold.routing import affinity, requests

COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PREFIX = "/services/"
SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
DEFAULT_WORKSPACE = "default"
WORKSPACE_HEADER = "toucanhold-workspace"
TIMEOUT_HEADER = "toucanhold-timeout-s"
KEY_HEADER = "idempotency-key"
ZONE_HEADER = "toucanhold-availability-zone"
UNIQUE_HEADERS = (ZONE_HEADER, WORKSPACE_HEADER, TIMEOUT_HEADER, KEY_HEADER, "content-type")
FORWARDED_HEADERS = (b"content-type", b"accept")
JSON_TYPE = "application/json"
KEY_MAX_LENGTH = 255
WORKSPACE_MAX_LENGTH = 64
PRINTABLE_CHARACTERS = frozenset(string.ascii_letters + string.digits + string.punctuation)
NOT_READY_RETRY_AFTER_S = 1.0
BUSY_RETRY_AFTER_S = 1.0


@attrs.frozen
class RequestLimits:
    """Limits of a single request.

    :ivar body_bytes: largest size of a request body
    :ivar default_timeout_s: timeout of a request whose caller sets none
    :ivar max_timeout_s: longest timeout that a caller may set
    :ivar body_timeout_s: longest time for receiving a body
    """

    body_bytes: int
    default_timeout_s: float
    max_timeout_s: float
    body_timeout_s: float = 30.0


@attrs.define(eq=False)
class RequestReader:
    """Builds typed requests for models and plain services from ASGI scopes."""

    configuration: holder.ConfigurationHolder
    permit: permit.WorkPermit
    limits: RequestLimits
    body_memory: bodies.BodyMemoryBudget

    async def read(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        request_id: str,
        reservation: bodies.BodyReservation,
    ) -> requests.CallerRequest:
        """Return the typed request.

        :param reservation: accounts for the memory of the body
        :raises requests.RequestError: when the request is invalid or cannot be accepted now
        :raises asgi.ClientDisconnectedError: when the caller disconnected before the body was
            complete
        """
        refusal = self.permit.refusal()
        if refusal is not None:
            raise new_refusal(requests.Problem.NOT_READY, refusal, NOT_READY_RETRY_AFTER_S)
        _check_route(scope)
        _check_unique_headers(scope)
        deadline_s = trio.current_time() + self._timeout_s(scope)
        workspace, key = workspace_of(scope), _idempotency_key(scope)
        if scope["path"] in COMPLETION_PATHS:
            _check_json_type(scope)
        body = await self._read_body(scope, receive, reservation)
        build = self._model_request if scope["path"] in COMPLETION_PATHS else self._plain_request
        request = build(scope, body, request_id)
        return attrs.evolve(
            request, workspace=workspace, deadline_s=deadline_s, idempotency_key=key
        )

    async def _read_body(
        self, scope: asgi.Scope, receive: asgi.Receive, reservation: bodies.BodyReservation
    ) -> bytes:
        limits = self.limits
        try:
            if asgi.announced_bytes(scope) > limits.body_bytes:
                raise asgi.BodyTooLargeError
            with trio.fail_after(limits.body_timeout_s):
                return await asgi.read_body(receive, limits.body_bytes, reservation.grow)
        except asgi.BodyTooLargeError as error:
            detail = f"the body exceeds {limits.body_bytes} bytes"
            raise new_refusal(requests.Problem.TOO_LARGE, detail) from error
        except bodies.BodyMemoryExhaustedError as error:
            detail = "the memory limit for request bodies is reached"
            raise new_refusal(requests.Problem.OVERLOADED, detail, BUSY_RETRY_AFTER_S) from error
        except trio.TooSlowError as error:
            # Without a timeout, a caller that trickles bytes would occupy its slot without end.
            detail = f"the body did not arrive within {limits.body_timeout_s} s"
            raise new_refusal(requests.Problem.BODY_TIMEOUT, detail) from error

    def _model_request(
        self, scope: asgi.Scope, body: bytes, request_id: str
    ) -> requests.CallerRequest:
        try:
            fields = parsing.load_json(body)
            name, stream = fields["model"], fields.get("stream", False)
            # The model is given as "service" or "service:adapter".
            name, _, adapter = name.partition(":") if isinstance(name, str) else (name, "", "")
            service = self._find_service(name, rules.ServiceKind.MODEL)
            # Callers name the service, but engines know only the loaded model or adapter.
            body = json.dumps(fields | {"model": adapter or service.model}).encode()
            prefix = affinity.prefix_key(fields)
        except (parsing.ParseError, KeyError, TypeError, AttributeError) as error:
            detail = "the body must be a JSON object with the field 'model'"
            raise new_refusal(requests.Problem.MALFORMED, detail) from error
        if stream is not None and not isinstance(stream, bool):
            raise new_refusal(
                requests.Problem.MALFORMED, "the field 'stream' must be true or false"
            )
        path = scope["path"]
        request = self._build_request(scope, body, request_id, service, path, True, bool(stream))
        return attrs.evolve(request, adapter=adapter, prefix=prefix)

    def _plain_request(
        self, scope: asgi.Scope, body: bytes, request_id: str
    ) -> requests.CallerRequest:
        raw_path = scope["raw_path"].decode("latin-1").removeprefix(SERVICES_PREFIX)
        name, _, rest = raw_path.partition("/")
        service = self._find_service(name, rules.ServiceKind.PLAIN)
        decoded = "/" + scope["path"].removeprefix(SERVICES_PREFIX).partition("/")[2]
        query = scope["query_string"].decode("latin-1")
        target = f"/{rest}?{query}" if query else f"/{rest}"
        may_repeat = _is_idempotent(service, scope["method"], decoded)
        return self._build_request(scope, body, request_id, service, target, may_repeat, False)

    def _build_request(
        self,
        scope: asgi.Scope,
        body: bytes,
        request_id: str,
        service: rules.Service,
        path: str,
        may_repeat: bool,
        stream: bool,
    ) -> requests.CallerRequest:
        return requests.CallerRequest(
            request_id=request_id,
            workspace="",
            service=service,
            method=scope["method"],
            path=path,
            headers=[line for line in scope["headers"] if line[0] in FORWARDED_HEADERS],
            body=body,
            deadline_s=0.0,
            may_repeat=may_repeat,
            stream=stream,
            availability_zone=asgi.header(scope, ZONE_HEADER),
        )

    def _timeout_s(self, scope: asgi.Scope) -> float:
        text = asgi.header(scope, TIMEOUT_HEADER)
        if not text:
            return self.limits.default_timeout_s
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = -1.0
        if not 0 < timeout_s <= self.limits.max_timeout_s:
            detail = f"{TIMEOUT_HEADER} must be above 0 and at most {self.limits.max_timeout_s}"
            raise new_refusal(requests.Problem.MALFORMED, detail)
        return timeout_s

    def _find_service(self, name: object, kind: rules.ServiceKind) -> rules.Service:
        for service in self.configuration.current.rules.services:
            if service.name == name and service.kind is kind:
                return service
        shown_name = name[:100] if isinstance(name, str) else type(name).__name__
        raise new_refusal(
            requests.Problem.UNKNOWN_SERVICE, f"unknown {kind.value} service {shown_name!r}"
        )


def workspace_of(scope: asgi.Scope) -> str:
    """Return the caller's workspace.

    :raises requests.RequestError: when its name is malformed
    """
    name = asgi.header(scope, WORKSPACE_HEADER) or DEFAULT_WORKSPACE
    if len(name) > WORKSPACE_MAX_LENGTH or set(name) - PRINTABLE_CHARACTERS:
        detail = f"{WORKSPACE_HEADER} must have at most {WORKSPACE_MAX_LENGTH} printable characters"
        raise new_refusal(requests.Problem.MALFORMED, detail)
    return name


def new_refusal(
    problem: requests.Problem, detail: str, retry_after_s: float | None = None
) -> requests.RequestError:
    """Return the error for a request that was refused before it ran."""
    return requests.RequestError(problem, requests.Outcome.DID_NOT_RUN, detail, retry_after_s)


def _check_route(scope: asgi.Scope) -> None:
    path, method = scope["path"], scope["method"]
    if path in COMPLETION_PATHS:
        allowed: tuple[str, ...] = ("POST",)
    elif path.startswith(SERVICES_PREFIX):
        allowed = SERVICE_METHODS
        _check_path_segments(path.removeprefix(SERVICES_PREFIX))
    else:
        raise new_refusal(requests.Problem.UNKNOWN_SERVICE, "no service has this path")
    if method not in allowed:
        detail = f"the method must be {' or '.join(allowed)}"
        raise new_refusal(requests.Problem.METHOD_NOT_ALLOWED, detail)


def _check_path_segments(path: str) -> None:
    # A service that normalises "//publish" or "/x/../publish" would publish, although the rule for
    # "/publish" did not match, and the call would be retried like an idempotent one.
    segments = path.split("/")
    if "" in segments[:-1] or {".", ".."} & set(segments):
        raise new_refusal(requests.Problem.MALFORMED, "the path contains empty or dot segments")


def _is_idempotent(service: rules.Service, method: str, path: str) -> bool:
    # Most services treat a path with a trailing slash as the same call, so both forms must match.
    without_slash = path.rstrip("/") or "/"
    return service.may_repeat(method, path) and service.may_repeat(method, without_slash)


def _check_unique_headers(scope: asgi.Scope) -> None:
    # With a duplicate header, two readers that pick different values see different requests.
    names = [key.decode("latin-1") for key, _ in scope["headers"]]
    for name in UNIQUE_HEADERS:
        if names.count(name) > 1:
            raise new_refusal(requests.Problem.MALFORMED, f"header {name} must occur at most once")


def _idempotency_key(scope: asgi.Scope) -> str:
    if not any(key == KEY_HEADER.encode() for key, _ in scope["headers"]):
        return ""
    key = asgi.header(scope, KEY_HEADER)
    if not 1 <= len(key) <= KEY_MAX_LENGTH or set(key) - PRINTABLE_CHARACTERS:
        # If an invalid key were ignored, a retry of the call would run it again.
        detail = f"{KEY_HEADER} must have 1 to {KEY_MAX_LENGTH} printable characters"
        raise new_refusal(requests.Problem.MALFORMED, detail)
    return key


def _check_json_type(scope: asgi.Scope) -> None:
    kind = asgi.header(scope, "content-type").partition(";")[0].strip().lower()
    if kind not in ("", JSON_TYPE):
        raise new_refusal(
            requests.Problem.WRONG_CONTENT_TYPE, f"the content type must be {JSON_TYPE}"
        )
