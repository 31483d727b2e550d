"""Tests of the retry limit that all entries share: it holds in every window, and can be used."""

import unittest

import trio

from standins import retries
from tests import clocked

ENTRY_COUNT = 9
REQUESTS_PER_S = 20.0
FEW = ("e0", "e1")
MIN_USED = 0.9


class SharedRetriesTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_entries_that_restart_in_series_do_not_exceed_the_retry_limit(self):
        """Guards against entries that use their share of the limit again after each restart."""
        site = retries.RetrySite(ENTRY_COUNT)
        async with site.running():
            await trio.sleep(1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(site.send, REQUESTS_PER_S, 20.0)
                await trio.sleep(5)
                for name in sorted(site.entries):
                    nursery.start_soon(site.restart, name)
                    await trio.sleep(0.2)
        self.assertLessEqual(site.most_in_a_window(), 1.0)

    @clocked.on_test_clock
    async def test_entries_that_are_killed_again_and_again_do_not_exceed_the_retry_limit(self):
        """Guards against an early use of the shares that a killed process had used up."""
        site = retries.RetrySite(ENTRY_COUNT)
        async with site.running():
            await trio.sleep(1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(site.send, REQUESTS_PER_S, 30.0)
                for _ in range(6):
                    await trio.sleep(4)
                    for name in sorted(site.entries)[:6]:
                        nursery.start_soon(site.restart, name)
        self.assertLessEqual(site.most_in_a_window(), 1.0)

    @clocked.on_test_clock
    async def test_entries_cut_off_from_the_store_do_not_exceed_the_retry_limit(self):
        """Guards against shares that the others divide while a cut-off entry uses its own."""
        site = retries.RetrySite(ENTRY_COUNT)
        async with site.running():
            await trio.sleep(4)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(site.send, REQUESTS_PER_S, 100.0)
                site.platform.set_mode("silent", *sorted(site.entries)[:5])
                await trio.sleep(95)
                site.platform.set_mode("up", *sorted(site.entries))
                await trio.sleep(5)
        self.assertLessEqual(site.most_in_a_window(), 1.0)

    @clocked.on_test_clock
    async def test_shares_of_removed_entries_pass_on_within_the_retry_limit(self):
        """Guards against a share that is used by its last and its next holder in one window."""
        site = retries.RetrySite(ENTRY_COUNT)
        async with site.running():
            await trio.sleep(4)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(site.send, REQUESTS_PER_S, 100.0)
                await trio.sleep(12)
                for name in sorted(site.entries)[4:]:
                    site.entries.pop(name).scope.cancel()
                await trio.sleep(85)
                shares = [entry.limit_shares.fraction(10.0) for entry in site.entries.values()]
        self.assertEqual(1.0, sum(shares))
        self.assertLessEqual(site.most_in_a_window(), 1.0)

    @clocked.on_test_clock
    async def test_a_new_entry_that_knows_no_others_does_not_exceed_the_retry_limit(self):
        """Guards against entries that start together and each take the whole limit."""
        site = retries.RetrySite(ENTRY_COUNT)
        async with site.running(start_delay_s=0.0):
            await site.send(REQUESTS_PER_S, 15.0)
        self.assertLessEqual(site.most_in_a_window(), 1.0)

    async def _fail_at_a_few(self, site):
        async with site.running():
            await trio.sleep(4)
            await site.send(REQUESTS_PER_S, 8.0, failing=())
            site.retry_again_at(FEW, per_s=REQUESTS_PER_S)
            await site.send(REQUESTS_PER_S, 14.0, failing=())

    @clocked.on_test_clock
    async def test_a_few_entries_can_use_nearly_the_whole_retry_limit(self):
        """Guards against failures at a few entries that leave the others' part unused."""
        site = retries.RetrySite(ENTRY_COUNT)
        await self._fail_at_a_few(site)
        self.assertGreaterEqual(site.most_in_a_window(), MIN_USED)
        self.assertLessEqual(site.most_in_a_window(), 1.0)

    @clocked.on_test_clock
    async def test_lost_messages_about_loans_waste_retries_but_do_not_add_any(self):
        """Guards against loans that count twice, or not at all, when datagrams are lost."""
        site = retries.RetrySite(ENTRY_COUNT)
        site.network.loss = 0.3
        site.network.delay_s = 0.4
        await self._fail_at_a_few(site)
        self.assertLessEqual(site.most_in_a_window(), 1.0)
        self.assertGreater(len(site.retries_s), 0)
