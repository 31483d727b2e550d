"""Plays days through the bench, several at a time."""

import collections.abc
import pathlib

import attrs
import trio

from tests.platform.paired import pairing, reports


@attrs.frozen
class Bench:
    """The users' bench.

    :ivar program: its path
    :ivar jobs: days played at a time
    :ivar why: what the journal says of the plays
    """

    program: pathlib.Path
    jobs: int
    why: str


async def play_all(
    bench: Bench,
    checkout: pathlib.Path,
    sites: collections.abc.Mapping[str, pathlib.Path],
    plays: collections.abc.Iterable[pairing.Play],
    folder: pathlib.Path,
) -> dict[pairing.Play, reports.Day]:
    """Return what each play was worth; plays whose report lies in ``folder`` are not repeated.

    :param sites: site files by name
    """
    folder.mkdir(parents=True, exist_ok=True)
    limit = trio.CapacityLimiter(bench.jobs)
    found: dict[pairing.Play, reports.Day] = {}

    async def play_one(play: pairing.Play) -> None:
        report = folder / f"{play.site}.{play.day}.{play.seed}.json"
        async with limit:
            if not report.exists():
                await _run(bench, checkout, sites[play.site], play, report)
        try:
            found[play] = reports.read(report)
        except reports.ReportError as error:
            print(f"left out: {error}")

    async with trio.open_nursery() as nursery:
        for play in plays:
            nursery.start_soon(play_one, play)
    return found


async def _run(
    bench: Bench,
    checkout: pathlib.Path,
    site: pathlib.Path,
    play: pairing.Play,
    report: pathlib.Path,
) -> None:
    words = [str(bench.program), "run", str(site), play.day, "--seed", str(play.seed)]
    words += ["--report", str(report), "--why", bench.why]
    with report.with_suffix(".txt").open("wb") as shown:
        await trio.run_process(words, cwd=checkout, stdout=shown, stderr=shown, check=False)
