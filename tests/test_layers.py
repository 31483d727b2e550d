"""The dependencies between packages have no cycles."""

import ast
import graphlib
import pathlib
import unittest

import toucanhold

ROOT = pathlib.Path(toucanhold.__file__).parent


def imported_packages(path: pathlib.Path) -> set[str]:
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("toucanhold"):
            names = [f"{node.module}.{alias.name}" for alias in node.names]
            imported |= {name.split(".")[1] for name in names}
    return {name for name in imported if (ROOT / name).is_dir()}


class LayersTest(unittest.TestCase):
    def test_package_dependencies_have_no_cycles(self):
        graph = {}
        for package_folder in ROOT.iterdir():
            if (package_folder / "__init__.py").exists():
                dependencies = set().union(*map(imported_packages, package_folder.glob("*.py")))
                graph[package_folder.name] = dependencies - {package_folder.name}
        self.assertGreater(len(graph), 10)
        # Raises CycleError, whose message names the packages, if there is a cycle.
        package_order = list(graphlib.TopologicalSorter(graph).static_order())
        self.assertLess(package_order.index("coordination"), package_order.index("routing"))
