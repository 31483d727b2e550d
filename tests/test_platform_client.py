"""Tests of leases whose calls are lost, and of the rate limit of calls."""

import random
import unittest
from unittest import mock

import trio

from standins import memory
from tests import test_revisions as support
from toucanhold.coordination import following, keyvalue, lease, rate_limit

KEY = "toucanhold/key"
TTL_S = 4


def new_lease(platform, name):
    return lease.LeasedKey(platform.client(name), KEY, name.encode(), TTL_S, random.Random(name))


class LeaseTest(unittest.TestCase):
    async def assert_recovers_from(self, kind, **faults):
        """Assert that a holder recovers from lost calls; ``faults`` gives their numbers."""
        platform = memory.MemoryPlatform()
        leased_key = new_lease(platform, "entry-0")
        injected_faults = platform.faults["entry-0"]
        injected_faults.lose_kinds = (kind,)
        for name, count in faults.items():
            setattr(injected_faults, name, count)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leased_key.run)
            await trio.sleep(3 * TTL_S)
            self.assertTrue(leased_key.is_held())
            item = await platform.client("reader").read_key(KEY)
            self.assertEqual(leased_key.fencing, item.create_revision)
            nursery.cancel_scope.cancel()

    @support.on_test_clock
    async def test_lost_grant_is_retried(self):
        await self.assert_recovers_from("lease/grant", lose_answers=1)
        await self.assert_recovers_from("lease/grant", lose_requests=1)

    @support.on_test_clock
    async def test_lost_put_is_resolved_by_a_read(self):
        await self.assert_recovers_from("kv/txn", lose_answers=1)
        await self.assert_recovers_from("kv/txn", lose_requests=1)

    @support.on_test_clock
    async def test_key_survives_lost_renewals_within_its_ttl(self):
        await self.assert_recovers_from("lease/keepalive", lose_answers=2)

    @support.on_test_clock
    async def test_lease_expires_for_its_holder_before_another_client_acquires_it(self):
        # The holder's calls get no response. At no time may two clients consider the key their own.
        platform = memory.MemoryPlatform()
        first, second = new_lease(platform, "entry-0"), new_lease(platform, "entry-1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            await trio.sleep(1)
            nursery.start_soon(second.run)
            await trio.sleep(3)
            platform.set_mode("silent", "entry-0")
            for _ in range(1000):
                await trio.sleep(0.01)
                self.assertFalse(first.is_held() and second.is_held())
            self.assertTrue(second.is_held())
            self.assertGreater(second.fencing, 0)
            nursery.cancel_scope.cancel()

    @support.on_test_clock
    async def test_restarted_entry_shows_its_own_boot_and_waits_for_the_old_lease(self):
        # The process is killed, and a new one of the same name starts before the old lease expires.
        # The stored record is still that of the old process, but peers must see the new one's boot.
        async with support.running() as site:
            await trio.sleep(3)
            await site.kill("entry-2")
            await site.start("entry-2")
            await trio.sleep(3)
            boot = site.app("entry-2").roster.own.boot
            boots = {entry.entry: entry.boot for entry in site.app("entry-0").roster.members()}
            self.assertEqual(boot, boots["entry-2"])
            await trio.sleep(8)
            self.assertTrue(site.app("entry-2").entry_lease.is_held())


class FollowerTest(unittest.TestCase):
    @support.on_test_clock
    async def test_a_watch_that_is_cut_is_no_outage_of_the_service(self):
        """Guards against an entry that tells of a lost service whenever a watch ends."""
        client = memory.MemoryPlatform().client("entry-0")
        states = set()

        async def refresh():
            states.add(follower.is_answering)
            return (await client.read("k")).revision

        follower = following.PrefixFollower(client, "k", refresh, random.Random(1))
        with (
            mock.patch.object(
                memory.MemoryClient, "watch", side_effect=keyvalue.IndeterminateError("cut")
            ),
            trio.move_on_after(10),
        ):
            await follower.run()
        self.assertTrue(follower.is_answering)
        client.faults.mode = "down"
        with trio.move_on_after(1):
            await follower.run()
        self.assertFalse(follower.is_answering)
        self.assertEqual({False, True}, states)


class CallCostTest(unittest.TestCase):
    @support.on_test_clock
    async def test_waiting_for_a_held_lease_costs_one_read_per_attempt(self):
        # Six of seven entries always wait for the planner's lease. When each attempt was a write,
        # these made up most of an idle system's calls to the service.
        platform = memory.MemoryPlatform()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(new_lease(platform, "entry-0").run)
            await trio.sleep(2)
            nursery.start_soon(new_lease(platform, "entry-1").run)
            await trio.sleep(100)
            nursery.cancel_scope.cancel()
        calls = {kind: count for (name, kind), count in platform.calls.items() if name == "entry-1"}
        self.assertEqual({"kv/range"}, set(calls))
        self.assertLess(calls["kv/range"], 130)

    @support.on_test_clock
    async def test_reads_are_rate_limited_and_lease_calls_are_not_delayed(self):
        # Reads are made without a pause. The service must get no more than the rate allows, refused
        # reads must have no effect, and a renewal in between must not wait.
        platform = memory.MemoryPlatform()
        client = rate_limit.RateLimitedClient(platform.client("entry-0"), 10, 10)
        lease_id = await client.grant_lease(60)
        completed_reads = [0]

        async def read_repeatedly():
            while True:
                try:
                    await client.read("toucanhold/")
                    completed_reads[0] += 1
                except keyvalue.UnavailableError:
                    await trio.sleep(0.01)

        with trio.move_on_after(10):
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(read_repeatedly)
                await trio.sleep(5)
                before_s = trio.current_time()
                self.assertTrue(await client.keep_alive(lease_id))
                self.assertEqual(before_s, trio.current_time())
        self.assertLessEqual(completed_reads[0], 10 * 10 + 10)
        self.assertGreaterEqual(completed_reads[0], 10 * 10 - 10)
        self.assertGreater(client.refused["read"], 0)

    @support.on_test_clock
    async def test_slow_service_does_not_delay_requests(self):
        async with support.running() as site:
            await support.apply(site)
            await trio.sleep(5)
            site.platform.set_mode("slow")
            for faults in site.platform.faults.values():
                faults.delay_s = 1.9
            await trio.sleep(5)
            before_s = trio.current_time()
            chat = {"model": "drafts", "messages": []}
            answer = await site.request("entry-1", "POST", "/v1/chat/completions", chat)
            self.assertEqual(200, answer.status)
            self.assertLess(trio.current_time() - before_s, 0.1)

    @support.on_test_clock
    async def test_compacted_history_is_recovered_by_a_read(self):
        # The entry was disconnected for so long that the changes it missed were compacted.
        async with support.running(("entry-0",)) as site:
            await trio.sleep(1)
            site.platform.set_mode("down", "entry-0")
            outsider = site.platform.client("outsider")
            site.platform.store.history_revisions = 10
            for number in range(30):
                await outsider.commit([], [keyvalue.Write("other", b"%d" % number)])
            site.platform.set_mode("up", "entry-0")
            await trio.sleep(5)
            await support.apply(site)
            self.assertEqual(1, site.app("entry-0").configuration.current.number)
            self.assertTrue(site.app("entry-0").configuration_follower.is_answering)
