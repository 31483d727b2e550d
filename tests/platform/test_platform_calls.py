"""Requests of callers through the HTTP face to a server, over real connections."""

import functools
import unittest

import attrs
import h11
import trio

from standins import gateways
from tests.platform import standins
from toucanhold import asgi, metrics
from toucanhold.gateway import calls
from toucanhold.platform import front, servers
from toucanhold.replicas import orders

HEADERS = [
    ("host", gateways.HOST),
    ("x-attempt-id", "a-1"),
    ("x-deadline-remaining-ms", "3000"),
    ("x-credential", "secret"),
    ("x-tenant", "forged"),
    ("x-model", "m0"),
]


def with_path(function):
    """Run a test with a server and an entry's face before it."""

    @functools.wraps(function)
    def run(self):
        async def main():
            worker = standins.WorkerApp()
            async with standins.served(worker) as address:
                server = attrs.evolve(gateways.new_servers(1)["b0"], address=address)
                scene = gateways.GatewayScene({"b0": server})
                scene.gateway.servers = servers.PlatformServerClient()
                app = front.FrontApp(scene.gateway, metrics.Metrics("e"), lambda: False)
                async with scene.running(), standins.served(app) as entry:
                    with trio.fail_after(20):
                        await function(self, scene, worker, entry)

        trio.run(main)

    return run


class PathTest(unittest.TestCase):
    @with_path
    async def test_request_and_answer_pass_unchanged(self, scene, worker, entry):
        status, found, body = await standins.ask(
            entry, "POST", "/orders/a%20b?x=1", HEADERS, b"payload"
        )
        self.assertEqual((200, b"answer"), (status, body))
        self.assertEqual("seal-1", found["x-server-seal"])
        scope, lines, payload = worker.requests[0]
        self.assertEqual((b"/orders/a%20b", b"x=1"), (scope["raw_path"], scope["query_string"]))
        self.assertEqual(b"payload", payload)
        self.assertEqual("b0", lines["x-target-instance"])
        self.assertEqual("m0", lines["x-model"])
        self.assertNotIn("x-credential", lines)
        self.assertNotIn("x-tenant", lines)
        # The route's timeout is shorter than the caller's wait.
        self.assertLessEqual(int(lines["x-deadline-remaining-ms"]), 1200)

    @with_path
    async def test_failure_of_a_server_keeps_its_status_and_signature(self, scene, worker, entry):
        async def fail(lines, receive, send):
            await asgi.respond(send, 500, worker.seal(lines), b"broken")

        worker.answer = fail
        status, found, body = await standins.ask(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual((500, "seal-1", b"broken"), (status, found["x-server-seal"], body))

    @with_path
    async def test_refusals_bear_no_signature_and_tell_when_to_come_back(
        self, scene, worker, entry
    ):
        async def refuse(lines, receive, send):
            await asgi.respond(send, 503, [*worker.seal(lines), (b"x-not-executed", b"1")], b"")

        worker.answer = refuse
        status, found, _ = await standins.ask(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual(503, status)
        self.assertNotIn("x-server-seal", found)
        self.assertGreater(float(found["retry-after"]), 0)

    @with_path
    async def test_success_without_a_signature_is_no_answer(self, scene, worker, entry):
        async def forge(lines, receive, send):
            await asgi.respond(send, 200, [], b"not the server's")

        worker.answer = forge
        status, _, body = await standins.ask(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual(502, status)
        self.assertNotIn(b"not the server's", body)

    @with_path
    async def test_answer_to_another_request_is_no_answer(self, scene, worker, entry):
        async def cross(lines, receive, send):
            await asgi.respond(send, 200, worker.seal({"x-attempt-id": "other"}), b"crossed")

        worker.answer = cross
        status, _, body = await standins.ask(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual(502, status)
        self.assertNotIn(b"crossed", body)

    @with_path
    async def test_unknown_routes_are_told_so(self, scene, worker, entry):
        status, _, _ = await standins.ask(entry, "GET", "/nowhere/1", HEADERS)
        self.assertEqual(404, status)


class LeavingTest(unittest.TestCase):
    @with_path
    async def test_server_works_no_longer_for_a_caller_who_has_left(self, scene, worker, entry):
        async def stream(lines, receive, send):
            head = [*worker.seal(lines), (b"content-type", b"text/event-stream")]
            await asgi.start(send, 200, head)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._cancel_when_gone, receive, scope)
                    for number in range(1, 1000):
                        await asgi.write(send, f"id: {number}\ndata: x\n\n".encode(), True)
                        await trio.sleep(0.02)

        worker.answer = stream
        await self._ask_and_leave(entry)
        with trio.fail_after(0.5):
            while worker.active:
                await trio.sleep(0.01)

    @with_path
    async def test_callers_who_leave_at_any_moment_end_only_their_own_requests(
        self, scene, worker, entry
    ):
        """Guards against one caller who leaves and costs every other its connection."""
        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(self._ask_and_leave, entry, number / 4000)
        status, _, _ = await standins.ask(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual(200, status)

    async def _cancel_when_gone(self, receive, scope):
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _ask_and_leave(self, entry, after_s=0.1):
        host, port = entry.split(":")
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(method="GET", target="/streams/1", headers=HEADERS)
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(connection.send(request))
            await trio.sleep(after_s)


class OrderTest(unittest.TestCase):
    @with_path
    async def test_orders_carry_the_count_that_must_hold(self, scene, worker, entry):
        client = servers.PlatformServerClient()
        server = scene.registered["b0"]
        join = orders.Join("g1", 5, "m0", ("b0", "b1"))
        self.assertIs(orders.OrderOutcome.BEGUN, await client.send(server, join, 0, 9))
        self.assertIs(orders.OrderOutcome.REFUSED, await client.send(server, join, 0, 9))
        self.assertEqual(1, (await client.look(server)).order_count)
        plain = worker.orders[0]
        self.assertEqual(
            ("join", "g1", 5, 9), tuple(plain[x] for x in ("op", "group", "epoch", "fence"))
        )
        close = orders.Close("g1", 5, finishes_work=False)
        await client.send(server, close, 1, 9)
        self.assertEqual("abort", worker.orders[-1]["mode"])

    def test_server_that_does_not_listen_is_unreachable(self):
        async def main():
            server = gateways.new_servers(1)["b0"]
            gone = attrs.evolve(server, address=standins.free_address())
            client = servers.PlatformServerClient()
            outcome = await client.send(gone, orders.Leave("g1", 1), 0, 1)
            self.assertIs(orders.OrderOutcome.UNREACHABLE, outcome)
            with self.assertRaises(calls.NotRunError) as caught:
                forwarded = calls.ForwardedCall(gateways.new_call("/"), "", 1.0, None, False)
                async with client.exchange(gone, forwarded):
                    pass
            self.assertTrue(caught.exception.is_gone)

        trio.run(main)
