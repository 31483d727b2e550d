"""Tests of the limit of a cold server, which entries share by the list of entries."""

import collections
import unittest

import attrs
import trio

from standins import gateways, retries
from tests import clocked

RATE_PER_S = 36.0
LIMIT_PER_S = RATE_PER_S * 1.5 + 5
ENTRY_COUNT = 6
SERVER = attrs.evolve(gateways.new_servers(1)["b0"], cold_until_s=10_000.0)


class SharedColdLimitTest(unittest.TestCase):
    async def _flood(self, site, sent_s, duration_s):
        """Send as much as the entries allow to one server."""
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            for entry in list(site.entries.values()):
                while entry.cold_budget.may_send(SERVER, RATE_PER_S):
                    entry.cold_budget.record_request(SERVER.server_id)
                    sent_s.append(trio.current_time())
            await trio.sleep(0.02)

    def _most_in_a_second(self, sent_s):
        most, window = 0, collections.deque()
        for time_s in sent_s:
            window.append(time_s)
            while window[0] <= time_s - 1:
                window.popleft()
            most = max(most, len(window))
        return most

    @clocked.on_test_clock
    async def test_entries_that_start_together_do_not_flood_a_cold_server(self):
        """Guards against entries that each take the whole limit since they know no others yet."""
        site, sent_s = retries.RetrySite(ENTRY_COUNT), []
        async with site.running(start_delay_s=0.02):
            await self._flood(site, sent_s, 6.0)
        self.assertLessEqual(self._most_in_a_second(sent_s), LIMIT_PER_S)
        self.assertGreater(len(sent_s), 2 * RATE_PER_S)

    @clocked.on_test_clock
    async def test_cut_off_entries_do_not_flood_a_cold_server_with_the_others(self):
        """Guards against parts that the others divide while cut-off entries use theirs."""
        site, sent_s = retries.RetrySite(ENTRY_COUNT), []
        async with site.running():
            await trio.sleep(3)
            site.platform.set_mode("silent", *sorted(site.entries)[:4])
            await self._flood(site, sent_s, 25.0)
        self.assertLessEqual(self._most_in_a_second(sent_s), LIMIT_PER_S)
        self.assertGreater(len(sent_s), 10 * RATE_PER_S)
