"""Calls backend servers over HTTP/1.1."""

import collections.abc
import contextlib
import functools

import attrs
import httpcore
import trio

from toucanhold import codec, connection_errors, parsing
from toucanhold.backends import client, pacing, pool

REPORT_PATH = "/v1/load"
ORDERS_PATH = "/v1/orders"
REPORT_LIMIT_BYTES = 64 * 1024
BOOT_CHECK_TIMEOUT_S = 2.0
REQUEST_ID_HEADER = b"x-request-id"
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
BODILESS_STATUSES = (204, 304)
# Errors quote what a server has sent.
MAX_DETAIL_LENGTH = 300

CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
TRANSFER_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@attrs.define(eq=False)
class HttpBackendClient(client.BackendClient):
    """Calls backend servers over pooled HTTP/1.1 connections, one pool for each address."""

    _pools: dict[str, pool.Pool] = attrs.field(factory=dict, init=False)
    _open_responses: int = attrs.field(default=0, init=False)

    async def close(self) -> None:
        """Close all idle connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        for connection_pool in pools:
            await _close_all(connection_pool.drain())

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        status, body = await self._exchange(address, "GET", REPORT_PATH, b"", timeout_s)
        return _parse_report(address, status, body)

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
        with _translate_errors(address, client.NotSentError):
            connection = await self._acquire_connection(address, request)
        self._open_responses += 1
        try:
            with _translate_errors(address, client.AnswerLostError):
                response = await connection.http.request(
                    _to_httpcore(address, request), request.on_read
                )
            try:
                _check_request_id(address, request, response)
                _check_framing(address, request, response)
                yield client.ForwardedResponse(
                    response.status,
                    tuple(response.headers),
                    _read_chunks(address, connection.http.chunks(response)),
                    _body_length(response),
                )
            finally:
                await _close_shielded(response)
        finally:
            self._open_responses -= 1
            await self._release_connection(address, connection)

    async def _acquire_connection(
        self, address: str, request: client.ForwardedRequest
    ) -> pool.Connection:
        if not request.fresh_connection:
            connection, stale = self._pool(address).acquire(request.boot_id)
            await _close_all(stale)
            if connection is not None and (connection.boot_id or not request.boot_id):
                return connection
        else:
            # A server may close an idle connection while a request is being written to it. The
            # caller would then get an unknown outcome for an order that never ran. A new connection
            # does not have this race.
            connection = None
        if connection is None:
            connection = await pool.connect(
                _origin(address), request.timeout_s, self._read_interval_s
            )
        if request.boot_id:
            await self._check_boot(address, connection, request)
        return connection

    async def _check_boot(
        self, address: str, connection: pool.Connection, request: client.ForwardedRequest
    ) -> None:
        # The request was placed by a report that came over another connection. If the server has
        # restarted since, it is cold, and the load meant for the warm process could make it fail.
        # A connection ends with the process at its other end, so the boot id of one report that is
        # read over this connection is valid for the lifetime of the connection.
        try:
            with trio.fail_after(BOOT_CHECK_TIMEOUT_S):
                report = await self._read_report_over(address, connection, request.timeout_s)
            if report.boot_id != request.boot_id:
                raise client.NotSentError(f"{address}: restarted since it was chosen")
            if request.warm_only and report.warmth is not client.Warmth.WARM:
                raise client.NotSentError(f"{address}: cold, but the request needs a warm server")
        except trio.TooSlowError as error:
            await _close_all([connection])
            raise client.NotSentError(
                f"{address}: no load report within {BOOT_CHECK_TIMEOUT_S} s"
            ) from error
        except BaseException:
            await _close_all([connection])
            raise
        connection.boot_id = report.boot_id

    async def _read_report_over(
        self, address: str, connection: pool.Connection, timeout_s: float
    ) -> client.Report:
        report_request = client.ForwardedRequest("GET", REPORT_PATH, (), b"", "control", timeout_s)
        try:
            with _translate_errors(address, client.NotSentError):
                response = await connection.http.request(_to_httpcore(address, report_request))
            try:
                chunks = _read_chunks(address, connection.http.chunks(response))
                body = await _read_limited(address, chunks)
            finally:
                await _close_shielded(response)
            return _parse_report(address, response.status, body)
        except client.BackendError as error:
            raise client.NotSentError(f"{address}: no load report: {error}") from error

    async def _release_connection(self, address: str, connection: pool.Connection) -> None:
        if not self._pool(address).release(connection):
            await _close_all([connection])

    async def _exchange(
        self, address: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        request = client.ForwardedRequest(
            method, path, ((b"content-type", b"application/json"),), body, "control", timeout_s
        )
        try:
            with trio.fail_after(timeout_s):
                async with self.forward(address, request) as response:
                    return response.status, await _read_limited(address, response.chunks)
        except trio.TooSlowError as error:
            raise client.AnswerLostError(f"{address}: no answer within {timeout_s} s") from error

    def _read_interval_s(self) -> float:
        return pacing.read_interval_s(self._open_responses)

    def _pool(self, address: str) -> pool.Pool:
        if address not in self._pools:
            self._pools[address] = pool.Pool(address)
        return self._pools[address]


def error_type(body: bytes) -> str:
    """Return the ``error.type`` of an engine's JSON error body, or an empty string without one."""
    try:
        return parsing.text(parsing.load_json(body)["error"]["type"])
    except (parsing.ParseError, KeyError, TypeError):
        return ""


