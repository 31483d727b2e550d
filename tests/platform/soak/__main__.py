"""Plays seeds: ``python -m tests.platform.soak --first 1 --seeds 50 --jobs 4``."""

import pathlib
import sys
import tempfile

import cleo.commands.command
import cleo.helpers
import trio

from standins import processes
from tests.platform.soak import running
from tools import commandline


class SoakCommand(cleo.commands.command.Command):
    """Plays seeds, several at a time, each in a process of its own."""

    name = "soak"
    description = "Run entries as processes under random faults, and check what callers see."
    options = [
        cleo.helpers.option("first", None, "first seed", flag=False, default="1"),
        cleo.helpers.option("seeds", None, "number of seeds", flag=False, default="1"),
        cleo.helpers.option("jobs", None, "seeds played at a time", flag=False, default="4"),
        cleo.helpers.option("folder", None, "where logs are kept", flag=False),
    ]

    def handle(self) -> int:
        """Play them; the status tells whether a promise was broken."""
        folder = pathlib.Path(self.option("folder") or tempfile.mkdtemp(prefix="soak-"))
        folder.mkdir(parents=True, exist_ok=True)
        first, count = int(self.option("first")), int(self.option("seeds"))
        if count == 1:
            return self._play(first, folder)
        failed = trio.run(_play_all, range(first, first + count), int(self.option("jobs")), folder)
        self.line(f"{count - len(failed)} passed, {len(failed)} failed: {failed}; logs: {folder}")
        return int(bool(failed))

    def _play(self, seed: int, folder: pathlib.Path) -> int:
        folder = folder / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = trio.run(running.run, seed, folder, running.subnet(seed))
        self.line(f"seed {seed}: {dict(sorted(result.ends.items()))}")
        for at_s, text in result.faults:
            self.line(f"  {at_s} {text}")
        for violation in result.violations:
            self.line(f"  BROKEN {violation}")
        return int(bool(result.violations))


async def _play_all(seeds: range, jobs: int, folder: pathlib.Path) -> list[int]:
    failed: list[int] = []
    limit = trio.CapacityLimiter(jobs)
    async with processes.ProcessGroup(folder) as group, trio.open_nursery() as nursery:
        for seed in seeds:
            nursery.start_soon(_play_one, seed, limit, group, folder, failed)
    return sorted(failed)


async def _play_one(
    seed: int,
    limit: trio.CapacityLimiter,
    group: processes.ProcessGroup,
    folder: pathlib.Path,
    failed: list[int],
) -> None:
    async with limit:
        name = f"seed-{seed}"
        words = ["--first", str(seed), "--seeds", "1", "--folder", str(folder)]
        await group.start(name, ["tests.platform.soak", *words])
        if await group.wait(name):
            failed.append(seed)
        text = group.log_text(name)
        print(text if seed in failed else text.partition("\n")[0], flush=True)


if __name__ == "__main__":
    sys.exit(commandline.run(SoakCommand()))
