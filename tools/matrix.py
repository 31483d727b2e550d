"""Runs the fault matrix and prints its results.

`python -m tools.matrix` runs every cell with one fault and prints the table; `--part` runs the
fixed subset that CI runs, `--pairs N` a fixed sample of N cells with two faults, and
`--seeds FROM TO` random sequences of faults. `python -m tools.matrix CELL…` runs the named cells
and prints their histories.
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
CELL_TIMEOUT_S = 60
CI_SUBSET_STRIDE = 8
SAMPLE_SEED = 6
RESULT_SYMBOLS = {True: "·", False: "F"}


class CellTimeoutError(Exception):
    """A cell did not finish within :data:`CELL_TIMEOUT_S`."""


def ci_subset() -> list[matrix.Cell]:
    """Return the fixed subset for CI, which covers each step and each fault several times."""
    return matrix.cells()[::CI_SUBSET_STRIDE]


def sample_pairs(count: int) -> list[matrix.Cell]:
    """Return a fixed sample of the cells with two faults."""
    return random.Random(SAMPLE_SEED).sample(matrix.pairs(), count)


def run_all(cells: collections.abc.Sequence[matrix.Cell]) -> dict[str, matrix.Verdict]:
    """Run cells in :data:`WORKERS` processes; return the verdicts by cell name, in cell order."""
    verdicts: dict[str, matrix.Verdict] = {}
    trio.run(_run_workers, cells, verdicts)
    missing = matrix.Verdict("", False, ("its process ended",))
    return {cell.name: verdicts.get(cell.name, missing) for cell in cells}


async def _run_workers(cells, verdicts: dict[str, matrix.Verdict]) -> None:
    names = [cell.name for cell in cells]
    async with trio.open_nursery() as nursery:
        for worker in range(WORKERS):
            nursery.start_soon(_run_worker, names[worker::WORKERS], verdicts)


async def _run_worker(names: list[str], verdicts: dict[str, matrix.Verdict]) -> None:
    # Sets of strings iterate in hash order; a fixed hash seed makes runs reproducible.
    environment = os.environ | {"PYTHONHASHSEED": "0"}
    command = [sys.executable, "-m", "tools.matrix", "--worker"]
    run_worker_process = functools.partial(
        trio.run_process,
        command,
        stdin="\n".join(names).encode(),
        capture_stdout=True,
        env=environment,
        check=False,
    )
    completed = await run_worker_process()
    for line in completed.stdout.decode().splitlines():
        fields = json.loads(line)
        verdict = matrix.Verdict(fields["name"], fields["reached"], tuple(fields["problems"]))
        verdicts[verdict.name] = verdict


def _run_cells_from_stdin() -> int:
    def raise_timeout(*_: object) -> None:
        raise CellTimeoutError(f"the cell did not finish within {CELL_TIMEOUT_S} s")

    signal.signal(signal.SIGALRM, raise_timeout)
    for name in sys.stdin.read().split():
        signal.alarm(CELL_TIMEOUT_S)
        verdict, _ = matrix.run(matrix.by_name(name))
        signal.alarm(0)
        print(json.dumps(attrs.asdict(verdict)), flush=True)
    return 0


def table_lines(
    cells: collections.abc.Sequence[matrix.Cell], verdicts
) -> collections.abc.Iterator[str]:
    """Yield the lines of the table, with one row per step and one column per fault."""
    faults = [fault.name for fault in matrix.FAULTS]
    name_width = max(len(f"{cell.procedure.name}.{cell.step}") for cell in cells)
    for number, name in enumerate(faults):
        yield " " * name_width + "   " + "  " * number + f"┌ {name}"
    rows: dict[str, dict[str, str]] = collections.defaultdict(dict)
    for cell in cells:
        verdict = verdicts[cell.name]
        symbol = RESULT_SYMBOLS[not verdict.problems] if verdict.reached else "?"
        rows[f"{cell.procedure.name}.{cell.step}"][cell.faults[0].name] = symbol
    for row, symbols in rows.items():
        yield f"{row:{name_width}}   " + " ".join(symbols.get(name, " ") for name in faults)
    yield "· passed   F failed   ? the step did not come about   blank: not run"


def print_report(cells: collections.abc.Sequence[matrix.Cell], verdicts) -> int:
    """Print failed, uncovered and skipped cells and a summary; return 1 if any failed, else 0."""
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
        not_run = [cell.name for cell in matrix.cells() if cell.name not in ran]
        for name in not_run:
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


def _run_named_cells(names: list[str]) -> int:
    failed = 0
    for name in names:
        verdict, testbed = matrix.run(matrix.by_name(name))
        if testbed is not None:
            print(*testbed.history.lines(), sep="\n")
        print(
            f"{name}: {'passed' if verdict.passed else 'failed'}", *verdict.problems, sep="\n    "
        )
        failed += not verdict.passed
    print(f"{len(names) - failed} passed, {failed} failed")
    return min(1, failed)


def main(arguments: list[str]) -> int:
    """Run the cells that the arguments select; return 0 if all passed, else 1."""
    if arguments == ["--worker"]:
        return _run_cells_from_stdin()
    if arguments[:1] == ["--pairs"]:
        cells = sample_pairs(int(arguments[1]))
        return print_report(cells, run_all(cells))
    if arguments[:1] == ["--seeds"]:
        return _run_seeds(int(arguments[1]), int(arguments[2]))
    if arguments and arguments != ["--part"]:
        return _run_named_cells(arguments)
    cells = ci_subset() if arguments else matrix.cells()
    verdicts = run_all(cells)
    print(*table_lines(cells, verdicts), sep="\n")
    return print_report(cells, verdicts)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
