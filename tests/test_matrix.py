"""The fixed part of the fault matrix that CI runs; `make matrix` runs all of it."""

import unittest

from tests.proof import matrix, procedures
from tools import matrix as tool


class MatrixTest(unittest.TestCase):
    def test_fixed_part_passes(self):
        verdicts = tool.run_all(tool.ci_subset())
        failed = [verdict for verdict in verdicts.values() if not verdict.passed]
        self.assertEqual([], failed)

    def test_part_has_every_step_and_every_fault(self):
        cells = tool.ci_subset()
        self.assertEqual(
            {(each, step) for each in procedures.PROCEDURES for step in each.steps()},
            {(cell.procedure, cell.step) for cell in cells},
        )
        self.assertEqual(set(matrix.FAULTS), {fault for cell in cells for fault in cell.faults})
