"""HTTP servers for ASGI applications."""

import abc
import collections.abc
import contextlib
import functools
import logging
import socket
import struct
import urllib.parse

import attrs
import h11
import hypercorn.config
import trio
from hypercorn import app_wrappers
from hypercorn import events as hypercorn_events
from hypercorn.protocol import h11 as http1
from hypercorn.trio import task_group, tcp_server, worker_context

from toucanhold import intake, parsing_effort, parsing_turns, supervision

MAX_HEADER_BYTES = 32 * 1024
LISTEN_BACKLOG = 512
STALLED_CLIENT_TIMEOUT_S = 30
# Time for answers in progress when a server stops.
STOP_GRACE_S = 0.5
READ_BYTES = 16 * 1024
# What a client has sent stays in the kernel, within this size, until it is parsed.
RECEIVE_BUFFER_BYTES = 128 * 1024
# Part of a costly request that is parsed in one turn.
TURN_BYTES = 512
# Short answers are those to requests without a body.
SHORT_READ_BYTES = 2 * 1024
SHORT_BODY_BYTES = 4 * 1024
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
REFUSAL_TIMEOUT_S = 0.1
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


LOGGER = logging.getLogger(__name__)


class ListenError(Exception):
    """The server cannot listen on its address."""


@attrs.define(eq=False)
class ClientLimits:
    """Limits that the clients of several servers share.

    :ivar clients: bounds the memory and the number of connections
    :ivar turns: bounds the processor time for costly requests
    """

    clients: intake.Intake = attrs.field(factory=intake.unlimited)
    turns: parsing_turns.ParsingTurns = attrs.field(factory=parsing_turns.ParsingTurns)

    def evicted_counts(self) -> dict[str, int]:
        """Return the number of connections closed for want of room, by what was wanting."""
        return {**self.clients.evicted_counts, "parser": self.turns.queue.evicted_count}


class HttpServer(abc.ABC):
    """Serves ASGI applications."""

    @abc.abstractmethod
    async def serve(
        self,
        app: collections.abc.Callable,
        address: str,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``stop`` is set and all requests in flight have finished.

        :param app: ASGI application
        :param address: ``IP:port``
        :param stop: set to stop gracefully
        :param task_status: started when the server listens
        :raises ListenError: when it cannot listen on the address
        """


@attrs.frozen
class HypercornServer(HttpServer):
    """Serves ASGI applications with hypercorn.

    :ivar idle_timeout_s: time after which an idle connection is closed, in seconds
    :ivar tls_files: paths of the PEM files of certificate and key; empty for plain HTTP
    """

    idle_timeout_s: float
    tls_files: tuple[str, str] = ("", "")
    limits: ClientLimits = attrs.field(factory=ClientLimits)

    async def serve(
        self,
        app: collections.abc.Callable,
        address: str,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See :class:`HttpServer`."""
        config = self._config()
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(_listen(address)))
        tls_context = config.create_ssl_context()
        if tls_context is not None:
            listener = trio.SSLListener(listener, tls_context, https_compatible=True)
        context = worker_context.WorkerContext(None)
        wrapped_app = app_wrappers.ASGIWrapper(app)

        async def handle(stream: trio.abc.Stream) -> None:
            # Requests of other connections go on whatever bytes a client sends.
            connection = _Connection(wrapped_app, config, context, {}, stream)
            connection.limits = self.limits
            await supervision.run(connection.run)

        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    functools.partial(
                        trio.serve_listeners, handle, [listener], handler_nursery=connections
                    )
                )
                task_status.started()
                await stop.wait()
                accepting.cancel_scope.cancel()
            # A limit would cut off the streams in flight at a planned stop. Each request has its
            # own deadline.
            await context.terminated.set()

    def _config(self) -> hypercorn.config.Config:
        config = hypercorn.config.Config()
        config.certfile, config.keyfile = (name or None for name in self.tls_files)
        config.alpn_protocols = ["http/1.1"]
        config.keep_alive_timeout = self.idle_timeout_s
        config.h11_max_incomplete_size = MAX_HEADER_BYTES
        config.errorlog = logging.getLogger("toucanhold.http")
        config.accesslog = None
        config.include_server_header = False
        return config


