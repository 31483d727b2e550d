"""The packages depend on each other one way."""

import ast
import graphlib
import pathlib
import unittest

import toucanhold

ROOT = pathlib.Path(toucanhold.__file__).parent


def imported_packages(path: pathlib.Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("toucanhold"):
            names = [f"{node.module}.{alias.name}" for alias in node.names]
            found |= {name.split(".")[1] for name in names}
    return {name for name in found if (ROOT / name).is_dir()}


class LayersTest(unittest.TestCase):
    def test_no_package_depends_on_one_that_depends_on_it(self):
        graph = {}
        for folder in ROOT.iterdir():
            if (folder / "__init__.py").exists():
                needed = set().union(*map(imported_packages, folder.glob("*.py")))
                graph[folder.name] = needed - {folder.name}
        self.assertGreater(len(graph), 10)
        # Raises CycleError, which names the packages.
        order = list(graphlib.TopologicalSorter(graph).static_order())
        self.assertLess(order.index("coordination"), order.index("routing"))
