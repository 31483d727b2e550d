"""Reads callers' HTTP requests into typed ones; each mistake gets its own refusal."""

import json
import string
import typing

import attrs
import trio

from toucanhold import asgi
from toucanhold.callers import bodies
from toucanhold.configuration import holder, rules
from toucanhold.membership import permit
from toucanhold.routing import affinity, requests

CHAT_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PREFIX = "/services/"
SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
DEFAULT_WORKSPACE = "default"
WORKSPACE_HEADER = "toucanhold-workspace"
TIMEOUT_HEADER = "toucanhold-timeout-s"
KEY_HEADER = "idempotency-key"
ZONE_HEADER = "toucanhold-availability-zone"
SINGLE_HEADERS = (ZONE_HEADER, WORKSPACE_HEADER, TIMEOUT_HEADER, KEY_HEADER, "content-type")
FORWARDED_HEADERS = (b"content-type", b"accept")
JSON_TYPE = "application/json"
KEY_MAX_LENGTH = 255
WORKSPACE_MAX_LENGTH = 64
PRINTABLE = frozenset(string.ascii_letters + string.digits + string.punctuation)
NOT_READY_RETRY_AFTER_S = 1.0
BUSY_RETRY_AFTER_S = 1.0


@attrs.frozen
class Limits:
    """What one caller's request may take.

    :ivar body_bytes: largest request body
    :ivar body_timeout_s: longest time until a body has arrived
    :ivar default_timeout_s: time for a request whose caller names no deadline
    :ivar max_timeout_s: longest time a caller may ask for
    """

    body_bytes: int
    default_timeout_s: float
    max_timeout_s: float
    body_timeout_s: float = 30.0


@attrs.define(eq=False)
class RequestReader:
    """Understands requests for models and services."""

    configuration: holder.ConfigurationHolder
    permit: permit.WorkPermit
    limits: Limits
    bodies: bodies.OpenBodies

    async def read(
        self, scope: asgi.Scope, receive: asgi.Receive, request_id: str, held: bodies.HeldBody
    ) -> requests.CallerRequest:
        """Return the typed request.

        :raises requests.RequestError: when it is not one
        :raises asgi.ClientDisconnectedError: when its caller left before it was whole
        """
        refusal = self.permit.refusal()
        if refusal is not None:
            raise refused(requests.Problem.NOT_READY, refusal, NOT_READY_RETRY_AFTER_S)
        _check_route(scope)
        _check_single_headers(scope)
        deadline_s = trio.current_time() + self._timeout_s(scope)
        workspace, key = workspace_of(scope), _idempotency_key(scope)
        if scope["path"] in CHAT_PATHS:
            _check_json_type(scope)
        body = await self._read_body(receive, held)
        build = self._model_request if scope["path"] in CHAT_PATHS else self._plain_request
        request = build(scope, body, request_id)
        return attrs.evolve(
            request, workspace=workspace, deadline_s=deadline_s, idempotency_key=key
        )

    async def _read_body(self, receive: asgi.Receive, held: bodies.HeldBody) -> bytes:
        limits = self.limits
        try:
            with trio.fail_after(limits.body_timeout_s):
                return await asgi.read_body(receive, limits.body_bytes, held.grow)
        except asgi.BodyTooLargeError as error:
            detail = f"the body exceeds {limits.body_bytes} bytes"
            raise refused(requests.Problem.TOO_LARGE, detail) from error
        except bodies.BodiesFullError as error:
            detail = "too many request bodies are open"
            raise refused(requests.Problem.OVERLOADED, detail, BUSY_RETRY_AFTER_S) from error
        except trio.TooSlowError as error:
            # A caller that sends a byte now and then would hold its place for ever.
            detail = f"the body did not arrive in {limits.body_timeout_s} s"
            raise refused(requests.Problem.BODY_TIMEOUT, detail) from error

    def _model_request(
        self, scope: asgi.Scope, body: bytes, request_id: str
    ) -> requests.CallerRequest:
        try:
            fields = json.loads(body, parse_constant=_refuse_constant)
            name, stream = fields["model"], fields.get("stream", False)
            # An adapter is named as "service:adapter".
            name, _, adapter = name.partition(":") if isinstance(name, str) else (name, "", "")
            service = self._service(name, rules.ServiceKind.MODEL)
            # Callers name the service; engines know only the model or adapter that they loaded.
            body = json.dumps(fields | {"model": adapter or service.model}).encode()
            prefix = affinity.prefix_key(fields)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            detail = "the body must be a JSON object with a model"
            raise refused(requests.Problem.MALFORMED, detail) from error
        if stream is not None and not isinstance(stream, bool):
            raise refused(requests.Problem.MALFORMED, "stream must be true or false")
        path = scope["path"]
        request = self._request(scope, body, request_id, service, path, True, bool(stream))
        return attrs.evolve(request, adapter=adapter, prefix=prefix)

    def _plain_request(
        self, scope: asgi.Scope, body: bytes, request_id: str
    ) -> requests.CallerRequest:
        raw_path = scope["raw_path"].decode("latin-1").removeprefix(SERVICES_PREFIX)
        name, _, rest = raw_path.partition("/")
        service = self._service(name, rules.ServiceKind.PLAIN)
        decoded = "/" + scope["path"].removeprefix(SERVICES_PREFIX).partition("/")[2]
        query = scope["query_string"].decode("latin-1")
        target = f"/{rest}?{query}" if query else f"/{rest}"
        may_repeat = _may_repeat(service, scope["method"], decoded)
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
            detail = f"{TIMEOUT_HEADER} must lie above 0 and up to {self.limits.max_timeout_s}"
            raise refused(requests.Problem.MALFORMED, detail)
        return timeout_s

    def _service(self, name: object, kind: rules.ServiceKind) -> rules.Service:
        for service in self.configuration.current.rules.services:
            if service.name == name and service.kind is kind:
                return service
        shown = name[:100] if isinstance(name, str) else type(name).__name__
        raise refused(requests.Problem.UNKNOWN_SERVICE, f"no {kind.value} service {shown!r}")


