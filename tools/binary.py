"""Builds ``dist/toucanhold``, one executable file with all Python code that the program needs.

docs/design/binary.md gives the reasons for a zip application.
"""

import compileall
import importlib.metadata
import pathlib
import py_compile
import re
import shutil
import sys
import tempfile
import tomllib
import zipapp

import packaging.requirements

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT_PATH = ROOT / "dist" / "toucanhold"
PACKAGE = "toucanhold"
INTERPRETER = "/usr/bin/env python3"
# Shared objects cannot be loaded from a zip file; each dependency also has a pure Python form.
SKIPPED_SUFFIXES = {".so", ".pyd", ".pyi", ".pyx", ".pxd", ".c", ".h", ".pyc", ".typed"}
SKIPPED_PARTS = {"tests", "__pycache__", "bin", "licenses"}
KEPT_METADATA = {"METADATA", "entry_points.txt"}


def main() -> int:
    """Build the file, print its size in MB and return 0."""
    with tempfile.TemporaryDirectory() as folder:
        staging = pathlib.Path(folder)
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        for name in sorted(resolve_dependencies(project["dependencies"])):
            copy_distribution(name, staging)
        copy_package(staging)
        compileall.compile_dir(
            staging,
            quiet=1,
            legacy=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        (staging / "__main__.py").write_text(
            f"import sys\n\nfrom {PACKAGE} import __main__\n\nsys.exit(__main__.main())\n"
        )
        OUTPUT_PATH.parent.mkdir(exist_ok=True)
        zipapp.create_archive(staging, OUTPUT_PATH, INTERPRETER, compressed=True)
    print(f"{OUTPUT_PATH.relative_to(ROOT)}: {OUTPUT_PATH.stat().st_size / 1e6:.1f} MB")
    return 0


def resolve_dependencies(requirements: list[str]) -> set[str]:
    """Return the names of all distributions that ``requirements`` need at run time."""
    resolved: set[str] = set()
    pending = list(requirements)
    while pending:
        requirement = packaging.requirements.Requirement(pending.pop())
        name = re.sub(r"[-_.]+", "-", requirement.name).lower()
        is_required = requirement.marker is None or requirement.marker.evaluate({"extra": ""})
        if is_required and name not in resolved:
            resolved.add(name)
            pending += importlib.metadata.requires(name) or []
    return resolved


def copy_distribution(name: str, staging: pathlib.Path) -> None:
    """Copy an installed distribution's Python code and the metadata read at run time."""
    for path in importlib.metadata.distribution(name).files or []:
        is_metadata = path.parts[0].endswith(".dist-info")
        if path.suffix in SKIPPED_SUFFIXES or SKIPPED_PARTS & set(path.parts) or ".." in path.parts:
            continue
        if is_metadata and path.name not in KEPT_METADATA:
            continue
        target = staging / path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path.locate(), target)


def copy_package(staging: pathlib.Path) -> None:
    """Copy the project's own package from the source tree."""
    ignore_pycache = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, staging / PACKAGE, ignore=ignore_pycache)


if __name__ == "__main__":
    sys.exit(main())
