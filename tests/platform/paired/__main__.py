"""``python -m tests.platform.paired BEFORE AFTER --bench PROGRAM --sites FILE,FILE ...``."""

import itertools
import pathlib
import sys

import cleo.commands.command
import cleo.helpers
import matplotlib
import matplotlib.figure
import trio

from tests.platform.paired import bench_runs, pairing
from tools import commandline

STANDARD_DAYS = "trouble-1,trouble-2,trouble-3,scale-1,scale-2"


class PairedCommand(cleo.commands.command.Command):
    """Runs days with two checkouts and reports the differences."""

    name = "paired"
    description = "Play the same days and seeds with two checkouts, and pair them."
    arguments = [
        cleo.helpers.argument("before", "checkout to compare with"),
        cleo.helpers.argument("after", "checkout with the change"),
    ]
    options = [
        cleo.helpers.option("bench", None, "path of the bench", flag=False),
        cleo.helpers.option("sites", None, "site files, separated by commas", flag=False),
        cleo.helpers.option("days", None, "names of days", flag=False, default=STANDARD_DAYS),
        cleo.helpers.option("seeds", None, "three or more", flag=False, default="1,2,3"),
        cleo.helpers.option("jobs", None, "days played at a time", flag=False, default="4"),
        cleo.helpers.option("why", None, "for the journal", flag=False, default="paired"),
        cleo.helpers.option("folder", None, "where reports are kept", flag=False),
    ]

    def handle(self) -> int:
        """Run both checkouts and write a table and a plot.

        :return: 0, 1 if a rule was broken with the change, 2 for a missing option
        """
        for name in ("bench", "sites", "folder"):
            if not self.option(name):
                self.line_error(f"--{name} is needed", style="error")
                return 2
        sites = {pathlib.Path(text).stem: pathlib.Path(text) for text in self._list("sites")}
        run_keys = [
            pairing.RunKey(site, day, int(seed))
            for seed, site, day in itertools.product(self._list("seeds"), sites, self._list("days"))
        ]
        folder = pathlib.Path(self.option("folder"))
        bench = bench_runs.Bench(
            pathlib.Path(self.option("bench")), int(self.option("jobs")), self.option("why")
        )
        before, after = (
            trio.run(
                bench_runs.run_all,
                bench,
                pathlib.Path(self.argument(which)).resolve(),
                sites,
                run_keys,
                folder / which,
            )
            for which in ("before", "after")
        )
        self._write_results(before, after, sites, folder)
        return int(any(day.violations for day in after.values()))

    def _list(self, name: str) -> list[str]:
        return [word.strip() for word in self.option(name).split(",") if word.strip()]

    def _write_results(
        self,
        before: pairing.DayReports,
        after: pairing.DayReports,
        sites: dict,
        folder: pathlib.Path,
    ) -> None:
        by_site = pairing.paired_differences(before, after, lambda run_key: run_key.site)
        by_day = pairing.paired_differences(
            before, after, lambda run_key: f"{run_key.site} {run_key.day}"
        )
        sections = [pairing.table(by_site | by_day)]
        sections += [pairing.table(pairing.by_kind(before, after, site)) for site in sites]
        text = "\n\n".join(sections)
        (folder / "table.md").write_text(text + "\n")
        self.line(text)
        for run_key, day in sorted(after.items()):
            if day.violations:
                self.line(f"BROKEN {run_key}: {', '.join(day.violations)}")
        _plot(before, after, folder / "courses.png")


def _plot(before: pairing.DayReports, after: pairing.DayReports, path: pathlib.Path) -> None:
    site_days = sorted({(run_key.site, run_key.day) for run_key in before.keys() & after.keys()})
    if not site_days:
        return
    matplotlib.use("Agg")
    figure = matplotlib.figure.Figure(figsize=(9, 2.2 * len(site_days)), layout="constrained")
    axes = figure.subplots(len(site_days), 1, squeeze=False)[:, 0]
    for axis, (site, day) in zip(axes, site_days, strict=True):
        for days, label in ((before, "before"), (after, "after")):
            worths = pairing.mean_worth_by_second(days, site, day)
            axis.plot(list(worths), list(worths.values()), label=label)
        axis.set_title(f"{site} {day}", fontsize=9)
        axis.set_ylabel("worth")
        axis.set_ylim(0, 1.05)
    axes[-1].set_xlabel("second")
    axes[0].legend()
    figure.savefig(path)


if __name__ == "__main__":
    sys.exit(commandline.run(PairedCommand()))
