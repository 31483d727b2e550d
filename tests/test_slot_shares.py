"""Tests of the policy that divides free slots among entries."""

import unittest

import trio

from tests import clocked, slot_site
from toucanhold.gateway import slot_shares

# Entries, servers and slots of each server.
SITES = ((7, 6, 24), (27, 12, 24), (80, 13, 15), (195, 13, 15))


def new_site(*counts, is_on=True):
    site = slot_site.Site(*counts)
    if is_on:
        for entry in site.entries:
            entry.slot_shares = slot_shares.SlotShares(entry.shares, entry.loads)
            entry.use(entry.slot_shares)
    return site


async def play_usual_load(is_on, *counts):
    site = new_site(*counts, is_on=is_on)
    async with site.running():
        await site.arrive(site.usual_rate_per_s, 7.0)
        await trio.sleep(2 * slot_site.HOLD_S)
    return site


class SlotSharesTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_entries_do_not_fill_the_same_slots(self):
        """Guards against heads with many more requests than slots at the usual load."""
        for counts in SITES:
            without = await play_usual_load(False, *counts)
            site = await play_usual_load(True, *counts)
            with self.subTest(counts):
                self.assertLess(site.max_excess, max(4, without.max_excess))
                self.assertGreater(site.on_time_fraction(), without.on_time_fraction() - 0.02)
                if counts[0] >= 27:
                    self.assertGreater(site.on_time_fraction(), without.on_time_fraction() + 0.03)

    @clocked.on_test_clock
    async def test_slots_are_not_idle_while_requests_wait(self):
        """Guards against shares that are rounded to nothing at all entries."""
        for counts in SITES[:3]:
            site = new_site(*counts)
            async with site.running():
                await site.arrive(1.3 * site.capacity_per_s, 4.0)
            with self.subTest(counts):
                self.assertLess(site.idle_slot_s, 0.06 * 4.0 * site.server_count * site.slots)

    @clocked.on_test_clock
    async def test_entries_that_start_together_exceed_no_slots(self):
        """Guards against heads that get twice their slots while no entry knows of the others."""
        site = new_site(27, 12, 24)
        site.are_notices_lost = True
        async with site.running():
            await site.arrive(8 * site.capacity_per_s, 0.9)
            self.assertGreater(sum(site.present.values()), 0.8 * 12 * 24)
        self.assertEqual(0, site.max_excess)

    @clocked.on_test_clock
    async def test_lost_notices_starve_no_entry(self):
        """Guards against entries without a slot of their own that serve nobody."""
        site = new_site(80, 3, 6)
        site.are_notices_lost = True
        async with site.running():
            await trio.sleep(slot_shares.ISOLATION_S)
            await site.arrive(0.5 * site.capacity_per_s, 20.0)
        # Two requests at once at an entry without a slot of its own exceed the longest wait.
        self.assertLess(site.refused_count, 0.1 * 20.0 * 0.5 * site.capacity_per_s)

    @clocked.on_test_clock
    async def test_requests_of_a_lost_entry_limit_nobody(self):
        """Guards against slots that are left to an entry that has died."""
        site = new_site(2, 1, 15)
        lost, entry = site.entries
        async with site.running():
            await site.arrive(200, 0.3, entries=[lost])
            await trio.sleep(0.3)
            self.assertLess(entry.slot_shares.share("desk/"), 0.5)
            lost.is_alive = False
            await trio.sleep(slot_site.VALIDITY_S + 2 * slot_site.NOTICE_DELAY_S)
            self.assertEqual(1, entry.slot_shares.share("desk/"))

    @clocked.on_test_clock
    async def test_an_entry_uses_all_slots_if_no_other_has_requests(self):
        """Guards against an effect of the policy where there is no contention."""
        site = new_site(27, 2, 15)
        async with site.running():
            await trio.sleep(0.5)
            await site.arrive(1e6, 30e-6, entries=site.entries[:1])
            await trio.sleep(0.01)
            self.assertEqual(0, site.entries[0].admission.queue_length)
            self.assertEqual(30, sum(site.present.values()))
