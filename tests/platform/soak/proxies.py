"""Loopback proxies that delay, block or reset connections."""

import socket
import struct

import attrs
import trio

READ_BYTES = 65536
DELAY_S = 0.3
POLL_INTERVAL_S = 0.02
# With this option (linger on, 0 s), closing a socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to one address.

    :ivar mode: ``pass``, ``delay``, ``silent`` (blocks both directions without an error),
        ``one_way`` (blocks responses only) or ``reset``
    :ivar address: address that it listens on
    """

    target: str
    host: str = "127.0.0.1"
    mode: str = "pass"
    address: str = ""
    _connection_scopes: set = attrs.field(factory=set)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until cancelled."""
        (listener,) = await trio.open_tcp_listeners(0, host=self.host)
        self.address = f"{self.host}:{listener.socket.getsockname()[1]}"
        await trio.serve_listeners(self._serve, [listener], task_status=task_status)

    def set_mode(self, mode):
        """Set the mode of all connections, including those that are open."""
        self.mode = mode
        if mode == "reset":
            for scope in list(self._connection_scopes):
                scope.cancel()

    async def _serve(self, client_stream):
        with trio.CancelScope() as scope:
            self._connection_scopes.add(scope)
            try:
                await self._connect(client_stream)
            except OSError:
                pass
            finally:
                self._connection_scopes.discard(scope)
        client_stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client_stream.socket.close()

    async def _connect(self, client_stream):
        await self._wait_while(("silent",))
        if self.mode == "reset":
            return
        host, _, port = self.target.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as server_stream:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward, client_stream, server_stream, ("silent",), nursery.cancel_scope
                )
                nursery.start_soon(
                    self._forward,
                    server_stream,
                    client_stream,
                    ("silent", "one_way"),
                    nursery.cancel_scope,
                )

    async def _forward(self, source, destination, blocking_modes, scope):
        try:
            while data := await source.receive_some(READ_BYTES):
                if self.mode == "delay":
                    await trio.sleep(DELAY_S)
                await self._wait_while(blocking_modes)
                await destination.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        await self._wait_while(blocking_modes)
        scope.cancel()

    async def _wait_while(self, modes):
        while self.mode in modes:
            await trio.sleep(POLL_INTERVAL_S)
