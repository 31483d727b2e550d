"""Answers that are none: what they may cost until they are given up."""

import contextlib
import unittest

import attrs
import httpcore
import hypothesis
import trio
import trio.testing
from hypothesis import strategies

from tests import clocked
from tests.platform import endless
from toucanhold.backends import answer_memory, bounded
from toucanhold.routing import arrivals, sse

ORIGIN = httpcore.Origin(b"http", b"127.0.0.1", 80)
URL = httpcore.URL(scheme=b"http", host=b"127.0.0.1", port=80, target=b"/")
# Places at which the bytes cannot be an answer, however long they go on.
HEAD_PLACES = (
    "start",
    "status line",
    "interim heads",
    "header line",
    "header lines",
    "digits of the length",
    "length of many digits",
)
FRAMING_PLACES = ("tiny chunks", "chunk size", "chunk extensions", "trailers")
GOOD = b"HTTP/1.1 200 OK\r\nx-name: value\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


@attrs.define(eq=False)
class EndlessStream(httpcore.AsyncNetworkStream):
    """Yields given bytes and then repeats others without end."""

    before: bytes
    repeated: bytes
    read_bytes: int = 0

    async def read(self, max_bytes, timeout=None):
        await trio.lowlevel.checkpoint()
        needed = self.read_bytes + max_bytes - len(self.before)
        repeats = max(0, needed) // max(1, len(self.repeated)) + 2
        data = (self.before + self.repeated * repeats)[self.read_bytes :][:max_bytes]
        self.read_bytes += len(data)
        return data

    async def write(self, buffer, timeout=None):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        await trio.lowlevel.checkpoint()

    def get_extra_info(self, info):
        return None


@attrs.define(eq=False)
class PartedStream(EndlessStream):
    """Yields the bytes in parts of a size."""

    part_bytes: int = 1

    async def read(self, max_bytes, timeout=None):
        return await super().read(min(max_bytes, self.part_bytes), timeout)


def stream_of(place):
    before, repeated = endless.PLACES[place]
    return EndlessStream(before.replace(b"%s", b"a-1"), repeated)


async def read_answer(stream, on_chunk=lambda chunk: None):
    """Read an answer to its end; return its body."""
    connection = bounded.BoundedConnection(ORIGIN, stream)
    request = httpcore.Request(b"GET", URL, headers=[(b"host", b"h")])
    response = await connection.request(request)
    body = b""
    async for chunk in connection.chunks(response):
        on_chunk(chunk)
        body += chunk
    return body


