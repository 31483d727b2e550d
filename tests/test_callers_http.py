"""The callers' HTTP interface: invalid input gets a typed problem or a closed connection, without
effect on other callers."""

import contextlib
import json
import random
import ssl
import tempfile
import unittest
from unittest import mock

import attrs
import httpcore
import trio
import trustme

from standins import orders as order_fakes
from standins import processes
from toucanhold import codec, metrics, serving
from toucanhold.backends import client, http
from toucanhold.callers import app, directory, reading
from toucanhold.configuration import holder, rules, snapshot
from toucanhold.membership import facts, roster
from toucanhold.routing import dispatch, requests

BODY_LIMIT_BYTES = 1000
SERVICES = (
    rules.Service("drafts", model="writer"),
    rules.Service(
        "valves",
        rules.ServiceKind.PLAIN,
        non_idempotent=(
            rules.CallPattern("POST", "/open/*"),
            rules.CallPattern("POST", "/publish"),
        ),
    ),
)
CHAT = {"model": "drafts"}
JSON = {"content-type": "application/json"}


@attrs.define(eq=False)
class EchoDispatcher:
    """Echoes the request body; a word in the body selects a failure or a delay."""

    seen_requests: list = attrs.field(factory=list)

    @contextlib.asynccontextmanager
    async def serve(self, request):
        self.seen_requests.append(request)
        if b"fault" in request.body:
            raise ValueError("a fault of our own")
        if b"slow" in request.body:
            await trio.sleep(0.5)
        headers = ((b"content-type", b"application/json"),)
        yield dispatch.Answer(200, headers, self._chunks(request))

    async def _chunks(self, request):
        yield b'{"whole": false, ' if b"torn" in request.body else request.body or b"{}"
        if b"torn" in request.body:
            raise requests.RequestError(
                requests.Problem.BACKEND_FAILED, requests.Outcome.UNKNOWN, "lost"
            )


class HttpTest(unittest.TestCase):
    max_in_flight = 50
    tls_files = ("", "")

    def serve(self, check):
        """Run ``check`` while the app is served by a real HTTP server."""

        async def main():
            (self.address,) = processes.free_addresses(1)
            self.app = self.new_app()
            stop = trio.Event()
            server = serving.HypercornServer(2.0, self.tls_files)
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.serve, self.app, self.address, stop)
                    await check()
                    stop.set()

        trio.run(main)

    def new_app(self):
        part = snapshot.Part(snapshot.RULES_PART, 1, codec.to_json(rules.Rules(SERVICES)))
        configuration = holder.ConfigurationHolder(
            snapshot.from_parts(1, {snapshot.RULES_PART: part})
        )
        self.dispatcher = EchoDispatcher()
        own_member = roster.Member("own", "zone-a", self.address, "", "", boot="boot")
        member_roster = roster.Roster(own_member)
        fact_table = facts.FactTable(facts.EntryFact(own_member, 1))
        entry_directory = directory.Directory(
            member_roster, fact_table, 1.0, frozenset, lambda: True, random.Random(1)
        )
        orders = order_fakes.new_entry(
            "own", order_fakes.FakeKeyValueClient(), self.dispatcher
        ).order_handler
        permit = mock.Mock(refusal=lambda: None)
        return app.CallersApp(
            configuration,
            permit,
            self.dispatcher,
            orders,
            entry_directory,
            metrics.Metrics("own"),
            reading.RequestLimits(BODY_LIMIT_BYTES, 5.0, 10.0, body_timeout_s=0.3),
            self.max_in_flight,
        )

    async def call(self, method, path, body=b"", headers=JSON, **pool_options):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        scheme = "https" if self.tls_files[0] else "http"
        async with httpcore.AsyncConnectionPool(**pool_options) as pool:
            return await pool.request(
                method, f"{scheme}://{self.address}{path}", headers=headers, content=content
            )

    async def post_chat(self, body, headers=JSON):
        return await self.call("POST", "/v1/chat/completions", body, headers)

    async def send_raw(self, data, wait_s=2.0):
        """Send bytes on a new connection and return what is received until it closes."""
        host, _, port = self.address.partition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        answer = b""
        async with stream:
            await stream.send_all(data)
            with trio.move_on_after(wait_s):
                while chunk := await stream.receive_some():
                    answer += chunk
        return answer

    def check_problem(self, answer, problem):
        details = json.loads(answer.content)
        self.assertEqual(problem.status, answer.status, details)
        self.assertEqual(f"urn:toucanhold:problem:{problem.slug}", details["type"])
        self.assertEqual("did-not-run", details["outcome"])


