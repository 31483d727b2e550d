"""The fixed subset of the fault matrix for CI; `make matrix` runs the whole matrix."""

import unittest

from tests.proof import matrix, procedures
from tools import matrix as matrix_tool


class MatrixTest(unittest.TestCase):
    def test_ci_subset_passes(self):
        verdicts = matrix_tool.run_all(matrix_tool.ci_subset())
        failed = [verdict for verdict in verdicts.values() if not verdict.passed]
        self.assertEqual([], failed)

    def test_ci_subset_covers_every_step_and_every_fault(self):
        cells = matrix_tool.ci_subset()
        self.assertEqual(
            {
                (procedure, step)
                for procedure in procedures.PROCEDURES
                for step in procedure.steps()
            },
            {(cell.procedure, cell.step) for cell in cells},
        )
        self.assertEqual(set(matrix.FAULTS), {fault for cell in cells for fault in cell.faults})
