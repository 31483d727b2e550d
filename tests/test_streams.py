"""Tests of streams and retries: complete answers from several attempts, or a visible error."""

import unittest

import trio
import trio.testing

from standins import backends, routers
from toucanhold.routing import relay, requests, resuming, sse, watchdog

TOKENS = 8
EXPECTED_TOKENS = [f"t{number}" for number in range(TOKENS)]


def on_test_clock(check, *arguments):
    """Run an async check on trio's test clock."""
    return trio.run(check, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


def servers(*faults, count=2, **fields):
    """Return warm servers that share a list of faults, each of which is injected once."""
    backend_servers = [backends.Server(f"vm-{n}", is_warm=True, **fields) for n in range(count)]
    pending = list(faults)
    for server in backend_servers:
        server.faults = pending
    return backend_servers


def tokens_of(body):
    """Return the tokens of a stream and whether it ends with the end marker."""
    parsed = list(sse.EventSplitter().feed(body))
    return [event.data.decode() for event in parsed if event.event_id], parsed[-1].is_end


class ResumeTest(unittest.TestCase):
    def _check_resumed_after(self, fault, **fields):
        body, _ = on_test_clock(self._read, servers(fault, **fields))
        self.assertEqual((EXPECTED_TOKENS, True), tokens_of(body))
        self.assertEqual(1, body.count(b"finish_reason"))

    async def _read(self, backend_servers, timeout_s=30.0, **fields):
        body = bytearray()
        async with routers.running(backend_servers, entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            request = site.request(timeout_s=timeout_s, **fields)
            began_s = trio.current_time()
            async with entry.router.dispatcher.serve(request) as answer:
                async for chunk in answer.chunks:
                    body += chunk
            self.assertEqual(0, entry.router.in_flight.total())
            return bytes(body), trio.current_time() - began_s

    def test_broken_stream_is_resumed_without_a_lost_or_repeated_token(self):
        # The connection breaks after any number of tokens. Another replica continues after the
        # last complete event, and the caller receives one complete stream.
        for cut_after in range(TOKENS):
            with self.subTest(cut_after=cut_after):
                self._check_resumed_after(backends.StreamFaults(cut_after=cut_after))

    def test_clean_end_without_end_marker_is_resumed(self):
        # The engine closes its connection cleanly part-way: by framing, the answer looks complete.
        self._check_resumed_after(backends.StreamFaults(end_after=3))

    def test_skipped_event_is_detected(self):
        # Event 5 follows event 3: forwarding it would lose a token silently.
        self._check_resumed_after(backends.StreamFaults(skip_at=4))

    def test_stalled_stream_is_resumed(self):
        # The engine keeps its connection open but stops sending.
        self._check_resumed_after(backends.StreamFaults(stall_after=2))

    def test_two_failures_in_one_stream(self):
        backend_servers = servers(
            backends.StreamFaults(cut_after=2), backends.StreamFaults(cut_after=5), count=3
        )
        body, _ = on_test_clock(self._read, backend_servers)
        self.assertEqual((EXPECTED_TOKENS, True), tokens_of(body))

    def test_second_failure_after_the_first_server_is_known_to_be_alive(self):
        # The first server of a slow stream breaks the connection but reports that it is alive,
        # which clears the request of suspicion. The second server breaks it seconds later, while
        # the request runs isolated. Refusing the request before the second server's next report
        # would blame it for two broken connections without a crash.
        faults = backends.StreamFaults(cut_after=2), backends.StreamFaults(cut_after=5)
        body, _ = on_test_clock(self._read, servers(*faults, count=3, token_s=0.9))
        self.assertEqual((EXPECTED_TOKENS, True), tokens_of(body))

    def test_stream_moves_from_a_restarted_engine_at_once(self):
        # The server restarts while a stream stalls. Its next report shows a new boot, and the
        # stream is resumed elsewhere long before the stall timeout.
        on_test_clock(self._restart)

    async def _restart(self):
        backend_servers = servers(count=1, first_token_s=1000) + [
            backends.Server("vm-1", is_warm=True)
        ]
        backend_servers[1].is_up = False
        async with routers.running(backend_servers, entries=1) as site:
            await trio.sleep(2)
            site.nursery.start_soon(site.send_request, site.entries["entry-0"])
            await trio.sleep(1)
            backend_servers[1].is_up = True
            backend_servers[0].is_up = False
            began_s = trio.current_time()
            while not site.outcomes["whole"]:
                await trio.sleep(0.05)
            self.assertLess(trio.current_time() - began_s, watchdog.STALL_TIMEOUT_S / 2)

    def test_failure_without_another_replica_is_an_error_for_the_caller(self):
        # The only server breaks the stream more often than there are retries. The caller must
        # receive an error that does not claim that the request did not run.
        faults = [backends.StreamFaults(cut_after=3)] + [backends.StreamFaults(cut_after=4)] * 9
        with self.assertRaises(requests.RequestError) as raised:
            on_test_clock(self._read, servers(*faults, count=1))
        self.assertIs(requests.Outcome.UNKNOWN, raised.exception.outcome)

    def test_deadline_bounds_the_whole_stream(self):
        # Tokens keep arriving, so no single wait is long, but the answer exceeds the deadline.
        with self.assertRaises(requests.RequestError) as raised:
            on_test_clock(self._read, servers(token_s=1.0), 3.0)
        self.assertIs(requests.Problem.DEADLINE, raised.exception.problem)
        self.assertIs(requests.Outcome.UNKNOWN, raised.exception.outcome)

    def test_engine_refusal_of_an_undocumented_type_does_not_prove_that_nothing_ran(self):
        # Every attempt ends with status 503. Only error types that engines document as refusals
        # before the start prove that the request did not run; any other answer is passed on.
        with self.assertRaises(requests.RequestError) as raised:
            on_test_clock(self._read_as_group, "wrong_group")
        self.assertIs(requests.Outcome.DID_NOT_RUN, raised.exception.outcome)
        status, body = on_test_clock(self._read_as_group, "overloaded")
        self.assertEqual((503, b'{"error": {"type": "overloaded"}}'), (status, body))

    async def _read_as_group(self, error_type):
        faults = [backends.StreamFaults(status=503, error_type=error_type)] * 9
        backend_servers = servers(*faults, count=2)
        async with routers.running(backend_servers, entries=1, has_groups=True) as site:
            await trio.sleep(2)
            entry = site.entries["entry-0"]
            async with entry.router.dispatcher.serve(site.request()) as answer:
                return answer.status, b"".join([chunk async for chunk in answer.chunks])

    def test_refused_second_attempt_keeps_the_outcome_of_the_first(self):
        # The first attempt was sent and lost; the second finds no server. "Did not run" would be
        # true only for the second.
        with self.assertRaises(requests.RequestError) as raised:
            on_test_clock(self._stop_only_server)
        self.assertIs(requests.Outcome.UNKNOWN, raised.exception.outcome)

    async def _stop_only_server(self):
        backend_servers = servers(backends.StreamFaults(cut_after=0), count=1, first_token_s=0.5)
        async with routers.running(backend_servers, entries=1) as site:
            await trio.sleep(2)
            entry = site.entries["entry-0"]
            site.nursery.start_soon(_stop_server, backend_servers[0])
            async with entry.router.dispatcher.serve(site.request()) as answer:
                async for _ in answer.chunks:
                    pass


async def _stop_server(server):
    await trio.sleep(0.2)
    server.is_up = False


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_small_share_of_requests(self):
        # Every stream breaks at once. Four attempts per request would quadruple the load on servers
        # that are already failing.
        on_test_clock(self._break_all_streams)

    async def _break_all_streams(self):
        backend_servers = servers(*[backends.StreamFaults(cut_after=0)] * 5000, count=3)
        async with routers.running(backend_servers, entries=1) as site:
            await trio.sleep(2)
            for _ in range(200):
                await site.send_request(site.entries["entry-0"])
                await trio.sleep(1)
            self.assertEqual(0, site.outcomes["whole"])
        self.assertLess(sum(server.started_requests for server in backend_servers), 200 * 1.1 + 12)

    def test_requests_that_reached_no_server_need_no_retry(self):
        """Guards against refusals for want of a retry while another server has room."""
        on_test_clock(self._restart_server)

    async def _restart_server(self):
        backend_servers = servers(count=2)
        async with routers.running(backend_servers, entries=1) as site:
            await trio.sleep(2)
            entry = site.entries["entry-0"]
            while entry.router.dispatcher.retry_budget.try_acquire():
                pass
            for _ in range(20):
                backend_servers[0].restart()
                backend_servers[0].is_warm = True
                await site.send_request(entry)
                await trio.sleep(1)
            self.assertEqual({"whole": 20}, dict(site.outcomes))


class StalledCallerTest(unittest.TestCase):
    def test_caller_that_does_not_read_releases_the_engine(self):
        # The caller opens a long stream and never reads. Without a time limit it would occupy the
        # engine's slot until the deadline.
        on_test_clock(self._stall)

    async def _stall(self):
        backend_servers = servers(count=1, token_s=0.001)
        async with routers.running(
            backend_servers, entries=1, token_count=lambda request: 20000
        ) as site:
            await trio.sleep(2)
            entry = site.entries["entry-0"]
            async with entry.router.dispatcher.serve(site.request(timeout_s=600)):
                await trio.sleep(relay.CALLER_STALL_TIMEOUT_S + 20)
                self.assertEqual(0, backend_servers[0].running)

    def test_buffered_parts_are_merged(self):
        on_test_clock(self._merge)

    async def _merge(self):
        response_relay = relay.Relay()
        for part in (b"a", b"b", b"c"):
            response_relay.put(part)
        response_relay.end()
        self.assertEqual([b"abc"], [chunk async for chunk in response_relay.chunks()])


class StreamPositionTest(unittest.TestCase):
    def test_events_that_were_forwarded_before_are_dropped(self):
        position = resuming.StreamPosition()
        events = [sse.ServerSentEvent(b"", b"%d" % number, b"x") for number in range(4)]
        self.assertTrue(all(map(position.accept, events[:3])))
        position.begin_attempt()
        self.assertEqual([False, False, False, True], list(map(position.accept, events)))

    def test_gap_in_event_ids_is_an_error(self):
        position = resuming.StreamPosition()
        position.accept(sse.ServerSentEvent(b"", b"0", b"x"))
        with self.assertRaises(resuming.StreamGapError):
            position.accept(sse.ServerSentEvent(b"", b"2", b"x"))
