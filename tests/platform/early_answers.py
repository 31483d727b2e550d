"""Backend servers that answer while the body of the request is still being sent to them."""

import contextlib
import socket
import struct

import attrs
import trio

# More than the kernel buffers for a connection, so that the client waits to write the rest.
BODY = b"x" * 3_500_000
HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: a-1\r\nx-server-seal: seal-1\r\n"
UNFRAMED = HEAD + b"\r\npart"
CUT_BY_LENGTH = HEAD + b"content-length: 10\r\n\r\npart"
CUT_CHUNK = HEAD + b"transfer-encoding: chunked\r\n\r\na\r\npart"
# "reset" and "close" leave bytes of the request unread, so the client's kernel gets a reset.
BROKEN_ENDINGS = ("reset", "close")
IN_ORDER = "in order"
NONE = "none"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
RECEIVE_BUFFER_BYTES = 4096
END_DELAY_S = 0.02


@attrs.define(eq=False)
class EarlyServer:
    """A server that answers each request once its head has arrived.

    :ivar answer: the bytes that it sends
    :ivar ending: one of ``BROKEN_ENDINGS``, ``IN_ORDER`` to close after the whole request, or
        ``NONE`` to keep the connection without reading
    :ivar request_count: number of requests that it has received
    """

    answer: bytes
    ending: str = "reset"
    request_count: int = 0

    async def serve(self, stream):
        """Answer one request and end the connection."""
        self.request_count += 1
        await stream.receive_some(1024)
        await stream.send_all(self.answer)
        if self.ending == NONE:
            await trio.sleep_forever()
        if self.ending == IN_ORDER:
            await stream.send_eof()
            async for _ in stream:
                pass
        else:
            # The answer arrives before the reset.
            await trio.sleep(END_DELAY_S)
        if self.ending == "reset":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await trio.aclose_forcefully(stream)


@contextlib.asynccontextmanager
async def serving(server, tls_context=None):
    """Serve on loopback with a small receive buffer; yield the address."""

    async def serve(stream):
        if tls_context is not None:
            stream = trio.SSLStream(stream, tls_context, server_side=True)
        await server.serve(stream)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    sock = listeners[0].socket
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield f"127.0.0.1:{sock.getsockname()[1]}"
        nursery.cancel_scope.cancel()
