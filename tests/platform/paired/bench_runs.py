"""Runs days on the users' bench, several at a time."""

import collections.abc
import pathlib

import attrs
import trio

from tests.platform.paired import pairing, reports


@attrs.frozen
class Bench:
    """The users' bench.

    :ivar program: path of the bench
    :ivar jobs: number of days run at the same time
    :ivar journal_reason: reason given in the journal
    """

    program: pathlib.Path
    jobs: int
    journal_reason: str


async def run_all(
    bench: Bench,
    checkout: pathlib.Path,
    sites: collections.abc.Mapping[str, pathlib.Path],
    run_keys: collections.abc.Iterable[pairing.RunKey],
    folder: pathlib.Path,
) -> dict[pairing.RunKey, reports.DayReport]:
    """Return the report of each run; runs with a report in ``folder`` are not repeated.

    A run whose report cannot be read is left out.

    :param sites: site files by name
    """
    folder.mkdir(parents=True, exist_ok=True)
    limiter = trio.CapacityLimiter(bench.jobs)
    day_reports: dict[pairing.RunKey, reports.DayReport] = {}

    async def run_one(run_key: pairing.RunKey) -> None:
        report_path = folder / f"{run_key.site}.{run_key.day}.{run_key.seed}.json"
        async with limiter:
            if not report_path.exists():
                await _run(bench, checkout, sites[run_key.site], run_key, report_path)
        try:
            day_reports[run_key] = reports.read(report_path)
        except reports.ReportError as error:
            print(f"left out: {error}")

    async with trio.open_nursery() as nursery:
        for run_key in run_keys:
            nursery.start_soon(run_one, run_key)
    return day_reports


async def _run(
    bench: Bench,
    checkout: pathlib.Path,
    site: pathlib.Path,
    run_key: pairing.RunKey,
    report_path: pathlib.Path,
) -> None:
    command = [str(bench.program), "run", str(site), run_key.day, "--seed", str(run_key.seed)]
    command += ["--report", str(report_path), "--why", bench.journal_reason]
    with report_path.with_suffix(".txt").open("wb") as output:
        await trio.run_process(command, cwd=checkout, stdout=output, stderr=output, check=False)
