"""Tests of requests and orders to backend servers over real HTTP connections."""

import functools
import unittest
import unittest.mock

import attrs
import h11
import trio

from standins import gateways
from tests import clocked
from tests.platform import standins
from toucanhold import asgi, metrics
from toucanhold.gateway import calls
from toucanhold.platform import front, servers
from toucanhold.replicas import orders
from toucanhold.tunnels import dialing

HEADERS = [
    ("host", gateways.HOST),
    ("x-attempt-id", "a-1"),
    ("x-deadline-remaining-ms", "3000"),
    ("x-credential", "secret"),
    ("x-tenant", "forged"),
    ("x-model", "m0"),
]


def with_server_and_entry(function):
    """Run a test with a backend server and an entry that forwards requests to it."""

    @functools.wraps(function)
    def run(self):
        async def main():
            server_app = standins.ServerApp()
            async with standins.serve_app(server_app) as address:
                server = attrs.evolve(gateways.new_servers(1)["b0"], address=address)
                scene = gateways.GatewayFixture({"b0": server})
                observer = scene.server_client.observer
                scene.gateway.server_client = servers.PlatformServerClient(observer)
                app = front.FrontApp(scene.gateway, metrics.Metrics("e"))
                async with scene.running(), standins.serve_app(app) as entry:
                    with trio.fail_after(20):
                        await function(self, scene, server_app, entry)

        trio.run(main)

    return run


