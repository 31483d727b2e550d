"""The fault matrix.

`python -m tools.matrix` runs every cell with one fault and prints the table; `--part` runs the
fixed part that CI runs, `--pairs N` a fixed sample of N cells with two faults, `--seeds FROM TO`
random sequences of faults, and `python -m tools.matrix CELL…` the named cells, with histories.
"""

import collections
import collections.abc
import functools
import json
import os
import random
import signal
import sys

import attrs
import trio

from tests.proof import matrix, sequences

WORKERS = 6
CELL_LIMIT_S = 60
PART_STEP = 8
SAMPLE_SEED = 6
SIGNS = {True: "·", False: "F"}


class CellTooLongError(Exception):
    """A cell's run does not end."""


def part() -> list[matrix.Cell]:
    """Return a fixed part that has each step and each fault several times."""
    return matrix.cells()[::PART_STEP]


def sample(count: int) -> list[matrix.Cell]:
    """Return a fixed sample of the cells with two faults."""
    return random.Random(SAMPLE_SEED).sample(matrix.pairs(), count)


def run_all(cells: collections.abc.Sequence[matrix.Cell]) -> dict[str, matrix.Verdict]:
    """Run cells in a few processes; the verdicts by name, in the cells' order."""
    found: dict[str, matrix.Verdict] = {}
    trio.run(_run_all, cells, found)
    missing = matrix.Verdict("", False, ("its process ended",))
    return {cell.name: found.get(cell.name, missing) for cell in cells}


async def _run_all(cells, found: dict[str, matrix.Verdict]) -> None:
    names = [cell.name for cell in cells]
    async with trio.open_nursery() as nursery:
        for worker in range(WORKERS):
            nursery.start_soon(_run_worker, names[worker::WORKERS], found)


async def _run_worker(names: list[str], found: dict[str, matrix.Verdict]) -> None:
    # Sets of strings are ordered by hash; a fixed seed makes each run the same.
    variables = os.environ | {"PYTHONHASHSEED": "0"}
    words = [sys.executable, "-m", "tools.matrix", "--worker"]
    start = functools.partial(
        trio.run_process,
        words,
        stdin="\n".join(names).encode(),
        capture_stdout=True,
        env=variables,
        check=False,
    )
    done = await start()
    for line in done.stdout.decode().splitlines():
        fields = json.loads(line)
        verdict = matrix.Verdict(fields["name"], fields["reached"], tuple(fields["problems"]))
        found[verdict.name] = verdict


def _work() -> int:
    def end(*_: object) -> None:
        raise CellTooLongError(f"longer than {CELL_LIMIT_S} s")

    signal.signal(signal.SIGALRM, end)
    for name in sys.stdin.read().split():
        signal.alarm(CELL_LIMIT_S)
        verdict, _ = matrix.run(matrix.by_name(name))
        signal.alarm(0)
        print(json.dumps(attrs.asdict(verdict)), flush=True)
    return 0


def table(cells: collections.abc.Sequence[matrix.Cell], verdicts) -> collections.abc.Iterator[str]:
    """Yield the lines of the table: a row a step, a column a fault."""
    faults = [each.name for each in matrix.FAULTS]
    width = max(len(f"{cell.procedure.name}.{cell.step}") for cell in cells)
    for number, name in enumerate(faults):
        yield " " * width + "   " + "  " * number + f"┌ {name}"
    rows: dict[str, dict[str, str]] = collections.defaultdict(dict)
    for cell in cells:
        verdict = verdicts[cell.name]
        sign = SIGNS[not verdict.problems] if verdict.reached else "?"
        rows[f"{cell.procedure.name}.{cell.step}"][cell.faults[0].name] = sign
    for row, signs in rows.items():
        yield f"{row:{width}}   " + " ".join(signs.get(name, " ") for name in faults)
    yield "· passed   F failed   ? the step did not come about   blank: not run"


def report(cells: collections.abc.Sequence[matrix.Cell], verdicts) -> int:
    """Print what failed and what is not covered, and the closing line."""
    for verdict in verdicts.values():
        if verdict.problems:
            print(f"FAILED {verdict.name}")
            for problem in verdict.problems[:3]:
                print(f"    {problem[:240]}")
    unreached = [name for name, verdict in verdicts.items() if not verdict.reached]
    for name in unreached:
        print(f"not covered: {name}")
    ran = {cell.name for cell in cells}
    if all(len(cell.faults) == 1 for cell in cells):
        unrun = [cell.name for cell in matrix.cells() if cell.name not in ran]
        for name in unrun:
            print(f"not run here: {name}")
    failed = sum(not verdict.passed for verdict in verdicts.values())
    print(f"{len(verdicts) - failed} passed, {failed} failed")
    return min(1, failed)


def _run_seeds(first: int, last: int) -> int:
    failed = 0
    for seed in range(first, last + 1):
        verdict, _ = sequences.run(seed)
        print(f"{verdict.name}: {'passed' if verdict.passed else 'failed'}", *verdict.problems)
        failed += not verdict.passed
    print(f"{last + 1 - first - failed} passed, {failed} failed")
    return min(1, failed)


def _show(names: list[str]) -> int:
    failed = 0
    for name in names:
        verdict, own = matrix.run(matrix.by_name(name))
        if own is not None:
            print(*own.history.lines(), sep="\n")
        print(
            f"{name}: {'passed' if verdict.passed else 'failed'}", *verdict.problems, sep="\n    "
        )
        failed += not verdict.passed
    print(f"{len(names) - failed} passed, {failed} failed")
    return min(1, failed)


def main(arguments: list[str]) -> int:
    """Run what the arguments name; 0 when all passed."""
    if arguments == ["--worker"]:
        return _work()
    if arguments[:1] == ["--pairs"]:
        cells = sample(int(arguments[1]))
        return report(cells, run_all(cells))
    if arguments[:1] == ["--seeds"]:
        return _run_seeds(int(arguments[1]), int(arguments[2]))
    if arguments and arguments != ["--part"]:
        return _show(arguments)
    cells = part() if arguments else matrix.cells()
    verdicts = run_all(cells)
    print(*table(cells, verdicts), sep="\n")
    return report(cells, verdicts)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
