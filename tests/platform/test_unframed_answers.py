"""Tests of answers without a length or chunks, which end with their connection."""

import contextlib
import functools
import socket
import struct
import unittest

import attrs
import httpcore
import trio

from standins import gateways
from tests.platform import single_server, standins

HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: a-1\r\nx-server-seal: seal-1\r\n\r\n"
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
PROMPT = "a1:5,b2:5,c3:5"
PART_KEYS = ("part-a1", "part-b2")
RESET = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class RawServer:
    """A server that sends given bytes and ends the connection."""

    body: bytes
    is_reset: bool = False

    async def handle(self, stream):
        await stream.receive_some()
        await stream.send_all(HEAD + self.body)
        # The client has read the bytes before the connection ends.
        await trio.sleep(0.1)
        if self.is_reset:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        await stream.aclose()


@contextlib.asynccontextmanager
async def running(server):
    """Run a server and an entry before it; yield the gateway fixture and the entry's address."""
    serve = functools.partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(serve)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with single_server.running(address) as running_entry:
            yield running_entry
        nursery.cancel_scope.cancel()


class UnframedAnswersTest(unittest.TestCase):
    def test_streams_that_end_with_their_connection_arrive_whole(self):
        """Guards against complete streams that are broken off, or held to be a crash."""
        status, body, counts = trio.run(self._send, RawServer(EVENTS), "streams")
        self.assertEqual((200, EVENTS, [0, 0]), (status, body, counts))

    def test_streams_that_end_inside_an_event_are_broken_off(self):
        """Guards against truncated streams that look complete, and crashes that do not count."""
        for body in (EVENTS + b"id: 3\nda", b"id: 1\ndata: one\n", b""):
            with self.subTest(body=body):
                status, received, counts = trio.run(self._send, RawServer(body), "streams")
                self.assertNotEqual((200, body), (status, received))
                self.assertEqual([1, 1], counts)

    def test_reset_streams_are_broken_off(self):
        """Guards against streams that look complete though their connection was reset."""
        status, _, counts = trio.run(self._send, RawServer(EVENTS, is_reset=True), "streams")
        self.assertEqual((0, [1, 1]), (status, counts))

    def test_answers_that_end_with_their_connection_arrive_whole(self):
        """Guards against answers without a length that are lost, or complete after a reset."""
        status, body, _ = trio.run(self._send, RawServer(b"answer"), "lookups")
        self.assertEqual((200, b"answer"), (status, body))
        status, _, _ = trio.run(self._send, RawServer(b"answer", is_reset=True), "lookups")
        self.assertEqual(502, status)

    async def _send(self, server, route):
        """Return status and body, 0 and nothing if broken off, and crashes of each part."""
        headers = [
            ("host", gateways.HOST),
            ("x-attempt-id", "a-1"),
            ("x-deadline-remaining-ms", "800"),
            ("x-prompt-prefix", PROMPT),
        ]
        async with running(server) as (scene, entry):
            try:
                status, _, body = await standins.send_request(entry, "GET", f"/{route}/1", headers)
            except httpcore.RemoteProtocolError:
                status, body = 0, b""
            return status, body, [scene.crashes.count(key) for key in PART_KEYS]
