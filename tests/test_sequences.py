"""Random sequences of faults; seeds that exposed a bug are kept."""

import unittest

from tests.proof import sequences

SEEDS = range(1, 9)


class SequenceTest(unittest.TestCase):
    def test_guarantees_hold_through_random_sequences(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                verdict, _ = sequences.run(seed)
                self.assertEqual((), verdict.problems)
