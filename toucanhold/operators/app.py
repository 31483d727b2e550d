"""The operators' ASGI application."""

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
    """Checks the token, then queries or changes.

    :ivar tokens: what operators must present one of; compared in constant time
    """

    changes: changes.Changes
    configuration: holder.ConfigurationHolder
    status: status.StatusComposer
    previewer: preview.Previewer
    metrics: metrics.Metrics
    tokens: keyring.KeyRing

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one connection event of the ASGI server."""
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
                lines = [(b"content-type", metrics.CONTENT_TYPE)]
                await asgi.respond(send, 200, lines, self.metrics.exposition())
                return
            answer = await self._route(scope, receive)
            body, code = codec.to_json(answer), _status_of(answer)
        except _OperatorError as error:
            body, code = codec.to_json(error.answer), error.status_code
            _log_refusal(scope, error)
        except asgi.ClientDisconnectedError:
            return
        except Exception as error:
            # The server would answer with a bare 500, and the operator could not tell whether the
            # change was made. It is not known here either, and the answer says so.
            LOGGER.exception("%s %s failed", scope["method"], scope["path"])
            detail = f"{error!r}; whether anything was changed is not known, see status"
            body, code = codec.to_json(messages.ErrorAnswer("internal", detail)), 500
        await asgi.respond(send, code, [(b"content-type", b"application/json")], body)

    def _authenticate(self, scope: asgi.Scope) -> None:
        presented = asgi.header(scope, "authorization").removeprefix("Bearer ")
        if self.tokens.find(presented.encode(), _itself) is None:
            raise _error(401, "unauthorized", "a valid operator token is needed")

    async def _route(self, scope: asgi.Scope, receive: asgi.Receive) -> object:
        path, method = scope["path"], scope["method"]
        if (method, path) == ("GET", STATUS_PATH):
            return self.status.compose()
        if (method, path) == ("GET", DOCUMENT_PATH):
            return self.configuration.current.to_document()
        if (method, path) == ("GET", PREVIEW_PATH):
            return self._preview_zones(scope)
        if (method, path) == ("POST", PREVIEW_PATH):
            return self._preview_document(await _read(receive, document.Document))
        if (method, path) == ("PUT", DOCUMENT_PATH):
            return await self._apply(await _read(receive, messages.ApplyRequest))
        if method == "PUT" and path.startswith(ZONES_PREFIX):
            zone = path.removeprefix(ZONES_PREFIX)
            return await self._set_zone(zone, await _read(receive, messages.ZoneRequest))
        raise _error(404, "unknown", f"nothing at {method} {path}")

    def _preview_zones(self, scope: asgi.Scope) -> preview.Preview:
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        zones = query.get("without", [])
        known = {each.name for each in self.configuration.current.rules.availability_zones}
        if not zones:
            raise _error(422, "invalid", "name availability zones: ?without=NAME")
        if unknown := sorted(set(zones) - known):
            raise _error(404, "unknown-availability-zone", f"no availability zone {unknown[0]!r}")
        return self.previewer.preview_without_zones(zones)

    def _preview_document(self, wanted: document.Document) -> preview.Preview:
        _check(wanted)
        return self.previewer.preview_document(wanted)

    async def _apply(self, request: messages.ApplyRequest) -> messages.ChangeAnswer:
        _check(request.document)
        change = self.changes.apply(request.document, request.expected, request.author)
        try:
            return await _translated(change)
        except _OperatorError as error:
            if error.answer.kind == CONFLICT:
                error.answer = await self._with_differences(error.answer, request.expected)
            raise

    async def _with_differences(
        self, answer: messages.ErrorAnswer, expected: int
    ) -> messages.ErrorAnswer:
        differences = await self.changes.differences(expected)
        return attrs.evolve(answer, differences=differences[:DIFFERENCES_LIMIT])

    async def _set_zone(self, zone: str, request: messages.ZoneRequest) -> messages.ChangeAnswer:
        known = {each.name: each for each in self.configuration.current.rules.availability_zones}
        if zone not in known:
            raise _error(404, "unknown-availability-zone", f"no availability zone {zone!r}")
        if not request.out:
            return await _translated(self.changes.return_zone(zone, request.author))
        if not known[zone].drainable and not request.force:
            detail = f"the rules say that {zone!r} may not be drained; force overrides them"
            raise _error(409, "not-drainable", detail)
        return await _translated(self.changes.take_out(zone, request.author))


def _check(wanted: document.Document) -> None:
    try:
        document.validate(wanted)
    except document.InvalidDocumentError as error:
        mistakes = tuple(str(mistake) for mistake in error.exceptions)
        answer = messages.ErrorAnswer("invalid", error.message, mistakes)
        raise _OperatorError(422, answer) from error


def _itself(token: bytes) -> bytes:
    return token


def _status_of(answer: object) -> int:
    held = isinstance(answer, messages.ChangeAnswer) and not answer.durable
    return ACCEPTED if held else OK


async def _translated(change) -> messages.ChangeAnswer:
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


async def _read(receive: asgi.Receive, kind: type):
    try:
        return codec.from_json_strict(await asgi.read_body(receive, BODY_LIMIT_BYTES), kind)
    except asgi.BodyTooLargeError as error:
        raise _error(413, "too-large", f"the body exceeds {BODY_LIMIT_BYTES} bytes") from error
    except codec.CodecError as error:
        mistakes = tuple(str(error).split("; "))
        answer = messages.ErrorAnswer("invalid", "wrong shape", mistakes)
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
