"""Tables of measured values and their plots."""

import collections.abc
import pathlib
import re

import attrs

Cell = str | int | float


@attrs.frozen
class Plot:
    """How a table is drawn.

    :ivar x: column of the x axis; text makes a bar chart, numbers make lines
    :ivar y: columns drawn against it, each a series
    :ivar logarithmic: both axes have a logarithmic scale
    """

    x: str
    y: tuple[str, ...]
    logarithmic: bool = False


@attrs.frozen
class Table:
    """Measured values, with the units in the column names.

    :ivar note: how the values were obtained, with seed and spread
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    note: str = ""
    plot: Plot | None = None

    def column(self, name: str) -> list[Cell]:
        """Return the cells of one column."""
        index = self.columns.index(name)
        return [row[index] for row in self.rows]


def to_markdown(table: Table) -> str:
    """Return the table as Markdown, with aligned columns."""
    cells = [table.columns, *(tuple(map(_format_cell, row)) for row in table.rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [_format_row(row, widths) for row in cells]
    lines.insert(1, "|" + "|".join("-" * (width + 2) for width in widths) + "|")
    note = [table.note, ""] if table.note else []
    return "\n".join([f"### {table.title}", "", *note, *lines, ""])


def draw(table: Table, folder: pathlib.Path) -> pathlib.Path | None:
    """Write the table's plot as PNG; return its path, or None for a table without one."""
    if table.plot is None:
        return None
    # Imported here because it takes half a second, which runs without plots need not spend.
    from matplotlib import figure

    drawn = figure.Figure(figsize=(8, 4.5), layout="constrained")
    axes = drawn.subplots()
    x = table.column(table.plot.x)
    for index, name in enumerate(table.plot.y):
        _draw_series(axes, x, table.column(name), name, index, len(table.plot.y))
    if table.plot.logarithmic:
        axes.set_xscale("log")
        axes.set_yscale("log")
    axes.set(title=table.title, xlabel=table.plot.x)
    axes.legend()
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{re.sub(r'[^a-z0-9]+', '-', table.title.lower()).strip('-')}.png"
    drawn.savefig(path)
    return path


def _draw_series(axes, x: list[Cell], y: list[Cell], name: str, index: int, series: int) -> None:
    if all(isinstance(value, int | float) for value in x):
        axes.plot(x, y, marker="o", label=name)
        return
    width = 0.8 / series
    positions = [position + index * width for position in range(len(x))]
    axes.bar(positions, y, width, label=name)
    axes.set_xticks([position + (series - 1) * width / 2 for position in range(len(x))], x)


def _format_row(cells: collections.abc.Sequence[str], widths: collections.abc.Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "| " + " | ".join(padded) + " |"


def _format_cell(cell: Cell) -> str:
    return f"{cell:.4g}" if isinstance(cell, float) else str(cell)
