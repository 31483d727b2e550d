"""Tests of HTTP servers that stop while clients use their connections."""

import os
import random
import unittest

import trio
import trio.testing

from tests.platform import standins
from toucanhold import asgi, serving

CONNECTIONS = 60
TURN_FRACTION = 0.2
REQUEST = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"


class CountingApp:
    """Answers each request and keeps its path."""

    def __init__(self):
        self.paths = []

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            await asgi.acknowledge_lifespan(receive, send)
            return
        await asgi.read_body(receive, 1000)
        self.paths.append(scope["path"])
        await trio.sleep(0.01)
        await asgi.respond(send, 200, [], b"whole")


class StopTest(unittest.TestCase):
    def test_requests_that_cross_the_close_are_answered_or_not_begun(self):
        """Guards against a kept connection that a stop closes under a request that has begun."""
        for seed in range(5):
            with self.subTest(seed):
                trio.run(self._stop_between_requests, random.Random(seed))

    async def _stop_between_requests(self, rng):
        app, stop, answered = CountingApp(), trio.Event(), []
        address = standins.free_address()
        async with trio.open_nursery() as nursery:
            await nursery.start(serving.HypercornServer(10.0).serve, app, address, stop)
            host, _, port = address.rpartition(":")
            streams = [await trio.open_tcp_stream(host, int(port)) for _ in range(CONNECTIONS)]
            for number, stream in enumerate(streams):
                await self._request(stream, number)
            app.paths.clear()
            for number, stream in enumerate(streams):
                nursery.start_soon(self._read, stream, number, answered)
            await trio.testing.wait_all_tasks_blocked(0.05)
            stop.set()
            # The server stops within some turns of the event loop.
            for number, stream in enumerate(streams):
                try:
                    os.write(stream.socket.fileno(), REQUEST % number)
                except OSError:
                    break
                if rng.random() < TURN_FRACTION:
                    await trio.lowlevel.checkpoint()
        self.assertLessEqual(set(app.paths), set(answered))

    async def _read(self, stream, number, answered):
        try:
            if (await _read_answer(stream)).endswith(b"whole"):
                answered.append(f"/{number}")
        except trio.BrokenResourceError:
            pass
        await stream.aclose()

    async def _request(self, stream, number):
        await stream.send_all(REQUEST % number)
        await _read_answer(stream)


async def _read_answer(stream):
    answer = b""
    while not answer.endswith(b"whole") and (data := await stream.receive_some(1000)):
        answer += data
    return answer