class PathTest(unittest.TestCase):
    @with_server_and_entry
    async def test_request_and_answer_are_forwarded_unchanged(self, scene, server_app, entry):
        status, answer_headers, body = await standins.send_request(
            entry, "POST", "/orders/a%20b?x=1", HEADERS, b"payload"
        )
        self.assertEqual((200, b"answer"), (status, body))
        self.assertEqual("seal-1", answer_headers["x-server-seal"])
        scope, request_headers, payload = server_app.requests[0]
        self.assertEqual((b"/orders/a%20b", b"x=1"), (scope["raw_path"], scope["query_string"]))
        self.assertEqual(b"payload", payload)
        self.assertEqual("b0", request_headers["x-target-instance"])
        self.assertEqual("m0", request_headers["x-model"])
        self.assertEqual("5", request_headers["x-request-urgency"])
        self.assertNotIn("x-credential", request_headers)
        self.assertNotIn("x-tenant", request_headers)
        # The route's timeout is shorter than the caller's wait.
        self.assertLessEqual(int(request_headers["x-deadline-remaining-ms"]), 1200)

    @with_server_and_entry
    async def test_requests_that_are_late_already_are_less_urgent(self, scene, server_app, entry):
        """Guards against callers back from an outage that make engines read their prompts first."""
        late = [("x-deadline-remaining-ms", "700"), ("x-request-urgency", "0")]
        late += [each for each in HEADERS if each[0] != "x-deadline-remaining-ms"]
        await standins.send_request(entry, "POST", "/orders/1", late)
        await standins.send_request(entry, "POST", "/orders/1", HEADERS)
        urgencies = [each["x-request-urgency"] for _, each, _ in server_app.requests]
        self.assertEqual(["8", "5"], urgencies)

    @with_server_and_entry
    async def test_error_of_a_server_keeps_its_status_and_signature(self, scene, server_app, entry):
        async def fail(request_headers, receive, send):
            await asgi.respond(send, 500, server_app.seal(request_headers), b"broken")

        server_app.handler = fail
        status, answer_headers, body = await standins.send_request(
            entry, "POST", "/orders/1", HEADERS
        )
        self.assertEqual(
            (500, "seal-1", b"broken"), (status, answer_headers["x-server-seal"], body)
        )

    @with_server_and_entry
    async def test_refusals_have_a_retry_after_header_and_no_signature(
        self, scene, server_app, entry
    ):
        async def refuse(request_headers, receive, send):
            await asgi.respond(
                send, 503, [*server_app.seal(request_headers), (b"x-not-executed", b"1")], b""
            )

        server_app.handler = refuse
        status, answer_headers, _ = await standins.send_request(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual(503, status)
        self.assertNotIn("x-server-seal", answer_headers)
        self.assertGreater(float(answer_headers["retry-after"]), 0)

    @with_server_and_entry
    async def test_success_without_a_signature_is_not_forwarded(self, scene, server_app, entry):
        async def forge(request_headers, receive, send):
            await asgi.respond(send, 200, [], b"not the server's")

        server_app.handler = forge
        status, _, body = await standins.send_request(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual(502, status)
        self.assertNotIn(b"not the server's", body)

    @with_server_and_entry
    async def test_answer_to_another_request_is_not_forwarded(self, scene, server_app, entry):
        async def cross(request_headers, receive, send):
            await asgi.respond(send, 200, server_app.seal({"x-attempt-id": "other"}), b"crossed")

        server_app.handler = cross
        status, _, body = await standins.send_request(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual(502, status)
        self.assertNotIn(b"crossed", body)

    @with_server_and_entry
    async def test_unknown_routes_get_404(self, scene, server_app, entry):
        status, _, _ = await standins.send_request(entry, "GET", "/nowhere/1", HEADERS)
        self.assertEqual(404, status)


class DisconnectTest(unittest.TestCase):
    @with_server_and_entry
    async def test_request_at_the_server_ends_when_its_caller_disconnects(
        self, scene, server_app, entry
    ):
        async def stream(request_headers, receive, send):
            head = [*server_app.seal(request_headers), (b"content-type", b"text/event-stream")]
            await asgi.start(send, 200, head)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._cancel_on_disconnect, receive, scope)
                    for number in range(1, 1000):
                        await asgi.write(send, f"id: {number}\ndata: x\n\n".encode(), True)
                        await trio.sleep(0.02)

        server_app.handler = stream
        await self._ask_and_disconnect(entry)
        with trio.fail_after(0.5):
            while server_app.active:
                await trio.sleep(0.01)

    @with_server_and_entry
    async def test_callers_that_disconnect_at_any_time_end_only_their_own_requests(
        self, scene, server_app, entry
    ):
        """Guards against a caller whose disconnect closes the connections of all other callers."""
        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(self._ask_and_disconnect, entry, number / 4000)
        status, _, _ = await standins.send_request(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual(200, status)

    async def _cancel_on_disconnect(self, receive, scope):
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _ask_and_disconnect(self, entry, after_s=0.1):
        host, port = entry.split(":")
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(method="GET", target="/streams/1", headers=HEADERS)
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(connection.send(request))
            await trio.sleep(after_s)


class SignalTest(unittest.TestCase):
    @with_server_and_entry
    async def test_an_answer_names_a_limit_and_is_passed_on(self, scene, server_app, entry):
        server_app.signals = [(b"server-limit", b"1.5")]
        status, answer_headers, _ = await standins.send_request(entry, "POST", "/orders/1", HEADERS)
        self.assertEqual((200, "1.5"), (status, answer_headers["server-limit"]))
        self.assertEqual(1.5, scene.limit_table.rate_per_s(scene.registered_servers["b0"]))

    @with_server_and_entry
    async def test_a_refusal_that_asks_for_a_backoff_is_the_last_request(
        self, scene, server_app, entry
    ):
        """Guards against requests that wait for a server which has asked for a long backoff."""

        async def refuse(request_headers, receive, send):
            refusal = [(b"x-not-executed", b"1"), (b"retry-after", b"3")]
            await asgi.respond(send, 503, refusal, b"")

        server_app.handler = refuse
        for _ in range(3):
            status, answer_headers, _ = await standins.send_request(
                entry, "POST", "/orders/1", HEADERS
            )
            self.assertEqual(503, status)
            self.assertGreater(float(answer_headers["retry-after"]), 2.0)
        self.assertEqual(1, len(server_app.requests))

    @with_server_and_entry
    async def test_signals_of_another_server_are_ignored(self, scene, server_app, entry):
        """Guards against signals of a server that has taken over another one's address."""

        async def misdirect(request_headers, receive, send):
            lines = [(b"server-leaving", b"1"), (b"server-limit", b"0")]
            await asgi.respond(send, 421, [(b"x-not-executed", b"1"), *lines], b"")

        server_app.handler = misdirect
        await standins.send_request(entry, "POST", "/orders/1", HEADERS)
        server = scene.registered_servers["b0"]
        self.assertFalse(server.is_leaving)
        self.assertIsNone(scene.limit_table.rate_per_s(server))

    @with_server_and_entry
    async def test_unreadable_signals_change_nothing(self, scene, server_app, entry):
        """Guards against requests that fail because of a value beside their answer."""
        lines = (b"server-limit", b"\xff"), (b"server-leaving", b"maybe"), (b"retry-after", b"-3")
        server_app.signals = list(lines)
        for _ in range(3):
            status, _, body = await standins.send_request(entry, "POST", "/orders/1", HEADERS)
            self.assertEqual((200, b"answer"), (status, body))

    @with_server_and_entry
    async def test_answers_to_probes_and_orders_are_read_too(self, scene, server_app, entry):
        """Guards against signals that are read only in answers to callers' requests."""
        server = scene.registered_servers["b0"]
        server_app.signals = [(b"server-limit", b"2")]
        await scene.gateway.server_client.probe(server, lambda: None)
        self.assertEqual(2.0, scene.limit_table.rate_per_s(server))
        server_app.signals = [(b"server-leaving", b"1")]
        await scene.gateway.server_client.send(server, orders.Leave("g1", 1), 0, 9)
        self.assertTrue(scene.registered_servers["b0"].is_leaving)


class OrderTest(unittest.TestCase):
    @with_server_and_entry
    async def test_orders_carry_the_expected_order_count(self, scene, server_app, entry):
        client = servers.PlatformServerClient(gateways.GatewayFixture().rate_limiter)
        server = scene.registered_servers["b0"]
        join = orders.Join("g1", 5, "m0", ("b0", "b1"))
        self.assertIs(orders.OrderOutcome.BEGUN, await client.send(server, join, 0, 9))
        self.assertIs(orders.OrderOutcome.REFUSED, await client.send(server, join, 0, 9))
        self.assertEqual(1, (await client.probe(server, lambda: None)).order_count)
        order_fields = server_app.orders[0]
        self.assertEqual(
            ("join", "g1", 5, 9),
            tuple(order_fields[name] for name in ("op", "group", "epoch", "fence")),
        )
        close = orders.Close("g1", 5, finishes_work=False)
        await client.send(server, close, 1, 9)
        self.assertEqual("abort", server_app.orders[-1]["mode"])

    def test_server_that_does_not_listen_is_unreachable(self):
        async def main():
            server = gateways.new_servers(1)["b0"]
            stopped_server = attrs.evolve(server, address=standins.free_address())
            client = servers.PlatformServerClient(gateways.GatewayFixture().rate_limiter)
            outcome = await client.send(stopped_server, orders.Leave("g1", 1), 0, 1)
            self.assertIs(orders.OrderOutcome.UNREACHABLE, outcome)
            with self.assertRaises(calls.NotRunError) as caught:
                forwarded = calls.ForwardedCall(gateways.new_call("/"), "", 1.0, None, False)
                async with client.exchange(stopped_server, forwarded):
                    pass
            self.assertTrue(caught.exception.is_gone)

        trio.run(main)

    @clocked.on_test_clock
    async def test_a_cut_of_the_planners_own_links_does_not_make_a_server_unreachable(self):
        """Guards against sound groups dissolved because no entry reaches servers for a moment."""
        server = gateways.new_servers(1)["b0"]
        for is_gone in (True, False):
            dialer = unittest.mock.create_autospec(dialing.ServerDialer, instance=True)
            dialer.connect.side_effect = dialing.DialError("cut", is_gone)
            client = servers.PlatformServerClient(gateways.GatewayFixture().rate_limiter, dialer)
            outcome = await client.send(server, orders.Stage("m0"), 0, 1)
            self.assertEqual(is_gone, outcome is orders.OrderOutcome.UNREACHABLE)
