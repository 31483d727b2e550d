"""Tests of how entries of unequal size share callers and common limits.

Large sites have 52 entries with half a core beside eight with four times as much.
"""

import collections
import unittest
from unittest import mock

from standins import gateways
from tests import clocked
from toucanhold.gateway import budget, entries, sharing
from toucanhold.registry import servers


def new_entries(large, small):
    sizes = [2.15] * large + [0.516] * small
    return [
        entries.Entry(f"e{n}", f"z{n % 4}", "r", f"c{n}", f"x{n}", "b", cores)
        for n, cores in enumerate(sizes)
    ]


class SharingTest(unittest.TestCase):
    def test_shares_of_all_entries_add_up_to_one(self):
        all_entries = new_entries(8, 52)
        shares = [
            sharing.share(own, [entry for entry in all_entries if entry != own])
            for own in all_entries
        ]
        self.assertAlmostEqual(1.0, sum(shares))
        self.assertGreater(shares[0], 10 * shares[-1])

    def test_equal_entries_are_all_advertised(self):
        all_entries = new_entries(7, 0)
        self.assertEqual(
            all_entries, sorted(sharing.advertised(all_entries, "z0", 0.0), key=all_entries.index)
        )

    def test_callers_are_distributed_by_weight(self):
        all_entries = new_entries(8, 52)
        counts = collections.Counter()
        for slot in range(400):
            for zone in ("z0", "z1", "z2", "z3"):
                advertised_entries = sharing.advertised(
                    all_entries, zone, slot * sharing.ROTATION_PERIOD_S
                )
                for entry in advertised_entries:
                    counts[entry.entry] += 1 / len(advertised_entries)
        total = sum(counts.values())
        share_at_large = sum(counts[f"e{n}"] for n in range(8)) / total
        self.assertAlmostEqual(0.73, share_at_large, delta=0.05)
        self.assertEqual(60, len(counts))

    def test_advertised_entries_are_stable_within_a_rotation_period(self):
        all_entries = new_entries(8, 52)
        first = {entry.entry for entry in sharing.advertised(all_entries, "z0", 20.0)}
        second = {entry.entry for entry in sharing.advertised(all_entries[::-1], "z0", 29.9)}
        self.assertEqual(first, second)

    def test_small_entries_serve_when_the_large_ones_are_gone(self):
        all_entries = new_entries(0, 52)
        self.assertEqual(52, len(sharing.advertised(all_entries, "z0", 0.0)))
        self.assertEqual(3, len(sharing.advertised(new_entries(1, 40)[:4], "z0", 0.0)[:3]))
        self.assertEqual([], sharing.advertised([], "z0", 0.0))

    def test_callers_stay_in_their_zone(self):
        """Guards against traffic between zones, and callers not served if a zone is partitioned."""
        all_entries = new_entries(8, 52)
        self.assertEqual({"z1"}, {entry.zone for entry in sharing.near_zone(all_entries, "z1")})

    def test_a_zone_with_few_entries_gets_entries_of_other_zones(self):
        """Guards against callers whose only addresses belong to two killed entries."""
        all_entries = new_entries(7, 0)
        nearby = sharing.near_zone(all_entries, "z3")
        self.assertEqual("z3", nearby[0].zone)
        self.assertEqual(3, len({entry.entry for entry in nearby}))

    def test_a_zone_without_entries_gets_all_entries(self):
        all_entries = new_entries(7, 0)
        self.assertEqual(all_entries, sharing.near_zone(all_entries, "elsewhere"))
        self.assertEqual([], sharing.near_zone([], "z1"))


def new_zones(count, zones):
    return [
        gateways.new_entry(f"e{n}", f"z{n % zones}", 2.15 if n < zones else 0.516)
        for n in range(count)
    ]


class ColdBudgetTest(unittest.TestCase):
    """A cold server tolerates few requests per second from hundreds of entries together."""

    def _requests_sent(self, all_entries, server):
        """Return how many requests each entry may send to a server within a second."""
        counts = []
        for own in all_entries:
            entry_list = gateways.FixedEntryList(
                own, [entry for entry in all_entries if entry is not own]
            )
            cold = budget.ColdBudget(1.5, 5, entry_list)
            sent_count = 0
            while cold.may_send(server, 17.0):
                cold.record_request(server.server_id)
                sent_count += 1
            counts.append(sent_count)
        return counts

    def _counts_by_site(self):
        for count, zones in ((7, 3), (76, 3), (195, 5), (390, 11)):
            all_entries = new_zones(count, zones)
            for number in range(5):
                yield self._requests_sent(
                    all_entries, servers.Server(f"s{number}", 1, "desk", "a", "z1")
                )

    @clocked.on_test_clock
    async def test_all_entries_together_stay_within_the_limit_and_use_it(self):
        """Guards against cold servers that crash, and against ones that get no requests."""
        for counts in self._counts_by_site():
            self.assertLessEqual(sum(counts), 17.0 * 1.5 + 5)
            self.assertGreaterEqual(sum(counts), 20)

    @clocked.on_test_clock
    async def test_quotas_that_are_rounded_up_exceed_the_limit(self):
        def rounded_up(total, key, own, others):
            return max(1, round(total * sharing.share(own, others)))

        with mock.patch.object(sharing, "quota", rounded_up):
            exceeding = [
                counts for counts in self._counts_by_site() if sum(counts) > 17.0 * 1.5 + 5
            ]
        self.assertTrue(exceeding)

    @clocked.on_test_clock
    async def test_a_zone_without_entries_is_served_by_all_entries(self):
        all_entries = new_zones(7, 3)
        counts = self._requests_sent(all_entries, servers.Server("s1", 1, "desk", "a", "elsewhere"))
        self.assertEqual(21, sum(counts))
