"""Callers and common bounds, shared among entries of unequal size.

The pattern: fifty-two entries with half a core beside eight with four times as much, as large sites
have them.
"""

import collections
import unittest

from toucanhold.gateway import entries, sharing


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
        self.assertEqual(known, sorted(sharing.named(known, "z0", 0.0), key=known.index))

    def test_callers_go_to_entries_by_their_weight(self):
        known = new_entries(8, 52)
        counts = collections.Counter()
        for slot in range(400):
            for zone in ("z0", "z1", "z2", "z3"):
                names = sharing.named(known, zone, slot * sharing.SLOT_S)
                for entry in names:
                    counts[entry.entry] += 1 / len(names)
        total = sum(counts.values())
        at_large = sum(counts[f"e{n}"] for n in range(8)) / total
        self.assertAlmostEqual(0.73, at_large, delta=0.05)
        self.assertEqual(60, len(counts))

    def test_an_answer_holds_for_a_while(self):
        known = new_entries(8, 52)
        first = {entry.entry for entry in sharing.named(known, "z0", 20.0)}
        again = {entry.entry for entry in sharing.named(known[::-1], "z0", 29.9)}
        self.assertEqual(first, again)

    def test_small_entries_serve_when_the_large_ones_are_gone(self):
        known = new_entries(0, 52)
        self.assertEqual(52, len(sharing.named(known, "z0", 0.0)))
        self.assertEqual(3, len(sharing.named(new_entries(1, 40)[:4], "z0", 0.0)[:3]))
        self.assertEqual([], sharing.named([], "z0", 0.0))