class InvalidRequestTest(HttpTest):
    def test_invalid_requests_get_their_problem_and_do_not_run(self):
        self.serve(self._check_invalid_requests)
        self.assertEqual([], self.dispatcher.seen_requests)

    async def _check_invalid_requests(self):
        deep = b'{"model": "drafts", "x": ' + b"[" * 400 + b"]" * 400 + b"}"
        problem = requests.Problem
        for body in (
            b"",
            b"{",
            b"[]",
            b"7",
            b'"x"',
            b"{}",
            deep[:-1],
            b"\xff\xfe",
            b'{"model": NaN}',
        ):
            self.check_problem(await self.post_chat(body), problem.MALFORMED)
        for fields in ({"stream": "yes"}, {"stream": 1}, {"stream": []}):
            self.check_problem(await self.post_chat(CHAT | fields), problem.MALFORMED)
        for name in ("none", 7, [], {}, None, "x" * 900):
            self.check_problem(await self.post_chat({"model": name}), problem.UNKNOWN_SERVICE)
        wrong = {"content-type": "text/plain"}
        self.check_problem(await self.post_chat(CHAT, wrong), problem.WRONG_CONTENT_TYPE)
        self.check_problem(await self.post_chat(b"x" * 1001), problem.TOO_LARGE)
        for text in ("x", "0", "-1", "nan", "inf", "11"):
            headers = JSON | {"toucanhold-timeout-s": text}
            self.check_problem(await self.post_chat(CHAT, headers), problem.MALFORMED)
        for workspace in ("x" * 65, "a b", "é".encode("latin-1")):
            headers = JSON | {"toucanhold-workspace": workspace}
            self.check_problem(await self.post_chat(CHAT, headers), problem.MALFORMED)
        for key in ("", "a b", "x" * 256, "é".encode("latin-1")):
            answer = await self.call(
                "POST", "/services/valves/open/7", b"", JSON | {"idempotency-key": key}
            )
            self.check_problem(answer, problem.MALFORMED)

    def test_unknown_paths_and_wrong_methods_do_not_run(self):
        self.serve(self._check_paths_and_methods)
        self.assertEqual([], self.dispatcher.seen_requests)

    async def _check_paths_and_methods(self):
        problem = requests.Problem
        for path in ("/", "/v1", "/v1/models/x", "/services", "/toucanhold/v1/none"):
            self.check_problem(await self.call("GET", path), problem.UNKNOWN_SERVICE)
        for path in ("/services/none/x", "/services/drafts/x"):
            self.check_problem(await self.call("GET", path), problem.UNKNOWN_SERVICE)
        for method, path in (
            ("GET", "/v1/chat/completions"),
            ("POST", "/v1/models"),
            ("DELETE", "/toucanhold/v1/addresses"),
            ("GET", "/toucanhold/v1/order-keys"),
            ("OPTIONS", "/services/valves/x"),
        ):
            self.check_problem(await self.call(method, path), problem.METHOD_NOT_ALLOWED)
        for path in ("/v1/models", "/toucanhold/v1/addresses"):
            answer = await self.call("HEAD", path)
            self.assertEqual((200, b""), (answer.status, answer.content))

    def test_equivalent_paths_of_an_order_are_not_idempotent(self):
        # The rule names "/open/*". A service that normalises paths would run the order for each
        # of these paths, and the router would retry it like an idempotent call.
        self.serve(self._check_equivalent_paths)

    async def _check_equivalent_paths(self):
        for path in ("//open/7", "/./open/7", "/x/../open/7", "/%2e/open/7", "/open//7"):
            answer = await self.call("POST", f"/services/valves{path}")
            self.check_problem(answer, requests.Problem.MALFORMED)
        self.assertEqual([], self.dispatcher.seen_requests)
        for path in ("/open/7", "/open/7/", "/%6fpen/7", "/open%2F7", "/publish", "/publish/"):
            reader, scope = self.app.reader, _scope("POST", f"/services/valves{path}")
            with self.app.body_memory.open_reservation() as reservation:
                request = await reader.read(scope, _no_body, "id", reservation)
            self.assertFalse(request.may_repeat, path)

    def test_invalid_order_key_requests_are_refused(self):
        self.serve(self._check_order_key_requests)

    async def _check_order_key_requests(self):
        path = "/toucanhold/v1/order-keys"
        for body in (b"x", b"[]", b'{"count": 0}', b'{"count": 101}', b'{"count": true}'):
            self.check_problem(await self.call("POST", path, body), requests.Problem.MALFORMED)
        issued = await self.call("POST", path, {"count": 3})
        self.assertEqual((201, 3), (issued.status, len(json.loads(issued.content)["order_keys"])))


