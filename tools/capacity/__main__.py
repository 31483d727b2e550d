"""Prints the measured slopes and their values at the two-year fleet size."""

import sys

from tools.capacity import running, slopes, state
from tools.measure import table

TWO_YEAR_VMS = 12_000
COLUMNS = ("what", "unit", "per item", "offset", "R2")


def main() -> int:
    """Measure and print both tables; return 0."""
    state_slopes = [
        slopes.measure(name, unit, measurement, state.SIZES)
        for name, unit, measurement in state.MEASUREMENTS
    ]
    rows = tuple((*_slope_cells(slope), slope.value_at(TWO_YEAR_VMS)) for slope in state_slopes)
    columns = (*COLUMNS, f"at {TWO_YEAR_VMS} VMs")
    note = f"Per VM; sizes {state.SIZES}; median of {slopes.REPEATS} runs each."
    print(table.to_markdown(table.Table("State", columns, rows, note)), flush=True)

    rows = tuple(_slope_cells(slope) for slope in running.measure())
    note = f"Idle entries as processes, {running.SAMPLE_WINDOW_S} s each; one run a size."
    print(table.to_markdown(table.Table("Running entries", COLUMNS, rows, note)), flush=True)
    return 0


def _slope_cells(slope: slopes.Slope) -> tuple[str, str, float, float, float]:
    return (slope.name, slope.unit, slope.per_item, slope.offset, slope.r_squared)


if __name__ == "__main__":
    sys.exit(main())
