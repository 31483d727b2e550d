"""``python -m tests.platform.paired BEFORE AFTER --bench PROGRAM --sites FILE,FILE ...``."""

import itertools
import pathlib
import sys

import cleo.commands.command
import cleo.helpers
import matplotlib
import matplotlib.figure
import trio

from tests.platform.paired import pairing, playing
from tools import commandline

STANDARD_DAYS = "trouble-1,trouble-2,trouble-3,scale-1,scale-2"


class PairedCommand(cleo.commands.command.Command):
    """Plays days with two checkouts and tells by how much they differ."""

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
        """Play, pair, and write a table and a plot."""
        for name in ("bench", "sites", "folder"):
            if not self.option(name):
                self.line_error(f"--{name} is needed", style="error")
                return 2
        sites = {pathlib.Path(text).stem: pathlib.Path(text) for text in self._list("sites")}
        plays = [
            pairing.Play(site, day, int(seed))
            for seed, site, day in itertools.product(self._list("seeds"), sites, self._list("days"))
        ]
        folder = pathlib.Path(self.option("folder"))
        bench = playing.Bench(
            pathlib.Path(self.option("bench")), int(self.option("jobs")), self.option("why")
        )
        before, after = (
            trio.run(
                playing.play_all,
                bench,
                pathlib.Path(self.argument(which)).resolve(),
                sites,
                plays,
                folder / which,
            )
            for which in ("before", "after")
        )
        self._show(before, after, sites, folder)
        return int(any(day.broken for day in after.values()))

    def _list(self, name: str) -> list[str]:
        return [word.strip() for word in self.option(name).split(",") if word.strip()]

    def _show(
        self, before: pairing.Days, after: pairing.Days, sites: dict, folder: pathlib.Path
    ) -> None:
        by_site = pairing.differences(before, after, lambda play: play.site)
        by_day = pairing.differences(before, after, lambda play: f"{play.site} {play.day}")
        shown = [pairing.table(by_site | by_day)]
        shown += [pairing.table(pairing.by_kind(before, after, site)) for site in sites]
        text = "\n\n".join(shown)
        (folder / "table.md").write_text(text + "\n")
        self.line(text)
        for play, day in sorted(after.items()):
            if day.broken:
                self.line(f"BROKEN {play}: {', '.join(day.broken)}")
        _plot(before, after, folder / "courses.png")


def _plot(before: pairing.Days, after: pairing.Days, path: pathlib.Path) -> None:
    shown = sorted({(play.site, play.day) for play in before.keys() & after.keys()})
    if not shown:
        return
    matplotlib.use("Agg")
    figure = matplotlib.figure.Figure(figsize=(9, 2.2 * len(shown)), layout="constrained")
    axes = figure.subplots(len(shown), 1, squeeze=False)[:, 0]
    for axis, (site, day) in zip(axes, shown, strict=True):
        for days, label in ((before, "before"), (after, "after")):
            course = pairing.course(days, site, day)
            axis.plot(list(course), list(course.values()), label=label)
        axis.set_title(f"{site} {day}", fontsize=9)
        axis.set_ylabel("worth")
        axis.set_ylim(0, 1.05)
    axes[-1].set_xlabel("second")
    axes[0].legend()
    figure.savefig(path)


if __name__ == "__main__":
    sys.exit(commandline.run(PairedCommand()))
