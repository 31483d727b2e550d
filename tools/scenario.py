"""Runs scenario files: `python -m tools.scenario tests/scenarios/NAME.scenario`."""

import pathlib
import sys

from tests.proof import language, steps


def main(arguments: list[str]) -> int:
    """Run the files; return 0 when each holds."""
    if not arguments:
        print(__doc__)
        return 2
    failed = 0
    for name in arguments:
        try:
            steps.run_file(pathlib.Path(name))
        except language.InvalidScenarioError as error:
            failed += 1
            print(*error.exceptions, sep="\n")
        except steps.StepError as error:
            failed += 1
            print(error)
        else:
            print(f"{name}: holds")
    print(f"{len(arguments) - failed} passed, {failed} failed")
    return min(1, failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
