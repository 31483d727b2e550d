"""Runs each scenario file as a separate test; see docs/SCENARIOS.md."""

import pathlib
import tempfile
import unittest

from tests.proof import language, steps

SCENARIO_FOLDER = pathlib.Path(__file__).with_name("scenarios")


class ScenarioTest(unittest.TestCase):
    pass


def _new_scenario_test(path: pathlib.Path):
    return lambda self: steps.run_file(path)


for _path in sorted(SCENARIO_FOLDER.glob("*.scenario")):
    _name = "test_" + _path.stem.replace("-", "_")
    setattr(ScenarioTest, _name, _new_scenario_test(_path))


class LanguageTest(unittest.TestCase):
    def test_each_error_is_reported_with_file_and_line(self):
        text = (
            "# One.\n# Two.\nsite with 3 entries, 2 availability zones\npause entri 3\n"
            "expect o1 answred\nwait 3 s\nservice drafts: 2 replicas of 2 VMs\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bad.scenario"
            path.write_text(text)
            with self.assertRaises(language.InvalidScenarioError) as caught:
                language.load(path)
        messages = [str(error) for error in caught.exception.exceptions]
        self.assertEqual(3, len(messages), messages)
        self.assertIn(f"{path}:4: cannot read 'entri 3'", messages[0])
        self.assertIn(f"{path}:5: cannot read 'answred'", messages[1])
        self.assertIn(f"{path}:7: the site must be described first", messages[2])

    def test_opening_comment_is_required(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bad.scenario"
            path.write_text("wait 3 s\n")
            with self.assertRaises(language.InvalidScenarioError) as caught:
                language.load(path)
        self.assertIn(":1: must open with two to five lines", str(caught.exception.exceptions[0]))
