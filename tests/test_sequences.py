"""Random sequences of faults; a seed that found a fault stays here for good."""

import unittest

from tests.proof import sequences

SEEDS = range(1, 9)


class SequenceTest(unittest.TestCase):
    def test_promises_hold_through_random_sequences(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                verdict, _ = sequences.run(seed)
                self.assertEqual((), verdict.problems)
