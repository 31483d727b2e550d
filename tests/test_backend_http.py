"""Forwarding over real connections to servers that violate the protocol or restart."""

import contextlib
import json
import unittest

import trio

from toucanhold.backends import client, http

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: %s\r\n\r\n%s"


class ScriptedServer:
    """Gives each request the next scripted answer; load reports have its boot id and warmth."""

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
            head, separator, body = data.partition(b"\r\n\r\n")
            if separator:
                length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
                if len(body) >= length:
                    return data
            chunk = await stream.receive_some()
            if not chunk:
                return None
            data += chunk

    def _report(self):
        body = json.dumps({"vm": "v", "boot_id": self.boot_id, "warmth": self.warmth}).encode()
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


def request_of(request_id, **fields):
    """Return a request with a body of ten bytes."""
    return client.ForwardedRequest("POST", "/x", (), b"0123456789", request_id, 5.0, **fields)


class ForwardTest(unittest.TestCase):
    def _run_against(self, scenario, *answers):
        async def main():
            server = ScriptedServer(*answers)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(_serve, server.handle)
                host, port = listeners[0].socket.getsockname()[:2]
                backends = http.HttpBackendClient()
                failure = None
                try:
                    await scenario(backends, f"{host}:{port}", server)
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
        # A server answers the first request twice. The second answer stays in the connection and
        # must not be read as the answer to the next request.
        async def scenario(backends, address, server):
            self.assertEqual(b"a1", await self._read(backends, address, request_of("1")))
            self.assertEqual(b"b1", await self._read(backends, address, request_of("2")))
            self.assertEqual(2, server.connections)

        self._run_against(scenario, OK % (b"1", b"a1") + OK % (b"2", b"xx"), OK % (b"2", b"b1"))

    def test_answer_with_another_request_id_is_rejected_for_any_status(self):
        async def scenario(backends, address, server):
            for _ in range(2):
                with self.assertRaises(client.MismatchedAnswerError):
                    await self._read(backends, address, request_of("1"))

        wrong = OK % (b"other", b"ok")
        self._run_against(scenario, wrong, wrong.replace(b"200 OK", b"503 Busy"))

    def test_answer_without_a_request_id_is_accepted(self):
        async def scenario(backends, address, server):
            self.assertEqual(b"ok", await self._read(backends, address, request_of("1")))

        self._run_against(scenario, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

    def test_truncated_answer_is_lost(self):
        async def scenario(backends, address, server):
            with self.assertRaises(client.AnswerLostError):
                await self._read(backends, address, request_of("1"))

        self._run_against(scenario, b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nshort")

    def test_answer_without_a_length_is_lost(self):
        # It ends with its connection, so a truncated body cannot be told from a complete one.
        async def scenario(backends, address, server):
            with self.assertRaises(client.AnswerLostError):
                await self._read(backends, address, request_of("1"))

        self._run_against(scenario, b"HTTP/1.1 200 OK\r\n\r\nperhaps whole")

    def test_boot_id_is_checked_once_for_each_connection(self):
        async def scenario(backends, address, server):
            for number in (b"1", b"2"):
                request = request_of(number.decode(), boot_id="boot-1", warm_only=True)
                await self._read(backends, address, request)
            self.assertEqual((1, 1), (server.reports, server.connections))

        self._run_against(scenario, OK % (b"1", b"ok"), OK % (b"2", b"ok"))

    def test_request_for_a_server_that_restarted_is_not_sent(self):
        # The server has restarted since the report by which it was chosen, so it is cold.
        async def scenario(backends, address, server):
            for fields in ({"boot_id": "boot-0"}, {"boot_id": "boot-1", "warm_only": True}):
                server.warmth = "cold"
                with self.assertRaises(client.NotSentError):
                    await self._read(backends, address, request_of("1", **fields))
            self.assertEqual([], server.requests)

        self._run_against(scenario)

    def test_nothing_is_sent_after_the_permission_is_lost(self):
        async def scenario(backends, address, server):
            with self.assertRaises(client.NotSentError):
                await self._read(backends, address, request_of("1", guard=lambda: False))
            self.assertEqual([], server.requests)

        self._run_against(scenario)

    def test_last_byte_is_not_sent_after_the_permission_is_lost(self):
        # The process is paused while it sends the body, and its permission expires. The server
        # starts nothing before it has the whole body, so the last byte must not be sent.
        guard_results = [True, False]

        async def scenario(backends, address, server):
            with self.assertRaises(client.AnswerLostError):
                request = request_of("1", guard=lambda: guard_results.pop(0))
                await self._read(backends, address, request)
            await trio.sleep(0.05)
            self.assertEqual([], server.requests)

        self._run_against(scenario)

    def test_abandoned_answer_closes_its_connection(self):
        async def scenario(backends, address, server):
            async with backends.forward(address, request_of("1")):
                pass
            self.assertEqual(b"ok", await self._read(backends, address, request_of("2")))
            self.assertEqual(2, server.connections)

        self._run_against(scenario, OK % (b"1", b"aa"), OK % (b"2", b"ok"))


async def _serve(handler, task_status):
    await trio.serve_tcp(handler, 0, host="127.0.0.1", task_status=task_status)
