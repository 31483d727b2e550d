"""Times that are computed from an engine's properties."""

import unittest

import attrs
from hypothesis import given, settings, strategies

from standins import replicas
from toucanhold.routes import table

ENGINE = attrs.evolve(
    replicas.new_engine(),
    step_per_request_s=0.0002,
    prefill_step_tokens=2048,
)


class LongestPauseTest(unittest.TestCase):
    def test_each_step_of_a_pass_may_prefill_the_maximum_of_prompt_tokens(self):
        step_s = 0.006 + 13 * 0.0002 + 2048 / 50_700
        self.assertAlmostEqual(7 * step_s, ENGINE.longest_pause_s(replicas.LARGE))
        self.assertAlmostEqual(0.6 * 7 * step_s, ENGINE.longest_pause_s(replicas.SMALL))

    def test_longest_pause_is_zero_for_an_engine_without_known_times(self):
        unknown = attrs.evolve(ENGINE, prefill_tokens_per_s=0.0, step_s=0.0, step_per_request_s=0.0)
        self.assertEqual(0.0, unknown.longest_pause_s(replicas.LARGE))

    @settings(deadline=None, max_examples=50, derandomize=True)
    @given(pace=strategies.floats(0.1, 10), stride=strategies.integers(1, 20))
    def test_slower_groups_pause_for_longer(self, pace, stride):
        engine = attrs.evolve(ENGINE, steps_per_pass=stride)
        model = table.Model("m", 4, 1.0, pace, 10.0, 1.0)
        slower = attrs.evolve(model, pace=2 * pace)
        self.assertGreater(engine.longest_pause_s(slower), engine.longest_pause_s(model))
