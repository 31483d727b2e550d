"""Tests of the client of the platform's store against a stand-in over HTTP."""

import unittest

import trio

from tests.platform import standins
from toucanhold.coordination import keyvalue, mirror
from toucanhold.platform import store


def with_store(function):
    def run(self):
        async def main():
            app = standins.StoreApp()
            async with standins.serve_app(app) as address:
                client = store.StoreClient(address)
                await function(self, app, client)
                await client.close()

        trio.run(main)

    return run


class StoreTest(unittest.TestCase):
    @with_store
    async def test_all_pages_are_read(self, app, client):
        app.page_size = 2
        for number in range(5):
            app.put(f"servers/{number}", b"x")
        result = await client.read_all(may_be_stale=False)
        self.assertEqual(5, len(result.items))
        self.assertEqual(app.revision, result.revision)
        self.assertEqual({"range": 3}, client.calls)

    @with_store
    async def test_changes_contain_items_and_deletions(self, app, client):
        app.put("a/1", b"x")
        start = app.revision
        app.put("a/2", b"y")
        await client.commit([], [keyvalue.Write("a/1", None)])
        changes = await client.read_changes(start, 1.0)
        self.assertEqual(["a/2"], [item.key for item in changes.items])
        self.assertEqual((mirror.Deletion("a/1", app.revision),), changes.deleted)
        self.assertEqual((start, app.revision), (changes.after, changes.revision))

    @with_store
    async def test_compacted_history_raises_an_error(self, app, client):
        app.put("a/1", b"x")
        app.compact_history()
        with self.assertRaises(keyvalue.CompactedError):
            await client.read_changes(1, 0.1)

    @with_store
    async def test_write_takes_effect_only_if_its_conditions_hold(self, app, client):
        write = keyvalue.Write("k", b"1")
        first = await client.commit([keyvalue.Condition("k", mod_revision=0)], [write])
        self.assertTrue(first.succeeded)
        second = await client.commit([keyvalue.Condition("k", mod_revision=0)], [write])
        self.assertFalse(second.succeeded)
        item = await client.read_key("k")
        self.assertEqual(
            (first.revision, first.revision), (item.create_revision, item.mod_revision)
        )

    @with_store
    async def test_refused_call_has_no_effect_and_a_lost_one_may_have(self, app, client):
        app.refusal_status = 503
        with self.assertRaises(keyvalue.UnavailableError):
            await client.commit([], [keyvalue.Write("k", b"1")])
        app.refusal_status, app.responses_to_drop = 0, 1
        with self.assertRaises(keyvalue.IndeterminateError):
            await client.commit([], [keyvalue.Write("k", b"1")])
        self.assertIsNotNone(await client.read_key("k"))

    @with_store
    async def test_revoked_lease_cannot_be_renewed(self, app, client):
        lease = await client.grant_lease(2)
        self.assertEqual(2000, app.leases[lease])
        self.assertTrue(await client.keep_alive(lease))
        await client.revoke_lease(lease)
        self.assertFalse(await client.keep_alive(lease))

    @with_store
    async def test_items_with_unreadable_keys_hide_no_others(self, app, client):
        """Guards against one key of another writer that keeps an entry from reading the store."""
        app.page_size = 2
        for name in ("\ud800", "a", "b", "\udcff", "z"):
            app.put(f"servers/{name}", b"x")
        result = await client.read_all(may_be_stale=False)
        self.assertEqual(["a", "b", "z"], [item.key[8:] for item in result.items])
        changes = await client.read_changes(1, 0.1)
        self.assertEqual(["a", "b", "z"], sorted(item.key[8:] for item in changes.items))
        for name in ("\ud801", "\ud802", "\ud803"):
            app.put(f"servers/{name}", b"x")
        with self.assertRaises(keyvalue.IndeterminateError):
            await client.read_all(may_be_stale=False)
