"""A released key stays released."""

import random
import unittest

import trio
import trio.testing

from standins import memory
from toucanhold.coordination import lease

KEY = "toucanhold/entries/entry-0"


class ReleaseTest(unittest.TestCase):
    def test_key_is_not_acquired_again(self):
        # An entry that stops takes itself out of the roster. Its renewal task wrote the key anew
        # a second later, with the state "serving": callers were sent to it until it ended.
        self.assertEqual([], self.keys_after(5.0))

    def test_key_whose_acquisition_is_under_way_is_released_too(self):
        for released_after_s in (0.3, 0.6, 1.1, 1.6, 2.1):
            with self.subTest(released_after_s=released_after_s):
                self.assertEqual([], self.keys_after(released_after_s, "slow"))

    def keys_after(self, released_after_s, mode="up"):
        async def main():
            platform = memory.MemoryPlatform()
            client = platform.client("entry-0")
            platform.set_mode(mode)
            held = lease.LeasedKey(client, KEY, b"serving", 60, random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(held.run)
                await trio.sleep(released_after_s)
                await held.release()
                await trio.sleep(20)
                nursery.cancel_scope.cancel()
            self.assertFalse(held.is_held())
            return list(platform.store.pairs)

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_acquiring_an_uncontended_key_reads_nothing_back(self):
        """Guards against a call an entry that is paid for when all entries start again."""

        async def main():
            platform = memory.MemoryPlatform()
            client = platform.client("entry-0")
            held = lease.LeasedKey(
                client, KEY, b"serving", 60, random.Random(1), is_contended=False
            )
            with trio.move_on_after(5):
                await held.run()
            self.assertTrue(held.is_held())
            kinds = {kind for _, kind in platform.calls}
            item = await client.read_key(KEY)
            self.assertEqual(item.create_revision, held.fencing)
            return kinds, {kind for _, kind in platform.calls}

        before, after = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(1, len(after - before), "a read was made before")
