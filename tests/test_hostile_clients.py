"""Clients that send bytes which are no requests, or ask for other protocols."""

import contextlib
import functools
import random
import unittest

import trio

from tests.platform import standins
from toucanhold import asgi, serving

REQUEST = b"GET /a HTTP/1.1\r\nhost: a.example\r\n%s\r\n"
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
H2C = b"connection: upgrade, http2-settings\r\nupgrade: h2c\r\nhttp2-settings: %s\r\n"
WEBSOCKET = b"connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n"
INPUTS = (
    REQUEST % (H2C % b"AA\xf9AAA\xcekAAQAAP__"),
    REQUEST % (H2C % b"AAMAAABkAAQAAP__"),
    REQUEST % (WEBSOCKET + b"sec-websocket-key: x\r\n"),
    REQUEST % (b"content-length: " + b"9" * 5000 + b"\r\n"),
    REQUEST % b"transfer-encoding: chunked\r\n" + b"ffffffffffffffffffff\r\nx",
    REQUEST % b"expect: 100-continue\r\ncontent-length: 5\r\n" + b"ab",
    HTTP2_PREFACE + b"\x00\x00\x04\x08\x00\x00\x00\x00\x00\xff\xff\xff\xff" + b"\xff" * 50,
    bytes(range(256)) * 8,
)


class HostileClientTest(unittest.TestCase):
    def test_no_bytes_of_a_client_end_the_server(self):
        """Guards against one client's request that ends the process with those of all others."""
        for server in (serving.HypercornServer(5.0), serving.ShortAnswerServer(5.0)):
            with self.subTest(server=type(server).__name__):
                trio.run(self._send_all, server)

    def test_upgrades_are_ignored(self):
        """Guards against clients that leave HTTP/1.1, whose limits do not hold elsewhere."""
        for data in INPUTS[:3]:
            status_line = trio.run(self._send_one, data)
            self.assertTrue(status_line.startswith(b"HTTP/1.1 200 "), status_line)

    async def _send_one(self, data):
        async with self._running(serving.HypercornServer(5.0)) as address:
            return await self._send(address, data)

    async def _send_all(self, server):
        rng = random.Random(3)
        async with self._running(server) as address:
            for data in INPUTS:
                await self._send(address, data)
            async with trio.open_nursery() as nursery:
                for _ in range(150):
                    data = bytearray(rng.choice(INPUTS))
                    for _ in range(rng.randint(1, 4)):
                        data[rng.randrange(len(data))] = rng.randrange(256)
                    nursery.start_soon(self._send, address, bytes(data), 0.2)
            self.assertIn(b" 200 ", await self._send(address, REQUEST % b""))

    @contextlib.asynccontextmanager
    async def _running(self, server):
        async def app(scope, receive, send):
            await asgi.respond(send, 200, [], b"ok")

        address, stop = standins.free_address(), trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(functools.partial(server.serve, app, address, stop))
            yield address
            nursery.cancel_scope.cancel()

    async def _send(self, address, data, wait_s=1.0):
        """Send bytes on a connection of their own and return the first line of the answer."""
        host, _, port = address.rpartition(":")
        answer = b""
        with contextlib.suppress(OSError, trio.BrokenResourceError), trio.move_on_after(wait_s):
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(data)
                answer = await stream.receive_some()
        return answer.partition(b"\r\n")[0]