class HeadTest(unittest.TestCase):
    def test_heads_without_end_are_given_up_early(self):
        """Guards against heads that are read and parsed for as long as a server sends them."""
        for place in HEAD_PLACES:
            with self.subTest(place=place):
                stream = stream_of(place)
                with self.assertRaises(httpcore.ProtocolError):
                    trio.run(read_answer, stream)
                limit = bounded.HEAD_LIMIT_BYTES + bounded.HEAD_READ_BYTES
                self.assertLessEqual(stream.read_bytes, limit)

    def test_framing_without_content_is_given_up_early(self):
        """Guards against chunks whose parsing takes the time of all other requests."""
        for place in FRAMING_PLACES:
            with self.subTest(place=place):
                stream = stream_of(place)
                with self.assertRaises(httpcore.ProtocolError):
                    trio.run(read_answer, stream)
                self.assertLess(stream.read_bytes, 100_000)

    def test_an_answer_that_switches_protocols_is_lost(self):
        """Guards against a status that the caller's connection cannot carry."""
        stream = EndlessStream(b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n", b"x")
        with self.assertRaises(httpcore.ProtocolError):
            trio.run(read_answer, stream)

    def test_sound_answers_arrive_whole(self):
        self.assertEqual(b"ok", trio.run(read_answer, EndlessStream(GOOD, b"")))
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\n"
        self.assertEqual(b"ok", trio.run(read_answer, EndlessStream(interim + GOOD, b"")))

    def test_heads_that_arrive_in_parts_are_checked_alike(self):
        """Guards against a line that is invalid only together with the end of the part before."""
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        for part_bytes in range(1, 10):
            for before in (b"", interim):
                with self.subTest(part_bytes=part_bytes, before=before):
                    for line in (b" x-more: 5", b"\tx-more: 5", b"\nx-more: 5"):
                        bad = GOOD.replace(b"value\r\n", b"value\r\n%s\r\n" % line)
                        with self.assertRaises(bounded.InvalidAnswerError):
                            trio.run(read_answer, PartedStream(before + bad, b"", 0, part_bytes))
                    good = PartedStream(before + GOOD, b"", 0, part_bytes)
                    self.assertEqual(b"ok", trio.run(read_answer, good))

    def test_bodies_may_hold_what_heads_may_not(self):
        """Guards against a check of lines that goes on after the head."""
        body = b"\n \n\r\n\tHTTP/1.1 100\n"
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        for answer in (head + body, head.replace(b"\r\n", b"\n") + body):
            for part_bytes in (1, 1000):
                stream = PartedStream(answer, b"", 0, part_bytes)
                self.assertEqual(body, trio.run(read_answer, stream))

    def test_other_tasks_run_between_chunks(self):
        """Guards against chunks in one read that keep the event loop."""
        trio.run(self._count_chunks_between_passes)

    async def _count_chunks_between_passes(self):
        most, since_pass = 0, 0

        async def tick():
            nonlocal since_pass
            while True:
                since_pass = 0
                await trio.lowlevel.checkpoint()

        def count(chunk):
            nonlocal most, since_pass
            since_pass += 1
            most = max(most, since_pass)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(tick)
            with contextlib.suppress(httpcore.ProtocolError):
                await read_answer(stream_of("tiny chunks"), count)
            nursery.cancel_scope.cancel()
        self.assertLessEqual(most, 4)

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.sampled_from(sorted(endless.PLACES)),
        strategies.integers(0, 200),
        strategies.binary(max_size=12),
        strategies.binary(min_size=1, max_size=12),
    )
    def test_any_bytes_are_an_answer_or_a_protocol_error(self, place, cut, garbage, repeated):
        """Guards against bytes of a server that end more than their own request."""
        before = (endless.PLACES[place][0].replace(b"%s", b"a-1") if cut % 2 else GOOD)[
            :cut
        ] + garbage
        stream = EndlessStream(before, repeated)

        async def read():
            with trio.move_on_after(1):
                with contextlib.suppress(httpcore.ProtocolError):
                    await read_answer(stream, self._stop_late)

        with contextlib.suppress(_EnoughError):
            trio.run(read)

    def _stop_late(self, chunk):
        self._size = getattr(self, "_size", 0) + len(chunk)
        if self._size > 200_000:
            self._size = 0
            raise _EnoughError


class _EnoughError(Exception):
    pass


class MemoryTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_the_answer_that_took_most_for_longest_ends_first(self):
        """Guards against sound answers that end because others take all memory."""
        memory = answer_memory.AnswerMemory(1000)
        ended = []

        async def hold(name, sizes):
            try:
                with memory.hold() as held:
                    for size in sizes:
                        held.append(b"x" * size)
                        await trio.sleep(1)
                    await trio.sleep(10)
            except answer_memory.AnswerMemoryError:
                ended.append(name)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold, "endless", [100] * 20)
            nursery.start_soon(hold, "small", [1] * 20)
            await trio.sleep(5)
            nursery.start_soon(hold, "large and new", [600])
            await trio.sleep(1)
            self.assertEqual(["endless"], ended)
        self.assertEqual(["endless"], ended)
        self.assertEqual(0, memory._total_bytes)

    @clocked.on_test_clock
    async def test_all_answers_together_stay_below_the_limit(self):
        """Guards against an entry that ends for want of memory beside hundreds of such answers."""
        memory = answer_memory.AnswerMemory(10_000)
        largest = 0

        async def grow():
            nonlocal largest
            with contextlib.suppress(answer_memory.AnswerMemoryError), memory.hold() as held:
                while True:
                    held.append(b"x" * 500)
                    largest = max(largest, sum(len(each.body) for each in memory._held))
                    await trio.sleep(0.01)

        with trio.move_on_after(20):
            async with trio.open_nursery() as nursery:
                for _ in range(100):
                    nursery.start_soon(grow)
        self.assertLessEqual(largest, 10_000)


