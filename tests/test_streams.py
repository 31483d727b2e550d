"""Streams and retries: whole answers from several attempts, or an error that the caller sees."""

import unittest

import trio
import trio.testing

from standins import backends, routers
from toucanhold.routing import relay, requests, resuming, sse, watchdog

TOKENS = 8
WHOLE = [f"t{number}" for number in range(TOKENS)]


def on_test_clock(check, *arguments):
    """Run an async check on trio's test clock."""
    return trio.run(check, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


def servers(*faults, count=2, **fields):
    """Return warm servers that share a list of faults, each of which strikes once."""
    made = [backends.Server(f"vm-{n}", warm=True, **fields) for n in range(count)]
    pending = list(faults)
    for server in made:
        server.faults = pending
    return made


def tokens_of(body):
    """Return the tokens of a stream and whether it has its end marker."""
    found = list(sse.EventSplitter().feed(body))
    return [event.data.decode() for event in found if event.event_id], found[-1].is_end


class ResumeTest(unittest.TestCase):
    def _whole_after(self, fault, **fields):
        body, _ = on_test_clock(self._read, servers(fault, **fields))
        self.assertEqual((WHOLE, True), tokens_of(body))
        self.assertEqual(1, body.count(b"finish_reason"))

    async def _read(self, made, timeout_s=30.0, **fields):
        body = bytearray()
        async with routers.running(made, entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            request = site.request(timeout_s=timeout_s, **fields)
            began_s = trio.current_time()
            async with entry.router.dispatcher.serve(request) as answer:
                async for chunk in answer.chunks:
                    body += chunk
            self.assertEqual(0, entry.router.in_flight.total())
            return bytes(body), trio.current_time() - began_s

    def test_cut_stream_is_resumed_without_a_token_lost_or_doubled(self):
        # The connection breaks after any number of tokens; another replica goes on from the last
        # whole event, and the caller sees one whole stream.
        for cut_after in range(TOKENS):
            with self.subTest(cut_after=cut_after):
                self._whole_after(backends.StreamFaults(cut_after=cut_after))

    def test_clean_end_without_end_marker_is_resumed(self):
        # The engine's connection closes cleanly part-way: by framing alone the answer looks whole.
        self._whole_after(backends.StreamFaults(end_after=3))

    def test_skipped_event_is_not_passed_over(self):
        # Event 4 never comes, event 5 does: passing it on would lose a token silently.
        self._whole_after(backends.StreamFaults(skip_at=4))

    def test_stalled_stream_is_resumed(self):
        # The engine keeps its connection open and sends nothing more.
        self._whole_after(backends.StreamFaults(stall_after=2))

    def test_two_failures_in_one_stream(self):
        made = servers(
            backends.StreamFaults(cut_after=2), backends.StreamFaults(cut_after=5), count=3
        )
        body, _ = on_test_clock(self._read, made)
        self.assertEqual((WHOLE, True), tokens_of(body))

    def test_second_failure_after_the_first_server_was_seen_alive(self):
        # The caller of a slow stream sees it whole. Its first server breaks the connection and is
        # then seen alive, so the request is no suspect for that; the second breaks it seconds
        # later, while the request runs alone. Refused before that server was looked at, the caller
        # would pay for two broken connections that killed nobody.
        faults = backends.StreamFaults(cut_after=2), backends.StreamFaults(cut_after=5)
        body, _ = on_test_clock(self._read, servers(*faults, count=3, token_s=0.9))
        self.assertEqual((WHOLE, True), tokens_of(body))

    def test_engine_that_restarts_is_left_at_once(self):
        # The server restarts while a stream stalls; the next report shows a new boot, and the
        # stream is resumed elsewhere long before the stall would be noticed.
        on_test_clock(self._restart)

    async def _restart(self):
        made = servers(count=1, first_token_s=1000) + [backends.Server("vm-1", warm=True)]
        made[1].is_up = False
        async with routers.running(made, entries=1) as site:
            await trio.sleep(2)
            site.nursery.start_soon(site.ask, site.entries["entry-0"])
            await trio.sleep(1)
            made[1].is_up = True
            made[0].is_up = False
            began_s = trio.current_time()
            while not site.outcomes["whole"]:
                await trio.sleep(0.05)
            self.assertLess(trio.current_time() - began_s, watchdog.STALL_TIMEOUT_S / 2)

    def test_failure_without_another_replica_is_an_error_for_the_caller(self):
        # The only server breaks the stream twice as often as anybody retries: the caller must see
        # an error, and one that does not claim that the request did not run.
        faults = [backends.StreamFaults(cut_after=3)] + [backends.StreamFaults(cut_after=4)] * 9
        with self.assertRaises(requests.RequestError) as raised:
            on_test_clock(self._read, servers(*faults, count=1))
        self.assertIs(requests.Outcome.UNKNOWN, raised.exception.outcome)

    def test_deadline_bounds_the_whole_stream(self):
        # Tokens keep coming, so no single wait is long, but the answer is over its time.
        with self.assertRaises(requests.RequestError) as raised:
            on_test_clock(self._read, servers(token_s=1.0), 3.0)
        self.assertIs(requests.Problem.DEADLINE, raised.exception.problem)
        self.assertIs(requests.Outcome.UNKNOWN, raised.exception.outcome)

    def test_engines_refusal_that_names_no_reason_is_no_proof_that_nothing_ran(self):
        # Every attempt ends in 503. Only refusals that engines publish as "not begun" are true
        # statements that the request did not run.
        for kind, outcome in (
            ("overloaded", requests.Outcome.UNKNOWN),
            ("wrong_group", requests.Outcome.DID_NOT_RUN),
        ):
            with self.subTest(kind=kind):
                faults = [backends.StreamFaults(status=503, error_type=kind)] * 9
                with self.assertRaises(requests.RequestError) as raised:
                    on_test_clock(self._read_as_group, faults)
                self.assertIs(outcome, raised.exception.outcome)

    async def _read_as_group(self, faults):
        made = servers(*faults, count=2)
        async with routers.running(made, entries=1, as_groups=True) as site:
            await trio.sleep(2)
            entry = site.entries["entry-0"]
            async with entry.router.dispatcher.serve(site.request()) as answer:
                async for _ in answer.chunks:
                    pass

    def test_refused_second_attempt_does_not_unsay_the_first(self):
        # The first attempt was sent and lost; the second finds no server at all. "Did not run"
        # would be true of the second only.
        with self.assertRaises(requests.RequestError) as raised:
            on_test_clock(self._lose_all)
        self.assertIs(requests.Outcome.UNKNOWN, raised.exception.outcome)

    async def _lose_all(self):
        made = servers(backends.StreamFaults(cut_after=0), count=1, first_token_s=0.5)
        async with routers.running(made, entries=1) as site:
            await trio.sleep(2)
            entry = site.entries["entry-0"]
            site.nursery.start_soon(_take_down, made[0])
            async with entry.router.dispatcher.serve(site.request()) as answer:
                async for _ in answer.chunks:
                    pass


async def _take_down(server):
    await trio.sleep(0.2)
    server.is_up = False


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_a_small_share_of_requests(self):
        # Every stream breaks at once. Four attempts each would quadruple the load on servers that
        # are failing already.
        on_test_clock(self._fail_all)

    async def _fail_all(self):
        made = servers(*[backends.StreamFaults(cut_after=0)] * 5000, count=3)
        async with routers.running(made, entries=1) as site:
            await trio.sleep(2)
            for _ in range(200):
                await site.ask(site.entries["entry-0"])
                await trio.sleep(1)
            self.assertEqual(0, site.outcomes["whole"])
        self.assertLess(sum(server.started for server in made), 200 * 1.1 + 12)


class StalledCallerTest(unittest.TestCase):
    def test_caller_who_does_not_read_frees_the_engine(self):
        # The caller opens a long stream and never reads. Without a bound its engine's slot would
        # be held until the deadline.
        on_test_clock(self._stall)

    async def _stall(self):
        made = servers(count=1, token_s=0.001)
        async with routers.running(made, entries=1, tokens=lambda request: 20000) as site:
            await trio.sleep(2)
            entry = site.entries["entry-0"]
            async with entry.router.dispatcher.serve(site.request(timeout_s=600)):
                await trio.sleep(relay.CALLER_STALL_TIMEOUT_S + 20)
                self.assertEqual(0, made[0].running)

    def test_what_waits_is_put_together(self):
        on_test_clock(self._together)

    async def _together(self):
        response_relay = relay.Relay()
        for part in (b"a", b"b", b"c"):
            response_relay.put(part)
        response_relay.end()
        self.assertEqual([b"abc"], [chunk async for chunk in response_relay.chunks()])


class StreamPositionTest(unittest.TestCase):
    def test_events_passed_on_before_are_dropped(self):
        position = resuming.StreamPosition()
        events = [sse.ServerSentEvent(b"", b"%d" % number, b"x") for number in range(4)]
        self.assertTrue(all(map(position.accept, events[:3])))
        position.begin_attempt()
        self.assertEqual([False, False, False, True], list(map(position.accept, events)))

    def test_gap_is_a_failure(self):
        position = resuming.StreamPosition()
        position.accept(sse.ServerSentEvent(b"", b"0", b"x"))
        with self.assertRaises(resuming.StreamGapError):
            position.accept(sse.ServerSentEvent(b"", b"2", b"x"))