def _scope(method, path):
    raw = path.encode()
    decoded = path.replace("%6f", "o").replace("%2F", "/")
    return {
        "method": method,
        "path": decoded,
        "raw_path": raw,
        "query_string": b"",
        "headers": [],
    }


async def _no_body():
    return {"type": "http.request", "body": b"", "more_body": False}


class ConnectionTest(HttpTest):
    max_in_flight = 3

    def test_malformed_http_affects_only_its_connection(self):
        self.serve(self._check_malformed_http)

    async def _check_malformed_http(self):
        async with trio.open_nursery() as nursery:
            other_statuses = []

            async def send_slow_request():
                other_statuses.append((await self.post_chat(CHAT | {"x": "slow"})).status)

            nursery.start_soon(send_slow_request)
            await trio.sleep(0.1)
            host = b"host: x\r\n"
            for data in (
                b"nonsense\r\n\r\n",
                b"GET / HTTP/1.1\r\n\r\n",
                b"GET /\xff HTTP/1.1\r\n" + host + b"\r\n",
                b"GET / HTTP/1.1\r\n" + host + b"bad header\r\n\r\n",
                b"GET / HTTP/1.1\r\n" + host + b"x: " + b"y" * 40_000 + b"\r\n\r\n",
                b"POST / HTTP/1.1\r\n" + host + b"content-length: x\r\n\r\n",
                b"POST / HTTP/1.1\r\n" + host + b"content-length: 1\r\ncontent-length: 2\r\n\r\n",
                b"POST /v1/chat/completions HTTP/1.1\r\n"
                + host
                + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
            ):
                answer = await self.send_raw(data)
                self.assertRegex(answer, rb"^HTTP/1.1 4\d\d ", data[:60])
        self.assertEqual([200], other_statuses)

    def test_duplicate_control_headers_are_refused(self):
        self.serve(self._check_duplicate_headers)

    async def _check_duplicate_headers(self):
        for name in ("idempotency-key", "toucanhold-workspace", "toucanhold-timeout-s"):
            headers = [("content-type", "application/json"), (name, "1"), (name, "2")]
            self.check_problem(await self.post_chat(CHAT, headers), requests.Problem.MALFORMED)

    def test_pipelined_requests_are_answered_in_order(self):
        self.serve(self._check_pipelining)

    async def _check_pipelining(self):
        def post(number):
            body = b'{"model": "drafts", "n": %d}' % number
            return (
                b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n%s"
                % (len(body), body)
            )

        answer = await self.send_raw(b"".join(map(post, range(3))), wait_s=1.0)
        numbers = [answer.index(b'"n": %d' % number) for number in range(3)]
        self.assertEqual(sorted(numbers), numbers)
        self.assertEqual(3, answer.count(b"HTTP/1.1 200"))

    def test_slow_and_abandoned_bodies_release_their_slots(self):
        self.serve(self._check_slow_bodies)

    async def _check_slow_bodies(self):
        head = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{"
        async with trio.open_nursery() as nursery:
            slow_responses = []

            async def send_slowly():
                slow_responses.append(await self.send_raw(head))

            nursery.start_soon(send_slowly)
            for _ in range(3):
                await self.send_raw(head, wait_s=0.02)
        self.assertIn(b"408", slow_responses[0].splitlines()[0])
        self.assertIn(b"body-timeout", slow_responses[0])
        self.assertEqual(200, (await self.post_chat(CHAT)).status)
        await trio.sleep(0.1)
        self.assertEqual(0, self.app.in_flight)
        self.assertEqual(0, self.app.body_memory._reserved_bytes)

    def test_requests_beyond_the_limit_are_refused_at_once(self):
        self.serve(self._check_request_limit)

    async def _check_request_limit(self):
        answers = []

        async def send():
            answers.append(await self.post_chat(CHAT | {"x": "slow"}))

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(send)
        statuses = sorted(answer.status for answer in answers)
        self.assertEqual([200] * 3 + [429] * 7, statuses)
        for answer in answers:
            if answer.status == 429:
                self.check_problem(answer, requests.Problem.OVERLOADED)
                self.assertIn(b"retry-after", [key.lower() for key, _ in answer.headers])

    def test_total_size_of_open_bodies_is_bounded(self):
        self.serve(self._check_body_memory)

    async def _check_body_memory(self):
        with self.app.body_memory.open_reservation() as reservation:
            reservation.grow(self.app.body_memory.limit_bytes)
            self.check_problem(await self.post_chat(CHAT), requests.Problem.OVERLOADED)
        self.assertEqual(200, (await self.post_chat(CHAT)).status)


class InternalErrorTest(HttpTest):
    def test_internal_error_reports_an_unknown_outcome(self):
        self.serve(self._check_internal_error)

    async def _check_internal_error(self):
        with self.assertLogs("toucanhold.callers.app", "ERROR"):
            answer = await self.post_chat(CHAT | {"x": "fault"})
        self.assertEqual((500, "unknown"), (answer.status, json.loads(answer.content)["outcome"]))
        self.assertEqual(200, (await self.post_chat(CHAT)).status)


class TruncatedResponseTest(HttpTest):
    def test_truncated_stream_raises_an_error_at_the_client(self):
        self.serve(self._check_truncated_responses)

    async def _check_truncated_responses(self):
        with self.assertRaises(httpcore.RemoteProtocolError):
            await self.post_chat(CHAT | {"x": "torn", "stream": True})
        answer = await self.post_chat(CHAT | {"x": "torn"})
        self.assertEqual((502, "unknown"), (answer.status, json.loads(answer.content)["outcome"]))

    def test_http_1_0_response_has_a_content_length(self):
        self.serve(self._check_http_1_0)

    async def _check_http_1_0(self):
        body = b'{"model": "drafts"}'
        answer = await self.send_raw(
            b"POST /v1/chat/completions HTTP/1.0\r\nhost: x\r\ncontent-length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        self.assertIn(b"\r\ncontent-length: ", answer.lower())

    def test_truncated_backend_response_is_lost(self):
        for head in (b"content-length: 20", b"transfer-encoding: chunked"):
            with self.subTest(head=head):
                trio.run(self._check_backend_response, head)

    async def _check_backend_response(self, head):
        async def answer(stream):
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n5\r\nabcde\r\n")
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            serve = trio.serve_tcp
            (listener,) = await nursery.start(
                lambda task_status: serve(answer, 0, host="127.0.0.1", task_status=task_status)
            )
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            request = client.ForwardedRequest("GET", "/", (), b"", "id", 5.0, True)
            with self.assertRaises(client.AnswerLostError):
                async with http.HttpBackendClient().forward(address, request) as response:
                    async for _ in response.chunks:
                        pass
            nursery.cancel_scope.cancel()


class TlsTest(HttpTest):
    def setUp(self):
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.tls_files = (f"{folder.name}/certificate.pem", f"{folder.name}/key.pem")
        certificate.cert_chain_pems[0].write_to_path(self.tls_files[0])
        certificate.private_key_pem.write_to_path(self.tls_files[1])
        self.context = ssl.create_default_context()
        authority.configure_trust(self.context)

    def test_tls_callers_are_served_and_detect_truncated_streams(self):
        self.serve(self._check_tls)

    async def _check_tls(self):
        options = {"ssl_context": self.context}
        path = "/v1/chat/completions"
        answer = await self.call("POST", path, CHAT, **options)
        self.assertEqual(200, answer.status)
        with self.assertRaises((httpcore.ProtocolError, httpcore.NetworkError)):
            await self.call("POST", path, CHAT | {"x": "torn", "stream": True}, **options)
        with self.assertRaises(httpcore.ConnectError):
            await self.call("POST", path, CHAT)
        self.assertEqual(200, (await self.call("POST", path, CHAT, **options)).status)
