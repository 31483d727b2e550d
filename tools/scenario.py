"""Runs scenario files: `python -m tools.scenario tests/scenarios/NAME.scenario`."""

import pathlib
import sys

from tests.proof import language, steps


def main(paths: list[str]) -> int:
    """Run the files; return 0 if all pass, 1 if one fails, 2 without arguments."""
    if not paths:
        print(__doc__)
        return 2
    failure_count = 0
    for path in paths:
        try:
            steps.run_file(pathlib.Path(path))
        except language.InvalidScenarioError as error:
            failure_count += 1
            print(*error.exceptions, sep="\n")
        except steps.StepError as error:
            failure_count += 1
            print(error)
        else:
            print(f"{path}: holds")
    print(f"{len(paths) - failure_count} passed, {failure_count} failed")
    return min(1, failure_count)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
