"""Runs seeds: ``python -m tests.platform.soak --first 1 --seeds 50 --jobs 4``."""

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
    """Runs seeds, several at a time, each in its own process."""

    name = "soak"
    description = "Run entries as processes under random faults, and check what callers see."
    options = [
        cleo.helpers.option("first", None, "first seed", flag=False, default="1"),
        cleo.helpers.option("seeds", None, "number of seeds", flag=False, default="1"),
        cleo.helpers.option("jobs", None, "seeds played at a time", flag=False, default="4"),
        cleo.helpers.option("folder", None, "where logs are kept", flag=False),
    ]

    def handle(self) -> int:
        """Run the seeds; return 1 if a guarantee was violated, else 0."""
        folder = pathlib.Path(self.option("folder") or tempfile.mkdtemp(prefix="soak-"))
        folder.mkdir(parents=True, exist_ok=True)
        first, count = int(self.option("first")), int(self.option("seeds"))
        if count == 1:
            return self._run_seed(first, folder)
        failed = trio.run(_run_seeds, range(first, first + count), int(self.option("jobs")), folder)
        self.line(f"{count - len(failed)} passed, {len(failed)} failed: {failed}; logs: {folder}")
        return int(bool(failed))

    def _run_seed(self, seed: int, folder: pathlib.Path) -> int:
        folder = folder / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = trio.run(running.run, seed, folder, running.subnet(seed))
        self.line(f"seed {seed}: {dict(sorted(result.outcome_counts.items()))}")
        for at_s, log_text in result.faults:
            self.line(f"  {at_s} {log_text}")
        for violation in result.violations:
            self.line(f"  BROKEN {violation}")
        return int(bool(result.violations))


async def _run_seeds(seeds: range, jobs: int, folder: pathlib.Path) -> list[int]:
    failed: list[int] = []
    limiter = trio.CapacityLimiter(jobs)
    async with processes.ProcessGroup(folder) as group, trio.open_nursery() as nursery:
        for seed in seeds:
            nursery.start_soon(_run_seed_process, seed, limiter, group, folder, failed)
    return sorted(failed)


async def _run_seed_process(
    seed: int,
    limiter: trio.CapacityLimiter,
    group: processes.ProcessGroup,
    folder: pathlib.Path,
    failed: list[int],
) -> None:
    async with limiter:
        name = f"seed-{seed}"
        arguments = ["--first", str(seed), "--seeds", "1", "--folder", str(folder)]
        await group.start(name, ["tests.platform.soak", *arguments])
        if await group.wait(name):
            failed.append(seed)
        log_text = group.log_text(name)
        print(log_text if seed in failed else log_text.partition("\n")[0], flush=True)


if __name__ == "__main__":
    sys.exit(commandline.run(SoakCommand()))
