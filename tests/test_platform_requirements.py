"""Tests that the files that the platform installs and deploys from match the package."""

import pathlib
import tomllib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent


class RequirementsTest(unittest.TestCase):
    def test_requirements_file_lists_the_dependencies(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        lines = (ROOT / "requirements.txt").read_text().split()
        self.assertEqual(project["dependencies"], lines)

    def test_the_deploy_file_serves_callers_and_the_directory(self):
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        served = {name for role in roles.values() for name in role["serves"]}
        self.assertEqual({"front", "directory"}, served)
