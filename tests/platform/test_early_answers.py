"""Tests of answers to requests that are still being sent."""

import ssl
import unittest

import attrs
import httpcore
import trio
import trustme

from standins import gateways
from tests.platform import early_answers, single_server, standins
from toucanhold import codec
from toucanhold.backends import client as backend_client
from toucanhold.backends import http
from toucanhold.coordination import etcd, keyvalue
from toucanhold.operators import client as operators_client
from toucanhold.operators import messages
from toucanhold.platform import servers, store
from toucanhold.replicas import orders

EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
PROMPT = "a1:5,b2:5,c3:5"
PART_KEYS = ("part-a1", "part-b2")
SUSPECTED, SOUND = [1, 1], [0, 0]
ROUTES = (gateways.LOOKUPS, gateways.ORDERS, gateways.STREAMS)
# Uploads take long on a busy machine.
ROUTE_TIMEOUT_S = 20.0


def accept_uploads(scene):
    """Let an entry take long requests, and give them time."""
    table = scene.new_table(2, *(attrs.evolve(each, timeout_s=ROUTE_TIMEOUT_S) for each in ROUTES))
    limits = attrs.evolve(table.limits, body_bytes=len(early_answers.BODY))
    scene.routes.put(attrs.evolve(table, limits=limits))


async def upload(server, route):
    """Send a long request; return status and body, 0 and nothing if broken off, and crashes."""
    headers = [
        ("host", gateways.HOST),
        ("x-attempt-id", "a-1"),
        ("x-deadline-remaining-ms", "20000"),
        ("x-prompt-prefix", PROMPT),
    ]
    async with early_answers.serving(server) as address:
        async with single_server.running(address) as (scene, entry):
            accept_uploads(scene)
            try:
                status, _, body = await standins.send_request(
                    entry, "POST", f"/{route}/1", headers, early_answers.BODY
                )
            except httpcore.RemoteProtocolError:
                status, body = 0, b""
            return status, body, [scene.crashes.count(key) for key in PART_KEYS]