class ArrivalTest(unittest.TestCase):
    async def _drip(self, arrival, for_s, is_head=False):
        """Record a read every 50 ms; return when the answer was given up, or None."""
        if not is_head:
            arrival.record_read()
            arrival.end_head(is_stream=False)
        began_s = trio.current_time()
        while trio.current_time() < began_s + for_s:
            try:
                arrival.record_read()
            except arrivals.EndlessAnswerError:
                return trio.current_time() - began_s
            await trio.sleep(0.05)
        return None

    @clocked.on_test_clock
    async def test_what_may_be_repeated_is_given_up_in_time(self):
        """Guards against a server that sends byte after byte until the caller has gone."""
        arrival = arrivals.AnswerArrival(trio.current_time() + 3, lambda: True)
        self.assertAlmostEqual(1.5, await self._drip(arrival, 3), delta=0.1)
        arrival = arrivals.AnswerArrival(trio.current_time() + 8, lambda: True)
        given_up_s = await self._drip(arrival, 8, is_head=True)
        self.assertAlmostEqual(arrivals.MAX_PART_S, given_up_s, delta=0.1)

    @clocked.on_test_clock
    async def test_what_no_other_server_can_answer_goes_on(self):
        """Guards against slow answers that are cut off although nobody else can give them."""
        arrival = arrivals.AnswerArrival(trio.current_time() + 3, lambda: False)
        self.assertIsNone(await self._drip(arrival, 3))

    @clocked.on_test_clock
    async def test_an_event_that_does_not_end_is_given_up(self):
        """Guards against one stream that stops at a server whose other streams go on."""
        arrival = arrivals.AnswerArrival(trio.current_time() + 8, lambda: True)
        splitter = sse.EventSplitter()
        arrival.record_read()
        arrival.end_head(is_stream=True)
        for number in range(100):
            await trio.sleep(0.05)
            arrival.record_read()
            for event in splitter.feed(b"id: %d\ndata: x\n\ndata: " % number):
                arrival.record_event(event, True, number)
            arrival.record_rest(splitter)
        with self.assertRaises(arrivals.EndlessAnswerError):
            for _ in range(100):
                await trio.sleep(0.05)
                arrival.record_read()
                list(splitter.feed(b"x"))
                arrival.record_rest(splitter)
        self.assertAlmostEqual(5 + arrivals.MAX_PART_S, trio.current_time(), delta=0.2)

    @clocked.on_test_clock
    async def test_streams_of_comments_or_repeated_events_are_given_up(self):
        """Guards against streams that never tell anything new."""
        for raw, limit in (
            (b": x\n\n", arrivals.JUNK_LIMIT_BYTES // 5),
            (b"id: 1\ndata: x\n\n", 9),
        ):
            arrival = arrivals.AnswerArrival(trio.current_time() + 8, lambda: True)
            (event,) = sse.EventSplitter().feed(raw)
            with self.assertRaises(arrivals.EndlessAnswerError):
                for _ in range(2 * limit):
                    arrival.record_event(event, not event.has_content, limit)


class SplitterTest(unittest.TestCase):
    def test_an_event_that_arrives_byte_by_byte_is_searched_once(self):
        """Guards against a search from the beginning of an event at each of its bytes."""
        splitter = sse.EventSplitter()
        data = b"data: " + b"x" * 20 + b"\r\n\r\n"
        found = [event for byte in data for event in splitter.feed(bytes((byte,)))]
        self.assertEqual([data], [event.raw for event in found])
        splitter = sse.EventSplitter()
        list(splitter.feed(b"x" * 1000))
        self.assertEqual(1000 - sse.MAX_END_BYTES + 1, splitter._searched_bytes)
