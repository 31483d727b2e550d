"""Processor time for clients whose requests take much time to parse."""

import unittest

import trio

from tests import clocked
from toucanhold import parsing_effort, parsing_turns


def costly_effort(events, evict=lambda: None):
    effort = parsing_effort.Effort(evict)
    effort.event_count = events
    return effort


class EffortTest(unittest.TestCase):
    def test_large_bodies_in_packets_are_free(self):
        """Guards against ordinary uploads that wait for turns."""
        effort = parsing_effort.Effort(lambda: None)
        for _ in range(2000):
            effort.event_count += parsing_effort.READ_EVENTS + 1
            effort.body_bytes += 1400
        self.assertFalse(effort.is_turn_needed)

    def test_tiny_chunks_need_turns(self):
        """Answers a crowd that sends chunks of one byte."""
        effort = parsing_effort.Effort(lambda: None)
        effort.event_count = effort.body_bytes = 2 * parsing_effort.FREE_EVENTS
        self.assertTrue(effort.is_turn_needed)
        effort.restart()
        self.assertFalse(effort.is_turn_needed)

    def test_the_costliest_goes_when_too_many_wait(self):
        """Answers a crowd of costly requests that would wait longer than their callers."""
        evicted = []
        queue = parsing_effort.TurnQueue(3)
        efforts = [
            costly_effort(events, lambda events=events: evicted.append(events))
            for events in (5000, 9000, 7000, 2000, 6000)
        ]
        for effort in efforts:
            queue.join(effort)
        self.assertEqual([9000, 7000], evicted)


class TurnsTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_costly_requests_together_take_half_of_the_time_at_most(self):
        """Guards against a loop that does nothing but parse the requests of a few clients."""
        turns = parsing_turns.ParsingTurns()
        busy_s = 0.0

        async def parse(effort):
            nonlocal busy_s
            while True:
                async with turns.turn(effort):
                    await trio.sleep(0.004)
                    busy_s += 0.004

        began_s = trio.current_time()
        with trio.move_on_after(2):
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(parse, costly_effort(5000))
        self.assertLess(busy_s, 0.55 * (trio.current_time() - began_s))

    @clocked.on_test_clock
    async def test_a_single_costly_request_does_not_wait(self):
        """Guards against a request inside all limits that is slowed down in calm."""
        turns, effort = parsing_turns.ParsingTurns(), costly_effort(5000)
        began_s = trio.current_time()
        for _ in range(100):
            async with turns.turn(effort):
                await trio.sleep(0)
        self.assertLess(trio.current_time() - began_s, 0.01)

    @clocked.on_test_clock
    async def test_a_turn_may_end_before_its_context(self):
        """Guards against turns that last as long as the answer to a pipelined request."""
        turns = parsing_turns.ParsingTurns()
        first, second = costly_effort(5000), costly_effort(6000)
        async with turns.turn(first):
            turns.end(first)
            with trio.fail_after(1):
                async with turns.turn(second):
                    pass
