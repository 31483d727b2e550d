"""Tests of the server of short answers, over loopback."""

import contextlib
import unittest

import trio

from tests.platform import standins
from toucanhold import asgi, serving

REQUEST = b"GET /resolve?zone=a HTTP/1.1\r\nhost: x\r\n\r\n"
IDLE_TIMEOUT_S = 0.3


async def application(scope, receive, send):
    """Answer with the request's path and body, or fail."""
    if scope["path"] == "/error":
        raise ValueError("expected to fail")
    body = await asgi.read_body(receive, 1000)
    text = scope["method"].encode() + b" " + scope["path"].encode() + b" " + scope["query_string"]
    await asgi.respond(send, 200, [], text + b" " + body)


@contextlib.asynccontextmanager
async def running():
    """Serve the application; yield its address and the event that stops it."""
    address, stop = standins.free_address(), trio.Event()
    server = serving.ShortAnswerServer(IDLE_TIMEOUT_S)
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, application, address, stop)
            yield address, stop
            stop.set()


async def connect(address):
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def exchange(stream, request):
    await stream.send_all(request)
    return await stream.receive_some(10_000)


class ShortAnswerTest(unittest.TestCase):
    def test_several_requests_on_one_connection(self):
        trio.run(self._several)

    async def _several(self):
        async with running() as (address, _):
            async with await connect(address) as stream:
                for _ in range(3):
                    answer = await exchange(stream, REQUEST)
                    self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
                    self.assertTrue(answer.endswith(b"GET /resolve zone=a "), answer)
                post = b"POST /a%20b HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody"
                self.assertTrue((await exchange(stream, post)).endswith(b"POST /a b  body"))

    def test_bad_requests_and_errors_end_only_their_connection(self):
        """Guards against one client that ends the directory for all others."""
        trio.run(self._bad_requests)

    async def _bad_requests(self):
        async with running() as (address, _):
            requests = [b"\x16\x03\x01\r\n\r\n", REQUEST.replace(b"/resolve", b"/error")]
            requests.append(b"GET / HTTP/1.1\r\nx: " + b"x" * 2 * serving.MAX_HEADER_BYTES)
            with self.assertLogs("toucanhold.serving", "ERROR"):
                for request in requests:
                    async with await connect(address) as stream:
                        with contextlib.suppress(trio.BrokenResourceError):
                            self.assertEqual(b"", await exchange(stream, request))
            async with await connect(address) as stream:
                self.assertIn(b"200", await exchange(stream, REQUEST))

    def test_idle_connections_are_closed(self):
        trio.run(self._idle)

    async def _idle(self):
        async with running() as (address, _):
            async with await connect(address) as stream:
                self.assertEqual(b"", await exchange(stream, REQUEST[:10]))

    def test_stop_ends_connections_and_closes_the_address(self):
        """Guards against a planned stop that waits for clients that keep connections open."""
        trio.run(self._stop)

    async def _stop(self):
        async with running() as (address, stop):
            async with await connect(address) as stream:
                self.assertIn(b"200", await exchange(stream, REQUEST))
                stop.set()
                self.assertEqual(b"", await stream.receive_some(10))
                with self.assertRaises(OSError):
                    await connect(address)
