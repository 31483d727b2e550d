"""Finding silent servers from what streams tell, here and at other entries."""

import unittest

import trio

from tests import clocked
from toucanhold.gateway import health, silence


class SilenceTest(unittest.TestCase):
    """Groups have streams at many entries; one entry's may say more than another's."""

    async def _watched(self, nursery):
        self.health = health.Health()
        self.found = []
        watch = silence.SilenceWatch(self.health, self.found.append)
        nursery.start_soon(watch.run)
        stream = silence.WatchedStream("s1", lambda: True)
        watch.add(stream)
        await trio.sleep(0)
        return watch, stream

    @clocked.on_test_clock
    async def test_a_request_that_has_not_begun_is_moved_on_another_entrys_word(self):
        """A caller waits for its first event from a head that has just died.

        This entry has only this request there, and gives it 0.7 s. Another entry's streams fell
        silent a quarter of a second ago, and it says so.
        """
        async with trio.open_nursery() as nursery:
            watch, stream = await self._watched(nursery)
            await trio.sleep(0.2)
            self.assertFalse(stream.scope.cancel_called)
            self.assertTrue(watch.hear("s1", "e2"))
            await trio.sleep(0.1)
            self.assertTrue(stream.scope.cancel_called)
            self.assertTrue(self.health.is_avoided("s1"))
            # What was heard is not told again: sixty entries would all tell each other.
            self.assertEqual([], self.found)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_streams_that_go_on_speak_against_another_entrys_word(self):
        """Another entry is cut off, and takes the heads that it cannot hear for silent."""
        async with trio.open_nursery() as nursery:
            watch, stream = await self._watched(nursery)
            for _ in range(20):
                stream.note_event()
                await trio.sleep(0.05)
                self.assertFalse(watch.hear("s1", "e2"))
            self.assertFalse(stream.scope.cancel_called)
            self.assertFalse(self.health.is_avoided("s1"))
            nursery.cancel_scope.cancel()
