"""The HTTP client of the operators' interface, used by the command line."""

from __future__ import annotations

import collections.abc
import ssl
import typing
import urllib.parse

import attrs
import httpcore

from toucanhold import codec, network
from toucanhold.configuration import document
from toucanhold.operators import app, messages
from toucanhold.planning import preview

CALL_TIMEOUT_S = 15.0

T = typing.TypeVar("T")


class OperatorsClientError(Exception):
    """The entry refused the request, or could not be reached.

    :ivar kind: as in :class:`messages.ErrorAnswer`; ``unreachable`` without a valid response
    :ivar mistakes: the mistakes of a document, or the differences after a conflict
    """

    def __init__(self, kind: str, detail: str, mistakes: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.kind = kind
        self.mistakes = mistakes


@attrs.define(eq=False)
class OperatorsClient:
    """Calls the operators' interface of one entry.

    All calls raise :class:`OperatorsClientError`.

    :ivar base_url: URL without a trailing slash, for example ``http://127.0.0.1:7001``
    :ivar authority_file: PEM file of the certificate authority; empty for the system's default
    """

    base_url: str
    token: str = attrs.field(repr=False)
    authority_file: str = ""

    async def status(self) -> messages.StatusAnswer:
        """Return the entry's status."""
        return await self._call("GET", app.STATUS_PATH, None, messages.StatusAnswer)

    async def document(self) -> document.Document:
        """Return the inventory and the rules in force."""
        return await self._call("GET", app.DOCUMENT_PATH, None, document.Document)

    async def apply(self, request: messages.ApplyRequest) -> messages.ChangeAnswer:
        """Replace inventory and rules."""
        return await self._call("PUT", app.DOCUMENT_PATH, request, messages.ChangeAnswer)

    async def set_zone(self, zone: str, request: messages.ZoneRequest) -> messages.ChangeAnswer:
        """Take an availability zone out of service, or return it."""
        path = app.ZONES_PREFIX + urllib.parse.quote(zone, safe="")
        return await self._call("PUT", path, request, messages.ChangeAnswer)

    async def preview_zones(self, zones: collections.abc.Iterable[str]) -> preview.Preview:
        """Return the effect that taking availability zones out of service would have."""
        query = urllib.parse.urlencode([("without", zone) for zone in zones])
        return await self._call("GET", f"{app.PREVIEW_PATH}?{query}", None, preview.Preview)

    async def preview_document(self, new_document: document.Document) -> preview.Preview:
        """Return the effect that applying a document would have."""
        return await self._call("POST", app.PREVIEW_PATH, new_document, preview.Preview)

    async def _call(self, method: str, path: str, request: object, response_type: type[T]) -> T:
        body = codec.to_json(request) if request is not None else b""
        headers = {"authorization": f"Bearer {self.token}", "content-type": "application/json"}
        timeouts = dict.fromkeys(("connect", "write", "read", "pool"), CALL_TIMEOUT_S)
        context = ssl.create_default_context(cafile=self.authority_file or None)
        backend = network.PoolBackend()
        try:
            async with httpcore.AsyncConnectionPool(
                context, retries=0, network_backend=backend
            ) as pool:
                response = await pool.request(
                    method,
                    self.base_url + path,
                    headers=headers,
                    content=body,
                    extensions={"timeout": timeouts},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise OperatorsClientError("unreachable", f"{self.base_url}: {error!r}") from error
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            # A change whose response was lost may have been accepted: "unreachable" would be wrong.
            kind = "unknown-outcome" if method == "PUT" else "unreachable"
            raise OperatorsClientError(kind, f"{self.base_url}: {error!r}") from error
        return _decode(response, response_type)


def _decode(response: httpcore.Response, response_type: type[T]) -> T:
    try:
        if response.status in (app.OK, app.ACCEPTED):
            return codec.from_json(response.content, response_type)
        answer = codec.from_json(response.content, messages.ErrorAnswer)
    except codec.CodecError as error:
        detail = f"HTTP status {response.status}: {error}"
        raise OperatorsClientError("unreachable", detail) from error
    details = (*answer.mistakes, *(str(difference) for difference in answer.differences))
    raise OperatorsClientError(answer.kind, answer.detail, details)
