"""Each scenario file is a test of its own; see docs/SCENARIOS.md."""

import pathlib
import tempfile
import unittest

from tests.proof import language, steps

FOLDER = pathlib.Path(__file__).with_name("scenarios")


class ScenarioTest(unittest.TestCase):
    pass


def _test_of(path: pathlib.Path):
    return lambda self: steps.run_file(path)


for _path in sorted(FOLDER.glob("*.scenario")):
    _name = "test_" + _path.stem.replace("-", "_")
    setattr(ScenarioTest, _name, _test_of(_path))


class LanguageTest(unittest.TestCase):
    def test_each_mistake_is_told_with_file_and_line(self):
        text = (
            "# One.\n# Two.\nsite with 3 entries, 2 availability zones\npause entri 3\n"
            "expect o1 answred\nwait 3 s\nservice drafts: 2 replicas of 2 VMs\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bad.scenario"
            path.write_text(text)
            with self.assertRaises(language.InvalidScenarioError) as caught:
                language.load(path)
        told = [str(error) for error in caught.exception.exceptions]
        self.assertEqual(3, len(told), told)
        self.assertIn(f"{path}:4: cannot read 'entri 3'", told[0])
        self.assertIn(f"{path}:5: cannot read 'answred'", told[1])
        self.assertIn(f"{path}:7: the site must be described first", told[2])

    def test_opening_comment_is_required(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bad.scenario"
            path.write_text("wait 3 s\n")
            with self.assertRaises(language.InvalidScenarioError) as caught:
                language.load(path)
        self.assertIn(":1: must open with two to five lines", str(caught.exception.exceptions[0]))
