"""Callers and common bounds, shared among entries of unequal size.

The pattern: fifty-two entries with half a core beside eight with four times as much, as large sites
have them.
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
    def test_parts_of_all_entries_make_a_whole(self):
        known = new_entries(8, 52)
        parts = [sharing.share(own, [each for each in known if each != own]) for own in known]
        self.assertAlmostEqual(1.0, sum(parts))
        self.assertGreater(parts[0], 10 * parts[-1])

    def test_equal_entries_are_all_named(self):
        known = new_entries(7, 0)
        self.assertEqual(known, sorted(sharing.advertised(known, "z0", 0.0), key=known.index))

    def test_callers_go_to_entries_by_their_weight(self):
        known = new_entries(8, 52)
        counts = collections.Counter()
        for slot in range(400):
            for zone in ("z0", "z1", "z2", "z3"):
                names = sharing.advertised(known, zone, slot * sharing.SLOT_S)
                for entry in names:
                    counts[entry.entry] += 1 / len(names)
        total = sum(counts.values())
        at_large = sum(counts[f"e{n}"] for n in range(8)) / total
        self.assertAlmostEqual(0.73, at_large, delta=0.05)
        self.assertEqual(60, len(counts))

    def test_an_answer_holds_for_a_while(self):
        known = new_entries(8, 52)
        first = {entry.entry for entry in sharing.advertised(known, "z0", 20.0)}
        again = {entry.entry for entry in sharing.advertised(known[::-1], "z0", 29.9)}
        self.assertEqual(first, again)

    def test_small_entries_serve_when_the_large_ones_are_gone(self):
        known = new_entries(0, 52)
        self.assertEqual(52, len(sharing.advertised(known, "z0", 0.0)))
        self.assertEqual(3, len(sharing.advertised(new_entries(1, 40)[:4], "z0", 0.0)[:3]))
        self.assertEqual([], sharing.advertised([], "z0", 0.0))

    def test_callers_stay_in_their_zone(self):
        """Guards against answers that cross zones, and callers lost when a zone is cut off."""
        known = new_entries(8, 52)
        self.assertEqual({"z1"}, {entry.zone for entry in sharing.near(known, "z1")})

    def test_a_zone_with_few_entries_gets_some_of_others(self):
        """Guards against callers whose only addresses are two entries that were killed."""
        known = new_entries(7, 0)
        found = sharing.near(known, "z3")
        self.assertEqual("z3", found[0].zone)
        self.assertEqual(3, len({entry.entry for entry in found}))

    def test_a_zone_without_entries_gets_all_others(self):
        known = new_entries(7, 0)
        self.assertEqual(known, sharing.near(known, "elsewhere"))
        self.assertEqual([], sharing.near([], "z1"))


def new_zones(count, zones):
    return [
        gateways.new_entry(f"e{n}", f"z{n % zones}", 2.15 if n < zones else 0.516)
        for n in range(count)
    ]


class ColdBudgetTest(unittest.TestCase):
    """Cold servers bear some requests a second, from hundreds of entries together."""

    def _sent(self, known, server):
        """Return how many requests each entry may send within a second."""
        counts = []
        for own in known:
            listed = gateways.FixedEntryList(own, [each for each in known if each is not own])
            cold = budget.ColdBudget(1.5, 5, listed)
            sent = 0
            while cold.may_send(server, 17.0):
                cold.note(server.server_id)
                sent += 1
            counts.append(sent)
        return counts

    def _bounds(self):
        for count, zones in ((7, 3), (76, 3), (195, 5), (390, 11)):
            known = new_zones(count, zones)
            for number in range(5):
                yield self._sent(known, servers.Server(f"s{number}", 1, "desk", "a", "z1"))

    @clocked.on_test_clock
    async def test_all_entries_together_keep_the_bound_and_use_it(self):
        """Guards against cold servers that crash, and against ones that get no request at all."""
        for counts in self._bounds():
            self.assertLessEqual(sum(counts), 17.0 * 1.5 + 5)
            self.assertGreaterEqual(sum(counts), 20)

    @clocked.on_test_clock
    async def test_a_share_that_is_rounded_up_breaks_the_bound(self):
        def rounded_up(total, key, own, others):
            return max(1, round(total * sharing.share(own, others)))

        with mock.patch.object(sharing, "quota", rounded_up):
            broken = [counts for counts in self._bounds() if sum(counts) > 17.0 * 1.5 + 5]
        self.assertTrue(broken)

    @clocked.on_test_clock
    async def test_a_zone_without_entries_is_served_by_all_others(self):
        known = new_zones(7, 3)
        counts = self._sent(known, servers.Server("s1", 1, "desk", "a", "elsewhere"))
        self.assertEqual(21, sum(counts))
