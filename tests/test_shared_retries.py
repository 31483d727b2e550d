"""Tests of the retry limit that all entries share."""

import unittest

import trio

from tests import clocked, retry_site

ENTRY_COUNT = 9
REQUESTS_PER_S = 20.0


class SharedRetriesTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_entries_that_restart_in_series_do_not_exceed_the_retry_limit(self):
        """Guards against entries that use their share of the limit again after each restart."""
        site = retry_site.RetrySite(ENTRY_COUNT)
        async with site.running():
            await trio.sleep(1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(site.send, REQUESTS_PER_S, 20.0)
                await trio.sleep(5)
                for name in sorted(site.entries):
                    nursery.start_soon(site.restart, name)
                    await trio.sleep(0.2)
        self.assertLessEqual(site.most_in_a_window(), 1.0)