class PlatformTest(unittest.TestCase):
    def test_a_reset_during_the_request_is_no_end_of_an_answer(self):
        """Guards against parts of answers that look whole, as a failed write hid the reset."""
        for ending in early_answers.BROKEN_ENDINGS:
            for route, attempts in (("lookups", 2), ("orders", 1)):
                with self.subTest(ending=ending, route=route):
                    server = early_answers.EarlyServer(early_answers.UNFRAMED, ending)
                    status, _, crashes = trio.run(upload, server, route)
                    self.assertEqual((502, SUSPECTED), (status, crashes))
                    self.assertEqual(attempts, server.request_count)

    def test_a_reset_during_the_request_is_no_end_of_a_stream(self):
        """Guards against streams cut between two events that look whole."""
        for ending in early_answers.BROKEN_ENDINGS:
            with self.subTest(ending=ending):
                server = early_answers.EarlyServer(early_answers.HEAD + b"\r\n" + EVENTS, ending)
                status, _, crashes = trio.run(upload, server, "streams")
                self.assertEqual((0, SUSPECTED), (status, crashes))

    def test_cut_answers_to_unfinished_requests_are_lost(self):
        """Guards against answers that end before their length or their last chunk."""
        for ending in early_answers.BROKEN_ENDINGS:
            for answer in (early_answers.CUT_BY_LENGTH, early_answers.CUT_CHUNK):
                with self.subTest(ending=ending, answer=answer):
                    server = early_answers.EarlyServer(answer, ending)
                    status, _, crashes = trio.run(upload, server, "lookups")
                    self.assertEqual((502, SUSPECTED), (status, crashes))

    def test_whole_early_answers_are_served(self):
        """Guards against sound answers that are lost because the request was not read first."""
        for route in ("lookups", "orders", "streams"):
            body = EVENTS if route == "streams" else b"whole"
            for framing in (b"", b"content-length: %d\r\n" % len(body)):
                with self.subTest(route=route, framing=framing):
                    answer = early_answers.HEAD + framing + b"\r\n" + body
                    server = early_answers.EarlyServer(answer, early_answers.IN_ORDER)
                    self.assertEqual((200, body, SOUND), trio.run(upload, server, route))
                    self.assertEqual(1, server.request_count)

    def test_whole_answers_with_a_length_are_served_though_the_connection_is_reset(self):
        """Guards against answers given up for a reset that has cost none of their bytes."""
        answer = early_answers.HEAD + b"content-length: 5\r\n\r\nwhole"
        for ending in early_answers.BROKEN_ENDINGS:
            with self.subTest(ending=ending):
                server = early_answers.EarlyServer(answer, ending)
                self.assertEqual((200, b"whole", SOUND), trio.run(upload, server, "orders"))

    def test_the_outcome_of_an_order_to_an_engine_is_unknown_after_a_reset(self):
        """Guards against orders that are taken for accepted by half an answer."""
        join = orders.Join("g1", 1, "m0", ("b0",) * (len(early_answers.BODY) // 6))
        answer = b"HTTP/1.1 202 Accepted\r\n\r\n"
        for ending in early_answers.BROKEN_ENDINGS:
            with self.subTest(ending=ending):
                server = early_answers.EarlyServer(answer, ending)
                outcome = trio.run(self._send_order, server, join)
                self.assertIs(orders.OrderOutcome.LOST, outcome)

    async def _send_order(self, server, order):
        async with early_answers.serving(server) as address:
            registered = attrs.evolve(gateways.new_servers(1)["b0"], address=address)
            client = servers.PlatformServerClient(gateways.GatewayFixture().rate_limiter)
            return await client.send(registered, order, 0, 1)


class CommitTest(unittest.TestCase):
    def test_the_outcome_of_a_commit_is_unknown_after_a_reset(self):
        """Guards against commits whose outcome is taken from half an answer."""
        for ending in early_answers.BROKEN_ENDINGS:
            for new_client, answer in (
                (store.StoreClient, b"HTTP/1.1 412 Precondition Failed\r\n\r\n"),
                (store.StoreClient, b'HTTP/1.1 200 OK\r\n\r\n{"revision": 7}'),
                (_etcd_client, b'HTTP/1.1 200 OK\r\n\r\n{"succeeded": true}'),
            ):
                with self.subTest(ending=ending, answer=answer):
                    server = early_answers.EarlyServer(answer, ending)
                    trio.run(self._check_commit, server, new_client)

    async def _check_commit(self, server, new_client):
        async with early_answers.serving(server) as address:
            client = new_client(address)
            with self.assertRaises(keyvalue.IndeterminateError):
                await client.commit([], [keyvalue.Write("key", early_answers.BODY)])
            self.assertEqual(1, server.request_count)
            await client.close()

    def test_whole_early_answers_to_a_commit_count(self):
        """Guards against commits that are taken for lost as the request was not read first."""
        trio.run(self._check_whole_commit)

    async def _check_whole_commit(self):
        answer = b'HTTP/1.1 200 OK\r\n\r\n{"revision": 7}'
        server = early_answers.EarlyServer(answer, early_answers.IN_ORDER)
        async with early_answers.serving(server) as address:
            client = store.StoreClient(address)
            result = await client.commit([], [keyvalue.Write("key", early_answers.BODY)])
            self.assertEqual(keyvalue.CommitResult(True, 7), result)
            await client.close()


def _etcd_client(address):
    return etcd.EtcdClient(f"http://{address}", "e1")


class OperatorsTest(unittest.TestCase):
    def test_the_outcome_of_a_change_is_unknown_after_a_reset(self):
        """Guards against a change reported as not made, though the entry may have made it."""
        for ending in early_answers.BROKEN_ENDINGS:
            with self.subTest(ending=ending):
                server = early_answers.EarlyServer(early_answers.UNFRAMED, ending)
                trio.run(self._check_change, server)

    async def _check_change(self, server):
        async with early_answers.serving(server) as address:
            client = operators_client.OperatorsClient(f"http://{address}", "token")
            request = messages.ZoneRequest(True, author="x" * len(early_answers.BODY))
            with self.assertRaises(operators_client.OperatorsClientError) as raised:
                await client.set_zone("zone-a", request)
            self.assertEqual("unknown-outcome", raised.exception.kind)

    def test_answers_over_tls_are_read(self):
        """Guards against a connection that remembers failed writes, but skips its encryption."""
        trio.run(self._check_tls)

    async def _check_tls(self):
        authority = trustme.CA()
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        authority.issue_cert("127.0.0.1").configure_cert(context)
        change = messages.ChangeAnswer(7)
        body = codec.to_json(change)
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        server = early_answers.EarlyServer(answer, "close")
        with authority.cert_pem.tempfile() as authority_file:
            async with early_answers.serving(server, context) as address:
                client = operators_client.OperatorsClient(
                    f"https://{address}", "token", authority_file
                )
                request = messages.ZoneRequest(True)
                self.assertEqual(change, await client.set_zone("zone-a", request))


class ProductTest(unittest.TestCase):
    def test_broken_answers_to_unfinished_requests_are_lost(self):
        """Guards against parts of answers on the product's own interface."""
        for ending in early_answers.BROKEN_ENDINGS:
            for answer in (
                early_answers.UNFRAMED,
                early_answers.CUT_BY_LENGTH,
                early_answers.CUT_CHUNK,
            ):
                with self.subTest(ending=ending, answer=answer):
                    trio.run(self._check_lost, early_answers.EarlyServer(answer, ending))

    def test_whole_early_answers_are_served(self):
        """Guards against sound answers that are lost because the request was not read first."""
        answer = early_answers.HEAD + b"content-length: 5\r\n\r\nwhole"
        for ending in (*early_answers.BROKEN_ENDINGS, early_answers.IN_ORDER):
            with self.subTest(ending=ending):
                trio.run(self._check_whole, early_answers.EarlyServer(answer, ending))

    async def _check_lost(self, server):
        async with early_answers.serving(server) as address:
            with self.assertRaises(backend_client.AnswerLostError):
                await self._forward(address)

    async def _check_whole(self, server):
        async with early_answers.serving(server) as address:
            self.assertEqual(b"whole", await self._forward(address))

    async def _forward(self, address):
        request = backend_client.ForwardedRequest("POST", "/x", (), early_answers.BODY, "1", 5.0)
        backends = http.HttpBackendClient()
        try:
            async with backends.forward(address, request) as response:
                return b"".join([chunk async for chunk in response.chunks])
        finally:
            await backends.close()