class _Connection(tcp_server.TCPServer):
    """One connection of a client, which speaks HTTP/1.1 only."""

    limits: ClientLimits
    _client = None
    _is_idle = True
    _has_input_ended = False
    _is_refused = False

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        self._scope = trio.CancelScope()
        self._client = _Client(self.limits, self._evict)
        try:
            with self._scope:
                await self._serve()
        except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
            LOGGER.debug("a connection ended: %r", error)
        finally:
            self.limits.clients.close(self._client.share)
            if self._is_refused:
                await self._send_refusal()
            with contextlib.suppress(trio.ClosedResourceError):
                await self._close()

    async def _serve(self) -> None:
        is_tls = isinstance(self.stream, trio.SSLStream)
        if is_tls:
            with trio.fail_after(self.config.ssl_handshake_timeout):
                await self.stream.do_handshake()
        transport = _transport(self.stream)
        peer, own = transport.socket.getpeername(), transport.socket.getsockname()
        async with task_group.TaskGroup() as tasks:
            self._task_group = tasks
            self.protocol = _Protocol(
                self.app,
                self.config,
                self.context,
                tasks,
                self.state,
                is_tls,
                peer[:2],
                own[:2],
                self.protocol_send,
            )
            self.protocol.limit(self._client)
            await self.protocol.initiate()
            await self.idle_task.restart(tasks, self._idle_timeout)
            await self._read_data()

    def _evict(self) -> None:
        """Close the connection for want of room."""
        phase = self._client.share.phase if self._client is not None else intake.Phase.IDLE
        if phase is intake.Phase.ANSWERING:
            # Writes are shielded from cancellation. An answer without a length or chunks must not
            # look complete.
            transport_socket = _transport(self.stream).socket
            transport_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            transport_socket.close()
        # An early answer to an unfinished request may have been sent already.
        self._is_refused = phase is intake.Phase.RECEIVING and self.protocol.has_sent_nothing
        self._scope.cancel()

    async def _send_refusal(self) -> None:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + REFUSAL_TIMEOUT_S):
            try:
                await self.stream.send_all(REFUSAL)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                LOGGER.debug("a refusal was not sent: %r", error)

    async def protocol_send(self, event: hypercorn_events.Event) -> None:
        """See :class:`tcp_server.TCPServer`."""
        if isinstance(event, hypercorn_events.RawData):
            self.limits.clients.write(self._client.share, len(event.data))
            try:
                await super().protocol_send(event)
            finally:
                self.limits.clients.write(self._client.share, -len(event.data))
            return
        if isinstance(event, hypercorn_events.Updated):
            self._is_idle = event.idle
            if event.idle:
                self._client.expect_request()
                if self._has_input_ended:
                    # The timer would keep the connection for its whole time.
                    return
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        """See :class:`tcp_server.TCPServer`."""
        try:
            while data := await self.stream.receive_some(READ_BYTES):
                await self.protocol.handle(hypercorn_events.RawData(bytes(data)))
            await self.protocol.handle(hypercorn_events.RawData(b""))
        except (trio.ClosedResourceError, trio.BrokenResourceError) as error:
            LOGGER.debug("a connection ended: %r", error)
        await self.protocol.handle(hypercorn_events.Closed())
        self._has_input_ended = True
        await self.idle_task.stop()

    async def _idle_timeout(self) -> None:
        """See :class:`tcp_server.TCPServer`."""
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        # A request may have arrived since; the connection is closed after its answer.
        if self._is_idle:
            with trio.CancelScope(shield=True):
                await self._initiate_server_close()


