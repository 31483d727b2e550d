"""Leases whose calls get lost, and the budget of calls."""

import random
import unittest

import trio

from standins import memory
from tests import test_revisions as support
from toucanhold.coordination import budget, keyvalue, lease

KEY = "toucanhold/key"
TTL_S = 4


def new_lease(platform, name):
    return lease.LeasedKey(platform.client(name), KEY, name.encode(), TTL_S, random.Random(name))


class LeaseTest(unittest.TestCase):
    async def lost(self, kind, **faults):
        """A holder meets one lost call; return it after it had time to recover."""
        platform = memory.MemoryPlatform()
        held = new_lease(platform, "entry-0")
        found = platform.faults["entry-0"]
        found.lose_kinds = (kind,)
        for name, count in faults.items():
            setattr(found, name, count)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(held.run)
            await trio.sleep(3 * TTL_S)
            self.assertTrue(held.is_held())
            item = await platform.client("reader").read_key(KEY)
            self.assertEqual(held.fencing, item.create_revision)
            nursery.cancel_scope.cancel()

    @support.on_test_clock
    async def test_lost_grant_is_made_up_for(self):
        await self.lost("lease/grant", lose_answers=1)
        await self.lost("lease/grant", lose_requests=1)

    @support.on_test_clock
    async def test_lost_put_is_resolved_by_reading_back(self):
        await self.lost("kv/txn", lose_answers=1)
        await self.lost("kv/txn", lose_requests=1)

    @support.on_test_clock
    async def test_lost_renewals_cost_the_key_only_when_its_time_is_over(self):
        await self.lost("lease/keepalive", lose_answers=2)

    @support.on_test_clock
    async def test_holder_that_cannot_renew_stops_believing_before_the_next_one_starts(self):
        # The holder's calls are swallowed. At no moment may two believe that they hold the key.
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
    async def test_restarted_entry_waits_for_its_predecessors_lease_and_shows_its_own_boot(self):
        # The process is killed and a new one of the same name starts while the old lease lives.
        # The old record is not its own; peers know the new process before the record does.
        async with support.running() as site:
            await trio.sleep(3)
            await site.kill("entry-2")
            await site.start("entry-2")
            await trio.sleep(3)
            boot = site.app("entry-2").roster.own.boot
            known = {each.entry: each.boot for each in site.app("entry-0").roster.members()}
            self.assertEqual(boot, known["entry-2"])
            await trio.sleep(8)
            self.assertTrue(site.app("entry-2").entry_lease.is_held())


class BudgetTest(unittest.TestCase):
    @support.on_test_clock
    async def test_entries_that_wait_for_a_lease_cost_one_call_at_a_time(self):
        # Six of seven entries wait for the planner's lease day and night. Taking their chance by
        # a write each time was most of what an idle system asked of the service.
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
    async def test_calls_are_held_to_the_rate_and_leases_go_first(self):
        # Reads come without a pause. The service must see no more than the budget, and the
        # refused ones certainly had no effect; renewals pass in the midst of it.
        platform = memory.MemoryPlatform()
        client = budget.BudgetedClient(platform.client("entry-0"), 10, 10)
        granted = await client.grant_lease(60)
        done = [0]

        async def read_on():
            while True:
                try:
                    await client.read("toucanhold/")
                    done[0] += 1
                except keyvalue.UnavailableError:
                    await trio.sleep(0.01)

        with trio.move_on_after(10):
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(read_on)
                await trio.sleep(5)
                before_s = trio.current_time()
                self.assertTrue(await client.keep_alive(granted))
                self.assertEqual(before_s, trio.current_time())
        self.assertLessEqual(done[0], 10 * 10 + 10)
        self.assertGreaterEqual(done[0], 10 * 10 - 10)
        self.assertGreater(client.refused["read"], 0)

    @support.on_test_clock
    async def test_slow_service_slows_no_request(self):
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
    async def test_compacted_history_is_made_up_for_by_a_read(self):
        # The entry was cut off for so long that the changes it missed are no longer kept.
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
