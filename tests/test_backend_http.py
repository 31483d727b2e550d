"""Forwarding over real connections to servers that answer wrongly."""

import contextlib
import json
import unittest

import trio

from toucanhold.backends import client, http

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: %s\r\n\r\n%s"


class ScriptedServer:
    """Gives each request on each connection the next scripted answer, and counts.

    Load reports are answered from ``boot_id`` and ``warmth`` instead.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.boot_id = "boot-1"
        self.warmth = "warm"
        self.requests = []
        self.reports = self.connections = 0

    async def handle(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while (request := await self._read(stream)) is not None:
                if request.startswith(b"GET /v1/load"):
                    self.reports += 1
                    await stream.send_all(self._report())
                    continue
                self.requests.append(request)
                answer = self.answers.pop(0)
                await stream.send_all(answer)
                if not answer.startswith(b"HTTP/1.1") or b"content-length" not in answer:
                    break
                if b"content-length: 99" in answer:
                    break
        await stream.aclose()

    async def _read(self, stream):
        data = b""
        while True:
            head, found, body = data.partition(b"\r\n\r\n")
            if found:
                length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
                if len(body) >= length:
                    return data
            more = await stream.receive_some()
            if not more:
                return None
            data += more

    def _report(self):
        body = json.dumps({"vm": "v", "boot_id": self.boot_id, "warmth": self.warmth}).encode()
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


def request_of(request_id, **fields):
    """Return a request with a body."""
    return client.ForwardedRequest("POST", "/x", (), b"0123456789", request_id, 5.0, **fields)


class ForwardTest(unittest.TestCase):
    def _check(self, check, *answers):
        async def main():
            server = ScriptedServer(*answers)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(_serve, server.handle)
                host, port = listeners[0].socket.getsockname()[:2]
                backends = http.HttpBackendClient()
                failure = None
                try:
                    await check(backends, f"{host}:{port}", server)
                except Exception as error:
                    failure = error
                await backends.close()
                nursery.cancel_scope.cancel()
            if failure is not None:
                raise failure

        trio.run(main)

    async def _read(self, backends, address, request):
        async with backends.forward(address, request) as response:
            return b"".join([chunk async for chunk in response.chunks])

    def test_second_answer_never_reaches_the_next_request(self):
        # A server answers the first request twice. The second answer waits in the connection;
        # the next request must not take it for its own.
        async def check(backends, address, server):
            self.assertEqual(b"a1", await self._read(backends, address, request_of("1")))
            self.assertEqual(b"b1", await self._read(backends, address, request_of("2")))
            self.assertEqual(2, server.connections)

        self._check(check, OK % (b"1", b"a1") + OK % (b"2", b"xx"), OK % (b"2", b"b1"))

    def test_answer_with_another_id_is_refused_whatever_its_status(self):
        async def check(backends, address, server):
            for _ in range(2):
                with self.assertRaises(client.MismatchedAnswerError):
                    await self._read(backends, address, request_of("1"))

        wrong = OK % (b"other", b"ok")
        self._check(check, wrong, wrong.replace(b"200 OK", b"503 Busy"))

    def test_answer_without_an_id_is_accepted(self):
        async def check(backends, address, server):
            self.assertEqual(b"ok", await self._read(backends, address, request_of("1")))

        self._check(check, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

    def test_answer_cut_short_is_lost(self):
        async def check(backends, address, server):
            with self.assertRaises(client.AnswerLostError):
                await self._read(backends, address, request_of("1"))

        self._check(check, b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nshort")

    def test_answer_without_a_length_is_lost(self):
        # It ends with its connection: whole or cut, it looks the same.
        async def check(backends, address, server):
            with self.assertRaises(client.AnswerLostError):
                await self._read(backends, address, request_of("1"))

        self._check(check, b"HTTP/1.1 200 OK\r\n\r\nperhaps whole")

    def test_new_connection_asks_for_the_boot_first_and_keeps_it(self):
        async def check(backends, address, server):
            for number in (b"1", b"2"):
                request = request_of(number.decode(), boot_id="boot-1", warm_only=True)
                await self._read(backends, address, request)
            self.assertEqual((1, 1), (server.reports, server.connections))

        self._check(check, OK % (b"1", b"ok"), OK % (b"2", b"ok"))

    def test_work_for_an_earlier_boot_is_not_sent(self):
        # The server has restarted since the report by which it was chosen: it is cold now.
        async def check(backends, address, server):
            for fields in ({"boot_id": "boot-0"}, {"boot_id": "boot-1", "warm_only": True}):
                server.warmth = "cold"
                with self.assertRaises(client.NotSentError):
                    await self._read(backends, address, request_of("1", **fields))
            self.assertEqual([], server.requests)

        self._check(check)

    def test_permission_lost_before_the_first_byte(self):
        async def check(backends, address, server):
            with self.assertRaises(client.NotSentError):
                await self._read(backends, address, request_of("1", guard=lambda: False))
            self.assertEqual([], server.requests)

        self._check(check)

    def test_permission_lost_before_the_last_byte(self):
        # The process is paused while it sends the body. The server has not got all of it, so it
        # has not begun, and it never gets the rest.
        answers = [True, False]

        async def check(backends, address, server):
            with self.assertRaises(client.AnswerLostError):
                request = request_of("1", guard=lambda: answers.pop(0))
                await self._read(backends, address, request)
            await trio.sleep(0.05)
            self.assertEqual([], server.requests)

        self._check(check)

    def test_abandoned_answer_closes_its_connection(self):
        async def check(backends, address, server):
            async with backends.forward(address, request_of("1")):
                pass
            self.assertEqual(b"ok", await self._read(backends, address, request_of("2")))
            self.assertEqual(2, server.connections)

        self._check(check, OK % (b"1", b"aa"), OK % (b"2", b"ok"))


async def _serve(handler, task_status):
    await trio.serve_tcp(handler, 0, host="127.0.0.1", task_status=task_status)
