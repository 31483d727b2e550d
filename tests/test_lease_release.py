"""Tests that a leased key is not acquired again after its release."""

import random
import unittest
import unittest.mock

import trio
import trio.testing

from standins import memory
from tests import clocked
from toucanhold.coordination import lease

KEY = "toucanhold/entries/entry-0"


class ReleaseTest(unittest.TestCase):
    def test_key_is_not_acquired_again(self):
        # Guards against callers that are sent to a stopping entry: after the entry had deleted its
        # key, its renewal task wrote the key again with the state "serving".
        self.assertEqual([], self.keys_after(5.0))

    def test_key_that_is_acquired_during_the_release_is_released(self):
        for released_after_s in (0.3, 0.6, 1.1, 1.6, 2.1):
            with self.subTest(released_after_s=released_after_s):
                self.assertEqual([], self.keys_after(released_after_s, "slow"))

    def keys_after(self, released_after_s, mode="up"):
        async def main():
            platform = memory.MemoryPlatform()
            client = platform.client("entry-0")
            platform.set_mode(mode)
            leased_key = lease.LeasedKey(client, KEY, b"serving", 60, random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(leased_key.run)
                await trio.sleep(released_after_s)
                await leased_key.release()
                await trio.sleep(20)
                nursery.cancel_scope.cancel()
            self.assertFalse(leased_key.is_held())
            return list(platform.store.pairs)

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_acquiring_an_uncontended_key_makes_no_read(self):
        """Guards against one more paid call per entry when all entries restart."""

        async def main():
            platform = memory.MemoryPlatform()
            client = platform.client("entry-0")
            leased_key = lease.LeasedKey(
                client, KEY, b"serving", 60, random.Random(1), is_contended=False
            )
            with trio.move_on_after(5):
                await leased_key.run()
            self.assertTrue(leased_key.is_held())
            kinds = {kind for _, kind in platform.calls}
            item = await client.read_key(KEY)
            self.assertEqual(item.create_revision, leased_key.fencing)
            return kinds, {kind for _, kind in platform.calls}

        before, after = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(1, len(after - before), "a read was made before")

    @clocked.on_test_clock
    async def test_a_key_is_not_written_without_a_lease_during_a_release(self):
        """Guards against the key of a planner that is gone, which stays for good."""
        platform = memory.MemoryPlatform()
        client = platform.client("entry-0")
        leased_key = lease.LeasedKey(client, "k", b"v", 2, random.Random(1))
        leased_key._lease = await client.grant_lease(60)
        keep_alive = client.keep_alive

        async def released_meanwhile(lease_id):
            await leased_key.release()
            return True

        with unittest.mock.patch.object(
            memory.MemoryClient, "keep_alive", side_effect=released_meanwhile
        ):
            await leased_key._acquire()
        self.assertIsNone(await client.read_key("k"))
        self.assertFalse(leased_key.is_held())
        self.assertFalse(await keep_alive(1))