@attrs.define(eq=False)
class _Client:
    """What one connection takes of the limits that all clients share."""

    limits: ClientLimits
    evict: collections.abc.Callable[[], None]
    share: intake.Share = attrs.field(init=False)
    effort: parsing_effort.Effort = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.effort = parsing_effort.Effort(self.evict)
        self.share = self.limits.clients.open(self.evict)

    def record_read(self, size_bytes: int) -> None:
        """Record data that has arrived."""
        self.effort.event_count += parsing_effort.READ_EVENTS
        # Data that arrives during an answer belongs to a later request and stays in its buffer.
        if size_bytes and self.share.phase is not intake.Phase.ANSWERING:
            self.limits.clients.receive(self.share, size_bytes)

    def record_event(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> None:
        """Record an event of the parser."""
        self.effort.event_count += 1
        if isinstance(event, h11.Data):
            self.effort.body_bytes += len(event.data)
        elif isinstance(event, h11.Request):
            self.limits.clients.receive(self.share, 0)
        elif isinstance(event, h11.EndOfMessage):
            self.limits.turns.end(self.effort)
            self.limits.clients.complete(self.share)

    def expect_request(self) -> None:
        """Record that the last request was answered."""
        self.limits.clients.finish(self.share)
        self.effort.restart()


class _Parser(h11.Connection):
    """Parser of a client's requests, which records its events.

    :ivar is_closed: whether nobody would get an answer to what is parsed from now on
    """

    is_closed = False

    def __init__(self, max_head_bytes: int, client: _Client) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        self._client = client

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """See :class:`h11.Connection`."""
        if self.is_closed:
            return h11.NEED_DATA
        event = super().next_event()
        self._client.record_event(event)
        return event


class _Protocol(http1.H11Protocol):
    """HTTP/1.1 without upgrades to other protocols, which clients' headers could ask for."""

    def limit(self, client: _Client) -> None:
        """Set the client whose requests are parsed; called once, before anything else."""
        self._client = client
        self.connection = _Parser(self.config.h11_max_incomplete_size, client)

    @property
    def has_sent_nothing(self) -> bool:
        """Whether no answer to the present request has begun."""
        return self.connection.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    async def handle(self, event: hypercorn_events.Event) -> None:
        """See :class:`http1.H11Protocol`."""
        if isinstance(event, hypercorn_events.RawData):
            await self._handle_data(event.data)
            return
        is_close = isinstance(event, hypercorn_events.Closed)
        self.connection.is_closed |= is_close
        await super().handle(event)
        if is_close:
            # A request that was sent ahead would wait for an answer that nobody can end.
            await self.can_read.set()

    async def _handle_data(self, data: bytes) -> None:
        self._client.record_read(len(data))
        effort, turns = self._client.effort, self._client.limits.turns
        position = 0
        # Nobody would get the answer to a request that is read after the close.
        while not self.connection.is_closed:
            if effort.is_turn_needed:
                async with turns.turn(effort):
                    await self._parse(data[position : position + TURN_BYTES])
                position += TURN_BYTES
            else:
                await self._parse(data[position:])
                return
            if position >= len(data):
                return

    async def _parse(self, data: bytes) -> None:
        await super().handle(hypercorn_events.RawData(data))

    async def _check_protocol(self, event: h11.Request) -> None:
        """See :class:`http1.H11Protocol`."""

    async def _create_stream(self, request: h11.Request) -> None:
        """See :class:`http1.H11Protocol`."""
        lines = [(name, value) for name, value in request.headers if name != b"upgrade"]
        if len(lines) < len(request.headers):
            request = h11.Request(
                method=request.method,
                target=request.target,
                headers=lines,
                http_version=request.http_version,
            )
        await super()._create_stream(request)


@attrs.frozen
class ShortAnswerServer(HttpServer):
    """Serves ASGI applications that answer short requests at once, over plain HTTP/1.1.

    An entry is asked for addresses and for its readiness several times a second, however few
    requests it serves. A connection costs less than a third of the task switches that hypercorn
    needs for its streams, queues and timers.

    :ivar idle_timeout_s: time after which an idle connection is closed, in seconds
    """

    idle_timeout_s: float
    limits: ClientLimits = attrs.field(factory=ClientLimits)

    async def serve(
        self,
        app: collections.abc.Callable,
        address: str,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See :class:`HttpServer`."""
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(_listen(address)))
        clients = self.limits.clients

        async def handle(stream: trio.SocketStream) -> None:
            scope = trio.CancelScope()
            share = clients.open(scope.cancel)
            try:
                async with stream:
                    with scope:
                        connection = _ShortAnswerConnection(
                            app, stream, self.idle_timeout_s, clients, share
                        )
                        await connection.run()
            finally:
                clients.close(share)

        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    functools.partial(
                        trio.serve_listeners, handle, [listener], handler_nursery=connections
                    )
                )
                task_status.started()
                await stop.wait()
                accepting.cancel_scope.cancel()
            connections.cancel_scope.deadline = trio.current_time() + STOP_GRACE_S


@attrs.define(eq=False)
class _ShortAnswerConnection:
    """One connection of a client.

    :ivar app: ASGI application; its messages are collected and sent as one answer
    """

    app: collections.abc.Callable
    stream: trio.SocketStream
    idle_timeout_s: float
    clients: intake.Intake
    share: intake.Share
    _parser: h11.Connection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the parser."""
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)

    async def run(self) -> None:
        """Answer requests until either side closes the connection."""
        try:
            while (request := await self._read_request()) is not None:
                self.clients.complete(self.share)
                answer = await self._answer(*request)
                self.clients.write(self.share, len(answer))
                await self.stream.send_all(answer)
                self.clients.write(self.share, -len(answer))
                self.clients.finish(self.share)
                if self._parser.our_state is not h11.DONE:
                    return
                self._parser.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError) as error:
            LOGGER.debug("a connection ended: %r", error)
        except Exception:
            # An error of the application must not end the server and all other connections.
            LOGGER.exception("a request was not answered")

    async def _read_request(self) -> tuple[h11.Request, bytes] | None:
        """Return a request and its body; None at the end of the connection."""
        request: h11.Request | None = None
        body = bytearray()
        while True:
            match self._parser.next_event():
                case h11.NEED_DATA:
                    with trio.move_on_after(self.idle_timeout_s) as scope:
                        data = await self.stream.receive_some(SHORT_READ_BYTES)
                    if scope.cancelled_caught:
                        return None
                    self.clients.receive(self.share, len(data))
                    self._parser.receive_data(data)
                case h11.Request() as request:
                    pass
                case h11.Data() as data:
                    body += data.data
                    if len(body) > SHORT_BODY_BYTES:
                        return None
                case h11.EndOfMessage() if request is not None:
                    return request, bytes(body)
                case _:
                    return None

    async def _answer(self, request: h11.Request, body: bytes) -> bytes:
        messages: list[dict] = []

        async def receive() -> dict:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: dict) -> None:
            messages.append(message)

        await self.app(_scope(request), receive, send)
        start = messages[0]
        answer = self._parser.send(
            h11.Response(status_code=start["status"], headers=start["headers"])
        )
        for message in messages[1:]:
            answer += self._parser.send(h11.Data(data=message["body"]))
        return answer + self._parser.send(h11.EndOfMessage())


def _scope(request: h11.Request) -> dict:
    raw_path, _, query_string = request.target.partition(b"?")
    return {
        "type": "http",
        "method": request.method.decode("ascii"),
        "path": urllib.parse.unquote(raw_path.decode("ascii")),
        "raw_path": raw_path,
        "query_string": query_string,
        "headers": list(request.headers),
    }


def _transport(stream: trio.abc.Stream) -> trio.SocketStream:
    return stream.transport_stream if isinstance(stream, trio.SSLStream) else stream


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # hypercorn shields each write from cancellation. A caller that stops reading would block
        # its task, and thereby a planned stop, for ever. The kernel closes such connections.
        timeout_ms = STALLED_CLIENT_TIMEOUT_S * 1000
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except OSError as error:
        listener.close()
        raise ListenError(f"cannot listen on {address}: {error}") from error
    listener.setblocking(False)
    return listener
