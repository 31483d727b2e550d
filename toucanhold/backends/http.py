"""Backend servers over HTTP/1.1."""

import collections.abc
import contextlib
import json

import attrs
import httpcore
import trio

from toucanhold import codec
from toucanhold.backends import client

REPORT_PATH = "/v1/load"
ORDERS_PATH = "/v1/orders"
REPORT_LIMIT_BYTES = 64 * 1024
KEEP_CONNECTION_S = 30.0
MAX_CONNECTIONS_PER_SERVER = 256
REQUEST_ID_HEADER = b"x-request-id"

CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
TRANSFER_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@attrs.define(eq=False)
class HttpBackendClient(client.BackendClient):
    """Keeps a connection pool for each backend server."""

    _pools: dict[str, httpcore.AsyncConnectionPool] = attrs.field(factory=dict, init=False)

    async def close(self) -> None:
        """Close all connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        for pool in pools:
            await pool.aclose()

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        status, body = await self._exchange(address, "GET", REPORT_PATH, b"", timeout_s)
        if status != 200:
            raise client.BackendError(f"{address}: load report: HTTP status {status}")
        try:
            return codec.from_json(body, client.Report)
        except codec.CodecError as error:
            raise client.BackendError(f"{address}: load report: {error}") from error

    async def send_order(self, address: str, order: client.Order, timeout_s: float) -> None:
        """See :class:`client.BackendClient`."""
        body = codec.to_json(order)
        status, answer = await self._exchange(address, "POST", ORDERS_PATH, body, timeout_s)
        if status == 409:
            raise client.OrderRefusedError(f"{address}: {answer[:200]!r}")
        if status != 200:
            raise client.BackendError(f"{address}: order: HTTP status {status}")

    @contextlib.asynccontextmanager
    async def forward(
        self, address: str, request: client.ForwardedRequest
    ) -> collections.abc.AsyncIterator[client.ForwardedResponse]:
        """See :class:`client.BackendClient`."""
        async with contextlib.AsyncExitStack() as stack:
            pool = self._pool(address)
            if request.fresh_connection:
                # A server may close an idle connection while a request is being written to it.
                # The caller would get "unknown" for an order that in truth never ran; a new
                # connection has no such race.
                pool = await stack.enter_async_context(_new_pool(1))
            outgoing = _to_httpcore(address, request)
            with _translated_errors(address):
                response = await pool.handle_async_request(outgoing)
            stack.push_async_callback(_close_shielded, response)
            if _header(response.headers, REQUEST_ID_HEADER) not in (
                None,
                request.request_id.encode(),
            ):
                raise client.WrongAnswerError(f"{address}: an answer to another request")
            chunks = _chunks(address, response)
            yield client.ForwardedResponse(response.status, tuple(response.headers), chunks)

    async def _exchange(
        self, address: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        request = client.ForwardedRequest(
            method, path, ((b"content-type", b"application/json"),), body, "control", timeout_s
        )
        content = bytearray()
        try:
            with trio.fail_after(timeout_s):
                async with self.forward(address, request) as response:
                    async for chunk in response.chunks:
                        content += chunk
                        if len(content) > REPORT_LIMIT_BYTES:
                            raise client.BackendError(f"{address}: oversized answer")
                    return response.status, bytes(content)
        except trio.TooSlowError as error:
            raise client.AnswerLostError(f"{address}: no answer in {timeout_s} s") from error

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        if address not in self._pools:
            self._pools[address] = _new_pool(MAX_CONNECTIONS_PER_SERVER)
        return self._pools[address]


def error_type(body: bytes) -> str:
    """Return the ``error.type`` of an engine's refusal, or an empty string."""
    try:
        return json.loads(body)["error"]["type"]
    except (ValueError, KeyError, TypeError):
        return ""


def _new_pool(max_connections: int) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections, keepalive_expiry=KEEP_CONNECTION_S, retries=0
    )


def _to_httpcore(address: str, request: client.ForwardedRequest) -> httpcore.Request:
    headers = [
        (b"host", address.encode()),
        (REQUEST_ID_HEADER, request.request_id.encode()),
        (b"content-length", str(len(request.body)).encode()),
        *request.headers,
    ]
    timeouts = dict.fromkeys(("connect", "write", "read", "pool"), request.timeout_s)
    return httpcore.Request(
        request.method,
        httpcore.URL(scheme=b"http", host=_host(address), port=_port(address), target=request.path),
        headers=headers,
        content=request.body,
        extensions={"timeout": timeouts},
    )


def _host(address: str) -> bytes:
    return address.rpartition(":")[0].strip("[]").encode()


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


@contextlib.contextmanager
def _translated_errors(address: str) -> collections.abc.Iterator[None]:
    try:
        yield
    except CONNECT_ERRORS as error:
        if _is_refusal(error):
            raise client.RefusedError(f"{address}: nothing listens there") from error
        raise client.NotSentError(f"{address}: cannot connect: {error!r}") from error
    except TRANSFER_ERRORS as error:
        raise client.AnswerLostError(f"{address}: connection lost: {error!r}") from error


def _is_refusal(error: BaseException | None) -> bool:
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        if isinstance(error, BaseExceptionGroup):
            return all(map(_is_refusal, error.exceptions))
        error = error.__cause__ or error.__context__
    return False


async def _chunks(address: str, response: httpcore.Response) -> collections.abc.AsyncIterator:
    with _translated_errors(address):
        async for chunk in response.aiter_stream():
            yield chunk


async def _close_shielded(response: httpcore.Response) -> None:
    # Closing an unfinished response closes its connection, so that the rest of a late answer can
    # never be read as the answer to another request.
    with trio.CancelScope(shield=True):
        await response.aclose()


def _header(headers: client.Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key.lower() == name), None)
