"""Backend servers that stop in the head of an answer and close."""

import tempfile
import unittest

import trio

from tests.platform import cut_heads

# Places inside and around each line end are always played.
STEP = 16


class CutHeadsTest(unittest.TestCase):
    """Guards against a 200 with an empty or short body that is framed as whole."""

    def _check(self, running, framings):
        trio.run(self._play, running, framings)

    async def _play(self, running, framings):
        with tempfile.TemporaryDirectory() as folder:
            async with running(folder) as site:
                for framing in framings:
                    with self.subTest(framing=framing):
                        found, _ = await cut_heads.play(site, framing, STEP)
                        self.assertEqual([], found)

    def test_answers_cut_in_their_head_are_no_answers(self):
        self._check(lambda folder: cut_heads.running_platform(folder, "221.1"), cut_heads.FRAMINGS)

    def test_answers_cut_in_their_head_behind_a_tunnel_are_no_answers(self):
        self._check(
            lambda folder: cut_heads.running_platform(folder, "221.2", True), cut_heads.FRAMINGS
        )

    def test_answers_cut_in_their_head_are_none_for_the_products_own_interface(self):
        plain = [name for name in cut_heads.FRAMINGS if "stream" not in name]
        self._check(cut_heads.running_product, plain)
