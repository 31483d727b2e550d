"""Connects other entries, which have lost their own links, to backend servers."""

from __future__ import annotations

import logging
import math

import attrs
import httpcore
import trio

from toucanhold import lifetime, notifier
from toucanhold.peers import frames, transport
from toucanhold.registry import registry, servers
from toucanhold.tunnels import dialing, messages, streams

# An entry sends its request right after it connects; a peer that does not is not an entry.
OPEN_TIMEOUT_S = 1.0
OPEN_LIMIT_BYTES = 1024
# Requests end at their deadline. A tunnel that is open for longer belongs to an entry that is gone.
MAX_LIFETIME_S = 60.0
MAX_CONNECT_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class TunnelServer:
    """Accepts tunnels of other entries to registered backend servers.

    :ivar address: ``IP:port`` to listen on
    :ivar dialer: connects to the servers, never through another entry
    :ivar lifetime: no tunnel is opened while this process stops, as nobody knows how long the
        request will last for which it is meant
    :ivar open_count: number of open tunnels
    """

    address: str
    transport: transport.PeerTransport
    server_registry: registry.Registry
    dialer: dialing.DirectDialer
    lifetime: lifetime.Lifetime = attrs.field(factory=lifetime.Lifetime)
    open_count: int = attrs.field(default=0, init=False)
    _closed: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled.

        :raises transport.TransportError: when the address cannot be bound
        """
        await self.transport.listen(self.address, self._serve, task_status=task_status)

    async def wait_idle(self) -> None:
        """Wait until no tunnel is open."""
        while self.open_count:
            await self._closed.wait(math.inf)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        frame_stream = frames.FrameStream(
            stream, OPEN_LIMIT_BYTES, OPEN_TIMEOUT_S, streams.CHUNK_BYTES
        )
        self.open_count += 1
        try:
            with trio.move_on_after(MAX_LIFETIME_S):
                await self._accept(frame_stream)
        except (frames.FrameError, messages.MessageError, trio.TooSlowError) as error:
            LOGGER.debug("tunnel closed: %r", error)
        finally:
            self.open_count -= 1
            self._closed.notify_all()
            await trio.aclose_forcefully(stream)

    async def _accept(self, frame_stream: frames.FrameStream) -> None:
        request = messages.decode(await frame_stream.receive())
        if not isinstance(request, messages.Open):
            raise messages.MessageError(f"expected Open, got {type(request).__name__}")
        if not 0 <= request.timeout_s <= MAX_CONNECT_TIMEOUT_S:
            raise messages.MessageError(
                f"expected a timeout of 0 to {MAX_CONNECT_TIMEOUT_S} s, got {request.timeout_s}"
            )
        server = self.server_registry.find((request.server_id, request.born_ms))
        if server is None or self.lifetime.is_stopping:
            reason = f"no server {request.server_id} is registered here"
            if server is not None:
                reason = "this entry is stopping"
            await frame_stream.send([messages.encode(messages.Failed(reason, False))])
            return
        started_s = trio.current_time()
        try:
            connection = await self._connect(server, request.timeout_s)
        except dialing.DialError as error:
            is_confirmed = self.dialer.own_links.has_sign_of_others(server.server_id, started_s)
            answer = messages.Failed(str(error), is_confirmed)
            await frame_stream.send([messages.encode(answer)])
            return
        try:
            await frame_stream.send([messages.encode(messages.Opened())])
            frame_stream.max_body_bytes = streams.MAX_FRAME_BYTES
            frame_stream.idle_timeout_s = math.inf
            await self._forward(frame_stream, connection.stream, server)
        finally:
            with trio.CancelScope(shield=True):
                await connection.stream.aclose()

    async def _connect(self, server: servers.Server, timeout_s: float) -> dialing.Connection:
        if self.dialer.own_links.are_cut:
            raise dialing.DialError("this entry has lost its links to the servers as well", False)
        return await self.dialer.connect(server, timeout_s)

    async def _forward(
        self,
        frame_stream: frames.FrameStream,
        server_stream: httpcore.AsyncNetworkStream,
        server: servers.Server,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_request, frame_stream, server_stream, nursery.cancel_scope)
            try:
                await self._return_response(frame_stream, server_stream, server)
            except frames.FrameError as error:
                LOGGER.debug("%s: tunnel lost: %r", server.server_id, error)
                nursery.cancel_scope.cancel()
            # To close the stream before the other entry has read all would reset it.
            nursery.cancel_scope.deadline = trio.current_time() + CLOSE_TIMEOUT_S

    async def _return_response(
        self,
        frame_stream: frames.FrameStream,
        server_stream: httpcore.AsyncNetworkStream,
        server: servers.Server,
    ) -> None:
        ending = messages.END
        try:
            while data := await server_stream.read(streams.CHUNK_BYTES):
                self.dialer.own_links.record_sign(server.server_id)
                await frame_stream.send([messages.DATA + data])
        except dialing.STREAM_ERRORS as error:
            LOGGER.debug("%s: connection lost: %r", server.server_id, error)
            ending = messages.LOST
        await frame_stream.send([ending])


async def _send_request(
    frame_stream: frames.FrameStream,
    server_stream: httpcore.AsyncNetworkStream,
    scope: trio.CancelScope,
) -> None:
    """Pass a request on; cancel ``scope`` when the other entry has closed the tunnel."""
    while True:
        try:
            body = await frame_stream.receive()
        except frames.FrameError:
            scope.cancel()
            return
        try:
            await server_stream.write(body.removeprefix(messages.DATA))
        except dialing.STREAM_ERRORS:
            # The server may have answered without reading all of the request.
            continue
