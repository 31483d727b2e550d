"""Prints slopes and what they give at the two-year size."""

import sys

from tools.capacity import running, slopes, state
from tools.measure import table

TWO_YEAR_VMS = 12_000
TITLES = ("what", "unit", "per item", "offset", "R2")


def main() -> int:
    """Measure and print."""
    found = [
        slopes.measure(name, unit, measured, state.SIZES)
        for name, unit, measured in state.MEASUREMENTS
    ]
    rows = tuple((*_cells(each), each.at(TWO_YEAR_VMS)) for each in found)
    titles = (*TITLES, f"at {TWO_YEAR_VMS} VMs")
    note = f"Per VM; sizes {state.SIZES}; median of {slopes.REPEATS} runs each."
    print(table.to_markdown(table.Table("State", titles, rows, note)), flush=True)

    rows = tuple(_cells(each) for each in running.measure())
    note = f"Idle entries as processes, {running.WINDOW_S} s each; one run a size."
    print(table.to_markdown(table.Table("Running entries", TITLES, rows, note)), flush=True)
    return 0


def _cells(slope: slopes.Slope) -> tuple[str, str, float, float, float]:
    return (slope.name, slope.unit, slope.per_item, slope.offset, slope.fit)


if __name__ == "__main__":
    sys.exit(main())
