"""Finding silent servers from what streams tell, here and at other entries."""

import unittest

import trio

from tests import clocked
from toucanhold.gateway import health, silence


class SilenceTest(unittest.TestCase):
    """Groups have streams at many entries; one entry's may say more than another's."""

    async def _start_detector(self, nursery, longest_pause_s=0.0):
        self.health = health.Health()
        self.silent = []
        detector = silence.SilenceDetector(self.health, self.silent.append)
        nursery.start_soon(detector.run)
        stream = silence.WatchedStream("s1", lambda: True, longest_pause_s)
        detector.add(stream)
        await trio.sleep(0)
        return detector, stream

    @clocked.on_test_clock
    async def test_a_request_that_has_not_begun_is_moved_on_another_entrys_word(self):
        """Guards against a request that waits 0.7 s at a head which another entry found silent."""
        async with trio.open_nursery() as nursery:
            detector, stream = await self._start_detector(nursery)
            await trio.sleep(0.2)
            self.assertFalse(stream.scope.cancel_called)
            self.assertTrue(detector.confirm("s1", "e2"))
            await trio.sleep(0.1)
            self.assertTrue(stream.scope.cancel_called)
            self.assertTrue(self.health.is_avoided("s1"))
            # What was heard is not told again: sixty entries would all tell each other.
            self.assertEqual([], self.silent)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_streams_that_go_on_speak_against_another_entrys_word(self):
        """Another entry is cut off, and takes the heads that it cannot hear for silent."""
        async with trio.open_nursery() as nursery:
            detector, stream = await self._start_detector(nursery)
            for _ in range(20):
                stream.record_event()
                await trio.sleep(0.05)
                self.assertFalse(detector.confirm("s1", "e2"))
            self.assertFalse(stream.scope.cancel_called)
            self.assertFalse(self.health.is_avoided("s1"))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_head_that_reads_long_prompts_is_not_taken_for_silent(self):
        """Guards against streams moved from sound heads, which slows the heads that get them."""
        async with trio.open_nursery() as nursery:
            _, stream = await self._start_detector(nursery, longest_pause_s=0.285)
            for _ in range(10):
                stream.record_event()
                await trio.sleep(0.05)
            for _ in range(4):
                stream.record_event()
                await trio.sleep(0.28)
            self.assertFalse(stream.scope.cancel_called)
            self.assertEqual([], self.silent)
            await trio.sleep(0.3)
            self.assertTrue(stream.scope.cancel_called)
            self.assertEqual(["s1"], self.silent)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_two_entries_do_not_confirm_each_others_mistake(self):
        """Guards against one mistake that another entry takes for proof."""
        async with trio.open_nursery() as nursery:
            detector, stream = await self._start_detector(nursery, longest_pause_s=0.285)
            stream.record_event()
            await trio.sleep(0.18)
            self.assertFalse(detector.confirm("s1", "e2"))
            self.assertFalse(self.health.is_avoided("s1"))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_dead_head_is_found_whatever_its_engine_tells_of_pauses(self):
        """Guards against wrong figures of an engine that hide a dead head."""
        async with trio.open_nursery() as nursery:
            _, stream = await self._start_detector(nursery, longest_pause_s=3.0)
            stream.record_event()
            await trio.sleep(1.1)
            self.assertTrue(stream.scope.cancel_called)
            nursery.cancel_scope.cancel()
