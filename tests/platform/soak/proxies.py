"""Loopback proxies that delay, silence, reset or cut what passes."""

import socket
import struct

import attrs
import trio

READ_BYTES = 65536
DELAY_S = 0.3
LOOK_S = 0.02
# Closing with this option set sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class Proxy:
    """Passes connections on to one address.

    :ivar mode: ``pass``, ``delay``, ``silent`` (nothing passes, no error), ``one_way`` (requests
        pass, answers don't) or ``reset``
    """

    target: str
    host: str = "127.0.0.1"
    mode: str = "pass"
    address: str = ""
    _scopes: set = attrs.field(factory=set)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until cancelled."""
        (listener,) = await trio.open_tcp_listeners(0, host=self.host)
        self.address = f"{self.host}:{listener.socket.getsockname()[1]}"
        await trio.serve_listeners(self._serve, [listener], task_status=task_status)

    def set_mode(self, mode):
        """Change what happens to connections, those that are open among them."""
        self.mode = mode
        if mode == "reset":
            for scope in list(self._scopes):
                scope.cancel()

    async def _serve(self, near):
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await self._connect(near)
            except OSError:
                pass
            finally:
                self._scopes.discard(scope)
        near.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        near.socket.close()

    async def _connect(self, near):
        await self._hold(("silent",))
        if self.mode == "reset":
            return
        host, _, port = self.target.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as far:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, ("silent",), nursery.cancel_scope)
                nursery.start_soon(
                    self._pump, far, near, ("silent", "one_way"), nursery.cancel_scope
                )

    async def _pump(self, source, sink, held_in, scope):
        try:
            while data := await source.receive_some(READ_BYTES):
                if self.mode == "delay":
                    await trio.sleep(DELAY_S)
                await self._hold(held_in)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        await self._hold(held_in)
        scope.cancel()

    async def _hold(self, modes):
        while self.mode in modes:
            await trio.sleep(LOOK_S)
