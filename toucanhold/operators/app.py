"""The ASGI application of the operators' interface."""

from __future__ import annotations

import logging
import urllib.parse

import attrs

from toucanhold import asgi, codec, events, keyring, metrics
from toucanhold.configuration import document, holder, store
from toucanhold.operators import changes, messages, status
from toucanhold.planning import preview

DOCUMENT_PATH = "/operators/v1/document"
STATUS_PATH = "/operators/v1/status"
PREVIEW_PATH = "/operators/v1/preview"
ZONES_PREFIX = "/operators/v1/availability-zones/"
HEALTH_PATH = "/health"
METRICS_PATH = "/metrics"
BODY_LIMIT_BYTES = 8 * 1024 * 1024
OK = 200
ACCEPTED = 202
CONFLICT = "conflict"
DIFFERENCES_LIMIT = 200

LOGGER = logging.getLogger(__name__)


class _OperatorError(Exception):
    def __init__(self, status_code: int, answer: messages.ErrorAnswer) -> None:
        super().__init__(answer.detail)
        self.status_code = status_code
        self.answer = answer


@attrs.define(eq=False)
class OperatorsApp:
    """Authenticates operators, answers their queries and carries out their changes.

    The health check needs no token.

    :ivar tokens: accepted bearer tokens; compared in constant time
    """

    change_coordinator: changes.ChangeCoordinator
    configuration: holder.ConfigurationHolder
    status: status.StatusComposer
    previewer: preview.Previewer
    metrics: metrics.Metrics
    tokens: keyring.KeyRing

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one ASGI scope: a lifespan or an HTTP request."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._handle(scope, receive, send)

    async def _handle(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if scope["path"] == HEALTH_PATH:
            await asgi.respond_json(send, 200, {"status": "ok"})
            return
        try:
            self._authenticate(scope)
            if scope["path"] == METRICS_PATH:
                await self.metrics.load()
                headers = [(b"content-type", self.metrics.content_type)]
                await asgi.respond(send, 200, headers, self.metrics.exposition())
                return
            answer = await self._handle_operation(scope, receive)
            body, code = codec.to_json(answer), _http_status(answer)
        except _OperatorError as error:
            body, code = codec.to_json(error.answer), error.status_code
            _log_refusal(scope, error)
        except asgi.ClientDisconnectedError:
            return
        except Exception as error:
            # Without this, the ASGI server would send a 500 without a body. Whether the change was
            # made is not known here, and the response must say so.
            LOGGER.exception("%s %s failed", scope["method"], scope["path"])
            detail = f"{error!r}; it is not known whether anything was changed, check the status"
            body, code = codec.to_json(messages.ErrorAnswer("internal", detail)), 500
        await asgi.respond(send, code, [(b"content-type", b"application/json")], body)

    def _authenticate(self, scope: asgi.Scope) -> None:
        presented = asgi.header(scope, "authorization").removeprefix("Bearer ")
        if self.tokens.find(presented.encode(), _identity) is None:
            raise _error(401, "unauthorized", "a valid bearer token of an operator is required")

    async def _handle_operation(self, scope: asgi.Scope, receive: asgi.Receive) -> object:
        path, method = scope["path"], scope["method"]
        if (method, path) == ("GET", STATUS_PATH):
            return self.status.compose()
        if (method, path) == ("GET", DOCUMENT_PATH):
            return self.configuration.current.to_document()
        if (method, path) == ("GET", PREVIEW_PATH):
            return self._preview_zones(scope)
        if (method, path) == ("POST", PREVIEW_PATH):
            return self._preview_document(await _decode_body(receive, document.Document))
        if (method, path) == ("PUT", DOCUMENT_PATH):
            return await self._apply(await _decode_body(receive, messages.ApplyRequest))
        if method == "PUT" and path.startswith(ZONES_PREFIX):
            zone = path.removeprefix(ZONES_PREFIX)
            return await self._set_zone(zone, await _decode_body(receive, messages.ZoneRequest))
        raise _error(404, "unknown", f"unknown operation: {method} {path}")

    def _preview_zones(self, scope: asgi.Scope) -> preview.Preview:
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        zones = query.get("without", [])
        known_zones = {zone.name for zone in self.configuration.current.rules.availability_zones}
        if not zones:
            raise _error(
                422, "invalid", "at least one availability zone is required: ?without=NAME"
            )
        if unknown := sorted(set(zones) - known_zones):
            raise _error(
                404, "unknown-availability-zone", f"unknown availability zone {unknown[0]!r}"
            )
        return self.previewer.preview_without_zones(zones)

    def _preview_document(self, new_document: document.Document) -> preview.Preview:
        _validate(new_document)
        return self.previewer.preview_document(new_document)

    async def _apply(self, request: messages.ApplyRequest) -> messages.ChangeAnswer:
        _validate(request.document)
        change = self.change_coordinator.apply(request.document, request.expected, request.author)
        try:
            return await _translate_store_errors(change)
        except _OperatorError as error:
            if error.answer.kind == CONFLICT:
                error.answer = await self._add_differences(error.answer, request.expected)
            raise

    async def _add_differences(
        self, answer: messages.ErrorAnswer, expected: int
    ) -> messages.ErrorAnswer:
        differences = await self.change_coordinator.differences_since(expected)
        return attrs.evolve(answer, differences=differences[:DIFFERENCES_LIMIT])

    async def _set_zone(self, zone: str, request: messages.ZoneRequest) -> messages.ChangeAnswer:
        known_zones = {
            zone_rules.name: zone_rules
            for zone_rules in self.configuration.current.rules.availability_zones
        }
        if zone not in known_zones:
            raise _error(404, "unknown-availability-zone", f"unknown availability zone {zone!r}")
        if not request.out:
            return await _translate_store_errors(
                self.change_coordinator.return_zone(zone, request.author)
            )
        if not known_zones[zone].drainable and not request.force:
            detail = f"the rules mark {zone!r} as not drainable; force overrides them"
            raise _error(409, "not-drainable", detail)
        return await _translate_store_errors(
            self.change_coordinator.take_zone_out(zone, request.author)
        )


def _validate(new_document: document.Document) -> None:
    try:
        document.validate(new_document)
    except document.InvalidDocumentError as error:
        mistakes = tuple(str(mistake) for mistake in error.exceptions)
        answer = messages.ErrorAnswer("invalid", error.message, mistakes)
        raise _OperatorError(422, answer) from error


def _identity(token: bytes) -> bytes:
    return token


def _http_status(answer: object) -> int:
    is_pending = isinstance(answer, messages.ChangeAnswer) and not answer.durable
    return ACCEPTED if is_pending else OK


async def _translate_store_errors(change) -> messages.ChangeAnswer:
    try:
        return await change
    except store.ConflictError as error:
        raise _error(409, CONFLICT, str(error)) from error
    except store.ServiceUnavailableError as error:
        raise _error(503, "unavailable", str(error)) from error
    except store.UnreadableError as error:
        raise _error(500, "unreadable", str(error)) from error
    except store.UnknownOutcomeError as error:
        raise _error(504, "unknown-outcome", str(error)) from error


async def _decode_body(receive: asgi.Receive, body_type: type):
    try:
        return codec.from_json_strict(await asgi.read_body(receive, BODY_LIMIT_BYTES), body_type)
    except asgi.BodyTooLargeError as error:
        raise _error(413, "too-large", f"the body exceeds {BODY_LIMIT_BYTES} bytes") from error
    except codec.CodecError as error:
        mistakes = tuple(str(error).split("; "))
        answer = messages.ErrorAnswer("invalid", "the body does not match the schema", mistakes)
        raise _OperatorError(422, answer) from error


def _error(status_code: int, kind: str, detail: str) -> _OperatorError:
    return _OperatorError(status_code, messages.ErrorAnswer(kind, detail))


def _log_refusal(scope: asgi.Scope, error: _OperatorError) -> None:
    events.log(
        LOGGER,
        events.Event.CONFIGURATION_REFUSED,
        method=scope["method"],
        path=scope["path"],
        kind=error.answer.kind,
        reason=error.answer.detail,
    )