def _parse_report(address: str, status: int, body: bytes) -> client.Report:
    if status != 200:
        raise client.BackendError(f"{address}: load report: HTTP status {status}")
    try:
        # Unknown fields are ignored: a newer server may report them, and rejecting its report would
        # take a healthy server out of service.
        return codec.from_json(body, client.Report)
    except codec.CodecError as error:
        raise client.BackendError(f"{address}: load report: {error}") from error


async def _read_limited(address: str, chunks: collections.abc.AsyncIterator[bytes]) -> bytes:
    content = bytearray()
    async for chunk in chunks:
        content += chunk
        if len(content) > REPORT_LIMIT_BYTES:
            raise client.AnswerLostError(
                f"{address}: the answer exceeds {REPORT_LIMIT_BYTES} bytes"
            )
    return bytes(content)


def _check_request_id(
    address: str, request: client.ForwardedRequest, response: httpcore.Response
) -> None:
    # A plain service need not return the header. In that case the connection ties the answer to its
    # request: it carries one request at a time and is closed after any irregular end.
    response_id = _find_header(response.headers, REQUEST_ID_HEADER)
    if response_id not in (None, request.request_id.encode()):
        raise client.MismatchedAnswerError(
            f"{address}: the answer has the request id of another request"
        )


def _check_framing(
    address: str, request: client.ForwardedRequest, response: httpcore.Response
) -> None:
    # If a body ends with its connection, a truncated body cannot be told from a complete one.
    if request.method == "HEAD" or response.status in BODILESS_STATUSES:
        return
    names = {key.lower() for key, _ in response.headers}
    if not names & FRAMING_HEADERS:
        raise client.AnswerLostError(
            f"{address}: the answer has neither content-length nor transfer-encoding"
        )


def _to_httpcore(address: str, request: client.ForwardedRequest) -> httpcore.Request:
    headers = [
        (b"host", address.encode()),
        (REQUEST_ID_HEADER, request.request_id.encode()),
        (b"content-length", str(len(request.body)).encode()),
        *request.headers,
    ]
    extensions: dict = {}
    content: bytes | collections.abc.AsyncIterator[bytes] = request.body
    if request.guard is not None:
        extensions["trace"] = _guarded_head(address, request.guard)
        content = _guarded_body(address, request.body, request.guard)
    origin = _origin(address)
    return httpcore.Request(
        request.method,
        httpcore.URL(scheme=b"http", host=origin.host, port=origin.port, target=request.path),
        headers=headers,
        content=content,
        extensions=extensions,
    )


def _guarded_head(address: str, guard: collections.abc.Callable[[], bool]):
    async def trace(name: str, info: dict) -> None:
        if name == "http11.send_request_headers.started" and not guard():
            raise client.NotSentError(f"{address}: permission lost before the first byte was sent")

    return trace


async def _guarded_body(
    address: str, body: bytes, guard: collections.abc.Callable[[], bool]
) -> collections.abc.AsyncIterator[bytes]:
    # If the process is paused while it sends a long body, its permission may have expired when it
    # resumes. The server starts nothing before the last byte, so that byte is sent only after the
    # permission has been checked again.
    if len(body) > 1:
        yield body[:-1]
    if body:
        if not guard():
            raise client.AnswerLostError(
                f"{address}: permission lost before the last byte was sent"
            )
        yield body[-1:]


@functools.lru_cache(maxsize=4096)
def _origin(address: str) -> httpcore.Origin:
    host, _, port = address.rpartition(":")
    return httpcore.Origin(b"http", host.strip("[]").encode(), int(port))


@contextlib.contextmanager
def _translate_errors(
    address: str, error_class: type[client.BackendError]
) -> collections.abc.Iterator[None]:
    try:
        yield
    except CONNECT_ERRORS as error:
        if connection_errors.is_connection_refused(error):
            raise client.ConnectRefusedError(f"{address}: connection refused") from error
        raise client.NotSentError(f"{address}: cannot connect: {error!r}") from error
    except TRANSFER_ERRORS as error:
        detail = f"{address}: connection lost: {error!r}"[:MAX_DETAIL_LENGTH]
        raise error_class(detail) from error


async def _read_chunks(
    address: str, chunks: collections.abc.AsyncIterator[bytes]
) -> collections.abc.AsyncIterator[bytes]:
    with _translate_errors(address, client.AnswerLostError):
        async for chunk in chunks:
            yield chunk


def _body_length(response: httpcore.Response) -> int | None:
    value = _find_header(response.headers, b"content-length") or b""
    return parsing.digits(value.decode("latin-1").strip())


async def _close_shielded(response: httpcore.Response) -> None:
    # Closing an unfinished response closes its connection, so the rest of a late answer can never
    # be read as the answer to another request.
    with trio.CancelScope(shield=True):
        await response.aclose()


async def _close_all(connections: collections.abc.Iterable[pool.Connection]) -> None:
    with trio.CancelScope(shield=True):
        for connection in connections:
            await connection.http.aclose()


def _find_header(headers: client.Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key.lower() == name), None)