def workspace_of(scope: asgi.Scope) -> str:
    """Return the caller's workspace.

    :raises requests.RequestError: when its name is malformed
    """
    name = asgi.header(scope, WORKSPACE_HEADER) or DEFAULT_WORKSPACE
    if len(name) > WORKSPACE_MAX_LENGTH or set(name) - PRINTABLE:
        detail = f"{WORKSPACE_HEADER} must be up to {WORKSPACE_MAX_LENGTH} printable characters"
        raise refused(requests.Problem.MALFORMED, detail)
    return name


def refused(
    problem: requests.Problem, detail: str, retry_after_s: float | None = None
) -> requests.RequestError:
    """Return the error for a request that did not run."""
    return requests.RequestError(problem, requests.Outcome.DID_NOT_RUN, detail, retry_after_s)


def _check_route(scope: asgi.Scope) -> None:
    path, method = scope["path"], scope["method"]
    if path in CHAT_PATHS:
        allowed: tuple[str, ...] = ("POST",)
    elif path.startswith(SERVICES_PREFIX):
        allowed = SERVICE_METHODS
        _check_segments(path.removeprefix(SERVICES_PREFIX))
    else:
        raise refused(requests.Problem.UNKNOWN_SERVICE, "nothing is served at this path")
    if method not in allowed:
        detail = f"the method must be {' or '.join(allowed)}"
        raise refused(requests.Problem.METHOD_NOT_ALLOWED, detail)


def _check_segments(path: str) -> None:
    # A service that tidies "//publish" or "/x/../publish" up would publish, while the rule for
    # "/publish" did not match: the call would be repeated like an idempotent one.
    segments = path.split("/")
    if "" in segments[:-1] or {".", ".."} & set(segments):
        raise refused(requests.Problem.MALFORMED, "the path has empty or dot segments")


def _may_repeat(service: rules.Service, method: str, path: str) -> bool:
    # The same with a slash at the end, which most services take for the same call.
    bare = path.rstrip("/") or "/"
    return service.may_repeat(method, path) and service.may_repeat(method, bare)


def _check_single_headers(scope: asgi.Scope) -> None:
    # Whoever reads another one of two equal headers sees another request.
    names = [key.decode("latin-1") for key, _ in scope["headers"]]
    for name in SINGLE_HEADERS:
        if names.count(name) > 1:
            raise refused(requests.Problem.MALFORMED, f"{name} is given twice")


def _idempotency_key(scope: asgi.Scope) -> str:
    if not any(key == KEY_HEADER.encode() for key, _ in scope["headers"]):
        return ""
    key = asgi.header(scope, KEY_HEADER)
    if not 1 <= len(key) <= KEY_MAX_LENGTH or set(key) - PRINTABLE:
        # Taken for no key, a repeat of the call would run it again.
        detail = f"{KEY_HEADER} must have 1 to {KEY_MAX_LENGTH} printable characters"
        raise refused(requests.Problem.MALFORMED, detail)
    return key


def _check_json_type(scope: asgi.Scope) -> None:
    kind = asgi.header(scope, "content-type").partition(";")[0].strip().lower()
    if kind not in ("", JSON_TYPE):
        raise refused(requests.Problem.WRONG_CONTENT_TYPE, f"the body must be {JSON_TYPE}")


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not JSON")
