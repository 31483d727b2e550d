"""Runs measurements: ``python -m tools.measure [name ...] [--seed N] [--plots FOLDER]``."""

import importlib
import pathlib
import pkgutil
import sys

import cleo.commands.command
import cleo.helpers

import tools.measure
from tools import commandline
from tools.measure import table

NOT_MEASUREMENTS = ("__main__", "sites", "table")


class MeasureCommand(cleo.commands.command.Command):
    """Prints the tables of the named measurements, or of all if none is named."""

    name = "measure"
    description = "Run measurements and print their tables."
    arguments = [cleo.helpers.argument("names", "measurements", optional=True, multiple=True)]
    options = [
        cleo.helpers.option("seed", None, "seed of random choices", flag=False, default="1"),
        cleo.helpers.option(
            "plots", None, "folder for plots; none are drawn without it", flag=False
        ),
    ]

    def handle(self) -> int:
        """Run each measurement in turn; return 2 for an unknown name, else 0."""
        available_names = available()
        names = self.argument("names") or available_names
        if unknown := sorted(set(names) - set(available_names)):
            self.line_error(f"unknown: {', '.join(unknown)}; known: {', '.join(available_names)}")
            return 2
        for name in names:
            module = importlib.import_module(f"tools.measure.{name}")
            for measured_table in module.run(int(self.option("seed"))):
                print(table.to_markdown(measured_table), flush=True)
                self._draw(measured_table)
        return 0

    def _draw(self, measured_table: table.Table) -> None:
        if self.option("plots"):
            path = table.draw(measured_table, pathlib.Path(self.option("plots")))
            if path is not None:
                print(f"plot: {path}\n", flush=True)


def available() -> list[str]:
    """Return the names of all measurements."""
    module_names = (module.name for module in pkgutil.iter_modules(tools.measure.__path__))
    return sorted(name for name in module_names if name not in NOT_MEASUREMENTS)


if __name__ == "__main__":
    sys.exit(commandline.run(MeasureCommand()))
